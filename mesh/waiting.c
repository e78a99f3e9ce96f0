#include <stddef.h>

#include "mesh/waiting.h"

/* Weight of the newest call in the moving average. */
#define MEAN_WEIGHT 0.05
/*
 * A call that will be late waits for this part of its time at most, so that
 * its caller, who comes back once, has most of the time left for that.
 */
#define LATE_WAIT_SHARE 0.3

void
bf_waiting_init(bf_waiting_t *waiting, uint32_t slots)
{
	*waiting = (bf_waiting_t){
		.slots = slots,
		.mean_us = BF_WAITING_GUESS_US,
	};
	TAILQ_INIT(&waiting->list);
}

static bool
is_late(const bf_waiter_t *waiter, bf_time_us_t now_us)
{
	return now_us + waiter->work_us > waiter->objective_us;
}

/* Whether a goes before b. */
static bool
goes_before(const bf_waiter_t *a, const bf_waiter_t *b, bf_time_us_t now_us)
{
	bool a_late, b_late;

	a_late = is_late(a, now_us);
	b_late = is_late(b, now_us);
	if (a_late != b_late)
		return b_late;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->inner != b->inner)
		return a->inner;
	return a->objective_us < b->objective_us;
}

bf_time_us_t
bf_waiting_expected_us(
    const bf_waiting_t *waiting, const bf_waiter_t *waiter, bf_time_us_t now_us)
{
	const bf_waiter_t *other;
	double ahead_us = 0;

	if (waiting->running < waiting->slots && waiting->count == 0)
		return 0;
	if (waiting->slots == 0)
		return waiting->mean_us > 0 ? (bf_time_us_t)waiting->mean_us
					    : 0;
	TAILQ_FOREACH(other, &waiting->list, link)
	{
		if (!goes_before(waiter, other, now_us))
			ahead_us += (double)other->work_us;
	}
	/* The next slot is free after a part of a call, on average. */
	ahead_us += waiting->mean_us;
	return (bf_time_us_t)(ahead_us / waiting->slots);
}

/*
 * The latest start that helps the caller.  A target that waits for a call it
 * made does not come back, so such a call may use all of its time.
 */
static bf_time_us_t
latest_start_us(const bf_waiter_t *waiter, bool on_time, bf_time_us_t now_us)
{
	bf_time_us_t start_us = waiter->objective_us - waiter->work_us, late_us;

	if (on_time)
		return start_us;
	if (waiter->inner)
		return waiter->deadline_us - waiter->work_us;
	late_us = now_us +
	    (bf_time_us_t)(LATE_WAIT_SHARE *
		(double)(waiter->deadline_us - now_us));
	if (late_us > waiter->deadline_us - waiter->work_us)
		late_us = waiter->deadline_us - waiter->work_us;
	return start_us > late_us ? start_us : late_us;
}

bf_ask_t
bf_waiting_ask(bf_waiting_t *waiting, bf_waiter_t *waiter, bool on_time,
    bf_time_us_t now_us)
{
	bf_time_us_t start_us;

	if (waiting->running < waiting->slots && waiting->count == 0) {
		waiting->running++;
		return BF_ASK_GO;
	}
	waiter->give_up_us = latest_start_us(waiter, on_time, now_us);
	start_us = now_us + bf_waiting_expected_us(waiting, waiter, now_us);
	if (waiting->slots == 0 || start_us > waiter->give_up_us)
		return BF_ASK_REFUSE;
	TAILQ_INSERT_TAIL(&waiting->list, waiter, link);
	waiting->count++;
	return BF_ASK_WAIT;
}

static void
take_out(bf_waiting_t *waiting, bf_waiter_t *waiter)
{
	TAILQ_REMOVE(&waiting->list, waiter, link);
	waiting->count--;
}

bf_waiter_t *
bf_waiting_next(bf_waiting_t *waiting, bf_time_us_t now_us)
{
	bf_waiter_t *best = NULL, *waiter;

	if (waiting->running >= waiting->slots)
		return NULL;
	TAILQ_FOREACH(waiter, &waiting->list, link)
	{
		if (best == NULL || goes_before(waiter, best, now_us))
			best = waiter;
	}
	if (best == NULL)
		return NULL;
	take_out(waiting, best);
	waiting->running++;
	return best;
}

bf_waiter_t *
bf_waiting_expired(bf_waiting_t *waiting, bf_time_us_t now_us)
{
	bf_waiter_t *waiter;

	TAILQ_FOREACH(waiter, &waiting->list, link)
	{
		if (now_us > waiter->give_up_us) {
			take_out(waiting, waiter);
			return waiter;
		}
	}
	return NULL;
}

void
bf_waiting_leave(bf_waiting_t *waiting, bf_waiter_t *waiter)
{
	take_out(waiting, waiter);
}

void
bf_waiting_done(bf_waiting_t *waiting, bf_time_us_t spent_us)
{
	if (waiting->running > 0)
		waiting->running--;
	if (spent_us < 0)
		return;
	if (!waiting->measured) {
		waiting->mean_us = (double)spent_us;
		waiting->measured = true;
		return;
	}
	waiting->mean_us += MEAN_WEIGHT * ((double)spent_us - waiting->mean_us);
}
