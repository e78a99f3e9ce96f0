#ifndef BF_HTTP_MESSAGE_H
#define BF_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <http_parser.h>

#include "base/bytes.h"
#include "memory/budget.h"

/*
 * A complete HTTP/1.1 message: its header fields as names and values in the
 * order received, and its body without framing.  Trailer fields are discarded:
 * they must not become header fields (RFC 9110, 6.5.1), and a body that is sent
 * on with its length has none.
 */

#define BF_HTTP_FIELDS_MAX 100

typedef struct bf_http_field {
	uint32_t name; /* offsets into text */
	uint32_t value;
} bf_http_field_t;

typedef struct bf_http_message {
	/* The request target, then names and values, all NUL-terminated. */
	bf_bytes_t text;
	bf_http_field_t fields[BF_HTTP_FIELDS_MAX];
	uint32_t field_count;
	uint32_t method; /* requests: the http_parser constant */
	uint32_t status; /* responses */
	bf_bytes_t body;
	bf_memory_charge_t charge;
	uint32_t holders; /* besides the owner */
	bool keep_alive;
	bool until_close; /* body is delimited by connection close */
} bf_http_message_t;

bf_http_message_t *bf_http_message_new(void);
/* Frees the message once as many have called it as hold it, and its owner. */
void bf_http_message_free(bf_http_message_t *message);
/* Shares the message, which must not change any more. */
bf_http_message_t *bf_http_message_hold(bf_http_message_t *message);
/* Counts what the message holds, after a change of its body. */
void bf_http_message_update_charge(bf_http_message_t *message);

/* The request target; "" for a response. */
const char *bf_http_target(const bf_http_message_t *message);
const char *bf_http_name(const bf_http_message_t *message, uint32_t field);
const char *bf_http_value(const bf_http_message_t *message, uint32_t field);

/* The value of the first field of that name, or NULL. */
const char *bf_http_find(const bf_http_message_t *message, const char *name);

/* Parses an unsigned decimal number; default_value for any other text. */
uint64_t bf_http_number(const char *text, uint64_t default_value);

/*
 * Whether a field applies to one connection only (RFC 9110, 7.6.1), either by
 * its name or because the Connection field of the message lists it.
 */
bool bf_http_hop_by_hop(const bf_http_message_t *message, const char *name);

/* Parses the messages of one connection from its byte stream. */
typedef struct bf_http_reader bf_http_reader_t;

typedef enum bf_http_fault {
	BF_HTTP_OK,
	BF_HTTP_MALFORMED,
	BF_HTTP_HEAD_TOO_LARGE,
	BF_HTTP_BODY_TOO_LARGE,
	BF_HTTP_NO_MEMORY
} bf_http_fault_t;

typedef struct bf_http_reader_vtable {
	/* The head is complete; may be NULL. */
	void (*head)(bf_http_reader_t *reader, bf_http_message_t *message);
	/* The message is complete; the callee owns it. */
	void (*message)(bf_http_reader_t *reader, bf_http_message_t *message);
} bf_http_reader_vtable_t;

struct bf_http_reader {
	const bf_http_reader_vtable_t *vtable;
	http_parser parser;
	bf_http_message_t *message; /* being parsed, or NULL */
	uint64_t head_bytes_max;    /* of the head, and of all trailer fields */
	uint64_t body_bytes_max;
	uint64_t head_bytes;
	uint32_t status_line_bytes; /* of a response, checked so far */
	bf_memory_budget_t *budget; /* holds the messages; may be NULL */
	bf_memory_side_t side;
	uint32_t interim_count; /* responses of status 1xx */
	bf_http_fault_t fault;
	bool in_value;         /* the last piece of the head was a value */
	bool in_trailers;      /* the head is complete */
	bool single_message;   /* stop after the first message */
	bool response_to_head; /* the response to a HEAD request has no body */
	bool after_interim;    /* the next response has not begun */
	bool has_trailing_bytes; /* after a single_message */
	bool paused;             /* see bf_http_reader_pause */
	size_t used_bytes;       /* of the last feed */
};

/* Parses requests, or responses when requests is false. */
void bf_http_reader_init(bf_http_reader_t *reader,
    const bf_http_reader_vtable_t *vtable, bool requests);
void bf_http_reader_clear(bf_http_reader_t *reader);

/* Parses received bytes.  After a fault all further bytes are ignored. */
bf_http_fault_t bf_http_reader_feed(
    bf_http_reader_t *reader, const uint8_t *data, size_t bytes);

/*
 * To be called when a message is complete: the current feed ends behind it, at
 * used_bytes, and the next one goes on.
 */
void bf_http_reader_pause(bf_http_reader_t *reader);

/* Reports an orderly close, which ends a body without a length. */
void bf_http_reader_finish(bf_http_reader_t *reader);

#endif
