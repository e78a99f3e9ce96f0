#include <stdio.h>

#include <apr_general.h>
#include <glib.h>

#include "store/revision.h"
#include "tests/mesh_fixture.h"

/*
 * The store comes back from a copy that is some seconds old, at each step of a
 * move and of a change of the configuration.  Without the era, nodes waited for
 * revisions beyond those that the store had, took a lost order for one that was
 * withdrawn, and never wrote again what they had written once.
 */

#define WAIT_US (5 * BF_US_PER_S)
/* Nodes learn of the era by their next call, and register within 1 s. */
#define RESTORED_US (5 * BF_US_PER_S / 2)
#define ROUTES "/read/ safe shop 1000 500 2 1\n"
#define ORDER "shop v2 60000"

typedef enum step {
	STEP_BEFORE_ORDER,
	STEP_ORDERED,
	STEP_COMPLETED,
	STEP_WRITTEN,
	STEP_NEXT_CONFIG,
	STEPS
} step_t;

static mesh_fixture_t *
new_configured(void)
{
	mesh_fixture_t *fixture = fixture_new(3);
	uint32_t i;

	fixture_configure(fixture, "7\n" ROUTES);
	for (i = 0; i < 3; i++)
		g_assert_cmpint(
		    fixture_heartbeat(fixture, i, "v1", false), ==, BF_OK);
	fixture_run(fixture, BF_US_PER_S);
	return fixture;
}

/* Goes on to a step; every one before has been done. */
static void
do_step(mesh_fixture_t *fixture, step_t step)
{
	uint32_t i;

	switch (step) {
	case STEP_BEFORE_ORDER:
		break;
	case STEP_ORDERED:
		fixture->targets[2].start_ms = 9000;
		(void)snprintf(fixture->targets[2].id,
		    sizeof(fixture->targets[2].id), "new");
		fixture_put(fixture, "ops/move/shop", ORDER);
		g_assert_cmpint(
		    fixture_heartbeat(fixture, 2, "v2", false), ==, BF_OK);
		break;
	case STEP_COMPLETED:
		/* Its outcome cannot be stored yet. */
		fixture->store.down = true;
		for (i = 0; i < 3; i++)
			fixture->nodes[i]->moves[0].move.state =
			    BF_MOVE_COMPLETED;
		fixture_run(fixture, BF_US_PER_S / 2);
		fixture->store.down = false;
		return;
	case STEP_WRITTEN:
		break;
	case STEP_NEXT_CONFIG:
		fixture_put(fixture, "ops/config",
		    "9\n" ROUTES "/new/ safe shop 1000 500 2 1\n");
		break;
	case STEPS:
		break;
	}
	fixture_run(fixture, BF_US_PER_S);
}

static void
check_after(mesh_fixture_t *fixture, step_t reached)
{
	bf_move_state_t state =
	    reached >= STEP_COMPLETED ? BF_MOVE_COMPLETED : BF_MOVE_ACTIVE;
	test_call_t call;
	char key[128];
	uint32_t i;

	for (i = 0; i < 3; i++) {
		g_assert_cmpuint(bf_routing_version(fixture->nodes[i]->routing),
		    ==, reached >= STEP_NEXT_CONFIG ? 9 : 7);
		g_assert_cmpuint(fixture->nodes[i]->store_era, ==, 1);
		/* Registered anew, under a lease of the new era. */
		(void)snprintf(key, sizeof(key), "members/%s",
		    fixture->nodes[i]->self->instance);
		g_assert_nonnull(fixture_stored(fixture, key));
		g_assert_cmpuint(
		    bf_revision_era(fixture->nodes[i]->member_revision), ==, 1);
		if (reached < STEP_ORDERED)
			continue;
		g_assert_cmpint(
		    fixture->nodes[i]->moves[0].move.state, ==, state);
		g_assert_cmpstr(
		    fixture->nodes[i]->moves[0].move.version, ==, "v2");
	}
	if (reached >= STEP_ORDERED)
		g_assert_cmpstr(fixture_stored(fixture, "out/shop"), ==,
		    reached >= STEP_COMPLETED ? "shop v2 1" : "shop v2 0");
	fixture_send(fixture, &call, 0, "GET",
	    reached >= STEP_NEXT_CONFIG ? "/new/x" : "/read/x", "after", 800,
	    0);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 200);
}

/*
 * The copy is made after one step, and the store is restored after another one;
 * the operator writes again what the copy lacks, or does not.
 */
static void
play(step_t copied, step_t reached, bool rewritten)
{
	mesh_fixture_t *fixture = new_configured();
	memory_store_t *copy = NULL;
	step_t step;

	g_test_message("copied at step %d, restored at step %d, %s",
	    (int)copied, (int)reached,
	    rewritten ? "written again" : "not written again");
	for (step = STEP_BEFORE_ORDER; step <= reached; step++) {
		do_step(fixture, step);
		if (step == copied)
			copy = fixture_copy_store(fixture);
	}
	fixture_restore_store(fixture, copy);
	g_free(copy);
	if (rewritten) {
		/* Some other keys take the numbers that were given before. */
		fixture_put(fixture, "ops/other", "x");
		if (reached >= STEP_NEXT_CONFIG)
			fixture_put(fixture, "ops/config",
			    "9\n" ROUTES "/new/ safe shop 1000 500 2 1\n");
		if (reached >= STEP_ORDERED)
			fixture_put(fixture, "ops/move/shop", ORDER);
	}
	fixture_run(fixture, RESTORED_US);
	check_after(fixture, reached);
	fixture_free(fixture);
}

static void
check_every_step(void)
{
	int copied, reached;

	/* The copy is of before the move, of the step before or of the last. */
	for (reached = STEP_BEFORE_ORDER; reached < STEPS; reached++) {
		for (copied = STEP_BEFORE_ORDER; copied <= reached; copied++) {
			if (copied == STEP_BEFORE_ORDER ||
			    copied >= reached - 1)
				play((step_t)copied, (step_t)reached,
				    (copied + reached) % 2 == 0);
		}
	}
}

/* A change after the restoration reaches all nodes, whatever its number. */
static void
check_later_change(void)
{
	mesh_fixture_t *fixture = new_configured();
	memory_store_t *copy = fixture_copy_store(fixture);
	uint32_t i;

	for (i = 0; i < 20; i++)
		fixture_put(fixture, "ops/other", "x");
	fixture_run(fixture, BF_US_PER_S);
	fixture_restore_store(fixture, copy);
	g_free(copy);
	fixture_run(fixture, BF_US_PER_S);
	fixture_configure(
	    fixture, "8\n" ROUTES "/new/ safe shop 1000 500 2 1\n");
	for (i = 0; i < 3; i++)
		g_assert_cmpuint(
		    bf_routing_version(fixture->nodes[i]->routing), ==, 8);
	fixture_free(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	g_test_add_func("/store-restored/every-step", check_every_step);
	g_test_add_func("/store-restored/later-change", check_later_change);
	return g_test_run();
}
