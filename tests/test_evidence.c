#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "rollout/aggregator.h"
#include "rollout/evidence.h"
#include "rollout/report.h"
#include "rollout/verdict.h"

#define CALLS_PER_THREAD UINT64_C(20000)

static const struct {
	bf_endpoint_result_t result;
	bf_time_us_t latency_us;
	uint64_t calls;
	uint64_t failures;
	int bucket; /* -1: no latency counted */
} results[] = {
	{ BF_ENDPOINT_RESULT_OK, 400, 1, 0, 0 },
	{ BF_ENDPOINT_RESULT_OK, 501, 1, 0, 1 },
	{ BF_ENDPOINT_RESULT_FAILED, 3000, 1, 1, 3 },
	{ BF_ENDPOINT_RESULT_UNKNOWN, 60 * BF_US_PER_S, 1, 1, 15 },
	{ BF_ENDPOINT_RESULT_FAILED, BF_LATENCY_NOT_COUNTED, 1, 1, -1 },
	{ BF_ENDPOINT_RESULT_NOT_RUN, 10, 0, 0, -1 },
	{ BF_ENDPOINT_RESULT_CANCELLED, 10, 0, 0, -1 },
};

static void
test_results_are_counted_by_kind(void)
{
	bf_evidence_t *evidence;
	bf_evidence_shard_t *shard;
	bf_evidence_cell_t cell;
	bf_tally_t tally;
	char version[8];
	size_t i;
	int k;

	evidence = bf_evidence_new();
	shard = bf_evidence_shard(evidence);
	for (i = 0; i < G_N_ELEMENTS(results); i++) {
		g_snprintf(version, sizeof(version), "%zu", i);
		cell = bf_evidence_register_cell(evidence, "s", "r", version);
		g_assert_cmpuint(cell, ==,
		    bf_evidence_register_cell(evidence, "s", "r", version));
		bf_evidence_add(
		    shard, cell, results[i].result, results[i].latency_us);
		bf_evidence_read(evidence, cell, &tally);
		g_assert_cmpuint(tally.calls, ==, results[i].calls);
		g_assert_cmpuint(tally.failures, ==, results[i].failures);
		for (k = 0; k < BF_TALLY_BUCKETS; k++)
			g_assert_cmpuint(
			    tally.latency[k], ==, k == results[i].bucket);
	}
	bf_evidence_free(evidence);
}

static gpointer
count_calls(gpointer data)
{
	bf_evidence_shard_t *shard = data;
	uint64_t i;

	for (i = 0; i < CALLS_PER_THREAD; i++)
		bf_evidence_add(
		    shard, 0, BF_ENDPOINT_RESULT_FAILED, (bf_time_us_t)i);
	return NULL;
}

static void
test_shards_sum_during_counting(void)
{
	bf_evidence_t *evidence;
	GThread *threads[2];
	bf_tally_t tally;
	uint64_t timed;
	int i, k;

	evidence = bf_evidence_new();
	g_assert_cmpuint(
	    bf_evidence_register_cell(evidence, "s", "r", "v"), ==, 0);
	for (i = 0; i < 2; i++)
		threads[i] = g_thread_new(
		    "worker", count_calls, bf_evidence_shard(evidence));
	do {
		bf_evidence_read(evidence, 0, &tally);
		g_assert_cmpuint(tally.failures, <=, tally.calls);
		timed = 0;
		for (k = 0; k < BF_TALLY_BUCKETS; k++)
			timed += tally.latency[k];
		g_assert_cmpuint(timed, <=, tally.calls);
	} while (tally.calls < 2 * CALLS_PER_THREAD);
	for (i = 0; i < 2; i++)
		g_thread_join(threads[i]);
	bf_evidence_free(evidence);
}

static bf_stats_report_t
example_report(uint64_t incarnation, uint64_t calls)
{
	return (bf_stats_report_t){
		.incarnation = incarnation,
		.stats = { .move_id = "m",
		    .zone = "lika-a",
		    .instance = "n7",
		    .at_us = 5,
		    .route_count = 1,
		    .routes = { { .route = "status",
			.old_version = { .calls = calls,
			    .failures = 3,
			    .latency = { [2] = 4, [5] = 1 } },
			.new_version = { .calls = 2 } } } },
	};
}

/*
 * A message truncated anywhere is rejected; one with any byte replaced by an
 * array header is rejected or decoded without harm.
 */
static void
test_malformed_reports_are_rejected(void)
{
	bf_stats_report_t report, decoded;
	uint8_t bytes[512], malformed[512];
	bf_verdict_t verdict;
	bf_error_t err;
	size_t size, i;

	report = example_report(1, 10);
	g_assert_cmpint(
	    bf_stats_report_encode(&report, bytes, sizeof(bytes), &size, &err),
	    ==, BF_OK);
	g_assert_cmpint(
	    bf_stats_report_decode(bytes, size, &decoded, &err), ==, BF_OK);
	g_assert_cmpuint(decoded.stats.routes[0].old_version.latency[5], ==, 1);
	g_assert_cmpuint(bf_move_stats_count_calls(&decoded.stats), ==, 12);
	for (i = 0; i < size; i++) {
		g_assert_cmpint(
		    bf_stats_report_decode(bytes, i, &decoded, &err), ==,
		    BF_ERR_PARSE);
		memcpy(malformed, bytes, size);
		malformed[i] = 0xdd; /* an array with a 32-bit length */
		(void)bf_stats_report_decode(malformed, size, &decoded, &err);
		(void)bf_verdict_decode(malformed, size, &verdict, &err);
	}
	g_assert_cmpint(bf_stats_report_decode(
			    bytes, BF_MOVE_STATS_BYTES_MAX + 1, &decoded, &err),
	    ==, BF_ERR_TOO_LARGE);
	report.stats.routes[0].new_version.failures = 3;
	g_assert_cmpint(
	    bf_stats_report_encode(&report, bytes, sizeof(bytes), &size, &err),
	    ==, BF_OK);
	g_assert_cmpint(bf_stats_report_decode(bytes, size, &decoded, &err), ==,
	    BF_ERR_PARSE);
}

static void
test_verdict_survives_encoding(void)
{
	bf_verdict_t verdict, back;
	uint8_t bytes[BF_VERDICT_BYTES_MAX];
	bf_error_t err;
	size_t size;
	char *json;

	verdict = (bf_verdict_t){
		.move_id = "m",
		.state = BF_ROLLOUT_TAKEN_BACK,
		.reason = BF_ROLLOUT_REASON_SLOW,
		.figures = { .route = "status",
		    .new_calls = 40,
		    .slow_over_ms = 16,
		    .new_slow = 30,
		    .evidence = 250.5 },
		.zone = "lika-a",
		.instance = "n1",
		.at_us = 77,
	};
	g_assert_cmpint(
	    bf_verdict_encode(&verdict, bytes, sizeof(bytes), &size, &err), ==,
	    BF_OK);
	g_assert_cmpint(bf_verdict_decode(bytes, size, &back, &err), ==, BF_OK);
	g_assert_cmpmem(&verdict, sizeof(verdict), &back, sizeof(back));
	json = bf_verdict_json(&verdict);
	g_assert_cmpint(
	    bf_verdict_parse(json, strlen(json), &back, &err), ==, BF_OK);
	g_assert_cmpmem(&verdict, sizeof(verdict), &back, sizeof(back));
	g_assert_cmpint(
	    bf_verdict_parse("{}", 2, &back, &err), ==, BF_ERR_PARSE);
	g_free(json);
}

/* A zone whose instances' messages are delivered by the test. */
#define ZONE_INSTANCES UINT64_C(9)

typedef struct bf_test_zone {
	bf_aggregator_t *nodes[ZONE_INSTANCES];
	bf_evidence_t *evidence[ZONE_INSTANCES];
	bf_record_t records[ZONE_INSTANCES];
	int sender;
	int sent;
	int published;
	int publisher;
	uint64_t total;
} bf_test_zone_t;

static const bf_route_t zone_routes[] = { { .name = "status" } };
static const bf_move_t zone_move = { .id = "m",
	.from_version = "1",
	.to_version = "2",
	.start_us = 0,
	.complete_by_us = 600 * BF_US_PER_S };
static const bf_service_t zone_service = { .name = "permits",
	.routes = zone_routes,
	.route_count = 1,
	.move = &zone_move };

static void
deliver(void *ctx, const char *instance, const void *data, size_t bytes)
{
	bf_test_zone_t *zone = ctx;
	bf_error_t err;
	size_t i;

	zone->sent++;
	for (i = 0; i < ZONE_INSTANCES; i++) {
		if (strcmp(zone->records[i].instance, instance) != 0)
			continue;
		/* Delivered twice, as a repeated message must do no harm. */
		g_assert_cmpint(bf_aggregator_receive_report(
				    zone->nodes[i], data, bytes, 0, &err),
		    ==, BF_OK);
		g_assert_cmpint(bf_aggregator_receive_report(
				    zone->nodes[i], data, bytes, 0, &err),
		    ==, BF_OK);
	}
}

static void
record_published(
    void *ctx, const char *key, uint64_t rank, const void *data, size_t bytes)
{
	bf_test_zone_t *zone = ctx;
	bf_move_stats_t stats;
	size_t i;

	(void)key;
	g_assert_cmpuint(rank, >, 0);
	g_assert_cmpint(
	    bf_move_stats_decode(data, bytes, &stats, NULL), ==, BF_OK);
	zone->published++;
	zone->publisher = zone->sender;
	zone->total = bf_move_stats_count_calls(&stats);
	for (i = 0; i < ZONE_INSTANCES; i++) {
		if (zone->nodes[i] != NULL)
			bf_aggregator_receive_stats(
			    zone->nodes[i], &stats, stats.at_us);
	}
}

static void
ignore_collected(void *ctx, const bf_move_stats_t *stats)
{
	(void)ctx;
	(void)stats;
}

static void
run_zone(
    bf_test_zone_t *zone, bf_time_us_t from_us, bf_time_us_t to_us, int stopped)
{
	const bf_aggregator_callbacks_t out = { zone, deliver, ignore_collected,
		record_published };
	bf_time_us_t now_us;
	size_t i;

	for (now_us = from_us; now_us < to_us; now_us += 250 * BF_US_PER_MS) {
		for (i = 0; i < ZONE_INSTANCES; i++) {
			zone->sender = (int)i;
			if ((int)i != stopped)
				bf_aggregator_tick(zone->nodes[i],
				    zone->evidence[i], &out, now_us);
		}
	}
}

static void
start_zone(bf_test_zone_t *zone)
{
	bf_error_t err;
	size_t i;

	*zone = (bf_test_zone_t){ .publisher = -1 };
	for (i = 0; i < ZONE_INSTANCES; i++) {
		g_snprintf(zone->records[i].instance, BF_NAME_BYTES, "n%zu", i);
		strcpy(zone->records[i].zone, "lika-a");
	}
	for (i = 0; i < ZONE_INSTANCES; i++) {
		zone->evidence[i] = bf_evidence_new();
		zone->nodes[i] =
		    bf_aggregator_new(zone->records[i].instance, "lika-a", 1);
		g_assert_cmpint(bf_aggregator_set_services(zone->nodes[i],
				    zone->evidence[i], &zone_service, 1, &err),
		    ==, BF_OK);
		g_assert_cmpint(bf_aggregator_set_members(zone->nodes[i],
				    zone->records, ZONE_INSTANCES, &err),
		    ==, BF_OK);
	}
}

static void
count_zone(bf_test_zone_t *zone, int calls)
{
	bf_evidence_shard_t *shard;
	bf_evidence_cell_t cell;
	size_t i;
	int k;

	for (i = 0; i < ZONE_INSTANCES; i++) {
		shard = bf_evidence_shard(zone->evidence[i]);
		cell = bf_evidence_register_cell(
		    zone->evidence[i], "permits", "status", "1");
		for (k = 0; k < calls; k++)
			bf_evidence_add(
			    shard, cell, BF_ENDPOINT_RESULT_OK, 900);
	}
}

static void
stop_zone(bf_test_zone_t *zone)
{
	size_t i;

	for (i = 0; i < ZONE_INSTANCES; i++) {
		bf_aggregator_free(zone->nodes[i]);
		bf_evidence_free(zone->evidence[i]);
	}
}

static void
test_backup_collector_takes_over(void)
{
	bf_test_zone_t zone;
	size_t i;
	int first, collectors;

	start_zone(&zone);
	for (i = 0, collectors = 0; i < ZONE_INSTANCES; i++)
		collectors += bf_aggregator_is_collector(zone.nodes[i], "m");
	g_assert_cmpint(collectors, ==, BF_AGGREGATOR_COLLECTORS);
	count_zone(&zone, 10);
	run_zone(&zone, BF_US_PER_S, 10 * BF_US_PER_S, -1);
	g_assert_cmpuint(zone.total, ==, 10 * ZONE_INSTANCES);
	g_assert_cmpint(zone.published, ==, 1);
	first = zone.publisher;
	count_zone(&zone, 5);
	run_zone(&zone, 10 * BF_US_PER_S, 30 * BF_US_PER_S, first);
	g_assert_cmpint(zone.publisher, !=, first);
	/* The calls counted since by the stopped collector are missing. */
	g_assert_cmpuint(zone.total, ==, 15 * ZONE_INSTANCES - 5);
	stop_zone(&zone);
}

static void
test_counts_survive_a_restart(void)
{
	bf_test_zone_t zone;
	bf_stats_report_t report;
	uint8_t bytes[512];
	bf_error_t err;
	size_t size, i;
	/* Incarnation and calls in order of arrival, reordered and repeated. */
	static const uint64_t arrivals[][2] = { { 1, 10 }, { 1, 8 }, { 2, 4 },
		{ 1, 12 }, { 2, 6 }, { 2, 5 } };

	start_zone(&zone);
	for (i = 0; i < G_N_ELEMENTS(arrivals); i++) {
		report = example_report(arrivals[i][0], arrivals[i][1]);
		report.stats.routes[0].old_version =
		    (bf_tally_t){ .calls = arrivals[i][1] };
		report.stats.routes[0].new_version = (bf_tally_t){ 0 };
		bf_stats_report_encode(
		    &report, bytes, sizeof(bytes), &size, &err);
		deliver(&zone, "n0", bytes, size);
	}
	zone.records[0].state = BF_MEMBER_ALIVE;
	bf_aggregator_set_members(zone.nodes[0], zone.records, 1, &err);
	run_zone(&zone, BF_US_PER_S, 20 * BF_US_PER_S, -1);
	g_assert_cmpuint(zone.total, ==, 10 + 6);
	stop_zone(&zone);
}

static void
test_intervals_respect_their_limits(void)
{
	static const size_t sizes[][2] = { { 12, 1 }, { 163, 1 }, { 163, 4 },
		{ 163, 20 }, { 650, 4 } };
	double interval_s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		interval_s = (double)bf_aggregator_report_interval_us(
				 sizes[i][0], sizes[i][1]) /
		    BF_US_PER_S;
		g_assert_cmpfloat((double)sizes[i][0] / interval_s, <=,
		    BF_AGGREGATOR_REPORTS_PER_S_MAX);
		interval_s = (double)bf_aggregator_publish_interval_us(
				 8, sizes[i][1], 400) /
		    BF_US_PER_S;
		g_assert_cmpfloat(8.0 * 400 * (double)sizes[i][1] / interval_s,
		    <=, BF_AGGREGATOR_BYTES_PER_S_MAX);
	}
}

int
main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evidence/results", test_results_are_counted_by_kind);
	g_test_add_func("/evidence/shards", test_shards_sum_during_counting);
	g_test_add_func("/report/hostile", test_malformed_reports_are_rejected);
	g_test_add_func("/verdict/text", test_verdict_survives_encoding);
	g_test_add_func(
	    "/pooling/collectors", test_backup_collector_takes_over);
	g_test_add_func("/pooling/restart", test_counts_survive_a_restart);
	g_test_add_func(
	    "/pooling/budgets", test_intervals_respect_their_limits);
	return g_test_run();
}
