#include "rollout/move_stats.h"
#include "rollout/report.h"
#include "rollout/wire.h"

#define STATS_FORMAT 1
#define AT_US_MAX INT64_MAX

uint64_t
bf_move_stats_count_calls(const bf_move_stats_t *stats)
{
	uint64_t calls = 0;
	uint32_t i;

	for (i = 0; i < stats->route_count; i++)
		calls += stats->routes[i].old_version.calls +
		    stats->routes[i].new_version.calls;
	return calls;
}

static void
write_stats(bf_tally_wire_writer_t *writer, const bf_move_stats_t *stats)
{
	uint32_t i;

	bf_tally_wire_put_uint(writer, STATS_FORMAT);
	bf_tally_wire_put_text(writer, stats->move_id);
	bf_tally_wire_put_text(writer, stats->zone);
	bf_tally_wire_put_text(writer, stats->instance);
	bf_tally_wire_put_uint(writer, (uint64_t)stats->at_us);
	bf_tally_wire_put_uint(writer, stats->complete);
	bf_tally_wire_put_uint(writer, stats->route_count);
	for (i = 0; i < stats->route_count; i++) {
		bf_tally_wire_put_text(writer, stats->routes[i].route);
		bf_tally_wire_put_tally(writer, &stats->routes[i].old_version);
		bf_tally_wire_put_tally(writer, &stats->routes[i].new_version);
	}
}

static bf_code_t
finish_encoding(const bf_tally_wire_writer_t *writer,
    const bf_move_stats_t *stats, size_t *size_bytes, bf_error_t *err)
{
	*size_bytes = writer->size_bytes;
	if (writer->failed)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "call statistics of move %s need more than %zu bytes",
		    stats->move_id, writer->capacity);
	return BF_OK;
}

bf_code_t
bf_move_stats_encode(const bf_move_stats_t *stats, void *buffer,
    size_t capacity, size_t *size_bytes, bf_error_t *err)
{
	bf_tally_wire_writer_t writer;

	bf_tally_wire_writer_init(&writer, buffer, capacity);
	write_stats(&writer, stats);
	return finish_encoding(&writer, stats, size_bytes, err);
}

bf_code_t
bf_stats_report_encode(const bf_stats_report_t *report, void *buffer,
    size_t capacity, size_t *size_bytes, bf_error_t *err)
{
	bf_tally_wire_writer_t writer;

	bf_tally_wire_writer_init(&writer, buffer, capacity);
	bf_tally_wire_put_uint(&writer, report->incarnation);
	write_stats(&writer, &report->stats);
	return finish_encoding(&writer, &report->stats, size_bytes, err);
}

static void
read_stats(bf_tally_wire_reader_t *reader, bf_move_stats_t *stats)
{
	uint32_t i;

	if (bf_tally_wire_get_uint(reader, UINT64_MAX) != STATS_FORMAT)
		reader->failed = true;
	bf_tally_wire_get_text(reader, stats->move_id, sizeof(stats->move_id));
	bf_tally_wire_get_text(reader, stats->zone, sizeof(stats->zone));
	bf_tally_wire_get_text(
	    reader, stats->instance, sizeof(stats->instance));
	stats->at_us = (bf_time_us_t)bf_tally_wire_get_uint(reader, AT_US_MAX);
	stats->complete = bf_tally_wire_get_uint(reader, 1) == 1;
	stats->route_count =
	    (uint32_t)bf_tally_wire_get_uint(reader, BF_MOVE_STATS_ROUTES_MAX);
	for (i = 0; i < stats->route_count && !reader->failed; i++) {
		bf_tally_wire_get_text(reader, stats->routes[i].route,
		    sizeof(stats->routes[i].route));
		bf_tally_wire_get_tally(reader, &stats->routes[i].old_version);
		bf_tally_wire_get_tally(reader, &stats->routes[i].new_version);
	}
}

static bf_code_t
begin_decoding(bf_tally_wire_reader_t *reader, const void *data,
    size_t data_bytes, bf_error_t *err)
{
	if (data_bytes > BF_MOVE_STATS_BYTES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "call statistics of %zu bytes, more than the limit of %d",
		    data_bytes, BF_MOVE_STATS_BYTES_MAX);
	if (!bf_tally_wire_reader_init(reader, data, data_bytes))
		return bf_error_set(err, BF_ERR_MEMORY,
		    "out of memory while decoding call statistics");
	return BF_OK;
}

static bf_code_t
finish_decoding(bf_tally_wire_reader_t *reader, bf_error_t *err)
{
	if (!bf_tally_wire_reader_finish(reader))
		return bf_error_set(
		    err, BF_ERR_PARSE, "malformed call statistics");
	return BF_OK;
}

bf_code_t
bf_move_stats_decode(const void *data, size_t data_bytes,
    bf_move_stats_t *stats, bf_error_t *err)
{
	bf_tally_wire_reader_t reader;
	bf_code_t code;

	code = begin_decoding(&reader, data, data_bytes, err);
	if (code != BF_OK)
		return code;
	read_stats(&reader, stats);
	return finish_decoding(&reader, err);
}

bf_code_t
bf_stats_report_decode(const void *data, size_t data_bytes,
    bf_stats_report_t *report, bf_error_t *err)
{
	bf_tally_wire_reader_t reader;
	bf_code_t code;

	code = begin_decoding(&reader, data, data_bytes, err);
	if (code != BF_OK)
		return code;
	report->incarnation = bf_tally_wire_get_uint(&reader, UINT64_MAX);
	read_stats(&reader, &report->stats);
	return finish_decoding(&reader, err);
}
