#include <string.h>

#include <apr_strings.h>

#include "control/history.h"

static void
drop_delta(bf_history_entry_t *past)
{
	if (past->delta_pool != NULL)
		apr_pool_destroy(past->delta_pool);
	past->delta_pool = NULL;
	past->delta = NULL;
}

static void
drop_past(bf_history_entry_t *past)
{
	drop_delta(past);
	if (past->outline.pool != NULL)
		apr_pool_destroy(past->outline.pool);
	memset(past, 0, sizeof(*past));
}

void
bf_history_clear(bf_history_t *history)
{
	size_t i;

	for (i = 0; i < BF_HISTORY_VERSIONS; i++)
		drop_past(&history->past[i]);
}

static void
copy_outline(const bf_snapshot_t *snapshot, bf_snapshot_t *outline)
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
	*outline = (bf_snapshot_t){ .pool = pool,
		.version = snapshot->version,
		.digest = snapshot->digest,
		.services = services,
		.service_count = count,
		.chunks = chunks };
}

void
bf_history_add(bf_history_t *history, const bf_snapshot_t *replaced)
{
	bf_history_entry_t *past;
	size_t i;

	for (i = 0; i < BF_HISTORY_VERSIONS; i++)
		drop_delta(&history->past[i]);
	past = &history->past[history->next++ % BF_HISTORY_VERSIONS];
	drop_past(past);
	copy_outline(replaced, &past->outline);
}

static bf_history_entry_t *
find_past(bf_history_t *history, uint64_t version, bf_digest_t digest)
{
	bf_history_entry_t *past;
	size_t i;

	for (i = 0; i < BF_HISTORY_VERSIONS; i++) {
		past = &history->past[i];
		if (past->outline.pool != NULL &&
		    past->outline.version == version &&
		    bf_digest_equal(past->outline.digest, digest))
			return past;
	}
	return NULL;
}

static bool
encode_delta(bf_history_entry_t *past, const bf_snapshot_t *current)
{
	if (past->delta != NULL)
		return true;
	apr_pool_create(&past->delta_pool, NULL);
	if (bf_delta_encode(&past->outline, current, past->delta_pool,
		&past->delta, &past->delta_bytes, NULL) == BF_OK)
		return true;
	drop_delta(past);
	return false;
}

bool
bf_history_delta(bf_history_t *history, uint64_t version, bf_digest_t digest,
    const bf_snapshot_t *current, const void **delta, size_t *delta_bytes)
{
	bf_history_entry_t *past;

	past = find_past(history, version, digest);
	if (past == NULL || !encode_delta(past, current))
		return false;
	*delta = past->delta;
	*delta_bytes = past->delta_bytes;
	return true;
}
