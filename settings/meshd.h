#ifndef BF_SETTINGS_MESHD_H
#define BF_SETTINGS_MESHD_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/error.h"
#include "toml/diagnostic.h"

/* Settings of basilmeshd, read from one TOML file; see basilmeshd.toml(5). */

#define BF_ZONE_COST_ABSENT UINT32_MAX

typedef struct bf_meshd_settings {
	struct {
		const char *instance;
		const char *availability_zone;
		const char *service;
		uint32_t link_mbps; /* bandwidth; 0: unknown */
		bool first_start; /* the whole mesh starts for the first time */
		/* All availability zones of the mesh, as "ZONE=REGION". */
		const char *const *zones;
		size_t zone_count;
		uint32_t memory_mb;       /* of the instance; 0: unknown */
		uint32_t descriptors_max; /* 0: as the system limits them */
	} node;
	struct {
		const char *listen;
		uint32_t connections_max;
	} callers;
	struct {
		const char *listen;
		const char *advertise; /* for other nodes; NULL: listen */
	} peers;
	struct {
		const char *address; /* of the node's own target */
		const char *listen;  /* receives its heartbeats */
		uint32_t heartbeat_ms;
	} target;
	struct {
		const char *ready_listen;
		const char *store;
	} platform;
	struct {
		uint32_t grace_ms; /* from the signal to a forced exit */
	} stop;
	struct {
		uint32_t share_ppm; /* retries per call, in the whole mesh */
		uint32_t burst;     /* retries allowed beyond the share */
		uint32_t window_ms; /* interval to which both apply */
	} repeats;
	struct {
		/* Whether keys whose withdrawal may be unknown are refused. */
		bool fail_closed;
		uint32_t revoke_ms; /* a withdrawn key is refused after it */
	} accounts;
	struct {
		uint32_t window_ms; /* 0: caps are not enforced */
		uint32_t over_ppm;  /* tolerated share beyond the cap */
		uint32_t slack;     /* calls tolerated beyond that share */
	} usage_caps;
	struct {
		uint32_t over_ppm; /* calls a second, of those stated */
		uint32_t slack;    /* calls tolerated beyond that */
	} cold_targets;
	struct {
		uint32_t within_ms; /* time to empty a zone; 0: unknown */
	} evacuation;
	struct {
		/* Whether the capacity of the own target is learnt. */
		bool learn_capacity;
		/*
		 * How much longer a call may take in the own zone, in
		 * millionths of its objective; BF_ZONE_COST_ABSENT: not stated.
		 */
		uint32_t zone_cost_ppm;
		/* Both only where the target reports its machine's speed. */
		bool reported_speed_only;
	} load;
	struct {
		const char *listen; /* NULL: not served */
	} metrics;
	struct {
		uint32_t sample_one_in; /* calls per logged call; 0: none */
	} log;
} bf_meshd_settings_t;

/* Returns BF_OK, or the code of the first diagnostic. */
bf_code_t bf_meshd_settings_load(const char *path, apr_pool_t *pool,
    bf_meshd_settings_t *settings, bf_diagnostics_t *diagnostics);

#endif
