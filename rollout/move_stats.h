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
 * What the callers of one availability zone saw of a move: the sum of all
 * nodes' grow-only tallies, as one of the zone's collectors publishes it.
 */

/* Bounds of what a decoder accepts. */
#define BF_MOVE_STATS_ROUTES_MAX 64
#define BF_MOVE_STATS_BYTES_MAX 32768

typedef struct bf_move_stats_route {
	char route[BF_NAME_BYTES];
	bf_tally_t old_version;
	bf_tally_t new_version;
} bf_move_stats_route_t;

/* What one zone's callers saw of a move. */
typedef struct bf_move_stats {
	char move_id[BF_NAME_BYTES];
	char zone[BF_NAME_BYTES];
	char instance[BF_NAME_BYTES]; /* the collector */
	bf_time_us_t at_us;           /* wall clock of the collector */
	bool complete; /* the zone carries all traffic on the new version */
	uint32_t route_count;
	bf_move_stats_route_t routes[BF_MOVE_STATS_ROUTES_MAX];
} bf_move_stats_t;

/* All calls of the pool. */
uint64_t bf_move_stats_count_calls(const bf_move_stats_t *pool);

/*
 * Encodes a pool into buffer, which has room for capacity bytes, and sets
 * *size_bytes.  BF_ERR_TOO_LARGE when it does not fit.
 */
bf_code_t bf_move_stats_encode(const bf_move_stats_t *pool, void *buffer,
    size_t capacity, size_t *size_bytes, bf_error_t *err);

/* BF_ERR_PARSE or BF_ERR_TOO_LARGE for anything that is not one whole pool. */
bf_code_t bf_move_stats_decode(const void *data, size_t data_bytes,
    bf_move_stats_t *pool, bf_error_t *err);

#endif
