#include <string.h>

#include "mesh/internal.h"

/*
 * The operators' side of the store: the configuration and the orders of moves,
 * followed below one prefix; and the outcomes of moves, read once at start.
 */

/*
 * Longest wait of a watch.  A connection to the store can go silent for good,
 * and a change must be in force two seconds after it was made or the
 * connections harmed; with more nodes each waits longer, since one that hears
 * of a change tells the others.
 */
#define WATCH_MS_MIN 3000
#define WATCH_MS_MAX 15000
#define WATCH_PEER_MS 600
/*
 * Changes often come in series; a watch begun this much later answers for
 * several of them.  A fifth of the time in which a change must be in force.
 */
#define GATHER_US (400 * BF_US_PER_MS)

static void
put_in_force(bf_mesh_t *mesh, bf_routing_t *routing, const void *data,
    size_t bytes, bf_time_us_t now_us)
{
	const bf_caller_limits_t *limits = bf_routing_limits(routing);

	bf_routing_release(mesh->routing);
	mesh->routing = routing;
	mesh->config_us = now_us;
	bf_bytes_clear(&mesh->config);
	bf_bytes_add(&mesh->config, data, bytes);
	bf_http_server_limit(&mesh->callers,
	    &(bf_http_limits_t){
		.head_bytes = limits->head_bytes,
		.body_bytes = limits->body_bytes,
		.head_us = limits->head_timeout_ms * BF_US_PER_MS,
		.idle_us = limits->idle_timeout_ms * BF_US_PER_MS,
	    });
}

void
bf_source_take(bf_mesh_t *mesh, const void *data, size_t bytes,
    const char *from, bf_time_us_t now_us)
{
	bf_routing_t *routing = NULL;
	uint64_t version, before;
	bf_error_t err;

	if (mesh->routing != NULL && bytes == bf_bytes_count(&mesh->config) &&
	    memcmp(data, bf_bytes_at(&mesh->config), bytes) == 0)
		return;
	if (mesh->dialect->decode_config(data, bytes, &routing, &err) !=
	    BF_OK) {
		bf_event(mesh->events, BF_EVENT_CONFIG_BAD, now_us,
		    "s:s,s:s,s:s,s:I", "from", from, "error",
		    bf_code_name(err.code), "message", err.message, "bytes",
		    (json_int_t)bytes);
		return;
	}
	version = bf_routing_version(routing);
	before = mesh->routing != NULL ? bf_routing_version(mesh->routing) : 0;
	if (version <= before) {
		bf_routing_release(routing);
		return;
	}
	put_in_force(mesh, routing, data, bytes, now_us);
	bf_event(mesh->events, BF_EVENT_CONFIG, now_us, "s:I,s:I,s:s,s:I",
	    "version", (json_int_t)version, "before", (json_int_t)before,
	    "from", from, "routes",
	    (json_int_t)bf_routing_route_count(routing));
	bf_roster_tell(mesh, now_us);
}

static void
on_item(bf_follow_t *follow, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(follow, bf_mesh_t, follow);
	const bf_dialect_t *dialect = mesh->dialect;

	if (item->deleted)
		return;
	if (strcmp(item->key, dialect->config_key) == 0)
		bf_source_take(
		    mesh, item->data, item->data_bytes, "store", now_us);
	else if (strncmp(item->key, dialect->order_prefix,
		     strlen(dialect->order_prefix)) == 0)
		bf_movement_order(mesh, item, now_us);
}

static void
on_listed(bf_follow_t *follow, bf_time_us_t began_us)
{
	bf_movement_listed(BF_CONTAINER(follow, bf_mesh_t, follow), began_us);
}

static void
on_called(bf_follow_t *follow, bf_code_t code, bf_time_us_t now_us)
{
	bf_mesh_store_called(
	    BF_CONTAINER(follow, bf_mesh_t, follow), "operator", code, now_us);
	/* More nodes by now, perhaps. */
	follow->wait_ms = WATCH_MS_MIN +
	    BF_CONTAINER(follow, bf_mesh_t, follow)->peer_count * WATCH_PEER_MS;
	if (follow->wait_ms > WATCH_MS_MAX)
		follow->wait_ms = WATCH_MS_MAX;
}

static const bf_follow_vtable_t follow_vtable = {
	.item = on_item,
	.listed = on_listed,
	.called = on_called,
};

void
bf_source_refresh(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	if (mesh->follow.vtable != NULL)
		bf_follow_refresh(&mesh->follow, now_us);
}

static void
follow_operator(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->follow = (bf_follow_t){
		.vtable = &follow_vtable,
		.kv = mesh->kv,
		.loop = mesh->loop,
		.prefix = mesh->dialect->operator_prefix,
		.wait_ms = WATCH_MS_MIN,
		.gather_us = GATHER_US,
		.random = bf_place_random(&mesh->random),
	};
	bf_follow_start(&mesh->follow, now_us);
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

	bf_mesh_store_called(mesh, "outcomes", reply->code, now_us);
	if (reply->code != BF_OK) {
		mesh->outcomes_failures++;
		bf_loop_timer(mesh->loop, &mesh->outcomes_timer,
		    now_us +
			bf_follow_pause_us(
			    mesh->outcomes_failures, &mesh->random));
		return;
	}
	for (i = 0; i < reply->item_count; i++)
		bf_movement_outcome(mesh, &reply->items[i], now_us);
	follow_operator(mesh, now_us);
}

static void
on_outcomes_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	list_outcomes(BF_CONTAINER(timer, bf_mesh_t, outcomes_timer), now_us);
}

/*
 * Outcomes come first: a version that was taken back gets no call between the
 * reading of its order and that of its outcome.
 */
void
bf_source_start(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->outcomes_call.done = on_outcomes;
	mesh->outcomes_timer.fire = on_outcomes_timer;
	list_outcomes(mesh, now_us);
}

void
bf_source_stop(bf_mesh_t *mesh)
{
	bf_loop_timer_cancel(mesh->loop, &mesh->outcomes_timer);
	if (mesh->outcomes_call.state != NULL)
		mesh->kv->vtable->cancel(mesh->kv, &mesh->outcomes_call);
	if (mesh->follow.vtable != NULL)
		bf_follow_stop(&mesh->follow);
}
