#include <argp.h>
#include <stdio.h>

#include "daemons/arguments.h"

static const struct argp_option options[] = {
	{
	    .name = "check",
	    .key = 'c',
	    .doc = "Check the settings and exit",
	},
	{ 0 },
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	bf_daemon_arguments_t *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->check = true;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->settings_path != NULL)
			argp_usage(state);
		arguments->settings_path = value;
		return 0;
	case ARGP_KEY_END:
		if (arguments->settings_path == NULL)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "SETTINGS.toml",
	.doc = "Runs one node of the mesh beside its target.",
};

void
bf_daemon_arguments_parse(
    bf_daemon_arguments_t *arguments, int argc, char **argv)
{
	argp_parse(&argp, argc, argv, 0, NULL, arguments);
}

void
bf_daemon_print_diagnostics(
    const bf_diagnostics_t *diagnostics, apr_pool_t *pool)
{
	size_t i;

	for (i = 0; i < diagnostics->count; i++)
		fprintf(stderr, "%s\n",
		    bf_diagnostic_format(&diagnostics->items[i], pool));
}
