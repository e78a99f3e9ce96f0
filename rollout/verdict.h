#ifndef BF_ROLLOUT_VERDICT_H
#define BF_ROLLOUT_VERDICT_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "member/record.h"

/*
 * States of a move, the reasons for them, and the verdict on a move, which is
 * distributed to all nodes and kept in the store.
 */

typedef enum bf_rollout_state {
	BF_ROLLOUT_WAITING, /* not started, or no target of the new version */
	BF_ROLLOUT_RAMPING,
	BF_ROLLOUT_HOLDING, /* the share does not grow: see the reason */
	BF_ROLLOUT_LATE,    /* incomplete at its deadline; still ramping */
	BF_ROLLOUT_DONE,    /* complete; tested while old targets remain */
	BF_ROLLOUT_PROBING, /* complete, but reduced for another comparison */
	BF_ROLLOUT_TAKEN_BACK, /* final: the share stays 0 */
	BF_ROLLOUT_STATE_COUNT
} bf_rollout_state_t;

typedef enum bf_rollout_reason {
	BF_ROLLOUT_REASON_NONE,
	/* The move's start is in the future. */
	BF_ROLLOUT_REASON_NOT_STARTED,
	/* The new version has no target. */
	BF_ROLLOUT_REASON_NO_TARGETS,
	/* Too few calls so far, but more are expected. */
	BF_ROLLOUT_REASON_NO_EVIDENCE,
	/* Too few calls are expected over the duration of the move. */
	BF_ROLLOUT_REASON_THIN_TRAFFIC,
	/* The new version has too few slots for more. */
	BF_ROLLOUT_REASON_CAPACITY,
	/* Signs of a regression, which is not proven yet. */
	BF_ROLLOUT_REASON_SUSPICION,
	/* At-most-once routes wait for the others. */
	BF_ROLLOUT_REASON_ROUTE_ORDER,
	/* The new version fails more often. */
	BF_ROLLOUT_REASON_FAILURES,
	/* The new version is slower. */
	BF_ROLLOUT_REASON_SLOW,
	/* The new version fails or is slow at a load the old one handled. */
	BF_ROLLOUT_REASON_UNDER_LOAD,
	BF_ROLLOUT_REASON_COMPLETE,
	BF_ROLLOUT_REASON_COUNT
} bf_rollout_reason_t;

const char *bf_rollout_state_name(bf_rollout_state_t state);
const char *bf_rollout_reason_name(bf_rollout_reason_t reason);

/* The figures that a state or verdict is based on. */
typedef struct bf_rollout_figures {
	char route[BF_NAME_BYTES]; /* the decisive one; "": all routes */
	uint64_t new_calls;
	uint64_t new_failures;
	uint64_t old_calls;
	uint64_t old_failures;
	uint32_t slow_over_ms; /* latency cutoff of a latency test, else 0 */
	uint64_t new_slow;     /* calls slower than that cutoff */
	uint64_t old_slow;
	double evidence; /* e-value against "the new version is no worse" */
} bf_rollout_figures_t;

/*
 * Final decision on a move; distributed as an item (kind "verdict", key move
 * id).  The kind is BF_ITEM_OUTCOME in node/moves.h; the value of an item is
 * the verdict as JSON.
 */
typedef struct bf_verdict {
	char move_id[BF_NAME_BYTES];
	bf_rollout_state_t state; /* ranked LATE < DONE < TAKEN_BACK */
	bf_rollout_reason_t reason;
	bf_rollout_figures_t figures;
	char zone[BF_NAME_BYTES];
	char instance[BF_NAME_BYTES]; /* the instance that reached it */
	bf_time_us_t at_us;
} bf_verdict_t;

#define BF_VERDICT_BYTES_MAX 1024

/*
 * Returns the rank of the verdict's item.  A verdict is replaced only by one
 * of greater rank.
 */
uint64_t bf_verdict_rank(const bf_verdict_t *verdict);

bf_code_t bf_verdict_encode(const bf_verdict_t *verdict, void *buffer,
    size_t capacity, size_t *size_bytes, bf_error_t *err);
bf_code_t bf_verdict_decode(const void *data, size_t data_bytes,
    bf_verdict_t *verdict, bf_error_t *err);

/*
 * Returns the verdict as the JSON text that is kept in the store as the move's
 * outcome, or NULL when out of memory.  The caller frees it with free().
 */
char *bf_verdict_json(const bf_verdict_t *verdict);

/*
 * Parses the text of bf_verdict_json.  Returns BF_ERR_PARSE for anything else,
 * and BF_ERR_TOO_LARGE for more than BF_VERDICT_BYTES_MAX.
 */
bf_code_t bf_verdict_parse(const char *text, size_t text_bytes,
    bf_verdict_t *verdict, bf_error_t *err);

#endif
