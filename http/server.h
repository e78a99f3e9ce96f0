#ifndef BF_HTTP_SERVER_H
#define BF_HTTP_SERVER_H

#include <sys/queue.h>

#include "http/message.h"
#include "net/tcp.h"

/*
 * An HTTP/1.1 server on an event loop.  Pipelined requests of a connection are
 * dispatched as they arrive and may be answered in any order; the responses
 * are sent in the order of the requests.
 */

typedef struct bf_http_server bf_http_server_t;
typedef struct bf_http_conn bf_http_conn_t;
typedef struct bf_http_request bf_http_request_t;

typedef enum bf_http_refusal {
	BF_HTTP_REFUSAL_MEMORY,
	BF_HTTP_REFUSAL_SLOW,
	BF_HTTP_REFUSAL_TOO_LONG,
	BF_HTTP_REFUSAL_UNREAD,
	BF_HTTP_REFUSAL_CROWDED,
	BF_HTTP_REFUSAL_COUNT
} bf_http_refusal_t;

typedef struct bf_http_server_vtable {
	/* A request is complete; answer it by bf_http_answer, now or later. */
	void (*request)(bf_http_server_t *server, bf_http_request_t *request,
	    bf_time_us_t now_us);
	/*
	 * The client closed the connection before the answer; the request is
	 * freed after the call.  Called only for requests with a user.  With
	 * this callback, requests that are read only after the client has
	 * closed its side are not dispatched at all.  May be NULL.
	 */
	void (*abandoned)(bf_http_server_t *server, bf_http_request_t *request,
	    bf_time_us_t now_us);
	/*
	 * A request was refused before it was complete, as nothing was left of
	 * the memory budget, or for its minimum rate or its length, or an
	 * answer that is not read was given up, or a connection was closed for
	 * another one.  May be NULL.
	 */
	void (*body_refused)(bf_http_server_t *server, bf_http_refusal_t reason,
	    const struct sockaddr_in *from, bf_time_us_t now_us);
} bf_http_server_vtable_t;

struct bf_http_request {
	bf_http_conn_t *conn;
	bf_http_request_t *next; /* the next request on the connection */
	bf_http_message_t *message;
	struct sockaddr_in from;
	/* Time at which its head was complete. */
	bf_time_us_t head_received_at_us;
	void *user; /* set by the request callback; may be NULL */
	bf_bytes_t answer;
	bf_memory_charge_t answer_charge;
	bool answered;
	bool close_after;
};

typedef struct bf_http_limits {
	uint64_t head_bytes;
	uint64_t body_bytes;
	/* From the first byte to the end of the head. */
	bf_time_us_t head_timeout_us;
	bf_time_us_t idle_timeout_us;
} bf_http_limits_t;

struct bf_http_server {
	const bf_http_server_vtable_t *vtable;
	bf_listener_t listener;
	bf_loop_t *loop;
	bf_timer_t sweep;
	/* The one that received nothing for longest is the first. */
	TAILQ_HEAD(bf_http_conns, bf_http_conn) conns;
	bf_http_limits_t limits;
	uint32_t conn_count;
	/*
	 * At the limit a connection without a request that was passed on gives
	 * way to a new one.  0: no limit.
	 */
	uint32_t conn_max;
	bool draining;              /* each answer closes its connection */
	bf_memory_budget_t *budget; /* set before opening; may be NULL */
	bf_time_us_t swept_us;
	uint32_t resumed_count; /* connections, at the last sweep */
	bool waits_for_memory;  /* a connection did, at the last sweep */
};

/* Starts to listen.  vtable, limits and conn_max must be set before. */
bf_code_t bf_http_server_open(bf_http_server_t *server, bf_loop_t *loop,
    const struct sockaddr_in *address, bf_time_us_t now_us, bf_error_t *err);

/*
 * Sets new limits.  A connection keeps the longest idle timeout that applied
 * since it was opened, because its client may rely on it.
 */
void bf_http_server_set_limits(
    bf_http_server_t *server, const bf_http_limits_t *limits);

/*
 * From now on each answer closes its connection.  Idle connections stay open
 * until the server is closed, as their clients would only open new ones.
 */
void bf_http_server_drain(bf_http_server_t *server);
void bf_http_server_close(bf_http_server_t *server);

/* Whether it is reading no request, and has written all answers. */
bool bf_http_server_is_idle(const bf_http_server_t *server);

/*
 * Answers a request, which the call may free.  fields are complete header
 * lines with CRLF, without framing fields and Connection; may be "".
 */
void bf_http_answer(bf_http_request_t *request, uint32_t status,
    const char *fields, const void *body, size_t body_bytes);

/* Closes the connection without answering the request. */
void bf_http_abort(bf_http_request_t *request);

/* The reason phrase of a status. */
const char *bf_http_reason(uint32_t status);

#endif
