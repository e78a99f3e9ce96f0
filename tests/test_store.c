#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>
#include <glib.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>

#include "store/backoff.h"
#include "store/consul.h"
#include "tests/harness.h"

#define TIMEOUT_MS 3000
#define SILENCE_MS 500
#define LEASE_MS 600000

typedef struct fixture {
	harness_t *h;
	harness_process_t *server;
	bf_store_t *store;
	apr_pool_t *pool;
	bf_error_t err;
	bf_store_value_t value;
} fixture_t;

static bf_store_t *
connect_store(const char *address, uint32_t timeout_ms)
{
	g_autofree char *url = g_strdup_printf("http://%s/", address);
	bf_store_consul_options_t options = { .url = url,
		.timeout_ms = timeout_ms,
		.watch_silence_ms = SILENCE_MS };
	bf_store_t *store;
	bf_error_t err;

	g_assert_cmpint(bf_store_consul_new(&options, &store, &err), ==, BF_OK);
	return store;
}

static void
set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	apr_initialize();
	apr_pool_create(&f->pool, NULL);
	f->h = harness_new();
	f->server = harness_start_listening(
	    f->h, "store", "standin_store", "--listen=127.0.0.1:0", NULL);
	f->store = connect_store(f->server->address, TIMEOUT_MS);
}

static void
tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	bf_store_free(f->store);
	harness_free(f->h);
	apr_pool_destroy(f->pool);
	apr_terminate();
}

static void
inject_fault(fixture_t *f, const char *fault)
{
	g_free(harness_request(
	    "PUT", "http://%s/standin/fault?%s", f->server->address, fault));
}

/* The number of writes of key that the store has executed. */
static size_t
count_writes(fixture_t *f, const char *key)
{
	g_autofree char *text = NULL;
	json_t *counts, *write;
	size_t found, i;

	text = harness_request(
	    "GET", "http://%s/standin/counts", f->server->address);
	counts = json_loads(text, 0, NULL);
	found = 0;
	json_array_foreach (json_object_get(counts, "writes"), i, write) {
		if (strcmp(key,
			json_string_value(json_object_get(write, "key"))) == 0)
			found++;
	}
	json_decref(counts);
	return found;
}

static json_int_t
count_calls(fixture_t *f, const char *kind)
{
	g_autofree char *text = NULL;
	json_t *counts;
	json_int_t n;

	text = harness_request(
	    "GET", "http://%s/standin/counts", f->server->address);
	counts = json_loads(text, 0, NULL);
	n = json_integer_value(
	    json_object_get(json_object_get(counts, "calls"), kind));
	json_decref(counts);
	return n;
}

static bf_code_t
get(fixture_t *f, const char *key)
{
	return bf_store_get(f->store, key, f->pool, &f->value, &f->err);
}

static bf_code_t
put(fixture_t *f, const char *key, const char *text)
{
	return bf_store_put(f->store, key, text, strlen(text), NULL, &f->err);
}

static bf_code_t
swap(fixture_t *f, const char *key, const char *text, uint64_t index)
{
	return bf_store_compare_and_swap(
	    f->store, key, text, strlen(text), index, &f->err);
}

static bf_code_t
watch(fixture_t *f, const char *key, uint64_t index, uint32_t wait_ms)
{
	return bf_store_watch(
	    f->store, key, index, wait_ms, f->pool, &f->value, &f->err);
}

static void
test_values_are_stored_unchanged(fixture_t *f, gconstpointer data)
{
	static const char *const keys[] = { "plain", "a/b/c", "space and %2F",
		"question?mark&and=more" };
	g_autofree char *large = g_malloc(BF_STORE_VALUE_BYTES_MAX + 1);
	bf_store_value_t *values;
	size_t count, i;

	(void)data;
	for (i = 0; i < BF_STORE_VALUE_BYTES_MAX; i++)
		large[i] = (char)(i * 31 + i / 256);
	for (i = 0; i < G_N_ELEMENTS(keys); i++) {
		g_assert_cmpint(get(f, keys[i]), ==, BF_ERR_NOT_FOUND);
		g_assert_cmpint(
		    bf_store_put(f->store, keys[i], large, i * 7, NULL, NULL),
		    ==, BF_OK);
		g_assert_cmpint(get(f, keys[i]), ==, BF_OK);
		g_assert_cmpmem(
		    f->value.data, f->value.data_bytes, large, i * 7);
	}
	g_assert_cmpint(bf_store_put(f->store, "large", large,
			    BF_STORE_VALUE_BYTES_MAX, NULL, &f->err),
	    ==, BF_OK);
	g_assert_cmpint(get(f, "large"), ==, BF_OK);
	g_assert_cmpmem(f->value.data, f->value.data_bytes, large,
	    BF_STORE_VALUE_BYTES_MAX);
	g_assert_cmpint(bf_store_put(f->store, "large", large,
			    BF_STORE_VALUE_BYTES_MAX + 1, NULL, &f->err),
	    ==, BF_ERR_TOO_LARGE);
	g_assert_cmpint(
	    bf_store_list(f->store, "", f->pool, &values, &count, &f->err), ==,
	    BF_OK);
	g_assert_cmpuint(count, ==, G_N_ELEMENTS(keys) + 1);
	for (i = 1; i < count; i++)
		g_assert_cmpstr(values[i - 1].key, <, values[i].key);
	g_assert_cmpint(
	    bf_store_list(f->store, "none/", f->pool, &values, &count, &f->err),
	    ==, BF_OK);
	g_assert_cmpuint(count, ==, 0);
}

static void
test_one_of_two_concurrent_swaps_succeeds(fixture_t *f, gconstpointer data)
{
	uint64_t index;

	(void)data;
	g_assert_cmpint(swap(f, "head", "1", BF_STORE_INDEX_ABSENT), ==, BF_OK);
	g_assert_cmpint(swap(f, "head", "other", BF_STORE_INDEX_ABSENT), ==,
	    BF_ERR_CONFLICT);
	g_assert_cmpint(get(f, "head"), ==, BF_OK);
	index = f->value.index;
	g_assert_cmpint(swap(f, "head", "2", index), ==, BF_OK);
	g_assert_cmpint(swap(f, "head", "3", index), ==, BF_ERR_CONFLICT);
	g_assert_cmpint(get(f, "head"), ==, BF_OK);
	g_assert_cmpmem(f->value.data, f->value.data_bytes, "2", 1);
	g_assert_cmpuint(count_writes(f, "head"), ==, 2);
}

/* The write takes effect once, and its outcome is reported as unknown. */
static void
test_lost_answer_is_unsettled(fixture_t *f, gconstpointer data)
{
	const char *lease;

	(void)data;
	/* Opens a connection for reads, which writes must not reuse. */
	g_assert_cmpint(get(f, "warm"), ==, BF_ERR_NOT_FOUND);
	inject_fault(f, "lose_answer_after_write=4");
	g_assert_cmpint(put(f, "a", "1"), ==, BF_ERR_UNSETTLED);
	g_assert_cmpint(swap(f, "a/swap", "1", BF_STORE_INDEX_ABSENT), ==,
	    BF_ERR_UNSETTLED);
	g_assert_cmpint(
	    bf_store_lease_grant(f->store, LEASE_MS, f->pool, &lease, &f->err),
	    ==, BF_ERR_UNSETTLED);
	g_assert_cmpint(put(f, "a", "2"), ==, BF_ERR_UNSETTLED);
	g_assert_cmpuint(count_writes(f, "a"), ==, 2);
	g_assert_cmpuint(count_writes(f, "a/swap"), ==, 1);
	g_assert_cmpint(count_calls(f, "session_create"), ==, 1);
	g_assert_cmpint(get(f, "a"), ==, BF_OK);
	g_assert_cmpmem(f->value.data, f->value.data_bytes, "2", 1);
}

static void
test_server_error_is_unsettled_for_writes(fixture_t *f, gconstpointer data)
{
	(void)data;
	inject_fault(f, "error_answers=2");
	g_assert_cmpint(get(f, "a"), ==, BF_ERR_UNAVAILABLE);
	g_assert_cmpint(put(f, "a", "1"), ==, BF_ERR_UNSETTLED);
	g_assert_cmpint(put(f, "a", "1"), ==, BF_OK);
}

static void
test_down_store(fixture_t *f, gconstpointer data)
{
	(void)data;
	inject_fault(f, "down=on");
	g_assert_cmpint(get(f, "a"), ==, BF_ERR_UNAVAILABLE);
	/* The request was sent, so its outcome is unknown. */
	g_assert_cmpint(put(f, "a", "1"), ==, BF_ERR_UNSETTLED);
	inject_fault(f, "down=off");
	g_assert_cmpuint(count_writes(f, "a"), ==, 0);
	harness_stop(f->server, SIGKILL);
	/* No connection can be opened, so there was certainly no effect. */
	g_assert_cmpint(get(f, "a"), ==, BF_ERR_UNAVAILABLE);
	g_assert_cmpint(put(f, "a", "1"), ==, BF_ERR_UNAVAILABLE);
}

static void
test_slow_store(fixture_t *f, gconstpointer data)
{
	bf_store_t *short_timeout_store;

	(void)data;
	short_timeout_store = connect_store(f->server->address, 100);
	inject_fault(f, "slow_ms=1000");
	g_assert_cmpint(
	    bf_store_get(short_timeout_store, "a", f->pool, &f->value, &f->err),
	    ==, BF_ERR_TIMEOUT);
	g_assert_cmpint(
	    bf_store_put(short_timeout_store, "a", "1", 1, NULL, &f->err), ==,
	    BF_ERR_UNSETTLED);
	g_assert_cmpint(put(f, "b", "1"), ==, BF_OK);
	bf_store_free(short_timeout_store);
}

static void
test_rate_limit(fixture_t *f, gconstpointer data)
{
	(void)data;
	inject_fault(f, "writes_per_s=0&reads_per_s=0");
	g_assert_cmpint(put(f, "a", "1"), ==, BF_ERR_LIMIT);
	g_assert_cmpint(get(f, "a"), ==, BF_ERR_LIMIT);
	inject_fault(f, "reads_per_s=1000");
	g_assert_cmpuint(count_writes(f, "a"), ==, 0);
}

static void
test_lease_ends_with_its_keys(fixture_t *f, gconstpointer data)
{
	const char *first, *second;

	(void)data;
	g_assert_cmpint(
	    bf_store_lease_grant(f->store, 1, f->pool, &first, &f->err), ==,
	    BF_ERR_RANGE);
	g_assert_cmpint(
	    bf_store_lease_grant(f->store, LEASE_MS, f->pool, &first, &f->err),
	    ==, BF_OK);
	g_assert_cmpint(
	    bf_store_lease_grant(f->store, LEASE_MS, f->pool, &second, &f->err),
	    ==, BF_OK);
	g_assert_cmpint(
	    bf_store_acquire(f->store, "relay", "a", 1, first, &f->err), ==,
	    BF_OK);
	g_assert_cmpint(
	    bf_store_acquire(f->store, "relay", "b", 1, second, &f->err), ==,
	    BF_ERR_CONFLICT);
	g_assert_cmpint(
	    bf_store_lease_renew(f->store, first, &f->err), ==, BF_OK);
	inject_fault(f, "lapse_lease=all");
	g_assert_cmpint(get(f, "relay"), ==, BF_ERR_NOT_FOUND);
	g_assert_cmpint(bf_store_lease_renew(f->store, first, &f->err), ==,
	    BF_ERR_NOT_FOUND);
	g_assert_cmpint(
	    bf_store_acquire(f->store, "relay", "a", 1, first, &f->err), ==,
	    BF_ERR_NOT_FOUND);
	g_assert_cmpint(
	    bf_store_lease_grant(f->store, LEASE_MS, f->pool, &second, &f->err),
	    ==, BF_OK);
	g_assert_cmpint(
	    bf_store_put(f->store, "seed", "b", 1, second, &f->err), ==, BF_OK);
	g_assert_cmpint(
	    bf_store_lease_revoke(f->store, second, &f->err), ==, BF_OK);
	g_assert_cmpint(get(f, "seed"), ==, BF_ERR_NOT_FOUND);
}

static gpointer
write_when_watched(gpointer data)
{
	g_autofree char *url = NULL;
	fixture_t *f;

	f = data;
	while (count_calls(f, "watch") == 0)
		g_usleep(1000);
	url = g_strdup_printf("http://%s/v1/kv/head", f->server->address);
	harness_answer_free(harness_http("PUT", url, NULL, "2", 1));
	return NULL;
}

static void
test_watch_reports_the_next_write(fixture_t *f, gconstpointer data)
{
	GThread *writer;
	uint64_t index;

	(void)data;
	g_assert_cmpint(put(f, "head", "1"), ==, BF_OK);
	g_assert_cmpint(watch(f, "head", 0, 60000), ==, BF_OK);
	index = f->value.index;
	writer = g_thread_new("writer", write_when_watched, f);
	g_assert_cmpint(watch(f, "head", index, 60000), ==, BF_OK);
	g_thread_join(writer);
	if (f->value.index == index)
		g_assert_cmpint(watch(f, "head", index, 60000), ==, BF_OK);
	g_assert_cmpuint(f->value.index, >, index);
	g_assert_cmpmem(f->value.data, f->value.data_bytes, "2", 1);
	/* Without a change the current value is returned after the wait. */
	index = f->value.index;
	g_assert_cmpint(watch(f, "head", index, 50), ==, BF_OK);
	g_assert_cmpuint(f->value.index, ==, index);
}

/* The wait for an absent key takes at most two calls, not a busy loop. */
static void
test_watch_of_an_absent_key(fixture_t *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpint(watch(f, "none", 0, 300), ==, BF_ERR_NOT_FOUND);
	g_assert_cmpint(count_calls(f, "watch"), <=, 2);
}

/* A stopped process keeps its connections open but does not respond. */
static void
test_unanswered_watch_times_out(fixture_t *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpint(put(f, "head", "1"), ==, BF_OK);
	g_assert_cmpint(get(f, "head"), ==, BF_OK);
	harness_signal(f->server, SIGSTOP);
	g_assert_cmpint(
	    watch(f, "head", f->value.index, 100), ==, BF_ERR_TIMEOUT);
	harness_signal(f->server, SIGCONT);
	g_assert_cmpint(get(f, "head"), ==, BF_OK);
}

static void
test_options_are_checked(void)
{
	bf_store_consul_options_t options = {
		.url = "ftp://127.0.0.1", .timeout_ms = 1, .watch_silence_ms = 1
	};
	bf_store_t *store;

	g_assert_cmpint(
	    bf_store_consul_new(&options, &store, NULL), ==, BF_ERR_ARGUMENT);
	options.url = "http://127.0.0.1:1";
	options.timeout_ms = 0;
	g_assert_cmpint(
	    bf_store_consul_new(&options, &store, NULL), ==, BF_ERR_ARGUMENT);
	g_assert_null(store);
}

/* The bound doubles up to the limit; delays are uniform below the bound. */
static void
test_backoff_bounds(void)
{
	bf_backoff_t backoff = { .base_ms = 100, .limit_ms = 1000 };
	static const int64_t bounds_ms[] = { 100, 200, 400, 800, 1000, 1000 };
	bf_time_us_t sum_us, delay_us;
	gsl_rng *rng;
	size_t i;
	int round;

	rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(rng, 7);
	for (i = 0; i < G_N_ELEMENTS(bounds_ms); i++) {
		sum_us = 0;
		for (round = 0; round < 1000; round++) {
			backoff.failures = (uint32_t)i;
			delay_us =
			    bf_backoff_failed(&backoff, 5000, rng) - 5000;
			g_assert_cmpint(delay_us, >, 0);
			g_assert_cmpint(
			    delay_us, <=, bounds_ms[i] * BF_US_PER_MS);
			sum_us += delay_us;
		}
		g_assert_cmpint(
		    sum_us / 1000, >, bounds_ms[i] * BF_US_PER_MS * 45 / 100);
		g_assert_cmpint(
		    sum_us / 1000, <, bounds_ms[i] * BF_US_PER_MS * 55 / 100);
	}
	backoff.failures = UINT32_MAX;
	delay_us = bf_backoff_failed(&backoff, 0, rng);
	g_assert_cmpint(delay_us, <=, 1000 * BF_US_PER_MS);
	bf_backoff_succeeded(&backoff);
	g_assert_cmpuint(backoff.failures, ==, 0);
	gsl_rng_free(rng);
}

#define ENDLESS_BYTES_MAX ((uint64_t)256 << 20)
/* Far below the memory of an instance, above what sockets hold. */
#define ENDLESS_SENT_MAX ((uint64_t)32 << 20)

typedef struct endless_server {
	int listener;
	uint64_t sent_bytes;
} endless_server_t;

/* Answers one request with a trailer section without end. */
static gpointer
serve_endless(gpointer data)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "2\r\n[]\r\n0\r\n";
	endless_server_t *server = data;
	char block[60000];
	ssize_t sent;
	size_t i;
	int fd;

	for (i = 0; i < sizeof(block); i++)
		block[i] = "X-M: 123\r\n"[i % 10];
	fd = accept(server->listener, NULL, NULL);
	sent = send(fd, head, strlen(head), MSG_NOSIGNAL);
	while (sent > 0 && server->sent_bytes < ENDLESS_BYTES_MAX) {
		sent = send(fd, block, sizeof(block), MSG_NOSIGNAL);
		server->sent_bytes += sent > 0 ? (uint64_t)sent : 0;
	}
	close(fd);
	return NULL;
}

/* libcurl kept every trailer field of an answer, without a bound. */
static void
test_endless_trailer(fixture_t *f, gconstpointer data)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	g_autofree char *text = NULL;
	endless_server_t server = { 0 };
	socklen_t bytes = sizeof(address);
	GThread *thread;

	(void)data;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server.listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(
	    bind(server.listener, (struct sockaddr *)&address, bytes), ==, 0);
	g_assert_cmpint(listen(server.listener, 1), ==, 0);
	g_assert_cmpint(
	    getsockname(server.listener, (struct sockaddr *)&address, &bytes),
	    ==, 0);
	text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	bf_store_free(f->store);
	f->store = connect_store(text, TIMEOUT_MS);
	thread = g_thread_new("endless", serve_endless, &server);
	g_assert_cmpint(get(f, "a"), ==, BF_ERR_TOO_LARGE);
	g_thread_join(thread);
	g_assert_cmpuint(server.sent_bytes, <, ENDLESS_SENT_MAX);
	close(server.listener);
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
	add("/store/endless-trailer", test_endless_trailer);
	g_test_add_func("/store/options", test_options_are_checked);
	g_test_add_func("/store/backoff", test_backoff_bounds);
	add("/store/values", test_values_are_stored_unchanged);
	add("/store/swap-race", test_one_of_two_concurrent_swaps_succeeds);
	add("/store/lost-answer", test_lost_answer_is_unsettled);
	add("/store/server-error", test_server_error_is_unsettled_for_writes);
	add("/store/down", test_down_store);
	add("/store/slow", test_slow_store);
	add("/store/rate-limit", test_rate_limit);
	add("/store/lease", test_lease_ends_with_its_keys);
	add("/store/watch", test_watch_reports_the_next_write);
	add("/store/watch-absent", test_watch_of_an_absent_key);
	add("/store/watch-silent", test_unanswered_watch_times_out);
	return g_test_run();
}
