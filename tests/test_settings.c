#include <string.h>
#include <syslog.h>

#include <apr_general.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <zmq.h>

#include "settings/address.h"
#include "settings/settings.h"

static apr_pool_t *pool;

/* A complete file; %s is replaced by CURVE keys. */
#define COMPLETE_FILE                                        \
	"[node]\n"                                           \
	"instance = \"lika-a-1\"\n"                          \
	"availability_zone = \"lika-a\"\n"                   \
	"region = \"hr-lika\"\n"                             \
	"[caller]\n"                                         \
	"listen = \"127.0.0.1:7001\"\n"                      \
	"[mesh]\n"                                           \
	"listen = \"127.0.0.1:7002\"\n"                      \
	"[control]\n"                                        \
	"listen = \"127.0.0.1:7003\"\n"                      \
	"public_key = \"%s\"\n"                              \
	"secret_key = \"%s\"\n"                              \
	"seeds = [\"127.0.0.2:7003\", \"127.0.0.3:7003\"]\n" \
	"[admin]\n"                                          \
	"listen = \"127.0.0.1:7004\"\n"                      \
	"read_token = \"read-token\"\n"                      \
	"apply_token = \"apply-token\"\n"                    \
	"[store]\n"                                          \
	"url = \"http://127.0.0.1:8500\"\n"                  \
	"[log]\n"                                            \
	"level = \"info\"\n"

static char *
write_file(const char *text)
{
	GError *error;
	char *path;
	int fd;

	error = NULL;
	fd = g_file_open_tmp("basilfork-XXXXXX.toml", &path, &error);
	g_assert_no_error(error);
	g_close(fd, NULL);
	g_file_set_contents(path, text, -1, &error);
	g_assert_no_error(error);
	return path;
}

static bf_code_t
load(const char *text, bf_node_settings_t *settings,
    bf_diagnostics_t **diagnostics)
{
	bf_code_t code;
	char *path;

	*diagnostics = bf_diagnostics_new(pool);
	path = write_file(text);
	code = bf_node_settings_load(path, pool, settings, *diagnostics);
	g_unlink(path);
	g_free(path);
	return code;
}

/* One line "CODE KEY" for each diagnostic. */
static char *
load_diagnostics(const char *text)
{
	bf_node_settings_t settings;
	bf_diagnostics_t *diagnostics;
	GString *out;
	size_t i;

	load(text, &settings, &diagnostics);
	out = g_string_new(NULL);
	for (i = 0; i < diagnostics->count; i++)
		g_string_append_printf(out, "%s %s\n",
		    bf_code_name(diagnostics->items[i].code),
		    diagnostics->items[i].key);
	return g_string_free(out, FALSE);
}

static char *
complete_file(void)
{
	char public_key[41], secret_key[41];

	g_assert_cmpint(zmq_curve_keypair(public_key, secret_key), ==, 0);
	return g_strdup_printf(COMPLETE_FILE, public_key, secret_key);
}

static void
test_complete_file_fills_the_struct(void)
{
	bf_node_settings_t s;
	bf_diagnostics_t *diagnostics;
	char *text;

	text = complete_file();
	g_assert_cmpint(load(text, &s, &diagnostics), ==, BF_OK);
	g_assert_cmpstr(s.node.instance, ==, "lika-a-1");
	g_assert_cmpstr(s.control.listen, ==, "127.0.0.1:7003");
	g_assert_cmpuint(s.control.seeds.count, ==, 2);
	g_assert_cmpstr(s.control.seeds.items[1], ==, "127.0.0.3:7003");
	g_assert_cmpstr(s.admin.apply_token, ==, "apply-token");
	g_assert_cmpstr(s.store.url, ==, "http://127.0.0.1:8500");
	g_assert_cmpuint(s.log.level, ==, LOG_INFO);
	/* Defaults. */
	g_assert_cmpuint(s.node.threads, ==, 2);
	g_assert_cmpuint(s.control.dead_after_ms, ==, 6000);
	g_assert_cmpstr(s.store.prefix, ==, "basilfork/");
	g_assert_cmpuint(s.relay.per_zone, ==, 2);
	g_assert_cmpuint(s.target.drain_timeout_ms, ==, 60000);
	g_assert_cmpuint(s.record.ring_events, ==, 0);
	g_assert_null(s.admin.target_token);
	g_free(text);
}

static void
test_every_missing_key_is_listed(void)
{
	char *outcome;

	outcome = load_diagnostics("[node]\nregion = \"r\"\n[nodes]\n");
	g_assert_cmpstr(outcome, ==,
	    "unknown-key nodes\n"
	    "not-found node.instance\n"
	    "not-found node.availability_zone\n"
	    "not-found caller.listen\n"
	    "not-found mesh.listen\n"
	    "not-found control.listen\n"
	    "not-found admin.listen\n"
	    "not-found admin.read_token\n"
	    "not-found admin.apply_token\n"
	    "argument control.public_key\n");
	g_free(outcome);
}

/* Replaces one text of the complete file and compares the diagnostics. */
static void
test_each_invalid_value_is_rejected(void)
{
	static const struct {
		const char *from, *to, *outcome;
	} cases[] = {
		{ "lika-a-1", "lika a 1", "range node.instance\n" },
		{ "[caller]", "threads = 0\n[caller]", "range node.threads\n" },
		{ "127.0.0.1:7001", "localhost:7001", "range caller.listen\n" },
		{ "127.0.0.1:7001", "127.0.0.1:0", "range caller.listen\n" },
		{ "127.0.0.1:7001", "0.0.0.0:7001", "" },
		{ "127.0.0.1:7002", "0.0.0.0:7002", "range mesh.listen\n" },
		{ "127.0.0.1:7003", "0.0.0.0:7003", "range control.listen\n" },
		{ "127.0.0.1:7003", "[::1]:7003", "range control.listen\n" },
		{ "127.0.0.1:7004", "127.0.0.1:7001",
		    "conflict admin.listen\n" },
		{ "seeds", "insecure = true\nseeds",
		    "argument control.insecure\n" },
		{ "seeds", "heartbeat_ms = 3000\nseeds",
		    "range control.suspect_after_ms\n" },
		{ "seeds", "dead_after_ms = 3000\nseeds",
		    "range control.dead_after_ms\n" },
		{ "seeds", "allowed_keys = [\"x\"]\nseeds",
		    "range control.allowed_keys\n" },
		{ "public_key", "# ", "argument control.public_key\n" },
		{ "read-token", "apply-token", "conflict admin.apply_token\n" },
		{ "read-token", "short", "range admin.read_token\n" },
		{ "http://127.0.0.1", "http://store", "range store.url\n" },
		{ "[log]", "prefix = \"x\"\n[log]", "range store.prefix\n" },
		{ "\"info\"", "6", "type log.level\n" },
		{ "\"info\"", "\"loud\"", "range log.level\n" },
	};
	char *complete, *text, *outcome;
	char **parts;
	size_t i;

	complete = complete_file();
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		parts = g_strsplit(complete, cases[i].from, 2);
		g_assert_cmpuint(g_strv_length(parts), ==, 2);
		text = g_strjoinv(cases[i].to, parts);
		outcome = load_diagnostics(text);
		if (strcmp(outcome, cases[i].outcome) != 0)
			g_error("%s: %s", cases[i].to, outcome);
		g_free(outcome);
		g_free(text);
		g_strfreev(parts);
	}
	g_free(complete);
}

static void
test_keys_must_be_a_pair(void)
{
	char other[41], public_key[41], secret_key[41];
	char *text, *outcome;

	zmq_curve_keypair(public_key, secret_key);
	zmq_curve_keypair(public_key, other);
	text = g_strdup_printf(COMPLETE_FILE, public_key, secret_key);
	outcome = load_diagnostics(text);
	g_assert_cmpstr(outcome, ==, "argument control.public_key\n");
	g_free(outcome);
	g_free(text);
}

static void
test_messages_contain_no_secrets(void)
{
	bf_node_settings_t s;
	bf_diagnostics_t *diagnostics;
	const char *line;
	size_t i;

	load("[control]\nsecret_key = \"hush\"\n"
	     "[admin]\nread_token = \"quiet\"\n",
	    &s, &diagnostics);
	g_assert_cmpuint(diagnostics->count, >, 2);
	for (i = 0; i < diagnostics->count; i++) {
		line = bf_diagnostic_format(&diagnostics->items[i], pool);
		g_assert_null(strstr(line, "hush"));
		g_assert_null(strstr(line, "quiet"));
	}
}

/*
 * The diagnostic of an unknown key lists all keys that its table may have; each
 * of them must be an item of the man page.
 */
static void
check_described(const char *page, const bf_diagnostic_t *diagnostic)
{
	char **keys, *item;
	size_t i;

	g_assert_cmpint(diagnostic->code, ==, BF_ERR_UNKNOWN_KEY);
	g_assert_true(g_str_has_prefix(diagnostic->expected, "one of "));
	keys = g_strsplit(diagnostic->expected + strlen("one of "), ", ", 0);
	for (i = 0; keys[i] != NULL; i++) {
		item = g_strdup_printf("(\\.It|,) Ic %s\\b", keys[i]);
		if (!g_regex_match_simple(item, page, 0, 0))
			g_error("%s is not described", keys[i]);
		g_free(item);
	}
	g_strfreev(keys);
}

static void
test_man_page_is_complete(void)
{
	static const char *const sections[] = { "node", "caller", "mesh",
		"control", "admin", "store", "relay", "target", "trace",
		"record", "log" };
	bf_node_settings_t settings;
	bf_diagnostics_t *diagnostics;
	char *page, *text, *start;
	size_t i;

	g_assert_true(
	    g_file_get_contents("man/basilnoded.toml.5", &page, NULL, NULL));
	for (i = 0; i < G_N_ELEMENTS(sections); i++) {
		text = g_strdup_printf("[%s]\nunknown = 1\n", sections[i]);
		load(text, &settings, &diagnostics);
		g_free(text);
		text = g_strdup_printf(".Ss [%s]\n", sections[i]);
		g_assert_nonnull(strstr(page, text));
		g_free(text);
		while (diagnostics->items->code != BF_ERR_UNKNOWN_KEY) {
			diagnostics->items++;
			diagnostics->count--;
			g_assert_cmpuint(diagnostics->count, >, 0);
		}
		check_described(page, diagnostics->items);
	}
	start = strstr(page, ".Bd -literal\n");
	g_assert_nonnull(start);
	start = strchr(start, '\n') + 1;
	text = g_strndup(start, strstr(start, ".Ed") - start);
	g_assert_cmpint(load(text, &settings, &diagnostics), ==, BF_OK);
	g_free(text);
	g_free(page);
}

static void
test_ctl_settings(void)
{
	bf_diagnostics_t *diagnostics;
	bf_ctl_settings_t s;
	char *path;

	diagnostics = bf_diagnostics_new(pool);
	path = write_file("[store]\nurl = \"http://127.0.0.1:8500\"\n"
			  "[ctl]\nadmin = [\"127.0.0.1:7004\"]\n"
			  "apply_token = \"apply-token\"\n"
			  "operator = \"ana\"\n");
	g_assert_cmpint(
	    bf_ctl_settings_load(path, pool, &s, diagnostics), ==, BF_OK);
	g_assert_cmpuint(s.ctl.admin.count, ==, 1);
	g_assert_cmpstr(s.ctl.operator_name, ==, "ana");
	g_assert_null(s.ctl.read_token);
	g_assert_cmpuint(s.store.timeout_ms, ==, 2000);
	g_unlink(path);
	g_free(path);
}

int
main(int argc, char **argv)
{
	int status;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/whole", test_complete_file_fills_the_struct);
	g_test_add_func("/settings/missing", test_every_missing_key_is_listed);
	g_test_add_func(
	    "/settings/breaks", test_each_invalid_value_is_rejected);
	g_test_add_func("/settings/pair", test_keys_must_be_a_pair);
	g_test_add_func("/settings/secrets", test_messages_contain_no_secrets);
	g_test_add_func("/settings/ctl", test_ctl_settings);
	g_test_add_func("/settings/man", test_man_page_is_complete);
	status = g_test_run();
	apr_terminate();
	return status;
}
