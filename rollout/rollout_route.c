#include <math.h>
#include <stdio.h>

#include "rollout/rollout_route.h"

/*
 * A third of alpha each is for the test over all zones, for the tests of the
 * single zones, of which there may be so many, and for the tests that begin
 * with a probe, of which the k-th has 1 / (k (k + 1)) of that third.
 */
#define ALPHA_PARTS 3.0
#define ALPHA_ZONES 8

/* Failures of at-most-once routes weigh so much more than others. */
#define AT_MOST_ONCE_WEIGHT 4

/* The share is kept small from this value of the route's test. */
#define HOLD_VALUE 100.0

/* A probe goes on while the route's test is above this value. */
#define CLEAR_VALUE 3.0

/* Value of the suspicion test that starts a probe. */
#define PROBE_VALUE 20.0

/* Each probe that confirmed nothing makes the next one harder by this. */
#define PROBE_BACKOFF 4.0

/* Probes after which a suspicion counts as badness under load. */
#define PROBES_BEFORE_LOAD 2

/*
 * A probe ends without a verdict after so many calls of each version and so
 * long; each one lasts twice as long as the one before.
 */
#define PROBE_CALLS 100
#define PROBE_SPANS 4
#define PROBE_LEAST_US (15 * BF_US_PER_S)
#define PROBE_DOUBLINGS_MAX 2
#define PROBE_MOST_US (120 * BF_US_PER_S)

/*
 * The share changed in a block if it differs from the last block's by this
 * factor and by so many standard deviations.
 */
#define SHARE_SMALL 0.2 /* below it a change moves little load */
#define SHARE_CALLS 20  /* fewer tell no share */
#define SHARE_CHANGE 1.5
#define SHARE_DEVIATIONS 4

/* Shares move by at least this factor, so that tables stay as they are. */
#define SHARE_STEP 1.05

/*
 * Most that a span of BF_BLOCK_US adds to the logarithm of a test that
 * condemns: at least four spans must show the badness.
 */
#define SPAN_LOG_MAX 3.0

#define LOG_MAX 700.0

void
bf_rollout_route_init(
    bf_rollout_route_t *track, const char *name, bool at_most_once)
{
	*track = (bf_rollout_route_t){
		.name = name,
		.at_most_once = at_most_once,
		.weight = at_most_once ? AT_MOST_ONCE_WEIGHT : 1,
	};
	bf_compare_init(&track->all_zones);
	bf_compare_init(&track->own_zone);
	bf_compare_init(&track->probe);
	bf_compare_init(&track->suspicion);
}

/* A share falls in one step: the second lower block lies wholly after it. */
bool
bf_share_history_update(bf_share_history_t *watch, uint32_t zone,
    const bf_tally_t *old_version, const bf_tally_t *new_version)
{
	double calls, share, before, deviation;
	bool differs, fell, fell_before;

	calls = (double)old_version->calls + (double)new_version->calls;
	if (calls < SHARE_CALLS)
		return false;
	share = (double)new_version->calls / calls;
	before = watch->share[zone];
	fell_before = watch->fell[zone];
	deviation = sqrt(before * (1 - before) / calls);
	differs = fabs(share - before) > SHARE_DEVIATIONS * deviation;
	fell = differs && before > share * SHARE_CHANGE;
	watch->share[zone] = share;
	watch->fell[zone] = fell;
	if (fmax(share, before) < SHARE_SMALL)
		return false;
	if (fell)
		return !fell_before;
	return differs && share > before * SHARE_CHANGE;
}

/*
 * Feeds a fair block to the tests that may condemn.  Calls of one version
 * alone wait for some of the other: else thin traffic would tell nothing.
 */
static void
compare_fairly(bf_rollout_route_t *track, const bf_rollout_route_block_t *block,
    bf_compare_sample_t sample)
{
	bf_tally_t *old_waiting, *new_waiting;

	old_waiting = &track->old_waiting[block->zone];
	new_waiting = &track->new_waiting[block->zone];
	bf_tally_add(old_waiting, block->old_version);
	bf_tally_add(new_waiting, block->new_version);
	if (old_waiting->calls == 0 || new_waiting->calls == 0)
		return;
	sample.old_version = old_waiting;
	sample.new_version = new_waiting;
	bf_compare_add(&track->all_zones, &sample);
	if (track->probing)
		bf_compare_add(&track->probe, &sample);
	if (block->own_zone)
		bf_compare_add(&track->own_zone, &sample);
	*old_waiting = (bf_tally_t){ 0 };
	*new_waiting = (bf_tally_t){ 0 };
	track->probe_old_calls += block->old_version->calls;
	track->probe_new_calls += block->new_version->calls;
	track->probe_spans += block->span != track->last_span;
	track->last_span = block->span;
}

void
bf_rollout_route_add_block(
    bf_rollout_route_t *track, const bf_rollout_route_block_t *block)
{
	bf_compare_sample_t sample = {
		.old_version = block->old_version,
		.new_version = block->new_version,
		.strict = track->at_most_once,
		.span = block->span,
		.log_max = SPAN_LOG_MAX,
	};

	if (bf_share_history_update(&track->watch, block->zone,
		block->old_version, block->new_version)) {
		track->old_waiting[block->zone] = (bf_tally_t){ 0 };
		track->new_waiting[block->zone] = (bf_tally_t){ 0 };
		return;
	}
	if (block->fair) {
		compare_fairly(track, block, sample);
		return;
	}
	if (block->new_version->calls == 0)
		return;
	/* With hardly any call to the old version, its past stands in. */
	if (block->old_version->calls * 10 < block->new_version->calls)
		sample.old_version = &track->old_version;
	sample.log_max = LOG_MAX;
	bf_compare_add(&track->suspicion, &sample);
}

/* The test of the present or last probe, with its part of alpha. */
static bf_compare_result_t
probe_result(const bf_rollout_route_t *track)
{
	bf_compare_result_t result;
	double number;

	number = track->probes + (track->probing ? 1.0 : 0.0);
	if (number == 0)
		return (bf_compare_result_t){ .log_value = -INFINITY };
	result = bf_compare_result(&track->probe);
	result.log_value -= log(number * (number + 1));
	return result;
}

bf_compare_result_t
bf_rollout_route_result(const bf_rollout_route_t *track)
{
	bf_compare_result_t parts[3], best;
	double log_value;
	uint32_t i;

	parts[0] = bf_compare_result(&track->all_zones);
	parts[1] = bf_compare_result(&track->own_zone);
	parts[1].log_value -= log(ALPHA_ZONES);
	parts[2] = probe_result(track);
	best = parts[0];
	log_value = parts[0].log_value;
	for (i = 1; i < 3; i++) {
		log_value = bf_log_add(log_value, parts[i].log_value);
		if (parts[i].log_value > best.log_value)
			best = parts[i];
	}
	best.log_value = log_value - log(ALPHA_PARTS) + log(track->weight);
	return best;
}

bool
bf_rollout_route_is_suspect(const bf_rollout_route_t *track)
{
	return track->probing ||
	    bf_compare_result(&track->all_zones).log_value >= log(HOLD_VALUE);
}

bool
bf_rollout_route_needs_probe(const bf_rollout_route_t *track)
{
	double log_threshold;

	log_threshold = log(PROBE_VALUE) + track->probes * log(PROBE_BACKOFF);
	return bf_compare_result(&track->suspicion).log_value >= log_threshold;
}

void
bf_rollout_route_begin_probe(
    bf_rollout_route_t *track, bool suspected, bf_time_us_t now_us)
{
	track->probing = true;
	track->suspected = suspected;
	track->probe_since_us = now_us;
	track->probe_old_calls = 0;
	track->probe_new_calls = 0;
	track->probe_spans = 0;
	bf_compare_init(&track->probe);
	bf_compare_init(&track->suspicion);
}

bool
bf_rollout_route_probe_is_over(
    const bf_rollout_route_t *track, bf_time_us_t now_us)
{
	bf_time_us_t lasted_us, least_us;

	lasted_us = now_us - track->probe_since_us;
	if (lasted_us >= PROBE_MOST_US)
		return true;
	least_us = PROBE_LEAST_US
	    << (track->probes < PROBE_DOUBLINGS_MAX ? track->probes
						    : PROBE_DOUBLINGS_MAX);
	if (lasted_us < least_us ||
	    bf_compare_result(&track->probe).log_value >= log(CLEAR_VALUE))
		return false;
	return !track->suspected ||
	    (track->probe_spans >= PROBE_SPANS &&
		track->probe_old_calls >= PROBE_CALLS &&
		track->probe_new_calls >= PROBE_CALLS);
}

void
bf_rollout_route_end_probe(bf_rollout_route_t *track)
{
	track->probing = false;
	track->probes++;
	bf_compare_init(&track->suspicion);
}

bool
bf_rollout_route_is_bad_under_load(const bf_rollout_route_t *track)
{
	return track->probes >= PROBES_BEFORE_LOAD;
}

static double
limit_growth(const bf_rollout_route_t *track, double allowed,
    bf_time_us_t growth_us, bf_time_us_t now_us)
{
	if (track->share == 0 || allowed <= track->share)
		return allowed;
	if (now_us - track->share_since_us < growth_us)
		return track->share;
	if (allowed < 1 && allowed < track->share * SHARE_STEP)
		return track->share;
	return fmin(allowed, track->share * 2);
}

void
bf_rollout_route_set_share(bf_rollout_route_t *track, double allowed,
    bf_time_us_t growth_us, bf_time_us_t now_us)
{
	double share;

	share = limit_growth(track, allowed, growth_us, now_us);
	if (share == track->share)
		return;
	track->share = share;
	track->share_since_us = now_us;
}

void
bf_rollout_route_fill_figures(const bf_rollout_route_t *track,
    const bf_compare_result_t *result, bf_rollout_figures_t *figures)
{
	uint32_t bucket;

	*figures = (bf_rollout_figures_t){
		.new_calls = track->new_version.calls,
		.new_failures = track->new_version.failures,
		.old_calls = track->old_version.calls,
		.old_failures = track->old_version.failures,
		.evidence = exp(fmin(result->log_value, LOG_MAX)),
	};
	snprintf(figures->route, sizeof(figures->route), "%s", track->name);
	if (result->signal == 0)
		return;
	bucket = result->signal - 1;
	figures->slow_over_ms =
	    (uint32_t)(bf_tally_edge_us(bucket) / BF_US_PER_MS);
	figures->new_slow = bf_tally_count_slower(&track->new_version, bucket);
	figures->old_slow = bf_tally_count_slower(&track->old_version, bucket);
}
