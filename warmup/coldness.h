#ifndef BF_WARMUP_COLDNESS_H
#define BF_WARMUP_COLDNESS_H

#include <stdbool.h>

#include "base/clock.h"

/*
 * Whether the target beside a node is cold: it has just started, or has lost
 * its caches, and takes few calls until a time that it states itself.
 *
 * Handles the failure "a target turns cold after its last statement, and is
 * given the calls of a warm one": after an interruption the target counts as
 * cold until it has stated the contrary to a later request.
 */

/*
 * A heartbeat may have waited for so long to be read; it is taken to have been
 * made that much earlier than it arrived.
 */
#define BF_COLDNESS_HEARTBEAT_AGE_US (200 * BF_US_PER_MS)

typedef struct bf_coldness {
	bf_time_us_t warm_at_us;   /* as last stated */
	bf_time_us_t stated_at_us; /* when that arrived */
	bool in_doubt;
	bf_time_us_t doubt_since_us;
} bf_coldness_t;

/* From now on the target counts as cold until it states the contrary. */
void bf_coldness_doubt(bf_coldness_t *coldness, bf_time_us_t now_us);

/*
 * Applies the statement that the target stays cold for left_us, made at
 * requested_at_us or later.  One that was not requested after the doubt began,
 * and after the last statement arrived, can only lengthen the time.
 */
void bf_coldness_state(bf_coldness_t *coldness, bf_time_us_t left_us,
    bf_time_us_t requested_at_us, bf_time_us_t now_us);

/*
 * Another process of the target states how long it stays cold.  A doubt stays,
 * as that statement may be older.
 */
void bf_coldness_restart(
    bf_coldness_t *coldness, bf_time_us_t left_us, bf_time_us_t now_us);

bool bf_coldness_is_cold(const bf_coldness_t *coldness, bf_time_us_t now_us);

#endif
