#include <stdarg.h>
#include <string.h>

#include "tests/mesh.h"

#define CALLER_PORT 21080
#define MESH_PORT 21081
#define CONTROL_PORT 21082
#define ADMIN_PORT 21083
#define ARGUMENTS_MAX 8
/* Precedes the number in the log line of a version put in force. */
#define IN_FORCE_PREFIX "configuration version "

#define LEDGER_BEGIN "begin ledger\n"
#define LEDGER_END "end ledger\n"

static const char node_settings[] = "[node]\n"
				    "instance = \"%s\"\n"
				    "availability_zone = \"%s\"\n"
				    "region = \"region-1\"\n"
				    "threads = 2\n"
				    "[caller]\n"
				    "listen = \"%s\"\n"
				    "[mesh]\n"
				    "listen = \"%s:%d\"\n"
				    "[control]\n"
				    "listen = \"%s:%d\"\n"
				    "insecure = true\n"
				    "seeds = [%s]\n"
				    "[admin]\n"
				    "listen = \"%s\"\n"
				    "read_token = \"" MESH_READ_TOKEN "\"\n"
				    "apply_token = \"" MESH_APPLY_TOKEN "\"\n"
				    "target_token = \"" MESH_TARGET_TOKEN "\"\n"
				    "[store]\n"
				    "url = \"http://%s\"\n"
				    "%s\n";

unsigned int
mesh_node_count(const mesh_t *mesh)
{
	return mesh->zone_count * mesh->nodes_per_zone;
}

/* The control addresses of the first node of each zone, for the settings. */
static char *
format_seeds(mesh_t *mesh)
{
	GString *text;
	unsigned int z;

	text = g_string_new(NULL);
	for (z = 0; z < mesh->zone_count; z++)
		g_string_append_printf(text, "%s\"%s:%d\"", z > 0 ? ", " : "",
		    harness_ip(mesh->h, z * mesh->nodes_per_zone),
		    CONTROL_PORT);
	return g_string_free(text, FALSE);
}

static void
write_file(const char *path, const char *text)
{
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
}

static void
set_up_node(mesh_t *mesh, unsigned int i, const char *store, const char *extra)
{
	g_autofree char *file = NULL;
	g_autofree char *list = format_seeds(mesh);
	g_autofree char *text = NULL;
	mesh_node_t *node;
	const char *ip;

	node = &mesh->nodes[i];
	ip = harness_ip(mesh->h, i);
	node->zone = g_strdup_printf("zone-%c", 'a' + i / mesh->nodes_per_zone);
	node->instance =
	    g_strdup_printf("%s-%u", node->zone, i % mesh->nodes_per_zone);
	node->caller_address = g_strdup_printf("%s:%d", ip, CALLER_PORT);
	node->admin_address = g_strdup_printf("%s:%d", ip, ADMIN_PORT);
	node->target_address = g_strdup_printf("%s:%d", ip, MESH_TARGET_PORT);
	file = g_strconcat(node->instance, ".toml", NULL);
	node->settings_path = g_strdup(harness_path(mesh->h, file));
	text = g_strdup_printf(node_settings, node->instance, node->zone,
	    node->caller_address, ip, MESH_PORT, ip, CONTROL_PORT, list,
	    node->admin_address, store, extra != NULL ? extra : "");
	write_file(node->settings_path, text);
}

static void
write_ctl_settings(mesh_t *mesh, const char *store)
{
	GString *text;
	unsigned int i;

	text = g_string_new("[ctl]\nadmin = [");
	for (i = 0; i < mesh_node_count(mesh); i++)
		g_string_append_printf(text, "%s\"%s\"", i > 0 ? ", " : "",
		    mesh->nodes[i].admin_address);
	g_string_append_printf(text,
	    "]\nread_token = \"" MESH_READ_TOKEN "\"\n"
	    "apply_token = \"" MESH_APPLY_TOKEN "\"\n"
	    "[store]\nurl = \"http://%s\"\n",
	    store);
	mesh->ctl_settings_path = g_strdup(harness_path(mesh->h, "ctl.toml"));
	write_file(mesh->ctl_settings_path, text->str);
	g_string_free(text, TRUE);
}

mesh_t *
mesh_new(harness_t *h, const mesh_options_t *options)
{
	const char *store;
	unsigned int i;
	mesh_t *mesh;

	mesh = g_new0(mesh_t, 1);
	mesh->h = h;
	mesh->zone_count = options->zone_count;
	mesh->nodes_per_zone = options->nodes_per_zone;
	mesh->store = harness_start_listening(
	    h, "store", "standin_store", "--listen=127.0.0.1:0", NULL);
	store = options->store_address != NULL ? options->store_address
					       : mesh->store->address;
	mesh->nodes = g_new0(mesh_node_t, mesh_node_count(mesh));
	for (i = 0; i < mesh_node_count(mesh); i++)
		set_up_node(mesh, i, store, options->extra);
	write_ctl_settings(mesh, mesh->store->address);
	return mesh;
}

void
mesh_free(mesh_t *mesh)
{
	mesh_node_t *node;
	unsigned int i;

	for (i = 0; i < mesh_node_count(mesh); i++) {
		node = &mesh->nodes[i];
		g_free(node->instance);
		g_free(node->zone);
		g_free(node->caller_address);
		g_free(node->admin_address);
		g_free(node->target_address);
		g_free(node->settings_path);
	}
	g_free(mesh->nodes);
	g_free(mesh->ctl_settings_path);
	g_free(mesh);
}

static bool
admin_answers(void *ctx)
{
	const mesh_node_t *node;
	json_t *status;

	node = ctx;
	if (harness_has_ended(node->process))
		g_error("%s ended while it started", node->instance);
	status = mesh_status(node);
	json_decref(status);
	return status != NULL;
}

static void
spawn_node(mesh_t *mesh, mesh_node_t *node)
{
	node->process = harness_start(
	    mesh->h, node->instance, "basilnoded", node->settings_path, NULL);
}

void
mesh_start_node(mesh_t *mesh, unsigned int i)
{
	spawn_node(mesh, &mesh->nodes[i]);
	harness_wait_until(admin_answers, &mesh->nodes[i],
	    "a node's administration API answers");
}

void
mesh_start_nodes(mesh_t *mesh)
{
	unsigned int i;

	for (i = 0; i < mesh_node_count(mesh); i++)
		spawn_node(mesh, &mesh->nodes[i]);
	for (i = 0; i < mesh_node_count(mesh); i++)
		harness_wait_until(admin_answers, &mesh->nodes[i],
		    "a node's administration API answers");
}

static bool
target_is_ready(void *ctx)
{
	const char *state;
	json_t *status;
	bool ready;

	status = mesh_status(ctx);
	state = json_string_value(
	    json_object_get(json_object_get(status, "target"), "state"));
	ready = g_strcmp0(state, "ready") == 0;
	json_decref(status);
	return ready;
}

void
mesh_start_target(mesh_t *mesh, unsigned int i, const char *service,
    const char *version, const char *options)
{
	g_autofree char *admin = NULL, *instance = NULL, *listen = NULL;
	g_autofree char *name = NULL, *service_option = NULL;
	g_autofree char *version_option = NULL;
	g_auto(GStrv) more = NULL;
	mesh_node_t *node;

	node = &mesh->nodes[i];
	name = g_strconcat(node->instance, "-target", NULL);
	listen = g_strconcat("--listen=", node->target_address, NULL);
	service_option = g_strconcat("--service=", service, NULL);
	version_option = g_strconcat("--version=", version, NULL);
	instance = g_strconcat("--instance=", node->instance, NULL);
	admin = g_strconcat("--node-admin=", node->admin_address, NULL);
	more = g_strsplit(options, " ", ARGUMENTS_MAX);
	g_assert_cmpuint(g_strv_length(more), <=, 3);
	node->target = harness_start_listening(mesh->h, name, "standin_target",
	    listen, service_option, version_option, instance, admin,
	    "--token=" MESH_TARGET_TOKEN, more[0],
	    more[0] != NULL ? more[1] : NULL,
	    more[0] != NULL && more[1] != NULL ? more[2] : NULL, NULL);
	harness_wait_until(
	    target_is_ready, node, "the target of a node is ready");
}

const char *
mesh_write_intent(mesh_t *mesh, const char *text)
{
	g_autofree char *file = NULL, *name = NULL;
	const char *folder;

	name = g_strdup_printf("intent-%u", mesh->intent_count++);
	folder = harness_path(mesh->h, name);
	g_assert_cmpint(g_mkdir_with_parents(folder, 0700), ==, 0);
	file = g_build_filename(folder, "10-all.toml", NULL);
	write_file(file, text);
	return folder;
}

int
mesh_run_ctl(mesh_t *mesh, const char *command, ...)
{
	const char *arguments[ARGUMENTS_MAX] = { NULL };
	harness_process_t *process;
	const char *argument;
	va_list list;
	size_t n;

	n = 0;
	va_start(list, command);
	while ((argument = va_arg(list, const char *)) != NULL) {
		g_assert_cmpuint(n, <, ARGUMENTS_MAX - 1);
		arguments[n++] = argument;
	}
	va_end(list);
	process = harness_start(mesh->h, "ctl", "basilctl", "--settings",
	    mesh->ctl_settings_path, command, arguments[0], arguments[1],
	    arguments[2], arguments[3], arguments[4], arguments[5], NULL);
	return harness_wait(process);
}

void
mesh_apply(mesh_t *mesh, const char *text)
{
	g_assert_cmpint(
	    mesh_run_ctl(mesh, "apply", mesh_write_intent(mesh, text), NULL),
	    ==, 0);
}

static json_t *
get_node_json(const mesh_node_t *node, const char *path)
{
	static const char *const headers[] = {
		"Authorization: Bearer " MESH_READ_TOKEN, NULL
	};
	g_autoptr(harness_answer_t) answer = NULL;
	g_autofree char *url = NULL;

	url = g_strdup_printf("http://%s%s", node->admin_address, path);
	answer = harness_http("GET", url, headers, NULL, 0);
	if (answer->status != 200)
		return NULL;
	return json_loadb(
	    (const char *)answer->body->data, answer->body->len, 0, NULL);
}

json_t *
mesh_status(const mesh_node_t *node)
{
	return get_node_json(node, "/v1/status");
}

int64_t
mesh_version(const mesh_node_t *node)
{
	const char *state;
	json_t *status;
	int64_t version;

	status = mesh_status(node);
	if (status == NULL)
		return -1;
	state = json_string_value(json_object_get(status, "configuration"));
	version = 0;
	if (g_strcmp0(state, "in-force") == 0)
		version =
		    json_integer_value(json_object_get(status, "version"));
	json_decref(status);
	return version;
}

typedef struct expected {
	const mesh_node_t *node;
	int64_t version;
	unsigned int targets;
} expected_t;

static bool
has_version(void *ctx)
{
	const expected_t *expected;

	expected = ctx;
	return mesh_version(expected->node) >= expected->version;
}

static bool
is_running(const mesh_node_t *node)
{
	return node->process != NULL && node->process->pid != 0;
}

void
mesh_wait_node_version(mesh_t *mesh, unsigned int i, int64_t version)
{
	expected_t expected = { .version = version, .node = &mesh->nodes[i] };

	harness_wait_until(has_version, &expected, "a version is in force");
}

void
mesh_wait_version(mesh_t *mesh, int64_t version)
{
	unsigned int i;

	for (i = 0; i < mesh_node_count(mesh); i++) {
		if (is_running(&mesh->nodes[i]))
			mesh_wait_node_version(mesh, i, version);
	}
}

static void
expect_growing_versions(mesh_t *mesh, const mesh_node_t *node)
{
	g_autofree char *file = g_strconcat(node->instance, ".err", NULL);
	g_autofree char *text = NULL;
	gint64 last, version;
	const char *at;
	char *end;

	g_assert_true(g_file_get_contents(
	    harness_path(mesh->h, file), &text, NULL, NULL));
	last = 0;
	at = text;
	while ((at = strstr(at, IN_FORCE_PREFIX)) != NULL) {
		at += strlen(IN_FORCE_PREFIX);
		version = g_ascii_strtoll(at, &end, 10);
		if (!g_str_has_prefix(end, " is in force"))
			continue;
		if (version < last)
			g_error("%s went from version %" G_GINT64_FORMAT
				" to %" G_GINT64_FORMAT,
			    node->instance, last, version);
		last = version;
	}
	/* Fails if the log line was reworded, as then nothing is compared. */
	g_assert_cmpint(last, >, 0);
}

void
mesh_expect_growing_versions(mesh_t *mesh)
{
	unsigned int i;

	for (i = 0; i < mesh_node_count(mesh); i++)
		expect_growing_versions(mesh, &mesh->nodes[i]);
}

static bool
lists_targets(void *ctx)
{
	const expected_t *expected;
	json_t *member, *members;
	unsigned int ready;
	size_t i;

	expected = ctx;
	members = get_node_json(expected->node, "/v1/members");
	ready = 0;
	json_array_foreach (members, i, member) {
		if (g_strcmp0(
			json_string_value(json_object_get(member, "target")),
			"ready") == 0 &&
		    g_strcmp0(
			json_string_value(json_object_get(member, "state")),
			"alive") == 0)
			ready++;
	}
	json_decref(members);
	return ready == expected->targets;
}

void
mesh_wait_targets(mesh_t *mesh, unsigned int count)
{
	expected_t expected = { .targets = count };
	unsigned int i;

	for (i = 0; i < mesh_node_count(mesh); i++) {
		expected.node = &mesh->nodes[i];
		if (is_running(expected.node))
			harness_wait_until(lists_targets, &expected,
			    "a node lists all ready targets");
	}
}

/* Appends the ledgers that ended processes of the target printed. */
static void
append_ended_ledgers(mesh_t *mesh, const char *name, GString *all)
{
	g_autofree char *file = g_strconcat(name, ".out", NULL);
	g_autofree char *text = NULL;
	const char *begin, *end;

	g_file_get_contents(harness_path(mesh->h, file), &text, NULL, NULL);
	end = text;
	while ((begin = strstr(end, LEDGER_BEGIN)) != NULL) {
		begin += strlen(LEDGER_BEGIN);
		end = strstr(begin, LEDGER_END);
		g_assert_nonnull(end);
		g_string_append_len(all, begin, end - begin);
	}
}

char *
mesh_ledger(mesh_t *mesh, unsigned int i)
{
	g_autofree char *running = NULL;
	harness_process_t *target;
	GString *all;

	all = g_string_new(NULL);
	target = mesh->nodes[i].target;
	append_ended_ledgers(mesh, target->name, all);
	if (!harness_has_ended(target)) {
		running = harness_request(
		    "GET", "http://%s/standin/ledger", target->address);
		g_string_append(all, running);
	}
	return g_string_free(all, FALSE);
}

harness_answer_t *
mesh_call(mesh_t *mesh, unsigned int i, const char *method, const char *service,
    const char *path, const char *id, const void *body, size_t body_bytes)
{
	g_autofree char *host = g_strconcat("Host: ", service, NULL);
	g_autofree char *request_id = g_strconcat("X-Request-Id: ", id, NULL);
	g_autofree char *url = NULL;
	const char *headers[] = { host, request_id, NULL };

	url =
	    g_strdup_printf("http://%s%s", mesh->nodes[i].caller_address, path);
	return harness_http(method, url, headers, body, body_bytes);
}
