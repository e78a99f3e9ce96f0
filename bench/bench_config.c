#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <apr_general.h>
#include <apr_strings.h>

#include "base/clock.h"
#include "config/snapshot.h"

/*
 * Measures the cost to keep, send and apply a snapshot of the size that the
 * design has to support.  Prints one line for each measure: name value unit
 * bound ok|RED.  Bytes and allocations are the same in every run and have
 * bounds; times have none.
 */

#define SERVICES 100
#define ROUTES 8
#define ROUNDS 200
#define HELD_SNAPSHOTS 50

#define SNAPSHOT_BYTES_BOUND 262144
#define DELTA_BYTES_BOUND 2048
/* A node may use 32 MB for all of its control plane. */
#define HELD_BYTES_BOUND 1048576
/* 1,700 changes a day, out of 3 KB a second for the control plane. */
#define CHANGES_PER_DAY 1700.0
#define S_PER_DAY 86400.0
#define DELTA_BYTES_PER_S_BOUND 64
#define ALLOCATIONS_BOUND 400

static size_t allocations;

#ifndef __SANITIZE_ADDRESS__
extern void *__libc_malloc(size_t size);

/*
 * Counts the allocations of this program and of its libraries, but not the
 * pages of APR pools, which are mapped.
 */
void *
malloc(size_t size)
{
	allocations++;
	return __libc_malloc(size);
}

extern void *__libc_realloc(void *old, size_t size);

void *
realloc(void *old, size_t size)
{
	allocations++;
	return __libc_realloc(old, size);
}
#endif

static bool bound_exceeded;

static void
print_bounded(const char *name, double value, const char *unit, double bound)
{
	bool ok;

	ok = value <= bound;
	printf("config.%s %.4g %s <=%g %s\n", name, value, unit, bound,
	    ok ? "ok" : "RED");
	if (!ok)
		bound_exceeded = true;
}

static void
print_unbounded(const char *name, double value, const char *unit)
{
	printf("config.%s %.4g %s - ok\n", name, value, unit);
}

static void
fill_routes(apr_pool_t *pool, bf_route_t *routes)
{
	int i;

	for (i = 0; i < ROUTES; i++)
		routes[i] = (bf_route_t){
			.name = apr_psprintf(pool, "route-%d", i),
			.method = i % 2 == 0 ? "GET" : "POST",
			.path = apr_psprintf(pool, "/permits/kind-%d/*", i),
			.call_class = (bf_call_class_t)(i % 3),
			.deadline_ms = 2000,
			.slow_ms = 300,
			.upload = i == ROUTES - 1,
		};
}

static bf_service_t *
make_services(apr_pool_t *pool)
{
	static const char *const zones[] = { "lika-a", "lika-b", "lika-c" };
	static const bf_split_t splits[] = {
		{ .version = "v2026-11", .weight = 100 },
		{ .version = "v2026-12", .weight = 0 },
	};
	static bf_move_t moves[SERVICES];
	bf_service_t *services;
	bf_route_t *routes;
	int i;

	services = apr_pcalloc(pool, SERVICES * sizeof(*services));
	for (i = 0; i < SERVICES; i++) {
		routes = apr_pcalloc(pool, ROUTES * sizeof(*routes));
		fill_routes(pool, routes);
		moves[i] = (bf_move_t){
			.id = apr_psprintf(pool, "service-%d-2026-12", i),
			.from_version = "v2026-11",
			.to_version = "v2026-12",
			.complete_by_us = INT64_C(1796371200) * BF_US_PER_S,
		};
		services[i] = (bf_service_t){
			.name = apr_psprintf(pool, "service-%d", i),
			.host = apr_psprintf(pool, "service-%d.mesh", i),
			.routes = routes,
			.route_count = ROUTES,
			.splits = splits,
			.split_count = 2,
			.zones = zones,
			.zone_count = 3,
			.queue_ms = 50,
			.move = i % 10 == 0 ? &moves[i] : NULL,
		};
	}
	return services;
}

static bf_snapshot_t *
build(uint64_t version, const bf_service_t *services)
{
	bf_snapshot_t *snapshot;
	bf_error_t err;

	if (bf_snapshot_build(version, services, SERVICES, &snapshot, &err) !=
	    BF_OK) {
		fprintf(stderr, "bench_config: %s\n", err.message);
		exit(1);
	}
	return snapshot;
}

static int
compare_times(const void *a, const void *b)
{
	const bf_time_us_t *left, *right;

	left = a;
	right = b;
	return (*left > *right) - (*left < *right);
}

/* An operation to measure; returns its result, or NULL. */
typedef bf_snapshot_t *(*operation_t)(
    const bf_snapshot_t *base, const void *data, size_t data_bytes);

static bf_snapshot_t *
run_decode(const bf_snapshot_t *base, const void *data, size_t data_bytes)
{
	bf_snapshot_t *out;

	(void)base;
	bf_snapshot_decode(data, data_bytes, &out, NULL);
	return out;
}

static bf_snapshot_t *
run_apply(const bf_snapshot_t *base, const void *data, size_t data_bytes)
{
	bf_snapshot_t *out;

	bf_delta_apply(base, data, data_bytes, &out, NULL);
	return out;
}

static bf_snapshot_t *
run_encode(const bf_snapshot_t *base, const void *data, size_t data_bytes)
{
	apr_pool_t *pool;

	apr_pool_create_unmanaged(&pool);
	bf_snapshot_encode(base, pool, &data, &data_bytes, NULL);
	apr_pool_destroy(pool);
	return NULL;
}

/* Prints the allocations and the median time of an operation. */
static void
measure(const char *name, operation_t run, const bf_snapshot_t *base,
    const void *data, size_t data_bytes)
{
	bf_time_us_t times_us[ROUNDS], start_us, median_us;
	bf_snapshot_t *out;
	size_t before;
	char text[64];
	int i;

	before = allocations;
	bf_snapshot_free(run(base, data, data_bytes));
	snprintf(text, sizeof(text), "%s_allocations", name);
	print_bounded(text, (double)(allocations - before), "allocations",
	    ALLOCATIONS_BOUND);
	for (i = 0; i < ROUNDS; i++) {
		start_us = bf_clock_monotonic_us();
		out = run(base, data, data_bytes);
		times_us[i] = bf_clock_monotonic_us() - start_us;
		bf_snapshot_free(out);
	}
	qsort(times_us, ROUNDS, sizeof(times_us[0]), compare_times);
	median_us = times_us[ROUNDS / 2];
	snprintf(text, sizeof(text), "%s_p50", name);
	print_unbounded(text, (double)median_us, "us");
}

static size_t
resident_bytes(void)
{
	unsigned long pages;
	FILE *f;

	pages = 0;
	f = fopen("/proc/self/statm", "r");
	if (f == NULL || fscanf(f, "%*u %lu", &pages) != 1)
		pages = 0;
	if (f != NULL)
		fclose(f);
	return pages * (size_t)sysconf(_SC_PAGESIZE);
}

/* Keeps many snapshots, so that shared or cached memory does not count. */
static void
measure_held(const void *data, size_t data_bytes)
{
	bf_snapshot_t *out[HELD_SNAPSHOTS];
	size_t before;
	int i;

	before = resident_bytes();
	for (i = 0; i < HELD_SNAPSHOTS; i++)
		bf_snapshot_decode(data, data_bytes, &out[i], NULL);
	print_bounded("snapshot_held",
	    (double)(resident_bytes() - before) / HELD_SNAPSHOTS, "bytes",
	    HELD_BYTES_BOUND);
	for (i = 0; i < HELD_SNAPSHOTS; i++)
		bf_snapshot_free(out[i]);
}

int
main(void)
{
	size_t whole_bytes, delta_bytes;
	bf_snapshot_t *base, *next;
	const void *whole, *delta;
	bf_service_t *services;
	bf_route_t *routes;
	apr_pool_t *pool;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	services = make_services(pool);
	base = build(1, services);
	routes =
	    apr_pmemdup(pool, services[0].routes, ROUTES * sizeof(*routes));
	routes[0].deadline_ms++;
	services[0].routes = routes;
	next = build(2, services);
	bf_snapshot_encode(next, pool, &whole, &whole_bytes, NULL);
	bf_delta_encode(base, next, pool, &delta, &delta_bytes, NULL);
	print_bounded("snapshot_bytes", (double)whole_bytes, "bytes",
	    SNAPSHOT_BYTES_BOUND);
	print_bounded(
	    "delta_bytes", (double)delta_bytes, "bytes", DELTA_BYTES_BOUND);
	print_bounded("delta_rate",
	    (double)delta_bytes * CHANGES_PER_DAY / S_PER_DAY, "bytes/s",
	    DELTA_BYTES_PER_S_BOUND);
	measure_held(whole, whole_bytes);
	measure("encode", run_encode, next, NULL, 0);
	measure("decode", run_decode, NULL, whole, whole_bytes);
	measure("delta_apply", run_apply, base, delta, delta_bytes);
	bf_snapshot_free(base);
	bf_snapshot_free(next);
	apr_terminate();
	return bound_exceeded ? 1 : 0;
}
