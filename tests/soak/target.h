#ifndef BF_TESTS_SOAK_TARGET_H
#define BF_TESTS_SOAK_TARGET_H

#include <glib.h>

#include "http/client.h"
#include "http/server.h"

/*
 * A target beside a node: slots and a queue, heartbeats, and a record of what
 * it ran, with faults to order.
 */

#define SOAK_SLOTS 6

typedef enum soak_target_way {
	SOAK_TARGET_SERVES,
	SOAK_TARGET_SLOW,
	SOAK_TARGET_FAILS,   /* 500, one call in two */
	SOAK_TARGET_LOSES,   /* runs it and breaks off, one call in two */
	SOAK_TARGET_CROSSES, /* answers with another id, one call in two */
	SOAK_TARGET_WAYS
} soak_target_way_t;

typedef struct soak_target {
	bf_http_server_t server;
	bf_loop_t *loop;
	GRand *random;
	GHashTable *runs; /* of all targets: id to number of runs */
	const char *service;
	const char *zone;
	char id[32];
	uint64_t born_ms;
	uint64_t sequence;
	soak_target_way_t way;
	uint32_t running;
	bool draining;
	bf_time_us_t acked_us; /* its leaving was acknowledged; 0: not yet */
	uint64_t late;         /* calls that came too long after that */
	bf_timer_t beat;
	bf_http_client_t node; /* where its heartbeats go */
	bf_http_exchange_t exchange;
	bool beat_leaves; /* the heartbeat under way says that it leaves */
} soak_target_t;

/* heartbeats: the node's address for them. */
void soak_target_open(soak_target_t *target, bf_loop_t *loop, GRand *random,
    GHashTable *runs, const char *zone, const struct sockaddr_in *heartbeats);

/* A new lifetime at the same address, after the former one left. */
void soak_target_renew(soak_target_t *target);

#endif
