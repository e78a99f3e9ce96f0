#ifndef BF_ROLLOUT_ROLLOUT_H
#define BF_ROLLOUT_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "config/snapshot.h"
#include "member/record.h"
#include "rollout/move_stats.h"
#include "rollout/verdict.h"
#include "route/table.h"

/*
 * The decision of one move on one node: which share of each route's calls goes
 * to the new version, and when the move is done or taken back.  A state
 * machine of (state, input, present time): the same inputs in the same order
 * give the same shares and actions.  Times are wall clock.
 *
 * A zone that is cut off from all others goes on with its own pool alone.
 */

/* Targets that this node sees, ready, of each version of the service. */
typedef struct bf_rollout_target_counts {
	uint32_t old_targets;
	uint32_t old_slots;
	uint32_t new_targets;
	uint32_t new_slots;
} bf_rollout_target_counts_t;

/* Longest time between two steps for a timely decision. */
#define BF_ROLLOUT_STEP_US (250 * BF_US_PER_MS)

/*
 * Chance that a good version is taken back by watching one move to its end,
 * shared among zones, routes, failures and latency.
 */
#define BF_ROLLOUT_ALPHA 0.005

typedef struct bf_rollout bf_rollout_t;

/* What a step asks for. */
typedef struct bf_rollout_out {
	bool shares_changed; /* see bf_rollout_shares */
	bool state_changed;  /* worth a log line */
	/*
	 * A verdict was reached here: spread it (kind verdict, key move id,
	 * rank bf_verdict_rank).  Whoever reaches the store keeps the JSON of
	 * the greatest verdict known under the move's outcome key.
	 */
	bool verdict_reached;
	bf_verdict_t verdict;
} bf_rollout_out_t;

/*
 * A rollout of the service's move (which must not be NULL) as seen by a node
 * of the given zone.  The strings are copied.  NULL when memory is short.
 */
bf_rollout_t *bf_rollout_new(
    const bf_service_t *service, const char *zone, const char *instance);
void bf_rollout_free(bf_rollout_t *rollout);

/* Inputs.  Pools and verdicts of other moves are ignored. */
void bf_rollout_add_stats(
    bf_rollout_t *rollout, const bf_move_stats_t *pool, bf_time_us_t now_us);
void bf_rollout_add_verdict(
    bf_rollout_t *rollout, const bf_verdict_t *verdict, bf_time_us_t now_us);
void bf_rollout_set_targets(bf_rollout_t *rollout,
    const bf_rollout_target_counts_t *targets, bf_time_us_t now_us);

/*
 * Says whether this instance is one of its zone's collectors (see
 * bf_aggregator_is_collector).  Collectors publish a verdict at once; the
 * others apply it to their own shares at once and publish it only if no
 * collector did so within a while.
 */
void bf_rollout_set_collector(bf_rollout_t *rollout, bool collects);

/* Decides at now_us, which must not go back from step to step. */
void bf_rollout_step(
    bf_rollout_t *rollout, bf_time_us_t now_us, bf_rollout_out_t *out);

/*
 * The present shares, one for each route, for bf_table_compile.  Writes at
 * most max and returns the number of routes.  The strings live as long as the
 * rollout.
 */
size_t bf_rollout_shares(
    const bf_rollout_t *rollout, bf_share_t *shares, size_t max);

/* For status pages and logs. */
typedef struct bf_rollout_status {
	const char *service;
	const bf_move_t *move;
	bf_rollout_state_t state;
	bf_rollout_reason_t reason;
	bf_rollout_figures_t figures;
	uint32_t share_ppm; /* the least of the routes' */
	bool
	    complete; /* all traffic is on it: see bf_aggregator_set_complete */
	bool late;    /* its time passed before it was complete */
} bf_rollout_status_t;

void bf_rollout_status(
    const bf_rollout_t *rollout, bf_rollout_status_t *status);

#endif
