#include "mesh/repeats.h"

#define SPANS (BF_REPEAT_SPANS + 1)

void
bf_repeats_init(bf_repeats_t *repeats, bf_time_us_t window_us)
{
	*repeats = (bf_repeats_t){ .window_us = window_us };
}

static void
slide(bf_repeats_t *repeats, bf_time_us_t now_us)
{
	bf_time_us_t span_us = repeats->window_us / BF_REPEAT_SPANS;

	if (span_us < 1)
		span_us = 1;
	if (repeats->span_us == 0 ||
	    now_us - repeats->span_us > SPANS * span_us) {
		bf_repeats_init(repeats, repeats->window_us);
		repeats->span_us = now_us;
		return;
	}
	while (now_us - repeats->span_us >= span_us) {
		repeats->span_us += span_us;
		repeats->newest = (repeats->newest + 1) % SPANS;
		repeats->calls[repeats->newest] = 0;
		repeats->repeats[repeats->newest] = 0;
	}
}

void
bf_repeats_count_call(bf_repeats_t *repeats, bf_time_us_t now_us)
{
	slide(repeats, now_us);
	repeats->calls[repeats->newest]++;
}

void
bf_repeats_charge(bf_repeats_t *repeats, bf_time_us_t now_us)
{
	slide(repeats, now_us);
	repeats->repeats[repeats->newest]++;
}

bool
bf_repeats_take(
    bf_repeats_t *repeats, double share, double extra, bf_time_us_t now_us)
{
	uint32_t oldest, calls = 0, made = 0, i;

	slide(repeats, now_us);
	oldest = (repeats->newest + 1) % SPANS;
	for (i = 0; i < SPANS; i++) {
		made += repeats->repeats[i];
		calls += i != oldest ? repeats->calls[i] : 0;
	}
	if ((double)made + 1 > share * calls + extra)
		return false;
	repeats->repeats[repeats->newest]++;
	return true;
}
