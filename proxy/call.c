#include "proxy/call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "proxy/outcome.h"
#include "proxy/response.h"

void *
bf_call_new(void *cls, const char *uri, struct MHD_Connection *connection)
{
	bf_server_t *server = cls;
	bf_worker_t *worker = server->worker;
	bf_call_t *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return NULL;
	call->request_target = strdup(uri);
	if (call->request_target == NULL) {
		free(call);
		return NULL;
	}
	call->source.kind = BF_EVENT_SOURCE_CALLER;
	call->worker = worker;
	call->server = server;
	call->hop = server->hop;
	call->connection = connection;
	call->start_us = bf_clock_monotonic_us();
	call->conn = bf_conns_find(connection);
	if (call->conn != NULL)
		call->conn->call = call;
	bf_conns_progress(&server->conns, call->conn, call->start_us);
	call->start_wall_us = bf_clock_wall_us();
	TAILQ_INSERT_TAIL(&worker->calls, call, call_link);
	TAILQ_INSERT_TAIL(&worker->unwatched, call, unwatched_link);
	call->is_unwatched = true;
	atomic_fetch_add_explicit(&worker->in_flight, 1, memory_order_relaxed);
	bf_worker_count(worker,
	    call->hop->number == 1 ? BF_METRIC_ENTRY_HOP_CALLS
				   : BF_METRIC_TARGET_HOP_CALLS,
	    1);
	return call;
}

void
bf_call_schedule(bf_call_t *call)
{
	if (call->is_scheduled)
		return;
	call->is_scheduled = true;
	TAILQ_INSERT_TAIL(&call->worker->scheduled, call, scheduled_link);
}

bool
bf_call_is_repeatable(const bf_call_t *call)
{
	return call->route != NULL
	    ? call->route->call_class == BF_CALL_REPEATABLE
	    : call->repeatable;
}

bool
bf_call_can_resend(const bf_call_t *call)
{
	return !call->body_consumed;
}

static enum MHD_Result
collect_header(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	bf_call_t *call = cls;

	(void)kind;
	if (value == NULL)
		value = "";
	if (!bf_headers_add(&call->request_headers, name, strlen(name), value,
		strlen(value))) {
		call->reason = BF_REASON_HEAD_TOO_LARGE;
		return MHD_NO;
	}
	return MHD_YES;
}

static bf_reason_t
check_head(bf_call_t *call, const char *method)
{
	const bf_proxy_options_t *options = &call->worker->proxy->options;

	(void)MHD_get_connection_values(
	    call->connection, MHD_HEADER_KIND, collect_header, call);
	if (call->reason == BF_REASON_HEAD_TOO_LARGE ||
	    call->request_headers.count > options->head_count_max ||
	    call->request_headers.used + strlen(call->request_target) >
		options->head_bytes_max)
		return BF_REASON_HEAD_TOO_LARGE;
	if (!bf_request_method_valid(method) ||
	    !bf_request_target_valid(call->request_target) ||
	    !bf_headers_valid(&call->request_headers) ||
	    !bf_headers_framing(
		&call->request_headers, &call->framing, &call->body_bytes))
		return BF_REASON_BAD_REQUEST;
	return BF_REASON_NONE;
}

static void
read_request_id(bf_call_t *call)
{
	const char *id;

	id = bf_headers_find(&call->request_headers, BF_HEADER_REQUEST_ID);
	if (id != NULL && bf_request_id_valid(id))
		(void)snprintf(
		    call->request_id, sizeof(call->request_id), "%s", id);
	else
		(void)snprintf(call->request_id, sizeof(call->request_id),
		    "%016" PRIx64 "%016" PRIx64, bf_worker_random(call->worker),
		    bf_worker_random(call->worker));
}

/* Sets up the span of this hop, in the sender's trace or in a new one. */
static void
read_trace(bf_call_t *call)
{
	const bf_spans_t *spans = call->worker->proxy->options.spans;
	bf_trace_context_t *trace = &call->trace;
	const char *text;

	text = bf_headers_find(&call->request_headers, BF_HEADER_TRACEPARENT);
	if (text != NULL && bf_trace_context_parse(text, trace)) {
		call->parent_id = trace->span_id;
	} else {
		trace->trace_id.high = bf_worker_random(call->worker);
		trace->trace_id.low = bf_worker_random(call->worker);
		trace->sampled = false;
	}
	/* Only the entry hop samples: a trace has both spans or none. */
	if (!trace->sampled && spans != NULL && call->hop->number == 1)
		trace->sampled = bf_worker_random(call->worker) % 1000000 <
		    bf_spans_sample_ppm(spans);
	trace->span_id = bf_worker_random(call->worker);
}

static void
open_call(bf_call_t *call, const char *method)
{
	bf_reason_t reason;
	const char *expect;

	call->head_checked = true;
	reason = check_head(call, method);
	if (reason != BF_REASON_NONE) {
		/* The length of the body is not reliable: do not read it. */
		call->framing = BF_FRAMING_NONE;
		bf_worker_count(call->worker, BF_METRIC_BAD_HEADS, 1);
		(void)snprintf(call->request_id, sizeof(call->request_id), "-");
		call->close_connection = true;
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, reason);
		return;
	}
	(void)snprintf(call->method, sizeof(call->method), "%s", method);
	read_request_id(call);
	read_trace(call);
	expect = bf_headers_find(&call->request_headers, "Expect");
	call->expects_continue =
	    expect != NULL && strcasecmp(expect, "100-continue") == 0;
	if (call->framing == BF_FRAMING_LENGTH && call->body_bytes == 0) {
		if (!bf_stream_open(&call->body, 1))
			bf_call_refuse(
			    call, BF_OUTCOME_NOT_RUN, BF_REASON_INTERNAL);
	}
}

static void
begin_call(bf_call_t *call)
{
	call->begun = true;
	call->hop->begin(call, bf_clock_monotonic_us());
}

void
bf_call_suspend(bf_call_t *call)
{
	call->suspended = true;
	MHD_suspend_connection(call->connection);
}

static void
resume(bf_call_t *call)
{
	if (!call->suspended)
		return;
	call->suspended = false;
	call->server->due = true;
	MHD_resume_connection(call->connection);
}

void
bf_call_refuse(bf_call_t *call, bf_outcome_t outcome, bf_reason_t reason)
{
	call->response_kind = BF_RESPONSE_REFUSAL;
	call->outcome = outcome;
	call->reason = reason;
	call->status = bf_outcome_status(outcome, reason);
	bf_call_schedule(call);
}

void
bf_call_forward(bf_call_t *call)
{
	call->response_kind = BF_RESPONSE_FORWARD;
	call->outcome = call->upstream.outcome;
	call->reason = call->upstream.reason;
	call->status = call->upstream.status;
	bf_call_schedule(call);
}

/* A body of unknown length is taken as small until it exceeds the buffer. */
static bool
has_small_body(const bf_call_t *call)
{
	return call->framing != BF_FRAMING_LENGTH ||
	    call->body_bytes <= BF_STREAM_BYTES;
}

static bool
open_small_body(bf_call_t *call)
{
	if (call->framing == BF_FRAMING_NONE || call->body.bytes != NULL)
		return true;
	return bf_stream_open(&call->body,
	    call->framing == BF_FRAMING_CHUNKED ? BF_STREAM_BYTES
						: (size_t)call->body_bytes);
}

static enum MHD_Result
accept_body(bf_call_t *call)
{
	call->body_accepted = true;
	return MHD_YES;
}

/* Passes the call on before its body is complete, or refuses it. */
static void
begin_streamed_call(bf_call_t *call)
{
	bf_conns_t *conns = &call->server->conns;

	if (!bf_conns_may_stream(conns)) {
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, BF_REASON_OVERLOADED);
		return;
	}
	call->is_streamed = true;
	call->is_streaming = true;
	conns->streaming++;
	if (call->body.bytes != NULL ||
	    bf_stream_open(&call->body, BF_STREAM_BYTES))
		begin_call(call);
	else
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, BF_REASON_INTERNAL);
}

static void
end_streaming(bf_call_t *call)
{
	if (call->is_streaming)
		call->server->conns.streaming--;
	call->is_streaming = false;
}

/* Called when the server has read the head, and again after a suspension. */
static enum MHD_Result
handle_head(bf_call_t *call)
{
	if (call->response_kind == BF_RESPONSE_NONE && has_small_body(call)) {
		if (open_small_body(call))
			return accept_body(call);
		bf_call_refuse(call, BF_OUTCOME_NOT_RUN, BF_REASON_INTERNAL);
	}
	if (call->response_kind == BF_RESPONSE_NONE && !call->begun)
		begin_streamed_call(call);
	if (call->response_kind != BF_RESPONSE_NONE) {
		/*
		 * An early response closes the connection on a sender that is
		 * already sending its body: read the body first.
		 */
		if (call->framing == BF_FRAMING_NONE ||
		    call->expects_continue || call->close_connection)
			return bf_response_queue(call);
		return accept_body(call);
	}
	if (call->body_requested)
		return accept_body(call);
	bf_call_suspend(call);
	return MHD_YES;
}

static enum MHD_Result
receive_body(bf_call_t *call, const char *data, size_t *bytes)
{
	size_t written;

	if (call->response_kind == BF_RESPONSE_ABORT)
		return MHD_NO;
	if (call->response_kind == BF_RESPONSE_REFUSAL || call->upstream.done) {
		*bytes = 0;
		return MHD_YES;
	}
	written = bf_stream_write(&call->body, data, *bytes);
	*bytes -= written;
	bf_worker_count(call->worker, BF_METRIC_REQUEST_BYTES, written);
	if (written > 0)
		bf_conns_progress(
		    &call->server->conns, call->conn, bf_clock_monotonic_us());
	if (call->begun) {
		bf_call_schedule(call);
	} else if (*bytes > 0) {
		/* The buffer is full: stream the body. */
		begin_streamed_call(call);
		if (!call->begun) {
			*bytes = 0; /* discarded, as after any refusal */
			return MHD_YES;
		}
	}
	if (*bytes > 0)
		bf_call_suspend(call);
	return MHD_YES;
}

static enum MHD_Result
handle_body_end(bf_call_t *call)
{
	if (!call->body_complete) {
		end_streaming(call);
		call->body_complete = true;
		call->body.eof = true;
		bf_call_schedule(call);
	}
	if (call->response_kind == BF_RESPONSE_NONE && !call->begun)
		begin_call(call);
	if (call->response_kind != BF_RESPONSE_NONE)
		return bf_response_queue(call);
	bf_call_suspend(call);
	return MHD_YES;
}

enum MHD_Result
bf_call_handle_request(void *cls, struct MHD_Connection *connection,
    const char *url, const char *method, const char *version,
    const char *upload_data, size_t *upload_data_size, void **con_cls)
{
	bf_call_t *call = *con_cls;

	(void)cls;
	(void)connection;
	(void)url;
	(void)version;
	if (call == NULL)
		return MHD_NO;
	/* It was refused when the connection was shut down. */
	if (call->conn != NULL && call->conn->closing)
		return MHD_NO;
	if (!call->head_checked)
		open_call(call, method);
	if (*upload_data_size > 0)
		return receive_body(call, upload_data, upload_data_size);
	if (!call->body_accepted)
		return handle_head(call);
	return handle_body_end(call);
}

/* Whether the server can make progress with a suspended request. */
static bool
may_resume(const bf_call_t *call)
{
	if (call->response_kind == BF_RESPONSE_ABORT)
		return true;
	if (call->response_queued)
		return call->response_body.length > 0 || call->upstream.done;
	if (call->body_complete)
		return call->response_kind != BF_RESPONSE_NONE;
	if (!call->body_accepted)
		return call->response_kind != BF_RESPONSE_NONE ||
		    call->body_requested;
	return call->response_kind == BF_RESPONSE_REFUSAL ||
	    call->upstream.done || bf_stream_space(&call->body) > 0;
}

/* Called when the upstream request has ended, now or earlier. */
static void
handle_upstream_done(bf_call_t *call, bf_time_us_t now_us)
{
	if (!call->upstream.done_handled) {
		call->upstream.done_handled = true;
		call->hop->upstream_done(call, now_us);
	}
	if (call->response_kind == BF_RESPONSE_NONE) {
		call->hop->retry_or_respond(call, now_us);
	} else if (call->response_kind == BF_RESPONSE_FORWARD) {
		call->outcome = call->upstream.outcome;
		call->reason = call->upstream.reason;
	}
}

void
bf_call_advance(bf_call_t *call, bf_time_us_t now_us)
{
	bf_upstream_t *upstream = &call->upstream;

	bf_upstream_unpause(call);
	if (upstream->done)
		handle_upstream_done(call, now_us);
	else if (call->response_kind == BF_RESPONSE_NONE &&
	    upstream->head_accepted && upstream->outcome == BF_OUTCOME_ANSWERED)
		bf_call_forward(call);
	if (call->suspended && may_resume(call))
		resume(call);
}

static void
unlink_call(bf_call_t *call)
{
	bf_worker_t *worker = call->worker;

	TAILQ_REMOVE(&worker->calls, call, call_link);
	if (call->is_scheduled)
		TAILQ_REMOVE(&worker->scheduled, call, scheduled_link);
	if (call->is_unwatched)
		TAILQ_REMOVE(&worker->unwatched, call, unwatched_link);
}

static int
connection_fd(bf_call_t *call)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(
	    call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	return info == NULL ? -1 : info->connect_fd;
}

void
bf_call_watch(bf_call_t *call)
{
	struct epoll_event event;

	call->is_unwatched = false;
	TAILQ_REMOVE(&call->worker->unwatched, call, unwatched_link);
	memset(&event, 0, sizeof(event));
	event.events = EPOLLRDHUP | EPOLLET;
	event.data.ptr = &call->source;
	if (epoll_ctl(call->worker->epoll_fd, EPOLL_CTL_ADD,
		connection_fd(call), &event) == 0)
		call->is_watched = true;
}

static void
unwatch(bf_call_t *call)
{
	struct epoll_event event;

	if (!call->is_watched)
		return;
	memset(&event, 0, sizeof(event));
	(void)epoll_ctl(
	    call->worker->epoll_fd, EPOLL_CTL_DEL, connection_fd(call), &event);
	call->is_watched = false;
}

void
bf_call_handle_caller_event(
    bf_call_t *call, uint32_t events, bf_time_us_t now_us)
{
	if (call->body_complete || (events & (EPOLLHUP | EPOLLERR)) != 0) {
		bf_call_cancel(call, now_us);
		return;
	}
	/*
	 * The caller has closed its side before the end of the body.  Data sent
	 * before that can still be read.  The server may have missed the end of
	 * the stream if it arrived together with data: shutting down the read
	 * side makes the server find it.
	 */
	(void)shutdown(connection_fd(call), SHUT_RD);
}

void
bf_call_cancel(bf_call_t *call, bf_time_us_t now_us)
{
	if (call->response_kind == BF_RESPONSE_ABORT)
		return;
	call->response_kind = BF_RESPONSE_ABORT;
	call->outcome = BF_OUTCOME_CANCELLED;
	if (call->upstream.easy != NULL) {
		bf_upstream_abort(call);
		call->upstream.outcome = BF_OUTCOME_CANCELLED;
		call->upstream.done_handled = true;
		call->hop->upstream_done(call, now_us);
	}
	resume(call);
}

static void
record_span(bf_call_t *call, bf_time_us_t now_us)
{
	const bf_proxy_t *proxy = call->worker->proxy;
	bf_span_t span;

	if (!call->trace.sampled || proxy->options.spans == NULL)
		return;
	memset(&span, 0, sizeof(span));
	span.trace_id = call->trace.trace_id;
	span.span_id = call->trace.span_id;
	span.parent_id = call->parent_id;
	span.start_us = call->start_wall_us;
	span.duration_us = now_us - call->start_us;
	span.hop = call->hop->number;
	span.status = call->status;
	span.outcome = (uint32_t)call->outcome;
	span.reason = (uint32_t)call->reason;
	(void)snprintf(
	    span.instance, sizeof(span.instance), "%s", proxy->instance);
	call->hop->fill_span(call, &span);
	bf_spans_put(proxy->options.spans, call->worker->index, &span);
	bf_worker_count(call->worker, BF_METRIC_SPANS, 1);
}

static void
count_outcome(bf_call_t *call)
{
	const bf_metrics_t *metrics = call->worker->metrics;
	uint32_t hop;

	hop = call->hop->number - 1;
	bf_counter_add(
	    call->worker->shard, metrics->outcomes[hop][call->outcome], 1);
	if (call->reason != BF_REASON_NONE)
		bf_counter_add(call->worker->shard,
		    metrics->reasons[hop][call->reason], 1);
}

void
bf_call_handle_completion(void *cls, struct MHD_Connection *connection,
    void **con_cls, enum MHD_RequestTerminationCode code)
{
	bf_call_t *call = *con_cls;
	bf_worker_t *worker;
	bf_time_us_t now_us;

	(void)cls;
	(void)connection;
	if (call == NULL)
		return;
	*con_cls = NULL;
	worker = call->worker;
	now_us = bf_clock_monotonic_us();
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !call->upstream.done)
		bf_call_cancel(call, now_us);
	if (call->upstream.done && !call->upstream.done_handled)
		call->hop->upstream_done(call, now_us);
	if (call->upstream.easy != NULL)
		bf_upstream_abort(call);
	call->hop->release(call, now_us);
	if (call->head_checked) {
		count_outcome(call);
		record_span(call, now_us);
	}
	end_streaming(call);
	if (call->conn != NULL) {
		call->conn->call = NULL;
		call->conn->has_served = true;
	}
	bf_conns_progress(&call->server->conns, call->conn, now_us);
	unwatch(call);
	unlink_call(call);
	bf_headers_clear(&call->request_headers);
	bf_headers_clear(&call->upstream.response_headers);
	bf_stream_close(&call->body);
	bf_stream_close(&call->response_body);
	free(call->request_target);
	free(call);
	atomic_fetch_sub(&worker->in_flight, 1);
}
