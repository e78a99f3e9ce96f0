#ifndef BF_PROXY_UPSTREAM_H
#define BF_PROXY_UPSTREAM_H

#include <curl/curl.h>

#include "proxy/client.h"
#include "proxy/headers.h"
#include "proxy/proxy.h"

/*
 * A leg: one request to the next hop, by libcurl.  It knows for certain
 * whether the request may have left: libcurl calls back when a connection is
 * there and before anything is sent on it.
 */

typedef struct bf_call bf_call_t;

typedef struct bf_upstream {
	CURL *easy; /* NULL: not at work */
	struct curl_slist *header_list;
	char address[BF_CLIENT_ADDRESS_BYTES];
	bf_time_us_t start_us;
	uint32_t
	    send_count; /* connections on which it was, or could be, sent */
	bool resend_stopped; /* a second one was needed and not allowed */
	bool done;
	bool done_handled; /* the hop was told that it is over */
	CURLcode code;
	bool head_complete;
	bool head_accepted; /* the hop accepted the head */
	uint32_t status;
	bf_headers_t response_headers;
	bf_framing_t framing;
	uint64_t body_bytes;
	bool send_paused;
	bool receive_paused;
	bf_outcome_t outcome;
	bf_reason_t reason;
} bf_upstream_t;

typedef struct bf_upstream_options {
	const char *address; /* "IP:port" */
	bf_time_us_t timeout_us;
	bf_time_us_t idle_max_us; /* oldest kept connection that may be used */
	bool fresh;               /* use a new connection */
	bool expect_continue;     /* ask before a streamed body is sent */
} bf_upstream_options_t;

/* Sends the request of the call; false when memory is short. */
bool bf_upstream_start(
    bf_call_t *call, const bf_upstream_options_t *options, bf_time_us_t now_us);

/* For a hop that adds its own; false when memory is short. */
bool bf_upstream_add_header(
    struct curl_slist **header_list, const char *name, const char *value);
bool bf_upstream_add_number(
    struct curl_slist **header_list, const char *name, uint64_t value);

/* libcurl is done: sets over, outcome and reason. */
void bf_upstream_finish(bf_call_t *call, CURLcode code);

/* Gives up; a connection in use is closed. */
void bf_upstream_abort(bf_call_t *call);

/* Takes up again what a full or empty ring had paused. */
void bf_upstream_unpause(bf_call_t *call);

/* Ready for another try. */
void bf_upstream_reset(bf_upstream_t *upstream);

#endif
