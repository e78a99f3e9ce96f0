#include <math.h>
#include <stddef.h>

#include "rollout/schedule.h"

#define FIRST_SHARE_MAX 0.1
/* Calls to the new version if the first share lasted the whole move. */
#define FIRST_SHARE_CALLS 200.0

/* Elapsed fraction of the move at which time alone allows a share of 1. */
#define FULL_SHARE_ELAPSED 0.75

#define SCALE_MIN 0.25
#define SCALE_MIN_PROVEN 0.0625

typedef struct bf_schedule_step {
	double new_calls;
	double share;
} bf_schedule_step_t;

/*
 * By the rule of three, n calls without a failure bound the failure rate by
 * 3 / n with 95% confidence; unscaled, the steps keep share * 3 / n below 1%.
 */
static const bf_schedule_step_t steps[] = {
	{ 20, 0.02 },
	{ 50, 0.05 },
	{ 100, 0.1 },
	{ 200, 0.25 },
	{ 400, 0.5 },
	{ 800, 1 },
};

double
bf_schedule_first_share(double expected_calls)
{
	double share;

	share = FIRST_SHARE_CALLS / fmax(expected_calls, 1);
	return fmin(fmax(share, BF_SCHEDULE_FIRST_SHARE), FIRST_SHARE_MAX);
}

double
bf_schedule_time_share(double elapsed, double first)
{
	if (elapsed >= FULL_SHARE_ELAPSED)
		return 1;
	return pow(first, 1 - fmax(elapsed, 0) / FULL_SHARE_ELAPSED);
}

double
bf_schedule_call_scale(double expected_calls, int is_service_proven)
{
	double least;

	least = is_service_proven ? SCALE_MIN_PROVEN : SCALE_MIN;
	return fmin(fmax(expected_calls / BF_SCHEDULE_AMPLE_CALLS, least), 1);
}

double
bf_schedule_evidence_share(double new_calls, double scale, double first)
{
	double share = first;
	size_t i;

	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		if (new_calls >= steps[i].new_calls * scale)
			share = fmax(first, steps[i].share);
	}
	return share;
}
