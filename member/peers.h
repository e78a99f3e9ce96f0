#ifndef BF_MEMBER_PEERS_H
#define BF_MEMBER_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "member/record.h"

/*
 * The neighbours of a node: the peers that it connects to and those that
 * connect to it.  The index of a neighbour's slot is its bit in the sets of
 * neighbours that have a change (see bf_replica_merge).
 */

#define BF_PEERS_MAX 32

/* The tables whose digests a heartbeat carries. */
typedef enum bf_peer_digest {
	BF_PEER_DIGEST_RECORDS,
	BF_PEER_DIGEST_ITEMS,
	BF_PEER_DIGEST_VERSIONS,
	BF_PEER_DIGEST_COUNT
} bf_peer_digest_t;

typedef struct bf_peer {
	char instance[BF_NAME_BYTES]; /* "": the slot is free */
	char address[BF_ADDRESS_BYTES];
	bool is_dialled; /* this node connects to it, not the reverse */
	bf_time_us_t linked_at_us;
	bf_time_us_t last_received_us; /* a HELLO, WELCOME or HEARTBEAT */
	bf_time_us_t last_dial_us;
	/* Consecutive heartbeats whose digest differed from this node's. */
	uint32_t mismatches[BF_PEER_DIGEST_COUNT];
} bf_peer_t;

typedef struct bf_peers {
	bf_peer_t slots[BF_PEERS_MAX];
} bf_peers_t;

/* Returns the neighbour of that name, or NULL. */
bf_peer_t *bf_peers_find(bf_peers_t *peers, const char *instance);

/*
 * Returns the neighbour of that name, which is added if there is none; NULL
 * when all slots are in use.
 */
bf_peer_t *bf_peers_add(bf_peers_t *peers, const char *instance,
    const char *address, bf_time_us_t now_us);

void bf_peers_remove(bf_peer_t *peer);

size_t bf_peers_count(const bf_peers_t *peers);

/* Returns the set of this instance alone; 0 when it is no neighbour. */
uint64_t bf_peers_slot_bit(bf_peers_t *peers, const char *instance);

#endif
