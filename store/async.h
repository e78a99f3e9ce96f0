#ifndef BF_STORE_ASYNC_H
#define BF_STORE_ASYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

/*
 * Asynchronous interface to the platform's key-value service: calls return at
 * once and report their result to a callback in the event loop.  Codes that
 * every call may end with besides its own:
 *   BF_ERR_UNAVAILABLE  the call certainly had no effect
 *   BF_ERR_UNSETTLED    a write that may take effect, perhaps later
 *   BF_ERR_TIMEOUT      a read that got no complete answer in time
 *   BF_ERR_LIMIT        rejected by the rate limit, without effect
 * All revisions are those of store/revision.h.  After the store was restored
 * from an old copy, a watch from a former revision ends with BF_ERR_STALE and
 * a write with a condition on one has no effect or ends with BF_ERR_UNSETTLED.
 */

typedef struct bf_kv bf_kv_t;
typedef struct bf_kv_call bf_kv_call_t;

typedef struct bf_kv_item {
	const char *key;
	const void *data; /* NULL for a deleted key */
	size_t data_bytes;
	uint64_t revision; /* of the key's last change */
	uint64_t lease;
	bool deleted;
} bf_kv_item_t;

typedef struct bf_kv_reply {
	bf_code_t code;
	const bf_kv_item_t *items; /* of a list, watch or conflict */
	size_t item_count;
	bool has_more;     /* list: continue after the last key */
	uint64_t revision; /* of the store, or of this write */
	uint64_t lease;
	uint32_t ttl_ms;
} bf_kv_reply_t;

/* Embedded in its owner; used for one call at a time. */
struct bf_kv_call {
	void (*done)(bf_kv_call_t *call, const bf_kv_reply_t *reply,
	    bf_time_us_t now_us);
	void *pending; /* call in progress, for the implementation; or NULL */
};

/*
 * Takes effect only if the key has expected_revision (0: does not exist).
 * Without data it is a condition of the other writes only.
 */
typedef struct bf_kv_write {
	const char *key;
	const void *data; /* NULL: the key is not written */
	size_t data_bytes;
	uint64_t lease;
	uint64_t expected_revision;
} bf_kv_write_t;

typedef struct bf_kv_vtable {
	/*
	 * Lists the items below prefix in the order of their keys, beginning
	 * after after_key ("": with the first).  allow_stale: the answer may be
	 * seconds old, and costs the store less.
	 */
	void (*list)(bf_kv_t *kv, bf_kv_call_t *call, const char *prefix,
	    const char *after_key, bool allow_stale, bf_time_us_t now_us);
	/*
	 * Returns the changes below prefix after a revision, as soon as there
	 * is one, or none after wait_ms.  BF_ERR_STALE: the store no longer
	 * has the history since that revision.
	 */
	void (*watch)(bf_kv_t *kv, bf_kv_call_t *call, const char *prefix,
	    uint64_t after_revision, uint32_t wait_ms, bf_time_us_t now_us);
	/*
	 * Does all writes or none.  BF_ERR_CONFLICT with the current items of
	 * all keys if a condition does not hold; BF_ERR_NOT_FOUND if a lease
	 * has ended.
	 */
	void (*write)(bf_kv_t *kv, bf_kv_call_t *call,
	    const bf_kv_write_t *writes, size_t count, bf_time_us_t now_us);
	void (*lease_grant)(bf_kv_t *kv, bf_kv_call_t *call, uint32_t ttl_ms,
	    bf_time_us_t now_us);
	/* BF_ERR_NOT_FOUND if the lease has ended. */
	void (*lease_renew)(bf_kv_t *kv, bf_kv_call_t *call, uint64_t lease,
	    bf_time_us_t now_us);
	void (*lease_revoke)(bf_kv_t *kv, bf_kv_call_t *call, uint64_t lease,
	    bf_time_us_t now_us);
	/* Cancels a call; its done callback is not called. */
	void (*cancel)(bf_kv_t *kv, bf_kv_call_t *call);
	void (*free)(bf_kv_t *kv);
} bf_kv_vtable_t;

struct bf_kv {
	const bf_kv_vtable_t *vtable;
	/*
	 * The greatest era that the store has stated; see store/revision.h.
	 * When it rises, what was written since the copy is lost, leases too.
	 */
	uint32_t era;
};

#endif
