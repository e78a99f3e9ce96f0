#ifndef BF_NET_TCP_H
#define BF_NET_TCP_H

#include <netinet/in.h>

#include "base/bytes.h"
#include "net/loop.h"

/*
 * A TCP connection on a loop.  What is sent in a round goes out in one write
 * at its end.
 */

typedef struct bf_tcp bf_tcp_t;

typedef struct bf_tcp_vtable {
	/* The connection asked for is open; may be NULL. */
	void (*opened)(bf_tcp_t *tcp, bf_time_us_t now_us);
	void (*received)(bf_tcp_t *tcp, const uint8_t *data, size_t bytes,
	    bf_time_us_t now_us);
	/*
	 * The other side ended it: orderly by an end of its bytes, else by a
	 * reset or a failure.  Not called after bf_tcp_close.
	 */
	void (*ended)(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us);
} bf_tcp_vtable_t;

struct bf_tcp {
	const bf_tcp_vtable_t *vtable;
	bf_source_t source;
	bf_task_t flush;
	bf_loop_t *loop;
	bf_bytes_t out;
	bool connecting;
	bool blocked;       /* the kernel takes no more bytes for now */
	bool close_flushed; /* close once all is written */
	uint64_t sent_bytes;
};

/* A zeroed tcp becomes a connection of an accepted socket. */
bf_code_t bf_tcp_adopt(bf_tcp_t *tcp, const bf_tcp_vtable_t *vtable,
    bf_loop_t *loop, int fd, bf_error_t *err);

/* Begins to connect; what is sent before it is open waits. */
bf_code_t bf_tcp_connect(bf_tcp_t *tcp, const bf_tcp_vtable_t *vtable,
    bf_loop_t *loop, const struct sockaddr_in *address, bf_error_t *err);

void bf_tcp_send(bf_tcp_t *tcp, const void *data, size_t bytes);

/* For bytes that were added to tcp->out directly. */
void bf_tcp_send_later(bf_tcp_t *tcp);

/* Bytes not yet taken by the kernel. */
static inline size_t
bf_tcp_unsent(const bf_tcp_t *tcp)
{
	return bf_bytes_count(&tcp->out);
}

static inline bool
bf_tcp_is_open(const bf_tcp_t *tcp)
{
	return tcp->source.fd >= 0;
}

/* Closes at once; unsent bytes are lost.  Harmless on a closed one. */
void bf_tcp_close(bf_tcp_t *tcp);

/* Closes when all is sent. */
void bf_tcp_finish(bf_tcp_t *tcp);

/* A listening socket. */
typedef struct bf_listener bf_listener_t;
struct bf_listener {
	bf_source_t source;
	bf_loop_t *loop;
	/* Takes over fd. */
	void (*accepted)(bf_listener_t *listener, int fd,
	    const struct sockaddr_in *from, bf_time_us_t now_us);
};

/* BF_ERR_IO when the address cannot be bound. */
bf_code_t bf_listener_open(bf_listener_t *listener, bf_loop_t *loop,
    const struct sockaddr_in *address, bf_error_t *err);
uint16_t bf_listener_port(const bf_listener_t *listener);
void bf_listener_close(bf_listener_t *listener);

#endif
