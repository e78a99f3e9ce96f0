#ifndef BF_CONTROL_MESSAGE_H
#define BF_CONTROL_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "base/digest.h"
#include "base/error.h"

/*
 * Encoding of the messages between nodes.  A message is a sequence of
 * MessagePack scalars (unsigned integers, strings, byte strings) without arrays
 * or maps, so no length stated by the sender makes the decoder allocate memory.
 * It begins with a header: protocol version, message kind and the name of the
 * sending instance.
 */

#define BF_MESSAGE_PROTOCOL 1
#define BF_MESSAGE_BYTES_MAX ((size_t)6 * 1024 * 1024)

typedef enum bf_message_kind {
	BF_MESSAGE_HELLO = 1,     /* sender's record, on a new connection */
	BF_MESSAGE_WELCOME = 2,   /* reply to HELLO: record, receiver's floor */
	BF_MESSAGE_HEARTBEAT = 3, /* liveness; digests of the tables */
	BF_MESSAGE_CHANGES = 4,   /* entries of the replicated table */
	BF_MESSAGE_PULL = 5,      /* bucket digests; requests what differs */
	BF_MESSAGE_BUSY = 6,      /* PULL refused; try another peer */
	BF_MESSAGE_VERSIONS = 7,  /* configuration versions of instances */
	BF_MESSAGE_VERSIONS_PULL = 8,
	BF_MESSAGE_UNLINK = 9,    /* no longer a neighbour; not a failure */
	BF_MESSAGE_ANNOUNCE = 16, /* version and digest in force */
	BF_MESSAGE_GET = 17,      /* requests a newer configuration than base */
	BF_MESSAGE_DELTA = 18,    /* delta against the base of the GET */
	BF_MESSAGE_SNAPSHOT = 19, /* full snapshot */
	BF_MESSAGE_REFUSED = 20,  /* GET refused; try another peer */
	BF_MESSAGE_DIRECT = 32    /* passed to the library's caller */
} bf_message_kind_t;

/*
 * Reads the scalars of one message in order.  After the first failure code
 * keeps its value, and every further read returns an empty value.
 */
typedef struct bf_wire_reader {
	const char *data;
	size_t data_bytes;
	size_t offset;
	bf_code_t code;
} bf_wire_reader_t;

void bf_wire_reader_init(
    bf_wire_reader_t *reader, const void *data, size_t data_bytes);

/* Reads an unsigned integer; fails with BF_ERR_RANGE if greater than max. */
uint64_t bf_wire_read_uint(bf_wire_reader_t *reader, uint64_t max);

/*
 * Reads a string into out and terminates it; out is "" on failure.  Fails with
 * BF_ERR_TOO_LARGE if it does not fit, BF_ERR_PARSE if it has a NUL in it.
 */
void bf_wire_read_text(bf_wire_reader_t *reader, char *out, size_t out_bytes);

/*
 * Reads a byte string; the result points into the message.  Fails with
 * BF_ERR_TOO_LARGE if it is longer than bytes_max.
 */
const void *bf_wire_read_bytes(
    bf_wire_reader_t *reader, size_t bytes_max, size_t *bytes);

/* Reads a digest, which is encoded as two integers. */
bf_digest_t bf_wire_read_digest(bf_wire_reader_t *reader);

/* Whether the message is read to its end, or a read has failed. */
bool bf_wire_reader_done(const bf_wire_reader_t *reader);

/* Writes one message. */
typedef struct bf_wire_writer {
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

/* Writes the header; must come first in a message. */
void bf_wire_write_header(
    bf_wire_writer_t *writer, bf_message_kind_t kind, const char *sender);

/*
 * Reads the header; sender has room for BF_NAME_BYTES.  BF_ERR_PARSE, or
 * BF_ERR_RANGE for another protocol version or an unknown kind.
 */
bf_code_t bf_wire_read_header(
    bf_wire_reader_t *reader, bf_message_kind_t *kind, char *sender);

#endif
