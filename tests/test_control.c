#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include <apr_general.h>
#include <glib.h>

#include "control/control.h"
#include "tests/fake_store.h"

/* Several complete control planes, with threads and sockets, in one process. */

/* Only bounds a test that hangs. */
#define WAIT_TIMEOUT_US (INT64_C(60) * G_USEC_PER_SEC)
#define NODES_MAX 8
#define KIND_POOL 1
#define KIND_OUTCOME 2
#define HEARTBEAT_MS 100

typedef struct node {
	bf_control_t *control;
	bf_counters_t *counters;
	bf_store_t *store;
	char instance[32];
	char zone[32];
	char address[32];
	/* Protects the fields below; ThreadSanitizer cannot see a GMutex. */
	pthread_mutex_t lock;
	GArray *versions;  /* uint64_t versions applied, in this order */
	GString *items;    /* "KIND KEY=VALUE;" of each item callback */
	GString *messages; /* "SENDER KIND DATA;" of each direct message */
} node_t;

typedef struct mesh {
	fake_store_t *fake;
	node_t nodes[NODES_MAX];
	size_t count;
	char public_key[41];
	char secret_key[41];
} mesh_t;

static int next_port = 23000;

/* An unused address; the process id keeps parallel runs apart. */
static void
next_address(char *address, size_t bytes)
{
	unsigned pid;

	pid = (unsigned)getpid();
	g_snprintf(address, bytes, "127.23.%u.%u:%d", pid >> 8 & 255, pid & 255,
	    next_port++);
}

static bf_code_t
on_snapshot(void *ctx, const bf_snapshot_t *snapshot)
{
	node_t *node = ctx;

	pthread_mutex_lock(&node->lock);
	g_array_append_val(node->versions, snapshot->version);
	pthread_mutex_unlock(&node->lock);
	return BF_OK;
}

static void
on_item(void *ctx, uint32_t kind, const char *key, const void *value,
    size_t value_bytes)
{
	node_t *node = ctx;

	pthread_mutex_lock(&node->lock);
	g_string_append_printf(node->items, "%u %s=%.*s;", kind, key,
	    (int)value_bytes, (const char *)value);
	pthread_mutex_unlock(&node->lock);
}

static void
on_message(void *ctx, const char *from, uint32_t kind, const void *data,
    size_t data_bytes)
{
	node_t *node = ctx;

	pthread_mutex_lock(&node->lock);
	g_string_append_printf(node->messages, "%s %u %.*s;", from, kind,
	    (int)data_bytes, (const char *)data);
	pthread_mutex_unlock(&node->lock);
}

static bool
is_longer(const void *have, size_t have_bytes, const void *incoming,
    size_t incoming_bytes)
{
	(void)incoming;
	return have == NULL || incoming_bytes > have_bytes;
}

static const bf_item_vtable_t longer_vtable = { .newer = is_longer };

static const bf_item_kind_t kinds[] = {
	{ .vtable = &longer_vtable, .kind = KIND_POOL },
	{ .vtable = &longer_vtable, .kind = KIND_OUTCOME },
};

static void
node_init(mesh_t *mesh, size_t i, uint32_t zones)
{
	node_t *node;

	node = &mesh->nodes[i];
	g_snprintf(node->instance, sizeof(node->instance), "node-%zu", i);
	g_snprintf(node->zone, sizeof(node->zone), "zone-%zu", i % zones);
	next_address(node->address, sizeof(node->address));
	pthread_mutex_init(&node->lock, NULL);
	node->versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	node->items = g_string_new("");
	node->messages = g_string_new("");
}

static void
node_start(mesh_t *mesh, size_t i, bool with_store)
{
	node_t *node = &mesh->nodes[i];
	const char *seeds[] = { mesh->nodes[0].address,
		mesh->nodes[1].address };
	bf_control_options_t options = { .instance = node->instance,
		.zone = node->zone,
		.region = "hr-lika",
		.control_address = node->address,
		.mesh_address = "127.0.0.1:1",
		.seeds = seeds,
		.seed_count = 2,
		.mesh_public_key = mesh->public_key,
		.mesh_secret_key = mesh->secret_key,
		.heartbeat_ms = HEARTBEAT_MS,
		.suspect_after_ms = 20 * HEARTBEAT_MS,
		.dead_after_ms = 10 * HEARTBEAT_MS,
		.kinds = kinds,
		.kind_count = G_N_ELEMENTS(kinds),
		.callbacks = { .ctx = node,
		    .snapshot = on_snapshot,
		    .item = on_item,
		    .message = on_message } };
	bf_error_t err;

	node->counters = bf_counters_new();
	options.counters = node->counters;
	if (with_store)
		options.store = node->store = fake_store_open(mesh->fake);
	if (bf_control_new(&options, &node->control, &err) != BF_OK ||
	    bf_control_start(node->control, &err) != BF_OK)
		g_error("%s", err.message);
	bf_control_set_outcome_kind(node->control, KIND_OUTCOME);
}

static void
node_stop(node_t *node)
{
	if (node->control == NULL)
		return;
	bf_control_stop(node->control);
	bf_control_free(node->control);
	node->control = NULL;
	bf_counters_free(node->counters);
	if (node->store != NULL)
		bf_store_free(node->store);
	node->store = NULL;
}

static mesh_t *
mesh_new(size_t count, uint32_t zones)
{
	mesh_t *mesh;
	size_t i;

	mesh = g_new0(mesh_t, 1);
	mesh->fake = fake_store_new();
	mesh->count = count;
	g_assert_cmpint(
	    bf_control_keypair(mesh->public_key, mesh->secret_key, NULL), ==,
	    BF_OK);
	for (i = 0; i < count; i++)
		node_init(mesh, i, zones);
	return mesh;
}

static void
mesh_free(mesh_t *mesh)
{
	size_t i;

	for (i = 0; i < mesh->count; i++) {
		node_stop(&mesh->nodes[i]);
		g_array_unref(mesh->nodes[i].versions);
		g_string_free(mesh->nodes[i].items, TRUE);
		g_string_free(mesh->nodes[i].messages, TRUE);
	}
	fake_store_free(mesh->fake);
	g_free(mesh);
}

typedef bool (*condition_t)(mesh_t *mesh, uint64_t argument);

static void
wait_for(
    mesh_t *mesh, condition_t condition, uint64_t argument, const char *what)
{
	gint64 deadline_us;

	deadline_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;
	while (!condition(mesh, argument)) {
		if (g_get_monotonic_time() > deadline_us)
			g_error("timed out waiting for %s", what);
		g_usleep(5000);
	}
}

static bool
all_count_alive(mesh_t *mesh, uint64_t alive)
{
	bf_control_status_t status;
	size_t i;

	for (i = 0; i < mesh->count; i++) {
		if (mesh->nodes[i].control == NULL)
			continue;
		bf_control_status(mesh->nodes[i].control, &status);
		if (!status.joined || status.alive != alive)
			return false;
	}
	return true;
}

static bool
all_in_force(mesh_t *mesh, uint64_t version)
{
	bf_control_status_t status;
	size_t i;

	for (i = 0; i < mesh->count; i++) {
		if (mesh->nodes[i].control == NULL)
			continue;
		bf_control_status(mesh->nodes[i].control, &status);
		if (status.config_version != version)
			return false;
	}
	return true;
}

static bool
all_record_version(mesh_t *mesh, uint64_t version)
{
	bf_record_t *records;
	apr_pool_t *pool;
	size_t count;
	bool equal;
	size_t i;
	size_t j;

	equal = true;
	for (i = 0; i < mesh->count; i++) {
		if (mesh->nodes[i].control == NULL)
			continue;
		apr_pool_create(&pool, NULL);
		bf_control_records(
		    mesh->nodes[i].control, pool, &records, &count);
		equal = equal && count == mesh->count;
		for (j = 0; j < count; j++)
			equal = equal && records[j].config_version == version;
		apr_pool_destroy(pool);
	}
	return equal;
}

static bool
all_have_item(mesh_t *mesh, uint64_t argument)
{
	const char *text = (const char *)(uintptr_t)argument;
	bool found;
	size_t i;

	for (i = 0; i < mesh->count; i++) {
		if (mesh->nodes[i].control == NULL)
			continue;
		pthread_mutex_lock(&mesh->nodes[i].lock);
		found = strstr(mesh->nodes[i].items->str, text) != NULL;
		pthread_mutex_unlock(&mesh->nodes[i].lock);
		if (!found)
			return false;
	}
	return true;
}

static bool
has_message(mesh_t *mesh, uint64_t node)
{
	bool found;

	pthread_mutex_lock(&mesh->nodes[node].lock);
	found = mesh->nodes[node].messages->len > 0;
	pthread_mutex_unlock(&mesh->nodes[node].lock);
	return found;
}

static void
accept_version(mesh_t *mesh, uint64_t version)
{
	bf_snapshot_t *snapshot;

	snapshot = fake_snapshot(version, 8, (uint32_t)version);
	fake_store_accept(mesh->fake, snapshot);
	bf_snapshot_free(snapshot);
}

static void
assert_versions_increase(mesh_t *mesh)
{
	GArray *versions;
	size_t i;
	guint j;

	for (i = 0; i < mesh->count; i++) {
		versions = mesh->nodes[i].versions;
		for (j = 1; j < versions->len; j++)
			g_assert_cmpuint(
			    g_array_index(versions, uint64_t, j - 1), <,
			    g_array_index(versions, uint64_t, j));
	}
}

/*
 * Configurations, items, direct messages and leaves reach all six nodes, of
 * which only two have the store.
 */
static void
test_spread(void)
{
	mesh_t *mesh;
	size_t i;

	mesh = mesh_new(6, 3);
	accept_version(mesh, 1);
	for (i = 0; i < mesh->count; i++)
		node_start(mesh, i, i < 2);
	wait_for(mesh, all_count_alive, mesh->count, "six members");
	wait_for(mesh, all_in_force, 1, "version 1 everywhere");
	accept_version(mesh, 2);
	wait_for(mesh, all_in_force, 2, "version 2 everywhere");
	wait_for(mesh, all_record_version, 2, "all versions known");
	accept_version(mesh, 3);
	wait_for(mesh, all_in_force, 3, "version 3 everywhere");
	assert_versions_increase(mesh);

	g_assert_cmpint(bf_control_publish_item(mesh->nodes[5].control,
			    KIND_POOL, "move-1", "seen", 4),
	    ==, BF_OK);
	wait_for(mesh, all_have_item, (uintptr_t) "1 move-1=seen;", "the item");
	bf_control_send(mesh->nodes[4].control, "node-5", 9, "hello", 5);
	wait_for(mesh, has_message, 5, "the direct message");
	g_assert_cmpstr(mesh->nodes[5].messages->str, ==, "node-4 9 hello;");

	node_stop(&mesh->nodes[3]);
	wait_for(mesh, all_count_alive, mesh->count - 1, "the leave");
	mesh_free(mesh);
}

static bool
outcome_is_written(mesh_t *mesh, uint64_t argument)
{
	size_t i;

	(void)argument;
	for (i = 0; i < mesh->count; i++)
		bf_control_write_outcome(
		    mesh->nodes[i].control, "move-7", "done", 4);
	return fake_store_writes(mesh->fake, "basilfork/outcome/move-7") > 0;
}

/*
 * An outcome that all nodes request is written once, and becomes an item on
 * all of them.
 */
static void
test_outcome(void)
{
	mesh_t *mesh;
	size_t i;

	mesh = mesh_new(3, 1);
	for (i = 0; i < mesh->count; i++)
		node_start(mesh, i, true);
	wait_for(mesh, all_count_alive, mesh->count, "three members");
	wait_for(mesh, outcome_is_written, 0, "the outcome");
	accept_version(mesh, 1);
	wait_for(mesh, all_have_item, (uintptr_t) "2 move-7=done;",
	    "the outcome as an item");
	g_assert_cmpuint(
	    fake_store_writes(mesh->fake, "basilfork/outcome/move-7"), ==, 1);
	mesh_free(mesh);
}

static bool
is_refused(mesh_t *mesh, uint64_t node)
{
	bf_counter_id_t id;

	id = bf_counters_register(
	    mesh->nodes[node].counters, "bf_control_refused_clients_total");
	return bf_counters_sum(mesh->nodes[node].counters, id) > 0;
}

static void
start_unauthorized(mesh_t *mesh, node_t *node)
{
	const char *seeds[] = { mesh->nodes[0].address };
	char own_public[41];
	char own_secret[41];
	bf_control_options_t options = { .instance = "stranger",
		.zone = "zone-0",
		.region = "hr-lika",
		.control_address = node->address,
		.mesh_address = "127.0.0.1:1",
		.seeds = seeds,
		.seed_count = 1,
		.mesh_public_key = mesh->public_key,
		.mesh_secret_key = mesh->secret_key,
		.client_public_key = own_public,
		.client_secret_key = own_secret,
		.heartbeat_ms = HEARTBEAT_MS };

	bf_control_keypair(own_public, own_secret, NULL);
	node->counters = bf_counters_new();
	options.counters = node->counters;
	g_assert_cmpint(
	    bf_control_new(&options, &node->control, NULL), ==, BF_OK);
	g_assert_cmpint(bf_control_start(node->control, NULL), ==, BF_OK);
}

/* A node whose client key is not allowed cannot connect and finds no peer. */
static void
test_wrong_key(void)
{
	bf_control_status_t status;
	mesh_t *mesh;

	mesh = mesh_new(3, 1);
	node_start(mesh, 0, false);
	node_start(mesh, 1, false);
	wait_for(mesh, all_count_alive, 2, "two members");
	start_unauthorized(mesh, &mesh->nodes[2]);
	wait_for(mesh, is_refused, 0, "the refusal");
	bf_control_status(mesh->nodes[0].control, &status);
	g_assert_cmpuint(status.alive, ==, 2);
	bf_control_status(mesh->nodes[2].control, &status);
	g_assert_cmpuint(status.alive, <=, 1);
	mesh_free(mesh);
}

int
main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/control/spread", test_spread);
	g_test_add_func("/control/outcome", test_outcome);
	g_test_add_func("/control/wrong-key", test_wrong_key);
	return g_test_run();
}
