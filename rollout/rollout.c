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

#define SHARE_ONE 1000000

/* A block is fair if the new share is at most so much above the slots'. */
#define FAIR_TOLERANCE 1.25

/* Greatest share of a route on which the new version is under suspicion. */
#define SUSPICION_SHARE 0.1

/* A share at most doubles in the lesser of 5 s and 1/50 of the time. */
#define GROWTH_US (5 * BF_US_PER_S)
#define GROWTH_STEPS 50

/* At-most-once routes start when the others allow this share. */
#define ORDER_SHARE 0.05

/* A route with fewer calls does not make a move late. */
#define IDLE_CALLS 10

/* Badness shows under load if a slot had no more than this of the old load. */
#define LOAD_TOLERANCE 1.1

#define RATE_LEAST_US (10 * BF_US_PER_S)
#define ZONE_SILENCE_US (60 * BF_US_PER_S)

/* When another instance than a collector publishes, if none did. */
#define PUBLISH_LATER_US (2 * BF_US_PER_S)
#define PUBLISH_SPREAD_US (30 * BF_US_PER_S)

/* Calls a second that a slot gets in a zone. */
typedef struct bf_load {
	double new_version_max; /* since the last probe */
	double old_version_max; /* before the first one */
} bf_load_t;

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
	bf_load_t loads[BF_ROLLOUT_ZONES_MAX];
	bf_share_history_t watch; /* of all routes together */
	bf_rollout_target_counts_t targets;
	bool targets_known;
	bool collects;
	bf_time_us_t now_us;
	bf_time_us_t base_us; /* of the first pool; 0: none yet */

	bf_rollout_state_t state;
	bf_rollout_reason_t reason;
	bf_rollout_figures_t figures;
	bool complete;
	bool late;
	bool taken_back;
	bool probing;
	bool suspected;         /* a probe has begun at some time */
	bool done_elsewhere;    /* a verdict says that all zones are complete */
	uint64_t reported_rank; /* of the greatest verdict known */
	bool pending;           /* a verdict waits to be published */
	bf_time_us_t pending_due_us;
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

/* The share at which a slot of each version gets as many calls. */
static double
fair_share(const bf_rollout_t *rollout)
{
	double slots;

	slots = (double)rollout->targets.old_slots + rollout->targets.new_slots;
	if (!rollout->targets_known || slots == 0)
		return 0.5;
	return rollout->targets.new_slots / slots;
}

/* The share that the new version's slots carry as the old one's would. */
static double
capacity_share(const bf_rollout_t *rollout)
{
	const bf_rollout_target_counts_t *targets = &rollout->targets;

	if (!rollout->targets_known || targets->old_slots == 0)
		return 1;
	return fmin((double)targets->new_slots / targets->old_slots, 1);
}

/*
 * Keeps the greatest load of a slot of each version in a zone.  That of the
 * old one after the first suspicion tells nothing of what it bears well.
 */
static void
note_load(bf_rollout_t *rollout, const bf_block_t *block,
    const bf_tally_t *old_version, const bf_tally_t *new_version)
{
	bf_load_t *load;
	double seconds;

	if (block->duration_us <= 0 || rollout->targets.new_slots == 0)
		return;
	seconds = (double)block->duration_us / BF_US_PER_S;
	load = &rollout->loads[block->zone];
	load->new_version_max = fmax(load->new_version_max,
	    (double)new_version->calls / seconds / rollout->targets.new_slots);
	if (rollout->targets.old_slots > 0 && !rollout->suspected)
		load->old_version_max = fmax(load->old_version_max,
		    (double)old_version->calls / seconds /
			rollout->targets.old_slots);
}

/* Whether the new version's slots got no more calls than the old one's. */
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
take_block(bf_rollout_t *rollout, const bf_block_t *block, bool own_zone,
    bf_time_us_t now_us)
{
	bf_tally_t old_sum = { 0 }, new_sum = { 0 };
	bf_rollout_route_block_t part;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++) {
		bf_tally_add(&old_sum, &block->old_versions[i]);
		bf_tally_add(&new_sum, &block->new_versions[i]);
	}
	note_load(rollout, block, &old_sum, &new_sum);
	if (bf_share_history_update(
		&rollout->watch, block->zone, &old_sum, &new_sum))
		return;
	part = (bf_rollout_route_block_t){
		.fair = is_fair(rollout, &old_sum, &new_sum),
		.zone = block->zone,
		.own_zone = own_zone,
		.span = now_us / BF_BLOCK_US,
	};
	for (i = 0; i < rollout->route_count; i++) {
		part.old_version = &block->old_versions[i];
		part.new_version = &block->new_versions[i];
		bf_rollout_route_add_block(&rollout->routes[i], &part);
	}
}

void
bf_rollout_add_stats(
    bf_rollout_t *rollout, const bf_move_stats_t *pool, bf_time_us_t now_us)
{
	const bf_increment_t *increment;
	bf_rollout_route_t *route;
	uint32_t i;

	if (strcmp(pool->move_id, rollout->move.id) != 0)
		return;
	increment = bf_zones_update(rollout->zones, pool, now_us);
	if (increment == NULL)
		return;
	for (i = 0; i < rollout->route_count; i++) {
		route = &rollout->routes[i];
		bf_tally_add(&route->old_version, &increment->old_versions[i]);
		bf_tally_add(&route->new_version, &increment->new_versions[i]);
		if (increment->first)
			route->calls_at_base +=
			    increment->old_versions[i].calls +
			    increment->new_versions[i].calls;
	}
	if (increment->block != NULL)
		take_block(rollout, increment->block,
		    strcmp(pool->zone, rollout->zone) == 0, now_us);
	if (rollout->base_us == 0)
		rollout->base_us = now_us;
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
	if (rank <= rollout->reported_rank && !rollout->pending)
		return;
	if (rollout->pending && rank >= bf_verdict_rank(&rollout->verdict))
		rollout->pending = false;
	if (rank > rollout->reported_rank)
		rollout->reported_rank = rank;
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
bf_rollout_set_collector(bf_rollout_t *rollout, bool collects)
{
	rollout->collects = collects;
}

/*
 * Adds a verdict reached here to those known and sets when to publish it:
 * a collector at once, another instance only if nobody else does so.
 */
static void
reach_verdict(bf_rollout_t *rollout, bf_rollout_state_t state,
    bf_rollout_reason_t reason, const bf_rollout_figures_t *figures)
{
	bf_verdict_t verdict;
	uint64_t spread_us;

	verdict = (bf_verdict_t){
		.state = state,
		.reason = reason,
		.figures = *figures,
		.at_us = rollout->now_us,
	};
	strcpy(verdict.move_id, rollout->move.id);
	strcpy(verdict.zone, rollout->zone);
	strcpy(verdict.instance, rollout->instance);
	if (bf_verdict_rank(&verdict) <= rollout->reported_rank)
		return;
	rollout->reported_rank = bf_verdict_rank(&verdict);
	rollout->verdict = verdict;
	rollout->pending = true;
	rollout->pending_due_us = rollout->now_us;
	if (rollout->collects)
		return;
	spread_us = bf_hash_text(rollout->instance, 0) % PUBLISH_SPREAD_US;
	rollout->pending_due_us += PUBLISH_LATER_US + (bf_time_us_t)spread_us;
}

static void
take_back(bf_rollout_t *rollout, const bf_rollout_route_t *route,
    const bf_compare_result_t *result, bf_rollout_reason_t reason)
{
	rollout->taken_back = true;
	rollout->reason = reason;
	bf_rollout_route_fill_figures(route, result, &rollout->figures);
	reach_verdict(
	    rollout, BF_ROLLOUT_TAKEN_BACK, reason, &rollout->figures);
}

/* Sums the routes' parts of the e-value and compares it with 1/alpha. */
static void
check_badness(bf_rollout_t *rollout)
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
	    worst.signal == 0 ? BF_REASON_FAILURES : BF_REASON_SLOW);
}

/* True when no zone loads the new version more than the old one ever was. */
static bool
load_is_usual(const bf_rollout_t *rollout)
{
	const bf_load_t *load;
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
 * Starts a probe of all routes: while one is compared the others would load
 * the new version.  Badness that only load brings out ends the move.
 */
static void
begin_probe(bf_rollout_t *rollout, const bf_rollout_route_t *suspect)
{
	bf_compare_result_t suspicion;
	uint32_t i;

	suspicion = bf_compare_result(&suspect->suspicion);
	if (bf_rollout_route_is_bad_under_load(suspect) &&
	    load_is_usual(rollout)) {
		take_back(rollout, suspect, &suspicion, BF_REASON_UNDER_LOAD);
		return;
	}
	for (i = 0; i < rollout->route_count; i++)
		bf_rollout_route_begin_probe(&rollout->routes[i],
		    &rollout->routes[i] == suspect, rollout->now_us);
	rollout->probing = true;
	rollout->suspected = true;
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

/* Calls of the route to expect in the whole time of the move. */
static double
window_calls(const bf_rollout_t *rollout, const bf_rollout_route_t *route)
{
	double seen, window_us;
	bf_time_us_t observed_us;

	observed_us = rollout->now_us - rollout->base_us;
	if (rollout->base_us == 0 || observed_us < RATE_LEAST_US)
		return BF_SCHEDULE_AMPLE_CALLS;
	seen = (double)(route->old_version.calls + route->new_version.calls -
	    route->calls_at_base);
	window_us =
	    (double)(rollout->move.complete_by_us - rollout->move.start_us);
	return seen * window_us / (double)observed_us;
}

static bool
is_idle(const bf_rollout_route_t *route)
{
	return route->old_version.calls + route->new_version.calls < IDLE_CALLS;
}

/* True when the other routes together have shown as much as one must. */
static bool
service_proven(const bf_rollout_t *rollout, const bf_rollout_route_t *route)
{
	uint64_t calls = 0;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++) {
		if (&rollout->routes[i] != route)
			calls += rollout->routes[i].new_version.calls;
	}
	return bf_schedule_evidence_share((double)calls, 1, 0) >= 1;
}

/* At-most-once routes wait until the others, where called, look good. */
static bool
waits_for_others(const bf_rollout_t *rollout)
{
	const bf_rollout_route_t *other;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++) {
		other = &rollout->routes[i];
		if (!other->at_most_once && !is_idle(other) &&
		    other->share < ORDER_SHARE)
			return true;
	}
	return false;
}

/* The least share of the routes that are called; 0 when none is. */
static double
called_share(const bf_rollout_t *rollout)
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
elapsed_part(const bf_rollout_t *rollout)
{
	return (double)(rollout->now_us - rollout->move.start_us) /
	    (double)(rollout->move.complete_by_us - rollout->move.start_us);
}

/* The share by time, evidence, order and capacity, and what binds it. */
static double
allowed_share(const bf_rollout_t *rollout, const bf_rollout_route_t *route,
    bf_rollout_reason_t *reason)
{
	double window, first, scale, share, by_evidence, capacity;

	*reason = BF_REASON_NONE;
	if (rollout->done_elsewhere)
		return capacity_share(rollout);
	if (route->at_most_once && waits_for_others(rollout)) {
		*reason = BF_REASON_ROUTE_ORDER;
		return 0;
	}
	window = window_calls(rollout, route);
	first = bf_schedule_first_share(window);
	scale = bf_schedule_call_scale(window, service_proven(rollout, route));
	share = bf_schedule_time_share(elapsed_part(rollout), first);
	by_evidence = bf_schedule_evidence_share(
	    (double)route->new_version.calls, scale, first);
	/* A route that is not called gives none: it follows the others. */
	if (!route->at_most_once && is_idle(route) && called_share(rollout) > 0)
		by_evidence = called_share(rollout);
	if (by_evidence < share) {
		share = by_evidence;
		*reason = window < BF_SCHEDULE_AMPLE_CALLS * scale
		    ? BF_REASON_THIN_TRAFFIC
		    : BF_REASON_NO_EVIDENCE;
	}
	capacity = capacity_share(rollout);
	if (capacity < share) {
		share = capacity;
		*reason = BF_REASON_CAPACITY;
	}
	return share;
}

static bf_time_us_t
growth_us(const bf_rollout_t *rollout)
{
	bf_time_us_t window_us;

	window_us = rollout->move.complete_by_us - rollout->move.start_us;
	if (window_us / GROWTH_STEPS < GROWTH_US)
		return window_us / GROWTH_STEPS;
	return GROWTH_US;
}

/* The share of a route under suspicion: as small as old slots can bear. */
static double
suspicion_share(const bf_rollout_t *rollout)
{
	const bf_rollout_target_counts_t *targets = &rollout->targets;
	double borne;

	borne = fmin((double)targets->old_slots / targets->new_slots, 1);
	return fmax(SUSPICION_SHARE, 1 - borne);
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
		route->reason = BF_REASON_SUSPICION;
	}
	bf_rollout_route_set_share(
	    route, allowed, growth_us(rollout), rollout->now_us);
}

static void
set_all_shares(bf_rollout_t *rollout, double share)
{
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++)
		rollout->routes[i].share = share;
}

/* The route that is furthest behind, or NULL when none is. */
static const bf_rollout_route_t *
behind(const bf_rollout_t *rollout)
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
settle_complete(bf_rollout_t *rollout)
{
	rollout->complete = true;
	rollout->state = BF_ROLLOUT_DONE;
	rollout->reason = BF_REASON_COMPLETE;
	sum_figures(rollout, &rollout->figures);
	if (rollout->probing) {
		rollout->state = BF_ROLLOUT_PROBING;
		rollout->reason = BF_REASON_SUSPICION;
		return;
	}
	if (bf_zones_are_complete(
		rollout->zones, ZONE_SILENCE_US, rollout->now_us))
		reach_verdict(rollout, BF_ROLLOUT_DONE, BF_REASON_COMPLETE,
		    &rollout->figures);
}

static void
settle_state(bf_rollout_t *rollout)
{
	const bf_rollout_route_t *route;
	bf_compare_result_t result;

	route = behind(rollout);
	if (route == NULL || rollout->complete) {
		settle_complete(rollout);
		return;
	}
	rollout->reason = route->reason;
	rollout->state = route->reason == BF_REASON_NONE ? BF_ROLLOUT_RAMPING
							 : BF_ROLLOUT_HOLDING;
	result = (bf_compare_result_t){
		.log_value = bf_rollout_route_result(route).log_value,
	};
	bf_rollout_route_fill_figures(route, &result, &rollout->figures);
	if (rollout->now_us <= rollout->move.complete_by_us)
		return;
	rollout->state = BF_ROLLOUT_LATE;
	rollout->late = true;
	reach_verdict(
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
		hold_at(rollout, 0, BF_ROLLOUT_WAITING, BF_REASON_NOT_STARTED);
		return;
	}
	check_badness(rollout);
	if (!rollout->taken_back)
		update_probe(rollout);
	if (rollout->taken_back) {
		hold_at(rollout, 0, BF_ROLLOUT_TAKEN_BACK, rollout->reason);
		return;
	}
	if (!rollout->targets_known || rollout->targets.new_targets == 0) {
		hold_at(rollout, 0, BF_ROLLOUT_WAITING, BF_REASON_NO_TARGETS);
		return;
	}
	if (rollout->targets.old_targets == 0)
		set_all_shares(rollout, 1);
	for (i = 0; i < rollout->route_count; i++) {
		if (rollout->targets.old_targets > 0)
			update_route(rollout, &rollout->routes[i]);
	}
	settle_state(rollout);
}

static uint64_t
shares_digest(const bf_rollout_t *rollout)
{
	uint64_t digest = 0;
	uint32_t i;

	for (i = 0; i < rollout->route_count; i++)
		digest = digest * 1000003 +
		    (uint64_t)lrint(rollout->routes[i].share * SHARE_ONE);
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
	if (rollout->pending && rollout->now_us >= rollout->pending_due_us) {
		rollout->pending = false;
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
			    rollout->routes[i].share * SHARE_ONE),
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
		.share_ppm = (uint32_t)lrint(least * SHARE_ONE),
		.complete = rollout->complete,
		.late = rollout->late,
	};
}
