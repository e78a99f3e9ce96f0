#ifndef BF_PROXY_UPSTREAM_H
#define BF_PROXY_UPSTREAM_H

#include <curl/curl.h>

#include "proxy/client.h"
#include "proxy/headers.h"
#include "proxy/proxy.h"

/*
 * The upstream request of a call: one request to the next hop or the target,
 * by libcurl.  Whether it may have been sent is known for certain: libcurl
 * calls back when it has a connection and before it sends anything on it.
 */

typedef struct bf_call bf_call_t;

typedef struct bf_upstream {
	CURL *easy; /* NULL: not in progress */
	struct curl_slist *header_list;
	char address[BF_CLIENT_ADDRESS_BYTES];
	bf_time_us_t start_us;
	/* Connections on which the request was or may have been sent. */
	uint32_t send_count;
	bool resend_stopped; /* a resend by libcurl was needed and refused */
	bool done;
	bool done_handled; /* the hop's upstream_done was called */
	CURLcode code;
	bool head_complete;
	bool head_accepted; /* by the hop's classify_response */
	uint32_t status;
	bf_headers_t response_headers;
	bf_framing_t framing;
	uint64_t body_bytes;
	uint64_t trailer_bytes;
	bool send_paused;
	bool receive_paused;
	bf_outcome_t outcome;
	bf_reason_t reason;
} bf_upstream_t;

typedef struct bf_upstream_options {
	const char *address; /* "IP:port" */
	bf_time_us_t timeout_us;
	bf_time_us_t idle_max_us; /* longest idle time of a reused connection */
	bool new_connection;      /* reuse none and keep none */
	bool expect_continue;     /* send "Expect: 100-continue" */
} bf_upstream_options_t;

/* Starts the call's request to options->address; false without memory. */
bool bf_upstream_start(
    bf_call_t *call, const bf_upstream_options_t *options, bf_time_us_t now_us);

/* Append a request header; false when out of memory. */
bool bf_upstream_add_header(
    struct curl_slist **header_list, const char *name, const char *value);
bool bf_upstream_add_number(
    struct curl_slist **header_list, const char *name, uint64_t value);

/* Sets done, outcome and reason when libcurl has ended with code. */
void bf_upstream_finish(bf_call_t *call, CURLcode code);

/* Stops the request; a connection in use is closed. */
void bf_upstream_abort(bf_call_t *call);

/* Resumes transfers paused on a full or empty buffer that now may go on. */
void bf_upstream_unpause(bf_call_t *call);

/* Clears the state for another attempt. */
void bf_upstream_reset(bf_upstream_t *upstream);

#endif
