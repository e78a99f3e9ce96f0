#ifndef BF_CONTROL_HEAD_H
#define BF_CONTROL_HEAD_H

#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"
#include "config/snapshot.h"

/*
 * The value of the store's head key, which names the accepted configuration.
 * The head is only written by compare-and-swap; its version orders
 * configurations.  It is JSON so that operators can read it.
 *
 * Keys in the store: "<prefix>head", "<prefix>chunk/<digest>",
 * "<prefix>outcome/<key>", "<prefix>relay/<zone>/<slot>" and
 * "<prefix>seed/<zone>/<instance>".
 */

#define BF_HEAD_HISTORY_MAX 32

/* A submission that was accepted. */
typedef struct bf_head_entry {
	uint64_t version;
	bf_time_us_t time_us; /* wall clock */
	const char *operator_name;
	const char *submission;
	const char *summary;
} bf_head_entry_t;

typedef struct bf_head {
	uint64_t version;
	bf_digest_t digest;       /* of the snapshot */
	const bf_chunk_t *chunks; /* service and digest only; data is NULL */
	size_t chunk_count;
	const char *submission;
	const bf_head_entry_t *history; /* newest first */
	size_t history_count;
} bf_head_t;

/*
 * Encodes a head as JSON, allocated from pool.  BF_ERR_ARGUMENT when a string
 * is not UTF-8.  At most BF_HEAD_HISTORY_MAX history entries are written.
 */
bf_code_t bf_head_encode(const bf_head_t *head, apr_pool_t *pool,
    const void **data, size_t *data_bytes, bf_error_t *err);

/*
 * Decodes a head, allocated from pool.  BF_ERR_PARSE, BF_ERR_RANGE for a
 * version that is not positive, BF_ERR_TOO_LARGE for too many chunks.
 */
bf_code_t bf_head_decode(const void *data, size_t data_bytes, apr_pool_t *pool,
    bf_head_t *head, bf_error_t *err);

#endif
