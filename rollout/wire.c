#include <math.h>
#include <string.h>

#include "rollout/wire.h"

/* First bytes of MessagePack scalars; see its specification. */
#define HEAD_FIXINT_LAST 0x7f
#define HEAD_FIXSTR_FIRST 0xa0
#define HEAD_FIXSTR_LAST 0xbf
#define HEAD_FLOAT64 0xcb
#define HEAD_UINT8 0xcc
#define HEAD_UINT64 0xcf
#define HEAD_STR8 0xd9
#define HEAD_STR16 0xda

#define ZONE_CHUNK_BYTES 256

static int
append(void *ctx, const char *data, size_t data_bytes)
{
	bf_tally_wire_writer_t *writer = ctx;

	if (writer->failed ||
	    data_bytes > writer->capacity - writer->size_bytes) {
		writer->failed = true;
		return -1;
	}
	memcpy(writer->buffer + writer->size_bytes, data, data_bytes);
	writer->size_bytes += data_bytes;
	return 0;
}

void
bf_tally_wire_writer_init(
    bf_tally_wire_writer_t *writer, void *buffer, size_t capacity)
{
	writer->buffer = buffer;
	writer->capacity = capacity;
	writer->size_bytes = 0;
	writer->failed = false;
	msgpack_packer_init(&writer->packer, writer, append);
}

void
bf_tally_wire_put_uint(bf_tally_wire_writer_t *writer, uint64_t value)
{
	msgpack_pack_uint64(&writer->packer, value);
}

void
bf_tally_wire_put_double(bf_tally_wire_writer_t *writer, double value)
{
	msgpack_pack_double(&writer->packer, value);
}

void
bf_tally_wire_put_text(bf_tally_wire_writer_t *writer, const char *text)
{
	size_t text_bytes = strlen(text);

	msgpack_pack_str(&writer->packer, text_bytes);
	msgpack_pack_str_body(&writer->packer, text, text_bytes);
}

bool
bf_tally_wire_reader_init(
    bf_tally_wire_reader_t *reader, const void *data, size_t data_bytes)
{
	reader->data = data;
	reader->data_bytes = data_bytes;
	reader->offset = 0;
	reader->failed = false;
	return msgpack_zone_init(&reader->zone, ZONE_CHUNK_BYTES);
}

bool
bf_tally_wire_reader_finish(bf_tally_wire_reader_t *reader)
{
	msgpack_zone_destroy(&reader->zone);
	return !reader->failed && reader->offset == reader->data_bytes;
}

/*
 * Only scalars are passed to the library's decoder, as it allocates nothing
 * for them.
 */
static bool
is_scalar(uint8_t head)
{
	return head <= HEAD_FIXINT_LAST ||
	    (head >= HEAD_FIXSTR_FIRST && head <= HEAD_FIXSTR_LAST) ||
	    head == HEAD_FLOAT64 ||
	    (head >= HEAD_UINT8 && head <= HEAD_UINT64) || head == HEAD_STR8 ||
	    head == HEAD_STR16;
}

static bool
read_scalar(bf_tally_wire_reader_t *reader, msgpack_object_type type,
    msgpack_object *object)
{
	msgpack_unpack_return unpacked;

	if (reader->failed)
		return false;
	reader->failed = true;
	if (reader->offset >= reader->data_bytes ||
	    !is_scalar((uint8_t)reader->data[reader->offset]))
		return false;
	unpacked = msgpack_unpack(reader->data, reader->data_bytes,
	    &reader->offset, &reader->zone, object);
	if (unpacked != MSGPACK_UNPACK_SUCCESS &&
	    unpacked != MSGPACK_UNPACK_EXTRA_BYTES)
		return false;
	reader->failed = object->type != type;
	return !reader->failed;
}

uint64_t
bf_tally_wire_get_uint(bf_tally_wire_reader_t *reader, uint64_t max)
{
	msgpack_object object;

	if (!read_scalar(reader, MSGPACK_OBJECT_POSITIVE_INTEGER, &object))
		return 0;
	if (object.via.u64 > max) {
		reader->failed = true;
		return 0;
	}
	return object.via.u64;
}

double
bf_tally_wire_get_double(bf_tally_wire_reader_t *reader)
{
	msgpack_object object;

	if (!read_scalar(reader, MSGPACK_OBJECT_FLOAT64, &object))
		return 0;
	if (!isfinite(object.via.f64)) {
		reader->failed = true;
		return 0;
	}
	return object.via.f64;
}

void
bf_tally_wire_get_text(
    bf_tally_wire_reader_t *reader, char *text, size_t text_bytes)
{
	msgpack_object object;

	text[0] = '\0';
	if (!read_scalar(reader, MSGPACK_OBJECT_STR, &object))
		return;
	if (object.via.str.size >= text_bytes ||
	    memchr(object.via.str.ptr, '\0', object.via.str.size) != NULL) {
		reader->failed = true;
		return;
	}
	memcpy(text, object.via.str.ptr, object.via.str.size);
	text[object.via.str.size] = '\0';
}

/*
 * Encoding of a tally: calls, failures, index of the first bucket that is not
 * zero, number of buckets from there to the last one that is not zero, and
 * their counts.
 */
void
bf_tally_wire_put_tally(bf_tally_wire_writer_t *writer, const bf_tally_t *tally)
{
	uint32_t first, end, k;

	first = 0;
	while (first < BF_TALLY_BUCKETS && tally->latency[first] == 0)
		first++;
	end = BF_TALLY_BUCKETS;
	while (end > first && tally->latency[end - 1] == 0)
		end--;
	bf_tally_wire_put_uint(writer, tally->calls);
	bf_tally_wire_put_uint(writer, tally->failures);
	bf_tally_wire_put_uint(writer, first);
	bf_tally_wire_put_uint(writer, end - first);
	for (k = first; k < end; k++)
		bf_tally_wire_put_uint(writer, tally->latency[k]);
}

void
bf_tally_wire_get_tally(bf_tally_wire_reader_t *reader, bf_tally_t *tally)
{
	uint32_t first, count, k;
	uint64_t timed;

	*tally = (bf_tally_t){ 0 };
	tally->calls = bf_tally_wire_get_uint(reader, BF_TALLY_COUNT_MAX);
	tally->failures = bf_tally_wire_get_uint(reader, tally->calls);
	first = (uint32_t)bf_tally_wire_get_uint(reader, BF_TALLY_BUCKETS);
	count =
	    (uint32_t)bf_tally_wire_get_uint(reader, BF_TALLY_BUCKETS - first);
	timed = 0;
	for (k = first; k < first + count && !reader->failed; k++) {
		tally->latency[k] =
		    bf_tally_wire_get_uint(reader, tally->calls - timed);
		timed += tally->latency[k];
	}
}
