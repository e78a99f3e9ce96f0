#ifndef BF_PROXY_STREAM_H
#define BF_PROXY_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A ring of bytes between the two connections of a call.  Its capacity bounds
 * what a call holds in memory; the writer is paused while it is full.
 */

#define BF_STREAM_BYTES ((size_t)64 * 1024)

typedef struct bf_stream {
	uint8_t *bytes;
	size_t capacity;
	size_t start; /* of the oldest byte */
	size_t length;
	bool eof;               /* nothing more will be written */
	uint64_t written_bytes; /* bytes ever written */
} bf_stream_t;

/* Allocates the ring; false when memory is short. */
bool bf_stream_open(bf_stream_t *stream, size_t capacity);
void bf_stream_close(bf_stream_t *stream);

size_t bf_stream_space(const bf_stream_t *stream);

/* Copies in and out as much as fits; both return the bytes moved. */
size_t bf_stream_write(bf_stream_t *stream, const void *data, size_t bytes);
size_t bf_stream_read(bf_stream_t *stream, void *data, size_t bytes);

/*
 * Hands the buffer over to the caller, who frees it, if all bytes ever
 * written are still there and lie at its start; else NULL.
 */
uint8_t *bf_stream_detach(bf_stream_t *stream);

#endif
