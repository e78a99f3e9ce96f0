#ifndef BF_MESH_INTERNAL_H
#define BF_MESH_INTERNAL_H

#include <apr_hash.h>
#include <jansson.h>

#include "base/digest.h"
#include "fairness/refusals.h"
#include "capacity/estimator.h"
#include "capacity/zones.h"
#include "http/client.h"
#include "memory/connections.h"
#include "mesh/balance.h"
#include "mesh/body_pull.h"
#include "mesh/call_queue.h"
#include "mesh/caps.h"
#include "mesh/crowd.h"
#include "mesh/link.h"
#include "mesh/mesh.h"
#include "mesh/move_history.h"
#include "mesh/move_record.h"
#include "mesh/retry_budget.h"
#include "mesh/store_pace.h"
#include "mesh/throttle.h"
#include "store/kv_watcher.h"

/*
 * Types and functions shared by the source files of a mesh node.
 *
 * A call enters the mesh at one node (its entry) and is executed by a target
 * beside the same or another node.  The entry offers the call to the node
 * beside a target, which queues it, runs it at its target or refuses it.  A run
 * is one execution of a call at a target.
 *
 * Each pair of nodes has two connections.  A node sends its calls over the one
 * that it dialled itself; on the one that the peer dialled it receives the
 * peer's calls and reports its own state.
 */

#define BF_REQUEST_ID_BYTES 96
#define BF_OFFERS_MAX 6 /* offers of one call, at most */
#define BF_MOVES_MAX 64
#define BF_SERVICES_MAX 64

typedef struct bf_peer bf_peer_t;
typedef struct bf_entry_call bf_entry_call_t;
typedef struct bf_target_call bf_target_call_t;
typedef struct bf_evacuation bf_evacuation_t;

/* Load of a target, reported by its node in each reply and periodically. */
typedef struct bf_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;       /* 0 unless the target is ready */
	uint32_t mean_us;     /* moving average of a run */
	uint32_t failing_ppm; /* share of recent runs that failed */
} bf_load_t;

/*
 * Version 1 of the frames: BODY_GET and BODY, and PROBE from the node beside a
 * target to an entry.
 */
#define BF_PROTOCOL_1 1
/*
 * Version 2: a node whose connection is replaced by another one of the same
 * process keeps the calls that came by the former one, and replies by the new.
 */
#define BF_PROTOCOL_2 2

/* State of a node and its target, as reported to the other nodes. */
typedef struct bf_node_state {
	char instance[BF_NAME_BYTES];
	uint64_t incarnation;       /* wall clock at the start of the process */
	char target[BF_NAME_BYTES]; /* id; empty if there is none */
	char service[BF_SERVICE_BYTES];
	char version[BF_SERVICE_BYTES];
	bf_target_state_t target_state;
	bool stopping; /* the node takes no more calls */
	bool store_up; /* the store served its last call */
	bool relay;    /* it watches the operators' keys in the store */
	uint32_t link_mbps;
	uint64_t config_version; /* in force; 0: none */
	bf_load_t load;
	/* Which frames it understands; 0: those of before BF_PROTOCOL_1. */
	uint32_t protocol;
} bf_node_state_t;

/* Another node, or this node itself (self). */
struct bf_peer {
	bf_peer_t *next;
	bf_mesh_t *mesh;
	char instance[BF_NAME_BYTES];
	char zone[BF_NAME_BYTES];
	char address_text[BF_ADDRESS_BYTES];
	struct sockaddr_in address;
	uint64_t incarnation;
	bool self;
	bool in_own_zone; /* in the availability zone of this node */

	/* The connection dialled by this node, which carries its calls. */
	bf_mesh_link_t *link;
	bool connected; /* always true for this node itself */
	bool silent;    /* nothing was received for a while */
	bf_path_delay_t path_delay;
	uint32_t outstanding_offers;
	/*
	 * The former connection was given up after a silence, and the peer may
	 * still answer the calls sent over it: by link, or by that connection
	 * if it recovers.
	 */
	bool holds_calls;
	uint64_t held_incarnation;   /* of the process that has them */
	bf_mesh_link_t *silent_link; /* the former connection; NULL: closed */
	bf_time_us_t probe_sent_us;  /* first unanswered probe; 0: none */
	uint32_t dial_failures;      /* consecutive */
	uint64_t dial_count;         /* attempts to connect */
	bf_timer_t redial_timer;

	/* The connection dialled by the peer, which carries its calls. */
	struct bf_inbound *inbound;

	bool listed; /* in the last list of nodes read from the store */
	uint32_t listed_link_mbps; /* as its record states; 0: not known */
	/* Since when it is neither listed nor connected; 0: it is either. */
	bf_time_us_t missing_since_us;
	bool state_known;         /* state is what it reported on link */
	bool version_unconfirmed; /* see bf_movement_record_version */
	bf_node_state_t state;
	uint32_t offers_since_report; /* sent to it since its last load */
	/* Since when it reports a newer configuration; 0: it does not. */
	bf_time_us_t config_newer_since_us;
	uint64_t config_sent_version; /* last sent to it since link opened */

	/* Results of its target's runs, and those before the current move. */
	bf_run_tallies_t runs;
	bf_run_tallies_t runs_base;
	char runs_base_version[BF_SERVICE_BYTES]; /* the move's new version */
};

/* A connection dialled by another node. */
typedef struct bf_inbound {
	bf_mesh_link_t link; /* first member */
	bf_mesh_t *mesh;
	bf_peer_t *peer; /* NULL before its hello */
	/* As of its hello. */
	uint64_t incarnation; /* of the peer */
	uint64_t
	    dial_number; /* of the attempt that replaces another; 0: none */
	struct bf_inbound *next;
	struct bf_inbound **previous;
	bf_target_call_t *calls; /* received on this connection */
	/* Since when the configuration is to be sent; 0: it is not. */
	bf_time_us_t config_wanted_since_us;
	bf_digest_t config_wanted_base; /* the one that the peer has */
	/* When the newest offer, cancellation or probe was sent; this clock. */
	bf_time_us_t heard_us;
	bf_time_us_t probed_us; /* last probe sent to the peer */
} bf_inbound_t;

typedef enum bf_call_result {
	BF_CALL_RESULT_ANSWERED, /* by the target, completely */
	BF_CALL_RESULT_NOT_RUN,  /* certainly not executed by any target */
	BF_CALL_RESULT_UNKNOWN   /* no answer, but a target may have run it */
} bf_call_result_t;

/* Why a call was refused or lost; see bf_cause_name for the names. */
typedef enum bf_cause {
	BF_CAUSE_NONE,
	BF_CAUSE_BUSY,       /* it would not be done in time at this target */
	BF_CAUSE_DRAINING,   /* the target or its node is shutting down */
	BF_CAUSE_NO_TARGET,  /* the node has no target, or one of another id */
	BF_CAUSE_EXPIRED,    /* the deadline passed before it was sent */
	BF_CAUSE_CONNECT,    /* cannot connect to the target */
	BF_CAUSE_REJECTED,   /* the target reported that it did not run it */
	BF_CAUSE_BROKEN,     /* the connection closed before the answer */
	BF_CAUSE_BAD_ANSWER, /* malformed, or the answer to another call */
	BF_CAUSE_TIMEOUT,    /* no answer before the deadline */
	BF_CAUSE_PEER_LOST,  /* the connection between the nodes failed */
	BF_CAUSE_NO_CONFIG,  /* this node has no configuration yet */
	BF_CAUSE_NO_ROUTE,
	BF_CAUSE_NO_CANDIDATE, /* no target of the service can run it */
	BF_CAUSE_MEMORY,
	BF_CAUSE_THROTTLED,  /* a service that it would call is full */
	BF_CAUSE_NO_KEY,     /* it has no key of an account */
	BF_CAUSE_NO_PARENT,  /* it has none, and its parent is not known */
	BF_CAUSE_STALE_KEYS, /* keys may have been withdrawn meanwhile */
	BF_CAUSE_OVER_CAP,   /* its account has used up its cap */
	BF_CAUSE_COUNT
} bf_cause_t;

const char *bf_cause_name(bf_cause_t cause);

/* Reply of the node beside a target to the offer of a call. */
typedef struct bf_reply {
	bf_call_result_t result;
	bf_cause_t cause;
	uint32_t status;    /* HTTP status of the answer */
	const char *fields; /* header fields, as complete lines */
	const void *body;
	size_t body_bytes;
	bf_time_us_t waited_us; /* in the queue for a slot */
	bf_time_us_t spent_us;  /* at the target */
	/* Expected time until a slot is free; set on refusals only. */
	bf_time_us_t expected_wait_us;
	/* The run failed and a call that it made was refused as busy. */
	bool dependency_busy;
	/* Transit time of its frame beyond the recent minimum; not sent. */
	bf_time_us_t queueing_delay_us;
} bf_reply_t;

/* A call as its entry offers it to the node beside a target. */
typedef struct bf_offer {
	uint64_t id; /* unique among the offers of its entry */
	const char *request_id;
	const char *target_id; /* refused if another target is there */
	const char *route;
	bool inner;          /* made by a run of the target beside the entry */
	bool repeatable;     /* may run more than once, so it may be retried */
	bool refuse_if_late; /* if it is expected to miss its objective */
	bool is_head;        /* the request is a HEAD */
	bool is_retry;       /* it, or the run that made it, was sent before */
	uint32_t priority;   /* 0 is the most urgent */
	bf_time_us_t remaining_us;           /* until its deadline */
	bf_time_us_t objective_remaining_us; /* until its objective */
	/*
	 * Minimum transit time of recent frames from the receiver, by the
	 * clocks of both nodes.
	 */
	bf_time_us_t reverse_transit_us;
	bool has_reverse_transit;
	bf_time_us_t age_us;    /* since it was sent; not sent */
	const bf_bytes_t *head; /* request line and fields, no empty line */
	const void *body;
	size_t body_bytes;
	bf_http_message_t *message; /* with the body; NULL: from a peer */
	bool has_body;
	bool body_follows;   /* in parts, when the receiver requests them */
	uint64_t account_id; /* of the caller's account; 0: none */
} bf_offer_t;

/* Moving average of the time that runs of a route take at the own target. */
typedef struct bf_route_latency {
	uint32_t route; /* hash of its name */
	double mean_us;
	uint32_t run_count; /* successful runs measured */
} bf_route_latency_t;

#define BF_ROUTE_LATENCIES_MAX 64

/* An offer that was cancelled because its caller left. */
typedef struct bf_cancelled_offer {
	uint64_t offer_id; /* 0: none */
	bf_time_us_t cancelled_at_us;
	char request_id[BF_REQUEST_ID_BYTES];
} bf_cancelled_offer_t;

#define BF_CANCELLED_OFFERS_MAX 128

/* The target beside this node. */
typedef struct bf_own_target {
	bf_presence_t presence;
	bf_time_us_t warm_at_us; /* end of its warm-up: runs are timed then */

	bf_http_exchange_t health_exchange;
	bf_time_us_t health_sent_us;
	bf_timer_t health_timer; /* ends the check, or starts the next one */

	bf_http_client_t client;
	bf_call_queue_t queue;
	bf_capacity_t capacity; /* used with learn_capacity */
	bool reports_speed;     /* of its machine, with its load */
	bf_body_pulls_t pulls;  /* bodies of calls that are not queued yet */
	bf_route_latency_t latencies[BF_ROUTE_LATENCIES_MAX];
	uint32_t latency_count;
	double failure_share; /* of recent runs, at failure_share_at_us */
	bf_time_us_t failure_share_at_us;
	bf_run_tallies_t runs;
	bf_timer_t expiry_timer;       /* checks the deadlines in the queue */
	bf_target_call_t *local_calls; /* those that entered at this node */
} bf_own_target_t;

/* What the last record written to the store says of the own target. */
typedef struct bf_recorded_target {
	bf_heartbeat_t heartbeat;
	bool draining;
	bf_departure_t departure;
} bf_recorded_target_t;

/* Targets of a version that was rolled back are gone some seconds later. */
#define BF_WITHDRAWN_MAX 4

/* A move of a service to a new version, as known to this node. */
typedef struct bf_tracked_move {
	bf_move_t move;
	bool ordered; /* its order was read from the store or a peer sent it */

	bf_move_record_t record;
	bf_move_history_t history; /* orders that were seen */
	/* Earlier moves' versions that were rolled back, the newest first. */
	char withdrawn[BF_WITHDRAWN_MAX][BF_SERVICE_BYTES];
	bf_time_us_t announced_at_us; /* last sent to all peers */

	/*
	 * Used by the leader: the sums of all runs at the start of the current
	 * time span (0) and of the one before it (1).
	 */
	bf_run_tallies_t span_start_new[2];
	bf_run_tallies_t span_start_old[2];
	bf_time_us_t span_start_us;
	bf_time_us_t evaluated_at_us;
	bf_kv_call_t write_call;
	bf_mesh_t *mesh;
} bf_tracked_move_t;

/* Throttle of a route whose runs fail because a dependency is overloaded. */
typedef struct bf_route_throttle {
	uint32_t route; /* hash of its name */
	bf_throttle_t throttle;
} bf_route_throttle_t;

#define BF_ROUTE_THROTTLES_MAX 64

/* This node's part of the retry budget for calls to a service. */
typedef struct bf_service_budget {
	char service[BF_SERVICE_BYTES];
	bf_retry_budget_t budget;
} bf_service_budget_t;

/* A version of a service that a target was reported to run. */
typedef struct bf_tracked_version {
	char service[BF_SERVICE_BYTES];
	char version[BF_SERVICE_BYTES];
	bf_time_us_t first_seen_us;
	bool confirmed; /* see bf_movement_record_version */
} bf_tracked_version_t;

#define BF_VERSIONS_MAX 256

/* What a call to the store is for. */
typedef enum bf_store_purpose {
	BF_STORE_LEASE,    /* obtain a lease */
	BF_STORE_RECORD,   /* write the own record */
	BF_STORE_NODES,    /* list the records of all nodes */
	BF_STORE_RENEWAL,  /* renew the lease */
	BF_STORE_OPERATOR, /* list or watch the operators' keys */
	BF_STORE_ORDERS,   /* list the orders of moves */
	BF_STORE_OUTCOMES, /* list the outcomes of moves */
	BF_STORE_OUTCOME,  /* write the outcome of a move */
	BF_STORE_PURPOSES
} bf_store_purpose_t;

/* The plans by service, with the zones that their indices stand for. */
typedef struct bf_service_zone_plan {
	char service[BF_SERVICE_BYTES];
	bf_zone_plan_t plan;
	double logged_share;
} bf_service_zone_plan_t;

/* Mean size of the answers of a route. */
typedef struct bf_route_answers {
	uint32_t route; /* hash of its name */
	double mean_bytes;
} bf_route_answers_t;

typedef struct bf_zone_plans {
	char zones[BF_ZONES_MAX][BF_NAME_BYTES];
	size_t zone_count;
	bf_service_zone_plan_t plans[BF_SERVICES_MAX];
	uint32_t count;
	bf_route_answers_t answers[BF_ROUTE_THROTTLES_MAX];
	uint32_t answer_count;
} bf_zone_plans_t;

/* What the choice of a zone needs to know of a call. */
typedef struct bf_zone_call {
	const char *service;
	const char *route;
	bf_time_us_t objective_us; /* from its arrival */
	bf_time_us_t remaining_us; /* of the objective */
	bool is_large; /* its body; routes with large answers are known */
	bool refused;  /* by a target */
} bf_zone_call_t;

typedef struct bf_mesh_metrics {
	bf_metric_family_t *calls;    /* by outcome */
	bf_metric_family_t *capacity; /* learnt; gauge, with learn_capacity */
	bf_metric_family_t *causes;   /* of calls without an answer, by cause */
	bf_metric_family_t *latency;  /* by service */
	bf_metric_family_t *offers;   /* by result */
	bf_metric_family_t *runs;     /* at the own target, by result */
	bf_metric_family_t *waited;   /* time in the queue for a slot */
	bf_metric_family_t *spent;    /* time at the own target */
	bf_metric_family_t *retries;  /* by result */
	bf_metric_family_t *store_calls;    /* by result */
	bf_metric_family_t *store_purposes; /* by purpose */
	bf_metric_family_t *peers;          /* by state */
	bf_metric_family_t *config;         /* version and age */
	bf_metric_family_t *queue;       /* calls at the own target, by state */
	bf_metric_family_t *connections; /* by side */
	bf_metric_family_t *log_lines;   /* by result */
	bf_metric_family_t *left;        /* time since a caller left */
	bf_metric_family_t *frame_delay; /* by kind of frame */
	bf_metric_family_t *freshness;   /* age and refusal */
	bf_metric_family_t *freshness_asks;  /* by result */
	bf_metric_family_t *iteration;       /* of the event loop */
	bf_metric_family_t *memory;          /* bytes held, by side */
	bf_metric_family_t *refused_bodies;  /* by reason */
	bf_metric_family_t *accept_failures; /* by listener */
	bf_metric_family_t *unsent;          /* bytes queued for other nodes */
	bf_metric_family_t *zone_share;      /* by service, with plan_zones */
} bf_mesh_metrics_t;

/* How often nodes report to each other, and when silence is a failure. */
typedef struct bf_report_timing {
	/* Longest time between reports, so that silence has a meaning. */
	bf_time_us_t interval_us;
	/* A silent node is offered calls only if there is no other. */
	bf_time_us_t silent_after_us;
	/* The connection is replaced: a new one may work where it does not. */
	bf_time_us_t lost_after_us;
} bf_report_timing_t;

struct bf_mesh {
	bf_mesh_options_t options;
	char service[BF_SERVICE_BYTES];
	const bf_dialect_t *dialect;
	bf_loop_t *loop;
	bf_kv_t *kv;
	bf_events_t *events;
	bf_mesh_metrics_t metrics;
	apr_pool_t *pool;
	uint64_t random;            /* generator state, see bf_random_next */
	bf_zone_plans_t zone_plans; /* used with plan_zones */
	uint64_t incarnation;
	bf_wire_writer_t writer; /* reused for every frame sent */

	bf_machine_t machine;
	bf_memory_budget_t memory; /* what others make the process hold */
	bf_http_server_t caller_server;
	bf_crowd_t crowd; /* at the callers' listener */
	bf_timer_t crowd_timer;
	bf_listener_t peer_listener;
	bf_listener_observer_t listener_observer; /* of all listeners */

	/* Configuration. */
	bf_time_us_t start_us;
	bool relay; /* this node watches the operators' keys */
	bf_time_us_t relay_check_after_us; /* earliest next check */
	bf_time_us_t relay_chosen_us; /* last time it was chosen as a relay */
	bf_kv_call_t outcomes_call;   /* reads the outcomes of moves */
	bf_kv_watcher_t outcome_keys; /* watched by the leader of a move */
	bool watching_outcomes;
	bf_timer_t outcomes_timer;
	uint32_t outcomes_failures;
	bf_kv_watcher_t operator_keys; /* watched while this node is a relay */
	bf_kv_watcher_t move_orders;   /* listed on demand, by every node */
	bf_routing_t *routing;         /* in force; NULL: none received yet */
	bf_bytes_t config;             /* routing as encoded, sent to peers */
	bf_digest_t config_digest;
	bf_bytes_t config_before; /* the one that was in force before */
	bf_digest_t config_before_digest;
	uint64_t config_before_version;
	bf_bytes_t config_delta; /* from config_before; empty: not computed */
	bf_time_us_t config_applied_us;
	bf_time_us_t config_request_after_us; /* earliest next request */
	bf_time_us_t config_send_after_us;    /* earliest next long one */
	bf_timer_t config_send_timer;
	struct bf_mesh_freshness *freshness; /* see mesh/freshness.c */

	/* Nodes. */
	bf_peer_t *peers; /* includes this node */
	bf_peer_t *self;
	uint32_t peer_count;
	/* At the last tick. */
	uint32_t own_zone_count;
	bf_report_timing_t own_zone_timing;
	bf_report_timing_t other_zones_timing;
	bf_inbound_t *inbound;
	bf_node_state_t sent_own_zone; /* last sent to nodes of the own zone */
	bf_time_us_t sent_own_zone_us;
	bf_node_state_t sent_other_zones; /* last sent to all other nodes */
	bf_time_us_t sent_other_zones_us;
	bf_timer_t tick_timer;

	/* This node's record in the store. */
	bf_kv_call_t member_call;
	bf_timer_t member_timer;
	uint32_t member_step; /* bf_registration_step_t */
	uint64_t lease;
	uint64_t member_revision; /* of the record; 0: it does not exist */
	bf_recorded_target_t recorded;
	uint32_t member_failures;
	uint32_t stale_lists; /* consecutive, see bf_store_pace_t */
	uint64_t store_call_counts[BF_STORE_PURPOSES];
	bool member_dirty;         /* the record has to be written again */
	bool member_lost;          /* the store lost it, with its lease */
	bool had_record;           /* a former process left it in the store */
	uint32_t store_era;        /* see store/revision.h */
	bf_time_us_t listed_at_us; /* 0: not yet with this lease */
	/* When the first list of nodes was complete, though maybe old. */
	bf_time_us_t records_known_us;
	char list_after[BF_NAME_BYTES * 2]; /* last key of the page read */
	bool store_up;                      /* the store served the last call */
	bool store_up_known;                /* a call to the store has ended */

	/* Calls. */
	apr_hash_t *offered_calls; /* that entered here, by id of the offer */
	uint64_t last_offer_id;
	/* A ring of the last offers cancelled, for late replies to them. */
	bf_cancelled_offer_t cancelled_offers[BF_CANCELLED_OFFERS_MAX];
	uint32_t cancelled_offers_next;
	uint32_t entry_call_count; /* calls that entered here and are open */
	bf_service_budget_t budgets[BF_SERVICES_MAX];
	uint32_t budget_count;
	bf_route_throttle_t throttles[BF_ROUTE_THROTTLES_MAX];
	uint32_t throttle_count;
	bf_refusals_t refusals; /* with accounts: of calls that entered here */

	bf_caps_t *caps; /* NULL: usage caps are not enforced */

	bf_own_target_t target;
	bf_evacuation_t *evacuation; /* mesh/evacuate.c */
	bf_tracked_move_t moves[BF_MOVES_MAX];
	uint32_t move_count;
	bf_tracked_version_t versions[BF_VERSIONS_MAX];
	uint32_t version_count;
	/* Start of the last complete list of orders; 0: none was read. */
	bf_time_us_t orders_listed_us;
	/* When to list the orders for an unconfirmed version; 0: not. */
	bf_time_us_t orders_due_us;
	bf_time_us_t send_runs_after_us; /* to the leader of a move */

	/* Shutdown. */
	bool stopping;
	bool stop_announced; /* the state sent to peers is stopping */
	bf_time_us_t stop_began_us;
	bf_timer_t stop_timer;
	void (*stopped)(void *ctx);
	void *stopped_ctx;
};

/* mesh/mesh.c: latest time at which a stopping node still serves calls. */
bf_time_us_t bf_mesh_stop_deadline_us(const bf_mesh_t *mesh);

/* mesh/roster.c: the connections with the other nodes. */
bf_code_t bf_roster_open(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err);
void bf_roster_close(bf_mesh_t *mesh);
bf_peer_t *bf_roster_find(bf_mesh_t *mesh, const char *instance);
/* Adds or updates a node named by the store or a hello, and dials it. */
bf_peer_t *bf_roster_add(bf_mesh_t *mesh, const char *instance,
    const char *zone, const char *address, uint64_t incarnation,
    bf_time_us_t now_us);
/* Whether another node responds and is not about to stop. */
static inline bool
bf_roster_is_live(const bf_peer_t *peer)
{
	return peer->connected && peer->state_known && !peer->silent &&
	    !peer->state.stopping;
}

void bf_roster_tick(bf_mesh_t *mesh, bf_time_us_t now_us);

/* mesh/state.c: the states that nodes report to each other. */

/* The timing in a mesh with that many nodes in the own or in other zones. */
bf_report_timing_t bf_report_timing(bool own_zone, uint32_t peer_count);

/* The current state of this node. */
bf_node_state_t bf_mesh_node_state(bf_mesh_t *mesh, bf_time_us_t now_us);
void bf_node_state_read(bf_wire_reader_t *reader, bf_node_state_t *state);
/* Whether two states are equal, apart from the load. */
bool bf_node_state_same(const bf_node_state_t *a, const bf_node_state_t *b);
/* The same, apart from the configuration and access to the store. */
bool bf_node_state_same_for_calls(
    const bf_node_state_t *a, const bf_node_state_t *b);
/*
 * Whether to report the load to the own zone, which has peer_count nodes, since
 * it was last reported as sent, since_us ago.
 */
bool bf_load_report_due(const bf_load_t *sent, const bf_load_t *load,
    uint32_t peer_count, bf_time_us_t since_us);
void bf_node_state_send(bf_mesh_t *mesh, bf_mesh_link_t *link,
    const bf_node_state_t *state, bf_time_us_t now_us);
void bf_load_send(bf_mesh_t *mesh, bf_mesh_link_t *link, const bf_load_t *load,
    bf_time_us_t now_us);
/*
 * Reports this node's state to the nodes that a change concerns, and to all
 * others whose report interval is over.
 */
void bf_mesh_report_changes(bf_mesh_t *mesh, bf_time_us_t now_us);

/* mesh/registry.c: this node's record in the store, and the list of nodes. */
void bf_registry_start(bf_mesh_t *mesh, bf_time_us_t now_us);
void bf_registry_stop(bf_mesh_t *mesh);
/* What decides about this node's calls to the store. */
bf_store_pace_t bf_registry_pace(const bf_mesh_t *mesh);
/* Writes the record again if what it says of the target has changed. */
void bf_registry_update(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Registers anew, as the store was restored from an old copy. */
void bf_registry_store_restored(bf_mesh_t *mesh, bf_time_us_t now_us);
/*
 * Counts and logs the end of a call to the store, and updates store_up and
 * store_era.
 */
void bf_mesh_record_store_call(bf_mesh_t *mesh, bf_store_purpose_t purpose,
    bf_code_t code, bf_time_us_t now_us);

/* mesh/config_source.c: the configuration and the orders of moves. */
void bf_config_source_start(bf_mesh_t *mesh, bf_time_us_t now_us);
void bf_config_source_stop(bf_mesh_t *mesh);
/* Starts or stops being a relay as other nodes join and leave. */
void bf_config_source_tick(bf_mesh_t *mesh, bf_time_us_t now_us);
/* The first complete list of nodes was read, maybe an old one. */
void bf_config_source_nodes_listed(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Lists all orders of moves again. */
void bf_config_source_refresh_orders(bf_mesh_t *mesh, bf_time_us_t now_us);
/*
 * Decodes a configuration and puts it in force if its version is greater than
 * the current one.  from: "store" or the instance that sent it, for the log.
 * Returns whether it can be read; if not, version is its own or 0.
 */
bool bf_config_source_apply(bf_mesh_t *mesh, const void *data, size_t bytes,
    const char *from, uint64_t *version, bf_time_us_t now_us);
/* Requests the peer's configuration. */
void bf_config_source_request(bf_peer_t *peer, bf_time_us_t now_us);
/*
 * Answers a request for the configuration, after those that came before if
 * these take the link some time.
 */
void bf_config_source_serve(
    bf_inbound_t *inbound, bf_wire_reader_t *reader, bf_time_us_t now_us);
/* Receives a peer's configuration, complete or as a delta. */
void bf_config_source_receive(bf_peer_t *peer, const bf_frame_t *frame,
    bf_wire_reader_t *reader, bf_time_us_t now_us);

/* mesh/freshness.c: how old this node's knowledge of the configuration is. */
bf_code_t bf_mesh_freshness_open(bf_mesh_t *mesh);
void bf_mesh_freshness_close(bf_mesh_t *mesh);
/* Longest wait of a watch of the operators' keys. */
uint32_t bf_mesh_freshness_watch_wait_ms(const bf_mesh_t *mesh);
/* A list or a watch of the operators' keys begins. */
void bf_mesh_freshness_read_begins(bf_mesh_t *mesh);
/* It is complete, and what it says was applied. */
void bf_mesh_freshness_read_done(bf_mesh_t *mesh, bool is_watch,
    const bf_kv_reply_t *reply, bf_time_us_t now_us);
/*
 * The store holds a configuration, which this node can read or not.  version:
 * of one that it cannot read; 0: unknown.
 */
void bf_mesh_freshness_stored_config(
    bf_mesh_t *mesh, bool is_readable, uint64_t version);
/* A configuration was put in force. */
void bf_mesh_freshness_config_applied(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Answers a peer that asks for the present configuration. */
void bf_mesh_freshness_answer(
    bf_inbound_t *inbound, bf_wire_reader_t *reader, bf_time_us_t now_us);
/* Receives a peer's answer. */
void bf_mesh_freshness_receive(
    bf_peer_t *peer, bf_wire_reader_t *reader, bf_time_us_t now_us);
void bf_mesh_freshness_update_gauges(const bf_mesh_t *mesh);
/*
 * Whether the knowledge of the configuration in force is at most nine tenths of
 * revoke_ms old.  It is tracked only if the configuration has accounts and the
 * options ask for it; false otherwise.  boot_us: the boot-time clock.
 */
bool bf_mesh_knows_present_config(const bf_mesh_t *mesh, bf_time_us_t boot_us);
/* Whether keys are refused, as they may have been withdrawn. */
bool bf_mesh_keys_are_stale(const bf_mesh_t *mesh, bf_time_us_t boot_us);
/* The same now. */
bool bf_mesh_refuses_keys(const bf_mesh_t *mesh);

/* mesh/movement.c: the moves of services to new versions. */

/* Handles an operator's order of a move, read from the store. */
void bf_movement_apply_order(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us);
/* Handles the outcome of a move, read from the store. */
void bf_movement_apply_outcome(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us);
/*
 * Records that a target runs this version.  Returns whether the version is
 * unconfirmed: its targets then get calls only if no other target can take
 * them, since a move that sets its share of calls may be unknown to this node
 * although its targets are ready.  A version is confirmed if it is the first
 * one of its service, or once a list of all orders was read that began after
 * the version was first seen.
 */
bool bf_movement_record_version(bf_mesh_t *mesh, const char *service,
    const char *version, bf_time_us_t now_us);
/* Confirms the versions seen before a complete list of orders was begun. */
void bf_movement_confirm_versions(
    bf_mesh_t *mesh, bf_time_us_t began_us, bf_time_us_t now_us);
/* Writes the states of moves again, as the store may have lost them. */
void bf_movement_store_restored(bf_mesh_t *mesh);
/* Cancels pending writes of outcomes. */
void bf_movement_stop(bf_mesh_t *mesh);
void bf_movement_tick(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Sends the state of every move over the link. */
void bf_movement_send_all(
    bf_mesh_t *mesh, bf_mesh_link_t *link, bf_time_us_t now_us);
/* Sends the moves, and the versions that are confirmed with them. */
void bf_movement_send_versions(
    bf_mesh_t *mesh, bf_mesh_link_t *link, bf_time_us_t now_us);
/* Receives the state of a move from a peer. */
void bf_movement_receive(bf_mesh_t *mesh, bf_peer_t *peer,
    bf_wire_reader_t *reader, bf_time_us_t now_us);
/*
 * Receives a version that a relay has confirmed.  The relay has sent every
 * order that it knows over the same link before.
 */
void bf_movement_receive_confirmed(
    bf_mesh_t *mesh, bf_wire_reader_t *reader, bf_time_us_t now_us);
void bf_movement_write_runs(bf_mesh_t *mesh, bf_wire_writer_t *writer);
void bf_movement_read_runs(bf_peer_t *peer, bf_wire_reader_t *reader);
/*
 * Chooses the version that a call to the service goes to.  Returns 0: any
 * version; 1: only *version; -1: any but *version.
 */
int bf_movement_choose_version(
    bf_mesh_t *mesh, const char *service, const char **version);
/* Whether earlier moves of the service, or to that version, were rolled back.
 */
bool bf_movement_has_withdrawn(bf_mesh_t *mesh, const char *service);
bool bf_movement_is_withdrawn(
    bf_mesh_t *mesh, const char *service, const char *version);

/* mesh/entry.c: calls that entered the mesh at this node. */
bf_code_t bf_entry_open(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err);
void bf_entry_handle_reply(bf_mesh_t *mesh, uint64_t offer_id,
    const bf_reply_t *reply, bf_time_us_t now_us);
/* What became of a peer that holds calls. */
typedef enum bf_peer_loss {
	BF_PEER_SILENT,   /* nothing was received from it for a while */
	BF_PEER_REPLACED, /* it answers again, by a new connection */
	BF_PEER_GONE      /* its process, or the only connection to it */
} bf_peer_loss_t;

/* Deals with the calls offered to the peer before. */
void bf_entry_peer_lost(
    bf_peer_t *peer, bf_peer_loss_t loss, bf_time_us_t now_us);
/* Sends a part of the body of a call that was offered to the peer. */
void bf_entry_send_body(bf_peer_t *peer, uint64_t offer_id, size_t offset,
    size_t bytes, bf_time_us_t now_us);
/* Defined in mesh/roster.c, beside the function that reads the frame. */
void bf_wire_write_offer(bf_wire_writer_t *writer, const bf_offer_t *offer);

/* mesh/target.c: calls at the target beside this node. */
void bf_target_open(bf_mesh_t *mesh);
/* Whether a heartbeat can be of this node's target; as bf_mesh_heartbeat. */
bf_code_t bf_target_check_heartbeat(
    const bf_mesh_t *mesh, const bf_heartbeat_t *heartbeat, bf_error_t *err);
/* Applies what the presence has taken over from a heartbeat or a record. */
void bf_target_apply_heartbeat(
    bf_mesh_t *mesh, bool new_lifetime, bf_time_us_t now_us);
/* Logs and reports what is known of the target now. */
void bf_target_announce(
    bf_mesh_t *mesh, const char *change, bf_time_us_t now_us);
/* Gives the target calls from now on. */
void bf_target_make_ready(
    bf_mesh_t *mesh, const char *change, bf_time_us_t now_us);
/* Takes the target out of use if the record of a former process says so. */
void bf_target_restore_departure(
    bf_mesh_t *mesh, const bf_departure_t *departure, bf_time_us_t now_us);
/* from: the connection that the offer came by; NULL: it entered here. */
void bf_target_offer(bf_mesh_t *mesh, bf_inbound_t *from,
    const bf_offer_t *offer, bf_time_us_t now_us);
/* left_us: when the caller left, as far as it is known. */
void bf_target_cancel(bf_mesh_t *mesh, bf_inbound_t *from, uint64_t offer_id,
    bf_time_us_t left_us, bf_time_us_t now_us);
/* Starts the calls that were held until their entry was heard of. */
void bf_target_heard(bf_inbound_t *from, bf_time_us_t now_us);
/* Receives a part of the body of an offered call. */
void bf_target_receive_body(bf_mesh_t *mesh, bf_inbound_t *from,
    const bf_frame_t *frame, bf_time_us_t now_us);
/*
 * Moves the calls that came by one connection of a process to another one of
 * the same process.  Calls whose body is incomplete stay: parts may be lost.
 */
void bf_target_adopt_calls(bf_inbound_t *from, bf_inbound_t *to);
/* Cancels all calls that came by a connection, which has closed. */
void bf_target_cancel_from(bf_inbound_t *from, bf_time_us_t now_us);
void bf_target_tick(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Whether the learnt capacity of the own target is used. */
bool bf_target_is_learnt(const bf_mesh_t *mesh);
bf_load_t bf_target_load(bf_mesh_t *mesh, bf_time_us_t now_us);
/* The run at the own target that made the call of this id, or NULL. */
/* Learns the size of the answers of a route; with plan_zones. */
void bf_zones_count_answer(bf_mesh_t *mesh, const char *route, size_t bytes);

/* Index of the candidate to send the call to; count is at least 1. */
size_t bf_zones_choose(bf_mesh_t *mesh, const bf_zone_call_t *call,
    const bf_candidate_t *candidates, bf_peer_t *const *peers, size_t count,
    bf_time_us_t now_us);

void bf_target_update_gauges(bf_mesh_t *mesh, bf_time_us_t now_us);

bf_target_call_t *bf_target_find_parent(const bf_mesh_t *mesh, const char *id);
uint32_t bf_target_call_priority(const bf_target_call_t *call);
bool bf_target_call_is_retry(const bf_target_call_t *call);
/* The caller's account; 0: none. */
uint64_t bf_target_call_account_id(const bf_target_call_t *call);
/* Marks the run that made the call of this id, which was refused as busy. */
void bf_target_mark_dependency_busy(bf_mesh_t *mesh, const char *id);

/*
 * The run that made the call of this id waits for its end, or has got it.
 * Nothing happens without learn_capacity or if the run has ended.
 */
void bf_target_parent_blocked(
    bf_mesh_t *mesh, const char *id, bool blocked, bf_time_us_t now_us);
/* Calls that run or wait at the own target. */
uint32_t bf_target_call_count(const bf_mesh_t *mesh);

/*
 * Refuses the calls that wait for a slot, for their body or for their entry,
 * as not run.
 */
void bf_target_refuse_waiting(
    bf_mesh_t *mesh, bf_cause_t cause, bf_time_us_t now_us);
/* Starts waiting calls, as many as there are slots and the gate lets. */
void bf_target_start_waiting(bf_mesh_t *mesh, bf_time_us_t now_us);

/* mesh/evacuate.c: evacuated zones, and the gate of the own target. */
bf_code_t bf_evacuation_open(
    bf_mesh_t *mesh, bf_metrics_set_t *metrics, bf_error_t *err);
void bf_evacuation_close(bf_mesh_t *mesh);
/*
 * What the own watch of the operators' keys shows: a list begins, a key, and
 * that all keys or changes as of the revision were reported.
 */
void bf_evacuation_begin_list(bf_mesh_t *mesh);
void bf_evacuation_read(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us);
void bf_evacuation_complete_reading(
    bf_mesh_t *mesh, uint64_t revision, bf_time_us_t now_us);
/*
 * Sends the set to the node that dialled, if this node is a relay and that one
 * is in the own zone or a relay, or to all such nodes.
 */
void bf_evacuation_send(bf_inbound_t *inbound, bf_time_us_t now_us);
void bf_evacuation_send_all(bf_mesh_t *mesh, bf_time_us_t now_us);
void bf_evacuation_receive(
    bf_peer_t *peer, bf_wire_reader_t *reader, bf_time_us_t now_us);
/* Whether a call may go to the peer's zone.  account: NULL: of none. */
bool bf_evacuation_may_offer(const bf_mesh_t *mesh,
    const bf_mesh_route_t *route, const bf_account_t *account,
    const bf_peer_t *peer);
/* Whether the own target gets no calls, as its zone is, or may be, evacuated.
 */
bool bf_evacuation_holds(const bf_mesh_t *mesh, bf_time_us_t now_us);
/* Sets the gate of the target's queue to the present state. */
void bf_evacuation_set_gate(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Starts waiting calls when the gate opens, if it is what they wait for. */
void bf_evacuation_await_gate(bf_mesh_t *mesh, bf_time_us_t now_us);
/* A call is sent to the target; the one sent at sent_us did not reach it. */
void bf_evacuation_call_sent(bf_mesh_t *mesh, bf_time_us_t now_us);
void bf_evacuation_call_returned(
    bf_mesh_t *mesh, bf_time_us_t sent_us, bf_time_us_t now_us);
/* The slots to report for a target that is ready. */
uint32_t bf_evacuation_slots(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Another process of the target, which states how long it stays cold. */
void bf_evacuation_begin_lifetime(
    bf_mesh_t *mesh, bf_time_us_t left_us, bf_time_us_t now_us);
/* The target's heartbeat was accepted. */
void bf_evacuation_heartbeat(bf_mesh_t *mesh, bf_time_us_t now_us);
/* The target counts as cold until it states the contrary. */
void bf_evacuation_doubt(bf_mesh_t *mesh, const char *why, bf_time_us_t now_us);
/* Reads how long the target stays cold from its health response. */
void bf_evacuation_health(bf_mesh_t *mesh, const bf_http_message_t *message,
    bf_time_us_t sent_us, bf_time_us_t now_us);
void bf_evacuation_update_gauges(bf_mesh_t *mesh, bf_time_us_t now_us);

/* mesh/confirm.c: the health check of a target that a former process knew. */

/* Restores the target from the last heartbeat that the record holds. */
void bf_target_restore(
    bf_mesh_t *mesh, const bf_heartbeat_t *heartbeat, bf_time_us_t now_us);
/* Begins the health check that the target awaits, once its path is known. */
void bf_target_check_health(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Sends a health check; false: its path is not known, or no connection. */
bool bf_target_send_health_check(
    bf_mesh_t *mesh, bf_http_exchange_t *exchange, bf_time_us_t now_us);
void bf_target_cancel_health_check(bf_mesh_t *mesh);

/* Codecs of frames that several source files read or write. */
void bf_wire_write_load(bf_wire_writer_t *writer, const bf_load_t *load);
void bf_wire_read_load(bf_wire_reader_t *reader, bf_load_t *load);

/* Writes the frame that replies to an offer; mesh/roster.c reads it. */
void bf_wire_write_reply(
    bf_wire_writer_t *writer, const bf_reply_t *reply, const bf_load_t *load);

#endif
