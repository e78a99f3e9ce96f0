#ifndef BF_CONTROL_AGENT_H
#define BF_CONTROL_AGENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "config/snapshot.h"
#include "control/message.h"

/*
 * State machine that holds the configuration in force and replicates newer
 * ones.  A new version arrives in one of two ways: the relay reads it from the
 * store and offers it, or a peer announces it.  For an announced version the
 * agent pulls a delta against its own version, or else the full snapshot, from
 * a peer that announced it.
 *
 * Guarantees: the version in force only increases.  A version is put in force
 * only if it is not below the floor, its snapshot is complete, its version and
 * digest match an announcement (unless it comes from the store), and the
 * output's apply accepted it.  On any failure the version in force stays.
 */

typedef struct bf_agent bf_agent_t;
typedef struct bf_agent_output bf_agent_output_t;

typedef struct bf_agent_output_vtable {
	/* See bf_member_output_vtable_t.send. */
	void (*send)(bf_agent_output_t *output, const char *instance,
	    const char *address, const void *data, size_t data_bytes);
	/* Sends to all neighbours except one instance; "" excludes none. */
	void (*announce)(bf_agent_output_t *output, const char *except,
	    const void *data, size_t data_bytes);
	/*
	 * Puts a snapshot in force.  On BF_OK it stays valid until another is
	 * put in force; otherwise the agent frees it.
	 */
	bf_code_t (*apply)(
	    bf_agent_output_t *output, const bf_snapshot_t *snapshot);
} bf_agent_output_vtable_t;

struct bf_agent_output {
	const bf_agent_output_vtable_t *vtable;
};

typedef struct bf_agent_counts {
	uint64_t applied;
	uint64_t applied_delta; /* part of applied: received as a delta */
	uint64_t stale;         /* received, not newer than the one in force */
	uint64_t below_floor;
	uint64_t bad_digest;   /* content or announcement with another digest */
	uint64_t bad_base;     /* deltas against another base */
	uint64_t check_failed; /* malformed, invalid or rejected by apply */
	uint64_t gets_sent;
	uint64_t deltas_served;
	uint64_t snapshots_served;
	uint64_t refused; /* requests of peers answered with a refusal */
	uint64_t timeouts;
} bf_agent_counts_t;

bf_agent_t *bf_agent_new(
    const char *instance, bf_agent_output_t *output, uint64_t rng_seed);
void bf_agent_free(bf_agent_t *agent);

/*
 * Sets the lowest version that may be put in force.  Until is_final is true the
 * floor may still rise, and the agent does not pull from peers (see
 * bf_member_joined).
 */
void bf_agent_set_floor(bf_agent_t *agent, uint64_t floor, bool is_final);

/* Records that a peer has this version in force, and pulls it if newer. */
void bf_agent_observe_version(bf_agent_t *agent, const char *instance,
    const char *address, uint64_t version, bf_digest_t digest,
    bf_time_us_t now_us);

/*
 * Handles a message of the kinds BF_MESSAGE_ANNOUNCE to BF_MESSAGE_REFUSED
 * whose header was read.
 */
bf_code_t bf_agent_receive(bf_agent_t *agent, bf_message_kind_t kind,
    const char *from, bf_wire_reader_t *reader, bf_time_us_t now_us);

/*
 * Puts a snapshot read from the store in force.  The agent takes ownership in
 * any case.  BF_ERR_STALE when it is not newer than the one in force or below
 * the floor; else what apply returned.
 */
bf_code_t bf_agent_offer(
    bf_agent_t *agent, bf_snapshot_t *snapshot, bf_time_us_t now_us);

/* Retries and times out pulls; to be called about every 100 ms. */
void bf_agent_tick(bf_agent_t *agent, bf_time_us_t now_us);

/* The snapshot in force, or NULL; valid until another is put in force. */
const bf_snapshot_t *bf_agent_current(const bf_agent_t *agent);

/*
 * Records that some node of the mesh has this version.  While the version in
 * force here is older, it is not served to peers: a requester may have run
 * the newer one before a restart and must not go back to an older one.
 */
void bf_agent_raise_mesh_version(bf_agent_t *agent, uint64_t version);

/*
 * Whether the version in force may be served; see bf_member_config_confirmed.
 */
void bf_agent_set_confirmed(bf_agent_t *agent, bool confirmed);

/*
 * The version that the node should run: the greatest that is known to exist in
 * the mesh, or the one in force if apply rejected that version or a greater.
 */
uint64_t bf_agent_desired_version(const bf_agent_t *agent);

/* The greatest version announced by a peer or in force here; 0: none. */
uint64_t bf_agent_newest_version(const bf_agent_t *agent);

/* The version in force, 0 if there is none, is below the floor. */
bool bf_agent_is_below_floor(const bf_agent_t *agent);

bf_agent_counts_t bf_agent_counts(const bf_agent_t *agent);

#endif
