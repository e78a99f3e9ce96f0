#include <glib.h>

#include "route/admission.h"
#include "route/budget.h"

#define DEADLINE_US BF_US_PER_S

static void
test_slots_limit_concurrent_calls(void)
{
	bf_admission_t a;

	bf_admission_init(&a, 2);
	g_assert_cmpint(bf_admission_request(&a, 0, DEADLINE_US, 0), ==,
	    BF_ADMISSION_ACCEPTED);
	g_assert_cmpint(bf_admission_request(&a, 0, DEADLINE_US, 0), ==,
	    BF_ADMISSION_ACCEPTED);
	g_assert_cmpint(bf_admission_request(&a, 0, DEADLINE_US, 0), ==,
	    BF_ADMISSION_REFUSED_QUEUE);
	g_assert_false(bf_admission_finish(&a, 1000));
	g_assert_cmpint(bf_admission_request(&a, 0, DEADLINE_US, 0), ==,
	    BF_ADMISSION_ACCEPTED);
}

static void
test_waiting_call_takes_precedence(void)
{
	bf_admission_t a;

	bf_admission_init(&a, 1);
	g_assert_cmpint(bf_admission_request(&a, 50, DEADLINE_US, 0), ==,
	    BF_ADMISSION_ACCEPTED);
	g_assert_cmpint(bf_admission_request(&a, 50, DEADLINE_US, 0), ==,
	    BF_ADMISSION_WAITING);
	g_assert_true(bf_admission_finish(&a, 1000));
	/* The slot is free, but a call is waiting for it. */
	g_assert_cmpint(bf_admission_request(&a, 50, DEADLINE_US, 10), ==,
	    BF_ADMISSION_WAITING);
	g_assert_cmpint(bf_admission_retry(&a, 50, 0, DEADLINE_US, 10), ==,
	    BF_ADMISSION_ACCEPTED);
	g_assert_cmpuint(a.waiting, ==, 1);
}

static void
test_call_that_would_miss_its_deadline_is_refused(void)
{
	bf_admission_t a;
	int i;

	bf_admission_init(&a, 1);
	for (i = 0; i < 200; i++) {
		g_assert_cmpint(bf_admission_request(&a, 50, DEADLINE_US, 0),
		    ==, BF_ADMISSION_ACCEPTED);
		bf_admission_finish(&a, 20 * BF_US_PER_MS);
	}
	g_assert_cmpint(bf_admission_request(&a, 50, DEADLINE_US, 0), ==,
	    BF_ADMISSION_ACCEPTED);
	g_assert_cmpint(bf_admission_request(&a, 50, 30 * BF_US_PER_MS, 0), ==,
	    BF_ADMISSION_REFUSED_DEADLINE);
	g_assert_cmpint(bf_admission_request(&a, 50, 0, 1), ==,
	    BF_ADMISSION_REFUSED_DEADLINE);
	g_assert_cmpuint(a.waiting, ==, 0);
}

static void
test_wait_is_limited_by_queue_time(void)
{
	bf_admission_t a;

	bf_admission_init(&a, 1);
	bf_admission_request(&a, 50, DEADLINE_US, 0);
	g_assert_cmpint(bf_admission_request(&a, 50, DEADLINE_US, 0), ==,
	    BF_ADMISSION_WAITING);
	g_assert_cmpint(
	    bf_admission_retry(&a, 50, 0, DEADLINE_US, 49 * BF_US_PER_MS), ==,
	    BF_ADMISSION_WAITING);
	g_assert_cmpint(
	    bf_admission_retry(&a, 50, 0, DEADLINE_US, 50 * BF_US_PER_MS), ==,
	    BF_ADMISSION_REFUSED_QUEUE);
	g_assert_cmpuint(a.waiting, ==, 0);
}

static void
test_retries_are_limited_to_a_share_of_calls(void)
{
	bf_budget_t budget;
	int calls, retries;

	bf_budget_init(&budget, 100000, 10);
	retries = 0;
	for (calls = 0; calls < 10000; calls++) {
		bf_budget_deposit(&budget);
		retries += bf_budget_withdraw(&budget);
	}
	g_assert_cmpint(retries, <=, 10000 / 10 + 10);
	g_assert_cmpint(retries, >=, 10000 / 10 - 10);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/slots", test_slots_limit_concurrent_calls);
	g_test_add_func("/admission/order", test_waiting_call_takes_precedence);
	g_test_add_func("/admission/deadline",
	    test_call_that_would_miss_its_deadline_is_refused);
	g_test_add_func(
	    "/admission/queue-time", test_wait_is_limited_by_queue_time);
	g_test_add_func(
	    "/budget/share", test_retries_are_limited_to_a_share_of_calls);
	return g_test_run();
}
