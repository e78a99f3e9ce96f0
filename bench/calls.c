#include <math.h>

#include <gsl/gsl_cdf.h>
#include <gsl/gsl_randist.h>

#include "bench/calls.h"

#define BASE_FAILURE_RATE 0.002
#define MEDIAN_MS 8.0
#define SIGMA 0.6

/* Capacity of all targets of a version, as a multiple of the usual calls. */
#define CAPACITY 1.3

#define MINOR_SLOWNESS 1.05
#define SURGE_S 60.0
#define ZONE_FAILURE_S 60.0
#define TARGET_FAILURE_S 3.0
#define EDGE_MS(k) ((double)bf_tally_edge_us(k) / 1000.0)

const char *const bf_calls_routes[BF_CALLS_ROUTES] = { "browse", "update",
	"charge" };
static const double route_shares[BF_CALLS_ROUTES] = { 0.7, 0.25, 0.05 };

typedef struct bf_behaviour {
	double failure_rate;
	double slowness;
} bf_behaviour_t;

static bool
is_active(const bf_calls_t *calls, double time_s, double duration_s)
{
	double onset_s;

	onset_s = calls->scenario->onset_share * calls->window_s;
	return time_s >= onset_s && time_s < onset_s + duration_s;
}

static uint32_t
zone_of(const bf_calls_t *calls, uint32_t unit)
{
	return unit % calls->size->zones;
}

/* Beyond its capacity, a version fails more and slows down. */
static void
add_load(bf_behaviour_t *behaviour, double load)
{
	if (load <= 1)
		return;
	behaviour->failure_rate += fmin(0.6 * (load - 1), 0.5);
	behaviour->slowness *= 1 + 4 * (load - 1);
}

static double
surge_factor(const bf_calls_t *calls, double time_s)
{
	if (calls->scenario->anomaly == BF_ANOMALY_OVERLOAD &&
	    is_active(calls, time_s, SURGE_S))
		return calls->scenario->strength;
	return 1;
}

static void
add_anomaly(const bf_calls_t *calls, bf_behaviour_t *behaviour, uint32_t route,
    double time_s)
{
	const bf_scenario_t *scenario = calls->scenario;

	if (!is_active(calls, time_s, INFINITY))
		return;
	switch (scenario->anomaly) {
	case BF_ANOMALY_FAILURES:
		behaviour->failure_rate += scenario->strength;
		break;
	case BF_ANOMALY_FAILURES_UPDATE:
		behaviour->failure_rate += route == 1 ? scenario->strength : 0;
		break;
	case BF_ANOMALY_FAILURES_CHARGE:
		behaviour->failure_rate += route == 2 ? scenario->strength : 0;
		break;
	case BF_ANOMALY_SLOW:
		behaviour->slowness *= scenario->strength;
		break;
	case BF_ANOMALY_MINOR:
		behaviour->failure_rate += scenario->strength;
		behaviour->slowness *= MINOR_SLOWNESS;
		break;
	case BF_ANOMALY_TARGET_FAILURE:
		if (is_active(calls, time_s, TARGET_FAILURE_S))
			behaviour->failure_rate += scenario->strength;
		break;
	default:
		break;
	}
}

static bf_behaviour_t
behaviour_of(const bf_calls_t *calls, uint32_t unit, uint32_t route,
    int version, double load, double time_s)
{
	const bf_scenario_t *scenario = calls->scenario;
	bf_behaviour_t behaviour = { BASE_FAILURE_RATE, 1 };

	if (version == 1 && scenario->anomaly == BF_ANOMALY_LOW_CAPACITY)
		load *= CAPACITY / scenario->strength;
	add_load(&behaviour, load);
	if (scenario->anomaly == BF_ANOMALY_ZONE_FAILURE &&
	    zone_of(calls, unit) == 0 &&
	    is_active(calls, time_s, ZONE_FAILURE_S))
		behaviour.failure_rate += scenario->strength;
	if (version == 1)
		add_anomaly(calls, &behaviour, route, time_s);
	behaviour.failure_rate = fmin(behaviour.failure_rate, 1);
	return behaviour;
}

static void
draw(bf_calls_t *calls, bf_tally_t *tally, uint32_t count,
    const bf_behaviour_t *behaviour)
{
	unsigned int counts[BF_TALLY_BUCKETS];
	double parts[BF_TALLY_BUCKETS], below, up_to;
	uint32_t k;

	if (count == 0)
		return;
	below = 0;
	for (k = 0; k < BF_TALLY_BUCKETS; k++) {
		up_to = k == BF_TALLY_BUCKETS - 1
		    ? 1
		    : gsl_cdf_lognormal_P(EDGE_MS(k),
			  log(MEDIAN_MS * behaviour->slowness), SIGMA);
		parts[k] = up_to - below;
		below = up_to;
	}
	gsl_ran_multinomial(calls->rng, BF_TALLY_BUCKETS, count, parts, counts);
	for (k = 0; k < BF_TALLY_BUCKETS; k++)
		tally->latency[k] += counts[k];
	tally->calls += count;
	tally->failures +=
	    gsl_ran_binomial(calls->rng, behaviour->failure_rate, count);
}

/* Whether the anomaly affects calls of this route to the new version now. */
static bool
is_affected(const bf_calls_t *calls, uint32_t route, double load, double time_s)
{
	switch (calls->scenario->anomaly) {
	case BF_ANOMALY_FAILURES_UPDATE:
		return route == 1 && is_active(calls, time_s, INFINITY);
	case BF_ANOMALY_FAILURES_CHARGE:
		return route == 2 && is_active(calls, time_s, INFINITY);
	case BF_ANOMALY_LOW_CAPACITY:
		return load > calls->scenario->strength;
	default:
		return is_active(calls, time_s, INFINITY);
	}
}

double
bf_calls_affected_share(const bf_scenario_t *scenario)
{
	switch (scenario->anomaly) {
	case BF_ANOMALY_FAILURES_UPDATE:
		return route_shares[1];
	case BF_ANOMALY_FAILURES_CHARGE:
		return route_shares[2];
	default:
		return 1;
	}
}

void
bf_calls_draw_second(bf_calls_t *calls, double time_s,
    double shares[BF_CALLS_UNITS_MAX][BF_CALLS_ROUTES])
{
	bf_behaviour_t behaviour;
	double rate, surge, load, part;
	uint32_t unit, route, count, to_new;
	int version;

	surge = surge_factor(calls, time_s);
	rate = calls->size->node_calls_per_s * calls->size->zones *
	    calls->size->nodes_per_zone * surge / calls->units;
	for (unit = 0; unit < calls->units; unit++) {
		load = 0;
		for (route = 0; route < BF_CALLS_ROUTES; route++)
			load += route_shares[route] * shares[unit][route];
		for (route = 0; route < BF_CALLS_ROUTES; route++) {
			count = gsl_ran_poisson(
			    calls->rng, rate * route_shares[route]);
			to_new = gsl_ran_binomial(
			    calls->rng, shares[unit][route], count);
			for (version = 0; version < 2; version++) {
				part = version == 1 ? load : 1 - load;
				behaviour = behaviour_of(calls, unit, route,
				    version, part * surge / CAPACITY, time_s);
				draw(calls,
				    &calls->tallies[unit][route][version],
				    version == 1 ? to_new : count - to_new,
				    &behaviour);
			}
			if (is_affected(calls, route, load * surge, time_s))
				calls->affected_calls += to_new;
		}
	}
}
