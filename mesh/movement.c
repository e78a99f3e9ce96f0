#include <stdio.h>
#include <string.h>

#include "mesh/internal.h"

/*
 * Coordinates the moves of services to new versions; mesh/move.c decides them.
 * One node is the leader: the first by name of those that can write to the
 * store.  It evaluates the results of the runs on all nodes, sends each change
 * to every node and writes the outcome to the store.  A divided mesh has
 * several leaders; mesh/move_record.c says how they agree on the outcome.
 */

/* Interval at which the leader evaluates each move. */
#define EVALUATE_INTERVAL_US (200 * BF_US_PER_MS)
/*
 * Interval at which the other nodes send it the results of their runs, and how
 * much longer it is for each node: all of them send to the leader.
 */
#define RUNS_INTERVAL_MIN_US (200 * BF_US_PER_MS)
#define RUNS_INTERVAL_PER_NODE_US (BF_US_PER_MS * 3 / 2)
/* Interval at which it sends the state of a move that has not changed. */
#define RESEND_INTERVAL_US (500 * BF_US_PER_MS)
/*
 * Time in which a relay of the own zone confirms a new version; without that,
 * a node reads the orders itself.
 */
#define CONFIRM_BY_RELAY_US (800 * BF_US_PER_MS)
/* Recent results are those of the last one to two spans of this length. */
#define SPAN_US BF_US_PER_S

static bf_tracked_move_t *
find_move(bf_mesh_t *mesh, const char *service)
{
	uint32_t i;

	for (i = 0; i < mesh->move_count; i++) {
		if (strcmp(mesh->moves[i].move.service, service) == 0)
			return &mesh->moves[i];
	}
	return NULL;
}

static bf_tracked_move_t *
find_or_add_move(bf_mesh_t *mesh, const char *service)
{
	bf_tracked_move_t *tracked;

	tracked = find_move(mesh, service);
	if (tracked != NULL)
		return tracked;
	if (mesh->move_count == BF_MOVES_MAX)
		return NULL;
	tracked = &mesh->moves[mesh->move_count++];
	*tracked = (bf_tracked_move_t){ .mesh = mesh };
	(void)snprintf(tracked->move.service, sizeof(tracked->move.service),
	    "%s", service);
	return tracked;
}

static void
log_move(
    const bf_tracked_move_t *tracked, const char *change, bf_time_us_t now_us)
{
	const bf_move_t *move = &tracked->move;

	bf_event(tracked->mesh->events, BF_EVENT_MOVE, now_us,
	    "s:s,s:s,s:s,s:s,s:i,s:s", "service", move->service, "version",
	    move->version, "change", change, "state",
	    bf_move_state_name(move->state), "share_ppm", (int)move->share_ppm,
	    "reason", move->reason);
}

static void
write_move(bf_wire_writer_t *writer, const bf_move_t *move)
{
	bf_wire_write_text(writer, move->service);
	bf_wire_write_text(writer, move->version);
	bf_wire_write_uint(writer, move->order_revision);
	bf_wire_write_uint(writer, (uint64_t)move->duration_us);
	bf_wire_write_uint(writer, move->state);
	bf_wire_write_uint(writer, move->share_ppm);
	bf_wire_write_uint(writer, move->settled_revision);
}

static void
send_to_all(bf_tracked_move_t *tracked, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = tracked->mesh;
	bf_peer_t *peer;

	tracked->announced_at_us = now_us;
	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (peer->self || !peer->connected)
			continue;
		write_move(&mesh->writer, &tracked->move);
		bf_mesh_link_send(
		    peer->link, BF_FRAME_MOVE, 0, &mesh->writer, NULL, now_us);
	}
}

static bool
is_withdrawn(const bf_tracked_move_t *tracked, const char *version)
{
	size_t i;

	for (i = 0; i < BF_WITHDRAWN_MAX; i++) {
		if (tracked->withdrawn[i][0] != '\0' &&
		    strcmp(tracked->withdrawn[i], version) == 0)
			return true;
	}
	return false;
}

static void
add_withdrawn(bf_tracked_move_t *tracked, const char *version)
{
	if (version[0] == '\0' || is_withdrawn(tracked, version))
		return;
	memmove(tracked->withdrawn[1], tracked->withdrawn[0],
	    sizeof(tracked->withdrawn) - sizeof(tracked->withdrawn[0]));
	(void)snprintf(tracked->withdrawn[0], sizeof(tracked->withdrawn[0]),
	    "%s", version);
}

/*
 * Before a newer order replaces the move: a version that was rolled back gets
 * no calls until its targets have gone, unless it is the one ordered.
 */
static void
keep_withdrawn(bf_tracked_move_t *tracked, const char *ordered_version)
{
	const bf_move_record_t *record = &tracked->record;
	size_t i;

	if (tracked->move.state == BF_MOVE_ROLLED_BACK)
		add_withdrawn(tracked, tracked->move.version);
	if (record->is_known && record->stored.state == BF_MOVE_ROLLED_BACK)
		add_withdrawn(tracked, record->stored.version);
	for (i = 0; i < BF_WITHDRAWN_MAX; i++) {
		if (strcmp(tracked->withdrawn[i], ordered_version) == 0)
			tracked->withdrawn[i][0] = '\0';
	}
}

/* Takes over a final state from the store and sends it to all nodes. */
static void
settle(bf_tracked_move_t *tracked, bf_time_us_t now_us)
{
	bf_move_state_t before = tracked->move.state;

	if (!bf_move_settle(&tracked->move, &tracked->record))
		return;
	if (tracked->move.state != before) {
		(void)snprintf(tracked->move.reason,
		    sizeof(tracked->move.reason), "%s in the store, was %s",
		    bf_move_state_name(tracked->move.state),
		    bf_move_state_name(before));
		log_move(tracked, "outcome read", now_us);
	}
	send_to_all(tracked, now_us);
}

/* Whether the item's key is the prefix followed by the service. */
static bool
is_key_of(const bf_kv_item_t *item, const char *prefix, const char *service)
{
	size_t bytes = strlen(prefix);

	return strncmp(item->key, prefix, bytes) == 0 &&
	    strcmp(item->key + bytes, service) == 0;
}

void
bf_movement_apply_outcome(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	bf_move_outcome_t outcome;
	bf_tracked_move_t *tracked;
	bf_error_t err;

	if (item->deleted ||
	    mesh->dialect->decode_outcome(
		item->data, item->data_bytes, &outcome, &err) != BF_OK ||
	    !is_key_of(item, mesh->dialect->outcome_prefix, outcome.service)) {
		bf_event(mesh->events, BF_EVENT_ENTRY_REFUSED, now_us, "s:s",
		    "key", item->key);
		return;
	}
	tracked = find_or_add_move(mesh, outcome.service);
	if (tracked == NULL || item->revision <= tracked->record.revision)
		return;
	bf_move_record_read(&tracked->record, &outcome, item->revision);
	if (!tracked->ordered) {
		/* Its order may have been deleted; the outcome still holds. */
		(void)snprintf(tracked->move.version,
		    sizeof(tracked->move.version), "%s", outcome.version);
		tracked->move.state = outcome.state;
		tracked->move.share_ppm =
		    outcome.state == BF_MOVE_COMPLETED ? BF_SHARE_ALL_PPM : 0;
		return;
	}
	settle(tracked, now_us);
}

static void
write_version(bf_wire_writer_t *writer, const bf_tracked_version_t *tracked)
{
	bf_wire_write_text(writer, tracked->service);
	bf_wire_write_text(writer, tracked->version);
}

static bf_tracked_version_t *
find_version(bf_mesh_t *mesh, const char *service, const char *version)
{
	uint32_t i;

	for (i = 0; i < mesh->version_count; i++) {
		if (strcmp(mesh->versions[i].service, service) == 0 &&
		    (version == NULL ||
			strcmp(mesh->versions[i].version, version) == 0))
			return &mesh->versions[i];
	}
	return NULL;
}

bool
bf_movement_record_version(bf_mesh_t *mesh, const char *service,
    const char *version, bf_time_us_t now_us)
{
	bf_tracked_version_t *tracked;
	bool first;

	if (service[0] == '\0')
		return false;
	tracked = find_version(mesh, service, version);
	if (tracked != NULL)
		return !tracked->confirmed;
	if (mesh->version_count == BF_VERSIONS_MAX)
		return false;
	first = find_version(mesh, service, NULL) == NULL;
	tracked = &mesh->versions[mesh->version_count++];
	*tracked = (bf_tracked_version_t){ .first_seen_us = now_us,
		.confirmed = first };
	(void)snprintf(
	    tracked->service, sizeof(tracked->service), "%s", service);
	(void)snprintf(
	    tracked->version, sizeof(tracked->version), "%s", version);
	if (!first && mesh->relay)
		bf_config_source_refresh_orders(mesh, now_us);
	else if (!first && mesh->orders_due_us == 0)
		mesh->orders_due_us = now_us + CONFIRM_BY_RELAY_US;
	return !first;
}

/* Lists the orders if no relay has confirmed a new version in time. */
static void
check_unconfirmed(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	uint32_t i;

	if (mesh->orders_due_us == 0 || now_us < mesh->orders_due_us)
		return;
	mesh->orders_due_us = 0;
	for (i = 0; i < mesh->version_count; i++) {
		if (!mesh->versions[i].confirmed) {
			bf_config_source_refresh_orders(mesh, now_us);
			return;
		}
	}
}

/* The versions of targets are confirmed if their service's are. */
static void
update_unconfirmed_targets(bf_mesh_t *mesh)
{
	bf_peer_t *peer;

	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (peer->version_unconfirmed)
			peer->version_unconfirmed = bf_movement_record_version(
			    mesh, peer->state.service, peer->state.version, 0);
	}
	if (mesh->self->version_unconfirmed)
		mesh->self->version_unconfirmed = bf_movement_record_version(
		    mesh, mesh->target.presence.heartbeat.service,
		    mesh->target.presence.heartbeat.version, 0);
}

void
bf_movement_confirm_versions(
    bf_mesh_t *mesh, bf_time_us_t began_us, bf_time_us_t now_us)
{
	bool is_new = false;
	bf_peer_t *peer;
	uint32_t i;

	mesh->orders_listed_us = began_us;
	for (i = 0; i < mesh->version_count; i++) {
		if (mesh->versions[i].confirmed ||
		    mesh->versions[i].first_seen_us > began_us)
			continue;
		mesh->versions[i].confirmed = true;
		is_new = true;
	}
	update_unconfirmed_targets(mesh);
	for (peer = mesh->peers; is_new && mesh->relay && peer != NULL;
	     peer = peer->next) {
		if (!peer->self && peer->connected && peer->in_own_zone)
			bf_movement_send_versions(mesh, peer->link, now_us);
	}
}

void
bf_movement_receive_confirmed(
    bf_mesh_t *mesh, bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	char service[BF_SERVICE_BYTES], version[BF_SERVICE_BYTES];
	bf_tracked_version_t *tracked;

	bf_wire_read_text(reader, service, sizeof(service));
	bf_wire_read_text(reader, version, sizeof(version));
	if (reader->code != BF_OK || service[0] == '\0')
		return;
	(void)bf_movement_record_version(mesh, service, version, now_us);
	tracked = find_version(mesh, service, version);
	if (tracked == NULL || tracked->confirmed)
		return;
	tracked->confirmed = true;
	update_unconfirmed_targets(mesh);
}

/*
 * The first by name of the nodes that can write to the store, or of all nodes
 * if none can.
 */
static bf_peer_t *
find_leader(bf_mesh_t *mesh)
{
	bool up, best_up = false;
	bf_peer_t *peer, *best = NULL;

	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (peer->self ? mesh->stopping : !bf_roster_is_live(peer))
			continue;
		up = peer->self ? mesh->store_up : peer->state.store_up;
		if (best == NULL || (up && !best_up) ||
		    (up == best_up &&
			strcmp(peer->instance, best->instance) < 0)) {
			best = peer;
			best_up = up;
		}
	}
	return best;
}

static bool
is_leader(bf_mesh_t *mesh)
{
	const bf_peer_t *leader = find_leader(mesh);

	return leader != NULL && leader->self;
}

void
bf_movement_send_all(bf_mesh_t *mesh, bf_mesh_link_t *link, bf_time_us_t now_us)
{
	uint32_t i;

	for (i = 0; i < mesh->move_count; i++) {
		if (mesh->moves[i].move.order_revision == 0)
			continue;
		write_move(&mesh->writer, &mesh->moves[i].move);
		bf_mesh_link_send(
		    link, BF_FRAME_MOVE, 0, &mesh->writer, NULL, now_us);
	}
}

void
bf_movement_send_versions(
    bf_mesh_t *mesh, bf_mesh_link_t *link, bf_time_us_t now_us)
{
	uint32_t i;

	bf_movement_send_all(mesh, link, now_us);
	for (i = 0; i < mesh->version_count; i++) {
		/* The first of a service is confirmed without a list. */
		if (!mesh->versions[i].confirmed ||
		    mesh->versions[i].first_seen_us > mesh->orders_listed_us)
			continue;
		write_version(&mesh->writer, &mesh->versions[i]);
		bf_mesh_link_send(
		    link, BF_FRAME_VERSION, 0, &mesh->writer, NULL, now_us);
	}
}

/* What was read from the store or written to it is of a former era. */
static void
forget_stored(bf_tracked_move_t *tracked)
{
	tracked->move.settled_revision = 0;
	tracked->record = (bf_move_record_t){
		.written = tracked->record.written,
		.is_writing = tracked->record.is_writing,
	};
}

/* The order of the move has another revision in a new era of the store. */
static void
adopt_revision(bf_tracked_move_t *tracked, uint64_t revision)
{
	tracked->move.order_revision = revision;
	bf_move_history_add(&tracked->history, tracked->move.version, revision);
	forget_stored(tracked);
}

void
bf_movement_store_restored(bf_mesh_t *mesh)
{
	uint32_t i;

	for (i = 0; i < mesh->move_count; i++)
		forget_stored(&mesh->moves[i]);
}

void
bf_movement_apply_order(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	bf_move_order_t order;
	bf_tracked_move_t *tracked;
	bf_error_t err;

	if (mesh->dialect->decode_order(
		item->data, item->data_bytes, &order, &err) != BF_OK) {
		bf_event(mesh->events, BF_EVENT_ENTRY_REFUSED, now_us,
		    "s:s,s:s", "key", item->key, "message", err.message);
		return;
	}
	tracked = find_or_add_move(mesh, order.service);
	if (tracked == NULL)
		return;
	switch (bf_move_history_classify(
	    &tracked->history, &tracked->move, order.version, item->revision)) {
	case BF_ORDER_OLD:
		if (item->revision > tracked->move.order_revision)
			tracked->record.restored_order = item->revision;
		return;
	case BF_ORDER_SAME:
		adopt_revision(tracked, item->revision);
		log_move(tracked, "order restored", now_us);
		send_to_all(tracked, now_us);
		return;
	case BF_ORDER_NEW:
		break;
	}
	bf_move_history_add(&tracked->history, order.version, item->revision);
	keep_withdrawn(tracked, order.version);
	bf_move_begin(&tracked->move, &order, item->revision, now_us);
	tracked->ordered = true;
	tracked->record.order_deleted = false;
	tracked->record.restored_order = 0;
	tracked->span_start_us = 0;
	(void)bf_move_settle(&tracked->move, &tracked->record);
	log_move(tracked, "ordered", now_us);
	/* Only relays read orders from the store: send it to the others. */
	send_to_all(tracked, now_us);
}

/* Whether a peer that leads the active move reports its share. */
static bool
is_share_of_leader(bf_mesh_t *mesh, const bf_peer_t *peer,
    const bf_move_t *received, const bf_move_t *own)
{
	return received->order_revision == own->order_revision &&
	    received->state == BF_MOVE_ACTIVE && own->state == BF_MOVE_ACTIVE &&
	    find_leader(mesh) == peer;
}

void
bf_movement_receive(bf_mesh_t *mesh, bf_peer_t *peer, bf_wire_reader_t *reader,
    bf_time_us_t now_us)
{
	bf_move_t received = { .began_at_us = now_us };
	bf_tracked_move_t *tracked;
	bool newer, differs;

	bf_wire_read_text(reader, received.service, sizeof(received.service));
	bf_wire_read_text(reader, received.version, sizeof(received.version));
	received.order_revision = bf_wire_read_uint(reader, UINT64_MAX);
	received.duration_us =
	    (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	received.state =
	    (bf_move_state_t)bf_wire_read_uint(reader, BF_MOVE_ROLLED_BACK);
	received.share_ppm =
	    (uint32_t)bf_wire_read_uint(reader, BF_SHARE_ALL_PPM);
	/* Not sent by earlier versions. */
	if (!bf_wire_reader_done(reader))
		received.settled_revision =
		    bf_wire_read_uint(reader, UINT64_MAX);
	if (reader->code != BF_OK)
		return;
	tracked = find_or_add_move(mesh, received.service);
	if (tracked == NULL)
		return;
	switch (bf_move_history_classify(&tracked->history, &tracked->move,
	    received.version, received.order_revision)) {
	case BF_ORDER_OLD:
		/* Reported by a node that does not know what came after. */
		if (received.order_revision > tracked->move.order_revision)
			return;
		break;
	case BF_ORDER_SAME:
		adopt_revision(tracked, received.order_revision);
		break;
	case BF_ORDER_NEW:
		break;
	}
	newer = received.order_revision > tracked->move.order_revision;
	if (!bf_move_supersedes(&received, &tracked->move) &&
	    !is_share_of_leader(mesh, peer, &received, &tracked->move))
		return;
	differs = newer || received.state != tracked->move.state ||
	    received.share_ppm != tracked->move.share_ppm;
	if (!newer)
		received.began_at_us = tracked->move.began_at_us;
	received.share_set_at_us =
	    differs ? now_us : tracked->move.share_set_at_us;
	(void)snprintf(received.reason, sizeof(received.reason),
	    "received from %s", peer->instance);
	if (newer)
		keep_withdrawn(tracked, received.version);
	tracked->move = received;
	tracked->ordered = true;
	if (newer) {
		tracked->record.order_deleted = false;
		tracked->record.restored_order = 0;
		bf_move_history_add(&tracked->history, received.version,
		    received.order_revision);
	}
	if (differs)
		log_move(tracked, "told", now_us);
	settle(tracked, now_us);
}

static const bf_run_tallies_t *
peer_runs(const bf_peer_t *peer)
{
	return peer->self ? &peer->mesh->target.runs : &peer->runs;
}

/* Adds the slots of one node's target and the results of its runs. */
static void
add_peer_evidence(bf_tracked_move_t *tracked, bf_peer_t *peer,
    bf_move_evidence_t *evidence, bf_run_tallies_t *new_runs,
    bf_run_tallies_t *old_runs)
{
	bf_mesh_t *mesh = tracked->mesh;
	const bf_move_t *move = &tracked->move;
	const bf_node_state_t *state = &peer->state;
	bf_node_state_t own;
	bool is_new;

	if (peer->self) {
		own = bf_mesh_node_state(mesh, 0);
		state = &own;
	} else if (!peer->connected || !peer->state_known) {
		return;
	}
	if (strcmp(state->service, move->service) != 0 ||
	    state->target_state == BF_TARGET_ABSENT ||
	    is_withdrawn(tracked, state->version))
		return;
	is_new = strcmp(state->version, move->version) == 0;
	if (strcmp(peer->runs_base_version, move->version) != 0) {
		(void)snprintf(peer->runs_base_version,
		    sizeof(peer->runs_base_version), "%s", move->version);
		peer->runs_base = *peer_runs(peer);
		if (is_new)
			peer->runs_base.count = 0;
	}
	bf_run_tallies_add(
	    is_new ? new_runs : old_runs, peer_runs(peer), &peer->runs_base);
	if (state->target_state == BF_TARGET_READY) {
		if (is_new)
			evidence->new_slots += state->load.slots;
		else
			evidence->old_slots += state->load.slots;
	}
	if (!is_new)
		evidence->old_calls +=
		    state->load.running + state->load.waiting;
}

static void
rotate_spans(bf_tracked_move_t *tracked, const bf_run_tallies_t *new_runs,
    const bf_run_tallies_t *old_runs, bf_time_us_t now_us)
{
	if (tracked->span_start_us != 0 &&
	    now_us - tracked->span_start_us < SPAN_US)
		return;
	if (tracked->span_start_us == 0) {
		tracked->span_start_new[0] = *new_runs;
		tracked->span_start_old[0] = *old_runs;
	}
	tracked->span_start_new[1] = tracked->span_start_new[0];
	tracked->span_start_old[1] = tracked->span_start_old[0];
	tracked->span_start_new[0] = *new_runs;
	tracked->span_start_old[0] = *old_runs;
	tracked->span_start_us = now_us;
}

static bf_move_change_t
evaluate(bf_tracked_move_t *tracked, bf_time_us_t now_us)
{
	bf_run_tallies_t new_runs = { 0 }, old_runs = { 0 };
	bf_run_tallies_t new_recent = { 0 }, old_recent = { 0 };
	bf_move_evidence_t evidence = {
		.new_runs = &new_runs,
		.old_runs = &old_runs,
		.new_recent = &new_recent,
		.old_recent = &old_recent,
	};
	bf_peer_t *peer;

	for (peer = tracked->mesh->peers; peer != NULL; peer = peer->next)
		add_peer_evidence(
		    tracked, peer, &evidence, &new_runs, &old_runs);
	rotate_spans(tracked, &new_runs, &old_runs, now_us);
	bf_run_tallies_add(&new_recent, &new_runs, &tracked->span_start_new[1]);
	bf_run_tallies_add(&old_recent, &old_runs, &tracked->span_start_old[1]);
	return bf_move_step(&tracked->move, &evidence, now_us);
}

/* The operators' key of the order, which is only a condition of the write. */
static void
order_key(const bf_tracked_move_t *tracked, char *key, size_t key_bytes)
{
	(void)snprintf(key, key_bytes, "%s%s",
	    tracked->mesh->dialect->order_prefix, tracked->move.service);
}

/* Handles the present items of the keys of a write that was refused. */
static void
read_conflict(
    bf_tracked_move_t *tracked, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	char order[BF_MOVE_KEY_BYTES];
	const bf_kv_item_t *item;
	size_t i;

	order_key(tracked, order, sizeof(order));
	for (i = 0; i < reply->item_count; i++) {
		item = &reply->items[i];
		if (strcmp(item->key, order) == 0) {
			tracked->record.order_deleted = item->revision == 0;
			if (item->revision > tracked->move.order_revision)
				bf_config_source_refresh_orders(
				    tracked->mesh, now_us);
		} else if (item->data == NULL) {
			tracked->record.revision = 0;
			tracked->record.is_known = false;
		} else {
			bf_movement_apply_outcome(tracked->mesh, item, now_us);
			/* One that cannot be decoded is replaced. */
			bf_move_record_read(
			    &tracked->record, NULL, item->revision);
		}
	}
}

static void
on_written(bf_kv_call_t *call, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bf_tracked_move_t *tracked =
	    BF_CONTAINER(call, bf_tracked_move_t, write_call);
	bf_mesh_t *mesh = tracked->mesh;

	bf_mesh_record_store_call(mesh, BF_STORE_OUTCOME, reply->code, now_us);
	if (reply->code == BF_OK) {
		bf_move_record_written(&tracked->record, reply->revision);
		log_move(tracked, "outcome written", now_us);
		settle(tracked, now_us);
		return;
	}
	/* Where the result is unknown, the next tick writes again. */
	bf_move_record_write_failed(&tracked->record);
	if (reply->code == BF_ERR_CONFLICT)
		read_conflict(tracked, reply, now_us);
}

/* Writes the state of a move to the store unless it is there already. */
static void
write_outcome(bf_tracked_move_t *tracked, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = tracked->mesh;
	bf_move_record_t *record = &tracked->record;
	char key[BF_MOVE_KEY_BYTES], order[BF_MOVE_KEY_BYTES];
	bf_bytes_t data = { 0 };
	bf_kv_write_t writes[2];

	if (!bf_move_record_needs_write(record, &tracked->move))
		return;
	bf_move_record_begin_write(record, &tracked->move);
	(void)snprintf(key, sizeof(key), "%s%s", mesh->dialect->outcome_prefix,
	    tracked->move.service);
	order_key(tracked, order, sizeof(order));
	mesh->dialect->encode_outcome(&record->written, &data);
	writes[0] = (bf_kv_write_t){
		.key = key,
		.data = bf_bytes_data(&data),
		.data_bytes = bf_bytes_count(&data),
		.expected_revision = record->revision,
	};
	writes[1] = (bf_kv_write_t){
		.key = order,
		.expected_revision =
		    bf_move_record_order_revision(record, &tracked->move),
	};
	tracked->write_call.done = on_written;
	mesh->kv->vtable->write(
	    mesh->kv, &tracked->write_call, writes, 2, now_us);
	bf_bytes_free(&data);
}

static void
lead_move(bf_tracked_move_t *tracked, bf_time_us_t now_us)
{
	static const char *const changes[] = { "", "share", "completed",
		"taken back" };
	bf_move_change_t change;

	if (tracked->move.order_revision == 0)
		return;
	write_outcome(tracked, now_us);
	if (tracked->move.state != BF_MOVE_ACTIVE)
		return;
	change = evaluate(tracked, now_us);
	if (change != BF_MOVE_CHANGE_NONE) {
		log_move(tracked, changes[change], now_us);
		send_to_all(tracked, now_us);
		write_outcome(tracked, now_us);
	} else if (now_us - tracked->announced_at_us > RESEND_INTERVAL_US) {
		send_to_all(tracked, now_us);
	}
}

/*
 * Sends the tallies of the own target's runs to the leader.  They cover all
 * runs so far, so that a new leader, which any node may become at any time,
 * misses none.
 */
static void
send_runs(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_peer_t *leader = find_leader(mesh);

	if (leader == NULL || leader->self || leader->inbound == NULL)
		return;
	bf_movement_write_runs(mesh, &mesh->writer);
	bf_mesh_link_send(&leader->inbound->link, BF_FRAME_RUNS, 0,
	    &mesh->writer, NULL, now_us);
}

static bf_time_us_t
runs_interval_us(const bf_mesh_t *mesh)
{
	bf_time_us_t interval_us = mesh->peer_count * RUNS_INTERVAL_PER_NODE_US;

	/* Not past the interval in which the leader looks at recent runs. */
	if (interval_us > SPAN_US)
		return SPAN_US;
	return interval_us > RUNS_INTERVAL_MIN_US ? interval_us
						  : RUNS_INTERVAL_MIN_US;
}

static void
on_outcome(
    bf_kv_watcher_t *watcher, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	bf_movement_apply_outcome(
	    BF_CONTAINER(watcher, bf_mesh_t, outcome_keys), item, now_us);
}

static void
on_outcomes_call_done(
    bf_kv_watcher_t *watcher, bf_code_t code, bf_time_us_t now_us)
{
	bf_mesh_record_store_call(
	    BF_CONTAINER(watcher, bf_mesh_t, outcome_keys), BF_STORE_OUTCOMES,
	    code, now_us);
}

static const bf_kv_watcher_vtable_t outcome_keys_vtable = {
	.on_item = on_outcome,
	.on_call_done = on_outcomes_call_done,
};

/*
 * The leader of an active move watches the outcomes: the leader of another part
 * of a divided mesh may end the move first.
 */
static void
watch_outcomes(bf_mesh_t *mesh, bool wanted, bf_time_us_t now_us)
{
	if (wanted == mesh->watching_outcomes)
		return;
	mesh->watching_outcomes = wanted;
	if (!wanted) {
		bf_kv_watcher_stop(&mesh->outcome_keys);
		return;
	}
	mesh->outcome_keys = (bf_kv_watcher_t){
		.vtable = &outcome_keys_vtable,
		.kv = mesh->kv,
		.loop = mesh->loop,
		.prefix = mesh->dialect->outcome_prefix,
		.wait_ms = BF_WATCH_WAIT_MS,
		.random = bf_random_next(&mesh->random),
	};
	bf_kv_watcher_start(&mesh->outcome_keys, now_us);
}

void
bf_movement_tick(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bool leading, active = false;
	bf_tracked_move_t *tracked;
	uint32_t i;

	check_unconfirmed(mesh, now_us);
	leading = mesh->move_count > 0 && is_leader(mesh);
	for (i = 0; i < mesh->move_count; i++)
		active |= mesh->moves[i].move.order_revision != 0 &&
		    mesh->moves[i].move.state == BF_MOVE_ACTIVE;
	watch_outcomes(mesh, leading && active, now_us);
	for (i = 0; i < mesh->move_count; i++) {
		tracked = &mesh->moves[i];
		if (now_us - tracked->evaluated_at_us < EVALUATE_INTERVAL_US)
			continue;
		tracked->evaluated_at_us = now_us;
		if (tracked->move.state == BF_MOVE_ACTIVE &&
		    now_us >= mesh->send_runs_after_us &&
		    strcmp(tracked->move.service,
			mesh->target.presence.heartbeat.service) == 0) {
			mesh->send_runs_after_us =
			    now_us + runs_interval_us(mesh);
			send_runs(mesh, now_us);
		}
		if (leading)
			lead_move(tracked, now_us);
	}
}

void
bf_movement_stop(bf_mesh_t *mesh)
{
	uint32_t i;

	watch_outcomes(mesh, false, 0);
	for (i = 0; i < mesh->move_count; i++) {
		if (mesh->moves[i].write_call.pending != NULL)
			mesh->kv->vtable->cancel(
			    mesh->kv, &mesh->moves[i].write_call);
	}
}

void
bf_movement_write_runs(bf_mesh_t *mesh, bf_wire_writer_t *writer)
{
	const bf_run_tallies_t *runs = &mesh->target.runs;
	uint32_t i;

	bf_wire_write_uint(writer, runs->count);
	for (i = 0; i < runs->count; i++) {
		bf_wire_write_uint(writer, runs->routes[i].route);
		bf_wire_write_uint(writer, runs->routes[i].runs);
		bf_wire_write_uint(writer, runs->routes[i].failures);
		bf_wire_write_uint(writer, runs->routes[i].timed_runs);
		bf_wire_write_uint(writer, runs->routes[i].time_us);
	}
}

void
bf_movement_read_runs(bf_peer_t *peer, bf_wire_reader_t *reader)
{
	bf_run_tallies_t runs = { 0 };
	bf_run_tally_t *tally;
	uint32_t i;

	runs.count = (uint32_t)bf_wire_read_uint(reader, BF_TALLY_ROUTES_MAX);
	for (i = 0; i < runs.count; i++) {
		tally = &runs.routes[i];
		tally->route = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		tally->runs = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		tally->failures =
		    (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		tally->timed_runs =
		    (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		tally->time_us = bf_wire_read_uint(reader, UINT64_MAX);
	}
	if (reader->code == BF_OK)
		peer->runs = runs;
}

int
bf_movement_choose_version(
    bf_mesh_t *mesh, const char *service, const char **version)
{
	const bf_tracked_move_t *tracked;

	tracked = find_move(mesh, service);
	if (tracked == NULL || tracked->move.version[0] == '\0')
		return 0;
	*version = tracked->move.version;
	switch (tracked->move.state) {
	case BF_MOVE_COMPLETED:
		return 1;
	case BF_MOVE_ROLLED_BACK:
		return -1;
	default:
		return bf_random_next(&mesh->random) % BF_SHARE_ALL_PPM <
			tracked->move.share_ppm
		    ? 1
		    : -1;
	}
}

bool
bf_movement_has_withdrawn(bf_mesh_t *mesh, const char *service)
{
	const bf_tracked_move_t *tracked = find_move(mesh, service);
	size_t i;

	for (i = 0; tracked != NULL && i < BF_WITHDRAWN_MAX; i++) {
		if (tracked->withdrawn[i][0] != '\0')
			return true;
	}
	return false;
}

bool
bf_movement_is_withdrawn(
    bf_mesh_t *mesh, const char *service, const char *version)
{
	const bf_tracked_move_t *tracked = find_move(mesh, service);

	return tracked != NULL && is_withdrawn(tracked, version);
}
