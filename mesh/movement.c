#include <stdio.h>
#include <string.h>

#include "mesh/internal.h"

/*
 * The moves of this mesh.  One node leads: the first by name of those that can
 * write to the store.  It judges the evidence of all, tells each change to
 * every node and writes the outcome, under the condition that nobody else has.
 * Two leaders for a moment do no harm.
 */

/* How often the leader judges. */
#define JUDGE_US (200 * BF_US_PER_MS)
/* How often it tells the state of a move although it did not change. */
#define RETELL_US (500 * BF_US_PER_MS)
/* Recent evidence is that of one to two spans. */
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
find_or_add(bf_mesh_t *mesh, const char *service)
{
	bf_tracked_move_t *known;

	known = find_move(mesh, service);
	if (known != NULL)
		return known;
	if (mesh->move_count == BF_MOVES_MAX)
		return NULL;
	known = &mesh->moves[mesh->move_count++];
	*known = (bf_tracked_move_t){ .mesh = mesh };
	(void)snprintf(
	    known->move.service, sizeof(known->move.service), "%s", service);
	return known;
}

static void
log_move(
    const bf_tracked_move_t *known, const char *change, bf_time_us_t now_us)
{
	const bf_move_t *move = &known->move;

	bf_event(known->mesh->events, BF_EVENT_MOVE, now_us,
	    "s:s,s:s,s:s,s:s,s:i,s:s", "service", move->service, "version",
	    move->version, "change", change, "state",
	    bf_move_state_name(move->state), "share_ppm", (int)move->share_ppm,
	    "reason", move->reason);
}

/* The stored outcome of this very move is final. */
static void
adopt_outcome(bf_tracked_move_t *known, bf_time_us_t now_us)
{
	bf_move_t *move = &known->move;

	if (!known->has_stored || known->stored_state == BF_MOVE_ACTIVE ||
	    known->outcome_revision < move->order_revision ||
	    strcmp(known->stored_version, move->version) != 0 ||
	    move->state != BF_MOVE_ACTIVE)
		return;
	move->state = known->stored_state;
	move->share_ppm =
	    known->stored_state == BF_MOVE_COMPLETED ? BF_SHARE_ALL : 0;
	log_move(known, "outcome read", now_us);
}

void
bf_movement_apply_outcome(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	bf_move_outcome_t outcome;
	bf_tracked_move_t *known;
	bf_error_t err;

	if (item->deleted ||
	    mesh->dialect->decode_outcome(
		item->data, item->data_bytes, &outcome, &err) != BF_OK) {
		bf_event(mesh->events, BF_EVENT_ENTRY_BAD, now_us, "s:s", "key",
		    item->key);
		return;
	}
	known = find_or_add(mesh, outcome.service);
	if (known == NULL || item->revision <= known->outcome_revision)
		return;
	known->has_stored = true;
	known->stored_state = outcome.state;
	known->outcome_revision = item->revision;
	(void)snprintf(known->stored_version, sizeof(known->stored_version),
	    "%s", outcome.version);
	if (!known->ordered) {
		/* Its order may be gone by now; the outcome still holds. */
		(void)snprintf(known->move.version, sizeof(known->move.version),
		    "%s", outcome.version);
		known->move.state = outcome.state;
		known->move.share_ppm =
		    outcome.state == BF_MOVE_COMPLETED ? BF_SHARE_ALL : 0;
	}
	adopt_outcome(known, now_us);
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
	bf_tracked_version_t *known;
	bool first;

	if (service[0] == '\0')
		return false;
	known = find_version(mesh, service, version);
	if (known != NULL)
		return !known->confirmed;
	if (mesh->version_count == BF_VERSIONS_MAX)
		return false;
	first = find_version(mesh, service, NULL) == NULL;
	known = &mesh->versions[mesh->version_count++];
	*known = (bf_tracked_version_t){ .first_seen_us = now_us,
		.confirmed = first };
	(void)snprintf(known->service, sizeof(known->service), "%s", service);
	(void)snprintf(known->version, sizeof(known->version), "%s", version);
	if (!first)
		bf_config_source_refresh_orders(mesh, now_us);
	return !first;
}

void
bf_movement_confirm_versions(bf_mesh_t *mesh, bf_time_us_t began_us)
{
	bf_peer_t *peer;
	uint32_t i;

	for (i = 0; i < mesh->version_count; i++) {
		if (mesh->versions[i].first_seen_us <= began_us)
			mesh->versions[i].confirmed = true;
	}
	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (peer->version_unconfirmed)
			peer->version_unconfirmed = bf_movement_record_version(
			    mesh, peer->state.service, peer->state.version, 0);
	}
	if (mesh->self->version_unconfirmed)
		mesh->self->version_unconfirmed = bf_movement_record_version(
		    mesh, mesh->target.heartbeat.service,
		    mesh->target.heartbeat.version, 0);
}

/* The first by name of the nodes that can write, or of all if none can. */
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
leads(bf_mesh_t *mesh)
{
	const bf_peer_t *leader = find_leader(mesh);

	return leader != NULL && leader->self;
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

static void
tell_all(bf_tracked_move_t *known, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = known->mesh;
	bf_peer_t *peer;

	known->announced_at_us = now_us;
	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (peer->self || !peer->connected)
			continue;
		write_move(&mesh->writer, &known->move);
		bf_mesh_link_send(
		    peer->link, BF_FRAME_MOVE, 0, &mesh->writer, NULL, now_us);
	}
}

void
bf_movement_apply_order(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	bf_move_order_t order;
	bf_tracked_move_t *known;
	bf_error_t err;

	if (mesh->dialect->decode_order(
		item->data, item->data_bytes, &order, &err) != BF_OK) {
		bf_event(mesh->events, BF_EVENT_ENTRY_BAD, now_us, "s:s,s:s",
		    "key", item->key, "message", err.message);
		return;
	}
	known = find_or_add(mesh, order.service);
	if (known == NULL || item->revision <= known->move.order_revision)
		return;
	bf_move_begin(&known->move, &order, item->revision, now_us);
	known->ordered = true;
	known->span_start_us = 0;
	adopt_outcome(known, now_us);
	log_move(known, "ordered", now_us);
	/* Most nodes do not follow the store. */
	tell_all(known, now_us);
}

void
bf_movement_receive(bf_mesh_t *mesh, bf_peer_t *peer, bf_wire_reader_t *reader,
    bf_time_us_t now_us)
{
	bf_move_t heard = { .began_us = now_us };
	bf_tracked_move_t *known;
	bool newer, differs;

	bf_wire_read_text(reader, heard.service, sizeof(heard.service));
	bf_wire_read_text(reader, heard.version, sizeof(heard.version));
	heard.order_revision = bf_wire_read_uint(reader, UINT64_MAX);
	heard.duration_us = (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	heard.state =
	    (bf_move_state_t)bf_wire_read_uint(reader, BF_MOVE_ROLLED_BACK);
	heard.share_ppm = (uint32_t)bf_wire_read_uint(reader, BF_SHARE_ALL);
	if (reader->code != BF_OK)
		return;
	known = find_or_add(mesh, heard.service);
	if (known == NULL || heard.order_revision < known->move.order_revision)
		return;
	newer = heard.order_revision > known->move.order_revision;
	/* An end is final, whoever says it; a share is the leader's to say. */
	if (!newer && known->move.state != BF_MOVE_ACTIVE)
		return;
	if (!newer && heard.state == BF_MOVE_ACTIVE &&
	    find_leader(mesh) != peer)
		return;
	differs = newer || heard.state != known->move.state ||
	    heard.share_ppm != known->move.share_ppm;
	if (!newer)
		heard.began_us = known->move.began_us;
	heard.step_us = differs ? now_us : known->move.step_us;
	(void)snprintf(
	    heard.reason, sizeof(heard.reason), "told by %s", peer->instance);
	known->move = heard;
	known->ordered = true;
	if (differs)
		log_move(known, "told", now_us);
}

static const bf_run_tallies_t *
runs_of(const bf_peer_t *peer)
{
	return peer->self ? &peer->mesh->target.runs : &peer->runs;
}

/* Adds what one node's target has and showed. */
static void
view_peer(bf_tracked_move_t *known, bf_peer_t *peer, bf_move_view_t *view,
    bf_run_tallies_t *new_runs, bf_run_tallies_t *old_runs)
{
	bf_mesh_t *mesh = known->mesh;
	const bf_move_t *move = &known->move;
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
	    state->target_state == BF_TARGET_ABSENT)
		return;
	is_new = strcmp(state->version, move->version) == 0;
	if (strcmp(peer->runs_base_version, move->version) != 0) {
		(void)snprintf(peer->runs_base_version,
		    sizeof(peer->runs_base_version), "%s", move->version);
		peer->runs_base = *runs_of(peer);
		if (is_new)
			peer->runs_base.count = 0;
	}
	bf_run_tallies_add(
	    is_new ? new_runs : old_runs, runs_of(peer), &peer->runs_base);
	if (state->target_state == BF_TARGET_READY) {
		if (is_new)
			view->new_slots += state->load.slots;
		else
			view->old_slots += state->load.slots;
	}
	if (!is_new)
		view->old_busy += state->load.running + state->load.waiting;
}

static void
turn_span(bf_tracked_move_t *known, const bf_run_tallies_t *new_runs,
    const bf_run_tallies_t *old_runs, bf_time_us_t now_us)
{
	if (known->span_start_us != 0 &&
	    now_us - known->span_start_us < SPAN_US)
		return;
	if (known->span_start_us == 0) {
		known->span_start_new[0] = *new_runs;
		known->span_start_old[0] = *old_runs;
	}
	known->span_start_new[1] = known->span_start_new[0];
	known->span_start_old[1] = known->span_start_old[0];
	known->span_start_new[0] = *new_runs;
	known->span_start_old[0] = *old_runs;
	known->span_start_us = now_us;
}

static bf_move_change_t
judge(bf_tracked_move_t *known, bf_time_us_t now_us)
{
	bf_run_tallies_t new_runs = { 0 }, old_runs = { 0 };
	bf_run_tallies_t new_recent = { 0 }, old_recent = { 0 };
	bf_move_view_t view = {
		.new_runs = &new_runs,
		.old_runs = &old_runs,
		.new_recent = &new_recent,
		.old_recent = &old_recent,
	};
	bf_peer_t *peer;

	for (peer = known->mesh->peers; peer != NULL; peer = peer->next)
		view_peer(known, peer, &view, &new_runs, &old_runs);
	turn_span(known, &new_runs, &old_runs, now_us);
	bf_run_tallies_add(&new_recent, &new_runs, &known->span_start_new[1]);
	bf_run_tallies_add(&old_recent, &old_runs, &known->span_start_old[1]);
	return bf_move_step(&known->move, &view, now_us);
}

static void
on_written(bf_kv_call_t *call, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bf_tracked_move_t *known =
	    BF_CONTAINER(call, bf_tracked_move_t, write_call);
	bf_mesh_t *mesh = known->mesh;

	known->write_pending = false;
	bf_mesh_record_store_call(mesh, "outcome", reply->code, now_us);
	if (reply->code == BF_OK) {
		known->has_stored = true;
		known->outcome_revision = reply->revision;
		log_move(known, "outcome written", now_us);
	} else if (reply->code == BF_ERR_CONFLICT && reply->item_count > 0) {
		/* Somebody was first, or an earlier write of ours landed. */
		known->has_stored = false;
		if (reply->items[0].data != NULL)
			bf_movement_apply_outcome(
			    mesh, &reply->items[0], now_us);
		else
			known->outcome_revision = 0;
	} else {
		/* Nothing is known of it; the next tick writes again. */
		known->has_stored = false;
	}
}

/* Writes the state of a move unless the store has it. */
static void
write_outcome(bf_tracked_move_t *known, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = known->mesh;
	bf_move_t *move = &known->move;
	bf_move_outcome_t outcome = { .state = move->state };
	char key[2 * BF_NAME_BYTES];
	bf_bytes_t data = { 0 };
	bf_kv_write_t write;

	if (known->write_pending ||
	    (known->has_stored && known->stored_state == move->state &&
		strcmp(known->stored_version, move->version) == 0))
		return;
	memcpy(outcome.service, move->service, sizeof(outcome.service));
	memcpy(outcome.version, move->version, sizeof(outcome.version));
	(void)snprintf(key, sizeof(key), "%s%s", mesh->dialect->outcome_prefix,
	    move->service);
	mesh->dialect->encode_outcome(&outcome, &data);
	write = (bf_kv_write_t){
		.key = key,
		.data = bf_bytes_at(&data),
		.data_bytes = bf_bytes_count(&data),
		.expected_revision = known->outcome_revision,
	};
	known->write_pending = true;
	known->stored_state = move->state;
	memcpy(known->stored_version, move->version,
	    sizeof(known->stored_version));
	known->write_call.done = on_written;
	mesh->kv->vtable->write(
	    mesh->kv, &known->write_call, &write, 1, now_us);
	bf_bytes_free(&data);
}

static void
lead(bf_tracked_move_t *known, bf_time_us_t now_us)
{
	static const char *const changes[] = { "", "share", "completed",
		"taken back" };
	bf_move_change_t change;

	if (known->move.order_revision == 0)
		return;
	write_outcome(known, now_us);
	if (known->move.state != BF_MOVE_ACTIVE)
		return;
	change = judge(known, now_us);
	if (change != BF_MOVE_NO_CHANGE) {
		log_move(known, changes[change], now_us);
		tell_all(known, now_us);
		write_outcome(known, now_us);
	} else if (now_us - known->announced_at_us > RETELL_US) {
		tell_all(known, now_us);
	}
}

/*
 * Sends what the own target showed to the node that leads, which another may
 * become at any time: the tallies are of all runs, so it misses nothing.
 */
static void
tell_runs(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_peer_t *leader = find_leader(mesh);

	if (leader == NULL || leader->self || leader->inbound == NULL)
		return;
	bf_movement_write_runs(mesh, &mesh->writer);
	bf_mesh_link_send(&leader->inbound->link, BF_FRAME_RUNS, 0,
	    &mesh->writer, NULL, now_us);
}

void
bf_movement_tick(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_tracked_move_t *known;
	bool leading;
	uint32_t i;

	leading = mesh->move_count > 0 && leads(mesh);
	for (i = 0; i < mesh->move_count; i++) {
		known = &mesh->moves[i];
		if (now_us - known->evaluated_at_us < JUDGE_US)
			continue;
		known->evaluated_at_us = now_us;
		if (known->move.state == BF_MOVE_ACTIVE &&
		    strcmp(known->move.service,
			mesh->target.heartbeat.service) == 0)
			tell_runs(mesh, now_us);
		if (leading)
			lead(known, now_us);
	}
}

void
bf_movement_stop(bf_mesh_t *mesh)
{
	uint32_t i;

	for (i = 0; i < mesh->move_count; i++) {
		if (mesh->moves[i].write_call.state != NULL)
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
		bf_wire_write_uint(writer, runs->routes[i].timed);
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
		tally->timed = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		tally->time_us = bf_wire_read_uint(reader, UINT64_MAX);
	}
	if (reader->code == BF_OK)
		peer->runs = runs;
}

int
bf_movement_choose_version(
    bf_mesh_t *mesh, const char *service, const char **version)
{
	const bf_tracked_move_t *known;

	known = find_move(mesh, service);
	if (known == NULL || known->move.version[0] == '\0')
		return 0;
	*version = known->move.version;
	switch (known->move.state) {
	case BF_MOVE_COMPLETED:
		return 1;
	case BF_MOVE_ROLLED_BACK:
		return -1;
	default:
		return bf_place_random(&mesh->random) % BF_SHARE_ALL <
			known->move.share_ppm
		    ? 1
		    : -1;
	}
}
