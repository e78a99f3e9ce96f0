#include <glib.h>

#include "mesh/balance.h"

/* Choice between two targets when the link to one of them is saturated. */

#define CALLS 1000

static const bf_zone_preference_t preference = { .answer_within_us = 150000,
	.extra_us = 100000 };

/* Calls, of CALLS, sent to the less loaded target, reached with a delay. */
static uint32_t
calls_to_first(bf_time_us_t delay_us)
{
	uint64_t random = 7;
	uint32_t count = 0, i;
	bf_candidate_t candidates[2] = {
		{ .slots = 6,
		    .running = 1,
		    .mean_run_us = 37000,
		    .round_trip_us = (uint32_t)delay_us,
		    .in_own_zone = true },
		{ .slots = 6,
		    .running = 5,
		    .mean_run_us = 37000,
		    .round_trip_us = 400,
		    .in_own_zone = true },
	};

	for (i = 0; i < CALLS; i++)
		count += bf_candidate_choose(
			     candidates, 2, &preference, &random) == 0
		    ? 1
		    : 0;
	return count;
}

/*
 * Uploads saturate the link to an idle target: calls there took 380 ms, nearly
 * all of it in transit.  Calls go to another target until the delay is over.
 */
static void
test_full_link(void)
{
	bf_time_us_t now_us = BF_US_PER_S;
	bf_path_delay_t delay = { 0 };
	int i;

	for (i = 0; i < 6; i++, now_us += 20 * BF_US_PER_MS)
		bf_path_delay_record(
		    &delay, 380 * BF_US_PER_MS, 40 * BF_US_PER_MS, now_us);
	g_assert_cmpint(
	    bf_path_delay_estimate(&delay, now_us), >, 200 * BF_US_PER_MS);
	g_assert_cmpuint(
	    calls_to_first(bf_path_delay_estimate(&delay, now_us)), ==, 0);
	now_us += 5 * BF_US_PER_S;
	g_assert_cmpint(
	    bf_path_delay_estimate(&delay, now_us), <, BF_US_PER_MS);
	g_assert_cmpuint(
	    calls_to_first(bf_path_delay_estimate(&delay, now_us)), ==, CALLS);
}

/* Calls that take long at the target don't count as delay of the link. */
static void
test_long_calls(void)
{
	bf_path_delay_t delay = { 0 };
	int i;

	for (i = 1; i < 10; i++)
		bf_path_delay_record(&delay, 900 * BF_US_PER_MS,
		    899 * BF_US_PER_MS, i * BF_US_PER_S);
	g_assert_cmpint(
	    bf_path_delay_estimate(&delay, 10 * BF_US_PER_S), <=, BF_US_PER_MS);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placing/full-link", test_full_link);
	g_test_add_func("/placing/long-calls", test_long_calls);
	return g_test_run();
}
