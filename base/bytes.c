#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/bytes.h"

#define ROOM_MIN 256
/* An empty buffer that is larger gives its memory back. */
#define ROOM_KEPT 65536

void
bf_bytes_free(bf_bytes_t *bytes)
{
	free(bytes->data);
	*bytes = (bf_bytes_t){ 0 };
}

uint8_t *
bf_bytes_reserve(bf_bytes_t *bytes, size_t count)
{
	size_t room, used;
	uint8_t *data;

	if (bytes->failed)
		return NULL;
	if (bytes->room - bytes->end >= count)
		return bytes->data + bytes->end;
	used = bf_bytes_count(bytes);
	if (bytes->start > 0) {
		memmove(bytes->data, bytes->data + bytes->start, used);
		bytes->start = 0;
		bytes->end = used;
		if (bytes->room - used >= count)
			return bytes->data + used;
	}
	room = bytes->room < ROOM_MIN ? ROOM_MIN : bytes->room * 2;
	if (room < used + count)
		room = used + count;
	data = realloc(bytes->data, room);
	if (data == NULL) {
		bytes->failed = true;
		return NULL;
	}
	bytes->data = data;
	bytes->room = room;
	return data + used;
}

void
bf_bytes_add(bf_bytes_t *bytes, const void *data, size_t count)
{
	uint8_t *to;

	if (count == 0)
		return;
	to = bf_bytes_reserve(bytes, count);
	if (to == NULL)
		return;
	memcpy(to, data, count);
	bytes->end += count;
}

void
bf_bytes_text(bf_bytes_t *bytes, const char *text)
{
	bf_bytes_add(bytes, text, strlen(text));
}

void
bf_bytes_format(bf_bytes_t *bytes, const char *fmt, ...)
{
	va_list ap;
	uint8_t *to;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n <= 0)
		return;
	to = bf_bytes_reserve(bytes, (size_t)n + 1);
	if (to == NULL)
		return;
	va_start(ap, fmt);
	(void)vsnprintf((char *)to, (size_t)n + 1, fmt, ap);
	va_end(ap);
	bytes->end += (size_t)n;
}

void
bf_bytes_clear(bf_bytes_t *bytes)
{
	bytes->start = 0;
	bytes->end = 0;
	if (bytes->room > ROOM_KEPT)
		bf_bytes_free(bytes);
}

void
bf_bytes_take(bf_bytes_t *bytes, size_t count)
{
	bytes->start += count;
	if (bytes->start >= bytes->end)
		bf_bytes_clear(bytes);
}
