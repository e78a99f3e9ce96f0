#ifndef BF_ROLLOUT_SCHEDULE_H
#define BF_ROLLOUT_SCHEDULE_H

/*
 * Schedule of a rollout: the share of the new version as a pure function of
 * elapsed time and evidence.  Shares are fractions from 0 to 1.
 */

/*
 * Calls of a route, expected over the duration of its move, from which on
 * every step of the schedule requires its full number of calls.
 */
#define BF_SCHEDULE_AMPLE_CALLS 30000.0

/* The first share where traffic is ample. */
#define BF_SCHEDULE_FIRST_SHARE 0.01

/*
 * Returns the first share of a route.  It is larger where few calls are
 * expected over the duration of the move, so that these still give evidence.
 */
double bf_schedule_first_share(double expected_calls);

/*
 * Returns the share that elapsed time alone allows.  It grows exponentially
 * from first to 1 in the first three quarters of the move's duration; the rest
 * is a reserve.  elapsed is the fraction of the time from start to complete_by
 * that has passed.
 */
double bf_schedule_time_share(double elapsed, double first);

/*
 * Returns the factor by which the steps' numbers of calls are reduced where
 * traffic is thin: down to a quarter, and to a sixteenth for a thin route of a
 * service whose other routes have shown the new version to be good.
 */
double bf_schedule_call_scale(double expected_calls, int is_service_proven);

/*
 * Returns the share that this many calls to the new version allow while no
 * regression is proven; never less than first.
 */
double bf_schedule_evidence_share(double new_calls, double scale, double first);

#endif
