#ifndef BF_MEMBER_OVERLAY_H
#define BF_MEMBER_OVERLAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "member/record.h"

/*
 * Selects the neighbours of a node.  Members are ordered on rings by a hash of
 * their name with the ring's seed: two rings of the own availability zone and
 * one of all members.  A node connects to its successor on each ring, and its
 * predecessor connects to it, so that it has about six neighbours whatever the
 * number of members, and a join or leave changes only the neighbours of the
 * members next to it.
 */

#define BF_OVERLAY_RINGS 4

typedef struct bf_overlay_ring {
	bool all_zones; /* all members, not only those of the own zone */
	uint64_t seed;
	uint64_t own_hash;
	uint64_t successor_hash;
	uint64_t predecessor_hash;
	char successor[BF_NAME_BYTES]; /* "" when there is no other member */
	char predecessor[BF_NAME_BYTES];
} bf_overlay_ring_t;

typedef struct bf_overlay {
	bf_overlay_ring_t rings[BF_OVERLAY_RINGS];
	char own_instance[BF_NAME_BYTES];
	char own_zone[BF_NAME_BYTES];
	uint32_t zone_member_count; /* members of the own zone with this one */
} bf_overlay_t;

/* Initializes the overlay of a node without other members. */
void bf_overlay_init(
    bf_overlay_t *overlay, const char *instance, const char *zone);

/* Adds a member; the order of calls does not matter. */
void bf_overlay_add(
    bf_overlay_t *overlay, const char *instance, const char *zone);

/*
 * Returns the number of rings in use.  The last one, a second ring of all
 * members, is used only while the own availability zone has too few members
 * for its two rings to give two neighbours.
 */
size_t bf_overlay_ring_count(const bf_overlay_t *overlay);

/* Whether instance is the successor on a ring in use. */
bool bf_overlay_dials(const bf_overlay_t *overlay, const char *instance);

/* Whether instance is the predecessor on a ring in use. */
bool bf_overlay_dialled_by(const bf_overlay_t *overlay, const char *instance);

#endif
