#include "proxy/headers.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define INITIAL_BUFFER_BYTES 2048
#define METHOD_BYTES_MAX 16
#define REQUEST_ID_BYTES_MAX 128
#define MESH_HEADER_PREFIX "Basilfork-"

static const char *const PER_HOP_NAMES[] = { "Connection", "Content-Length",
	"Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", BF_HEADER_REQUEST_ID,
	BF_HEADER_TRACEPARENT, NULL };

static bool
reserve(bf_headers_t *headers, size_t bytes)
{
	size_t capacity;
	char *buffer;

	if (headers->used + bytes <= headers->capacity)
		return true;
	if (headers->used + bytes > BF_HEADERS_BYTES_MAX)
		return false;
	capacity =
	    headers->capacity > 0 ? headers->capacity : INITIAL_BUFFER_BYTES;
	while (capacity < headers->used + bytes)
		capacity *= 2;
	buffer = realloc(headers->buffer, capacity);
	if (buffer == NULL)
		return false;
	headers->buffer = buffer;
	headers->capacity = capacity;
	return true;
}

static uint32_t
append(bf_headers_t *headers, const char *text, size_t bytes)
{
	uint32_t offset;

	offset = (uint32_t)headers->used;
	memcpy(headers->buffer + offset, text, bytes);
	headers->buffer[offset + bytes] = '\0';
	headers->used += bytes + 1;
	return offset;
}

bool
bf_headers_add(bf_headers_t *headers, const char *name, size_t name_bytes,
    const char *value, size_t value_bytes)
{
	bf_header_entry_t *entry;

	if (headers->count == BF_HEADERS_COUNT_MAX)
		return false;
	if (!reserve(headers, name_bytes + value_bytes + 2))
		return false;
	entry = &headers->entries[headers->count++];
	entry->name_offset = append(headers, name, name_bytes);
	entry->value_offset = append(headers, value, value_bytes);
	return true;
}

const char *
bf_headers_name(const bf_headers_t *headers, uint32_t index)
{
	return headers->buffer + headers->entries[index].name_offset;
}

const char *
bf_headers_value(const bf_headers_t *headers, uint32_t index)
{
	return headers->buffer + headers->entries[index].value_offset;
}

const char *
bf_headers_find(const bf_headers_t *headers, const char *name)
{
	uint32_t i;

	for (i = 0; i < headers->count; i++) {
		if (strcasecmp(bf_headers_name(headers, i), name) == 0)
			return bf_headers_value(headers, i);
	}
	return NULL;
}

uint32_t
bf_headers_count(const bf_headers_t *headers, const char *name)
{
	uint32_t count, i;

	count = 0;
	for (i = 0; i < headers->count; i++) {
		if (strcasecmp(bf_headers_name(headers, i), name) == 0)
			count++;
	}
	return count;
}

void
bf_headers_reset(bf_headers_t *headers)
{
	headers->used = 0;
	headers->count = 0;
}

void
bf_headers_clear(bf_headers_t *headers)
{
	free(headers->buffer);
	headers->buffer = NULL;
	headers->capacity = 0;
	bf_headers_reset(headers);
}

bool
bf_number_parse(const char *text, uint64_t max, uint64_t *value)
{
	const char *c;
	uint64_t digit;

	*value = 0;
	if (*text == '\0')
		return false;
	for (c = text; *c != '\0'; c++) {
		if (*c < '0' || *c > '9')
			return false;
		digit = (uint64_t)(*c - '0');
		if (*value > (max - digit) / 10)
			return false;
		*value = *value * 10 + digit;
	}
	return true;
}

bool
bf_headers_framing(
    const bf_headers_t *headers, bf_framing_t *framing, uint64_t *body_bytes)
{
	const char *length, *encoding;

	*framing = BF_FRAMING_NONE;
	*body_bytes = 0;
	length = bf_headers_find(headers, "Content-Length");
	encoding = bf_headers_find(headers, "Transfer-Encoding");
	if (bf_headers_count(headers, "Content-Length") > 1 ||
	    bf_headers_count(headers, "Transfer-Encoding") > 1)
		return false;
	if (length != NULL && encoding != NULL)
		return false;
	if (encoding != NULL) {
		*framing = BF_FRAMING_CHUNKED;
		return strcasecmp(encoding, "chunked") == 0;
	}
	if (length == NULL)
		return true;
	*framing = BF_FRAMING_LENGTH;
	return bf_number_parse(length, INT64_MAX, body_bytes);
}

static bool
is_token(const char *text)
{
	const char *c;

	for (c = text; *c != '\0'; c++) {
		if (!isalnum((unsigned char)*c) &&
		    strchr("!#$%&'*+-.^_`|~", *c) == NULL)
			return false;
	}
	return c != text;
}

static bool
is_field_value(const char *text)
{
	const unsigned char *c;

	for (c = (const unsigned char *)text; *c != '\0'; c++) {
		if ((*c < ' ' && *c != '\t') || *c == 0x7f)
			return false;
	}
	return true;
}

bool
bf_headers_valid(const bf_headers_t *headers)
{
	uint32_t i;

	for (i = 0; i < headers->count; i++) {
		if (!is_token(bf_headers_name(headers, i)) ||
		    !is_field_value(bf_headers_value(headers, i)))
			return false;
	}
	return bf_headers_count(headers, "Host") <= 1;
}

bool
bf_request_method_valid(const char *method)
{
	if (!is_token(method) || strlen(method) > METHOD_BYTES_MAX)
		return false;
	return strcmp(method, "CONNECT") != 0 && strcmp(method, "TRACE") != 0;
}

bool
bf_request_target_valid(const char *request_target)
{
	const unsigned char *c;

	if (request_target[0] != '/')
		return false;
	for (c = (const unsigned char *)request_target; *c != '\0'; c++) {
		if (*c <= ' ' || *c >= 0x7f || *c == '#')
			return false;
	}
	return true;
}

/* Whether a comma-separated list contains name, compared without case. */
static bool
list_contains(const char *list, const char *name)
{
	size_t length, bytes;

	length = strlen(name);
	while (*list != '\0') {
		list += strspn(list, " \t,");
		bytes = strcspn(list, " \t,");
		if (bytes == length && strncasecmp(list, name, length) == 0)
			return true;
		list += bytes;
	}
	return false;
}

static bool
is_connection_option(const bf_headers_t *headers, const char *name)
{
	uint32_t i;

	for (i = 0; i < headers->count; i++) {
		if (strcasecmp(bf_headers_name(headers, i), "Connection") != 0)
			continue;
		if (list_contains(bf_headers_value(headers, i), name))
			return true;
	}
	return false;
}

bool
bf_headers_is_per_hop(const bf_headers_t *headers, uint32_t index)
{
	const char *const *per_hop;
	const char *name;

	name = bf_headers_name(headers, index);
	if (strncasecmp(
		name, MESH_HEADER_PREFIX, sizeof(MESH_HEADER_PREFIX) - 1) == 0)
		return true;
	for (per_hop = PER_HOP_NAMES; *per_hop != NULL; per_hop++) {
		if (strcasecmp(name, *per_hop) == 0)
			return true;
	}
	return is_connection_option(headers, name);
}

bool
bf_request_id_valid(const char *text)
{
	const char *c;

	for (c = text; *c != '\0'; c++) {
		if (!isalnum((unsigned char)*c) && strchr("-_.:", *c) == NULL)
			return false;
	}
	return c != text && c - text <= REQUEST_ID_BYTES_MAX;
}
