#include "mesh/throttle.h"

/* The share is updated this often, if enough runs have ended. */
#define UPDATE_INTERVAL_US (200 * BF_US_PER_MS)
#define RUNS_MIN 5
/* Share of overloaded runs that is tolerated, for short bursts of calls. */
#define TOLERATED_SHARE 0.05
/* The refused share grows by this part of the excess in each update. */
#define GAIN 0.3
/* The share is multiplied by this in each update without excess. */
#define DECAY 0.8
/* A smaller share becomes 0. */
#define SHARE_MIN 0.02
#define SHARE_MAX 0.9
/* With fewer runs than RUNS_MIN for this long, the state is reset. */
#define RESET_US (3 * BF_US_PER_S)

static void
update_share(bf_throttle_t *throttle, bf_time_us_t now_us)
{
	double overloaded_share;

	if (now_us - throttle->updated_at_us < UPDATE_INTERVAL_US)
		return;
	if (throttle->runs < RUNS_MIN) {
		if (now_us - throttle->updated_at_us > RESET_US)
			*throttle = (bf_throttle_t){ .updated_at_us = now_us };
		return;
	}
	overloaded_share = (double)throttle->overloaded_runs / throttle->runs;
	if (overloaded_share > TOLERATED_SHARE)
		throttle->refused_share +=
		    GAIN * (overloaded_share - TOLERATED_SHARE);
	else
		throttle->refused_share *= DECAY;
	if (throttle->refused_share > SHARE_MAX)
		throttle->refused_share = SHARE_MAX;
	if (throttle->refused_share < SHARE_MIN)
		throttle->refused_share = 0;
	throttle->runs = 0;
	throttle->overloaded_runs = 0;
	throttle->updated_at_us = now_us;
}

void
bf_throttle_count(bf_throttle_t *throttle, bool overloaded, bf_time_us_t now_us)
{
	throttle->runs++;
	throttle->overloaded_runs += overloaded ? 1 : 0;
	update_share(throttle, now_us);
}

bool
bf_throttle_refuses(bf_throttle_t *throttle, double random, bf_time_us_t now_us)
{
	update_share(throttle, now_us);
	return random < throttle->refused_share;
}
