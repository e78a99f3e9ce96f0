#ifndef BF_SETTINGS_ADDRESS_H
#define BF_SETTINGS_ADDRESS_H

#include <stdbool.h>

/* Addresses are numeric: host names are not resolved. */

#define BF_ADDRESS_EXPECTED "an IPv4 address and a port, such as 10.0.0.1:7000"

/* "IP:port" with a port from 1 to 65535. */
bool bf_address_valid(const char *text);

/* Like bf_address_valid(), but not the wildcard address 0.0.0.0. */
bool bf_address_specific(const char *text);

/* "http://" or "https://" and a specific address, without a path. */
bool bf_url_valid(const char *text);

#endif
