#ifndef BF_ADMIN_ADMIN_H
#define BF_ADMIN_ADMIN_H

#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>
#include <jansson.h>

#include "base/counter.h"
#include "base/error.h"

/*
 * A small HTTP server for the administration API, with a table of handlers, a
 * token per role, and JSON or plain text replies.  It runs in a thread of its
 * own, so handlers must return quickly and may only call thread-safe functions.
 */

/* The role required to call a handler.  APPLY includes READ. */
typedef enum bf_role {
	BF_ROLE_ANYONE,
	BF_ROLE_READ,
	BF_ROLE_APPLY,
	BF_ROLE_TARGET /* the target beside this node */
} bf_role_t;

/* Larger request bodies are refused with status 413. */
#define BF_ADMIN_BODY_BYTES_MAX 65536

typedef struct bf_admin_request {
	apr_pool_t *pool; /* destroyed with the request */
	const void *body;
	size_t body_bytes;
	void *connection; /* for bf_admin_argument */
} bf_admin_request_t;

/* The result of a handler: JSON, whose reference is taken, or else text. */
typedef struct bf_admin_reply {
	json_t *json;
	const char *text; /* allocated from the request's pool */
} bf_admin_reply_t;

typedef struct bf_admin_handler {
	const char *method;
	const char *path;
	bf_role_t role;
	/* A code other than BF_OK becomes an HTTP error with a JSON body. */
	bf_code_t (*handle)(void *ctx, const bf_admin_request_t *request,
	    bf_admin_reply_t *reply, bf_error_t *err);
} bf_admin_handler_t;

typedef struct bf_admin_options {
	const char *listen; /* "IP:port"; port 0: any free port */
	/*
	 * If NULL or empty, the role is never granted.  Tokens are compared in
	 * constant time.
	 */
	const char *read_token;
	const char *apply_token;
	const char *target_token;
	const bf_admin_handler_t *handlers; /* not copied */
	size_t handler_count;
	void *ctx; /* passed to the handlers */
	bf_counters_t *counters;
} bf_admin_options_t;

typedef struct bf_admin bf_admin_t;

/*
 * Starts the server.  BF_ERR_ARGUMENT for an invalid address, BF_ERR_IO when it
 * cannot listen there.
 */
bf_code_t bf_admin_new(
    const bf_admin_options_t *options, bf_admin_t **out, bf_error_t *err);

void bf_admin_free(bf_admin_t *admin);

/* The port it listens on; 0 if unknown. */
uint16_t bf_admin_port(const bf_admin_t *admin);

/* Returns an argument of the request's query string, or NULL. */
const char *bf_admin_argument(
    const bf_admin_request_t *request, const char *name);

#endif
