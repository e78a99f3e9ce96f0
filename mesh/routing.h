#ifndef BF_MESH_ROUTING_H
#define BF_MESH_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/error.h"

/*
 * The routing configuration in force: immutable once finished but for the
 * position in each split, and counted by reference, so that a call keeps the
 * one it began with.
 */

typedef enum bf_route_kind {
	BF_ROUTE_SAFE,   /* may run more than once */
	BF_ROUTE_UNSAFE, /* at most once */
	BF_ROUTE_UPLOAD  /* at most once, with large bodies */
} bf_route_kind_t;

typedef struct bf_route_backend {
	const char *service;
	uint32_t weight;
	int64_t current_weight; /* position in the split, see
				   bf_route_next_service */
} bf_route_backend_t;

#define BF_ROUTE_BACKENDS_MAX 8

typedef struct bf_mesh_route {
	const char *name;
	const char *host;   /* lower case, without port */
	const char *prefix; /* begins and ends with a slash */
	bf_route_kind_t kind;
	uint32_t priority;     /* 0 is the most urgent */
	uint32_t timeout_ms;   /* longest time to a final answer */
	uint32_t objective_ms; /* time within which an answer is on time */
	uint32_t attempts_max; /* most targets a call is sent to */
	bf_route_backend_t backends[BF_ROUTE_BACKENDS_MAX];
	uint32_t backend_count;
} bf_mesh_route_t;

typedef struct bf_mesh_service {
	const char *name;
	const char *health_path;
	uint32_t connections_max; /* of a target, from all callers together */
} bf_mesh_service_t;

typedef struct bf_caller_limits {
	uint32_t head_bytes;
	uint64_t body_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
} bf_caller_limits_t;

typedef struct bf_routing bf_routing_t;

/* Born with one reference. */
bf_routing_t *bf_routing_new(uint64_t version);
void bf_routing_hold(bf_routing_t *routing);
void bf_routing_release(bf_routing_t *routing);

/* For texts of routes and services. */
apr_pool_t *bf_routing_pool(bf_routing_t *routing);

/* Copied, but for the texts, which must be of the pool. */
void bf_routing_add_service(
    bf_routing_t *routing, const bf_mesh_service_t *service);
void bf_routing_add_route(bf_routing_t *routing, const bf_mesh_route_t *route);
void bf_routing_set_limits(
    bf_routing_t *routing, const bf_caller_limits_t *limits);

/*
 * Checks the whole and makes it ready for matching.  BF_ERR_REFERENCE for a
 * service that is not defined, BF_ERR_RANGE for a value out of its bounds,
 * BF_ERR_CONFLICT for two routes of one host and prefix.
 */
bf_code_t bf_routing_finish(bf_routing_t *routing, bf_error_t *err);

uint64_t bf_routing_version(const bf_routing_t *routing);
const bf_caller_limits_t *bf_routing_limits(const bf_routing_t *routing);
size_t bf_routing_route_count(const bf_routing_t *routing);
const bf_mesh_service_t *bf_routing_service(
    const bf_routing_t *routing, const char *name);

/*
 * The route of the longest prefix that begins the path, among those of the
 * host; host may have a port, target a query.  NULL when there is none.
 */
bf_mesh_route_t *bf_routing_match(
    const bf_routing_t *routing, const char *host, const char *target);

/*
 * The service that takes the route's next call: each part in turn as its
 * weight says (smooth weighted round robin).  NULL when all weights are 0.
 */
const char *bf_route_next_service(bf_mesh_route_t *route);

/* Whether a repeat of a call that may have run does no harm. */
static inline bool
bf_route_repeatable(const bf_mesh_route_t *route)
{
	return route->kind == BF_ROUTE_SAFE;
}

#endif
