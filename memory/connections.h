#ifndef BF_MEMORY_CONNECTIONS_H
#define BF_MEMORY_CONNECTIONS_H

#include "memory/machine.h"

/*
 * How many connections of callers a process accepts, so that neither its
 * descriptors nor its memory run out.
 *
 * Descriptors: those of the machine less a reserve for what the process opens
 * itself (store, other nodes, target, its own listeners, log), which is a
 * quarter of them, and at least 64.
 *
 * Memory: three eighths of the machine's, next to the half for what the process
 * has read (memory/budget.h).  A connection takes up to BF_CONNECTION_BYTES of
 * it, most of them in the buffers of the kernel, for which each connection of a
 * caller gets BF_CONNECTION_BUFFER_BYTES in each direction.
 */

/* For SO_RCVBUF and SO_SNDBUF; the kernel takes twice as much. */
#define BF_CONNECTION_BUFFER_BYTES 8192

/*
 * Both buffers, the receive buffer of a quarter of a connection that waits to
 * be accepted, and 4 KB for the structures of the kernel.
 */
#define BF_CONNECTION_BYTES \
	(4 * BF_CONNECTION_BUFFER_BYTES + BF_CONNECTION_BUFFER_BYTES / 2 + 4096)

typedef struct bf_connection_limit {
	uint32_t connections;
	uint32_t backlog; /* connections that wait to be accepted */
} bf_connection_limit_t;

/*
 * own_bytes: what the process itself takes for a connection beyond that, if it
 * is not in a memory budget.  set_max: lowers the limit; 0: it does not.
 */
bf_connection_limit_t bf_connection_limit(
    const bf_machine_t *machine, uint64_t own_bytes, uint32_t set_max);

#endif
