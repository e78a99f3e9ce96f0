#include <glib.h>
#include <glib/gstdio.h>

#include "memory/connections.h"
#include "memory/machine.h"

#define MB (UINT64_C(1) << 20)

typedef struct limit_case {
	const char *name;
	bf_machine_t machine;
	uint64_t own_bytes;
	uint32_t set_max;
	uint32_t connections;
	uint32_t backlog;
} limit_case_t;

static const limit_case_t limit_cases[] = {
	{ "memory", { 160 * MB, 4100 }, 0, 0, 1536, 384 },
	{ "descriptors", { 1024 * MB, 1024 }, 0, 0, 768, 192 },
	{ "least-reserve", { 1024 * MB, 128 }, 0, 0, 64, 64 },
	{ "own-bytes", { 160 * MB, 4100 }, BF_CONNECTION_BYTES, 0, 768, 192 },
	{ "unknown-memory", { 0, 4096 }, 0, 0, 3072, 768 },
	{ "set-lower", { 160 * MB, 4100 }, 0, 100, 100, 64 },
	{ "set-higher", { 160 * MB, 4100 }, 0, 2000, 1536, 384 },
	{ "none-left", { 160 * MB, 16 }, 0, 0, 8, 64 },
	{ "no-limit", { 0, UINT64_MAX }, 0, 0, 65536, 1024 },
};

static void
test_limit(gconstpointer data)
{
	const limit_case_t *test = data;
	bf_connection_limit_t limit =
	    bf_connection_limit(&test->machine, test->own_bytes, test->set_max);

	g_assert_cmpuint(limit.connections, ==, test->connections);
	g_assert_cmpuint(limit.backlog, ==, test->backlog);
}

static void
test_address_space(void)
{
	g_assert_cmpuint(
	    bf_machine_address_space(UINT64_MAX, 3 * MB), ==, UINT64_MAX);
	g_assert_cmpuint(
	    bf_machine_address_space(100 * MB, 20 * MB), ==, 40 * MB);
	g_assert_cmpuint(bf_machine_address_space(10 * MB, 20 * MB), ==, 0);
}

/* Writes a file below a folder, which it creates. */
static char *
write_file(const char *folder, const char *path, const char *text)
{
	char *file = g_build_filename(folder, path, NULL);
	char *parent = g_path_get_dirname(file);

	g_assert_cmpint(g_mkdir_with_parents(parent, 0700), ==, 0);
	g_assert_true(g_file_set_contents(file, text, -1, NULL));
	g_free(parent);
	return file;
}

static void
test_cgroup(void)
{
	char *folder = g_dir_make_tmp("basilfork-cgroup-XXXXXX", NULL);
	char *file;

	g_assert_nonnull(folder);
	file = write_file(folder, "self", "0::/outer/inner\n");
	g_assert_cmpuint(
	    bf_machine_cgroup_memory(file, folder), ==, UINT64_MAX);
	g_free(write_file(folder, "outer/inner/memory.max", "max\n"));
	g_assert_cmpuint(
	    bf_machine_cgroup_memory(file, folder), ==, UINT64_MAX);
	g_free(write_file(folder, "outer/memory.max", "104857600\n"));
	g_assert_cmpuint(bf_machine_cgroup_memory(file, folder), ==, 100 * MB);
	g_free(write_file(folder, "outer/inner/memory.max", "52428800\n"));
	g_assert_cmpuint(bf_machine_cgroup_memory(file, folder), ==, 50 * MB);
	g_free(file);
	file =
	    write_file(folder, "self", "5:cpu,cpuacct:/job\n4:memory:/job\n");
	g_free(write_file(
	    folder, "memory/job/memory.limit_in_bytes", "20971520\n"));
	g_assert_cmpuint(bf_machine_cgroup_memory(file, folder), ==, 20 * MB);
	g_free(file);
	g_free(folder);
}

int
main(int argc, char **argv)
{
	char path[64];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
		(void)g_snprintf(
		    path, sizeof(path), "/connections/%s", limit_cases[i].name);
		g_test_add_data_func(path, &limit_cases[i], test_limit);
	}
	g_test_add_func("/machine/address-space", test_address_space);
	g_test_add_func("/machine/cgroup", test_cgroup);
	return g_test_run();
}
