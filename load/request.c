#include "load/request.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/digest.h"
#include "proxy/span.h"

#define URL_BYTES 4096
#define TIMEOUT_MS_DEFAULT 10000L
#define PATTERN_WORD_BYTES 8

/* The byte at an offset of a body pattern; see standins/pattern.h. */
static uint8_t
pattern_byte(uint64_t word, uint64_t offset)
{
	return (uint8_t)(word >> (offset % PATTERN_WORD_BYTES * 8));
}

static void
fill_pattern(const char *id, uint8_t *data, uint64_t bytes)
{
	uint64_t i, word;

	word = 0;
	for (i = 0; i < bytes; i++) {
		if (i % PATTERN_WORD_BYTES == 0)
			word = bf_hash_text(id, i / PATTERN_WORD_BYTES);
		data[i] = pattern_byte(word, i);
	}
}

static bool
is_pattern(const char *id, uint64_t offset, const uint8_t *data, uint64_t bytes)
{
	uint64_t i, word;

	word = bf_hash_text(id, offset / PATTERN_WORD_BYTES);
	for (i = 0; i < bytes; i++, offset++) {
		if (offset % PATTERN_WORD_BYTES == 0)
			word = bf_hash_text(id, offset / PATTERN_WORD_BYTES);
		if (data[i] != pattern_byte(word, offset))
			return false;
	}
	return true;
}

static int
on_before_send(
    void *ctx, char *local_ip, char *peer_ip, int local_port, int peer_port)
{
	bf_load_request_t *request = ctx;

	(void)local_ip;
	(void)peer_ip;
	(void)local_port;
	(void)peer_port;
	request->sends++;
	return CURL_PREREQFUNC_OK;
}

/*
 * Copies the value of a header line, without leading spaces and the line end.
 * False if the line has another name or the value is too long.
 */
static bool
header_value(
    const char *line, size_t bytes, const char *name, char *value, size_t size)
{
	size_t skip;

	skip = strlen(name);
	if (bytes <= skip || line[skip] != ':' ||
	    strncasecmp(line, name, skip) != 0)
		return false;
	for (skip++; skip < bytes && line[skip] == ' '; skip++)
		continue;
	while (bytes > skip &&
	    (line[bytes - 1] == '\n' || line[bytes - 1] == '\r'))
		bytes--;
	if (bytes - skip >= size)
		return false;
	memcpy(value, line + skip, bytes - skip);
	value[bytes - skip] = '\0';
	return true;
}

static void
record_outcome(bf_load_request_t *request, const char *value)
{
	request->has_outcome = true;
	if (strcmp(value, "answered") == 0)
		request->outcome = BF_LOAD_ANSWERED;
	else if (strcmp(value, "not-run") == 0)
		request->outcome = BF_LOAD_NOT_RUN;
	else
		request->outcome = BF_LOAD_UNKNOWN;
}

static size_t
on_header(char *line, size_t size, size_t count, void *ctx)
{
	bf_trace_context_t context;
	bf_load_request_t *request = ctx;
	char value[128];
	size_t bytes;

	bytes = size * count;
	if (header_value(
		line, bytes, "Basilfork-Outcome", value, sizeof(value)))
		record_outcome(request, value);
	else if (header_value(
		     line, bytes, "X-Request-Id", value, sizeof(value)))
		request->id_mismatch = strcmp(value, request->id) != 0;
	else if (header_value(line, bytes, "traceparent", value, sizeof(value)))
		request->sampled =
		    bf_trace_context_parse(value, &context) && context.sampled;
	return bytes;
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	bf_load_request_t *request = ctx;
	size_t bytes, copied;

	bytes = size * count;
	if (request->received_bytes < sizeof(request->body_prefix) - 1) {
		copied = sizeof(request->body_prefix) - 1 -
		    (size_t)request->received_bytes;
		if (copied > bytes)
			copied = bytes;
		memcpy(request->body_prefix + request->received_bytes, data,
		    copied);
	}
	if (request->pattern_bytes > 0 &&
	    !is_pattern(request->id, request->received_bytes,
		(const uint8_t *)data, bytes))
		request->pattern_mismatch = true;
	request->received_bytes += bytes;
	return bytes;
}

static void
read_expected_size(bf_load_request_t *request, const char *path)
{
	const char *size;

	size = strstr(path, "?size=");
	if (size == NULL)
		size = strstr(path, "&size=");
	if (size != NULL)
		request->pattern_bytes = strtoull(size + 6, NULL, 10);
}

static bool
set_headers(bf_load_request_t *request, const bf_load_options_t *options)
{
	char line[URL_BYTES];
	struct curl_slist *grown;
	int i;

	for (i = 0; i < 5; i++) {
		line[0] = '\0';
		if (i == 0)
			(void)snprintf(line, sizeof(line), "X-Request-Id: %s",
			    request->id);
		else if (i == 1 && options->host != NULL)
			(void)snprintf(
			    line, sizeof(line), "Host: %s", options->host);
		else if (i == 2 && options->deadline_ms > 0)
			(void)snprintf(line, sizeof(line),
			    "Basilfork-Deadline-Ms: %u", options->deadline_ms);
		else if (i == 3 && options->traced)
			(void)snprintf(line, sizeof(line),
			    "traceparent: 00-%.32s-%.16s-01", request->id,
			    request->id + 16);
		else if (i == 4)
			(void)snprintf(line, sizeof(line),
			    "Content-Type: application/octet-stream");
		if (line[0] == '\0')
			continue;
		grown = curl_slist_append(request->headers, line);
		if (grown == NULL)
			return false;
		request->headers = grown;
	}
	return true;
}

static bool
set_body(bf_load_request_t *request, const bf_load_call_t *call)
{
	request->body_bytes = call->body_bytes;
	if (strcmp(call->method, "HEAD") == 0)
		curl_easy_setopt(request->easy, CURLOPT_NOBODY, 1L);
	if (call->body_bytes == 0)
		return true;
	request->body = malloc((size_t)call->body_bytes);
	if (request->body == NULL)
		return false;
	fill_pattern(request->id, request->body, call->body_bytes);
	curl_easy_setopt(request->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(request->easy, CURLOPT_POSTFIELDSIZE_LARGE,
	    (curl_off_t)call->body_bytes);
	curl_easy_setopt(request->easy, CURLOPT_POSTFIELDS, request->body);
	return true;
}

static void
set_callbacks(bf_load_request_t *request)
{
	CURL *easy = request->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, request);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, request);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
}

bf_load_request_t *
bf_load_request_new(bf_client_t *client, bf_load_series_t *series,
    const char *base_url, const bf_load_call_t *call,
    const bf_load_options_t *options, uint64_t number)
{
	char url[URL_BYTES];
	bf_load_request_t *request;

	request = calloc(1, sizeof(*request));
	if (request == NULL)
		return NULL;
	request->easy = curl_easy_init();
	if (request->easy == NULL) {
		free(request);
		return NULL;
	}
	request->series = series;
	/* Also sent as a trace id, which must not be all zeros. */
	(void)snprintf(request->id, sizeof(request->id),
	    "%016" PRIx64 "%016" PRIx64, options->seed, number + 1);
	bf_client_prepare(client, request->easy);
	set_callbacks(request);
	(void)snprintf(url, sizeof(url), "%s%s", base_url, call->path);
	curl_easy_setopt(request->easy, CURLOPT_URL, url);
	curl_easy_setopt(request->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(request->easy, CURLOPT_TIMEOUT_MS,
	    options->timeout_ms > 0 ? (long)options->timeout_ms
				    : TIMEOUT_MS_DEFAULT);
	read_expected_size(request, call->path);
	if (!set_headers(request, options) || !set_body(request, call)) {
		bf_load_request_free(request);
		return NULL;
	}
	curl_easy_setopt(request->easy, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(request->easy, CURLOPT_HTTPHEADER, request->headers);
	return request;
}

/* True if an echo has the digest of the body sent, and the request id. */
static bool
is_expected_echo(const bf_load_request_t *request)
{
	char digest[BF_DIGEST_TEXT_BYTES],
	    expected[BF_LOAD_REQUEST_PREFIX_BYTES];

	bf_digest_format(
	    bf_digest_of(request->body, (size_t)request->body_bytes), digest);
	(void)snprintf(expected, sizeof(expected), "digest=%s id=%s ", digest,
	    request->id);
	return strncmp(request->body_prefix, expected, strlen(expected)) == 0;
}

static void
verify(bf_load_request_t *request)
{
	bool is_echo, valid;

	is_echo = strncmp(request->body_prefix, "digest=", 7) == 0;
	if (request->pattern_bytes > 0)
		valid = !request->pattern_mismatch &&
		    request->received_bytes == request->pattern_bytes;
	else if (is_echo)
		valid = is_expected_echo(request);
	else
		return;
	if (valid && !request->id_mismatch)
		request->series->verified++;
	else
		request->series->wrong++;
}

static void
count_response(bf_load_request_t *request, bf_time_us_t now_us)
{
	bf_load_series_t *series = request->series;
	long status;

	bf_histogram_add(&series->latency, now_us - request->intended_us);
	if (request->sampled)
		series->spans++;
	status = 0;
	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status >= 500)
		series->status_5xx++;
	else if (status >= 400)
		series->status_4xx++;
	else
		verify(request);
}

void
bf_load_request_finish(
    bf_load_request_t *request, CURLcode code, bf_time_us_t now_us)
{
	bf_load_outcome_t outcome;

	outcome = request->has_outcome ? request->outcome : BF_LOAD_ANSWERED;
	if (code != CURLE_OK && outcome == BF_LOAD_ANSWERED)
		outcome =
		    request->sends == 0 ? BF_LOAD_NOT_RUN : BF_LOAD_UNKNOWN;
	request->series->outcomes[outcome]++;
	if (outcome == BF_LOAD_ANSWERED)
		count_response(request, now_us);
}

void
bf_load_request_free(bf_load_request_t *request)
{
	curl_easy_cleanup(request->easy);
	curl_slist_free_all(request->headers);
	free(request->body);
	free(request);
}
