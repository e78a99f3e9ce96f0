#ifndef BF_OBSERVE_EVENTS_H
#define BF_OBSERVE_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * The event log has one JSON object per line for each decision that affects a
 * call or changes the state of the process.  Lines are buffered up to a fixed
 * size and written without blocking; lines that do not fit are dropped and
 * counted.  docs/LOGS.md lists the event kinds and their fields.
 */

typedef enum bf_event_kind {
	BF_EVENT_STARTED,
	BF_EVENT_STOPPING,
	BF_EVENT_STOPPED,
	BF_EVENT_SETTINGS, /* the settings were read again */
	BF_EVENT_STORE_UP, /* the store is reachable */
	BF_EVENT_STORE_DOWN,
	BF_EVENT_STORE_CALL, /* a call to the store failed */
	BF_EVENT_STORE_ERA,  /* the store was restored from an old copy */
	BF_EVENT_PEER_UP,
	BF_EVENT_PEER_DOWN,
	BF_EVENT_PEER_GONE, /* a peer was removed */
	BF_EVENT_MEMBER,    /* this node's own entry in the store */
	BF_EVENT_RELAY,     /* starts or stops following operators' keys */
	BF_EVENT_TARGET,    /* the target beside this node */
	BF_EVENT_ZONES,     /* the planned share of calls that leave the zone */
	BF_EVENT_CAPACITY,  /* the learnt capacity of the target */
	BF_EVENT_CONFIG,    /* a configuration was applied */
	BF_EVENT_CONFIG_REFUSED, /* a configuration was rejected */
	BF_EVENT_FRESHNESS,      /* keys are refused, or served again */
	BF_EVENT_ENTRY_REFUSED,  /* an entry of the store is invalid */
	BF_EVENT_MOVE,           /* ordered, advanced, completed, rolled back */
	BF_EVENT_FINISHED,       /* entry node: answered or refused a call */
	BF_EVENT_PLACED,         /* entry node: offered a call to a node */
	BF_EVENT_BOUNCED,        /* entry node: that node refused it, not run */
	BF_EVENT_RAN,            /* target's node: the target ran a call */
	BF_EVENT_REFUSED,        /* target's node: refused a call */
	BF_EVENT_CANCELLED,
	BF_EVENT_UNCLAIMED, /* entry node: a reply to a cancelled offer */
	/* A frame waited long for its link or its reader. */
	BF_EVENT_FRAME_LATE,
	BF_EVENT_BODY_REFUSED, /* entry node: a body took too much memory */
	BF_EVENT_CROWD,        /* many bodies and connections are refused */
	BF_EVENT_LISTENER,     /* accepts no connections, or does again */
	BF_EVENT_STALL,        /* an iteration of the event loop took long */
	BF_EVENT_CAPS,         /* this node's part in sharing usage caps */
	BF_EVENT_EVACUATION,   /* the set of evacuated zones changed */
	BF_EVENT_COLD,         /* the own target became cold or warm */
	BF_EVENT_KIND_COUNT
} bf_event_kind_t;

typedef struct bf_events bf_events_t;

/*
 * Events are written to fd, which is made non-blocking.  One call in
 * sample_one_in is sampled, none if it is 0.  NULL when out of memory.
 */
bf_events_t *bf_events_new(
    int fd, const char *instance, uint32_t sample_one_in);
void bf_events_free(bf_events_t *events);

/*
 * Whether the call with that id is sampled.  The decision is the same on every
 * node, so that either all or none of a call's lines are written.
 */
bool bf_events_sampled(const bf_events_t *events, const char *call_id);

/*
 * Adds a line.  fmt and its arguments are those of json_pack for an object,
 * without the braces: "s:s,s:I".  Each kind is limited to a number of lines
 * per second.  events may be NULL.
 */
void bf_event(bf_events_t *events, bf_event_kind_t kind, bf_time_us_t now_us,
    const char *fmt, ...);

/* Writes as much as possible without blocking; true if lines remain. */
bool bf_events_flush(bf_events_t *events, bf_time_us_t now_us);

/* Lines dropped so far: rate limit, full buffer, or out of memory. */
uint64_t bf_events_dropped(const bf_events_t *events);
uint64_t bf_events_written(const bf_events_t *events);

const char *bf_event_name(bf_event_kind_t kind);

#endif
