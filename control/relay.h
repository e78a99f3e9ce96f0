#ifndef BF_CONTROL_RELAY_H
#define BF_CONTROL_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "config/snapshot.h"
#include "store/store.h"

/*
 * Reads the store on behalf of the nodes of an availability zone.  Each zone
 * has a few relay slots, keys in the store that are held under a lease.  A few
 * candidates of the zone compete for them, and only slot holders watch the
 * head.  All other nodes stay off the store, so its load grows with the number
 * of zones and not of nodes.  Two nodes may believe for a short time that they
 * hold the same slot.  This is harmless: a relay only reads, apart from
 * outcomes, which are created by compare-and-swap, and its own seed address.
 *
 * bf_relay_step makes blocking calls and must be called by one thread only.
 * The functions marked as thread-safe may be called by any thread.
 */

typedef struct bf_relay bf_relay_t;
typedef struct bf_relay_output bf_relay_output_t;

typedef struct bf_relay_output_vtable {
	/* A newer configuration was read; the output takes ownership. */
	void (*snapshot)(bf_relay_output_t *output, bf_snapshot_t *snapshot);
	/* The control address of a seed node, to pull the table from. */
	void (*seed)(bf_relay_output_t *output, const char *address);
	/* An outcome was read from the store. */
	void (*outcome)(bf_relay_output_t *output, const char *key,
	    const void *data, size_t data_bytes);
	/*
	 * Returns the monotonic time.  A step reads it several times, since
	 * its store calls take time.
	 */
	bf_time_us_t (*clock)(bf_relay_output_t *output);
} bf_relay_output_vtable_t;

struct bf_relay_output {
	const bf_relay_output_vtable_t *vtable;
};

typedef struct bf_relay_options {
	bf_store_t *store; /* not freed */
	const char *prefix;
	const char *instance;
	const char *zone;
	const char *control_address;
	uint32_t slots; /* relay slots of the zone */
	uint32_t lease_ttl_ms;
	uint32_t watch_wait_ms; /* longest wait of a watch call */
	/*
	 * Mean time between attempts to acquire a slot.  Each interval is drawn
	 * from 0.5 to 1.5 times this.
	 */
	uint32_t acquire_interval_ms;
	uint64_t rng_seed;
	bf_relay_output_t *output;
	bf_log_t *log;
} bf_relay_options_t;

/* This node's view of the membership and its configuration. */
typedef struct bf_relay_view {
	bool joined;      /* see bf_member_joined */
	bool alone;       /* no other member is alive or suspect */
	uint32_t rank;    /* see bf_member_zone_rank */
	uint64_t version; /* of the configuration in force; 0: none */
} bf_relay_view_t;

typedef struct bf_relay_status {
	bool held;                       /* the lease of a slot is held */
	bf_time_us_t lease_remaining_us; /* duration; 0: no lease is held */
	bool store_up;                   /* the store answered the last call */
	uint64_t calls;                  /* calls of the store */
	uint64_t failures;     /* calls that ended in an error of the store */
	uint64_t lapses;       /* leases that expired, ended or were given up */
	uint64_t head_version; /* of the last head read; 0: none */
	bf_time_us_t head_read_us; /* when that read was started */
	uint64_t bad_heads;        /* heads or chunks that were invalid */
	uint64_t outcomes_written; /* by this node */
} bf_relay_status_t;

bf_relay_t *bf_relay_new(const bf_relay_options_t *options);
void bf_relay_free(bf_relay_t *relay);

/* Makes the store calls that are due; returns the time to the next step. */
bf_time_us_t bf_relay_step(bf_relay_t *relay);

/*
 * Revokes the lease, so that another node can acquire the slot before the
 * lease would expire.  Not thread-safe.
 */
void bf_relay_resign(bf_relay_t *relay);

/* Thread-safe. */
void bf_relay_set_view(bf_relay_t *relay, const bf_relay_view_t *view);

/*
 * Queues an outcome to be created in the store.  Does nothing while no slot is
 * held or the key is queued already; BF_ERR_LIMIT when the queue is full.
 * Thread-safe.
 */
bf_code_t bf_relay_write_outcome(
    bf_relay_t *relay, const char *key, const void *data, size_t data_bytes);

/* Thread-safe. */
void bf_relay_status(
    bf_relay_t *relay, bf_time_us_t now_us, bf_relay_status_t *status);

#endif
