#include <time.h>

#include "base/clock.h"

#define NS_PER_US 1000

static bf_time_us_t
read_clock_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * BF_US_PER_S + ts.tv_nsec / NS_PER_US;
}

bf_time_us_t
bf_clock_monotonic_us(void)
{
	return read_clock_us(CLOCK_MONOTONIC);
}

bf_time_us_t
bf_clock_boottime_us(void)
{
	return read_clock_us(CLOCK_BOOTTIME);
}

bf_time_us_t
bf_clock_wall_us(void)
{
	return read_clock_us(CLOCK_REALTIME);
}
