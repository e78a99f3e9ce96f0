#ifndef BF_ROUTE_TABLE_INTERNAL_H
#define BF_ROUTE_TABLE_INTERNAL_H

#include <stdatomic.h>

#include <apr_hash.h>
#include <apr_pools.h>

#include "route/table.h"

/* The layout of a compiled table; private to table.c and table_compile.c. */

/* Proximity of a target; tiers are tried in this order. */
typedef enum bf_tier {
	BF_TIER_ZONE,
	BF_TIER_REGION,
	BF_TIER_ELSEWHERE,
	BF_TIER_COUNT
} bf_tier_t;

/* The targets of one version of a service, by tier. */
typedef struct bf_table_group {
	const char *version;
	bf_endpoint_t **endpoints[BF_TIER_COUNT];
	size_t counts[BF_TIER_COUNT];
	size_t total;
} bf_table_group_t;

typedef struct bf_table_service {
	const char *name;
	bf_table_group_t *groups; /* one per version */
	size_t group_count;
	struct bf_table_entry *entries; /* most specific first */
	size_t entry_count;
} bf_table_service_t;

/* A route, with the parts that bf_table_route_t does not expose. */
typedef struct bf_table_entry {
	bf_table_route_t route; /* first member; the public part */
	const char *method;
	const char *path;
	size_t path_bytes; /* without the '*' of a prefix */
	bool prefix;
	const bf_table_service_t *service;
	uint32_t *weights_ppm; /* one per group; their sum is 1,000,000 */
	uint32_t *cells;       /* one per group */
} bf_table_entry_t;

struct bf_table {
	_Atomic uint32_t references;
	apr_pool_t *pool;
	uint64_t version;
	bf_table_service_t *services;
	size_t service_count;
	apr_hash_t *by_host;
};

#define BF_SHARE_WHOLE_PPM 1000000

#endif
