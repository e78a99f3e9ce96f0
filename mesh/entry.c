#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <apr_tables.h>

#include "mesh/internal.h"

/*
 * Calls that entered at this node: the route, the offers to nodes beside
 * targets, and the one answer.
 *
 * A node that refuses an offer says that it has not run, so the next is asked
 * at once and at no cost to the shared budget of repeats.  What may have run
 * is repeated only where the route allows it and the budget has room.
 */

/* Nodes asked before a call is refused for want of room. */
#define BUSY_OFFERS_MAX 3
/* The target's own word at the deadline is waited for this long. */
#define LATE_US (60 * BF_US_PER_MS)
/* Network time to a node and back, in the own zone and beyond. */
#define NEAR_US 300
#define FAR_US 2500
/* When no node said when there is room. */
#define RETRY_AFTER_US (100 * BF_US_PER_MS)
#define RETRY_AFTER_MIN_US (30 * BF_US_PER_MS)
/*
 * Part of the shared budget that the nodes use together: calls are fewer in the
 * window that is looked at than in that of a node, by up to a third, while
 * they fall from a peak.
 */
#define BUDGET_PART 0.7
#define PPM 1000000.0
/*
 * A call stays in its zone while it is expected to end there within the first
 * part of its objective and no longer than the second part later than
 * elsewhere; a long body, which costs the most bytes, the third.
 */
#define NEAR_SHARE 0.85
#define NEAR_LONGER 0.6
#define NEAR_LONGER_LONG_BODY 0.8
#define LONG_BODY_BYTES 8192
#define PLACES_MAX 512

struct bf_entry_call {
	bf_mesh_t *mesh;
	bf_http_request_t *request;
	bf_routing_t *routing;
	bf_mesh_route_t *route;
	const char *service;
	char request_id[BF_REQUEST_ID_BYTES];
	bf_time_us_t began_us;
	bf_time_us_t deadline_us;
	bf_time_us_t objective_us;
	uint32_t priority;
	bool inner;
	bool of_repeat; /* made by a run that was a repeat */
	bool may_have_run;
	uint32_t sends; /* that reached a target, perhaps */
	uint32_t offers;
	uint32_t busy; /* offers refused for want of room */
	bf_peer_t *tried[BF_OFFERS_MAX];
	bf_peer_t *peer; /* that has the offer; NULL: none */
	uint64_t offer;
	bf_time_us_t offered_us;
	bf_cause_t cause;     /* of the last offer that failed */
	bf_time_us_t room_us; /* least expected time to room */
	bf_bytes_t head;
	bf_timer_t timeout;
	/* A target's failure, kept in case that a repeat brings no better. */
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
		"no-route", "no-place", "memory", "starving" };

	return names[cause];
}

static void
end_offer(bf_entry_call_t *call)
{
	if (call->peer == NULL)
		return;
	apr_hash_set(
	    call->mesh->offered_calls, &call->offer, sizeof(call->offer), NULL);
	call->peer->outstanding_offers--;
	call->peer = NULL;
}

static void
free_call(bf_entry_call_t *call)
{
	bf_mesh_t *mesh = call->mesh;

	end_offer(call);
	bf_loop_timer_cancel(mesh->loop, &call->timeout);
	bf_routing_release(call->routing);
	bf_bytes_free(&call->head);
	bf_bytes_free(&call->kept_fields);
	bf_bytes_free(&call->kept_body);
	mesh->entry_call_count--;
	bf_loop_release(mesh->loop, call);
}

/* One line a call that was sampled or did not go well. */
static void
log_end(const bf_entry_call_t *call, uint32_t status, const char *outcome,
    bf_cause_t cause, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bool late = now_us > call->objective_us;

	bf_metric_count(mesh->metrics.calls, outcome, 1);
	if (cause != BF_CAUSE_NONE)
		bf_metric_count(mesh->metrics.causes, bf_cause_name(cause), 1);
	bf_metric_time(
	    mesh->metrics.latency, call->service, now_us - call->began_us);
	if (status < 400 && !bf_events_sampled(mesh->events, call->request_id))
		return;
	bf_event(mesh->events, BF_EVENT_FINISHED, now_us,
	    "s:s,s:s,s:s,s:i,s:s,s:s,s:b,s:I,s:I,s:i,s:i,s:b,s:I", "call",
	    call->request_id, "route", call->route->name, "service",
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

/* A pause that spreads the returns of callers that were refused together. */
static bf_time_us_t
retry_after_us(bf_mesh_t *mesh, bf_time_us_t room_us)
{
	bf_time_us_t pause_us = room_us > 0 ? room_us : RETRY_AFTER_US;

	if (pause_us < RETRY_AFTER_MIN_US)
		pause_us = RETRY_AFTER_MIN_US;
	return pause_us +
	    (bf_time_us_t)(bf_place_random(&mesh->random) % (uint64_t)pause_us);
}

static void
retry_after_field(
    bf_mesh_t *mesh, bf_time_us_t room_us, char *field, size_t bytes)
{
	(void)snprintf(field, bytes, "Retry-After: %.3f\r\n",
	    (double)retry_after_us(mesh, room_us) / BF_US_PER_S);
}

/* Ends a call with the failure of the first target that ran it. */
static void
answer_kept(bf_entry_call_t *call, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_bytes_t fields = call->kept_fields, body = call->kept_body;

	/* The call is freed before its answer is written. */
	call->kept_fields = (bf_bytes_t){ 0 };
	call->kept_body = (bf_bytes_t){ 0 };
	log_end(call, call->kept_status, "failed", cause, now_us);
	finish(call, call->kept_status, (const char *)bf_bytes_at(&fields),
	    bf_bytes_at(&body), bf_bytes_count(&body));
	bf_bytes_free(&fields);
	bf_bytes_free(&body);
}

/* Ends a call without an answer of a target. */
static void
give_up(bf_entry_call_t *call, bf_cause_t cause, bf_time_us_t now_us)
{
	char field[64] = "";
	uint32_t status;

	if (call->kept_status != 0) {
		answer_kept(call, cause, now_us);
		return;
	}
	if (!call->may_have_run) {
		if (call->inner && cause == BF_CAUSE_BUSY)
			bf_target_mark_starved(call->mesh, call->request_id);
		retry_after_field(
		    call->mesh, call->room_us, field, sizeof(field));
		log_end(call, 503, "not-run", cause, now_us);
		finish(call, 503, field, "", 0);
		return;
	}
	status = cause == BF_CAUSE_TIMEOUT ? 504 : 502;
	log_end(call, status, "unknown", cause, now_us);
	finish(call, status, field, "", 0);
}

static bf_repeats_t *
repeats_of(bf_mesh_t *mesh, const char *service)
{
	bf_service_budget_t *entry;
	uint32_t i;

	for (i = 0; i < mesh->budget_count; i++) {
		if (strcmp(mesh->budgets[i].service, service) == 0)
			return &mesh->budgets[i].repeats;
	}
	if (mesh->budget_count == BF_SERVICES_MAX)
		return NULL;
	entry = &mesh->budgets[mesh->budget_count++];
	(void)snprintf(entry->service, sizeof(entry->service), "%s", service);
	bf_repeats_init(
	    &entry->repeats, mesh->options.retry_window_ms * BF_US_PER_MS);
	return &entry->repeats;
}

static bf_throttle_t *
throttle_of(bf_mesh_t *mesh, const bf_mesh_route_t *route)
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

/* Uniform from 0 to below 1. */
static double
random_share(bf_mesh_t *mesh)
{
	return (double)(bf_place_random(&mesh->random) >> 11) * 0x1p-53;
}

static bool
take_repeat(bf_entry_call_t *call, bf_time_us_t now_us)
{
	const bf_mesh_t *mesh = call->mesh;
	bf_repeats_t *repeats = repeats_of(call->mesh, call->service);
	double share = BUDGET_PART * mesh->options.retry_share_ppm / PPM;
	double extra =
	    BUDGET_PART * mesh->options.retry_burst / mesh->peer_count;
	bool granted;

	granted =
	    repeats != NULL && bf_repeats_take(repeats, share, extra, now_us);
	bf_metric_count(
	    mesh->metrics.repeats, granted ? "granted" : "denied", 1);
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

static bool
takes_version(const char *version, const char *wanted, int which)
{
	if (which == 0)
		return true;
	return (strcmp(version, wanted) == 0) == (which > 0);
}

/* There and back: by the zone at least, and as long as it took of late. */
static uint32_t
distance_us(const bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_time_us_t least_us = peer->same_zone ? NEAR_US : FAR_US;
	bf_time_us_t lately_us;

	if (peer->self)
		return 0;
	lately_us = bf_path_delay_now(&peer->path_delay, now_us);
	return (uint32_t)(lately_us > least_us ? lately_us : least_us);
}

/* The places that a call may be offered to. */
static size_t
list_places(bf_entry_call_t *call, const char *version, int which,
    bool unproven, bf_place_t *places, bf_peer_t **peers, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	const bf_node_state_t *state;
	bf_node_state_t own;
	size_t count = 0;
	bf_peer_t *peer;

	for (peer = mesh->peers; peer != NULL && count < PLACES_MAX;
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
		    (peer->version_unconfirmed && !unproven) ||
		    !takes_version(state->version, version, which) ||
		    was_tried(call, peer))
			continue;
		places[count] = (bf_place_t){
			.slots = state->load.slots,
			.running = state->load.running,
			.waiting = state->load.waiting,
			.sent = peer->self ? 0 : peer->offers_since_report,
			.mean_us = state->load.mean_us,
			.failing_ppm = state->load.failing_ppm,
			.distance_us = distance_us(peer, now_us),
			.near = peer->same_zone,
			.doubtful = peer->silent,
		};
		peers[count++] = peer;
	}
	return count;
}

/*
 * Places of the version that a move gives the call to; if there are none, of
 * the others, but never of a version that was taken back.
 */
static size_t
find_places(bf_entry_call_t *call, bf_place_t *places, bf_peer_t **peers,
    bf_time_us_t now_us)
{
	const char *version = "";
	size_t count;
	int which;

	which = bf_movement_choose_version(call->mesh, call->service, &version);
	count = list_places(call, version, which, false, places, peers, now_us);
	if (count == 0 && which > 0)
		count = list_places(
		    call, version, -which, false, places, peers, now_us);
	if (count == 0 && which == 0)
		count = list_places(
		    call, version, which, true, places, peers, now_us);
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
send_offer(
    bf_entry_call_t *call, bf_peer_t *peer, bool on_time, bf_time_us_t now_us)
{
	const bf_http_message_t *message = call->request->message;
	bf_mesh_t *mesh = call->mesh;
	bf_offer_t offer = {
		.request_id = call->request_id,
		.route = call->route->name,
		.inner = call->inner,
		.repeatable = bf_route_repeatable(call->route),
		.refuse_if_late = on_time,
		.is_head = message->method == HTTP_HEAD,
		.is_repeat = call->sends > 0 || call->of_repeat,
		.priority = call->priority,
		.remaining_us = call->deadline_us - now_us,
		.objective_remaining_us = call->objective_us - now_us,
		.head = &call->head,
		.body = message->body.data + message->body.start,
		.body_bytes = bf_bytes_count(&message->body),
		.has_body = has_body(message),
	};

	call->offer = ++mesh->last_offer;
	offer.id = call->offer;
	call->tried[call->offers++] = peer;
	call->peer = peer;
	call->offered_us = now_us;
	peer->outstanding_offers++;
	apr_hash_set(
	    mesh->offered_calls, &call->offer, sizeof(call->offer), call);
	if (bf_events_sampled(mesh->events, call->request_id))
		bf_event(mesh->events, BF_EVENT_PLACED, now_us,
		    "s:s,s:s,s:i,s:s,s:i,s:i,s:i,s:I,s:b", "call",
		    call->request_id, "peer", peer->instance, "offer",
		    (int)call->offers, "target", peer->state.target, "running",
		    (int)peer->state.load.running, "waiting",
		    (int)peer->state.load.waiting, "sent",
		    (int)peer->offers_since_report, "load_age_us",
		    (json_int_t)(peer->self ? 0
					    : now_us - peer->link->heard_us),
		    "on_time", (int)on_time);
	peer->offers_since_report++;
	if (peer->self) {
		offer.target_id = mesh->target.heartbeat.id;
		bf_target_offer(mesh, NULL, &offer, now_us);
		return;
	}
	offer.target_id = peer->state.target;
	bf_wire_write_offer(&mesh->writer, &offer);
	bf_mesh_link_send(peer->link, BF_FRAME_CALL, offer.id, &mesh->writer,
	    &message->body, now_us);
}

/*
 * Whether a call that has to wait for a slot should not be begun, since too
 * many runs of its route fail for want of room at what they call.  While there
 * are free slots nothing is lost by a try.
 */
static bool
works_in_vain(bf_entry_call_t *call, bf_time_us_t now_us)
{
	bf_throttle_t *throttle = throttle_of(call->mesh, call->route);

	return !call->inner && call->offers == 0 && throttle != NULL &&
	    bf_throttle_refuses(throttle, random_share(call->mesh), now_us);
}

/* What the call may lose for the sake of bytes between zones. */
static bf_near_t
near_of(const bf_entry_call_t *call, bf_time_us_t now_us)
{
	bool is_long =
	    bf_bytes_count(&call->request->message->body) > LONG_BODY_BYTES;
	double left_us = (double)(call->objective_us - now_us);

	if (left_us < 0)
		left_us = 0;
	return (bf_near_t){
		.end_us = (bf_time_us_t)(NEAR_SHARE * left_us),
		.longer_us = (bf_time_us_t)((is_long ? NEAR_LONGER_LONG_BODY
						     : NEAR_LONGER) *
		    left_us),
	};
}

/* Offers the call to the next node, or gives it up. */
static void
place(bf_entry_call_t *call, bf_time_us_t now_us)
{
	static bf_place_t places[PLACES_MAX];
	static bf_peer_t *peers[PLACES_MAX];
	size_t count, chosen;
	bf_near_t near;
	bool on_time;

	if (now_us >= call->deadline_us) {
		give_up(call, BF_CAUSE_EXPIRED, now_us);
		return;
	}
	/* What might not end before this process does is not begun. */
	if (call->mesh->stopping &&
	    call->deadline_us + LATE_US >
		bf_mesh_stop_deadline_us(call->mesh)) {
		give_up(call, BF_CAUSE_DRAINING, now_us);
		return;
	}
	count = find_places(call, places, peers, now_us);
	if (count == 0 || call->offers == BF_OFFERS_MAX ||
	    call->busy == BUSY_OFFERS_MAX) {
		give_up(call,
		    call->offers > 0 ? call->cause : BF_CAUSE_NO_PLACE, now_us);
		return;
	}
	near = near_of(call, now_us);
	chosen = bf_place_choose(places, count, &near, &call->mesh->random);
	if (places[chosen].running + places[chosen].waiting >=
		places[chosen].slots &&
	    works_in_vain(call, now_us)) {
		give_up(call, BF_CAUSE_STARVING, now_us);
		return;
	}
	on_time = count > 1 && call->busy + 1 < BUSY_OFFERS_MAX;
	send_offer(call, peers[chosen], on_time, now_us);
}

/* Whether one more target may be sent a call that a target has, or had. */
static bool
may_repeat(bf_entry_call_t *call, bf_time_us_t now_us)
{
	return call->sends < call->route->attempts &&
	    call->offers < BF_OFFERS_MAX &&
	    call->deadline_us - now_us > BF_US_PER_MS &&
	    take_repeat(call, now_us);
}

static void
take_refusal(
    bf_entry_call_t *call, const bf_reply_t *reply, bf_time_us_t now_us)
{
	call->cause = reply->cause;
	bf_metric_count(
	    call->mesh->metrics.offers, bf_cause_name(reply->cause), 1);
	if (reply->expected_wait_us > 0 &&
	    (call->room_us == 0 || reply->expected_wait_us < call->room_us))
		call->room_us = reply->expected_wait_us;
	if (bf_events_sampled(call->mesh->events, call->request_id))
		bf_event(call->mesh->events, BF_EVENT_BOUNCED, now_us,
		    "s:s,s:i,s:s,s:I,s:I", "call", call->request_id, "offer",
		    (int)call->offers, "cause", bf_cause_name(reply->cause),
		    "waited_us", (json_int_t)reply->waited_us, "room_in_us",
		    (json_int_t)reply->expected_wait_us);
	if (reply->cause == BF_CAUSE_BUSY)
		call->busy++;
	if (reply->cause == BF_CAUSE_EXPIRED) {
		give_up(call, reply->cause, now_us);
		return;
	}
	if (reply->cause == BF_CAUSE_REJECTED) {
		/* It reached a target, which makes the next one a repeat. */
		call->sends++;
		if (!may_repeat(call, now_us)) {
			give_up(call, reply->cause, now_us);
			return;
		}
	}
	place(call, now_us);
}

/* A target may have run it, and there is no answer. */
static void
note_unknown(bf_entry_call_t *call, bf_cause_t cause)
{
	call->cause = cause;
	call->sends++;
	call->may_have_run = true;
	bf_metric_count(call->mesh->metrics.offers, bf_cause_name(cause), 1);
}

static void
take_unknown(bf_entry_call_t *call, bf_cause_t cause, bf_time_us_t now_us)
{
	note_unknown(call, cause);
	if (bf_route_repeatable(call->route) && may_repeat(call, now_us))
		place(call, now_us);
	else
		give_up(call, cause, now_us);
}

/*
 * A target's own failure: another target may do better, where a repeat does
 * no harm and there is time for it.
 */
static bool
repeat_failure(
    bf_entry_call_t *call, const bf_reply_t *reply, bf_time_us_t now_us)
{
	if (reply->status < 500 || reply->starved ||
	    !bf_route_repeatable(call->route) || call->kept_status != 0 ||
	    call->deadline_us - now_us < reply->spent_us ||
	    !may_repeat(call, now_us))
		return false;
	call->kept_status = reply->status;
	bf_bytes_add(
	    &call->kept_fields, reply->fields, strlen(reply->fields) + 1);
	bf_bytes_add(&call->kept_body, reply->body, reply->body_bytes);
	place(call, now_us);
	return true;
}

static void
take_answer(bf_entry_call_t *call, const bf_reply_t *reply, bf_time_us_t now_us)
{
	bf_throttle_t *throttle = throttle_of(call->mesh, call->route);

	call->sends++;
	call->may_have_run = true;
	if (throttle != NULL)
		bf_throttle_count(throttle, reply->starved, now_us);
	bf_metric_count(call->mesh->metrics.offers,
	    reply->status < 500 ? "answered" : "failed", 1);
	if (repeat_failure(call, reply, now_us))
		return;
	log_end(call, reply->status,
	    reply->status < 500 ? "answered" : "failed", BF_CAUSE_NONE, now_us);
	finish(
	    call, reply->status, reply->fields, reply->body, reply->body_bytes);
}

void
bf_entry_handle_reply(bf_mesh_t *mesh, uint64_t offer, const bf_reply_t *reply,
    bf_time_us_t now_us)
{
	bf_entry_call_t *call;

	call = apr_hash_get(mesh->offered_calls, &offer, sizeof(offer));
	if (call == NULL)
		return; /* given up meanwhile */
	if (!call->peer->self)
		bf_path_delay_count(&call->peer->path_delay,
		    now_us - call->offered_us,
		    reply->waited_us + reply->spent_us, now_us);
	end_offer(call);
	switch (reply->result) {
	case BF_CALL_RESULT_ANSWERED:
		take_answer(call, reply, now_us);
		break;
	case BF_CALL_RESULT_NOT_RUN:
		take_refusal(call, reply, now_us);
		break;
	case BF_CALL_RESULT_UNKNOWN:
		take_unknown(call, reply->cause, now_us);
		break;
	}
}

static void
cancel_offer(bf_entry_call_t *call, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bf_peer_t *peer = call->peer;
	uint64_t offer = call->offer;

	if (peer == NULL)
		return;
	end_offer(call);
	if (peer->self)
		bf_target_cancel(mesh, NULL, offer, now_us);
	else if (peer->connected)
		bf_mesh_link_send(
		    peer->link, BF_FRAME_CANCEL, offer, NULL, NULL, now_us);
}

/*
 * Takes a call away from a node that says nothing, if another may have it.
 * Else it stays: its answer may still come, and an end would not help.
 */
static void
move_from_silent(bf_entry_call_t *call, bf_time_us_t now_us)
{
	static bf_place_t places[PLACES_MAX];
	static bf_peer_t *peers[PLACES_MAX];

	if (!bf_route_repeatable(call->route) || call->mesh->stopping ||
	    call->sends + 1 >= call->route->attempts ||
	    call->busy == BUSY_OFFERS_MAX ||
	    find_places(call, places, peers, now_us) == 0 ||
	    !may_repeat(call, now_us))
		return;
	cancel_offer(call, now_us);
	note_unknown(call, BF_CAUSE_PEER_LOST);
	place(call, now_us);
}

void
bf_entry_peer_lost(bf_peer_t *peer, bool gone, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = peer->mesh;
	bf_entry_call_t *call;
	apr_array_header_t *lost;
	apr_pool_t *pool;
	apr_hash_index_t *at;
	int i;

	if (apr_pool_create(&pool, mesh->pool) != APR_SUCCESS)
		return;
	/* Collected first: ending a call changes the table. */
	lost = apr_array_make(pool, 16, sizeof(bf_entry_call_t *));
	for (at = apr_hash_first(pool, mesh->offered_calls); at != NULL;
	     at = apr_hash_next(at)) {
		call = apr_hash_this_val(at);
		if (call->peer == peer)
			APR_ARRAY_PUSH(lost, bf_entry_call_t *) = call;
	}
	for (i = 0; i < lost->nelts; i++) {
		call = APR_ARRAY_IDX(lost, i, bf_entry_call_t *);
		if (!gone) {
			move_from_silent(call, now_us);
			continue;
		}
		cancel_offer(call, now_us);
		take_unknown(call, BF_CAUSE_PEER_LOST, now_us);
	}
	apr_pool_destroy(pool);
}

static void
on_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_entry_call_t *call = BF_CONTAINER(timer, bf_entry_call_t, timeout);

	if (call->peer != NULL) {
		cancel_offer(call, now_us);
		call->may_have_run = true;
	}
	give_up(call, BF_CAUSE_TIMEOUT, now_us);
}

/* The request as the target is to get it, but for what its node adds. */
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
		    strcasecmp(name, dialect->caller_service) == 0)
			continue;
		bf_bytes_format(
		    &call->head, "%s: %s\r\n", name, bf_http_value(message, i));
	}
	bf_bytes_format(&call->head, "%s: %s\r\n", dialect->caller_service,
	    call->mesh->service);
}

/* Answers a request that no call is made of. */
static void
answer_own(bf_mesh_t *mesh, bf_http_request_t *request, uint32_t status,
    bf_cause_t cause, bf_time_us_t now_us)
{
	char field[64] = "";
	const char *id;

	id = bf_http_find(request->message, mesh->dialect->request_id);
	if (status == 503)
		retry_after_field(mesh, 0, field, sizeof(field));
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
	uint64_t timeout_ms, left_ms;

	call->began_us = call->request->began_us;
	if (call->began_us == 0 || call->began_us > now_us)
		call->began_us = now_us;
	timeout_ms = call->route->timeout_ms;
	left_ms = bf_http_number(
	    bf_http_find(message, call->mesh->dialect->time_left_ms),
	    timeout_ms);
	if (left_ms > timeout_ms)
		left_ms = timeout_ms;
	call->deadline_us =
	    call->began_us + (bf_time_us_t)left_ms * BF_US_PER_MS;
	/* A caller that came back has used up part of its objective. */
	call->objective_us = call->deadline_us -
	    ((bf_time_us_t)timeout_ms - call->route->objective_ms) *
		BF_US_PER_MS;
	if (call->objective_us > call->deadline_us)
		call->objective_us = call->deadline_us;
}

static void
on_request(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(server, bf_mesh_t, caller_server);
	const char *host, *id;
	bf_mesh_route_t *route;
	bf_entry_call_t *call;
	const bf_target_call_t *maker;
	bf_repeats_t *repeats;

	if (mesh->routing == NULL) {
		answer_own(mesh, request, 503, BF_CAUSE_NO_CONFIG, now_us);
		return;
	}
	host = bf_http_find(request->message, "Host");
	route = host != NULL ? bf_routing_match(mesh->routing, host,
				   bf_http_target(request->message))
			     : NULL;
	if (route == NULL) {
		answer_own(mesh, request, 404, BF_CAUSE_NO_ROUTE, now_us);
		return;
	}
	call = calloc(1, sizeof(*call));
	if (call == NULL) {
		answer_own(mesh, request, 503, BF_CAUSE_MEMORY, now_us);
		return;
	}
	call->mesh = mesh;
	call->request = request;
	call->routing = mesh->routing;
	bf_routing_hold(mesh->routing);
	call->route = route;
	call->service = bf_route_service(route);
	id = bf_http_find(request->message, mesh->dialect->request_id);
	(void)snprintf(call->request_id, sizeof(call->request_id), "%s",
	    id != NULL ? id : "");
	/*
	 * A call that a target makes ranks as the one that needs it: it would
	 * otherwise take room from what operators rank above that one.
	 */
	maker = bf_target_find_parent(mesh, call->request_id);
	call->inner = maker != NULL;
	call->priority =
	    maker != NULL ? bf_target_call_priority(maker) : route->priority;
	call->of_repeat = maker != NULL && bf_target_call_is_repeat(maker);
	request->user = call;
	mesh->entry_call_count++;
	set_times(call, now_us);
	call->timeout.fire = on_timeout;
	bf_loop_timer(mesh->loop, &call->timeout, call->deadline_us + LATE_US);
	write_head(call);
	repeats = repeats_of(mesh, call->service);
	if (repeats != NULL && call->of_repeat)
		bf_repeats_charge(repeats, now_us);
	else if (repeats != NULL)
		bf_repeats_count_call(repeats, now_us);
	place(call, now_us);
}

static void
on_abandoned(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(server, bf_mesh_t, caller_server);
	bf_entry_call_t *call = request->user;

	bf_metric_count(mesh->metrics.calls, "abandoned", 1);
	/* A target gives a call up only when the one that needs it fails. */
	if (call->inner || bf_events_sampled(mesh->events, call->request_id))
		bf_event(mesh->events, BF_EVENT_CANCELLED, now_us,
		    "s:s,s:s,s:I,s:s,s:b,s:i,s:s", "call", call->request_id,
		    "at", "entry", "after_us",
		    (json_int_t)(now_us - call->began_us), "route",
		    call->route->name, "inner", (int)call->inner, "offers",
		    (int)call->offers, "peer",
		    call->peer != NULL ? call->peer->instance : "");
	cancel_offer(call, now_us);
	free_call(call);
}

static const bf_http_server_vtable_t callers_vtable = {
	.request = on_request,
	.abandoned = on_abandoned,
};

/* Limits until a configuration is known. */
#define HEAD_BYTES_FIRST 16384
#define BODY_BYTES_FIRST (UINT64_C(64) << 20)
#define HEAD_FIRST_US (3 * BF_US_PER_S)
#define IDLE_FIRST_US (15 * BF_US_PER_S)

bf_code_t
bf_entry_open(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err)
{
	mesh->caller_server.vtable = &callers_vtable;
	mesh->caller_server.conn_max = mesh->options.connections_max;
	mesh->caller_server.limits = (bf_http_limits_t){
		.head_bytes = HEAD_BYTES_FIRST,
		.body_bytes = BODY_BYTES_FIRST,
		.head_us = HEAD_FIRST_US,
		.idle_us = IDLE_FIRST_US,
	};
	return bf_http_server_open(&mesh->caller_server, mesh->loop,
	    &mesh->options.caller_listen, now_us, err);
}
