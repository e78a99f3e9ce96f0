#ifndef BF_STANDINS_KEYVALUE_H
#define BF_STANDINS_KEYVALUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/*
 * The state of the store's stand-in: keys with modification indexes, sessions
 * (leases) and a log of every write.  No locking.  now_us is monotonic.
 */

typedef struct keyvalue keyvalue_t;

/* A key; a deleted key is kept as a tombstone. */
typedef struct keyvalue_entry {
	char *key;
	void *data;
	size_t data_bytes;
	bool present;
	uint64_t create_index;
	uint64_t modify_index;
	uint64_t lock_index;
	char *session; /* id of the session that holds the key, or NULL */
} keyvalue_entry_t;

keyvalue_t *keyvalue_new(void);

/* The index of the last write of any key. */
uint64_t keyvalue_index(const keyvalue_t *kv);

/* NULL if the key does not exist or was deleted. */
keyvalue_entry_t *keyvalue_find(const keyvalue_t *kv, const char *key);

/*
 * Writes a key; session, if not NULL, acquires it.  kind is recorded in the log
 * of writes and must be a static string.
 */
void keyvalue_write(keyvalue_t *kv, const char *key, const void *data,
    size_t data_bytes, const char *session, const char *kind);

void keyvalue_delete(keyvalue_t *kv, keyvalue_entry_t *entry, const char *kind);

/*
 * The existing entries of a key or prefix in the JSON form of the Consul
 * interface, and the index of their last change, deletions included; 0 if there
 * was none.
 */
json_t *keyvalue_collect(
    const keyvalue_t *kv, const char *key, bool recurse, uint64_t *index);
uint64_t keyvalue_last_change(
    const keyvalue_t *kv, const char *key, bool recurse);

/* Returns the new session's id, owned by the session. */
const char *keyvalue_session_new(
    keyvalue_t *kv, uint32_t ttl_ms, gint64 now_us);

/* Restarts the session's time to live; false if there is no such session. */
bool keyvalue_session_renew(keyvalue_t *kv, const char *id, gint64 now_us);
bool keyvalue_session_exists(const keyvalue_t *kv, const char *id);
uint32_t keyvalue_session_count(const keyvalue_t *kv);

/* End one, all expired, or all sessions, and delete the keys they hold. */
void keyvalue_session_end(keyvalue_t *kv, const char *id);
void keyvalue_sessions_expire(keyvalue_t *kv, gint64 now_us);
void keyvalue_sessions_end_all(keyvalue_t *kv);

/* The log of all writes: key, index, wall-clock time and kind. */
json_t *keyvalue_writes(const keyvalue_t *kv);

#endif
