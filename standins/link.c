#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standins/link.h"

#define QUEUE_BYTES_MAX ((size_t)1024 * 1024) /* for each direction */
#define READ_BYTES 65536
#define EVENTS_MAX 64
#define BACKLOG 512
#define US_PER_MS 1000
#define POLL_TIMEOUT_MS_MAX 1000

static void
fail(const char *what)
{
	perror(what);
	exit(71);
}

void
relay_init(relay_t *relay)
{
	relay->source = SOURCE_CONTROL;
	relay->mappings = g_ptr_array_new();
	relay->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (relay->epoll_fd < 0)
		fail("epoll_create1");
}

mapping_t *
relay_add_mapping(relay_t *relay, const struct sockaddr_in *listen_on,
    const struct sockaddr_in *target)
{
	mapping_t *mapping;

	mapping = g_new0(mapping_t, 1);
	mapping->source = SOURCE_LISTENER;
	mapping->listen = *listen_on;
	mapping->target = *target;
	mapping->fd = -1;
	mapping->connections = g_ptr_array_new();
	g_ptr_array_add(relay->mappings, mapping);
	return mapping;
}

static void
set_interest(relay_t *relay, side_t *side, uint32_t interest)
{
	struct epoll_event event = { .events = interest, .data.ptr = side };
	int operation;

	if (interest == side->interest)
		return;
	operation = EPOLL_CTL_MOD;
	if (side->interest == 0)
		operation = EPOLL_CTL_ADD;
	else if (interest == 0)
		operation = EPOLL_CTL_DEL;
	if (epoll_ctl(relay->epoll_fd, operation, side->fd, &event) != 0)
		fail("epoll_ctl");
	side->interest = interest;
}

void
mapping_listen(relay_t *relay, mapping_t *mapping)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = mapping };
	socklen_t bytes;
	int on;

	on = 1;
	bytes = sizeof(mapping->listen);
	mapping->fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(mapping->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(mapping->fd, (struct sockaddr *)&mapping->listen, bytes) !=
		0 ||
	    listen(mapping->fd, BACKLOG) != 0 ||
	    getsockname(
		mapping->fd, (struct sockaddr *)&mapping->listen, &bytes) != 0)
		fail("listen");
	if (epoll_ctl(relay->epoll_fd, EPOLL_CTL_ADD, mapping->fd, &event) != 0)
		fail("epoll_ctl");
}

static void
init_side(connection_t *connection, int index, int fd)
{
	side_t *side;

	side = &connection->sides[index];
	side->source = SOURCE_SIDE;
	side->connection = connection;
	side->index = index;
	side->fd = fd;
	side->queue = g_queue_new();
}

static void
accept_connection(mapping_t *mapping)
{
	connection_t *connection;
	int caller, target;

	caller = accept4(mapping->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (caller < 0)
		return;
	target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (target < 0 ||
	    (connect(target, (struct sockaddr *)&mapping->target,
		 sizeof(mapping->target)) != 0 &&
		errno != EINPROGRESS)) {
		close(caller);
		if (target >= 0)
			close(target);
		return;
	}
	mapping->accepted++;
	connection = g_new0(connection_t, 1);
	connection->mapping = mapping;
	init_side(connection, CALLER, caller);
	init_side(connection, TARGET, target);
	g_ptr_array_add(mapping->connections, connection);
}

static void
close_connection(connection_t *connection)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	side_t *side;
	int i;

	for (i = 0; i < SIDES; i++) {
		side = &connection->sides[i];
		if (connection->failed)
			setsockopt(side->fd, SOL_SOCKET, SO_LINGER, &reset,
			    sizeof(reset));
		close(side->fd);
		g_queue_free_full(side->queue, g_free);
	}
	g_free(connection);
}

static void
read_side(side_t *side, gint64 now_us)
{
	uint8_t buffer[READ_BYTES];
	chunk_t *chunk;
	mapping_t *mapping;
	ssize_t n;

	mapping = side->connection->mapping;
	n = recv(side->fd, buffer, sizeof(buffer), 0);
	if (n < 0) {
		if (errno != EAGAIN && errno != EINTR)
			side->connection->failed = true;
		return;
	}
	if (n == 0) {
		side->read_eof = true;
		return;
	}
	chunk = g_malloc(sizeof(*chunk) + (size_t)n);
	chunk->due_us = now_us + (gint64)mapping->delay_ms * US_PER_MS;
	chunk->bytes = (size_t)n;
	chunk->sent = 0;
	memcpy(chunk->data, buffer, (size_t)n);
	g_queue_push_tail(side->queue, chunk);
	side->queued_bytes += (size_t)n;
	mapping->bytes[side->index] += (uint64_t)n;
}

static bool
is_held(const side_t *side)
{
	return side->index == TARGET &&
	    side->connection->mapping->responses_held;
}

/* Sends the chunks that are due; false if the socket is full or failed. */
static bool
send_due(side_t *side, int to, gint64 now_us)
{
	chunk_t *chunk;
	ssize_t n;

	while ((chunk = g_queue_peek_head(side->queue)) != NULL &&
	    chunk->due_us <= now_us) {
		n = send(to, chunk->data + chunk->sent,
		    chunk->bytes - chunk->sent, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN && errno != EINTR)
			side->connection->failed = true;
		if (n < 0)
			return false;
		chunk->sent += (size_t)n;
		side->queued_bytes -= (size_t)n;
		if (chunk->sent == chunk->bytes)
			g_free(g_queue_pop_head(side->queue));
	}
	return true;
}

/* Relays one direction; true if it must wait until the socket is writable. */
static bool
forward(side_t *side, gint64 now_us)
{
	int to;

	to = side->connection->sides[1 - side->index].fd;
	if (is_held(side))
		return false;
	if (!send_due(side, to, now_us))
		return !side->connection->failed;
	if (side->read_eof && !side->eof_forwarded &&
	    g_queue_is_empty(side->queue)) {
		shutdown(to, SHUT_WR);
		side->eof_forwarded = true;
	}
	return false;
}

/* Relays both directions; false once the connection is finished or failed. */
static bool
pump_connection(relay_t *relay, connection_t *connection, gint64 now_us)
{
	uint32_t interest[SIDES] = { 0, 0 };
	side_t *side;
	int i;

	if (!connection->frozen && !connection->mapping->paused) {
		for (i = 0; i < SIDES; i++) {
			side = &connection->sides[i];
			if (forward(side, now_us))
				interest[1 - i] |= EPOLLOUT;
			if (!side->read_eof &&
			    side->queued_bytes < QUEUE_BYTES_MAX)
				interest[i] |= EPOLLIN;
		}
	}
	for (i = 0; i < SIDES; i++)
		set_interest(relay, &connection->sides[i], interest[i]);
	return !connection->failed &&
	    !(connection->sides[CALLER].eof_forwarded &&
		connection->sides[TARGET].eof_forwarded);
}

static void
pump_mapping(relay_t *relay, mapping_t *mapping, gint64 now_us)
{
	connection_t *connection;
	guint i;

	for (i = mapping->connections->len; i > 0; i--) {
		connection = mapping->connections->pdata[i - 1];
		if (pump_connection(relay, connection, now_us))
			continue;
		g_ptr_array_remove_index(mapping->connections, i - 1);
		close_connection(connection);
	}
}

/* The time until the next delayed chunk is due, for epoll_wait. */
static int
poll_timeout_ms(relay_t *relay, gint64 now_us)
{
	const connection_t *connection;
	const chunk_t *chunk;
	const mapping_t *mapping;
	gint64 wait_us;
	guint i, m;
	int s;

	wait_us = (gint64)POLL_TIMEOUT_MS_MAX * US_PER_MS;
	for (m = 0; m < relay->mappings->len; m++) {
		mapping = relay->mappings->pdata[m];
		for (i = 0; i < mapping->connections->len; i++) {
			connection = mapping->connections->pdata[i];
			for (s = 0; s < SIDES; s++) {
				chunk = g_queue_peek_head(
				    connection->sides[s].queue);
				if (chunk != NULL && chunk->due_us > now_us)
					wait_us = MIN(
					    wait_us, chunk->due_us - now_us);
			}
		}
	}
	return (int)((wait_us + US_PER_MS - 1) / US_PER_MS);
}

void
mapping_cut(relay_t *relay, mapping_t *mapping)
{
	connection_t *connection;
	guint i;

	if (mapping->fd >= 0)
		close(mapping->fd);
	mapping->fd = -1;
	for (i = 0; i < mapping->connections->len; i++) {
		connection = mapping->connections->pdata[i];
		connection->failed = true;
	}
	pump_mapping(relay, mapping, 0);
}

void
mapping_release(relay_t *relay, mapping_t *mapping, bool swap)
{
	connection_t *first, *next;
	GQueue *queue;
	size_t bytes;
	side_t *a, *b;
	guint i;

	for (i = 0; swap && i + 1 < mapping->connections->len; i += 2) {
		first = mapping->connections->pdata[i];
		next = mapping->connections->pdata[i + 1];
		a = &first->sides[TARGET];
		b = &next->sides[TARGET];
		queue = a->queue;
		bytes = a->queued_bytes;
		a->queue = b->queue;
		a->queued_bytes = b->queued_bytes;
		b->queue = queue;
		b->queued_bytes = bytes;
	}
	mapping->responses_held = false;
	pump_mapping(relay, mapping, g_get_monotonic_time());
}

void
mapping_freeze(mapping_t *mapping)
{
	connection_t *connection;
	guint i;

	for (i = 0; i < mapping->connections->len; i++) {
		connection = mapping->connections->pdata[i];
		connection->frozen = true;
	}
}

void
relay_run_once(relay_t *relay)
{
	struct epoll_event events[EVENTS_MAX];
	const event_source_t *source;
	gint64 now_us;
	guint m;
	int i, n;

	n = epoll_wait(relay->epoll_fd, events, EVENTS_MAX,
	    poll_timeout_ms(relay, g_get_monotonic_time()));
	now_us = g_get_monotonic_time();
	/* Later events may refer to a connection: free none in the loop. */
	for (i = 0; i < n; i++) {
		source = events[i].data.ptr;
		if (*source == SOURCE_LISTENER)
			accept_connection(events[i].data.ptr);
		else if (*source == SOURCE_SIDE &&
		    (events[i].events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
			read_side(events[i].data.ptr, now_us);
	}
	for (m = 0; m < relay->mappings->len; m++)
		pump_mapping(relay, relay->mappings->pdata[m], now_us);
}
