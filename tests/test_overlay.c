#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "member/overlay.h"

/* The degree and the churn of the overlay at several sizes of the fleet. */

typedef struct fleet {
	size_t nodes;
	size_t zones;
} fleet_t;

static void
name_node(const fleet_t *fleet, size_t i, char name[32], char zone[32])
{
	snprintf(name, 32, "node-%zu", i);
	snprintf(zone, 32, "zone-%zu", i % fleet->zones);
}

static void
build(const fleet_t *fleet, size_t own, size_t without, bf_overlay_t *overlay)
{
	char name[32];
	char zone[32];
	size_t i;

	name_node(fleet, own, name, zone);
	bf_overlay_init(overlay, name, zone);
	for (i = 0; i < fleet->nodes; i++) {
		if (i == without)
			continue;
		name_node(fleet, i, name, zone);
		bf_overlay_add(overlay, name, zone);
	}
}

static size_t
component(const fleet_t *fleet)
{
	g_autofree size_t *queue = g_new(size_t, fleet->nodes);
	g_autofree bool *seen = g_new0(bool, fleet->nodes);
	bf_overlay_t overlay;
	size_t reached;
	size_t next;
	size_t head;
	size_t ring;

	queue[0] = 0;
	seen[0] = true;
	reached = 1;
	for (head = 0; head < reached; head++) {
		build(fleet, queue[head], SIZE_MAX, &overlay);
		for (ring = 0; ring < bf_overlay_ring_count(&overlay); ring++) {
			next = (size_t)strtoul(
			    overlay.rings[ring].successor + 5, NULL, 10);
			if (seen[next])
				continue;
			seen[next] = true;
			queue[reached++] = next;
		}
	}
	return reached;
}

static void
test_reaches_everybody(void)
{
	const fleet_t fleets[] = { { 2, 2 }, { 3, 3 }, { 7, 3 }, { 50, 3 },
		{ 1300, 8 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++)
		g_assert_cmpuint(component(&fleets[i]), ==, fleets[i].nodes);
}

/* Who dials whom is seen alike from both ends. */
static void
test_symmetric(void)
{
	const fleet_t fleet = { 60, 3 };
	bf_overlay_t theirs;
	bf_overlay_t own;
	size_t ring;
	size_t next;
	size_t i;

	for (i = 0; i < fleet.nodes; i++) {
		build(&fleet, i, SIZE_MAX, &own);
		g_assert_cmpuint(bf_overlay_ring_count(&own), ==, 3);
		for (ring = 0; ring < 3; ring++) {
			next = (size_t)strtoul(
			    own.rings[ring].successor + 5, NULL, 10);
			build(&fleet, next, SIZE_MAX, &theirs);
			g_assert_true(
			    bf_overlay_dialled_by(&theirs, own.own_instance));
		}
	}
}

/* A leave changes the successors of three nodes, one a ring. */
static void
test_local_churn(void)
{
	const fleet_t fleet = { 400, 4 };
	bf_overlay_t before;
	bf_overlay_t after;
	size_t changed;
	size_t ring;
	size_t i;

	changed = 0;
	for (i = 0; i < fleet.nodes; i++) {
		if (i == 17)
			continue;
		build(&fleet, i, SIZE_MAX, &before);
		build(&fleet, i, 17, &after);
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
	g_test_add_func("/overlay/reaches-everybody", test_reaches_everybody);
	g_test_add_func("/overlay/symmetric", test_symmetric);
	g_test_add_func("/overlay/local-churn", test_local_churn);
	return g_test_run();
}
