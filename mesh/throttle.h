#ifndef BF_MESH_THROTTLE_H
#define BF_MESH_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Refuses a share of the calls of a route before they run, while runs of that
 * route fail because a service that they call has no capacity left.
 *
 * Handles the load pattern "a service is not overloaded, but one that it
 * depends on is".  Every run takes a slot of the first service and then fails
 * at the call that it makes, so the work of both services is wasted.  The
 * refused share grows while more than a few of the runs fail in this way, and
 * shrinks when none does.
 */
typedef struct bf_throttle {
	double refused_share;     /* of the calls */
	uint32_t runs;            /* that ended since the last update */
	uint32_t overloaded_runs; /* of them, failed at a full service */
	bf_time_us_t updated_at_us;
} bf_throttle_t;

/* Counts a run that ended; overloaded: a call that it made was refused. */
void bf_throttle_count(
    bf_throttle_t *throttle, bool overloaded, bf_time_us_t now_us);

/* Whether to refuse the next call; random is uniform in [0, 1). */
bool bf_throttle_refuses(
    bf_throttle_t *throttle, double random, bf_time_us_t now_us);

#endif
