#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "proxy/call.h"
#include "proxy/outcome.h"

/*
 * The entry hop (hop 1): the node that receives the call from the caller.  It
 * finds the route, selects a target, and retries at another target unless that
 * could run an at-most-once call twice.
 */

#define DEADLINE_MS_DEFAULT 10000
#define DEADLINE_MS_MAX UINT64_C(86400000)
#define DEPTH_MAX UINT64_C(64)
#define NUMBER_BYTES 24
/* Longest idle time of a connection reused for at-most-once calls. */
#define AT_MOST_ONCE_IDLE_US BF_US_PER_S

static uint64_t
header_number(
    const bf_call_t *call, const char *name, uint64_t max, uint64_t fallback)
{
	const char *text;
	uint64_t value;

	text = bf_headers_find(&call->request_headers, name);
	if (text == NULL || !bf_number_parse(text, max, &value))
		return fallback;
	return value;
}

static const bf_table_route_t *
find_route(const bf_call_t *call)
{
	char host[BF_HOST_BYTES], *path;
	const bf_table_route_t *route;
	const char *text;
	size_t bytes;

	text = bf_headers_find(&call->request_headers, "Host");
	if (text == NULL)
		return NULL;
	(void)snprintf(
	    host, sizeof(host), "%.*s", (int)strcspn(text, ":"), text);
	bytes = strcspn(call->request_target, "?");
	path = strndup(call->request_target, bytes);
	if (path == NULL)
		return NULL;
	route = bf_table_match(call->table, host, call->method, path);
	free(path);
	return route;
}

static bool
is_body_too_large(const bf_call_t *call)
{
	if (call->route->upload)
		return false;
	/* A streamed body of unknown length is for upload routes only. */
	if (call->framing == BF_FRAMING_CHUNKED)
		return call->is_streamed;
	return call->body_bytes > call->worker->proxy->options.body_bytes_max;
}

/*
 * Ends the call without a response of a target.  Once an attempt may have run,
 * the outcome stays unknown, whatever later attempts end with.
 */
static void
fail_call(bf_call_t *call, bf_outcome_t outcome, bf_reason_t reason)
{
	if (call->may_have_run)
		outcome = BF_OUTCOME_UNKNOWN;
	bf_call_refuse(call, outcome, reason);
}

/*
 * The first attempt of a repeatable call gets half of the remaining time,
 * unless its body is streamed.  This leaves time for a retry at another target,
 * since a connection can go dead without notice.
 */
static bf_time_us_t
attempt_timeout_us(const bf_call_t *call, bf_time_us_t now_us)
{
	bf_time_us_t remaining_us;

	remaining_us = call->deadline_us - now_us;
	if (bf_call_is_repeatable(call) && call->tried_count == 0 &&
	    !call->is_streamed)
		return remaining_us / 2;
	return remaining_us;
}

/* Returns a reference to a target not tried yet; NULL if there is none. */
static bf_endpoint_t *
pick_target(const bf_call_t *call, bf_time_us_t now_us)
{
	return bf_table_pick(call->table, call->route, call->tried,
	    call->tried_count, call->worker->rng, now_us);
}

/* Sends the call to endpoint and takes over the reference to it. */
static void
start_attempt(bf_call_t *call, bf_endpoint_t *endpoint, bf_time_us_t now_us)
{
	const bf_proxy_options_t *options = &call->worker->proxy->options;
	bool at_most_once;

	call->endpoint = endpoint;
	call->attempt_timeout_us = attempt_timeout_us(call, now_us);
	call->call_id = bf_worker_random(call->worker);
	at_most_once = call->route->call_class == BF_CALL_AT_MOST_ONCE;
	bf_endpoint_begin(endpoint, now_us);
	if (bf_upstream_start(call,
		&(bf_upstream_options_t){
		    .address = bf_endpoint_mesh_address(endpoint),
		    .timeout_us = call->attempt_timeout_us,
		    .idle_max_us = at_most_once ? AT_MOST_ONCE_IDLE_US
						: options->idle_max_us,
		    .new_connection =
			at_most_once && options->fresh_at_most_once,
		    .expect_continue = true,
		},
		now_us))
		return;
	fail_call(call, BF_OUTCOME_NOT_RUN, BF_REASON_INTERNAL);
}

static bool
has_time_left(const bf_call_t *call, bf_time_us_t now_us)
{
	return call->deadline_us - now_us >= BF_US_PER_MS;
}

static void
start_first_attempt(bf_call_t *call, bf_time_us_t now_us)
{
	bf_endpoint_t *endpoint;

	if (!has_time_left(call, now_us)) {
		fail_call(call, BF_OUTCOME_NOT_RUN, BF_REASON_DEADLINE);
		return;
	}
	endpoint = pick_target(call, now_us);
	if (endpoint == NULL)
		fail_call(call, BF_OUTCOME_NOT_RUN, BF_REASON_NO_TARGET);
	else
		start_attempt(call, endpoint, now_us);
}

static void
entry_begin(bf_call_t *call, bf_time_us_t now_us)
{
	uint64_t deadline_ms;

	if (atomic_load(&call->worker->proxy->draining)) {
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, BF_REASON_DRAINING);
		return;
	}
	call->table = bf_worker_hold_table(call->worker);
	if (call->table == NULL) {
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, BF_REASON_NO_TABLE);
		return;
	}
	call->route = find_route(call);
	if (call->route == NULL) {
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, BF_REASON_NO_ROUTE);
		return;
	}
	if (is_body_too_large(call)) {
		bf_call_refuse(
		    call, BF_OUTCOME_NOT_RUN, BF_REASON_BODY_TOO_LARGE);
		return;
	}
	deadline_ms = header_number(call, BF_HEADER_DEADLINE, DEADLINE_MS_MAX,
	    call->route->deadline_ms > 0 ? call->route->deadline_ms
					 : DEADLINE_MS_DEFAULT);
	call->deadline_us =
	    call->start_us + (bf_time_us_t)deadline_ms * BF_US_PER_MS;
	call->depth = header_number(call, BF_HEADER_DEPTH, DEPTH_MAX, 0);
	call->caller_attempt =
	    header_number(call, BF_HEADER_ATTEMPT, DEPTH_MAX, 1);
	bf_budget_deposit(&call->worker->budget);
	start_first_attempt(call, now_us);
}

/*
 * The deadline sent to the target hop: shorter than this hop's timeout, so that
 * the target hop's response arrives before it.
 */
static uint64_t
upstream_deadline_ms(bf_time_us_t timeout_us)
{
	uint64_t deadline_ms;

	deadline_ms = (uint64_t)(timeout_us / BF_US_PER_MS);
	deadline_ms -= deadline_ms / 64 + (deadline_ms > 8 ? 1 : 0);
	return deadline_ms > 0 ? deadline_ms : 1;
}

static bool
entry_add_headers(bf_call_t *call, struct curl_slist **header_list)
{
	const bf_endpoint_t *endpoint = call->endpoint;
	char id[NUMBER_BYTES];

	(void)snprintf(id, sizeof(id), "%016" PRIx64, call->call_id);
	return bf_upstream_add_header(header_list, BF_HEADER_CALL, id) &&
	    bf_upstream_add_header(header_list, BF_HEADER_TARGET,
		bf_endpoint_instance(endpoint)) &&
	    bf_upstream_add_header(header_list, BF_HEADER_SERVICE,
		bf_endpoint_service(endpoint)) &&
	    bf_upstream_add_header(header_list, BF_HEADER_VERSION,
		bf_endpoint_version(endpoint)) &&
	    bf_upstream_add_header(
		header_list, BF_HEADER_ROUTE, call->route->route) &&
	    bf_upstream_add_header(header_list, BF_HEADER_CLASS,
		bf_call_is_repeatable(call) ? "repeatable" : "once") &&
	    bf_upstream_add_number(header_list, BF_HEADER_INCARNATION,
		bf_endpoint_incarnation(endpoint)) &&
	    bf_upstream_add_number(header_list, BF_HEADER_DEADLINE,
		upstream_deadline_ms(call->attempt_timeout_us)) &&
	    bf_upstream_add_number(
		header_list, BF_HEADER_QUEUE, call->route->queue_ms) &&
	    bf_upstream_add_number(header_list, BF_HEADER_ATTEMPT,
		call->caller_attempt + call->tried_count) &&
	    bf_upstream_add_number(header_list, BF_HEADER_DEPTH, call->depth);
}

static bool
is_own_response(const bf_call_t *call)
{
	const char *id, *request_id;
	char expected[NUMBER_BYTES];

	(void)snprintf(
	    expected, sizeof(expected), "%016" PRIx64, call->call_id);
	id = bf_headers_find(&call->upstream.response_headers, BF_HEADER_CALL);
	request_id = bf_headers_find(
	    &call->upstream.response_headers, BF_HEADER_REQUEST_ID);
	return id != NULL && strcmp(id, expected) == 0 && request_id != NULL &&
	    strcmp(request_id, call->request_id) == 0;
}

static bool
entry_classify_response(bf_call_t *call)
{
	bf_upstream_t *upstream = &call->upstream;
	const char *outcome, *reason;

	upstream->outcome = BF_OUTCOME_UNKNOWN;
	upstream->reason = BF_REASON_CROSSED_ANSWER;
	outcome =
	    bf_headers_find(&upstream->response_headers, BF_HEADER_OUTCOME);
	if (outcome == NULL || !is_own_response(call) ||
	    !bf_outcome_parse(outcome, &upstream->outcome))
		return false;
	upstream->reason = BF_REASON_NONE;
	if (upstream->outcome == BF_OUTCOME_ANSWERED)
		return true;
	reason = bf_headers_find(&upstream->response_headers, BF_HEADER_REASON);
	if (reason == NULL || !bf_reason_parse(reason, &upstream->reason))
		upstream->reason = BF_REASON_INTERNAL;
	return true;
}

static bf_endpoint_result_t
attempt_result(const bf_upstream_t *upstream)
{
	switch (upstream->outcome) {
	case BF_OUTCOME_ANSWERED:
		return upstream->status >= 500 ? BF_ENDPOINT_RESULT_FAILED
					       : BF_ENDPOINT_RESULT_OK;
	case BF_OUTCOME_NOT_RUN:
		return BF_ENDPOINT_RESULT_NOT_RUN;
	case BF_OUTCOME_CANCELLED:
		return BF_ENDPOINT_RESULT_CANCELLED;
	default:
		return upstream->reason == BF_REASON_CUT_ANSWER
		    ? BF_ENDPOINT_RESULT_FAILED
		    : BF_ENDPOINT_RESULT_UNKNOWN;
	}
}

static void
entry_upstream_done(bf_call_t *call, bf_time_us_t now_us)
{
	bf_evidence_hook_t *hook = call->worker->proxy->options.evidence;
	bf_time_us_t latency_us;
	bf_endpoint_result_t result;

	if (call->endpoint == NULL)
		return;
	result = attempt_result(&call->upstream);
	latency_us = now_us - call->upstream.start_us;
	bf_endpoint_end(call->endpoint, result, latency_us, now_us);
	if (hook != NULL && result != BF_ENDPOINT_RESULT_CANCELLED)
		hook->record(hook, call->worker->index, call->route,
		    call->endpoint, result, latency_us);
	if (call->upstream.outcome == BF_OUTCOME_UNKNOWN)
		call->may_have_run = true;
	call->tried[call->tried_count++] = call->endpoint;
	call->endpoint = NULL;
}

/*
 * Whether a failed attempt may be retried.  An attempt that may have run is
 * retried only for the outermost call (depth 0), by its entry node.  Not
 * retried at all are a call that is itself a retry of its caller, and a call
 * that the target refused after several attempts of its own.  So the attempts
 * of nested calls never multiply.
 */
static bool
may_retry(const bf_call_t *call)
{
	const char *attempts;

	if (call->tried_count >= call->worker->proxy->options.attempts_max ||
	    call->caller_attempt > 1 || !bf_call_can_resend(call))
		return false;
	if (call->upstream.outcome == BF_OUTCOME_UNKNOWN)
		return bf_call_is_repeatable(call) && call->depth == 0;
	if (call->upstream.reason != BF_REASON_TARGET_REFUSED)
		return true;
	attempts = bf_headers_find(
	    &call->upstream.response_headers, BF_HEADER_ATTEMPT);
	return attempts == NULL || strcmp(attempts, "1") == 0;
}

/* Charges the retry budget if the call may be retried at another target. */
static bf_endpoint_t *
pick_retry(bf_call_t *call, bf_time_us_t now_us)
{
	bf_endpoint_t *endpoint;

	if (!may_retry(call) || !has_time_left(call, now_us))
		return NULL;
	endpoint = pick_target(call, now_us);
	if (endpoint == NULL)
		return NULL;
	if (bf_budget_withdraw(&call->worker->budget)) {
		bf_worker_count(call->worker, BF_METRIC_RETRIES, 1);
		return endpoint;
	}
	bf_worker_count(call->worker, BF_METRIC_RETRIES_DENIED, 1);
	bf_endpoint_release(endpoint);
	return NULL;
}

static void
entry_retry_or_respond(bf_call_t *call, bf_time_us_t now_us)
{
	bf_endpoint_t *endpoint;

	if (call->upstream.outcome == BF_OUTCOME_ANSWERED) {
		bf_call_forward(call);
		return;
	}
	endpoint = pick_retry(call, now_us);
	if (endpoint == NULL) {
		fail_call(call, call->upstream.outcome, call->upstream.reason);
		return;
	}
	bf_upstream_reset(&call->upstream);
	bf_stream_close(&call->response_body);
	start_attempt(call, endpoint, now_us);
}

static void
entry_fill_span(const bf_call_t *call, bf_span_t *span)
{
	const bf_endpoint_t *endpoint;

	span->attempt = call->tried_count;
	if (call->route == NULL)
		return;
	(void)snprintf(
	    span->service, sizeof(span->service), "%s", call->route->service);
	(void)snprintf(
	    span->route, sizeof(span->route), "%s", call->route->route);
	if (call->tried_count == 0)
		return;
	endpoint = call->tried[call->tried_count - 1];
	(void)snprintf(span->version, sizeof(span->version), "%s",
	    bf_endpoint_version(endpoint));
	(void)snprintf(span->target, sizeof(span->target), "%s",
	    bf_endpoint_instance(endpoint));
}

static void
entry_release(bf_call_t *call, bf_time_us_t now_us)
{
	uint32_t i;

	if (call->endpoint != NULL) {
		bf_endpoint_end(
		    call->endpoint, BF_ENDPOINT_RESULT_CANCELLED, 0, now_us);
		bf_endpoint_release(call->endpoint);
	}
	for (i = 0; i < call->tried_count; i++)
		bf_endpoint_release(call->tried[i]);
	if (call->table != NULL)
		bf_table_release(call->table);
}

const bf_hop_t bf_entry_hop = {
	.number = 1,
	.begin = entry_begin,
	.add_headers = entry_add_headers,
	.classify_response = entry_classify_response,
	.upstream_done = entry_upstream_done,
	.retry_or_respond = entry_retry_or_respond,
	.fill_span = entry_fill_span,
	.release = entry_release,
};
