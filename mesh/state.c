#include <string.h>

#include "mesh/internal.h"

/*
 * The state that a node reports of itself and its target, and when it reports
 * it to which nodes.
 */

/*
 * Every node reports to every other, so the reports of the mesh grow with the
 * square of its nodes unless each node's interval grows with their number.  The
 * longer it is, the more rests on probes, which are sent only while calls wait.
 */
#define OWN_ZONE_INTERVAL_MIN_US (250 * BF_US_PER_MS)
#define OWN_ZONE_INTERVAL_PER_PEER_US (6 * BF_US_PER_MS)
#define OTHER_ZONES_INTERVAL_MIN_US (2 * BF_US_PER_S)
#define OTHER_ZONES_INTERVAL_PER_PEER_US (20 * BF_US_PER_MS)

bf_report_timing_t
bf_report_timing(bool own_zone, uint32_t peer_count)
{
	bf_time_us_t interval_us = peer_count *
	    (own_zone ? OWN_ZONE_INTERVAL_PER_PEER_US
		      : OTHER_ZONES_INTERVAL_PER_PEER_US);
	bf_time_us_t min_us =
	    own_zone ? OWN_ZONE_INTERVAL_MIN_US : OTHER_ZONES_INTERVAL_MIN_US;

	if (interval_us < min_us)
		interval_us = min_us;
	/* Of the own zone two reports are missed, of others a part of one. */
	if (own_zone)
		return (bf_report_timing_t){ .interval_us = interval_us,
			.silent_after_us = interval_us * 14 / 5,
			.lost_after_us = interval_us * 32 / 5 };
	return (bf_report_timing_t){ .interval_us = interval_us,
		.silent_after_us = interval_us * 7 / 5,
		.lost_after_us = interval_us * 23 / 10 };
}

void
bf_wire_write_load(bf_wire_writer_t *writer, const bf_load_t *load)
{
	bf_wire_write_uint(writer, load->running);
	bf_wire_write_uint(writer, load->waiting);
	bf_wire_write_uint(writer, load->slots);
	bf_wire_write_uint(writer, load->mean_us);
	bf_wire_write_uint(writer, load->failing_ppm);
}

void
bf_wire_read_load(bf_wire_reader_t *reader, bf_load_t *load)
{
	load->running = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
	load->waiting = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
	load->slots = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
	load->mean_us = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
	load->failing_ppm = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
}

bf_node_state_t
bf_mesh_node_state(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_own_target_t *target = &mesh->target;
	bf_node_state_t state = {
		.target_state = target->presence.state,
		.incarnation = mesh->incarnation,
		.stopping = mesh->stop_announced,
		.store_up = mesh->store_up,
		.relay = mesh->relay,
		.link_mbps = mesh->options.link_mbps,
		.config_version = mesh->routing != NULL
		    ? bf_routing_version(mesh->routing)
		    : 0,
		.load = bf_target_load(mesh, now_us),
		.protocol = BF_PROTOCOL_2,
	};

	memcpy(state.instance, mesh->self->instance, sizeof(state.instance));
	memcpy(
	    state.target, target->presence.heartbeat.id, sizeof(state.target));
	memcpy(state.service, target->presence.heartbeat.service,
	    sizeof(state.service));
	memcpy(state.version, target->presence.heartbeat.version,
	    sizeof(state.version));
	return state;
}

static void
write_state(bf_wire_writer_t *writer, const bf_node_state_t *state)
{
	bf_wire_write_text(writer, state->instance);
	bf_wire_write_uint(writer, state->incarnation);
	bf_wire_write_text(writer, state->target);
	bf_wire_write_text(writer, state->service);
	bf_wire_write_text(writer, state->version);
	bf_wire_write_uint(writer, state->target_state);
	bf_wire_write_uint(writer, state->stopping);
	bf_wire_write_uint(writer, state->store_up);
	bf_wire_write_uint(writer, state->relay);
	bf_wire_write_uint(writer, state->link_mbps);
	bf_wire_write_uint(writer, state->config_version);
	bf_wire_write_load(writer, &state->load);
	bf_wire_write_uint(writer, state->protocol);
}

void
bf_node_state_read(bf_wire_reader_t *reader, bf_node_state_t *state)
{
	bf_wire_read_text(reader, state->instance, sizeof(state->instance));
	state->incarnation = bf_wire_read_uint(reader, UINT64_MAX);
	bf_wire_read_text(reader, state->target, sizeof(state->target));
	bf_wire_read_text(reader, state->service, sizeof(state->service));
	bf_wire_read_text(reader, state->version, sizeof(state->version));
	state->target_state =
	    (bf_target_state_t)bf_wire_read_uint(reader, BF_TARGET_DRAINING);
	state->stopping = bf_wire_read_uint(reader, 1) != 0;
	state->store_up = bf_wire_read_uint(reader, 1) != 0;
	state->relay = bf_wire_read_uint(reader, 1) != 0;
	state->link_mbps = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
	state->config_version = bf_wire_read_uint(reader, UINT64_MAX);
	bf_wire_read_load(reader, &state->load);
	if (!bf_wire_reader_done(reader))
		state->protocol =
		    (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
}

void
bf_node_state_send(bf_mesh_t *mesh, bf_mesh_link_t *link,
    const bf_node_state_t *state, bf_time_us_t now_us)
{
	write_state(&mesh->writer, state);
	bf_mesh_link_send(link, BF_FRAME_STATE, 0, &mesh->writer, NULL, now_us);
}

/* Whether two states are equal in what decides if calls may go to the node. */
static bool
target_same(const bf_node_state_t *a, const bf_node_state_t *b)
{
	return strcmp(a->target, b->target) == 0 &&
	    strcmp(a->service, b->service) == 0 &&
	    strcmp(a->version, b->version) == 0 &&
	    a->target_state == b->target_state && a->stopping == b->stopping;
}

bool
bf_node_state_same_for_calls(const bf_node_state_t *a, const bf_node_state_t *b)
{
	return target_same(a, b) && a->relay == b->relay;
}

bool
bf_node_state_same(const bf_node_state_t *a, const bf_node_state_t *b)
{
	return target_same(a, b) && a->store_up == b->store_up &&
	    a->relay == b->relay && a->config_version == b->config_version;
}

/*
 * Each node of a zone reports to each other, so a change that does not affect
 * the choice between targets is reported this much later for each of them.
 */
#define SMALL_CHANGE_PER_PEER_US (6 * BF_US_PER_MS)
/* One that does affect it is reported sooner. */
#define CHANGE_PER_PEER_US (3 * BF_US_PER_MS)
/* A change of the share of failures by this is reported at once. */
#define FAILING_CHANGE_PPM 100000

static uint32_t
difference(uint32_t a, uint32_t b)
{
	return a > b ? a - b : b - a;
}

static bool
has_free_slot(const bf_load_t *load)
{
	return load->running + load->waiting < load->slots;
}

bool
bf_load_report_due(const bf_load_t *sent, const bf_load_t *load,
    uint32_t peer_count, bf_time_us_t since_us)
{
	if (since_us < peer_count * CHANGE_PER_PEER_US)
		return false;
	if (sent->slots != load->slots ||
	    has_free_slot(sent) != has_free_slot(load) ||
	    sent->mean_us / 2 > load->mean_us ||
	    load->mean_us / 2 > sent->mean_us ||
	    difference(sent->running, load->running) > 1 ||
	    difference(sent->waiting, load->waiting) > 1 ||
	    difference(sent->failing_ppm, load->failing_ppm) >=
		FAILING_CHANGE_PPM)
		return true;
	return (sent->running != load->running ||
		   sent->waiting != load->waiting ||
		   sent->failing_ppm != load->failing_ppm) &&
	    since_us >= peer_count * SMALL_CHANGE_PER_PEER_US;
}

void
bf_load_send(bf_mesh_t *mesh, bf_mesh_link_t *link, const bf_load_t *load,
    bf_time_us_t now_us)
{
	bf_wire_write_load(&mesh->writer, load);
	bf_mesh_link_send(link, BF_FRAME_LOAD, 0, &mesh->writer, NULL, now_us);
}

/*
 * Reports to the nodes of the own zone or to those of all others; whole_state:
 * not only the load.
 */
static void
report_to_zone(bf_mesh_t *mesh, bool own_zone, const bf_node_state_t *state,
    bool whole_state, bf_time_us_t now_us)
{
	bf_inbound_t *inbound;

	for (inbound = mesh->inbound; inbound != NULL;
	     inbound = inbound->next) {
		if (inbound->peer == NULL ||
		    inbound->peer->in_own_zone != own_zone)
			continue;
		if (whole_state)
			bf_node_state_send(mesh, &inbound->link, state, now_us);
		else
			bf_load_send(
			    mesh, &inbound->link, &state->load, now_us);
	}
}

/*
 * Whether a change is to be reported to the own zone at once.  A configuration
 * that is in force is so only at relays, which others request it from.
 */
static bool
is_urgent(const bf_node_state_t *state, const bf_node_state_t *sent)
{
	return !target_same(state, sent) || state->store_up != sent->store_up ||
	    state->relay != sent->relay ||
	    (state->relay && state->config_version != sent->config_version);
}

/* Reports what changed, or the load when a report interval is over. */
void
bf_mesh_report_changes(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_node_state_t state = bf_mesh_node_state(mesh, now_us);
	bf_time_us_t since_us = now_us - mesh->sent_own_zone_us;

	if (is_urgent(&state, &mesh->sent_own_zone) ||
	    since_us >= mesh->own_zone_timing.interval_us ||
	    bf_load_report_due(&mesh->sent_own_zone.load, &state.load,
		mesh->own_zone_count, since_us)) {
		report_to_zone(mesh, true, &state,
		    !bf_node_state_same(&state, &mesh->sent_own_zone), now_us);
		mesh->sent_own_zone = state;
		mesh->sent_own_zone_us = now_us;
	}
	/*
	 * Relays report a new configuration to other zones at once, as those
	 * may be cut off from the store, and that they are relays, as only
	 * these are sent the evacuated zones.
	 */
	if (!target_same(&state, &mesh->sent_other_zones) ||
	    (state.relay && !mesh->sent_other_zones.relay &&
		mesh->options.evacuate_ms > 0) ||
	    (state.relay &&
		state.config_version !=
		    mesh->sent_other_zones.config_version) ||
	    now_us - mesh->sent_other_zones_us >=
		mesh->other_zones_timing.interval_us) {
		report_to_zone(mesh, false, &state,
		    !bf_node_state_same(&state, &mesh->sent_other_zones),
		    now_us);
		mesh->sent_other_zones = state;
		mesh->sent_other_zones_us = now_us;
	}
}
