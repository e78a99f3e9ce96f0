#ifndef BF_SETTINGS_SETTINGS_H
#define BF_SETTINGS_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/error.h"
#include "toml/diagnostic.h"

/*
 * Settings of the programs, each read from one TOML file and checked in full
 * at the start; see basilnoded.toml(5).  Every address is an IPv4 "IP:port".
 */

typedef struct bf_string_list {
	const char *const *items;
	size_t count;
} bf_string_list_t;

typedef struct bf_store_settings {
	const char *url; /* "http://IP:port"; NULL: no store */
	const char *prefix;
	uint32_t timeout_ms;
} bf_store_settings_t;

typedef struct bf_node_settings {
	struct {
		const char *instance;
		const char *availability_zone;
		const char *region;
		uint32_t threads;
		uint32_t memory_mb; /* of the instance; 0: not stated */
	} node;
	struct {
		const char *listen;
	} caller;
	struct {
		const char *listen; /* announced to other nodes */
	} mesh;
	struct {
		const char *listen;            /* announced to other nodes */
		const char *public_key;        /* Z85; "" when insecure */
		const char *secret_key;        /* Z85; "" when insecure */
		bf_string_list_t allowed_keys; /* Z85; empty: public_key only */
		bool insecure;
		bf_string_list_t seeds; /* addresses of other nodes */
		uint32_t heartbeat_ms;
		uint32_t suspect_after_ms;
		uint32_t dead_after_ms;
	} control;
	struct {
		const char *listen;
		const char *read_token;
		const char *apply_token;
		const char *target_token; /* NULL: targets need no token */
	} admin;
	bf_store_settings_t store;
	struct {
		uint32_t per_zone;
		uint32_t lease_ttl_ms;
	} relay;
	struct {
		uint32_t drain_timeout_ms;
		uint32_t announce_timeout_ms;
		uint32_t probe_interval_ms;
	} target;
	struct {
		uint32_t sample_per_million;
		uint32_t ring_spans;
	} trace;
	struct {
		uint32_t ring_events; /* 0: no events are recorded */
	} record;
	struct {
		uint32_t level; /* a priority of syslog(3) */
	} log;
} bf_node_settings_t;

typedef struct bf_ctl_settings {
	bf_store_settings_t store;
	struct {
		bf_string_list_t admin;  /* addresses of administration APIs */
		const char *read_token;  /* NULL: none */
		const char *apply_token; /* NULL: none */
		const char *operator_name; /* NULL: none given */
	} ctl;
} bf_ctl_settings_t;

/*
 * Loads and checks the settings of basilnoded.  Returns BF_OK, or the code of
 * the first diagnostic; settings must not be used then.
 */
bf_code_t bf_node_settings_load(const char *path, apr_pool_t *pool,
    bf_node_settings_t *settings, bf_diagnostics_t *diagnostics);

/* The same for basilctl. */
bf_code_t bf_ctl_settings_load(const char *path, apr_pool_t *pool,
    bf_ctl_settings_t *settings, bf_diagnostics_t *diagnostics);

#endif
