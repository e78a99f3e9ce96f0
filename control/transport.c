#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <zmq.h>

#include "control/transport.h"
#include "control/zap.h"
#include "member/record.h"

#define CONNECTIONS_MAX (BF_TRANSPORT_LINKS_MAX + BF_TRANSPORT_ON_DEMAND_MAX)
#define FIXED_POLL_ITEMS 3
#define ENDPOINT_BYTES (BF_ADDRESS_BYTES + 8)
#define KEY_TEXT_CHARS 40

#define QUEUE_MESSAGES_MAX 256
#define BACKLOG 256
#define HANDSHAKE_TIMEOUT_MS 5000
#define CONNECT_TIMEOUT_MS 3000
#define RECONNECT_INTERVAL_MS 200
#define RECONNECT_INTERVAL_MAX_MS 5000
#define PROBE_INTERVAL_MS 30000
#define PROBE_TIMEOUT_MS 10000
#define MESSAGE_BYTES_MAX INT64_C(6291456)
#define MESSAGES_PER_POLL 256
#define IDLE_TIMEOUT_US (3 * BF_US_PER_S)

/* An outgoing connection. */
typedef struct connection {
	void *socket; /* NULL: unused slot */
	char address[BF_ADDRESS_BYTES];
	char instance[BF_NAME_BYTES]; /* "": no message received yet */
	bool linked;                  /* not closed when idle */
	bf_time_us_t last_used_us;
} connection_t;

struct bf_transport {
	void *context;
	void *router;
	bf_zap_t *zap; /* NULL: insecure */
	char instance[BF_NAME_BYTES];
	char server_key[KEY_TEXT_CHARS + 1];
	char client_public[KEY_TEXT_CHARS + 1];
	char client_secret[KEY_TEXT_CHARS + 1];
	connection_t connections[CONNECTIONS_MAX];
	bf_transport_counts_t counts;
};

static void
set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_common_options(void *socket)
{
	int64_t bytes_max = MESSAGE_BYTES_MAX;

	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, QUEUE_MESSAGES_MAX);
	set_int(socket, ZMQ_RCVHWM, QUEUE_MESSAGES_MAX);
	set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &bytes_max, sizeof(bytes_max));
}

static bool
is_valid_key(const char *key)
{
	uint8_t raw[32];

	return key != NULL && strlen(key) == KEY_TEXT_CHARS &&
	    zmq_z85_decode(raw, key) != NULL;
}

static bf_code_t
open_zap(bf_transport_t *transport, const bf_transport_options_t *options,
    bf_error_t *err)
{
	const char **keys;
	bf_code_t code;
	size_t i;

	keys = calloc(options->allowed_key_count + 1, sizeof(*keys));
	if (keys == NULL)
		return bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	keys[0] = options->mesh_public_key;
	for (i = 0; i < options->allowed_key_count; i++)
		keys[i + 1] = options->allowed_keys[i];
	code = bf_zap_new(transport->context, keys,
	    options->allowed_key_count + 1, &transport->zap, err);
	free(keys);
	return code;
}

static bf_code_t
set_curve_keys(bf_transport_t *transport, const bf_transport_options_t *options,
    bf_error_t *err)
{
	const char *public_key;
	const char *secret_key;
	bf_code_t code;

	public_key = options->client_public_key;
	secret_key = options->client_secret_key;
	if (public_key == NULL && secret_key == NULL) {
		public_key = options->mesh_public_key;
		secret_key = options->mesh_secret_key;
	}
	if (!is_valid_key(options->mesh_public_key) ||
	    !is_valid_key(options->mesh_secret_key) ||
	    !is_valid_key(public_key) || !is_valid_key(secret_key))
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "a CURVE key is missing or is not 40 characters of Z85");
	memcpy(transport->server_key, options->mesh_public_key, KEY_TEXT_CHARS);
	memcpy(transport->client_public, public_key, KEY_TEXT_CHARS);
	memcpy(transport->client_secret, secret_key, KEY_TEXT_CHARS);
	code = open_zap(transport, options, err);
	if (code != BF_OK)
		return code;
	set_int(transport->router, ZMQ_CURVE_SERVER, 1);
	zmq_setsockopt(transport->router, ZMQ_CURVE_SECRETKEY,
	    options->mesh_secret_key, KEY_TEXT_CHARS + 1);
	zmq_setsockopt(transport->router, ZMQ_ZAP_DOMAIN, "control", 7);
	return BF_OK;
}

static bf_code_t
open_listener(bf_transport_t *transport, const bf_transport_options_t *options,
    bf_error_t *err)
{
	char endpoint[ENDPOINT_BYTES];
	bf_code_t code;

	set_common_options(transport->router);
	set_int(transport->router, ZMQ_ROUTER_MANDATORY, 1);
	set_int(transport->router, ZMQ_ROUTER_HANDOVER, 1);
	set_int(transport->router, ZMQ_BACKLOG, BACKLOG);
	set_int(transport->router, ZMQ_HEARTBEAT_IVL, PROBE_INTERVAL_MS);
	set_int(transport->router, ZMQ_HEARTBEAT_TIMEOUT, PROBE_TIMEOUT_MS);
	if (!options->insecure) {
		code = set_curve_keys(transport, options, err);
		if (code != BF_OK)
			return code;
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", options->address);
	if (zmq_bind(transport->router, endpoint) != 0)
		return bf_error_set(err, BF_ERR_IO, "cannot listen on %s: %s",
		    options->address, zmq_strerror(errno));
	return BF_OK;
}

bf_code_t
bf_transport_new(const bf_transport_options_t *options, bf_transport_t **out,
    bf_error_t *err)
{
	bf_transport_t *transport;
	bf_code_t code;

	transport = calloc(1, sizeof(*transport));
	if (transport == NULL)
		return bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	memcpy(transport->instance, options->instance,
	    strnlen(options->instance, BF_NAME_BYTES - 1));
	transport->context = zmq_ctx_new();
	zmq_ctx_set(transport->context, ZMQ_IO_THREADS, 1);
	zmq_ctx_set(transport->context, ZMQ_MAX_SOCKETS, CONNECTIONS_MAX + 8);
	transport->router = zmq_socket(transport->context, ZMQ_ROUTER);
	if (transport->router == NULL) {
		code = bf_error_set(err, BF_ERR_IO,
		    "cannot open a ZeroMQ socket: %s", zmq_strerror(errno));
	} else {
		code = open_listener(transport, options, err);
	}
	if (code != BF_OK) {
		bf_transport_free(transport, 0);
		return code;
	}
	*out = transport;
	return BF_OK;
}

static void
close_connection(connection_t *connection, int linger_ms)
{
	set_int(connection->socket, ZMQ_LINGER, linger_ms);
	zmq_close(connection->socket);
	memset(connection, 0, sizeof(*connection));
}

void
bf_transport_free(bf_transport_t *transport, int linger_ms)
{
	size_t i;

	if (transport == NULL)
		return;
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (transport->connections[i].socket != NULL)
			close_connection(&transport->connections[i], linger_ms);
	}
	if (transport->router != NULL) {
		set_int(transport->router, ZMQ_LINGER, linger_ms);
		zmq_close(transport->router);
	}
	bf_zap_free(transport->zap);
	zmq_ctx_term(transport->context);
	free(transport);
}

static connection_t *
find_by_address(bf_transport_t *transport, const char *address)
{
	size_t i;

	if (address[0] == '\0')
		return NULL;
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (transport->connections[i].socket != NULL &&
		    strcmp(transport->connections[i].address, address) == 0)
			return &transport->connections[i];
	}
	return NULL;
}

static connection_t *
find_by_instance(bf_transport_t *transport, const char *instance)
{
	size_t i;

	if (instance[0] == '\0')
		return NULL;
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (transport->connections[i].socket != NULL &&
		    strcmp(transport->connections[i].instance, instance) == 0)
			return &transport->connections[i];
	}
	return NULL;
}

static bool
open_connection(
    bf_transport_t *transport, connection_t *connection, const char *address)
{
	char endpoint[ENDPOINT_BYTES];
	void *socket;

	socket = zmq_socket(transport->context, ZMQ_DEALER);
	if (socket == NULL)
		return false;
	set_common_options(socket);
	set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_INTERVAL_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS);
	zmq_setsockopt(socket, ZMQ_ROUTING_ID, transport->instance,
	    strlen(transport->instance));
	if (transport->zap != NULL) {
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY,
		    transport->server_key, KEY_TEXT_CHARS + 1);
		zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY,
		    transport->client_public, KEY_TEXT_CHARS + 1);
		zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY,
		    transport->client_secret, KEY_TEXT_CHARS + 1);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_connect(socket, endpoint) != 0) {
		zmq_close(socket);
		return false;
	}
	memset(connection, 0, sizeof(*connection));
	connection->socket = socket;
	memcpy(connection->address, address,
	    strnlen(address, BF_ADDRESS_BYTES - 1));
	transport->counts.dials++;
	return true;
}

/*
 * Returns an unused slot, or NULL.  When all slots or all those for connections
 * on demand are in use, closes the one on demand that was least recently used.
 */
static connection_t *
allocate_connection(bf_transport_t *transport)
{
	connection_t *least_recent;
	connection_t *unused;
	connection_t *connection;
	size_t on_demand;
	size_t i;

	least_recent = NULL;
	unused = NULL;
	on_demand = 0;
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		connection = &transport->connections[i];
		if (connection->socket == NULL) {
			unused = connection;
			continue;
		}
		if (connection->linked)
			continue;
		on_demand++;
		if (least_recent == NULL ||
		    connection->last_used_us < least_recent->last_used_us)
			least_recent = connection;
	}
	if (least_recent != NULL &&
	    (unused == NULL || on_demand >= BF_TRANSPORT_ON_DEMAND_MAX)) {
		close_connection(least_recent, 0);
		return least_recent;
	}
	return unused;
}

static connection_t *
connect_address(bf_transport_t *transport, const char *address)
{
	connection_t *connection;

	connection = find_by_address(transport, address);
	if (connection != NULL)
		return connection;
	connection = allocate_connection(transport);
	if (connection == NULL ||
	    !open_connection(transport, connection, address))
		return NULL;
	return connection;
}

static bool
send_routed(bf_transport_t *transport, const char *instance, const void *data,
    size_t data_bytes)
{
	if (instance[0] == '\0' ||
	    zmq_send(transport->router, instance, strlen(instance),
		ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return false;
	return zmq_send(transport->router, data, data_bytes, ZMQ_DONTWAIT) >= 0;
}

static bool
send_on_connection(connection_t *connection, const void *data,
    size_t data_bytes, bf_time_us_t now_us)
{
	connection->last_used_us = now_us;
	return zmq_send(connection->socket, data, data_bytes, ZMQ_DONTWAIT) >=
	    0;
}

void
bf_transport_send(bf_transport_t *transport, const char *instance,
    const char *address, const void *data, size_t data_bytes,
    bf_time_us_t now_us)
{
	connection_t *connection;
	bool sent;

	connection = find_by_address(transport, address);
	if (connection == NULL)
		connection = find_by_instance(transport, instance);
	if (connection != NULL) {
		sent = send_on_connection(connection, data, data_bytes, now_us);
	} else {
		sent = send_routed(transport, instance, data, data_bytes);
		if (!sent && address[0] != '\0') {
			connection = connect_address(transport, address);
			sent = connection != NULL &&
			    send_on_connection(
				connection, data, data_bytes, now_us);
		}
	}
	if (!sent) {
		transport->counts.dropped++;
		return;
	}
	transport->counts.sent++;
	transport->counts.sent_bytes += data_bytes;
}

void
bf_transport_link(bf_transport_t *transport, const char *const *addresses,
    size_t count, bf_time_us_t now_us)
{
	connection_t *connection;
	size_t i;

	for (i = 0; i < CONNECTIONS_MAX; i++) {
		connection = &transport->connections[i];
		/*
		 * Not closed here, as messages may still be queued: the sweep
		 * closes it once it has been idle.
		 */
		if (connection->socket != NULL && connection->linked) {
			connection->linked = false;
			connection->last_used_us = now_us;
		}
	}
	for (i = 0; i < count && i < BF_TRANSPORT_LINKS_MAX; i++) {
		connection = connect_address(transport, addresses[i]);
		if (connection != NULL)
			connection->linked = true;
	}
}

void
bf_transport_redial(bf_transport_t *transport, const char *address)
{
	connection_t *connection;
	bool linked;

	connection = find_by_address(transport, address);
	if (connection == NULL)
		return;
	linked = connection->linked;
	close_connection(connection, 0);
	if (open_connection(transport, connection, address))
		connection->linked = linked;
}

void
bf_transport_sweep(bf_transport_t *transport, bf_time_us_t now_us)
{
	connection_t *connection;
	size_t i;

	for (i = 0; i < CONNECTIONS_MAX; i++) {
		connection = &transport->connections[i];
		if (connection->socket != NULL && !connection->linked &&
		    now_us - connection->last_used_us > IDLE_TIMEOUT_US)
			close_connection(connection, 0);
	}
}

/*
 * Discards the further parts of a multi-part message.  Messages have one part;
 * a further one must not be read as the next message.
 */
static void
discard_parts(void *socket, zmq_msg_t *message)
{
	while (zmq_msg_more(message)) {
		if (zmq_msg_recv(message, socket, ZMQ_DONTWAIT) < 0)
			return;
	}
}

/*
 * Reads one message, from the ROUTER socket if connection is NULL; false when
 * none is queued.  On the ROUTER socket the sender in the header must be the
 * peer's routing id; else the message is counted as one with a bad header.
 */
static bool
read_message(bf_transport_t *transport, void *socket, connection_t *connection,
    bf_transport_receive_t receive, void *ctx)
{
	char sender[BF_NAME_BYTES];
	char route[BF_NAME_BYTES];
	bf_message_kind_t kind;
	bf_wire_reader_t reader;
	zmq_msg_t message;
	int route_bytes;

	route_bytes = 0;
	if (connection == NULL) {
		route_bytes =
		    zmq_recv(socket, route, sizeof(route), ZMQ_DONTWAIT);
		if (route_bytes < 0)
			return false;
	}
	zmq_msg_init(&message);
	if (zmq_msg_recv(&message, socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&message);
		return false;
	}
	transport->counts.received++;
	transport->counts.received_bytes += zmq_msg_size(&message);
	bf_wire_reader_init(
	    &reader, zmq_msg_data(&message), zmq_msg_size(&message));
	if (bf_wire_read_header(&reader, &kind, sender) != BF_OK ||
	    zmq_msg_more(&message) ||
	    (connection == NULL &&
		((size_t)route_bytes != strlen(sender) ||
		    memcmp(route, sender, (size_t)route_bytes) != 0))) {
		transport->counts.bad_headers++;
	} else {
		if (connection != NULL)
			memcpy(connection->instance, sender, sizeof(sender));
		receive(ctx, kind, sender, &reader);
	}
	discard_parts(socket, &message);
	zmq_msg_close(&message);
	return true;
}

/*
 * Reads a connection's messages.  The socket is compared each time, as the
 * handling of a message may close the connection or reuse its slot.
 */
static void
read_connection(bf_transport_t *transport, size_t i, void *socket,
    bf_transport_receive_t receive, void *ctx)
{
	int n;

	for (n = 0; n < MESSAGES_PER_POLL; n++) {
		if (transport->connections[i].socket != socket ||
		    !read_message(transport, socket, &transport->connections[i],
			receive, ctx))
			return;
	}
}

void
bf_transport_poll(bf_transport_t *transport, int wake_fd, long timeout_ms,
    bf_transport_receive_t receive, void *ctx)
{
	zmq_pollitem_t items[FIXED_POLL_ITEMS + CONNECTIONS_MAX] = { 0 };
	size_t connection_index[FIXED_POLL_ITEMS + CONNECTIONS_MAX];
	int count;
	size_t i;
	int n;

	items[0].socket = transport->router;
	items[1].fd = wake_fd;
	count = 2;
	if (transport->zap != NULL)
		items[count++].socket = bf_zap_socket(transport->zap);
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (transport->connections[i].socket == NULL)
			continue;
		connection_index[count] = i;
		items[count++].socket = transport->connections[i].socket;
	}
	for (n = 0; n < count; n++)
		items[n].events = ZMQ_POLLIN;
	if (zmq_poll(items, count, timeout_ms) <= 0)
		return;
	if (transport->zap != NULL)
		transport->counts.refused += bf_zap_answer(transport->zap);
	for (n = 0;
	     (items[0].revents & ZMQ_POLLIN) != 0 && n < MESSAGES_PER_POLL &&
	     read_message(transport, transport->router, NULL, receive, ctx);
	     n++)
		;
	for (n = transport->zap != NULL ? FIXED_POLL_ITEMS
					: FIXED_POLL_ITEMS - 1;
	     n < count; n++) {
		if ((items[n].revents & ZMQ_POLLIN) != 0)
			read_connection(transport, connection_index[n],
			    items[n].socket, receive, ctx);
	}
}

const bf_transport_counts_t *
bf_transport_counts(const bf_transport_t *transport)
{
	return &transport->counts;
}
