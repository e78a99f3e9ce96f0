#ifndef BF_MESH_THROTTLE_H
#define BF_MESH_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Refuses calls of a route before they run, while runs of it fail for want of
 * room at a service that they call.
 *
 * Answers the load pattern "the service behind is full, the one in front is
 * not": every run takes a slot in front, then fails at the call it makes, so
 * both services work in vain.  The refused share grows while more than a few
 * of the runs starve and shrinks when none does.
 */
typedef struct bf_throttle {
	double refused_share; /* of the calls that are refused */
	uint32_t runs;        /* ended since the last step */
	uint32_t overloaded;
	bf_time_us_t updated_at_us;
} bf_throttle_t;

/* A run ended; starved: a call it made found no room. */
void bf_throttle_count(
    bf_throttle_t *throttle, bool starved, bf_time_us_t now_us);

/* Whether to refuse the next call; random is uniform below 1. */
bool bf_throttle_refuses(
    bf_throttle_t *throttle, double random, bf_time_us_t now_us);

#endif
