#ifndef BF_CONTROL_MESSAGE_H
#define BF_CONTROL_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "base/digest.h"
#include "base/error.h"

/*
 * The messages between nodes.  A message is a flat run of MessagePack scalars
 * (unsigned integers, strings, byte strings), without arrays or maps: what a
 * decoder must allocate is therefore never stated by the sender.  It begins
 * with the protocol's number, the kind and the name of the sending instance.
 */

#define BF_MESSAGE_PROTOCOL 1
#define BF_MESSAGE_BYTES_MAX ((size_t)6 * 1024 * 1024)

typedef enum bf_message_kind {
	BF_MESSAGE_HELLO = 1,     /* own record, on a new connection */
	BF_MESSAGE_WELCOME = 2,   /* the answer: record and the other's floor */
	BF_MESSAGE_HEARTBEAT = 3, /* alive; digests of everything held */
	BF_MESSAGE_CHANGES = 4,   /* entries of the replicated table */
	BF_MESSAGE_PULL = 5,      /* bucket digests: send what differs */
	BF_MESSAGE_BUSY = 6,      /* a pull refused: ask somebody else */
	BF_MESSAGE_VERSIONS = 7,  /* who runs which configuration version */
	BF_MESSAGE_VERSIONS_PULL = 8,
	BF_MESSAGE_UNLINK = 9,    /* no longer a neighbour, nothing wrong */
	BF_MESSAGE_ANNOUNCE = 16, /* version and digest in force */
	BF_MESSAGE_GET = 17,      /* wants a newer configuration than base */
	BF_MESSAGE_DELTA = 18,    /* on the base asked for */
	BF_MESSAGE_SNAPSHOT = 19, /* whole */
	BF_MESSAGE_REFUSED = 20,  /* a GET refused: ask somebody else */
	BF_MESSAGE_DIRECT = 32    /* for the caller of the library */
} bf_message_kind_t;

/* Reads one message; the first failure stays and every later read is empty. */
typedef struct bf_reader {
	const char *data;
	size_t data_bytes;
	size_t offset;
	bf_code_t code;
} bf_wire_reader_t;

void bf_wire_reader_init(
    bf_wire_reader_t *reader, const void *data, size_t data_bytes);

/* An unsigned integer up to max; a greater one fails with BF_ERR_RANGE. */
uint64_t bf_wire_read_uint(bf_wire_reader_t *reader, uint64_t max);

/* A string without NUL that fits out with its NUL; out is "" on failure. */
void bf_wire_read_text(bf_wire_reader_t *reader, char *out, size_t out_bytes);

/* A byte string up to max bytes; points into the message. */
const void *bf_wire_read_bytes(
    bf_wire_reader_t *reader, size_t max, size_t *bytes);

/* A digest, as two integers. */
bf_digest_t bf_wire_read_digest(bf_wire_reader_t *reader);

/* True at the end of the message or after a failure. */
bool bf_wire_reader_done(const bf_wire_reader_t *reader);

/* Writes one message. */
typedef struct bf_writer {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
} bf_wire_writer_t;

void bf_wire_writer_init(bf_wire_writer_t *writer);
void bf_wire_writer_free(bf_wire_writer_t *writer);
void bf_wire_writer_clear(bf_wire_writer_t *writer);
void bf_wire_write_uint(bf_wire_writer_t *writer, uint64_t value);
void bf_wire_write_text(bf_wire_writer_t *writer, const char *text);
void bf_wire_write_bytes(
    bf_wire_writer_t *writer, const void *data, size_t bytes);

void bf_wire_write_digest(bf_wire_writer_t *writer, bf_digest_t digest);

/* Begins a message: protocol, kind, sender. */
void bf_wire_write_header(
    bf_wire_writer_t *writer, bf_message_kind_t kind, const char *sender);

/*
 * Reads what bf_wire_write_header wrote; sender has BF_NAME_BYTES.
 * BF_ERR_PARSE, or BF_ERR_RANGE for another protocol or an unknown kind.
 */
bf_code_t bf_wire_read_header(
    bf_wire_reader_t *reader, bf_message_kind_t *kind, char *sender);

#endif
