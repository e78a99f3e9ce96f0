#ifndef BF_BASE_HISTOGRAM_H
#define BF_BASE_HISTOGRAM_H

#include <stdint.h>

#include "base/clock.h"

/*
 * A histogram of durations with logarithmic buckets, eight per power of two, so
 * that a quantile is accurate to one eighth.  Buckets are plain counters, so
 * that the histograms of several threads can be merged.
 */

#define BF_HISTOGRAM_BUCKETS 256

typedef struct bf_histogram {
	uint64_t counts[BF_HISTOGRAM_BUCKETS];
	uint64_t total;
} bf_histogram_t;

/* Counts one duration; a negative one counts as zero. */
void bf_histogram_add(bf_histogram_t *h, bf_time_us_t duration_us);

/* Adds every count of other to h. */
void bf_histogram_merge(bf_histogram_t *h, const bf_histogram_t *other);

/*
 * The upper edge, in microseconds, of the bucket that holds the given
 * fraction (0 to 1) of all durations; 0 for an empty histogram.
 */
bf_time_us_t bf_histogram_quantile(const bf_histogram_t *h, double fraction);

#endif
