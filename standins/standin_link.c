/*
 * Stand-in for the network: relays TCP connections between addresses and can
 * cut, delay, freeze or hold them on request.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include <glib.h>

#include "base/address.h"
#include "standins/link.h"
#include "standins/standin.h"

static bool
set_cut(relay_t *relay, mapping_t *mapping, const char *value)
{
	if (strcmp(value, "on") == 0)
		mapping_cut(relay, mapping);
	else if (strcmp(value, "silent") == 0)
		mapping->paused = true;
	else if (strcmp(value, "off") == 0) {
		mapping->paused = false;
		if (mapping->fd < 0)
			mapping_listen(relay, mapping);
	} else
		return false;
	return true;
}

static bool
set_hold(relay_t *relay, mapping_t *mapping, const char *value)
{
	if (strcmp(value, "on") == 0)
		mapping->responses_held = true;
	else if (strcmp(value, "off") == 0)
		mapping_release(relay, mapping, false);
	else if (strcmp(value, "swap") == 0)
		mapping_release(relay, mapping, true);
	else
		return false;
	return true;
}

static bool
set_mapping_faults(
    relay_t *relay, mapping_t *mapping, struct MHD_Connection *connection)
{
	const char *value;
	bool valid;

	valid = true;
	standin_argument_number(connection, "delay_ms", &mapping->delay_ms);
	value = standin_argument(connection, "silent");
	if (value != NULL && strcmp(value, "on") == 0)
		mapping_freeze(mapping);
	value = standin_argument(connection, "cut");
	if (value != NULL)
		valid = set_cut(relay, mapping, value);
	value = standin_argument(connection, "hold");
	if (value != NULL)
		valid = set_hold(relay, mapping, value) && valid;
	return valid;
}

static enum MHD_Result
set_faults(relay_t *relay, struct MHD_Connection *connection)
{
	const char *selector;
	uint32_t number;
	bool valid;
	guint i;

	selector = standin_argument(connection, "map");
	number = G_MAXUINT32;
	if (g_strcmp0(selector, "all") != 0 &&
	    (!standin_argument_number(connection, "map", &number) ||
		number >= relay->mappings->len))
		return standin_respond(
		    connection, MHD_HTTP_BAD_REQUEST, "no such map\n");
	valid = true;
	for (i = 0; i < relay->mappings->len; i++) {
		if (number == G_MAXUINT32 || number == i)
			valid &= set_mapping_faults(
			    relay, relay->mappings->pdata[i], connection);
	}
	return standin_respond(connection,
	    valid ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
	    valid ? "ok\n" : "unknown fault or invalid value\n");
}

/* One line per mapping: number, connections, bytes read and bytes queued. */
static enum MHD_Result
respond_state(relay_t *relay, struct MHD_Connection *connection)
{
	const connection_t *relayed;
	enum MHD_Result result;
	const mapping_t *mapping;
	GString *text;
	size_t held;
	guint i, m;

	text = g_string_new(NULL);
	for (m = 0; m < relay->mappings->len; m++) {
		mapping = relay->mappings->pdata[m];
		held = 0;
		for (i = 0; i < mapping->connections->len; i++) {
			relayed = mapping->connections->pdata[i];
			held += relayed->sides[TARGET].queued_bytes;
		}
		g_string_append_printf(text,
		    "map %u open %u accepted %" PRIu64 " to_target %" PRIu64
		    " to_caller %" PRIu64 " held %zu\n",
		    m, mapping->connections->len, mapping->accepted,
		    mapping->bytes[CALLER], mapping->bytes[TARGET], held);
	}
	result = standin_respond(connection, MHD_HTTP_OK, text->str);
	g_string_free(text, TRUE);
	return result;
}

static enum MHD_Result
handle(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *http_version, const char *data,
    size_t *data_bytes, void **state)
{
	(void)http_version;
	(void)data;
	if (*state == NULL) {
		*state = cls;
		return MHD_YES;
	}
	*data_bytes = 0;
	if (strcmp(url, "/standin/link") != 0)
		return standin_respond(connection, MHD_HTTP_NOT_FOUND, "");
	if (strcmp(method, "PUT") == 0)
		return set_faults(cls, connection);
	return respond_state(cls, connection);
}

static void
add_mapping(relay_t *relay, const char *text, struct argp_state *state)
{
	g_auto(GStrv) pair = g_strsplit(text, "=", 2);
	struct sockaddr_in listen_on, target;

	if (pair[0] == NULL || pair[1] == NULL ||
	    bf_address_parse(pair[0], &listen_on, NULL) != BF_OK ||
	    bf_address_parse(pair[1], &target, NULL) != BF_OK)
		argp_error(state, "not LISTEN=TARGET: %s", text);
	relay_add_mapping(relay, &listen_on, &target);
}

typedef struct options {
	const char *control;
	relay_t *relay;
} options_t;

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	options_t *options;

	options = state->input;
	switch (key) {
	case 'c':
		options->control = value;
		return 0;
	case 'm':
		add_mapping(options->relay, value, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static struct MHD_Daemon *
open_listeners(relay_t *relay, const char *address)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = relay };
	struct MHD_Daemon *control;
	char ip[INET_ADDRSTRLEN];
	mapping_t *mapping;
	guint i;

	for (i = 0; i < relay->mappings->len; i++) {
		mapping = relay->mappings->pdata[i];
		mapping_listen(relay, mapping);
		inet_ntop(AF_INET, &mapping->listen.sin_addr, ip, sizeof(ip));
		printf("map %u %s:%u\n", i, ip,
		    (unsigned int)ntohs(mapping->listen.sin_port));
	}
	control = standin_listen(address, MHD_USE_EPOLL, handle, NULL, relay);
	if (epoll_ctl(relay->epoll_fd, EPOLL_CTL_ADD,
		MHD_get_daemon_info(control, MHD_DAEMON_INFO_EPOLL_FD)
		    ->epoll_fd,
		&event) != 0) {
		perror("epoll_ctl");
		exit(71);
	}
	return control;
}

int
main(int argc, char **argv)
{
	static const struct argp_option argp_options[] = {
		{ "map", 'm', "LISTEN=TARGET", 0, "both IP:port; repeatable",
		    0 },
		{ "control", 'c', "IP:PORT", 0, "port 0: choose one", 0 }, { 0 }
	};
	static const struct argp argp = { .options = argp_options,
		.parser = parse_option,
		.doc = "A stand-in for the network between processes." };
	options_t options = { .control = "127.0.0.1:0" };
	struct MHD_Daemon *control;
	relay_t relay;

	relay_init(&relay);
	options.relay = &relay;
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	control = open_listeners(&relay, options.control);
	for (;;) {
		relay_run_once(&relay);
		MHD_run(control);
	}
}
