#include <ctype.h>
#include <stdio.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_strings.h>
#include <apr_tables.h>

#include "mesh/routing.h"

#define ROUTES_INITIAL 512
#define SERVICES_INITIAL 16

struct bf_routing {
	apr_pool_t *pool;
	uint32_t references;
	uint64_t version;
	bf_caller_limits_t limits;
	const bf_account_directory_t *accounts; /* NULL: none */
	apr_array_header_t *routes;             /* bf_mesh_route_t */
	apr_array_header_t *services;           /* bf_mesh_service_t */
	apr_hash_t *by_key; /* "host/prefix/" -> bf_mesh_route_t */
	char *key;          /* for lookups, as long as the longest */
	size_t key_bytes_max;
	apr_hash_t *by_source; /* bf_digest_t -> bf_mesh_route_t */
};

bf_routing_t *
bf_routing_new(uint64_t version)
{
	bf_routing_t *routing;
	apr_pool_t *pool;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return NULL;
	routing = apr_pcalloc(pool, sizeof(*routing));
	routing->pool = pool;
	routing->references = 1;
	routing->version = version;
	routing->routes =
	    apr_array_make(pool, ROUTES_INITIAL, sizeof(bf_mesh_route_t));
	routing->services =
	    apr_array_make(pool, SERVICES_INITIAL, sizeof(bf_mesh_service_t));
	routing->by_key = apr_hash_make(pool);
	routing->by_source = apr_hash_make(pool);
	return routing;
}

void
bf_routing_hold(bf_routing_t *routing)
{
	routing->references++;
}

void
bf_routing_release(bf_routing_t *routing)
{
	if (routing != NULL && --routing->references == 0)
		apr_pool_destroy(routing->pool);
}

apr_pool_t *
bf_routing_pool(bf_routing_t *routing)
{
	return routing->pool;
}

void
bf_routing_add_service(bf_routing_t *routing, const bf_mesh_service_t *service)
{
	APR_ARRAY_PUSH(routing->services, bf_mesh_service_t) = *service;
}

void
bf_routing_add_route(bf_routing_t *routing, const bf_mesh_route_t *route)
{
	APR_ARRAY_PUSH(routing->routes, bf_mesh_route_t) = *route;
}

void
bf_routing_set_accounts(
    bf_routing_t *routing, const bf_account_directory_t *accounts)
{
	routing->accounts = accounts;
}

const bf_account_directory_t *
bf_routing_accounts(const bf_routing_t *routing)
{
	return routing->accounts;
}

/* Copies a NULL-terminated list into the routing's pool. */
static const char *const *
copy_list(bf_routing_t *routing, const char *const *list)
{
	size_t count = 0, i;
	const char **copy;

	if (list == NULL)
		return NULL;
	while (list[count] != NULL)
		count++;
	copy = apr_pcalloc(routing->pool, (count + 1) * sizeof(*copy));
	for (i = 0; i < count; i++)
		copy[i] = apr_pstrdup(routing->pool, list[i]);
	return copy;
}

void
bf_routing_copy_route(
    bf_routing_t *routing, const bf_mesh_route_t *route, const char *host)
{
	bf_mesh_route_t copy = *route;
	uint32_t i;

	copy.host = host;
	copy.name = apr_pstrdup(routing->pool, route->name);
	copy.prefix = apr_pstrdup(routing->pool, route->prefix);
	copy.regions = copy_list(routing, route->regions);
	copy.backends = apr_pmemdup(routing->pool, route->backends,
	    copy.backend_count * sizeof(*copy.backends));
	for (i = 0; i < copy.backend_count; i++) {
		copy.backends[i].service =
		    apr_pstrdup(routing->pool, route->backends[i].service);
		copy.backends[i].current_weight = 0;
	}
	bf_routing_add_route(routing, &copy);
}

const bf_mesh_route_t *
bf_routing_find_source(const bf_routing_t *routing, bf_digest_t source)
{
	if (routing == NULL)
		return NULL;
	return apr_hash_get(routing->by_source, &source, sizeof(source));
}

void
bf_routing_set_limits(bf_routing_t *routing, const bf_caller_limits_t *limits)
{
	routing->limits = *limits;
}

const bf_mesh_service_t *
bf_routing_service(const bf_routing_t *routing, const char *name)
{
	const bf_mesh_service_t *service;
	int i;

	for (i = 0; i < routing->services->nelts; i++) {
		service =
		    &APR_ARRAY_IDX(routing->services, i, bf_mesh_service_t);
		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}

static bf_code_t
check_backends(
    const bf_routing_t *routing, const bf_mesh_route_t *route, bf_error_t *err)
{
	uint64_t weights = 0;
	uint32_t i;

	for (i = 0; i < route->backend_count; i++) {
		if (bf_routing_service(routing, route->backends[i].service) ==
		    NULL)
			return bf_error_set(err, BF_ERR_REFERENCE,
			    "route \"%s\" names service \"%s\", which is not "
			    "defined",
			    route->name, route->backends[i].service);
		weights += route->backends[i].weight;
	}
	if (weights == 0)
		return bf_error_set(err, BF_ERR_RANGE,
		    "route \"%s\" has no service with a weight above 0",
		    route->name);
	return BF_OK;
}

static bf_code_t
check_route(
    const bf_routing_t *routing, const bf_mesh_route_t *route, bf_error_t *err)
{
	size_t bytes = strlen(route->prefix);

	if (bytes == 0 || route->prefix[0] != '/' ||
	    route->prefix[bytes - 1] != '/')
		return bf_error_set(err, BF_ERR_RANGE,
		    "prefix \"%s\" of route \"%s\" does not begin and end "
		    "with a slash",
		    route->prefix, route->name);
	if (route->timeout_ms == 0)
		return bf_error_set(err, BF_ERR_RANGE,
		    "timeout of route \"%s\" is 0 ms", route->name);
	if (route->attempts_max == 0)
		return bf_error_set(err, BF_ERR_RANGE,
		    "route \"%s\" allows no attempt", route->name);
	return check_backends(routing, route, err);
}

static const char *
route_key(apr_pool_t *pool, const bf_mesh_route_t *route)
{
	return apr_pstrcat(pool, route->host, route->prefix, NULL);
}

bf_code_t
bf_routing_finish(bf_routing_t *routing, bf_error_t *err)
{
	bf_mesh_route_t *route;
	const char *key;
	bf_code_t code;
	int i;

	for (i = 0; i < routing->routes->nelts; i++) {
		route = &APR_ARRAY_IDX(routing->routes, i, bf_mesh_route_t);
		code = check_route(routing, route, err);
		if (code != BF_OK)
			return code;
		key = route_key(routing->pool, route);
		if (apr_hash_get(routing->by_key, key, APR_HASH_KEY_STRING) !=
		    NULL)
			return bf_error_set(err, BF_ERR_CONFLICT,
			    "two routes have host and prefix \"%s\"", key);
		apr_hash_set(routing->by_key, key, APR_HASH_KEY_STRING, route);
		if (strlen(key) > routing->key_bytes_max)
			routing->key_bytes_max = strlen(key);
		if (route->source.high != 0 || route->source.low != 0)
			apr_hash_set(routing->by_source, &route->source,
			    sizeof(route->source), route);
	}
	routing->key = apr_palloc(routing->pool, routing->key_bytes_max + 1);
	return BF_OK;
}

uint64_t
bf_routing_version(const bf_routing_t *routing)
{
	return routing->version;
}

const bf_caller_limits_t *
bf_routing_limits(const bf_routing_t *routing)
{
	return &routing->limits;
}

size_t
bf_routing_route_count(const bf_routing_t *routing)
{
	return (size_t)routing->routes->nelts;
}

/*
 * Writes the host without port in lower case; returns its length, or 0 if it is
 * longer than that of any route.
 */
static size_t
put_host(const bf_routing_t *routing, const char *host)
{
	size_t bytes = strcspn(host, ":"), i;

	if (bytes > routing->key_bytes_max)
		return 0;
	for (i = 0; i < bytes; i++)
		routing->key[i] = (char)tolower((unsigned char)host[i]);
	return bytes;
}

bf_mesh_route_t *
bf_routing_match(
    const bf_routing_t *routing, const char *host, const char *target)
{
	size_t host_bytes, path_bytes;
	bf_mesh_route_t *route;

	host_bytes = put_host(routing, host);
	path_bytes = strcspn(target, "?");
	if (path_bytes > routing->key_bytes_max - host_bytes)
		path_bytes = routing->key_bytes_max - host_bytes;
	memcpy(routing->key + host_bytes, target, path_bytes);
	for (; path_bytes > 0; path_bytes--) {
		if (target[path_bytes - 1] != '/')
			continue;
		route = apr_hash_get(routing->by_key, routing->key,
		    (apr_ssize_t)(host_bytes + path_bytes));
		if (route != NULL)
			return route;
	}
	return NULL;
}

const char *
bf_route_next_service(bf_mesh_route_t *route)
{
	bf_route_backend_t *best = NULL;
	int64_t total = 0;
	uint32_t i;

	for (i = 0; i < route->backend_count; i++) {
		route->backends[i].current_weight += route->backends[i].weight;
		total += route->backends[i].weight;
		if (route->backends[i].weight > 0 &&
		    (best == NULL ||
			route->backends[i].current_weight >
			    best->current_weight))
			best = &route->backends[i];
	}
	if (best == NULL)
		return NULL;
	best->current_weight -= total;
	return best->service;
}
