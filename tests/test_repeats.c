#include <glib.h>

#include "mesh/retry_budget.h"

/*
 * The retry budget covers a burst of lost calls, and is not exceeded in any
 * window.
 */

#define WINDOW_US (10 * BF_US_PER_S)
#define SHARE 0.14
#define CALL_US (65 * BF_US_PER_MS) /* 15 calls a second */

/* One node of 85 under little load; then 15 calls are lost within 0.1 s. */
static void
test_lost_at_once(void)
{
	bf_retry_budget_t budget;
	bf_time_us_t now_us = BF_US_PER_S;
	int granted = 0, i;

	bf_retry_budget_init(&budget, WINDOW_US);
	for (i = 0; i < 300; i++, now_us += CALL_US)
		bf_retry_budget_count_call(&budget, now_us);
	for (i = 0; i < 15; i++, now_us += 6 * BF_US_PER_MS)
		granted +=
		    bf_retry_budget_take(&budget, SHARE, 1, now_us) ? 1 : 0;
	g_assert_cmpint(granted, ==, 15);
	/* The budget is limited all the same. */
	for (i = 0; i < 100; i++)
		granted +=
		    bf_retry_budget_take(&budget, SHARE, 1, now_us) ? 1 : 0;
	g_assert_cmpint(granted, <=, (int)(SHARE * 155) + 1);
}

/*
 * Calls arrive in bursts of all lengths, and all of them fail.  The retries in
 * any window are at most a fifth of the calls of the busiest window that ends
 * within it, plus the extra ones.
 */
static void
test_any_window(void)
{
	enum {
		STEPS = 6000,
		STEP_MS = 10,
		WINDOW = 1000
	};
	static uint32_t calls[STEPS], retries[STEPS];
	GRand *random = g_rand_new_with_seed(3);
	uint32_t i, j, w, busiest, sum, rate = 1;
	bf_retry_budget_t budget;
	bf_time_us_t now_us;

	bf_retry_budget_init(&budget, WINDOW_US);
	for (i = 0; i < STEPS; i++) {
		now_us = BF_US_PER_S + (bf_time_us_t)i * STEP_MS * BF_US_PER_MS;
		if (g_rand_int_range(random, 0, 300) == 0)
			rate = (uint32_t)g_rand_int_range(random, 0, 5);
		for (j = 0; j < rate; j++, calls[i]++)
			bf_retry_budget_count_call(&budget, now_us);
		for (j = 0; j < 3; j++)
			retries[i] +=
			    bf_retry_budget_take(&budget, SHARE, 2, now_us) ? 1
									    : 0;
	}
	for (i = 2 * WINDOW; i < STEPS; i += 7) {
		for (j = i - WINDOW, sum = 0; j < i; j++)
			sum += retries[j];
		for (w = 0, busiest = 0; w <= WINDOW; w += WINDOW / 2) {
			uint32_t in_window = 0;

			for (j = i - w - WINDOW; j < i - w; j++)
				in_window += calls[j];
			busiest = in_window > busiest ? in_window : busiest;
		}
		g_assert_cmpfloat(sum, <=, 0.2 * busiest + 2);
	}
	g_rand_free(random);
}

/* Calls and retries from before a long pause don't count. */
static void
test_pause(void)
{
	bf_retry_budget_t budget;
	int i;

	bf_retry_budget_init(&budget, WINDOW_US);
	for (i = 0; i < 100; i++)
		bf_retry_budget_count_call(&budget, BF_US_PER_S);
	bf_retry_budget_count_retry(&budget, BF_US_PER_S);
	g_assert_true(bf_retry_budget_take(&budget, SHARE, 0, BF_US_PER_S));
	g_assert_false(
	    bf_retry_budget_take(&budget, SHARE, 0.5, 30 * BF_US_PER_S));
	g_assert_true(
	    bf_retry_budget_take(&budget, SHARE, 1, 30 * BF_US_PER_S));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/repeats/lost-at-once", test_lost_at_once);
	g_test_add_func("/repeats/any-window", test_any_window);
	g_test_add_func("/repeats/forgets", test_pause);
	return g_test_run();
}
