#include <glib.h>

#include "fairness/reserve.h"
#include "mesh/call_queue.h"

#define MS BF_US_PER_MS
#define SLOTS 12

/*
 * Guards against: long, less urgent runs take all slots of a target, so that
 * short, more urgent calls wait for one of them to end; slots are kept although
 * no such calls arrive.
 */

/* Arrivals of short urgent calls that occupy the given number of slots. */
static void
arrive_short(bf_reserve_t *reserve, double slots, bf_time_us_t until_us)
{
	bf_time_us_t interval_us = (bf_time_us_t)(30 * MS / slots), now_us;

	for (now_us = 0; now_us < until_us; now_us += interval_us)
		(void)bf_reserve_count_arrival(
		    reserve, 1, true, 30 * MS, now_us);
}

static void
test_learned(void)
{
	bf_reserve_t reserve = { 0 };
	bf_reserve_kind_t *longs;

	longs = bf_reserve_count_arrival(&reserve, 3, false, 160 * MS, 0);
	g_assert_cmpuint(bf_reserve_limit(&reserve, longs, SLOTS), ==, SLOTS);
	arrive_short(&reserve, 4, 5 * BF_US_PER_S);
	/* Four slots on average and two of deviation; the average is rough. */
	g_assert_cmpuint(bf_reserve_limit(&reserve, longs, SLOTS), >=, 5);
	g_assert_cmpuint(bf_reserve_limit(&reserve, longs, SLOTS), <=, 7);
	/* A third of the slots is always left to long runs. */
	arrive_short(&reserve, 40, 15 * BF_US_PER_S);
	g_assert_cmpuint(bf_reserve_limit(&reserve, longs, SLOTS), ==, 4);
	/* Some seconds after the last short call, nothing is kept. */
	longs = bf_reserve_count_arrival(
	    &reserve, 3, false, 160 * MS, 22 * BF_US_PER_S);
	g_assert_cmpuint(bf_reserve_limit(&reserve, longs, SLOTS), ==, SLOTS);
}

/* Only short and more urgent calls limit others. */
static void
test_limits_only_long(void)
{
	bf_reserve_t reserve = { 0 };
	bf_reserve_kind_t *kind;
	uint32_t i;

	for (i = 0; i < 100; i++)
		kind = bf_reserve_count_arrival(
		    &reserve, 2, false, 60 * MS, (bf_time_us_t)i * 10 * MS);
	/* Calls of the same kind. */
	g_assert_cmpuint(bf_reserve_limit(&reserve, kind, SLOTS), ==, SLOTS);
	/* Less urgent, but as short. */
	kind =
	    bf_reserve_count_arrival(&reserve, 3, false, 70 * MS, BF_US_PER_S);
	g_assert_cmpuint(bf_reserve_limit(&reserve, kind, SLOTS), ==, SLOTS);
	/* Longer, but more urgent. */
	kind =
	    bf_reserve_count_arrival(&reserve, 1, false, 300 * MS, BF_US_PER_S);
	g_assert_cmpuint(bf_reserve_limit(&reserve, kind, SLOTS), ==, SLOTS);
	/* Made by a target. */
	kind =
	    bf_reserve_count_arrival(&reserve, 3, true, 300 * MS, BF_US_PER_S);
	g_assert_cmpuint(bf_reserve_limit(&reserve, kind, SLOTS), ==, SLOTS);
	kind =
	    bf_reserve_count_arrival(&reserve, 3, false, 300 * MS, BF_US_PER_S);
	g_assert_cmpuint(bf_reserve_limit(&reserve, kind, SLOTS), <, SLOTS);
}

static void
test_many_kinds(void)
{
	bf_reserve_kind_t *kind;
	bf_reserve_t reserve = { 0 };
	uint32_t i;

	for (i = 0; i < 1000; i++)
		g_assert_nonnull(bf_reserve_count_arrival(
		    &reserve, i, false, 10 * MS, (bf_time_us_t)i * MS));
	for (i = 0; i < BF_RESERVE_KINDS_MAX; i++) {
		kind = bf_reserve_count_arrival(
		    &reserve, 2000 + i, false, 10 * MS, BF_US_PER_S);
		g_assert_nonnull(kind);
		kind->running++;
	}
	g_assert_null(bf_reserve_count_arrival(
	    &reserve, 5000, false, 10 * MS, BF_US_PER_S));
	g_assert_true(bf_reserve_permits(&reserve, NULL, 1));
}

static bf_queued_call_t
new_call(bool is_short, bf_time_us_t now_us)
{
	return (bf_queued_call_t){
		.inner = is_short,
		.priority = is_short ? 1 : 3,
		.objective_at_us = now_us + (is_short ? 60 : 400) * MS,
		.deadline_at_us = now_us + (is_short ? 200 : 800) * MS,
		.expected_run_us = (is_short ? 30 : 160) * MS,
	};
}

/*
 * A short call starts at once in the middle of a burst of long ones; those that
 * would be late are refused on arrival; they get the slots once no short calls
 * arrive.
 */
static void
test_queue(void)
{
	bf_queued_call_t longs[40], urgent, *started;
	uint32_t running = 0, waiting = 0, i;
	bf_time_us_t now_us = BF_US_PER_S;
	bf_call_queue_t queue;

	bf_call_queue_init(&queue, SLOTS);
	bf_call_queue_count_run(&queue, 60 * MS);
	queue.keeps_reserve = true;
	arrive_short(&queue.reserve, 3, now_us);
	for (i = 0; i < G_N_ELEMENTS(longs); i++) {
		longs[i] = new_call(false, now_us);
		switch (bf_call_queue_admit(&queue, &longs[i], true, now_us)) {
		case BF_QUEUE_DECISION_START:
			running++;
			break;
		case BF_QUEUE_DECISION_WAIT:
			waiting++;
			break;
		case BF_QUEUE_DECISION_REFUSE:
			break;
		}
	}
	g_assert_cmpuint(running, >=, SLOTS / 3);
	g_assert_cmpuint(running, <, SLOTS);
	g_assert_cmpuint(waiting, >, 0);
	g_assert_cmpuint(running + waiting, <, G_N_ELEMENTS(longs));
	urgent = new_call(true, now_us);
	g_assert_cmpint(bf_call_queue_admit(&queue, &urgent, true, now_us), ==,
	    BF_QUEUE_DECISION_START);
	g_assert_null(bf_call_queue_start_next(&queue, now_us));
	bf_call_queue_end_run(&queue, &urgent, 30 * MS);
	/*
	 * The memory of the short calls has faded, so the long ones that wait
	 * may start; the urgent call comes before them still.
	 */
	now_us += 10 * BF_US_PER_S;
	urgent = new_call(true, now_us);
	g_assert_cmpint(bf_call_queue_admit(&queue, &urgent, true, now_us), ==,
	    BF_QUEUE_DECISION_WAIT);
	g_assert_true(bf_call_queue_start_next(&queue, now_us) == &urgent);
	while ((started = bf_call_queue_start_next(&queue, now_us)) != NULL) {
		g_assert_false(started->inner);
		running++;
		waiting--;
	}
	g_assert_true(running + 1 == SLOTS || waiting == 0);
	g_assert_cmpuint(queue.running, ==, running + 1);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reserve/learned", test_learned);
	g_test_add_func("/reserve/limits-only-long", test_limits_only_long);
	g_test_add_func("/reserve/many-kinds", test_many_kinds);
	g_test_add_func("/reserve/queue", test_queue);
	return g_test_run();
}
