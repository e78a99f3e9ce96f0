#include <math.h>

#include "mesh/balance.h"

/* Weight of the newest call in the moving average of a path's delay. */
#define DELAY_WEIGHT 0.3
/* The queue of a slow link drains in about this time once less is sent. */
#define DELAY_HALF_LIFE_US (500.0 * BF_US_PER_MS)

/*
 * The expected time at a target grows by this factor times its failure rate: a
 * failed call has to be retried, which takes time at another target.
 */
#define FAILURE_FACTOR 8.0
/*
 * The expected time at a target grows by up to this part while its slots fill:
 * some targets slow down under load.
 */
#define FILLING_FACTOR 0.15
/* Makes the target of a silent node a last resort. */
#define SILENT_PENALTY_US (2 * BF_US_PER_S)

uint64_t
bf_random_next(uint64_t *random)
{
	uint64_t x = *random;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	*random = x;
	return x * UINT64_C(0x2545f4914f6cdd1d);
}

static uint32_t
expected_load(const bf_candidate_t *candidate)
{
	return candidate->running + candidate->waiting +
	    candidate->sent_since_report;
}

bf_time_us_t
bf_path_delay_estimate(const bf_path_delay_t *delay, bf_time_us_t now_us)
{
	double age_us = (double)(now_us - delay->updated_at_us);

	return (bf_time_us_t)(age_us > 0
		? delay->mean_us * exp2(-age_us / DELAY_HALF_LIFE_US)
		: delay->mean_us);
}

void
bf_path_delay_record(bf_path_delay_t *delay, bf_time_us_t took_us,
    bf_time_us_t spent_us, bf_time_us_t now_us)
{
	double sample_us =
	    took_us > spent_us ? (double)(took_us - spent_us) : 0;

	delay->mean_us = (double)bf_path_delay_estimate(delay, now_us);
	delay->mean_us += DELAY_WEIGHT * (sample_us - delay->mean_us);
	delay->updated_at_us = now_us;
}

bf_time_us_t
bf_candidate_expected_us(const bf_candidate_t *candidate)
{
	double mean_us, wait_us = 0;
	uint32_t load, slots;

	slots = candidate->slots > 0 ? candidate->slots : 1;
	load = expected_load(candidate);
	mean_us = candidate->mean_run_us *
	    (1.0 + FAILURE_FACTOR * candidate->failure_ppm / 1000000.0);
	if (load >= slots)
		wait_us = mean_us * (load - slots + 1) / slots;
	else
		wait_us = mean_us * FILLING_FACTOR * load / slots;
	return (bf_time_us_t)(mean_us + wait_us) + candidate->round_trip_us +
	    (candidate->is_silent ? SILENT_PENALTY_US : 0);
}

/* Index of the nth candidate, from 0, inside or outside the own zone. */
static size_t
nth_candidate(const bf_candidate_t *candidates, bool in_own_zone, size_t nth)
{
	size_t i;

	for (i = 0;; i++) {
		if (candidates[i].in_own_zone == in_own_zone && nth-- == 0)
			return i;
	}
}

/*
 * Draws two different candidates, out of count inside or outside the own zone,
 * and returns the one with the shorter expected time.
 */
static size_t
better_of_two(const bf_candidate_t *candidates, bool in_own_zone, size_t count,
    uint64_t *random)
{
	size_t first, second;

	if (count == 0)
		return BF_CANDIDATE_NONE;
	first = bf_random_next(random) % count;
	if (count == 1)
		return nth_candidate(candidates, in_own_zone, 0);
	second = bf_random_next(random) % (count - 1);
	if (second >= first)
		second++;
	first = nth_candidate(candidates, in_own_zone, first);
	second = nth_candidate(candidates, in_own_zone, second);
	/* Both were drawn at random, so no candidate is favoured in a tie. */
	return bf_candidate_expected_us(&candidates[second]) <
		bf_candidate_expected_us(&candidates[first])
	    ? second
	    : first;
}

size_t
bf_candidate_choose(const bf_candidate_t *candidates, size_t count,
    const bf_zone_preference_t *preference, uint64_t *random)
{
	bf_time_us_t inside_us, outside_us;
	size_t inside_count = 0, i, inside, outside;

	for (i = 0; i < count; i++)
		inside_count += candidates[i].in_own_zone ? 1 : 0;
	inside = better_of_two(candidates, true, inside_count, random);
	outside =
	    better_of_two(candidates, false, count - inside_count, random);
	if (inside == BF_CANDIDATE_NONE || outside == BF_CANDIDATE_NONE)
		return inside == BF_CANDIDATE_NONE ? outside : inside;
	inside_us = bf_candidate_expected_us(&candidates[inside]);
	outside_us = bf_candidate_expected_us(&candidates[outside]);
	if (inside_us <= outside_us)
		return inside;
	return inside_us <= preference->answer_within_us &&
		inside_us - outside_us <= preference->extra_us
	    ? inside
	    : outside;
}
