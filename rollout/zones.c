#include <stdlib.h>
#include <string.h>

#include "rollout/zones.h"

/* A followed collector that is silent for so long is given up. */
#define SOURCE_SILENCE_US (15 * BF_US_PER_S)

/* A block ends with so many calls, or after so long. */
#define BLOCK_CALLS 20
#define BLOCK_MOST_US (120 * BF_US_PER_S)

typedef struct bf_source {
	char instance[BF_NAME_BYTES]; /* "": unused */
	bf_time_us_t at_us;           /* of its last pool, its own clock */
	bf_time_us_t heard_us;
	uint64_t total;
	bf_tally_t *last; /* old and new version of each route */
} bf_source_t;

typedef struct bf_zone {
	char name[BF_NAME_BYTES];
	bool complete;
	bf_time_us_t heard_us;
	bf_time_us_t block_since_us; /* of the collector's clock; 0: none */
	bf_block_t block;
	bf_source_t *followed;
	bf_source_t sources[BF_ZONE_COLLECTORS_MAX];
} bf_zone_t;

struct bf_zones {
	const char *const *routes;
	bf_increment_t increment;
	bf_block_t ended; /* the block that the increment points to */
	uint32_t zone_count;
	bf_zone_t zones[BF_ROLLOUT_ZONES_MAX];
};

static bool
allocate(bf_tally_t **old_versions, bf_tally_t **new_versions, size_t count)
{
	*old_versions = calloc(count + 1, sizeof(bf_tally_t));
	*new_versions = calloc(count + 1, sizeof(bf_tally_t));
	return *old_versions != NULL && *new_versions != NULL;
}

bf_zones_t *
bf_zones_new(const char *const *routes, size_t route_count)
{
	bf_zones_t *zones;

	zones = calloc(1, sizeof(*zones));
	if (zones == NULL)
		return NULL;
	zones->routes = routes;
	zones->increment.route_count = route_count;
	if (!allocate(&zones->increment.old_versions,
		&zones->increment.new_versions, route_count) ||
	    !allocate(&zones->ended.old_versions, &zones->ended.new_versions,
		route_count)) {
		bf_zones_free(zones);
		return NULL;
	}
	return zones;
}

void
bf_zones_free(bf_zones_t *zones)
{
	size_t i, k;

	if (zones == NULL)
		return;
	for (i = 0; i < zones->zone_count; i++) {
		for (k = 0; k < BF_ZONE_COLLECTORS_MAX; k++)
			free(zones->zones[i].sources[k].last);
		free(zones->zones[i].block.old_versions);
		free(zones->zones[i].block.new_versions);
	}
	free(zones->ended.old_versions);
	free(zones->ended.new_versions);
	free(zones->increment.old_versions);
	free(zones->increment.new_versions);
	free(zones);
}

static bf_zone_t *
find_zone(bf_zones_t *zones, const char *name)
{
	bf_zone_t *zone;
	size_t i;

	for (i = 0; i < zones->zone_count; i++) {
		if (strcmp(zones->zones[i].name, name) == 0)
			return &zones->zones[i];
	}
	if (zones->zone_count == BF_ROLLOUT_ZONES_MAX)
		return NULL;
	zone = &zones->zones[zones->zone_count];
	zone->block.zone = (uint32_t)zones->zone_count;
	if (!allocate(&zone->block.old_versions, &zone->block.new_versions,
		zones->increment.route_count))
		return NULL;
	strcpy(zone->name, name);
	zones->zone_count++;
	return zone;
}

/* The source of that name, or the one that has been silent for longest. */
static bf_source_t *
find_source(bf_zone_t *zone, const char *instance)
{
	bf_source_t *source, *oldest;
	size_t k;

	oldest = NULL;
	for (k = 0; k < BF_ZONE_COLLECTORS_MAX; k++) {
		source = &zone->sources[k];
		if (strcmp(source->instance, instance) == 0)
			return source;
		if (source != zone->followed &&
		    (oldest == NULL || source->heard_us < oldest->heard_us))
			oldest = source;
	}
	return oldest;
}

static bool
claim(bf_source_t *source, const bf_move_stats_t *pool, size_t route_count)
{
	if (source->last == NULL)
		source->last = calloc(2 * route_count + 1, sizeof(bf_tally_t));
	if (source->last == NULL)
		return false;
	strcpy(source->instance, pool->instance);
	source->at_us = 0;
	source->total = 0;
	memset(source->last, 0, 2 * route_count * sizeof(bf_tally_t));
	return true;
}

static const bf_move_stats_route_t *
find_route(const bf_move_stats_t *pool, const char *name)
{
	size_t i;

	for (i = 0; i < pool->route_count; i++) {
		if (strcmp(pool->routes[i].route, name) == 0)
			return &pool->routes[i];
	}
	return NULL;
}

/* Remembers the pool and leaves in the increment what it added. */
static void
advance(bf_zones_t *zones, bf_source_t *source, const bf_move_stats_t *pool)
{
	const bf_move_stats_route_t *route;
	bf_increment_t *increment;
	bf_tally_t *last;
	size_t i;

	increment = &zones->increment;
	for (i = 0; i < increment->route_count; i++) {
		increment->old_versions[i] = (bf_tally_t){ 0 };
		increment->new_versions[i] = (bf_tally_t){ 0 };
		route = find_route(pool, zones->routes[i]);
		if (route == NULL)
			continue;
		last = &source->last[2 * i];
		increment->old_versions[i] =
		    bf_tally_since(&route->old_version, &last[0]);
		increment->new_versions[i] =
		    bf_tally_since(&route->new_version, &last[1]);
		last[0] = route->old_version;
		last[1] = route->new_version;
	}
}

/* Follows this source from now on if the followed one is silent. */
static void
follow(bf_zone_t *zone, bf_source_t *source, bf_time_us_t now_us)
{
	if (now_us - zone->followed->heard_us >= SOURCE_SILENCE_US)
		zone->followed = source;
}

/* A block goes on while it has few calls, to hold some of both versions. */
static bool
is_long_enough(const bf_zone_t *zone, size_t route_count, bf_time_us_t at_us)
{
	uint64_t calls = 0;
	size_t i;

	if (at_us / BF_BLOCK_US == zone->block_since_us / BF_BLOCK_US)
		return false;
	for (i = 0; i < route_count; i++)
		calls += zone->block.old_versions[i].calls +
		    zone->block.new_versions[i].calls;
	return calls >= BLOCK_CALLS ||
	    at_us - zone->block_since_us >= BLOCK_MOST_US;
}

/* Adds the increment to the zone's block and ends that when it is long. */
static void
extend_block(bf_zones_t *zones, bf_zone_t *zone, bf_time_us_t at_us)
{
	bf_increment_t *increment = &zones->increment;
	bf_block_t swap;
	size_t i, bytes;

	for (i = 0; i < increment->route_count; i++) {
		bf_tally_add(
		    &zone->block.old_versions[i], &increment->old_versions[i]);
		bf_tally_add(
		    &zone->block.new_versions[i], &increment->new_versions[i]);
	}
	zone->block.duration_us = at_us - zone->block_since_us;
	if (!is_long_enough(zone, increment->route_count, at_us))
		return;
	zone->block_since_us = at_us;
	swap = zones->ended;
	zones->ended = zone->block;
	swap.zone = zone->block.zone;
	bytes = increment->route_count * sizeof(bf_tally_t);
	memset(swap.old_versions, 0, bytes);
	memset(swap.new_versions, 0, bytes);
	zone->block = swap;
	increment->block = &zones->ended;
}

/* What the pool of a source adds: nothing unless the source is followed. */
static const bf_increment_t *
take_followed(bf_zones_t *zones, bf_zone_t *zone, bf_source_t *source,
    bool is_reset, bf_time_us_t now_us)
{
	zones->increment.block = NULL;
	zones->increment.first = zone->followed == NULL;
	if (zones->increment.first) {
		zone->followed = source;
		zone->block_since_us = source->at_us;
		return &zones->increment;
	}
	if (zone->followed != source) {
		follow(zone, source, now_us);
		return NULL;
	}
	if (is_reset)
		return NULL;
	extend_block(zones, zone, source->at_us);
	return &zones->increment;
}

const bf_increment_t *
bf_zones_update(
    bf_zones_t *zones, const bf_move_stats_t *pool, bf_time_us_t now_us)
{
	bf_source_t *source;
	bf_zone_t *zone;
	uint64_t total;
	bool is_reset;

	zone = find_zone(zones, pool->zone);
	if (zone == NULL)
		return NULL;
	source = find_source(zone, pool->instance);
	if (strcmp(source->instance, pool->instance) != 0 &&
	    !claim(source, pool, zones->increment.route_count))
		return NULL;
	if (pool->at_us <= source->at_us)
		return NULL;
	total = bf_move_stats_count_calls(pool);
	is_reset = total < source->total;
	zone->complete = pool->complete;
	zone->heard_us = now_us;
	source->at_us = pool->at_us;
	source->heard_us = now_us;
	source->total = total;
	advance(zones, source, pool);
	return take_followed(zones, zone, source, is_reset, now_us);
}

bool
bf_zones_are_complete(
    const bf_zones_t *zones, bf_time_us_t silence_us, bf_time_us_t now_us)
{
	const bf_zone_t *zone;
	size_t i;

	for (i = 0; i < zones->zone_count; i++) {
		zone = &zones->zones[i];
		if (!zone->complete && now_us - zone->heard_us <= silence_us)
			return false;
	}
	return true;
}
