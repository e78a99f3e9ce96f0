#include <stdlib.h>
#include <string.h>

#include "control/items.h"

typedef struct item_kind {
	bf_replica_kind_t base;
	bf_item_kind_t spec;
	bf_items_t *items;
} item_kind_t;

/* A key that this node published less than its kind's interval ago. */
typedef struct pacing {
	struct pacing *next;
	const item_kind_t *kind;
	bf_time_us_t sent_us;
	void *value; /* to publish after the interval; NULL: none */
	size_t value_bytes;
	char key[BF_ITEM_KEY_BYTES];
} pacing_t;

struct bf_items {
	bf_replica_t *replica;
	item_kind_t kinds[BF_ITEM_KINDS_MAX];
	size_t kind_count;
	pacing_t *pacing;
	void (*item)(void *ctx, uint32_t kind, const char *key,
	    const void *value, size_t value_bytes);
	void *ctx;
};

static bf_replica_choice_t
merge_item(bf_replica_kind_t *base, const char *key,
    const bf_replica_value_t *current, const bf_replica_value_t *incoming,
    bf_wire_writer_t *rewritten)
{
	const item_kind_t *kind = (const item_kind_t *)base;

	(void)key;
	(void)rewritten;
	if (kind->spec.vtable->newer(current->data, current->data_bytes,
		incoming->data, incoming->data_bytes))
		return BF_REPLICA_REPLACE;
	return BF_REPLICA_KEEP;
}

static uint8_t
item_changed(bf_replica_kind_t *base, const char *key,
    const bf_replica_value_t *value, uint8_t old_tag)
{
	const item_kind_t *kind = (const item_kind_t *)base;
	const bf_items_t *items = kind->items;

	(void)old_tag;
	if (value->data == NULL)
		return 0;
	if (items->item != NULL)
		items->item(items->ctx, kind->spec.kind, key, value->data,
		    value->data_bytes);
	return 1;
}

static bf_time_us_t
item_lifetime_us(bf_replica_kind_t *base, uint8_t tag)
{
	const item_kind_t *kind = (const item_kind_t *)base;

	(void)tag;
	return (bf_time_us_t)kind->spec.expiry_ms * BF_US_PER_MS;
}

static const bf_replica_vtable_t item_vtable = {
	.merge = merge_item,
	.changed = item_changed,
	.lifetime_us = item_lifetime_us,
};

bf_items_t *
bf_items_new(bf_replica_t *replica, const bf_item_kind_t *kinds,
    size_t kind_count,
    void (*item)(void *ctx, uint32_t kind, const char *key, const void *value,
	size_t value_bytes),
    void *ctx)
{
	bf_items_t *items;
	size_t i;

	items = calloc(1, sizeof(*items));
	if (items == NULL)
		return NULL;
	items->replica = replica;
	items->item = item;
	items->ctx = ctx;
	for (i = 0; i < kind_count && i < BF_ITEM_KINDS_MAX; i++) {
		items->kinds[i].base.vtable = &item_vtable;
		items->kinds[i].spec = kinds[i];
		items->kinds[i].items = items;
		bf_replica_register(
		    replica, kinds[i].kind, &items->kinds[i].base);
		items->kind_count++;
	}
	return items;
}

static void
pacing_free(pacing_t *pacing)
{
	free(pacing->value);
	free(pacing);
}

void
bf_items_free(bf_items_t *items)
{
	pacing_t *pacing;

	if (items == NULL)
		return;
	while ((pacing = items->pacing) != NULL) {
		items->pacing = pacing->next;
		pacing_free(pacing);
	}
	free(items);
}

static const item_kind_t *
find_kind(const bf_items_t *items, uint32_t number)
{
	size_t i;

	for (i = 0; i < items->kind_count; i++) {
		if (items->kinds[i].spec.kind == number)
			return &items->kinds[i];
	}
	return NULL;
}

static pacing_t *
find_pacing(const bf_items_t *items, const item_kind_t *kind, const char *key)
{
	pacing_t *pacing;

	for (pacing = items->pacing; pacing != NULL; pacing = pacing->next) {
		if (pacing->kind == kind && strcmp(pacing->key, key) == 0)
			return pacing;
	}
	return NULL;
}

static bf_code_t
defer_value(pacing_t *pacing, const void *value, size_t value_bytes)
{
	void *copy;

	copy = malloc(value_bytes + 1);
	if (copy == NULL)
		return BF_ERR_MEMORY;
	memcpy(copy, value, value_bytes);
	free(pacing->value);
	pacing->value = copy;
	pacing->value_bytes = value_bytes;
	return BF_OK;
}

static bf_code_t
start_pacing(bf_items_t *items, const item_kind_t *kind, const char *key,
    bf_time_us_t now_us)
{
	pacing_t *pacing;

	pacing = calloc(1, sizeof(*pacing));
	if (pacing == NULL)
		return BF_ERR_MEMORY;
	pacing->kind = kind;
	pacing->sent_us = now_us;
	memcpy(pacing->key, key, strlen(key) + 1);
	pacing->next = items->pacing;
	items->pacing = pacing;
	return BF_OK;
}

static void
merge_local(bf_items_t *items, const item_kind_t *kind, const char *key,
    const void *value, size_t value_bytes, bf_time_us_t now_us)
{
	bf_replica_value_t incoming = { value, value_bytes };

	bf_replica_merge(
	    items->replica, kind->spec.kind, key, &incoming, 0, now_us);
}

bf_code_t
bf_items_publish(bf_items_t *items, uint32_t number, const char *key,
    const void *value, size_t value_bytes, bf_time_us_t now_us)
{
	const item_kind_t *kind;
	pacing_t *pacing;

	kind = find_kind(items, number);
	if (kind == NULL || key[0] == '\0' ||
	    strlen(key) >= BF_ITEM_KEY_BYTES ||
	    value_bytes > BF_ITEM_VALUE_BYTES_MAX)
		return BF_ERR_ARGUMENT;
	pacing = find_pacing(items, kind, key);
	if (pacing != NULL)
		return defer_value(pacing, value, value_bytes);
	merge_local(items, kind, key, value, value_bytes, now_us);
	if (kind->spec.interval_ms == 0)
		return BF_OK;
	return start_pacing(items, kind, key, now_us);
}

/* A key without a value to publish at the end of its interval is removed. */
void
bf_items_tick(bf_items_t *items, bf_time_us_t now_us)
{
	pacing_t *pacing;
	pacing_t **link;

	link = &items->pacing;
	while ((pacing = *link) != NULL) {
		if (now_us - pacing->sent_us <
		    (bf_time_us_t)pacing->kind->spec.interval_ms *
			BF_US_PER_MS) {
			link = &pacing->next;
		} else if (pacing->value != NULL) {
			merge_local(items, pacing->kind, pacing->key,
			    pacing->value, pacing->value_bytes, now_us);
			free(pacing->value);
			pacing->value = NULL;
			pacing->sent_us = now_us;
			link = &pacing->next;
		} else {
			*link = pacing->next;
			pacing_free(pacing);
		}
	}
}
