#include "mesh/retry_budget.h"

#define SPANS (BF_RETRY_BUDGET_BUCKETS + 1)

void
bf_retry_budget_init(bf_retry_budget_t *repeats, bf_time_us_t window_us)
{
	*repeats = (bf_retry_budget_t){ .window_us = window_us };
}

static void
slide(bf_retry_budget_t *repeats, bf_time_us_t now_us)
{
	bf_time_us_t span_us = repeats->window_us / BF_RETRY_BUDGET_BUCKETS;

	if (span_us < 1)
		span_us = 1;
	if (repeats->newest_began_at_us == 0 ||
	    now_us - repeats->newest_began_at_us > SPANS * span_us) {
		bf_retry_budget_init(repeats, repeats->window_us);
		repeats->newest_began_at_us = now_us;
		return;
	}
	while (now_us - repeats->newest_began_at_us >= span_us) {
		repeats->newest_began_at_us += span_us;
		repeats->newest = (repeats->newest + 1) % SPANS;
		repeats->calls[repeats->newest] = 0;
		repeats->retries[repeats->newest] = 0;
	}
}

void
bf_retry_budget_count_call(bf_retry_budget_t *repeats, bf_time_us_t now_us)
{
	slide(repeats, now_us);
	repeats->calls[repeats->newest]++;
}

void
bf_retry_budget_count_retry(bf_retry_budget_t *repeats, bf_time_us_t now_us)
{
	slide(repeats, now_us);
	repeats->retries[repeats->newest]++;
}

bool
bf_retry_budget_take(
    bf_retry_budget_t *repeats, double share, double extra, bf_time_us_t now_us)
{
	uint32_t oldest, calls = 0, made = 0, i;

	slide(repeats, now_us);
	oldest = (repeats->newest + 1) % SPANS;
	for (i = 0; i < SPANS; i++) {
		made += repeats->retries[i];
		calls += i != oldest ? repeats->calls[i] : 0;
	}
	if ((double)made + 1 > share * calls + extra)
		return false;
	repeats->retries[repeats->newest]++;
	return true;
}
