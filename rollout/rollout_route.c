#include <math.h>
#include <stdio.h>

#include "rollout/rollout_route.h"

/*
 * Alpha is divided in thirds: one for the test over all zones, one for the
 * tests of single zones, up to ALPHA_ZONES of them, and one for the tests that
 * begin with a probe, of which the k-th has 1 / (k (k + 1)) of that third.
 */
#define ALPHA_PARTS 3.0
#define ALPHA_ZONES 8

/* Weight of the test of an at-most-once route; other routes have 1. */
#define AT_MOST_ONCE_WEIGHT 4

/* Value of the test over all zones from which on the share is kept small. */
#define HOLD_VALUE 100.0

/* A probe continues while its test is at or above this value. */
#define CLEAR_VALUE 3.0

/* Value of the suspicion test that starts the first probe. */
#define PROBE_VALUE 20.0

/* Factor on that value for each earlier probe that confirmed nothing. */
#define PROBE_BACKOFF 4.0

/* Unconfirmed probes after which a suspicion means a regression under load. */
#define PROBES_BEFORE_LOAD 2

/*
 * A probe ends without a verdict after this many calls of each version, in
 * this many intervals, and this time, which doubles with each earlier probe.
 */
#define PROBE_CALLS 100
#define PROBE_INTERVALS 4
#define PROBE_MIN_US (15 * BF_US_PER_S)
#define PROBE_DOUBLINGS_MAX 2
#define PROBE_MAX_US (120 * BF_US_PER_S)

/*
 * The share of a block has changed if it differs from that of the previous
 * block by this factor and by this many standard deviations.
 */
#define SHARE_SMALL 0.2 /* a change below it shifts little load */
#define SHARE_CALLS 20  /* the share of fewer calls is not meaningful */
#define SHARE_CHANGE 1.5
#define SHARE_DEVIATIONS 4

/* A share rises by at least this factor, so that tables change less often. */
#define SHARE_STEP 1.05

/*
 * Most that one interval of BF_ZONE_BLOCK_US adds to the logarithm of a test
 * that can reject the version: at least four intervals must show the
 * regression.
 */
#define INTERVAL_LOG_MAX 3.0

/* Limit of logarithms at which exp() is still finite. */
#define LOG_MAX 700.0

void
bf_rollout_route_init(
    bf_rollout_route_t *route, const char *name, bool at_most_once)
{
	*route = (bf_rollout_route_t){
		.name = name,
		.at_most_once = at_most_once,
		.weight = at_most_once ? AT_MOST_ONCE_WEIGHT : 1,
	};
	bf_compare_init(&route->all_zones);
	bf_compare_init(&route->own_zone);
	bf_compare_init(&route->probe);
	bf_compare_init(&route->suspicion);
}

/*
 * A share falls in one step, somewhere within a block: of two blocks in a row
 * with a lower share, the second lies entirely after the fall.
 */
bool
bf_share_history_update(bf_share_history_t *history, uint32_t zone,
    const bf_tally_t *old_version, const bf_tally_t *new_version)
{
	double calls, share, before, deviation;
	bool differs, fell, last_fell;

	calls = (double)old_version->calls + (double)new_version->calls;
	if (calls < SHARE_CALLS)
		return false;
	share = (double)new_version->calls / calls;
	before = history->last_share[zone];
	last_fell = history->last_fell[zone];
	deviation = sqrt(before * (1 - before) / calls);
	differs = fabs(share - before) > SHARE_DEVIATIONS * deviation;
	fell = differs && before > share * SHARE_CHANGE;
	history->last_share[zone] = share;
	history->last_fell[zone] = fell;
	if (fmax(share, before) < SHARE_SMALL)
		return false;
	if (fell)
		return !last_fell;
	return differs && share > before * SHARE_CHANGE;
}

/*
 * Adds a fair block to the tests that can reject the version.  Calls of one
 * version only are kept until there are some of the other; otherwise thin
 * traffic would give no evidence.
 */
static void
add_fair_block(bf_rollout_route_t *route, const bf_rollout_route_block_t *block,
    bf_compare_sample_t sample)
{
	bf_tally_t *old_pending, *new_pending;

	old_pending = &route->old_pending[block->zone];
	new_pending = &route->new_pending[block->zone];
	bf_tally_add(old_pending, block->old_version);
	bf_tally_add(new_pending, block->new_version);
	if (old_pending->calls == 0 || new_pending->calls == 0)
		return;
	sample.old_version = old_pending;
	sample.new_version = new_pending;
	bf_compare_add(&route->all_zones, &sample);
	if (route->probing)
		bf_compare_add(&route->probe, &sample);
	if (block->own_zone)
		bf_compare_add(&route->own_zone, &sample);
	*old_pending = (bf_tally_t){ 0 };
	*new_pending = (bf_tally_t){ 0 };
	route->probe_old_calls += block->old_version->calls;
	route->probe_new_calls += block->new_version->calls;
	route->probe_intervals += block->interval != route->last_interval;
	route->last_interval = block->interval;
}

void
bf_rollout_route_add_block(
    bf_rollout_route_t *route, const bf_rollout_route_block_t *block)
{
	bf_compare_sample_t sample = {
		.old_version = block->old_version,
		.new_version = block->new_version,
		.without_margin = route->at_most_once,
		.interval = block->interval,
		.interval_log_max = INTERVAL_LOG_MAX,
	};

	if (bf_share_history_update(&route->share_history, block->zone,
		block->old_version, block->new_version)) {
		route->old_pending[block->zone] = (bf_tally_t){ 0 };
		route->new_pending[block->zone] = (bf_tally_t){ 0 };
		return;
	}
	if (block->fair) {
		add_fair_block(route, block, sample);
		return;
	}
	if (block->new_version->calls == 0)
		return;
	/*
	 * With hardly any calls to the old version in the block, all its
	 * calls so far take their place.
	 */
	if (block->old_version->calls * 10 < block->new_version->calls)
		sample.old_version = &route->old_version;
	sample.interval_log_max = LOG_MAX;
	bf_compare_add(&route->suspicion, &sample);
}

/* Returns the result of the current or last probe with its part of alpha. */
static bf_compare_result_t
probe_result(const bf_rollout_route_t *route)
{
	bf_compare_result_t result;
	double number;

	number = route->unconfirmed_probes + (route->probing ? 1.0 : 0.0);
	if (number == 0)
		return (bf_compare_result_t){ .log_value = -INFINITY };
	result = bf_compare_result(&route->probe);
	result.log_value -= log(number * (number + 1));
	return result;
}

bf_compare_result_t
bf_rollout_route_result(const bf_rollout_route_t *route)
{
	bf_compare_result_t parts[3], best;
	double log_value;
	uint32_t i;

	parts[0] = bf_compare_result(&route->all_zones);
	parts[1] = bf_compare_result(&route->own_zone);
	parts[1].log_value -= log(ALPHA_ZONES);
	parts[2] = probe_result(route);
	best = parts[0];
	log_value = parts[0].log_value;
	for (i = 1; i < 3; i++) {
		log_value = bf_log_add(log_value, parts[i].log_value);
		if (parts[i].log_value > best.log_value)
			best = parts[i];
	}
	best.log_value = log_value - log(ALPHA_PARTS) + log(route->weight);
	return best;
}

bool
bf_rollout_route_is_suspect(const bf_rollout_route_t *route)
{
	return route->probing ||
	    bf_compare_result(&route->all_zones).log_value >= log(HOLD_VALUE);
}

bool
bf_rollout_route_needs_probe(const bf_rollout_route_t *route)
{
	double log_threshold;

	log_threshold =
	    log(PROBE_VALUE) + route->unconfirmed_probes * log(PROBE_BACKOFF);
	return bf_compare_result(&route->suspicion).log_value >= log_threshold;
}

void
bf_rollout_route_begin_probe(
    bf_rollout_route_t *route, bool is_cause, bf_time_us_t now_us)
{
	route->probing = true;
	route->caused_probe = is_cause;
	route->probe_start_us = now_us;
	route->probe_old_calls = 0;
	route->probe_new_calls = 0;
	route->probe_intervals = 0;
	bf_compare_init(&route->probe);
	bf_compare_init(&route->suspicion);
}

bool
bf_rollout_route_probe_is_over(
    const bf_rollout_route_t *route, bf_time_us_t now_us)
{
	bf_time_us_t elapsed_us, min_us;

	elapsed_us = now_us - route->probe_start_us;
	if (elapsed_us >= PROBE_MAX_US)
		return true;
	min_us = PROBE_MIN_US
	    << (route->unconfirmed_probes < PROBE_DOUBLINGS_MAX
		       ? route->unconfirmed_probes
		       : PROBE_DOUBLINGS_MAX);
	if (elapsed_us < min_us ||
	    bf_compare_result(&route->probe).log_value >= log(CLEAR_VALUE))
		return false;
	return !route->caused_probe ||
	    (route->probe_intervals >= PROBE_INTERVALS &&
		route->probe_old_calls >= PROBE_CALLS &&
		route->probe_new_calls >= PROBE_CALLS);
}

void
bf_rollout_route_end_probe(bf_rollout_route_t *route)
{
	route->probing = false;
	route->unconfirmed_probes++;
	bf_compare_init(&route->suspicion);
}

bool
bf_rollout_route_is_bad_under_load(const bf_rollout_route_t *route)
{
	return route->unconfirmed_probes >= PROBES_BEFORE_LOAD;
}

static double
limit_growth(const bf_rollout_route_t *route, double allowed,
    bf_time_us_t growth_us, bf_time_us_t now_us)
{
	if (route->share == 0 || allowed <= route->share)
		return allowed;
	if (now_us - route->share_since_us < growth_us)
		return route->share;
	if (allowed < 1 && allowed < route->share * SHARE_STEP)
		return route->share;
	return fmin(allowed, route->share * 2);
}

void
bf_rollout_route_set_share(bf_rollout_route_t *route, double allowed,
    bf_time_us_t growth_us, bf_time_us_t now_us)
{
	double share;

	share = limit_growth(route, allowed, growth_us, now_us);
	if (share == route->share)
		return;
	route->share = share;
	route->share_since_us = now_us;
}

void
bf_rollout_route_fill_figures(const bf_rollout_route_t *route,
    const bf_compare_result_t *result, bf_rollout_figures_t *figures)
{
	uint32_t bucket;

	*figures = (bf_rollout_figures_t){
		.new_calls = route->new_version.calls,
		.new_failures = route->new_version.failures,
		.old_calls = route->old_version.calls,
		.old_failures = route->old_version.failures,
		.evidence = exp(fmin(result->log_value, LOG_MAX)),
	};
	snprintf(figures->route, sizeof(figures->route), "%s", route->name);
	if (result->signal == 0)
		return;
	bucket = result->signal - 1;
	figures->slow_over_ms =
	    (uint32_t)(bf_tally_edge_us(bucket) / BF_US_PER_MS);
	figures->new_slow = bf_tally_count_slower(&route->new_version, bucket);
	figures->old_slow = bf_tally_count_slower(&route->old_version, bucket);
}
