#ifndef BF_ROLLOUT_ZONES_H
#define BF_ROLLOUT_ZONES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "rollout/move_stats.h"

/*
 * The pools of all zones as they arrive, turned into increments.  Each zone
 * has up to BF_ZONE_COLLECTORS_MAX collectors at a time; one of them is
 * followed, and another only when it falls silent, so that no call counts
 * twice. Repeated and older pools are dropped.
 */

#define BF_ROLLOUT_ZONES_MAX 16
#define BF_ZONE_COLLECTORS_MAX 4

typedef struct bf_zones bf_zones_t;

/*
 * Calls of one zone in a span of time: what the tests take at a time.  Spans
 * are at least BF_BLOCK_US long, so that a short burst of failures, as when a
 * target dies, lies in one or two blocks.
 */
#define BF_BLOCK_US (5 * BF_US_PER_S)

typedef struct bf_block {
	uint32_t zone; /* its number, less than BF_ROLLOUT_ZONES_MAX */
	bf_time_us_t duration_us;
	bf_tally_t *old_versions; /* one a route, in the order of the routes */
	bf_tally_t *new_versions;
} bf_block_t;

/* What a pool added to what was known of one zone. */
typedef struct bf_increment {
	bool first; /* the first pool of a zone: covers a long time */
	const bf_block_t *block; /* that ends with this pool, or NULL */
	size_t route_count;
	bf_tally_t *old_versions; /* one a route, in the order of the routes */
	bf_tally_t *new_versions;
} bf_increment_t;

/* The names must outlive the object.  NULL when memory is short. */
bf_zones_t *bf_zones_new(const char *const *routes, size_t route_count);
void bf_zones_free(bf_zones_t *zones);

/*
 * Takes a pool.  Returns the increment, which lives until the next call, or
 * NULL when it adds nothing.
 */
const bf_increment_t *bf_zones_update(
    bf_zones_t *zones, const bf_move_stats_t *pool, bf_time_us_t now_us);

/*
 * True when each zone that was heard of within the last silence_us says that
 * it carries all traffic on the new version.
 */
bool bf_zones_are_complete(
    const bf_zones_t *zones, bf_time_us_t silence_us, bf_time_us_t now_us);

#endif
