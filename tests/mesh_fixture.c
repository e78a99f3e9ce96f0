#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include <apr_strings.h>

#include "store/revision.h"
#include "tests/mesh_fixture.h"

#define STORE_DELAY_US 500
#define ENDLESS_UNSENT_MAX ((size_t)1 << 20)
#define SETTLE_US (150 * BF_US_PER_MS)
/* Well below the 2 s within which a change must be in force. */
#define CONFIG_SETTLE_US (700 * BF_US_PER_MS)

/* ---- dialect ---- */

/* Reads a line "account name key..."; a word "rate/burst" is its cap. */
static bf_code_t
decode_account(bf_routing_t *routing, bf_account_directory_t **accounts,
    const char *line, bf_error_t *err)
{
	char **words = g_strsplit(line, " ", -1);
	bf_account_t account = { .name = words[1] };
	bf_code_t code;
	size_t i;

	if (*accounts == NULL) {
		*accounts = bf_account_directory_new(bf_routing_pool(routing));
		bf_routing_set_accounts(routing, *accounts);
	}
	for (i = 2; words[i] != NULL; i++)
		(void)sscanf(
		    words[i], "%lf/%lf", &account.rate_per_s, &account.burst);
	code = bf_account_directory_add(*accounts, &account, err);
	for (i = 2; code == BF_OK && words[i] != NULL; i++)
		if (strchr(words[i], '/') == NULL)
			code = bf_account_directory_add_key(
			    *accounts, words[i], err);
	g_strfreev(words);
	return code;
}

static bf_code_t
decode_config(const void *data, size_t bytes, const bf_routing_t *previous,
    bf_routing_t **out, uint64_t *version, bf_error_t *err)
{
	char *text = g_strndup(data, bytes), **lines, kind[16], service[64];
	char cold_service[64] = "", region[64];
	double cold_calls_per_s = 0;
	const char **regions;
	int fields;
	bf_mesh_route_t route;
	bf_account_directory_t *accounts = NULL;
	bf_routing_t *routing;
	char prefix[64];
	bf_code_t code = BF_OK;
	int i;

	(void)previous;
	lines = g_strsplit(text, "\n", -1);
	*version = strtoull(lines[0], NULL, 10);
	if (*version == 0) {
		g_strfreev(lines);
		g_free(text);
		return bf_error_set(
		    err, BF_ERR_PARSE, "the first line is not a version");
	}
	routing = bf_routing_new(*version);
	bf_routing_set_limits(routing,
	    &(bf_caller_limits_t){ .head_bytes = 8192,
		.body_bytes = 1 << 20,
		.head_timeout_ms = 3000,
		.idle_timeout_ms = 15000 });
	for (i = 1; code == BF_OK && lines[i] != NULL; i++) {
		memset(&route, 0, sizeof(route));
		if (strcmp(lines[i], "unreadable") == 0)
			code = bf_error_set(err, BF_ERR_PARSE, "unreadable");
		if (g_str_has_prefix(lines[i], "account ")) {
			code =
			    decode_account(routing, &accounts, lines[i], err);
			continue;
		}
		if (sscanf(lines[i], "cold %63s %lf", cold_service,
			&cold_calls_per_s) == 2)
			continue;
		fields =
		    sscanf(lines[i], "%63s %15s %63s %u %u %u %u %63s", prefix,
			kind, service, &route.timeout_ms, &route.objective_ms,
			&route.attempts_max, &route.priority, region);
		if (fields < 7)
			continue;
		if (fields == 8 && strcmp(region, "public") != 0) {
			regions = apr_pcalloc(
			    bf_routing_pool(routing), 2 * sizeof(*regions));
			regions[0] =
			    apr_pstrdup(bf_routing_pool(routing), region);
			route.regions = regions;
		}
		route.name = apr_pstrdup(bf_routing_pool(routing), prefix);
		route.prefix = route.name;
		route.host = "mesh.test";
		route.is_public = g_str_has_suffix(lines[i], " public");
		route.kind =
		    strcmp(kind, "safe") == 0 ? BF_ROUTE_SAFE : BF_ROUTE_UNSAFE;
		route.backends = apr_pcalloc(
		    bf_routing_pool(routing), sizeof(*route.backends));
		route.backend_count = 1;
		route.backends[0].weight = 1;
		route.backends[0].service =
		    apr_pstrdup(bf_routing_pool(routing), service);
		bf_routing_add_route(routing, &route);
		if (bf_routing_service(routing, service) == NULL)
			bf_routing_add_service(routing,
			    &(bf_mesh_service_t){
				.name = route.backends[0].service,
				.health_path = "/health",
				.cold_calls_per_s =
				    strcmp(service, cold_service) == 0
				    ? cold_calls_per_s
				    : 0 });
	}
	g_strfreev(lines);
	g_free(text);
	if (code == BF_OK)
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
	return n == 3 ? BF_OK : bf_error_set(err, BF_ERR_PARSE, "not an order");
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
	return n == 3 ? BF_OK
		      : bf_error_set(err, BF_ERR_PARSE, "not an outcome");
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
	.target_id = "Target-Id",
	.account = "Account",
	.authorization = "Authorization",
	.authorization_scheme = "Bearer",
	.warm_up_ms = "Warm-In-Ms",
	.operator_prefix = "ops/",
	.config_key = "ops/config",
	.order_prefix = "ops/move/",
	.outcome_prefix = "out/",
	.member_prefix = "members/",
	.evacuation_prefix = "ops/evacuate/",
	.decode_config = decode_config,
	.decode_order = decode_order,
	.decode_outcome = decode_outcome,
	.encode_outcome = encode_outcome,
};

/* ---- store ---- */

static memory_store_t *
store_of(bf_kv_t *kv)
{
	return ((store_access_t *)(void *)kv)->store;
}

static void
finish_call(store_call_t *entry, bf_time_us_t now_us)
{
	bf_kv_call_t *call = entry->call;

	if (call == NULL)
		return;
	bf_loop_timer_cancel(entry->store->fixture->loop, &entry->timer);
	entry->call = NULL;
	call->pending = NULL;
	if (entry->store->down || entry->access->cut)
		entry->reply = (bf_kv_reply_t){ .code = BF_ERR_UNAVAILABLE };
	else
		entry->access->kv.era = entry->store->era;
	call->done(call, &entry->reply, now_us);
}

static void
on_call_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	finish_call(BF_CONTAINER(timer, store_call_t, timer), now_us);
}

static store_call_t *
begin_call(bf_kv_t *kv, bf_kv_call_t *call, bf_time_us_t after_us)
{
	memory_store_t *store = store_of(kv);
	store_call_t *entry = NULL;
	size_t i;

	for (i = 0; i < STORE_CALLS_MAX && entry == NULL; i++) {
		if (store->calls[i].call == NULL)
			entry = &store->calls[i];
	}
	g_assert_nonnull(entry);
	memset(entry, 0, sizeof(*entry));
	entry->store = store;
	entry->access = (store_access_t *)(void *)kv;
	entry->call = call;
	entry->timer.fire = on_call_timer;
	entry->reply.items = entry->items;
	entry->reply.revision = store->revision;
	call->pending = entry;
	bf_loop_timer_set(store->fixture->loop, &entry->timer,
	    bf_clock_monotonic_us() + after_us);
	return entry;
}

static void
add_item(store_call_t *entry, const store_key_t *key)
{
	entry->items[entry->reply.item_count++] =
	    (bf_kv_item_t){ .key = key->key,
		    .data = key->data,
		    .data_bytes = key->data_bytes,
		    .revision = key->revision,
		    .lease = key->lease,
		    .deleted = key->deleted };
}

static void
add_absent_item(store_call_t *entry, const char *key)
{
	(void)snprintf(entry->absent_keys[entry->reply.item_count],
	    sizeof(entry->absent_keys[0]), "%s", key);
	entry->items[entry->reply.item_count] =
	    (bf_kv_item_t){ .key =
				entry->absent_keys[entry->reply.item_count] };
	entry->reply.item_count++;
}

static void
collect_items(store_call_t *entry, const char *prefix, uint64_t after)
{
	memory_store_t *store = entry->store;
	uint32_t i;

	entry->reply.item_count = 0;
	entry->reply.revision = store->revision;
	for (i = 0; i < store->key_count; i++) {
		if (strncmp(store->keys[i].key, prefix, strlen(prefix)) == 0 &&
		    store->keys[i].revision > after &&
		    (entry->is_watch || !store->keys[i].deleted))
			add_item(entry, &store->keys[i]);
	}
}

static void
kv_list(bf_kv_t *kv, bf_kv_call_t *call, const char *prefix,
    const char *after_key, bool stale, bf_time_us_t now_us)
{
	store_call_t *entry = begin_call(kv, call, STORE_DELAY_US);

	(void)after_key;
	(void)now_us;
	store_of(kv)->list_count++;
	collect_items(entry, prefix, 0);
	if (stale && store_of(kv)->stale_lists_empty) {
		entry->reply.item_count = 0;
		entry->reply.revision = 1;
	}
}

static void
kv_watch(bf_kv_t *kv, bf_kv_call_t *call, const char *prefix,
    uint64_t after_revision, uint32_t wait_ms, bf_time_us_t now_us)
{
	store_call_t *entry = begin_call(kv, call, wait_ms * BF_US_PER_MS);

	entry->is_watch = true;
	entry->after_revision = after_revision;
	(void)snprintf(entry->prefix, sizeof(entry->prefix), "%s", prefix);
	if (store_of(kv)->down || entry->access->cut) {
		bf_loop_timer_set(store_of(kv)->fixture->loop, &entry->timer,
		    now_us + STORE_DELAY_US);
		return;
	}
	if (bf_revision_era(after_revision) < store_of(kv)->era) {
		entry->reply = (bf_kv_reply_t){ .code = BF_ERR_STALE };
		bf_loop_timer_set(store_of(kv)->fixture->loop, &entry->timer,
		    now_us + STORE_DELAY_US);
		return;
	}
	if (store_of(kv)->drop_watch_events)
		return;
	collect_items(entry, prefix, after_revision);
	if (entry->reply.item_count > 0)
		bf_loop_timer_set(store_of(kv)->fixture->loop, &entry->timer,
		    now_us + STORE_DELAY_US);
}

/* Replies to the watches whose keys have changed. */
static void
reply_to_watches(memory_store_t *store)
{
	size_t i;

	for (i = 0; i < STORE_CALLS_MAX && !store->drop_watch_events; i++) {
		if (store->calls[i].call == NULL || !store->calls[i].is_watch ||
		    store->calls[i].reply.code != BF_OK)
			continue;
		collect_items(&store->calls[i], store->calls[i].prefix,
		    store->calls[i].after_revision);
		if (store->calls[i].reply.item_count > 0)
			bf_loop_timer_set(store->fixture->loop,
			    &store->calls[i].timer,
			    bf_clock_monotonic_us() + STORE_DELAY_US);
	}
}

static store_key_t *
find_key(memory_store_t *store, const char *key)
{
	uint32_t i;

	for (i = 0; i < store->key_count; i++) {
		if (strcmp(store->keys[i].key, key) == 0)
			return &store->keys[i];
	}
	return NULL;
}

static void
store_put(memory_store_t *store, const char *key, const void *data,
    size_t bytes, uint64_t lease)
{
	store_key_t *entry = find_key(store, key);

	if (entry == NULL) {
		g_assert_cmpuint(store->key_count, <, STORE_KEYS_MAX);
		entry = &store->keys[store->key_count++];
		(void)snprintf(entry->key, sizeof(entry->key), "%s", key);
	}
	g_assert_cmpuint(bytes, <, sizeof(entry->data));
	memcpy(entry->data, data, bytes);
	entry->data[bytes] = '\0';
	entry->data_bytes = bytes;
	entry->lease = lease;
	entry->deleted = false;
	entry->revision = ++store->revision;
}

static void
kv_write(bf_kv_t *kv, bf_kv_call_t *call, const bf_kv_write_t *writes,
    size_t count, bf_time_us_t now_us)
{
	store_call_t *entry = begin_call(kv, call, STORE_DELAY_US);
	memory_store_t *store = store_of(kv);
	const store_key_t *key;
	size_t i;

	(void)now_us;
	store->write_count++;
	if (store->down || entry->access->cut)
		return;
	for (i = 0; i < count; i++) {
		key = find_key(store, writes[i].key);
		if ((key != NULL ? key->revision : 0) ==
		    writes[i].expected_revision)
			continue;
		entry->reply.code = BF_ERR_CONFLICT;
	}
	for (i = 0; entry->reply.code == BF_ERR_CONFLICT && i < count; i++) {
		key = find_key(store, writes[i].key);
		if (key != NULL)
			add_item(entry, key);
		else
			add_absent_item(entry, writes[i].key);
	}
	if (entry->reply.code == BF_ERR_CONFLICT)
		return;
	for (i = 0; i < count; i++) {
		if (writes[i].data != NULL)
			store_put(store, writes[i].key, writes[i].data,
			    writes[i].data_bytes, writes[i].lease);
	}
	entry->reply.revision = store->revision;
	if (store->drop_write_replies)
		entry->reply = (bf_kv_reply_t){ .code = BF_ERR_UNSETTLED };
	reply_to_watches(store);
}

static void
kv_lease_grant(
    bf_kv_t *kv, bf_kv_call_t *call, uint32_t ttl_ms, bf_time_us_t now_us)
{
	store_call_t *entry = begin_call(kv, call, STORE_DELAY_US);

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
	(void)begin_call(kv, call, STORE_DELAY_US);
}

static void
kv_cancel(bf_kv_t *kv, bf_kv_call_t *call)
{
	store_call_t *entry = call->pending;

	bf_loop_timer_cancel(store_of(kv)->fixture->loop, &entry->timer);
	entry->call = NULL;
	call->pending = NULL;
}

static const bf_kv_vtable_t kv_vtable = {
	.list = kv_list,
	.watch = kv_watch,
	.write = kv_write,
	.lease_grant = kv_lease_grant,
	.lease_renew = kv_lease_renew,
	.lease_revoke = kv_lease_renew,
	.cancel = kv_cancel,
};

void
fixture_put(mesh_fixture_t *fixture, const char *key, const char *data)
{
	store_put(&fixture->store, key, data, strlen(data), 0);
	reply_to_watches(&fixture->store);
}

memory_store_t *
fixture_copy_store(const mesh_fixture_t *fixture)
{
	return g_memdup2(&fixture->store, sizeof(fixture->store));
}

/* The number of a revision, in the present era of the store. */
static uint64_t
in_present_era(const memory_store_t *store, uint64_t revision)
{
	return bf_revision_make(store->era, bf_revision_number(revision));
}

void
fixture_restore_store(mesh_fixture_t *fixture, const memory_store_t *copy)
{
	memory_store_t *store = &fixture->store;
	size_t i;

	store->era++;
	store->key_count = 0;
	for (i = 0; i < copy->key_count; i++) {
		/* Leases are lost, and with them what is written under one. */
		if (copy->keys[i].lease != 0)
			continue;
		store->keys[store->key_count] = copy->keys[i];
		store->keys[store->key_count++].revision =
		    in_present_era(store, copy->keys[i].revision);
	}
	store->revision = in_present_era(store, copy->revision);
	for (i = 0; i < STORE_CALLS_MAX; i++) {
		if (store->calls[i].call == NULL || !store->calls[i].is_watch)
			continue;
		store->calls[i].reply = (bf_kv_reply_t){ .code = BF_ERR_STALE };
		bf_loop_timer_set(fixture->loop, &store->calls[i].timer,
		    bf_clock_monotonic_us() + STORE_DELAY_US);
	}
}

void
fixture_delete(mesh_fixture_t *fixture, const char *key)
{
	store_key_t *entry = find_key(&fixture->store, key);

	g_assert_nonnull(entry);
	entry->deleted = true;
	entry->revision = ++fixture->store.revision;
	reply_to_watches(&fixture->store);
}

const char *
fixture_stored(mesh_fixture_t *fixture, const char *key)
{
	const store_key_t *entry = find_key(&fixture->store, key);

	return entry != NULL ? entry->data : NULL;
}

void
fixture_configure(mesh_fixture_t *fixture, const char *text)
{
	fixture_put(fixture, "ops/config", text);
	fixture_run(fixture, CONFIG_SETTLE_US);
}

/* ---- targets ---- */

typedef struct target_connection {
	bf_tcp_t tcp; /* first member */
	bf_http_reader_t reader;
	fake_target_t *target;
	bf_http_message_t *message;
	target_run_t *run;
	bf_timer_t timer;
	char refused_id[BF_REQUEST_ID_BYTES]; /* of the request rejected */
	bool endless_begun;
	bool resetting; /* reads nothing more */
	bool dropped;
} target_connection_t;

static void
drop_connection(target_connection_t *connection)
{
	if (connection->dropped)
		return;
	connection->dropped = true;
	g_ptr_array_remove_fast(
	    connection->target->fixture->connections, connection);
	if (connection->run != NULL) {
		connection->run->closed_early = true;
		connection->target->running--;
	}
	bf_loop_timer_cancel(
	    connection->target->fixture->loop, &connection->timer);
	bf_tcp_close(&connection->tcp);
	bf_http_message_free(connection->message);
	bf_http_reader_clear(&connection->reader);
	bf_loop_defer_free(connection->target->fixture->loop, connection);
}

static void
send_answer(target_connection_t *connection, uint32_t status, const char *id,
    const char *fields, const char *body, size_t content_length)
{
	bf_bytes_format(&connection->tcp.out,
	    "HTTP/1.1 %u X\r\nCall-Id: %s\r\nStamp: %s\r\n%s"
	    "Content-Length: %zu\r\n\r\n%s",
	    (unsigned int)status, id, connection->target->id, fields,
	    content_length, body);
	bf_tcp_schedule_flush(&connection->tcp);
}

/* Sends more of an answer that does not end. */
static void
send_endless(target_connection_t *connection, bf_time_us_t now_us)
{
	const char *id = bf_http_find(connection->message, "Call-Id");
	fake_target_t *target = connection->target;
	bf_bytes_t *out = &connection->tcp.out;
	size_t begin_bytes, i;

	if (!connection->endless_begun) {
		if (target->behaviour == BEHAVIOUR_ENDLESS_BODY)
			bf_bytes_format(
			    out, "HTTP/1.1 200 OK\r\nCall-Id: %s\r\n\r\n", id);
		else if (target->behaviour == BEHAVIOUR_ENDLESS_HEAD)
			bf_bytes_format(out,
			    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nLong: ", id);
		else if (target->behaviour == BEHAVIOUR_ENDLESS_CHUNK_EXTENSION)
			bf_bytes_format(out,
			    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n5;",
			    id);
	}
	connection->endless_begun = true;
	begin_bytes = bf_bytes_count(out);
	for (i = 0; i < 20000 && begin_bytes < ENDLESS_UNSENT_MAX; i++)
		bf_bytes_add_text(out,
		    target->behaviour == BEHAVIOUR_ENDLESS_INTERIM
			? "HTTP/1.1 100 Continue\r\n\r\n"
			: "no end of these bytes");
	target->endless_bytes += bf_bytes_count(out) - begin_bytes;
	bf_tcp_schedule_flush(&connection->tcp);
	bf_loop_timer_set(
	    target->fixture->loop, &connection->timer, now_us + BF_US_PER_MS);
}

static bool
is_endless(target_behaviour_t behaviour)
{
	return behaviour >= BEHAVIOUR_ENDLESS_HEAD &&
	    behaviour <= BEHAVIOUR_ENDLESS_CHUNK_EXTENSION;
}

static void
on_answer_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	target_connection_t *connection =
	    BF_CONTAINER(timer, target_connection_t, timer);
	const char *id = bf_http_find(connection->message, "Call-Id");
	fake_target_t *target = connection->target;

	if (id == NULL)
		id = "";
	if (is_endless(target->behaviour)) {
		send_endless(connection, now_us);
		return;
	}
	if (connection->run != NULL)
		target->running--;
	connection->run = NULL;
	switch (target->behaviour) {
	case BEHAVIOUR_FAIL:
		send_answer(
		    connection, 500, id, "Why: broken\r\n", "failed", 6);
		break;
	case BEHAVIOUR_REJECT:
		send_answer(connection, 503, id, "Not-Run: 1\r\n", "", 0);
		break;
	case BEHAVIOUR_FAIL_AS_BUSY:
		send_answer(connection, 503, id, "", "", 0);
		break;
	case BEHAVIOUR_STATUS_LINE:
		bf_bytes_format(&connection->tcp.out,
		    "%s\r\nCall-Id: %s\r\nContent-Length: 5\r\n\r\nwhole",
		    target->status_line, id);
		bf_tcp_schedule_flush(&connection->tcp);
		break;
	case BEHAVIOUR_CUT_HEAD:
		bf_bytes_format(&connection->tcp.out,
		    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nStamp: t", id);
		bf_tcp_finish(&connection->tcp);
		break;
	case BEHAVIOUR_MISDIRECTED:
		send_answer(connection, 421, id, "", "", 0);
		break;
	case BEHAVIOUR_WRONG_ID:
		send_answer(connection, 200, "another", "", "theirs", 6);
		break;
	case BEHAVIOUR_TRUNCATE:
		send_answer(connection, 200, id, "", "part", 100);
		bf_tcp_finish(&connection->tcp);
		break;
	case BEHAVIOUR_EXTRA_ANSWER:
		send_answer(connection, 200, id, "", "whole", 5);
		send_answer(connection, 200, "extra", "", "extra", 5);
		break;
	case BEHAVIOUR_UNFRAMED:
		bf_bytes_format(&connection->tcp.out,
		    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\n\r\nunframed", id);
		bf_tcp_finish(&connection->tcp);
		break;
	case BEHAVIOUR_CLOSE:
		drop_connection(connection);
		return;
	case BEHAVIOUR_SILENT:
		return;
	default:
		send_answer(connection, 200, id, "", "whole", 5);
		break;
	}
	bf_http_message_free(connection->message);
	connection->message = NULL;
}

static void
record_run(target_connection_t *connection)
{
	fake_target_t *target = connection->target;
	const char *text;
	target_run_t *run;

	if (target->run_count == TARGET_RUNS_MAX ||
	    target->behaviour == BEHAVIOUR_REJECT ||
	    target->behaviour == BEHAVIOUR_MISDIRECTED)
		return;
	run = &target->runs[target->run_count++];
	memset(run, 0, sizeof(*run));
	text = bf_http_find(connection->message, "Call-Id");
	(void)snprintf(
	    run->id, sizeof(run->id), "%s", text != NULL ? text : "");
	text = bf_http_find(connection->message, "From-Service");
	(void)snprintf(run->caller_service, sizeof(run->caller_service), "%s",
	    text != NULL ? text : "");
	text = bf_http_find(connection->message, "Account");
	(void)snprintf(
	    run->account, sizeof(run->account), "%s", text != NULL ? text : "");
	run->has_authorization =
	    bf_http_find(connection->message, "Authorization") != NULL;
	run->remaining_ms = (bf_time_us_t)bf_http_number(
	    bf_http_find(connection->message, "Left-Ms"), 0);
	run->received_at_us = bf_clock_monotonic_us();
	run->body_bytes = bf_bytes_count(&connection->message->body);
	connection->run = run;
	target->running++;
	if (target->running > target->running_max)
		target->running_max = target->running;
}

static bool
rejects_first(target_behaviour_t behaviour)
{
	return behaviour == BEHAVIOUR_REPEAT_REFUSAL ||
	    behaviour == BEHAVIOUR_REPEAT_ANONYMOUS_REFUSAL;
}

/* id: NULL for a refusal that does not say which request it answers. */
static void
send_refusal(target_connection_t *connection, const char *id)
{
	bf_bytes_add_text(
	    &connection->tcp.out, "HTTP/1.1 503 X\r\nNot-Run: 1\r\n");
	if (id != NULL)
		bf_bytes_format(&connection->tcp.out, "Call-Id: %s\r\n", id);
	bf_bytes_add_text(&connection->tcp.out, "Content-Length: 0\r\n\r\n");
	bf_tcp_schedule_flush(&connection->tcp);
}

static void
answer_health_check(target_connection_t *connection)
{
	fake_target_t *target = connection->target;

	target->health_checks++;
	bf_bytes_format(&connection->tcp.out,
	    "HTTP/1.1 %d X\r\nTarget-Id: %s\r\n", target->unhealthy ? 503 : 200,
	    target->id);
	if (!target->hides_warm_up)
		bf_bytes_format(&connection->tcp.out, "Warm-In-Ms: %u\r\n",
		    target->warm_up_ms);
	bf_bytes_format(&connection->tcp.out, "Content-Length: 0\r\n\r\n");
	bf_tcp_schedule_flush(&connection->tcp);
}

static void
on_target_message(bf_http_reader_t *reader, bf_http_message_t *message)
{
	target_connection_t *connection =
	    BF_CONTAINER(reader, target_connection_t, reader);
	const char *expected = bf_http_find(message, "For-Target");
	fake_target_t *target = connection->target;

	bf_http_message_free(connection->message);
	connection->message = message;
	if (strcmp(bf_http_target(message), "/health") == 0) {
		answer_health_check(connection);
		return;
	}
	if (expected == NULL || strcmp(expected, target->id) != 0) {
		send_answer(connection, 421, "", "", "", 0);
		return;
	}
	if (rejects_first(target->behaviour)) {
		if (connection->refused_id[0] == '\0') {
			(void)snprintf(connection->refused_id,
			    sizeof(connection->refused_id), "%s",
			    bf_http_find(message, "Call-Id"));
			send_refusal(connection, connection->refused_id);
			return;
		}
		send_refusal(connection,
		    target->behaviour == BEHAVIOUR_REPEAT_REFUSAL
			? connection->refused_id
			: NULL);
	}
	record_run(connection);
	connection->timer.fire = on_answer_timer;
	bf_loop_timer_set(target->fixture->loop, &connection->timer,
	    bf_clock_monotonic_us() + target->delay_us);
}

static void
on_reset_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	target_connection_t *connection =
	    BF_CONTAINER(timer, target_connection_t, timer);

	(void)now_us;
	bf_tcp_abort(&connection->tcp);
	drop_connection(connection);
}

static void
on_target_head(bf_http_reader_t *reader, bf_http_message_t *message)
{
	target_connection_t *connection =
	    BF_CONTAINER(reader, target_connection_t, reader);
	fake_target_t *target = connection->target;

	if (target->behaviour != BEHAVIOUR_RESET_UPLOAD)
		return;
	connection->message = message;
	record_run(connection);
	connection->message = NULL; /* still the reader's */
	connection->resetting = true;
	bf_bytes_format(&connection->tcp.out,
	    "HTTP/1.1 200 OK\r\nCall-Id: %s\r\n\r\nhalf",
	    bf_http_find(message, "Call-Id"));
	bf_tcp_schedule_flush(&connection->tcp);
	connection->timer.fire = on_reset_timer;
	bf_loop_timer_set(target->fixture->loop, &connection->timer,
	    bf_clock_monotonic_us() + 20 * BF_US_PER_MS);
}

static bool
target_may_read(bf_tcp_t *tcp, bf_time_us_t now_us)
{
	(void)now_us;
	return !((target_connection_t *)(void *)tcp)->resetting;
}

static const bf_http_reader_vtable_t target_reader = {
	.head = on_target_head,
	.message = on_target_message,
};

static void
on_target_bytes(
    bf_tcp_t *tcp, const uint8_t *data, size_t bytes, bf_time_us_t now_us)
{
	target_connection_t *connection = (target_connection_t *)(void *)tcp;

	(void)now_us;
	g_assert_cmpint(bf_http_reader_feed(&connection->reader, data, bytes),
	    ==, BF_HTTP_OK);
}

static void
on_target_ended(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	(void)orderly;
	(void)now_us;
	drop_connection((target_connection_t *)(void *)tcp);
}

static const bf_tcp_vtable_t target_tcp = {
	.may_read = target_may_read,
	.received = on_target_bytes,
	.ended = on_target_ended,
};

static void
on_target_accept(bf_listener_t *listener, int fd,
    const struct sockaddr_in *from, bf_time_us_t now_us)
{
	target_connection_t *connection = g_malloc0(sizeof(*connection));

	(void)from;
	(void)now_us;
	connection->target = BF_CONTAINER(listener, fake_target_t, listener);
	g_ptr_array_add(connection->target->fixture->connections, connection);
	bf_http_reader_init(&connection->reader, &target_reader, true);
	g_assert_cmpint(bf_tcp_adopt(&connection->tcp, &target_tcp,
			    connection->target->fixture->loop, fd, NULL),
	    ==, BF_OK);
}

/* ---- fixture ---- */

static struct sockaddr_in
loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static void
open_target(mesh_fixture_t *fixture, uint32_t node)
{
	fake_target_t *target = &fixture->targets[node];
	struct sockaddr_in address = loopback(0);

	target->fixture = fixture;
	target->listener.accepted = on_target_accept;
	target->delay_us = 2 * BF_US_PER_MS;
	target->start_ms = 1000;
	(void)snprintf(target->id, sizeof(target->id), "t%u", node);
	g_assert_cmpint(
	    bf_listener_open(&target->listener, fixture->loop, &address, NULL),
	    ==, BF_OK);
}

static const char *const zones[] = { "a=here", "b=here" };

void
fixture_start_node(mesh_fixture_t *fixture, uint32_t node)
{
	bf_mesh_options_t *options = &fixture->options[node];
	bf_time_us_t now_us = bf_clock_monotonic_us();
	char advertise[BF_ADDRESS_BYTES];

	(void)snprintf(
	    fixture->names[node], sizeof(fixture->names[node]), "n%u", node);
	*options = (bf_mesh_options_t){
		.instance = fixture->names[node],
		.zone = node % 2 == 0 ? "a" : "b",
		.service = "shop",
		.caller_listen = loopback(0),
		.peer_listen = loopback(0),
		.target_address = loopback(
		    bf_listener_port(&fixture->targets[node].listener)),
		.heartbeat_ms = 60000,
		.stop_timeout_ms = 6000,
		.retry_share_ppm = 1000000,
		.retry_burst = 1000,
		.retry_window_ms = 10000,
		.fail_closed = fixture->base.fail_closed,
		.revoke_ms = fixture->base.revoke_ms,
		.cap_window_ms = fixture->base.cap_window_ms,
		.zones =
		    fixture->base.zones != NULL ? fixture->base.zones : zones,
		.zone_count = fixture->base.zones != NULL
		    ? fixture->base.zone_count
		    : G_N_ELEMENTS(zones),
		.cold_over_ppm = fixture->base.cold_over_ppm,
		.cold_slack = fixture->base.cold_slack,
		.evacuate_ms = fixture->base.evacuate_ms,
	};
	if (fixture->has_links) {
		(void)snprintf(advertise, sizeof(advertise), "%s:%u",
		    soak_address_text(),
		    (unsigned int)soak_proxy_port(&fixture->links[node]));
		options->advertise_address = advertise;
		options->link_mbps = (uint32_t)MAX(
		    1, fixture->links[node].bytes_per_s * 8 / 1000000);
	}
	fixture->nodes[node] = bf_mesh_new(options, &dialect, fixture->loop,
	    &fixture->accesses[node].kv, fixture->events, fixture->metrics,
	    NULL);
	g_assert_nonnull(fixture->nodes[node]);
	/* Only later processes of a node have a former one. */
	if (!fixture->started[node])
		bf_presence_init(
		    &fixture->nodes[node]->target.presence, 0, false);
	fixture->started[node] = true;
	g_assert_cmpint(
	    bf_mesh_start(fixture->nodes[node], now_us, NULL), ==, BF_OK);
	options->advertise_address = NULL;
	if (fixture->has_links)
		fixture->links[node].upstream = loopback(
		    bf_listener_port(&fixture->nodes[node]->peer_listener));
}

void
fixture_restart_node(mesh_fixture_t *fixture, uint32_t node)
{
	bf_mesh_free(fixture->nodes[node]);
	fixture_start_node(fixture, node);
}

bf_code_t
fixture_heartbeat(
    mesh_fixture_t *fixture, uint32_t node, const char *version, bool draining)
{
	fake_target_t *target = &fixture->targets[node];
	bf_heartbeat_t heartbeat = { .slots = TARGET_SLOTS,
		.draining = draining,
		.warm_up_remaining_ms = target->warm_up_ms,
		.sequence = ++target->sequence,
		.start_ms = target->start_ms };

	(void)snprintf(heartbeat.id, sizeof(heartbeat.id), "%s", target->id);
	(void)snprintf(heartbeat.service, sizeof(heartbeat.service), "shop");
	(void)snprintf(
	    heartbeat.version, sizeof(heartbeat.version), "%s", version);
	(void)snprintf(heartbeat.address, sizeof(heartbeat.address),
	    "127.0.0.1:%u", (unsigned int)bf_listener_port(&target->listener));
	return bf_mesh_heartbeat(
	    fixture->nodes[node], &heartbeat, bf_clock_monotonic_us(), NULL);
}

static mesh_fixture_t *
new_fixture(uint32_t nodes, uint64_t bytes_per_s,
    const bf_mesh_options_t *options, bf_events_t *events)
{
	mesh_fixture_t *fixture = g_malloc0(sizeof(*fixture));
	struct sockaddr_in unknown = loopback(0);
	uint32_t i;

	fixture->loop = bf_loop_new(NULL);
	fixture->connections = g_ptr_array_new();
	fixture->metrics = bf_metrics_set_new();
	if (options != NULL)
		fixture->base = *options;
	fixture->events = events;
	fixture->store.fixture = fixture;
	fixture->store.revision = 1;
	fixture->node_count = nodes;
	fixture->has_links = bytes_per_s != 0;
	for (i = 0; i < nodes; i++) {
		fixture->accesses[i] =
		    (store_access_t){ .kv = { .vtable = &kv_vtable },
			    .store = &fixture->store };
		open_target(fixture, i);
		if (fixture->has_links) {
			soak_proxy_open(
			    &fixture->links[i], fixture->loop, &unknown);
			fixture->links[i].bytes_per_s = bytes_per_s;
		}
		fixture_start_node(fixture, i);
	}
	fixture_run(fixture, SETTLE_US);
	for (i = 0; i < nodes; i++)
		g_assert_cmpint(
		    fixture_heartbeat(fixture, i, "v1", false), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	return fixture;
}

mesh_fixture_t *
fixture_new(uint32_t nodes)
{
	return new_fixture(nodes, 0, NULL, NULL);
}

mesh_fixture_t *
fixture_new_with_links(uint32_t nodes, uint64_t bytes_per_s)
{
	return new_fixture(nodes, bytes_per_s, NULL, NULL);
}

mesh_fixture_t *
fixture_new_with_options(uint32_t nodes, const bf_mesh_options_t *options)
{
	return new_fixture(nodes, 0, options, NULL);
}

mesh_fixture_t *
fixture_new_with_keys(uint32_t nodes, uint32_t revoke_ms, int events_fd)
{
	const bf_mesh_options_t options = { .fail_closed = true,
		.revoke_ms = revoke_ms };

	return new_fixture(
	    nodes, 0, &options, bf_events_new(events_fd, "fixture", 1));
}

mesh_fixture_t *
fixture_new_with_caps(uint32_t nodes, uint32_t cap_window_ms)
{
	const bf_mesh_options_t options = { .cap_window_ms = cap_window_ms };

	return new_fixture(nodes, 0, &options, NULL);
}

void
fixture_cut_from_store(mesh_fixture_t *fixture, uint32_t node)
{
	fixture->accesses[node].cut = true;
}

void
fixture_free(mesh_fixture_t *fixture)
{
	uint32_t i;

	for (i = 0; i < fixture->node_count; i++) {
		bf_mesh_free(fixture->nodes[i]);
		bf_listener_close(&fixture->targets[i].listener);
		if (fixture->has_links)
			soak_proxy_close(&fixture->links[i]);
	}
	while (fixture->connections->len > 0)
		drop_connection(g_ptr_array_index(fixture->connections, 0));
	g_ptr_array_free(fixture->connections, TRUE);
	bf_loop_free(fixture->loop);
	bf_metrics_set_free(fixture->metrics);
	bf_events_free(fixture->events);
	g_free(fixture);
}

static void
on_run_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	mesh_fixture_t *fixture =
	    BF_CONTAINER(timer, mesh_fixture_t, run_timer);

	(void)now_us;
	fixture->timed_out = true;
	bf_loop_stop(fixture->loop);
}

void
fixture_run(mesh_fixture_t *fixture, bf_time_us_t for_us)
{
	fixture->timed_out = false;
	fixture->run_timer.fire = on_run_timer;
	bf_loop_timer_set(fixture->loop, &fixture->run_timer,
	    bf_clock_monotonic_us() + for_us);
	bf_loop_run(fixture->loop);
	bf_loop_timer_cancel(fixture->loop, &fixture->run_timer);
}

static void
on_call_done(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	test_call_t *call = BF_CONTAINER(exchange, test_call_t, exchange);
	const char *text;

	call->ended = true;
	call->result = result;
	call->took_us = now_us - call->began_at_us;
	call->retry_after_s = -1;
	if (message != NULL) {
		call->status = message->status;
		(void)snprintf(call->body, sizeof(call->body), "%.*s",
		    (int)bf_bytes_count(&message->body),
		    (const char *)bf_bytes_data(&message->body));
		text = bf_http_find(message, "Call-Id");
		(void)snprintf(
		    call->id, sizeof(call->id), "%s", text != NULL ? text : "");
		text = bf_http_find(message, "Retry-After");
		if (text != NULL)
			call->retry_after_s = strtod(text, NULL);
		text = bf_http_find(message, "WWW-Authenticate");
		(void)snprintf(call->authenticate, sizeof(call->authenticate),
		    "%s", text != NULL ? text : "");
		bf_http_message_free(message);
	}
	bf_loop_stop(call->fixture->loop);
}

void
fixture_send(mesh_fixture_t *fixture, test_call_t *call, uint32_t node,
    const char *method, const char *path, const char *id, uint32_t timeout_ms,
    size_t body_bytes)
{
	fixture_send_with_fields(
	    fixture, call, node, method, path, id, timeout_ms, body_bytes, "");
}

void
fixture_send_with_fields(mesh_fixture_t *fixture, test_call_t *call,
    uint32_t node, const char *method, const char *path, const char *id,
    uint32_t timeout_ms, size_t body_bytes, const char *fields)
{
	bf_bytes_t head = { 0 }, body = { 0 };
	uint8_t *data;

	memset(call, 0, sizeof(*call));
	call->fixture = fixture;
	call->client.loop = fixture->loop;
	call->client.idle_timeout_us = BF_US_PER_S;
	call->client.address = loopback(
	    bf_listener_port(&fixture->nodes[node]->caller_server.listener));
	call->exchange.done = on_call_done;
	call->began_at_us = bf_clock_monotonic_us();
	bf_bytes_format(&head,
	    "%s %s HTTP/1.1\r\nHost: mesh.test\r\nCall-Id: %s\r\n"
	    "Left-Ms: %u\r\nFrom-Service: forged\r\n",
	    method, path, id, (unsigned int)timeout_ms);
	if (strcmp(method, "GET") != 0)
		bf_bytes_format(&head, "Content-Length: %zu\r\n", body_bytes);
	bf_bytes_add_text(&head, fields);
	bf_bytes_add_text(&head, "\r\n");
	if (body_bytes > 0) {
		data = bf_bytes_reserve(&body, body_bytes);
		memset(data, 'b', body_bytes);
		body.end += body_bytes;
	}
	g_assert_true(bf_http_send(&call->client, &call->exchange, &head, &body,
	    BF_US_PER_S, call->began_at_us));
	bf_bytes_free(&head);
	bf_bytes_free(&body);
}

static bool
all_ended(const test_call_t *calls, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (!calls[i].ended)
			return false;
	}
	return true;
}

bool
fixture_await(mesh_fixture_t *fixture, test_call_t *calls, size_t count,
    bf_time_us_t limit_us)
{
	bf_time_us_t until_us = bf_clock_monotonic_us() + limit_us;

	while (!all_ended(calls, count) && bf_clock_monotonic_us() < until_us)
		fixture_run(fixture, until_us - bf_clock_monotonic_us());
	return all_ended(calls, count);
}

uint32_t
fixture_count_runs(const mesh_fixture_t *fixture, const char *id)
{
	uint32_t count = 0, i, j;

	for (i = 0; i < fixture->node_count; i++) {
		for (j = 0; j < fixture->targets[i].run_count; j++)
			count += strcmp(fixture->targets[i].runs[j].id, id) == 0
			    ? 1
			    : 0;
	}
	return count;
}
