#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "http/server.h"
#include "mesh/store_pace.h"
#include "platform/platform.h"
#include "store/kv_watcher.h"
#include "store/revision.h"
#include "tests/soak/proxy.h"

/*
 * The client of the platform's store against a stand-in of it, over a link on
 * which open connections fall silent.
 */

#define STEP_US (10 * BF_US_PER_MS)
/* Operators' bounds: a machine is in touch again, and a change is in force. */
#define CONTACT_US (3 * BF_US_PER_S)
#define APPLY_US (2 * BF_US_PER_S)
#define HELD_MAX 8
#define IDLE_MAX 4

/* A store with one key, whose revision is that of the store. */
typedef struct stand_in {
	bf_http_server_t server;
	uint64_t revision;
	bf_http_request_t *held[HELD_MAX]; /* watches */
	uint64_t held_after[HELD_MAX];
	size_t list_bytes; /* length of the next list; 0: as it comes */
	uint32_t era;      /* stated from 1 on */
	char last_write[512];
} stand_in_t;

typedef struct store_case {
	bf_time_us_t silent_at_us; /* after the start */
	uint32_t idle;             /* connections besides that of the watch */
	bool change_before;        /* a change, just before the silence */

	stand_in_t store;
	soak_proxy_t link;
	bf_kv_t *kv;
	bf_kv_watcher_t watcher;
	bf_kv_call_t calls[IDLE_MAX];
	uint64_t seen_revision;
	bf_code_t last_fault;
	bool is_silent;
	bf_time_us_t put_at_us;
	bf_time_us_t seen_at_us; /* the change after the silence; 0: not yet */
} store_case_t;

static void
answer(stand_in_t *store, bf_http_request_t *request, const char *text)
{
	char field[64] = "";

	if (store->era > 0)
		(void)snprintf(
		    field, sizeof(field), "Store-Era: %u\r\n", store->era);
	bf_http_answer(request, 200, field, text, strlen(text));
}

static void
answer_items(stand_in_t *store, bf_http_request_t *request, const char *list,
    uint64_t revision)
{
	char text[256];

	(void)snprintf(text, sizeof(text),
	    "{\"%s\":[{\"Key\":\"op/config\",\"Value\":\"eA==\","
	    "\"ModRevision\":%llu}],\"CurrentRev\":%llu,\"HasMore\":false}",
	    list, (unsigned long long)revision, (unsigned long long)revision);
	answer(store, request, text);
}

static void
hold_watch(stand_in_t *store, bf_http_request_t *request, uint64_t after)
{
	size_t i;

	request->user = store;
	for (i = 0; i < HELD_MAX; i++) {
		if (store->held[i] != NULL)
			continue;
		store->held[i] = request;
		store->held_after[i] = after;
		return;
	}
	g_assert_not_reached();
}

static void
on_request(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	stand_in_t *store = BF_CONTAINER(server, stand_in_t, server);
	const char *target = bf_http_target(request->message), *after;
	g_autofree char *spaces = NULL;
	uint64_t revision;

	(void)now_us;
	if (store->list_bytes != 0) {
		spaces = g_strnfill(store->list_bytes, ' ');
		spaces[0] = '{';
		spaces[1] = '}';
		bf_http_answer(request, 200, "", spaces, store->list_bytes);
		store->list_bytes = 0;
		return;
	}
	if (strncmp(target, "/basilfork/kv-range", 19) == 0) {
		answer_items(store, request, "items", store->revision);
		return;
	}
	if (strncmp(target, "/basilfork/kv-watch", 19) != 0) {
		(void)snprintf(store->last_write, sizeof(store->last_write),
		    "%.*s", (int)bf_bytes_count(&request->message->body),
		    (const char *)bf_bytes_data(&request->message->body));
		answer(store, request, "{\"ModRevision\":61}");
		return;
	}
	after = strstr(target, "after=");
	g_assert_nonnull(after);
	revision = g_ascii_strtoull(after + strlen("after="), NULL, 10);
	if (store->revision > revision)
		answer_items(store, request, "events", store->revision);
	else
		hold_watch(store, request, revision);
}

static void
on_abandoned(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	stand_in_t *store = BF_CONTAINER(server, stand_in_t, server);
	size_t i;

	(void)now_us;
	for (i = 0; i < HELD_MAX; i++) {
		if (store->held[i] == request)
			store->held[i] = NULL;
	}
}

static const bf_http_server_vtable_t server_vtable = {
	.request = on_request,
	.abandoned = on_abandoned,
};

static void
put(stand_in_t *store)
{
	bf_http_request_t *request;
	size_t i;

	store->revision++;
	for (i = 0; i < HELD_MAX; i++) {
		request = store->held[i];
		store->held[i] = NULL;
		if (request != NULL)
			answer_items(store, request, "events", store->revision);
	}
}

static void
on_item(bf_kv_watcher_t *watcher, const bf_kv_item_t *item, bf_time_us_t now_us)
{
	store_case_t *test = BF_CONTAINER(watcher, store_case_t, watcher);

	if (item->revision <= test->seen_revision)
		return;
	test->seen_revision = item->revision;
	if (test->put_at_us != 0 && test->seen_at_us == 0)
		test->seen_at_us = now_us;
}

static void
on_call_done(bf_kv_watcher_t *watcher, bf_code_t code, bf_time_us_t now_us)
{
	(void)now_us;
	if (code != BF_OK)
		BF_CONTAINER(watcher, store_case_t, watcher)->last_fault = code;
}

static const bf_kv_watcher_vtable_t watcher_vtable = {
	.on_item = on_item,
	.on_call_done = on_call_done,
};

static void
ignore_reply(
    bf_kv_call_t *call, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	(void)call;
	(void)reply;
	(void)now_us;
}

static void
begin(store_case_t *test, bf_loop_t *loop, bf_time_us_t now_us)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	uint32_t i;

	address.sin_addr.s_addr = soak_address();
	test->store.revision = 100;
	test->store.server.vtable = &server_vtable;
	test->store.server.limits = (bf_http_limits_t){ .head_bytes = 4096,
		.body_bytes = 4096,
		.head_timeout_us = 10 * BF_US_PER_S,
		.idle_timeout_us = 60 * BF_US_PER_S };
	g_assert_cmpint(bf_http_server_open(
			    &test->store.server, loop, &address, now_us, NULL),
	    ==, BF_OK);
	address.sin_port =
	    htons(bf_listener_port(&test->store.server.listener));
	soak_proxy_open(&test->link, loop, &address);
	address.sin_port = htons(soak_proxy_port(&test->link));
	test->kv = bf_platform_store_new(loop, &address, NULL);
	g_assert_nonnull(test->kv);
	/* Calls at one time leave as many idle connections. */
	for (i = 0; i < test->idle; i++) {
		test->calls[i].done = ignore_reply;
		test->kv->vtable->lease_renew(
		    test->kv, &test->calls[i], 1, now_us);
	}
	test->watcher = (bf_kv_watcher_t){ .vtable = &watcher_vtable,
		.kv = test->kv,
		.loop = loop,
		.prefix = "op/",
		.wait_ms = BF_WATCH_WAIT_MS,
		.random = 7 };
	bf_kv_watcher_start(&test->watcher, now_us);
}

/* Does what is due in the last step of time. */
static void
step(store_case_t *test, bf_time_us_t elapsed_us, bf_time_us_t now_us)
{
	bf_time_us_t since_us = elapsed_us - test->silent_at_us;

	if (test->change_before && since_us >= -5 * STEP_US) {
		test->change_before = false;
		put(&test->store);
	}
	if (since_us >= 0 && !test->is_silent) {
		test->is_silent = true;
		soak_proxy_silence(&test->link);
	}
	if (since_us >= CONTACT_US && test->put_at_us == 0) {
		test->put_at_us = now_us;
		put(&test->store);
	}
}

typedef struct clock_timer {
	bf_timer_t timer;
	bf_loop_t *loop;
} clock_timer_t;

static void
on_clock(bf_timer_t *timer, bf_time_us_t now_us)
{
	(void)now_us;
	bf_loop_stop(BF_CONTAINER(timer, clock_timer_t, timer)->loop);
}

static void
end(store_case_t *test)
{
	uint32_t i;

	bf_kv_watcher_stop(&test->watcher);
	for (i = 0; i < test->idle; i++) {
		if (test->calls[i].pending != NULL)
			test->kv->vtable->cancel(test->kv, &test->calls[i]);
	}
	test->kv->vtable->free(test->kv);
	soak_proxy_close(&test->link);
	bf_http_server_close(&test->store.server);
}

/*
 * All open connections to the store fall silent, and new ones work.  A watch
 * that had begun was given up after 7.5 s, and each idle connection cost the
 * calls after it another 1.5 s, so that a change came late.  Played with the
 * silence at every part of a watch, with and without idle connections.
 */
static void
test_silent_connections(void)
{
	static store_case_t cases[20];
	clock_timer_t clock = { .timer = { .fire = on_clock } };
	bf_time_us_t start_us, now_us, length_us = 0;
	bf_loop_t *loop;
	size_t i;

	clock.loop = loop = bf_loop_new(NULL);
	start_us = now_us = bf_clock_monotonic_us();
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cases[i].silent_at_us =
		    (100 + 260 * (bf_time_us_t)(i / 2)) * BF_US_PER_MS;
		cases[i].idle = i % 2 == 0 ? 0 : 1 + i / 2 % IDLE_MAX;
		cases[i].change_before = i % 3 == 0;
		begin(&cases[i], loop, now_us);
		length_us = cases[i].silent_at_us + CONTACT_US + APPLY_US;
	}
	while (now_us - start_us < length_us + STEP_US) {
		bf_loop_timer_set(loop, &clock.timer, now_us + STEP_US);
		bf_loop_run(loop);
		now_us = bf_clock_monotonic_us();
		for (i = 0; i < G_N_ELEMENTS(cases); i++)
			step(&cases[i], now_us - start_us, now_us);
	}
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("case %zu: seen %lld ms after the change", i,
		    (long long)(cases[i].seen_at_us - cases[i].put_at_us) /
			BF_US_PER_MS);
		g_assert_cmpint(cases[i].seen_at_us, !=, 0);
		g_assert_cmpint(
		    cases[i].seen_at_us - cases[i].put_at_us, <, APPLY_US);
		end(&cases[i]);
	}
	bf_loop_free(loop);
}

#define LONG_ANSWER_BYTES ((size_t)40 << 20)

/*
 * An answer of the store that is far too long is not held.  Each of several
 * calls at one time held up to 64 MiB; the smallest instance has 160 MB.
 */
static void
test_long_answer(void)
{
	static store_case_t test;
	clock_timer_t clock = { .timer = { .fire = on_clock } };
	bf_time_us_t end_us;

	clock.loop = bf_loop_new(NULL);
	test.store.list_bytes = LONG_ANSWER_BYTES;
	begin(&test, clock.loop, bf_clock_monotonic_us());
	end_us = bf_clock_monotonic_us() + CONTACT_US;
	while (test.seen_revision == 0 && bf_clock_monotonic_us() < end_us) {
		bf_loop_timer_set(clock.loop, &clock.timer,
		    bf_clock_monotonic_us() + STEP_US);
		bf_loop_run(clock.loop);
	}
	/* The list that follows is read. */
	g_assert_cmpint(test.last_fault, ==, BF_ERR_TIMEOUT);
	g_assert_cmpuint(test.seen_revision, ==, 100);
	end(&test);
	bf_loop_free(clock.loop);
}

static bf_code_t written_code;

static void
on_written(bf_kv_call_t *call, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	(void)call;
	(void)now_us;
	written_code = reply->code;
}

static void
run_for(bf_loop_t *loop, bf_time_us_t for_us)
{
	clock_timer_t clock = { .timer = { .fire = on_clock }, .loop = loop };

	bf_loop_timer_set(loop, &clock.timer, bf_clock_monotonic_us() + for_us);
	bf_loop_run(loop);
}

static void
write_with_condition(store_case_t *test, bf_loop_t *loop, uint64_t revision)
{
	bf_kv_write_t write = { .key = "a",
		.data = "x",
		.data_bytes = 1,
		.expected_revision = revision };
	bf_kv_call_t call = { .done = on_written };

	test->kv->vtable->write(
	    test->kv, &call, &write, 1, bf_clock_monotonic_us());
	run_for(loop, BF_US_PER_S / 4);
	g_assert_null(call.pending);
}

/*
 * The store is restored from an old copy: its revisions go back from 100 to 60
 * and are given out again.  A watch from revision 100 would wait for changes
 * that it takes for old ones, and a condition on a former revision could meet
 * another change of the same number.
 */
static void
test_restored(void)
{
	static store_case_t test;
	bf_loop_t *loop = bf_loop_new(NULL);

	begin(&test, loop, bf_clock_monotonic_us());
	run_for(loop, BF_US_PER_S / 4);
	g_assert_cmpuint(test.seen_revision, ==, 100);
	g_assert_cmpuint(test.kv->era, ==, 0);
	write_with_condition(&test, loop, 100);
	g_assert_cmpint(written_code, ==, BF_OK);
	g_assert_nonnull(strstr(test.store.last_write, "\"ModRevision\":100"));

	test.store.era = 1;
	test.store.revision = 59;
	put(&test.store);
	run_for(loop, 3 * BF_US_PER_S / 2);
	g_assert_cmpuint(test.kv->era, ==, 1);
	g_assert_cmpuint(test.seen_revision, ==, bf_revision_make(1, 60));
	g_assert_cmpuint(test.watcher.revision, ==, bf_revision_make(1, 60));

	/* Conditions on former revisions cannot hold. */
	write_with_condition(&test, loop, 100);
	g_assert_null(strstr(test.store.last_write, "\"ModRevision\":100"));
	/* Its condition might have met another change of that number. */
	g_assert_cmpint(written_code, ==, BF_ERR_UNSETTLED);
	write_with_condition(&test, loop, bf_revision_make(1, 60));
	g_assert_nonnull(strstr(test.store.last_write, "\"ModRevision\":60"));
	g_assert_cmpint(written_code, ==, BF_OK);
	end(&test);
	bf_loop_free(loop);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform-store/silent", test_silent_connections);
	g_test_add_func("/platform-store/long-answer", test_long_answer);
	g_test_add_func("/platform-store/restored", test_restored);
	return g_test_run();
}
