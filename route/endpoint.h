#ifndef BF_ROUTE_ENDPOINT_H
#define BF_ROUTE_ENDPOINT_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "member/record.h"

/*
 * One target with what this node has measured of it: calls in flight, latency,
 * failures.  An endpoint outlives the tables that refer to it, for as long as
 * the same incarnation of the target is a member.  All workers share it; its
 * counters are atomics.
 */

typedef struct bf_endpoint bf_endpoint_t;
typedef struct bf_endpoint_set bf_endpoint_set_t;

/* Result of a call, as it counts for the endpoint. */
typedef enum bf_endpoint_result {
	BF_ENDPOINT_RESULT_OK,      /* a complete answer other than 5xx */
	BF_ENDPOINT_RESULT_FAILED,  /* target ran it: 5xx or truncated answer */
	BF_ENDPOINT_RESULT_NOT_RUN, /* certainly: nothing sent, or refused */
	BF_ENDPOINT_RESULT_UNKNOWN, /* it may have run */
	BF_ENDPOINT_RESULT_CANCELLED /* the caller left: not counted */
} bf_endpoint_result_t;

bf_endpoint_set_t *bf_endpoint_set_new(void);
void bf_endpoint_set_free(bf_endpoint_set_t *set);

/* Record the start and end of a call; both are thread-safe. */
void bf_endpoint_begin(bf_endpoint_t *endpoint, bf_time_us_t now_us);
void bf_endpoint_end(bf_endpoint_t *endpoint, bf_endpoint_result_t result,
    bf_time_us_t latency_us, bf_time_us_t now_us);

const char *bf_endpoint_instance(const bf_endpoint_t *endpoint);
const char *bf_endpoint_mesh_address(const bf_endpoint_t *endpoint);
const char *bf_endpoint_version(const bf_endpoint_t *endpoint);
uint32_t bf_endpoint_in_flight(const bf_endpoint_t *endpoint);

/* Time since this node learned of the target. */
bf_time_us_t bf_endpoint_age_us(
    const bf_endpoint_t *endpoint, bf_time_us_t now_us);

uint64_t bf_endpoint_incarnation(const bf_endpoint_t *endpoint);
const char *bf_endpoint_service(const bf_endpoint_t *endpoint);
const char *bf_endpoint_zone(const bf_endpoint_t *endpoint);

/*
 * The relative cost of a call to this target, from this node's own
 * measurements: calls in flight times the moving average of the latency,
 * divided by the number of slots, and raised during slow start.  Lower is
 * better.
 */
double bf_endpoint_cost(const bf_endpoint_t *endpoint, bf_time_us_t now_us);

/* Ejected as an outlier, or in the backoff after a refusal. */
bool bf_endpoint_ejected(const bf_endpoint_t *endpoint, bf_time_us_t now_us);
bool bf_endpoint_refusing(const bf_endpoint_t *endpoint, bf_time_us_t now_us);

/*
 * Returns the endpoint of a record's target, created on the first call; takes
 * no reference.  bf_endpoint_set_sweep removes the endpoints that
 * bf_endpoint_set_get has not returned since the previous sweep.
 */
bf_endpoint_t *bf_endpoint_set_get(
    bf_endpoint_set_t *set, const bf_record_t *record, bf_time_us_t now_us);
void bf_endpoint_set_sweep(bf_endpoint_set_t *set);

/* Take and drop a reference; the last release frees the endpoint. */
void bf_endpoint_hold(bf_endpoint_t *endpoint);
void bf_endpoint_release(bf_endpoint_t *endpoint);

#endif
