#include <string.h>
#include <unistd.h>

#include <apr_strings.h>

#include "config/intent.h"
#include "ctl/accept.h"

/* Attempts of a store call that fails, and the pause between two of them. */
#define ATTEMPTS_MAX 5
#define ATTEMPT_PAUSE_US 200000

bool
bf_head_has_submission(const bf_head_t *head, const char *id, uint64_t *version)
{
	size_t i;

	for (i = 0; i < head->history_count; i++) {
		if (strcmp(head->history[i].submission, id) == 0) {
			*version = head->history[i].version;
			return true;
		}
	}
	return false;
}

static const char *
head_key(apr_pool_t *pool, const char *prefix)
{
	return apr_pstrcat(pool, prefix, "head", NULL);
}

static const char *
chunk_key(apr_pool_t *pool, const char *prefix, bf_digest_t digest)
{
	char text[BF_DIGEST_TEXT_BYTES];

	bf_digest_format(digest, text);
	return apr_pstrcat(pool, prefix, "chunk/", text, NULL);
}

/* Reads have no side effects, so any failed read can be retried. */
static bf_code_t
get_with_retries(bf_store_t *store, const char *key, apr_pool_t *pool,
    bf_store_value_t *value, bf_error_t *err)
{
	bf_code_t code;
	int attempt;

	for (attempt = 1;; attempt++) {
		code = bf_store_get(store, key, pool, value, err);
		if (code == BF_OK || code == BF_ERR_NOT_FOUND ||
		    attempt == ATTEMPTS_MAX)
			return code;
		usleep(ATTEMPT_PAUSE_US);
	}
}

static bf_code_t
read_head(bf_store_t *store, const char *prefix, apr_pool_t *pool,
    bf_accepted_config_t *accepted, bf_error_t *err)
{
	bf_store_value_t value;
	bf_code_t code;

	memset(accepted, 0, sizeof(*accepted));
	code =
	    get_with_retries(store, head_key(pool, prefix), pool, &value, err);
	if (code == BF_ERR_NOT_FOUND)
		return BF_OK;
	if (code != BF_OK)
		return code;
	accepted->exists = true;
	accepted->index = value.index;
	return bf_head_decode(
	    value.data, value.data_bytes, pool, &accepted->head, err);
}

bf_code_t
bf_accept_read(bf_store_t *store, const char *prefix, apr_pool_t *pool,
    bf_accepted_config_t *accepted, bf_error_t *err)
{
	bf_store_value_t value;
	bf_chunk_t *chunks;
	bf_code_t code;
	size_t i;

	code = read_head(store, prefix, pool, accepted, err);
	if (code != BF_OK || !accepted->exists)
		return code;
	chunks = apr_pcalloc(
	    pool, (accepted->head.chunk_count + 1) * sizeof(*chunks));
	for (i = 0; i < accepted->head.chunk_count; i++) {
		chunks[i] = accepted->head.chunks[i];
		code = get_with_retries(store,
		    chunk_key(pool, prefix, chunks[i].digest), pool, &value,
		    err);
		if (code != BF_OK)
			return code;
		chunks[i].data = value.data;
		chunks[i].data_bytes = value.data_bytes;
	}
	return bf_snapshot_from_chunks(accepted->head.version, chunks,
	    accepted->head.chunk_count, &accepted->snapshot, err);
}

static bool
head_has_chunk(const bf_head_t *head, bf_digest_t digest)
{
	size_t i;

	for (i = 0; i < head->chunk_count; i++) {
		if (bf_digest_equal(head->chunks[i].digest, digest))
			return true;
	}
	return false;
}

/* A chunk's key names its content, so writing it again is idempotent. */
static bf_code_t
put_chunk(bf_store_t *store, const char *prefix, const bf_chunk_t *chunk,
    apr_pool_t *pool, bf_error_t *err)
{
	bf_code_t code;
	int attempt;

	for (attempt = 1;; attempt++) {
		code =
		    bf_store_put(store, chunk_key(pool, prefix, chunk->digest),
			chunk->data, chunk->data_bytes, NULL, err);
		if (code == BF_OK || attempt == ATTEMPTS_MAX)
			return code;
		usleep(ATTEMPT_PAUSE_US);
	}
}

static bf_code_t
put_chunks(bf_store_t *store, const char *prefix,
    const bf_accepted_config_t *base, const bf_snapshot_t *next,
    apr_pool_t *pool, bf_error_t *err)
{
	bf_code_t code;
	size_t i;

	for (i = 0; i < next->service_count; i++) {
		if (head_has_chunk(&base->head, next->chunks[i].digest))
			continue;
		code = put_chunk(store, prefix, &next->chunks[i], pool, err);
		if (code != BF_OK)
			return code;
	}
	return BF_OK;
}

static bf_code_t
encode_next_head(const bf_accepted_config_t *base, const bf_snapshot_t *next,
    const bf_submission_t *submission, apr_pool_t *pool, const void **data,
    size_t *data_bytes, bf_error_t *err)
{
	bf_head_entry_t *history;
	bf_head_t head;
	size_t kept;

	kept = base->head.history_count;
	if (kept > BF_HEAD_HISTORY_MAX - 1)
		kept = BF_HEAD_HISTORY_MAX - 1;
	history = apr_palloc(pool, (kept + 1) * sizeof(*history));
	history[0] = (bf_head_entry_t){
		.version = next->version,
		.time_us = submission->wall_us,
		.operator_name = submission->operator_name,
		.submission = submission->id,
		.summary = submission->summary,
	};
	if (kept > 0)
		memcpy(
		    history + 1, base->head.history, kept * sizeof(*history));
	head = (bf_head_t){
		.version = next->version,
		.digest = next->digest,
		.chunks = next->chunks,
		.chunk_count = next->service_count,
		.submission = submission->id,
		.history = history,
		.history_count = kept + 1,
	};
	return bf_head_encode(&head, pool, data, data_bytes, err);
}

/*
 * Reads the head after a swap that failed or whose response was lost.  BF_OK
 * when the head's history has the submission, BF_ERR_CONFLICT when the head was
 * replaced by another one, and BF_ERR_BASE when it is still the base, so that
 * the swap may be tried again.
 */
static bf_code_t
resolve_outcome(bf_store_t *store, const char *prefix,
    const bf_accepted_config_t *base, const bf_submission_t *submission,
    apr_pool_t *pool, bf_accept_result_t *result, bf_error_t *err)
{
	bf_accepted_config_t current;
	bf_code_t code;

	code = read_head(store, prefix, pool, &current, err);
	if (code != BF_OK)
		return bf_error_set(err, BF_ERR_UNSETTLED,
		    "cannot read from the store whether submission %s was "
		    "accepted",
		    submission->id);
	if (current.exists &&
	    bf_head_has_submission(
		&current.head, submission->id, &result->version))
		return BF_OK;
	if (current.index == base->index)
		return BF_ERR_BASE;
	result->winner = current.head;
	result->version = current.head.version;
	return bf_error_set(err, BF_ERR_CONFLICT,
	    "version %llu was accepted in the meantime",
	    (unsigned long long)current.head.version);
}

/* Lists the keys changed by both sides; none if the winner is unreadable. */
static void
list_conflicting_keys(bf_store_t *store, const char *prefix,
    const bf_accepted_config_t *base, const bf_submission_t *submission,
    apr_pool_t *pool, bf_accept_result_t *result)
{
	bf_accepted_config_t winner;

	if (bf_accept_read(store, prefix, pool, &winner, NULL) != BF_OK ||
	    winner.snapshot == NULL)
		return;
	bf_intent_conflicts(base->snapshot, submission->services,
	    submission->service_count, winner.snapshot, pool,
	    &result->conflicting_keys, &result->conflicting_key_count);
	bf_snapshot_free(winner.snapshot);
}

static bf_code_t
swap_head(bf_store_t *store, const char *prefix,
    const bf_accepted_config_t *base, const bf_submission_t *submission,
    const void *data, size_t data_bytes, apr_pool_t *pool,
    bf_accept_result_t *result, bf_error_t *err)
{
	bf_code_t code;
	int attempt;

	for (attempt = 1; attempt <= ATTEMPTS_MAX; attempt++) {
		code = bf_store_compare_and_swap(store, head_key(pool, prefix),
		    data, data_bytes, base->index, err);
		if (code == BF_OK)
			return BF_OK;
		if (code != BF_ERR_CONFLICT && code != BF_ERR_UNSETTLED &&
		    code != BF_ERR_UNAVAILABLE && code != BF_ERR_LIMIT)
			return code;
		result->settled = code == BF_ERR_UNSETTLED || result->settled;
		code = resolve_outcome(
		    store, prefix, base, submission, pool, result, err);
		if (code != BF_ERR_BASE)
			return code;
		usleep(ATTEMPT_PAUSE_US);
	}
	return bf_error_set(err,
	    result->settled ? BF_ERR_UNSETTLED : BF_ERR_UNAVAILABLE,
	    "the store did not accept the submission");
}

bf_code_t
bf_accept_submit(bf_store_t *store, const char *prefix,
    const bf_accepted_config_t *base, const bf_submission_t *submission,
    apr_pool_t *pool, bf_accept_result_t *result, bf_error_t *err)
{
	bf_snapshot_t *next;
	size_t data_bytes;
	const void *data;
	bf_code_t code;

	memset(result, 0, sizeof(*result));
	code = bf_snapshot_build(base->head.version + 1, submission->services,
	    submission->service_count, &next, err);
	if (code != BF_OK)
		return code;
	if (base->exists && bf_digest_equal(next->digest, base->head.digest)) {
		result->unchanged = true;
		result->version = base->head.version;
		bf_snapshot_free(next);
		return BF_OK;
	}
	result->version = next->version;
	code = put_chunks(store, prefix, base, next, pool, err);
	if (code == BF_OK)
		code = encode_next_head(
		    base, next, submission, pool, &data, &data_bytes, err);
	if (code == BF_OK)
		code = swap_head(store, prefix, base, submission, data,
		    data_bytes, pool, result, err);
	if (code == BF_ERR_CONFLICT)
		list_conflicting_keys(
		    store, prefix, base, submission, pool, result);
	bf_snapshot_free(next);
	return code;
}
