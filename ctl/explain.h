#ifndef BF_CTL_EXPLAIN_H
#define BF_CTL_EXPLAIN_H

#include <stdint.h>
#include <stdio.h>

#include "base/error.h"

/*
 * The timeline of one call from the event logs of the nodes: all events of the
 * call and of the calls made while it ran, and the state changes of the nodes
 * involved shortly before or during it.  docs/LOGS.md lists the events.
 */

typedef struct bf_explain_counts {
	uint64_t lines_read;
	uint64_t lines_skipped; /* not a JSON object with a time and an event */
	uint64_t lines_printed;
} bf_explain_counts_t;

/*
 * Reads log lines from in until its end and prints the timeline of the call
 * id.  Fails with BF_ERR_NOT_FOUND when no line is about it, or BF_ERR_MEMORY.
 */
bf_code_t bf_explain(FILE *in, const char *id, FILE *out,
    bf_explain_counts_t *counts, bf_error_t *err);

#endif
