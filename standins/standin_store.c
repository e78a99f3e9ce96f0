/*
 * Stand-in for the platform's key-value service: the subset of the published
 * Consul key-value and session HTTP interface that basilfork uses, kept in
 * memory, with call counts and fault injection under /standin/.
 */
#include <argp.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "standins/keyvalue.h"
#include "standins/rate_limit.h"
#include "standins/standin.h"

#define VALUE_BYTES_MAX 1000000
#define WAIT_MS_DEFAULT 300000
#define WAIT_MS_MAX 600000
#define TTL_MS_MIN 10000
#define TTL_MS_MAX 86400000
#define EXPIRY_INTERVAL_MS 50
#define US_PER_MS 1000

typedef enum call_kind {
	CALL_GET,
	CALL_LIST,
	CALL_WATCH,
	CALL_PUT,
	CALL_CAS,
	CALL_ACQUIRE,
	CALL_RELEASE,
	CALL_DELETE,
	CALL_SESSION_CREATE,
	CALL_SESSION_RENEW,
	CALL_SESSION_DESTROY,
	CALL_KIND_COUNT
} call_kind_t;

static const char *const kind_names[CALL_KIND_COUNT] = { "get", "list", "watch",
	"put", "cas", "acquire", "release", "delete", "session_create",
	"session_renew", "session_destroy" };

typedef struct store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	keyvalue_t *kv;
	uint64_t counts[CALL_KIND_COUNT];
	uint64_t rate_limited;
	uint64_t dropped;
	uint32_t pending_watches;
	rate_limit_t read_limit;
	rate_limit_t write_limit;

	/* Injected faults. */
	gint64 down_until_us; /* G_MAXINT64: indefinitely */
	uint32_t slow_ms;
	uint32_t responses_to_drop; /* of the next writes that are applied */
	uint32_t responses_to_fail; /* of the next calls; status 500 */
} store_t;

typedef struct request {
	GByteArray *body;
	bool too_large;
} request_t;

/* One store per process, shared by the handlers of libmicrohttpd. */
static store_t store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	.changed = PTHREAD_COND_INITIALIZER,
	.read_limit = { .per_s = 2000 },
	.write_limit = { .per_s = 300 } };

static bool
is_down(void)
{
	return g_get_monotonic_time() < store.down_until_us;
}

static void
expire_sessions(void)
{
	uint64_t index;

	index = keyvalue_index(store.kv);
	keyvalue_sessions_expire(store.kv, g_get_monotonic_time());
	if (keyvalue_index(store.kv) != index)
		pthread_cond_broadcast(&store.changed);
}

/* Parses "10s", "250ms" or "5m"; returns fallback_ms if text is invalid. */
static uint32_t
parse_duration_ms(const char *text, uint32_t fallback_ms)
{
	char *unit;
	guint64 n;

	if (text == NULL)
		return fallback_ms;
	n = g_ascii_strtoull(text, &unit, 10);
	if (unit == text || n > WAIT_MS_MAX * 1000ULL)
		return fallback_ms;
	if (strcmp(unit, "ms") == 0)
		return (uint32_t)n;
	if (strcmp(unit, "s") == 0)
		return (uint32_t)MIN(n * 1000, UINT32_MAX);
	if (strcmp(unit, "m") == 0)
		return (uint32_t)MIN(n * 60000, UINT32_MAX);
	return fallback_ms;
}

static void
wait_for_change(const char *key, bool recurse, uint64_t index, uint32_t wait_ms)
{
	struct timespec until;
	gint64 until_us;

	until_us = g_get_real_time() + (gint64)wait_ms * US_PER_MS;
	until.tv_sec = until_us / G_USEC_PER_SEC;
	until.tv_nsec = (until_us % G_USEC_PER_SEC) * 1000;
	store.pending_watches++;
	while (keyvalue_last_change(store.kv, key, recurse) <= index &&
	    !is_down()) {
		if (pthread_cond_timedwait(
			&store.changed, &store.lock, &until) != 0)
			break;
	}
	store.pending_watches--;
}

static enum MHD_Result
respond_json(struct MHD_Connection *connection, unsigned int status,
    json_t *json, uint64_t index)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	char text[32];
	char *body;

	body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	response = MHD_create_response_from_buffer(
	    strlen(body), body, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", "application/json");
	if (index > 0) {
		snprintf(text, sizeof(text), "%" PRIu64, index);
		MHD_add_response_header(response, "X-Consul-Index", text);
	}
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

/* Called with the lock held; releases it. */
static enum MHD_Result
read_key(struct MHD_Connection *connection, const char *key, call_kind_t kind)
{
	uint64_t after_index, index;
	json_t *found;
	bool recurse;

	recurse = standin_has_argument(connection, "recurse");
	if (kind == CALL_WATCH) {
		after_index = g_ascii_strtoull(
		    standin_argument(connection, "index"), NULL, 10);
		if (after_index > 0)
			wait_for_change(key, recurse, after_index,
			    parse_duration_ms(
				standin_argument(connection, "wait"),
				WAIT_MS_DEFAULT));
	}
	if (is_down()) {
		store.dropped++;
		pthread_mutex_unlock(&store.lock);
		return MHD_NO;
	}
	found = keyvalue_collect(store.kv, key, recurse, &index);
	if (index == 0)
		index = keyvalue_index(store.kv);
	pthread_mutex_unlock(&store.lock);
	return respond_json(connection,
	    json_array_size(found) > 0 ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND,
	    found, index);
}

/* Responds to a write, whether applied or refused; releases the lock. */
static enum MHD_Result
respond_to_write(
    struct MHD_Connection *connection, bool applied, const char *body)
{
	bool drop_response;

	pthread_cond_broadcast(&store.changed);
	drop_response = applied && store.responses_to_drop > 0;
	if (drop_response)
		store.responses_to_drop--;
	pthread_mutex_unlock(&store.lock);
	if (drop_response)
		return MHD_NO;
	return standin_respond(connection, MHD_HTTP_OK, body);
}

static bool
try_write(struct MHD_Connection *connection, const char *key,
    const request_t *request, call_kind_t kind)
{
	const char *session;
	keyvalue_entry_t *entry;
	uint64_t index;

	entry = keyvalue_find(store.kv, key);
	session = NULL;
	if (kind == CALL_CAS) {
		index = g_ascii_strtoull(
		    standin_argument(connection, "cas"), NULL, 10);
		if (index != (entry == NULL ? 0 : entry->modify_index))
			return false;
	}
	if (kind == CALL_ACQUIRE) {
		session = standin_argument(connection, "acquire");
		if (entry != NULL && entry->session != NULL &&
		    strcmp(entry->session, session) != 0)
			return false;
	}
	if (kind == CALL_RELEASE) {
		session = standin_argument(connection, "release");
		if (entry == NULL || g_strcmp0(entry->session, session) != 0)
			return false;
		g_clear_pointer(&entry->session, g_free);
		session = NULL;
	}
	keyvalue_write(store.kv, key, request->body->data, request->body->len,
	    session, kind_names[kind]);
	return true;
}

static enum MHD_Result
write_key(struct MHD_Connection *connection, const char *key,
    const request_t *request, call_kind_t kind)
{
	const char *session;
	bool applied;

	session = standin_argument(connection, "acquire");
	if (kind == CALL_ACQUIRE &&
	    !keyvalue_session_exists(store.kv, session)) {
		pthread_mutex_unlock(&store.lock);
		return standin_respond(connection,
		    MHD_HTTP_INTERNAL_SERVER_ERROR, "invalid session");
	}
	applied = try_write(connection, key, request, kind);
	return respond_to_write(
	    connection, applied, applied ? "true" : "false");
}

static enum MHD_Result
delete_key(struct MHD_Connection *connection, const char *key)
{
	const char *cas;
	keyvalue_entry_t *entry;

	entry = keyvalue_find(store.kv, key);
	cas = standin_argument(connection, "cas");
	if (cas != NULL &&
	    (entry == NULL ||
		entry->modify_index != g_ascii_strtoull(cas, NULL, 10)))
		return respond_to_write(connection, false, "false");
	if (entry != NULL)
		keyvalue_delete(store.kv, entry, "delete");
	return respond_to_write(connection, entry != NULL, "true");
}

static enum MHD_Result
create_session(struct MHD_Connection *connection, const request_t *request)
{
	g_autofree char *body = NULL;
	const char *id, *ttl;
	uint32_t ttl_ms;
	json_t *json;

	json = json_loadb(
	    (const char *)request->body->data, request->body->len, 0, NULL);
	ttl = json_string_value(json_object_get(json, "TTL"));
	ttl_ms = parse_duration_ms(ttl, 0);
	json_decref(json);
	if (ttl_ms < TTL_MS_MIN || ttl_ms > TTL_MS_MAX) {
		pthread_mutex_unlock(&store.lock);
		return standin_respond(connection, MHD_HTTP_BAD_REQUEST,
		    "Invalid Session TTL, must be between [10s=24h0m0s]");
	}
	id = keyvalue_session_new(store.kv, ttl_ms, g_get_monotonic_time());
	body = g_strdup_printf("{\"ID\":\"%s\"}", id);
	return respond_to_write(connection, true, body);
}

static enum MHD_Result
renew_session(struct MHD_Connection *connection, const char *id)
{
	g_autofree char *body = NULL;

	if (!keyvalue_session_renew(store.kv, id, g_get_monotonic_time())) {
		pthread_mutex_unlock(&store.lock);
		return standin_respond(
		    connection, MHD_HTTP_NOT_FOUND, "Session id not found");
	}
	body = g_strdup_printf("[{\"ID\":\"%s\"}]", id);
	return respond_to_write(connection, true, body);
}

static enum MHD_Result
destroy_session(struct MHD_Connection *connection, const char *id)
{
	keyvalue_session_end(store.kv, id);
	return respond_to_write(connection, true, "true");
}

static enum MHD_Result
respond_counts(struct MHD_Connection *connection)
{
	json_t *calls, *counts;
	uint64_t total;
	int kind;

	calls = json_object();
	total = 0;
	pthread_mutex_lock(&store.lock);
	for (kind = 0; kind < CALL_KIND_COUNT; kind++) {
		total += store.counts[kind];
		json_object_set_new(calls, kind_names[kind],
		    json_integer((json_int_t)store.counts[kind]));
	}
	counts = json_pack("{s:I s:o s:I s:I s:i s:i s:I s:o}", "total",
	    (json_int_t)total, "calls", calls, "limited",
	    (json_int_t)store.rate_limited, "dropped",
	    (json_int_t)store.dropped, "waiting", (int)store.pending_watches,
	    "sessions", (int)keyvalue_session_count(store.kv), "index",
	    (json_int_t)keyvalue_index(store.kv), "writes",
	    keyvalue_writes(store.kv));
	pthread_mutex_unlock(&store.lock);
	return respond_json(connection, MHD_HTTP_OK, counts, 0);
}

static void
set_down(const char *text)
{
	if (strcmp(text, "on") == 0)
		store.down_until_us = G_MAXINT64;
	else if (strcmp(text, "off") == 0)
		store.down_until_us = 0;
	else
		store.down_until_us = g_get_monotonic_time() +
		    (gint64)standin_parse_number(text, "down") * US_PER_MS;
}

static enum MHD_Result
set_faults(struct MHD_Connection *connection)
{
	const char *text;

	pthread_mutex_lock(&store.lock);
	text = standin_argument(connection, "down");
	if (text != NULL)
		set_down(text);
	text = standin_argument(connection, "lapse_lease");
	if (text != NULL && strcmp(text, "all") == 0)
		keyvalue_sessions_end_all(store.kv);
	else if (text != NULL)
		keyvalue_session_end(store.kv, text);
	standin_argument_number(connection, "slow_ms", &store.slow_ms);
	standin_argument_number(
	    connection, "lose_answer_after_write", &store.responses_to_drop);
	standin_argument_number(
	    connection, "error_answers", &store.responses_to_fail);
	standin_argument_number(
	    connection, "writes_per_s", &store.write_limit.per_s);
	standin_argument_number(
	    connection, "reads_per_s", &store.read_limit.per_s);
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	return standin_respond(connection, MHD_HTTP_OK, "ok\n");
}

/* Returns CALL_KIND_COUNT for a call that the stand-in does not support. */
static call_kind_t
classify(struct MHD_Connection *connection, const char *method, const char *url)
{
	bool put;

	put = strcmp(method, "PUT") == 0;
	if (put && strcmp(url, "/v1/session/create") == 0)
		return CALL_SESSION_CREATE;
	if (put && g_str_has_prefix(url, "/v1/session/renew/"))
		return CALL_SESSION_RENEW;
	if (put && g_str_has_prefix(url, "/v1/session/destroy/"))
		return CALL_SESSION_DESTROY;
	if (!g_str_has_prefix(url, "/v1/kv/"))
		return CALL_KIND_COUNT;
	if (strcmp(method, "DELETE") == 0)
		return CALL_DELETE;
	if (put && standin_argument(connection, "cas") != NULL)
		return CALL_CAS;
	if (put && standin_argument(connection, "acquire") != NULL)
		return CALL_ACQUIRE;
	if (put && standin_argument(connection, "release") != NULL)
		return CALL_RELEASE;
	if (put)
		return CALL_PUT;
	if (strcmp(method, "GET") != 0)
		return CALL_KIND_COUNT;
	if (standin_argument(connection, "index") != NULL)
		return CALL_WATCH;
	return standin_has_argument(connection, "recurse") ? CALL_LIST
							   : CALL_GET;
}

/* Called with the lock held; every branch releases it. */
static enum MHD_Result
dispatch(struct MHD_Connection *connection, const char *url,
    const request_t *request, call_kind_t kind)
{
	switch (kind) {
	case CALL_GET:
	case CALL_LIST:
	case CALL_WATCH:
		return read_key(connection, url + strlen("/v1/kv/"), kind);
	case CALL_DELETE:
		return delete_key(connection, url + strlen("/v1/kv/"));
	case CALL_SESSION_CREATE:
		return create_session(connection, request);
	case CALL_SESSION_RENEW:
		return renew_session(
		    connection, url + strlen("/v1/session/renew/"));
	case CALL_SESSION_DESTROY:
		return destroy_session(
		    connection, url + strlen("/v1/session/destroy/"));
	default:
		return write_key(
		    connection, url + strlen("/v1/kv/"), request, kind);
	}
}

static enum MHD_Result
handle_call(struct MHD_Connection *connection, const char *method,
    const char *url, const request_t *request)
{
	rate_limit_t *limit;
	call_kind_t kind = classify(connection, method, url);

	if (kind == CALL_KIND_COUNT)
		return standin_respond(connection, MHD_HTTP_NOT_FOUND, "");
	pthread_mutex_lock(&store.lock);
	if (is_down()) {
		store.dropped++;
		pthread_mutex_unlock(&store.lock);
		return MHD_NO;
	}
	store.counts[kind]++;
	limit = kind <= CALL_WATCH ? &store.read_limit : &store.write_limit;
	if (!rate_limit_allow(limit, g_get_monotonic_time())) {
		store.rate_limited++;
		pthread_mutex_unlock(&store.lock);
		return standin_respond(
		    connection, MHD_HTTP_TOO_MANY_REQUESTS, "rate limit");
	}
	if (store.responses_to_fail > 0) {
		store.responses_to_fail--;
		pthread_mutex_unlock(&store.lock);
		return standin_respond(
		    connection, MHD_HTTP_INTERNAL_SERVER_ERROR, "no leader");
	}
	expire_sessions();
	return dispatch(connection, url, request, kind);
}

static request_t *
begin_request(void)
{
	request_t *request;

	request = g_new0(request_t, 1);
	request->body = g_byte_array_new();
	return request;
}

static enum MHD_Result
handle(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *http_version, const char *data,
    size_t *data_bytes, void **state)
{
	request_t *request;
	uint32_t slow_ms;

	(void)cls;
	(void)http_version;
	request = *state;
	if (request == NULL) {
		*state = begin_request();
		return MHD_YES;
	}
	if (*data_bytes > 0) {
		request->too_large |=
		    request->body->len + *data_bytes > VALUE_BYTES_MAX;
		if (!request->too_large)
			g_byte_array_append(request->body, (const guint8 *)data,
			    (guint)*data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (strcmp(url, "/standin/counts") == 0)
		return respond_counts(connection);
	if (strcmp(url, "/standin/fault") == 0)
		return set_faults(connection);
	pthread_mutex_lock(&store.lock);
	slow_ms = store.slow_ms;
	pthread_mutex_unlock(&store.lock);
	g_usleep((gulong)slow_ms * US_PER_MS);
	if (request->too_large)
		return standin_respond(
		    connection, MHD_HTTP_CONTENT_TOO_LARGE, "over 1 MB");
	return handle_call(connection, method, url, request);
}

static void
request_completed(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode why)
{
	request_t *request;

	(void)cls;
	(void)connection;
	(void)why;
	request = *state;
	if (request == NULL)
		return;
	g_byte_array_free(request->body, TRUE);
	g_free(request);
	*state = NULL;
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	const char **listen;

	listen = state->input;
	switch (key) {
	case 'l':
		*listen = value;
		return 0;
	case 'w':
		store.write_limit.per_s =
		    standin_parse_number(value, "writes-per-s");
		return 0;
	case 'r':
		store.read_limit.per_s =
		    standin_parse_number(value, "reads-per-s");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "listen", 'l', "IP:PORT", 0, "port 0: choose one", 0 },
		{ "writes-per-s", 'w', "N", 0, "default 300", 0 },
		{ "reads-per-s", 'r', "N", 0, "default 2000", 0 }, { 0 }
	};
	static const struct argp argp = { .options = options,
		.parser = parse_option,
		.doc = "A stand-in for the platform's key-value service." };
	const char *listen;

	listen = "127.0.0.1:0";
	argp_parse(&argp, argc, argv, 0, NULL, &listen);
	store.kv = keyvalue_new();
	standin_block_signals();
	standin_listen(
	    listen, STANDIN_THREADS, handle, request_completed, NULL);
	while (!standin_stop_requested(EXPIRY_INTERVAL_MS)) {
		pthread_mutex_lock(&store.lock);
		expire_sessions();
		pthread_mutex_unlock(&store.lock);
	}
	return 0;
}
