#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_allocator.h>
#include <apr_general.h>
#include <curl/curl.h>

#include "control/control.h"
#include "store/consul.h"

/*
 * Runs the control plane of one node, without a proxy, for bench_control.
 * Prints each version that it applies and, on SIGUSR1, its status to standard
 * output.
 *
 * usage: bench_control_node INSTANCE ZONE ADDRESS STORE-URL|- PUBLIC-KEY
 *     SECRET-KEY SEED...
 */

enum {
	ARG_INSTANCE = 1,
	ARG_ZONE,
	ARG_ADDRESS,
	ARG_STORE,
	ARG_PUBLIC,
	ARG_SECRET,
	ARG_SEEDS
};

/* Limit of freed memory that APR keeps for reuse; by default it keeps all. */
#define ALLOCATOR_FREE_BYTES_MAX 262144

#define STORE_TIMEOUT_MS 3000
#define WATCH_SILENCE_MS 2000

static bf_code_t
on_snapshot(void *ctx, const bf_snapshot_t *snapshot)
{
	(void)ctx;
	printf("applied %" PRIu64 " %" PRId64 "\n", snapshot->version,
	    bf_clock_monotonic_us());
	return BF_OK;
}

static size_t
count_version(bf_control_t *control, uint64_t version)
{
	bf_record_t *records;
	apr_pool_t *pool;
	size_t found;
	size_t count;
	size_t i;

	apr_pool_create(&pool, NULL);
	bf_control_records(control, pool, &records, &count);
	found = 0;
	for (i = 0; i < count; i++)
		found += records[i].config_version == version;
	apr_pool_destroy(pool);
	return found;
}

static void
print_status(bf_control_t *control)
{
	bf_control_status_t status;

	bf_control_status(control, &status);
	printf("status %d %u %u %u %" PRIu64 " %" PRIu64 " %d %" PRIu64
	       " %" PRIu64 " %u %zu\n",
	    status.joined, status.alive, status.suspect, status.dead,
	    status.sent_bytes, status.received_bytes, status.relay,
	    status.store_calls, status.config_version, status.neighbour_count,
	    count_version(control, status.config_version));
}

static bf_store_t *
open_store(const char *url, bf_error_t *err)
{
	bf_store_consul_options_t options = { .url = url,
		.timeout_ms = STORE_TIMEOUT_MS,
		.watch_silence_ms = WATCH_SILENCE_MS };
	bf_store_t *store;

	if (strcmp(url, "-") == 0)
		return NULL;
	if (bf_store_consul_new(&options, &store, err) != BF_OK) {
		fprintf(stderr, "%s\n", err->message);
		exit(1);
	}
	return store;
}

static void
limit_free_memory(void)
{
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	apr_allocator_max_free_set(
	    apr_pool_allocator_get(pool), ALLOCATOR_FREE_BYTES_MAX);
	apr_pool_destroy(pool);
}

int
main(int argc, char **argv)
{
	bf_control_options_t options = { 0 };
	bf_control_t *control;
	bf_error_t err;
	sigset_t signals;
	int received;

	if (argc <= ARG_SEEDS)
		return 2;
	apr_initialize();
	limit_free_memory();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	setvbuf(stdout, NULL, _IOLBF, 0);
	sigemptyset(&signals);
	sigaddset(&signals, SIGUSR1);
	sigaddset(&signals, SIGTERM);
	sigprocmask(SIG_BLOCK, &signals, NULL);
	options.instance = argv[ARG_INSTANCE];
	options.zone = argv[ARG_ZONE];
	options.region = "ro-centru";
	options.control_address = argv[ARG_ADDRESS];
	options.mesh_address = argv[ARG_ADDRESS];
	options.mesh_public_key = argv[ARG_PUBLIC];
	options.mesh_secret_key = argv[ARG_SECRET];
	options.seeds = (const char *const *)&argv[ARG_SEEDS];
	options.seed_count = (size_t)(argc - ARG_SEEDS);
	options.store = open_store(argv[ARG_STORE], &err);
	options.counters = bf_counters_new();
	options.callbacks.snapshot = on_snapshot;
	if (bf_control_new(&options, &control, &err) != BF_OK ||
	    bf_control_start(control, &err) != BF_OK) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	while (sigwait(&signals, &received) == 0 && received == SIGUSR1)
		print_status(control);
	bf_control_stop(control);
	bf_control_free(control);
	return 0;
}
