#include <stdio.h>
#include <string.h>

#include "mesh/internal.h"

/*
 * Chooses the zone of a call by the plan of its service, then the target inside
 * that zone.  The plans are made anew here, from the candidates of a call, when
 * they are due.
 */

/* As in entry.c: a call that would end later leaves if there is room. */
#define OWN_ZONE_OBJECTIVE_SHARE 0.85
#define PPM 1000000.0
/* A change of the share by this is logged. */
#define SHARE_CHANGE 0.05
#define CANDIDATES_MAX 512
/* Mean size of answers from which a route counts as large, as of bodies. */
#define LARGE_ANSWER_BYTES 8192
#define ANSWER_WEIGHT 0.05

static size_t
zone_index(bf_zone_plans_t *plans, const char *zone)
{
	size_t i;

	for (i = 0; i < plans->zone_count; i++) {
		if (strcmp(plans->zones[i], zone) == 0)
			return i;
	}
	if (i < BF_ZONES_MAX) {
		(void)snprintf(plans->zones[i], BF_NAME_BYTES, "%s", zone);
		plans->zone_count++;
	}
	return i;
}

static bf_service_zone_plan_t *
find_plan(bf_zone_plans_t *plans, const char *service)
{
	bf_service_zone_plan_t *entry;
	uint32_t i;

	for (i = 0; i < plans->count; i++) {
		if (strcmp(plans->plans[i].service, service) == 0)
			return &plans->plans[i];
	}
	if (plans->count == BF_SERVICES_MAX)
		return NULL;
	entry = &plans->plans[plans->count++];
	(void)snprintf(entry->service, sizeof(entry->service), "%s", service);
	return entry;
}

static void
update_plan(bf_mesh_t *mesh, bf_service_zone_plan_t *entry,
    const bf_candidate_t *candidates, bf_peer_t *const *peers, size_t count,
    size_t own, bf_time_us_t now_us)
{
	bf_zone_load_t zones[BF_ZONES_MAX] = { 0 };
	double change;
	size_t i, zone;

	for (i = 0; i < count; i++) {
		zone = zone_index(&mesh->zone_plans, peers[i]->zone);
		if (zone == BF_ZONES_MAX || candidates[i].is_silent)
			continue;
		zones[zone].slots += candidates[i].slots;
		zones[zone].busy += candidates[i].running +
		    candidates[i].waiting + candidates[i].sent_since_report;
		zones[zone].work_us +=
		    (double)candidates[i].slots * candidates[i].mean_run_us;
	}
	bf_zone_plan_update(&entry->plan, zones, BF_ZONES_MAX, own,
	    mesh->options.zone_cost_ppm / PPM, now_us);
	bf_metric_set(mesh->metrics.zone_share, entry->service,
	    (uint64_t)(entry->plan.share * PPM));
	change = entry->plan.share - entry->logged_share;
	if (change < SHARE_CHANGE && change > -SHARE_CHANGE)
		return;
	entry->logged_share = entry->plan.share;
	bf_event(mesh->events, BF_EVENT_ZONES, now_us, "s:s,s:f,s:f,s:f,s:f",
	    "service", entry->service, "share", entry->plan.share, "own_slots",
	    zones[own].slots, "own_busy", zones[own].busy, "free_elsewhere",
	    entry->plan.free_total);
}

static bf_route_answers_t *
find_answers(bf_zone_plans_t *plans, const char *route)
{
	uint32_t hash = (uint32_t)bf_hash_text(route, 0), i;

	for (i = 0; i < plans->answer_count; i++) {
		if (plans->answers[i].route == hash)
			return &plans->answers[i];
	}
	if (plans->answer_count == BF_ROUTE_THROTTLES_MAX)
		return NULL;
	plans->answers[plans->answer_count] =
	    (bf_route_answers_t){ .route = hash };
	return &plans->answers[plans->answer_count++];
}

void
bf_zones_count_answer(bf_mesh_t *mesh, const char *route, size_t bytes)
{
	bf_route_answers_t *answers = find_answers(&mesh->zone_plans, route);

	if (answers != NULL)
		answers->mean_bytes +=
		    ANSWER_WEIGHT * ((double)bytes - answers->mean_bytes);
}

static bool
stays(bf_mesh_t *mesh, const bf_zone_call_t *call)
{
	const bf_route_answers_t *answers =
	    find_answers(&mesh->zone_plans, call->route);

	return call->is_large ||
	    (answers != NULL && answers->mean_bytes > LARGE_ANSWER_BYTES);
}

size_t
bf_zones_choose(bf_mesh_t *mesh, const bf_zone_call_t *call,
    const bf_candidate_t *candidates, bf_peer_t *const *peers, size_t count,
    bf_time_us_t now_us)
{
	static bf_candidate_t in_zone[CANDIDATES_MAX];
	static size_t at[CANDIDATES_MAX];
	bf_zone_plans_t *plans = &mesh->zone_plans;
	bf_service_zone_plan_t *entry = find_plan(plans, call->service);
	bf_zone_preference_t none = { 0 };
	size_t own = zone_index(plans, mesh->options.zone);
	size_t zone, kept, i, chosen;
	bool refused = call->refused, is_large = stays(mesh, call);

	if (entry == NULL || own == BF_ZONES_MAX)
		return bf_candidate_choose(
		    candidates, count, &none, &mesh->random);
	bf_zone_plan_count(&entry->plan, call->objective_us);
	if (!refused && bf_zone_plan_due(&entry->plan, now_us))
		update_plan(mesh, entry, candidates, peers, count, own, now_us);
	for (;;) {
		zone = bf_zone_plan_choose(&entry->plan, own, is_large, refused,
		    (double)(bf_random_next(&mesh->random) >> 11) * 0x1p-53);
		for (i = kept = 0; i < count; i++) {
			if (strcmp(peers[i]->zone, plans->zones[zone]) != 0)
				continue;
			in_zone[kept] = candidates[i];
			at[kept++] = i;
		}
		if (kept == 0)
			return bf_candidate_choose(
			    candidates, count, &none, &mesh->random);
		chosen =
		    bf_candidate_choose(in_zone, kept, &none, &mesh->random);
		if (refused || zone != own || is_large ||
		    (double)bf_candidate_expected_us(&in_zone[chosen]) <=
			OWN_ZONE_OBJECTIVE_SHARE * (double)call->remaining_us)
			return at[chosen];
		refused = true;
	}
}
