#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "route/table_internal.h"

/* A move adds at most this many versions to those of the splits. */
#define MOVE_VERSIONS_MAX 2

/* The records of one service, linked by compiler.next in input order. */
typedef struct chain {
	size_t first;
	size_t last;
} chain_t;

#define CHAIN_END SIZE_MAX

/* State of one compilation. */
typedef struct compiler {
	const bf_table_input_t *input;
	apr_pool_t *scratch; /* destroyed when compilation ends */
	apr_hash_t *chains;  /* chain_t by service name */
	size_t *next;        /* one per record; CHAIN_END ends a chain */
	bf_table_t *table;
	bf_error_t *err;
} compiler_t;

/*
 * Links the records of ready targets by service, so that compiling a service
 * visits its own records and not those of the whole mesh.
 */
static void
link_records(compiler_t *compiler)
{
	const bf_table_input_t *input = compiler->input;
	const bf_record_t *record;
	chain_t *chain;
	size_t i;

	compiler->chains = apr_hash_make(compiler->scratch);
	compiler->next = apr_palloc(compiler->scratch,
	    (input->record_count + 1) * sizeof(*compiler->next));
	for (i = 0; i < input->record_count; i++) {
		record = &input->records[i];
		compiler->next[i] = CHAIN_END;
		if (record->target_state != BF_TARGET_READY ||
		    record->state == BF_MEMBER_LEFT ||
		    record->state == BF_MEMBER_DEAD)
			continue;
		chain = apr_hash_get(
		    compiler->chains, record->service, APR_HASH_KEY_STRING);
		if (chain == NULL) {
			chain = apr_palloc(compiler->scratch, sizeof(*chain));
			chain->first = i;
			apr_hash_set(compiler->chains, record->service,
			    APR_HASH_KEY_STRING, chain);
		} else {
			compiler->next[chain->last] = i;
		}
		chain->last = i;
	}
}

static size_t
first_record(const compiler_t *compiler, const char *service)
{
	const chain_t *chain;

	chain = apr_hash_get(compiler->chains, service, APR_HASH_KEY_STRING);
	return chain != NULL ? chain->first : CHAIN_END;
}

static bool
contains_name(const char *const *names, size_t count, const char *name)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return true;
	}
	return false;
}

/* True when the record's target, which is ready, may serve that version. */
static bool
may_serve(
    const bf_record_t *record, const bf_service_t *service, const char *version)
{
	if (strcmp(record->version, version) != 0)
		return false;
	if (service->zone_count > 0 &&
	    !contains_name(service->zones, service->zone_count, record->zone))
		return false;
	return !contains_name(service->excluded_instances,
	    service->excluded_instance_count, record->instance);
}

static bf_tier_t
tier_of(const bf_table_input_t *input, const bf_record_t *record)
{
	if (strcmp(record->zone, input->own_zone) == 0)
		return BF_TIER_ZONE;
	if (strcmp(record->region, input->own_region) == 0)
		return BF_TIER_REGION;
	return BF_TIER_ELSEWHERE;
}

static bf_code_t
fill_group(
    compiler_t *compiler, const bf_service_t *service, bf_table_group_t *group)
{
	const bf_table_input_t *input = compiler->input;
	size_t counts[BF_TIER_COUNT] = { 0 }, i, tier;
	const bf_record_t *record;
	bf_endpoint_t *endpoint;

	for (i = first_record(compiler, service->name); i != CHAIN_END;
	     i = compiler->next[i]) {
		if (may_serve(&input->records[i], service, group->version))
			counts[tier_of(input, &input->records[i])]++;
	}
	for (tier = 0; tier < BF_TIER_COUNT; tier++)
		group->endpoints[tier] = apr_palloc(compiler->table->pool,
		    (counts[tier] + 1) * sizeof(bf_endpoint_t *));
	for (i = first_record(compiler, service->name); i != CHAIN_END;
	     i = compiler->next[i]) {
		record = &input->records[i];
		if (!may_serve(record, service, group->version))
			continue;
		endpoint = bf_endpoint_set_get(
		    input->endpoints, record, input->now_us);
		if (endpoint == NULL)
			return bf_error_set(compiler->err, BF_ERR_MEMORY,
			    "out of memory for an endpoint of service %s",
			    service->name);
		bf_endpoint_hold(endpoint);
		tier = tier_of(input, record);
		group->endpoints[tier][group->counts[tier]++] = endpoint;
		group->total++;
	}
	return BF_OK;
}

static void
add_group(bf_table_t *table, bf_table_service_t *out, const char *version)
{
	size_t i;

	for (i = 0; i < out->group_count; i++) {
		if (strcmp(out->groups[i].version, version) == 0)
			return;
	}
	out->groups[out->group_count++] = (bf_table_group_t){
		.version = apr_pstrdup(table->pool, version),
	};
}

static bf_code_t
fill_groups(
    compiler_t *compiler, const bf_service_t *service, bf_table_service_t *out)
{
	bf_table_t *table = compiler->table;
	bf_code_t code;
	size_t i;

	out->groups = apr_pcalloc(table->pool,
	    (service->split_count + MOVE_VERSIONS_MAX) * sizeof(*out->groups));
	for (i = 0; i < service->split_count; i++)
		add_group(table, out, service->splits[i].version);
	if (service->move != NULL) {
		add_group(table, out, service->move->from_version);
		add_group(table, out, service->move->to_version);
	}
	for (i = 0; i < out->group_count; i++) {
		code = fill_group(compiler, service, &out->groups[i]);
		if (code != BF_OK)
			return code;
	}
	return BF_OK;
}

/* The share of a move's new version on a route; 0 when there is none. */
static uint32_t
share_of(const bf_table_input_t *input, const bf_service_t *service,
    const char *route)
{
	const bf_share_t *share;
	uint32_t ppm;
	size_t i;

	ppm = 0;
	for (i = 0; i < input->share_count; i++) {
		share = &input->shares[i];
		if (strcmp(share->service, service->name) != 0 ||
		    strcmp(share->version, service->move->to_version) != 0)
			continue;
		if (share->route == NULL)
			ppm = share->share_ppm;
		else if (strcmp(share->route, route) == 0)
			return share->share_ppm;
	}
	return ppm;
}

static void
add_weight(const bf_table_service_t *service, uint32_t *weights_ppm,
    const char *version, uint32_t ppm)
{
	size_t i;

	for (i = 0; i < service->group_count; i++) {
		if (strcmp(service->groups[i].version, version) == 0)
			weights_ppm[i] += ppm;
	}
}

/* While a move is active, only its two versions get calls. */
static void
set_move_weights(const bf_table_input_t *input, const bf_service_t *service,
    const bf_table_service_t *out, bf_table_entry_t *entry)
{
	uint32_t ppm;

	ppm = share_of(input, service, entry->route.route);
	if (ppm > BF_SHARE_WHOLE_PPM)
		ppm = BF_SHARE_WHOLE_PPM;
	add_weight(out, entry->weights_ppm, service->move->to_version, ppm);
	add_weight(out, entry->weights_ppm, service->move->from_version,
	    BF_SHARE_WHOLE_PPM - ppm);
}

static void
set_split_weights(const bf_service_t *service, const bf_table_service_t *out,
    bf_table_entry_t *entry)
{
	uint64_t sum, remaining_ppm, ppm;
	size_t i;

	sum = 0;
	for (i = 0; i < service->split_count; i++)
		sum += service->splits[i].weight;
	remaining_ppm = BF_SHARE_WHOLE_PPM;
	for (i = 0; i < service->split_count && sum > 0; i++) {
		ppm = remaining_ppm * service->splits[i].weight / sum;
		sum -= service->splits[i].weight;
		remaining_ppm -= ppm;
		add_weight(out, entry->weights_ppm, service->splits[i].version,
		    (uint32_t)ppm);
	}
}

static void
fill_cells(bf_table_t *table, const bf_table_input_t *input,
    const bf_table_service_t *out, bf_table_entry_t *entry)
{
	size_t i;

	entry->cells = apr_palloc(
	    table->pool, (out->group_count + 1) * sizeof(*entry->cells));
	for (i = 0; i < out->group_count; i++)
		entry->cells[i] = input->cell == NULL
		    ? BF_CELL_NONE
		    : input->cell(input->cell_ctx, out->name,
			  entry->route.route, out->groups[i].version);
}

static void
fill_entry(bf_table_t *table, const bf_table_input_t *input,
    const bf_service_t *service, const bf_table_service_t *out,
    const bf_route_t *route, bf_table_entry_t *entry)
{
	size_t path_bytes;

	path_bytes = strlen(route->path);
	entry->prefix = path_bytes > 0 && route->path[path_bytes - 1] == '*';
	entry->path_bytes = path_bytes - entry->prefix;
	entry->path = apr_pstrdup(table->pool, route->path);
	entry->method = route->method == NULL
	    ? NULL
	    : apr_pstrdup(table->pool, route->method);
	entry->service = out;
	entry->route = (bf_table_route_t){
		.service = out->name,
		.route = apr_pstrdup(table->pool, route->name),
		.call_class = route->call_class,
		.deadline_ms = route->deadline_ms,
		.slow_ms = route->slow_ms,
		.queue_ms = service->queue_ms,
		.upload = route->upload,
	};
	entry->weights_ppm = apr_pcalloc(
	    table->pool, (out->group_count + 1) * sizeof(*entry->weights_ppm));
	if (service->move != NULL)
		set_move_weights(input, service, out, entry);
	else
		set_split_weights(service, out, entry);
	fill_cells(table, input, out, entry);
}

/* Exact before prefix, longer before shorter, one method before any method. */
static int
compare_specificity(const void *left, const void *right)
{
	const bf_table_entry_t *a = left, *b = right;

	if (a->prefix != b->prefix)
		return a->prefix ? 1 : -1;
	if (a->path_bytes != b->path_bytes)
		return a->path_bytes > b->path_bytes ? -1 : 1;
	if ((a->method == NULL) != (b->method == NULL))
		return a->method == NULL ? 1 : -1;
	return strcmp(a->route.route, b->route.route);
}

static bf_code_t
fill_service(compiler_t *compiler, const bf_service_t *service,
    bf_table_service_t *out, uint32_t *index)
{
	const bf_table_input_t *input = compiler->input;
	bf_table_t *table = compiler->table;
	bf_code_t code;
	size_t i;

	out->name = apr_pstrdup(table->pool, service->name);
	code = fill_groups(compiler, service, out);
	if (code != BF_OK)
		return code;
	out->entries = apr_pcalloc(
	    table->pool, (service->route_count + 1) * sizeof(*out->entries));
	out->entry_count = service->route_count;
	for (i = 0; i < service->route_count; i++)
		fill_entry(table, input, service, out, &service->routes[i],
		    &out->entries[i]);
	qsort(out->entries, out->entry_count, sizeof(*out->entries),
	    compare_specificity);
	for (i = 0; i < out->entry_count; i++)
		out->entries[i].route.index = (*index)++;
	apr_hash_set(table->by_host,
	    apr_pstrdup(table->pool,
		service->host != NULL ? service->host : service->name),
	    APR_HASH_KEY_STRING, out);
	return BF_OK;
}

/*
 * Every route must refer to its own service in this table, and its weights
 * must sum to 1,000,000; otherwise a call could get no target.
 */
static bf_code_t
check_table(const bf_table_t *table, bf_error_t *err)
{
	const bf_table_service_t *service;
	size_t i, j, k;
	uint64_t sum;

	for (i = 0; i < table->service_count; i++) {
		service = &table->services[i];
		for (j = 0; j < service->entry_count; j++) {
			sum = 0;
			for (k = 0; k < service->group_count; k++)
				sum += service->entries[j].weights_ppm[k];
			if (service->entries[j].service != service ||
			    sum != BF_SHARE_WHOLE_PPM)
				return bf_error_set(err, BF_ERR_REFERENCE,
				    "route %s of service %s has no version to send calls to",
				    service->entries[j].route.route,
				    service->name);
		}
	}
	return BF_OK;
}

static bf_code_t
compile(compiler_t *compiler)
{
	const bf_snapshot_t *snapshot = compiler->input->snapshot;
	bf_table_t *table = compiler->table;
	bf_code_t code;
	uint32_t index;
	size_t i;

	table->references = 1;
	table->version = snapshot->version;
	table->by_host = apr_hash_make(table->pool);
	table->service_count = snapshot->service_count;
	table->services = apr_pcalloc(
	    table->pool, (table->service_count + 1) * sizeof(*table->services));
	link_records(compiler);
	index = 0;
	for (i = 0; i < table->service_count; i++) {
		code = fill_service(compiler, &snapshot->services[i],
		    &table->services[i], &index);
		if (code != BF_OK)
			return code;
	}
	return check_table(table, compiler->err);
}

bf_code_t
bf_table_compile(
    const bf_table_input_t *input, bf_table_t **out, bf_error_t *err)
{
	compiler_t compiler = { .input = input, .err = err };
	apr_pool_t *pool;
	bf_code_t code;

	*out = NULL;
	if (apr_pool_create(&pool, NULL) != APR_SUCCESS ||
	    apr_pool_create(&compiler.scratch, pool) != APR_SUCCESS)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a routing table");
	compiler.table = apr_pcalloc(pool, sizeof(*compiler.table));
	compiler.table->pool = pool;
	code = compile(&compiler);
	apr_pool_destroy(compiler.scratch);
	if (code != BF_OK) {
		bf_table_release(compiler.table);
		return code;
	}
	bf_endpoint_set_sweep(input->endpoints);
	*out = compiler.table;
	return BF_OK;
}
