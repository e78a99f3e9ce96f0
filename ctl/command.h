#ifndef BF_CTL_COMMAND_H
#define BF_CTL_COMMAND_H

#include <stdbool.h>

/* The commands of basilctl; see basilctl(1). */

/* Environment variable with the path of the default settings file. */
#define BF_CTL_SETTINGS_VARIABLE "BASILCTL_SETTINGS"

typedef struct bf_ctl_arguments {
	const char *settings_path; /* NULL: take it from the environment */
	const char *command;
	const char *operand;    /* folder, trace id or call id; may be NULL */
	const char *message;    /* NULL: "N changes" */
	const char *submission; /* id of a submission to repeat, or NULL */
	bool json;
	bool wait;
	long long version; /* -1: unset */
	long timeout_s;
} bf_ctl_arguments_t;

/* Exit codes. */
enum bf_ctl_exit {
	BF_CTL_OK = 0,
	BF_CTL_USAGE = 1,
	BF_CTL_INVALID = 2,     /* errors in the intent or the settings */
	BF_CTL_CONFLICT = 3,    /* another submission was accepted first */
	BF_CTL_UNAVAILABLE = 4, /* the store or the nodes cannot be used */
	BF_CTL_UNSETTLED = 5,   /* may have been accepted: repeat it */
	BF_CTL_TIMEOUT = 6      /* not in force on all nodes in time */
};

/* Runs one command, printing to standard output and error. */
int bf_ctl_run(const bf_ctl_arguments_t *arguments);

#endif
