/*
 * basilctl: the command line tool for operators.  See basilctl(1).
 */

#include <argp.h>
#include <stdlib.h>

#include <apr_general.h>
#include <curl/curl.h>
#include <sodium.h>

#include "ctl/command.h"

#define WAIT_TIMEOUT_S_DEFAULT 60

const char *argp_program_version = "basilctl " BF_VERSION;

enum option_key {
	KEY_JSON = 'j',
	KEY_MESSAGE = 'm',
	KEY_SETTINGS = 's',
	KEY_TIMEOUT = 't',
	KEY_VERSION = 'n',
	KEY_WAIT = 'w',
	KEY_SUBMISSION = 0x100
};

static const struct argp_option options[] = {
	{ "settings", KEY_SETTINGS, "FILE", 0,
	    "Settings (default: $" BF_CTL_SETTINGS_VARIABLE ")", 0 },
	{ "json", KEY_JSON, NULL, 0, "Print JSON", 0 },
	{ "message", KEY_MESSAGE, "TEXT", 0, "What the change is for", 0 },
	{ "wait", KEY_WAIT, NULL, 0,
	    "After apply, wait until it is in force everywhere", 0 },
	{ "version", KEY_VERSION, "N", 0,
	    "The version to wait for; for apply, the version it was made for",
	    0 },
	{ "timeout", KEY_TIMEOUT, "SECONDS", 0, "Give up waiting", 0 },
	{ "submission", KEY_SUBMISSION, "ID", 0,
	    "Repeat an unsettled submission", 0 },
	{ 0 },
};

static long long
parse_number(const char *text, struct argp_state *state)
{
	long long number;
	char *end;

	number = strtoll(text, &end, 10);
	if (*text == '\0' || *end != '\0' || number < 0)
		argp_error(state, "%s is not a number", text);
	return number;
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	bf_ctl_arguments_t *a = state->input;

	switch (key) {
	case KEY_SETTINGS:
		a->settings_path = value;
		return 0;
	case KEY_JSON:
		a->json = true;
		return 0;
	case KEY_MESSAGE:
		a->message = value;
		return 0;
	case KEY_WAIT:
		a->wait = true;
		return 0;
	case KEY_VERSION:
		a->version = parse_number(value, state);
		return 0;
	case KEY_TIMEOUT:
		a->timeout_s = (long)parse_number(value, state);
		return 0;
	case KEY_SUBMISSION:
		a->submission = value;
		return 0;
	case ARGP_KEY_ARG:
		if (a->command == NULL)
			a->command = value;
		else if (a->operand == NULL)
			a->operand = value;
		else
			argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (a->command == NULL)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "COMMAND [OPERAND]",
	.doc = "Operates a mesh.\v"
	       "check DIR     check a folder of intent files\n"
	       "diff DIR      show what the folder would change\n"
	       "apply DIR     accept the folder as the configuration\n"
	       "status        the state of the mesh and of every move\n"
	       "history       accepted versions\n"
	       "wait          wait until --version is in force everywhere\n"
	       "nodes         every node with its target\n"
	       "spans TRACE   the spans of a trace\n"
	       "explain ID    a call's story from event logs on standard "
	       "input\n"
	       "keygen        a new key pair for the control plane\n",
};

int
main(int argc, char **argv)
{
	bf_ctl_arguments_t arguments = {
		.version = -1,
		.timeout_s = WAIT_TIMEOUT_S_DEFAULT,
	};
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_ALL);
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	status = bf_ctl_run(&arguments);
	curl_global_cleanup();
	apr_terminate();
	return status;
}
