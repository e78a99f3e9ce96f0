#include "mesh/retry_budget.h"

#define BUCKETS (BF_RETRY_BUDGET_BUCKETS + 1)

void
bf_retry_budget_init(bf_retry_budget_t *budget, bf_time_us_t window_us)
{
	*budget = (bf_retry_budget_t){ .window_us = window_us };
}

static void
slide_window(bf_retry_budget_t *budget, bf_time_us_t now_us)
{
	bf_time_us_t bucket_us = budget->window_us / BF_RETRY_BUDGET_BUCKETS;

	if (bucket_us < 1)
		bucket_us = 1;
	if (budget->newest_began_at_us == 0 ||
	    now_us - budget->newest_began_at_us > BUCKETS * bucket_us) {
		bf_retry_budget_init(budget, budget->window_us);
		budget->newest_began_at_us = now_us;
		return;
	}
	while (now_us - budget->newest_began_at_us >= bucket_us) {
		budget->newest_began_at_us += bucket_us;
		budget->newest = (budget->newest + 1) % BUCKETS;
		budget->calls[budget->newest] = 0;
		budget->retries[budget->newest] = 0;
	}
}

void
bf_retry_budget_count_call(bf_retry_budget_t *budget, bf_time_us_t now_us)
{
	slide_window(budget, now_us);
	budget->calls[budget->newest]++;
}

void
bf_retry_budget_count_retry(bf_retry_budget_t *budget, bf_time_us_t now_us)
{
	slide_window(budget, now_us);
	budget->retries[budget->newest]++;
}

bool
bf_retry_budget_take(
    bf_retry_budget_t *budget, double share, double extra, bf_time_us_t now_us)
{
	uint32_t oldest, calls = 0, retries = 0, i;

	slide_window(budget, now_us);
	oldest = (budget->newest + 1) % BUCKETS;
	for (i = 0; i < BUCKETS; i++) {
		retries += budget->retries[i];
		calls += i != oldest ? budget->calls[i] : 0;
	}
	if ((double)retries + 1 > share * calls + extra)
		return false;
	budget->retries[budget->newest]++;
	return true;
}
