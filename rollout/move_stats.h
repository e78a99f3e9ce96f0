#ifndef BF_ROLLOUT_MOVE_STATS_H
#define BF_ROLLOUT_MOVE_STATS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "member/record.h"
#include "rollout/evidence.h"

/*
 * Call statistics of a move: cumulative tallies of each route on the old and
 * the new version.  One of the collectors of an availability zone publishes the
 * sum over the zone's instances, as the control plane's item of kind "pool",
 * which is BF_ITEM_MOVE_STATS in node/moves.h.
 */

/* Limits of what a decoder accepts. */
#define BF_MOVE_STATS_ROUTES_MAX 64
#define BF_MOVE_STATS_BYTES_MAX 32768

typedef struct bf_move_stats_route {
	char route[BF_NAME_BYTES];
	bf_tally_t old_version;
	bf_tally_t new_version;
} bf_move_stats_route_t;

typedef struct bf_move_stats {
	char move_id[BF_NAME_BYTES];
	char zone[BF_NAME_BYTES];
	char instance[BF_NAME_BYTES]; /* the collector that summed them */
	bf_time_us_t at_us;           /* wall clock of the collector */
	bool complete; /* the zone has all traffic on the new version */
	uint32_t route_count;
	bf_move_stats_route_t routes[BF_MOVE_STATS_ROUTES_MAX];
} bf_move_stats_t;

/* Returns the number of calls on both versions of all routes. */
uint64_t bf_move_stats_count_calls(const bf_move_stats_t *stats);

/*
 * Encodes statistics into buffer, which has room for capacity bytes, and sets
 * *size_bytes.  Returns BF_ERR_TOO_LARGE when they do not fit.
 */
bf_code_t bf_move_stats_encode(const bf_move_stats_t *stats, void *buffer,
    size_t capacity, size_t *size_bytes, bf_error_t *err);

/*
 * Decodes statistics.  Returns BF_ERR_PARSE or BF_ERR_TOO_LARGE for anything
 * but one complete message, and BF_ERR_MEMORY when out of memory.
 */
bf_code_t bf_move_stats_decode(const void *data, size_t data_bytes,
    bf_move_stats_t *stats, bf_error_t *err);

#endif
