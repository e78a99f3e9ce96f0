#include "mesh/relays.h"
#include "mesh/store_pace.h"

/* While no other node is known, the store is the only way to find one. */
#define RETRY_ALONE_FIRST_US (50 * BF_US_PER_MS)
#define RETRY_ALONE_MAX_US (1500 * BF_US_PER_MS)
/* Two such waits and a call end well within the time of a lease. */
#define RETRY_CONNECTED_FIRST_US (400 * BF_US_PER_MS)
#define RETRY_CONNECTED_MAX_US (6 * BF_US_PER_S)

/* Somewhat over the interval of the targets' heartbeats. */
#define FIRST_WRITE_US (1800 * BF_US_PER_MS)

/* Time in which the nodes of a list are connected and report their states. */
#define KNOWS_NODES_US BF_US_PER_S
/* The store may not answer; after a restart callers are waiting. */
#define KNOWS_NODES_MAX_US (2 * BF_US_PER_S)
#define KNOWS_NODES_MAX_FIRST_START_US (5 * BF_US_PER_S)

#define STALE_LISTS_MAX 3
#define LIST_AGAIN_US BF_US_PER_S

/* From this number of zones on, other zones stand in for a lost watcher. */
#define ZONES_STAND_IN 3

bf_time_us_t
bf_store_pace_renewal_us(void)
{
	return BF_LEASE_TTL_MS * BF_US_PER_MS / 3;
}

static uint64_t
next_random(uint64_t *random)
{
	/* Linear congruential generator with the constants of Knuth's MMIX. */
	*random = *random * UINT64_C(6364136223846793005) +
	    UINT64_C(1442695040888963407);
	return *random >> 33;
}

bf_time_us_t
bf_store_pace_retry_us(const bf_store_pace_t *pace, uint64_t *random)
{
	/* Only the record tells the next process that the target has left. */
	bool is_patient = pace->has_peers && !pace->has_departure;
	bf_time_us_t delay_us =
	    is_patient ? RETRY_CONNECTED_FIRST_US : RETRY_ALONE_FIRST_US;
	bf_time_us_t max_us =
	    is_patient ? RETRY_CONNECTED_MAX_US : RETRY_ALONE_MAX_US;
	uint32_t doublings = pace->failures;

	while (doublings-- > 1 && delay_us < max_us)
		delay_us *= 2;
	if (delay_us > max_us)
		delay_us = max_us;
	return delay_us / 2 +
	    (bf_time_us_t)(next_random(random) % (uint64_t)(delay_us / 2 + 1));
}

bf_time_us_t
bf_store_pace_first_write_us(const bf_store_pace_t *pace, bf_time_us_t now_us)
{
	bf_time_us_t due_us = pace->started_at_us + FIRST_WRITE_US;

	if (!pace->first_start || pace->has_target || now_us >= due_us)
		return 0;
	return due_us - now_us;
}

bool
bf_store_pace_may_be_stale(const bf_store_pace_t *pace)
{
	return (pace->first_start || pace->has_peers) &&
	    pace->stale_lists < STALE_LISTS_MAX;
}

bf_time_us_t
bf_store_pace_list_again_us(void)
{
	return LIST_AGAIN_US;
}

bool
bf_store_pace_knows_nodes(
    const bf_store_pace_t *pace, bf_time_us_t listed_at_us, bf_time_us_t now_us)
{
	bf_time_us_t up_us = now_us - pace->started_at_us;

	return up_us >= (pace->first_start ? KNOWS_NODES_MAX_FIRST_START_US
					   : KNOWS_NODES_MAX_US) ||
	    (listed_at_us != 0 && now_us - listed_at_us >= KNOWS_NODES_US);
}

bool
bf_store_pace_knows_records(
    const bf_store_pace_t *pace, bf_time_us_t listed_at_us, bf_time_us_t now_us)
{
	return !pace->first_start && listed_at_us != 0 &&
	    now_us - listed_at_us < KNOWS_NODES_US;
}

uint32_t
bf_store_pace_watchers(uint32_t zone_count)
{
	return zone_count >= ZONES_STAND_IN ? 1 : BF_RELAYS_PER_ZONE;
}
