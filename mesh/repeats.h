#ifndef BF_MESH_REPEATS_H
#define BF_MESH_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * A node's part of the budget that all nodes share for repeats of calls to a
 * service: within each window of time, a share of the calls in it, and some.
 *
 * Answers the load pattern "quiet, then many calls lost at once, as when a
 * node with its target goes": a budget that earns by the call and saves up
 * little has none left after the first of them, though few repeats were made
 * in the whole window.
 */

/* A window is counted in so many spans, and slides by one. */
#define BF_REPEAT_SPANS 20

typedef struct bf_repeats {
	bf_time_us_t window_us;
	bf_time_us_t span_us; /* start of the newest span; 0: no call yet */
	/* One span more than a window: the oldest is partly outside. */
	uint32_t calls[BF_REPEAT_SPANS + 1];
	uint32_t repeats[BF_REPEAT_SPANS + 1];
	uint32_t newest;
} bf_repeats_t;

void bf_repeats_init(bf_repeats_t *repeats, bf_time_us_t window_us);

/* A first attempt. */
void bf_repeats_count_call(bf_repeats_t *repeats, bf_time_us_t now_us);

/* A repeat that somebody else has made already. */
void bf_repeats_charge(bf_repeats_t *repeats, bf_time_us_t now_us);

/*
 * Takes one repeat; false when the window has no room.  share: of the calls of
 * the window; extra: beyond that, this node's part.
 */
bool bf_repeats_take(
    bf_repeats_t *repeats, double share, double extra, bf_time_us_t now_us);

#endif
