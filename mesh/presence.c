#include <stdio.h>
#include <string.h>

#include "mesh/presence.h"

/*
 * A departure that does not state the start of its process and arrives before
 * the first heartbeat applies to the lifetime of this id whose heartbeat
 * arrives within this time.
 */
#define DEPARTURE_MATCH_US (8 * BF_US_PER_S)
/*
 * A health check may fail though the target is well.  A target that has left
 * sends no heartbeats, and those on their way arrive within this time.
 */
#define LATE_HEARTBEATS_US (8 * BF_US_PER_S)
/* The wall clock may have been set back between the starts of two processes. */
#define CLOCK_STEP_MAX_MS 10000

void
bf_presence_init(
    bf_presence_t *presence, bf_time_us_t started_wall_us, bool is_successor)
{
	*presence = (bf_presence_t){ .state = BF_TARGET_ABSENT };
	if (is_successor)
		presence->known_before_ms =
		    (uint64_t)(started_wall_us / BF_US_PER_MS) +
		    CLOCK_STEP_MAX_MS;
}

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
	/* An unknown start counts as earlier than any known one. */
	if (heartbeat->start_ms != last->start_ms)
		return heartbeat->start_ms > last->start_ms;
	if (strcmp(heartbeat->id, last->id) != 0)
		return true;
	return !presence->departed && heartbeat->sequence > last->sequence;
}

static void
add_departure(bf_presence_t *presence, const bf_departure_t *departure)
{
	bf_departure_t *departures = presence->departures;

	memmove(&departures[1], &departures[0],
	    (BF_DEPARTURES_MAX - 1) * sizeof(departures[0]));
	departures[0] = *departure;
}

/*
 * Whether this lifetime has announced its departure, perhaps to a former
 * process of this node, or to this one before its first heartbeat.
 */
static bool
has_departed(bf_presence_t *presence, const bf_heartbeat_t *heartbeat,
    bf_time_us_t now_us)
{
	bf_departure_t *departure;
	uint32_t i;

	for (i = 0; i < BF_DEPARTURES_MAX; i++) {
		departure = &presence->departures[i];
		if (strcmp(departure->id, heartbeat->id) != 0)
			continue;
		if (departure->start_unknown &&
		    now_us - departure->learnt_at_us <= DEPARTURE_MATCH_US) {
			departure->start_unknown = false;
			departure->start_ms = heartbeat->start_ms;
		}
		/* The earlier lifetimes of this id have ended as well. */
		if (!departure->start_unknown &&
		    departure->start_ms >= heartbeat->start_ms)
			return true;
	}
	return false;
}

/* The state that what is known of the current lifetime amounts to. */
static bf_target_state_t
present_state(const bf_presence_t *presence)
{
	if (bf_presence_is_leaving(presence))
		return BF_TARGET_DRAINING;
	return presence->confirmed ? BF_TARGET_READY : BF_TARGET_ABSENT;
}

static void
take_heartbeat(bf_presence_t *presence, const bf_heartbeat_t *heartbeat,
    bf_presence_change_t *change, bf_time_us_t now_us)
{
	change->is_accepted = true;
	if (!is_same_lifetime(&presence->heartbeat, heartbeat)) {
		change->new_lifetime = true;
		presence->departed = false;
		presence->confirmed =
		    heartbeat->start_ms >= presence->known_before_ms;
		presence->unconfirmed_since_us = 0;
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
	if (presence->unconfirmed_since_us == 0)
		presence->unconfirmed_since_us = now_us;
	if (now_us - presence->unconfirmed_since_us >= LATE_HEARTBEATS_US)
		presence->confirmed = true;
	presence->state = present_state(presence);
	change.new_state = presence->state != before;
	return change;
}

static void
mark_departed(bf_presence_t *presence)
{
	presence->departed = true;
	/* A confirmed one that is absent has fallen silent. */
	if (presence->state == BF_TARGET_READY || !presence->confirmed)
		presence->state = BF_TARGET_DRAINING;
}

bool
bf_presence_depart(bf_presence_t *presence, const char *id, uint64_t start_ms,
    bf_time_us_t now_us)
{
	const bf_heartbeat_t *current = &presence->heartbeat;
	bool is_current = strcmp(current->id, id) == 0;
	bf_departure_t departure = { .learnt_at_us = now_us };

	/* Heartbeats of a former lifetime are not accepted anyway. */
	if (start_ms != 0 && start_ms < current->start_ms)
		return false;
	if (is_current && start_ms == 0)
		start_ms = current->start_ms;
	if (is_current && start_ms == current->start_ms && presence->departed)
		return false;
	departure.start_ms = start_ms;
	departure.start_unknown = !is_current && start_ms == 0;
	(void)snprintf(departure.id, sizeof(departure.id), "%s", id);
	add_departure(presence, &departure);
	/* A later lifetime of this id shows that the current one has ended. */
	if (is_current)
		mark_departed(presence);
	return true;
}

bool
bf_presence_restore_departure(bf_presence_t *presence,
    const bf_departure_t *departure, bf_time_us_t now_us)
{
	bf_departure_t restored = *departure;
	uint32_t i = 0;

	restored.learnt_at_us = now_us;
	/* It is older than those that this process has learnt of. */
	while (i < BF_DEPARTURES_MAX && presence->departures[i].id[0] != '\0')
		i++;
	if (i < BF_DEPARTURES_MAX)
		presence->departures[i] = restored;
	/* Its heartbeat may have come before the record. */
	if (presence->heartbeat.id[0] == '\0' || presence->departed ||
	    !has_departed(presence, &presence->heartbeat, now_us))
		return false;
	mark_departed(presence);
	return true;
}

bf_presence_change_t
bf_presence_restore(bf_presence_t *presence, const bf_heartbeat_t *recorded,
    bf_time_us_t now_us)
{
	bf_target_state_t before = presence->state;
	bf_presence_change_t change = { .is_accepted = false };

	if (!is_newer(presence, recorded))
		return change;
	take_heartbeat(presence, recorded, &change, now_us);
	if (change.new_lifetime)
		presence->confirmed = false;
	presence->state = present_state(presence);
	change.new_state = presence->state != before;
	return change;
}

bool
bf_presence_awaits_health(const bf_presence_t *presence)
{
	return presence->heartbeat.id[0] != '\0' && !presence->confirmed &&
	    !bf_presence_is_leaving(presence);
}

bool
bf_presence_confirm(bf_presence_t *presence)
{
	if (!bf_presence_awaits_health(presence))
		return false;
	presence->confirmed = true;
	presence->state = BF_TARGET_READY;
	return true;
}

bool
bf_presence_is_leaving(const bf_presence_t *presence)
{
	return presence->heartbeat.draining || presence->departed;
}
