#include "proxy/stream.h"

#include <stdlib.h>
#include <string.h>

bool
bf_stream_open(bf_stream_t *stream, size_t capacity)
{
	stream->bytes = malloc(capacity > 0 ? capacity : 1);
	if (stream->bytes == NULL)
		return false;
	stream->capacity = capacity;
	return true;
}

void
bf_stream_close(bf_stream_t *stream)
{
	free(stream->bytes);
	memset(stream, 0, sizeof(*stream));
}

size_t
bf_stream_space(const bf_stream_t *stream)
{
	return stream->capacity - stream->length;
}

size_t
bf_stream_write(bf_stream_t *stream, const void *data, size_t bytes)
{
	size_t end, first;

	if (bytes > bf_stream_space(stream))
		bytes = bf_stream_space(stream);
	if (bytes == 0)
		return 0;
	end = (stream->start + stream->length) % stream->capacity;
	first = stream->capacity - end;
	if (first > bytes)
		first = bytes;
	memcpy(stream->bytes + end, data, first);
	memcpy(stream->bytes, (const uint8_t *)data + first, bytes - first);
	stream->length += bytes;
	stream->written_bytes += bytes;
	return bytes;
}

size_t
bf_stream_read(bf_stream_t *stream, void *data, size_t bytes)
{
	size_t first;

	if (bytes > stream->length)
		bytes = stream->length;
	if (bytes == 0)
		return 0;
	first = stream->capacity - stream->start;
	if (first > bytes)
		first = bytes;
	memcpy(data, stream->bytes + stream->start, first);
	memcpy((uint8_t *)data + first, stream->bytes, bytes - first);
	stream->start = (stream->start + bytes) % stream->capacity;
	stream->length -= bytes;
	return bytes;
}

uint8_t *
bf_stream_detach(bf_stream_t *stream)
{
	uint8_t *bytes;

	if (stream->start != 0 || stream->written_bytes != stream->length)
		return NULL;
	bytes = stream->bytes;
	memset(stream, 0, sizeof(*stream));
	return bytes;
}
