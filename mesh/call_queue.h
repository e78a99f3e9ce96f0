#ifndef BF_MESH_CALL_QUEUE_H
#define BF_MESH_CALL_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/clock.h"
#include "fairness/reserve.h"
#include "fairness/shares.h"

/*
 * Queue of calls at the node beside a target: decides which call gets the next
 * slot, which is refused on arrival, and which is refused while it waits
 * because it can no longer be done in time.  A target is a server process that
 * runs calls; the entry node of a call is the node where it entered the mesh.
 *
 * Handles the load pattern "more calls arrive than the slots can run, for
 * seconds".  With one queue in order of arrival every call would wait until it
 * is late.  Here a call that is expected to miss its objective is refused on
 * arrival, so that its entry node tries another target at once.  The order is
 * by priority, then calls made by targets, then by objective.  A target that
 * waits for a call is itself running a call, which holds a slot until then;
 * therefore the calls made by targets come first.  A third of the slot time is
 * reserved for calls of lower priority that are on time, so that a steady
 * stream of more urgent calls can't starve them.  Calls that can no longer
 * meet their objective get the slots that are left, and are refused while their
 * caller still has time to retry.
 *
 * Calls that are equal in lateness, priority and origin (made by a target or
 * not) are taken from the account that got the least slot time for its weight
 * (fairness/shares.h), and from one account by objective.  A deployment without
 * accounts has account 0 only, which leaves the order by objective.
 *
 * With keeps_reserve, slots that shorter and more urgent calls will need are
 * kept from long runs (fairness/reserve.h).
 */

typedef struct bf_queued_call bf_queued_call_t;
struct bf_queued_call {
	TAILQ_ENTRY(bf_queued_call) link;
	bool inner;                   /* made by a target that waits for it */
	uint32_t priority;            /* 0 is the most urgent */
	uint64_t account;             /* 0: none */
	uint32_t weight;              /* of the account; 0 counts as 1 */
	bf_time_us_t objective_at_us; /* an answer until then is on time */
	bf_time_us_t deadline_at_us;  /* an answer after it is useless */
	bf_time_us_t expires_at_us;   /* refused if not started by then */
	bf_time_us_t expected_run_us; /* at the target */
	bf_time_us_t started_at_us;   /* set when it gets a slot */
	bf_fair_share_t *share;  /* of its account while queued or running */
	bf_reserve_kind_t *kind; /* with keeps_reserve */
};

TAILQ_HEAD(bf_queued_call_list, bf_queued_call);

typedef struct bf_call_queue {
	uint32_t slots;
	uint32_t running;       /* calls that hold a slot */
	uint32_t count;         /* calls in the list */
	double mean_run_us;     /* moving average of a call at the target */
	bool has_measured_mean; /* false: mean_run_us is the initial value */
	/* Sums over the calls that hold a slot. */
	double started_at_sum_us;
	double expected_run_sum_us;
	double lower_credit_us; /* slot time due to calls of lower priority */
	/*
	 * A limit of the rate of starts besides the slots, which the caller
	 * sets before it calls these functions.  No call starts before
	 * gate_opens_at_us; then gate_tokens calls may start, and one more
	 * each gate_interval_us.
	 */
	bf_time_us_t gate_opens_at_us; /* 0: there is no limit */
	bf_time_us_t gate_interval_us;
	double gate_tokens;
	struct bf_queued_call_list list;
	bf_fair_shares_t shares;
	bool keeps_reserve; /* set by the owner */
	bf_reserve_t reserve;
} bf_call_queue_t;

typedef enum bf_queue_decision {
	BF_QUEUE_DECISION_START, /* the call has a slot and runs now */
	BF_QUEUE_DECISION_WAIT,  /* the call was added to the queue */
	BF_QUEUE_DECISION_REFUSE /* the call would not be done in time */
} bf_queue_decision_t;

/* Assumed time of a call at a target before the first was measured. */
#define BF_CALL_QUEUE_INITIAL_RUN_US (50 * BF_US_PER_MS)

void bf_call_queue_init(bf_call_queue_t *queue, uint32_t slots);

/*
 * Decides on a call that arrives, and sets its expires_at_us unless it starts
 * at once.  With on_time, the call is refused if it is expected to miss its
 * objective, because its entry node can try other targets.  Without on_time,
 * the call is refused only if it is expected to start later than is of use to
 * its caller.
 */
bf_queue_decision_t bf_call_queue_admit(bf_call_queue_t *queue,
    bf_queued_call_t *call, bool on_time, bf_time_us_t now_us);

/*
 * Takes the call that is next out of the queue and gives it a slot: the first
 * in order or, when lower_credit_us suffices for its run time, the first
 * on-time call of lower priority than that.  Returns NULL when no slot is free
 * for any call in the queue.  With keeps_reserve, slots become free for long
 * runs as time passes, not only when a run ends, so it is also to be called
 * after a call was queued and at intervals, until it returns NULL.
 */
bf_queued_call_t *bf_call_queue_start_next(
    bf_call_queue_t *queue, bf_time_us_t now_us);

/* Takes out a call that can no longer be done in time; NULL: there is none. */
bf_queued_call_t *bf_call_queue_take_expired(
    bf_call_queue_t *queue, bf_time_us_t now_us);

/*
 * Takes out a call that will not get a slot in time because calls of another
 * account come first; NULL: there is none.  To be called after a call was
 * queued, so that the displaced caller can return while it has the time.
 */
bf_queued_call_t *bf_call_queue_take_displaced(
    bf_call_queue_t *queue, bf_time_us_t now_us);

/* Takes out a call that its caller cancelled. */
void bf_call_queue_remove(bf_call_queue_t *queue, bf_queued_call_t *call);

/* Counts the time of a call at the target into the mean. */
void bf_call_queue_count_run(bf_call_queue_t *queue, bf_time_us_t spent_us);

/*
 * Frees the slot of a call.  spent_us is its time at the target, or less than
 * 0 when that is not to be counted into the mean.
 */
void bf_call_queue_end_run(
    bf_call_queue_t *queue, bf_queued_call_t *call, bf_time_us_t spent_us);

/*
 * Mean time of a call at the target: that of the calls that have ended or, if
 * those that hold a slot now have run for much longer than expected, their
 * estimated time.  A target that turns slow, or no longer answers, is thus
 * known before its calls end.
 */
bf_time_us_t bf_call_queue_current_run_us(
    const bf_call_queue_t *queue, bf_time_us_t now_us);

/* Expected time until the given call gets a slot if it arrives now. */
bf_time_us_t bf_call_queue_expected_wait_us(const bf_call_queue_t *queue,
    const bf_queued_call_t *call, bf_time_us_t now_us);

#endif
