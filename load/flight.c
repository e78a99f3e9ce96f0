#include "load/flight.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/digest.h"
#include "proxy/span.h"

#define URL_BYTES 4096
#define TIMEOUT_MS_DEFAULT 10000L
#define PATTERN_WORD_BYTES 8

/* Byte k of the pattern of an id (see standins/pattern.h). */
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
	bf_flight_t *flight = ctx;

	(void)local_ip;
	(void)peer_ip;
	(void)local_port;
	(void)peer_port;
	flight->sends++;
	return CURL_PREREQFUNC_OK;
}

/* The value of a header line if it has that name, without blanks. */
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
read_outcome(bf_flight_t *flight, const char *value)
{
	flight->has_outcome = true;
	if (strcmp(value, "answered") == 0)
		flight->end = BF_LOAD_ANSWERED;
	else if (strcmp(value, "not-run") == 0)
		flight->end = BF_LOAD_NOT_RUN;
	else
		flight->end = BF_LOAD_UNKNOWN;
}

static size_t
on_header(char *line, size_t size, size_t count, void *ctx)
{
	bf_trace_context_t context;
	bf_flight_t *flight = ctx;
	char value[128];
	size_t bytes;

	bytes = size * count;
	if (header_value(
		line, bytes, "Basilfork-Outcome", value, sizeof(value)))
		read_outcome(flight, value);
	else if (header_value(
		     line, bytes, "X-Request-Id", value, sizeof(value)))
		flight->other_id = strcmp(value, flight->id) != 0;
	else if (header_value(line, bytes, "traceparent", value, sizeof(value)))
		flight->sampled =
		    bf_trace_context_parse(value, &context) && context.sampled;
	return bytes;
}

static size_t
on_body(char *data, size_t size, size_t count, void *ctx)
{
	bf_flight_t *flight = ctx;
	size_t bytes, kept;

	bytes = size * count;
	if (flight->received_bytes < sizeof(flight->text) - 1) {
		kept =
		    sizeof(flight->text) - 1 - (size_t)flight->received_bytes;
		if (kept > bytes)
			kept = bytes;
		memcpy(flight->text + flight->received_bytes, data, kept);
	}
	if (flight->pattern_bytes > 0 &&
	    !is_pattern(flight->id, flight->received_bytes,
		(const uint8_t *)data, bytes))
		flight->damaged = true;
	flight->received_bytes += bytes;
	return bytes;
}

static void
read_size(bf_flight_t *flight, const char *path)
{
	const char *size;

	size = strstr(path, "?size=");
	if (size == NULL)
		size = strstr(path, "&size=");
	if (size != NULL)
		flight->pattern_bytes = strtoull(size + 6, NULL, 10);
}

static bool
set_headers(bf_flight_t *flight, const bf_load_options_t *options)
{
	char line[URL_BYTES];
	struct curl_slist *grown;
	int i;

	for (i = 0; i < 5; i++) {
		line[0] = '\0';
		if (i == 0)
			(void)snprintf(
			    line, sizeof(line), "X-Request-Id: %s", flight->id);
		else if (i == 1 && options->host != NULL)
			(void)snprintf(
			    line, sizeof(line), "Host: %s", options->host);
		else if (i == 2 && options->deadline_ms > 0)
			(void)snprintf(line, sizeof(line),
			    "Basilfork-Deadline-Ms: %u", options->deadline_ms);
		else if (i == 3 && options->traced)
			(void)snprintf(line, sizeof(line),
			    "traceparent: 00-%.32s-%.16s-01", flight->id,
			    flight->id + 16);
		else if (i == 4)
			(void)snprintf(line, sizeof(line),
			    "Content-Type: application/octet-stream");
		if (line[0] == '\0')
			continue;
		grown = curl_slist_append(flight->headers, line);
		if (grown == NULL)
			return false;
		flight->headers = grown;
	}
	return true;
}

static bool
set_body(bf_flight_t *flight, const bf_load_call_t *call)
{
	flight->body_bytes = call->body_bytes;
	if (strcmp(call->method, "HEAD") == 0)
		curl_easy_setopt(flight->easy, CURLOPT_NOBODY, 1L);
	if (call->body_bytes == 0)
		return true;
	flight->body = malloc((size_t)call->body_bytes);
	if (flight->body == NULL)
		return false;
	fill_pattern(flight->id, flight->body, call->body_bytes);
	curl_easy_setopt(flight->easy, CURLOPT_POST, 1L);
	curl_easy_setopt(flight->easy, CURLOPT_POSTFIELDSIZE_LARGE,
	    (curl_off_t)call->body_bytes);
	curl_easy_setopt(flight->easy, CURLOPT_POSTFIELDS, flight->body);
	return true;
}

static void
set_callbacks(bf_flight_t *flight)
{
	CURL *easy = flight->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, flight);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, flight);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, flight);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, flight);
}

bf_flight_t *
bf_flight_new(bf_client_t *client, bf_load_series_t *series, const char *base,
    const bf_load_call_t *call, const bf_load_options_t *options,
    uint64_t number)
{
	char url[URL_BYTES];
	bf_flight_t *flight;

	flight = calloc(1, sizeof(*flight));
	if (flight == NULL)
		return NULL;
	flight->easy = curl_easy_init();
	if (flight->easy == NULL) {
		free(flight);
		return NULL;
	}
	flight->series = series;
	/* Valid as a trace id too, and never all zeros. */
	(void)snprintf(flight->id, sizeof(flight->id),
	    "%016" PRIx64 "%016" PRIx64, options->seed, number + 1);
	bf_client_prepare(client, flight->easy);
	set_callbacks(flight);
	(void)snprintf(url, sizeof(url), "%s%s", base, call->path);
	curl_easy_setopt(flight->easy, CURLOPT_URL, url);
	curl_easy_setopt(flight->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(flight->easy, CURLOPT_TIMEOUT_MS,
	    options->timeout_ms > 0 ? (long)options->timeout_ms
				    : TIMEOUT_MS_DEFAULT);
	read_size(flight, call->path);
	if (!set_headers(flight, options) || !set_body(flight, call)) {
		bf_flight_free(flight);
		return NULL;
	}
	curl_easy_setopt(flight->easy, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(flight->easy, CURLOPT_HTTPHEADER, flight->headers);
	return flight;
}

/* Whether an echo carries the digest of what was sent, and the id. */
static bool
is_own_echo(const bf_flight_t *flight)
{
	char digest[BF_DIGEST_TEXT_BYTES], expected[BF_FLIGHT_HEAD_BYTES];

	bf_digest_format(
	    bf_digest_of(flight->body, (size_t)flight->body_bytes), digest);
	(void)snprintf(
	    expected, sizeof(expected), "digest=%s id=%s ", digest, flight->id);
	return strncmp(flight->text, expected, strlen(expected)) == 0;
}

static void
verify(bf_flight_t *flight)
{
	bool is_echo, right;

	is_echo = strncmp(flight->text, "digest=", 7) == 0;
	if (flight->pattern_bytes > 0)
		right = !flight->damaged &&
		    flight->received_bytes == flight->pattern_bytes;
	else if (is_echo)
		right = is_own_echo(flight);
	else
		return;
	if (right && !flight->other_id)
		flight->series->verified++;
	else
		flight->series->wrong++;
}

static void
count_answer(bf_flight_t *flight, bf_time_us_t now_us)
{
	bf_load_series_t *series = flight->series;
	long status;

	bf_histogram_add(&series->latency, now_us - flight->intended_us);
	if (flight->sampled)
		series->spans++;
	status = 0;
	curl_easy_getinfo(flight->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status >= 500)
		series->failed++;
	else if (status >= 400)
		series->not_found++;
	else
		verify(flight);
}

void
bf_flight_finish(bf_flight_t *flight, CURLcode code, bf_time_us_t now_us)
{
	bf_load_end_t end;

	end = flight->has_outcome ? flight->end : BF_LOAD_ANSWERED;
	if (code != CURLE_OK && end == BF_LOAD_ANSWERED)
		end = flight->sends == 0 ? BF_LOAD_NOT_RUN : BF_LOAD_UNKNOWN;
	flight->series->ends[end]++;
	if (end == BF_LOAD_ANSWERED)
		count_answer(flight, now_us);
}

void
bf_flight_free(bf_flight_t *flight)
{
	curl_easy_cleanup(flight->easy);
	curl_slist_free_all(flight->headers);
	free(flight->body);
	free(flight);
}
