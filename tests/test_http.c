#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http/client.h"
#include "http/server.h"

/* The message parser, and a client and a server over loopback. */

typedef struct collector {
	bf_http_reader_t reader;
	GPtrArray *messages;
} collector_t;

static void
collect(bf_http_reader_t *reader, bf_http_message_t *message)
{
	g_ptr_array_add(
	    BF_CONTAINER(reader, collector_t, reader)->messages, message);
}

static const bf_http_reader_vtable_t collector_vtable = { .message = collect };

static void
collector_init(collector_t *collector, bool requests)
{
	bf_http_reader_init(&collector->reader, &collector_vtable, requests);
	collector->messages = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)bf_http_message_free);
}

static void
collector_free(collector_t *collector)
{
	bf_http_reader_clear(&collector->reader);
	g_ptr_array_free(collector->messages, TRUE);
}

static const char two_requests[] =
    "POST /a?b HTTP/1.1\r\nHost: h\r\nX-Long: one\r\n"
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    "GET /c HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\n"
    "X-Hop: 1\r\n\r\n";

/* The messages are the same however the bytes are split. */
static void
test_requests_in_pieces(void)
{
	size_t piece, at, bytes = sizeof(two_requests) - 1, n;
	const bf_http_message_t *message;
	collector_t collector;

	for (piece = 1; piece <= bytes; piece++) {
		collector_init(&collector, true);
		for (at = 0; at < bytes; at += n) {
			n = bytes - at < piece ? bytes - at : piece;
			g_assert_cmpint(
			    bf_http_reader_feed(&collector.reader,
				(const uint8_t *)two_requests + at, n),
			    ==, BF_HTTP_OK);
		}
		g_assert_cmpuint(collector.messages->len, ==, 2);
		message = g_ptr_array_index(collector.messages, 0);
		g_assert_cmpstr(bf_http_target(message), ==, "/a?b");
		g_assert_cmpstr(bf_http_find(message, "x-long"), ==, "one");
		g_assert_cmpuint(bf_bytes_count(&message->body), ==, 5);
		g_assert_true(
		    memcmp(bf_bytes_data(&message->body), "abcde", 5) == 0);
		g_assert_true(message->keep_alive);
		message = g_ptr_array_index(collector.messages, 1);
		g_assert_false(message->keep_alive);
		g_assert_true(bf_http_hop_by_hop(message, "X-Hop"));
		g_assert_false(bf_http_hop_by_hop(message, "Host"));
		collector_free(&collector);
	}
}

static void
feed_in_pieces(collector_t *collector, const char *text, size_t piece,
    bf_http_fault_t fault)
{
	size_t bytes = strlen(text), at, n;
	bf_http_fault_t last = BF_HTTP_OK;

	for (at = 0; at < bytes && last == BF_HTTP_OK; at += n) {
		n = bytes - at < piece ? bytes - at : piece;
		last = bf_http_reader_feed(
		    &collector->reader, (const uint8_t *)text + at, n);
	}
	g_assert_cmpint(last, ==, fault);
}

#define REQUEST_CHUNKED                                  \
	"POST /a HTTP/1.1\r\nHost: h\r\nTimeout: 6 \r\n" \
	"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
#define RESPONSE_CHUNKED                       \
	"HTTP/1.1 200 OK\r\nTimeout: 6\t \r\n" \
	"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
#define TRAILERS                                       \
	"0\r\nChecksum: 0123456789\r\nHost: other\r\n" \
	"Content-Length: 7\r\nEmpty:\r\nLast: x\r\n\r\n"

/*
 * Trailer fields became header fields, and the last one was not terminated, so
 * that bytes of the heap got into the request that was sent on.  They are no
 * part of the message, whatever they name, and neither they nor the space
 * behind a value change what follows.
 */
static void
test_trailers(void)
{
	static const struct {
		const char *text;
		bool is_request;
	} cases[] = {
		{ REQUEST_CHUNKED TRAILERS REQUEST_CHUNKED TRAILERS, true },
		{ RESPONSE_CHUNKED TRAILERS RESPONSE_CHUNKED TRAILERS, false },
	};
	const bf_http_message_t *message;
	collector_t collector;
	size_t i, k, piece;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (piece = 1; piece <= strlen(cases[i].text); piece++) {
			collector_init(&collector, cases[i].is_request);
			feed_in_pieces(
			    &collector, cases[i].text, piece, BF_HTTP_OK);
			g_assert_cmpuint(collector.messages->len, ==, 2);
			for (k = 0; k < 2; k++) {
				message =
				    g_ptr_array_index(collector.messages, k);
				g_assert_cmpuint(message->field_count, ==,
				    cases[i].is_request ? 3 : 2);
				g_assert_cmpstr(
				    bf_http_find(message, "Timeout"), ==, "6");
				g_assert_null(
				    bf_http_find(message, "Checksum"));
				g_assert_null(
				    bf_http_find(message, "Content-Length"));
				g_assert_cmpuint(
				    bf_bytes_count(&message->body), ==, 3);
			}
			collector_free(&collector);
		}
	}
}

/* Trailer fields without end are refused as a head without end is. */
static void
test_endless_trailers(void)
{
	GString *text = g_string_new(REQUEST_CHUNKED "0\r\n");
	collector_t collector;
	size_t piece;

	while (text->len < 5000)
		g_string_append(text, "Checksum: 0123456789\r\n");
	for (piece = 1; piece < 200; piece += 17) {
		collector_init(&collector, true);
		collector.reader.head_bytes_max = 1000;
		feed_in_pieces(
		    &collector, text->str, piece, BF_HTTP_HEAD_TOO_LARGE);
		g_assert_cmpuint(collector.messages->len, ==, 0);
		collector_free(&collector);
	}
	g_string_free(text, TRUE);
}

/*
 * A request that offers another protocol, as some clients' first one does, was
 * answered twice: the second answer, 400, had no request.  The offer is
 * ignored, and the requests that follow are read.
 */
static void
test_upgrade_ignored(void)
{
	static const char text[] =
	    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
	    "HTTP2-Settings: AAMAAABk\r\n\r\nabc"
	    "GET /b HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n"
	    "Upgrade: websocket\r\n\r\n"
	    "GET /c HTTP/1.1\r\nHost: h\r\n\r\n";
	static const char *const targets[] = { "/a", "/b", "/c" };
	const bf_http_message_t *message;
	collector_t collector;
	size_t piece, i;

	for (piece = 1; piece <= strlen(text); piece++) {
		collector_init(&collector, true);
		feed_in_pieces(&collector, text, piece, BF_HTTP_OK);
		g_assert_cmpuint(collector.messages->len, ==, 3);
		for (i = 0; i < 3; i++) {
			message = g_ptr_array_index(collector.messages, i);
			g_assert_cmpstr(
			    bf_http_target(message), ==, targets[i]);
			g_assert_true(message->keep_alive);
			g_assert_cmpuint(
			    bf_bytes_count(&message->body), ==, i == 0 ? 3 : 0);
		}
		collector_free(&collector);
	}
	collector_init(&collector, true);
	feed_in_pieces(&collector, "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n",
	    1000, BF_HTTP_MALFORMED);
	g_assert_cmpuint(collector.messages->len, ==, 0);
	collector_free(&collector);
}

/* Rejects what two parsers could read differently (request smuggling). */
static void
test_refused_requests(void)
{
	static const struct {
		const char *text;
		bf_http_fault_t fault;
	} cases[] = {
		{ "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		    BF_HTTP_MALFORMED },
		{ "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		  "Content-Length: 4\r\n\r\nabcd",
		    BF_HTTP_MALFORMED },
		{ "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n",
		    BF_HTTP_MALFORMED },
		{ "GET / HTTP/1.1\r\nBad Name: 1\r\n\r\n", BF_HTTP_MALFORMED },
		{ "\x16\x03\x01", BF_HTTP_MALFORMED },
		{ "GET /aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
		  " HTTP/1.1\r\n\r\n",
		    BF_HTTP_HEAD_TOO_LARGE },
		{ "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n",
		    BF_HTTP_BODY_TOO_LARGE },
		{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "b\r\nabcdefghijk\r\n",
		    BF_HTTP_BODY_TOO_LARGE },
	};
	collector_t collector;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("case %zu", i);
		collector_init(&collector, true);
		collector.reader.head_bytes_max = 50;
		collector.reader.body_bytes_max = 10;
		if (cases[i].fault == BF_HTTP_MALFORMED)
			collector.reader.head_bytes_max = 1000;
		if (cases[i].fault == BF_HTTP_BODY_TOO_LARGE)
			collector.reader.head_bytes_max = 1000;
		g_assert_cmpint(
		    bf_http_reader_feed(&collector.reader,
			(const uint8_t *)cases[i].text, strlen(cases[i].text)),
		    ==, cases[i].fault);
		g_assert_cmpuint(collector.messages->len, ==, 0);
		collector_free(&collector);
	}
}

/* A response without a length is complete only after an orderly close. */
static void
test_body_until_close(void)
{
	static const char text[] = "HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest";
	collector_t collector;

	collector_init(&collector, false);
	g_assert_cmpint(bf_http_reader_feed(&collector.reader,
			    (const uint8_t *)text, strlen(text)),
	    ==, BF_HTTP_OK);
	g_assert_cmpuint(collector.messages->len, ==, 0);
	bf_http_reader_finish(&collector.reader);
	g_assert_cmpuint(collector.messages->len, ==, 1);
	collector_free(&collector);
	/* A truncated response with a length is never complete. */
	collector_init(&collector, false);
	(void)bf_http_reader_feed(&collector.reader,
	    (const uint8_t *)"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
	    40);
	bf_http_reader_finish(&collector.reader);
	g_assert_cmpuint(collector.messages->len, ==, 0);
	collector_free(&collector);
}

/* Interim responses are skipped; bytes after the final one are trailing. */
static void
test_single_response(void)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n"
				   "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
				   "\r\naHTTP/1.1 200 OK\r\n";
	collector_t collector;

	collector_init(&collector, false);
	collector.reader.single_message = true;
	g_assert_cmpint(bf_http_reader_feed(&collector.reader,
			    (const uint8_t *)text, strlen(text)),
	    ==, BF_HTTP_OK);
	g_assert_cmpuint(collector.messages->len, ==, 1);
	g_assert_true(collector.reader.has_trailing_bytes);
	collector_free(&collector);
}

/* Client and server over loopback. */

typedef struct fixture {
	bf_loop_t *loop;
	bf_http_server_t server;
	bf_http_client_t client;
	bf_timer_t run_timer;
	uint32_t requests;
	uint32_t abandoned;
	bool early; /* answer before the body is read */
	uint32_t refused[BF_HTTP_REFUSAL_COUNT];
	uint32_t ended;
	bf_http_result_t result;
	uint32_t status;
} fixture_t;

#define BIG_BYTES ((size_t)8 << 20)

static uint8_t big_answer[BIG_BYTES];

static void
on_request(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	fixture_t *fixture = BF_CONTAINER(server, fixture_t, server);

	(void)now_us;
	fixture->requests++;
	request->user = fixture;
	if (strcmp(bf_http_target(request->message), "/hold") == 0)
		return;
	if (strcmp(bf_http_target(request->message), "/big") == 0) {
		bf_http_answer(request, 200, "", big_answer, BIG_BYTES);
		return;
	}
	if (strcmp(bf_http_target(request->message), "/abort") == 0)
		bf_http_abort(request);
	else
		bf_http_answer(request, 200, "A: b\r\n", "body", 4);
}

static void
on_abandoned(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	(void)request;
	(void)now_us;
	BF_CONTAINER(server, fixture_t, server)->abandoned++;
}

static void
on_body_refused(bf_http_server_t *server, bf_http_refusal_t reason,
    const struct sockaddr_in *from, bf_time_us_t now_us)
{
	(void)from;
	(void)now_us;
	BF_CONTAINER(server, fixture_t, server)->refused[reason]++;
}

static const bf_http_server_vtable_t server_vtable = {
	.body_refused = on_body_refused,
	.request = on_request,
	.abandoned = on_abandoned,
};

static void
on_run_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	(void)now_us;
	bf_loop_stop(BF_CONTAINER(timer, fixture_t, run_timer)->loop);
}

static void
run_for(fixture_t *fixture, int64_t ms)
{
	fixture->run_timer.fire = on_run_timer;
	bf_loop_timer_set(fixture->loop, &fixture->run_timer,
	    bf_clock_monotonic_us() + ms * BF_US_PER_MS);
	bf_loop_run(fixture->loop);
}

static void
fixture_init(fixture_t *fixture)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	memset(fixture, 0, sizeof(*fixture));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fixture->loop = bf_loop_new(NULL);
	fixture->server.vtable = &server_vtable;
	fixture->server.limits = (bf_http_limits_t){ .head_bytes = 4096,
		.body_bytes = 1 << 20,
		.head_timeout_us = 300 * BF_US_PER_MS,
		.idle_timeout_us = 500 * BF_US_PER_MS };
	g_assert_cmpint(bf_http_server_open(&fixture->server, fixture->loop,
			    &address, bf_clock_monotonic_us(), NULL),
	    ==, BF_OK);
	address.sin_port = htons(bf_listener_port(&fixture->server.listener));
	fixture->client.loop = fixture->loop;
	fixture->client.address = address;
	fixture->client.idle_timeout_us = BF_US_PER_S;
}

static void
fixture_free(fixture_t *fixture)
{
	bf_http_client_reset(&fixture->client);
	bf_http_server_close(&fixture->server);
	bf_loop_free(fixture->loop);
}

typedef struct exchange {
	bf_http_exchange_t exchange;
	bool ended;
	bf_http_result_t result;
	uint32_t status;
} exchange_t;

static void
on_done(bf_http_exchange_t *base, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	exchange_t *exchange = BF_CONTAINER(base, exchange_t, exchange);

	(void)now_us;
	exchange->ended = true;
	exchange->result = result;
	if (message != NULL)
		exchange->status = message->status;
	bf_http_message_free(message);
}

static void
send_request(fixture_t *fixture, exchange_t *exchange, const char *text)
{
	bf_bytes_t head = { 0 };

	memset(exchange, 0, sizeof(*exchange));
	exchange->exchange.done = on_done;
	bf_bytes_add_text(&head, text);
	g_assert_true(bf_http_send(&fixture->client, &exchange->exchange, &head,
	    NULL, BF_US_PER_S, bf_clock_monotonic_us()));
	bf_bytes_free(&head);
}

static int
connect_raw(const fixture_t *fixture, const char *text)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(
	    connect(fd, (const struct sockaddr *)&fixture->client.address,
		sizeof(fixture->client.address)),
	    ==, 0);
	g_assert_cmpint(
	    send(fd, text, strlen(text), 0), ==, (ssize_t)strlen(text));
	return fd;
}

#define READERS 8

/* Callers that read no answer must not hold memory and keep others out. */
static void
test_unread_answers(void)
{
	bf_memory_budget_t budget;
	exchange_t exchange;
	fixture_t fixture;
	int fds[READERS], i;

	bf_memory_budget_init(&budget, 3 * BIG_BYTES);
	fixture_init(&fixture);
	fixture.server.budget = &budget;
	for (i = 0; i < READERS; i++) {
		fds[i] = connect_raw(
		    &fixture, "GET /big HTTP/1.1\r\nHost: h\r\n\r\n");
		run_for(&fixture, 20);
	}
	run_for(&fixture, 1500);
	send_request(&fixture, &exchange, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&fixture, 1000);
	g_assert_cmpuint(exchange.status, ==, 200);
	g_assert_cmpuint(fixture.refused[BF_HTTP_REFUSAL_UNREAD], >, 0);
	g_assert_cmpuint(budget.held_bytes, <=, 4 * BIG_BYTES);
	for (i = 0; i < READERS; i++)
		close(fds[i]);
	run_for(&fixture, 500);
	fixture_free(&fixture);
	g_assert_cmpuint(budget.held_bytes, ==, 0);
}

/*
 * While only requests that wait for their answers hold memory, nothing more is
 * read; what waits in the socket is read once there is room.
 */
static void
test_reading_paused(void)
{
	const size_t limit_bytes = 1 << 20;
	bf_memory_budget_t budget;
	bf_memory_charge_t waiting = { .budget = &budget };
	exchange_t exchange;
	fixture_t fixture;

	bf_memory_budget_init(&budget, limit_bytes);
	bf_memory_charge_set(&waiting, limit_bytes);
	fixture_init(&fixture);
	fixture.server.budget = &budget;
	send_request(&fixture, &exchange, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&fixture, 400);
	g_assert_cmpuint(fixture.requests, ==, 0);
	bf_memory_charge_set(&waiting, 0);
	run_for(&fixture, 100);
	g_assert_cmpuint(exchange.status, ==, 200);
	fixture_free(&fixture);
	g_assert_cmpuint(budget.held_bytes, ==, 0);
}

/* A stopped body is refused as not run when another one needs its memory. */
static void
test_stopped_body_refused(void)
{
	static const char part[900000];
	const size_t spare_bytes = 2 * (size_t)BF_TCP_READ_BYTES;
	bf_memory_budget_t budget;
	bf_memory_charge_t waiting = { .budget = &budget };
	char answer[256] = "";
	exchange_t exchange;
	fixture_t fixture;
	size_t sent = 0;
	ssize_t n;
	int fd;

	bf_memory_budget_init(&budget, sizeof(part) + spare_bytes);
	fixture_init(&fixture);
	fixture.server.budget = &budget;
	fd = connect_raw(&fixture,
	    "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
	while (sent < sizeof(part)) {
		n = send(fd, part + sent, sizeof(part) - sent,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
		run_for(&fixture, 10);
	}
	run_for(&fixture, 600);
	g_assert_cmpuint(budget.held_bytes, >=, sizeof(part));
	bf_memory_charge_set(&waiting, spare_bytes);
	send_request(&fixture, &exchange, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&fixture, 100);
	g_assert_cmpuint(exchange.status, ==, 200);
	g_assert_cmpuint(fixture.refused[BF_HTTP_REFUSAL_MEMORY], ==, 1);
	g_assert_cmpuint(fixture.requests, ==, 1);
	g_assert_cmpint(
	    recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT), >, 0);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503 "));
	g_assert_nonnull(strstr(answer, "\r\nRetry-After: 1\r\n"));
	close(fd);
	bf_memory_charge_set(&waiting, 0);
	fixture_free(&fixture);
	g_assert_cmpuint(budget.held_bytes, ==, 0);
}

/* The status of the answer that has arrived; 0: none, -1: closed without. */
static int
received_status(int fd)
{
	char text[13] = "";
	ssize_t n = recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT);

	if (n < 0 && errno == EAGAIN)
		return 0;
	return n == sizeof(text) - 1 ? atoi(text + strlen("HTTP/1.1 ")) : -1;
}

#define KEPT_REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
#define HELD_REQUEST "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
#define HALF_REQUEST "GET / HTTP/1.1\r\nHost:"

/*
 * At the limit the connection that stands still gives way, not one that is idle
 * after an answer nor one whose request was passed on.
 */
static void
test_newcomer(void)
{
	fixture_t fixture;
	int kept, held, half, newcomer;

	fixture_init(&fixture);
	fixture.server.conn_max = 3;
	kept = connect_raw(&fixture, KEPT_REQUEST);
	held = connect_raw(&fixture, HELD_REQUEST);
	half = connect_raw(&fixture, HALF_REQUEST);
	run_for(&fixture, 30);
	g_assert_cmpint(received_status(kept), ==, 200);
	g_assert_cmpint(received_status(half), ==, 0);
	newcomer = connect_raw(&fixture, KEPT_REQUEST);
	run_for(&fixture, 100);
	g_assert_cmpint(received_status(newcomer), ==, 200);
	g_assert_cmpint(received_status(half), ==, 503);
	g_assert_cmpint(received_status(held), ==, 0);
	g_assert_cmpuint(fixture.server.conn_count, ==, 3);
	close(kept);
	close(held);
	close(half);
	close(newcomer);
	fixture_free(&fixture);
}

/* If none can give way, the newcomer waits until one has left. */
static void
test_newcomer_waits(void)
{
	fixture_t fixture;
	int held, newcomer;

	fixture_init(&fixture);
	fixture.server.conn_max = 1;
	held = connect_raw(&fixture, HELD_REQUEST);
	run_for(&fixture, 30);
	newcomer = connect_raw(&fixture, KEPT_REQUEST);
	run_for(&fixture, 100);
	g_assert_cmpint(received_status(newcomer), ==, 0);
	close(held);
	run_for(&fixture, 200);
	g_assert_cmpint(received_status(newcomer), ==, 200);
	close(newcomer);
	fixture_free(&fixture);
}

/*
 * A caller that sends many requests without waiting for answers is not read
 * any further, and closes behind its requests for a newcomer.
 */
static void
test_pipelined_without_end(void)
{
	GString *requests = g_string_new(NULL);
	fixture_t fixture;
	int fd, i, newcomer;

	fixture_init(&fixture);
	fixture.server.conn_max = 1;
	for (i = 0; i < 100; i++)
		g_string_append(requests, HELD_REQUEST);
	fd = connect_raw(&fixture, requests->str);
	run_for(&fixture, 30);
	newcomer = connect_raw(&fixture, KEPT_REQUEST);
	run_for(&fixture, 100);
	g_assert_cmpint(received_status(newcomer), ==, 0);
	close(fd);
	run_for(&fixture, 200);
	g_assert_cmpuint(fixture.abandoned, ==, 16);
	g_assert_cmpint(received_status(newcomer), ==, 200);
	close(newcomer);
	fixture_free(&fixture);
	g_string_free(requests, TRUE);
}

/* Answers in the order of the requests, however many are sent at once. */
static void
test_pipelined_at_once(void)
{
	GString *requests = g_string_new(NULL), *answers = g_string_new(NULL);
	const char *at;
	fixture_t fixture;
	char buffer[4096];
	int fd, i, count = 0;
	ssize_t n;

	fixture_init(&fixture);
	for (i = 0; i < 1000; i++)
		g_string_append(requests, KEPT_REQUEST);
	fd = connect_raw(&fixture, requests->str);
	for (i = 0; i < 10; i++) {
		run_for(&fixture, 30);
		while ((n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0)
			g_string_append_len(answers, buffer, n);
	}
	for (at = answers->str; (at = strstr(at, "HTTP/1.1 200")) != NULL; at++)
		count++;
	g_assert_cmpint(count, ==, 1000);
	close(fd);
	fixture_free(&fixture);
	g_string_free(requests, TRUE);
	g_string_free(answers, TRUE);
}

/* Of two that stand behind, the one that gets more bytes stays. */
static void
test_slower_gives_way(void)
{
	static const char head[] =
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n";
	bf_memory_budget_t budget;
	char part[4000] = "";
	fixture_t fixture;
	int fast, slow, newcomer;

	bf_memory_budget_init(&budget, 0);
	fixture_init(&fixture);
	fixture.server.budget = &budget;
	fixture.server.conn_max = 2;
	fast = connect_raw(&fixture, head);
	slow = connect_raw(&fixture, head);
	run_for(&fixture, 30);
	g_assert_cmpint(
	    send(fast, part, sizeof(part), 0), ==, (ssize_t)sizeof(part));
	run_for(&fixture, 30);
	g_assert_cmpint(send(slow, part, 1, 0), ==, 1);
	run_for(&fixture, 30);
	newcomer = connect_raw(&fixture, KEPT_REQUEST);
	run_for(&fixture, 100);
	g_assert_cmpint(received_status(newcomer), ==, 200);
	g_assert_cmpint(received_status(slow), ==, 503);
	g_assert_cmpint(received_status(fast), ==, 0);
	close(fast);
	close(slow);
	close(newcomer);
	fixture_free(&fixture);
}

/* A kept connection is reused until the server closes it as idle. */
static void
test_keep_alive(void)
{
	exchange_t exchange;
	fixture_t fixture;

	fixture_init(&fixture);
	send_request(&fixture, &exchange, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&fixture, 30);
	g_assert_cmpint(exchange.result, ==, BF_HTTP_ANSWERED);
	g_assert_cmpuint(exchange.status, ==, 200);
	send_request(&fixture, &exchange, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&fixture, 30);
	g_assert_cmpuint(fixture.client.opened, ==, 1);
	/* The server closes it after its idle time. */
	run_for(&fixture, 900);
	g_assert_cmpuint(fixture.server.conn_count, ==, 0);
	send_request(&fixture, &exchange, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&fixture, 30);
	g_assert_cmpint(exchange.result, ==, BF_HTTP_ANSWERED);
	g_assert_cmpuint(fixture.client.opened, ==, 2);
	fixture_free(&fixture);
}

static void
test_exchange_results(void)
{
	exchange_t exchange;
	fixture_t fixture;

	fixture_init(&fixture);
	send_request(
	    &fixture, &exchange, "GET /abort HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&fixture, 30);
	g_assert_cmpint(exchange.result, ==, BF_HTTP_BROKEN);
	send_request(
	    &fixture, &exchange, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&fixture, 30);
	g_assert_false(exchange.ended);
	bf_http_cancel(&exchange.exchange);
	run_for(&fixture, 30);
	g_assert_cmpuint(fixture.abandoned, ==, 1);
	bf_listener_close(&fixture.server.listener);
	send_request(&fixture, &exchange, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&fixture, 30);
	g_assert_cmpint(exchange.result, ==, BF_HTTP_NOT_SENT);
	fixture_free(&fixture);
}

/* An incomplete head times out with 408; a slow body does not. */
static void
test_slow_head(void)
{
	exchange_t exchange;
	fixture_t fixture;

	fixture_init(&fixture);
	send_request(&fixture, &exchange, "GET / HTTP/1.1\r\nHost:");
	run_for(&fixture, 900);
	g_assert_true(exchange.ended);
	g_assert_cmpuint(exchange.status, ==, 408);
	send_request(&fixture, &exchange,
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab");
	run_for(&fixture, 900);
	g_assert_false(exchange.ended);
	bf_http_cancel(&exchange.exchange);
	fixture_free(&fixture);
}

typedef struct status_line_case {
	const char *line;
	bf_http_fault_t fault;
} status_line_case_t;

/*
 * The parser took statuses without a meaning, other versions and additional
 * spaces for answers, which were passed on to callers.
 */
static void
test_status_lines(void)
{
	static const status_line_case_t cases[] = {
		{ "HTTP/1.1 200 OK", BF_HTTP_OK },
		{ "HTTP/1.0 200 OK", BF_HTTP_OK },
		{ "HTTP/1.1 599 ", BF_HTTP_OK },
		{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", BF_HTTP_OK },
		{ "HTTP/1.1 000 Zero", BF_HTTP_MALFORMED },
		{ "HTTP/1.1 099 Low", BF_HTTP_MALFORMED },
		{ "HTTP/1.1 600 High", BF_HTTP_MALFORMED },
		{ "HTTP/1.1 999 High", BF_HTTP_MALFORMED },
		{ "HTTP/1.1 20 Short", BF_HTTP_MALFORMED },
		{ "HTTP/1.1 2000 Long", BF_HTTP_MALFORMED },
		{ "HTTP/2.0 200 OK", BF_HTTP_MALFORMED },
		{ "HTTP/0.9 200 OK", BF_HTTP_MALFORMED },
		{ "HTTP/1.1  200 OK", BF_HTTP_MALFORMED },
		{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/2.0 200 OK",
		    BF_HTTP_MALFORMED },
		{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1  200 OK",
		    BF_HTTP_MALFORMED },
	};
	collector_t collector;
	size_t i, piece;
	char *text;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_strdup_printf(
		    "%s\r\nContent-Length: 2\r\n\r\nok", cases[i].line);
		for (piece = 1; piece <= strlen(text); piece++) {
			collector_init(&collector, false);
			feed_in_pieces(&collector, text, piece, cases[i].fault);
			g_assert_cmpuint(collector.messages->len, ==,
			    cases[i].fault == BF_HTTP_OK ? 1 : 0);
			collector_free(&collector);
		}
		g_free(text);
	}
}

#define ANSWER_UNFRAMED "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"
#define ANSWER_FRAMED "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf"
#define ANSWER_CHUNKED \
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"

/* What the server does after it has sent its answer. */
typedef enum ending {
	ENDING_RESET,
	ENDING_READ_RESET, /* reads the whole request first */
	ENDING_FIN,        /* with the request unread */
	ENDING_READ_FIN,
	ENDING_FIN_RESET /* the loop runs in between */
} ending_t;

typedef struct ending_case {
	const char *answer;
	ending_t ending;
	bf_http_result_t result;
} ending_case_t;

/* Reads what the client has sent, and lets it send on. */
static void
read_request(fixture_t *fixture, int fd)
{
	static uint8_t buffer[1 << 16];
	int idle_rounds = 0;

	while (idle_rounds < 3) {
		if (recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT) > 0) {
			idle_rounds = 0;
			continue;
		}
		idle_rounds++;
		run_for(fixture, 5);
	}
}

static void
end_connection(fixture_t *fixture, int fd, ending_t ending)
{
	struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };

	if (ending == ENDING_READ_RESET || ending == ENDING_READ_FIN)
		read_request(fixture, fd);
	if (ending == ENDING_FIN || ending == ENDING_READ_FIN ||
	    ending == ENDING_FIN_RESET)
		g_assert_cmpint(shutdown(fd, SHUT_WR), ==, 0);
	if (ending == ENDING_FIN || ending == ENDING_FIN_RESET)
		run_for(fixture, 10);
	if (ending != ENDING_READ_FIN)
		g_assert_cmpint(setsockopt(fd, SOL_SOCKET, SO_LINGER,
				    &no_linger, sizeof(no_linger)),
		    ==, 0);
	close(fd);
}

static void
play_ending(const ending_case_t *ending, size_t body_bytes, bool read_before)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t bytes = sizeof(address);
	bf_bytes_t head = { 0 }, body = { 0 };
	static const uint8_t zeros[1024];
	exchange_t exchange;
	fixture_t fixture;
	int listener, fd;
	size_t i;

	fixture_init(&fixture);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(
	    bind(listener, (struct sockaddr *)&address, bytes), ==, 0);
	g_assert_cmpint(listen(listener, 1), ==, 0);
	g_assert_cmpint(
	    getsockname(listener, (struct sockaddr *)&address, &bytes), ==, 0);
	fixture.client.address = address;
	memset(&exchange, 0, sizeof(exchange));
	exchange.exchange.done = on_done;
	bf_bytes_format(&head,
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n",
	    body_bytes);
	for (i = 0; i < body_bytes; i += sizeof(zeros))
		bf_bytes_add(&body, zeros, sizeof(zeros));
	g_assert_true(bf_http_send(&fixture.client, &exchange.exchange, &head,
	    &body, BF_US_PER_S, bf_clock_monotonic_us()));
	run_for(&fixture, 10);
	fd = accept(listener, NULL, NULL);
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(
	    send(fd, ending->answer, strlen(ending->answer), 0), >, 0);
	if (read_before)
		run_for(&fixture, 10);
	end_connection(&fixture, fd, ending->ending);
	run_for(&fixture, 30);
	g_assert_true(exchange.ended);
	g_assert_cmpint(exchange.result, ==, ending->result);
	/* A connection on which the request was not sent whole is not kept. */
	g_assert_null(fixture.client.idle);
	bf_bytes_free(&head);
	bf_bytes_free(&body);
	close(listener);
	fixture_free(&fixture);
}

/*
 * An answer that a reset cuts off was taken for a whole one when the client was
 * still sending its request: the send that failed hid the reset from the read.
 * Whatever the client sends or reads first, an answer without a length is whole
 * only after an end of stream, and one with a length is whole if it is there.
 */
static void
test_answer_endings(void)
{
	static const ending_case_t cases[] = {
		{ ANSWER_UNFRAMED, ENDING_RESET, BF_HTTP_BROKEN },
		{ ANSWER_UNFRAMED, ENDING_READ_RESET, BF_HTTP_BROKEN },
		{ ANSWER_UNFRAMED, ENDING_FIN, BF_HTTP_ANSWERED },
		{ ANSWER_UNFRAMED, ENDING_READ_FIN, BF_HTTP_ANSWERED },
		{ ANSWER_UNFRAMED, ENDING_FIN_RESET, BF_HTTP_ANSWERED },
		{ ANSWER_CHUNKED, ENDING_RESET, BF_HTTP_BROKEN },
		{ ANSWER_CHUNKED, ENDING_READ_RESET, BF_HTTP_BROKEN },
		{ ANSWER_CHUNKED, ENDING_READ_FIN, BF_HTTP_BROKEN },
		{ ANSWER_CHUNKED, ENDING_FIN_RESET, BF_HTTP_BROKEN },
		{ ANSWER_FRAMED, ENDING_RESET, BF_HTTP_ANSWERED },
		{ ANSWER_FRAMED, ENDING_READ_RESET, BF_HTTP_ANSWERED },
		{ ANSWER_FRAMED, ENDING_READ_FIN, BF_HTTP_ANSWERED },
	};
	static const size_t body_bytes[] = { 0, 4096, 12 << 20 };
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (k = 0; k < G_N_ELEMENTS(body_bytes); k++) {
			play_ending(&cases[i], body_bytes[k], false);
			play_ending(&cases[i], body_bytes[k], true);
		}
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http/requests-in-pieces", test_requests_in_pieces);
	g_test_add_func("/http/refused-requests", test_refused_requests);
	g_test_add_func("/http/trailers", test_trailers);
	g_test_add_func("/http/upgrade", test_upgrade_ignored);
	g_test_add_func("/http/endless-trailers", test_endless_trailers);
	g_test_add_func("/http/unframed", test_body_until_close);
	g_test_add_func("/http/one-answer", test_single_response);
	g_test_add_func("/http/kept-connection", test_keep_alive);
	g_test_add_func("/http/ends", test_exchange_results);
	g_test_add_func("/http/slow-head", test_slow_head);
	g_test_add_func("/http/unread-answers", test_unread_answers);
	g_test_add_func("/http/reading-paused", test_reading_paused);
	g_test_add_func("/http/stopped-body", test_stopped_body_refused);
	g_test_add_func("/http/newcomer", test_newcomer);
	g_test_add_func("/http/newcomer-waits", test_newcomer_waits);
	g_test_add_func(
	    "/http/pipelined-without-end", test_pipelined_without_end);
	g_test_add_func("/http/pipelined-at-once", test_pipelined_at_once);
	g_test_add_func("/http/slower-gives-way", test_slower_gives_way);
	g_test_add_func("/http/status-lines", test_status_lines);
	g_test_add_func("/http/answer-endings", test_answer_endings);
	return g_test_run();
}
