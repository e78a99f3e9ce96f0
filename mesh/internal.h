#ifndef BF_MESH_INTERNAL_H
#define BF_MESH_INTERNAL_H

#include <apr_hash.h>
#include <jansson.h>

#include "base/digest.h"
#include "http/client.h"
#include "mesh/link.h"
#include "mesh/mesh.h"
#include "mesh/balance.h"
#include "mesh/retry_budget.h"
#include "mesh/throttle.h"
#include "mesh/call_queue.h"
#include "store/follow.h"

/* What the parts of mesh/ share. */

#define BF_REQUEST_ID_BYTES 96
#define BF_OFFERS_MAX 6
#define BF_MOVES_MAX 16
#define BF_SERVICES_MAX 64

typedef struct bf_peer bf_peer_t;
typedef struct bf_entry_call bf_entry_call_t;
typedef struct bf_job bf_job_t;

/* What a node says of its target's load, in each answer and in between. */
typedef struct bf_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t mean_us;
	uint32_t failing_ppm;
} bf_load_t;

/* What a node says of itself and its target. */
typedef struct bf_node_state {
	char instance[BF_NAME_BYTES];
	uint64_t incarnation;       /* of its process: grows */
	char target[BF_NAME_BYTES]; /* "": none */
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	bf_target_state_t target_state;
	bool stopping; /* the node itself */
	bool store_up; /* it can write to the store */
	bool relay;    /* it follows the operators' keys in the store */
	uint32_t link_mbps;
	uint64_t config_version;
	bf_load_t load;
} bf_node_state_t;

/* Another node, or this one (self). */
struct bf_peer {
	bf_peer_t *next;
	bf_mesh_t *mesh;
	char instance[BF_NAME_BYTES];
	char zone[BF_NAME_BYTES];
	char address_text[BF_ADDRESS_BYTES];
	struct sockaddr_in address;
	uint64_t incarnation;
	bool self;
	bool near;

	/* The connection that this node dialled: its calls go there. */
	bf_mesh_link_t *link;
	bool open;
	bool silent; /* nothing heard for a while */
	bf_path_delay_t delay;
	uint32_t outstanding;  /* calls that it has not answered */
	bf_time_us_t probe_us; /* of the first probe not answered; 0: none */
	uint32_t failures;
	bf_timer_t redial;

	/* The connection that the peer dialled: its calls come from there. */
	struct bf_inbound *inbound;

	bool listed;             /* in the last list of the store */
	bf_time_us_t missing_us; /* since when neither listed nor open */
	bool heard;              /* state is known */
	bool unproven;           /* see bf_movement_saw */
	bf_node_state_t state;
	uint32_t sent;         /* calls since the last report */
	bf_time_us_t newer_us; /* since when its configuration is newer */
	uint64_t config_sent;  /* the version that this node last sent it */

	/* Runs of its target; what was there when a move began. */
	bf_run_tallies_t runs;
	bf_run_tallies_t runs_base;
	char runs_base_of[BF_NAME_BYTES]; /* the move's version */
};

/* A connection dialled by another node. */
typedef struct bf_inbound {
	bf_mesh_link_t link; /* first member */
	bf_mesh_t *mesh;
	bf_peer_t *peer; /* NULL before its hello */
	struct bf_inbound *next;
	struct bf_inbound **previous;
	bf_job_t *jobs; /* calls that came by it */
} bf_inbound_t;

typedef enum bf_call_end {
	BF_END_ANSWERED, /* the target's own whole answer */
	BF_END_NOT_RUN,  /* certain */
	BF_END_UNKNOWN   /* a target may have run it */
} bf_call_end_t;

/* Why a call was refused or lost; names in bf_cause_name. */
typedef enum bf_cause {
	BF_CAUSE_NONE,
	BF_CAUSE_BUSY,       /* it would not be done in time here */
	BF_CAUSE_DRAINING,   /* the target or its node leaves */
	BF_CAUSE_NO_TARGET,  /* no or another target is here */
	BF_CAUSE_EXPIRED,    /* its time was over before it was sent */
	BF_CAUSE_CONNECT,    /* no connection to the target */
	BF_CAUSE_REJECTED,   /* the target says that it did not run it */
	BF_CAUSE_BROKEN,     /* the connection ended before the answer */
	BF_CAUSE_BAD_ANSWER, /* what came is not its answer */
	BF_CAUSE_TIMEOUT,    /* no answer in time */
	BF_CAUSE_PEER_LOST,  /* the connection between the nodes ended */
	BF_CAUSE_NO_CONFIG,  /* no configuration is known */
	BF_CAUSE_NO_ROUTE,
	BF_CAUSE_NO_PLACE, /* no target of the service is known */
	BF_CAUSE_MEMORY,
	BF_CAUSE_STARVING, /* runs of its route fail for want of room */
	BF_CAUSE_COUNT
} bf_cause_t;

const char *bf_cause_name(bf_cause_t cause);

/* What became of a call beside its target. */
typedef struct bf_reply {
	bf_call_end_t end;
	bf_cause_t cause;
	uint32_t status;    /* of the answer */
	const char *fields; /* whole lines */
	const void *body;
	size_t body_bytes;
	bf_time_us_t waited_us;
	bf_time_us_t spent_us;    /* at the target */
	bf_time_us_t expected_us; /* of a refusal: until there is room */
	bool starved;             /* a call that the run made found no room */
} bf_reply_t;

/* A call as its entry gives it to the node beside a target. */
typedef struct bf_offer {
	uint64_t id;
	const char *request_id;
	const char *target; /* expected id */
	const char *route;
	bool inner;
	bool repeatable;
	bool on_time; /* refuse it if it would be late */
	bool head_request;
	bool repeat; /* another target may have run it */
	uint32_t priority;
	bf_time_us_t left_us;
	bf_time_us_t objective_left_us;
	const bf_bytes_t *head; /* request line and fields, no empty line */
	const void *body;
	size_t body_bytes;
	bool has_body;
} bf_offer_t;

/* Moving averages of the calls of one route at the own target. */
typedef struct bf_route_work {
	uint32_t route; /* hash of its name */
	double mean_us;
	uint32_t seen;
} bf_route_work_t;

#define BF_ROUTE_WORKS 64

/* The target beside this node, as it announced itself. */
typedef struct bf_own_target {
	bf_heartbeat_t beat;
	bf_target_state_t state;
	bf_time_us_t heard_us;
	bf_time_us_t warm_us;        /* cold until then */
	bf_time_us_t down_us;        /* not tried until then, after a refusal */
	bool left;                   /* it said that it goes, for good */
	char left_id[BF_NAME_BYTES]; /* the last that said so, also before */
	uint64_t left_born_ms;       /* this process began */
	bool left_unborn;            /* left_born_ms is not known */
	bf_time_us_t left_us;        /* when it said so to this process */
	bf_http_client_t client;
	bf_call_queue_t waiting;
	bf_route_work_t works[BF_ROUTE_WORKS];
	uint32_t work_count;
	double failing;          /* share of recent runs that failed */
	bf_time_us_t failing_us; /* when that was brought up to date */
	bf_run_tallies_t runs;
	bf_timer_t expiry; /* of waiting calls */
	bf_job_t *jobs;    /* of callers of this very node */
} bf_own_target_t;

typedef struct bf_known_move {
	bf_move_t move;
	bool ordered;              /* its order was read, or told by a peer */
	uint64_t outcome_revision; /* of its key in the store; 0: none */
	bf_move_state_t stored;    /* as the store has it */
	bool has_stored;
	char stored_version[BF_NAME_BYTES];
	bool writing;
	bf_time_us_t told_us; /* last told to the peers */
	/* Of the leader: sums when the present and the former span began. */
	bf_run_tallies_t span_new[2];
	bf_run_tallies_t span_old[2];
	bf_time_us_t span_us;
	bf_time_us_t judged_us;
	bf_kv_call_t write;
	bf_mesh_t *mesh;
} bf_known_move_t;

/* Refusals of calls of a route, by the hash of its name. */
typedef struct bf_route_throttle {
	uint32_t route;
	bf_throttle_t throttle;
} bf_route_throttle_t;

#define BF_ROUTE_THROTTLES 64

/* Repeats of calls to a service. */
typedef struct bf_service_budget {
	char service[BF_NAME_BYTES];
	bf_retry_budget_t repeats;
} bf_service_budget_t;

/* A version of a service's software that some target runs. */
typedef struct bf_known_version {
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	bf_time_us_t seen_us;
	bool proven;
} bf_known_version_t;

#define BF_VERSIONS_MAX 64

typedef struct bf_mesh_metrics {
	bf_family_t *calls;   /* by outcome */
	bf_family_t *causes;  /* of calls that were not answered */
	bf_family_t *latency; /* by service */
	bf_family_t *offers;  /* by result */
	bf_family_t *runs;    /* at the own target, by result */
	bf_family_t *waited;
	bf_family_t *spent;
	bf_family_t *repeats;     /* by result */
	bf_family_t *store_calls; /* by result */
	bf_family_t *peers;       /* by state */
	bf_family_t *config;
	bf_family_t *queue;
	bf_family_t *connections;
	bf_family_t *log_lines;
} bf_mesh_metrics_t;

struct bf_mesh {
	bf_mesh_options_t options;
	char service[BF_NAME_BYTES];
	const bf_dialect_t *dialect;
	bf_loop_t *loop;
	bf_kv_t *kv;
	bf_events_t *events;
	bf_mesh_metrics_t metrics;
	apr_pool_t *pool;
	uint64_t random;
	uint64_t incarnation;
	bf_wire_writer_t writer;

	bf_http_server_t callers;
	bf_listener_t listener;

	/* Configuration. */
	bf_time_us_t start_us;
	bool relay;                 /* this node follows the operators' keys */
	bf_time_us_t relay_us;      /* last chosen to do so */
	bf_kv_call_t outcomes_call; /* reads the outcomes of moves */
	bf_timer_t outcomes_timer;
	uint32_t outcomes_failures;
	bf_follow_t follow;    /* the operators' keys, when it is a relay */
	bf_follow_t orders;    /* lists the orders of moves */
	bf_routing_t *routing; /* NULL: none known yet */
	bf_bytes_t config;     /* as it was written, for peers */
	bf_digest_t config_digest;
	bf_bytes_t config_before; /* the one before it */
	bf_digest_t before_digest;
	uint64_t before_version;
	bf_bytes_t config_delta; /* between the two; empty: not made yet */
	bf_time_us_t config_us;
	bf_time_us_t ask_config_us; /* no peer is asked before */

	/* Nodes. */
	bf_peer_t *peers; /* this node is one of them */
	bf_peer_t *self;
	uint32_t peer_count;
	bf_inbound_t *inbound;
	bf_node_state_t told; /* as the peers of the own zone were told last */
	bf_time_us_t told_us;
	bf_node_state_t told_far; /* and those of other zones */
	bf_time_us_t told_far_us;
	bf_timer_t tick;

	/* The own entry in the store. */
	bf_kv_call_t member_call;
	bf_timer_t member_timer;
	uint32_t member_step;
	uint64_t lease;
	uint64_t member_revision;
	uint32_t member_failures;
	bool member_dirty; /* the own entry is to be written again */
	bf_time_us_t listed_us;
	char list_after[BF_NAME_BYTES * 2];
	bool store_up;
	bool store_known; /* store_up says something */

	/* Calls. */
	apr_hash_t *calls; /* of this entry by the id of their offer */
	uint64_t last_offer;
	uint32_t entry_count;
	bf_service_budget_t budgets[BF_SERVICES_MAX];
	uint32_t budget_count;
	bf_route_throttle_t throttles[BF_ROUTE_THROTTLES];
	uint32_t throttle_count;

	bf_own_target_t target;
	bf_known_move_t moves[BF_MOVES_MAX];
	uint32_t move_count;
	bf_known_version_t versions[BF_VERSIONS_MAX];
	uint32_t version_count;

	/* Shutdown. */
	bool stopping;
	bool closing; /* peers are told to give it no more calls */
	bf_time_us_t stop_us;
	bf_timer_t stop_timer;
	void (*stopped)(void *ctx);
	void *stopped_ctx;
};

/* mesh/mesh.c: when a stopping node ends at the latest. */
bf_time_us_t bf_mesh_stop_end_us(const bf_mesh_t *mesh);

/* mesh/roster.c: the other nodes. */
bf_code_t bf_roster_open(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err);
void bf_roster_close(bf_mesh_t *mesh);
bf_peer_t *bf_roster_find(bf_mesh_t *mesh, const char *instance);
/* A node that the store or a hello names; it is dialled. */
bf_peer_t *bf_roster_add(bf_mesh_t *mesh, const char *instance,
    const char *zone, const char *address, uint64_t incarnation,
    bf_time_us_t now_us);
/* Whether another node answers, and is not about to end. */
static inline bool
bf_roster_stays(const bf_peer_t *peer)
{
	return peer->open && peer->heard && !peer->silent &&
	    !peer->state.stopping;
}

void bf_roster_tick(bf_mesh_t *mesh, bf_time_us_t now_us);

/* mesh/state.c: what nodes tell each other of themselves. */
/* How often nodes tell each other something, and what silence means. */
typedef struct bf_cadence {
	bf_time_us_t tell_us;   /* at least this often: silence is a sign */
	bf_time_us_t silent_us; /* used only for want of others from then on */
	/* Given up: a new connection may work where an old one does not. */
	bf_time_us_t lost_us;
} bf_cadence_t;

extern const bf_cadence_t bf_cadence_near; /* in a zone */
extern const bf_cadence_t bf_cadence_far;

/* Of this node. */
bf_node_state_t bf_mesh_state(bf_mesh_t *mesh, bf_time_us_t now_us);
void bf_node_state_read(bf_wire_reader_t *reader, bf_node_state_t *state);
/* Whether both say the same, but for the load. */
bool bf_node_state_same(const bf_node_state_t *a, const bf_node_state_t *b);
void bf_tell_state(bf_mesh_t *mesh, bf_mesh_link_t *link,
    const bf_node_state_t *state, bf_time_us_t now_us);
void bf_tell_load(bf_mesh_t *mesh, bf_mesh_link_t *link, const bf_load_t *load,
    bf_time_us_t now_us);
/*
 * Tells every node what has changed and concerns it, and something in any case
 * at its cadence.
 */
void bf_tell_changes(bf_mesh_t *mesh, bf_time_us_t now_us);

/* mesh/registry.c: the own entry in the store, and the list of the others. */
void bf_registry_start(bf_mesh_t *mesh, bf_time_us_t now_us);
void bf_registry_stop(bf_mesh_t *mesh);
/* What the own entry says has changed. */
void bf_registry_update(bf_mesh_t *mesh, bf_time_us_t now_us);
void bf_mesh_store_called(
    bf_mesh_t *mesh, const char *what, bf_code_t code, bf_time_us_t now_us);

/* mesh/source.c: configuration and orders. */
void bf_source_start(bf_mesh_t *mesh, bf_time_us_t now_us);
void bf_source_stop(bf_mesh_t *mesh);
/* Begins or ends to follow the operators' keys, as other nodes come and go. */
void bf_source_tick(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Reads all orders of moves again. */
void bf_source_refresh(bf_mesh_t *mesh, bf_time_us_t now_us);
/* A configuration as a peer or the store has it. */
void bf_source_take(bf_mesh_t *mesh, const void *data, size_t bytes,
    const char *from, bf_time_us_t now_us);
/* Asks the peer for its configuration. */
void bf_source_ask(bf_peer_t *peer, bf_time_us_t now_us);
/* The other side of the link asks for the configuration. */
void bf_source_asked(bf_mesh_t *mesh, bf_mesh_link_t *link,
    bf_wire_reader_t *reader, bf_time_us_t now_us);
/* A peer's configuration, whole or as a difference. */
void bf_source_heard(bf_peer_t *peer, const bf_frame_t *frame,
    bf_wire_reader_t *reader, bf_time_us_t now_us);

/* mesh/movement.c: moves of this mesh. */
void bf_movement_order(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us);
void bf_movement_outcome(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us);
/*
 * A target runs this version.  True: it is unproven, so that it gets no call
 * while others can take it.  A version is proven when it is the first of its
 * service, or when all orders were read after it was seen: then either it is
 * no move's, or its move says what it gets.  A node may be slow to hear of an
 * order while the targets that it is about are ready.
 */
bool bf_movement_saw(bf_mesh_t *mesh, const char *service, const char *version,
    bf_time_us_t now_us);
/* All orders were read, by a list that began then. */
void bf_movement_listed(bf_mesh_t *mesh, bf_time_us_t began_us);
/* Gives up what is being written. */
void bf_movement_stop(bf_mesh_t *mesh);
void bf_movement_tick(bf_mesh_t *mesh, bf_time_us_t now_us);
/* Tells the other side of the link of all moves. */
void bf_movement_tell(
    bf_mesh_t *mesh, bf_mesh_link_t *link, bf_time_us_t now_us);
void bf_movement_heard(bf_mesh_t *mesh, bf_peer_t *peer,
    bf_wire_reader_t *reader, bf_time_us_t now_us);
void bf_movement_write_runs(bf_mesh_t *mesh, bf_wire_writer_t *writer);
void bf_movement_read_runs(bf_peer_t *peer, bf_wire_reader_t *reader);
/*
 * Which version a call to the service goes to: 0 any; 1 *version only; -1 all
 * but *version.
 */
int bf_movement_choose(
    bf_mesh_t *mesh, const char *service, const char **version);

/* mesh/entry.c: calls that entered here. */
bf_code_t bf_entry_open(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err);
void bf_entry_reply(bf_mesh_t *mesh, uint64_t offer, const bf_reply_t *reply,
    bf_time_us_t now_us);
/* The connection to the peer is gone, or has been silent for long. */
void bf_entry_peer_lost(bf_peer_t *peer, bool gone, bf_time_us_t now_us);
void bf_entry_write_offer(bf_wire_writer_t *writer, const bf_offer_t *offer);

/* mesh/target.c: calls of the own target. */
void bf_target_open(bf_mesh_t *mesh);
void bf_target_offer(bf_mesh_t *mesh, bf_inbound_t *from,
    const bf_offer_t *offer, bf_time_us_t now_us);
/* from NULL: this very node. */
void bf_target_cancel(
    bf_mesh_t *mesh, bf_inbound_t *from, uint64_t offer, bf_time_us_t now_us);
void bf_target_lost(bf_inbound_t *from, bf_time_us_t now_us);
void bf_target_tick(bf_mesh_t *mesh, bf_time_us_t now_us);
bf_load_t bf_target_load(bf_mesh_t *mesh, bf_time_us_t now_us);
/* The run at the own target that made a call of that id, or NULL. */
bf_job_t *bf_target_maker(const bf_mesh_t *mesh, const char *id);
uint32_t bf_job_priority(const bf_job_t *job);
bool bf_job_is_repeat(const bf_job_t *job);
/* The call of that id found no room: its maker's run, if any, has starved. */
void bf_target_starved(bf_mesh_t *mesh, const char *id);
uint32_t bf_target_busy(const bf_mesh_t *mesh);

/* Codecs of the frames that more than one part reads or writes. */
void bf_wire_write_load(bf_wire_writer_t *writer, const bf_load_t *load);
void bf_wire_read_load(bf_wire_reader_t *reader, bf_load_t *load);

/* The frame that answers an offer, both ways. */
void bf_wire_write_reply(
    bf_wire_writer_t *writer, const bf_reply_t *reply, const bf_load_t *load);

#endif
