#ifndef BF_ROLLOUT_EVIDENCE_H
#define BF_ROLLOUT_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "route/endpoint.h"

/*
 * Results of the calls sent by this node, as evidence on each version: tallies
 * by (service, route, version) that only grow.  Each worker thread owns a shard
 * and is its only writer, so that counting takes no lock.  A read sums the
 * shards.
 */

/*
 * Buckets of the latency histogram.  Bucket k counts latencies of up to
 * bf_tally_edge_us(k) microseconds (0.5 ms, doubling), the last one all longer
 * latencies.
 */
#define BF_TALLY_BUCKETS 16

#define BF_EVIDENCE_CELLS_MAX 4096

/* Passed as the latency of a call that is counted without its latency. */
#define BF_LATENCY_NOT_COUNTED INT64_C(-1)

/*
 * Time after its start in which a target's latencies are not counted: a cold
 * start is slow with any version.
 */
#define BF_TARGET_WARM_UP_US (15 * BF_US_PER_S)

typedef struct bf_tally {
	uint64_t calls; /* those that ran or may have run */
	uint64_t failures;
	/* Histogram of those calls whose latency was counted. */
	uint64_t latency[BF_TALLY_BUCKETS];
} bf_tally_t;

typedef struct bf_evidence bf_evidence_t;
typedef struct bf_evidence_shard bf_evidence_shard_t;
typedef uint32_t bf_evidence_cell_t;

/* Returns the upper edge of a bucket; INT64_MAX for the last one. */
bf_time_us_t bf_tally_edge_us(uint32_t bucket);

/* Adds every count of other to tally. */
void bf_tally_add(bf_tally_t *tally, const bf_tally_t *other);

/* Returns tally minus base; a count that would be negative is zero. */
bf_tally_t bf_tally_since(const bf_tally_t *tally, const bf_tally_t *base);

/*
 * Merges two copies of one tally: keeps the greater value of each count, as
 * the counts only grow.
 */
void bf_tally_merge(bf_tally_t *tally, const bf_tally_t *other);

/* Returns NULL when out of memory. */
bf_evidence_t *bf_evidence_new(void);

/* Frees the registry and all its shards. */
void bf_evidence_free(bf_evidence_t *evidence);

/*
 * Returns the cell of (service, route, version), which is registered at first
 * use and stays the same for the lifetime of the registry.  Thread-safe; takes
 * a lock and is therefore called when a table is compiled, not for each call.
 * The last of the BF_EVIDENCE_CELLS_MAX cells is shared by all keys that found
 * no other one free, and is never read.
 */
bf_evidence_cell_t bf_evidence_register_cell(bf_evidence_t *evidence,
    const char *service, const char *route, const char *version);

/* Adds a shard for the calling thread.  Returns NULL when out of memory. */
bf_evidence_shard_t *bf_evidence_shard(bf_evidence_t *evidence);

/*
 * Counts one finished call; only the owner of the shard may do so.  OK, FAILED
 * and UNKNOWN are counted (UNKNOWN as a failure); NOT_RUN and CANCELLED are no
 * evidence on a version.  Pass BF_LATENCY_NOT_COUNTED when the target started
 * less than BF_TARGET_WARM_UP_US ago; failures are always counted.
 */
void bf_evidence_add(bf_evidence_shard_t *shard, bf_evidence_cell_t cell,
    bf_endpoint_result_t result, bf_time_us_t latency_us);

/* Reads the sum of the cell over all shards.  Thread-safe. */
void bf_evidence_read(
    const bf_evidence_t *evidence, bf_evidence_cell_t cell, bf_tally_t *tally);

#endif
