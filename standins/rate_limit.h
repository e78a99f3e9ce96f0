#ifndef BF_STANDINS_RATE_LIMIT_H
#define BF_STANDINS_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* A token bucket with a burst of one second's worth of calls. */
typedef struct rate_limit {
	uint32_t per_s; /* 0: every call is refused */
	double tokens;
	int64_t refilled_us; /* monotonic; 0: never, the bucket is full */
} rate_limit_t;

/* Takes a token for a call; false if the call exceeds the limit. */
bool rate_limit_allow(rate_limit_t *limit, int64_t now_us);

#endif
