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
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "tests/crowd/clients.h"
#include "tests/crowd/nodes.h"
#include "tests/crowd/process.h"

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
#define CALM_MEMORY_MB 160
#define CALM_BODY_BYTES ((size_t)64 << 20)

typedef enum order {
	ORDER_WHOLE, /* one client after the other */
	ORDER_PIECES /* all clients in turn, a piece each */
} order_t;

/* What each client of a crowd sends after the head. */
typedef struct bodies {
	const char *framing; /* header field that frames the body */
	const char *unit;    /* repeated; the body is cut after bytes */
	size_t unit_bytes;
	size_t bytes;
	order_t order;
} bodies_t;

typedef struct client {
	int fd; /* -1: closed by the node */
	size_t sent_bytes;
} client_t;

static int
connect_to(const node_t *node)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	if (connect(fd, (const struct sockaddr *)&node->callers,
		sizeof(node->callers)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static void
expect_answered(const node_t *node, size_t body_bytes)
{
	crowd_expect_answered(
	    &node->callers, NODES_HOST, "/ordinary", body_bytes);
}

static nodes_t *
start(uint32_t node_count, uint32_t memory_mb, size_t body_bytes_max)
{
	const nodes_options_t options = {
		.node_count = node_count,
		.memory_mb = memory_mb,
		.connections_max = CONNECTIONS_MAX,
		.body_bytes_max = body_bytes_max,
	};

	return nodes_start(&options);
}

static void
expect_within_bounds(nodes_t *nodes)
{
	uint64_t memory_bytes =
	    (uint64_t)nodes->options.memory_mb * 1024 * 1024;
	const node_t *node;
	uint32_t i;

	nodes_expect_alive(nodes);
	for (i = 0; i < nodes->options.node_count; i++) {
		node = &nodes->node[i];
		g_test_message("node %u: peak %" G_GUINT64_FORMAT
			       " bytes of %" G_GUINT64_FORMAT
			       ", %u descriptors",
		    i, process_peak_resident_bytes(node->pid), memory_bytes,
		    process_descriptor_count(node->pid));
		g_assert_cmpuint(process_descriptor_count(node->pid), <=,
		    CONNECTIONS_MAX + OTHER_DESCRIPTORS_MAX);
		g_assert_cmpuint(
		    process_peak_resident_bytes(node->pid), <=, memory_bytes);
		g_assert_cmpuint(
		    nodes_memory_bytes(nodes, i), <=, memory_bytes);
	}
}

/* Sends up to bytes of the body; false if none can be sent now. */
static bool
send_some(const bodies_t *bodies, client_t *client, size_t bytes)
{
	static char buffer[LARGE_CHUNK_BYTES * 2];
	size_t i, at;
	ssize_t n;

	if (client->fd < 0 || client->sent_bytes == bodies->bytes)
		return false;
	if (bytes > bodies->bytes - client->sent_bytes)
		bytes = bodies->bytes - client->sent_bytes;
	if (bytes > sizeof(buffer))
		bytes = sizeof(buffer);
	at = client->sent_bytes % bodies->unit_bytes;
	for (i = 0; i < bytes; i++)
		buffer[i] = bodies->unit[(at + i) % bodies->unit_bytes];
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
send_round(const bodies_t *bodies, client_t *clients)
{
	bool progress = false;
	uint32_t i;

	for (i = 0; i < CLIENTS; i++) {
		if (bodies->order == ORDER_PIECES) {
			if (send_some(bodies, &clients[i], PIECE_BYTES))
				progress = true;
			continue;
		}
		while (send_some(bodies, &clients[i], SIZE_MAX))
			progress = true;
		/* The next client begins when this one has ended. */
		if (progress)
			break;
	}
	return progress;
}

/* Sends until all is sent, refused or held up by the node. */
static void
send_crowd(const bodies_t *bodies, client_t *clients)
{
	uint32_t still_ms = 0;

	while (still_ms < STANDSTILL_MS) {
		if (send_round(bodies, clients)) {
			still_ms = 0;
			continue;
		}
		g_usleep(10000);
		still_ms += 10;
	}
}

static void
run_crowd(const bodies_t *bodies)
{
	nodes_t *nodes = start(1, MEMORY_MB, BODY_BYTES_MAX);
	client_t clients[CLIENTS];
	char *head;
	uint32_t i;

	for (i = 0; i < CLIENTS; i++) {
		clients[i] = (client_t){ .fd = connect_to(&nodes->node[0]) };
		g_assert_cmpint(clients[i].fd, >=, 0);
		head = g_strdup_printf(
		    "POST /crowd HTTP/1.1\r\nHost: bodies.test\r\n"
		    "Request-Id: crowd-%u\r\n%s\r\n\r\n",
		    i, bodies->framing);
		g_assert_cmpint(send(clients[i].fd, head, strlen(head), 0), ==,
		    (ssize_t)strlen(head));
		g_free(head);
	}
	send_crowd(bodies, clients);
	expect_answered(&nodes->node[0], 5);
	expect_within_bounds(nodes);
	for (i = 0; i < CLIENTS; i++) {
		if (clients[i].fd >= 0)
			close(clients[i].fd);
	}
	expect_answered(&nodes->node[0], 5);
	expect_within_bounds(nodes);
	nodes_stop(nodes);
}

static void
run_length(order_t order)
{
	char *framing = g_strdup_printf("Content-Length: %zu", BODY_BYTES_MAX);
	const bodies_t bodies = { framing, "x", 1, BODY_BYTES_MAX - 1, order };

	run_crowd(&bodies);
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
	bodies_t bodies = { .framing = "Transfer-Encoding: chunked",
		.order = ORDER_PIECES };
	size_t i;

	g_string_append_printf(unit, "%zx\r\n", chunk_bytes);
	for (i = 0; i < chunk_bytes; i++)
		g_string_append_c(unit, 'x');
	g_string_append(unit, "\r\n");
	bodies.unit = unit->str;
	bodies.unit_bytes = unit->len;
	bodies.bytes = body_bytes / chunk_bytes * unit->len;
	run_crowd(&bodies);
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
	const bodies_t bodies = { framing, "x", 1, FAR_OVER_BYTES - 1,
		ORDER_PIECES };

	run_crowd(&bodies);
	g_free(framing);
}

/* A single body of the legal size is served, beside the target and not. */
static void
test_calm(void)
{
	nodes_t *nodes = start(2, CALM_MEMORY_MB, CALM_BODY_BYTES);

	expect_answered(&nodes->node[0], CALM_BODY_BYTES);
	expect_within_bounds(nodes);
	expect_answered(&nodes->node[1], CALM_BODY_BYTES);
	expect_within_bounds(nodes);
	nodes_stop(nodes);
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
