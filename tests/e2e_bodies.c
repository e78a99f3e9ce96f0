/*
 * Guards against request bodies that exhaust the memory of a node: many bodies
 * that stop short of their end and stay open, and bodies far over the limit.
 * Measured before the memory budget: 60 such bodies took 1,447 MB on a machine
 * of 160 MB.  The process must live, stay inside node.memory_mb and
 * callers.connections_max, and answer an ordinary request afterwards.
 *
 * The announced body over the limit is refused by its head, also before the
 * memory budget; its test guards against a regression.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "base/clock.h"
#include "tests/soak/proxy.h"
#include "tests/soak/store.h"
#include "tests/soak/target.h"

#define PORT_FIRST 10000
#define PORTS_PER_NODE 8
#define NODES 2
#define CLIENTS 24
#define CONNECTIONS_MAX 64
/* Descriptors of a node that are no connections of callers. */
#define OTHER_DESCRIPTORS_MAX 64
#define MEMORY_MB 32
#define BODY_BYTES_MAX ((size_t)4 << 20)
#define PIECE_BYTES ((size_t)16384)
#define LARGE_CHUNK_BYTES 65536
#define SMALL_CHUNK_BYTES 4
/* Sent by a client that ignores the limit. */
#define FAR_OVER_BYTES (16 * BODY_BYTES_MAX)
/* A crowd that makes no progress for this long is taken as stopped. */
#define STANDSTILL_MS 2000
#define WAIT_MAX_US (60 * BF_US_PER_S)
#define STOP_POLL_US (20 * BF_US_PER_MS)
#define CALM_MEMORY_MB 160
#define CALM_BODY_BYTES ((size_t)64 << 20)

typedef struct node {
	GPid pid;
	uint16_t callers_port;
	uint32_t memory_mb;
} node_t;

typedef struct mesh {
	GThread *platform; /* runs the store and the target */
	bf_loop_t *loop;   /* of the platform */
	bf_timer_t stop_timer;
	gint stopping; /* atomic */
	char *folder;
	node_t nodes[NODES];
	uint32_t node_count;
} mesh_t;

typedef enum order {
	ORDER_WHOLE, /* one client after the other */
	ORDER_PIECES /* all clients in turn, a piece each */
} order_t;

/* What each client of a crowd sends after the head. */
typedef struct crowd {
	const char *framing; /* header field that frames the body */
	const char *unit;    /* repeated; the body is cut after bytes */
	size_t unit_bytes;
	size_t bytes;
	order_t order;
} crowd_t;

typedef struct client {
	int fd; /* -1: closed by the node */
	size_t sent_bytes;
} client_t;

static uint16_t
port_of(uint32_t node, uint32_t port)
{
	return (uint16_t)(PORT_FIRST + PORTS_PER_NODE * node + port);
}

static void
write_config(soak_store_t *store, size_t body_bytes_max)
{
	char *text = g_strdup_printf(
	    "{\"Version\":\"r1\",\"Limits\":{\"MaxHeaderBytes\":16384,"
	    "\"MaxBodyBytes\":%zu,\"HeaderTimeoutMs\":3000,"
	    "\"IdleTimeoutMs\":4000},\"Clusters\":[{\"Name\":\"shop\","
	    "\"HealthPath\":\"/health\",\"MaxConnections\":100}],"
	    "\"Listeners\":[{\"Authority\":\"bodies.test\",\"Policies\":["
	    "{\"Name\":\"all\",\"Type\":\"safe\",\"Match\":{\"Prefix\":"
	    "\"/\"},\"Priority\":1,\"TargetLatencyMs\":30000,\"Action\":{"
	    "\"Service\":\"shop\",\"TimeoutMs\":30000,"
	    "\"MaxAttempts\":2}}]}]}",
	    body_bytes_max);

	soak_store_put(store, "op/config", text);
	g_free(text);
}

/* A failed check aborts the test; its processes must not outlive it. */
static void
end_with_test(gpointer data)
{
	(void)data;
	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void
on_stop_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	mesh_t *mesh = BF_CONTAINER(timer, mesh_t, stop_timer);

	if (g_atomic_int_get(&mesh->stopping) != 0)
		bf_loop_stop(mesh->loop);
	else
		bf_loop_timer_set(mesh->loop, timer, now_us + STOP_POLL_US);
}

static gpointer
run_platform(gpointer loop)
{
	bf_loop_run(loop);
	return NULL;
}

/* Serves the store and the target of node 0 in a thread of its own. */
static void
start_platform(
    mesh_t *mesh, size_t body_bytes_max, uint16_t *store, uint16_t *target)
{
	bf_loop_t *loop = bf_loop_new(NULL);
	GRand *random = g_rand_new_with_seed(1);
	struct sockaddr_in at = { .sin_family = AF_INET };
	GHashTable *runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak_store_t *a_store = g_new0(soak_store_t, 1);
	soak_target_t *a_target = g_new0(soak_target_t, 1);

	soak_store_open(a_store, loop, random);
	write_config(a_store, body_bytes_max);
	at.sin_addr.s_addr = soak_address();
	at.sin_port = htons(port_of(0, 1));
	soak_target_open(a_target, loop, random, runs, "a", &at);
	a_target->server.limits.body_bytes = CALM_BODY_BYTES;
	*store = ntohs(soak_store_address(a_store).sin_port);
	*target = bf_listener_port(&a_target->server.listener);
	mesh->loop = loop;
	mesh->stop_timer.fire = on_stop_timer;
	bf_loop_timer_set(loop, &mesh->stop_timer, bf_clock_monotonic_us());
	mesh->platform = g_thread_new("platform", run_platform, loop);
}

static void
start_node(mesh_t *mesh, uint32_t number, uint16_t store, uint16_t target)
{
	node_t *node = &mesh->nodes[number];
	char *path = g_strdup_printf("%s/%u.toml", mesh->folder, number);
	char *log = g_strdup_printf("%s/%u.log", mesh->folder, number);
	char *program = g_build_filename(
	    g_getenv("BF_BIN") != NULL ? g_getenv("BF_BIN") : "build/bin",
	    "basilmeshd", NULL);
	char *argv[] = { program, path, NULL }, *text;
	const char *ip = soak_address_text();
	GError *error = NULL;
	FILE *out = g_fopen(log, "ab");

	node->callers_port = port_of(number, 2);
	text = g_strdup_printf(
	    "[node]\ninstance = \"node-%u\"\navailability_zone = \"a\"\n"
	    "service = \"shop\"\nlink_mbps = 1000\nmemory_mb = %u\n"
	    "[callers]\nlisten = \"%s:%u\"\nconnections_max = %d\n"
	    "[peers]\nlisten = \"%s:%u\"\nadvertise = \"%s:%u\"\n"
	    "[target]\naddress = \"%s:%u\"\nlisten = \"%s:%u\"\n"
	    "heartbeat_ms = 300\n"
	    "[platform]\nready_listen = \"%s:%u\"\nstore = \"%s:%u\"\n"
	    "[stop]\ngrace_s = 3\n",
	    number, node->memory_mb, ip, node->callers_port, CONNECTIONS_MAX,
	    ip, port_of(number, 0), ip, port_of(number, 0), ip, target, ip,
	    port_of(number, 1), ip, port_of(number, 3), ip, store);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_assert_nonnull(out);
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

static int
connect_to(const node_t *node)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
		.sin_port = htons(node->callers_port) };
	struct timeval timeout = { .tv_sec = 30 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	at.sin_addr.s_addr = soak_address();
	g_assert_cmpint(fd, >=, 0);
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Sends one request with a length; returns its status, 0 without an answer. */
static int
request(const node_t *node, size_t body_bytes)
{
	static uint32_t number;
	char answer[16] = "", *head, *body = g_malloc0(body_bytes);
	size_t sent = 0, got = 0;
	ssize_t n = 1;
	int fd = connect_to(node);

	head = g_strdup_printf(
	    "POST /ordinary HTTP/1.1\r\nHost: bodies.test\r\n"
	    "Request-Id: ordinary-%u\r\nContent-Length: %zu\r\n\r\n",
	    number++, body_bytes);
	if (fd >= 0 && send(fd, head, strlen(head), MSG_NOSIGNAL) > 0) {
		while (sent < body_bytes && n > 0) {
			n = send(
			    fd, body + sent, body_bytes - sent, MSG_NOSIGNAL);
			sent += n > 0 ? (size_t)n : 0;
		}
		while (
		    got < 12 && (n = recv(fd, answer + got, 12 - got, 0)) > 0)
			got += (size_t)n;
	}
	if (fd >= 0)
		close(fd);
	g_free(head);
	g_free(body);
	return got == 12 ? atoi(answer + 9) : 0;
}

/* A refusal with 503 was not run, so the caller may send it once more. */
static void
expect_answered(const node_t *node, size_t body_bytes)
{
	bf_time_us_t end_us = bf_clock_monotonic_us() + WAIT_MAX_US;
	int status;

	while ((status = request(node, body_bytes)) != 200 &&
	    bf_clock_monotonic_us() < end_us)
		g_usleep(100000);
	g_assert_cmpint(status, ==, 200);
}

static mesh_t *
mesh_start(uint32_t node_count, uint32_t memory_mb, size_t body_bytes_max)
{
	mesh_t *mesh = g_new0(mesh_t, 1);
	uint16_t store, target;
	uint32_t i;

	mesh->folder = g_dir_make_tmp("basilfork-bodies-XXXXXX", NULL);
	g_assert_nonnull(mesh->folder);
	start_platform(mesh, body_bytes_max, &store, &target);
	mesh->node_count = node_count;
	for (i = 0; i < node_count; i++) {
		mesh->nodes[i].memory_mb = memory_mb;
		start_node(mesh, i, store, target);
	}
	for (i = 0; i < node_count; i++)
		expect_answered(&mesh->nodes[i], 5);
	return mesh;
}

static uint32_t
peak_memory_kb(const node_t *node)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)node->pid);
	char *text = NULL, *at;
	uint32_t kb = 0;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	at = strstr(text, "VmHWM:");
	g_assert_nonnull(at);
	kb = (uint32_t)strtoul(at + 6, NULL, 10);
	g_free(text);
	g_free(path);
	return kb;
}

static uint32_t
descriptor_count(const node_t *node)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)node->pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	uint32_t count = 0;

	g_assert_nonnull(dir);
	while (g_dir_read_name(dir) != NULL)
		count++;
	g_dir_close(dir);
	g_free(path);
	return count;
}

static void
expect_within_bounds(const mesh_t *mesh)
{
	const node_t *node;
	uint32_t i;

	for (i = 0; i < mesh->node_count; i++) {
		node = &mesh->nodes[i];
		g_assert_cmpint(waitpid(node->pid, NULL, WNOHANG), ==, 0);
		g_test_message("node %u: peak %u KB of %u, %u descriptors", i,
		    peak_memory_kb(node), node->memory_mb * 1024,
		    descriptor_count(node));
		g_assert_cmpuint(descriptor_count(node), <=,
		    CONNECTIONS_MAX + OTHER_DESCRIPTORS_MAX);
		g_assert_cmpuint(
		    peak_memory_kb(node), <=, node->memory_mb * UINT64_C(1024));
	}
}

static void
mesh_stop(mesh_t *mesh)
{
	uint32_t i;

	for (i = 0; i < mesh->node_count; i++) {
		(void)kill(mesh->nodes[i].pid, SIGKILL);
		(void)waitpid(mesh->nodes[i].pid, NULL, 0);
	}
	g_atomic_int_set(&mesh->stopping, 1);
	(void)g_thread_join(mesh->platform);
	g_free(mesh->folder);
	g_free(mesh);
}

/* Sends up to bytes of the body; false if none can be sent now. */
static bool
send_some(const crowd_t *crowd, client_t *client, size_t bytes)
{
	static char buffer[LARGE_CHUNK_BYTES * 2];
	size_t i, at;
	ssize_t n;

	if (client->fd < 0 || client->sent_bytes == crowd->bytes)
		return false;
	if (bytes > crowd->bytes - client->sent_bytes)
		bytes = crowd->bytes - client->sent_bytes;
	if (bytes > sizeof(buffer))
		bytes = sizeof(buffer);
	at = client->sent_bytes % crowd->unit_bytes;
	for (i = 0; i < bytes; i++)
		buffer[i] = crowd->unit[(at + i) % crowd->unit_bytes];
	n = send(client->fd, buffer, bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n > 0) {
		client->sent_bytes += (size_t)n;
		return true;
	}
	if (errno != EAGAIN) {
		close(client->fd);
		client->fd = -1;
	}
	return false;
}

static bool
send_round(const crowd_t *crowd, client_t *clients)
{
	bool progress = false;
	uint32_t i;

	for (i = 0; i < CLIENTS; i++) {
		if (crowd->order == ORDER_PIECES) {
			if (send_some(crowd, &clients[i], PIECE_BYTES))
				progress = true;
			continue;
		}
		while (send_some(crowd, &clients[i], SIZE_MAX))
			progress = true;
		/* The next client begins when this one has ended. */
		if (progress)
			break;
	}
	return progress;
}

/* Sends until all is sent, refused or held up by the node. */
static void
send_crowd(const crowd_t *crowd, client_t *clients)
{
	uint32_t still_ms = 0;

	while (still_ms < STANDSTILL_MS) {
		if (send_round(crowd, clients)) {
			still_ms = 0;
			continue;
		}
		g_usleep(10000);
		still_ms += 10;
	}
}

static void
run_crowd(const crowd_t *crowd)
{
	mesh_t *mesh = mesh_start(1, MEMORY_MB, BODY_BYTES_MAX);
	client_t clients[CLIENTS];
	char *head;
	uint32_t i;

	for (i = 0; i < CLIENTS; i++) {
		clients[i] = (client_t){ .fd = connect_to(&mesh->nodes[0]) };
		g_assert_cmpint(clients[i].fd, >=, 0);
		head = g_strdup_printf(
		    "POST /crowd HTTP/1.1\r\nHost: bodies.test\r\n"
		    "Request-Id: crowd-%u\r\n%s\r\n\r\n",
		    i, crowd->framing);
		g_assert_cmpint(send(clients[i].fd, head, strlen(head), 0), ==,
		    (ssize_t)strlen(head));
		g_free(head);
	}
	send_crowd(crowd, clients);
	expect_answered(&mesh->nodes[0], 5);
	expect_within_bounds(mesh);
	for (i = 0; i < CLIENTS; i++) {
		if (clients[i].fd >= 0)
			close(clients[i].fd);
	}
	expect_answered(&mesh->nodes[0], 5);
	expect_within_bounds(mesh);
	mesh_stop(mesh);
}

static void
run_length(order_t order)
{
	char *framing = g_strdup_printf("Content-Length: %zu", BODY_BYTES_MAX);
	const crowd_t crowd = { framing, "x", 1, BODY_BYTES_MAX - 1, order };

	run_crowd(&crowd);
	g_free(framing);
}

static void
test_whole(void)
{
	run_length(ORDER_WHOLE);
}

static void
test_pieces(void)
{
	run_length(ORDER_PIECES);
}

/* Bodies of chunks; body_bytes without their framing. */
static void
run_chunks(size_t chunk_bytes, size_t body_bytes)
{
	GString *unit = g_string_new(NULL);
	crowd_t crowd = { .framing = "Transfer-Encoding: chunked",
		.order = ORDER_PIECES };
	size_t i;

	g_string_append_printf(unit, "%zx\r\n", chunk_bytes);
	for (i = 0; i < chunk_bytes; i++)
		g_string_append_c(unit, 'x');
	g_string_append(unit, "\r\n");
	crowd.unit = unit->str;
	crowd.unit_bytes = unit->len;
	crowd.bytes = body_bytes / chunk_bytes * unit->len;
	run_crowd(&crowd);
	g_string_free(unit, TRUE);
}

static void
test_large_chunks(void)
{
	run_chunks(LARGE_CHUNK_BYTES, BODY_BYTES_MAX - LARGE_CHUNK_BYTES);
}

static void
test_small_chunks(void)
{
	run_chunks(SMALL_CHUNK_BYTES, BODY_BYTES_MAX - SMALL_CHUNK_BYTES);
}

static void
test_endless(void)
{
	run_chunks(LARGE_CHUNK_BYTES, FAR_OVER_BYTES);
}

static void
test_announced(void)
{
	char *framing = g_strdup_printf("Content-Length: %zu", FAR_OVER_BYTES);
	const crowd_t crowd = { framing, "x", 1, FAR_OVER_BYTES - 1,
		ORDER_PIECES };

	run_crowd(&crowd);
	g_free(framing);
}

/* A single body of the legal size is served, beside the target and not. */
static void
test_calm(void)
{
	mesh_t *mesh = mesh_start(2, CALM_MEMORY_MB, CALM_BODY_BYTES);

	expect_answered(&mesh->nodes[0], CALM_BODY_BYTES);
	expect_within_bounds(mesh);
	expect_answered(&mesh->nodes[1], CALM_BODY_BYTES);
	expect_within_bounds(mesh);
	mesh_stop(mesh);
}

int
main(int argc, char **argv)
{
	(void)signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bodies/whole", test_whole);
	g_test_add_func("/bodies/pieces", test_pieces);
	g_test_add_func("/bodies/large-chunks", test_large_chunks);
	g_test_add_func("/bodies/small-chunks", test_small_chunks);
	g_test_add_func("/bodies/endless", test_endless);
	g_test_add_func("/bodies/announced", test_announced);
	g_test_add_func("/bodies/calm", test_calm);
	return g_test_run();
}
