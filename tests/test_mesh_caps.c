#include <glib.h>
#include <stdio.h>
#include <string.h>

#include <apr_general.h>

#include "tests/mesh_fixture.h"

/*
 * Usage caps over several mesh nodes on one event loop.  Guards against calls
 * that nodes admit beyond the cap of their account, calls that are refused
 * although they are within it, and any effect where no cap is configured.
 */

#define NODES 3
#define WINDOW_MS 5000
#define KEY "Authorization: Bearer k1\r\n"
#define TIMEOUT_MS 800
#define CALLS_MAX 600
/* Until shares are valid, and the pools have tokens. */
#define WARM_UP_US (3 * BF_US_PER_S)

#define ROUTES                           \
	"/read/ safe shop 800 400 2 2\n" \
	"/pay/ unsafe shop 800 400 2 1\n"

typedef struct counts {
	uint32_t sent, served, refused, others;
} counts_t;

/*
 * Sends calls at this rate to the nodes from first on, in turn, and counts the
 * answers.
 */
static counts_t
send_calls(mesh_fixture_t *fixture, uint32_t first, uint32_t nodes,
    uint32_t per_s, bf_time_us_t for_us)
{
	test_call_t *calls = g_new0(test_call_t, CALLS_MAX);
	bf_time_us_t began_us = bf_clock_monotonic_us(), next_us;
	counts_t counts = { .sent = 0 };
	static uint32_t serial;
	char id[24];
	uint32_t i;

	for (i = 0;; i++) {
		next_us = began_us + (bf_time_us_t)i * BF_US_PER_S / per_s;
		if (next_us - began_us >= for_us)
			break;
		g_assert_cmpuint(i, <, CALLS_MAX);
		while (bf_clock_monotonic_us() < next_us)
			fixture_run(fixture, next_us - bf_clock_monotonic_us());
		(void)snprintf(id, sizeof(id), "c%u", ++serial);
		fixture_send_with_fields(fixture, &calls[i], first + i % nodes,
		    "GET", "/read/x", id, TIMEOUT_MS, 0, KEY);
	}
	counts.sent = i;
	g_assert_true(
	    fixture_await(fixture, calls, counts.sent, 3 * BF_US_PER_S));
	for (i = 0; i < counts.sent; i++) {
		if (calls[i].status == 200)
			counts.served++;
		else if (calls[i].status == 429)
			counts.refused++;
		else
			counts.others++;
		if (calls[i].status == 429) {
			g_assert_cmpfloat(calls[i].retry_after_s, >, 0);
			g_assert_cmpuint(
			    fixture_count_runs(fixture, calls[i].id), ==, 0);
		}
		bf_http_client_reset(&calls[i].client);
	}
	g_free(calls);
	g_test_message("sent %u, served %u, refused %u, others %u", counts.sent,
	    counts.served, counts.refused, counts.others);
	return counts;
}

static uint64_t
count_frames(const mesh_fixture_t *fixture)
{
	bf_bytes_t out = { 0 };
	uint64_t count = 0;
	gchar **lines, *text;
	size_t i;

	bf_metrics_print(fixture->metrics, &out);
	text =
	    g_strndup((const char *)bf_bytes_data(&out), bf_bytes_count(&out));
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		if (strstr(lines[i], "bf_frame_delay_microseconds_count") !=
			NULL &&
		    strstr(lines[i], "caps-") != NULL)
			count += g_ascii_strtoull(
			    strrchr(lines[i], ' ') + 1, NULL, 10);
	}
	g_strfreev(lines);
	g_free(text);
	bf_bytes_free(&out);
	return count;
}

/* The cap holds over three nodes in two zones, and is used up. */
static void
test_cap_over_nodes(void)
{
	mesh_fixture_t *fixture = fixture_new_with_caps(NODES, WINDOW_MS);
	counts_t counts;

	fixture_configure(fixture, "5\n" ROUTES "account one k1 30/10\n");
	fixture_run(fixture, WARM_UP_US);
	counts = send_calls(fixture, 0, NODES, 90, 4 * BF_US_PER_S);
	g_assert_cmpuint(counts.others, ==, 0);
	g_assert_cmpuint(counts.served, <=, 30 * 4 + 10 + 4);
	g_assert_cmpuint(counts.served, >=, 30 * 4 * 9 / 10);
	g_assert_cmpuint(count_frames(fixture), >, 50);
	fixture_free(fixture);
}

/* Callers at one node get the whole cap there. */
static void
test_cap_at_one_node(void)
{
	mesh_fixture_t *fixture = fixture_new_with_caps(NODES, WINDOW_MS);
	counts_t counts;
	uint32_t node;

	fixture_configure(fixture,
	    "5\n" ROUTES "account one k1 40/20\n"
	    "account two k2 0/0\n");
	fixture_run(fixture, WARM_UP_US);
	for (node = 0; node < NODES; node++) {
		counts = send_calls(fixture, node, 1, 30, 3 * BF_US_PER_S / 2);
		g_assert_cmpuint(counts.served, ==, counts.sent);
	}
	fixture_free(fixture);
}

/* An account without a rate, or no window, means no cap and no frames. */
static void
test_without_caps(void)
{
	static const uint32_t windows_ms[] = { 0, WINDOW_MS };
	mesh_fixture_t *fixture;
	counts_t counts;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(windows_ms); i++) {
		fixture = fixture_new_with_caps(NODES, windows_ms[i]);
		fixture_configure(fixture,
		    windows_ms[i] == 0 ? "5\n" ROUTES "account one k1 1/1\n"
				       : "5\n" ROUTES "account one k1 0/0\n");
		counts = send_calls(fixture, 0, NODES, 60, 3 * BF_US_PER_S / 2);
		g_assert_cmpuint(counts.served, ==, counts.sent);
		g_assert_cmpuint(count_frames(fixture), ==, 0);
		fixture_free(fixture);
	}
}

/*
 * A call whose caller leaves while it waits for a token is forgotten, and a
 * lower cap takes effect.
 */
static void
test_caller_leaves(void)
{
	mesh_fixture_t *fixture = fixture_new_with_caps(NODES, WINDOW_MS);
	test_call_t calls[20];
	counts_t counts;
	char id[24];
	uint32_t i;

	fixture_configure(fixture, "5\n" ROUTES "account one k1 100/5\n");
	fixture_run(fixture, WARM_UP_US);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		(void)snprintf(id, sizeof(id), "left%u", i);
		fixture_send_with_fields(fixture, &calls[i], 1, "GET",
		    "/read/x", id, TIMEOUT_MS, 0, KEY);
	}
	fixture_run(fixture, BF_US_PER_MS);
	for (i = 0; i < G_N_ELEMENTS(calls); i++)
		bf_http_cancel(&calls[i].exchange);
	fixture_run(fixture, BF_US_PER_S);
	g_assert_cmpuint(fixture->nodes[1]->entry_call_count, ==, 0);
	fixture_configure(fixture, "6\n" ROUTES "account one k1 10/2\n");
	fixture_run(fixture, BF_US_PER_S);
	counts = send_calls(fixture, 0, NODES, 60, 4 * BF_US_PER_S);
	g_assert_cmpuint(counts.others, ==, 0);
	g_assert_cmpuint(counts.served, <=, 10 * 4 + 2 + 3);
	g_assert_cmpuint(counts.served, >=, 10 * 4 * 8 / 10);
	fixture_free(fixture);
}

/* Nodes that start again, the coordinator too, add nothing to the cap. */
static void
test_restart(void)
{
	mesh_fixture_t *fixture = fixture_new_with_caps(NODES, WINDOW_MS);
	counts_t before, after;
	uint32_t i;

	fixture_configure(fixture, "5\n" ROUTES "account one k1 30/10\n");
	fixture_run(fixture, WARM_UP_US);
	before = send_calls(fixture, 0, NODES, 90, 3 * BF_US_PER_S / 2);
	for (i = 0; i < NODES; i++) {
		fixture_restart_node(fixture, i);
		g_assert_cmpint(
		    fixture_heartbeat(fixture, i, "v1", false), ==, BF_OK);
	}
	fixture_run(fixture, BF_US_PER_S / 2);
	after = send_calls(fixture, 0, NODES, 90, 3 * BF_US_PER_S);
	g_assert_cmpuint(before.served + after.served, <=, 30 * 5 + 10 + 5);
	g_assert_cmpuint(after.served, >, 20);
	fixture_free(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	g_test_add_func("/mesh_caps/over-nodes", test_cap_over_nodes);
	g_test_add_func("/mesh_caps/one-node", test_cap_at_one_node);
	g_test_add_func("/mesh_caps/without-caps", test_without_caps);
	g_test_add_func("/mesh_caps/caller-leaves", test_caller_leaves);
	g_test_add_func("/mesh_caps/restart", test_restart);
	return g_test_run();
}
