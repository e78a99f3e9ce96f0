#ifndef BF_LOAD_REQUEST_H
#define BF_LOAD_REQUEST_H

#include <curl/curl.h>

#include "load/load.h"
#include "proxy/client.h"

/* One request in flight, and the checks of its response. */

#define BF_LOAD_REQUEST_ID_BYTES 40
#define BF_LOAD_REQUEST_PREFIX_BYTES 256

typedef struct bf_load_request {
	CURL *easy;
	struct curl_slist *headers;
	bf_load_series_t *series;
	bf_time_us_t intended_us; /* monotonic */
	char id[BF_LOAD_REQUEST_ID_BYTES];
	uint8_t *body;
	uint64_t body_bytes;
	uint64_t pattern_bytes; /* length requested by "size="; 0: an echo */
	uint32_t sends;         /* attempts to send it on a connection */

	/* The response. */
	bool has_outcome;
	bf_load_outcome_t outcome;
	bool sampled;
	bool id_mismatch;      /* X-Request-Id is not this request's id */
	bool pattern_mismatch; /* the body differs from the id's pattern */
	uint64_t received_bytes;
	char body_prefix[BF_LOAD_REQUEST_PREFIX_BYTES];
} bf_load_request_t;

/*
 * Prepares a request for call, to be counted in series.  Its id is made from
 * the seed and number.  Returns NULL when out of memory.
 */
bf_load_request_t *bf_load_request_new(bf_client_t *client,
    bf_load_series_t *series, const char *base_url, const bf_load_call_t *call,
    const bf_load_options_t *options, uint64_t number);

/* Counts the outcome in the series; code is the result of the transfer. */
void bf_load_request_finish(
    bf_load_request_t *request, CURLcode code, bf_time_us_t now_us);

void bf_load_request_free(bf_load_request_t *request);

#endif
