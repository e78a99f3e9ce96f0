#ifndef BF_OBSERVE_METRICS_H
#define BF_OBSERVE_METRICS_H

#include "base/bytes.h"
#include "base/histogram.h"

/*
 * Metrics of one thread in the Prometheus text format.  A family has a name, a
 * help text and samples that differ in the value of one label.  The number of
 * label values per family is limited; all others are counted as "other".
 */

typedef enum bf_metric_kind {
	BF_METRIC_COUNTER,
	BF_METRIC_GAUGE,
	BF_METRIC_HISTOGRAM
} bf_metric_kind_t;

#define BF_METRIC_SAMPLES_MAX 32

typedef struct bf_metric_family bf_metric_family_t;
typedef struct bf_metrics_set bf_metrics_set_t;

bf_metrics_set_t *bf_metrics_set_new(void);
void bf_metrics_set_free(bf_metrics_set_t *set);

/*
 * Adds a family; NULL when out of memory.  The strings are not copied.  label
 * is NULL for a family with a single sample.
 */
bf_metric_family_t *bf_metrics_add(bf_metrics_set_t *set, bf_metric_kind_t kind,
    const char *name, const char *help, const char *label);

/*
 * Update a sample; value is the label value, or NULL without a label.  family
 * may be NULL.
 */
void bf_metric_count(bf_metric_family_t *family, const char *value, uint64_t n);
void bf_metric_set(bf_metric_family_t *family, const char *value, uint64_t n);
void bf_metric_observe(
    bf_metric_family_t *family, const char *value, bf_time_us_t duration_us);

/* Returns the value of a sample; 0 if it does not exist. */
uint64_t bf_metric_value(const bf_metric_family_t *family, const char *value);

void bf_metrics_print(const bf_metrics_set_t *set, bf_bytes_t *out);

#endif
