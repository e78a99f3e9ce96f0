#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <glib.h>
#include <jansson.h>

#include "control/control.h"
#include "control/head.h"
#include "store/consul.h"
#include "tests/harness.h"

/*
 * Runs the control planes of many nodes, one process each, on the store
 * stand-in.  Measures their cost without changes and for each accepted
 * configuration, and the time until a change is in force on all nodes.  Prints
 * one line for each measurement: name, value, unit, bound and ok or RED.
 *
 * usage: BF_BIN=build/bin bench_control [NODES...]
 */

#define ZONES 3
#define SEEDS 3
#define NODES_MAX 400
#define SERVICES 100
#define PORT 23500
#define SETTLE_US 5000000ul
#define QUIET_US 15000000ul
#define CHANGES 10
#define CHANGE_INTERVAL_US 1000000ul
#define STORE_TIMEOUT_MS 5000
#define STATUS_FIELDS 11
/* Store calls that this program makes itself for one change. */
#define OWN_CALLS (SERVICES + 2)

typedef struct node {
	harness_process_t *process;
	char *output_path; /* file with the standard output */
	char *address;
	gint64 status[STATUS_FIELDS]; /* of the last status line */
	gint64 status_lines;          /* status lines read so far */
	gint64 status_lines_expected;
} node_t;

/* The fields of a status line of bench_control_node, in their order. */
enum {
	JOINED,
	ALIVE,
	SUSPECT,
	DEAD,
	SENT_BYTES,
	RECEIVED_BYTES,
	RELAY,
	STORE_CALLS,
	VERSION,
	NEIGHBOURS,
	SAME_VERSION /* number of nodes with the same version */
};

typedef struct bench {
	harness_t *h;
	harness_process_t *server;
	bf_store_t *store;
	apr_pool_t *pool;
	node_t *nodes;
	size_t count;
	char public_key[41];
	char secret_key[41];
} bench_t;

/* Sums over all nodes at one time. */
typedef struct sample {
	gint64 at_us;
	double cpu_s;
	double sent_bytes;
	double received_bytes;
	gint64 store_calls;
} sample_t;

static void
report(const bench_t *bench, const char *name, double value, const char *unit,
    double bound)
{
	printf("control_%s_%zu %.3f %s %.3f %s\n", name, bench->count, value,
	    unit, bound, value <= bound ? "ok" : "RED");
	fflush(stdout);
}

static void
start_node(bench_t *bench, size_t i)
{
	node_t *node = &bench->nodes[i];
	g_autofree char *name = g_strdup_printf("node-%zu", i);
	g_autofree char *zone = g_strdup_printf("zone-%zu", i % ZONES);
	g_autofree char *file = g_strdup_printf("node-%zu.out", i);
	g_autofree char *url =
	    g_strdup_printf("http://%s", bench->server->address);

	node->output_path = g_strdup(harness_path(bench->h, file));
	node->process = harness_start(bench->h, name, "bench_control_node",
	    name, zone, node->address, url, bench->public_key,
	    bench->secret_key, bench->nodes[0].address, bench->nodes[1].address,
	    bench->nodes[2].address, NULL);
}

static void
read_statuses(node_t *node)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	gint64 lines_read;
	size_t i;

	if (!g_file_get_contents(node->output_path, &text, NULL, NULL))
		return;
	lines = g_strsplit(text, "\n", -1);
	lines_read = 0;
	for (i = 0; lines[i] != NULL; i++) {
		if (!g_str_has_prefix(lines[i], "status ") ||
		    lines[i + 1] == NULL)
			continue;
		lines_read++;
		g_auto(GStrv) words = g_strsplit(lines[i] + 7, " ", -1);
		for (size_t v = 0; v < STATUS_FIELDS && words[v] != NULL; v++)
			node->status[v] = g_ascii_strtoll(words[v], NULL, 10);
	}
	node->status_lines = lines_read;
}

/* Requests a status line from all nodes and waits until all have printed it. */
static void
update_statuses(bench_t *bench)
{
	node_t *node;
	size_t i;

	for (i = 0; i < bench->count; i++) {
		node = &bench->nodes[i];
		node->status_lines_expected = node->status_lines + 1;
		harness_signal(node->process, SIGUSR1);
	}
	for (i = 0; i < bench->count; i++) {
		node = &bench->nodes[i];
		while (node->status_lines < node->status_lines_expected) {
			read_statuses(node);
			if (node->status_lines < node->status_lines_expected)
				g_usleep(2000);
		}
	}
}

/* Waits until all nodes have joined and have this value in a status field. */
static void
wait_for_status(bench_t *bench, int field, gint64 value)
{
	size_t reached;
	size_t i;

	do {
		g_usleep(200000);
		update_statuses(bench);
		reached = 0;
		for (i = 0; i < bench->count; i++)
			reached += bench->nodes[i].status[JOINED] == 1 &&
			    bench->nodes[i].status[field] == value;
	} while (reached < bench->count);
}

static double
cpu_s(pid_t pid)
{
	g_autofree char *task = g_strdup_printf("/proc/%d/stat", pid);
	g_autofree char *text = NULL;
	unsigned long user;
	unsigned long system;

	if (!g_file_get_contents(task, &text, NULL, NULL) ||
	    sscanf(strrchr(text, ')') + 2,
		"%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
		&system) != 2)
		return 0;
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static double
rss_mb(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", pid);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	line = strstr(text, "VmRSS:");
	return line == NULL ? 0 : strtod(line + 6, NULL) / 1024;
}

static gint64
store_calls(bench_t *bench)
{
	g_autofree char *text = NULL;
	json_t *counts;
	gint64 total;

	text = harness_request(
	    "GET", "http://%s/standin/counts", bench->server->address);
	counts = json_loads(text, 0, NULL);
	total = json_integer_value(json_object_get(counts, "total"));
	json_decref(counts);
	return total;
}

static sample_t
take_sample(bench_t *bench)
{
	sample_t sample = { 0 };
	size_t i;

	update_statuses(bench);
	sample.at_us = g_get_monotonic_time();
	for (i = 0; i < bench->count; i++) {
		sample.cpu_s += cpu_s(bench->nodes[i].process->pid);
		sample.sent_bytes += (double)bench->nodes[i].status[SENT_BYTES];
		sample.received_bytes +=
		    (double)bench->nodes[i].status[RECEIVED_BYTES];
	}
	sample.store_calls = store_calls(bench);
	return sample;
}

static void
build_services(
    bf_service_t *services, bf_route_t *routes, bf_split_t *split, uint32_t tag)
{
	static char names[SERVICES][16];
	size_t i;

	*split = (bf_split_t){ .version = "v1", .weight = 1 };
	routes[0] = (bf_route_t){ .name = "browse",
		.method = "GET",
		.path = "/*",
		.deadline_ms = 2000,
		.call_class = BF_CALL_REPEATABLE };
	routes[1] = (bf_route_t){ .name = "renew",
		.method = "POST",
		.path = "/renewals",
		.deadline_ms = 5000,
		.call_class = BF_CALL_AT_MOST_ONCE };
	for (i = 0; i < SERVICES; i++) {
		g_snprintf(names[i], sizeof(names[i]), "service-%zu", i);
		services[i] = (bf_service_t){ .name = names[i],
			.host = names[i],
			.routes = routes,
			.route_count = 2,
			.splits = split,
			.split_count = 1,
			.queue_ms = i == tag % SERVICES ? tag : 50 };
	}
}

static void
put_chunks(bench_t *bench, const bf_snapshot_t *snapshot, apr_pool_t *pool)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	const bf_chunk_t *chunk;
	size_t i;

	for (i = 0; i < snapshot->service_count; i++) {
		chunk = &snapshot->chunks[i];
		bf_digest_format(chunk->digest, digest);
		g_assert_cmpint(
		    bf_store_put(bench->store,
			apr_psprintf(pool, "basilfork/chunk/%s", digest),
			chunk->data, chunk->data_bytes, NULL, NULL),
		    ==, BF_OK);
	}
}

/*
 * Writes a version to the store as basilctl does; returns the time just before
 * its head was written.
 */
static gint64
accept_version(bench_t *bench, uint64_t version)
{
	bf_service_t services[SERVICES];
	bf_head_t head = { .submission = "bench" };
	bf_store_value_t value = { .index = BF_STORE_INDEX_ABSENT };
	bf_snapshot_t *snapshot;
	bf_route_t routes[2];
	bf_split_t split;
	const void *data;
	size_t data_bytes;
	gint64 at_us;
	bf_error_t err;

	build_services(services, routes, &split, (uint32_t)version);
	if (bf_snapshot_build(version, services, SERVICES, &snapshot, &err) !=
	    BF_OK)
		g_error("%s", err.message);
	head.version = version;
	head.digest = snapshot->digest;
	head.chunks = snapshot->chunks;
	head.chunk_count = snapshot->service_count;
	put_chunks(bench, snapshot, bench->pool);
	bf_head_encode(&head, bench->pool, &data, &data_bytes, NULL);
	bf_store_get(bench->store, "basilfork/head", bench->pool, &value, NULL);
	at_us = g_get_monotonic_time();
	g_assert_cmpint(
	    bf_store_compare_and_swap(bench->store, "basilfork/head", data,
		data_bytes, value.index, NULL),
	    ==, BF_OK);
	bf_snapshot_free(snapshot);
	return at_us;
}

/* Time at which the last node applied the version; -1: not all have yet. */
static gint64
last_applied(bench_t *bench, uint64_t version)
{
	g_autofree char *prefix =
	    g_strdup_printf("applied %" PRIu64 " ", version);
	gint64 last_us;
	size_t i;

	last_us = 0;
	for (i = 0; i < bench->count; i++) {
		g_autofree char *text = NULL;
		const char *line;

		g_file_get_contents(
		    bench->nodes[i].output_path, &text, NULL, NULL);
		line = text == NULL ? NULL : strstr(text, prefix);
		if (line == NULL)
			return -1;
		last_us = MAX(
		    last_us, g_ascii_strtoll(line + strlen(prefix), NULL, 10));
	}
	return last_us;
}

static void
measure_join(bench_t *bench)
{
	gint64 start_us;

	start_us = g_get_monotonic_time();
	for (size_t i = 0; i < bench->count; i++)
		start_node(bench, i);
	wait_for_status(bench, ALIVE, (gint64)bench->count);
	report(bench, "join", (double)(g_get_monotonic_time() - start_us) / 1e6,
	    "s", 30);
}

static void
measure_quiet(bench_t *bench)
{
	sample_t before;
	sample_t after;
	double span_s;
	double node_count;

	g_usleep(SETTLE_US);
	node_count = (double)bench->count;
	before = take_sample(bench);
	g_usleep(QUIET_US);
	after = take_sample(bench);
	span_s = (double)(after.at_us - before.at_us) / 1e6;
	report(bench, "quiet_core",
	    100 * (after.cpu_s - before.cpu_s) / span_s / node_count, "%", 1.1);
	report(bench, "quiet_sent",
	    (after.sent_bytes - before.sent_bytes) / span_s / node_count, "B/s",
	    3000);
	report(bench, "quiet_sent_and_received",
	    (after.sent_bytes + after.received_bytes - before.sent_bytes -
		before.received_bytes) /
		span_s / node_count,
	    "B/s", 3000);
	report(bench, "quiet_store_calls",
	    (double)(after.store_calls - before.store_calls) / span_s, "1/s",
	    4.0 * ZONES);
}

static void
measure_changes(bench_t *bench)
{
	double convergence_s[CHANGES];
	sample_t before;
	sample_t after;
	double worst;
	double sum;
	double node_count;
	size_t i;

	node_count = (double)bench->count;
	worst = 0;
	sum = 0;
	before = take_sample(bench);
	for (i = 0; i < CHANGES; i++) {
		gint64 last_us;
		gint64 at_us;

		at_us = accept_version(bench, 2 + i);
		while ((last_us = last_applied(bench, 2 + i)) < 0)
			g_usleep(10000);
		convergence_s[i] = (double)(last_us - at_us) / 1e6;
		worst = MAX(worst, convergence_s[i]);
		sum += convergence_s[i];
		g_usleep(CHANGE_INTERVAL_US);
	}
	after = take_sample(bench);
	report(bench, "convergence_mean", sum / CHANGES, "s", 4);
	report(bench, "convergence_worst", worst, "s", 4);
	report(bench, "change_bytes_sent",
	    (after.sent_bytes - before.sent_bytes) / node_count / CHANGES, "B",
	    1e9);
	report(bench, "change_cpu",
	    1000 * (after.cpu_s - before.cpu_s) / node_count / CHANGES, "ms",
	    1e9);
	report(bench, "change_store_calls",
	    (double)(after.store_calls - before.store_calls) / CHANGES -
		OWN_CALLS,
	    "calls", 1e9);
}

static void
measure_memory(bench_t *bench)
{
	double worst;
	double sum;
	double mb;
	size_t i;

	worst = 0;
	sum = 0;
	for (i = 0; i < bench->count; i++) {
		mb = rss_mb(bench->nodes[i].process->pid);
		worst = MAX(worst, mb);
		sum += mb;
	}
	report(bench, "rss_mean", sum / (double)bench->count, "MB", 32);
	report(bench, "rss_worst", worst, "MB", 32);
}

/* Kills one node and measures the time until all others list it as dead. */
static void
measure_death(bench_t *bench)
{
	gint64 start_us;

	bench->count--;
	start_us = g_get_monotonic_time();
	harness_stop(bench->nodes[bench->count].process, SIGKILL);
	wait_for_status(bench, ALIVE, (gint64)bench->count);
	wait_for_status(bench, DEAD, 1);
	report(bench, "death_known",
	    (double)(g_get_monotonic_time() - start_us) / 1e6, "s", 20);
}

static void
run(size_t count)
{
	bench_t bench = { .count = count };
	bf_store_consul_options_t options = { .timeout_ms = STORE_TIMEOUT_MS,
		.watch_silence_ms = STORE_TIMEOUT_MS };
	g_autofree char *url = NULL;
	size_t i;

	apr_pool_create(&bench.pool, NULL);
	bench.h = harness_new();
	bench.nodes = g_new0(node_t, count);
	bench.server = harness_start_listening(
	    bench.h, "store", "standin_store", "--listen=127.0.0.1:0", NULL);
	url = g_strdup_printf("http://%s", bench.server->address);
	options.url = url;
	g_assert_cmpint(
	    bf_store_consul_new(&options, &bench.store, NULL), ==, BF_OK);
	bf_control_keypair(bench.public_key, bench.secret_key, NULL);
	for (i = 0; i < count; i++)
		bench.nodes[i].address = g_strdup_printf(
		    "%s:%d", harness_ip(bench.h, (unsigned)i), PORT);
	accept_version(&bench, 1);
	measure_join(&bench);
	wait_for_status(&bench, VERSION, 1);
	wait_for_status(&bench, SAME_VERSION, (gint64)count);
	measure_quiet(&bench);
	measure_changes(&bench);
	wait_for_status(&bench, SAME_VERSION, (gint64)count);
	measure_memory(&bench);
	measure_death(&bench);
	bf_store_free(bench.store);
	for (i = 0; i < count; i++) {
		g_free(bench.nodes[i].address);
		g_free(bench.nodes[i].output_path);
	}
	g_free(bench.nodes);
	harness_free(bench.h);
	apr_pool_destroy(bench.pool);
}

int
main(int argc, char **argv)
{
	const size_t sizes[] = { 10, 50, 150 };
	size_t i;

	apr_initialize();
	if (argc > 1) {
		for (i = 1; i < (size_t)argc; i++)
			run(CLAMP(
			    strtoul(argv[i], NULL, 10), SEEDS, NODES_MAX));
		return 0;
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		run(sizes[i]);
	return 0;
}
