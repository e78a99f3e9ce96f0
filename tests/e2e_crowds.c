/*
 * Crowds of clients that open more connections than the process has
 * descriptors or memory for, and that neither finish nor leave.  The process
 * must live, stay inside node.memory_mb with what its sockets hold unread,
 * leave descriptors for connections of its own, and answer ordinary requests
 * while the crowd is there and after it has left.
 */
#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#include <glib.h>

#include "base/clock.h"
#include "tests/crowd/clients.h"
#include "tests/crowd/nodes.h"
#include "tests/crowd/process.h"

#define MEMORY_MB 32
#define DESCRIPTORS 256
/* For the store, other nodes, the target and the process's own listeners. */
#define DESCRIPTORS_FREE_MIN 32
#define CLIENTS 400
#define BODY_BYTES_MAX ((size_t)1 << 20)
/* Memory is sampled this often while a crowd is there. */
#define SAMPLES 30
#define SAMPLE_US 50000
#define RETURNS 3
#define MB ((uint64_t)1 << 20)

#define HEAD "POST /crowd HTTP/1.1\r\nHost: " NODES_HOST "\r\n"
#define ID "Request-Id: crowd-%u\r\n"
#define LENGTH "Content-Length: 1048576\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define SMALL_CHUNK "4\r\nxxxx\r\n"

#define REQUEST                                    \
	"GET /crowd HTTP/1.1\r\nHost: " NODES_HOST \
	"\r\nRequest-Id: again\r\n\r\n"

#define UNIT(text) .unit = (text), .unit_bytes = sizeof(text) - 1

/* A chunk of 64 KB, filled when the test starts. */
#define LARGE_CHUNK_BYTES 65536
#define LARGE_CHUNK_HEAD "10000\r\n"
static char large_chunk[LARGE_CHUNK_BYTES + sizeof(LARGE_CHUNK_HEAD) + 1];

static const crowd_kind_t kinds[] = {
	{ .name = "silent", .head = "", UNIT("") },
	{ .name = "heads",
	    .head = HEAD ID "X-Long: ",
	    UNIT("x"),
	    .bytes = 8000 },
	{ .name = "slow-heads",
	    .head = HEAD ID "X-Long: ",
	    UNIT("x"),
	    .bytes = 8000,
	    .piece_bytes = 1,
	    .pause_ms = 100 },
	{ .name = "short-bodies",
	    .head = HEAD ID "Content-Length: 100\r\n\r\n",
	    UNIT("x"),
	    .bytes = 10 },
	{ .name = "slow-bodies",
	    .head = HEAD ID LENGTH,
	    UNIT("x"),
	    .bytes = BODY_BYTES_MAX - 1,
	    .piece_bytes = 16,
	    .pause_ms = 200 },
	{ .name = "whole-bodies",
	    .head = HEAD ID LENGTH,
	    UNIT("x"),
	    .bytes = BODY_BYTES_MAX - 1 },
	{ .name = "pieces",
	    .head = HEAD ID LENGTH,
	    UNIT("x"),
	    .bytes = BODY_BYTES_MAX - 1,
	    .piece_bytes = 16384 },
	{ .name = "large-chunks",
	    .head = HEAD ID CHUNKED,
	    .unit = large_chunk,
	    .unit_bytes = sizeof(large_chunk) - 1,
	    .bytes = BODY_BYTES_MAX - LARGE_CHUNK_BYTES },
	{ .name = "small-chunks",
	    .head = HEAD ID CHUNKED,
	    UNIT(SMALL_CHUNK),
	    .bytes = BODY_BYTES_MAX / 4 * (sizeof(SMALL_CHUNK) - 1) / 2 },
	{ .name = "announced",
	    .head = HEAD ID "Content-Length: 16777216\r\n\r\n",
	    UNIT("x"),
	    .bytes = 16 * BODY_BYTES_MAX - 1 },
	{ .name = "endless",
	    .head = HEAD ID CHUNKED,
	    .unit = large_chunk,
	    .unit_bytes = sizeof(large_chunk) - 1,
	    .bytes = 16 * BODY_BYTES_MAX },
	{ .name = "extensions",
	    .head = HEAD ID CHUNKED "1;a=",
	    UNIT("x"),
	    .bytes = BODY_BYTES_MAX },
	{ .name = "trailers",
	    .head = HEAD ID CHUNKED "1\r\nx\r\n0\r\n",
	    UNIT("X-Trailer: x\r\n"),
	    .bytes = BODY_BYTES_MAX },
	{ .name = "unread-answers",
	    .head = "",
	    UNIT("GET /none HTTP/1.1\r\nHost: none.test\r\n\r\n"),
	    .bytes = BODY_BYTES_MAX,
	    .ignores_answers = true },
	{ .name = "kept-connections",
	    .head = "",
	    UNIT(REQUEST),
	    .bytes = BODY_BYTES_MAX,
	    .piece_bytes = sizeof(REQUEST) - 1,
	    .pause_ms = 1000 },
	{ .name = "pipelined",
	    .head = "",
	    UNIT("GET /crowd HTTP/1.1\r\nHost: " NODES_HOST
		 "\r\nRequest-Id: pipelined\r\n\r\n"),
	    .bytes = BODY_BYTES_MAX },
};

/* Several kinds at once. */
static const char *const mixed_names[] = { "short-bodies", "slow-bodies",
	"unread-answers", "silent", "large-chunks" };

static const crowd_kind_t *
find_kind(const char *name)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) == 0)
			return &kinds[i];
	}
	g_assert_not_reached();
}

static nodes_t *
start(uint32_t node_count)
{
	const nodes_options_t options = {
		.node_count = node_count,
		.memory_mb = MEMORY_MB,
		.body_bytes_max = BODY_BYTES_MAX,
	};
	uint64_t before = process_set_limit(RLIMIT_NOFILE, DESCRIPTORS);
	nodes_t *nodes = nodes_start(&options);

	(void)process_set_limit(RLIMIT_NOFILE, before);
	return nodes;
}

static void
expect_answered(const nodes_t *nodes, const char *path)
{
	uint32_t i;

	for (i = 0; i < nodes->options.node_count; i++) {
		if (nodes->node[i].pid != 0)
			crowd_expect_answered(
			    &nodes->node[i].callers, NODES_HOST, path, 5);
	}
}

/* Checks the bounds for some time, and prints the peaks of all processes. */
static void
expect_within_bounds(nodes_t *nodes)
{
	uint64_t bytes, peak_bytes = 0;
	uint32_t i, sample, descriptors, peak_descriptors = 0;

	for (sample = 0; sample < SAMPLES; sample++) {
		nodes_expect_alive(nodes);
		for (i = 0; i < nodes->options.node_count; i++) {
			bytes = nodes_memory_bytes(nodes, i);
			descriptors =
			    process_descriptor_count(nodes->node[i].pid);
			peak_bytes = MAX(peak_bytes, bytes);
			peak_descriptors = MAX(peak_descriptors, descriptors);
		}
		g_usleep(SAMPLE_US);
	}
	g_test_message("peak %.1f MB of %d, %u descriptors of %d",
	    (double)peak_bytes / MB, MEMORY_MB, peak_descriptors, DESCRIPTORS);
	g_assert_cmpuint(peak_bytes, <=, MEMORY_MB * MB);
	g_assert_cmpuint(
	    peak_descriptors, <=, DESCRIPTORS - DESCRIPTORS_FREE_MIN);
}

/* A crowd at one node: beside the target, or a hop away from it. */
static void
run_crowd_at(
    uint32_t number, const crowd_kind_t *crowd_kinds, uint32_t kind_count)
{
	nodes_t *nodes = start(NODES_MAX);
	crowd_t *crowd = crowd_start(
	    &nodes->node[number].callers, crowd_kinds, kind_count, CLIENTS);

	expect_within_bounds(nodes);
	expect_answered(nodes, "/ordinary");
	expect_within_bounds(nodes);
	crowd_stop(crowd);
	expect_answered(nodes, "/ordinary");
	expect_within_bounds(nodes);
	nodes_stop(nodes);
}

static void
test_kind(gconstpointer kind)
{
	run_crowd_at(0, kind, 1);
}

static void
test_kind_at_other_hop(gconstpointer kind)
{
	run_crowd_at(1, kind, 1);
}

static uint32_t
mix(crowd_kind_t *mixed)
{
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(mixed_names); i++)
		mixed[i] = *find_kind(mixed_names[i]);
	return i;
}

static void
test_mixed(void)
{
	crowd_kind_t mixed[G_N_ELEMENTS(mixed_names)];

	run_crowd_at(0, mixed, mix(mixed));
}

/* The crowd leaves all at once and comes back. */
static void
test_returns(void)
{
	nodes_t *nodes = start(1);
	crowd_t *crowd;
	int i;

	for (i = 0; i < RETURNS; i++) {
		crowd = crowd_start(&nodes->node[0].callers,
		    find_kind("short-bodies"), 1, CLIENTS);
		expect_within_bounds(nodes);
		expect_answered(nodes, "/ordinary");
		crowd_stop(crowd);
	}
	expect_answered(nodes, "/ordinary");
	expect_within_bounds(nodes);
	nodes_stop(nodes);
}

static void
test_config_change(void)
{
	crowd_kind_t mixed[G_N_ELEMENTS(mixed_names)];
	nodes_t *nodes = start(NODES_MAX);
	crowd_t *crowd =
	    crowd_start(&nodes->node[0].callers, mixed, mix(mixed), CLIENTS);

	expect_within_bounds(nodes);
	nodes_write_config(nodes, 2);
	expect_answered(nodes, "/v2/ordinary");
	expect_within_bounds(nodes);
	crowd_stop(crowd);
	nodes_stop(nodes);
}

static void
test_store_down(void)
{
	crowd_kind_t mixed[G_N_ELEMENTS(mixed_names)];
	nodes_t *nodes = start(NODES_MAX);
	crowd_t *crowd =
	    crowd_start(&nodes->node[0].callers, mixed, mix(mixed), CLIENTS);

	nodes_set_store_mode(nodes, SOAK_STORE_RESETS);
	expect_within_bounds(nodes);
	expect_answered(nodes, "/ordinary");
	nodes_set_store_mode(nodes, SOAK_STORE_SERVES);
	nodes_write_config(nodes, 2);
	expect_answered(nodes, "/v2/ordinary");
	expect_within_bounds(nodes);
	crowd_stop(crowd);
	nodes_stop(nodes);
}

/* A planned stop of the node that the crowd is at. */
static void
test_stop(void)
{
	crowd_kind_t mixed[G_N_ELEMENTS(mixed_names)];
	nodes_t *nodes = start(NODES_MAX);
	crowd_t *crowd =
	    crowd_start(&nodes->node[1].callers, mixed, mix(mixed), CLIENTS);

	expect_within_bounds(nodes);
	nodes_terminate(nodes, 1);
	crowd_stop(crowd);
	expect_answered(nodes, "/ordinary");
	nodes_stop(nodes);
}

/*
 * Without node.memory_mb the limits that the kernel sets for the process hold.
 */
static void
test_limit_of_process(void)
{
	const nodes_options_t options = { .node_count = 1,
		.body_bytes_max = BODY_BYTES_MAX };
	uint64_t before = process_set_limit(RLIMIT_DATA, MEMORY_MB * MB);
	nodes_t *nodes = nodes_start(&options);
	crowd_t *crowd;
	uint32_t i;

	(void)process_set_limit(RLIMIT_DATA, before);
	crowd = crowd_start(
	    &nodes->node[0].callers, find_kind("pieces"), 1, CLIENTS);
	for (i = 0; i < SAMPLES; i++) {
		nodes_expect_alive(nodes);
		g_usleep(SAMPLE_US);
	}
	expect_answered(nodes, "/ordinary");
	crowd_stop(crowd);
	expect_answered(nodes, "/ordinary");
	nodes_expect_alive(nodes);
	nodes_stop(nodes);
}

static void
fill_large_chunk(void)
{
	const size_t head_bytes = strlen(LARGE_CHUNK_HEAD);

	(void)g_strlcpy(large_chunk, LARGE_CHUNK_HEAD, sizeof(large_chunk));
	memset(large_chunk + head_bytes, 'x', LARGE_CHUNK_BYTES);
	large_chunk[head_bytes + LARGE_CHUNK_BYTES] = '\r';
	large_chunk[head_bytes + LARGE_CHUNK_BYTES + 1] = '\n';
}

int
main(int argc, char **argv)
{
	char path[64];
	uint32_t i;

	(void)signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	fill_large_chunk();
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		(void)g_snprintf(
		    path, sizeof(path), "/crowds/%s", kinds[i].name);
		g_test_add_data_func(path, &kinds[i], test_kind);
	}
	g_test_add_data_func("/crowds/other-hop/short-bodies",
	    find_kind("short-bodies"), test_kind_at_other_hop);
	g_test_add_data_func("/crowds/other-hop/large-chunks",
	    find_kind("large-chunks"), test_kind_at_other_hop);
	g_test_add_func("/crowds/mixed", test_mixed);
	g_test_add_func("/crowds/returns", test_returns);
	g_test_add_func("/crowds/config-change", test_config_change);
	g_test_add_func("/crowds/store-down", test_store_down);
	g_test_add_func("/crowds/stop", test_stop);
	g_test_add_func("/crowds/limit-of-process", test_limit_of_process);
	return g_test_run();
}
