#include "node/moves.h"
#include "rollout/move_stats.h"
#include "rollout/verdict.h"

/*
 * The kinds of replicated items that moves use, and which of two values of one
 * key is the newer: what the control plane asks of every peer's value, so
 * hostile bytes must give false.
 */

/* Pools of moves long gone are forgotten by the control plane. */
#define POOL_EXPIRY_MS (3600 * 1000)
/* A collector's pool of a move is spread at most this often. */
#define POOL_INTERVAL_MS 1000

static bool
newer_pool(const void *have, size_t have_bytes, const void *incoming,
    size_t incoming_bytes)
{
	bf_move_stats_t old, pool;

	if (bf_move_stats_decode(incoming, incoming_bytes, &pool, NULL) !=
	    BF_OK)
		return false;
	if (have == NULL)
		return true;
	if (bf_move_stats_decode(have, have_bytes, &old, NULL) != BF_OK)
		return true;
	return bf_move_stats_count_calls(&pool) >
	    bf_move_stats_count_calls(&old);
}

static bool
newer_outcome(const void *have, size_t have_bytes, const void *incoming,
    size_t incoming_bytes)
{
	bf_verdict_t old, verdict;

	if (bf_verdict_parse(incoming, incoming_bytes, &verdict, NULL) != BF_OK)
		return false;
	if (have == NULL)
		return true;
	if (bf_verdict_parse(have, have_bytes, &old, NULL) != BF_OK)
		return true;
	return bf_verdict_rank(&verdict) > bf_verdict_rank(&old);
}

static const bf_item_vtable_t pool_vtable = { .newer = newer_pool };
static const bf_item_vtable_t outcome_vtable = { .newer = newer_outcome };

const bf_item_kind_t bf_moves_item_kinds[] = {
	{
	    .vtable = &pool_vtable,
	    .kind = BF_ITEM_POOL,
	    .expiry_ms = POOL_EXPIRY_MS,
	    .interval_ms = POOL_INTERVAL_MS,
	},
	{ .vtable = &outcome_vtable, .kind = BF_ITEM_OUTCOME },
};
const size_t bf_moves_item_kind_count =
    sizeof(bf_moves_item_kinds) / sizeof(bf_moves_item_kinds[0]);
