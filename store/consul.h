#ifndef BF_STORE_CONSUL_H
#define BF_STORE_CONSUL_H

#include <stdint.h>

#include "store/store.h"

/*
 * A store that is reached over HTTP, with the published key-value and session
 * API of Consul.  One connection is kept open for reads.  Each write uses a
 * connection of its own, so that libcurl never resends it and it cannot be
 * lost on a connection that no longer responds.  A connection on which a call
 * timed out is not reused.
 */

typedef struct bf_store_consul_options {
	const char *url;           /* "http://IP:port" */
	uint32_t timeout_ms;       /* of calls other than watches */
	uint32_t watch_silence_ms; /* added to wait_ms: timeout of a watch */
	const char *token;         /* NULL: none */
} bf_store_consul_options_t;

/* Bounds of a lease's time to live, as specified by the API. */
#define BF_STORE_CONSUL_TTL_MS_MIN 10000
#define BF_STORE_CONSUL_TTL_MS_MAX 86400000

/*
 * Creates a store without calling it; the options are copied.  Fails with
 * BF_ERR_ARGUMENT if url is missing or not an http URL, or a timeout is 0.  A
 * program with several threads must call curl_global_init() before.
 */
bf_code_t bf_store_consul_new(const bf_store_consul_options_t *options,
    bf_store_t **out, bf_error_t *err);

#endif
