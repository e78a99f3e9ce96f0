#include <math.h>

#include "memory/budget.h"

/*
 * Share of the machine's memory.  Half of 160 MB covers one body of 64 MB, and
 * leaves room for the process itself and for allocator overhead.
 */
#define LIMIT_DIVISOR 2
/* Time constant of the recent rate of a body. */
#define RECENT_US (2 * BF_US_PER_S)
/* A body this young is refused only if there is no other. */
#define NEW_US (500 * BF_US_PER_MS)
/* Keeps the rate of a new body finite. */
#define AGE_MIN_US (10 * BF_US_PER_MS)
/*
 * Minimum rate: 512 bytes in 30 s of reading.  No link that a call with a
 * deadline can use is slower.
 */
#define WINDOW_US (30 * BF_US_PER_S)
#define WINDOW_BYTES_MIN 512
#define ELAPSED_MAX_US BF_US_PER_S

void
bf_memory_budget_init(bf_memory_budget_t *budget, uint64_t limit_bytes)
{
	*budget = (bf_memory_budget_t){ .limit_bytes = limit_bytes };
	TAILQ_INIT(&budget->bodies);
}

uint64_t
bf_memory_budget_limit(uint64_t memory_bytes)
{
	return memory_bytes / LIMIT_DIVISOR;
}

void
bf_memory_charge_set(bf_memory_charge_t *charge, uint64_t bytes)
{
	if (charge->budget == NULL)
		return;
	charge->budget->held_bytes += bytes - charge->bytes;
	charge->budget->held_by_side[charge->side] += bytes - charge->bytes;
	charge->bytes = bytes;
}

uint64_t
bf_memory_of(const bf_bytes_t *bytes)
{
	return bytes->capacity < BF_MEMORY_MAPPED_BYTES ? bytes->capacity
							: bytes->end;
}

void
bf_memory_body_begin(
    bf_memory_budget_t *budget, bf_memory_body_t *body, bf_time_us_t now_us)
{
	bf_memory_body_end(body);
	body->budget = budget;
	body->began_us = now_us;
	body->recent_at_us = now_us;
	body->recent_bytes = 0;
	body->read_us = 0;
	body->window_bytes = 0;
	TAILQ_INSERT_TAIL(&budget->bodies, body, link);
}

void
bf_memory_body_end(bf_memory_body_t *body)
{
	if (body->budget == NULL)
		return;
	TAILQ_REMOVE(&body->budget->bodies, body, link);
	body->budget = NULL;
}

static double
decayed_bytes(const bf_memory_body_t *body, bf_time_us_t now_us)
{
	return body->recent_bytes *
	    exp(-(double)(now_us - body->recent_at_us) / RECENT_US);
}

void
bf_memory_body_received(
    bf_memory_body_t *body, uint64_t bytes, bf_time_us_t now_us)
{
	body->recent_bytes = decayed_bytes(body, now_us) + (double)bytes;
	body->recent_at_us = now_us;
	body->window_bytes += bytes;
}

bool
bf_memory_body_is_too_slow(bf_memory_body_t *body, bf_time_us_t elapsed_us)
{
	bool too_slow;

	body->read_us +=
	    elapsed_us < ELAPSED_MAX_US ? elapsed_us : ELAPSED_MAX_US;
	if (body->read_us < WINDOW_US)
		return false;
	too_slow = body->window_bytes < WINDOW_BYTES_MIN;
	body->read_us = 0;
	body->window_bytes = 0;
	return too_slow;
}

/* Bytes in the recent time, scaled up for a body that is younger than that. */
double
bf_memory_body_rate(const bf_memory_body_t *body, bf_time_us_t now_us)
{
	bf_time_us_t age_us = now_us - body->began_us;

	if (age_us < AGE_MIN_US)
		age_us = AGE_MIN_US;
	return decayed_bytes(body, now_us) /
	    (1 - exp(-(double)age_us / RECENT_US));
}

bf_memory_body_t *
bf_memory_budget_slowest(const bf_memory_budget_t *budget, bf_time_us_t now_us)
{
	bf_memory_body_t *body, *slowest = NULL;
	bool is_new, slowest_is_new = true;
	double slowest_rate = 0, body_rate;

	TAILQ_FOREACH(body, &budget->bodies, link)
	{
		is_new = now_us - body->began_us < NEW_US;
		body_rate = bf_memory_body_rate(body, now_us);
		if (slowest == NULL || (!is_new && slowest_is_new) ||
		    (is_new == slowest_is_new && body_rate < slowest_rate)) {
			slowest = body;
			slowest_rate = body_rate;
			slowest_is_new = is_new;
		}
	}
	return slowest;
}

bool
bf_memory_budget_has_room(const bf_memory_budget_t *budget, uint64_t bytes)
{
	return budget->limit_bytes == 0 ||
	    budget->held_bytes + bytes <= budget->limit_bytes;
}

bool
bf_memory_budget_make_room(
    bf_memory_budget_t *budget, uint64_t bytes, bf_time_us_t now_us)
{
	bf_memory_body_t *body;

	while (!bf_memory_budget_has_room(budget, bytes)) {
		body = bf_memory_budget_slowest(budget, now_us);
		if (body == NULL)
			return false;
		bf_memory_body_end(body);
		body->refuse(body, now_us);
	}
	return true;
}
