#ifndef BF_ROLLOUT_COMPARE_H
#define BF_ROLLOUT_COMPARE_H

#include <stdbool.h>
#include <stdint.h>

#include "rollout/evidence.h"

/*
 * A sequential test of one route: is the new version worse than the old one?
 *
 * Calls come in blocks of old and new calls of one zone and one short time.  In
 * a block with n1 new and n0 old calls, x1 and x0 of which failed (or were
 * slower than a cutoff), the null hypothesis is p1 <= ratio * p0 + excess with
 * any p0, another one in each block: an overload or dead zone that hurts both
 * versions is within it.  For each alternative "worse by the factor psi" let
 *
 *     q0 = ratio n1 / (ratio n1 + n0)
 *     q1 = psi ratio n1 / (psi ratio n1 + n0)
 *     E  = (q1 / q0)^x1 ((1 - q1) / (1 - q0))^x0
 *          exp(-n1 excess (q1 / q0 - 1))
 *
 * E has expectation at most 1 under the null: (1 + p (u - 1))^n is at most
 * exp(n p (u - 1)), and in the product of both versions' bounds the exponent
 * is p0 (q1 - q0) (ratio n1 / q0 - n0 / (1 - q0)) = 0.  This is the
 * two-sample e-variable of Turner, Ly, Gruenwald (Generic E-variables for
 * exact sequential k-sample tests, 2024) with a margin.  Products of E over
 * blocks are test martingales (Robbins 1970; Howard, Ramdas, McAuliffe,
 * Sekhon 2021): by Ville's inequality the chance that one ever reaches 1/alpha
 * is at most alpha, however often one looks.  Mixtures keep this: over psi,
 * over failures and latency cutoffs, and over the block at which the badness
 * begins (Shin, Ramdas, Rinaldo, E-detectors, 2023), so that good calls of
 * the past do not dilute a late badness.
 *
 * A bound on what a span of time may multiply the value by keeps the
 * inequality and makes sure that one short burst alone condemns nothing.
 */

#define BF_COMPARE_FACTORS 4

/* Signal 0: failures.  Signal k + 1: slower than bucket k's upper edge. */
#define BF_COMPARE_SIGNALS BF_TALLY_BUCKETS

typedef struct bf_compare {
	/* Sum over the beginnings so far of weight times product. */
	double sum[BF_COMPARE_SIGNALS][BF_COMPARE_FACTORS];
	/* What the present span has added to the logarithm of each factor. */
	double gain[BF_COMPARE_SIGNALS][BF_COMPARE_FACTORS];
	int64_t span;
	double weight_left; /* of beginnings still to come */
	uint32_t blocks;
} bf_compare_t;

/* What a test says: its value, and the signal that says most. */
typedef struct bf_compare_result {
	double log_value;
	uint32_t signal;
} bf_compare_result_t;

void bf_compare_init(bf_compare_t *compare);

/* A block, and how it is to be taken. */
typedef struct bf_compare_sample {
	const bf_tally_t *old_version;
	const bf_tally_t *new_version;
	bool strict;    /* no margin on failures: at-most-once routes */
	int64_t span;   /* number of the span of time, which only grows */
	double log_max; /* most that a span adds to a test's logarithm */
} bf_compare_sample_t;

/*
 * Adds a block.  Without calls of both versions it tells nothing and is left
 * out.
 */
void bf_compare_add(bf_compare_t *compare, const bf_compare_sample_t *sample);

bf_compare_result_t bf_compare_result(const bf_compare_t *compare);

/* log(exp(a) + exp(b)). */
double bf_log_add(double a, double b);

/* Calls of the tally that were slower than the upper edge of the bucket. */
uint64_t bf_tally_count_slower(const bf_tally_t *tally, uint32_t bucket);

#endif
