#include <apr_strings.h>

#include "control/head.h"
#include "control/relay_internal.h"

/* Watches the head and builds the snapshot that it describes. */

static const bf_chunk_t *
find_cached_chunk(const bf_relay_t *relay, bf_digest_t digest)
{
	size_t i;

	for (i = 0; i < relay->chunk_count; i++) {
		if (bf_digest_equal(relay->chunks[i].digest, digest))
			return &relay->chunks[i];
	}
	return NULL;
}

/* Fills in the data of a chunk, from the cache or from the store. */
static bf_code_t
fetch_chunk(bf_relay_t *relay, bf_chunk_t *chunk, apr_pool_t *pool)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	const bf_chunk_t *cached;
	bf_store_value_t value;
	const char *key;
	bf_code_t code;

	cached = find_cached_chunk(relay, chunk->digest);
	if (cached != NULL) {
		chunk->data =
		    apr_pmemdup(pool, cached->data, cached->data_bytes);
		chunk->data_bytes = cached->data_bytes;
		return BF_OK;
	}
	bf_digest_format(chunk->digest, digest);
	key = apr_psprintf(pool, "%schunk/%s", relay->prefix, digest);
	code = bf_store_get(relay->store, key, pool, &value, NULL);
	if (!bf_relay_record_result(relay, code) || code != BF_OK)
		return code;
	chunk->data = value.data;
	chunk->data_bytes = value.data_bytes;
	return BF_OK;
}

static void
cache_chunks(
    bf_relay_t *relay, const bf_chunk_t *chunks, size_t count, apr_pool_t *pool)
{
	if (relay->chunk_pool != NULL)
		apr_pool_destroy(relay->chunk_pool);
	relay->chunk_pool = pool;
	relay->chunks = chunks;
	relay->chunk_count = count;
}

/*
 * Builds the snapshot of a head and passes it to the output.  On success the
 * relay owns pool, which holds the chunks.
 */
static bf_code_t
read_snapshot(bf_relay_t *relay, const bf_head_t *head, apr_pool_t *pool)
{
	bf_relay_output_t *output;
	bf_snapshot_t *snapshot;
	bf_chunk_t *chunks;
	bf_code_t code;
	size_t i;

	chunks = apr_pmemdup(
	    pool, head->chunks, (head->chunk_count + 1) * sizeof(*chunks));
	for (i = 0; i < head->chunk_count; i++) {
		code = fetch_chunk(relay, &chunks[i], pool);
		if (code != BF_OK)
			return code;
	}
	code = bf_snapshot_from_chunks(
	    head->version, chunks, head->chunk_count, &snapshot, NULL);
	if (code != BF_OK)
		return code;
	if (!bf_digest_equal(snapshot->digest, head->digest)) {
		bf_snapshot_free(snapshot);
		return BF_ERR_DIGEST;
	}
	cache_chunks(relay, chunks, head->chunk_count, pool);
	output = relay->options.output;
	output->vtable->snapshot(output, snapshot);
	return BF_OK;
}

static bool
is_temporary(bf_code_t code)
{
	return code == BF_ERR_UNAVAILABLE || code == BF_ERR_TIMEOUT ||
	    code == BF_ERR_LIMIT;
}

/*
 * Processes a head read from the store.  After a temporary error of the store
 * head_index is not advanced, so the head is processed again.
 */
static void
process_head(bf_relay_t *relay, const bf_store_value_t *value)
{
	apr_pool_t *pool;
	bf_head_t head;
	bf_code_t code;

	apr_pool_create(&pool, NULL);
	code =
	    bf_head_decode(value->data, value->data_bytes, pool, &head, NULL);
	if (code == BF_OK)
		relay->head_version = head.version;
	if (code == BF_OK && head.version > bf_relay_get_view(relay).version)
		code = read_snapshot(relay, &head, pool);
	else if (code == BF_OK)
		code = BF_ERR_STALE;
	if (code != BF_OK)
		apr_pool_destroy(pool);
	if (is_temporary(code))
		return;
	relay->head_index = value->index;
	relay->list_outcomes_due = true;
	if (code == BF_OK || code == BF_ERR_STALE)
		return;
	apr_thread_mutex_lock(relay->lock);
	relay->status.bad_heads++;
	apr_thread_mutex_unlock(relay->lock);
	bf_log_line(relay->options.log, LOG_ERR,
	    "cannot use the configuration in the store: %s",
	    bf_code_name(code));
}

void
bf_relay_watch_head(bf_relay_t *relay, uint32_t wait_ms, apr_pool_t *pool)
{
	bf_time_us_t start_us;
	bf_store_value_t value;
	const char *key;
	bf_code_t code;

	start_us = bf_relay_now(relay);
	key = apr_psprintf(pool, "%shead", relay->prefix);
	if (wait_ms == 0)
		code = bf_store_get(relay->store, key, pool, &value, NULL);
	else
		code = bf_store_watch(relay->store, key, relay->head_index,
		    wait_ms, pool, &value, NULL);
	if (!bf_relay_record_result(relay, code) || code != BF_OK)
		return;
	if (value.index != relay->head_index)
		process_head(relay, &value);
	apr_thread_mutex_lock(relay->lock);
	relay->status.head_version = relay->head_version;
	relay->status.head_read_us = start_us;
	apr_thread_mutex_unlock(relay->lock);
}
