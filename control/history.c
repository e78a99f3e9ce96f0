#include <string.h>

#include <apr_strings.h>

#include "control/history.h"

static void
drop_delta(bf_history_entry_t *entry)
{
	if (entry->delta_pool != NULL)
		apr_pool_destroy(entry->delta_pool);
	entry->delta_pool = NULL;
	entry->delta = NULL;
}

static void
clear_entry(bf_history_entry_t *entry)
{
	drop_delta(entry);
	if (entry->manifest.pool != NULL)
		apr_pool_destroy(entry->manifest.pool);
	memset(entry, 0, sizeof(*entry));
}

void
bf_history_clear(bf_history_t *history)
{
	size_t i;

	for (i = 0; i < BF_HISTORY_VERSIONS; i++)
		clear_entry(&history->entries[i]);
}

static void
copy_manifest(const bf_snapshot_t *snapshot, bf_snapshot_t *manifest)
{
	bf_service_t *services;
	bf_chunk_t *chunks;
	apr_pool_t *pool;
	size_t count;
	size_t i;

	apr_pool_create(&pool, NULL);
	count = snapshot->service_count;
	services = apr_pcalloc(pool, (count + 1) * sizeof(*services));
	chunks = apr_pcalloc(pool, (count + 1) * sizeof(*chunks));
	for (i = 0; i < count; i++) {
		services[i].name =
		    apr_pstrdup(pool, snapshot->services[i].name);
		chunks[i].service = services[i].name;
		chunks[i].digest = snapshot->chunks[i].digest;
	}
	*manifest = (bf_snapshot_t){ .pool = pool,
		.version = snapshot->version,
		.digest = snapshot->digest,
		.services = services,
		.service_count = count,
		.chunks = chunks };
}

void
bf_history_add(bf_history_t *history, const bf_snapshot_t *replaced)
{
	bf_history_entry_t *entry;
	size_t i;

	for (i = 0; i < BF_HISTORY_VERSIONS; i++)
		drop_delta(&history->entries[i]);
	entry = &history->entries[history->next++ % BF_HISTORY_VERSIONS];
	clear_entry(entry);
	copy_manifest(replaced, &entry->manifest);
}

static bf_history_entry_t *
find_entry(bf_history_t *history, uint64_t version, bf_digest_t digest)
{
	bf_history_entry_t *entry;
	size_t i;

	for (i = 0; i < BF_HISTORY_VERSIONS; i++) {
		entry = &history->entries[i];
		if (entry->manifest.pool != NULL &&
		    entry->manifest.version == version &&
		    bf_digest_equal(entry->manifest.digest, digest))
			return entry;
	}
	return NULL;
}

static bool
encode_delta(bf_history_entry_t *entry, const bf_snapshot_t *current)
{
	if (entry->delta != NULL)
		return true;
	apr_pool_create(&entry->delta_pool, NULL);
	if (bf_delta_encode(&entry->manifest, current, entry->delta_pool,
		&entry->delta, &entry->delta_bytes, NULL) == BF_OK)
		return true;
	drop_delta(entry);
	return false;
}

bool
bf_history_delta(bf_history_t *history, uint64_t version, bf_digest_t digest,
    const bf_snapshot_t *current, const void **delta, size_t *delta_bytes)
{
	bf_history_entry_t *entry;

	entry = find_entry(history, version, digest);
	if (entry == NULL || !encode_delta(entry, current))
		return false;
	*delta = entry->delta;
	*delta_bytes = entry->delta_bytes;
	return true;
}
