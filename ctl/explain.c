#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "ctl/explain.h"

/* What a node came to believe this long before the call still matters. */
#define BEFORE_US (3 * BF_US_PER_S)
/* Longest line that is read; the event log writes shorter ones. */
#define LINE_BYTES 65536
#define INSTANCES_MAX 16

typedef struct line {
	json_t *object;
	json_int_t time_us;
	const char *event;
	const char *instance;
	size_t number;
} line_t;

typedef struct lines {
	line_t *items;
	size_t count;
	size_t room;
} lines_t;

/* The nodes that the call's lines are of, and when. */
typedef struct span {
	const char *instances[INSTANCES_MAX];
	size_t instance_count;
	json_int_t first_us;
	json_int_t last_us;
} span_t;

static const char *
text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}

static bool
parse_line(const char *text, line_t *line)
{
	const char *brace = strchr(text, '{');
	json_t *object;

	/* A collector may have put something in front. */
	if (brace == NULL)
		return false;
	object = json_loads(brace, 0, NULL);
	if (!json_is_object(object) ||
	    !json_is_integer(json_object_get(object, "time_us")) ||
	    text_of(object, "event")[0] == '\0') {
		json_decref(object);
		return false;
	}
	*line = (line_t){
		.object = object,
		.time_us =
		    json_integer_value(json_object_get(object, "time_us")),
		.event = text_of(object, "event"),
		.instance = text_of(object, "instance"),
	};
	return true;
}

static bool
add_line(lines_t *lines, const line_t *line)
{
	line_t *items;
	size_t room;

	if (lines->count == lines->room) {
		room = lines->room * 2 + 1024;
		items = realloc(lines->items, room * sizeof(*items));
		if (items == NULL)
			return false;
		lines->items = items;
		lines->room = room;
	}
	lines->items[lines->count++] = *line;
	return true;
}

static bool
read_lines(FILE *in, lines_t *lines, bf_explain_counts_t *counts)
{
	static char text[LINE_BYTES];
	line_t line;

	while (fgets(text, sizeof(text), in) != NULL) {
		counts->lines++;
		if (!parse_line(text, &line)) {
			counts->damaged++;
			continue;
		}
		line.number = lines->count;
		if (!add_line(lines, &line)) {
			json_decref(line.object);
			return false;
		}
	}
	return true;
}

static int
by_time(const void *a, const void *b)
{
	const line_t *x = a, *y = b;

	if (x->time_us != y->time_us)
		return x->time_us < y->time_us ? -1 : 1;
	return x->number < y->number ? -1 : 1;
}

/* The call itself, or one that its run made: "ID.OWN". */
static bool
is_about(const line_t *line, const char *id)
{
	const char *call = text_of(line->object, "call");
	size_t bytes = strlen(id);

	return strncmp(call, id, bytes) == 0 &&
	    (call[bytes] == '\0' || call[bytes] == '.');
}

static bool
is_concerned(const span_t *span, const char *instance)
{
	size_t i;

	for (i = 0; i < span->instance_count; i++) {
		if (strcmp(span->instances[i], instance) == 0)
			return true;
	}
	return false;
}

static void
add_instance(span_t *span, const char *instance)
{
	if (instance[0] != '\0' && span->instance_count < INSTANCES_MAX &&
	    !is_concerned(span, instance))
		span->instances[span->instance_count++] = instance;
}

static bool
find_span(const lines_t *lines, const char *id, span_t *span)
{
	const line_t *line;
	bool found = false;
	size_t i;

	for (i = 0; i < lines->count; i++) {
		line = &lines->items[i];
		if (!is_about(line, id))
			continue;
		if (!found)
			span->first_us = line->time_us;
		span->last_us = line->time_us;
		found = true;
		add_instance(span, line->instance);
		add_instance(span, text_of(line->object, "peer"));
	}
	return found;
}

/* A change of what a node concerned believed, close enough in time. */
static bool
is_background(const line_t *line, const span_t *span)
{
	static const char *const events[] = { "started", "stopping", "stopped",
		"settings", "store-up", "store-down", "peer-up", "peer-down",
		"peer-gone", "member", "target", "config", "config-refused",
		"entry-refused", "move", "dropped" };
	size_t i;

	if (line->time_us < span->first_us - BEFORE_US ||
	    line->time_us > span->last_us ||
	    !is_concerned(span, line->instance))
		return false;
	for (i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		if (strcmp(line->event, events[i]) == 0)
			return true;
	}
	return false;
}

static void
print_line(const line_t *line, const span_t *span, bool background, FILE *out)
{
	json_t *value;
	const char *key;
	char *text;

	fprintf(out, "%+10.3f ms %c %-22s %s",
	    (double)(line->time_us - span->first_us) / BF_US_PER_MS,
	    background ? '|' : '*', line->instance, line->event);
	json_object_foreach (line->object, key, value) {
		if (strcmp(key, "time_us") == 0 ||
		    strcmp(key, "clock_us") == 0 ||
		    strcmp(key, "instance") == 0 || strcmp(key, "event") == 0)
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		fprintf(out, " %s=%s", key, text != NULL ? text : "?");
		free(text);
	}
	fputc('\n', out);
}

static void
tell(const lines_t *lines, const char *id, const span_t *span, FILE *out,
    bf_explain_counts_t *counts)
{
	const line_t *line;
	bool background;
	size_t i;

	for (i = 0; i < lines->count; i++) {
		line = &lines->items[i];
		background = !is_about(line, id);
		if (background && !is_background(line, span))
			continue;
		print_line(line, span, background, out);
		counts->told++;
	}
}

static void
free_lines(lines_t *lines)
{
	size_t i;

	for (i = 0; i < lines->count; i++)
		json_decref(lines->items[i].object);
	free(lines->items);
}

bf_code_t
bf_explain(FILE *in, const char *id, FILE *out, bf_explain_counts_t *counts,
    bf_error_t *err)
{
	span_t span = { .instance_count = 0 };
	lines_t lines = { .count = 0 };
	bf_code_t code = BF_OK;

	*counts = (bf_explain_counts_t){ .lines = 0 };
	if (!read_lines(in, &lines, counts))
		code = bf_error_set(err, BF_ERR_MEMORY,
		    "no memory after %zu lines", lines.count);
	if (code == BF_OK && lines.count > 0)
		qsort(lines.items, lines.count, sizeof(line_t), by_time);
	if (code == BF_OK && !find_span(&lines, id, &span))
		code = bf_error_set(err, BF_ERR_NOT_FOUND,
		    "no line of %llu is about call %s",
		    (unsigned long long)counts->lines, id);
	if (code == BF_OK)
		tell(&lines, id, &span, out, counts);
	free_lines(&lines);
	return code;
}
