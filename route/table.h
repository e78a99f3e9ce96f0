#ifndef BF_ROUTE_TABLE_H
#define BF_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <gsl/gsl_rng.h>

#include "base/clock.h"
#include "base/error.h"
#include "config/snapshot.h"
#include "member/record.h"
#include "route/endpoint.h"

/*
 * The routing table of the request path, compiled from one snapshot, the
 * membership and the current traffic shares of the moves.  It is immutable and
 * published by one RCU pointer.  Everything that a route refers to is in the
 * same table, so a route cannot point at a service or target that the node
 * does not have.
 */

typedef struct bf_table bf_table_t;

/* The share of new calls that goes to the new version of a move. */
typedef struct bf_share {
	const char *service;
	const char *route; /* NULL: all routes of the service */
	const char *version;
	uint32_t share_ppm; /* parts in a million */
} bf_share_t;

typedef struct bf_table_input {
	const bf_snapshot_t *snapshot;
	const bf_record_t *records; /* alive and suspect members */
	size_t record_count;
	const bf_share_t *shares; /* used for services with a move */
	size_t share_count;
	bf_endpoint_set_t *endpoints; /* measurements of each target */
	const char *own_zone;
	const char *own_region;
	const char *own_instance;
	bf_time_us_t now_us; /* monotonic */

	/*
	 * Returns the evidence cell of a service, route and version; may be
	 * NULL.
	 */
	uint32_t (*cell)(void *ctx, const char *service, const char *route,
	    const char *version);
	void *cell_ctx;
} bf_table_input_t;

/*
 * Compiles and checks a table; BF_ERR_REFERENCE when a route has no version to
 * send its calls to (a service without targets is allowed: calls to it are
 * refused as not run).  The table copies what it needs and holds references to
 * its endpoints; the snapshot may be freed afterwards.  Only one thread may
 * compile tables of one endpoint set.
 */
bf_code_t bf_table_compile(
    const bf_table_input_t *input, bf_table_t **out, bf_error_t *err);

/*
 * A new table has one reference.  A call that keeps a route beyond its RCU
 * read-side critical section takes another; the last release frees the table.
 */
void bf_table_hold(bf_table_t *table);
void bf_table_release(bf_table_t *table);

uint64_t bf_table_version(const bf_table_t *table);

/* The part of a route that the proxy uses; valid as long as the table. */
typedef struct bf_table_route {
	uint32_t index; /* of the route in this table */
	const char *service;
	const char *route;
	bf_call_class_t call_class;
	uint32_t deadline_ms;
	uint32_t slow_ms;
	uint32_t queue_ms;
	bool upload;
} bf_table_route_t;

/*
 * Returns the route for a call, or NULL.  host is the Host header without its
 * port.  An exact path takes precedence over a prefix, and a longer prefix
 * over a shorter one.
 */
const bf_table_route_t *bf_table_match(const bf_table_t *table,
    const char *host, const char *method, const char *path);

/*
 * Chooses the target for a call: first the version by its traffic share, then
 * the better of two random targets by this node's own measurements, with
 * targets in its own availability zone preferred.  excluded lists the
 * endpoints already tried for this call.  Returns an endpoint that the caller
 * must release with bf_endpoint_release, or NULL when none is usable.
 */
bf_endpoint_t *bf_table_pick(const bf_table_t *table,
    const bf_table_route_t *route, bf_endpoint_t *const *excluded,
    size_t excluded_count, gsl_rng *rng, bf_time_us_t now_us);

/*
 * Returns the evidence cell of a call on route that went to endpoint, as the
 * input's cell function returned it; BF_CELL_NONE when there is none.
 */
#define BF_CELL_NONE UINT32_MAX
uint32_t bf_table_cell(
    const bf_table_route_t *route, const bf_endpoint_t *endpoint);

#endif
