#ifndef BF_HTTP_MESSAGE_H
#define BF_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <http_parser.h>

#include "base/bytes.h"

/*
 * One HTTP/1.1 message, held whole: its head as name and value texts in the
 * order they came, and its body without framing.
 */

#define BF_HTTP_FIELDS_MAX 100

typedef struct bf_http_field {
	uint32_t name; /* offsets into text */
	uint32_t value;
} bf_http_field_t;

typedef struct bf_http_message {
	bf_bytes_t text; /* the request target, names and values, each ended
			  * by a NUL */
	bf_http_field_t fields[BF_HTTP_FIELDS_MAX];
	uint32_t field_count;
	uint32_t method; /* of http_parser; requests */
	uint32_t status; /* responses */
	bf_bytes_t body;
	bool keep_alive;
	bool until_close; /* the end of the connection ends the body */
} bf_http_message_t;

bf_http_message_t *bf_http_message_new(void);
void bf_http_message_free(bf_http_message_t *message);

/* "" for a response. */
const char *bf_http_target(const bf_http_message_t *message);
const char *bf_http_name(const bf_http_message_t *message, uint32_t field);
const char *bf_http_value(const bf_http_message_t *message, uint32_t field);

/* The value of the first field of that name, or NULL. */
const char *bf_http_find(const bf_http_message_t *message, const char *name);

/* A decimal number without sign; otherwise for anything else. */
uint64_t bf_http_number(const char *text, uint64_t otherwise);

/*
 * Whether a field concerns one connection only (RFC 9110, 7.6.1), also by
 * being named in the message's Connection field.
 */
bool bf_http_hop_by_hop(const bf_http_message_t *message, const char *name);

/* Reads messages from the bytes of one connection. */
typedef struct bf_http_reader bf_http_reader_t;

typedef enum bf_http_fault {
	BF_HTTP_OK,
	BF_HTTP_MALFORMED,
	BF_HTTP_HEAD_TOO_LARGE,
	BF_HTTP_BODY_TOO_LARGE,
	BF_HTTP_NO_MEMORY
} bf_http_fault_t;

typedef struct bf_http_reader_vtable {
	/* The head was read; may be NULL. */
	void (*head)(bf_http_reader_t *reader, bf_http_message_t *message);
	/* The whole message; its owner is now the callee. */
	void (*message)(bf_http_reader_t *reader, bf_http_message_t *message);
} bf_http_reader_vtable_t;

struct bf_http_reader {
	const bf_http_reader_vtable_t *vtable;
	http_parser parser;
	bf_http_message_t *message; /* being read, or NULL */
	uint64_t head_bytes_max;
	uint64_t body_bytes_max;
	uint64_t head_bytes;
	bf_http_fault_t fault;
	bool in_value; /* the last piece of a head was a value */
	bool one;      /* stop after one message */
	bool no_body;  /* responses: to a HEAD request */
	bool extra;    /* with one: bytes came after the message */
};

/* requests: whether the messages are requests.  vtable is the first member. */
void bf_http_reader_init(bf_http_reader_t *reader,
    const bf_http_reader_vtable_t *vtable, bool requests);
void bf_http_reader_clear(bf_http_reader_t *reader);

/* Takes bytes that came.  After a fault the reader takes nothing more. */
bf_http_fault_t bf_http_reader_feed(
    bf_http_reader_t *reader, const uint8_t *data, size_t bytes);

/* The connection ended orderly: completes a body that ends with it. */
void bf_http_reader_finish(bf_http_reader_t *reader);

#endif
