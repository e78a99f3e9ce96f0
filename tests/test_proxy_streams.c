#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "proxy_fixture.h"

/* Streamed bodies, and draining during an upload. */

#define MB ((uint64_t)1000000)
#define UPLOAD_BYTES (200 * MB)
#define MEMORY_KB_MAX INT64_C(32768)

static const mesh_options_t one_target = {
	.targets = 1,
	.threads = 2,
	.slots = 8,
};

/* The digest that the fake target must return for a generated body. */
static char *
digest_of(uint64_t bytes)
{
	char block[10000], *text;
	GChecksum *sum;

	memset(block, 'u', sizeof(block));
	sum = g_checksum_new(G_CHECKSUM_SHA256);
	for (; bytes > 0; bytes -= sizeof(block))
		g_checksum_update(sum, (guchar *)block, sizeof(block));
	text = g_strdup(g_checksum_get_string(sum));
	g_checksum_free(sum);
	return text;
}

static void
check_upload(mesh_t *mesh, const request_t *request)
{
	response_t response;
	char *digest;

	mesh_call(mesh, request, &response);
	g_assert_true(response.complete);
	g_assert_cmpint(response.status, ==, 200);
	digest = digest_of(request->stream_bytes);
	g_assert_cmpstr(response.body->str, ==, digest);
	g_free(digest);
	response_clear(&response);
}

static int64_t
peak_memory_kb(void)
{
	char line[256];
	int64_t kb;
	FILE *in;

	kb = -1;
	in = fopen("/proc/self/status", "r");
	while (fgets(line, sizeof(line), in) != NULL)
		if (sscanf(line, "VmHWM: %" SCNd64, &kb) == 1)
			break;
	fclose(in);
	return kb;
}

/* Measures the whole test process: nodes, target and caller together. */
static void
test_large_bodies_need_little_memory(void)
{
	response_t response;
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	check_upload(&mesh,
	    &(request_t){ .path = "/roster/scan",
		.method = "POST",
		.stream_bytes = UPLOAD_BYTES });
	mesh_call(&mesh, &(request_t){ .path = "/a/big" }, &response);
	g_assert_true(response.complete);
	g_assert_cmpuint(response.body_bytes, ==, 50 * MB);
	response_clear(&response);
	g_assert_cmpuint(mesh_counter(&mesh, "bf_proxy_request_bytes_total"),
	    ==, 2 * UPLOAD_BYTES);
/* A sanitizer multiplies the memory use of the process. */
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
	g_assert_cmpint(peak_memory_kb(), <, MEMORY_KB_MAX);
#endif
	g_assert_cmpint(peak_memory_kb(), >, 0);
	mesh_close(&mesh);
}

static void
test_uploads_without_a_length(void)
{
	response_t response;
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	check_upload(&mesh,
	    &(request_t){ .path = "/roster/scan",
		.method = "POST",
		.stream_bytes = 5 * MB,
		.chunked = true });
	check_upload(&mesh,
	    &(request_t){ .path = "/a/small",
		.method = "POST",
		.stream_bytes = 10000,
		.chunked = true });
	mesh_call(&mesh,
	    &(request_t){ .path = "/a/long",
		.method = "POST",
		.stream_bytes = 5 * MB,
		.chunked = true },
	    &response);
	g_assert_cmpint(response.status, ==, 413);
	g_assert_cmpstr(response.reason, ==, "body-too-large");
	response_clear(&response);
	mesh_call(&mesh,
	    &(request_t){
		.path = "/a/long", .method = "POST", .stream_bytes = 9 * MB },
	    &response);
	g_assert_cmpint(response.status, ==, 413);
	response_clear(&response);
	g_assert_cmpint(mesh.targets[0]->runs, ==, 2);
	mesh_close(&mesh);
}

/*
 * The refusal arrives before any of the body is sent, so the retry sends the
 * whole body.
 */
static void
test_a_refused_upload_is_retried_whole(void)
{
	mesh_t mesh;
	int i;

	mesh_open(&mesh,
	    &(mesh_options_t){ .targets = 2,
		.threads = 1,
		.slots = 8,
		.retry_share_ppm = 1000000 });
	mesh_set_target(&mesh, 0, BF_TARGET_DRAINING, 1, 8);
	for (i = 0; i < 20; i++) {
		mesh_publish_without_history(&mesh);
		check_upload(&mesh,
		    &(request_t){ .path = "/roster/scan",
			.method = "POST",
			.stream_bytes = MB });
	}
	g_assert_cmpint(mesh.targets[0]->runs, ==, 0);
	g_assert_cmpint(mesh.targets[1]->runs, ==, 20);
	g_assert_cmpuint(mesh_counter(&mesh, "bf_proxy_retries_total"), >, 0);
	mesh_close(&mesh);
}

static void
test_a_target_lost_during_an_upload_gives_unknown(void)
{
	response_t response;
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	mesh_call(&mesh,
	    &(request_t){ .path = "/roster/die",
		.method = "POST",
		.stream_bytes = 5 * MB },
	    &response);
	g_assert_true(response.complete);
	g_assert_cmpint(response.status, ==, 502);
	g_assert_cmpstr(response.outcome, ==, "unknown");
	response_clear(&response);
	mesh_close(&mesh);
}

static gpointer
upload_slowly(gpointer data)
{
	mesh_t *mesh = data;

	check_upload(mesh,
	    &(request_t){ .path = "/roster/scan",
		.method = "POST",
		.stream_bytes = 20 * MB,
		.pause_us = 1000 });
	return NULL;
}

static void
test_a_drain_completes_uploads(void)
{
	GThread *uploader;
	response_t response;
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	uploader = g_thread_new("uploader", upload_slowly, &mesh);
	wait_until(bf_counters_sum(mesh.counters,
		       bf_counters_register(mesh.counters,
			   "bf_proxy_request_bytes_total")) > MB);
	bf_proxy_drain(mesh.entry);
	bf_proxy_drain(mesh.target_nodes[0]);
	g_assert_cmpuint(bf_proxy_in_flight(mesh.entry), >=, 1);
	mesh_call(&mesh, &(request_t){ .path = "/a/ok" }, &response);
	g_assert_cmpint(response.status, ==, 503);
	g_assert_cmpstr(response.outcome, ==, "not-run");
	g_assert_cmpstr(response.reason, ==, "draining");
	g_assert_true(response.closes_connection);
	response_clear(&response);
	g_thread_join(uploader);
	wait_until(bf_proxy_in_flight(mesh.entry) == 0);
	g_assert_cmpint(mesh.targets[0]->runs, ==, 1);
	mesh_close(&mesh);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/streams/memory", test_large_bodies_need_little_memory);
	g_test_add_func("/streams/unsized", test_uploads_without_a_length);
	g_test_add_func(
	    "/streams/elsewhere", test_a_refused_upload_is_retried_whole);
	g_test_add_func("/streams/target-dies",
	    test_a_target_lost_during_an_upload_gives_unknown);
	g_test_add_func(
	    "/streams/planned-stop", test_a_drain_completes_uploads);
	return g_test_run();
}
