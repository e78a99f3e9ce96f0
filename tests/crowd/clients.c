#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"
#include "tests/crowd/clients.h"

#define ROUND_US (5 * BF_US_PER_MS)
/* A client whose connection was closed comes back after this time. */
#define RETURN_US BF_US_PER_S
#define SEND_BYTES_MAX 65536
#define ANSWER_TIMEOUT_S 20
#define ANSWERED_WAIT_US (60 * BF_US_PER_S)
/* "HTTP/1.1 200" */
#define STATUS_BYTES 12

typedef struct client {
	int fd; /* -1: closed */
	char *head;
	size_t sent_bytes; /* of the head and what follows it */
	bf_time_us_t next_us;
} client_t;

struct crowd {
	struct sockaddr_in address;
	const crowd_kind_t *kinds;
	uint32_t kind_count;
	client_t *clients;
	uint32_t client_count;
	GThread *thread;
	gint stopping;         /* atomic */
	gint connection_count; /* atomic */
};

static void
close_client(client_t *client, bf_time_us_t now_us)
{
	close(client->fd);
	client->fd = -1;
	client->sent_bytes = 0;
	client->next_us = now_us + RETURN_US;
}

static void
open_client(crowd_t *crowd, client_t *client)
{
	client->fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_assert_cmpint(client->fd, >=, 0);
	g_atomic_int_inc(&crowd->connection_count);
	/* A failure shows when the client sends. */
	(void)connect(client->fd, (const struct sockaddr *)&crowd->address,
	    sizeof(crowd->address));
}

/* The next bytes to send, at most max of them. */
static size_t
next_bytes(
    const crowd_kind_t *kind, const client_t *client, char *buffer, size_t max)
{
	size_t head_bytes = strlen(client->head), at, count = 0;
	size_t end = head_bytes + kind->bytes;

	for (at = client->sent_bytes; count < max && at < end; at++)
		buffer[count++] = at < head_bytes
		    ? client->head[at]
		    : kind->unit[(at - head_bytes) % kind->unit_bytes];
	return count;
}

/* Reads and discards; false if the connection has ended. */
static bool
discard_answers(const client_t *client)
{
	char buffer[4096];
	ssize_t n;

	do
		n = recv(client->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	while (n > 0);
	return n < 0 && (errno == EAGAIN || errno == ENOTCONN);
}

static void
serve_client(crowd_t *crowd, uint32_t number, bf_time_us_t now_us)
{
	static char buffer[SEND_BYTES_MAX];
	client_t *client = &crowd->clients[number];
	const crowd_kind_t *kind = &crowd->kinds[number % crowd->kind_count];
	size_t max = SEND_BYTES_MAX, bytes;
	ssize_t n;

	if (now_us < client->next_us)
		return;
	if (client->fd < 0)
		open_client(crowd, client);
	if (!kind->ignores_answers && !discard_answers(client)) {
		close_client(client, now_us);
		return;
	}
	/* The head goes out at once. */
	if (kind->piece_bytes != 0)
		max = client->sent_bytes == 0
		    ? strlen(client->head) + kind->piece_bytes
		    : kind->piece_bytes;
	bytes = next_bytes(kind, client, buffer, max);
	n = send(client->fd, buffer, bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n > 0)
		client->sent_bytes += (size_t)n;
	client->next_us = now_us + kind->pause_ms * BF_US_PER_MS;
	if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
		close_client(client, now_us);
}

static gpointer
run(gpointer ctx)
{
	crowd_t *crowd = ctx;
	uint32_t i;

	while (g_atomic_int_get(&crowd->stopping) == 0) {
		for (i = 0; i < crowd->client_count; i++)
			serve_client(crowd, i, bf_clock_monotonic_us());
		g_usleep((gulong)ROUND_US);
	}
	return NULL;
}

static char *
client_head(const crowd_kind_t *kind, uint32_t number)
{
	const char *mark = strstr(kind->head, "%u");

	if (mark == NULL)
		return g_strdup(kind->head);
	return g_strdup_printf(
	    "%.*s%u%s", (int)(mark - kind->head), kind->head, number, mark + 2);
}

crowd_t *
crowd_start(const struct sockaddr_in *address, const crowd_kind_t *kinds,
    uint32_t kind_count, uint32_t client_count)
{
	crowd_t *crowd = g_new0(crowd_t, 1);
	uint32_t i;

	crowd->address = *address;
	crowd->kinds = kinds;
	crowd->kind_count = kind_count;
	crowd->client_count = client_count;
	crowd->clients = g_new0(client_t, client_count);
	for (i = 0; i < client_count; i++) {
		crowd->clients[i].fd = -1;
		crowd->clients[i].head = client_head(&kinds[i % kind_count], i);
	}
	crowd->thread = g_thread_new("crowd", run, crowd);
	return crowd;
}

uint32_t
crowd_connection_count(const crowd_t *crowd)
{
	return (uint32_t)g_atomic_int_get(&crowd->connection_count);
}

void
crowd_stop(crowd_t *crowd)
{
	uint32_t i;

	g_atomic_int_set(&crowd->stopping, 1);
	(void)g_thread_join(crowd->thread);
	for (i = 0; i < crowd->client_count; i++) {
		if (crowd->clients[i].fd >= 0)
			close(crowd->clients[i].fd);
		g_free(crowd->clients[i].head);
	}
	g_free(crowd->clients);
	g_free(crowd);
}

static int
connect_to(const struct sockaddr_in *address)
{
	struct timeval timeout = { .tv_sec = ANSWER_TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) !=
	    0) {
		close(fd);
		return -1;
	}
	return fd;
}

int
crowd_request(const struct sockaddr_in *address, const char *host,
    const char *path, size_t body_bytes)
{
	static gint number;
	char answer[STATUS_BYTES + 1] = "", *head, *body;
	size_t sent = 0, got = 0;
	ssize_t n = 1;
	int fd = connect_to(address);

	if (fd < 0)
		return 0;
	head = g_strdup_printf("POST %s HTTP/1.1\r\nHost: %s\r\n"
			       "Request-Id: ordinary-%d\r\n"
			       "Content-Length: %zu\r\n\r\n",
	    path, host, g_atomic_int_add(&number, 1), body_bytes);
	body = g_malloc0(body_bytes + 1);
	if (send(fd, head, strlen(head), MSG_NOSIGNAL) > 0) {
		while (sent < body_bytes && n > 0) {
			n = send(
			    fd, body + sent, body_bytes - sent, MSG_NOSIGNAL);
			sent += n > 0 ? (size_t)n : 0;
		}
		while (got < STATUS_BYTES &&
		    (n = recv(fd, answer + got, STATUS_BYTES - got, 0)) > 0)
			got += (size_t)n;
	}
	close(fd);
	g_free(head);
	g_free(body);
	return got == STATUS_BYTES ? atoi(answer + strlen("HTTP/1.1 ")) : 0;
}

void
crowd_expect_answered(const struct sockaddr_in *address, const char *host,
    const char *path, size_t body_bytes)
{
	bf_time_us_t end_us = bf_clock_monotonic_us() + ANSWERED_WAIT_US;
	int status;

	while (
	    (status = crowd_request(address, host, path, body_bytes)) != 200 &&
	    bf_clock_monotonic_us() < end_us)
		g_usleep(100000);
	g_assert_cmpint(status, ==, 200);
}
