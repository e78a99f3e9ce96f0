#ifndef BF_TESTS_SOAK_STORE_H
#define BF_TESTS_SOAK_STORE_H

#include <glib.h>

#include "http/server.h"

/*
 * An in-memory implementation of the platform store's published protocol, with
 * injected faults; it runs on the soak test's event loop.
 */

typedef enum soak_store_mode {
	SOAK_STORE_SERVES,
	SOAK_STORE_REFUSES,       /* answers 503 and executes nothing */
	SOAK_STORE_RESETS,        /* aborts the connection */
	SOAK_STORE_SILENT,        /* neither executes nor answers */
	SOAK_STORE_LOSES_ANSWERS, /* executes; one call in two gets no answer */
	SOAK_STORE_MODE_COUNT
} soak_store_mode_t;

typedef struct soak_store {
	bf_http_server_t server;
	bf_loop_t *loop;
	GRand *random;
	GPtrArray *items;
	GPtrArray *leases;
	GPtrArray *pending_calls;
	uint64_t revision;
	uint64_t compacted_revision; /* watches of earlier revisions get 410 */
	uint64_t last_lease_id;
	/* Stated in answers from 1 on; rises when a copy is restored. */
	uint32_t era;
	GPtrArray *copied_items;
	uint64_t copied_revision;
	soak_store_mode_t mode;
	bf_time_us_t delay_us; /* of all answers except those of watches */
	bf_timer_t lease_timer;
} soak_store_t;

void soak_store_open(soak_store_t *store, bf_loop_t *loop, GRand *random);
struct sockaddr_in soak_store_address(const soak_store_t *store);

/* Writes a key without a lease, as an operator does. */
void soak_store_put(soak_store_t *store, const char *key, const char *data);

/* Discards the history of changes, so that watches must read again. */
void soak_store_compact(soak_store_t *store);

/* Makes a copy, in place of the one before. */
void soak_store_copy(soak_store_t *store);

/*
 * Restores the last copy: all that was written since is lost, and all leases
 * are.  Its revisions are given out again.
 */
void soak_store_restore(soak_store_t *store);

/* Removes a random lease and its keys; watches are not notified. */
void soak_store_revoke_lease(soak_store_t *store);

#endif
