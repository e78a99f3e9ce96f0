#include "rollout/move_stats.h"
#include "rollout/report.h"
#include "rollout/wire.h"

#define POOL_FORMAT 1
#define AT_US_MAX INT64_MAX

uint64_t
bf_move_stats_count_calls(const bf_move_stats_t *pool)
{
	uint64_t total = 0;
	uint32_t i;

	for (i = 0; i < pool->route_count; i++)
		total += pool->routes[i].old_version.calls +
		    pool->routes[i].new_version.calls;
	return total;
}

static void
write_pool(bf_tally_wire_writer_t *writer, const bf_move_stats_t *pool)
{
	uint32_t i;

	bf_tally_wire_put_uint(writer, POOL_FORMAT);
	bf_tally_wire_put_text(writer, pool->move_id);
	bf_tally_wire_put_text(writer, pool->zone);
	bf_tally_wire_put_text(writer, pool->instance);
	bf_tally_wire_put_uint(writer, (uint64_t)pool->at_us);
	bf_tally_wire_put_uint(writer, pool->complete);
	bf_tally_wire_put_uint(writer, pool->route_count);
	for (i = 0; i < pool->route_count; i++) {
		bf_tally_wire_put_text(writer, pool->routes[i].route);
		bf_tally_wire_put_tally(writer, &pool->routes[i].old_version);
		bf_tally_wire_put_tally(writer, &pool->routes[i].new_version);
	}
}

static bf_code_t
finish_writing(const bf_tally_wire_writer_t *writer,
    const bf_move_stats_t *pool, size_t *size_bytes, bf_error_t *err)
{
	*size_bytes = writer->size_bytes;
	if (writer->failed)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "pool of move %s needs more than %zu bytes", pool->move_id,
		    writer->capacity);
	return BF_OK;
}

bf_code_t
bf_move_stats_encode(const bf_move_stats_t *pool, void *buffer, size_t capacity,
    size_t *size_bytes, bf_error_t *err)
{
	bf_tally_wire_writer_t writer;

	bf_tally_wire_writer_init(&writer, buffer, capacity);
	write_pool(&writer, pool);
	return finish_writing(&writer, pool, size_bytes, err);
}

bf_code_t
bf_stats_report_encode(const bf_stats_report_t *report, void *buffer,
    size_t capacity, size_t *size_bytes, bf_error_t *err)
{
	bf_tally_wire_writer_t writer;

	bf_tally_wire_writer_init(&writer, buffer, capacity);
	bf_tally_wire_put_uint(&writer, report->incarnation);
	write_pool(&writer, &report->pool);
	return finish_writing(&writer, &report->pool, size_bytes, err);
}

static void
read_pool(bf_tally_wire_reader_t *reader, bf_move_stats_t *pool)
{
	uint32_t i;

	if (bf_tally_wire_get_uint(reader, UINT64_MAX) != POOL_FORMAT)
		reader->failed = true;
	bf_tally_wire_get_text(reader, pool->move_id, sizeof(pool->move_id));
	bf_tally_wire_get_text(reader, pool->zone, sizeof(pool->zone));
	bf_tally_wire_get_text(reader, pool->instance, sizeof(pool->instance));
	pool->at_us = (bf_time_us_t)bf_tally_wire_get_uint(reader, AT_US_MAX);
	pool->complete = bf_tally_wire_get_uint(reader, 1) == 1;
	pool->route_count =
	    (uint32_t)bf_tally_wire_get_uint(reader, BF_MOVE_STATS_ROUTES_MAX);
	for (i = 0; i < pool->route_count && !reader->failed; i++) {
		bf_tally_wire_get_text(reader, pool->routes[i].route,
		    sizeof(pool->routes[i].route));
		bf_tally_wire_get_tally(reader, &pool->routes[i].old_version);
		bf_tally_wire_get_tally(reader, &pool->routes[i].new_version);
	}
}

static bf_code_t
begin_reading(bf_tally_wire_reader_t *reader, const void *data,
    size_t data_bytes, bf_error_t *err)
{
	if (data_bytes > BF_MOVE_STATS_BYTES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "pool of %zu bytes, at most %d are taken", data_bytes,
		    BF_MOVE_STATS_BYTES_MAX);
	if (!bf_tally_wire_reader_init(reader, data, data_bytes))
		return bf_error_set(err, BF_ERR_MEMORY, "no memory for a pool");
	return BF_OK;
}

static bf_code_t
finish_reading(bf_tally_wire_reader_t *reader, bf_error_t *err)
{
	if (!bf_tally_wire_reader_finish(reader))
		return bf_error_set(
		    err, BF_ERR_PARSE, "not a well-formed pool");
	return BF_OK;
}

bf_code_t
bf_move_stats_decode(
    const void *data, size_t data_bytes, bf_move_stats_t *pool, bf_error_t *err)
{
	bf_tally_wire_reader_t reader;
	bf_code_t code;

	code = begin_reading(&reader, data, data_bytes, err);
	if (code != BF_OK)
		return code;
	read_pool(&reader, pool);
	return finish_reading(&reader, err);
}

bf_code_t
bf_stats_report_decode(const void *data, size_t data_bytes,
    bf_stats_report_t *report, bf_error_t *err)
{
	bf_tally_wire_reader_t reader;
	bf_code_t code;

	code = begin_reading(&reader, data, data_bytes, err);
	if (code != BF_OK)
		return code;
	report->incarnation = bf_tally_wire_get_uint(&reader, UINT64_MAX);
	read_pool(&reader, &report->pool);
	return finish_reading(&reader, err);
}
