#ifndef BF_STORE_ASYNC_H
#define BF_STORE_ASYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

/*
 * The platform's key-value service for an event loop: calls return at once and
 * end by a callback.  Codes that every call may end with besides its own:
 *   BF_ERR_UNAVAILABLE  certain that nothing was done
 *   BF_ERR_UNSETTLED    a write that may take effect, perhaps later
 *   BF_ERR_TIMEOUT      a read that got no whole answer in time
 *   BF_ERR_LIMIT        refused by the rate limit, nothing done
 */

typedef struct bf_kv bf_kv_t;
typedef struct bf_kv_call bf_kv_call_t;

typedef struct bf_kv_item {
	const char *key;
	const void *data; /* NULL for a deleted one */
	size_t data_bytes;
	uint64_t revision; /* of its last change */
	uint64_t lease;
	bool deleted;
} bf_kv_item_t;

typedef struct bf_kv_reply {
	bf_code_t code;
	const bf_kv_item_t *items; /* of a list, watch or lost condition */
	size_t item_count;
	bool has_more;     /* of a list: continue after the last key */
	uint64_t revision; /* of the store, or of a write */
	uint64_t lease;
	uint32_t ttl_ms;
} bf_kv_reply_t;

/* Embedded in its owner; one call at a time. */
struct bf_kv_call {
	void (*done)(bf_kv_call_t *call, const bf_kv_reply_t *reply,
	    bf_time_us_t now_us);
	void *state; /* of the implementation; NULL: none under way */
};

/* A write under a condition: the key has this revision (0: is not there). */
typedef struct bf_kv_write {
	const char *key;
	const void *data;
	size_t data_bytes;
	uint64_t lease;
	uint64_t expected_revision;
} bf_kv_write_t;

typedef struct bf_kv_vtable {
	/*
	 * Items below prefix in the order of their keys, after a key ("": from
	 * the first).  stale: may be seconds old, and costs less.
	 */
	void (*list)(bf_kv_t *kv, bf_kv_call_t *call, const char *prefix,
	    const char *after_key, bool stale, bf_time_us_t now_us);
	/*
	 * Changes below prefix after a revision, as soon as there is one or
	 * after wait_ms.  BF_ERR_STALE: the history since is gone.
	 */
	void (*watch)(bf_kv_t *kv, bf_kv_call_t *call, const char *prefix,
	    uint64_t after_revision, uint32_t wait_ms, bf_time_us_t now_us);
	/*
	 * All writes or none.  BF_ERR_CONFLICT with the present items when a
	 * condition does not hold; BF_ERR_NOT_FOUND: a lease has ended.
	 */
	void (*write)(bf_kv_t *kv, bf_kv_call_t *call,
	    const bf_kv_write_t *writes, size_t count, bf_time_us_t now_us);
	void (*lease_grant)(bf_kv_t *kv, bf_kv_call_t *call, uint32_t ttl_ms,
	    bf_time_us_t now_us);
	/* BF_ERR_NOT_FOUND: it has ended. */
	void (*lease_renew)(bf_kv_t *kv, bf_kv_call_t *call, uint64_t lease,
	    bf_time_us_t now_us);
	void (*lease_revoke)(bf_kv_t *kv, bf_kv_call_t *call, uint64_t lease,
	    bf_time_us_t now_us);
	/* Gives up a call; done is not called. */
	void (*cancel)(bf_kv_t *kv, bf_kv_call_t *call);
	void (*free)(bf_kv_t *kv);
} bf_kv_vtable_t;

struct bf_kv {
	const bf_kv_vtable_t *vtable;
};

#endif
