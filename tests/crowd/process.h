#ifndef BF_TESTS_CROWD_PROCESS_H
#define BF_TESTS_CROWD_PROCESS_H

#include <stdint.h>
#include <sys/types.h>

#include <glib.h>

/* What a process takes of its machine, read from /proc. */

/*
 * Resident bytes, and the bytes that wait unread in sockets at the given local
 * ports: those of open connections and of connections not accepted yet.
 */
uint64_t process_memory_bytes(
    pid_t pid, const uint16_t *ports, uint32_t port_count);

uint64_t process_peak_resident_bytes(pid_t pid);
uint32_t process_descriptor_count(pid_t pid);

/*
 * Sets the soft limit of a resource for the test itself, which the processes
 * started from now on inherit; returns the limit before.
 */
uint64_t process_set_limit(int resource, uint64_t limit);

#endif
