#ifndef BF_MEMORY_MACHINE_H
#define BF_MEMORY_MACHINE_H

#include <stdint.h>

/* What a process may use of its machine. */
typedef struct bf_machine {
	uint64_t memory_bytes; /* 0: not known */
	uint64_t descriptors;
} bf_machine_t;

/*
 * Memory: memory_mb, or without it (0) the least of the physical memory, the
 * limits of the process (RLIMIT_AS, RLIMIT_DATA) and those of its control
 * group.  Descriptors: the lower of descriptors_max (0: none) and
 * RLIMIT_NOFILE.
 */
void bf_machine_read(
    bf_machine_t *machine, uint32_t memory_mb, uint32_t descriptors_max);

/*
 * Memory that remains under a limit of address space of which used_bytes are
 * taken; UINT64_MAX without a limit.
 */
uint64_t bf_machine_address_space(uint64_t limit_bytes, uint64_t used_bytes);

/*
 * The lowest limit on memory of the control groups that the file (as
 * /proc/self/cgroup) lists, and of those around them, below the folder (as
 * /sys/fs/cgroup); UINT64_MAX without a limit.
 */
uint64_t bf_machine_cgroup_memory(const char *file, const char *folder);

#endif
