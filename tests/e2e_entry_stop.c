/*
 * When the node that receives the calls gets SIGTERM, each call must be
 * answered or refused as not run; none may end without an answer.
 */
#include "tests/callers.h"

#define THREADS 8
#define CALLS 100
#define ROUNDS 5

static void
test_no_call_is_left_without_an_answer(void)
{
	callers_result_t result;
	callers_t *callers;
	mesh_node_t *entry;
	harness_t *h;
	mesh_t *mesh;
	int round;

	h = harness_new();
	mesh = callers_start_mesh(h, "--slots=20");
	entry = &mesh->nodes[CALLERS_ENTRY_NODE];
	callers = callers_start(mesh, CALLERS_ENTRY_NODE, THREADS);
	for (round = 0; round < ROUNDS; round++) {
		callers_wait_calls(callers, CALLS);
		g_assert_cmpint(harness_stop(entry->process, SIGTERM), ==, 0);
		callers_wait_calls(callers, CALLS);
		mesh_start_node(mesh, CALLERS_ENTRY_NODE);
		mesh_wait_version(mesh, 1);
		mesh_wait_targets(mesh, CALLERS_TARGET_COUNT);
	}
	result = callers_stop(callers);
	callers_expect_no_violation(&result);
	g_assert_cmpuint(result.answered, >=, CALLS);
	g_assert_cmpuint(result.unknown, ==, 0);
	mesh_free(mesh);
	harness_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/entry-stop/answers", test_no_call_is_left_without_an_answer);
	return g_test_run();
}
