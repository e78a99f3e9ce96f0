#include <string.h>

#include <apr_hash.h>
#include <apr_strings.h>

#include "config/check.h"
#include "config/services.h"
#include "toml/fields.h"

#define QUEUE_MS_DEFAULT 50

#define NAME_EXPECTED "1 to 63 letters, digits, '.', '_' or '-'"
#define HOST_EXPECTED "a lower-case host name without a port"
#define PATH_EXPECTED "a path that begins with '/', '*' at its end only"
#define METHOD_EXPECTED "an HTTP method in upper case"

#define FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

static const char *const call_classes[] = {
	[BF_CALL_PLAIN] = "plain",
	[BF_CALL_REPEATABLE] = "repeatable",
	[BF_CALL_AT_MOST_ONCE] = "at-most-once",
	NULL,
};

_Static_assert(sizeof(bf_call_class_t) == sizeof(uint32_t),
    "BF_FIELD_CHOICE stores the enum as uint32_t");

static const bf_field_t root_fields[] = {
	{ .key = "service", .kind = BF_FIELD_CUSTOM },
};

static const bf_field_t service_fields[] = {
	{ .key = "host",
	    .kind = BF_FIELD_TEXT,
	    .offset = offsetof(bf_service_t, host),
	    .valid = bf_host_valid,
	    .expected = HOST_EXPECTED },
	{ .key = "availability_zones",
	    .kind = BF_FIELD_TEXT_LIST,
	    .offset = offsetof(bf_service_t, zones),
	    .count_offset = offsetof(bf_service_t, zone_count),
	    .max = BF_ZONES_MAX,
	    .valid = bf_name_valid,
	    .expected = NAME_EXPECTED },
	{ .key = "excluded_instances",
	    .kind = BF_FIELD_TEXT_LIST,
	    .offset = offsetof(bf_service_t, excluded_instances),
	    .count_offset = offsetof(bf_service_t, excluded_instance_count),
	    .max = BF_EXCLUDED_INSTANCES_MAX,
	    .valid = bf_name_valid,
	    .expected = NAME_EXPECTED },
	{ .key = "queue_ms",
	    .kind = BF_FIELD_UINT32,
	    .offset = offsetof(bf_service_t, queue_ms),
	    .max = BF_QUEUE_MS_MAX },
	{ .key = "split",
	    .kind = BF_FIELD_CUSTOM,
	    .required = true,
	    .expected = "a table of versions with their weights" },
	{ .key = "route", .kind = BF_FIELD_CUSTOM },
	{ .key = "move", .kind = BF_FIELD_CUSTOM },
};

static const bf_field_t route_fields[] = {
	{ .key = "method",
	    .kind = BF_FIELD_TEXT,
	    .offset = offsetof(bf_route_t, method),
	    .valid = bf_method_valid,
	    .expected = METHOD_EXPECTED },
	{ .key = "path",
	    .kind = BF_FIELD_TEXT,
	    .offset = offsetof(bf_route_t, path),
	    .required = true,
	    .valid = bf_path_valid,
	    .expected = PATH_EXPECTED },
	{ .key = "calls",
	    .kind = BF_FIELD_CHOICE,
	    .offset = offsetof(bf_route_t, call_class),
	    .choices = call_classes },
	{ .key = "deadline_ms",
	    .kind = BF_FIELD_UINT32,
	    .offset = offsetof(bf_route_t, deadline_ms),
	    .min = 1,
	    .max = BF_DEADLINE_MS_MAX,
	    .required = true,
	    .expected = "milliseconds" },
	{ .key = "slow_ms",
	    .kind = BF_FIELD_UINT32,
	    .offset = offsetof(bf_route_t, slow_ms),
	    .max = BF_DEADLINE_MS_MAX },
	{ .key = "upload",
	    .kind = BF_FIELD_BOOL,
	    .offset = offsetof(bf_route_t, upload) },
};

static const bf_field_t move_fields[] = {
	{ .key = "id",
	    .kind = BF_FIELD_TEXT,
	    .offset = offsetof(bf_move_t, id),
	    .required = true,
	    .valid = bf_name_valid,
	    .expected = NAME_EXPECTED },
	{ .key = "from",
	    .kind = BF_FIELD_TEXT,
	    .offset = offsetof(bf_move_t, from_version),
	    .required = true,
	    .valid = bf_name_valid,
	    .expected = NAME_EXPECTED },
	{ .key = "to",
	    .kind = BF_FIELD_TEXT,
	    .offset = offsetof(bf_move_t, to_version),
	    .required = true,
	    .valid = bf_name_valid,
	    .expected = NAME_EXPECTED },
	{ .key = "start",
	    .kind = BF_FIELD_TIME,
	    .offset = offsetof(bf_move_t, start_us) },
	{ .key = "complete_by",
	    .kind = BF_FIELD_TIME,
	    .offset = offsetof(bf_move_t, complete_by_us),
	    .required = true,
	    .expected = "a time with offset, such as 2026-12-04T12:00:00Z" },
};

/* A service that is being read. */
typedef struct bf_service_reader {
	const bf_toml_node_t *node;
	const char *key; /* "service.NAME" */
	bf_service_t *service;
	apr_pool_t *pool;
	bf_diagnostics_t *diagnostics;
} bf_service_reader_t;

/*
 * Returns the table with that key, whose members are named by their keys, and
 * its full key; NULL if it is absent, not a table or has too many members.
 */
static const bf_toml_node_t *
get_named_members(const bf_service_reader_t *r, const char *key,
    size_t count_max, const char **full_key)
{
	const bf_toml_node_t *table;

	table = bf_toml_get(r->node, key);
	if (table == NULL)
		return NULL;
	*full_key = bf_key_join(r->pool, r->key, key);
	if (bf_toml_type(table) != BF_TOML_TABLE) {
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_TYPE, table,
		    *full_key, "a table", "is not a table");
		return NULL;
	}
	if (bf_toml_count(table) > count_max) {
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_TOO_LARGE, table,
		    *full_key, apr_psprintf(r->pool, "at most %zu", count_max),
		    "has too many members");
		return NULL;
	}
	return table;
}

static void
check_name(
    bf_diagnostics_t *diagnostics, const bf_toml_node_t *node, const char *key)
{
	if (!bf_name_valid(bf_toml_key(node)))
		bf_diagnostics_add_at(diagnostics, BF_ERR_RANGE, node, key,
		    NAME_EXPECTED, "invalid name");
}

static void
read_splits(const bf_service_reader_t *r)
{
	const bf_toml_node_t *table, *node;
	const char *key, *member_key;
	bf_split_t *splits;
	uint64_t sum;
	size_t i;

	table = get_named_members(r, "split", BF_SPLITS_MAX, &key);
	if (table == NULL)
		return;
	splits =
	    apr_pcalloc(r->pool, (bf_toml_count(table) + 1) * sizeof(*splits));
	sum = 0;
	for (i = 0; i < bf_toml_count(table); i++) {
		bf_field_t field = { .kind = BF_FIELD_UINT32,
			.offset = offsetof(bf_split_t, weight),
			.max = BF_WEIGHT_MAX };

		node = bf_toml_at(table, i);
		member_key = bf_key_join(r->pool, key, bf_toml_key(node));
		check_name(r->diagnostics, node, member_key);
		splits[i].version = bf_toml_key(node);
		bf_field_read(
		    node, member_key, &field, &splits[i], r->diagnostics);
		sum += splits[i].weight;
	}
	if (sum == 0)
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_RANGE, table, key,
		    "a version with a positive weight",
		    "no version gets traffic");
	r->service->splits = splits;
	r->service->split_count = bf_toml_count(table);
}

static void
check_slow_ms(const bf_service_reader_t *r, const bf_toml_node_t *node,
    const char *key, const bf_route_t *route)
{
	if (route->slow_ms > route->deadline_ms && route->deadline_ms > 0)
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_RANGE,
		    bf_toml_get(node, "slow_ms"),
		    bf_key_join(r->pool, key, "slow_ms"), "at most deadline_ms",
		    apr_psprintf(r->pool, "%u is greater than deadline_ms, %u",
			route->slow_ms, route->deadline_ms));
}

static void
check_overlap(const bf_service_reader_t *r, const bf_toml_node_t *table,
    const char *key, const bf_route_t *routes, size_t i)
{
	const bf_toml_node_t *node, *other;
	size_t j;

	if (routes[i].path == NULL)
		return;
	node = bf_toml_at(table, i);
	for (j = 0; j < i; j++) {
		if (routes[j].path == NULL ||
		    !bf_routes_overlap(&routes[i], &routes[j]))
			continue;
		other = bf_toml_at(table, j);
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_CONFLICT, node,
		    bf_key_join(r->pool, key, bf_toml_key(node)), NULL,
		    apr_psprintf(r->pool,
			"matches the same calls as %s in %s, line %u",
			routes[j].name, bf_toml_file(other),
			bf_toml_line(other)));
	}
}

static void
read_routes(const bf_service_reader_t *r)
{
	const bf_toml_node_t *table, *node;
	const char *key, *member_key;
	bf_route_t *routes;
	size_t i;

	table = get_named_members(r, "route", BF_ROUTES_MAX, &key);
	if (table == NULL)
		return;
	routes =
	    apr_pcalloc(r->pool, (bf_toml_count(table) + 1) * sizeof(*routes));
	for (i = 0; i < bf_toml_count(table); i++) {
		node = bf_toml_at(table, i);
		member_key = bf_key_join(r->pool, key, bf_toml_key(node));
		check_name(r->diagnostics, node, member_key);
		routes[i].name = bf_toml_key(node);
		bf_fields_read(node, member_key, route_fields,
		    FIELD_COUNT(route_fields), &routes[i], r->diagnostics);
		check_slow_ms(r, node, member_key, &routes[i]);
		check_overlap(r, table, key, routes, i);
	}
	r->service->routes = routes;
	r->service->route_count = bf_toml_count(table);
}

static uint32_t
weight_of(const bf_service_t *service, const char *version)
{
	size_t i;

	for (i = 0; i < service->split_count; i++) {
		if (strcmp(service->splits[i].version, version) == 0)
			return service->splits[i].weight;
	}
	return 0;
}

static void
check_move(const bf_service_reader_t *r, const bf_toml_node_t *node,
    const char *key, const bf_move_t *move)
{
	if (strcmp(move->from_version, move->to_version) == 0)
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_RANGE,
		    bf_toml_get(node, "to"), bf_key_join(r->pool, key, "to"),
		    "a version other than from", "is the same version as from");
	if (move->start_us < 0 || move->start_us >= move->complete_by_us)
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_RANGE,
		    bf_toml_get(node, "complete_by"),
		    bf_key_join(r->pool, key, "complete_by"),
		    "a time after start and after 1970",
		    "the move would end before it starts");
	if (weight_of(r->service, move->from_version) == 0)
		bf_diagnostics_add_at(r->diagnostics, BF_ERR_REFERENCE,
		    bf_toml_get(node, "from"),
		    bf_key_join(r->pool, key, "from"),
		    "a version with a positive weight in split",
		    apr_psprintf(
			r->pool, "%s gets no traffic", move->from_version));
}

static void
read_move(const bf_service_reader_t *r)
{
	const bf_toml_node_t *node;
	const char *key;
	bf_move_t *move;

	node = bf_toml_get(r->node, "move");
	if (node == NULL)
		return;
	key = bf_key_join(r->pool, r->key, "move");
	move = apr_pcalloc(r->pool, sizeof(*move));
	bf_fields_read(node, key, move_fields, FIELD_COUNT(move_fields), move,
	    r->diagnostics);
	r->service->move = move;
	if (move->id != NULL && move->from_version != NULL &&
	    move->to_version != NULL && move->complete_by_us != 0)
		check_move(r, node, key, move);
}

static void
read_service(const bf_service_reader_t *r)
{
	size_t count_before;
	bf_error_t err;

	count_before = r->diagnostics->count;
	r->service->name = bf_toml_key(r->node);
	r->service->queue_ms = QUEUE_MS_DEFAULT;
	check_name(r->diagnostics, r->node, r->key);
	bf_fields_read(r->node, r->key, service_fields,
	    FIELD_COUNT(service_fields), r->service, r->diagnostics);
	if (r->service->host == NULL)
		r->service->host = r->service->name;
	read_splits(r);
	read_routes(r);
	read_move(r);
	/* Reports at the service what only bf_service_check() checks. */
	if (r->diagnostics->count == count_before &&
	    bf_service_check(r->service, &err) != BF_OK)
		bf_diagnostics_add_at(r->diagnostics, err.code, r->node, r->key,
		    NULL, err.message);
}

/* Checks that no other service has the same text, which node holds. */
static void
check_unique(const bf_service_reader_t *r, apr_hash_t *first_nodes,
    const char *text, const bf_toml_node_t *node, const char *key)
{
	const bf_toml_node_t *other;

	other = apr_hash_get(first_nodes, text, APR_HASH_KEY_STRING);
	if (other == NULL) {
		apr_hash_set(first_nodes, text, APR_HASH_KEY_STRING, node);
		return;
	}
	bf_diagnostics_add_at(r->diagnostics, BF_ERR_CONFLICT, node, key, NULL,
	    apr_psprintf(r->pool, "%s is also defined in %s, line %u", text,
		bf_toml_file(other), bf_toml_line(other)));
}

static void
check_host(const bf_service_reader_t *r, apr_hash_t *hosts)
{
	const bf_toml_node_t *node;

	/* The host defaults to the name of the service. */
	node = bf_toml_get(r->node, "host");
	check_unique(r, hosts, r->service->host, node != NULL ? node : r->node,
	    bf_key_join(r->pool, r->key, "host"));
}

static void
check_move_id(const bf_service_reader_t *r, apr_hash_t *moves)
{
	const bf_toml_node_t *node;

	if (r->service->move == NULL || r->service->move->id == NULL)
		return;
	node = bf_toml_get(r->node, "move");
	check_unique(r, moves, r->service->move->id, bf_toml_get(node, "id"),
	    apr_pstrcat(r->pool, r->key, ".move.id", NULL));
}

static void
read_services(const bf_toml_node_t *table, apr_pool_t *pool,
    bf_intent_t *intent, bf_diagnostics_t *diagnostics)
{
	bf_service_reader_t r = { .pool = pool, .diagnostics = diagnostics };
	apr_hash_t *hosts, *moves;
	bf_service_t *services;
	size_t count, i;

	hosts = apr_hash_make(pool);
	moves = apr_hash_make(pool);
	count = bf_toml_count(table);
	services = apr_pcalloc(pool, count * sizeof(*services));
	for (i = 0; i < count; i++) {
		r.node = bf_toml_at(table, i);
		r.key = bf_key_join(pool, "service", bf_toml_key(r.node));
		r.service = &services[i];
		read_service(&r);
		check_host(&r, hosts);
		check_move_id(&r, moves);
	}
	intent->services = services;
	intent->service_count = count;
}

void
bf_services_read(const bf_toml_node_t *root, apr_pool_t *pool,
    bf_intent_t *intent, bf_diagnostics_t *diagnostics)
{
	const bf_toml_node_t *table;

	bf_fields_read(
	    root, "", root_fields, FIELD_COUNT(root_fields), NULL, diagnostics);
	table = bf_toml_get(root, "service");
	if (table == NULL || bf_toml_type(table) != BF_TOML_TABLE ||
	    bf_toml_count(table) == 0) {
		bf_diagnostics_add_at(diagnostics, BF_ERR_NOT_FOUND, root,
		    "service", "a table for each service",
		    "no service is defined");
		return;
	}
	if (bf_toml_count(table) > BF_SERVICES_MAX) {
		bf_diagnostics_add_at(diagnostics, BF_ERR_TOO_LARGE, table,
		    "service",
		    apr_psprintf(pool, "at most %d", BF_SERVICES_MAX),
		    "too many services");
		return;
	}
	read_services(table, pool, intent, diagnostics);
}
