#include <string.h>

#include <jansson.h>

#include "rollout/verdict.h"
#include "rollout/wire.h"

#define VERDICT_FORMAT 1
#define COUNT_MAX UINT64_MAX

static const char *const state_names[BF_ROLLOUT_STATE_COUNT] = {
	[BF_ROLLOUT_WAITING] = "waiting",
	[BF_ROLLOUT_RAMPING] = "ramping",
	[BF_ROLLOUT_HOLDING] = "holding",
	[BF_ROLLOUT_LATE] = "late",
	[BF_ROLLOUT_DONE] = "done",
	[BF_ROLLOUT_PROBING] = "probing",
	[BF_ROLLOUT_TAKEN_BACK] = "taken-back",
};

static const char *const reason_names[BF_ROLLOUT_REASON_COUNT] = {
	[BF_ROLLOUT_REASON_NONE] = "none",
	[BF_ROLLOUT_REASON_NOT_STARTED] = "not-started",
	[BF_ROLLOUT_REASON_NO_TARGETS] = "no-targets",
	[BF_ROLLOUT_REASON_NO_EVIDENCE] = "no-evidence",
	[BF_ROLLOUT_REASON_THIN_TRAFFIC] = "thin-traffic",
	[BF_ROLLOUT_REASON_CAPACITY] = "capacity",
	[BF_ROLLOUT_REASON_SUSPICION] = "suspicion",
	[BF_ROLLOUT_REASON_ROUTE_ORDER] = "route-order",
	[BF_ROLLOUT_REASON_FAILURES] = "failures",
	[BF_ROLLOUT_REASON_SLOW] = "slow",
	[BF_ROLLOUT_REASON_UNDER_LOAD] = "under-load",
	[BF_ROLLOUT_REASON_COMPLETE] = "complete",
};

const char *
bf_rollout_state_name(bf_rollout_state_t state)
{
	if ((unsigned int)state >= BF_ROLLOUT_STATE_COUNT)
		return "unknown";
	return state_names[state];
}

const char *
bf_rollout_reason_name(bf_rollout_reason_t reason)
{
	if ((unsigned int)reason >= BF_ROLLOUT_REASON_COUNT)
		return "unknown";
	return reason_names[reason];
}

static bool
is_final(bf_rollout_state_t state)
{
	return state == BF_ROLLOUT_LATE || state == BF_ROLLOUT_DONE ||
	    state == BF_ROLLOUT_TAKEN_BACK;
}

uint64_t
bf_verdict_rank(const bf_verdict_t *verdict)
{
	switch (verdict->state) {
	case BF_ROLLOUT_LATE:
		return 1;
	case BF_ROLLOUT_DONE:
		return 2;
	case BF_ROLLOUT_TAKEN_BACK:
		return 3;
	default:
		return 0;
	}
}

bf_code_t
bf_verdict_encode(const bf_verdict_t *verdict, void *buffer, size_t capacity,
    size_t *size_bytes, bf_error_t *err)
{
	const bf_rollout_figures_t *figures = &verdict->figures;
	bf_tally_wire_writer_t writer;

	bf_tally_wire_writer_init(&writer, buffer, capacity);
	bf_tally_wire_put_uint(&writer, VERDICT_FORMAT);
	bf_tally_wire_put_text(&writer, verdict->move_id);
	bf_tally_wire_put_uint(&writer, verdict->state);
	bf_tally_wire_put_uint(&writer, verdict->reason);
	bf_tally_wire_put_text(&writer, verdict->zone);
	bf_tally_wire_put_text(&writer, verdict->instance);
	bf_tally_wire_put_uint(&writer, (uint64_t)verdict->at_us);
	bf_tally_wire_put_text(&writer, figures->route);
	bf_tally_wire_put_uint(&writer, figures->new_calls);
	bf_tally_wire_put_uint(&writer, figures->new_failures);
	bf_tally_wire_put_uint(&writer, figures->old_calls);
	bf_tally_wire_put_uint(&writer, figures->old_failures);
	bf_tally_wire_put_uint(&writer, figures->slow_over_ms);
	bf_tally_wire_put_uint(&writer, figures->new_slow);
	bf_tally_wire_put_uint(&writer, figures->old_slow);
	bf_tally_wire_put_double(&writer, figures->evidence);
	*size_bytes = writer.size_bytes;
	if (writer.failed)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "verdict on move %s needs more than %zu bytes",
		    verdict->move_id, capacity);
	return BF_OK;
}

static void
read_figures(bf_tally_wire_reader_t *reader, bf_rollout_figures_t *figures)
{
	bf_tally_wire_get_text(reader, figures->route, sizeof(figures->route));
	figures->new_calls = bf_tally_wire_get_uint(reader, COUNT_MAX);
	figures->new_failures = bf_tally_wire_get_uint(reader, COUNT_MAX);
	figures->old_calls = bf_tally_wire_get_uint(reader, COUNT_MAX);
	figures->old_failures = bf_tally_wire_get_uint(reader, COUNT_MAX);
	figures->slow_over_ms =
	    (uint32_t)bf_tally_wire_get_uint(reader, UINT32_MAX);
	figures->new_slow = bf_tally_wire_get_uint(reader, COUNT_MAX);
	figures->old_slow = bf_tally_wire_get_uint(reader, COUNT_MAX);
	figures->evidence = bf_tally_wire_get_double(reader);
}

static void
read_verdict(bf_tally_wire_reader_t *reader, bf_verdict_t *verdict)
{
	if (bf_tally_wire_get_uint(reader, UINT64_MAX) != VERDICT_FORMAT)
		reader->failed = true;
	bf_tally_wire_get_text(
	    reader, verdict->move_id, sizeof(verdict->move_id));
	verdict->state = (bf_rollout_state_t)bf_tally_wire_get_uint(
	    reader, BF_ROLLOUT_STATE_COUNT - 1);
	verdict->reason = (bf_rollout_reason_t)bf_tally_wire_get_uint(
	    reader, BF_ROLLOUT_REASON_COUNT - 1);
	bf_tally_wire_get_text(reader, verdict->zone, sizeof(verdict->zone));
	bf_tally_wire_get_text(
	    reader, verdict->instance, sizeof(verdict->instance));
	verdict->at_us =
	    (bf_time_us_t)bf_tally_wire_get_uint(reader, INT64_MAX);
	read_figures(reader, &verdict->figures);
	if (!is_final(verdict->state))
		reader->failed = true;
}

bf_code_t
bf_verdict_decode(
    const void *data, size_t data_bytes, bf_verdict_t *verdict, bf_error_t *err)
{
	bf_tally_wire_reader_t reader;

	if (data_bytes > BF_VERDICT_BYTES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "verdict of %zu bytes, more than the limit of %d",
		    data_bytes, BF_VERDICT_BYTES_MAX);
	if (!bf_tally_wire_reader_init(&reader, data, data_bytes))
		return bf_error_set(err, BF_ERR_MEMORY,
		    "out of memory while decoding a verdict");
	*verdict = (bf_verdict_t){ 0 };
	read_verdict(&reader, verdict);
	if (!bf_tally_wire_reader_finish(&reader))
		return bf_error_set(err, BF_ERR_PARSE, "malformed verdict");
	return BF_OK;
}

char *
bf_verdict_json(const bf_verdict_t *verdict)
{
	const bf_rollout_figures_t *figures = &verdict->figures;
	json_t *json;
	char *text;

	json = json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:s, s:I, s:I, s:I,"
			 " s:I, s:I, s:I, s:I, s:f}",
	    "move", verdict->move_id, "state",
	    bf_rollout_state_name(verdict->state), "reason",
	    bf_rollout_reason_name(verdict->reason), "zone", verdict->zone,
	    "instance", verdict->instance, "at_us", (json_int_t)verdict->at_us,
	    "route", figures->route, "new_calls",
	    (json_int_t)figures->new_calls, "new_failures",
	    (json_int_t)figures->new_failures, "old_calls",
	    (json_int_t)figures->old_calls, "old_failures",
	    (json_int_t)figures->old_failures, "slow_over_ms",
	    (json_int_t)figures->slow_over_ms, "new_slow",
	    (json_int_t)figures->new_slow, "old_slow",
	    (json_int_t)figures->old_slow, "evidence", figures->evidence);
	if (json == NULL)
		return NULL;
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

static bool
parse_text(const json_t *json, const char *key, char *text, size_t text_bytes)
{
	const char *value;

	value = json_string_value(json_object_get(json, key));
	if (value == NULL || strlen(value) >= text_bytes)
		return false;
	strcpy(text, value);
	return true;
}

static bool
parse_count(const json_t *json, const char *key, uint64_t *count)
{
	const json_t *value;

	value = json_object_get(json, key);
	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*count = (uint64_t)json_integer_value(value);
	return true;
}

/* Returns the index of the name in names, or count if it is not there. */
static uint32_t
find_name(const char *const *names, uint32_t count, const json_t *value)
{
	const char *name;
	uint32_t i;

	name = json_string_value(value);
	for (i = 0; i < count; i++) {
		if (name != NULL && strcmp(names[i], name) == 0)
			return i;
	}
	return count;
}

static bool
parse_figures(const json_t *json, bf_rollout_figures_t *figures)
{
	uint64_t slow_over_ms = 0;

	if (!parse_text(
		json, "route", figures->route, sizeof(figures->route)) ||
	    !parse_count(json, "new_calls", &figures->new_calls) ||
	    !parse_count(json, "new_failures", &figures->new_failures) ||
	    !parse_count(json, "old_calls", &figures->old_calls) ||
	    !parse_count(json, "old_failures", &figures->old_failures) ||
	    !parse_count(json, "slow_over_ms", &slow_over_ms) ||
	    !parse_count(json, "new_slow", &figures->new_slow) ||
	    !parse_count(json, "old_slow", &figures->old_slow) ||
	    !json_is_real(json_object_get(json, "evidence")) ||
	    slow_over_ms > UINT32_MAX)
		return false;
	figures->slow_over_ms = (uint32_t)slow_over_ms;
	figures->evidence = json_real_value(json_object_get(json, "evidence"));
	return true;
}

static bool
parse_verdict(const json_t *json, bf_verdict_t *verdict)
{
	uint64_t at_us = 0;

	verdict->state = (bf_rollout_state_t)find_name(state_names,
	    BF_ROLLOUT_STATE_COUNT, json_object_get(json, "state"));
	verdict->reason = (bf_rollout_reason_t)find_name(reason_names,
	    BF_ROLLOUT_REASON_COUNT, json_object_get(json, "reason"));
	if (!is_final(verdict->state) ||
	    verdict->reason == BF_ROLLOUT_REASON_COUNT ||
	    !parse_text(
		json, "move", verdict->move_id, sizeof(verdict->move_id)) ||
	    !parse_text(json, "zone", verdict->zone, sizeof(verdict->zone)) ||
	    !parse_text(json, "instance", verdict->instance,
		sizeof(verdict->instance)) ||
	    !parse_count(json, "at_us", &at_us))
		return false;
	verdict->at_us = (bf_time_us_t)at_us;
	return parse_figures(json, &verdict->figures);
}

bf_code_t
bf_verdict_parse(
    const char *text, size_t text_bytes, bf_verdict_t *verdict, bf_error_t *err)
{
	json_error_t json_error;
	json_t *json;
	bool parsed;

	if (text_bytes > BF_VERDICT_BYTES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "move outcome of %zu bytes, more than the limit of %d",
		    text_bytes, BF_VERDICT_BYTES_MAX);
	*verdict = (bf_verdict_t){ 0 };
	json = json_loadb(text, text_bytes, 0, &json_error);
	if (json == NULL)
		return bf_error_set(err, BF_ERR_PARSE,
		    "move outcome is not valid JSON: %s", json_error.text);
	parsed = parse_verdict(json, verdict);
	json_decref(json);
	if (!parsed)
		return bf_error_set(
		    err, BF_ERR_PARSE, "malformed move outcome");
	return BF_OK;
}
