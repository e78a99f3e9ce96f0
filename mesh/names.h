#ifndef BF_MESH_NAMES_H
#define BF_MESH_NAMES_H

#include <stdbool.h>

/*
 * What the texts in a configuration may contain.  Decoders check them here, so
 * that no later user of a text has to refuse it.
 */

/*
 * Of the name of a service or of a version of it, with its NUL.  A longer
 * service could not be moved: a key of the store has 200 bytes at most.
 */
#define BF_SERVICE_BYTES 256
/* Of the name of a route in logs and between nodes, with its NUL. */
#define BF_ROUTE_NAME_BYTES 64

/*
 * Whether a text arrives unchanged as the value of a header field: not empty,
 * no control characters but tabs, no space or tab at either end (RFC 9110,
 * 5.5).
 */
bool bf_name_is_field_value(const char *text);

/* Whether a text is the path of a request: "/..." of visible ASCII. */
bool bf_name_is_path(const char *text);

/*
 * The name under which a route is known in logs and between nodes: a long one
 * is cut, and ends with a digest of the whole.
 */
void bf_name_of_route(const char *name, char out[BF_ROUTE_NAME_BYTES]);

#endif
