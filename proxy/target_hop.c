#include "proxy/target_hop.h"

#include <stdio.h>
#include <string.h>

#include "proxy/call.h"
#include "proxy/outcome.h"

/*
 * The target hop (hop 2): the node beside the target.  Only this node knows the
 * target's free slots and state, so only this node refuses calls because of
 * them.
 */

#define DEADLINE_MS_MAX UINT64_C(86400000)
#define QUEUE_MS_MAX UINT64_C(60000)
#define DEPTH_MAX UINT64_C(64)
#define AT_MOST_ONCE_IDLE_US BF_US_PER_S

static bool
header_is(const bf_call_t *call, const char *name, const char *expected)
{
	const char *value;

	value = bf_headers_find(&call->request_headers, name);
	return value != NULL && strcmp(value, expected) == 0;
}

static bool
read_number(
    const bf_call_t *call, const char *name, uint64_t max, uint64_t *value)
{
	const char *text;

	text = bf_headers_find(&call->request_headers, name);
	return text != NULL && bf_number_parse(text, max, value);
}

/* Whether the request is addressed to the target that is here now. */
static bool
names_served_target(const bf_call_t *call)
{
	const bf_served_target_t *served = call->target;
	uint64_t incarnation;

	return header_is(
		   call, BF_HEADER_TARGET, call->worker->proxy->instance) &&
	    header_is(call, BF_HEADER_SERVICE, served->service) &&
	    header_is(call, BF_HEADER_VERSION, served->version) &&
	    read_number(
		call, BF_HEADER_INCARNATION, UINT64_MAX, &incarnation) &&
	    incarnation == served->incarnation;
}

static bool
read_call_headers(bf_call_t *call)
{
	uint64_t deadline_ms, queue_ms;

	if (!read_number(
		call, BF_HEADER_DEADLINE, DEADLINE_MS_MAX, &deadline_ms) ||
	    !read_number(call, BF_HEADER_QUEUE, QUEUE_MS_MAX, &queue_ms) ||
	    !read_number(call, BF_HEADER_ATTEMPT, UINT64_MAX, &call->attempt) ||
	    !read_number(call, BF_HEADER_DEPTH, DEPTH_MAX, &call->depth))
		return false;
	call->deadline_us =
	    call->start_us + (bf_time_us_t)deadline_ms * BF_US_PER_MS;
	call->queue_ms = (uint32_t)queue_ms;
	call->repeatable = header_is(call, BF_HEADER_CLASS, "repeatable");
	return true;
}

static bf_reason_t
check_target(bf_call_t *call)
{
	if (atomic_load(&call->worker->proxy->draining))
		return BF_REASON_DRAINING;
	call->target = bf_worker_hold_target(call->worker);
	if (call->target == NULL || call->target->state == BF_TARGET_ABSENT)
		return BF_REASON_NO_TARGET;
	if (!names_served_target(call))
		return BF_REASON_WRONG_TARGET;
	if (call->target->state == BF_TARGET_DRAINING)
		return BF_REASON_DRAINING;
	return read_call_headers(call) ? BF_REASON_NONE : BF_REASON_BAD_REQUEST;
}

static void
release_slot(bf_call_t *call, bf_time_us_t service_us)
{
	if (!call->has_slot)
		return;
	call->has_slot = false;
	if (bf_admission_finish(
		&call->target->slot_pool->admission, service_us))
		bf_worker_wake_waiting(call->worker->proxy);
}

static void
send_to_target(bf_call_t *call, bf_time_us_t now_us)
{
	const bf_proxy_options_t *options = &call->worker->proxy->options;

	call->has_slot = true;
	if (bf_upstream_start(call,
		&(bf_upstream_options_t){
		    .address = call->target->address,
		    .timeout_us = call->deadline_us - now_us,
		    .idle_max_us = call->repeatable ? options->idle_max_us
						    : AT_MOST_ONCE_IDLE_US,
		    .new_connection =
			!call->repeatable && options->fresh_at_most_once,
		},
		now_us))
		return;
	release_slot(call, 0);
	bf_call_refuse(call, BF_OUTCOME_NOT_RUN, BF_REASON_INTERNAL);
}

static void
apply_admission(
    bf_call_t *call, bf_admission_result_t result, bf_time_us_t now_us)
{
	switch (result) {
	case BF_ADMISSION_ACCEPTED:
		send_to_target(call, now_us);
		break;
	case BF_ADMISSION_REFUSED_QUEUE:
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, BF_REASON_OVERLOADED);
		break;
	case BF_ADMISSION_REFUSED_DEADLINE:
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, BF_REASON_DEADLINE);
		break;
	default:
		break;
	}
}

static void
leave_queue(bf_call_t *call)
{
	TAILQ_REMOVE(&call->worker->waiting, call, waiting_link);
	call->is_waiting = false;
	atomic_fetch_sub(&call->worker->waiting_count, 1);
}

static void
target_begin(bf_call_t *call, bf_time_us_t now_us)
{
	bf_reason_t reason;
	bf_admission_result_t result;

	reason = check_target(call);
	if (reason != BF_REASON_NONE) {
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, reason);
		return;
	}
	result = bf_admission_request(&call->target->slot_pool->admission,
	    call->queue_ms, call->deadline_us, now_us);
	if (result != BF_ADMISSION_WAITING) {
		apply_admission(call, result, now_us);
		return;
	}
	call->queued_at_us = now_us;
	call->is_waiting = true;
	TAILQ_INSERT_TAIL(&call->worker->waiting, call, waiting_link);
	atomic_fetch_add(&call->worker->waiting_count, 1);
	bf_worker_count(call->worker, BF_METRIC_QUEUED_CALLS, 1);
	/*
	 * A slot released before waiting_count was increased has woken no
	 * worker: retry once without waiting for a wake-up.
	 */
	bf_worker_wake(call->worker);
}

bf_time_us_t
bf_target_hop_serve_queue(bf_worker_t *worker, bf_time_us_t now_us)
{
	bf_time_us_t next_us, wait_end_us;
	bf_call_t *call, *next;
	bf_admission_result_t result;

	next_us = INT64_MAX;
	for (call = TAILQ_FIRST(&worker->waiting); call != NULL; call = next) {
		next = TAILQ_NEXT(call, waiting_link);
		result = bf_admission_retry(&call->target->slot_pool->admission,
		    call->queue_ms, call->queued_at_us, call->deadline_us,
		    now_us);
		if (result != BF_ADMISSION_WAITING) {
			leave_queue(call);
			apply_admission(call, result, now_us);
			continue;
		}
		wait_end_us =
		    call->queued_at_us + call->queue_ms * BF_US_PER_MS;
		if (wait_end_us > call->deadline_us)
			wait_end_us = call->deadline_us;
		if (wait_end_us < next_us)
			next_us = wait_end_us;
	}
	return next_us;
}

static bool
target_add_headers(bf_call_t *call, struct curl_slist **header_list)
{
	bf_time_us_t remaining_us;

	remaining_us = call->deadline_us - call->upstream.start_us;
	return bf_upstream_add_number(header_list, BF_HEADER_DEADLINE,
		   (uint64_t)(remaining_us / BF_US_PER_MS)) &&
	    bf_upstream_add_number(
		header_list, BF_HEADER_ATTEMPT, call->attempt) &&
	    bf_upstream_add_number(
		header_list, BF_HEADER_DEPTH, call->depth + 1);
}

/* Classifies a response in which the target itself reports an outcome. */
static bool
classify_refusal(bf_call_t *call, const char *outcome, bool has_request_id)
{
	bf_upstream_t *upstream = &call->upstream;

	upstream->outcome = BF_OUTCOME_UNKNOWN;
	upstream->reason = BF_REASON_TARGET_REFUSED;
	/* Without the request id it may belong to another request. */
	if (!has_request_id)
		return false;
	if (strcmp(outcome, bf_outcome_name(BF_OUTCOME_NOT_RUN)) == 0)
		upstream->outcome = BF_OUTCOME_NOT_RUN;
	return true;
}

static bool
target_classify_response(bf_call_t *call)
{
	bf_upstream_t *upstream = &call->upstream;
	const char *outcome, *id;

	id = bf_headers_find(&upstream->response_headers, BF_HEADER_REQUEST_ID);
	if (id != NULL && strcmp(id, call->request_id) != 0) {
		upstream->outcome = BF_OUTCOME_UNKNOWN;
		upstream->reason = BF_REASON_CROSSED_ANSWER;
		return false;
	}
	outcome =
	    bf_headers_find(&upstream->response_headers, BF_HEADER_OUTCOME);
	if (outcome == NULL ||
	    strcmp(outcome, bf_outcome_name(BF_OUTCOME_ANSWERED)) == 0)
		return true;
	return classify_refusal(call, outcome, id != NULL);
}

static void
target_upstream_done(bf_call_t *call, bf_time_us_t now_us)
{
	release_slot(call, now_us - call->upstream.start_us);
}

static void
target_respond(bf_call_t *call, bf_time_us_t now_us)
{
	(void)now_us;
	if (call->upstream.outcome == BF_OUTCOME_ANSWERED)
		bf_call_forward(call);
	else
		bf_call_refuse(
		    call, call->upstream.outcome, call->upstream.reason);
}

static void
target_add_response_headers(bf_call_t *call, struct MHD_Response *response)
{
	const char *id, *attempts;

	id = bf_headers_find(&call->request_headers, BF_HEADER_CALL);
	if (id != NULL)
		(void)MHD_add_response_header(response, BF_HEADER_CALL, id);
	if (call->target == NULL)
		return;
	(void)MHD_add_response_header(
	    response, BF_HEADER_VERSION, call->target->version);
	(void)MHD_add_response_header(
	    response, BF_HEADER_TARGET, call->worker->proxy->instance);
	/* The number of attempts that the target itself made. */
	attempts = bf_headers_find(
	    &call->upstream.response_headers, BF_HEADER_ATTEMPT);
	if (attempts != NULL)
		(void)MHD_add_response_header(
		    response, BF_HEADER_ATTEMPT, attempts);
}

static void
target_fill_span(const bf_call_t *call, bf_span_t *span)
{
	const char *route;

	span->attempt = (uint32_t)call->attempt;
	(void)snprintf(span->target, sizeof(span->target), "%s",
	    call->worker->proxy->instance);
	route = bf_headers_find(&call->request_headers, BF_HEADER_ROUTE);
	if (route != NULL)
		(void)snprintf(span->route, sizeof(span->route), "%s", route);
	if (call->target == NULL)
		return;
	(void)snprintf(
	    span->service, sizeof(span->service), "%s", call->target->service);
	(void)snprintf(
	    span->version, sizeof(span->version), "%s", call->target->version);
}

static void
target_release(bf_call_t *call, bf_time_us_t now_us)
{
	if (call->is_waiting) {
		leave_queue(call);
		bf_admission_abandon(&call->target->slot_pool->admission);
	}
	release_slot(call, now_us - call->upstream.start_us);
	bf_served_target_release(call->target);
}

const bf_hop_t bf_target_hop = {
	.number = 2,
	.begin = target_begin,
	.add_headers = target_add_headers,
	.classify_response = target_classify_response,
	.upstream_done = target_upstream_done,
	.retry_or_respond = target_respond,
	.add_response_headers = target_add_response_headers,
	.fill_span = target_fill_span,
	.release = target_release,
};
