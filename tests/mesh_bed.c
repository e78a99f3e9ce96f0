#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include <apr_strings.h>

#include "tests/mesh_bed.h"

#define STORE_US 500
#define SETTLE_US (150 * BF_US_PER_MS)
/* Well within the 2 s in which a change must be in force. */
#define CONFIG_US (700 * BF_US_PER_MS)

/* ---- the dialect of these tests ---- */

static bf_code_t
decode_config(
    const void *data, size_t bytes, bf_routing_t **out, bf_error_t *err)
{
	char *text = g_strndup(data, bytes), **lines, kind[16], service[64];
	bf_mesh_route_t route;
	bf_routing_t *routing;
	char prefix[64];
	bf_code_t code;
	uint64_t version;
	int i;

	lines = g_strsplit(text, "\n", -1);
	version = strtoull(lines[0], NULL, 10);
	if (version == 0) {
		g_strfreev(lines);
		g_free(text);
		return bf_error_set(err, BF_ERR_PARSE, "no version");
	}
	routing = bf_routing_new(version);
	bf_routing_set_limits(routing,
	    &(bf_caller_limits_t){ .head_bytes = 8192,
		.body_bytes = 1 << 20,
		.head_timeout_ms = 3000,
		.idle_timeout_ms = 15000 });
	for (i = 1; lines[i] != NULL; i++) {
		memset(&route, 0, sizeof(route));
		if (sscanf(lines[i], "%63s %15s %63s %u %u %u %u", prefix, kind,
			service, &route.timeout_ms, &route.objective_ms,
			&route.attempts, &route.priority) != 7)
			continue;
		route.name = apr_pstrdup(bf_routing_pool(routing), prefix);
		route.prefix = route.name;
		route.host = "mesh.test";
		route.kind =
		    strcmp(kind, "safe") == 0 ? BF_ROUTE_SAFE : BF_ROUTE_UNSAFE;
		route.part_count = 1;
		route.parts[0].weight = 1;
		route.parts[0].service =
		    apr_pstrdup(bf_routing_pool(routing), service);
		bf_routing_add_route(routing, &route);
		if (bf_routing_service(routing, service) == NULL)
			bf_routing_add_service(routing,
			    &(bf_mesh_service_t){
				.name = route.parts[0].service,
				.health_path = "/health" });
	}
	g_strfreev(lines);
	g_free(text);
	code = bf_routing_finish(routing, err);
	if (code == BF_OK)
		*out = routing;
	else
		bf_routing_release(routing);
	return code;
}

static bf_code_t
decode_order(
    const void *data, size_t bytes, bf_move_order_t *order, bf_error_t *err)
{
	char *text = g_strndup(data, bytes);
	int n;

	n = sscanf(text, "%63s %63s %u", order->service, order->version,
	    &order->duration_ms);
	g_free(text);
	return n == 3 ? BF_OK : bf_error_set(err, BF_ERR_PARSE, "no order");
}

static bf_code_t
decode_outcome(
    const void *data, size_t bytes, bf_move_outcome_t *outcome, bf_error_t *err)
{
	char *text = g_strndup(data, bytes);
	unsigned int state;
	int n;

	n = sscanf(
	    text, "%63s %63s %u", outcome->service, outcome->version, &state);
	g_free(text);
	outcome->state = (bf_move_state_t)state;
	return n == 3 ? BF_OK : bf_error_set(err, BF_ERR_PARSE, "no outcome");
}

static void
encode_outcome(const bf_move_outcome_t *outcome, bf_bytes_t *out)
{
	bf_bytes_format(out, "%s %s %u", outcome->service, outcome->version,
	    (unsigned int)outcome->state);
}

static const bf_dialect_t dialect = {
	.request_id = "Call-Id",
	.time_left_ms = "Left-Ms",
	.expected_target = "For-Target",
	.caller_service = "From-Service",
	.not_run = "Not-Run",
	.target_load = "Load",
	.operator_prefix = "ops/",
	.config_key = "ops/config",
	.order_prefix = "ops/move/",
	.outcome_prefix = "out/",
	.member_prefix = "members/",
	.decode_config = decode_config,
	.decode_order = decode_order,
	.decode_outcome = decode_outcome,
	.encode_outcome = encode_outcome,
};

/* ---- the store ---- */

static bed_kv_t *
store_of(bf_kv_t *kv)
{
	return (bed_kv_t *)(void *)kv;
}

static void
finish_call(bed_kv_call_t *entry, bf_time_us_t now_us)
{
	bf_kv_call_t *call = entry->call;

	if (call == NULL)
		return;
	bf_loop_timer_cancel(entry->kv->bed->loop, &entry->timer);
	entry->call = NULL;
	call->state = NULL;
	if (entry->kv->down)
		entry->reply = (bf_kv_reply_t){ .code = BF_ERR_UNAVAILABLE };
	call->done(call, &entry->reply, now_us);
}

static void
on_call_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	finish_call(BF_CONTAINER(timer, bed_kv_call_t, timer), now_us);
}

static bed_kv_call_t *
begin_call(bf_kv_t *kv, bf_kv_call_t *call, bf_time_us_t after_us)
{
	bed_kv_t *store = store_of(kv);
	bed_kv_call_t *entry = NULL;
	size_t i;

	for (i = 0; i < BED_CALLS_MAX && entry == NULL; i++) {
		if (store->calls[i].call == NULL)
			entry = &store->calls[i];
	}
	g_assert_nonnull(entry);
	memset(entry, 0, sizeof(*entry));
	entry->kv = store;
	entry->call = call;
	entry->timer.fire = on_call_timer;
	entry->reply.items = entry->items;
	entry->reply.revision = store->revision;
	call->state = entry;
	bf_loop_timer(store->bed->loop, &entry->timer,
	    bf_clock_monotonic_us() + after_us);
	return entry;
}

static void
put_item(bed_kv_call_t *entry, const bed_key_t *key)
{
	entry->items[entry->reply.item_count++] =
	    (bf_kv_item_t){ .key = key->key,
		    .data = key->data,
		    .data_bytes = key->data_bytes,
		    .revision = key->revision,
		    .lease = key->lease };
}

static void
collect(bed_kv_call_t *entry, const char *prefix, uint64_t after)
{
	bed_kv_t *store = entry->kv;
	uint32_t i;

	entry->reply.item_count = 0;
	entry->reply.revision = store->revision;
	for (i = 0; i < store->key_count; i++) {
		if (strncmp(store->keys[i].key, prefix, strlen(prefix)) == 0 &&
		    store->keys[i].revision > after)
			put_item(entry, &store->keys[i]);
	}
}

static void
kv_list(bf_kv_t *kv, bf_kv_call_t *call, const char *prefix,
    const char *after_key, bool stale, bf_time_us_t now_us)
{
	bed_kv_call_t *entry = begin_call(kv, call, STORE_US);

	(void)after_key;
	(void)now_us;
	store_of(kv)->lists++;
	collect(entry, prefix, 0);
	if (stale && store_of(kv)->behind) {
		entry->reply.item_count = 0;
		entry->reply.revision = 1;
	}
}

static void
kv_watch(bf_kv_t *kv, bf_kv_call_t *call, const char *prefix,
    uint64_t after_revision, uint32_t wait_ms, bf_time_us_t now_us)
{
	bed_kv_call_t *entry = begin_call(kv, call, wait_ms * BF_US_PER_MS);

	entry->watch = true;
	entry->after = after_revision;
	(void)snprintf(entry->prefix, sizeof(entry->prefix), "%s", prefix);
	if (store_of(kv)->down) {
		bf_loop_timer(
		    store_of(kv)->bed->loop, &entry->timer, now_us + STORE_US);
		return;
	}
	if (store_of(kv)->deaf)
		return;
	collect(entry, prefix, after_revision);
	if (entry->reply.item_count > 0)
		bf_loop_timer(
		    store_of(kv)->bed->loop, &entry->timer, now_us + STORE_US);
}

/* Tells watches of what has changed. */
static void
wake_watches(bed_kv_t *store)
{
	size_t i;

	for (i = 0; i < BED_CALLS_MAX && !store->deaf; i++) {
		if (store->calls[i].call == NULL || !store->calls[i].watch)
			continue;
		collect(&store->calls[i], store->calls[i].prefix,
		    store->calls[i].after);
		if (store->calls[i].reply.item_count > 0)
			bf_loop_timer(store->bed->loop, &store->calls[i].timer,
			    bf_clock_monotonic_us() + STORE_US);
	}
}

static bed_key_t *
find_key(bed_kv_t *store, const char *key)
{
	uint32_t i;

	for (i = 0; i < store->key_count; i++) {
		if (strcmp(store->keys[i].key, key) == 0)
			return &store->keys[i];
	}
	return NULL;
}

static void
store_put(bed_kv_t *store, const char *key, const void *data, size_t bytes,
    uint64_t lease)
{
	bed_key_t *entry = find_key(store, key);

	if (entry == NULL) {
		g_assert_cmpuint(store->key_count, <, BED_KEYS_MAX);
		entry = &store->keys[store->key_count++];
		(void)snprintf(entry->key, sizeof(entry->key), "%s", key);
	}
	g_assert_cmpuint(bytes, <, sizeof(entry->data));
	memcpy(entry->data, data, bytes);
	entry->data_bytes = bytes;
	entry->lease = lease;
	entry->revision = ++store->revision;
}

static void
kv_write(bf_kv_t *kv, bf_kv_call_t *call, const bf_kv_write_t *writes,
    size_t count, bf_time_us_t now_us)
{
	bed_kv_call_t *entry = begin_call(kv, call, STORE_US);
	bed_kv_t *store = store_of(kv);
	const bed_key_t *key;
	size_t i;

	(void)now_us;
	store->writes++;
	if (store->down)
		return;
	for (i = 0; i < count; i++) {
		key = find_key(store, writes[i].key);
		if ((key != NULL ? key->revision : 0) ==
		    writes[i].expected_revision)
			continue;
		entry->reply.code = BF_ERR_CONFLICT;
		if (key != NULL)
			put_item(entry, key);
		return;
	}
	for (i = 0; i < count; i++)
		store_put(store, writes[i].key, writes[i].data,
		    writes[i].data_bytes, writes[i].lease);
	entry->reply.revision = store->revision;
	if (store->lost)
		entry->reply = (bf_kv_reply_t){ .code = BF_ERR_UNSETTLED };
	wake_watches(store);
}

static void
kv_lease_grant(
    bf_kv_t *kv, bf_kv_call_t *call, uint32_t ttl_ms, bf_time_us_t now_us)
{
	bed_kv_call_t *entry = begin_call(kv, call, STORE_US);

	(void)now_us;
	entry->reply.lease = 1000 + store_of(kv)->revision;
	entry->reply.ttl_ms = ttl_ms;
}

static void
kv_lease_renew(
    bf_kv_t *kv, bf_kv_call_t *call, uint64_t lease, bf_time_us_t now_us)
{
	(void)lease;
	(void)now_us;
	(void)begin_call(kv, call, STORE_US);
}

static void
kv_cancel(bf_kv_t *kv, bf_kv_call_t *call)
{
	bed_kv_call_t *entry = call->state;

	bf_loop_timer_cancel(store_of(kv)->bed->loop, &entry->timer);
	entry->call = NULL;
	call->state = NULL;
}

static const bf_kv_vtable_t kv_vtable = {
	.list = kv_list,
	.watch = kv_watch,
	.write = kv_write,
	.lease_grant = kv_lease_grant,
	.lease_renew = kv_lease_renew,
	.lease_end = kv_lease_renew,
	.cancel = kv_cancel,
};

void
bed_put(mesh_bed_t *bed, const char *key, const char *data)
{
	store_put(&bed->store, key, data, strlen(data), 0);
	wake_watches(&bed->store);
}

void
bed_configure(mesh_bed_t *bed, const char *text)
{
	bed_put(bed, "ops/config", text);
	bed_run(bed, CONFIG_US);
}

/* ---- targets ---- */

typedef struct bed_conn {
	bf_tcp_t tcp; /* first member */
	bf_http_reader_t reader;
	bed_target_t *target;
	bf_http_message_t *message;
	bed_run_t *run;
	bf_timer_t timer;
	bool dropped;
} bed_conn_t;

static void
conn_drop(bed_conn_t *conn)
{
	if (conn->dropped)
		return;
	conn->dropped = true;
	g_ptr_array_remove_fast(conn->target->bed->conns, conn);
	if (conn->run != NULL) {
		conn->run->ended_early = true;
		conn->target->running--;
	}
	bf_loop_timer_cancel(conn->target->bed->loop, &conn->timer);
	bf_tcp_close(&conn->tcp);
	bf_http_message_free(conn->message);
	bf_http_reader_clear(&conn->reader);
	bf_loop_release(conn->target->bed->loop, conn);
}

static void
send_answer(bed_conn_t *conn, uint32_t status, const char *id,
    const char *fields, const char *body, size_t stated_bytes)
{
	bf_bytes_format(&conn->tcp.out,
	    "HTTP/1.1 %u X\r\nCall-Id: %s\r\nStamp: %s\r\n%s"
	    "Content-Length: %zu\r\n\r\n%s",
	    (unsigned int)status, id, conn->target->id, fields, stated_bytes,
	    body);
	bf_tcp_send_later(&conn->tcp);
}

static void
answer(bf_timer_t *timer, bf_time_us_t now_us)
{
	bed_conn_t *conn = BF_CONTAINER(timer, bed_conn_t, timer);
	const char *id = bf_http_find(conn->message, "Call-Id");
	bed_target_t *target = conn->target;

	(void)now_us;
	if (id == NULL)
		id = "";
	if (conn->run != NULL)
		target->running--;
	conn->run = NULL;
	switch (target->behaviour) {
	case BED_FAIL:
		send_answer(conn, 500, id, "Why: broken\r\n", "failed", 6);
		break;
	case BED_NOT_RUN:
		send_answer(conn, 503, id, "Not-Run: 1\r\n", "", 0);
		break;
	case BED_OTHER:
		send_answer(conn, 421, id, "", "", 0);
		break;
	case BED_CROSS:
		send_answer(conn, 200, "another", "", "theirs", 6);
		break;
	case BED_CUT:
		send_answer(conn, 200, id, "", "part", 100);
		bf_tcp_finish(&conn->tcp);
		break;
	case BED_EXTRA:
		send_answer(conn, 200, id, "", "whole", 5);
		send_answer(conn, 200, "extra", "", "extra", 5);
		break;
	case BED_UNFRAMED:
		bf_bytes_format(&conn->tcp.out,
		    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\n\r\nunframed", id);
		bf_tcp_finish(&conn->tcp);
		break;
	case BED_CLOSE:
		conn_drop(conn);
		return;
	case BED_SILENT:
		return;
	default:
		send_answer(conn, 200, id, "", "whole", 5);
		break;
	}
	bf_http_message_free(conn->message);
	conn->message = NULL;
}

static void
note_run(bed_conn_t *conn)
{
	bed_target_t *target = conn->target;
	const char *text;
	bed_run_t *run;

	if (target->run_count == BED_RUNS_MAX ||
	    target->behaviour == BED_NOT_RUN || target->behaviour == BED_OTHER)
		return;
	run = &target->runs[target->run_count++];
	memset(run, 0, sizeof(*run));
	text = bf_http_find(conn->message, "Call-Id");
	(void)snprintf(
	    run->id, sizeof(run->id), "%s", text != NULL ? text : "");
	text = bf_http_find(conn->message, "From-Service");
	(void)snprintf(run->caller_service, sizeof(run->caller_service), "%s",
	    text != NULL ? text : "");
	run->left_ms = (bf_time_us_t)bf_http_number(
	    bf_http_find(conn->message, "Left-Ms"), 0);
	run->at_us = bf_clock_monotonic_us();
	run->body_bytes = bf_bytes_count(&conn->message->body);
	conn->run = run;
	target->running++;
	if (target->running > target->running_most)
		target->running_most = target->running;
}

static void
on_target_message(bf_http_reader_t *reader, bf_http_message_t *message)
{
	bed_conn_t *conn = BF_CONTAINER(reader, bed_conn_t, reader);
	const char *expected = bf_http_find(message, "For-Target");
	bed_target_t *target = conn->target;

	bf_http_message_free(conn->message);
	conn->message = message;
	if (expected == NULL || strcmp(expected, target->id) != 0) {
		send_answer(conn, 421, "", "", "", 0);
		return;
	}
	note_run(conn);
	conn->timer.fire = answer;
	bf_loop_timer(target->bed->loop, &conn->timer,
	    bf_clock_monotonic_us() + target->delay_us);
}

static const bf_http_reader_vtable_t target_reader = {
	.message = on_target_message,
};

static void
on_target_bytes(
    bf_tcp_t *tcp, const uint8_t *data, size_t bytes, bf_time_us_t now_us)
{
	bed_conn_t *conn = (bed_conn_t *)(void *)tcp;

	(void)now_us;
	g_assert_cmpint(
	    bf_http_reader_feed(&conn->reader, data, bytes), ==, BF_HTTP_OK);
}

static void
on_target_end(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	(void)orderly;
	(void)now_us;
	conn_drop((bed_conn_t *)(void *)tcp);
}

static const bf_tcp_vtable_t target_tcp = {
	.received = on_target_bytes,
	.ended = on_target_end,
};

static void
on_target_accept(bf_listener_t *listener, int fd,
    const struct sockaddr_in *from, bf_time_us_t now_us)
{
	bed_conn_t *conn = g_malloc0(sizeof(*conn));

	(void)from;
	(void)now_us;
	conn->target = BF_CONTAINER(listener, bed_target_t, listener);
	g_ptr_array_add(conn->target->bed->conns, conn);
	bf_http_reader_init(&conn->reader, &target_reader, true);
	g_assert_cmpint(bf_tcp_adopt(&conn->tcp, &target_tcp,
			    conn->target->bed->loop, fd, NULL),
	    ==, BF_OK);
}

/* ---- the bed ---- */

static struct sockaddr_in
loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static void
open_target(mesh_bed_t *bed, uint32_t node)
{
	bed_target_t *target = &bed->targets[node];
	struct sockaddr_in address = loopback(0);

	target->bed = bed;
	target->listener.accepted = on_target_accept;
	target->delay_us = 2 * BF_US_PER_MS;
	target->born_ms = 1000;
	(void)snprintf(target->id, sizeof(target->id), "t%u", node);
	g_assert_cmpint(
	    bf_listener_open(&target->listener, bed->loop, &address, NULL), ==,
	    BF_OK);
}

void
bed_open(mesh_bed_t *bed, uint32_t node)
{
	bf_mesh_options_t *options = &bed->options[node];
	bf_time_us_t now_us = bf_clock_monotonic_us();

	(void)snprintf(bed->names[node], sizeof(bed->names[node]), "n%u", node);
	*options = (bf_mesh_options_t){
		.instance = bed->names[node],
		.zone = node % 2 == 0 ? "a" : "b",
		.service = "shop",
		.caller_listen = loopback(0),
		.peer_listen = loopback(0),
		.target_address =
		    loopback(bf_listener_port(&bed->targets[node].listener)),
		.heartbeat_ms = 60000,
		.stop_timeout_ms = 6000,
		.retry_share_ppm = 1000000,
		.retry_burst = 1000,
		.retry_window_ms = 10000,
	};
	bed->nodes[node] = bf_mesh_new(options, &dialect, bed->loop,
	    &bed->store.kv, NULL, bed->metrics, NULL);
	g_assert_nonnull(bed->nodes[node]);
	g_assert_cmpint(
	    bf_mesh_start(bed->nodes[node], now_us, NULL), ==, BF_OK);
}

void
bed_restart(mesh_bed_t *bed, uint32_t node)
{
	bf_mesh_free(bed->nodes[node]);
	bed_open(bed, node);
}

bf_code_t
bed_heartbeat(
    mesh_bed_t *bed, uint32_t node, const char *version, bool draining)
{
	bed_target_t *target = &bed->targets[node];
	bf_heartbeat_t beat = { .slots = BED_SLOTS,
		.draining = draining,
		.sequence = ++target->sequence,
		.start_ms = target->born_ms };

	(void)snprintf(beat.id, sizeof(beat.id), "%s", target->id);
	(void)snprintf(beat.service, sizeof(beat.service), "shop");
	(void)snprintf(beat.version, sizeof(beat.version), "%s", version);
	(void)snprintf(beat.address, sizeof(beat.address), "127.0.0.1:%u",
	    (unsigned int)bf_listener_port(&target->listener));
	return bf_mesh_heartbeat(
	    bed->nodes[node], &beat, bf_clock_monotonic_us(), NULL);
}

mesh_bed_t *
bed_new(uint32_t nodes)
{
	mesh_bed_t *bed = g_malloc0(sizeof(*bed));
	uint32_t i;

	bed->loop = bf_loop_new(NULL);
	bed->conns = g_ptr_array_new();
	bed->metrics = bf_metrics_set_new();
	bed->store.kv.vtable = &kv_vtable;
	bed->store.bed = bed;
	bed->store.revision = 1;
	bed->node_count = nodes;
	for (i = 0; i < nodes; i++) {
		open_target(bed, i);
		bed_open(bed, i);
	}
	bed_run(bed, SETTLE_US);
	for (i = 0; i < nodes; i++)
		g_assert_cmpint(bed_heartbeat(bed, i, "v1", false), ==, BF_OK);
	bed_run(bed, SETTLE_US);
	return bed;
}

void
bed_free(mesh_bed_t *bed)
{
	uint32_t i;

	for (i = 0; i < bed->node_count; i++) {
		bf_mesh_free(bed->nodes[i]);
		bf_listener_close(&bed->targets[i].listener);
	}
	while (bed->conns->len > 0)
		conn_drop(g_ptr_array_index(bed->conns, 0));
	g_ptr_array_free(bed->conns, TRUE);
	bf_loop_free(bed->loop);
	bf_metrics_set_free(bed->metrics);
	g_free(bed);
}

static void
on_end(bf_timer_t *timer, bf_time_us_t now_us)
{
	mesh_bed_t *bed = BF_CONTAINER(timer, mesh_bed_t, end);

	(void)now_us;
	bed->timed_out = true;
	bf_loop_stop(bed->loop);
}

void
bed_run(mesh_bed_t *bed, bf_time_us_t for_us)
{
	bed->timed_out = false;
	bed->end.fire = on_end;
	bf_loop_timer(bed->loop, &bed->end, bf_clock_monotonic_us() + for_us);
	bf_loop_run(bed->loop);
	bf_loop_timer_cancel(bed->loop, &bed->end);
}

static void
on_call_done(bf_http_exchange_t *exchange, bf_http_end_t end,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	bed_call_t *call = BF_CONTAINER(exchange, bed_call_t, exchange);
	const char *text;

	call->ended = true;
	call->end = end;
	call->took_us = now_us - call->began_us;
	call->retry_after_s = -1;
	if (message != NULL) {
		call->status = message->status;
		(void)snprintf(call->body, sizeof(call->body), "%.*s",
		    (int)bf_bytes_count(&message->body),
		    (const char *)bf_bytes_at(&message->body));
		text = bf_http_find(message, "Call-Id");
		(void)snprintf(
		    call->id, sizeof(call->id), "%s", text != NULL ? text : "");
		text = bf_http_find(message, "Retry-After");
		if (text != NULL)
			call->retry_after_s = strtod(text, NULL);
		bf_http_message_free(message);
	}
	bf_loop_stop(call->bed->loop);
}

void
bed_send(mesh_bed_t *bed, bed_call_t *call, uint32_t node, const char *method,
    const char *path, const char *id, uint32_t left_ms, size_t body_bytes)
{
	bf_bytes_t head = { 0 }, body = { 0 };
	uint8_t *filling;

	memset(call, 0, sizeof(*call));
	call->bed = bed;
	call->client.loop = bed->loop;
	call->client.idle_us = BF_US_PER_S;
	call->client.address = loopback(
	    bf_listener_port(&bed->nodes[node]->caller_server.listener));
	call->exchange.done = on_call_done;
	call->began_us = bf_clock_monotonic_us();
	bf_bytes_format(&head,
	    "%s %s HTTP/1.1\r\nHost: mesh.test\r\nCall-Id: %s\r\n"
	    "Left-Ms: %u\r\nFrom-Service: forged\r\n",
	    method, path, id, (unsigned int)left_ms);
	if (strcmp(method, "GET") != 0)
		bf_bytes_format(&head, "Content-Length: %zu\r\n", body_bytes);
	bf_bytes_text(&head, "\r\n");
	if (body_bytes > 0) {
		filling = bf_bytes_reserve(&body, body_bytes);
		memset(filling, 'b', body_bytes);
		body.end += body_bytes;
	}
	g_assert_true(bf_http_send(&call->client, &call->exchange, &head, &body,
	    BF_US_PER_S, call->began_us));
	bf_bytes_free(&head);
	bf_bytes_free(&body);
}

static bool
all_ended(const bed_call_t *calls, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (!calls[i].ended)
			return false;
	}
	return true;
}

bool
bed_await(
    mesh_bed_t *bed, bed_call_t *calls, size_t count, bf_time_us_t limit_us)
{
	bf_time_us_t until_us = bf_clock_monotonic_us() + limit_us;

	while (!all_ended(calls, count) && bf_clock_monotonic_us() < until_us)
		bed_run(bed, until_us - bf_clock_monotonic_us());
	return all_ended(calls, count);
}

uint32_t
bed_runs_of(const mesh_bed_t *bed, const char *id)
{
	uint32_t count = 0, i, j;

	for (i = 0; i < bed->node_count; i++) {
		for (j = 0; j < bed->targets[i].run_count; j++)
			count +=
			    strcmp(bed->targets[i].runs[j].id, id) == 0 ? 1 : 0;
	}
	return count;
}
