#include <glib.h>
#include <string.h>

#include "mesh/presence.h"

/*
 * Which lifetime of a target may get calls: all orders of a few events, and the
 * times that matter.
 */

#define EVENTS_MAX 7
#define LIFETIMES_MAX (EVENTS_MAX + 1)
#define NOW_US (100 * BF_US_PER_S)
#define STARTED_WALL_US (50 * BF_US_PER_S)

/* ---- model of a target, its node and the store ---- */

typedef enum event {
	EVENT_HEARTBEAT,      /* sent and received */
	EVENT_SEND_LATE,      /* sent, still on its way */
	EVENT_RECEIVE_LATE,   /* the oldest one on its way is received */
	EVENT_DRAIN,          /* a heartbeat with "draining", acknowledged */
	EVENT_DEPART,         /* a departure, acknowledged */
	EVENT_KILL,           /* of the node; it starts again */
	EVENT_STORE_DOWN,     /* or up again */
	EVENT_REPLACE,        /* the target ends, one of another id starts */
	EVENT_REPLACE_SAME,   /* the same with the same id */
	EVENT_CHECK_HEALTH,   /* if awaited, it is sent and answered */
	EVENT_RECEIVE_HEALTH, /* the answer is received */
	EVENT_COUNT
} event_t;

typedef struct lifetime {
	bf_heartbeat_t heartbeat; /* the last one sent */
	bool is_leaving;
	bool acknowledged; /* its leaving, by any process of the node */
} lifetime_t;

typedef struct record {
	bf_heartbeat_t heartbeat;
	bf_departure_t departure;
} record_t;

typedef struct world {
	bf_presence_t presence;
	bool is_successor;
	lifetime_t lifetimes[LIFETIMES_MAX];
	uint32_t current; /* the lifetime that runs */

	bf_heartbeat_t late[EVENTS_MAX];
	uint32_t late_count;

	bool health_sent;
	bool health_good;
	char health_id[BF_NAME_BYTES];

	bool store_down;
	bool restored; /* this process has read the record */
	bool has_record;
	record_t record;

	event_t events[EVENTS_MAX];
	uint32_t event_count;
} world_t;

static lifetime_t *
running(world_t *world)
{
	return &world->lifetimes[world->current];
}

static void
start_lifetime(world_t *world, uint32_t number, const char *id)
{
	lifetime_t *lifetime = &world->lifetimes[number];

	world->current = number;
	*lifetime = (lifetime_t){ .is_leaving = false };
	g_strlcpy(lifetime->heartbeat.id, id, sizeof(lifetime->heartbeat.id));
	lifetime->heartbeat.start_ms = UINT64_C(1000) * (number + 1);
}

static void
init_world(world_t *world)
{
	memset(world, 0, sizeof(*world));
	bf_presence_init(&world->presence, STARTED_WALL_US, false);
	start_lifetime(world, 0, "a");
	world->restored = true;
}

/* A check belongs to the lifetime for which it was sent. */
static void
receive(world_t *world, const bf_heartbeat_t *heartbeat)
{
	if (bf_presence_heartbeat(&world->presence, heartbeat, NOW_US)
		.new_lifetime)
		world->health_sent = false;
}

/* A write reaches the store before the next event, unless that is a kill. */
static void
write_record(world_t *world)
{
	const bf_presence_t *presence = &world->presence;

	if (world->store_down || !world->restored)
		return;
	world->has_record = true;
	world->record.heartbeat = presence->heartbeat;
	world->record.heartbeat.draining = bf_presence_is_leaving(presence);
	world->record.departure = presence->departures[0];
}

static void
read_record(world_t *world)
{
	if (world->store_down || world->restored)
		return;
	world->restored = true;
	if (!world->has_record)
		return;
	if (world->record.departure.id[0] != '\0')
		(void)bf_presence_restore_departure(
		    &world->presence, &world->record.departure, NOW_US);
	if (world->record.heartbeat.id[0] != '\0' &&
	    bf_presence_restore(
		&world->presence, &world->record.heartbeat, NOW_US)
		.new_lifetime)
		world->health_sent = false;
}

/* Returns whether the event can happen now. */
static bool
play(world_t *world, event_t event)
{
	lifetime_t *lifetime = running(world);

	if (event != EVENT_KILL)
		write_record(world);
	switch (event) {
	case EVENT_HEARTBEAT:
	case EVENT_SEND_LATE:
		if (lifetime->is_leaving)
			return false;
		lifetime->heartbeat.sequence++;
		if (event == EVENT_HEARTBEAT)
			receive(world, &lifetime->heartbeat);
		else
			world->late[world->late_count++] = lifetime->heartbeat;
		break;
	case EVENT_RECEIVE_LATE:
		if (world->late_count == 0)
			return false;
		receive(world, &world->late[0]);
		memmove(&world->late[0], &world->late[1],
		    --world->late_count * sizeof(world->late[0]));
		break;
	case EVENT_DRAIN:
		if (lifetime->is_leaving)
			return false;
		lifetime->is_leaving = lifetime->acknowledged = true;
		lifetime->heartbeat.sequence++;
		lifetime->heartbeat.draining = true;
		receive(world, &lifetime->heartbeat);
		break;
	case EVENT_DEPART:
		if (lifetime->acknowledged && !lifetime->heartbeat.draining)
			return false;
		lifetime->is_leaving = lifetime->acknowledged = true;
		(void)bf_presence_depart(&world->presence,
		    lifetime->heartbeat.id, lifetime->heartbeat.start_ms,
		    NOW_US);
		break;
	case EVENT_KILL:
		bf_presence_init(&world->presence, STARTED_WALL_US, true);
		world->is_successor = true;
		world->restored = false;
		world->health_sent = false;
		read_record(world);
		break;
	case EVENT_STORE_DOWN:
		world->store_down = !world->store_down;
		read_record(world);
		break;
	case EVENT_REPLACE:
		start_lifetime(world, world->current + 1,
		    strcmp(lifetime->heartbeat.id, "a") == 0 ? "b" : "a");
		break;
	case EVENT_REPLACE_SAME:
		start_lifetime(
		    world, world->current + 1, lifetime->heartbeat.id);
		break;
	case EVENT_CHECK_HEALTH:
		if (world->health_sent ||
		    !bf_presence_awaits_health(&world->presence))
			return false;
		world->health_sent = true;
		world->health_good = !lifetime->is_leaving;
		g_strlcpy(world->health_id, lifetime->heartbeat.id,
		    sizeof(world->health_id));
		break;
	case EVENT_RECEIVE_HEALTH:
		if (!world->health_sent)
			return false;
		world->health_sent = false;
		if (world->health_good &&
		    strcmp(world->health_id, world->presence.heartbeat.id) == 0)
			(void)bf_presence_confirm(&world->presence);
		break;
	case EVENT_COUNT:
		g_assert_not_reached();
	}
	return true;
}

static void
fail(const world_t *world, const char *what)
{
	static const char *const names[EVENT_COUNT] = { "heartbeat",
		"send-late", "receive-late", "drain", "depart", "kill", "store",
		"replace", "replace-same", "check-health", "receive-health" };
	GString *text = g_string_new(what);
	uint32_t i;

	for (i = 0; i < world->event_count; i++)
		g_string_append_printf(text, " %s", names[world->events[i]]);
	g_error("%s", text->str);
}

/*
 * No lifetime gets calls once its leaving was acknowledged.  Calls and health
 * checks name an id, not a start: a later lifetime of the same id that is not
 * leaving may have answered for it, and is the one that runs them.
 */
static void
check_gone(const world_t *world)
{
	const bf_heartbeat_t *taken = &world->presence.heartbeat;
	const lifetime_t *lifetime;
	bool has_left = false;
	uint32_t i;

	for (i = 0; i <= world->current; i++) {
		lifetime = &world->lifetimes[i];
		if (strcmp(lifetime->heartbeat.id, taken->id) == 0 &&
		    lifetime->heartbeat.start_ms >= taken->start_ms)
			has_left = lifetime->acknowledged;
	}
	if (has_left && world->presence.state == BF_TARGET_READY)
		fail(world, "a target that has left is ready:");
}

/*
 * A target that runs gets calls from its next heartbeat on, without a health
 * check if its node was not killed.
 */
static void
check_taken(const world_t *before)
{
	world_t world = *before;

	if (running(&world)->is_leaving)
		return;
	(void)play(&world, EVENT_HEARTBEAT);
	if (world.is_successor) {
		(void)play(&world, EVENT_CHECK_HEALTH);
		(void)play(&world, EVENT_RECEIVE_HEALTH);
		/* The answer was that of a check sent before. */
		(void)play(&world, EVENT_CHECK_HEALTH);
		(void)play(&world, EVENT_RECEIVE_HEALTH);
	}
	if (world.presence.state != BF_TARGET_READY)
		fail(&world, "a target that runs is not ready:");
	if (world.presence.heartbeat.start_ms !=
	    running(&world)->heartbeat.start_ms)
		fail(&world, "not the lifetime that runs:");
}

static uint64_t
walk(const world_t *before)
{
	uint64_t orders = 0;
	world_t world;
	int event;

	check_taken(before);
	if (before->event_count == EVENTS_MAX)
		return 1;
	for (event = 0; event < EVENT_COUNT; event++) {
		world = *before;
		world.events[world.event_count++] = (event_t)event;
		if (!play(&world, (event_t)event))
			continue;
		check_gone(&world);
		orders += walk(&world);
	}
	return orders;
}

/*
 * All orders of seven events, the first of which has made the target known.  An
 * acknowledged departure that no record holds, followed by a kill and a late
 * heartbeat, gave the target calls again.
 */
static void
test_orders(void)
{
	uint64_t orders;
	world_t world;

	init_world(&world);
	(void)play(&world, EVENT_HEARTBEAT);
	orders = walk(&world);
	g_test_message("%llu orders", (unsigned long long)orders);
	g_assert_cmpuint(orders, >, 100000);
}

/* The same from the first event of a node on. */
static void
test_orders_unknown(void)
{
	world_t world;

	init_world(&world);
	g_assert_cmpuint(walk(&world), >, 100000);
}

/* ---- single rules ---- */

static bf_heartbeat_t
heartbeat(const char *id, uint64_t start_ms, uint64_t sequence)
{
	bf_heartbeat_t out = { .start_ms = start_ms, .sequence = sequence };

	g_strlcpy(out.id, id, sizeof(out.id));
	return out;
}

static bf_target_state_t
receive_at(bf_presence_t *presence, const char *id, uint64_t start_ms,
    uint64_t sequence, bf_time_us_t now_us)
{
	bf_heartbeat_t received = heartbeat(id, start_ms, sequence);

	(void)bf_presence_heartbeat(presence, &received, now_us);
	return presence->state;
}

/* A target that was started after its node's process needs no check. */
static void
test_started_later(void)
{
	bf_presence_t presence;
	uint64_t started_ms = STARTED_WALL_US / BF_US_PER_MS;

	bf_presence_init(&presence, STARTED_WALL_US, true);
	g_assert_cmpint(receive_at(&presence, "a", started_ms - 1, 1, NOW_US),
	    ==, BF_TARGET_ABSENT);
	g_assert_true(bf_presence_awaits_health(&presence));
	g_assert_cmpint(
	    receive_at(&presence, "b", started_ms + 10000, 1, NOW_US), ==,
	    BF_TARGET_READY);
}

/*
 * A target whose health check fails falsely is used after 8 s of heartbeats;
 * a late one alone does not bring one back that has left.
 */
static void
test_false_health(void)
{
	bf_presence_t presence;
	bf_time_us_t at_us;

	bf_presence_init(&presence, STARTED_WALL_US, true);
	for (at_us = 0; at_us < 8 * BF_US_PER_S; at_us += BF_US_PER_S)
		g_assert_cmpint(
		    receive_at(&presence, "a", 1000,
			(uint64_t)(at_us / BF_US_PER_S) + 2, NOW_US + at_us),
		    ==, BF_TARGET_ABSENT);
	g_assert_cmpint(
	    receive_at(&presence, "a", 1000, 1, NOW_US + 20 * BF_US_PER_S), ==,
	    BF_TARGET_ABSENT);
	g_assert_cmpint(receive_at(&presence, "a", 1000, 99, NOW_US + at_us),
	    ==, BF_TARGET_READY);
}

/*
 * A heartbeat of another writer, without a start, and with the greatest
 * sequence, replaces nothing and shuts nothing out.
 */
static void
test_without_start(void)
{
	const uint64_t greatest = ((uint64_t)1 << 53) - 1;
	bf_presence_t presence;

	bf_presence_init(&presence, STARTED_WALL_US, false);
	(void)receive_at(&presence, "a", 0, greatest, NOW_US);
	(void)receive_at(&presence, "a", 1000, 1, NOW_US);
	g_assert_cmpuint(presence.heartbeat.start_ms, ==, 1000);
	(void)receive_at(&presence, "a", 0, greatest, NOW_US);
	(void)receive_at(&presence, "b", 0, greatest, NOW_US);
	g_assert_cmpuint(presence.heartbeat.sequence, ==, 1);
	g_assert_cmpstr(presence.heartbeat.id, ==, "a");
	g_assert_cmpint(
	    receive_at(&presence, "a", 1000, 2, NOW_US), ==, BF_TARGET_READY);
}

/*
 * A departure is acknowledged before the first heartbeat of its lifetime, while
 * an earlier one is current.
 */
static void
test_departed_before_heartbeat(void)
{
	bf_presence_t presence;

	bf_presence_init(&presence, STARTED_WALL_US, false);
	(void)receive_at(&presence, "a", 1000, 1, NOW_US);
	g_assert_true(bf_presence_depart(&presence, "b", 2000, NOW_US));
	g_assert_true(bf_presence_depart(&presence, "a", 3000, NOW_US));
	g_assert_cmpint(presence.state, ==, BF_TARGET_DRAINING);
	g_assert_cmpint(receive_at(&presence, "b", 2000, 1, NOW_US), ==,
	    BF_TARGET_DRAINING);
	g_assert_cmpint(receive_at(&presence, "a", 3000, 1, NOW_US), ==,
	    BF_TARGET_DRAINING);
	/* Late, of a lifetime that is not current any more. */
	g_assert_false(bf_presence_depart(&presence, "a", 1000, NOW_US));
	g_assert_cmpint(
	    receive_at(&presence, "a", 4000, 1, NOW_US), ==, BF_TARGET_READY);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/presence/orders", test_orders);
	g_test_add_func("/presence/orders-unknown", test_orders_unknown);
	g_test_add_func("/presence/started-later", test_started_later);
	g_test_add_func("/presence/false-health", test_false_health);
	g_test_add_func("/presence/without-start", test_without_start);
	g_test_add_func("/presence/departed-before-heartbeat",
	    test_departed_before_heartbeat);
	return g_test_run();
}
