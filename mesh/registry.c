#include <stdio.h>
#include <string.h>

#include "base/address.h"
#include "mesh/internal.h"

/*
 * Registers this node by a record in the store, under a lease, and lists the
 * records of the other nodes.  The record is written before the list is read:
 * of two nodes that start together at least one then sees the other, and dials
 * it.
 *
 * The record also names the target of this node that has announced its
 * departure: a target goes on serving for seconds afterwards, and this process
 * may be followed by another that did not receive the announcement.
 */

/* Delay before a missing record is written again, to avoid a busy loop. */
#define REWRITE_DELAY_US (200 * BF_US_PER_MS)
/* All nodes register anew when the store was restored; they spread over it. */
#define REGISTER_AGAIN_US BF_US_PER_S
/* Interval at which nodes are listed again, in case one was missed. */
#define LIST_INTERVAL_US (12 * BF_US_PER_S)
/* Eight texts of up to 63 bytes, of which each may take six in JSON. */
#define RECORD_BYTES_MAX 8192
/* The clocks of two instances differ by seconds at most. */
#define INCARNATION_AHEAD_MAX_US (86400 * BF_US_PER_S)
/* Far above any target's; a record that states more is another writer's. */
#define SLOTS_MAX 100000

/* The next call to the store; after a failure it is retried with a delay. */
typedef enum bf_registration_step {
	BF_REGISTRATION_GRANT, /* obtain a lease */
	BF_REGISTRATION_WRITE, /* write the record of this node */
	BF_REGISTRATION_LIST,  /* list the records of all nodes */
	BF_REGISTRATION_RENEW  /* renew the lease */
} bf_registration_step_t;

static void
own_record_key(const bf_mesh_t *mesh, char *key, size_t bytes)
{
	(void)snprintf(key, bytes, "%s%s", mesh->dialect->member_prefix,
	    mesh->options.instance);
}

/* The target, as of the last heartbeat that changed something. */
static json_t *
pack_target(const bf_own_target_t *target)
{
	const bf_heartbeat_t *heartbeat = &target->presence.heartbeat;

	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:b,s:I,s:I}", "id",
	    heartbeat->id, "service", heartbeat->service, "version",
	    heartbeat->version, "address", heartbeat->address, "slots",
	    (json_int_t)heartbeat->slots, "draining",
	    (int)bf_presence_is_leaving(&target->presence), "sequence",
	    (json_int_t)heartbeat->sequence, "born_ms",
	    (json_int_t)heartbeat->start_ms);
}

/*
 * Whether the record, as last written, says of the target what is known of it.
 * A write that failed is repeated until it succeeds.
 */
static bool
is_recorded(const bf_mesh_t *mesh)
{
	const bf_recorded_target_t *recorded = &mesh->recorded;
	const bf_heartbeat_t *known = &mesh->target.presence.heartbeat;
	const bf_heartbeat_t *written = &recorded->heartbeat;
	const bf_departure_t *departure = &mesh->target.presence.departures[0];

	return mesh->member_revision != 0 &&
	    strcmp(written->id, known->id) == 0 &&
	    written->start_ms == known->start_ms &&
	    written->slots == known->slots &&
	    strcmp(written->service, known->service) == 0 &&
	    strcmp(written->version, known->version) == 0 &&
	    strcmp(written->address, known->address) == 0 &&
	    recorded->draining ==
	    bf_presence_is_leaving(&mesh->target.presence) &&
	    recorded->departure.start_ms == departure->start_ms &&
	    strcmp(recorded->departure.id, departure->id) == 0;
}

static void
write_record(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_peer_t *self = mesh->self;
	char key[2 * BF_NAME_BYTES], data[RECORD_BYTES_MAX];
	bf_kv_write_t write = { .key = key,
		.data = data,
		.lease = mesh->lease,
		.expected_revision = mesh->member_revision };
	json_t *record;

	own_record_key(mesh, key, sizeof(key));
	record = json_pack("{s:s,s:s,s:I,s:I,s:s,s:I,s:o}", "address",
	    self->address_text, "zone", self->zone, "incarnation",
	    (json_int_t)self->incarnation, "link_mbps",
	    (json_int_t)mesh->options.link_mbps, "left",
	    mesh->target.presence.departures[0].id, "left_born_ms",
	    (json_int_t)mesh->target.presence.departures[0].start_ms, "target",
	    pack_target(&mesh->target));
	mesh->member_dirty = false;
	mesh->recorded = (bf_recorded_target_t){
		.heartbeat = mesh->target.presence.heartbeat,
		.draining = bf_presence_is_leaving(&mesh->target.presence),
		.departure = mesh->target.presence.departures[0],
	};
	write.data_bytes = json_dumpb(record, data, sizeof(data), JSON_COMPACT);
	json_decref(record);
	if (write.data_bytes > sizeof(data))
		write.data_bytes = 0; /* refused by every reader */
	mesh->kv->vtable->write(
	    mesh->kv, &mesh->member_call, &write, 1, now_us);
}

static bool
has_connected_peer(const bf_mesh_t *mesh)
{
	const bf_peer_t *peer;

	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (!peer->self && bf_roster_is_live(peer))
			return true;
	}
	return false;
}

bf_store_pace_t
bf_registry_pace(const bf_mesh_t *mesh)
{
	return (bf_store_pace_t){ .first_start = mesh->options.first_start,
		.has_peers = has_connected_peer(mesh),
		.has_target = mesh->target.presence.heartbeat.id[0] != '\0',
		.has_departure =
		    mesh->target.presence.state == BF_TARGET_DRAINING ||
		    mesh->target.presence.departed,
		.started_at_us = mesh->start_us,
		.failures = mesh->member_failures,
		.stale_lists = mesh->stale_lists };
}

static void
start_call(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_kv_vtable_t *kv = mesh->kv->vtable;
	bf_store_pace_t pace;

	if (mesh->member_lost) {
		/* The lease's number may be that of another lease now. */
		mesh->member_lost = false;
		mesh->member_step = BF_REGISTRATION_GRANT;
		mesh->member_revision = 0;
		mesh->listed_at_us = 0;
		mesh->list_after[0] = '\0';
	}
	switch ((bf_registration_step_t)mesh->member_step) {
	case BF_REGISTRATION_GRANT:
		kv->lease_grant(
		    mesh->kv, &mesh->member_call, BF_LEASE_TTL_MS, now_us);
		break;
	case BF_REGISTRATION_WRITE:
		write_record(mesh, now_us);
		break;
	case BF_REGISTRATION_LIST:
		pace = bf_registry_pace(mesh);
		kv->list(mesh->kv, &mesh->member_call,
		    mesh->dialect->member_prefix, mesh->list_after,
		    mesh->listed_at_us != 0 ||
			bf_store_pace_may_be_stale(&pace),
		    now_us);
		break;
	case BF_REGISTRATION_RENEW:
		kv->lease_renew(
		    mesh->kv, &mesh->member_call, mesh->lease, now_us);
		break;
	}
}

/* Reads the target of the record that a former process of this node wrote. */
static void
restore_target(bf_mesh_t *mesh, const json_t *object, bf_time_us_t now_us)
{
	const char *id, *service, *version, *address;
	json_int_t slots, sequence, start_ms;
	bf_heartbeat_t heartbeat = { .slots = 0 };
	int draining;

	if (json_unpack((json_t *)(uintptr_t)object,
		"{s:s,s:s,s:s,s:s,s:I,s:b,s:I,s:I}", "id", &id, "service",
		&service, "version", &version, "address", &address, "slots",
		&slots, "draining", &draining, "sequence", &sequence, "born_ms",
		&start_ms) != 0 ||
	    id[0] == '\0' || slots < 0 || slots > SLOTS_MAX || sequence < 0 ||
	    start_ms < 0)
		return;
	(void)snprintf(heartbeat.id, sizeof(heartbeat.id), "%s", id);
	(void)snprintf(
	    heartbeat.service, sizeof(heartbeat.service), "%s", service);
	(void)snprintf(
	    heartbeat.version, sizeof(heartbeat.version), "%s", version);
	(void)snprintf(
	    heartbeat.address, sizeof(heartbeat.address), "%s", address);
	heartbeat.slots = (uint32_t)slots;
	heartbeat.draining = draining != 0;
	heartbeat.sequence = (uint64_t)sequence;
	heartbeat.start_ms = (uint64_t)start_ms;
	bf_target_restore(mesh, &heartbeat, now_us);
}

/* Restores the state that a former process of this node recorded. */
static void
restore_record(bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	bf_departure_t departure = { .start_ms = 0 };
	json_int_t start_ms;
	const char *id;
	json_t *record;

	record = json_loadb(item->data, item->data_bytes, 0, NULL);
	if (json_unpack(record, "{s:s,s:I}", "left", &id, "left_born_ms",
		&start_ms) == 0 &&
	    strlen(id) < sizeof(departure.id)) {
		(void)snprintf(departure.id, sizeof(departure.id), "%s", id);
		departure.start_ms = (uint64_t)start_ms;
		departure.start_unknown = start_ms == 0;
		bf_target_restore_departure(mesh, &departure, now_us);
	}
	restore_target(mesh, json_object_get(record, "target"), now_us);
	json_decref(record);
}

/* What the record of a node says of where it is. */
typedef struct bf_node_record {
	const char *address, *zone;
	json_int_t incarnation;
	json_int_t link_mbps; /* 0: not known */
} bf_node_record_t;

static bool
read_node_record(
    const json_t *json, bf_time_us_t wall_us, bf_node_record_t *record)
{
	struct sockaddr_in address;

	record->link_mbps = 0;
	return json_unpack((json_t *)(uintptr_t)json, "{s:s,s:s,s:I,s?I}",
		   "address", &record->address, "zone", &record->zone,
		   "incarnation", &record->incarnation, "link_mbps",
		   &record->link_mbps) == 0 &&
	    record->link_mbps >= 0 && record->link_mbps <= UINT32_MAX &&
	    bf_address_parse(record->address, &address, NULL) == BF_OK &&
	    address.sin_port != 0 && strlen(record->zone) < BF_NAME_BYTES &&
	    strlen(record->address) < BF_ADDRESS_BYTES &&
	    record->incarnation > 0 &&
	    record->incarnation < wall_us + INCARNATION_AHEAD_MAX_US;
}

/*
 * Handles the own record in a list.  If another writer has replaced it, it is
 * written again.
 */
static void
check_own_record(
    bf_mesh_t *mesh, const bf_kv_item_t *item, const bf_node_record_t *record)
{
	if (item->revision > mesh->member_revision &&
	    (record == NULL ||
		(uint64_t)record->incarnation != mesh->incarnation))
		mesh->member_dirty = true;
	mesh->self->listed = true;
	/* An old list has an older one. */
	if (item->revision > mesh->member_revision)
		mesh->member_revision = item->revision;
}

/*
 * Adds the node of a listed record; a record that cannot be read is logged.  A
 * node that answers where it was known is not moved by its record.
 */
static void
add_listed_node(bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	const char *instance = item->key + strlen(mesh->dialect->member_prefix);
	bool is_self = strcmp(instance, mesh->self->instance) == 0, is_valid;
	bf_node_record_t record;
	bf_peer_t *peer;
	json_t *json;

	json = json_loadb(item->data, item->data_bytes, 0, NULL);
	is_valid = instance[0] != '\0' && strlen(instance) < BF_NAME_BYTES &&
	    read_node_record(json, bf_clock_wall_us(), &record);
	if (is_self)
		check_own_record(mesh, item, is_valid ? &record : NULL);
	if (!is_valid)
		bf_event(mesh->events, BF_EVENT_ENTRY_REFUSED, now_us, "s:s",
		    "key", item->key);
	peer = bf_roster_find(mesh, instance);
	if (is_valid && !is_self &&
	    (peer == NULL || !bf_roster_is_live(peer) ||
		strcmp(peer->address_text, record.address) == 0))
		peer = bf_roster_add(mesh, instance, record.zone,
		    record.address, (uint64_t)record.incarnation, now_us);
	if (peer != NULL) {
		peer->listed = true;
		if (is_valid)
			peer->listed_link_mbps = (uint32_t)record.link_mbps;
	}
	json_decref(json);
}

static void
handle_list(bf_mesh_t *mesh, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bool is_missing;
	bf_peer_t *peer;
	size_t i;

	if (mesh->list_after[0] == '\0') {
		for (peer = mesh->peers; peer != NULL; peer = peer->next)
			peer->listed = false;
	}
	for (i = 0; i < reply->item_count; i++)
		add_listed_node(mesh, &reply->items[i], now_us);
	if (reply->has_more && reply->item_count > 0) {
		(void)snprintf(mesh->list_after, sizeof(mesh->list_after), "%s",
		    reply->items[reply->item_count - 1].key);
		start_call(mesh, now_us);
		return;
	}
	mesh->list_after[0] = '\0';
	/* An old list has the records of former processes, at least. */
	if (mesh->records_known_us == 0) {
		mesh->records_known_us = now_us;
		bf_config_source_nodes_listed(mesh, now_us);
	}
	/*
	 * Only a list that is newer than the own record shows all nodes that
	 * registered before it; those that register later see it.
	 */
	if (mesh->listed_at_us == 0 &&
	    reply->revision < mesh->member_revision) {
		mesh->stale_lists++;
		bf_loop_timer_set(mesh->loop, &mesh->member_timer,
		    now_us + bf_store_pace_list_again_us());
		return;
	}
	mesh->stale_lists = 0;
	mesh->listed_at_us = now_us;
	/*
	 * The record may have been deleted although its lease is valid; a list
	 * that is older than the record does not show that.
	 */
	is_missing =
	    !mesh->self->listed && reply->revision >= mesh->member_revision;
	mesh->member_step =
	    is_missing ? BF_REGISTRATION_WRITE : BF_REGISTRATION_RENEW;
	if (is_missing)
		mesh->member_revision = 0;
	bf_loop_timer_set(mesh->loop, &mesh->member_timer,
	    now_us +
		(is_missing ? REWRITE_DELAY_US : bf_store_pace_renewal_us()));
}

static void
handle_written(bf_mesh_t *mesh, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bool is_first = mesh->listed_at_us == 0;

	mesh->member_revision = reply->revision;
	mesh->list_after[0] = '\0';
	bf_event(mesh->events, BF_EVENT_MEMBER, now_us, "s:s,s:I,s:I", "state",
	    "registered", "lease", (json_int_t)mesh->lease, "revision",
	    (json_int_t)reply->revision);
	/* Only the first write needs a list: later nodes dial this one. */
	mesh->member_step =
	    is_first ? BF_REGISTRATION_LIST : BF_REGISTRATION_RENEW;
	if (is_first)
		start_call(mesh, now_us);
	else
		bf_loop_timer_set(mesh->loop, &mesh->member_timer,
		    now_us + bf_store_pace_renewal_us());
}

static void
handle_success(bf_mesh_t *mesh, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bf_store_pace_t pace;
	bf_time_us_t delay_us;

	switch ((bf_registration_step_t)mesh->member_step) {
	case BF_REGISTRATION_GRANT:
		mesh->lease = reply->lease;
		mesh->member_step = BF_REGISTRATION_WRITE;
		pace = bf_registry_pace(mesh);
		delay_us = bf_store_pace_first_write_us(&pace, now_us);
		if (delay_us > 0)
			bf_loop_timer_set(
			    mesh->loop, &mesh->member_timer, now_us + delay_us);
		else
			start_call(mesh, now_us);
		break;
	case BF_REGISTRATION_WRITE:
		handle_written(mesh, reply, now_us);
		break;
	case BF_REGISTRATION_LIST:
		handle_list(mesh, reply, now_us);
		break;
	case BF_REGISTRATION_RENEW:
		if (now_us - mesh->listed_at_us >= LIST_INTERVAL_US) {
			mesh->member_step = BF_REGISTRATION_LIST;
			start_call(mesh, now_us);
			break;
		}
		bf_loop_timer_set(mesh->loop, &mesh->member_timer,
		    now_us + bf_store_pace_renewal_us());
		break;
	}
}

static void
rewrite_record(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->member_dirty = true;
	/* If a call is in progress, the record is written after it. */
	if (mesh->member_call.pending != NULL || mesh->member_call.done == NULL)
		return;
	bf_loop_timer_cancel(mesh->loop, &mesh->member_timer);
	/* Without a lease, one is obtained first. */
	if (mesh->member_step != BF_REGISTRATION_GRANT)
		mesh->member_step = BF_REGISTRATION_WRITE;
	start_call(mesh, now_us);
}

/* Whether the own record was written by another process than this one. */
static bool
is_of_former_process(const bf_mesh_t *mesh, const bf_kv_item_t *item)
{
	json_int_t incarnation = 0;
	json_t *record;
	bool is_read;

	if (item->data == NULL)
		return false;
	record = json_loadb(item->data, item->data_bytes, 0, NULL);
	is_read =
	    json_unpack(record, "{s:I}", "incarnation", &incarnation) == 0;
	json_decref(record);
	return is_read && (uint64_t)incarnation < mesh->incarnation;
}

static void
schedule_registration(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_loop_timer_set(mesh->loop, &mesh->member_timer,
	    now_us +
		(bf_time_us_t)(bf_random_next(&mesh->random) %
		    REGISTER_AGAIN_US));
}

void
bf_registry_store_restored(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	if (mesh->lease == 0)
		return; /* it was never registered */
	mesh->member_lost = true;
	if (mesh->member_call.pending == NULL)
		schedule_registration(mesh, now_us);
}

static void
on_done(bf_kv_call_t *call, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	static const bf_store_purpose_t purposes[] = {
		[BF_REGISTRATION_GRANT] = BF_STORE_LEASE,
		[BF_REGISTRATION_WRITE] = BF_STORE_RECORD,
		[BF_REGISTRATION_LIST] = BF_STORE_NODES,
		[BF_REGISTRATION_RENEW] = BF_STORE_RENEWAL,
	};
	bf_mesh_t *mesh = BF_CONTAINER(call, bf_mesh_t, member_call);
	bf_store_pace_t pace;

	bf_mesh_record_store_call(
	    mesh, purposes[mesh->member_step], reply->code, now_us);
	if (mesh->member_lost) {
		schedule_registration(mesh, now_us);
		return;
	}
	switch (reply->code) {
	case BF_OK:
		mesh->member_failures = 0;
		handle_success(mesh, reply, now_us);
		if (mesh->member_dirty)
			rewrite_record(mesh, now_us);
		return;
	case BF_ERR_CONFLICT:
		/*
		 * The record is of a former process, or of an earlier write
		 * whose result was lost.
		 */
		mesh->member_revision =
		    reply->item_count > 0 ? reply->items[0].revision : 0;
		if (reply->item_count > 0 &&
		    is_of_former_process(mesh, &reply->items[0]))
			mesh->had_record = true;
		if (reply->item_count > 0 && reply->items[0].data != NULL)
			restore_record(mesh, &reply->items[0], now_us);
		start_call(mesh, now_us);
		return;
	case BF_ERR_NOT_FOUND:
		bf_event(mesh->events, BF_EVENT_MEMBER, now_us, "s:s,s:I",
		    "state", "lapsed", "lease", (json_int_t)mesh->lease);
		mesh->member_step = BF_REGISTRATION_GRANT;
		mesh->member_revision = 0;
		mesh->listed_at_us = 0; /* others may have lapsed as well */
		start_call(mesh, now_us);
		return;
	default:
		mesh->member_failures++;
		pace = bf_registry_pace(mesh);
		bf_loop_timer_set(mesh->loop, &mesh->member_timer,
		    now_us + bf_store_pace_retry_us(&pace, &mesh->random));
	}
}

static void
on_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	start_call(BF_CONTAINER(timer, bf_mesh_t, member_timer), now_us);
}

void
bf_registry_update(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	if (!is_recorded(mesh))
		rewrite_record(mesh, now_us);
}

void
bf_registry_start(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->member_call.done = on_done;
	mesh->member_timer.fire = on_timer;
	mesh->member_step = BF_REGISTRATION_GRANT;
	start_call(mesh, now_us);
}

/*
 * Stops renewing the lease.  The record stays until the lease expires, for the
 * next process of this node.
 */
void
bf_registry_stop(bf_mesh_t *mesh)
{
	bf_loop_timer_cancel(mesh->loop, &mesh->member_timer);
	if (mesh->member_call.pending != NULL)
		mesh->kv->vtable->cancel(mesh->kv, &mesh->member_call);
}

static const char *const purpose_names[] = {
	[BF_STORE_LEASE] = "lease",
	[BF_STORE_RECORD] = "record",
	[BF_STORE_NODES] = "nodes",
	[BF_STORE_RENEWAL] = "renewal",
	[BF_STORE_OPERATOR] = "operator",
	[BF_STORE_ORDERS] = "orders",
	[BF_STORE_OUTCOMES] = "outcomes",
	[BF_STORE_OUTCOME] = "outcome",
};

void
bf_mesh_record_store_call(bf_mesh_t *mesh, bf_store_purpose_t purpose,
    bf_code_t code, bf_time_us_t now_us)
{
	const char *name = purpose_names[purpose];
	bool up;

	if (mesh->kv->era != mesh->store_era) {
		bf_event(mesh->events, BF_EVENT_STORE_ERA, now_us, "s:i,s:i",
		    "era", (int)mesh->kv->era, "before", (int)mesh->store_era);
		mesh->store_era = mesh->kv->era;
		bf_registry_store_restored(mesh, now_us);
		bf_movement_store_restored(mesh);
	}
	mesh->store_call_counts[purpose]++;
	bf_metric_count(mesh->metrics.store_purposes, name, 1);
	bf_metric_count(mesh->metrics.store_calls,
	    code == BF_OK ? name : bf_code_name(code), 1);
	if (code != BF_OK)
		bf_event(mesh->events, BF_EVENT_STORE_CALL, now_us,
		    "s:s,s:s,s:I", "call", name, "result", bf_code_name(code),
		    "watched_revision",
		    (json_int_t)mesh->operator_keys.revision);
	up = code != BF_ERR_UNAVAILABLE && code != BF_ERR_UNSETTLED &&
	    code != BF_ERR_TIMEOUT && code != BF_ERR_LIMIT;
	if (mesh->store_up_known && up == mesh->store_up)
		return;
	mesh->store_up_known = true;
	mesh->store_up = up;
	bf_event(mesh->events, up ? BF_EVENT_STORE_UP : BF_EVENT_STORE_DOWN,
	    now_us, "s:s,s:s", "call", name, "result", bf_code_name(code));
}
