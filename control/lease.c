#include "control/lease.h"

void
bf_lease_renewed(bf_lease_t *lease, bf_time_us_t call_start_us)
{
	lease->deadline_us = call_start_us + lease->ttl_us;
}

void
bf_lease_lost(bf_lease_t *lease)
{
	lease->deadline_us = 0;
}

bool
bf_lease_held(const bf_lease_t *lease, bf_time_us_t now_us)
{
	return lease->deadline_us != 0 && now_us < lease->deadline_us;
}

bool
bf_lease_renewal_due(const bf_lease_t *lease, bf_time_us_t now_us)
{
	return now_us >= lease->deadline_us - lease->ttl_us / 3 * 2;
}
