#ifndef BF_FAIRNESS_RESERVE_H
#define BF_FAIRNESS_RESERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Limits how many slots of a target long, less urgent runs may take while
 * short, more urgent calls arrive.
 *
 * Handles the load pattern "a burst of long runs of the lowest priority at a
 * service that calls of other services need".  Runs cannot be preempted: once
 * all slots hold runs of 160 ms, an urgent call of 30 ms waits for one of them
 * to end, misses its objective, and its parent, which holds a slot elsewhere,
 * fails.  The slots kept are those that the recent arrivals of such calls
 * occupy on average, and one standard deviation (of a Poisson process, as of
 * independent arrivals).  Nothing is kept when there are none.
 *
 * Calls are counted by kind: priority, origin and run time.
 */

typedef struct bf_reserve_kind {
	uint32_t priority;
	bool inner;         /* made by a target that waits for it */
	uint32_t magnitude; /* of the run time: each twice the one before */
	uint32_t running;
	uint32_t waiting;
	double work_us; /* that arrived recently, as of the last update */
	double run_us;  /* moving average */
} bf_reserve_kind_t;

/* Further kinds are neither limited nor counted. */
#define BF_RESERVE_KINDS_MAX 32

typedef struct bf_reserve {
	bf_reserve_kind_t kinds[BF_RESERVE_KINDS_MAX];
	uint32_t kind_count;
	bf_time_us_t updated_at_us;
} bf_reserve_t;

/* Counts a call that arrives; returns its kind, NULL if it is not counted. */
bf_reserve_kind_t *bf_reserve_count_arrival(bf_reserve_t *reserve,
    uint32_t priority, bool inner, bf_time_us_t run_us, bf_time_us_t now_us);

/*
 * Slots that calls of this kind, and those as long that are no more urgent, may
 * take together: all, unless shorter and more urgent calls arrive.  kind may be
 * NULL.
 */
uint32_t bf_reserve_limit(
    const bf_reserve_t *reserve, const bf_reserve_kind_t *kind, uint32_t slots);

/* Whether a call of this kind may take one of the slots now. */
bool bf_reserve_permits(
    const bf_reserve_t *reserve, const bf_reserve_kind_t *kind, uint32_t slots);

/* Whether calls of the kind are counted in the limit of the other kind. */
bool bf_reserve_counts_in(
    const bf_reserve_kind_t *kind, const bf_reserve_kind_t *limited);

#endif
