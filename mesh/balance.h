#ifndef BF_MESH_PLACING_H
#define BF_MESH_PLACING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * Placing: which target a call is offered to, by what its nodes reported of
 * their load.
 *
 * Answers the load pattern "many entries, targets of unequal speed, reports
 * some tens of milliseconds old": the one that looks best to all is flooded
 * before the next report, so each call compares two at random (Mitzenmacher,
 * The power of two choices in randomized load balancing, 2001) by the expected
 * time to its end.  The own availability zone goes first while a call there is
 * expected to end well within its time, as that costs the caller nothing and
 * bytes between zones are dear.
 */

typedef struct bf_candidate {
	uint32_t slots;
	uint32_t running;           /* as reported */
	uint32_t waiting;           /* as reported */
	uint32_t sent_since_report; /* by this node since the report */
	uint32_t mean_us;           /* of a call at the target */
	uint32_t failing_ppm;       /* of its recent calls that failed there */
	uint32_t round_trip_us;     /* network time there and back */
	bool in_own_zone;           /* in the own availability zone */
	bool is_silent;             /* its node has been silent for a while */
} bf_candidate_t;

#define BF_CANDIDATE_NONE SIZE_MAX

/*
 * How long calls and their answers are under way to a node, over the time that
 * they are there.
 *
 * Answers the load pattern "a thin link that is full of long bodies": the
 * target behind it looks idle, since calls reach it late or never.
 */
typedef struct bf_path_delay {
	double mean_us; /* moving average, at at_us */
	bf_time_us_t updated_at_us;
} bf_path_delay_t;

/* A call took took_us in all, of which spent_us beside its target. */
void bf_path_delay_record(bf_path_delay_t *delay, bf_time_us_t took_us,
    bf_time_us_t spent_us, bf_time_us_t now_us);

/* What is expected now: without calls a full link is forgotten. */
bf_time_us_t bf_path_delay_estimate(
    const bf_path_delay_t *delay, bf_time_us_t now_us);

/* Expected time from now to the answer of a call that is sent now. */
bf_time_us_t bf_candidate_expected_us(const bf_candidate_t *place);

/* What a call may lose by staying in the own zone. */
typedef struct bf_zone_preference {
	bf_time_us_t answer_within_us; /* it is expected to end within this */
	bf_time_us_t extra_us; /* and at most so much later than elsewhere */
} bf_zone_preference_t;

/*
 * The place for a call, or BF_CANDIDATE_NONE when count is 0.  random is the
 * state of the caller's generator.
 */
size_t bf_candidate_choose(const bf_candidate_t *places, size_t count,
    const bf_zone_preference_t *near, uint64_t *random);

/* A number of the generator (xorshift64*); its state must not be 0. */
uint64_t bf_random_next(uint64_t *random);

#endif
