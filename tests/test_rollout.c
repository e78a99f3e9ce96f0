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

/* Exact shares of failures, so that no generator is needed. */
typedef struct bf_test_run {
	bf_rollout_t *rollout;
	bf_move_stats_t pool;
	double calls_per_s;
	double new_failure_part;
	bool issue_is_idle; /* the second route is never called */
	bf_time_us_t now_us;
	bf_rollout_status_t status;
	uint32_t share_max_ppm;
	int verdicts;
} bf_test_run_t;

static void
start_run(bf_test_run_t *run, double calls_per_s, double new_failure_part)
{
	const bf_rollout_target_counts_t targets = { 4, 24, 4, 24 };

	*run = (bf_test_run_t){
		.rollout = bf_rollout_new(&service, "lika-a", "n1"),
		.pool = { .move_id = "m",
		    .zone = "lika-a",
		    .instance = "c1",
		    .route_count = 2,
		    .routes = { { .route = "status" }, { .route = "issue" } } },
		.calls_per_s = calls_per_s,
		.new_failure_part = new_failure_part,
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
		run->pool.routes[i].new_version.calls +=
		    (uint64_t)(run->calls_per_s * shares[i].share_ppm / 1e6 +
			0.5);
		run->pool.routes[i].old_version.calls +=
		    (uint64_t)(run->calls_per_s * (1e6 - shares[i].share_ppm) /
			1e6);
		run->pool.routes[i].new_version.failures =
		    (uint64_t)((double)run->pool.routes[i].new_version.calls *
			run->new_failure_part);
		run->share_max_ppm =
		    MAX(run->share_max_ppm, shares[i].share_ppm);
	}
	run->pool.complete = run->status.complete;
	run->pool.at_us = run->now_us;
	bf_rollout_add_stats(run->rollout, &run->pool, run->now_us);
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

/* A roster that nobody uploads must not keep a good version from its time. */
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
test_bad_version_is_taken_back_for_ever(void)
{
	bf_test_run_t run;
	bf_verdict_t done;

	start_run(&run, 200, 0.2);
	run_until(&run, MOVE_US / 4);
	g_assert_cmpint(run.status.state, ==, BF_ROLLOUT_TAKEN_BACK);
	g_assert_cmpint(run.status.reason, ==, BF_REASON_FAILURES);
	g_assert_cmpstr(run.status.figures.route, ==, "status");
	g_assert_cmpuint(run.share_max_ppm, <=, 20000);
	done = (bf_verdict_t){ .move_id = "m", .state = BF_ROLLOUT_DONE };
	bf_rollout_add_verdict(run.rollout, &done, run.now_us);
	run.new_failure_part = 0;
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
	run.pool.routes[0].old_version.calls = 20;
	run_until(&run, MOVE_US + SECOND);
	g_assert_cmpint(run.status.state, ==, BF_ROLLOUT_LATE);
	g_assert_cmpint(run.status.reason, ==, BF_REASON_THIN_TRAFFIC);
	g_assert_true(run.status.late);
	g_assert_cmpint(run.verdicts, ==, 1);
	bf_rollout_free(run.rollout);
}

/* One second of calls in one block, of which this part fails. */
static void
add_block(bf_rollout_route_t *track, int64_t span, double new_failure_part)
{
	const bf_tally_t old_version = { .calls = 900, .failures = 2 };
	const bf_tally_t new_version = {
		.calls = 100,
		.failures = (uint64_t)(100 * new_failure_part),
	};
	const bf_rollout_route_block_t block = {
		.old_version = &old_version,
		.new_version = &new_version,
		.fair = true,
		.own_zone = true,
		.span = span,
	};

	bf_rollout_route_add_block(track, &block);
}

/* A target that dies fails all its calls for a moment: that is no proof. */
static void
test_one_burst_proves_nothing(void)
{
	const double log_proof = -log(BF_ROLLOUT_ALPHA);
	bf_rollout_route_t track;
	int64_t span;

	bf_rollout_route_init(&track, "status", false);
	for (span = 0; span < 100; span++)
		add_block(&track, span, 0);
	for (span = 100; span < 102; span++) {
		add_block(&track, span, 1);
		add_block(&track, span, 1);
	}
	g_assert_cmpfloat(
	    bf_rollout_route_result(&track).log_value, <, log_proof);
	for (span = 102; span < 108; span++)
		add_block(&track, span, 1);
	g_assert_cmpfloat(
	    bf_rollout_route_result(&track).log_value, >=, log_proof);
}

/* A block in which the share rose compares calls of different times. */
static void
test_changed_share_is_left_out(void)
{
	const bf_tally_t few = { .calls = 100 }, many = { .calls = 900 };
	bf_share_history_t watch = { 0 };

	g_assert_true(bf_share_history_update(&watch, 0, &few, &many));
	g_assert_false(bf_share_history_update(&watch, 0, &few, &many));
	g_assert_true(bf_share_history_update(&watch, 0, &many, &few));
	g_assert_false(bf_share_history_update(&watch, 0, &many, &few));
	g_assert_true(bf_share_history_update(&watch, 0, &few, &few));
	g_assert_false(bf_share_history_update(&watch, 1, &many, &few));
}

static uint64_t
take_pool(bf_zones_t *zones, const char *collector, bf_time_us_t at_us,
    uint64_t calls, bf_time_us_t now_us)
{
	const bf_increment_t *increment;
	bf_move_stats_t pool = { .move_id = "m",
		.zone = "lika-a",
		.at_us = at_us,
		.route_count = 1,
		.routes = { { .route = "status",
		    .old_version = { .calls = calls } } } };

	strcpy(pool.instance, collector);
	increment = bf_zones_update(zones, &pool, now_us);
	return increment == NULL ? 0 : increment->old_versions[0].calls;
}

static void
test_no_call_counts_twice(void)
{
	static const char *const names[] = { "status" };
	bf_zones_t *zones;

	zones = bf_zones_new(names, 1);
	g_assert_cmpuint(take_pool(zones, "c1", 10, 100, 10), ==, 100);
	g_assert_cmpuint(take_pool(zones, "c1", 20, 130, 20), ==, 30);
	/* repeated, older, and of the collector that is not followed */
	g_assert_cmpuint(take_pool(zones, "c1", 20, 130, 21), ==, 0);
	g_assert_cmpuint(take_pool(zones, "c1", 10, 100, 22), ==, 0);
	g_assert_cmpuint(take_pool(zones, "c2", 23, 140, 23), ==, 0);
	g_assert_cmpuint(take_pool(zones, "c1", 30, 150, 30), ==, 20);
	/* c1 falls silent: c2 is followed from what it said then */
	g_assert_cmpuint(
	    take_pool(zones, "c2", 20 * SECOND, 160, 20 * SECOND), ==, 0);
	g_assert_cmpuint(
	    take_pool(zones, "c2", 21 * SECOND, 175, 21 * SECOND), ==, 15);
	g_assert_cmpuint(take_pool(zones, "c1", 40, 170, 21 * SECOND), ==, 0);
	/* all counters of the zone began anew */
	g_assert_cmpuint(
	    take_pool(zones, "c2", 22 * SECOND, 5, 22 * SECOND), ==, 0);
	g_assert_cmpuint(
	    take_pool(zones, "c2", 23 * SECOND, 9, 23 * SECOND), ==, 4);
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
	    "/rollout/bad", test_bad_version_is_taken_back_for_ever);
	g_test_add_func("/rollout/thin", test_thin_traffic_is_late);
	g_test_add_func("/rollout/burst", test_one_burst_proves_nothing);
	g_test_add_func("/rollout/share", test_changed_share_is_left_out);
	g_test_add_func("/rollout/once", test_no_call_counts_twice);
	return g_test_run();
}
