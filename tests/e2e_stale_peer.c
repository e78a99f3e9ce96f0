/*
 * Nodes must not return to an older version: they restart while the store is
 * down and the only running peer, paused while the newest version came into
 * force, still has the previous one.
 */
#include "tests/callers.h"

#define OBSERVATION_US 4000000
#define POLL_INTERVAL_US 20000
#define ROUNDS 3

static void
inject_store_fault(mesh_t *mesh, const char *fault)
{
	g_free(harness_request(
	    "PUT", "http://%s/standin/fault?%s", mesh->store->address, fault));
}

/* Watches that nodes other than 0 have this version or none in force. */
static void
expect_version_or_none(mesh_t *mesh, int64_t version)
{
	gint64 until_us;
	unsigned int i;
	int64_t observed;

	until_us = g_get_monotonic_time() + OBSERVATION_US;
	while (g_get_monotonic_time() < until_us) {
		for (i = 1; i < mesh_node_count(mesh); i++) {
			observed = mesh_version(&mesh->nodes[i]);
			if (observed != 0 && observed != version)
				g_error("%s serves version %" G_GINT64_FORMAT
					" after %" G_GINT64_FORMAT,
				    mesh->nodes[i].instance, observed, version);
		}
		g_usleep(POLL_INTERVAL_US);
	}
}

static void
restart_with_stale_peer(mesh_t *mesh, int64_t version)
{
	g_autofree char *split = NULL;
	g_autofree char *text = NULL;
	unsigned int i;

	split = g_strdup_printf("v1 = %u", (unsigned int)(100 + version));
	text = callers_intent(split);
	harness_signal(mesh->nodes[0].process, SIGSTOP);
	mesh_apply(mesh, text);
	for (i = 1; i < mesh_node_count(mesh); i++)
		mesh_wait_node_version(mesh, i, version);
	inject_store_fault(mesh, "down=on");
	for (i = 1; i < mesh_node_count(mesh); i++)
		harness_stop(mesh->nodes[i].process, SIGKILL);
	harness_signal(mesh->nodes[0].process, SIGCONT);
	for (i = 1; i < mesh_node_count(mesh); i++)
		mesh_start_node(mesh, i);
	expect_version_or_none(mesh, version);
	inject_store_fault(mesh, "down=off");
	mesh_wait_version(mesh, version);
}

static void
test_mass_restart_with_stale_peer(void)
{
	harness_t *h;
	mesh_t *mesh;
	int64_t round;

	h = harness_new();
	mesh = callers_start_mesh(h, "--work-ms=5");
	for (round = 1; round <= ROUNDS; round++)
		restart_with_stale_peer(mesh, 1 + round);
	mesh_expect_growing_versions(mesh);
	mesh_free(mesh);
	harness_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stale-peer/herd", test_mass_restart_with_stale_peer);
	return g_test_run();
}
