#ifndef BF_CONTROL_RELAY_INTERNAL_H
#define BF_CONTROL_RELAY_INTERNAL_H

#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <gsl/gsl_rng.h>

#include "control/lease.h"
#include "control/relay.h"
#include "member/record.h"
#include "store/backoff.h"

/* Shared by relay.c and relay_head.c. */

#define LEASE_ID_BYTES 512

/* An outcome queued for writing. */
typedef struct outcome {
	struct outcome *next;
	char *key;
	void *data;
	size_t data_bytes;
} outcome_t;

struct bf_relay {
	bf_relay_options_t options;
	char prefix[BF_NAME_BYTES];
	char instance[BF_NAME_BYTES];
	char zone[BF_NAME_BYTES];
	char control_address[BF_ADDRESS_BYTES];
	bf_store_t *store;
	gsl_rng *rng;
	bf_backoff_t backoff;
	/* No store call before this time, due to backoff; 0: no backoff. */
	bf_time_us_t next_call_us;
	bf_time_us_t next_acquire_us; /* next attempt to acquire a slot */
	bf_time_us_t started_us;
	bool acquire_scheduled;     /* next_acquire_us was set after joining */
	bf_time_us_t next_seeds_us; /* next read of the seed addresses */
	bf_lease_t lease;
	char lease_id[LEASE_ID_BYTES];
	uint64_t head_index;    /* store index of the head processed last */
	uint64_t head_version;  /* of the last head that could be decoded */
	bool list_outcomes_due; /* the store's outcomes must be listed */
	/* Chunks of the last snapshot built, to fetch only changed ones. */
	apr_pool_t *chunk_pool;
	const bf_chunk_t *chunks;
	size_t chunk_count;

	apr_pool_t *pool;
	apr_thread_mutex_t *lock; /* guards all members below */
	bf_relay_view_t view;
	/*
	 * Here lease_remaining_us holds the deadline of the lease on the
	 * monotonic clock; bf_relay_status subtracts the current time.
	 */
	bf_relay_status_t status;
	outcome_t *outcomes; /* queue, oldest first */
	size_t outcome_count;
};

/* relay.c */
bf_time_us_t bf_relay_now(bf_relay_t *relay);
bool bf_relay_record_result(bf_relay_t *relay, bf_code_t code);
bf_relay_view_t bf_relay_get_view(bf_relay_t *relay);

/* relay_head.c */
void bf_relay_watch_head(bf_relay_t *relay, uint32_t wait_ms, apr_pool_t *pool);

#endif
