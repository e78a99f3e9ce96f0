#ifndef BF_TESTS_MESH_BED_H
#define BF_TESTS_MESH_BED_H

#include <glib.h>

#include "http/client.h"
#include "mesh/internal.h"

/*
 * Several nodes of a mesh with their targets, an in-memory store and a caller,
 * all on one loop over loopback connections.
 */

#define BED_NODES_MAX 6
#define BED_SLOTS 4
#define BED_RUNS_MAX 256

typedef enum bed_behaviour {
	BED_ANSWER,   /* 200 with the request's id after delay_us */
	BED_FAIL,     /* 500 */
	BED_NOT_RUN,  /* 503 that says so */
	BED_CLOSE,    /* closes the connection without an answer */
	BED_CROSS,    /* 200 with the id of another request */
	BED_CUT,      /* an answer shorter than it says */
	BED_EXTRA,    /* a second answer behind the first */
	BED_SILENT,   /* never answers */
	BED_UNFRAMED, /* an answer that ends with its connection */
	BED_OTHER     /* 421: another target is here */
} bed_behaviour_t;

typedef struct bed_target bed_target_t;

typedef struct bed_run {
	char id[BF_REQUEST_ID_BYTES];
	bf_time_us_t at_us;
	bf_time_us_t left_ms;
	char caller_service[BF_NAME_BYTES];
	size_t body_bytes;
	bool ended_early; /* the connection was closed before the answer */
} bed_run_t;

struct bed_target {
	bf_listener_t listener;
	struct mesh_bed *bed;
	char id[BF_NAME_BYTES];
	bed_behaviour_t behaviour;
	bf_time_us_t delay_us;
	uint32_t running;
	uint32_t running_most;
	bed_run_t runs[BED_RUNS_MAX];
	uint32_t run_count;
	uint64_t sequence;
	uint64_t born_ms;
};

/* The store: keys in memory, on a clock of revisions. */
typedef struct bed_key {
	char key[128];
	char data[4096];
	size_t data_bytes;
	uint64_t revision;
	uint64_t lease;
} bed_key_t;

#define BED_KEYS_MAX 32
#define BED_CALLS_MAX 64

typedef struct bed_kv_call {
	bf_timer_t timer;
	struct bed_kv *kv;
	bf_kv_call_t *call;
	char prefix[128];
	uint64_t after;
	bool watch;
	bf_kv_reply_t reply;
	bf_kv_item_t items[BED_KEYS_MAX];
} bed_kv_call_t;

typedef struct bed_kv {
	bf_kv_t kv; /* first member */
	struct mesh_bed *bed;
	bed_key_t keys[BED_KEYS_MAX];
	uint32_t key_count;
	uint64_t revision;
	bool down;   /* refuses all calls */
	bool deaf;   /* watches hear nothing */
	bool behind; /* stale lists are those of an empty store */
	bool lost;   /* writes are done and not answered */
	uint32_t lists;
	uint32_t writes;
	bed_kv_call_t calls[BED_CALLS_MAX];
} bed_kv_t;

typedef struct mesh_bed {
	bf_loop_t *loop;
	bf_metrics_set_t *metrics;
	bed_kv_t store;
	bf_mesh_t *nodes[BED_NODES_MAX];
	bf_mesh_options_t options[BED_NODES_MAX];
	char names[BED_NODES_MAX][16];
	bed_target_t targets[BED_NODES_MAX];
	uint32_t node_count;
	GPtrArray *conns; /* open ones of the targets */
	bf_timer_t end;
	bool timed_out;
} mesh_bed_t;

/* What a caller got. */
typedef struct bed_call {
	bf_http_exchange_t exchange;
	bf_http_client_t client;
	mesh_bed_t *bed;
	bool ended;
	bf_http_end_t end;
	uint32_t status;
	char body[512];
	char id[BF_REQUEST_ID_BYTES];
	double retry_after_s; /* less than 0: not said */
	bf_time_us_t began_us;
	bf_time_us_t took_us;
} bed_call_t;

/* Nodes are numbered from 0; all of zone "a" but odd ones of zone "b". */
mesh_bed_t *bed_new(uint32_t nodes);
void bed_free(mesh_bed_t *bed);

/* Runs the loop for so long. */
void bed_run(mesh_bed_t *bed, bf_time_us_t for_us);

/* Writes a key as an operator would. */
void bed_put(mesh_bed_t *bed, const char *key, const char *data);

/*
 * A configuration: version, then a route a line "prefix kind service timeout
 * objective attempts priority".
 */
void bed_configure(mesh_bed_t *bed, const char *text);

/* A heartbeat of a node's target. */
bf_code_t bed_heartbeat(
    mesh_bed_t *bed, uint32_t node, const char *version, bool draining);

/* Starts a node's process, whose former one is freed. */
void bed_open(mesh_bed_t *bed, uint32_t node);

/* Replaces a node's process by a new one of the same name. */
void bed_restart(mesh_bed_t *bed, uint32_t node);

/* Sends a request to a node; call stays the caller's. */
void bed_send(mesh_bed_t *bed, bed_call_t *call, uint32_t node,
    const char *method, const char *path, const char *id, uint32_t left_ms,
    size_t body_bytes);

/* Runs until all calls ended, for at most limit_us; false: not all did. */
bool bed_await(
    mesh_bed_t *bed, bed_call_t *calls, size_t count, bf_time_us_t limit_us);

/* Runs of a request at all targets. */
uint32_t bed_runs_of(const mesh_bed_t *bed, const char *id);

#endif
