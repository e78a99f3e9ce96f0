#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <glib/gstdio.h>

#include "base/clock.h"
#include "tests/crowd/clients.h"
#include "tests/crowd/nodes.h"
#include "tests/crowd/process.h"
#include "tests/soak/proxy.h"

#define PORT_FIRST 10000
#define PORTS_PER_NODE 8
#define TICK_US (20 * BF_US_PER_MS)
/* Bounds a hang. */
#define END_WAIT_US (60 * BF_US_PER_S)
/* The longest body that any of the tests sends. */
#define TARGET_BODY_BYTES_MAX ((size_t)64 << 20)

typedef enum port {
	PORT_PEERS,
	PORT_HEARTBEATS,
	PORT_CALLERS,
	PORT_READY
} port_t;

static uint16_t
port_of(uint32_t node, port_t port)
{
	return (uint16_t)(PORT_FIRST + PORTS_PER_NODE * node + port);
}

static void
add_route(GString *text, const char *prefix)
{
	g_string_append_printf(text,
	    "{\"Name\":\"at%s\",\"Type\":\"safe\",\"Match\":{\"Prefix\":\"%s\"}"
	    ",\"Priority\":1,\"TargetLatencyMs\":30000,\"Action\":{\"Service\":"
	    "\"shop\",\"TimeoutMs\":30000,\"MaxAttempts\":2}}",
	    prefix, prefix);
}

static void
write_config(nodes_t *nodes, int version)
{
	GString *text = g_string_new(NULL);
	char prefix[32];
	int i;

	g_string_append_printf(text,
	    "{\"Version\":\"r%d\",\"Limits\":{\"MaxHeaderBytes\":16384,"
	    "\"MaxBodyBytes\":%zu,\"HeaderTimeoutMs\":3000,"
	    "\"IdleTimeoutMs\":4000},\"Clusters\":[{\"Name\":\"shop\","
	    "\"HealthPath\":\"/health\",\"MaxConnections\":100}],"
	    "\"Listeners\":[{\"Authority\":\"" NODES_HOST "\",\"Policies\":[",
	    version, nodes->options.body_bytes_max);
	add_route(text, "/");
	for (i = 2; i <= version; i++) {
		(void)g_snprintf(prefix, sizeof(prefix), "/v%d/", i);
		g_string_append_c(text, ',');
		add_route(text, prefix);
	}
	g_string_append(text, "]}]}");
	soak_store_put(&nodes->store, "op/config", text->str);
	g_string_free(text, TRUE);
}

/* A failed check aborts the test; its processes must not outlive it. */
static void
end_with_test(gpointer data)
{
	(void)data;
	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void
on_tick(bf_timer_t *timer, bf_time_us_t now_us)
{
	nodes_t *nodes = BF_CONTAINER(timer, nodes_t, tick);
	int version = g_atomic_int_get(&nodes->config_version);

	if (g_atomic_int_get(&nodes->stopping) != 0) {
		bf_loop_stop(nodes->loop);
		return;
	}
	nodes->store.mode =
	    (soak_store_mode_t)g_atomic_int_get(&nodes->store_mode);
	if (version > nodes->written_version) {
		write_config(nodes, version);
		nodes->written_version = version;
	}
	bf_loop_timer_set(nodes->loop, timer, now_us + TICK_US);
}

static gpointer
run_platform(gpointer loop)
{
	bf_loop_run(loop);
	return NULL;
}

/* Serves the store and the target of node 0 in a thread of its own. */
static void
start_platform(nodes_t *nodes)
{
	GRand *random = g_rand_new_with_seed(1);
	struct sockaddr_in at = { .sin_family = AF_INET };
	GHashTable *runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	nodes->loop = bf_loop_new(NULL);
	soak_store_open(&nodes->store, nodes->loop, random);
	nodes->config_version = 1;
	nodes->written_version = 1;
	write_config(nodes, 1);
	at.sin_addr.s_addr = soak_address();
	at.sin_port = htons(port_of(0, PORT_HEARTBEATS));
	soak_target_open(&nodes->target, nodes->loop, random, runs, "a", &at);
	nodes->target.server.limits.body_bytes = TARGET_BODY_BYTES_MAX;
	nodes->tick.fire = on_tick;
	bf_loop_timer_set(nodes->loop, &nodes->tick, bf_clock_monotonic_us());
	nodes->platform = g_thread_new("platform", run_platform, nodes->loop);
}

static char *
settings_text(
    const nodes_t *nodes, uint32_t number, uint16_t store, uint16_t target)
{
	const nodes_options_t *options = &nodes->options;
	const char *ip = soak_address_text();
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
	    "[node]\ninstance = \"node-%u\"\navailability_zone = \"a\"\n"
	    "service = \"shop\"\nlink_mbps = 1000\n",
	    number);
	if (options->memory_mb != 0)
		g_string_append_printf(
		    text, "memory_mb = %u\n", options->memory_mb);
	g_string_append_printf(text, "[callers]\nlisten = \"%s:%u\"\n", ip,
	    port_of(number, PORT_CALLERS));
	if (options->connections_max != 0)
		g_string_append_printf(
		    text, "connections_max = %u\n", options->connections_max);
	g_string_append_printf(text,
	    "[peers]\nlisten = \"%s:%u\"\nadvertise = \"%s:%u\"\n"
	    "[target]\naddress = \"%s:%u\"\nlisten = \"%s:%u\"\n"
	    "heartbeat_ms = 300\n"
	    "[platform]\nready_listen = \"%s:%u\"\nstore = \"%s:%u\"\n"
	    "[stop]\ngrace_s = 3\n",
	    ip, port_of(number, PORT_PEERS), ip, port_of(number, PORT_PEERS),
	    ip, target, ip, port_of(number, PORT_HEARTBEATS), ip,
	    port_of(number, PORT_READY), ip, store);
	return g_string_free(text, FALSE);
}

static void
start_node(nodes_t *nodes, uint32_t number)
{
	node_t *node = &nodes->node[number];
	char *path = g_strdup_printf("%s/%u.toml", nodes->folder, number);
	char *log = g_strdup_printf("%s/%u.log", nodes->folder, number);
	char *program = g_build_filename(
	    g_getenv("BF_BIN") != NULL ? g_getenv("BF_BIN") : "build/bin",
	    "basilmeshd", NULL);
	char *argv[] = { program, path, NULL }, *text;
	uint16_t store = ntohs(soak_store_address(&nodes->store).sin_port);
	uint16_t target = bf_listener_port(&nodes->target.server.listener);
	GError *error = NULL;
	FILE *out = g_fopen(log, "ab");
	port_t port;

	g_assert_nonnull(out);
	for (port = PORT_PEERS; port <= PORT_READY; port++)
		node->ports[port] = port_of(number, port);
	node->callers = (struct sockaddr_in){ .sin_family = AF_INET,
		.sin_port = htons(node->ports[PORT_CALLERS]),
		.sin_addr.s_addr = soak_address() };
	text = settings_text(nodes, number, store, target);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	if (!g_spawn_async_with_fds(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
		end_with_test, NULL, &node->pid, -1, fileno(out), fileno(out),
		&error))
		g_error("cannot start %s: %s", program, error->message);
	(void)fclose(out);
	g_free(text);
	g_free(program);
	g_free(log);
	g_free(path);
}

nodes_t *
nodes_start(const nodes_options_t *options)
{
	nodes_t *nodes = g_new0(nodes_t, 1);
	uint32_t i;

	nodes->options = *options;
	nodes->folder = g_dir_make_tmp("basilfork-crowd-XXXXXX", NULL);
	g_assert_nonnull(nodes->folder);
	start_platform(nodes);
	for (i = 0; i < options->node_count; i++)
		start_node(nodes, i);
	for (i = 0; i < options->node_count; i++)
		crowd_expect_answered(
		    &nodes->node[i].callers, NODES_HOST, "/ordinary", 5);
	return nodes;
}

void
nodes_stop(nodes_t *nodes)
{
	uint32_t i;

	for (i = 0; i < nodes->options.node_count; i++) {
		if (nodes->node[i].pid == 0)
			continue;
		(void)kill(nodes->node[i].pid, SIGKILL);
		(void)waitpid(nodes->node[i].pid, NULL, 0);
	}
	g_atomic_int_set(&nodes->stopping, 1);
	(void)g_thread_join(nodes->platform);
	g_free(nodes->folder);
	g_free(nodes);
}

void
nodes_terminate(nodes_t *nodes, uint32_t number)
{
	bf_time_us_t end_us = bf_clock_monotonic_us() + END_WAIT_US;
	node_t *node = &nodes->node[number];
	int status;
	pid_t ended;

	g_assert_cmpint(kill(node->pid, SIGTERM), ==, 0);
	while ((ended = waitpid(node->pid, &status, WNOHANG)) == 0 &&
	    bf_clock_monotonic_us() < end_us)
		g_usleep(10000);
	g_assert_cmpint(ended, ==, node->pid);
	node->pid = 0;
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 0);
}

void
nodes_write_config(nodes_t *nodes, uint32_t version)
{
	g_atomic_int_set(&nodes->config_version, (gint)version);
}

void
nodes_set_store_mode(nodes_t *nodes, soak_store_mode_t mode)
{
	g_atomic_int_set(&nodes->store_mode, (gint)mode);
}

void
nodes_expect_alive(nodes_t *nodes)
{
	uint32_t i;

	for (i = 0; i < nodes->options.node_count; i++) {
		if (nodes->node[i].pid != 0)
			g_assert_cmpint(
			    waitpid(nodes->node[i].pid, NULL, WNOHANG), ==, 0);
	}
}

uint64_t
nodes_memory_bytes(const nodes_t *nodes, uint32_t number)
{
	const node_t *node = &nodes->node[number];

	return process_memory_bytes(
	    node->pid, node->ports, G_N_ELEMENTS(node->ports));
}
