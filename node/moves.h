#ifndef BF_NODE_MOVES_H
#define BF_NODE_MOVES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "config/snapshot.h"
#include "control/control.h"
#include "member/record.h"
#include "route/table.h"

/*
 * The moves of the configuration in force: connects the rollout decisions of
 * this node and the aggregation of call statistics to the control plane.  Not
 * thread-safe; the node calls it with its lock held.
 */

typedef struct bf_moves bf_moves_t;
struct bf_evidence;

/* Kinds of replicated items and of direct messages of the control plane. */
#define BF_ITEM_MOVE_STATS 1    /* call statistics of a move in a zone */
#define BF_ITEM_OUTCOME 2       /* verdict on a move, as JSON */
#define BF_DIRECT_MOVE_REPORT 1 /* one node's tallies, to a collector */

/* The kinds of items above, for bf_control_options_t. */
extern const bf_item_kind_t bf_moves_item_kinds[];
extern const size_t bf_moves_item_kind_count;

typedef struct bf_moves_options {
	const char *instance;
	const char *zone;
	uint64_t incarnation;
	struct bf_evidence *evidence;
	uint32_t trace_events_max; /* recorded per move for a replay; 0: off */
	bf_counters_t *counters;
	bf_log_t *log;
} bf_moves_options_t;

bf_moves_t *bf_moves_new(const bf_moves_options_t *options);
void bf_moves_free(bf_moves_t *moves);

/* Sets the control plane that sends reports, items and outcomes. */
void bf_moves_set_control(bf_moves_t *moves, bf_control_t *control);

/*
 * Replaces the moves by those of a new configuration.  A move whose id stays
 * the same keeps its state.
 */
bf_code_t bf_moves_set_snapshot(
    bf_moves_t *moves, const bf_snapshot_t *snapshot, bf_error_t *err);

void bf_moves_set_members(bf_moves_t *moves, const bf_record_t *records,
    size_t record_count, bf_time_us_t wall_us);

void bf_moves_receive_item(bf_moves_t *moves, uint32_t kind, const char *key,
    const void *value, size_t value_bytes, bf_time_us_t wall_us);

void bf_moves_receive_message(bf_moves_t *moves, uint32_t kind,
    const void *data, size_t data_bytes, bf_time_us_t wall_us);

/*
 * Runs the steps that are due; true when the shares changed.  relay: this node
 * is a relay, which writes the outcomes to the store.
 */
bool bf_moves_tick(bf_moves_t *moves, bool relay, bf_time_us_t wall_us);

/*
 * Writes the current shares of all moves, at most max of them.  Returns the
 * total number of shares, which may be greater.
 */
size_t bf_moves_shares(const bf_moves_t *moves, bf_share_t *shares, size_t max);

/* Returns a JSON array with one object per move, for the administration API. */
json_t *bf_moves_json(const bf_moves_t *moves);

/*
 * Returns the recorded trace of a move, as text allocated from pool: "" while
 * recording is off, NULL when there is no such move.
 */
const char *bf_moves_trace(
    const bf_moves_t *moves, const char *id, apr_pool_t *pool);

#endif
