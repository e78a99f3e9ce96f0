#ifndef BF_TESTS_SOAK_TARGET_H
#define BF_TESTS_SOAK_TARGET_H

#include <glib.h>

#include "http/client.h"
#include "http/server.h"

/*
 * A simulated target of one node: a limited number of slots, heartbeats, a
 * count of the runs of each request id, and injected faults.
 */

#define SOAK_TARGET_SLOTS 6

typedef enum soak_target_mode {
	SOAK_TARGET_SERVES,
	SOAK_TARGET_SLOW,
	SOAK_TARGET_FAILS,         /* one call in two is answered 500 */
	SOAK_TARGET_LOSES_ANSWERS, /* one call in two is run, not answered */
	SOAK_TARGET_WRONG_IDS,     /* one answer in two has a wrong id */
	SOAK_TARGET_MODE_COUNT
} soak_target_mode_t;

typedef struct soak_target soak_target_t;

/* What a target is doing with a request. */
typedef struct soak_run_events {
	void (*began)(
	    soak_target_t *target, const char *id, bf_time_us_t now_us);
	/* planned_end_us: when the run ends if it is not abandoned. */
	void (*ended)(soak_target_t *target, const char *id,
	    bf_time_us_t planned_end_us, bf_time_us_t now_us);
} soak_run_events_t;

/* Requests whose id begins so are long ones. */
#define SOAK_LONG_RUN_PREFIX "long-"

struct soak_target {
	bf_http_server_t server;
	bf_loop_t *loop;
	GRand *random;
	GHashTable *run_counts; /* request id to runs; shared by all targets */
	const char *service;
	const char *zone;
	char id[32];
	uint64_t started_ms;
	uint64_t sequence;
	soak_target_mode_t mode;
	uint32_t running;
	bool draining;
	bf_time_us_t drain_acked_us; /* draining was acknowledged; 0: not yet */
	uint64_t late_calls; /* received too long after drain_acked_us */
	bf_timer_t heartbeat_timer;
	bf_http_client_t node_client; /* sends the heartbeats */
	bf_http_exchange_t heartbeat_exchange;
	bool heartbeat_drains; /* the heartbeat in flight reports "draining" */
	bool departs_first;    /* it deregisters instead of draining */
	/* A heartbeat on its way, perhaps of a former lifetime. */
	bf_bytes_t late_head;
	bf_bytes_t late_body;
	bf_timer_t late_timer;
	bf_http_exchange_t late_exchange;
	/*
	 * Set after opening; NULL: no heartbeat is late.  Not random, whose
	 * draws determine the sequence of faults.
	 */
	GRand *late_random;
	const soak_run_events_t *events; /* set after opening; may be NULL */
};

/* heartbeat_address: where the node receives heartbeats. */
void soak_target_open(soak_target_t *target, bf_loop_t *loop, GRand *random,
    GHashTable *run_counts, const char *zone,
    const struct sockaddr_in *heartbeat_address);

/* Starts a new lifetime, with a new id, at the same address. */
void soak_target_restart(soak_target_t *target);

#endif
