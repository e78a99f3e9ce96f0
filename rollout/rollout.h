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
 * Rollout of one move on one node: decides which share of each route's calls
 * goes to the new version, and when the move is done or taken back.  It is a
 * state machine of (state, input, current time): the same inputs in the same
 * order give the same shares and actions.  Times are wall clock.
 *
 * A zone that is partitioned from all others continues with the statistics of
 * its own calls alone.
 */

/* Ready targets of each version of the service, as known to this node. */
typedef struct bf_rollout_target_counts {
	uint32_t old_targets;
	uint32_t old_slots;
	uint32_t new_targets;
	uint32_t new_slots;
} bf_rollout_target_counts_t;

/* Longest time between two steps at which decisions are still timely. */
#define BF_ROLLOUT_STEP_US (250 * BF_US_PER_MS)

/*
 * Probability that a good version is taken back at any time in one move,
 * shared among zones, routes, failures and latency.
 */
#define BF_ROLLOUT_ALPHA 0.005

typedef struct bf_rollout bf_rollout_t;

/* Actions that a step requests. */
typedef struct bf_rollout_out {
	bool shares_changed; /* see bf_rollout_shares */
	bool state_changed;  /* state or reason: to be logged */
	/*
	 * A verdict reached here is to be distributed (kind "verdict", key
	 * move id, rank bf_verdict_rank).  An instance that can reach the store
	 * keeps the JSON of the verdict of greatest rank there, under the
	 * move's outcome key.
	 */
	bool verdict_reached;
	bf_verdict_t verdict;
} bf_rollout_out_t;

/*
 * Creates the rollout of the service's move (which must not be NULL) on a node
 * of the given zone.  The strings are copied.  Returns NULL when out of memory.
 */
bf_rollout_t *bf_rollout_new(
    const bf_service_t *service, const char *zone, const char *instance);
void bf_rollout_free(bf_rollout_t *rollout);

/* Inputs.  Statistics and verdicts of other moves are ignored. */
void bf_rollout_add_stats(
    bf_rollout_t *rollout, const bf_move_stats_t *stats, bf_time_us_t now_us);
void bf_rollout_add_verdict(
    bf_rollout_t *rollout, const bf_verdict_t *verdict, bf_time_us_t now_us);
void bf_rollout_set_targets(bf_rollout_t *rollout,
    const bf_rollout_target_counts_t *targets, bf_time_us_t now_us);

/*
 * Sets whether this instance is one of its zone's collectors (see
 * bf_aggregator_is_collector).  Each instance applies its own verdict to its
 * shares at once.  Collectors also publish it at once; the others publish it
 * after a delay unless it has been published by then.
 */
void bf_rollout_set_collector(bf_rollout_t *rollout, bool is_collector);

/* Decides at now_us, which must not decrease from step to step. */
void bf_rollout_step(
    bf_rollout_t *rollout, bf_time_us_t now_us, bf_rollout_out_t *out);

/*
 * Writes the current shares, one per route and at most max, for
 * bf_table_compile.  Returns the number of routes.  The strings live as long as
 * the rollout.
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
	uint32_t share_ppm; /* the least of all routes */
	bool complete; /* all traffic moved; for bf_aggregator_set_complete */
	bool late;     /* it was not complete at its deadline */
} bf_rollout_status_t;

void bf_rollout_status(
    const bf_rollout_t *rollout, bf_rollout_status_t *status);

#endif
