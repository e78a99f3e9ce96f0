#include <glib.h>
#include <string.h>

#include "mesh/move.h"

#define MS BF_US_PER_MS
#define DURATION_MS 16000

/* A simulated service with targets of an old and a new version. */
typedef struct sim {
	bf_move_t move;
	bf_run_tallies_t new_runs, old_runs, new_recent, old_recent;
	bf_time_us_t now_us;
	uint32_t new_total;
	uint32_t all_total;
} sim_t;

typedef struct version {
	double failure_rate;
	int64_t run_ms;
} version_t;

#define CALLS_PER_STEP 60
#define STEP_US (200 * MS)
#define ROUTES 2

static void
add_runs(bf_run_tallies_t *tallies, bf_run_tallies_t *recent, uint32_t route,
    uint32_t count, const version_t *version)
{
	bf_run_tallies_t *both[2] = { tallies, recent };
	size_t i;

	for (i = 0; i < 2; i++) {
		bf_run_tally_t *tally = bf_run_tally(both[i], route);
		uint32_t failures =
		    (uint32_t)(count * version->failure_rate + 0.5);

		tally->runs += count;
		tally->failures += failures;
		tally->timed_runs += count - failures;
		tally->time_us +=
		    (uint64_t)(count - failures) * version->run_ms * MS;
	}
}

static void
begin(sim_t *sim)
{
	bf_move_order_t order = {
		.service = "shop", .version = "v2", .duration_ms = DURATION_MS
	};

	memset(sim, 0, sizeof(*sim));
	bf_move_begin(&sim->move, &order, 7, 0);
}

/* Runs the calls of one step by the current share, then decides. */
static bf_move_change_t
step(sim_t *sim, const version_t *old_version, const version_t *new_version,
    uint32_t bad_route)
{
	bf_move_evidence_t evidence = {
		.new_slots = 18,
		.old_slots = 54,
		.new_runs = &sim->new_runs,
		.old_runs = &sim->old_runs,
		.new_recent = &sim->new_recent,
		.old_recent = &sim->old_recent,
	};
	uint32_t to_new, route;

	sim->now_us += STEP_US;
	memset(&sim->new_recent, 0, sizeof(sim->new_recent));
	memset(&sim->old_recent, 0, sizeof(sim->old_recent));
	to_new = (uint32_t)((uint64_t)CALLS_PER_STEP * sim->move.share_ppm /
	    BF_SHARE_ALL_PPM);
	for (route = 0; route < ROUTES; route++) {
		add_runs(&sim->new_runs, &sim->new_recent, route, to_new,
		    bad_route == ROUTES || bad_route == route ? new_version
							      : old_version);
		add_runs(&sim->old_runs, &sim->old_recent, route,
		    CALLS_PER_STEP - to_new, old_version);
		sim->new_total += to_new;
		sim->all_total += CALLS_PER_STEP;
	}
	return bf_move_step(&sim->move, &evidence, sim->now_us);
}

static void
run_to_end(sim_t *sim, const version_t *old_version,
    const version_t *new_version, uint32_t bad_route)
{
	while (sim->move.state == BF_MOVE_ACTIVE &&
	    sim->now_us < 2 * MS * DURATION_MS)
		(void)step(sim, old_version, new_version, bad_route);
}

static const version_t good = { 0.004, 60 };

/* Completed in time, also while both versions are equally slow or failing. */
static void
test_good(void)
{
	static const version_t cases[] = { { 0.004, 60 }, { 0.15, 60 },
		{ 0.0, 300 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		sim_t sim;

		begin(&sim);
		run_to_end(&sim, &cases[i], &cases[i], ROUTES);
		g_assert_cmpint(sim.move.state, ==, BF_MOVE_COMPLETED);
		g_assert_cmpint(sim.now_us, <, DURATION_MS * MS);
	}
}

/*
 * Rolled back within the exposure that operators allow: a tenth of the calls
 * made during the move, plus fifty.
 */
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
	uint32_t allowed =
	    DURATION_MS / 200 * CALLS_PER_STEP * ROUTES / 10 + 50;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		sim_t sim;

		begin(&sim);
		run_to_end(&sim, &good, &cases[i].version, cases[i].route);
		g_assert_cmpint(sim.move.state, ==, BF_MOVE_ROLLED_BACK);
		g_assert_cmpuint(sim.new_total, <, allowed);
		g_assert_cmpuint(sim.move.share_ppm, ==, 0);
	}
}

/* The new version is good for some seconds, then bad. */
static void
test_late(void)
{
	static const version_t bad = { 0.5, 60 }, slow = { 0.0, 480 };
	const version_t *cases[] = { &bad, &slow };
	uint32_t allowed =
	    DURATION_MS / 200 * CALLS_PER_STEP * ROUTES / 10 + 50;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		sim_t sim;

		begin(&sim);
		while (sim.now_us < 4000 * MS)
			(void)step(&sim, &good, &good, ROUTES);
		run_to_end(&sim, &good, cases[i], ROUTES);
		g_assert_cmpint(sim.move.state, ==, BF_MOVE_ROLLED_BACK);
		g_assert_cmpuint(sim.new_total, <, allowed);
	}
}

/* The new version fails a seventh of its calls once it has all of them. */
static void
test_under_load(void)
{
	static const version_t bad = { 0.146, 60 };
	uint32_t allowed =
	    DURATION_MS / 200 * CALLS_PER_STEP * ROUTES / 10 + 50;
	sim_t sim;

	begin(&sim);
	while (sim.move.share_ppm < BF_SHARE_ALL_PPM &&
	    sim.now_us < DURATION_MS * MS)
		(void)step(&sim, &good, &good, ROUTES);
	g_assert_cmpuint(sim.move.share_ppm, ==, BF_SHARE_ALL_PPM);
	run_to_end(&sim, &good, &bad, ROUTES);
	g_assert_cmpint(sim.move.state, ==, BF_MOVE_ROLLED_BACK);
	g_assert_cmpuint(sim.new_total, <, allowed);
}

/*
 * A move isn't completed while old targets still run calls, since these targets
 * are stopped right after it.
 */
static void
test_old_busy(void)
{
	sim_t sim;
	bf_move_evidence_t evidence = {
		.new_slots = 18,
		.old_slots = 54,
		.old_calls = 1,
		.new_runs = &sim.new_runs,
		.old_runs = &sim.old_runs,
		.new_recent = &sim.new_recent,
		.old_recent = &sim.old_recent,
	};

	begin(&sim);
	sim.move.share_ppm = BF_SHARE_ALL_PPM;
	g_assert_cmpint(bf_move_step(&sim.move, &evidence, 5000 * MS), ==,
	    BF_MOVE_CHANGE_NONE);
	evidence.old_calls = 0;
	g_assert_cmpint(bf_move_step(&sim.move, &evidence, 5000 * MS), ==,
	    BF_MOVE_CHANGE_COMPLETED);
}

/* The new version gets no share while it has no ready targets. */
static void
test_no_targets(void)
{
	sim_t sim;
	bf_move_evidence_t evidence = {
		.old_slots = 54,
		.new_runs = &sim.new_runs,
		.old_runs = &sim.old_runs,
		.new_recent = &sim.new_recent,
		.old_recent = &sim.old_recent,
	};

	begin(&sim);
	g_assert_cmpint(bf_move_step(&sim.move, &evidence, 5000 * MS), ==,
	    BF_MOVE_CHANGE_NONE);
	g_assert_cmpuint(sim.move.share_ppm, ==, 0);
}

/* Counts that decreased were reset by a restart of the node. */
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
