#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <zmq.h>

#include "control/zap.h"

#define KEY_BYTES 32
#define KEY_TEXT_CHARS 40
#define FRAME_BYTES 256
#define FRAMES 7

/* The frames of a ZAP request, in their order. */
enum {
	FRAME_VERSION,
	FRAME_REQUEST,
	FRAME_DOMAIN,
	FRAME_ADDRESS,
	FRAME_IDENTITY,
	FRAME_MECHANISM,
	FRAME_KEY
};

struct bf_zap {
	void *socket;
	uint8_t (*keys)[KEY_BYTES];
	size_t key_count;
};

typedef struct frame {
	char data[FRAME_BYTES];
	size_t bytes;
} frame_t;

bf_code_t
bf_zap_new(void *zmq_context, const char *const *keys, size_t key_count,
    bf_zap_t **out, bf_error_t *err)
{
	bf_zap_t *zap;
	size_t i;

	zap = calloc(1, sizeof(*zap));
	if (zap == NULL)
		return bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	zap->keys = calloc(key_count + 1, sizeof(*zap->keys));
	zap->key_count = key_count;
	for (i = 0; i < key_count; i++) {
		if (zap->keys != NULL && strlen(keys[i]) == KEY_TEXT_CHARS &&
		    zmq_z85_decode(zap->keys[i], keys[i]) != NULL)
			continue;
		bf_zap_free(zap);
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "allowed key %zu is not a CURVE public key", i);
	}
	zap->socket = zmq_socket(zmq_context, ZMQ_REP);
	if (zap->socket == NULL ||
	    zmq_bind(zap->socket, "inproc://zeromq.zap.01") != 0) {
		bf_zap_free(zap);
		return bf_error_set(err, BF_ERR_IO,
		    "cannot bind the ZAP socket: %s", zmq_strerror(errno));
	}
	*out = zap;
	return BF_OK;
}

void
bf_zap_free(bf_zap_t *zap)
{
	if (zap == NULL)
		return;
	if (zap->socket != NULL)
		zmq_close(zap->socket);
	free(zap->keys);
	free(zap);
}

void *
bf_zap_socket(bf_zap_t *zap)
{
	return zap->socket;
}

static bool
has_more(void *socket)
{
	size_t bytes;
	int more;

	bytes = sizeof(more);
	return zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &bytes) == 0 &&
	    more != 0;
}

/* Returns the number of frames received, or -1 when no request is queued. */
static int
read_request(bf_zap_t *zap, frame_t frames[FRAMES])
{
	frame_t surplus;
	frame_t *frame;
	int count;
	int bytes;

	memset(frames, 0, FRAMES * sizeof(*frames));
	count = 0;
	do {
		frame = count < FRAMES ? &frames[count] : &surplus;
		bytes = zmq_recv(
		    zap->socket, frame->data, FRAME_BYTES, ZMQ_DONTWAIT);
		if (bytes < 0)
			return -1;
		frame->bytes = bytes > FRAME_BYTES ? 0 : (size_t)bytes;
		count++;
	} while (has_more(zap->socket));
	return count;
}

static bool
frame_is(const frame_t *frame, const char *text)
{
	return frame->bytes == strlen(text) &&
	    memcmp(frame->data, text, frame->bytes) == 0;
}

static bool
is_allowed(const bf_zap_t *zap, const frame_t frames[FRAMES], int count)
{
	bool found;
	size_t i;

	if (count != FRAMES || !frame_is(&frames[FRAME_VERSION], "1.0") ||
	    !frame_is(&frames[FRAME_MECHANISM], "CURVE") ||
	    frames[FRAME_KEY].bytes != KEY_BYTES)
		return false;
	found = false;
	for (i = 0; i < zap->key_count; i++) {
		if (sodium_memcmp(
			zap->keys[i], frames[FRAME_KEY].data, KEY_BYTES) == 0)
			found = true;
	}
	return found;
}

static void
reply(bf_zap_t *zap, const frame_t frames[FRAMES], bool allowed)
{
	const char *status;

	status = allowed ? "200" : "400";
	zmq_send(zap->socket, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(zap->socket, frames[FRAME_REQUEST].data,
	    frames[FRAME_REQUEST].bytes, ZMQ_SNDMORE);
	zmq_send(zap->socket, status, strlen(status), ZMQ_SNDMORE);
	zmq_send(zap->socket, "", 0, ZMQ_SNDMORE);
	zmq_send(zap->socket, "", 0, ZMQ_SNDMORE);
	zmq_send(zap->socket, "", 0, 0);
}

uint64_t
bf_zap_answer(bf_zap_t *zap)
{
	frame_t frames[FRAMES];
	uint64_t refused;
	bool allowed;
	int count;

	refused = 0;
	while ((count = read_request(zap, frames)) >= 0) {
		allowed = is_allowed(zap, frames, count);
		refused += !allowed;
		reply(zap, frames, allowed);
	}
	return refused;
}
