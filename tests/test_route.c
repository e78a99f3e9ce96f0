#include <glib.h>
#include <stdio.h>
#include <string.h>

#include <apr_general.h>

#include "route/table.h"

#define RECORDS 8
#define DRAWS 20000
/* Three calls in four go to v1; the bound is four standard deviations less. */
#define V1_PICKS_MIN (DRAWS * 3 / 4 - 245)

static const bf_route_t routes[] = {
	{ .name = "any", .path = "/*", .deadline_ms = 1000 },
	{ .name = "list", .path = "/permits", .deadline_ms = 1000 },
	{ .name = "lookup", .path = "/permits/*", .method = "GET" },
	{ .name = "issue",
	    .path = "/permits/*",
	    .method = "POST",
	    .call_class = BF_CALL_AT_MOST_ONCE },
};

static const bf_split_t splits[] = {
	{ .version = "v1", .weight = 3 },
	{ .version = "v2", .weight = 1 },
};

static const bf_move_t move = {
	.id = "m1",
	.from_version = "v1",
	.to_version = "v2",
};

typedef struct fixture {
	bf_endpoint_set_t *endpoints;
	bf_record_t records[RECORDS];
	bf_service_t service;
	bf_snapshot_t snapshot;
	bf_table_input_t input;
	bf_table_t *table;
	gsl_rng *rng;
} fixture_t;

/* Two zones with two targets of each version: v1, v1, v2, v2 in each. */
static void
setup(fixture_t *f, gconstpointer data)
{
	size_t i;

	(void)data;
	memset(f, 0, sizeof(*f));
	f->endpoints = bf_endpoint_set_new();
	f->rng = gsl_rng_alloc(gsl_rng_taus2);
	for (i = 0; i < RECORDS; i++) {
		snprintf(f->records[i].instance, BF_NAME_BYTES, "i%zu", i);
		snprintf(f->records[i].zone, BF_NAME_BYTES, "zone-%c",
		    i < RECORDS / 2 ? 'a' : 'b');
		strcpy(f->records[i].region, "r");
		strcpy(f->records[i].service, "permits");
		strcpy(f->records[i].version, i % 4 < 2 ? "v1" : "v2");
		f->records[i].target_state = BF_TARGET_READY;
		f->records[i].slots = 4;
	}
	f->service = (bf_service_t){
		.name = "permits",
		.routes = routes,
		.route_count = G_N_ELEMENTS(routes),
		.splits = splits,
		.split_count = G_N_ELEMENTS(splits),
	};
	f->snapshot = (bf_snapshot_t){
		.version = 7,
		.services = &f->service,
		.service_count = 1,
	};
	f->input = (bf_table_input_t){
		.snapshot = &f->snapshot,
		.records = f->records,
		.record_count = RECORDS,
		.endpoints = f->endpoints,
		.own_zone = "zone-a",
		.own_region = "r",
		.own_instance = "i0",
	};
}

static void
teardown(fixture_t *f, gconstpointer data)
{
	(void)data;
	bf_table_release(f->table);
	bf_endpoint_set_free(f->endpoints);
	gsl_rng_free(f->rng);
}

static void
compile(fixture_t *f)
{
	bf_error_t err;

	bf_table_release(f->table);
	g_assert_cmpint(
	    bf_table_compile(&f->input, &f->table, &err), ==, BF_OK);
}

static const bf_table_route_t *
match(fixture_t *f, const char *method, const char *path)
{
	return bf_table_match(f->table, "permits", method, path);
}

/* Of DRAWS picks at now_us, counts those of that version and zone. */
static int
count_picks(
    fixture_t *f, const char *version, const char *zone, bf_time_us_t now_us)
{
	const bf_table_route_t *route;
	bf_endpoint_t *endpoint;
	int count, i;

	route = match(f, "GET", "/permits/1");
	count = 0;
	for (i = 0; i < DRAWS; i++) {
		endpoint =
		    bf_table_pick(f->table, route, NULL, 0, f->rng, now_us);
		if (endpoint == NULL)
			continue;
		if ((version == NULL ||
			strcmp(bf_endpoint_version(endpoint), version) == 0) &&
		    (zone == NULL ||
			strcmp(bf_endpoint_zone(endpoint), zone) == 0))
			count++;
		bf_endpoint_release(endpoint);
	}
	return count;
}

static void
test_most_specific_route_matches(fixture_t *f, gconstpointer data)
{
	static const struct {
		const char *method, *path, *route;
	} cases[] = {
		{ "GET", "/permits", "list" },
		{ "GET", "/permits/1", "lookup" },
		{ "POST", "/permits/1", "issue" },
		{ "PUT", "/permits/1", "any" },
		{ "GET", "/", "any" },
	};
	size_t i;

	(void)data;
	compile(f);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpstr(match(f, cases[i].method, cases[i].path)->route,
		    ==, cases[i].route);
	g_assert_null(bf_table_match(f->table, "other", "GET", "/"));
}

static void
test_splits_are_met_in_own_zone(fixture_t *f, gconstpointer data)
{
	int v2;

	(void)data;
	compile(f);
	v2 = count_picks(f, "v2", NULL, 0);
	g_assert_cmpint(v2, >, DRAWS / 4 - DRAWS / 50);
	g_assert_cmpint(v2, <, DRAWS / 4 + DRAWS / 50);
	g_assert_cmpint(count_picks(f, NULL, "zone-a", 0), ==, DRAWS);
}

static void
test_zero_share_gets_no_calls(fixture_t *f, gconstpointer data)
{
	bf_share_t share = { .service = "permits", .version = "v2" };
	size_t i;

	(void)data;
	f->service.move = &move;
	f->input.shares = &share;
	f->input.share_count = 1;
	compile(f);
	g_assert_cmpint(count_picks(f, "v2", NULL, 0), ==, 0);

	/* Not even when the old version has no target left. */
	for (i = 0; i < RECORDS; i++) {
		if (strcmp(f->records[i].version, "v1") == 0)
			f->records[i].target_state = BF_TARGET_DRAINING;
	}
	compile(f);
	g_assert_cmpint(count_picks(f, NULL, NULL, 0), ==, 0);
}

static void
test_trial_does_not_take_over_old_versions_calls(
    fixture_t *f, gconstpointer data)
{
	bf_share_t share = {
		.service = "permits", .version = "v2", .share_ppm = 10000
	};
	const bf_table_route_t *route;
	bf_endpoint_t *endpoint;
	int i;

	(void)data;
	f->service.move = &move;
	f->input.shares = &share;
	f->input.share_count = 1;
	compile(f);
	/* Every target of the old version refuses, and is then skipped. */
	route = match(f, "GET", "/permits/1");
	for (i = 0; i < 2000; i++) {
		endpoint = bf_table_pick(f->table, route, NULL, 0, f->rng, 0);
		if (endpoint == NULL)
			continue;
		if (strcmp(bf_endpoint_version(endpoint), "v1") == 0) {
			bf_endpoint_begin(endpoint, 0);
			bf_endpoint_end(
			    endpoint, BF_ENDPOINT_RESULT_NOT_RUN, 0, 0);
		}
		bf_endpoint_release(endpoint);
	}
	g_assert_cmpint(count_picks(f, "v2", NULL, 1), <, DRAWS / 50);
}

/* Of DRAWS picks, counts those of that instance. */
static int
count_instance_picks(fixture_t *f, const char *instance)
{
	const bf_table_route_t *route;
	bf_endpoint_t *endpoint;
	int count, i;

	route = match(f, "GET", "/permits/1");
	count = 0;
	for (i = 0; i < DRAWS; i++) {
		endpoint = bf_table_pick(f->table, route, NULL, 0, f->rng, 1);
		count += strcmp(bf_endpoint_instance(endpoint), instance) == 0;
		bf_endpoint_release(endpoint);
	}
	return count;
}

static void
test_outlier_ejection_keeps_half_the_targets(fixture_t *f, gconstpointer data)
{
	bf_endpoint_t *endpoint;
	int i;

	(void)data;
	compile(f);
	endpoint = bf_endpoint_set_get(f->endpoints, &f->records[0], 0);
	for (i = 0; i < 5; i++) {
		bf_endpoint_begin(endpoint, 0);
		bf_endpoint_end(endpoint, BF_ENDPOINT_RESULT_FAILED, 1000, 0);
	}
	g_assert_true(bf_endpoint_ejected(endpoint, 1));
	g_assert_cmpint(count_picks(f, "v1", "zone-a", 1), >, V1_PICKS_MIN);
	g_assert_cmpint(count_instance_picks(f, "i0"), ==, 0);

	/* Ejecting both would leave less than half: ejection is ignored. */
	endpoint = bf_endpoint_set_get(f->endpoints, &f->records[1], 0);
	for (i = 0; i < 5; i++) {
		bf_endpoint_begin(endpoint, 0);
		bf_endpoint_end(endpoint, BF_ENDPOINT_RESULT_FAILED, 1000, 0);
	}
	g_assert_cmpint(count_picks(f, "v1", "zone-a", 1), >, V1_PICKS_MIN);
	g_assert_cmpint(count_instance_picks(f, "i0"), >, 0);
	g_assert_cmpint(count_instance_picks(f, "i1"), >, 0);
}

static void
test_draining_target_gets_no_calls(fixture_t *f, gconstpointer data)
{
	size_t i;

	(void)data;
	for (i = 0; i < RECORDS / 2; i++)
		f->records[i].target_state = BF_TARGET_DRAINING;
	compile(f);
	g_assert_cmpint(count_picks(f, NULL, "zone-a", 0), ==, 0);
	g_assert_cmpint(count_picks(f, NULL, "zone-b", 0), ==, DRAWS);
	for (i = 0; i < RECORDS; i++)
		f->records[i].state = BF_MEMBER_DEAD;
	compile(f);
	g_assert_cmpint(count_picks(f, NULL, NULL, 0), ==, 0);
}

static void
test_endpoint_outlives_table(fixture_t *f, gconstpointer data)
{
	bf_endpoint_t *endpoint;

	(void)data;
	compile(f);
	endpoint = bf_endpoint_set_get(f->endpoints, &f->records[0], 0);
	bf_endpoint_begin(endpoint, 0);
	compile(f);
	g_assert_true(
	    endpoint == bf_endpoint_set_get(f->endpoints, &f->records[0], 0));
	g_assert_cmpuint(bf_endpoint_in_flight(endpoint), ==, 1);

	/* A target restarted at the same address gets a new endpoint. */
	f->records[0].target_incarnation++;
	compile(f);
	g_assert_cmpuint(bf_endpoint_in_flight(bf_endpoint_set_get(
			     f->endpoints, &f->records[0], 0)),
	    ==, 0);
}

static void
test_route_without_versions_is_rejected(fixture_t *f, gconstpointer data)
{
	bf_table_t *table;
	bf_error_t err;

	(void)data;
	f->service.split_count = 0;
	g_assert_cmpint(
	    bf_table_compile(&f->input, &table, &err), ==, BF_ERR_REFERENCE);
	g_assert_null(table);
}

#define ADD(path, function) \
	g_test_add(path, fixture_t, NULL, setup, function, teardown)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	ADD("/route/match", test_most_specific_route_matches);
	ADD("/route/splits", test_splits_are_met_in_own_zone);
	ADD("/route/share-zero", test_zero_share_gets_no_calls);
	ADD("/route/trial-no-spare",
	    test_trial_does_not_take_over_old_versions_calls);
	ADD("/route/ejection", test_outlier_ejection_keeps_half_the_targets);
	ADD("/route/leaving", test_draining_target_gets_no_calls);
	ADD("/route/endpoint-life", test_endpoint_outlives_table);
	ADD("/route/dangling", test_route_without_versions_is_rejected);
	return g_test_run();
}
