#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/member_sim.h"

#define HEARTBEAT_US BF_US_PER_S
#define SEEDS 3

typedef struct packet {
	size_t from;
	size_t to;
	size_t bytes;
	char data[];
} packet_t;

void
sim_address(size_t i, char text[BF_ADDRESS_BYTES])
{
	snprintf(text, BF_ADDRESS_BYTES, "127.0.0.1:%zu", i);
}

void
sim_name(size_t i, char text[BF_NAME_BYTES])
{
	snprintf(text, BF_NAME_BYTES, "instance-%zu", i);
}

static packet_t *
packet_new(size_t from, size_t to, const void *data, size_t bytes)
{
	packet_t *packet;

	packet = g_malloc(sizeof(*packet) + bytes);
	packet->from = from;
	packet->to = to;
	packet->bytes = bytes;
	memcpy(packet->data, data, bytes);
	return packet;
}

static void
enqueue(sim_t *sim, size_t from, size_t to, const void *data, size_t bytes)
{
	size_t wheel_slot;

	wheel_slot = sim->wheel_position +
	    (size_t)g_rand_int_range(sim->rng, 1, SIM_LATENCY_STEPS_MAX + 1);
	g_ptr_array_add(sim->wheel[wheel_slot % (SIM_LATENCY_STEPS_MAX + 1)],
	    packet_new(from, to, data, bytes));
}

static bool
is_partitioned(const sim_t *sim, const sim_node_t *a, const sim_node_t *b)
{
	return a->zone != b->zone &&
	    ((sim->partitioned_zones >> a->zone |
		 sim->partitioned_zones >> b->zone) &
		1) != 0;
}

static bool
occurs(sim_t *sim, uint32_t percent)
{
	return percent > 0 &&
	    g_rand_int_range(sim->rng, 0, 100) < (gint32)percent;
}

static void
sim_send(bf_member_output_t *output, const char *instance, const char *address,
    const void *data, size_t bytes)
{
	sim_node_t *node = (sim_node_t *)output;
	sim_t *sim = node->sim;
	size_t to;

	if (instance[0] != '\0')
		to = strtoul(strchr(instance, '-') + 1, NULL, 10);
	else
		to = strtoul(strchr(address, ':') + 1, NULL, 10);
	node->sent++;
	node->sent_bytes += bytes;
	if (((const char *)data)[1] == BF_MESSAGE_CHANGES)
		node->changes_bytes += bytes;
	if (is_partitioned(sim, node, &sim->nodes[to]) ||
	    occurs(sim, sim->drop_percent))
		return;
	enqueue(sim, (size_t)(node - sim->nodes), to, data, bytes);
	if (occurs(sim, sim->repeat_percent))
		enqueue(sim, (size_t)(node - sim->nodes), to, data, bytes);
}

static void
sim_link(bf_member_output_t *output, const char *const *addresses, size_t count)
{
	sim_node_t *node = (sim_node_t *)output;

	(void)addresses;
	/* One successor per ring, and suspects that may still refute. */
	g_assert_cmpuint(count, <=,
	    BF_OVERLAY_RINGS + bf_member_counts(node->member).suspect);
}

static void
sim_redial(bf_member_output_t *output, const char *address)
{
	(void)output;
	(void)address;
}

static void
sim_peer_config(bf_member_output_t *output, const char *instance,
    const char *address, uint64_t version, bf_digest_t digest)
{
	sim_node_t *node = (sim_node_t *)output;

	(void)instance;
	(void)address;
	(void)digest;
	node->newest_version = MAX(node->newest_version, version);
}

static const bf_member_output_vtable_t sim_vtable = {
	.send = sim_send,
	.link = sim_link,
	.redial = sim_redial,
	.peer_config = sim_peer_config,
};

sim_t *
sim_new(size_t count, uint32_t zones, guint32 seed)
{
	sim_t *sim;
	size_t i;

	sim = g_new0(sim_t, 1);
	sim->count = count;
	sim->zones = zones;
	sim->rng = g_rand_new_with_seed(seed);
	sim->incarnation = 1000;
	sim->now_us = 1000 * BF_US_PER_S;
	sim->nodes = g_new0(sim_node_t, count);
	for (i = 0; i <= SIM_LATENCY_STEPS_MAX; i++)
		sim->wheel[i] = g_ptr_array_new();
	for (i = 0; i < count; i++) {
		sim->nodes[i].output.vtable = &sim_vtable;
		sim->nodes[i].sim = sim;
		sim->nodes[i].zone = (uint32_t)(i % zones);
		sim->nodes[i].backlog = g_ptr_array_new_with_free_func(g_free);
	}
	return sim;
}

void
sim_free(sim_t *sim)
{
	size_t i;

	for (i = 0; i < sim->count; i++) {
		bf_member_free(sim->nodes[i].member);
		g_ptr_array_unref(sim->nodes[i].backlog);
	}
	for (i = 0; i <= SIM_LATENCY_STEPS_MAX; i++) {
		g_ptr_array_set_free_func(sim->wheel[i], g_free);
		g_ptr_array_unref(sim->wheel[i]);
	}
	g_rand_free(sim->rng);
	g_free(sim->nodes);
	g_free(sim);
}

void
sim_start(sim_t *sim, size_t i)
{
	char seeds[SEEDS][BF_ADDRESS_BYTES];
	const char *list[SEEDS];
	bf_member_options_t options = {
		.seeds = list,
		.seed_count = SEEDS,
		.heartbeat_interval_us = HEARTBEAT_US,
		.suspect_after_us = 3 * HEARTBEAT_US,
		.dead_after_us = 5 * HEARTBEAT_US,
		.tombstone_lifetime_us = 600 * BF_US_PER_S,
		.pulls_per_s_max = 8,
		.rng_seed = 100 + i,
		.output = &sim->nodes[i].output,
	};
	size_t s;

	for (s = 0; s < SEEDS; s++) {
		sim_address(s, seeds[s]);
		list[s] = seeds[s];
	}
	sim_name(i, options.own.instance);
	sim_address(i, options.own.control_address);
	snprintf(
	    options.own.zone, BF_NAME_BYTES, "zone-%u", sim->nodes[i].zone);
	snprintf(options.own.region, BF_NAME_BYTES, "ro-centru");
	snprintf(
	    options.own.mesh_address, BF_ADDRESS_BYTES, "127.0.0.1:2%04zu", i);
	snprintf(options.own.service, BF_NAME_BYTES, "abonamente");
	snprintf(options.own.version, BF_NAME_BYTES, "v1");
	bf_member_free(sim->nodes[i].member);
	sim->nodes[i].member =
	    bf_member_new(&options, sim->incarnation++, sim->now_us);
	sim->nodes[i].up = true;
}

void
sim_kill(sim_t *sim, size_t i)
{
	sim->nodes[i].up = false;
}

static void
deliver(sim_t *sim, packet_t *packet)
{
	char sender[BF_NAME_BYTES];
	bf_message_kind_t kind;
	bf_wire_reader_t reader;
	sim_node_t *node;

	node = &sim->nodes[packet->to];
	if (!node->up) {
		g_free(packet);
		return;
	}
	if (node->paused) {
		g_ptr_array_add(node->backlog, packet);
		return;
	}
	bf_wire_reader_init(&reader, packet->data, packet->bytes);
	g_assert_cmpint(bf_wire_read_header(&reader, &kind, sender), ==, BF_OK);
	g_assert_cmpint(
	    bf_member_receive(node->member, kind, sender, &reader, sim->now_us),
	    ==, BF_OK);
	g_free(packet);
}

static void
run_node(sim_t *sim, size_t i)
{
	sim_node_t *node;
	size_t j;

	node = &sim->nodes[i];
	if (!node->up || node->paused)
		return;
	if (node->backlog->len > 0) {
		/* The control loop, too, runs a tick before it receives. */
		bf_member_tick(node->member, sim->now_us);
		for (j = 0; j < node->backlog->len; j++) {
			packet_t *packet = g_ptr_array_index(node->backlog, j);

			deliver(sim,
			    packet_new(packet->from, packet->to, packet->data,
				packet->bytes));
		}
		g_ptr_array_set_size(node->backlog, 0);
	}
	if ((sim->now_us / SIM_STEP_US + (bf_time_us_t)i) % 20 == 0 ||
	    bf_member_next_flush_us(node->member) <= sim->now_us)
		bf_member_tick(node->member, sim->now_us);
}

static void
sim_step(sim_t *sim)
{
	GPtrArray *due;
	size_t i;

	sim->now_us += SIM_STEP_US;
	sim->wheel_position =
	    (sim->wheel_position + 1) % (SIM_LATENCY_STEPS_MAX + 1);
	due = sim->wheel[sim->wheel_position];
	sim->wheel[sim->wheel_position] = g_ptr_array_new();
	for (i = 0; i < due->len; i++)
		deliver(sim, g_ptr_array_index(due, i));
	g_ptr_array_unref(due);
	for (i = 0; i < sim->count; i++)
		run_node(sim, i);
}

void
sim_run(sim_t *sim, bf_time_us_t duration_us)
{
	bf_time_us_t end_at_us;

	end_at_us = sim->now_us + duration_us;
	while (sim->now_us < end_at_us)
		sim_step(sim);
}

size_t
sim_count_views(sim_t *sim, size_t subject, bf_member_state_t state)
{
	char name[BF_NAME_BYTES];
	bf_record_t record;
	size_t count;
	size_t i;

	sim_name(subject, name);
	count = 0;
	for (i = 0; i < sim->count; i++) {
		if (!sim->nodes[i].up || i == subject)
			continue;
		count += bf_member_find(sim->nodes[i].member, name, &record) ==
			BF_OK &&
		    record.state == state;
	}
	return count;
}

static bool
has_converged(const sim_t *sim)
{
	bf_member_counts_t counts;
	uint64_t digest;
	uint32_t up;
	size_t i;

	up = 0;
	for (i = 0; i < sim->count; i++)
		up += sim->nodes[i].up;
	digest = 0;
	for (i = 0; i < sim->count; i++) {
		if (!sim->nodes[i].up)
			continue;
		counts = bf_member_counts(sim->nodes[i].member);
		if (counts.alive != up || counts.suspect != 0)
			return false;
		if (digest == 0)
			digest = bf_replica_digest(
			    bf_member_replica(sim->nodes[i].member), 0);
		if (digest !=
		    bf_replica_digest(
			bf_member_replica(sim->nodes[i].member), 0))
			return false;
	}
	return true;
}

bf_time_us_t
sim_run_until_converged(sim_t *sim, bf_time_us_t limit_us)
{
	bf_time_us_t start_us;

	start_us = sim->now_us;
	while (sim->now_us - start_us < limit_us) {
		if (has_converged(sim))
			return sim->now_us - start_us;
		sim_step(sim);
	}
	return -1;
}

uint64_t
sim_sum_changes_bytes(const sim_t *sim)
{
	uint64_t sum;
	size_t i;

	sum = 0;
	for (i = 0; i < sim->count; i++)
		sum += sim->nodes[i].changes_bytes;
	return sum;
}
