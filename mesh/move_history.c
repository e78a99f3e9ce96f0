#include <stdio.h>
#include <string.h>

#include "mesh/move_history.h"
#include "store/revision.h"

/* Whether the order was seen in an earlier era, under the same number. */
static bool
was_seen(
    const bf_move_history_t *history, const char *version, uint64_t revision)
{
	uint64_t seen;
	uint32_t i;

	for (i = 0; i < history->count; i++) {
		seen = history->orders[i].revision;
		if (bf_revision_number(seen) == bf_revision_number(revision) &&
		    bf_revision_era(seen) < bf_revision_era(revision) &&
		    strcmp(history->orders[i].version, version) == 0)
			return true;
	}
	return false;
}

bf_order_kind_t
bf_move_history_classify(const bf_move_history_t *history,
    const bf_move_t *move, const char *version, uint64_t revision)
{
	bool is_same_version = strcmp(move->version, version) == 0;

	if (revision <= move->order_revision)
		return BF_ORDER_OLD;
	if (move->order_revision == 0 ||
	    bf_revision_era(revision) == bf_revision_era(move->order_revision))
		return BF_ORDER_NEW;
	if (was_seen(history, version, revision))
		return is_same_version &&
			bf_revision_number(revision) ==
			    bf_revision_number(move->order_revision)
		    ? BF_ORDER_SAME
		    : BF_ORDER_OLD;
	return is_same_version ? BF_ORDER_SAME : BF_ORDER_NEW;
}

void
bf_move_history_add(
    bf_move_history_t *history, const char *version, uint64_t revision)
{
	uint32_t kept = history->count;

	if (kept > 0 && history->orders[0].revision == revision)
		return;
	if (kept == BF_MOVE_HISTORY_MAX)
		kept--;
	memmove(&history->orders[1], &history->orders[0],
	    kept * sizeof(history->orders[0]));
	history->orders[0].revision = revision;
	(void)snprintf(history->orders[0].version,
	    sizeof(history->orders[0].version), "%s", version);
	history->count = kept + 1;
}
