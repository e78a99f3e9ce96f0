#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "control/lease.h"
#include "control/relay.h"
#include "tests/fake_store.h"

/* Relays over a store in memory, on a clock that the test moves. */

#define RELAYS_MAX 64
#define TTL_MS 15000

/* Of four holders at a change: four looks at the head and two chunks. */
#define READS_MAX 24u

/* In ten seconds of one node alone, two relays and two candidates. */
#define LISTS_MAX 20u
#define S BF_US_PER_S

typedef struct seat {
	bf_relay_output_t output;
	bf_relay_t *relay;
	bf_store_t *store;
	bf_time_us_t *now_us;
	char name[32];
	char zone[32];
	uint64_t version; /* of the last snapshot handed on */
	guint snapshots;
	GString *outcomes;
	GString *seeds;
	bf_relay_view_t view;
	bool paused;
} seat_t;

typedef struct office {
	fake_store_t *fake;
	bf_time_us_t now_us;
	seat_t seats[RELAYS_MAX];
	size_t count;
} office_t;

static void
on_snapshot(bf_relay_output_t *output, bf_snapshot_t *snapshot)
{
	seat_t *seat = (seat_t *)output;

	seat->version = snapshot->version;
	seat->snapshots++;
	seat->view.version = snapshot->version;
	bf_snapshot_free(snapshot);
}

static void
on_seed(bf_relay_output_t *output, const char *address)
{
	g_string_append_printf(((seat_t *)output)->seeds, "%s;", address);
}

static void
on_outcome(
    bf_relay_output_t *output, const char *key, const void *data, size_t bytes)
{
	g_string_append_printf(((seat_t *)output)->outcomes, "%s=%.*s;", key,
	    (int)bytes, (const char *)data);
}

static bf_time_us_t
on_clock(bf_relay_output_t *output)
{
	return *((seat_t *)output)->now_us;
}

static const bf_relay_output_vtable_t vtable = {
	.snapshot = on_snapshot,
	.seed = on_seed,
	.outcome = on_outcome,
	.clock = on_clock,
};

static office_t *
office_new(size_t count, uint32_t zones)
{
	bf_relay_options_t options = { .prefix = "basilfork/",
		.control_address = "127.0.0.1:23000",
		.slots = 2,
		.lease_ttl_ms = TTL_MS,
		.watch_wait_ms = 0,
		.acquire_interval_ms = 10000 };
	office_t *office;
	seat_t *seat;
	size_t i;

	office = g_new0(office_t, 1);
	office->fake = fake_store_new();
	office->now_us = 1000 * S;
	office->count = count;
	for (i = 0; i < count; i++) {
		seat = &office->seats[i];
		seat->output.vtable = &vtable;
		seat->now_us = &office->now_us;
		seat->store = fake_store_open(office->fake);
		seat->outcomes = g_string_new("");
		seat->seeds = g_string_new("");
		g_snprintf(seat->name, sizeof(seat->name), "node-%zu", i);
		g_snprintf(
		    seat->zone, sizeof(seat->zone), "zone-%zu", i % zones);
		options.store = seat->store;
		options.instance = seat->name;
		options.zone = seat->zone;
		options.rng_seed = i + 1;
		options.output = &seat->output;
		seat->relay = bf_relay_new(&options);
		seat->view.joined = true;
		seat->view.rank = (uint32_t)(i / zones);
	}
	return office;
}

static void
office_free(office_t *office)
{
	size_t i;

	for (i = 0; i < office->count; i++) {
		bf_relay_free(office->seats[i].relay);
		bf_store_free(office->seats[i].store);
		g_string_free(office->seats[i].outcomes, TRUE);
		g_string_free(office->seats[i].seeds, TRUE);
	}
	fake_store_free(office->fake);
	g_free(office);
}

/* One step of each relay every half second. */
static void
run(office_t *office, bf_time_us_t duration_us)
{
	bf_time_us_t end_us;
	seat_t *seat;
	size_t i;

	end_us = office->now_us + duration_us;
	while (office->now_us < end_us) {
		office->now_us += S / 2;
		for (i = 0; i < office->count; i++) {
			seat = &office->seats[i];
			bf_relay_set_view(seat->relay, &seat->view);
			if (!seat->paused)
				bf_relay_step(seat->relay);
		}
	}
}

static size_t
holders(office_t *office)
{
	bf_relay_status_t status;
	size_t count;
	size_t i;

	count = 0;
	for (i = 0; i < office->count; i++) {
		bf_relay_status(
		    office->seats[i].relay, office->now_us, &status);
		count += status.held;
	}
	return count;
}

static seat_t *
a_holder(office_t *office)
{
	bf_relay_status_t status;
	size_t i;

	for (i = 0; i < office->count; i++) {
		bf_relay_status(
		    office->seats[i].relay, office->now_us, &status);
		if (status.held)
			return &office->seats[i];
	}
	g_error("no relay holds a lease");
}

static void
accept_version(office_t *office, uint64_t version)
{
	bf_snapshot_t *snapshot;

	snapshot = fake_snapshot(version, 6, (uint32_t)version);
	fake_store_accept(office->fake, snapshot);
	bf_snapshot_free(snapshot);
}

/* The deadline counts from the beginning of the call. */
static void
test_lease(void)
{
	bf_lease_t lease = { .ttl_us = 15 * S };

	g_assert_false(bf_lease_held(&lease, 1));
	bf_lease_renewed(&lease, 100 * S);
	g_assert_true(bf_lease_held(&lease, 115 * S - 1));
	g_assert_false(bf_lease_held(&lease, 115 * S));
	g_assert_false(bf_lease_renewal_due(&lease, 104 * S));
	g_assert_true(bf_lease_renewal_due(&lease, 105 * S));
	bf_lease_lost(&lease);
	g_assert_false(bf_lease_held(&lease, 101 * S));
}

/* A few hold; the head is read by them alone; chunks only when they change. */
static void
test_few(void)
{
	office_t *office;
	uint64_t before;
	size_t readers;
	size_t i;

	office = office_new(12, 2);
	accept_version(office, 1);
	run(office, 30 * S);
	g_assert_cmpuint(holders(office), ==, 4);
	readers = 0;
	for (i = 0; i < office->count; i++)
		readers += office->seats[i].snapshots > 0;
	g_assert_cmpuint(readers, ==, 4);
	before = fake_store_calls(office->fake, FAKE_GET);
	accept_version(office, 2);
	run(office, 2 * S);
	g_assert_cmpuint(a_holder(office)->version, ==, 2);
	/* One chunk differs; a watch without wait is a get too. */
	g_assert_cmpuint(
	    fake_store_calls(office->fake, FAKE_GET) - before, <=, READS_MAX);
	office_free(office);
}

/* Calls of a quiet minute, for a fleet of that many nodes in two zones. */
static uint64_t
quiet_calls(size_t nodes)
{
	office_t *office;
	uint64_t before;
	uint64_t calls;

	office = office_new(nodes, 2);
	accept_version(office, 1);
	run(office, 60 * S);
	before = fake_store_calls_total(office->fake);
	run(office, 60 * S);
	calls = fake_store_calls_total(office->fake) - before;
	g_test_message(
	    "%zu nodes: %" G_GUINT64_FORMAT " calls a minute", nodes, calls);
	office_free(office);
	return calls;
}

/* The store's load depends on the zones, not on the nodes. */
static void
test_calls_do_not_grow(void)
{
	uint64_t few;

	few = quiet_calls(10);
	g_assert_cmpuint(quiet_calls(64), <=, few + few / 10);
}

/*
 * A holder is stopped for longer than its lease.  When it wakes it sees on
 * its own clock that the lease ran out, and writes nothing it was asked for.
 */
static void
test_paused_holder(void)
{
	bf_relay_status_t status;
	office_t *office;
	seat_t *seat;
	uint64_t before;

	office = office_new(6, 1);
	run(office, 30 * S);
	seat = a_holder(office);
	bf_relay_write_outcome(seat->relay, "move-1", "done", 4);
	seat->paused = true;
	fake_store_end_leases(office->fake);
	run(office, 60 * S);
	g_assert_cmpuint(holders(office), ==, 2);
	bf_relay_status(seat->relay, office->now_us, &status);
	g_assert_false(status.held);
	before = fake_store_calls_total(office->fake);
	bf_relay_step(seat->relay);
	g_assert_cmpuint(fake_store_calls_total(office->fake), ==, before);
	g_assert_cmpuint(
	    fake_store_writes(office->fake, "basilfork/outcome/move-1"), ==, 0);
	bf_relay_status(seat->relay, office->now_us, &status);
	g_assert_cmpuint(status.lapses, ==, 1);
	office_free(office);
}

/* The store ended the lease before its time: the next renewal tells. */
static void
test_lease_ended(void)
{
	office_t *office;

	office = office_new(6, 1);
	run(office, 30 * S);
	g_assert_cmpuint(holders(office), ==, 2);
	fake_store_end_leases(office->fake);
	run(office, 60 * S);
	g_assert_cmpuint(holders(office), ==, 2);
	office_free(office);
}

/* A long outage: bounded calls, then all goes on. */
static void
test_outage(void)
{
	office_t *office;
	uint64_t before;
	uint64_t calls;

	office = office_new(20, 2);
	accept_version(office, 1);
	run(office, 30 * S);
	fake_store_fail(office->fake, BF_ERR_UNAVAILABLE);
	run(office, 60 * S);
	before = fake_store_calls_total(office->fake);
	run(office, 600 * S);
	calls = fake_store_calls_total(office->fake) - before;
	g_test_message(
	    "%" G_GUINT64_FORMAT " calls in 10 minutes of outage", calls);
	g_assert_cmpuint(holders(office), ==, 0);
	g_assert_cmpuint(calls, <, 1500);
	fake_store_fail(office->fake, BF_OK);
	fake_store_end_leases(office->fake);
	accept_version(office, 2);
	run(office, 40 * S);
	g_assert_cmpuint(holders(office), ==, 4);
	g_assert_cmpuint(a_holder(office)->version, ==, 2);
	office_free(office);
}

/* Many ask for an outcome, an answer is lost: it is written once. */
static void
test_outcome_once(void)
{
	office_t *office;
	size_t i;

	office = office_new(8, 2);
	run(office, 30 * S);
	for (i = 0; i < office->count; i++)
		bf_relay_write_outcome(
		    office->seats[i].relay, "move-1", "done", 4);
	fake_store_lose_answer(office->fake);
	run(office, 30 * S);
	g_assert_cmpuint(
	    fake_store_writes(office->fake, "basilfork/outcome/move-1"), ==, 1);
	for (i = 0; i < office->count; i++)
		if (office->seats[i].outcomes->len > 0)
			g_assert_nonnull(strstr(
			    office->seats[i].outcomes->str, "move-1=done;"));
	g_assert_cmpuint(a_holder(office)->outcomes->len, >, 0);
	office_free(office);
}

/* A node that finds nobody asks the store for seeds and for the head. */
static void
test_alone(void)
{
	office_t *office;
	uint64_t lists;
	seat_t *seat;

	office = office_new(5, 1);
	accept_version(office, 3);
	seat = &office->seats[4];
	seat->paused = true;
	run(office, 30 * S);
	seat->paused = false;
	seat->view = (bf_relay_view_t){ .joined = false };
	lists = fake_store_calls(office->fake, FAKE_LIST);
	run(office, 10 * S);
	/* The two relays' addresses; read again, as there may be more. */
	g_assert_true(g_str_has_prefix(
	    seat->seeds->str, "127.0.0.1:23000;127.0.0.1:23000;"));
	g_assert_cmpuint(
	    fake_store_calls(office->fake, FAKE_LIST) - lists, <=, LISTS_MAX);
	g_assert_cmpuint(seat->snapshots, ==, 0);
	/* Slots are taken by nodes that it cannot reach. */
	seat->view = (bf_relay_view_t){ .joined = true, .alone = true };
	run(office, 30 * S);
	g_assert_cmpuint(seat->version, ==, 3);
	office_free(office);
}

/* Chunks that do not fit the head are never handed on. */
static void
test_bad_chunk(void)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	g_autofree char *key = NULL;
	bf_relay_status_t status;
	bf_snapshot_t *snapshot;
	office_t *office;

	office = office_new(2, 1);
	accept_version(office, 1);
	run(office, 30 * S);
	snapshot = fake_snapshot(2, 6, 99);
	fake_store_accept(office->fake, snapshot);
	bf_digest_text(snapshot->chunks[0].digest, digest);
	key = g_strdup_printf("basilfork/chunk/%s", digest);
	bf_store_put(office->seats[0].store, key, "bad", 3, NULL, NULL);
	run(office, 10 * S);
	g_assert_cmpuint(a_holder(office)->version, ==, 1);
	bf_relay_status(a_holder(office)->relay, office->now_us, &status);
	g_assert_cmpuint(status.bad_heads, ==, 1);
	accept_version(office, 3);
	run(office, 10 * S);
	g_assert_cmpuint(a_holder(office)->version, ==, 3);
	bf_snapshot_free(snapshot);
	office_free(office);
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
