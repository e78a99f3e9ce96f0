#ifndef BF_CONTROL_HISTORY_H
#define BF_CONTROL_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/digest.h"
#include "config/snapshot.h"

/*
 * The versions that were in force lately, without the chunks' bytes: enough to
 * tell which chunks changed since.  A delta to the version in force is kept
 * once encoded, since neighbours mostly ask for the same one.
 */

#define BF_HISTORY_VERSIONS 16

typedef struct bf_history_entry {
	bf_snapshot_t outline; /* pool NULL: none */
	apr_pool_t *delta_pool;
	const void *delta; /* NULL: not encoded */
	size_t delta_bytes;
} bf_history_entry_t;

/* Zeroed when empty. */
typedef struct bf_history {
	bf_history_entry_t past[BF_HISTORY_VERSIONS];
	size_t next;
} bf_history_t;

/* Keeps the outline of what another version replaces. */
void bf_history_add(bf_history_t *history, const bf_snapshot_t *replaced);

/*
 * The delta from a base to current, the version in force; valid until the next
 * bf_history_add.  False when that base is not known.
 */
bool bf_history_delta(bf_history_t *history, uint64_t version,
    bf_digest_t digest, const bf_snapshot_t *current, const void **delta,
    size_t *delta_bytes);

void bf_history_clear(bf_history_t *history);

#endif
