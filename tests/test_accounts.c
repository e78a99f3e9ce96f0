#include <stdio.h>

#include <apr_general.h>
#include <glib.h>
#include <sodium.h>

#include "accounts/directory.h"

/*
 * The accounts of a configuration.  Guards against a key that is taken for that
 * of another account, or that works although it is not in the configuration.
 */

#define KEYS 100000

static void
check_keys_of_accounts(void)
{
	const bf_account_t first = {
		.name = "first", .priority = 1, .rate_per_s = 3.5, .burst = 2
	};
	const bf_account_t second = { .name = "second" };
	bf_account_directory_t *directory;
	const bf_account_t *found;
	bf_error_t err = { 0 };
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	directory = bf_account_directory_new(pool);
	g_assert_cmpint(bf_account_directory_add_key(directory, "none", &err),
	    ==, BF_ERR_REFERENCE);
	g_assert_cmpint(
	    bf_account_directory_add(directory, &first, &err), ==, BF_OK);
	g_assert_cmpint(
	    bf_account_directory_add_key(directory, "a", &err), ==, BF_OK);
	g_assert_cmpint(
	    bf_account_directory_add_key(directory, "a", &err), ==, BF_OK);
	g_assert_cmpint(bf_account_directory_add(directory, &first, &err), ==,
	    BF_ERR_CONFLICT);
	g_assert_cmpint(
	    bf_account_directory_add(directory, &second, &err), ==, BF_OK);
	g_assert_cmpint(bf_account_directory_add_key(directory, "a", &err), ==,
	    BF_ERR_CONFLICT);
	g_assert_null(strstr(err.message, "\"a\""));
	g_assert_cmpint(
	    bf_account_directory_add_key(directory, "b", &err), ==, BF_OK);

	found = bf_account_directory_authenticate(directory, "a");
	g_assert_nonnull(found);
	g_assert_cmpstr(found->name, ==, "first");
	g_assert_cmpfloat(found->rate_per_s, ==, 3.5);
	found = bf_account_directory_authenticate(directory, "b");
	g_assert_cmpstr(found->name, ==, "second");
	g_assert_null(bf_account_directory_authenticate(directory, "A"));
	g_assert_null(bf_account_directory_authenticate(directory, ""));
	g_assert_cmpuint(bf_account_directory_count(directory), ==, 2);
	apr_pool_destroy(pool);
}

static void
check_many_keys(void)
{
	const bf_account_t account = { .name = "large" };
	bf_account_directory_t *directory;
	apr_pool_t *pool;
	char key[32];
	uint32_t i;

	apr_pool_create(&pool, NULL);
	directory = bf_account_directory_new(pool);
	g_assert_cmpint(
	    bf_account_directory_add(directory, &account, NULL), ==, BF_OK);
	for (i = 0; i < KEYS; i++) {
		(void)snprintf(key, sizeof(key), "key-%u", i);
		g_assert_cmpint(
		    bf_account_directory_add_key(directory, key, NULL), ==,
		    BF_OK);
	}
	g_assert_nonnull(
	    bf_account_directory_authenticate(directory, "key-99999"));
	g_assert_null(
	    bf_account_directory_authenticate(directory, "key-100000"));
	apr_pool_destroy(pool);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/accounts/keys", check_keys_of_accounts);
	g_test_add_func("/accounts/many", check_many_keys);
	return g_test_run();
}
