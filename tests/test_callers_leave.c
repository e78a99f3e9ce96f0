#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>

#include "tests/mesh_fixture.h"

/*
 * Callers that leave before their answer: their calls must reach no target any
 * more, and targets must stop working on them.
 */

#define CONFIG                            \
	"5\n"                             \
	"/read/ safe shop 4000 900 2 2\n" \
	"/pay/ unsafe shop 4000 900 2 1\n"

#define TIMEOUT_MS 4000
#define SETTLE_US (150 * BF_US_PER_MS)
/* A call may reach a target, or be worked on, for this long afterwards. */
#define AFTER_LEAVING_US (500 * BF_US_PER_MS)
/* 10 Mbit/s, the thinnest link of an instance. */
#define THIN_LINK_BYTES_PER_S 1250000
#define UPLOAD_BYTES ((size_t)300000)

static mesh_fixture_t *
new_configured(uint32_t nodes, uint64_t bytes_per_s)
{
	mesh_fixture_t *fixture = fixture_new_with_links(nodes, bytes_per_s);

	fixture_configure(fixture, CONFIG);
	return fixture;
}

static void
set_delay(mesh_fixture_t *fixture, bf_time_us_t delay_us)
{
	uint32_t i;

	for (i = 0; i < fixture->node_count; i++)
		fixture->targets[i].delay_us = delay_us;
}

/* Only the target of this node gets calls. */
static void
drain_all_but(mesh_fixture_t *fixture, uint32_t node)
{
	uint32_t i;

	for (i = 0; i < fixture->node_count; i++) {
		if (i != node)
			g_assert_cmpint(
			    fixture_heartbeat(fixture, i, "v1", true), ==,
			    BF_OK);
	}
	fixture_run(fixture, SETTLE_US);
}

static const target_run_t *
find_run(const mesh_fixture_t *fixture, const char *id)
{
	const fake_target_t *target;
	uint32_t i, j;

	for (i = 0; i < fixture->node_count; i++) {
		target = &fixture->targets[i];
		for (j = 0; j < target->run_count; j++) {
			if (strcmp(target->runs[j].id, id) == 0)
				return &target->runs[j];
		}
	}
	return NULL;
}

static uint32_t
running_count(const mesh_fixture_t *fixture)
{
	uint32_t count = 0, i;

	for (i = 0; i < fixture->node_count; i++)
		count += fixture->targets[i].running;
	return count;
}

static struct sockaddr_in
callers_address(const mesh_fixture_t *fixture, uint32_t node)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(
	    bf_listener_port(&fixture->nodes[node]->caller_server.listener));
	return address;
}

/* Completes a call, so that connections to targets are open. */
static void
open_target_connections(mesh_fixture_t *fixture)
{
	test_call_t calls[8];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(calls); i++)
		fixture_send(fixture, &calls[i], 0, "GET", "/read/x", "open",
		    TIMEOUT_MS, 0);
	g_assert_true(
	    fixture_await(fixture, calls, G_N_ELEMENTS(calls), BF_US_PER_S));
	for (i = 0; i < G_N_ELEMENTS(calls); i++)
		bf_http_client_reset(&calls[i].client);
	fixture_run(fixture, SETTLE_US);
}

/* Connects to node 0, sends requests and closes before the node reads any. */
static void
send_and_leave(mesh_fixture_t *fixture, uint32_t requests)
{
	struct sockaddr_in address = callers_address(fixture, 0);
	char text[256];
	uint32_t i;
	int fd, n;

	fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(
	    connect(fd, (const struct sockaddr *)&address, sizeof(address)), ==,
	    0);
	for (i = 0; i < requests; i++) {
		n = snprintf(text, sizeof(text),
		    "GET /read/x HTTP/1.1\r\nHost: mesh.test\r\n"
		    "Call-Id: u%u\r\nLeft-Ms: %d\r\n\r\n",
		    i, TIMEOUT_MS);
		g_assert_cmpint(send(fd, text, (size_t)n, 0), ==, n);
	}
	close(fd);
}

/*
 * A busy node finds a request and the end of its connection together in the
 * socket.
 */
static void
test_unread_request(void)
{
	mesh_fixture_t *fixture = new_configured(2, 0);

	open_target_connections(fixture);
	send_and_leave(fixture, 1);
	fixture_run(fixture, SETTLE_US);
	g_assert_null(find_run(fixture, "u0"));
	g_assert_cmpuint(fixture->nodes[0]->entry_call_count, ==, 0);
	fixture_free(fixture);
}

static void
test_unread_pipelined_requests(void)
{
	mesh_fixture_t *fixture = new_configured(2, 0);

	open_target_connections(fixture);
	send_and_leave(fixture, 3);
	fixture_run(fixture, SETTLE_US);
	g_assert_null(find_run(fixture, "u0"));
	g_assert_null(find_run(fixture, "u2"));
	fixture_free(fixture);
}

/* All calls of a connection end with it, not only the first. */
static void
test_pipelined_requests_under_way(void)
{
	mesh_fixture_t *fixture = new_configured(2, 0);
	bf_tcp_t tcp;
	static const bf_tcp_vtable_t vtable = { 0 };
	struct sockaddr_in address = callers_address(fixture, 0);
	uint32_t i;

	set_delay(fixture, 3 * BF_US_PER_S);
	g_assert_cmpint(
	    bf_tcp_connect(&tcp, &vtable, fixture->loop, &address, NULL), ==,
	    BF_OK);
	for (i = 0; i < 3; i++)
		bf_bytes_format(&tcp.out,
		    "GET /read/x HTTP/1.1\r\nHost: mesh.test\r\n"
		    "Call-Id: p%u\r\nLeft-Ms: %d\r\n\r\n",
		    i, TIMEOUT_MS);
	bf_tcp_schedule_flush(&tcp);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(running_count(fixture), ==, 3);
	bf_tcp_close(&tcp);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(running_count(fixture), ==, 0);
	fixture_free(fixture);
}

/* A call that fails after its caller has left is not retried. */
static void
test_no_retry(void)
{
	mesh_fixture_t *fixture = new_configured(3, 0);
	test_call_t call;
	uint32_t i;

	for (i = 0; i < 3; i++)
		fixture->targets[i].behaviour = BEHAVIOUR_CLOSE;
	set_delay(fixture, 300 * BF_US_PER_MS);
	fixture_send(fixture, &call, 0, "GET", "/read/x", "c1", TIMEOUT_MS, 0);
	fixture_run(fixture, SETTLE_US);
	bf_http_cancel(&call.exchange);
	fixture_run(fixture, AFTER_LEAVING_US);
	g_assert_cmpuint(fixture_count_runs(fixture, "c1"), ==, 1);
	fixture_free(fixture);
}

/* Callers that leave while their node stops. */
static void
test_during_stop(void)
{
	mesh_fixture_t *fixture = new_configured(2, 0);
	test_call_t call;

	set_delay(fixture, 3 * BF_US_PER_S);
	fixture_send(fixture, &call, 0, "GET", "/read/x", "c1", 3000, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(running_count(fixture), ==, 1);
	bf_mesh_stop(fixture->nodes[0], NULL, NULL, bf_clock_monotonic_us());
	bf_http_cancel(&call.exchange);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(running_count(fixture), ==, 0);
	bf_loop_timer_cancel(fixture->loop, &fixture->nodes[0]->stop_timer);
	fixture_free(fixture);
}

static int accepted_fd = -1;

/* Accepts without reading, as a target does that is too busy. */
static void
keep_fd(bf_listener_t *listener, int fd, const struct sockaddr_in *from,
    bf_time_us_t now_us)
{
	(void)listener;
	(void)from;
	(void)now_us;
	accepted_fd = fd;
}

/*
 * A request is on its way to a target that does not read when its caller
 * leaves: the target must not find the whole of it later.
 */
static void
test_request_not_delivered(void)
{
	mesh_fixture_t *fixture = new_configured(1, 0);
	size_t total = 0;
	char buffer[65536];
	test_call_t call;
	ssize_t n;

	fixture->targets[0].listener.accepted = keep_fd;
	fixture_send(fixture, &call, 0, "POST", "/pay/x", "c1", TIMEOUT_MS,
	    UPLOAD_BYTES * 3);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpint(accepted_fd, >=, 0);
	bf_http_cancel(&call.exchange);
	fixture_run(fixture, SETTLE_US);
	do {
		n = recv(accepted_fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		total += n > 0 ? (size_t)n : 0;
		g_usleep(1000);
	} while (n > 0);
	g_assert_cmpuint(total, <, UPLOAD_BYTES * 3);
	close(accepted_fd);
	fixture_free(fixture);
}

/*
 * Several entries send large bodies to a node with a thin link.  Offers behind
 * these bodies must not reach the target after their callers have left, and the
 * cancellation of a running call must not wait behind them.
 */
static void
test_full_link(void)
{
	enum {
		ENTRIES = 3,
		UPLOADS = 4,
		READS = 4
	};
	mesh_fixture_t *fixture = new_configured(6, THIN_LINK_BYTES_PER_S);
	test_call_t uploads[ENTRIES * UPLOADS], early[ENTRIES];
	test_call_t reads[ENTRIES * READS];
	bf_time_us_t left_us;
	char id[24];
	uint32_t i;

	drain_all_but(fixture, 1);
	fixture->targets[1].delay_us = 3 * BF_US_PER_S;
	for (i = 0; i < ENTRIES; i++) {
		(void)snprintf(id, sizeof(id), "e%u", i);
		fixture_send(fixture, &early[i], i * 2, "GET", "/read/x", id,
		    TIMEOUT_MS, 0);
	}
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(fixture->targets[1].running, ==, ENTRIES);
	for (i = 0; i < ENTRIES * UPLOADS; i++) {
		(void)snprintf(id, sizeof(id), "u%u", i);
		fixture_send(fixture, &uploads[i], i % ENTRIES * 2, "POST",
		    "/pay/x", id, TIMEOUT_MS, UPLOAD_BYTES);
	}
	fixture_run(fixture, 30 * BF_US_PER_MS);
	for (i = 0; i < ENTRIES * READS; i++) {
		(void)snprintf(id, sizeof(id), "r%u", i);
		fixture_send(fixture, &reads[i], i % ENTRIES * 2, "GET",
		    "/read/x", id, TIMEOUT_MS, 0);
	}
	fixture_run(fixture, 100 * BF_US_PER_MS);
	left_us = bf_clock_monotonic_us();
	for (i = 0; i < ENTRIES; i++)
		bf_http_cancel(&early[i].exchange);
	for (i = 0; i < ENTRIES * READS; i++)
		bf_http_cancel(&reads[i].exchange);
	fixture_run(fixture, AFTER_LEAVING_US);
	for (i = 0; i < ENTRIES; i++) {
		(void)snprintf(id, sizeof(id), "e%u", i);
		g_assert_true(find_run(fixture, id)->closed_early);
	}
	fixture_run(fixture, 3 * BF_US_PER_S);
	for (i = 0; i < ENTRIES * READS; i++) {
		const target_run_t *run;

		(void)snprintf(id, sizeof(id), "r%u", i);
		run = find_run(fixture, id);
		g_assert_true(run == NULL ||
		    run->received_at_us - left_us < AFTER_LEAVING_US);
	}
	for (i = 0; i < fixture->targets[1].run_count; i++) {
		if (fixture->targets[1].runs[i].id[0] == 'u')
			g_assert_cmpuint(fixture->targets[1].runs[i].body_bytes,
			    ==, UPLOAD_BYTES);
	}
	for (i = 0; i < ENTRIES * UPLOADS; i++) {
		bf_http_cancel(&uploads[i].exchange);
		bf_http_client_reset(&uploads[i].client);
	}
	fixture_free(fixture);
}

static void
ignore_link(bf_mesh_link_t *link, bf_time_us_t now_us)
{
	(void)link;
	(void)now_us;
}

static void
ignore_frame(bf_mesh_link_t *link, const bf_frame_t *frame, bf_time_us_t now_us)
{
	(void)link;
	(void)frame;
	(void)now_us;
}

static const bf_mesh_link_vtable_t entry_vtable = {
	.opened = ignore_link,
	.frame = ignore_frame,
	.ended = ignore_link,
};

/* Offers a call to node 0 as another node would, sent at sent_us. */
static void
offer(mesh_fixture_t *fixture, bf_mesh_link_t *link, const char *id,
    bf_time_us_t remaining_us, bf_time_us_t sent_us)
{
	bf_bytes_t head = { 0 };
	bf_offer_t offer = {
		.id = 1,
		.request_id = id,
		.target_id = fixture->targets[0].id,
		.route = "/read/",
		.repeatable = true,
		.remaining_us = remaining_us,
		.objective_remaining_us = remaining_us,
		.has_reverse_transit = true,
		.head = &head,
	};
	bf_wire_writer_t writer;

	bf_wire_writer_init(&writer);
	bf_bytes_format(&head, "GET /read/x HTTP/1.1\r\nCall-Id: %s\r\n", id);
	bf_wire_write_offer(&writer, &offer);
	bf_mesh_link_send(link, BF_FRAME_OFFER, 1, &writer, NULL, sent_us);
	bf_wire_writer_free(&writer);
	bf_bytes_free(&head);
}

/*
 * A link that has been full for seconds: its fastest recent frame was late too,
 * and is no measure of how late an offer is.
 */
static void
test_full_link_for_seconds(void)
{
	const bf_time_us_t delay_us = 700 * BF_US_PER_MS;
	mesh_fixture_t *fixture = new_configured(1, 0);
	bf_mesh_link_t link = { 0 };
	struct sockaddr_in address = callers_address(fixture, 0);
	uint32_t i;

	address.sin_port =
	    htons(bf_listener_port(&fixture->nodes[0]->peer_listener));
	g_assert_cmpint(bf_mesh_link_dial(&link, &entry_vtable, fixture->loop,
			    &address, bf_clock_monotonic_us(), NULL),
	    ==, BF_OK);
	bf_mesh_link_send(
	    &link, BF_FRAME_PROBE, 0, NULL, NULL, bf_clock_monotonic_us());
	for (i = 0; i < 30; i++) {
		fixture_run(fixture, 100 * BF_US_PER_MS);
		bf_mesh_link_send(&link, BF_FRAME_PROBE, 0, NULL, NULL,
		    bf_clock_monotonic_us() - delay_us);
	}
	offer(fixture, &link, "c1", delay_us / 2,
	    bf_clock_monotonic_us() - delay_us);
	fixture_run(fixture, SETTLE_US);
	g_assert_null(find_run(fixture, "c1"));
	bf_mesh_link_close(&link);
	fixture_free(fixture);
}

/* An offer that has waited for its link is refused, with time left as well. */
static void
test_late_offer(void)
{
	mesh_fixture_t *fixture = new_configured(1, 0);
	bf_time_us_t now_us = bf_clock_monotonic_us();
	struct sockaddr_in address = callers_address(fixture, 0);
	bf_mesh_link_t link = { 0 };

	address.sin_port =
	    htons(bf_listener_port(&fixture->nodes[0]->peer_listener));
	g_assert_cmpint(bf_mesh_link_dial(&link, &entry_vtable, fixture->loop,
			    &address, now_us, NULL),
	    ==, BF_OK);
	offer(
	    fixture, &link, "late", 3 * BF_US_PER_S, now_us - AFTER_LEAVING_US);
	offer(fixture, &link, "early", 3 * BF_US_PER_S, now_us);
	fixture_run(fixture, SETTLE_US);
	g_assert_null(find_run(fixture, "late"));
	g_assert_nonnull(find_run(fixture, "early"));
	bf_mesh_link_close(&link);
	fixture_free(fixture);
}

/* Fills the slots of node 1 from node 0, and lets one more call wait there. */
static mesh_fixture_t *
new_with_waiting_call(test_call_t *calls, test_call_t *waiting)
{
	mesh_fixture_t *fixture =
	    fixture_new_with_links(2, THIN_LINK_BYTES_PER_S);
	char id[24];
	uint32_t i;

	fixture_configure(fixture,
	    "5\n"
	    "/read/ safe shop 4000 3000 2 2\n");
	drain_all_but(fixture, 1);
	fixture->targets[1].delay_us = BF_US_PER_S;
	for (i = 0; i < TARGET_SLOTS; i++) {
		(void)snprintf(id, sizeof(id), "c%u", i);
		fixture_send(
		    fixture, &calls[i], 0, "GET", "/read/x", id, TIMEOUT_MS, 0);
	}
	fixture_run(fixture, SETTLE_US);
	fixture_send(fixture, waiting, 0, "GET", "/read/x", "w", TIMEOUT_MS, 0);
	fixture_run(fixture, SETTLE_US);
	g_assert_cmpuint(fixture->nodes[1]->target.queue.count, ==, 1);
	return fixture;
}

/* The cancellation of a waiting call is held up on its way. */
static void
test_waiting_call_cut_off(void)
{
	test_call_t calls[TARGET_SLOTS], waiting;
	mesh_fixture_t *fixture = new_with_waiting_call(calls, &waiting);
	uint32_t i;

	fixture->links[1].cut[SOAK_SIDE_CLIENT] = true;
	bf_http_cancel(&waiting.exchange);
	g_assert_true(
	    fixture_await(fixture, calls, TARGET_SLOTS, 2 * BF_US_PER_S));
	fixture_run(fixture, BF_US_PER_S);
	g_assert_null(find_run(fixture, "w"));
	g_assert_cmpuint(bf_target_call_count(fixture->nodes[1]), ==, 0);
	for (i = 0; i < TARGET_SLOTS; i++)
		bf_http_client_reset(&calls[i].client);
	fixture_free(fixture);
}

/* A call that has waited is run after its entry has answered a probe. */
static void
test_waiting_call(void)
{
	test_call_t calls[TARGET_SLOTS], waiting;
	mesh_fixture_t *fixture = new_with_waiting_call(calls, &waiting);
	uint32_t i;

	g_assert_true(fixture_await(fixture, &waiting, 1, 3 * BF_US_PER_S));
	g_assert_cmpuint(waiting.status, ==, 200);
	g_assert_cmpuint(fixture_count_runs(fixture, "w"), ==, 1);
	bf_http_client_reset(&waiting.client);
	for (i = 0; i < TARGET_SLOTS; i++)
		bf_http_client_reset(&calls[i].client);
	fixture_free(fixture);
}

int
main(int argc, char **argv)
{
	int failed;

	(void)apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/callers-leave/unread", test_unread_request);
	g_test_add_func(
	    "/callers-leave/unread-pipelined", test_unread_pipelined_requests);
	g_test_add_func("/callers-leave/pipelined-under-way",
	    test_pipelined_requests_under_way);
	g_test_add_func("/callers-leave/no-retry", test_no_retry);
	g_test_add_func("/callers-leave/during-stop", test_during_stop);
	g_test_add_func(
	    "/callers-leave/request-not-delivered", test_request_not_delivered);
	g_test_add_func("/callers-leave/full-link", test_full_link);
	g_test_add_func(
	    "/callers-leave/full-link-for-seconds", test_full_link_for_seconds);
	g_test_add_func("/callers-leave/late-offer", test_late_offer);
	g_test_add_func(
	    "/callers-leave/waiting-call-cut-off", test_waiting_call_cut_off);
	g_test_add_func("/callers-leave/waiting-call", test_waiting_call);
	failed = g_test_run();
	apr_terminate();
	return failed;
}
