#ifndef BF_CONTROL_TRANSPORT_H
#define BF_CONTROL_TRANSPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "control/message.h"

/*
 * Sends and receives messages over ZeroMQ: one ROUTER socket for incoming
 * connections, and one DEALER socket for each outgoing connection.  Not
 * thread-safe.
 *
 * A message is sent on an outgoing connection to the instance if there is one,
 * else on the incoming connection from it, else on a new connection to its
 * address.  Linked connections (bf_transport_link) are kept open; those opened
 * on demand are limited in number and closed when idle.
 */

#define BF_TRANSPORT_LINKS_MAX 32
#define BF_TRANSPORT_ON_DEMAND_MAX 8

typedef struct bf_transport bf_transport_t;

typedef struct bf_transport_options {
	const char *instance;
	const char *address; /* "IP:port" */
	bool insecure;
	const char *mesh_public_key;
	const char *mesh_secret_key;
	const char *client_public_key; /* NULL: the mesh key pair is used */
	const char *client_secret_key;
	const char *const *allowed_keys;
	size_t allowed_key_count;
} bf_transport_options_t;

typedef struct bf_transport_counts {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t dropped; /* not sent: no connection, or its queue is full */
	uint64_t refused; /* connection attempts without an allowed key */
	uint64_t bad_headers; /* received with an invalid header or sender */
	uint64_t dials;       /* outgoing connections opened */
} bf_transport_counts_t;

/* Called for each message received with a valid header. */
typedef void (*bf_transport_receive_t)(void *ctx, bf_message_kind_t kind,
    const char *from, bf_wire_reader_t *reader);

/*
 * Listens on the address.  BF_ERR_ARGUMENT for invalid keys, BF_ERR_IO when the
 * address cannot be bound.
 */
bf_code_t bf_transport_new(const bf_transport_options_t *options,
    bf_transport_t **out, bf_error_t *err);

/* Waits up to linger_ms for queued messages to be sent. */
void bf_transport_free(bf_transport_t *transport, int linger_ms);

/* These implement the functions of bf_member_output_vtable_t. */
void bf_transport_send(bf_transport_t *transport, const char *instance,
    const char *address, const void *data, size_t data_bytes,
    bf_time_us_t now_us);
void bf_transport_link(bf_transport_t *transport, const char *const *addresses,
    size_t count, bf_time_us_t now_us);
void bf_transport_redial(bf_transport_t *transport, const char *address);

/*
 * Waits up to timeout_ms for messages or for wake_fd to become readable, and
 * calls receive for each message that arrived.
 */
void bf_transport_poll(bf_transport_t *transport, int wake_fd, long timeout_ms,
    bf_transport_receive_t receive, void *ctx);

/* Closes connections opened on demand that have been idle. */
void bf_transport_sweep(bf_transport_t *transport, bf_time_us_t now_us);

const bf_transport_counts_t *bf_transport_counts(
    const bf_transport_t *transport);

#endif
