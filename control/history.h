#ifndef BF_CONTROL_HISTORY_H
#define BF_CONTROL_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/digest.h"
#include "config/snapshot.h"

/*
 * The versions that were last in force, as manifests: snapshots with the
 * digests of their chunks but without the chunks' data, enough to find which
 * chunks have changed since.  An encoded delta from one of them to the version
 * in force is cached, since neighbours mostly request the same one.
 */

#define BF_HISTORY_VERSIONS 16

typedef struct bf_history_entry {
	bf_snapshot_t manifest; /* pool is NULL in an unused entry */
	apr_pool_t *delta_pool;
	const void *delta; /* to the version in force; NULL: not encoded */
	size_t delta_bytes;
} bf_history_entry_t;

/* A zeroed structure is an empty history. */
typedef struct bf_history {
	bf_history_entry_t entries[BF_HISTORY_VERSIONS];
	size_t next; /* the entry to replace next, modulo their number */
} bf_history_t;

/*
 * Adds the manifest of a snapshot that was replaced, and removes the oldest
 * manifest when the history is full.  Frees all cached deltas.
 */
void bf_history_add(bf_history_t *history, const bf_snapshot_t *replaced);

/*
 * Returns the encoded delta from the base with this version and digest to
 * current, the version in force; valid until the next bf_history_add.  False
 * when the history has no such base or the delta cannot be encoded.
 */
bool bf_history_delta(bf_history_t *history, uint64_t version,
    bf_digest_t digest, const bf_snapshot_t *current, const void **delta,
    size_t *delta_bytes);

void bf_history_clear(bf_history_t *history);

#endif
