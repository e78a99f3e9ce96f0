#ifndef BF_ROUTE_BUDGET_H
#define BF_ROUTE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A retry budget limits retries to a share of all calls, not to a number per
 * call, so that retries do not overload a dependency that is failing.  Each
 * worker has its own budget; it is not thread-safe.
 */

typedef struct bf_budget {
	uint32_t deposit_ppm; /* added for each first attempt */
	uint64_t balance_ppm; /* available retries, in millionths */
	uint64_t limit_ppm;   /* upper bound of the balance */
} bf_budget_t;

#define BF_BUDGET_RETRY_PPM UINT64_C(1000000)

/*
 * share_ppm is the number of retries allowed per million calls.  burst is the
 * largest balance in whole retries, and also the initial one.
 */
void bf_budget_init(bf_budget_t *budget, uint32_t share_ppm, uint32_t burst);

/* Credits the budget for a first attempt. */
void bf_budget_deposit(bf_budget_t *budget);

/* Withdraws one retry; returns false when the budget is exhausted. */
bool bf_budget_withdraw(bf_budget_t *budget);

#endif
