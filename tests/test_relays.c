#include <glib.h>

#include "mesh/relays.h"

/* Choice of relays: two nodes of a zone, the same ones on every node. */

#define NODES 5

static uint32_t
chosen(bf_relay_candidate_t nodes[NODES], char names[NODES + 1])
{
	uint32_t count = 0, self, i;

	for (self = 0; self < NODES; self++) {
		for (i = 0; i < NODES; i++)
			nodes[i].is_self = i == self;
		if (bf_relays_include_self(nodes, NODES, BF_RELAYS_PER_ZONE))
			names[count++] = nodes[self].instance[0];
	}
	names[count] = '\0';
	return count;
}

static void
test_chosen(void)
{
	static const struct {
		const char *links; /* 1: high bandwidth */
		const char *up;    /* 1: the store answers */
		const char *relays;
	} cases[] = {
		{ "00000", "11111", "ab" },
		{ "00101", "11111", "ce" },
		{ "00101", "11110", "ac" },
		{ "00001", "01011", "be" },
		{ "11000", "00000", "ab" },
	};
	static const char *const instances[NODES] = { "a", "b", "c", "d", "e" };
	bf_relay_candidate_t nodes[NODES];
	char names[NODES + 1];
	size_t c, i;

	for (c = 0; c < G_N_ELEMENTS(cases); c++) {
		for (i = 0; i < NODES; i++)
			nodes[i] = (bf_relay_candidate_t){
				.instance = instances[i],
				.link_mbps =
				    cases[c].links[i] == '1' ? 200 : 10,
				.store_answers = cases[c].up[i] == '1',
			};
		g_assert_cmpuint(chosen(nodes, names), ==, BF_RELAYS_PER_ZONE);
		g_assert_cmpstr(names, ==, cases[c].relays);
	}
}

/* A node without peers is a relay. */
static void
test_alone(void)
{
	bf_relay_candidate_t self = { .instance = "a", .is_self = true };

	g_assert_true(bf_relays_include_self(&self, 1, BF_RELAYS_PER_ZONE));
	g_assert_false(bf_relays_include_self(&self, 0, BF_RELAYS_PER_ZONE));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/relays/chosen", test_chosen);
	g_test_add_func("/relays/alone", test_alone);
	return g_test_run();
}
