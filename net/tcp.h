#ifndef BF_NET_TCP_H
#define BF_NET_TCP_H

#include <netinet/in.h>

#include "base/bytes.h"
#include "memory/budget.h"
#include "net/loop.h"

/*
 * A TCP connection on an event loop.  Bytes sent during an iteration of the
 * loop are written together at its end.
 */

/* Size of one read; larger input takes several iterations of the loop. */
#define BF_TCP_READ_BYTES 65536

typedef struct bf_tcp bf_tcp_t;

typedef struct bf_tcp_vtable {
	/* bf_tcp_connect has succeeded; may be NULL. */
	void (*opened)(bf_tcp_t *tcp, bf_time_us_t now_us);
	/*
	 * Whether bytes may be read now; if not, the connection is paused and
	 * they are left in the socket.  May close the connection.  May be NULL.
	 */
	bool (*may_read)(bf_tcp_t *tcp, bf_time_us_t now_us);
	void (*received)(bf_tcp_t *tcp, const uint8_t *data, size_t bytes,
	    bf_time_us_t now_us);
	/* All bytes sent so far are written to the socket; may be NULL. */
	void (*flushed)(bf_tcp_t *tcp, bf_time_us_t now_us);
	/*
	 * The connection is closed: orderly by the peer's end of stream or
	 * after bf_tcp_finish, otherwise by a reset or a failure.  Not called
	 * after bf_tcp_close.
	 */
	void (*ended)(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us);
} bf_tcp_vtable_t;

struct bf_tcp {
	const bf_tcp_vtable_t *vtable;
	bf_source_t source;
	bf_task_t flush;
	bf_loop_t *loop;
	bf_bytes_t out;
	/* Sent after out; its owner keeps it until bf_tcp_unsent is 0. */
	const uint8_t *tail;
	size_t tail_bytes;
	bf_memory_charge_t out_charge; /* its budget is set by the owner */
	bool connecting;
	bool blocked;            /* the send buffer of the kernel is full */
	bool paused;             /* nothing is read */
	bool close_when_flushed; /* close once all bytes are written */
	bool peer_closed;        /* bytes sent before may still be unread */
	bool peer_finished;      /* its end of stream came before any reset */
	bool send_failed;        /* the peer did not get all bytes */
	uint64_t sent_bytes;
};

/* Initializes tcp for an accepted socket, and takes over fd. */
bf_code_t bf_tcp_adopt(bf_tcp_t *tcp, const bf_tcp_vtable_t *vtable,
    bf_loop_t *loop, int fd, bf_error_t *err);

/* Starts to connect; bytes sent before it is open are buffered. */
bf_code_t bf_tcp_connect(bf_tcp_t *tcp, const bf_tcp_vtable_t *vtable,
    bf_loop_t *loop, const struct sockaddr_in *address, bf_error_t *err);

void bf_tcp_send(bf_tcp_t *tcp, const void *data, size_t bytes);

/* Must follow any bytes that are added to tcp->out directly. */
void bf_tcp_schedule_flush(bf_tcp_t *tcp);

/* Bytes not yet written to the socket. */
static inline size_t
bf_tcp_unsent(const bf_tcp_t *tcp)
{
	return bf_bytes_count(&tcp->out) + tcp->tail_bytes;
}

static inline bool
bf_tcp_is_open(const bf_tcp_t *tcp)
{
	return tcp->source.fd >= 0;
}

/*
 * Closes at once and discards the bytes not yet written to the socket; no
 * effect if closed.
 */
void bf_tcp_close(bf_tcp_t *tcp);

/*
 * Closes at once with a reset.  Bytes that the kernel has not delivered yet are
 * discarded too; after bf_tcp_close they may arrive seconds later.
 */
void bf_tcp_abort(bf_tcp_t *tcp);

/* Reads again after may_read has returned false. */
void bf_tcp_resume(bf_tcp_t *tcp);

/* Closes once all bytes are written. */
void bf_tcp_finish(bf_tcp_t *tcp);

/* Writes now what the socket takes; the connection stays open. */
void bf_tcp_flush(bf_tcp_t *tcp);

typedef struct bf_listener bf_listener_t;
typedef struct bf_listener_observer bf_listener_observer_t;

/* Told when a listener ceases or begins again to accept connections. */
struct bf_listener_observer {
	/* error: of accept(2); 0: connections are accepted again. */
	void (*changed)(bf_listener_observer_t *observer,
	    const bf_listener_t *listener, int error, bf_time_us_t now_us);
};

/*
 * A listening socket.  When accept(2) fails for want of descriptors or memory,
 * the socket stays readable; it is then left alone for a while, so that the
 * loop does not spin.
 */
struct bf_listener {
	bf_source_t source;
	bf_loop_t *loop;
	/* Takes over fd. */
	void (*accepted)(bf_listener_t *listener, int fd,
	    const struct sockaddr_in *from, bf_time_us_t now_us);
	/*
	 * Whether one more connection may be accepted; if not, it waits.  May
	 * be NULL.
	 */
	bool (*may_accept)(bf_listener_t *listener, bf_time_us_t now_us);
	/* A connection waits that may not be accepted; may be NULL. */
	void (*waits)(bf_listener_t *listener, bf_time_us_t now_us);
	uint32_t backlog;      /* connections that wait; 0: 1024 */
	uint32_t buffer_bytes; /* SO_RCVBUF, SO_SNDBUF; 0: the kernel's */
	const char *name;      /* for the observer */
	bf_listener_observer_t *observer; /* may be NULL */
	bf_timer_t retry;                 /* set while nothing is accepted */
	int error; /* of the last accept(2); 0: it succeeded */
};

/* BF_ERR_IO when the address cannot be bound. */
bf_code_t bf_listener_open(bf_listener_t *listener, bf_loop_t *loop,
    const struct sockaddr_in *address, bf_error_t *err);
uint16_t bf_listener_port(const bf_listener_t *listener);
void bf_listener_close(bf_listener_t *listener);

#endif
