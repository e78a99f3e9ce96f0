#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>
#include <curl/curl.h>
#include <jansson.h>
#include <sodium.h>

#include "store/consul.h"

/* Holds a list of large values; far more than a node stores. */
#define ANSWER_BYTES_MAX ((size_t)16 * 1024 * 1024)
#define FIELD_BYTES_MAX ((size_t)65536)

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_UNAUTHORIZED 401
#define HTTP_FORBIDDEN 403
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_LARGE 413
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_SERVER_ERROR 500

typedef struct consul {
	bf_store_t base;
	char *url;
	uint32_t timeout_ms;
	uint32_t watch_silence_ms;
	CURL *curl;
	struct curl_slist *headers;
	bool must_reconnect; /* the last call failed */

	/* State of the call in progress. */
	bool writing;
	bool request_started; /* the store may have received it */
	bool too_large;
	char *answer;
	size_t answer_bytes;
	size_t field_bytes; /* of its header and trailer fields */
	long status;
} consul_t;

typedef struct call {
	const char *method;
	const char *path;
	const void *body;
	size_t body_bytes;
	uint32_t timeout_ms;
} call_t;

static bool
is_write(const call_t *call)
{
	return strcmp(call->method, "GET") != 0;
}

static size_t
append_answer(char *data, size_t size, size_t count, void *ctx)
{
	consul_t *consul;
	size_t bytes;
	char *grown;

	consul = ctx;
	bytes = size * count;
	consul->too_large = consul->answer_bytes + bytes > ANSWER_BYTES_MAX;
	if (consul->too_large)
		return 0;
	grown = realloc(consul->answer, consul->answer_bytes + bytes + 1);
	if (grown == NULL)
		return 0;
	memcpy(grown + consul->answer_bytes, data, bytes);
	consul->answer = grown;
	consul->answer_bytes += bytes;
	grown[consul->answer_bytes] = '\0';
	return bytes;
}

/*
 * Ends a call whose answer has too many header or trailer fields; libcurl keeps
 * them all, and bounds the former only.
 */
static size_t
count_fields(char *data, size_t size, size_t count, void *ctx)
{
	consul_t *consul = ctx;

	(void)data;
	consul->field_bytes += size * count;
	consul->too_large |= consul->field_bytes > FIELD_BYTES_MAX;
	return consul->too_large ? 0 : size * count;
}

/*
 * CURLOPT_PREREQFUNCTION: called when a connection is established, before the
 * first byte of a request.  A second call for the same request is a retry by
 * libcurl, which is aborted for writes.
 */
static int
before_request(
    void *ctx, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
	consul_t *consul;

	(void)peer_ip;
	(void)own_ip;
	(void)peer_port;
	(void)own_port;
	consul = ctx;
	if (consul->request_started && consul->writing)
		return CURL_PREREQFUNC_ABORT;
	consul->request_started = true;
	return CURL_PREREQFUNC_OK;
}

static void
prepare_request(consul_t *consul, const call_t *call, const char *url)
{
	CURL *curl;
	bool new_connection;

	curl = consul->curl;
	new_connection = is_write(call) || consul->must_reconnect;
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, consul->headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_answer);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, consul);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, count_fields);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, consul);
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, consul);
	curl_easy_setopt(
	    curl, CURLOPT_CONNECTTIMEOUT_MS, (long)consul->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, new_connection ? 1L : 0L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, is_write(call) ? 1L : 0L);
	if (!is_write(call))
		return;
	curl_easy_setopt(
	    curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)call->body_bytes);
	curl_easy_setopt(
	    curl, CURLOPT_POSTFIELDS, call->body_bytes > 0 ? call->body : "");
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
}

/* Sets the error of a call without a complete answer. */
static bf_code_t
set_transport_error(const consul_t *consul, const call_t *call, CURLcode result,
    bf_error_t *err)
{
	bf_code_t code;

	code = BF_ERR_UNAVAILABLE;
	if (consul->request_started && is_write(call))
		code = BF_ERR_UNSETTLED;
	else if (consul->too_large)
		code = BF_ERR_TOO_LARGE;
	else if (consul->request_started && result == CURLE_OPERATION_TIMEDOUT)
		code = BF_ERR_TIMEOUT;
	return bf_error_set(err, code, "%s %s: %s", call->method, call->path,
	    curl_easy_strerror(result));
}

/* Maps an HTTP status other than 200 to a code. */
static bf_code_t
status_code(const consul_t *consul, const call_t *call)
{
	const char *answer;

	answer = consul->answer != NULL ? consul->answer : "";
	switch (consul->status) {
	case HTTP_UNAUTHORIZED:
	case HTTP_FORBIDDEN:
		return BF_ERR_DENIED;
	case HTTP_NOT_FOUND:
		return BF_ERR_NOT_FOUND;
	case HTTP_TOO_LARGE:
		return BF_ERR_TOO_LARGE;
	case HTTP_TOO_MANY_REQUESTS:
		return BF_ERR_LIMIT;
	default:
		break;
	}
	/* The store checks the lease before it writes. */
	if (strstr(answer, "invalid session") != NULL)
		return BF_ERR_NOT_FOUND;
	if (consul->status >= HTTP_BAD_REQUEST &&
	    consul->status < HTTP_SERVER_ERROR)
		return BF_ERR_ARGUMENT;
	return is_write(call) ? BF_ERR_UNSETTLED : BF_ERR_UNAVAILABLE;
}

/* Makes one call; the answer is kept until the next one. */
static bf_code_t
perform(consul_t *consul, const call_t *call, bf_error_t *err)
{
	CURLcode result;
	char *url;

	free(consul->answer);
	consul->answer = NULL;
	consul->answer_bytes = 0;
	consul->field_bytes = 0;
	consul->too_large = false;
	consul->writing = is_write(call);
	consul->request_started = false;
	consul->status = 0;
	if (asprintf(&url, "%s%s", consul->url, call->path) < 0)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "%s: out of memory", call->path);
	prepare_request(consul, call, url);
	result = curl_easy_perform(consul->curl);
	free(url);
	consul->must_reconnect = result != CURLE_OK;
	if (result != CURLE_OK)
		return set_transport_error(consul, call, result, err);
	curl_easy_getinfo(
	    consul->curl, CURLINFO_RESPONSE_CODE, &consul->status);
	if (consul->status == HTTP_OK)
		return BF_OK;
	return bf_error_set(err, status_code(consul, call),
	    "%s %s: the store answered %ld %s", call->method, call->path,
	    consul->status, consul->answer != NULL ? consul->answer : "");
}

/* The index header of the last answer; 0 when there was none. */
static uint64_t
answer_index(const consul_t *consul)
{
	struct curl_header *header;

	if (curl_easy_header(consul->curl, "X-Consul-Index", 0, CURLH_HEADER,
		-1, &header) != CURLHE_OK)
		return 0;
	return strtoull(header->value, NULL, 10);
}

/* "/v1/kv/KEY?query", with all of the key but its slashes escaped. */
static const char *
key_path(const consul_t *consul, apr_pool_t *pool, const char *key,
    const char *query)
{
	char *escaped, *slash;
	const char *path;

	if (*key == '\0')
		return apr_pstrcat(pool, "/v1/kv/", query, NULL);
	escaped = curl_easy_escape(consul->curl, key, 0);
	if (escaped == NULL)
		return NULL;
	while ((slash = strstr(escaped, "%2F")) != NULL) {
		*slash = '/';
		memmove(slash + 1, slash + 3, strlen(slash + 3) + 1);
	}
	path = apr_pstrcat(pool, "/v1/kv/", escaped, query, NULL);
	curl_free(escaped);
	return path;
}

static bf_code_t
parse_value(
    json_t *item, apr_pool_t *pool, bf_store_value_t *value, bf_error_t *err)
{
	const char *key, *text;
	json_t *index, *data;
	size_t text_bytes;
	void *bytes;

	key = json_string_value(json_object_get(item, "Key"));
	index = json_object_get(item, "ModifyIndex");
	data = json_object_get(item, "Value");
	if (key == NULL || !json_is_integer(index) || data == NULL)
		return bf_error_set(err, BF_ERR_PARSE,
		    "an entry of the store's answer lacks Key, Value or index");
	value->key = apr_pstrdup(pool, key);
	value->index = (uint64_t)json_integer_value(index);
	value->data = "";
	value->data_bytes = 0;
	if (json_is_null(data)) /* an empty value */
		return BF_OK;
	text = json_string_value(data);
	if (text == NULL)
		return bf_error_set(
		    err, BF_ERR_PARSE, "%s: Value is not a string", key);
	text_bytes = json_string_length(data);
	bytes = apr_palloc(pool, text_bytes / 4 * 3 + 1);
	if (sodium_base642bin(bytes, text_bytes / 4 * 3 + 1, text, text_bytes,
		NULL, &value->data_bytes, NULL,
		sodium_base64_VARIANT_ORIGINAL) != 0)
		return bf_error_set(
		    err, BF_ERR_PARSE, "%s: Value is not base64", key);
	value->data = bytes;
	return BF_OK;
}

static bf_code_t
parse_values(const consul_t *consul, apr_pool_t *pool,
    bf_store_value_t **values, size_t *count, bf_error_t *err)
{
	bf_code_t code;
	json_t *list;
	size_t i;

	list = json_loadb(consul->answer != NULL ? consul->answer : "",
	    consul->answer_bytes, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_array(list)) {
		json_decref(list);
		return bf_error_set(err, BF_ERR_PARSE,
		    "the store's answer is not a JSON array");
	}
	*count = json_array_size(list);
	*values = apr_pcalloc(pool, (*count + 1) * sizeof(**values));
	code = BF_OK;
	for (i = 0; i < *count && code == BF_OK; i++)
		code = parse_value(
		    json_array_get(list, i), pool, &(*values)[i], err);
	json_decref(list);
	return code;
}

static bf_code_t
parse_one(const consul_t *consul, const char *key, apr_pool_t *pool,
    bf_store_value_t *value, bf_error_t *err)
{
	bf_store_value_t *values;
	bf_code_t code;
	size_t count;

	code = parse_values(consul, pool, &values, &count, err);
	if (code != BF_OK)
		return code;
	if (count != 1 || strcmp(values[0].key, key) != 0)
		return bf_error_set(err, BF_ERR_PARSE,
		    "%s: the store answered with another key", key);
	*value = values[0];
	return BF_OK;
}

static bf_code_t
read_path(
    consul_t *consul, const char *path, uint32_t timeout_ms, bf_error_t *err)
{
	call_t call = {
		.method = "GET", .path = path, .timeout_ms = timeout_ms
	};

	if (path == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a path");
	return perform(consul, &call, err);
}

static bf_code_t
consul_get(bf_store_t *store, const char *key, apr_pool_t *pool,
    bf_store_value_t *value, bf_error_t *err)
{
	consul_t *consul;
	bf_code_t code;

	consul = (consul_t *)store;
	code = read_path(
	    consul, key_path(consul, pool, key, ""), consul->timeout_ms, err);
	if (code != BF_OK)
		return code;
	return parse_one(consul, key, pool, value, err);
}

static bf_code_t
consul_list(bf_store_t *store, const char *prefix, apr_pool_t *pool,
    bf_store_value_t **values, size_t *count, bf_error_t *err)
{
	consul_t *consul;
	bf_code_t code;

	consul = (consul_t *)store;
	*values = NULL;
	*count = 0;
	code =
	    read_path(consul, key_path(consul, pool, prefix, "?recurse=true"),
		consul->timeout_ms, err);
	if (code == BF_ERR_NOT_FOUND)
		return BF_OK;
	if (code != BF_OK)
		return code;
	return parse_values(consul, pool, values, count, err);
}

/* One long poll; updates *next_index, from which the next one waits. */
static bf_code_t
poll_once(consul_t *consul, const char *key, uint64_t *next_index,
    uint32_t wait_ms, apr_pool_t *pool, bf_store_value_t *value,
    bf_error_t *err)
{
	const char *query;
	bf_code_t code;
	uint64_t index;

	query = apr_psprintf(pool, "?index=%" PRIu64 "&wait=%" PRIu32 "ms",
	    *next_index, wait_ms);
	code = read_path(consul, key_path(consul, pool, key, query),
	    wait_ms + consul->watch_silence_ms, err);
	if (code != BF_OK && code != BF_ERR_NOT_FOUND)
		return code;
	index = answer_index(consul);
	if (index > *next_index)
		*next_index = index;
	if (code == BF_ERR_NOT_FOUND)
		return code;
	return parse_one(consul, key, pool, value, err);
}

/*
 * For an absent key the API answers at once if the index is 0 or older than
 * the key's deletion.  The watch then continues from the index in the answer.
 */
static bf_code_t
consul_watch(bf_store_t *store, const char *key, uint64_t index,
    uint32_t wait_ms, apr_pool_t *pool, bf_store_value_t *value,
    bf_error_t *err)
{
	bf_time_us_t end_us, now_us;
	uint64_t next_index, sent_index;
	bf_code_t code;

	next_index = index;
	now_us = bf_clock_monotonic_us();
	end_us = now_us + (bf_time_us_t)wait_ms * BF_US_PER_MS;
	do {
		sent_index = next_index;
		code = poll_once((consul_t *)store, key, &next_index,
		    (uint32_t)((end_us - now_us) / BF_US_PER_MS), pool, value,
		    err);
		now_us = bf_clock_monotonic_us();
	} while (code == BF_ERR_NOT_FOUND && next_index > sent_index &&
	    end_us - now_us >= BF_US_PER_MS);
	return code;
}

/* A write whose answer is "true" or "false". */
static bf_code_t
write_path(consul_t *consul, const char *path, const void *data,
    size_t data_bytes, bf_error_t *err)
{
	call_t call = { .method = "PUT",
		.path = path,
		.body = data,
		.body_bytes = data_bytes,
		.timeout_ms = consul->timeout_ms };
	bf_code_t code;

	if (path == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a path");
	code = perform(consul, &call, err);
	if (code != BF_OK)
		return code;
	if (consul->answer != NULL && strncmp(consul->answer, "true", 4) == 0)
		return BF_OK;
	if (consul->answer != NULL && strncmp(consul->answer, "false", 5) == 0)
		return bf_error_set(err, BF_ERR_CONFLICT,
		    "%s: another client wrote or holds the key", path);
	return bf_error_set(err, BF_ERR_UNSETTLED,
	    "%s: the store answered neither true nor false", path);
}

/* Writes key with a query; the path lives in a pool of its own. */
static bf_code_t
write_key(consul_t *consul, const char *key, const char *name,
    const char *argument, const void *data, size_t data_bytes, bf_error_t *err)
{
	const char *query;
	apr_pool_t *pool;
	bf_code_t code;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a pool");
	query = "";
	if (name != NULL)
		query = apr_pstrcat(pool, "?", name, "=", argument, NULL);
	code = write_path(
	    consul, key_path(consul, pool, key, query), data, data_bytes, err);
	apr_pool_destroy(pool);
	return code;
}

static bf_code_t
consul_acquire(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, const char *lease, bf_error_t *err)
{
	return write_key(
	    (consul_t *)store, key, "acquire", lease, data, data_bytes, err);
}

static bf_code_t
consul_put(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, const char *lease, bf_error_t *err)
{
	/* Only a key that was acquired by a lease is deleted with it. */
	if (lease != NULL)
		return consul_acquire(store, key, data, data_bytes, lease, err);
	return write_key(
	    (consul_t *)store, key, NULL, NULL, data, data_bytes, err);
}

static bf_code_t
consul_swap(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, uint64_t index, bf_error_t *err)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, index);
	return write_key(
	    (consul_t *)store, key, "cas", text, data, data_bytes, err);
}

static bf_code_t
consul_lease_grant(bf_store_t *store, uint32_t ttl_ms, apr_pool_t *pool,
    const char **lease, bf_error_t *err)
{
	consul_t *consul;
	call_t call;
	const char *body, *id;
	bf_code_t code;
	json_t *json;

	consul = (consul_t *)store;
	if (ttl_ms < BF_STORE_CONSUL_TTL_MS_MIN ||
	    ttl_ms > BF_STORE_CONSUL_TTL_MS_MAX)
		return bf_error_set(err, BF_ERR_RANGE,
		    "a lease of %" PRIu32 " ms: the store accepts %d to %d ms",
		    ttl_ms, BF_STORE_CONSUL_TTL_MS_MIN,
		    BF_STORE_CONSUL_TTL_MS_MAX);
	body = apr_psprintf(pool,
	    "{\"TTL\":\"%" PRIu32
	    "ms\",\"Behavior\":\"delete\",\"LockDelay\":\"0s\"}",
	    ttl_ms);
	call = (call_t){ .method = "PUT",
		.path = "/v1/session/create",
		.body = body,
		.body_bytes = strlen(body),
		.timeout_ms = consul->timeout_ms };
	code = perform(consul, &call, err);
	if (code != BF_OK)
		return code;
	json = json_loadb(consul->answer != NULL ? consul->answer : "",
	    consul->answer_bytes, 0, NULL);
	id = json_string_value(json_object_get(json, "ID"));
	*lease = id != NULL ? apr_pstrdup(pool, id) : NULL;
	json_decref(json);
	if (*lease == NULL)
		return bf_error_set(err, BF_ERR_UNSETTLED,
		    "the store granted a lease without an id");
	return BF_OK;
}

static bf_code_t
write_lease(
    consul_t *consul, const char *verb, const char *lease, bf_error_t *err)
{
	call_t call = { .method = "PUT", .timeout_ms = consul->timeout_ms };
	bf_code_t code;
	char *path;

	if (asprintf(&path, "/v1/session/%s/%s", verb, lease) < 0)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a path");
	call.path = path;
	code = perform(consul, &call, err);
	free(path);
	return code;
}

static bf_code_t
consul_lease_renew(bf_store_t *store, const char *lease, bf_error_t *err)
{
	return write_lease((consul_t *)store, "renew", lease, err);
}

static bf_code_t
consul_lease_revoke(bf_store_t *store, const char *lease, bf_error_t *err)
{
	return write_lease((consul_t *)store, "destroy", lease, err);
}

static void
consul_free(bf_store_t *store)
{
	consul_t *consul;

	consul = (consul_t *)store;
	if (consul->curl != NULL)
		curl_easy_cleanup(consul->curl);
	curl_slist_free_all(consul->headers);
	free(consul->answer);
	free(consul->url);
	free(consul);
}

static const bf_store_vtable_t consul_vtable = { .get = consul_get,
	.list = consul_list,
	.put = consul_put,
	.compare_and_swap = consul_swap,
	.watch = consul_watch,
	.lease_grant = consul_lease_grant,
	.lease_renew = consul_lease_renew,
	.lease_revoke = consul_lease_revoke,
	.acquire = consul_acquire,
	.free = consul_free };

static bool
add_header(consul_t *consul, const char *line)
{
	struct curl_slist *grown;

	grown = curl_slist_append(consul->headers, line);
	if (grown == NULL)
		return false;
	consul->headers = grown;
	return true;
}

static bool
add_headers(consul_t *consul, const char *token)
{
	bool added;
	char *line;

	/* Avoids the round trip of "100 Continue", and the form type. */
	if (!add_header(consul, "Expect:") ||
	    !add_header(consul, "Content-Type: application/octet-stream"))
		return false;
	if (token == NULL)
		return true;
	if (asprintf(&line, "X-Consul-Token: %s", token) < 0)
		return false;
	added = add_header(consul, line);
	free(line);
	return added;
}

bf_code_t
bf_store_consul_new(
    const bf_store_consul_options_t *options, bf_store_t **out, bf_error_t *err)
{
	consul_t *consul;

	*out = NULL;
	if (options->url == NULL || strncmp(options->url, "http://", 7) != 0)
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "the store's url is not an http:// URL");
	if (options->timeout_ms == 0 || options->watch_silence_ms == 0)
		return bf_error_set(
		    err, BF_ERR_ARGUMENT, "a timeout of the store is 0");
	consul = calloc(1, sizeof(*consul));
	if (consul == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a store");
	consul->base.vtable = &consul_vtable;
	consul->timeout_ms = options->timeout_ms;
	consul->watch_silence_ms = options->watch_silence_ms;
	consul->url = strdup(options->url);
	if (consul->url != NULL && *consul->url != '\0' &&
	    consul->url[strlen(consul->url) - 1] == '/')
		consul->url[strlen(consul->url) - 1] = '\0';
	consul->curl = curl_easy_init();
	if (consul->url == NULL || consul->curl == NULL ||
	    !add_headers(consul, options->token)) {
		consul_free(&consul->base);
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a store");
	}
	*out = &consul->base;
	return BF_OK;
}
