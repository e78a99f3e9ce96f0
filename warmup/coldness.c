#include "warmup/coldness.h"

void
bf_coldness_doubt(bf_coldness_t *coldness, bf_time_us_t now_us)
{
	coldness->in_doubt = true;
	coldness->doubt_since_us = now_us;
}

void
bf_coldness_state(bf_coldness_t *coldness, bf_time_us_t left_us,
    bf_time_us_t requested_at_us, bf_time_us_t now_us)
{
	bf_time_us_t warm_at_us = now_us + left_us;

	if (coldness->in_doubt && requested_at_us >= coldness->doubt_since_us)
		coldness->in_doubt = false;
	if (requested_at_us > coldness->stated_at_us ||
	    warm_at_us > coldness->warm_at_us)
		coldness->warm_at_us = warm_at_us;
	coldness->stated_at_us = now_us;
}

void
bf_coldness_restart(
    bf_coldness_t *coldness, bf_time_us_t left_us, bf_time_us_t now_us)
{
	coldness->warm_at_us = now_us + left_us;
	coldness->stated_at_us = now_us;
}

bool
bf_coldness_is_cold(const bf_coldness_t *coldness, bf_time_us_t now_us)
{
	return coldness->in_doubt || now_us < coldness->warm_at_us;
}
