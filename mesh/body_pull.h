#ifndef BF_MESH_BODY_PULL_H
#define BF_MESH_BODY_PULL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/clock.h"

/*
 * Transfer of large request bodies to the node beside a target.  An entry
 * offers a call without its body, and the node requests the body in parts.
 *
 * Handles the load pattern "many entries send large bodies to a node with a
 * thin link".  Entries that send at will fill the link for seconds, as each
 * knows only its own bodies, and every other frame waits behind them.  Only the
 * receiver knows all of them: it never has more under way than its link carries
 * in a short time, nor more of one body than the link of its entry does.
 */

typedef struct bf_body_pull bf_body_pull_t;
struct bf_body_pull {
	TAILQ_ENTRY(bf_body_pull) link;
	uint32_t priority;  /* 0 is the most urgent */
	uint32_t link_mbps; /* of the entry; 0: unknown */
	size_t total_bytes;
	size_t requested_bytes;
	size_t received_bytes;
	size_t under_way_bytes;      /* requested and counted in the window */
	bf_time_us_t progress_at_us; /* last request or part */
};

TAILQ_HEAD(bf_body_pull_list, bf_body_pull);

typedef struct bf_body_pulls {
	struct bf_body_pull_list list; /* by priority, then by arrival */
	uint32_t count;
	uint32_t link_mbps;
	size_t part_bytes;
	size_t window_bytes;
	size_t under_way_bytes;
} bf_body_pulls_t;

/* link_mbps: rate of the node's link; 0: unknown. */
void bf_body_pulls_init(bf_body_pulls_t *pulls, uint32_t link_mbps);

/* Adds a body; its first three members are set, all else is zero. */
void bf_body_pulls_add(
    bf_body_pulls_t *pulls, bf_body_pull_t *pull, bf_time_us_t now_us);
void bf_body_pulls_remove(bf_body_pulls_t *pulls, bf_body_pull_t *pull);

/*
 * The next part to request, which counts as requested; NULL when the window is
 * full or all parts are requested.  A body of which nothing arrives for a while
 * no longer counts in the window, as its entry may be stopped or cut off.
 */
bf_body_pull_t *bf_body_pulls_next(
    bf_body_pulls_t *pulls, size_t *offset, size_t *bytes, bf_time_us_t now_us);

/* Records a received part; true if the body is complete. */
bool bf_body_pulls_received(bf_body_pulls_t *pulls, bf_body_pull_t *pull,
    size_t bytes, bf_time_us_t now_us);

/* Time until a body that is added now is complete, at the rate of the link. */
bf_time_us_t bf_body_pulls_expected_us(
    const bf_body_pulls_t *pulls, uint32_t priority, size_t bytes);

#endif
