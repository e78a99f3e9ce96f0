#ifndef BF_STORE_STORE_H
#define BF_STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/clock.h"
#include "base/error.h"

/*
 * Blocking interface to the platform's key-value service.  It is called by the
 * relay's own thread and by basilctl, never while a request is served.  A
 * bf_store_t is used by one thread at a time.
 *
 * Codes that every call may return besides its own:
 *   BF_ERR_UNAVAILABLE  the call certainly had no effect
 *   BF_ERR_UNSETTLED    a write that may or may not have taken effect
 *   BF_ERR_TIMEOUT      a read that got no answer in time
 *   BF_ERR_LIMIT        rejected by the store's rate limit, without effect
 */

/* The service limits values to 1 MB. */
#define BF_STORE_VALUE_BYTES_MAX 1000000

/* The index of a key that does not exist, for compare-and-swap. */
#define BF_STORE_INDEX_ABSENT 0

typedef struct bf_store bf_store_t;

typedef struct bf_store_value {
	const char *key;
	const void *data;
	size_t data_bytes;
	uint64_t index; /* of the key's last modification */
} bf_store_value_t;

typedef struct bf_store_vtable {
	bf_code_t (*get)(bf_store_t *store, const char *key, apr_pool_t *pool,
	    bf_store_value_t *value, bf_error_t *err);
	bf_code_t (*list)(bf_store_t *store, const char *prefix,
	    apr_pool_t *pool, bf_store_value_t **values, size_t *count,
	    bf_error_t *err);
	bf_code_t (*put)(bf_store_t *store, const char *key, const void *data,
	    size_t data_bytes, const char *lease, bf_error_t *err);
	bf_code_t (*compare_and_swap)(bf_store_t *store, const char *key,
	    const void *data, size_t data_bytes, uint64_t index,
	    bf_error_t *err);
	bf_code_t (*watch)(bf_store_t *store, const char *key, uint64_t index,
	    uint32_t wait_ms, apr_pool_t *pool, bf_store_value_t *value,
	    bf_error_t *err);
	bf_code_t (*lease_grant)(bf_store_t *store, uint32_t ttl_ms,
	    apr_pool_t *pool, const char **lease, bf_error_t *err);
	bf_code_t (*lease_renew)(
	    bf_store_t *store, const char *lease, bf_error_t *err);
	bf_code_t (*lease_revoke)(
	    bf_store_t *store, const char *lease, bf_error_t *err);
	bf_code_t (*acquire)(bf_store_t *store, const char *key,
	    const void *data, size_t data_bytes, const char *lease,
	    bf_error_t *err);
	void (*free)(bf_store_t *store);
} bf_store_vtable_t;

struct bf_store {
	const bf_store_vtable_t *vtable;
};

/* Reads one key; BF_ERR_NOT_FOUND when it does not exist. */
bf_code_t bf_store_get(bf_store_t *store, const char *key, apr_pool_t *pool,
    bf_store_value_t *value, bf_error_t *err);

/*
 * Reads every key that begins with prefix, in the order of keys.  Returns
 * BF_OK with a count of 0 if there is none.
 */
bf_code_t bf_store_list(bf_store_t *store, const char *prefix, apr_pool_t *pool,
    bf_store_value_t **values, size_t *count, bf_error_t *err);

/* Writes a key unconditionally; lease may be NULL. */
bf_code_t bf_store_put(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, const char *lease, bf_error_t *err);

/*
 * Writes only if the key's modification index is index
 * (BF_STORE_INDEX_ABSENT: if it does not exist); BF_ERR_CONFLICT otherwise.
 */
bf_code_t bf_store_compare_and_swap(bf_store_t *store, const char *key,
    const void *data, size_t data_bytes, uint64_t index, bf_error_t *err);

/*
 * Waits until the key's index is greater than index or wait_ms have passed,
 * and returns the current value; compare value->index to see which.  Returns
 * BF_ERR_NOT_FOUND after the wait if the key is absent.
 */
bf_code_t bf_store_watch(bf_store_t *store, const char *key, uint64_t index,
    uint32_t wait_ms, apr_pool_t *pool, bf_store_value_t *value,
    bf_error_t *err);

/* Keys that were put or acquired with a lease are deleted when it ends. */
bf_code_t bf_store_lease_grant(bf_store_t *store, uint32_t ttl_ms,
    apr_pool_t *pool, const char **lease, bf_error_t *err);
/* BF_ERR_NOT_FOUND if the lease has ended. */
bf_code_t bf_store_lease_renew(
    bf_store_t *store, const char *lease, bf_error_t *err);
bf_code_t bf_store_lease_revoke(
    bf_store_t *store, const char *lease, bf_error_t *err);

/* Acquires key for a lease; BF_ERR_CONFLICT while another lease holds it. */
bf_code_t bf_store_acquire(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, const char *lease, bf_error_t *err);

void bf_store_free(bf_store_t *store);

#endif
