#ifndef BF_TESTS_LINK_FIXTURE_H
#define BF_TESTS_LINK_FIXTURE_H

#include "tests/callers.h"

/*
 * A mesh whose node CALLERS_NEAREST_NODE reaches its target through a
 * standin_link, which injects network faults.
 */

#define LINK_FIXTURE_THREADS 6

typedef struct link_fixture {
	harness_t *h;
	mesh_t *mesh;
	harness_process_t *link; /* between that target and its node */
	callers_t *callers;      /* LINK_FIXTURE_THREADS of them */
} link_fixture_t;

void link_fixture_set_up(link_fixture_t *f);
void link_fixture_tear_down(link_fixture_t *f);

/* Requests "PUT /standin/<fault>" of a link or of a target. */
void link_fixture_inject_fault(harness_process_t *process, const char *fault);

/*
 * Repeatedly lets the link hold answers until it has two or more, then releases
 * them: alternately just late, and swapped, so that each is delivered on the
 * connection of another call.
 */
void link_fixture_swap_answers(link_fixture_t *f);

#endif
