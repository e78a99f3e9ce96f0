#include "proxy/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_CONNECTIONS_MAX 256U
#define SOCKET_TABLE_STEP 64

static bool
grow_sockets(bf_client_t *client, size_t count)
{
	bf_socket_entry_t *sockets;

	sockets = realloc(client->sockets, count * sizeof(*sockets));
	if (sockets == NULL)
		return false;
	memset(sockets + client->socket_count, 0,
	    (count - client->socket_count) * sizeof(*sockets));
	client->sockets = sockets;
	client->socket_count = count;
	return true;
}

static bf_socket_t *
find_socket(bf_client_t *client, int fd)
{
	bf_socket_t *socket;
	size_t index;

	index = (size_t)fd;
	if (index >= client->socket_count &&
	    !grow_sockets(client, index + SOCKET_TABLE_STEP))
		return NULL;
	socket = client->sockets[index].socket;
	if (socket != NULL)
		return socket;
	socket = calloc(1, sizeof(*socket));
	if (socket == NULL)
		return NULL;
	socket->source.kind = BF_EVENT_SOURCE_SOCKET;
	socket->fd = fd;
	client->sockets[index].socket = socket;
	return socket;
}

static void
register_socket(bf_client_t *client, bf_socket_t *socket, uint32_t events)
{
	struct epoll_event event;
	int operation;

	if (socket->registered_events == events)
		return;
	memset(&event, 0, sizeof(event));
	event.events = events;
	event.data.ptr = socket;
	operation =
	    socket->registered_events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
	if (events == 0)
		operation = EPOLL_CTL_DEL;
	(void)epoll_ctl(client->epoll_fd, operation, socket->fd, &event);
	socket->registered_events = events;
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *unused)
{
	bf_client_t *client = ctx;
	bf_socket_t *socket;
	uint32_t events;

	(void)easy;
	(void)unused;
	socket = find_socket(client, fd);
	if (socket == NULL)
		return -1;
	if (what == CURL_POLL_REMOVE) {
		socket->wanted_events = 0;
		return 0;
	}
	events = 0;
	if ((what & CURL_POLL_IN) != 0)
		events |= EPOLLIN;
	if ((what & CURL_POLL_OUT) != 0)
		events |= EPOLLOUT;
	socket->wanted_events = events;
	register_socket(client, socket, events);
	return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	bf_client_t *client = ctx;

	(void)multi;
	if (timeout_ms < 0)
		client->timer_at_us = INT64_MAX;
	else
		client->timer_at_us = timeout_ms == 0
		    ? 0
		    : bf_clock_monotonic_us() + timeout_ms * BF_US_PER_MS;
	return 0;
}

static curl_socket_t
on_open(void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
	bf_client_t *client = ctx;

	(void)purpose;
	client->connections_opened++;
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
	    address->protocol);
}

static int
on_close(void *ctx, curl_socket_t fd)
{
	bf_client_t *client = ctx;
	bf_socket_t *socket;

	/* The kernel removes a closed socket from the epoll instance. */
	if ((size_t)fd < client->socket_count) {
		socket = client->sockets[fd].socket;
		if (socket != NULL) {
			socket->registered_events = 0;
			socket->wanted_events = 0;
		}
	}
	return close(fd);
}

bool
bf_client_open(bf_client_t *client, int epoll_fd, uint32_t connections_max)
{
	memset(client, 0, sizeof(*client));
	client->epoll_fd = epoll_fd;
	client->timer_at_us = INT64_MAX;
	client->multi = curl_multi_init();
	if (client->multi == NULL)
		return false;
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
	    (long)(connections_max < IDLE_CONNECTIONS_MAX
		    ? connections_max
		    : IDLE_CONNECTIONS_MAX));
	curl_multi_setopt(client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	return true;
}

void
bf_client_close(bf_client_t *client)
{
	size_t i;

	if (client->multi != NULL)
		curl_multi_cleanup(client->multi);
	for (i = 0; i < client->socket_count; i++)
		free(client->sockets[i].socket);
	free(client->sockets);
	memset(client, 0, sizeof(*client));
}

void
bf_client_prepare(bf_client_t *client, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, client);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, client);
}

void
bf_client_handle_event(
    bf_client_t *client, bf_socket_t *socket, uint32_t events)
{
	int action, running;

	if (socket->registered_events == 0)
		return;
	if (socket->wanted_events == 0) {
		/*
		 * The transfer is paused, or there is none.  In that case
		 * libcurl itself detects a closed connection or unexpected
		 * bytes before it reuses the connection.
		 */
		register_socket(client, socket, 0);
		return;
	}
	action = 0;
	if ((events & (EPOLLIN | EPOLLHUP)) != 0)
		action |= CURL_CSELECT_IN;
	if ((events & EPOLLOUT) != 0)
		action |= CURL_CSELECT_OUT;
	if ((events & EPOLLERR) != 0)
		action |= CURL_CSELECT_ERR;
	curl_multi_socket_action(client->multi, socket->fd, action, &running);
}

void
bf_client_run_timer(bf_client_t *client, bf_time_us_t now_us)
{
	int running;

	if (client->timer_at_us > now_us)
		return;
	client->timer_at_us = INT64_MAX;
	curl_multi_socket_action(
	    client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static bf_suspect_address_t *
find_suspect(bf_client_t *client, const char *address)
{
	size_t i;

	for (i = 0; i < BF_SUSPECTS_MAX; i++) {
		if (client->suspects[i].detected_us > 0 &&
		    strcmp(client->suspects[i].address, address) == 0)
			return &client->suspects[i];
	}
	return NULL;
}

void
bf_client_suspect_address(
    bf_client_t *client, const char *address, bf_time_us_t now_us)
{
	bf_suspect_address_t *suspect;

	suspect = find_suspect(client, address);
	if (suspect == NULL) {
		suspect = &client->suspects[client->next_suspect];
		client->next_suspect =
		    (client->next_suspect + 1) % BF_SUSPECTS_MAX;
		(void)snprintf(
		    suspect->address, sizeof(suspect->address), "%s", address);
	}
	suspect->detected_us = now_us;
}

void
bf_client_limit_age(bf_client_t *client, CURL *easy, const char *address,
    bf_time_us_t idle_max_us, bf_time_us_t now_us)
{
	bf_suspect_address_t *suspect;
	int64_t since_s;

	curl_easy_setopt(
	    easy, CURLOPT_MAXAGE_CONN, (long)(idle_max_us / BF_US_PER_S));
	suspect = find_suspect(client, address);
	if (suspect == NULL)
		return;
	/* libcurl truncates ages to seconds and takes 0 for no limit. */
	since_s = (now_us - suspect->detected_us) / BF_US_PER_S - 1;
	if (since_s < 1)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	else
		curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, (long)since_s);
}
