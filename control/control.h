#ifndef BF_CONTROL_CONTROL_H
#define BF_CONTROL_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/log.h"
#include "config/snapshot.h"
#include "member/record.h"
#include "store/store.h"

/*
 * The control plane of one node: one thread that exchanges messages with other
 * nodes (membership, configuration, replicated items, direct messages) and,
 * when a store is given, one thread that makes the blocking store calls of the
 * relay.
 *
 * An item is a key-value pair that is replicated to all nodes; the caller
 * defines its kinds and how concurrent values of a key are resolved.
 *
 * Callbacks run on the control thread and must not block.  All functions but
 * new, start, stop and free may be called by any thread at any time between
 * start and stop, from callbacks too.
 */

typedef struct bf_control bf_control_t;

/* The caller assigns the numbers of item kinds and direct message kinds. */
#define BF_ITEM_KINDS_MAX 16
#define BF_ITEM_KEY_BYTES 192
#define BF_ITEM_VALUE_BYTES_MAX 32768
#define BF_DIRECT_BYTES_MAX 65536

typedef struct bf_item_kind bf_item_kind_t;

typedef struct bf_item_vtable {
	/*
	 * True when incoming replaces current.  Must be a strict order that is
	 * the same on every node: two values of which neither is newer are
	 * treated as equal.  incoming may come from a peer and be malformed or
	 * hostile; return false then.  current is NULL when the key has no
	 * value yet; then return whether incoming is valid.
	 */
	bool (*newer)(const void *current, size_t current_bytes,
	    const void *incoming, size_t incoming_bytes);
} bf_item_vtable_t;

struct bf_item_kind {
	const bf_item_vtable_t *vtable;
	uint32_t kind; /* 1 to 255 */
	/* Lifetime after the last change on this node; 0: unlimited. */
	uint32_t expiry_ms;
	/*
	 * Minimum time between two changes of a key published by this node; of
	 * several within it only the last is sent.  0: no limit.
	 */
	uint32_t interval_ms;
};

typedef struct bf_control_callbacks {
	void *ctx;
	/*
	 * Applies a newer configuration, complete and checked.  On BF_OK the
	 * node announces it as in force; the snapshot then stays valid until
	 * the next one was accepted or bf_control_free.  On failure it is
	 * freed, and nothing is requested until a newer version is announced.
	 */
	bf_code_t (*snapshot)(void *ctx, const bf_snapshot_t *snapshot);
	/* Membership changed; bf_control_records returns the new records. */
	void (*members)(void *ctx);
	/* An item was added or replaced, by this node or by a peer. */
	void (*item)(void *ctx, uint32_t kind, const char *key,
	    const void *value, size_t value_bytes);
	/* A direct message was received. */
	void (*message)(void *ctx, const char *from_instance, uint32_t kind,
	    const void *data, size_t data_bytes);
	/* Every 100 ms. */
	void (*tick)(void *ctx, bf_time_us_t now_us, bf_time_us_t wall_us);
} bf_control_callbacks_t;

typedef struct bf_control_options {
	const char *instance;
	const char *zone;
	const char *region;
	const char *control_address; /* "IP:port": listened on and announced */
	const char *mesh_address;    /* "IP:port": only announced */
	/* Seed nodes: control addresses to contact first when joining. */
	const char *const *seeds;
	size_t seed_count;

	/*
	 * CURVE keys, Z85 text of 40 characters.  Every node listens with the
	 * mesh key pair and connects with the client key pair (NULL: the mesh
	 * key pair).  Only clients with an allowed key may connect; the mesh
	 * key is always allowed.  insecure must be set to run without keys.
	 */
	bool insecure;
	const char *mesh_public_key;
	const char *mesh_secret_key;
	const char *client_public_key;
	const char *client_secret_key;
	const char *const *allowed_keys;
	size_t allowed_key_count;

	/* The platform's store; NULL: this node never becomes a relay. */
	bf_store_t *store;        /* used by the relay thread only; not freed */
	const char *store_prefix; /* of all keys; NULL: "basilfork/" */
	uint32_t relays_per_zone; /* 0: 2 */
	uint32_t lease_ttl_ms;    /* 0: 15000 */

	uint32_t heartbeat_ms; /* 0: 1000 */
	/* Time without a message until a peer is suspect; 0: 3 heartbeats. */
	uint32_t suspect_after_ms;
	/* Time as suspect until a peer is declared dead; 0: 5 heartbeats. */
	uint32_t dead_after_ms;

	const bf_item_kind_t *kinds;
	size_t kind_count;
	bf_control_callbacks_t callbacks;
	bf_counters_t *counters; /* must outlive the control; not NULL */
	bf_log_t *log;           /* may be NULL */
} bf_control_options_t;

/* Checks and copies options; starts no thread and opens no socket. */
bf_code_t bf_control_new(
    const bf_control_options_t *options, bf_control_t **out, bf_error_t *err);

/* Listens and starts the threads; BF_ERR_IO when the address is in use. */
bf_code_t bf_control_start(bf_control_t *control, bf_error_t *err);

/*
 * Announces that this node leaves, waits up to half a second for the message
 * to be sent, and ends the threads.
 */
void bf_control_stop(bf_control_t *control);

void bf_control_free(bf_control_t *control);

/*
 * Announces the state of this node's target: of fields, target_state, service,
 * version, slots and target_incarnation are read.  A change is sent at once.
 */
bf_code_t bf_control_set_target(
    bf_control_t *control, const bf_record_t *fields);

/*
 * Publishes an item to all nodes.  A value that is not newer than the current
 * one is discarded.  BF_ERR_ARGUMENT for an unknown kind or an empty key,
 * BF_ERR_TOO_LARGE for a key or value over the limits above, BF_ERR_LIMIT when
 * the command queue of the control thread is full.
 */
bf_code_t bf_control_publish_item(bf_control_t *control, uint32_t kind,
    const char *key, const void *value, size_t value_bytes);

/*
 * Sends a direct message, at most once and without acknowledgement.  A message
 * to an instance without a record is dropped.
 */
bf_code_t bf_control_send(bf_control_t *control, const char *instance,
    uint32_t kind, const void *data, size_t data_bytes);

/*
 * Queues a write of "<prefix>outcome/<key>" for the relay thread, which creates
 * the key by compare-and-swap and retries until it exists, whichever node wrote
 * it.  Does nothing while this node is not a relay.  Idempotent: call it again
 * at later ticks until the outcome is known.
 */
bf_code_t bf_control_write_outcome(bf_control_t *control, const char *key,
    const void *data, size_t data_bytes);

/*
 * Sets the item kind under which a relay publishes the outcomes that it reads
 * from the store, with the outcome's key as key and its bytes as value.  0, the
 * default: they are not published.
 */
void bf_control_set_outcome_kind(bf_control_t *control, uint32_t kind);

/* Copies of all member records, dead ones too, sorted by instance. */
bf_code_t bf_control_records(bf_control_t *control, apr_pool_t *pool,
    bf_record_t **records, size_t *count);

typedef enum bf_config_status {
	BF_CONFIG_NONE,
	/* None is in force; a floor is set and a version was announced. */
	BF_CONFIG_BELOW_FLOOR,
	BF_CONFIG_IN_FORCE
} bf_config_status_t;

#define BF_NEIGHBOURS_MAX 32

typedef struct bf_control_status {
	bf_config_status_t config;
	uint64_t config_version; /* in force; 0: none */
	bf_digest_t config_digest;
	uint64_t floor_version;  /* lowest version that may be put in force */
	uint64_t newest_version; /* greatest announced by a peer or in force */
	bool joined; /* first full table pull done, or no peer to pull from */
	bool relay;  /* holds a relay slot's lease */
	bf_time_us_t lease_remaining_us; /* duration; 0: no lease is held */
	bool store_up;                   /* the store answered the last call */
	uint64_t store_calls;            /* made by this node */
	uint32_t alive;
	uint32_t suspect;
	uint32_t dead;
	uint32_t neighbour_count;
	char neighbours[BF_NEIGHBOURS_MAX][BF_NAME_BYTES];
	uint64_t sent_bytes; /* control plane messages, without framing */
	uint64_t received_bytes;
} bf_control_status_t;

void bf_control_status(bf_control_t *control, bf_control_status_t *status);

/* Generates a CURVE key pair as Z85 text, 41 bytes each with the NUL. */
bf_code_t bf_control_keypair(
    char public_key[41], char secret_key[41], bf_error_t *err);

#endif
