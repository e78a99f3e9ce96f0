#ifndef BF_BASE_BYTES_H
#define BF_BASE_BYTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A growing buffer of bytes: appended at its end, taken from its start.  A
 * zeroed one is empty.  After a failed allocation `failed` stays set and
 * appends do nothing.
 */
typedef struct bf_bytes {
	uint8_t *data;
	size_t start;
	size_t end;
	size_t room;
	bool failed;
} bf_bytes_t;

void bf_bytes_free(bf_bytes_t *bytes);

/* Room for count bytes at the end; NULL when memory is short. */
uint8_t *bf_bytes_reserve(bf_bytes_t *bytes, size_t count);
void bf_bytes_add(bf_bytes_t *bytes, const void *data, size_t count);
void bf_bytes_text(bf_bytes_t *bytes, const char *text);
void bf_bytes_format(bf_bytes_t *bytes, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Drops count bytes from the start. */
void bf_bytes_take(bf_bytes_t *bytes, size_t count);
void bf_bytes_clear(bf_bytes_t *bytes);

static inline size_t
bf_bytes_count(const bf_bytes_t *bytes)
{
	return bytes->end - bytes->start;
}

static inline const uint8_t *
bf_bytes_at(const bf_bytes_t *bytes)
{
	return bytes->data + bytes->start;
}

#endif
