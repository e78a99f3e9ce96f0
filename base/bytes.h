#ifndef BF_BASE_BYTES_H
#define BF_BASE_BYTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A growing byte buffer: bytes are appended at the end and consumed from the
 * start.  A zeroed buffer is empty.  After a failed allocation, failed stays
 * set and appends have no effect.
 */
typedef struct bf_bytes {
	uint8_t *data;
	size_t start;
	size_t end;
	size_t capacity;
	bool failed;
} bf_bytes_t;

void bf_bytes_free(bf_bytes_t *bytes);

/* Makes space for count bytes at the end; NULL when out of memory. */
uint8_t *bf_bytes_reserve(bf_bytes_t *bytes, size_t count);
void bf_bytes_add(bf_bytes_t *bytes, const void *data, size_t count);
void bf_bytes_add_text(bf_bytes_t *bytes, const char *text);
void bf_bytes_format(bf_bytes_t *bytes, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Removes count bytes from the start. */
void bf_bytes_consume(bf_bytes_t *bytes, size_t count);
/* Removes bytes from the end, so that count are left. */
void bf_bytes_truncate(bf_bytes_t *bytes, size_t count);
void bf_bytes_clear(bf_bytes_t *bytes);

static inline size_t
bf_bytes_count(const bf_bytes_t *bytes)
{
	return bytes->end - bytes->start;
}

static inline const uint8_t *
bf_bytes_data(const bf_bytes_t *bytes)
{
	return bytes->data + bytes->start;
}

#endif
