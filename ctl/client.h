#ifndef BF_CTL_CLIENT_H
#define BF_CTL_CLIENT_H

#include <stdint.h>

#include <jansson.h>

#include "base/error.h"

/* A blocking client of the nodes' administration API. */

typedef struct bf_admin_client bf_admin_client_t;

/* token may be NULL.  Returns NULL when out of memory. */
bf_admin_client_t *bf_admin_client_new(const char *token, uint32_t timeout_ms);
void bf_admin_client_free(bf_admin_client_t *client);

/*
 * Sends a GET for path ("/v1/status") to address ("IP:port") and parses the
 * JSON response; the caller owns *out.  Fails with BF_ERR_UNAVAILABLE (no
 * response, or an unexpected status), BF_ERR_DENIED, BF_ERR_PARSE or
 * BF_ERR_NOT_FOUND.
 */
bf_code_t bf_admin_client_get(bf_admin_client_t *client, const char *address,
    const char *path, json_t **out, bf_error_t *err);

#endif
