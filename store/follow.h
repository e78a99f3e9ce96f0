#ifndef BF_STORE_FOLLOW_H
#define BF_STORE_FOLLOW_H

#include "net/loop.h"
#include "store/async.h"

/*
 * Follows all keys below a prefix: lists them, watches for changes, and lists
 * again when the history that a watch needs is gone.  An item may be told more
 * than once; its revision tells which telling is newer.  One that only lists
 * watches nothing and lists when it is refreshed.
 */

typedef struct bf_follow bf_follow_t;

typedef struct bf_follow_vtable {
	void (*item)(
	    bf_follow_t *follow, const bf_kv_item_t *item, bf_time_us_t now_us);
	/* A whole list was told that began at began_us; may be NULL. */
	void (*listed)(bf_follow_t *follow, bf_time_us_t began_us);
	/* A call ended with that code; may be NULL. */
	void (*called)(
	    bf_follow_t *follow, bf_code_t code, bf_time_us_t now_us);
} bf_follow_vtable_t;

struct bf_follow {
	const bf_follow_vtable_t *vtable;
	bf_kv_t *kv;
	bf_loop_t *loop;
	const char *prefix;
	bool list_only;
	uint32_t wait_ms;       /* longest wait of a watch */
	bf_time_us_t gather_us; /* pause after a change: more may follow */
	uint64_t random;        /* state of the generator for jitter, not 0 */

	/* Private. */
	bf_kv_call_t call;
	bf_timer_t retry;
	bool listing;
	uint64_t revision;      /* watched from here */
	bool again;             /* list once more after this list */
	uint64_t list_revision; /* of the first page of a list */
	char after_key[256];
	bf_time_us_t list_began_us;
	uint32_t failures; /* in a row */
};

/* The fields above "Private" are set by the caller. */
void bf_follow_init(bf_follow_t *follow);
/* Also initialises it. */
void bf_follow_start(bf_follow_t *follow, bf_time_us_t now_us);
void bf_follow_stop(bf_follow_t *follow);

/* Lists again at once, as when something newer is known to be there. */
void bf_follow_refresh(bf_follow_t *follow, bf_time_us_t now_us);

/*
 * The pause after that many failures in a row: doubles from 50 ms to 1.5 s, of
 * which a random part is taken off so that nodes do not return together.
 */
bf_time_us_t bf_follow_pause_us(uint32_t failures, uint64_t *random);

#endif
