#ifndef BF_ROLLOUT_AGGREGATOR_H
#define BF_ROLLOUT_AGGREGATOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "config/snapshot.h"
#include "member/record.h"
#include "rollout/evidence.h"
#include "rollout/move_stats.h"

/*
 * Aggregation of call statistics in an availability zone.  For each service
 * with a move, two of the zone's alive instances, chosen by rendezvous hashing,
 * are its collectors.  Every node reports its cumulative tallies to both; a
 * collector keeps the greatest of each (instance, incarnation).  The primary
 * collector, or the backup while the primary is silent, publishes the zone's
 * sum, which the control plane distributes to all nodes.  All counts only grow,
 * so repeated, reordered and lost messages do no harm.
 *
 * The aggregator is a pure state machine: it is given the time and passes its
 * messages to the callbacks of bf_aggregator_tick.
 */

#define BF_AGGREGATOR_COLLECTORS 2

/* Most reports a second that a collector receives on average. */
#define BF_AGGREGATOR_REPORTS_PER_S_MAX 40

/*
 * Most bytes a second that an instance sends as reports, and that the published
 * statistics of all zones take.
 */
#define BF_AGGREGATOR_BYTES_PER_S_MAX 600

typedef struct bf_aggregator bf_aggregator_t;

/* Called by bf_aggregator_tick. */
typedef struct bf_aggregator_callbacks {
	void *ctx;
	/* Sends bytes to one instance; loss is harmless. */
	void (*send)(
	    void *ctx, const char *instance, const void *data, size_t bytes);
	/*
	 * Passes on the zone's sum as collected by this instance, about once a
	 * second, so that its own rollout decides earlier than those of other
	 * instances.
	 */
	void (*collected)(void *ctx, const bf_move_stats_t *stats);
	/*
	 * Distributes the item (kind "pool", key move-id/zone/collector, rank):
	 * of two items with the same key, that of greater rank is newer.
	 */
	void (*publish)(void *ctx, const char *key, uint64_t rank,
	    const void *data, size_t bytes);
} bf_aggregator_callbacks_t;

/* instance and zone are copied; incarnation is that of this process. */
bf_aggregator_t *bf_aggregator_new(
    const char *instance, const char *zone, uint64_t incarnation);
void bf_aggregator_free(bf_aggregator_t *aggregator);

/*
 * Sets the services; the moves of those that have one are tracked.  The state
 * of a move is kept as long as its id and the names of the service's routes
 * stay the same.  The moves' tallies are read from the cells of evidence.
 */
bf_code_t bf_aggregator_set_services(bf_aggregator_t *aggregator,
    bf_evidence_t *evidence, const bf_service_t *services, size_t service_count,
    bf_error_t *err);

/*
 * Sets the members of the mesh.  The alive ones of the own zone report and may
 * be collectors.
 */
bf_code_t bf_aggregator_set_members(bf_aggregator_t *aggregator,
    const bf_record_t *records, size_t record_count, bf_error_t *err);

/* Sets whether the own zone has all of a move's traffic on the new version. */
void bf_aggregator_set_complete(
    bf_aggregator_t *aggregator, const char *move_id, bool complete);

/*
 * Sends the reports and publishes the collected sums that are due.  To be
 * called about every 250 ms.  now_us is the wall clock.
 */
void bf_aggregator_tick(bf_aggregator_t *aggregator,
    const bf_evidence_t *evidence, const bf_aggregator_callbacks_t *callbacks,
    bf_time_us_t now_us);

/*
 * Processes a report of another instance.  Malformed bytes give a typed error
 * and change nothing; a report on a move that is not tracked, or of another
 * zone, gives BF_ERR_NOT_FOUND.
 */
bf_code_t bf_aggregator_receive_report(bf_aggregator_t *aggregator,
    const void *data, size_t data_bytes, bf_time_us_t now_us, bf_error_t *err);

/*
 * Processes statistics published by a collector: the backup collector publishes
 * only while the primary one is silent.
 */
void bf_aggregator_receive_stats(bf_aggregator_t *aggregator,
    const bf_move_stats_t *stats, bf_time_us_t now_us);

/* Returns whether this instance is a collector of the move in its zone. */
bool bf_aggregator_is_collector(
    const bf_aggregator_t *aggregator, const char *move_id);

/*
 * Returns the interval of reports in a zone with that many instances and moves:
 * long enough for a collector to receive at most
 * BF_AGGREGATOR_REPORTS_PER_S_MAX and for an instance to send at most
 * BF_AGGREGATOR_BYTES_PER_S_MAX.
 */
bf_time_us_t bf_aggregator_report_interval_us(
    size_t zone_instances, size_t moves);

/*
 * Returns the interval of published statistics: long enough for those of all
 * zones to take at most BF_AGGREGATOR_BYTES_PER_S_MAX on each node.
 */
bf_time_us_t bf_aggregator_publish_interval_us(
    size_t zones, size_t moves, size_t stats_bytes);

#endif
