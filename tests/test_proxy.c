#include <glib.h>
#include <string.h>

#include "proxy_fixture.h"

/*
 * Outcomes reported to the caller, compared with the calls that the targets
 * received.
 */

/* One worker per node, so that the next call can reuse the connections. */
static const mesh_options_t one_target = {
	.targets = 1,
	.threads = 1,
	.slots = 8,
	.queue_ms = 100,
};

static const mesh_options_t two_targets = {
	.targets = 2,
	.threads = 2,
	.slots = 8,
	.queue_ms = 100,
};

static void
check(mesh_t *mesh, const request_t *request, long status, const char *outcome,
    const char *reason)
{
	response_t response;

	mesh_publish_without_history(mesh);
	mesh_call(mesh, request, &response);
	if (response.status != status ||
	    strcmp(response.outcome, outcome) != 0 ||
	    strcmp(response.reason, reason) != 0)
		g_test_message("%s: %ld %s %s", request->path, response.status,
		    response.outcome, response.reason);
	g_assert_cmpint(response.status, ==, status);
	g_assert_cmpstr(response.outcome, ==, outcome);
	g_assert_cmpstr(response.reason, ==, reason);
	g_assert_true(response.complete);
	response_clear(&response);
}

static void
test_a_call_crosses_both_hops(void)
{
	mesh_t mesh;
	int i;

	mesh_open(&mesh, &one_target);
	for (i = 0; i < 20; i++)
		check(&mesh, &(request_t){ .path = "/permits/1?x=%20" }, 200,
		    "answered", "");
	g_assert_cmpint(mesh.targets[0]->runs, ==, 20);
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_hop1_outcome_answered_total"), ==,
	    20);
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_hop2_outcome_answered_total"), ==,
	    20);
	g_assert_cmpint(mesh.evidence[BF_ENDPOINT_RESULT_OK], ==, 20);
	mesh_close(&mesh);
}

static void
test_each_ending_has_its_outcome_and_reason(void)
{
	static const struct {
		const char *method, *path;
		long status;
		const char *outcome, *reason;
		int runs; /* requests received by the target */
	} cases[] = {
		{ NULL, "/a/close", 502, "unknown", "connection-lost", 1 },
		{ NULL, "/a/fail", 500, "answered", "", 1 },
		{ NULL, "/a/none", 204, "answered", "", 1 },
		{ "HEAD", "/a/ok", 200, "answered", "", 1 },
		{ "DELETE", "/a/ok", 200, "answered", "", 1 },
		/* A refusal without request id may be for another request. */
		{ NULL, "/a/anonymous", 502, "unknown", "target-refused", 1 },
		{ NULL, "/a/refuse", 503, "not-run", "target-refused", 1 },
		/* libcurl would resend it after a reused connection closes. */
		{ NULL, "/a/close", 502, "unknown", "stale-connection", 1 },
		{ NULL, "/a/unframed", 502, "unknown", "unframed-answer", 1 },
		{ NULL, "/a/two-lengths", 502, "unknown", "unframed-answer",
		    1 },
		{ NULL, "/a/crossed", 502, "unknown", "crossed-answer", 1 },
		{ "TRACE", "/a/ok", 400, "not-run", "bad-request", 0 },
	};
	mesh_t mesh;
	size_t i;
	int runs;

	mesh_open(&mesh, &one_target);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		runs = mesh.targets[0]->runs;
		check(&mesh,
		    &(request_t){
			.method = cases[i].method, .path = cases[i].path },
		    cases[i].status, cases[i].outcome, cases[i].reason);
		g_assert_cmpint(
		    mesh.targets[0]->runs - runs, ==, cases[i].runs);
	}
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_resends_stopped_total"), ==, 1);
	mesh_close(&mesh);
}

static void
test_refusals_are_not_run(void)
{
	request_t any = { .path = "/a/ok" };
	bf_error_t err;
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	mesh_set_target(&mesh, 0, BF_TARGET_READY, 2, 8);
	check(&mesh, &any, 503, "not-run", "wrong-target");
	mesh_set_target(&mesh, 0, BF_TARGET_DRAINING, 1, 8);
	check(&mesh, &any, 503, "not-run", "draining");
	mesh_set_target(&mesh, 0, BF_TARGET_ABSENT, 1, 8);
	check(&mesh, &any, 503, "not-run", "no-target");
	g_assert_cmpint(
	    bf_proxy_set_local_target(mesh.target_nodes[0], NULL, &err), ==,
	    BF_OK);
	check(&mesh, &any, 503, "not-run", "no-target");
	/* Nothing listens on port 1. */
	g_assert_cmpint(bf_proxy_set_local_target(mesh.target_nodes[0],
			    &(bf_local_target_t){ .address = "127.0.0.1:1",
				.service = "permits",
				.version = "v1",
				.incarnation = 1,
				.slots = 1,
				.state = BF_TARGET_READY },
			    &err),
	    ==, BF_OK);
	check(&mesh, &any, 503, "not-run", "connect");
	strcpy(mesh.records[0].mesh_address, "127.0.0.1:1");
	mesh.records[0].target_incarnation = 2;
	mesh_publish(&mesh);
	check(&mesh, &any, 503, "not-run", "connect");
	mesh.target_count = 0;
	mesh_publish(&mesh);
	check(&mesh, &any, 503, "not-run", "no-target");
	mesh.target_count = 1;
	g_assert_cmpint(mesh.targets[0]->runs, ==, 0);
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_hop2_reason_wrong_target_total"), ==,
	    1);
	mesh_close(&mesh);
}

/* A target closes within the head of its response. */
static void
test_a_truncated_head_is_no_response(void)
{
	static const char *const paths[] = { "/a/cut-head-line",
		"/a/cut-head-field", "/a/cut-head-empty", "/a/cut-head-body",
		"/a/cut-head-none", "/a/cut-head-chunks" };
	response_t response;
	mesh_t mesh;
	size_t i;

	mesh_open(&mesh, &one_target);
	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		mesh_publish_without_history(&mesh);
		mesh_call(&mesh, &(request_t){ .path = paths[i] }, &response);
		g_test_message("%s: %s", paths[i], response.head->str);
		g_assert_cmpint(response.status, ==, 502);
		g_assert_cmpstr(response.outcome, ==, "unknown");
		response_clear(&response);
	}
	mesh_close(&mesh);
}

static void
test_a_truncated_response_is_not_forwarded_as_complete(void)
{
	static const char *const paths[] = { "/a/cut-length", "/a/cut-chunked",
		"/a/cut-big", "/a/cut-streamed" };
	response_t response;
	mesh_t mesh;
	size_t i;

	mesh_open(&mesh, &one_target);
	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		mesh_call(&mesh, &(request_t){ .path = paths[i] }, &response);
		g_assert_false(response.complete && response.status == 200);
		if (response.complete) {
			g_assert_cmpstr(response.outcome, ==, "unknown");
			g_assert_cmpstr(response.reason, ==, "cut-answer");
		}
		response_clear(&response);
	}
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_hop1_outcome_unknown_total"), ==,
	    G_N_ELEMENTS(paths));
	mesh_close(&mesh);
}

/* The fake target sends a second response after the requested one. */
static void
test_a_late_response_reaches_no_caller(void)
{
	response_t response;
	mesh_t mesh;
	int i;

	mesh_open(&mesh, &one_target);
	for (i = 0; i < 10; i++) {
		mesh_call(&mesh, &(request_t){ .path = "/a/late" }, &response);
		response_clear(&response);
		mesh_call(&mesh,
		    &(request_t){ .path = "/a/ok", .body = "mine" }, &response);
		g_assert_cmpint(response.status, ==, 200);
		g_assert_cmpuint(response.body->len, ==, 64);
		response_clear(&response);
	}
	mesh_close(&mesh);
}

static void
test_hop_by_hop_headers_are_not_forwarded(void)
{
	response_t response;
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	mesh_call(&mesh, &(request_t){ .path = "/a/hop-headers" }, &response);
	g_assert_nonnull(strstr(response.head->str, "X-Public: 1"));
	g_assert_null(strstr(response.head->str, "X-Private"));
	g_assert_null(strstr(response.head->str, "timeout=5"));
	response_clear(&response);
	mesh_close(&mesh);
}

static void
test_request_ids_are_forwarded_or_generated(void)
{
	response_t response;
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	mesh_call(&mesh,
	    &(request_t){
		.path = "/a/ok", .headers = { "X-Request-Id: mine-7" } },
	    &response);
	g_assert_cmpstr(response.request_id, ==, "mine-7");
	g_assert_true(
	    g_hash_table_contains(mesh.targets[0]->run_ids, "mine-7"));
	response_clear(&response);
	mesh_call(&mesh,
	    &(request_t){
		.path = "/a/ok", .headers = { "X-Request-Id: b@d <id>" } },
	    &response);
	g_assert_cmpuint(strlen(response.request_id), ==, 32);
	g_assert_true(g_hash_table_contains(
	    mesh.targets[0]->run_ids, response.request_id));
	response_clear(&response);
	mesh_close(&mesh);
}

static void
test_deadlines_shrink_and_depth_grows(void)
{
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	check(&mesh,
	    &(request_t){ .path = "/a/ok",
		.headers = { "Basilfork-Deadline-Ms: 5000",
		    "Basilfork-Depth: 3" } },
	    200, "answered", "");
	g_assert_cmpint(mesh.targets[0]->deadline_ms, <, 5000);
	g_assert_cmpint(mesh.targets[0]->deadline_ms, >, 1000);
	g_assert_cmpint(mesh.targets[0]->depth, ==, 4);
	check(&mesh,
	    &(request_t){ .path = "/a/silent",
		.headers = { "Basilfork-Deadline-Ms: 200" } },
	    504, "unknown", "deadline");
	check(&mesh,
	    &(request_t){
		.path = "/a/ok", .headers = { "Basilfork-Deadline-Ms: 0" } },
	    503, "not-run", "deadline");
	g_assert_cmpint(mesh.targets[0]->runs, ==, 2);
	mesh_close(&mesh);
}

static void
test_a_caller_disconnect_cancels_the_call(void)
{
	response_t response;
	mesh_t mesh;

	mesh_open(&mesh, &one_target);
	mesh_call(&mesh, &(request_t){ .path = "/a/silent", .timeout_ms = 200 },
	    &response);
	g_assert_false(response.complete);
	response_clear(&response);
	wait_until(mesh.targets[0]->cancelled == 1);
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_hop1_outcome_cancelled_total"), ==,
	    1);
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_hop2_outcome_cancelled_total"), ==,
	    1);
	mesh_close(&mesh);
}

static void
test_only_repeatable_calls_run_twice(void)
{
	mesh_t mesh;
	int runs;

	mesh_open(&mesh, &two_targets);
	check(&mesh, &(request_t){ .path = "/charge/close", .method = "POST" },
	    502, "unknown", "connection-lost");
	g_assert_cmpint(mesh.targets[0]->runs + mesh.targets[1]->runs, ==, 1);
	check(&mesh, &(request_t){ .path = "/look-up/close" }, 502, "unknown",
	    "connection-lost");
	runs = mesh.targets[0]->runs + mesh.targets[1]->runs;
	g_assert_cmpint(runs, ==, 3);
	/* For a nested call only the outermost call is retried. */
	check(&mesh,
	    &(request_t){
		.path = "/look-up/close", .headers = { "Basilfork-Depth: 1" } },
	    502, "unknown", "connection-lost");
	g_assert_cmpint(
	    mesh.targets[0]->runs + mesh.targets[1]->runs, ==, runs + 1);
	g_assert_cmpuint(mesh_counter(&mesh, "bf_proxy_retries_total"), ==, 1);
	mesh_close(&mesh);
}

static void
test_a_refused_call_is_retried_with_its_body(void)
{
	response_t response;
	char *digest;
	mesh_t mesh;
	int i;

	mesh_open(&mesh,
	    &(mesh_options_t){ .targets = 2,
		.threads = 2,
		.slots = 8,
		.retry_share_ppm = 1000000 });
	mesh_set_target(&mesh, 0, BF_TARGET_DRAINING, 1, 8);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, "12 EUR", -1);
	for (i = 0; i < 40; i++) {
		mesh_publish_without_history(&mesh);
		mesh_call(&mesh,
		    &(request_t){ .path = "/charge/ok", .body = "12 EUR" },
		    &response);
		g_assert_cmpstr(response.outcome, ==, "answered");
		g_assert_cmpstr(response.body->str, ==, digest);
		response_clear(&response);
	}
	g_free(digest);
	g_assert_cmpint(mesh.targets[0]->runs, ==, 0);
	g_assert_cmpint(mesh.targets[1]->runs, ==, 40);
	g_assert_cmpint(mesh.evidence[BF_ENDPOINT_RESULT_OK], ==, 40);
	g_assert_cmpint(mesh.evidence[BF_ENDPOINT_RESULT_NOT_RUN], >, 0);
	mesh_close(&mesh);
}

static void
test_retries_are_a_share_of_the_calls(void)
{
	response_t response;
	mesh_t mesh;
	int i;

	mesh_open(
	    &mesh, &(mesh_options_t){ .targets = 2, .threads = 1, .slots = 8 });
	for (i = 0; i < 200; i++) {
		mesh_publish_without_history(&mesh);
		mesh_call(
		    &mesh, &(request_t){ .path = "/a/refuse" }, &response);
		g_assert_cmpstr(response.outcome, ==, "not-run");
		response_clear(&response);
	}
	/* A tenth of 200 calls, and the initial budget of ten. */
	g_assert_cmpuint(mesh_counter(&mesh, "bf_proxy_retries_total"), <=, 30);
	g_assert_cmpuint(mesh_counter(&mesh, "bf_proxy_retries_total"), >=, 1);
	g_assert_cmpint(mesh.targets[0]->runs + mesh.targets[1]->runs, <=, 230);
	mesh_close(&mesh);
}

static void
test_slots_bound_the_calls_at_the_target(void)
{
	call_batch_t batch = { .path = "/a/short" };
	mesh_t mesh;

	mesh_open(&mesh,
	    &(mesh_options_t){
		.targets = 1, .threads = 3, .slots = 4, .queue_ms = 10000 });
	batch.mesh = &mesh;
	mesh_call_concurrently(&batch, 10);
	g_assert_cmpint(batch.answered, ==, 10);
	g_assert_cmpint(mesh.targets[0]->in_flight_max, <=, 4);
	g_assert_cmpuint(mesh_counter(&mesh, "bf_proxy_queued_total"), >, 0);
	mesh_close(&mesh);
}

static void
test_calls_without_a_slot_are_refused_as_not_run(void)
{
	call_batch_t batch = { .path = "/a/slow" };
	mesh_t mesh;

	mesh_open(
	    &mesh, &(mesh_options_t){ .targets = 1, .threads = 2, .slots = 2 });
	batch.mesh = &mesh;
	mesh_call_concurrently(&batch, 20);
	g_assert_cmpint(batch.answered + batch.refused, ==, 20);
	g_assert_cmpint(batch.refused, >, 0);
	g_assert_cmpint(mesh.targets[0]->runs, ==, batch.answered);
	g_assert_cmpint(mesh.targets[0]->in_flight_max, <=, 2);
	g_assert_cmpuint(
	    mesh_counter(&mesh, "bf_proxy_hop2_reason_overloaded_total"), >, 0);
	mesh_close(&mesh);
}

static void
test_tables_change_during_calls(void)
{
	call_batch_t batch = { .path = "/a/short" };
	mesh_t mesh;
	GThread *caller;
	int i, j;

	mesh_open(&mesh, &two_targets);
	batch.mesh = &mesh;
	for (i = 0; i < 20; i++) {
		caller = g_thread_new("caller", mesh_batch_call, &batch);
		for (j = 0; j < 10; j++)
			mesh_publish(&mesh);
		mesh_publish_without_history(&mesh);
		g_thread_join(caller);
	}
	g_assert_cmpint(batch.answered, ==, 20);
	mesh_close(&mesh);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/proxy/two-hops", test_a_call_crosses_both_hops);
	g_test_add_func(
	    "/proxy/outcomes", test_each_ending_has_its_outcome_and_reason);
	g_test_add_func("/proxy/refusals", test_refusals_are_not_run);
	g_test_add_func("/proxy/cut-answers",
	    test_a_truncated_response_is_not_forwarded_as_complete);
	g_test_add_func(
	    "/proxy/cut-head", test_a_truncated_head_is_no_response);
	g_test_add_func(
	    "/proxy/late-answer", test_a_late_response_reaches_no_caller);
	g_test_add_func(
	    "/proxy/hop-by-hop", test_hop_by_hop_headers_are_not_forwarded);
	g_test_add_func(
	    "/proxy/request-id", test_request_ids_are_forwarded_or_generated);
	g_test_add_func(
	    "/proxy/deadline", test_deadlines_shrink_and_depth_grows);
	g_test_add_func(
	    "/proxy/cancel", test_a_caller_disconnect_cancels_the_call);
	g_test_add_func(
	    "/proxy/repeatable", test_only_repeatable_calls_run_twice);
	g_test_add_func(
	    "/proxy/elsewhere", test_a_refused_call_is_retried_with_its_body);
	g_test_add_func("/proxy/budget", test_retries_are_a_share_of_the_calls);
	g_test_add_func(
	    "/proxy/slots", test_slots_bound_the_calls_at_the_target);
	g_test_add_func("/proxy/overload",
	    test_calls_without_a_slot_are_refused_as_not_run);
	g_test_add_func("/proxy/tables", test_tables_change_during_calls);
	return g_test_run();
}
