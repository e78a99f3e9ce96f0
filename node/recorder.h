#ifndef BF_NODE_RECORDER_H
#define BF_NODE_RECORDER_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <apr_pools.h>

/*
 * Records the inputs of one move's rollout as a trace (see rollout/trace.h), so
 * that its decisions can be replayed exactly.  A replay needs the first events,
 * so these are kept, and events over the limit are discarded.
 */

typedef struct bf_recorder bf_recorder_t;

/* Returns NULL when events_max is 0 (recording is off) or out of memory. */
bf_recorder_t *bf_recorder_new(uint32_t events_max);

void bf_recorder_free(bf_recorder_t *recorder);

/*
 * Returns the stream to write the next event to; NULL when events_max are
 * recorded or recorder is NULL.
 */
FILE *bf_recorder_begin_event(bf_recorder_t *recorder);

/*
 * Returns the trace up to now as text allocated from pool; "" when recorder is
 * NULL.
 */
const char *bf_recorder_text(bf_recorder_t *recorder, apr_pool_t *pool);

#endif
