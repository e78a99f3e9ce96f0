#include <pthread.h>
#include <string.h>

#include <apr_strings.h>

#include "tests/fake_store.h"

#define WATCH_POLL_INTERVAL_US 2000
#define SERVICES_MAX 64

typedef struct fake_value {
	GBytes *data;
	uint64_t index;
	uint64_t writes;
	char *lease; /* NULL: none */
} fake_value_t;

struct fake_store {
	pthread_mutex_t lock;
	GTree *values;
	GHashTable *leases;
	uint64_t index;
	uint64_t next_lease;
	bf_code_t fail_code; /* returned by all calls; BF_OK: none */
	bool lose_answer;
	uint64_t calls[FAKE_CALLS];
};

typedef struct handle {
	bf_store_t base;
	fake_store_t *fake;
} handle_t;

static void
value_free(gpointer data)
{
	fake_value_t *value = data;

	g_bytes_unref(value->data);
	g_free(value->lease);
	g_free(value);
}

static gint
compare(gconstpointer a, gconstpointer b, gpointer ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

fake_store_t *
fake_store_new(void)
{
	fake_store_t *fake;

	fake = g_new0(fake_store_t, 1);
	pthread_mutex_init(&fake->lock, NULL);
	fake->values = g_tree_new_full(compare, NULL, g_free, value_free);
	fake->leases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return fake;
}

void
fake_store_free(fake_store_t *fake)
{
	pthread_mutex_destroy(&fake->lock);
	g_tree_unref(fake->values);
	g_hash_table_unref(fake->leases);
	g_free(fake);
}

/* Counts a call and locks the store; it stays locked only on BF_OK. */
static bf_code_t
begin_call(bf_store_t *store, fake_call_t call)
{
	fake_store_t *fake = ((handle_t *)store)->fake;

	pthread_mutex_lock(&fake->lock);
	fake->calls[call]++;
	if (fake->fail_code == BF_OK)
		return BF_OK;
	pthread_mutex_unlock(&fake->lock);
	return fake->fail_code;
}

/* Unlocks the store; returns the code, or that of a lost response. */
static bf_code_t
end_call(fake_store_t *fake, bf_code_t code)
{
	if (fake->lose_answer && code == BF_OK) {
		fake->lose_answer = false;
		code = BF_ERR_UNSETTLED;
	}
	pthread_mutex_unlock(&fake->lock);
	return code;
}

static void
write_value(fake_store_t *fake, const char *key, const void *data, size_t bytes,
    const char *lease)
{
	fake_value_t *value;
	fake_value_t *old;

	old = g_tree_lookup(fake->values, key);
	value = g_new0(fake_value_t, 1);
	value->data = g_bytes_new(data, bytes);
	value->index = ++fake->index;
	value->writes = old == NULL ? 1 : old->writes + 1;
	value->lease = g_strdup(lease);
	g_tree_replace(fake->values, g_strdup(key), value);
}

static void
read_value(const char *key, const fake_value_t *value, apr_pool_t *pool,
    bf_store_value_t *out)
{
	gconstpointer data;
	gsize bytes;

	data = g_bytes_get_data(value->data, &bytes);
	out->key = apr_pstrdup(pool, key);
	out->data = apr_pmemdup(pool, data == NULL ? "" : data, bytes);
	out->data_bytes = bytes;
	out->index = value->index;
}

static bf_code_t
fake_get(bf_store_t *store, const char *key, apr_pool_t *pool,
    bf_store_value_t *value, bf_error_t *err)
{
	fake_store_t *fake = ((handle_t *)store)->fake;
	fake_value_t *found;
	bf_code_t code;

	(void)err;
	code = begin_call(store, FAKE_GET);
	if (code != BF_OK)
		return code;
	found = g_tree_lookup(fake->values, key);
	if (found != NULL)
		read_value(key, found, pool, value);
	pthread_mutex_unlock(&fake->lock);
	return found == NULL ? BF_ERR_NOT_FOUND : BF_OK;
}

typedef struct listing {
	const char *prefix;
	apr_pool_t *pool;
	bf_store_value_t *values;
	size_t count;
} listing_t;

static gboolean
list_one(gpointer key, gpointer data, gpointer ctx)
{
	listing_t *listing = ctx;

	if (g_str_has_prefix(key, listing->prefix))
		read_value(key, data, listing->pool,
		    &listing->values[listing->count++]);
	return FALSE;
}

static bf_code_t
fake_list(bf_store_t *store, const char *prefix, apr_pool_t *pool,
    bf_store_value_t **values, size_t *count, bf_error_t *err)
{
	fake_store_t *fake = ((handle_t *)store)->fake;
	listing_t listing = { .prefix = prefix, .pool = pool };
	bf_code_t code;

	(void)err;
	code = begin_call(store, FAKE_LIST);
	if (code != BF_OK)
		return code;
	listing.values = apr_pcalloc(pool,
	    (size_t)(g_tree_nnodes(fake->values) + 1) *
		sizeof(bf_store_value_t));
	g_tree_foreach(fake->values, list_one, &listing);
	pthread_mutex_unlock(&fake->lock);
	*values = listing.values;
	*count = listing.count;
	return BF_OK;
}

static bf_code_t
fake_put(bf_store_t *store, const char *key, const void *data, size_t bytes,
    const char *lease, bf_error_t *err)
{
	bf_code_t code;

	(void)err;
	code = begin_call(store, FAKE_PUT);
	if (code != BF_OK)
		return code;
	write_value(((handle_t *)store)->fake, key, data, bytes, lease);
	return end_call(((handle_t *)store)->fake, BF_OK);
}

static bf_code_t
fake_swap(bf_store_t *store, const char *key, const void *data, size_t bytes,
    uint64_t index, bf_error_t *err)
{
	fake_store_t *fake = ((handle_t *)store)->fake;
	fake_value_t *found;
	bf_code_t code;

	(void)err;
	code = begin_call(store, FAKE_SWAP);
	if (code != BF_OK)
		return code;
	found = g_tree_lookup(fake->values, key);
	if ((found == NULL ? BF_STORE_INDEX_ABSENT : found->index) != index)
		code = BF_ERR_CONFLICT;
	else
		write_value(fake, key, data, bytes, NULL);
	return end_call(fake, code);
}

static bf_code_t
fake_watch(bf_store_t *store, const char *key, uint64_t index, uint32_t wait_ms,
    apr_pool_t *pool, bf_store_value_t *value, bf_error_t *err)
{
	fake_store_t *fake = ((handle_t *)store)->fake;
	fake_value_t *found;
	gint64 deadline_us;
	bf_code_t code;

	(void)err;
	code = begin_call(store, FAKE_WATCH);
	if (code != BF_OK)
		return code;
	deadline_us = g_get_monotonic_time() + (gint64)wait_ms * 1000;
	while (((found = g_tree_lookup(fake->values, key)) == NULL ||
		   found->index <= index) &&
	    g_get_monotonic_time() < deadline_us && fake->fail_code == BF_OK) {
		pthread_mutex_unlock(&fake->lock);
		g_usleep(WATCH_POLL_INTERVAL_US);
		pthread_mutex_lock(&fake->lock);
	}
	if (found != NULL)
		read_value(key, found, pool, value);
	pthread_mutex_unlock(&fake->lock);
	return found == NULL ? BF_ERR_NOT_FOUND : BF_OK;
}

static bf_code_t
fake_grant(bf_store_t *store, uint32_t ttl_ms, apr_pool_t *pool,
    const char **lease, bf_error_t *err)
{
	fake_store_t *fake = ((handle_t *)store)->fake;
	bf_code_t code;

	(void)err;
	(void)ttl_ms;
	code = begin_call(store, FAKE_GRANT);
	if (code != BF_OK)
		return code;
	*lease =
	    apr_psprintf(pool, "lease-%" G_GUINT64_FORMAT, ++fake->next_lease);
	g_hash_table_add(fake->leases, g_strdup(*lease));
	return end_call(fake, BF_OK);
}

static bf_code_t
fake_renew(bf_store_t *store, const char *lease, bf_error_t *err)
{
	fake_store_t *fake = ((handle_t *)store)->fake;
	bf_code_t code;

	(void)err;
	code = begin_call(store, FAKE_RENEW);
	if (code != BF_OK)
		return code;
	return end_call(fake,
	    g_hash_table_contains(fake->leases, lease) ? BF_OK
						       : BF_ERR_NOT_FOUND);
}

static gboolean
collect_leased(gpointer key, gpointer data, gpointer ctx)
{
	if (((fake_value_t *)data)->lease != NULL)
		g_ptr_array_add(ctx, g_strdup(key));
	return FALSE;
}

/* Removes the values held under a lease; NULL: under any lease. */
static void
remove_leased(fake_store_t *fake, const char *lease)
{
	GPtrArray *keys;
	fake_value_t *value;
	guint i;

	keys = g_ptr_array_new_with_free_func(g_free);
	g_tree_foreach(fake->values, collect_leased, keys);
	for (i = 0; i < keys->len; i++) {
		value = g_tree_lookup(fake->values, keys->pdata[i]);
		if (lease == NULL || strcmp(value->lease, lease) == 0)
			g_tree_remove(fake->values, keys->pdata[i]);
	}
	g_ptr_array_unref(keys);
}

static bf_code_t
fake_revoke(bf_store_t *store, const char *lease, bf_error_t *err)
{
	fake_store_t *fake = ((handle_t *)store)->fake;
	bf_code_t code;

	(void)err;
	code = begin_call(store, FAKE_REVOKE);
	if (code != BF_OK)
		return code;
	remove_leased(fake, lease);
	g_hash_table_remove(fake->leases, lease);
	return end_call(fake, BF_OK);
}

static bf_code_t
fake_acquire(bf_store_t *store, const char *key, const void *data, size_t bytes,
    const char *lease, bf_error_t *err)
{
	fake_store_t *fake = ((handle_t *)store)->fake;
	fake_value_t *found;
	bf_code_t code;

	(void)err;
	code = begin_call(store, FAKE_ACQUIRE);
	if (code != BF_OK)
		return code;
	found = g_tree_lookup(fake->values, key);
	if (found != NULL && g_strcmp0(found->lease, lease) != 0)
		code = BF_ERR_CONFLICT;
	else
		write_value(fake, key, data, bytes, lease);
	return end_call(fake, code);
}

static void
fake_free(bf_store_t *store)
{
	g_free(store);
}

static const bf_store_vtable_t fake_vtable = {
	.get = fake_get,
	.list = fake_list,
	.put = fake_put,
	.compare_and_swap = fake_swap,
	.watch = fake_watch,
	.lease_grant = fake_grant,
	.lease_renew = fake_renew,
	.lease_revoke = fake_revoke,
	.acquire = fake_acquire,
	.free = fake_free,
};

bf_store_t *
fake_store_open(fake_store_t *fake)
{
	handle_t *handle;

	handle = g_new0(handle_t, 1);
	handle->base.vtable = &fake_vtable;
	handle->fake = fake;
	return &handle->base;
}

void
fake_store_fail(fake_store_t *fake, bf_code_t code)
{
	pthread_mutex_lock(&fake->lock);
	fake->fail_code = code;
	pthread_mutex_unlock(&fake->lock);
}

void
fake_store_lose_answer(fake_store_t *fake)
{
	pthread_mutex_lock(&fake->lock);
	fake->lose_answer = true;
	pthread_mutex_unlock(&fake->lock);
}

void
fake_store_end_leases(fake_store_t *fake)
{
	pthread_mutex_lock(&fake->lock);
	remove_leased(fake, NULL);
	g_hash_table_remove_all(fake->leases);
	pthread_mutex_unlock(&fake->lock);
}

uint64_t
fake_store_calls(fake_store_t *fake, fake_call_t call)
{
	uint64_t count;

	pthread_mutex_lock(&fake->lock);
	count = fake->calls[call];
	pthread_mutex_unlock(&fake->lock);
	return count;
}

uint64_t
fake_store_calls_total(fake_store_t *fake)
{
	uint64_t sum;
	int i;

	sum = 0;
	for (i = 0; i < FAKE_CALLS; i++)
		sum += fake_store_calls(fake, (fake_call_t)i);
	return sum;
}

uint64_t
fake_store_writes(fake_store_t *fake, const char *key)
{
	fake_value_t *value;
	uint64_t writes;

	pthread_mutex_lock(&fake->lock);
	value = g_tree_lookup(fake->values, key);
	writes = value == NULL ? 0 : value->writes;
	pthread_mutex_unlock(&fake->lock);
	return writes;
}

void
fake_store_accept(fake_store_t *fake, const bf_snapshot_t *snapshot)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	bf_head_t head = { .version = snapshot->version,
		.digest = snapshot->digest,
		.chunks = snapshot->chunks,
		.chunk_count = snapshot->service_count,
		.submission = "test" };
	g_autofree char *key = NULL;
	apr_pool_t *pool;
	const void *data;
	size_t bytes;
	size_t i;

	apr_pool_create(&pool, NULL);
	g_assert_cmpint(
	    bf_head_encode(&head, pool, &data, &bytes, NULL), ==, BF_OK);
	pthread_mutex_lock(&fake->lock);
	for (i = 0; i < snapshot->service_count; i++) {
		bf_digest_format(snapshot->chunks[i].digest, digest);
		g_free(key);
		key = g_strdup_printf("basilfork/chunk/%s", digest);
		write_value(fake, key, snapshot->chunks[i].data,
		    snapshot->chunks[i].data_bytes, NULL);
	}
	write_value(fake, "basilfork/head", data, bytes, NULL);
	pthread_mutex_unlock(&fake->lock);
	apr_pool_destroy(pool);
}

bf_snapshot_t *
fake_snapshot(uint64_t version, size_t service_count, uint32_t queue_ms)
{
	bf_route_t route = { .name = "all", .path = "/*", .deadline_ms = 1000 };
	bf_split_t split = { .version = "v1", .weight = 1 };
	bf_service_t list[SERVICES_MAX];
	char names[SERVICES_MAX][16];
	bf_snapshot_t *snapshot;
	bf_error_t err;
	size_t i;

	g_assert_cmpuint(service_count, <=, SERVICES_MAX);
	for (i = 0; i < service_count; i++) {
		g_snprintf(names[i], sizeof(names[i]), "service-%zu", i);
		list[i] = (bf_service_t){ .name = names[i],
			.host = names[i],
			.routes = &route,
			.route_count = 1,
			.splits = &split,
			.split_count = 1,
			.queue_ms = i == 0 ? queue_ms : 0 };
	}
	if (bf_snapshot_build(version, list, service_count, &snapshot, &err) !=
	    BF_OK)
		g_error("%s", err.message);
	return snapshot;
}
