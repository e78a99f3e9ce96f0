/*
 * A call reported as not run must never run, and no call may run twice on a
 * route that is not repeatable.  Processes and connections fail under load; the
 * targets' ledgers show what ran.
 */
#include <string.h>

#include "tests/link_fixture.h"

#define FAULTY_NODE CALLERS_NEAREST_NODE
#define CALLS 80

typedef link_fixture_t fixture_t;

static void
set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	link_fixture_set_up(f);
	callers_wait_calls(f->callers, CALLS);
}

static void
tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	link_fixture_tear_down(f);
}

/* Stops the callers; no guarantee may be violated, CALLS must be answered. */
static callers_result_t
stop_and_check(fixture_t *f)
{
	callers_result_t result;

	result = callers_stop(f->callers);
	callers_expect_no_violation(&result);
	g_assert_cmpuint(result.answered, >=, CALLS);
	return result;
}

static void
kill_and_restart_nodes(fixture_t *f, unsigned int first, unsigned int last)
{
	unsigned int i;

	for (i = first; i <= last; i++)
		harness_stop(f->mesh->nodes[i].process, SIGKILL);
	callers_wait_calls(f->callers, CALLS);
	for (i = first; i <= last; i++)
		mesh_start_node(f->mesh, i);
	mesh_wait_version(f->mesh, 1);
	mesh_wait_targets(f->mesh, CALLERS_TARGET_COUNT);
	callers_wait_calls(f->callers, CALLS);
}

/* Kills one node, then all nodes with targets, while calls are in flight. */
static void
test_nodes_with_targets_are_killed(fixture_t *f, gconstpointer data)
{
	callers_result_t result;

	(void)data;
	link_fixture_inject_fault(
	    f->mesh->nodes[FAULTY_NODE].target, "behave?slow_ms=50");
	callers_wait_calls(f->callers, CALLS);
	kill_and_restart_nodes(f, FAULTY_NODE, FAULTY_NODE);
	kill_and_restart_nodes(f, FAULTY_NODE, FAULTY_NODE);
	kill_and_restart_nodes(f, 1, 3);
	result = stop_and_check(f);
	g_assert_cmpuint(result.unknown, >, 0);
	g_assert_cmpuint(result.not_run, >, 0);
}

static void
test_link_to_the_target_is_cut(fixture_t *f, gconstpointer data)
{
	callers_result_t result;
	int round;

	(void)data;
	for (round = 0; round < 3; round++) {
		link_fixture_inject_fault(
		    f->mesh->nodes[FAULTY_NODE].target, "behave?slow_ms=50");
		callers_wait_calls(f->callers, CALLS);
		link_fixture_inject_fault(f->link, "link?map=0&cut=on");
		callers_wait_calls(f->callers, CALLS);
		link_fixture_inject_fault(f->link, "link?map=0&cut=off");
		callers_wait_calls(f->callers, CALLS);
	}
	result = stop_and_check(f);
	g_assert_cmpuint(result.unknown + result.not_run, >, 0);
}

static void
test_connections_become_silent(fixture_t *f, gconstpointer data)
{
	(void)data;
	link_fixture_inject_fault(f->link, "link?map=0&silent=on");
	callers_wait_calls(f->callers, CALLS);
	link_fixture_inject_fault(f->link, "link?map=0&silent=on");
	callers_wait_calls(f->callers, CALLS);
	stop_and_check(f);
}

static void
test_answers_are_delayed_and_swapped(fixture_t *f, gconstpointer data)
{
	(void)data;
	link_fixture_swap_answers(f);
	stop_and_check(f);
}

/* A refusal swapped with an answer must not be reported to the other call. */
static void
test_refusals_are_swapped(fixture_t *f, gconstpointer data)
{
	(void)data;
	link_fixture_inject_fault(
	    f->mesh->nodes[FAULTY_NODE].target, "behave?shed_percent=50");
	link_fixture_swap_answers(f);
	stop_and_check(f);
}

static void
test_targets_shed_load(fixture_t *f, gconstpointer data)
{
	callers_result_t result;
	unsigned int i;

	(void)data;
	for (i = 1; i < mesh_node_count(f->mesh); i++)
		link_fixture_inject_fault(
		    f->mesh->nodes[i].target, "behave?shed_percent=70");
	callers_wait_calls(f->callers, CALLS);
	result = stop_and_check(f);
	g_assert_cmpuint(result.not_run, >, 0);
}

/* Requests in the paused node's sockets may run after it is resumed. */
static void
test_node_of_the_target_is_paused(fixture_t *f, gconstpointer data)
{
	(void)data;
	harness_signal(f->mesh->nodes[FAULTY_NODE].process, SIGSTOP);
	callers_wait_calls(f->callers, CALLS);
	harness_signal(f->mesh->nodes[FAULTY_NODE].process, SIGCONT);
	callers_wait_calls(f->callers, CALLS);
	stop_and_check(f);
}

static void
test_target_is_paused(fixture_t *f, gconstpointer data)
{
	(void)data;
	link_fixture_inject_fault(
	    f->mesh->nodes[FAULTY_NODE].target, "behave?slow_ms=50");
	callers_wait_calls(f->callers, CALLS);
	/* SIGSTOP and not SIGKILL, which would lose its ledger. */
	harness_signal(f->mesh->nodes[FAULTY_NODE].target, SIGSTOP);
	callers_wait_calls(f->callers, CALLS);
	harness_signal(f->mesh->nodes[FAULTY_NODE].target, SIGCONT);
	stop_and_check(f);
}

static void
add(const char *name, void (*test)(fixture_t *f, gconstpointer data))
{
	g_test_add(name, fixture_t, NULL, set_up, test, tear_down);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/not-run/nodes-killed", test_nodes_with_targets_are_killed);
	add("/not-run/link-cut", test_link_to_the_target_is_cut);
	add("/not-run/silent", test_connections_become_silent);
	add("/not-run/crossed", test_answers_are_delayed_and_swapped);
	add("/not-run/crossed-refusals", test_refusals_are_swapped);
	add("/not-run/shed", test_targets_shed_load);
	add("/not-run/node-paused", test_node_of_the_target_is_paused);
	add("/not-run/target-paused", test_target_is_paused);
	return g_test_run();
}
