#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "tests/crowd/process.h"

/* States of /proc/net/tcp; the queue of a listening socket counts sockets. */
#define TCP_STATE_LISTEN 0x0A

static uint64_t
status_bytes(pid_t pid, const char *field)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	char *text = NULL, *at;
	uint64_t kb;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	at = strstr(text, field);
	g_assert_nonnull(at);
	kb = strtoull(at + strlen(field), NULL, 10);
	g_free(text);
	g_free(path);
	return kb * 1024;
}

static bool
has_port(const uint16_t *ports, uint32_t count, uint32_t port)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (ports[i] == port)
			return true;
	}
	return false;
}

static uint64_t
unread_bytes(const uint16_t *ports, uint32_t port_count)
{
	FILE *file = fopen("/proc/net/tcp", "r");
	unsigned int port, state, unsent, unread;
	uint64_t sum = 0;
	char line[512];

	g_assert_nonnull(file);
	while (fgets(line, sizeof(line), file) != NULL) {
		if (sscanf(line, " %*u: %*x:%x %*x:%*x %x %x:%x", &port, &state,
			&unsent, &unread) == 4 &&
		    state != TCP_STATE_LISTEN &&
		    has_port(ports, port_count, port))
			sum += unread;
	}
	(void)fclose(file);
	return sum;
}

uint64_t
process_memory_bytes(pid_t pid, const uint16_t *ports, uint32_t port_count)
{
	return status_bytes(pid, "VmRSS:") + unread_bytes(ports, port_count);
}

uint64_t
process_peak_resident_bytes(pid_t pid)
{
	return status_bytes(pid, "VmHWM:");
}

uint32_t
process_descriptor_count(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	uint32_t count = 0;

	g_assert_nonnull(dir);
	while (g_dir_read_name(dir) != NULL)
		count++;
	g_dir_close(dir);
	g_free(path);
	return count;
}

uint64_t
process_set_limit(int resource, uint64_t limit)
{
	struct rlimit limits;
	uint64_t before;

	g_assert_cmpint(getrlimit(resource, &limits), ==, 0);
	before = limits.rlim_cur;
	limits.rlim_cur = limit;
	g_assert_cmpint(setrlimit(resource, &limits), ==, 0);
	return before;
}
