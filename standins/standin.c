#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "base/address.h"
#include "standins/standin.h"

#define CONNECTIONS_MAX 4096
#define THREAD_STACK_BYTES ((size_t)256 * 1024)

uint32_t
standin_parse_number(const char *text, const char *what)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(
		text, 10, 0, UINT32_MAX, &value, NULL)) {
		fprintf(stderr, "%s: not a whole number: %s\n", what, text);
		exit(64);
	}
	return (uint32_t)value;
}

char *
standin_listen_address(struct MHD_Daemon *daemon, const char *address)
{
	const union MHD_DaemonInfo *info;
	size_t ip_bytes;

	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
	ip_bytes = strcspn(address, ":");
	return g_strdup_printf(
	    "%.*s:%u", (int)ip_bytes, address, (unsigned int)info->port);
}

struct MHD_Daemon *
standin_listen(const char *text, unsigned int flags,
    MHD_AccessHandlerCallback handler, MHD_RequestCompletedCallback completed,
    void *ctx)
{
	struct sockaddr_in address;
	struct MHD_Daemon *daemon;
	char *chosen;

	if (bf_address_parse(text, &address, NULL) != BF_OK) {
		fprintf(stderr, "not an IP:port: %s\n", text);
		exit(64);
	}
	daemon = MHD_start_daemon(flags, 0, NULL, NULL, handler, ctx,
	    MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
	    completed, ctx, MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned int)CONNECTIONS_MAX, MHD_OPTION_LISTENING_ADDRESS_REUSE,
	    1U, MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES,
	    MHD_OPTION_END);
	if (daemon == NULL) {
		fprintf(stderr, "cannot listen on %s\n", text);
		exit(71);
	}
	chosen = standin_listen_address(daemon, text);
	printf("listening %s\n", chosen);
	g_free(chosen);
	fflush(stdout);
	return daemon;
}

static sigset_t
stop_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	return set;
}

void
standin_block_signals(void)
{
	sigset_t set;

	set = stop_signals();
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

bool
standin_stop_requested(uint32_t wait_ms)
{
	struct timespec wait;
	sigset_t set;

	set = stop_signals();
	wait.tv_sec = wait_ms / 1000;
	wait.tv_nsec = (long)(wait_ms % 1000) * 1000000;
	return sigtimedwait(&set, NULL, &wait) > 0;
}

const char *
standin_argument(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, name);
}

bool
standin_has_argument(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value_n(connection, MHD_GET_ARGUMENT_KIND,
		   name, strlen(name), NULL, NULL) == MHD_YES;
}

bool
standin_argument_number(
    struct MHD_Connection *connection, const char *name, uint32_t *value)
{
	const char *text;
	guint64 parsed;

	text = standin_argument(connection, name);
	if (text == NULL)
		return false;
	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX, &parsed, NULL))
		return false;
	*value = (uint32_t)parsed;
	return true;
}

enum MHD_Result
standin_respond(
    struct MHD_Connection *connection, unsigned int status, const char *body)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_buffer(
	    strlen(body), (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}
