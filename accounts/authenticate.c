#include <string.h>
#include <strings.h>

#include "accounts/authenticate.h"

/* Longest key, as heads of requests are limited to some KB. */
#define KEY_BYTES_MAX 4096
/* Bits of a call's priority that are its route's; the others its account's. */
#define ROUTE_PRIORITY_BITS 24
#define ROUTE_PRIORITY_MAX ((UINT32_C(1) << ROUTE_PRIORITY_BITS) - 1)

const char *
bf_account_parse_key(
    const char *value, const char *scheme, char *buffer, size_t buffer_bytes)
{
	size_t scheme_bytes = strlen(scheme), bytes;

	value += strspn(value, " \t");
	if (strncasecmp(value, scheme, scheme_bytes) != 0 ||
	    (value[scheme_bytes] != ' ' && value[scheme_bytes] != '\t'))
		return NULL;
	value += scheme_bytes;
	value += strspn(value, " \t");
	bytes = strcspn(value, " \t");
	if (bytes == 0 || value[bytes + strspn(value + bytes, " \t")] != '\0')
		return NULL;
	if (value[bytes] == '\0')
		return value;
	if (bytes >= buffer_bytes)
		return NULL;
	memcpy(buffer, value, bytes);
	buffer[bytes] = '\0';
	return buffer;
}

static const bf_account_t *
find_by_key(const bf_account_directory_t *directory, const char *scheme,
    const bf_credentials_t *credentials)
{
	char buffer[KEY_BYTES_MAX];
	const char *key;

	if (credentials->authorization_count != 1)
		return NULL;
	key = bf_account_parse_key(
	    credentials->authorization, scheme, buffer, sizeof(buffer));
	return key != NULL ? bf_account_directory_authenticate(directory, key)
			   : NULL;
}

bf_identity_t
bf_account_identify(const bf_account_directory_t *directory, const char *scheme,
    const bf_credentials_t *credentials)
{
	bool carries_key = credentials->authorization_count > 0;
	bf_identity_t identity = { .access = BF_ACCESS_GRANTED };

	if (!carries_key && credentials->has_parent) {
		identity.inner = true;
		identity.account = bf_account_directory_find_id(
		    directory, credentials->parent_account_id);
		return identity;
	}
	/* Keys that may have been withdrawn identify nobody. */
	if (!credentials->keys_are_stale)
		identity.account = find_by_key(directory, scheme, credentials);
	identity.has_key = identity.account != NULL;
	if (credentials->route_is_public || identity.has_key)
		return identity;
	if (!carries_key && credentials->names_parent)
		identity.access = BF_ACCESS_NO_PARENT;
	else if (carries_key && credentials->keys_are_stale)
		identity.access = BF_ACCESS_STALE;
	else
		identity.access = BF_ACCESS_NO_KEY;
	return identity;
}

uint32_t
bf_account_call_priority(const bf_account_directory_t *directory,
    const bf_account_t *account, uint32_t route_priority)
{
	uint32_t priority =
	    account != NULL ? account->priority : BF_ACCOUNT_PRIORITY_DEFAULT;

	if (directory == NULL)
		return route_priority;
	if (route_priority > ROUTE_PRIORITY_MAX)
		route_priority = ROUTE_PRIORITY_MAX;
	return priority << ROUTE_PRIORITY_BITS | route_priority;
}
