#include <glib.h>

#include "mesh/store_pace.h"

/*
 * The store is shared by all nodes, and each call to it is charged for.  While
 * every node called it for what its neighbours knew as well, the calls of a
 * mesh of 195 nodes took a quarter of what it earned on a day with failures.
 */

/* Attempts of one node while the store refuses all calls for this time. */
static uint32_t
attempts_in_outage(bool has_peers, bf_time_us_t outage_us, uint64_t *random)
{
	bf_store_pace_t pace = { .has_peers = has_peers };
	bf_time_us_t now_us = 0;

	while (now_us < outage_us) {
		pace.failures++;
		now_us += bf_store_pace_retry_us(&pace, random);
	}
	return pace.failures;
}

/*
 * An outage of 5 s is over before a connected node has called five times; one
 * that knows nobody goes on trying, as it can serve nothing without the store.
 */
static void
test_outage(void)
{
	uint64_t random = 1;
	uint32_t i;

	for (i = 0; i < 1000; i++) {
		g_assert_cmpuint(
		    attempts_in_outage(true, 5 * BF_US_PER_S, &random), <=, 6);
		g_assert_cmpuint(
		    attempts_in_outage(false, 5 * BF_US_PER_S, &random), >=, 6);
	}
}

/*
 * A connected node whose target has left tries as often as one that is alone: a
 * longer wait left the next process of the node without that knowledge, and the
 * target got calls again (soak seed 407).
 */
static void
test_departure(void)
{
	bf_store_pace_t pace = {
		.has_peers = true, .has_departure = true, .failures = 20
	};
	uint64_t random = 1;
	uint32_t i;

	for (i = 0; i < 1000; i++)
		g_assert_cmpint(bf_store_pace_retry_us(&pace, &random), <=,
		    1500 * BF_US_PER_MS);
}

/* After any outage, a node calls again while its lease may still be valid. */
static void
test_retry_within_lease(void)
{
	bf_store_pace_t pace = { .has_peers = true };
	bf_time_us_t ttl_us = BF_LEASE_TTL_MS * BF_US_PER_MS;
	uint64_t random = 1;

	for (pace.failures = 1; pace.failures < 100; pace.failures++) {
		g_assert_cmpint(2 * bf_store_pace_retry_us(&pace, &random) +
			bf_store_pace_renewal_us(),
		    <, ttl_us);
	}
	pace.failures = UINT32_MAX;
	g_assert_cmpint(bf_store_pace_retry_us(&pace, &random), >, 0);
	g_assert_cmpint(3 * bf_store_pace_renewal_us(), <=, ttl_us);
}

/* Nodes that failed together do not call again together. */
static void
test_jitter(void)
{
	bf_store_pace_t pace = { .has_peers = true, .failures = 3 };
	bf_time_us_t delay_us, min_us = INT64_MAX, max_us = 0;
	uint64_t random = 1;
	uint32_t i;

	for (i = 0; i < 195; i++) {
		delay_us = bf_store_pace_retry_us(&pace, &random);
		min_us = MIN(min_us, delay_us);
		max_us = MAX(max_us, delay_us);
	}
	g_assert_cmpint(max_us - min_us, >, 500 * BF_US_PER_MS);
}

/*
 * On the first start the record waits for the target's first heartbeat, but
 * not for long; a node that joins or restarts registers at once.
 */
static void
test_first_write(void)
{
	bf_store_pace_t pace = { .first_start = true, .started_at_us = 100 };

	g_assert_cmpint(bf_store_pace_first_write_us(&pace, 100), >, 0);
	g_assert_cmpint(
	    bf_store_pace_first_write_us(&pace, 100), <=, 2 * BF_US_PER_S);
	g_assert_cmpint(
	    bf_store_pace_first_write_us(&pace, 100 + 2 * BF_US_PER_S), ==, 0);
	pace.has_target = true;
	g_assert_cmpint(bf_store_pace_first_write_us(&pace, 100), ==, 0);
	pace = (bf_store_pace_t){ .started_at_us = 100 };
	g_assert_cmpint(bf_store_pace_first_write_us(&pace, 100), ==, 0);
}

/*
 * A node that joins a running mesh and knows nobody needs the list as it is
 * now.  Others take an old one, but not again and again.
 */
static void
test_stale_lists(void)
{
	bf_store_pace_t pace = { .first_start = false };

	g_assert_false(bf_store_pace_may_be_stale(&pace));
	pace.has_peers = true;
	g_assert_true(bf_store_pace_may_be_stale(&pace));
	pace = (bf_store_pace_t){ .first_start = true };
	g_assert_true(bf_store_pace_may_be_stale(&pace));
	pace.stale_lists = 10;
	g_assert_false(bf_store_pace_may_be_stale(&pace));
}

/*
 * No node becomes a relay before it is connected to those there are: all that
 * start would read the whole configuration.
 */
static void
test_knows_nodes(void)
{
	bf_store_pace_t pace = { .first_start = true, .started_at_us = 100 };
	bf_time_us_t listed_us = 3 * BF_US_PER_S;

	g_assert_false(bf_store_pace_knows_nodes(&pace, 0, 3 * BF_US_PER_S));
	g_assert_false(bf_store_pace_knows_nodes(
	    &pace, listed_us, listed_us + 100 * BF_US_PER_MS));
	g_assert_true(bf_store_pace_knows_nodes(
	    &pace, listed_us, listed_us + BF_US_PER_S));
	/* The store may not answer at all. */
	g_assert_true(
	    bf_store_pace_knows_nodes(&pace, 0, 100 + 5 * BF_US_PER_S));
	pace.first_start = false;
	g_assert_false(bf_store_pace_knows_nodes(
	    &pace, 100 + BF_US_PER_S / 2, BF_US_PER_S));
	g_assert_true(
	    bf_store_pace_knows_nodes(&pace, 0, 100 + 2 * BF_US_PER_S));
}

/* The whole mesh has at least two watchers, and no zone is without one. */
static void
test_watchers(void)
{
	uint32_t zones;

	for (zones = 1; zones < 10; zones++) {
		g_assert_cmpuint(bf_store_pace_watchers(zones), >=, 1);
		g_assert_cmpuint(
		    (uint64_t)zones * bf_store_pace_watchers(zones), >=, 2);
	}
	g_assert_cmpuint(bf_store_pace_watchers(8), ==, 1);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store-pace/outage", test_outage);
	g_test_add_func("/store-pace/departure", test_departure);
	g_test_add_func("/store-pace/within-lease", test_retry_within_lease);
	g_test_add_func("/store-pace/jitter", test_jitter);
	g_test_add_func("/store-pace/first-write", test_first_write);
	g_test_add_func("/store-pace/stale-lists", test_stale_lists);
	g_test_add_func("/store-pace/knows-nodes", test_knows_nodes);
	g_test_add_func("/store-pace/watchers", test_watchers);
	return g_test_run();
}
