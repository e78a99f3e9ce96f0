#ifndef BF_MESH_MOVE_H
#define BF_MESH_MOVE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "member/record.h"

/*
 * The decision of one move, for the node that leads it: which share of a
 * service's calls goes to the new version, and when the move is completed or
 * taken back.  Pure: evidence and time go in, a change comes out.
 *
 * Evidence is counted beside the targets, by route.  The new version is
 * compared with the old one on the same route and in the same time, so that an
 * overload or a dead zone, which hurts both, condemns neither.
 */

typedef enum bf_move_state {
	BF_MOVE_ACTIVE,
	BF_MOVE_COMPLETED,
	BF_MOVE_ROLLED_BACK
} bf_move_state_t;

/* What an operator orders. */
typedef struct bf_move_order {
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES]; /* to move to */
	uint32_t duration_ms;        /* from the order to its end */
} bf_move_order_t;

/* What is kept of a move in the store. */
typedef struct bf_move_outcome {
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	bf_move_state_t state;
} bf_move_outcome_t;

/* What the runs of one route on targets of one version showed. */
typedef struct bf_run_tally {
	uint32_t route; /* hash of its name */
	uint32_t runs;
	uint32_t failures;
	uint32_t timed_runs; /* runs whose time counts: not on a cold target */
	uint64_t time_us;
} bf_run_tally_t;

#define BF_TALLY_ROUTES_MAX 16

typedef struct bf_run_tallies {
	bf_run_tally_t routes[BF_TALLY_ROUTES_MAX];
	uint32_t count;
} bf_run_tallies_t;

/* The tally of a route, added when it is new; NULL when there is no room. */
bf_run_tally_t *bf_run_tally(bf_run_tallies_t *tallies, uint32_t route);

/* Adds to sum what tallies has beyond base, which may be NULL. */
void bf_run_tallies_add(bf_run_tallies_t *sum, const bf_run_tallies_t *tallies,
    const bf_run_tallies_t *base);

/* The mesh as the leader sees it. */
typedef struct bf_move_evidence {
	uint32_t new_slots; /* of ready targets of the new version */
	uint32_t old_slots;
	uint32_t old_calls; /* calls that run or wait at old targets */
	const bf_run_tallies_t *new_runs; /* since the move began */
	const bf_run_tallies_t *old_runs;
	/* Of the last seconds, so that early good runs hide no late badness. */
	const bf_run_tallies_t *new_recent;
	const bf_run_tallies_t *old_recent;
} bf_move_evidence_t;

#define BF_MOVE_REASON_BYTES 96
#define BF_SHARE_ALL_PPM 1000000U

typedef struct bf_move {
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	uint64_t order_revision;  /* of the order in the store */
	bf_time_us_t began_at_us; /* monotonic, of this process */
	bf_time_us_t duration_us;
	bf_move_state_t state;
	uint32_t share_ppm; /* of the calls that go to the new version */
	bf_time_us_t share_set_at_us;      /* when share_ppm was set */
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

/* Decides; changes state, share and reason. */
bf_move_change_t bf_move_step(
    bf_move_t *move, const bf_move_evidence_t *view, bf_time_us_t now_us);

const char *bf_move_state_name(bf_move_state_t state);

#endif
