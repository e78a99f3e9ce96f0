#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "ctl/explain.h"

/* State changes up to this long before the call's first event are printed. */
#define CONTEXT_BEFORE_US (3 * BF_US_PER_S)
/* Longest line that can be read; the event log writes shorter ones. */
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
	size_t capacity;
} lines_t;

/* The nodes involved in a call, and the time range of its events. */
typedef struct call_scope {
	const char *instances[INSTANCES_MAX];
	size_t instance_count;
	json_int_t first_us;
	json_int_t last_us;
} call_scope_t;

static const char *
get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}

static bool
parse_line(const char *text, line_t *line)
{
	const char *brace = strchr(text, '{');
	json_t *object;

	/* A log collector may have added a prefix. */
	if (brace == NULL)
		return false;
	object = json_loads(brace, 0, NULL);
	if (!json_is_object(object) ||
	    !json_is_integer(json_object_get(object, "time_us")) ||
	    get_text(object, "event")[0] == '\0') {
		json_decref(object);
		return false;
	}
	*line = (line_t){
		.object = object,
		.time_us =
		    json_integer_value(json_object_get(object, "time_us")),
		.event = get_text(object, "event"),
		.instance = get_text(object, "instance"),
	};
	return true;
}

static bool
add_line(lines_t *lines, const line_t *line)
{
	line_t *items;
	size_t capacity;

	if (lines->count == lines->capacity) {
		capacity = lines->capacity * 2 + 1024;
		items = realloc(lines->items, capacity * sizeof(*items));
		if (items == NULL)
			return false;
		lines->items = items;
		lines->capacity = capacity;
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
		counts->lines_read++;
		if (!parse_line(text, &line)) {
			counts->lines_skipped++;
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

/* Orders lines by time, then as they were read. */
static int
compare_lines(const void *a, const void *b)
{
	const line_t *x = a, *y = b;

	if (x->time_us != y->time_us)
		return x->time_us < y->time_us ? -1 : 1;
	return x->number < y->number ? -1 : 1;
}

/* Matches the call itself, or a call made while it ran: "ID.OWN". */
static bool
is_about(const line_t *line, const char *id)
{
	const char *call = get_text(line->object, "call");
	size_t bytes = strlen(id);

	return strncmp(call, id, bytes) == 0 &&
	    (call[bytes] == '\0' || call[bytes] == '.');
}

static bool
is_involved(const call_scope_t *scope, const char *instance)
{
	size_t i;

	for (i = 0; i < scope->instance_count; i++) {
		if (strcmp(scope->instances[i], instance) == 0)
			return true;
	}
	return false;
}

static void
add_instance(call_scope_t *scope, const char *instance)
{
	if (instance[0] != '\0' && scope->instance_count < INSTANCES_MAX &&
	    !is_involved(scope, instance))
		scope->instances[scope->instance_count++] = instance;
}

static bool
find_scope(const lines_t *lines, const char *id, call_scope_t *scope)
{
	const line_t *line;
	bool found = false;
	size_t i;

	for (i = 0; i < lines->count; i++) {
		line = &lines->items[i];
		if (!is_about(line, id))
			continue;
		if (!found)
			scope->first_us = line->time_us;
		scope->last_us = line->time_us;
		found = true;
		add_instance(scope, line->instance);
		add_instance(scope, get_text(line->object, "peer"));
	}
	return found;
}

/* True for a state change of an involved node, close enough in time. */
static bool
is_context(const line_t *line, const call_scope_t *scope)
{
	static const char *const events[] = { "started", "stopping", "stopped",
		"settings", "store-up", "store-down", "peer-up", "peer-down",
		"peer-gone", "member", "target", "config", "config-refused",
		"entry-refused", "move", "frame-late", "crowd", "listener",
		"stall", "dropped" };
	size_t i;

	if (line->time_us < scope->first_us - CONTEXT_BEFORE_US ||
	    line->time_us > scope->last_us ||
	    !is_involved(scope, line->instance))
		return false;
	for (i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		if (strcmp(line->event, events[i]) == 0)
			return true;
	}
	return false;
}

static void
print_line(
    const line_t *line, const call_scope_t *scope, bool context, FILE *out)
{
	json_t *value;
	const char *key;
	char *text;

	fprintf(out, "%+10.3f ms %c %-22s %s",
	    (double)(line->time_us - scope->first_us) / BF_US_PER_MS,
	    context ? '|' : '*', line->instance, line->event);
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
print_timeline(const lines_t *lines, const char *id, const call_scope_t *scope,
    FILE *out, bf_explain_counts_t *counts)
{
	const line_t *line;
	bool context;
	size_t i;

	for (i = 0; i < lines->count; i++) {
		line = &lines->items[i];
		context = !is_about(line, id);
		if (context && !is_context(line, scope))
			continue;
		print_line(line, scope, context, out);
		counts->lines_printed++;
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
	call_scope_t scope = { .instance_count = 0 };
	lines_t lines = { .count = 0 };
	bf_code_t code = BF_OK;

	*counts = (bf_explain_counts_t){ .lines_read = 0 };
	if (!read_lines(in, &lines, counts))
		code = bf_error_set(err, BF_ERR_MEMORY,
		    "out of memory after %zu lines", lines.count);
	if (code == BF_OK && lines.count > 0)
		qsort(lines.items, lines.count, sizeof(line_t), compare_lines);
	if (code == BF_OK && !find_scope(&lines, id, &scope))
		code = bf_error_set(err, BF_ERR_NOT_FOUND,
		    "none of %llu log lines is about call %s",
		    (unsigned long long)counts->lines_read, id);
	if (code == BF_OK)
		print_timeline(&lines, id, &scope, out, counts);
	free_lines(&lines);
	return code;
}
