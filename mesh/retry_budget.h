#ifndef BF_MESH_REPEATS_H
#define BF_MESH_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * A node's part of the budget that all nodes share for repeats of calls to a
 * service: within each window of time, a share of the calls in it, and some.
 *
 * Answers the load pattern "quiet, then many calls lost at once, as when a
 * node with its target goes": a budget that earns by the call and saves up
 * little has none left after the first of them, though few repeats were made
 * in the whole window.
 */

/* A window is counted in so many spans, and slides by one. */
#define BF_RETRY_BUDGET_BUCKETS 20

typedef struct bf_retry_budget {
	bf_time_us_t window_us;
	bf_time_us_t
	    newest_began_at_us; /* start of the newest span; 0: no call yet */
	/* One span more than a window: the oldest is partly outside. */
	uint32_t calls[BF_RETRY_BUDGET_BUCKETS + 1];
	uint32_t retries[BF_RETRY_BUDGET_BUCKETS + 1];
	uint32_t newest;
} bf_retry_budget_t;

void bf_retry_budget_init(bf_retry_budget_t *repeats, bf_time_us_t window_us);

/* A first attempt. */
void bf_retry_budget_count_call(
    bf_retry_budget_t *repeats, bf_time_us_t now_us);

/* A repeat that somebody else has made already. */
void bf_retry_budget_count_retry(
    bf_retry_budget_t *repeats, bf_time_us_t now_us);

/*
 * Takes one repeat; false when the window has no room.  share: of the calls of
 * the window; extra: beyond that, this node's part.
 */
bool bf_retry_budget_take(bf_retry_budget_t *repeats, double share,
    double extra, bf_time_us_t now_us);

#endif
