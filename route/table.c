#include <string.h>

#include "route/table_internal.h"

/*
 * Ejection is ignored in a tier while it would leave less than this share of
 * its targets usable: when most targets fail, the targets themselves are
 * unlikely to be the cause.
 */
#define USABLE_FLOOR_PERCENT 50

void
bf_table_hold(bf_table_t *table)
{
	atomic_fetch_add_explicit(&table->references, 1, memory_order_relaxed);
}

static void
release_endpoints(const bf_table_group_t *group)
{
	size_t tier, i;

	for (tier = 0; tier < BF_TIER_COUNT; tier++) {
		for (i = 0; i < group->counts[tier]; i++)
			bf_endpoint_release(group->endpoints[tier][i]);
	}
}

void
bf_table_release(bf_table_t *table)
{
	const bf_table_service_t *service;
	size_t i, j;

	if (table == NULL || atomic_fetch_sub(&table->references, 1) != 1)
		return;
	for (i = 0; i < table->service_count; i++) {
		service = &table->services[i];
		for (j = 0; j < service->group_count; j++)
			release_endpoints(&service->groups[j]);
	}
	apr_pool_destroy(table->pool);
}

uint64_t
bf_table_version(const bf_table_t *table)
{
	return table->version;
}

static bool
entry_matches(
    const bf_table_entry_t *entry, const char *method, const char *path)
{
	if (entry->method != NULL && strcmp(entry->method, method) != 0)
		return false;
	if (entry->prefix)
		return strncmp(path, entry->path, entry->path_bytes) == 0;
	return strcmp(path, entry->path) == 0;
}

const bf_table_route_t *
bf_table_match(const bf_table_t *table, const char *host, const char *method,
    const char *path)
{
	const bf_table_service_t *service;
	size_t i;

	service = apr_hash_get(table->by_host, host, APR_HASH_KEY_STRING);
	if (service == NULL)
		return NULL;
	for (i = 0; i < service->entry_count; i++) {
		if (entry_matches(&service->entries[i], method, path))
			return &service->entries[i].route;
	}
	return NULL;
}

static const bf_table_entry_t *
entry_of(const bf_table_route_t *route)
{
	return (const bf_table_entry_t *)route;
}

/* Draws a version at random by weight; group_count when all weights are 0. */
static size_t
draw_group(const bf_table_entry_t *entry, gsl_rng *rng)
{
	uint32_t draw;
	size_t i;

	draw = (uint32_t)gsl_rng_uniform_int(rng, BF_SHARE_WHOLE_PPM);
	for (i = 0; i < entry->service->group_count; i++) {
		if (draw < entry->weights_ppm[i])
			return i;
		draw -= entry->weights_ppm[i];
	}
	return entry->service->group_count;
}

static bool
is_excluded(const bf_endpoint_t *endpoint, bf_endpoint_t *const *excluded,
    size_t excluded_count)
{
	size_t i;

	for (i = 0; i < excluded_count; i++) {
		if (excluded[i] == endpoint)
			return true;
	}
	return false;
}

/* True when too few targets of the tier are left to honour ejection. */
static bool
below_floor(bf_endpoint_t *const *endpoints, size_t count, bf_time_us_t now_us)
{
	size_t i, usable;

	usable = 0;
	for (i = 0; i < count; i++)
		usable += !bf_endpoint_ejected(endpoints[i], now_us);
	return usable * 100 < count * USABLE_FLOOR_PERCENT;
}

/*
 * Chooses between two endpoints at random, with the odds in inverse proportion
 * to the squares of their costs.  Always choosing the cheaper one would send
 * every call of an idle node to whichever target was a few microseconds
 * faster, and would never notice that a slow one has recovered.
 */
static bf_endpoint_t *
choose_cheaper(
    bf_endpoint_t *a, bf_endpoint_t *b, gsl_rng *rng, bf_time_us_t now_us)
{
	double cost_a, cost_b;

	cost_a = bf_endpoint_cost(a, now_us);
	cost_b = bf_endpoint_cost(b, now_us);
	cost_a *= cost_a;
	cost_b *= cost_b;
	return gsl_rng_uniform(rng) * (cost_a + cost_b) < cost_b ? a : b;
}

/*
 * Power of two choices in one pass: reservoir sampling selects two of the
 * usable targets, every pair with the same probability, and choose_cheaper
 * decides between them.
 */
static bf_endpoint_t *
pick_in_tier(bf_endpoint_t *const *endpoints, size_t count,
    bf_endpoint_t *const *excluded, size_t excluded_count, gsl_rng *rng,
    bf_time_us_t now_us)
{
	bf_endpoint_t *candidates[2] = { NULL, NULL };
	unsigned long slot, usable;
	bool ignore_ejection;
	size_t i;

	if (count == 0)
		return NULL;
	ignore_ejection = below_floor(endpoints, count, now_us);
	usable = 0;
	for (i = 0; i < count; i++) {
		if (bf_endpoint_refusing(endpoints[i], now_us) ||
		    is_excluded(endpoints[i], excluded, excluded_count))
			continue;
		if (!ignore_ejection &&
		    bf_endpoint_ejected(endpoints[i], now_us))
			continue;
		slot =
		    usable < 2 ? usable : gsl_rng_uniform_int(rng, usable + 1);
		if (slot < 2)
			candidates[slot] = endpoints[i];
		usable++;
	}
	if (candidates[1] == NULL)
		return candidates[0];
	return choose_cheaper(candidates[0], candidates[1], rng, now_us);
}

/* Tries the tiers in order of proximity until one has a usable target. */
static bf_endpoint_t *
pick_in_group(const bf_table_group_t *group, bf_endpoint_t *const *excluded,
    size_t excluded_count, gsl_rng *rng, bf_time_us_t now_us)
{
	bf_endpoint_t *endpoint;
	size_t tier;

	for (tier = 0; tier < BF_TIER_COUNT; tier++) {
		endpoint = pick_in_tier(group->endpoints[tier],
		    group->counts[tier], excluded, excluded_count, rng, now_us);
		if (endpoint != NULL)
			return endpoint;
	}
	return NULL;
}

/*
 * Returns the version to use when the drawn one has no usable target: the one
 * with the greatest weight among the others, or NULL when that weight is less
 * than the drawn version's.  A new version under trial therefore never gets
 * more than its share because the old one lacks capacity, unless the old one
 * has no targets at all.
 */
static const bf_table_group_t *
fallback_group(const bf_table_entry_t *entry, size_t drawn)
{
	const bf_table_service_t *service = entry->service;
	size_t best, i;

	best = service->group_count;
	for (i = 0; i < service->group_count; i++) {
		if (i == drawn || entry->weights_ppm[i] == 0 ||
		    service->groups[i].total == 0)
			continue;
		if (best == service->group_count ||
		    entry->weights_ppm[i] > entry->weights_ppm[best])
			best = i;
	}
	if (best == service->group_count)
		return NULL;
	if (service->groups[drawn].total > 0 &&
	    entry->weights_ppm[best] < entry->weights_ppm[drawn])
		return NULL;
	return &service->groups[best];
}

bf_endpoint_t *
bf_table_pick(const bf_table_t *table, const bf_table_route_t *route,
    bf_endpoint_t *const *excluded, size_t excluded_count, gsl_rng *rng,
    bf_time_us_t now_us)
{
	const bf_table_entry_t *entry = entry_of(route);
	const bf_table_group_t *group;
	bf_endpoint_t *endpoint;
	size_t drawn;

	(void)table;
	drawn = draw_group(entry, rng);
	if (drawn == entry->service->group_count)
		return NULL;
	endpoint = pick_in_group(&entry->service->groups[drawn], excluded,
	    excluded_count, rng, now_us);
	if (endpoint == NULL) {
		group = fallback_group(entry, drawn);
		if (group != NULL)
			endpoint = pick_in_group(
			    group, excluded, excluded_count, rng, now_us);
	}
	if (endpoint != NULL)
		bf_endpoint_hold(endpoint);
	return endpoint;
}

uint32_t
bf_table_cell(const bf_table_route_t *route, const bf_endpoint_t *endpoint)
{
	const bf_table_entry_t *entry = entry_of(route);
	const char *version;
	size_t i;

	version = bf_endpoint_version(endpoint);
	for (i = 0; i < entry->service->group_count; i++) {
		if (strcmp(entry->service->groups[i].version, version) == 0)
			return entry->cells[i];
	}
	return BF_CELL_NONE;
}
