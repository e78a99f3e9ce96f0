#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/client.h"

/* Safety margin subtracted from the keep-alive timeout of a server. */
#define KEEP_ALIVE_MARGIN_US BF_US_PER_S
/* A shorter body is copied, so that it is sent together with its head. */
#define SHARED_BYTES_MIN 65536

struct bf_http_client_conn {
	bf_tcp_t tcp; /* first member */
	bf_http_reader_t reader;
	bf_http_client_t *client;
	bf_http_client_conn_t *next;
	bf_http_exchange_t *exchange; /* NULL: idle or finishing */
	bf_time_us_t now_us;
	bf_time_us_t idle_since_us;
	bf_time_us_t keep_alive_us; /* keep-alive time of the server */
	uint64_t held_bytes;        /* of the response that is being received */
	bf_http_message_t *body;    /* of the request, if it is shared */
	bool is_used;               /* an exchange has begun on it */
	bool is_idle;
};

static bf_http_client_conn_t *
conn_of(bf_tcp_t *tcp)
{
	return (bf_http_client_conn_t *)(void *)tcp;
}

static void
remove_idle(bf_http_client_conn_t *conn)
{
	bf_http_client_conn_t **link;

	if (!conn->is_idle)
		return;
	conn->is_idle = false;
	for (link = &conn->client->idle; *link != NULL; link = &(*link)->next) {
		if (*link == conn) {
			*link = conn->next;
			return;
		}
	}
}

static void
set_held_bytes(bf_http_client_conn_t *conn, uint64_t bytes)
{
	conn->client->held_bytes += bytes - conn->held_bytes;
	conn->held_bytes = bytes;
}

/* Counts the body received so far; false if it is too long. */
static bool
count_held_bytes(bf_http_client_conn_t *conn)
{
	const bf_http_message_t *message = conn->reader.message;
	const bf_http_client_t *client = conn->client;

	set_held_bytes(
	    conn, message != NULL ? bf_bytes_count(&message->body) : 0);
	return client->held_bytes_max == 0 ||
	    conn->held_bytes + client->held_bytes <= client->held_bytes_max;
}

static void
drop_conn(bf_http_client_conn_t *conn)
{
	remove_idle(conn);
	set_held_bytes(conn, 0);
	bf_tcp_close(&conn->tcp);
	bf_http_reader_clear(&conn->reader);
	bf_http_message_free(conn->body);
	conn->body = NULL;
	conn->client->conn_count--;
	bf_loop_defer_free(conn->client->loop, conn);
}

/* Detaches the exchange from its connection and reports its result. */
static void
end_exchange(bf_http_client_conn_t *conn, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_http_exchange_t *exchange = conn->exchange;

	conn->exchange = NULL;
	exchange->conn = NULL;
	exchange->done(exchange, result, message, now_us);
}

/* Reads "timeout=N" (seconds) of the Keep-Alive field, less the margin. */
static bf_time_us_t
parse_keep_alive_us(const bf_http_message_t *message, bf_time_us_t default_us)
{
	const char *text;
	long seconds;

	text = bf_http_find(message, "Keep-Alive");
	if (text == NULL)
		return default_us;
	text = strcasestr(text, "timeout=");
	if (text == NULL)
		return default_us;
	seconds = strtol(text + sizeof("timeout=") - 1, NULL, 10);
	if (seconds <= 0)
		return 0;
	return seconds * BF_US_PER_S - KEEP_ALIVE_MARGIN_US;
}

/* Keeps, finishes or drops a connection after a complete response. */
static void
keep_or_drop_conn(bf_http_client_conn_t *conn, const bf_http_message_t *message)
{
	if (bf_tcp_unsent(&conn->tcp) > 0) {
		/*
		 * The response came before the whole request was sent: the
		 * rest of its body must still be sent, and no other request
		 * may follow it.
		 */
		bf_tcp_finish(&conn->tcp);
		return;
	}
	if (!message->keep_alive || message->until_close ||
	    conn->tcp.send_failed) {
		drop_conn(conn);
		return;
	}
	bf_http_message_free(conn->body);
	conn->body = NULL;
	conn->keep_alive_us =
	    parse_keep_alive_us(message, conn->client->idle_timeout_us);
	conn->idle_since_us = conn->now_us;
	conn->is_idle = true;
	conn->next = conn->client->idle;
	conn->client->idle = conn;
}

static void
on_message(bf_http_reader_t *reader, bf_http_message_t *message)
{
	bf_http_client_conn_t *conn =
	    BF_CONTAINER(reader, bf_http_client_conn_t, reader);
	bf_http_exchange_t *exchange = conn->exchange;
	bf_time_us_t now_us = conn->now_us;

	if (exchange == NULL) {
		bf_http_message_free(message);
		return;
	}
	conn->exchange = NULL;
	exchange->conn = NULL;
	set_held_bytes(conn, 0);
	keep_or_drop_conn(conn, message);
	exchange->done(exchange, BF_HTTP_ANSWERED, message, now_us);
}

static const bf_http_reader_vtable_t reader_vtable = { .message = on_message };

static void
conn_received(
    bf_tcp_t *tcp, const uint8_t *data, size_t bytes, bf_time_us_t now_us)
{
	bf_http_client_conn_t *conn = conn_of(tcp);

	conn->now_us = now_us;
	if (conn->exchange == NULL) {
		/* Unsolicited bytes: no request is outstanding. */
		drop_conn(conn);
		return;
	}
	if (bf_http_reader_feed(&conn->reader, data, bytes) != BF_HTTP_OK ||
	    (conn->exchange != NULL && !count_held_bytes(conn))) {
		bf_tcp_close(tcp);
		if (conn->exchange != NULL)
			end_exchange(conn, BF_HTTP_BAD_RESPONSE, NULL, now_us);
		drop_conn(conn);
		return;
	}
	if (conn->reader.has_trailing_bytes && bf_tcp_is_open(tcp) &&
	    conn->is_idle)
		drop_conn(conn);
}

static void
conn_ended(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	bf_http_client_conn_t *conn = conn_of(tcp);

	conn->now_us = now_us;
	if (orderly && conn->exchange != NULL) {
		/* May complete the exchange, which drops the connection. */
		bf_http_reader_finish(&conn->reader);
		if (conn->exchange == NULL)
			return;
	}
	if (conn->exchange != NULL)
		end_exchange(conn,
		    tcp->connecting ? BF_HTTP_NOT_SENT : BF_HTTP_BROKEN, NULL,
		    now_us);
	drop_conn(conn);
}

/*
 * Answers are bounded by held_bytes_max, so they are read even if only requests
 * that wait for them are left to hold memory.
 */
static bool
conn_may_read(bf_tcp_t *tcp, bf_time_us_t now_us)
{
	bf_http_client_t *client = conn_of(tcp)->client;

	if (client->budget != NULL)
		(void)bf_memory_budget_make_room(
		    client->budget, BF_TCP_READ_BYTES, now_us);
	return true;
}

static const bf_tcp_vtable_t conn_vtable = {
	.may_read = conn_may_read,
	.received = conn_received,
	.ended = conn_ended,
};

static bf_http_client_conn_t *
take_idle(
    bf_http_client_t *client, bf_time_us_t idle_max_us, bf_time_us_t now_us)
{
	bf_time_us_t idle_us;
	bf_http_client_conn_t *conn;

	while ((conn = client->idle) != NULL) {
		idle_us = now_us - conn->idle_since_us;
		if (idle_us < conn->keep_alive_us &&
		    idle_us < client->idle_timeout_us) {
			if (idle_us >= idle_max_us)
				return NULL;
			client->idle = conn->next;
			conn->is_idle = false;
			return conn;
		}
		drop_conn(conn);
	}
	return NULL;
}

static bf_http_client_conn_t *
open_conn(bf_http_client_t *client)
{
	bf_http_client_conn_t *conn;

	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		return NULL;
	if (bf_tcp_connect(&conn->tcp, &conn_vtable, client->loop,
		&client->address, NULL) != BF_OK) {
		free(conn);
		return NULL;
	}
	conn->client = client;
	client->conn_count++;
	client->opened++;
	return conn;
}

bool
bf_http_send(bf_http_client_t *client, bf_http_exchange_t *exchange,
    const bf_bytes_t *head, const bf_bytes_t *body, bf_time_us_t idle_max_us,
    bf_time_us_t now_us)
{
	bf_http_client_conn_t *conn;

	conn = take_idle(client, idle_max_us, now_us);
	if (conn == NULL)
		conn = open_conn(client);
	if (conn == NULL)
		return false;
	bf_http_reader_init(&conn->reader, &reader_vtable, false);
	conn->reader.single_message = true;
	conn->reader.budget = client->budget;
	conn->reader.side = BF_MEMORY_TARGET;
	conn->tcp.out_charge.side = BF_MEMORY_TARGET;
	conn->tcp.out_charge.budget = client->budget;
	conn->reader.response_to_head = exchange->is_head_request;
	conn->exchange = exchange;
	exchange->conn = conn;
	exchange->on_used_conn = conn->is_used;
	conn->is_used = true;
	bf_bytes_add(&conn->tcp.out, bf_bytes_data(head), bf_bytes_count(head));
	if (exchange->shared_body != NULL)
		body = &exchange->shared_body->body;
	if (exchange->shared_body != NULL &&
	    bf_bytes_count(body) >= SHARED_BYTES_MIN) {
		conn->body = bf_http_message_hold(exchange->shared_body);
		conn->tcp.tail = bf_bytes_data(body);
		conn->tcp.tail_bytes = bf_bytes_count(body);
	} else if (body != NULL) {
		bf_bytes_add(
		    &conn->tcp.out, bf_bytes_data(body), bf_bytes_count(body));
	}
	bf_tcp_schedule_flush(&conn->tcp);
	return true;
}

void
bf_http_cancel(bf_http_exchange_t *exchange)
{
	bf_http_client_conn_t *conn = exchange->conn;

	if (conn == NULL)
		return;
	exchange->conn = NULL;
	conn->exchange = NULL;
	/* The request may still be on its way to the server. */
	bf_tcp_abort(&conn->tcp);
	drop_conn(conn);
}

void
bf_http_client_reset(bf_http_client_t *client)
{
	while (client->idle != NULL)
		drop_conn(client->idle);
}
