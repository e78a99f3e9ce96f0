#ifndef BF_MESH_WAITING_H
#define BF_MESH_WAITING_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/clock.h"

/*
 * Waiting at the node beside a target: which call gets the next slot, which
 * is refused on arrival, and which is given up because it can no longer be
 * done in time.
 *
 * Answers the load pattern "more arrives than the slots can do, for seconds":
 * with one queue in order of arrival every call waits until it is late.  Here
 * a call that is expected to miss its objective is refused on arrival, so that
 * its entry tries elsewhere at once; the order is by priority, then calls made
 * by targets (their parents hold slots), then by objective; a third of the
 * slots' time is kept for those on time of lesser rank, so that none is starved
 * however long the more urgent keep coming; calls that missed
 * their objective fill what is left, and are refused while their caller still
 * has time to come back.
 */

typedef struct bf_queued_call bf_queued_call_t;
struct bf_queued_call {
	TAILQ_ENTRY(bf_queued_call) link;
	bool inner;                   /* made by a target that waits for it */
	uint32_t priority;            /* 0 is the most urgent */
	bf_time_us_t objective_at_us; /* on time until then */
	bf_time_us_t deadline_at_us;  /* useless afterwards */
	bf_time_us_t expires_at_us;   /* not started by then, it is refused */
	bf_time_us_t expected_run_us; /* expected time at the target */
};

TAILQ_HEAD(bf_queued_call_list, bf_queued_call);

typedef struct bf_call_queue {
	uint32_t slots;
	uint32_t running;
	uint32_t count;         /* waiting */
	double mean_run_us;     /* moving average of a call at the target */
	bool has_measured_mean; /* mean_us is of calls, not a guess */
	double lower_credit_us; /* slot time due to calls of lesser rank */
	struct bf_queued_call_list list;
} bf_call_queue_t;

typedef enum bf_queue_decision {
	BF_QUEUE_DECISION_START, /* a slot was taken */
	BF_QUEUE_DECISION_WAIT,  /* it is in the queue */
	BF_QUEUE_DECISION_REFUSE /* it would not be done in time */
} bf_queue_decision_t;

/* What a call at a target takes before any was seen. */
#define BF_CALL_QUEUE_INITIAL_RUN_US (50 * BF_US_PER_MS)

void bf_call_queue_init(bf_call_queue_t *waiting, uint32_t slots);

/*
 * A call arrives.  on_time: it is refused if it is expected to miss its
 * objective, as its entry has other targets to ask; else if it is expected to
 * wait longer than its caller should.  Sets give_up_us.
 */
bf_queue_decision_t bf_call_queue_admit(bf_call_queue_t *waiting,
    bf_queued_call_t *waiter, bool on_time, bf_time_us_t now_us);

/*
 * The call that gets a free slot now, which it takes; NULL when no slot is
 * free or nobody waits.
 */
bf_queued_call_t *bf_call_queue_start_next(
    bf_call_queue_t *waiting, bf_time_us_t now_us);

/* Takes out a call that can no longer be done in time, or NULL. */
bf_queued_call_t *bf_call_queue_take_expired(
    bf_call_queue_t *waiting, bf_time_us_t now_us);

/* The caller of a waiting call left. */
void bf_call_queue_remove(bf_call_queue_t *waiting, bf_queued_call_t *waiter);

/*
 * A call with a slot is over.  spent_us: its time at the target, or less than
 * 0 when that tells nothing.
 */
void bf_call_queue_end_run(bf_call_queue_t *waiting, bf_time_us_t spent_us);

/* Expected time until a call of this kind that arrives now gets a slot. */
bf_time_us_t bf_call_queue_expected_wait_us(const bf_call_queue_t *waiting,
    const bf_queued_call_t *waiter, bf_time_us_t now_us);

#endif
