#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "member/record_codec.h"
#include "tests/member_sim.h"

#define S BF_US_PER_S

/*
 * Most bytes that a node may send per change: a record of about 110 bytes about
 * once on each of its six links.
 */
#define FLOOD_BYTES_MAX 550

static sim_t *
start_all(size_t count, uint32_t zones, guint32 seed)
{
	sim_t *sim;
	size_t i;

	sim = sim_new(count, zones, seed);
	for (i = 0; i < count; i++)
		sim_start(sim, i);
	g_assert_cmpint(sim_run_until_converged(sim, 60 * S), >=, 0);
	sim_run(sim, 3 * S);
	return sim;
}

static bf_record_t
find_record(const sim_t *sim, size_t observer, size_t subject)
{
	char name[BF_NAME_BYTES];
	bf_record_t record;

	sim_name(subject, name);
	g_assert_cmpint(
	    bf_member_find(sim->nodes[observer].member, name, &record), ==,
	    BF_OK);
	return record;
}

/* Precedence of two records, which must not depend on their order. */
static void
test_precedence(void)
{
	const struct {
		uint64_t incarnation[2];
		uint64_t sequence[2];
		bf_member_state_t state[2];
		bool first_newer;
		bool second_newer;
	} cases[] = {
		{ { 2, 1 }, { 0, 9 }, { BF_MEMBER_ALIVE, BF_MEMBER_DEAD }, true,
		    false },
		{ { 1, 1 }, { 2, 1 }, { BF_MEMBER_ALIVE, BF_MEMBER_DEAD }, true,
		    false },
		{ { 1, 1 }, { 1, 1 }, { BF_MEMBER_ALIVE, BF_MEMBER_SUSPECT },
		    false, true },
		{ { 1, 1 }, { 1, 1 }, { BF_MEMBER_DEAD, BF_MEMBER_SUSPECT },
		    true, false },
		{ { 1, 1 }, { 1, 1 }, { BF_MEMBER_LEFT, BF_MEMBER_SUSPECT },
		    true, false },
		{ { 1, 1 }, { 1, 1 }, { BF_MEMBER_DEAD, BF_MEMBER_DEAD }, false,
		    false },
	};
	bf_record_t a = { 0 };
	bf_record_t b = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		a.incarnation = cases[i].incarnation[0];
		b.incarnation = cases[i].incarnation[1];
		a.sequence = cases[i].sequence[0];
		b.sequence = cases[i].sequence[1];
		a.state = cases[i].state[0];
		b.state = cases[i].state[1];
		g_assert_cmpint(
		    bf_record_newer(&a, &b), ==, cases[i].first_newer);
		g_assert_cmpint(
		    bf_record_newer(&b, &a), ==, cases[i].second_newer);
	}
}

/* A killed node becomes suspect and then dead on all nodes; no other does. */
static void
test_death(void)
{
	sim_t *sim;

	sim = start_all(30, 3, 1);
	sim_kill(sim, 7);
	sim_run(sim, 5 * S);
	g_assert_cmpuint(sim_count_views(sim, 7, BF_MEMBER_SUSPECT), ==, 29);
	sim_run(sim, 6 * S);
	g_assert_cmpuint(sim_count_views(sim, 7, BF_MEMBER_DEAD), ==, 29);
	g_assert_cmpint(sim_run_until_converged(sim, S), >=, 0);
	sim_free(sim);
}

/*
 * A node that restarts on the same address, before or after it was declared
 * dead, is alive again with its greater incarnation.
 */
static void
test_restart(void)
{
	bf_record_t before;
	sim_t *sim;

	sim = start_all(20, 2, 2);
	before = find_record(sim, 0, 5);
	sim_kill(sim, 5);
	sim_run(sim, S);
	sim_start(sim, 5);
	g_assert_cmpint(sim_run_until_converged(sim, 10 * S), >=, 0);
	g_assert_cmpuint(
	    find_record(sim, 0, 5).incarnation, >, before.incarnation);
	sim_kill(sim, 5);
	sim_run(sim, 20 * S);
	g_assert_cmpuint(sim_count_views(sim, 5, BF_MEMBER_DEAD), ==, 19);
	sim_start(sim, 5);
	g_assert_cmpint(sim_run_until_converged(sim, 10 * S), >=, 0);
	sim_free(sim);
}

/*
 * A process restarts with an incarnation lower than its previous one, since the
 * wall clock was set back: it must still become alive again.
 */
static void
test_restart_clock_back(void)
{
	bf_record_t before;
	sim_t *sim;

	sim = start_all(10, 2, 3);
	before = find_record(sim, 0, 5);
	sim_kill(sim, 5);
	sim_run(sim, 20 * S);
	sim->incarnation = 1;
	sim_start(sim, 5);
	g_assert_cmpint(sim_run_until_converged(sim, 10 * S), >=, 0);
	g_assert_cmpuint(
	    find_record(sim, 0, 5).incarnation, >, before.incarnation);
	sim_free(sim);
}

/* A false suspicion is refuted by the suspect and leads to no death. */
static void
test_refutation(void)
{
	bf_replica_value_t value;
	bf_wire_writer_t writer;
	bf_record_t record;
	size_t i;
	sim_t *sim;

	sim = start_all(30, 3, 4);
	record = find_record(sim, 0, 9);
	record.state = BF_MEMBER_DEAD;
	bf_wire_writer_init(&writer);
	bf_record_write(&writer, &record);
	value = (bf_replica_value_t){ writer.buffer.data, writer.buffer.size };
	bf_replica_merge(bf_member_replica(sim->nodes[0].member),
	    BF_MEMBER_REPLICA_KIND, record.instance, &value, 0, sim->now_us);
	/* A death without a preceding suspicion is stored as a suspicion. */
	g_assert_cmpint(find_record(sim, 0, 9).state, ==, BF_MEMBER_SUSPECT);
	g_assert_cmpint(sim_run_until_converged(sim, 2 * S), >=, 0);
	g_assert_cmpuint(
	    find_record(sim, 0, 9).sequence, ==, record.sequence + 1);
	for (i = 0; i < sim->count; i++)
		g_assert_cmpuint(
		    bf_member_counts(sim->nodes[i].member).deaths, ==, 0);
	bf_wire_writer_free(&writer);
	sim_free(sim);
}

/* A process that resumes after a minute declares no member dead. */
static void
test_pause(void)
{
	sim_t *sim;

	sim = start_all(20, 2, 5);
	sim->nodes[4].paused = true;
	sim_run(sim, 60 * S);
	g_assert_cmpuint(sim_count_views(sim, 4, BF_MEMBER_DEAD), ==, 19);
	sim->nodes[4].paused = false;
	sim_run(sim, 100 * BF_US_PER_MS);
	g_assert_cmpint(sim_run_until_converged(sim, 10 * S), >=, 0);
	g_assert_cmpuint(bf_member_counts(sim->nodes[4].member).pauses, ==, 1);
	g_assert_cmpuint(
	    bf_member_counts(sim->nodes[4].member).suspicions, ==, 0);
	g_assert_cmpuint(bf_member_counts(sim->nodes[4].member).deaths, ==, 0);
	sim_free(sim);
}

/*
 * Heartbeats received while a process was stopped do not confirm the version in
 * force, even if they carry it; the reply of a peer with that version to a
 * request sent afterwards does.
 */
static void
test_pause_needs_confirmation(void)
{
	const bf_digest_t digest = { 1, 1 };
	sim_t *sim;
	size_t i;

	sim = start_all(4, 1, 6);
	for (i = 0; i < 4; i++)
		bf_member_set_config(
		    sim->nodes[i].member, 1, digest, sim->now_us);
	sim_run(sim, 3 * S);
	g_assert_true(bf_member_config_confirmed(sim->nodes[0].member));
	sim->nodes[0].paused = true;
	sim_run(sim, 5 * S);
	for (i = 1; i < 4; i++)
		sim_kill(sim, i);
	sim->nodes[0].paused = false;
	sim_run(sim, 5 * S);
	g_assert_false(bf_member_config_confirmed(sim->nodes[0].member));
	sim_start(sim, 1);
	sim_run(sim, 10 * S);
	g_assert_false(bf_member_config_confirmed(sim->nodes[0].member));
	bf_member_set_config(sim->nodes[1].member, 1, digest, sim->now_us);
	sim_run(sim, 5 * S);
	g_assert_true(bf_member_config_confirmed(sim->nodes[0].member));
	sim_free(sim);
}

/* A drain and a leave each reach all nodes within a second, without a death. */
static void
test_drain_and_leave(void)
{
	bf_record_t fields = { .target_state = BF_TARGET_DRAINING,
		.slots = 6,
		.service = "abonamente",
		.version = "v1" };
	sim_t *sim;
	size_t i;

	sim = start_all(60, 3, 6);
	bf_member_set_target(sim->nodes[11].member, &fields, sim->now_us);
	sim_run(sim, S);
	for (i = 0; i < sim->count; i++)
		g_assert_cmpint(find_record(sim, i, 11).target_state, ==,
		    BF_TARGET_DRAINING);
	bf_member_leave(sim->nodes[11].member, sim->now_us);
	sim_kill(sim, 11);
	sim_run(sim, S);
	g_assert_cmpuint(sim_count_views(sim, 11, BF_MEMBER_LEFT), ==, 59);
	sim_run(sim, 20 * S);
	g_assert_cmpuint(sim_count_views(sim, 11, BF_MEMBER_LEFT), ==, 59);
	sim_free(sim);
}

/*
 * A zone is partitioned from the others for a minute.  Each side declares the
 * other dead and keeps its own members alive; after the partition has healed,
 * all members are alive again on all nodes.
 */
static void
test_partition_and_heal(void)
{
	bf_member_counts_t counts;
	sim_t *sim;
	size_t i;

	sim = start_all(45, 3, 7);
	sim->partitioned_zones = 1u << 1;
	sim_run(sim, 60 * S);
	for (i = 0; i < sim->count; i++) {
		counts = bf_member_counts(sim->nodes[i].member);
		g_assert_cmpuint(
		    counts.alive, ==, sim->nodes[i].zone == 1 ? 15 : 30);
		g_assert_cmpuint(counts.suspect, ==, 0);
	}
	sim->partitioned_zones = 0;
	sim_run(sim, 200 * BF_US_PER_MS);
	g_assert_cmpint(sim_run_until_converged(sim, 30 * S), >=, 0);
	sim_run(sim, 30 * S);
	g_assert_cmpint(sim_run_until_converged(sim, S), >=, 0);
	sim_free(sim);
}

/* All nodes of a zone are killed at once and later restart at once. */
static void
test_zone_restart(void)
{
	sim_t *sim;
	size_t i;

	sim = start_all(60, 3, 8);
	for (i = 1; i < sim->count; i += 3)
		sim_kill(sim, i);
	sim_run(sim, 60 * S);
	g_assert_cmpint(sim_run_until_converged(sim, S), >=, 0);
	for (i = 1; i < sim->count; i += 3)
		sim_start(sim, i);
	g_assert_cmpint(sim_run_until_converged(sim, 20 * S), >=, 0);
	sim_free(sim);
}

/* All nodes are killed, and after a second restart within another second. */
static void
test_full_restart(void)
{
	sim_t *sim;
	size_t i;

	sim = start_all(100, 4, 9);
	for (i = 0; i < sim->count; i++)
		sim_kill(sim, i);
	sim_run(sim, S);
	for (i = 0; i < sim->count; i++) {
		sim_start(sim, i);
		sim_run(sim, 10 * BF_US_PER_MS);
	}
	g_assert_cmpint(sim_run_until_converged(sim, 30 * S), >=, 0);
	sim_free(sim);
}

/* Messages are lost, repeated and reordered throughout; no member dies. */
static void
test_lossy(void)
{
	bf_record_t fields = { .service = "permits", .slots = 13 };
	bf_time_us_t duration_us;
	sim_t *sim;
	size_t i;

	sim = start_all(40, 2, 10);
	sim->drop_percent = 10;
	sim->repeat_percent = 20;
	for (i = 0; i < 20; i++) {
		fields.target_incarnation = i + 1;
		bf_member_set_target(
		    sim->nodes[i].member, &fields, sim->now_us);
		sim_run(sim, S);
	}
	duration_us = sim_run_until_converged(sim, 30 * S);
	g_assert_cmpint(duration_us, >=, 0);
	for (i = 0; i < sim->count; i++)
		g_assert_cmpuint(
		    bf_member_counts(sim->nodes[i].member).deaths, ==, 0);
	sim_free(sim);
}

/*
 * The floor of a restarted instance is the greatest version that it announced
 * before to any node.
 */
static void
test_floor(void)
{
	bf_digest_t digest = { 1, 2 };
	sim_t *sim;
	size_t i;

	sim = start_all(20, 2, 11);
	for (i = 0; i < sim->count; i++)
		bf_member_set_config(
		    sim->nodes[i].member, 41, digest, sim->now_us);
	bf_member_set_config(sim->nodes[13].member, 42, digest, sim->now_us);
	sim_run(sim, 3 * S);
	sim_kill(sim, 13);
	sim_run(sim, 30 * S);
	sim_start(sim, 13);
	g_assert_cmpuint(bf_member_floor_version(sim->nodes[13].member), ==, 0);
	while (!bf_member_joined(sim->nodes[13].member))
		sim_run(sim, SIM_STEP_US);
	g_assert_cmpuint(
	    bf_member_floor_version(sim->nodes[13].member), ==, 42);
	sim_free(sim);
}

/*
 * Random bytes after a valid header, and truncated messages, give errors and
 * change no record.
 */
static void
test_malformed_messages(void)
{
	char sender[BF_NAME_BYTES];
	bf_message_kind_t kind;
	bf_wire_reader_t reader;
	bf_wire_writer_t writer;
	uint64_t digest;
	size_t errors;
	size_t header_bytes;
	sim_t *sim;
	size_t i;
	size_t j;

	sim = start_all(5, 1, 12);
	digest = bf_replica_digest(bf_member_replica(sim->nodes[0].member), 0);
	bf_wire_writer_init(&writer);
	errors = 0;
	for (i = 0; i < 20000; i++) {
		bf_wire_writer_clear(&writer);
		bf_wire_write_header(&writer,
		    (bf_message_kind_t)(BF_MESSAGE_HELLO + i % 9),
		    "instance-4");
		header_bytes = writer.buffer.size;
		bf_wire_write_bytes(&writer, "", 0);
		for (j = 0; j < i % 60; j++)
			bf_wire_write_uint(&writer, g_rand_int(sim->rng));
		for (j = header_bytes; j < writer.buffer.size; j++) {
			if (i % 3 == 0)
				writer.buffer.data[j] =
				    (char)g_rand_int(sim->rng);
		}
		bf_wire_reader_init(
		    &reader, writer.buffer.data, writer.buffer.size - (i % 2));
		g_assert_cmpint(
		    bf_wire_read_header(&reader, &kind, sender), ==, BF_OK);
		errors += bf_member_receive(sim->nodes[0].member, kind, sender,
			      &reader, sim->now_us) != BF_OK;
	}
	g_assert_cmpuint(errors, >, 10000);
	g_assert_cmpuint(
	    bf_replica_digest(bf_member_replica(sim->nodes[0].member), 0), ==,
	    digest);
	bf_wire_writer_free(&writer);
	sim_free(sim);
}

/* Returns the mean bytes in CHANGES messages per node and change. */
static double
measure_flood(size_t count, uint32_t zones, size_t changes)
{
	bf_record_t fields = { .service = "trailcheck", .slots = 13 };
	uint64_t before;
	double bytes;
	sim_t *sim;
	size_t i;

	sim = start_all(count, zones, 13);
	sim_run(sim, 5 * S);
	before = sim_sum_changes_bytes(sim);
	for (i = 0; i < changes; i++) {
		fields.target_incarnation = i + 1;
		bf_member_set_target(
		    sim->nodes[i * 7 % count].member, &fields, sim->now_us);
		sim_run(sim, S);
	}
	g_assert_cmpint(sim_run_until_converged(sim, 10 * S), >=, 0);
	bytes = (double)(sim_sum_changes_bytes(sim) - before) /
	    (double)(count * changes);
	sim_free(sim);
	return bytes;
}

/* The bytes that a node sends per change do not grow with the mesh. */
static void
test_flood_cost(void)
{
	const size_t sizes[] = { 50, 200, 500 };
	double first;
	double bytes;
	size_t i;

	first = 0;
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bytes = measure_flood(sizes[i], 4, 10);
		g_test_message(
		    "%zu nodes: %.0f bytes a node and change", sizes[i], bytes);
		if (i == 0)
			first = bytes;
		g_assert_cmpfloat(bytes, <, 1.15 * first);
		g_assert_cmpfloat(bytes, <, FLOOD_BYTES_MAX);
	}
}

int
main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member/precedence", test_precedence);
	g_test_add_func("/member/death", test_death);
	g_test_add_func("/member/return", test_restart);
	g_test_add_func("/member/return-clock-back", test_restart_clock_back);
	g_test_add_func("/member/refutation", test_refutation);
	g_test_add_func("/member/pause", test_pause);
	g_test_add_func(
	    "/member/pause-confirmation", test_pause_needs_confirmation);
	g_test_add_func("/member/drain-and-leave", test_drain_and_leave);
	g_test_add_func("/member/cut-and-heal", test_partition_and_heal);
	g_test_add_func("/member/zone-herd", test_zone_restart);
	g_test_add_func("/member/fleet-herd", test_full_restart);
	g_test_add_func("/member/lossy", test_lossy);
	g_test_add_func("/member/floor", test_floor);
	g_test_add_func("/member/hostile", test_malformed_messages);
	g_test_add_func("/member/flood-cost", test_flood_cost);
	return g_test_run();
}
