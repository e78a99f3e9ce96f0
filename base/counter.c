#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"

#define OVERFLOW_NAME "bf_counters_overflow"
#define CACHE_LINE_BYTES 64

struct bf_counter_shard {
	_Alignas(CACHE_LINE_BYTES) _Atomic uint64_t values[BF_COUNTERS_MAX];
	bf_counter_shard_t *next;
};

struct bf_counters {
	pthread_mutex_t lock;
	char *names[BF_COUNTERS_MAX];
	_Atomic uint32_t count;
	_Atomic(bf_counter_shard_t *) shards;
};

bf_counters_t *
bf_counters_new(void)
{
	bf_counters_t *counters;

	counters = calloc(1, sizeof(*counters));
	if (counters == NULL)
		return NULL;
	pthread_mutex_init(&counters->lock, NULL);
	return counters;
}

void
bf_counters_free(bf_counters_t *counters)
{
	bf_counter_shard_t *shard, *next;
	uint32_t i;

	if (counters == NULL)
		return;
	for (shard = counters->shards; shard != NULL; shard = next) {
		next = shard->next;
		free(shard);
	}
	for (i = 0; i < counters->count; i++)
		free(counters->names[i]);
	pthread_mutex_destroy(&counters->lock);
	free(counters);
}

static bf_counter_id_t
find_or_add(bf_counters_t *counters, const char *name)
{
	uint32_t count, i;

	count = counters->count;
	for (i = 0; i < count; i++) {
		if (strcmp(counters->names[i], name) == 0)
			return i;
	}
	if (count == BF_COUNTERS_MAX)
		return BF_COUNTERS_MAX - 1;
	if (count == BF_COUNTERS_MAX - 1)
		name = OVERFLOW_NAME;
	counters->names[count] = strdup(name);
	if (counters->names[count] == NULL)
		abort();
	counters->count = count + 1;
	return count;
}

bf_counter_id_t
bf_counters_register(bf_counters_t *counters, const char *name)
{
	bf_counter_id_t id;

	pthread_mutex_lock(&counters->lock);
	id = find_or_add(counters, name);
	pthread_mutex_unlock(&counters->lock);
	return id;
}

bf_counter_shard_t *
bf_counters_add_shard(bf_counters_t *counters)
{
	bf_counter_shard_t *shard;

	shard = aligned_alloc(CACHE_LINE_BYTES, sizeof(*shard));
	if (shard == NULL)
		return NULL;
	memset(shard, 0, sizeof(*shard));
	pthread_mutex_lock(&counters->lock);
	shard->next = counters->shards;
	counters->shards = shard;
	pthread_mutex_unlock(&counters->lock);
	return shard;
}

void
bf_counter_add(bf_counter_shard_t *shard, bf_counter_id_t id, uint64_t n)
{
	uint64_t value;

	value = atomic_load_explicit(&shard->values[id], memory_order_relaxed);
	atomic_store_explicit(
	    &shard->values[id], value + n, memory_order_relaxed);
}

void
bf_counter_set(bf_counter_shard_t *shard, bf_counter_id_t id, uint64_t n)
{
	atomic_store_explicit(&shard->values[id], n, memory_order_relaxed);
}

uint64_t
bf_counters_sum(const bf_counters_t *counters, bf_counter_id_t id)
{
	const bf_counter_shard_t *shard;
	uint64_t sum;

	sum = 0;
	for (shard = counters->shards; shard != NULL; shard = shard->next)
		sum += atomic_load_explicit(
		    &shard->values[id], memory_order_relaxed);
	return sum;
}

void
bf_counters_each(const bf_counters_t *counters,
    void (*visit)(void *ctx, const char *name, uint64_t value), void *ctx)
{
	uint32_t count, i;

	count = counters->count;
	for (i = 0; i < count; i++)
		visit(ctx, counters->names[i], bf_counters_sum(counters, i));
}
