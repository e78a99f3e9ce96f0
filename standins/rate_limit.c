#include "standins/rate_limit.h"

#define US_PER_S 1000000.0

bool
rate_limit_allow(rate_limit_t *limit, int64_t now_us)
{
	limit->tokens +=
	    (double)(now_us - limit->refilled_us) / US_PER_S * limit->per_s;
	if (limit->refilled_us == 0 || limit->tokens > limit->per_s)
		limit->tokens = limit->per_s;
	limit->refilled_us = now_us;
	if (limit->tokens < 1)
		return false;
	limit->tokens -= 1;
	return true;
}
