#ifndef BF_TESTS_CALLERS_H
#define BF_TESTS_CALLERS_H

#include <stdint.h>

#include "tests/mesh.h"

/*
 * Threads that call one service in a loop and record the outcome reported for
 * each call, to be checked against the ledgers of the targets.  The service has
 * the routes of callers_intent.
 */

#define CALLERS_SERVICE "shop"

typedef struct callers callers_t;

/* Numbers of calls by outcome, and of violations found in the ledgers. */
typedef struct callers_result {
	uint64_t answered; /* with a complete and verified answer */
	uint64_t not_run;
	uint64_t unknown; /* no answer, or one that leaves the outcome open */

	/* Violations of the guarantees; each is also printed. */
	uint64_t run_after_not_run;  /* reported as not run, but in a ledger */
	uint64_t run_more_than_once; /* on a route that is not repeatable */
	uint64_t wrong_answers;      /* incomplete, or to another request */
	uint64_t answered_without_run; /* answered, but in no ledger */
	uint64_t without_outcome;      /* an answer without an outcome header */
} callers_result_t;

/*
 * Returns the intent for CALLERS_SERVICE: /charge at most once, /note plain,
 * /look/ repeatable, /scan/ for uploads.  split is the body of its split table,
 * such as "v1 = 100".
 */
char *callers_intent(const char *split);

/*
 * Starts a mesh of two zones with two nodes each and applies callers_intent.
 * Node 0 has no target and receives the calls; the others have targets with
 * version v1 of CALLERS_SERVICE.  options are arguments for the target of node
 * 1, which is in the zone of node 0.
 */
#define CALLERS_ENTRY_NODE 0
#define CALLERS_NEAREST_NODE 1
#define CALLERS_TARGET_COUNT 3
mesh_t *callers_start_mesh(harness_t *h, const char *options);

/* Starts threads that send calls through the given node. */
callers_t *callers_start(mesh_t *mesh, unsigned int node, unsigned int threads);

/* Waits until count more calls have ended. */
void callers_wait_calls(callers_t *callers, uint64_t count);

/* Returns the number of calls so far whose outcome is unknown. */
uint64_t callers_unknown_count(callers_t *callers);

/* Stops the threads and checks all calls against the ledgers of all targets. */
callers_result_t callers_stop(callers_t *callers);

/* Fails the test if a guarantee was violated. */
void callers_expect_no_violation(const callers_result_t *result);

#endif
