#ifndef BF_ROLLOUT_WIRE_H
#define BF_ROLLOUT_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "rollout/evidence.h"

/*
 * Flat MessagePack: a message is a sequence of scalars without arrays or
 * maps, so that no length in a hostile message makes the decoder allocate.
 * The writer and the reader stop at the first failure and record it in
 * `failed`.
 */

typedef struct bf_tally_wire_writer {
	msgpack_packer packer;
	char *buffer;
	size_t capacity;
	size_t size_bytes;
	bool failed; /* the buffer was too small */
} bf_tally_wire_writer_t;

typedef struct bf_tally_wire_reader {
	const char *data;
	size_t data_bytes;
	size_t offset;
	msgpack_zone zone;
	bool failed; /* wrong type, out of range or truncated */
} bf_tally_wire_reader_t;

/* The initialized writer holds a pointer to itself and must not be moved. */
void bf_tally_wire_writer_init(
    bf_tally_wire_writer_t *writer, void *buffer, size_t capacity);
void bf_tally_wire_put_uint(bf_tally_wire_writer_t *writer, uint64_t value);
void bf_tally_wire_put_double(bf_tally_wire_writer_t *writer, double value);
void bf_tally_wire_put_text(bf_tally_wire_writer_t *writer, const char *text);

/* Returns false when out of memory. */
bool bf_tally_wire_reader_init(
    bf_tally_wire_reader_t *reader, const void *data, size_t data_bytes);

/* Returns true when all bytes were read without a failure. */
bool bf_tally_wire_reader_finish(bf_tally_wire_reader_t *reader);

/* Reads an unsigned integer of at most max; returns 0 after a failure. */
uint64_t bf_tally_wire_get_uint(bf_tally_wire_reader_t *reader, uint64_t max);

/* Reads a finite number; returns 0 after a failure. */
double bf_tally_wire_get_double(bf_tally_wire_reader_t *reader);

/* Reads a string without NUL, shorter than text_bytes; "" after a failure. */
void bf_tally_wire_get_text(
    bf_tally_wire_reader_t *reader, char *text, size_t text_bytes);

/* Greatest number of calls that a tally in a message may have. */
#define BF_TALLY_COUNT_MAX (UINT64_C(1) << 56)

void bf_tally_wire_put_tally(
    bf_tally_wire_writer_t *writer, const bf_tally_t *tally);

/* Fails for a tally with more failures or counted latencies than calls. */
void bf_tally_wire_get_tally(bf_tally_wire_reader_t *reader, bf_tally_t *tally);

#endif
