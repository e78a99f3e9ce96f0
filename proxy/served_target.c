#include "proxy/served_target.h"

#include <stdio.h>
#include <stdlib.h>

static bf_slot_pool_t *
slot_pool_new(uint32_t slots)
{
	bf_slot_pool_t *slot_pool;

	slot_pool = calloc(1, sizeof(*slot_pool));
	if (slot_pool == NULL)
		return NULL;
	atomic_init(&slot_pool->references, 1);
	bf_admission_init(&slot_pool->admission, slots);
	return slot_pool;
}

static bf_slot_pool_t *
slot_pool_hold(bf_slot_pool_t *slot_pool, uint32_t slots)
{
	atomic_fetch_add(&slot_pool->references, 1);
	bf_admission_resize(&slot_pool->admission, slots);
	return slot_pool;
}

static void
slot_pool_release(bf_slot_pool_t *slot_pool)
{
	if (atomic_fetch_sub(&slot_pool->references, 1) == 1)
		free(slot_pool);
}

bf_served_target_t *
bf_served_target_new(
    const bf_local_target_t *target, const bf_served_target_t *previous)
{
	bf_served_target_t *served;
	uint32_t slots;

	served = calloc(1, sizeof(*served));
	if (served == NULL)
		return NULL;
	atomic_init(&served->references, 1);
	(void)snprintf(
	    served->address, sizeof(served->address), "%s", target->address);
	(void)snprintf(
	    served->service, sizeof(served->service), "%s", target->service);
	(void)snprintf(
	    served->version, sizeof(served->version), "%s", target->version);
	served->incarnation = target->incarnation;
	served->state = target->state;
	slots = target->slots > 0 ? target->slots : 1;
	if (previous != NULL && previous->incarnation == target->incarnation)
		served->slot_pool = slot_pool_hold(previous->slot_pool, slots);
	else
		served->slot_pool = slot_pool_new(slots);
	if (served->slot_pool == NULL) {
		free(served);
		return NULL;
	}
	return served;
}

void
bf_served_target_hold(bf_served_target_t *served)
{
	atomic_fetch_add(&served->references, 1);
}

void
bf_served_target_release(bf_served_target_t *served)
{
	if (served == NULL || atomic_fetch_sub(&served->references, 1) != 1)
		return;
	slot_pool_release(served->slot_pool);
	free(served);
}
