#ifndef BF_TESTS_SOAK_PROXY_H
#define BF_TESTS_SOAK_PROXY_H

#include <glib.h>

#include "net/tcp.h"

/*
 * A loopback TCP proxy in front of one address that injects network faults;
 * it runs on the event loop of the test.  A cut holds data back and discards
 * nothing, as a network outage does after which both ends retransmit.
 */

typedef enum soak_side {
	SOAK_SIDE_CLIENT, /* the end that opened the connection */
	SOAK_SIDE_SERVER,
	SOAK_SIDE_COUNT
} soak_side_t;

typedef struct soak_proxy {
	bf_listener_t listener;
	bf_loop_t *loop;
	struct sockaddr_in upstream;
	GPtrArray *pairs; /* open client and upstream connections */
	bf_timer_t tick;
	bf_time_us_t delay_us;
	bool cut[SOAK_SIDE_COUNT]; /* data sent by that side is held */
	/*
	 * Rate of the link that all connections share, in each direction; 0:
	 * not limited.  Set before connections open, as their buffers are
	 * small then.
	 */
	uint64_t bytes_per_s;
	bf_time_us_t forwarded_at_us;
	uint64_t credit_bytes[SOAK_SIDE_COUNT]; /* that may be sent now */
	guint next_pair;                        /* that is served first */
} soak_proxy_t;

/*
 * The loopback address of this run, in network byte order.  It differs between
 * concurrent runs, so that their ports do not collide.
 */
in_addr_t soak_address(void);
const char *soak_address_text(void);

/* Listens on an ephemeral port of soak_address(). */
void soak_proxy_open(
    soak_proxy_t *proxy, bf_loop_t *loop, const struct sockaddr_in *upstream);
uint16_t soak_proxy_port(const soak_proxy_t *proxy);

/* Stops listening, closes all connections and frees the lists. */
void soak_proxy_close(soak_proxy_t *proxy);

/* Closes all open connections with a TCP reset. */
void soak_proxy_reset(soak_proxy_t *proxy);

/* Stops forwarding on the connections open now; new ones work. */
void soak_proxy_silence(soak_proxy_t *proxy);

/* Ends the delay and the cuts; silent connections stay silent. */
void soak_proxy_heal(soak_proxy_t *proxy);

#endif
