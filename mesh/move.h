#ifndef BF_MESH_MOVE_H
#define BF_MESH_MOVE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "member/record.h"
#include "mesh/names.h"

/* Of the key of a move's order or outcome: a prefix and the service. */
#define BF_MOVE_KEY_BYTES (BF_NAME_BYTES + BF_SERVICE_BYTES)

/*
 * Decides on one move, the gradual shift of a service's calls to a new version,
 * at the node that leads it: which share of the calls goes to the new version,
 * and when the move is completed or rolled back.  The decision is a function of
 * the evidence and the time alone, without input or output.
 *
 * Evidence is counted by route at the nodes beside the targets.  The new
 * version is compared with the old one on the same route and in the same
 * period, so that an overload or a failed zone, which affects both, is not held
 * against either.
 */

typedef enum bf_move_state {
	BF_MOVE_ACTIVE,
	BF_MOVE_COMPLETED,
	BF_MOVE_ROLLED_BACK
} bf_move_state_t;

/* A move as ordered by an operator. */
typedef struct bf_move_order {
	char service[BF_SERVICE_BYTES];
	char version[BF_SERVICE_BYTES]; /* the new version */
	uint32_t duration_ms; /* from the order to the end of the move */
} bf_move_order_t;

/* State of a move as written to the store. */
typedef struct bf_move_outcome {
	char service[BF_SERVICE_BYTES];
	char version[BF_SERVICE_BYTES];
	bf_move_state_t state;
} bf_move_outcome_t;

/* Counts of the runs of one route on targets of one version. */
typedef struct bf_run_tally {
	uint32_t route; /* hash of its name */
	uint32_t runs;
	uint32_t failures;
	uint32_t timed_runs; /* runs whose time counts: not on a cold target */
	uint64_t time_us;    /* sum over the timed runs */
} bf_run_tally_t;

#define BF_TALLY_ROUTES_MAX 16

typedef struct bf_run_tallies {
	bf_run_tally_t routes[BF_TALLY_ROUTES_MAX];
	uint32_t count;
} bf_run_tallies_t;

/* Finds or adds the tally of a route; NULL when the array is full. */
bf_run_tally_t *bf_run_tally(bf_run_tallies_t *tallies, uint32_t route);

/*
 * Adds to sum the difference between tallies and base, an earlier copy of the
 * same counters; NULL: all of tallies.
 */
void bf_run_tallies_add(bf_run_tallies_t *sum, const bf_run_tallies_t *tallies,
    const bf_run_tallies_t *base);

/* What nodes reported to the leader about the targets of the service. */
typedef struct bf_move_evidence {
	uint32_t new_slots; /* of the ready targets of the new version */
	uint32_t old_slots;
	/* Calls that run or wait at targets of the old version. */
	uint32_t old_calls;
	const bf_run_tallies_t *new_runs; /* since the move began */
	const bf_run_tallies_t *old_runs;
	/*
	 * Runs of the last seconds, so that a version that becomes bad late is
	 * not covered up by its earlier good runs.
	 */
	const bf_run_tallies_t *new_recent;
	const bf_run_tallies_t *old_recent;
} bf_move_evidence_t;

#define BF_MOVE_REASON_BYTES 96
#define BF_SHARE_ALL_PPM 1000000U

typedef struct bf_move {
	char service[BF_SERVICE_BYTES];
	char version[BF_SERVICE_BYTES];
	uint64_t order_revision;  /* of the order's key in the store */
	bf_time_us_t began_at_us; /* monotonic, of this process */
	bf_time_us_t duration_us;
	bf_move_state_t state;
	/* At which the store holds this final state; 0: not known to hold it */
	uint64_t settled_revision;
	uint32_t share_ppm; /* of the calls that go to the new version */
	bf_time_us_t share_set_at_us;
	char reason[BF_MOVE_REASON_BYTES]; /* of the last change */
} bf_move_t;

typedef enum bf_move_change {
	BF_MOVE_CHANGE_NONE,
	BF_MOVE_CHANGE_SHARE,
	BF_MOVE_CHANGE_COMPLETED,
	BF_MOVE_CHANGE_ROLLED_BACK
} bf_move_change_t;

void bf_move_begin(bf_move_t *move, const bf_move_order_t *order,
    uint64_t order_revision, bf_time_us_t now_us);

/* Decides what to do now, and sets state, share_ppm and reason. */
bf_move_change_t bf_move_step(
    bf_move_t *move, const bf_move_evidence_t *evidence, bf_time_us_t now_us);

const char *bf_move_state_name(bf_move_state_t state);

#endif
