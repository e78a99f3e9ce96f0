#include <stddef.h>

#include "mesh/call_queue.h"

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
bf_call_queue_init(bf_call_queue_t *waiting, uint32_t slots)
{
	*waiting = (bf_call_queue_t){
		.slots = slots,
		.mean_run_us = BF_CALL_QUEUE_INITIAL_RUN_US,
	};
	TAILQ_INIT(&waiting->list);
}

static bool
is_late(const bf_queued_call_t *waiter, bf_time_us_t now_us)
{
	return now_us + waiter->expected_run_us > waiter->objective_at_us;
}

/* Whether a goes before b. */
static bool
goes_before(
    const bf_queued_call_t *a, const bf_queued_call_t *b, bf_time_us_t now_us)
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
	return a->objective_at_us < b->objective_at_us;
}

/* Work of waiting calls that a new one would wait for. */
static double
work_ahead_us(const bf_call_queue_t *waiting, const bf_queued_call_t *waiter,
    bf_time_us_t now_us)
{
	double urgent_us = 0, same_us = 0, lesser_us = 0, bound_us;
	const bf_queued_call_t *other;

	TAILQ_FOREACH(other, &waiting->list, link)
	{
		if (other->priority > waiter->priority &&
		    !is_late(other, now_us))
			lesser_us += (double)other->expected_run_us;
		else if (goes_before(waiter, other, now_us))
			continue;
		else if (other->priority < waiter->priority)
			urgent_us += (double)other->expected_run_us;
		else
			same_us += (double)other->expected_run_us;
	}
	if (is_late(waiter, now_us))
		return urgent_us + same_us;
	/* Lesser ranks get their part meanwhile. */
	if (lesser_us > LESSER_PART * (urgent_us + same_us))
		lesser_us = LESSER_PART * (urgent_us + same_us);
	/* And the urgent leave a part to those before this one. */
	bound_us = (double)(waiter->expected_run_us + same_us) / LESSER_PART;
	if (urgent_us > bound_us)
		urgent_us = bound_us;
	return urgent_us + same_us + lesser_us;
}

bf_time_us_t
bf_call_queue_expected_wait_us(const bf_call_queue_t *waiting,
    const bf_queued_call_t *waiter, bf_time_us_t now_us)
{
	if (waiting->running < waiting->slots && waiting->count == 0)
		return 0;
	if (waiting->slots == 0)
		return (bf_time_us_t)waiting->mean_run_us;
	/* The next slot is free after a part of a call, on average. */
	return (bf_time_us_t)((work_ahead_us(waiting, waiter, now_us) +
				  waiting->mean_run_us) /
	    waiting->slots);
}

/*
 * The latest start that helps the caller.  A target that waits for a call it
 * made does not come back, so such a call may use all of its time.
 */
static bf_time_us_t
latest_start_us(
    const bf_queued_call_t *waiter, bool on_time, bf_time_us_t now_us)
{
	bf_time_us_t start_us =
			 waiter->objective_at_us - waiter->expected_run_us,
		     late_us;

	if (on_time)
		return start_us;
	if (waiter->inner)
		return waiter->deadline_at_us - waiter->expected_run_us;
	late_us = now_us +
	    (bf_time_us_t)(LATE_WAIT_SHARE *
		(double)(waiter->deadline_at_us - now_us));
	if (late_us > waiter->deadline_at_us - waiter->expected_run_us)
		late_us = waiter->deadline_at_us - waiter->expected_run_us;
	return start_us > late_us ? start_us : late_us;
}

bf_queue_decision_t
bf_call_queue_admit(bf_call_queue_t *waiting, bf_queued_call_t *waiter,
    bool on_time, bf_time_us_t now_us)
{
	bf_time_us_t start_us;

	if (waiting->running < waiting->slots && waiting->count == 0) {
		waiting->running++;
		return BF_QUEUE_DECISION_START;
	}
	waiter->expires_at_us = latest_start_us(waiter, on_time, now_us);
	start_us =
	    now_us + bf_call_queue_expected_wait_us(waiting, waiter, now_us);
	if (waiting->slots == 0 || start_us > waiter->expires_at_us)
		return BF_QUEUE_DECISION_REFUSE;
	TAILQ_INSERT_TAIL(&waiting->list, waiter, link);
	waiting->count++;
	return BF_QUEUE_DECISION_WAIT;
}

static void
take_out(bf_call_queue_t *waiting, bf_queued_call_t *waiter)
{
	TAILQ_REMOVE(&waiting->list, waiter, link);
	waiting->count--;
}

/* The first of those on time whose rank is less urgent than best's. */
static bf_queued_call_t *
first_lesser(const bf_call_queue_t *waiting, const bf_queued_call_t *best,
    bf_time_us_t now_us)
{
	bf_queued_call_t *first = NULL, *waiter;

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

bf_queued_call_t *
bf_call_queue_start_next(bf_call_queue_t *waiting, bf_time_us_t now_us)
{
	bf_queued_call_t *best = NULL, *waiter, *lesser;

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
	if (lesser != NULL &&
	    waiting->lower_credit_us >= (double)lesser->expected_run_us) {
		waiting->lower_credit_us -= (double)lesser->expected_run_us;
		best = lesser;
	} else if (lesser != NULL) {
		waiting->lower_credit_us +=
		    LESSER_PART * (double)best->expected_run_us;
		if (waiting->lower_credit_us > OWED_US_MAX)
			waiting->lower_credit_us = OWED_US_MAX;
	}
	take_out(waiting, best);
	waiting->running++;
	return best;
}

bf_queued_call_t *
bf_call_queue_take_expired(bf_call_queue_t *waiting, bf_time_us_t now_us)
{
	bf_queued_call_t *waiter;

	TAILQ_FOREACH(waiter, &waiting->list, link)
	{
		if (now_us > waiter->expires_at_us) {
			take_out(waiting, waiter);
			return waiter;
		}
	}
	return NULL;
}

void
bf_call_queue_remove(bf_call_queue_t *waiting, bf_queued_call_t *waiter)
{
	take_out(waiting, waiter);
}

void
bf_call_queue_end_run(bf_call_queue_t *waiting, bf_time_us_t spent_us)
{
	if (waiting->running > 0)
		waiting->running--;
	if (spent_us < 0)
		return;
	if (!waiting->has_measured_mean) {
		waiting->mean_run_us = (double)spent_us;
		waiting->has_measured_mean = true;
		return;
	}
	waiting->mean_run_us +=
	    MEAN_WEIGHT * ((double)spent_us - waiting->mean_run_us);
}
