#ifndef BF_PROXY_SPAN_H
#define BF_PROXY_SPAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "member/record.h"

/*
 * Tracing spans: one for each hop of a sampled call, kept in one ring buffer
 * per worker.  Workers write without a lock; a reader skips a span that is
 * overwritten while it is being read.
 */

typedef struct bf_trace_id {
	uint64_t high;
	uint64_t low;
} bf_trace_id_t;

/* The parts of a W3C traceparent header. */
typedef struct bf_trace_context {
	bf_trace_id_t trace_id;
	uint64_t span_id; /* the sender's: the parent of the receiver's span */
	bool sampled;
} bf_trace_context_t;

/* "00-" 32 digits "-" 16 digits "-" 2 digits and the terminating NUL. */
#define BF_TRACEPARENT_BYTES 56

/* Parses a traceparent header of version 00; false when malformed. */
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
	uint32_t status;  /* HTTP status of the response */
	uint32_t outcome; /* bf_outcome_t */
	uint32_t reason;  /* bf_reason_t */
	uint32_t pad;
	char instance[BF_NAME_BYTES]; /* that recorded the span */
	char service[BF_NAME_BYTES];
	char route[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	char target[BF_NAME_BYTES]; /* instance of the chosen target */
} bf_span_t;

typedef struct bf_spans bf_spans_t;

/*
 * A store with a ring buffer of ring_spans for each writer; a worker is the
 * writer of its index.  Of a million calls that arrive without the sampled
 * flag, sample_ppm are sampled.
 */
bf_spans_t *bf_spans_new(
    uint32_t writers, uint32_t ring_spans, uint32_t sample_ppm);
void bf_spans_free(bf_spans_t *spans);

uint32_t bf_spans_sample_ppm(const bf_spans_t *spans);

/* Stores a copy of span; only the thread of this writer may call it. */
void bf_spans_put(bf_spans_t *spans, uint32_t writer, const bf_span_t *span);

/*
 * Calls visit with a copy of each stored span of a trace, from any thread.
 * Returns the number of spans.
 */
size_t bf_spans_find(const bf_spans_t *spans, bf_trace_id_t trace_id,
    void (*visit)(void *ctx, const bf_span_t *span), void *ctx);

#endif
