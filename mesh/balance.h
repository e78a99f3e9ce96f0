#ifndef BF_MESH_BALANCE_H
#define BF_MESH_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Load balancing: chooses the target that a call is sent to, from the load
 * that the targets' nodes reported.
 *
 * Handles the load pattern "many entry nodes, targets of unequal speed, load
 * reports some tens of milliseconds old".  If every entry node chose the target
 * that looks best, that target would be overloaded before its next report, so
 * each call compares two random targets (Mitzenmacher, The power of two choices
 * in randomized load balancing, 2001) by the expected time to the answer.  The
 * own availability zone is preferred while a call there is expected to end well
 * within its time, because that costs the caller nothing and traffic between
 * zones is expensive.
 */

/* A target that a call may be sent to, as known at the entry node. */
typedef struct bf_candidate {
	uint32_t slots;
	uint32_t running;           /* as of its last load report */
	uint32_t waiting;           /* as of its last load report */
	uint32_t sent_since_report; /* calls that this node sent it since */
	uint32_t mean_run_us;       /* mean time of a call at the target */
	uint32_t failure_ppm;       /* failure rate of its recent calls */
	uint32_t round_trip_us;     /* network time there and back */
	bool in_own_zone;           /* in this node's availability zone */
	bool is_silent; /* its node has not sent anything recently */
} bf_candidate_t;

#define BF_CANDIDATE_NONE SIZE_MAX

/*
 * Time that a call and its answer spend on the way to a node and back, beyond
 * the time that the call spends at that node.
 *
 * Handles the load pattern "a slow link saturated by large bodies": the target
 * behind it looks idle, because calls reach it late or never.
 */
typedef struct bf_path_delay {
	double mean_us; /* moving average as of updated_at_us */
	bf_time_us_t updated_at_us;
} bf_path_delay_t;

/* Records a call that took took_us in all, spent_us of it at the node. */
void bf_path_delay_record(bf_path_delay_t *delay, bf_time_us_t took_us,
    bf_time_us_t spent_us, bf_time_us_t now_us);

/* The delay expected now; it decays while no call is recorded. */
bf_time_us_t bf_path_delay_estimate(
    const bf_path_delay_t *delay, bf_time_us_t now_us);

/* Expected time until the answer to a call that is sent now. */
bf_time_us_t bf_candidate_expected_us(const bf_candidate_t *candidate);

/*
 * Limits within which a target of the own zone is chosen although one of
 * another zone is expected to answer sooner.
 */
typedef struct bf_zone_preference {
	bf_time_us_t answer_within_us; /* longest expected time to the answer */
	bf_time_us_t extra_us; /* longest expected time beyond the other's */
} bf_zone_preference_t;

/*
 * Returns the index of the candidate to send a call to, or BF_CANDIDATE_NONE
 * when count is 0.  random is the state of the caller's generator.
 */
size_t bf_candidate_choose(const bf_candidate_t *candidates, size_t count,
    const bf_zone_preference_t *preference, uint64_t *random);

/* Next number of the xorshift64* generator, whose state must not be 0. */
uint64_t bf_random_next(uint64_t *random);

#endif
