#include "mesh/crowd.h"

/* Refusals in one window; a few clients that retry cause fewer. */
#define REFUSALS_MIN 16
#define WINDOW_US BF_US_PER_S
/* Clients that were refused come back within seconds. */
#define ENDS_AFTER_US (5 * BF_US_PER_S)

bool
bf_crowd_add(bf_crowd_t *crowd, bf_time_us_t now_us)
{
	crowd->last_us = now_us;
	if (crowd->present) {
		crowd->count++;
		return false;
	}
	if (crowd->window_count == 0 ||
	    now_us - crowd->window_began_us > WINDOW_US) {
		crowd->window_began_us = now_us;
		crowd->window_count = 0;
	}
	if (++crowd->window_count < REFUSALS_MIN)
		return false;
	crowd->present = true;
	crowd->count = crowd->window_count;
	crowd->window_count = 0;
	return true;
}

bool
bf_crowd_end(bf_crowd_t *crowd, bf_time_us_t now_us)
{
	if (!crowd->present || now_us - crowd->last_us <= ENDS_AFTER_US)
		return false;
	crowd->present = false;
	return true;
}
