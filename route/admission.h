#ifndef BF_ROUTE_ADMISSION_H
#define BF_ROUTE_ADMISSION_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Admission control at the target's own node.  It limits the calls that run at
 * the target to its number of slots, lets further calls wait a short time for
 * a slot, and refuses early (as not run) a call that is not expected to finish
 * by its deadline.  All workers share it through atomics.  Each worker queues
 * its own waiting calls, in order; this object counts the waiting calls of all
 * workers and estimates how long a slot takes to become free.
 */

typedef struct bf_admission {
	_Atomic uint32_t slots;
	_Atomic uint32_t in_flight;
	_Atomic uint32_t waiting;
	_Atomic int64_t service_us; /* moving average of the service time */
} bf_admission_t;

typedef enum bf_admission_result {
	BF_ADMISSION_ACCEPTED,        /* has a slot: call bf_admission_finish */
	BF_ADMISSION_WAITING,         /* counted as waiting: retry or abandon */
	BF_ADMISSION_REFUSED_QUEUE,   /* queue full or expected wait too long */
	BF_ADMISSION_REFUSED_DEADLINE /* not expected to finish in time */
} bf_admission_result_t;

void bf_admission_init(bf_admission_t *admission, uint32_t slots);

/* Changes the number of slots; running calls are not affected. */
void bf_admission_resize(bf_admission_t *admission, uint32_t slots);

/*
 * Requests a slot for a new call, which may wait at most queue_ms and must
 * finish by deadline_us.
 */
bf_admission_result_t bf_admission_request(bf_admission_t *admission,
    uint32_t queue_ms, bf_time_us_t deadline_us, bf_time_us_t now_us);

/*
 * Requests a slot again for the call at the head of a worker's queue;
 * waiting_since_us is when it began to wait.  A result other than
 * BF_ADMISSION_WAITING ends the wait.
 */
bf_admission_result_t bf_admission_retry(bf_admission_t *admission,
    uint32_t queue_ms, bf_time_us_t waiting_since_us, bf_time_us_t deadline_us,
    bf_time_us_t now_us);

/* Ends the wait of a cancelled call. */
void bf_admission_abandon(bf_admission_t *admission);

/*
 * Releases the slot of a call that spent service_us at the target.  Returns
 * true when calls are waiting; the workers must then be woken to retry.
 */
bool bf_admission_finish(bf_admission_t *admission, bf_time_us_t service_us);

#endif
