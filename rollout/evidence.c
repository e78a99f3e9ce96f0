#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>

#include "rollout/evidence.h"

#define FIRST_EDGE_US INT64_C(500)

/* A shard allocates cells in blocks, on the first call counted in a block. */
#define BLOCK_CELLS 32
/* Service, route and version, each shorter than BF_NAME_BYTES. */
#define KEY_BYTES (3 * BF_NAME_BYTES)

#define BLOCK_COUNT (BF_EVIDENCE_CELLS_MAX / BLOCK_CELLS)

typedef struct bf_cell {
	_Atomic uint64_t calls;
	_Atomic uint64_t failures;
	_Atomic uint64_t latency[BF_TALLY_BUCKETS];
} bf_cell_t;

struct bf_evidence_shard {
	_Atomic(bf_cell_t *) blocks[BLOCK_COUNT];
	bf_evidence_shard_t *next;
};

struct bf_evidence {
	pthread_mutex_t lock;
	apr_pool_t *pool;
	apr_hash_t *cells; /* "service\nroute\nversion" -> cell id + 1 */
	_Atomic(bf_evidence_shard_t *) shards;
};

bf_time_us_t
bf_tally_edge_us(uint32_t bucket)
{
	if (bucket >= BF_TALLY_BUCKETS - 1)
		return INT64_MAX;
	return FIRST_EDGE_US << bucket;
}

void
bf_tally_add(bf_tally_t *tally, const bf_tally_t *other)
{
	uint32_t k;

	tally->calls += other->calls;
	tally->failures += other->failures;
	for (k = 0; k < BF_TALLY_BUCKETS; k++)
		tally->latency[k] += other->latency[k];
}

static uint64_t
subtract_saturating(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

bf_tally_t
bf_tally_since(const bf_tally_t *tally, const bf_tally_t *base)
{
	bf_tally_t since;
	uint32_t k;

	since.calls = subtract_saturating(tally->calls, base->calls);
	since.failures = subtract_saturating(tally->failures, base->failures);
	for (k = 0; k < BF_TALLY_BUCKETS; k++)
		since.latency[k] =
		    subtract_saturating(tally->latency[k], base->latency[k]);
	return since;
}

static void
update_max(uint64_t *count, uint64_t other)
{
	if (other > *count)
		*count = other;
}

void
bf_tally_merge(bf_tally_t *tally, const bf_tally_t *other)
{
	uint32_t k;

	update_max(&tally->calls, other->calls);
	update_max(&tally->failures, other->failures);
	for (k = 0; k < BF_TALLY_BUCKETS; k++)
		update_max(&tally->latency[k], other->latency[k]);
}

bf_evidence_t *
bf_evidence_new(void)
{
	bf_evidence_t *evidence;

	evidence = calloc(1, sizeof(*evidence));
	if (evidence == NULL)
		return NULL;
	if (apr_pool_create(&evidence->pool, NULL) != APR_SUCCESS) {
		free(evidence);
		return NULL;
	}
	evidence->cells = apr_hash_make(evidence->pool);
	pthread_mutex_init(&evidence->lock, NULL);
	return evidence;
}

void
bf_evidence_free(bf_evidence_t *evidence)
{
	bf_evidence_shard_t *shard, *next;
	uint32_t i;

	if (evidence == NULL)
		return;
	for (shard = evidence->shards; shard != NULL; shard = next) {
		next = shard->next;
		for (i = 0; i < BLOCK_COUNT; i++)
			free(shard->blocks[i]);
		free(shard);
	}
	pthread_mutex_destroy(&evidence->lock);
	apr_pool_destroy(evidence->pool);
	free(evidence);
}

bf_evidence_cell_t
bf_evidence_register_cell(bf_evidence_t *evidence, const char *service,
    const char *route, const char *version)
{
	char key[KEY_BYTES];
	char *kept;
	uintptr_t id;

	snprintf(key, sizeof(key), "%s\n%s\n%s", service, route, version);
	pthread_mutex_lock(&evidence->lock);
	id = (uintptr_t)apr_hash_get(evidence->cells, key, APR_HASH_KEY_STRING);
	if (id == 0) {
		id = apr_hash_count(evidence->cells) + 1;
		if (id < BF_EVIDENCE_CELLS_MAX) {
			kept = apr_pstrdup(evidence->pool, key);
			apr_hash_set(evidence->cells, kept, APR_HASH_KEY_STRING,
			    (void *)id);
		} else {
			id = BF_EVIDENCE_CELLS_MAX;
		}
	}
	pthread_mutex_unlock(&evidence->lock);
	return (bf_evidence_cell_t)(id - 1);
}

bf_evidence_shard_t *
bf_evidence_shard(bf_evidence_t *evidence)
{
	bf_evidence_shard_t *shard;

	shard = calloc(1, sizeof(*shard));
	if (shard == NULL)
		return NULL;
	pthread_mutex_lock(&evidence->lock);
	shard->next = evidence->shards;
	evidence->shards = shard;
	pthread_mutex_unlock(&evidence->lock);
	return shard;
}

static bf_cell_t *
allocated_cell(bf_evidence_shard_t *shard, bf_evidence_cell_t cell)
{
	bf_cell_t *block;
	uint32_t i;

	i = cell / BLOCK_CELLS;
	block = atomic_load_explicit(&shard->blocks[i], memory_order_relaxed);
	if (block == NULL) {
		block = calloc(BLOCK_CELLS, sizeof(*block));
		if (block == NULL)
			return NULL;
		atomic_store_explicit(
		    &shard->blocks[i], block, memory_order_release);
	}
	return &block[cell % BLOCK_CELLS];
}

/*
 * The owner of the shard is the only writer, so no atomic read-modify-write is
 * needed.  The store releases, so that a reader that observes a failure or a
 * latency also observes the call it belongs to.
 */
static void
increment_count(_Atomic uint64_t *count)
{
	uint64_t value;

	value = atomic_load_explicit(count, memory_order_relaxed);
	atomic_store_explicit(count, value + 1, memory_order_release);
}

static uint32_t
bucket_of(bf_time_us_t latency_us)
{
	uint32_t k;

	for (k = 0; k < BF_TALLY_BUCKETS - 1; k++) {
		if (latency_us <= bf_tally_edge_us(k))
			break;
	}
	return k;
}

void
bf_evidence_add(bf_evidence_shard_t *shard, bf_evidence_cell_t id,
    bf_endpoint_result_t result, bf_time_us_t latency_us)
{
	bf_cell_t *cell;

	if (result == BF_ENDPOINT_RESULT_NOT_RUN ||
	    result == BF_ENDPOINT_RESULT_CANCELLED ||
	    id >= BF_EVIDENCE_CELLS_MAX)
		return;
	cell = allocated_cell(shard, id);
	if (cell == NULL)
		return;
	increment_count(&cell->calls);
	if (result != BF_ENDPOINT_RESULT_OK)
		increment_count(&cell->failures);
	if (latency_us >= 0)
		increment_count(&cell->latency[bucket_of(latency_us)]);
}

/* Reads the calls last, so that they never fall below the other counts. */
static void
add_cell(bf_tally_t *tally, const bf_cell_t *cell)
{
	uint32_t k;

	for (k = 0; k < BF_TALLY_BUCKETS; k++)
		tally->latency[k] += atomic_load_explicit(
		    &cell->latency[k], memory_order_acquire);
	tally->failures +=
	    atomic_load_explicit(&cell->failures, memory_order_acquire);
	tally->calls +=
	    atomic_load_explicit(&cell->calls, memory_order_acquire);
}

void
bf_evidence_read(
    const bf_evidence_t *evidence, bf_evidence_cell_t cell, bf_tally_t *tally)
{
	const bf_evidence_shard_t *shard;
	const bf_cell_t *block;

	*tally = (bf_tally_t){ 0 };
	if (cell >= BF_EVIDENCE_CELLS_MAX - 1)
		return;
	for (shard = evidence->shards; shard != NULL; shard = shard->next) {
		block = atomic_load_explicit(
		    &shard->blocks[cell / BLOCK_CELLS], memory_order_acquire);
		if (block != NULL)
			add_cell(tally, &block[cell % BLOCK_CELLS]);
	}
}
