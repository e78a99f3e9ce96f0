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
 * A snapshot is a complete, immutable configuration: every service with its
 * routes, its traffic split and at most one move.  All of it is checked before
 * an operator's change is accepted and again before a node applies it.
 *
 * Encoding: each service is one MessagePack chunk, identified by the digest of
 * its bytes.  The head lists the version and the chunks; the digest of its
 * chunk list is the digest of the snapshot.  A delta holds the versions and
 * digests of its base and of its result, the chunks that differ, and the names
 * of the services that were removed.
 *
 * Call apr_initialize() before any function of this header.
 */

/* Whether a call may be resent while its outcome is unknown. */
typedef enum bf_call_class {
	BF_CALL_PLAIN,       /* resent only if it certainly did not run */
	BF_CALL_REPEATABLE,  /* may be resent */
	BF_CALL_AT_MOST_ONCE /* like plain; failures weigh more in a move */
} bf_call_class_t;

typedef struct bf_route {
	const char *name;
	const char *method; /* NULL: every method */
	const char *path;   /* exact, or a prefix when it ends in '*' */
	bf_call_class_t call_class;
	uint32_t deadline_ms; /* for calls without their own deadline */
	uint32_t slow_ms;     /* a later answer counts as slow; 0: none does */
	bool upload;          /* the length of bodies is not limited */
} bf_route_t;

typedef struct bf_split {
	const char *version;
	uint32_t weight; /* relative to the sum over the service's splits */
} bf_split_t;

/* A progressive rollout from one version to another. */
typedef struct bf_move {
	const char *id; /* never reused: the verdict on a move is final */
	const char *from_version;
	const char *to_version;
	bf_time_us_t start_us;       /* wall clock */
	bf_time_us_t complete_by_us; /* wall clock */
} bf_move_t;

typedef struct bf_service {
	const char *name;
	const char *host; /* the Host that callers send; NULL: the name */
	const bf_route_t *routes;
	size_t route_count;
	const bf_split_t *splits; /* versions in use while no move runs */
	size_t split_count;
	/* Zones whose targets receive calls; an empty list: all zones. */
	const char *const *zones;
	size_t zone_count;
	/* Instances whose targets receive no calls. */
	const char *const *excluded_instances;
	size_t excluded_instance_count;
	uint32_t queue_ms;     /* longest wait for a free slot of a target */
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
	const bf_chunk_t *chunks; /* one for each service, in the same order */
} bf_snapshot_t;

#define BF_CHUNK_BYTES_MAX 262144
/* Largest size of an encoded snapshot or delta. */
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
 * Checks a whole snapshot: names are valid and unique, the weights of a split
 * have a positive sum, moves are between two different versions and start
 * before complete_by, no two routes match the same calls, and all limits are
 * kept.
 */
bf_code_t bf_snapshot_check(const bf_snapshot_t *snapshot, bf_error_t *err);

/* The service of that name, or NULL. */
const bf_service_t *bf_snapshot_find_service(
    const bf_snapshot_t *snapshot, const char *name);

/* Encodes the whole snapshot; the bytes are allocated from pool. */
bf_code_t bf_snapshot_encode(const bf_snapshot_t *snapshot, apr_pool_t *pool,
    const void **data, size_t *data_bytes, bf_error_t *err);

/*
 * Decodes and checks a whole snapshot, digests included.  Invalid data gives
 * BF_ERR_PARSE, BF_ERR_TOO_LARGE or BF_ERR_DIGEST, never a partial snapshot.
 */
bf_code_t bf_snapshot_decode(
    const void *data, size_t data_bytes, bf_snapshot_t **out, bf_error_t *err);

/* Encodes the difference from base to next. */
bf_code_t bf_delta_encode(const bf_snapshot_t *base, const bf_snapshot_t *next,
    apr_pool_t *pool, const void **data, size_t *data_bytes, bf_error_t *err);

/*
 * Applies a delta to base.  BF_ERR_BASE when base is not the exact version
 * and digest that the delta was made for; BF_ERR_DIGEST when the result does
 * not have the digest that the delta contains.  base is not changed.
 */
bf_code_t bf_delta_apply(const bf_snapshot_t *base, const void *data,
    size_t data_bytes, bf_snapshot_t **out, bf_error_t *err);

/*
 * Encodes a service as a chunk, and decodes it.  The store keeps chunks under
 * their digests.
 */
bf_code_t bf_chunk_encode(const bf_service_t *service, apr_pool_t *pool,
    bf_chunk_t *chunk, bf_error_t *err);
bf_code_t bf_chunk_decode(const void *data, size_t data_bytes, apr_pool_t *pool,
    bf_service_t *service, bf_error_t *err);

/* Builds a snapshot from chunks, whose digests and order are checked. */
bf_code_t bf_snapshot_from_chunks(uint64_t version, const bf_chunk_t *chunks,
    size_t chunk_count, bf_snapshot_t **out, bf_error_t *err);

#endif
