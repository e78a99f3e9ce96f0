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
 * The data path.  A call crosses two nodes: the node where the caller entered
 * (hop 1, the caller listener) chooses a target by the table; the node beside
 * that target (hop 2, the mesh listener) admits the call and forwards it.
 * One proxy plays both roles.
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
#define BF_HEADER_CALL "Basilfork-Call" /* between nodes, echoed */
#define BF_HEADER_TARGET "Basilfork-Target"
#define BF_HEADER_SERVICE "Basilfork-Service"
#define BF_HEADER_ROUTE "Basilfork-Route"
#define BF_HEADER_CLASS "Basilfork-Class"
#define BF_HEADER_VERSION "Basilfork-Version"
#define BF_HEADER_INCARNATION "Basilfork-Incarnation"
#define BF_HEADER_QUEUE "Basilfork-Queue-Ms"
#define BF_HEADER_REQUEST_ID "X-Request-Id"
#define BF_HEADER_TRACEPARENT "traceparent"

/* What a caller is told about its call, in BF_HEADER_OUTCOME. */
typedef enum bf_outcome {
	BF_OUTCOME_ANSWERED,  /* the target's own answer */
	BF_OUTCOME_NOT_RUN,   /* certain: no target ran the call */
	BF_OUTCOME_UNKNOWN,   /* a target may have run the call */
	BF_OUTCOME_CANCELLED, /* the caller went away; told to nobody */
	BF_OUTCOME_COUNT
} bf_outcome_t;

/* Why a call was not answered, in BF_HEADER_REASON. */
typedef enum bf_reason {
	BF_REASON_NONE,
	BF_REASON_BAD_REQUEST,      /* the request breaks HTTP's rules */
	BF_REASON_HEAD_TOO_LARGE,   /* too many or too long headers */
	BF_REASON_BODY_TOO_LARGE,   /* not an upload route */
	BF_REASON_NO_TABLE,         /* no configuration is in force here */
	BF_REASON_NO_ROUTE,         /* no route for host, method and path */
	BF_REASON_NO_TARGET,        /* no usable target for the route */
	BF_REASON_WRONG_TARGET,     /* another target or start of it is here */
	BF_REASON_DRAINING,         /* the node or its target is leaving */
	BF_REASON_OVERLOADED,       /* slots and queue are full */
	BF_REASON_DEADLINE,         /* no time left, or the time ran out */
	BF_REASON_CONNECT,          /* no connection could be opened */
	BF_REASON_CONNECTION_LOST,  /* the connection broke before the answer */
	BF_REASON_STALE_CONNECTION, /* a kept connection turned out dead */
	BF_REASON_CUT_ANSWER,       /* the answer ended early */
	BF_REASON_UNFRAMED_ANSWER,  /* its end cannot be told from a cut */
	BF_REASON_CROSSED_ANSWER,   /* the answer to another request */
	BF_REASON_TARGET_REFUSED,   /* the target itself says "not run" */
	BF_REASON_INTERNAL,         /* memory or a library failed */
	BF_REASON_COUNT
} bf_reason_t;

/* Stable lower-case names, such as "not-run" and "no-target". */
const char *bf_outcome_name(bf_outcome_t outcome);
const char *bf_reason_name(bf_reason_t reason);

/*
 * Told of each finished call that was sent to an endpoint, by the worker that
 * carried it: calls with different worker_index may overlap.  route is valid
 * during the call only.
 */
typedef struct bf_evidence_hook bf_evidence_hook_t;
struct bf_evidence_hook {
	void (*record)(bf_evidence_hook_t *hook, uint32_t worker_index,
	    const bf_table_route_t *route, const bf_endpoint_t *endpoint,
	    bf_result_t result, bf_time_us_t latency_us);
};

typedef struct bf_proxy bf_proxy_t;

typedef struct bf_proxy_options {
	/* "IP:port"; port 0 binds a free one.  NULL: no such listener. */
	const char *caller_listen;
	const char *mesh_listen;
	uint32_t threads; /* workers; 0 counts as 1 */
	const char *instance;
	const char *zone;
	const char *region;
	bf_counters_t *counters; /* outlives the proxy */
	bf_log_t *log;           /* may be NULL */
	bf_spans_t *spans;       /* may be NULL; made for as many writers */
	bf_evidence_hook_t *evidence; /* may be NULL */
	uint32_t head_bytes_max;      /* 0: 16 KiB */
	uint32_t head_count_max;      /* headers a request; 0: 100 */
	uint64_t body_bytes_max;      /* routes not for uploads; 0: 8 MiB */
	uint32_t attempts_max;        /* attempts a call at hop 1; 0: 3 */
	uint32_t retry_share_ppm;     /* retries to calls; 0: 100000, a tenth */
	bf_time_us_t
	    idle_max_us; /* kept connections older are closed; 0: 10 s */
	bool fresh_at_most_once; /* a new connection for each such call */
} bf_proxy_options_t;

/*
 * Binds the listeners; BF_ERR_ARGUMENT for a bad address, BF_ERR_IO when it
 * cannot be bound.  Strings are copied.  Nothing is served before start.
 */
bf_code_t bf_proxy_new(
    const bf_proxy_options_t *options, bf_proxy_t **out, bf_error_t *err);

bf_code_t bf_proxy_start(bf_proxy_t *proxy, bf_error_t *err);

/*
 * Stops the workers and frees all; calls still in flight are cut, so drain
 * first.  The last published table is freed too.
 */
void bf_proxy_free(bf_proxy_t *proxy);

/* The bound ports; 0 when there is no such listener. */
uint16_t bf_proxy_caller_port(const bf_proxy_t *proxy);
uint16_t bf_proxy_mesh_port(const bf_proxy_t *proxy);

/*
 * Puts table in force for all new calls and takes ownership of it.  The
 * former table is freed after a grace period, for which this call waits: not
 * for a worker thread.  One caller at a time.
 */
void bf_proxy_publish(bf_proxy_t *proxy, bf_table_t *table);

/* The target beside this node, as the mesh listener serves it. */
typedef struct bf_local_target {
	const char *address; /* "IP:port" of its HTTP server */
	const char *service;
	const char *version;
	uint64_t incarnation;
	uint32_t slots; /* calls at once; 0 counts as 1 */
	bf_target_state_t state;
} bf_local_target_t;

/*
 * Replaces what the mesh listener knows of the target; NULL: none is there.
 * Copied.  Calls in flight go on.  Any thread but a worker; one at a time.
 */
bf_code_t bf_proxy_set_local_target(
    bf_proxy_t *proxy, const bf_local_target_t *target, bf_error_t *err);

/*
 * Begins a graceful shutdown: each new call is refused as not run and its
 * connection closed, calls in flight are finished.
 */
void bf_proxy_drain(bf_proxy_t *proxy);

/*
 * Takes no new connection from here on: attempts get no answer until the
 * proxy is freed, then a refusal.  Connections that are open, or opened but
 * not yet accepted, go on.  For the end of a drain; any thread.
 */
void bf_proxy_stop_accepting(bf_proxy_t *proxy);

/* Calls in flight, both hops counted. */
uint64_t bf_proxy_in_flight(const bf_proxy_t *proxy);

#endif
