#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "http/server.h"

/* Interval at which connections are checked for idle and header timeouts. */
#define SWEEP_US (250 * BF_US_PER_MS)
/* The same while connections wait for memory, so that they do so briefly. */
#define SWEEP_PAUSED_US (20 * BF_US_PER_MS)
/* Sent with a refusal for want of memory: about the time of a large body. */
#define RETRY_AFTER_FIELD "Retry-After: 1\r\n"
/*
 * A connection with so many requests without an answer, or so many bytes of
 * answers that its caller has not read, is not read until there are fewer.
 */
#define PIPELINED_MAX 16
#define UNSENT_BYTES_MAX ((size_t)BF_TCP_READ_BYTES)
/*
 * An answer of which its caller has read nothing for this time is given up for
 * a new connection.
 */
#define UNREAD_US (2 * BF_US_PER_S)
/* Connections that are read again at a sweep once there is memory. */
#define RESUMED_MAX 64
/* Connections that close behind their requests for others that wait. */
#define CLOSING_MAX 16
/*
 * Of the connections that received nothing for longest, so many are compared to
 * find the one that gives way.
 */
#define CANDIDATES_MAX 16

struct bf_http_conn {
	bf_tcp_t tcp; /* first member */
	bf_http_reader_t reader;
	bf_http_server_t *server;
	TAILQ_ENTRY(bf_http_conn) link;
	struct sockaddr_in from;
	bf_http_request_t *first;
	bf_http_request_t **last;
	uint32_t request_count;
	bf_bytes_t unparsed; /* bytes behind the last request that was read */
	bf_memory_charge_t unparsed_charge;
	bf_task_t parse_task;
	bf_time_us_t now_us;    /* time of the loop iteration that reads */
	bf_time_us_t began_us;  /* start of the message being read; 0: none */
	bool in_head;           /* its head is not complete yet */
	bf_time_us_t active_us; /* last byte read or answer written */
	bf_time_us_t idle_timeout_us; /* the longest that has applied */
	bool reading_ended;           /* further bytes are ignored */
	bool has_served;              /* at least one request was complete */
	bf_memory_body_t body;        /* the request being read */
	/* Answers that were not written at the last sweep. */
	bf_memory_body_t answers;
	uint64_t answers_sent_bytes;  /* of the connection, at that sweep */
	bf_time_us_t answers_read_us; /* last sweep at which some were read */
	bf_memory_charge_t charge;    /* of the connection itself */
};

static bf_http_conn_t *
conn_of(bf_tcp_t *tcp)
{
	return (bf_http_conn_t *)(void *)tcp;
}

static void
free_request(bf_http_request_t *request)
{
	request->conn->request_count--;
	bf_http_message_free(request->message);
	bf_bytes_free(&request->answer);
	bf_memory_charge_set(&request->answer_charge, 0);
	bf_loop_defer_free(request->conn->server->loop, request);
}

/* Frees a connection; requests without an answer are abandoned. */
static void
drop_conn(bf_http_conn_t *conn, bf_time_us_t now_us)
{
	bf_http_server_t *server = conn->server;
	bf_http_request_t *request;

	bf_memory_body_end(&conn->body);
	bf_memory_body_end(&conn->answers);
	bf_memory_charge_set(&conn->charge, 0);
	bf_tcp_close(&conn->tcp);
	TAILQ_REMOVE(&server->conns, conn, link);
	server->conn_count--;
	while ((request = conn->first) != NULL) {
		conn->first = request->next;
		if (!request->answered && request->user != NULL)
			server->vtable->abandoned(server, request, now_us);
		free_request(request);
	}
	bf_http_reader_clear(&conn->reader);
	bf_bytes_free(&conn->unparsed);
	bf_memory_charge_set(&conn->unparsed_charge, 0);
	bf_loop_defer_free(server->loop, conn);
}

static bool
is_full(const bf_http_conn_t *conn)
{
	return conn->request_count >= PIPELINED_MAX ||
	    bf_tcp_unsent(&conn->tcp) >= UNSENT_BYTES_MAX;
}

/* Goes on with bytes that were left behind a request. */
static void
schedule_parse(bf_http_conn_t *conn)
{
	if (bf_bytes_count(&conn->unparsed) > 0 && !is_full(conn))
		bf_loop_defer(conn->server->loop, &conn->parse_task);
}

/* Moves an answer to the connection's output; avoids a copy of a large one. */
static void
move_answer(bf_http_conn_t *conn, bf_http_request_t *request)
{
	bf_bytes_t empty = conn->tcp.out;

	if (bf_tcp_unsent(&conn->tcp) == 0) {
		conn->tcp.out = request->answer;
		request->answer = empty;
		return;
	}
	bf_bytes_add(&conn->tcp.out, bf_bytes_data(&request->answer),
	    bf_bytes_count(&request->answer));
}

/* Moves the answers that are next in order to the connection's output. */
static void
write_answers(bf_http_conn_t *conn)
{
	bf_http_request_t *request;
	bool close_after = false;

	while ((request = conn->first) != NULL && request->answered) {
		move_answer(conn, request);
		close_after = request->close_after;
		conn->first = request->next;
		if (conn->first == NULL)
			conn->last = &conn->first;
		free_request(request);
		if (close_after)
			break;
	}
	if (close_after) {
		conn->reading_ended = true;
		bf_tcp_finish(&conn->tcp);
	}
	bf_tcp_schedule_flush(&conn->tcp);
	schedule_parse(conn);
}

const char *
bf_http_reason(uint32_t status)
{
	switch (status) {
#define REASON(number, name, string) \
	case number:                 \
		return #string;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "Unknown";
	}
}

static bool
is_without_body(const bf_http_request_t *request, uint32_t status)
{
	return status == 204 || status == 304 ||
	    (request->message != NULL && request->message->method == HTTP_HEAD);
}

void
bf_http_answer(bf_http_request_t *request, uint32_t status, const char *fields,
    const void *body, size_t body_bytes)
{
	bf_http_conn_t *conn = request->conn;
	bf_bytes_t *out = &request->answer;

	if (conn->server->draining ||
	    (request->message != NULL && !request->message->keep_alive))
		request->close_after = true;
	bf_bytes_format(out, "HTTP/1.1 %u %s\r\n%s", (unsigned int)status,
	    bf_http_reason(status), fields);
	if (status != 204 && status != 304)
		bf_bytes_format(out, "Content-Length: %zu\r\n", body_bytes);
	if (request->close_after)
		bf_bytes_add_text(out, "Connection: close\r\n");
	bf_bytes_add_text(out, "\r\n");
	if (!is_without_body(request, status))
		bf_bytes_add(out, body, body_bytes);
	request->answered = true;
	request->user = NULL;
	/* Only the answer is needed from now on. */
	bf_http_message_free(request->message);
	request->message = NULL;
	bf_memory_charge_set(&request->answer_charge, bf_memory_of(out));
	if (out->failed)
		request->close_after = true;
	if (conn->first == request)
		write_answers(conn);
}

void
bf_http_abort(bf_http_request_t *request)
{
	request->answered = true;
	request->user = NULL;
	request->close_after = true;
	bf_bytes_clear(&request->answer);
	if (request->conn->first == request)
		write_answers(request->conn);
}

static bf_http_request_t *
add_request(bf_http_conn_t *conn, bf_http_message_t *message)
{
	bf_http_request_t *request;

	request = calloc(1, sizeof(*request));
	if (request == NULL)
		return NULL;
	request->conn = conn;
	request->message = message;
	request->from = conn->from;
	request->answer_charge.budget = conn->server->budget;
	request->head_received_at_us = conn->began_us;
	*conn->last = request;
	conn->last = &request->next;
	conn->request_count++;
	return request;
}

static void
on_head(bf_http_reader_t *reader, bf_http_message_t *message)
{
	bf_http_conn_t *conn = BF_CONTAINER(reader, bf_http_conn_t, reader);
	const char *expect;

	conn->began_us = conn->now_us;
	conn->in_head = false;
	if (conn->server->budget != NULL)
		bf_memory_body_begin(
		    conn->server->budget, &conn->body, conn->now_us);
	expect = bf_http_find(message, "Expect");
	if (expect != NULL && strcasecmp(expect, "100-continue") == 0 &&
	    conn->first == NULL)
		bf_tcp_send(&conn->tcp, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

static void
on_message(bf_http_reader_t *reader, bf_http_message_t *message)
{
	bf_http_conn_t *conn = BF_CONTAINER(reader, bf_http_conn_t, reader);
	bf_http_request_t *request;

	bf_memory_body_end(&conn->body);
	if (conn->reading_ended) {
		bf_http_message_free(message);
		return;
	}
	request = add_request(conn, message);
	conn->began_us = 0;
	conn->has_served = true;
	if (request == NULL) {
		bf_http_message_free(message);
		return;
	}
	if (!message->keep_alive)
		conn->reading_ended = true;
	conn->server->vtable->request(conn->server, request, conn->now_us);
	if (is_full(conn))
		bf_http_reader_pause(reader);
}

static const bf_http_reader_vtable_t reader_vtable = {
	.head = on_head,
	.message = on_message,
};

/* Answers an invalid request, after the answers still outstanding. */
static void
refuse(bf_http_conn_t *conn, uint32_t status)
{
	bf_http_request_t *request;

	conn->reading_ended = true;
	bf_memory_body_end(&conn->body);
	bf_http_reader_clear(&conn->reader);
	request = add_request(conn, NULL);
	if (request == NULL)
		return;
	request->close_after = true;
	bf_http_answer(
	    request, status, status == 503 ? RETRY_AFTER_FIELD : "", "", 0);
}

static void
report_refusal(
    bf_http_conn_t *conn, bf_http_refusal_t reason, bf_time_us_t now_us)
{
	bf_http_server_t *server = conn->server;

	if (server->vtable->body_refused != NULL)
		server->vtable->body_refused(
		    server, reason, &conn->from, now_us);
}

/* Gives up answers that their caller does not read. */
static void
drop_answers(bf_memory_body_t *answers, bf_time_us_t now_us)
{
	bf_http_conn_t *conn = BF_CONTAINER(answers, bf_http_conn_t, answers);

	if (bf_tcp_unsent(&conn->tcp) == 0)
		return; /* they were written since the last sweep */
	report_refusal(conn, BF_HTTP_REFUSAL_UNREAD, now_us);
	drop_conn(conn, now_us);
}

/* Refuses the body being read; nothing of its request was passed on. */
static void
refuse_body(bf_memory_body_t *body, bf_time_us_t now_us)
{
	bf_http_conn_t *conn = BF_CONTAINER(body, bf_http_conn_t, body);

	report_refusal(conn, BF_HTTP_REFUSAL_MEMORY, now_us);
	refuse(conn, 503);
}

static bool
conn_may_read(bf_tcp_t *tcp, bf_time_us_t now_us)
{
	bf_http_conn_t *conn = conn_of(tcp);
	bf_http_server_t *server = conn->server;

	/* Bytes after a refusal are discarded, so they take no memory. */
	if (conn->reading_ended)
		return true;
	if (tcp->peer_closed && server->vtable->abandoned != NULL) {
		drop_conn(conn, now_us);
		return false;
	}
	if (is_full(conn) || bf_bytes_count(&conn->unparsed) > 0)
		return false;
	if (server->budget == NULL ||
	    bf_memory_budget_make_room(
		server->budget, BF_TCP_READ_BYTES, now_us))
		return true;
	bf_loop_timer_set(
	    server->loop, &server->sweep, now_us + SWEEP_PAUSED_US);
	return false;
}

static void
keep_unparsed(bf_http_conn_t *conn, const uint8_t *data, size_t bytes)
{
	bf_bytes_add(&conn->unparsed, data, bytes);
	bf_memory_charge_set(
	    &conn->unparsed_charge, bf_memory_of(&conn->unparsed));
	if (conn->unparsed.failed)
		refuse(conn, 503);
}

static void
parse(bf_http_conn_t *conn, const uint8_t *data, size_t bytes,
    bf_time_us_t now_us)
{
	if (conn->reading_ended)
		return;
	conn->now_us = now_us;
	if (conn->began_us == 0) {
		conn->began_us = now_us;
		conn->in_head = true;
	}
	conn->reader.head_bytes_max = conn->server->limits.head_bytes;
	conn->reader.body_bytes_max = conn->server->limits.body_bytes;
	switch (bf_http_reader_feed(&conn->reader, data, bytes)) {
	case BF_HTTP_OK:
		if (conn->reader.message == NULL) {
			conn->began_us = 0;
		} else if (conn->began_us == 0) {
			/* The next pipelined request. */
			conn->began_us = now_us;
			conn->in_head = true;
		}
		if (conn->reader.paused && !conn->reading_ended &&
		    conn->reader.used_bytes < bytes)
			keep_unparsed(conn, data + conn->reader.used_bytes,
			    bytes - conn->reader.used_bytes);
		break;
	case BF_HTTP_HEAD_TOO_LARGE:
		refuse(conn, 431);
		break;
	case BF_HTTP_BODY_TOO_LARGE:
		report_refusal(conn, BF_HTTP_REFUSAL_TOO_LONG, now_us);
		refuse(conn, 413);
		break;
	case BF_HTTP_MALFORMED:
		refuse(conn, 400);
		break;
	case BF_HTTP_NO_MEMORY:
		refuse(conn, 503);
		break;
	}
}

static void
run_parse(bf_task_t *task, bf_time_us_t now_us)
{
	bf_http_conn_t *conn = BF_CONTAINER(task, bf_http_conn_t, parse_task);
	bf_bytes_t bytes = conn->unparsed;

	if (!bf_tcp_is_open(&conn->tcp) || is_full(conn))
		return;
	conn->unparsed = (bf_bytes_t){ 0 };
	bf_memory_charge_set(&conn->unparsed_charge, 0);
	parse(conn, bf_bytes_data(&bytes), bf_bytes_count(&bytes), now_us);
	bf_bytes_free(&bytes);
	schedule_parse(conn);
	if (bf_bytes_count(&conn->unparsed) == 0 && !is_full(conn))
		bf_tcp_resume(&conn->tcp);
}

static void
conn_flushed(bf_tcp_t *tcp, bf_time_us_t now_us)
{
	bf_http_conn_t *conn = conn_of(tcp);

	(void)now_us;
	if (bf_bytes_count(&conn->unparsed) > 0)
		schedule_parse(conn);
	else if (!is_full(conn))
		bf_tcp_resume(tcp);
}

static void
conn_received(
    bf_tcp_t *tcp, const uint8_t *data, size_t bytes, bf_time_us_t now_us)
{
	bf_http_conn_t *conn = conn_of(tcp);

	if (tcp->peer_closed && conn->server->vtable->abandoned != NULL) {
		/* Nobody waits for the requests in these bytes. */
		drop_conn(conn, now_us);
		return;
	}
	conn->active_us = now_us;
	TAILQ_REMOVE(&conn->server->conns, conn, link);
	TAILQ_INSERT_TAIL(&conn->server->conns, conn, link);
	if (conn->body.budget != NULL && !conn->reading_ended)
		bf_memory_body_received(&conn->body, bytes, now_us);
	if (bf_bytes_count(&conn->unparsed) > 0 && !conn->reading_ended)
		keep_unparsed(conn, data, bytes);
	else
		parse(conn, data, bytes, now_us);
}

static void
conn_ended(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	(void)orderly;
	drop_conn(conn_of(tcp), now_us);
}

static const bf_tcp_vtable_t conn_vtable = {
	.may_read = conn_may_read,
	.received = conn_received,
	.flushed = conn_flushed,
	.ended = conn_ended,
};

static bool
is_idle(const bf_http_conn_t *conn)
{
	return conn->first == NULL && conn->began_us == 0 &&
	    bf_tcp_unsent(&conn->tcp) == 0 &&
	    bf_bytes_count(&conn->unparsed) == 0;
}

/*
 * Whether the connection may be closed for a new one.  An idle connection of a
 * caller that was served ends by its idle timeout, which that caller may rely
 * on.
 */
static bool
may_give_way(const bf_http_conn_t *conn, bf_time_us_t now_us)
{
	if (conn->first != NULL)
		return false;
	if (bf_tcp_unsent(&conn->tcp) > 0)
		return now_us - conn->answers_read_us > UNREAD_US;
	return !(conn->has_served && is_idle(conn));
}

/* Bytes that it receives, or that its caller reads, in the recent time. */
static double
progress(const bf_http_conn_t *conn, bf_time_us_t now_us)
{
	double rate = 0;

	if (conn->body.budget != NULL)
		rate += bf_memory_body_rate(&conn->body, now_us);
	if (conn->answers.budget != NULL)
		rate += bf_memory_body_rate(&conn->answers, now_us);
	return rate;
}

/* The connection that gives way to a new one; NULL: none can. */
static bf_http_conn_t *
find_slowest(const bf_http_server_t *server, bf_time_us_t now_us)
{
	bf_http_conn_t *conn, *slowest = NULL;
	double rate, slowest_rate = 0;
	uint32_t candidates = 0;

	TAILQ_FOREACH(conn, &server->conns, link)
	{
		if (!may_give_way(conn, now_us))
			continue;
		rate = progress(conn, now_us);
		if (slowest == NULL || rate < slowest_rate) {
			slowest = conn;
			slowest_rate = rate;
		}
		if (++candidates == CANDIDATES_MAX)
			break;
	}
	return slowest;
}

/* Closes a connection at once; what was read of a request was not passed on. */
static void
give_way(bf_http_conn_t *conn, bf_time_us_t now_us)
{
	report_refusal(conn, BF_HTTP_REFUSAL_CROWDED, now_us);
	if (conn->began_us != 0 && !conn->reading_ended) {
		refuse(conn, 503);
		bf_tcp_flush(&conn->tcp);
	}
	drop_conn(conn, now_us);
}

/*
 * The connection that is to close behind its last answer, so that a new one
 * gets its turn: that with the most requests.  NULL: there is none, or enough
 * are to close already.
 */
static bf_http_conn_t *
find_busiest(const bf_http_server_t *server)
{
	bf_http_conn_t *conn, *busiest = NULL;
	uint32_t closing = 0;

	TAILQ_FOREACH(conn, &server->conns, link)
	{
		if (conn->request_count == 0)
			continue;
		if (conn->reading_ended) {
			if (++closing == CLOSING_MAX)
				return NULL;
			continue;
		}
		if (busiest == NULL ||
		    conn->request_count > busiest->request_count)
			busiest = conn;
	}
	return busiest;
}

/*
 * Reads no further request.  Those that the caller has sent behind the last one
 * that was read count as not read, as its answer closes the connection.
 */
static void
close_behind_requests(bf_http_conn_t *conn)
{
	bf_http_request_t *request = conn->first;

	while (request->next != NULL)
		request = request->next;
	request->close_after = true;
	conn->reading_ended = true;
	conn->began_us = 0;
	bf_memory_body_end(&conn->body);
	bf_http_reader_clear(&conn->reader);
	bf_bytes_free(&conn->unparsed);
	bf_memory_charge_set(&conn->unparsed_charge, 0);
	bf_tcp_resume(&conn->tcp);
}

static bool
may_accept(bf_listener_t *listener, bf_time_us_t now_us)
{
	const bf_http_server_t *server =
	    BF_CONTAINER(listener, bf_http_server_t, listener);

	return server->conn_max == 0 || server->conn_count < server->conn_max ||
	    find_slowest(server, now_us) != NULL;
}

/* Gives a connection that waits its turn. */
static void
on_waits(bf_listener_t *listener, bf_time_us_t now_us)
{
	const bf_http_server_t *server =
	    BF_CONTAINER(listener, bf_http_server_t, listener);
	bf_http_conn_t *busiest = find_busiest(server);

	(void)now_us;
	if (busiest != NULL)
		close_behind_requests(busiest);
}

static void
on_accepted(bf_listener_t *listener, int fd, const struct sockaddr_in *from,
    bf_time_us_t now_us)
{
	bf_http_server_t *server =
	    BF_CONTAINER(listener, bf_http_server_t, listener);
	bf_http_conn_t *conn;

	if (server->conn_max != 0 && server->conn_count >= server->conn_max)
		give_way(find_slowest(server, now_us), now_us);
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL) {
		close(fd);
		return;
	}
	if (bf_tcp_adopt(&conn->tcp, &conn_vtable, server->loop, fd, NULL) !=
	    BF_OK) {
		free(conn);
		return;
	}
	bf_http_reader_init(&conn->reader, &reader_vtable, true);
	conn->reader.budget = server->budget;
	conn->tcp.out_charge.budget = server->budget;
	conn->charge.budget = server->budget;
	conn->unparsed_charge.budget = server->budget;
	conn->parse_task.run = run_parse;
	bf_memory_charge_set(&conn->charge, sizeof(*conn));
	conn->body.refuse = refuse_body;
	conn->answers.refuse = drop_answers;
	conn->server = server;
	conn->from = *from;
	conn->last = &conn->first;
	conn->active_us = now_us;
	conn->answers_read_us = now_us;
	conn->idle_timeout_us = server->limits.idle_timeout_us;
	TAILQ_INSERT_TAIL(&server->conns, conn, link);
	server->conn_count++;
}

bool
bf_http_server_is_idle(const bf_http_server_t *server)
{
	const bf_http_conn_t *conn;

	TAILQ_FOREACH(conn, &server->conns, link)
	{
		if (!is_idle(conn))
			return false;
	}
	return true;
}

/* Notes whether answers were read since the last sweep. */
static void
note_answers_read(bf_http_conn_t *conn, bf_time_us_t now_us)
{
	if (bf_tcp_unsent(&conn->tcp) == 0 ||
	    conn->tcp.sent_bytes != conn->answers_sent_bytes)
		conn->answers_read_us = now_us;
}

/* Follows how fast answers are read; false if the connection was dropped. */
static bool
track_answers(
    bf_http_conn_t *conn, bf_time_us_t elapsed_us, bf_time_us_t now_us)
{
	uint64_t sent_bytes = conn->tcp.sent_bytes - conn->answers_sent_bytes;

	conn->answers_sent_bytes = conn->tcp.sent_bytes;
	if (bf_tcp_unsent(&conn->tcp) == 0) {
		bf_memory_body_end(&conn->answers);
	} else if (conn->answers.budget == NULL) {
		bf_memory_body_begin(
		    conn->server->budget, &conn->answers, now_us);
	} else {
		bf_memory_body_received(&conn->answers, sent_bytes, now_us);
		if (bf_memory_body_is_too_slow(&conn->answers, elapsed_us)) {
			drop_answers(&conn->answers, now_us);
			return false;
		}
	}
	return true;
}

/* Reads a paused connection again, if there is memory for it. */
static void
resume_if_room(bf_http_conn_t *conn)
{
	bf_http_server_t *server = conn->server;

	if (is_full(conn) || bf_bytes_count(&conn->unparsed) > 0)
		return;
	server->waits_for_memory = true;
	if (server->resumed_count == RESUMED_MAX)
		return;
	if (server->budget != NULL && TAILQ_EMPTY(&server->budget->bodies) &&
	    !bf_memory_budget_has_room(server->budget, BF_TCP_READ_BYTES))
		return;
	server->resumed_count++;
	bf_tcp_resume(&conn->tcp);
}

static void
sweep_conn(bf_http_conn_t *conn, bf_time_us_t elapsed_us, bf_time_us_t now_us)
{
	bf_http_server_t *server = conn->server;

	if (conn->tcp.paused) {
		resume_if_room(conn);
	} else if (conn->body.budget != NULL &&
	    bf_memory_body_is_too_slow(&conn->body, elapsed_us)) {
		report_refusal(conn, BF_HTTP_REFUSAL_SLOW, now_us);
		refuse(conn, 503);
		return;
	}
	note_answers_read(conn, now_us);
	if (server->budget != NULL && !track_answers(conn, elapsed_us, now_us))
		return;

	if (is_idle(conn)) {
		if (now_us - conn->active_us > conn->idle_timeout_us)
			drop_conn(conn, now_us);
		return;
	}
	/* The head timed out; bodies are limited by the call's deadline. */
	if (conn->began_us != 0 && conn->in_head && !conn->reading_ended &&
	    now_us - conn->began_us > server->limits.head_timeout_us)
		refuse(conn, 408);
}

static void
sweep(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_http_server_t *server = BF_CONTAINER(timer, bf_http_server_t, sweep);
	bf_http_conn_t *conn, *next;

	bf_time_us_t elapsed_us = now_us - server->swept_us;

	server->swept_us = now_us;
	server->resumed_count = 0;
	server->waits_for_memory = false;
	for (conn = TAILQ_FIRST(&server->conns); conn != NULL; conn = next) {
		next = TAILQ_NEXT(conn, link);
		sweep_conn(conn, elapsed_us, now_us);
	}
	bf_loop_timer_set(server->loop, timer,
	    now_us + (server->waits_for_memory ? SWEEP_PAUSED_US : SWEEP_US));
}

bf_code_t
bf_http_server_open(bf_http_server_t *server, bf_loop_t *loop,
    const struct sockaddr_in *address, bf_time_us_t now_us, bf_error_t *err)
{
	server->loop = loop;
	server->swept_us = now_us;
	server->listener.accepted = on_accepted;
	server->listener.may_accept = may_accept;
	server->listener.waits = on_waits;
	TAILQ_INIT(&server->conns);
	server->sweep.fire = sweep;
	bf_loop_timer_set(loop, &server->sweep, now_us + SWEEP_US);
	return bf_listener_open(&server->listener, loop, address, err);
}

void
bf_http_server_set_limits(
    bf_http_server_t *server, const bf_http_limits_t *limits)
{
	bf_http_conn_t *conn;

	server->limits = *limits;
	TAILQ_FOREACH(conn, &server->conns, link)
	{
		if (conn->idle_timeout_us < limits->idle_timeout_us)
			conn->idle_timeout_us = limits->idle_timeout_us;
	}
}

void
bf_http_server_drain(bf_http_server_t *server)
{
	server->draining = true;
}

void
bf_http_server_close(bf_http_server_t *server)
{
	bf_http_conn_t *conn;

	bf_listener_close(&server->listener);
	bf_loop_timer_cancel(server->loop, &server->sweep);
	while ((conn = TAILQ_FIRST(&server->conns)) != NULL)
		drop_conn(conn, bf_clock_monotonic_us());
}
