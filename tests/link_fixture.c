#include <string.h>

#include "tests/link_fixture.h"

#define ROUNDS 20
#define HELD_BYTES_MIN 500 /* more than one answer */
#define LINK_PORT 21085

void
link_fixture_set_up(link_fixture_t *f)
{
	g_autofree char *via_link = NULL;
	g_autofree char *map = NULL;
	const char *ip;

	f->h = harness_new();
	ip = harness_ip(f->h, CALLERS_NEAREST_NODE);
	map = g_strdup_printf(
	    "--map=%s:%d=%s:%d", ip, LINK_PORT, ip, MESH_TARGET_PORT);
	f->link =
	    harness_start_listening(f->h, "link", "standin_link", map, NULL);
	via_link = g_strdup_printf(
	    "--slots=20 --announce-address=%s:%d", ip, LINK_PORT);
	f->mesh = callers_start_mesh(f->h, via_link);
	f->callers =
	    callers_start(f->mesh, CALLERS_ENTRY_NODE, LINK_FIXTURE_THREADS);
}

void
link_fixture_tear_down(link_fixture_t *f)
{
	mesh_free(f->mesh);
	harness_free(f->h);
}

void
link_fixture_inject_fault(harness_process_t *process, const char *fault)
{
	g_free(harness_request(
	    "PUT", "http://%s/standin/%s", process->address, fault));
}

static bool
holds_answers(void *ctx)
{
	g_autofree char *page = NULL;
	const harness_process_t *link;

	link = ctx;
	page = harness_request("GET", "http://%s/standin/link", link->address);
	return g_ascii_strtoull(strstr(page, "held ") + strlen("held "), NULL,
		   10) > HELD_BYTES_MIN;
}

void
link_fixture_swap_answers(link_fixture_t *f)
{
	int round;

	for (round = 0; round < ROUNDS; round++) {
		link_fixture_inject_fault(f->link, "link?map=0&hold=on");
		harness_wait_until(holds_answers, f->link, "answers are held");
		link_fixture_inject_fault(f->link,
		    round % 2 == 0 ? "link?map=0&hold=off"
				   : "link?map=0&hold=swap");
		callers_wait_calls(f->callers, LINK_FIXTURE_THREADS);
	}
}
