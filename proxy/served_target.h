#ifndef BF_PROXY_SERVED_TARGET_H
#define BF_PROXY_SERVED_TARGET_H

#include <stdatomic.h>

#include "proxy/proxy.h"
#include "route/admission.h"

/*
 * The target that this node's mesh listener serves, as the workers read it:
 * immutable and reference-counted.  All descriptions of one incarnation of the
 * target share a slot pool, so that calls in flight keep their slots when only
 * the target's state changes.
 */

typedef struct bf_slot_pool {
	_Atomic uint32_t references;
	bf_admission_t admission;
} bf_slot_pool_t;

typedef struct bf_served_target {
	_Atomic uint32_t references;
	char address[BF_ADDRESS_BYTES];
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	uint64_t incarnation;
	bf_target_state_t state;
	bf_slot_pool_t *slot_pool;
} bf_served_target_t;

/*
 * Copies target.  previous may be NULL; its slot pool is shared when the
 * incarnation is the same.  NULL when out of memory.
 */
bf_served_target_t *bf_served_target_new(
    const bf_local_target_t *target, const bf_served_target_t *previous);

void bf_served_target_hold(bf_served_target_t *served);
void bf_served_target_release(bf_served_target_t *served);

#endif
