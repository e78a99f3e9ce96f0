#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/explain.h"

/*
 * tests/data/explain: NAME.log has log lines, NAME.story the timeline that is
 * expected for the call "c1" in them.
 */

#define FOLDER "tests/data/explain"

static void
test_timelines(void)
{
	GDir *folder = g_dir_open(FOLDER, 0, NULL);
	const char *name;
	uint32_t cases = 0;

	g_assert_nonnull(folder);
	while ((name = g_dir_read_name(folder)) != NULL) {
		char *path, *expected = NULL, *printed = NULL;
		bf_explain_counts_t counts;
		size_t printed_bytes = 0;
		bf_error_t err;
		FILE *in, *out;

		if (!g_str_has_suffix(name, ".log"))
			continue;
		g_test_message("%s", name);
		path = g_build_filename(FOLDER, name, NULL);
		in = fopen(path, "r");
		g_assert_nonnull(in);
		out = open_memstream(&printed, &printed_bytes);
		g_assert_cmpint(
		    bf_explain(in, "c1", out, &counts, &err), ==, BF_OK);
		fclose(in);
		fclose(out);
		g_free(path);
		path = g_strdup_printf(
		    "%s/%.*s.story", FOLDER, (int)strlen(name) - 4, name);
		g_assert_true(g_file_get_contents(path, &expected, NULL, NULL));
		g_assert_cmpstr(printed, ==, expected);
		g_free(path);
		g_free(expected);
		free(printed);
		cases++;
	}
	g_assert_cmpuint(cases, >=, 3);
	g_dir_close(folder);
}

static void
test_invalid_lines(void)
{
	static const char text[] = "\n{\n{\"time_us\":1}\n\x01\xff\n[1]\n"
				   "{\"time_us\":\"x\",\"event\":\"ran\"}\n"
				   "{\"time_us\":5,\"event\":\"ran\","
				   "\"instance\":\"n\",\"call\":\"c1\"}\n";
	bf_explain_counts_t counts;
	bf_error_t err;
	FILE *in, *out;

	in = fmemopen((void *)(uintptr_t)text, strlen(text), "r");
	out = fopen("/dev/null", "w");
	g_assert_cmpint(bf_explain(in, "c1", out, &counts, &err), ==, BF_OK);
	g_assert_cmpuint(counts.lines_read, ==, 7);
	g_assert_cmpuint(counts.lines_skipped, ==, 6);
	g_assert_cmpuint(counts.lines_printed, ==, 1);
	rewind(in);
	g_assert_cmpint(
	    bf_explain(in, "c2", out, &counts, &err), ==, BF_ERR_NOT_FOUND);
	fclose(in);
	fclose(out);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/explain/stories", test_timelines);
	g_test_add_func("/explain/damaged", test_invalid_lines);
	return g_test_run();
}
