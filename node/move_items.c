#include "node/moves.h"
#include "rollout/move_stats.h"
#include "rollout/verdict.h"

/*
 * The kinds of replicated items that moves use, and the functions that decide
 * whether an incoming value replaces the current one of a key: statistics that
 * count more calls, or a verdict of greater rank.  The control plane calls
 * these functions with values received from peers, so malformed or hostile
 * incoming bytes must give false.  A malformed current value is replaced by
 * any well-formed one.
 */

/*
 * The control plane removes a move's statistics when this time has passed since
 * their last change on this node, so that those of former moves do not stay.
 */
#define STATS_EXPIRY_MS (3600 * 1000)
/* Minimum time between a collector's publications of a move's statistics. */
#define STATS_INTERVAL_MS 1000

static bool
is_newer_stats(const void *current, size_t current_bytes, const void *incoming,
    size_t incoming_bytes)
{
	bf_move_stats_t old, stats;

	if (bf_move_stats_decode(incoming, incoming_bytes, &stats, NULL) !=
	    BF_OK)
		return false;
	if (current == NULL)
		return true;
	if (bf_move_stats_decode(current, current_bytes, &old, NULL) != BF_OK)
		return true;
	return bf_move_stats_count_calls(&stats) >
	    bf_move_stats_count_calls(&old);
}

static bool
is_newer_outcome(const void *current, size_t current_bytes,
    const void *incoming, size_t incoming_bytes)
{
	bf_verdict_t old, verdict;

	if (bf_verdict_parse(incoming, incoming_bytes, &verdict, NULL) != BF_OK)
		return false;
	if (current == NULL)
		return true;
	if (bf_verdict_parse(current, current_bytes, &old, NULL) != BF_OK)
		return true;
	return bf_verdict_rank(&verdict) > bf_verdict_rank(&old);
}

static const bf_item_vtable_t stats_vtable = { .newer = is_newer_stats };
static const bf_item_vtable_t outcome_vtable = { .newer = is_newer_outcome };

const bf_item_kind_t bf_moves_item_kinds[] = {
	{
	    .vtable = &stats_vtable,
	    .kind = BF_ITEM_MOVE_STATS,
	    .expiry_ms = STATS_EXPIRY_MS,
	    .interval_ms = STATS_INTERVAL_MS,
	},
	{ .vtable = &outcome_vtable, .kind = BF_ITEM_OUTCOME },
};
const size_t bf_moves_item_kind_count =
    sizeof(bf_moves_item_kinds) / sizeof(bf_moves_item_kinds[0]);
