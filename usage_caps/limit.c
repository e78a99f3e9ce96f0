#include "usage_caps/limit.h"

/* Part of the burst that is spread over the window. */
#define SPREAD_PART 0.5
/* Part of the slack that is used where nothing fails. */
#define SLACK_PART 0.25

bf_caps_limit_t
bf_caps_limit_of(
    double rate_per_s, double burst, const bf_caps_window_t *window)
{
	double window_s = (double)window->window_us / BF_US_PER_S;

	if (window_s <= 0)
		return (bf_caps_limit_t){ .rate_per_s = rate_per_s,
			.burst = burst };
	return (bf_caps_limit_t){
		.rate_per_s = rate_per_s + SPREAD_PART * burst / window_s,
		.burst = (1 - SPREAD_PART) * burst + SLACK_PART * window->slack,
	};
}
