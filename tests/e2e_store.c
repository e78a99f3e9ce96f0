/*
 * While the platform's store fails, calls must continue, each accepted
 * configuration must become exactly one version, and no node may serve an older
 * version.
 */
#include <string.h>

#include "tests/link_fixture.h"

#define THREADS 4
#define CALLS 200
#define OBSERVATION_US 4000000
#define POLL_INTERVAL_US 20000

/* Exit codes of basilctl. */
#define CTL_ACCEPTED 0
#define CTL_CONFLICT 3
#define CTL_UNAVAILABLE 4
#define CTL_UNSETTLED 5

typedef struct fixture {
	harness_t *h;
	mesh_t *mesh;
} fixture_t;

static void
set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->h = harness_new();
	f->mesh = callers_start_mesh(f->h, "--work-ms=5");
}

static void
tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	mesh_free(f->mesh);
	harness_free(f->h);
}

static void
inject_store_fault(fixture_t *f, const char *fault)
{
	g_free(harness_request("PUT", "http://%s/standin/fault?%s",
	    f->mesh->store->address, fault));
}

/*
 * Writes callers_intent, and with second_service a service with this queue_ms;
 * returns the folder.
 */
static const char *
write_intent(fixture_t *f, unsigned int queue_ms, bool second_service)
{
	g_autofree char *base = callers_intent("v1 = 100");
	g_autofree char *text = NULL;

	text = g_strdup_printf("%s\n[service.other]\nhost = \"other\"\n"
			       "queue_ms = %u\n"
			       "[service.other.split]\nv1 = 1\n"
			       "[service.other.route.all]\npath = \"/*\"\n"
			       "calls = \"plain\"\ndeadline_ms = 1000\n",
	    base, queue_ms);
	return mesh_write_intent(f->mesh, second_service ? text : base);
}

static int
apply(fixture_t *f, const char *folder)
{
	return mesh_run_ctl(f->mesh, "apply", folder, NULL);
}

/* Returns how often the head was written. */
static unsigned int
count_head_writes(fixture_t *f)
{
	g_autofree char *text = NULL;
	json_t *counts, *write;
	unsigned int found;
	size_t i;

	text = harness_request(
	    "GET", "http://%s/standin/counts", f->mesh->store->address);
	counts = json_loads(text, 0, NULL);
	found = 0;
	json_array_foreach (json_object_get(counts, "writes"), i, write) {
		found +=
		    strcmp(json_string_value(json_object_get(write, "key")),
			"basilfork/head") == 0;
	}
	json_decref(counts);
	return found;
}

static void
test_calls_continue_while_the_store_is_down(fixture_t *f, gconstpointer data)
{
	callers_result_t result;
	callers_t *callers;

	(void)data;
	callers = callers_start(f->mesh, CALLERS_ENTRY_NODE, THREADS);
	callers_wait_calls(callers, CALLS);
	inject_store_fault(f, "down=on&lapse_lease=all");
	g_assert_cmpint(
	    apply(f, write_intent(f, 10, true)), ==, CTL_UNAVAILABLE);
	g_assert_cmpuint(count_head_writes(f), ==, 1);
	callers_wait_calls(callers, CALLS);
	inject_store_fault(f, "down=off");
	g_assert_cmpint(apply(f, write_intent(f, 10, true)), ==, CTL_ACCEPTED);
	mesh_wait_version(f->mesh, 2);
	/* Slow, but within the timeouts of basilctl and of the nodes. */
	inject_store_fault(f, "slow_ms=500");
	g_assert_cmpint(apply(f, write_intent(f, 11, true)), ==, CTL_ACCEPTED);
	mesh_wait_version(f->mesh, 3);
	callers_wait_calls(callers, CALLS);
	result = callers_stop(callers);
	callers_expect_no_violation(&result);
	g_assert_cmpuint(result.unknown + result.not_run, ==, 0);
	mesh_expect_growing_versions(f->mesh);
}

/* Returns the id after the last "--submission" that basilctl printed. */
static char *
last_submission_id(fixture_t *f)
{
	g_autofree char *text = NULL;
	const char *id;

	g_assert_true(g_file_get_contents(
	    harness_path(f->h, "ctl.err"), &text, NULL, NULL));
	id = g_strrstr(text, "--submission ");
	g_assert_nonnull(id);
	id += strlen("--submission ");
	return g_strndup(id, strcspn(id, " \n"));
}

/*
 * A submission must create one version, however many answers are lost.
 * Removing a service writes only the head, so that the answer to that write is
 * lost.
 */
static void
test_lost_answers_are_retried(fixture_t *f, gconstpointer data)
{
	g_autofree char *fault = NULL;
	const char *folder;
	int64_t version;
	unsigned int lost;
	int status;

	(void)data;
	version = 1;
	for (lost = 1; lost <= 12; lost++) {
		folder = write_intent(f, lost, lost % 2 == 1);
		g_free(fault);
		fault = g_strdup_printf(
		    "lose_answer_after_write=%u", (lost + 1) / 2);
		inject_store_fault(f, fault);
		status = apply(f, folder);
		while (status == CTL_UNSETTLED) {
			g_autofree char *id = last_submission_id(f);

			status = mesh_run_ctl(
			    f->mesh, "apply", folder, "--submission", id, NULL);
		}
		g_assert_cmpint(status, ==, CTL_ACCEPTED);
		inject_store_fault(f, "lose_answer_after_write=0");
		version++;
		mesh_wait_version(f->mesh, version);
		g_assert_cmpuint(count_head_writes(f), ==, version);
	}
	mesh_expect_growing_versions(f->mesh);
}

static harness_process_t *
start_apply(
    fixture_t *f, const char *name, const char *folder, const char *version)
{
	return harness_start(f->h, name, "basilctl", "--settings",
	    f->mesh->ctl_settings_path, "apply", folder, "--version", version,
	    NULL);
}

/* Of two changes based on the same version exactly one is accepted. */
static void
test_concurrent_applies_conflict(fixture_t *f, gconstpointer data)
{
	g_autofree char *text = NULL;
	harness_process_t *a, *b;
	const char *folder_a, *folder_b, *conflict_log;
	unsigned int round;
	int status_a, status_b;

	(void)data;
	inject_store_fault(f, "slow_ms=100");
	for (round = 1; round <= 4; round++) {
		g_autofree char *base_version = g_strdup_printf("%u", round);

		folder_a = write_intent(f, round * 2, true);
		folder_b = write_intent(f, round * 2 + 1, true);
		a = start_apply(f, "ctl-a", folder_a, base_version);
		b = start_apply(f, "ctl-b", folder_b, base_version);
		status_a = harness_wait(a);
		status_b = harness_wait(b);
		g_assert_cmpint(status_a + status_b, ==, CTL_CONFLICT);
		g_assert_true(
		    status_a == CTL_ACCEPTED || status_b == CTL_ACCEPTED);
		g_assert_cmpuint(count_head_writes(f), ==, round + 1);
		mesh_wait_version(f->mesh, round + 1);
	}
	conflict_log = status_a == CTL_CONFLICT ? "ctl-a.err" : "ctl-b.err";
	g_assert_true(g_file_get_contents(
	    harness_path(f->h, conflict_log), &text, NULL, NULL));
	g_assert_nonnull(strstr(text, "version 5"));
	g_assert_nonnull(strstr(text, "service.other.queue_ms"));
	mesh_expect_growing_versions(f->mesh);
}

static void
kill_and_restart(fixture_t *f, unsigned int first)
{
	unsigned int i;

	for (i = first; i < mesh_node_count(f->mesh); i++)
		harness_signal(f->mesh->nodes[i].process, SIGKILL);
	for (i = first; i < mesh_node_count(f->mesh); i++)
		harness_wait(f->mesh->nodes[i].process);
	for (i = first; i < mesh_node_count(f->mesh); i++)
		mesh_start_node(f->mesh, i);
}

/* Watches that nodes from first on have this version or none in force. */
static void
expect_version_or_none(fixture_t *f, unsigned int first, int64_t version)
{
	int64_t observed;
	gint64 until_us;
	unsigned int i;

	until_us = g_get_monotonic_time() + OBSERVATION_US;
	while (g_get_monotonic_time() < until_us) {
		for (i = first; i < mesh_node_count(f->mesh); i++) {
			observed = mesh_version(&f->mesh->nodes[i]);
			if (observed != 0 && observed != version)
				g_error("%s serves version %" G_GINT64_FORMAT
					" after %" G_GINT64_FORMAT,
				    f->mesh->nodes[i].instance, observed,
				    version);
		}
		g_usleep(POLL_INTERVAL_US);
	}
}

static void
test_mass_restart_without_the_store(fixture_t *f, gconstpointer data)
{
	g_autoptr(harness_answer_t) answer = NULL;
	g_autofree char *outcome = NULL;

	(void)data;
	g_assert_cmpint(apply(f, write_intent(f, 10, true)), ==, CTL_ACCEPTED);
	mesh_wait_version(f->mesh, 2);
	inject_store_fault(f, "down=on");
	kill_and_restart(f, 0);
	expect_version_or_none(f, 0, 2);
	answer = mesh_call(f->mesh, CALLERS_ENTRY_NODE, "POST", CALLERS_SERVICE,
	    "/note", "early", "x", 1);
	outcome = harness_answer_header(answer, "Basilfork-Outcome");
	g_assert_cmpstr(outcome, ==, "not-run");
	inject_store_fault(f, "down=off");
	mesh_wait_version(f->mesh, 2);
	/* Restart all but one: they get the version from the remaining one. */
	g_assert_cmpint(apply(f, write_intent(f, 11, true)), ==, CTL_ACCEPTED);
	mesh_wait_version(f->mesh, 3);
	inject_store_fault(f, "down=on");
	kill_and_restart(f, 1);
	mesh_wait_version(f->mesh, 3);
	mesh_expect_growing_versions(f->mesh);
}

#define STORE_LINK_PORT 21086
/* Operators' bound for a change to be in force everywhere. */
#define IN_FORCE_US ((gint64)4 * G_USEC_PER_SEC)

/*
 * Open connections to the store fall silent while all relays wait in their
 * watches, and the next configuration is accepted at once: the relays waited 7
 * s for its announcement.
 */
static void
test_silent_connections(void)
{
	g_autofree char *base = callers_intent("v1 = 100");
	g_autofree char *text = NULL;
	g_autofree char *address = NULL;
	g_autofree char *map = NULL;
	harness_process_t *link;
	gint64 accepted_us;
	fixture_t f;

	f.h = harness_new();
	address = g_strdup_printf(
	    "%s:%d", harness_ip(f.h, CALLERS_NEAREST_NODE), STORE_LINK_PORT);
	f.mesh = mesh_new(f.h,
	    &(mesh_options_t){ .zone_count = 2,
		.nodes_per_zone = 2,
		.store_address = address });
	map = g_strdup_printf("--map=%s=%s", address, f.mesh->store->address);
	link = harness_start_listening(f.h, "link", "standin_link", map, NULL);
	mesh_start_nodes(f.mesh);
	mesh_apply(f.mesh, base);
	mesh_wait_version(f.mesh, 1);
	g_usleep(G_USEC_PER_SEC / 2);
	link_fixture_inject_fault(link, "link?map=all&silent=on");
	g_assert_cmpint(
	    apply(&f, write_intent(&f, 10, true)), ==, CTL_ACCEPTED);
	accepted_us = g_get_monotonic_time();
	mesh_wait_version(f.mesh, 2);
	g_assert_cmpint(g_get_monotonic_time() - accepted_us, <, IN_FORCE_US);
	mesh_free(f.mesh);
	harness_free(f.h);
}

static void
add(const char *name, void (*test)(fixture_t *f, gconstpointer data))
{
	g_test_add(name, fixture_t, NULL, set_up, test, tear_down);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/store-faults/down", test_calls_continue_while_the_store_is_down);
	add("/store-faults/lost-answers", test_lost_answers_are_retried);
	add("/store-faults/race", test_concurrent_applies_conflict);
	add("/store-faults/herd", test_mass_restart_without_the_store);
	g_test_add_func("/store-faults/silent", test_silent_connections);
	return g_test_run();
}
