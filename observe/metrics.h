#ifndef BF_OBSERVE_METRICS_H
#define BF_OBSERVE_METRICS_H

#include "base/bytes.h"
#include "base/histogram.h"

/*
 * Metrics of one thread in the text format that scrapers read.  A family has a
 * name, a help text and samples that differ in one label; the labels of a
 * family are bounded, the rest is counted under "other".
 */

typedef enum bf_metric_kind {
	BF_METRIC_COUNTER,
	BF_METRIC_GAUGE,
	BF_METRIC_HISTOGRAM
} bf_metric_kind_t;

#define BF_METRIC_SAMPLES_MAX 32

typedef struct bf_family bf_family_t;
typedef struct bf_metrics_set bf_metrics_set_t;

bf_metrics_set_t *bf_metrics_set_new(void);
void bf_metrics_set_free(bf_metrics_set_t *set);

/* Texts are not copied.  label is NULL for a family of one sample. */
bf_family_t *bf_metrics_add(bf_metrics_set_t *set, bf_metric_kind_t kind,
    const char *name, const char *help, const char *label);

/* value is the label's value, or NULL. */
void bf_metric_count(bf_family_t *family, const char *value, uint64_t n);
void bf_metric_set(bf_family_t *family, const char *value, uint64_t n);
void bf_metric_time(
    bf_family_t *family, const char *value, bf_time_us_t duration_us);

/* The value of a sample; 0 when there is none. */
uint64_t bf_metric_value(const bf_family_t *family, const char *value);

void bf_metrics_print(const bf_metrics_set_t *set, bf_bytes_t *out);

#endif
