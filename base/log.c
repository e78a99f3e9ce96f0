#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"

#define LINE_BYTES 1024

struct bf_log {
	char *program;
	int threshold;
};

bf_log_t *
bf_log_new(const char *program, int threshold)
{
	bf_log_t *log;

	log = calloc(1, sizeof(*log));
	if (log == NULL)
		return NULL;
	log->program = strdup(program);
	if (log->program == NULL) {
		free(log);
		return NULL;
	}
	log->threshold = threshold;
	return log;
}

void
bf_log_free(bf_log_t *log)
{
	if (log == NULL)
		return;
	free(log->program);
	free(log);
}

void
bf_log_line(bf_log_t *log, int priority, const char *fmt, ...)
{
	char line[LINE_BYTES];
	size_t used;
	va_list ap;
	int n;

	if (log == NULL || priority > log->threshold)
		return;
	n = snprintf(line, sizeof(line), "<%d>%s[%ld]: ", priority,
	    log->program, (long)getpid());
	if (n < 0 || (size_t)n >= sizeof(line))
		return;
	used = (size_t)n;
	va_start(ap, fmt);
	n = vsnprintf(line + used, sizeof(line) - used - 1, fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	used = strlen(line);
	line[used++] = '\n';
	/* One write per line, so that the lines of threads do not mix. */
	if (write(STDERR_FILENO, line, used) < 0)
		return;
}
