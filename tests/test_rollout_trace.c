#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "rollout/trace.h"

/*
 * Replays each tests/traces/rollout/NAME.trace twice and compares the outcome
 * with NAME.expect, whose lines are "key value"; see check_expectation.
 */

#define TRACES "tests/traces/rollout"

typedef struct bf_test_replay {
	GString *history; /* share, state and verdict after each step */
	bf_rollout_status_t status;
	char state[32];
	char reason[32];
	char route[BF_NAME_BYTES];
	bool late;
	uint32_t share_max_ppm;
	uint32_t share_end_ppm;
	bf_time_us_t state_since_us;
	uint32_t verdicts;
	uint32_t shares_after_verdict;
} bf_test_replay_t;

static void
record_state(bf_test_replay_t *replay, const bf_rollout_status_t *status,
    bf_time_us_t now_us)
{
	const char *state;

	state = bf_rollout_state_name(status->state);
	if (strcmp(state, replay->state) != 0)
		replay->state_since_us = now_us;
	g_strlcpy(replay->state, state, sizeof(replay->state));
	g_strlcpy(replay->reason, bf_rollout_reason_name(status->reason),
	    sizeof(replay->reason));
	g_strlcpy(replay->route, status->figures.route, sizeof(replay->route));
	replay->late = status->late;
}

static void
visit(void *ctx, const bf_rollout_t *rollout, const bf_rollout_out_t *out,
    bf_time_us_t now_us)
{
	bf_share_t shares[BF_MOVE_STATS_ROUTES_MAX];
	bf_test_replay_t *replay = ctx;
	bf_rollout_status_t status;
	size_t count, i;

	bf_rollout_status(rollout, &status);
	record_state(replay, &status, now_us);
	replay->verdicts += out->verdict_reached;
	g_string_append_printf(replay->history, "%" G_GINT64_FORMAT " %s %s %d",
	    now_us, replay->state, replay->reason, out->verdict_reached);
	count = bf_rollout_shares(rollout, shares, BF_MOVE_STATS_ROUTES_MAX);
	replay->share_end_ppm = 0;
	for (i = 0; i < count; i++) {
		replay->share_max_ppm =
		    MAX(replay->share_max_ppm, shares[i].share_ppm);
		replay->share_end_ppm =
		    MAX(replay->share_end_ppm, shares[i].share_ppm);
		g_string_append_printf(
		    replay->history, " %u", shares[i].share_ppm);
	}
	if (status.state == BF_ROLLOUT_TAKEN_BACK && replay->share_end_ppm > 0)
		replay->shares_after_verdict++;
	g_string_append_c(replay->history, '\n');
}

static void
run_trace(const char *name, bf_test_replay_t *replay)
{
	bf_error_t err = { 0 };
	char *path;
	FILE *file;

	*replay = (bf_test_replay_t){ .history = g_string_new(NULL) };
	path = g_strdup_printf(TRACES "/%s.trace", name);
	file = fopen(path, "r");
	g_assert_nonnull(file);
	if (bf_rollout_trace_replay(file, visit, replay, &err) != BF_OK)
		g_error("%s: %s", path, err.message);
	fclose(file);
	g_free(path);
}

static void
check_expectation(
    const bf_test_replay_t *replay, const char *key, const char *value)
{
	uint64_t number;

	number = g_ascii_strtoull(value, NULL, 10);
	if (strcmp(key, "state") == 0)
		g_assert_cmpstr(replay->state, ==, value);
	else if (strcmp(key, "reason") == 0)
		g_assert_cmpstr(replay->reason, ==, value);
	else if (strcmp(key, "route") == 0)
		g_assert_cmpstr(replay->route, ==, value);
	else if (strcmp(key, "late") == 0)
		g_assert_cmpuint(replay->late, ==, number);
	else if (strcmp(key, "verdicts") == 0)
		g_assert_cmpuint(replay->verdicts, ==, number);
	else if (strcmp(key, "share_most_ppm") == 0)
		g_assert_cmpuint(replay->share_max_ppm, <=, number);
	else if (strcmp(key, "share_end_ppm") == 0)
		g_assert_cmpuint(replay->share_end_ppm, ==, number);
	else if (strcmp(key, "settled_by_s") == 0)
		g_assert_cmpint(
		    replay->state_since_us, <=, (gint64)number * BF_US_PER_S);
	else
		g_error("unknown expectation %s", key);
}

static void
test_trace(gconstpointer data)
{
	bf_test_replay_t first, second;
	char *path, *text, **lines, **words;
	size_t i;

	run_trace(data, &first);
	run_trace(data, &second);
	g_assert_cmpuint(first.history->len, >, 0);
	g_assert_cmpstr(first.history->str, ==, second.history->str);
	g_assert_cmpuint(first.shares_after_verdict, ==, 0);
	path = g_strdup_printf(TRACES "/%s.expect", (const char *)data);
	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(g_strstrip(text), "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		words = g_strsplit(lines[i], " ", 2);
		g_assert_cmpuint(g_strv_length(words), ==, 2);
		check_expectation(&first, words[0], words[1]);
		g_strfreev(words);
	}
	g_assert_cmpuint(i, >=, 3);
	g_strfreev(lines);
	g_free(text);
	g_free(path);
	g_string_free(first.history, TRUE);
	g_string_free(second.history, TRUE);
}

static void
test_broken_trace_is_refused(void)
{
	static const char *const broken[] = {
		"{\"event\":\"step\",\"now_us\":1}\n",
		"{\"event\":\"begin\"}\n",
		"[[[[\n",
	};
	bf_error_t err;
	FILE *file;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(broken); i++) {
		file = fmemopen((void *)broken[i], strlen(broken[i]), "r");
		g_assert_cmpint(
		    bf_rollout_trace_replay(file, visit, NULL, &err), ==,
		    BF_ERR_PARSE);
		fclose(file);
	}
}

int
main(int argc, char **argv)
{
	const char *entry;
	char *name, *path;
	uint32_t traces = 0;
	GDir *dir;

	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	dir = g_dir_open(TRACES, 0, NULL);
	g_assert_nonnull(dir);
	while ((entry = g_dir_read_name(dir)) != NULL) {
		if (!g_str_has_suffix(entry, ".trace"))
			continue;
		name = g_strndup(entry, strlen(entry) - strlen(".trace"));
		path = g_strdup_printf("/rollout/trace/%s", name);
		g_test_add_data_func_full(path, name, test_trace, g_free);
		g_free(path);
		traces++;
	}
	g_dir_close(dir);
	g_assert_cmpuint(traces, >=, 10);
	g_test_add_func("/rollout/broken-trace", test_broken_trace_is_refused);
	return g_test_run();
}
