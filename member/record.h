#ifndef BF_MEMBER_RECORD_H
#define BF_MEMBER_RECORD_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * The record that a node publishes to all others about itself and the target
 * beside it.  A record replaces another of the same instance when its
 * (incarnation, sequence) is greater.
 */

#define BF_NAME_BYTES 64
#define BF_ADDRESS_BYTES 64

typedef enum bf_member_state {
	BF_MEMBER_ALIVE,
	BF_MEMBER_SUSPECT, /* silent to a neighbour; may still refute */
	BF_MEMBER_LEFT,    /* announced that it leaves the mesh */
	BF_MEMBER_DEAD     /* did not refute the suspicion in time */
} bf_member_state_t;

typedef enum bf_target_state {
	BF_TARGET_ABSENT,  /* no target has announced itself */
	BF_TARGET_READY,   /* accepts calls */
	BF_TARGET_DRAINING /* completes calls in flight, accepts no new one */
} bf_target_state_t;

typedef struct bf_record {
	char instance[BF_NAME_BYTES]; /* unique name of the instance */
	char zone[BF_NAME_BYTES];
	char region[BF_NAME_BYTES];
	char control_address[BF_ADDRESS_BYTES]; /* "IP:port"; ZeroMQ */
	char mesh_address[BF_ADDRESS_BYTES];    /* "IP:port"; HTTP from peers */
	uint64_t incarnation; /* wall clock at start, in us; grows */
	uint64_t sequence;    /* grows with each change of the record */
	bf_member_state_t state;
	uint64_t config_version; /* in force at this node */

	/* The target beside the node. */
	bf_target_state_t target_state;
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	uint32_t slots;              /* maximum number of concurrent calls */
	uint64_t target_incarnation; /* grows with each start of the target */
} bf_record_t;

#endif
