#include "proxy/response.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy/outcome.h"

#define REFUSAL_BYTES 96
#define RESPONSE_BLOCK_BYTES ((size_t)16 * 1024)

static ssize_t
read_response_body(void *cls, uint64_t position, char *buffer, size_t max)
{
	bf_call_t *call = cls;
	size_t bytes;

	(void)position;
	bytes = bf_stream_read(&call->response_body, buffer, max);
	if (bytes > 0) {
		if (call->upstream.receive_paused)
			bf_call_schedule(call);
		return (ssize_t)bytes;
	}
	if (!call->upstream.done && call->response_kind != BF_RESPONSE_ABORT) {
		bf_call_suspend(call);
		return 0;
	}
	if (call->response_kind != BF_RESPONSE_ABORT &&
	    call->upstream.code == CURLE_OK)
		return MHD_CONTENT_READER_END_OF_STREAM;
	return MHD_CONTENT_READER_END_WITH_ERROR;
}

static struct MHD_Response *
make_refusal(bf_call_t *call)
{
	char text[REFUSAL_BYTES];
	int bytes;

	bytes = snprintf(text, sizeof(text), "%s: %s\n",
	    bf_outcome_name(call->outcome), bf_reason_name(call->reason));
	return MHD_create_response_from_buffer(
	    (size_t)bytes, text, MHD_RESPMEM_MUST_COPY);
}

/* Sends a complete response in one piece, any other as it arrives. */
static struct MHD_Response *
make_forward(bf_call_t *call)
{
	struct MHD_Response *response;
	uint64_t bytes;
	uint8_t *whole;
	size_t length;

	if (call->upstream.done && call->upstream.code == CURLE_OK &&
	    strcmp(call->method, "HEAD") != 0) {
		length = call->response_body.length;
		whole = bf_stream_detach(&call->response_body);
		if (whole != NULL || length == 0) {
			response = MHD_create_response_from_buffer(
			    length, whole, MHD_RESPMEM_MUST_FREE);
			if (response == NULL)
				free(whole);
			return response;
		}
	}
	bytes = call->upstream.framing == BF_FRAMING_LENGTH
	    ? call->upstream.body_bytes
	    : MHD_SIZE_UNKNOWN;
	return MHD_create_response_from_callback(
	    bytes, RESPONSE_BLOCK_BYTES, read_response_body, call, NULL);
}

static void
add_text(struct MHD_Response *response, const char *name, const char *value)
{
	(void)MHD_add_response_header(response, name, value);
}

static void
add_response_headers(bf_call_t *call, struct MHD_Response *response)
{
	/* Headers of the target hop that the entry hop forwards. */
	static const char *const forwarded[] = { BF_HEADER_VERSION,
		BF_HEADER_TARGET, BF_HEADER_ATTEMPT };
	const bf_headers_t *headers = &call->upstream.response_headers;
	const char *value;
	uint32_t i;

	for (i = 0; i < headers->count; i++) {
		if (!bf_headers_is_per_hop(headers, i))
			add_text(response, bf_headers_name(headers, i),
			    bf_headers_value(headers, i));
	}
	for (i = 0; i < sizeof(forwarded) / sizeof(forwarded[0]); i++) {
		value = bf_headers_find(headers, forwarded[i]);
		if (value != NULL && call->hop->number == 1)
			add_text(response, forwarded[i], value);
	}
}

static void
add_own_headers(bf_call_t *call, struct MHD_Response *response)
{
	char traceparent[BF_TRACEPARENT_BYTES];

	add_text(response, BF_HEADER_OUTCOME, bf_outcome_name(call->outcome));
	if (call->reason != BF_REASON_NONE)
		add_text(
		    response, BF_HEADER_REASON, bf_reason_name(call->reason));
	add_text(response, BF_HEADER_REQUEST_ID, call->request_id);
	if (call->trace.sampled) {
		bf_trace_context_format(&call->trace, traceparent);
		add_text(response, BF_HEADER_TRACEPARENT, traceparent);
	}
	if (call->hop->add_response_headers != NULL)
		call->hop->add_response_headers(call, response);
	if (call->close_connection || call->server->conns.full ||
	    atomic_load(&call->worker->proxy->draining))
		add_text(response, "Connection", "close");
}

enum MHD_Result
bf_response_queue(bf_call_t *call)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	if (call->response_kind == BF_RESPONSE_ABORT)
		return MHD_NO;
	response = call->response_kind == BF_RESPONSE_REFUSAL
	    ? make_refusal(call)
	    : make_forward(call);
	if (response == NULL)
		return MHD_NO;
	if (call->response_kind == BF_RESPONSE_FORWARD)
		add_response_headers(call, response);
	add_own_headers(call, response);
	call->response_queued = true;
	bf_conns_progress(
	    &call->server->conns, call->conn, bf_clock_monotonic_us());
	result = MHD_queue_response(call->connection, call->status, response);
	MHD_destroy_response(response);
	return result;
}
