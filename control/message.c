#include <string.h>

#include "control/message.h"
#include "member/record.h"

#define KIND_NUMBER_MAX 255

void
bf_wire_reader_init(
    bf_wire_reader_t *reader, const void *data, size_t data_bytes)
{
	*reader = (bf_wire_reader_t){ .data = data, .data_bytes = data_bytes };
	if (data_bytes > BF_MESSAGE_BYTES_MAX)
		reader->code = BF_ERR_TOO_LARGE;
}

/*
 * Reads the next scalar of a type.  Arrays and maps are rejected by their first
 * byte before msgpack-c parses them, since it would allocate as many elements
 * as the sender states.
 */
static bool
read_scalar(
    bf_wire_reader_t *reader, msgpack_object_type type, msgpack_object *out)
{
	msgpack_unpack_return result;
	msgpack_unpacked item;
	uint8_t first;

	if (reader->code != BF_OK)
		return false;
	reader->code = BF_ERR_PARSE;
	if (reader->offset >= reader->data_bytes)
		return false;
	first = (uint8_t)reader->data[reader->offset];
	if ((first >= 0x80 && first <= 0x9f) ||
	    (first >= 0xdc && first <= 0xdf))
		return false;
	msgpack_unpacked_init(&item);
	result = msgpack_unpack_next(
	    &item, reader->data, reader->data_bytes, &reader->offset);
	*out = item.data;
	msgpack_unpacked_destroy(&item);
	if (result != MSGPACK_UNPACK_SUCCESS || out->type != type)
		return false;
	reader->code = BF_OK;
	return true;
}

uint64_t
bf_wire_read_uint(bf_wire_reader_t *reader, uint64_t max)
{
	msgpack_object item;

	if (!read_scalar(reader, MSGPACK_OBJECT_POSITIVE_INTEGER, &item))
		return 0;
	if (item.via.u64 > max) {
		reader->code = BF_ERR_RANGE;
		return 0;
	}
	return item.via.u64;
}

bf_digest_t
bf_wire_read_digest(bf_wire_reader_t *reader)
{
	bf_digest_t digest;

	digest.high = bf_wire_read_uint(reader, UINT64_MAX);
	digest.low = bf_wire_read_uint(reader, UINT64_MAX);
	return digest;
}

void
bf_wire_read_text(bf_wire_reader_t *reader, char *out, size_t out_bytes)
{
	msgpack_object item;

	out[0] = '\0';
	if (!read_scalar(reader, MSGPACK_OBJECT_STR, &item))
		return;
	if (item.via.str.size >= out_bytes) {
		reader->code = BF_ERR_TOO_LARGE;
		return;
	}
	if (item.via.str.size == 0) /* its pointer may be NULL */
		return;
	if (memchr(item.via.str.ptr, '\0', item.via.str.size) != NULL) {
		reader->code = BF_ERR_PARSE;
		return;
	}
	memcpy(out, item.via.str.ptr, item.via.str.size);
	out[item.via.str.size] = '\0';
}

const void *
bf_wire_read_bytes(bf_wire_reader_t *reader, size_t bytes_max, size_t *bytes)
{
	msgpack_object item;

	*bytes = 0;
	if (!read_scalar(reader, MSGPACK_OBJECT_BIN, &item))
		return "";
	if (item.via.bin.size > bytes_max) {
		reader->code = BF_ERR_TOO_LARGE;
		return "";
	}
	*bytes = item.via.bin.size;
	return item.via.bin.ptr;
}

bool
bf_wire_reader_done(const bf_wire_reader_t *reader)
{
	return reader->code != BF_OK || reader->offset >= reader->data_bytes;
}

void
bf_wire_writer_init(bf_wire_writer_t *writer)
{
	msgpack_sbuffer_init(&writer->buffer);
	msgpack_packer_init(
	    &writer->packer, &writer->buffer, msgpack_sbuffer_write);
}

void
bf_wire_writer_free(bf_wire_writer_t *writer)
{
	msgpack_sbuffer_destroy(&writer->buffer);
}

void
bf_wire_writer_clear(bf_wire_writer_t *writer)
{
	msgpack_sbuffer_clear(&writer->buffer);
}

void
bf_wire_write_uint(bf_wire_writer_t *writer, uint64_t value)
{
	msgpack_pack_uint64(&writer->packer, value);
}

void
bf_wire_write_digest(bf_wire_writer_t *writer, bf_digest_t digest)
{
	bf_wire_write_uint(writer, digest.high);
	bf_wire_write_uint(writer, digest.low);
}

void
bf_wire_write_text(bf_wire_writer_t *writer, const char *text)
{
	msgpack_pack_str_with_body(&writer->packer, text, strlen(text));
}

void
bf_wire_write_bytes(bf_wire_writer_t *writer, const void *data, size_t bytes)
{
	msgpack_pack_bin_with_body(&writer->packer, data, bytes);
}

void
bf_wire_write_header(
    bf_wire_writer_t *writer, bf_message_kind_t kind, const char *sender)
{
	bf_wire_write_uint(writer, BF_MESSAGE_PROTOCOL);
	bf_wire_write_uint(writer, (uint64_t)kind);
	bf_wire_write_text(writer, sender);
}

static bool
is_valid_kind(uint64_t kind)
{
	return (kind >= BF_MESSAGE_HELLO && kind <= BF_MESSAGE_UNLINK) ||
	    (kind >= BF_MESSAGE_ANNOUNCE && kind <= BF_MESSAGE_REFUSED) ||
	    kind == BF_MESSAGE_DIRECT;
}

bf_code_t
bf_wire_read_header(
    bf_wire_reader_t *reader, bf_message_kind_t *kind, char *sender)
{
	uint64_t protocol;
	uint64_t kind_number;

	protocol = bf_wire_read_uint(reader, UINT64_MAX);
	kind_number = bf_wire_read_uint(reader, KIND_NUMBER_MAX);
	bf_wire_read_text(reader, sender, BF_NAME_BYTES);
	if (reader->code != BF_OK)
		return reader->code;
	if (sender[0] == '\0')
		return reader->code = BF_ERR_PARSE;
	if (protocol != BF_MESSAGE_PROTOCOL || !is_valid_kind(kind_number))
		return reader->code = BF_ERR_RANGE;
	*kind = (bf_message_kind_t)kind_number;
	return BF_OK;
}
