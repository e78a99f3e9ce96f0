#ifndef BF_FAIRNESS_REFUSALS_H
#define BF_FAIRNESS_REFUSALS_H

#include <stdint.h>

#include "base/clock.h"

/*
 * Refusals of the last moments at an entry node.
 *
 * Handles the load pattern "hundreds of calls a second that find no capacity".
 * Each was offered to three nodes to be refused by all.  Once a call was
 * refused so, the next ones of the same kind are refused without an offer until
 * a part of the stated wait has passed; then one is offered again.
 *
 * A kind is a hash of all that decides on a refusal: service, route, account,
 * priority, origin.
 */

typedef struct bf_refusal {
	uint64_t kind;
	bf_time_us_t until_us;   /* refused without an offer */
	bf_time_us_t free_at_us; /* expected start of a call */
	bf_time_us_t left_us;    /* until its objective, of the refused call */
} bf_refusal_t;

/* Older refusals are replaced; their kinds are offered again earlier. */
#define BF_REFUSALS_MAX 256

typedef struct bf_refusals {
	bf_refusal_t entries[BF_REFUSALS_MAX];
} bf_refusals_t;

/*
 * Records that nodes refused a call as busy, wait_us being the shortest
 * expected wait that they stated and left_us the time from its arrival until
 * its objective.
 */
void bf_refusals_record(bf_refusals_t *refusals, uint64_t kind,
    bf_time_us_t wait_us, bf_time_us_t left_us, bf_time_us_t now_us);

/*
 * The expected wait with which to refuse a call of that kind now; 0: offer it.
 * A call with more time than the refused one is always offered.
 */
bf_time_us_t bf_refusals_wait_us(const bf_refusals_t *refusals, uint64_t kind,
    bf_time_us_t left_us, bf_time_us_t now_us);

#endif
