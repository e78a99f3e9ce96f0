#include <math.h>
#include <stddef.h>

#include "fairness/reserve.h"

/* Time in which the memory of an arrival falls to 1/e. */
#define MEMORY_US ((double)BF_US_PER_S)
#define RUN_WEIGHT 0.1
/* Calls that take this part of a run's time or less are short beside it. */
#define SHORT_PART 0.5
/*
 * Part of the slots that long runs may always take: that which the queue leaves
 * to calls of lower priority.
 */
#define LONG_PART_MIN (1.0 / 3)

static uint32_t
magnitude(bf_time_us_t run_us)
{
	return run_us > 1 ? (uint32_t)ilogb((double)run_us) : 0;
}

static void
decay(bf_reserve_t *reserve, bf_time_us_t now_us)
{
	double factor;
	uint32_t i;

	if (now_us <= reserve->updated_at_us)
		return;
	factor = exp(-(double)(now_us - reserve->updated_at_us) / MEMORY_US);
	for (i = 0; i < reserve->kind_count; i++)
		reserve->kinds[i].work_us *= factor;
	reserve->updated_at_us = now_us;
}

/* A kind to replace: that without calls of which the least work arrived. */
static bf_reserve_kind_t *
replaceable_kind(bf_reserve_t *reserve)
{
	bf_reserve_kind_t *best = NULL, *kind;
	uint32_t i;

	if (reserve->kind_count < BF_RESERVE_KINDS_MAX)
		return &reserve->kinds[reserve->kind_count++];
	for (i = 0; i < reserve->kind_count; i++) {
		kind = &reserve->kinds[i];
		if (kind->running == 0 && kind->waiting == 0 &&
		    (best == NULL || kind->work_us < best->work_us))
			best = kind;
	}
	return best;
}

bf_reserve_kind_t *
bf_reserve_count_arrival(bf_reserve_t *reserve, uint32_t priority, bool inner,
    bf_time_us_t run_us, bf_time_us_t now_us)
{
	uint32_t size = magnitude(run_us), i;
	bf_reserve_kind_t *kind = NULL;

	decay(reserve, now_us);
	for (i = 0; i < reserve->kind_count && kind == NULL; i++) {
		if (reserve->kinds[i].priority == priority &&
		    reserve->kinds[i].inner == inner &&
		    reserve->kinds[i].magnitude == size)
			kind = &reserve->kinds[i];
	}
	if (kind == NULL) {
		kind = replaceable_kind(reserve);
		if (kind == NULL)
			return NULL;
		*kind = (bf_reserve_kind_t){ .priority = priority,
			.inner = inner,
			.magnitude = size,
			.run_us = (double)run_us };
	}
	kind->work_us += (double)run_us;
	kind->run_us += RUN_WEIGHT * ((double)run_us - kind->run_us);
	return kind;
}

static bool
is_more_urgent(const bf_reserve_kind_t *a, const bf_reserve_kind_t *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->inner && !b->inner;
}

uint32_t
bf_reserve_limit(
    const bf_reserve_t *reserve, const bf_reserve_kind_t *kind, uint32_t slots)
{
	double demand = 0, kept, least;
	uint32_t i;

	/* A call made by a target is waited for by a run that holds a slot. */
	if (kind == NULL || kind->inner)
		return slots;
	for (i = 0; i < reserve->kind_count; i++) {
		const bf_reserve_kind_t *other = &reserve->kinds[i];

		if (is_more_urgent(other, kind) &&
		    other->run_us <= SHORT_PART * kind->run_us)
			demand += other->work_us / MEMORY_US;
	}
	kept = floor(demand + sqrt(demand));
	least = ceil(LONG_PART_MIN * slots);
	if (slots - kept < least)
		return (uint32_t)least;
	return slots - (uint32_t)kept;
}

bool
bf_reserve_counts_in(
    const bf_reserve_kind_t *kind, const bf_reserve_kind_t *limited)
{
	return kind != NULL && limited != NULL && !kind->inner &&
	    !is_more_urgent(kind, limited) &&
	    kind->run_us > SHORT_PART * limited->run_us;
}

bool
bf_reserve_permits(
    const bf_reserve_t *reserve, const bf_reserve_kind_t *kind, uint32_t slots)
{
	uint32_t running = 0, i;

	if (kind == NULL || kind->inner)
		return true;
	for (i = 0; i < reserve->kind_count; i++) {
		if (bf_reserve_counts_in(&reserve->kinds[i], kind))
			running += reserve->kinds[i].running;
	}
	return running < bf_reserve_limit(reserve, kind, slots);
}
