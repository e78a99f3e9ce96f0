#include <glib.h>

#include "mesh/crowd.h"

#define REFUSALS 16

static void
test_begins_and_ends(void)
{
	bf_crowd_t crowd = { 0 };
	int i;

	for (i = 1; i < REFUSALS; i++)
		g_assert_false(bf_crowd_add(&crowd, BF_US_PER_S));
	g_assert_true(bf_crowd_add(&crowd, BF_US_PER_S));
	g_assert_false(bf_crowd_add(&crowd, 2 * BF_US_PER_S));
	g_assert_cmpuint(crowd.count, ==, REFUSALS + 1);
	g_assert_false(bf_crowd_end(&crowd, 7 * BF_US_PER_S));
	g_assert_true(bf_crowd_end(&crowd, 8 * BF_US_PER_S));
	g_assert_false(bf_crowd_end(&crowd, 9 * BF_US_PER_S));
}

/* A few refused bodies a second, for long, are no crowd. */
static void
test_single_refusals(void)
{
	bf_crowd_t crowd = { 0 };
	int i;

	for (i = 0; i < 1000; i++)
		g_assert_false(
		    bf_crowd_add(&crowd, i * (BF_US_PER_S / (REFUSALS / 2))));
	g_assert_false(crowd.present);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crowd/begins-and-ends", test_begins_and_ends);
	g_test_add_func("/crowd/single-refusals", test_single_refusals);
	return g_test_run();
}
