#ifndef BF_CONFIG_INTENT_H
#define BF_CONFIG_INTENT_H

#include <stddef.h>

#include <apr_pools.h>

#include "base/error.h"
#include "config/snapshot.h"
#include "toml/diagnostic.h"

/*
 * Intent: a directory of TOML files that are merged into one configuration;
 * see basilfork-intent(5).
 */

#define BF_INTENT_FILES_MAX 256

typedef struct bf_intent {
	const bf_service_t *services; /* for bf_snapshot_build */
	size_t service_count;
	const char *const *files; /* in the order of the merge */
	size_t file_count;
} bf_intent_t;

/*
 * Reads every "*.toml" file of dir in the bytewise order of their names,
 * merges them key by key and checks the result.  Files whose names begin with
 * '.' are skipped.  Returns BF_OK, or the code of the first diagnostic; intent
 * is then empty.
 */
bf_code_t bf_intent_load(const char *dir, apr_pool_t *pool, bf_intent_t *intent,
    bf_diagnostics_t *diagnostics);

/* The kind of object that a changed key belongs to. */
typedef enum bf_change_object {
	BF_CHANGE_SERVICE,
	BF_CHANGE_ROUTE,
	BF_CHANGE_SPLIT,
	BF_CHANGE_MOVE
} bf_change_object_t;

typedef enum bf_change_kind {
	BF_CHANGE_ADDED,
	BF_CHANGE_REMOVED,
	BF_CHANGE_CHANGED
} bf_change_kind_t;

/*
 * One key that differs.  A service, route or move that is added or removed has
 * a change without values for itself, besides the changes of its keys.
 */
typedef struct bf_change {
	bf_change_object_t object;
	bf_change_kind_t kind;
	const char *key;       /* dotted, as in intent files */
	const char *old_value; /* in TOML syntax; NULL: none */
	const char *new_value; /* in TOML syntax; NULL: none */
} bf_change_t;

/*
 * Lists the differences between a snapshot (NULL: an empty one) and services,
 * sorted by key.  The strings are allocated from pool.
 */
void bf_intent_diff(const bf_snapshot_t *old, const bf_service_t *services,
    size_t service_count, apr_pool_t *pool, const bf_change_t **changes,
    size_t *change_count);

/*
 * Lists the keys that two operators changed from the same base to different
 * values: mine, and theirs in the snapshot that was accepted first.  A key
 * that one of them added or changed in a service, route or move that the other
 * removed is a conflict too.
 */
void bf_intent_conflicts(const bf_snapshot_t *base, const bf_service_t *mine,
    size_t mine_count, const bf_snapshot_t *theirs, apr_pool_t *pool,
    const char *const **keys, size_t *key_count);

#endif
