#ifndef BF_CONFIG_CHECK_H
#define BF_CONFIG_CHECK_H

#include <stdbool.h>

#include "base/error.h"
#include "config/snapshot.h"

/* Limits on the parts of a service, and the functions that check them. */

#define BF_NAME_BYTES_MAX 63
#define BF_HOST_BYTES_MAX 253
#define BF_PATH_BYTES_MAX 512
#define BF_METHOD_BYTES_MAX 16
#define BF_SPLITS_MAX 16
#define BF_ZONES_MAX 64
#define BF_EXCLUDED_INSTANCES_MAX 512
#define BF_WEIGHT_MAX 1000000
#define BF_DEADLINE_MS_MAX 3600000
#define BF_QUEUE_MS_MAX 60000

/*
 * 1 to 63 letters, digits, '.', '_' and '-', beginning with a letter or a
 * digit.
 */
bool bf_name_valid(const char *name);
/* A lower-case host name or IPv4 address without a port. */
bool bf_host_valid(const char *host);
/*
 * An absolute path without spaces or a query; '*' may only be its last
 * character.
 */
bool bf_path_valid(const char *path);
/* Upper-case letters. */
bool bf_method_valid(const char *method);

/* True when a call can match both routes equally well. */
bool bf_routes_overlap(const bf_route_t *a, const bf_route_t *b);

/*
 * Checks one service on its own.  Fails with BF_ERR_ARGUMENT, BF_ERR_RANGE,
 * BF_ERR_CONFLICT, BF_ERR_REFERENCE or BF_ERR_TOO_LARGE and a message that
 * names the invalid part.
 */
bf_code_t bf_service_check(const bf_service_t *service, bf_error_t *err);

#endif
