#include "proxy/connections.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "proxy/call.h"

/* A caller that reads its answer is not seen to progress: it gets this time. */
#define ANSWER_US (2 * BF_US_PER_S)
/*
 * Longer than other nodes reuse an idle connection (idle_max_us), and so than
 * most callers do.
 */
#define IDLE_US (15 * BF_US_PER_S)

void
bf_conns_init(bf_conns_t *conns, uint32_t max)
{
	*conns = (bf_conns_t){ .max = max };
	TAILQ_INIT(&conns->list);
}

void
bf_conns_notify(void *cls, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	bf_conns_t *conns = cls;
	bf_conn_t *conn = *socket_context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		conn = calloc(1, sizeof(*conn));
		if (conn == NULL)
			return;
		conn->connection = connection;
		conn->progress_us = bf_clock_monotonic_us();
		TAILQ_INSERT_TAIL(&conns->list, conn, link);
		conns->count++;
		*socket_context = conn;
	} else if (conn != NULL) {
		TAILQ_REMOVE(&conns->list, conn, link);
		conns->ended = true;
		if (!conn->closing)
			conns->count--;
		*socket_context = NULL;
		free(conn);
	}
}

bf_conn_t *
bf_conns_find(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info == NULL ? NULL : info->socket_context;
}

void
bf_conns_progress(bf_conns_t *conns, bf_conn_t *conn, bf_time_us_t now_us)
{
	if (conn == NULL)
		return;
	conn->progress_us = now_us;
	TAILQ_REMOVE(&conns->list, conn, link);
	TAILQ_INSERT_TAIL(&conns->list, conn, link);
}

bool
bf_conns_may_stream(const bf_conns_t *conns)
{
	return conns->streaming < conns->max / 2;
}

static bool
may_close(const bf_conn_t *conn, bf_time_us_t now_us)
{
	bf_time_us_t still_us = now_us - conn->progress_us;
	const bf_call_t *call = conn->call;

	if (conn->closing)
		return false;
	if (call == NULL)
		return !conn->has_served || still_us > IDLE_US;
	if (call->response_queued)
		return (call->upstream.easy == NULL || call->upstream.done) &&
		    still_us > ANSWER_US;
	return !call->begun && !call->body_complete;
}

/* Sends the refusal past libmicrohttpd, which has sent nothing yet. */
static void
send_refusal(int fd)
{
	static const char refusal[] =
	    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
	    "Basilfork-Outcome: not-run\r\nBasilfork-Reason: overloaded\r\n"
	    "Connection: close\r\nContent-Length: 0\r\n\r\n";

	(void)send(
	    fd, refusal, sizeof(refusal) - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* libmicrohttpd finds the end of the stream and frees the connection. */
static void
shut_down(bf_conns_t *conns, bf_conn_t *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    conn->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	conn->closing = true;
	conns->count--;
	conns->closed_for_others++;
	if (info == NULL)
		return;
	if (conn->call != NULL && !conn->call->response_queued)
		send_refusal(info->connect_fd);
	(void)shutdown(info->connect_fd, SHUT_RDWR);
}

void
bf_conns_make_room(bf_conns_t *conns, bf_time_us_t now_us)
{
	bf_conn_t *conn;

	conns->full = false;
	while (conns->count >= conns->max) {
		TAILQ_FOREACH(conn, &conns->list, link)
		{
			if (may_close(conn, now_us))
				break;
		}
		if (conn == NULL) {
			conns->full = true;
			return;
		}
		shut_down(conns, conn);
	}
}
