#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>
#include <microhttpd.h>
#include <sodium.h>

#include "admin/admin.h"
#include "base/address.h"

#define CONNECTIONS_MAX 64
#define CONNECTION_IDLE_S 30
#define CONNECTION_MEMORY_BYTES 16384
#define BEARER_PREFIX "Bearer "

struct bf_admin {
	struct MHD_Daemon *daemon;
	apr_pool_t *pool;
	const bf_admin_handler_t *handlers;
	size_t handler_count;
	void *ctx;
	const char *tokens[BF_ROLE_TARGET + 1];
	bf_counter_shard_t *counters;
	bf_counter_id_t requests;
	bf_counter_id_t denied;
	bf_counter_id_t failed;
};

/* The state of a request while its body is received. */
typedef struct call {
	apr_pool_t *pool;
	char *body;
	size_t body_bytes;
	bool too_large;
} call_t;

const char *
bf_admin_argument(const bf_admin_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* Compares digests, so that the time reveals neither content nor length. */
static bool
tokens_equal(const char *expected, const char *given)
{
	unsigned char a[crypto_generichash_BYTES], b[crypto_generichash_BYTES];

	if (expected == NULL || expected[0] == '\0')
		return false;
	crypto_generichash(a, sizeof(a), (const unsigned char *)expected,
	    strlen(expected), NULL, 0);
	crypto_generichash(
	    b, sizeof(b), (const unsigned char *)given, strlen(given), NULL, 0);
	return sodium_memcmp(a, b, sizeof(a)) == 0;
}

static bool
is_allowed(const bf_admin_t *admin, bf_role_t role, const char *authorization)
{
	const char *token;

	if (role == BF_ROLE_ANYONE)
		return true;
	if (authorization == NULL ||
	    strncmp(authorization, BEARER_PREFIX, strlen(BEARER_PREFIX)) != 0)
		return false;
	token = authorization + strlen(BEARER_PREFIX);
	if (tokens_equal(admin->tokens[role], token))
		return true;
	return role == BF_ROLE_READ &&
	    tokens_equal(admin->tokens[BF_ROLE_APPLY], token);
}

static unsigned int
http_status(bf_code_t code)
{
	switch (code) {
	case BF_OK:
		return MHD_HTTP_OK;
	case BF_ERR_NOT_FOUND:
		return MHD_HTTP_NOT_FOUND;
	case BF_ERR_DENIED:
		return MHD_HTTP_UNAUTHORIZED;
	case BF_ERR_CONFLICT:
	case BF_ERR_STALE:
		return MHD_HTTP_CONFLICT;
	case BF_ERR_TOO_LARGE:
		return MHD_HTTP_CONTENT_TOO_LARGE;
	case BF_ERR_UNAVAILABLE:
	case BF_ERR_LIMIT:
	case BF_ERR_CLOSED:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	case BF_ERR_ARGUMENT:
	case BF_ERR_PARSE:
	case BF_ERR_TYPE:
	case BF_ERR_RANGE:
	case BF_ERR_UNKNOWN_KEY:
	case BF_ERR_REFERENCE:
		return MHD_HTTP_BAD_REQUEST;
	default:
		return MHD_HTTP_INTERNAL_SERVER_ERROR;
	}
}

static enum MHD_Result
respond(struct MHD_Connection *connection, unsigned int status,
    const char *type, const char *text)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_buffer(
	    strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
	if (response == NULL)
		return MHD_NO;
	MHD_add_response_header(response, "Content-Type", type);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
respond_json(
    struct MHD_Connection *connection, unsigned int status, json_t *json)
{
	enum MHD_Result result;
	char *text;

	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (text == NULL)
		return MHD_NO;
	result = respond(connection, status, "application/json", text);
	free(text);
	return result;
}

static enum MHD_Result
respond_error(bf_admin_t *admin, struct MHD_Connection *connection,
    bf_code_t code, const char *message)
{
	bf_counter_add(admin->counters, admin->failed, 1);
	return respond_json(connection, http_status(code),
	    json_pack(
		"{s:s, s:s}", "error", bf_code_name(code), "message", message));
}

static const bf_admin_handler_t *
find_handler(const bf_admin_t *admin, const char *method, const char *path)
{
	size_t i;

	for (i = 0; i < admin->handler_count; i++) {
		if (strcmp(admin->handlers[i].method, method) == 0 &&
		    strcmp(admin->handlers[i].path, path) == 0)
			return &admin->handlers[i];
	}
	return NULL;
}

static enum MHD_Result
run_handler(bf_admin_t *admin, struct MHD_Connection *connection,
    const bf_admin_handler_t *handler, const call_t *call)
{
	bf_admin_request_t request = {
		.pool = call->pool,
		.body = call->body,
		.body_bytes = call->body_bytes,
		.connection = connection,
	};
	bf_admin_reply_t reply = { .json = NULL };
	bf_error_t err = { .code = BF_OK };
	bf_code_t code;

	code = handler->handle(admin->ctx, &request, &reply, &err);
	if (code != BF_OK) {
		json_decref(reply.json);
		return respond_error(admin, connection, code, err.message);
	}
	if (reply.json != NULL)
		return respond_json(connection, MHD_HTTP_OK, reply.json);
	return respond(connection, MHD_HTTP_OK, "text/plain; charset=utf-8",
	    reply.text != NULL ? reply.text : "");
}

static enum MHD_Result
dispatch(bf_admin_t *admin, struct MHD_Connection *connection,
    const char *method, const char *path, const call_t *call)
{
	const bf_admin_handler_t *handler;
	const char *authorization;

	bf_counter_add(admin->counters, admin->requests, 1);
	handler = find_handler(admin, method, path);
	if (handler == NULL)
		return respond_error(
		    admin, connection, BF_ERR_NOT_FOUND, "no such resource");
	authorization = MHD_lookup_connection_value(
	    connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
	if (!is_allowed(admin, handler->role, authorization)) {
		bf_counter_add(admin->counters, admin->denied, 1);
		return respond_error(admin, connection, BF_ERR_DENIED,
		    "the token does not grant the role that this request requires");
	}
	if (call->too_large)
		return respond_error(admin, connection, BF_ERR_TOO_LARGE,
		    "the request body is too large");
	return run_handler(admin, connection, handler, call);
}

static call_t *
call_new(void)
{
	apr_pool_t *pool;
	call_t *call;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return NULL;
	call = apr_pcalloc(pool, sizeof(*call));
	call->pool = pool;
	return call;
}

static void
append_body(call_t *call, const char *data, size_t data_bytes)
{
	if (call->too_large ||
	    call->body_bytes + data_bytes > BF_ADMIN_BODY_BYTES_MAX) {
		call->too_large = true;
		return;
	}
	if (call->body == NULL)
		call->body = apr_palloc(call->pool, BF_ADMIN_BODY_BYTES_MAX);
	memcpy(call->body + call->body_bytes, data, data_bytes);
	call->body_bytes += data_bytes;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *data,
    size_t *data_bytes, void **state)
{
	bf_admin_t *admin = ctx;
	call_t *call = *state;

	(void)version;
	if (call == NULL) {
		*state = call_new();
		return *state != NULL ? MHD_YES : MHD_NO;
	}
	if (*data_bytes > 0) {
		append_body(call, data, *data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	return dispatch(admin, connection, method, path, call);
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode reason)
{
	call_t *call = *state;

	(void)ctx;
	(void)connection;
	(void)reason;
	if (call != NULL)
		apr_pool_destroy(call->pool);
	*state = NULL;
}

bf_code_t
bf_admin_new(
    const bf_admin_options_t *options, bf_admin_t **out, bf_error_t *err)
{
	struct sockaddr_in address;
	bf_admin_t *admin;
	apr_pool_t *pool;
	bf_code_t code;

	if (sodium_init() < 0 || apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return bf_error_set(err, BF_ERR_MEMORY,
		    "out of memory for the administration API");
	admin = apr_pcalloc(pool, sizeof(*admin));
	admin->pool = pool;
	admin->handlers = options->handlers;
	admin->handler_count = options->handler_count;
	admin->ctx = options->ctx;
	admin->tokens[BF_ROLE_READ] = apr_pstrdup(pool, options->read_token);
	admin->tokens[BF_ROLE_APPLY] = apr_pstrdup(pool, options->apply_token);
	admin->tokens[BF_ROLE_TARGET] =
	    apr_pstrdup(pool, options->target_token);
	admin->counters = bf_counters_add_shard(options->counters);
	admin->requests =
	    bf_counters_register(options->counters, "bf_admin_requests_total");
	admin->denied =
	    bf_counters_register(options->counters, "bf_admin_denied_total");
	admin->failed =
	    bf_counters_register(options->counters, "bf_admin_failed_total");
	code = bf_address_parse(options->listen, &address, err);
	if (code != BF_OK) {
		bf_admin_free(admin);
		return code;
	}
	admin->daemon =
	    MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL, 0,
		NULL, NULL, on_request, admin, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_IDLE_S,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
	if (admin->daemon == NULL) {
		bf_admin_free(admin);
		return bf_error_set(err, BF_ERR_IO,
		    "cannot listen on %s for the administration API",
		    options->listen);
	}
	*out = admin;
	return BF_OK;
}

void
bf_admin_free(bf_admin_t *admin)
{
	if (admin == NULL)
		return;
	if (admin->daemon != NULL)
		MHD_stop_daemon(admin->daemon);
	apr_pool_destroy(admin->pool);
}

uint16_t
bf_admin_port(const bf_admin_t *admin)
{
	const union MHD_DaemonInfo *info;

	info = MHD_get_daemon_info(admin->daemon, MHD_DAEMON_INFO_BIND_PORT);
	return info != NULL ? info->port : 0;
}
