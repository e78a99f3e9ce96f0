#ifndef BF_ROLLOUT_EVIDENCE_H
#define BF_ROLLOUT_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "route/endpoint.h"

/*
 * What the calls of this node showed of each version: grow-only tallies by
 * (service, route, version).  Each worker thread owns a shard and is its only
 * writer; adding takes no lock.  Reading sums the shards.
 */

/*
 * Latency buckets.  Bucket k holds answers of up to bf_tally_edge_us(k)
 * microseconds (0.5 ms, doubling); the last one holds the rest.
 */
#define BF_TALLY_BUCKETS 16

#define BF_EVIDENCE_CELLS_MAX 4096

/* A latency that is not to be counted, as that of a target just started. */
#define BF_LATENCY_NOT_COUNTED INT64_C(-1)

/* How long after its start a target's latency says nothing of its version. */
#define BF_TARGET_WARM_UP_US (15 * BF_US_PER_S)

typedef struct bf_tally {
	uint64_t calls; /* that ran or may have run */
	uint64_t failures;
	uint64_t latency[BF_TALLY_BUCKETS]; /* of the calls that were timed */
} bf_tally_t;

typedef struct bf_evidence bf_evidence_t;
typedef struct bf_evidence_shard bf_evidence_shard_t;
typedef uint32_t bf_evidence_cell_t;

/* The upper edge of a bucket; INT64_MAX for the last. */
bf_time_us_t bf_tally_edge_us(uint32_t bucket);

/* Adds every count of other to tally. */
void bf_tally_add(bf_tally_t *tally, const bf_tally_t *other);

/* tally minus base, each count at least zero. */
bf_tally_t bf_tally_since(const bf_tally_t *tally, const bf_tally_t *base);

/* The greater of each count: how two copies of one grow-only tally merge. */
void bf_tally_merge(bf_tally_t *tally, const bf_tally_t *other);

/* Returns NULL when memory is short. */
bf_evidence_t *bf_evidence_new(void);

/* Frees the registry and all its shards. */
void bf_evidence_free(bf_evidence_t *evidence);

/*
 * The cell of (service, route, version), registered at first use and the same
 * for as long as the registry lives.  Any thread; takes a lock, so it is
 * called when a table is compiled and not for each call.  With more than
 * BF_EVIDENCE_CELLS_MAX cells the last one is shared and never read.
 */
bf_evidence_cell_t bf_evidence_register_cell(bf_evidence_t *evidence,
    const char *service, const char *route, const char *version);

/* A new shard for the calling thread; NULL when memory is short. */
bf_evidence_shard_t *bf_evidence_shard(bf_evidence_t *evidence);

/*
 * Counts one finished call; only the shard's owner may call it.  OK, FAILED
 * and UNKNOWN are counted (UNKNOWN as a failure); NOT_RUN and CANCELLED say
 * nothing about a version.  Pass BF_LATENCY_NOT_COUNTED when the target
 * started less than BF_TARGET_WARM_UP_US ago: a cold start is slow with any
 * version, whereas its failures count always.
 */
void bf_evidence_add(bf_evidence_shard_t *shard, bf_evidence_cell_t cell,
    bf_result_t result, bf_time_us_t latency_us);

/* The sum over all shards.  Any thread. */
void bf_evidence_read(
    const bf_evidence_t *evidence, bf_evidence_cell_t cell, bf_tally_t *tally);

#endif
