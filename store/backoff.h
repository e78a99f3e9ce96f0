#ifndef BF_STORE_BACKOFF_H
#define BF_STORE_BACKOFF_H

#include <stdint.h>

#include <gsl/gsl_rng.h>

#include "base/clock.h"

/*
 * Bounded exponential backoff with full jitter.  Computes the time of the next
 * attempt; the caller waits.  After N consecutive failures the delay is drawn
 * uniformly from (0, min(limit, base * 2^(N-1))], so that nodes which failed
 * at the same time do not retry at the same time.
 */

typedef struct bf_backoff {
	uint32_t base_ms;  /* longest delay after the first failure; not 0 */
	uint32_t limit_ms; /* longest delay after any number of failures */
	uint32_t failures; /* consecutive; starts at 0 */
} bf_backoff_t;

/* Records a failure; returns the time of the next attempt, after now_us. */
bf_time_us_t bf_backoff_failed(
    bf_backoff_t *backoff, bf_time_us_t now_us, gsl_rng *rng);

/* Records a success: the next failure starts from base_ms again. */
void bf_backoff_succeeded(bf_backoff_t *backoff);

#endif
