#ifndef BF_MESH_RELAYS_H
#define BF_MESH_RELAYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which nodes of an availability zone follow the operators' keys in the store;
 * they tell the others.
 *
 * Answers the load pattern "one change, as many watches as nodes": each watch
 * is a priced call that brings a whole configuration over the node's link.
 */

/* One may be lost or cut off while the other goes on. */
#define BF_RELAYS_PER_ZONE 2

typedef struct bf_relay_candidate {
	const char *instance;
	uint32_t link_mbps; /* 0: not stated */
	bool store_answers; /* the store answers it */
	bool self;
} bf_relay_candidate_t;

/*
 * Whether this node is among the first of its zone: those that the store
 * answers, then the widest links, then by name.  Every node decides alike
 * from the same candidates; where views differ for a moment, more follow.
 */
bool bf_relays_include_self(
    const bf_relay_candidate_t *candidates, size_t count, uint32_t wanted);

#endif
