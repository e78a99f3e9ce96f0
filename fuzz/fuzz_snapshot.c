#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "config/snapshot.h"

/* Decodes the input as a snapshot, and as a chunk. */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes);

/* A decoded snapshot must be unchanged after encoding and decoding it. */
static void
check_snapshot(const bf_snapshot_t *snapshot, apr_pool_t *pool)
{
	bf_snapshot_t *redecoded;
	const void *bytes;
	size_t n;

	if (bf_snapshot_encode(snapshot, pool, &bytes, &n, NULL) != BF_OK ||
	    bf_snapshot_decode(bytes, n, &redecoded, NULL) != BF_OK)
		abort();
	if (redecoded->version != snapshot->version ||
	    !bf_digest_equal(redecoded->digest, snapshot->digest))
		abort();
	bf_snapshot_free(redecoded);
}

/* The encoding of a decoded service must be stable. */
static void
check_chunk(const bf_service_t *service, apr_pool_t *pool)
{
	bf_chunk_t first, second;
	bf_service_t redecoded;

	if (bf_chunk_encode(service, pool, &first, NULL) != BF_OK ||
	    bf_chunk_decode(first.data, first.data_bytes, pool, &redecoded,
		NULL) != BF_OK ||
	    bf_chunk_encode(&redecoded, pool, &second, NULL) != BF_OK)
		abort();
	if (!bf_digest_equal(first.digest, second.digest))
		abort();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes)
{
	bf_snapshot_t *snapshot;
	bf_service_t service;
	apr_pool_t *pool;

	apr_initialize();
	apr_pool_create_unmanaged(&pool);
	if (bf_snapshot_decode(data, data_bytes, &snapshot, NULL) == BF_OK) {
		check_snapshot(snapshot, pool);
		bf_snapshot_free(snapshot);
	}
	if (bf_chunk_decode(data, data_bytes, pool, &service, NULL) == BF_OK)
		check_chunk(&service, pool);
	apr_pool_destroy(pool);
	apr_terminate();
	return 0;
}
