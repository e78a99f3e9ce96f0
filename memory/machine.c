#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "memory/machine.h"

#define CGROUP_FILE "/proc/self/cgroup"
#define CGROUP_FOLDER "/sys/fs/cgroup"
#define PATH_BYTES 1024

/*
 * Growing buffers reserve up to as much address space again as they use, and a
 * limit of address space counts that too.
 */
#define ADDRESS_SPACE_DIVISOR 2
/* A process that starts at its limit still serves small requests. */
#define MEMORY_MIN_BYTES (UINT64_C(8) << 20)

uint64_t
bf_machine_address_space(uint64_t limit_bytes, uint64_t used_bytes)
{
	if (limit_bytes == UINT64_MAX)
		return UINT64_MAX;
	if (limit_bytes <= used_bytes)
		return 0;
	return (limit_bytes - used_bytes) / ADDRESS_SPACE_DIVISOR;
}

/* Reads a decimal number from a file; "max" and no such file: no limit. */
static uint64_t
read_limit(const char *path)
{
	FILE *file = fopen(path, "re");
	char text[64] = "", *end;
	uint64_t value;

	if (file == NULL)
		return UINT64_MAX;
	if (fgets(text, sizeof(text), file) == NULL)
		text[0] = '\0';
	(void)fclose(file);
	value = strtoull(text, &end, 10);
	return end == text ? UINT64_MAX : value;
}

/* The lowest limit of the group at path and of all that contain it. */
static uint64_t
lowest_in_hierarchy(const char *folder, const char *path, const char *name)
{
	uint64_t lowest = UINT64_MAX, limit;
	char group[PATH_BYTES], at[PATH_BYTES * 2];
	char *slash;

	(void)snprintf(group, sizeof(group), "%s", path);
	for (;;) {
		(void)snprintf(at, sizeof(at), "%s%s/%s", folder, group, name);
		limit = read_limit(at);
		lowest = limit < lowest ? limit : lowest;
		slash = strrchr(group, '/');
		if (slash == NULL)
			return lowest;
		*slash = '\0';
	}
}

/* A line is "ID:CONTROLLERS:PATH"; version 2 has no controllers. */
static uint64_t
read_group(const char *folder, const char *line)
{
	const char *controllers = strchr(line, ':'), *path;
	char version_1[PATH_BYTES];

	path = controllers != NULL ? strchr(controllers + 1, ':') : NULL;
	if (path == NULL)
		return UINT64_MAX;
	if (path == controllers + 1)
		return lowest_in_hierarchy(folder, path + 1, "memory.max");
	if (strncmp(controllers, ":memory:", 8) != 0)
		return UINT64_MAX;
	(void)snprintf(version_1, sizeof(version_1), "%s/memory", folder);
	return lowest_in_hierarchy(
	    version_1, path + 1, "memory.limit_in_bytes");
}

uint64_t
bf_machine_cgroup_memory(const char *file, const char *folder)
{
	uint64_t lowest = UINT64_MAX, limit;
	FILE *lines = fopen(file, "re");
	char line[PATH_BYTES];

	if (lines == NULL)
		return UINT64_MAX;
	while (fgets(line, sizeof(line), lines) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		limit = read_group(folder, line);
		lowest = limit < lowest ? limit : lowest;
	}
	(void)fclose(lines);
	return lowest;
}

static uint64_t
read_rlimit(int resource)
{
	struct rlimit limits;

	if (getrlimit(resource, &limits) != 0 ||
	    limits.rlim_cur == RLIM_INFINITY)
		return UINT64_MAX;
	return limits.rlim_cur;
}

/* Pages of address space, and of data, that the process has now. */
static void
read_used_pages(uint64_t *all, uint64_t *data)
{
	FILE *file = fopen("/proc/self/statm", "re");
	char text[256] = "", *at = text;
	int i;

	*all = 0;
	*data = 0;
	if (file == NULL)
		return;
	if (fgets(text, sizeof(text), file) == NULL)
		text[0] = '\0';
	(void)fclose(file);
	/* size resident shared text lib data dt; see proc(5). */
	*all = strtoull(at, &at, 10);
	for (i = 0; i < 5; i++)
		*data = strtoull(at, &at, 10);
}

static uint64_t
least(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t
read_memory(void)
{
	long pages = sysconf(_SC_PHYS_PAGES),
	     page_bytes = sysconf(_SC_PAGESIZE);
	uint64_t all_pages, data_pages, bytes = UINT64_MAX;

	if (page_bytes <= 0)
		return 0;
	read_used_pages(&all_pages, &data_pages);
	if (pages > 0)
		bytes = (uint64_t)pages * (uint64_t)page_bytes;
	bytes = least(bytes,
	    bf_machine_address_space(
		read_rlimit(RLIMIT_AS), all_pages * (uint64_t)page_bytes));
	bytes = least(bytes,
	    bf_machine_address_space(
		read_rlimit(RLIMIT_DATA), data_pages * (uint64_t)page_bytes));
	bytes =
	    least(bytes, bf_machine_cgroup_memory(CGROUP_FILE, CGROUP_FOLDER));
	if (bytes == UINT64_MAX)
		return 0;
	return bytes > MEMORY_MIN_BYTES ? bytes : MEMORY_MIN_BYTES;
}

void
bf_machine_read(
    bf_machine_t *machine, uint32_t memory_mb, uint32_t descriptors_max)
{
	machine->memory_bytes =
	    memory_mb != 0 ? (uint64_t)memory_mb << 20 : read_memory();
	machine->descriptors = read_rlimit(RLIMIT_NOFILE);
	if (descriptors_max != 0)
		machine->descriptors =
		    least(machine->descriptors, descriptors_max);
}
