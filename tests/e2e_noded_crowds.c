/*
 * The crowds of e2e_crowds.c at basilnoded, at the entry of a call and at the
 * node beside its target.
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/resource.h>

#include "base/clock.h"
#include "tests/callers.h"
#include "tests/crowd/clients.h"
#include "tests/crowd/process.h"

#define MEMORY_BYTES_MAX ((uint64_t)160 << 20)
#define DESCRIPTORS 256
/* For the store, other nodes, the target and the process's own listeners. */
#define DESCRIPTORS_FREE_MIN 32
#define CLIENTS 400
#define BODY_BYTES_MAX ((size_t)1 << 20)
#define SAMPLES 30
#define SAMPLE_US 50000
#define CALLER_PORT 21080
#define MESH_PORT 21081

#define HEAD "POST /note HTTP/1.1\r\nHost: " CALLERS_SERVICE "\r\n"
#define UPLOAD "PUT /scan/1 HTTP/1.1\r\nHost: " CALLERS_SERVICE "\r\n"
#define ID "Request-Id: crowd-%u\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define SMALL_CHUNK "4\r\nxxxx\r\n"

#define UNIT(text) .unit = (text), .unit_bytes = sizeof(text) - 1

static const crowd_kind_t kinds[] = {
	{ .name = "silent", .head = "", UNIT("") },
	{ .name = "heads",
	    .head = HEAD ID "X-Long: ",
	    UNIT("x"),
	    .bytes = 8000 },
	{ .name = "short-bodies",
	    .head = HEAD ID "Content-Length: 100\r\n\r\n",
	    UNIT("x"),
	    .bytes = 10 },
	{ .name = "slow-bodies",
	    .head = HEAD ID "Content-Length: 60000\r\n\r\n",
	    UNIT("x"),
	    .bytes = 59999,
	    .piece_bytes = 16,
	    .pause_ms = 200 },
	{ .name = "uploads",
	    .head = UPLOAD ID "Content-Length: 1048576\r\n\r\n",
	    UNIT("x"),
	    .bytes = BODY_BYTES_MAX - 1 },
	{ .name = "small-chunks",
	    .head = UPLOAD ID CHUNKED,
	    UNIT(SMALL_CHUNK),
	    .bytes = BODY_BYTES_MAX },
	{ .name = "announced",
	    .head = UPLOAD ID "Content-Length: 1073741824\r\n\r\n",
	    UNIT("x"),
	    .bytes = 16 * BODY_BYTES_MAX },
	{ .name = "unread-answers",
	    .head = "",
	    UNIT("GET /none HTTP/1.1\r\nHost: none.test\r\n\r\n"),
	    .bytes = BODY_BYTES_MAX,
	    .ignores_answers = true },
};

static struct sockaddr_in
address_of(harness_t *h, unsigned int node, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons(port) };

	g_assert_cmpint(
	    inet_pton(AF_INET, harness_ip(h, node), &address.sin_addr), ==, 1);
	return address;
}

/*
 * The unread bytes are those of all nodes: they listen at the same ports of
 * different addresses, and the crowd is at one of them.
 */
static void
expect_within_bounds(mesh_t *mesh)
{
	static const uint16_t ports[] = { CALLER_PORT, MESH_PORT };
	uint64_t bytes, peak_bytes = 0;
	uint32_t sample, descriptors, peak_descriptors = 0;
	unsigned int i;

	for (sample = 0; sample < SAMPLES; sample++) {
		for (i = 0; i < mesh_node_count(mesh); i++) {
			g_assert_false(
			    harness_has_ended(mesh->nodes[i].process));
			bytes =
			    process_memory_bytes(mesh->nodes[i].process->pid,
				ports, G_N_ELEMENTS(ports));
			descriptors = process_descriptor_count(
			    mesh->nodes[i].process->pid);
			peak_bytes = MAX(peak_bytes, bytes);
			peak_descriptors = MAX(peak_descriptors, descriptors);
		}
		g_usleep(SAMPLE_US);
	}
	g_test_message("peak %" G_GUINT64_FORMAT " bytes, %u descriptors of %d",
	    peak_bytes, peak_descriptors, DESCRIPTORS);
	g_assert_cmpuint(peak_bytes, <=, MEMORY_BYTES_MAX);
	g_assert_cmpuint(
	    peak_descriptors, <=, DESCRIPTORS - DESCRIPTORS_FREE_MIN);
}

/* A crowd at one port of a node; ordinary calls enter at another one too. */
static void
run_crowd(const crowd_kind_t *kind, unsigned int node, uint16_t port)
{
	uint64_t before = process_set_limit(RLIMIT_NOFILE, DESCRIPTORS);
	harness_t *h = harness_new();
	mesh_t *mesh = callers_start_mesh(h, "--slots=20");
	struct sockaddr_in at = address_of(h, node, port);
	struct sockaddr_in entry =
	    address_of(h, CALLERS_ENTRY_NODE, CALLER_PORT);
	struct sockaddr_in other =
	    address_of(h, CALLERS_NEAREST_NODE, CALLER_PORT);
	crowd_t *crowd;

	(void)process_set_limit(RLIMIT_NOFILE, before);
	crowd = crowd_start(&at, kind, 1, CLIENTS);
	expect_within_bounds(mesh);
	crowd_expect_answered(&entry, CALLERS_SERVICE, "/note", 5);
	crowd_expect_answered(&other, CALLERS_SERVICE, "/note", 5);
	expect_within_bounds(mesh);
	crowd_stop(crowd);
	crowd_expect_answered(&entry, CALLERS_SERVICE, "/note", 5);
	expect_within_bounds(mesh);
	mesh_free(mesh);
	harness_free(h);
}

static void
test_entry(gconstpointer kind)
{
	run_crowd(kind, CALLERS_ENTRY_NODE, CALLER_PORT);
}

/* Whoever reaches the port for other nodes. */
static void
test_target_hop(gconstpointer kind)
{
	run_crowd(kind, CALLERS_NEAREST_NODE, MESH_PORT);
}

int
main(int argc, char **argv)
{
	char path[64];
	uint32_t i;

	(void)signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		(void)g_snprintf(
		    path, sizeof(path), "/noded-crowds/%s", kinds[i].name);
		g_test_add_data_func(path, &kinds[i], test_entry);
	}
	g_test_add_data_func(
	    "/noded-crowds/other-hop/heads", &kinds[1], test_target_hop);
	return g_test_run();
}
