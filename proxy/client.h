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
 * between two calls, which saves two system calls each.
 */

/* The first member of whatever an epoll event points at. */
typedef enum bf_event_source_kind {
	BF_EVENT_SOURCE_WAKE,
	BF_EVENT_SOURCE_SERVER,
	BF_EVENT_SOURCE_SOCKET, /* one of the client's */
	BF_EVENT_SOURCE_CALLER  /* a caller watched for its leaving */
} bf_event_source_kind_t;

typedef struct bf_event_source {
	bf_event_source_kind_t kind;
} bf_event_source_t;

typedef struct bf_socket {
	bf_event_source_t source;
	int fd;
	uint32_t
	    registered_events;  /* epoll events; 0: not in the epoll instance */
	uint32_t wanted_events; /* 0: no call waits for it */
} bf_socket_t;

/* Sockets keep their place while the table of them grows. */
typedef struct bf_socket_entry {
	bf_socket_t *socket;
} bf_socket_entry_t;

/* Where a kept connection went silent, and when that was seen. */
#define BF_SUSPECTS_MAX 16

typedef struct bf_suspect_address {
	char address[BF_CLIENT_ADDRESS_BYTES];
	bf_time_us_t detected_us; /* 0: unused */
} bf_suspect_address_t;

typedef struct bf_client {
	CURLM *multi;
	int epoll_fd;
	bf_socket_entry_t *sockets; /* by file descriptor */
	size_t socket_count;
	bf_time_us_t timer_at_us; /* monotonic; INT64_MAX: none */
	bf_suspect_address_t suspects[BF_SUSPECTS_MAX];
	size_t next_suspect;
	uint64_t connections_opened; /* connections */
} bf_client_t;

bool bf_client_open(bf_client_t *client, int epoll_fd);

/* All handles must have been removed. */
void bf_client_close(bf_client_t *client);

/* The options of a handle that are the same for every call. */
void bf_client_prepare(bf_client_t *client, CURL *easy);

/*
 * No answer came on a kept connection to address: the others that are open
 * now may have gone silent with it.
 */
void bf_client_suspect_address(
    bf_client_t *client, const char *address, bf_time_us_t now_us);

/*
 * Limits a request to connections to address that may be trusted: at most
 * idle_us idle, and opened after the last suspicion.
 */
void bf_client_limit_age(bf_client_t *client, CURL *easy, const char *address,
    bf_time_us_t idle_max_us, bf_time_us_t now_us);

/* An epoll event of a BF_EVENT_SOURCE_SOCKET. */
void bf_client_event(bf_client_t *client, bf_socket_t *socket, uint32_t events);

/* Runs what is due by now_us. */
void bf_client_run_timer(bf_client_t *client, bf_time_us_t now_us);

#endif
