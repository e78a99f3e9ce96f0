#include <math.h>
#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "rollout/rollout.h"
#include "rollout/rollout_route.h"
#include "rollout/zones.h"

#define SECOND BF_US_PER_S
#define MOVE_US (600 * SECOND)

static const bf_route_t routes[] = {
	{ .name = "status", .call_class = BF_CALL_REPEATABLE },
	{ .name = "issue", .call_class = BF_CALL_AT_MOST_ONCE },
};
static const bf_move_t move = { .id = "m",
	.from_version = "1",
	.to_version = "2",
	.start_us = 0,
	.complete_by_us = MOVE_US };
static const bf_service_t service = { .name = "permits",
	.routes = routes,
	.route_count = 2,
	.move = &move };

/*
 * One rollout fed with synthetic statistics.  The failures are an exact
 * fraction of the calls, so that no random numbers are needed.
 */
typedef struct bf_test_run {
	bf_rollout_t *rollout;
	bf_move_stats_t stats;
	double calls_per_s;
	double new_failure_rate;
	bool issue_is_idle; /* the second route is never called */
	bf_time_us_t now_us;
	bf_rollout_status_t status;
	uint32_t share_max_ppm;
	int verdicts;
} bf_test_run_t;

static void
start_run(bf_test_run_t *run, double calls_per_s, double new_failure_rate)
{
	const bf_rollout_target_counts_t targets = { 4, 24, 4, 24 };

	*run = (bf_test_run_t){
		.rollout = bf_rollout_new(&service, "lika-a", "n1"),
		.stats = { .move_id = "m",
		    .zone = "lika-a",
		    .instance = "c1",
		    .route_count = 2,
		    .routes = { { .route = "status" }, { .route = "issue" } } },
		.calls_per_s = calls_per_s,
		.new_failure_rate = new_failure_rate,
	};
	bf_rollout_set_targets(run->rollout, &targets, 0);
	bf_rollout_set_collector(run->rollout, true);
}

static void
run_second(bf_test_run_t *run)
{
	bf_share_t shares[2];
	bf_rollout_out_t out;
	int i;

	run->now_us += SECOND;
	g_assert_cmpuint(bf_rollout_shares(run->rollout, shares, 2), ==, 2);
	for (i = 0; i < 2; i++) {
		if (i == 1 && run->issue_is_idle)
			continue;
		run->stats.routes[i].new_version.calls +=
		    (uint64_t)(run->calls_per_s * shares[i].share_ppm / 1e6 +
			0.5);
		run->stats.routes[i].old_version.calls +=
		    (uint64_t)(run->calls_per_s * (1e6 - shares[i].share_ppm) /
			1e6);
		run->stats.routes[i].new_version.failures =
		    (uint64_t)((double)run->stats.routes[i].new_version.calls *
			run->new_failure_rate);
		run->share_max_ppm =
		    MAX(run->share_max_ppm, shares[i].share_ppm);
	}
	run->stats.complete = run->status.complete;
	run->stats.at_us = run->now_us;
	bf_rollout_add_stats(run->rollout, &run->stats, run->now_us);
	bf_rollout_step(run->rollout, run->now_us, &out);
	run->verdicts += out.verdict_reached;
	bf_rollout_status(run->rollout, &run->status);
}

static void
run_until(bf_test_run_t *run, bf_time_us_t until_us)
{
	while (run->now_us < until_us)
		run_second(run);
}

static void
test_good_version_is_done_in_time(void)
{
	bf_test_run_t run;

	start_run(&run, 200, 0);
	run_until(&run, MOVE_US / 4);
	g_assert_cmpuint(run.share_max_ppm, <=, 100000);
	run_until(&run, MOVE_US);
	g_assert_cmpint(run.status.state, ==, BF_ROLLOUT_DONE);
	g_assert_cmpuint(run.status.share_ppm, ==, 1000000);
	g_assert_false(run.status.late);
	g_assert_cmpint(run.verdicts, ==, 1);
	bf_rollout_free(run.rollout);
}

/* A route that is never called must not make a good version's move late. */
static void
test_a_route_that_is_not_called_follows(void)
{
	static const bf_route_t plain[] = {
		{ .name = "status", .call_class = BF_CALL_REPEATABLE },
		{ .name = "issue" },
	};
	bf_service_t with_idle = service;
	bf_share_t shares[2];
	bf_test_run_t run;

	start_run(&run, 200, 0);
	bf_rollout_free(run.rollout);
	with_idle.routes = plain;
	run.rollout = bf_rollout_new(&with_idle, "lika-a", "n1");
	bf_rollout_set_targets(
	    run.rollout, &(bf_rollout_target_counts_t){ 4, 24, 4, 24 }, 0);
	bf_rollout_set_collector(run.rollout, true);
	run.issue_is_idle = true;
	run_until(&run, MOVE_US / 4);
	bf_rollout_shares(run.rollout, shares, 2);
	g_assert_cmpuint(shares[1].share_ppm, <=, shares[0].share_ppm);
	run_until(&run, MOVE_US);
	g_assert_cmpint(run.status.state, ==, BF_ROLLOUT_DONE);
	g_assert_false(run.status.late);
	bf_rollout_free(run.rollout);
}

static void
test_bad_version_is_taken_back_permanently(void)
{
	bf_test_run_t run;
	bf_verdict_t done;

	start_run(&run, 200, 0.2);
	run_until(&run, MOVE_US / 4);
	g_assert_cmpint(run.status.state, ==, BF_ROLLOUT_TAKEN_BACK);
	g_assert_cmpint(run.status.reason, ==, BF_ROLLOUT_REASON_FAILURES);
	g_assert_cmpstr(run.status.figures.route, ==, "status");
	g_assert_cmpuint(run.share_max_ppm, <=, 20000);
	done = (bf_verdict_t){ .move_id = "m", .state = BF_ROLLOUT_DONE };
	bf_rollout_add_verdict(run.rollout, &done, run.now_us);
	run.new_failure_rate = 0;
	run_until(&run, 2 * MOVE_US);
	g_assert_cmpint(run.status.state, ==, BF_ROLLOUT_TAKEN_BACK);
	g_assert_cmpuint(run.status.share_ppm, ==, 0);
	g_assert_cmpint(run.verdicts, ==, 1);
	bf_rollout_free(run.rollout);
}

static void
test_thin_traffic_is_late(void)
{
	bf_test_run_t run;

	start_run(&run, 0, 0);
	run.stats.routes[0].old_version.calls = 20;
	run_until(&run, MOVE_US + SECOND);
	g_assert_cmpint(run.status.state, ==, BF_ROLLOUT_LATE);
	g_assert_cmpint(run.status.reason, ==, BF_ROLLOUT_REASON_THIN_TRAFFIC);
	g_assert_true(run.status.late);
	g_assert_cmpint(run.verdicts, ==, 1);
	bf_rollout_free(run.rollout);
}

/* Adds a block of 900 old and 100 new calls, of which a fraction fails. */
static void
add_block(bf_rollout_route_t *route, int64_t interval, double new_failure_rate)
{
	const bf_tally_t old_version = { .calls = 900, .failures = 2 };
	const bf_tally_t new_version = {
		.calls = 100,
		.failures = (uint64_t)(100 * new_failure_rate),
	};
	const bf_rollout_route_block_t block = {
		.old_version = &old_version,
		.new_version = &new_version,
		.fair = true,
		.own_zone = true,
		.interval = interval,
	};

	bf_rollout_route_add_block(route, &block);
}

/*
 * A target that crashes fails all its calls for a moment; this alone must not
 * reject the version.
 */
static void
test_one_burst_rejects_nothing(void)
{
	const double log_proof = -log(BF_ROLLOUT_ALPHA);
	bf_rollout_route_t route;
	int64_t interval;

	bf_rollout_route_init(&route, "status", false);
	for (interval = 0; interval < 100; interval++)
		add_block(&route, interval, 0);
	for (interval = 100; interval < 102; interval++) {
		add_block(&route, interval, 1);
		add_block(&route, interval, 1);
	}
	g_assert_cmpfloat(
	    bf_rollout_route_result(&route).log_value, <, log_proof);
	for (interval = 102; interval < 108; interval++)
		add_block(&route, interval, 1);
	g_assert_cmpfloat(
	    bf_rollout_route_result(&route).log_value, >=, log_proof);
}

/* A block in which the share changed mixes calls of different times. */
static void
test_changed_share_is_not_compared(void)
{
	const bf_tally_t few = { .calls = 100 }, many = { .calls = 900 };
	bf_share_history_t history = { 0 };

	g_assert_true(bf_share_history_update(&history, 0, &few, &many));
	g_assert_false(bf_share_history_update(&history, 0, &few, &many));
	g_assert_true(bf_share_history_update(&history, 0, &many, &few));
	g_assert_false(bf_share_history_update(&history, 0, &many, &few));
	g_assert_true(bf_share_history_update(&history, 0, &few, &few));
	g_assert_false(bf_share_history_update(&history, 1, &many, &few));
}

static uint64_t
update_zones(bf_zones_t *zones, const char *collector, bf_time_us_t at_us,
    uint64_t calls, bf_time_us_t now_us)
{
	const bf_zone_increment_t *increment;
	bf_move_stats_t stats = { .move_id = "m",
		.zone = "lika-a",
		.at_us = at_us,
		.route_count = 1,
		.routes = { { .route = "status",
		    .old_version = { .calls = calls } } } };

	strcpy(stats.instance, collector);
	increment = bf_zones_update(zones, &stats, now_us);
	return increment == NULL ? 0 : increment->old_versions[0].calls;
}

static void
test_no_call_counts_twice(void)
{
	static const char *const names[] = { "status" };
	bf_zones_t *zones;

	zones = bf_zones_new(names, 1);
	g_assert_cmpuint(update_zones(zones, "c1", 10, 100, 10), ==, 100);
	g_assert_cmpuint(update_zones(zones, "c1", 20, 130, 20), ==, 30);
	/* Repeated, older, and of a collector that is not followed. */
	g_assert_cmpuint(update_zones(zones, "c1", 20, 130, 21), ==, 0);
	g_assert_cmpuint(update_zones(zones, "c1", 10, 100, 22), ==, 0);
	g_assert_cmpuint(update_zones(zones, "c2", 23, 140, 23), ==, 0);
	g_assert_cmpuint(update_zones(zones, "c1", 30, 150, 30), ==, 20);
	/* c1 is silent: c2 is followed, starting from its current counts. */
	g_assert_cmpuint(
	    update_zones(zones, "c2", 20 * SECOND, 160, 20 * SECOND), ==, 0);
	g_assert_cmpuint(
	    update_zones(zones, "c2", 21 * SECOND, 175, 21 * SECOND), ==, 15);
	g_assert_cmpuint(
	    update_zones(zones, "c1", 40, 170, 21 * SECOND), ==, 0);
	/* All counters of the zone restarted from zero. */
	g_assert_cmpuint(
	    update_zones(zones, "c2", 22 * SECOND, 5, 22 * SECOND), ==, 0);
	g_assert_cmpuint(
	    update_zones(zones, "c2", 23 * SECOND, 9, 23 * SECOND), ==, 4);
	bf_zones_free(zones);
}

int
main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rollout/good", test_good_version_is_done_in_time);
	g_test_add_func(
	    "/rollout/not-called", test_a_route_that_is_not_called_follows);
	g_test_add_func(
	    "/rollout/bad", test_bad_version_is_taken_back_permanently);
	g_test_add_func("/rollout/thin", test_thin_traffic_is_late);
	g_test_add_func("/rollout/burst", test_one_burst_rejects_nothing);
	g_test_add_func("/rollout/share", test_changed_share_is_not_compared);
	g_test_add_func("/rollout/once", test_no_call_counts_twice);
	return g_test_run();
}
