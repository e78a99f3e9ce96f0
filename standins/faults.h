#ifndef BF_STANDINS_FAULTS_H
#define BF_STANDINS_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Faults of a target and the conditions that activate them.  No locking. */

/* What /health and /load report; set by "health". */
typedef enum report_mode {
	REPORT_ACTUAL,       /* "ok" */
	REPORT_HEALTHY_IDLE, /* "lie": healthy and idle, whatever is true */
	REPORT_DELAYED       /* "lag": the state some samples ago */
} report_mode_t;

typedef struct faults {
	uint32_t fail_percent; /* of calls, answered with a status of 500 */
	uint32_t shed_percent; /* of calls, refused although slots are free */
	uint32_t slow_ms;      /* added to the service time */
	bool hang;             /* calls never finish */
	bool truncate;         /* "cut": responses end halfway, with an error */
	bool omit_id;          /* "anonymous": refusals carry no X-Request-Id */

	/* Conditions, which must all hold. */
	uint32_t after_s;     /* seconds since started_us */
	uint32_t after_calls; /* calls since started_us */
	uint32_t at_load;     /* calls in flight, at least */
	char *route;          /* prefix of the path; NULL: any path */

	report_mode_t report_mode; /* applies without conditions */

	gint64 started_us;     /* monotonic */
	uint64_t calls;        /* since started_us */
	uint64_t faulty_calls; /* those that met the conditions */
} faults_t;

/* The faults of one call. */
typedef struct call_faults {
	bool fail;
	bool shed;
	bool hang;
	bool truncate;
	bool omit_id;
	uint32_t slow_ms;
} call_faults_t;

/*
 * Sets a fault or condition by its name in requests and options, such as
 * "slow_ms"; false if the name is unknown or the value is invalid.
 */
bool faults_set(faults_t *faults, const char *name, const char *value);

/* Starts the counts of time and calls for after_s and after_calls. */
void faults_start(faults_t *faults, gint64 now_us);

/* Counts a call and returns its faults; failures are spread evenly. */
call_faults_t faults_next_call(
    faults_t *faults, const char *path, uint32_t in_flight, gint64 now_us);

#endif
