#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "proxy_fixture.h"

/* Connections that stop responding but stay open; peers that violate HTTP. */

#define OPEN_CONNECTIONS 4
#define LONG_WAIT_MS 20000
#define SHORT_WAIT_MS 20 /* where no response is required */

static const mesh_options_t one_target = {
	.targets = 1,
	.threads = 1,
	.slots = 8,
	.queue_ms = 1000,
};

static void
call_with_deadline(mesh_t *mesh, const char *path, response_t *response)
{
	mesh_publish_without_history(mesh);
	mesh_call(mesh,
	    &(request_t){
		.path = path, .headers = { "Basilfork-Deadline-Ms: 500" } },
	    response);
}

/* The target stops responding on open connections, but not on new ones. */
static void
test_dead_connections_fail_one_call_only(void)
{
	call_batch_t batch = { .path = "/a/short" };
	response_t response;
	mesh_t mesh;
	int i;

	mesh_open(&mesh, &one_target);
	batch.mesh = &mesh;
	mesh_call_concurrently(&batch, OPEN_CONNECTIONS);
	g_assert_cmpint(batch.answered, ==, OPEN_CONNECTIONS);
	g_assert_cmpint(mesh.targets[0]->connections, >, 1);
	mesh.targets[0]->epoch++;
	call_with_deadline(&mesh, "/a/ok", &response);
	g_assert_cmpstr(response.outcome, ==, "unknown");
	g_assert_cmpstr(response.reason, ==, "deadline");
	response_clear(&response);
	for (i = 0; i < OPEN_CONNECTIONS; i++) {
		call_with_deadline(&mesh, "/a/ok", &response);
		g_assert_cmpstr(response.outcome, ==, "answered");
		response_clear(&response);
	}
	mesh_close(&mesh);
}

static void
test_at_most_once_calls_use_new_connections(void)
{
	response_t response;
	mesh_t mesh;
	int i;

	mesh_open(&mesh,
	    &(mesh_options_t){ .targets = 1,
		.threads = 1,
		.slots = 8,
		.fresh_at_most_once = true });
	for (i = 0; i < 5; i++) {
		mesh_call(
		    &mesh, &(request_t){ .path = "/charge/ok" }, &response);
		g_assert_cmpstr(response.outcome, ==, "answered");
		response_clear(&response);
		mesh.targets[0]->epoch++;
	}
	g_assert_cmpint(mesh.targets[0]->runs, ==, 5);
	g_assert_cmpint(mesh.targets[0]->connections, ==, 5);
	mesh_close(&mesh);
}

static void
append_headers(GString *text, int count, int bytes)
{
	int i;

	for (i = 0; i < count; i++) {
		g_string_append_printf(text, "X-%d: ", i);
		g_string_set_size(text, text->len + (gsize)bytes);
		memset(text->str + text->len - bytes, 'v', (size_t)bytes);
		g_string_append(text, "\r\n");
	}
}

static int
status_of(const GString *raw_response)
{
	int status;

	status = 0;
	(void)sscanf(raw_response->str, "HTTP/1.1 %d", &status);
	return status;
}

static void
test_malformed_requests_are_refused(void)
{
	static const struct {
		/* The request line, the headers besides Host, the body. */
		const char *line, *header_lines, *body;
		int status; /* 0: closed without a response */
		int header_count, header_bytes; /* generated headers */
	} cases[] = {
		{ "POST /a/ok HTTP/1.1",
		    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		    "0\r\n\r\n", 400, 0, 0 },
		{ "POST /a/ok HTTP/1.1",
		    "Content-Length: 5\r\nContent-Length: 6\r\n", "hello", 400,
		    0, 0 },
		{ "POST /a/ok HTTP/1.1", "Content-Length: x\r\n", "", 400, 0,
		    0 },
		{ "POST /a/ok HTTP/1.1", "Content-Length: -1\r\n", "", 400, 0,
		    0 },
		{ "POST /a/ok HTTP/1.1", "Transfer-Encoding: gzip\r\n", "", 400,
		    0, 0 },
		{ "POST /a/ok HTTP/1.1",
		    "Transfer-Encoding: chunked\r\n"
		    "Transfer-Encoding: chunked\r\n",
		    "0\r\n\r\n", 400, 0, 0 },
		{ "G@T /a/ok HTTP/1.1", "", "", 400, 0, 0 },
		{ "GET http://permits/a HTTP/1.1", "", "", 400, 0, 0 },
		{ "GET /a#b HTTP/1.1", "", "", 400, 0, 0 },
		{ "GET /a/ok HTTP/1.1", "X-A\x01: 1\r\n", "", 400, 0, 0 },
		{ "GET /a/ok HTTP/1.1", "X-A: \x01\r\n", "", 400, 0, 0 },
		{ "GET /a/ok HTTP/1.1", "Host: other\r\n", "", 400, 0, 0 },
		{ "GET /a/ok HTTP/1.1", "", "", 431, 101, 2 },
		{ "GET /a/ok HTTP/1.1", "", "", 431, 10, 2000 },
		{ "GET /a/ok HTTP/1.1", "", "", 431, 10, 10000 },
		/* Truncated or malformed bodies. */
		{ "POST /a/ok HTTP/1.1", "Content-Length: 10\r\n", "abc", 0, 0,
		    0 },
		{ "POST /a/ok HTTP/1.1", "Transfer-Encoding: chunked\r\n",
		    "zz\r\nabc", 400, 0, 0 },
	};
	GString *text, *raw_response;
	response_t response;
	mesh_t mesh;
	size_t i;

	mesh_open(&mesh, &one_target);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_string_new(NULL);
		g_string_append_printf(text, "%s\r\nHost: permits\r\n%s",
		    cases[i].line, cases[i].header_lines);
		append_headers(
		    text, cases[i].header_count, cases[i].header_bytes);
		g_string_append_printf(text, "\r\n%s", cases[i].body);
		raw_response = raw_exchange(bf_proxy_caller_port(mesh.entry),
		    text->str, text->len, LONG_WAIT_MS);
		if (status_of(raw_response) != cases[i].status)
			g_test_message("case %zu: %s", i, raw_response->str);
		g_assert_cmpint(status_of(raw_response), ==, cases[i].status);
		g_string_free(raw_response, TRUE);
		raw_response =
		    raw_exchange(bf_proxy_mesh_port(mesh.target_nodes[0]),
			text->str, text->len, LONG_WAIT_MS);
		g_assert_cmpint(status_of(raw_response), !=, 200);
		g_string_free(raw_response, TRUE);
		g_string_free(text, TRUE);
	}
	g_assert_cmpint(mesh.targets[0]->runs, ==, 0);
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_bad_heads_total"), >=, 10);
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_hop1_reason_bad_request_total"), >=,
	    8);
	mesh_call(&mesh, &(request_t){ .path = "/a/ok" }, &response);
	g_assert_cmpstr(response.outcome, ==, "answered");
	response_clear(&response);
	mesh_close(&mesh);
}

/*
 * Sends every prefix of a valid request, and random bytes; --seed of the test
 * program sets the seed.
 */
static void
test_malformed_input_does_not_stop_the_proxy(void)
{
	static const char good[] = "GET /a/ok HTTP/1.1\r\nHost: permits\r\n"
				   "Content-Length: 3\r\n\r\nabc";
	char noise[512];
	GString *raw_response;
	response_t response;
	mesh_t mesh;
	size_t i, j;

	mesh_open(&mesh, &one_target);
	for (i = 0; i < sizeof(good) - 1; i++) {
		raw_response = raw_exchange(
		    bf_proxy_caller_port(mesh.entry), good, i, SHORT_WAIT_MS);
		g_assert_cmpint(status_of(raw_response), !=, 200);
		g_string_free(raw_response, TRUE);
	}
	for (i = 0; i < 50; i++) {
		for (j = 0; j < sizeof(noise); j++)
			noise[j] = (char)g_test_rand_int_range(0, 256);
		for (j = 0; j < 4; j++)
			noise[sizeof(noise) - 4 + j] = "\r\n\r\n"[j];
		raw_response = raw_exchange(bf_proxy_caller_port(mesh.entry),
		    noise, sizeof(noise), SHORT_WAIT_MS);
		g_assert_cmpint(status_of(raw_response), !=, 200);
		g_string_free(raw_response, TRUE);
	}
	mesh_call(&mesh, &(request_t){ .path = "/a/ok" }, &response);
	g_assert_cmpstr(response.outcome, ==, "answered");
	response_clear(&response);
	g_assert_cmpint(mesh.targets[0]->runs, ==, 1);
	mesh_close(&mesh);
}

/*
 * The mesh listener must refuse a call that does not name exactly its own
 * target, and one with an invalid deadline.
 */
static void
test_the_mesh_listener_checks_call_headers(void)
{
	static const struct {
		const char *target, *service, *version, *incarnation, *deadline;
		const char *reason;
	} cases[] = {
		{ "node-0", "permits", "v1", "1", "1000", NULL },
		{ "node-1", "permits", "v1", "1", "1000", "wrong-target" },
		{ "node-0", "scans", "v1", "1", "1000", "wrong-target" },
		{ "node-0", "permits", "v2", "1", "1000", "wrong-target" },
		{ "node-0", "permits", "v1", "2", "1000", "wrong-target" },
		{ "node-0", "permits", "v1", "1x", "1000", "wrong-target" },
		{ "node-0", "permits", "v1", "1", "-5", "bad-request" },
		{ "node-0", "permits", "v1", "1", "", "bad-request" },
		{ "node-0", "permits", "v1", "1", "99999999999999999999999999",
		    "bad-request" },
	};
	char reason[64];
	GString *raw_response;
	char *text;
	mesh_t mesh;
	size_t i;

	mesh_open(&mesh, &one_target);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_strdup_printf("GET /a/ok HTTP/1.1\r\nHost: permits\r\n"
				       "Basilfork-Target: %s\r\n"
				       "Basilfork-Service: %s\r\n"
				       "Basilfork-Version: %s\r\n"
				       "Basilfork-Incarnation: %s\r\n"
				       "Basilfork-Deadline-Ms: %s\r\n"
				       "Basilfork-Queue-Ms: 0\r\n"
				       "Basilfork-Attempt: 1\r\n"
				       "Basilfork-Depth: 0\r\n"
				       "Connection: close\r\n\r\n",
		    cases[i].target, cases[i].service, cases[i].version,
		    cases[i].incarnation, cases[i].deadline);
		raw_response =
		    raw_exchange(bf_proxy_mesh_port(mesh.target_nodes[0]), text,
			strlen(text), LONG_WAIT_MS);
		g_free(text);
		if (cases[i].reason == NULL) {
			g_assert_cmpint(status_of(raw_response), ==, 200);
		} else {
			snprintf(reason, sizeof(reason),
			    "Basilfork-Reason: %s\r\n", cases[i].reason);
			g_assert_nonnull(strstr(raw_response->str, reason));
			g_assert_nonnull(strstr(raw_response->str,
			    "Basilfork-Outcome: not-run\r\n"));
		}
		g_string_free(raw_response, TRUE);
	}
	g_assert_cmpint(mesh.targets[0]->runs, ==, 1);
	mesh_close(&mesh);
}

/*
 * Trailer fields of requests and answers are no part of the head that is sent
 * on, and the connections are used again after them.
 */
static void
test_trailers_are_not_forwarded(void)
{
	static const char text[] =
	    "POST /a/trailers HTTP/1.1\r\nHost: permits\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "3\r\nabc\r\n0\r\nChecksum: 1\r\nX-Late: 2\r\n\r\n"
	    "POST /a/ok HTTP/1.1\r\nHost: permits\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "3\r\nabc\r\n0\r\nX-Body-Bytes: 9\r\n\r\n";
	GString *raw_response;
	const char *second;
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	raw_response = raw_exchange(
	    bf_proxy_caller_port(mesh.entry), text, strlen(text), LONG_WAIT_MS);
	g_assert_cmpint(status_of(raw_response), ==, 200);
	g_assert_null(strstr(raw_response->str, "Checksum"));
	g_assert_null(strstr(raw_response->str, "X-Late"));
	second = strstr(raw_response->str + 1, "HTTP/1.1 200");
	g_assert_nonnull(second);
	g_assert_nonnull(strstr(second, "X-Body-Bytes: 3\r\n"));
	g_assert_cmpint(mesh.targets[0]->runs, ==, 2);
	g_assert_cmpint(mesh.targets[0]->connections, ==, 1);
	g_string_free(raw_response, TRUE);
	mesh_close(&mesh);
}

/* Far below the memory of an instance, above what sockets hold. */
#define ENDLESS_SENT_MAX ((uint64_t)32 << 20)

/* A response without end that is no answer is cut off before it is kept. */
static void
test_endless_responses(void)
{
	static const char *const paths[] = { "/a/endless-head",
		"/a/endless-line", "/a/endless-interim", "/a/endless-trailer" };
	response_t response;
	mesh_t mesh;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		mesh_open(&mesh, &one_target);
		mesh_call(&mesh, &(request_t){ .path = paths[i] }, &response);
		g_test_message("%s: %ld, %" G_GUINT64_FORMAT " bytes", paths[i],
		    response.status, mesh.targets[0]->endless_bytes);
		g_assert_false(response.complete && response.status < 300);
		g_assert_cmpuint(
		    mesh.targets[0]->endless_bytes, <, ENDLESS_SENT_MAX);
		response_clear(&response);
		mesh_close(&mesh);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/faults/silent", test_dead_connections_fail_one_call_only);
	g_test_add_func(
	    "/faults/fresh", test_at_most_once_calls_use_new_connections);
	g_test_add_func("/faults/endless", test_endless_responses);
	g_test_add_func("/faults/trailers", test_trailers_are_not_forwarded);
	g_test_add_func("/faults/heads", test_malformed_requests_are_refused);
	g_test_add_func(
	    "/faults/noise", test_malformed_input_does_not_stop_the_proxy);
	g_test_add_func(
	    "/faults/mesh", test_the_mesh_listener_checks_call_headers);
	return g_test_run();
}
