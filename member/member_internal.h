#ifndef BF_MEMBER_MEMBER_INTERNAL_H
#define BF_MEMBER_MEMBER_INTERNAL_H

#include <gsl/gsl_rng.h>

#include "member/member.h"
#include "member/versions.h"

/* Shared by the files of the membership state machine. */

#define SEEDS_MAX 64

/* Flags of HELLO and WELCOME. */
#define HELLO_LINK 1u    /* the sender makes the receiver its neighbour */
#define HELLO_JOINING 2u /* the sender has no table yet to pull from */
#define HELLO_PROBE 4u   /* sent to find a member across a healed partition */
#define HELLO_CONFIRM 8u /* requests the version in force, after a pause */
#define HELLO_FLAGS_MAX 15u

/* Flags of CHANGES. */
#define CHANGES_REPLY 1u /* reply to a PULL, not a flooded change */
#define CHANGES_LAST 2u  /* last message of that reply */
#define CHANGES_FLAGS_MAX 3u

/* The replica's tag of a record in that state; 0 is the tag of a new entry. */
#define STATE_TAG(state) ((uint8_t)((state) + 1))

struct bf_member {
	bf_replica_kind_t kind; /* first member; see member_merge.c */
	bf_member_options_t options;
	char seeds[SEEDS_MAX][BF_ADDRESS_BYTES];
	size_t seed_count;
	bf_record_t own;
	bf_replica_t *replica;
	bf_versions_t *versions;
	bf_peers_t peers;
	bf_overlay_t overlay;
	bf_wire_writer_t writer;
	gsl_rng *rng;
	uint64_t config_version;
	uint64_t mesh_version;   /* greatest that some node is known to have */
	bool config_unconfirmed; /* since a pause; see member.h */
	bf_digest_t config_digest;

	bf_time_us_t last_tick_us;
	bf_time_us_t next_heartbeat_us;
	bf_time_us_t next_overlay_us;
	bf_time_us_t next_join_us;
	/* Start, or end of the last pause; suspicions age from then on. */
	bf_time_us_t resumed_at_us;
	bf_time_us_t last_flush_us;
	bf_time_us_t last_versions_us;
	bf_time_us_t last_change_us;
	bf_time_us_t next_pull_us; /* timeout of the pull in progress, if any */
	bf_time_us_t last_versions_pull_us;
	char pull_source[BF_NAME_BYTES];
	bf_time_us_t pull_window_start_us; /* of one second */
	uint32_t pulls_in_window;          /* received, served or refused */
	uint32_t join_attempts;
	uint64_t heartbeats;
	uint32_t state_counts[BF_MEMBER_DEAD + 1]; /* records by state */

	bool overlay_dirty;
	bool membership_changed;
	bool must_flush;  /* without waiting for the flush interval */
	bool must_refute; /* a received record of this instance is wrong */
	bool joined;
	bf_member_counts_t counts;
};

/* member.c */
void bf_member_send_message(
    bf_member_t *member, const char *instance, const char *address);
void bf_member_send_hello(bf_member_t *member, bf_message_kind_t kind,
    const char *instance, const char *address, unsigned flags, uint64_t floor);
void bf_member_write_state(bf_member_t *member);
void bf_member_publish_own(bf_member_t *member, bf_time_us_t now_us);
void bf_member_refute(
    bf_member_t *member, const char *from, bf_time_us_t now_us);
void bf_member_flush(bf_member_t *member, bf_time_us_t now_us);
void bf_member_start_pull(bf_member_t *member, const char *instance,
    const char *address, bf_time_us_t now_us);
bool bf_member_is_quiet(const bf_member_t *member, bf_time_us_t now_us);

/* member_merge.c */
extern const bf_replica_vtable_t bf_member_record_vtable;

/* member_link.c */
void bf_member_update_overlay(bf_member_t *member, bf_time_us_t now_us);

/* member_watch.c */
void bf_member_check_peers(bf_member_t *member, bf_time_us_t now_us);
void bf_member_handle_pause(bf_member_t *member, bf_time_us_t now_us);

#endif
