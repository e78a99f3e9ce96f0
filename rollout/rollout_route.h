#ifndef BF_ROLLOUT_ROLLOUT_ROUTE_H
#define BF_ROLLOUT_ROLLOUT_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "rollout/compare.h"
#include "rollout/evidence.h"
#include "rollout/verdict.h"
#include "rollout/zones.h"

/*
 * One route of a move: the calls observed on both versions, the tests that
 * compare them, and the resulting share of the new version.  Shares are
 * fractions from 0 to 1.
 */

/* Share of the new version in the last block of each zone. */
typedef struct bf_share_history {
	double last_share[BF_ROLLOUT_ZONES_MAX];
	bool last_fell[BF_ROLLOUT_ZONES_MAX]; /* below the one before */
} bf_share_history_t;

/*
 * Records the share of the new version in a block.  Returns true when it
 * differs from that of the zone's previous block: the block's calls to the two
 * versions were then made at different times and must not be compared.
 */
bool bf_share_history_update(bf_share_history_t *history, uint32_t zone,
    const bf_tally_t *old_version, const bf_tally_t *new_version);

typedef struct bf_rollout_route {
	const char *name;
	bool at_most_once;
	double weight; /* of its test in the move's test; all sum to 1 */
	bf_tally_t old_version;
	bf_tally_t new_version;
	uint64_t initial_calls; /* in the first statistics of each zone */

	bf_compare_t all_zones;
	bf_compare_t own_zone;
	bf_compare_t probe;     /* restarted with each probe */
	bf_compare_t suspicion; /* of blocks that are not fair */
	bf_share_history_t share_history;
	/*
	 * By zone: calls of fair blocks that are not compared yet, as there
	 * was none of the other version.
	 */
	bf_tally_t old_pending[BF_ROLLOUT_ZONES_MAX];
	bf_tally_t new_pending[BF_ROLLOUT_ZONES_MAX];

	bool probing;
	bool caused_probe; /* the probe was started for this route */
	uint32_t unconfirmed_probes;
	bf_time_us_t probe_start_us;
	uint64_t probe_old_calls; /* compared since the start of the probe */
	uint64_t probe_new_calls;
	uint32_t probe_intervals;
	int64_t last_interval;

	double share;
	bf_time_us_t share_since_us;
	bf_rollout_reason_t reason; /* why the share is not greater */
} bf_rollout_route_t;

/* name must outlive the route. */
void bf_rollout_route_init(
    bf_rollout_route_t *route, const char *name, bool at_most_once);

/* A block of calls of one zone and how to test it. */
typedef struct bf_rollout_route_block {
	const bf_tally_t *old_version;
	const bf_tally_t *new_version;
	/*
	 * Over all routes, a slot of the new version got no more calls than a
	 * slot of the old one.
	 */
	bool fair;
	uint32_t zone; /* index of the zone */
	bool own_zone;
	int64_t interval; /* number of the BF_ZONE_BLOCK_US in which it ended */
} bf_rollout_route_block_t;

/*
 * Adds a block to the tests.  One that is not fair can only raise a suspicion,
 * as an overload of the new version's slots looks like a regression.  One in
 * which the share changed is skipped.
 */
void bf_rollout_route_add_block(
    bf_rollout_route_t *route, const bf_rollout_route_block_t *block);

/*
 * Returns the logarithm of the route's part of the move's e-value, with its
 * weight, and the signal that contributes most to it.
 */
bf_compare_result_t bf_rollout_route_result(const bf_rollout_route_t *route);

/* Returns true while the tests require a small share. */
bool bf_rollout_route_is_suspect(const bf_rollout_route_t *route);

/*
 * A probe is a period in which the shares of all routes are small enough for a
 * fair comparison.  Returns true when the suspicion on the route requires one.
 */
bool bf_rollout_route_needs_probe(const bf_rollout_route_t *route);

/* is_cause: the probe is started for this route. */
void bf_rollout_route_begin_probe(
    bf_rollout_route_t *route, bool is_cause, bf_time_us_t now_us);

/* Returns true when the probe has given enough evidence on this route. */
bool bf_rollout_route_probe_is_over(
    const bf_rollout_route_t *route, bf_time_us_t now_us);

/*
 * Ends a probe that confirmed no regression; the next one requires a stronger
 * suspicion.
 */
void bf_rollout_route_end_probe(bf_rollout_route_t *route);

/*
 * Returns true when earlier probes confirmed nothing: a regression that causes
 * yet another suspicion shows under load only.
 */
bool bf_rollout_route_is_bad_under_load(const bf_rollout_route_t *route);

/*
 * Sets the share to the allowed one.  A rise is limited to a doubling in each
 * growth_us; a fall takes effect at once.
 */
void bf_rollout_route_set_share(bf_rollout_route_t *route, double allowed,
    bf_time_us_t growth_us, bf_time_us_t now_us);

/* Fills in the figures for a state or verdict based on this test result. */
void bf_rollout_route_fill_figures(const bf_rollout_route_t *route,
    const bf_compare_result_t *result, bf_rollout_figures_t *figures);

#endif
