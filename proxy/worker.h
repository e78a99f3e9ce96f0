#ifndef BF_PROXY_WORKER_H
#define BF_PROXY_WORKER_H

#include <pthread.h>
#include <stdatomic.h>
#include <sys/queue.h>

#include <gsl/gsl_rng.h>
#include <microhttpd.h>

#include "proxy/client.h"
#include "proxy/connections.h"
#include "proxy/metrics.h"
#include "proxy/proxy.h"
#include "proxy/served_target.h"
#include "route/budget.h"

/*
 * A worker: one thread, one epoll instance, one HTTP server per hop and one
 * client.  Only the worker's thread accesses the worker's calls.
 */

/* Maximum number of easy handles that a worker keeps for reuse. */
#define BF_IDLE_HANDLES_MAX 64

typedef struct bf_call bf_call_t;
typedef struct bf_worker bf_worker_t;

TAILQ_HEAD(bf_call_list, bf_call);

/* The HTTP server of the caller listener (hop 1) or mesh listener (hop 2). */
typedef struct bf_server {
	bf_event_source_t source;
	bf_worker_t *worker;
	const struct bf_hop *hop;
	int listen_fd; /* -1: none */
	struct MHD_Daemon *daemon;
	bf_conns_t conns;
	bool due; /* MHD_run must be called */
} bf_server_t;

struct bf_worker {
	bf_proxy_t *proxy;
	uint32_t index;
	pthread_t thread;
	bool started;
	int epoll_fd;
	int wake_fd; /* eventfd, see bf_worker_wake */
	bf_event_source_t wake_source;
	bf_server_t servers[BF_HOPS];
	bf_client_t client;
	CURL *idle_handles[BF_IDLE_HANDLES_MAX];
	size_t idle_count;
	bf_counter_shard_t *shard;
	const bf_metrics_t *metrics;
	gsl_rng *rng;
	bf_budget_t budget;
	struct bf_call_list calls;     /* all of the worker */
	struct bf_call_list scheduled; /* to be advanced */
	struct bf_call_list unwatched; /* see bf_call_watch; oldest first */
	struct bf_call_list waiting;   /* for a slot, oldest first */
	bool crowded; /* connections were closed for others lately */
	bf_time_us_t crowded_us;
	uint64_t closed_for_others;
	_Atomic uint64_t in_flight;
	_Atomic uint32_t waiting_count;
	_Atomic bool stop;
};

struct bf_proxy {
	bf_proxy_options_t options;
	char *instance;
	char *zone;
	char *region;
	uint16_t ports[BF_HOPS];
	bf_metrics_t metrics;
	bf_worker_t *workers;
	uint32_t worker_count;
	/*
	 * Both are read in RCU sections; a replaced one is released after a
	 * grace period.
	 */
	_Atomic(bf_table_t *) table;
	_Atomic(bf_served_target_t *) target;
	_Atomic bool draining;
};

/* See bf_proxy_stop_accepting; any thread. */
void bf_worker_stop_accepting(bf_worker_t *worker);

/* listen_fds: for each hop a listening socket of this worker only, or -1. */
bf_code_t bf_worker_open(bf_worker_t *worker, bf_proxy_t *proxy, uint32_t index,
    const int listen_fds[BF_HOPS], bf_error_t *err);
bf_code_t bf_worker_start(bf_worker_t *worker, bf_error_t *err);

/* Cancels the calls in flight, stops the thread and frees all resources. */
void bf_worker_close(bf_worker_t *worker);

/* Makes the worker retry its waiting calls; any thread. */
void bf_worker_wake(bf_worker_t *worker);

/* Wakes each worker that has calls waiting for a slot. */
void bf_worker_wake_waiting(bf_proxy_t *proxy);

/* Return a reference that the caller releases; NULL when none is set. */
bf_table_t *bf_worker_hold_table(bf_worker_t *worker);
bf_served_target_t *bf_worker_hold_target(bf_worker_t *worker);

/* A random number that is not zero. */
uint64_t bf_worker_random(bf_worker_t *worker);

void bf_worker_count(bf_worker_t *worker, bf_metric_t metric, uint64_t n);

#endif
