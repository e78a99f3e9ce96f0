#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <apr_pools.h>
#include <apr_strings.h>

#include "base/digest.h"
#include "rollout/rollout.h"
#include "rollout/rollout_route.h"
#include "rollout/schedule.h"
#include "rollout/zones.h"

#define SHARE_WHOLE_PPM 1000000

/*
 * A block is fair if the new version's share of the calls is at most this
 * multiple of its share of the slots.
 */
#define FAIR_TOLERANCE 1.25

/* Greatest share of a route with a suspicion, if the old slots suffice. */
#define SUSPICION_SHARE 0.1

/* A share at most doubles in the lesser of 5 s and 1/50 of the duration. */
#define GROWTH_US (5 * BF_US_PER_S)
#define GROWTH_STEPS 50

/* At-most-once routes start when the others have reached this share. */
#define ROUTE_ORDER_SHARE 0.05

/* A route with fewer calls counts as idle and does not make a move late. */
#define IDLE_CALLS 10

/*
 * A regression under load is blamed on the new version if its slots had no
 * more than this multiple of the load of the old version's slots.
 */
#define LOAD_TOLERANCE 1.1

/* Least time of observation from which a call rate is estimated. */
#define RATE_MIN_US (10 * BF_US_PER_S)

/* A zone that is silent for longer does not delay the end of a move. */
#define ZONE_SILENCE_US (60 * BF_US_PER_S)

/*
 * Delay and jitter with which an instance that is no collector publishes its
 * verdict if no other instance has.
 */
#define PUBLISH_DELAY_US (2 * BF_US_PER_S)
#define PUBLISH_JITTER_US (30 * BF_US_PER_S)

/* Greatest load of one zone, in calls per second and slot. */
typedef struct bf_slot_load {
	double new_version_max; /* since the last probe */
	double old_version_max; /* before the first probe */
} bf_slot_load_t;

struct bf_rollout {
	apr_pool_t *pool;
	const char *service;
	const char *zone;
	const char *instance;
	bf_move_t move;
	bf_rollout_route_t *routes;
	const char **route_names;
	uint32_t route_count;
	bf_zones_t *zones;
	bf_slot_load_t loads[BF_ROLLOUT_ZONES_MAX];
	bf_share_history_t share_history; /* of all routes together */
	bf_rollout_target_counts_t targets;
	bool targets_known;
	bool is_collector;
	bf_time_us_t now_us;
	bf_time_us_t first_stats_us; /* when they were added; 0: none yet */

	bf_rollout_state_t state;
	bf_rollout_reason_t reason;
	bf_rollout_figures_t figures;
	bool complete;
	bool late;
	bool taken_back;
	bool probing;
	bool has_probed;       /* at least one probe has begun */
	bool done_elsewhere;   /* a received verdict reports completion */
	uint64_t highest_rank; /* of all verdicts received or reached here */
	bool verdict_pending;  /* the verdict below is to be published */
	bf_time_us_t verdict_due_us;
	bf_verdict_t verdict;
};

static void
copy_move(bf_rollout_t *rollout, const bf_move_t *move)
{
	rollout->move = (bf_move_t){
		.id = apr_pstrdup(rollout->pool, move->id),
		.from_version = apr_pstrdup(rollout->pool, move->from_version),
		.to_version = apr_pstrdup(rollout->pool, move->to_version),
		.start_us = move->start_us,
		.complete_by_us = move->complete_by_us,
	};
}

static void
copy_routes(bf_rollout_t *rollout, const bf_service_t *service)
{
	const bf_route_t *route;
	double sum = 0;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++) {
		route = &service->routes[i];
		rollout->route_names[i] =
		    apr_pstrdup(rollout->pool, route->name);
		bf_rollout_route_init(&rollout->routes[i],
		    rollout->route_names[i],
		    route->call_class == BF_CALL_AT_MOST_ONCE);
		sum += rollout->routes[i].weight;
	}
	for (i = 0; i < rollout->route_count; i++)
		rollout->routes[i].weight /= sum;
}

bf_rollout_t *
bf_rollout_new(
    const bf_service_t *service, const char *zone, const char *instance)
{
	bf_rollout_t *rollout;
	apr_pool_t *pool;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return NULL;
	rollout = apr_pcalloc(pool, sizeof(*rollout));
	rollout->pool = pool;
	rollout->service = apr_pstrdup(pool, service->name);
	rollout->zone = apr_pstrdup(pool, zone);
	rollout->instance = apr_pstrdup(pool, instance);
	rollout->route_count = service->route_count < BF_MOVE_STATS_ROUTES_MAX
	    ? (uint32_t)service->route_count
	    : BF_MOVE_STATS_ROUTES_MAX;
	rollout->routes =
	    apr_pcalloc(pool, rollout->route_count * sizeof(*rollout->routes));
	rollout->route_names = apr_pcalloc(
	    pool, rollout->route_count * sizeof(*rollout->route_names));
	copy_move(rollout, service->move);
	copy_routes(rollout, service);
	rollout->zones =
	    bf_zones_new(rollout->route_names, rollout->route_count);
	if (rollout->zones == NULL) {
		apr_pool_destroy(pool);
		return NULL;
	}
	return rollout;
}

void
bf_rollout_free(bf_rollout_t *rollout)
{
	if (rollout == NULL)
		return;
	bf_zones_free(rollout->zones);
	apr_pool_destroy(rollout->pool);
}

/* Returns the share at which slots of both versions get equally many calls. */
static double
fair_share(const bf_rollout_t *rollout)
{
	double slots;

	slots = (double)rollout->targets.old_slots + rollout->targets.new_slots;
	if (!rollout->targets_known || slots == 0)
		return 0.5;
	return rollout->targets.new_slots / slots;
}

/*
 * Returns the greatest share at which a slot of the new version gets no more
 * calls than a slot of the old version got with all traffic.
 */
static double
capacity_share(const bf_rollout_t *rollout)
{
	const bf_rollout_target_counts_t *targets = &rollout->targets;

	if (!rollout->targets_known || targets->old_slots == 0)
		return 1;
	return fmin((double)targets->new_slots / targets->old_slots, 1);
}

/*
 * Keeps the greatest load per slot of each version in a zone.  That of the old
 * version after the first suspicion does not show what it handles well.
 */
static void
update_load(bf_rollout_t *rollout, const bf_zone_block_t *block,
    const bf_tally_t *old_version, const bf_tally_t *new_version)
{
	bf_slot_load_t *load;
	double seconds;

	if (block->duration_us <= 0 || rollout->targets.new_slots == 0)
		return;
	seconds = (double)block->duration_us / BF_US_PER_S;
	load = &rollout->loads[block->zone];
	load->new_version_max = fmax(load->new_version_max,
	    (double)new_version->calls / seconds / rollout->targets.new_slots);
	if (rollout->targets.old_slots > 0 && !rollout->has_probed)
		load->old_version_max = fmax(load->old_version_max,
		    (double)old_version->calls / seconds /
			rollout->targets.old_slots);
}

/*
 * Returns whether a slot of the new version got no more calls than a slot of
 * the old one.
 */
static bool
is_fair(const bf_rollout_t *rollout, const bf_tally_t *old_version,
    const bf_tally_t *new_version)
{
	double calls;

	calls = (double)old_version->calls + (double)new_version->calls;
	return (double)new_version->calls <=
	    calls * fair_share(rollout) * FAIR_TOLERANCE;
}

static void
add_block(bf_rollout_t *rollout, const bf_zone_block_t *block, bool own_zone,
    bf_time_us_t now_us)
{
	bf_tally_t old_sum = { 0 }, new_sum = { 0 };
	bf_rollout_route_block_t part;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++) {
		bf_tally_add(&old_sum, &block->old_versions[i]);
		bf_tally_add(&new_sum, &block->new_versions[i]);
	}
	update_load(rollout, block, &old_sum, &new_sum);
	if (bf_share_history_update(
		&rollout->share_history, block->zone, &old_sum, &new_sum))
		return;
	part = (bf_rollout_route_block_t){
		.fair = is_fair(rollout, &old_sum, &new_sum),
		.zone = block->zone,
		.own_zone = own_zone,
		.interval = now_us / BF_ZONE_BLOCK_US,
	};
	for (i = 0; i < rollout->route_count; i++) {
		part.old_version = &block->old_versions[i];
		part.new_version = &block->new_versions[i];
		bf_rollout_route_add_block(&rollout->routes[i], &part);
	}
}

void
bf_rollout_add_stats(
    bf_rollout_t *rollout, const bf_move_stats_t *stats, bf_time_us_t now_us)
{
	const bf_zone_increment_t *increment;
	bf_rollout_route_t *route;
	uint32_t i;

	if (strcmp(stats->move_id, rollout->move.id) != 0)
		return;
	increment = bf_zones_update(rollout->zones, stats, now_us);
	if (increment == NULL)
		return;
	for (i = 0; i < rollout->route_count; i++) {
		route = &rollout->routes[i];
		bf_tally_add(&route->old_version, &increment->old_versions[i]);
		bf_tally_add(&route->new_version, &increment->new_versions[i]);
		if (increment->first)
			route->initial_calls +=
			    increment->old_versions[i].calls +
			    increment->new_versions[i].calls;
	}
	if (increment->block != NULL)
		add_block(rollout, increment->block,
		    strcmp(stats->zone, rollout->zone) == 0, now_us);
	if (rollout->first_stats_us == 0)
		rollout->first_stats_us = now_us;
}

void
bf_rollout_add_verdict(
    bf_rollout_t *rollout, const bf_verdict_t *verdict, bf_time_us_t now_us)
{
	uint64_t rank;

	(void)now_us;
	if (strcmp(verdict->move_id, rollout->move.id) != 0)
		return;
	rank = bf_verdict_rank(verdict);
	if (rank <= rollout->highest_rank && !rollout->verdict_pending)
		return;
	if (rollout->verdict_pending &&
	    rank >= bf_verdict_rank(&rollout->verdict))
		rollout->verdict_pending = false;
	if (rank > rollout->highest_rank)
		rollout->highest_rank = rank;
	if (verdict->state == BF_ROLLOUT_DONE)
		rollout->done_elsewhere = true;
	if (verdict->state == BF_ROLLOUT_TAKEN_BACK && !rollout->taken_back) {
		rollout->taken_back = true;
		rollout->reason = verdict->reason;
		rollout->figures = verdict->figures;
	}
}

void
bf_rollout_set_targets(bf_rollout_t *rollout,
    const bf_rollout_target_counts_t *targets, bf_time_us_t now_us)
{
	(void)now_us;
	rollout->targets = *targets;
	rollout->targets_known = true;
}

void
bf_rollout_set_collector(bf_rollout_t *rollout, bool is_collector)
{
	rollout->is_collector = is_collector;
}

/*
 * Records a verdict reached by this instance unless one of at least its rank
 * was received or reached before, and sets when to publish it: at once on a
 * collector, with a delay on other instances, which publish it only if no other
 * instance has.
 */
static void
record_verdict(bf_rollout_t *rollout, bf_rollout_state_t state,
    bf_rollout_reason_t reason, const bf_rollout_figures_t *figures)
{
	bf_verdict_t verdict;
	uint64_t jitter_us;

	verdict = (bf_verdict_t){
		.state = state,
		.reason = reason,
		.figures = *figures,
		.at_us = rollout->now_us,
	};
	strcpy(verdict.move_id, rollout->move.id);
	strcpy(verdict.zone, rollout->zone);
	strcpy(verdict.instance, rollout->instance);
	if (bf_verdict_rank(&verdict) <= rollout->highest_rank)
		return;
	rollout->highest_rank = bf_verdict_rank(&verdict);
	rollout->verdict = verdict;
	rollout->verdict_pending = true;
	rollout->verdict_due_us = rollout->now_us;
	if (rollout->is_collector)
		return;
	jitter_us = bf_hash_text(rollout->instance, 0) % PUBLISH_JITTER_US;
	rollout->verdict_due_us += PUBLISH_DELAY_US + (bf_time_us_t)jitter_us;
}

static void
take_back(bf_rollout_t *rollout, const bf_rollout_route_t *route,
    const bf_compare_result_t *result, bf_rollout_reason_t reason)
{
	rollout->taken_back = true;
	rollout->reason = reason;
	bf_rollout_route_fill_figures(route, result, &rollout->figures);
	record_verdict(
	    rollout, BF_ROLLOUT_TAKEN_BACK, reason, &rollout->figures);
}

/*
 * Takes the move back if its e-value, the sum of the routes' parts, has reached
 * 1/alpha.
 */
static void
check_regression(bf_rollout_t *rollout)
{
	bf_compare_result_t result, worst;
	const bf_rollout_route_t *worst_route;
	double log_move;
	uint32_t i;

	worst_route = NULL;
	worst = (bf_compare_result_t){ .log_value = -INFINITY };
	log_move = -INFINITY;
	for (i = 0; i < rollout->route_count; i++) {
		result = bf_rollout_route_result(&rollout->routes[i]);
		log_move = bf_log_add(log_move, result.log_value);
		if (result.log_value <= worst.log_value)
			continue;
		worst = result;
		worst_route = &rollout->routes[i];
	}
	if (worst_route == NULL || log_move < -log(BF_ROLLOUT_ALPHA))
		return;
	worst.log_value = log_move;
	take_back(rollout, worst_route, &worst,
	    worst.signal == 0 ? BF_ROLLOUT_REASON_FAILURES
			      : BF_ROLLOUT_REASON_SLOW);
}

/*
 * Returns true when no zone has loaded the new version more than the old one
 * was loaded before the first probe.
 */
static bool
is_load_usual(const bf_rollout_t *rollout)
{
	const bf_slot_load_t *load;
	uint32_t i;

	for (i = 0; i < BF_ROLLOUT_ZONES_MAX; i++) {
		load = &rollout->loads[i];
		if (load->new_version_max >
		    load->old_version_max * LOAD_TOLERANCE)
			return false;
	}
	return true;
}

static void
end_probe(bf_rollout_t *rollout)
{
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++) {
		if (!bf_rollout_route_probe_is_over(
			&rollout->routes[i], rollout->now_us))
			return;
	}
	for (i = 0; i < rollout->route_count; i++)
		bf_rollout_route_end_probe(&rollout->routes[i]);
	for (i = 0; i < BF_ROLLOUT_ZONES_MAX; i++)
		rollout->loads[i].new_version_max = 0;
	rollout->probing = false;
}

/*
 * Starts a probe of all routes, as otherwise the other routes would load the
 * new version while one of them is compared.  Takes the move back instead for
 * a regression that only shows under usual load.
 */
static void
begin_probe(bf_rollout_t *rollout, const bf_rollout_route_t *suspect)
{
	bf_compare_result_t suspicion;
	uint32_t i;

	suspicion = bf_compare_result(&suspect->suspicion);
	if (bf_rollout_route_is_bad_under_load(suspect) &&
	    is_load_usual(rollout)) {
		take_back(
		    rollout, suspect, &suspicion, BF_ROLLOUT_REASON_UNDER_LOAD);
		return;
	}
	for (i = 0; i < rollout->route_count; i++)
		bf_rollout_route_begin_probe(&rollout->routes[i],
		    &rollout->routes[i] == suspect, rollout->now_us);
	rollout->probing = true;
	rollout->has_probed = true;
}

static void
update_probe(bf_rollout_t *rollout)
{
	uint32_t i;

	if (rollout->probing) {
		end_probe(rollout);
		return;
	}
	for (i = 0; i < rollout->route_count; i++) {
		if (!bf_rollout_route_needs_probe(&rollout->routes[i]))
			continue;
		begin_probe(rollout, &rollout->routes[i]);
		return;
	}
}

/* Returns the calls of the route expected over the duration of the move. */
static double
expected_calls(const bf_rollout_t *rollout, const bf_rollout_route_t *route)
{
	double observed_calls, duration_us;
	bf_time_us_t observed_us;

	observed_us = rollout->now_us - rollout->first_stats_us;
	if (rollout->first_stats_us == 0 || observed_us < RATE_MIN_US)
		return BF_SCHEDULE_AMPLE_CALLS;
	observed_calls = (double)(route->old_version.calls +
	    route->new_version.calls - route->initial_calls);
	duration_us =
	    (double)(rollout->move.complete_by_us - rollout->move.start_us);
	return observed_calls * duration_us / (double)observed_us;
}

static bool
is_idle(const bf_rollout_route_t *route)
{
	return route->old_version.calls + route->new_version.calls < IDLE_CALLS;
}

/*
 * Returns true when the other routes together have as many calls on the new
 * version as one route needs for a share of 1.
 */
static bool
is_service_proven(const bf_rollout_t *rollout, const bf_rollout_route_t *route)
{
	uint64_t calls = 0;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++) {
		if (&rollout->routes[i] != route)
			calls += rollout->routes[i].new_version.calls;
	}
	return bf_schedule_evidence_share((double)calls, 1, 0) >= 1;
}

/*
 * Returns true while at-most-once routes have to wait, as another route in use
 * is below ROUTE_ORDER_SHARE.
 */
static bool
waits_for_others(const bf_rollout_t *rollout)
{
	const bf_rollout_route_t *other;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++) {
		other = &rollout->routes[i];
		if (!other->at_most_once && !is_idle(other) &&
		    other->share < ROUTE_ORDER_SHARE)
			return true;
	}
	return false;
}

/* Returns the least share of the routes in use, 0 if there are none. */
static double
least_used_share(const bf_rollout_t *rollout)
{
	const bf_rollout_route_t *route;
	double least = 0;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++) {
		route = &rollout->routes[i];
		if (!is_idle(route) && (least == 0 || route->share < least))
			least = route->share;
	}
	return least;
}

static double
elapsed_fraction(const bf_rollout_t *rollout)
{
	return (double)(rollout->now_us - rollout->move.start_us) /
	    (double)(rollout->move.complete_by_us - rollout->move.start_us);
}

/*
 * Returns the share that time, evidence, route order and capacity allow, and
 * sets the reason to what limits it, NONE if that is time.
 */
static double
allowed_share(const bf_rollout_t *rollout, const bf_rollout_route_t *route,
    bf_rollout_reason_t *reason)
{
	double expected, first, scale, share, by_evidence, capacity;

	*reason = BF_ROLLOUT_REASON_NONE;
	if (rollout->done_elsewhere)
		return capacity_share(rollout);
	if (route->at_most_once && waits_for_others(rollout)) {
		*reason = BF_ROLLOUT_REASON_ROUTE_ORDER;
		return 0;
	}
	expected = expected_calls(rollout, route);
	first = bf_schedule_first_share(expected);
	scale =
	    bf_schedule_call_scale(expected, is_service_proven(rollout, route));
	share = bf_schedule_time_share(elapsed_fraction(rollout), first);
	by_evidence = bf_schedule_evidence_share(
	    (double)route->new_version.calls, scale, first);
	/* An idle route gives no evidence and follows the other routes. */
	if (!route->at_most_once && is_idle(route) &&
	    least_used_share(rollout) > 0)
		by_evidence = least_used_share(rollout);
	if (by_evidence < share) {
		share = by_evidence;
		*reason = expected < BF_SCHEDULE_AMPLE_CALLS * scale
		    ? BF_ROLLOUT_REASON_THIN_TRAFFIC
		    : BF_ROLLOUT_REASON_NO_EVIDENCE;
	}
	capacity = capacity_share(rollout);
	if (capacity < share) {
		share = capacity;
		*reason = BF_ROLLOUT_REASON_CAPACITY;
	}
	return share;
}

static bf_time_us_t
growth_interval_us(const bf_rollout_t *rollout)
{
	bf_time_us_t duration_us;

	duration_us = rollout->move.complete_by_us - rollout->move.start_us;
	if (duration_us / GROWTH_STEPS < GROWTH_US)
		return duration_us / GROWTH_STEPS;
	return GROWTH_US;
}

/*
 * Returns the share of a route with a suspicion: small, but large enough for
 * the old version's slots to carry the rest.
 */
static double
suspicion_share(const bf_rollout_t *rollout)
{
	const bf_rollout_target_counts_t *targets = &rollout->targets;
	double old_capacity;

	old_capacity = fmin((double)targets->old_slots / targets->new_slots, 1);
	return fmax(SUSPICION_SHARE, 1 - old_capacity);
}

static void
update_route(bf_rollout_t *rollout, bf_rollout_route_t *route)
{
	double allowed, limit;

	allowed = allowed_share(rollout, route, &route->reason);
	limit = 1;
	if (rollout->probing || bf_rollout_route_is_suspect(route))
		limit = suspicion_share(rollout);
	if (allowed > limit) {
		allowed = limit;
		route->reason = BF_ROLLOUT_REASON_SUSPICION;
	}
	bf_rollout_route_set_share(
	    route, allowed, growth_interval_us(rollout), rollout->now_us);
}

static void
set_all_shares(bf_rollout_t *rollout, double share)
{
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++)
		rollout->routes[i].share = share;
}

/*
 * Returns the route of least share that keeps the move incomplete, or NULL if
 * there is none.
 */
static const bf_rollout_route_t *
find_limiting_route(const bf_rollout_t *rollout)
{
	const bf_rollout_route_t *route, *least;
	uint32_t i;

	least = NULL;
	for (i = 0; i < rollout->route_count; i++) {
		route = &rollout->routes[i];
		if (route->share >= 1 ||
		    (route->at_most_once && is_idle(route)))
			continue;
		if (least == NULL || route->share < least->share)
			least = route;
	}
	return least;
}

static void
sum_figures(const bf_rollout_t *rollout, bf_rollout_figures_t *figures)
{
	const bf_rollout_route_t *route;
	uint32_t i;

	*figures = (bf_rollout_figures_t){ 0 };
	for (i = 0; i < rollout->route_count; i++) {
		route = &rollout->routes[i];
		figures->new_calls += route->new_version.calls;
		figures->new_failures += route->new_version.failures;
		figures->old_calls += route->old_version.calls;
		figures->old_failures += route->old_version.failures;
	}
}

static void
enter_complete_state(bf_rollout_t *rollout)
{
	rollout->complete = true;
	rollout->state = BF_ROLLOUT_DONE;
	rollout->reason = BF_ROLLOUT_REASON_COMPLETE;
	sum_figures(rollout, &rollout->figures);
	if (rollout->probing) {
		rollout->state = BF_ROLLOUT_PROBING;
		rollout->reason = BF_ROLLOUT_REASON_SUSPICION;
		return;
	}
	if (bf_zones_are_complete(
		rollout->zones, ZONE_SILENCE_US, rollout->now_us))
		record_verdict(rollout, BF_ROLLOUT_DONE,
		    BF_ROLLOUT_REASON_COMPLETE, &rollout->figures);
}

static void
enter_ramping_state(bf_rollout_t *rollout)
{
	const bf_rollout_route_t *route;
	bf_compare_result_t result;

	route = find_limiting_route(rollout);
	if (route == NULL || rollout->complete) {
		enter_complete_state(rollout);
		return;
	}
	rollout->reason = route->reason;
	rollout->state = route->reason == BF_ROLLOUT_REASON_NONE
	    ? BF_ROLLOUT_RAMPING
	    : BF_ROLLOUT_HOLDING;
	result = (bf_compare_result_t){
		.log_value = bf_rollout_route_result(route).log_value,
	};
	bf_rollout_route_fill_figures(route, &result, &rollout->figures);
	if (rollout->now_us <= rollout->move.complete_by_us)
		return;
	rollout->state = BF_ROLLOUT_LATE;
	rollout->late = true;
	record_verdict(
	    rollout, BF_ROLLOUT_LATE, rollout->reason, &rollout->figures);
}

static void
hold_at(bf_rollout_t *rollout, double share, bf_rollout_state_t state,
    bf_rollout_reason_t reason)
{
	set_all_shares(rollout, share);
	rollout->state = state;
	rollout->reason = reason;
}

static void
decide(bf_rollout_t *rollout)
{
	uint32_t i;

	if (rollout->now_us < rollout->move.start_us) {
		hold_at(rollout, 0, BF_ROLLOUT_WAITING,
		    BF_ROLLOUT_REASON_NOT_STARTED);
		return;
	}
	check_regression(rollout);
	if (!rollout->taken_back)
		update_probe(rollout);
	if (rollout->taken_back) {
		hold_at(rollout, 0, BF_ROLLOUT_TAKEN_BACK, rollout->reason);
		return;
	}
	if (!rollout->targets_known || rollout->targets.new_targets == 0) {
		hold_at(rollout, 0, BF_ROLLOUT_WAITING,
		    BF_ROLLOUT_REASON_NO_TARGETS);
		return;
	}
	if (rollout->targets.old_targets == 0)
		set_all_shares(rollout, 1);
	for (i = 0; i < rollout->route_count; i++) {
		if (rollout->targets.old_targets > 0)
			update_route(rollout, &rollout->routes[i]);
	}
	enter_ramping_state(rollout);
}

static uint64_t
shares_digest(const bf_rollout_t *rollout)
{
	uint64_t digest = 0;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++)
		digest = digest * 1000003 +
		    (uint64_t)lrint(rollout->routes[i].share * SHARE_WHOLE_PPM);
	return digest;
}

void
bf_rollout_step(
    bf_rollout_t *rollout, bf_time_us_t now_us, bf_rollout_out_t *out)
{
	bf_rollout_state_t state_before;
	bf_rollout_reason_t reason_before;
	uint64_t shares_before;

	*out = (bf_rollout_out_t){ 0 };
	if (now_us > rollout->now_us)
		rollout->now_us = now_us;
	state_before = rollout->state;
	reason_before = rollout->reason;
	shares_before = shares_digest(rollout);
	decide(rollout);
	out->shares_changed = shares_digest(rollout) != shares_before;
	out->state_changed =
	    rollout->state != state_before || rollout->reason != reason_before;
	if (rollout->verdict_pending &&
	    rollout->now_us >= rollout->verdict_due_us) {
		rollout->verdict_pending = false;
		out->verdict_reached = true;
		out->verdict = rollout->verdict;
	}
}

size_t
bf_rollout_shares(const bf_rollout_t *rollout, bf_share_t *shares, size_t max)
{
	uint32_t i;

	for (i = 0; i < rollout->route_count && i < max; i++)
		shares[i] = (bf_share_t){
			.service = rollout->service,
			.route = rollout->routes[i].name,
			.version = rollout->move.to_version,
			.share_ppm = (uint32_t)lrint(
			    rollout->routes[i].share * SHARE_WHOLE_PPM),
		};
	return rollout->route_count;
}

void
bf_rollout_status(const bf_rollout_t *rollout, bf_rollout_status_t *status)
{
	double least = 1;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++)
		least = fmin(least, rollout->routes[i].share);
	*status = (bf_rollout_status_t){
		.service = rollout->service,
		.move = &rollout->move,
		.state = rollout->state,
		.reason = rollout->reason,
		.figures = rollout->figures,
		.share_ppm = (uint32_t)lrint(least * SHARE_WHOLE_PPM),
		.complete = rollout->complete,
		.late = rollout->late,
	};
}
