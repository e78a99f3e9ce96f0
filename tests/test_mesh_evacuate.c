#include <apr_general.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/mesh_fixture.h"

/*
 * Mesh nodes while availability zones are evacuated, and with cold targets:
 * which targets get calls, and how many.  Nodes of odd number are in zone "b",
 * the others in zone "a".
 */

#define CONFIG                           \
	"5\n"                            \
	"/read/ safe shop 800 200 2 2\n" \
	"/pay/ unsafe shop 800 200 2 1\n"
#define COLD_CONFIG                         \
	"5\n"                               \
	"cold shop 13\n"                    \
	"/pay/ unsafe shop 2000 1500 2 1\n" \
	"/now/ unsafe shop 800 200 2 1\n"
#define COLD_CALLS_MAX 27 /* in a second: 13 x 1.5 + 8 */

#define WAIT_US (3 * BF_US_PER_S)
#define TIMEOUT_MS 800
#define SETTLE_US (150 * BF_US_PER_MS)
/* Well below the 5 s within which an evacuation must be in force. */
#define EVACUATE_SETTLE_US (700 * BF_US_PER_MS)

static const bf_mesh_options_t with_settings = {
	.cold_over_ppm = 1500000,
	.cold_slack = 8,
	.evacuate_ms = 5000,
};

static mesh_fixture_t *
new_configured(uint32_t nodes, const char *config)
{
	mesh_fixture_t *fixture =
	    fixture_new_with_options(nodes, &with_settings);

	fixture_configure(fixture, config);
	return fixture;
}

static void
evacuate(mesh_fixture_t *fixture, const char *key)
{
	fixture_put(fixture, key, "1");
	fixture_run(fixture, EVACUATE_SETTLE_US);
}

static void
end_evacuation(mesh_fixture_t *fixture, const char *key)
{
	fixture_delete(fixture, key);
	fixture_run(fixture, EVACUATE_SETTLE_US);
}

static uint32_t
runs_in_zone(const mesh_fixture_t *fixture, uint32_t first)
{
	uint32_t count = 0, i;

	for (i = first; i < fixture->node_count; i += 2)
		count += fixture->targets[i].run_count;
	return count;
}

/* Sends calls one after another; returns how many were answered with 200. */
static uint32_t
send_calls(
    mesh_fixture_t *fixture, uint32_t node, const char *name, uint32_t count)
{
	uint32_t answered = 0, i;
	test_call_t call;
	char id[32];

	for (i = 0; i < count; i++) {
		(void)snprintf(id, sizeof(id), "%s%u", name, i);
		fixture_send(
		    fixture, &call, node, "POST", "/pay/x", id, TIMEOUT_MS, 0);
		g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
		bf_http_client_reset(&call.client);
		answered += call.status == 200 ? 1 : 0;
		if (call.status == 200)
			g_assert_cmpuint(
			    fixture_count_runs(fixture, id), ==, 1);
	}
	return answered;
}

/*
 * Callers in both zones are served by the other zone only, from the evacuation
 * until its end.
 */
static void
test_evacuated(void)
{
	mesh_fixture_t *fixture = new_configured(4, CONFIG);
	uint32_t before;

	g_assert_cmpuint(send_calls(fixture, 0, "x", 5), ==, 5);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 5);
	evacuate(fixture, "ops/evacuate/a");
	g_assert_cmpuint(send_calls(fixture, 0, "a", 10), ==, 10);
	g_assert_cmpuint(send_calls(fixture, 1, "b", 10), ==, 10);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 5);
	g_assert_cmpuint(runs_in_zone(fixture, 1), ==, 20);
	end_evacuation(fixture, "ops/evacuate/a");
	before = runs_in_zone(fixture, 1);
	g_assert_cmpuint(send_calls(fixture, 0, "c", 10), ==, 10);
	g_assert_cmpuint(runs_in_zone(fixture, 1), ==, before);
	fixture_free(fixture);
}

/* Without any place left, calls are refused as not run, with a pause. */
static void
test_all_evacuated(void)
{
	mesh_fixture_t *fixture = new_configured(2, CONFIG);
	test_call_t call;

	fixture_put(fixture, "ops/evacuate/a", "1");
	evacuate(fixture, "ops/evacuate/b");
	fixture_send(fixture, &call, 0, "POST", "/pay/x", "n", TIMEOUT_MS, 0);
	g_assert_true(fixture_await(fixture, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpfloat(call.retry_after_s, >, 0);
	g_assert_cmpuint(fixture_count_runs(fixture, "n"), ==, 0);
	fixture_free(fixture);
}

/*
 * Calls that wait beside a target when its zone is evacuated run elsewhere,
 * exactly once; those that run there end.
 */
static void
test_waiting_calls(void)
{
	mesh_fixture_t *fixture = new_configured(2, COLD_CONFIG);
	test_call_t calls[12];
	uint32_t i, begun;
	char id[16];

	/* Node 1's target is not ready yet, so all wait beside node 0's. */
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", true), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	fixture->targets[0].delay_us = 600 * BF_US_PER_MS;
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		(void)snprintf(id, sizeof(id), "w%u", i);
		fixture_send(
		    fixture, &calls[i], i % 2, "POST", "/pay/x", id, 2000, 0);
	}
	fixture_run(fixture, 50 * BF_US_PER_MS);
	begun = fixture->targets[0].run_count;
	g_assert_cmpuint(begun, ==, TARGET_SLOTS);
	g_assert_cmpuint(fixture->nodes[0]->target.queue.count, >, 0);
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", false), ==, BF_OK);
	fixture_run(fixture, SETTLE_US);
	fixture_put(fixture, "ops/evacuate/a", "1");
	g_assert_true(
	    fixture_await(fixture, calls, G_N_ELEMENTS(calls), WAIT_US));
	g_assert_cmpuint(fixture->targets[0].run_count, ==, begun);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		(void)snprintf(id, sizeof(id), "w%u", i);
		bf_http_client_reset(&calls[i].client);
		g_assert_cmpuint(calls[i].status, ==, 200);
		g_assert_cmpuint(fixture_count_runs(fixture, id), ==, 1);
	}
	g_assert_cmpuint(fixture->targets[1].run_count, ==,
	    G_N_ELEMENTS(calls) - TARGET_SLOTS);
	fixture_free(fixture);
}

/*
 * A zone that cannot reach the store learns of an evacuation, and of its end,
 * from the relays of the other zone.
 */
static void
test_zone_cut_from_the_store(void)
{
	mesh_fixture_t *fixture = new_configured(4, CONFIG);
	uint32_t i;

	for (i = 0; i < 4; i += 2)
		fixture->accesses[i].cut = true;
	fixture_run(fixture, SETTLE_US);
	evacuate(fixture, "ops/evacuate/a");
	g_assert_cmpuint(send_calls(fixture, 0, "a", 10), ==, 10);
	g_assert_cmpuint(send_calls(fixture, 2, "b", 10), ==, 10);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 0);
	end_evacuation(fixture, "ops/evacuate/a");
	g_assert_cmpuint(send_calls(fixture, 0, "c", 10), ==, 10);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 10);
	fixture_free(fixture);
}

/*
 * A key that is deleted while no watch reports changes is noticed by the next
 * list; while the store is away for all, the evacuation stays.
 */
static void
test_deleted_unseen(void)
{
	mesh_fixture_t *fixture = new_configured(4, CONFIG);

	evacuate(fixture, "ops/evacuate/a");
	fixture->store.down = true;
	fixture_delete(fixture, "ops/evacuate/a");
	fixture_run(fixture, 2 * BF_US_PER_S);
	g_assert_cmpuint(send_calls(fixture, 0, "a", 5), ==, 5);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 0);
	fixture->store.down = false;
	fixture_run(fixture, 3 * BF_US_PER_S);
	g_assert_cmpuint(send_calls(fixture, 0, "b", 5), ==, 5);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 5);
	fixture_free(fixture);
}

/*
 * A node that has just started in an evacuated zone, also one that the store
 * turns away, gives its target no call.
 */
static void
test_node_just_started(void)
{
	mesh_fixture_t *fixture = new_configured(4, CONFIG);
	uint32_t round, i;
	char name[16];

	evacuate(fixture, "ops/evacuate/a");
	for (round = 0; round < 2; round++) {
		fixture_restart_node(fixture, 2);
		/* Time to find the other nodes, but not to read all keys. */
		fixture_run(fixture, 10 * BF_US_PER_MS);
		fixture->accesses[2].cut = round == 1;
		/* Its target is ready before it knows anything. */
		g_assert_cmpint(
		    fixture_heartbeat(fixture, 2, "v1", false), ==, BF_OK);
		for (i = 0; i < 10; i++) {
			fixture_run(fixture, 50 * BF_US_PER_MS);
			(void)snprintf(name, sizeof(name), "r%u-%u-", round, i);
			(void)send_calls(fixture, i % 2 == 0 ? 2 : 0, name, 1);
		}
		g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 0);
		(void)snprintf(name, sizeof(name), "t%u-", round);
		g_assert_cmpuint(send_calls(fixture, 2, name, 5), ==, 5);
		g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 0);
	}
	end_evacuation(fixture, "ops/evacuate/a");
	g_assert_cmpuint(send_calls(fixture, 2, "u", 5), ==, 5);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 5);
	fixture_free(fixture);
}

/*
 * A process that knows of no reading gives its target no call, for as long as
 * an evacuation may take, and without the setting at once.
 */
static void
test_unknown_set(void)
{
	mesh_fixture_t *fixture = fixture_new_with_options(1, &with_settings);
	const bf_mesh_t *mesh;

	fixture->store.down = true;
	fixture_restart_node(fixture, 0);
	mesh = fixture->nodes[0];
	g_assert_true(bf_evacuation_holds(
	    mesh, mesh->start_us + 5000 * BF_US_PER_MS - 1));
	g_assert_false(
	    bf_evacuation_holds(mesh, mesh->start_us + 5000 * BF_US_PER_MS));
	fixture->store.down = false;
	fixture_configure(fixture, CONFIG);
	fixture_run(fixture, BF_US_PER_S);
	g_assert_false(bf_evacuation_holds(mesh, bf_clock_monotonic_us()));
	fixture_free(fixture);
	fixture = fixture_new(1);
	fixture_restart_node(fixture, 0);
	g_assert_false(
	    bf_evacuation_holds(fixture->nodes[0], bf_clock_monotonic_us()));
	fixture_free(fixture);
}

/*
 * Without the setting and without any evacuation, nodes send each other no set,
 * so that older ones see the bytes that they always saw; a node that missed the
 * end of an evacuation is corrected by a relay that sees its older set.
 */
static void
test_without_settings(void)
{
	mesh_fixture_t *fixture = fixture_new(2);

	fixture_configure(fixture, CONFIG);
	evacuate(fixture, "ops/evacuate/a");
	g_assert_cmpuint(send_calls(fixture, 0, "a", 5), ==, 5);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 0);
	/* Node 0 is cut off; node 1 starts again after the end. */
	fixture->accesses[0].cut = true;
	bf_mesh_free(fixture->nodes[1]);
	fixture_delete(fixture, "ops/evacuate/a");
	fixture_start_node(fixture, 1);
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", false), ==, BF_OK);
	fixture_run(fixture, 3 * BF_US_PER_S);
	g_assert_cmpuint(send_calls(fixture, 0, "b", 5), ==, 5);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 5);
	fixture_free(fixture);
}

/* The most runs that a target received in any one second. */
static uint32_t
most_runs_in_a_second(const fake_target_t *target, uint32_t first)
{
	uint32_t most = 0, last, from = first;

	for (last = first; last < target->run_count; last++) {
		while (target->runs[last].received_at_us -
			target->runs[from].received_at_us >
		    BF_US_PER_S)
			from++;
		most = MAX(most, last - from + 1);
	}
	return most;
}

/* Sends calls at this rate to a node, and waits until they have ended. */
static uint32_t
send_steadily(mesh_fixture_t *fixture, uint32_t node, const char *path,
    test_call_t *calls, uint32_t count, bf_time_us_t interval_us)
{
	bf_time_us_t next_us = bf_clock_monotonic_us();
	uint32_t answered = 0, i;
	char id[16];

	for (i = 0; i < count; i++) {
		(void)snprintf(id, sizeof(id), "m%u", i);
		fixture_send(
		    fixture, &calls[i], node, "POST", path, id, 2000, 0);
		/* The loop also stops when a call ends. */
		next_us += interval_us;
		while (bf_clock_monotonic_us() < next_us)
			fixture_run(fixture, next_us - bf_clock_monotonic_us());
	}
	g_assert_true(fixture_await(fixture, calls, count, WAIT_US));
	for (i = 0; i < count; i++) {
		bf_http_client_reset(&calls[i].client);
		answered += calls[i].status == 200 ? 1 : 0;
		g_assert_true(calls[i].status == 200 || calls[i].status == 503);
	}
	return answered;
}

/*
 * A cold target gets no more calls in a second than its bound, the calls that
 * wait are started as the gate opens, and the others are refused at once.
 */
static void
test_cold_target(void)
{
	mesh_fixture_t *fixture = new_configured(1, COLD_CONFIG);
	fake_target_t *target = &fixture->targets[0];
	test_call_t *calls = g_new0(test_call_t, 200);
	uint32_t answered;

	target->warm_up_ms = 60000;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	g_assert_cmpuint(
	    bf_target_load(fixture->nodes[0], bf_clock_monotonic_us()).slots,
	    ==, 1);
	answered =
	    send_steadily(fixture, 0, "/pay/x", calls, 150, 20 * BF_US_PER_MS);
	g_assert_cmpuint(target->run_count, ==, answered);
	g_assert_cmpuint(most_runs_in_a_second(target, 0), <=, COLD_CALLS_MAX);
	/* The rate is used: 3 s of demand, and what waited at its end. */
	g_assert_cmpuint(answered, >=, 3 * 13 - 2);
	g_assert_cmpuint(fixture->nodes[0]->target.queue.count, ==, 0);
	/* A warm target takes all. */
	target->warm_up_ms = 0;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	fixture_run(fixture, 300 * BF_US_PER_MS);
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	target->run_count = 0;
	g_assert_cmpuint(
	    send_steadily(fixture, 0, "/pay/x", calls, 100, 5 * BF_US_PER_MS),
	    ==, 100);
	g_free(calls);
	fixture_free(fixture);
}

/* A call that the gate cannot start in time is refused at once, not queued. */
static void
test_gate_in_expected_wait(void)
{
	mesh_fixture_t *fixture = new_configured(1, COLD_CONFIG);
	fake_target_t *target = &fixture->targets[0];
	test_call_t calls[12];
	uint32_t i, refused = 0;
	char id[16];

	target->warm_up_ms = 60000;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		(void)snprintf(id, sizeof(id), "g%u", i);
		fixture_send(
		    fixture, &calls[i], 0, "POST", "/now/x", id, 800, 0);
	}
	g_assert_true(
	    fixture_await(fixture, calls, G_N_ELEMENTS(calls), WAIT_US));
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		bf_http_client_reset(&calls[i].client);
		if (calls[i].status == 200)
			continue;
		g_assert_cmpuint(calls[i].status, ==, 503);
		g_assert_cmpint(calls[i].took_us, <, 50 * BF_US_PER_MS);
		g_assert_cmpfloat(calls[i].retry_after_s, >, 0.03);
		refused++;
	}
	g_assert_cmpuint(refused, >=, 8);
	g_assert_cmpuint(refused, <, G_N_ELEMENTS(calls));
	g_assert_cmpuint(target->run_count, ==, G_N_ELEMENTS(calls) - refused);
	fixture_free(fixture);
}

/*
 * A target that turns cold after its last heartbeat, while its zone is
 * evacuated, is not taken for warm when the evacuation ends, whether its health
 * response says so or says nothing.
 */
static void
check_cold_after_evacuation(bool hides_warm_up)
{
	mesh_fixture_t *fixture = new_configured(2, COLD_CONFIG);
	fake_target_t *target = &fixture->targets[0];
	test_call_t *calls = g_new0(test_call_t, 200);
	uint32_t checks;

	evacuate(fixture, "ops/evacuate/a");
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	target->warm_up_ms = 60000;
	target->hides_warm_up = hides_warm_up;
	checks = target->health_checks;
	/* The only other place is gone, so all calls come here. */
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", true), ==, BF_OK);
	fixture_delete(fixture, "ops/evacuate/a");
	(void)send_steadily(
	    fixture, 0, "/pay/x", calls, 150, 20 * BF_US_PER_MS);
	g_assert_cmpuint(target->health_checks, ==, checks + 1);
	g_assert_cmpuint(target->run_count, >, 10);
	g_assert_cmpuint(most_runs_in_a_second(target, 0), <=, COLD_CALLS_MAX);
	g_free(calls);
	fixture_free(fixture);
}

static void
test_cold_after_evacuation(void)
{
	check_cold_after_evacuation(false);
	check_cold_after_evacuation(true);
}

/*
 * A node that is started again while its target is cold, and restores it from
 * a record in which it was warm, keeps the bound over both processes.
 */
static void
test_restart_beside_cold_target(void)
{
	mesh_fixture_t *fixture = new_configured(2, COLD_CONFIG);
	fake_target_t *target = &fixture->targets[0];
	test_call_t *calls = g_new0(test_call_t, 200);

	fixture_run(fixture, SETTLE_US);
	target->warm_up_ms = 60000;
	g_assert_cmpint(fixture_heartbeat(fixture, 0, "v1", false), ==, BF_OK);
	g_assert_cmpint(fixture_heartbeat(fixture, 1, "v1", true), ==, BF_OK);
	fixture_run(fixture, 1500 * BF_US_PER_MS);
	target->hides_warm_up = true;
	(void)send_steadily(fixture, 0, "/pay/x", calls, 40, BF_US_PER_MS);
	fixture_restart_node(fixture, 0);
	fixture_run(fixture, SETTLE_US);
	(void)send_steadily(
	    fixture, 0, "/pay/x", calls, 150, 20 * BF_US_PER_MS);
	g_assert_cmpuint(target->run_count, >, 20);
	g_assert_cmpuint(most_runs_in_a_second(target, 0), <=, COLD_CALLS_MAX);
	g_free(calls);
	fixture_free(fixture);
}

/* A route whose region is the other zone's is served there only. */
static void
test_allowed_regions(void)
{
	static const char *const zones[] = { "a=north", "b=south" };
	const bf_mesh_options_t options = { .zones = zones, .zone_count = 2 };
	mesh_fixture_t *fixture = fixture_new_with_options(4, &options);

	fixture_configure(fixture,
	    "5\n"
	    "/read/ safe shop 800 200 2 2\n"
	    "/pay/ unsafe shop 800 200 2 1 south\n");
	g_assert_cmpuint(send_calls(fixture, 0, "a", 10), ==, 10);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 0);
	g_assert_cmpuint(runs_in_zone(fixture, 1), ==, 10);
	evacuate(fixture, "ops/evacuate/b");
	g_assert_cmpuint(send_calls(fixture, 0, "b", 3), ==, 0);
	g_assert_cmpuint(runs_in_zone(fixture, 0), ==, 0);
	fixture_free(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	(void)apr_initialize();
	g_test_add_func("/evacuate/zone", test_evacuated);
	g_test_add_func("/evacuate/all", test_all_evacuated);
	g_test_add_func("/evacuate/waiting", test_waiting_calls);
	g_test_add_func("/evacuate/cut-zone", test_zone_cut_from_the_store);
	g_test_add_func("/evacuate/deleted-unseen", test_deleted_unseen);
	g_test_add_func("/evacuate/just-started", test_node_just_started);
	g_test_add_func("/evacuate/unknown", test_unknown_set);
	g_test_add_func("/evacuate/without-settings", test_without_settings);
	g_test_add_func("/cold/target", test_cold_target);
	g_test_add_func("/cold/expected-wait", test_gate_in_expected_wait);
	g_test_add_func("/cold/after-evacuation", test_cold_after_evacuation);
	g_test_add_func("/cold/restart", test_restart_beside_cold_target);
	g_test_add_func("/regions/allowed", test_allowed_regions);
	return g_test_run();
}
