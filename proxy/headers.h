#ifndef BF_PROXY_HEADERS_H
#define BF_PROXY_HEADERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proxy/proxy.h"

/*
 * HTTP headers: a list of them in one buffer, the checks that reject malformed
 * requests and responses, and the choice of the headers to forward.
 */

#define BF_HEADERS_BYTES_MAX ((size_t)32 * 1024)
#define BF_HEADERS_COUNT_MAX 128

/* Offsets into the buffer, which moves as it grows. */
typedef struct bf_header_entry {
	uint32_t name_offset;
	uint32_t value_offset;
} bf_header_entry_t;

typedef struct bf_headers {
	char *buffer;
	size_t used;
	size_t capacity;
	bf_header_entry_t entries[BF_HEADERS_COUNT_MAX];
	uint32_t count;
} bf_headers_t;

/* Adds a copy; false above the limits or when out of memory. */
bool bf_headers_add(bf_headers_t *headers, const char *name, size_t name_bytes,
    const char *value, size_t value_bytes);

const char *bf_headers_name(const bf_headers_t *headers, uint32_t index);
const char *bf_headers_value(const bf_headers_t *headers, uint32_t index);

/* The first value of a name, compared without case, or NULL. */
const char *bf_headers_find(const bf_headers_t *headers, const char *name);
uint32_t bf_headers_count(const bf_headers_t *headers, const char *name);

/* Removes all headers and keeps the buffer. */
void bf_headers_reset(bf_headers_t *headers);
/* Removes all headers and frees the buffer. */
void bf_headers_clear(bf_headers_t *headers);

/* How the end of a message body is found. */
typedef enum bf_framing {
	BF_FRAMING_NONE,
	BF_FRAMING_LENGTH,
	BF_FRAMING_CHUNKED
} bf_framing_t;

/*
 * Reads Content-Length and Transfer-Encoding; false when they are repeated,
 * contradictory, unknown or malformed (RFC 9112, section 6).
 */
bool bf_headers_framing(
    const bf_headers_t *headers, bf_framing_t *framing, uint64_t *body_bytes);

/*
 * Whether names are tokens, values are free of control characters and there is
 * at most one Host.
 */
bool bf_headers_valid(const bf_headers_t *headers);
bool bf_request_method_valid(const char *method);

/* Whether it is in origin form without control characters or spaces. */
bool bf_request_target_valid(const char *request_target);

/*
 * Whether the header belongs to one hop and must not be forwarded: hop-by-hop
 * (RFC 9110, section 7.6.1), named by Connection, about framing, or one that
 * each proxy sets itself.
 */
bool bf_headers_is_per_hop(const bf_headers_t *headers, uint32_t index);

/* Parses decimal digits only; false for anything else or above max. */
bool bf_number_parse(const char *text, uint64_t max, uint64_t *value);

/* Whether text is valid as a request id. */
bool bf_request_id_valid(const char *text);

#endif
