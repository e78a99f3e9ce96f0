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
 * The control plane of one node: one thread that speaks with other nodes
 * (membership, configuration, replicated items, direct messages) and, when a
 * store is given, one thread that makes the blocking calls of a relay.
 *
 * Callbacks run on the control thread and must not block.  All functions but
 * new, start, stop and free may be called by any thread at any time between
 * start and stop, from callbacks too.
 */

typedef struct bf_control bf_control_t;

/* Kinds of replicated items and direct messages are the caller's to number. */
#define BF_ITEM_KINDS_MAX 16
#define BF_ITEM_KEY_BYTES 192
#define BF_ITEM_VALUE_BYTES_MAX 32768
#define BF_DIRECT_BYTES_MAX 65536

typedef struct bf_item_kind bf_item_kind_t;

typedef struct bf_item_vtable {
	/*
	 * True when incoming replaces have.  Must be a strict order, the same
	 * on every node: two values of which neither is newer are taken to be
	 * equal.  Also called with a value of a peer, so hostile bytes must
	 * give false (have is NULL at first sight: then return whether the
	 * value is well formed).
	 */
	bool (*newer)(const void *have, size_t have_bytes, const void *incoming,
	    size_t incoming_bytes);
} bf_item_vtable_t;

struct bf_item_kind {
	const bf_item_vtable_t *vtable;
	uint32_t kind;        /* 1 to 255 */
	uint32_t expiry_ms;   /* since the last change seen here; 0: never */
	uint32_t interval_ms; /* own changes of a key are sent at most this
				 often, the last one wins; 0: at once */
};

typedef struct bf_control_callbacks {
	void *ctx;
	/*
	 * A newer configuration, whole and checked.  On BF_OK the node
	 * announces it as in force; the snapshot then stays valid until the
	 * next one was accepted or bf_control_free.  On failure it is dropped
	 * and not asked for again until a newer version is heard of.
	 */
	bf_code_t (*snapshot)(void *ctx, const bf_snapshot_t *snapshot);
	/* Membership changed: read it by bf_control_records. */
	void (*members)(void *ctx);
	/* An item is new or was replaced, by this node or by a peer. */
	void (*item)(void *ctx, uint32_t kind, const char *key,
	    const void *value, size_t value_bytes);
	/* A direct message. */
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
	const char *const *seeds;    /* control addresses of a few nodes */
	size_t seed_count;

	/*
	 * CURVE keys, Z85 text of 40 characters.  Every node listens with the
	 * mesh pair and dials with the client pair (NULL: the mesh pair).
	 * Only clients with an allowed key are let in; the mesh key always
	 * is.  insecure must be set to run without keys.
	 */
	bool insecure;
	const char *mesh_public_key;
	const char *mesh_secret_key;
	const char *client_public_key;
	const char *client_secret_key;
	const char *const *allowed_keys;
	size_t allowed_key_count;

	/* The platform's store; NULL: this node never is a relay. */
	bf_store_t *store; /* used by the relay's thread only; not freed */
	const char *store_prefix; /* such as "basilfork/" */
	uint32_t relays_per_zone; /* 0: 2 */
	uint32_t lease_ttl_ms;    /* 0: 15000 */

	uint32_t heartbeat_ms; /* 0: 1000 */
	uint32_t suspect_ms;   /* silence before suspicion; 0: 3 heartbeats */
	uint32_t dead_ms;      /* suspicion before death; 0: 5 heartbeats */

	const bf_item_kind_t *kinds;
	size_t kind_count;
	bf_control_callbacks_t callbacks;
	bf_counters_t *counters; /* must outlive the control; not NULL */
	bf_log_t *log;           /* may be NULL */
} bf_control_options_t;

/* Checks options and copies them; nothing runs and nothing listens yet. */
bf_code_t bf_control_new(
    const bf_control_options_t *options, bf_control_t **out, bf_error_t *err);

/* Listens and starts the threads; BF_ERR_IO when the address is taken. */
bf_code_t bf_control_start(bf_control_t *control, bf_error_t *err);

/* Announces the leave, waits until it was handed on, ends the threads. */
void bf_control_stop(bf_control_t *control);

void bf_control_free(bf_control_t *control);

/*
 * Announces the target beside this node: of fields, target_state, service,
 * version, slots and target_incarnation are read.  A change is sent at once.
 */
bf_code_t bf_control_set_target(
    bf_control_t *control, const bf_record_t *fields);

/*
 * Publishes an item to all nodes.  One that is not newer than the present
 * value is dropped.  BF_ERR_ARGUMENT for an unknown kind, BF_ERR_TOO_LARGE,
 * BF_ERR_LIMIT while too many commands wait for the control thread.
 */
bf_code_t bf_control_publish_item(bf_control_t *control, uint32_t kind,
    const char *key, const void *value, size_t value_bytes);

/* Sends a direct message, at most once, without an answer. */
bf_code_t bf_control_send(bf_control_t *control, const char *instance,
    uint32_t kind, const void *data, size_t data_bytes);

/*
 * Asks the relay to write "<prefix>outcome/<key>" once, by compare-and-swap
 * from absent; repeated until it stands, by this node or another.  Does
 * nothing on a node that is no relay: call it again at a later tick, it is
 * idempotent.
 */
bf_code_t bf_control_write_outcome(bf_control_t *control, const char *key,
    const void *data, size_t data_bytes);

/*
 * Items of this kind are what outcomes in the store become when a relay reads
 * them: key is the outcome's key, value its bytes.  0: outcomes aren't read.
 */
void bf_control_set_outcome_kind(bf_control_t *control, uint32_t kind);

/* Copies of all known records, dead ones too, sorted by instance. */
bf_code_t bf_control_records(bf_control_t *control, apr_pool_t *pool,
    bf_record_t **records, size_t *count);

typedef enum bf_config_status {
	BF_CONFIG_NONE,        /* no configuration yet */
	BF_CONFIG_BELOW_FLOOR, /* has one that is too old to serve */
	BF_CONFIG_IN_FORCE
} bf_config_status_t;

#define BF_NEIGHBOURS_MAX 32

typedef struct bf_control_status {
	bf_config_status_t config;
	uint64_t config_version; /* in force; 0: none */
	bf_digest_t config_digest;
	uint64_t floor_version; /* not to be served below */
	uint64_t heard_version; /* the greatest any peer announced */
	bool joined;            /* the first full pull is done */
	bool relay;             /* holds a relay's lease now */
	bf_time_us_t lease_left_us;
	bool store_up;        /* the last store call was answered */
	uint64_t store_calls; /* made by this node */
	uint32_t alive;
	uint32_t suspect;
	uint32_t dead;
	uint32_t neighbour_count;
	char neighbours[BF_NEIGHBOURS_MAX][BF_NAME_BYTES];
	uint64_t sent_bytes; /* payload of the control plane */
	uint64_t received_bytes;
} bf_control_status_t;

void bf_control_status(bf_control_t *control, bf_control_status_t *status);

/* A fresh CURVE pair as Z85 text, 41 bytes each with the NUL. */
bf_code_t bf_control_keypair(
    char public_key[41], char secret_key[41], bf_error_t *err);

#endif
