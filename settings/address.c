#include <stddef.h>
#include <string.h>

#include "base/address.h"
#include "settings/address.h"

bool
bf_address_valid(const char *text)
{
	struct sockaddr_in address;

	return bf_address_parse(text, &address, NULL) == BF_OK &&
	    address.sin_port != 0;
}

bool
bf_address_specific(const char *text)
{
	struct sockaddr_in address;

	return bf_address_parse(text, &address, NULL) == BF_OK &&
	    address.sin_port != 0 &&
	    address.sin_addr.s_addr != htonl(INADDR_ANY);
}

bool
bf_url_valid(const char *text)
{
	static const char *const schemes[] = { "http://", "https://" };
	size_t i;

	for (i = 0; i < sizeof(schemes) / sizeof(schemes[0]); i++) {
		if (strncmp(text, schemes[i], strlen(schemes[i])) == 0)
			return bf_address_specific(text + strlen(schemes[i]));
	}
	return false;
}
