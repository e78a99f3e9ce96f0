#include <stdlib.h>

#include "freshness/freshness.h"
#include "mesh/internal.h"

/*
 * The age of this node's knowledge of the configuration in force.  A relay
 * proves it by its reads of the store; the other nodes ask relays, or any node
 * if these do not know.  docs/design/accounts.md states who may serve whom for
 * how long.
 *
 * The loop passes monotonic time, which stops while the machine is suspended.
 * The handlers here read the boot-time clock, and pass it on.
 */

/* If caps are enforced, and the settings state no time. */
#define REVOKE_DEFAULT_US (5 * BF_US_PER_S)
/* A newer configuration is requested again after one to two times this. */
#define CONFIG_RETRY_US (300 * BF_US_PER_MS)

struct bf_mesh_freshness {
	bf_mesh_t *mesh;
	bf_freshness_t state;
	bf_timer_t round_timer;
	/* The list or watch of the operators' keys that is in progress. */
	bool is_reading;
	bf_time_us_t read_began_us;
	bf_time_us_t read_wait_us; /* if it is a watch */
	bool refuses;              /* as logged last */
	bool refuses_known;
};

static bool
is_tracked(const bf_mesh_t *mesh)
{
	return mesh->routing != NULL &&
	    bf_routing_accounts(mesh->routing) != NULL &&
	    (mesh->options.fail_closed || mesh->options.cap_window_ms != 0);
}

static uint64_t
own_version(const bf_mesh_t *mesh)
{
	return mesh->routing != NULL ? bf_routing_version(mesh->routing) : 0;
}

bool
bf_mesh_knows_present_config(const bf_mesh_t *mesh, bf_time_us_t boot_us)
{
	return is_tracked(mesh) &&
	    bf_freshness_is_present(&mesh->freshness->state, boot_us);
}

bool
bf_mesh_keys_are_stale(const bf_mesh_t *mesh, bf_time_us_t boot_us)
{
	const bf_freshness_t *state = &mesh->freshness->state;

	return mesh->options.fail_closed && is_tracked(mesh) &&
	    (!bf_freshness_is_present(state, boot_us) ||
		bf_freshness_is_overtaken(state, boot_us));
}

bool
bf_mesh_refuses_keys(const bf_mesh_t *mesh)
{
	return bf_mesh_keys_are_stale(mesh, bf_clock_boottime_us());
}

/* Logs that keys are refused from now on, or served again. */
static void
log_change(struct bf_mesh_freshness *freshness, const char *from,
    bf_time_us_t boot_us, bf_time_us_t now_us)
{
	const bf_mesh_t *mesh = freshness->mesh;
	bool refuses = bf_mesh_keys_are_stale(mesh, boot_us);
	bf_time_us_t age_us = bf_freshness_age_us(&freshness->state, boot_us);

	if (!mesh->options.fail_closed || !is_tracked(mesh) ||
	    (freshness->refuses_known && refuses == freshness->refuses))
		return;
	freshness->refuses = refuses;
	freshness->refuses_known = true;
	bf_event(mesh->events, BF_EVENT_FRESHNESS, now_us,
	    "s:s,s:s,s:I,s:I,s:b", "change",
	    refuses ? "keys refused" : "keys served", "from", from, "age_us",
	    (json_int_t)(age_us == INT64_MAX ? -1 : age_us), "version",
	    (json_int_t)own_version(mesh), "behind",
	    (int)freshness->state.is_behind);
}

/* ---- reads of the store ---- */

uint32_t
bf_mesh_freshness_watch_wait_ms(const bf_mesh_t *mesh)
{
	if (!is_tracked(mesh))
		return BF_WATCH_WAIT_MS;
	return (uint32_t)(bf_freshness_watch_wait_us(
			      mesh->freshness->state.revoke_us) /
	    BF_US_PER_MS);
}

void
bf_mesh_freshness_read_begins(bf_mesh_t *mesh)
{
	mesh->freshness->read_began_us = bf_clock_boottime_us();
	mesh->freshness->read_wait_us =
	    mesh->operator_keys.wait_ms * BF_US_PER_MS;
	mesh->freshness->is_reading = true;
}

void
bf_mesh_freshness_read_done(bf_mesh_t *mesh, bool is_watch,
    const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	struct bf_mesh_freshness *freshness = mesh->freshness;
	bf_time_us_t boot_us = bf_clock_boottime_us();
	bf_reading_t reading = {
		.era = mesh->kv->era,
		.revision = reply->revision,
		.config_version = bf_freshness_newest_version(
		    &freshness->state, own_version(mesh)),
	};

	if (!freshness->is_reading || mesh->routing == NULL)
		return;
	freshness->is_reading = false;
	reading.as_of_us = bf_freshness_read_as_of(freshness->read_began_us,
	    is_watch ? freshness->read_wait_us : 0,
	    is_watch && reply->item_count == 0, boot_us);
	(void)bf_freshness_take(
	    &freshness->state, &reading, own_version(mesh), boot_us);
	log_change(freshness, "store", boot_us, now_us);
	/* The next watch waits this long. */
	mesh->operator_keys.wait_ms = bf_mesh_freshness_watch_wait_ms(mesh);
}

/* ---- questions to other nodes ---- */

/*
 * The live node at index, modulo their number, of those in the own zone or not
 * and, if relays_only, that are relays; NULL: there is none.
 */
static bf_peer_t *
find_nth(bf_mesh_t *mesh, int own_zone, bool relays_only, uint64_t index)
{
	uint64_t count = 0, at = 0;
	bf_peer_t *peer;
	int pass;

	for (pass = 0; pass < 2; pass++) {
		for (peer = mesh->peers; peer != NULL; peer = peer->next) {
			if (peer->self || !bf_roster_is_live(peer) ||
			    (own_zone >= 0 && peer->in_own_zone != own_zone) ||
			    (relays_only && !peer->state.relay))
				continue;
			if (pass == 0)
				count++;
			else if (at++ == index % count)
				return peer;
		}
		if (count == 0)
			return NULL;
	}
	return NULL;
}

static void
ask(struct bf_mesh_freshness *freshness, bf_peer_t *peer, bf_time_us_t boot_us,
    bf_time_us_t now_us)
{
	bf_mesh_t *mesh = freshness->mesh;

	bf_metric_count(mesh->metrics.freshness_asks, "asked", 1);
	bf_wire_write_uint(
	    &mesh->writer, bf_freshness_ask(&freshness->state, boot_us));
	bf_mesh_link_send(
	    peer->link, BF_FRAME_FRESHNESS_GET, 0, &mesh->writer, NULL, now_us);
}

/*
 * Asks the nodes of one round.  The nodes of a zone begin with different relays
 * and each goes on to the next after a round that renewed nothing.
 */
static void
ask_round(struct bf_mesh_freshness *freshness, bf_time_us_t boot_us,
    bf_time_us_t now_us)
{
	bf_mesh_t *mesh = freshness->mesh;
	uint64_t index = bf_hash_text(mesh->self->instance, 0) % UINT32_MAX +
	    freshness->state.fruitless_rounds;
	bf_peer_t *own = NULL, *other = NULL, *any = NULL;
	uint32_t asked;

	asked =
	    bf_freshness_begin_round(&freshness->state, mesh->relay, boot_us);
	if ((asked & BF_FRESHNESS_ASK_OWN_ZONE_RELAY) != 0) {
		own = find_nth(mesh, 1, true, index);
		if (own == NULL && !mesh->relay)
			asked |= BF_FRESHNESS_ASK_OTHER_ZONE_RELAY;
	}
	if ((asked & BF_FRESHNESS_ASK_OTHER_ZONE_RELAY) != 0) {
		other = find_nth(mesh, 0, true, index);
		if (own == NULL && other == NULL)
			asked |= BF_FRESHNESS_ASK_ANY_NODE;
	}
	if ((asked & BF_FRESHNESS_ASK_ANY_NODE) != 0)
		any = find_nth(mesh, -1, false, bf_random_next(&mesh->random));
	if (own != NULL)
		ask(freshness, own, boot_us, now_us);
	if (other != NULL)
		ask(freshness, other, boot_us, now_us);
	if (any != NULL && any != own && any != other)
		ask(freshness, any, boot_us, now_us);
}

static void
on_round(bf_timer_t *timer, bf_time_us_t now_us)
{
	struct bf_mesh_freshness *freshness =
	    BF_CONTAINER(timer, struct bf_mesh_freshness, round_timer);
	bf_mesh_t *mesh = freshness->mesh;
	bf_time_us_t boot_us = bf_clock_boottime_us();
	bf_time_us_t interval_us;

	if (!is_tracked(mesh))
		return;
	ask_round(freshness, boot_us, now_us);
	log_change(freshness, "", boot_us, now_us);
	interval_us = bf_freshness_round_interval_us(&freshness->state);
	/* Nodes that got a configuration together do not ask together. */
	interval_us -= (bf_time_us_t)(bf_random_next(&mesh->random) %
	    (uint64_t)(interval_us / 10 + 1));
	bf_loop_timer_set(mesh->loop, timer, now_us + interval_us);
}

void
bf_mesh_freshness_config_applied(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	struct bf_mesh_freshness *freshness = mesh->freshness;
	bf_time_us_t boot_us = bf_clock_boottime_us();

	bf_freshness_config_applied(
	    &freshness->state, own_version(mesh), boot_us);
	mesh->operator_keys.wait_ms = bf_mesh_freshness_watch_wait_ms(mesh);
	if (!is_tracked(mesh)) {
		bf_loop_timer_cancel(mesh->loop, &freshness->round_timer);
		freshness->refuses_known = false;
	} else if (freshness->round_timer.heap_index == 0) {
		bf_loop_timer_set(mesh->loop, &freshness->round_timer, now_us);
	}
}

void
bf_mesh_freshness_stored_config(
    bf_mesh_t *mesh, bool is_readable, uint64_t version)
{
	bf_freshness_t *state = &mesh->freshness->state;

	if (is_readable)
		bf_freshness_config_read(state);
	else
		bf_freshness_config_unread(state, version, own_version(mesh));
}

void
bf_mesh_freshness_answer(
    bf_inbound_t *inbound, bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = inbound->mesh;
	const bf_freshness_t *state = &mesh->freshness->state;
	bf_time_us_t age_us =
	    bf_freshness_age_us(state, bf_clock_boottime_us());
	uint64_t number = bf_wire_read_uint(reader, UINT64_MAX);

	/* Older knowledge would prove nothing to the peer. */
	if (reader->code != BF_OK || mesh->routing == NULL ||
	    age_us > state->revoke_us)
		return;
	bf_wire_write_uint(&mesh->writer, number);
	bf_wire_write_uint(&mesh->writer, state->reading.era);
	bf_wire_write_uint(&mesh->writer, state->reading.revision);
	bf_wire_write_uint(&mesh->writer, (uint64_t)age_us);
	bf_wire_write_uint(&mesh->writer, own_version(mesh));
	bf_mesh_link_send(
	    &inbound->link, BF_FRAME_FRESHNESS, 0, &mesh->writer, NULL, now_us);
}

/* Requests the configuration that the peer has and this node lacks. */
static void
request_lacked(bf_peer_t *peer, bf_time_us_t boot_us, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = peer->mesh;

	if (!bf_freshness_wants_config(&mesh->freshness->state, boot_us) ||
	    now_us < mesh->config_request_after_us)
		return;
	mesh->config_request_after_us = now_us + CONFIG_RETRY_US +
	    (bf_time_us_t)(bf_random_next(&mesh->random) % CONFIG_RETRY_US);
	bf_config_source_request(peer, now_us);
}

void
bf_mesh_freshness_receive(
    bf_peer_t *peer, bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = peer->mesh;
	struct bf_mesh_freshness *freshness = mesh->freshness;
	bf_time_us_t boot_us = bf_clock_boottime_us();
	bf_reading_t reading = { 0 };
	uint64_t number, age_us;

	number = bf_wire_read_uint(reader, UINT64_MAX);
	reading.era = bf_wire_read_uint(reader, UINT64_MAX);
	reading.revision = bf_wire_read_uint(reader, UINT64_MAX);
	age_us = bf_wire_read_uint(reader, UINT64_MAX);
	reading.config_version = bf_wire_read_uint(reader, UINT64_MAX);
	if (reader->code != BF_OK)
		return;
	switch (bf_freshness_take_reply(&freshness->state, number, &reading,
	    age_us, own_version(mesh), boot_us)) {
	case BF_FRESHNESS_RENEWED:
		bf_metric_count(mesh->metrics.freshness_asks, "renewed", 1);
		log_change(freshness, peer->instance, boot_us, now_us);
		break;
	case BF_FRESHNESS_BEHIND:
		bf_metric_count(mesh->metrics.freshness_asks, "behind", 1);
		request_lacked(peer, boot_us, now_us);
		break;
	case BF_FRESHNESS_OLD:
	case BF_FRESHNESS_UNKNOWN:
		bf_metric_count(mesh->metrics.freshness_asks, "useless", 1);
		break;
	}
}

void
bf_mesh_freshness_update_gauges(const bf_mesh_t *mesh)
{
	bf_time_us_t boot_us = bf_clock_boottime_us();
	bf_time_us_t age_us =
	    bf_freshness_age_us(&mesh->freshness->state, boot_us);

	if (!is_tracked(mesh))
		return;
	bf_metric_set(mesh->metrics.freshness, "unread_version",
	    mesh->freshness->state.unread_version);
	bf_metric_set(
	    mesh->metrics.freshness, "age_microseconds", (uint64_t)age_us);
	bf_metric_set(mesh->metrics.freshness, "keys_refused",
	    bf_mesh_keys_are_stale(mesh, boot_us));
}

bf_code_t
bf_mesh_freshness_open(bf_mesh_t *mesh)
{
	bf_time_us_t revoke_us = mesh->options.revoke_ms != 0
	    ? mesh->options.revoke_ms * BF_US_PER_MS
	    : REVOKE_DEFAULT_US;

	mesh->freshness = calloc(1, sizeof(*mesh->freshness));
	if (mesh->freshness == NULL)
		return BF_ERR_MEMORY;
	mesh->freshness->mesh = mesh;
	mesh->freshness->round_timer.fire = on_round;
	bf_freshness_init(
	    &mesh->freshness->state, revoke_us, bf_random_next(&mesh->random));
	return BF_OK;
}

void
bf_mesh_freshness_close(bf_mesh_t *mesh)
{
	if (mesh->freshness == NULL)
		return;
	bf_loop_timer_cancel(mesh->loop, &mesh->freshness->round_timer);
	free(mesh->freshness);
	mesh->freshness = NULL;
}
