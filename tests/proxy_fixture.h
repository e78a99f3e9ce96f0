#ifndef BF_TESTS_PROXY_FIXTURE_H
#define BF_TESTS_PROXY_FIXTURE_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "base/counter.h"
#include "proxy/proxy.h"

/*
 * A test mesh in one process: an entry node, up to two target nodes, each with
 * a fake target, and a caller.  The path of a request selects how the fake
 * target responds.
 */

#define MESH_TARGETS 2
#define ENDLESS_BYTES_MAX ((uint64_t)256 << 20)

typedef struct fake_target {
	int listen_fd;
	uint16_t port;
	GThread *thread;
	_Atomic gint stop;
	_Atomic gint runs;        /* requests received completely */
	_Atomic gint connections; /* accepted */
	_Atomic gint cancelled;   /* closed by the node during a call */
	_Atomic gint in_flight;
	_Atomic gint in_flight_max;
	_Atomic uint64_t endless_bytes; /* sent by the endless responses */
	/* Connections accepted in an earlier epoch never respond. */
	_Atomic gint epoch;

	/* Headers of the last request. */
	gint64 deadline_ms;
	gint64 depth;
	char traceparent[64];

	pthread_mutex_t lock;
	GHashTable *run_ids; /* request id -> number of runs */
	GPtrArray *threads;
} fake_target_t;

typedef struct mesh {
	bf_counters_t *counters;
	bf_spans_t *spans;
	bf_proxy_t *entry;
	bf_proxy_t *target_nodes[MESH_TARGETS];
	fake_target_t *targets[MESH_TARGETS];
	bf_endpoint_set_t *endpoints;
	bf_record_t records[MESH_TARGETS];
	uint32_t target_count;
	_Atomic gint evidence[BF_ENDPOINT_RESULT_CANCELLED + 1];
	struct {
		bf_evidence_hook_t base;
		gint *counts;
	} hook;
	uint64_t version;
	uint32_t queue_ms;
} mesh_t;

typedef struct mesh_options {
	uint32_t targets;
	uint32_t threads;
	uint32_t slots;
	uint32_t queue_ms;
	bool fresh_at_most_once;
	bf_time_us_t idle_us;
	uint32_t retry_share_ppm;
} mesh_options_t;

void mesh_open(mesh_t *mesh, const mesh_options_t *options);
void mesh_close(mesh_t *mesh);

/* Compiles the table again from mesh->records and publishes it. */
void mesh_publish(mesh_t *mesh);
/* The same with new endpoints, which have no history of calls. */
void mesh_publish_without_history(mesh_t *mesh);

/* Sets the local target of target node i. */
void mesh_set_target(mesh_t *mesh, uint32_t i, bf_target_state_t state,
    uint64_t incarnation, uint32_t slots);

/* Waits until no call is in flight, then reads the counter. */
uint64_t mesh_counter(mesh_t *mesh, const char *name);

/* A response as the caller received it; absent headers are "". */
typedef struct response {
	bool complete; /* according to its HTTP framing */
	long status;
	char outcome[32];
	char reason[32];
	char request_id[160];
	char version[32];
	char traceparent[64];
	bool closes_connection;
	GString *head; /* status line and headers */
	GString *body;
	uint64_t body_bytes;
} response_t;

typedef struct request {
	const char *method; /* NULL: GET */
	const char *path;
	const char *body;      /* NULL: none */
	uint64_t stream_bytes; /* length of a generated body, instead of body */
	bool chunked;          /* send the generated body without a length */
	uint32_t pause_us;     /* before each block of a generated body */
	const char *headers[4];
	long timeout_ms; /* after which the caller disconnects; 0: 60 s */
} request_t;

void mesh_call(mesh_t *mesh, const request_t *request, response_t *response);
void response_clear(response_t *response);

/* Concurrent calls to one path, counted by outcome. */
typedef struct call_batch {
	mesh_t *mesh;
	const char *path;
	_Atomic gint answered;
	_Atomic gint refused; /* with outcome not-run */
} call_batch_t;

/* Makes one call in each of `callers` threads and waits for all of them. */
void mesh_call_concurrently(call_batch_t *batch, int callers);
/* Thread function: makes one call. */
gpointer mesh_batch_call(gpointer batch);

/*
 * Sends raw bytes to a port, shuts down the sending side, and returns what is
 * received until the connection closes or is idle for wait_ms.
 */
GString *raw_exchange(
    uint16_t port, const char *bytes, size_t length, uint32_t wait_ms);

/* Waits until the condition holds; fails the test after 20 s. */
#define wait_until(condition)                                               \
	do {                                                                \
		gint64 limit_ =                                             \
		    g_get_monotonic_time() + (gint64)20 * G_USEC_PER_SEC;   \
		while (!(condition)) {                                      \
			g_assert_cmpint(g_get_monotonic_time(), <, limit_); \
			g_usleep(2000);                                     \
		}                                                           \
	} while (0)

#endif
