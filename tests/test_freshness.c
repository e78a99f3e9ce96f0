#include <glib.h>

#include "freshness/freshness.h"

/*
 * The age of a node's knowledge of the configuration.  Guards against a node
 * that serves a key which was withdrawn more than revoke_ms ago, and against
 * one that refuses keys although another node could prove the present state.
 */

#define MS BF_US_PER_MS
#define REVOKE_US (5000 * MS)
#define VERSION 7
/* Boot-time clock at the start of each test: not zero. */
#define START_US (1000 * BF_US_PER_S)

static bf_freshness_t
new_freshness(void)
{
	bf_freshness_t freshness;

	bf_freshness_init(&freshness, REVOKE_US, 41);
	return freshness;
}

static bf_freshness_result_t
take(bf_freshness_t *freshness, bf_time_us_t as_of_us, uint64_t version,
    bf_time_us_t now_us)
{
	bf_reading_t reading = { .as_of_us = as_of_us,
		.config_version = version };

	return bf_freshness_take(freshness, &reading, VERSION, now_us);
}

static bf_freshness_result_t
take_reply(bf_freshness_t *freshness, uint64_t number, bf_time_us_t age_us,
    uint64_t version, bf_time_us_t now_us)
{
	bf_reading_t reading = { .config_version = version };

	return bf_freshness_take_reply(
	    freshness, number, &reading, (uint64_t)age_us, VERSION, now_us);
}

/* A node that has just started knows nothing, whatever the clock shows. */
static void
test_just_started(void)
{
	bf_freshness_t freshness = new_freshness();

	g_assert_false(bf_freshness_is_present(&freshness, 0));
	g_assert_false(bf_freshness_is_present(&freshness, START_US));
	g_assert_cmpint(
	    bf_freshness_age_us(&freshness, START_US), ==, INT64_MAX);
	/* It asks everybody, and soon again. */
	g_assert_cmpuint(bf_freshness_begin_round(&freshness, false, START_US),
	    ==,
	    BF_FRESHNESS_ASK_OWN_ZONE_RELAY |
		BF_FRESHNESS_ASK_OTHER_ZONE_RELAY | BF_FRESHNESS_ASK_ANY_NODE);
	g_assert_cmpint(
	    bf_freshness_round_interval_us(&freshness), <=, 100 * MS);
	/* Without a configuration no proof counts. */
	g_assert_cmpint(
	    bf_freshness_take(&freshness,
		&(bf_reading_t){ .as_of_us = START_US, .config_version = 3 }, 0,
		START_US),
	    ==, BF_FRESHNESS_BEHIND);
	g_assert_false(bf_freshness_is_present(&freshness, START_US));
	/* That of the configuration which arrives then does. */
	bf_freshness_config_applied(&freshness, 3, START_US + MS);
	g_assert_true(bf_freshness_is_present(&freshness, START_US + MS));
}

/* The bound is nine tenths, on the clock that counts pauses. */
static void
test_paused(void)
{
	bf_freshness_t freshness = new_freshness();
	uint64_t number;

	g_assert_cmpint(take(&freshness, START_US, VERSION, START_US), ==,
	    BF_FRESHNESS_RENEWED);
	g_assert_true(
	    bf_freshness_is_present(&freshness, START_US + 4500 * MS));
	g_assert_false(
	    bf_freshness_is_present(&freshness, START_US + 4500 * MS + 1));
	/*
	 * A question is sent, the process is paused for 10 s, and reads the
	 * reply then: it proves the time of the question, no later one.
	 */
	number = bf_freshness_ask(&freshness, START_US + 5000 * MS);
	g_assert_cmpint(take_reply(&freshness, number, 200 * MS, VERSION,
			    START_US + 15000 * MS),
	    ==, BF_FRESHNESS_RENEWED);
	g_assert_false(
	    bf_freshness_is_present(&freshness, START_US + 15000 * MS));
	g_assert_cmpint(bf_freshness_age_us(&freshness, START_US + 15000 * MS),
	    ==, 10200 * MS);
}

/* What an answer of the store proves, also if it is read late or early. */
static void
test_reads(void)
{
	const bf_time_us_t wait_us = bf_freshness_watch_wait_us(REVOKE_US);
	const struct {
		const char *label;
		bf_time_us_t wait_us;
		bool is_empty;
		bf_time_us_t took_us;
		bf_time_us_t proved_us; /* after the beginning */
	} rows[] = {
		{ "list", 0, false, 30 * MS, 0 },
		{ "empty list", 0, true, 30 * MS, 0 },
		{ "watch with a change", wait_us, false, wait_us, 0 },
		{ "full wait", wait_us, true, wait_us + MS, wait_us },
		{ "ended early", wait_us, true, wait_us - MS, 0 },
		{ "read after a pause", wait_us, true, 10 * wait_us, 0 },
	};
	size_t i;

	g_assert_cmpint(wait_us, <=, BF_US_PER_S);
	g_assert_cmpint(
	    bf_freshness_watch_wait_us(60 * BF_US_PER_S), ==, BF_US_PER_S);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_test_message("%s", rows[i].label);
		g_assert_cmpint(
		    bf_freshness_read_as_of(START_US, rows[i].wait_us,
			rows[i].is_empty, START_US + rows[i].took_us),
		    ==, START_US + rows[i].proved_us);
	}
}

/* Cut from the store alone: a relay asks others once its reads are overdue. */
static void
test_cut_from_store(void)
{
	bf_freshness_t freshness = new_freshness();
	bf_time_us_t now_us;
	uint64_t number;

	(void)take(&freshness, START_US, VERSION, START_US);
	/* A usual age: a relay asks nobody, another node its relay. */
	now_us = START_US + 1300 * MS;
	g_assert_cmpuint(
	    bf_freshness_begin_round(&freshness, true, now_us), ==, 0);
	g_assert_cmpuint(bf_freshness_begin_round(&freshness, false, now_us),
	    ==, BF_FRESHNESS_ASK_OWN_ZONE_RELAY);
	now_us = START_US + 2000 * MS;
	g_assert_cmpuint(bf_freshness_begin_round(&freshness, true, now_us), ==,
	    BF_FRESHNESS_ASK_OWN_ZONE_RELAY |
		BF_FRESHNESS_ASK_OTHER_ZONE_RELAY);
	number = bf_freshness_ask(&freshness, now_us);
	g_assert_cmpint(
	    take_reply(&freshness, number, 300 * MS, VERSION, now_us + 5 * MS),
	    ==, BF_FRESHNESS_RENEWED);
	g_assert_cmpint(
	    bf_freshness_age_us(&freshness, now_us + 5 * MS), ==, 305 * MS);
	/* The same reply again, or one to no question, proves nothing. */
	g_assert_cmpint(
	    take_reply(&freshness, number, 0, VERSION, now_us + 5 * MS), ==,
	    BF_FRESHNESS_UNKNOWN);
	g_assert_cmpint(
	    take_reply(&freshness, 999, 0, VERSION, now_us + 5 * MS), ==,
	    BF_FRESHNESS_UNKNOWN);
	g_assert_cmpint(take_reply(&freshness, 0, 0, VERSION, now_us + 5 * MS),
	    ==, BF_FRESHNESS_UNKNOWN);
}

/*
 * Lost all peers, or the store is gone for all: nobody proves anything.  The
 * node serves for at least 0.6 of the time after the last usual proof, and not
 * beyond 0.9 of it.
 */
static void
test_alone(void)
{
	const bf_time_us_t wait_us = bf_freshness_watch_wait_us(REVOKE_US);
	bf_freshness_t freshness = new_freshness();
	bf_time_us_t now_us = START_US, lost_us, age_us, round_us;

	(void)take(&freshness, START_US, VERSION, START_US);
	round_us = bf_freshness_round_interval_us(&freshness);
	/* The worst age in the usual course, with 50 ms for each way. */
	age_us = wait_us + round_us + 150 * MS;
	lost_us = START_US + age_us;
	while (bf_freshness_is_present(&freshness, now_us)) {
		(void)bf_freshness_begin_round(&freshness, false, now_us);
		(void)bf_freshness_ask(&freshness, now_us);
		now_us += 10 * MS;
	}
	g_assert_cmpint(now_us - lost_us, >=, REVOKE_US * 6 / 10);
	g_assert_cmpint(now_us - START_US, <=, REVOKE_US * 9 / 10 + 10 * MS);
	g_assert_cmpuint(freshness.fruitless_rounds, >, 0);
	/* Nodes of a whole mesh without a store do not ask faster. */
	g_assert_cmpint(
	    bf_freshness_round_interval_us(&freshness), ==, REVOKE_US / 10);
}

/* A silent store: the last proof stays, and answers only grow older. */
static void
test_store_silent(void)
{
	bf_freshness_t freshness = new_freshness();
	bf_time_us_t now_us = START_US + 3000 * MS;
	uint64_t number;

	(void)take(&freshness, START_US, VERSION, START_US);
	/* A peer that knows no more than this node proves nothing. */
	number = bf_freshness_ask(&freshness, now_us);
	g_assert_cmpint(
	    take_reply(&freshness, number, 3500 * MS, VERSION, now_us), ==,
	    BF_FRESHNESS_OLD);
	g_assert_cmpint(bf_freshness_age_us(&freshness, now_us), ==, 3000 * MS);
	/* An age out of all bounds is no future time. */
	number = bf_freshness_ask(&freshness, now_us);
	g_assert_cmpint(take_reply(&freshness, number, -1, VERSION, now_us), ==,
	    BF_FRESHNESS_OLD);
	g_assert_cmpint(bf_freshness_age_us(&freshness, now_us), ==, 3000 * MS);
}

/* A reply of a relay that is behind this node counts, one ahead does not. */
static void
test_versions(void)
{
	bf_freshness_t freshness = new_freshness();
	bf_time_us_t now_us = START_US;
	uint64_t number;

	number = bf_freshness_ask(&freshness, now_us);
	g_assert_cmpint(
	    take_reply(&freshness, number, 100 * MS, VERSION - 1, now_us), ==,
	    BF_FRESHNESS_RENEWED);
	/* The relay has a later one, in which a key may be withdrawn. */
	now_us += 500 * MS;
	number = bf_freshness_ask(&freshness, now_us);
	g_assert_cmpint(
	    take_reply(&freshness, number, 100 * MS, VERSION + 1, now_us), ==,
	    BF_FRESHNESS_BEHIND);
	g_assert_cmpint(bf_freshness_age_us(&freshness, now_us), ==, 600 * MS);
	/* It arrives by itself, or is requested a little later. */
	g_assert_false(bf_freshness_wants_config(&freshness, now_us));
	g_assert_true(bf_freshness_wants_config(&freshness, now_us + 400 * MS));
	g_assert_cmpint(
	    bf_freshness_round_interval_us(&freshness), <=, 250 * MS);
	/* A version in between is not the one that was proved. */
	bf_freshness_config_applied(&freshness, VERSION, now_us + 450 * MS);
	g_assert_true(freshness.is_behind);
	bf_freshness_config_applied(&freshness, VERSION + 1, now_us + 500 * MS);
	g_assert_false(
	    bf_freshness_wants_config(&freshness, now_us + BF_US_PER_S));
	g_assert_cmpint(
	    bf_freshness_age_us(&freshness, now_us + 500 * MS), ==, 600 * MS);
	/* It never arrives: the node refuses in time. */
	g_assert_false(bf_freshness_is_overtaken(&freshness, now_us));
	now_us += 1000 * MS;
	while (bf_freshness_is_present(&freshness, now_us)) {
		number = bf_freshness_ask(&freshness, now_us);
		(void)take_reply(&freshness, number, 0, VERSION + 2, now_us);
		now_us += 100 * MS;
	}
	g_assert_cmpint(now_us, <=, START_US + 400 * MS + 4600 * MS);
	g_assert_true(bf_freshness_is_overtaken(&freshness, now_us));
}

/*
 * A connected node refuses keys soon after it learns of a configuration that
 * it lacks, but not while each of many changes arrives in time.
 */
static void
test_overtaken(void)
{
	bf_freshness_t freshness = new_freshness();
	bf_time_us_t now_us = START_US;
	uint64_t version;

	for (version = VERSION + 1; version < VERSION + 20; version++) {
		/* The next version is known before this one arrives. */
		(void)take(&freshness, now_us, version, now_us);
		g_assert_false(
		    bf_freshness_is_overtaken(&freshness, now_us + 600 * MS));
		now_us += 600 * MS;
		(void)take(&freshness, now_us, version + 1, now_us);
		bf_freshness_config_applied(&freshness, version, now_us);
		g_assert_true(freshness.is_behind);
	}
	g_assert_false(bf_freshness_is_overtaken(&freshness, now_us));
	g_assert_true(
	    bf_freshness_is_overtaken(&freshness, now_us + 1251 * MS));
	bf_freshness_config_applied(&freshness, version, now_us + 1300 * MS);
	g_assert_false(
	    bf_freshness_is_overtaken(&freshness, now_us + 9000 * MS));
}

/*
 * A configuration that cannot be read is lacked until a readable one follows it
 * or takes its place.
 */
static void
test_unread(void)
{
	static const uint64_t unread[] = { 0, VERSION + 3 };
	bf_freshness_t freshness;
	bf_time_us_t now_us = START_US;
	uint64_t newest;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(unread); i++) {
		freshness = new_freshness();
		bf_freshness_config_unread(&freshness, VERSION, VERSION);
		g_assert_cmpuint(
		    bf_freshness_newest_version(&freshness, VERSION), ==,
		    VERSION);
		bf_freshness_config_unread(&freshness, unread[i], VERSION);
		newest = bf_freshness_newest_version(&freshness, VERSION);
		g_assert_cmpuint(newest, ==, VERSION + (i == 0 ? 1 : 3));
		g_assert_cmpint(take(&freshness, now_us, newest, now_us), ==,
		    BF_FRESHNESS_BEHIND);
		g_assert_true(
		    bf_freshness_is_overtaken(&freshness, now_us + 1251 * MS));
		/* An older one does not take its place, the next one does. */
		bf_freshness_config_applied(&freshness, newest - 1, now_us);
		g_assert_true(freshness.is_behind);
		bf_freshness_config_applied(&freshness, newest, now_us);
		g_assert_false(freshness.is_behind);
		g_assert_cmpuint(freshness.unread_version, ==, 0);
		bf_freshness_config_unread(&freshness, 0, newest);
		(void)take(&freshness, now_us, newest + 1, now_us);
		g_assert_true(freshness.is_behind);
		bf_freshness_config_read(&freshness);
		g_assert_false(freshness.is_behind);
		g_assert_cmpuint(
		    bf_freshness_newest_version(&freshness, newest), ==,
		    newest);
	}
}

/* The store came back from an old copy: only readings of its new era count. */
static void
test_era(void)
{
	bf_freshness_t freshness = new_freshness();
	bf_reading_t reading = { .era = 1,
		.revision = 5,
		.as_of_us = START_US,
		.config_version = VERSION };
	bf_time_us_t now_us = START_US + 1000 * MS;

	g_assert_cmpint(
	    bf_freshness_take(&freshness, &reading, VERSION, now_us), ==,
	    BF_FRESHNESS_RENEWED);
	reading.era = 0;
	reading.revision = 900;
	reading.as_of_us = START_US + 900 * MS;
	g_assert_cmpint(
	    bf_freshness_take(&freshness, &reading, VERSION, now_us), ==,
	    BF_FRESHNESS_OLD);
	/* A lower revision of the new era does count. */
	reading.era = 2;
	reading.revision = 1;
	g_assert_cmpint(
	    bf_freshness_take(&freshness, &reading, VERSION, now_us), ==,
	    BF_FRESHNESS_RENEWED);
	g_assert_cmpuint(freshness.reading.era, ==, 2);
	/* An older time of a newer era takes nothing back. */
	reading.era = 3;
	reading.as_of_us = START_US;
	g_assert_cmpint(
	    bf_freshness_take(&freshness, &reading, VERSION, now_us), ==,
	    BF_FRESHNESS_OLD);
	g_assert_cmpuint(freshness.reading.era, ==, 3);
	g_assert_cmpint(bf_freshness_age_us(&freshness, now_us), ==, 100 * MS);
	/* A time in the future is no proof. */
	reading.as_of_us = now_us + 1;
	g_assert_cmpint(
	    bf_freshness_take(&freshness, &reading, VERSION, now_us), ==,
	    BF_FRESHNESS_OLD);
}

/*
 * Chains of relays, nodes and pauses at random: no node ever counts as knowing
 * a later state than the one that was read.
 */
static void
test_random_chains(void)
{
	enum {
		NODES = 6,
		STEPS = 20000
	};
	bf_freshness_t nodes[NODES];
	bf_time_us_t true_as_of_us[NODES] = { 0 }, offset_us[NODES];
	uint32_t step, from, to;
	bf_time_us_t now_us = START_US, delay_us, age_us, asked_us;
	uint64_t number;

	for (to = 0; to < NODES; to++) {
		nodes[to] = new_freshness();
		/* Each machine has a clock of its own. */
		offset_us[to] = g_test_rand_int_range(0, 1000000) * MS;
	}
	for (step = 0; step < STEPS; step++) {
		now_us += g_test_rand_int_range(0, 40) * MS;
		to = (uint32_t)g_test_rand_int_range(0, NODES);
		from = (uint32_t)g_test_rand_int_range(0, NODES);
		delay_us = g_test_rand_int_range(0, 20) == 0
		    ? g_test_rand_int_range(0, 8000) * MS
		    : g_test_rand_int_range(0, 30) * MS;
		if (to == 0) {
			(void)take(&nodes[0], now_us + offset_us[0], VERSION,
			    now_us + offset_us[0]);
			true_as_of_us[0] = now_us;
			continue;
		}
		if (from == to || !nodes[from].is_known)
			continue;
		asked_us = now_us;
		number = bf_freshness_ask(&nodes[to], asked_us + offset_us[to]);
		/* The peer answers after a delay, which it may not notice. */
		age_us = bf_freshness_age_us(
		    &nodes[from], asked_us + delay_us + offset_us[from]);
		if (true_as_of_us[from] > true_as_of_us[to])
			true_as_of_us[to] = true_as_of_us[from];
		(void)take_reply(&nodes[to], number, age_us, VERSION,
		    asked_us + delay_us + offset_us[to]);
		if (!nodes[to].is_known)
			continue;
		g_assert_cmpint(nodes[to].reading.as_of_us - offset_us[to], <=,
		    true_as_of_us[to]);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/freshness/just-started", test_just_started);
	g_test_add_func("/freshness/paused", test_paused);
	g_test_add_func("/freshness/reads", test_reads);
	g_test_add_func("/freshness/cut-from-store", test_cut_from_store);
	g_test_add_func("/freshness/alone", test_alone);
	g_test_add_func("/freshness/store-silent", test_store_silent);
	g_test_add_func("/freshness/versions", test_versions);
	g_test_add_func("/freshness/overtaken", test_overtaken);
	g_test_add_func("/freshness/unread", test_unread);
	g_test_add_func("/freshness/era", test_era);
	g_test_add_func("/freshness/random-chains", test_random_chains);
	return g_test_run();
}
