#ifndef BF_ACCOUNTS_AUTHENTICATE_H
#define BF_ACCOUNTS_AUTHENTICATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "accounts/directory.h"

/*
 * Decides which account a call belongs to and whether it may be made.  Handles
 * requests with no key, an unknown key or two, calls made by targets (which
 * carry no key), and a node whose knowledge of the keys is too old to trust.
 */

/* What a request shows of its sender. */
typedef struct bf_credentials {
	const char *authorization; /* value of the first such field, or NULL */
	uint32_t authorization_count;
	bool route_is_public;
	/* The run at the own target that made the call is known. */
	bool has_parent;
	uint64_t parent_account_id; /* 0: none */
	/* The id names a run that made the call, known or not. */
	bool names_parent;
	/* Keys may have been withdrawn without this node knowing it. */
	bool keys_are_stale;
} bf_credentials_t;

typedef enum bf_access {
	BF_ACCESS_GRANTED,
	BF_ACCESS_NO_KEY,    /* 401: no key, more than one, or an unknown one */
	BF_ACCESS_NO_PARENT, /* 503: the run that made it is not known */
	BF_ACCESS_STALE      /* 503: the keys may be out of date */
} bf_access_t;

typedef struct bf_identity {
	bf_access_t access;
	const bf_account_t *account; /* NULL: none */
	bool has_key;                /* the account was identified by a key */
	/*
	 * The call was made by a run at the own target.  A call with a key was
	 * not, whatever its id: ids are chosen by callers.
	 */
	bool inner;
} bf_identity_t;

bf_identity_t bf_account_identify(const bf_account_directory_t *directory,
    const char *scheme, const bf_credentials_t *credentials);

/*
 * The key in the value of an authorization field of this scheme, which is
 * compared without case; NULL if the value is not of the form "SCHEME KEY".
 * Writes the key into buffer if spaces follow it.
 */
const char *bf_account_parse_key(
    const char *value, const char *scheme, char *buffer, size_t buffer_bytes);

/*
 * Priority of a call: first by its account, then by its route.  account NULL:
 * behind all accounts that state a priority.  directory NULL: the route's.
 */
uint32_t bf_account_call_priority(const bf_account_directory_t *directory,
    const bf_account_t *account, uint32_t route_priority);

#endif
