#ifndef BF_BASE_ADDRESS_H
#define BF_BASE_ADDRESS_H

#include <netinet/in.h>

#include "base/error.h"

/*
 * Parses "IP:port" (IPv4 in dotted decimal, port 0 to 65535) into address.
 * Host names are not resolved.  BF_ERR_ARGUMENT for any other text.
 */
bf_code_t bf_address_parse(
    const char *text, struct sockaddr_in *address, bf_error_t *err);

#endif
