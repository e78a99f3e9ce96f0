#include <string.h>

#include <apr_hash.h>

#include "config/check.h"

#define DIGITS "0123456789"
#define LOWER "abcdefghijklmnopqrstuvwxyz"
#define UPPER "ABCDEFGHIJKLMNOPQRSTUVWXYZ"

static bool
text_valid(const char *text, size_t bytes_max, const char *allowed)
{
	size_t bytes;

	if (text == NULL)
		return false;
	bytes = strnlen(text, bytes_max + 1);
	return bytes > 0 && bytes <= bytes_max &&
	    strspn(text, allowed) == bytes;
}

bool
bf_name_valid(const char *name)
{
	return text_valid(name, BF_NAME_BYTES_MAX, LOWER UPPER DIGITS "._-") &&
	    strchr("._-", name[0]) == NULL;
}

bool
bf_host_valid(const char *host)
{
	return text_valid(host, BF_HOST_BYTES_MAX, LOWER DIGITS "._-") &&
	    strchr("._-", host[0]) == NULL;
}

bool
bf_method_valid(const char *method)
{
	return text_valid(method, BF_METHOD_BYTES_MAX, UPPER);
}

bool
bf_path_valid(const char *path)
{
	const char *star;
	size_t bytes, i;

	if (path == NULL || path[0] != '/')
		return false;
	bytes = strnlen(path, BF_PATH_BYTES_MAX + 1);
	if (bytes > BF_PATH_BYTES_MAX)
		return false;
	for (i = 0; i < bytes; i++) {
		if ((unsigned char)path[i] <= ' ' ||
		    (unsigned char)path[i] >= 0x7f ||
		    strchr("?#\"<>\\", path[i]) != NULL)
			return false;
	}
	star = strchr(path, '*');
	return star == NULL || star[1] == '\0';
}

bool
bf_routes_overlap(const bf_route_t *a, const bf_route_t *b)
{
	if (strcmp(a->path, b->path) != 0)
		return false;
	return a->method == NULL || b->method == NULL ||
	    strcmp(a->method, b->method) == 0;
}

static bf_code_t
check_route(
    const bf_service_t *service, const bf_route_t *route, bf_error_t *err)
{
	const char *service_name;

	service_name = service->name;
	if (!bf_name_valid(route->name))
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "service %s: a route has an invalid name", service_name);
	if (route->method != NULL && !bf_method_valid(route->method))
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "service %s, route %s: invalid method", service_name,
		    route->name);
	if (!bf_path_valid(route->path))
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "service %s, route %s: invalid path", service_name,
		    route->name);
	if ((unsigned int)route->call_class > BF_CALL_AT_MOST_ONCE)
		return bf_error_set(err, BF_ERR_RANGE,
		    "service %s, route %s: unknown call class", service_name,
		    route->name);
	if (route->deadline_ms == 0 || route->deadline_ms > BF_DEADLINE_MS_MAX)
		return bf_error_set(err, BF_ERR_RANGE,
		    "service %s, route %s: deadline_ms is not between 1 and %d",
		    service_name, route->name, BF_DEADLINE_MS_MAX);
	if (route->slow_ms > route->deadline_ms)
		return bf_error_set(err, BF_ERR_RANGE,
		    "service %s, route %s: slow_ms is greater than deadline_ms",
		    service_name, route->name);
	return BF_OK;
}

static bf_code_t
check_routes(const bf_service_t *service, bf_error_t *err)
{
	const bf_route_t *routes;
	bf_code_t code;
	size_t i, j;

	if (service->route_count > BF_ROUTES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "service %s: more than %d routes", service->name,
		    BF_ROUTES_MAX);
	routes = service->routes;
	for (i = 0; i < service->route_count; i++) {
		code = check_route(service, &routes[i], err);
		if (code != BF_OK)
			return code;
		for (j = 0; j < i; j++) {
			if (strcmp(routes[i].name, routes[j].name) == 0)
				return bf_error_set(err, BF_ERR_CONFLICT,
				    "service %s: duplicate route %s",
				    service->name, routes[i].name);
			if (bf_routes_overlap(&routes[i], &routes[j]))
				return bf_error_set(err, BF_ERR_CONFLICT,
				    "service %s: routes %s and %s match the "
				    "same calls",
				    service->name, routes[j].name,
				    routes[i].name);
		}
	}
	return BF_OK;
}

static bf_code_t
check_splits(const bf_service_t *service, bf_error_t *err)
{
	const bf_split_t *splits;
	uint64_t sum;
	size_t i, j;

	if (service->split_count > BF_SPLITS_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "service %s: more than %d versions", service->name,
		    BF_SPLITS_MAX);
	splits = service->splits;
	sum = 0;
	for (i = 0; i < service->split_count; i++) {
		if (!bf_name_valid(splits[i].version))
			return bf_error_set(err, BF_ERR_ARGUMENT,
			    "service %s: a version has an invalid name",
			    service->name);
		if (splits[i].weight > BF_WEIGHT_MAX)
			return bf_error_set(err, BF_ERR_RANGE,
			    "service %s: the weight of %s is greater than %d",
			    service->name, splits[i].version, BF_WEIGHT_MAX);
		for (j = 0; j < i; j++) {
			if (strcmp(splits[i].version, splits[j].version) == 0)
				return bf_error_set(err, BF_ERR_CONFLICT,
				    "service %s: duplicate version %s",
				    service->name, splits[i].version);
		}
		sum += splits[i].weight;
	}
	if (sum == 0)
		return bf_error_set(err, BF_ERR_RANGE,
		    "service %s: no version with a positive weight",
		    service->name);
	return BF_OK;
}

static bf_code_t
check_names(const bf_service_t *service, const char *const *names, size_t count,
    size_t count_max, const char *what, bf_error_t *err)
{
	size_t i, j;

	if (count > count_max)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "service %s: more than %zu names in %s", service->name,
		    count_max, what);
	for (i = 0; i < count; i++) {
		if (!bf_name_valid(names[i]))
			return bf_error_set(err, BF_ERR_ARGUMENT,
			    "service %s: invalid name in %s", service->name,
			    what);
		for (j = 0; j < i; j++) {
			if (strcmp(names[i], names[j]) == 0)
				return bf_error_set(err, BF_ERR_CONFLICT,
				    "service %s: duplicate name %s in %s",
				    service->name, names[i], what);
		}
	}
	return BF_OK;
}

static bool
has_positive_weight(const bf_service_t *service, const char *version)
{
	size_t i;

	for (i = 0; i < service->split_count; i++) {
		if (strcmp(service->splits[i].version, version) == 0)
			return service->splits[i].weight > 0;
	}
	return false;
}

static bf_code_t
check_move(const bf_service_t *service, bf_error_t *err)
{
	const bf_move_t *move;
	const char *service_name;

	service_name = service->name;
	move = service->move;
	if (move == NULL)
		return BF_OK;
	if (!bf_name_valid(move->id) || !bf_name_valid(move->from_version) ||
	    !bf_name_valid(move->to_version))
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "service %s: the move has an invalid id or version",
		    service_name);
	if (strcmp(move->from_version, move->to_version) == 0)
		return bf_error_set(err, BF_ERR_RANGE,
		    "service %s: move %s has the same version in from and to",
		    service_name, move->id);
	if (move->start_us < 0 || move->start_us >= move->complete_by_us)
		return bf_error_set(err, BF_ERR_RANGE,
		    "service %s: move %s does not start before complete_by",
		    service_name, move->id);
	if (!has_positive_weight(service, move->from_version))
		return bf_error_set(err, BF_ERR_REFERENCE,
		    "service %s: move %s is from %s, which gets no traffic",
		    service_name, move->id, move->from_version);
	return BF_OK;
}

bf_code_t
bf_service_check(const bf_service_t *service, bf_error_t *err)
{
	bf_code_t code;

	if (!bf_name_valid(service->name))
		return bf_error_set(
		    err, BF_ERR_ARGUMENT, "a service has an invalid name");
	if (service->host != NULL && !bf_host_valid(service->host))
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "service %s: invalid host", service->name);
	if (service->queue_ms > BF_QUEUE_MS_MAX)
		return bf_error_set(err, BF_ERR_RANGE,
		    "service %s: queue_ms is greater than %d", service->name,
		    BF_QUEUE_MS_MAX);
	code = check_routes(service, err);
	if (code == BF_OK)
		code = check_splits(service, err);
	if (code == BF_OK)
		code = check_names(service, service->zones, service->zone_count,
		    BF_ZONES_MAX, "availability_zones", err);
	if (code == BF_OK)
		code = check_names(service, service->excluded_instances,
		    service->excluded_instance_count, BF_EXCLUDED_INSTANCES_MAX,
		    "excluded_instances", err);
	if (code == BF_OK)
		code = check_move(service, err);
	return code;
}

/*
 * Checks that no other service has the same name, host or move id; owners
 * maps each value to the service that has it.
 */
static bf_code_t
check_unique(apr_hash_t *owners, const bf_service_t *service, const char *text,
    const char *what, bf_error_t *err)
{
	const bf_service_t *other;

	other = apr_hash_get(owners, text, APR_HASH_KEY_STRING);
	if (other != NULL)
		return bf_error_set(err, BF_ERR_CONFLICT,
		    "services %s and %s have the same %s %s", other->name,
		    service->name, what, text);
	apr_hash_set(owners, text, APR_HASH_KEY_STRING, service);
	return BF_OK;
}

static bf_code_t
check_services(const bf_snapshot_t *snapshot, apr_pool_t *pool, bf_error_t *err)
{
	apr_hash_t *names, *hosts, *moves;
	const bf_service_t *service;
	bf_code_t code;
	size_t i;

	names = apr_hash_make(pool);
	hosts = apr_hash_make(pool);
	moves = apr_hash_make(pool);
	for (i = 0; i < snapshot->service_count; i++) {
		service = &snapshot->services[i];
		code = bf_service_check(service, err);
		if (code == BF_OK)
			code = check_unique(
			    names, service, service->name, "name", err);
		if (code == BF_OK)
			code = check_unique(hosts, service,
			    service->host != NULL ? service->host
						  : service->name,
			    "host", err);
		if (code == BF_OK && service->move != NULL)
			code = check_unique(
			    moves, service, service->move->id, "move", err);
		if (code != BF_OK)
			return code;
	}
	return BF_OK;
}

bf_code_t
bf_snapshot_check(const bf_snapshot_t *snapshot, bf_error_t *err)
{
	apr_pool_t *scratch;
	bf_code_t code;

	if (snapshot->service_count > BF_SERVICES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "more than %d services", BF_SERVICES_MAX);
	if (apr_pool_create_unmanaged(&scratch) != APR_SUCCESS)
		return bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	code = check_services(snapshot, scratch, err);
	apr_pool_destroy(scratch);
	return code;
}
