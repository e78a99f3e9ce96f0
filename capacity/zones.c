#include "capacity/zones.h"

/* A plan is made anew this often; reports arrive at about this interval. */
#define PLAN_INTERVAL_US (200 * BF_US_PER_MS)
/* Weight of the newest call in the mean of the objectives. */
#define OBJECTIVE_WEIGHT 0.05
/* Part of the objective that run and wait may take; the rest is for delays. */
#define OBJECTIVE_SHARE 0.85
/* The share rises by this part of what the own zone has in excess. */
#define RISE 0.5
/*
 * It falls by this a plan, and only once the own zone is this much below its
 * limit, so that it does not swing.
 */
#define FALL 0.05
#define HYSTERESIS 0.15
/* A zone has room up to this many calls for each slot. */
#define FULL 0.9
/* A zone must be this much less full than the own one to get calls of it. */
#define MARGIN 0.2
/* A zone without room gets calls only of one that is this much fuller. */
#define OVERFULL_MARGIN 0.6

void
bf_zone_plan_count(bf_zone_plan_t *plan, bf_time_us_t objective_us)
{
	if (plan->objective_us <= 0)
		plan->objective_us = (double)objective_us;
	plan->objective_us +=
	    OBJECTIVE_WEIGHT * ((double)objective_us - plan->objective_us);
}

bool
bf_zone_plan_due(const bf_zone_plan_t *plan, bf_time_us_t now_us)
{
	return !plan->updated ||
	    now_us - plan->updated_at_us >= PLAN_INTERVAL_US;
}

static double
fullness(const bf_zone_load_t *zone)
{
	return zone->slots > 0 ? zone->busy / zone->slots : 0;
}

/*
 * Calls for each slot that the zone serves in time.  Beyond 1, each further one
 * waits for the mean time of a run.
 */
static double
limit_of(const bf_zone_load_t *zone, double objective_us, double cost)
{
	double mean_us = zone->work_us / zone->slots;
	double wait_us = objective_us * OBJECTIVE_SHARE - mean_us;

	if (wait_us > cost * objective_us)
		wait_us = cost * objective_us;
	return wait_us > 0 && mean_us > 0 ? 1 + wait_us / mean_us : 1;
}

static void
find_free(bf_zone_plan_t *plan, const bf_zone_load_t *zones, size_t count,
    size_t own, double own_fullness)
{
	double highest;
	size_t i;

	plan->free_total = 0;
	for (i = 0; i < BF_ZONES_MAX; i++) {
		plan->free_slots[i] = 0;
		if (i >= count || i == own || zones[i].slots <= 0)
			continue;
		highest = FULL;
		if (own_fullness > FULL + OVERFULL_MARGIN)
			highest = own_fullness - OVERFULL_MARGIN;
		if (fullness(&zones[i]) >= highest ||
		    (zones[own].slots > 0 &&
			fullness(&zones[i]) > own_fullness - MARGIN))
			continue;
		plan->free_slots[i] = highest * zones[i].slots - zones[i].busy;
		plan->free_total += plan->free_slots[i];
	}
}

void
bf_zone_plan_update(bf_zone_plan_t *plan, const bf_zone_load_t *zones,
    size_t count, size_t own, double cost, bf_time_us_t now_us)
{
	double full = fullness(&zones[own]), limit, most;

	plan->updated = true;
	plan->updated_at_us = now_us;
	find_free(plan, zones, count, own, full);
	if (zones[own].slots <= 0 || plan->free_total <= 0) {
		plan->share = zones[own].slots <= 0 ? 1 : 0;
		return;
	}
	limit = limit_of(&zones[own], plan->objective_us, cost);
	if (full > limit)
		plan->share += RISE * (full - limit) / full;
	else if (full < limit - HYSTERESIS)
		plan->share -= FALL;
	/* No more than what is free elsewhere. */
	most = plan->free_total / (plan->free_total + zones[own].slots);
	if (plan->share > most)
		plan->share = most;
	if (plan->share < 0)
		plan->share = 0;
}

size_t
bf_zone_plan_choose(const bf_zone_plan_t *plan, size_t own, bool stays,
    bool refused, double draw)
{
	double share = refused ? 1 : plan->share, at;
	size_t i, last = own;

	if (plan->free_total <= 0 || draw >= share ||
	    (stays && !refused && plan->share < 1))
		return own;
	at = draw / share * plan->free_total;
	for (i = 0; i < BF_ZONES_MAX; i++) {
		if (plan->free_slots[i] <= 0)
			continue;
		last = i;
		if (at < plan->free_slots[i])
			break;
		at -= plan->free_slots[i];
	}
	return last;
}
