#ifndef BF_PROXY_PROXY_H
#define BF_PROXY_PROXY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "member/record.h"
#include "proxy/span.h"
#include "route/endpoint.h"
#include "route/table.h"

/*
 * The data path.  A call passes two nodes.  The node that receives it from the
 * caller (hop 1, the entry hop, on the caller listener) selects a target by
 * the routing table.  The node beside that target (hop 2, the target hop, on
 * the mesh listener) admits the call and forwards it.  Each proxy serves both
 * hops.
 *
 * Each worker thread owns an epoll instance with its own listeners and its
 * own connections to other nodes and to the target; a call stays on one
 * worker.  The table is read through one RCU pointer.
 */

/* Headers between the caller, the two hops and the target. */
#define BF_HEADER_OUTCOME "Basilfork-Outcome"
#define BF_HEADER_REASON "Basilfork-Reason"
#define BF_HEADER_DEADLINE "Basilfork-Deadline-Ms"
#define BF_HEADER_ATTEMPT "Basilfork-Attempt"
#define BF_HEADER_DEPTH "Basilfork-Depth"
#define BF_HEADER_CALL "Basilfork-Call" /* echoed by the target hop */
#define BF_HEADER_TARGET "Basilfork-Target"
#define BF_HEADER_SERVICE "Basilfork-Service"
#define BF_HEADER_ROUTE "Basilfork-Route"
#define BF_HEADER_CLASS "Basilfork-Class"
#define BF_HEADER_VERSION "Basilfork-Version"
#define BF_HEADER_INCARNATION "Basilfork-Incarnation"
#define BF_HEADER_QUEUE "Basilfork-Queue-Ms"
#define BF_HEADER_REQUEST_ID "X-Request-Id"
#define BF_HEADER_TRACEPARENT "traceparent"

/* The outcome of a call, reported to the caller in BF_HEADER_OUTCOME. */
typedef enum bf_outcome {
	BF_OUTCOME_ANSWERED,  /* the response is the target's */
	BF_OUTCOME_NOT_RUN,   /* it is certain that no target ran the call */
	BF_OUTCOME_UNKNOWN,   /* a target may have run the call */
	BF_OUTCOME_CANCELLED, /* the caller disconnected; never on the wire */
	BF_OUTCOME_COUNT
} bf_outcome_t;

/* Why a call got no response of the target, in BF_HEADER_REASON. */
typedef enum bf_reason {
	BF_REASON_NONE,
	BF_REASON_BAD_REQUEST,      /* malformed or unsupported HTTP */
	BF_REASON_HEAD_TOO_LARGE,   /* too many or too long headers */
	BF_REASON_BODY_TOO_LARGE,   /* not an upload route */
	BF_REASON_NO_TABLE,         /* no routing table is published here */
	BF_REASON_NO_ROUTE,         /* no route for host, method and path */
	BF_REASON_NO_TARGET,        /* no usable target for the route */
	BF_REASON_WRONG_TARGET,     /* another target or incarnation is here */
	BF_REASON_DRAINING,         /* the node or its target shuts down */
	BF_REASON_OVERLOADED,       /* slots and queue are full */
	BF_REASON_DEADLINE,         /* the deadline has or would have passed */
	BF_REASON_CONNECT,          /* no connection could be opened */
	BF_REASON_CONNECTION_LOST,  /* it broke before the response */
	BF_REASON_STALE_CONNECTION, /* a reused connection was dead */
	BF_REASON_CUT_ANSWER,       /* the response was truncated */
	BF_REASON_UNFRAMED_ANSWER,  /* truncation could not be detected */
	BF_REASON_CROSSED_ANSWER,   /* the response to another request */
	BF_REASON_TARGET_REFUSED,   /* the target itself sent an outcome */
	BF_REASON_INTERNAL,         /* out of memory or a library failure */
	BF_REASON_COUNT
} bf_reason_t;

/* Stable lower-case names, such as "not-run" and "no-target". */
const char *bf_outcome_name(bf_outcome_t outcome);
const char *bf_reason_name(bf_reason_t reason);

/*
 * Called by the worker for each finished attempt of a call at an endpoint,
 * unless it was cancelled; concurrently for different values of worker_index.
 * route is valid only while record runs.
 */
typedef struct bf_evidence_hook bf_evidence_hook_t;
struct bf_evidence_hook {
	void (*record)(bf_evidence_hook_t *hook, uint32_t worker_index,
	    const bf_table_route_t *route, const bf_endpoint_t *endpoint,
	    bf_endpoint_result_t result, bf_time_us_t latency_us);
};

/* Memory of the HTTP server for one connection. */
#define BF_SERVER_CONNECTION_BYTES ((size_t)40 * 1024)

typedef struct bf_proxy bf_proxy_t;

typedef struct bf_proxy_options {
	/* "IP:port"; port 0 binds any free port.  NULL: no such listener. */
	const char *caller_listen;
	const char *mesh_listen;
	uint32_t threads; /* workers; 0 counts as 1 */
	const char *instance;
	const char *zone;
	const char *region;
	bf_counters_t *counters;      /* outlives the proxy */
	bf_log_t *log;                /* may be NULL */
	bf_spans_t *spans;            /* may be NULL; one writer per thread */
	bf_evidence_hook_t *evidence; /* may be NULL */
	uint32_t head_bytes_max;      /* of a request; 0: 16 KiB */
	uint32_t head_count_max;      /* headers per request; 0: 100 */
	uint64_t body_bytes_max;      /* except on upload routes; 0: 8 MiB */
	uint32_t attempts_max;        /* per call at hop 1; 0: 3 */
	uint32_t retry_share_ppm;     /* retries per call; 0: 100000, a tenth */
	bf_time_us_t idle_max_us;     /* for a reused connection; 0: 10 s */
	bool fresh_at_most_once; /* a new connection per at-most-once call */
	/* In both directions, see proxy/connections.h; 0: 8192. */
	uint32_t connections_max;
} bf_proxy_options_t;

/*
 * Binds the listeners; BF_ERR_ARGUMENT for a malformed address, BF_ERR_IO when
 * it cannot be bound.  Strings are copied.  No call is served before
 * bf_proxy_start.
 */
bf_code_t bf_proxy_new(
    const bf_proxy_options_t *options, bf_proxy_t **out, bf_error_t *err);

bf_code_t bf_proxy_start(bf_proxy_t *proxy, bf_error_t *err);

/*
 * Stops the workers and frees the proxy with the published table.  Calls still
 * in flight are aborted, so drain first.
 */
void bf_proxy_free(bf_proxy_t *proxy);

/* The bound ports; 0 when there is no such listener. */
uint16_t bf_proxy_caller_port(const bf_proxy_t *proxy);
uint16_t bf_proxy_mesh_port(const bf_proxy_t *proxy);

/*
 * Uses table for all new calls and takes ownership of it.  Releases the
 * previous table after an RCU grace period, for which it waits, so that worker
 * threads must not call it.  One thread at a time.
 */
void bf_proxy_publish(bf_proxy_t *proxy, bf_table_t *table);

/* The target beside this node, as the mesh listener serves it. */
typedef struct bf_local_target {
	const char *address; /* "IP:port" of its HTTP server */
	const char *service;
	const char *version;
	uint64_t incarnation;
	uint32_t slots; /* maximum number of concurrent calls; 0 counts as 1 */
	bf_target_state_t state;
} bf_local_target_t;

/*
 * Replaces the target of the mesh listener by a copy; NULL: there is none.
 * Calls in flight continue.  Any thread but a worker; one thread at a time.
 */
bf_code_t bf_proxy_set_local_target(
    bf_proxy_t *proxy, const bf_local_target_t *target, bf_error_t *err);

/*
 * Starts a graceful shutdown: new calls are refused as not run and their
 * connections closed; calls in flight are completed.
 */
void bf_proxy_drain(bf_proxy_t *proxy);

/*
 * Ignores new connection requests from now on: they get no reply until the
 * proxy is freed, and are refused by the kernel after that.  Connections that
 * are established, accepted or not, continue.  For the end of a drain; any
 * thread.
 */
void bf_proxy_stop_accepting(bf_proxy_t *proxy);

/* Number of calls in flight at both hops. */
uint64_t bf_proxy_in_flight(const bf_proxy_t *proxy);

#endif
