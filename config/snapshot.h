#ifndef BF_CONFIG_SNAPSHOT_H
#define BF_CONFIG_SNAPSHOT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/clock.h"
#include "base/digest.h"
#include "base/error.h"

/*
 * A snapshot is one whole, immutable configuration: every service with its
 * routes, its traffic split and at most one move.  It is checked whole before
 * operators' changes are accepted and again before a node applies it.
 *
 * Encoded form: each service is one chunk (MessagePack), named by the digest
 * of its bytes.  The head lists version and chunks; the digest of the head's
 * chunk list is the digest of the snapshot.  A delta is the version and digest
 * of its base and of its result, the chunks that differ, and the names of the
 * services that are gone.
 *
 * The program calls apr_initialize() before anything here.
 */

/* What may be done with a call whose outcome is not known. */
typedef enum bf_call_class {
	BF_CALL_PLAIN,       /* resent only after a certain "not run" */
	BF_CALL_REPEATABLE,  /* may be resent */
	BF_CALL_AT_MOST_ONCE /* as plain; failures weigh more in a move */
} bf_call_class_t;

typedef struct bf_route {
	const char *name;
	const char *method; /* NULL: every method */
	const char *path;   /* exact, or a prefix when it ends in '*' */
	bf_call_class_t call_class;
	uint32_t deadline_ms; /* for calls that bring no deadline */
	uint32_t slow_ms;     /* an answer this late counts as slow; 0: none */
	bool upload;          /* large bodies: no limit on the body's length */
} bf_route_t;

typedef struct bf_split {
	const char *version;
	uint32_t weight; /* relative to the sum over the service's splits */
} bf_split_t;

/* A progressive rollout from one version to another. */
typedef struct bf_move {
	const char *id; /* unique for ever; a verdict on it is final */
	const char *from_version;
	const char *to_version;
	bf_time_us_t start_us;       /* wall clock */
	bf_time_us_t complete_by_us; /* wall clock */
} bf_move_t;

typedef struct bf_service {
	const char *name;
	const char *host; /* the Host that callers use; the name if not set */
	const bf_route_t *routes;
	size_t route_count;
	const bf_split_t *splits; /* versions in use while no move runs */
	size_t split_count;
	const char *const *zones; /* whose targets serve; none: all zones */
	size_t zone_count;
	const char *const
	    *excluded_instances; /* instances whose target does not serve */
	size_t excluded_instance_count;
	uint32_t queue_ms;     /* longest wait for a slot at a target */
	const bf_move_t *move; /* NULL: none */
} bf_service_t;

typedef struct bf_chunk {
	const char *service;
	bf_digest_t digest;
	const void *data;
	size_t data_bytes;
} bf_chunk_t;

typedef struct bf_snapshot {
	apr_pool_t *pool; /* owns everything below */
	uint64_t version;
	bf_digest_t digest;
	const bf_service_t *services; /* sorted by name */
	size_t service_count;
	const bf_chunk_t *chunks; /* one a service, in the same order */
} bf_snapshot_t;

#define BF_CHUNK_BYTES_MAX 262144
/* Of an encoded snapshot or delta. */
#define BF_SNAPSHOT_BYTES_MAX 4194304
#define BF_SERVICES_MAX 1000
#define BF_ROUTES_MAX 256

/*
 * Builds a snapshot with its chunks and digests from services, which are
 * copied, sorted and checked (see bf_snapshot_check).  The snapshot has a pool
 * of its own; bf_snapshot_free releases all of it.
 */
bf_code_t bf_snapshot_build(uint64_t version, const bf_service_t *services,
    size_t service_count, bf_snapshot_t **out, bf_error_t *err);

void bf_snapshot_free(bf_snapshot_t *snapshot);

/*
 * The checks of a whole snapshot: names well formed and unique, splits with a
 * positive sum, moves between two different versions with start before
 * complete_by, no two routes that match the same calls, all limits kept.
 */
bf_code_t bf_snapshot_check(const bf_snapshot_t *snapshot, bf_error_t *err);

/* The service of that name, or NULL. */
const bf_service_t *bf_snapshot_find_service(
    const bf_snapshot_t *snapshot, const char *name);

/* Encodes the whole snapshot; the bytes are allocated from pool. */
bf_code_t bf_snapshot_encode(const bf_snapshot_t *snapshot, apr_pool_t *pool,
    const void **data, size_t *data_bytes, bf_error_t *err);

/*
 * Decodes and checks a whole snapshot, digests included.  Hostile bytes give
 * BF_ERR_PARSE, BF_ERR_TOO_LARGE or BF_ERR_DIGEST, never a partial snapshot.
 */
bf_code_t bf_snapshot_decode(
    const void *data, size_t data_bytes, bf_snapshot_t **out, bf_error_t *err);

/* Encodes what changed from base to next. */
bf_code_t bf_delta_encode(const bf_snapshot_t *base, const bf_snapshot_t *next,
    apr_pool_t *pool, const void **data, size_t *data_bytes, bf_error_t *err);

/*
 * Applies a delta to base.  BF_ERR_BASE when base is not the exact version
 * and digest that the delta was made for; BF_ERR_DIGEST when the result does
 * not have the digest that the delta states.  Base is never changed.
 */
bf_code_t bf_delta_apply(const bf_snapshot_t *base, const void *data,
    size_t data_bytes, bf_snapshot_t **out, bf_error_t *err);

/*
 * Encodes one service as its chunk and decodes it again: what the store keeps
 * under the chunk's digest.
 */
bf_code_t bf_chunk_encode(const bf_service_t *service, apr_pool_t *pool,
    bf_chunk_t *chunk, bf_error_t *err);
bf_code_t bf_chunk_decode(const void *data, size_t data_bytes, apr_pool_t *pool,
    bf_service_t *service, bf_error_t *err);

/* Builds a snapshot from chunks, whose digests and order are checked. */
bf_code_t bf_snapshot_from_chunks(uint64_t version, const bf_chunk_t *chunks,
    size_t chunk_count, bf_snapshot_t **out, bf_error_t *err);

#endif
