#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>
#include <jansson.h>

#include "control/head.h"

static json_t *
chunks_to_json(const bf_head_t *head)
{
	char text[BF_DIGEST_TEXT_BYTES];
	json_t *list;
	size_t i;

	list = json_array();
	for (i = 0; i < head->chunk_count; i++) {
		bf_digest_format(head->chunks[i].digest, text);
		json_array_append_new(
		    list, json_pack("[ss]", head->chunks[i].service, text));
	}
	return list;
}

static json_t *
history_to_json(const bf_head_t *head)
{
	const bf_head_entry_t *entry;
	json_t *list;
	size_t i;

	list = json_array();
	for (i = 0; i < head->history_count && i < BF_HEAD_HISTORY_MAX; i++) {
		entry = &head->history[i];
		json_array_append_new(list,
		    json_pack("{sI ss ss ss sI}", "version",
			(json_int_t)entry->version, "operator",
			entry->operator_name, "submission", entry->submission,
			"summary", entry->summary, "time_us",
			(json_int_t)entry->time_us));
	}
	return list;
}

bf_code_t
bf_head_encode(const bf_head_t *head, apr_pool_t *pool, const void **data,
    size_t *data_bytes, bf_error_t *err)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	json_t *root;
	char *text;

	bf_digest_format(head->digest, digest);
	root =
	    json_pack("{sI ss ss so so}", "version", (json_int_t)head->version,
		"digest", digest, "submission", head->submission, "chunks",
		chunks_to_json(head), "history", history_to_json(head));
	if (root == NULL)
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "a string in the head is not valid UTF-8");
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (text == NULL)
		return bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	*data_bytes = strlen(text);
	*data = apr_pmemdup(pool, text, *data_bytes);
	free(text);
	return BF_OK;
}

static bf_code_t
read_chunks(json_t *list, apr_pool_t *pool, bf_head_t *head, bf_error_t *err)
{
	const char *service;
	const char *digest;
	bf_chunk_t *chunks;
	size_t i;

	head->chunk_count = json_array_size(list);
	if (head->chunk_count > BF_SERVICES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "the head lists %zu chunks, more than the limit",
		    head->chunk_count);
	chunks = apr_pcalloc(pool, (head->chunk_count + 1) * sizeof(*chunks));
	for (i = 0; i < head->chunk_count; i++) {
		if (json_unpack(json_array_get(list, i), "[ss!]", &service,
			&digest) != 0 ||
		    !bf_digest_parse(digest, &chunks[i].digest))
			return bf_error_set(err, BF_ERR_PARSE,
			    "chunk %zu of the head is not a pair of service and digest",
			    i);
		chunks[i].service = apr_pstrdup(pool, service);
	}
	head->chunks = chunks;
	return BF_OK;
}

static bf_code_t
read_history(json_t *list, apr_pool_t *pool, bf_head_t *head, bf_error_t *err)
{
	const char *operator_name;
	const char *submission;
	const char *summary;
	bf_head_entry_t *entries;
	json_int_t version;
	json_int_t time_us;
	size_t i;

	head->history_count = json_array_size(list);
	if (head->history_count > BF_HEAD_HISTORY_MAX)
		head->history_count = BF_HEAD_HISTORY_MAX;
	entries =
	    apr_pcalloc(pool, (head->history_count + 1) * sizeof(*entries));
	for (i = 0; i < head->history_count; i++) {
		if (json_unpack(json_array_get(list, i), "{sI ss ss ss sI}",
			"version", &version, "operator", &operator_name,
			"submission", &submission, "summary", &summary,
			"time_us", &time_us) != 0 ||
		    version < 0)
			return bf_error_set(err, BF_ERR_PARSE,
			    "history entry %zu of the head has a missing or invalid field",
			    i);
		entries[i].version = (uint64_t)version;
		entries[i].time_us = time_us;
		entries[i].operator_name = apr_pstrdup(pool, operator_name);
		entries[i].submission = apr_pstrdup(pool, submission);
		entries[i].summary = apr_pstrdup(pool, summary);
	}
	head->history = entries;
	return BF_OK;
}

static bf_code_t
read_root(json_t *root, apr_pool_t *pool, bf_head_t *head, bf_error_t *err)
{
	const char *submission;
	const char *digest;
	json_int_t version;
	json_t *history;
	json_t *chunks;
	bf_code_t code;

	if (json_unpack(root, "{sI ss ss so so}", "version", &version, "digest",
		&digest, "submission", &submission, "chunks", &chunks,
		"history", &history) != 0 ||
	    !json_is_array(chunks) || !json_is_array(history) ||
	    !bf_digest_parse(digest, &head->digest))
		return bf_error_set(err, BF_ERR_PARSE,
		    "the head has a missing or invalid field");
	if (version <= 0)
		return bf_error_set(
		    err, BF_ERR_RANGE, "the head version is not positive");
	head->version = (uint64_t)version;
	head->submission = apr_pstrdup(pool, submission);
	code = read_chunks(chunks, pool, head, err);
	if (code != BF_OK)
		return code;
	return read_history(history, pool, head, err);
}

bf_code_t
bf_head_decode(const void *data, size_t data_bytes, apr_pool_t *pool,
    bf_head_t *head, bf_error_t *err)
{
	json_error_t json_error;
	bf_code_t code;
	json_t *root;

	memset(head, 0, sizeof(*head));
	root =
	    json_loadb(data, data_bytes, JSON_REJECT_DUPLICATES, &json_error);
	if (root == NULL)
		return bf_error_set(err, BF_ERR_PARSE,
		    "the head is not valid JSON: line %d: %s", json_error.line,
		    json_error.text);
	code = read_root(root, pool, head, err);
	json_decref(root);
	return code;
}
