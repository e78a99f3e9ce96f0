#include <glib.h>

#include "fairness/refusals.h"

#define MS BF_US_PER_MS
#define KIND 77

/*
 * Guards against: each call of a kind that finds no capacity is offered to
 * several nodes; a call is refused without an offer although it has more time
 * than the refused one, is of another kind, or capacity may be free again.
 */

static void
test_same_kind(void)
{
	bf_refusals_t *refusals = g_new0(bf_refusals_t, 1);

	g_assert_cmpint(
	    bf_refusals_wait_us(refusals, KIND, 100 * MS, 0), ==, 0);
	bf_refusals_record(refusals, KIND, 60 * MS, 100 * MS, 0);
	/* The stated wait runs down. */
	g_assert_cmpint(bf_refusals_wait_us(refusals, KIND, 100 * MS, 10 * MS),
	    ==, 50 * MS);
	g_assert_cmpint(bf_refusals_wait_us(refusals, KIND, 100 * MS, 29 * MS),
	    ==, 31 * MS);
	/* After half of it, one is offered again. */
	g_assert_cmpint(
	    bf_refusals_wait_us(refusals, KIND, 100 * MS, 30 * MS), ==, 0);
	g_free(refusals);
}

static void
test_others_offered(void)
{
	bf_refusals_t *refusals = g_new0(bf_refusals_t, 1);

	bf_refusals_record(refusals, KIND, 60 * MS, 100 * MS, 0);
	g_assert_cmpint(
	    bf_refusals_wait_us(refusals, KIND, 101 * MS, MS), ==, 0);
	g_assert_cmpint(
	    bf_refusals_wait_us(refusals, KIND + 1, 50 * MS, MS), ==, 0);
	/* A kind with the same place in the table. */
	g_assert_cmpint(
	    bf_refusals_wait_us(refusals, KIND + BF_REFUSALS_MAX, 50 * MS, MS),
	    ==, 0);
	g_free(refusals);
}

/* A long wait is not believed for longer than load reports are. */
static void
test_bounded(void)
{
	bf_refusals_t *refusals = g_new0(bf_refusals_t, 1);

	bf_refusals_record(refusals, KIND, 5 * BF_US_PER_S, 0, 0);
	g_assert_cmpint(bf_refusals_wait_us(refusals, KIND, 0, 39 * MS), >, 0);
	g_assert_cmpint(bf_refusals_wait_us(refusals, KIND, 0, 40 * MS), ==, 0);
	/* No wait was stated: nothing is withheld. */
	bf_refusals_record(refusals, KIND, 0, 0, 0);
	g_assert_cmpint(bf_refusals_wait_us(refusals, KIND, 0, 0), ==, 0);
	g_free(refusals);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/refusals/same-kind", test_same_kind);
	g_test_add_func("/refusals/others-offered", test_others_offered);
	g_test_add_func("/refusals/bounded", test_bounded);
	return g_test_run();
}
