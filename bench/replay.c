/*
 * replay: simulates load patterns with every policy and prints a table that
 * compares them.
 */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/load_sim.h"

#define SEEDS 5

typedef struct arguments {
	uint32_t nodes;
	char **paths;
	int path_count;
} arguments_t;

static const struct argp_option options[] = {
	{ "nodes", 'n', "N", 0, "Number of nodes, instead of the pattern's",
	    0 },
	{ 0 },
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 'n':
		arguments->nodes = (uint32_t)strtoul(value, NULL, 10);
		return 0;
	case ARGP_KEY_ARGS:
		arguments->paths = state->argv + state->next;
		arguments->path_count = state->argc - state->next;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "PATTERN...",
	.doc = "Simulates load patterns with each policy of load balancing "
	       "and queueing.",
};

static void
print_policy(const char *name, const bf_pattern_t *pattern, bf_policy_t policy,
    uint32_t nodes)
{
	double earned_worth = 0, on_time_worth = 0, total_worth = 0,
	       wasted_s = 0, mean_wait_ms = 0;
	uint64_t calls = 0, late = 0, refused = 0, offers = 0, runs = 0,
		 outside = 0, seed;
	bf_sim_result_t result;
	uint32_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		bf_pattern_simulate(pattern, policy, nodes, seed, &result);
		earned_worth += result.earned_worth;
		on_time_worth += result.on_time_worth;
		total_worth += result.total_worth;
		wasted_s += result.wasted_s;
		mean_wait_ms += result.mean_wait_ms;
		offers += result.offers;
		runs += result.runs;
		outside += result.runs_outside;
		for (i = 0; i < result.class_count; i++) {
			calls += result.classes[i].calls;
			late += result.classes[i].late;
			refused += result.classes[i].refused;
		}
	}
	printf("%-10s %-12s %7.4f %7.4f %7.4f %7.4f %8.1f %8.1f %7.2f %8.4f\n",
	    name, bf_policy_name(policy), earned_worth / total_worth,
	    on_time_worth / total_worth, (double)late / (double)calls,
	    (double)refused / (double)calls, wasted_s / SEEDS,
	    mean_wait_ms / SEEDS, (double)offers / (double)calls,
	    (double)outside / (double)runs);
}

int
main(int argc, char **argv)
{
	arguments_t arguments = { 0 };
	bf_pattern_t *pattern;
	bf_error_t err;
	char name[64];
	int policy, i;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	printf("pattern    policy        worth  on-time    late refused "
	       "wasted s  wait ms  offers  outside\n");
	for (i = 0; i < arguments.path_count; i++) {
		pattern = bf_pattern_read(arguments.paths[i], &err);
		if (pattern == NULL) {
			fprintf(stderr, "replay: %s\n", err.message);
			return EXIT_FAILURE;
		}
		(void)snprintf(name, sizeof(name), "%s",
		    strrchr(arguments.paths[i], '/') != NULL
			? strrchr(arguments.paths[i], '/') + 1
			: arguments.paths[i]);
		name[strcspn(name, ".")] = '\0';
		for (policy = 0; policy < BF_POLICY_COUNT; policy++)
			print_policy(name, pattern, (bf_policy_t)policy,
			    arguments.nodes);
		bf_pattern_free(pattern);
	}
	return EXIT_SUCCESS;
}
