#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mesh/internal.h"

/* Interval at which a stopping node checks whether its calls have ended. */
#define STOP_POLL_US (50 * BF_US_PER_MS)
/* Callers go elsewhere after two failed readiness checks, one a second. */
#define STOP_MIN_US (2500 * BF_US_PER_MS)
/*
 * Until then other nodes send calls to the target beside this node, which may
 * continue to run; the calls have the rest of STOP_MIN_US to end.
 */
#define STOP_ANNOUNCE_US (1200 * BF_US_PER_MS)
/* Until then replies to other nodes may be written, on links that are slow. */
#define STOP_REPLIES_US (5 * BF_US_PER_S)
/* Last part of the stop timeout, reserved for ending the process. */
#define STOP_RESERVE_US (600 * BF_US_PER_MS)

static void
add_metrics(bf_mesh_t *mesh, bf_metrics_set_t *set)
{
	bf_mesh_metrics_t *m = &mesh->metrics;

	m->calls = bf_metrics_add(set, BF_METRIC_COUNTER, "bf_calls_total",
	    "Calls that entered the mesh at this node, by outcome", "outcome");
	m->causes =
	    bf_metrics_add(set, BF_METRIC_COUNTER, "bf_calls_unserved_total",
		"Calls without an answer from a target, by cause", "cause");
	m->latency =
	    bf_metrics_add(set, BF_METRIC_HISTOGRAM, "bf_call_microseconds",
		"Time from the request head to the answer", "service");
	m->offers = bf_metrics_add(set, BF_METRIC_COUNTER, "bf_offers_total",
	    "Offers of calls to nodes beside targets, by result", "result");
	m->runs = bf_metrics_add(set, BF_METRIC_COUNTER, "bf_runs_total",
	    "Calls offered to the target beside this node, by result",
	    "result");
	m->waited =
	    bf_metrics_add(set, BF_METRIC_HISTOGRAM, "bf_wait_microseconds",
		"Time waited for a slot of the target", NULL);
	m->spent = bf_metrics_add(set, BF_METRIC_HISTOGRAM,
	    "bf_target_microseconds", "Time of a call at the target", NULL);
	m->retries = bf_metrics_add(set, BF_METRIC_COUNTER, "bf_repeats_total",
	    "Retries of calls that a target may have run", "result");
	m->store_calls =
	    bf_metrics_add(set, BF_METRIC_COUNTER, "bf_store_calls_total",
		"Calls to the store, by kind or failure", "result");
	m->store_purposes = bf_metrics_add(set, BF_METRIC_COUNTER,
	    "bf_store_call_purposes_total",
	    "Calls to the store, by what they are for", "purpose");
	m->peers = bf_metrics_add(
	    set, BF_METRIC_GAUGE, "bf_peers", "Other nodes, by state", "state");
	m->config = bf_metrics_add(set, BF_METRIC_GAUGE, "bf_config",
	    "Configuration in force: its version and its age", "figure");
	m->queue = bf_metrics_add(set, BF_METRIC_GAUGE, "bf_target_calls",
	    "Calls at the target beside this node", "state");
	m->zone_share =
	    bf_metrics_add(set, BF_METRIC_GAUGE, "bf_zone_share_ppm",
		"Planned share of calls that leave the zone, in millionths",
		"service");
	m->capacity = bf_metrics_add(set, BF_METRIC_GAUGE, "bf_learnt_capacity",
	    "Learnt capacity of the target beside this node", "figure");
	m->connections = bf_metrics_add(set, BF_METRIC_GAUGE, "bf_connections",
	    "Open connections, of callers and to the target", "side");
	m->log_lines = bf_metrics_add(set, BF_METRIC_GAUGE, "bf_log_lines",
	    "Lines of the event log", "result");
	m->left = bf_metrics_add(set, BF_METRIC_HISTOGRAM,
	    "bf_caller_left_microseconds",
	    "Time from a caller's leaving until its call reached a target "
	    "(start) or its run ended (end), if that was later",
	    "until");
	m->frame_delay = bf_metrics_add(set, BF_METRIC_HISTOGRAM,
	    "bf_frame_delay_microseconds",
	    "Transit time of received frames beyond the recent minimum",
	    "kind");
	m->freshness = bf_metrics_add(set, BF_METRIC_GAUGE, "bf_freshness",
	    "Age of the knowledge of the configuration, and refusal of keys",
	    "figure");
	m->freshness_asks =
	    bf_metrics_add(set, BF_METRIC_COUNTER, "bf_freshness_asks_total",
		"Questions to other nodes for the present configuration, by "
		"result",
		"result");
	m->iteration = bf_metrics_add(set, BF_METRIC_HISTOGRAM,
	    "bf_loop_microseconds",
	    "Time of an iteration of the event loop, without its wait", NULL);
	m->memory = bf_metrics_add(set, BF_METRIC_GAUGE, "bf_memory_bytes",
	    "Bytes held for callers, the target and other nodes", "side");
	m->refused_bodies =
	    bf_metrics_add(set, BF_METRIC_COUNTER, "bf_refused_bodies_total",
		"Bodies and answers that were given up to bound the memory",
		"reason");
	m->accept_failures =
	    bf_metrics_add(set, BF_METRIC_COUNTER, "bf_accept_failures_total",
		"Times that a listener had no descriptor or memory left to "
		"accept a connection",
		"listener");
	m->unsent = bf_metrics_add(set, BF_METRIC_GAUGE, "bf_unsent_bytes",
	    "Bytes that wait to be sent to other nodes", "figure");
}

/* An iteration of the event loop that takes longer is logged. */
#define STALL_US (100 * BF_US_PER_MS)

static void
on_iteration(void *ctx, bf_time_us_t took_us, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = ctx;

	bf_metric_observe(mesh->metrics.iteration, NULL, took_us);
	if (took_us > STALL_US)
		bf_event(mesh->events, BF_EVENT_STALL, now_us, "s:I", "took_us",
		    (json_int_t)took_us);
}

static void
on_listener_changed(bf_listener_observer_t *observer,
    const bf_listener_t *listener, int error, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(observer, bf_mesh_t, listener_observer);

	if (error != 0)
		bf_metric_count(
		    mesh->metrics.accept_failures, listener->name, 1);
	bf_event(mesh->events, BF_EVENT_LISTENER, now_us, "s:s,s:s,s:s",
	    "listener", listener->name, "change",
	    error != 0 ? "paused" : "resumed", "error",
	    error != 0 ? strerror(error) : "");
}

bf_listener_observer_t *
bf_mesh_listener_observer(bf_mesh_t *mesh)
{
	return &mesh->listener_observer;
}

bf_mesh_t *
bf_mesh_new(const bf_mesh_options_t *options, const bf_dialect_t *dialect,
    bf_loop_t *loop, bf_kv_t *kv, bf_events_t *events,
    bf_metrics_set_t *metrics, bf_error_t *err)
{
	bf_mesh_t *mesh;

	mesh = calloc(1, sizeof(*mesh));
	if (mesh == NULL || apr_pool_create(&mesh->pool, NULL) != APR_SUCCESS) {
		free(mesh);
		bf_error_set(
		    err, BF_ERR_MEMORY, "cannot allocate the mesh node");
		return NULL;
	}
	mesh->options = *options;
	mesh->dialect = dialect;
	mesh->loop = loop;
	mesh->kv = kv;
	mesh->events = events;
	mesh->incarnation = (uint64_t)bf_clock_wall_us();
	mesh->random = bf_hash_text(options->instance, mesh->incarnation) | 1;
	if (bf_mesh_freshness_open(mesh) != BF_OK) {
		apr_pool_destroy(mesh->pool);
		free(mesh);
		bf_error_set(
		    err, BF_ERR_MEMORY, "cannot allocate the mesh node");
		return NULL;
	}
	mesh->offered_calls = apr_hash_make(mesh->pool);
	mesh->listener_observer.changed = on_listener_changed;
	mesh->caller_server.listener.source.fd = -1;
	mesh->peer_listener.source.fd = -1;
	bf_machine_read(
	    &mesh->machine, options->memory_mb, options->descriptors_max);
	bf_memory_budget_init(
	    &mesh->memory, bf_memory_budget_limit(mesh->machine.memory_bytes));
	bf_wire_writer_init(&mesh->writer);
	bf_mesh_set_service(mesh, options->service);
	add_metrics(mesh, metrics);
	mesh->caps = bf_caps_new(mesh, metrics);
	bf_presence_init(&mesh->target.presence,
	    (bf_time_us_t)mesh->incarnation, !options->first_start);
	bf_target_open(mesh);
	if (bf_evacuation_open(mesh, metrics, err) != BF_OK) {
		bf_mesh_free(mesh);
		return NULL;
	}
	return mesh;
}

void
bf_mesh_set_service(bf_mesh_t *mesh, const char *service)
{
	(void)snprintf(mesh->service, sizeof(mesh->service), "%s", service);
}

bf_code_t
bf_mesh_start(bf_mesh_t *mesh, bf_time_us_t now_us, bf_error_t *err)
{
	bf_code_t code;

	code = bf_entry_open(mesh, now_us, err);
	if (code == BF_OK)
		code = bf_roster_open(mesh, now_us, err);
	if (code != BF_OK)
		return code;
	bf_caps_start(mesh->caps, now_us);
	bf_registry_start(mesh, now_us);
	bf_config_source_start(mesh, now_us);
	bf_loop_observe(mesh->loop, on_iteration, mesh);
	return BF_OK;
}

void
bf_mesh_free(bf_mesh_t *mesh)
{
	if (mesh == NULL)
		return;
	bf_loop_observe(mesh->loop, NULL, NULL);
	if (mesh->caller_server.loop != NULL)
		bf_http_server_close(&mesh->caller_server);
	bf_config_source_stop(mesh);
	bf_mesh_freshness_close(mesh);
	bf_registry_stop(mesh);
	bf_roster_close(mesh);
	bf_caps_free(mesh->caps);
	bf_target_cancel_health_check(mesh);
	bf_evacuation_close(mesh);
	bf_http_client_reset(&mesh->target.client);
	bf_loop_timer_cancel(mesh->loop, &mesh->target.expiry_timer);
	bf_loop_timer_cancel(mesh->loop, &mesh->stop_timer);
	bf_loop_timer_cancel(mesh->loop, &mesh->crowd_timer);
	bf_movement_stop(mesh);
	bf_routing_release(mesh->routing);
	bf_bytes_free(&mesh->config);
	bf_bytes_free(&mesh->config_before);
	bf_bytes_free(&mesh->config_delta);
	bf_wire_writer_free(&mesh->writer);
	apr_pool_destroy(mesh->pool);
	free(mesh);
}

bool
bf_mesh_ready(const bf_mesh_t *mesh)
{
	return mesh->routing != NULL && !mesh->stopping &&
	    !bf_mesh_refuses_keys(mesh);
}

bf_time_us_t
bf_mesh_stop_deadline_us(const bf_mesh_t *mesh)
{
	return mesh->stop_began_us +
	    mesh->options.stop_timeout_ms * BF_US_PER_MS - STOP_RESERVE_US;
}

static bool
has_unsent_replies(const bf_mesh_t *mesh)
{
	const bf_inbound_t *inbound;

	for (inbound = mesh->inbound; inbound != NULL;
	     inbound = inbound->next) {
		if (bf_tcp_unsent(&inbound->link.tcp) > 0)
			return true;
	}
	return false;
}

static bool
is_drained(const bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_time_us_t since_us = now_us - mesh->stop_began_us;

	if (now_us >= bf_mesh_stop_deadline_us(mesh))
		return true;
	if (since_us < STOP_MIN_US || mesh->entry_call_count > 0 ||
	    bf_target_call_count(mesh) > 0)
		return false;
	/* A request being read, or an answer that is not on its way yet. */
	return bf_http_server_is_idle(&mesh->caller_server) &&
	    (since_us >= STOP_REPLIES_US || !has_unsent_replies(mesh));
}

static void
on_stop_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(timer, bf_mesh_t, stop_timer);
	const uint64_t *calls = mesh->store_call_counts;

	if (!mesh->stop_announced &&
	    now_us - mesh->stop_began_us >= STOP_ANNOUNCE_US) {
		mesh->stop_announced = true;
		bf_mesh_report_changes(mesh, now_us);
	}
	if (!is_drained(mesh, now_us)) {
		bf_loop_timer_set(mesh->loop, timer, now_us + STOP_POLL_US);
		return;
	}
	bf_event(mesh->events, BF_EVENT_STOPPED, now_us,
	    "s:i,s:i,s:I,s:{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "entry_calls",
	    (int)mesh->entry_call_count, "target_calls",
	    (int)bf_target_call_count(mesh), "after_us",
	    (json_int_t)(now_us - mesh->stop_began_us), "store_calls", "lease",
	    (json_int_t)calls[BF_STORE_LEASE], "record",
	    (json_int_t)calls[BF_STORE_RECORD], "nodes",
	    (json_int_t)calls[BF_STORE_NODES], "renewal",
	    (json_int_t)calls[BF_STORE_RENEWAL], "operator",
	    (json_int_t)calls[BF_STORE_OPERATOR], "orders",
	    (json_int_t)calls[BF_STORE_ORDERS], "outcomes",
	    (json_int_t)calls[BF_STORE_OUTCOMES], "outcome",
	    (json_int_t)calls[BF_STORE_OUTCOME]);
	mesh->stopped(mesh->stopped_ctx);
}

void
bf_mesh_stop(
    bf_mesh_t *mesh, void (*stopped)(void *ctx), void *ctx, bf_time_us_t now_us)
{
	if (mesh->stopping)
		return;
	mesh->stopping = true;
	mesh->stop_began_us = now_us;
	mesh->stopped = stopped;
	mesh->stopped_ctx = ctx;
	bf_event(mesh->events, BF_EVENT_STOPPING, now_us, "s:i,s:i",
	    "entry_calls", (int)mesh->entry_call_count, "target_calls",
	    (int)bf_target_call_count(mesh));
	/*
	 * The record in the store is kept: the next process reads from it which
	 * target has departed.
	 */
	bf_http_server_drain(&mesh->caller_server);
	mesh->stop_timer.fire = on_stop_timer;
	bf_loop_timer_set(mesh->loop, &mesh->stop_timer, now_us + STOP_POLL_US);
}

void
bf_mesh_update_gauges(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_mesh_metrics_t *m = &mesh->metrics;
	uint64_t open = 0, silent = 0, closed = 0, unsent = 0, most_unsent = 0;
	const bf_inbound_t *inbound;
	const bf_peer_t *peer;
	size_t bytes;

	for (inbound = mesh->inbound; inbound != NULL;
	     inbound = inbound->next) {
		bytes = bf_tcp_unsent(&inbound->link.tcp);
		unsent += bytes;
		if (bytes > most_unsent)
			most_unsent = bytes;
	}
	for (peer = mesh->peers; peer != NULL; peer = peer->next) {
		if (peer->self)
			continue;
		bytes =
		    peer->link != NULL ? bf_tcp_unsent(&peer->link->tcp) : 0;
		unsent += bytes;
		if (bytes > most_unsent)
			most_unsent = bytes;
		if (!peer->connected)
			closed++;
		else if (peer->silent)
			silent++;
		else
			open++;
	}
	bf_metric_set(
	    m->memory, "callers", mesh->memory.held_by_side[BF_MEMORY_CALLERS]);
	bf_metric_set(
	    m->memory, "target", mesh->memory.held_by_side[BF_MEMORY_TARGET]);
	bf_metric_set(
	    m->memory, "peers", mesh->memory.held_by_side[BF_MEMORY_PEERS]);
	bf_metric_set(m->memory, "limit", mesh->memory.limit_bytes);
	bf_metric_set(m->unsent, "all_connections", unsent);
	bf_metric_set(m->unsent, "fullest_connection", most_unsent);
	bf_metric_set(m->peers, "open", open);
	bf_metric_set(m->peers, "silent", silent);
	bf_metric_set(m->peers, "closed", closed);
	bf_metric_set(m->config, "version",
	    mesh->routing != NULL ? bf_routing_version(mesh->routing) : 0);
	bf_metric_set(m->config, "age_microseconds",
	    mesh->routing != NULL ? (uint64_t)(now_us - mesh->config_applied_us)
				  : 0);
	bf_mesh_freshness_update_gauges(mesh);
	bf_metric_set(m->queue, "running", mesh->target.queue.running);
	bf_metric_set(m->queue, "waiting", mesh->target.queue.count);
	bf_metric_set(m->queue, "slots", mesh->target.queue.slots);
	bf_evacuation_update_gauges(mesh, now_us);
	if (mesh->options.learn_capacity)
		bf_target_update_gauges(mesh, now_us);
	bf_metric_set(
	    m->connections, "callers", mesh->caller_server.conn_count);
	bf_metric_set(
	    m->connections, "callers_limit", mesh->caller_server.conn_max);
	bf_metric_set(m->connections, "target", mesh->target.client.conn_count);
	if (mesh->events != NULL) {
		bf_metric_set(
		    m->log_lines, "written", bf_events_written(mesh->events));
		bf_metric_set(
		    m->log_lines, "dropped", bf_events_dropped(mesh->events));
	}
}
