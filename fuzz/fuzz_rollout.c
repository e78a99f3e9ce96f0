#include <stdlib.h>

#include <apr_general.h>

#include "rollout/report.h"
#include "rollout/trace.h"

/* The first byte selects the decoder; the rest is its input. */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes);

static void
check_tally(const bf_tally_t *tally)
{
	uint64_t timed = 0;
	uint32_t k;

	for (k = 0; k < BF_TALLY_BUCKETS; k++)
		timed += tally->latency[k];
	if (tally->failures > tally->calls || timed > tally->calls)
		abort();
}

static void
check_stats(const bf_move_stats_t *stats)
{
	uint8_t bytes[2 * BF_MOVE_STATS_BYTES_MAX];
	size_t size;
	uint32_t i;

	for (i = 0; i < stats->route_count; i++) {
		check_tally(&stats->routes[i].old_version);
		check_tally(&stats->routes[i].new_version);
	}
	if (bf_move_stats_encode(stats, bytes, sizeof(bytes), &size, NULL) !=
	    BF_OK)
		abort();
}

static void
ignore_step(void *ctx, const bf_rollout_t *rollout, const bf_rollout_out_t *out,
    bf_time_us_t now_us)
{
	(void)ctx;
	(void)rollout;
	(void)out;
	(void)now_us;
}

static void
replay(const uint8_t *data, size_t data_bytes)
{
	FILE *file;

	file = fmemopen((void *)data, data_bytes, "r");
	if (file == NULL)
		return;
	(void)bf_rollout_trace_replay(file, ignore_step, NULL, NULL);
	fclose(file);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes)
{
	static bf_stats_report_t report;
	static bf_move_stats_t stats;
	bf_verdict_t verdict;

	if (data_bytes < 2)
		return 0;
	apr_initialize();
	switch (data[0] % 5) {
	case 0:
		if (bf_stats_report_decode(
			data + 1, data_bytes - 1, &report, NULL) == BF_OK)
			check_stats(&report.stats);
		break;
	case 1:
		if (bf_move_stats_decode(
			data + 1, data_bytes - 1, &stats, NULL) == BF_OK)
			check_stats(&stats);
		break;
	case 2:
		if (bf_verdict_decode(
			data + 1, data_bytes - 1, &verdict, NULL) == BF_OK &&
		    bf_verdict_rank(&verdict) == 0)
			abort();
		break;
	case 3:
		(void)bf_verdict_parse(
		    (const char *)data + 1, data_bytes - 1, &verdict, NULL);
		break;
	default:
		replay(data + 1, data_bytes - 1);
		break;
	}
	apr_terminate();
	return 0;
}
