#include "proxy/upstream.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "proxy/call.h"

#define URL_BYTES (BF_ADDRESS_BYTES + 16)
#define CONNECT_TIMEOUT_MS_MAX 1000
#define RESPONSE_BODY_BYTES_MIN 1
/* Free space in the buffer at which a paused response is resumed. */
#define RESUME_SPACE_BYTES (BF_STREAM_BYTES / 2)
#define HEADER_LINE_BYTES 2048
#define NUMBER_BYTES 24

/*
 * Called by libcurl on a connection before it sends the request.  libcurl
 * resends a request when a reused connection turns out to be dead: refuses
 * that for calls that must not run twice, and when part of the body is gone.
 */
static int
on_before_send(
    void *ctx, char *local_ip, char *peer_ip, int local_port, int peer_port)
{
	bf_call_t *call = ctx;
	bf_upstream_t *upstream = &call->upstream;

	(void)local_ip;
	(void)peer_ip;
	(void)local_port;
	(void)peer_port;
	if (upstream->send_count > 0 &&
	    (!bf_call_is_repeatable(call) || call->body_consumed)) {
		upstream->resend_stopped = true;
		bf_worker_count(call->worker, BF_METRIC_RESENDS_STOPPED, 1);
		return CURL_PREREQFUNC_ABORT;
	}
	upstream->send_count++;
	return CURL_PREREQFUNC_OK;
}

static size_t
on_request_body(char *buffer, size_t size, size_t count, void *ctx)
{
	bf_call_t *call = ctx;
	size_t bytes;

	call->body_requested = true;
	bf_call_schedule(call);
	bytes = bf_stream_read(&call->body, buffer, size * count);
	if (bytes > 0) {
		call->body_consumed = true;
		return bytes;
	}
	if (call->body.eof)
		return 0;
	call->upstream.send_paused = true;
	return CURL_READFUNC_PAUSE;
}

/* Whether a truncated response body can be detected. */
static bool
is_response_framed(bf_call_t *call)
{
	bf_upstream_t *upstream = &call->upstream;

	if (!bf_headers_framing(&upstream->response_headers, &upstream->framing,
		&upstream->body_bytes))
		return false;
	if (upstream->status == 204 || upstream->status == 304 ||
	    strcmp(call->method, "HEAD") == 0)
		return true;
	return upstream->framing != BF_FRAMING_NONE;
}

static bool
finish_response_head(bf_call_t *call)
{
	bf_upstream_t *upstream = &call->upstream;

	upstream->head_complete = true;
	bf_call_schedule(call);
	if (!bf_headers_valid(&upstream->response_headers) ||
	    !is_response_framed(call)) {
		upstream->outcome = BF_OUTCOME_UNKNOWN;
		upstream->reason = BF_REASON_UNFRAMED_ANSWER;
		return false;
	}
	upstream->outcome = BF_OUTCOME_ANSWERED;
	upstream->reason = BF_REASON_NONE;
	upstream->head_accepted = call->hop->classify_response(call);
	return upstream->head_accepted;
}

static bool
add_header_line(bf_upstream_t *upstream, const char *line, size_t bytes)
{
	const char *colon, *value, *end;

	colon = memchr(line, ':', bytes);
	if (colon == NULL)
		return false;
	end = line + bytes;
	for (value = colon + 1;
	     value < end && (*value == ' ' || *value == '\t'); value++)
		continue;
	while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	return bf_headers_add(&upstream->response_headers, line,
	    (size_t)(colon - line), value, (size_t)(end - value));
}

/* Returns the status of a line such as "HTTP/1.1 200 OK"; 0 if malformed. */
static uint32_t
parse_status(const char *line, size_t bytes)
{
	uint32_t status;
	size_t i;

	if (bytes < 12 || strncmp(line, "HTTP/1.", 7) != 0)
		return 0;
	status = 0;
	for (i = 9; i < 12; i++) {
		if (line[i] < '0' || line[i] > '9')
			return 0;
		status = status * 10 + (uint32_t)(line[i] - '0');
	}
	return status;
}

static size_t
on_response_header(char *line, size_t size, size_t count, void *ctx)
{
	bf_call_t *call = ctx;
	bf_upstream_t *upstream = &call->upstream;
	size_t all, bytes;

	all = size * count;
	for (bytes = all;
	     bytes > 0 && (line[bytes - 1] == '\n' || line[bytes - 1] == '\r');
	     bytes--)
		continue;
	/*
	 * Trailers of a chunked response are not forwarded, but libcurl keeps
	 * them.
	 */
	if (upstream->head_complete) {
		upstream->trailer_bytes += all;
		return upstream->trailer_bytes <= BF_HEADERS_BYTES_MAX ? all
								       : 0;
	}
	if (bytes >= 5 && strncmp(line, "HTTP/", 5) == 0) {
		bf_headers_reset(&upstream->response_headers);
		upstream->status = parse_status(line, bytes);
		return upstream->status >= 100 ? all : 0;
	}
	if (bytes > 0)
		return add_header_line(upstream, line, bytes) ? all : 0;
	if (upstream->status < 200)
		return all;
	return finish_response_head(call) ? all : 0;
}

static bool
open_response_body(bf_call_t *call)
{
	bf_upstream_t *upstream = &call->upstream;
	size_t capacity;

	if (call->response_body.bytes != NULL)
		return true;
	capacity = BF_STREAM_BYTES;
	if (upstream->framing == BF_FRAMING_LENGTH &&
	    upstream->body_bytes < capacity)
		capacity = (size_t)upstream->body_bytes;
	if (capacity < RESPONSE_BODY_BYTES_MIN)
		capacity = RESPONSE_BODY_BYTES_MIN;
	return bf_stream_open(&call->response_body, capacity);
}

static size_t
on_response_body(char *data, size_t size, size_t count, void *ctx)
{
	bf_call_t *call = ctx;
	size_t bytes;

	bytes = size * count;
	if (!call->upstream.head_accepted || !open_response_body(call))
		return 0;
	bf_call_schedule(call);
	if (bf_stream_space(&call->response_body) < bytes) {
		call->upstream.receive_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	bf_worker_count(call->worker, BF_METRIC_RESPONSE_BYTES, bytes);
	return bf_stream_write(&call->response_body, data, bytes);
}

bool
bf_upstream_add_header(
    struct curl_slist **header_list, const char *name, const char *value)
{
	char line[HEADER_LINE_BYTES];
	struct curl_slist *grown;
	char *long_line;
	int bytes;

	/* libcurl's syntax for a header with an empty value is "Name;". */
	bytes = *value == '\0'
	    ? snprintf(line, sizeof(line), "%s;", name)
	    : snprintf(line, sizeof(line), "%s: %s", name, value);
	if (bytes < 0)
		return false;
	if ((size_t)bytes < sizeof(line)) {
		grown = curl_slist_append(*header_list, line);
	} else {
		if (asprintf(&long_line, "%s: %s", name, value) < 0)
			return false;
		grown = curl_slist_append(*header_list, long_line);
		free(long_line);
	}
	if (grown == NULL)
		return false;
	*header_list = grown;
	return true;
}

bool
bf_upstream_add_number(
    struct curl_slist **header_list, const char *name, uint64_t value)
{
	char text[NUMBER_BYTES];

	(void)snprintf(text, sizeof(text), "%" PRIu64, value);
	return bf_upstream_add_header(header_list, name, text);
}

static bool
append_line(struct curl_slist **header_list, const char *line)
{
	struct curl_slist *grown;

	grown = curl_slist_append(*header_list, line);
	if (grown == NULL)
		return false;
	*header_list = grown;
	return true;
}

/* Sets or removes the headers that libcurl would add by itself. */
static bool
append_defaults(
    bf_call_t *call, struct curl_slist **header_list, bool expect_continue)
{
	const char *host;

	host = bf_headers_find(&call->request_headers, "Host");
	if (host != NULL && !bf_upstream_add_header(header_list, "Host", host))
		return false;
	if (bf_headers_find(&call->request_headers, "Accept") == NULL &&
	    !append_line(header_list, "Accept:"))
		return false;
	if (bf_headers_find(&call->request_headers, "Content-Type") == NULL &&
	    !append_line(header_list, "Content-Type:"))
		return false;
	return append_line(
	    header_list, expect_continue ? "Expect: 100-continue" : "Expect:");
}

static bool
build_headers(bf_call_t *call, bool expect_continue)
{
	char traceparent[BF_TRACEPARENT_BYTES];
	struct curl_slist **header_list;
	uint32_t i;

	header_list = &call->upstream.header_list;
	for (i = 0; i < call->request_headers.count; i++) {
		if (bf_headers_is_per_hop(&call->request_headers, i))
			continue;
		if (!bf_upstream_add_header(header_list,
			bf_headers_name(&call->request_headers, i),
			bf_headers_value(&call->request_headers, i)))
			return false;
	}
	bf_trace_context_format(&call->trace, traceparent);
	return append_defaults(call, header_list, expect_continue) &&
	    bf_upstream_add_header(
		header_list, BF_HEADER_REQUEST_ID, call->request_id) &&
	    bf_upstream_add_header(
		header_list, BF_HEADER_TRACEPARENT, traceparent) &&
	    call->hop->add_headers(call, header_list);
}

static void
set_body(bf_call_t *call, CURL *easy, long timeout_ms)
{
	curl_off_t bytes;

	if (strcmp(call->method, "HEAD") == 0) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (call->framing == BF_FRAMING_NONE) {
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
		return;
	}
	if (!call->is_streamed) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)call->body.length);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body.bytes);
		return;
	}
	bytes = call->framing == BF_FRAMING_LENGTH
	    ? (curl_off_t)call->body_bytes
	    : (curl_off_t)-1;
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, bytes);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_request_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, call);
	curl_easy_setopt(easy, CURLOPT_EXPECT_100_TIMEOUT_MS, timeout_ms);
}

static void
set_connection(
    bf_call_t *call, const bf_upstream_options_t *options, bf_time_us_t now_us)
{
	CURL *easy = call->upstream.easy;
	long timeout_ms, connect_ms;

	timeout_ms = (long)(options->timeout_us / BF_US_PER_MS);
	if (timeout_ms < 1)
		timeout_ms = 1;
	connect_ms = timeout_ms / 3 + 1;
	if (connect_ms > CONNECT_TIMEOUT_MS_MAX)
		connect_ms = CONNECT_TIMEOUT_MS_MAX;
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
	bf_client_limit_age(&call->worker->client, easy, options->address,
	    options->idle_max_us, now_us);
	if (options->new_connection) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

static CURL *
acquire_handle(bf_worker_t *worker)
{
	CURL *easy;

	if (worker->idle_count > 0)
		return worker->idle_handles[--worker->idle_count];
	easy = curl_easy_init();
	return easy;
}

static void
recycle_handle(bf_worker_t *worker, CURL *easy)
{
	if (worker->idle_count == BF_IDLE_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	worker->idle_handles[worker->idle_count++] = easy;
}

static void
set_callbacks(bf_call_t *call, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_response_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_response_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
}

bool
bf_upstream_start(
    bf_call_t *call, const bf_upstream_options_t *options, bf_time_us_t now_us)
{
	bf_upstream_t *upstream = &call->upstream;
	char url[URL_BYTES];

	upstream->easy = acquire_handle(call->worker);
	if (upstream->easy == NULL)
		return false;
	upstream->start_us = now_us;
	bf_client_prepare(&call->worker->client, upstream->easy);
	set_callbacks(call, upstream->easy);
	(void)snprintf(upstream->address, sizeof(upstream->address), "%s",
	    options->address);
	(void)snprintf(url, sizeof(url), "http://%s/", options->address);
	curl_easy_setopt(upstream->easy, CURLOPT_URL, url);
	curl_easy_setopt(
	    upstream->easy, CURLOPT_REQUEST_TARGET, call->request_target);
	set_body(
	    call, upstream->easy, (long)(options->timeout_us / BF_US_PER_MS));
	curl_easy_setopt(upstream->easy, CURLOPT_CUSTOMREQUEST, call->method);
	set_connection(call, options, now_us);
	if (!build_headers(
		call, options->expect_continue && call->is_streamed)) {
		bf_upstream_abort(call);
		return false;
	}
	curl_easy_setopt(
	    upstream->easy, CURLOPT_HTTPHEADER, upstream->header_list);
	if (curl_multi_add_handle(call->worker->client.multi, upstream->easy) !=
	    CURLM_OK) {
		bf_upstream_abort(call);
		return false;
	}
	return true;
}

/* Sets outcome and reason of a request without an accepted response. */
static void
classify_failure(bf_upstream_t *upstream, CURLcode code)
{
	upstream->outcome =
	    upstream->send_count == 0 ? BF_OUTCOME_NOT_RUN : BF_OUTCOME_UNKNOWN;
	if (upstream->resend_stopped)
		upstream->reason = BF_REASON_STALE_CONNECTION;
	else if (code == CURLE_OPERATION_TIMEDOUT)
		upstream->reason = BF_REASON_DEADLINE;
	else if (upstream->send_count == 0)
		upstream->reason = BF_REASON_CONNECT;
	else if (code == CURLE_PARTIAL_FILE || upstream->head_accepted)
		upstream->reason = BF_REASON_CUT_ANSWER;
	else
		upstream->reason = BF_REASON_CONNECTION_LOST;
}

/*
 * If the request timed out on a reused connection, other connections to that
 * address may be dead too.
 */
static void
record_suspect_address(bf_call_t *call, CURLcode code)
{
	bf_upstream_t *upstream = &call->upstream;
	long new_connections;

	if (code != CURLE_OPERATION_TIMEDOUT || upstream->send_count == 0 ||
	    upstream->head_complete)
		return;
	new_connections = 0;
	curl_easy_getinfo(
	    upstream->easy, CURLINFO_NUM_CONNECTS, &new_connections);
	if (new_connections > 0)
		return;
	bf_client_suspect_address(
	    &call->worker->client, upstream->address, bf_clock_monotonic_us());
	bf_worker_count(call->worker, BF_METRIC_SILENT_CONNECTIONS, 1);
}

static void
release_handle(bf_call_t *call)
{
	bf_upstream_t *upstream = &call->upstream;

	if (upstream->easy == NULL)
		return;
	(void)curl_multi_remove_handle(
	    call->worker->client.multi, upstream->easy);
	recycle_handle(call->worker, upstream->easy);
	upstream->easy = NULL;
	curl_slist_free_all(upstream->header_list);
	upstream->header_list = NULL;
}

void
bf_upstream_finish(bf_call_t *call, CURLcode code)
{
	bf_upstream_t *upstream = &call->upstream;

	record_suspect_address(call, code);
	release_handle(call);
	upstream->done = true;
	upstream->code = code;
	call->response_body.eof = true;
	bf_call_schedule(call);
	if (code == CURLE_OK && upstream->head_accepted)
		return;
	/* A reason found in the head overrides how the body ended. */
	if (upstream->head_complete && upstream->reason != BF_REASON_NONE)
		return;
	classify_failure(upstream, code);
}

void
bf_upstream_abort(bf_call_t *call)
{
	release_handle(call);
	curl_slist_free_all(call->upstream.header_list);
	call->upstream.header_list = NULL;
}

void
bf_upstream_unpause(bf_call_t *call)
{
	bf_upstream_t *upstream = &call->upstream;
	bool resume;

	if (upstream->easy == NULL)
		return;
	resume = false;
	if (upstream->send_paused &&
	    (call->body.length > 0 || call->body.eof)) {
		upstream->send_paused = false;
		resume = true;
	}
	if (upstream->receive_paused &&
	    (bf_stream_space(&call->response_body) >= RESUME_SPACE_BYTES ||
		call->response_body.length == 0)) {
		upstream->receive_paused = false;
		resume = true;
	}
	if (!resume)
		return;
	(void)curl_easy_pause(upstream->easy,
	    (upstream->send_paused ? CURLPAUSE_SEND : 0) |
		(upstream->receive_paused ? CURLPAUSE_RECV : 0));
}

void
bf_upstream_reset(bf_upstream_t *upstream)
{
	bf_headers_t headers;

	bf_headers_reset(&upstream->response_headers);
	headers = upstream->response_headers;
	memset(upstream, 0, sizeof(*upstream));
	upstream->response_headers = headers;
}
