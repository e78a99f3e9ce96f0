#include <string.h>

#include "member/record_codec.h"

/*
 * Greatest incarnation and sequence accepted: an instance can still add one to
 * them without overflow in order to refute a record.
 */
#define COUNTER_MAX (UINT64_C(1) << 62)

void
bf_record_write(bf_wire_writer_t *writer, const bf_record_t *record)
{
	bf_wire_write_text(writer, record->zone);
	bf_wire_write_text(writer, record->region);
	bf_wire_write_text(writer, record->control_address);
	bf_wire_write_text(writer, record->mesh_address);
	bf_wire_write_uint(writer, record->incarnation);
	bf_wire_write_uint(writer, record->sequence);
	bf_wire_write_uint(writer, (uint64_t)record->state);
	bf_wire_write_uint(writer, (uint64_t)record->target_state);
	bf_wire_write_text(writer, record->service);
	bf_wire_write_text(writer, record->version);
	bf_wire_write_uint(writer, record->slots);
	bf_wire_write_uint(writer, record->target_incarnation);
}

void
bf_record_read(
    bf_wire_reader_t *reader, const char *instance, bf_record_t *record)
{
	memset(record, 0, sizeof(*record));
	memcpy(
	    record->instance, instance, strnlen(instance, BF_NAME_BYTES - 1));
	bf_wire_read_text(reader, record->zone, sizeof(record->zone));
	bf_wire_read_text(reader, record->region, sizeof(record->region));
	bf_wire_read_text(
	    reader, record->control_address, sizeof(record->control_address));
	bf_wire_read_text(
	    reader, record->mesh_address, sizeof(record->mesh_address));
	record->incarnation = bf_wire_read_uint(reader, COUNTER_MAX);
	record->sequence = bf_wire_read_uint(reader, COUNTER_MAX);
	record->state =
	    (bf_member_state_t)bf_wire_read_uint(reader, BF_MEMBER_DEAD);
	record->target_state =
	    (bf_target_state_t)bf_wire_read_uint(reader, BF_TARGET_DRAINING);
	bf_wire_read_text(reader, record->service, sizeof(record->service));
	bf_wire_read_text(reader, record->version, sizeof(record->version));
	record->slots = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
	record->target_incarnation = bf_wire_read_uint(reader, UINT64_MAX);
}

bf_code_t
bf_record_decode(const char *instance, const void *data, size_t data_bytes,
    bf_record_t *record)
{
	bf_wire_reader_t reader;

	bf_wire_reader_init(&reader, data, data_bytes);
	bf_record_read(&reader, instance, record);
	if (reader.code == BF_OK && !bf_wire_reader_done(&reader))
		return BF_ERR_PARSE;
	return reader.code;
}

static int
state_precedence(bf_member_state_t state)
{
	switch (state) {
	case BF_MEMBER_ALIVE:
		return 0;
	case BF_MEMBER_SUSPECT:
		return 1;
	case BF_MEMBER_DEAD:
		return 2;
	case BF_MEMBER_LEFT:
		break;
	}
	return 3;
}

bool
bf_record_newer(const bf_record_t *a, const bf_record_t *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (a->sequence != b->sequence)
		return a->sequence > b->sequence;
	return state_precedence(a->state) > state_precedence(b->state);
}
