#include <glib.h>
#include <math.h>

#include "capacity/estimator.h"
#include "mesh/balance.h"

/*
 * Guards against an estimator that takes slow routes, slow dependencies, bursts
 * or a slow machine for a target that takes few runs, or that does not notice a
 * target that slows down with the number it runs.
 */

#define RUNS_MAX 64
#define STEP_US BF_US_PER_MS
#define SHORT_ROUTE 1
#define LONG_ROUTE 2

typedef struct sim_run {
	bf_capacity_run_t run;
	uint32_t route;
	double left_us;             /* work at the usual speed */
	bf_time_us_t dependency_us; /* time of a call that it makes first */
	bool calling;
} sim_run_t;

/* A target, with the share of arrivals that go to the long route. */
typedef struct sim {
	bf_capacity_t capacity;
	uint64_t random;
	bf_time_us_t now_us;
	uint32_t slots;
	uint32_t knee;  /* runs that it takes without slowing down */
	double slope;   /* slowdown for each run beyond that */
	double speed;   /* time of work relative to the usual */
	bool is_silent; /* does not report the speed */
	double calls_per_s;
	double long_share;
	bf_time_us_t dependency_us;
	uint32_t queued;
	uint32_t running;
	uint32_t ended;
	double spent_us; /* sum over the ended runs */
	sim_run_t runs[RUNS_MAX];
} sim_t;

static double
uniform(sim_t *sim)
{
	return (double)(bf_random_next(&sim->random) >> 11) * 0x1p-53;
}

static sim_t
sim_new(uint32_t slots, uint32_t knee, double slope, double calls_per_s)
{
	sim_t sim = { .random = 7,
		.slots = slots,
		.knee = knee,
		.slope = slope,
		.speed = 1,
		.calls_per_s = calls_per_s };

	bf_capacity_init(&sim.capacity, slots, 0);
	return sim;
}

static double
slowdown(const sim_t *sim, uint32_t active)
{
	return active > sim->knee ? 1 + sim->slope * (active - sim->knee) : 1;
}

static void
start_run(sim_t *sim)
{
	sim_run_t *run = &sim->runs[sim->running++];
	double spread = 0.5 + uniform(sim);

	run->route = uniform(sim) < sim->long_share ? LONG_ROUTE : SHORT_ROUTE;
	run->left_us =
	    spread * (run->route == LONG_ROUTE ? 300 : 30) * BF_US_PER_MS;
	run->dependency_us = sim->dependency_us;
	run->calling = run->dependency_us > 0;
	bf_capacity_begin(&sim->capacity, &run->run, sim->now_us);
	if (run->calling)
		bf_capacity_call_began(&sim->capacity, &run->run, sim->now_us);
	sim->queued--;
}

/* Advances one run by a step; true: it has ended. */
static bool
advance_run(sim_t *sim, sim_run_t *run, uint32_t active)
{
	if (run->calling) {
		run->dependency_us -= STEP_US;
		if (run->dependency_us <= 0) {
			run->calling = false;
			bf_capacity_call_ended(
			    &sim->capacity, &run->run, sim->now_us);
		}
		return false;
	}
	run->left_us -= STEP_US / sim->speed / slowdown(sim, active);
	return run->left_us <= 0;
}

static void
sim_step(sim_t *sim)
{
	uint32_t active = 0, i;

	sim->now_us += STEP_US;
	if (uniform(sim) < sim->calls_per_s * STEP_US / BF_US_PER_S)
		sim->queued++;
	for (i = 0; i < sim->running; i++)
		active += sim->runs[i].calling ? 0 : 1;
	for (i = 0; i < sim->running;) {
		sim_run_t *run = &sim->runs[i];

		if (!advance_run(sim, run, active)) {
			i++;
			continue;
		}
		if (!sim->is_silent)
			bf_capacity_set_percent(&sim->capacity,
			    (uint32_t)(100 * sim->speed), sim->now_us);
		sim->spent_us += (double)(sim->now_us - run->run.began_us);
		sim->ended++;
		bf_capacity_end(
		    &sim->capacity, &run->run, run->route, true, sim->now_us);
		*run = sim->runs[--sim->running];
	}
	while (sim->queued > 0 &&
	    sim->running <
		bf_capacity_slots(&sim->capacity, sim->queued > 0, sim->now_us))
		start_run(sim);
}

static void
sim_run(sim_t *sim, double seconds)
{
	bf_time_us_t end_us =
	    sim->now_us + (bf_time_us_t)(seconds * BF_US_PER_S);

	while (sim->now_us < end_us)
		sim_step(sim);
}

/* Mean of the learnt number over the next seconds. */
static double
mean_learnt(sim_t *sim, double seconds)
{
	bf_time_us_t end_us =
	    sim->now_us + (bf_time_us_t)(seconds * BF_US_PER_S);
	double sum = 0;
	uint32_t steps = 0;

	while (sim->now_us < end_us) {
		sim_step(sim);
		sum += sim->capacity.learnt;
		steps++;
	}
	return sum / steps;
}

/* A queue as long as this ends at the overload of a case, not beyond it. */
static void
drop_queue(sim_t *sim)
{
	sim->queued = 0;
}

static void
test_even_target(void)
{
	sim_t sim = sim_new(8, 8, 0, 200);

	/* The first second has load below the slots, then all are in use. */
	sim_run(&sim, 2);
	sim.calls_per_s = 400;
	sim_run(&sim, 2);
	g_assert_cmpfloat(mean_learnt(&sim, 5), >=, 7.5);
}

static void
test_slows_down(void)
{
	sim_t sim = sim_new(8, 3, 0.6, 60);
	double learnt;

	sim_run(&sim, 3);
	sim.calls_per_s = 150;
	sim_run(&sim, 2);
	learnt = mean_learnt(&sim, 5);
	g_test_message("learnt %.2f of 8, knee 3", learnt);
	g_assert_cmpfloat(learnt, >=, 2.5);
	g_assert_cmpfloat(learnt, <=, 4.5);
	/* The knee moves up: the number is probed upwards under demand. */
	sim.knee = 6;
	sim_run(&sim, 6);
	learnt = mean_learnt(&sim, 3);
	g_test_message("learnt %.2f of 8, knee 6", learnt);
	g_assert_cmpfloat(learnt, >=, 5);
}

/*
 * A target that is full from its start shows no run at a lower number unless
 * fewer are tried.
 */
static void
test_full_from_start(void)
{
	sim_t sim = sim_new(12, 4, 0.5, 400);
	double learnt;

	sim_run(&sim, 8);
	learnt = mean_learnt(&sim, 4);
	g_test_message("learnt %.2f of 12, knee 4", learnt);
	g_assert_cmpfloat(learnt, >=, 3);
	g_assert_cmpfloat(learnt, <=, 6);
	sim = sim_new(12, 12, 0, 1000);
	sim_run(&sim, 8);
	g_assert_cmpfloat(mean_learnt(&sim, 4), >=, 10.5);
}

static void
test_reported_speed(void)
{
	sim_t sim = sim_new(8, 8, 0, 150);
	bf_time_us_t usual_us, slow_us;

	sim_run(&sim, 4);
	usual_us = bf_capacity_expected_us(&sim.capacity, 4, sim.now_us);
	sim.speed = 2;
	sim_run(&sim, 1.5);
	slow_us = bf_capacity_expected_us(&sim.capacity, 4, sim.now_us);
	g_test_message("%lld us at 100, %lld us at 200", (long long)usual_us,
	    (long long)slow_us);
	g_assert_cmpfloat((double)slow_us, >, 1.7 * (double)usual_us);
	g_assert_cmpfloat((double)slow_us, <, 2.4 * (double)usual_us);
	g_assert_cmpuint(sim.capacity.learnt, >=, 7);
}

static void
test_unreported_speed(void)
{
	sim_t sim = sim_new(8, 8, 0, 150);
	bf_time_us_t usual_us, slow_us;

	sim.is_silent = true;
	sim_run(&sim, 4);
	usual_us = bf_capacity_expected_us(&sim.capacity, 8, sim.now_us);
	sim.speed = 3;
	sim_run(&sim, 2);
	slow_us = bf_capacity_expected_us(&sim.capacity, 8, sim.now_us);
	g_assert_cmpfloat((double)slow_us, >, 2 * (double)usual_us);
	/* All levels are slow, so the number returns to the slots. */
	sim_run(&sim, 4);
	g_assert_cmpfloat(mean_learnt(&sim, 2), >=, 6.5);
}

static void
test_long_calls(void)
{
	sim_t sim = sim_new(8, 8, 0, 80);

	sim_run(&sim, 5);
	sim.long_share = 0.5;
	sim.calls_per_s = 60;
	sim_run(&sim, 2);
	g_assert_cmpfloat(mean_learnt(&sim, 10), >=, 7);
	/* Few short runs at a time, then many long ones. */
	sim.long_share = 0;
	drop_queue(&sim);
	sim_run(&sim, 5);
	sim.long_share = 1;
	sim.calls_per_s = 40;
	sim_run(&sim, 2);
	g_assert_cmpfloat(mean_learnt(&sim, 6), >=, 7);
}

static void
test_slow_dependency(void)
{
	sim_t sim = sim_new(8, 8, 0, 60);
	bf_time_us_t alone_us, with_us;
	uint32_t k;

	sim.dependency_us = 10 * BF_US_PER_MS;
	sim_run(&sim, 5);
	alone_us = bf_capacity_expected_us(&sim.capacity, 1, sim.now_us);
	sim.dependency_us = 300 * BF_US_PER_MS;
	sim_run(&sim, 5);
	with_us = bf_capacity_expected_us(&sim.capacity, 1, sim.now_us);
	/* Runs that wait for calls make neither a run slow nor a load. */
	for (k = 1; k <= 8; k++)
		g_assert_cmpfloat(sim.capacity.levels[k].slowdown, <, 1.7);
	g_assert_cmpint(sim.now_us - sim.capacity.levels[8].updated_at_us, >,
	    3 * BF_US_PER_S);
	g_assert_cmpfloat(mean_learnt(&sim, 5), >=, 7);
	/* The expected time has the time of the dependency. */
	g_assert_cmpint(with_us - alone_us, >, 200 * BF_US_PER_MS);
}

static void
test_burst(void)
{
	sim_t sim = sim_new(8, 8, 0, 60);

	sim_run(&sim, 3);
	sim.queued += 60;
	sim_run(&sim, 1);
	g_assert_cmpuint(sim.capacity.learnt, >=, 7);
	drop_queue(&sim);
	sim_run(&sim, 3);
	g_assert_cmpuint(sim.capacity.learnt, >=, 7);
}

static void
test_restart(void)
{
	sim_t sim = sim_new(8, 3, 0.6, 150);

	sim_run(&sim, 4);
	g_assert_cmpuint(sim.running, >, 0);
	bf_capacity_forget(&sim.capacity, 8, sim.now_us);
	g_assert_cmpuint(
	    bf_capacity_slots(&sim.capacity, false, sim.now_us), ==, 8);
	g_assert_cmpint(
	    bf_capacity_expected_us(&sim.capacity, 1, sim.now_us), ==, 0);
	/* Runs of the former process end without counting. */
	g_assert_cmpuint(sim.capacity.running, ==, sim.running);
	while (sim.running > 0)
		bf_capacity_end(&sim.capacity, &sim.runs[--sim.running].run,
		    SHORT_ROUTE, false, sim.now_us);
	g_assert_cmpuint(sim.capacity.running, ==, 0);
	g_assert_cmpint(
	    bf_capacity_expected_us(&sim.capacity, 1, sim.now_us), ==, 0);
}

/* Old knowledge neither limits a target for ever nor is lost in a pause. */
static void
test_no_report_for_seconds(void)
{
	sim_t sim = sim_new(8, 3, 0.6, 60);

	sim_run(&sim, 3);
	sim.calls_per_s = 150;
	sim_run(&sim, 4);
	drop_queue(&sim);
	sim.calls_per_s = 0;
	sim_run(&sim, 5);
	g_assert_cmpuint(sim.capacity.learnt, <=, 5);
	g_assert_cmpint(
	    bf_capacity_expected_us(&sim.capacity, 1, sim.now_us), >, 0);
	sim_run(&sim, 40);
	sim.knee = 8;
	sim.calls_per_s = 250;
	sim_run(&sim, 3);
	g_assert_cmpfloat(mean_learnt(&sim, 3), >=, 7);
}

/*
 * Ten entry nodes that got the same reports at the same time send 40 calls
 * each.  No target may get more than 1.5 times its share; without the count of
 * calls sent since the report the fastest gets 1.8 times that.
 */
static void
test_ten_entries(void)
{
	bf_candidate_t known[10][10];
	bf_zone_preference_t preference = { .answer_within_us = BF_US_PER_S,
		.extra_us = BF_US_PER_S };
	uint32_t got[10] = { 0 }, entry, call, target;
	uint64_t random = 11;

	for (entry = 0; entry < 10; entry++) {
		for (target = 0; target < 10; target++)
			/* One target looks faster than the others. */
			known[entry][target] = (bf_candidate_t){ .slots = 4,
				.mean_run_us = target == 0 ? 30000 : 40000,
				.in_own_zone = true };
	}
	for (call = 0; call < 40; call++) {
		for (entry = 0; entry < 10; entry++) {
			target = (uint32_t)bf_candidate_choose(
			    known[entry], 10, &preference, &random);
			known[entry][target].sent_since_report++;
			got[target]++;
		}
	}
	g_test_message("%u of 400 calls for the fastest", got[0]);
	for (target = 0; target < 10; target++) {
		g_assert_cmpuint(got[target], <=, 60);
		g_assert_cmpuint(got[target], >=, 20);
	}
}

static void
test_bad_input(void)
{
	bf_capacity_run_t run = { 0 };
	bf_capacity_t capacity;

	bf_capacity_init(&capacity, 1000000, 0);
	g_assert_cmpuint(capacity.slots, ==, BF_CAPACITY_SLOTS_MAX);
	bf_capacity_set_percent(&capacity, 0, 10);
	bf_capacity_set_percent(&capacity, UINT32_MAX, 10);
	g_assert_cmpfloat(capacity.speed, ==, 1);
	/* Slots that are taken for a moment are not forgotten. */
	bf_capacity_set_slots(&capacity, 1);
	g_assert_cmpuint(bf_capacity_slots(&capacity, false, 1000000), ==, 1);
	bf_capacity_set_slots(&capacity, 8);
	g_assert_cmpuint(bf_capacity_slots(&capacity, false, 2000000), ==, 8);
	/* A run that never began, ends of calls that never began. */
	bf_capacity_call_ended(&capacity, &run, 20);
	bf_capacity_end(&capacity, &run, 1, true, 20);
	g_assert_cmpuint(capacity.running, ==, 0);
	g_assert_cmpuint(capacity.blocked, ==, 0);
	/* A run that ends before its call does. */
	bf_capacity_begin(&capacity, &run, 30);
	bf_capacity_call_began(&capacity, &run, 40);
	bf_capacity_end(&capacity, &run, 1, true, 50);
	bf_capacity_call_ended(&capacity, &run, 60);
	g_assert_cmpuint(capacity.blocked, ==, 0);
	bf_capacity_set_slots(&capacity, 0);
	g_assert_cmpuint(bf_capacity_slots(&capacity, true, 70), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/capacity/even-target", test_even_target);
	g_test_add_func("/capacity/slows-down", test_slows_down);
	g_test_add_func("/capacity/full-from-start", test_full_from_start);
	g_test_add_func("/capacity/reported-speed", test_reported_speed);
	g_test_add_func("/capacity/unreported-speed", test_unreported_speed);
	g_test_add_func("/capacity/long-calls", test_long_calls);
	g_test_add_func("/capacity/slow-dependency", test_slow_dependency);
	g_test_add_func("/capacity/burst", test_burst);
	g_test_add_func("/capacity/restart", test_restart);
	g_test_add_func(
	    "/capacity/no-report-for-seconds", test_no_report_for_seconds);
	g_test_add_func("/capacity/ten-entries", test_ten_entries);
	g_test_add_func("/capacity/bad-input", test_bad_input);
	return g_test_run();
}
