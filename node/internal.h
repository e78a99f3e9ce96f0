#ifndef BF_NODE_INTERNAL_H
#define BF_NODE_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "admin/admin.h"
#include "base/counter.h"
#include "control/control.h"
#include "node/moves.h"
#include "node/node.h"
#include "proxy/proxy.h"
#include "rollout/evidence.h"
#include "route/table.h"

/* Shared by the files of node/. */

/* The last announcement of the target beside the node. */
typedef struct bf_target_announcement {
	bf_target_state_t state;
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	char address[BF_ADDRESS_BYTES];
	uint32_t slots;
	uint64_t incarnation;
	bf_time_us_t last_received_us; /* monotonic */
} bf_target_announcement_t;

/* Passes the proxy's results to the evidence shards of its workers. */
typedef struct bf_node_evidence_hook {
	bf_evidence_hook_t base;      /* first member; given to the proxy */
	bf_evidence_shard_t **shards; /* one per worker */
	uint32_t shard_count;
} bf_node_evidence_hook_t;

/*
 * Counters of violations of the invariants that are checked at run time; see
 * docs/INVARIANTS.md.
 */
typedef struct bf_node_invariants {
	bf_counter_id_t older_version; /* a snapshot was not newer */
	bf_counter_id_t bad_table;     /* a table failed its checks */
} bf_node_invariants_t;

struct bf_node {
	const bf_node_settings_t *settings;
	bf_log_t *log;
	uint64_t incarnation;
	bf_counters_t *counters;
	bf_counter_shard_t *counter_shard; /* written by the holder of lock */
	bf_node_invariants_t invariants;
	bf_spans_t *spans;
	bf_evidence_t *evidence;
	bf_node_evidence_hook_t evidence_hook;
	bf_proxy_t *proxy;
	bf_store_t *store;
	bf_control_t *control;
	bf_admin_t *admin;

	/* Protects the fields below: control thread and API threads. */
	pthread_mutex_t lock;
	bf_moves_t *moves;
	bf_endpoint_set_t *endpoints;
	const bf_snapshot_t *snapshot; /* owned by the control plane */
	uint64_t table_version;        /* of the published table */
	bool table_outdated;
	bf_target_announcement_t announcement;

	/* Accessed without the lock. */
	_Atomic bf_time_us_t drain_started_us; /* 0: not draining */
	bf_time_us_t accept_stopped_us; /* used by bf_node_drained only */
};

/*
 * Applies an announcement of the target; BF_ERR_STALE when it is of an earlier
 * start of the target than the last one.  The caller must not hold the lock.
 */
bf_code_t bf_node_announce_target(bf_node_t *node,
    const bf_target_announcement_t *announcement, bf_error_t *err);

/* The handlers of the administration API; their ctx is the node. */
extern const bf_admin_handler_t bf_node_handlers[];
extern const size_t bf_node_handler_count;

/*
 * The same handlers (and the same number of them) for settings without a target
 * token: anyone may announce the target.
 */
extern const bf_admin_handler_t bf_node_handlers_without_token[];

#endif
