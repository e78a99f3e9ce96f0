#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>

#include "base/digest.h"
#include "rollout/aggregator.h"
#include "rollout/report.h"

#define REPORT_LEAST_US (1 * BF_US_PER_S)

/* Bytes of a report or pool of a service with five routes. */
#define REPORT_TYPICAL_BYTES 400

/* A report sent ahead of its time because of failures, at most so often. */
#define URGENT_INTERVAL_US (10 * BF_US_PER_S)

#define COLLECT_INTERVAL_US (1 * BF_US_PER_S)

/* The second collector takes over after so many silent intervals. */
#define SILENT_INTERVALS 3

/* Instances that a collector keeps tallies of. */
#define CONTRIBUTORS_MAX 1024

#define KEY_BYTES (3 * BF_NAME_BYTES)

typedef struct bf_contributor {
	uint64_t incarnation;
	bf_tally_t *tallies; /* old and new version of each route */
} bf_contributor_t;

typedef struct bf_watched {
	struct bf_watched *next;
	bool kept; /* still in the configuration */
	apr_pool_t *pool;
	char *move_id;
	char *service;
	size_t route_count;
	char **routes;
	bf_evidence_cell_t *cells; /* old and new version of each route */
	bf_tally_t *base;          /* of the cells when first watched */

	/* Reporting. */
	bf_time_us_t next_report_us;
	bf_time_us_t last_urgent_us;
	uint64_t reported_failures;
	const char *collectors[BF_AGGREGATOR_COLLECTORS]; /* NULL: none */

	/* Collecting. */
	bool collecting;
	bf_time_us_t collecting_since_us;
	apr_hash_t *contributors;
	bf_tally_t *retired; /* of earlier incarnations */
	bool complete;
	bool published_complete;
	uint64_t published_total;
	uint64_t rank;
	bf_time_us_t next_collect_us;
	bf_time_us_t next_publish_us;
	bf_time_us_t first_heard_us; /* a pool of the first collector */
	uint64_t first_heard_total;
} bf_watched_t;

struct bf_aggregator {
	char instance[BF_NAME_BYTES];
	char zone[BF_NAME_BYTES];
	uint64_t incarnation;
	bf_watched_t *watched;
	size_t watched_count;
	char (*peers)[BF_NAME_BYTES]; /* alive in the own zone, self too */
	size_t peer_count;
	size_t zone_count;
	bf_stats_report_t report; /* scratch */
	uint8_t buffer[BF_MOVE_STATS_BYTES_MAX];
};

bf_aggregator_t *
bf_aggregator_new(const char *instance, const char *zone, uint64_t incarnation)
{
	bf_aggregator_t *pooling;

	pooling = calloc(1, sizeof(*pooling));
	if (pooling == NULL)
		return NULL;
	snprintf(pooling->instance, BF_NAME_BYTES, "%s", instance);
	snprintf(pooling->zone, BF_NAME_BYTES, "%s", zone);
	pooling->incarnation = incarnation;
	pooling->zone_count = 1;
	return pooling;
}

void
bf_aggregator_free(bf_aggregator_t *pooling)
{
	bf_watched_t *watched, *next;

	if (pooling == NULL)
		return;
	for (watched = pooling->watched; watched != NULL; watched = next) {
		next = watched->next;
		apr_pool_destroy(watched->pool);
	}
	free(pooling->peers);
	free(pooling);
}

static bf_watched_t *
find_watched(const bf_aggregator_t *pooling, const char *move_id)
{
	bf_watched_t *watched;

	for (watched = pooling->watched; watched != NULL;
	     watched = watched->next) {
		if (strcmp(watched->move_id, move_id) == 0)
			return watched;
	}
	return NULL;
}

static size_t
tracked_routes(const bf_service_t *service)
{
	return service->route_count < BF_MOVE_STATS_ROUTES_MAX
	    ? service->route_count
	    : BF_MOVE_STATS_ROUTES_MAX;
}

static bool
same_routes(const bf_watched_t *watched, const bf_service_t *service)
{
	size_t i;

	if (watched->route_count != tracked_routes(service))
		return false;
	for (i = 0; i < watched->route_count; i++) {
		if (strcmp(watched->routes[i], service->routes[i].name) != 0)
			return false;
	}
	return true;
}

static void
watch_route(bf_watched_t *watched, size_t i, bf_evidence_t *evidence,
    const bf_service_t *service)
{
	const char *route = service->routes[i].name;
	const bf_move_t *move = service->move;

	watched->routes[i] = apr_pstrdup(watched->pool, route);
	watched->cells[2 * i] = bf_evidence_register_cell(
	    evidence, service->name, route, move->from_version);
	watched->cells[2 * i + 1] = bf_evidence_register_cell(
	    evidence, service->name, route, move->to_version);
	bf_evidence_read(
	    evidence, watched->cells[2 * i], &watched->base[2 * i]);
	bf_evidence_read(
	    evidence, watched->cells[2 * i + 1], &watched->base[2 * i + 1]);
}

static bf_watched_t *
watch(bf_evidence_t *evidence, const bf_service_t *service)
{
	bf_watched_t *watched;
	apr_pool_t *pool;
	size_t count, i;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return NULL;
	watched = apr_pcalloc(pool, sizeof(*watched));
	count = tracked_routes(service);
	watched->pool = pool;
	watched->move_id = apr_pstrdup(pool, service->move->id);
	watched->service = apr_pstrdup(pool, service->name);
	watched->route_count = count;
	watched->routes = apr_pcalloc(pool, (count + 1) * sizeof(char *));
	watched->cells =
	    apr_pcalloc(pool, (2 * count + 1) * sizeof(bf_evidence_cell_t));
	watched->base = apr_pcalloc(pool, (2 * count + 1) * sizeof(bf_tally_t));
	watched->retired =
	    apr_pcalloc(pool, (2 * count + 1) * sizeof(bf_tally_t));
	watched->contributors = apr_hash_make(pool);
	for (i = 0; i < count; i++)
		watch_route(watched, i, evidence, service);
	return watched;
}

/* Forgets the moves that are no longer in the configuration. */
static void
drop_unkept(bf_aggregator_t *pooling)
{
	bf_watched_t **link, *watched;

	link = &pooling->watched;
	while ((watched = *link) != NULL) {
		if (watched->kept) {
			link = &watched->next;
			continue;
		}
		*link = watched->next;
		pooling->watched_count--;
		apr_pool_destroy(watched->pool);
	}
}

/*
 * Chooses a move's collectors: the instances of the zone with the greatest
 * hashes (rendezvous hashing), so that a member that comes or goes changes
 * only the choices in which it takes part.
 */
static void
choose_collectors(const bf_aggregator_t *pooling, bf_watched_t *watched)
{
	uint64_t hash, seed, best[BF_AGGREGATOR_COLLECTORS] = { 0 };
	size_t i;

	memset(watched->collectors, 0, sizeof(watched->collectors));
	seed = bf_hash_text(watched->service, 0);
	for (i = 0; i < pooling->peer_count; i++) {
		hash = bf_hash_text(pooling->peers[i], seed);
		if (watched->collectors[0] == NULL || hash > best[0]) {
			watched->collectors[1] = watched->collectors[0];
			best[1] = best[0];
			watched->collectors[0] = pooling->peers[i];
			best[0] = hash;
		} else if (watched->collectors[1] == NULL || hash > best[1]) {
			watched->collectors[1] = pooling->peers[i];
			best[1] = hash;
		}
	}
}

static bool
is_collector(const bf_aggregator_t *pooling, const bf_watched_t *watched)
{
	size_t k;

	for (k = 0; k < BF_AGGREGATOR_COLLECTORS; k++) {
		if (watched->collectors[k] != NULL &&
		    strcmp(watched->collectors[k], pooling->instance) == 0)
			return true;
	}
	return false;
}

bf_code_t
bf_aggregator_set_services(bf_aggregator_t *pooling, bf_evidence_t *evidence,
    const bf_service_t *services, size_t service_count, bf_error_t *err)
{
	bf_watched_t *watched;
	size_t i;

	for (watched = pooling->watched; watched != NULL;
	     watched = watched->next)
		watched->kept = false;
	for (i = 0; i < service_count; i++) {
		if (services[i].move == NULL)
			continue;
		watched = find_watched(pooling, services[i].move->id);
		if (watched != NULL && same_routes(watched, &services[i])) {
			watched->kept = true;
			continue;
		}
		watched = watch(evidence, &services[i]);
		if (watched == NULL)
			return bf_error_set(err, BF_ERR_MEMORY,
			    "no memory to watch move %s", services[i].move->id);
		watched->kept = true;
		watched->next = pooling->watched;
		pooling->watched = watched;
		pooling->watched_count++;
		choose_collectors(pooling, watched);
	}
	drop_unkept(pooling);
	return BF_OK;
}

static bool
is_first_of_zone(const bf_record_t *records, size_t i)
{
	size_t k;

	for (k = 0; k < i; k++) {
		if (strcmp(records[k].zone, records[i].zone) == 0)
			return false;
	}
	return true;
}

bf_code_t
bf_aggregator_set_members(bf_aggregator_t *pooling, const bf_record_t *records,
    size_t record_count, bf_error_t *err)
{
	bf_watched_t *watched;
	char(*peers)[BF_NAME_BYTES];
	size_t i, count;

	peers = calloc(record_count + 1, sizeof(*peers));
	if (peers == NULL)
		return bf_error_set(err, BF_ERR_MEMORY,
		    "no memory for %zu peers", record_count);
	count = 0;
	pooling->zone_count = 0;
	for (i = 0; i < record_count; i++) {
		if (is_first_of_zone(records, i))
			pooling->zone_count++;
		if (strcmp(records[i].zone, pooling->zone) != 0 ||
		    strcmp(records[i].instance, pooling->instance) == 0 ||
		    records[i].state != BF_MEMBER_ALIVE)
			continue;
		snprintf(
		    peers[count++], BF_NAME_BYTES, "%s", records[i].instance);
	}
	snprintf(peers[count++], BF_NAME_BYTES, "%s", pooling->instance);
	free(pooling->peers);
	pooling->peers = peers;
	pooling->peer_count = count;
	for (watched = pooling->watched; watched != NULL;
	     watched = watched->next)
		choose_collectors(pooling, watched);
	return BF_OK;
}

void
bf_aggregator_set_complete(
    bf_aggregator_t *pooling, const char *move_id, bool complete)
{
	bf_watched_t *watched;

	watched = find_watched(pooling, move_id);
	if (watched != NULL)
		watched->complete = complete;
}

bool
bf_aggregator_is_collector(const bf_aggregator_t *pooling, const char *move_id)
{
	const bf_watched_t *watched;

	watched = find_watched(pooling, move_id);
	return watched != NULL && is_collector(pooling, watched);
}

static bf_time_us_t
longer(bf_time_us_t a, bf_time_us_t b)
{
	return a > b ? a : b;
}

/* The time in which count things come at a rate of at most per_s. */
static bf_time_us_t
spread_us(size_t count, size_t per_s)
{
	return (bf_time_us_t)((count * BF_US_PER_S + per_s - 1) / per_s);
}

bf_time_us_t
bf_aggregator_report_interval_us(size_t zone_instances, size_t moves)
{
	bf_time_us_t by_count_us, by_bytes_us;

	by_count_us =
	    spread_us(zone_instances, BF_AGGREGATOR_REPORTS_PER_S_MAX);
	by_bytes_us =
	    spread_us(moves * BF_AGGREGATOR_COLLECTORS * REPORT_TYPICAL_BYTES,
		BF_AGGREGATOR_BYTES_PER_S_MAX);
	return longer(REPORT_LEAST_US, longer(by_count_us, by_bytes_us));
}

bf_time_us_t
bf_aggregator_publish_interval_us(size_t zones, size_t moves, size_t pool_bytes)
{
	return longer(COLLECT_INTERVAL_US,
	    spread_us(
		zones * moves * pool_bytes, BF_AGGREGATOR_BYTES_PER_S_MAX));
}

static void
own_tallies(const bf_watched_t *watched, const bf_evidence_t *evidence,
    bf_move_stats_t *pool)
{
	bf_tally_t tally;
	size_t i;

	for (i = 0; i < watched->route_count; i++) {
		bf_evidence_read(evidence, watched->cells[2 * i], &tally);
		pool->routes[i].old_version =
		    bf_tally_since(&tally, &watched->base[2 * i]);
		bf_evidence_read(evidence, watched->cells[2 * i + 1], &tally);
		pool->routes[i].new_version =
		    bf_tally_since(&tally, &watched->base[2 * i + 1]);
	}
}

static void
name_pool(const bf_aggregator_t *pooling, const bf_watched_t *watched,
    bf_move_stats_t *pool, bf_time_us_t now_us)
{
	size_t i;

	snprintf(pool->move_id, BF_NAME_BYTES, "%s", watched->move_id);
	snprintf(pool->zone, BF_NAME_BYTES, "%s", pooling->zone);
	snprintf(pool->instance, BF_NAME_BYTES, "%s", pooling->instance);
	pool->at_us = now_us;
	pool->complete = watched->complete;
	pool->route_count = (uint32_t)watched->route_count;
	for (i = 0; i < watched->route_count; i++)
		snprintf(pool->routes[i].route, BF_NAME_BYTES, "%s",
		    watched->routes[i]);
}

static uint64_t
new_failures(const bf_move_stats_t *pool)
{
	uint64_t failures = 0;
	size_t i;

	for (i = 0; i < pool->route_count; i++)
		failures += pool->routes[i].new_version.failures;
	return failures;
}

/* The contributor, made at first; NULL when there are too many. */
static bf_contributor_t *
contributor_of(bf_watched_t *watched, const char *instance)
{
	bf_contributor_t *contributor;

	contributor =
	    apr_hash_get(watched->contributors, instance, APR_HASH_KEY_STRING);
	if (contributor != NULL)
		return contributor;
	if (apr_hash_count(watched->contributors) >= CONTRIBUTORS_MAX)
		return NULL;
	contributor = apr_pcalloc(watched->pool, sizeof(*contributor));
	contributor->tallies = apr_pcalloc(
	    watched->pool, (2 * watched->route_count + 1) * sizeof(bf_tally_t));
	apr_hash_set(watched->contributors,
	    apr_pstrdup(watched->pool, instance), APR_HASH_KEY_STRING,
	    contributor);
	return contributor;
}

static const bf_move_stats_route_t *
route_in(const bf_move_stats_t *pool, const char *name)
{
	size_t i;

	for (i = 0; i < pool->route_count; i++) {
		if (strcmp(pool->routes[i].route, name) == 0)
			return &pool->routes[i];
	}
	return NULL;
}

/* What an instance counted before it started again is kept in retired. */
static void
retire(bf_watched_t *watched, bf_contributor_t *contributor)
{
	size_t i;

	for (i = 0; i < 2 * watched->route_count; i++) {
		bf_tally_add(&watched->retired[i], &contributor->tallies[i]);
		contributor->tallies[i] = (bf_tally_t){ 0 };
	}
}

static void
collect(bf_watched_t *watched, const bf_stats_report_t *report)
{
	const bf_move_stats_route_t *route;
	bf_contributor_t *contributor;
	size_t i;

	contributor = contributor_of(watched, report->pool.instance);
	if (contributor == NULL ||
	    report->incarnation < contributor->incarnation)
		return;
	if (report->incarnation > contributor->incarnation) {
		retire(watched, contributor);
		contributor->incarnation = report->incarnation;
	}
	for (i = 0; i < watched->route_count; i++) {
		route = route_in(&report->pool, watched->routes[i]);
		if (route == NULL)
			continue;
		bf_tally_merge(
		    &contributor->tallies[2 * i], &route->old_version);
		bf_tally_merge(
		    &contributor->tallies[2 * i + 1], &route->new_version);
	}
}

bf_code_t
bf_aggregator_receive_report(bf_aggregator_t *pooling, const void *data,
    size_t data_bytes, bf_time_us_t now_us, bf_error_t *err)
{
	bf_watched_t *watched;
	bf_code_t code;

	(void)now_us;
	code = bf_stats_report_decode(data, data_bytes, &pooling->report, err);
	if (code != BF_OK)
		return code;
	watched = find_watched(pooling, pooling->report.pool.move_id);
	if (watched == NULL ||
	    strcmp(pooling->report.pool.zone, pooling->zone) != 0)
		return bf_error_set(err, BF_ERR_NOT_FOUND,
		    "report on move %s of zone %s is not for this instance",
		    pooling->report.pool.move_id, pooling->report.pool.zone);
	collect(watched, &pooling->report);
	return BF_OK;
}

/* Sends the own tallies to the collectors; to itself without a message. */
static void
send_report(bf_aggregator_t *pooling, bf_watched_t *watched,
    const bf_aggregator_callbacks_t *out)
{
	size_t bytes;
	size_t k;

	if (bf_stats_report_encode(&pooling->report, pooling->buffer,
		sizeof(pooling->buffer), &bytes, NULL) != BF_OK)
		return;
	for (k = 0; k < BF_AGGREGATOR_COLLECTORS; k++) {
		if (watched->collectors[k] == NULL ||
		    strcmp(watched->collectors[k], pooling->instance) == 0)
			continue;
		out->send(
		    out->ctx, watched->collectors[k], pooling->buffer, bytes);
	}
}

/* A report is due by its interval, or at once at a first failure. */
static bool
report_is_due(bf_watched_t *watched, uint64_t failures, bf_time_us_t now_us)
{
	if (now_us >= watched->next_report_us)
		return true;
	if (failures <= watched->reported_failures ||
	    now_us - watched->last_urgent_us < URGENT_INTERVAL_US)
		return false;
	watched->last_urgent_us = now_us;
	return true;
}

static void
report(bf_aggregator_t *pooling, bf_watched_t *watched,
    const bf_evidence_t *evidence, const bf_aggregator_callbacks_t *out,
    bf_time_us_t now_us)
{
	uint64_t failures;

	name_pool(pooling, watched, &pooling->report.pool, now_us);
	own_tallies(watched, evidence, &pooling->report.pool);
	pooling->report.incarnation = pooling->incarnation;
	failures = new_failures(&pooling->report.pool);
	if (is_collector(pooling, watched))
		collect(watched, &pooling->report);
	if (!report_is_due(watched, failures, now_us))
		return;
	watched->reported_failures = failures;
	watched->next_report_us = now_us +
	    bf_aggregator_report_interval_us(
		pooling->peer_count, pooling->watched_count);
	send_report(pooling, watched, out);
}

static void
sum_pool(bf_aggregator_t *pooling, bf_watched_t *watched, bf_move_stats_t *pool,
    bf_time_us_t now_us)
{
	const bf_contributor_t *contributor;
	apr_hash_index_t *index;
	size_t i;

	name_pool(pooling, watched, pool, now_us);
	for (i = 0; i < watched->route_count; i++) {
		pool->routes[i].old_version = watched->retired[2 * i];
		pool->routes[i].new_version = watched->retired[2 * i + 1];
	}
	for (index = apr_hash_first(NULL, watched->contributors); index != NULL;
	     index = apr_hash_next(index)) {
		contributor = apr_hash_this_val(index);
		for (i = 0; i < watched->route_count; i++) {
			bf_tally_add(&pool->routes[i].old_version,
			    &contributor->tallies[2 * i]);
			bf_tally_add(&pool->routes[i].new_version,
			    &contributor->tallies[2 * i + 1]);
		}
	}
}

/* The first collector publishes; the second only while that is silent. */
static bool
publishes(const bf_aggregator_t *pooling, const bf_watched_t *watched,
    uint64_t total, bf_time_us_t interval_us, bf_time_us_t now_us)
{
	bf_time_us_t heard_us;

	if (strcmp(watched->collectors[0], pooling->instance) == 0)
		return true;
	if (total <= watched->first_heard_total)
		return false;
	heard_us =
	    longer(watched->first_heard_us, watched->collecting_since_us);
	return now_us - heard_us > SILENT_INTERVALS * interval_us;
}

static void
publish(bf_aggregator_t *pooling, bf_watched_t *watched,
    const bf_move_stats_t *pool, const bf_aggregator_callbacks_t *out,
    bf_time_us_t now_us)
{
	bf_time_us_t interval_us;
	char key[KEY_BYTES];
	uint64_t total;
	size_t bytes;

	total = bf_move_stats_count_calls(pool);
	if (now_us < watched->next_publish_us ||
	    (total == watched->published_total &&
		watched->complete == watched->published_complete))
		return;
	if (bf_move_stats_encode(pool, pooling->buffer, sizeof(pooling->buffer),
		&bytes, NULL) != BF_OK)
		return;
	interval_us = bf_aggregator_publish_interval_us(
	    pooling->zone_count, pooling->watched_count, bytes);
	if (!publishes(pooling, watched, total, interval_us, now_us))
		return;
	snprintf(key, sizeof(key), "%s/%s/%s", watched->move_id, pooling->zone,
	    pooling->instance);
	watched->published_total = total;
	watched->published_complete = watched->complete;
	watched->next_publish_us = now_us + interval_us;
	watched->rank = watched->rank < (uint64_t)now_us ? (uint64_t)now_us
							 : watched->rank + 1;
	out->publish(out->ctx, key, watched->rank, pooling->buffer, bytes);
}

/*
 * A new collector waits until each instance had time to report: else the
 * reports that are still missing would look like calls of this moment.
 */
static bool
has_settled(
    const bf_aggregator_t *pooling, bf_watched_t *watched, bf_time_us_t now_us)
{
	if (!watched->collecting) {
		watched->collecting = true;
		watched->collecting_since_us = now_us;
	}
	if (pooling->peer_count <= 1)
		return true;
	return now_us - watched->collecting_since_us >= 2 *
	    bf_aggregator_report_interval_us(
		pooling->peer_count, pooling->watched_count);
}

void
bf_aggregator_tick(bf_aggregator_t *pooling, const bf_evidence_t *evidence,
    const bf_aggregator_callbacks_t *out, bf_time_us_t now_us)
{
	bf_watched_t *watched;

	for (watched = pooling->watched; watched != NULL;
	     watched = watched->next) {
		report(pooling, watched, evidence, out, now_us);
		if (!is_collector(pooling, watched)) {
			watched->collecting = false;
			continue;
		}
		if (!has_settled(pooling, watched, now_us) ||
		    now_us < watched->next_collect_us)
			continue;
		watched->next_collect_us = now_us + COLLECT_INTERVAL_US;
		sum_pool(pooling, watched, &pooling->report.pool, now_us);
		out->collected(out->ctx, &pooling->report.pool);
		publish(pooling, watched, &pooling->report.pool, out, now_us);
	}
}

void
bf_aggregator_receive_stats(
    bf_aggregator_t *pooling, const bf_move_stats_t *pool, bf_time_us_t now_us)
{
	bf_watched_t *watched;

	watched = find_watched(pooling, pool->move_id);
	if (watched == NULL || watched->collectors[0] == NULL ||
	    strcmp(pool->zone, pooling->zone) != 0)
		return;
	if (strcmp(pool->instance, watched->collectors[0]) != 0)
		return;
	watched->first_heard_us = now_us;
	watched->first_heard_total = bf_move_stats_count_calls(pool);
}
