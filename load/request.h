#ifndef BF_LOAD_REQUEST_H
#define BF_LOAD_REQUEST_H

#include <curl/curl.h>

#include "load/load.h"
#include "proxy/client.h"

/* One call under way: its request, and the checks of its answer. */

#define BF_FLIGHT_ID_BYTES 40
#define BF_FLIGHT_HEAD_BYTES 256

typedef struct bf_flight {
	CURL *easy;
	struct curl_slist *headers;
	bf_load_series_t *series;
	bf_time_us_t intended_us; /* monotonic */
	char id[BF_FLIGHT_ID_BYTES];
	uint8_t *body;
	uint64_t body_bytes;
	uint64_t pattern_bytes; /* asked for with "size="; 0: an echo */
	uint32_t sends;

	/* The answer. */
	bool has_outcome;
	bf_load_end_t end;
	bool sampled;
	bool other_id; /* X-Request-Id is another call's */
	bool damaged;  /* the body is not the pattern of the id */
	uint64_t received_bytes;
	char text[BF_FLIGHT_HEAD_BYTES]; /* the first bytes of the body */
} bf_flight_t;

/*
 * Prepares a call of series against its URL, number giving its id; NULL when
 * memory is short.
 */
bf_flight_t *bf_flight_new(bf_client_t *client, bf_load_series_t *series,
    const char *base, const bf_load_call_t *call,
    const bf_load_options_t *options, uint64_t number);

/* Counts how it ended. */
void bf_flight_finish(bf_flight_t *flight, CURLcode code, bf_time_us_t now_us);

void bf_flight_free(bf_flight_t *flight);

#endif
