#include <string.h>

#include "mesh/names.h"

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
bf_name_is_key(const char *text)
{
	return bf_name_is_field_value(text) &&
	    text[strcspn(text, " \t")] == '\0';
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
