#ifndef BF_CONTROL_ZAP_H
#define BF_CONTROL_ZAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/*
 * Handler of the ZeroMQ Authentication Protocol (ZAP, RFC 27) that admits CURVE
 * clients by a list of public keys.  A ZeroMQ context can have only one.
 */

typedef struct bf_zap bf_zap_t;

/*
 * keys are the public keys allowed, as Z85 text of 40 characters;
 * BF_ERR_ARGUMENT when one is invalid.
 */
bf_code_t bf_zap_new(void *zmq_context, const char *const *keys,
    size_t key_count, bf_zap_t **out, bf_error_t *err);
void bf_zap_free(bf_zap_t *zap);

/* The socket to poll for input. */
void *bf_zap_socket(bf_zap_t *zap);

/* Answers all queued requests; returns the number refused. */
uint64_t bf_zap_answer(bf_zap_t *zap);

#endif
