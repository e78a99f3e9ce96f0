#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <apr_tables.h>

#include "accounts/authenticate.h"
#include "mesh/internal.h"

/*
 * Calls that enter the mesh at this node: finds the route, offers the call to
 * nodes beside targets and sends the caller one answer.
 *
 * A call whose offer was refused has certainly not run, so it is offered to the
 * next node at once, which is not charged to the shared retry budget.  A call
 * that may have run is retried only if the route allows it and the budget is
 * not exhausted.
 */

/* A call is refused once this many nodes have refused it as busy. */
#define BUSY_OFFERS_MAX 3
/* Time after the deadline during which the target's answer is awaited. */
#define ANSWER_GRACE_US (60 * BF_US_PER_MS)
/* Shortest network round trips assumed, within a zone and between zones. */
#define OWN_ZONE_RTT_US 300
#define OTHER_ZONES_RTT_US 2500
/* Used when no node reported when a slot will be free. */
#define RETRY_AFTER_DEFAULT_US (100 * BF_US_PER_MS)
#define RETRY_AFTER_MIN_US (30 * BF_US_PER_MS)
#define JITTER_MAX_US (400 * BF_US_PER_MS)
/* A node serves calls about this long after its start. */
#define STARTUP_US (900 * BF_US_PER_MS)
/* If it does not, it is likely to take this much longer. */
#define STARTUP_AGAIN_US (300 * BF_US_PER_MS)
/* Other nodes are asked twice a second for the present configuration. */
#define STALE_KEYS_RETRY_US (500 * BF_US_PER_MS)
/*
 * Part of the shared budget that all nodes together may use.  While the rate of
 * calls falls from a peak, the time window in which the budget is checked can
 * hold up to a third fewer calls than the window of a node.
 */
#define BUDGET_PART 0.7
#define PPM 1000000.0
/*
 * Shares of the time left until a call's objective.  A call stays in its own
 * zone if it is expected to end there within the first share, and at most the
 * second share later than in another zone.  The third replaces the second for
 * large bodies, which cost the most bytes between zones.
 */
#define OWN_ZONE_OBJECTIVE_SHARE 0.85
#define OWN_ZONE_DELAY_SHARE 0.6
#define OWN_ZONE_DELAY_SHARE_LARGE 0.8
#define LARGE_BODY_BYTES 8192
/* A longer body is not sent with the offer; the node requests it in parts. */
#define BODY_INLINE_BYTES_MAX 8192
#define CANDIDATES_MAX 512
/* A call waits for its account's cap at most this part of the time left. */
#define CAP_WAIT_DIVISOR 4

struct bf_entry_call {
	bf_mesh_t *mesh;
	bf_http_request_t *request;
	bf_routing_t *routing;
	bf_mesh_route_t *route;
	const char *service;
	/* Of routing; NULL: none.  Of the parent's call if inner. */
	const bf_account_t *account;
	bf_caps_waiter_t cap_waiter;
	char request_id[BF_REQUEST_ID_BYTES];
	bf_time_us_t began_us;
	bf_time_us_t deadline_us;
	bf_time_us_t objective_us;
	uint32_t priority;
	bool inner;           /* made by a run at the own target */
	bool parent_is_retry; /* the call of that run is a retry */
	bool may_have_run;
	uint32_t sends; /* offers with which a target may have got the call */
	uint32_t offers;
	uint32_t busy_count; /* offers refused as busy */
	bf_peer_t *tried[BF_OFFERS_MAX];
	bf_peer_t *peer;   /* that holds the offer; NULL: none */
	uint64_t offer_id; /* of the last offer */
	bool body_follows; /* the peer requests the body, in parts */
	size_t body_sent_bytes;
	bf_time_us_t offered_us;
	bf_cause_t cause; /* of the last offer that failed */
	/* Shortest expected wait for a slot that a refusal stated; 0: none. */
	bf_time_us_t min_wait_us;
	bf_bytes_t head;
	bf_timer_t timeout;
	/* First failure of a target, returned if the retry gets no answer. */
	uint32_t kept_status;
	bf_bytes_t kept_fields;
	bf_bytes_t kept_body;
};

const char *
bf_cause_name(bf_cause_t cause)
{
	static const char *const names[BF_CAUSE_COUNT] = { "none", "busy",
		"draining", "no-target", "expired", "connect", "rejected",
		"broken", "bad-answer", "timeout", "peer-lost", "no-config",
		"no-route", "no-place", "memory", "starving", "no-key",
		"no-parent", "stale-keys", "over-cap" };

	return names[cause];
}

static void
clear_offer(bf_entry_call_t *call)
{
	if (call->peer == NULL)
		return;
	apr_hash_set(call->mesh->offered_calls, &call->offer_id,
	    sizeof(call->offer_id), NULL);
	call->peer->outstanding_offers--;
	call->peer = NULL;
}

static void
free_call(bf_entry_call_t *call)
{
	bf_mesh_t *mesh = call->mesh;

	clear_offer(call);
	bf_caps_leave(mesh->caps, &call->cap_waiter);
	bf_loop_timer_cancel(mesh->loop, &call->timeout);
	bf_routing_release(call->routing);
	bf_bytes_free(&call->head);
	bf_bytes_free(&call->kept_fields);
	bf_bytes_free(&call->kept_body);
	mesh->entry_call_count--;
	bf_loop_defer_free(mesh->loop, call);
}

/* Counts a finished call; logs it if it is sampled or was not successful. */
static void
log_finished(const bf_entry_call_t *call, uint32_t status, const char *outcome,
    bf_cause_t cause, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bool late = now_us > call->objective_us;

	if (call->inner)
		bf_target_parent_blocked(mesh, call->request_id, false, now_us);
	bf_metric_count(mesh->metrics.calls, outcome, 1);
	if (cause != BF_CAUSE_NONE)
		bf_metric_count(mesh->metrics.causes, bf_cause_name(cause), 1);
	bf_metric_observe(
	    mesh->metrics.latency, call->service, now_us - call->began_us);
	if (status < 400 && !bf_events_sampled(mesh->events, call->request_id))
		return;
	bf_event(mesh->events, BF_EVENT_FINISHED, now_us,
	    "s:s,s:s,s:s,s:s,s:i,s:s,s:s,s:b,s:I,s:I,s:i,s:i,s:b,s:I", "call",
	    call->request_id, "route", call->route->name, "account",
	    call->account != NULL ? call->account->name : "", "service",
	    call->service, "status", (int)status, "outcome", outcome, "cause",
	    bf_cause_name(cause), "late", (int)late, "took_us",
	    (json_int_t)(now_us - call->began_us), "left_us",
	    (json_int_t)(call->deadline_us - now_us), "offers",
	    (int)call->offers, "sends", (int)call->sends, "inner",
	    (int)call->inner, "config_version",
	    (json_int_t)bf_routing_version(call->routing));
}

static void
finish(bf_entry_call_t *call, uint32_t status, const char *fields,
    const void *body, size_t body_bytes)
{
	bf_http_request_t *request = call->request;

	free_call(call);
	bf_http_answer(request, status, fields, body, body_bytes);
}

/* Adds jitter, so that callers refused together do not retry together. */
static bf_time_us_t
retry_after_us(bf_mesh_t *mesh, bf_time_us_t wait_us)
{
	bf_time_us_t pause_us = wait_us > 0 ? wait_us : RETRY_AFTER_DEFAULT_US;
	bf_time_us_t jitter_us;

	if (pause_us < RETRY_AFTER_MIN_US)
		pause_us = RETRY_AFTER_MIN_US;
	jitter_us = pause_us < JITTER_MAX_US ? pause_us : JITTER_MAX_US;
	return pause_us +
	    (bf_time_us_t)(bf_random_next(&mesh->random) % (uint64_t)jitter_us);
}

/*
 * Expected time until this node can serve calls: it reads a configuration and
 * connects to other nodes first, and tries again if the store is away.
 */
static bf_time_us_t
startup_wait_us(const bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_time_us_t wait_us = mesh->start_us + STARTUP_US - now_us;

	return wait_us > STARTUP_AGAIN_US ? wait_us : STARTUP_AGAIN_US;
}

static void
retry_after_field(
    bf_mesh_t *mesh, bf_time_us_t wait_us, char *field, size_t bytes)
{
	(void)snprintf(field, bytes, "Retry-After: %.3f\r\n",
	    (double)retry_after_us(mesh, wait_us) / BF_US_PER_S);
}

/* Ends a call with the failure that its first target answered. */
static void
answer_kept_failure(
    bf_entry_call_t *call, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_bytes_t fields = call->kept_fields, body = call->kept_body;

	/* The call is freed before its answer is written. */
	call->kept_fields = (bf_bytes_t){ 0 };
	call->kept_body = (bf_bytes_t){ 0 };
	log_finished(call, call->kept_status, "failed", cause, now_us);
	finish(call, call->kept_status, (const char *)bf_bytes_data(&fields),
	    bf_bytes_data(&body), bf_bytes_count(&body));
	bf_bytes_free(&fields);
	bf_bytes_free(&body);
}

/* Ends a call that got no answer, or returns the failure that was kept. */
static void
give_up(bf_entry_call_t *call, bf_cause_t cause, bf_time_us_t now_us)
{
	char field[64] = "";
	uint32_t status;

	if (call->kept_status != 0) {
		answer_kept_failure(call, cause, now_us);
		return;
	}
	if (!call->may_have_run) {
		if (call->inner &&
		    (cause == BF_CAUSE_BUSY || cause == BF_CAUSE_REJECTED))
			bf_target_mark_dependency_busy(
			    call->mesh, call->request_id);
		if (cause == BF_CAUSE_NO_CANDIDATE)
			call->min_wait_us = startup_wait_us(call->mesh, now_us);
		retry_after_field(
		    call->mesh, call->min_wait_us, field, sizeof(field));
		log_finished(call, 503, "not-run", cause, now_us);
		finish(call, 503, field, "", 0);
		return;
	}
	status = cause == BF_CAUSE_TIMEOUT ? 504 : 502;
	log_finished(call, status, "unknown", cause, now_us);
	finish(call, status, field, "", 0);
}

static bf_retry_budget_t *
find_retry_budget(bf_mesh_t *mesh, const char *service)
{
	bf_service_budget_t *entry;
	uint32_t i;

	for (i = 0; i < mesh->budget_count; i++) {
		if (strcmp(mesh->budgets[i].service, service) == 0)
			return &mesh->budgets[i].budget;
	}
	if (mesh->budget_count == BF_SERVICES_MAX)
		return NULL;
	entry = &mesh->budgets[mesh->budget_count++];
	(void)snprintf(entry->service, sizeof(entry->service), "%s", service);
	bf_retry_budget_init(
	    &entry->budget, mesh->options.retry_window_ms * BF_US_PER_MS);
	return &entry->budget;
}

static bf_throttle_t *
find_throttle(bf_mesh_t *mesh, const bf_mesh_route_t *route)
{
	uint32_t hash = (uint32_t)bf_hash_text(route->name, 0), i;

	for (i = 0; i < mesh->throttle_count; i++) {
		if (mesh->throttles[i].route == hash)
			return &mesh->throttles[i].throttle;
	}
	if (mesh->throttle_count == BF_ROUTE_THROTTLES_MAX)
		return NULL;
	mesh->throttles[mesh->throttle_count] =
	    (bf_route_throttle_t){ .route = hash };
	return &mesh->throttles[mesh->throttle_count++].throttle;
}

/* Uniformly distributed in [0, 1). */
static double
random_unit(bf_mesh_t *mesh)
{
	return (double)(bf_random_next(&mesh->random) >> 11) * 0x1p-53;
}

static bool
claim_retry(bf_entry_call_t *call, bf_time_us_t now_us)
{
	const bf_mesh_t *mesh = call->mesh;
	bf_retry_budget_t *budget =
	    find_retry_budget(call->mesh, call->service);
	double share = BUDGET_PART * mesh->options.retry_share_ppm / PPM;
	double extra =
	    BUDGET_PART * mesh->options.retry_burst / mesh->peer_count;
	bool granted;

	granted = budget != NULL &&
	    bf_retry_budget_take(budget, share, extra, now_us);
	bf_metric_count(
	    mesh->metrics.retries, granted ? "granted" : "denied", 1);
	return granted;
}

static bool
was_tried(const bf_entry_call_t *call, const bf_peer_t *peer)
{
	uint32_t i;

	for (i = 0; i < call->offers; i++) {
		if (call->tried[i] == peer)
			return true;
	}
	return false;
}

/* Which versions a call may go to. */
typedef struct version_filter {
	const char *version; /* with rule as of bf_movement_choose_version */
	int rule;
	bool allow_unconfirmed;
	bool allow_withdrawn;
} version_filter_t;

static bool
version_matches(
    bf_entry_call_t *call, const char *version, const version_filter_t *filter)
{
	if (filter->rule != 0 &&
	    (strcmp(version, filter->version) == 0) != (filter->rule > 0))
		return false;
	return filter->allow_withdrawn ||
	    !bf_movement_is_withdrawn(call->mesh, call->service, version);
}

/*
 * Expected network round trip: the recent delay of the path, but no less than
 * the shortest of the zone.
 */
static uint32_t
round_trip_us(const bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_time_us_t min_us =
	    peer->in_own_zone ? OWN_ZONE_RTT_US : OTHER_ZONES_RTT_US;
	bf_time_us_t recent_us;

	if (peer->self)
		return 0;
	recent_us = bf_path_delay_estimate(&peer->path_delay, now_us);
	return (uint32_t)(recent_us > min_us ? recent_us : min_us);
}

/* Lists the nodes that the call may be offered to. */
static size_t
list_candidates(bf_entry_call_t *call, const version_filter_t *filter,
    bf_candidate_t *candidates, bf_peer_t **peers, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	const bf_node_state_t *state;
	bf_node_state_t own;
	size_t count = 0;
	bf_peer_t *peer;

	for (peer = mesh->peers; peer != NULL && count < CANDIDATES_MAX;
	     peer = peer->next) {
		if (peer->self) {
			own = bf_mesh_node_state(mesh, now_us);
			state = &own;
		} else {
			state = &peer->state;
		}
		if (!peer->connected || !peer->state_known ||
		    (state->stopping && !peer->self) ||
		    state->target_state != BF_TARGET_READY ||
		    state->load.slots == 0 ||
		    strcmp(state->service, call->service) != 0 ||
		    (peer->version_unconfirmed && !filter->allow_unconfirmed) ||
		    !version_matches(call, state->version, filter) ||
		    !bf_evacuation_may_offer(
			mesh, call->route, call->account, peer) ||
		    was_tried(call, peer))
			continue;
		candidates[count] = (bf_candidate_t){
			.slots = state->load.slots,
			.running = state->load.running,
			.waiting = state->load.waiting,
			.sent_since_report =
			    peer->self ? 0 : peer->offers_since_report,
			.mean_run_us = state->load.mean_us,
			.failure_ppm = state->load.failing_ppm,
			.round_trip_us = round_trip_us(peer, now_us),
			.in_own_zone = peer->in_own_zone,
			.is_silent = peer->silent,
		};
		peers[count++] = peer;
	}
	return count;
}

/*
 * Lists the nodes with the version that a move assigns the call to, or else
 * those with other versions, but never with a version that was rolled back.
 * Without a move, unconfirmed versions are the last resort.  A version that an
 * earlier move rolled back is one where no other is left: this node may have
 * missed that it was ordered again.
 */
static size_t
find_candidates(bf_entry_call_t *call, bf_candidate_t *candidates,
    bf_peer_t **peers, bf_time_us_t now_us)
{
	version_filter_t filter = {
		.allow_withdrawn =
		    !bf_movement_has_withdrawn(call->mesh, call->service),
	};
	int rule;
	size_t count;

	rule = bf_movement_choose_version(
	    call->mesh, call->service, &filter.version);
	filter.rule = rule;
	count = list_candidates(call, &filter, candidates, peers, now_us);
	if (count == 0 && rule > 0) {
		filter.rule = -rule;
		count =
		    list_candidates(call, &filter, candidates, peers, now_us);
	}
	if (count == 0 && rule == 0) {
		filter.allow_unconfirmed = true;
		count =
		    list_candidates(call, &filter, candidates, peers, now_us);
	}
	if (count == 0 && !filter.allow_withdrawn && call->offers == 0) {
		filter.allow_withdrawn = true;
		count =
		    list_candidates(call, &filter, candidates, peers, now_us);
	}
	return count;
}

static bool
has_body(const bf_http_message_t *message)
{
	return bf_bytes_count(&message->body) > 0 ||
	    bf_http_find(message, "Content-Length") != NULL ||
	    bf_http_find(message, "Transfer-Encoding") != NULL;
}

static void
send_offer(bf_entry_call_t *call, bf_peer_t *peer, bool refuse_if_late,
    bf_time_us_t now_us)
{
	const bf_http_message_t *message = call->request->message;
	bf_mesh_t *mesh = call->mesh;
	bf_offer_t offer = {
		.request_id = call->request_id,
		.route = call->route->name,
		.inner = call->inner,
		.repeatable = bf_route_repeatable(call->route),
		.refuse_if_late = refuse_if_late,
		.is_head = message->method == HTTP_HEAD,
		.is_retry = call->sends > 0 || call->parent_is_retry,
		.priority = call->priority,
		.remaining_us = call->deadline_us - now_us,
		.objective_remaining_us = call->objective_us - now_us,
		.head = &call->head,
		.body = message->body.data + message->body.start,
		.body_bytes = bf_bytes_count(&message->body),
		.has_body = has_body(message),
		.account_id = call->account != NULL ? call->account->id : 0,
	};

	call->offer_id = ++mesh->last_offer_id;
	call->body_follows = false;
	offer.id = call->offer_id;
	call->tried[call->offers++] = peer;
	call->peer = peer;
	call->offered_us = now_us;
	peer->outstanding_offers++;
	apr_hash_set(
	    mesh->offered_calls, &call->offer_id, sizeof(call->offer_id), call);
	if (bf_events_sampled(mesh->events, call->request_id))
		bf_event(mesh->events, BF_EVENT_PLACED, now_us,
		    "s:s,s:s,s:i,s:s,s:i,s:i,s:i,s:I,s:b", "call",
		    call->request_id, "peer", peer->instance, "offer",
		    (int)call->offers, "target", peer->state.target, "running",
		    (int)peer->state.load.running, "waiting",
		    (int)peer->state.load.waiting, "sent",
		    (int)peer->offers_since_report, "load_age_us",
		    (json_int_t)(peer->self
			    ? 0
			    : now_us - peer->link->last_received_at_us),
		    "on_time", (int)refuse_if_late);
	peer->offers_since_report++;
	if (peer->self) {
		offer.target_id = mesh->target.presence.heartbeat.id;
		offer.message = call->request->message;
		bf_target_offer(mesh, NULL, &offer, now_us);
		return;
	}
	offer.target_id = peer->state.target;
	offer.body_follows = peer->state.protocol >= BF_PROTOCOL_1 &&
	    offer.body_bytes > BODY_INLINE_BYTES_MAX;
	call->body_follows = offer.body_follows;
	call->body_sent_bytes = 0;
	offer.has_reverse_transit =
	    bf_mesh_link_min_transit(peer->link, &offer.reverse_transit_us);
	bf_wire_write_offer(&mesh->writer, &offer);
	bf_mesh_link_send(peer->link, BF_FRAME_OFFER, offer.id, &mesh->writer,
	    offer.body_follows ? NULL : &message->body, now_us);
}

void
bf_entry_send_body(bf_peer_t *peer, uint64_t offer_id, size_t offset,
    size_t bytes, bf_time_us_t now_us)
{
	const bf_bytes_t *body;
	bf_entry_call_t *call;
	bf_bytes_t part;

	call = apr_hash_get(
	    peer->mesh->offered_calls, &offer_id, sizeof(offer_id));
	if (call == NULL || call->peer != peer)
		return; /* it was cancelled */
	body = &call->request->message->body;
	if (offset > bf_bytes_count(body) ||
	    bytes > bf_bytes_count(body) - offset)
		return;
	part = *body;
	part.start += offset;
	part.end = part.start + bytes;
	call->body_sent_bytes += bytes;
	bf_mesh_link_send(
	    peer->link, BF_FRAME_BODY, offer_id, NULL, &part, now_us);
}

/* Whether the peer cannot have run the call, as it lacks a part of its body. */
static bool
lacks_body(const bf_entry_call_t *call)
{
	return call->peer != NULL && call->body_follows &&
	    call->body_sent_bytes <
	    bf_bytes_count(&call->request->message->body);
}

/*
 * Whether to refuse a call that would wait for a slot, because too many runs of
 * its route fail as a service that they call is full.  Only for such calls: an
 * attempt that takes a free slot costs no other call anything.
 */
static bool
should_throttle(bf_entry_call_t *call, bf_time_us_t now_us)
{
	bf_throttle_t *throttle = find_throttle(call->mesh, call->route);

	return !call->inner && call->offers == 0 && throttle != NULL &&
	    bf_throttle_refuses(throttle, random_unit(call->mesh), now_us);
}

/* What decides, besides its time left, on whether targets refuse a call. */
static uint64_t
refusal_kind(const bf_entry_call_t *call)
{
	uint64_t account = call->account != NULL ? call->account->id : 0;

	return bf_hash_text(call->service,
	    bf_hash_text(call->route->name, account ^ call->priority));
}

/* Calls that targets make have no caller who returns later. */
static bool
shares_refusals(const bf_entry_call_t *call)
{
	return !call->inner && bf_routing_accounts(call->routing) != NULL;
}

/*
 * Whether to refuse a call without an offer, as nodes have just refused one of
 * its kind.  If so, sets the expected wait that the caller is told.
 */
static bool
was_just_refused(bf_entry_call_t *call, bf_time_us_t now_us)
{
	if (!shares_refusals(call) || call->offers > 0)
		return false;
	call->min_wait_us = bf_refusals_wait_us(&call->mesh->refusals,
	    refusal_kind(call), call->objective_us - call->began_us, now_us);
	if (call->min_wait_us > 0)
		bf_metric_count(call->mesh->metrics.offers, "withheld", 1);
	return call->min_wait_us > 0;
}

/* How much later a call may end if that avoids traffic between zones. */
static bf_zone_preference_t
zone_preference(const bf_entry_call_t *call, bf_time_us_t now_us)
{
	bool is_large =
	    bf_bytes_count(&call->request->message->body) > LARGE_BODY_BYTES;
	double remaining_us = (double)(call->objective_us - now_us);

	if (remaining_us < 0)
		remaining_us = 0;
	return (bf_zone_preference_t){
		.answer_within_us =
		    (bf_time_us_t)(OWN_ZONE_OBJECTIVE_SHARE * remaining_us),
		.extra_us =
		    (bf_time_us_t)((is_large ? OWN_ZONE_DELAY_SHARE_LARGE
					     : OWN_ZONE_DELAY_SHARE) *
			remaining_us),
	};
}

static size_t
choose_planned(const bf_entry_call_t *call, const bf_candidate_t *candidates,
    bf_peer_t *const *peers, size_t count, bf_time_us_t now_us)
{
	bf_zone_call_t zone_call = {
		.service = call->service,
		.route = call->route->name,
		.objective_us = call->objective_us - call->began_us,
		.remaining_us = call->objective_us - now_us,
		.is_large = bf_bytes_count(&call->request->message->body) >
		    LARGE_BODY_BYTES,
		.refused = call->busy_count > 0,
	};

	return bf_zones_choose(
	    call->mesh, &zone_call, candidates, peers, count, now_us);
}

static bool
plans_zones(const bf_mesh_t *mesh)
{
	return mesh->options.plan_zones &&
	    (mesh->target.reports_speed || !mesh->options.reported_speed_only);
}

/* Offers the call to the best node not tried yet, or ends it. */
static void
offer_next(bf_entry_call_t *call, bf_time_us_t now_us)
{
	static bf_candidate_t candidates[CANDIDATES_MAX];
	static bf_peer_t *peers[CANDIDATES_MAX];
	size_t count, chosen;
	bf_zone_preference_t preference;
	bool refuse_if_late;

	if (now_us >= call->deadline_us) {
		give_up(call, BF_CAUSE_EXPIRED, now_us);
		return;
	}
	/* A call that could outlast this process is not started. */
	if (call->mesh->stopping &&
	    call->deadline_us + ANSWER_GRACE_US >
		bf_mesh_stop_deadline_us(call->mesh)) {
		give_up(call, BF_CAUSE_DRAINING, now_us);
		return;
	}
	count = find_candidates(call, candidates, peers, now_us);
	if (call->busy_count == BUSY_OFFERS_MAX && shares_refusals(call))
		bf_refusals_record(&call->mesh->refusals, refusal_kind(call),
		    call->min_wait_us, call->objective_us - call->began_us,
		    now_us);
	if (count == 0 || call->offers == BF_OFFERS_MAX ||
	    call->busy_count == BUSY_OFFERS_MAX) {
		give_up(call,
		    call->offers > 0 ? call->cause : BF_CAUSE_NO_CANDIDATE,
		    now_us);
		return;
	}
	preference = zone_preference(call, now_us);
	chosen = plans_zones(call->mesh)
	    ? choose_planned(call, candidates, peers, count, now_us)
	    : bf_candidate_choose(
		  candidates, count, &preference, &call->mesh->random);
	if (candidates[chosen].running + candidates[chosen].waiting >=
	    candidates[chosen].slots) {
		if (should_throttle(call, now_us)) {
			give_up(call, BF_CAUSE_THROTTLED, now_us);
			return;
		}
		if (was_just_refused(call, now_us)) {
			give_up(call, BF_CAUSE_BUSY, now_us);
			return;
		}
	}
	refuse_if_late = count > 1 && call->busy_count + 1 < BUSY_OFFERS_MAX;
	send_offer(call, peers[chosen], refuse_if_late, now_us);
}

/*
 * Whether a call that a target may have got may be sent to one more.  If so,
 * the retry is taken from the budget.
 */
static bool
may_retry(bf_entry_call_t *call, bf_time_us_t now_us)
{
	return call->sends < call->route->attempts_max &&
	    call->offers < BF_OFFERS_MAX &&
	    call->deadline_us - now_us > BF_US_PER_MS &&
	    claim_retry(call, now_us);
}

static void
handle_refusal(
    bf_entry_call_t *call, const bf_reply_t *reply, bf_time_us_t now_us)
{
	call->cause = reply->cause;
	bf_metric_count(
	    call->mesh->metrics.offers, bf_cause_name(reply->cause), 1);
	if (reply->expected_wait_us > 0 &&
	    (call->min_wait_us == 0 ||
		reply->expected_wait_us < call->min_wait_us))
		call->min_wait_us = reply->expected_wait_us;
	if (bf_events_sampled(call->mesh->events, call->request_id))
		bf_event(call->mesh->events, BF_EVENT_BOUNCED, now_us,
		    "s:s,s:i,s:s,s:I,s:I", "call", call->request_id, "offer",
		    (int)call->offers, "cause", bf_cause_name(reply->cause),
		    "waited_us", (json_int_t)reply->waited_us, "room_in_us",
		    (json_int_t)reply->expected_wait_us);
	if (reply->cause == BF_CAUSE_BUSY)
		call->busy_count++;
	if (reply->cause == BF_CAUSE_EXPIRED) {
		give_up(call, reply->cause, now_us);
		return;
	}
	if (reply->cause == BF_CAUSE_REJECTED) {
		/* It reached a target, so the next offer is a retry. */
		call->sends++;
		if (!may_retry(call, now_us)) {
			give_up(call, reply->cause, now_us);
			return;
		}
	}
	offer_next(call, now_us);
}

/* Records that a target may have run the call, without an answer. */
static void
record_unknown(bf_entry_call_t *call, bf_cause_t cause)
{
	call->cause = cause;
	call->sends++;
	call->may_have_run = true;
	bf_metric_count(call->mesh->metrics.offers, bf_cause_name(cause), 1);
}

static void
handle_unknown(bf_entry_call_t *call, bf_cause_t cause, bf_time_us_t now_us)
{
	record_unknown(call, cause);
	if (bf_route_repeatable(call->route) && may_retry(call, now_us))
		offer_next(call, now_us);
	else
		give_up(call, cause, now_us);
}

/*
 * After an answer with a server error, tries another target if the call is
 * repeatable and there is time for it.  Returns whether it does so.
 */
static bool
retry_server_error(
    bf_entry_call_t *call, const bf_reply_t *reply, bf_time_us_t now_us)
{
	if (reply->status < 500 || reply->dependency_busy ||
	    !bf_route_repeatable(call->route) || call->kept_status != 0 ||
	    call->deadline_us - now_us < reply->spent_us ||
	    !may_retry(call, now_us))
		return false;
	call->kept_status = reply->status;
	bf_bytes_add(
	    &call->kept_fields, reply->fields, strlen(reply->fields) + 1);
	bf_bytes_add(&call->kept_body, reply->body, reply->body_bytes);
	offer_next(call, now_us);
	return true;
}

static void
handle_answer(
    bf_entry_call_t *call, const bf_reply_t *reply, bf_time_us_t now_us)
{
	bf_throttle_t *throttle = find_throttle(call->mesh, call->route);

	call->sends++;
	call->may_have_run = true;
	if (throttle != NULL)
		bf_throttle_count(throttle, reply->dependency_busy, now_us);
	bf_metric_count(call->mesh->metrics.offers,
	    reply->status < 500 ? "answered" : "failed", 1);
	if (retry_server_error(call, reply, now_us))
		return;
	if (plans_zones(call->mesh))
		bf_zones_count_answer(
		    call->mesh, call->route->name, reply->body_bytes);
	log_finished(call, reply->status,
	    reply->status < 500 ? "answered" : "failed", BF_CAUSE_NONE, now_us);
	finish(
	    call, reply->status, reply->fields, reply->body, reply->body_bytes);
}

/* Keeps when the caller of an offer left, for a reply that is on its way. */
static void
remember_cancelled(const bf_entry_call_t *call, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bf_cancelled_offer_t *entry;

	if (call->peer == NULL)
		return;
	entry = &mesh->cancelled_offers[mesh->cancelled_offers_next];
	mesh->cancelled_offers_next =
	    (mesh->cancelled_offers_next + 1) % BF_CANCELLED_OFFERS_MAX;
	entry->offer_id = call->offer_id;
	entry->cancelled_at_us = now_us;
	memcpy(entry->request_id, call->request_id, sizeof(entry->request_id));
}

/* Measures the work on a call whose caller left before this reply came. */
static void
record_unclaimed(bf_mesh_t *mesh, uint64_t offer_id, const bf_reply_t *reply,
    bf_time_us_t now_us)
{
	const bf_cancelled_offer_t *entry = NULL;
	bf_time_us_t ended_us, started_us;
	uint32_t i;

	for (i = 0; i < BF_CANCELLED_OFFERS_MAX && entry == NULL; i++) {
		if (mesh->cancelled_offers[i].offer_id == offer_id)
			entry = &mesh->cancelled_offers[i];
	}
	if (entry == NULL || reply->result == BF_CALL_RESULT_NOT_RUN)
		return;
	/* Both relative to the caller's leaving. */
	ended_us = now_us - reply->queueing_delay_us - entry->cancelled_at_us;
	started_us = ended_us - reply->spent_us;
	if (ended_us > 0)
		bf_metric_observe(mesh->metrics.left, "end", ended_us);
	if (started_us > 0)
		bf_metric_observe(mesh->metrics.left, "start", started_us);
	if (started_us > 0 ||
	    bf_events_sampled(mesh->events, entry->request_id))
		bf_event(mesh->events, BF_EVENT_UNCLAIMED, now_us,
		    "s:s,s:I,s:I,s:I", "call", entry->request_id, "left_us",
		    (json_int_t)(now_us - entry->cancelled_at_us), "waited_us",
		    (json_int_t)reply->waited_us, "spent_us",
		    (json_int_t)reply->spent_us);
}

void
bf_entry_handle_reply(bf_mesh_t *mesh, uint64_t offer_id,
    const bf_reply_t *reply, bf_time_us_t now_us)
{
	bf_entry_call_t *call;

	call = apr_hash_get(mesh->offered_calls, &offer_id, sizeof(offer_id));
	if (call == NULL) {
		record_unclaimed(mesh, offer_id, reply, now_us);
		return;
	}
	if (!call->peer->self)
		bf_path_delay_record(&call->peer->path_delay,
		    now_us - call->offered_us,
		    reply->waited_us + reply->spent_us, now_us);
	clear_offer(call);
	switch (reply->result) {
	case BF_CALL_RESULT_ANSWERED:
		handle_answer(call, reply, now_us);
		break;
	case BF_CALL_RESULT_NOT_RUN:
		handle_refusal(call, reply, now_us);
		break;
	case BF_CALL_RESULT_UNKNOWN:
		handle_unknown(call, reply->cause, now_us);
		break;
	}
}

static void
cancel_offer(bf_entry_call_t *call, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bf_peer_t *peer = call->peer;
	uint64_t offer_id = call->offer_id;
	bf_time_us_t reverse_transit_us;
	bf_mesh_link_t *link;

	if (peer == NULL)
		return;
	clear_offer(call);
	if (peer->self)
		bf_target_cancel(mesh, NULL, offer_id, now_us, now_us);
	else if ((link = peer->connected ? peer->link : peer->silent_link) !=
	    NULL) {
		if (bf_mesh_link_min_transit(link, &reverse_transit_us))
			bf_wire_write_uint(
			    &mesh->writer, (uint64_t)reverse_transit_us);
		bf_mesh_link_send(link, BF_FRAME_CANCEL, offer_id,
		    &mesh->writer, NULL, now_us);
	}
}

/*
 * Cancels an offer to a node that has gone silent and retries the call at
 * another, if it may.  Otherwise the offer stays: its answer may still arrive,
 * and ending the call would not help the caller.
 */
static void
reoffer_from_silent(bf_entry_call_t *call, bf_time_us_t now_us)
{
	static bf_candidate_t candidates[CANDIDATES_MAX];
	static bf_peer_t *peers[CANDIDATES_MAX];

	if (!bf_route_repeatable(call->route) || call->mesh->stopping ||
	    call->sends + 1 >= call->route->attempts_max ||
	    call->busy_count == BUSY_OFFERS_MAX ||
	    find_candidates(call, candidates, peers, now_us) == 0 ||
	    !may_retry(call, now_us))
		return;
	cancel_offer(call, now_us);
	record_unknown(call, BF_CAUSE_PEER_LOST);
	offer_next(call, now_us);
}

void
bf_entry_peer_lost(bf_peer_t *peer, bf_peer_loss_t loss, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = peer->mesh;
	bf_entry_call_t *call;
	apr_array_header_t *lost;
	apr_pool_t *pool;
	apr_hash_index_t *at;
	bool not_run;
	int i;

	if (apr_pool_create(&pool, mesh->pool) != APR_SUCCESS)
		return;
	/* Collect the calls first, as ending one changes the table. */
	lost = apr_array_make(pool, 16, sizeof(bf_entry_call_t *));
	for (at = apr_hash_first(pool, mesh->offered_calls); at != NULL;
	     at = apr_hash_next(at)) {
		call = apr_hash_this_val(at);
		if (call->peer == peer)
			APR_ARRAY_PUSH(lost, bf_entry_call_t *) = call;
	}
	for (i = 0; i < lost->nelts; i++) {
		call = APR_ARRAY_IDX(lost, i, bf_entry_call_t *);
		if (loss == BF_PEER_SILENT) {
			reoffer_from_silent(call, now_us);
			continue;
		}
		not_run = lacks_body(call);
		if (loss == BF_PEER_REPLACED && !not_run)
			continue; /* the peer has it still */
		cancel_offer(call, now_us);
		if (not_run) {
			call->cause = BF_CAUSE_PEER_LOST;
			offer_next(call, now_us);
		} else {
			handle_unknown(call, BF_CAUSE_PEER_LOST, now_us);
		}
	}
	apr_pool_destroy(pool);
}

static void
on_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_entry_call_t *call = BF_CONTAINER(timer, bf_entry_call_t, timeout);

	if (call->peer != NULL) {
		if (!lacks_body(call))
			call->may_have_run = true;
		cancel_offer(call, now_us);
	}
	give_up(call, BF_CAUSE_TIMEOUT, now_us);
}

/* Whether a field identifies the caller: only the mesh may set it. */
static bool
identifies_caller(const bf_entry_call_t *call, const char *name)
{
	const bf_dialect_t *dialect = call->mesh->dialect;

	return bf_routing_accounts(call->routing) != NULL &&
	    (strcasecmp(name, dialect->authorization) == 0 ||
		strcasecmp(name, dialect->account) == 0);
}

/* Writes the request head for the target, without the fields its node adds. */
static void
write_head(bf_entry_call_t *call)
{
	const bf_http_message_t *message = call->request->message;
	const bf_dialect_t *dialect = call->mesh->dialect;
	const char *name;
	uint32_t i;

	bf_bytes_format(&call->head, "%s %s HTTP/1.1\r\n",
	    http_method_str((enum http_method)message->method),
	    bf_http_target(message));
	for (i = 0; i < message->field_count; i++) {
		name = bf_http_name(message, i);
		if (bf_http_hop_by_hop(message, name) ||
		    strcasecmp(name, dialect->time_left_ms) == 0 ||
		    strcasecmp(name, dialect->expected_target) == 0 ||
		    strcasecmp(name, dialect->caller_service) == 0 ||
		    identifies_caller(call, name))
			continue;
		bf_bytes_format(
		    &call->head, "%s: %s\r\n", name, bf_http_value(message, i));
	}
	bf_bytes_format(&call->head, "%s: %s\r\n", dialect->caller_service,
	    call->mesh->service);
	if (call->account != NULL && !call->inner)
		bf_bytes_format(&call->head, "%s: %s\r\n", dialect->account,
		    call->account->name);
}

/* Refuses a request for which no call was created. */
static void
answer_without_call(bf_mesh_t *mesh, bf_http_request_t *request,
    uint32_t status, bf_cause_t cause, bf_time_us_t now_us)
{
	char field[64] = "";
	const char *id;

	id = bf_http_find(request->message, mesh->dialect->request_id);
	if (status == 401)
		(void)snprintf(field, sizeof(field), "WWW-Authenticate: %s\r\n",
		    mesh->dialect->authorization_scheme);
	if (status == 503)
		retry_after_field(mesh,
		    cause == BF_CAUSE_NO_CONFIG ? startup_wait_us(mesh, now_us)
			: cause == BF_CAUSE_STALE_KEYS ? STALE_KEYS_RETRY_US
						       : 0,
		    field, sizeof(field));
	bf_metric_count(mesh->metrics.calls, "not-run", 1);
	bf_metric_count(mesh->metrics.causes, bf_cause_name(cause), 1);
	bf_event(mesh->events, BF_EVENT_FINISHED, now_us, "s:s,s:i,s:s,s:s,s:I",
	    "call", id != NULL ? id : "", "status", (int)status, "outcome",
	    "not-run", "cause", bf_cause_name(cause), "config_version",
	    (json_int_t)(mesh->routing != NULL
		    ? bf_routing_version(mesh->routing)
		    : 0));
	bf_http_answer(request, status, field, "", 0);
}

static void
set_times(bf_entry_call_t *call, bf_time_us_t now_us)
{
	const bf_http_message_t *message = call->request->message;
	uint64_t timeout_ms, remaining_ms;

	call->began_us = call->request->head_received_at_us;
	if (call->began_us == 0 || call->began_us > now_us)
		call->began_us = now_us;
	timeout_ms = call->route->timeout_ms;
	remaining_ms = bf_http_number(
	    bf_http_find(message, call->mesh->dialect->time_left_ms),
	    timeout_ms);
	if (remaining_ms > timeout_ms)
		remaining_ms = timeout_ms;
	call->deadline_us =
	    call->began_us + (bf_time_us_t)remaining_ms * BF_US_PER_MS;
	/*
	 * A caller that retries sends a shorter time left; the objective is
	 * earlier by as much as the deadline.
	 */
	call->objective_us = call->deadline_us -
	    ((bf_time_us_t)timeout_ms - call->route->objective_ms) *
		BF_US_PER_MS;
	if (call->objective_us > call->deadline_us)
		call->objective_us = call->deadline_us;
}

/*
 * Identifies the account of a request, or answers it.  Returns whether the call
 * may be made.
 */
static bool
identify(bf_mesh_t *mesh, bf_http_request_t *request,
    const bf_mesh_route_t *route, const bf_target_call_t *parent,
    bf_identity_t *identity, bf_time_us_t now_us)
{
	const bf_account_directory_t *accounts =
	    bf_routing_accounts(mesh->routing);
	const bf_http_message_t *message = request->message;
	const char *id = bf_http_find(message, mesh->dialect->request_id);
	bf_credentials_t credentials = {
		.route_is_public = route->is_public,
		.has_parent = parent != NULL,
		.parent_account_id =
		    parent != NULL ? bf_target_call_account_id(parent) : 0,
		.names_parent = id != NULL && strchr(id, '.') != NULL,
		.keys_are_stale =
		    bf_mesh_keys_are_stale(mesh, bf_clock_boottime_us()),
	};
	uint32_t i;

	*identity = (bf_identity_t){ .inner = parent != NULL };
	if (accounts == NULL)
		return true;
	for (i = 0; i < message->field_count; i++) {
		if (strcasecmp(bf_http_name(message, i),
			mesh->dialect->authorization) == 0 &&
		    credentials.authorization_count++ == 0)
			credentials.authorization = bf_http_value(message, i);
	}
	*identity = bf_account_identify(
	    accounts, mesh->dialect->authorization_scheme, &credentials);
	switch (identity->access) {
	case BF_ACCESS_GRANTED:
		return true;
	case BF_ACCESS_NO_KEY:
		answer_without_call(
		    mesh, request, 401, BF_CAUSE_NO_KEY, now_us);
		break;
	case BF_ACCESS_NO_PARENT:
		answer_without_call(
		    mesh, request, 503, BF_CAUSE_NO_PARENT, now_us);
		break;
	case BF_ACCESS_STALE:
		answer_without_call(
		    mesh, request, 503, BF_CAUSE_STALE_KEYS, now_us);
		break;
	}
	return false;
}

/* Offers a call that its account's cap allows, or refuses it. */
static void
on_cap_decided(bf_caps_waiter_t *waiter, bool admitted, bf_time_us_t wait_us,
    bf_time_us_t now_us)
{
	bf_entry_call_t *call =
	    BF_CONTAINER(waiter, bf_entry_call_t, cap_waiter);
	bf_mesh_t *mesh = call->mesh;
	bf_retry_budget_t *budget;
	char field[64] = "";

	if (!admitted) {
		retry_after_field(mesh, wait_us, field, sizeof(field));
		log_finished(call, 429, "not-run", BF_CAUSE_OVER_CAP, now_us);
		finish(call, 429, field, "", 0);
		return;
	}
	budget = find_retry_budget(mesh, call->service);
	if (budget != NULL && call->parent_is_retry)
		bf_retry_budget_count_retry(budget, now_us);
	else if (budget != NULL)
		bf_retry_budget_count_call(budget, now_us);
	offer_next(call, now_us);
}

static void
on_request(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(server, bf_mesh_t, caller_server);
	const char *host, *id;
	bf_mesh_route_t *route;
	bf_entry_call_t *call;
	const bf_target_call_t *parent;
	bf_identity_t identity;

	if (mesh->routing == NULL) {
		answer_without_call(
		    mesh, request, 503, BF_CAUSE_NO_CONFIG, now_us);
		return;
	}
	host = bf_http_find(request->message, "Host");
	route = host != NULL ? bf_routing_match(mesh->routing, host,
				   bf_http_target(request->message))
			     : NULL;
	if (route == NULL) {
		answer_without_call(
		    mesh, request, 404, BF_CAUSE_NO_ROUTE, now_us);
		return;
	}
	id = bf_http_find(request->message, mesh->dialect->request_id);
	parent = bf_target_find_parent(mesh, id != NULL ? id : "");
	if (!identify(mesh, request, route, parent, &identity, now_us))
		return;
	if (!identity.inner)
		parent = NULL;
	call = calloc(1, sizeof(*call));
	if (call == NULL) {
		answer_without_call(
		    mesh, request, 503, BF_CAUSE_MEMORY, now_us);
		return;
	}
	call->mesh = mesh;
	call->request = request;
	call->routing = mesh->routing;
	bf_routing_hold(mesh->routing);
	call->route = route;
	call->service = bf_route_next_service(route);
	call->account = identity.account;
	(void)snprintf(call->request_id, sizeof(call->request_id), "%s",
	    id != NULL ? id : "");
	/*
	 * A call made by a target inherits the priority of the call that it
	 * serves: with the priority of its own route it could take slots from
	 * calls that operators rank above that one.
	 */
	call->inner = parent != NULL;
	call->priority = parent != NULL
	    ? bf_target_call_priority(parent)
	    : bf_account_call_priority(bf_routing_accounts(mesh->routing),
		  call->account, route->priority);
	call->parent_is_retry =
	    parent != NULL && bf_target_call_is_retry(parent);
	request->user = call;
	mesh->entry_call_count++;
	set_times(call, now_us);
	call->timeout.fire = on_timeout;
	bf_loop_timer_set(
	    mesh->loop, &call->timeout, call->deadline_us + ANSWER_GRACE_US);
	write_head(call);
	if (call->inner)
		bf_target_parent_blocked(mesh, call->request_id, true, now_us);
	call->cap_waiter.decided = on_cap_decided;
	/* The calls of targets are not counted. */
	bf_caps_admit(mesh->caps, call->inner ? NULL : call->account,
	    &call->cap_waiter, (call->deadline_us - now_us) / CAP_WAIT_DIVISOR,
	    now_us);
}

static void
on_abandoned(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(server, bf_mesh_t, caller_server);
	bf_entry_call_t *call = request->user;

	bf_metric_count(mesh->metrics.calls, "abandoned", 1);
	/* A target abandons a call only if the call that it serves fails. */
	if (call->inner || bf_events_sampled(mesh->events, call->request_id))
		bf_event(mesh->events, BF_EVENT_CANCELLED, now_us,
		    "s:s,s:s,s:I,s:s,s:b,s:i,s:s", "call", call->request_id,
		    "at", "entry", "after_us",
		    (json_int_t)(now_us - call->began_us), "route",
		    call->route->name, "inner", (int)call->inner, "offers",
		    (int)call->offers, "peer",
		    call->peer != NULL ? call->peer->instance : "");
	remember_cancelled(call, now_us);
	cancel_offer(call, now_us);
	if (call->inner)
		bf_target_parent_blocked(mesh, call->request_id, false, now_us);
	free_call(call);
}

/* While a crowd is there, it is logged once a second. */
static void
log_crowd(bf_mesh_t *mesh, const char *change, bf_time_us_t now_us)
{
	bf_event(mesh->events, BF_EVENT_CROWD, now_us,
	    "s:s,s:I,s:i,s:i,s:I,s:I", "change", change, "refused",
	    (json_int_t)mesh->crowd.count, "connections",
	    (int)mesh->caller_server.conn_count, "connections_max",
	    (int)mesh->caller_server.conn_max, "held_bytes",
	    (json_int_t)mesh->memory.held_bytes, "limit_bytes",
	    (json_int_t)mesh->memory.limit_bytes);
}

static void
on_crowd_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(timer, bf_mesh_t, crowd_timer);

	if (bf_crowd_end(&mesh->crowd, now_us)) {
		log_crowd(mesh, "ends", now_us);
		return;
	}
	log_crowd(mesh, "lasts", now_us);
	bf_loop_timer_set(mesh->loop, timer, now_us + BF_US_PER_S);
}

static void
note_crowd(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	if (!bf_crowd_add(&mesh->crowd, now_us))
		return;
	log_crowd(mesh, "begins", now_us);
	mesh->crowd_timer.fire = on_crowd_timer;
	bf_loop_timer_set(mesh->loop, &mesh->crowd_timer, now_us + BF_US_PER_S);
}

static void
on_body_refused(bf_http_server_t *server, bf_http_refusal_t reason,
    const struct sockaddr_in *from, bf_time_us_t now_us)
{
	static const char *const names[] = { "memory", "slow", "too-long",
		"unread", "crowded" };
	bf_mesh_t *mesh = BF_CONTAINER(server, bf_mesh_t, caller_server);
	char address[INET_ADDRSTRLEN] = "";

	(void)inet_ntop(AF_INET, &from->sin_addr, address, sizeof(address));
	bf_metric_count(mesh->metrics.refused_bodies, names[reason], 1);
	bf_event(mesh->events, BF_EVENT_BODY_REFUSED, now_us, "s:s,s:s,s:I,s:I",
	    "reason", names[reason], "from", address, "held_bytes",
	    (json_int_t)mesh->memory.held_bytes, "limit_bytes",
	    (json_int_t)mesh->memory.limit_bytes);
	note_crowd(mesh, now_us);
}

static const bf_http_server_vtable_t callers_vtable = {
	.body_refused = on_body_refused,
	.request = on_request,
	.abandoned = on_abandoned,
};

/* Limits until the first configuration is in force. */
#define HEAD_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT (UINT64_C(64) << 20)
#define HEAD_TIMEOUT_DEFAULT_US (3 * BF_US_PER_S)
#define IDLE_TIMEOUT_DEFAULT_US (15 * BF_US_PER_S)

bf_code_t
bf_entry_open(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err)
{
	bf_connection_limit_t limit = bf_connection_limit(
	    &mesh->machine, 0, mesh->options.connections_max);

	mesh->caller_server.vtable = &callers_vtable;
	mesh->caller_server.budget = &mesh->memory;
	mesh->caller_server.conn_max = limit.connections;
	mesh->caller_server.listener.backlog = limit.backlog;
	mesh->caller_server.listener.buffer_bytes = BF_CONNECTION_BUFFER_BYTES;
	mesh->caller_server.limits = (bf_http_limits_t){
		.head_bytes = HEAD_BYTES_DEFAULT,
		.body_bytes = BODY_BYTES_DEFAULT,
		.head_timeout_us = HEAD_TIMEOUT_DEFAULT_US,
		.idle_timeout_us = IDLE_TIMEOUT_DEFAULT_US,
	};
	mesh->caller_server.listener.name = "callers";
	mesh->caller_server.listener.observer = &mesh->listener_observer;
	return bf_http_server_open(&mesh->caller_server, mesh->loop,
	    &mesh->options.caller_listen, now_us, err);
}
