#ifndef BF_BENCH_CALLS_H
#define BF_BENCH_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include <gsl/gsl_rng.h>

#include "rollout/evidence.h"

/*
 * Random draws of calls at given rates: how many go to each version on each
 * route, how many fail and how long they take.  Without a network or a node,
 * for experiments on the decision of a rollout alone.
 */

#define BF_CALLS_ROUTES 3
#define BF_CALLS_UNITS_MAX 16

/* What goes wrong from the onset on: with the new version, or with both. */
typedef enum bf_anomaly {
	BF_ANOMALY_NONE,
	BF_ANOMALY_FAILURES,        /* calls of all routes fail */
	BF_ANOMALY_FAILURES_UPDATE, /* calls of the route "update" fail */
	BF_ANOMALY_FAILURES_CHARGE, /* calls of the at-most-once route fail */
	BF_ANOMALY_SLOW,
	BF_ANOMALY_LOW_CAPACITY,  /* capacity for a part of the usual calls */
	BF_ANOMALY_OVERLOAD,      /* both: a surge of calls for a while */
	BF_ANOMALY_ZONE_FAILURE,  /* both: calls of one zone fail for a while */
	BF_ANOMALY_MINOR,         /* a few failures, 5% slower: acceptable */
	BF_ANOMALY_TARGET_FAILURE /* one target fails, then is ejected */
} bf_anomaly_t;

typedef struct bf_scenario {
	const char *name;
	bf_anomaly_t anomaly;
	/* Failure rate added, or factor of time, calls or capacity. */
	double strength;
	double onset_share; /* as a part of the move's duration; may exceed 1 */
	bool is_bad;        /* the new version should be rolled back */
	bool is_partitioned; /* zones can't reach each other from 40% on */
} bf_scenario_t;

typedef struct bf_calls_size {
	const char *name;
	uint32_t zones;
	uint32_t nodes_per_zone;
	double node_calls_per_s; /* calls per second and node */
} bf_calls_size_t;

typedef struct bf_calls {
	const bf_calls_size_t *size;
	const bf_scenario_t *scenario;
	uint32_t units;  /* that decide: zones, or single nodes */
	double window_s; /* duration of the move */
	gsl_rng *rng;
	/* Cumulative, by unit, route, and old or new version. */
	bf_tally_t tallies[BF_CALLS_UNITS_MAX][BF_CALLS_ROUTES][2];
	uint64_t affected_calls; /* to the new version during the anomaly */
} bf_calls_t;

extern const char *const bf_calls_routes[BF_CALLS_ROUTES];

/* Draws the calls of one second, given each unit's share for each route. */
void bf_calls_draw_second(bf_calls_t *calls, double time_s,
    double shares[BF_CALLS_UNITS_MAX][BF_CALLS_ROUTES]);

/* The share of all calls that the anomaly of the scenario can affect. */
double bf_calls_affected_share(const bf_scenario_t *scenario);

#endif
