#ifndef BF_MESH_ROUTING_H
#define BF_MESH_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "accounts/directory.h"
#include "base/digest.h"
#include "base/error.h"

/*
 * The routing configuration in force.  It is immutable after
 * bf_routing_finish, except for the round-robin state of each route, and
 * reference-counted, so that a call keeps the configuration it began with.
 */

typedef enum bf_route_kind {
	BF_ROUTE_SAFE,   /* may run more than once */
	BF_ROUTE_UNSAFE, /* at most once */
	BF_ROUTE_UPLOAD  /* at most once, with large request bodies */
} bf_route_kind_t;

/* A service that takes a part of the calls of a route. */
typedef struct bf_route_backend {
	const char *service;
	uint32_t weight;
	int64_t current_weight; /* state of bf_route_next_service */
} bf_route_backend_t;

typedef struct bf_mesh_route {
	const char *name;   /* see bf_name_of_route */
	const char *host;   /* lower case, without port */
	const char *prefix; /* begins and ends with a slash */
	bf_route_kind_t kind;
	uint32_t priority;     /* 0 is the most urgent */
	uint32_t timeout_ms;   /* longest time until the final answer */
	uint32_t objective_ms; /* an answer within this time is on time */
	uint32_t attempts_max; /* targets that a call may be sent to */
	bf_route_backend_t *backends;
	uint32_t backend_count;
	bool is_public; /* callers need no key, if there are accounts */
	/* Where its calls may run, NULL-terminated; NULL: anywhere. */
	const char *const *regions;
	bf_digest_t source; /* of the text it was decoded from; 0: unknown */
} bf_mesh_route_t;

typedef struct bf_mesh_service {
	const char *name;
	const char *health_path;
	uint32_t connections_max; /* to one target, from all callers together */
	uint32_t warm_up_ms;      /* a target is cold for so long; 0: unknown */
	/* Calls that a cold target takes in a second; 0: no limit. */
	double cold_calls_per_s;
} bf_mesh_service_t;

/* Limits of callers' requests and connections. */
typedef struct bf_caller_limits {
	uint32_t head_bytes;
	uint64_t body_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
} bf_caller_limits_t;

typedef struct bf_routing bf_routing_t;

/* Returns a configuration with one reference, or NULL without memory. */
bf_routing_t *bf_routing_new(uint64_t version);
void bf_routing_hold(bf_routing_t *routing);
void bf_routing_release(bf_routing_t *routing);

/* Pool for the strings of routes and services; it lives as long as routing. */
apr_pool_t *bf_routing_pool(bf_routing_t *routing);

/* These copy the structure; what it points to is from bf_routing_pool. */
void bf_routing_add_service(
    bf_routing_t *routing, const bf_mesh_service_t *service);
void bf_routing_add_route(bf_routing_t *routing, const bf_mesh_route_t *route);
void bf_routing_set_limits(
    bf_routing_t *routing, const bf_caller_limits_t *limits);
/* accounts is allocated in bf_routing_pool. */
void bf_routing_set_accounts(
    bf_routing_t *routing, const bf_account_directory_t *accounts);
/* Adds a copy of a route of another configuration, for this host. */
void bf_routing_copy_route(
    bf_routing_t *routing, const bf_mesh_route_t *route, const char *host);
/*
 * A route that was decoded from the text with this digest; NULL if there is
 * none.  Only after bf_routing_finish; routing may be NULL.
 */
const bf_mesh_route_t *bf_routing_find_source(
    const bf_routing_t *routing, bf_digest_t source);

/*
 * Checks the configuration and indexes its routes for bf_routing_match.
 * Returns BF_ERR_REFERENCE for a service that is not defined, BF_ERR_RANGE for
 * a value out of its bounds, BF_ERR_CONFLICT for two routes with the same host
 * and prefix.
 */
bf_code_t bf_routing_finish(bf_routing_t *routing, bf_error_t *err);

uint64_t bf_routing_version(const bf_routing_t *routing);
const bf_caller_limits_t *bf_routing_limits(const bf_routing_t *routing);
/* NULL if the configuration defines no accounts: callers need no key. */
const bf_account_directory_t *bf_routing_accounts(const bf_routing_t *routing);
size_t bf_routing_route_count(const bf_routing_t *routing);
const bf_mesh_service_t *bf_routing_service(
    const bf_routing_t *routing, const char *name);

/*
 * The route of that host with the longest prefix of the path; NULL when there
 * is none.  host may include a port, and target (a request target) a query.
 */
bf_mesh_route_t *bf_routing_match(
    const bf_routing_t *routing, const char *host, const char *target);

/*
 * The service that the next call of the route goes to, by smooth weighted round
 * robin over its backends.  NULL when all weights are 0.
 */
const char *bf_route_next_service(bf_mesh_route_t *route);

/* Whether a call that may have run can be retried without harm. */
static inline bool
bf_route_repeatable(const bf_mesh_route_t *route)
{
	return route->kind == BF_ROUTE_SAFE;
}

#endif
