#include <glib.h>
#include <math.h>

#include "warmup/coldness.h"
#include "warmup/gate.h"

/* How many calls a cold target gets, and when it counts as cold. */

#define MS BF_US_PER_MS
#define ARRIVALS_MAX 20000
/* How much later than others a call may reach its target. */
#define DELAY_MAX_US (150 * MS)

static const bf_gate_limits_t deployed = { .calls_per_s = 13,
	.over = 1.5,
	.slack = 8 };

typedef struct arrivals {
	bf_time_us_t at_us[ARRIVALS_MAX];
	size_t count;
} arrivals_t;

static int
compare_times(const void *a, const void *b)
{
	const bf_time_us_t *first = a, *second = b;

	return (*first > *second) - (*first < *second);
}

static void
start_call(
    bf_gate_t *gate, arrivals_t *arrivals, GRand *rand, bf_time_us_t now_us)
{
	bf_gate_start(gate, now_us);
	g_assert_cmpuint(arrivals->count, <, ARRIVALS_MAX);
	arrivals->at_us[arrivals->count++] =
	    now_us + g_rand_int_range(rand, 0, DELAY_MAX_US);
}

/* The most arrivals in any one second that begins at from_us or later. */
static size_t
most_in_a_second(arrivals_t *arrivals, bf_time_us_t from_us)
{
	size_t first = 0, last, most = 0;

	qsort(arrivals->at_us, arrivals->count, sizeof(arrivals->at_us[0]),
	    compare_times);
	for (last = 0; last < arrivals->count; last++) {
		while (arrivals->at_us[first] < from_us ||
		    arrivals->at_us[last] - arrivals->at_us[first] >
			BF_US_PER_S) {
			if (first++ == last)
				break;
		}
		if (first <= last && last - first + 1 > most)
			most = last - first + 1;
	}
	return most;
}

static bool
try_start(
    bf_gate_t *gate, arrivals_t *arrivals, GRand *rand, bf_time_us_t now_us)
{
	if (bf_gate_opens_at_us(gate, now_us) > now_us)
		return false;
	start_call(gate, arrivals, rand, now_us);
	return true;
}

/*
 * Demand without end, in bursts after pauses and steadily, never exceeds the
 * bound in any window, and the whole rate is used.
 */
static void
test_one_second_bound(void)
{
	static const bf_gate_limits_t limits[] = { { 13, 1.5, 8 },
		{ 13, 1.0, 0 }, { 1, 1, 0 }, { 0.5, 1, 0 }, { 0.5, 2, 3 },
		{ 2, 1.1, 0 }, { 200, 1.5, 8 }, { 100, 1, 50 } };
	GRand *rand = g_rand_new_with_seed(7);
	arrivals_t *arrivals = g_new0(arrivals_t, 1);
	bf_time_us_t now_us, until_us;
	double bound;
	bf_gate_t gate;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		bf_gate_restart(&gate);
		arrivals->count = 0;
		bf_gate_set(&gate, true, &limits[i], 0);
		bound =
		    limits[i].calls_per_s * limits[i].over + limits[i].slack;
		for (now_us = 0; now_us < 40 * BF_US_PER_S;) {
			until_us =
			    now_us + g_rand_int_range(rand, 1, 3 * BF_US_PER_S);
			for (; now_us < until_us; now_us += MS) {
				while (try_start(&gate, arrivals, rand, now_us))
					;
			}
			now_us += g_rand_int_range(rand, 1, 2 * BF_US_PER_S);
		}
		g_assert_cmpuint(most_in_a_second(arrivals, 0), <=,
		    bound < 1 ? 1 : (size_t)bound);
	}
	/* Steady demand gets the stated rate, or what the bound leaves of it.
	 */
	bf_gate_restart(&gate);
	arrivals->count = 0;
	bf_gate_set(&gate, true, &deployed, 0);
	for (now_us = 0; now_us <= 10 * BF_US_PER_S; now_us += MS) {
		while (try_start(&gate, arrivals, rand, now_us))
			;
	}
	g_assert_cmpuint(arrivals->count, >=, 128);
	g_assert_cmpuint(arrivals->count, <=, 130);
	g_free(arrivals);
	g_rand_free(rand);
}

/*
 * A node that is started again goes on with an empty bucket, at any time after
 * its former process used the burst.
 */
static void
test_restart_of_the_node(void)
{
	GRand *rand = g_rand_new_with_seed(11);
	arrivals_t *arrivals = g_new0(arrivals_t, 1);
	bf_time_us_t now_us, restart_us;
	bf_gate_t gate;
	uint32_t round;

	for (round = 0; round < 200; round++) {
		bf_gate_restart(&gate);
		arrivals->count = 0;
		bf_gate_set(&gate, true, &deployed, 0);
		restart_us = 3 * BF_US_PER_S +
		    g_rand_int_range(rand, 0, 2 * BF_US_PER_S);
		for (now_us = 3 * BF_US_PER_S; now_us < restart_us;
		     now_us += MS) {
			while (try_start(&gate, arrivals, rand, now_us))
				;
		}
		bf_gate_restart(&gate);
		bf_gate_set(&gate, true, &deployed, now_us);
		g_assert_cmpint(bf_gate_opens_at_us(&gate, now_us), >, now_us);
		for (; now_us < restart_us + 3 * BF_US_PER_S; now_us += MS) {
			while (try_start(&gate, arrivals, rand, now_us))
				;
		}
		g_assert_cmpuint(most_in_a_second(arrivals, 0), <=, 27);
	}
	g_free(arrivals);
	g_rand_free(rand);
}

/*
 * A target turns cold while it is in use: what it took in the second before
 * counts, so a second that begins within the bound stays within it.
 */
static void
test_turns_cold(void)
{
	GRand *rand = g_rand_new_with_seed(13);
	arrivals_t *arrivals = g_new0(arrivals_t, 1);
	bf_time_us_t now_us, cold_us = BF_US_PER_S;
	bf_gate_t gate;
	uint32_t i;

	bf_gate_restart(&gate);
	bf_gate_set(&gate, false, &deployed, 0);
	for (i = 0; i < 25; i++)
		start_call(&gate, arrivals, rand, cold_us - 500 * MS + i * MS);
	g_assert_cmpint(bf_gate_opens_at_us(&gate, cold_us), ==, cold_us);
	bf_gate_set(&gate, true, &deployed, cold_us);
	for (now_us = cold_us; now_us < 4 * BF_US_PER_S; now_us += MS) {
		while (try_start(&gate, arrivals, rand, now_us))
			;
	}
	g_assert_cmpuint(most_in_a_second(arrivals, 0), <=, 27);
	/* A warm target has no limit, and is cold again with an empty bucket.
	 */
	bf_gate_set(&gate, false, &deployed, now_us);
	for (i = 0; i < 100; i++)
		g_assert_true(try_start(&gate, arrivals, rand, now_us));
	now_us += 10 * BF_US_PER_S;
	bf_gate_set(&gate, true, &deployed, now_us);
	g_assert_cmpfloat(bf_gate_tokens(&gate, now_us), ==, 0);
	g_free(arrivals);
	g_rand_free(rand);
}

/* The times that the queue estimates with are those at which the gate opens. */
static void
test_opening(void)
{
	bf_time_us_t now_us = 0, interval_us;
	bf_gate_t gate;
	uint32_t i;

	bf_gate_restart(&gate);
	g_assert_cmpint(bf_gate_interval_us(&gate), ==, 0);
	bf_gate_set(&gate, true, &deployed, 0);
	interval_us = bf_gate_interval_us(&gate);
	g_assert_cmpint(interval_us, ==, 76924);
	for (i = 0; i < 5; i++) {
		now_us = bf_gate_opens_at_us(&gate, now_us);
		g_assert_cmpint(ABS(now_us - (i + 1) * interval_us), <, 10);
		bf_gate_start(&gate, now_us);
	}
	/* Setting it again, as for each call, creates no tokens. */
	bf_gate_set(&gate, true, &deployed, now_us);
	g_assert_cmpint(
	    bf_gate_opens_at_us(&gate, now_us), >, now_us + interval_us - 10);
}

/* A call that the target answered with 421 does not count. */
static void
test_returned(void)
{
	bf_time_us_t now_us = 0;
	bf_gate_t gate;
	uint32_t i;

	bf_gate_restart(&gate);
	bf_gate_set(&gate, true, &deployed, 0);
	for (i = 0; i < 100; i++) {
		now_us = bf_gate_opens_at_us(&gate, now_us);
		bf_gate_start(&gate, now_us);
		bf_gate_return(&gate, now_us, now_us);
	}
	g_assert_cmpint(now_us, <, 100 * MS);
	g_assert_cmpuint(gate.start_count, ==, 0);
	/* One that the gate does not know gives no token. */
	bf_gate_start(&gate, now_us);
	bf_gate_return(&gate, now_us - 1, now_us);
	g_assert_cmpint(bf_gate_opens_at_us(&gate, now_us), >, now_us);
	/* Nor does one that was started while the target was warm. */
	bf_gate_restart(&gate);
	bf_gate_start(&gate, 5);
	bf_gate_start(&gate, 6);
	bf_gate_set(&gate, true, &deployed, 10);
	bf_gate_return(&gate, 5, 10);
	g_assert_cmpuint(gate.start_count, ==, 1);
	g_assert_cmpfloat(bf_gate_tokens(&gate, 10), ==, 0);
}

/* The slots that a cold target reports. */
static void
test_slots(void)
{
	bf_gate_t gate;

	bf_gate_restart(&gate);
	g_assert_cmpuint(bf_gate_slots(&gate, 20, 50 * MS), ==, 20);
	bf_gate_set(&gate, true, &deployed, 0);
	g_assert_cmpuint(bf_gate_slots(&gate, 20, 50 * MS), ==, 1);
	g_assert_cmpuint(bf_gate_slots(&gate, 20, 160 * MS), ==, 3);
	g_assert_cmpuint(bf_gate_slots(&gate, 2, 900 * MS), ==, 2);
	g_assert_cmpuint(bf_gate_slots(&gate, 0, 50 * MS), ==, 0);
}

/*
 * A target that turned cold after its last heartbeat, while its zone was
 * evacuated, counts as cold until it answers a request made after the end.
 */
static void
test_doubt(void)
{
	bf_coldness_t coldness = { 0 };
	bf_time_us_t end_us = 100 * BF_US_PER_S;

	bf_coldness_state(&coldness, 0, end_us - 1100 * MS, end_us - 900 * MS);
	g_assert_false(bf_coldness_is_cold(&coldness, end_us));
	bf_coldness_doubt(&coldness, end_us);
	g_assert_true(bf_coldness_is_cold(&coldness, end_us));
	/* A heartbeat that was under way at the end proves nothing. */
	bf_coldness_state(&coldness, 0,
	    end_us + 50 * MS - BF_COLDNESS_HEARTBEAT_AGE_US, end_us + 50 * MS);
	g_assert_true(bf_coldness_is_cold(&coldness, end_us + 60 * MS));
	/* A health response does, and states the rest of the time. */
	bf_coldness_state(
	    &coldness, 2000 * MS, end_us + 60 * MS, end_us + 70 * MS);
	g_assert_true(bf_coldness_is_cold(&coldness, end_us + 2069 * MS));
	g_assert_false(bf_coldness_is_cold(&coldness, end_us + 2070 * MS));
	/* A heartbeat from before that response does not shorten it. */
	bf_coldness_state(&coldness, 0, end_us + 50 * MS, end_us + 80 * MS);
	g_assert_true(bf_coldness_is_cold(&coldness, end_us + 1500 * MS));
	/* The next one does. */
	bf_coldness_state(&coldness, 0, end_us + 1000 * MS, end_us + 1200 * MS);
	g_assert_false(bf_coldness_is_cold(&coldness, end_us + 1500 * MS));
	/* A second evacuation begins a new doubt. */
	bf_coldness_doubt(&coldness, end_us + 2 * BF_US_PER_S);
	g_assert_true(bf_coldness_is_cold(&coldness, end_us + 9 * BF_US_PER_S));
	/* The first heartbeat of another process ends it as any other does. */
	bf_coldness_restart(&coldness, 500 * MS, end_us + 9 * BF_US_PER_S);
	g_assert_true(bf_coldness_is_cold(&coldness, end_us + 9900 * MS));
	bf_coldness_state(
	    &coldness, 500 * MS, end_us + 8800 * MS, end_us + 9 * BF_US_PER_S);
	g_assert_true(bf_coldness_is_cold(&coldness, end_us + 9400 * MS));
	g_assert_false(bf_coldness_is_cold(&coldness, end_us + 9500 * MS));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/warmup/one-second-bound", test_one_second_bound);
	g_test_add_func("/warmup/restart", test_restart_of_the_node);
	g_test_add_func("/warmup/turns-cold", test_turns_cold);
	g_test_add_func("/warmup/opening", test_opening);
	g_test_add_func("/warmup/returned", test_returned);
	g_test_add_func("/warmup/slots", test_slots);
	g_test_add_func("/warmup/doubt", test_doubt);
	return g_test_run();
}
