#ifndef BF_CONTROL_LEASE_H
#define BF_CONTROL_LEASE_H

#include <stdbool.h>

#include "base/clock.h"

/*
 * A lease in the store, as tracked by its holder.  The store may expire the
 * lease one time to live after it processed the last renewal, at the earliest
 * when the holder started that call.  So the holder counts the time to live
 * from the start of the call.  A process that was paused for longer then finds
 * the lease expired on its own clock.
 */
typedef struct bf_lease {
	bf_time_us_t ttl_us;
	bf_time_us_t deadline_us; /* monotonic clock; 0: not held */
} bf_lease_t;

/* The store granted or renewed the lease in a call made at call_start_us. */
void bf_lease_renewed(bf_lease_t *lease, bf_time_us_t call_start_us);

void bf_lease_lost(bf_lease_t *lease);

bool bf_lease_held(const bf_lease_t *lease, bf_time_us_t now_us);

/* Whether a third of the time to live has passed since the last renewal. */
bool bf_lease_renewal_due(const bf_lease_t *lease, bf_time_us_t now_us);

#endif
