#ifndef BF_OBSERVE_EVENTS_H
#define BF_OBSERVE_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * The event log: one JSON object a line, for each decision that touches a call
 * or changes what the process believes.  Lines wait in a buffer of fixed size
 * and are written without blocking; what does not fit is dropped and counted.
 * docs/LOGS.md lists the kinds and their fields.
 */

typedef enum bf_event_kind {
	BF_EVENT_STARTED,
	BF_EVENT_STOPPING,
	BF_EVENT_STOPPED,
	BF_EVENT_SETTINGS, /* read again */
	BF_EVENT_STORE_UP, /* the store answers */
	BF_EVENT_STORE_DOWN,
	BF_EVENT_STORE_CALL, /* one that did not succeed */
	BF_EVENT_PEER_UP,
	BF_EVENT_PEER_DOWN,
	BF_EVENT_PEER_GONE,  /* forgotten */
	BF_EVENT_MEMBER,     /* the own entry in the store */
	BF_EVENT_RELAY,      /* begins or ends to follow operators' keys */
	BF_EVENT_TARGET,     /* the target beside the node */
	BF_EVENT_CONFIG,     /* put in force */
	BF_EVENT_CONFIG_BAD, /* refused */
	BF_EVENT_ENTRY_BAD,  /* an entry of the store that cannot be read */
	BF_EVENT_MOVE,       /* ordered, stepped, completed, taken back */
	BF_EVENT_FINISHED,   /* a call at its entry: answered or refused */
	BF_EVENT_PLACED,     /* a call was given to a node */
	BF_EVENT_BOUNCED,    /* the node refused it, not run */
	BF_EVENT_RAN,        /* a call at its target */
	BF_EVENT_REFUSED,    /* a call refused beside its target */
	BF_EVENT_CANCELLED,
	BF_EVENT_KIND_COUNT
} bf_event_kind_t;

typedef struct bf_events bf_events_t;

/* Writes to fd, which is made non-blocking.  NULL when memory is short. */
bf_events_t *bf_events_new(
    int fd, const char *instance, uint32_t sample_one_in);
void bf_events_free(bf_events_t *events);

/*
 * Whether a call with that id is one of the sampled.  Every node decides alike,
 * so that a call's lines are all there or all left out.
 */
bool bf_events_sampled(const bf_events_t *events, const char *call_id);

/*
 * Adds a line.  fmt and what follows are as for json_pack, with the braces of
 * an object left out: "s:s,s:I".  Each kind has a bound of lines a second.
 * events may be NULL.
 */
void bf_event(bf_events_t *events, bf_event_kind_t kind, bf_time_us_t now_us,
    const char *fmt, ...);

/* Writes what the descriptor takes; true when lines are left. */
bool bf_events_flush(bf_events_t *events, bf_time_us_t now_us);

/* Lines dropped so far, by either bound. */
uint64_t bf_events_dropped(const bf_events_t *events);
uint64_t bf_events_written(const bf_events_t *events);

const char *bf_event_name(bf_event_kind_t kind);

#endif
