#include <math.h>
#include <string.h>

#include "rollout/compare.h"

/* Limits that keep sums and logarithms finite. */
#define SUM_MAX 1e200
#define VALUE_MIN 1e-300

/* Weight of failures in the mixture; the latency cutoffs share the rest. */
#define FAILURE_WEIGHT 0.5

/* The null hypothesis: p1 <= ratio * p0 + excess. */
typedef struct bf_compare_margin {
	double ratio;
	double excess;
} bf_compare_margin_t;

static const double failure_factors[BF_COMPARE_FACTORS] = { 1.5, 4, 15, 60 };
static const double latency_factors[BF_COMPARE_FACTORS] = { 1.3, 2, 5, 20 };

static const bf_compare_margin_t failure_margin = { 1.25, 0.002 };
static const bf_compare_margin_t no_margin = { 1.0, 0.0 };
static const bf_compare_margin_t latency_margin = { 1.5, 0.02 };

/* Calls of one signal in a block. */
typedef struct bf_counts {
	double new_calls;
	double new_bad;
	double old_calls;
	double old_bad;
} bf_counts_t;

double
bf_log_add(double a, double b)
{
	double high, low;

	high = fmax(a, b);
	low = fmin(a, b);
	if (low == -INFINITY)
		return high;
	return high + log1p(exp(low - high));
}

uint64_t
bf_tally_count_slower(const bf_tally_t *tally, uint32_t bucket)
{
	uint64_t slower = 0;
	uint32_t k;

	for (k = bucket + 1; k < BF_TALLY_BUCKETS; k++)
		slower += tally->latency[k];
	return slower;
}

void
bf_compare_init(bf_compare_t *compare)
{
	*compare = (bf_compare_t){ .remaining_weight = 1 };
}

/*
 * Terms of the logarithm of a block's e-value: what each bad call of either
 * version and each call to the new version add.
 */
typedef struct bf_terms {
	double new_bad;
	double old_bad;
	double new_call;
} bf_terms_t;

static bf_terms_t
compute_terms(
    const bf_counts_t *counts, const bf_compare_margin_t *margin, double factor)
{
	double odds0, odds1, ratio;

	if (counts->new_calls == 0 || counts->old_calls == 0)
		return (bf_terms_t){ 0 };
	odds0 = margin->ratio * counts->new_calls / counts->old_calls;
	odds1 = odds0 * factor;
	ratio = factor * (1 + odds0) / (1 + odds1);
	return (bf_terms_t){
		.new_bad = log(ratio),
		.old_bad = log((1 + odds0) / (1 + odds1)),
		.new_call = -margin->excess * (ratio - 1),
	};
}

/*
 * Returns the weight of the test that begins at a block, counted from 1.  The
 * first block, the next two, the next four, ... get 1/2, 1/6, ..., shared
 * evenly within each group; all weights add up to 1.
 */
static double
starting_weight(uint32_t block)
{
	int group;

	group = ilogb(block);
	return ldexp(1.0 / ((group + 1.0) * (group + 2.0)), -group);
}

/*
 * Multiplies the test of one signal and factor by the block's e-value, limited
 * so that the current interval adds at most interval_log_max.
 */
static void
multiply_test(bf_compare_t *compare, uint32_t signal, uint32_t factor,
    const bf_terms_t *terms, const bf_counts_t *counts, double weight,
    double interval_log_max)
{
	double log_value, *interval_log, *sum;

	interval_log = &compare->interval_log[signal][factor];
	sum = &compare->sum[signal][factor];
	log_value = counts->new_bad * terms->new_bad +
	    counts->old_bad * terms->old_bad +
	    counts->new_calls * terms->new_call;
	log_value = fmin(log_value, interval_log_max - *interval_log);
	*interval_log += log_value;
	*sum = fmin((*sum + weight) * exp(log_value), SUM_MAX);
}

static void
add_failures(
    bf_compare_t *compare, const bf_compare_sample_t *sample, double weight)
{
	const bf_counts_t counts = {
		.new_calls = (double)sample->new_version->calls,
		.new_bad = (double)sample->new_version->failures,
		.old_calls = (double)sample->old_version->calls,
		.old_bad = (double)sample->old_version->failures,
	};
	const bf_compare_margin_t *margin;
	bf_terms_t terms;
	uint32_t f;

	margin = sample->without_margin ? &no_margin : &failure_margin;
	for (f = 0; f < BF_COMPARE_FACTORS; f++) {
		terms = compute_terms(&counts, margin, failure_factors[f]);
		multiply_test(compare, 0, f, &terms, &counts, weight,
		    sample->interval_log_max);
	}
}

static uint64_t
timed_calls(const bf_tally_t *tally)
{
	return tally->latency[0] + bf_tally_count_slower(tally, 0);
}

static void
add_latency(
    bf_compare_t *compare, const bf_compare_sample_t *sample, double weight)
{
	bf_counts_t counts;
	bf_terms_t terms;
	uint32_t f, s;

	counts.new_calls = (double)timed_calls(sample->new_version);
	counts.old_calls = (double)timed_calls(sample->old_version);
	for (f = 0; f < BF_COMPARE_FACTORS; f++) {
		terms =
		    compute_terms(&counts, &latency_margin, latency_factors[f]);
		for (s = 1; s < BF_COMPARE_SIGNALS; s++) {
			counts.new_bad = (double)bf_tally_count_slower(
			    sample->new_version, s - 1);
			counts.old_bad = (double)bf_tally_count_slower(
			    sample->old_version, s - 1);
			multiply_test(compare, s, f, &terms, &counts, weight,
			    sample->interval_log_max);
		}
	}
}

void
bf_compare_add(bf_compare_t *compare, const bf_compare_sample_t *sample)
{
	double weight;

	if (sample->old_version->calls == 0 || sample->new_version->calls == 0)
		return;
	if (sample->interval != compare->interval) {
		compare->interval = sample->interval;
		memset(compare->interval_log, 0, sizeof(compare->interval_log));
	}
	weight = starting_weight(++compare->block_count);
	compare->remaining_weight = fmax(compare->remaining_weight - weight, 0);
	add_failures(compare, sample, weight);
	add_latency(compare, sample, weight);
}

static double
signal_value(const bf_compare_t *compare, uint32_t signal)
{
	double value = 0;
	uint32_t f;

	for (f = 0; f < BF_COMPARE_FACTORS; f++)
		value += compare->sum[signal][f];
	return value / BF_COMPARE_FACTORS + compare->remaining_weight;
}

bf_compare_result_t
bf_compare_result(const bf_compare_t *compare)
{
	bf_compare_result_t result;
	double value, greatest, total;
	uint32_t s;

	result = (bf_compare_result_t){ 0 };
	greatest = 0;
	total = 0;
	for (s = 0; s < BF_COMPARE_SIGNALS; s++) {
		value = signal_value(compare, s) *
		    (s == 0 ? FAILURE_WEIGHT
			    : (1 - FAILURE_WEIGHT) / (BF_COMPARE_SIGNALS - 1));
		total += value;
		if (value > greatest) {
			greatest = value;
			result.signal = s;
		}
	}
	result.log_value = log(fmax(total, VALUE_MIN));
	return result;
}
