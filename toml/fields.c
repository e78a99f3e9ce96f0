#include <string.h>

#include <apr_strings.h>

#include "toml/fields.h"
#include "toml/node.h"

#define BARE_KEY_CHARACTERS \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-"

const char *
bf_key_join(apr_pool_t *pool, const char *path, const char *key)
{
	const char *quote, *dot;

	quote = "";
	if (key[0] == '\0' || key[strspn(key, BARE_KEY_CHARACTERS)] != '\0')
		quote = "\"";
	dot = path[0] == '\0' ? "" : ".";
	return apr_pstrcat(pool, path, dot, quote, key, quote, NULL);
}

bf_code_t
bf_diagnostics_add_at(bf_diagnostics_t *diagnostics, bf_code_t code,
    const bf_toml_node_t *node, const char *key, const char *expected,
    const char *message)
{
	return bf_diagnostics_add(diagnostics,
	    &(bf_diagnostic_t){ .code = code,
		.file = bf_toml_file(node),
		.line = bf_toml_line(node),
		.column = bf_toml_column(node),
		.key = key,
		.expected = expected,
		.message = message });
}

/* A value that is being read into a record. */
typedef struct bf_field_reader {
	const bf_field_t *field;
	const bf_toml_node_t *node;
	const char *key; /* full */
	char *record;
	bf_diagnostics_t *diagnostics;
} bf_field_reader_t;

static void
report_type(const bf_field_reader_t *r, const char *expected)
{
	bf_diagnostics_add_at(r->diagnostics, BF_ERR_TYPE, r->node, r->key,
	    expected,
	    apr_psprintf(r->diagnostics->pool, "has type %s",
		bf_toml_type_name(bf_toml_type(r->node))));
}

static bool
check_text(
    const bf_field_reader_t *r, const bf_toml_node_t *node, const char *text)
{
	if (r->field->valid == NULL || r->field->valid(text))
		return true;
	bf_diagnostics_add_at(r->diagnostics, BF_ERR_RANGE, node, r->key,
	    r->field->expected,
	    r->field->secret ? "is not valid"
			     : apr_psprintf(r->diagnostics->pool,
				   "\"%.80s\" is not valid", text));
	return false;
}

static void
read_text(const bf_field_reader_t *r)
{
	const char *text;

	if (bf_toml_string(r->node, &text) != BF_OK) {
		report_type(r,
		    r->field->expected != NULL ? r->field->expected
					       : "a string");
		return;
	}
	if (check_text(r, r->node, text))
		memcpy(r->record + r->field->offset, &text, sizeof(text));
}

static void
read_uint32(const bf_field_reader_t *r)
{
	const char *expected;
	uint32_t narrow;
	int64_t value;

	expected = apr_psprintf(r->diagnostics->pool,
	    "an integer from %u to %u", r->field->min, r->field->max);
	if (bf_toml_integer(r->node, &value) != BF_OK) {
		report_type(r, expected);
		return;
	}
	if (value < r->field->min || value > r->field->max) {
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_RANGE, r->node,
		    r->key, expected,
		    apr_psprintf(r->diagnostics->pool,
			"%" APR_INT64_T_FMT " is out of range", value));
		return;
	}
	narrow = (uint32_t)value;
	memcpy(r->record + r->field->offset, &narrow, sizeof(narrow));
}

static void
read_bool(const bf_field_reader_t *r)
{
	bool value;

	if (bf_toml_boolean(r->node, &value) != BF_OK) {
		report_type(r, "true or false");
		return;
	}
	memcpy(r->record + r->field->offset, &value, sizeof(value));
}

static void
read_time(const bf_field_reader_t *r)
{
	bf_time_us_t value;

	if (bf_toml_time(r->node, &value) != BF_OK) {
		report_type(
		    r, "a time with offset, such as 2026-12-04T12:00:00Z");
		return;
	}
	memcpy(r->record + r->field->offset, &value, sizeof(value));
}

static const char *
format_choices(const bf_field_reader_t *r)
{
	const char *text;
	size_t i;

	text =
	    apr_psprintf(r->diagnostics->pool, "\"%s\"", r->field->choices[0]);
	for (i = 1; r->field->choices[i] != NULL; i++)
		text = apr_psprintf(r->diagnostics->pool, "%s or \"%s\"", text,
		    r->field->choices[i]);
	return text;
}

static void
read_choice(const bf_field_reader_t *r)
{
	const char *text;
	uint32_t i;

	if (bf_toml_string(r->node, &text) != BF_OK) {
		report_type(r, format_choices(r));
		return;
	}
	for (i = 0; r->field->choices[i] != NULL; i++) {
		if (strcmp(r->field->choices[i], text) == 0) {
			memcpy(r->record + r->field->offset, &i, sizeof(i));
			return;
		}
	}
	bf_diagnostics_add_at(r->diagnostics, BF_ERR_RANGE, r->node, r->key,
	    format_choices(r),
	    apr_psprintf(r->diagnostics->pool, "\"%.80s\" is unknown", text));
}

static bool
contains(const char *const *texts, size_t count, const char *text)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(texts[i], text) == 0)
			return true;
	}
	return false;
}

static void
read_texts(const bf_field_reader_t *r)
{
	const bf_toml_node_t *element;
	const char **texts, *text;
	size_t count, i;

	if (bf_toml_type(r->node) != BF_TOML_ARRAY) {
		report_type(r, "an array of strings");
		return;
	}
	if (bf_toml_count(r->node) > r->field->max) {
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_TOO_LARGE, r->node,
		    r->key,
		    apr_psprintf(r->diagnostics->pool, "at most %u elements",
			r->field->max),
		    "the array is too long");
		return;
	}
	texts = apr_pcalloc(
	    r->node->pool, (bf_toml_count(r->node) + 1) * sizeof(*texts));
	count = 0;
	for (i = 0; i < bf_toml_count(r->node); i++) {
		element = bf_toml_at(r->node, i);
		if (bf_toml_string(element, &text) != BF_OK) {
			bf_diagnostics_add_at(r->diagnostics, BF_ERR_TYPE,
			    element, r->key, "an array of strings",
			    "an element is not a string");
		} else if (contains(texts, count, text)) {
			bf_diagnostics_add_at(r->diagnostics, BF_ERR_CONFLICT,
			    element, r->key, NULL,
			    apr_psprintf(r->diagnostics->pool,
				"\"%.80s\" is listed twice", text));
		} else if (check_text(r, element, text)) {
			texts[count++] = text;
		}
	}
	memcpy(r->record + r->field->offset, &texts, sizeof(texts));
	memcpy(r->record + r->field->count_offset, &count, sizeof(count));
}

void
bf_field_read(const bf_toml_node_t *node, const char *key,
    const bf_field_t *field, void *record, bf_diagnostics_t *diagnostics)
{
	const bf_field_reader_t reader = { .field = field,
		.node = node,
		.key = key,
		.record = record,
		.diagnostics = diagnostics };
	const bf_field_reader_t *r;

	r = &reader;
	switch (field->kind) {
	case BF_FIELD_TEXT:
		read_text(r);
		break;
	case BF_FIELD_UINT32:
		read_uint32(r);
		break;
	case BF_FIELD_BOOL:
		read_bool(r);
		break;
	case BF_FIELD_TIME:
		read_time(r);
		break;
	case BF_FIELD_CHOICE:
		read_choice(r);
		break;
	case BF_FIELD_TEXT_LIST:
		read_texts(r);
		break;
	case BF_FIELD_CUSTOM:
		break;
	}
}

static const bf_field_t *
find_field(const bf_field_t *fields, size_t count, const char *key)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return &fields[i];
	}
	return NULL;
}

static const char *
format_keys(const bf_field_t *fields, size_t count, apr_pool_t *pool)
{
	const char *text;
	size_t i;

	text = "one of";
	for (i = 0; i < count; i++)
		text = apr_pstrcat(
		    pool, text, i == 0 ? " " : ", ", fields[i].key, NULL);
	return text;
}

void
bf_fields_read(const bf_toml_node_t *table, const char *path,
    const bf_field_t *fields, size_t field_count, void *record,
    bf_diagnostics_t *diagnostics)
{
	const bf_toml_node_t *node;
	const bf_field_t *field;
	const char *key;
	size_t i;

	if (bf_toml_type(table) != BF_TOML_TABLE) {
		report_type(&(bf_field_reader_t){ .node = table,
				.key = path,
				.diagnostics = diagnostics },
		    "a table");
		return;
	}
	for (i = 0; i < bf_toml_count(table); i++) {
		node = bf_toml_at(table, i);
		key = bf_key_join(diagnostics->pool, path, bf_toml_key(node));
		field = find_field(fields, field_count, bf_toml_key(node));
		if (field == NULL)
			bf_diagnostics_add_at(diagnostics, BF_ERR_UNKNOWN_KEY,
			    node, key,
			    format_keys(fields, field_count, diagnostics->pool),
			    "unknown key");
		else
			bf_field_read(node, key, field, record, diagnostics);
	}
	for (i = 0; i < field_count; i++) {
		if (fields[i].required &&
		    bf_toml_get(table, fields[i].key) == NULL)
			bf_diagnostics_add_at(diagnostics, BF_ERR_NOT_FOUND,
			    table,
			    bf_key_join(diagnostics->pool, path, fields[i].key),
			    fields[i].expected, "is missing");
	}
}
