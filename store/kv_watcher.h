#ifndef BF_STORE_KV_WATCHER_H
#define BF_STORE_KV_WATCHER_H

#include "net/loop.h"
#include "store/async.h"

/*
 * Watches all keys below a prefix: lists them, waits for changes, and lists
 * again when the store no longer has the history that a watch needs.  An item
 * may be reported more than once; the report with the greater revision is
 * newer.  With lists_only the keys are listed when the watcher is started or
 * refreshed, and not watched.
 */

typedef struct bf_kv_watcher bf_kv_watcher_t;

typedef struct bf_kv_watcher_vtable {
	void (*on_item)(bf_kv_watcher_t *watcher, const bf_kv_item_t *item,
	    bf_time_us_t now_us);
	/* A list begins, also one that replaces another; may be NULL. */
	void (*on_list_began)(bf_kv_watcher_t *watcher);
	/* A list that began at began_us is complete; may be NULL. */
	void (*on_list_done)(bf_kv_watcher_t *watcher, bf_time_us_t began_us,
	    bf_time_us_t now_us);
	/* A list or a watch begins now; may be NULL. */
	void (*on_read_begins)(bf_kv_watcher_t *watcher, bf_time_us_t now_us);
	/*
	 * That list or watch is complete, and all that it says was reported;
	 * may be NULL.
	 */
	void (*on_read_done)(bf_kv_watcher_t *watcher, bool is_watch,
	    const bf_kv_reply_t *reply, bf_time_us_t now_us);
	/*
	 * All keys, or all changes, as of this revision have been reported: a
	 * list is complete, or a watch has returned; may be NULL.
	 */
	void (*on_reading)(
	    bf_kv_watcher_t *watcher, uint64_t revision, bf_time_us_t now_us);
	/* A call to the store ended with that code; may be NULL. */
	void (*on_call_done)(
	    bf_kv_watcher_t *watcher, bf_code_t code, bf_time_us_t now_us);
} bf_kv_watcher_vtable_t;

struct bf_kv_watcher {
	const bf_kv_watcher_vtable_t *vtable;
	bf_kv_t *kv;
	bf_loop_t *loop;
	const char *prefix;
	bool lists_only;
	uint32_t wait_ms;         /* longest wait of one watch call */
	bf_time_us_t coalesce_us; /* delay after a change, to batch */
	uint64_t random;          /* state of the jitter generator, not 0 */

	/* Private. */
	bf_kv_call_t call;
	bf_timer_t retry;
	bool is_listing;
	uint64_t revision;      /* the next watch reports later changes */
	bool list_again;        /* start another list after this one */
	uint64_t list_revision; /* of the first page of the list */
	char after_key[256];
	bf_time_us_t list_began_us;
	uint32_t failures; /* consecutive */
};

/* The caller must have set the fields above "Private". */
void bf_kv_watcher_init(bf_kv_watcher_t *watcher);
/* Initializes and starts a watcher. */
void bf_kv_watcher_start(bf_kv_watcher_t *watcher, bf_time_us_t now_us);
void bf_kv_watcher_stop(bf_kv_watcher_t *watcher);

/*
 * Lists again, at once or after a list that is not complete yet.  For callers
 * that know of newer revisions.
 */
void bf_kv_watcher_refresh(bf_kv_watcher_t *watcher, bf_time_us_t now_us);

/*
 * Returns the delay before the next attempt after a number of consecutive
 * failures.  It doubles from 50 ms to 1.5 s, less a random part of up to one
 * half, so that nodes do not retry at the same time.
 */
bf_time_us_t bf_kv_watcher_retry_delay_us(uint32_t failures, uint64_t *random);

#endif
