#ifndef BF_MEMBER_MEMBER_H
#define BF_MEMBER_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "control/message.h"
#include "member/overlay.h"
#include "member/peers.h"
#include "member/record.h"
#include "member/replica.h"

/*
 * Membership and failure detection as a state machine.  Its inputs are events
 * and the current time; it sends messages to other nodes through
 * bf_member_output_t.  It reads no clock and opens no socket, so a test can run
 * hundreds of instances on a simulated clock.
 *
 * Guarantees: a record is only replaced by one with a greater (incarnation,
 * sequence), or with the same and a state of higher precedence; a member
 * becomes DEAD only after it had time to refute a suspicion; a process that was
 * paused declares no member dead for messages that it missed meanwhile.
 */

#define BF_MEMBER_REPLICA_KIND 0 /* kind of the records in the replica */

typedef struct bf_member bf_member_t;
typedef struct bf_member_output bf_member_output_t;

typedef struct bf_member_output_vtable {
	/*
	 * Sends a message, at most once, to an instance ("": to whichever
	 * instance listens on address).  Opens a connection to address if there
	 * is none.
	 */
	void (*send)(bf_member_output_t *output, const char *instance,
	    const char *address, const void *data, size_t data_bytes);
	/* Keeps connections to exactly these addresses. */
	void (*link)(bf_member_output_t *output, const char *const *addresses,
	    size_t count);
	/* Replaces a connection on which nothing is received any more. */
	void (*redial)(bf_member_output_t *output, const char *address);
	/* Reports the configuration that a peer has in force. */
	void (*peer_config)(bf_member_output_t *output, const char *instance,
	    const char *address, uint64_t version, bf_digest_t digest);
} bf_member_output_vtable_t;

struct bf_member_output {
	const bf_member_output_vtable_t *vtable;
};

typedef struct bf_member_options {
	bf_record_t own; /* initial; incarnation and state are overwritten */
	const char *const *seeds; /* control addresses to join the mesh at */
	size_t seed_count;
	bf_time_us_t heartbeat_interval_us;
	bf_time_us_t suspect_after_us;      /* of silence */
	bf_time_us_t dead_after_us;         /* of suspicion */
	bf_time_us_t tombstone_lifetime_us; /* of dead and left members */
	uint32_t pulls_per_s_max;           /* table pulls served per second */
	uint64_t rng_seed;
	bf_member_output_t *output;
} bf_member_options_t;

typedef struct bf_member_counts {
	uint32_t alive; /* including this instance */
	uint32_t suspect;
	uint32_t left;
	uint32_t dead;
	uint64_t refutations;
	uint64_t suspicions; /* raised by this node */
	uint64_t deaths;     /* declared by this node's own timer */
	uint64_t pauses;     /* pauses of this process, as detected by tick */
	/* Checks of a silent neighbour while most others were silent too. */
	uint64_t isolations;
	uint64_t pulls_sent;
	uint64_t pulls_served;
	uint64_t pulls_refused;
	uint64_t bad_messages;
} bf_member_counts_t;

/*
 * incarnation is the wall clock in microseconds at start.  Returns NULL when
 * out of memory.
 */
bf_member_t *bf_member_new(const bf_member_options_t *options,
    uint64_t incarnation, bf_time_us_t now_us);
void bf_member_free(bf_member_t *member);

/*
 * Returns the replicated table, in which the caller may register kinds other
 * than BF_MEMBER_REPLICA_KIND.
 */
bf_replica_t *bf_member_replica(bf_member_t *member);

/* Adds an address to join the mesh at. */
void bf_member_add_seed(bf_member_t *member, const char *address);

/*
 * Processes a message of a kind below BF_MESSAGE_ANNOUNCE, whose header has
 * been read.  Malformed bytes give a typed error; of such a message, only the
 * complete entries before the error take effect.
 */
bf_code_t bf_member_receive(bf_member_t *member, bf_message_kind_t kind,
    const char *from, bf_wire_reader_t *reader, bf_time_us_t now_us);

/* Must be called at least every 100 ms, and at bf_member_next_flush_us. */
void bf_member_tick(bf_member_t *member, bf_time_us_t now_us);

/* Returns when the next batch of changes is due; INT64_MAX: there is none. */
bf_time_us_t bf_member_next_flush_us(const bf_member_t *member);

/*
 * Announces the state of the target beside the node at once: of fields,
 * target_state, service, version, slots and target_incarnation are read.
 */
void bf_member_set_target(
    bf_member_t *member, const bf_record_t *fields, bf_time_us_t now_us);

/*
 * Records that some node of the mesh has this configuration version.  The
 * greatest one is sent to a node that joins, as its floor: that node may have
 * run this version before a restart.
 */
void bf_member_raise_mesh_version(bf_member_t *member, uint64_t version);

/* Returns the greatest version that some node of the mesh is known to have. */
uint64_t bf_member_mesh_version(const bf_member_t *member);

/*
 * Confirms the configuration in force by a read of the store that began at
 * read_us and found version.  This is needed after a pause of the process,
 * unless a peer confirms it by having that version or a greater one.  Until
 * then the configuration is not announced and must not be served.
 */
void bf_member_confirm_config(
    bf_member_t *member, uint64_t version, bf_time_us_t read_us);
bool bf_member_config_confirmed(const bf_member_t *member);

/* Announces the configuration in force. */
void bf_member_set_config(bf_member_t *member, uint64_t version,
    bf_digest_t digest, bf_time_us_t now_us);

/* Announces at once that this instance leaves the mesh. */
void bf_member_leave(bf_member_t *member, bf_time_us_t now_us);

/* Whether the first full table pull is done, or there is no peer for it. */
bool bf_member_joined(const bf_member_t *member);

/*
 * Returns the floor, the lowest configuration version that this instance may
 * serve: the greatest that an instance of its name ever announced, or that a
 * peer reported when this one joined.
 */
uint64_t bf_member_floor_version(const bf_member_t *member);

/*
 * Copies the record of an instance, without its configuration version; returns
 * BF_ERR_NOT_FOUND when there is none.
 */
bf_code_t bf_member_find(
    const bf_member_t *member, const char *instance, bf_record_t *record);

/* Returns the number of records, including those of dead members. */
size_t bf_member_record_count(const bf_member_t *member);

/*
 * Copies all records with their configuration version, sorted by instance,
 * into records, which has room for bf_member_record_count of them; returns
 * their number.
 */
size_t bf_member_records(const bf_member_t *member, bf_record_t *records);

/* Whether a record has changed since the last call. */
bool bf_member_poll_changed(bf_member_t *member);

/* Returns a digest of the configuration versions of all instances. */
uint64_t bf_member_versions_digest(const bf_member_t *member);

/*
 * Returns the rank of this instance: the number of alive members of its zone
 * with a lower hash of the name.  Tasks that need only a few nodes are given to
 * those of lowest rank.
 */
uint32_t bf_member_zone_rank(const bf_member_t *member);

const bf_peers_t *bf_member_peers(const bf_member_t *member);
bf_member_counts_t bf_member_counts(const bf_member_t *member);

#endif
