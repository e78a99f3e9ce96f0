#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/address.h"
#include "mesh/internal.h"

/* Interval at which a changed load is reported to nodes of the own zone. */
#define TICK_US (40 * BF_US_PER_MS)
/* Longer with many peers, so that reports cost less than 1 % of a core. */
#define TICK_PER_PEER_US (2 * BF_US_PER_MS)

/*
 * A node that reports more seldom, and holds calls of this node, is probed once
 * it has sent nothing for PROBE_AFTER_US.  Without a response within
 * PROBE_TIMEOUT_US it counts as silent, about as soon as a node of a small
 * zone.
 */
#define PROBE_AFTER_US (250 * BF_US_PER_MS)
#define PROBE_TIMEOUT_US (550 * BF_US_PER_MS)

#define CONNECT_TIMEOUT_US BF_US_PER_S
/*
 * A node that has ended is listed until its lease ends, and all others dial it.
 * The delay between their attempts doubles, less a random part of up to one
 * half.  One that starts again dials them itself, and is dialled at once then.
 */
#define REDIAL_FIRST_US (100 * BF_US_PER_MS)
#define REDIAL_MAX_US (8 * BF_US_PER_S)
/* Failures that a node counts as having when it has announced its stop. */
#define REDIAL_FAILURES_STOPPED 5
/* A peer neither connected nor listed by the store for this long is removed. */
#define REMOVE_AFTER_US (5 * BF_US_PER_S)
/*
 * Delay before a newer configuration is requested from a peer, as the relays of
 * the own zone send most of them without a request: somewhat over the pause
 * between their watches of the store, and more if it would be sent between
 * zones.
 */
#define CONFIG_REQUEST_DELAY_US (500 * BF_US_PER_MS)
#define CONFIG_REQUEST_DELAY_OTHER_ZONES_US (1200 * BF_US_PER_MS)
/*
 * For this time after the delay, it is not requested from a node if another one
 * that has it has a much wider link.
 */
#define WIDE_LINKS_ONLY_US (700 * BF_US_PER_MS)
/* The next request follows after one to two times this. */
#define CONFIG_RETRY_US (300 * BF_US_PER_MS)
/*
 * After its start a node without a configuration requests one from relays only
 * for this long, preferably of its own zone: their links are the fastest, and a
 * slow one carries a whole configuration to few nodes in that time.  A node
 * that reads the store itself has it by then.
 */
#define CONFIG_RELAYS_ONLY_US BF_US_PER_S
/* A received frame whose transit took this much longer than usual is logged. */
#define FRAME_LATE_US (200 * BF_US_PER_MS)
/*
 * Stands for an unknown reverse transit time in a frame that has further
 * fields.  Any transit time added to it is negative, so a node of before those
 * fields uses the queueing delay instead, as without a reverse transit time.
 */
#define REVERSE_TRANSIT_UNKNOWN ((uint64_t)(INT64_MIN / 2))

static void dial(bf_peer_t *peer, bf_time_us_t now_us);
static void remove_peer(bf_peer_t *peer, bf_time_us_t now_us);

bf_peer_t *
bf_roster_find(bf_mesh_t *mesh, const char *instance)
{
	bf_peer_t *peer;

	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (strcmp(peer->instance, instance) == 0)
			return peer;
	}
	return NULL;
}

static void
apply_load(bf_peer_t *peer, const bf_load_t *load)
{
	peer->state.load = *load;
	peer->offers_since_report = 0;
}

/* Whether this node may request its first configuration from this peer. */
static bool
may_serve_first_config(const bf_peer_t *peer)
{
	const bf_peer_t *other;

	if (peer->mesh->relay || !peer->state.relay)
		return false;
	for (other = peer->mesh->peers; !peer->in_own_zone && other != NULL;
	     other = other->next) {
		if (!other->self && other->in_own_zone && other->connected &&
		    other->state.relay && other->state.config_version > 0)
			return false;
	}
	return true;
}

/*
 * Whether another node that can send the same configuration has a much wider
 * link.
 */
static bool
has_thin_link(const bf_peer_t *peer)
{
	const bf_peer_t *other;

	for (other = peer->mesh->peers; other != NULL; other = other->next) {
		if (!other->self && bf_roster_is_live(other) &&
		    (other->in_own_zone || !peer->in_own_zone) &&
		    other->state.config_version >= peer->state.config_version &&
		    other->state.link_mbps / 4 > peer->state.link_mbps)
			return true;
	}
	return false;
}

/*
 * Requests a newer configuration that a peer reports, in case the store does
 * not deliver it.  It is requested from one peer at a time, as a configuration
 * is large and all peers report it at once.  A node without any cannot serve
 * callers and does not wait.
 */
static void
request_newer_config(bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_time_us_t delay_us = peer->in_own_zone
	    ? CONFIG_REQUEST_DELAY_US
	    : CONFIG_REQUEST_DELAY_OTHER_ZONES_US;
	bf_mesh_t *mesh = peer->mesh;
	bf_time_us_t since_us;
	uint64_t version;

	version = mesh->routing != NULL ? bf_routing_version(mesh->routing) : 0;
	if (peer->state.config_version <= version) {
		peer->config_newer_since_us = 0;
		return;
	}
	if (peer->config_newer_since_us == 0)
		peer->config_newer_since_us = now_us;
	/*
	 * While changes follow each other, one that was delivered shows that
	 * the next will be as well.
	 */
	since_us = peer->config_newer_since_us > mesh->config_applied_us
	    ? peer->config_newer_since_us
	    : mesh->config_applied_us;
	if (mesh->routing == NULL &&
	    now_us - mesh->start_us < CONFIG_RELAYS_ONLY_US &&
	    !may_serve_first_config(peer))
		return;
	if (now_us < mesh->config_request_after_us ||
	    (mesh->routing != NULL && now_us - since_us < delay_us))
		return;
	if (now_us - since_us < delay_us + WIDE_LINKS_ONLY_US &&
	    has_thin_link(peer))
		return;
	mesh->config_request_after_us = now_us + CONFIG_RETRY_US +
	    (bf_time_us_t)(bf_random_next(&mesh->random) % CONFIG_RETRY_US);
	bf_config_source_request(peer, now_us);
}

static void
close_silent_link(bf_peer_t *peer)
{
	if (peer->silent_link == NULL)
		return;
	bf_mesh_link_abort(peer->silent_link);
	bf_loop_defer_free(peer->mesh->loop, peer->silent_link);
	peer->silent_link = NULL;
}

/*
 * Decides on the calls sent before the connection was replaced, by the first
 * state that the peer reports on the new one.
 */
static void
settle_held_calls(bf_peer_t *peer, bf_time_us_t now_us)
{
	bool same_process = peer->state.incarnation == peer->held_incarnation;

	if (same_process && peer->state.protocol < BF_PROTOCOL_2)
		return; /* it replies by the silent connection only */
	peer->holds_calls = false;
	close_silent_link(peer);
	bf_entry_peer_lost(
	    peer, same_process ? BF_PEER_REPLACED : BF_PEER_GONE, now_us);
}

static void
apply_state(bf_peer_t *peer, const bf_node_state_t *state, bf_time_us_t now_us)
{
	/* Configurations change often, and all nodes report each of them. */
	bool changed = !peer->state_known ||
	    !bf_node_state_same_for_calls(&peer->state, state);
	bool was_relay = peer->state_known && peer->state.relay;

	peer->state = *state;
	peer->offers_since_report = 0;
	if (changed)
		bf_event(peer->mesh->events, BF_EVENT_PEER_UP, now_us,
		    "s:s,s:s,s:s,s:s,s:i,s:b,s:I", "peer", peer->instance,
		    "target", state->target, "service", state->service,
		    "version", state->version, "target_state",
		    (int)state->target_state, "stopping", (int)state->stopping,
		    "config_version", (json_int_t)state->config_version);
	peer->state_known = true;
	if (state->relay && !was_relay && peer->inbound != NULL)
		bf_evacuation_send(peer->inbound, now_us);
	if (peer->holds_calls)
		settle_held_calls(peer, now_us);
	peer->version_unconfirmed = bf_movement_record_version(
	    peer->mesh, state->service, state->version, now_us);
	request_newer_config(peer, now_us);
}

static void
receive_reply(bf_peer_t *peer, const bf_frame_t *frame,
    bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	bf_reply_t reply = { 0 };
	char fields[16384];
	bf_load_t load;

	reply.result =
	    (bf_call_result_t)bf_wire_read_uint(reader, BF_CALL_RESULT_UNKNOWN);
	reply.cause = (bf_cause_t)bf_wire_read_uint(reader, BF_CAUSE_COUNT - 1);
	reply.status = (uint32_t)bf_wire_read_uint(reader, 999);
	reply.waited_us = (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	reply.spent_us = (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	reply.expected_wait_us =
	    (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	reply.dependency_busy = bf_wire_read_uint(reader, 1) != 0;
	bf_wire_read_load(reader, &load);
	bf_wire_read_text(reader, fields, sizeof(fields));
	if (reader->code != BF_OK) {
		reply = (bf_reply_t){ .result = BF_CALL_RESULT_UNKNOWN,
			.cause = BF_CAUSE_BAD_ANSWER };
	} else {
		apply_load(peer, &load);
	}
	reply.queueing_delay_us = frame->queueing_delay_us;
	reply.fields = fields;
	reply.body = frame->body;
	reply.body_bytes = frame->body_bytes;
	bf_entry_handle_reply(peer->mesh, frame->offer_id, &reply, now_us);
}

void
bf_wire_write_reply(
    bf_wire_writer_t *writer, const bf_reply_t *reply, const bf_load_t *load)
{
	bf_wire_write_uint(writer, reply->result);
	bf_wire_write_uint(writer, reply->cause);
	bf_wire_write_uint(writer, reply->status);
	bf_wire_write_uint(writer, (uint64_t)reply->waited_us);
	bf_wire_write_uint(writer, (uint64_t)reply->spent_us);
	bf_wire_write_uint(writer, (uint64_t)reply->expected_wait_us);
	bf_wire_write_uint(writer, reply->dependency_busy);
	bf_wire_write_load(writer, load);
	bf_wire_write_text(writer, reply->fields != NULL ? reply->fields : "");
}

/* Shows the peer that all cancellations sent before have arrived. */
static void
send_probe(const bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_wire_writer_t *writer = &peer->mesh->writer;
	bf_time_us_t transit_us;

	if (bf_mesh_link_min_transit(peer->link, &transit_us))
		bf_wire_write_uint(writer, (uint64_t)transit_us);
	bf_mesh_link_send(peer->link, BF_FRAME_PROBE, 0, writer, NULL, now_us);
}

/* Counts the delay of a received frame, and logs a long one. */
static void
record_frame_delay(bf_mesh_t *mesh, const bf_peer_t *peer,
    const bf_frame_t *frame, bf_time_us_t now_us)
{
	const char *kind = bf_frame_kind_name(frame->kind);

	bf_metric_observe(
	    mesh->metrics.frame_delay, kind, frame->queueing_delay_us);
	if (frame->queueing_delay_us > FRAME_LATE_US)
		bf_event(mesh->events, BF_EVENT_FRAME_LATE, now_us,
		    "s:s,s:s,s:I,s:I,s:I", "peer",
		    peer != NULL ? peer->instance : "", "kind", kind, "offer",
		    (json_int_t)frame->offer_id, "bytes",
		    (json_int_t)frame->payload_bytes +
			(json_int_t)frame->body_bytes,
		    "delay_us", (json_int_t)frame->queueing_delay_us);
}

/* Handles a frame received on a connection that this node dialled. */
static void
on_peer_frame(
    bf_mesh_link_t *link, const bf_frame_t *frame, bf_time_us_t now_us)
{
	bf_peer_t *peer = link->owner;
	bf_wire_reader_t reader;
	bf_node_state_t state = { 0 };
	uint64_t offset, bytes;
	bf_load_t load;

	bf_wire_reader_init(&reader, frame->payload, frame->payload_bytes);
	if (link == peer->silent_link) {
		/* The new connection carries all else. */
		if (frame->kind == BF_FRAME_REPLY)
			receive_reply(peer, frame, &reader, now_us);
		return;
	}
	peer->silent = false;
	peer->probe_sent_us = 0;
	record_frame_delay(peer->mesh, peer, frame, now_us);
	switch (frame->kind) {
	case BF_FRAME_STATE:
		bf_node_state_read(&reader, &state);
		if (reader.code != BF_OK)
			break;
		if (strcmp(state.instance, peer->instance) == 0)
			apply_state(peer, &state, now_us);
		else
			remove_peer(peer, now_us);
		break;
	case BF_FRAME_LOAD:
		bf_wire_read_load(&reader, &load);
		if (reader.code == BF_OK)
			apply_load(peer, &load);
		request_newer_config(peer, now_us);
		break;
	case BF_FRAME_REPLY:
		receive_reply(peer, frame, &reader, now_us);
		break;
	case BF_FRAME_CONFIG:
		bf_config_source_receive(peer, frame, &reader, now_us);
		break;
	case BF_FRAME_RUNS:
		bf_movement_read_runs(peer, &reader);
		break;
	case BF_FRAME_MOVE:
		bf_movement_receive(peer->mesh, peer, &reader, now_us);
		break;
	case BF_FRAME_VERSION:
		bf_movement_receive_confirmed(peer->mesh, &reader, now_us);
		break;
	case BF_FRAME_FRESHNESS:
		bf_mesh_freshness_receive(peer, &reader, now_us);
		break;
	case BF_FRAME_ZONES:
		bf_evacuation_receive(peer, &reader, now_us);
		break;
	case BF_FRAME_PROBE:
		send_probe(peer, now_us);
		break;
	case BF_FRAME_CAPS_REPORT:
		bf_caps_receive_report(peer->mesh->caps, peer, &reader, now_us);
		break;
	case BF_FRAME_BODY_GET:
		offset = bf_wire_read_uint(&reader, SIZE_MAX);
		bytes = bf_wire_read_uint(&reader, SIZE_MAX);
		if (reader.code == BF_OK)
			bf_entry_send_body(
			    peer, frame->offer_id, offset, bytes, now_us);
		break;
	default:
		break; /* a frame of a later protocol version */
	}
}

/*
 * The offers that the link still holds are lost to this node, which may offer
 * their calls to others.
 */
static void
drop_link(bf_peer_t *peer)
{
	bf_mesh_link_abort(peer->link);
	bf_loop_defer_free(peer->mesh->loop, peer->link);
	peer->link = NULL;
	peer->connected = false;
	peer->state_known = false;
}

static void
schedule_redial(bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_time_us_t delay_us = REDIAL_FIRST_US;
	uint32_t i;

	for (i = 0; i < peer->dial_failures && delay_us < REDIAL_MAX_US; i++)
		delay_us *= 2;
	if (delay_us > REDIAL_MAX_US)
		delay_us = REDIAL_MAX_US;
	peer->dial_failures++;
	delay_us -= (bf_time_us_t)(bf_random_next(&peer->mesh->random) %
	    (uint64_t)(delay_us / 2));
	bf_loop_timer_set(
	    peer->mesh->loop, &peer->redial_timer, now_us + delay_us);
}

/* Ends the connection, or the attempt to open one, and the calls of both. */
static void
lose_link(bf_peer_t *peer, const char *reason, bf_time_us_t now_us)
{
	bool had_calls = peer->connected || peer->holds_calls;

	if (peer->state_known && peer->state.stopping &&
	    peer->dial_failures < REDIAL_FAILURES_STOPPED)
		peer->dial_failures = REDIAL_FAILURES_STOPPED;
	if (peer->link != NULL)
		drop_link(peer);
	close_silent_link(peer);
	peer->holds_calls = false;
	if (had_calls) {
		bf_event(peer->mesh->events, BF_EVENT_PEER_DOWN, now_us,
		    "s:s,s:s", "peer", peer->instance, "reason", reason);
		bf_entry_peer_lost(peer, BF_PEER_GONE, now_us);
	}
	schedule_redial(peer, now_us);
}

/*
 * Replaces a connection that was silent for long.  The peer may only be slow or
 * cut off, so it keeps the calls that it has: they are lost if its process
 * proves to have ended.  keep_open: replies may still come by the connection.
 */
static void
replace_link(bf_peer_t *peer, bool keep_open, bf_time_us_t now_us)
{
	bf_event(peer->mesh->events, BF_EVENT_PEER_DOWN, now_us, "s:s,s:s",
	    "peer", peer->instance, "reason", "silent");
	close_silent_link(peer);
	peer->holds_calls = true;
	if (peer->state_known)
		peer->held_incarnation = peer->state.incarnation;
	if (keep_open) {
		peer->silent_link = peer->link;
		peer->link = NULL;
		peer->connected = false;
		peer->state_known = false;
	} else {
		drop_link(peer);
	}
	dial(peer, now_us);
}

static void
on_peer_ended(bf_mesh_link_t *link, bf_time_us_t now_us)
{
	bf_peer_t *peer = link->owner;

	if (link == peer->silent_link)
		close_silent_link(peer);
	else if (peer->connected && peer->silent &&
	    peer->outstanding_offers > 0)
		replace_link(peer, false, now_us);
	else
		lose_link(peer, "connection closed", now_us);
}

static void
on_peer_opened(bf_mesh_link_t *link, bf_time_us_t now_us)
{
	bf_peer_t *peer = link->owner;
	bf_mesh_t *mesh = peer->mesh;
	const bf_peer_t *self = mesh->self;

	peer->connected = true;
	peer->silent = false;
	peer->dial_failures = 0;
	peer->config_sent_version = 0;
	peer->probe_sent_us = 0;
	bf_wire_write_text(&mesh->writer, self->instance);
	bf_wire_write_text(&mesh->writer, self->zone);
	bf_wire_write_text(&mesh->writer, self->address_text);
	bf_wire_write_uint(&mesh->writer, self->incarnation);
	/* The peer takes over the calls of the connection before. */
	if (peer->holds_calls)
		bf_wire_write_uint(&mesh->writer, peer->dial_count);
	bf_mesh_link_send(link, BF_FRAME_HELLO, 0, &mesh->writer, NULL, now_us);
}

static const bf_mesh_link_vtable_t peer_vtable = {
	.opened = on_peer_opened,
	.frame = on_peer_frame,
	.ended = on_peer_ended,
};

static void
dial(bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = peer->mesh;

	if (peer->self || peer->link != NULL)
		return;
	peer->link = calloc(1, sizeof(*peer->link));
	if (peer->link == NULL) {
		schedule_redial(peer, now_us);
		return;
	}
	peer->link->owner = peer;
	peer->dial_count++;
	if (bf_mesh_link_dial(peer->link, &peer_vtable, mesh->loop,
		&peer->address, now_us, NULL) != BF_OK) {
		free(peer->link);
		peer->link = NULL;
		schedule_redial(peer, now_us);
		return;
	}
	bf_mesh_link_set_budget(peer->link, &mesh->memory);
}

static void
on_redial(bf_timer_t *timer, bf_time_us_t now_us)
{
	dial(BF_CONTAINER(timer, bf_peer_t, redial_timer), now_us);
}

static bf_peer_t *
new_peer(bf_mesh_t *mesh, const char *instance)
{
	bf_peer_t *peer, **last;

	peer = calloc(1, sizeof(*peer));
	if (peer == NULL)
		return NULL;
	(void)snprintf(peer->instance, sizeof(peer->instance), "%s", instance);
	peer->mesh = mesh;
	peer->redial_timer.fire = on_redial;
	for (last = &mesh->peers; *last != NULL; last = &(*last)->next)
		;
	*last = peer;
	mesh->peer_count++;
	return peer;
}

/*
 * Whether the connection to the peer, if there is one, may stay: it leads to
 * the process of this incarnation, or to one that has not reported its
 * incarnation yet.  The peer's hello may arrive after its new process has been
 * sent calls.
 */
static bool
is_link_current(
    const bf_peer_t *peer, const char *address, uint64_t incarnation)
{
	if (strcmp(peer->address_text, address) != 0)
		return false;
	if (peer->incarnation == incarnation)
		return true;
	return peer->connected &&
	    (!peer->state_known || peer->state.incarnation >= incarnation);
}

bf_peer_t *
bf_roster_add(bf_mesh_t *mesh, const char *instance, const char *zone,
    const char *address, uint64_t incarnation, bf_time_us_t now_us)
{
	struct sockaddr_in parsed;
	bf_peer_t *peer;

	peer = bf_roster_find(mesh, instance);
	if (peer != NULL && (peer->self || incarnation < peer->incarnation))
		return peer;
	if (bf_address_parse(address, &parsed, NULL) != BF_OK)
		return peer;
	if (peer == NULL)
		peer = new_peer(mesh, instance);
	if (peer == NULL)
		return NULL;
	if (is_link_current(peer, address, incarnation)) {
		peer->incarnation = incarnation;
		if (peer->link == NULL)
			dial(peer, now_us);
		return peer;
	}
	(void)snprintf(peer->zone, sizeof(peer->zone), "%s", zone);
	(void)snprintf(
	    peer->address_text, sizeof(peer->address_text), "%s", address);
	peer->address = parsed;
	peer->in_own_zone = strcmp(zone, mesh->self->zone) == 0;
	/* A new process: the calls that its former one held are lost. */
	if (peer->link != NULL || peer->holds_calls)
		lose_link(peer, "peer process restarted", now_us);
	peer->incarnation = incarnation;
	peer->missing_since_us = 0;
	peer->dial_failures = 0;
	bf_loop_timer_cancel(mesh->loop, &peer->redial_timer);
	dial(peer, now_us);
	return peer;
}

/*
 * Removes a node that is gone, or whose address now belongs to another node:
 * that node would be counted twice, once under a name that no longer exists.
 */
static void
remove_peer(bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = peer->mesh;
	bf_inbound_t *inbound;
	bf_peer_t **at;

	bf_event(mesh->events, BF_EVENT_PEER_GONE, now_us, "s:s", "peer",
	    peer->instance);
	if (peer->link != NULL)
		drop_link(peer);
	close_silent_link(peer);
	bf_entry_peer_lost(peer, BF_PEER_GONE, now_us);
	for (inbound = mesh->inbound; inbound != NULL;
	     inbound = inbound->next) {
		if (inbound->peer == peer)
			inbound->peer = NULL;
	}
	bf_loop_timer_cancel(mesh->loop, &peer->redial_timer);
	for (at = &mesh->peers; *at != peer; at = &(*at)->next)
		;
	*at = peer->next;
	mesh->peer_count--;
	bf_loop_defer_free(mesh->loop, peer);
}

static void
drop_inbound(bf_inbound_t *inbound, bf_time_us_t now_us)
{
	if (inbound->peer != NULL && inbound->peer->inbound == inbound)
		inbound->peer->inbound = NULL;
	bf_target_cancel_from(inbound, now_us);
	*inbound->previous = inbound->next;
	if (inbound->next != NULL)
		inbound->next->previous = inbound->previous;
	bf_mesh_link_close(&inbound->link);
	bf_loop_defer_free(inbound->mesh->loop, inbound);
}

static void
handle_hello(
    bf_inbound_t *inbound, bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	char instance[BF_NAME_BYTES], zone[BF_NAME_BYTES];
	char address[BF_ADDRESS_BYTES];
	bf_mesh_t *mesh = inbound->mesh;
	bf_inbound_t *former;
	bf_node_state_t state;
	uint64_t incarnation, dial_number = 0;
	bf_peer_t *peer;

	bf_wire_read_text(reader, instance, sizeof(instance));
	bf_wire_read_text(reader, zone, sizeof(zone));
	bf_wire_read_text(reader, address, sizeof(address));
	incarnation = bf_wire_read_uint(reader, UINT64_MAX);
	if (!bf_wire_reader_done(reader))
		dial_number = bf_wire_read_uint(reader, UINT64_MAX);
	if (reader->code != BF_OK)
		return;
	peer =
	    bf_roster_add(mesh, instance, zone, address, incarnation, now_us);
	if (peer == NULL || peer->self)
		return;
	inbound->peer = peer;
	inbound->incarnation = incarnation;
	inbound->dial_number = dial_number;
	peer->missing_since_us = 0;
	former = peer->inbound;
	if (dial_number != 0 && former != NULL && former != inbound &&
	    former->incarnation == incarnation) {
		/* One that was abandoned may be read after its successor. */
		if (dial_number > former->dial_number) {
			bf_target_adopt_calls(former, inbound);
			drop_inbound(former, now_us);
			peer->inbound = inbound;
		}
	} else {
		peer->inbound = inbound;
	}
	state = bf_mesh_node_state(mesh, now_us);
	bf_node_state_send(mesh, &inbound->link, &state, now_us);
	if (mesh->relay && peer->in_own_zone)
		bf_movement_send_versions(mesh, &inbound->link, now_us);
	else
		bf_movement_send_all(mesh, &inbound->link, now_us);
	bf_evacuation_send(inbound, now_us);
}

/*
 * How long ago a frame was sent.  The frame's transit time and that of a frame
 * in the other direction, which it states, have the offset between the two
 * clocks with opposite signs, so their sum is a true time: the delay of this
 * frame and the least recent delay of the other direction.  An older node
 * states none; the delay beyond the recent minimum is all that is known then.
 */
static bf_time_us_t
read_frame_age(bf_wire_reader_t *reader, const bf_frame_t *frame)
{
	bf_time_us_t age_us;

	if (bf_wire_reader_done(reader))
		return frame->queueing_delay_us;
	age_us = frame->transit_us +
	    (bf_time_us_t)bf_wire_read_uint(reader, UINT64_MAX);
	/* Less if a clock stood still in between, as when suspended. */
	return age_us > frame->queueing_delay_us ? age_us
						 : frame->queueing_delay_us;
}

static void
record_heard(bf_inbound_t *inbound, bf_time_us_t age_us, bf_time_us_t now_us)
{
	if (now_us - age_us > inbound->heard_us)
		inbound->heard_us = now_us - age_us;
}

static void
handle_offer(bf_inbound_t *inbound, const bf_frame_t *frame,
    bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	char request_id[BF_REQUEST_ID_BYTES], target[BF_NAME_BYTES];
	char route[BF_ROUTE_NAME_BYTES];
	bf_bytes_t head = { 0 };
	bf_offer_t offer = { .id = frame->offer_id };
	bf_time_us_t age_us;
	uint64_t flags;
	size_t bytes;

	bf_wire_read_text(reader, request_id, sizeof(request_id));
	bf_wire_read_text(reader, target, sizeof(target));
	bf_wire_read_text(reader, route, sizeof(route));
	flags = bf_wire_read_uint(reader, UINT32_MAX);
	offer.priority = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
	offer.remaining_us = (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	offer.objective_remaining_us =
	    (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	head.data = (uint8_t *)(uintptr_t)bf_wire_read_bytes(
	    reader, BF_MESSAGE_BYTES_MAX, &bytes);
	head.end = bytes;
	offer.body_follows = (flags & 64) != 0;
	offer.body_bytes = offer.body_follows
	    ? bf_wire_read_uint(reader, BF_FRAME_BODY_BYTES_MAX)
	    : frame->body_bytes;
	age_us = read_frame_age(reader, frame);
	if (!bf_wire_reader_done(reader))
		offer.account_id = bf_wire_read_uint(reader, UINT64_MAX);
	if (reader->code != BF_OK)
		return;
	offer.request_id = request_id;
	offer.target_id = target;
	offer.route = route;
	offer.inner = (flags & 1) != 0;
	offer.repeatable = (flags & 2) != 0;
	offer.refuse_if_late = (flags & 4) != 0;
	offer.is_head = (flags & 8) != 0;
	offer.has_body = (flags & 16) != 0;
	offer.is_retry = (flags & 32) != 0;
	record_heard(inbound, age_us, now_us);
	offer.age_us = age_us;
	/* A frame delayed by the network has less time left than it states. */
	offer.remaining_us -= age_us;
	offer.objective_remaining_us -= age_us;
	offer.head = &head;
	offer.body = frame->body;
	bf_target_offer(inbound->mesh, inbound, &offer, now_us);
}

void
bf_wire_write_offer(bf_wire_writer_t *writer, const bf_offer_t *offer)
{
	bf_wire_write_text(writer, offer->request_id);
	bf_wire_write_text(writer, offer->target_id);
	bf_wire_write_text(writer, offer->route);
	bf_wire_write_uint(writer,
	    (uint64_t)offer->inner | (uint64_t)offer->repeatable << 1 |
		(uint64_t)offer->refuse_if_late << 2 |
		(uint64_t)offer->is_head << 3 | (uint64_t)offer->has_body << 4 |
		(uint64_t)offer->is_retry << 5 |
		(uint64_t)offer->body_follows << 6);
	bf_wire_write_uint(writer, offer->priority);
	bf_wire_write_uint(writer,
	    (uint64_t)(offer->remaining_us > 0 ? offer->remaining_us : 0));
	bf_wire_write_uint(writer,
	    (uint64_t)(offer->objective_remaining_us > 0
		    ? offer->objective_remaining_us
		    : 0));
	bf_wire_write_bytes(
	    writer, bf_bytes_data(offer->head), bf_bytes_count(offer->head));
	if (offer->body_follows)
		bf_wire_write_uint(writer, offer->body_bytes);
	if (offer->has_reverse_transit)
		bf_wire_write_uint(writer, (uint64_t)offer->reverse_transit_us);
	if (offer->account_id == 0)
		return;
	if (!offer->has_reverse_transit)
		bf_wire_write_uint(writer, REVERSE_TRANSIT_UNKNOWN);
	bf_wire_write_uint(writer, offer->account_id);
}

/* Handles a frame received on a connection that a peer dialled. */
static void
on_inbound_frame(
    bf_mesh_link_t *link, const bf_frame_t *frame, bf_time_us_t now_us)
{
	bf_inbound_t *inbound = (bf_inbound_t *)(void *)link;
	bf_mesh_t *mesh = inbound->mesh;
	bf_wire_reader_t reader;
	bf_time_us_t age_us;
	bf_load_t load;

	record_frame_delay(mesh, inbound->peer, frame, now_us);
	bf_wire_reader_init(&reader, frame->payload, frame->payload_bytes);
	switch (frame->kind) {
	case BF_FRAME_PROBE:
		record_heard(inbound, read_frame_age(&reader, frame), now_us);
		load = bf_target_load(mesh, now_us);
		bf_load_send(mesh, link, &load, now_us);
		break;
	case BF_FRAME_HELLO:
		handle_hello(inbound, &reader, now_us);
		break;
	case BF_FRAME_OFFER:
		handle_offer(inbound, frame, &reader, now_us);
		break;
	case BF_FRAME_CANCEL:
		age_us = read_frame_age(&reader, frame);
		record_heard(inbound, age_us, now_us);
		bf_target_cancel(
		    mesh, inbound, frame->offer_id, now_us - age_us, now_us);
		break;
	case BF_FRAME_BODY:
		bf_target_receive_body(mesh, inbound, frame, now_us);
		break;
	case BF_FRAME_CAPS_GRANT:
		bf_caps_receive_grant(
		    mesh->caps, inbound->peer, frame, &reader, now_us);
		break;
	case BF_FRAME_FRESHNESS_GET:
		bf_mesh_freshness_answer(inbound, &reader, now_us);
		break;
	case BF_FRAME_CONFIG_GET:
		bf_config_source_serve(inbound, &reader, now_us);
		break;
	case BF_FRAME_MOVE:
		if (inbound->peer != NULL)
			bf_movement_receive(
			    mesh, inbound->peer, &reader, now_us);
		break;
	case BF_FRAME_VERSION:
		bf_movement_receive_confirmed(mesh, &reader, now_us);
		break;
	default:
		break; /* a frame of a later protocol version */
	}
	if (bf_tcp_is_open(&link->tcp))
		bf_target_heard(inbound, now_us);
}

static void
on_inbound_ended(bf_mesh_link_t *link, bf_time_us_t now_us)
{
	drop_inbound((bf_inbound_t *)(void *)link, now_us);
}

static const bf_mesh_link_vtable_t inbound_vtable = {
	.frame = on_inbound_frame,
	.ended = on_inbound_ended,
};

static void
on_accepted(bf_listener_t *listener, int fd, const struct sockaddr_in *from,
    bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(listener, bf_mesh_t, peer_listener);
	bf_inbound_t *inbound;

	(void)from;
	inbound = calloc(1, sizeof(*inbound));
	if (inbound == NULL) {
		close(fd);
		return;
	}
	if (bf_mesh_link_adopt(&inbound->link, &inbound_vtable, mesh->loop, fd,
		now_us, NULL) != BF_OK) {
		free(inbound);
		return;
	}
	bf_mesh_link_set_budget(&inbound->link, &mesh->memory);
	inbound->mesh = mesh;
	inbound->next = mesh->inbound;
	if (inbound->next != NULL)
		inbound->next->previous = &inbound->next;
	inbound->previous = &mesh->inbound;
	mesh->inbound = inbound;
}

/* Sends one probe to a silent peer that holds calls of this node. */
static void
probe(bf_peer_t *peer, bf_time_us_t now_us)
{
	if (peer->outstanding_offers == 0 ||
	    now_us - peer->link->last_received_at_us < PROBE_AFTER_US)
		return;
	if (peer->probe_sent_us == 0) {
		peer->probe_sent_us = now_us;
		send_probe(peer, now_us);
	}
}

static void
check_silence(bf_peer_t *peer, bf_time_us_t now_us)
{
	const bf_report_timing_t *timing = peer->in_own_zone
	    ? &peer->mesh->own_zone_timing
	    : &peer->mesh->other_zones_timing;
	bf_time_us_t silence_us;

	if (peer->holds_calls && peer->outstanding_offers == 0) {
		peer->holds_calls = false;
		close_silent_link(peer);
	}
	if (peer->link == NULL)
		return;
	silence_us = now_us - peer->link->last_received_at_us;
	if (!peer->connected) {
		if (silence_us <= CONNECT_TIMEOUT_US)
			return;
		drop_link(peer);
		schedule_redial(peer, now_us);
		return;
	}
	if (timing->interval_us > PROBE_AFTER_US)
		probe(peer, now_us);
	if (silence_us > timing->lost_after_us &&
	    peer->outstanding_offers > 0) {
		replace_link(peer, true, now_us);
	} else if (silence_us > timing->lost_after_us) {
		lose_link(peer, "silent", now_us);
	} else if (!peer->silent &&
	    (silence_us > timing->silent_after_us ||
		(peer->probe_sent_us != 0 &&
		    now_us - peer->probe_sent_us > PROBE_TIMEOUT_US))) {
		peer->silent = true;
		bf_entry_peer_lost(peer, BF_PEER_SILENT, now_us);
	}
}

static void
check_missing(bf_peer_t *peer, bf_time_us_t now_us)
{
	if (peer->self || peer->connected || peer->listed ||
	    peer->holds_calls) {
		peer->missing_since_us = 0;
		return;
	}
	if (peer->missing_since_us == 0)
		peer->missing_since_us = now_us;
	if (now_us - peer->missing_since_us > REMOVE_AFTER_US)
		remove_peer(peer, now_us);
}

static void
set_report_timing(bf_mesh_t *mesh, uint32_t own_zone_count)
{
	mesh->own_zone_count = own_zone_count;
	mesh->own_zone_timing = bf_report_timing(true, own_zone_count);
	mesh->other_zones_timing =
	    bf_report_timing(false, mesh->peer_count - own_zone_count);
}

static void
on_tick(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(timer, bf_mesh_t, tick_timer);
	bf_time_us_t interval_us;
	bf_peer_t *peer, *next;
	uint32_t own_zone_count = 0;

	for (peer = mesh->peers; peer != NULL; peer = next) {
		next = peer->next;
		own_zone_count += peer->in_own_zone ? 1 : 0;
		/* Without any, the next report may be seconds away. */
		if (!peer->self && peer->connected &&
		    (peer->config_newer_since_us != 0 || mesh->routing == NULL))
			request_newer_config(peer, now_us);
		check_silence(peer, now_us);
		check_missing(peer, now_us);
	}
	set_report_timing(mesh, own_zone_count);
	bf_target_tick(mesh, now_us);
	bf_config_source_tick(mesh, now_us);
	bf_movement_tick(mesh, now_us);
	bf_mesh_report_changes(mesh, now_us);
	interval_us = own_zone_count * TICK_PER_PEER_US;
	bf_loop_timer_set(mesh->loop, timer,
	    now_us + (interval_us > TICK_US ? interval_us : TICK_US));
}

static bf_code_t
add_self(bf_mesh_t *mesh, bf_error_t *err)
{
	char ip[INET_ADDRSTRLEN];
	bf_peer_t *self;

	self = new_peer(mesh, mesh->options.instance);
	if (self == NULL)
		return bf_error_set(err, BF_ERR_MEMORY,
		    "cannot allocate the peer record of this node");
	mesh->self = self;
	self->self = true;
	self->in_own_zone = true;
	self->state_known = true;
	self->connected = true;
	self->incarnation = mesh->incarnation;
	self->address = mesh->options.peer_listen;
	(void)snprintf(
	    self->zone, sizeof(self->zone), "%s", mesh->options.zone);
	if (mesh->options.advertise_address != NULL) {
		(void)snprintf(self->address_text, sizeof(self->address_text),
		    "%s", mesh->options.advertise_address);
		return BF_OK;
	}
	(void)inet_ntop(AF_INET, &self->address.sin_addr, ip, sizeof(ip));
	(void)snprintf(self->address_text, sizeof(self->address_text), "%s:%u",
	    ip, (unsigned int)bf_listener_port(&mesh->peer_listener));
	return BF_OK;
}

bf_code_t
bf_roster_open(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err)
{
	bf_code_t code;

	mesh->peer_listener.accepted = on_accepted;
	mesh->peer_listener.name = "peers";
	mesh->peer_listener.observer = &mesh->listener_observer;
	code = bf_listener_open(
	    &mesh->peer_listener, mesh->loop, &mesh->options.peer_listen, err);
	if (code != BF_OK)
		return code;
	code = add_self(mesh, err);
	if (code != BF_OK)
		return code;
	set_report_timing(mesh, 1);
	mesh->tick_timer.fire = on_tick;
	bf_loop_timer_set(mesh->loop, &mesh->tick_timer, now_us + TICK_US);
	return BF_OK;
}

void
bf_roster_close(bf_mesh_t *mesh)
{
	bf_peer_t *peer;

	bf_loop_timer_cancel(mesh->loop, &mesh->tick_timer);
	bf_listener_close(&mesh->peer_listener);
	while (mesh->inbound != NULL)
		drop_inbound(mesh->inbound, bf_clock_monotonic_us());
	while ((peer = mesh->peers) != NULL) {
		mesh->peers = peer->next;
		bf_loop_timer_cancel(mesh->loop, &peer->redial_timer);
		if (peer->link != NULL)
			drop_link(peer);
		close_silent_link(peer);
		bf_loop_defer_free(mesh->loop, peer);
	}
}
