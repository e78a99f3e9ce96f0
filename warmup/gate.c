#include <math.h>
#include <string.h>

#include "warmup/gate.h"

/*
 * Calls in a window if the bound admits less than two.  Below 2, so that a
 * window never holds two of them.
 */
#define SINGLE_CALL_WINDOW 0.99
/* Shortest time until a token that is almost complete. */
#define TOKEN_ROUNDING 1e-6

static const double window_s = (double)BF_GATE_WINDOW_US / BF_US_PER_S;

void
bf_gate_set(bf_gate_t *gate, bool is_cold, const bf_gate_limits_t *limits,
    bf_time_us_t now_us)
{
	bool was_limited = gate->limited;
	double bound, rate, burst;

	gate->limited = is_cold && limits->calls_per_s > 0;
	if (!gate->limited)
		return;
	if (!was_limited)
		gate->limited_since_us = now_us;
	gate->tokens = was_limited ? bf_gate_tokens(gate, now_us) : 0;
	gate->filled_at_us = now_us;
	bound = limits->calls_per_s * limits->over + limits->slack;
	rate = limits->calls_per_s;
	burst = bound - rate * window_s;
	if (burst < 1) {
		/* With a burst of 1, rate x window more start in a window. */
		burst = 1;
		rate = fmax((bound - 1) / window_s,
		    fmin(rate, SINGLE_CALL_WINDOW / window_s));
	}
	gate->rate_per_s = rate;
	gate->burst = burst;
	gate->tokens = fmin(gate->tokens, burst);
	gate->window_max = 0;
	if (bound < BF_GATE_STARTS_MAX + 1)
		gate->window_max = bound < 1 ? 1 : (uint32_t)bound;
}

void
bf_gate_restart(bf_gate_t *gate)
{
	memset(gate, 0, sizeof(*gate));
}

double
bf_gate_tokens(const bf_gate_t *gate, bf_time_us_t now_us)
{
	double passed_s = 0;

	if (now_us > gate->filled_at_us)
		passed_s = (double)(now_us - gate->filled_at_us) / BF_US_PER_S;
	return fmin(gate->burst, gate->tokens + passed_s * gate->rate_per_s);
}

bf_time_us_t
bf_gate_interval_us(const bf_gate_t *gate)
{
	return gate->limited
	    ? (bf_time_us_t)ceil(BF_US_PER_S / gate->rate_per_s)
	    : 0;
}

/* The start that is back starts ago, 1 being the last one. */
static bf_time_us_t
start_at_us(const bf_gate_t *gate, uint32_t back)
{
	return gate->starts[(gate->next_start + BF_GATE_STARTS_MAX - back) %
	    BF_GATE_STARTS_MAX];
}

bf_time_us_t
bf_gate_opens_at_us(const bf_gate_t *gate, bf_time_us_t now_us)
{
	bf_time_us_t opens_us = now_us, window_us;
	double missing;

	if (!gate->limited)
		return now_us;
	missing = 1 - bf_gate_tokens(gate, now_us);
	if (missing > TOKEN_ROUNDING)
		opens_us += (bf_time_us_t)ceil(
		    missing / gate->rate_per_s * BF_US_PER_S);
	if (gate->window_max != 0 && gate->start_count >= gate->window_max) {
		window_us =
		    start_at_us(gate, gate->window_max) + BF_GATE_WINDOW_US;
		if (window_us > opens_us)
			opens_us = window_us;
	}
	return opens_us;
}

void
bf_gate_start(bf_gate_t *gate, bf_time_us_t now_us)
{
	gate->starts[gate->next_start] = now_us;
	gate->next_start = (gate->next_start + 1) % BF_GATE_STARTS_MAX;
	if (gate->start_count < BF_GATE_STARTS_MAX)
		gate->start_count++;
	if (!gate->limited)
		return;
	gate->tokens = bf_gate_tokens(gate, now_us) - 1;
	gate->filled_at_us = now_us;
}

void
bf_gate_return(bf_gate_t *gate, bf_time_us_t started_us, bf_time_us_t now_us)
{
	uint32_t back, at, before;

	for (back = 1; back <= gate->start_count; back++) {
		if (start_at_us(gate, back) == started_us)
			break;
	}
	if (back > gate->start_count)
		return; /* of a former process of the target, or long ago */
	/* Moves the later starts back by one place. */
	for (; back > 1; back--) {
		before = (gate->next_start + BF_GATE_STARTS_MAX - back) %
		    BF_GATE_STARTS_MAX;
		at = (before + 1) % BF_GATE_STARTS_MAX;
		gate->starts[before] = gate->starts[at];
	}
	gate->next_start =
	    (gate->next_start + BF_GATE_STARTS_MAX - 1) % BF_GATE_STARTS_MAX;
	gate->start_count--;
	if (!gate->limited || started_us < gate->limited_since_us)
		return;
	gate->tokens = fmin(gate->burst, bf_gate_tokens(gate, now_us) + 1);
	gate->filled_at_us = now_us;
}

uint32_t
bf_gate_slots(const bf_gate_t *gate, uint32_t slots, bf_time_us_t mean_run_us)
{
	double filled;

	if (!gate->limited || slots == 0)
		return slots;
	filled = ceil(gate->rate_per_s * (double)mean_run_us / BF_US_PER_S);
	if (filled < 1)
		filled = 1;
	return filled < slots ? (uint32_t)filled : slots;
}
