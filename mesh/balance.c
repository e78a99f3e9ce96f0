#include <math.h>

#include "mesh/balance.h"

/* Weight of the newest call in the delay of a path. */
#define DELAY_WEIGHT 0.3
/* A queue of a thin link passes in about this time once less is sent. */
#define DELAY_HALF_US (500.0 * BF_US_PER_MS)

/*
 * A failing target looks this much slower for each part of calls that fail:
 * a failed call has to be made again, which takes another place's time.
 */
#define FAILING_FACTOR 8.0
/*
 * How much longer a call takes at a target with all slots but one taken than
 * at an idle one: some slow down as they fill.
 */
#define FILLING_FACTOR 0.15
/* A silent node's target is used only if there is nothing else. */
#define DOUBTFUL_US (2 * BF_US_PER_S)

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
load_of(const bf_candidate_t *place)
{
	return place->running + place->waiting + place->sent_since_report;
}

bf_time_us_t
bf_path_delay_estimate(const bf_path_delay_t *delay, bf_time_us_t now_us)
{
	double age_us = (double)(now_us - delay->updated_at_us);

	return (bf_time_us_t)(age_us > 0
		? delay->mean_us * exp2(-age_us / DELAY_HALF_US)
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
bf_candidate_expected_us(const bf_candidate_t *place)
{
	double mean_us, wait_us = 0;
	uint32_t load, slots;

	slots = place->slots > 0 ? place->slots : 1;
	load = load_of(place);
	mean_us = place->mean_us *
	    (1.0 + FAILING_FACTOR * place->failing_ppm / 1000000.0);
	if (load >= slots)
		wait_us = mean_us * (load - slots + 1) / slots;
	else
		wait_us = mean_us * FILLING_FACTOR * load / slots;
	return (bf_time_us_t)(mean_us + wait_us) + place->round_trip_us +
	    (place->is_silent ? DOUBTFUL_US : 0);
}

/* The place that is the given one, from 0, of those near, or of the others. */
static size_t
nth_place(const bf_candidate_t *places, bool near, size_t nth)
{
	size_t i;

	for (i = 0;; i++) {
		if (places[i].in_own_zone == near && nth-- == 0)
			return i;
	}
}

/* Two different ones of those near, or of the others; the better of them. */
static size_t
better_of_two(
    const bf_candidate_t *places, bool near, size_t count, uint64_t *random)
{
	size_t first, second;

	if (count == 0)
		return BF_CANDIDATE_NONE;
	first = bf_random_next(random) % count;
	if (count == 1)
		return nth_place(places, near, 0);
	second = bf_random_next(random) % (count - 1);
	if (second >= first)
		second++;
	first = nth_place(places, near, first);
	second = nth_place(places, near, second);
	/* The first is as random as the second, so a tie favours neither. */
	return bf_candidate_expected_us(&places[second]) <
		bf_candidate_expected_us(&places[first])
	    ? second
	    : first;
}

size_t
bf_candidate_choose(const bf_candidate_t *places, size_t count,
    const bf_zone_preference_t *near, uint64_t *random)
{
	bf_time_us_t near_us, far_us;
	size_t near_count = 0, i, close, away;

	for (i = 0; i < count; i++)
		near_count += places[i].in_own_zone ? 1 : 0;
	close = better_of_two(places, true, near_count, random);
	away = better_of_two(places, false, count - near_count, random);
	if (close == BF_CANDIDATE_NONE || away == BF_CANDIDATE_NONE)
		return close == BF_CANDIDATE_NONE ? away : close;
	near_us = bf_candidate_expected_us(&places[close]);
	far_us = bf_candidate_expected_us(&places[away]);
	if (near_us <= far_us)
		return close;
	return near_us <= near->answer_within_us &&
		near_us - far_us <= near->extra_us
	    ? close
	    : away;
}
