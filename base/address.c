#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"

#define PORT_MAX 65535

/* Parses a decimal port without sign or space; -1 if invalid. */
static long
parse_port(const char *text)
{
	char *end;
	long port;

	if (text[0] < '0' || text[0] > '9')
		return -1;
	port = strtol(text, &end, 10);
	return *end == '\0' && port <= PORT_MAX ? port : -1;
}

bf_code_t
bf_address_parse(const char *text, struct sockaddr_in *address, bf_error_t *err)
{
	char host[INET_ADDRSTRLEN];
	const char *colon;
	long port;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	colon = strrchr(text, ':');
	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return bf_error_set(
		    err, BF_ERR_ARGUMENT, "%s is not IP:port", text);
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = parse_port(colon + 1);
	if (port < 0 || inet_pton(AF_INET, host, &address->sin_addr) != 1)
		return bf_error_set(
		    err, BF_ERR_ARGUMENT, "%s is not IP:port", text);
	address->sin_port = htons((uint16_t)port);
	return BF_OK;
}
