#include <glib.h>

#include "mesh/names.h"

/* Which texts of a configuration can be sent as fields, keys and paths. */

static void
test_texts(void)
{
	static const struct {
		const char *text;
		bool is_field_value, is_key, is_path;
	} rows[] = {
		{ "a", true, true, false },
		{ "Rajkot Counter", true, false, false },
		{ "a\tb", true, false, false },
		{ "\xc3\xa9", true, true, false },
		{ "/health?deep=1", true, true, true },
		{ "/a b", true, false, false },
		{ "/\xc3\xa9", true, true, false },
		{ "", false, false, false },
		{ " a", false, false, false },
		{ "a\t", false, false, false },
		{ "/a\r\nX: b", false, false, false },
		{ "a\x01", false, false, false },
		{ "/a\x7f", false, false, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_test_message("row %zu", i);
		g_assert_cmpint(bf_name_is_field_value(rows[i].text), ==,
		    rows[i].is_field_value);
		g_assert_cmpint(
		    bf_name_is_key(rows[i].text), ==, rows[i].is_key);
		g_assert_cmpint(
		    bf_name_is_path(rows[i].text), ==, rows[i].is_path);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/names/texts", test_texts);
	return g_test_run();
}
