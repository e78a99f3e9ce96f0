/*
 * basilnoded: the sidecar process of each target.  It loads its settings, runs
 * a node until SIGTERM or SIGINT, and then shuts down gracefully.  See
 * basilnoded(8).
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "daemons/arguments.h"
#include "node/node.h"

/* How often a graceful shutdown checks for calls still in flight. */
#define DRAIN_POLL_US (20 * BF_US_PER_MS)
#define NS_PER_US 1000

/* Exit codes; see basilnoded(8). */
#define EXIT_INVALID_SETTINGS 2
#define EXIT_CANNOT_START 3

const char *argp_program_version = "basilnoded " BF_VERSION;

/* Waits for SIGTERM or SIGINT, then for the calls in flight. */
static void
run_until_signal(bf_node_t *node, const sigset_t *signals)
{
	const struct timespec pause = { .tv_nsec = DRAIN_POLL_US * NS_PER_US };
	int number;

	sigwait(signals, &number);
	bf_node_drain(node, bf_clock_monotonic_us());
	while (!bf_node_drained(node, bf_clock_monotonic_us()))
		nanosleep(&pause, NULL);
}

static int
run(const bf_node_settings_t *settings, const sigset_t *signals)
{
	bf_node_t *node = NULL;
	bf_error_t err;
	bf_code_t code;
	bf_log_t *log;

	log = bf_log_new("basilnoded", (int)settings->log.level);
	code = bf_node_new(settings, log, &node, &err);
	if (code == BF_OK)
		code = bf_node_start(node, &err);
	if (code == BF_OK) {
		bf_log_line(log, LOG_NOTICE, "%s in %s has started",
		    settings->node.instance, settings->node.availability_zone);
		run_until_signal(node, signals);
		bf_log_line(log, LOG_NOTICE, "graceful shutdown complete");
	} else {
		bf_log_line(log, LOG_ERR, "cannot start: %s: %s",
		    bf_code_name(code), err.message);
	}
	bf_node_free(node);
	bf_log_free(log);
	return code == BF_OK ? EXIT_SUCCESS : EXIT_CANNOT_START;
}

/* Only sigwait receives these signals; threads inherit the mask. */
static void
block_signals(sigset_t *signals)
{
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
}

int
main(int argc, char **argv)
{
	bf_daemon_arguments_t arguments = { 0 };
	bf_node_settings_t settings;
	bf_diagnostics_t *diagnostics;
	apr_pool_t *pool;
	sigset_t signals;
	int status;

	bf_daemon_arguments_parse(&arguments, argc, argv);
	block_signals(&signals);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_ALL);
	apr_pool_create(&pool, NULL);
	diagnostics = bf_diagnostics_new(pool);
	if (bf_node_settings_load(arguments.settings_path, pool, &settings,
		diagnostics) != BF_OK) {
		bf_daemon_print_diagnostics(diagnostics, pool);
		status = EXIT_INVALID_SETTINGS;
	} else if (arguments.check) {
		status = EXIT_SUCCESS;
	} else {
		status = run(&settings, &signals);
	}
	apr_pool_destroy(pool);
	curl_global_cleanup();
	apr_terminate();
	return status;
}
