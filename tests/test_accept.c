#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>

#include "ctl/accept.h"

#define KEYS_MAX 64
#define PREFIX "basilfork/"

/* An in-memory store with fault injection. */
typedef struct fake_store {
	bf_store_t base;
	struct {
		char *key;
		void *data;
		size_t data_bytes;
		uint64_t index;
	} keys[KEYS_MAX];
	size_t key_count;
	uint64_t index;
	int swaps;

	/* Faults injected into the next swap. */
	bool lose_response;        /* applied, but reported as unsettled */
	bool lose_request;         /* not applied, reported as unsettled */
	const bf_service_t *rival; /* submitted by another operator first */
} fake_store_t;

static const bf_route_t routes[] = {
	{ .name = "all", .path = "/*", .deadline_ms = 1000 },
};
static const bf_split_t split_v1[] = { { .version = "v1", .weight = 1 } };
static const bf_split_t split_v2[] = { { .version = "v2", .weight = 1 } };
static const bf_split_t split_v3[] = { { .version = "v3", .weight = 1 } };

static const bf_service_t service_v1 = {
	.name = "permits",
	.host = "permits",
	.routes = routes,
	.route_count = 1,
	.splits = split_v1,
	.split_count = 1,
	.queue_ms = 10,
};
static const bf_service_t service_v2 = {
	.name = "permits",
	.host = "permits",
	.routes = routes,
	.route_count = 1,
	.splits = split_v2,
	.split_count = 1,
	.queue_ms = 20,
};
static const bf_service_t service_v3 = {
	.name = "permits",
	.host = "permits",
	.routes = routes,
	.route_count = 1,
	.splits = split_v3,
	.split_count = 1,
	.queue_ms = 30,
};

static int
find(const fake_store_t *fake, const char *key)
{
	size_t i;

	for (i = 0; i < fake->key_count; i++) {
		if (strcmp(fake->keys[i].key, key) == 0)
			return (int)i;
	}
	return -1;
}

static void
write_key(
    fake_store_t *fake, const char *key, const void *data, size_t data_bytes)
{
	int i;

	i = find(fake, key);
	if (i < 0) {
		g_assert_cmpuint(fake->key_count, <, KEYS_MAX);
		i = (int)fake->key_count++;
		fake->keys[i].key = g_strdup(key);
	}
	g_free(fake->keys[i].data);
	fake->keys[i].data = g_memdup2(data, data_bytes);
	fake->keys[i].data_bytes = data_bytes;
	fake->keys[i].index = ++fake->index;
}

static bf_code_t
fake_get(bf_store_t *store, const char *key, apr_pool_t *pool,
    bf_store_value_t *value, bf_error_t *err)
{
	fake_store_t *fake = (fake_store_t *)store;
	int i;

	i = find(fake, key);
	if (i < 0)
		return bf_error_set(err, BF_ERR_NOT_FOUND, "%s", key);
	*value = (bf_store_value_t){
		.key = key,
		.data = apr_pmemdup(
		    pool, fake->keys[i].data, fake->keys[i].data_bytes),
		.data_bytes = fake->keys[i].data_bytes,
		.index = fake->keys[i].index,
	};
	return BF_OK;
}

static bf_code_t
fake_put(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, const char *lease, bf_error_t *err)
{
	(void)lease;
	(void)err;
	write_key((fake_store_t *)store, key, data, data_bytes);
	return BF_OK;
}

static void submit_rival(fake_store_t *fake);

static bf_code_t
fake_swap(bf_store_t *store, const char *key, const void *data,
    size_t data_bytes, uint64_t index, bf_error_t *err)
{
	fake_store_t *fake = (fake_store_t *)store;
	bool lose_response = fake->lose_response;
	int i;

	fake->swaps++;
	if (fake->rival != NULL)
		submit_rival(fake);
	fake->lose_response = false;
	if (fake->lose_request) {
		fake->lose_request = false;
		return bf_error_set(err, BF_ERR_UNSETTLED, "no response");
	}
	i = find(fake, key);
	if ((i < 0 ? BF_STORE_INDEX_ABSENT : fake->keys[i].index) != index)
		return bf_error_set(err, BF_ERR_CONFLICT, "index");
	write_key(fake, key, data, data_bytes);
	if (lose_response)
		return bf_error_set(err, BF_ERR_UNSETTLED, "no response");
	return BF_OK;
}

static const bf_store_vtable_t fake_vtable = {
	.get = fake_get,
	.put = fake_put,
	.compare_and_swap = fake_swap,
};

typedef struct fixture {
	fake_store_t fake;
	apr_pool_t *pool;
	bf_accept_result_t result;
	bf_error_t err;
} fixture_t;

static void
setup(fixture_t *f, gconstpointer data)
{
	(void)data;
	memset(f, 0, sizeof(*f));
	f->fake.base.vtable = &fake_vtable;
	apr_pool_create(&f->pool, NULL);
}

static void
teardown(fixture_t *f, gconstpointer data)
{
	size_t i;

	(void)data;
	for (i = 0; i < f->fake.key_count; i++) {
		g_free(f->fake.keys[i].key);
		g_free(f->fake.keys[i].data);
	}
	apr_pool_destroy(f->pool);
}

static bf_code_t
submit(fake_store_t *fake, apr_pool_t *pool, const bf_service_t *service,
    const char *id, bf_accept_result_t *result, bf_error_t *err)
{
	bf_submission_t submission = {
		.services = service,
		.service_count = 1,
		.id = id,
		.operator_name = id,
		.summary = "test",
	};
	bf_accepted_config_t base;
	bf_code_t code;

	g_assert_cmpint(
	    bf_accept_read(&fake->base, PREFIX, pool, &base, err), ==, BF_OK);
	code = bf_accept_submit(
	    &fake->base, PREFIX, &base, &submission, pool, result, err);
	bf_snapshot_free(base.snapshot);
	return code;
}

static void
submit_rival(fake_store_t *fake)
{
	const bf_service_t *service = fake->rival;
	bf_accept_result_t result;
	apr_pool_t *pool;
	bf_error_t err;

	fake->rival = NULL;
	apr_pool_create(&pool, NULL);
	g_assert_cmpint(
	    submit(fake, pool, service, "rival", &result, &err), ==, BF_OK);
	apr_pool_destroy(pool);
}

static void
test_each_submission_increments_the_version(fixture_t *f, gconstpointer data)
{
	bf_accepted_config_t accepted;

	(void)data;
	g_assert_cmpint(
	    submit(&f->fake, f->pool, &service_v1, "a", &f->result, &f->err),
	    ==, BF_OK);
	g_assert_cmpuint(f->result.version, ==, 1);
	g_assert_cmpint(
	    submit(&f->fake, f->pool, &service_v2, "b", &f->result, &f->err),
	    ==, BF_OK);
	g_assert_cmpuint(f->result.version, ==, 2);
	g_assert_cmpint(
	    bf_accept_read(&f->fake.base, PREFIX, f->pool, &accepted, &f->err),
	    ==, BF_OK);
	g_assert_cmpuint(accepted.snapshot->version, ==, 2);
	g_assert_cmpstr(
	    accepted.snapshot->services[0].splits[0].version, ==, "v2");
	g_assert_cmpuint(accepted.head.history_count, ==, 2);
	bf_snapshot_free(accepted.snapshot);
}

static void
test_unchanged_content_is_not_written(fixture_t *f, gconstpointer data)
{
	(void)data;
	submit(&f->fake, f->pool, &service_v1, "a", &f->result, &f->err);
	g_assert_cmpint(
	    submit(&f->fake, f->pool, &service_v1, "b", &f->result, &f->err),
	    ==, BF_OK);
	g_assert_true(f->result.unchanged);
	g_assert_cmpuint(f->result.version, ==, 1);
	g_assert_cmpint(f->fake.swaps, ==, 1);
}

static void
test_lost_response_is_settled_by_reading(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->fake.lose_response = true;
	g_assert_cmpint(
	    submit(&f->fake, f->pool, &service_v1, "a", &f->result, &f->err),
	    ==, BF_OK);
	g_assert_true(f->result.settled);
	g_assert_cmpuint(f->result.version, ==, 1);
	g_assert_cmpint(f->fake.swaps, ==, 1);
}

static void
test_lost_request_is_retried(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->fake.lose_request = true;
	g_assert_cmpint(
	    submit(&f->fake, f->pool, &service_v1, "a", &f->result, &f->err),
	    ==, BF_OK);
	g_assert_cmpuint(f->result.version, ==, 1);
	g_assert_cmpint(f->fake.swaps, ==, 2);
}

static void
test_conflict_reports_the_winner_and_the_keys(fixture_t *f, gconstpointer data)
{
	(void)data;
	submit(&f->fake, f->pool, &service_v1, "a", &f->result, &f->err);
	f->fake.rival = &service_v2;
	g_assert_cmpint(
	    submit(&f->fake, f->pool, &service_v3, "b", &f->result, &f->err),
	    ==, BF_ERR_CONFLICT);
	g_assert_cmpuint(f->result.winner.version, ==, 2);
	g_assert_cmpstr(f->result.winner.history[0].operator_name, ==, "rival");
	g_assert_cmpuint(f->result.conflicting_key_count, ==, 1);
	g_assert_cmpstr(
	    f->result.conflicting_keys[0], ==, "service.permits.queue_ms");
}

static void
test_lost_request_after_a_rival_is_a_conflict(fixture_t *f, gconstpointer data)
{
	(void)data;
	submit(&f->fake, f->pool, &service_v1, "a", &f->result, &f->err);
	f->fake.rival = &service_v2;
	f->fake.lose_request = true;
	g_assert_cmpint(
	    submit(&f->fake, f->pool, &service_v3, "b", &f->result, &f->err),
	    ==, BF_ERR_CONFLICT);
	g_assert_cmpuint(f->result.winner.version, ==, 2);
}

#define ADD(path, function) \
	g_test_add(path, fixture_t, NULL, setup, function, teardown)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	ADD("/accept/versions", test_each_submission_increments_the_version);
	ADD("/accept/unchanged", test_unchanged_content_is_not_written);
	ADD("/accept/lost-answer", test_lost_response_is_settled_by_reading);
	ADD("/accept/lost-request", test_lost_request_is_retried);
	ADD("/accept/race", test_conflict_reports_the_winner_and_the_keys);
	ADD("/accept/race-lost-answer",
	    test_lost_request_after_a_rival_is_a_conflict);
	return g_test_run();
}
