#ifndef BF_MESH_STORE_PACE_H
#define BF_MESH_STORE_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * When a node calls the store for its own record and for the list of nodes.
 *
 * Handles the load pattern "as many callers as nodes": every call is charged
 * for and counts towards a rate that all nodes share.  A node that is connected
 * to others learns from them who is there, so it depends less on the store than
 * one that knows nobody.
 */

/*
 * A lease outlasts the usual failures of the store, after which every node
 * would have to register anew.  That a node is gone is known from its
 * connections; its record only tells where to dial.
 */
#define BF_LEASE_TTL_MS 20000

/*
 * Longest wait of a watch.  A connection on which it has fallen silent is known
 * once the wait and the timeout of a call are over, and nothing is read from
 * the store until then.
 */
#define BF_WATCH_WAIT_MS 2500

/* What a node knows when it decides about a call. */
typedef struct bf_store_pace {
	bool first_start; /* the whole mesh starts for the first time */
	bool has_peers;   /* connected to at least one other node */
	bool has_target;  /* the node's target has announced itself */
	/* The target has left, and the record may not say so yet. */
	bool has_departure;
	bf_time_us_t started_at_us; /* when the node started */
	uint32_t failures;          /* consecutive, of the last calls */
	uint32_t stale_lists; /* consecutive lists older than the record */
} bf_store_pace_t;

/* A third of the lease's time, so that two renewals may be lost. */
bf_time_us_t bf_store_pace_renewal_us(void);

/*
 * Delay before the next attempt after pace->failures.  It doubles, less a
 * random part of up to one half.
 */
bf_time_us_t bf_store_pace_retry_us(
    const bf_store_pace_t *pace, uint64_t *random);

/*
 * Delay of the first write of the own record; 0: at once.  When the whole mesh
 * starts for the first time, there are no callers yet, and the record is
 * written once with the target instead of once without and once with it.
 */
bf_time_us_t bf_store_pace_first_write_us(
    const bf_store_pace_t *pace, bf_time_us_t now_us);

/*
 * Whether the next list may be an old one, which the store serves at a lower
 * price.  One that is older than the node's own record is followed by another.
 */
bool bf_store_pace_may_be_stale(const bf_store_pace_t *pace);

/* Delay before a list is repeated that was older than the own record. */
bf_time_us_t bf_store_pace_list_again_us(void);

/*
 * Whether the node knows the other nodes well enough to decide whether it is a
 * relay.  One that decides too early, before it is connected, becomes one.
 * listed_at_us: when it first read a complete list of nodes; 0: not yet.
 */
bool bf_store_pace_knows_nodes(const bf_store_pace_t *pace,
    bf_time_us_t listed_at_us, bf_time_us_t now_us);

/*
 * Whether the node has to judge the other nodes by their records: it listed
 * them a short time ago and is still connecting to them.  Not when the whole
 * mesh starts for the first time, as there are no callers yet that wait.
 */
bool bf_store_pace_knows_records(const bf_store_pace_t *pace,
    bf_time_us_t listed_at_us, bf_time_us_t now_us);

/*
 * How many nodes of each availability zone watch the operators' keys, if nodes
 * of zone_count zones are connected.
 */
uint32_t bf_store_pace_watchers(uint32_t zone_count);

#endif
