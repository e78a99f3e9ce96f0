#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "http/client.h"
#include "http/server.h"
#include "tests/soak/proxy.h"
#include "tests/soak/store.h"

/*
 * A small mesh for the cases of the review: basilmeshd processes on one
 * loopback address, the platform's store, a target beside each node and
 * callers.  All stand-ins run on one event loop.
 *
 * A case exits with RIG_BROKEN if the rule was broken, RIG_HELD if it held and
 * RIG_NOT_RUN if it could not run.
 */

#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_NOT_RUN 2

#define RIG_NODES_MAX 8
#define RIG_MS BF_US_PER_MS
#define RIG_S BF_US_PER_S

typedef struct rig rig_t;
typedef struct rig_node rig_node_t;
typedef struct rig_target rig_target_t;
typedef struct rig_run rig_run_t;
typedef struct rig_caller rig_caller_t;

/* A request that a target runs. */
struct rig_run {
	rig_run_t *next;
	rig_target_t *target;
	bf_http_request_t *request;
	bf_timer_t timer;
	char id[128];
	char path[256];
	bf_time_us_t began_us;
};

/* The target beside a node. */
struct rig_target {
	bf_http_server_t server; /* first member */
	rig_t *rig;
	rig_node_t *node;
	char id[64];
	const char *service;
	const char *version;
	uint64_t born_ms;
	uint64_t sequence;
	uint32_t slots;
	uint32_t running;
	bool draining;
	bool gone;                   /* its process has ended */
	bf_time_us_t drain_acked_us; /* 0: not yet */
	bool beats;                  /* sends heartbeats */
	bf_timer_t beat_timer;
	bf_http_client_t beat_client;
	bf_http_exchange_t beat;
	bool beat_drains;
	/* Work of a request, in ms; by default, the number in its path. */
	uint32_t (*work_ms)(rig_run_t *run);
	/* Status of the answer; NULL: 200. */
	uint32_t (*status_of)(rig_run_t *run);
	/* Called when a request begins and when it ends; may be NULL. */
	void (*began)(rig_run_t *run, bf_time_us_t now_us);
	void (*ended)(rig_run_t *run, bool abandoned, bf_time_us_t now_us);
};

struct rig_node {
	rig_t *rig;
	char name[32];
	char zone[8];
	char *folder;
	pid_t pid; /* 0: not running */
	int status;
	uint32_t starts;
	uint16_t port_callers, port_peers, port_admin, port_ready, port_target;
	soak_proxy_t store_proxy;
	rig_target_t target;
	bf_http_client_t ready_client;
	bf_http_exchange_t ready;
	bf_timer_t ready_timer;
	bool is_ready; /* by the last answer of its ready address */
	bf_time_us_t ready_sent_us;
	bf_time_us_t restart_at_us; /* 0: none due */
	bool is_late;               /* not started with the others */
};

struct rig {
	const char *name;
	bool trouble; /* false with TROUBLE=0 */
	FILE *record;
	bf_loop_t *loop;
	GRand *random;
	soak_store_t store;
	rig_node_t nodes[RIG_NODES_MAX];
	uint32_t node_count;
	char *folder;
	char *settings_more; /* further sections of each node's settings */
	bf_time_us_t began_us;
	bf_time_us_t limit_us; /* the whole run */
	bf_timer_t tick;
	bf_timer_t limit;
	void (*started)(rig_t *rig, bf_time_us_t now_us);
	bool is_started;
	int result;
	uint64_t requests;
};

/* Opens the rig and writes record.txt in the current folder. */
rig_t *rig_open(const char *name, uint32_t limit_s);
void rig_log(rig_t *rig, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
bf_time_us_t rig_now(const rig_t *rig); /* since it was opened */

/* Writes a configuration of the operators' to the store. */
void rig_put(rig_t *rig, const char *key, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Adds a node and its target; call rig_start when all are there. */
rig_node_t *rig_add_node(rig_t *rig, const char *zone, const char *service);

/* Starts all nodes; calls started once each is ready and its target beats. */
int rig_run(rig_t *rig, void (*started)(rig_t *rig, bf_time_us_t now_us));

/* Ends the run; the processes that were started are ended too. */
void rig_end(rig_t *rig, int result);

/* Starts a node that is_late, and its target. */
void rig_start_late(rig_node_t *node);

void rig_signal(rig_node_t *node, int number);
/* Starts a new process when this one has ended; 0: none. */
void rig_restart_after(rig_node_t *node, uint32_t ms);

/* Sends a heartbeat now. */
void rig_beat(rig_target_t *target, bf_time_us_t now_us);

/* Calls fire in ms. */
void rig_after(rig_t *rig, bf_timer_t *timer, uint32_t ms);

/* ---- a caller's connection, which may carry several requests ---- */

typedef struct rig_answer {
	uint32_t status;
	const char *id; /* Request-Id; "" if there is none */
	const char *body;
	size_t body_bytes;
	bool closes;
} rig_answer_t;

typedef struct rig_conn rig_conn_t;
struct rig_conn {
	bf_tcp_t tcp; /* first member */
	bf_http_reader_t reader;
	rig_t *rig;
	void *user;
	void (*answered)(
	    rig_conn_t *conn, const rig_answer_t *answer, bf_time_us_t now_us);
	void (*ended)(rig_conn_t *conn, bool orderly, bf_time_us_t now_us);
	bf_time_us_t now_us;
};

rig_conn_t *rig_connect(rig_t *rig, const rig_node_t *node);
void rig_conn_send(rig_conn_t *conn, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void rig_conn_close(rig_conn_t *conn);

#endif
