#include <stdio.h>
#include <string.h>

#include "mesh/presence.h"

/*
 * A departure that does not state the start of its process and arrives before
 * the first heartbeat applies to the lifetime of this id whose heartbeat
 * arrives within this time.
 */
#define DEPARTURE_MATCH_US (8 * BF_US_PER_S)

static bool
is_same_lifetime(const bf_heartbeat_t *a, const bf_heartbeat_t *b)
{
	return strcmp(a->id, b->id) == 0 && a->start_ms == b->start_ms;
}

/* Whether a heartbeat is of a later lifetime, or a later one of the same. */
static bool
is_newer(const bf_presence_t *presence, const bf_heartbeat_t *heartbeat)
{
	const bf_heartbeat_t *last = &presence->heartbeat;

	if (last->id[0] == '\0')
		return true;
	if (heartbeat->start_ms != last->start_ms && heartbeat->start_ms != 0 &&
	    last->start_ms != 0)
		return heartbeat->start_ms > last->start_ms;
	if (strcmp(heartbeat->id, last->id) != 0)
		return true;
	return !presence->departed && heartbeat->sequence > last->sequence;
}

/*
 * Whether this lifetime has announced its departure, perhaps to a former
 * process of this node, or to this one before its first heartbeat.
 */
static bool
has_departed(bf_presence_t *presence, const bf_heartbeat_t *heartbeat,
    bf_time_us_t now_us)
{
	bf_departure_t *departure = &presence->departure;

	if (strcmp(departure->id, heartbeat->id) != 0)
		return false;
	if (departure->start_unknown &&
	    now_us - departure->learnt_at_us <= DEPARTURE_MATCH_US) {
		departure->start_unknown = false;
		departure->start_ms = heartbeat->start_ms;
	}
	return !departure->start_unknown &&
	    departure->start_ms == heartbeat->start_ms;
}

static void
take_heartbeat(bf_presence_t *presence, const bf_heartbeat_t *heartbeat,
    bf_presence_change_t *change, bf_time_us_t now_us)
{
	change->is_accepted = true;
	if (!is_same_lifetime(&presence->heartbeat, heartbeat)) {
		change->new_lifetime = true;
		presence->departed = false;
	}
	presence->heartbeat = *heartbeat;
	presence->heartbeat_at_us = now_us;
	if (has_departed(presence, heartbeat, now_us))
		presence->departed = true;
}

bf_presence_change_t
bf_presence_heartbeat(bf_presence_t *presence, const bf_heartbeat_t *heartbeat,
    bf_time_us_t now_us)
{
	bf_target_state_t before = presence->state;
	bf_presence_change_t change = { .is_accepted = false };

	if (!is_newer(presence, heartbeat))
		return change;
	take_heartbeat(presence, heartbeat, &change, now_us);
	presence->state = bf_presence_is_leaving(presence) ? BF_TARGET_DRAINING
							   : BF_TARGET_READY;
	change.new_state = presence->state != before;
	return change;
}

bool
bf_presence_depart(bf_presence_t *presence, const char *id, uint64_t start_ms,
    bf_time_us_t now_us)
{
	const bf_heartbeat_t *current = &presence->heartbeat;
	bool is_current = strcmp(current->id, id) == 0;

	/*
	 * A late announcement of another lifetime must not replace that of the
	 * current one.
	 */
	if (presence->departed || (!is_current && current->id[0] != '\0') ||
	    (is_current && start_ms != 0 && start_ms < current->start_ms))
		return false;
	presence->departed = is_current;
	presence->departure = (bf_departure_t){
		.start_unknown = !is_current && start_ms == 0,
		.start_ms = is_current ? current->start_ms : start_ms,
		.learnt_at_us = now_us,
	};
	(void)snprintf(
	    presence->departure.id, sizeof(presence->departure.id), "%s", id);
	if (presence->state == BF_TARGET_READY)
		presence->state = BF_TARGET_DRAINING;
	return true;
}

bool
bf_presence_restore_departure(bf_presence_t *presence,
    const bf_departure_t *departure, bf_time_us_t now_us)
{
	if (presence->departure.id[0] == '\0') {
		presence->departure = *departure;
		presence->departure.learnt_at_us = now_us;
	}
	/* Its heartbeat may have come before the record. */
	if (presence->heartbeat.id[0] == '\0' || presence->departed ||
	    !has_departed(presence, &presence->heartbeat, now_us))
		return false;
	presence->departed = true;
	if (presence->state == BF_TARGET_READY)
		presence->state = BF_TARGET_DRAINING;
	return true;
}

bool
bf_presence_restore(bf_presence_t *presence, const bf_heartbeat_t *recorded,
    bf_time_us_t now_us)
{
	bf_presence_change_t change;

	if (presence->heartbeat.id[0] != '\0')
		return false;
	take_heartbeat(presence, recorded, &change, now_us);
	if (bf_presence_is_leaving(presence))
		presence->state = BF_TARGET_DRAINING;
	return true;
}

bool
bf_presence_is_leaving(const bf_presence_t *presence)
{
	return presence->heartbeat.draining || presence->departed;
}
