#ifndef BF_TESTS_FAKE_STORE_H
#define BF_TESTS_FAKE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "control/head.h"
#include "store/store.h"

/*
 * In-memory store for tests in one process.  Leases do not expire; a test ends
 * them by fake_store_end_leases.  Several handles can share one store.
 */

typedef struct fake_store fake_store_t;

typedef enum fake_call {
	FAKE_GET,
	FAKE_LIST,
	FAKE_PUT,
	FAKE_SWAP,
	FAKE_WATCH,
	FAKE_GRANT,
	FAKE_RENEW,
	FAKE_REVOKE,
	FAKE_ACQUIRE,
	FAKE_CALLS /* number of kinds */
} fake_call_t;

fake_store_t *fake_store_new(void);
void fake_store_free(fake_store_t *fake);

/* A handle; freed by bf_store_free. */
bf_store_t *fake_store_open(fake_store_t *fake);

/* Makes all calls fail with this code; BF_OK ends that. */
void fake_store_fail(fake_store_t *fake, bf_code_t code);

/*
 * The next successful write, or grant, renewal or revocation of a lease, takes
 * effect but returns BF_ERR_UNSETTLED, as if its response was lost.
 */
void fake_store_lose_answer(fake_store_t *fake);

/* Ends all leases and deletes the keys held under them. */
void fake_store_end_leases(fake_store_t *fake);

uint64_t fake_store_calls(fake_store_t *fake, fake_call_t call);
uint64_t fake_store_calls_total(fake_store_t *fake);

/* Number of writes of a key since it was created. */
uint64_t fake_store_writes(fake_store_t *fake, const char *key);

/* Writes a snapshot as basilctl does: the chunks first, the head last. */
void fake_store_accept(fake_store_t *fake, const bf_snapshot_t *snapshot);

/* Builds a snapshot; only its first service depends on queue_ms. */
bf_snapshot_t *fake_snapshot(
    uint64_t version, size_t service_count, uint32_t queue_ms);

#endif
