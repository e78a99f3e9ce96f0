#ifndef BF_LOAD_LOAD_H
#define BF_LOAD_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/histogram.h"

/*
 * An open-loop load generator: calls start at their intended times, however
 * slow the responses are, and latency is measured from the intended time, so
 * that a stalled server cannot hide its delay (no coordinated omission).
 */

/* One call of a trace: a line "time_us method path class body_bytes". */
typedef struct bf_load_call {
	bf_time_us_t at_us; /* from the start of the run */
	char *method;
	char *path;
	char *call_class; /* label, not used in the run */
	uint64_t body_bytes;
} bf_load_call_t;

typedef struct bf_load_trace {
	bf_load_call_t *calls;
	size_t count;
} bf_load_trace_t;

/* Reads a trace; times must not decrease.  BF_ERR_PARSE names the line. */
bf_code_t bf_load_trace_read(FILE *in, bf_load_trace_t *trace, bf_error_t *err);

/*
 * Generates a trace of count calls: a Poisson process with rate calls a second,
 * each call drawn from the weighted lines "weight method path class body_bytes"
 * of mix, or GET / if mix is NULL.  The same seed gives the same trace.
 */
bf_code_t bf_load_trace_generate(double rate, size_t count, FILE *mix,
    uint64_t seed, bf_load_trace_t *trace, bf_error_t *err);

void bf_load_trace_clear(bf_load_trace_t *trace);

typedef enum bf_load_outcome {
	BF_LOAD_ANSWERED,
	BF_LOAD_NOT_RUN,
	BF_LOAD_UNKNOWN,
	BF_LOAD_OUTCOME_COUNT
} bf_load_outcome_t;

typedef struct bf_load_series {
	const char *url;
	uint64_t calls;
	uint64_t outcomes[BF_LOAD_OUTCOME_COUNT];
	uint64_t status_5xx; /* responses with a status of 500 or more */
	uint64_t status_4xx; /* responses with a status of 400 to 499 */
	uint64_t wrong;      /* responses with another id or a damaged body */
	uint64_t verified;   /* responses with the expected id and body */
	uint64_t spans;      /* responses with a sampled traceparent */
	bf_time_us_t lag_max_us; /* largest delay of a send by the generator */
	bf_histogram_t latency;  /* of answered calls, from the intended time */
} bf_load_series_t;

typedef struct bf_load_options {
	const char *const *targets; /* "http://IP:port", used in rotation */
	size_t target_count;
	const char *baseline; /* URL that gets each call too; may be NULL */
	const char *host;     /* Host header; may be NULL */
	uint32_t connections; /* maximum for each target; 0: 64 */
	uint32_t timeout_ms;  /* for each call; 0: 10 s */
	uint32_t deadline_ms; /* sent with each call; 0: none */
	uint64_t seed;        /* of request ids and bodies */
	bool traced;          /* send a sampled traceparent with each call */
} bf_load_options_t;

/* series[0] is for all targets together, series[1] for the baseline. */
typedef struct bf_load_report {
	bf_load_series_t series[2];
	bf_time_us_t duration_us;
} bf_load_report_t;

/* Runs a trace; each call goes to a target, then to the baseline if set. */
bf_code_t bf_load_run(const bf_load_options_t *options,
    const bf_load_trace_t *trace, bf_load_report_t *report, bf_error_t *err);

void bf_load_print_table(const bf_load_report_t *report, FILE *out);
bf_code_t bf_load_print_json(
    const bf_load_report_t *report, FILE *out, bf_error_t *err);

#endif
