#include <glib.h>

#include "mesh/move_history.h"
#include "store/revision.h"

/*
 * Orders of moves that are read after the store was restored from an old copy.
 * Guards against a move that is begun anew, undone or lost because its order
 * has another revision or is missing.
 */

static bf_move_t
move_of(const char *version, uint64_t revision)
{
	bf_move_order_t order = { .service = "shop", .duration_ms = 1000 };
	bf_move_t move;

	(void)g_strlcpy(order.version, version, sizeof(order.version));
	bf_move_begin(&move, &order, revision, 0);
	return move;
}

/* Within an era, the greater revision is the newer order. */
static void
check_one_era(void)
{
	bf_move_history_t history = { 0 };
	bf_move_t none = { 0 }, move = move_of("v2", 10);

	g_assert_cmpint(bf_move_history_classify(&history, &none, "v2", 10), ==,
	    BF_ORDER_NEW);
	bf_move_history_add(&history, "v2", 10);
	g_assert_cmpint(bf_move_history_classify(&history, &move, "v2", 10), ==,
	    BF_ORDER_OLD);
	g_assert_cmpint(bf_move_history_classify(&history, &move, "v1", 9), ==,
	    BF_ORDER_OLD);
	g_assert_cmpint(bf_move_history_classify(&history, &move, "v2", 11), ==,
	    BF_ORDER_NEW);
	g_assert_cmpint(bf_move_history_classify(&history, &move, "v3", 11), ==,
	    BF_ORDER_NEW);
}

/*
 * Orders v2 (10) and v3 (20) were seen, and v3 is in force.  The copy may hold
 * either of them, and the numbers behind it are given out again.
 */
static void
check_restored(void)
{
	bf_move_history_t history = { 0 };
	bf_move_t move = move_of("v3", 20);
	uint64_t again = bf_revision_make(1, 12);

	bf_move_history_add(&history, "v2", 10);
	bf_move_history_add(&history, "v3", 20);
	/* The copy holds the order in force. */
	g_assert_cmpint(bf_move_history_classify(
			    &history, &move, "v3", bf_revision_make(1, 20)),
	    ==, BF_ORDER_SAME);
	/* The copy is older than it. */
	g_assert_cmpint(bf_move_history_classify(
			    &history, &move, "v2", bf_revision_make(1, 10)),
	    ==, BF_ORDER_OLD);
	/* The operator writes it again; its number is smaller than before. */
	g_assert_cmpint(bf_move_history_classify(&history, &move, "v3", again),
	    ==, BF_ORDER_SAME);
	/* A new order gets the number of the one in force. */
	g_assert_cmpint(bf_move_history_classify(
			    &history, &move, "v4", bf_revision_make(1, 20)),
	    ==, BF_ORDER_NEW);
	/* From then on the revisions of the new era count. */
	bf_move_history_add(&history, "v3", again);
	move = move_of("v3", again);
	g_assert_cmpint(bf_move_history_classify(
			    &history, &move, "v3", bf_revision_make(1, 13)),
	    ==, BF_ORDER_NEW);
	g_assert_cmpint(bf_move_history_classify(
			    &history, &move, "v3", bf_revision_make(2, 12)),
	    ==, BF_ORDER_SAME);
	g_assert_cmpint(bf_move_history_classify(
			    &history, &move, "v2", bf_revision_make(2, 10)),
	    ==, BF_ORDER_OLD);
}

/* The oldest order is forgotten when there are many. */
static void
check_full(void)
{
	bf_move_history_t history = { 0 };
	uint64_t revision;

	for (revision = 1; revision <= BF_MOVE_HISTORY_MAX + 3; revision++) {
		bf_move_history_add(&history, "v2", revision);
		bf_move_history_add(&history, "v2", revision);
	}
	g_assert_cmpuint(history.count, ==, BF_MOVE_HISTORY_MAX);
	g_assert_cmpuint(
	    history.orders[0].revision, ==, BF_MOVE_HISTORY_MAX + 3);
	g_assert_cmpuint(
	    history.orders[BF_MOVE_HISTORY_MAX - 1].revision, ==, 4);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/move-history/one-era", check_one_era);
	g_test_add_func("/move-history/restored", check_restored);
	g_test_add_func("/move-history/full", check_full);
	return g_test_run();
}
