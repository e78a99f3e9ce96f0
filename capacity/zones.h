#ifndef BF_CAPACITY_ZONES_H
#define BF_CAPACITY_ZONES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Plans which share of a node's calls of one service leaves its availability
 * zone, and for which zones.
 *
 * Handles the load pattern "one zone has more calls than its targets serve
 * within the objective, others have room", without sending calls to a zone that
 * is about as full, where the same wave of load arrives.  The plan follows the
 * calls that run and wait in each zone, which the reports of its targets state:
 * the share rises while the own zone has more than it serves in time, and falls
 * once it has clearly less.
 */

#define BF_ZONES_MAX 16

/* The targets of a service in a zone, as known from their reports. */
typedef struct bf_zone_load {
	double slots;   /* sum of learnt or stated slots */
	double busy;    /* sum of calls that run, wait or were just sent */
	double work_us; /* sum of slots x mean time of a run */
} bf_zone_load_t;

typedef struct bf_zone_plan {
	double share;      /* of the calls that leaves the own zone */
	double free_total; /* sum of free_slots */
	double free_slots[BF_ZONES_MAX]; /* by zone; 0 for the own */
	double objective_us;             /* moving average over the calls */
	bf_time_us_t updated_at_us;
	bool updated;
} bf_zone_plan_t;

/* Counts a call with this objective. */
void bf_zone_plan_count(bf_zone_plan_t *plan, bf_time_us_t objective_us);

/* Whether the plan is so old that bf_zone_plan_update() is due. */
bool bf_zone_plan_due(const bf_zone_plan_t *plan, bf_time_us_t now_us);

/*
 * Computes the plan from the loads of count zones, at most BF_ZONES_MAX.  own
 * is the index of the own zone.  cost is how much longer a call may take in the
 * own zone, as a fraction of its objective, to avoid traffic between zones.
 */
void bf_zone_plan_update(bf_zone_plan_t *plan, const bf_zone_load_t *zones,
    size_t count, size_t own, double cost, bf_time_us_t now_us);

/*
 * Returns the zone for a call.  stays: the call has a large body and leaves
 * only if the own zone has no targets.  refused: targets of the own zone have
 * refused it, so it leaves if another zone has room.  draw is uniformly
 * distributed in [0, 1).
 */
size_t bf_zone_plan_choose(const bf_zone_plan_t *plan, size_t own, bool stays,
    bool refused, double draw);

#endif
