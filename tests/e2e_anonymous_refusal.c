/*
 * A refusal without a Request-Id on a connection that swaps answers may belong
 * to another call, so it must not be reported as not run for this one.
 */
#include "tests/link_fixture.h"

static void
test_refusals_without_a_request_id(void)
{
	callers_result_t result;
	link_fixture_t f;

	link_fixture_set_up(&f);
	link_fixture_inject_fault(f.mesh->nodes[CALLERS_NEAREST_NODE].target,
	    "behave?shed_percent=50&anonymous=on");
	link_fixture_swap_answers(&f);
	result = callers_stop(f.callers);
	callers_expect_no_violation(&result);
	g_assert_cmpuint(result.answered, >, 0);
	link_fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/anonymous-refusal/crossed", test_refusals_without_a_request_id);
	return g_test_run();
}
