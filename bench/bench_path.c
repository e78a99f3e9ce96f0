/*
 * Measures what the two hops add to a call: the same calls go through two nodes
 * and directly to the target, in one run.  Prints one line per measurement:
 * name, value, unit, bound, and "ok" or "RED" (bound exceeded).
 */
#include <errno.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <apr_general.h>

#include "load/load.h"
#include "proxy/proxy.h"
#include "route/table.h"

#define ADDED_P99_MS_MAX 0.99
#define MEMORY_MB_MAX 64.0
#define LINE_BYTES 256
#define SEED 1
#define WINDOWS 8

extern char **environ;

typedef struct bench {
	bf_counters_t *counters;
	bf_endpoint_set_t *endpoints;
	bf_proxy_t *entry;
	bf_proxy_t *target_node;
	pid_t target;
	char target_address[BF_ADDRESS_BYTES];
} bench_t;

static void
fail(const char *what)
{
	(void)fprintf(stderr, "bench_path: %s\n", what);
	exit(2);
}

/* Starts the stand-in target and reads the address that it prints. */
static void
start_target(bench_t *bench, const char *program)
{
	char *arguments[] = { (char *)(uintptr_t)program, "--listen",
		"127.0.0.1:0", "--slots", "64", NULL };
	posix_spawn_file_actions_t actions;
	char line[LINE_BYTES];
	FILE *out;
	int fds[2];

	if (pipe(fds) != 0)
		fail("cannot create a pipe to the target");
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_adddup2(&actions, fds[1], STDOUT_FILENO);
	posix_spawn_file_actions_addclose(&actions, fds[0]);
	if (posix_spawn(&bench->target, program, &actions, NULL, arguments,
		environ) != 0)
		fail("cannot start the target");
	posix_spawn_file_actions_destroy(&actions);
	close(fds[1]);
	out = fdopen(fds[0], "r");
	if (out == NULL || fgets(line, sizeof(line), out) == NULL ||
	    sscanf(line, "listening %63s", bench->target_address) != 1)
		fail("the target has not printed its address");
	(void)fclose(out);
}

static bf_proxy_t *
start_node(bench_t *bench, const char *instance, uint32_t threads, bool fresh)
{
	bf_proxy_options_t options = {
		.caller_listen = "127.0.0.1:0",
		.mesh_listen = "127.0.0.1:0",
		.threads = threads,
		.instance = instance,
		.zone = "brasov-a",
		.region = "ro-centru",
		.counters = bench->counters,
		.fresh_at_most_once = fresh,
	};
	bf_proxy_t *node;
	bf_error_t err;

	if (bf_proxy_new(&options, &node, &err) != BF_OK ||
	    bf_proxy_start(node, &err) != BF_OK)
		fail(err.message);
	return node;
}

static void
publish(bench_t *bench)
{
	static const bf_route_t routes[] = {
		{ .name = "look-up",
		    .path = "/*",
		    .call_class = BF_CALL_REPEATABLE,
		    .deadline_ms = 5000 },
		{ .name = "charge",
		    .path = "/charge/*",
		    .call_class = BF_CALL_AT_MOST_ONCE,
		    .deadline_ms = 5000 },
	};
	static const bf_split_t splits[] = { { .version = "v1", .weight = 1 } };
	bf_service_t service = {
		.name = "abonamente",
		.routes = routes,
		.route_count = sizeof(routes) / sizeof(routes[0]),
		.splits = splits,
		.split_count = 1,
		.queue_ms = 100,
	};
	bf_snapshot_t snapshot = {
		.version = 1, .services = &service, .service_count = 1
	};
	bf_record_t record = {
		.instance = "node",
		.zone = "brasov-a",
		.region = "ro-centru",
		.service = "abonamente",
		.version = "v1",
		.target_state = BF_TARGET_READY,
		.target_incarnation = 1,
		.slots = 64,
	};
	bf_table_input_t input = {
		.snapshot = &snapshot,
		.records = &record,
		.record_count = 1,
		.endpoints = bench->endpoints,
		.own_zone = "brasov-a",
		.own_region = "ro-centru",
		.own_instance = "entry",
		.now_us = bf_clock_monotonic_us(),
	};
	bf_table_t *table;
	bf_error_t err;

	(void)snprintf(record.mesh_address, sizeof(record.mesh_address),
	    "127.0.0.1:%u", bf_proxy_mesh_port(bench->target_node));
	if (bf_table_compile(&input, &table, &err) != BF_OK)
		fail(err.message);
	bf_proxy_publish(bench->entry, table);
}

static void
open_bench(bench_t *bench, const char *program, bool fresh)
{
	bf_local_target_t local = {
		.service = "abonamente",
		.version = "v1",
		.incarnation = 1,
		.slots = 64,
		.state = BF_TARGET_READY,
	};
	bf_error_t err;

	memset(bench, 0, sizeof(*bench));
	bench->counters = bf_counters_new();
	bench->endpoints = bf_endpoint_set_new();
	start_target(bench, program);
	local.address = bench->target_address;
	bench->entry = start_node(bench, "entry", 1, fresh);
	bench->target_node = start_node(bench, "node", 1, fresh);
	if (bf_proxy_set_local_target(bench->target_node, &local, &err) !=
	    BF_OK)
		fail(err.message);
	publish(bench);
}

static void
close_bench(bench_t *bench)
{
	bf_proxy_free(bench->entry);
	bf_proxy_free(bench->target_node);
	bf_endpoint_set_free(bench->endpoints);
	bf_counters_free(bench->counters);
	kill(bench->target, SIGTERM);
	(void)waitpid(bench->target, NULL, 0);
}

static double
cpu_time_s(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
	    (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
	    (double)BF_US_PER_S;
}

/* The peak memory of this process: two nodes and the load generator. */
static double
peak_memory_mb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)usage.ru_maxrss / 1024;
}

static int
print(const char *name, double value, const char *unit, double bound)
{
	if (bound <= 0) {
		(void)printf(
		    "%-34s %10.3f %-6s %8s ok\n", name, value, unit, "-");
		return 0;
	}
	(void)printf("%-34s %10.3f %-6s %8.3f %s\n", name, value, unit, bound,
	    value <= bound ? "ok" : "RED");
	return value <= bound ? 0 : 1;
}

static double
quantile_ms(const bf_load_series_t *series, double fraction)
{
	return (double)bf_histogram_quantile(&series->latency, fraction) /
	    (double)BF_US_PER_MS;
}

static int
print_report(const char *label, const bf_load_report_t *report, double cpu)
{
	static const struct {
		const char *name;
		double fraction, bound;
	} lines[] = { { "p50", 0.5, 0 }, { "p99", 0.99, ADDED_P99_MS_MAX } };
	const bf_load_series_t *mesh = &report->series[0];
	const bf_load_series_t *direct = &report->series[1];
	char name[64];
	int exceeded;
	size_t i;

	exceeded = 0;
	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
		(void)snprintf(name, sizeof(name), "path_%s_direct_%s", label,
		    lines[i].name);
		(void)print(
		    name, quantile_ms(direct, lines[i].fraction), "ms", 0);
		(void)snprintf(name, sizeof(name), "path_%s_added_%s", label,
		    lines[i].name);
		exceeded |= print(name,
		    quantile_ms(mesh, lines[i].fraction) -
			quantile_ms(direct, lines[i].fraction),
		    "ms", lines[i].bound);
	}
	if (cpu > 0) {
		(void)snprintf(name, sizeof(name), "path_%s_cpu", label);
		(void)print(
		    name, cpu * 1e6 / (double)mesh->calls, "us/call", 0);
	}
	(void)snprintf(name, sizeof(name), "path_%s_not_verified", label);
	exceeded |=
	    print(name, (double)(mesh->calls - mesh->verified), "calls", 0.5);
	return exceeded;
}

static void
add_series(bf_load_series_t *sum, const bf_load_series_t *series)
{
	sum->calls += series->calls;
	sum->verified += series->verified;
	bf_histogram_merge(&sum->latency, &series->latency);
}

/* Runs one window: a number of calls at a given rate, per second. */
static void
run_window(bench_t *bench, double rate, size_t calls, const char *line,
    uint64_t seed, bf_load_report_t *report)
{
	char entry[LINE_BYTES], direct[LINE_BYTES];
	const char *targets[] = { entry };
	bf_load_options_t options = { .targets = targets,
		.target_count = 1,
		.baseline = direct,
		.host = "abonamente",
		.seed = seed };
	bf_load_trace_t trace;
	bf_error_t err;
	FILE *mix;

	(void)snprintf(entry, sizeof(entry), "http://127.0.0.1:%u",
	    bf_proxy_caller_port(bench->entry));
	(void)snprintf(
	    direct, sizeof(direct), "http://%s", bench->target_address);
	mix = fmemopen((void *)(uintptr_t)line, strlen(line), "r");
	if (mix == NULL ||
	    bf_load_trace_generate(rate, calls, mix, seed, &trace, &err) !=
		BF_OK)
		fail(err.message);
	(void)fclose(mix);
	if (bf_load_run(&options, &trace, report, &err) != BF_OK)
		fail(err.message);
	bf_load_trace_clear(&trace);
}

/*
 * Prints the report of the whole run, and that of the window in which other
 * load on the machine disturbed the direct calls least (lowest p99).
 */
static int
run_rate(bench_t *bench, const char *label, double rate, size_t calls,
    const char *line)
{
	static bf_load_report_t report, sum, quietest;
	char name[LINE_BYTES];
	double before;
	uint64_t i;

	memset(&sum, 0, sizeof(sum));
	before = cpu_time_s();
	for (i = 0; i < WINDOWS; i++) {
		run_window(
		    bench, rate, calls / WINDOWS, line, SEED + i, &report);
		add_series(&sum.series[0], &report.series[0]);
		add_series(&sum.series[1], &report.series[1]);
		if (i == 0 ||
		    quantile_ms(&report.series[1], 0.99) <
			quantile_ms(&quietest.series[1], 0.99))
			quietest = report;
	}
	(void)snprintf(name, sizeof(name), "%s_quietest", label);
	return print_report(label, &sum, cpu_time_s() - before) |
	    print_report(name, &quietest, 0);
}

int
main(int argc, char **argv)
{
	static const char look_up[] = "1 GET /look-up/1 look-up 0\n";
	static const char charge[] = "1 POST /charge/1 charge 200\n";
	double seconds;
	bench_t bench;
	int fresh, exceeded;

	if (argc < 2)
		fail("usage: bench_path STANDIN_TARGET [SECONDS]");
	seconds = argc > 2 ? strtod(argv[2], NULL) : 10;
	apr_initialize();
	exceeded = 0;
	for (fresh = 0; fresh < 2; fresh++) {
		open_bench(&bench, argv[1], fresh == 1);
		if (fresh == 0) {
			exceeded |= run_rate(
			    &bench, "75", 75, (size_t)(75 * seconds), look_up);
			exceeded |= run_rate(&bench, "750", 750,
			    (size_t)(750 * seconds), look_up);
		}
		exceeded |= run_rate(&bench,
		    fresh == 1 ? "75_charge_fresh" : "75_charge_kept", 75,
		    (size_t)(75 * seconds), charge);
		close_bench(&bench);
	}
	return exceeded |
	    print("path_peak_memory_of_two_nodes", peak_memory_mb(), "MB",
		MEMORY_MB_MAX);
}
