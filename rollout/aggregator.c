#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>

#include "base/digest.h"
#include "rollout/aggregator.h"
#include "rollout/report.h"

#define REPORT_INTERVAL_MIN_US (1 * BF_US_PER_S)

/* Size of a report or of published statistics with five routes. */
#define TYPICAL_MESSAGE_BYTES 400

/* Least time between reports sent early because of new failures. */
#define EARLY_REPORT_INTERVAL_US (10 * BF_US_PER_S)

#define COLLECT_INTERVAL_US (1 * BF_US_PER_S)

/* The backup collector takes over after this many silent intervals. */
#define SILENT_INTERVALS_MAX 3

/* Most instances whose tallies a collector keeps. */
#define CONTRIBUTORS_MAX 1024

#define KEY_BYTES (3 * BF_NAME_BYTES)

typedef struct bf_contributor {
	uint64_t incarnation;
	bf_tally_t *tallies; /* old and new version of each route */
} bf_contributor_t;

typedef struct bf_tracked_move {
	struct bf_tracked_move *next;
	bool is_configured; /* still in the configuration */
	apr_pool_t *pool;
	char *move_id;
	char *service;
	size_t route_count;
	char **routes;
	bf_evidence_cell_t *cells;   /* old and new version of each route */
	bf_tally_t *initial_tallies; /* of the cells at the start of tracking */

	/* Reporting. */
	bf_time_us_t next_report_us;
	bf_time_us_t last_early_report_us;
	uint64_t reported_failures;
	/* The primary and the backup collector; NULL: none. */
	const char *collectors[BF_AGGREGATOR_COLLECTORS];

	/* Collecting. */
	bool is_collecting;
	bf_time_us_t collecting_since_us;
	apr_hash_t *contributors;
	bf_tally_t *retired_tallies; /* of earlier incarnations */
	bool complete;
	bool published_complete;
	uint64_t published_call_count;
	uint64_t rank;
	bf_time_us_t next_collect_us;
	bf_time_us_t next_publish_us;
	/* Last statistics received from the primary collector. */
	bf_time_us_t primary_received_us;
	uint64_t primary_call_count;
} bf_tracked_move_t;

struct bf_aggregator {
	char instance[BF_NAME_BYTES];
	char zone[BF_NAME_BYTES];
	uint64_t incarnation;
	bf_tracked_move_t *tracked;
	size_t tracked_count;
	char (*peers)[BF_NAME_BYTES]; /* alive, own zone, including itself */
	size_t peer_count;
	size_t zone_count;
	bf_stats_report_t report; /* scratch */
	uint8_t buffer[BF_MOVE_STATS_BYTES_MAX];
};

bf_aggregator_t *
bf_aggregator_new(const char *instance, const char *zone, uint64_t incarnation)
{
	bf_aggregator_t *aggregator;

	aggregator = calloc(1, sizeof(*aggregator));
	if (aggregator == NULL)
		return NULL;
	snprintf(aggregator->instance, BF_NAME_BYTES, "%s", instance);
	snprintf(aggregator->zone, BF_NAME_BYTES, "%s", zone);
	aggregator->incarnation = incarnation;
	aggregator->zone_count = 1;
	return aggregator;
}

void
bf_aggregator_free(bf_aggregator_t *aggregator)
{
	bf_tracked_move_t *tracked, *next;

	if (aggregator == NULL)
		return;
	for (tracked = aggregator->tracked; tracked != NULL; tracked = next) {
		next = tracked->next;
		apr_pool_destroy(tracked->pool);
	}
	free(aggregator->peers);
	free(aggregator);
}

static bf_tracked_move_t *
find_tracked(const bf_aggregator_t *aggregator, const char *move_id)
{
	bf_tracked_move_t *tracked;

	for (tracked = aggregator->tracked; tracked != NULL;
	     tracked = tracked->next) {
		if (strcmp(tracked->move_id, move_id) == 0)
			return tracked;
	}
	return NULL;
}

static size_t
limited_route_count(const bf_service_t *service)
{
	return service->route_count < BF_MOVE_STATS_ROUTES_MAX
	    ? service->route_count
	    : BF_MOVE_STATS_ROUTES_MAX;
}

static bool
same_routes(const bf_tracked_move_t *tracked, const bf_service_t *service)
{
	size_t i;

	if (tracked->route_count != limited_route_count(service))
		return false;
	for (i = 0; i < tracked->route_count; i++) {
		if (strcmp(tracked->routes[i], service->routes[i].name) != 0)
			return false;
	}
	return true;
}

static void
track_route(bf_tracked_move_t *tracked, size_t i, bf_evidence_t *evidence,
    const bf_service_t *service)
{
	const char *route = service->routes[i].name;
	const bf_move_t *move = service->move;

	tracked->routes[i] = apr_pstrdup(tracked->pool, route);
	tracked->cells[2 * i] = bf_evidence_register_cell(
	    evidence, service->name, route, move->from_version);
	tracked->cells[2 * i + 1] = bf_evidence_register_cell(
	    evidence, service->name, route, move->to_version);
	bf_evidence_read(
	    evidence, tracked->cells[2 * i], &tracked->initial_tallies[2 * i]);
	bf_evidence_read(evidence, tracked->cells[2 * i + 1],
	    &tracked->initial_tallies[2 * i + 1]);
}

static bf_tracked_move_t *
track_move(bf_evidence_t *evidence, const bf_service_t *service)
{
	bf_tracked_move_t *tracked;
	apr_pool_t *pool;
	size_t count, i;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return NULL;
	tracked = apr_pcalloc(pool, sizeof(*tracked));
	count = limited_route_count(service);
	tracked->pool = pool;
	tracked->move_id = apr_pstrdup(pool, service->move->id);
	tracked->service = apr_pstrdup(pool, service->name);
	tracked->route_count = count;
	tracked->routes = apr_pcalloc(pool, (count + 1) * sizeof(char *));
	tracked->cells =
	    apr_pcalloc(pool, (2 * count + 1) * sizeof(bf_evidence_cell_t));
	tracked->initial_tallies =
	    apr_pcalloc(pool, (2 * count + 1) * sizeof(bf_tally_t));
	tracked->retired_tallies =
	    apr_pcalloc(pool, (2 * count + 1) * sizeof(bf_tally_t));
	tracked->contributors = apr_hash_make(pool);
	for (i = 0; i < count; i++)
		track_route(tracked, i, evidence, service);
	return tracked;
}

/* Removes the moves that are no longer in the configuration. */
static void
remove_unconfigured(bf_aggregator_t *aggregator)
{
	bf_tracked_move_t **link, *tracked;

	link = &aggregator->tracked;
	while ((tracked = *link) != NULL) {
		if (tracked->is_configured) {
			link = &tracked->next;
			continue;
		}
		*link = tracked->next;
		aggregator->tracked_count--;
		apr_pool_destroy(tracked->pool);
	}
}

/*
 * Chooses a move's collectors: the instances of the zone with the greatest
 * hashes (rendezvous hashing), so that a member that joins or leaves changes
 * only those choices in which it is or becomes a collector.
 */
static void
choose_collectors(const bf_aggregator_t *aggregator, bf_tracked_move_t *tracked)
{
	uint64_t hash, seed, best[BF_AGGREGATOR_COLLECTORS] = { 0 };
	size_t i;

	memset(tracked->collectors, 0, sizeof(tracked->collectors));
	seed = bf_hash_text(tracked->service, 0);
	for (i = 0; i < aggregator->peer_count; i++) {
		hash = bf_hash_text(aggregator->peers[i], seed);
		if (tracked->collectors[0] == NULL || hash > best[0]) {
			tracked->collectors[1] = tracked->collectors[0];
			best[1] = best[0];
			tracked->collectors[0] = aggregator->peers[i];
			best[0] = hash;
		} else if (tracked->collectors[1] == NULL || hash > best[1]) {
			tracked->collectors[1] = aggregator->peers[i];
			best[1] = hash;
		}
	}
}

static bool
is_collector(
    const bf_aggregator_t *aggregator, const bf_tracked_move_t *tracked)
{
	size_t k;

	for (k = 0; k < BF_AGGREGATOR_COLLECTORS; k++) {
		if (tracked->collectors[k] != NULL &&
		    strcmp(tracked->collectors[k], aggregator->instance) == 0)
			return true;
	}
	return false;
}

bf_code_t
bf_aggregator_set_services(bf_aggregator_t *aggregator, bf_evidence_t *evidence,
    const bf_service_t *services, size_t service_count, bf_error_t *err)
{
	bf_tracked_move_t *tracked;
	size_t i;

	for (tracked = aggregator->tracked; tracked != NULL;
	     tracked = tracked->next)
		tracked->is_configured = false;
	for (i = 0; i < service_count; i++) {
		if (services[i].move == NULL)
			continue;
		tracked = find_tracked(aggregator, services[i].move->id);
		if (tracked != NULL && same_routes(tracked, &services[i])) {
			tracked->is_configured = true;
			continue;
		}
		tracked = track_move(evidence, &services[i]);
		if (tracked == NULL)
			return bf_error_set(err, BF_ERR_MEMORY,
			    "out of memory while adding move %s",
			    services[i].move->id);
		tracked->is_configured = true;
		tracked->next = aggregator->tracked;
		aggregator->tracked = tracked;
		aggregator->tracked_count++;
		choose_collectors(aggregator, tracked);
	}
	remove_unconfigured(aggregator);
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
bf_aggregator_set_members(bf_aggregator_t *aggregator,
    const bf_record_t *records, size_t record_count, bf_error_t *err)
{
	bf_tracked_move_t *tracked;
	char(*peers)[BF_NAME_BYTES];
	size_t i, count;

	peers = calloc(record_count + 1, sizeof(*peers));
	if (peers == NULL)
		return bf_error_set(err, BF_ERR_MEMORY,
		    "out of memory for a list of %zu peers", record_count);
	count = 0;
	aggregator->zone_count = 0;
	for (i = 0; i < record_count; i++) {
		if (is_first_of_zone(records, i))
			aggregator->zone_count++;
		if (strcmp(records[i].zone, aggregator->zone) != 0 ||
		    strcmp(records[i].instance, aggregator->instance) == 0 ||
		    records[i].state != BF_MEMBER_ALIVE)
			continue;
		snprintf(
		    peers[count++], BF_NAME_BYTES, "%s", records[i].instance);
	}
	snprintf(peers[count++], BF_NAME_BYTES, "%s", aggregator->instance);
	free(aggregator->peers);
	aggregator->peers = peers;
	aggregator->peer_count = count;
	for (tracked = aggregator->tracked; tracked != NULL;
	     tracked = tracked->next)
		choose_collectors(aggregator, tracked);
	return BF_OK;
}

void
bf_aggregator_set_complete(
    bf_aggregator_t *aggregator, const char *move_id, bool complete)
{
	bf_tracked_move_t *tracked;

	tracked = find_tracked(aggregator, move_id);
	if (tracked != NULL)
		tracked->complete = complete;
}

bool
bf_aggregator_is_collector(
    const bf_aggregator_t *aggregator, const char *move_id)
{
	const bf_tracked_move_t *tracked;

	tracked = find_tracked(aggregator, move_id);
	return tracked != NULL && is_collector(aggregator, tracked);
}

static bf_time_us_t
max_us(bf_time_us_t a, bf_time_us_t b)
{
	return a > b ? a : b;
}

/* Returns the time that count events take at a rate of per_s, rounded up. */
static bf_time_us_t
duration_at_rate_us(size_t count, size_t per_s)
{
	return (bf_time_us_t)((count * BF_US_PER_S + per_s - 1) / per_s);
}

bf_time_us_t
bf_aggregator_report_interval_us(size_t zone_instances, size_t moves)
{
	bf_time_us_t by_count_us, by_bytes_us;

	by_count_us = duration_at_rate_us(
	    zone_instances, BF_AGGREGATOR_REPORTS_PER_S_MAX);
	by_bytes_us = duration_at_rate_us(
	    moves * BF_AGGREGATOR_COLLECTORS * TYPICAL_MESSAGE_BYTES,
	    BF_AGGREGATOR_BYTES_PER_S_MAX);
	return max_us(REPORT_INTERVAL_MIN_US, max_us(by_count_us, by_bytes_us));
}

bf_time_us_t
bf_aggregator_publish_interval_us(
    size_t zones, size_t moves, size_t stats_bytes)
{
	return max_us(COLLECT_INTERVAL_US,
	    duration_at_rate_us(
		zones * moves * stats_bytes, BF_AGGREGATOR_BYTES_PER_S_MAX));
}

static void
read_own_tallies(const bf_tracked_move_t *tracked,
    const bf_evidence_t *evidence, bf_move_stats_t *stats)
{
	bf_tally_t tally;
	size_t i;

	for (i = 0; i < tracked->route_count; i++) {
		bf_evidence_read(evidence, tracked->cells[2 * i], &tally);
		stats->routes[i].old_version =
		    bf_tally_since(&tally, &tracked->initial_tallies[2 * i]);
		bf_evidence_read(evidence, tracked->cells[2 * i + 1], &tally);
		stats->routes[i].new_version = bf_tally_since(
		    &tally, &tracked->initial_tallies[2 * i + 1]);
	}
}

static void
fill_identity(const bf_aggregator_t *aggregator,
    const bf_tracked_move_t *tracked, bf_move_stats_t *stats,
    bf_time_us_t now_us)
{
	size_t i;

	snprintf(stats->move_id, BF_NAME_BYTES, "%s", tracked->move_id);
	snprintf(stats->zone, BF_NAME_BYTES, "%s", aggregator->zone);
	snprintf(stats->instance, BF_NAME_BYTES, "%s", aggregator->instance);
	stats->at_us = now_us;
	stats->complete = tracked->complete;
	stats->route_count = (uint32_t)tracked->route_count;
	for (i = 0; i < tracked->route_count; i++)
		snprintf(stats->routes[i].route, BF_NAME_BYTES, "%s",
		    tracked->routes[i]);
}

static uint64_t
count_new_failures(const bf_move_stats_t *stats)
{
	uint64_t failures = 0;
	size_t i;

	for (i = 0; i < stats->route_count; i++)
		failures += stats->routes[i].new_version.failures;
	return failures;
}

/*
 * Returns the contributor of an instance, created at its first report; NULL
 * when CONTRIBUTORS_MAX is reached.
 */
static bf_contributor_t *
get_contributor(bf_tracked_move_t *tracked, const char *instance)
{
	bf_contributor_t *contributor;

	contributor =
	    apr_hash_get(tracked->contributors, instance, APR_HASH_KEY_STRING);
	if (contributor != NULL)
		return contributor;
	if (apr_hash_count(tracked->contributors) >= CONTRIBUTORS_MAX)
		return NULL;
	contributor = apr_pcalloc(tracked->pool, sizeof(*contributor));
	contributor->tallies = apr_pcalloc(
	    tracked->pool, (2 * tracked->route_count + 1) * sizeof(bf_tally_t));
	apr_hash_set(tracked->contributors,
	    apr_pstrdup(tracked->pool, instance), APR_HASH_KEY_STRING,
	    contributor);
	return contributor;
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

/* Keeps what an instance counted before its restart in retired_tallies. */
static void
retire_incarnation(bf_tracked_move_t *tracked, bf_contributor_t *contributor)
{
	size_t i;

	for (i = 0; i < 2 * tracked->route_count; i++) {
		bf_tally_add(
		    &tracked->retired_tallies[i], &contributor->tallies[i]);
		contributor->tallies[i] = (bf_tally_t){ 0 };
	}
}

static void
merge_report(bf_tracked_move_t *tracked, const bf_stats_report_t *report)
{
	const bf_move_stats_route_t *route;
	bf_contributor_t *contributor;
	size_t i;

	contributor = get_contributor(tracked, report->stats.instance);
	if (contributor == NULL ||
	    report->incarnation < contributor->incarnation)
		return;
	if (report->incarnation > contributor->incarnation) {
		retire_incarnation(tracked, contributor);
		contributor->incarnation = report->incarnation;
	}
	for (i = 0; i < tracked->route_count; i++) {
		route = find_route(&report->stats, tracked->routes[i]);
		if (route == NULL)
			continue;
		bf_tally_merge(
		    &contributor->tallies[2 * i], &route->old_version);
		bf_tally_merge(
		    &contributor->tallies[2 * i + 1], &route->new_version);
	}
}

bf_code_t
bf_aggregator_receive_report(bf_aggregator_t *aggregator, const void *data,
    size_t data_bytes, bf_time_us_t now_us, bf_error_t *err)
{
	bf_tracked_move_t *tracked;
	bf_code_t code;

	(void)now_us;
	code =
	    bf_stats_report_decode(data, data_bytes, &aggregator->report, err);
	if (code != BF_OK)
		return code;
	tracked = find_tracked(aggregator, aggregator->report.stats.move_id);
	if (tracked == NULL ||
	    strcmp(aggregator->report.stats.zone, aggregator->zone) != 0)
		return bf_error_set(err, BF_ERR_NOT_FOUND,
		    "report on unknown move %s or of another zone %s",
		    aggregator->report.stats.move_id,
		    aggregator->report.stats.zone);
	merge_report(tracked, &aggregator->report);
	return BF_OK;
}

/*
 * Sends the report to the collectors other than this instance, which merges
 * its own without a message.
 */
static void
send_report(bf_aggregator_t *aggregator, bf_tracked_move_t *tracked,
    const bf_aggregator_callbacks_t *callbacks)
{
	size_t bytes;
	size_t k;

	if (bf_stats_report_encode(&aggregator->report, aggregator->buffer,
		sizeof(aggregator->buffer), &bytes, NULL) != BF_OK)
		return;
	for (k = 0; k < BF_AGGREGATOR_COLLECTORS; k++) {
		if (tracked->collectors[k] == NULL ||
		    strcmp(tracked->collectors[k], aggregator->instance) == 0)
			continue;
		callbacks->send(callbacks->ctx, tracked->collectors[k],
		    aggregator->buffer, bytes);
	}
}

/*
 * A report is due after its interval, or at once at new failures if the last
 * early report is old enough.
 */
static bool
report_is_due(
    bf_tracked_move_t *tracked, uint64_t failures, bf_time_us_t now_us)
{
	if (now_us >= tracked->next_report_us)
		return true;
	if (failures <= tracked->reported_failures ||
	    now_us - tracked->last_early_report_us < EARLY_REPORT_INTERVAL_US)
		return false;
	tracked->last_early_report_us = now_us;
	return true;
}

static void
send_due_report(bf_aggregator_t *aggregator, bf_tracked_move_t *tracked,
    const bf_evidence_t *evidence, const bf_aggregator_callbacks_t *callbacks,
    bf_time_us_t now_us)
{
	uint64_t failures;

	fill_identity(aggregator, tracked, &aggregator->report.stats, now_us);
	read_own_tallies(tracked, evidence, &aggregator->report.stats);
	aggregator->report.incarnation = aggregator->incarnation;
	failures = count_new_failures(&aggregator->report.stats);
	if (is_collector(aggregator, tracked))
		merge_report(tracked, &aggregator->report);
	if (!report_is_due(tracked, failures, now_us))
		return;
	tracked->reported_failures = failures;
	tracked->next_report_us = now_us +
	    bf_aggregator_report_interval_us(
		aggregator->peer_count, aggregator->tracked_count);
	send_report(aggregator, tracked, callbacks);
}

static void
sum_contributors(bf_aggregator_t *aggregator, bf_tracked_move_t *tracked,
    bf_move_stats_t *stats, bf_time_us_t now_us)
{
	const bf_contributor_t *contributor;
	apr_hash_index_t *index;
	size_t i;

	fill_identity(aggregator, tracked, stats, now_us);
	for (i = 0; i < tracked->route_count; i++) {
		stats->routes[i].old_version = tracked->retired_tallies[2 * i];
		stats->routes[i].new_version =
		    tracked->retired_tallies[2 * i + 1];
	}
	for (index = apr_hash_first(NULL, tracked->contributors); index != NULL;
	     index = apr_hash_next(index)) {
		contributor = apr_hash_this_val(index);
		for (i = 0; i < tracked->route_count; i++) {
			bf_tally_add(&stats->routes[i].old_version,
			    &contributor->tallies[2 * i]);
			bf_tally_add(&stats->routes[i].new_version,
			    &contributor->tallies[2 * i + 1]);
		}
	}
}

/* The backup collector publishes only while the primary one is silent. */
static bool
is_publisher(const bf_aggregator_t *aggregator,
    const bf_tracked_move_t *tracked, uint64_t call_count,
    bf_time_us_t interval_us, bf_time_us_t now_us)
{
	bf_time_us_t last_active_us;

	if (strcmp(tracked->collectors[0], aggregator->instance) == 0)
		return true;
	if (call_count <= tracked->primary_call_count)
		return false;
	last_active_us =
	    max_us(tracked->primary_received_us, tracked->collecting_since_us);
	return now_us - last_active_us > SILENT_INTERVALS_MAX * interval_us;
}

static void
publish_due_stats(bf_aggregator_t *aggregator, bf_tracked_move_t *tracked,
    const bf_move_stats_t *stats, const bf_aggregator_callbacks_t *callbacks,
    bf_time_us_t now_us)
{
	bf_time_us_t interval_us;
	char key[KEY_BYTES];
	uint64_t call_count;
	size_t bytes;

	call_count = bf_move_stats_count_calls(stats);
	if (now_us < tracked->next_publish_us ||
	    (call_count == tracked->published_call_count &&
		tracked->complete == tracked->published_complete))
		return;
	if (bf_move_stats_encode(stats, aggregator->buffer,
		sizeof(aggregator->buffer), &bytes, NULL) != BF_OK)
		return;
	interval_us = bf_aggregator_publish_interval_us(
	    aggregator->zone_count, aggregator->tracked_count, bytes);
	if (!is_publisher(aggregator, tracked, call_count, interval_us, now_us))
		return;
	snprintf(key, sizeof(key), "%s/%s/%s", tracked->move_id,
	    aggregator->zone, aggregator->instance);
	tracked->published_call_count = call_count;
	tracked->published_complete = tracked->complete;
	tracked->next_publish_us = now_us + interval_us;
	tracked->rank = tracked->rank < (uint64_t)now_us ? (uint64_t)now_us
							 : tracked->rank + 1;
	callbacks->publish(
	    callbacks->ctx, key, tracked->rank, aggregator->buffer, bytes);
}

/*
 * A new collector waits until each instance has had time to report; otherwise
 * the calls of reports that arrive later would look like new ones.
 */
static bool
has_settled(const bf_aggregator_t *aggregator, bf_tracked_move_t *tracked,
    bf_time_us_t now_us)
{
	if (!tracked->is_collecting) {
		tracked->is_collecting = true;
		tracked->collecting_since_us = now_us;
	}
	if (aggregator->peer_count <= 1)
		return true;
	return now_us - tracked->collecting_since_us >= 2 *
	    bf_aggregator_report_interval_us(
		aggregator->peer_count, aggregator->tracked_count);
}

void
bf_aggregator_tick(bf_aggregator_t *aggregator, const bf_evidence_t *evidence,
    const bf_aggregator_callbacks_t *callbacks, bf_time_us_t now_us)
{
	bf_tracked_move_t *tracked;

	for (tracked = aggregator->tracked; tracked != NULL;
	     tracked = tracked->next) {
		send_due_report(
		    aggregator, tracked, evidence, callbacks, now_us);
		if (!is_collector(aggregator, tracked)) {
			tracked->is_collecting = false;
			continue;
		}
		if (!has_settled(aggregator, tracked, now_us) ||
		    now_us < tracked->next_collect_us)
			continue;
		tracked->next_collect_us = now_us + COLLECT_INTERVAL_US;
		sum_contributors(
		    aggregator, tracked, &aggregator->report.stats, now_us);
		callbacks->collected(callbacks->ctx, &aggregator->report.stats);
		publish_due_stats(aggregator, tracked,
		    &aggregator->report.stats, callbacks, now_us);
	}
}

void
bf_aggregator_receive_stats(bf_aggregator_t *aggregator,
    const bf_move_stats_t *stats, bf_time_us_t now_us)
{
	bf_tracked_move_t *tracked;

	tracked = find_tracked(aggregator, stats->move_id);
	if (tracked == NULL || tracked->collectors[0] == NULL ||
	    strcmp(stats->zone, aggregator->zone) != 0)
		return;
	if (strcmp(stats->instance, tracked->collectors[0]) != 0)
		return;
	tracked->primary_received_us = now_us;
	tracked->primary_call_count = bf_move_stats_count_calls(stats);
}
