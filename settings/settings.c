#include <string.h>
#include <syslog.h>
#include <zmq.h>

#include "config/check.h"
#include "settings/address.h"
#include "settings/settings.h"
#include "toml/fields.h"

#define Z85_KEY_CHARACTERS 40
#define Z85_KEY_BYTES 32

#define TOKEN_CHARACTERS_MIN 8
#define TOKEN_CHARACTERS_MAX 256
#define PREFIX_CHARACTERS_MAX 128

#define HOUR_MS 3600000
#define MINUTE_MS 60000

#define NAME_EXPECTED "1 to 63 letters, digits, '.', '_' or '-'"
#define SPECIFIC_EXPECTED BF_ADDRESS_EXPECTED ", of one interface"
#define TOKEN_EXPECTED "8 to 256 printable characters without spaces"
#define KEY_EXPECTED "a CURVE key of 40 Z85 characters"
#define URL_EXPECTED "http://IP:port"
#define PREFIX_EXPECTED "letters, digits, '.', '_', '-' and '/', ending in '/'"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static bool
token_valid(const char *text)
{
	size_t bytes, i;

	bytes = strlen(text);
	for (i = 0; i < bytes; i++) {
		if (text[i] <= ' ' || text[i] > '~')
			return false;
	}
	return bytes >= TOKEN_CHARACTERS_MIN && bytes <= TOKEN_CHARACTERS_MAX;
}

static bool
key_valid(const char *text)
{
	uint8_t key[Z85_KEY_BYTES];

	return strlen(text) == Z85_KEY_CHARACTERS &&
	    zmq_z85_decode(key, text) != NULL;
}

/* Insecure nodes have empty keys; see check_keys(). */
static bool
key_valid_or_empty(const char *text)
{
	return text[0] == '\0' || key_valid(text);
}

static bool
prefix_valid(const char *text)
{
	size_t bytes;

	bytes = strlen(text);
	return bytes > 1 && bytes <= PREFIX_CHARACTERS_MAX && text[0] != '/' &&
	    text[bytes - 1] == '/' &&
	    strspn(text,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789._-/") == bytes;
}

/* In the order of the priorities of syslog(3). */
static const char *const log_levels[] = { "emerg", "alert", "crit", "err",
	"warning", "notice", "info", "debug", NULL };

/* Shorthands for the tables below; members are named like their keys. */
#define NODE(member) offsetof(bf_node_settings_t, member)
#define CTL(member) offsetof(bf_ctl_settings_t, member)

#define TEXT(name, at, check, what)                                   \
	{                                                             \
		.key = (name), .kind = BF_FIELD_TEXT, .offset = (at), \
		.valid = (check), .expected = (what)                  \
	}
#define REQUIRED(name, at, check, what)                                \
	{                                                              \
		.key = (name), .kind = BF_FIELD_TEXT, .offset = (at),  \
		.valid = (check), .expected = (what), .required = true \
	}
#define SECRET(name, at, check, what, must_exist)                     \
	{                                                             \
		.key = (name), .kind = BF_FIELD_TEXT, .offset = (at), \
		.valid = (check), .expected = (what), .secret = true, \
		.required = (must_exist)                              \
	}
#define NUMBER(name, at, lower, upper)                                  \
	{                                                               \
		.key = (name), .kind = BF_FIELD_UINT32, .offset = (at), \
		.min = (lower), .max = (upper)                          \
	}
#define TEXTS(name, at, count_at, check, what, count_max)                  \
	{                                                                  \
		.key = (name), .kind = BF_FIELD_TEXT_LIST, .offset = (at), \
		.count_offset = (count_at), .valid = (check),              \
		.expected = (what), .max = (count_max)                     \
	}

static const bf_field_t node_fields[] = {
	REQUIRED("instance", NODE(node.instance), bf_name_valid, NAME_EXPECTED),
	REQUIRED("availability_zone", NODE(node.availability_zone),
	    bf_name_valid, NAME_EXPECTED),
	REQUIRED("region", NODE(node.region), bf_name_valid, NAME_EXPECTED),
	NUMBER("threads", NODE(node.threads), 1, 64),
	NUMBER("memory_mb", NODE(node.memory_mb), 0, 1U << 20),
};

static const bf_field_t caller_fields[] = {
	REQUIRED("listen", NODE(caller.listen), bf_address_valid,
	    BF_ADDRESS_EXPECTED),
};

static const bf_field_t mesh_fields[] = {
	REQUIRED("listen", NODE(mesh.listen), bf_address_specific,
	    SPECIFIC_EXPECTED),
};

static const bf_field_t control_fields[] = {
	REQUIRED("listen", NODE(control.listen), bf_address_specific,
	    SPECIFIC_EXPECTED),
	TEXT("public_key", NODE(control.public_key), key_valid_or_empty,
	    KEY_EXPECTED),
	SECRET("secret_key", NODE(control.secret_key), key_valid_or_empty,
	    KEY_EXPECTED, false),
	TEXTS("allowed_keys", NODE(control.allowed_keys.items),
	    NODE(control.allowed_keys.count), key_valid, KEY_EXPECTED, 4096),
	{ .key = "insecure",
	    .kind = BF_FIELD_BOOL,
	    .offset = NODE(control.insecure) },
	TEXTS("seeds", NODE(control.seeds.items), NODE(control.seeds.count),
	    bf_address_specific, SPECIFIC_EXPECTED, 256),
	NUMBER("heartbeat_ms", NODE(control.heartbeat_ms), 10, MINUTE_MS),
	NUMBER("suspect_after_ms", NODE(control.suspect_after_ms), 10, HOUR_MS),
	NUMBER("dead_after_ms", NODE(control.dead_after_ms), 10, HOUR_MS),
};

static const bf_field_t admin_fields[] = {
	REQUIRED("listen", NODE(admin.listen), bf_address_valid,
	    BF_ADDRESS_EXPECTED),
	SECRET("read_token", NODE(admin.read_token), token_valid,
	    TOKEN_EXPECTED, true),
	SECRET("apply_token", NODE(admin.apply_token), token_valid,
	    TOKEN_EXPECTED, true),
	SECRET("target_token", NODE(admin.target_token), token_valid,
	    TOKEN_EXPECTED, false),
};

static const bf_field_t store_fields[] = {
	TEXT("url", NODE(store.url), bf_url_valid, URL_EXPECTED),
	TEXT("prefix", NODE(store.prefix), prefix_valid, PREFIX_EXPECTED),
	NUMBER("timeout_ms", NODE(store.timeout_ms), 10, MINUTE_MS),
};

static const bf_field_t relay_fields[] = {
	NUMBER("per_zone", NODE(relay.per_zone), 1, 16),
	NUMBER("lease_ttl_ms", NODE(relay.lease_ttl_ms), 100, HOUR_MS),
};

static const bf_field_t target_fields[] = {
	NUMBER("drain_timeout_ms", NODE(target.drain_timeout_ms), 0, HOUR_MS),
	NUMBER("announce_timeout_ms", NODE(target.announce_timeout_ms), 10,
	    HOUR_MS),
	NUMBER(
	    "probe_interval_ms", NODE(target.probe_interval_ms), 10, MINUTE_MS),
};

static const bf_field_t trace_fields[] = {
	NUMBER(
	    "sample_per_million", NODE(trace.sample_per_million), 0, 1000000),
	NUMBER("ring_spans", NODE(trace.ring_spans), 0, 65536),
};

static const bf_field_t record_fields[] = {
	NUMBER("ring_events", NODE(record.ring_events), 0, 65536),
};

static const bf_field_t log_fields[] = {
	{ .key = "level",
	    .kind = BF_FIELD_CHOICE,
	    .offset = NODE(log.level),
	    .choices = log_levels },
};

static const bf_field_t ctl_store_fields[] = {
	TEXT("url", CTL(store.url), bf_url_valid, URL_EXPECTED),
	TEXT("prefix", CTL(store.prefix), prefix_valid, PREFIX_EXPECTED),
	NUMBER("timeout_ms", CTL(store.timeout_ms), 10, MINUTE_MS),
};

static const bf_field_t ctl_fields[] = {
	TEXTS("admin", CTL(ctl.admin.items), CTL(ctl.admin.count),
	    bf_address_specific, SPECIFIC_EXPECTED, 256),
	SECRET("read_token", CTL(ctl.read_token), token_valid, TOKEN_EXPECTED,
	    false),
	SECRET("apply_token", CTL(ctl.apply_token), token_valid, TOKEN_EXPECTED,
	    false),
	TEXT("operator", CTL(ctl.operator_name), bf_name_valid, NAME_EXPECTED),
};

/* One table of the file. */
typedef struct bf_section {
	const char *name;
	const bf_field_t *fields;
	size_t field_count;
} bf_section_t;

#define SECTION(title, table)                       \
	{                                           \
		.name = (title), .fields = (table), \
		.field_count = COUNT(table)         \
	}

static const bf_section_t node_sections[] = {
	SECTION("node", node_fields),
	SECTION("caller", caller_fields),
	SECTION("mesh", mesh_fields),
	SECTION("control", control_fields),
	SECTION("admin", admin_fields),
	SECTION("store", store_fields),
	SECTION("relay", relay_fields),
	SECTION("target", target_fields),
	SECTION("trace", trace_fields),
	SECTION("record", record_fields),
	SECTION("log", log_fields),
};

static const bf_section_t ctl_sections[] = {
	SECTION("store", ctl_store_fields),
	SECTION("ctl", ctl_fields),
};

#define SECTIONS_MAX 16

/* Reports every required key of a section that is missing. */
static void
report_missing_keys(const bf_toml_node_t *root, const bf_section_t *section,
    bf_diagnostics_t *diagnostics)
{
	size_t i;

	for (i = 0; i < section->field_count; i++) {
		if (section->fields[i].required)
			bf_diagnostics_add_at(diagnostics, BF_ERR_NOT_FOUND,
			    root,
			    bf_key_join(diagnostics->pool, section->name,
				section->fields[i].key),
			    section->fields[i].expected, "is missing");
	}
}

static void
read_sections(const bf_toml_node_t *root, const bf_section_t *sections,
    size_t count, void *settings, bf_diagnostics_t *diagnostics)
{
	bf_field_t section_fields[SECTIONS_MAX] = { 0 };
	const bf_toml_node_t *node;
	size_t i;

	for (i = 0; i < count; i++) {
		section_fields[i].key = sections[i].name;
		section_fields[i].kind = BF_FIELD_CUSTOM;
	}
	bf_fields_read(root, "", section_fields, count, NULL, diagnostics);
	for (i = 0; i < count; i++) {
		node = bf_toml_get(root, sections[i].name);
		if (node == NULL)
			report_missing_keys(root, &sections[i], diagnostics);
		else
			bf_fields_read(node, sections[i].name,
			    sections[i].fields, sections[i].field_count,
			    settings, diagnostics);
	}
}

/* The node of "SECTION.KEY"; if it is missing, of the section or the file. */
static const bf_toml_node_t *
find_node(const bf_toml_node_t *root, const char *section, const char *key)
{
	const bf_toml_node_t *table, *node;

	table = bf_toml_get(root, section);
	if (table == NULL)
		return root;
	node = bf_toml_get(table, key);
	return node != NULL ? node : table;
}

static void
check_keys(const bf_toml_node_t *root, const bf_node_settings_t *s,
    bf_diagnostics_t *diagnostics)
{
	char derived_key[Z85_KEY_CHARACTERS + 1];
	bool has_public, has_secret;

	has_public = s->control.public_key[0] != '\0';
	has_secret = s->control.secret_key[0] != '\0';
	if (has_public != has_secret || (!has_public && !s->control.insecure))
		bf_diagnostics_add_at(diagnostics, BF_ERR_ARGUMENT,
		    find_node(root, "control", "public_key"),
		    "control.public_key",
		    "both keys, or neither and insecure = true",
		    "the keys of the control plane are incomplete");
	if (has_public && s->control.insecure)
		bf_diagnostics_add_at(diagnostics, BF_ERR_ARGUMENT,
		    find_node(root, "control", "insecure"), "control.insecure",
		    "false when keys are set", "contradicts the keys");
	if (!has_public || !has_secret)
		return;
	if (zmq_curve_public(derived_key, s->control.secret_key) != 0 ||
	    strcmp(derived_key, s->control.public_key) != 0)
		bf_diagnostics_add_at(diagnostics, BF_ERR_ARGUMENT,
		    find_node(root, "control", "public_key"),
		    "control.public_key", "the public key of secret_key",
		    "does not belong to secret_key");
}

static void
check_timers(const bf_toml_node_t *root, const bf_node_settings_t *s,
    bf_diagnostics_t *diagnostics)
{
	if (s->control.heartbeat_ms >= s->control.suspect_after_ms)
		bf_diagnostics_add_at(diagnostics, BF_ERR_RANGE,
		    find_node(root, "control", "suspect_after_ms"),
		    "control.suspect_after_ms", "more than heartbeat_ms",
		    "a node would be suspected between two heartbeats");
	if (s->control.suspect_after_ms >= s->control.dead_after_ms)
		bf_diagnostics_add_at(diagnostics, BF_ERR_RANGE,
		    find_node(root, "control", "dead_after_ms"),
		    "control.dead_after_ms", "more than suspect_after_ms",
		    "a node would be dead before it is suspected");
}

static void
check_tokens(const bf_toml_node_t *root, const bf_node_settings_t *s,
    bf_diagnostics_t *diagnostics)
{
	const char *apply;

	apply = s->admin.apply_token;
	if (apply == NULL)
		return;
	if ((s->admin.read_token != NULL &&
		strcmp(s->admin.read_token, apply) == 0) ||
	    (s->admin.target_token != NULL &&
		strcmp(s->admin.target_token, apply) == 0))
		bf_diagnostics_add_at(diagnostics, BF_ERR_CONFLICT,
		    find_node(root, "admin", "apply_token"),
		    "admin.apply_token", "a token of its own",
		    "is the same as another token");
}

static void
check_listeners(const bf_toml_node_t *root, const bf_node_settings_t *s,
    bf_diagnostics_t *diagnostics)
{
	const struct {
		const char *section;
		const char *address;
	} listeners[] = { { "caller", s->caller.listen },
		{ "mesh", s->mesh.listen }, { "control", s->control.listen },
		{ "admin", s->admin.listen } };
	size_t i, j;

	for (i = 0; i < COUNT(listeners); i++) {
		for (j = 0; j < i; j++) {
			if (listeners[i].address == NULL ||
			    listeners[j].address == NULL ||
			    strcmp(listeners[i].address,
				listeners[j].address) != 0)
				continue;
			bf_diagnostics_add_at(diagnostics, BF_ERR_CONFLICT,
			    find_node(root, listeners[i].section, "listen"),
			    bf_key_join(diagnostics->pool, listeners[i].section,
				"listen"),
			    "an address of its own",
			    "is the same as another listen address");
		}
	}
}

bf_code_t
bf_node_settings_load(const char *path, apr_pool_t *pool,
    bf_node_settings_t *settings, bf_diagnostics_t *diagnostics)
{
	bf_toml_node_t *root;
	bf_code_t code;

	*settings = (bf_node_settings_t){
		.node = { .threads = 2 },
		.control = { .public_key = "",
		    .secret_key = "",
		    .heartbeat_ms = 1000,
		    .suspect_after_ms = 3000,
		    .dead_after_ms = 6000 },
		.store = { .prefix = "basilfork/", .timeout_ms = 2000 },
		.relay = { .per_zone = 2, .lease_ttl_ms = 10000 },
		.target = { .drain_timeout_ms = 60000,
		    .announce_timeout_ms = 5000,
		    .probe_interval_ms = 1000 },
		.trace = { .sample_per_million = 10000, .ring_spans = 4096 },
		.log = { .level = LOG_NOTICE },
	};
	code = bf_toml_parse_file(path, pool, &root, diagnostics);
	if (code != BF_OK)
		return code;
	read_sections(
	    root, node_sections, COUNT(node_sections), settings, diagnostics);
	check_keys(root, settings, diagnostics);
	check_timers(root, settings, diagnostics);
	check_tokens(root, settings, diagnostics);
	check_listeners(root, settings, diagnostics);
	return bf_diagnostics_code(diagnostics);
}

bf_code_t
bf_ctl_settings_load(const char *path, apr_pool_t *pool,
    bf_ctl_settings_t *settings, bf_diagnostics_t *diagnostics)
{
	bf_toml_node_t *root;
	bf_code_t code;

	*settings = (bf_ctl_settings_t){
		.store = { .prefix = "basilfork/", .timeout_ms = 2000 },
	};
	code = bf_toml_parse_file(path, pool, &root, diagnostics);
	if (code != BF_OK)
		return code;
	read_sections(
	    root, ctl_sections, COUNT(ctl_sections), settings, diagnostics);
	return bf_diagnostics_code(diagnostics);
}
