#ifndef BF_ROLLOUT_ZONES_H
#define BF_ROLLOUT_ZONES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "rollout/move_stats.h"

/*
 * Turns the cumulative statistics that the collectors of all zones publish
 * into increments.  Each zone has up to BF_ZONE_COLLECTORS_MAX collectors at a
 * time.  Only one of them is followed, and another one only after it has been
 * silent, so that no call counts twice.  Repeated and older statistics are
 * dropped.
 */

#define BF_ROLLOUT_ZONES_MAX 16
#define BF_ZONE_COLLECTORS_MAX 4

typedef struct bf_zones bf_zones_t;

/*
 * A block, the calls of one zone that are tested together, does not end before
 * the next multiple of this time.  A short burst of failures, as when a target
 * dies, therefore lies in one or two blocks.
 */
#define BF_ZONE_BLOCK_US (5 * BF_US_PER_S)

typedef struct bf_zone_block {
	uint32_t zone; /* index of the zone, less than BF_ROLLOUT_ZONES_MAX */
	bf_time_us_t duration_us;
	bf_tally_t *old_versions; /* one per route, in their order */
	bf_tally_t *new_versions;
} bf_zone_block_t;

/* Calls that new statistics of a zone add to the previous ones. */
typedef struct bf_zone_increment {
	bool first; /* the zone's first statistics: they cover a long time */
	const bf_zone_block_t *block; /* completed by this increment, or NULL */
	size_t route_count;
	bf_tally_t *old_versions; /* one per route, in their order */
	bf_tally_t *new_versions;
} bf_zone_increment_t;

/* The route names must outlive the object.  NULL when out of memory. */
bf_zones_t *bf_zones_new(const char *const *routes, size_t route_count);
void bf_zones_free(bf_zones_t *zones);

/*
 * Processes the statistics of a zone.  Returns the increment, which is valid
 * until the next call, or NULL when the statistics add nothing.
 */
const bf_zone_increment_t *bf_zones_update(
    bf_zones_t *zones, const bf_move_stats_t *stats, bf_time_us_t now_us);

/*
 * Returns true when each zone whose statistics arrived within the last
 * silence_us carries all traffic on the new version.
 */
bool bf_zones_are_complete(
    const bf_zones_t *zones, bf_time_us_t silence_us, bf_time_us_t now_us);

#endif
