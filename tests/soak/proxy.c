#include <arpa/inet.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/soak/proxy.h"

/* Each process uses an address of its own in 127.0.0.0/8. */
#define LOOPBACK_NET 0x7f000000U
#define LOOPBACK_FIRST_HOST 0x00010000U
#define LOOPBACK_HOST_COUNT 0x00f00000U

#define FORWARD_INTERVAL_US (3 * BF_US_PER_MS)
/* What one connection holds and is sent at once, on a link of limited rate. */
#define WINDOW_BYTES 16384
#define PACKET_BYTES 1460

typedef struct chunk {
	bf_time_us_t due_us;
	size_t sent_bytes;
	size_t bytes;
	uint8_t data[];
} chunk_t;

typedef struct pair pair_t;

typedef struct endpoint {
	bf_tcp_t tcp; /* first member */
	pair_t *pair;
	GQueue *queue; /* chunk_t received here, to send to the peer */
	size_t queued_bytes;
	bool paused; /* nothing is read while the queue is long */
	bool eof_received;
} endpoint_t;

struct pair {
	soak_proxy_t *proxy;
	endpoint_t endpoints[SOAK_SIDE_COUNT];
	bool silent;
	bool closed;
};

in_addr_t
soak_address(void)
{
	return htonl(LOOPBACK_NET + LOOPBACK_FIRST_HOST +
	    (uint32_t)getpid() % LOOPBACK_HOST_COUNT);
}

const char *
soak_address_text(void)
{
	static char text[INET_ADDRSTRLEN];
	struct in_addr address = { .s_addr = soak_address() };

	(void)inet_ntop(AF_INET, &address, text, sizeof(text));
	return text;
}

/* Closes both connections, with TCP resets if reset is set. */
static void
close_pair(pair_t *pair, bool reset)
{
	struct linger now = { .l_onoff = 1, .l_linger = 0 };
	endpoint_t *endpoint;
	int i;

	if (pair->closed)
		return;
	pair->closed = true;
	g_ptr_array_remove_fast(pair->proxy->pairs, pair);
	for (i = 0; i < SOAK_SIDE_COUNT; i++) {
		endpoint = &pair->endpoints[i];
		if (reset && bf_tcp_is_open(&endpoint->tcp))
			(void)setsockopt(endpoint->tcp.source.fd, SOL_SOCKET,
			    SO_LINGER, &now, sizeof(now));
		bf_tcp_close(&endpoint->tcp);
		g_queue_free_full(endpoint->queue, g_free);
	}
	bf_loop_defer_free(pair->proxy->loop, pair);
}

static void
on_received(
    bf_tcp_t *tcp, const uint8_t *data, size_t bytes, bf_time_us_t now_us)
{
	endpoint_t *endpoint = (endpoint_t *)(void *)tcp;
	chunk_t *chunk = g_malloc(sizeof(*chunk) + bytes);

	chunk->due_us = now_us + endpoint->pair->proxy->delay_us;
	chunk->sent_bytes = 0;
	chunk->bytes = bytes;
	memcpy(chunk->data, data, bytes);
	g_queue_push_tail(endpoint->queue, chunk);
	endpoint->queued_bytes += bytes;
	if (endpoint->pair->proxy->bytes_per_s != 0 &&
	    endpoint->queued_bytes >= WINDOW_BYTES) {
		endpoint->paused = true;
		bf_loop_change(tcp->loop, &tcp->source, 0);
	}
}

static void
on_ended(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	endpoint_t *endpoint = (endpoint_t *)(void *)tcp;

	(void)now_us;
	if (orderly)
		endpoint->eof_received = true; /* forwarded after its data */
	else
		close_pair(endpoint->pair, true);
}

static const bf_tcp_vtable_t endpoint_vtable = {
	.received = on_received,
	.ended = on_ended,
};

/* Sends up to max_bytes from one end to the other; returns what was sent. */
static size_t
forward_bytes(endpoint_t *endpoint, endpoint_t *peer, size_t max_bytes,
    bf_time_us_t now_us)
{
	size_t sent = 0, bytes;
	chunk_t *chunk;

	while (sent < max_bytes &&
	    (chunk = g_queue_peek_head(endpoint->queue)) != NULL &&
	    chunk->due_us <= now_us) {
		bytes = MIN(chunk->bytes - chunk->sent_bytes, max_bytes - sent);
		if (bf_tcp_is_open(&peer->tcp))
			bf_tcp_send(
			    &peer->tcp, chunk->data + chunk->sent_bytes, bytes);
		chunk->sent_bytes += bytes;
		sent += bytes;
		if (chunk->sent_bytes == chunk->bytes)
			g_free(g_queue_pop_head(endpoint->queue));
	}
	endpoint->queued_bytes -= sent;
	if (endpoint->paused && endpoint->queued_bytes < WINDOW_BYTES / 2) {
		endpoint->paused = false;
		if (bf_tcp_is_open(&endpoint->tcp))
			bf_loop_change(endpoint->tcp.loop,
			    &endpoint->tcp.source, EPOLLIN | EPOLLRDHUP);
	}
	return sent;
}

/* Forwards in both directions, a packet each if the rate is limited. */
static size_t
forward_pair(pair_t *pair, bf_time_us_t now_us)
{
	soak_proxy_t *proxy = pair->proxy;
	endpoint_t *endpoint, *peer;
	size_t total = 0, sent, max;
	int i;

	for (i = 0; i < SOAK_SIDE_COUNT && !pair->closed; i++) {
		endpoint = &pair->endpoints[i];
		peer = &pair->endpoints[1 - i];
		if (pair->silent || proxy->cut[i])
			continue;
		max = SIZE_MAX;
		if (proxy->bytes_per_s != 0)
			max = bf_tcp_unsent(&peer->tcp) > WINDOW_BYTES
			    ? 0
			    : MIN(proxy->credit_bytes[i], PACKET_BYTES);
		sent = forward_bytes(endpoint, peer, max, now_us);
		proxy->credit_bytes[i] -= MIN(proxy->credit_bytes[i], sent);
		total += sent;
		if (endpoint->eof_received &&
		    g_queue_is_empty(endpoint->queue) &&
		    bf_tcp_unsent(&peer->tcp) == 0)
			close_pair(pair, false);
	}
	return total;
}

static size_t
forward_round(soak_proxy_t *proxy, bf_time_us_t now_us)
{
	size_t total = 0;
	guint i;

	for (i = proxy->pairs->len; i > 0; i--) {
		proxy->next_pair++;
		if (proxy->pairs->len > 0)
			total += forward_pair(
			    g_ptr_array_index(proxy->pairs,
				proxy->next_pair % proxy->pairs->len),
			    now_us);
	}
	return total;
}

static void
on_tick(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_proxy_t *proxy = BF_CONTAINER(timer, soak_proxy_t, tick);
	bf_time_us_t since_us = now_us - proxy->forwarded_at_us;
	int i;

	for (i = 0; i < SOAK_SIDE_COUNT; i++) {
		proxy->credit_bytes[i] +=
		    proxy->bytes_per_s * (uint64_t)since_us / BF_US_PER_S;
		if (proxy->credit_bytes[i] > WINDOW_BYTES)
			proxy->credit_bytes[i] = WINDOW_BYTES;
	}
	proxy->forwarded_at_us = now_us;
	while (forward_round(proxy, now_us) > 0 && proxy->bytes_per_s != 0)
		;
	bf_loop_timer_set(proxy->loop, timer, now_us + FORWARD_INTERVAL_US);
}

static void
on_accepted(bf_listener_t *listener, int fd, const struct sockaddr_in *from,
    bf_time_us_t now_us)
{
	soak_proxy_t *proxy = BF_CONTAINER(listener, soak_proxy_t, listener);
	pair_t *pair = g_malloc0(sizeof(*pair));
	int window_bytes = WINDOW_BYTES, i;

	(void)from;
	(void)now_us;
	pair->proxy = proxy;
	for (i = 0; i < SOAK_SIDE_COUNT; i++) {
		pair->endpoints[i].pair = pair;
		pair->endpoints[i].queue = g_queue_new();
	}
	g_ptr_array_add(proxy->pairs, pair);
	if (proxy->bytes_per_s != 0)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(int));
	if (bf_tcp_adopt(&pair->endpoints[SOAK_SIDE_CLIENT].tcp,
		&endpoint_vtable, proxy->loop, fd, NULL) != BF_OK ||
	    bf_tcp_connect(&pair->endpoints[SOAK_SIDE_SERVER].tcp,
		&endpoint_vtable, proxy->loop, &proxy->upstream, NULL) != BF_OK)
		close_pair(pair, true);
}

void
soak_proxy_open(
    soak_proxy_t *proxy, bf_loop_t *loop, const struct sockaddr_in *upstream)
{
	struct sockaddr_in any = { .sin_family = AF_INET };

	any.sin_addr.s_addr = soak_address();
	*proxy = (soak_proxy_t){
		.listener = { .accepted = on_accepted },
		.loop = loop,
		.upstream = *upstream,
		.pairs = g_ptr_array_new(),
		.tick = { .fire = on_tick },
		.forwarded_at_us = bf_clock_monotonic_us(),
	};
	g_assert_cmpint(
	    bf_listener_open(&proxy->listener, loop, &any, NULL), ==, BF_OK);
	bf_loop_timer_set(loop, &proxy->tick, bf_clock_monotonic_us());
}

uint16_t
soak_proxy_port(const soak_proxy_t *proxy)
{
	return bf_listener_port(&proxy->listener);
}

void
soak_proxy_reset(soak_proxy_t *proxy)
{
	while (proxy->pairs->len > 0)
		close_pair(g_ptr_array_index(proxy->pairs, 0), true);
}

void
soak_proxy_silence(soak_proxy_t *proxy)
{
	pair_t *pair;
	guint i;

	for (i = 0; i < proxy->pairs->len; i++) {
		pair = g_ptr_array_index(proxy->pairs, i);
		pair->silent = true;
	}
}

void
soak_proxy_heal(soak_proxy_t *proxy)
{
	proxy->delay_us = 0;
	proxy->cut[SOAK_SIDE_CLIENT] = false;
	proxy->cut[SOAK_SIDE_SERVER] = false;
}

void
soak_proxy_close(soak_proxy_t *proxy)
{
	bf_listener_close(&proxy->listener);
	bf_loop_timer_cancel(proxy->loop, &proxy->tick);
	soak_proxy_reset(proxy);
	g_ptr_array_free(proxy->pairs, TRUE);
}
