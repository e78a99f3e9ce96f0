#ifndef BF_STORE_KV_WATCHER_H
#define BF_STORE_KV_WATCHER_H

#include "net/loop.h"
#include "store/async.h"

/*
 * Follows all keys below a prefix: lists them, watches for changes, and lists
 * again when the history that a watch needs is gone.  An item may be told more
 * than once; its revision tells which telling is newer.  One that only lists
 * watches nothing and lists when it is refreshed.
 */

typedef struct bf_kv_watcher bf_kv_watcher_t;

typedef struct bf_kv_watcher_vtable {
	void (*on_item)(bf_kv_watcher_t *watcher, const bf_kv_item_t *item,
	    bf_time_us_t now_us);
	/* A whole list was told that began at began_us; may be NULL. */
	void (*on_list_done)(bf_kv_watcher_t *watcher, bf_time_us_t began_us);
	/* A call ended with that code; may be NULL. */
	void (*on_call_done)(
	    bf_kv_watcher_t *watcher, bf_code_t code, bf_time_us_t now_us);
} bf_kv_watcher_vtable_t;

struct bf_kv_watcher {
	const bf_kv_watcher_vtable_t *vtable;
	bf_kv_t *kv;
	bf_loop_t *loop;
	const char *prefix;
	bool lists_only;
	uint32_t wait_ms;         /* longest wait of a watch */
	bf_time_us_t coalesce_us; /* pause after a change: more may watcher */
	uint64_t random;          /* state of the generator for jitter, not 0 */

	/* Private. */
	bf_kv_call_t call;
	bf_timer_t retry;
	bool is_listing;
	uint64_t revision;      /* watched from here */
	bool list_again;        /* list once more after this list */
	uint64_t list_revision; /* of the first page of a list */
	char after_key[256];
	bf_time_us_t list_began_us;
	uint32_t failures; /* in a row */
};

/* The fields above "Private" are set by the caller. */
void bf_kv_watcher_init(bf_kv_watcher_t *watcher);
/* Also initialises it. */
void bf_kv_watcher_start(bf_kv_watcher_t *watcher, bf_time_us_t now_us);
void bf_kv_watcher_stop(bf_kv_watcher_t *watcher);

/* Lists again at once, as when something newer is known to be there. */
void bf_kv_watcher_refresh(bf_kv_watcher_t *watcher, bf_time_us_t now_us);

/*
 * The pause after that many failures in a row: doubles from 50 ms to 1.5 s, of
 * which a random part is taken off so that nodes do not return together.
 */
bf_time_us_t bf_kv_watcher_retry_delay_us(uint32_t failures, uint64_t *random);

#endif
