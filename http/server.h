#ifndef BF_HTTP_SERVER_H
#define BF_HTTP_SERVER_H

#include "http/message.h"
#include "net/tcp.h"

/*
 * An HTTP/1.1 server on a loop.  Pipelined requests of a connection are handed
 * out as they come and may be answered in any order; the answers go out in
 * the order of the requests.
 */

typedef struct bf_http_server bf_http_server_t;
typedef struct bf_http_conn bf_http_conn_t;
typedef struct bf_http_request bf_http_request_t;

typedef struct bf_http_server_vtable {
	/* A whole request; to be answered by bf_http_answer, now or later. */
	void (*request)(bf_http_server_t *server, bf_http_request_t *request,
	    bf_time_us_t now_us);
	/*
	 * The client left before its answer: the request is freed after the
	 * call.  Only for requests with a user.
	 */
	void (*abandoned)(bf_http_server_t *server, bf_http_request_t *request,
	    bf_time_us_t now_us);
} bf_http_server_vtable_t;

struct bf_http_request {
	bf_http_conn_t *conn;
	bf_http_request_t *next; /* behind it on its connection */
	bf_http_message_t *message;
	struct sockaddr_in from;
	bf_time_us_t began_us; /* when its head was read */
	void *user;            /* of the one that answers; NULL: none */
	bf_bytes_t answer;
	bool answered;
	bool close_after;
};

typedef struct bf_http_limits {
	uint64_t head_bytes;
	uint64_t body_bytes;
	bf_time_us_t head_us; /* from its first byte to a whole head */
	bf_time_us_t idle_us;
} bf_http_limits_t;

struct bf_http_server {
	const bf_http_server_vtable_t *vtable;
	bf_listener_t listener;
	bf_loop_t *loop;
	bf_timer_t sweep;
	bf_http_conn_t *conns;
	bf_http_limits_t limits;
	uint32_t conn_count;
	uint32_t conn_max; /* 0: no bound */
	bool closing;      /* each answer ends its connection */
};

/* Set vtable, limits and conn_max before. */
bf_code_t bf_http_server_open(bf_http_server_t *server, bf_loop_t *loop,
    const struct sockaddr_in *address, bf_time_us_t now_us, bf_error_t *err);

/*
 * Sets new limits.  A connection keeps the longest idle time that was in force
 * since it was opened, since its client may still count on it.
 */
void bf_http_server_limit(
    bf_http_server_t *server, const bf_http_limits_t *limits);

/*
 * From now on each answer ends its connection.  Idle ones stay until the
 * server is closed: their clients would only open others.
 */
void bf_http_server_drain(bf_http_server_t *server);
void bf_http_server_close(bf_http_server_t *server);

/*
 * Answers; the request may be freed by the call.  fields are whole lines, each
 * with CRLF, without framing and Connection; may be "".
 */
void bf_http_answer(bf_http_request_t *request, uint32_t status,
    const char *fields, const void *body, size_t body_bytes);

/* Ends the connection without an answer to it. */
void bf_http_abort(bf_http_request_t *request);

/* The reason phrase of a status. */
const char *bf_http_reason(uint32_t status);

#endif
