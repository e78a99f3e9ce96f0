#include <glib.h>
#include <string.h>

#include "mesh/move.h"

#define MS BF_US_PER_MS
#define DURATION_MS 16000

/* A service whose old and new targets run calls as the case says. */
typedef struct world {
	bf_move_t move;
	bf_run_tallies_t new_runs, old_runs, new_recent, old_recent;
	bf_time_us_t now_us;
	uint32_t new_total;
	uint32_t all_total;
} world_t;

typedef struct version {
	double failing;
	int64_t ms;
} version_t;

#define CALLS_A_STEP 60
#define STEP_US (200 * MS)
#define ROUTES 2

static void
run(bf_run_tallies_t *tallies, bf_run_tallies_t *recent, uint32_t route,
    uint32_t count, const version_t *version)
{
	bf_run_tallies_t *both[2] = { tallies, recent };
	size_t i;

	for (i = 0; i < 2; i++) {
		bf_run_tally_t *tally = bf_run_tally(both[i], route);
		uint32_t failures = (uint32_t)(count * version->failing + 0.5);

		tally->runs += count;
		tally->failures += failures;
		tally->timed_runs += count - failures;
		tally->time_us +=
		    (uint64_t)(count - failures) * version->ms * MS;
	}
}

static void
begin(world_t *world)
{
	bf_move_order_t order = {
		.service = "shop", .version = "v2", .duration_ms = DURATION_MS
	};

	memset(world, 0, sizeof(*world));
	bf_move_begin(&world->move, &order, 7, 0);
}

/* One step of calls by the present share, then the decision. */
static bf_move_change_t
step(world_t *world, const version_t *old_version, const version_t *new_version,
    uint32_t bad_route)
{
	bf_move_evidence_t view = {
		.new_slots = 18,
		.old_slots = 54,
		.new_runs = &world->new_runs,
		.old_runs = &world->old_runs,
		.new_recent = &world->new_recent,
		.old_recent = &world->old_recent,
	};
	uint32_t to_new, route;

	world->now_us += STEP_US;
	memset(&world->new_recent, 0, sizeof(world->new_recent));
	memset(&world->old_recent, 0, sizeof(world->old_recent));
	to_new = (uint32_t)((uint64_t)CALLS_A_STEP * world->move.share_ppm /
	    BF_SHARE_ALL_PPM);
	for (route = 0; route < ROUTES; route++) {
		run(&world->new_runs, &world->new_recent, route, to_new,
		    bad_route == ROUTES || bad_route == route ? new_version
							      : old_version);
		run(&world->old_runs, &world->old_recent, route,
		    CALLS_A_STEP - to_new, old_version);
		world->new_total += to_new;
		world->all_total += CALLS_A_STEP;
	}
	return bf_move_step(&world->move, &view, world->now_us);
}

static void
play(world_t *world, const version_t *old_version, const version_t *new_version,
    uint32_t bad_route)
{
	while (world->move.state == BF_MOVE_ACTIVE &&
	    world->now_us < 2 * MS * DURATION_MS)
		(void)step(world, old_version, new_version, bad_route);
}

static const version_t good = { 0.004, 60 };

/* Completed in time, also while everything is slow and failing alike. */
static void
test_good(void)
{
	static const version_t cases[] = { { 0.004, 60 }, { 0.15, 60 },
		{ 0.0, 300 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_t world;

		begin(&world);
		play(&world, &cases[i], &cases[i], ROUTES);
		g_assert_cmpint(world.move.state, ==, BF_MOVE_COMPLETED);
		g_assert_cmpint(world.now_us, <, DURATION_MS * MS);
	}
}

/* Taken back within the exposure that operators allow: a tenth of the calls
 * of the move's time, and fifty. */
static void
test_bad(void)
{
	static const struct {
		version_t version;
		uint32_t route;
	} cases[] = {
		{ { 0.5, 60 }, ROUTES },
		{ { 0.38, 60 }, ROUTES },
		{ { 0.5, 60 }, 1 },
		{ { 0.0, 480 }, ROUTES },
		{ { 0.0, 300 }, 0 },
	};
	uint32_t allowed = DURATION_MS / 200 * CALLS_A_STEP * ROUTES / 10 + 50;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_t world;

		begin(&world);
		play(&world, &good, &cases[i].version, cases[i].route);
		g_assert_cmpint(world.move.state, ==, BF_MOVE_ROLLED_BACK);
		g_assert_cmpuint(world.new_total, <, allowed);
		g_assert_cmpuint(world.move.share_ppm, ==, 0);
	}
}

/* Good for some seconds, then bad. */
static void
test_late(void)
{
	static const version_t bad = { 0.5, 60 }, slow = { 0.0, 480 };
	const version_t *cases[] = { &bad, &slow };
	uint32_t allowed = DURATION_MS / 200 * CALLS_A_STEP * ROUTES / 10 + 50;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_t world;

		begin(&world);
		while (world.now_us < 4000 * MS)
			(void)step(&world, &good, &good, ROUTES);
		play(&world, &good, cases[i], ROUTES);
		g_assert_cmpint(world.move.state, ==, BF_MOVE_ROLLED_BACK);
		g_assert_cmpuint(world.new_total, <, allowed);
	}
}

/* Good until it has all calls, then a seventh of them fail. */
static void
test_under_load(void)
{
	static const version_t bad = { 0.146, 60 };
	uint32_t allowed = DURATION_MS / 200 * CALLS_A_STEP * ROUTES / 10 + 50;
	world_t world;

	begin(&world);
	while (world.move.share_ppm < BF_SHARE_ALL_PPM &&
	    world.now_us < DURATION_MS * MS)
		(void)step(&world, &good, &good, ROUTES);
	g_assert_cmpuint(world.move.share_ppm, ==, BF_SHARE_ALL_PPM);
	play(&world, &good, &bad, ROUTES);
	g_assert_cmpint(world.move.state, ==, BF_MOVE_ROLLED_BACK);
	g_assert_cmpuint(world.new_total, <, allowed);
}

/* Old targets that still run calls hold the end back: they stop at once. */
static void
test_old_busy(void)
{
	world_t world;
	bf_move_evidence_t view = {
		.new_slots = 18,
		.old_slots = 54,
		.old_calls = 1,
		.new_runs = &world.new_runs,
		.old_runs = &world.old_runs,
		.new_recent = &world.new_recent,
		.old_recent = &world.old_recent,
	};

	begin(&world);
	world.move.share_ppm = BF_SHARE_ALL_PPM;
	g_assert_cmpint(bf_move_step(&world.move, &view, 5000 * MS), ==,
	    BF_MOVE_CHANGE_NONE);
	view.old_calls = 0;
	g_assert_cmpint(bf_move_step(&world.move, &view, 5000 * MS), ==,
	    BF_MOVE_CHANGE_COMPLETED);
}

/* Without ready targets of the new version it gets nothing. */
static void
test_no_targets(void)
{
	world_t world;
	bf_move_evidence_t view = {
		.old_slots = 54,
		.new_runs = &world.new_runs,
		.old_runs = &world.old_runs,
		.new_recent = &world.new_recent,
		.old_recent = &world.old_recent,
	};

	begin(&world);
	g_assert_cmpint(bf_move_step(&world.move, &view, 5000 * MS), ==,
	    BF_MOVE_CHANGE_NONE);
	g_assert_cmpuint(world.move.share_ppm, ==, 0);
}

/* Counts that went back are those of a new process. */
static void
test_tallies(void)
{
	bf_run_tallies_t sum = { 0 }, base = { 0 }, now = { 0 };

	bf_run_tally(&base, 1)->runs = 100;
	bf_run_tally(&now, 1)->runs = 130;
	bf_run_tally(&now, 1)->failures = 3;
	bf_run_tallies_add(&sum, &now, &base);
	g_assert_cmpuint(bf_run_tally(&sum, 1)->runs, ==, 30);
	bf_run_tally(&now, 1)->runs = 10;
	bf_run_tallies_add(&sum, &now, &base);
	g_assert_cmpuint(bf_run_tally(&sum, 1)->runs, ==, 40);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/move/good", test_good);
	g_test_add_func("/move/bad", test_bad);
	g_test_add_func("/move/late", test_late);
	g_test_add_func("/move/under-load", test_under_load);
	g_test_add_func("/move/old-busy", test_old_busy);
	g_test_add_func("/move/no-targets", test_no_targets);
	g_test_add_func("/move/tallies", test_tallies);
	return g_test_run();
}
