#ifndef BF_BASE_COUNTER_H
#define BF_BASE_COUNTER_H

#include <stdint.h>

/*
 * Counters and gauges.  Each counting thread owns a shard and is its only
 * writer; readers sum all shards.  Updates take no lock, and threads share no
 * cache line.
 */

#define BF_COUNTERS_MAX 256

typedef struct bf_counters bf_counters_t;
typedef struct bf_counter_shard bf_counter_shard_t;
typedef uint32_t bf_counter_id_t;

bf_counters_t *bf_counters_new(void);

/* Frees the registry and all its shards. */
void bf_counters_free(bf_counters_t *counters);

/*
 * Returns the id of the counter called name, registering it on first use.
 * name is copied and follows the Prometheus rules ("bf_calls_total").  May be
 * called by any thread.  The last of the BF_COUNTERS_MAX ids is shared by all
 * names that do not fit, and is called "bf_counters_overflow".
 */
bf_counter_id_t bf_counters_register(bf_counters_t *counters, const char *name);

/* Adds a shard for the calling thread; NULL when out of memory. */
bf_counter_shard_t *bf_counters_add_shard(bf_counters_t *counters);

/* Adds n to a counter; only the shard's owner may call it. */
void bf_counter_add(bf_counter_shard_t *shard, bf_counter_id_t id, uint64_t n);

/* Sets a gauge; it must be written through one shard only. */
void bf_counter_set(bf_counter_shard_t *shard, bf_counter_id_t id, uint64_t n);

/* The sum over all shards. */
uint64_t bf_counters_sum(const bf_counters_t *counters, bf_counter_id_t id);

/* Calls visit once for each registered counter, in order of registration. */
void bf_counters_each(const bf_counters_t *counters,
    void (*visit)(void *ctx, const char *name, uint64_t value), void *ctx);

#endif
