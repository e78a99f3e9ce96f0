#ifndef BF_MESH_MESH_H
#define BF_MESH_MESH_H

#include <stdbool.h>
#include <stdint.h>

#include "http/server.h"
#include "member/record.h"
#include "mesh/dialect.h"
#include "net/loop.h"
#include "observe/events.h"
#include "observe/metrics.h"
#include "store/async.h"

/*
 * A node of the mesh for one target: takes callers' requests, gives each to
 * the node beside a target of its service, runs the calls of its own target,
 * follows the operators' configuration and moves, and finds the other nodes.
 * All on one loop; docs/design/platform.md tells the whole.
 */

typedef struct bf_mesh bf_mesh_t;

typedef struct bf_mesh_options {
	const char *instance; /* unique name of this instance */
	const char *zone;
	const char *service;        /* of the target that belongs here */
	struct sockaddr_in callers; /* listens for callers here */
	struct sockaddr_in peers;   /* listens for other nodes here */
	const char *advertise;      /* told to nodes; NULL: that address */
	struct sockaddr_in target;  /* where the target listens */
	uint32_t heartbeat_ms;      /* between heartbeats of the target */
	uint32_t stop_ms;           /* from the signal to a forced end */
	uint32_t retry_share_ppm;   /* repeats to calls, of the whole mesh */
	uint32_t retry_burst;       /* repeats beyond that, of the whole mesh */
	uint32_t retry_window_ms;   /* in which repeats are counted */
	uint32_t connections_max;   /* of callers */
	uint32_t link_mbps;         /* of the instance; 0: not known */
	bool first_start;           /* the whole mesh starts the first time */
} bf_mesh_options_t;

/* What the target beside this node says of itself. */
typedef struct bf_heartbeat {
	char id[BF_NAME_BYTES];
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	char address[BF_ADDRESS_BYTES];
	uint32_t slots;
	bool draining;
	uint32_t warm_up_ms; /* how much longer it is slow after its start */
	uint64_t sequence;   /* grows with each heartbeat of one lifetime */
	uint64_t born_ms;    /* start of its lifetime; 0: not said */
} bf_heartbeat_t;

/* options and its texts, dialect, kv, events outlive the mesh. */
bf_mesh_t *bf_mesh_new(const bf_mesh_options_t *options,
    const bf_dialect_t *dialect, bf_loop_t *loop, bf_kv_t *kv,
    bf_events_t *events, bf_metrics_set_t *metrics, bf_error_t *err);

/* Opens the listeners and begins to look for configuration and peers. */
bf_code_t bf_mesh_start(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err);
void bf_mesh_free(bf_mesh_t *mesh);

/* Whether this node should get callers' work. */
bool bf_mesh_ready(const bf_mesh_t *mesh);

/*
 * Takes a heartbeat.  BF_OK also for one that is older than what is known,
 * which changes nothing.  BF_ERR_REFERENCE: a service that is not known, or
 * another address than that of the target beside this node.
 */
bf_code_t bf_mesh_heartbeat(bf_mesh_t *mesh, const bf_heartbeat_t *heartbeat,
    bf_time_us_t now_us, bf_error_t *err);

/* The target of that id takes no new call from now on. */
void bf_mesh_target_leaves(
    bf_mesh_t *mesh, const char *id, bf_time_us_t now_us);

/* Begins a graceful shutdown; stopped is called at its end. */
void bf_mesh_stop(bf_mesh_t *mesh, void (*stopped)(void *ctx), void *ctx,
    bf_time_us_t now_us);

/* The service of calls that begin here, after a change of the settings. */
void bf_mesh_set_service(bf_mesh_t *mesh, const char *service);

/* Gauges of the present state into the metrics, before they are printed. */
void bf_mesh_gauges(bf_mesh_t *mesh, bf_time_us_t now_us);

#endif
