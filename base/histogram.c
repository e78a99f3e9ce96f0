#include <math.h>

#include "base/histogram.h"

/* Buckets per power of two; the first eight are one microsecond wide. */
#define BUCKETS_PER_OCTAVE 8
#define BUCKETS_PER_OCTAVE_BITS 3

static uint32_t
bucket_of(uint64_t us)
{
	uint32_t exponent, index;

	if (us < BUCKETS_PER_OCTAVE)
		return (uint32_t)us;
	exponent = 63 - (uint32_t)__builtin_clzll(us);
	index = (exponent - BUCKETS_PER_OCTAVE_BITS + 1) * BUCKETS_PER_OCTAVE +
	    (uint32_t)((us >> (exponent - BUCKETS_PER_OCTAVE_BITS)) &
		(BUCKETS_PER_OCTAVE - 1));
	return index < BF_HISTOGRAM_BUCKETS ? index : BF_HISTOGRAM_BUCKETS - 1;
}

static uint64_t
upper_edge(uint32_t bucket)
{
	uint32_t shift;

	if (bucket < BUCKETS_PER_OCTAVE)
		return bucket;
	shift = bucket / BUCKETS_PER_OCTAVE - 1;
	return ((uint64_t)(BUCKETS_PER_OCTAVE + bucket % BUCKETS_PER_OCTAVE + 1)
		   << shift) -
	    1;
}

void
bf_histogram_add(bf_histogram_t *h, bf_time_us_t duration_us)
{
	h->counts[bucket_of(duration_us > 0 ? (uint64_t)duration_us : 0)]++;
	h->total++;
}

void
bf_histogram_merge(bf_histogram_t *h, const bf_histogram_t *other)
{
	uint32_t i;

	for (i = 0; i < BF_HISTOGRAM_BUCKETS; i++)
		h->counts[i] += other->counts[i];
	h->total += other->total;
}

bf_time_us_t
bf_histogram_quantile(const bf_histogram_t *h, double fraction)
{
	uint64_t rank, cumulative;
	uint32_t i;

	if (h->total == 0)
		return 0;
	rank = (uint64_t)ceil(fraction * (double)h->total);
	if (rank == 0)
		rank = 1;
	cumulative = 0;
	for (i = 0; i < BF_HISTOGRAM_BUCKETS; i++) {
		cumulative += h->counts[i];
		if (cumulative >= rank)
			return (bf_time_us_t)upper_edge(i);
	}
	return (bf_time_us_t)upper_edge(BF_HISTOGRAM_BUCKETS - 1);
}
