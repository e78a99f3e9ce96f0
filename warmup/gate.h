#ifndef BF_WARMUP_GATE_H
#define BF_WARMUP_GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Limits the calls that a cold target gets, at the only node that connects to
 * it.
 *
 * Handles the load pattern "a target comes back, its queue is empty, and all
 * entry nodes send to it at once", of which a cold target crashes.  In any one
 * second at most calls_per_s x over + slack calls reach it.  Pure: the node
 * passes the time, and records each call that it sends, also to a warm target.
 */

/*
 * Calls take different times to reach the target, so the bound of one second
 * is kept in a longer window here.
 */
#define BF_GATE_WINDOW_US (1200 * BF_US_PER_MS)
/*
 * The last starts that are kept, to bound a window that begins before the
 * target turned cold.  8 bytes each; cold targets take fewer in a second.
 */
#define BF_GATE_STARTS_MAX 256

typedef struct bf_gate_limits {
	double calls_per_s; /* of a cold target; 0: no limit */
	double over;        /* tolerated multiple of it */
	double slack;       /* tolerated calls beyond that */
} bf_gate_limits_t;

typedef struct bf_gate {
	bool limited; /* the target is cold and has a limit */
	bf_time_us_t limited_since_us;
	double rate_per_s; /* of tokens */
	double burst;      /* most tokens */
	double tokens;     /* at filled_at_us */
	bf_time_us_t filled_at_us;
	uint32_t window_max; /* starts in a window; 0: the tokens decide */
	/* A ring of the last starts. */
	bf_time_us_t starts[BF_GATE_STARTS_MAX];
	uint32_t start_count;
	uint32_t next_start;
} bf_gate_t;

/*
 * Sets whether the target is cold, and its limits.  The bucket is empty when
 * the limit begins.
 */
void bf_gate_set(bf_gate_t *gate, bool is_cold, const bf_gate_limits_t *limits,
    bf_time_us_t now_us);

/* Another process of the target: starts at the former do not count. */
void bf_gate_restart(bf_gate_t *gate);

/* Earliest time at which the next call may start; now_us at least. */
bf_time_us_t bf_gate_opens_at_us(const bf_gate_t *gate, bf_time_us_t now_us);

double bf_gate_tokens(const bf_gate_t *gate, bf_time_us_t now_us);
/* Time in which one token is created; 0: there is no limit. */
bf_time_us_t bf_gate_interval_us(const bf_gate_t *gate);

/* Records that a call is sent to the target. */
void bf_gate_start(bf_gate_t *gate, bf_time_us_t now_us);

/* The call that was started at started_us did not reach the target. */
void bf_gate_return(
    bf_gate_t *gate, bf_time_us_t started_us, bf_time_us_t now_us);

/*
 * The slots, of those that a cold target has, that its rate can fill with
 * calls of this mean run time; 1 at least if it has any.
 */
uint32_t bf_gate_slots(
    const bf_gate_t *gate, uint32_t slots, bf_time_us_t mean_run_us);

#endif
