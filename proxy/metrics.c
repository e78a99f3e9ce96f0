#include "proxy/metrics.h"

#include <stdio.h>

#define NAME_BYTES 96

static const char *const COUNTER_NAMES[BF_METRIC_COUNT] = {
	[BF_METRIC_ENTRY_HOP_CALLS] = "bf_proxy_hop1_calls_total",
	[BF_METRIC_TARGET_HOP_CALLS] = "bf_proxy_hop2_calls_total",
	[BF_METRIC_RETRIES] = "bf_proxy_retries_total",
	[BF_METRIC_RETRIES_DENIED] = "bf_proxy_retries_denied_total",
	[BF_METRIC_CONNECTIONS_OPENED] = "bf_proxy_connections_opened_total",
	[BF_METRIC_REQUEST_BYTES] = "bf_proxy_request_bytes_total",
	[BF_METRIC_RESPONSE_BYTES] = "bf_proxy_answer_bytes_total",
	[BF_METRIC_BAD_HEADS] = "bf_proxy_bad_heads_total",
	[BF_METRIC_RESENDS_STOPPED] = "bf_proxy_resends_stopped_total",
	[BF_METRIC_SILENT_CONNECTIONS] = "bf_proxy_silent_connections_total",
	[BF_METRIC_QUEUED_CALLS] = "bf_proxy_queued_total",
	[BF_METRIC_SPANS] = "bf_proxy_spans_total",
	[BF_METRIC_CLOSED_FOR_OTHERS] = "bf_proxy_closed_for_others_total",
};

static bf_counter_id_t
register_for_hop(
    bf_counters_t *counters, int hop, const char *kind, const char *value)
{
	char name[NAME_BYTES];
	char *c;

	(void)snprintf(
	    name, sizeof(name), "bf_proxy_hop%d_%s_%s_total", hop, kind, value);
	for (c = name; *c != '\0'; c++) {
		if (*c == '-')
			*c = '_';
	}
	return bf_counters_register(counters, name);
}

void
bf_metrics_register(bf_metrics_t *metrics, bf_counters_t *counters)
{
	int hop, i;

	for (i = 0; i < BF_METRIC_COUNT; i++)
		metrics->counters[i] =
		    bf_counters_register(counters, COUNTER_NAMES[i]);
	for (hop = 0; hop < BF_HOPS; hop++) {
		for (i = 0; i < BF_OUTCOME_COUNT; i++)
			metrics->outcomes[hop][i] =
			    register_for_hop(counters, hop + 1, "outcome",
				bf_outcome_name((bf_outcome_t)i));
		for (i = BF_REASON_NONE + 1; i < BF_REASON_COUNT; i++)
			metrics->reasons[hop][i] = register_for_hop(counters,
			    hop + 1, "reason", bf_reason_name((bf_reason_t)i));
	}
}
