#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "control/message.h"
#include "mesh/delta.h"

/*
 * A delta is a sequence of MessagePack scalars, three for each step: the number
 * of bytes to copy, their offset in the old text, and the new bytes to append
 * after them.
 */

/* Shorter chunks occur so often that a match is not significant. */
#define CHUNK_BYTES_MIN 16
/* A chunk without a delimiter ends here. */
#define CHUNK_BYTES_MAX 512
/* Maximum number of identical chunks indexed, to bound the search time. */
#define IDENTICAL_MAX 4

typedef struct bf_text_chunk {
	uint64_t hash;
	size_t start;
	size_t bytes; /* 0: the entry is unused */
} bf_text_chunk_t;

typedef struct bf_chunk_index {
	bf_text_chunk_t *table;
	size_t mask; /* size of the table - 1; the size is a power of 2 */
} bf_chunk_index_t;

static uint64_t
hash_of(const uint8_t *data, size_t bytes)
{
	return bf_digest_of(data, bytes).low;
}

static size_t
chunk_bytes(const uint8_t *data, size_t remaining)
{
	size_t i;

	for (i = 0; i < remaining && i < CHUNK_BYTES_MAX; i++) {
		if (i + 1 >= CHUNK_BYTES_MIN &&
		    (data[i] == '}' || data[i] == '\n'))
			return i + 1;
	}
	return i;
}

static void
index_chunk(bf_chunk_index_t *index, const bf_text_chunk_t *chunk)
{
	size_t slot = chunk->hash & index->mask;
	uint32_t identical = 0;

	while (index->table[slot].bytes != 0) {
		identical += index->table[slot].hash == chunk->hash ? 1 : 0;
		if (identical == IDENTICAL_MAX)
			return;
		slot = (slot + 1) & index->mask;
	}
	index->table[slot] = *chunk;
}

static bool
index_chunks(bf_chunk_index_t *index, const uint8_t *data, size_t bytes)
{
	size_t count = 0, at, n;

	for (at = 0; at < bytes; at += chunk_bytes(data + at, bytes - at))
		count++;
	index->mask = 1;
	while (index->mask < 2 * count)
		index->mask = 2 * index->mask + 1;
	index->table = calloc(index->mask + 1, sizeof(*index->table));
	if (index->table == NULL)
		return false;
	for (at = 0; at < bytes; at += n) {
		n = chunk_bytes(data + at, bytes - at);
		index_chunk(index,
		    &(bf_text_chunk_t){ .hash = hash_of(data + at, n),
			.start = at,
			.bytes = n });
	}
	return true;
}

/* Finds the chunk in the old text, preferably at offset hint or later. */
static const bf_text_chunk_t *
find_chunk(const bf_chunk_index_t *index, const uint8_t *old,
    const uint8_t *data, size_t bytes, size_t hint)
{
	uint64_t hash = hash_of(data, bytes);
	size_t slot = hash & index->mask;
	const bf_text_chunk_t *found = NULL, *chunk;

	for (; index->table[slot].bytes != 0; slot = (slot + 1) & index->mask) {
		chunk = &index->table[slot];
		if (chunk->hash != hash || chunk->bytes != bytes ||
		    memcmp(old + chunk->start, data, bytes) != 0)
			continue;
		if (found == NULL ||
		    (found->start < hint && chunk->start >= hint))
			found = chunk;
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
	const uint8_t *from = bf_bytes_data(old), *to = bf_bytes_data(new);
	size_t from_bytes = bf_bytes_count(old), to_bytes = bf_bytes_count(new);
	size_t at = 0, copied, added, n, hint = 0, source = 0;
	const bf_text_chunk_t *chunk;
	bf_wire_writer_t writer;
	bf_chunk_index_t index;

	if (!index_chunks(&index, from, from_bytes))
		return BF_ERR_MEMORY;
	bf_wire_writer_init(&writer);
	/* A common prefix is copied without a search. */
	copied = common_bytes(from, from_bytes, to, to_bytes);
	while (at < to_bytes) {
		hint = source + copied;
		for (added = 0, chunk = NULL; at + copied + added < to_bytes;
		     added += n) {
			n = chunk_bytes(to + at + copied + added,
			    to_bytes - at - copied - added);
			chunk = find_chunk(
			    &index, from, to + at + copied + added, n, hint);
			if (chunk != NULL)
				break;
		}
		bf_wire_write_uint(&writer, copied);
		bf_wire_write_uint(&writer, source);
		bf_wire_write_bytes(&writer, to + at + copied, added);
		at += copied + added;
		if (chunk == NULL)
			break;
		source = chunk->start;
		copied = common_bytes(
		    from + source, from_bytes - source, to + at, to_bytes - at);
	}
	bf_bytes_add(out, writer.buffer.data, writer.buffer.size);
	bf_wire_writer_free(&writer);
	free(index.table);
	return out->failed ? BF_ERR_MEMORY : BF_OK;
}

bf_code_t
bf_delta_apply(const bf_bytes_t *old, const void *delta, size_t delta_bytes,
    size_t max_bytes, bf_bytes_t *out)
{
	size_t old_bytes = bf_bytes_count(old), added;
	bf_wire_reader_t reader;
	uint64_t copied, source;
	const void *bytes;

	bf_wire_reader_init(&reader, delta, delta_bytes);
	while (!bf_wire_reader_done(&reader)) {
		copied = bf_wire_read_uint(&reader, old_bytes);
		source = bf_wire_read_uint(&reader, old_bytes);
		bytes = bf_wire_read_bytes(&reader, max_bytes, &added);
		if (reader.code != BF_OK || copied > old_bytes - source ||
		    bf_bytes_count(out) + copied + added > max_bytes)
			return BF_ERR_PARSE;
		bf_bytes_add(out, bf_bytes_data(old) + source, copied);
		bf_bytes_add(out, bytes, added);
	}
	return out->failed ? BF_ERR_MEMORY : BF_OK;
}
