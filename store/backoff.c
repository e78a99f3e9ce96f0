#include "store/backoff.h"

/* A base_ms of 32 bits times 2^32 fits into 64 bits. */
#define DOUBLINGS_MAX 32

static uint64_t
bound_us(const bf_backoff_t *backoff)
{
	uint64_t bound_ms;
	uint32_t doublings;

	doublings = backoff->failures - 1;
	if (doublings > DOUBLINGS_MAX - 1)
		doublings = DOUBLINGS_MAX - 1;
	bound_ms = (uint64_t)backoff->base_ms << doublings;
	if (bound_ms > backoff->limit_ms)
		bound_ms = backoff->limit_ms;
	return bound_ms * (uint64_t)BF_US_PER_MS;
}

bf_time_us_t
bf_backoff_failed(bf_backoff_t *backoff, bf_time_us_t now_us, gsl_rng *rng)
{
	double delay_us;

	if (backoff->failures < UINT32_MAX)
		backoff->failures++;
	delay_us = gsl_rng_uniform_pos(rng) * (double)bound_us(backoff);
	return now_us + 1 + (bf_time_us_t)delay_us;
}

void
bf_backoff_succeeded(bf_backoff_t *backoff)
{
	backoff->failures = 0;
}
