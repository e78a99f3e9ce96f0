#ifndef BF_HTTP_CLIENT_H
#define BF_HTTP_CLIENT_H

#include "http/message.h"
#include "net/tcp.h"

/*
 * An HTTP/1.1 client of one server: one exchange a connection at a time,
 * connections kept for later exchanges, the last one used first.
 */

typedef struct bf_http_client bf_http_client_t;
typedef struct bf_http_exchange bf_http_exchange_t;
typedef struct bf_http_link bf_http_link_t;

typedef enum bf_http_end {
	BF_HTTP_ANSWERED,
	BF_HTTP_NOT_SENT, /* certain: no byte of the request left */
	BF_HTTP_BROKEN,   /* the connection ended: it may have run */
	BF_HTTP_BAD       /* what came is no whole answer: it may have run */
} bf_http_end_t;

struct bf_http_exchange {
	/* message is NULL unless answered; the callee owns it. */
	void (*done)(bf_http_exchange_t *exchange, bf_http_end_t end,
	    bf_http_message_t *message, bf_time_us_t now_us);
	bf_http_link_t *link; /* NULL: not under way */
	bool head;            /* the request is a HEAD */
};

struct bf_http_client {
	bf_loop_t *loop;
	struct sockaddr_in address;
	bf_http_link_t *idle;
	uint32_t link_count;  /* with those that still write a body */
	bf_time_us_t idle_us; /* kept connections are used up to this age */
	uint64_t opened;      /* connections opened so far */
};

/*
 * Sends a request.  A kept connection is used if it was idle for less than
 * idle_max_us.  False: no connection could be begun, done is not called.
 */
bool bf_http_send(bf_http_client_t *client, bf_http_exchange_t *exchange,
    const bf_bytes_t *head, const bf_bytes_t *body, bf_time_us_t idle_max_us,
    bf_time_us_t now_us);

/* Gives an exchange up and closes its connection; done is not called. */
void bf_http_cancel(bf_http_exchange_t *exchange);

/* Closes kept connections, as when another server has the address. */
void bf_http_client_reset(bf_http_client_t *client);

#endif
