#include <glib.h>

#include "mesh/balance.h"
#include "mesh/call_queue.h"
#include "mesh/throttle.h"

#define MS BF_US_PER_MS

static bf_queued_call_t
queued_call(uint32_t priority, int64_t objective_ms, int64_t deadline_ms)
{
	return (bf_queued_call_t){
		.priority = priority,
		.objective_at_us = objective_ms * MS,
		.deadline_at_us = deadline_ms * MS,
		.expected_run_us = 50 * MS,
	};
}

static void
fill_slots(bf_call_queue_t *queue, bf_queued_call_t *running, uint32_t slots)
{
	uint32_t i;

	bf_call_queue_init(queue, slots);
	for (i = 0; i < slots; i++) {
		running[i] = queued_call(1, 200, 800);
		g_assert_cmpint(
		    bf_call_queue_admit(queue, &running[i], true, 0), ==,
		    BF_QUEUE_DECISION_START);
	}
}

/* The order in which queued calls get slots. */
static void
test_order(void)
{
	bf_call_queue_t queue;
	bf_queued_call_t running[2], late, low, high, inner, sooner;

	fill_slots(&queue, running, 2);
	low = queued_call(2, 700, 800);
	high = queued_call(1, 700, 800);
	sooner = queued_call(1, 600, 800);
	inner = queued_call(1, 700, 800);
	inner.inner = true;
	late = queued_call(0, 10, 2000);
	g_assert_cmpint(bf_call_queue_admit(&queue, &low, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_cmpint(bf_call_queue_admit(&queue, &late, false, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_cmpint(bf_call_queue_admit(&queue, &high, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_cmpint(bf_call_queue_admit(&queue, &sooner, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_cmpint(bf_call_queue_admit(&queue, &inner, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_null(bf_call_queue_start_next(&queue, 0));
	bf_call_queue_end_run(&queue, &running[0], 50 * MS);
	g_assert_true(bf_call_queue_start_next(&queue, 0) == &inner);
	bf_call_queue_end_run(&queue, &inner, 50 * MS);
	g_assert_true(bf_call_queue_start_next(&queue, 0) == &sooner);
	bf_call_queue_end_run(&queue, &sooner, 50 * MS);
	/* Of three runs of equal length, the third is of lower priority. */
	g_assert_true(bf_call_queue_start_next(&queue, 0) == &low);
	bf_call_queue_end_run(&queue, &low, 50 * MS);
	g_assert_true(bf_call_queue_start_next(&queue, 0) == &high);
	bf_call_queue_end_run(&queue, &high, 50 * MS);
	g_assert_true(bf_call_queue_start_next(&queue, 0) == &late);
}

/* A steady stream of urgent calls doesn't starve those of lower priority. */
static void
test_lower_priority(void)
{
	enum {
		STEPS = 300
	};
	bf_queued_call_t running[1], urgent[STEPS], lower[STEPS];
	bf_queued_call_t *next = &running[0];
	uint32_t urgent_runs = 0, lower_runs = 0, i;
	bf_call_queue_t queue;

	fill_slots(&queue, running, 1);
	for (i = 0; i < STEPS; i++) {
		urgent[i] = queued_call(1, 100000, 200000);
		lower[i] = queued_call(2, 100000, 200000);
		if (bf_call_queue_admit(&queue, &urgent[i], false, 0) ==
		    BF_QUEUE_DECISION_REFUSE)
			break;
		if (bf_call_queue_admit(&queue, &lower[i], false, 0) ==
		    BF_QUEUE_DECISION_REFUSE)
			break;
	}
	g_assert_cmpuint(i, ==, STEPS);
	for (i = 0; i < STEPS; i++) {
		bf_call_queue_end_run(&queue, next, 50 * MS);
		next = bf_call_queue_start_next(&queue, 0);
		g_assert_nonnull(next);
		if (next->priority == 1)
			urgent_runs++;
		else
			lower_runs++;
	}
	g_assert_cmpuint(urgent_runs, >=, STEPS * 6 / 10);
	g_assert_cmpuint(lower_runs, >=, STEPS * 3 / 10);
}

/* A call that would be late is refused while its entry can try others. */
static void
test_refused_on_arrival(void)
{
	bf_call_queue_t queue;
	bf_queued_call_t running[1], first, second;

	fill_slots(&queue, running, 1);
	first = queued_call(1, 60, 800);
	g_assert_cmpint(bf_call_queue_admit(&queue, &first, true, 0), ==,
	    BF_QUEUE_DECISION_REFUSE);
	g_assert_cmpint(bf_call_queue_admit(&queue, &first, false, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	second = queued_call(1, 60, 110);
	g_assert_cmpint(bf_call_queue_admit(&queue, &second, false, 0), ==,
	    BF_QUEUE_DECISION_REFUSE);
	g_assert_cmpuint(queue.count, ==, 1);
}

/* A late call is refused while its caller has time for a retry. */
static void
test_expired(void)
{
	bf_call_queue_t queue;
	bf_queued_call_t running[1], late;

	fill_slots(&queue, running, 1);
	late = queued_call(1, 10, 1000);
	g_assert_cmpint(bf_call_queue_admit(&queue, &late, false, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_null(bf_call_queue_take_expired(&queue, 200 * MS));
	g_assert_true(bf_call_queue_take_expired(&queue, 400 * MS) == &late);
	g_assert_null(bf_call_queue_take_expired(&queue, 400 * MS));
	g_assert_cmpuint(queue.count, ==, 0);
}

/* Without slots, as for a target that left, calls are refused. */
static void
test_no_slots(void)
{
	bf_call_queue_t queue;
	bf_queued_call_t call = queued_call(1, 200, 800);

	bf_call_queue_init(&queue, 0);
	g_assert_cmpint(bf_call_queue_admit(&queue, &call, false, 0), ==,
	    BF_QUEUE_DECISION_REFUSE);
}

static void
test_mean(void)
{
	bf_queued_call_t call = queued_call(1, 700, 800);
	bf_call_queue_t queue;
	uint32_t i;

	bf_call_queue_init(&queue, 4);
	bf_call_queue_count_run(&queue, 80 * MS);
	g_assert_cmpfloat(queue.mean_run_us, ==, 80 * MS);
	g_assert_cmpint(bf_call_queue_admit(&queue, &call, false, 0), ==,
	    BF_QUEUE_DECISION_START);
	bf_call_queue_end_run(&queue, &call, -1);
	g_assert_cmpfloat(queue.mean_run_us, ==, 80 * MS);
	for (i = 0; i < 200; i++)
		bf_call_queue_count_run(&queue, 20 * MS);
	g_assert_cmpfloat(queue.mean_run_us, <, 21 * MS);
}

/*
 * A target that turns slow is known by the calls that it runs, long before one
 * of them ends.  A single call may take twice its time without being a sign.
 */
static void
test_slow_runs(void)
{
	bf_queued_call_t running[4], call = queued_call(1, 700, 800);
	bf_call_queue_t queue;

	fill_slots(&queue, running, 4);
	bf_call_queue_count_run(&queue, 50 * MS);
	g_assert_cmpint(
	    bf_call_queue_current_run_us(&queue, 60 * MS), ==, 50 * MS);
	g_assert_cmpint(
	    bf_call_queue_current_run_us(&queue, 300 * MS), ==, 600 * MS);
	bf_call_queue_end_run(&queue, &running[0], -1);
	bf_call_queue_end_run(&queue, &running[1], -1);
	bf_call_queue_end_run(&queue, &running[2], -1);
	g_assert_cmpint(
	    bf_call_queue_current_run_us(&queue, 99 * MS), ==, 50 * MS);
	g_assert_cmpint(
	    bf_call_queue_current_run_us(&queue, 150 * MS), ==, 300 * MS);
	bf_call_queue_end_run(&queue, &running[3], -1);
	g_assert_cmpint(
	    bf_call_queue_current_run_us(&queue, 900 * MS), ==, 50 * MS);
	/* A call that starts later is measured from its own start. */
	g_assert_cmpint(bf_call_queue_admit(&queue, &call, false, 900 * MS), ==,
	    BF_QUEUE_DECISION_START);
	g_assert_cmpint(
	    bf_call_queue_current_run_us(&queue, 950 * MS), ==, 50 * MS);
}

static bf_candidate_t
candidate(uint32_t load, uint32_t mean_ms, bool in_own_zone)
{
	return (bf_candidate_t){
		.slots = 4,
		.running = load,
		.mean_run_us = mean_ms * (uint32_t)MS,
		.round_trip_us = in_own_zone ? 300 : 2500,
		.in_own_zone = in_own_zone,
	};
}

/*
 * A full, a failing and a silent candidate each have a longer expected time
 * than an idle one.
 */
static void
test_expected(void)
{
	bf_candidate_t idle = candidate(0, 50, true),
		       full = candidate(8, 50, true);
	bf_candidate_t failing = idle, silent = idle;

	failing.failure_ppm = 500000;
	silent.is_silent = true;
	g_assert_cmpint(bf_candidate_expected_us(&idle), <,
	    bf_candidate_expected_us(&full));
	g_assert_cmpint(bf_candidate_expected_us(&idle), <,
	    bf_candidate_expected_us(&failing));
	g_assert_cmpint(bf_candidate_expected_us(&failing), <,
	    bf_candidate_expected_us(&silent));
}

static const bf_zone_preference_t preference = { .answer_within_us = 150 * MS,
	.extra_us = 60 * MS };

static void
test_own_zone_first(void)
{
	bf_candidate_t candidates[3] = { candidate(0, 50, false),
		candidate(2, 50, true), candidate(0, 50, false) };
	uint64_t random = 1;
	uint32_t i;

	for (i = 0; i < 100; i++)
		g_assert_cmpuint(
		    bf_candidate_choose(candidates, 3, &preference, &random),
		    ==, 1);
	/* Too late in the own zone: the call goes to another zone. */
	candidates[1].running = 40;
	for (i = 0; i < 100; i++) {
		size_t chosen =
		    bf_candidate_choose(candidates, 3, &preference, &random);

		g_assert_cmpuint(chosen, !=, 1);
	}
	g_assert_cmpuint(
	    bf_candidate_choose(candidates, 0, &preference, &random), ==,
	    BF_CANDIDATE_NONE);
}

/* No target is overloaded before its next report: each gets its share. */
static void
test_no_overload(void)
{
	enum {
		CANDIDATES = 8,
		CALLS = 8000
	};
	bf_candidate_t candidates[CANDIDATES];
	uint32_t counts[CANDIDATES] = { 0 };
	uint64_t random = 1;
	uint32_t i;

	for (i = 0; i < CANDIDATES; i++)
		candidates[i] = candidate(i == 0 ? 0 : 1, 50, true);
	for (i = 0; i < CALLS; i++)
		counts[bf_candidate_choose(
		    candidates, CANDIDATES, &preference, &random)]++;
	for (i = 0; i < CANDIDATES; i++) {
		g_assert_cmpuint(counts[i], >, CALLS / CANDIDATES / 2);
		g_assert_cmpuint(counts[i], <, 3U * CALLS / CANDIDATES);
	}
}

/* Runs that fail at a full service cause refusals, which end soon after. */
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
	/* A few such runs are tolerated. */
	for (i = 0; i < 400; i++) {
		now_us += 10 * MS;
		bf_throttle_count(&throttle, i % 50 == 0, now_us);
	}
	g_assert_cmpfloat(throttle.refused_share, <, 0.1);
}

/*
 * A limit of the rate of starts: a call that it lets start too late is refused
 * on arrival, the others start when it opens, in the usual order.
 */
static void
test_gate(void)
{
	bf_queued_call_t first, second, third, urgent, late, running[4];
	bf_call_queue_t queue;

	fill_slots(&queue, running, 0);
	queue.slots = 4;
	queue.gate_opens_at_us = 60 * MS;
	queue.gate_interval_us = 80 * MS;
	queue.gate_tokens = 0.25;
	first = queued_call(1, 200, 800);
	second = queued_call(1, 200, 800);
	third = queued_call(1, 200, 800);
	urgent = queued_call(0, 200, 800);
	g_assert_cmpint(
	    bf_call_queue_expected_wait_us(&queue, &first, 0), ==, 60 * MS);
	g_assert_cmpint(bf_call_queue_admit(&queue, &first, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_cmpint(
	    bf_call_queue_expected_wait_us(&queue, &second, 0), ==, 140 * MS);
	g_assert_cmpint(bf_call_queue_admit(&queue, &second, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	/* Slots are free, but it would start after 220 ms. */
	g_assert_cmpint(bf_call_queue_admit(&queue, &third, true, 0), ==,
	    BF_QUEUE_DECISION_REFUSE);
	/* One that is more urgent waits for fewer. */
	g_assert_cmpint(
	    bf_call_queue_expected_wait_us(&queue, &urgent, 0), <, 150 * MS);
	g_assert_null(bf_call_queue_start_next(&queue, 59 * MS));
	g_assert_true(bf_call_queue_start_next(&queue, 60 * MS) == &first);
	/* The slots limit as before: four calls that run, one that waits. */
	queue.gate_opens_at_us = 60 * MS;
	queue.gate_tokens = 10;
	g_assert_true(bf_call_queue_start_next(&queue, 60 * MS) == &second);
	late = queued_call(1, 2000, 3000);
	g_assert_cmpint(bf_call_queue_admit(&queue, &late, true, 60 * MS), ==,
	    BF_QUEUE_DECISION_START);
	g_assert_cmpint(bf_call_queue_admit(&queue, &third, true, 60 * MS), ==,
	    BF_QUEUE_DECISION_START);
	g_assert_cmpint(
	    bf_call_queue_expected_wait_us(&queue, &urgent, 60 * MS), >, 0);
	g_assert_null(bf_call_queue_start_next(&queue, 60 * MS));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/waiting/order", test_order);
	g_test_add_func("/waiting/gate", test_gate);
	g_test_add_func("/waiting/lesser-rank", test_lower_priority);
	g_test_add_func("/waiting/refused-on-arrival", test_refused_on_arrival);
	g_test_add_func("/waiting/given-up", test_expired);
	g_test_add_func("/waiting/no-slots", test_no_slots);
	g_test_add_func("/waiting/mean", test_mean);
	g_test_add_func("/waiting/slow-runs", test_slow_runs);
	g_test_add_func("/placing/expected", test_expected);
	g_test_add_func("/placing/near-first", test_own_zone_first);
	g_test_add_func("/placing/no-herd", test_no_overload);
	g_test_add_func("/throttle/follows", test_throttle);
	return g_test_run();
}
