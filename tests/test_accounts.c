#include <stdio.h>

#include <apr_general.h>
#include <glib.h>
#include <sodium.h>

#include "accounts/authenticate.h"

/*
 * The accounts of a configuration.  Guards against a key that is taken for that
 * of another account, or that works although it is not in the configuration,
 * and against a call that runs without a key it needs.
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

/* Guards against keys that are read from malformed values, or not read. */
static void
check_parse_key(void)
{
	static const struct {
		const char *value;
		const char *key;
	} rows[] = {
		{ "Bearer abc", "abc" },
		{ "bEARER abc", "abc" },
		{ " Bearer \t abc \t", "abc" },
		{ "Bearer", NULL },
		{ "Bearer ", NULL },
		{ "Bearerabc", NULL },
		{ "Bearer abc def", NULL },
		{ "Basic abc", NULL },
		{ "", NULL },
	};
	char buffer[16];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		g_assert_cmpstr(bf_account_parse_key(rows[i].value, "Bearer",
				    buffer, sizeof(buffer)),
		    ==, rows[i].key);
	/* A key that does not fit is refused, not cut to another key. */
	g_assert_null(bf_account_parse_key(
	    "Bearer abcdefghijklmnop ", "Bearer", buffer, sizeof(buffer)));
}

/* Guards against calls that are served without the key they need. */
static void
check_identify(void)
{
	const bf_account_t account = { .name = "first", .priority = 3 };
	const char *known = "Bearer a", *unknown = "Bearer b";
	const struct {
		const char *label;
		bf_credentials_t credentials;
		bf_access_t access;
		bool has_account;
		bool inner;
	} rows[] = {
		{ "known key",
		    { .authorization = known, .authorization_count = 1 },
		    BF_ACCESS_GRANTED, true, false },
		{ "unknown key",
		    { .authorization = unknown, .authorization_count = 1 },
		    BF_ACCESS_NO_KEY, false, false },
		{ "two fields",
		    { .authorization = known, .authorization_count = 2 },
		    BF_ACCESS_NO_KEY, false, false },
		{ "no key", { 0 }, BF_ACCESS_NO_KEY, false, false },
		{ "public, no key", { .route_is_public = true },
		    BF_ACCESS_GRANTED, false, false },
		{ "public, known key",
		    { .route_is_public = true,
			.authorization = known,
			.authorization_count = 1 },
		    BF_ACCESS_GRANTED, true, false },
		{ "public, unknown key",
		    { .route_is_public = true,
			.authorization = unknown,
			.authorization_count = 1 },
		    BF_ACCESS_GRANTED, false, false },
		{ "call of a target",
		    { .names_parent = true, .has_parent = true },
		    BF_ACCESS_GRANTED, false, true },
		{ "call of a target whose run is not known",
		    { .names_parent = true }, BF_ACCESS_NO_PARENT, false,
		    false },
		{ "known key, id like that of a call of a target",
		    { .names_parent = true,
			.has_parent = true,
			.authorization = known,
			.authorization_count = 1 },
		    BF_ACCESS_GRANTED, true, false },
		{ "unknown key, id like that of a call of a target",
		    { .names_parent = true,
			.has_parent = true,
			.authorization = unknown,
			.authorization_count = 1 },
		    BF_ACCESS_NO_KEY, false, false },
		{ "known key, stale",
		    { .authorization = known,
			.authorization_count = 1,
			.keys_are_stale = true },
		    BF_ACCESS_STALE, false, false },
		{ "unknown key, stale",
		    { .authorization = unknown,
			.authorization_count = 1,
			.keys_are_stale = true },
		    BF_ACCESS_STALE, false, false },
		{ "no key, stale", { .keys_are_stale = true }, BF_ACCESS_NO_KEY,
		    false, false },
		{ "public, known key, stale",
		    { .route_is_public = true,
			.authorization = known,
			.authorization_count = 1,
			.keys_are_stale = true },
		    BF_ACCESS_GRANTED, false, false },
		{ "call of a target, stale",
		    { .names_parent = true,
			.has_parent = true,
			.keys_are_stale = true },
		    BF_ACCESS_GRANTED, false, true },
	};
	bf_account_directory_t *directory;
	bf_credentials_t of_account;
	bf_identity_t identity;
	apr_pool_t *pool;
	size_t i;

	apr_pool_create(&pool, NULL);
	directory = bf_account_directory_new(pool);
	g_assert_cmpint(
	    bf_account_directory_add(directory, &account, NULL), ==, BF_OK);
	g_assert_cmpint(
	    bf_account_directory_add_key(directory, "a", NULL), ==, BF_OK);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_test_message("%s", rows[i].label);
		identity = bf_account_identify(
		    directory, "Bearer", &rows[i].credentials);
		g_assert_cmpint(identity.access, ==, rows[i].access);
		g_assert_cmpint(
		    identity.account != NULL, ==, rows[i].has_account);
		g_assert_cmpint(identity.has_key, ==, rows[i].has_account);
		g_assert_cmpint(identity.inner, ==, rows[i].inner);
	}
	of_account = (bf_credentials_t){ .names_parent = true,
		.has_parent = true,
		.parent_account_id =
		    bf_account_directory_find(directory, "first")->id };
	identity = bf_account_identify(directory, "Bearer", &of_account);
	g_assert_cmpstr(identity.account->name, ==, "first");
	g_assert_false(identity.has_key);
	apr_pool_destroy(pool);
}

/* Guards against a route's priority that outweighs that of an account. */
static void
check_priority(void)
{
	const bf_account_t urgent = { .name = "urgent", .priority = 1 };
	const bf_account_t other = { .name = "other", .priority = 2 };
	bf_account_directory_t *directory;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	directory = bf_account_directory_new(pool);
	g_assert_cmpuint(bf_account_call_priority(NULL, NULL, 7), ==, 7);
	g_assert_cmpuint(
	    bf_account_call_priority(directory, &urgent, UINT32_MAX), <,
	    bf_account_call_priority(directory, &other, 0));
	g_assert_cmpuint(bf_account_call_priority(directory, &other, 1), <,
	    bf_account_call_priority(directory, &other, 2));
	g_assert_cmpuint(
	    bf_account_call_priority(directory, &other, UINT32_MAX), <,
	    bf_account_call_priority(directory, NULL, 0));
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
	g_test_add_func("/accounts/parse_key", check_parse_key);
	g_test_add_func("/accounts/identify", check_identify);
	g_test_add_func("/accounts/priority", check_priority);
	return g_test_run();
}
