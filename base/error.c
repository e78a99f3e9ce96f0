#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"

static const char *const code_names[BF_CODE_COUNT] = {
	[BF_OK] = "ok",
	[BF_ERR_ARGUMENT] = "argument",
	[BF_ERR_MEMORY] = "memory",
	[BF_ERR_IO] = "io",
	[BF_ERR_PARSE] = "parse",
	[BF_ERR_TYPE] = "type",
	[BF_ERR_UNKNOWN_KEY] = "unknown-key",
	[BF_ERR_RANGE] = "range",
	[BF_ERR_REFERENCE] = "reference",
	[BF_ERR_TOO_LARGE] = "too-large",
	[BF_ERR_DIGEST] = "digest",
	[BF_ERR_STALE] = "stale",
	[BF_ERR_BASE] = "base",
	[BF_ERR_NOT_FOUND] = "not-found",
	[BF_ERR_CONFLICT] = "conflict",
	[BF_ERR_TIMEOUT] = "timeout",
	[BF_ERR_UNAVAILABLE] = "unavailable",
	[BF_ERR_DENIED] = "denied",
	[BF_ERR_LIMIT] = "limit",
	[BF_ERR_UNSETTLED] = "unsettled",
	[BF_ERR_CLOSED] = "closed",
	[BF_ERR_INTERNAL] = "internal",
};

/* Cuts what is left of a character of UTF-8 at the end of a truncated text. */
static void
cut_character(char *text)
{
	size_t bytes = strlen(text), start = bytes;

	while (start > 0 && ((unsigned char)text[start - 1] & 0xc0) == 0x80)
		start--;
	if (start > 0 && ((unsigned char)text[start - 1] & 0xc0) == 0xc0)
		start--;
	text[start] = '\0';
}

bf_code_t
bf_error_set(bf_error_t *err, bf_code_t code, const char *fmt, ...)
{
	va_list ap;
	int bytes;

	if (err == NULL)
		return code;
	err->code = code;
	va_start(ap, fmt);
	bytes = vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	if (bytes >= (int)sizeof(err->message))
		cut_character(err->message);
	return code;
}

const char *
bf_code_name(bf_code_t code)
{
	if ((unsigned int)code >= BF_CODE_COUNT)
		return "unknown";
	return code_names[code];
}
