#ifndef BF_TESTS_MESH_H
#define BF_TESTS_MESH_H

#include <stdint.h>

#include <jansson.h>

#include "tests/harness.h"

/*
 * A mesh of real nodes, targets and a store process, for tests.  Every node has
 * a loopback address of its own; all nodes use the same fixed ports.
 */

/* The port of a target, on the address of its node. */
#define MESH_TARGET_PORT 21084

#define MESH_READ_TOKEN "read-token"
#define MESH_APPLY_TOKEN "apply-token"
#define MESH_TARGET_TOKEN "target-token"

typedef struct mesh_node {
	char *instance;       /* "zone-a-0" */
	char *zone;           /* "zone-a" */
	char *caller_address; /* "IP:port" that accepts calls */
	char *admin_address;  /* "IP:port" of the administration API */
	char *target_address;
	char *settings_path;
	harness_process_t *process; /* NULL before the first start */
	harness_process_t *target;  /* NULL before the first start */
} mesh_node_t;

typedef struct mesh {
	harness_t *h;
	harness_process_t *store;
	char *ctl_settings_path;
	mesh_node_t *nodes; /* sorted by availability zone */
	unsigned int zone_count;
	unsigned int nodes_per_zone;
	unsigned int intent_count; /* intent folders written so far */
} mesh_t;

typedef struct mesh_options {
	unsigned int zone_count;
	unsigned int nodes_per_zone;
	const char *store_address; /* NULL: the store's own */
	const char *extra;         /* lines appended to each node's settings */
} mesh_options_t;

/* Starts the store and writes the settings; starts no node. */
mesh_t *mesh_new(harness_t *h, const mesh_options_t *options);
void mesh_free(mesh_t *mesh);

unsigned int mesh_node_count(const mesh_t *mesh);

/* Starts node i and waits until its administration API answers. */
void mesh_start_node(mesh_t *mesh, unsigned int i);

/* Starts all nodes, then waits for each of them. */
void mesh_start_nodes(mesh_t *mesh);

/*
 * Starts the target of node i and waits until the node reports it as ready.
 * options holds up to three more arguments, separated by spaces.
 */
void mesh_start_target(mesh_t *mesh, unsigned int i, const char *service,
    const char *version, const char *options);

/* Writes text as the only file of a new intent folder; returns its path. */
const char *mesh_write_intent(mesh_t *mesh, const char *text);

/*
 * Runs basilctl with the given arguments, terminated by NULL, and returns its
 * exit status.
 */
int mesh_run_ctl(mesh_t *mesh, const char *command, ...)
    __attribute__((sentinel));

/* Applies text as the complete intent; fails unless it is accepted. */
void mesh_apply(mesh_t *mesh, const char *text);

/* Returns the status of a node; NULL when it does not answer with 200. */
json_t *mesh_status(const mesh_node_t *node);

/* Returns the version in force at a node; 0: none, -1: no answer. */
int64_t mesh_version(const mesh_node_t *node);

/* Waits until the version in force at node i is at least version. */
void mesh_wait_node_version(mesh_t *mesh, unsigned int i, int64_t version);

/* Does the same for every running node. */
void mesh_wait_version(mesh_t *mesh, int64_t version);

/* Waits until every running node lists exactly count ready targets. */
void mesh_wait_targets(mesh_t *mesh, unsigned int count);

/*
 * Fails if a node ever put an older version in force after a newer one,
 * according to its log, which spans its restarts.
 */
void mesh_expect_growing_versions(mesh_t *mesh);

/*
 * Returns the ledger of target i: the lines of the running process and of
 * earlier processes that were stopped by SIGTERM.
 */
char *mesh_ledger(mesh_t *mesh, unsigned int i);

/* Sends one call to a service through node i. */
harness_answer_t *mesh_call(mesh_t *mesh, unsigned int i, const char *method,
    const char *service, const char *path, const char *id, const void *body,
    size_t body_bytes);

#endif
