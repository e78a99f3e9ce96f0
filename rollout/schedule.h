#ifndef BF_ROLLOUT_SCHEDULE_H
#define BF_ROLLOUT_SCHEDULE_H

/*
 * The share of a new version as a pure function of time and evidence.  Shares
 * are fractions from 0 to 1.
 */

/* Calls in the whole time of a move that suffice for the full ladder. */
#define BF_SCHEDULE_AMPLE_CALLS 30000.0

/* The first share, where traffic is ample. */
#define BF_SCHEDULE_FIRST_SHARE 0.01

/*
 * The first share of a route: larger where the calls expected in the whole
 * time of the move are few, so that they still tell something.
 */
double bf_schedule_first_share(double window_calls);

/*
 * The share by time alone: grows exponentially from first to 1 in the first
 * three quarters of the move's time and leaves the rest as a reserve.
 * elapsed is the part of the time from start to complete_by that has passed.
 */
double bf_schedule_time_share(double elapsed, double first);

/*
 * How much of the ladder's number of calls is asked for: less where traffic
 * is thin, down to a quarter, and to a sixteenth for a thin route of a service
 * whose other routes have shown the version to be good.
 */
double bf_schedule_call_scale(double window_calls, int service_proven);

/*
 * The share that this many calls to the new version without proven badness
 * allow; never less than first.
 */
double bf_schedule_evidence_share(double new_calls, double scale, double first);

#endif
