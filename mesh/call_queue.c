#include <stddef.h>

#include "mesh/call_queue.h"

/* Weight of the newest call in the moving average of run times. */
#define MEAN_WEIGHT 0.05
/*
 * A call that will be late waits for at most this part of its remaining time,
 * so that its caller, which retries once, has most of the time for the retry.
 */
#define LATE_WAIT_SHARE 0.3

/*
 * Slot time that calls of lower priority get for each unit that more urgent
 * ones get while both wait.  With 0.5 they get 0.5 of 1.5 units, which is a
 * third of the whole slot time.
 */
#define LOWER_PART 0.5
/*
 * Calls that hold a slot have run for half of their time on average.  They are
 * overdue if it is this many times their expected time, more if they are few.
 */
#define OVERDUE_FACTOR 1.5
/* Bounds the credit that calls of lower priority accumulate. */
#define LOWER_CREDIT_US_MAX ((double)BF_US_PER_S)

void
bf_call_queue_init(bf_call_queue_t *queue, uint32_t slots)
{
	*queue = (bf_call_queue_t){
		.slots = slots,
		.mean_run_us = BF_CALL_QUEUE_INITIAL_RUN_US,
	};
	TAILQ_INIT(&queue->list);
}

static bool
is_late(const bf_queued_call_t *call, bf_time_us_t now_us)
{
	return now_us + call->expected_run_us > call->objective_at_us;
}

static bool
precedes(
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
	if (!a->inner && a->account != b->account && a->share != NULL &&
	    b->share != NULL && a->share->tag_us != b->share->tag_us)
		return a->share->tag_us < b->share->tag_us;
	return a->objective_at_us < b->objective_at_us;
}

static bf_time_us_t
run_or_unit_us(const bf_queued_call_t *call, bf_time_us_t unit_us)
{
	return unit_us != 0 ? unit_us : call->expected_run_us;
}

/* Whether the two share a target's slot time as calls of other accounts. */
static bool
is_of_rival(const bf_queued_call_t *call, const bf_queued_call_t *other,
    bf_time_us_t now_us)
{
	return other->share != NULL && other->account != call->account &&
	    other->priority == call->priority && !call->inner &&
	    !other->inner && is_late(other, now_us) == is_late(call, now_us);
}

/*
 * Sum of the expected run times of calls of other accounts that start before
 * the call.  Its account's turn comes at its tag and the slot time of its own
 * calls ahead; until then another account gets at most the slot time by which
 * its tag is behind.
 */
static double
rival_work_us(const bf_call_queue_t *queue, const bf_queued_call_t *call,
    double own_us, bf_time_us_t unit_us, bf_time_us_t now_us)
{
	double turn_us, due_us, work_us = 0;
	const bf_queued_call_t *other;
	bf_fair_share_t *share;

	turn_us = own_us / (call->weight > 0 ? call->weight : 1) +
	    bf_fair_shares_tag(&queue->shares, call->account, call->priority);
	TAILQ_FOREACH(other, &queue->list, link)
	{
		if (other->share != NULL)
			other->share->ahead_us = 0;
	}
	TAILQ_FOREACH(other, &queue->list, link)
	{
		if (!is_of_rival(call, other, now_us))
			continue;
		share = other->share;
		due_us = (turn_us - share->tag_us) * share->weight;
		if (share->ahead_us >= due_us)
			continue;
		share->ahead_us += (double)other->expected_run_us;
		work_us += (double)run_or_unit_us(other, unit_us);
	}
	return work_us;
}

/*
 * Returns the sum of the expected run times of the queued calls that are
 * counted as starting before the new call, or unit_us for each of them if it is
 * not 0.  Those calls are the ones that it does not precede and,
 * unless it is late, on-time calls of lower priority; the times of the latter
 * and of more urgent calls are bounded then.  For a late call the on-time calls
 * of lower priority are left out, although they precede it.
 */
static double
work_ahead_us(const bf_call_queue_t *queue, const bf_queued_call_t *call,
    bf_time_us_t unit_us, bf_time_us_t now_us)
{
	double urgent_us = 0, same_us = 0, lower_us = 0, bound_us;
	double own_us = 0;
	const bf_queued_call_t *other;
	double cost_us;
	bool has_rivals = false;

	TAILQ_FOREACH(other, &queue->list, link)
	{
		cost_us = (double)run_or_unit_us(other, unit_us);
		if (other->priority > call->priority && !is_late(other, now_us))
			lower_us += cost_us;
		else if (other != call && is_of_rival(call, other, now_us))
			has_rivals = true;
		else if (other == call || precedes(call, other, now_us))
			continue;
		else if (other->priority < call->priority)
			urgent_us += cost_us;
		else {
			same_us += cost_us;
			if (other->account == call->account)
				own_us += (double)other->expected_run_us;
		}
	}
	if (has_rivals)
		same_us += rival_work_us(queue, call, own_us, unit_us, now_us);
	if (is_late(call, now_us))
		return urgent_us + same_us;
	/*
	 * While the calls ahead run, calls of lower priority get at most
	 * LOWER_PART of the slot time of those calls.
	 */
	if (lower_us > LOWER_PART * (urgent_us + same_us))
		lower_us = LOWER_PART * (urgent_us + same_us);
	/*
	 * While more urgent calls run for a time t, this call and those of its
	 * priority ahead of it get LOWER_PART * t.  So they have all started
	 * once t reaches the sum of their run times divided by LOWER_PART.
	 */
	bound_us =
	    ((double)run_or_unit_us(call, unit_us) + same_us) / LOWER_PART;
	if (urgent_us > bound_us)
		urgent_us = bound_us;
	return urgent_us + same_us + lower_us;
}

/* Whether the reserve leaves a slot to the call. */
static bool
has_slot(const bf_call_queue_t *queue, const bf_queued_call_t *call)
{
	return queue->running < queue->slots &&
	    bf_reserve_permits(&queue->reserve, call->kind, queue->slots);
}

/* Expected wait of a call that the reserve keeps from taking a slot. */
static double
reserve_wait_us(const bf_call_queue_t *queue, const bf_queued_call_t *call,
    bf_time_us_t now_us)
{
	double work_us = (double)call->expected_run_us;
	const bf_queued_call_t *other;

	if (bf_reserve_permits(&queue->reserve, call->kind, queue->slots))
		return 0;
	TAILQ_FOREACH(other, &queue->list, link)
	{
		if (bf_reserve_counts_in(other->kind, call->kind) &&
		    !precedes(call, other, now_us))
			work_us += (double)other->expected_run_us;
	}
	return work_us /
	    bf_reserve_limit(&queue->reserve, call->kind, queue->slots);
}

/* Expected time until the call gets a slot if nothing else limits it. */
static bf_time_us_t
slot_wait_us(const bf_call_queue_t *queue, const bf_queued_call_t *call,
    bf_time_us_t now_us)
{
	double wait_us, kept_us;

	if (queue->slots == 0)
		return (bf_time_us_t)queue->mean_run_us;
	kept_us = reserve_wait_us(queue, call, now_us);
	if (queue->running < queue->slots &&
	    (queue->count == 0 || queue->keeps_reserve))
		return (bf_time_us_t)kept_us;
	/* The calls that wait for the gate only leave slots free. */
	if (queue->gate_opens_at_us != 0 &&
	    queue->running + queue->count < queue->slots)
		return (bf_time_us_t)kept_us;
	/* With all slots busy, one becomes free every mean_run_us / slots. */
	wait_us = (work_ahead_us(queue, call, 0, now_us) + queue->mean_run_us) /
	    queue->slots;
	return (bf_time_us_t)(wait_us > kept_us ? wait_us : kept_us);
}

/* Expected time until the gate lets the call start. */
static bf_time_us_t
gate_wait_us(const bf_call_queue_t *queue, const bf_queued_call_t *call,
    bf_time_us_t now_us)
{
	double ahead_us, token_us;

	if (queue->gate_opens_at_us == 0)
		return 0;
	ahead_us = queue->gate_interval_us != 0
	    ? work_ahead_us(queue, call, queue->gate_interval_us, now_us)
	    : 0;
	token_us = ahead_us +
	    (1 - queue->gate_tokens) * (double)queue->gate_interval_us;
	if (token_us < (double)(queue->gate_opens_at_us - now_us))
		token_us = (double)(queue->gate_opens_at_us - now_us);
	return token_us > 0 ? (bf_time_us_t)token_us : 0;
}

bf_time_us_t
bf_call_queue_expected_wait_us(const bf_call_queue_t *queue,
    const bf_queued_call_t *call, bf_time_us_t now_us)
{
	bf_time_us_t slot_us = slot_wait_us(queue, call, now_us);
	bf_time_us_t gate_us = gate_wait_us(queue, call, now_us);

	return slot_us > gate_us ? slot_us : gate_us;
}

/*
 * The latest start that is of use to the caller.  A target does not retry the
 * calls that it makes, so a call made by a target may wait for all of its time.
 */
static bf_time_us_t
latest_start_at_us(
    const bf_queued_call_t *call, bool on_time, bf_time_us_t now_us)
{
	bf_time_us_t start_us = call->objective_at_us - call->expected_run_us,
		     late_us;

	if (on_time)
		return start_us;
	if (call->inner)
		return call->deadline_at_us - call->expected_run_us;
	late_us = now_us +
	    (bf_time_us_t)(LATE_WAIT_SHARE *
		(double)(call->deadline_at_us - now_us));
	if (late_us > call->deadline_at_us - call->expected_run_us)
		late_us = call->deadline_at_us - call->expected_run_us;
	return start_us > late_us ? start_us : late_us;
}

static void
begin_run(bf_call_queue_t *queue, bf_queued_call_t *call, bf_time_us_t now_us)
{
	bf_fair_shares_charge(
	    &queue->shares, call->share, (double)call->expected_run_us);
	call->started_at_us = now_us;
	if (call->kind != NULL)
		call->kind->running++;
	queue->running++;
	queue->started_at_sum_us += (double)now_us;
	queue->expected_run_sum_us += (double)call->expected_run_us;
}

/* Whether a call that waits could start: without a reserve, any could. */
static bool
has_startable(const bf_call_queue_t *queue)
{
	const bf_queued_call_t *call;

	TAILQ_FOREACH(call, &queue->list, link)
	{
		if (has_slot(queue, call))
			return true;
	}
	return false;
}

bf_queue_decision_t
bf_call_queue_admit(bf_call_queue_t *queue, bf_queued_call_t *call,
    bool on_time, bf_time_us_t now_us)
{
	bf_time_us_t start_at_us;

	call->kind = queue->keeps_reserve
	    ? bf_reserve_count_arrival(&queue->reserve, call->priority,
		  call->inner, call->expected_run_us, now_us)
	    : NULL;
	if (queue->gate_opens_at_us <= now_us && has_slot(queue, call) &&
	    !has_startable(queue)) {
		call->share = bf_fair_shares_hold(&queue->shares, call->account,
		    call->priority, call->weight);
		begin_run(queue, call, now_us);
		return BF_QUEUE_DECISION_START;
	}
	call->expires_at_us = latest_start_at_us(call, on_time, now_us);
	start_at_us =
	    now_us + bf_call_queue_expected_wait_us(queue, call, now_us);
	if (queue->slots == 0 || start_at_us > call->expires_at_us)
		return BF_QUEUE_DECISION_REFUSE;
	call->share = bf_fair_shares_hold(
	    &queue->shares, call->account, call->priority, call->weight);
	bf_fair_shares_begin_wait(&queue->shares, call->share);
	if (call->kind != NULL)
		call->kind->waiting++;
	TAILQ_INSERT_TAIL(&queue->list, call, link);
	queue->count++;
	return BF_QUEUE_DECISION_WAIT;
}

static void
remove_call(bf_call_queue_t *queue, bf_queued_call_t *call)
{
	TAILQ_REMOVE(&queue->list, call, link);
	queue->count--;
	if (call->kind != NULL)
		call->kind->waiting--;
	bf_fair_shares_end_wait(call->share);
}

/* Takes out a call that does not start. */
static void
drop_call(bf_call_queue_t *queue, bf_queued_call_t *call)
{
	remove_call(queue, call);
	bf_fair_shares_release(call->share);
	call->share = NULL;
}

/* The first on-time call of a lower priority than that of best. */
static bf_queued_call_t *
first_lower(const bf_call_queue_t *queue, const bf_queued_call_t *best,
    bf_time_us_t now_us)
{
	bf_queued_call_t *first = NULL, *call;

	TAILQ_FOREACH(call, &queue->list, link)
	{
		if (call->priority <= best->priority || is_late(call, now_us) ||
		    !has_slot(queue, call))
			continue;
		if (first == NULL || precedes(call, first, now_us))
			first = call;
	}
	return first;
}

bf_queued_call_t *
bf_call_queue_start_next(bf_call_queue_t *queue, bf_time_us_t now_us)
{
	bf_queued_call_t *best = NULL, *call, *lower;

	if (queue->running >= queue->slots || queue->gate_opens_at_us > now_us)
		return NULL;
	TAILQ_FOREACH(call, &queue->list, link)
	{
		if (has_slot(queue, call) &&
		    (best == NULL || precedes(call, best, now_us)))
			best = call;
	}
	if (best == NULL)
		return NULL;
	lower = first_lower(queue, best, now_us);
	if (lower != NULL &&
	    queue->lower_credit_us >= (double)lower->expected_run_us) {
		queue->lower_credit_us -= (double)lower->expected_run_us;
		best = lower;
	} else if (lower != NULL) {
		queue->lower_credit_us +=
		    LOWER_PART * (double)best->expected_run_us;
		if (queue->lower_credit_us > LOWER_CREDIT_US_MAX)
			queue->lower_credit_us = LOWER_CREDIT_US_MAX;
	}
	begin_run(queue, best, now_us);
	remove_call(queue, best);
	return best;
}

bf_queued_call_t *
bf_call_queue_take_expired(bf_call_queue_t *queue, bf_time_us_t now_us)
{
	bf_queued_call_t *call;

	TAILQ_FOREACH(call, &queue->list, link)
	{
		if (now_us > call->expires_at_us) {
			drop_call(queue, call);
			return call;
		}
	}
	return NULL;
}

bf_queued_call_t *
bf_call_queue_take_displaced(bf_call_queue_t *queue, bf_time_us_t now_us)
{
	bf_queued_call_t *newest, *last = NULL, *call;

	newest = TAILQ_LAST(&queue->list, bf_queued_call_list);
	if (newest == NULL)
		return NULL;
	TAILQ_FOREACH(call, &queue->list, link)
	{
		/* A target does not retry the calls that it makes. */
		if (!call->inner && is_of_rival(newest, call, now_us) &&
		    (last == NULL || precedes(last, call, now_us)))
			last = call;
	}
	if (last == NULL || precedes(last, newest, now_us) ||
	    now_us + bf_call_queue_expected_wait_us(queue, last, now_us) <=
		last->expires_at_us)
		return NULL;
	drop_call(queue, last);
	return last;
}

void
bf_call_queue_remove(bf_call_queue_t *queue, bf_queued_call_t *call)
{
	drop_call(queue, call);
}

bf_time_us_t
bf_call_queue_current_run_us(const bf_call_queue_t *queue, bf_time_us_t now_us)
{
	double elapsed_us, threshold_us;

	elapsed_us =
	    (double)queue->running * (double)now_us - queue->started_at_sum_us;
	threshold_us = OVERDUE_FACTOR * queue->expected_run_sum_us;
	if (queue->running > 0)
		threshold_us += queue->expected_run_sum_us / queue->running;
	if (queue->expected_run_sum_us <= 0 || elapsed_us <= threshold_us)
		return (bf_time_us_t)queue->mean_run_us;
	return (bf_time_us_t)(queue->mean_run_us * 2 * elapsed_us /
	    queue->expected_run_sum_us);
}

void
bf_call_queue_end_run(
    bf_call_queue_t *queue, bf_queued_call_t *call, bf_time_us_t spent_us)
{
	if (spent_us >= 0)
		bf_fair_shares_correct(
		    call->share, (double)(spent_us - call->expected_run_us));
	bf_fair_shares_release(call->share);
	call->share = NULL;
	if (call->kind != NULL)
		call->kind->running--;
	queue->running--;
	queue->started_at_sum_us -= (double)call->started_at_us;
	queue->expected_run_sum_us -= (double)call->expected_run_us;
	if (spent_us >= 0)
		bf_call_queue_count_run(queue, spent_us);
}

void
bf_call_queue_count_run(bf_call_queue_t *queue, bf_time_us_t spent_us)
{
	if (!queue->has_measured_mean) {
		queue->mean_run_us = (double)spent_us;
		queue->has_measured_mean = true;
		return;
	}
	queue->mean_run_us +=
	    MEAN_WEIGHT * ((double)spent_us - queue->mean_run_us);
}
