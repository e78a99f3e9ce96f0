#ifndef BF_STANDINS_FAULTS_H
#define BF_STANDINS_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* What is wrong with a target, and from when on it shows.  Not locked. */

typedef enum report_mode {
	REPORT_TRUE,
	REPORT_LIE, /* always well and idle */
	REPORT_LAG  /* as it was a few samples ago */
} report_mode_t;

typedef struct behaviour {
	uint32_t fail_percent;
	uint32_t shed_percent; /* refused as not run, though there is room */
	uint32_t slow_ms;
	bool hang;
	bool cut;
	bool anonymous; /* refusals do not name their request */
	uint32_t after_s;
	uint32_t after_calls;
	uint32_t at_load; /* shows with this many calls in flight or more */
	char *route;      /* prefix of the path; NULL: every route */
	report_mode_t report;

	gint64 ordered_us; /* monotonic */
	uint64_t calls;    /* since the order */
	uint64_t bad_calls;
} behaviour_t;

/* How one call goes. */
typedef struct behaviour_call {
	bool fail;
	bool shed;
	bool hang;
	bool cut;
	bool anonymous;
	uint32_t slow_ms;
} behaviour_call_t;

/*
 * Sets one property by the name that orders use, such as "slow_ms"; false
 * when there is no such property or the value does not fit.
 */
bool behaviour_set(behaviour_t *b, const char *name, const char *value);

/* Starts to count time and calls for after_s and after_calls. */
void behaviour_begin(behaviour_t *b, gint64 now_us);

/* Counts a call and decides how it goes; fails are spread evenly. */
behaviour_call_t behaviour_next(
    behaviour_t *b, const char *path, uint32_t in_flight, gint64 now_us);

#endif
