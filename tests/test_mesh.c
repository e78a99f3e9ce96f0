#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/mesh_bed.h"

/*
 * Nodes of a mesh with scripted targets: what callers get and what targets
 * run, for each way in which a call can go wrong.
 */

#define CONFIG                           \
	"5\n"                            \
	"/read/ safe shop 800 200 2 2\n" \
	"/pay/ unsafe shop 800 200 2 1\n"

#define WAIT_US (3 * BF_US_PER_S)
#define LEFT_MS 800
#define SETTLE_US (150 * BF_US_PER_MS)

static mesh_bed_t *
configured(uint32_t nodes)
{
	mesh_bed_t *bed = bed_new(nodes);

	bed_configure(bed, CONFIG);
	return bed;
}

/* Sends one call to node 0 and waits for its end. */
static bed_call_t
one_call(mesh_bed_t *bed, const char *method, const char *path, const char *id)
{
	bed_call_t call;

	bed_send(bed, &call, 0, method, path, id, LEFT_MS, 0);
	g_assert_true(bed_await(bed, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	return call;
}

static void
set_all(mesh_bed_t *bed, bed_behaviour_t behaviour)
{
	uint32_t i;

	for (i = 0; i < bed->node_count; i++)
		bed->targets[i].behaviour = behaviour;
}

static void
test_answered(void)
{
	mesh_bed_t *bed = configured(3);
	bed_call_t call = one_call(bed, "GET", "/read/x?y=1", "c1");

	g_assert_cmpint(call.end, ==, BF_HTTP_ANSWERED);
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpstr(call.body, ==, "whole");
	g_assert_cmpstr(call.id, ==, "c1");
	g_assert_cmpuint(bed_runs_of(bed, "c1"), ==, 1);
	bed_free(bed);
}

/* The target is told the entry's service and at most the time left. */
static void
test_own_fields(void)
{
	mesh_bed_t *bed = configured(1);
	const bed_run_t *run = &bed->targets[0].runs[0];

	(void)one_call(bed, "GET", "/read/x", "c1");
	g_assert_cmpstr(run->caller_service, ==, "shop");
	g_assert_cmpint(run->left_ms, >, 0);
	g_assert_cmpint(run->left_ms, <=, LEFT_MS);
	bed_free(bed);
}

/* A node that knows no configuration refuses; it does not deny a route. */
static void
test_without_configuration(void)
{
	mesh_bed_t *bed = bed_new(1);
	bed_call_t call = one_call(bed, "GET", "/read/x", "c1");

	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpfloat(call.retry_after_s, >, 0);
	bed_configure(bed, CONFIG);
	call = one_call(bed, "GET", "/nowhere/x", "c2");
	g_assert_cmpuint(call.status, ==, 404);
	bed_free(bed);
}

/* Never told "not run" of a call that may have run, and run once only. */
static void
test_unsafe_once(void)
{
	static const bed_behaviour_t ways[] = { BED_CLOSE, BED_CROSS, BED_CUT,
		BED_FAIL };
	char id[24];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ways); i++) {
		mesh_bed_t *bed = configured(3);
		bed_call_t call;

		set_all(bed, ways[i]);
		(void)snprintf(id, sizeof(id), "c%zu", i);
		call = one_call(bed, "POST", "/pay/x", id);
		g_assert_cmpuint(
		    call.status, ==, ways[i] == BED_FAIL ? 500 : 502);
		g_assert_cmpuint(bed_runs_of(bed, id), ==, 1);
		bed_free(bed);
	}
}

/* A repeatable call goes to a second target, and to no third. */
static void
test_safe_repeated(void)
{
	mesh_bed_t *bed = configured(4);
	bed_call_t call;

	set_all(bed, BED_CLOSE);
	call = one_call(bed, "GET", "/read/x", "c1");
	g_assert_cmpuint(call.status, ==, 502);
	g_assert_cmpuint(bed_runs_of(bed, "c1"), ==, 2);
	bed_free(bed);
}

/* When the repeat brings nothing better, the first failure is whole. */
static void
test_kept_failure(void)
{
	mesh_bed_t *bed = configured(2);
	bed_call_t call;
	uint32_t i;

	set_all(bed, BED_FAIL);
	for (i = 0; i < 20; i++) {
		char id[24];

		bed->targets[i % 2].behaviour = BED_CLOSE;
		bed->targets[1 - i % 2].behaviour = BED_FAIL;
		(void)snprintf(id, sizeof(id), "k%u", i);
		call = one_call(bed, "GET", "/read/x", id);
		g_assert_cmpint(call.end, ==, BF_HTTP_ANSWERED);
		if (call.status == 500) {
			g_assert_cmpstr(call.body, ==, "failed");
			g_assert_cmpstr(call.id, ==, id);
		} else {
			g_assert_cmpuint(call.status, ==, 502);
		}
	}
	bed_free(bed);
}

/* What a target says it did not run is refused, or runs elsewhere. */
static void
test_rejected(void)
{
	mesh_bed_t *bed = configured(2);
	bed_call_t call;

	set_all(bed, BED_NOT_RUN);
	call = one_call(bed, "POST", "/pay/x", "c1");
	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpfloat(call.retry_after_s, >, 0);
	g_assert_cmpuint(bed_runs_of(bed, "c1"), ==, 0);
	bed->targets[1].behaviour = BED_ANSWER;
	call = one_call(bed, "POST", "/pay/x", "c2");
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpuint(bed_runs_of(bed, "c2"), ==, 1);
	bed_free(bed);
}

/* An answer of another request, or a second one, reaches nobody. */
static void
test_extra_answer(void)
{
	mesh_bed_t *bed = configured(1);
	bed_call_t call;
	uint32_t i;

	set_all(bed, BED_EXTRA);
	for (i = 0; i < 10; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "e%u", i);
		call = one_call(bed, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
		g_assert_cmpstr(call.id, ==, id);
		g_assert_cmpstr(call.body, ==, "whole");
	}
	bed_free(bed);
}

static void
test_unframed_answer(void)
{
	mesh_bed_t *bed = configured(1);
	bed_call_t call;

	set_all(bed, BED_UNFRAMED);
	call = one_call(bed, "GET", "/read/x", "c1");
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpstr(call.body, ==, "unframed");
	bed_free(bed);
}

/* A silent target: the answer comes at the route's timeout. */
static void
test_silent_target(void)
{
	mesh_bed_t *bed = configured(1);
	bed_call_t call;

	set_all(bed, BED_SILENT);
	call = one_call(bed, "POST", "/pay/x", "c1");
	g_assert_cmpuint(call.status, ==, 504);
	g_assert_cmpint(call.took_us, <, (LEFT_MS + 300) * BF_US_PER_MS);
	bed_free(bed);
}

/* A caller that leaves frees its slot. */
static void
test_caller_leaves(void)
{
	mesh_bed_t *bed = configured(1);
	bed_call_t call;

	bed->targets[0].delay_us = 2 * BF_US_PER_S;
	bed_send(bed, &call, 0, "GET", "/read/x", "c1", 5000, 0);
	bed_run(bed, SETTLE_US);
	g_assert_cmpuint(bed->targets[0].running, ==, 1);
	bf_http_cancel(&call.exchange);
	bed_run(bed, SETTLE_US);
	g_assert_cmpuint(bed->targets[0].running, ==, 0);
	g_assert_true(bed->targets[0].runs[0].ended_early);
	g_assert_cmpuint(bf_target_call_count(bed->nodes[0]), ==, 0);
	bed_free(bed);
}

/* However many come at once, the target gets what it has slots for. */
static void
test_never_overfilled(void)
{
	enum {
		CALLS = 40
	};
	mesh_bed_t *bed = configured(1);
	bed_call_t calls[CALLS];
	uint32_t served = 0, refused = 0, i;

	bed->targets[0].delay_us = 60 * BF_US_PER_MS;
	for (i = 0; i < CALLS; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "b%u", i);
		bed_send(bed, &calls[i], 0, "POST", "/pay/x", id, LEFT_MS, 0);
	}
	g_assert_true(bed_await(bed, calls, CALLS, WAIT_US));
	for (i = 0; i < CALLS; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "b%u", i);
		bf_http_client_reset(&calls[i].client);
		if (calls[i].status == 200) {
			served++;
			continue;
		}
		g_assert_cmpuint(calls[i].status, ==, 503);
		g_assert_cmpuint(bed_runs_of(bed, id), ==, 0);
		refused++;
	}
	g_assert_cmpuint(bed->targets[0].running_most, <=, BED_SLOTS);
	g_assert_cmpuint(served, >=, UINT64_C(2) * BED_SLOTS);
	g_assert_cmpuint(refused, >, 0);
	bed_free(bed);
}

/* From the acknowledgement on, a draining target gets no new call. */
static void
test_draining(void)
{
	mesh_bed_t *bed = configured(2);
	uint32_t before, i;
	bed_call_t call;

	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", true), ==, BF_OK);
	before = bed->targets[0].run_count;
	for (i = 0; i < 20; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "d%u", i);
		call = one_call(bed, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
	}
	g_assert_cmpuint(bed->targets[0].run_count, ==, before);
	bed_free(bed);
}

/* What is late from a former lifetime, or older, changes nothing. */
static void
test_old_heartbeats(void)
{
	mesh_bed_t *bed = configured(1);
	bed_target_t *target = &bed->targets[0];
	uint64_t sequence = target->sequence;

	target->born_ms = 2000;
	target->sequence = 0;
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", false), ==, BF_OK);
	target->born_ms = 1000;
	target->sequence = sequence + 10;
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_READY);
	/* The same lifetime: an older count is late. */
	target->born_ms = 2000;
	target->sequence = 5;
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", true), ==, BF_OK);
	target->sequence = 2;
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_DRAINING);
	/* One that left does not come back in the same lifetime. */
	bf_mesh_target_departed(
	    bed->nodes[0], target->id, bf_clock_monotonic_us());
	target->sequence = 20;
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_DRAINING);
	/* The same id started anew, its counts too. */
	target->born_ms = 3000;
	target->sequence = 0;
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_READY);
	bed_free(bed);
}

/* A target that left stays so for the next process of its node. */
static void
test_left_before_restart(void)
{
	mesh_bed_t *bed = configured(2);

	bf_mesh_target_departed(
	    bed->nodes[0], bed->targets[0].id, bf_clock_monotonic_us());
	bed_run(bed, SETTLE_US);
	bed_restart(bed, 0);
	bed_run(bed, SETTLE_US);
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_DRAINING);
	/* Not so one that was started since. */
	bed->targets[0].born_ms += 1000;
	bed->targets[0].sequence = 0;
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_READY);
	bed_free(bed);
}

static void
on_stopped(void *ctx)
{
	*(bool *)ctx = true;
}

/* A target that lives on is served by its node's next process at once. */
static void
test_target_after_restart(void)
{
	mesh_bed_t *bed = configured(2);

	bed_run(bed, SETTLE_US);
	bed_restart(bed, 0);
	bed_run(bed, SETTLE_US);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_READY);
	g_assert_cmpuint(bed->nodes[0]->target.queue.slots, ==, BED_SLOTS);
	/* Not one that ended meanwhile. */
	bf_listener_close(&bed->targets[0].listener);
	bed_restart(bed, 0);
	bed_run(bed, SETTLE_US);
	(void)one_call(bed, "GET", "/read/x", "c1");
	(void)one_call(bed, "GET", "/read/x", "c2");
	(void)one_call(bed, "GET", "/read/x", "c3");
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_ABSENT);
	bed_free(bed);
}

/* Its node takes its calls for a while after the signal to stop. */
static void
test_stop_serves_target(void)
{
	mesh_bed_t *bed = configured(2);
	bool stopped = false;
	bf_peer_t *peer;

	bf_mesh_stop(
	    bed->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	bed_run(bed, SETTLE_US);
	peer = bf_roster_find(bed->nodes[1], "n0");
	g_assert_false(peer->state.stopping);
	bed_run(bed, 1500 * BF_US_PER_MS);
	g_assert_true(peer->state.stopping);
	bed_free(bed);
}

/* A list that is older than the own entry is no reason to write it again. */
static void
test_stale_list(void)
{
	mesh_bed_t *bed = configured(1);
	uint32_t writes;

	bed_run(bed, SETTLE_US);
	bed->store.behind = true;
	writes = bed->store.writes;
	bf_mesh_target_departed(
	    bed->nodes[0], bed->targets[0].id, bf_clock_monotonic_us());
	bed_run(bed, BF_US_PER_S);
	g_assert_cmpuint(bed->store.writes - writes, <=, 2);
	bed_free(bed);
}

static void
test_version_never_back(void)
{
	mesh_bed_t *bed = configured(2);

	bed_configure(bed, "4\n/old/ safe shop 800 200 2 2\n");
	g_assert_cmpuint(bf_routing_version(bed->nodes[0]->routing), ==, 5);
	bed_configure(bed, "broken");
	g_assert_cmpuint(bf_routing_version(bed->nodes[1]->routing), ==, 5);
	bed_configure(bed, "9\n/new/ safe shop 800 200 2 2\n");
	g_assert_cmpuint(bf_routing_version(bed->nodes[1]->routing), ==, 9);
	bed_free(bed);
}

/* A watch that heard nothing and was cut is followed by a list. */
static void
test_cut_watch(void)
{
	mesh_bed_t *bed = configured(1);
	uint32_t lists;

	bed->store.deaf = true;
	bed_put(bed, "ops/config", "8\n/late/ safe shop 800 200 2 2\n");
	lists = bed->store.lists;
	bed->store.down = true;
	/* Ends the waiting watch, as a cut does. */
	bf_follow_stop(&bed->nodes[0]->operator_keys);
	bed->nodes[0]->operator_keys.call.done(
	    &bed->nodes[0]->operator_keys.call,
	    &(bf_kv_reply_t){ .code = BF_ERR_TIMEOUT },
	    bf_clock_monotonic_us());
	bed->store.down = false;
	bed_run(bed, BF_US_PER_S);
	g_assert_cmpuint(bed->store.lists, >, lists);
	g_assert_cmpuint(bf_routing_version(bed->nodes[0]->routing), ==, 8);
	bed_free(bed);
}

/* A node that the store fails gets the configuration from its peers. */
static void
test_configuration_by_peers(void)
{
	mesh_bed_t *bed = configured(2);

	bf_follow_stop(&bed->nodes[1]->operator_keys);
	bed_configure(bed, "9\n/new/ safe shop 800 200 2 2\n");
	bed_run(bed, BF_US_PER_S);
	g_assert_cmpuint(bf_routing_version(bed->nodes[1]->routing), ==, 9);
	bed_free(bed);
}

/* A node that has none, as after a start without the store, asks at once. */
static void
test_first_configuration_by_peers(void)
{
	mesh_bed_t *bed = configured(2);
	bf_mesh_t *node = bed->nodes[0];

	bf_follow_stop(&node->operator_keys);
	bf_routing_release(node->routing);
	node->routing = NULL;
	bf_bytes_clear(&node->config);
	g_assert_false(bf_mesh_ready(node));
	bed_run(bed, 600 * BF_US_PER_MS);
	g_assert_true(bf_mesh_ready(node));
	bed_free(bed);
}

/* Ends well while the store answers nobody. */
static void
test_store_down(void)
{
	mesh_bed_t *bed = configured(3);
	bed_call_t call;

	bed->store.down = true;
	bed_run(bed, BF_US_PER_S);
	call = one_call(bed, "GET", "/read/x", "c1");
	g_assert_cmpuint(call.status, ==, 200);
	bed->store.down = false;
	bed_run(bed, 2 * BF_US_PER_S);
	g_assert_true(bed->nodes[0]->store_up);
	bed_free(bed);
}

typedef struct pipeline {
	bf_tcp_t tcp; /* first member */
	bf_http_reader_t reader;
	mesh_bed_t *bed;
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
		bf_loop_stop(pipeline->bed->loop);
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
on_pipeline_end(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	(void)tcp;
	(void)orderly;
	(void)now_us;
}

static const bf_tcp_vtable_t pipeline_tcp = {
	.received = on_pipeline_bytes,
	.ended = on_pipeline_end,
};

/* Requests of one connection run side by side, answered in their order. */
static void
test_pipelined(void)
{
	mesh_bed_t *bed = configured(1);
	pipeline_t pipeline = { .bed = bed, .wanted = 4 };
	struct sockaddr_in address = { .sin_family = AF_INET };
	uint32_t i;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port =
	    htons(bf_listener_port(&bed->nodes[0]->caller_server.listener));
	bed->targets[0].delay_us = 50 * BF_US_PER_MS;
	bf_http_reader_init(&pipeline.reader, &pipeline_reader, false);
	g_assert_cmpint(bf_tcp_connect(&pipeline.tcp, &pipeline_tcp, bed->loop,
			    &address, NULL),
	    ==, BF_OK);
	pipeline.bed = bed;
	for (i = 0; i < pipeline.wanted; i++)
		bf_bytes_format(&pipeline.tcp.out,
		    "GET /read/x HTTP/1.1\r\nHost: mesh.test\r\n"
		    "Call-Id: p%u\r\nLeft-Ms: 800\r\n\r\n",
		    i);
	bf_tcp_send_later(&pipeline.tcp);
	bed_run(bed, WAIT_US);
	g_assert_cmpuint(pipeline.count, ==, 4);
	for (i = 0; i < pipeline.wanted; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "p%u", i);
		g_assert_cmpstr(pipeline.ids[i], ==, id);
	}
	g_assert_cmpuint(bed->targets[0].running_most, >, 1);
	bf_tcp_close(&pipeline.tcp);
	bf_http_reader_clear(&pipeline.reader);
	bed_free(bed);
}

/* A call that a running one makes has its rank and is known as such. */
static void
test_made_call(void)
{
	mesh_bed_t *bed = configured(1);
	bed_call_t call;
	bf_target_call_t *maker;

	bed->targets[0].delay_us = 300 * BF_US_PER_MS;
	bed_send(bed, &call, 0, "GET", "/read/x", "parent", LEFT_MS, 0);
	bed_run(bed, SETTLE_US);
	maker = bf_target_find_parent(bed->nodes[0], "parent.child");
	g_assert_nonnull(maker);
	g_assert_cmpuint(bf_target_call_priority(maker), ==, 2);
	g_assert_null(bf_target_find_parent(bed->nodes[0], "parent"));
	g_assert_null(bf_target_find_parent(bed->nodes[0], "parenthood"));
	g_assert_null(bf_target_find_parent(bed->nodes[0], "other.child"));
	g_assert_true(bed_await(bed, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	bed_free(bed);
}

/* The node beside a target that stops takes its calls to their ends. */
static void
test_stop(void)
{
	mesh_bed_t *bed = configured(2);
	bed_call_t calls[4];
	bool stopped = false;
	uint32_t i;

	for (i = 0; i < 4; i++) {
		char id[24];

		bed->targets[i % 2].delay_us = 300 * BF_US_PER_MS;
		(void)snprintf(id, sizeof(id), "s%u", i);
		bed_send(bed, &calls[i], i % 2, "POST", "/pay/x", id, LEFT_MS,
		    100000);
	}
	bed_run(bed, 50 * BF_US_PER_MS);
	bf_mesh_stop(
	    bed->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	g_assert_false(bf_mesh_ready(bed->nodes[0]));
	g_assert_true(bed_await(bed, calls, 4, WAIT_US));
	for (i = 0; i < 4; i++) {
		g_assert_cmpuint(calls[i].status, ==, 200);
		bf_http_client_reset(&calls[i].client);
	}
	bed_run(bed, 3 * BF_US_PER_S);
	g_assert_true(stopped);
	bed_free(bed);
}

/* Late in a stop, what might not end in time is refused and not begun. */
static void
test_stop_refuses_late(void)
{
	mesh_bed_t *bed = configured(2);
	bool stopped = false;
	bed_call_t call;

	bed->nodes[0]->options.stop_timeout_ms = 1300;
	bf_mesh_stop(
	    bed->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	call = one_call(bed, "POST", "/pay/x", "late");
	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpuint(bed_runs_of(bed, "late"), ==, 0);
	bed_free(bed);
}

/*
 * A peer that has started anew is often dialled, and given calls, before its
 * hello says so: that must not end the connection to the new process.
 */
static void
test_late_hello(void)
{
	mesh_bed_t *bed = configured(2);
	bf_peer_t *peer = bf_roster_find(bed->nodes[0], "n1");
	const bf_mesh_link_t *link = peer->link;
	uint64_t incarnation = bed->nodes[1]->incarnation;

	g_assert_true(peer->connected && peer->state_known);
	peer->incarnation = incarnation - 5; /* as known of the former one */
	(void)bf_roster_add(bed->nodes[0], "n1", "b", peer->address_text,
	    incarnation, bf_clock_monotonic_us());
	g_assert_true(peer->link == link);
	g_assert_true(peer->connected);
	/* A process that is newer than the one connected: that one is gone. */
	(void)bf_roster_add(bed->nodes[0], "n1", "b", peer->address_text,
	    incarnation + 5, bf_clock_monotonic_us());
	g_assert_false(peer->link == link && peer->connected);
	bed_free(bed);
}

/* A name whose address belongs to another node by now is forgotten. */
static void
test_reused_address(void)
{
	mesh_bed_t *bed = configured(2);
	const bf_peer_t *other = bf_roster_find(bed->nodes[0], "n1");

	g_assert_nonnull(other);
	(void)bf_roster_add(bed->nodes[0], "gone", "a", other->address_text, 1,
	    bf_clock_monotonic_us());
	bed_run(bed, 2 * SETTLE_US);
	g_assert_null(bf_roster_find(bed->nodes[0], "gone"));
	g_assert_true(bf_roster_find(bed->nodes[0], "n1")->connected);
	bed_free(bed);
}

/* A version that was taken back gets nothing, also after a restart. */
static void
test_taken_back(void)
{
	mesh_bed_t *bed = configured(2);
	bf_mesh_t *node = bed->nodes[0];
	const char *version;

	bed_put(bed, "out/shop", "shop v2 2");
	bed_put(bed, "ops/move/shop", "shop v2 4000");
	bf_movement_apply_outcome(node,
	    &(bf_kv_item_t){ .key = "out/shop",
		.data = "shop v2 2",
		.data_bytes = 9,
		.revision = bed->store.revision + 5 },
	    bf_clock_monotonic_us());
	bed_run(bed, SETTLE_US);
	g_assert_cmpint(
	    bf_movement_choose_version(node, "shop", &version), ==, -1);
	g_assert_cmpstr(version, ==, "v2");
	bed_free(bed);
}

/* A good version takes all calls in time; its end is written once. */
static void
test_good_move(void)
{
	mesh_bed_t *bed = configured(3);
	bed_call_t call;
	uint32_t i;

	bed_put(bed, "ops/move/shop", "shop v2 4000");
	bed->targets[2].born_ms = 9000;
	(void)snprintf(bed->targets[2].id, sizeof(bed->targets[2].id), "new");
	g_assert_cmpint(bed_heartbeat(bed, 2, "v2", false), ==, BF_OK);
	for (i = 0;
	     i < 500 && bed->nodes[0]->moves[0].move.state == BF_MOVE_ACTIVE;
	     i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "m%u", i);
		call = one_call(bed, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
		bed_run(bed, 10 * BF_US_PER_MS);
	}
	bed_run(bed, SETTLE_US);
	for (i = 0; i < 3; i++)
		g_assert_cmpint(
		    bed->nodes[i]->moves[0].move.state, ==, BF_MOVE_COMPLETED);
	bed_free(bed);
}

/* A version whose runs fail is taken back on every node. */
static void
test_bad_move(void)
{
	mesh_bed_t *bed = configured(3);
	uint32_t i;

	bed_put(bed, "ops/move/shop", "shop v2 4000");
	bed->targets[2].born_ms = 9000;
	bed->targets[2].behaviour = BED_FAIL;
	(void)snprintf(bed->targets[2].id, sizeof(bed->targets[2].id), "new");
	g_assert_cmpint(bed_heartbeat(bed, 2, "v2", false), ==, BF_OK);
	for (i = 0;
	     i < 600 && bed->nodes[0]->moves[0].move.state == BF_MOVE_ACTIVE;
	     i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "m%u", i);
		(void)one_call(bed, "POST", "/pay/x", id);
		bed_run(bed, 5 * BF_US_PER_MS);
	}
	bed_run(bed, SETTLE_US);
	for (i = 0; i < 3; i++)
		g_assert_cmpint(bed->nodes[i]->moves[0].move.state, ==,
		    BF_MOVE_ROLLED_BACK);
	g_assert_cmpuint(bed->targets[2].run_count, <=, 50);
	bed_free(bed);
}

/* A version whose order a node cannot have heard of yet gets no call. */
static void
test_unproven_version(void)
{
	mesh_bed_t *bed = configured(2);
	uint32_t before, i;
	bed_call_t call;

	bed->store.down = true;
	bed_run(bed, SETTLE_US);
	bed->targets[1].born_ms = 9000;
	(void)snprintf(bed->targets[1].id, sizeof(bed->targets[1].id), "new");
	g_assert_cmpint(bed_heartbeat(bed, 1, "v2", false), ==, BF_OK);
	bed_run(bed, SETTLE_US);
	before = bed->targets[1].run_count;
	for (i = 0; i < 20; i++) {
		char id[24];

		(void)snprintf(id, sizeof(id), "u%u", i);
		call = one_call(bed, "GET", "/read/x", id);
		g_assert_cmpuint(call.status, ==, 200);
	}
	g_assert_cmpuint(bed->targets[1].run_count, ==, before);
	/* With nothing else there it is better than a refusal. */
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", true), ==, BF_OK);
	call = one_call(bed, "GET", "/read/x", "only");
	g_assert_cmpuint(call.status, ==, 200);
	/* All orders read, and none of them is about it. */
	bed->store.down = false;
	bed_run(bed, 2 * BF_US_PER_S);
	g_assert_false(
	    bf_roster_find(bed->nodes[0], "n1")->version_unconfirmed);
	bed_free(bed);
}

/* Bytes that the node wrote to another on the link that the other dialled. */
static uint64_t
bytes_told(const mesh_bed_t *bed, uint32_t node, uint32_t other)
{
	const bf_peer_t *peer =
	    bf_roster_find(bed->nodes[node], bed->names[other]);

	g_assert_nonnull(peer);
	g_assert_nonnull(peer->inbound);
	return peer->inbound->link.tcp.sent_bytes;
}

/* Three frames of at most 80 bytes; fifteen of at least 25. */
#define FAR_BYTES_MAX 240
#define NEAR_BYTES_MIN 375

/*
 * Load that changes all the time is told to the own zone at once, and to other
 * zones once a second: 3 frames of at most 80 bytes in 2 s.
 */
static void
test_far_told_seldom(void)
{
	mesh_bed_t *bed = configured(3);
	uint64_t near_bytes, far_bytes;
	bed_call_t call;
	int i;

	near_bytes = bytes_told(bed, 0, 2);
	far_bytes = bytes_told(bed, 0, 1);
	for (i = 0; i < 20; i++) {
		call = one_call(bed, "GET", "/read/x", "c1");
		g_assert_cmpuint(call.status, ==, 200);
		bed->nodes[0]->target.queue.running += i % 2 == 0 ? 1 : -1;
		bed_run(bed, 95 * BF_US_PER_MS);
	}
	far_bytes = bytes_told(bed, 0, 1) - far_bytes;
	near_bytes = bytes_told(bed, 0, 2) - near_bytes;
	g_assert_cmpuint(far_bytes, <=, FAR_BYTES_MAX);
	g_assert_cmpuint(near_bytes, >=, NEAR_BYTES_MIN);
	bed_free(bed);
}

/* What decides whether a call may go there is told to all zones at once. */
static void
test_leaving_told_far(void)
{
	mesh_bed_t *bed = configured(2);
	const bf_peer_t *far;

	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", true), ==, BF_OK);
	bed_run(bed, 50 * BF_US_PER_MS);
	far = bf_roster_find(bed->nodes[1], bed->names[0]);
	g_assert_nonnull(far);
	g_assert_cmpint(far->state.target_state, ==, BF_TARGET_DRAINING);
	bed_free(bed);
}

static uint32_t
relays_of(const mesh_bed_t *bed)
{
	uint32_t count = 0, i;

	for (i = 0; i < bed->node_count; i++)
		count += bed->nodes[i]->relay ? 1 : 0;
	return count;
}

/*
 * Two nodes of each zone follow the store and send a change to the others, as
 * the difference; where one of them is gone another follows.
 */
static void
test_relays(void)
{
	mesh_bed_t *bed = bed_new(6);
	GString *text = g_string_new("5\n/read/ safe shop 800 200 2 2\n");
	uint64_t told_bytes;
	uint32_t i;

	for (i = 0; i < 80; i++)
		g_string_append_printf(
		    text, "/idle-%02u/ safe shop 800 200 2 2\n", i);
	bed_configure(bed, text->str);
	/* At their start all read the store, for two seconds. */
	bed_run(bed, 3 * BF_US_PER_S);
	g_assert_cmpuint(relays_of(bed), ==, 4);
	g_assert_false(bed->nodes[4]->relay);
	told_bytes = bytes_told(bed, 0, 4) + bytes_told(bed, 2, 4);
	text->str[0] = '6';
	g_string_append(text, "/new/ safe shop 800 200 2 2\n");
	bed_configure(bed, text->str);
	for (i = 0; i < bed->node_count; i++)
		g_assert_cmpuint(
		    bf_routing_version(bed->nodes[i]->routing), ==, 6);
	told_bytes = bytes_told(bed, 0, 4) + bytes_told(bed, 2, 4) - told_bytes;
	g_assert_cmpuint(told_bytes, <, text->len / 2);
	/* n2 stops, and n4 follows the store in its place. */
	bed->nodes[2]->stop_announced = true;
	bf_mesh_report_changes(bed->nodes[2], bf_clock_monotonic_us());
	bed_run(bed, 300 * BF_US_PER_MS);
	g_assert_true(bed->nodes[4]->relay);
	g_string_free(text, TRUE);
	bed_free(bed);
}

/* An order of a move reaches nodes that do not follow the store. */
static void
test_orders_by_relays(void)
{
	mesh_bed_t *bed = bed_new(6);

	bed_configure(bed, CONFIG);
	bed_run(bed, 3 * BF_US_PER_S);
	g_assert_false(bed->nodes[5]->relay);
	bed_put(bed, "ops/move/shop", "shop v2 20000");
	bed_run(bed, BF_US_PER_S);
	g_assert_cmpuint(bed->nodes[5]->move_count, ==, 1);
	g_assert_cmpstr(bed->nodes[5]->moves[0].move.version, ==, "v2");
	bed_free(bed);
}

static void
ignore_frame(bf_mesh_link_t *link, const bf_frame_t *frame, bf_time_us_t now_us)
{
	(void)link;
	(void)frame;
	(void)now_us;
}

static void
ignore_end(bf_mesh_link_t *link, bf_time_us_t now_us)
{
	(void)link;
	(void)now_us;
}

static const bf_mesh_link_vtable_t mute_vtable = {
	.frame = ignore_frame,
	.ended = ignore_end,
};

/* The node neither hears nor tells the other any more, as behind a cut. */
static void
cut_off(mesh_bed_t *bed, uint32_t node, uint32_t other)
{
	bf_peer_t *peer = bf_roster_find(bed->nodes[node], bed->names[other]);

	peer->inbound->link.vtable = &mute_vtable;
	peer->inbound->peer = NULL;
}

/*
 * A node of another zone that is cut off is found out while calls wait for it,
 * in time for another: within 0.8 s, though it tells its load once a second.
 */
static void
test_far_cut(void)
{
	mesh_bed_t *bed = bed_new(4);
	bed_call_t calls[8];
	char id[16];
	uint32_t i;

	bed_configure(bed, "5\n/read/ safe shop 2000 200 2 2\n");
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", true), ==, BF_OK);
	g_assert_cmpint(bed_heartbeat(bed, 2, "v1", true), ==, BF_OK);
	bed_run(bed, SETTLE_US);
	cut_off(bed, 1, 0);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		(void)snprintf(id, sizeof(id), "f%u", i);
		bed_send(bed, &calls[i], 0, "GET", "/read/x", id, 2000, 0);
	}
	g_assert_true(bed_await(bed, calls, G_N_ELEMENTS(calls), WAIT_US));
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		g_assert_cmpuint(calls[i].status, ==, 200);
		g_assert_cmpint(calls[i].took_us, <, 850 * BF_US_PER_MS);
		bf_http_client_reset(&calls[i].client);
	}
	g_assert_cmpuint(bed->targets[3].run_count, ==, G_N_ELEMENTS(calls));
	bed_free(bed);
}

/* A call that no other target may take is left with a node that is silent. */
static void
test_silent_answers(void)
{
	mesh_bed_t *bed = bed_new(2);
	bed_call_t call;

	bed_configure(bed, "5\n/read/ safe shop 3000 2000 1 2\n");
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", true), ==, BF_OK);
	bed->targets[1].delay_us = 1500 * BF_US_PER_MS;
	bed_run(bed, SETTLE_US);
	bed_send(bed, &call, 0, "GET", "/read/x", "s1", 3000, 0);
	bed_run(bed, 100 * BF_US_PER_MS);
	cut_off(bed, 1, 0);
	g_assert_true(bed_await(bed, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 200);
	bed_free(bed);
}

/* Where all start anew together, each reads the store without delay. */
static void
test_herd_start(void)
{
	mesh_bed_t *bed = bed_new(6);
	uint32_t i;

	bed_configure(bed, CONFIG);
	for (i = 0; i < bed->node_count; i++)
		bf_mesh_free(bed->nodes[i]);
	for (i = 0; i < bed->node_count; i++)
		bed_open(bed, i);
	bed_run(bed, 300 * BF_US_PER_MS);
	for (i = 0; i < bed->node_count; i++)
		g_assert_true(bf_mesh_ready(bed->nodes[i]));
	bed_free(bed);
}

/* A target that leaves while its node stops is not served by the next one. */
static void
test_left_during_stop(void)
{
	mesh_bed_t *bed = configured(2);
	bool stopped = false;

	bed_run(bed, SETTLE_US);
	bf_mesh_stop(
	    bed->nodes[0], on_stopped, &stopped, bf_clock_monotonic_us());
	bed_run(bed, 50 * BF_US_PER_MS);
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", true), ==, BF_OK);
	bed_run(bed, SETTLE_US);
	bed_restart(bed, 0);
	bed_run(bed, SETTLE_US);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_DRAINING);
	bed_free(bed);
}

/* A leaving that comes before the node's new process knows the target holds. */
static void
test_left_before_known(void)
{
	mesh_bed_t *bed = configured(2);

	bed_run(bed, SETTLE_US);
	bed_restart(bed, 0);
	bf_mesh_target_departed(bed->nodes[0], "t0", bf_clock_monotonic_us());
	bed_run(bed, SETTLE_US);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_DRAINING);
	/* A later lifetime of that name has not left. */
	bed->targets[0].born_ms++;
	bed->targets[0].sequence = 0;
	g_assert_cmpint(bed_heartbeat(bed, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(bed->nodes[0]->target.state, ==, BF_TARGET_READY);
	bed_free(bed);
}

int
main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/mesh/answered", test_answered);
	g_test_add_func("/mesh/own-fields", test_own_fields);
	g_test_add_func(
	    "/mesh/without-configuration", test_without_configuration);
	g_test_add_func("/mesh/unsafe-once", test_unsafe_once);
	g_test_add_func("/mesh/safe-repeated", test_safe_repeated);
	g_test_add_func("/mesh/kept-failure", test_kept_failure);
	g_test_add_func("/mesh/rejected", test_rejected);
	g_test_add_func("/mesh/extra-answer", test_extra_answer);
	g_test_add_func("/mesh/unframed-answer", test_unframed_answer);
	g_test_add_func("/mesh/silent-target", test_silent_target);
	g_test_add_func("/mesh/caller-leaves", test_caller_leaves);
	g_test_add_func("/mesh/never-overfilled", test_never_overfilled);
	g_test_add_func("/mesh/draining", test_draining);
	g_test_add_func("/mesh/old-heartbeats", test_old_heartbeats);
	g_test_add_func("/mesh/left-before-restart", test_left_before_restart);
	g_test_add_func(
	    "/mesh/target-after-restart", test_target_after_restart);
	g_test_add_func("/mesh/stale-list", test_stale_list);
	g_test_add_func("/mesh/stop-serves-target", test_stop_serves_target);
	g_test_add_func("/mesh/version-never-back", test_version_never_back);
	g_test_add_func("/mesh/cut-watch", test_cut_watch);
	g_test_add_func(
	    "/mesh/configuration-by-peers", test_configuration_by_peers);
	g_test_add_func("/mesh/first-configuration-by-peers",
	    test_first_configuration_by_peers);
	g_test_add_func("/mesh/store-down", test_store_down);
	g_test_add_func("/mesh/pipelined", test_pipelined);
	g_test_add_func("/mesh/made-call", test_made_call);
	g_test_add_func("/mesh/stop", test_stop);
	g_test_add_func("/mesh/stop-refuses-late", test_stop_refuses_late);
	g_test_add_func("/mesh/late-hello", test_late_hello);
	g_test_add_func("/mesh/reused-address", test_reused_address);
	g_test_add_func("/mesh/taken-back", test_taken_back);
	g_test_add_func("/mesh/unproven-version", test_unproven_version);
	g_test_add_func("/mesh/good-move", test_good_move);
	g_test_add_func("/mesh/bad-move", test_bad_move);
	g_test_add_func("/mesh/far-told-seldom", test_far_told_seldom);
	g_test_add_func("/mesh/leaving-told-far", test_leaving_told_far);
	g_test_add_func("/mesh/relays", test_relays);
	g_test_add_func("/mesh/orders-by-relays", test_orders_by_relays);
	g_test_add_func("/mesh/far-cut", test_far_cut);
	g_test_add_func("/mesh/silent-answers", test_silent_answers);
	g_test_add_func("/mesh/herd-start", test_herd_start);
	g_test_add_func("/mesh/left-during-stop", test_left_during_stop);
	g_test_add_func("/mesh/left-before-known", test_left_before_known);
	return g_test_run();
}
