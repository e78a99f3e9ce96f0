#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

/*
 * A small deployment on loopback for the cases of this review: the platform's
 * store, upstreams and clients as threads of one process, and basilmeshd as
 * separate processes.  Times are milliseconds since lab_begin().
 */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_TEXT 128
#define LAB_HEAD_BYTES 8192

/* ---- record and time ---- */

/* Opens the record; exits with 2 if that fails. */
void lab_begin(const char *record_path);
int64_t lab_now_ms(void);
int64_t lab_wall_ms(void);
void lab_sleep_ms(int64_t ms);
void lab_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes that were started; the exit code of the case. */
int lab_end(int code);
/* Exits with 2: the case could not run. */
void lab_cannot(const char *why);
bool lab_trouble(void);

/* A port that was free a moment ago. */
uint16_t lab_port(void);

/* ---- HTTP ---- */

typedef struct lab_message {
	char head[LAB_HEAD_BYTES]; /* start line and fields */
	char *body;
	size_t body_bytes;
	int status; /* of a response */
	bool has_length;
} lab_message_t;

/* Connects to a loopback port; -1 on failure. */
int lab_connect(uint16_t port, int timeout_ms);
bool lab_send(int fd, const void *data, size_t bytes);
/* Reads a whole message; false if it ends early.  buffer carries over. */
typedef struct lab_reader {
	int fd;
	char *data;
	size_t count, capacity;
} lab_reader_t;
bool lab_read(lab_reader_t *reader, lab_message_t *message, bool response);
void lab_reader_free(lab_reader_t *reader);
void lab_message_free(lab_message_t *message);
/* Copies the value of a field; false if there is none. */
bool lab_field(const char *head, const char *name, char *out, size_t bytes);
int lab_listen(uint16_t port);

/* ---- the store ---- */

typedef struct lab_store lab_store_t;

lab_store_t *lab_store_new(void);
uint16_t lab_store_port(const lab_store_t *store);
/* Writes as the operator or another writer does; returns the revision. */
uint64_t lab_store_put(
    lab_store_t *store, const char *key, const void *value, size_t bytes);
/* Copies a value as text; false if the key does not exist. */
bool lab_store_get(
    lab_store_t *store, const char *key, char *out, size_t bytes);
/* Calls of a kind ("kv-range", ...) so far. */
uint64_t lab_store_calls(lab_store_t *store, const char *kind);
/* Whether the store answers nothing and closes its connections. */
void lab_store_set_down(lab_store_t *store, bool down);

/* ---- the configuration ---- */

/* A route for all paths of a host. */
typedef struct lab_route {
	const char *host, *name, *type, *service;
	int aim_ms, timeout_ms;
} lab_route_t;

/* Writes a configuration; more: further members, as JSON; NULL: none. */
void lab_configure(lab_store_t *store, int version, const lab_route_t *routes,
    size_t count, const char *more);

/* ---- nodes ---- */

typedef struct lab_node {
	char name[LAB_TEXT];
	const char *zone;
	const char *service; /* of the upstream beside it */
	const char *extra;   /* further settings; NULL: none */
	bool first_start;
	uint16_t callers, peers, ready, heartbeats, app;
	pid_t pid; /* 0: not running */
} lab_node_t;

void lab_node_init(
    lab_node_t *node, const char *name, const char *zone, const char *service);
/* zones: all zones of the deployment, as in the settings. */
void lab_node_start(lab_node_t *node, lab_store_t *store, const char *zones);
void lab_node_signal(lab_node_t *node, int number);
/* Waits for the end of the process; returns the status of waitpid(2). */
int lab_node_wait(lab_node_t *node);
bool lab_node_is_ready(const lab_node_t *node);
/* Waits until all are ready; exits with 2 if they are not in time. */
void lab_await_ready(lab_node_t *nodes, size_t count, int64_t within_ms);

/* ---- upstreams ---- */

typedef struct lab_upstream {
	char id[LAB_TEXT];
	const char *service;
	const char *version;
	const char *zone;
	uint16_t port;
	uint16_t heartbeat_port; /* of its node */
	int slots;
	int64_t heartbeat_ms;
	int64_t born_ms;
	volatile int running;
	volatile bool draining;
	volatile bool pings;  /* heartbeats are sent */
	volatile bool silent; /* accepts, but never answers */
	volatile bool ended;  /* its process has exited */
	volatile int64_t drain_acked_ms;
	uint64_t sequence;
	/*
	 * Decides on a request that runs: returns the milliseconds of work and
	 * may set the status.  NULL: 20 ms, 200.
	 */
	int64_t (*work)(struct lab_upstream *upstream, const char *head,
	    const char *id, int *status);
	/* Length of the answer's body; NULL: a few bytes. */
	size_t (*body_bytes)(const char *head);
	int listener;
} lab_upstream_t;

/* Starts an upstream beside the node. */
void lab_upstream_start(
    lab_upstream_t *upstream, const lab_node_t *node, const char *id);

/* It deregisters and exits: what it runs is cut off. */
void lab_upstream_end(lab_upstream_t *upstream);

/* How often a request ran, on all upstreams. */
int lab_runs(const char *request_id);
int64_t lab_run_began_ms(const char *request_id);

/* ---- clients ---- */

/* A new id, unique in this case. */
void lab_new_id(char out[LAB_TEXT]);
/*
 * Sends one request on a new connection and waits for its answer.  Returns the
 * status, 0 without a whole answer.  headers: complete lines; NULL: none.
 */
int lab_call(const lab_node_t *node, const char *method, const char *host,
    const char *path, const char *id, int timeout_ms, const char *headers,
    const char *body);

#endif
