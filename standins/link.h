#ifndef BF_STANDINS_LINK_H
#define BF_STANDINS_LINK_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Relays TCP connections between pairs of addresses, with fault injection.
 * Single-threaded, with bounded buffers.  Times are monotonic microseconds.
 */

/* The sides of a connection; also the index of the direction read from it. */
enum {
	CALLER,
	TARGET,
	SIDES
};

typedef struct mapping mapping_t;
typedef struct connection connection_t;

/*
 * The type of object that the pointer of an epoll event refers to.  It is the
 * first member of relay_t, mapping_t and side_t.
 */
typedef enum event_source {
	SOURCE_CONTROL,
	SOURCE_LISTENER,
	SOURCE_SIDE
} event_source_t;

typedef struct chunk {
	gint64 due_us;
	size_t bytes;
	size_t sent;
	uint8_t data[];
} chunk_t;

typedef struct side {
	event_source_t source;
	connection_t *connection;
	int index;
	int fd;
	uint32_t interest; /* epoll events; 0: not registered */
	GQueue *queue;     /* chunks read here, to be sent to the other side */
	size_t queued_bytes;
	bool read_eof;      /* nothing more to read */
	bool eof_forwarded; /* the other side was shut down for writing */
} side_t;

struct connection {
	mapping_t *mapping;
	side_t sides[SIDES];
	bool frozen; /* no bytes are relayed any more */
	bool failed; /* to be reset */
};

/* A listening address and the target to which its connections are relayed. */
struct mapping {
	event_source_t source;
	struct sockaddr_in listen;
	struct sockaddr_in target;
	int fd;              /* -1 while cut */
	bool paused;         /* set by "cut=silent": no bytes are relayed */
	bool responses_held; /* bytes from the target stay queued */
	uint32_t delay_ms;
	GPtrArray *connections;
	uint64_t accepted;
	uint64_t bytes[SIDES]; /* read from each side */
};

typedef struct relay {
	event_source_t source;
	int epoll_fd;
	GPtrArray *mappings;
} relay_t;

/* Opens the epoll descriptor; exits on failure. */
void relay_init(relay_t *relay);

/* Adds a pair of addresses; call mapping_listen to listen. */
mapping_t *relay_add_mapping(relay_t *relay,
    const struct sockaddr_in *listen_on, const struct sockaddr_in *target);

/* Listens; exits on failure. */
void mapping_listen(relay_t *relay, mapping_t *mapping);

/* Resets every connection and closes the listening socket. */
void mapping_cut(relay_t *relay, mapping_t *mapping);

/* Freezes the open connections for the rest of their lives, but no new ones. */
void mapping_freeze(mapping_t *mapping);

/*
 * Sends the responses that were held, the newest connection's first.  With
 * swap, the responses of each two connections are exchanged, to simulate
 * misrouted responses.
 */
void mapping_release(relay_t *relay, mapping_t *mapping, bool swap);

/* Waits until an event or until a delayed chunk is due, then relays bytes. */
void relay_run_once(relay_t *relay);

#endif
