#include <math.h>
#include <stddef.h>

#include "capacity/estimator.h"

/* Runs that a mean rests on at most.  More would follow changes too slowly. */
#define LEVEL_RUNS_MAX 64.0
/* A level with fewer runs is not known: the times of runs vary by half. */
#define LEVEL_RUNS_MIN 4.0
/*
 * A level that is not in use loses weight with this half-life, so that a probe
 * of few runs corrects it, but it is known until LEVEL_AGE_MAX_US.
 */
#define LEVEL_HALF_LIFE_US ((double)BF_US_PER_S)
#define LEVEL_AGE_MAX_US (30 * BF_US_PER_S)
/* The first runs of a route only teach its usual time. */
#define ROUTE_RUNS_MIN 5
#define ROUTE_RUNS_MAX 200
/* Weight of the newest run in the means of the present mix of routes. */
#define MIX_WEIGHT 0.05
/* Share of the highest throughput that the learnt number must reach. */
#define THROUGHPUT_SHARE 0.95
/* The learnt number changes by one in this time, so that a burst is not it. */
#define STEP_US (100 * BF_US_PER_MS)
/*
 * A probe lasts for as many expected runs, within limits, so that some runs
 * begin and end in it.  A probe begins after PROBE_INTERVALS times as long, or
 * FIRST_INTERVALS while nothing recent is known of fewer runs.
 */
#define PROBE_RUNS 3
#define PROBE_MIN_US (100 * BF_US_PER_MS)
#define PROBE_MAX_US (600 * BF_US_PER_MS)
#define PROBE_INTERVALS 4
#define FIRST_INTERVALS 2
/*
 * A saturated target runs the learnt number all the time, which does not show
 * whether fewer would do.  So a quarter fewer are tried if no run ended at
 * fewer for this long.
 */
#define FEWER_AGE_US (3 * BF_US_PER_S)
/*
 * The reported speed changes many times a second, but is known of only when a
 * run ends, so the expected time uses its mean over about this time.
 */
#define SPEED_HALF_LIFE_US (200.0 * BF_US_PER_MS)
/* Reported speeds outside these are errors of the target. */
#define PERCENT_MIN 5
#define PERCENT_MAX 10000

void
bf_capacity_init(bf_capacity_t *capacity, uint32_t slots, bf_time_us_t now_us)
{
	*capacity = (bf_capacity_t){
		.speed = 1,
		.recent_speed = 1,
		.area_at_us = now_us,
		.changed_at_us = now_us,
		.probed_at_us = now_us,
	};
	bf_capacity_set_slots(capacity, slots);
}

void
bf_capacity_set_slots(bf_capacity_t *capacity, uint32_t slots)
{
	capacity->slots =
	    slots < BF_CAPACITY_SLOTS_MAX ? slots : BF_CAPACITY_SLOTS_MAX;
	if (capacity->learnt == 0)
		capacity->learnt = capacity->slots;
}

static double
recent_speed(const bf_capacity_t *capacity, bf_time_us_t now_us)
{
	double age_us = (double)(now_us - capacity->area_at_us);

	return capacity->speed +
	    (capacity->recent_speed - capacity->speed) *
	    exp2(-age_us / SPEED_HALF_LIFE_US);
}

/* Brings the integrals up to now; done before what they integrate changes. */
static void
integrate(bf_capacity_t *capacity, bf_time_us_t now_us)
{
	double passed_us = (double)(now_us - capacity->area_at_us);

	if (passed_us <= 0)
		return;
	capacity->area += passed_us * (capacity->running - capacity->blocked);
	capacity->speed_area += passed_us * capacity->speed;
	capacity->recent_speed = recent_speed(capacity, now_us);
	capacity->area_at_us = now_us;
}

void
bf_capacity_forget(bf_capacity_t *capacity, uint32_t slots, bf_time_us_t now_us)
{
	bf_capacity_t old;

	integrate(capacity, now_us);
	old = *capacity;
	bf_capacity_init(capacity, slots, now_us);
	capacity->running = old.running;
	capacity->blocked = old.blocked;
	capacity->area = old.area;
	capacity->speed_area = old.speed_area;
}

void
bf_capacity_set_percent(
    bf_capacity_t *capacity, uint32_t percent, bf_time_us_t now_us)
{
	if (percent < PERCENT_MIN || percent > PERCENT_MAX)
		return;
	integrate(capacity, now_us);
	capacity->speed = percent / 100.0;
}

void
bf_capacity_begin(
    bf_capacity_t *capacity, bf_capacity_run_t *run, bf_time_us_t now_us)
{
	integrate(capacity, now_us);
	*run = (bf_capacity_run_t){
		.active = true,
		.began_us = now_us,
		.area = capacity->area,
		.speed_area = capacity->speed_area,
	};
	capacity->running++;
}

void
bf_capacity_call_began(
    bf_capacity_t *capacity, bf_capacity_run_t *run, bf_time_us_t now_us)
{
	if (!run->active || run->calls++ > 0)
		return;
	integrate(capacity, now_us);
	run->blocked_since_us = now_us;
	capacity->blocked++;
}

void
bf_capacity_call_ended(
    bf_capacity_t *capacity, bf_capacity_run_t *run, bf_time_us_t now_us)
{
	if (!run->active || run->calls == 0 || --run->calls > 0)
		return;
	integrate(capacity, now_us);
	run->blocked_us += now_us - run->blocked_since_us;
	capacity->blocked--;
}

static double
level_weight(const bf_capacity_level_t *level, bf_time_us_t now_us)
{
	bf_time_us_t age_us = now_us - level->updated_at_us;
	double weight;

	if (level->weight < LEVEL_RUNS_MIN || age_us > LEVEL_AGE_MAX_US)
		return age_us > LEVEL_AGE_MAX_US ? 0 : level->weight;
	weight = level->weight * exp2(-(double)age_us / LEVEL_HALF_LIFE_US);
	return weight > LEVEL_RUNS_MIN ? weight : LEVEL_RUNS_MIN;
}

static bf_capacity_route_t *
find_route(bf_capacity_t *capacity, uint32_t route)
{
	uint32_t i;

	for (i = 0; i < capacity->route_count; i++) {
		if (capacity->routes[i].route == route)
			return &capacity->routes[i];
	}
	if (capacity->route_count == BF_CAPACITY_ROUTES_MAX)
		return NULL;
	capacity->routes[capacity->route_count] =
	    (bf_capacity_route_t){ .route = route };
	return &capacity->routes[capacity->route_count++];
}

/*
 * Fits the slowdown at each number running, from 1 to slots.  It cannot fall
 * while the number rises, so levels that say otherwise are joined by weight
 * (isotonic regression).  Levels that are not known continue the one below, or
 * the first one above if there is none.
 */
static void
fit_curve(const bf_capacity_t *capacity, double *curve, bf_time_us_t now_us)
{
	double value[BF_CAPACITY_SLOTS_MAX], weight[BF_CAPACITY_SLOTS_MAX], sum;
	uint32_t last[BF_CAPACITY_SLOTS_MAX], count = 0, k, block = 0;

	for (k = 1; k <= capacity->slots; k++) {
		double w = level_weight(&capacity->levels[k], now_us);

		if (w < LEVEL_RUNS_MIN)
			continue;
		value[count] = capacity->levels[k].slowdown;
		weight[count] = w;
		last[count++] = k;
		while (count > 1 && value[count - 2] > value[count - 1]) {
			sum = weight[count - 2] + weight[count - 1];
			value[count - 2] =
			    (value[count - 2] * weight[count - 2] +
				value[count - 1] * weight[count - 1]) /
			    sum;
			weight[count - 2] = sum;
			last[count - 2] = last[count - 1];
			count--;
		}
	}
	for (k = 1; k <= capacity->slots; k++) {
		if (count == 0) {
			curve[k] = 1;
			continue;
		}
		if (k > last[block] && block + 1 < count &&
		    level_weight(&capacity->levels[k], now_us) >=
			LEVEL_RUNS_MIN)
			block++;
		curve[k] = value[block];
	}
}

static uint32_t
best_number(const bf_capacity_t *capacity, bf_time_us_t now_us)
{
	double curve[BF_CAPACITY_SLOTS_MAX + 1], highest = 0;
	uint32_t k;

	fit_curve(capacity, curve, now_us);
	for (k = 1; k <= capacity->slots; k++) {
		if (k / curve[k] > highest)
			highest = k / curve[k];
	}
	for (k = 1; k < capacity->slots; k++) {
		if (k / curve[k] >= THROUGHPUT_SHARE * highest)
			break;
	}
	return k;
}

/* Learns from a run of took_us, at a mean number running and a mean speed. */
static void
learn(bf_capacity_t *capacity, uint32_t route_hash, double took_us,
    double running, double speed, bf_time_us_t now_us)
{
	bf_capacity_route_t *route = find_route(capacity, route_hash);
	double curve[BF_CAPACITY_SLOTS_MAX + 1], usual_us, weight;
	bf_capacity_level_t *level;
	uint32_t k;

	if (route == NULL || capacity->slots == 0)
		return;
	k = running < 1 ? 1 : (uint32_t)(running + 0.5);
	if (k > capacity->slots)
		k = capacity->slots;
	fit_curve(capacity, curve, now_us);
	usual_us = took_us / speed / curve[k];
	if (route->count < ROUTE_RUNS_MAX)
		route->count++;
	route->usual_us += (usual_us - route->usual_us) / route->count;
	if (route->count <= ROUTE_RUNS_MIN || route->usual_us <= 0)
		return;
	level = &capacity->levels[k];
	weight = level_weight(level, now_us) + 1;
	if (weight > LEVEL_RUNS_MAX)
		weight = LEVEL_RUNS_MAX;
	level->slowdown +=
	    (took_us / speed / route->usual_us - level->slowdown) / weight;
	level->weight = weight;
	level->updated_at_us = now_us;
}

void
bf_capacity_end(bf_capacity_t *capacity, bf_capacity_run_t *run, uint32_t route,
    bool counted, bf_time_us_t now_us)
{
	bf_time_us_t spent_us = now_us - run->began_us, took_us;
	const bf_capacity_route_t *entry;

	if (!run->active)
		return;
	integrate(capacity, now_us);
	run->active = false;
	capacity->running--;
	if (run->calls > 0) {
		run->blocked_us += now_us - run->blocked_since_us;
		capacity->blocked--;
	}
	took_us = spent_us - run->blocked_us;
	if (!counted || took_us <= 0)
		return;
	learn(capacity, route, (double)took_us,
	    (capacity->area - run->area) / (double)spent_us,
	    (capacity->speed_area - run->speed_area) / (double)spent_us,
	    now_us);
	entry = find_route(capacity, route);
	if (entry == NULL)
		return;
	if (!capacity->has_mean) {
		capacity->has_mean = true;
		capacity->usual_us = entry->usual_us;
		capacity->blocked_us = (double)run->blocked_us;
		return;
	}
	capacity->usual_us +=
	    MIX_WEIGHT * (entry->usual_us - capacity->usual_us);
	capacity->blocked_us +=
	    MIX_WEIGHT * ((double)run->blocked_us - capacity->blocked_us);
}

static bool
is_known(const bf_capacity_t *capacity, uint32_t k, bf_time_us_t now_us)
{
	return level_weight(&capacity->levels[k], now_us) >= LEVEL_RUNS_MIN;
}

/* The number that a probe of fewer runs allows. */
static uint32_t
fewer(uint32_t learnt)
{
	uint32_t part = learnt / 4 > 0 ? learnt / 4 : 1;

	return learnt > part ? learnt - part : learnt;
}

static bool
fewer_is_recent(const bf_capacity_t *capacity, bf_time_us_t now_us)
{
	uint32_t k;

	for (k = fewer(capacity->learnt); k < capacity->learnt; k++) {
		if (is_known(capacity, k, now_us) &&
		    now_us - capacity->levels[k].updated_at_us < FEWER_AGE_US)
			return true;
	}
	return false;
}

static bf_time_us_t
probe_time_us(const bf_capacity_t *capacity, bf_time_us_t now_us)
{
	bf_time_us_t time_us = PROBE_RUNS *
	    bf_capacity_expected_us(capacity, capacity->learnt, now_us);

	if (time_us < PROBE_MIN_US)
		return PROBE_MIN_US;
	return time_us < PROBE_MAX_US ? time_us : PROBE_MAX_US;
}

/* Begins a probe if one is due; returns the number that it allows. */
static uint32_t
probe(bf_capacity_t *capacity, bf_time_us_t now_us)
{
	bf_time_us_t time_us = probe_time_us(capacity, now_us), since_us;
	bool recent = fewer_is_recent(capacity, now_us);

	since_us = now_us - capacity->probed_at_us;
	if (since_us >=
	    (recent ? PROBE_INTERVALS : FIRST_INTERVALS) * time_us) {
		capacity->probed_at_us = now_us;
		capacity->probes_fewer = !recent;
	}
	if (now_us - capacity->probed_at_us >= time_us)
		return capacity->learnt;
	return capacity->probes_fewer ? fewer(capacity->learnt)
				      : capacity->learnt + 1;
}

/* Moves the learnt number by one towards the best one. */
static void
adjust(bf_capacity_t *capacity, bool demand, bf_time_us_t now_us)
{
	uint32_t best;

	/* Slots that calls of a former process hold come back. */
	if (capacity->learnt > capacity->slots ||
	    now_us - capacity->changed_at_us < STEP_US)
		return;
	best = best_number(capacity, now_us);
	if (best < capacity->learnt)
		capacity->learnt--;
	else if (best > capacity->learnt && demand &&
	    is_known(capacity, capacity->learnt, now_us))
		capacity->learnt++;
	else
		return;
	capacity->changed_at_us = now_us;
}

uint32_t
bf_capacity_slots(bf_capacity_t *capacity, bool demand, bf_time_us_t now_us)
{
	uint32_t allowed;

	if (capacity->slots == 0)
		return 0;
	adjust(capacity, demand, now_us);
	allowed = demand ? probe(capacity, now_us) : capacity->learnt;
	allowed += capacity->blocked;
	return allowed < capacity->slots ? allowed : capacity->slots;
}

uint32_t
bf_capacity_learnt_slots(const bf_capacity_t *capacity)
{
	uint32_t slots = capacity->learnt + capacity->blocked;

	return slots < capacity->slots ? slots : capacity->slots;
}

bf_time_us_t
bf_capacity_expected_us(
    const bf_capacity_t *capacity, uint32_t running, bf_time_us_t now_us)
{
	double curve[BF_CAPACITY_SLOTS_MAX + 1];

	if (!capacity->has_mean || capacity->slots == 0)
		return 0;
	if (running < 1)
		running = 1;
	if (running > capacity->slots)
		running = capacity->slots;
	fit_curve(capacity, curve, now_us);
	return (bf_time_us_t)(capacity->usual_us * curve[running] *
		recent_speed(capacity, now_us) +
	    capacity->blocked_us);
}
