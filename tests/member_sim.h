#ifndef BF_TESTS_MEMBER_SIM_H
#define BF_TESTS_MEMBER_SIM_H

#include <glib.h>

#include "member/member.h"

/*
 * Runs N membership state machines on one simulated clock, in one thread, with
 * latencies of messages from a seeded generator.  Messages are delivered as
 * encoded bytes, so that counts are exact and reproducible.
 */

#define SIM_STEP_US (5 * BF_US_PER_MS)
#define SIM_LATENCY_STEPS_MAX 4 /* latency: 1 to this many steps */

typedef struct sim sim_t;

typedef struct sim_node {
	bf_member_output_t output;
	sim_t *sim;
	bf_member_t *member;
	uint32_t zone;
	bool up;
	bool paused;
	bf_time_us_t wait_us; /* not used */
	GPtrArray *backlog;   /* packets received while it was paused */
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t changes_bytes; /* in CHANGES: floods and replies to pulls */
	uint64_t newest_version;
} sim_node_t;

struct sim {
	sim_node_t *nodes;
	size_t count;
	uint32_t zones;
	bf_time_us_t now_us;
	GRand *rng;
	/* Packets by the step of their delivery, modulo the length. */
	GPtrArray *wheel[SIM_LATENCY_STEPS_MAX + 1];
	size_t wheel_position;
	/* Bit mask of zones whose nodes cannot reach any other zone. */
	uint32_t partitioned_zones;
	uint32_t drop_percent;
	uint32_t repeat_percent;
	uint64_t incarnation; /* of the node started next */
};

sim_t *sim_new(size_t count, uint32_t zones, guint32 seed);
void sim_free(sim_t *sim);
void sim_start(sim_t *sim, size_t i);
void sim_kill(sim_t *sim, size_t i);
void sim_run(sim_t *sim, bf_time_us_t duration_us);

/*
 * Runs until all nodes that are up have the same records, with as many alive as
 * are up and none suspect; returns the time taken, or -1 after limit_us.
 */
bf_time_us_t sim_run_until_converged(sim_t *sim, bf_time_us_t limit_us);

/* Returns how many of the other nodes have the subject in that state. */
size_t sim_count_views(sim_t *sim, size_t subject, bf_member_state_t state);

uint64_t sim_sum_changes_bytes(const sim_t *sim);
void sim_address(size_t i, char text[BF_ADDRESS_BYTES]);
void sim_name(size_t i, char text[BF_NAME_BYTES]);

#endif
