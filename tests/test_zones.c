#include <glib.h>

#include "capacity/zones.h"
#include "mesh/balance.h"

/*
 * Guards against traffic between zones that helps no call: while the own zone
 * serves its calls in time, into a zone that is as full, or to and fro.
 */

#define ZONES 3
#define PLAN_US (200 * BF_US_PER_MS)
#define OBJECTIVE_US (200 * BF_US_PER_MS)
#define RUN_US (50 * BF_US_PER_MS)
#define COST 0.4

/* Zones of 20 slots, with this many calls for each slot. */
typedef struct sim {
	bf_zone_plan_t plan;
	bf_zone_load_t zones[ZONES];
	bf_time_us_t now_us;
} sim_t;

static void
set_zone(sim_t *sim, size_t zone, double slots, double fullness)
{
	sim->zones[zone] = (bf_zone_load_t){ .slots = slots,
		.busy = slots * fullness,
		.work_us = slots * RUN_US };
}

static sim_t
sim_new(double own, double second, double third)
{
	sim_t sim = { 0 };

	bf_zone_plan_count(&sim.plan, OBJECTIVE_US);
	set_zone(&sim, 0, 20, own);
	set_zone(&sim, 1, 20, second);
	set_zone(&sim, 2, 20, third);
	return sim;
}

static void
update(sim_t *sim, uint32_t times)
{
	while (times-- > 0) {
		sim->now_us += PLAN_US;
		g_assert_true(bf_zone_plan_due(&sim->plan, sim->now_us));
		bf_zone_plan_update(
		    &sim->plan, sim->zones, ZONES, 0, COST, sim->now_us);
		g_assert_false(bf_zone_plan_due(&sim->plan, sim->now_us));
	}
}

/* Counts 1,000 choices by zone. */
static void
choose(const sim_t *sim, bool stays, bool refused, uint32_t *counts)
{
	uint32_t i;

	for (i = 0; i < ZONES; i++)
		counts[i] = 0;
	for (i = 0; i < 1000; i++)
		counts[bf_zone_plan_choose(
		    &sim->plan, 0, stays, refused, i / 1000.0)]++;
}

/* Waiting within the limit that the cost allows makes no call leave. */
static void
test_stays_within_objective(void)
{
	sim_t sim = sim_new(2.0, 0.1, 0.1);
	uint32_t counts[ZONES];

	update(&sim, 20);
	choose(&sim, false, false, counts);
	g_assert_cmpuint(counts[0], ==, 1000);
	/* 0.4 of 200 ms is a wait of 1.6 runs. */
	set_zone(&sim, 0, 20, 3.0);
	update(&sim, 3);
	g_assert_cmpfloat(sim.plan.share, >, 0.1);
}

/* The excess leaves in proportion to what is free, and no more than that. */
static void
test_excess_by_free(void)
{
	/* Zones without waiting calls: 0.9; also if the own one is at 1.5. */
	double highest = 0.9, ratio;
	sim_t sim = sim_new(1.5, 0.6, 0.3);
	uint32_t counts[ZONES];

	/* A long mean time: the limit of the own zone is 1. */
	sim.zones[0].work_us *= 4;

	update(&sim, 20);
	choose(&sim, false, false, counts);
	g_assert_cmpfloat(
	    ABS(sim.plan.free_slots[1] - (highest - 0.6) * 20), <, 1e-6);
	g_assert_cmpfloat(
	    ABS(sim.plan.free_slots[2] - (highest - 0.3) * 20), <, 1e-6);
	g_assert_cmpfloat(sim.plan.share, <=,
	    sim.plan.free_total / (sim.plan.free_total + 20) + 1e-9);
	g_assert_cmpuint(counts[1], >, 100);
	ratio = (double)counts[2] / counts[1];
	g_assert_cmpfloat(ratio, >, 0.9 * (highest - 0.3) / (highest - 0.6));
	g_assert_cmpfloat(ratio, <, 1.1 * (highest - 0.3) / (highest - 0.6));
}

static void
test_same_wave(void)
{
	sim_t sim = sim_new(4, 3.6, 3.9);
	uint32_t counts[ZONES];

	update(&sim, 20);
	choose(&sim, false, true, counts);
	g_assert_cmpuint(counts[0], ==, 1000);
	set_zone(&sim, 0, 20, 0.85);
	set_zone(&sim, 1, 20, 0.8);
	update(&sim, 20);
	choose(&sim, false, true, counts);
	g_assert_cmpuint(counts[0], ==, 1000);
}

/*
 * The excess of the own zone falls with the share that leaves.  The share must
 * settle, not swing.
 */
static void
test_settles(void)
{
	sim_t sim = sim_new(0.8, 0.2, 0.2);
	double last = 0, swing = 0, full;
	uint32_t i;

	for (i = 0; i < 100; i++) {
		/* A zone 1.3 times overloaded fills until calls leave. */
		full = sim.zones[0].busy / sim.zones[0].slots +
		    (1.3 * (1 - sim.plan.share) - 1);
		set_zone(&sim, 0, 20, full > 0.5 ? full : 0.5);
		update(&sim, 1);
		if (i >= 60)
			swing = MAX(swing, ABS(sim.plan.share - last));
		last = sim.plan.share;
	}
	g_test_message("share %.3f, largest step %.3f", last, swing);
	g_assert_cmpfloat(last, >, 0.1);
	g_assert_cmpfloat(last, <, 0.4);
	g_assert_cmpfloat(swing, <=, 0.1);
	/* The load ends, and so does the traffic between the zones. */
	set_zone(&sim, 0, 20, 0.5);
	update(&sim, 10);
	g_assert_cmpfloat(sim.plan.share, ==, 0);
}

static void
test_zone_cut_off(void)
{
	sim_t sim = sim_new(4, 0.2, 0.2);
	uint32_t counts[ZONES];

	set_zone(&sim, 1, 0, 0);
	update(&sim, 10);
	choose(&sim, false, false, counts);
	g_assert_cmpuint(counts[1], ==, 0);
	g_assert_cmpuint(counts[2], >, 100);
	/* The own zone is cut off from all others. */
	set_zone(&sim, 2, 0, 0);
	update(&sim, 1);
	choose(&sim, false, true, counts);
	g_assert_cmpuint(counts[0], ==, 1000);
}

/* Without targets in the own zone all calls leave, large ones too. */
static void
test_no_own_targets(void)
{
	sim_t sim = sim_new(0, 0.2, 0.6);
	uint32_t counts[ZONES];

	set_zone(&sim, 0, 0, 0);
	update(&sim, 1);
	choose(&sim, true, false, counts);
	g_assert_cmpuint(counts[0], ==, 0);
	g_assert_cmpuint(counts[1], >, counts[2]);
}

static void
test_large_stay(void)
{
	sim_t sim = sim_new(4, 0.2, 0.2);
	uint32_t counts[ZONES];

	update(&sim, 10);
	choose(&sim, true, false, counts);
	g_assert_cmpuint(counts[0], ==, 1000);
	/* Until the own zone has refused them. */
	choose(&sim, true, true, counts);
	g_assert_cmpuint(counts[0], ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/zones/stays-within-objective", test_stays_within_objective);
	g_test_add_func("/zones/excess-by-free", test_excess_by_free);
	g_test_add_func("/zones/same-wave", test_same_wave);
	g_test_add_func("/zones/settles", test_settles);
	g_test_add_func("/zones/zone-cut-off", test_zone_cut_off);
	g_test_add_func("/zones/no-own-targets", test_no_own_targets);
	g_test_add_func("/zones/large-stay", test_large_stay);
	return g_test_run();
}
