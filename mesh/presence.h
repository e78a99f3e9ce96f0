#ifndef BF_MESH_PRESENCE_H
#define BF_MESH_PRESENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "member/record.h"
#include "mesh/names.h"

/*
 * Which lifetime of the target beside a node is current, and whether it may get
 * calls.  A lifetime is one process of a target: its id and its start time.
 *
 * Heartbeats and announcements of a departure may arrive late and in any order,
 * and the node's process may have been killed in between.  A former process may
 * have acknowledged a departure that the store never got, and the next
 * heartbeat may have been sent before it.  So a lifetime that a former process
 * may have known gets calls only once the target itself has confirmed, by its
 * health check, that it is not leaving.
 *
 * All functions are pure: the caller sends what they ask for and reports what
 * changed.
 */

/* A heartbeat of the target beside this node. */
typedef struct bf_heartbeat {
	char id[BF_NAME_BYTES];
	char service[BF_SERVICE_BYTES];
	char version[BF_SERVICE_BYTES];
	char address[BF_ADDRESS_BYTES];
	uint32_t slots; /* calls that it runs at once, at most */
	bool draining;
	uint32_t warm_up_remaining_ms; /* it is slow until the warm-up ends */
	uint64_t sequence; /* grows with each heartbeat of one process */
	/* Start of its process, wall clock; 0: not reported. */
	uint64_t start_ms;
} bf_heartbeat_t;

/* A lifetime that has announced its departure. */
typedef struct bf_departure {
	char id[BF_NAME_BYTES]; /* empty: none */
	uint64_t start_ms;
	bool start_unknown; /* start_ms is not set */
	bf_time_us_t learnt_at_us;
} bf_departure_t;

#define BF_DEPARTURES_MAX 4

typedef struct bf_presence {
	bf_heartbeat_t heartbeat; /* the last one that was accepted */
	bf_target_state_t state;
	bf_time_us_t heartbeat_at_us;
	bool departed;  /* the current lifetime has announced its departure */
	bool confirmed; /* the current lifetime needs no health check */
	/* Its first heartbeat to this process; 0: none, it was restored. */
	bf_time_us_t unconfirmed_since_us;
	/*
	 * Wall clock; a former process may have known the lifetimes that began
	 * before it.  0: there was no former process.
	 */
	uint64_t known_before_ms;
	/* Newest first, also those that a former process recorded. */
	bf_departure_t departures[BF_DEPARTURES_MAX];
} bf_presence_t;

/* What a heartbeat has changed. */
typedef struct bf_presence_change {
	bool is_accepted;  /* neither late nor of a former lifetime */
	bool new_lifetime; /* the first one of its lifetime */
	bool new_state;
} bf_presence_change_t;

/*
 * started_wall_us: the wall clock at the start of this process.  is_successor:
 * there may have been a former process of this node.
 */
void bf_presence_init(
    bf_presence_t *presence, bf_time_us_t started_wall_us, bool is_successor);

bf_presence_change_t bf_presence_heartbeat(bf_presence_t *presence,
    const bf_heartbeat_t *heartbeat, bf_time_us_t now_us);

/*
 * The target of this id announces its departure.  start_ms: as in
 * bf_heartbeat_t; 0: unknown.  Returns whether it is news.
 */
bool bf_presence_depart(bf_presence_t *presence, const char *id,
    uint64_t start_ms, bf_time_us_t now_us);

/*
 * Takes the departure that a former process recorded.  Returns whether the
 * current lifetime proves to be the one that has left.
 */
bool bf_presence_restore_departure(bf_presence_t *presence,
    const bf_departure_t *departure, bf_time_us_t now_us);

/*
 * Takes the last heartbeat that a former process recorded, unless a newer one
 * has come meanwhile.
 */
bf_presence_change_t bf_presence_restore(bf_presence_t *presence,
    const bf_heartbeat_t *recorded, bf_time_us_t now_us);

/* Whether a health check is to show that the target may get calls. */
bool bf_presence_awaits_health(const bf_presence_t *presence);

/*
 * The target has confirmed that it is the current one and is not leaving.
 * Returns whether it gets calls from now on.
 */
bool bf_presence_confirm(bf_presence_t *presence);

/* The target is on its way out: it drains or has announced its departure. */
bool bf_presence_is_leaving(const bf_presence_t *presence);

#endif
