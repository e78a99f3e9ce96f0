#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "standins/pattern.h"
#include "tests/harness.h"

#define LARGE_BYTES 4194304
#define SHORT_TIMEOUT_MS 300L

typedef struct fixture {
	harness_t *h;
	harness_process_t *server;
	harness_process_t *link;
	char *via_link; /* address at which the link listens for the target */
} fixture_t;

/* A call made in a separate thread. */
typedef struct call {
	const char *address;
	const char *id;
	const char *path;
	GThread *thread;
	harness_answer_t *answer;
} call_t;

static char *
read_mapping_address(harness_t *h)
{
	g_autofree char *text = NULL;
	char *end, *line;

	g_assert_true(g_file_get_contents(
	    harness_path(h, "link.out"), &text, NULL, NULL));
	line = strstr(text, "map 0 ");
	g_assert_nonnull(line);
	line += strlen("map 0 ");
	end = strchr(line, '\n');
	return g_strndup(line, (gsize)(end - line));
}

static void
set_up(fixture_t *f, gconstpointer data)
{
	g_autofree char *map = NULL;

	(void)data;
	f->h = harness_new();
	f->server = harness_start_listening(f->h, "target", "standin_target",
	    "--listen=127.0.0.1:0", "--slots=2", NULL);
	map = g_strdup_printf("--map=127.0.0.1:0=%s", f->server->address);
	f->link =
	    harness_start_listening(f->h, "link", "standin_link", map, NULL);
	f->via_link = read_mapping_address(f->h);
}

static void
tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	g_free(f->via_link);
	harness_free(f->h);
}

static harness_answer_t *
call(
    const char *address, const char *id, const char *path, const char *deadline)
{
	g_autofree char *header = g_strconcat("X-Request-Id: ", id, NULL);
	g_autofree char *url = g_strconcat("http://", address, path, NULL);
	const char *headers[] = { header, deadline, NULL };

	return harness_http("POST", url, headers, id, strlen(id));
}

static gpointer
call_in_thread(gpointer data)
{
	call_t *c;

	c = data;
	c->answer = call(c->address, c->id, c->path, NULL);
	return NULL;
}

static void
call_begin(call_t *c)
{
	c->thread = g_thread_new(c->id, call_in_thread, c);
}

static harness_answer_t *
call_end(call_t *c)
{
	g_thread_join(c->thread);
	return c->answer;
}

static void
put_control(harness_process_t *process, const char *command)
{
	g_free(harness_request(
	    "PUT", "http://%s/standin/%s", process->address, command));
}

static char *
get_ledger(fixture_t *f)
{
	return harness_request(
	    "GET", "http://%s/standin/ledger", f->server->address);
}

typedef struct awaited_text {
	const char *address;
	const char *page;
	const char *text;
} awaited_text_t;

static bool
page_has_text(void *ctx)
{
	g_autofree char *page = NULL;
	const awaited_text_t *awaited;

	awaited = ctx;
	page = harness_request(
	    "GET", "http://%s/standin/%s", awaited->address, awaited->page);
	return strstr(page, awaited->text) != NULL;
}

static void
wait_for_text(const char *address, const char *page, const char *text)
{
	awaited_text_t awaited = {
		.address = address, .page = page, .text = text
	};

	harness_wait_until(page_has_text, &awaited, text);
}

static void
expect_complete(const harness_answer_t *answer, const char *id)
{
	g_autofree char *expected = g_strdup_printf(" id=%s ", id);
	g_autofree char *text = NULL;

	g_assert_cmpint(answer->status, ==, 200);
	text = harness_answer_text(answer);
	g_assert_nonnull(strstr(text, expected));
}

static void
expect_not_run(harness_answer_t *answer)
{
	g_autofree char *outcome =
	    harness_answer_header(answer, "Basilfork-Outcome");

	g_assert_cmpint(answer->status, ==, 503);
	g_assert_cmpstr(outcome, ==, "not-run");
	harness_answer_free(answer);
}

static void
test_ledger_counts_runs(fixture_t *f, gconstpointer data)
{
	g_autoptr(harness_answer_t) second = NULL;
	g_autoptr(harness_answer_t) first = NULL;
	g_autofree char *text = NULL;

	(void)data;
	first = call(f->server->address, "r1", "/a", NULL);
	expect_complete(first, "r1");
	second = call(f->server->address, "r1", "/a", NULL);
	expect_complete(second, "r1");
	wait_for_text(f->server->address, "state", "in_flight 0\n");
	text = get_ledger(f);
	g_assert_cmpstr(text, ==, "r1 2 2 POST /a\n");
}

static void
test_full_target_sheds(fixture_t *f, gconstpointer data)
{
	call_t first = { .id = "r1", .path = "/" };
	call_t second = { .id = "r2", .path = "/" };
	g_autofree char *text = NULL;

	(void)data;
	first.address = second.address = f->server->address;
	put_control(f->server, "behave?slow_ms=500");
	call_begin(&first);
	call_begin(&second);
	wait_for_text(f->server->address, "state", "in_flight 2\n");
	expect_not_run(call(f->server->address, "shed", "/", NULL));
	expect_complete(call_end(&first), "r1");
	expect_complete(call_end(&second), "r2");
	text = get_ledger(f);
	g_assert_null(strstr(text, "shed"));
	harness_answer_free(first.answer);
	harness_answer_free(second.answer);
}

static void
test_truncated_response_is_incomplete(fixture_t *f, gconstpointer data)
{
	g_autofree uint8_t *expected = g_malloc(LARGE_BYTES);
	g_autofree char *path = NULL;
	g_autofree char *text = NULL;
	harness_answer_t *answer;

	(void)data;
	path = g_strdup_printf("/big?size=%d", LARGE_BYTES);
	pattern_fill("r1", 0, expected, LARGE_BYTES);
	answer = call(f->via_link, "r1", path, NULL);
	g_assert_cmpint(answer->status, ==, 200);
	g_assert_cmpmem(
	    answer->body->data, answer->body->len, expected, LARGE_BYTES);
	harness_answer_free(answer);
	put_control(f->server, "behave?cut=on");
	answer = call(f->via_link, "r2", path, NULL);
	g_assert_cmpint(answer->status, ==, 0);
	g_assert_cmpuint(answer->body->len, <, LARGE_BYTES);
	harness_answer_free(answer);
	wait_for_text(f->server->address, "state", "in_flight 0\n");
	text = get_ledger(f);
	g_assert_cmpstr(text, ==, "r1 1 1 POST /big\nr2 1 0 POST /big\n");
}

static void
test_deadline_ends_a_hanging_call(fixture_t *f, gconstpointer data)
{
	g_autoptr(harness_answer_t) answer = NULL;

	(void)data;
	put_control(f->server, "behave?hang=on");
	answer =
	    call(f->server->address, "r1", "/", "Basilfork-Deadline-Ms: 50");
	g_assert_cmpint(answer->status, ==, 504);
}

static void
test_drain_completes_running_calls(fixture_t *f, gconstpointer data)
{
	call_t running = { .id = "r1", .path = "/" };

	(void)data;
	running.address = f->server->address;
	put_control(f->server, "behave?slow_ms=1000");
	call_begin(&running);
	wait_for_text(f->server->address, "state", "in_flight 1\n");
	harness_signal(f->server, SIGTERM);
	wait_for_text(f->server->address, "state", "draining 1\n");
	expect_not_run(call(f->server->address, "late", "/", NULL));
	expect_complete(call_end(&running), "r1");
	g_assert_cmpint(harness_wait(f->server), ==, 0);
	harness_answer_free(running.answer);
}

/* Injects faults and returns how many of 100 calls fail. */
static int
count_failures(fixture_t *f, const char *faults, const char *path)
{
	harness_answer_t *answer;
	int failed, i;

	put_control(f->server, faults);
	failed = 0;
	for (i = 0; i < 100; i++) {
		answer = call(f->server->address, "r", path, NULL);
		failed += answer->status == 500;
		harness_answer_free(answer);
		wait_for_text(f->server->address, "state", "in_flight 0\n");
	}
	return failed;
}

static void
test_fault_conditions(fixture_t *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpint(
	    count_failures(f, "behave?fail_percent=30", "/"), ==, 30);
	g_assert_cmpint(
	    count_failures(f, "behave?fail_percent=100&after_calls=60", "/"),
	    ==, 40);
	g_assert_cmpint(
	    count_failures(f, "behave?after_calls=0&route=/pay", "/look"), ==,
	    0);
	g_assert_cmpint(
	    count_failures(f, "behave?route=/pay", "/pay/1"), ==, 100);
	g_assert_cmpint(count_failures(f, "behave?at_load=2", "/pay/1"), ==, 0);
}

static void
test_link_resets_connections_and_recovers(fixture_t *f, gconstpointer data)
{
	call_t running = { .id = "r1", .path = "/" };
	harness_answer_t *answer;

	(void)data;
	running.address = f->via_link;
	put_control(f->server, "behave?slow_ms=60000");
	call_begin(&running);
	wait_for_text(f->server->address, "state", "in_flight 1\n");
	put_control(f->link, "link?map=0&cut=on");
	g_assert_cmpint(call_end(&running)->status, ==, 0);
	harness_answer_free(running.answer);
	answer = call(f->via_link, "r2", "/", NULL);
	g_assert_cmpint(answer->status, ==, 0);
	harness_answer_free(answer);
	/* The target detects that its caller has disconnected. */
	wait_for_text(f->server->address, "state", "in_flight 0\n");
	put_control(f->server, "behave?slow_ms=0");
	put_control(f->link, "link?map=0&cut=off");
	answer = call(f->via_link, "r3", "/", NULL);
	expect_complete(answer, "r3");
	harness_answer_free(answer);
}

static size_t
discard(char *data, size_t size, size_t count, void *ctx)
{
	(void)data;
	(void)ctx;
	return size * count;
}

/* An open connection is frozen; a new one works. */
static void
test_frozen_connection(fixture_t *f, gconstpointer data)
{
	g_autofree char *url = g_strdup_printf("http://%s/", f->via_link);
	harness_answer_t *answer;
	CURL *reused;

	(void)data;
	reused = curl_easy_init();
	curl_easy_setopt(reused, CURLOPT_URL, url);
	curl_easy_setopt(reused, CURLOPT_PROXY, "");
	curl_easy_setopt(reused, CURLOPT_WRITEFUNCTION, discard);
	g_assert_cmpint(curl_easy_perform(reused), ==, CURLE_OK);
	put_control(f->link, "link?map=all&silent=on");
	curl_easy_setopt(reused, CURLOPT_TIMEOUT_MS, SHORT_TIMEOUT_MS);
	g_assert_cmpint(
	    curl_easy_perform(reused), ==, CURLE_OPERATION_TIMEDOUT);
	answer = call(f->via_link, "r1", "/", NULL);
	expect_complete(answer, "r1");
	harness_answer_free(answer);
	curl_easy_cleanup(reused);
}

/* The number of response bytes that the link has read. */
static uint64_t
link_response_bytes(fixture_t *f)
{
	g_autofree char *page = NULL;

	page =
	    harness_request("GET", "http://%s/standin/link", f->link->address);
	return g_ascii_strtoull(
	    strstr(page, "to_caller ") + strlen("to_caller "), NULL, 10);
}

/* Held responses reach their own callers late, or each other's callers. */
static void
test_held_responses_are_late_or_misrouted(fixture_t *f, gconstpointer data)
{
	const char *const release_commands[] = { "link?map=0&hold=off",
		"link?map=0&hold=swap" };
	call_t first = { .id = "r1", .path = "/" };
	call_t second = { .id = "r2", .path = "/" };
	uint64_t before, response_bytes;
	size_t i;

	(void)data;
	first.address = second.address = f->via_link;
	call_begin(&first);
	expect_complete(call_end(&first), "r1");
	harness_answer_free(first.answer);
	response_bytes = link_response_bytes(f);
	for (i = 0; i < G_N_ELEMENTS(release_commands); i++) {
		before = link_response_bytes(f);
		put_control(f->link, "link?map=0&hold=on");
		call_begin(&first);
		call_begin(&second);
		while (link_response_bytes(f) < before + 2 * response_bytes)
			g_usleep(1000);
		put_control(f->link, release_commands[i]);
		expect_complete(call_end(&first), i == 0 ? "r1" : "r2");
		expect_complete(call_end(&second), i == 0 ? "r2" : "r1");
		harness_answer_free(first.answer);
		harness_answer_free(second.answer);
		wait_for_text(f->link->address, "link", "open 0 ");
	}
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
	add("/standins/ledger", test_ledger_counts_runs);
	add("/standins/shed", test_full_target_sheds);
	add("/standins/cut-answer", test_truncated_response_is_incomplete);
	add("/standins/deadline", test_deadline_ends_a_hanging_call);
	add("/standins/drain", test_drain_completes_running_calls);
	add("/standins/behaviours", test_fault_conditions);
	add("/standins/link-cut", test_link_resets_connections_and_recovers);
	add("/standins/link-silent", test_frozen_connection);
	add("/standins/link-crossed",
	    test_held_responses_are_late_or_misrouted);
	return g_test_run();
}
