#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "control/agent.h"
#include "member/record.h"
#include "tests/fake_store.h"

/*
 * Two agents whose messages pass through the test, which may change, drop or
 * repeat them.
 */

typedef struct end {
	bf_agent_output_t output;
	bf_agent_t *agent;
	const char *name;
	GPtrArray *sent; /* GByteArray, oldest first */
	GArray *applied;
	bf_code_t verdict; /* of apply */
	guint announced;
} end_t;

typedef struct pair {
	end_t a; /* has the newer configuration */
	end_t b;
	bf_time_us_t now_us;
} pair_t;

static void
on_send(bf_agent_output_t *output, const char *instance, const char *address,
    const void *data, size_t bytes)
{
	end_t *end = (end_t *)output;
	GByteArray *copy;

	(void)instance;
	(void)address;
	copy = g_byte_array_new();
	g_byte_array_append(copy, data, (guint)bytes);
	g_ptr_array_add(end->sent, copy);
}

static void
on_announce(bf_agent_output_t *output, const char *except, const void *data,
    size_t bytes)
{
	end_t *end = (end_t *)output;

	(void)except;
	(void)data;
	(void)bytes;
	end->announced++;
}

static bf_code_t
on_apply(bf_agent_output_t *output, const bf_snapshot_t *snapshot)
{
	end_t *end = (end_t *)output;

	if (end->verdict == BF_OK)
		g_array_append_val(end->applied, snapshot->version);
	return end->verdict;
}

static const bf_agent_output_vtable_t vtable = {
	.send = on_send,
	.announce = on_announce,
	.apply = on_apply,
};

static void
end_init(end_t *end, const char *name)
{
	end->output.vtable = &vtable;
	end->name = name;
	end->sent =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	end->applied = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	end->agent = bf_agent_new(name, &end->output, 1);
	bf_agent_set_floor(end->agent, 0, true);
}

static void
end_clear(end_t *end)
{
	bf_agent_free(end->agent);
	g_ptr_array_unref(end->sent);
	g_array_unref(end->applied);
}

static pair_t *
pair_new(void)
{
	pair_t *pair;

	pair = g_new0(pair_t, 1);
	pair->now_us = BF_US_PER_S;
	end_init(&pair->a, "a");
	end_init(&pair->b, "b");
	return pair;
}

static void
pair_free(pair_t *pair)
{
	end_clear(&pair->a);
	end_clear(&pair->b);
	g_free(pair);
}

static void
offer(pair_t *pair, end_t *end, uint64_t version)
{
	bf_agent_offer(end->agent,
	    fake_snapshot(version, 10, (uint32_t)version), pair->now_us);
}

/* b hears a's present version. */
static void
hear(pair_t *pair)
{
	const bf_snapshot_t *current;

	current = bf_agent_current(pair->a.agent);
	bf_agent_observe_version(pair->b.agent, "a", "", current->version,
	    current->digest, pair->now_us);
}

static bf_code_t
give(pair_t *pair, end_t *to, const GByteArray *message)
{
	char sender[BF_NAME_BYTES];
	bf_message_kind_t kind;
	bf_wire_reader_t reader;

	bf_wire_reader_init(&reader, message->data, message->len);
	g_assert_cmpint(bf_wire_read_header(&reader, &kind, sender), ==, BF_OK);
	return bf_agent_receive(to->agent, kind, sender, &reader, pair->now_us);
}

/* Takes the oldest message off a queue. */
static GByteArray *
take(end_t *from)
{
	g_assert_cmpuint(from->sent->len, >, 0);
	return g_ptr_array_steal_index(from->sent, 0);
}

static void
pass(pair_t *pair, end_t *from, end_t *to)
{
	GByteArray *message;

	message = take(from);
	give(pair, to, message);
	g_byte_array_unref(message);
}

static uint64_t
version_of(const end_t *end)
{
	const bf_snapshot_t *current;

	current = bf_agent_current(end->agent);
	return current == NULL ? 0 : current->version;
}

/* The first time whole, then by deltas on the exact base. */
static void
test_pull(void)
{
	bf_agent_counts_t counts;
	pair_t *pair;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	hear(pair);
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 5);
	offer(pair, &pair->a, 6);
	offer(pair, &pair->a, 7);
	hear(pair);
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 7);
	counts = bf_agent_counts(pair->b.agent);
	g_assert_cmpuint(counts.applied, ==, 2);
	g_assert_cmpuint(counts.applied_delta, ==, 1);
	g_assert_cmpuint(pair->b.announced, ==, 2);
	g_assert_true(bf_digest_equal(bf_agent_current(pair->a.agent)->digest,
	    bf_agent_current(pair->b.agent)->digest));
	pair_free(pair);
}

/* Crossed and repeated answers never bring an older version back. */
static void
test_never_back(void)
{
	GByteArray *old_whole;
	GByteArray *old_delta;
	pair_t *pair;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	hear(pair);
	pass(pair, &pair->b, &pair->a);
	old_whole = take(&pair->a);
	give(pair, &pair->b, old_whole);
	offer(pair, &pair->a, 6);
	hear(pair);
	pass(pair, &pair->b, &pair->a);
	old_delta = take(&pair->a);
	give(pair, &pair->b, old_delta);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);

	give(pair, &pair->b, old_whole);
	give(pair, &pair->b, old_delta);
	offer(pair, &pair->b, 4);
	offer(pair, &pair->b, 6);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	g_assert_cmpuint(pair->b.applied->len, ==, 2);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).stale, ==, 3);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).bad_base, ==, 1);
	g_byte_array_unref(old_whole);
	g_byte_array_unref(old_delta);
	pair_free(pair);
}

/* A delta that comes when the base has moved on is refused; then whole. */
static void
test_wrong_base(void)
{
	GByteArray *late;
	pair_t *pair;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	offer(pair, &pair->b, 5);
	offer(pair, &pair->a, 7);
	hear(pair);
	offer(pair, &pair->a, 8);
	pass(pair, &pair->b, &pair->a);
	/* Version 8 was not asked for: it is announced before it comes. */
	pass(pair, &pair->a, &pair->b);
	late = take(&pair->a);
	offer(pair, &pair->b, 6);
	g_assert_cmpint(give(pair, &pair->b, late), ==, BF_OK);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).bad_base, ==, 1);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	pair->now_us += BF_US_PER_S;
	bf_agent_tick(pair->b.agent, pair->now_us);
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 8);
	g_assert_cmpuint(
	    bf_agent_counts(pair->a.agent).snapshots_served, ==, 1);
	g_byte_array_unref(late);
	pair_free(pair);
}

/* Each changed byte gives an error and leaves the version in force. */
static void
test_damaged(void)
{
	GByteArray *message;
	pair_t *pair;
	guint refused;
	guint i;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	offer(pair, &pair->b, 5);
	offer(pair, &pair->a, 6);
	hear(pair);
	pass(pair, &pair->b, &pair->a);
	message = take(&pair->a);
	refused = 0;
	for (i = 8; i < message->len; i++) {
		message->data[i] ^= 0x40;
		give(pair, &pair->b, message);
		message->data[i] ^= 0x40;
		g_assert_cmpuint(version_of(&pair->b), ==, 5);
		refused++;
	}
	g_assert_cmpuint(refused, >, 50);
	give(pair, &pair->b, message);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	g_byte_array_unref(message);
	pair_free(pair);
}

/* Another content under an announced version is refused. */
static void
test_other_digest(void)
{
	bf_digest_t other = { 1, 2 };
	pair_t *pair;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	bf_agent_observe_version(
	    pair->b.agent, "a", "", 5, other, pair->now_us);
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 0);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).bad_digest, ==, 1);
	pair_free(pair);
}

/* Nothing below the floor is put in force, and nothing before it is known. */
static void
test_floor(void)
{
	pair_t *pair;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	bf_agent_set_floor(pair->b.agent, 0, false);
	hear(pair);
	g_assert_cmpuint(pair->b.sent->len, ==, 0);
	bf_agent_set_floor(pair->b.agent, 6, true);
	hear(pair);
	g_assert_cmpuint(pair->b.sent->len, ==, 0);
	offer(pair, &pair->b, 5);
	g_assert_cmpuint(version_of(&pair->b), ==, 0);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).below_floor, ==, 1);
	g_assert_true(bf_agent_is_below_floor(pair->b.agent));
	offer(pair, &pair->a, 6);
	hear(pair);
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	g_assert_false(bf_agent_is_below_floor(pair->b.agent));
	pair_free(pair);
}

/* What apply refuses is not asked for again; a newer version is. */
static void
test_refused_by_apply(void)
{
	pair_t *pair;
	guint i;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	pair->b.verdict = BF_ERR_REFERENCE;
	hear(pair);
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	for (i = 0; i < 20; i++) {
		pair->now_us += BF_US_PER_S;
		hear(pair);
		bf_agent_tick(pair->b.agent, pair->now_us);
	}
	g_assert_cmpuint(pair->b.sent->len, ==, 0);
	g_assert_cmpuint(bf_agent_counts(pair->b.agent).check_failed, ==, 1);
	pair->b.verdict = BF_OK;
	offer(pair, &pair->a, 6);
	hear(pair);
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 6);
	pair_free(pair);
}

/*
 * A peer that announces what it does not give is asked a few times only, and
 * does not bar a lower version that another peer has.
 */
static void
test_empty_promise(void)
{
	bf_digest_t digest = { 7, 7 };
	pair_t *pair;
	guint i;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	bf_agent_observe_version(
	    pair->b.agent, "liar", "", 1000, digest, pair->now_us);
	for (i = 0; i < 50; i++) {
		pair->now_us += BF_US_PER_S;
		bf_agent_tick(pair->b.agent, pair->now_us);
	}
	g_assert_cmpuint(pair->b.sent->len, ==, 3);
	g_ptr_array_set_size(pair->b.sent, 0);
	hear(pair);
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 5);
	pair_free(pair);
}

/* Whole snapshots served a second are capped; the refused one tries again. */
static void
test_cap(void)
{
	pair_t *pair;
	guint i;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	hear(pair);
	for (i = 0; i < 30; i++)
		give(pair, &pair->a, g_ptr_array_index(pair->b.sent, 0));
	g_assert_cmpuint(
	    bf_agent_counts(pair->a.agent).snapshots_served, ==, 8);
	g_assert_cmpuint(bf_agent_counts(pair->a.agent).refused, ==, 22);
	/* The last one is a refusal: asked again after a pause, then served. */
	give(pair, &pair->b, g_ptr_array_index(pair->a.sent, 29));
	g_ptr_array_set_size(pair->a.sent, 0);
	g_ptr_array_set_size(pair->b.sent, 0);
	pair->now_us += BF_US_PER_S;
	bf_agent_tick(pair->b.agent, pair->now_us);
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	g_assert_cmpuint(version_of(&pair->b), ==, 5);
	pair_free(pair);
}

/* b asks a for version 5; its answer is a refusal, and b has nothing. */
static void
expect_refusal(pair_t *pair)
{
	pass(pair, &pair->b, &pair->a);
	pass(pair, &pair->a, &pair->b);
	g_assert_cmpuint(bf_agent_counts(pair->a.agent).refused, ==, 1);
	g_assert_cmpuint(version_of(&pair->b), ==, 0);
	pair_free(pair);
}

/* Who knows that somebody has a newer version gives its own to nobody. */
static void
test_superseded(void)
{
	pair_t *pair;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	bf_agent_raise_mesh_version(pair->a.agent, 6);
	hear(pair);
	expect_refusal(pair);
}

/* Nor does who was paused, until somebody confirms it. */
static void
test_unconfirmed(void)
{
	pair_t *pair;

	pair = pair_new();
	offer(pair, &pair->a, 5);
	bf_agent_set_confirmed(pair->a.agent, false);
	hear(pair);
	expect_refusal(pair);
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
	g_test_add_func("/agent/empty-promise", test_empty_promise);
	g_test_add_func("/agent/cap", test_cap);
	g_test_add_func("/agent/superseded", test_superseded);
	g_test_add_func("/agent/unconfirmed", test_unconfirmed);
	return g_test_run();
}
