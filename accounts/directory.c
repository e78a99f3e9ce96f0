#include <string.h>

#include <apr_hash.h>
#include <apr_strings.h>
#include <apr_tables.h>
#include <sodium.h>

#include "accounts/directory.h"
#include "base/digest.h"

#define ACCOUNTS_INITIAL 64
#define KEY_DIGEST_BYTES 32

/* A key of an account, found by its digest. */
typedef struct key_entry {
	uint8_t digest[KEY_DIGEST_BYTES];
	const bf_account_t *account;
} key_entry_t;

struct bf_account_directory {
	apr_pool_t *pool;
	apr_array_header_t *accounts; /* bf_account_t * */
	apr_hash_t *by_name;          /* name -> bf_account_t */
	apr_hash_t *by_id;            /* id -> bf_account_t */
	apr_hash_t *by_digest;        /* digest of a key -> key_entry_t */
	/* The secret of this directory, with which keys are digested. */
	uint8_t secret[crypto_generichash_KEYBYTES];
};

bf_account_directory_t *
bf_account_directory_new(apr_pool_t *pool)
{
	bf_account_directory_t *directory;

	directory = apr_pcalloc(pool, sizeof(*directory));
	if (directory == NULL)
		return NULL;
	directory->pool = pool;
	directory->accounts =
	    apr_array_make(pool, ACCOUNTS_INITIAL, sizeof(bf_account_t *));
	directory->by_name = apr_hash_make(pool);
	directory->by_id = apr_hash_make(pool);
	directory->by_digest = apr_hash_make(pool);
	randombytes_buf(directory->secret, sizeof(directory->secret));
	return directory;
}

bf_code_t
bf_account_directory_add(bf_account_directory_t *directory,
    const bf_account_t *account, bf_error_t *err)
{
	bf_account_t *copy;

	if (bf_account_directory_find(directory, account->name) != NULL)
		return bf_error_set(err, BF_ERR_CONFLICT,
		    "account \"%s\" is defined twice", account->name);
	copy = apr_pmemdup(directory->pool, account, sizeof(*account));
	copy->name = apr_pstrdup(directory->pool, account->name);
	copy->id = bf_hash_text(account->name, 0);
	if (copy->id == 0)
		copy->id = 1;
	APR_ARRAY_PUSH(directory->accounts, bf_account_t *) = copy;
	apr_hash_set(directory->by_name, copy->name, APR_HASH_KEY_STRING, copy);
	apr_hash_set(directory->by_id, &copy->id, sizeof(copy->id), copy);
	return BF_OK;
}

/*
 * Keys are looked up by a digest with a secret, so the time that a lookup takes
 * tells nothing about the keys that exist.
 */
static void
digest_key(const bf_account_directory_t *directory, const char *key,
    uint8_t digest[KEY_DIGEST_BYTES])
{
	(void)crypto_generichash(digest, KEY_DIGEST_BYTES, (const uint8_t *)key,
	    strlen(key), directory->secret, sizeof(directory->secret));
}

bf_code_t
bf_account_directory_add_key(
    bf_account_directory_t *directory, const char *key, bf_error_t *err)
{
	const bf_account_t *account;
	const key_entry_t *former;
	key_entry_t *entry;

	if (directory->accounts->nelts == 0)
		return bf_error_set(
		    err, BF_ERR_REFERENCE, "a key belongs to no account");
	account = APR_ARRAY_IDX(directory->accounts,
	    directory->accounts->nelts - 1, bf_account_t *);
	entry = apr_pcalloc(directory->pool, sizeof(*entry));
	entry->account = account;
	digest_key(directory, key, entry->digest);
	former =
	    apr_hash_get(directory->by_digest, entry->digest, KEY_DIGEST_BYTES);
	if (former != NULL && former->account != account)
		return bf_error_set(err, BF_ERR_CONFLICT,
		    "accounts \"%s\" and \"%s\" share a key",
		    former->account->name, account->name);
	apr_hash_set(
	    directory->by_digest, entry->digest, KEY_DIGEST_BYTES, entry);
	return BF_OK;
}

size_t
bf_account_directory_count(const bf_account_directory_t *directory)
{
	return (size_t)directory->accounts->nelts;
}

const bf_account_t *
bf_account_directory_at(const bf_account_directory_t *directory, size_t index)
{
	return APR_ARRAY_IDX(directory->accounts, index, bf_account_t *);
}

const bf_account_t *
bf_account_directory_find(
    const bf_account_directory_t *directory, const char *name)
{
	return apr_hash_get(directory->by_name, name, APR_HASH_KEY_STRING);
}

const bf_account_t *
bf_account_directory_find_id(
    const bf_account_directory_t *directory, uint64_t id)
{
	return apr_hash_get(directory->by_id, &id, sizeof(id));
}

const bf_account_t *
bf_account_directory_authenticate(
    const bf_account_directory_t *directory, const char *key)
{
	uint8_t digest[KEY_DIGEST_BYTES];
	const key_entry_t *entry;

	digest_key(directory, key, digest);
	entry = apr_hash_get(directory->by_digest, digest, KEY_DIGEST_BYTES);
	return entry != NULL ? entry->account : NULL;
}
