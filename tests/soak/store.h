#ifndef BF_TESTS_SOAK_STORE_H
#define BF_TESTS_SOAK_STORE_H

#include <glib.h>

#include "http/server.h"

/*
 * A stand-in of the platform's store by its published protocol, in memory, on
 * the soak's loop, with faults to order.
 */

typedef enum soak_store_way {
	SOAK_STORE_SERVES,
	SOAK_STORE_REFUSES, /* 503: nothing was done */
	SOAK_STORE_RESETS,
	SOAK_STORE_SILENT,
	SOAK_STORE_LOSES, /* does it and gives no answer, one call in two */
	SOAK_STORE_WAYS
} soak_store_way_t;

typedef struct soak_store {
	bf_http_server_t server;
	bf_loop_t *loop;
	GRand *random;
	GPtrArray *items;
	GPtrArray *leases;
	GPtrArray *calls; /* not answered yet */
	uint64_t revision;
	uint64_t history; /* changes up to here are forgotten */
	uint64_t last_lease;
	soak_store_way_t way;
	bf_time_us_t slow_us;
	bf_timer_t sweep;
} soak_store_t;

void soak_store_open(soak_store_t *store, bf_loop_t *loop, GRand *random);
struct sockaddr_in soak_store_address(const soak_store_t *store);

/* Writes as an operator. */
void soak_store_put(soak_store_t *store, const char *key, const char *data);

/* Discards all history, so that watches must begin anew. */
void soak_store_forget(soak_store_t *store);

/* Ends a lease and its keys, which no call shows. */
void soak_store_revoke(soak_store_t *store);

#endif
