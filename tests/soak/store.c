#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "tests/soak/proxy.h"
#include "tests/soak/store.h"

#define ANSWER_DELAY_US BF_US_PER_MS
#define LEASE_CHECK_INTERVAL_US (100 * BF_US_PER_MS)
#define BODY_BYTES_MAX ((uint64_t)8 << 20)
#define IDLE_US (60 * BF_US_PER_S)
#define JSON_FIELD "Content-Type: application/json\r\n"

typedef struct item {
	char *key;
	char *value; /* base64, as received */
	uint64_t mod_revision;
	uint64_t create_revision;
	uint64_t lease; /* its id; 0: none */
} item_t;

typedef struct lease {
	uint64_t id;
	bf_time_us_t ttl_us;
	bf_time_us_t expires_us;
} lease_t;

/* A call that was not answered yet: delayed, or a watch for changes. */
typedef struct call {
	soak_store_t *store;
	bf_http_request_t *request;
	bf_timer_t timer;
	char *watch_prefix; /* NULL: not a watch, or it is complete */
	uint64_t after_revision;
	uint32_t status;
	json_t *body;
	bool answer_lost;
} call_t;

static void
free_call(call_t *call)
{
	g_ptr_array_remove_fast(call->store->pending_calls, call);
	bf_loop_timer_cancel(call->store->loop, &call->timer);
	g_free(call->watch_prefix);
	json_decref(call->body);
	bf_loop_defer_free(call->store->loop, call);
}

static void
on_answer(bf_timer_t *timer, bf_time_us_t now_us)
{
	call_t *call = BF_CONTAINER(timer, call_t, timer);
	bf_http_request_t *request = call->request;
	char *text, fields[sizeof(JSON_FIELD) + 32];

	(void)now_us;
	if (call->answer_lost)
		return; /* freed when the caller disconnects */
	text = json_dumps(call->body, JSON_COMPACT);
	request->user = NULL;
	(void)snprintf(fields, sizeof(fields), JSON_FIELD "Store-Era: %u\r\n",
	    call->store->era);
	bf_http_answer(request, call->status,
	    call->store->era > 0 ? fields : JSON_FIELD, text, strlen(text));
	free(text);
	free_call(call);
}

static json_t *
item_json(const item_t *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "Key", item->key, "Value",
	    item->value, "ModRevision", (json_int_t)item->mod_revision,
	    "CreateRev", (json_int_t)item->create_revision, "Lease",
	    (json_int_t)item->lease);
}

static json_t *
events_after(const soak_store_t *store, const char *prefix, uint64_t after)
{
	json_t *events = json_array();
	const item_t *item;
	guint i;

	for (i = 0; i < store->items->len; i++) {
		item = g_ptr_array_index(store->items, i);
		if (item->mod_revision > after &&
		    g_str_has_prefix(item->key, prefix))
			json_array_append_new(events, item_json(item));
	}
	return events;
}

static void
complete_watch(call_t *call, json_t *events, bf_time_us_t now_us)
{
	g_free(call->watch_prefix);
	call->watch_prefix = NULL;
	json_decref(call->body);
	call->body = json_pack("{s:o,s:I}", "events", events, "CurrentRev",
	    (json_int_t)call->store->revision);
	bf_loop_timer_set(
	    call->store->loop, &call->timer, now_us + ANSWER_DELAY_US);
}

static void
notify_watches(soak_store_t *store)
{
	bf_time_us_t now_us = bf_clock_monotonic_us();
	json_t *events;
	call_t *call;
	guint i;

	for (i = 0; i < store->pending_calls->len; i++) {
		call = g_ptr_array_index(store->pending_calls, i);
		if (call->watch_prefix == NULL || call->answer_lost)
			continue;
		events = events_after(
		    store, call->watch_prefix, call->after_revision);
		if (json_array_size(events) > 0)
			complete_watch(call, events, now_us);
		else
			json_decref(events);
	}
}

static void
on_watch_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	call_t *call = BF_CONTAINER(timer, call_t, timer);

	if (call->watch_prefix == NULL || call->answer_lost)
		on_answer(timer, now_us);
	else
		complete_watch(call, json_array(), now_us);
}

static item_t *
find_item(const soak_store_t *store, const char *key)
{
	item_t *item;
	guint i;

	for (i = 0; i < store->items->len; i++) {
		item = g_ptr_array_index(store->items, i);
		if (strcmp(item->key, key) == 0)
			return item;
	}
	return NULL;
}

static void
put_item(
    soak_store_t *store, const char *key, const char *value, uint64_t lease)
{
	item_t *item = find_item(store, key);

	if (item == NULL) {
		item = g_new0(item_t, 1);
		item->key = g_strdup(key);
		item->create_revision = store->revision;
		g_ptr_array_add(store->items, item);
	}
	g_free(item->value);
	item->value = g_strdup(value);
	item->mod_revision = store->revision;
	item->lease = lease;
}

static void
remove_item(soak_store_t *store, guint at)
{
	item_t *item = g_ptr_array_remove_index_fast(store->items, at);

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void
remove_lease(soak_store_t *store, guint at)
{
	lease_t *lease = g_ptr_array_remove_index_fast(store->leases, at);
	const item_t *item;
	guint i;

	store->revision++;
	for (i = store->items->len; i > 0; i--) {
		item = g_ptr_array_index(store->items, i - 1);
		if (item->lease == lease->id)
			remove_item(store, i - 1);
	}
	g_free(lease);
}

static lease_t *
find_lease(const soak_store_t *store, uint64_t id)
{
	lease_t *lease;
	guint i;

	for (i = 0; i < store->leases->len; i++) {
		lease = g_ptr_array_index(store->leases, i);
		if (lease->id == id)
			return lease;
	}
	return NULL;
}

static uint32_t
transact(soak_store_t *store, const json_t *root, json_t **body)
{
	const json_t *row, *rows = json_object_get(root, "ExpectedRevision");
	json_t *items = json_array();
	const item_t *item;
	json_int_t lease;
	bool preconditions_met = true;
	size_t i;

	json_array_foreach (rows, i, row) {
		item = find_item(
		    store, json_string_value(json_object_get(row, "Key")));
		if (item != NULL)
			json_array_append_new(items, item_json(item));
		if ((json_int_t)(item != NULL ? item->mod_revision : 0) !=
		    json_integer_value(json_object_get(row, "ModRevision")))
			preconditions_met = false;
	}
	if (!preconditions_met) {
		*body = json_pack("{s:o}", "items", items);
		return 412;
	}
	json_decref(items);
	rows = json_object_get(root, "Puts");
	json_array_foreach (rows, i, row) {
		lease = json_integer_value(json_object_get(row, "Lease"));
		if (lease != 0 && find_lease(store, (uint64_t)lease) == NULL) {
			*body = json_object();
			return 404;
		}
	}
	store->revision++;
	json_array_foreach (rows, i, row)
		put_item(store, json_string_value(json_object_get(row, "Key")),
		    json_string_value(json_object_get(row, "Value")),
		    (uint64_t)json_integer_value(
			json_object_get(row, "Lease")));
	*body = json_pack("{s:I}", "ModRevision", (json_int_t)store->revision);
	notify_watches(store);
	return 200;
}

static char *
query_value(const char *path, const char *name)
{
	char *found, *start = g_strdup_printf("%s=", name), *value = NULL;
	gchar **parts = g_strsplit_set(path, "?&", -1);
	int i;

	for (i = 0; parts[i] != NULL; i++) {
		found = g_str_has_prefix(parts[i], start)
		    ? parts[i] + strlen(start)
		    : NULL;
		if (found != NULL)
			value = g_uri_unescape_string(found, NULL);
	}
	g_strfreev(parts);
	g_free(start);
	return value != NULL ? value : g_strdup("");
}

static uint32_t
grant_lease(soak_store_t *store, const json_t *root, json_t **body)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->id = ++store->last_lease_id;
	lease->ttl_us =
	    json_integer_value(json_object_get(root, "TtlMs")) * BF_US_PER_MS;
	lease->expires_us = bf_clock_monotonic_us() + lease->ttl_us;
	g_ptr_array_add(store->leases, lease);
	*body = json_pack("{s:I,s:I}", "Lease", (json_int_t)lease->id, "TtlMs",
	    (json_int_t)(lease->ttl_us / BF_US_PER_MS));
	return 200;
}

static uint32_t
renew_lease(soak_store_t *store, const char *path, json_t **body)
{
	lease_t *lease;

	lease = find_lease(
	    store, g_ascii_strtoull(strrchr(path, '/') + 1, NULL, 10));
	*body = json_object();
	if (lease == NULL)
		return 404;
	lease->expires_us = bf_clock_monotonic_us() + lease->ttl_us;
	return 200;
}

static uint32_t
start_watch(call_t *call, const char *path, bf_time_us_t now_us)
{
	char *after = query_value(path, "after");
	char *wait = query_value(path, "WaitMs");

	call->watch_prefix = query_value(path, "Prefix");
	call->after_revision = g_ascii_strtoull(after, NULL, 10);
	call->timer.fire = on_watch_timeout;
	bf_loop_timer_set(call->store->loop, &call->timer,
	    now_us +
		(bf_time_us_t)g_ascii_strtoull(wait, NULL, 10) * BF_US_PER_MS);
	g_free(after);
	g_free(wait);
	if (call->after_revision >= call->store->compacted_revision &&
	    call->after_revision <= call->store->revision)
		return 200;
	g_free(call->watch_prefix);
	call->watch_prefix = NULL;
	return 410;
}

static uint32_t
execute(call_t *call, const bf_http_message_t *message, bf_time_us_t now_us)
{
	const char *path = bf_http_target(message);
	soak_store_t *store = call->store;
	json_t *root, *events;
	uint32_t status;
	char *prefix;

	if (g_str_has_prefix(path, "/basilfork/kv-watch")) {
		call->body = json_object();
		return start_watch(call, path, now_us);
	}
	if (g_str_has_prefix(path, "/basilfork/kv-range")) {
		prefix = query_value(path, "Prefix");
		events = events_after(store, prefix, 0);
		call->body = json_pack("{s:o,s:b,s:I}", "items", events,
		    "HasMore", 0, "CurrentRev", (json_int_t)store->revision);
		g_free(prefix);
		return 200;
	}
	if (g_str_has_prefix(path, "/basilfork/kv-keep/"))
		return renew_lease(store, path, &call->body);
	root = json_loadb((const char *)bf_bytes_data(&message->body),
	    bf_bytes_count(&message->body), 0, NULL);
	status = strcmp(path, "/basilfork/kv-lease") == 0
	    ? grant_lease(store, root, &call->body)
	    : transact(store, root, &call->body);
	json_decref(root);
	return status;
}

static void
on_request(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	soak_store_t *store = BF_CONTAINER(server, soak_store_t, server);
	call_t *call;

	if (store->mode == SOAK_STORE_REFUSES) {
		bf_http_answer(request, 503, "", "", 0);
		return;
	}
	if (store->mode == SOAK_STORE_RESETS) {
		bf_http_abort(request);
		return;
	}
	call = g_new0(call_t, 1);
	call->store = store;
	call->request = request;
	call->timer.fire = on_answer;
	request->user = call;
	g_ptr_array_add(store->pending_calls, call);
	if (store->mode == SOAK_STORE_SILENT) {
		call->answer_lost = true;
		call->body = json_object();
		return;
	}
	call->answer_lost = store->mode == SOAK_STORE_LOSES_ANSWERS &&
	    g_rand_boolean(store->random);
	call->status = execute(call, request->message, now_us);
	if (call->watch_prefix == NULL)
		bf_loop_timer_set(store->loop, &call->timer,
		    now_us + ANSWER_DELAY_US + store->delay_us);
	else
		notify_watches(store);
}

static void
on_abandoned(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	(void)server;
	(void)now_us;
	free_call(request->user);
}

static const bf_http_server_vtable_t vtable = {
	.request = on_request,
	.abandoned = on_abandoned,
};

/* Leases do not expire in a faulty mode. */
static void
on_lease_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_store_t *store = BF_CONTAINER(timer, soak_store_t, lease_timer);
	lease_t *lease;
	guint i;

	for (i = store->leases->len; i > 0; i--) {
		lease = g_ptr_array_index(store->leases, i - 1);
		if (store->mode != SOAK_STORE_SERVES)
			lease->expires_us += LEASE_CHECK_INTERVAL_US;
		else if (now_us > lease->expires_us)
			remove_lease(store, i - 1);
	}
	bf_loop_timer_set(store->loop, timer, now_us + LEASE_CHECK_INTERVAL_US);
}

void
soak_store_open(soak_store_t *store, bf_loop_t *loop, GRand *random)
{
	struct sockaddr_in any = { .sin_family = AF_INET };

	any.sin_addr.s_addr = soak_address();
	*store = (soak_store_t){
		.server = { .vtable = &vtable,
		    .limits = { .head_bytes = 8192,
			.body_bytes = BODY_BYTES_MAX,
			.head_timeout_us = IDLE_US,
			.idle_timeout_us = IDLE_US } },
		.loop = loop,
		.random = random,
		.items = g_ptr_array_new(),
		.copied_items = g_ptr_array_new(),
		.leases = g_ptr_array_new(),
		.pending_calls = g_ptr_array_new(),
		.revision = 100,
		.lease_timer = { .fire = on_lease_timer },
	};
	g_assert_cmpint(bf_http_server_open(&store->server, loop, &any,
			    bf_clock_monotonic_us(), NULL),
	    ==, BF_OK);
	bf_loop_timer_set(loop, &store->lease_timer, bf_clock_monotonic_us());
}

struct sockaddr_in
soak_store_address(const soak_store_t *store)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_addr.s_addr = soak_address();
	address.sin_port = htons(bf_listener_port(&store->server.listener));
	return address;
}

void
soak_store_put(soak_store_t *store, const char *key, const char *data)
{
	char *value = g_base64_encode((const guchar *)data, strlen(data));

	store->revision++;
	put_item(store, key, value, 0);
	g_free(value);
	notify_watches(store);
}

void
soak_store_compact(soak_store_t *store)
{
	store->compacted_revision = ++store->revision;
}

static void
copy_items(GPtrArray *to, GPtrArray *from)
{
	const item_t *item;
	item_t *copy;
	guint i;

	for (i = 0; i < from->len; i++) {
		item = g_ptr_array_index(from, i);
		if (item->lease != 0)
			continue;
		copy = g_memdup2(item, sizeof(*item));
		copy->key = g_strdup(item->key);
		copy->value = g_strdup(item->value);
		g_ptr_array_add(to, copy);
	}
}

static void
free_items(GPtrArray *items)
{
	item_t *item;

	while (items->len > 0) {
		item = g_ptr_array_remove_index_fast(items, items->len - 1);
		g_free(item->key);
		g_free(item->value);
		g_free(item);
	}
}

void
soak_store_copy(soak_store_t *store)
{
	free_items(store->copied_items);
	copy_items(store->copied_items, store->items);
	store->copied_revision = store->revision;
}

void
soak_store_restore(soak_store_t *store)
{
	bf_time_us_t now_us = bf_clock_monotonic_us();
	call_t *call;
	guint i;

	if (store->copied_revision == 0)
		return;
	store->era++;
	free_items(store->items);
	copy_items(store->items, store->copied_items);
	store->revision = store->copied_revision;
	store->compacted_revision = store->copied_revision;
	while (store->leases->len > 0)
		g_free(g_ptr_array_remove_index_fast(store->leases, 0));
	for (i = 0; i < store->pending_calls->len; i++) {
		call = g_ptr_array_index(store->pending_calls, i);
		if (call->watch_prefix == NULL || call->answer_lost)
			continue;
		g_free(call->watch_prefix);
		call->watch_prefix = NULL;
		call->status = 410;
		bf_loop_timer_set(
		    store->loop, &call->timer, now_us + ANSWER_DELAY_US);
	}
}

void
soak_store_revoke_lease(soak_store_t *store)
{
	if (store->leases->len > 0)
		remove_lease(store,
		    (guint)g_rand_int_range(
			store->random, 0, (gint32)store->leases->len));
}
