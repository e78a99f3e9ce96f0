#ifndef BF_ROUTE_BUDGET_H
#define BF_ROUTE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A retry budget: retries are a share of the calls, not a count a call, so
 * that a failing dependency is not buried under its own retries.  Each worker
 * has one; it is not thread-safe.
 */

typedef struct bf_budget {
	uint32_t earned_ppm;  /* of a retry, for each first attempt */
	uint64_t balance_ppm; /* retries in hand, in parts of a million */
	uint64_t limit_ppm;   /* most that can be saved up */
} bf_budget_t;

#define BF_BUDGET_RETRY_PPM UINT64_C(1000000)

/*
 * share_ppm: retries allowed for each million calls; burst: whole retries that
 * may be saved up, also what the budget starts with.
 */
void bf_budget_init(bf_budget_t *budget, uint32_t share_ppm, uint32_t burst);

/* Counts a first attempt. */
void bf_budget_earn(bf_budget_t *budget);

/* Takes one retry; false when the budget is spent. */
bool bf_budget_take(bf_budget_t *budget);

#endif
