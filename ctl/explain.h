#ifndef BF_CTL_EXPLAIN_H
#define BF_CTL_EXPLAIN_H

#include <stdint.h>
#include <stdio.h>

#include "base/error.h"

/*
 * The story of one call from the event logs of the nodes: every line about it,
 * about the calls that its run made, and what the nodes concerned came to
 * believe shortly before or meanwhile, in the order of time.  docs/LOGS.md
 * lists the lines.
 */

typedef struct bf_explain_counts {
	uint64_t lines;   /* read */
	uint64_t damaged; /* no JSON object with a time and an event */
	uint64_t told;    /* lines of the story */
} bf_explain_counts_t;

/*
 * Reads log lines from in until its end and prints the story of id.
 * BF_ERR_NOT_FOUND when no line is about it; BF_ERR_MEMORY.
 */
bf_code_t bf_explain(FILE *in, const char *id, FILE *out,
    bf_explain_counts_t *counts, bf_error_t *err);

#endif
