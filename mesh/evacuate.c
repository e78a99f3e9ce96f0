#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "evacuation/regions.h"
#include "evacuation/zone_set.h"
#include "mesh/internal.h"
#include "store/revision.h"
#include "warmup/coldness.h"
#include "warmup/gate.h"

/*
 * Evacuated availability zones, and the gate of the own target while it is
 * cold.  docs/design/evacuation.md describes the design.
 */

#define PPM 1000000.0
/* How often a cold target waits for the configuration that has its rate. */
#define NO_CONFIG_POLL_US (50 * BF_US_PER_MS)
/* A heartbeat is likely to come before a slower health response. */
#define HEALTH_TIMEOUT_US BF_US_PER_S
/*
 * Operators write again what a restored store lacks.  Ending an evacuation that
 * is still wanted does harm, and one that has ended does little for this long.
 */
#define REWRITTEN_AFTER_US (10 * BF_US_PER_S)

struct bf_evacuation {
	bf_mesh_t *mesh;
	bf_zone_set_t set;     /* in use */
	bf_zone_reader_t read; /* what the own watch has reported */
	bool had_zones;        /* some zone was evacuated since the start */

	bf_coldness_t coldness;
	bf_gate_t gate;
	bf_timer_t gate_timer; /* starts waiting calls */
	bool was_limited;      /* as last logged */
	bf_http_exchange_t health;
	bf_timer_t health_timer;
	bf_time_us_t health_sent_us;

	bf_metric_family_t *evacuated; /* by zone */
	bf_metric_family_t *cold;      /* by figure */
};

static void on_gate_timer(bf_timer_t *timer, bf_time_us_t now_us);
static void on_health_timeout(bf_timer_t *timer, bf_time_us_t now_us);

bf_code_t
bf_evacuation_open(bf_mesh_t *mesh, bf_metrics_set_t *metrics, bf_error_t *err)
{
	bf_evacuation_t *evacuation = calloc(1, sizeof(*evacuation));

	if (evacuation == NULL)
		return bf_error_set(err, BF_ERR_MEMORY,
		    "cannot allocate the set of evacuated zones");
	evacuation->mesh = mesh;
	evacuation->gate_timer.fire = on_gate_timer;
	evacuation->health_timer.fire = on_health_timeout;
	evacuation->evacuated =
	    bf_metrics_add(metrics, BF_METRIC_GAUGE, "bf_evacuated_zones",
		"1 for an availability zone that is evacuated", "zone");
	evacuation->cold = bf_metrics_add(metrics, BF_METRIC_GAUGE,
	    "bf_cold_target",
	    "Whether the target beside this node is cold, and its rate limit",
	    "figure");
	mesh->evacuation = evacuation;
	return BF_OK;
}

void
bf_evacuation_close(bf_mesh_t *mesh)
{
	bf_evacuation_t *evacuation = mesh->evacuation;

	if (evacuation == NULL)
		return;
	bf_loop_timer_cancel(mesh->loop, &evacuation->gate_timer);
	bf_loop_timer_cancel(mesh->loop, &evacuation->health_timer);
	if (evacuation->health.conn != NULL)
		bf_http_cancel(&evacuation->health);
	free(evacuation);
	mesh->evacuation = NULL;
}

/* ---- the own target ---- */

static bool
is_own_zone_evacuated(const bf_mesh_t *mesh)
{
	return bf_zone_set_has(&mesh->evacuation->set, mesh->options.zone);
}

bool
bf_evacuation_holds(const bf_mesh_t *mesh, bf_time_us_t now_us)
{
	if (is_own_zone_evacuated(mesh))
		return true;
	/* A process that has just started may not know of an evacuation. */
	return !mesh->evacuation->set.known &&
	    now_us - mesh->start_us < mesh->options.evacuate_ms * BF_US_PER_MS;
}

/* Reports the load to all nodes, as their choice depends on the slots. */
static void
report_load(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	mesh->sent_own_zone_us = 0;
	mesh->sent_other_zones_us = 0;
	bf_mesh_report_changes(mesh, now_us);
}

/* Whether the settings limit cold targets at all. */
static bool
limits_cold_targets(const bf_mesh_options_t *options)
{
	return options->cold_slack > 0 || options->cold_over_ppm > PPM;
}

void
bf_evacuation_set_gate(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation = mesh->evacuation;
	const bf_mesh_options_t *options = &mesh->options;
	bf_call_queue_t *queue = &mesh->target.queue;
	const bf_mesh_service_t *service = NULL;
	bf_gate_limits_t limits = { .over = 1, .slack = options->cold_slack };
	bool is_cold = bf_coldness_is_cold(&evacuation->coldness, now_us);

	if (options->cold_over_ppm != 0)
		limits.over = options->cold_over_ppm / PPM;
	if (mesh->routing != NULL)
		service = bf_routing_service(
		    mesh->routing, mesh->target.presence.heartbeat.service);
	if (service != NULL)
		limits.calls_per_s = service->cold_calls_per_s;
	bf_gate_set(&evacuation->gate, is_cold, &limits, now_us);
	queue->gate_opens_at_us = 0;
	queue->gate_interval_us = bf_gate_interval_us(&evacuation->gate);
	queue->gate_tokens = 0;
	if (evacuation->gate.limited) {
		queue->gate_opens_at_us =
		    bf_gate_opens_at_us(&evacuation->gate, now_us);
		queue->gate_tokens = bf_gate_tokens(&evacuation->gate, now_us);
	} else if (is_cold && mesh->routing == NULL &&
	    limits_cold_targets(options)) {
		queue->gate_opens_at_us = now_us + NO_CONFIG_POLL_US;
	}
}

void
bf_evacuation_await_gate(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation = mesh->evacuation;
	bf_call_queue_t *queue = &mesh->target.queue;
	bf_time_us_t at_us;

	bf_evacuation_set_gate(mesh, now_us);
	if (queue->gate_opens_at_us == 0 || queue->count == 0 ||
	    queue->running >= queue->slots)
		return;
	at_us = queue->gate_opens_at_us;
	/* The gate opens also when the target is warm. */
	if (!evacuation->coldness.in_doubt &&
	    evacuation->coldness.warm_at_us < at_us)
		at_us = evacuation->coldness.warm_at_us;
	bf_loop_timer_set(mesh->loop, &evacuation->gate_timer, at_us);
}

static void
on_gate_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation =
	    BF_CONTAINER(timer, bf_evacuation_t, gate_timer);

	bf_target_start_waiting(evacuation->mesh, now_us);
}

void
bf_evacuation_call_sent(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_gate_start(&mesh->evacuation->gate, now_us);
}

void
bf_evacuation_call_returned(
    bf_mesh_t *mesh, bf_time_us_t sent_us, bf_time_us_t now_us)
{
	bf_gate_return(&mesh->evacuation->gate, sent_us, now_us);
}

uint32_t
bf_evacuation_slots(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_call_queue_t *queue = &mesh->target.queue;

	if (is_own_zone_evacuated(mesh))
		return 0;
	bf_evacuation_set_gate(mesh, now_us);
	return bf_gate_slots(&mesh->evacuation->gate, queue->slots,
	    bf_call_queue_current_run_us(queue, now_us));
}

/* Logs and reports that the gate limits the target, or no longer does. */
static void
announce_coldness(bf_mesh_t *mesh, const char *why, bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation = mesh->evacuation;
	const bf_coldness_t *coldness = &evacuation->coldness;
	bool is_limited;

	bf_evacuation_set_gate(mesh, now_us);
	is_limited = evacuation->gate.limited;
	if (is_limited == evacuation->was_limited)
		return;
	evacuation->was_limited = is_limited;
	bf_event(mesh->events, BF_EVENT_COLD, now_us, "s:s,s:b,s:s,s:I,s:f",
	    "target", mesh->target.presence.heartbeat.id, "cold",
	    (int)is_limited, "why", why, "left_us",
	    (json_int_t)(coldness->warm_at_us > now_us
		    ? coldness->warm_at_us - now_us
		    : 0),
	    "calls_per_s", is_limited ? evacuation->gate.rate_per_s : 0.0);
	if (mesh->target.presence.state == BF_TARGET_READY)
		report_load(mesh, now_us);
	/* Calls may wait for the gate, which is open now. */
	if (!is_limited && mesh->target.queue.count > 0)
		bf_loop_timer_set(mesh->loop, &evacuation->gate_timer, now_us);
}

void
bf_evacuation_begin_lifetime(
    bf_mesh_t *mesh, bf_time_us_t left_us, bf_time_us_t now_us)
{
	bf_gate_restart(&mesh->evacuation->gate);
	bf_coldness_restart(&mesh->evacuation->coldness, left_us, now_us);
}

void
bf_evacuation_heartbeat(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_coldness_state(&mesh->evacuation->coldness,
	    mesh->target.presence.heartbeat.warm_up_remaining_ms * BF_US_PER_MS,
	    now_us - BF_COLDNESS_HEARTBEAT_AGE_US, now_us);
	announce_coldness(mesh, "heartbeat", now_us);
}

void
bf_evacuation_doubt(bf_mesh_t *mesh, const char *why, bf_time_us_t now_us)
{
	bf_coldness_doubt(&mesh->evacuation->coldness, now_us);
	announce_coldness(mesh, why, now_us);
}

void
bf_evacuation_health(bf_mesh_t *mesh, const bf_http_message_t *message,
    bf_time_us_t sent_us, bf_time_us_t now_us)
{
	const char *id = bf_http_find(message, mesh->dialect->target_id);
	uint64_t left_ms;

	if (mesh->dialect->warm_up_ms == NULL || id == NULL ||
	    strcmp(id, mesh->target.presence.heartbeat.id) != 0)
		return;
	left_ms = bf_http_number(
	    bf_http_find(message, mesh->dialect->warm_up_ms), UINT64_MAX);
	if (left_ms > UINT32_MAX)
		return; /* it states nothing */
	bf_coldness_state(&mesh->evacuation->coldness,
	    (bf_time_us_t)left_ms * BF_US_PER_MS, sent_us, now_us);
	announce_coldness(mesh, "health", now_us);
}

static void
on_health(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation =
	    BF_CONTAINER(exchange, bf_evacuation_t, health);
	bf_mesh_t *mesh = evacuation->mesh;

	bf_loop_timer_cancel(mesh->loop, &evacuation->health_timer);
	if (result != BF_HTTP_ANSWERED)
		return;
	bf_evacuation_health(mesh, message, evacuation->health_sent_us, now_us);
	bf_http_message_free(message);
}

static void
on_health_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation =
	    BF_CONTAINER(timer, bf_evacuation_t, health_timer);

	(void)now_us;
	bf_http_cancel(&evacuation->health);
}

/* Asks the target whether it is cold. */
static void
check_health(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation = mesh->evacuation;

	/* An older request says nothing of the time since the end. */
	if (evacuation->health.conn != NULL)
		bf_http_cancel(&evacuation->health);
	bf_loop_timer_cancel(mesh->loop, &evacuation->health_timer);
	evacuation->health.done = on_health;
	evacuation->health_sent_us = now_us;
	if (mesh->target.presence.state == BF_TARGET_READY &&
	    bf_target_send_health_check(mesh, &evacuation->health, now_us))
		bf_loop_timer_set(mesh->loop, &evacuation->health_timer,
		    now_us + HEALTH_TIMEOUT_US);
}

/* ---- the set of evacuated zones ---- */

bool
bf_evacuation_may_offer(const bf_mesh_t *mesh, const bf_mesh_route_t *route,
    const bf_account_t *account, const bf_peer_t *peer)
{
	return !bf_zone_set_has(&mesh->evacuation->set, peer->zone) &&
	    bf_regions_allow(mesh->options.zones, mesh->options.zone_count,
		peer->zone, route->regions,
		account != NULL ? account->regions : NULL);
}

/* Without a setting, nothing is sent before a zone has been evacuated. */
static bool
has_news(const bf_mesh_t *mesh)
{
	return mesh->relay && mesh->evacuation->set.known &&
	    (mesh->evacuation->had_zones || mesh->options.evacuate_ms > 0);
}

static void
send_set(bf_mesh_t *mesh, bf_mesh_link_t *link, bf_time_us_t now_us)
{
	const bf_zone_set_t *set = &mesh->evacuation->set;
	uint32_t i;

	bf_wire_write_uint(&mesh->writer, set->revision);
	bf_wire_write_uint(&mesh->writer, set->count);
	for (i = 0; i < set->count; i++)
		bf_wire_write_text(&mesh->writer, set->zones[i]);
	bf_mesh_link_send(link, BF_FRAME_ZONES, 0, &mesh->writer, NULL, now_us);
}

void
bf_evacuation_send(bf_inbound_t *inbound, bf_time_us_t now_us)
{
	const bf_peer_t *peer = inbound->peer;

	if (peer == NULL || !has_news(inbound->mesh))
		return;
	if (peer->in_own_zone || (peer->state_known && peer->state.relay))
		send_set(inbound->mesh, &inbound->link, now_us);
}

void
bf_evacuation_send_all(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_inbound_t *inbound;

	for (inbound = mesh->inbound; inbound != NULL; inbound = inbound->next)
		bf_evacuation_send(inbound, now_us);
}

static void
log_set(bf_mesh_t *mesh, const char *from, bf_time_us_t now_us)
{
	const bf_zone_set_t *set = &mesh->evacuation->set;
	bf_bytes_t zones = { 0 };
	uint32_t i;

	for (i = 0; i < set->count; i++)
		bf_bytes_format(
		    &zones, "%s%s", i > 0 ? " " : "", set->zones[i]);
	bf_bytes_add(&zones, "", 1);
	bf_event(mesh->events, BF_EVENT_EVACUATION, now_us, "s:s,s:s,s:b,s:I",
	    "zones", zones.failed ? "" : (const char *)bf_bytes_data(&zones),
	    "from", from, "own_zone", (int)is_own_zone_evacuated(mesh),
	    "revision", (json_int_t)set->revision);
	bf_bytes_free(&zones);
}

/* Enforces a change for the own target. */
static void
apply_to_target(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	if (is_own_zone_evacuated(mesh)) {
		bf_target_refuse_waiting(mesh, BF_CAUSE_DRAINING, now_us);
	} else {
		bf_evacuation_doubt(mesh, "evacuation ended", now_us);
		check_health(mesh, now_us);
	}
	report_load(mesh, now_us);
}

/* Puts a newer set in use and forwards it. */
static bf_zone_set_merge_t
apply_set(bf_mesh_t *mesh, const bf_zone_set_t *set, const char *from,
    bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation = mesh->evacuation;
	bool was_evacuated = is_own_zone_evacuated(mesh);
	bool was_empty = evacuation->set.count == 0;
	bf_zone_set_merge_t result;
	uint32_t i;

	for (i = 0; i < evacuation->set.count; i++)
		bf_metric_set(
		    evacuation->evacuated, evacuation->set.zones[i], 0);
	result = bf_zone_set_merge(&evacuation->set, set);
	for (i = 0; i < evacuation->set.count; i++)
		bf_metric_set(
		    evacuation->evacuated, evacuation->set.zones[i], 1);
	if (result != BF_ZONE_SET_CHANGED)
		return result;
	if (evacuation->set.count > 0)
		evacuation->had_zones = true;
	if (!was_empty || evacuation->set.count > 0)
		log_set(mesh, from, now_us);
	bf_evacuation_send_all(mesh, now_us);
	if (is_own_zone_evacuated(mesh) != was_evacuated)
		apply_to_target(mesh, now_us);
	return result;
}

void
bf_evacuation_receive(
    bf_peer_t *peer, bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = peer->mesh;
	const bf_zone_set_t *own = &mesh->evacuation->set;
	bf_zone_set_t set = { .known = true };
	char zone[BF_NAME_BYTES];
	uint64_t count;

	set.revision = bf_wire_read_uint(reader, UINT64_MAX);
	count = bf_wire_read_uint(reader, BF_ZONES_EVACUATED_MAX);
	while (count-- > 0 && reader->code == BF_OK) {
		bf_wire_read_text(reader, zone, sizeof(zone));
		(void)bf_zone_set_add(&set, zone);
	}
	if (reader->code != BF_OK ||
	    apply_set(mesh, &set, peer->instance, now_us) != BF_ZONE_SET_KEPT)
		return;
	/* The peer may have missed a removal. */
	if (set.revision < own->revision && !bf_zone_set_equal(&set, own) &&
	    peer->inbound != NULL && has_news(mesh))
		send_set(mesh, &peer->inbound->link, now_us);
}

void
bf_evacuation_begin_list(bf_mesh_t *mesh)
{
	bf_zone_reader_begin_list(&mesh->evacuation->read);
}

void
bf_evacuation_read(
    bf_mesh_t *mesh, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	const char *prefix = mesh->dialect->evacuation_prefix;

	if (prefix == NULL || strncmp(item->key, prefix, strlen(prefix)) != 0)
		return;
	if (!bf_zone_reader_report(&mesh->evacuation->read,
		item->key + strlen(prefix), item->revision, item->deleted))
		bf_event(mesh->events, BF_EVENT_ENTRY_REFUSED, now_us,
		    "s:s,s:s,s:s", "key", item->key, "error",
		    bf_code_name(BF_ERR_RANGE), "message",
		    "not an availability zone, or too many");
}

void
bf_evacuation_complete_reading(
    bf_mesh_t *mesh, uint64_t revision, bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation = mesh->evacuation;
	bf_zone_set_t set;

	if (evacuation->set.known &&
	    bf_revision_era(revision) >
		bf_revision_era(evacuation->set.revision))
		bf_zone_reader_carry(&evacuation->read, &evacuation->set,
		    now_us + REWRITTEN_AFTER_US);
	set = bf_zone_reader_set(&evacuation->read, revision, now_us);
	if (mesh->dialect->evacuation_prefix != NULL)
		(void)apply_set(mesh, &set, "store", now_us);
}

void
bf_evacuation_update_gauges(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_evacuation_t *evacuation = mesh->evacuation;

	bf_evacuation_set_gate(mesh, now_us);
	bf_metric_set(evacuation->cold, "cold",
	    bf_coldness_is_cold(&evacuation->coldness, now_us));
	bf_metric_set(
	    evacuation->cold, "in_doubt", evacuation->coldness.in_doubt);
	bf_metric_set(evacuation->cold, "limited", evacuation->gate.limited);
	bf_metric_set(
	    evacuation->cold, "slots", bf_evacuation_slots(mesh, now_us));
}
