#include <stdlib.h>
#include <string.h>

#include "rollout/zones.h"

/* Silence after which a zone's followed collector is replaced. */
#define COLLECTOR_SILENCE_US (15 * BF_US_PER_S)

/* A block ends once it has this many calls, or after this time. */
#define BLOCK_CALLS 20
#define BLOCK_MAX_US (120 * BF_US_PER_S)

typedef struct bf_zone_collector {
	char instance[BF_NAME_BYTES]; /* "": unused */
	bf_time_us_t at_us; /* of its last statistics, by its own clock */
	bf_time_us_t received_us;
	uint64_t call_count;
	bf_tally_t *last_tallies; /* old and new version of each route */
} bf_zone_collector_t;

typedef struct bf_zone {
	char name[BF_NAME_BYTES];
	bool complete;
	bf_time_us_t received_us;
	bf_time_us_t block_start_us; /* by the collector's clock; 0: none */
	bf_zone_block_t block;
	bf_zone_collector_t *followed;
	bf_zone_collector_t collectors[BF_ZONE_COLLECTORS_MAX];
} bf_zone_t;

struct bf_zones {
	const char *const *routes;
	bf_zone_increment_t increment;
	bf_zone_block_t finished_block; /* pointed to by the increment */
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
	    !allocate(&zones->finished_block.old_versions,
		&zones->finished_block.new_versions, route_count)) {
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
			free(zones->zones[i].collectors[k].last_tallies);
		free(zones->zones[i].block.old_versions);
		free(zones->zones[i].block.new_versions);
	}
	free(zones->finished_block.old_versions);
	free(zones->finished_block.new_versions);
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

/*
 * Returns the collector of that name, or else the one to replace: that which
 * has been silent for longest and is not followed.
 */
static bf_zone_collector_t *
find_collector(bf_zone_t *zone, const char *instance)
{
	bf_zone_collector_t *collector, *longest_silent;
	size_t k;

	longest_silent = NULL;
	for (k = 0; k < BF_ZONE_COLLECTORS_MAX; k++) {
		collector = &zone->collectors[k];
		if (strcmp(collector->instance, instance) == 0)
			return collector;
		if (collector != zone->followed &&
		    (longest_silent == NULL ||
			collector->received_us < longest_silent->received_us))
			longest_silent = collector;
	}
	return longest_silent;
}

static bool
assign_collector(bf_zone_collector_t *collector, const bf_move_stats_t *stats,
    size_t route_count)
{
	if (collector->last_tallies == NULL)
		collector->last_tallies =
		    calloc(2 * route_count + 1, sizeof(bf_tally_t));
	if (collector->last_tallies == NULL)
		return false;
	strcpy(collector->instance, stats->instance);
	collector->at_us = 0;
	collector->call_count = 0;
	memset(
	    collector->last_tallies, 0, 2 * route_count * sizeof(bf_tally_t));
	return true;
}

static const bf_move_stats_route_t *
find_route(const bf_move_stats_t *stats, const char *name)
{
	size_t i;

	for (i = 0; i < stats->route_count; i++) {
		if (strcmp(stats->routes[i].route, name) == 0)
			return &stats->routes[i];
	}
	return NULL;
}

/* Stores the statistics and sets the increment to what they added. */
static void
set_increment(bf_zones_t *zones, bf_zone_collector_t *collector,
    const bf_move_stats_t *stats)
{
	const bf_move_stats_route_t *route;
	bf_zone_increment_t *increment;
	bf_tally_t *last_pair;
	size_t i;

	increment = &zones->increment;
	for (i = 0; i < increment->route_count; i++) {
		increment->old_versions[i] = (bf_tally_t){ 0 };
		increment->new_versions[i] = (bf_tally_t){ 0 };
		route = find_route(stats, zones->routes[i]);
		if (route == NULL)
			continue;
		last_pair = &collector->last_tallies[2 * i];
		increment->old_versions[i] =
		    bf_tally_since(&route->old_version, &last_pair[0]);
		increment->new_versions[i] =
		    bf_tally_since(&route->new_version, &last_pair[1]);
		last_pair[0] = route->old_version;
		last_pair[1] = route->new_version;
	}
}

/* Follows this collector from now on if the followed one is silent. */
static void
follow(bf_zone_t *zone, bf_zone_collector_t *collector, bf_time_us_t now_us)
{
	if (now_us - zone->followed->received_us >= COLLECTOR_SILENCE_US)
		zone->followed = collector;
}

/*
 * A block with few calls is continued, so that it contains some of both
 * versions.
 */
static bool
is_block_due(const bf_zone_t *zone, size_t route_count, bf_time_us_t at_us)
{
	uint64_t calls = 0;
	size_t i;

	if (at_us / BF_ZONE_BLOCK_US == zone->block_start_us / BF_ZONE_BLOCK_US)
		return false;
	for (i = 0; i < route_count; i++)
		calls += zone->block.old_versions[i].calls +
		    zone->block.new_versions[i].calls;
	return calls >= BLOCK_CALLS ||
	    at_us - zone->block_start_us >= BLOCK_MAX_US;
}

/* Adds the increment to the zone's block, and ends a block that is due. */
static void
extend_block(bf_zones_t *zones, bf_zone_t *zone, bf_time_us_t at_us)
{
	bf_zone_increment_t *increment = &zones->increment;
	bf_zone_block_t next_block;
	size_t i, bytes;

	for (i = 0; i < increment->route_count; i++) {
		bf_tally_add(
		    &zone->block.old_versions[i], &increment->old_versions[i]);
		bf_tally_add(
		    &zone->block.new_versions[i], &increment->new_versions[i]);
	}
	zone->block.duration_us = at_us - zone->block_start_us;
	if (!is_block_due(zone, increment->route_count, at_us))
		return;
	zone->block_start_us = at_us;
	next_block = zones->finished_block;
	zones->finished_block = zone->block;
	next_block.zone = zone->block.zone;
	bytes = increment->route_count * sizeof(bf_tally_t);
	memset(next_block.old_versions, 0, bytes);
	memset(next_block.new_versions, 0, bytes);
	zone->block = next_block;
	increment->block = &zones->finished_block;
}

/*
 * Returns what a collector's statistics add: nothing unless the collector is
 * followed.
 */
static const bf_zone_increment_t *
finish_update(bf_zones_t *zones, bf_zone_t *zone,
    bf_zone_collector_t *collector, bool is_reset, bf_time_us_t now_us)
{
	zones->increment.block = NULL;
	zones->increment.first = zone->followed == NULL;
	if (zones->increment.first) {
		zone->followed = collector;
		zone->block_start_us = collector->at_us;
		return &zones->increment;
	}
	if (zone->followed != collector) {
		follow(zone, collector, now_us);
		return NULL;
	}
	if (is_reset)
		return NULL;
	extend_block(zones, zone, collector->at_us);
	return &zones->increment;
}

const bf_zone_increment_t *
bf_zones_update(
    bf_zones_t *zones, const bf_move_stats_t *stats, bf_time_us_t now_us)
{
	bf_zone_collector_t *collector;
	bf_zone_t *zone;
	uint64_t call_count;
	bool is_reset;

	zone = find_zone(zones, stats->zone);
	if (zone == NULL)
		return NULL;
	collector = find_collector(zone, stats->instance);
	if (strcmp(collector->instance, stats->instance) != 0 &&
	    !assign_collector(collector, stats, zones->increment.route_count))
		return NULL;
	if (stats->at_us <= collector->at_us)
		return NULL;
	call_count = bf_move_stats_count_calls(stats);
	is_reset = call_count < collector->call_count;
	zone->complete = stats->complete;
	zone->received_us = now_us;
	collector->at_us = stats->at_us;
	collector->received_us = now_us;
	collector->call_count = call_count;
	set_increment(zones, collector, stats);
	return finish_update(zones, zone, collector, is_reset, now_us);
}

bool
bf_zones_are_complete(
    const bf_zones_t *zones, bf_time_us_t silence_us, bf_time_us_t now_us)
{
	const bf_zone_t *zone;
	size_t i;

	for (i = 0; i < zones->zone_count; i++) {
		zone = &zones->zones[i];
		if (!zone->complete && now_us - zone->received_us <= silence_us)
			return false;
	}
	return true;
}
