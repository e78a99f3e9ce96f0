#include <glib.h>
#include <glib/gstdio.h>

#include <apr_general.h>

#include "settings/meshd.h"

/*
 * The settings of basilmeshd are rendered by a platform whose figures depend on
 * the deployment.  A process that refuses one of them does not start, and then
 * none of the mesh does: small deployments have fractions where large ones have
 * integers.
 */

static apr_pool_t *pool;

#define REQUIRED_SECTIONS                  \
	"[callers]\n"                      \
	"listen = \"127.0.0.1:7001\"\n"    \
	"[peers]\n"                        \
	"listen = \"127.0.0.1:7002\"\n"    \
	"[platform]\n"                     \
	"ready_listen = \"127.0.0.1:1\"\n" \
	"store = \"127.0.0.1:8142\"\n"

#define NODE                          \
	"[node]\n"                    \
	"instance = \"node-1\"\n"     \
	"availability_zone = \"a\"\n" \
	"service = \"permits\"\n"

#define TARGET                           \
	"[target]\n"                     \
	"address = \"127.0.0.1:8145\"\n" \
	"listen = \"127.0.0.1:8144\"\n"

static bf_code_t
load(const char *text, bf_meshd_settings_t *settings)
{
	g_autofree char *path = NULL;
	bf_diagnostics_t *diagnostics = bf_diagnostics_new(pool);
	bf_code_t code;
	int fd;

	fd = g_file_open_tmp("basilfork-XXXXXX.toml", &path, NULL);
	g_assert_cmpint(fd, >=, 0);
	g_close(fd, NULL);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	code = bf_meshd_settings_load(path, pool, settings, diagnostics);
	g_unlink(path);
	return code;
}

/* A number in the settings, where it is stored, and what it becomes. */
typedef struct figure {
	const char *section; /* its head and the lines before the key */
	const char *key;
	size_t offset;
	uint32_t scale; /* stored units in one of the file */
	uint32_t zero;  /* stored for less than one unit */
} figure_t;

#define FIELD(member) offsetof(bf_meshd_settings_t, member)

static const figure_t figures[] = {
	{ NODE, "link_mbps", FIELD(node.link_mbps), 1, 0 },
	{ TARGET, "heartbeat_ms", FIELD(target.heartbeat_ms), 1, 1500 },
	{ "[stop]\n", "grace_s", FIELD(stop.grace_ms), 1000, 0 },
	{ "[repeats]\n", "share", FIELD(repeats.share_ppm), 1000000, 0 },
	{ "[repeats]\n", "burst", FIELD(repeats.burst), 1, 0 },
	{ "[repeats]\n", "window_s", FIELD(repeats.window_ms), 1000, 0 },
	{ NODE, "memory_mb", FIELD(node.memory_mb), 1, 0 },
	{ NODE, "descriptors_max", FIELD(node.descriptors_max), 1, 0 },
	{ "[accounts]\n", "revoke_ms", FIELD(accounts.revoke_ms), 1, 0 },
	{ "[usage_caps]\n", "window_s", FIELD(usage_caps.window_ms), 1000, 0 },
	{ "[usage_caps]\n", "over", FIELD(usage_caps.over_ppm), 1000000, 0 },
	{ "[usage_caps]\n", "slack", FIELD(usage_caps.slack), 1, 0 },
	{ "[cold_targets]\n", "over", FIELD(cold_targets.over_ppm), 1000000,
	    0 },
	{ "[cold_targets]\n", "slack", FIELD(cold_targets.slack), 1, 0 },
	{ "[load]\n", "zone_cost", FIELD(load.zone_cost_ppm), 1000000, 0 },
	{ "[evacuation]\n", "within_ms", FIELD(evacuation.within_ms), 1, 0 },
};

static bf_code_t
load_figure(const figure_t *figure, const char *value, uint32_t *out)
{
	bool is_node = g_str_has_prefix(figure->section, "[node]");
	bool is_target = g_str_has_prefix(figure->section, "[target]");
	bf_meshd_settings_t settings;
	g_autofree char *text = NULL;
	bf_code_t code;

	text = g_strdup_printf(REQUIRED_SECTIONS "%s%s%s%s = %s\n",
	    is_node ? "" : NODE, is_target ? "" : TARGET, figure->section,
	    figure->key, value);
	code = load(text, &settings);
	*out = *(uint32_t *)(void *)((char *)&settings + figure->offset);
	return code;
}

static void
test_figures_of_every_form(void)
{
	static const struct {
		const char *text;
		double value;
	} values[] = { { "0", 0 }, { "1", 1 }, { "7.0", 7 }, { "2.5", 2.5 },
		{ "0.125", 0.125 }, { "1e0", 1 }, { "9", 9 } };
	uint32_t stored, expected;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(figures); i++) {
		for (j = 0; j < G_N_ELEMENTS(values); j++) {
			expected =
			    (uint32_t)(values[j].value * figures[i].scale);
			if (expected == 0)
				expected = figures[i].zero;
			g_test_message(
			    "%s = %s", figures[i].key, values[j].text);
			g_assert_cmpint(
			    load_figure(&figures[i], values[j].text, &stored),
			    ==, BF_OK);
			g_assert_cmpuint(stored, ==, expected);
		}
	}
}

/* The capacity is learnt only if the settings say so. */
static void
test_learn_capacity(void)
{
	bf_meshd_settings_t settings;

	g_assert_cmpint(
	    load(REQUIRED_SECTIONS NODE TARGET, &settings), ==, BF_OK);
	g_assert_false(settings.load.learn_capacity);
	g_assert_cmpuint(settings.load.zone_cost_ppm, ==, BF_ZONE_COST_ABSENT);
	g_assert_cmpint(load(REQUIRED_SECTIONS NODE TARGET
			    "[load]\nlearn_capacity = true\n",
			    &settings),
	    ==, BF_OK);
	g_assert_true(settings.load.learn_capacity);
	g_assert_cmpint(
	    load(REQUIRED_SECTIONS NODE TARGET "[load]\nlearn_capacity = 1\n",
		&settings),
	    !=, BF_OK);
}

/* What is no figure is refused with a diagnostic, not read as zero. */
static void
test_no_figures(void)
{
	static const char *const values[] = { "-1", "-0.5", "nan", "inf",
		"1e300", "99999999999999", "\"5\"", "true", "[1]" };
	uint32_t stored;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(figures); i++) {
		for (j = 0; j < G_N_ELEMENTS(values); j++) {
			g_test_message("%s = %s", figures[i].key, values[j]);
			g_assert_cmpint(
			    load_figure(&figures[i], values[j], &stored), !=,
			    BF_OK);
		}
	}
}

/* A platform that does not know a figure leaves out its line. */
static void
test_absent_figures(void)
{
	bf_meshd_settings_t settings;

	g_assert_cmpint(
	    load(REQUIRED_SECTIONS NODE TARGET, &settings), ==, BF_OK);
	g_assert_cmpuint(settings.target.heartbeat_ms, ==, 1500);
	g_assert_cmpuint(settings.stop.grace_ms, ==, 6000);
	g_assert_cmpuint(settings.repeats.burst, ==, 10);
}

/* A process that refuses the list of zones does not start either. */
static void
check_zones(void)
{
	bf_meshd_settings_t settings;

	g_assert_cmpint(
	    load(NODE
		"zones = [ \"a=north\", \"b=\" ]\n" TARGET REQUIRED_SECTIONS,
		&settings),
	    ==, BF_OK);
	g_assert_cmpuint(settings.node.zone_count, ==, 2);
	g_assert_cmpstr(settings.node.zones[0], ==, "a=north");
	g_assert_cmpint(
	    load(NODE "zones = [ ]\n" TARGET REQUIRED_SECTIONS, &settings), ==,
	    BF_OK);
	g_assert_cmpuint(settings.node.zone_count, ==, 0);
	g_assert_cmpint(
	    load(
		NODE "zones = [ \"a\" ]\n" TARGET REQUIRED_SECTIONS, &settings),
	    !=, BF_OK);
}

int
main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	apr_pool_create(&pool, NULL);
	g_test_add_func("/meshd-settings/forms", test_figures_of_every_form);
	g_test_add_func("/meshd-settings/no-figures", test_no_figures);
	g_test_add_func("/meshd-settings/absent", test_absent_figures);
	g_test_add_func("/meshd-settings/zones", check_zones);
	g_test_add_func("/meshd-settings/learn-capacity", test_learn_capacity);
	status = g_test_run();
	apr_pool_destroy(pool);
	apr_terminate();
	return status;
}
