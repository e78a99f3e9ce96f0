#include <stdio.h>
#include <string.h>

#include "mesh/internal.h"

/*
 * The own entry in the store, under a lease, and the list of the others.  The
 * entry is written before the list is read: of two nodes that start together
 * at least one then sees the other, and dials it.
 *
 * The entry also says which target of this node has left: a target goes on
 * serving for seconds after it said so, and this process may be followed by
 * another that was not told.
 */

#define LEASE_TTL_MS 6000
/* Renewed this often, so that two renewals may be lost. */
#define RENEW_US (2 * BF_US_PER_S)
/* An entry that is gone is written again after this, not in a hot loop. */
#define REWRITE_US (200 * BF_US_PER_MS)
/* The list is read again this often, for what was missed. */
#define LIST_US (12 * BF_US_PER_S)
/* What an entry says, at most. */
#define ENTRY_BYTES 1024

/* What comes next; a failure repeats the step after a pause. */
typedef enum bf_member_step {
	BF_MEMBER_GRANT, /* a lease */
	BF_MEMBER_WRITE, /* the own entry */
	BF_MEMBER_LIST,
	BF_MEMBER_RENEW
} bf_member_step_t;

static void
own_key(const bf_mesh_t *mesh, char *key, size_t bytes)
{
	(void)snprintf(key, bytes, "%s%s", mesh->dialect->member_prefix,
	    mesh->options.instance);
}

/* The target's last heartbeat that changed something. */
static json_t *
pack_target(const bf_own_target_t *target)
{
	const bf_heartbeat_t *beat = &target->heartbeat;

	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:b,s:I,s:I}", "id", beat->id,
	    "service", beat->service, "version", beat->version, "address",
	    beat->address, "slots", (json_int_t)beat->slots, "draining",
	    (int)(target->state != BF_TARGET_READY), "sequence",
	    (json_int_t)beat->sequence, "born_ms", (json_int_t)beat->start_ms);
}

static void
write_entry(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_peer_t *self = mesh->self;
	char key[2 * BF_NAME_BYTES], data[ENTRY_BYTES];
	bf_kv_write_t write = { .key = key,
		.data = data,
		.lease = mesh->lease,
		.expected_revision = mesh->member_revision };
	json_t *entry;

	own_key(mesh, key, sizeof(key));
	entry = json_pack("{s:s,s:s,s:I,s:s,s:I,s:o}", "address",
	    self->address_text, "zone", self->zone, "incarnation",
	    (json_int_t)self->incarnation, "left", mesh->target.departed_id,
	    "left_born_ms", (json_int_t)mesh->target.departed_start_ms,
	    "target", pack_target(&mesh->target));
	mesh->member_dirty = false;
	write.data_bytes = json_dumpb(entry, data, sizeof(data), JSON_COMPACT);
	json_decref(entry);
	mesh->kv->vtable->write(
	    mesh->kv, &mesh->member_call, &write, 1, now_us);
}

static void
next_call(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_kv_vtable_t *kv = mesh->kv->vtable;

	switch ((bf_member_step_t)mesh->member_step) {
	case BF_MEMBER_GRANT:
		kv->lease_grant(
		    mesh->kv, &mesh->member_call, LEASE_TTL_MS, now_us);
		break;
	case BF_MEMBER_WRITE:
		write_entry(mesh, now_us);
		break;
	case BF_MEMBER_LIST:
		kv->list(mesh->kv, &mesh->member_call,
		    mesh->dialect->member_prefix, mesh->list_after,
		    mesh->listed_at_us != 0, now_us);
		break;
	case BF_MEMBER_RENEW:
		kv->lease_renew(
		    mesh->kv, &mesh->member_call, mesh->lease, now_us);
		break;
	}
}

/*
 * The target as a former process of this node knew it: it is served at once,
 * not after its next heartbeat.  Should it have ended meanwhile, it refuses
 * connections, or another one there refuses what is meant for it.
 */
static void
take_former_target(bf_mesh_t *mesh, const json_t *object, bf_time_us_t now_us)
{
	const char *id, *service, *version, *address;
	json_int_t slots, sequence, born_ms;
	bf_heartbeat_t beat = { .slots = 0 };
	int draining;

	if (json_unpack((json_t *)(uintptr_t)object,
		"{s:s,s:s,s:s,s:s,s:I,s:b,s:I,s:I}", "id", &id, "service",
		&service, "version", &version, "address", &address, "slots",
		&slots, "draining", &draining, "sequence", &sequence, "born_ms",
		&born_ms) != 0 ||
	    id[0] == '\0' || mesh->target.heartbeat.id[0] != '\0')
		return;
	(void)snprintf(beat.id, sizeof(beat.id), "%s", id);
	(void)snprintf(beat.service, sizeof(beat.service), "%s", service);
	(void)snprintf(beat.version, sizeof(beat.version), "%s", version);
	(void)snprintf(beat.address, sizeof(beat.address), "%s", address);
	beat.slots = (uint32_t)slots;
	beat.draining = draining != 0;
	beat.sequence = (uint64_t)sequence;
	beat.start_ms = (uint64_t)born_ms;
	(void)bf_mesh_heartbeat(mesh, &beat, now_us, NULL);
}

/* The own entry as a former process of this node left it. */
static void
take_former(bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	json_int_t born_ms;
	const char *left;
	json_t *entry;

	entry = json_loadb(item->data, item->data_bytes, 0, NULL);
	if (mesh->target.departed_id[0] == '\0' &&
	    json_unpack(entry, "{s:s,s:I}", "left", &left, "left_born_ms",
		&born_ms) == 0 &&
	    strlen(left) < BF_NAME_BYTES) {
		(void)snprintf(mesh->target.departed_id,
		    sizeof(mesh->target.departed_id), "%s", left);
		mesh->target.departed_start_ms = (uint64_t)born_ms;
		mesh->target.departed_start_unknown = born_ms == 0;
		mesh->target.departed_at_us = now_us;
	}
	take_former_target(mesh, json_object_get(entry, "target"), now_us);
	json_decref(entry);
}

/* An entry of the list; one that cannot be read names nobody. */
static void
take_entry(bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	const char *instance, *address, *zone;
	json_int_t incarnation;
	bf_peer_t *peer;
	json_t *entry;

	instance = item->key + strlen(mesh->dialect->member_prefix);
	entry = json_loadb(item->data, item->data_bytes, 0, NULL);
	if (json_unpack(entry, "{s:s,s:s,s:I}", "address", &address, "zone",
		&zone, "incarnation", &incarnation) == 0 &&
	    strlen(instance) < BF_NAME_BYTES) {
		peer = bf_roster_add(mesh, instance, zone, address,
		    (uint64_t)incarnation, now_us);
		if (peer != NULL)
			peer->listed = true;
		if (peer != NULL && peer->self)
			mesh->member_revision = item->revision;
	} else {
		bf_event(mesh->events, BF_EVENT_ENTRY_BAD, now_us, "s:s", "key",
		    item->key);
	}
	json_decref(entry);
}

static void
take_list(bf_mesh_t *mesh, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bf_peer_t *peer;
	bool is_gone;
	size_t i;

	if (mesh->list_after[0] == '\0') {
		for (peer = mesh->peers; peer != NULL; peer = peer->next)
			peer->listed = false;
	}
	for (i = 0; i < reply->item_count; i++)
		take_entry(mesh, &reply->items[i], now_us);
	if (reply->more && reply->item_count > 0) {
		(void)snprintf(mesh->list_after, sizeof(mesh->list_after), "%s",
		    reply->items[reply->item_count - 1].key);
		next_call(mesh, now_us);
		return;
	}
	mesh->list_after[0] = '\0';
	mesh->listed_at_us = now_us;
	/*
	 * The entry may be gone although its lease lives; a list that is older
	 * than the entry does not show that.
	 */
	is_gone =
	    !mesh->self->listed && reply->revision >= mesh->member_revision;
	mesh->member_step = is_gone ? BF_MEMBER_WRITE : BF_MEMBER_RENEW;
	if (is_gone)
		mesh->member_revision = 0;
	bf_loop_timer(mesh->loop, &mesh->member_timer,
	    now_us + (is_gone ? REWRITE_US : RENEW_US));
}

static void
take_written(bf_mesh_t *mesh, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bool is_first = mesh->listed_at_us == 0;

	mesh->member_revision = reply->revision;
	mesh->list_after[0] = '\0';
	bf_event(mesh->events, BF_EVENT_MEMBER, now_us, "s:s,s:I,s:I", "state",
	    "registered", "lease", (json_int_t)mesh->lease, "revision",
	    (json_int_t)reply->revision);
	/* Later the nodes that start dial this one. */
	mesh->member_step = is_first ? BF_MEMBER_LIST : BF_MEMBER_RENEW;
	if (is_first)
		next_call(mesh, now_us);
	else
		bf_loop_timer(
		    mesh->loop, &mesh->member_timer, now_us + RENEW_US);
}

static void
take_success(bf_mesh_t *mesh, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	switch ((bf_member_step_t)mesh->member_step) {
	case BF_MEMBER_GRANT:
		mesh->lease = reply->lease;
		mesh->member_step = BF_MEMBER_WRITE;
		next_call(mesh, now_us);
		break;
	case BF_MEMBER_WRITE:
		take_written(mesh, reply, now_us);
		break;
	case BF_MEMBER_LIST:
		take_list(mesh, reply, now_us);
		break;
	case BF_MEMBER_RENEW:
		if (now_us - mesh->listed_at_us >= LIST_US) {
			mesh->member_step = BF_MEMBER_LIST;
			next_call(mesh, now_us);
			break;
		}
		bf_loop_timer(
		    mesh->loop, &mesh->member_timer, now_us + RENEW_US);
		break;
	}
}

static void
on_done(bf_kv_call_t *call, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(call, bf_mesh_t, member_call);

	bf_mesh_record_store_call(mesh, "member", reply->code, now_us);
	switch (reply->code) {
	case BF_OK:
		mesh->member_failures = 0;
		take_success(mesh, reply, now_us);
		if (mesh->member_dirty)
			bf_registry_update(mesh, now_us);
		return;
	case BF_ERR_CONFLICT:
		/* An entry of a former process, or an earlier write of ours. */
		mesh->member_revision =
		    reply->item_count > 0 ? reply->items[0].revision : 0;
		if (reply->item_count > 0 && reply->items[0].data != NULL)
			take_former(mesh, &reply->items[0], now_us);
		next_call(mesh, now_us);
		return;
	case BF_ERR_NOT_FOUND:
		bf_event(mesh->events, BF_EVENT_MEMBER, now_us, "s:s,s:I",
		    "state", "lapsed", "lease", (json_int_t)mesh->lease);
		mesh->member_step = BF_MEMBER_GRANT;
		mesh->member_revision = 0;
		mesh->listed_at_us = 0; /* others may have lapsed as well */
		next_call(mesh, now_us);
		return;
	default:
		mesh->member_failures++;
		bf_loop_timer(mesh->loop, &mesh->member_timer,
		    now_us +
			bf_follow_pause_us(
			    mesh->member_failures, &mesh->random));
	}
}

static void
on_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	next_call(BF_CONTAINER(timer, bf_mesh_t, member_timer), now_us);
}

void
bf_registry_update(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->member_dirty = true;
	/* A call under way is followed by the write. */
	if (mesh->member_call.state != NULL || mesh->lease == 0)
		return;
	if (mesh->member_step != BF_MEMBER_RENEW)
		return;
	bf_loop_timer_cancel(mesh->loop, &mesh->member_timer);
	mesh->member_step = BF_MEMBER_WRITE;
	next_call(mesh, now_us);
}

void
bf_registry_start(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->member_call.done = on_done;
	mesh->member_timer.fire = on_timer;
	mesh->member_step = BF_MEMBER_GRANT;
	next_call(mesh, now_us);
}

/* Ends the lease, so that the others need not wait for it. */
void
bf_registry_stop(bf_mesh_t *mesh)
{
	bf_loop_timer_cancel(mesh->loop, &mesh->member_timer);
	if (mesh->member_call.state != NULL)
		mesh->kv->vtable->cancel(mesh->kv, &mesh->member_call);
}

void
bf_mesh_record_store_call(
    bf_mesh_t *mesh, const char *what, bf_code_t code, bf_time_us_t now_us)
{
	bool up;

	bf_metric_count(mesh->metrics.store_calls,
	    code == BF_OK ? what : bf_code_name(code), 1);
	if (code != BF_OK)
		bf_event(mesh->events, BF_EVENT_STORE_CALL, now_us,
		    "s:s,s:s,s:I", "call", what, "result", bf_code_name(code),
		    "watched_revision",
		    (json_int_t)mesh->operator_keys.revision);
	up = code != BF_ERR_UNAVAILABLE && code != BF_ERR_UNSETTLED &&
	    code != BF_ERR_TIMEOUT && code != BF_ERR_LIMIT;
	if (mesh->store_up_known && up == mesh->store_up)
		return;
	mesh->store_up_known = true;
	mesh->store_up = up;
	bf_event(mesh->events, up ? BF_EVENT_STORE_UP : BF_EVENT_STORE_DOWN,
	    now_us, "s:s,s:s", "call", what, "result", bf_code_name(code));
}
