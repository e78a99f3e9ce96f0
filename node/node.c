#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "memory/connections.h"
#include "node/internal.h"
#include "proxy/stream.h"
#include "store/consul.h"

/* Time at the end of a drain in which open connections can be closed. */
#define CLOSE_GRACE_US (500 * BF_US_PER_MS)
/* Time after which a watch of the store that should have ended is aborted. */
/*
 * A watch of 2 s (control/control.c) on a connection that has fallen silent is
 * given up in time for a change to be in force within 4 s.
 */
#define WATCH_SILENCE_MS 1000
/* Capacity for all moves' shares: one per route of each service with a move. */
#define SHARES_MAX 4096
/*
 * Half of what a call takes on its two connections: the memory of the HTTP
 * server for it, and a buffer for its body in each direction.
 */
#define CONNECTION_BYTES \
	((BF_SERVER_CONNECTION_BYTES + 2 * BF_STREAM_BYTES) / 2)

/* Counts a result; called for every request, so without lock or allocation. */
static void
record_evidence(bf_evidence_hook_t *base, uint32_t worker_index,
    const bf_table_route_t *route, const bf_endpoint_t *endpoint,
    bf_endpoint_result_t result, bf_time_us_t latency_us)
{
	bf_node_evidence_hook_t *hook = (bf_node_evidence_hook_t *)base;
	bf_time_us_t age_us;
	uint32_t cell;

	cell = bf_table_cell(route, endpoint);
	if (cell == BF_CELL_NONE || worker_index >= hook->shard_count)
		return;
	age_us = bf_endpoint_age_us(endpoint, bf_clock_monotonic_us());
	if (age_us < BF_TARGET_WARM_UP_US)
		latency_us = BF_LATENCY_NOT_COUNTED;
	bf_evidence_add(hook->shards[worker_index], cell, result, latency_us);
}

static uint32_t
evidence_cell(
    void *ctx, const char *service, const char *route, const char *version)
{
	return bf_evidence_register_cell(ctx, service, route, version);
}

static bf_code_t
compile_table(bf_node_t *node, const bf_snapshot_t *snapshot,
    bf_table_t **table, bf_error_t *err)
{
	bf_record_t *records = NULL;
	bf_share_t *shares;
	size_t count = 0, share_count;
	apr_pool_t *pool;
	bf_code_t code;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a routing table");
	code = bf_control_records(node->control, pool, &records, &count);
	if (code == BF_OK) {
		shares = apr_palloc(pool, SHARES_MAX * sizeof(*shares));
		share_count = bf_moves_shares(node->moves, shares, SHARES_MAX);
		code = bf_table_compile(
		    &(bf_table_input_t){
			.snapshot = snapshot,
			.records = records,
			.record_count = count,
			.shares = shares,
			.share_count = share_count,
			.endpoints = node->endpoints,
			.own_zone = node->settings->node.availability_zone,
			.own_region = node->settings->node.region,
			.own_instance = node->settings->node.instance,
			.now_us = bf_clock_monotonic_us(),
			.cell = evidence_cell,
			.cell_ctx = node->evidence,
		    },
		    table, err);
	}
	apr_pool_destroy(pool);
	return code;
}

static void
publish_table(bf_node_t *node, bf_table_t *table)
{
	node->table_version = bf_table_version(table);
	node->table_outdated = false;
	bf_proxy_publish(node->proxy, table);
}

/* Compiles the table of the configuration in force again. */
static void
refresh_table(bf_node_t *node)
{
	bf_table_t *table = NULL;
	bf_error_t err;

	if (node->snapshot == NULL || !node->table_outdated)
		return;
	if (compile_table(node, node->snapshot, &table, &err) == BF_OK) {
		publish_table(node, table);
		return;
	}
	node->table_outdated = false;
	bf_counter_add(node->counter_shard, node->invariants.bad_table, 1);
	bf_log_line(node->log, LOG_ERR, "the routing table is not updated: %s",
	    err.message);
}

static void
update_move_members(bf_node_t *node)
{
	bf_record_t *records = NULL;
	apr_pool_t *pool;
	size_t count = 0;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return;
	if (bf_control_records(node->control, pool, &records, &count) == BF_OK)
		bf_moves_set_members(
		    node->moves, records, count, bf_clock_wall_us());
	apr_pool_destroy(pool);
}

/*
 * Puts a configuration in force.  The table is compiled first, so that the
 * published table stays when the configuration fails its checks.
 */
static bf_code_t
apply_snapshot(bf_node_t *node, const bf_snapshot_t *snapshot, bf_error_t *err)
{
	bf_table_t *table = NULL;
	bf_code_t code;

	if (snapshot->version <= node->table_version) {
		bf_counter_add(
		    node->counter_shard, node->invariants.older_version, 1);
		return bf_error_set(err, BF_ERR_STALE,
		    "version %llu is not newer than version %llu in force",
		    (unsigned long long)snapshot->version,
		    (unsigned long long)node->table_version);
	}
	code = bf_moves_set_snapshot(node->moves, snapshot, err);
	if (code != BF_OK)
		return code;
	update_move_members(node);
	bf_moves_tick(node->moves, false, bf_clock_wall_us());
	code = compile_table(node, snapshot, &table, err);
	if (code != BF_OK) {
		bf_counter_add(
		    node->counter_shard, node->invariants.bad_table, 1);
		return code;
	}
	publish_table(node, table);
	node->snapshot = snapshot;
	return BF_OK;
}

static bf_code_t
on_snapshot(void *ctx, const bf_snapshot_t *snapshot)
{
	bf_node_t *node = ctx;
	bf_error_t err;
	bf_code_t code;

	pthread_mutex_lock(&node->lock);
	code = apply_snapshot(node, snapshot, &err);
	pthread_mutex_unlock(&node->lock);
	if (code == BF_OK)
		bf_log_line(node->log, LOG_NOTICE,
		    "configuration version %llu is in force",
		    (unsigned long long)snapshot->version);
	else
		bf_log_line(node->log, LOG_ERR,
		    "configuration version %llu is refused: %s",
		    (unsigned long long)snapshot->version, err.message);
	return code;
}

static void
on_members(void *ctx)
{
	bf_node_t *node = ctx;

	pthread_mutex_lock(&node->lock);
	update_move_members(node);
	node->table_outdated = true;
	refresh_table(node);
	pthread_mutex_unlock(&node->lock);
}

static void
on_item(void *ctx, uint32_t kind, const char *key, const void *value,
    size_t value_bytes)
{
	bf_node_t *node = ctx;

	pthread_mutex_lock(&node->lock);
	bf_moves_receive_item(
	    node->moves, kind, key, value, value_bytes, bf_clock_wall_us());
	pthread_mutex_unlock(&node->lock);
}

static void
on_message(void *ctx, const char *from_instance, uint32_t kind,
    const void *data, size_t data_bytes)
{
	bf_node_t *node = ctx;

	(void)from_instance;
	pthread_mutex_lock(&node->lock);
	bf_moves_receive_message(
	    node->moves, kind, data, data_bytes, bf_clock_wall_us());
	pthread_mutex_unlock(&node->lock);
}

/* Reports the state of the target to the proxy and the other nodes. */
static bf_code_t
apply_announcement(bf_node_t *node, bf_error_t *err)
{
	const bf_target_announcement_t *a = &node->announcement;
	bf_record_t fields = { .target_state = a->state };
	bf_code_t code;

	if (atomic_load(&node->drain_started_us) != 0 &&
	    fields.target_state == BF_TARGET_READY)
		fields.target_state = BF_TARGET_DRAINING;
	memcpy(fields.service, a->service, sizeof(fields.service));
	memcpy(fields.version, a->version, sizeof(fields.version));
	fields.slots = a->slots;
	fields.target_incarnation = a->incarnation;
	code = bf_proxy_set_local_target(node->proxy,
	    fields.target_state == BF_TARGET_ABSENT ?
		NULL :
		&(bf_local_target_t){
		    .address = a->address,
		    .service = a->service,
		    .version = a->version,
		    .incarnation = a->incarnation,
		    .slots = a->slots,
		    .state = fields.target_state,
		},
	    err);
	if (code != BF_OK)
		return code;
	return bf_control_set_target(node->control, &fields);
}

static bool
is_same_target(
    const bf_target_announcement_t *a, const bf_target_announcement_t *b)
{
	return a->state == b->state && a->slots == b->slots &&
	    a->incarnation == b->incarnation &&
	    strcmp(a->service, b->service) == 0 &&
	    strcmp(a->version, b->version) == 0 &&
	    strcmp(a->address, b->address) == 0;
}

static bf_code_t
replace_target(bf_node_t *node, const bf_target_announcement_t *announcement,
    bf_error_t *err)
{
	bf_target_announcement_t previous;
	bf_code_t code;

	if (announcement->incarnation < node->announcement.incarnation)
		return bf_error_set(
		    err, BF_ERR_STALE, "the target has restarted since");
	if (is_same_target(announcement, &node->announcement)) {
		node->announcement.last_received_us =
		    announcement->last_received_us;
		return BF_OK;
	}
	previous = node->announcement;
	node->announcement = *announcement;
	code = apply_announcement(node, err);
	if (code != BF_OK) {
		node->announcement = previous;
		return code;
	}
	bf_log_line(node->log, LOG_NOTICE, "target %s %s at %s is %s",
	    announcement->service, announcement->version, announcement->address,
	    announcement->state == BF_TARGET_READY ? "ready" : "draining");
	return BF_OK;
}

bf_code_t
bf_node_announce_target(bf_node_t *node,
    const bf_target_announcement_t *announcement, bf_error_t *err)
{
	bf_code_t code;

	pthread_mutex_lock(&node->lock);
	code = replace_target(node, announcement, err);
	pthread_mutex_unlock(&node->lock);
	return code;
}

/* Makes a target that no longer announces itself absent. */
static void
expire_target(bf_node_t *node, bf_time_us_t now_us)
{
	bf_error_t err;

	if (node->announcement.state == BF_TARGET_ABSENT ||
	    now_us - node->announcement.last_received_us <
		node->settings->target.announce_timeout_ms * BF_US_PER_MS)
		return;
	node->announcement.state = BF_TARGET_ABSENT;
	if (apply_announcement(node, &err) == BF_OK)
		bf_log_line(node->log, LOG_WARNING,
		    "target %s is absent: its announcements have timed out",
		    node->announcement.service);
}

static void
on_tick(void *ctx, bf_time_us_t now_us, bf_time_us_t wall_us)
{
	bf_control_status_t status;
	bf_node_t *node = ctx;

	bf_control_status(node->control, &status);
	pthread_mutex_lock(&node->lock);
	expire_target(node, now_us);
	if (bf_moves_tick(node->moves, status.relay, wall_us))
		node->table_outdated = true;
	refresh_table(node);
	pthread_mutex_unlock(&node->lock);
}

static bf_code_t
create_evidence(bf_node_t *node, bf_error_t *err)
{
	uint32_t i;

	node->evidence = bf_evidence_new();
	node->evidence_hook.base.record = record_evidence;
	node->evidence_hook.shard_count = node->settings->node.threads;
	node->evidence_hook.shards = calloc(
	    node->evidence_hook.shard_count, sizeof(bf_evidence_shard_t *));
	if (node->evidence == NULL || node->evidence_hook.shards == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for the evidence");
	for (i = 0; i < node->evidence_hook.shard_count; i++) {
		node->evidence_hook.shards[i] =
		    bf_evidence_shard(node->evidence);
		if (node->evidence_hook.shards[i] == NULL)
			return bf_error_set(err, BF_ERR_MEMORY,
			    "out of memory for the evidence");
	}
	return BF_OK;
}

static bf_code_t
create_proxy(bf_node_t *node, bf_error_t *err)
{
	const bf_node_settings_t *s = node->settings;
	bf_machine_t machine;

	bf_machine_read(&machine, s->node.memory_mb, 0);
	node->spans = bf_spans_new(
	    s->node.threads, s->trace.ring_spans, s->trace.sample_per_million);
	if (node->spans == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for the spans");
	return bf_proxy_new(
	    &(bf_proxy_options_t){
		.caller_listen = s->caller.listen,
		.mesh_listen = s->mesh.listen,
		.threads = s->node.threads,
		.instance = s->node.instance,
		.zone = s->node.availability_zone,
		.region = s->node.region,
		.counters = node->counters,
		.log = node->log,
		.spans = node->spans,
		.evidence = &node->evidence_hook.base,
		.connections_max =
		    bf_connection_limit(&machine, CONNECTION_BYTES, 0)
			.connections,
	    },
	    &node->proxy, err);
}

static bf_code_t
create_store(bf_node_t *node, bf_error_t *err)
{
	const bf_store_settings_t *s = &node->settings->store;

	if (s->url == NULL)
		return BF_OK;
	return bf_store_consul_new(
	    &(bf_store_consul_options_t){
		.url = s->url,
		.timeout_ms = s->timeout_ms,
		.watch_silence_ms = WATCH_SILENCE_MS,
	    },
	    &node->store, err);
}

static bf_code_t
create_control(bf_node_t *node, bf_error_t *err)
{
	const bf_node_settings_t *s = node->settings;
	bf_code_t code;

	code = bf_control_new(
	    &(bf_control_options_t){
		.instance = s->node.instance,
		.zone = s->node.availability_zone,
		.region = s->node.region,
		.control_address = s->control.listen,
		.mesh_address = s->mesh.listen,
		.seeds = s->control.seeds.items,
		.seed_count = s->control.seeds.count,
		.insecure = s->control.insecure,
		.mesh_public_key = s->control.public_key,
		.mesh_secret_key = s->control.secret_key,
		.allowed_keys = s->control.allowed_keys.items,
		.allowed_key_count = s->control.allowed_keys.count,
		.store = node->store,
		.store_prefix = s->store.prefix,
		.relays_per_zone = s->relay.per_zone,
		.lease_ttl_ms = s->relay.lease_ttl_ms,
		.heartbeat_ms = s->control.heartbeat_ms,
		.suspect_after_ms = s->control.suspect_after_ms,
		.dead_after_ms = s->control.dead_after_ms,
		.kinds = bf_moves_item_kinds,
		.kind_count = bf_moves_item_kind_count,
		.callbacks = {
		    .ctx = node,
		    .snapshot = on_snapshot,
		    .members = on_members,
		    .item = on_item,
		    .message = on_message,
		    .tick = on_tick,
		},
		.counters = node->counters,
		.log = node->log,
	    },
	    &node->control, err);
	if (code != BF_OK)
		return code;
	bf_control_set_outcome_kind(node->control, BF_ITEM_OUTCOME);
	bf_moves_set_control(node->moves, node->control);
	return BF_OK;
}

static bf_code_t
create_moves(bf_node_t *node, bf_error_t *err)
{
	node->moves = bf_moves_new(&(bf_moves_options_t){
	    .instance = node->settings->node.instance,
	    .zone = node->settings->node.availability_zone,
	    .incarnation = node->incarnation,
	    .evidence = node->evidence,
	    .trace_events_max = node->settings->record.ring_events,
	    .counters = node->counters,
	    .log = node->log,
	});
	node->endpoints = bf_endpoint_set_new();
	if (node->moves == NULL || node->endpoints == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for the moves");
	return BF_OK;
}

static bf_code_t
create_counters(bf_node_t *node, bf_error_t *err)
{
	node->counters = bf_counters_new();
	if (node->counters == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for the counters");
	node->counter_shard = bf_counters_add_shard(node->counters);
	if (node->counter_shard == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for the counters");
	node->invariants.older_version = bf_counters_register(
	    node->counters, "bf_invariant_older_version_total");
	node->invariants.bad_table = bf_counters_register(
	    node->counters, "bf_invariant_bad_table_total");
	return BF_OK;
}

bf_code_t
bf_node_new(const bf_node_settings_t *settings, bf_log_t *log, bf_node_t **out,
    bf_error_t *err)
{
	static bf_code_t (*const steps[])(bf_node_t *, bf_error_t *) = {
		create_counters,
		create_evidence,
		create_proxy,
		create_store,
		create_moves,
		create_control,
	};
	bf_node_t *node;
	bf_code_t code;
	size_t i;

	node = calloc(1, sizeof(*node));
	if (node == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for the node");
	node->settings = settings;
	node->log = log;
	node->incarnation = (uint64_t)bf_clock_wall_us();
	pthread_mutex_init(&node->lock, NULL);
	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		code = steps[i](node, err);
		if (code != BF_OK) {
			bf_node_free(node);
			return code;
		}
	}
	*out = node;
	return BF_OK;
}

bf_code_t
bf_node_start(bf_node_t *node, bf_error_t *err)
{
	const bf_node_settings_t *s = node->settings;
	bf_code_t code;

	code = bf_proxy_start(node->proxy, err);
	if (code == BF_OK)
		code = bf_control_start(node->control, err);
	if (code != BF_OK)
		return code;
	return bf_admin_new(
	    &(bf_admin_options_t){
		.listen = s->admin.listen,
		.read_token = s->admin.read_token,
		.apply_token = s->admin.apply_token,
		.target_token = s->admin.target_token,
		.handlers = s->admin.target_token != NULL
		    ? bf_node_handlers
		    : bf_node_handlers_without_token,
		.handler_count = bf_node_handler_count,
		.ctx = node,
		.counters = node->counters,
	    },
	    &node->admin, err);
}

void
bf_node_drain(bf_node_t *node, bf_time_us_t now_us)
{
	bf_time_us_t none = 0;
	bf_error_t err;

	if (!atomic_compare_exchange_strong(
		&node->drain_started_us, &none, now_us))
		return;
	bf_log_line(node->log, LOG_NOTICE, "graceful shutdown begins");
	bf_proxy_drain(node->proxy);
	pthread_mutex_lock(&node->lock);
	if (apply_announcement(node, &err) != BF_OK)
		bf_log_line(node->log, LOG_ERR,
		    "the target is not announced as draining: %s", err.message);
	pthread_mutex_unlock(&node->lock);
}

bool
bf_node_drained(bf_node_t *node, bf_time_us_t now_us)
{
	bf_time_us_t started_us;

	started_us = atomic_load(&node->drain_started_us);
	if (started_us == 0)
		return false;
	if (now_us - started_us >=
	    node->settings->target.drain_timeout_ms * BF_US_PER_MS)
		return true;
	if (bf_proxy_in_flight(node->proxy) > 0)
		return false;
	if (node->accept_stopped_us == 0) {
		bf_proxy_stop_accepting(node->proxy);
		node->accept_stopped_us = now_us;
	}
	return now_us - node->accept_stopped_us >= CLOSE_GRACE_US;
}

void
bf_node_free(bf_node_t *node)
{
	if (node == NULL)
		return;
	bf_admin_free(node->admin);
	if (node->control != NULL) {
		bf_control_stop(node->control);
		bf_control_free(node->control);
	}
	bf_proxy_free(node->proxy);
	if (node->store != NULL)
		bf_store_free(node->store);
	bf_moves_free(node->moves);
	bf_endpoint_set_free(node->endpoints);
	bf_spans_free(node->spans);
	bf_evidence_free(node->evidence);
	free(node->evidence_hook.shards);
	bf_counters_free(node->counters);
	pthread_mutex_destroy(&node->lock);
	free(node);
}
