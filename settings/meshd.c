#include <string.h>

#include "settings/address.h"
#include "settings/meshd.h"
#include "toml/fields.h"

#define MINUTE_MS 60000
#define ZONES_MAX 256
#define HEARTBEAT_MS_DEFAULT 1500
#define COUNT_MAX 1000000
#define SHARE_MAX 10.0
#define MBPS_MAX 1000000.0
#define PPM_PER_UNIT 1000000.0
#define MEMORY_MB_MAX 4194304.0
#define DURATION_S_MAX 86400.0
#define MS_PER_S 1000.0

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define FIELD(member) offsetof(bf_meshd_settings_t, member)
#define NAME_EXPECTED "1 to 63 characters"

static bool
name_valid(const char *text)
{
	return text[0] != '\0' && strlen(text) < 64;
}

static bool
zone_valid(const char *text)
{
	const char *equals = strchr(text, '=');

	return equals != NULL && equals != text && strlen(text) < 128;
}

#define REQUIRED(name, at, check, what)                                \
	{                                                              \
		.key = (name), .kind = BF_FIELD_TEXT, .offset = (at),  \
		.valid = (check), .expected = (what), .required = true \
	}
#define NUMBER(name, at, lower, upper)                                  \
	{                                                               \
		.key = (name), .kind = BF_FIELD_UINT32, .offset = (at), \
		.min = (lower), .max = (upper)                          \
	}
#define ADDRESS(name, at) \
	REQUIRED(name, at, bf_address_valid, BF_ADDRESS_EXPECTED)
#define SPECIFIC_ADDRESS(name, at) \
	REQUIRED(name, at, bf_address_specific, BF_ADDRESS_EXPECTED)

static const bf_field_t node_fields[] = {
	REQUIRED("instance", FIELD(node.instance), name_valid, NAME_EXPECTED),
	REQUIRED("availability_zone", FIELD(node.availability_zone), name_valid,
	    NAME_EXPECTED),
	REQUIRED("service", FIELD(node.service), name_valid, NAME_EXPECTED),
	{ .key = "link_mbps", .kind = BF_FIELD_CUSTOM }, /* see read_scaled() */
	{ .key = "first_start",
	    .kind = BF_FIELD_BOOL,
	    .offset = FIELD(node.first_start) },
	{ .key = "zones",
	    .kind = BF_FIELD_TEXT_LIST,
	    .offset = FIELD(node.zones),
	    .count_offset = FIELD(node.zone_count),
	    .max = ZONES_MAX,
	    .valid = zone_valid,
	    .expected = "ZONE=REGION" },
	{ .key = "memory_mb", .kind = BF_FIELD_CUSTOM }, /* read_scaled() */
	{ .key = "descriptors_max", .kind = BF_FIELD_CUSTOM },
};

static const bf_field_t caller_fields[] = {
	ADDRESS("listen", FIELD(callers.listen)),
	NUMBER("connections_max", FIELD(callers.connections_max), 0, COUNT_MAX),
};

static const bf_field_t peer_fields[] = {
	SPECIFIC_ADDRESS("listen", FIELD(peers.listen)),
	{ .key = "advertise",
	    .kind = BF_FIELD_TEXT,
	    .offset = FIELD(peers.advertise),
	    .valid = bf_address_specific,
	    .expected = BF_ADDRESS_EXPECTED },
};

static const bf_field_t target_fields[] = {
	SPECIFIC_ADDRESS("address", FIELD(target.address)),
	ADDRESS("listen", FIELD(target.listen)),
	{ .key = "heartbeat_ms", .kind = BF_FIELD_CUSTOM }, /* read_scaled() */
};

static const bf_field_t platform_fields[] = {
	ADDRESS("ready_listen", FIELD(platform.ready_listen)),
	SPECIFIC_ADDRESS("store", FIELD(platform.store)),
};

static const bf_field_t stop_fields[] = {
	{ .key = "grace_s", .kind = BF_FIELD_CUSTOM }, /* see read_scaled() */
};

static const bf_field_t repeat_fields[] = {
	{ .key = "share", .kind = BF_FIELD_CUSTOM },    /* see read_scaled() */
	{ .key = "burst", .kind = BF_FIELD_CUSTOM },    /* see read_scaled() */
	{ .key = "window_s", .kind = BF_FIELD_CUSTOM }, /* see read_scaled() */
};

/* The numbers of the next four sections are read by read_scaled(). */
static const bf_field_t account_fields[] = {
	{ .key = "fail_closed",
	    .kind = BF_FIELD_BOOL,
	    .offset = FIELD(accounts.fail_closed) },
	{ .key = "revoke_ms", .kind = BF_FIELD_CUSTOM },
};

static const bf_field_t usage_cap_fields[] = {
	{ .key = "window_s", .kind = BF_FIELD_CUSTOM },
	{ .key = "over", .kind = BF_FIELD_CUSTOM },
	{ .key = "slack", .kind = BF_FIELD_CUSTOM },
};

static const bf_field_t cold_target_fields[] = {
	{ .key = "over", .kind = BF_FIELD_CUSTOM },
	{ .key = "slack", .kind = BF_FIELD_CUSTOM },
};

static const bf_field_t evacuation_fields[] = {
	{ .key = "within_ms", .kind = BF_FIELD_CUSTOM },
};

static const bf_field_t load_fields[] = {
	{ .key = "learn_capacity",
	    .kind = BF_FIELD_BOOL,
	    .offset = FIELD(load.learn_capacity) },
	{ .key = "zone_cost", .kind = BF_FIELD_CUSTOM }, /* read_scaled() */
	{ .key = "reported_speed_only",
	    .kind = BF_FIELD_BOOL,
	    .offset = FIELD(load.reported_speed_only) },
};

static const bf_field_t metric_fields[] = {
	{ .key = "listen",
	    .kind = BF_FIELD_TEXT,
	    .offset = FIELD(metrics.listen),
	    .valid = bf_address_valid,
	    .expected = BF_ADDRESS_EXPECTED },
};

static const bf_field_t log_fields[] = {
	NUMBER("sample_one_in", FIELD(log.sample_one_in), 0, UINT32_MAX),
};

static const struct {
	const char *name;
	const bf_field_t *fields;
	size_t field_count;
	bool required;
} sections[] = {
	{ "node", node_fields, COUNT(node_fields), true },
	{ "callers", caller_fields, COUNT(caller_fields), true },
	{ "peers", peer_fields, COUNT(peer_fields), true },
	{ "target", target_fields, COUNT(target_fields), true },
	{ "platform", platform_fields, COUNT(platform_fields), true },
	{ "stop", stop_fields, COUNT(stop_fields), false },
	{ "repeats", repeat_fields, COUNT(repeat_fields), false },
	{ "accounts", account_fields, COUNT(account_fields), false },
	{ "usage_caps", usage_cap_fields, COUNT(usage_cap_fields), false },
	{ "cold_targets", cold_target_fields, COUNT(cold_target_fields),
	    false },
	{ "evacuation", evacuation_fields, COUNT(evacuation_fields), false },
	{ "load", load_fields, COUNT(load_fields), false },
	{ "metrics", metric_fields, COUNT(metric_fields), false },
	{ "log", log_fields, COUNT(log_fields), false },
};

/* Reads an integer or a float from a section and multiplies it by scale. */
static void
read_scaled(const bf_toml_node_t *root, const char *section, const char *key,
    double max, double scale, uint32_t *out, bf_diagnostics_t *diagnostics)
{
	const char *name = bf_key_join(diagnostics->pool, section, key);
	const bf_toml_node_t *table, *node;
	int64_t integer;
	double value;

	table = bf_toml_get(root, section);
	node = table != NULL ? bf_toml_get(table, key) : NULL;
	if (node == NULL)
		return;
	if (bf_toml_float(node, &value) != BF_OK) {
		if (bf_toml_integer(node, &integer) != BF_OK) {
			bf_diagnostics_add_at(diagnostics, BF_ERR_TYPE, node,
			    name, "a number", "is not a number");
			return;
		}
		value = (double)integer;
	}
	if (!(value >= 0) || value > max)
		bf_diagnostics_add_at(diagnostics, BF_ERR_RANGE, node, name,
		    "a number from 0", "is out of range");
	else
		*out = (uint32_t)(value * scale);
}

bf_code_t
bf_meshd_settings_load(const char *path, apr_pool_t *pool,
    bf_meshd_settings_t *settings, bf_diagnostics_t *diagnostics)
{
	bf_field_t section_fields[COUNT(sections)] = { 0 };
	const bf_toml_node_t *node;
	bf_toml_node_t *root;
	bf_code_t code;
	size_t i;

	*settings = (bf_meshd_settings_t){
		.callers = { .connections_max = 0 },
		.target = { .heartbeat_ms = HEARTBEAT_MS_DEFAULT },
		.stop = { .grace_ms = 6000 },
		.repeats = { .share_ppm = 100000,
		    .burst = 10,
		    .window_ms = 10000 },
		.accounts = { .revoke_ms = 5000 },
		.cold_targets = { .over_ppm = 1000000 },
		.load = { .zone_cost_ppm = BF_ZONE_COST_ABSENT },
		.log = { .sample_one_in = 200 },
	};
	code = bf_toml_parse_file(path, pool, &root, diagnostics);
	if (code != BF_OK)
		return code;
	for (i = 0; i < COUNT(sections); i++) {
		section_fields[i].key = sections[i].name;
		section_fields[i].kind = BF_FIELD_CUSTOM;
	}
	bf_fields_read(
	    root, "", section_fields, COUNT(sections), NULL, diagnostics);
	for (i = 0; i < COUNT(sections); i++) {
		node = bf_toml_get(root, sections[i].name);
		if (node != NULL)
			bf_fields_read(node, sections[i].name,
			    sections[i].fields, sections[i].field_count,
			    settings, diagnostics);
		else if (sections[i].required)
			bf_diagnostics_add_at(diagnostics, BF_ERR_NOT_FOUND,
			    root, sections[i].name, "a table", "is missing");
	}
	read_scaled(root, "repeats", "share", SHARE_MAX, PPM_PER_UNIT,
	    &settings->repeats.share_ppm, diagnostics);
	/* A fraction of a retry allows none: the bound is never exceeded. */
	read_scaled(root, "repeats", "burst", COUNT_MAX, 1,
	    &settings->repeats.burst, diagnostics);
	read_scaled(root, "target", "heartbeat_ms", MINUTE_MS, 1,
	    &settings->target.heartbeat_ms, diagnostics);
	/* Without an interval every target would count as silent. */
	if (settings->target.heartbeat_ms == 0)
		settings->target.heartbeat_ms = HEARTBEAT_MS_DEFAULT;
	read_scaled(root, "repeats", "window_s", DURATION_S_MAX, MS_PER_S,
	    &settings->repeats.window_ms, diagnostics);
	read_scaled(root, "node", "link_mbps", MBPS_MAX, 1,
	    &settings->node.link_mbps, diagnostics);
	read_scaled(root, "stop", "grace_s", DURATION_S_MAX, MS_PER_S,
	    &settings->stop.grace_ms, diagnostics);
	read_scaled(root, "node", "memory_mb", MEMORY_MB_MAX, 1,
	    &settings->node.memory_mb, diagnostics);
	read_scaled(root, "node", "descriptors_max", COUNT_MAX, 1,
	    &settings->node.descriptors_max, diagnostics);
	read_scaled(root, "accounts", "revoke_ms", DURATION_S_MAX * MS_PER_S, 1,
	    &settings->accounts.revoke_ms, diagnostics);
	read_scaled(root, "usage_caps", "window_s", DURATION_S_MAX, MS_PER_S,
	    &settings->usage_caps.window_ms, diagnostics);
	read_scaled(root, "usage_caps", "over", SHARE_MAX, PPM_PER_UNIT,
	    &settings->usage_caps.over_ppm, diagnostics);
	read_scaled(root, "usage_caps", "slack", COUNT_MAX, 1,
	    &settings->usage_caps.slack, diagnostics);
	read_scaled(root, "cold_targets", "over", SHARE_MAX, PPM_PER_UNIT,
	    &settings->cold_targets.over_ppm, diagnostics);
	read_scaled(root, "cold_targets", "slack", COUNT_MAX, 1,
	    &settings->cold_targets.slack, diagnostics);
	read_scaled(root, "evacuation", "within_ms", DURATION_S_MAX * MS_PER_S,
	    1, &settings->evacuation.within_ms, diagnostics);
	read_scaled(root, "load", "zone_cost", SHARE_MAX, PPM_PER_UNIT,
	    &settings->load.zone_cost_ppm, diagnostics);
	return bf_diagnostics_code(diagnostics);
}
