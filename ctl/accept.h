#ifndef BF_CTL_ACCEPT_H
#define BF_CTL_ACCEPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/clock.h"
#include "base/error.h"
#include "config/snapshot.h"
#include "control/head.h"
#include "store/store.h"

/*
 * Submits a configuration to the store: the chunks are written first, then the
 * head is replaced by compare-and-swap.  Each submission carries an id, so that
 * when the response to a write is lost, reading the head shows whether the
 * write took effect.
 */

/* The configuration that the store holds. */
typedef struct bf_accepted_config {
	bool exists; /* false: no configuration has been accepted yet */
	bf_head_t head;
	uint64_t index;          /* modification index of the head key */
	bf_snapshot_t *snapshot; /* owned by the caller; NULL if !exists */
} bf_accepted_config_t;

typedef struct bf_submission {
	const bf_service_t *services;
	size_t service_count;
	const char *id; /* unique to this submission */
	const char *operator_name;
	const char *summary;
	bf_time_us_t wall_us; /* time of the submission */
} bf_submission_t;

typedef struct bf_accept_result {
	uint64_t version; /* of the submission; on a conflict, of the winner */
	bool unchanged;   /* same content as the base: nothing was written */
	bool settled;     /* a response was lost; the head was read instead */
	bf_head_t winner; /* on BF_ERR_CONFLICT, the head now in the store */
	const char *const *conflicting_keys; /* changed by both submissions */
	size_t conflicting_key_count;
} bf_accept_result_t;

/* Reads the head and its chunks; strings are allocated from pool. */
bf_code_t bf_accept_read(bf_store_t *store, const char *prefix,
    apr_pool_t *pool, bf_accepted_config_t *accepted, bf_error_t *err);

/*
 * Submits services on top of base, the configuration read before.
 * BF_ERR_CONFLICT when another submission was accepted since: result describes
 * it.  BF_ERR_UNSETTLED when the outcome could not be read from the store: the
 * same submission id may be submitted again.
 */
bf_code_t bf_accept_submit(bf_store_t *store, const char *prefix,
    const bf_accepted_config_t *base, const bf_submission_t *submission,
    apr_pool_t *pool, bf_accept_result_t *result, bf_error_t *err);

/* Looks a submission up in the head's history; sets version if found. */
bool bf_head_has_submission(
    const bf_head_t *head, const char *id, uint64_t *version);

#endif
