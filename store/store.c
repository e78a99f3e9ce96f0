#include "store/store.h"

bf_code_t
bf_store_get(bf_store_t *store, const char *key, apr_pool_t *pool,
    bf_store_value_t *value, bf_error_t *err)
{
	return store->vtable->get(store, key, pool, value, err);
}

bf_code_t
bf_store_list(bf_store_t *store, const char *prefix, apr_pool_t *pool,
    bf_store_value_t **values, size_t *count, bf_error_t *err)
{
	return store->vtable->list(store, prefix, pool, values, count, err);
}

static bf_code_t
check_size(const char *key, size_t data_bytes, bf_error_t *err)
{
	if (data_bytes <= BF_STORE_VALUE_BYTES_MAX)
		return BF_OK;
	return bf_error_set(err, BF_ERR_TOO_LARGE,
	    "%s: %zu bytes; the store accepts at most %d", key, data_bytes,
	    BF_STORE_VALUE_BYTES_MAX);
}

bf_code_t
bf_store_put(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, const char *lease, bf_error_t *err)
{
	bf_code_t code;

	code = check_size(key, data_bytes, err);
	if (code != BF_OK)
		return code;
	return store->vtable->put(store, key, data, data_bytes, lease, err);
}

bf_code_t
bf_store_compare_and_swap(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, uint64_t index, bf_error_t *err)
{
	bf_code_t code;

	code = check_size(key, data_bytes, err);
	if (code != BF_OK)
		return code;
	return store->vtable->compare_and_swap(
	    store, key, data, data_bytes, index, err);
}

bf_code_t
bf_store_watch(bf_store_t *store, const char *key, uint64_t index,
    uint32_t wait_ms, apr_pool_t *pool, bf_store_value_t *value,
    bf_error_t *err)
{
	return store->vtable->watch(
	    store, key, index, wait_ms, pool, value, err);
}

bf_code_t
bf_store_lease_grant(bf_store_t *store, uint32_t ttl_ms, apr_pool_t *pool,
    const char **lease, bf_error_t *err)
{
	return store->vtable->lease_grant(store, ttl_ms, pool, lease, err);
}

bf_code_t
bf_store_lease_renew(bf_store_t *store, const char *lease, bf_error_t *err)
{
	return store->vtable->lease_renew(store, lease, err);
}

bf_code_t
bf_store_lease_revoke(bf_store_t *store, const char *lease, bf_error_t *err)
{
	return store->vtable->lease_revoke(store, lease, err);
}

bf_code_t
bf_store_acquire(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, const char *lease, bf_error_t *err)
{
	bf_code_t code;

	code = check_size(key, data_bytes, err);
	if (code != BF_OK)
		return code;
	return store->vtable->acquire(store, key, data, data_bytes, lease, err);
}

void
bf_store_free(bf_store_t *store)
{
	if (store != NULL)
		store->vtable->free(store);
}
