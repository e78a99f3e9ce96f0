#include "mesh/throttle.h"

/* The share is set anew this often, if enough runs ended. */
#define STEP_US (200 * BF_US_PER_MS)
#define RUNS_MIN 5
/* Runs that may starve without consequence: bursts of a few calls. */
#define STARVED_SHARE 0.05
/* Part of the excess by which the refused share grows in a step. */
#define GAIN 0.3
/* A step without starved runs leaves this part of the share. */
#define RELIEF 0.8
/* Less than this is no share any more. */
#define SHARE_MIN 0.02
#define SHARE_MAX 0.9
/* Without runs for this long nothing is known any more. */
#define FORGET_US (3 * BF_US_PER_S)

static void
step(bf_throttle_t *throttle, bf_time_us_t now_us)
{
	double starved;

	if (now_us - throttle->updated_at_us < STEP_US)
		return;
	if (throttle->runs < RUNS_MIN) {
		if (now_us - throttle->updated_at_us > FORGET_US)
			*throttle = (bf_throttle_t){ .updated_at_us = now_us };
		return;
	}
	starved = (double)throttle->overloaded / throttle->runs;
	if (starved > STARVED_SHARE)
		throttle->refused_share += GAIN * (starved - STARVED_SHARE);
	else
		throttle->refused_share *= RELIEF;
	if (throttle->refused_share > SHARE_MAX)
		throttle->refused_share = SHARE_MAX;
	if (throttle->refused_share < SHARE_MIN)
		throttle->refused_share = 0;
	throttle->runs = 0;
	throttle->overloaded = 0;
	throttle->updated_at_us = now_us;
}

void
bf_throttle_count(bf_throttle_t *throttle, bool starved, bf_time_us_t now_us)
{
	throttle->runs++;
	throttle->overloaded += starved ? 1 : 0;
	step(throttle, now_us);
}

bool
bf_throttle_refuses(bf_throttle_t *throttle, double random, bf_time_us_t now_us)
{
	step(throttle, now_us);
	return random < throttle->refused_share;
}
