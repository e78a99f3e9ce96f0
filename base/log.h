#ifndef BF_BASE_LOG_H
#define BF_BASE_LOG_H

#include <syslog.h>

/*
 * Log lines in the format of syslog(3), written to standard error:
 * "<priority>program[pid]: message".  Lines are for changes of state only;
 * everything else is counted.  A bf_log_t may be used by several threads at
 * once.
 */

typedef struct bf_log bf_log_t;

/*
 * program is copied.  threshold is a syslog priority, LOG_EMERG to LOG_DEBUG;
 * lines of a numerically greater priority are dropped.  Returns NULL when out
 * of memory.
 */
bf_log_t *bf_log_new(const char *program, int threshold);

void bf_log_free(bf_log_t *log);

/* Writes one line; does nothing if log is NULL. */
void bf_log_line(bf_log_t *log, int priority, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
