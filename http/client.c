#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/client.h"

/* A server's stated keep-alive time is used up to this long before its end. */
#define KEEP_ALIVE_MARGIN_US BF_US_PER_S

struct bf_http_link {
	bf_tcp_t tcp; /* first member */
	bf_http_reader_t reader;
	bf_http_client_t *client;
	bf_http_link_t *next;
	bf_http_exchange_t *exchange; /* NULL: idle or finishing */
	bf_time_us_t now_us;
	bf_time_us_t idle_since_us;
	bf_time_us_t keep_us; /* how long the server keeps it */
	bool is_idle;
};

static bf_http_link_t *
link_of(bf_tcp_t *tcp)
{
	return (bf_http_link_t *)(void *)tcp;
}

static void
remove_idle(bf_http_link_t *link)
{
	bf_http_link_t **at;

	if (!link->is_idle)
		return;
	link->is_idle = false;
	for (at = &link->client->idle; *at != NULL; at = &(*at)->next) {
		if (*at == link) {
			*at = link->next;
			return;
		}
	}
}

static void
drop_link(bf_http_link_t *link)
{
	remove_idle(link);
	bf_tcp_close(&link->tcp);
	bf_http_reader_clear(&link->reader);
	link->client->link_count--;
	bf_loop_release(link->client->loop, link);
}

/* Ends the exchange of a link, which goes or is kept by then. */
static void
end_exchange(bf_http_link_t *link, bf_http_end_t end,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_http_exchange_t *exchange = link->exchange;

	link->exchange = NULL;
	exchange->link = NULL;
	exchange->done(exchange, end, message, now_us);
}

/* "timeout=N" in whole seconds. */
static bf_time_us_t
keep_time_us(const bf_http_message_t *message, bf_time_us_t otherwise_us)
{
	const char *text;
	long seconds;

	text = bf_http_find(message, "Keep-Alive");
	if (text == NULL)
		return otherwise_us;
	text = strcasestr(text, "timeout=");
	if (text == NULL)
		return otherwise_us;
	seconds = strtol(text + sizeof("timeout=") - 1, NULL, 10);
	if (seconds <= 0)
		return 0;
	return seconds * BF_US_PER_S - KEEP_ALIVE_MARGIN_US;
}

/* What becomes of a link after a whole answer. */
static void
settle_link(bf_http_link_t *link, const bf_http_message_t *message)
{
	if (bf_tcp_unsent(&link->tcp) > 0) {
		/*
		 * An early answer: the server is still to read the rest of
		 * this body, and nothing else may follow it.
		 */
		bf_tcp_finish(&link->tcp);
		return;
	}
	if (!message->keep_alive || message->until_close) {
		drop_link(link);
		return;
	}
	link->keep_us = keep_time_us(message, link->client->idle_us);
	link->idle_since_us = link->now_us;
	link->is_idle = true;
	link->next = link->client->idle;
	link->client->idle = link;
}

static void
on_message(bf_http_reader_t *reader, bf_http_message_t *message)
{
	bf_http_link_t *link = BF_CONTAINER(reader, bf_http_link_t, reader);
	bf_http_exchange_t *exchange = link->exchange;
	bf_time_us_t now_us = link->now_us;

	if (exchange == NULL) {
		bf_http_message_free(message);
		return;
	}
	link->exchange = NULL;
	exchange->link = NULL;
	settle_link(link, message);
	exchange->done(exchange, BF_HTTP_ANSWERED, message, now_us);
}

static const bf_http_reader_vtable_t reader_vtable = { .message = on_message };

static void
link_received(
    bf_tcp_t *tcp, const uint8_t *data, size_t bytes, bf_time_us_t now_us)
{
	bf_http_link_t *link = link_of(tcp);

	link->now_us = now_us;
	if (link->exchange == NULL) {
		/* Bytes that belong to no request. */
		drop_link(link);
		return;
	}
	if (bf_http_reader_feed(&link->reader, data, bytes) != BF_HTTP_OK) {
		bf_tcp_close(tcp);
		if (link->exchange != NULL)
			end_exchange(link, BF_HTTP_BAD, NULL, now_us);
		drop_link(link);
		return;
	}
	if (link->reader.extra && bf_tcp_is_open(tcp) && link->is_idle)
		drop_link(link);
}

static void
link_ended(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	bf_http_link_t *link = link_of(tcp);

	link->now_us = now_us;
	if (orderly && link->exchange != NULL) {
		/* May complete the exchange, which drops the link. */
		bf_http_reader_finish(&link->reader);
		if (link->exchange == NULL)
			return;
	}
	if (link->exchange != NULL)
		end_exchange(link,
		    tcp->connecting ? BF_HTTP_NOT_SENT : BF_HTTP_BROKEN, NULL,
		    now_us);
	drop_link(link);
}

static const bf_tcp_vtable_t link_vtable = {
	.received = link_received,
	.ended = link_ended,
};

static bf_http_link_t *
take_idle(
    bf_http_client_t *client, bf_time_us_t idle_max_us, bf_time_us_t now_us)
{
	bf_time_us_t idle_us;
	bf_http_link_t *link;

	while ((link = client->idle) != NULL) {
		idle_us = now_us - link->idle_since_us;
		if (idle_us < link->keep_us && idle_us < client->idle_us) {
			if (idle_us >= idle_max_us)
				return NULL;
			client->idle = link->next;
			link->is_idle = false;
			return link;
		}
		drop_link(link);
	}
	return NULL;
}

static bf_http_link_t *
open_link(bf_http_client_t *client)
{
	bf_http_link_t *link;

	link = calloc(1, sizeof(*link));
	if (link == NULL)
		return NULL;
	if (bf_tcp_connect(&link->tcp, &link_vtable, client->loop,
		&client->address, NULL) != BF_OK) {
		free(link);
		return NULL;
	}
	link->client = client;
	client->link_count++;
	client->opened++;
	return link;
}

bool
bf_http_send(bf_http_client_t *client, bf_http_exchange_t *exchange,
    const bf_bytes_t *head, const bf_bytes_t *body, bf_time_us_t idle_max_us,
    bf_time_us_t now_us)
{
	bf_http_link_t *link;

	link = take_idle(client, idle_max_us, now_us);
	if (link == NULL)
		link = open_link(client);
	if (link == NULL)
		return false;
	bf_http_reader_init(&link->reader, &reader_vtable, false);
	link->reader.one = true;
	link->reader.no_body = exchange->head;
	link->exchange = exchange;
	exchange->link = link;
	bf_bytes_add(&link->tcp.out, bf_bytes_at(head), bf_bytes_count(head));
	if (body != NULL)
		bf_bytes_add(
		    &link->tcp.out, bf_bytes_at(body), bf_bytes_count(body));
	bf_tcp_send_later(&link->tcp);
	return true;
}

void
bf_http_cancel(bf_http_exchange_t *exchange)
{
	bf_http_link_t *link = exchange->link;

	if (link == NULL)
		return;
	exchange->link = NULL;
	link->exchange = NULL;
	drop_link(link);
}

void
bf_http_client_reset(bf_http_client_t *client)
{
	while (client->idle != NULL)
		drop_link(client->idle);
}
