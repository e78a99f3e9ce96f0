#ifndef BF_TESTS_CROWD_NODES_H
#define BF_TESTS_CROWD_NODES_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "tests/soak/store.h"
#include "tests/soak/target.h"

/*
 * Processes of basilmeshd with low limits, a store, and a target beside the
 * first of them.
 */

#define NODES_HOST "bodies.test"
#define NODES_MAX 2

typedef struct nodes_options {
	uint32_t node_count;
	uint32_t memory_mb;       /* 0: not set */
	uint32_t connections_max; /* 0: not set */
	size_t body_bytes_max;
} nodes_options_t;

typedef struct node {
	GPid pid;
	struct sockaddr_in callers;
	uint16_t ports[4]; /* where the process listens */
} node_t;

typedef struct nodes {
	nodes_options_t options;
	node_t node[NODES_MAX];
	char *folder;
	GThread *platform; /* runs the store and the target */
	bf_loop_t *loop;   /* of the platform */
	bf_timer_t tick;
	soak_store_t store;
	soak_target_t target;
	/* Set by the test, carried out by the platform's thread; atomic. */
	gint stopping;
	gint store_mode;
	gint config_version; /* to write */
	gint written_version;
} nodes_t;

/* Starts them and waits until each answers a request. */
nodes_t *nodes_start(const nodes_options_t *options);

/* Ends what is still running. */
void nodes_stop(nodes_t *nodes);

/* Sends SIGTERM, and waits for the end; fails unless it is orderly. */
void nodes_terminate(nodes_t *nodes, uint32_t number);

/* Writes a configuration that adds a route below "/v<version>/". */
void nodes_write_config(nodes_t *nodes, uint32_t version);

void nodes_set_store_mode(nodes_t *nodes, soak_store_mode_t mode);

void nodes_expect_alive(nodes_t *nodes);
uint64_t nodes_memory_bytes(const nodes_t *nodes, uint32_t number);

#endif
