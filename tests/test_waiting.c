#include <glib.h>

#include "mesh/balance.h"
#include "mesh/throttle.h"
#include "mesh/call_queue.h"

#define MS BF_US_PER_MS

static bf_queued_call_t
waiter(uint32_t priority, int64_t objective_ms, int64_t deadline_ms)
{
	return (bf_queued_call_t){
		.priority = priority,
		.objective_at_us = objective_ms * MS,
		.deadline_at_us = deadline_ms * MS,
		.expected_run_us = 50 * MS,
	};
}

static void
fill(bf_call_queue_t *waiting, bf_queued_call_t *running, uint32_t slots)
{
	uint32_t i;

	bf_call_queue_init(waiting, slots);
	for (i = 0; i < slots; i++) {
		running[i] = waiter(1, 200, 800);
		g_assert_cmpint(
		    bf_call_queue_admit(waiting, &running[i], true, 0), ==,
		    BF_QUEUE_DECISION_START);
	}
}

/* The order in which waiting calls get slots. */
static void
test_order(void)
{
	bf_call_queue_t waiting;
	bf_queued_call_t running[2], late, low, high, inner, sooner;

	fill(&waiting, running, 2);
	low = waiter(2, 700, 800);
	high = waiter(1, 700, 800);
	sooner = waiter(1, 600, 800);
	inner = waiter(1, 700, 800);
	inner.inner = true;
	late = waiter(0, 10, 2000);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &low, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &late, false, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &high, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &sooner, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &inner, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_null(bf_call_queue_start_next(&waiting, 0));
	bf_call_queue_end_run(&waiting, 50 * MS);
	g_assert_true(bf_call_queue_start_next(&waiting, 0) == &inner);
	bf_call_queue_end_run(&waiting, 50 * MS);
	g_assert_true(bf_call_queue_start_next(&waiting, 0) == &sooner);
	bf_call_queue_end_run(&waiting, 50 * MS);
	/* The third of three equal works is that of the lesser rank. */
	g_assert_true(bf_call_queue_start_next(&waiting, 0) == &low);
	bf_call_queue_end_run(&waiting, 50 * MS);
	g_assert_true(bf_call_queue_start_next(&waiting, 0) == &high);
	bf_call_queue_end_run(&waiting, 50 * MS);
	g_assert_true(bf_call_queue_start_next(&waiting, 0) == &late);
}

/* However long urgent calls keep coming, lesser ones get their part. */
static void
test_lesser_rank(void)
{
	enum {
		STEPS = 300
	};
	bf_queued_call_t running[1], urgent[STEPS], lesser[STEPS], *next;
	uint32_t urgent_runs = 0, lesser_runs = 0, i;
	bf_call_queue_t waiting;

	fill(&waiting, running, 1);
	for (i = 0; i < STEPS; i++) {
		urgent[i] = waiter(1, 100000, 200000);
		lesser[i] = waiter(2, 100000, 200000);
		if (bf_call_queue_admit(&waiting, &urgent[i], false, 0) ==
		    BF_QUEUE_DECISION_REFUSE)
			break;
		if (bf_call_queue_admit(&waiting, &lesser[i], false, 0) ==
		    BF_QUEUE_DECISION_REFUSE)
			break;
	}
	g_assert_cmpuint(i, ==, STEPS);
	for (i = 0; i < STEPS; i++) {
		bf_call_queue_end_run(&waiting, 50 * MS);
		next = bf_call_queue_start_next(&waiting, 0);
		g_assert_nonnull(next);
		if (next->priority == 1)
			urgent_runs++;
		else
			lesser_runs++;
	}
	g_assert_cmpuint(urgent_runs, >=, STEPS * 6 / 10);
	g_assert_cmpuint(lesser_runs, >=, STEPS * 3 / 10);
}

/* What would be late is refused when its entry has others to ask. */
static void
test_refused_on_arrival(void)
{
	bf_call_queue_t waiting;
	bf_queued_call_t running[1], first, second;

	fill(&waiting, running, 1);
	first = waiter(1, 60, 800);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &first, true, 0), ==,
	    BF_QUEUE_DECISION_REFUSE);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &first, false, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	second = waiter(1, 60, 110);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &second, false, 0), ==,
	    BF_QUEUE_DECISION_REFUSE);
	g_assert_cmpuint(waiting.count, ==, 1);
}

/* A late call is refused while its caller has time to come back. */
static void
test_given_up(void)
{
	bf_call_queue_t waiting;
	bf_queued_call_t running[1], late;

	fill(&waiting, running, 1);
	late = waiter(1, 10, 1000);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &late, false, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_null(bf_call_queue_take_expired(&waiting, 200 * MS));
	g_assert_true(bf_call_queue_take_expired(&waiting, 400 * MS) == &late);
	g_assert_null(bf_call_queue_take_expired(&waiting, 400 * MS));
	g_assert_cmpuint(waiting.count, ==, 0);
}

/* Without slots, as beside a target that is gone, nothing waits. */
static void
test_no_slots(void)
{
	bf_call_queue_t waiting;
	bf_queued_call_t call = waiter(1, 200, 800);

	bf_call_queue_init(&waiting, 0);
	g_assert_cmpint(bf_call_queue_admit(&waiting, &call, false, 0), ==,
	    BF_QUEUE_DECISION_REFUSE);
}

static void
test_mean(void)
{
	bf_call_queue_t waiting;
	uint32_t i;

	bf_call_queue_init(&waiting, 4);
	bf_call_queue_end_run(&waiting, 80 * MS);
	g_assert_cmpfloat(waiting.mean_run_us, ==, 80 * MS);
	bf_call_queue_end_run(&waiting, -1);
	g_assert_cmpfloat(waiting.mean_run_us, ==, 80 * MS);
	for (i = 0; i < 200; i++)
		bf_call_queue_end_run(&waiting, 20 * MS);
	g_assert_cmpfloat(waiting.mean_run_us, <, 21 * MS);
}

static bf_candidate_t
place(uint32_t load, uint32_t mean_ms, bool near)
{
	return (bf_candidate_t){
		.slots = 4,
		.running = load,
		.mean_us = mean_ms * (uint32_t)MS,
		.round_trip_us = near ? 300 : 2500,
		.in_own_zone = near,
	};
}

/* A full, a failing and a silent place each look longer than a free one. */
static void
test_expected(void)
{
	bf_candidate_t idle = place(0, 50, true), full = place(8, 50, true);
	bf_candidate_t failing = idle, silent = idle;

	failing.failing_ppm = 500000;
	silent.is_silent = true;
	g_assert_cmpint(bf_candidate_expected_us(&idle), <,
	    bf_candidate_expected_us(&full));
	g_assert_cmpint(bf_candidate_expected_us(&idle), <,
	    bf_candidate_expected_us(&failing));
	g_assert_cmpint(bf_candidate_expected_us(&failing), <,
	    bf_candidate_expected_us(&silent));
}

static const bf_zone_preference_t near = { .answer_within_us = 150 * MS,
	.extra_us = 60 * MS };

static void
test_near_first(void)
{
	bf_candidate_t places[3] = { place(0, 50, false), place(2, 50, true),
		place(0, 50, false) };
	uint64_t random = 1;
	uint32_t i;

	for (i = 0; i < 100; i++)
		g_assert_cmpuint(
		    bf_candidate_choose(places, 3, &near, &random), ==, 1);
	/* In time nowhere near: the others are asked too. */
	places[1].running = 40;
	for (i = 0; i < 100; i++) {
		size_t chosen = bf_candidate_choose(places, 3, &near, &random);

		g_assert_cmpuint(chosen, !=, 1);
	}
	g_assert_cmpuint(bf_candidate_choose(places, 0, &near, &random), ==,
	    BF_CANDIDATE_NONE);
}

/* No place is flooded before its next report: each gets its share. */
static void
test_no_herd(void)
{
	enum {
		PLACES = 8,
		CALLS = 8000
	};
	bf_candidate_t places[PLACES];
	uint32_t counts[PLACES] = { 0 };
	uint64_t random = 1;
	uint32_t i;

	for (i = 0; i < PLACES; i++)
		places[i] = place(i == 0 ? 0 : 1, 50, true);
	for (i = 0; i < CALLS; i++)
		counts[bf_candidate_choose(places, PLACES, &near, &random)]++;
	for (i = 0; i < PLACES; i++) {
		g_assert_cmpuint(counts[i], >, CALLS / PLACES / 2);
		g_assert_cmpuint(counts[i], <, 3U * CALLS / PLACES);
	}
}

/* Runs that starve bring refusals, and their end ends them soon. */
static void
test_throttle(void)
{
	bf_throttle_t throttle = { 0 };
	bf_time_us_t now_us = 0;
	uint32_t i;

	g_assert_false(bf_throttle_refuses(&throttle, 0.0, now_us));
	for (i = 0; i < 400; i++) {
		now_us += 10 * MS;
		bf_throttle_count(&throttle, i % 2 == 0, now_us);
	}
	g_assert_cmpfloat(throttle.refused_share, >, 0.5);
	g_assert_cmpfloat(throttle.refused_share, <=, 0.9);
	for (i = 0; i < 400; i++) {
		now_us += 10 * MS;
		bf_throttle_count(&throttle, false, now_us);
	}
	g_assert_cmpfloat(throttle.refused_share, ==, 0);
	/* A few that starve are no reason. */
	for (i = 0; i < 400; i++) {
		now_us += 10 * MS;
		bf_throttle_count(&throttle, i % 50 == 0, now_us);
	}
	g_assert_cmpfloat(throttle.refused_share, <, 0.1);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/waiting/order", test_order);
	g_test_add_func("/waiting/lesser-rank", test_lesser_rank);
	g_test_add_func("/waiting/refused-on-arrival", test_refused_on_arrival);
	g_test_add_func("/waiting/given-up", test_given_up);
	g_test_add_func("/waiting/no-slots", test_no_slots);
	g_test_add_func("/waiting/mean", test_mean);
	g_test_add_func("/placing/expected", test_expected);
	g_test_add_func("/placing/near-first", test_near_first);
	g_test_add_func("/placing/no-herd", test_no_herd);
	g_test_add_func("/throttle/follows", test_throttle);
	return g_test_run();
}
