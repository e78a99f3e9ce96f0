#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/digest.h"
#include "mesh/names.h"

#define DIGEST_BYTES 16 /* in hexadecimal */

static bool
is_space(char c)
{
	return c == ' ' || c == '\t';
}

bool
bf_name_is_field_value(const char *text)
{
	size_t bytes = strlen(text), i;

	if (bytes == 0 || is_space(text[0]) || is_space(text[bytes - 1]))
		return false;
	for (i = 0; i < bytes; i++) {
		if (((unsigned char)text[i] < ' ' && text[i] != '\t') ||
		    text[i] == '\x7f')
			return false;
	}
	return true;
}

bool
bf_name_is_path(const char *text)
{
	if (text[0] != '/')
		return false;
	for (; *text != '\0'; text++) {
		if (*text <= ' ' || *text >= '\x7f')
			return false;
	}
	return true;
}

void
bf_name_of_route(const char *name, char out[BF_ROUTE_NAME_BYTES])
{
	int bytes = BF_ROUTE_NAME_BYTES - DIGEST_BYTES - 2;

	if (strlen(name) < BF_ROUTE_NAME_BYTES) {
		(void)snprintf(out, BF_ROUTE_NAME_BYTES, "%s", name);
		return;
	}
	/* Not within a character of UTF-8. */
	while (bytes > 0 && ((unsigned char)name[bytes] & 0xc0) == 0x80)
		bytes--;
	(void)snprintf(out, BF_ROUTE_NAME_BYTES, "%.*s~%016" PRIx64, bytes,
	    name, bf_hash_text(name, 0));
}
