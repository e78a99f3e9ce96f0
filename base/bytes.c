#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/bytes.h"

#define CAPACITY_MIN 256
/* A buffer larger than this frees its memory when it becomes empty. */
#define CAPACITY_KEPT_MAX 65536

void
bf_bytes_free(bf_bytes_t *bytes)
{
	free(bytes->data);
	*bytes = (bf_bytes_t){ 0 };
}

uint8_t *
bf_bytes_reserve(bf_bytes_t *bytes, size_t count)
{
	size_t capacity, used;
	uint8_t *data;

	if (bytes->failed)
		return NULL;
	if (bytes->capacity - bytes->end >= count)
		return bytes->data + bytes->end;
	used = bf_bytes_count(bytes);
	if (bytes->start > 0) {
		memmove(bytes->data, bytes->data + bytes->start, used);
		bytes->start = 0;
		bytes->end = used;
		if (bytes->capacity - used >= count)
			return bytes->data + used;
	}
	capacity =
	    bytes->capacity < CAPACITY_MIN ? CAPACITY_MIN : bytes->capacity * 2;
	if (capacity < used + count)
		capacity = used + count;
	data = realloc(bytes->data, capacity);
	if (data == NULL) {
		bytes->failed = true;
		return NULL;
	}
	bytes->data = data;
	bytes->capacity = capacity;
	return data + used;
}

void
bf_bytes_add(bf_bytes_t *bytes, const void *data, size_t count)
{
	uint8_t *dst;

	if (count == 0)
		return;
	dst = bf_bytes_reserve(bytes, count);
	if (dst == NULL)
		return;
	memcpy(dst, data, count);
	bytes->end += count;
}

void
bf_bytes_add_text(bf_bytes_t *bytes, const char *text)
{
	bf_bytes_add(bytes, text, strlen(text));
}

void
bf_bytes_format(bf_bytes_t *bytes, const char *fmt, ...)
{
	va_list ap;
	uint8_t *dst;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n <= 0)
		return;
	dst = bf_bytes_reserve(bytes, (size_t)n + 1);
	if (dst == NULL)
		return;
	va_start(ap, fmt);
	(void)vsnprintf((char *)dst, (size_t)n + 1, fmt, ap);
	va_end(ap);
	bytes->end += (size_t)n;
}

void
bf_bytes_truncate(bf_bytes_t *bytes, size_t count)
{
	if (count < bf_bytes_count(bytes))
		bytes->end = bytes->start + count;
}

void
bf_bytes_clear(bf_bytes_t *bytes)
{
	bytes->start = 0;
	bytes->end = 0;
	if (bytes->capacity > CAPACITY_KEPT_MAX)
		bf_bytes_free(bytes);
}

void
bf_bytes_consume(bf_bytes_t *bytes, size_t count)
{
	bytes->start += count;
	if (bytes->start >= bytes->end)
		bf_bytes_clear(bytes);
}
