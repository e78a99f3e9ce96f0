#ifndef BF_TESTS_HARNESS_H
#define BF_TESTS_HARNESS_H

#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>

/*
 * Starts and stops real processes for tests.  Every process is signalled by its
 * own id, at the latest by harness_free.  Timeouts are long: they bound a hang
 * and do not test speed.  A failed step fails the running test.
 */

#define HARNESS_WAIT_MAX_MS 60000

typedef struct harness harness_t;

typedef struct harness_process {
	char *name;    /* names its log files too; not always unique */
	pid_t pid;     /* 0 once it has ended */
	char *address; /* "IP:port" of its "listening" line, or NULL */
	int status;    /* from waitpid, once it has ended */
} harness_process_t;

typedef struct harness_answer {
	long status; /* 0: no complete answer was received */
	bool connect_failed;
	const char *curl_error; /* libcurl's reason for status 0, or "" */
	GString *headers;
	GByteArray *body;
} harness_answer_t;

/* Creates a temporary folder and reserves a block of loopback addresses. */
harness_t *harness_new(void);

/*
 * Kills all processes and removes the folder, unless $BF_KEEP is set.  A failed
 * test aborts before this, so that its folder remains.
 */
void harness_free(harness_t *h);

/* Returns the path of a file in the test's folder; owned by the harness. */
const char *harness_path(harness_t *h, const char *name);

/* Returns the test's loopback address number n (0 to 999), without a port. */
const char *harness_ip(harness_t *h, unsigned int n);

/*
 * Starts the program $BF_BIN/<program> with the given arguments, terminated by
 * NULL.  Its output goes to <name>.out and <name>.err in the test's folder.
 */
harness_process_t *harness_start(harness_t *h, const char *name,
    const char *program, ...) __attribute__((sentinel));

/* Like harness_start, and waits for the line "listening IP:port". */
harness_process_t *harness_start_listening(harness_t *h, const char *name,
    const char *program, ...) __attribute__((sentinel));

void harness_signal(harness_process_t *process, int signal_number);

/* Waits for the process to end; returns its exit status, -1 for a signal. */
int harness_wait(harness_process_t *process);

/* Sends the signal, then does the same as harness_wait. */
int harness_stop(harness_process_t *process, int signal_number);

bool harness_has_ended(harness_process_t *process);

/*
 * Polls until check returns true.  After HARNESS_WAIT_MAX_MS it fails the test;
 * condition describes what check tests for.
 */
void harness_wait_until(
    bool (*check)(void *ctx), void *ctx, const char *condition);

/*
 * Sends one HTTP request on a new connection.  headers is a NULL-terminated
 * list or NULL.  Thread-safe.
 */
harness_answer_t *harness_http(const char *method, const char *url,
    const char *const *headers, const void *body, size_t body_bytes);
void harness_answer_free(harness_answer_t *answer);

/* Returns the value of a header of the answer, or NULL; g_free it. */
char *harness_answer_header(const harness_answer_t *answer, const char *name);

/* Returns the body as text; g_free it. */
char *harness_answer_text(const harness_answer_t *answer);

/* Sends a request that must be answered 200; returns the body; g_free it. */
char *harness_request(const char *method, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

G_DEFINE_AUTOPTR_CLEANUP_FUNC(harness_answer_t, harness_answer_free)

#endif
