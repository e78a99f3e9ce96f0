#ifndef BF_MESH_RELAYS_H
#define BF_MESH_RELAYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Relays: the nodes of an availability zone that watch the operators' keys in
 * the store and forward changes to the other nodes.
 *
 * Handles the load pattern "one change, as many watches as nodes".  Each watch
 * is a call that is charged for, and transfers a whole configuration over the
 * node's link.
 */

/*
 * Two, so that one can fail or be partitioned while the other goes on; fewer
 * where other zones stand in, see bf_store_pace_watchers.
 */
#define BF_RELAYS_PER_ZONE 2

typedef struct bf_relay_candidate {
	const char *instance;
	uint32_t link_mbps; /* 0: not known */
	bool store_answers; /* its own requests succeed */
	bool is_self;
} bf_relay_candidate_t;

/*
 * Whether this node is one of the relay_count relays of its zone.  The
 * candidates are ranked by whether the store answers them, then by bandwidth,
 * then by name.  Every node decides alike from the same candidates; while their
 * views of the zone differ, there are more relays.
 */
bool bf_relays_include_self(
    const bf_relay_candidate_t *candidates, size_t count, uint32_t relay_count);

#endif
