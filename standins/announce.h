#ifndef BF_STANDINS_ANNOUNCE_H
#define BF_STANDINS_ANNOUNCE_H

#include <stdbool.h>
#include <stdint.h>

/* Announces a target to the node beside it. */

typedef struct announcement {
	const char *node_admin; /* "IP:port"; NULL: do not announce */
	const char *token;      /* may be NULL */
	const char *service;
	const char *version;
	const char *address; /* "IP:port", as reached by the node */
	uint32_t slots;
	int64_t incarnation; /* increases with each start of the target */
} announcement_t;

/* Sends one announcement; true if it was accepted or there is no node. */
bool announce(const announcement_t *announcement, bool draining);

#endif
