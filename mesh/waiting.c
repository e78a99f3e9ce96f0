#include <stddef.h>

#include "mesh/waiting.h"

/* Weight of the newest call in the moving average. */
#define MEAN_WEIGHT 0.05
/*
 * A call that will be late waits for this part of its time at most, so that
 * its caller, who comes back once, has most of the time left for that.
 */
#define LATE_WAIT_SHARE 0.3

/*
 * Slot time that calls of lesser rank get for each unit that more urgent ones
 * get while both wait: a third of the whole.
 */
#define LESSER_PART 0.5
/* Most slot time that lesser ranks can be owed. */
#define OWED_US_MAX ((double)BF_US_PER_S)

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

/* Work of waiting calls that a new one would wait for. */
static double
work_ahead_us(
    const bf_waiting_t *waiting, const bf_waiter_t *waiter, bf_time_us_t now_us)
{
	double urgent_us = 0, same_us = 0, lesser_us = 0, bound_us;
	const bf_waiter_t *other;

	TAILQ_FOREACH(other, &waiting->list, link)
	{
		if (other->priority > waiter->priority &&
		    !is_late(other, now_us))
			lesser_us += (double)other->work_us;
		else if (goes_before(waiter, other, now_us))
			continue;
		else if (other->priority < waiter->priority)
			urgent_us += (double)other->work_us;
		else
			same_us += (double)other->work_us;
	}
	if (is_late(waiter, now_us))
		return urgent_us + same_us;
	/* Lesser ranks get their part meanwhile. */
	if (lesser_us > LESSER_PART * (urgent_us + same_us))
		lesser_us = LESSER_PART * (urgent_us + same_us);
	/* And the urgent leave a part to those before this one. */
	bound_us = (double)(waiter->work_us + same_us) / LESSER_PART;
	if (urgent_us > bound_us)
		urgent_us = bound_us;
	return urgent_us + same_us + lesser_us;
}

bf_time_us_t
bf_waiting_expected_us(
    const bf_waiting_t *waiting, const bf_waiter_t *waiter, bf_time_us_t now_us)
{
	if (waiting->running < waiting->slots && waiting->count == 0)
		return 0;
	if (waiting->slots == 0)
		return (bf_time_us_t)waiting->mean_us;
	/* The next slot is free after a part of a call, on average. */
	return (bf_time_us_t)((work_ahead_us(waiting, waiter, now_us) +
				  waiting->mean_us) /
	    waiting->slots);
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

/* The first of those on time whose rank is less urgent than best's. */
static bf_waiter_t *
first_lesser(
    const bf_waiting_t *waiting, const bf_waiter_t *best, bf_time_us_t now_us)
{
	bf_waiter_t *first = NULL, *waiter;

	TAILQ_FOREACH(waiter, &waiting->list, link)
	{
		if (waiter->priority <= best->priority ||
		    is_late(waiter, now_us))
			continue;
		if (first == NULL || goes_before(waiter, first, now_us))
			first = waiter;
	}
	return first;
}

bf_waiter_t *
bf_waiting_next(bf_waiting_t *waiting, bf_time_us_t now_us)
{
	bf_waiter_t *best = NULL, *waiter, *lesser;

	if (waiting->running >= waiting->slots)
		return NULL;
	TAILQ_FOREACH(waiter, &waiting->list, link)
	{
		if (best == NULL || goes_before(waiter, best, now_us))
			best = waiter;
	}
	if (best == NULL)
		return NULL;
	lesser = first_lesser(waiting, best, now_us);
	if (lesser != NULL && waiting->owed_us >= (double)lesser->work_us) {
		waiting->owed_us -= (double)lesser->work_us;
		best = lesser;
	} else if (lesser != NULL) {
		waiting->owed_us += LESSER_PART * (double)best->work_us;
		if (waiting->owed_us > OWED_US_MAX)
			waiting->owed_us = OWED_US_MAX;
	}
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
