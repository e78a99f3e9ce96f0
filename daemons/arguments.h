#ifndef BF_DAEMONS_ARGUMENTS_H
#define BF_DAEMONS_ARGUMENTS_H

#include <stdbool.h>

#include "toml/diagnostic.h"

/* The command line of the daemons: "[--check] SETTINGS.toml". */

typedef struct bf_daemon_arguments {
	const char *settings_path;
	bool check; /* only check the settings */
} bf_daemon_arguments_t;

/* Exits with a usage message when the arguments are wrong. */
void bf_daemon_arguments_parse(
    bf_daemon_arguments_t *arguments, int argc, char **argv);

/* Prints diagnostics to standard error, one per line. */
void bf_daemon_print_diagnostics(
    const bf_diagnostics_t *diagnostics, apr_pool_t *pool);

#endif
