#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <glib.h>

#include "config/intent.h"

#define DATA "tests/data/intent"

static apr_pool_t *pool;

/* One line "CODE FILE:LINE KEY" for each diagnostic of a directory. */
static char *
load_diagnostics(const char *dir)
{
	bf_diagnostics_t *diagnostics;
	const bf_diagnostic_t *p;
	bf_intent_t intent;
	bf_code_t code;
	GString *text;
	char *file;
	size_t i;

	diagnostics = bf_diagnostics_new(pool);
	code = bf_intent_load(dir, pool, &intent, diagnostics);
	g_assert_cmpint(code, ==, bf_diagnostics_code(diagnostics));
	if (code == BF_OK)
		return g_strdup("ok\n");
	g_assert_cmpuint(intent.service_count, ==, 0);
	text = g_string_new(NULL);
	for (i = 0; i < diagnostics->count; i++) {
		p = &diagnostics->items[i];
		g_assert_cmpstr(p->message, !=, "");
		file = g_path_get_basename(p->file);
		g_string_append_printf(text, "%s %s:%u %s\n",
		    bf_code_name(p->code), file, p->line, p->key);
		g_free(file);
	}
	return g_string_free(text, FALSE);
}

/* Each directory of tests/data/intent has its diagnostics in "expected". */
static void
test_directories_have_their_expected_diagnostics(void)
{
	char *path, *expected, *actual;
	const char *name;
	GError *error;
	int directory_count;
	GDir *dir;

	error = NULL;
	dir = g_dir_open(DATA, 0, &error);
	g_assert_no_error(error);
	directory_count = 0;
	while ((name = g_dir_read_name(dir)) != NULL) {
		path = g_build_filename(DATA, name, "expected", NULL);
		g_file_get_contents(path, &expected, NULL, &error);
		g_assert_no_error(error);
		g_free(path);
		path = g_build_filename(DATA, name, NULL);
		actual = load_diagnostics(path);
		if (strcmp(actual, expected) != 0)
			g_error("%s:\n%s", name, actual);
		g_free(path);
		g_free(expected);
		g_free(actual);
		directory_count++;
	}
	g_dir_close(dir);
	g_assert_cmpint(directory_count, ==, 10);
}

/*
 * The diagnostic of an unknown key lists all keys that its table may have; each
 * of them must be in the man page.
 */
static void
test_man_page_is_complete(void)
{
	bf_diagnostics_t *diagnostics;
	bf_intent_t intent;
	char *man_page, *item;
	char **keys;
	size_t i, j;

	g_assert_true(g_file_get_contents(
	    "man/basilfork-intent.5", &man_page, NULL, NULL));
	diagnostics = bf_diagnostics_new(pool);
	bf_intent_load(DATA "/unknown-keys", pool, &intent, diagnostics);
	g_assert_cmpuint(diagnostics->count, ==, 4);
	for (i = 1; i < diagnostics->count; i++) {
		keys = g_strsplit(diagnostics->items[i].expected, " ", 0);
		for (j = 2; keys[j] != NULL; j++) {
			g_strdelimit(keys[j], ",", '\0');
			item = g_strdup_printf("(\\.It Ic |\\.)%s\\b", keys[j]);
			if (!g_regex_match_simple(item, man_page, 0, 0))
				g_error("%s is not described", keys[j]);
			g_free(item);
		}
		g_assert_cmpuint(j, >, 4);
		g_strfreev(keys);
	}
	g_free(man_page);
}

static bf_intent_t
load(const char *dir)
{
	bf_diagnostics_t *diagnostics;
	bf_intent_t intent;
	size_t i;

	diagnostics = bf_diagnostics_new(pool);
	bf_intent_load(dir, pool, &intent, diagnostics);
	for (i = 0; i < diagnostics->count; i++)
		g_error(
		    "%s", bf_diagnostic_format(&diagnostics->items[i], pool));
	return intent;
}

static bf_snapshot_t *
build(const bf_intent_t *intent)
{
	bf_snapshot_t *snapshot;
	bf_error_t err;

	if (bf_snapshot_build(1, intent->services, intent->service_count,
		&snapshot, &err) != BF_OK)
		g_error("%s", err.message);
	return snapshot;
}

static void
test_later_files_override_single_keys(void)
{
	const bf_service_t *s;
	bf_intent_t intent;

	intent = load(DATA "/merge");
	g_assert_cmpuint(intent.file_count, ==, 3);
	g_assert_cmpuint(intent.service_count, ==, 1);
	s = &intent.services[0];
	g_assert_cmpstr(s->name, ==, "permits");
	g_assert_cmpstr(s->host, ==, "permits.example");
	g_assert_cmpuint(s->queue_ms, ==, 20);
	g_assert_cmpuint(s->zone_count, ==, 2);
	g_assert_cmpuint(s->splits[0].weight, ==, 100);
	g_assert_cmpint(s->routes[0].call_class, ==, BF_CALL_REPEATABLE);
	g_assert_cmpuint(s->routes[0].slow_ms, ==, 300);
	g_assert_cmpint(s->move->complete_by_us - s->move->start_us, ==,
	    INT64_C(14400) * BF_US_PER_S);
}

static size_t
count_routes(const bf_intent_t *intent, bf_call_class_t call_class, bool upload)
{
	size_t count, i, j;

	count = 0;
	for (i = 0; i < intent->service_count; i++) {
		for (j = 0; j < intent->services[i].route_count; j++)
			count += intent->services[i].routes[j].call_class ==
				call_class &&
			    intent->services[i].routes[j].upload == upload;
	}
	return count;
}

static void
test_examples_build(void)
{
	bf_snapshot_t *snapshot;
	bf_intent_t intent;

	intent = load("examples/parfumeria");
	g_assert_cmpuint(
	    count_routes(&intent, BF_CALL_AT_MOST_ONCE, false), ==, 2);
	g_assert_cmpuint(count_routes(&intent, BF_CALL_PLAIN, true), ==, 1);
	snapshot = build(&intent);
	g_assert_nonnull(bf_snapshot_find_service(snapshot, "abonamente"));
	g_assert_nonnull(bf_snapshot_find_service(snapshot, "depozit"));
	bf_snapshot_free(snapshot);

	intent = load("examples/velebit");
	g_assert_cmpuint(
	    count_routes(&intent, BF_CALL_AT_MOST_ONCE, false), ==, 2);
	g_assert_cmpuint(count_routes(&intent, BF_CALL_PLAIN, true), ==, 1);
	snapshot = build(&intent);
	g_assert_nonnull(bf_snapshot_find_service(snapshot, "permits"));
	g_assert_nonnull(bf_snapshot_find_service(snapshot, "trailcheck"));
	bf_snapshot_free(snapshot);
}

/* One line "KIND KEY OLD NEW" for each change. */
static char *
diff_text(const bf_snapshot_t *old, const bf_service_t *services, size_t count)
{
	static const char kinds[] = { '+', '-', '~' };
	const bf_change_t *changes;
	GString *text;
	size_t n, i;

	bf_intent_diff(old, services, count, pool, &changes, &n);
	text = g_string_new(NULL);
	for (i = 0; i < n; i++)
		g_string_append_printf(text, "%c%s %s %s\n",
		    kinds[changes[i].kind], changes[i].key,
		    changes[i].old_value ? changes[i].old_value : "-",
		    changes[i].new_value ? changes[i].new_value : "-");
	return g_string_free(text, FALSE);
}

static void
test_diff_lists_each_changed_key(void)
{
	bf_snapshot_t *snapshot;
	bf_route_t routes[2];
	bf_split_t splits[2];
	bf_intent_t intent;
	bf_service_t next;
	char *text;

	intent = load(DATA "/merge");
	snapshot = build(&intent);
	text = diff_text(snapshot, intent.services, 1);
	g_assert_cmpstr(text, ==, "");
	g_free(text);
	next = intent.services[0];
	next.zone_count = 1;
	routes[0] = next.routes[0];
	routes[0].call_class = BF_CALL_PLAIN;
	routes[1] = (bf_route_t){ .name = "issue",
		.path = "/permits",
		.call_class = BF_CALL_AT_MOST_ONCE,
		.deadline_ms = 9 };
	splits[0] = (bf_split_t){ .version = "v1", .weight = 90 };
	splits[1] = (bf_split_t){ .version = "v1.1", .weight = 10 };
	next.routes = routes;
	next.route_count = 2;
	next.splits = splits;
	next.split_count = 2;
	next.move = NULL;
	text = diff_text(snapshot, &next, 1);
	g_assert_cmpstr(text, ==,
	    "~service.permits.availability_zones [\"lika-a\", \"lika-b\"] "
	    "[\"lika-a\"]\n"
	    "-service.permits.move - -\n"
	    "-service.permits.move.complete_by 2026-12-04T12:00:00Z -\n"
	    "-service.permits.move.from \"v1\" -\n"
	    "-service.permits.move.id \"permits-v2-2026-12\" -\n"
	    "-service.permits.move.start 2026-12-04T08:00:00Z -\n"
	    "-service.permits.move.to \"v2\" -\n"
	    "+service.permits.route.issue - -\n"
	    "+service.permits.route.issue.calls - \"at-most-once\"\n"
	    "+service.permits.route.issue.deadline_ms - 9\n"
	    "+service.permits.route.issue.path - \"/permits\"\n"
	    "-service.permits.route.lookup.calls \"repeatable\" -\n"
	    "+service.permits.split.\"v1.1\" - 10\n"
	    "~service.permits.split.v1 100 90\n");
	g_free(text);
	bf_snapshot_free(snapshot);
}

static void
test_conflicts_are_keys_changed_in_both(void)
{
	bf_snapshot_t *base, *theirs;
	const char *const *keys;
	bf_service_t mine, other;
	bf_intent_t intent;
	size_t n;

	intent = load(DATA "/merge");
	base = build(&intent);
	mine = other = intent.services[0];
	mine.queue_ms = 7;
	mine.move = NULL;
	mine.zone_count = 1;
	other.queue_ms = 8;
	other.zone_count = 1;
	other.host = "elsewhere.example";
	intent.services = &other;
	theirs = build(&intent);
	bf_intent_conflicts(base, &mine, 1, theirs, pool, &keys, &n);
	g_assert_cmpuint(n, ==, 1);
	g_assert_cmpstr(keys[0], ==, "service.permits.queue_ms");

	/* An instance excluded in a service that the other one removed. */
	intent.service_count = 0;
	bf_snapshot_free(theirs);
	theirs = build(&intent);
	mine = *bf_snapshot_find_service(base, "permits");
	mine.excluded_instances = (const char *const[]){ "permits-1" };
	mine.excluded_instance_count = 1;
	bf_intent_conflicts(base, &mine, 1, theirs, pool, &keys, &n);
	g_assert_cmpuint(n, ==, 1);
	g_assert_cmpstr(keys[0], ==, "service.permits.excluded_instances");
	bf_snapshot_free(base);
	bf_snapshot_free(theirs);
}

int
main(int argc, char **argv)
{
	int status;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/intent/folders",
	    test_directories_have_their_expected_diagnostics);
	g_test_add_func("/intent/man", test_man_page_is_complete);
	g_test_add_func("/intent/merge", test_later_files_override_single_keys);
	g_test_add_func("/intent/examples", test_examples_build);
	g_test_add_func("/intent/diff", test_diff_lists_each_changed_key);
	g_test_add_func(
	    "/intent/conflicts", test_conflicts_are_keys_changed_in_both);
	status = g_test_run();
	apr_terminate();
	return status;
}
