#ifndef BF_MESH_RETRY_BUDGET_H
#define BF_MESH_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Retry budget of a node for the calls to one service, a part of the budget
 * that all nodes share: within each sliding window, retries are limited to a
 * share of the calls in it plus a fixed extra number.
 *
 * Handles the load pattern "little traffic, then many calls lost at once, as
 * when a node fails together with its target".  A token bucket that gains a
 * part of a token with each call and holds few of them is empty after the first
 * of these retries, although few were made in the whole window.
 */

/* Number of buckets that make up a window, which slides by one bucket. */
#define BF_RETRY_BUDGET_BUCKETS 20

typedef struct bf_retry_budget {
	bf_time_us_t window_us;
	bf_time_us_t newest_began_at_us; /* of the newest bucket; 0: no call */
	/* One bucket more, since the oldest is only partly in the window. */
	uint32_t calls[BF_RETRY_BUDGET_BUCKETS + 1];
	uint32_t retries[BF_RETRY_BUDGET_BUCKETS + 1];
	uint32_t newest; /* index of the newest bucket */
} bf_retry_budget_t;

void bf_retry_budget_init(bf_retry_budget_t *budget, bf_time_us_t window_us);

/* Counts the first attempt of a call. */
void bf_retry_budget_count_call(bf_retry_budget_t *budget, bf_time_us_t now_us);

/*
 * Counts a retry that is not this node's decision, such as a call that a target
 * makes while it runs a retry.
 */
void bf_retry_budget_count_retry(
    bf_retry_budget_t *budget, bf_time_us_t now_us);

/*
 * Counts a retry and returns true if the window allows it.  share is the
 * allowed ratio of retries to calls, extra this node's part of the retries
 * allowed beyond that.
 */
bool bf_retry_budget_take(
    bf_retry_budget_t *budget, double share, double extra, bf_time_us_t now_us);

#endif
