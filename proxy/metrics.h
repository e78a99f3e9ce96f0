#ifndef BF_PROXY_METRICS_H
#define BF_PROXY_METRICS_H

#include "base/counter.h"
#include "proxy/proxy.h"

/* The counters of the data path; outcomes and reasons have one per hop. */

typedef enum bf_metric {
	BF_METRIC_ENTRY_HOP_CALLS,
	BF_METRIC_TARGET_HOP_CALLS,
	BF_METRIC_RETRIES,
	BF_METRIC_RETRIES_DENIED,
	BF_METRIC_CONNECTIONS_OPENED,
	BF_METRIC_REQUEST_BYTES,
	BF_METRIC_RESPONSE_BYTES,
	BF_METRIC_BAD_HEADS,
	BF_METRIC_RESENDS_STOPPED,
	BF_METRIC_SILENT_CONNECTIONS,
	BF_METRIC_QUEUED_CALLS,
	BF_METRIC_SPANS,
	BF_METRIC_CLOSED_FOR_OTHERS,
	BF_METRIC_COUNT
} bf_metric_t;

#define BF_HOPS 2

typedef struct bf_metrics {
	bf_counter_id_t counters[BF_METRIC_COUNT];
	bf_counter_id_t outcomes[BF_HOPS][BF_OUTCOME_COUNT];
	bf_counter_id_t reasons[BF_HOPS][BF_REASON_COUNT];
} bf_metrics_t;

void bf_metrics_register(bf_metrics_t *metrics, bf_counters_t *counters);

#endif
