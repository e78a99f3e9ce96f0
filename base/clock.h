#ifndef BF_BASE_CLOCK_H
#define BF_BASE_CLOCK_H

#include <stdint.h>

/*
 * The three clocks.  Only programs and their event loops read them; functions
 * that make decisions take the current time as an argument.
 */

/* Microseconds.  Signed, so that differences may be negative. */
typedef int64_t bf_time_us_t;

#define BF_US_PER_MS INT64_C(1000)
#define BF_US_PER_S INT64_C(1000000)

/* Monotonic time since boot, in microseconds: for timeouts and durations. */
bf_time_us_t bf_clock_monotonic_us(void);

/*
 * Time since boot that also counts the time for which the machine or its
 * processes were suspended, in microseconds: for knowledge that grows old, and
 * for leases that others may have given on meanwhile.
 */
bf_time_us_t bf_clock_boottime_us(void);

/* Time since 1970 in UTC, in microseconds: for deadlines that operators set. */
bf_time_us_t bf_clock_wall_us(void);

#endif
