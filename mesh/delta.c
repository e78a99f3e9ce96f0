#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "control/message.h"
#include "mesh/delta.h"

/*
 * MessagePack scalars: for each step the length of a copy and where it begins
 * in the old text, then the bytes that follow it.
 */

/* Shorter pieces are everywhere, so that finding one tells nothing. */
#define PIECE_BYTES_MIN 16
/* A piece without an end of its own is cut here. */
#define PIECE_BYTES_MAX 512
/* Of pieces that are alike so many are known: bounds the time of a search. */
#define ALIKE_MAX 4

typedef struct bf_piece {
	uint64_t hash;
	size_t start;
	size_t bytes; /* 0: the entry is free */
} bf_piece_t;

typedef struct bf_pieces {
	bf_piece_t *table;
	size_t mask; /* number of entries less 1 */
} bf_pieces_t;

static uint64_t
hash_of(const uint8_t *data, size_t bytes)
{
	return bf_digest_of(data, bytes).low;
}

static size_t
piece_bytes(const uint8_t *data, size_t left)
{
	size_t i;

	for (i = 0; i < left && i < PIECE_BYTES_MAX; i++) {
		if (i + 1 >= PIECE_BYTES_MIN &&
		    (data[i] == '}' || data[i] == '\n'))
			return i + 1;
	}
	return i;
}

static void
add_piece(bf_pieces_t *pieces, const bf_piece_t *piece)
{
	size_t slot = piece->hash & pieces->mask;
	uint32_t alike = 0;

	while (pieces->table[slot].bytes != 0) {
		alike += pieces->table[slot].hash == piece->hash ? 1 : 0;
		if (alike == ALIKE_MAX)
			return;
		slot = (slot + 1) & pieces->mask;
	}
	pieces->table[slot] = *piece;
}

static bool
index_pieces(bf_pieces_t *pieces, const uint8_t *data, size_t bytes)
{
	size_t count = 0, at, n;

	for (at = 0; at < bytes; at += piece_bytes(data + at, bytes - at))
		count++;
	pieces->mask = 1;
	while (pieces->mask < 2 * count)
		pieces->mask = 2 * pieces->mask + 1;
	pieces->table = calloc(pieces->mask + 1, sizeof(*pieces->table));
	if (pieces->table == NULL)
		return false;
	for (at = 0; at < bytes; at += n) {
		n = piece_bytes(data + at, bytes - at);
		add_piece(pieces,
		    &(bf_piece_t){ .hash = hash_of(data + at, n),
			.start = at,
			.bytes = n });
	}
	return true;
}

/* Where the piece stands in the old text, at or after hint if it can be. */
static const bf_piece_t *
find_piece(const bf_pieces_t *pieces, const uint8_t *old, const uint8_t *data,
    size_t bytes, size_t hint)
{
	uint64_t hash = hash_of(data, bytes);
	size_t slot = hash & pieces->mask;
	const bf_piece_t *found = NULL, *piece;

	for (; pieces->table[slot].bytes != 0;
	     slot = (slot + 1) & pieces->mask) {
		piece = &pieces->table[slot];
		if (piece->hash != hash || piece->bytes != bytes ||
		    memcmp(old + piece->start, data, bytes) != 0)
			continue;
		if (found == NULL ||
		    (found->start < hint && piece->start >= hint))
			found = piece;
		if (found->start >= hint)
			break;
	}
	return found;
}

static size_t
common_bytes(const uint8_t *a, size_t a_bytes, const uint8_t *b, size_t b_bytes)
{
	size_t n = 0;

	while (n < a_bytes && n < b_bytes && a[n] == b[n])
		n++;
	return n;
}

bf_code_t
bf_delta_make(const bf_bytes_t *old, const bf_bytes_t *new, bf_bytes_t *out)
{
	const uint8_t *from = bf_bytes_at(old), *to = bf_bytes_at(new);
	size_t from_bytes = bf_bytes_count(old), to_bytes = bf_bytes_count(new);
	size_t at = 0, copied, added, n, hint = 0, source = 0;
	const bf_piece_t *piece;
	bf_wire_writer_t writer;
	bf_pieces_t pieces;

	if (!index_pieces(&pieces, from, from_bytes))
		return BF_ERR_MEMORY;
	bf_wire_writer_init(&writer);
	/* Texts that begin alike need no piece to be found. */
	copied = common_bytes(from, from_bytes, to, to_bytes);
	while (at < to_bytes) {
		hint = source + copied;
		for (added = 0, piece = NULL; at + copied + added < to_bytes;
		     added += n) {
			n = piece_bytes(to + at + copied + added,
			    to_bytes - at - copied - added);
			piece = find_piece(
			    &pieces, from, to + at + copied + added, n, hint);
			if (piece != NULL)
				break;
		}
		bf_wire_write_uint(&writer, copied);
		bf_wire_write_uint(&writer, source);
		bf_wire_write_bytes(&writer, to + at + copied, added);
		at += copied + added;
		if (piece == NULL)
			break;
		source = piece->start;
		copied = common_bytes(
		    from + source, from_bytes - source, to + at, to_bytes - at);
	}
	bf_bytes_add(out, writer.buffer.data, writer.buffer.size);
	bf_wire_writer_free(&writer);
	free(pieces.table);
	return out->failed ? BF_ERR_MEMORY : BF_OK;
}

bf_code_t
bf_delta_apply(const bf_bytes_t *old, const void *delta, size_t delta_bytes,
    size_t most_bytes, bf_bytes_t *out)
{
	size_t old_bytes = bf_bytes_count(old), added;
	bf_wire_reader_t reader;
	uint64_t copied, source;
	const void *bytes;

	bf_wire_reader_init(&reader, delta, delta_bytes);
	while (!bf_wire_reader_done(&reader)) {
		copied = bf_wire_read_uint(&reader, old_bytes);
		source = bf_wire_read_uint(&reader, old_bytes);
		bytes = bf_wire_read_bytes(&reader, most_bytes, &added);
		if (reader.code != BF_OK || copied > old_bytes - source ||
		    bf_bytes_count(out) + copied + added > most_bytes)
			return BF_ERR_PARSE;
		bf_bytes_add(out, bf_bytes_at(old) + source, copied);
		bf_bytes_add(out, bytes, added);
	}
	return out->failed ? BF_ERR_MEMORY : BF_OK;
}
