#ifndef BF_PROXY_STREAM_H
#define BF_PROXY_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A ring buffer for body bytes between the two connections of a call.  Its
 * capacity bounds the memory of a call; the writer is paused while it is full.
 */

#define BF_STREAM_BYTES ((size_t)64 * 1024)

typedef struct bf_stream {
	uint8_t *bytes;
	size_t capacity;
	size_t start; /* offset of the oldest byte */
	size_t length;
	bool eof;               /* no more bytes will be written */
	uint64_t written_bytes; /* since the stream was opened */
} bf_stream_t;

/* Allocates the buffer; false when out of memory. */
bool bf_stream_open(bf_stream_t *stream, size_t capacity);
void bf_stream_close(bf_stream_t *stream);

size_t bf_stream_space(const bf_stream_t *stream);

/* Copy as many bytes as possible; both return the number of bytes copied. */
size_t bf_stream_write(bf_stream_t *stream, const void *data, size_t bytes);
size_t bf_stream_read(bf_stream_t *stream, void *data, size_t bytes);

/*
 * Returns the buffer, to be freed with free(), and leaves the stream closed, if
 * all bytes ever written are still in it, from its start on; else NULL.
 */
uint8_t *bf_stream_detach(bf_stream_t *stream);

#endif
