#ifndef BF_PROXY_SPAN_H
#define BF_PROXY_SPAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "member/record.h"

/*
 * Spans: one for each hop of a sampled call, kept in a ring for each worker.
 * A worker writes without a lock; a reader skips a span that is overwritten
 * while it looks.
 */

typedef struct bf_trace_id {
	uint64_t high;
	uint64_t low;
} bf_trace_id_t;

/* The parts of a W3C traceparent header. */
typedef struct bf_trace_context {
	bf_trace_id_t trace_id;
	uint64_t span_id; /* of the sender: the parent of the next span */
	bool sampled;
} bf_trace_context_t;

/* "00-" 32 digits "-" 16 digits "-" 2 digits and the terminating NUL. */
#define BF_TRACEPARENT_BYTES 56

/* Reads a traceparent header of version 00; false when malformed. */
bool bf_trace_context_parse(const char *text, bf_trace_context_t *context);

void bf_trace_context_format(
    const bf_trace_context_t *context, char text[BF_TRACEPARENT_BYTES]);

bool bf_trace_id_parse(const char *text, bf_trace_id_t *id);

typedef struct bf_span {
	bf_trace_id_t trace_id;
	uint64_t span_id;
	uint64_t parent_id;    /* 0: none */
	bf_time_us_t start_us; /* wall clock */
	bf_time_us_t duration_us;
	uint32_t hop; /* 1: entry node, 2: node beside the target */
	uint32_t attempt;
	uint32_t status;  /* HTTP status told to the sender */
	uint32_t outcome; /* bf_outcome_t */
	uint32_t reason;  /* bf_reason_t */
	uint32_t pad;
	char instance[BF_NAME_BYTES]; /* where the span was made */
	char service[BF_NAME_BYTES];
	char route[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	char target[BF_NAME_BYTES]; /* instance of the chosen target */
} bf_span_t;

typedef struct bf_spans bf_spans_t;

/*
 * A store for as many writers as there are workers, each with a ring of
 * ring_spans.  sample_ppm of a million calls that bring no sampled flag are
 * sampled.
 */
bf_spans_t *bf_spans_new(
    uint32_t writers, uint32_t ring_spans, uint32_t sample_ppm);
void bf_spans_free(bf_spans_t *spans);

uint32_t bf_spans_sample_ppm(const bf_spans_t *spans);

/* Keeps a copy of span; only the thread that owns this writer may call it. */
void bf_spans_put(bf_spans_t *spans, uint32_t writer, const bf_span_t *span);

/* Visits a copy of each kept span of a trace; any thread.  Returns how many. */
size_t bf_spans_find(const bf_spans_t *spans, bf_trace_id_t trace_id,
    void (*visit)(void *ctx, const bf_span_t *span), void *ctx);

#endif
