#ifndef BF_PROXY_HEADERS_H
#define BF_PROXY_HEADERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proxy/proxy.h"

/*
 * HTTP heads: a list of headers in one buffer, the checks that a hostile head
 * does not pass, and what is not passed on from hop to hop.
 */

#define BF_HEADERS_BYTES_MAX ((size_t)32 * 1024)
#define BF_HEADERS_COUNT_MAX 128

/* Offsets, since the buffer moves as it grows. */
typedef struct bf_header_entry {
	uint32_t name;
	uint32_t value;
} bf_header_entry_t;

typedef struct bf_headers {
	char *buffer;
	size_t used;
	size_t capacity;
	bf_header_entry_t entries[BF_HEADERS_COUNT_MAX];
	uint32_t count;
} bf_headers_t;

/* Adds a copy; false over the limits above or without memory. */
bool bf_headers_add(bf_headers_t *headers, const char *name, size_t name_bytes,
    const char *value, size_t value_bytes);

const char *bf_headers_name(const bf_headers_t *headers, uint32_t index);
const char *bf_headers_value(const bf_headers_t *headers, uint32_t index);

/* The first value of a name, upper and lower case alike, or NULL. */
const char *bf_headers_find(const bf_headers_t *headers, const char *name);
uint32_t bf_headers_count(const bf_headers_t *headers, const char *name);

/* Forgets all headers and keeps the buffer. */
void bf_headers_reset(bf_headers_t *headers);
void bf_headers_clear(bf_headers_t *headers);

/* What the head says about the body. */
typedef enum bf_framing {
	BF_FRAMING_NONE,
	BF_FRAMING_LENGTH,
	BF_FRAMING_CHUNKED
} bf_framing_t;

/*
 * Reads Content-Length and Transfer-Encoding; false for repeated, clashing,
 * unknown or malformed ones (RFC 9112, section 6).
 */
bool bf_headers_framing(
    const bf_headers_t *headers, bf_framing_t *framing, uint64_t *body_bytes);

/* Whether names are tokens and values free of control characters. */
bool bf_headers_valid(const bf_headers_t *headers);
bool bf_request_method_valid(const char *method);

/* Origin form without control characters or spaces. */
bool bf_request_target_valid(const char *request_target);

/*
 * Whether header index must not be passed on: hop-by-hop (RFC 9110, section
 * 7.6.1), named by Connection, about framing, or one of the mesh's own.
 */
bool bf_headers_is_per_hop(const bf_headers_t *headers, uint32_t index);

/* Decimal without sign or blanks; false otherwise or above max. */
bool bf_number_parse(const char *text, uint64_t max, uint64_t *value);

/* Whether text may serve as a request id. */
bool bf_request_id_valid(const char *text);

#endif
