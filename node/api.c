#include <inttypes.h>
#include <string.h>

#include <apr_strings.h>

#include "base/digest.h"
#include "node/internal.h"

/* Longest line of the counters as text. */
#define METRIC_LINE_BYTES ((size_t)256)

static const char *
config_status_name(bf_config_status_t status)
{
	switch (status) {
	case BF_CONFIG_NONE:
		return "none";
	case BF_CONFIG_BELOW_FLOOR:
		return "below-floor";
	case BF_CONFIG_IN_FORCE:
		return "in-force";
	}
	return "unknown";
}

static const char *
target_state_name(bf_target_state_t state)
{
	switch (state) {
	case BF_TARGET_ABSENT:
		return "absent";
	case BF_TARGET_READY:
		return "ready";
	case BF_TARGET_DRAINING:
		return "draining";
	}
	return "unknown";
}

static const char *
member_state_name(bf_member_state_t state)
{
	switch (state) {
	case BF_MEMBER_ALIVE:
		return "alive";
	case BF_MEMBER_SUSPECT:
		return "suspect";
	case BF_MEMBER_LEFT:
		return "left";
	case BF_MEMBER_DEAD:
		return "dead";
	}
	return "unknown";
}

/* GET /healthz: succeeds while the process runs. */
static bf_code_t
handle_health(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	(void)ctx;
	(void)request;
	(void)err;
	reply->text = "ok\n";
	return BF_OK;
}

/* GET /readyz: succeeds while a configuration is in force, until a drain. */
static bf_code_t
handle_ready(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	bf_control_status_t status;
	bf_node_t *node = ctx;

	(void)request;
	bf_control_status(node->control, &status);
	if (atomic_load(&node->drain_started_us) != 0)
		return bf_error_set(
		    err, BF_ERR_CLOSED, "the node is shutting down");
	if (status.config != BF_CONFIG_IN_FORCE)
		return bf_error_set(err, BF_ERR_UNAVAILABLE,
		    "configuration: %s", config_status_name(status.config));
	reply->text = "ready\n";
	return BF_OK;
}

static json_t *
invariants_json(const bf_node_t *node)
{
	return json_pack("{s:I, s:I}", "older_version",
	    (json_int_t)bf_counters_sum(
		node->counters, node->invariants.older_version),
	    "bad_table",
	    (json_int_t)bf_counters_sum(
		node->counters, node->invariants.bad_table));
}

static json_t *
target_json(bf_node_t *node)
{
	bf_target_announcement_t a;

	pthread_mutex_lock(&node->lock);
	a = node->announcement;
	pthread_mutex_unlock(&node->lock);
	return json_pack("{s:s, s:s, s:s, s:s, s:I, s:I}", "state",
	    target_state_name(a.state), "service", a.service, "version",
	    a.version, "address", a.address, "slots", (json_int_t)a.slots,
	    "incarnation", (json_int_t)a.incarnation);
}

static json_t *
control_json(const bf_control_status_t *status)
{
	json_t *neighbours;
	uint32_t i;

	neighbours = json_array();
	for (i = 0; i < status->neighbour_count; i++)
		json_array_append_new(
		    neighbours, json_string(status->neighbours[i]));
	return json_pack(
	    "{s:b, s:b, s:I, s:b, s:I, s:I, s:I, s:I, s:o, s:I, s:I}", "joined",
	    (int)status->joined, "relay", (int)status->relay, "lease_left_us",
	    (json_int_t)status->lease_remaining_us, "store_up",
	    (int)status->store_up, "store_calls",
	    (json_int_t)status->store_calls, "alive", (json_int_t)status->alive,
	    "suspect", (json_int_t)status->suspect, "dead",
	    (json_int_t)status->dead, "neighbours", neighbours, "sent_bytes",
	    (json_int_t)status->sent_bytes, "received_bytes",
	    (json_int_t)status->received_bytes);
}

/* GET /v1/status */
static bf_code_t
handle_status(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	bf_control_status_t status;
	bf_node_t *node = ctx;

	(void)request;
	bf_control_status(node->control, &status);
	bf_digest_format(status.config_digest, digest);
	reply->json = json_pack(
	    "{s:s, s:s, s:s, s:s, s:I, s:s, s:I, s:I, s:b, s:I, s:o, s:o, s:o}",
	    "instance", node->settings->node.instance, "availability_zone",
	    node->settings->node.availability_zone, "region",
	    node->settings->node.region, "configuration",
	    config_status_name(status.config), "version",
	    (json_int_t)status.config_version, "digest", digest,
	    "floor_version", (json_int_t)status.floor_version, "heard_version",
	    (json_int_t)status.newest_version, "draining",
	    (int)(atomic_load(&node->drain_started_us) != 0), "in_flight",
	    (json_int_t)bf_proxy_in_flight(node->proxy), "target",
	    target_json(node), "control", control_json(&status), "invariants",
	    invariants_json(node));
	if (reply->json == NULL)
		return bf_error_set(
		    err, BF_ERR_INTERNAL, "the status report was not created");
	return BF_OK;
}

static json_t *
record_json(const bf_record_t *r)
{
	return json_pack(
	    "{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:s, s:s, s:s, s:I}",
	    "instance", r->instance, "availability_zone", r->zone, "region",
	    r->region, "state", member_state_name(r->state), "control_address",
	    r->control_address, "mesh_address", r->mesh_address, "incarnation",
	    (json_int_t)r->incarnation, "version",
	    (json_int_t)r->config_version, "target",
	    target_state_name(r->target_state), "service", r->service,
	    "target_version", r->version, "slots", (json_int_t)r->slots);
}

/* GET /v1/members */
static bf_code_t
handle_members(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	bf_node_t *node = ctx;
	bf_record_t *records;
	bf_code_t code;
	size_t count, i;

	code =
	    bf_control_records(node->control, request->pool, &records, &count);
	if (code != BF_OK)
		return bf_error_set(
		    err, code, "the member records could not be copied");
	reply->json = json_array();
	for (i = 0; i < count; i++)
		json_array_append_new(reply->json, record_json(&records[i]));
	return BF_OK;
}

/* GET /v1/moves */
static bf_code_t
handle_moves(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	bf_node_t *node = ctx;

	(void)request;
	(void)err;
	pthread_mutex_lock(&node->lock);
	reply->json = bf_moves_json(node->moves);
	pthread_mutex_unlock(&node->lock);
	return BF_OK;
}

/* GET /v1/record?move=ID: the trace for a replay, see docs/OPERATIONS.md. */
static bf_code_t
handle_record(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	bf_node_t *node = ctx;
	const char *id;

	id = bf_admin_argument(request, "move");
	if (id == NULL)
		return bf_error_set(
		    err, BF_ERR_ARGUMENT, "argument move is missing");
	pthread_mutex_lock(&node->lock);
	reply->text = bf_moves_trace(node->moves, id, request->pool);
	pthread_mutex_unlock(&node->lock);
	if (reply->text == NULL)
		return bf_error_set(
		    err, BF_ERR_NOT_FOUND, "there is no move %s", id);
	return BF_OK;
}

static void
append_span(void *ctx, const bf_span_t *span)
{
	char trace[BF_TRACEPARENT_BYTES], id[BF_TRACEPARENT_BYTES],
	    parent[BF_TRACEPARENT_BYTES];

	apr_snprintf(trace, sizeof(trace), "%016" PRIx64 "%016" PRIx64,
	    span->trace_id.high, span->trace_id.low);
	apr_snprintf(id, sizeof(id), "%016" PRIx64, span->span_id);
	apr_snprintf(parent, sizeof(parent), "%016" PRIx64, span->parent_id);
	json_array_append_new(ctx,
	    json_pack("{s:s, s:s, s:s, s:I, s:I, s:i, s:i, s:i, s:s, s:s, "
		      "s:s, s:s, s:s, s:s, s:s}",
		"trace", trace, "span", id, "parent", parent, "start_us",
		(json_int_t)span->start_us, "duration_us",
		(json_int_t)span->duration_us, "hop", (int)span->hop, "attempt",
		(int)span->attempt, "status", (int)span->status, "outcome",
		bf_outcome_name((bf_outcome_t)span->outcome), "reason",
		bf_reason_name((bf_reason_t)span->reason), "instance",
		span->instance, "service", span->service, "route", span->route,
		"target_version", span->version, "target", span->target));
}

/* GET /v1/spans?trace=ID */
static bf_code_t
handle_spans(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	bf_node_t *node = ctx;
	bf_trace_id_t id;
	const char *text;

	text = bf_admin_argument(request, "trace");
	if (text == NULL || !bf_trace_id_parse(text, &id))
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "argument trace must be 32 hexadecimal digits");
	reply->json = json_array();
	bf_spans_find(node->spans, id, append_span, reply->json);
	return BF_OK;
}

/* The counters as text, in a buffer of the request's pool. */
typedef struct metrics {
	char *text;
	size_t used;
	size_t capacity;
} metrics_t;

static void
append_counter(void *ctx, const char *name, uint64_t value)
{
	metrics_t *metrics = ctx;

	if (metrics->capacity - metrics->used < METRIC_LINE_BYTES)
		return;
	metrics->used += (size_t)apr_snprintf(metrics->text + metrics->used,
	    METRIC_LINE_BYTES, "%s %" APR_UINT64_T_FMT "\n", name,
	    (apr_uint64_t)value);
}

/* GET /metrics: one counter per line, in the Prometheus text format. */
static bf_code_t
handle_metrics(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	bf_node_t *node = ctx;
	metrics_t metrics = {
		.capacity = BF_COUNTERS_MAX * METRIC_LINE_BYTES,
	};

	(void)err;
	metrics.text = apr_palloc(request->pool, metrics.capacity);
	metrics.text[0] = '\0';
	bf_counters_each(node->counters, append_counter, &metrics);
	reply->text = metrics.text;
	return BF_OK;
}

static bool
copy_nonempty(char *out, size_t out_bytes, const char *text)
{
	if (text == NULL || text[0] == '\0' || strlen(text) >= out_bytes)
		return false;
	apr_cpystrn(out, text, out_bytes);
	return true;
}

static bf_code_t
parse_announcement(json_t *json, bf_target_announcement_t *a, bf_error_t *err)
{
	const char *service, *version, *address, *state;
	json_int_t slots, incarnation;
	json_error_t json_error;

	if (json_unpack_ex(json, &json_error, JSON_STRICT,
		"{s:s, s:s, s:s, s:I, s:I, s:s}", "service", &service,
		"version", &version, "address", &address, "slots", &slots,
		"incarnation", &incarnation, "state", &state) != 0)
		return bf_error_set(err, BF_ERR_TYPE, "%s", json_error.text);
	if (!copy_nonempty(a->service, sizeof(a->service), service) ||
	    !copy_nonempty(a->version, sizeof(a->version), version) ||
	    !copy_nonempty(a->address, sizeof(a->address), address))
		return bf_error_set(err, BF_ERR_RANGE,
		    "service, version or address is empty or too long");
	if (slots < 1 || slots > UINT32_MAX || incarnation < 0)
		return bf_error_set(err, BF_ERR_RANGE,
		    "slots must be positive, incarnation not negative");
	a->slots = (uint32_t)slots;
	a->incarnation = (uint64_t)incarnation;
	if (strcmp(state, "ready") == 0)
		a->state = BF_TARGET_READY;
	else if (strcmp(state, "draining") == 0)
		a->state = BF_TARGET_DRAINING;
	else
		return bf_error_set(err, BF_ERR_RANGE,
		    "state must be \"ready\" or \"draining\"");
	return BF_OK;
}

/* PUT /v1/target: an announcement of the target beside the node. */
static bf_code_t
handle_target(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	bf_target_announcement_t announcement = { .last_received_us =
						      bf_clock_monotonic_us() };
	json_error_t json_error;
	bf_code_t code;
	json_t *json;

	json = json_loadb(request->body != NULL ? request->body : "",
	    request->body_bytes, JSON_REJECT_DUPLICATES, &json_error);
	if (json == NULL)
		return bf_error_set(err, BF_ERR_PARSE, "%s", json_error.text);
	code = parse_announcement(json, &announcement, err);
	json_decref(json);
	if (code == BF_OK)
		code = bf_node_announce_target(ctx, &announcement, err);
	if (code == BF_OK)
		reply->json = json_pack("{s:b}", "ok", 1);
	return code;
}

/* POST /v1/drain: begins a graceful shutdown. */
static bf_code_t
handle_drain(void *ctx, const bf_admin_request_t *request,
    bf_admin_reply_t *reply, bf_error_t *err)
{
	(void)request;
	(void)err;
	bf_node_drain(ctx, bf_clock_monotonic_us());
	reply->json = json_pack("{s:b}", "draining", 1);
	return BF_OK;
}

#define COMMON_HANDLERS                                             \
	{ "GET", "/healthz", BF_ROLE_ANYONE, handle_health },       \
	    { "GET", "/readyz", BF_ROLE_ANYONE, handle_ready },     \
	    { "GET", "/metrics", BF_ROLE_READ, handle_metrics },    \
	    { "GET", "/v1/status", BF_ROLE_READ, handle_status },   \
	    { "GET", "/v1/members", BF_ROLE_READ, handle_members }, \
	    { "GET", "/v1/moves", BF_ROLE_READ, handle_moves },     \
	    { "GET", "/v1/record", BF_ROLE_READ, handle_record },   \
	    { "GET", "/v1/spans", BF_ROLE_READ, handle_spans },     \
	{                                                           \
		"POST", "/v1/drain", BF_ROLE_APPLY, handle_drain    \
	}

const bf_admin_handler_t bf_node_handlers[] = {
	COMMON_HANDLERS,
	{ "PUT", "/v1/target", BF_ROLE_TARGET, handle_target },
};
const size_t bf_node_handler_count =
    sizeof(bf_node_handlers) / sizeof(bf_node_handlers[0]);

const bf_admin_handler_t bf_node_handlers_without_token[] = {
	COMMON_HANDLERS,
	{ "PUT", "/v1/target", BF_ROLE_ANYONE, handle_target },
};
