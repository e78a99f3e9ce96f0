#include "proxy/span.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SPAN_WORDS (sizeof(bf_span_t) / sizeof(uint64_t))
#define CACHE_LINE_BYTES 64
#define TRACE_ID_DIGITS 32
#define SPAN_ID_DIGITS 16

_Static_assert(sizeof(bf_span_t) % sizeof(uint64_t) == 0, "whole words");

/* A sequence lock: sequence is odd while the writer changes the words. */
typedef struct bf_span_slot {
	_Atomic uint64_t sequence;
	_Atomic uint64_t words[SPAN_WORDS];
} bf_span_slot_t;

typedef struct bf_span_ring {
	_Alignas(CACHE_LINE_BYTES) uint64_t next; /* used by the writer only */
	bf_span_slot_t *slots;
} bf_span_ring_t;

struct bf_spans {
	uint32_t writers;
	uint32_t ring_spans;
	uint32_t sample_ppm;
	bf_span_ring_t *rings;
};

static bool
parse_hex(const char *text, size_t digits, uint64_t *value)
{
	size_t i;
	char c;

	*value = 0;
	for (i = 0; i < digits; i++) {
		c = text[i];
		*value <<= 4;
		if (c >= '0' && c <= '9')
			*value |= (uint64_t)(c - '0');
		else if (c >= 'a' && c <= 'f')
			*value |= (uint64_t)(c - 'a' + 10);
		else
			return false;
	}
	return true;
}

bool
bf_trace_id_parse(const char *text, bf_trace_id_t *id)
{
	if (strlen(text) != TRACE_ID_DIGITS)
		return false;
	return parse_hex(text, SPAN_ID_DIGITS, &id->high) &&
	    parse_hex(text + SPAN_ID_DIGITS, SPAN_ID_DIGITS, &id->low);
}

bool
bf_trace_context_parse(const char *text, bf_trace_context_t *context)
{
	uint64_t flags;

	if (strlen(text) != BF_TRACEPARENT_BYTES - 1)
		return false;
	if (memcmp(text, "00-", 3) != 0 || text[35] != '-' || text[52] != '-')
		return false;
	if (!parse_hex(text + 3, SPAN_ID_DIGITS, &context->trace_id.high) ||
	    !parse_hex(text + 19, SPAN_ID_DIGITS, &context->trace_id.low) ||
	    !parse_hex(text + 36, SPAN_ID_DIGITS, &context->span_id) ||
	    !parse_hex(text + 53, 2, &flags))
		return false;
	context->sampled = (flags & 1) != 0;
	return (context->trace_id.high | context->trace_id.low) != 0 &&
	    context->span_id != 0;
}

void
bf_trace_context_format(
    const bf_trace_context_t *context, char text[BF_TRACEPARENT_BYTES])
{
	(void)snprintf(text, BF_TRACEPARENT_BYTES,
	    "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-%02x",
	    context->trace_id.high, context->trace_id.low, context->span_id,
	    context->sampled ? 1U : 0U);
}

static bool
open_rings(bf_spans_t *spans)
{
	uint32_t i;

	spans->rings = aligned_alloc(
	    CACHE_LINE_BYTES, spans->writers * sizeof(*spans->rings));
	if (spans->rings == NULL)
		return false;
	memset(spans->rings, 0, spans->writers * sizeof(*spans->rings));
	for (i = 0; i < spans->writers; i++) {
		spans->rings[i].slots =
		    calloc(spans->ring_spans, sizeof(bf_span_slot_t));
		if (spans->rings[i].slots == NULL)
			return false;
	}
	return true;
}

bf_spans_t *
bf_spans_new(uint32_t writers, uint32_t ring_spans, uint32_t sample_ppm)
{
	bf_spans_t *spans;

	if (writers == 0 || ring_spans == 0)
		return NULL;
	spans = calloc(1, sizeof(*spans));
	if (spans == NULL)
		return NULL;
	spans->writers = writers;
	spans->ring_spans = ring_spans;
	spans->sample_ppm = sample_ppm;
	if (!open_rings(spans)) {
		bf_spans_free(spans);
		return NULL;
	}
	return spans;
}

void
bf_spans_free(bf_spans_t *spans)
{
	uint32_t i;

	if (spans == NULL)
		return;
	for (i = 0; spans->rings != NULL && i < spans->writers; i++)
		free(spans->rings[i].slots);
	free(spans->rings);
	free(spans);
}

uint32_t
bf_spans_sample_ppm(const bf_spans_t *spans)
{
	return spans->sample_ppm;
}

void
bf_spans_put(bf_spans_t *spans, uint32_t writer, const bf_span_t *span)
{
	uint64_t sequence, words[SPAN_WORDS];
	bf_span_ring_t *ring;
	bf_span_slot_t *slot;
	size_t i;

	ring = &spans->rings[writer];
	slot = &ring->slots[ring->next++ % spans->ring_spans];
	memcpy(words, span, sizeof(words));
	sequence = atomic_load_explicit(&slot->sequence, memory_order_relaxed);
	atomic_store_explicit(
	    &slot->sequence, sequence + 1, memory_order_relaxed);
	for (i = 0; i < SPAN_WORDS; i++)
		atomic_store_explicit(
		    &slot->words[i], words[i], memory_order_release);
	atomic_store_explicit(
	    &slot->sequence, sequence + 2, memory_order_release);
}

/* Copies a slot; false if it is empty or was changed during the copy. */
static bool
read_slot(bf_span_slot_t *slot, bf_span_t *span)
{
	uint64_t before, after, words[SPAN_WORDS];
	size_t i;

	before = atomic_load_explicit(&slot->sequence, memory_order_acquire);
	if (before == 0 || before % 2 != 0)
		return false;
	for (i = 0; i < SPAN_WORDS; i++)
		words[i] =
		    atomic_load_explicit(&slot->words[i], memory_order_acquire);
	after = atomic_load_explicit(&slot->sequence, memory_order_relaxed);
	if (after != before)
		return false;
	memcpy(span, words, sizeof(*span));
	return true;
}

size_t
bf_spans_find(const bf_spans_t *spans, bf_trace_id_t trace_id,
    void (*visit)(void *ctx, const bf_span_t *span), void *ctx)
{
	bf_span_t span;
	uint32_t i, j;
	size_t found;

	found = 0;
	for (i = 0; i < spans->writers; i++) {
		for (j = 0; j < spans->ring_spans; j++) {
			if (!read_slot(&spans->rings[i].slots[j], &span))
				continue;
			if (span.trace_id.high != trace_id.high ||
			    span.trace_id.low != trace_id.low)
				continue;
			visit(ctx, &span);
			found++;
		}
	}
	return found;
}
