#ifndef BF_USAGE_CAPS_LIMIT_H
#define BF_USAGE_CAPS_LIMIT_H

#include "base/clock.h"
#include "usage_caps/pool.h"

/*
 * The token bucket that enforces a usage cap within a time window.
 *
 * Handles the load patterns "an account asks for more than its rate, for
 * minutes" and "an account of a few calls a second asks for them together".  A
 * bucket of the stated rate and burst uses the burst once and then refuses
 * calls that every window still has room for.  This one spreads a part of the
 * burst over the window, and has a few more tokens at once.
 */

/* The window in which a cap holds, and what is tolerated beyond it. */
typedef struct bf_caps_window {
	bf_time_us_t window_us;
	uint32_t slack; /* calls */
} bf_caps_window_t;

/*
 * The bucket for a cap of rate_per_s and burst: in no window does it create
 * more than rate_per_s x window + burst + a quarter of the slack.  The rest of
 * the slack is for the failures of docs/design/usage-caps.md.
 */
bf_caps_limit_t bf_caps_limit_of(
    double rate_per_s, double burst, const bf_caps_window_t *window);

#endif
