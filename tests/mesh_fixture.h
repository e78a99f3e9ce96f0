#ifndef BF_TESTS_MESH_FIXTURE_H
#define BF_TESTS_MESH_FIXTURE_H

#include <glib.h>

#include "http/client.h"
#include "mesh/internal.h"
#include "tests/soak/proxy.h"

/*
 * Test fixture: several mesh nodes with their targets, an in-memory store and a
 * caller, all on one event loop over loopback connections.
 */

#define FIXTURE_NODES_MAX 10
#define TARGET_SLOTS 4
#define TARGET_RUNS_MAX 256

typedef enum target_behaviour {
	BEHAVIOUR_ANSWER,       /* 200 with the id of the request */
	BEHAVIOUR_FAIL,         /* 500 */
	BEHAVIOUR_REJECT,       /* 503 with the field Not-Run */
	BEHAVIOUR_CLOSE,        /* closes the connection without an answer */
	BEHAVIOUR_WRONG_ID,     /* 200 with the id of another request */
	BEHAVIOUR_TRUNCATE,     /* an answer shorter than its Content-Length */
	BEHAVIOUR_EXTRA_ANSWER, /* a second answer behind the first */
	BEHAVIOUR_SILENT,       /* never answers */
	BEHAVIOUR_UNFRAMED,     /* an answer ended by closing the connection */
	BEHAVIOUR_MISDIRECTED, /* 421, as from another target at this address */
	/*
	 * Rejects the first request of a connection; to the next one it sends
	 * that refusal once more, with its id or without, and runs the request.
	 */
	BEHAVIOUR_REPEAT_REFUSAL,
	BEHAVIOUR_REPEAT_ANONYMOUS_REFUSAL,
	BEHAVIOUR_FAIL_AS_BUSY, /* 503 after a run, without Not-Run */
	BEHAVIOUR_CUT_HEAD,     /* closes within the head of its answer */
	BEHAVIOUR_ENDLESS_HEAD, /* until the connection is closed */
	BEHAVIOUR_ENDLESS_INTERIM,
	BEHAVIOUR_ENDLESS_BODY,
	BEHAVIOUR_ENDLESS_CHUNK_EXTENSION,
	BEHAVIOUR_STATUS_LINE, /* 200 otherwise, behind target.status_line */
	/*
	 * Begins an unframed answer when it has the head of a request, reads
	 * nothing more and resets the connection.
	 */
	BEHAVIOUR_RESET_UPLOAD
} target_behaviour_t;

typedef struct fake_target fake_target_t;

typedef struct target_run {
	char id[BF_REQUEST_ID_BYTES];
	bf_time_us_t received_at_us;
	bf_time_us_t remaining_ms;
	char caller_service[BF_NAME_BYTES];
	char account[BF_NAME_BYTES];
	bool has_authorization;
	size_t body_bytes;
	bool closed_early; /* the connection was closed before the answer */
} target_run_t;

struct fake_target {
	bf_listener_t listener;
	struct mesh_fixture *fixture;
	char id[BF_NAME_BYTES];
	target_behaviour_t behaviour;
	const char *status_line;
	bf_time_us_t delay_us; /* from a request to the behaviour */
	bool unhealthy;        /* its health check fails, as when it leaves */
	uint32_t health_checks;
	uint32_t warm_up_ms; /* stated in heartbeats and health responses */
	bool hides_warm_up;  /* its health responses state nothing of it */
	uint32_t running;
	uint32_t running_max;
	uint64_t endless_bytes; /* sent by the endless behaviours */
	target_run_t runs[TARGET_RUNS_MAX];
	uint32_t run_count;
	uint64_t sequence; /* of its last heartbeat */
	uint64_t start_ms; /* as in bf_heartbeat_t */
};

typedef struct store_key {
	char key[128];
	char data[4096];
	size_t data_bytes;
	uint64_t revision;
	uint64_t lease;
	bool deleted;
} store_key_t;

#define STORE_KEYS_MAX 32
#define STORE_CALLS_MAX 64
#define STORE_WRITES_MAX 4 /* of one call */

typedef struct store_call {
	bf_timer_t timer;
	struct memory_store *store;
	struct store_access *access;
	bf_kv_call_t *call;
	char prefix[128];
	uint64_t after_revision;
	bool is_watch;
	bf_kv_reply_t reply;
	bf_kv_item_t items[STORE_KEYS_MAX];
	char absent_keys[STORE_WRITES_MAX][128];
} store_call_t;

/* What one node calls the store by. */
typedef struct store_access {
	bf_kv_t kv; /* first member */
	struct memory_store *store;
	bool cut; /* all calls of the node fail */
} store_access_t;

typedef struct memory_store {
	struct mesh_fixture *fixture;
	store_key_t keys[STORE_KEYS_MAX];
	uint32_t key_count;
	uint64_t revision;
	uint32_t era;            /* see store/revision.h */
	bool down;               /* all calls fail */
	bool drop_watch_events;  /* watches report no change */
	bool stale_lists_empty;  /* stale lists have no keys */
	bool drop_write_replies; /* writes succeed, but reply UNSETTLED */
	uint32_t list_count;
	uint32_t write_count;
	store_call_t calls[STORE_CALLS_MAX];
} memory_store_t;

typedef struct mesh_fixture {
	bf_loop_t *loop;
	bf_metrics_set_t *metrics;
	memory_store_t store;
	bf_events_t *events; /* of all nodes, or NULL */
	store_access_t accesses[FIXTURE_NODES_MAX];
	bf_mesh_options_t base; /* of all nodes; see fixture_new_with_options */
	bf_mesh_t *nodes[FIXTURE_NODES_MAX];
	bf_mesh_options_t options[FIXTURE_NODES_MAX];
	char names[FIXTURE_NODES_MAX][16];
	bool started[FIXTURE_NODES_MAX]; /* at least once */
	fake_target_t targets[FIXTURE_NODES_MAX];
	bool has_links;
	soak_proxy_t links[FIXTURE_NODES_MAX]; /* from peers to each node */
	uint32_t node_count;
	GPtrArray *connections; /* open connections to the targets */
	bf_timer_t run_timer;
	bool timed_out;
} mesh_fixture_t;

/* A caller's request and its answer. */
typedef struct test_call {
	bf_http_exchange_t exchange;
	bf_http_client_t client;
	mesh_fixture_t *fixture;
	bool ended;
	bf_http_result_t result;
	uint32_t status;
	char body[512];
	char id[BF_REQUEST_ID_BYTES];
	double retry_after_s;  /* less than 0: no such field */
	char authenticate[32]; /* WWW-Authenticate of the answer */
	bf_time_us_t began_at_us;
	bf_time_us_t took_us;
} test_call_t;

/*
 * Starts this number of nodes, numbered from 0; those of odd number are in zone
 * "b", the others in zone "a".
 */
mesh_fixture_t *fixture_new(uint32_t nodes);

/* The same, with a link of that rate between each node and its peers. */
mesh_fixture_t *fixture_new_with_links(uint32_t nodes, uint64_t bytes_per_s);

/*
 * The same without links; withdrawn keys fail closed after revoke_ms.  Events
 * of all nodes and calls are written to events_fd.
 */
mesh_fixture_t *fixture_new_with_keys(
    uint32_t nodes, uint32_t revoke_ms, int events_fd);

/* The same without links, with usage caps in that window. */
mesh_fixture_t *fixture_new_with_caps(uint32_t nodes, uint32_t cap_window_ms);

/*
 * The same as fixture_new, with the zones, the tolerance of cold targets and
 * the time of evacuations that these options have.
 */
mesh_fixture_t *fixture_new_with_options(
    uint32_t nodes, const bf_mesh_options_t *options);

void fixture_free(mesh_fixture_t *fixture);

/* From now on the store answers no call of this node. */
void fixture_cut_from_store(mesh_fixture_t *fixture, uint32_t node);

/* Runs the loop for this time. */
void fixture_run(mesh_fixture_t *fixture, bf_time_us_t for_us);

/* Writes a key to the store, as an operator would. */
void fixture_put(mesh_fixture_t *fixture, const char *key, const char *data);

/* A copy of the store; freed by g_free. */
memory_store_t *fixture_copy_store(const mesh_fixture_t *fixture);

/* Restores the keys and revisions of a copy, in the next era of the store. */
void fixture_restore_store(mesh_fixture_t *fixture, const memory_store_t *copy);

/* Deletes a key, as an operator would. */
void fixture_delete(mesh_fixture_t *fixture, const char *key);

/* The value of a key of the store; NULL: the key is absent. */
const char *fixture_stored(mesh_fixture_t *fixture, const char *key);

/*
 * Writes a configuration and runs the loop for as long as nodes need to put it
 * into force.  Its first line is the version, each other one a route: "prefix
 * kind service timeout_ms objective_ms attempts priority", and behind that
 * "public" if callers need no key, or the only region that is allowed; or an
 * account: "account name key...", where a word "rate/burst" is its usage cap.
 * A line "cold service calls_per_s" before the routes of a service limits its
 * cold targets.
 */
void fixture_configure(mesh_fixture_t *fixture, const char *text);

/* Sends a heartbeat of a node's target to its node. */
bf_code_t fixture_heartbeat(
    mesh_fixture_t *fixture, uint32_t node, const char *version, bool draining);

/* Starts a node; one that ran under this number must have been freed. */
void fixture_start_node(mesh_fixture_t *fixture, uint32_t node);

/* Frees a node and starts it again under the same name. */
void fixture_restart_node(mesh_fixture_t *fixture, uint32_t node);

/* Sends a request to a node; call must live until the answer. */
void fixture_send(mesh_fixture_t *fixture, test_call_t *call, uint32_t node,
    const char *method, const char *path, const char *id, uint32_t timeout_ms,
    size_t body_bytes);

/* The same with further header fields, each ended by CR and LF. */
void fixture_send_with_fields(mesh_fixture_t *fixture, test_call_t *call,
    uint32_t node, const char *method, const char *path, const char *id,
    uint32_t timeout_ms, size_t body_bytes, const char *fields);

/* Runs the loop until all calls have ended; false after limit_us. */
bool fixture_await(mesh_fixture_t *fixture, test_call_t *calls, size_t count,
    bf_time_us_t limit_us);

/* Number of runs of a request, at all targets. */
uint32_t fixture_count_runs(const mesh_fixture_t *fixture, const char *id);

#endif
