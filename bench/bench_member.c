#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <glib.h>

#include "tests/member_sim.h"

/*
 * Measures the bytes that membership sends per node and the time until changes
 * reach all nodes, at sizes that one machine cannot run as processes: the state
 * machines run on a simulated clock and exchange encoded messages with a
 * latency of 5 to 20 ms.  Counts are reproducible.  Prints one line for each
 * measurement: name, value, unit, bound and ok or RED.
 *
 * usage: bench_member [NODES...]
 */

#define ZONES 8
#define S BF_US_PER_S
#define CHANGES 5
#define NODES_MAX 2000

typedef struct means {
	double sent_bytes;
	double changes_bytes;
} means_t;

static void
report(const sim_t *sim, const char *name, double value, const char *unit,
    double bound)
{
	printf("member_%s_%zu %.3f %s %.3f %s\n", name, sim->count, value, unit,
	    bound, value >= 0 && value <= bound ? "ok" : "RED");
	fflush(stdout);
}

static means_t
compute_means(const sim_t *sim)
{
	means_t means = { 0 };
	size_t i;

	for (i = 0; i < sim->count; i++) {
		means.sent_bytes += (double)sim->nodes[i].sent_bytes;
		means.changes_bytes += (double)sim->nodes[i].changes_bytes;
	}
	means.sent_bytes /= (double)sim->count;
	means.changes_bytes /= (double)sim->count;
	return means;
}

static double
measure_quiet(sim_t *sim)
{
	double before;
	double bytes_per_s;

	sim_run(sim, 10 * S);
	before = compute_means(sim).sent_bytes;
	sim_run(sim, 20 * S);
	bytes_per_s = (compute_means(sim).sent_bytes - before) / 20;
	report(sim, "quiet_sent", bytes_per_s, "B/s", 500);
	return bytes_per_s;
}

static void
measure_change(sim_t *sim)
{
	bf_record_t fields = { .service = "permits", .slots = 13 };
	double before;
	size_t i;

	before = compute_means(sim).changes_bytes;
	for (i = 0; i < CHANGES; i++) {
		fields.target_incarnation = i + 1;
		bf_member_set_target(
		    sim->nodes[i * 11].member, &fields, sim->now_us);
		sim_run(sim, S);
	}
	report(sim, "change_sent",
	    (compute_means(sim).changes_bytes - before) / CHANGES, "B", 550);
}

/* All nodes announce a configuration version within half a second. */
static void
measure_versions(sim_t *sim, double quiet_bytes_per_s)
{
	bf_digest_t digest = { 1, 1 };
	double before;
	size_t i;

	before = compute_means(sim).sent_bytes;
	for (i = 0; i < sim->count; i++) {
		bf_member_set_config(
		    sim->nodes[i].member, 7, digest, sim->now_us);
		if (i % (sim->count / 100 + 1) == 0)
			sim_run(sim, SIM_STEP_US);
	}
	sim_run(sim, 5 * S);
	report(sim, "version_sent",
	    compute_means(sim).sent_bytes - before - 5.5 * quiet_bytes_per_s,
	    "B", 600 + 20.0 * (double)sim->count);
}

static void
measure_death(sim_t *sim)
{
	bf_time_us_t start_us;

	start_us = sim->now_us;
	sim_kill(sim, sim->count - 1);
	report(sim, "death_known",
	    sim_run_until_converged(sim, 60 * S) < 0
		? -1
		: (double)(sim->now_us - start_us) / 1e6,
	    "s", 12);
	start_us = sim->now_us;
	sim_start(sim, sim->count - 1);
	report(sim, "return_known",
	    sim_run_until_converged(sim, 60 * S) < 0
		? -1
		: (double)(sim->now_us - start_us) / 1e6,
	    "s", 5);
}

/* One of the zones is partitioned from the others for a minute. */
static void
measure_heal(sim_t *sim)
{
	bf_time_us_t start_us;
	double before;

	sim->partitioned_zones = 1u << 2;
	sim_run(sim, 60 * S);
	sim->partitioned_zones = 0;
	before = compute_means(sim).sent_bytes;
	start_us = sim->now_us;
	sim_run(sim, 100 * BF_US_PER_MS);
	report(sim, "heal",
	    sim_run_until_converged(sim, 120 * S) < 0
		? -1
		: (double)(sim->now_us - start_us) / 1e6,
	    "s", 30);
	report(sim, "heal_sent", compute_means(sim).sent_bytes - before, "B",
	    2000.0 * (double)sim->count);
}

/* All nodes are killed, and all of them restart within two seconds. */
static void
measure_full_restart(sim_t *sim)
{
	bf_time_us_t start_us;
	size_t i;

	for (i = 0; i < sim->count; i++)
		sim_kill(sim, i);
	sim_run(sim, S);
	start_us = sim->now_us;
	for (i = 0; i < sim->count; i++) {
		sim_start(sim, i);
		if (i % (sim->count / 100 + 1) == 0)
			sim_run(sim, 4 * SIM_STEP_US);
	}
	report(sim, "herd",
	    sim_run_until_converged(sim, 120 * S) < 0
		? -1
		: (double)(sim->now_us - start_us) / 1e6,
	    "s", 30);
}

static void
run(size_t count)
{
	double quiet_bytes_per_s;
	sim_t *sim;
	size_t i;

	sim = sim_new(count, ZONES, 1);
	for (i = 0; i < count; i++)
		sim_start(sim, i);
	if (sim_run_until_converged(sim, 120 * S) < 0)
		report(sim, "start", -1, "s", 120);
	quiet_bytes_per_s = measure_quiet(sim);
	measure_change(sim);
	measure_versions(sim, quiet_bytes_per_s);
	measure_death(sim);
	measure_heal(sim);
	measure_full_restart(sim);
	sim_free(sim);
}

int
main(int argc, char **argv)
{
	const size_t sizes[] = { 64, 200, 600 };
	size_t i;

	apr_initialize();
	if (argc > 1) {
		for (i = 1; i < (size_t)argc; i++)
			run(CLAMP(strtoul(argv[i], NULL, 10), 64, NODES_MAX));
		return 0;
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		run(sizes[i]);
	return 0;
}
