#ifndef BF_ACCOUNTS_DIRECTORY_H
#define BF_ACCOUNTS_DIRECTORY_H

#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/error.h"

/*
 * The client accounts of one configuration and the API keys that identify
 * them.  Immutable after it is filled.  Keys are kept as digests only, so that
 * none can reach a log or a message.
 */

typedef struct bf_account {
	const char *name;
	uint64_t id;       /* hash of the name, equal on all nodes; not 0 */
	uint32_t priority; /* 0 is the most urgent */
	double rate_per_s; /* usage cap, over all nodes; 0: none */
	double burst;      /* calls beyond the rate */
} bf_account_t;

/* Priority of an account that states none: behind all that do. */
#define BF_ACCOUNT_PRIORITY_DEFAULT 255
#define BF_ACCOUNT_PRIORITY_MAX 255

typedef struct bf_account_directory bf_account_directory_t;

/* Allocated in the pool; returns NULL without memory. */
bf_account_directory_t *bf_account_directory_new(apr_pool_t *pool);

/*
 * Adds a copy of the account; its id is computed from the name.  Fails with
 * BF_ERR_CONFLICT if there is one of that name.
 */
bf_code_t bf_account_directory_add(bf_account_directory_t *directory,
    const bf_account_t *account, bf_error_t *err);

/*
 * Adds a key to the account that was added last.  A key may be added twice to
 * one account; BF_ERR_CONFLICT if another account has it.
 */
bf_code_t bf_account_directory_add_key(
    bf_account_directory_t *directory, const char *key, bf_error_t *err);

size_t bf_account_directory_count(const bf_account_directory_t *directory);
const bf_account_t *bf_account_directory_at(
    const bf_account_directory_t *directory, size_t index);

/* The account with that name; NULL: there is none. */
const bf_account_t *bf_account_directory_find(
    const bf_account_directory_t *directory, const char *name);

/* The account with that id; NULL: there is none. */
const bf_account_t *bf_account_directory_find_id(
    const bf_account_directory_t *directory, uint64_t id);

/* The account that has the key; NULL: none has. */
const bf_account_t *bf_account_directory_authenticate(
    const bf_account_directory_t *directory, const char *key);

#endif
