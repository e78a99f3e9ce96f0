#ifndef BF_MESH_CROWD_H
#define BF_MESH_CROWD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Tells a crowd of clients that do not behave from single refused bodies, so
 * that the log says when it begins and ends, however many there are.
 */

typedef struct bf_crowd {
	bool present;
	bf_time_us_t window_began_us;
	uint32_t window_count; /* refusals since then */
	bf_time_us_t last_us;  /* of the last refusal */
	uint64_t count;        /* refusals since the crowd began */
} bf_crowd_t;

/* A body or connection was refused.  True if a crowd begins with it. */
bool bf_crowd_add(bf_crowd_t *crowd, bf_time_us_t now_us);

/* True if the crowd that was present has ended. */
bool bf_crowd_end(bf_crowd_t *crowd, bf_time_us_t now_us);

#endif
