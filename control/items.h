#ifndef BF_CONTROL_ITEMS_H
#define BF_CONTROL_ITEMS_H

#include "control/control.h"
#include "member/replica.h"

/*
 * Items in the replicated table, of kinds that the caller defines: a kind
 * decides which of two values of a key replaces the other, how long an item is
 * kept, and how often this node's changes of a key are published.
 */

typedef struct bf_items bf_items_t;

/* item: see bf_control_callbacks_t; may be NULL. */
bf_items_t *bf_items_new(bf_replica_t *replica, const bf_item_kind_t *kinds,
    size_t kind_count,
    void (*item)(void *ctx, uint32_t kind, const char *key, const void *value,
	size_t value_bytes),
    void *ctx);
void bf_items_free(bf_items_t *items);

/*
 * Publishes a value, or keeps it for bf_items_tick if the key was published
 * less than interval_ms ago.  BF_ERR_ARGUMENT when the kind does not exist, the
 * key is empty, or the key or value is too long.
 */
bf_code_t bf_items_publish(bf_items_t *items, uint32_t kind, const char *key,
    const void *value, size_t value_bytes, bf_time_us_t now_us);

/* Publishes the kept values whose interval has passed. */
void bf_items_tick(bf_items_t *items, bf_time_us_t now_us);

#endif
