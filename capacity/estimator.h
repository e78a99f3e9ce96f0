#ifndef BF_CAPACITY_ESTIMATOR_H
#define BF_CAPACITY_ESTIMATOR_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Learns how many concurrent runs a target takes well, and how long a run takes
 * at each number running.  The node beside the target is the only one that
 * sends it calls, so it sees every run.
 *
 * Handles the load pattern "a target slows down before its slots are full, on
 * a machine whose speed changes".  The time of a run is compared with the usual
 * time of its route, so that a mix of long and short routes does not look like
 * a slow target, and is divided by the speed that the target reports.  Time in
 * which a run waits for calls that it made itself does not count, neither as
 * time of the run nor as load on the target.
 *
 * The learnt number is the smallest one with nearly the highest throughput
 * (number running divided by slowdown).  It changes by one at a time, upwards
 * only while calls wait.
 */

/* More slots than this are treated as this many. */
#define BF_CAPACITY_SLOTS_MAX 256
#define BF_CAPACITY_ROUTES_MAX 64

/* What is known of the runs at one number running. */
typedef struct bf_capacity_level {
	double slowdown; /* mean time relative to the usual time of the route */
	double weight;   /* runs that it rests on, as of updated_at_us */
	bf_time_us_t updated_at_us;
} bf_capacity_level_t;

typedef struct bf_capacity_route {
	uint32_t route; /* hash of its name */
	uint32_t count; /* runs that usual_us rests on, up to a limit */
	double usual_us;
} bf_capacity_route_t;

typedef struct bf_capacity {
	uint32_t slots;  /* that the target states */
	uint32_t learnt; /* concurrent runs that it takes well; may be more */
	uint32_t running;
	uint32_t blocked; /* of running: waiting for calls that they made */
	double speed;     /* time of work relative to the usual; 1 is usual */
	double recent_speed; /* moving average of it, as of area_at_us */
	double usual_us;     /* mean usual time of the recent runs */
	double blocked_us;   /* mean blocked time of the recent runs */
	bool has_mean;
	double area; /* integral of the number of unblocked runs over time */
	double speed_area; /* integral of speed over time */
	bf_time_us_t area_at_us;
	bf_time_us_t changed_at_us; /* learnt */
	bf_time_us_t probed_at_us;  /* start of the last probe */
	bool probes_fewer;          /* the last probe, not more runs */
	bf_capacity_level_t levels[BF_CAPACITY_SLOTS_MAX + 1];
	bf_capacity_route_t routes[BF_CAPACITY_ROUTES_MAX];
	uint32_t route_count;
} bf_capacity_t;

/* A run at the target. */
typedef struct bf_capacity_run {
	bool active; /* between begin and end */
	bf_time_us_t began_us;
	double area;       /* of the estimator, when the run began */
	double speed_area; /* the same */
	uint32_t calls;    /* that it made and waits for */
	bf_time_us_t blocked_since_us;
	bf_time_us_t blocked_us; /* until blocked_since_us */
} bf_capacity_run_t;

void bf_capacity_init(
    bf_capacity_t *capacity, uint32_t slots, bf_time_us_t now_us);

/*
 * Forgets what was learnt, for a new target or a new process of it.  Runs that
 * have not ended are still counted as running.
 */
void bf_capacity_forget(
    bf_capacity_t *capacity, uint32_t slots, bf_time_us_t now_us);

/* Sets the slots that are free for this node's runs; learnt is bounded by it.
 */
void bf_capacity_set_slots(bf_capacity_t *capacity, uint32_t slots);

/* Records how long work takes at the target now, in percent of the usual. */
void bf_capacity_set_percent(
    bf_capacity_t *capacity, uint32_t percent, bf_time_us_t now_us);

void bf_capacity_begin(
    bf_capacity_t *capacity, bf_capacity_run_t *run, bf_time_us_t now_us);

/* The run made a call, or a call that it made has ended. */
void bf_capacity_call_began(
    bf_capacity_t *capacity, bf_capacity_run_t *run, bf_time_us_t now_us);
void bf_capacity_call_ended(
    bf_capacity_t *capacity, bf_capacity_run_t *run, bf_time_us_t now_us);

/*
 * Ends a run.  Learns from it if counted; a run that failed, was cancelled or
 * fell into the warm-up of the target says nothing about its capacity.
 */
void bf_capacity_end(bf_capacity_t *capacity, bf_capacity_run_t *run,
    uint32_t route, bool counted, bf_time_us_t now_us);

/*
 * Adjusts the learnt number.  Returns how many runs may hold a slot now: the
 * learnt number, during a probe one more or a quarter fewer, and those that are
 * blocked; at least 1, at most slots.  demand: calls wait.  Without it there is
 * no probe.
 */
uint32_t bf_capacity_slots(
    bf_capacity_t *capacity, bool demand, bf_time_us_t now_us);

/* The same without a probe and an adjustment, to report to other nodes. */
uint32_t bf_capacity_learnt_slots(const bf_capacity_t *capacity);

/* Expected time of a run with this many running; 0: none was measured. */
bf_time_us_t bf_capacity_expected_us(
    const bf_capacity_t *capacity, uint32_t running, bf_time_us_t now_us);

#endif
