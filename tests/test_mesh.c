#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/mesh_fixture.h"

/*
 * Mesh nodes with scripted targets: which answers callers get and which calls
 * targets run, for each way in which a call can fail.
 */

#define CONFIG                           \
	"5\n"                            \
	"/read/ safe shop 800 200 2 2\n" \
	"/pay/ unsafe shop 800 200 2 1\n"

#define WAIT_US (3 * BF_US_PER_S)
#define TIMEOUT_MS 800
#define SETTLE_US (150 * BF_US_PER_MS)

static mesh_fixture_t *
new_configured(uint32_t nodes)
{
	mesh_fixture_t *fixture = fixture_new(nodes);

	fixture_configure(fixture, CONFIG);
	return fixture;
}

/* Sends a call to node 0 and waits until it has ended. */
static test_call_t
send_and_await(mesh_fixture_t *fixture, const char *method, const char *path,
    const char *id)
{
	test_call_t call;

	fixture_send(fixture, &call, 0, method, path, id, TIMEOUT_MS, 0);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	return call;
}

static void
set_behaviour(mesh_fixture_t *fixture, target_behaviour_t behaviour)
{
	uint32_t i;

	for (i = 0; i < fixture->node_count; i++)
		fixture->targets[i].behaviour = behaviour;
}

static void
test_answered(void)
{
	mesh_fixture_t *fixture = new_configured(3);
	test_call_t call = send_and_await(fixture, "GET", "/read/x?y=1", "c1");

	g_assert_cmpint(call.result, ==, BF_HTTP_ANSWERED);
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpstr(call.body, ==, "whole");
	g_assert_cmpstr(call.id, ==, "c1");
	g_assert_cmpuint(fixture_count_runs(fixture, "c1"), ==, 1);
	fixture_free(fixture);
}

/* The target gets the entry's service and at most the remaining time. */
static void
test_request_fields(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	const target_run_t *run = &fixture->targets[0].runs[0];

	(void)send_and_await(fixture, "GET", "/read/x", "c1");
	g_assert_cmpstr(run->caller_service, ==, "shop");
	g_assert_cmpint(run->remaining_ms, >, 0);
	g_assert_cmpint(run->remaining_ms, <=, TIMEOUT_MS);
	fixture_free(fixture);
}

/* A node without a configuration answers 503, not 404. */
static void
test_without_configuration(void)
{
	mesh_fixture_t *fixture = fixture_new(1);
	test_call_t call = send_and_await(fixture, "GET", "/read/x", "c1");

	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpfloat(call.retry_after_s, >, 0);
	fixture_configure(fixture, CONFIG);
	call = send_and_await(fixture, "GET", "/nowhere/x", "c2");
	g_assert_cmpuint(call.status, ==, 404);
	fixture_free(fixture);
}

/* A call that may have run is not reported as not run, and runs once only. */
static void
test_unsafe_once(void)
{
	static const target_behaviour_t behaviours[] = { BEHAVIOUR_CLOSE,
		BEHAVIOUR_WRONG_ID, BEHAVIOUR_TRUNCATE, BEHAVIOUR_FAIL };
	char id[24];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(behaviours); i++) {
		mesh_fixture_t *fixture = new_configured(3);
		test_call_t call;

		set_behaviour(fixture, behaviours[i]);
		(void)snprintf(id, sizeof(id), "c%zu", i);
		call = send_and_await(fixture, "POST", "/pay/x", id);
		g_assert_cmpuint(call.status, ==,
		    behaviours[i] == BEHAVIOUR_FAIL ? 500 : 502);
		g_assert_cmpuint(fixture_count_runs(fixture, id), ==, 1);
		fixture_free(fixture);
	}
}

/* A repeatable call is retried at a second target, but not at a third. */
static void
test_safe_repeated(void)
{
	mesh_fixture_t *fixture = new_configured(4);
	test_call_t call;

	set_behaviour(fixture, BEHAVIOUR_CLOSE);
	call = send_and_await(fixture, "GET", "/read/x", "c1");
	g_assert_cmpuint(call.status, ==, 502);
	g_assert_cmpuint(fixture_count_runs(fixture, "c1"), ==, 2);
	fixture_free(fixture);
}

/* When the retry brings no better result, the first failure is returned. */
static void
test_first_failure_kept(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	test_call_t call;
	uint32_t i;

	set_behaviour(fixture, BEHAVIOUR_FAIL);
	for (i = 0; i < 20; i++) {
		char id[24];

		fixture->targets[i % 2].behaviour = BEHAVIOUR_CLOSE;
		fixture->targets[1 - i % 2].behaviour = BEHAVIOUR_FAIL;
		(void)snprintf(id, sizeof(id), "k%u", i);
		call = send_and_await(fixture, "GET", "/read/x", id);
		g_assert_cmpint(call.result, ==, BF_HTTP_ANSWERED);
		if (call.status == 500) {
			g_assert_cmpstr(call.body, ==, "failed");
			g_assert_cmpstr(call.id, ==, id);
		} else {
			g_assert_cmpuint(call.status, ==, 502);
		}
	}
	fixture_free(fixture);
}

/* A call that its target rejected is refused, or runs at another target. */
static void
test_rejected(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	test_call_t call;

	set_behaviour(fixture, BEHAVIOUR_REJECT);
	call = send_and_await(fixture, "POST", "/pay/x", "c1");
	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpfloat(call.retry_after_s, >, 0);
	g_assert_cmpuint(fixture_count_runs(fixture, "c1"), ==, 0);
	fixture->targets[1].behaviour = BEHAVIOUR_ANSWER;
	call = send_and_await(fixture, "POST", "/pay/x", "c2");
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpuint(fixture_count_runs(fixture, "c2"), ==, 1);
	fixture_free(fixture);
}

/* A second answer, with the id of another request, is discarded. */
static void
test_extra_answer(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	test_call_t call;
	uint32_t i;

	set_behaviour(fixture, BEHAVIOUR_EXTRA_ANSWER);
	for (i = 0; i < 10; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "e%u", i);
		call = send_and_await(fixture, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
		g_assert_cmpstr(call.id, ==, id);
		g_assert_cmpstr(call.body, ==, "whole");
	}
	fixture_free(fixture);
}

static void
test_unframed_answer(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	test_call_t call;

	set_behaviour(fixture, BEHAVIOUR_UNFRAMED);
	call = send_and_await(fixture, "GET", "/read/x", "c1");
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpstr(call.body, ==, "unframed");
	fixture_free(fixture);
}

/* A target that doesn't answer: 504 at the timeout of the route. */
static void
test_silent_target(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	test_call_t call;

	set_behaviour(fixture, BEHAVIOUR_SILENT);
	call = send_and_await(fixture, "POST", "/pay/x", "c1");
	g_assert_cmpuint(call.status, ==, 504);
	g_assert_cmpint(call.took_us, <, (TIMEOUT_MS + 300) * BF_US_PER_MS);
	fixture_free(fixture);
}

/*
 * A target sends an earlier refusal once more, at the place of the answer to a
 * call that it runs: that call is not reported as not run.
 */
static void
test_repeated_refusal(void)
{
	static const target_behaviour_t behaviours[] = {
		BEHAVIOUR_REPEAT_REFUSAL, BEHAVIOUR_REPEAT_ANONYMOUS_REFUSAL
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(behaviours); i++) {
		mesh_fixture_t *fixture = new_configured(1);
		test_call_t call;

		set_behaviour(fixture, behaviours[i]);
		call = send_and_await(fixture, "POST", "/pay/x", "c1");
		g_assert_cmpuint(call.status, ==, 503);
		g_assert_cmpuint(fixture_count_runs(fixture, "c1"), ==, 0);
		call = send_and_await(fixture, "POST", "/pay/x", "c2");
		g_assert_cmpuint(fixture_count_runs(fixture, "c2"), ==, 1);
		g_assert_cmpuint(call.status, ==, 502);
		fixture_free(fixture);
	}
}

/*
 * A status that tells callers that nothing was run, from a target that does not
 * say so: only a call that may be repeated gets it.
 */
static void
test_busy_after_run(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	test_call_t call;

	set_behaviour(fixture, BEHAVIOUR_FAIL_AS_BUSY);
	call = send_and_await(fixture, "POST", "/pay/x", "c1");
	g_assert_cmpuint(fixture_count_runs(fixture, "c1"), ==, 1);
	g_assert_cmpuint(call.status, ==, 502);
	call = send_and_await(fixture, "GET", "/read/x", "c2");
	g_assert_cmpuint(call.status, ==, 503);
	fixture_free(fixture);
}

/* An answer that ends within its head is no answer. */
static void
test_cut_head(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	test_call_t call;

	set_behaviour(fixture, BEHAVIOUR_CUT_HEAD);
	call = send_and_await(fixture, "POST", "/pay/x", "c1");
	g_assert_cmpuint(call.status, ==, 502);
	call = send_and_await(fixture, "GET", "/read/x", "c2");
	g_assert_cmpuint(call.status, ==, 502);
	fixture_free(fixture);
}

/*
 * Answers that are none were passed on to the caller.  The call may have run,
 * so it gets 502, and it runs only once unless it is repeatable.
 */
static void
test_bad_status_lines(void)
{
	static const char *const lines[] = { "HTTP/1.1 000 Zero",
		"HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/2.0 200 OK",
		"HTTP/1.1  200 OK" };
	mesh_fixture_t *fixture = new_configured(3);
	test_call_t call;
	char id[24];
	size_t i, j;

	set_behaviour(fixture, BEHAVIOUR_STATUS_LINE);
	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		for (j = 0; j < fixture->node_count; j++)
			fixture->targets[j].status_line = lines[i];
		(void)snprintf(id, sizeof(id), "p%zu", i);
		call = send_and_await(fixture, "POST", "/pay/x", id);
		g_assert_cmpuint(call.status, ==, 502);
		g_assert_cmpuint(fixture_count_runs(fixture, id), ==, 1);
		(void)snprintf(id, sizeof(id), "r%zu", i);
		call = send_and_await(fixture, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 502);
	}
	fixture_free(fixture);
}

/*
 * An answer without a length that is reset midway, while the request is still
 * being written, is no complete answer.  The call may have run.
 */
static void
test_reset_during_upload(void)
{
	const size_t body_bytes = (size_t)12 << 20;
	mesh_fixture_t *fixture = new_configured(1);
	test_call_t call;

	/* More than the buffers of the connection to the target take. */
	fixture->nodes[0]->caller_server.limits.body_bytes = body_bytes;
	set_behaviour(fixture, BEHAVIOUR_RESET_UPLOAD);
	fixture_send(
	    fixture, &call, 0, "POST", "/pay/x", "c1", TIMEOUT_MS, body_bytes);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 502);
	g_assert_cmpuint(fixture_count_runs(fixture, "c1"), ==, 1);
	fixture_free(fixture);
}

/*
 * Answers without an end, to several calls at once, are cut off before the
 * node's memory is used up, and as soon as they can be no answer.
 */
static void
test_endless_answers(void)
{
	static const target_behaviour_t behaviours[] = { BEHAVIOUR_ENDLESS_HEAD,
		BEHAVIOUR_ENDLESS_INTERIM, BEHAVIOUR_ENDLESS_BODY,
		BEHAVIOUR_ENDLESS_CHUNK_EXTENSION };
	/* The smallest instance has 160 MB; the process itself needs 32. */
	const uint64_t held_bytes_max = (uint64_t)128 << 20;
	test_call_t calls[TARGET_SLOTS];
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(behaviours); i++) {
		mesh_fixture_t *fixture = new_configured(1);

		set_behaviour(fixture, behaviours[i]);
		for (j = 0; j < TARGET_SLOTS; j++)
			fixture_send(fixture, &calls[j], 0, "POST", "/pay/x",
			    "c1", TIMEOUT_MS, 0);
		g_assert_true(
		    fixture_await(fixture, calls, TARGET_SLOTS, WAIT_US));
		fixture_run(fixture, SETTLE_US);
		g_assert_cmpuint(fixture->targets[0].running, ==, 0);
		g_assert_cmpuint(
		    fixture->targets[0].endless_bytes, <, held_bytes_max);
		for (j = 0; j < TARGET_SLOTS; j++) {
			g_assert_cmpuint(calls[j].status, >=, 502);
			bf_http_client_reset(&calls[j].client);
		}
		fixture_free(fixture);
	}
}

/* A body that is too long to be sent with the offer arrives whole. */
static void
test_long_body(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	test_call_t calls[4];
	uint32_t i;

	(void)fixture_heartbeat(fixture, 0, "v1", true);
	fixture_run(fixture, SETTLE_US);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "c%u", i);
		fixture_send(fixture, &calls[i], 0, "POST", "/pay/x", id,
		    TIMEOUT_MS, 300001);
	}
	g_assert_true(
	    fixture_await(fixture, calls, G_N_ELEMENTS(calls), WAIT_US));
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		g_assert_cmpuint(calls[i].status, ==, 200);
		bf_http_client_reset(&calls[i].client);
	}
	g_assert_cmpuint(fixture->targets[1].run_count, >, 0);
	for (i = 0; i < fixture->targets[1].run_count; i++)
		g_assert_cmpuint(
		    fixture->targets[1].runs[i].body_bytes, ==, 300001);
	fixture_free(fixture);
}

/*
 * A node that is lost before it has all of a body has not run the call, which
 * may then run at another one although it is not repeatable.
 */
static void
test_lost_before_body(void)
{
	mesh_fixture_t *fixture = fixture_new_with_links(4, 1250000);
	test_call_t call;

	fixture_configure(fixture,
	    "5\n"
	    "/pay/ unsafe shop 4000 2000 2 1\n");
	(void)fixture_heartbeat(fixture, 0, "v1", true);
	(void)fixture_heartbeat(fixture, 2, "v1", true);
	(void)fixture_heartbeat(fixture, 3, "v1", true);
	fixture_run(fixture, SETTLE_US);
	fixture_send(fixture, &call, 0, "POST", "/pay/x", "c1", 4000, 1000000);
	fixture_run(fixture, 2 * SETTLE_US);
	g_assert_cmpuint(bf_target_call_count(fixture->nodes[1]), ==, 1);
	g_assert_cmpuint(fixture->targets[1].run_count, ==, 0);
	fixture->targets[2].start_ms++;
	fixture->targets[2].sequence = 0;
	(void)fixture_heartbeat(fixture, 2, "v1", false);
	fixture_run(fixture, SETTLE_US);
	soak_proxy_reset(&fixture->links[1]);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpuint(fixture_count_runs(fixture, "c1"), ==, 1);
	bf_http_client_reset(&call.client);
	fixture_free(fixture);
}

static uint32_t
count_with_version(const mesh_fixture_t *fixture, uint64_t version)
{
	uint32_t count = 0, i;

	for (i = 0; i < fixture->node_count; i++) {
		if (bf_routing_version(fixture->nodes[i]->routing) == version)
			count++;
	}
	return count;
}

/*
 * Five nodes request a long configuration at once over a thin link: answers to
 * calls do not wait until all of them have it.
 */
static void
test_long_configuration(void)
{
	mesh_fixture_t *fixture = fixture_new_with_links(6, 1250000);
	GString *text = g_string_new(CONFIG);
	test_call_t calls[5];
	uint64_t version;
	uint32_t i;

	fixture_configure(fixture, CONFIG);
	for (i = 1; i < 6; i++)
		(void)fixture_heartbeat(fixture, i, "v1", true);
	fixture_run(fixture, SETTLE_US);
	text->str[0] = '6';
	while (text->len < 200000)
		g_string_append(text, "a line that defines no route\n");
	(void)bf_config_source_apply(fixture->nodes[0], text->str, text->len,
	    "test", &version, bf_clock_monotonic_us());
	for (i = 1; i < 6; i++)
		bf_config_source_request(
		    bf_roster_find(fixture->nodes[i], "n0"),
		    bf_clock_monotonic_us());
	fixture_run(fixture, 20 * BF_US_PER_MS);
	for (i = 1; i < 6; i++)
		fixture_send(fixture, &calls[i - 1], i, "GET", "/read/x", "c",
		    TIMEOUT_MS, 0);
	g_assert_true(fixture_await(fixture, calls, 5, WAIT_US));
	g_assert_cmpuint(count_with_version(fixture, 6), <, 1 + 5);
	for (i = 0; i < 5; i++) {
		g_assert_cmpuint(calls[i].status, ==, 200);
		bf_http_client_reset(&calls[i].client);
	}
	for (i = 0; i < 20 && count_with_version(fixture, 6) < 1 + 5; i++)
		fixture_run(fixture, BF_US_PER_S / 2);
	g_assert_cmpuint(count_with_version(fixture, 6), ==, 1 + 5);
	g_string_free(text, TRUE);
	fixture_free(fixture);
}

/* A call that its caller cancels is cancelled at the target. */
static void
test_caller_leaves(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	test_call_t call;

	fixture->targets[0].delay_us = 2 * BF_US_PER_S;
	fixture_send(fixture, &call, 0, "GET", "/read/x", "c1", 5000, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(fixture->targets[0].running, ==, 1);
	bf_http_cancel(&call.exchange);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(fixture->targets[0].running, ==, 0);
	g_assert_true(fixture->targets[0].runs[0].closed_early);
	g_assert_cmpuint(bf_target_call_count(fixture->nodes[0]), ==, 0);
	fixture_free(fixture);
}

/* The target never runs more calls than it has slots. */
static void
test_slots_never_exceeded(void)
{
	enum {
		CALLS = 40
	};
	mesh_fixture_t *fixture = new_configured(1);
	test_call_t calls[CALLS];
	uint32_t served = 0, refused = 0, i;

	fixture->targets[0].delay_us = 60 * BF_US_PER_MS;
	for (i = 0; i < CALLS; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "b%u", i);
		fixture_send(
		    fixture, &calls[i], 0, "POST", "/pay/x", id, TIMEOUT_MS, 0);
	}
	g_assert_true(fixture_await(fixture, calls, CALLS, WAIT_US));
	for (i = 0; i < CALLS; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "b%u", i);
		bf_http_client_reset(&calls[i].client);
		if (calls[i].status == 200) {
			served++;
			continue;
		}
		g_assert_cmpuint(calls[i].status, ==, 503);
		g_assert_cmpuint(fixture_count_runs(fixture, id), ==, 0);
		refused++;
	}
	g_assert_cmpuint(fixture->targets[0].running_max, <=, TARGET_SLOTS);
	g_assert_cmpuint(served, >=, UINT64_C(2) * TARGET_SLOTS);
	g_assert_cmpuint(refused, >, 0);
	fixture_free(fixture);
}

/* A draining target gets no new call once its heartbeat is acknowledged. */
static void
test_draining(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	uint32_t before, i;
	test_call_t call;

	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	before = fixture->targets[0].run_count;
	for (i = 0; i < 20; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "d%u", i);
		call = send_and_await(fixture, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
	}
	g_assert_cmpuint(fixture->targets[0].run_count, ==, before);
	fixture_free(fixture);
}

/* Heartbeats of a former lifetime, or out of order, are ignored. */
static void
test_old_heartbeats(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	fake_target_t *target = &fixture->targets[0];
	uint64_t sequence = target->sequence;

	target->start_ms = 2000;
	target->sequence = 0;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	target->start_ms = 1000;
	target->sequence = sequence + 10;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_READY);
	/* In the same lifetime a lower sequence number is out of order. */
	target->start_ms = 2000;
	target->sequence = 5;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	target->sequence = 2;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_DRAINING);
	/* A target that left does not return in the same lifetime. */
	bf_mesh_target_departed(
	    fixture->nodes[0], target->id, 0, bf_clock_monotonic_us());
	target->sequence = 20;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_DRAINING);
	/* A new lifetime of the same id, with a new sequence. */
	target->start_ms = 3000;
	target->sequence = 0;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_READY);
	fixture_free(fixture);
}

/* A node that restarts still treats a target that left as draining. */
static void
test_left_before_restart(void)
{
	mesh_fixture_t *fixture = new_configured(2);

	bf_mesh_target_departed(fixture->nodes[0], fixture->targets[0].id, 0,
	    bf_clock_monotonic_us());
	fixture_run(fixture, SETTLE_US);
	fixture_restart_node(fixture, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_DRAINING);
	/* A target that was started later is not affected. */
	fixture->targets[0].start_ms += 1000;
	fixture->targets[0].sequence = 0;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	fixture_run(fixture, SETTLE_US); /* its health check */
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_READY);
	fixture_free(fixture);
}

/*
 * As before, but the first heartbeat arrives before the store has returned the
 * record of the former process.
 */
static void
test_left_before_record(void)
{
	mesh_fixture_t *fixture = new_configured(2);

	bf_mesh_target_departed(fixture->nodes[0], fixture->targets[0].id, 0,
	    bf_clock_monotonic_us());
	fixture_run(fixture, SETTLE_US);
	fixture_restart_node(fixture, 0);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_DRAINING);
	fixture_free(fixture);
}

/*
 * The announcement is acknowledged while the store does not answer.  It is
 * recorded soon after the store does, before the node may be restarted.
 */
static void
test_left_while_store_down(void)
{
	mesh_fixture_t *fixture = new_configured(2);

	fixture->store.down = true;
	/* A change that has to be recorded. */
	fixture->nodes[0]->target.presence.heartbeat.slots++;
	bf_registry_update(fixture->nodes[0], bf_clock_monotonic_us());
	fixture_run(fixture, 4 * BF_US_PER_S);
	bf_mesh_target_departed(fixture->nodes[0], fixture->targets[0].id, 0,
	    bf_clock_monotonic_us());
	fixture_run(fixture, 2 * BF_US_PER_S);
	fixture->store.down = false;
	fixture_run(fixture, 1700 * BF_US_PER_MS);
	fixture_restart_node(fixture, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_DRAINING);
	fixture_free(fixture);
}

/*
 * The announcement is acknowledged by a process that gets no answer of the
 * store and is followed by another, which finds the older record of a ready
 * target.  It must not give that target calls.
 */
static void
test_left_unrecorded(void)
{
	mesh_fixture_t *fixture = new_configured(2);

	fixture_run(fixture, SETTLE_US);
	fixture->store.down = true;
	fixture_restart_node(fixture, 0);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	fixture->targets[0].unhealthy = true;
	fixture_run(fixture, SETTLE_US);
	fixture->store.down = false;
	fixture_restart_node(fixture, 0);
	fixture_run(fixture, 2 * BF_US_PER_S);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, !=, BF_TARGET_READY);
	/* Its record still keeps an older heartbeat from being accepted. */
	fixture->targets[0].sequence = 0;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, !=, BF_TARGET_READY);
	fixture_free(fixture);
}

/*
 * The store is down when the announcement is acknowledged, then the node is
 * killed.  A heartbeat sent before the announcement that reaches the node's
 * next process late must not give the target calls again.
 */
static void
test_left_late_heartbeat(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	fake_target_t *target = &fixture->targets[0];

	fixture_run(fixture, SETTLE_US);
	fixture->store.down = true;
	bf_mesh_target_departed(
	    fixture->nodes[0], target->id, 0, bf_clock_monotonic_us());
	target->unhealthy = true;
	fixture_restart_node(fixture, 0);
	fixture_run(fixture, SETTLE_US);
	fixture->store.down = false;
	fixture_run(fixture, 2 * BF_US_PER_S);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, !=, BF_TARGET_READY);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, !=, BF_TARGET_READY);
	/* The same from a target that has not left. */
	target->unhealthy = false;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_READY);
	fixture_free(fixture);
}

/*
 * A target may start again under its id.  The announcement that its former
 * lifetime has left, late, must not take the new one out of use.
 */
static void
test_late_departure(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	fake_target_t *target = &fixture->targets[0];
	bf_time_us_t now_us = bf_clock_monotonic_us();

	target->start_ms = 2000;
	target->sequence = 0;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	bf_mesh_target_departed(fixture->nodes[0], target->id, 1000, now_us);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_READY);
	bf_mesh_target_departed(fixture->nodes[0], target->id, 2000, now_us);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_DRAINING);
	fixture_free(fixture);
}

/*
 * Entries of another writer among the records of the nodes: none may end the
 * process, keep it from reading the others, or cut off a node that is there.
 */
static void
test_odd_records(void)
{
	static const char *const odd[] = { "", "\x01\xff", "[]", "null", "7",
		"{\"address\":7,\"zone\":[],\"incarnation\":{}}",
		"{\"address\":\"127.0.0.1:70000\",\"zone\":\"a\","
		"\"incarnation\":1}",
		"{\"address\":\"127.0.0.1:0\",\"zone\":\"a\","
		"\"incarnation\":1}",
		"{\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
		"\"incarnation\":99999999999999999999}",
		"{\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
		"\"incarnation\":9223372036854775807}",
		"{\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
		"\"incarnation\":-1}" };
	mesh_fixture_t *fixture = new_configured(3);
	g_autofree char *deep = g_strnfill(4000, '[');
	const bf_peer_t *peer;
	test_call_t call;
	char key[32];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		(void)snprintf(key, sizeof(key), "members/odd-%zu", i);
		fixture_put(fixture, key, odd[i]);
	}
	fixture_put(fixture, "members/odd-deep", deep);
	/* In the place of a node's record, and of the reader's own. */
	fixture_put(fixture, "members/n1", odd[9]);
	fixture_put(fixture, "members/n0", odd[6]);
	fixture->nodes[0]->member_step = 2; /* list */
	bf_loop_timer_set(fixture->loop, &fixture->nodes[0]->member_timer,
	    bf_clock_monotonic_us());
	fixture_run(fixture, SETTLE_US);
	peer = bf_roster_find(fixture->nodes[0], "n1");
	g_assert_nonnull(peer);
	g_assert_true(peer->connected);
	g_assert_cmpuint(peer->incarnation, ==, fixture->nodes[1]->incarnation);
	g_assert_cmpuint(fixture->nodes[0]->peer_count, ==, 3);
	call = send_and_await(fixture, "GET", "/read/x", "c1");
	g_assert_cmpuint(call.status, ==, 200);
	/* The own record is written again, so that others can find the node. */
	for (i = 0; i < fixture->store.key_count; i++) {
		if (strcmp(fixture->store.keys[i].key, "members/n0") == 0)
			g_assert_nonnull(
			    strstr(fixture->store.keys[i].data, "\"target\""));
	}
	fixture_free(fixture);
}

/*
 * Texts of a target that take six bytes each in JSON do not overflow the record
 * of its node.
 */
static void
test_long_record(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	bf_own_target_t *target = &fixture->nodes[0]->target;
	size_t i;

	fixture_run(fixture, SETTLE_US);
	memset(target->presence.heartbeat.version, 1,
	    sizeof(target->presence.heartbeat.version) - 1);
	memset(target->presence.heartbeat.id, 1,
	    sizeof(target->presence.heartbeat.id) - 1);
	memset(target->presence.departures[0].id, 1,
	    sizeof(target->presence.departures[0].id) - 1);
	bf_registry_update(fixture->nodes[0], bf_clock_monotonic_us());
	fixture_run(fixture, SETTLE_US);
	for (i = 0; i < fixture->store.key_count; i++) {
		if (strcmp(fixture->store.keys[i].key, "members/n0") != 0)
			continue;
		g_assert_cmpuint(fixture->store.keys[i].data_bytes, >, 1024);
		g_assert_cmpint(
		    fixture->store.keys[i]
			.data[fixture->store.keys[i].data_bytes - 1],
		    ==, '}');
	}
	fixture_free(fixture);
}

/*
 * An odd entry in the place of a move's outcome is overwritten; without that
 * the move could never be completed.
 */
static void
test_odd_outcome(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	size_t i;

	fixture_put(fixture, "ops/move/shop", "shop v2 20000");
	fixture_put(fixture, "out/shop", "\x01 odd");
	fixture_run(fixture, 2 * BF_US_PER_S);
	for (i = 0; i < fixture->store.key_count; i++) {
		if (strcmp(fixture->store.keys[i].key, "out/shop") == 0)
			g_assert_null(
			    strstr(fixture->store.keys[i].data, "odd"));
	}
	fixture_free(fixture);
}

static void
on_stopped(void *ctx)
{
	*(bool *)ctx = true;
}

/* After a restart, a node serves its running target at once. */
static void
test_target_after_restart(void)
{
	mesh_fixture_t *fixture = new_configured(2);

	fixture_run(fixture, SETTLE_US);
	fixture_restart_node(fixture, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_READY);
	g_assert_cmpuint(
	    fixture->nodes[0]->target.queue.slots, ==, TARGET_SLOTS);
	/* It does not serve one that ended meanwhile. */
	bf_listener_close(&fixture->targets[0].listener);
	fixture_restart_node(fixture, 0);
	fixture_run(fixture, SETTLE_US);
	(void)send_and_await(fixture, "GET", "/read/x", "c1");
	(void)send_and_await(fixture, "GET", "/read/x", "c2");
	(void)send_and_await(fixture, "GET", "/read/x", "c3");
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_ABSENT);
	fixture_free(fixture);
}

/*
 * A restarted node finds the record of its former process and writes its own.
 * Its target, which is the recorded one, is no reason for another write.
 */
static void
test_record_written_once(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	uint32_t before;

	fixture_run(fixture, SETTLE_US);
	before = fixture->store.write_count;
	fixture_restart_node(fixture, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_READY);
	g_assert_cmpuint(fixture->store.write_count - before, ==, 2);
	/* That it drains is one. */
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(fixture->store.write_count - before, ==, 3);
	fixture_free(fixture);
}

/* A node accepts calls for its target for a while after the stop signal. */
static void
test_stop_serves_target(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	bool stopped = false;
	bf_peer_t *peer;

	bf_mesh_stop(
	    fixture->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	fixture_run(fixture, SETTLE_US);
	peer = bf_roster_find(fixture->nodes[1], "n0");
	g_assert_false(peer->state.stopping);
	fixture_run(fixture, 1500 * BF_US_PER_MS);
	g_assert_true(peer->state.stopping);
	fixture_free(fixture);
}

/* A stale list without the node's entry doesn't make it write again. */
static void
test_stale_list(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	uint32_t writes;

	fixture_run(fixture, SETTLE_US);
	fixture->store.stale_lists_empty = true;
	writes = fixture->store.write_count;
	bf_mesh_target_departed(fixture->nodes[0], fixture->targets[0].id, 0,
	    bf_clock_monotonic_us());
	fixture_run(fixture, BF_US_PER_S);
	g_assert_cmpuint(fixture->store.write_count - writes, <=, 2);
	fixture_free(fixture);
}

static void
test_version_never_decreases(void)
{
	mesh_fixture_t *fixture = new_configured(2);

	fixture_configure(fixture, "4\n/old/ safe shop 800 200 2 2\n");
	g_assert_cmpuint(bf_routing_version(fixture->nodes[0]->routing), ==, 5);
	fixture_configure(fixture, "broken");
	g_assert_cmpuint(bf_routing_version(fixture->nodes[1]->routing), ==, 5);
	fixture_configure(fixture, "9\n/new/ safe shop 800 200 2 2\n");
	g_assert_cmpuint(bf_routing_version(fixture->nodes[1]->routing), ==, 9);
	fixture_free(fixture);
}

/* After a watch that failed without an event, the node lists the keys. */
static void
test_list_after_watch(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	uint32_t lists;

	fixture->store.drop_watch_events = true;
	fixture_put(fixture, "ops/config", "8\n/late/ safe shop 800 200 2 2\n");
	lists = fixture->store.list_count;
	fixture->store.down = true;
	/* Ends the pending watch, as a broken connection does. */
	bf_kv_watcher_stop(&fixture->nodes[0]->operator_keys);
	fixture->nodes[0]->operator_keys.call.done(
	    &fixture->nodes[0]->operator_keys.call,
	    &(bf_kv_reply_t){ .code = BF_ERR_TIMEOUT },
	    bf_clock_monotonic_us());
	fixture->store.down = false;
	fixture_run(fixture, BF_US_PER_S);
	g_assert_cmpuint(fixture->store.list_count, >, lists);
	g_assert_cmpuint(bf_routing_version(fixture->nodes[0]->routing), ==, 8);
	fixture_free(fixture);
}

/* A node that can't read the store gets the configuration from a peer. */
static void
test_configuration_by_peers(void)
{
	mesh_fixture_t *fixture = new_configured(2);

	bf_kv_watcher_stop(&fixture->nodes[1]->operator_keys);
	fixture_configure(fixture, "9\n/new/ safe shop 800 200 2 2\n");
	fixture_run(fixture, BF_US_PER_S);
	g_assert_cmpuint(bf_routing_version(fixture->nodes[1]->routing), ==, 9);
	fixture_free(fixture);
}

/*
 * A node without a configuration, as after a start without the store, requests
 * it from a peer at once.
 */
static void
test_first_configuration_by_peers(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	bf_mesh_t *node = fixture->nodes[0];

	bf_kv_watcher_stop(&node->operator_keys);
	bf_routing_release(node->routing);
	node->routing = NULL;
	bf_bytes_clear(&node->config);
	g_assert_false(bf_mesh_ready(node));
	fixture_run(fixture, 600 * BF_US_PER_MS);
	g_assert_true(bf_mesh_ready(node));
	fixture_free(fixture);
}

/* Calls are served while the store is down. */
static void
test_store_down(void)
{
	mesh_fixture_t *fixture = new_configured(3);
	test_call_t call;

	fixture->store.down = true;
	fixture_run(fixture, BF_US_PER_S);
	call = send_and_await(fixture, "GET", "/read/x", "c1");
	g_assert_cmpuint(call.status, ==, 200);
	fixture->store.down = false;
	fixture_run(fixture, 2 * BF_US_PER_S);
	g_assert_true(fixture->nodes[0]->store_up);
	fixture_free(fixture);
}

typedef struct pipeline {
	bf_tcp_t tcp; /* first member */
	bf_http_reader_t reader;
	mesh_fixture_t *fixture;
	char ids[8][BF_REQUEST_ID_BYTES];
	uint32_t count;
	uint32_t wanted;
} pipeline_t;

static void
on_pipeline_answer(bf_http_reader_t *reader, bf_http_message_t *message)
{
	pipeline_t *pipeline = BF_CONTAINER(reader, pipeline_t, reader);
	const char *id = bf_http_find(message, "Call-Id");

	(void)snprintf(pipeline->ids[pipeline->count], sizeof(pipeline->ids[0]),
	    "%s", id != NULL ? id : "");
	bf_http_message_free(message);
	if (++pipeline->count == pipeline->wanted)
		bf_loop_stop(pipeline->fixture->loop);
}

static const bf_http_reader_vtable_t pipeline_reader = {
	.message = on_pipeline_answer,
};

static void
on_pipeline_bytes(
    bf_tcp_t *tcp, const uint8_t *data, size_t bytes, bf_time_us_t now_us)
{
	(void)now_us;
	(void)bf_http_reader_feed(
	    &((pipeline_t *)(void *)tcp)->reader, data, bytes);
}

static void
on_pipeline_ended(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	(void)tcp;
	(void)orderly;
	(void)now_us;
}

static const bf_tcp_vtable_t pipeline_tcp = {
	.received = on_pipeline_bytes,
	.ended = on_pipeline_ended,
};

/* Pipelined requests run concurrently and are answered in order. */
static void
test_pipelined(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	pipeline_t pipeline = { .fixture = fixture, .wanted = 4 };
	struct sockaddr_in address = { .sin_family = AF_INET };
	uint32_t i;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port =
	    htons(bf_listener_port(&fixture->nodes[0]->caller_server.listener));
	fixture->targets[0].delay_us = 50 * BF_US_PER_MS;
	bf_http_reader_init(&pipeline.reader, &pipeline_reader, false);
	g_assert_cmpint(bf_tcp_connect(&pipeline.tcp, &pipeline_tcp,
			    fixture->loop, &address, NULL),
	    ==, BF_OK);
	pipeline.fixture = fixture;
	for (i = 0; i < pipeline.wanted; i++)
		bf_bytes_format(&pipeline.tcp.out,
		    "GET /read/x HTTP/1.1\r\nHost: mesh.test\r\n"
		    "Call-Id: p%u\r\nLeft-Ms: 800\r\n\r\n",
		    i);
	bf_tcp_schedule_flush(&pipeline.tcp);
	fixture_run(fixture, WAIT_US);
	g_assert_cmpuint(pipeline.count, ==, 4);
	for (i = 0; i < pipeline.wanted; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "p%u", i);
		g_assert_cmpstr(pipeline.ids[i], ==, id);
	}
	g_assert_cmpuint(fixture->targets[0].running_max, >, 1);
	bf_tcp_close(&pipeline.tcp);
	bf_http_reader_clear(&pipeline.reader);
	fixture_free(fixture);
}

/* A call made by a running call is recognized and has its priority. */
static void
test_inner_call(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	test_call_t call;
	bf_target_call_t *parent;

	fixture->targets[0].delay_us = 300 * BF_US_PER_MS;
	fixture_send(
	    fixture, &call, 0, "GET", "/read/x", "parent", TIMEOUT_MS, 0);
	fixture_run(fixture, SETTLE_US);
	parent = bf_target_find_parent(fixture->nodes[0], "parent.child");
	g_assert_nonnull(parent);
	g_assert_cmpuint(bf_target_call_priority(parent), ==, 2);
	g_assert_null(bf_target_find_parent(fixture->nodes[0], "parent"));
	g_assert_null(bf_target_find_parent(fixture->nodes[0], "parenthood"));
	g_assert_null(bf_target_find_parent(fixture->nodes[0], "other.child"));
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	fixture_free(fixture);
}

/*
 * With learn_capacity the queue follows the estimator, and the reported time is
 * learnt from runs, without the time in which a run waits for its own calls.
 * Without it the estimator stays empty.
 */
static void
test_learnt_capacity(void)
{
	mesh_fixture_t *fixture = new_configured(1);
	bf_mesh_t *mesh = fixture->nodes[0];
	const bf_capacity_t *capacity = &mesh->target.capacity;
	test_call_t call, inner;
	bf_load_t load;
	uint32_t i;

	(void)send_and_await(fixture, "GET", "/read/x", "before");
	g_assert_false(capacity->has_mean);
	mesh->options.learn_capacity = true;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	fixture->targets[0].delay_us = 20 * BF_US_PER_MS;
	for (i = 0; i < 8; i++)
		(void)send_and_await(fixture, "GET", "/read/x", "learnt");
	g_assert_true(capacity->has_mean);
	g_assert_cmpuint(capacity->running, ==, 0);
	load = bf_target_load(mesh, bf_clock_monotonic_us());
	g_assert_cmpuint(load.slots, ==, mesh->target.presence.heartbeat.slots);
	g_assert_cmpuint(load.mean_us, >=, 20 * BF_US_PER_MS);
	fixture->targets[0].delay_us = 300 * BF_US_PER_MS;
	fixture_send(
	    fixture, &call, 0, "GET", "/read/x", "parent", TIMEOUT_MS, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(capacity->running, ==, 1);
	g_assert_cmpuint(capacity->blocked, ==, 0);
	fixture_send(
	    fixture, &inner, 0, "GET", "/read/x", "parent.child", 700, 0);
	fixture_run(fixture, 20 * BF_US_PER_MS);
	g_assert_cmpuint(capacity->running, ==, 2);
	g_assert_cmpuint(capacity->blocked, ==, 1);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	g_assert_true(fixture_await(fixture, &inner, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	bf_http_client_reset(&inner.client);
	g_assert_cmpuint(capacity->running, ==, 0);
	g_assert_cmpuint(capacity->blocked, ==, 0);
	fixture_free(fixture);
}

/*
 * With plan_zones calls stay in the zone of their entry while it serves them,
 * and leave it once it has no targets.  Nodes 0 and 2 are in one zone.
 */
static void
test_planned_zones(void)
{
	mesh_fixture_t *fixture = new_configured(4);
	bf_mesh_t *mesh = fixture->nodes[0];
	test_call_t call;
	uint32_t i;
	char id[24];

	mesh->options.plan_zones = true;
	mesh->options.zone_cost_ppm = 400000;
	for (i = 0; i < 20; i++) {
		(void)snprintf(id, sizeof(id), "own%u", i);
		call = send_and_await(fixture, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
	}
	g_assert_cmpuint(fixture->targets[1].run_count, ==, 0);
	g_assert_cmpuint(fixture->targets[3].run_count, ==, 0);
	g_assert_cmpuint(mesh->zone_plans.count, ==, 1);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(fixture_heartbeat(fixture, 2, "v1", true), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	for (i = 0; i < 5; i++) {
		(void)snprintf(id, sizeof(id), "other%u", i);
		call = send_and_await(fixture, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
	}
	g_assert_cmpuint(
	    fixture->targets[1].run_count + fixture->targets[3].run_count, ==,
	    5);
	fixture_free(fixture);
}

/*
 * A run fails because the target that it calls sheds that call.  Running it
 * again elsewhere would send the call once more, beyond the retry budget of the
 * service that sheds.
 */
static void
test_inner_call_rejected(void)
{
	mesh_fixture_t *fixture = fixture_new(2);
	test_call_t call, inner;

	fixture_configure(fixture, "5\n/read/ safe shop 3000 2000 2 2\n");
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", true), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	fixture->targets[0].delay_us = 600 * BF_US_PER_MS;
	fixture_send(fixture, &call, 0, "GET", "/read/x", "parent", 3000, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", false), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	fixture->targets[1].behaviour = BEHAVIOUR_REJECT;
	fixture_send(
	    fixture, &inner, 0, "GET", "/read/x", "parent.child", 3000, 0);
	g_assert_true(fixture_await(fixture, &inner, 1, WAIT_US));
	bf_http_client_reset(&inner.client);
	g_assert_cmpuint(inner.status, ==, 503);
	fixture->targets[1].behaviour = BEHAVIOUR_ANSWER;
	fixture->targets[0].behaviour = BEHAVIOUR_FAIL;
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 500);
	g_assert_cmpuint(fixture_count_runs(fixture, "parent"), ==, 1);
	fixture_free(fixture);
}

/* A node that stops completes the calls that it has accepted. */
static void
test_stop(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	test_call_t calls[4];
	bool stopped = false;
	uint32_t i;

	for (i = 0; i < 4; i++) {
		char id[24];

		fixture->targets[i % 2].delay_us = 300 * BF_US_PER_MS;
		(void)snprintf(id, sizeof(id), "s%u", i);
		fixture_send(fixture, &calls[i], i % 2, "POST", "/pay/x", id,
		    TIMEOUT_MS, 100000);
	}
	fixture_run(fixture, 50 * BF_US_PER_MS);
	bf_mesh_stop(
	    fixture->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	g_assert_false(bf_mesh_ready(fixture->nodes[0]));
	g_assert_true(fixture_await(fixture, calls, 4, WAIT_US));
	for (i = 0; i < 4; i++) {
		g_assert_cmpuint(calls[i].status, ==, 200);
		bf_http_client_reset(&calls[i].client);
	}
	fixture_run(fixture, 3 * BF_US_PER_S);
	g_assert_true(stopped);
	fixture_free(fixture);
}

/* Opens a connection to the callers' side of a node, and sends a text. */
static int
open_caller(mesh_fixture_t *fixture, uint32_t node, const char *text)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons((uint16_t)bf_listener_port(
		    &fixture->nodes[node]->caller_server.listener)),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(
	    connect(fd, (const struct sockaddr *)&address, sizeof(address)), ==,
	    0);
	g_assert_cmpint(
	    write(fd, text, strlen(text)), ==, (gssize)strlen(text));
	return fd;
}

/*
 * A process that stops does not end while it is reading a request: its caller
 * would find the connection closed, and may not send it again.
 */
static void
test_stop_finishes_reading(void)
{
	static const char head[] = "POST /pay/x HTTP/1.1\r\nHost: mesh.test\r\n"
				   "Call-Id: r1\r\n"
				   "Content-Length: 10\r\n\r\n12345";
	mesh_fixture_t *fixture = new_configured(2);
	bool stopped = false;
	char answer[64] = "";
	int fd;

	bf_mesh_stop(
	    fixture->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	fixture_run(fixture, 2300 * BF_US_PER_MS);
	fd = open_caller(fixture, 0, head);
	fixture_run(fixture, 400 * BF_US_PER_MS);
	g_assert_false(stopped);
	g_assert_cmpint(write(fd, "67890", 5), ==, 5);
	fixture_run(fixture, 200 * BF_US_PER_MS);
	g_assert_cmpint(read(fd, answer, sizeof(answer) - 1), >, 0);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	close(fd);
	fixture_run(fixture, 200 * BF_US_PER_MS);
	g_assert_true(stopped);
	fixture_free(fixture);
}

/*
 * A node that has not heard of a stop goes on sending calls to the target
 * beside the stopping node.  One that could outlast the process is refused
 * there, as not run, and runs elsewhere.
 */
static void
test_stop_refuses_offers(void)
{
	mesh_fixture_t *fixture = new_configured(3);
	test_call_t calls[8];
	bool stopped = false;
	char id[16];
	uint32_t i;

	fixture->nodes[0]->options.stop_timeout_ms = 1300;
	fixture->targets[2].delay_us = 100 * BF_US_PER_MS;
	bf_mesh_stop(
	    fixture->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	/* More than the slots of the target beside the entry. */
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		(void)snprintf(id, sizeof(id), "o%u", i);
		fixture_send(
		    fixture, &calls[i], 2, "POST", "/pay/x", id, TIMEOUT_MS, 0);
	}
	g_assert_true(
	    fixture_await(fixture, calls, G_N_ELEMENTS(calls), WAIT_US));
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		bf_http_client_reset(&calls[i].client);
		g_assert_cmpuint(calls[i].status, ==, 200);
	}
	g_assert_cmpuint(fixture->targets[0].run_count, ==, 0);
	fixture_free(fixture);
}

/* Late in a stop, calls that might not end in time are refused. */
static void
test_stop_refuses_late(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	bool stopped = false;
	test_call_t call;

	fixture->nodes[0]->options.stop_timeout_ms = 1300;
	bf_mesh_stop(
	    fixture->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	call = send_and_await(fixture, "POST", "/pay/x", "late");
	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpuint(fixture_count_runs(fixture, "late"), ==, 0);
	fixture_free(fixture);
}

/*
 * A restarted peer is often dialled, and sent calls, before its hello reports
 * the new incarnation.  That hello must not close the connection.
 */
static void
test_late_hello(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	bf_peer_t *peer = bf_roster_find(fixture->nodes[0], "n1");
	const bf_mesh_link_t *link = peer->link;
	uint64_t incarnation = fixture->nodes[1]->incarnation;

	g_assert_true(peer->connected && peer->state_known);
	peer->incarnation = incarnation - 5; /* of its former process */
	(void)bf_roster_add(fixture->nodes[0], "n1", "b", peer->address_text,
	    incarnation, bf_clock_monotonic_us());
	g_assert_true(peer->link == link);
	g_assert_true(peer->connected);
	/* An incarnation newer than the connected one closes the connection. */
	(void)bf_roster_add(fixture->nodes[0], "n1", "b", peer->address_text,
	    incarnation + 5, bf_clock_monotonic_us());
	g_assert_false(peer->link == link && peer->connected);
	fixture_free(fixture);
}

static void
ignore_frame(bf_mesh_link_t *link, const bf_frame_t *frame, bf_time_us_t now_us)
{
	(void)link;
	(void)frame;
	(void)now_us;
}

static void
ignore_ended(bf_mesh_link_t *link, bf_time_us_t now_us)
{
	(void)link;
	(void)now_us;
}

static const bf_mesh_link_vtable_t discard_vtable = {
	.opened = ignore_ended,
	.frame = ignore_frame,
	.ended = ignore_ended,
};

/*
 * A node that is short of processor time may read the hello of an abandoned
 * connection after that of its successor.  It must not take the abandoned one
 * for the newer, and close the connection in use with the calls on it.
 */
static void
test_stale_hello(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	const bf_peer_t *peer = bf_roster_find(fixture->nodes[1], "n0");
	bf_inbound_t *inbound = peer->inbound;
	bf_mesh_t *node = fixture->nodes[0];
	bf_mesh_link_t stale = { 0 };
	bf_wire_writer_t writer;

	g_assert_nonnull(inbound);
	inbound->dial_number = 2; /* it replaced another one */
	bf_wire_writer_init(&writer);
	g_assert_cmpint(bf_mesh_link_dial(&stale, &discard_vtable,
			    fixture->loop, &bf_roster_find(node, "n1")->address,
			    bf_clock_monotonic_us(), NULL),
	    ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	bf_wire_write_text(&writer, "n0");
	bf_wire_write_text(&writer, "a");
	bf_wire_write_text(&writer, node->self->address_text);
	bf_wire_write_uint(&writer, node->incarnation);
	bf_wire_write_uint(&writer, 1); /* the attempt before */
	bf_mesh_link_send(
	    &stale, BF_FRAME_HELLO, 0, &writer, NULL, bf_clock_monotonic_us());
	fixture_run(fixture, SETTLE_US);
	g_assert_true(peer->inbound == inbound);
	g_assert_true(bf_roster_find(node, "n1")->connected);
	bf_mesh_link_close(&stale);
	bf_wire_writer_free(&writer);
	fixture_free(fixture);
}

/* A node whose address now belongs to another node is removed. */
static void
test_reused_address(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	const bf_peer_t *other = bf_roster_find(fixture->nodes[0], "n1");

	g_assert_nonnull(other);
	(void)bf_roster_add(fixture->nodes[0], "gone", "a", other->address_text,
	    1, bf_clock_monotonic_us());
	fixture_run(fixture, 2 * SETTLE_US);
	g_assert_null(bf_roster_find(fixture->nodes[0], "gone"));
	g_assert_true(bf_roster_find(fixture->nodes[0], "n1")->connected);
	fixture_free(fixture);
}

/* A version that was rolled back gets no calls, also after a restart. */
static void
test_rolled_back(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	bf_mesh_t *node = fixture->nodes[0];
	const char *version;

	fixture_put(fixture, "out/shop", "shop v2 2");
	fixture_put(fixture, "ops/move/shop", "shop v2 4000");
	bf_movement_apply_outcome(node,
	    &(bf_kv_item_t){ .key = "out/shop",
		.data = "shop v2 2",
		.data_bytes = 9,
		.revision = fixture->store.revision + 5 },
	    bf_clock_monotonic_us());
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(
	    bf_movement_choose_version(node, "shop", &version), ==, -1);
	g_assert_cmpstr(version, ==, "v2");
	fixture_free(fixture);
}

/*
 * Another leader's outcome is in the store, and this node's leader decides
 * differently, before or after it can read that: a stored outcome was replaced,
 * and once its targets had gone, no version was left for the service.
 */
static void
test_first_outcome_holds(void)
{
	static const bf_move_state_t ends[] = { BF_MOVE_COMPLETED,
		BF_MOVE_ROLLED_BACK };
	mesh_fixture_t *fixture;
	char stored[32];
	uint32_t i, node;

	for (i = 0; i < 4; i++) {
		fixture = new_configured(2);
		fixture_put(fixture, "ops/move/shop", "shop v2 60000");
		fixture_run(fixture, BF_US_PER_S);
		(void)snprintf(
		    stored, sizeof(stored), "shop v2 %u", ends[i % 2]);
		fixture->store.down = i >= 2;
		if (i >= 2)
			fixture_run(fixture, BF_US_PER_S / 2);
		fixture->nodes[0]->moves[0].move.state = ends[1 - i % 2];
		fixture_put(fixture, "out/shop", stored);
		fixture_run(fixture, BF_US_PER_S / 2);
		fixture->store.down = false;
		fixture_run(fixture, 3 * BF_US_PER_S);
		g_assert_cmpstr(
		    fixture_stored(fixture, "out/shop"), ==, stored);
		for (node = 0; node < 2; node++)
			g_assert_cmpint(
			    fixture->nodes[node]->moves[0].move.state, ==,
			    ends[i % 2]);
		fixture_free(fixture);
	}
}

/*
 * While the mesh is divided, a version that one part has taken back gets no
 * more calls from the other part, although that has seen no failure.
 */
static void
test_outcome_of_other_part(void)
{
	mesh_fixture_t *fixture = new_configured(2);

	fixture_put(fixture, "ops/move/shop", "shop v2 60000");
	fixture_run(fixture, BF_US_PER_S);
	fixture_put(fixture, "out/shop", "shop v2 2");
	fixture_run(fixture, BF_US_PER_S);
	g_assert_cmpint(
	    fixture->nodes[0]->moves[0].move.state, ==, BF_MOVE_ROLLED_BACK);
	g_assert_cmpint(
	    fixture->nodes[1]->moves[0].move.state, ==, BF_MOVE_ROLLED_BACK);
	fixture_free(fixture);
}

/*
 * The next order after a roll-back let calls go to the version that had been
 * rolled back until its targets had gone, and held their failures against the
 * old version.  It gets calls again if no other version is left, or if it is
 * ordered again.
 */
static void
test_withdrawn_version(void)
{
	mesh_fixture_t *fixture = new_configured(3);
	test_call_t call;
	uint32_t i, node;
	char id[24];

	fixture->targets[2].start_ms = 9000;
	(void)snprintf(
	    fixture->targets[2].id, sizeof(fixture->targets[2].id), "new");
	fixture_put(fixture, "ops/move/shop", "shop v2 60000");
	g_assert_cmpint(fixture_heartbeat(fixture, 2, "v2", false), ==, BF_OK);
	fixture_run(fixture, BF_US_PER_S);
	fixture_put(fixture, "out/shop", "shop v2 2");
	fixture_run(fixture, BF_US_PER_S);
	fixture->targets[2].run_count = 0;
	fixture_put(fixture, "ops/move/shop", "shop v3 60000");
	fixture_run(fixture, BF_US_PER_S);
	for (i = 0; i < 60; i++) {
		(void)snprintf(id, sizeof(id), "w%u", i);
		fixture_send(fixture, &call, 2, "GET", "/read/x", id, 800, 0);
		g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
		bf_http_client_reset(&call.client);
		g_assert_cmpuint(call.status, ==, 200);
	}
	g_assert_cmpuint(fixture->targets[2].run_count, ==, 0);
	for (node = 0; node < 3; node++) {
		g_assert_true(bf_movement_is_withdrawn(
		    fixture->nodes[node], "shop", "v2"));
		g_assert_false(bf_movement_is_withdrawn(
		    fixture->nodes[node], "shop", "v3"));
	}
	/* Where no other version is left, it is used. */
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", true), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	call = send_and_await(fixture, "GET", "/read/x", "only");
	g_assert_cmpuint(call.status, ==, 200);
	fixture_put(fixture, "ops/move/shop", "shop v2 60000");
	fixture_run(fixture, BF_US_PER_S);
	for (node = 0; node < 3; node++)
		g_assert_false(bf_movement_is_withdrawn(
		    fixture->nodes[node], "shop", "v2"));
	fixture_free(fixture);
}

/* A move to a good version is completed on all nodes. */
static void
test_good_move(void)
{
	mesh_fixture_t *fixture = new_configured(3);
	test_call_t call;
	uint32_t i;

	fixture_put(fixture, "ops/move/shop", "shop v2 4000");
	fixture->targets[2].start_ms = 9000;
	(void)snprintf(
	    fixture->targets[2].id, sizeof(fixture->targets[2].id), "new");
	g_assert_cmpint(fixture_heartbeat(fixture, 2, "v2", false), ==, BF_OK);
	for (i = 0; i < 500 &&
	     fixture->nodes[0]->moves[0].move.state == BF_MOVE_ACTIVE;
	     i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "m%u", i);
		call = send_and_await(fixture, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
		fixture_run(fixture, 10 * BF_US_PER_MS);
	}
	fixture_run(fixture, SETTLE_US);
	for (i = 0; i < 3; i++)
		g_assert_cmpint(fixture->nodes[i]->moves[0].move.state, ==,
		    BF_MOVE_COMPLETED);
	fixture_free(fixture);
}

/* A version whose runs fail is rolled back on every node. */
static void
test_bad_move(void)
{
	mesh_fixture_t *fixture = new_configured(3);
	uint32_t i;

	fixture_put(fixture, "ops/move/shop", "shop v2 4000");
	fixture->targets[2].start_ms = 9000;
	fixture->targets[2].behaviour = BEHAVIOUR_FAIL;
	(void)snprintf(
	    fixture->targets[2].id, sizeof(fixture->targets[2].id), "new");
	g_assert_cmpint(fixture_heartbeat(fixture, 2, "v2", false), ==, BF_OK);
	for (i = 0; i < 600 &&
	     fixture->nodes[0]->moves[0].move.state == BF_MOVE_ACTIVE;
	     i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "m%u", i);
		(void)send_and_await(fixture, "POST", "/pay/x", id);
		fixture_run(fixture, 5 * BF_US_PER_MS);
	}
	fixture_run(fixture, SETTLE_US);
	for (i = 0; i < 3; i++)
		g_assert_cmpint(fixture->nodes[i]->moves[0].move.state, ==,
		    BF_MOVE_ROLLED_BACK);
	g_assert_cmpuint(fixture->targets[2].run_count, <=, 50);
	fixture_free(fixture);
}

/* A new version gets no calls before the node has read all move orders. */
static void
test_unproven_version(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	uint32_t before, i;
	test_call_t call;

	fixture->store.down = true;
	fixture_run(fixture, SETTLE_US);
	fixture->targets[1].start_ms = 9000;
	(void)snprintf(
	    fixture->targets[1].id, sizeof(fixture->targets[1].id), "new");
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v2", false), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	before = fixture->targets[1].run_count;
	for (i = 0; i < 20; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "u%u", i);
		call = send_and_await(fixture, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
	}
	g_assert_cmpuint(fixture->targets[1].run_count, ==, before);
	/* Without another target it is used rather than refusing the call. */
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	call = send_and_await(fixture, "GET", "/read/x", "only");
	g_assert_cmpuint(call.status, ==, 200);
	/* All orders were read, and none is about this version. */
	fixture->store.down = false;
	fixture_run(fixture, 2 * BF_US_PER_S);
	g_assert_false(
	    bf_roster_find(fixture->nodes[0], "n1")->version_unconfirmed);
	fixture_free(fixture);
}

/* Bytes that the node sent on the link that the other node dialled. */
static uint64_t
bytes_sent(const mesh_fixture_t *fixture, uint32_t node, uint32_t other)
{
	const bf_peer_t *peer =
	    bf_roster_find(fixture->nodes[node], fixture->names[other]);

	g_assert_nonnull(peer);
	g_assert_nonnull(peer->inbound);
	return peer->inbound->link.tcp.sent_bytes;
}

/* 3 frames of at most 80 bytes; 15 frames of at least 25. */
#define OTHER_ZONE_BYTES_MAX 240
#define OWN_ZONE_BYTES_MIN 375

/*
 * Load that changes continuously is reported to the own zone at once and to
 * other zones once a second: 3 frames of at most 80 bytes in 2 s.
 */
static void
test_other_zone_interval(void)
{
	mesh_fixture_t *fixture = new_configured(3);
	uint64_t own_zone_bytes, other_zone_bytes;
	test_call_t call;
	int i;

	own_zone_bytes = bytes_sent(fixture, 0, 2);
	other_zone_bytes = bytes_sent(fixture, 0, 1);
	for (i = 0; i < 20; i++) {
		call = send_and_await(fixture, "GET", "/read/x", "c1");
		g_assert_cmpuint(call.status, ==, 200);
		fixture->nodes[0]->target.queue.running += i % 2 == 0 ? 1 : -1;
		fixture_run(fixture, 95 * BF_US_PER_MS);
	}
	other_zone_bytes = bytes_sent(fixture, 0, 1) - other_zone_bytes;
	own_zone_bytes = bytes_sent(fixture, 0, 2) - own_zone_bytes;
	g_assert_cmpuint(other_zone_bytes, <=, OTHER_ZONE_BYTES_MAX);
	g_assert_cmpuint(own_zone_bytes, >=, OWN_ZONE_BYTES_MIN);
	fixture_free(fixture);
}

/*
 * In a zone of 40 nodes a small change of the load, reported by each node to
 * each other at every tick, cost more than the calls.  What decides between
 * targets is reported sooner.
 */
static void
test_load_reports(void)
{
	const bf_load_t idle = { .running = 1, .slots = 5 };
	const bf_load_t busier = { .running = 2, .slots = 5 };
	const bf_load_t last_slot = { .running = 4, .slots = 5 };
	const bf_load_t full = { .running = 5, .slots = 5 };
	const bf_load_t waiting = { .running = 5, .waiting = 1, .slots = 5 };
	const bf_load_t queue = { .running = 5, .waiting = 2, .slots = 5 };
	const bf_load_t failing = {
		.running = 1, .slots = 5, .failing_ppm = 200000
	};
	const bf_load_t stopped = { .running = 1 };
	const struct {
		const bf_load_t *sent, *load;
	} large[] = { { &last_slot, &full }, { &full, &last_slot },
		{ &full, &queue }, { &idle, &last_slot }, { &idle, &failing },
		{ &idle, &stopped } };
	const bf_time_us_t tick_us = 80 * BF_US_PER_MS;
	const bf_time_us_t soon_us = 120 * BF_US_PER_MS;
	size_t i;

	g_assert_false(bf_load_report_due(&idle, &idle, 40, tick_us));
	g_assert_false(bf_load_report_due(&idle, &busier, 40, tick_us));
	g_assert_true(
	    bf_load_report_due(&idle, &busier, 40, 250 * BF_US_PER_MS));
	g_assert_true(bf_load_report_due(&idle, &busier, 4, tick_us));
	g_assert_false(bf_load_report_due(&full, &waiting, 40, soon_us));
	for (i = 0; i < G_N_ELEMENTS(large); i++) {
		g_assert_true(bf_load_report_due(
		    large[i].sent, large[i].load, 4, 40 * BF_US_PER_MS));
		g_assert_true(bf_load_report_due(
		    large[i].sent, large[i].load, 40, soon_us));
		g_assert_false(
		    bf_load_report_due(large[i].sent, large[i].load, 40, 0));
	}
}

/*
 * The periodic reports of one node do not grow with the mesh: in one of 1,300
 * nodes in eight zones it sends fewer than 300 a second, and in a zone as large
 * as the whole of it as well.  Small zones keep the shortest intervals.
 */
static void
test_report_timing(void)
{
	static const uint32_t sizes[][2] = { { 4, 8 }, { 40, 160 },
		{ 163, 1137 }, { 1300, 0 } };
	bf_report_timing_t own, others;
	double reports_per_s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		own = bf_report_timing(true, sizes[i][0]);
		others = bf_report_timing(false, sizes[i][1]);
		reports_per_s =
		    (double)sizes[i][0] * BF_US_PER_S / own.interval_us +
		    (double)sizes[i][1] * BF_US_PER_S / others.interval_us;
		g_assert_cmpfloat(reports_per_s, <, 300);
		g_assert_cmpint(own.silent_after_us, >, 2 * own.interval_us);
		g_assert_cmpint(others.silent_after_us, >, others.interval_us);
		g_assert_cmpint(own.lost_after_us, >, own.silent_after_us);
		g_assert_cmpint(
		    others.lost_after_us, >, others.silent_after_us);
	}
	own = bf_report_timing(true, 12);
	g_assert_cmpint(own.silent_after_us, <=, 700 * BF_US_PER_MS);
	g_assert_cmpint(own.lost_after_us, <=, 1600 * BF_US_PER_MS);
}

/* A change of the target's state is reported to all zones at once. */
static void
test_leaving_reported_at_once(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	const bf_peer_t *other;

	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	fixture_run(fixture, 50 * BF_US_PER_MS);
	other = bf_roster_find(fixture->nodes[1], fixture->names[0]);
	g_assert_nonnull(other);
	g_assert_cmpint(other->state.target_state, ==, BF_TARGET_DRAINING);
	fixture_free(fixture);
}

static uint32_t
count_relays(const mesh_fixture_t *fixture)
{
	uint32_t count = 0, i;

	for (i = 0; i < fixture->node_count; i++)
		count += fixture->nodes[i]->relay ? 1 : 0;
	return count;
}

/*
 * Two nodes of each zone watch the store and send a change to the others, as a
 * delta.  When one of them stops, another one takes its place.
 */
static void
test_relays(void)
{
	mesh_fixture_t *fixture = fixture_new(6);
	GString *text = g_string_new("5\n/read/ safe shop 800 200 2 2\n");
	uint64_t sent_bytes;
	uint32_t i;

	for (i = 0; i < 80; i++)
		g_string_append_printf(
		    text, "/idle-%02u/ safe shop 800 200 2 2\n", i);
	fixture_configure(fixture, text->str);
	/* After their start all nodes watch the store for two seconds. */
	fixture_run(fixture, 3 * BF_US_PER_S);
	g_assert_cmpuint(count_relays(fixture), ==, 4);
	g_assert_false(fixture->nodes[4]->relay);
	sent_bytes = bytes_sent(fixture, 0, 4) + bytes_sent(fixture, 2, 4);
	text->str[0] = '6';
	g_string_append(text, "/new/ safe shop 800 200 2 2\n");
	fixture_configure(fixture, text->str);
	for (i = 0; i < fixture->node_count; i++)
		g_assert_cmpuint(
		    bf_routing_version(fixture->nodes[i]->routing), ==, 6);
	sent_bytes =
	    bytes_sent(fixture, 0, 4) + bytes_sent(fixture, 2, 4) - sent_bytes;
	g_assert_cmpuint(sent_bytes, <, text->len / 2);
	/* n2 stops, and n4 watches the store in its place. */
	fixture->nodes[2]->stop_announced = true;
	bf_mesh_report_changes(fixture->nodes[2], bf_clock_monotonic_us());
	fixture_run(fixture, 300 * BF_US_PER_MS);
	g_assert_true(fixture->nodes[4]->relay);
	g_string_free(text, TRUE);
	fixture_free(fixture);
}

/* The order of a move reaches nodes that don't watch the store. */
static void
test_orders_by_relays(void)
{
	mesh_fixture_t *fixture = fixture_new(6);

	fixture_configure(fixture, CONFIG);
	fixture_run(fixture, 3 * BF_US_PER_S);
	g_assert_false(fixture->nodes[5]->relay);
	fixture_put(fixture, "ops/move/shop", "shop v2 20000");
	fixture_run(fixture, BF_US_PER_S);
	g_assert_cmpuint(fixture->nodes[5]->move_count, ==, 1);
	g_assert_cmpstr(fixture->nodes[5]->moves[0].move.version, ==, "v2");
	fixture_free(fixture);
}

/*
 * From now on node ignores the frames of other and sends it none, as in a
 * network partition.
 */
static void
partition(mesh_fixture_t *fixture, uint32_t node, uint32_t other)
{
	bf_peer_t *peer =
	    bf_roster_find(fixture->nodes[node], fixture->names[other]);

	peer->inbound->link.vtable = &discard_vtable;
	peer->inbound->peer = NULL;
}

/*
 * A partitioned node of another zone is detected while calls wait for it,
 * within 0.8 s and so in time for another target, though it reports its load
 * only once a second.
 */
static void
test_partitioned_node(void)
{
	mesh_fixture_t *fixture = fixture_new(4);
	test_call_t calls[8];
	char id[16];
	uint32_t i;

	fixture_configure(fixture, "5\n/read/ safe shop 2000 200 2 2\n");
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(fixture_heartbeat(fixture, 2, "v1", true), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	partition(fixture, 1, 0);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		(void)snprintf(id, sizeof(id), "f%u", i);
		fixture_send(
		    fixture, &calls[i], 0, "GET", "/read/x", id, 2000, 0);
	}
	g_assert_true(
	    fixture_await(fixture, calls, G_N_ELEMENTS(calls), WAIT_US));
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		g_assert_cmpuint(calls[i].status, ==, 200);
		g_assert_cmpint(calls[i].took_us, <, 850 * BF_US_PER_MS);
		bf_http_client_reset(&calls[i].client);
	}
	g_assert_cmpuint(
	    fixture->targets[3].run_count, ==, G_N_ELEMENTS(calls));
	fixture_free(fixture);
}

/* A call that can't be sent to another target stays with a silent node. */
static void
test_silent_node_answers(void)
{
	mesh_fixture_t *fixture = fixture_new(2);
	test_call_t call;

	fixture_configure(fixture, "5\n/read/ safe shop 3000 2000 1 2\n");
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	fixture->targets[1].delay_us = 1500 * BF_US_PER_MS;
	fixture_run(fixture, SETTLE_US);
	fixture_send(fixture, &call, 0, "GET", "/read/x", "s1", 3000, 0);
	fixture_run(fixture, 100 * BF_US_PER_MS);
	partition(fixture, 1, 0);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 200);
	fixture_free(fixture);
}

/*
 * A connection that is silent for good is replaced while a call that must run
 * at most once is at work behind it.  The run goes on and its answer comes by
 * the new connection.
 */
static void
test_silent_link_replaced(void)
{
	mesh_fixture_t *fixture = fixture_new_with_links(3, 12500000);
	const fake_target_t *target = &fixture->targets[2];
	test_call_t call;

	fixture_configure(fixture, "5\n/once/ unsafe shop 5000 4000 1 2\n");
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", true), ==, BF_OK);
	fixture->targets[2].delay_us = 3 * BF_US_PER_S;
	fixture_run(fixture, SETTLE_US);
	fixture_send(fixture, &call, 0, "POST", "/once/x", "s1", 5000, 0);
	fixture_run(fixture, 100 * BF_US_PER_MS);
	g_assert_cmpuint(target->run_count, ==, 1);
	soak_proxy_silence(&fixture->links[2]);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpuint(target->run_count, ==, 1);
	g_assert_false(target->runs[0].closed_early);
	fixture_free(fixture);
}

/* As before, but the silent node's process ended: its calls are lost. */
static void
test_silent_process_ended(void)
{
	mesh_fixture_t *fixture = fixture_new_with_links(3, 12500000);
	test_call_t call;

	fixture_configure(fixture, "5\n/once/ unsafe shop 9000 4000 1 2\n");
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", true), ==, BF_OK);
	fixture->targets[2].delay_us = 8 * BF_US_PER_S;
	fixture_run(fixture, SETTLE_US);
	fixture_send(fixture, &call, 0, "POST", "/once/x", "s1", 9000, 0);
	fixture_run(fixture, 100 * BF_US_PER_MS);
	soak_proxy_silence(&fixture->links[2]);
	fixture_restart_node(fixture, 2);
	g_assert_true(fixture_await(fixture, &call, 1, 5 * BF_US_PER_S));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 502);
	fixture_free(fixture);
}

/* Nodes that all restart at the same time read the store without delay. */
static void
test_simultaneous_start(void)
{
	mesh_fixture_t *fixture = fixture_new(6);
	uint32_t i;

	fixture_configure(fixture, CONFIG);
	for (i = 0; i < fixture->node_count; i++)
		bf_mesh_free(fixture->nodes[i]);
	for (i = 0; i < fixture->node_count; i++)
		fixture_start_node(fixture, i);
	fixture_run(fixture, 300 * BF_US_PER_MS);
	for (i = 0; i < fixture->node_count; i++)
		g_assert_true(bf_mesh_ready(fixture->nodes[i]));
	fixture_free(fixture);
}

/* Whether the node may read the store for its zone: the first three may. */
static bool
is_first_reader(const mesh_fixture_t *fixture, uint32_t node)
{
	uint32_t preceding = 0, i;

	for (i = node % 2; i < fixture->node_count; i += 2)
		preceding +=
		    strcmp(fixture->names[i], fixture->names[node]) < 0 ? 1 : 0;
	return preceding < 3;
}

/*
 * When all nodes restart, some of each zone read the configuration as soon as
 * they know the others by their records, before they are connected.  The others
 * leave the link of the store to them.
 */
static void
test_first_readers(void)
{
	mesh_fixture_t *fixture = fixture_new(10);
	bf_mesh_t *node;
	uint32_t i, listed = 0;

	fixture_configure(fixture, CONFIG);
	for (i = 0; i < fixture->node_count; i++)
		bf_mesh_free(fixture->nodes[i]);
	for (i = 0; i < fixture->node_count; i++)
		fixture_start_node(fixture, i);
	while (listed < fixture->node_count) {
		fixture_run(fixture, BF_US_PER_MS);
		for (i = 0, listed = 0; i < fixture->node_count; i++) {
			node = fixture->nodes[i];
			listed += node->records_known_us != 0 ? 1 : 0;
			if (is_first_reader(fixture, i))
				g_assert_true(
				    node->records_known_us == 0 || node->relay);
			else if (bf_clock_monotonic_us() - node->start_us <
			    100 * BF_US_PER_MS)
				g_assert_false(node->relay);
		}
	}
	fixture_run(fixture, BF_US_PER_S);
	for (i = 0; i < fixture->node_count; i++)
		g_assert_true(bf_mesh_ready(fixture->nodes[i]));
	fixture_free(fixture);
}

/*
 * A node without a configuration tells callers to come back once it is likely
 * to have one.  Callers retry once; a shorter time would waste that retry.
 */
static void
test_retry_after_start(void)
{
	mesh_fixture_t *fixture = fixture_new(1);
	test_call_t call;

	fixture_restart_node(fixture, 0);
	fixture_send(fixture, &call, 0, "GET", "/read/x", "s1", 3000, 0);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpfloat(
	    call.retry_after_s, >=, 0.9 - (double)call.took_us / BF_US_PER_S);
	g_assert_cmpfloat(call.retry_after_s, <=, 1.3);
	fixture_run(fixture, 1200 * BF_US_PER_MS);
	fixture_send(fixture, &call, 0, "GET", "/read/x", "s2", 3000, 0);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpfloat(call.retry_after_s, >=, 0.3);
	g_assert_cmpfloat(call.retry_after_s, <=, 0.6);
	fixture_free(fixture);
}

/*
 * A target that leaves while its node stops is not served by the node's next
 * process.
 */
static void
test_left_during_stop(void)
{
	mesh_fixture_t *fixture = new_configured(2);
	bool stopped = false;

	fixture_run(fixture, SETTLE_US);
	bf_mesh_stop(
	    fixture->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	fixture_run(fixture, 50 * BF_US_PER_MS);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", true), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	fixture_restart_node(fixture, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_DRAINING);
	fixture_free(fixture);
}

/*
 * A target that leaves after its node has restarted, but before its first
 * heartbeat to the new process, is not served.
 */
static void
test_left_before_heartbeat(void)
{
	mesh_fixture_t *fixture = new_configured(2);

	fixture_run(fixture, SETTLE_US);
	fixture_restart_node(fixture, 0);
	bf_mesh_target_departed(
	    fixture->nodes[0], "t0", 0, bf_clock_monotonic_us());
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_DRAINING);
	/* A later lifetime of the same id has not left. */
	fixture->targets[0].start_ms++;
	fixture->targets[0].sequence = 0;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	fixture_run(fixture, SETTLE_US); /* its health check */
	g_assert_cmpint(
	    fixture->nodes[0]->target.presence.state, ==, BF_TARGET_READY);
	fixture_free(fixture);
}

int
main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/mesh/answered", test_answered);
	g_test_add_func("/mesh/own-fields", test_request_fields);
	g_test_add_func(
	    "/mesh/without-configuration", test_without_configuration);
	g_test_add_func("/mesh/unsafe-once", test_unsafe_once);
	g_test_add_func("/mesh/safe-repeated", test_safe_repeated);
	g_test_add_func("/mesh/kept-failure", test_first_failure_kept);
	g_test_add_func("/mesh/rejected", test_rejected);
	g_test_add_func("/mesh/extra-answer", test_extra_answer);
	g_test_add_func("/mesh/unframed-answer", test_unframed_answer);
	g_test_add_func("/mesh/silent-target", test_silent_target);
	g_test_add_func("/mesh/repeated-refusal", test_repeated_refusal);
	g_test_add_func("/mesh/busy-after-run", test_busy_after_run);
	g_test_add_func("/mesh/cut-head", test_cut_head);
	g_test_add_func("/mesh/bad-status-lines", test_bad_status_lines);
	g_test_add_func("/mesh/reset-during-upload", test_reset_during_upload);
	g_test_add_func("/mesh/endless-answers", test_endless_answers);
	g_test_add_func("/mesh/long-body", test_long_body);
	g_test_add_func("/mesh/long-configuration", test_long_configuration);
	g_test_add_func("/mesh/lost-before-body", test_lost_before_body);
	g_test_add_func("/mesh/caller-leaves", test_caller_leaves);
	g_test_add_func("/mesh/never-overfilled", test_slots_never_exceeded);
	g_test_add_func("/mesh/draining", test_draining);
	g_test_add_func("/mesh/old-heartbeats", test_old_heartbeats);
	g_test_add_func("/mesh/left-before-restart", test_left_before_restart);
	g_test_add_func("/mesh/left-before-record", test_left_before_record);
	g_test_add_func("/mesh/left-unrecorded", test_left_unrecorded);
	g_test_add_func("/mesh/left-late-heartbeat", test_left_late_heartbeat);
	g_test_add_func("/mesh/late-departure", test_late_departure);
	g_test_add_func(
	    "/mesh/left-while-store-down", test_left_while_store_down);
	g_test_add_func("/mesh/record-once", test_record_written_once);
	g_test_add_func("/mesh/odd-records", test_odd_records);
	g_test_add_func("/mesh/long-record", test_long_record);
	g_test_add_func("/mesh/odd-outcome", test_odd_outcome);
	g_test_add_func(
	    "/mesh/target-after-restart", test_target_after_restart);
	g_test_add_func("/mesh/stale-list", test_stale_list);
	g_test_add_func("/mesh/stop-serves-target", test_stop_serves_target);
	g_test_add_func(
	    "/mesh/version-never-back", test_version_never_decreases);
	g_test_add_func("/mesh/cut-watch", test_list_after_watch);
	g_test_add_func(
	    "/mesh/configuration-by-peers", test_configuration_by_peers);
	g_test_add_func("/mesh/first-configuration-by-peers",
	    test_first_configuration_by_peers);
	g_test_add_func("/mesh/store-down", test_store_down);
	g_test_add_func("/mesh/pipelined", test_pipelined);
	g_test_add_func("/mesh/made-call", test_inner_call);
	g_test_add_func("/mesh/planned-zones", test_planned_zones);
	g_test_add_func("/mesh/learnt-capacity", test_learnt_capacity);
	g_test_add_func("/mesh/made-call-rejected", test_inner_call_rejected);
	g_test_add_func("/mesh/stop", test_stop);
	g_test_add_func(
	    "/mesh/stop-finishes-reading", test_stop_finishes_reading);
	g_test_add_func("/mesh/stop-refuses-offers", test_stop_refuses_offers);
	g_test_add_func("/mesh/stop-refuses-late", test_stop_refuses_late);
	g_test_add_func("/mesh/late-hello", test_late_hello);
	g_test_add_func("/mesh/stale-hello", test_stale_hello);
	g_test_add_func("/mesh/reused-address", test_reused_address);
	g_test_add_func("/mesh/taken-back", test_rolled_back);
	g_test_add_func("/mesh/unproven-version", test_unproven_version);
	g_test_add_func("/mesh/first-outcome", test_first_outcome_holds);
	g_test_add_func("/mesh/other-part", test_outcome_of_other_part);
	g_test_add_func("/mesh/withdrawn-version", test_withdrawn_version);
	g_test_add_func("/mesh/good-move", test_good_move);
	g_test_add_func("/mesh/bad-move", test_bad_move);
	g_test_add_func("/mesh/load-reports", test_load_reports);
	g_test_add_func("/mesh/report-timing", test_report_timing);
	g_test_add_func("/mesh/far-told-seldom", test_other_zone_interval);
	g_test_add_func(
	    "/mesh/leaving-told-far", test_leaving_reported_at_once);
	g_test_add_func("/mesh/relays", test_relays);
	g_test_add_func("/mesh/orders-by-relays", test_orders_by_relays);
	g_test_add_func("/mesh/far-cut", test_partitioned_node);
	g_test_add_func("/mesh/silent-answers", test_silent_node_answers);
	g_test_add_func("/mesh/silent-link", test_silent_link_replaced);
	g_test_add_func("/mesh/silent-process", test_silent_process_ended);
	g_test_add_func("/mesh/herd-start", test_simultaneous_start);
	g_test_add_func("/mesh/first-readers", test_first_readers);
	g_test_add_func("/mesh/retry-after-start", test_retry_after_start);
	g_test_add_func("/mesh/left-during-stop", test_left_during_stop);
	g_test_add_func("/mesh/left-before-known", test_left_before_heartbeat);
	return g_test_run();
}
