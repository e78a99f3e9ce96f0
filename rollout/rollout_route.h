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
 * One route of a move: what was seen of both versions on it, the tests, and
 * the share that follows from them.  Shares are fractions from 0 to 1.
 */

/* The share in the last block of each zone. */
typedef struct bf_share_history {
	double share[BF_ROLLOUT_ZONES_MAX];
	bool fell[BF_ROLLOUT_ZONES_MAX]; /* it was less than before */
} bf_share_history_t;

/*
 * True when the share of new calls in a block differs from that of the zone's
 * last block, so that its calls of both versions were not made at one time.
 */
bool bf_share_history_update(bf_share_history_t *watch, uint32_t zone,
    const bf_tally_t *old_version, const bf_tally_t *new_version);

typedef struct bf_rollout_route {
	const char *name;
	bool at_most_once;
	double weight; /* of its test in the move's test; all add up to 1 */
	bf_tally_t old_version;
	bf_tally_t new_version;
	uint64_t calls_at_base; /* when the first pool came */

	bf_compare_t all_zones;
	bf_compare_t own_zone;
	bf_compare_t probe; /* begins anew with each probe */
	bf_compare_t suspicion;
	bf_share_history_t watch;
	/* Of each zone: fair calls not yet compared, for want of the other. */
	bf_tally_t old_waiting[BF_ROLLOUT_ZONES_MAX];
	bf_tally_t new_waiting[BF_ROLLOUT_ZONES_MAX];

	bool probing;
	bool suspected;  /* this route called for the probe */
	uint32_t probes; /* that confirmed nothing */
	bf_time_us_t probe_since_us;
	uint64_t probe_old_calls; /* compared since it began */
	uint64_t probe_new_calls;
	uint32_t probe_spans;
	int64_t last_span;

	double share;
	bf_time_us_t share_since_us;
	bf_rollout_reason_t reason; /* what keeps the share from growing */
} bf_rollout_route_t;

/* name must outlive the track. */
void bf_rollout_route_init(
    bf_rollout_route_t *track, const char *name, bool at_most_once);

/* A block of calls, and how it is to be taken. */
typedef struct bf_rollout_route_block {
	const bf_tally_t *old_version;
	const bf_tally_t *new_version;
	/*
	 * The new version's slots get no more calls than the old one's, all
	 * routes together.
	 */
	bool fair;
	uint32_t zone; /* number of the zone */
	bool own_zone;
	int64_t span; /* number of the BF_BLOCK_US in which it ended */
} bf_rollout_route_block_t;

/*
 * Feeds a block to the tests.  One that is not fair only raises a suspicion:
 * there an overload looks like badness.  One in which the share changed is left
 * out.
 */
void bf_rollout_route_add_block(
    bf_rollout_route_t *track, const bf_rollout_route_block_t *block);

/*
 * Logarithm of the route's part of the move's e-value, weight included, and
 * the signal that says most.
 */
bf_compare_result_t bf_rollout_route_result(const bf_rollout_route_t *track);

/* True while the tests keep the share small. */
bool bf_rollout_route_is_suspect(const bf_rollout_route_t *track);

/*
 * A probe is a time in which the shares of all routes are small enough for a
 * fair comparison.  True when a route's suspicion calls for one.
 */
bool bf_rollout_route_needs_probe(const bf_rollout_route_t *track);

/* suspected: it is this route that called for the probe. */
void bf_rollout_route_begin_probe(
    bf_rollout_route_t *track, bool suspected, bf_time_us_t now_us);

/* True when the probe has told enough of this route. */
bool bf_rollout_route_probe_is_over(
    const bf_rollout_route_t *track, bf_time_us_t now_us);

/* Ends a probe that confirmed nothing; the next one is harder to begin. */
void bf_rollout_route_end_probe(bf_rollout_route_t *track);

/*
 * True when earlier probes confirmed nothing: what calls for another one shows
 * under load only.
 */
bool bf_rollout_route_is_bad_under_load(const bf_rollout_route_t *track);

/*
 * Sets the share to the allowed one; it grows by at most a doubling each
 * growth_us and falls at once.
 */
void bf_rollout_route_set_share(bf_rollout_route_t *track, double allowed,
    bf_time_us_t growth_us, bf_time_us_t now_us);

/* Figures for a state or verdict that rests on this signal of the route. */
void bf_rollout_route_fill_figures(const bf_rollout_route_t *track,
    const bf_compare_result_t *result, bf_rollout_figures_t *figures);

#endif
