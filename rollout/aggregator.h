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
 * Pooling of evidence in an availability zone.  For each service under a move
 * two of the zone's alive instances, chosen by rendezvous hashing, collect:
 * every node sends them its cumulative tallies; a collector keeps the greatest
 * of each (instance, incarnation) and publishes the zone's sum, which the
 * control plane spreads to all nodes.  All counts only grow, so repeated,
 * crossed and lost messages do no harm.
 *
 * Pure state machine: time goes in, messages come out of bf_aggregator_tick.
 */

#define BF_AGGREGATOR_COLLECTORS 2

/* A collector gets no more reports a second than this, on average. */
#define BF_AGGREGATOR_REPORTS_PER_S_MAX 40

/* Most bytes a second for own reports, and for the pools of all zones. */
#define BF_AGGREGATOR_BYTES_PER_S_MAX 600

typedef struct bf_aggregator bf_aggregator_t;

/* What a tick asks for. */
typedef struct bf_aggregator_callbacks {
	void *ctx;
	/* Send bytes to one instance; loss is harmless. */
	void (*send)(
	    void *ctx, const char *instance, const void *data, size_t bytes);
	/*
	 * The zone's sum as this instance collected it, about each second:
	 * for its own rollout, which so decides sooner than the others.
	 */
	void (*collected)(void *ctx, const bf_move_stats_t *pool);
	/*
	 * Spread the item (kind pool, key move-id/zone/collector, rank): of
	 * two items with one key the one of greater rank is the newer.
	 */
	void (*publish)(void *ctx, const char *key, uint64_t rank,
	    const void *data, size_t bytes);
} bf_aggregator_callbacks_t;

/* instance and zone are copied; incarnation is that of this process. */
bf_aggregator_t *bf_aggregator_new(
    const char *instance, const char *zone, uint64_t incarnation);
void bf_aggregator_free(bf_aggregator_t *pooling);

/*
 * Sets the services whose moves are watched (those without a move are left
 * out).  What is known of a move is kept as long as its id and the names of the
 * service's routes stay the same.  evidence gives the cells.
 */
bf_code_t bf_aggregator_set_services(bf_aggregator_t *pooling,
    bf_evidence_t *evidence, const bf_service_t *services, size_t service_count,
    bf_error_t *err);

/*
 * Sets the members: the alive ones of the own zone are those that report and
 * may collect.
 */
bf_code_t bf_aggregator_set_members(bf_aggregator_t *pooling,
    const bf_record_t *records, size_t record_count, bf_error_t *err);

/* Says whether the own zone has all of a move's traffic on its new version. */
void bf_aggregator_set_complete(
    bf_aggregator_t *pooling, const char *move_id, bool complete);

/*
 * Reports own tallies and publishes collected sums as far as they are due;
 * to be called about each 250 ms.  now_us is the wall clock.
 */
void bf_aggregator_tick(bf_aggregator_t *pooling, const bf_evidence_t *evidence,
    const bf_aggregator_callbacks_t *out, bf_time_us_t now_us);

/*
 * Takes a report of another instance.  Hostile bytes give a typed error and
 * change nothing; a report for a move that is not watched here gives
 * BF_ERR_NOT_FOUND.
 */
bf_code_t bf_aggregator_receive_report(bf_aggregator_t *pooling,
    const void *data, size_t data_bytes, bf_time_us_t now_us, bf_error_t *err);

/*
 * Takes note of a pool that arrived: the second collector publishes only
 * while the first one is silent.
 */
void bf_aggregator_receive_stats(
    bf_aggregator_t *pooling, const bf_move_stats_t *pool, bf_time_us_t now_us);

/* Whether this instance is a collector of the move in its zone. */
bool bf_aggregator_is_collector(
    const bf_aggregator_t *pooling, const char *move_id);

/*
 * The interval of reports for a zone of that many instances and moves: a
 * collector gets at most BF_AGGREGATOR_REPORTS_PER_S_MAX, and an instance sends
 * at most BF_AGGREGATOR_BYTES_PER_S_MAX.
 */
bf_time_us_t bf_aggregator_report_interval_us(
    size_t zone_instances, size_t moves);

/* The interval of published pools: they cost each node no more than that. */
bf_time_us_t bf_aggregator_publish_interval_us(
    size_t zones, size_t moves, size_t pool_bytes);

#endif
