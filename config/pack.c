#include <string.h>

#include <apr_strings.h>

#include "config/pack.h"

static int
write_buffer(void *ctx, const char *data, size_t data_bytes)
{
	bf_packer_t *packer;

	packer = ctx;
	if (msgpack_sbuffer_write(&packer->buffer, data, data_bytes) != 0) {
		packer->failed = true;
		return -1;
	}
	return 0;
}

void
bf_packer_init(bf_packer_t *packer)
{
	packer->failed = false;
	msgpack_sbuffer_init(&packer->buffer);
	msgpack_packer_init(&packer->packer, packer, write_buffer);
}

void
bf_pack_array(bf_packer_t *packer, size_t count)
{
	msgpack_pack_array(&packer->packer, count);
}

void
bf_pack_uint(bf_packer_t *packer, uint64_t value)
{
	msgpack_pack_uint64(&packer->packer, value);
}

void
bf_pack_int(bf_packer_t *packer, int64_t value)
{
	msgpack_pack_int64(&packer->packer, value);
}

void
bf_pack_bool(bf_packer_t *packer, bool value)
{
	if (value)
		msgpack_pack_true(&packer->packer);
	else
		msgpack_pack_false(&packer->packer);
}

void
bf_pack_bytes(bf_packer_t *packer, const void *data, size_t data_bytes)
{
	msgpack_pack_bin(&packer->packer, data_bytes);
	msgpack_pack_bin_body(&packer->packer, data, data_bytes);
}

void
bf_pack_text(bf_packer_t *packer, const char *text)
{
	size_t text_bytes;

	if (text == NULL) {
		msgpack_pack_nil(&packer->packer);
		return;
	}
	text_bytes = strlen(text);
	msgpack_pack_str(&packer->packer, text_bytes);
	msgpack_pack_str_body(&packer->packer, text, text_bytes);
}

bf_code_t
bf_packer_finish(bf_packer_t *packer, apr_pool_t *pool, const void **data,
    size_t *data_bytes, bf_error_t *err)
{
	bf_code_t code;

	code = BF_OK;
	if (packer->failed)
		code = bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	else if (pool != NULL) {
		*data =
		    apr_pmemdup(pool, packer->buffer.data, packer->buffer.size);
		*data_bytes = packer->buffer.size;
	}
	msgpack_sbuffer_destroy(&packer->buffer);
	return code;
}

/* Layout of a MessagePack tag: how many bytes and objects follow it. */
typedef struct bf_tag_layout {
	uint8_t length_bytes;    /* of the length field after the tag */
	uint8_t fixed_bytes;     /* of the body, in addition to the length */
	uint8_t element_objects; /* for each element; 0: length counts bytes */
	bool has_length;
	uint32_t length; /* of tags that contain it */
} bf_tag_layout_t;

/* Tags 0xc0 to 0xdf, as in the MessagePack specification. */
static const bf_tag_layout_t tag_layouts[32] = {
	[0x04] = { .length_bytes = 1, .has_length = true }, /* bin */
	[0x05] = { .length_bytes = 2, .has_length = true },
	[0x06] = { .length_bytes = 4, .has_length = true },
	[0x07] = { .length_bytes = 1, .fixed_bytes = 1, .has_length = true },
	[0x08] = { .length_bytes = 2, .fixed_bytes = 1, .has_length = true },
	[0x09] = { .length_bytes = 4, .fixed_bytes = 1, .has_length = true },
	[0x0a] = { .fixed_bytes = 4 }, /* float */
	[0x0b] = { .fixed_bytes = 8 },
	[0x0c] = { .fixed_bytes = 1 }, /* unsigned */
	[0x0d] = { .fixed_bytes = 2 },
	[0x0e] = { .fixed_bytes = 4 },
	[0x0f] = { .fixed_bytes = 8 },
	[0x10] = { .fixed_bytes = 1 }, /* signed */
	[0x11] = { .fixed_bytes = 2 },
	[0x12] = { .fixed_bytes = 4 },
	[0x13] = { .fixed_bytes = 8 },
	[0x14] = { .fixed_bytes = 2 }, /* fixed ext */
	[0x15] = { .fixed_bytes = 3 },
	[0x16] = { .fixed_bytes = 5 },
	[0x17] = { .fixed_bytes = 9 },
	[0x18] = { .fixed_bytes = 17 },
	[0x19] = { .length_bytes = 1, .has_length = true }, /* str */
	[0x1a] = { .length_bytes = 2, .has_length = true },
	[0x1b] = { .length_bytes = 4, .has_length = true },
	[0x1c] = { .length_bytes = 2,
	    .has_length = true,
	    .element_objects = 1 },
	[0x1d] = { .length_bytes = 4,
	    .has_length = true,
	    .element_objects = 1 },
	[0x1e] = { .length_bytes = 2,
	    .has_length = true,
	    .element_objects = 2 },
	[0x1f] = { .length_bytes = 4,
	    .has_length = true,
	    .element_objects = 2 },
};

static bf_tag_layout_t
layout_of(uint8_t tag)
{
	if (tag < 0x80 || tag >= 0xe0)
		return (bf_tag_layout_t){ 0 };
	if (tag < 0x90)
		return (bf_tag_layout_t){ .length = tag & 0x0f,
			.element_objects = 2 };
	if (tag < 0xa0)
		return (bf_tag_layout_t){ .length = tag & 0x0f,
			.element_objects = 1 };
	if (tag < 0xc0)
		return (bf_tag_layout_t){ .length = tag & 0x1f };
	return tag_layouts[tag - 0xc0];
}

/*
 * Checks the lengths and counts of an object and of all objects in it.
 * msgpack-c allocates an array's elements as soon as it has read their count,
 * so the counts are checked first.
 */
static bf_code_t
check_lengths(
    const uint8_t *data, size_t data_bytes, size_t objects_max, bf_error_t *err)
{
	uint64_t pending, length, objects, body;
	bf_tag_layout_t layout;
	size_t offset, i;

	offset = 0;
	objects = 0;
	for (pending = 1; pending > 0; pending--) {
		if (offset == data_bytes)
			return bf_error_set(
			    err, BF_ERR_PARSE, "the message is truncated");
		if (++objects > objects_max)
			return bf_error_set(err, BF_ERR_TOO_LARGE,
			    "the message has more than %zu objects",
			    objects_max);
		layout = layout_of(data[offset++]);
		length = layout.length;
		if (layout.length_bytes > data_bytes - offset)
			return bf_error_set(
			    err, BF_ERR_PARSE, "the message is truncated");
		for (i = 0; i < layout.length_bytes; i++)
			length = length << 8 | data[offset++];
		body = layout.fixed_bytes;
		if (layout.element_objects == 0)
			body += length;
		else
			pending += length * layout.element_objects;
		if (body > data_bytes - offset ||
		    pending - 1 > data_bytes - offset)
			return bf_error_set(
			    err, BF_ERR_PARSE, "the message is truncated");
		offset += body;
	}
	if (offset != data_bytes)
		return bf_error_set(
		    err, BF_ERR_PARSE, "trailing bytes after the message");
	return BF_OK;
}

bf_code_t
bf_reader_open(bf_reader_t *reader, const void *data, size_t data_bytes,
    size_t objects_max, apr_pool_t *pool, bf_error_t *err)
{
	msgpack_unpack_return result;
	size_t offset;

	reader->pool = pool;
	reader->err = err;
	msgpack_unpacked_init(&reader->unpacked);
	reader->code = check_lengths(data, data_bytes, objects_max, err);
	if (reader->code != BF_OK)
		return reader->code;
	offset = 0;
	result =
	    msgpack_unpack_next(&reader->unpacked, data, data_bytes, &offset);
	if (result == MSGPACK_UNPACK_NOMEM_ERROR)
		reader->code = bf_error_set(
		    err, BF_ERR_TOO_LARGE, "the message is nested too deeply");
	else if (result != MSGPACK_UNPACK_SUCCESS)
		reader->code = bf_error_set(
		    err, BF_ERR_PARSE, "the message is not valid MessagePack");
	return reader->code;
}

void
bf_reader_close(bf_reader_t *reader)
{
	msgpack_unpacked_destroy(&reader->unpacked);
}

const msgpack_object *
bf_reader_root(const bf_reader_t *reader)
{
	return &reader->unpacked.data;
}

bf_code_t
bf_reader_fail(
    bf_reader_t *reader, bf_code_t code, const char *what, const char *detail)
{
	if (reader->code == BF_OK)
		reader->code =
		    bf_error_set(reader->err, code, "%s: %s", what, detail);
	return reader->code;
}

const msgpack_object *
bf_read_array(bf_reader_t *reader, const msgpack_object *object,
    size_t count_min, size_t count_max, size_t *count, const char *what)
{
	*count = 0;
	if (reader->code != BF_OK)
		return NULL;
	if (object->type != MSGPACK_OBJECT_ARRAY) {
		bf_reader_fail(reader, BF_ERR_PARSE, what, "not an array");
		return NULL;
	}
	if (object->via.array.size < count_min) {
		bf_reader_fail(reader, BF_ERR_PARSE, what, "too few elements");
		return NULL;
	}
	if (object->via.array.size > count_max) {
		bf_reader_fail(
		    reader, BF_ERR_TOO_LARGE, what, "too many elements");
		return NULL;
	}
	*count = object->via.array.size;
	return object->via.array.ptr;
}

const char *
bf_read_text(bf_reader_t *reader, const msgpack_object *object,
    size_t bytes_max, const char *what)
{
	const char *text;
	size_t text_bytes;

	if (reader->code != BF_OK)
		return NULL;
	if (object->type != MSGPACK_OBJECT_STR) {
		bf_reader_fail(reader, BF_ERR_PARSE, what, "not a string");
		return NULL;
	}
	text = object->via.str.ptr;
	text_bytes = object->via.str.size;
	if (text_bytes > bytes_max) {
		bf_reader_fail(reader, BF_ERR_TOO_LARGE, what, "too long");
		return NULL;
	}
	if (text_bytes > 0 && memchr(text, '\0', text_bytes) != NULL) {
		bf_reader_fail(
		    reader, BF_ERR_PARSE, what, "contains a NUL character");
		return NULL;
	}
	return apr_pstrmemdup(reader->pool, text, text_bytes);
}

const char *
bf_read_text_or_nil(bf_reader_t *reader, const msgpack_object *object,
    size_t bytes_max, const char *what)
{
	if (reader->code != BF_OK || object->type == MSGPACK_OBJECT_NIL)
		return NULL;
	return bf_read_text(reader, object, bytes_max, what);
}

const void *
bf_read_bytes(bf_reader_t *reader, const msgpack_object *object,
    size_t bytes_max, size_t *data_bytes, const char *what)
{
	*data_bytes = 0;
	if (reader->code != BF_OK)
		return NULL;
	if (object->type != MSGPACK_OBJECT_BIN) {
		bf_reader_fail(reader, BF_ERR_PARSE, what, "not binary data");
		return NULL;
	}
	if (object->via.bin.size > bytes_max) {
		bf_reader_fail(reader, BF_ERR_TOO_LARGE, what, "too long");
		return NULL;
	}
	*data_bytes = object->via.bin.size;
	return object->via.bin.ptr;
}

uint64_t
bf_read_uint(bf_reader_t *reader, const msgpack_object *object, uint64_t max,
    const char *what)
{
	if (reader->code != BF_OK)
		return 0;
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		bf_reader_fail(
		    reader, BF_ERR_PARSE, what, "not an unsigned integer");
		return 0;
	}
	if (object->via.u64 > max) {
		bf_reader_fail(reader, BF_ERR_RANGE, what, "too large");
		return 0;
	}
	return object->via.u64;
}

int64_t
bf_read_int(bf_reader_t *reader, const msgpack_object *object, const char *what)
{
	if (reader->code != BF_OK)
		return 0;
	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return object->via.i64;
	return (int64_t)bf_read_uint(reader, object, INT64_MAX, what);
}

bool
bf_read_bool(
    bf_reader_t *reader, const msgpack_object *object, const char *what)
{
	if (reader->code != BF_OK)
		return false;
	if (object->type != MSGPACK_OBJECT_BOOLEAN) {
		bf_reader_fail(reader, BF_ERR_PARSE, what, "not a boolean");
		return false;
	}
	return object->via.boolean;
}
