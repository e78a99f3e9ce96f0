#include <inttypes.h>
#include <stdlib.h>

#include <jansson.h>

#include "load/load.h"

static const struct {
	const char *name;
	double fraction;
} QUANTILES[] = {
	{ "p50", 0.5 },
	{ "p90", 0.9 },
	{ "p99", 0.99 },
	{ "p999", 0.999 },
};

#define QUANTILE_COUNT (sizeof(QUANTILES) / sizeof(QUANTILES[0]))

static const char *const SERIES_NAMES[] = { "target", "baseline" };

static double
quantile_ms(const bf_load_series_t *series, size_t index)
{
	return (double)bf_histogram_quantile(
		   &series->latency, QUANTILES[index].fraction) /
	    (double)BF_US_PER_MS;
}

static bool
has_baseline(const bf_load_report_t *report)
{
	return report->series[1].calls > 0;
}

static void
print_row(const char *name, const bf_load_series_t *s, FILE *out)
{
	size_t i;

	(void)fprintf(out,
	    "%-9s %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %6" PRIu64
	    " %6" PRIu64 " %6" PRIu64 " %8" PRIu64 " %6" PRIu64,
	    name, s->calls, s->outcomes[BF_LOAD_ANSWERED],
	    s->outcomes[BF_LOAD_NOT_RUN], s->outcomes[BF_LOAD_UNKNOWN],
	    s->status_5xx, s->status_4xx, s->wrong, s->verified, s->spans);
	for (i = 0; i < QUANTILE_COUNT; i++)
		(void)fprintf(out, " %8.3f", quantile_ms(s, i));
	(void)fprintf(
	    out, " %8.3f\n", (double)s->lag_max_us / (double)BF_US_PER_MS);
}

void
bf_load_print_table(const bf_load_report_t *report, FILE *out)
{
	size_t i;

	(void)fprintf(out,
	    "series       calls answered  not-run  unknown   5xx    4xx  "
	    "wrong verified  spans   p50 ms   p90 ms   p99 ms  p999 ms   lag "
	    "ms\n");
	print_row(SERIES_NAMES[0], &report->series[0], out);
	if (!has_baseline(report))
		return;
	print_row(SERIES_NAMES[1], &report->series[1], out);
	(void)fprintf(out, "%-86s", "added");
	for (i = 0; i < QUANTILE_COUNT; i++)
		(void)fprintf(out, " %8.3f",
		    quantile_ms(&report->series[0], i) -
			quantile_ms(&report->series[1], i));
	(void)fprintf(out, "\n");
}

static json_t *
series_json(const bf_load_series_t *s)
{
	json_t *json, *latency;
	size_t i;

	latency = json_object();
	for (i = 0; i < QUANTILE_COUNT; i++)
		json_object_set_new(
		    latency, QUANTILES[i].name, json_real(quantile_ms(s, i)));
	json = json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
			 "s:f, s:o}",
	    "url", s->url, "calls", (json_int_t)s->calls, "answered",
	    (json_int_t)s->outcomes[BF_LOAD_ANSWERED], "not_run",
	    (json_int_t)s->outcomes[BF_LOAD_NOT_RUN], "unknown",
	    (json_int_t)s->outcomes[BF_LOAD_UNKNOWN], "status_5xx",
	    (json_int_t)s->status_5xx, "status_4xx", (json_int_t)s->status_4xx,
	    "wrong", (json_int_t)s->wrong, "verified", (json_int_t)s->verified,
	    "spans", (json_int_t)s->spans, "lag_ms_max",
	    (double)s->lag_max_us / (double)BF_US_PER_MS, "latency_ms",
	    latency);
	return json;
}

static json_t *
added_json(const bf_load_report_t *report)
{
	json_t *added;
	size_t i;

	added = json_object();
	for (i = 0; i < QUANTILE_COUNT; i++)
		json_object_set_new(added, QUANTILES[i].name,
		    json_real(quantile_ms(&report->series[0], i) -
			quantile_ms(&report->series[1], i)));
	return added;
}

bf_code_t
bf_load_print_json(const bf_load_report_t *report, FILE *out, bf_error_t *err)
{
	json_t *json;
	int failed;

	json = json_object();
	json_object_set_new(json, "duration_s",
	    json_real((double)report->duration_us / (double)BF_US_PER_S));
	json_object_set_new(
	    json, SERIES_NAMES[0], series_json(&report->series[0]));
	if (has_baseline(report)) {
		json_object_set_new(
		    json, SERIES_NAMES[1], series_json(&report->series[1]));
		json_object_set_new(
		    json, "added_latency_ms", added_json(report));
	}
	failed = json_dumpf(json, out, JSON_INDENT(2));
	json_decref(json);
	if (failed != 0 || fputc('\n', out) == EOF)
		return bf_error_set(err, BF_ERR_IO, "cannot write the report");
	return BF_OK;
}
