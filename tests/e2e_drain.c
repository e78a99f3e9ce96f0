/*
 * A planned stop must abort no call in flight, and a draining target must get
 * no new calls.  Each process on the path of an upload of 40 MiB gets SIGTERM
 * during it; digests and the targets' ledgers show what arrived.
 */
#include <stdatomic.h>
#include <string.h>

#include <curl/curl.h>

#include "base/digest.h"
#include "standins/pattern.h"
#include "tests/callers.h"

#define UPLOAD_BYTES 41943040
#define PAUSE_US 1500000
#define PAUSE_AT_BYTES 8388608
#define THREADS 4
#define CALLS 60
/* After this time a draining target must get no new calls. */
#define DRAIN_GRACE_US 2000000

typedef struct fixture {
	harness_t *h;
	mesh_t *mesh;
	callers_t *callers;
} fixture_t;

/* An upload that pauses after PAUSE_AT_BYTES until it is resumed. */
typedef struct upload {
	const char *address;
	const uint8_t *data;
	size_t sent;
	atomic_bool resumed;
	GThread *thread;
	GString *answer;
	long status;
} upload_t;

static void
set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	f->h = harness_new();
	f->mesh = callers_start_mesh(f->h, "--slots=20");
	f->callers = callers_start(f->mesh, CALLERS_ENTRY_NODE, THREADS);
	callers_wait_calls(f->callers, CALLS);
}

static void
tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	mesh_free(f->mesh);
	harness_free(f->h);
}

static size_t
read_body(char *buffer, size_t size, size_t count, void *ctx)
{
	upload_t *upload;
	size_t bytes;

	upload = ctx;
	while (upload->sent >= PAUSE_AT_BYTES && !atomic_load(&upload->resumed))
		g_usleep(1000);
	bytes = MIN(size * count, UPLOAD_BYTES - upload->sent);
	memcpy(buffer, upload->data + upload->sent, bytes);
	upload->sent += bytes;
	return bytes;
}

static size_t
append_answer(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static gpointer
run_upload(gpointer data)
{
	g_autofree char *url = NULL;
	struct curl_slist *headers;
	upload_t *upload;
	CURL *curl;

	upload = data;
	url = g_strdup_printf("http://%s/scan/1", upload->address);
	headers = curl_slist_append(NULL, "Host: " CALLERS_SERVICE);
	headers = curl_slist_append(headers, "X-Request-Id: upload");
	headers = curl_slist_append(headers, "Expect:");
	curl = curl_easy_init();
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(
	    curl, CURLOPT_INFILESIZE_LARGE, (curl_off_t)UPLOAD_BYTES);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_READFUNCTION, read_body);
	curl_easy_setopt(curl, CURLOPT_READDATA, upload);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_answer);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, upload->answer);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(
		    curl, CURLINFO_RESPONSE_CODE, &upload->status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	return NULL;
}

/* Whether the target of the nearest node received the upload's headers. */
static bool
upload_has_started(void *ctx)
{
	g_autofree char *ledger = mesh_ledger(ctx, CALLERS_NEAREST_NODE);

	return strstr(ledger, "upload 1 0 ") != NULL;
}

static upload_t *
start_upload(fixture_t *f)
{
	upload_t *upload;
	uint8_t *data;

	data = g_malloc(UPLOAD_BYTES);
	pattern_fill("scan", 0, data, UPLOAD_BYTES);
	upload = g_new0(upload_t, 1);
	upload->address = f->mesh->nodes[CALLERS_ENTRY_NODE].caller_address;
	upload->data = data;
	upload->answer = g_string_new(NULL);
	upload->thread = g_thread_new("upload", run_upload, upload);
	harness_wait_until(
	    upload_has_started, f->mesh, "an upload has started");
	return upload;
}

/* Resumes the upload; it must arrive complete and be answered. */
static void
finish_upload(upload_t *upload)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	g_autofree char *expected = NULL;

	/* A node with nothing in flight would have exited by then. */
	g_usleep(PAUSE_US);
	atomic_store(&upload->resumed, true);
	g_thread_join(upload->thread);
	g_assert_cmpint(upload->status, ==, 200);
	bf_digest_format(bf_digest_of(upload->data, UPLOAD_BYTES), digest);
	expected = g_strdup_printf("digest=%s id=upload ", digest);
	g_assert_true(g_str_has_prefix(upload->answer->str, expected));
	g_string_free(upload->answer, TRUE);
	g_free((void *)(uintptr_t)upload->data);
	g_free(upload);
}

static bool
node_is_draining(void *ctx)
{
	json_t *status;
	bool draining;

	status = mesh_status(ctx);
	draining = json_is_true(json_object_get(status, "draining"));
	json_decref(status);
	return draining;
}

/* Every call must be answered or refused as not run; none may be unknown. */
static void
expect_no_unknown(fixture_t *f)
{
	callers_result_t result;

	result = callers_stop(f->callers);
	callers_expect_no_violation(&result);
	g_assert_cmpuint(result.unknown, ==, 0);
	g_assert_cmpuint(result.answered, >=, CALLS);
}

/* After DRAIN_GRACE_US the ledger of the draining target must not change. */
static void
expect_no_new_calls(fixture_t *f)
{
	g_autofree char *after = NULL;
	g_autofree char *before = NULL;

	g_usleep(DRAIN_GRACE_US);
	before = mesh_ledger(f->mesh, CALLERS_NEAREST_NODE);
	callers_wait_calls(f->callers, CALLS);
	after = mesh_ledger(f->mesh, CALLERS_NEAREST_NODE);
	g_assert_cmpstr(before, ==, after);
}

static void
test_node_of_the_target_stops(fixture_t *f, gconstpointer data)
{
	mesh_node_t *node;
	upload_t *upload;

	(void)data;
	node = &f->mesh->nodes[CALLERS_NEAREST_NODE];
	upload = start_upload(f);
	harness_signal(node->process, SIGTERM);
	harness_wait_until(node_is_draining, node, "the node is draining");
	expect_no_new_calls(f);
	finish_upload(upload);
	g_assert_cmpint(harness_wait(node->process), ==, 0);
	expect_no_unknown(f);
}

static void
test_target_stops(fixture_t *f, gconstpointer data)
{
	mesh_node_t *node;
	upload_t *upload;

	(void)data;
	node = &f->mesh->nodes[CALLERS_NEAREST_NODE];
	upload = start_upload(f);
	harness_signal(node->target, SIGTERM);
	expect_no_new_calls(f);
	finish_upload(upload);
	g_assert_cmpint(harness_wait(node->target), ==, 0);
	callers_wait_calls(f->callers, CALLS);
	expect_no_unknown(f);
}

/* e2e_entry_stop tests the outcomes of the other calls during this stop. */
static void
test_node_of_the_callers_stops(fixture_t *f, gconstpointer data)
{
	mesh_node_t *node;
	upload_t *upload;

	(void)data;
	node = &f->mesh->nodes[CALLERS_ENTRY_NODE];
	expect_no_unknown(f);
	upload = start_upload(f);
	harness_signal(node->process, SIGTERM);
	harness_wait_until(node_is_draining, node, "the node is draining");
	finish_upload(upload);
	g_assert_cmpint(harness_wait(node->process), ==, 0);
}

/* Each node with a target is restarted in turn while calls are sent. */
static void
test_rolling_restart(fixture_t *f, gconstpointer data)
{
	mesh_node_t *node;
	unsigned int i;

	(void)data;
	for (i = CALLERS_NEAREST_NODE; i < mesh_node_count(f->mesh); i++) {
		node = &f->mesh->nodes[i];
		g_assert_cmpint(harness_stop(node->process, SIGTERM), ==, 0);
		callers_wait_calls(f->callers, CALLS);
		mesh_start_node(f->mesh, i);
		mesh_wait_version(f->mesh, 1);
		mesh_wait_targets(f->mesh, CALLERS_TARGET_COUNT);
		callers_wait_calls(f->callers, CALLS);
	}
	expect_no_unknown(f);
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
	add("/drain/node", test_node_of_the_target_stops);
	add("/drain/target", test_target_stops);
	add("/drain/entry", test_node_of_the_callers_stops);
	add("/drain/rolling", test_rolling_restart);
	return g_test_run();
}
