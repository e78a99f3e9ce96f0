#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "control/lease.h"
#include "control/relay.h"
#include "tests/fake_store.h"

/* Relays on an in-memory store, with a clock that the test advances. */

#define RELAYS_MAX 64
#define TTL_MS 15000

/*
 * Get calls of four slot holders within two seconds of a change; each holder
 * reads the head four times and two chunks.
 */
#define READS_MAX 24u

/* List calls in ten seconds: a node alone, two holders, two candidates. */
#define LISTS_MAX 20u
#define SECOND_US BF_US_PER_S

typedef struct node {
	bf_relay_output_t output;
	bf_relay_t *relay;
	bf_store_t *store;
	bf_time_us_t *now_us;
	char name[32];
	char zone[32];
	uint64_t version;  /* of the last snapshot reported */
	guint snapshots;   /* number of snapshots reported */
	GString *outcomes; /* "KEY=DATA;" of each outcome reported */
	GString *seeds;    /* "ADDRESS;" of each seed reported */
	bf_relay_view_t view;
	bool paused; /* the relay makes no steps */
} node_t;

typedef struct fixture {
	fake_store_t *fake;
	bf_time_us_t now_us;
	node_t nodes[RELAYS_MAX];
	size_t count;
} fixture_t;

static void
record_snapshot(bf_relay_output_t *output, bf_snapshot_t *snapshot)
{
	node_t *node = (node_t *)output;

	node->version = snapshot->version;
	node->snapshots++;
	node->view.version = snapshot->version;
	bf_snapshot_free(snapshot);
}

static void
record_seed(bf_relay_output_t *output, const char *address)
{
	g_string_append_printf(((node_t *)output)->seeds, "%s;", address);
}

static void
record_outcome(
    bf_relay_output_t *output, const char *key, const void *data, size_t bytes)
{
	g_string_append_printf(((node_t *)output)->outcomes, "%s=%.*s;", key,
	    (int)bytes, (const char *)data);
}

static bf_time_us_t
read_clock(bf_relay_output_t *output)
{
	return *((node_t *)output)->now_us;
}

static const bf_relay_output_vtable_t vtable = {
	.snapshot = record_snapshot,
	.seed = record_seed,
	.outcome = record_outcome,
	.clock = read_clock,
};

static fixture_t *
set_up(size_t count, uint32_t zones)
{
	bf_relay_options_t options = { .prefix = "basilfork/",
		.control_address = "127.0.0.1:23000",
		.slots = 2,
		.lease_ttl_ms = TTL_MS,
		.watch_wait_ms = 0,
		.acquire_interval_ms = 10000 };
	fixture_t *f;
	node_t *node;
	size_t i;

	f = g_new0(fixture_t, 1);
	f->fake = fake_store_new();
	f->now_us = 1000 * SECOND_US;
	f->count = count;
	for (i = 0; i < count; i++) {
		node = &f->nodes[i];
		node->output.vtable = &vtable;
		node->now_us = &f->now_us;
		node->store = fake_store_open(f->fake);
		node->outcomes = g_string_new("");
		node->seeds = g_string_new("");
		g_snprintf(node->name, sizeof(node->name), "node-%zu", i);
		g_snprintf(
		    node->zone, sizeof(node->zone), "zone-%zu", i % zones);
		options.store = node->store;
		options.instance = node->name;
		options.zone = node->zone;
		options.rng_seed = i + 1;
		options.output = &node->output;
		node->relay = bf_relay_new(&options);
		node->view.joined = true;
		node->view.rank = (uint32_t)(i / zones);
	}
	return f;
}

static void
tear_down(fixture_t *f)
{
	size_t i;

	for (i = 0; i < f->count; i++) {
		bf_relay_free(f->nodes[i].relay);
		bf_store_free(f->nodes[i].store);
		g_string_free(f->nodes[i].outcomes, TRUE);
		g_string_free(f->nodes[i].seeds, TRUE);
	}
	fake_store_free(f->fake);
	g_free(f);
}

/* Advances the clock; each relay makes one step every half second. */
static void
run_for(fixture_t *f, bf_time_us_t duration_us)
{
	bf_time_us_t until_us;
	node_t *node;
	size_t i;

	until_us = f->now_us + duration_us;
	while (f->now_us < until_us) {
		f->now_us += SECOND_US / 2;
		for (i = 0; i < f->count; i++) {
			node = &f->nodes[i];
			bf_relay_set_view(node->relay, &node->view);
			if (!node->paused)
				bf_relay_step(node->relay);
		}
	}
}

static size_t
count_holders(fixture_t *f)
{
	bf_relay_status_t status;
	size_t count;
	size_t i;

	count = 0;
	for (i = 0; i < f->count; i++) {
		bf_relay_status(f->nodes[i].relay, f->now_us, &status);
		count += status.held;
	}
	return count;
}

static node_t *
first_holder(fixture_t *f)
{
	bf_relay_status_t status;
	size_t i;

	for (i = 0; i < f->count; i++) {
		bf_relay_status(f->nodes[i].relay, f->now_us, &status);
		if (status.held)
			return &f->nodes[i];
	}
	g_error("no relay holds a slot");
}

static void
accept_version(fixture_t *f, uint64_t version)
{
	bf_snapshot_t *snapshot;

	snapshot = fake_snapshot(version, 6, (uint32_t)version);
	fake_store_accept(f->fake, snapshot);
	bf_snapshot_free(snapshot);
}

/* The lease's time to live counts from the start of the call. */
static void
test_lease(void)
{
	bf_lease_t lease = { .ttl_us = 15 * SECOND_US };

	g_assert_false(bf_lease_held(&lease, 1));
	bf_lease_renewed(&lease, 100 * SECOND_US);
	g_assert_true(bf_lease_held(&lease, 115 * SECOND_US - 1));
	g_assert_false(bf_lease_held(&lease, 115 * SECOND_US));
	g_assert_false(bf_lease_renewal_due(&lease, 104 * SECOND_US));
	g_assert_true(bf_lease_renewal_due(&lease, 105 * SECOND_US));
	bf_lease_lost(&lease);
	g_assert_false(bf_lease_held(&lease, 101 * SECOND_US));
}

/*
 * Only as many nodes as there are slots hold one and read the head, and a
 * change makes them read only the chunks that differ.
 */
static void
test_few(void)
{
	fixture_t *f;
	uint64_t before;
	size_t readers;
	size_t i;

	f = set_up(12, 2);
	accept_version(f, 1);
	run_for(f, 30 * SECOND_US);
	g_assert_cmpuint(count_holders(f), ==, 4);
	readers = 0;
	for (i = 0; i < f->count; i++)
		readers += f->nodes[i].snapshots > 0;
	g_assert_cmpuint(readers, ==, 4);
	before = fake_store_calls(f->fake, FAKE_GET);
	accept_version(f, 2);
	run_for(f, 2 * SECOND_US);
	g_assert_cmpuint(first_holder(f)->version, ==, 2);
	/* One chunk differs; a watch that does not wait is a get, too. */
	g_assert_cmpuint(
	    fake_store_calls(f->fake, FAKE_GET) - before, <=, READS_MAX);
	tear_down(f);
}

/* Store calls in a minute without changes, of nodes in two zones. */
static uint64_t
calls_per_minute(size_t nodes)
{
	fixture_t *f;
	uint64_t before;
	uint64_t calls;

	f = set_up(nodes, 2);
	accept_version(f, 1);
	run_for(f, 60 * SECOND_US);
	before = fake_store_calls_total(f->fake);
	run_for(f, 60 * SECOND_US);
	calls = fake_store_calls_total(f->fake) - before;
	g_test_message(
	    "%zu nodes: %" G_GUINT64_FORMAT " calls a minute", nodes, calls);
	tear_down(f);
	return calls;
}

/* The load of the store depends on the number of zones, not of nodes. */
static void
test_calls_do_not_grow(void)
{
	uint64_t calls;

	calls = calls_per_minute(10);
	g_assert_cmpuint(calls_per_minute(64), <=, calls + calls / 10);
}

/*
 * A slot holder is paused for longer than its lease.  When it resumes, its own
 * clock shows that the lease expired, and it does not write the outcome queued
 * before the pause.
 */
static void
test_paused_holder(void)
{
	bf_relay_status_t status;
	fixture_t *f;
	node_t *node;
	uint64_t before;

	f = set_up(6, 1);
	run_for(f, 30 * SECOND_US);
	node = first_holder(f);
	bf_relay_write_outcome(node->relay, "move-1", "done", 4);
	node->paused = true;
	fake_store_end_leases(f->fake);
	run_for(f, 60 * SECOND_US);
	g_assert_cmpuint(count_holders(f), ==, 2);
	bf_relay_status(node->relay, f->now_us, &status);
	g_assert_false(status.held);
	before = fake_store_calls_total(f->fake);
	bf_relay_step(node->relay);
	g_assert_cmpuint(fake_store_calls_total(f->fake), ==, before);
	g_assert_cmpuint(
	    fake_store_writes(f->fake, "basilfork/outcome/move-1"), ==, 0);
	bf_relay_status(node->relay, f->now_us, &status);
	g_assert_cmpuint(status.lapses, ==, 1);
	tear_down(f);
}

/* Leases that the store ends early are lost at renewal; slots are refilled. */
static void
test_lease_ended(void)
{
	fixture_t *f;

	f = set_up(6, 1);
	run_for(f, 30 * SECOND_US);
	g_assert_cmpuint(count_holders(f), ==, 2);
	fake_store_end_leases(f->fake);
	run_for(f, 60 * SECOND_US);
	g_assert_cmpuint(count_holders(f), ==, 2);
	tear_down(f);
}

/* Store calls are limited during a long outage; relays recover afterwards. */
static void
test_outage(void)
{
	fixture_t *f;
	uint64_t before;
	uint64_t calls;

	f = set_up(20, 2);
	accept_version(f, 1);
	run_for(f, 30 * SECOND_US);
	fake_store_fail(f->fake, BF_ERR_UNAVAILABLE);
	run_for(f, 60 * SECOND_US);
	before = fake_store_calls_total(f->fake);
	run_for(f, 600 * SECOND_US);
	calls = fake_store_calls_total(f->fake) - before;
	g_test_message(
	    "%" G_GUINT64_FORMAT " calls in 10 minutes of outage", calls);
	g_assert_cmpuint(count_holders(f), ==, 0);
	g_assert_cmpuint(calls, <, 1500);
	fake_store_fail(f->fake, BF_OK);
	fake_store_end_leases(f->fake);
	accept_version(f, 2);
	run_for(f, 40 * SECOND_US);
	g_assert_cmpuint(count_holders(f), ==, 4);
	g_assert_cmpuint(first_holder(f)->version, ==, 2);
	tear_down(f);
}

/*
 * An outcome that all nodes request is written once, even if the response to a
 * write is lost.
 */
static void
test_outcome_once(void)
{
	fixture_t *f;
	size_t i;

	f = set_up(8, 2);
	run_for(f, 30 * SECOND_US);
	for (i = 0; i < f->count; i++)
		bf_relay_write_outcome(f->nodes[i].relay, "move-1", "done", 4);
	fake_store_lose_answer(f->fake);
	run_for(f, 30 * SECOND_US);
	g_assert_cmpuint(
	    fake_store_writes(f->fake, "basilfork/outcome/move-1"), ==, 1);
	for (i = 0; i < f->count; i++)
		if (f->nodes[i].outcomes->len > 0)
			g_assert_nonnull(
			    strstr(f->nodes[i].outcomes->str, "move-1=done;"));
	g_assert_cmpuint(first_holder(f)->outcomes->len, >, 0);
	tear_down(f);
}

/*
 * A node that has not joined reads the seed addresses from the store, and once
 * it is joined but alone, the head as well.
 */
static void
test_alone(void)
{
	fixture_t *f;
	uint64_t lists;
	node_t *node;

	f = set_up(5, 1);
	accept_version(f, 3);
	node = &f->nodes[4];
	node->paused = true;
	run_for(f, 30 * SECOND_US);
	node->paused = false;
	node->view = (bf_relay_view_t){ .joined = false };
	lists = fake_store_calls(f->fake, FAKE_LIST);
	run_for(f, 10 * SECOND_US);
	/* The addresses of both holders; read repeatedly to find new ones. */
	g_assert_true(g_str_has_prefix(
	    node->seeds->str, "127.0.0.1:23000;127.0.0.1:23000;"));
	g_assert_cmpuint(
	    fake_store_calls(f->fake, FAKE_LIST) - lists, <=, LISTS_MAX);
	g_assert_cmpuint(node->snapshots, ==, 0);
	/* Both slots are held by nodes that it cannot reach. */
	node->view = (bf_relay_view_t){ .joined = true, .alone = true };
	run_for(f, 30 * SECOND_US);
	g_assert_cmpuint(node->version, ==, 3);
	tear_down(f);
}

/* A snapshot with a chunk that does not match its digest is not reported. */
static void
test_bad_chunk(void)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	g_autofree char *key = NULL;
	bf_relay_status_t status;
	bf_snapshot_t *snapshot;
	fixture_t *f;

	f = set_up(2, 1);
	accept_version(f, 1);
	run_for(f, 30 * SECOND_US);
	snapshot = fake_snapshot(2, 6, 99);
	fake_store_accept(f->fake, snapshot);
	bf_digest_format(snapshot->chunks[0].digest, digest);
	key = g_strdup_printf("basilfork/chunk/%s", digest);
	bf_store_put(f->nodes[0].store, key, "bad", 3, NULL, NULL);
	run_for(f, 10 * SECOND_US);
	g_assert_cmpuint(first_holder(f)->version, ==, 1);
	bf_relay_status(first_holder(f)->relay, f->now_us, &status);
	g_assert_cmpuint(status.bad_heads, ==, 1);
	accept_version(f, 3);
	run_for(f, 10 * SECOND_US);
	g_assert_cmpuint(first_holder(f)->version, ==, 3);
	bf_snapshot_free(snapshot);
	tear_down(f);
}

int
main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/relay/lease", test_lease);
	g_test_add_func("/relay/few", test_few);
	g_test_add_func("/relay/calls-do-not-grow", test_calls_do_not_grow);
	g_test_add_func("/relay/paused-holder", test_paused_holder);
	g_test_add_func("/relay/lease-ended", test_lease_ended);
	g_test_add_func("/relay/outage", test_outage);
	g_test_add_func("/relay/outcome-once", test_outcome_once);
	g_test_add_func("/relay/alone", test_alone);
	g_test_add_func("/relay/bad-chunk", test_bad_chunk);
	return g_test_run();
}
