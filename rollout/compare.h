#ifndef BF_ROLLOUT_COMPARE_H
#define BF_ROLLOUT_COMPARE_H

#include <stdbool.h>
#include <stdint.h>

#include "rollout/evidence.h"

/*
 * A sequential test of one route: is the new version worse than the old one?
 *
 * The data come in blocks: old and new calls of one zone in one short interval.
 * In a block with n1 new and n0 old calls, x1 and x0 of which failed (or were
 * slower than a cutoff), the null hypothesis is p1 <= ratio * p0 + excess for
 * any p0, which may differ from block to block: an overload or a zone outage
 * that affects both versions satisfies it.  For each alternative "worse by the
 * factor psi" let
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
 * Sekhon 2021): by Ville's inequality the probability that one ever reaches
 * 1/alpha is at most alpha, however often it is checked.  Mixtures preserve
 * this: over psi, over failures and latency cutoffs, and over the block at
 * which the regression begins (Shin, Ramdas, Rinaldo, E-detectors, 2023), so
 * that earlier good calls do not dilute a late regression.
 *
 * Limiting the factor by which one time interval may raise the value preserves
 * the inequality and prevents one short burst of failures from rejecting the
 * new version.
 */

#define BF_COMPARE_FACTORS 4

/* Signal 0: failures.  Signal k + 1: slower than bucket k's upper edge. */
#define BF_COMPARE_SIGNALS BF_TALLY_BUCKETS

typedef struct bf_compare {
	/*
	 * For each signal and factor, the sum of weight times product over the
	 * blocks so far at which the regression may have begun.
	 */
	double sum[BF_COMPARE_SIGNALS][BF_COMPARE_FACTORS];
	/* Logarithm of what the current interval has multiplied each sum by. */
	double interval_log[BF_COMPARE_SIGNALS][BF_COMPARE_FACTORS];
	int64_t interval;
	double remaining_weight; /* total weight of the blocks to come */
	uint32_t block_count;
} bf_compare_t;

/* Value of a test and the signal that contributes most to it. */
typedef struct bf_compare_result {
	double log_value;
	uint32_t signal;
} bf_compare_result_t;

void bf_compare_init(bf_compare_t *compare);

/* One block of calls and how to test it. */
typedef struct bf_compare_sample {
	const bf_tally_t *old_version;
	const bf_tally_t *new_version;
	bool without_margin; /* on failures; for at-most-once routes */
	/* Number of the time interval, which never decreases. */
	int64_t interval;
	/* Most that one interval adds to the logarithm of a test. */
	double interval_log_max;
} bf_compare_sample_t;

/* Adds a block.  One without calls of both versions has no effect. */
void bf_compare_add(bf_compare_t *compare, const bf_compare_sample_t *sample);

bf_compare_result_t bf_compare_result(const bf_compare_t *compare);

/* Returns log(exp(a) + exp(b)). */
double bf_log_add(double a, double b);

/* Returns the number of calls slower than the upper edge of the bucket. */
uint64_t bf_tally_count_slower(const bf_tally_t *tally, uint32_t bucket);

#endif
