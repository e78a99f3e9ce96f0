#ifndef BF_TESTS_SOAK_PROXY_H
#define BF_TESTS_SOAK_PROXY_H

#include <glib.h>

#include "net/tcp.h"

/*
 * A loopback proxy in front of one address, on the soak's loop.  A cut holds
 * bytes back, as a network does whose ends send them again after it.
 */

typedef enum soak_side {
	SOAK_DIALLER, /* bytes that the one that connected sent */
	SOAK_TARGET,
	SOAK_SIDES
} soak_side_t;

typedef struct soak_proxy {
	bf_listener_t listener;
	bf_loop_t *loop;
	struct sockaddr_in target;
	GPtrArray *pairs;
	bf_timer_t tick;
	bf_time_us_t delay_us;
	bool cut[SOAK_SIDES]; /* bytes from that side do not pass */
} soak_proxy_t;

/*
 * The loopback address of this run, in network byte order: ports of runs side
 * by side, and of connections between them, do not meet.
 */
in_addr_t soak_address(void);
const char *soak_address_text(void);

/* Listens on a port of its own. */
void soak_proxy_open(
    soak_proxy_t *proxy, bf_loop_t *loop, const struct sockaddr_in *target);
uint16_t soak_proxy_port(const soak_proxy_t *proxy);

/* Ends all open connections without an orderly end. */
void soak_proxy_reset(soak_proxy_t *proxy);

/* Connections open now pass nothing any more; new ones work. */
void soak_proxy_silence(soak_proxy_t *proxy);

void soak_proxy_heal(soak_proxy_t *proxy);

#endif
