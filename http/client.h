#ifndef BF_HTTP_CLIENT_H
#define BF_HTTP_CLIENT_H

#include "http/message.h"
#include "net/tcp.h"

/*
 * An HTTP/1.1 client of one server.  Each connection carries one exchange at a
 * time and is kept for later exchanges; the most recently used one is reused
 * first.
 */

typedef struct bf_http_client bf_http_client_t;
typedef struct bf_http_exchange bf_http_exchange_t;
typedef struct bf_http_client_conn bf_http_client_conn_t;

typedef enum bf_http_result {
	BF_HTTP_ANSWERED,
	BF_HTTP_NOT_SENT,    /* no byte of the request was sent */
	BF_HTTP_BROKEN,      /* connection lost: the request may have run */
	BF_HTTP_BAD_RESPONSE /* invalid response: the request may have run */
} bf_http_result_t;

struct bf_http_exchange {
	/* message is NULL unless answered; the callee frees it. */
	void (*done)(bf_http_exchange_t *exchange, bf_http_result_t result,
	    bf_http_message_t *message, bf_time_us_t now_us);
	bf_http_client_conn_t *conn; /* NULL: not in progress */
	/*
	 * Its body is sent instead of the body given to bf_http_send, without
	 * a copy if it is long.  May be NULL.
	 */
	bf_http_message_t *shared_body;
	bool is_head_request; /* a HEAD request: its response has no body */
	bool on_used_conn; /* other exchanges were on its connection before */
};

struct bf_http_client {
	bf_loop_t *loop;
	struct sockaddr_in address;
	bf_http_client_conn_t *idle;
	uint32_t conn_count; /* includes those that still send a body */
	/* Idle connections are reused up to this age. */
	bf_time_us_t idle_timeout_us;
	uint64_t opened;            /* total connections opened */
	bf_memory_budget_t *budget; /* may be NULL */
	/*
	 * Bytes of incomplete response bodies.  One response may have as many
	 * as are left to held_bytes_max; so the longest ones fail first, with
	 * BF_HTTP_BAD_RESPONSE, when many are received at once.
	 */
	uint64_t held_bytes;
	uint64_t held_bytes_max; /* 0: no limit */
};

/*
 * Sends a request, on a kept connection if one was idle for less than
 * idle_max_us.  Returns false, without calling done, when no connection could
 * be started.
 */
bool bf_http_send(bf_http_client_t *client, bf_http_exchange_t *exchange,
    const bf_bytes_t *head, const bf_bytes_t *body, bf_time_us_t idle_max_us,
    bf_time_us_t now_us);

/*
 * Cancels an exchange and resets its connection, so that a request that has not
 * arrived yet does not arrive any more; done is not called.
 */
void bf_http_cancel(bf_http_exchange_t *exchange);

/* Closes idle connections, for example when another server has the address. */
void bf_http_client_reset(bf_http_client_t *client);

#endif
