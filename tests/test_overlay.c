#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "member/overlay.h"

/* Connectivity, symmetry and churn of the overlay at several mesh sizes. */

typedef struct mesh_size {
	size_t nodes;
	size_t zones;
} mesh_size_t;

static void
make_names(const mesh_size_t *mesh_size, size_t i, char name[32], char zone[32])
{
	snprintf(name, 32, "node-%zu", i);
	snprintf(zone, 32, "zone-%zu", i % mesh_size->zones);
}

static void
build_overlay(const mesh_size_t *mesh_size, size_t own, size_t excluded,
    bf_overlay_t *overlay)
{
	char name[32];
	char zone[32];
	size_t i;

	make_names(mesh_size, own, name, zone);
	bf_overlay_init(overlay, name, zone);
	for (i = 0; i < mesh_size->nodes; i++) {
		if (i == excluded)
			continue;
		make_names(mesh_size, i, name, zone);
		bf_overlay_add(overlay, name, zone);
	}
}

static size_t
count_reachable(const mesh_size_t *mesh_size)
{
	g_autofree size_t *queue = g_new(size_t, mesh_size->nodes);
	g_autofree bool *visited = g_new0(bool, mesh_size->nodes);
	bf_overlay_t overlay;
	size_t reached;
	size_t next;
	size_t head;
	size_t ring;

	queue[0] = 0;
	visited[0] = true;
	reached = 1;
	for (head = 0; head < reached; head++) {
		build_overlay(mesh_size, queue[head], SIZE_MAX, &overlay);
		for (ring = 0; ring < bf_overlay_ring_count(&overlay); ring++) {
			next = (size_t)strtoul(
			    overlay.rings[ring].successor + 5, NULL, 10);
			if (visited[next])
				continue;
			visited[next] = true;
			queue[reached++] = next;
		}
	}
	return reached;
}

static void
test_reaches_all_nodes(void)
{
	const mesh_size_t mesh_sizes[] = { { 2, 2 }, { 3, 3 }, { 7, 3 },
		{ 50, 3 }, { 1300, 8 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(mesh_sizes); i++)
		g_assert_cmpuint(
		    count_reachable(&mesh_sizes[i]), ==, mesh_sizes[i].nodes);
}

/* A node's successor has the node as its predecessor, on every ring. */
static void
test_symmetric(void)
{
	const mesh_size_t mesh_size = { 60, 3 };
	bf_overlay_t theirs;
	bf_overlay_t own;
	size_t ring;
	size_t next;
	size_t i;

	for (i = 0; i < mesh_size.nodes; i++) {
		build_overlay(&mesh_size, i, SIZE_MAX, &own);
		g_assert_cmpuint(bf_overlay_ring_count(&own), ==, 3);
		for (ring = 0; ring < 3; ring++) {
			next = (size_t)strtoul(
			    own.rings[ring].successor + 5, NULL, 10);
			build_overlay(&mesh_size, next, SIZE_MAX, &theirs);
			g_assert_true(
			    bf_overlay_dialled_by(&theirs, own.own_instance));
		}
	}
}

/* A leave changes the successors of three nodes, one on each ring. */
static void
test_local_churn(void)
{
	const mesh_size_t mesh_size = { 400, 4 };
	bf_overlay_t before;
	bf_overlay_t after;
	size_t changed;
	size_t ring;
	size_t i;

	changed = 0;
	for (i = 0; i < mesh_size.nodes; i++) {
		if (i == 17)
			continue;
		build_overlay(&mesh_size, i, SIZE_MAX, &before);
		build_overlay(&mesh_size, i, 17, &after);
		for (ring = 0; ring < 3; ring++)
			changed += strcmp(before.rings[ring].successor,
				       after.rings[ring].successor) != 0;
	}
	g_assert_cmpuint(changed, ==, 3);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/overlay/reaches-everybody", test_reaches_all_nodes);
	g_test_add_func("/overlay/symmetric", test_symmetric);
	g_test_add_func("/overlay/local-churn", test_local_churn);
	return g_test_run();
}
