#include <glib.h>

#include <apr_general.h>

#include "node/recorder.h"

static void
test_keeps_first_events(void)
{
	bf_recorder_t *recorder;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	recorder = bf_recorder_new(2);
	fputs("a\n", bf_recorder_begin_event(recorder));
	fputs("b\n", bf_recorder_begin_event(recorder));
	g_assert_null(bf_recorder_begin_event(recorder));
	g_assert_cmpstr(bf_recorder_text(recorder, pool), ==, "a\nb\n");
	bf_recorder_free(recorder);
	apr_pool_destroy(pool);
}

static void
test_recording_off(void)
{
	g_assert_null(bf_recorder_new(0));
	g_assert_null(bf_recorder_begin_event(NULL));
	g_assert_cmpstr(bf_recorder_text(NULL, NULL), ==, "");
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	g_test_add_func("/recorder/first", test_keeps_first_events);
	g_test_add_func("/recorder/off", test_recording_off);
	return g_test_run();
}
