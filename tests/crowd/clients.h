#ifndef BF_TESTS_CROWD_CLIENTS_H
#define BF_TESTS_CROWD_CLIENTS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A crowd of clients that keep connections open without finishing what they
 * sent.  It runs in a thread of its own; a client whose connection is closed
 * comes back.
 */

typedef struct crowd_kind {
	const char *name;
	/* Sent first; "%u" stands for the number of the client. */
	const char *head;
	/* Repeated after the head, up to so many bytes; the rest never comes.
	 */
	const char *unit;
	size_t unit_bytes;
	size_t bytes;
	size_t piece_bytes;   /* sent at a time; 0: as much as possible */
	uint32_t pause_ms;    /* between two pieces */
	bool ignores_answers; /* they stay unread */
} crowd_kind_t;

typedef struct crowd crowd_t;

/* Client i is of kind i modulo kind_count. */
crowd_t *crowd_start(const struct sockaddr_in *address,
    const crowd_kind_t *kinds, uint32_t kind_count, uint32_t client_count);

/* Connections that the crowd has opened so far. */
uint32_t crowd_connection_count(const crowd_t *crowd);

/* Closes all connections at once. */
void crowd_stop(crowd_t *crowd);

/*
 * Sends one POST with a body of so many bytes on a new connection; returns the
 * status, 0 without an answer.
 */
int crowd_request(const struct sockaddr_in *address, const char *host,
    const char *path, size_t body_bytes);

/*
 * Repeats the request until it is answered 200, as a refusal promises that it
 * was not run; fails the test after a minute.
 */
void crowd_expect_answered(const struct sockaddr_in *address, const char *host,
    const char *path, size_t body_bytes);

#endif
