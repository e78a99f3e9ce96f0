#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "control/agent.h"
#include "member/record.h"
#include "tests/fake_store.h"

/*
 * Two agents that exchange messages through the test, which can corrupt, drop
 * or repeat them.
 */

typedef struct node {
	bf_agent_output_t output;
	bf_agent_t *agent;
	const char *name;
	GPtrArray *sent; /* GByteArray, oldest first */
	GArray *applied; /* uint64_t versions */
	bf_code_t apply_result;
	guint announced; /* calls of announce */
} node_t;

typedef struct pair {
	node_t a; /* has the newer configuration */
	node_t b;
	bf_time_us_t now_us;
} pair_t;

static void
record_send(bf_agent_output_t *output, const char *instance,
    const char *address, const void *data, size_t bytes)
{
	node_t *node = (node_t *)output;
	GByteArray *copy;

	(void)instance;
	(void)address;
	copy = g_byte_array_new();
	g_byte_array_append(copy, data, (guint)bytes);
	g_ptr_array_add(node->sent, copy);
}

static void
count_announce(bf_agent_output_t *output, const char *except, const void *data,
    size_t bytes)
{
	node_t *node = (node_t *)output;

	(void)except;
	(void)data;
	(void)bytes;
	node->announced++;
}

static bf_code_t
record_apply(bf_agent_output_t *output, const bf_snapshot_t *snapshot)
{
	node_t *node = (node_t *)output;

	if (node->apply_result == BF_OK)
		g_array_append_val(node->applied, snapshot->version);
	return node->apply_result;
}

static const bf_agent_output_vtable_t vtable = {
	.send = record_send,
	.announce = count_announce,
	.apply = record_apply,
};

static void
node_init(node_t *node, const char *name)
{
	node->output.vtable = &vtable;
	node->name = name;
	node->sent =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	node->applied = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	node->agent = bf_agent_new(name, &node->output, 1);
	bf_agent_set_floor(node->agent, 0, true);
}

static void
node_clear(node_t *node)
{
	bf_agent_free(node->agent);
	g_ptr_array_unref(node->sent);
	g_array_unref(node->applied);
}

static pair_t *
pair_new(void)
{
	pair_t *pair;

	pair = g_new0(pair_t, 1);
	pair->now_us = BF_US_PER_S;
	node_init(&pair->a, "a");
	node_init(&pair->b, "b");
	return pair;
}

static void
pair_free(pair_t *pair)
{
	node_clear(&pair->a);
	node_clear(&pair->b);
	g_free(pair);
}

static void
offer_version(pair_t *pair, node_t *node, uint64_t version)
{
	bf_agent_offer(node->agent,
	    fake_snapshot(version, 10, (uint32_t)version), pair->now_us);
}

/* Announces a's version in force to b. */
static void
announce_to_b(pair_t *pair)
{
	const bf_snapshot_t *current;

	current = bf_agent_current(pair->a.agent);
	bf_agent_observe_version(pair->b.agent, "a", "", current->version,
	    current->digest, pair->now_us);
}

static bf_code_t
deliver(pair_t *pair, node_t *to, const GByteArray *message)
{
	char sender[BF_NAME_BYTES];
	bf_message_kind_t kind;
	bf_wire_reader_t reader;

	bf_wire_reader_init(&reader, message->data, message->len);
	g_assert_cmpint(bf_wire_read_header(&reader, &kind, sender), ==, BF_OK);
	return bf_agent_receive(to->agent, kind, sender, &reader, pair->now_us);
}

/* Removes the oldest message sent; the caller frees it. */
static GByteArray *
take_sent(node_t *from)
{
	g_assert_cmpuint(from->sent->len, >, 0);
	return g_ptr_array_steal_index(from->sent, 0);
}

/* Delivers the oldest message sent. */
static void
forward(pair_t *pair, node_t *from, node_t *to)
{
	GByteArray *message;

	message = take_sent(from);
	deliver(pair, to, message);
	g_byte_array_unref(message);
}

static uint64_t
version_of(const node_t *node)
{
	const bf_snapshot_t *current;

	current = bf_agent_current(node->agent);
	return current == NULL ? 0 : current->version;
}

/* The first pull gets a full snapshot, the second a delta from version 5. */
static void
test_pull(void)
{
	bf_agent_counts_t counts;
	pair_t *pair;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	announce_to_b(pair);
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 5);
	offer_version(pair, &pair->a, 6);
	offer_version(pair, &pair->a, 7);
	announce_to_b(pair);
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 7);
	counts = bf_agent_counts(pair->b.agent);
	g_assert_cmpuint(counts.applied, ==, 2);
	g_assert_cmpuint(counts.applied_delta, ==, 1);
	g_assert_cmpuint(pair->b.announced, ==, 2);
	g_assert_true(bf_digest_equal(bf_agent_current(pair->a.agent)->digest,
	    bf_agent_current(pair->b.agent)->digest));
	pair_free(pair);
}

/* Reordered and repeated responses never put an older version in force. */
static void
test_never_back(void)
{
	GByteArray *old_snapshot;
	GByteArray *old_delta;
	pair_t *pair;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	announce_to_b(pair);
	forward(pair, &pair->b, &pair->a);
	old_snapshot = take_sent(&pair->a);
	deliver(pair, &pair->b, old_snapshot);
	offer_version(pair, &pair->a, 6);
	announce_to_b(pair);
	forward(pair, &pair->b, &pair->a);
	old_delta = take_sent(&pair->a);
	deliver(pair, &pair->b, old_delta);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);

	deliver(pair, &pair->b, old_snapshot);
	deliver(pair, &pair->b, old_delta);
	offer_version(pair, &pair->b, 4);
	offer_version(pair, &pair->b, 6);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	g_assert_cmpuint(pair->b.applied->len, ==, 2);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).stale, ==, 3);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).bad_base, ==, 1);
	g_byte_array_unref(old_snapshot);
	g_byte_array_unref(old_delta);
	pair_free(pair);
}

/*
 * A delta that arrives after its base was replaced is rejected, and the agent
 * then pulls a full snapshot.
 */
static void
test_wrong_base(void)
{
	GByteArray *late_delta;
	pair_t *pair;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	offer_version(pair, &pair->b, 5);
	offer_version(pair, &pair->a, 7);
	announce_to_b(pair);
	offer_version(pair, &pair->a, 8);
	forward(pair, &pair->b, &pair->a);
	/* b requested version 7, so a announces version 8 before sending it. */
	forward(pair, &pair->a, &pair->b);
	late_delta = take_sent(&pair->a);
	offer_version(pair, &pair->b, 6);
	g_assert_cmpint(deliver(pair, &pair->b, late_delta), ==, BF_OK);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).bad_base, ==, 1);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	pair->now_us += BF_US_PER_S;
	bf_agent_tick(pair->b.agent, pair->now_us);
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 8);
	g_assert_cmpuint(
	    bf_agent_counts(pair->a.agent).snapshots_served, ==, 1);
	g_byte_array_unref(late_delta);
	pair_free(pair);
}

/* A delta with any one byte corrupted is not applied. */
static void
test_damaged(void)
{
	GByteArray *message;
	pair_t *pair;
	guint rejected;
	guint i;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	offer_version(pair, &pair->b, 5);
	offer_version(pair, &pair->a, 6);
	announce_to_b(pair);
	forward(pair, &pair->b, &pair->a);
	message = take_sent(&pair->a);
	rejected = 0;
	for (i = 8; i < message->len; i++) {
		message->data[i] ^= 0x40;
		deliver(pair, &pair->b, message);
		message->data[i] ^= 0x40;
		g_assert_cmpuint(version_of(&pair->b), ==, 5);
		rejected++;
	}
	g_assert_cmpuint(rejected, >, 50);
	deliver(pair, &pair->b, message);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	g_byte_array_unref(message);
	pair_free(pair);
}

/* A snapshot whose digest is not the announced one is rejected. */
static void
test_other_digest(void)
{
	bf_digest_t other = { 1, 2 };
	pair_t *pair;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	bf_agent_observe_version(
	    pair->b.agent, "a", "", 5, other, pair->now_us);
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 0);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).bad_digest, ==, 1);
	pair_free(pair);
}

/* Nothing is pulled until the floor is final, or put in force below it. */
static void
test_floor(void)
{
	pair_t *pair;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	bf_agent_set_floor(pair->b.agent, 0, false);
	announce_to_b(pair);
	g_assert_cmpuint(pair->b.sent->len, ==, 0);
	bf_agent_set_floor(pair->b.agent, 6, true);
	announce_to_b(pair);
	g_assert_cmpuint(pair->b.sent->len, ==, 0);
	offer_version(pair, &pair->b, 5);
	g_assert_cmpuint(version_of(&pair->b), ==, 0);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).below_floor, ==, 1);
	g_assert_true(bf_agent_is_below_floor(pair->b.agent));
	offer_version(pair, &pair->a, 6);
	announce_to_b(pair);
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	g_assert_false(bf_agent_is_below_floor(pair->b.agent));
	pair_free(pair);
}

/* A version that apply rejected is not requested again; a newer one is. */
static void
test_refused_by_apply(void)
{
	pair_t *pair;
	guint i;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	pair->b.apply_result = BF_ERR_REFERENCE;
	announce_to_b(pair);
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	for (i = 0; i < 20; i++) {
		pair->now_us += BF_US_PER_S;
		announce_to_b(pair);
		bf_agent_tick(pair->b.agent, pair->now_us);
	}
	g_assert_cmpuint(pair->b.sent->len, ==, 0);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).check_failed, ==, 1);
	pair->b.apply_result = BF_OK;
	offer_version(pair, &pair->a, 6);
	announce_to_b(pair);
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	pair_free(pair);
}

/*
 * A version that its only source does not deliver is requested three times,
 * and does not block a lower version that another peer has.
 */
static void
test_undelivered_version(void)
{
	bf_digest_t digest = { 7, 7 };
	pair_t *pair;
	guint i;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	bf_agent_observe_version(
	    pair->b.agent, "liar", "", 1000, digest, pair->now_us);
	for (i = 0; i < 50; i++) {
		pair->now_us += BF_US_PER_S;
		bf_agent_tick(pair->b.agent, pair->now_us);
	}
	g_assert_cmpuint(pair->b.sent->len, ==, 3);
	g_ptr_array_set_size(pair->b.sent, 0);
	announce_to_b(pair);
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 5);
	pair_free(pair);
}

/* Full snapshots served per second are limited; a refused pull is retried. */
static void
test_cap(void)
{
	pair_t *pair;
	guint i;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	announce_to_b(pair);
	for (i = 0; i < 30; i++)
		deliver(pair, &pair->a, g_ptr_array_index(pair->b.sent, 0));
	g_assert_cmpuint(
	    bf_agent_counts(pair->a.agent).snapshots_served, ==, 8);
	g_assert_cmpuint(bf_agent_counts(pair->a.agent).refused, ==, 22);
	/* The last response is a refusal; the retry is served. */
	deliver(pair, &pair->b, g_ptr_array_index(pair->a.sent, 29));
	g_ptr_array_set_size(pair->a.sent, 0);
	g_ptr_array_set_size(pair->b.sent, 0);
	pair->now_us += BF_US_PER_S;
	bf_agent_tick(pair->b.agent, pair->now_us);
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 5);
	pair_free(pair);
}

/* Checks that b's request to a is refused; frees the pair. */
static void
assert_refused(pair_t *pair)
{
	forward(pair, &pair->b, &pair->a);
	forward(pair, &pair->a, &pair->b);
	g_assert_cmpuint(bf_agent_counts(pair->a.agent).refused, ==, 1);
	g_assert_cmpuint(version_of(&pair->b), ==, 0);
	pair_free(pair);
}

/* An agent does not serve its version if a newer one exists in the mesh. */
static void
test_superseded(void)
{
	pair_t *pair;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	bf_agent_raise_mesh_version(pair->a.agent, 6);
	announce_to_b(pair);
	assert_refused(pair);
}

/* An agent does not serve a version that is unconfirmed after a pause. */
static void
test_unconfirmed(void)
{
	pair_t *pair;

	pair = pair_new();
	offer_version(pair, &pair->a, 5);
	bf_agent_set_confirmed(pair->a.agent, false);
	announce_to_b(pair);
	assert_refused(pair);
}

int
main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/agent/pull", test_pull);
	g_test_add_func("/agent/never-back", test_never_back);
	g_test_add_func("/agent/wrong-base", test_wrong_base);
	g_test_add_func("/agent/damaged", test_damaged);
	g_test_add_func("/agent/other-digest", test_other_digest);
	g_test_add_func("/agent/floor", test_floor);
	g_test_add_func("/agent/refused-by-apply", test_refused_by_apply);
	g_test_add_func("/agent/empty-promise", test_undelivered_version);
	g_test_add_func("/agent/cap", test_cap);
	g_test_add_func("/agent/superseded", test_superseded);
	g_test_add_func("/agent/unconfirmed", test_unconfirmed);
	return g_test_run();
}
