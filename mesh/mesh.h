#ifndef BF_MESH_MESH_H
#define BF_MESH_MESH_H

#include <stdbool.h>
#include <stdint.h>

#include "http/server.h"
#include "member/record.h"
#include "mesh/dialect.h"
#include "mesh/presence.h"
#include "net/loop.h"
#include "observe/events.h"
#include "observe/metrics.h"
#include "store/async.h"

/*
 * A mesh node, which runs beside one target.  It accepts callers' requests and
 * forwards each to the node beside a target of the right service, runs the
 * calls of its own target, follows the operators' configuration and moves, and
 * discovers the other nodes.  Everything runs on one event loop;
 * docs/design/platform.md describes the design.
 */

typedef struct bf_mesh bf_mesh_t;

typedef struct bf_mesh_options {
	const char *instance; /* unique name of this instance */
	const char *zone;
	const char *service;              /* of the target on this instance */
	struct sockaddr_in caller_listen; /* address to accept callers at */
	struct sockaddr_in peer_listen;   /* address to accept other nodes at */
	/* Address that other nodes dial; NULL: peer_listen. */
	const char *advertise_address;
	struct sockaddr_in target_address;
	uint32_t heartbeat_ms;    /* interval of the target's heartbeats */
	uint32_t stop_timeout_ms; /* from the signal to a forced end */
	/* Retries allowed in the whole mesh, as a share of its calls. */
	uint32_t retry_share_ppm;
	uint32_t retry_burst;     /* retries allowed beyond that share */
	uint32_t retry_window_ms; /* time window in which both are counted */
	uint32_t connections_max; /* of callers */
	uint32_t link_mbps;       /* bandwidth of the instance; 0: not known */
	bool first_start;         /* the whole mesh starts for the first time */
	/* The options below are those of basilmeshd.toml(5). */
	const char *const *zones; /* all zones of the mesh, as "ZONE=REGION" */
	size_t zone_count;
	uint32_t memory_mb;       /* of the instance; 0: not known */
	uint32_t descriptors_max; /* of the process; 0: as the system limits */
	bool fail_closed;
	uint32_t revoke_ms;
	uint32_t cap_window_ms; /* 0: usage caps are not enforced */
	uint32_t cap_over_ppm;
	uint32_t cap_slack;
	uint32_t cold_over_ppm;
	uint32_t cold_slack;
	uint32_t evacuate_ms;
	bool learn_capacity;
	bool plan_zones; /* zone_cost_ppm is set */
	uint32_t zone_cost_ppm;
	/* Both only where the target reports the speed of its machine. */
	bool reported_speed_only;
} bf_mesh_options_t;

/* options and its texts, dialect, kv, events outlive the mesh. */
bf_mesh_t *bf_mesh_new(const bf_mesh_options_t *options,
    const bf_dialect_t *dialect, bf_loop_t *loop, bf_kv_t *kv,
    bf_events_t *events, bf_metrics_set_t *metrics, bf_error_t *err);

/* Logs and counts when a listener of the process cannot accept connections. */
bf_listener_observer_t *bf_mesh_listener_observer(bf_mesh_t *mesh);

/* Opens the listeners and starts to look for configuration and peers. */
bf_code_t bf_mesh_start(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err);
void bf_mesh_free(bf_mesh_t *mesh);

/* Whether callers should be directed to this node. */
bool bf_mesh_ready(const bf_mesh_t *mesh);

/*
 * Handles a heartbeat of the target.  Returns BF_OK also for an outdated one,
 * which is ignored.  Returns BF_ERR_REFERENCE for an undefined service, or if
 * the address is not that of the target beside this node.
 */
bf_code_t bf_mesh_heartbeat(bf_mesh_t *mesh, const bf_heartbeat_t *heartbeat,
    bf_time_us_t now_us, bf_error_t *err);

/*
 * Handles the announcement of the target of this id that it is leaving: from
 * now on it is given no new call.  start_ms: the start of its process as in
 * bf_heartbeat_t, 0 if unknown; the announcement of a former lifetime of the
 * same id is ignored.
 */
void bf_mesh_target_departed(
    bf_mesh_t *mesh, const char *id, uint64_t start_ms, bf_time_us_t now_us);

/* Starts a graceful shutdown; stopped is called at its end. */
void bf_mesh_stop(bf_mesh_t *mesh, void (*stopped)(void *ctx), void *ctx,
    bf_time_us_t now_us);

/* Changes the service of the calls that enter here, after a settings reload. */
void bf_mesh_set_service(bf_mesh_t *mesh, const char *service);

/* Sets the gauges to the current state, before the metrics are printed. */
void bf_mesh_update_gauges(bf_mesh_t *mesh, bf_time_us_t now_us);

#endif
