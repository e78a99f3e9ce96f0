#ifndef BF_CONTROL_RELAY_INTERNAL_H
#define BF_CONTROL_RELAY_INTERNAL_H

#include <apr_pools.h>
#include <apr_thread_mutex.h>
#include <gsl/gsl_rng.h>

#include "control/lease.h"
#include "control/relay.h"
#include "member/record.h"
#include "store/backoff.h"

/* What relay.c and relay_head.c share. */

#define KEY_BYTES 512

/* An outcome that waits to be written. */
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
	bf_time_us_t next_call_us; /* nothing is asked of the store before */
	bf_time_us_t next_try_us;
	bf_time_us_t started_us;
	bool tried_before;
	bf_time_us_t next_seeds_us; /* when the seeds are read again */
	bf_lease_t lease;
	char lease_id[KEY_BYTES];
	uint64_t head_index;
	uint64_t head_version;
	bool outcomes_due;      /* to be listed */
	apr_pool_t *chunk_pool; /* of the chunks read last */
	const bf_chunk_t *chunks;
	size_t chunk_count;

	apr_pool_t *pool;
	apr_thread_mutex_t *lock; /* of all below */
	bf_relay_view_t view;
	bf_relay_status_t status;
	outcome_t *outcomes;
	size_t outcome_count;
};

/* relay.c */
bf_time_us_t bf_relay_now(bf_relay_t *relay);
bool bf_relay_record_result(bf_relay_t *relay, bf_code_t code);
bf_relay_view_t bf_relay_get_view(bf_relay_t *relay);

/* relay_head.c */
void bf_relay_watch_head(bf_relay_t *relay, uint32_t wait_ms, apr_pool_t *pool);

#endif
