#include <string.h>

#include "mesh/delta.h"
#include "mesh/internal.h"
#include "mesh/relays.h"

/*
 * The keys that operators write to the store: the configuration and the orders
 * of moves.  The relays of each availability zone watch these keys, after
 * reading the outcomes of moves, and send changes to the other nodes of their
 * zone.
 */

/*
 * Pause after a change before the next watch.  Changes often come in series, so
 * that the watch returns several at once.  A fifth of the time in which a
 * change must be in force.
 */
#define COALESCE_US (400 * BF_US_PER_MS)
/* Interval at which a node checks whether it is a relay. */
#define RELAY_CHECK_US (200 * BF_US_PER_MS)
/*
 * When all nodes restart together, none has a configuration to send: each reads
 * the store itself after this time, in which two nodes connect and report their
 * states.
 */
#define READ_STORE_DELAY_US (150 * BF_US_PER_MS)
/* More for each node that is listed, to connect to all of them. */
#define READ_STORE_DELAY_PER_NODE_US BF_US_PER_MS
/*
 * A node without a configuration waits this much longer for that of a peer,
 * which may have to send it to many.
 */
#define AWAIT_PEERS_US (250 * BF_US_PER_MS)
/*
 * Nodes of a zone that read the store as soon as they have listed the records
 * after a restart of all, for the others of the zone.
 */
#define FIRST_READERS_PER_ZONE 3
/* Time that a relay continues, while its successor reads all keys. */
#define RELAY_HANDOVER_US (2 * BF_US_PER_S)
/* Most nodes of a zone compared; in a larger zone more may become relays. */
#define CANDIDATES_MAX 512
/*
 * Share of the link that configurations may take.  All nodes of a zone may
 * request one at once, and the calls of this node share its link with them.
 */
#define LINK_SHARE 0.5
#define LINK_MBPS_DEFAULT 1000
#define BITS_PER_BYTE 8
/* A node that waits longer has requested the configuration from another one. */
#define WANTED_MAX_US (600 * BF_US_PER_MS)
/* Longest configuration, somewhat above the longest value of the store. */
#define CONFIG_BYTES_MAX ((size_t)4 << 20)

static void
activate_config(bf_mesh_t *mesh, bf_routing_t *routing, const void *data,
    size_t bytes, bf_time_us_t now_us)
{
	const bf_caller_limits_t *limits = bf_routing_limits(routing);
	bf_bytes_t before = mesh->config_before;

	mesh->config_before_version =
	    mesh->routing != NULL ? bf_routing_version(mesh->routing) : 0;
	mesh->config_before_digest = mesh->config_digest;
	mesh->config_before = mesh->config;
	bf_bytes_clear(&mesh->config_delta);
	bf_routing_release(mesh->routing);
	mesh->routing = routing;
	mesh->config_applied_us = now_us;
	bf_bytes_clear(&before);
	bf_bytes_add(&before, data, bytes);
	mesh->config = before;
	mesh->config_digest = bf_digest_of(data, bytes);
	bf_http_server_set_limits(&mesh->caller_server,
	    &(bf_http_limits_t){
		.head_bytes = limits->head_bytes,
		.body_bytes = limits->body_bytes,
		.head_timeout_us = limits->head_timeout_ms * BF_US_PER_MS,
		.idle_timeout_us = limits->idle_timeout_ms * BF_US_PER_MS,
	    });
	bf_mesh_freshness_config_applied(mesh, now_us);
	bf_target_check_health(mesh, now_us);
}

void
bf_config_source_request(bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = peer->mesh;

	bf_wire_write_digest(&mesh->writer, mesh->config_digest);
	bf_mesh_link_send(
	    peer->link, BF_FRAME_CONFIG_GET, 0, &mesh->writer, NULL, now_us);
}

/*
 * Sends the configuration, as a delta if base_digest, the digest of the one
 * that the peer has, is that of the previous one.  Returns the bytes sent.
 */
static size_t
send_config(bf_mesh_t *mesh, bf_mesh_link_t *link, bf_digest_t base_digest,
    bf_time_us_t now_us)
{
	bool as_delta = bf_bytes_count(&mesh->config_before) > 0 &&
	    bf_digest_equal(base_digest, mesh->config_before_digest);

	if (as_delta && bf_bytes_count(&mesh->config_delta) == 0 &&
	    bf_delta_make(&mesh->config_before, &mesh->config,
		&mesh->config_delta) != BF_OK) {
		bf_bytes_clear(&mesh->config_delta);
		as_delta = false; /* out of memory: send all of it */
	}
	bf_wire_write_uint(&mesh->writer, as_delta);
	bf_wire_write_digest(&mesh->writer, base_digest);
	bf_mesh_link_send(link, BF_FRAME_CONFIG, 0, &mesh->writer,
	    as_delta ? &mesh->config_delta : &mesh->config, now_us);
	return bf_bytes_count(as_delta ? &mesh->config_delta : &mesh->config);
}

/* Whether a node that was to be sent the configuration needs it no more. */
static bool
is_served(const bf_inbound_t *inbound, bf_time_us_t now_us)
{
	return now_us - inbound->config_wanted_since_us > WANTED_MAX_US ||
	    (inbound->peer != NULL &&
		inbound->peer->state.config_version >=
		    bf_routing_version(inbound->mesh->routing));
}

/* The node that has waited longest for the configuration; NULL: none. */
static bf_inbound_t *
next_wanted(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_inbound_t *inbound, *first = NULL;

	for (inbound = mesh->inbound; inbound != NULL;
	     inbound = inbound->next) {
		if (inbound->config_wanted_since_us == 0)
			continue;
		if (is_served(inbound, now_us))
			inbound->config_wanted_since_us = 0;
		else if (first == NULL ||
		    inbound->config_wanted_since_us <
			first->config_wanted_since_us)
			first = inbound;
	}
	return first;
}

/*
 * Sends the configuration to the nodes that wait for it, one at a time.  A
 * short one takes the link no time worth waiting for.
 */
static void
send_wanted(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	uint32_t link_mbps = mesh->options.link_mbps != 0
	    ? mesh->options.link_mbps
	    : LINK_MBPS_DEFAULT;
	bf_inbound_t *inbound;
	size_t bytes;

	while ((inbound = next_wanted(mesh, now_us)) != NULL) {
		if (now_us < mesh->config_send_after_us) {
			bf_loop_timer_set(mesh->loop, &mesh->config_send_timer,
			    mesh->config_send_after_us);
			return;
		}
		inbound->config_wanted_since_us = 0;
		if (inbound->peer != NULL)
			inbound->peer->config_sent_version =
			    bf_routing_version(mesh->routing);
		bytes = send_config(
		    mesh, &inbound->link, inbound->config_wanted_base, now_us);
		mesh->config_send_after_us = now_us +
		    (bf_time_us_t)((double)(bytes * BITS_PER_BYTE) /
			(link_mbps * LINK_SHARE));
	}
}

static void
on_send_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	send_wanted(BF_CONTAINER(timer, bf_mesh_t, config_send_timer), now_us);
}

void
bf_config_source_serve(
    bf_inbound_t *inbound, bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	bf_digest_t base_digest = bf_wire_read_digest(reader);

	if (reader->code != BF_OK || inbound->mesh->routing == NULL)
		return;
	/* The request tells more than what the peer reported before. */
	if (inbound->peer != NULL)
		inbound->peer->state.config_version = 0;
	inbound->config_wanted_base = base_digest;
	if (inbound->config_wanted_since_us == 0)
		inbound->config_wanted_since_us = now_us;
	send_wanted(inbound->mesh, now_us);
}

void
bf_config_source_receive(bf_peer_t *peer, const bf_frame_t *frame,
    bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = peer->mesh;
	bf_bytes_t whole = { 0 };
	bf_digest_t base_digest;
	uint64_t version;
	bool is_delta;

	is_delta = bf_wire_read_uint(reader, 1) != 0;
	base_digest = bf_wire_read_digest(reader);
	if (reader->code != BF_OK)
		return;
	if (!is_delta) {
		(void)bf_config_source_apply(mesh, frame->body,
		    frame->body_bytes, peer->instance, &version, now_us);
		return;
	}
	/*
	 * A delta to another configuration cannot be applied.  The version
	 * that the peer reports leads to a request then.
	 */
	if (!bf_digest_equal(base_digest, mesh->config_digest))
		return;
	if (bf_delta_apply(&mesh->config, frame->body, frame->body_bytes,
		CONFIG_BYTES_MAX, &whole) == BF_OK)
		(void)bf_config_source_apply(mesh, bf_bytes_data(&whole),
		    bf_bytes_count(&whole), peer->instance, &version, now_us);
	else
		bf_event(mesh->events, BF_EVENT_CONFIG_REFUSED, now_us,
		    "s:s,s:s,s:s,s:I", "from", peer->instance, "error",
		    bf_code_name(BF_ERR_PARSE), "message",
		    "difference does not apply to the configuration in force",
		    "bytes", (json_int_t)frame->body_bytes);
	bf_bytes_free(&whole);
}

/*
 * Sends a new configuration to the nodes of the own zone that have the previous
 * one.
 */
static void
send_config_to_zone(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	uint64_t version = bf_routing_version(mesh->routing), held_version;
	bf_inbound_t *inbound;
	bf_peer_t *peer;

	for (inbound = mesh->inbound; inbound != NULL;
	     inbound = inbound->next) {
		peer = inbound->peer;
		if (peer == NULL || !peer->in_own_zone || peer->state.relay)
			continue;
		held_version = peer->state.config_version;
		if (held_version < peer->config_sent_version)
			held_version = peer->config_sent_version;
		/* Others request it when its version is reported. */
		if (held_version >= version ||
		    held_version != mesh->config_before_version)
			continue;
		/* One that still waits has an older base. */
		if (inbound->config_wanted_since_us != 0)
			continue;
		inbound->config_wanted_base = mesh->config_before_digest;
		inbound->config_wanted_since_us = now_us;
	}
	send_wanted(mesh, now_us);
}

bool
bf_config_source_apply(bf_mesh_t *mesh, const void *data, size_t bytes,
    const char *from, uint64_t *version, bf_time_us_t now_us)
{
	bf_routing_t *routing = NULL;
	uint64_t before;
	bf_error_t err;

	*version = 0;
	if (mesh->routing != NULL && bytes == bf_bytes_count(&mesh->config) &&
	    memcmp(data, bf_bytes_data(&mesh->config), bytes) == 0)
		return true;
	if (mesh->dialect->decode_config(
		data, bytes, mesh->routing, &routing, version, &err) != BF_OK) {
		bf_event(mesh->events, BF_EVENT_CONFIG_REFUSED, now_us,
		    "s:s,s:I,s:s,s:s,s:I", "from", from, "version",
		    (json_int_t)*version, "error", bf_code_name(err.code),
		    "message", err.message, "bytes", (json_int_t)bytes);
		return false;
	}
	before = mesh->routing != NULL ? bf_routing_version(mesh->routing) : 0;
	if (*version <= before) {
		bf_routing_release(routing);
		return true;
	}
	activate_config(mesh, routing, data, bytes, now_us);
	bf_event(mesh->events, BF_EVENT_CONFIG, now_us, "s:I,s:I,s:s,s:I",
	    "version", (json_int_t)*version, "before", (json_int_t)before,
	    "from", from, "routes",
	    (json_int_t)bf_routing_route_count(routing));
	if (mesh->relay)
		send_config_to_zone(mesh, now_us);
	bf_mesh_report_changes(mesh, now_us);
	return true;
}

static void
apply_stored_config(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	uint64_t version;
	bool is_readable;

	is_readable = bf_config_source_apply(
	    mesh, item->data, item->data_bytes, "store", &version, now_us);
	bf_mesh_freshness_stored_config(mesh, is_readable, version);
}

static void
on_operator_item(
    bf_kv_watcher_t *watcher, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(watcher, bf_mesh_t, operator_keys);
	const bf_dialect_t *dialect = mesh->dialect;

	bf_evacuation_read(mesh, item, now_us);
	if (item->deleted)
		return;
	if (strcmp(item->key, dialect->config_key) == 0)
		apply_stored_config(mesh, item, now_us);
	else if (strncmp(item->key, dialect->order_prefix,
		     strlen(dialect->order_prefix)) == 0)
		bf_movement_apply_order(mesh, item, now_us);
}

static void
on_operator_list(bf_kv_watcher_t *watcher)
{
	bf_evacuation_begin_list(
	    BF_CONTAINER(watcher, bf_mesh_t, operator_keys));
}

static void
on_operator_reading(
    bf_kv_watcher_t *watcher, uint64_t revision, bf_time_us_t now_us)
{
	bf_evacuation_complete_reading(
	    BF_CONTAINER(watcher, bf_mesh_t, operator_keys), revision, now_us);
}

static void
on_operator_call_done(
    bf_kv_watcher_t *watcher, bf_code_t code, bf_time_us_t now_us)
{
	bf_mesh_record_store_call(
	    BF_CONTAINER(watcher, bf_mesh_t, operator_keys), BF_STORE_OPERATOR,
	    code, now_us);
}

static void
on_operator_read_begins(bf_kv_watcher_t *watcher, bf_time_us_t now_us)
{
	(void)now_us;
	bf_mesh_freshness_read_begins(
	    BF_CONTAINER(watcher, bf_mesh_t, operator_keys));
}

static void
on_operator_read_done(bf_kv_watcher_t *watcher, bool is_watch,
    const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bf_mesh_freshness_read_done(
	    BF_CONTAINER(watcher, bf_mesh_t, operator_keys), is_watch, reply,
	    now_us);
}

static const bf_kv_watcher_vtable_t operator_keys_vtable = {
	.on_item = on_operator_item,
	.on_read_begins = on_operator_read_begins,
	.on_read_done = on_operator_read_done,
	.on_list_began = on_operator_list,
	.on_reading = on_operator_reading,
	.on_call_done = on_operator_call_done,
};

static void
on_order(
    bf_kv_watcher_t *watcher, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	bf_movement_apply_order(
	    BF_CONTAINER(watcher, bf_mesh_t, move_orders), item, now_us);
}

static void
on_orders_listed(
    bf_kv_watcher_t *watcher, bf_time_us_t began_us, bf_time_us_t now_us)
{
	bf_movement_confirm_versions(
	    BF_CONTAINER(watcher, bf_mesh_t, move_orders), began_us, now_us);
}

static void
on_orders_call_done(
    bf_kv_watcher_t *watcher, bf_code_t code, bf_time_us_t now_us)
{
	bf_mesh_record_store_call(BF_CONTAINER(watcher, bf_mesh_t, move_orders),
	    BF_STORE_ORDERS, code, now_us);
}

static const bf_kv_watcher_vtable_t orders_vtable = {
	.on_item = on_order,
	.on_list_done = on_orders_listed,
	.on_call_done = on_orders_call_done,
};

void
bf_config_source_refresh_orders(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_kv_watcher_refresh(&mesh->move_orders, now_us);
}

static void
watch_operator_keys(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->operator_keys = (bf_kv_watcher_t){
		.vtable = &operator_keys_vtable,
		.kv = mesh->kv,
		.loop = mesh->loop,
		.prefix = mesh->dialect->operator_prefix,
		.wait_ms = bf_mesh_freshness_watch_wait_ms(mesh),
		.coalesce_us = COALESCE_US,
		.random = bf_random_next(&mesh->random),
	};
	bf_kv_watcher_start(&mesh->operator_keys, now_us);
}

static void
list_outcomes(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->kv->vtable->list(mesh->kv, &mesh->outcomes_call,
	    mesh->dialect->outcome_prefix, "", false, now_us);
}

static void
on_outcomes(bf_kv_call_t *call, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(call, bf_mesh_t, outcomes_call);
	size_t i;

	bf_mesh_record_store_call(mesh, BF_STORE_OUTCOMES, reply->code, now_us);
	if (reply->code != BF_OK) {
		mesh->outcomes_failures++;
		bf_loop_timer_set(mesh->loop, &mesh->outcomes_timer,
		    now_us +
			bf_kv_watcher_retry_delay_us(
			    mesh->outcomes_failures, &mesh->random));
		return;
	}
	for (i = 0; i < reply->item_count; i++)
		bf_movement_apply_outcome(mesh, &reply->items[i], now_us);
	watch_operator_keys(mesh, now_us);
}

static void
on_outcomes_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	list_outcomes(BF_CONTAINER(timer, bf_mesh_t, outcomes_timer), now_us);
}

/*
 * Outcomes are read before orders, so that a version that was rolled back gets
 * no call in between.
 */
static void
begin_relay(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->relay = true;
	mesh->outcomes_failures = 0;
	list_outcomes(mesh, now_us);
	bf_evacuation_send_all(mesh, now_us);
	bf_event(
	    mesh->events, BF_EVENT_RELAY, now_us, "s:s", "change", "begins");
}

static void
end_relay(bf_mesh_t *mesh)
{
	mesh->relay = false;
	bf_loop_timer_cancel(mesh->loop, &mesh->outcomes_timer);
	if (mesh->outcomes_call.pending != NULL)
		mesh->kv->vtable->cancel(mesh->kv, &mesh->outcomes_call);
	if (mesh->operator_keys.vtable != NULL)
		bf_kv_watcher_stop(&mesh->operator_keys);
}

/* Number of availability zones with a node that is connected. */
static uint32_t
connected_zone_count(const bf_mesh_t *mesh)
{
	const bf_peer_t *peer, *other;
	uint32_t count = 0;

	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (!peer->self && !bf_roster_is_live(peer))
			continue;
		/* The first of its zone is counted. */
		for (other = mesh->peers; other != peer; other = other->next) {
			if ((other->self || bf_roster_is_live(other)) &&
			    strcmp(other->zone, peer->zone) == 0)
				break;
		}
		count += other == peer ? 1 : 0;
	}
	return count;
}

/*
 * Whether this node is one of the relays of its zone.  by_records: nodes that
 * are not connected yet are judged by their records.
 */
static bool
should_relay(bf_mesh_t *mesh, bool by_records)
{
	bf_relay_candidate_t candidates[CANDIDATES_MAX];
	const bf_peer_t *peer;
	size_t count = 0;

	candidates[count++] =
	    (bf_relay_candidate_t){ .instance = mesh->self->instance,
		    .link_mbps = mesh->options.link_mbps,
		    .store_answers = mesh->store_up || !mesh->store_up_known,
		    .is_self = true };
	for (peer = mesh->peers; peer != NULL && count < CANDIDATES_MAX;
	     peer = peer->next) {
		if (peer->self || !peer->in_own_zone)
			continue;
		if (bf_roster_is_live(peer))
			candidates[count++] =
			    (bf_relay_candidate_t){ .instance = peer->instance,
				    .link_mbps = peer->state.link_mbps,
				    .store_answers = peer->state.store_up };
		else if (by_records && peer->listed)
			candidates[count++] =
			    (bf_relay_candidate_t){ .instance = peer->instance,
				    .link_mbps = peer->listed_link_mbps,
				    .store_answers = true };
	}
	return bf_relays_include_self(candidates, count,
	    by_records ? FIRST_READERS_PER_ZONE
		       : bf_store_pace_watchers(connected_zone_count(mesh)));
}

/* Whether a peer can send a configuration. */
static bool
peers_have_config(const bf_mesh_t *mesh)
{
	const bf_peer_t *peer;

	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (!peer->self && peer->connected && peer->state_known &&
		    !peer->silent && peer->state.config_version > 0)
			return true;
	}
	return false;
}

/*
 * Whether this node reads the store although it is no relay, because no peer
 * has a configuration, or none has sent it in time.  Not when the whole mesh
 * starts for the first time, as there are no callers yet.
 */
static bool
should_read_store(const bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_time_us_t delay_us = READ_STORE_DELAY_US +
	    mesh->peer_count * READ_STORE_DELAY_PER_NODE_US;

	bf_time_us_t up_us = now_us - mesh->start_us;

	if (mesh->routing != NULL || mesh->options.first_start)
		return false;
	return up_us >= delay_us + AWAIT_PEERS_US ||
	    (up_us >= delay_us && !peers_have_config(mesh));
}

void
bf_config_source_tick(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_store_pace_t pace;
	bool by_records, chosen;

	if (mesh->stopping || now_us < mesh->relay_check_after_us)
		return;
	mesh->relay_check_after_us = now_us + RELAY_CHECK_US;
	pace = bf_registry_pace(mesh);
	by_records = mesh->routing == NULL &&
	    bf_store_pace_knows_records(&pace, mesh->records_known_us, now_us);
	chosen =
	    (by_records ||
		bf_store_pace_knows_nodes(&pace, mesh->listed_at_us, now_us)) &&
	    should_relay(mesh, by_records);
	if (chosen || (!mesh->relay && should_read_store(mesh, now_us))) {
		mesh->relay_chosen_us = now_us;
		if (!mesh->relay)
			begin_relay(mesh, now_us);
	} else if (mesh->relay &&
	    now_us - mesh->relay_chosen_us > RELAY_HANDOVER_US) {
		end_relay(mesh);
		bf_event(mesh->events, BF_EVENT_RELAY, now_us, "s:s", "change",
		    "ends");
	}
}

void
bf_config_source_nodes_listed(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->relay_check_after_us = now_us;
	bf_config_source_tick(mesh, now_us);
}

void
bf_config_source_start(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->start_us = now_us;
	mesh->outcomes_call.done = on_outcomes;
	mesh->outcomes_timer.fire = on_outcomes_timer;
	mesh->config_send_timer.fire = on_send_timer;
	mesh->move_orders = (bf_kv_watcher_t){
		.vtable = &orders_vtable,
		.kv = mesh->kv,
		.loop = mesh->loop,
		.prefix = mesh->dialect->order_prefix,
		.lists_only = true,
		.random = bf_random_next(&mesh->random),
	};
	bf_kv_watcher_init(&mesh->move_orders);
}

void
bf_config_source_stop(bf_mesh_t *mesh)
{
	end_relay(mesh);
	bf_loop_timer_cancel(mesh->loop, &mesh->config_send_timer);
	if (mesh->move_orders.vtable != NULL)
		bf_kv_watcher_stop(&mesh->move_orders);
}
