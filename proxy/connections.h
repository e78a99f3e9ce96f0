#ifndef BF_PROXY_CONNECTIONS_H
#define BF_PROXY_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <microhttpd.h>

#include "base/clock.h"

/*
 * The connections that one HTTP server of a worker has accepted.  At the limit
 * the one that has stood still for longest is closed, so that a crowd that
 * sends no complete request does not keep others out.
 */

typedef struct bf_conn bf_conn_t;
typedef struct bf_conns bf_conns_t;
struct bf_call;

struct bf_conn {
	TAILQ_ENTRY(bf_conn) link;
	struct MHD_Connection *connection;
	struct bf_call *call; /* in progress; NULL: none */
	bf_time_us_t progress_us;
	bool has_served; /* at least one call has ended */
	bool closing;    /* it was shut down */
};

struct bf_conns {
	TAILQ_HEAD(bf_conn_list, bf_conn) list; /* longest still first */
	uint32_t max;
	uint32_t count; /* those that are closing are not counted */
	bool full;      /* none can be closed for a new one */
	/*
	 * Calls that were passed on before their body was complete.  These
	 * cannot be closed for others, so they get half of the connections.
	 */
	uint32_t streaming;
	uint64_t closed_for_others;
	/*
	 * A connection has ended.  libmicrohttpd listens again only when it is
	 * run once more.
	 */
	bool ended;
};

/*
 * Connections that are accepted beyond the limit, while others are closed for
 * them.
 */
#define BF_CONNS_SPARE 4

/*
 * Shares of the connections that a process can have: each call takes one from
 * its sender and one to the next hop, and the entry hop has twice as many as
 * the target hop.
 */
#define BF_CONNS_ENTRY_DIVISOR 3
#define BF_CONNS_TARGET_DIVISOR 6

void bf_conns_init(bf_conns_t *conns, uint32_t max);

/* For MHD_OPTION_NOTIFY_CONNECTION; cls is a bf_conns_t. */
void bf_conns_notify(void *cls, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code);

/* The entry of a connection; NULL when there was no memory for it. */
bf_conn_t *bf_conns_find(struct MHD_Connection *connection);

/* The connection has sent or received something. */
void bf_conns_progress(bf_conns_t *conns, bf_conn_t *conn, bf_time_us_t now_us);

bool bf_conns_may_stream(const bf_conns_t *conns);

/*
 * Shuts connections down until one more can be accepted, or none is left that
 * may be.  What was read on them was not passed on; a request that was begun is
 * refused.
 */
void bf_conns_make_room(bf_conns_t *conns, bf_time_us_t now_us);

#endif
