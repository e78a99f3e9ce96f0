#include "memory/connections.h"

/* Of 4,100, more than a node takes in a mesh of 300; see docs/CAPACITY.md. */
#define RESERVE_DIVISOR 4
#define RESERVE_MIN 64
/* A process with so few descriptors still serves someone. */
#define CONNECTIONS_MIN 8
/* No machine needs more; it bounds the backlog's share and the sweep. */
#define CONNECTIONS_LIMIT 65536
/* Half is the memory budget's; an eighth is left for the process itself. */
#define MEMORY_EIGHTHS 3
/* As BF_CONNECTION_BYTES counts it. */
#define BACKLOG_DIVISOR 4
#define BACKLOG_MIN 64
#define BACKLOG_MAX 1024

static uint64_t
by_descriptors(uint64_t descriptors)
{
	uint64_t reserve = descriptors / RESERVE_DIVISOR;

	if (reserve < RESERVE_MIN)
		reserve = RESERVE_MIN;
	return descriptors > reserve ? descriptors - reserve : 0;
}

static uint64_t
clamp(uint64_t value, uint64_t min, uint64_t max)
{
	if (value < min)
		return min;
	return value < max ? value : max;
}

bf_connection_limit_t
bf_connection_limit(
    const bf_machine_t *machine, uint64_t own_bytes, uint32_t set_max)
{
	uint64_t connections = by_descriptors(machine->descriptors), affordable;

	if (machine->memory_bytes != 0) {
		affordable = machine->memory_bytes / 8 * MEMORY_EIGHTHS /
		    (BF_CONNECTION_BYTES + own_bytes);
		if (affordable < connections)
			connections = affordable;
	}
	connections = clamp(connections, CONNECTIONS_MIN, CONNECTIONS_LIMIT);
	if (set_max != 0 && set_max < connections)
		connections = set_max;
	return (bf_connection_limit_t){
		.connections = (uint32_t)connections,
		.backlog = (uint32_t)clamp(
		    connections / BACKLOG_DIVISOR, BACKLOG_MIN, BACKLOG_MAX),
	};
}
