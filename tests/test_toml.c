#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <glib.h>

#include "toml/fields.h"
#include "toml/toml.h"

static apr_pool_t *pool;

static bf_code_t
parse(const char *text, const char *file, bf_toml_node_t **root,
    bf_diagnostics_t **diagnostics)
{
	*diagnostics = bf_diagnostics_new(pool);
	return bf_toml_parse(
	    text, strlen(text), file, pool, root, *diagnostics);
}

static void
test_values_have_types_and_positions(void)
{
	bf_diagnostics_t *diagnostics;
	const bf_toml_node_t *a;
	bf_toml_node_t *root;
	bf_time_us_t time_us;
	const char *text;
	int64_t integer;
	double real;
	bool boolean;

	g_assert_cmpint(parse("[a]\n"
			      "  s = \"x\"\n"
			      "i = -3\n"
			      "f = 0.5\n"
			      "b = true\n"
			      "t = 2026-12-04T09:30:00.25+01:30\n"
			      "l = 2026-12-04T09:30:00\n"
			      "n = [1, 2]\n",
			    "f.toml", &root, &diagnostics),
	    ==, BF_OK);
	a = bf_toml_get(root, "a");
	g_assert_cmpuint(bf_toml_count(a), ==, 7);
	g_assert_cmpint(bf_toml_string(bf_toml_get(a, "s"), &text), ==, BF_OK);
	g_assert_cmpstr(text, ==, "x");
	g_assert_cmpstr(bf_toml_file(bf_toml_get(a, "s")), ==, "f.toml");
	g_assert_cmpuint(bf_toml_line(bf_toml_get(a, "s")), ==, 2);
	g_assert_cmpuint(bf_toml_column(bf_toml_get(a, "s")), ==, 3);
	g_assert_cmpint(
	    bf_toml_integer(bf_toml_get(a, "i"), &integer), ==, BF_OK);
	g_assert_cmpint(integer, ==, -3);
	g_assert_cmpint(bf_toml_float(bf_toml_get(a, "f"), &real), ==, BF_OK);
	g_assert_cmpfloat(real, ==, 0.5);
	g_assert_cmpint(
	    bf_toml_boolean(bf_toml_get(a, "b"), &boolean), ==, BF_OK);
	g_assert_true(boolean);
	g_assert_cmpint(bf_toml_time(bf_toml_get(a, "t"), &time_us), ==, BF_OK);
	/* date -u -d 2026-12-04T08:00:00Z +%s */
	g_assert_cmpint(time_us, ==, INT64_C(1796371200250000));
	g_assert_cmpint(
	    bf_toml_time(bf_toml_get(a, "l"), &time_us), ==, BF_ERR_TYPE);
	g_assert_cmpuint(bf_toml_count(bf_toml_get(a, "n")), ==, 2);
	g_assert_cmpint(
	    bf_toml_integer(bf_toml_get(a, "s"), &integer), ==, BF_ERR_TYPE);
	g_assert_null(bf_toml_get(a, "none"));
}

static char *
repeat(const char *text, size_t times, const char *end)
{
	GString *s;
	size_t i;

	s = g_string_new(NULL);
	for (i = 0; i < times; i++)
		g_string_append(s, text);
	g_string_append(s, end);
	return g_string_free(s, FALSE);
}

static void
test_invalid_files_are_rejected_with_position(void)
{
	struct {
		char *text;
		bf_code_t code;
		uint32_t line;
	} cases[] = {
		{ g_strdup("a = 1\nb = \n"), BF_ERR_PARSE, 2 },
		{ g_strdup("a = 1\na = 2\n"), BF_ERR_PARSE, 2 },
		{ g_strdup("a = \"\\u0000\"\n"), BF_ERR_PARSE, 1 },
		{ g_strdup("a = \"\xff\"\n"), BF_ERR_PARSE, 1 },
		{ g_strdup("a = 99999999999999999999\n"), BF_ERR_PARSE, 1 },
		{ repeat("a.", 100000, "a = 1\n"), BF_ERR_TOO_LARGE, 1 },
		{ repeat("[", 100000, "\n"), BF_ERR_PARSE, 1 },
		{ repeat("#\n", 524289, ""), BF_ERR_TOO_LARGE, 0 },
	};
	bf_diagnostics_t *diagnostics;
	bf_toml_node_t *root;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_assert_cmpint(
		    parse(cases[i].text, "f.toml", &root, &diagnostics), ==,
		    cases[i].code);
		g_assert_null(root);
		g_assert_cmpuint(diagnostics->count, ==, 1);
		g_assert_cmpuint(diagnostics->items[0].line, ==, cases[i].line);
		g_free(cases[i].text);
	}
}

static void
test_unreadable_files_are_rejected(void)
{
	bf_diagnostics_t *diagnostics;
	bf_toml_node_t *root;

	diagnostics = bf_diagnostics_new(pool);
	g_assert_cmpint(bf_toml_parse_file("tests", pool, &root, diagnostics),
	    ==, BF_ERR_IO);
	g_assert_cmpint(
	    bf_toml_parse_file("/dev/zero", pool, &root, diagnostics), ==,
	    BF_ERR_IO);
	g_assert_cmpint(
	    bf_toml_parse_file("tests/none.toml", pool, &root, diagnostics), ==,
	    BF_ERR_IO);
	g_assert_cmpuint(diagnostics->count, ==, 3);
	g_assert_cmpint(bf_diagnostics_code(diagnostics), ==, BF_ERR_IO);
}

static void
test_merge_overrides_single_keys(void)
{
	bf_diagnostics_t *diagnostics;
	bf_toml_node_t *base, *overlay;
	const bf_toml_node_t *a;
	int64_t value;

	parse("[a]\nx = 1\ny = 1\nz = [1, 2]\n", "1.toml", &base, &diagnostics);
	parse("[a]\ny = 2\nw = 3\nz = [9]\n", "2.toml", &overlay, &diagnostics);
	g_assert_cmpint(bf_toml_merge(base, overlay, diagnostics), ==, BF_OK);
	a = bf_toml_get(base, "a");
	g_assert_cmpuint(bf_toml_count(a), ==, 4);
	bf_toml_integer(bf_toml_get(a, "x"), &value);
	g_assert_cmpint(value, ==, 1);
	bf_toml_integer(bf_toml_get(a, "y"), &value);
	g_assert_cmpint(value, ==, 2);
	g_assert_cmpstr(bf_toml_file(bf_toml_get(a, "y")), ==, "2.toml");
	bf_toml_integer(bf_toml_get(a, "w"), &value);
	g_assert_cmpint(value, ==, 3);
	g_assert_cmpuint(bf_toml_count(bf_toml_get(a, "z")), ==, 1);
}

static void
test_merge_conflict_names_both_positions(void)
{
	bf_diagnostics_t *diagnostics, *none;
	bf_toml_node_t *base, *overlay;
	const char *text;

	parse("[a.b]\nc = 1\nd = 1\n", "1.toml", &base, &none);
	parse(
	    "\n[a.b]\nc = \"x\"\nd = 1.0\n", "2.toml", &overlay, &diagnostics);
	g_assert_cmpint(
	    bf_toml_merge(base, overlay, diagnostics), ==, BF_ERR_TYPE);
	g_assert_cmpuint(diagnostics->count, ==, 2);
	text = bf_diagnostic_format(&diagnostics->items[0], pool);
	g_assert_cmpstr(text, ==,
	    "2.toml:3:1: a.b.c: has type string here, but integer in 1.toml, "
	    "line 2 (expected integer)");
}

typedef struct record {
	const char *text;
	uint32_t number;
	const char *const *names;
	size_t name_count;
} record_t;

static void
test_fields_collect_all_diagnostics(void)
{
	static const bf_field_t fields[] = {
		{ .key = "text",
		    .kind = BF_FIELD_TEXT,
		    .offset = offsetof(record_t, text),
		    .required = true },
		{ .key = "number",
		    .kind = BF_FIELD_UINT32,
		    .offset = offsetof(record_t, number),
		    .min = 2,
		    .max = 9 },
		{ .key = "names",
		    .kind = BF_FIELD_TEXT_LIST,
		    .offset = offsetof(record_t, names),
		    .count_offset = offsetof(record_t, name_count),
		    .max = 3 },
	};
	record_t record = { .number = 5 };
	bf_diagnostics_t *diagnostics;
	bf_toml_node_t *root;

	parse(
	    "text = \"t\"\nnames = [\"a\", \"b\"]\n", "f", &root, &diagnostics);
	bf_fields_read(root, "", fields, 3, &record, diagnostics);
	g_assert_cmpuint(diagnostics->count, ==, 0);
	g_assert_cmpstr(record.text, ==, "t");
	g_assert_cmpuint(record.number, ==, 5);
	g_assert_cmpuint(record.name_count, ==, 2);
	g_assert_cmpstr(record.names[1], ==, "b");

	parse("number = 1\nnames = [\"a\", \"a\", 3]\nmore = 1\n", "f", &root,
	    &diagnostics);
	bf_fields_read(root, "p", fields, 3, &record, diagnostics);
	g_assert_cmpuint(diagnostics->count, ==, 5);
	g_assert_cmpint(diagnostics->items[0].code, ==, BF_ERR_UNKNOWN_KEY);
	g_assert_cmpstr(diagnostics->items[0].key, ==, "p.more");
	g_assert_cmpint(diagnostics->items[1].code, ==, BF_ERR_CONFLICT);
	g_assert_cmpint(diagnostics->items[2].code, ==, BF_ERR_TYPE);
	g_assert_cmpint(diagnostics->items[3].code, ==, BF_ERR_RANGE);
	g_assert_cmpint(diagnostics->items[4].code, ==, BF_ERR_NOT_FOUND);
}

int
main(int argc, char **argv)
{
	int status;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/toml/values", test_values_have_types_and_positions);
	g_test_add_func(
	    "/toml/bad", test_invalid_files_are_rejected_with_position);
	g_test_add_func("/toml/files", test_unreadable_files_are_rejected);
	g_test_add_func("/toml/merge", test_merge_overrides_single_keys);
	g_test_add_func(
	    "/toml/conflict", test_merge_conflict_names_both_positions);
	g_test_add_func("/toml/fields", test_fields_collect_all_diagnostics);
	status = g_test_run();
	apr_terminate();
	return status;
}
