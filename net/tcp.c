#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "memory/connections.h"
#include "net/tcp.h"

#define BACKLOG_DEFAULT 1024
#define ACCEPTS_PER_EVENT_MAX 64
/* Pause after a failure of accept(2); waiting clients do not notice it. */
#define ACCEPT_RETRY_US (50 * BF_US_PER_MS)
/* A connection fails when sent bytes stay unacknowledged this long. */
#define UNACKED_TIMEOUT_MS 3000U

#define READ_EVENTS ((uint32_t)(EPOLLIN | EPOLLRDHUP))

static void
close_and_report(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	bf_tcp_close(tcp);
	tcp->vtable->ended(tcp, orderly, now_us);
}

/* While nothing is read, only the first sign of a close is of interest. */
static uint32_t
read_events(const bf_tcp_t *tcp)
{
	if (!tcp->paused)
		return READ_EVENTS;
	return tcp->peer_closed ? 0 : (uint32_t)EPOLLRDHUP;
}

/* Sets the events to wait for. */
static void
update_events(bf_tcp_t *tcp)
{
	bf_loop_change(tcp->loop, &tcp->source,
	    read_events(tcp) | (tcp->blocked ? (uint32_t)EPOLLOUT : 0));
}

static void
pause_reading(bf_tcp_t *tcp)
{
	/* The kernel would let the buffer grow to several MB. */
	int bytes = BF_CONNECTION_BUFFER_BYTES;

	tcp->paused = true;
	(void)setsockopt(
	    tcp->source.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	update_events(tcp);
}

static bool
flush(bf_tcp_t *tcp)
{
	const uint8_t *data;
	size_t bytes;
	bool in_tail;
	ssize_t n;

	while (bf_tcp_unsent(tcp) > 0) {
		in_tail = bf_bytes_count(&tcp->out) == 0;
		data = in_tail ? tcp->tail : bf_bytes_data(&tcp->out);
		bytes = in_tail ? tcp->tail_bytes : bf_bytes_count(&tcp->out);
		n = send(tcp->source.fd, data, bytes, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			if (!tcp->blocked) {
				tcp->blocked = true;
				update_events(tcp);
			}
			return true;
		}
		if (n < 0)
			return false;
		tcp->sent_bytes += (uint64_t)n;
		if (in_tail) {
			tcp->tail += n;
			tcp->tail_bytes -= (size_t)n;
		} else {
			bf_bytes_consume(&tcp->out, (size_t)n);
		}
	}
	if (tcp->blocked) {
		tcp->blocked = false;
		update_events(tcp);
	}
	return true;
}

static void
flush_or_close(bf_tcp_t *tcp, bf_time_us_t now_us)
{
	if (!flush(tcp)) {
		/*
		 * The bytes that were received before the failure are still
		 * there.  The read that follows them returns an end of stream
		 * even after a reset, as the failed send took the error.
		 */
		tcp->send_failed = true;
		bf_bytes_clear(&tcp->out);
		tcp->tail_bytes = 0;
		bf_memory_charge_set(&tcp->out_charge, bf_memory_of(&tcp->out));
		if (tcp->close_when_flushed)
			close_and_report(tcp, false, now_us);
		return;
	}
	bf_memory_charge_set(&tcp->out_charge, bf_memory_of(&tcp->out));
	if (bf_tcp_unsent(tcp) > 0)
		return;
	if (tcp->close_when_flushed)
		close_and_report(tcp, true, now_us);
	else if (tcp->vtable->flushed != NULL)
		tcp->vtable->flushed(tcp, now_us);
}

void
bf_tcp_flush(bf_tcp_t *tcp)
{
	if (bf_tcp_is_open(tcp) && !tcp->connecting && !tcp->blocked)
		(void)flush(tcp);
}

static void
run_flush(bf_task_t *task, bf_time_us_t now_us)
{
	bf_tcp_t *tcp = BF_CONTAINER(task, bf_tcp_t, flush);

	if (bf_tcp_is_open(tcp) && !tcp->connecting && !tcp->blocked)
		flush_or_close(tcp, now_us);
}

static bool
finish_connect(bf_tcp_t *tcp, bf_time_us_t now_us)
{
	socklen_t bytes = sizeof(int);
	int socket_error = 0;

	if (getsockopt(tcp->source.fd, SOL_SOCKET, SO_ERROR, &socket_error,
		&bytes) != 0 ||
	    socket_error != 0) {
		close_and_report(tcp, false, now_us);
		return false;
	}
	tcp->connecting = false;
	bf_loop_change(tcp->loop, &tcp->source, READ_EVENTS);
	if (tcp->vtable->opened != NULL)
		tcp->vtable->opened(tcp, now_us);
	return bf_tcp_is_open(tcp);
}

static void
read_once(bf_tcp_t *tcp, bf_time_us_t now_us)
{
	static uint8_t buffer[BF_TCP_READ_BYTES];
	ssize_t n;

	do
		n = recv(tcp->source.fd, buffer, sizeof(buffer), 0);
	while (n < 0 && errno == EINTR);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0)
		close_and_report(tcp,
		    n == 0 && (!tcp->send_failed || tcp->peer_finished),
		    now_us);
	else
		tcp->vtable->received(tcp, buffer, (size_t)n, now_us);
}

static void
tcp_ready(bf_source_t *source, uint32_t events, bf_time_us_t now_us)
{
	bf_tcp_t *tcp = BF_CONTAINER(source, bf_tcp_t, source);

	if (tcp->connecting && !finish_connect(tcp, now_us))
		return;
	if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == EPOLLRDHUP)
		tcp->peer_finished = true;
	if ((events & EPOLLOUT) != 0) {
		flush_or_close(tcp, now_us);
		if (!bf_tcp_is_open(tcp))
			return;
	}
	if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
		tcp->peer_closed = true;
	if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0)
		return;
	/* A connection that has failed is read to its end, which closes it. */
	if ((events & (EPOLLHUP | EPOLLERR)) == 0 &&
	    tcp->vtable->may_read != NULL &&
	    !tcp->vtable->may_read(tcp, now_us)) {
		if (bf_tcp_is_open(tcp)) {
			pause_reading(tcp);
		}
		return;
	}
	if (bf_tcp_is_open(tcp))
		read_once(tcp, now_us);
}

static bf_code_t
init(bf_tcp_t *tcp, const bf_tcp_vtable_t *vtable, bf_loop_t *loop, int fd,
    uint32_t events, bf_error_t *err)
{
	unsigned int unacked_timeout_ms = UNACKED_TIMEOUT_MS;
	int on = 1;
	bf_code_t code;

	*tcp = (bf_tcp_t){
		.vtable = vtable,
		.loop = loop,
		.source = { .ready = tcp_ready, .fd = fd },
		.flush = { .run = run_flush },
		.connecting = (events & EPOLLOUT) != 0,
	};
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
	    sizeof(unacked_timeout_ms));
	code = bf_loop_watch(loop, &tcp->source, events, err);
	if (code != BF_OK) {
		close(fd);
		tcp->source.fd = -1;
	}
	return code;
}

bf_code_t
bf_tcp_adopt(bf_tcp_t *tcp, const bf_tcp_vtable_t *vtable, bf_loop_t *loop,
    int fd, bf_error_t *err)
{
	return init(tcp, vtable, loop, fd, READ_EVENTS, err);
}

bf_code_t
bf_tcp_connect(bf_tcp_t *tcp, const bf_tcp_vtable_t *vtable, bf_loop_t *loop,
    const struct sockaddr_in *address, bf_error_t *err)
{
	int fd;

	tcp->source.fd = -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return bf_error_set(err, BF_ERR_IO,
		    "cannot create a socket: %s", strerror(errno));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) !=
		0 &&
	    errno != EINPROGRESS) {
		bf_error_set(
		    err, BF_ERR_IO, "cannot connect: %s", strerror(errno));
		close(fd);
		return BF_ERR_IO;
	}
	return init(tcp, vtable, loop, fd, READ_EVENTS | EPOLLOUT, err);
}

void
bf_tcp_schedule_flush(bf_tcp_t *tcp)
{
	if (!bf_tcp_is_open(tcp))
		return;
	bf_memory_charge_set(&tcp->out_charge, bf_memory_of(&tcp->out));
	bf_loop_defer(tcp->loop, &tcp->flush);
}

void
bf_tcp_send(bf_tcp_t *tcp, const void *data, size_t bytes)
{
	bf_bytes_add(&tcp->out, data, bytes);
	bf_tcp_schedule_flush(tcp);
}

void
bf_tcp_close(bf_tcp_t *tcp)
{
	if (!bf_tcp_is_open(tcp))
		return;
	close(tcp->source.fd);
	tcp->source.fd = -1;
	bf_bytes_free(&tcp->out);
	tcp->tail_bytes = 0;
	bf_memory_charge_set(&tcp->out_charge, 0);
}

void
bf_tcp_abort(bf_tcp_t *tcp)
{
	struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };

	if (!bf_tcp_is_open(tcp))
		return;
	(void)setsockopt(tcp->source.fd, SOL_SOCKET, SO_LINGER, &no_linger,
	    sizeof(no_linger));
	bf_tcp_close(tcp);
}

void
bf_tcp_resume(bf_tcp_t *tcp)
{
	if (!bf_tcp_is_open(tcp) || !tcp->paused)
		return;
	tcp->paused = false;
	update_events(tcp);
}

void
bf_tcp_finish(bf_tcp_t *tcp)
{
	if (!bf_tcp_is_open(tcp))
		return;
	tcp->close_when_flushed = true;
	bf_tcp_schedule_flush(tcp);
}

/* Whether accept(2) fails again at once if it is called again. */
static bool
is_lasting(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	    error == ENOMEM;
}

static void
set_listener_error(bf_listener_t *listener, int error, bf_time_us_t now_us)
{
	bool changed = (listener->error == 0) != (error == 0);

	listener->error = error;
	if (changed && listener->observer != NULL)
		listener->observer->changed(
		    listener->observer, listener, error, now_us);
}

static void
pause_listener(bf_listener_t *listener, bf_time_us_t now_us)
{
	bf_loop_change(listener->loop, &listener->source, 0);
	bf_loop_timer_set(
	    listener->loop, &listener->retry, now_us + ACCEPT_RETRY_US);
}

static void
on_listener_retry(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_listener_t *listener = BF_CONTAINER(timer, bf_listener_t, retry);

	(void)now_us;
	bf_loop_change(listener->loop, &listener->source, EPOLLIN);
}

static void
listener_ready(bf_source_t *source, uint32_t events, bf_time_us_t now_us)
{
	bf_listener_t *listener = BF_CONTAINER(source, bf_listener_t, source);
	struct sockaddr_in from;
	socklen_t bytes;
	int fd, i;

	(void)events;
	for (i = 0; i < ACCEPTS_PER_EVENT_MAX && source->fd >= 0; i++) {
		if (listener->may_accept != NULL &&
		    !listener->may_accept(listener, now_us)) {
			/* Later there may be none left. */
			if (i == 0 && listener->waits != NULL)
				listener->waits(listener, now_us);
			pause_listener(listener, now_us);
			return;
		}
		bytes = sizeof(from);
		fd = accept4(source->fd, (struct sockaddr *)&from, &bytes,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && is_lasting(errno)) {
			set_listener_error(listener, errno, now_us);
			pause_listener(listener, now_us);
			return;
		}
		if (fd < 0)
			return;
		set_listener_error(listener, 0, now_us);
		listener->accepted(listener, fd, &from, now_us);
	}
}

/* Accepted connections inherit the sizes from the listening socket. */
static void
set_buffers(int fd, uint32_t bytes)
{
	int value = (int)bytes;

	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &value, sizeof(value));
	(void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &value, sizeof(value));
}

bf_code_t
bf_listener_open(bf_listener_t *listener, bf_loop_t *loop,
    const struct sockaddr_in *address, bf_error_t *err)
{
	int fd, on = 1;
	bf_code_t code;

	listener->loop = loop;
	listener->source = (bf_source_t){ .ready = listener_ready, .fd = -1 };
	listener->retry.fire = on_listener_retry;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return bf_error_set(err, BF_ERR_IO,
		    "cannot create a socket: %s", strerror(errno));
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (listener->buffer_bytes != 0)
		set_buffers(fd, listener->buffer_bytes);
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
	    listen(fd,
		listener->backlog != 0 ? (int)listener->backlog
				       : BACKLOG_DEFAULT) != 0) {
		bf_error_set(err, BF_ERR_IO, "cannot listen on port %u: %s",
		    (unsigned int)ntohs(address->sin_port), strerror(errno));
		close(fd);
		return BF_ERR_IO;
	}
	listener->source.fd = fd;
	code = bf_loop_watch(loop, &listener->source, EPOLLIN, err);
	if (code != BF_OK)
		bf_listener_close(listener);
	return code;
}

uint16_t
bf_listener_port(const bf_listener_t *listener)
{
	struct sockaddr_in address = { 0 };
	socklen_t bytes = sizeof(address);

	if (getsockname(
		listener->source.fd, (struct sockaddr *)&address, &bytes) != 0)
		return 0;
	return ntohs(address.sin_port);
}

void
bf_listener_close(bf_listener_t *listener)
{
	if (listener->source.fd < 0)
		return;
	bf_loop_timer_cancel(listener->loop, &listener->retry);
	close(listener->source.fd);
	listener->source.fd = -1;
}
