#include <glib.h>
#include <string.h>

#include "mesh/names.h"

/* Which texts of a configuration can be sent as fields and paths. */

static void
test_texts(void)
{
	static const struct {
		const char *text;
		bool is_field_value, is_path;
	} rows[] = {
		{ "a", true, false },
		{ "Rajkot Counter", true, false },
		{ "a\tb", true, false },
		{ "\xc3\xa9", true, false },
		{ "/health?deep=1", true, true },
		{ "/a b", true, false },
		{ "/\xc3\xa9", true, false },
		{ "", false, false },
		{ " a", false, false },
		{ "a\t", false, false },
		{ "/a\r\nX: b", false, false },
		{ "a\x01", false, false },
		{ "/a\x7f", false, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_test_message("row %zu", i);
		g_assert_cmpint(bf_name_is_field_value(rows[i].text), ==,
		    rows[i].is_field_value);
		g_assert_cmpint(
		    bf_name_is_path(rows[i].text), ==, rows[i].is_path);
	}
}

/* Long names of routes are cut, stay distinct, and stay valid UTF-8. */
static void
test_route_names(void)
{
	char short_name[BF_ROUTE_NAME_BYTES], a[BF_ROUTE_NAME_BYTES];
	char b[BF_ROUTE_NAME_BYTES];
	GString *text = g_string_new("x");
	int i;

	bf_name_of_route("/a/", short_name);
	g_assert_cmpstr(short_name, ==, "/a/");
	for (i = 0; i < BF_ROUTE_NAME_BYTES; i++)
		g_string_append(text, "\xc3\xa9");
	bf_name_of_route(text->str, a);
	g_string_append(text, "b");
	bf_name_of_route(text->str, b);
	g_assert_cmpstr(a, !=, b);
	g_assert_true(g_utf8_validate(a, -1, NULL));
	g_assert_cmpuint(strlen(a), >, BF_ROUTE_NAME_BYTES / 2);
	g_string_free(text, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/names/texts", test_texts);
	g_test_add_func("/names/routes", test_route_names);
	return g_test_run();
}
