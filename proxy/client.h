#ifndef BF_PROXY_CLIENT_H
#define BF_PROXY_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <curl/curl.h>

#include "base/clock.h"

#define BF_CLIENT_ADDRESS_BYTES 64

/*
 * A worker's connections to other nodes and to the target: a libcurl multi
 * handle driven by the worker's epoll instance.  A socket stays registered
 * with epoll between two calls, which saves two system calls per call.
 */

/* What an epoll event refers to. */
typedef enum bf_event_source_kind {
	BF_EVENT_SOURCE_WAKE,   /* the worker's eventfd */
	BF_EVENT_SOURCE_SERVER, /* bf_server_t */
	BF_EVENT_SOURCE_SOCKET, /* bf_socket_t */
	BF_EVENT_SOURCE_CALLER  /* bf_call_t: the caller's connection */
} bf_event_source_kind_t;

/* First member of each object that an epoll event points to. */
typedef struct bf_event_source {
	bf_event_source_kind_t kind;
} bf_event_source_t;

typedef struct bf_socket {
	bf_event_source_t source;
	int fd;
	uint32_t registered_events; /* 0: not in the epoll instance */
	uint32_t wanted_events;     /* by libcurl; 0: none */
} bf_socket_t;

/* A pointer, so that the socket's address is stable when the table grows. */
typedef struct bf_socket_entry {
	bf_socket_t *socket;
} bf_socket_entry_t;

#define BF_SUSPECTS_MAX 16

/* A peer at which a reused connection timed out, and when that was found. */
typedef struct bf_suspect_address {
	char address[BF_CLIENT_ADDRESS_BYTES];
	bf_time_us_t detected_us; /* 0: unused */
} bf_suspect_address_t;

typedef struct bf_client {
	CURLM *multi;
	int epoll_fd;
	bf_socket_entry_t *sockets; /* by file descriptor */
	size_t socket_count;
	bf_time_us_t timer_at_us; /* libcurl's timer; INT64_MAX: none */
	bf_suspect_address_t suspects[BF_SUSPECTS_MAX];
	size_t next_suspect;
	uint64_t connections_opened;
} bf_client_t;

/* connections_max: most connections that are kept idle, up to 256. */
bool bf_client_open(
    bf_client_t *client, int epoll_fd, uint32_t connections_max);

/* All easy handles must have been removed. */
void bf_client_close(bf_client_t *client);

/* Sets the options of an easy handle that are the same for every call. */
void bf_client_prepare(bf_client_t *client, CURL *easy);

/*
 * Records that a request on a reused connection to address timed out: the
 * other connections to it that are open now may be dead too.
 */
void bf_client_suspect_address(
    bf_client_t *client, const char *address, bf_time_us_t now_us);

/*
 * Limits which connections to address a request may reuse: those idle for at
 * most idle_max_us and opened after the last timeout recorded for address.
 */
void bf_client_limit_age(bf_client_t *client, CURL *easy, const char *address,
    bf_time_us_t idle_max_us, bf_time_us_t now_us);

/* Handles epoll events of a BF_EVENT_SOURCE_SOCKET. */
void bf_client_handle_event(
    bf_client_t *client, bf_socket_t *socket, uint32_t events);

/* Runs libcurl's timer if it has expired by now_us. */
void bf_client_run_timer(bf_client_t *client, bf_time_us_t now_us);

#endif
