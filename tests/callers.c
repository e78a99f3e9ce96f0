#include <stdatomic.h>
#include <string.h>

#include "base/digest.h"
#include "tests/callers.h"

/* The outcome of one call as reported to its caller. */
typedef enum outcome {
	OUTCOME_ANSWER,
	OUTCOME_WRONG_ANSWER,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_MISSING /* an answer without an outcome header */
} outcome_t;

static const char *const outcome_names[] = { "answered", "wrong answer",
	"not-run", "unknown", "no outcome" };

typedef struct route {
	const char *method;
	const char *path;
	bool repeatable;
} route_t;

static const route_t routes[] = { { "POST", "/charge", false },
	{ "POST", "/note", false }, { "GET", "/look/1", true } };

typedef struct call {
	char *id;
	const route_t *route;
	outcome_t outcome;
	long status;
	char *reason;
	const char *curl_error;
} call_t;

struct callers {
	mesh_t *mesh;
	unsigned int node;
	GPtrArray *threads;
	atomic_bool stopping;
	atomic_uint next_id;
	GMutex lock;
	GPtrArray *calls;
	uint64_t unknown_count;
};

char *
callers_intent(const char *split)
{
	return g_strdup_printf("[service." CALLERS_SERVICE "]\n"
			       "host = \"" CALLERS_SERVICE "\"\n"
			       "queue_ms = 20\n"
			       "[service." CALLERS_SERVICE ".split]\n"
			       "%s\n"
			       "[service." CALLERS_SERVICE ".route.charge]\n"
			       "method = \"POST\"\n"
			       "path = \"/charge\"\n"
			       "calls = \"at-most-once\"\n"
			       "deadline_ms = 1000\n"
			       "[service." CALLERS_SERVICE ".route.note]\n"
			       "method = \"POST\"\n"
			       "path = \"/note\"\n"
			       "calls = \"plain\"\n"
			       "deadline_ms = 1000\n"
			       "[service." CALLERS_SERVICE ".route.look]\n"
			       "method = \"GET\"\n"
			       "path = \"/look/*\"\n"
			       "calls = \"repeatable\"\n"
			       "deadline_ms = 1000\n"
			       "[service." CALLERS_SERVICE ".route.scan]\n"
			       "method = \"PUT\"\n"
			       "path = \"/scan/*\"\n"
			       "calls = \"plain\"\n"
			       "deadline_ms = 60000\n"
			       "upload = true\n",
	    split);
}

mesh_t *
callers_start_mesh(harness_t *h, const char *options)
{
	mesh_options_t mesh_options = { .zone_count = 2, .nodes_per_zone = 2 };
	g_autofree char *intent = callers_intent("v1 = 100");
	unsigned int i;
	mesh_t *mesh;

	mesh = mesh_new(h, &mesh_options);
	mesh_start_nodes(mesh);
	for (i = 1; i < mesh_node_count(mesh); i++)
		mesh_start_target(mesh, i, CALLERS_SERVICE, "v1",
		    i == CALLERS_NEAREST_NODE ? options : "--work-ms=5");
	mesh_apply(mesh, intent);
	mesh_wait_version(mesh, 1);
	mesh_wait_targets(mesh, CALLERS_TARGET_COUNT);
	return mesh;
}

/* Whether the answer echoes this request. */
static bool
is_expected_answer(
    const harness_answer_t *answer, const char *id, const char *body)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	g_autofree char *expected = NULL;
	g_autofree char *text = NULL;

	bf_digest_format(bf_digest_of(body, strlen(body)), digest);
	expected = g_strdup_printf("digest=%s id=%s version=", digest, id);
	text = harness_answer_text(answer);
	return g_str_has_prefix(text, expected) && g_str_has_suffix(text, "\n");
}

static outcome_t
classify(const harness_answer_t *answer, const char *id, const char *body)
{
	g_autofree char *outcome =
	    harness_answer_header(answer, "Basilfork-Outcome");

	if (answer->connect_failed)
		return OUTCOME_NOT_RUN;
	if (answer->status == 0)
		return OUTCOME_UNKNOWN;
	if (answer->status == 200)
		return is_expected_answer(answer, id, body)
		    ? OUTCOME_ANSWER
		    : OUTCOME_WRONG_ANSWER;
	if (g_strcmp0(outcome, "not-run") == 0)
		return OUTCOME_NOT_RUN;
	if (g_strcmp0(outcome, "unknown") == 0)
		return OUTCOME_UNKNOWN;
	/* The target's own answer, such as its 504 for a passed deadline. */
	if (g_strcmp0(outcome, "answered") == 0)
		return OUTCOME_UNKNOWN;
	return OUTCOME_MISSING;
}

static void
call_once(callers_t *callers)
{
	g_autoptr(harness_answer_t) answer = NULL;
	unsigned int number;
	const char *body;
	call_t *call;

	number = atomic_fetch_add(&callers->next_id, 1);
	call = g_new0(call_t, 1);
	call->id = g_strdup_printf("call-%u", number);
	call->route = &routes[number % G_N_ELEMENTS(routes)];
	body = strcmp(call->route->method, "GET") == 0 ? "" : call->id;
	answer = mesh_call(callers->mesh, callers->node, call->route->method,
	    CALLERS_SERVICE, call->route->path, call->id,
	    *body != '\0' ? body : NULL, strlen(body));
	call->status = answer->status;
	call->outcome = classify(answer, call->id, body);
	call->curl_error = answer->curl_error;
	call->reason = harness_answer_header(answer, "Basilfork-Reason");
	g_mutex_lock(&callers->lock);
	g_ptr_array_add(callers->calls, call);
	callers->unknown_count += call->outcome == OUTCOME_UNKNOWN;
	g_mutex_unlock(&callers->lock);
}

static gpointer
call_until_stopped(gpointer data)
{
	callers_t *callers;

	callers = data;
	while (!atomic_load(&callers->stopping))
		call_once(callers);
	return NULL;
}

callers_t *
callers_start(mesh_t *mesh, unsigned int node, unsigned int threads)
{
	callers_t *callers;
	unsigned int i;

	callers = g_new0(callers_t, 1);
	callers->mesh = mesh;
	callers->node = node;
	g_mutex_init(&callers->lock);
	callers->calls = g_ptr_array_new();
	callers->threads = g_ptr_array_new();
	for (i = 0; i < threads; i++)
		g_ptr_array_add(callers->threads,
		    g_thread_new("caller", call_until_stopped, callers));
	return callers;
}

typedef struct expected {
	callers_t *callers;
	guint count;
} expected_t;

static bool
has_calls(void *ctx)
{
	const expected_t *expected;
	bool enough;

	expected = ctx;
	g_mutex_lock(&expected->callers->lock);
	enough = expected->callers->calls->len >= expected->count;
	g_mutex_unlock(&expected->callers->lock);
	return enough;
}

void
callers_wait_calls(callers_t *callers, uint64_t count)
{
	expected_t expected = { .callers = callers };

	g_mutex_lock(&callers->lock);
	expected.count = callers->calls->len + (guint)count;
	g_mutex_unlock(&callers->lock);
	harness_wait_until(has_calls, &expected, "enough calls have ended");
}

uint64_t
callers_unknown_count(callers_t *callers)
{
	uint64_t unknown;

	g_mutex_lock(&callers->lock);
	unknown = callers->unknown_count;
	g_mutex_unlock(&callers->lock);
	return unknown;
}

static bool
is_idle(void *ctx)
{
	g_autofree char *state = NULL;
	const harness_process_t *target;

	target = ctx;
	if (harness_has_ended(ctx))
		return true;
	state =
	    harness_request("GET", "http://%s/standin/state", target->address);
	return g_str_has_prefix(state, "in_flight 0\n");
}

/* Returns the number of runs of every id, over the ledgers of all targets. */
static GHashTable *
collect_runs(mesh_t *mesh)
{
	harness_process_t *target;
	GHashTable *runs;
	unsigned int i;

	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < mesh_node_count(mesh); i++) {
		g_auto(GStrv) lines = NULL;
		g_autofree char *text = NULL;
		char **line;

		target = mesh->nodes[i].target;
		if (target == NULL)
			continue;
		harness_wait_until(is_idle, target, "a target is idle");
		text = mesh_ledger(mesh, i);
		lines = g_strsplit(text, "\n", 0);
		g_test_message("%s ran %u requests", mesh->nodes[i].instance,
		    g_strv_length(lines) - 1);
		for (line = lines; *line != NULL && **line != '\0'; line++) {
			g_auto(GStrv) word = g_strsplit(*line, " ", 3);
			guint more = (guint)atoi(word[1]);
			guint sum = GPOINTER_TO_UINT(
			    g_hash_table_lookup(runs, word[0]));

			g_hash_table_insert(runs, g_strdup(word[0]),
			    GUINT_TO_POINTER(sum + more));
		}
	}
	return runs;
}

static bool
count_violation(bool violation, uint64_t *counter)
{
	*counter += violation;
	return violation;
}

static void
check_call(callers_result_t *v, const call_t *call, unsigned int runs)
{
	bool violation;

	v->answered += call->outcome == OUTCOME_ANSWER;
	v->not_run += call->outcome == OUTCOME_NOT_RUN;
	v->unknown += call->outcome == OUTCOME_UNKNOWN;
	violation =
	    count_violation(call->outcome == OUTCOME_NOT_RUN && runs > 0,
		&v->run_after_not_run);
	violation |= count_violation(
	    !call->route->repeatable && runs > 1, &v->run_more_than_once);
	violation |= count_violation(
	    call->outcome == OUTCOME_WRONG_ANSWER, &v->wrong_answers);
	violation |=
	    count_violation(call->outcome == OUTCOME_ANSWER && runs == 0,
		&v->answered_without_run);
	violation |= count_violation(
	    call->outcome == OUTCOME_MISSING, &v->without_outcome);
	if (violation || call->outcome == OUTCOME_UNKNOWN)
		g_test_message(
		    "%s%s %s %s: outcome %s (%ld %s %s), ran %u times",
		    violation ? "BROKEN " : "", call->id, call->route->method,
		    call->route->path, outcome_names[call->outcome],
		    call->status, call->reason != NULL ? call->reason : "-",
		    call->curl_error, runs);
}

callers_result_t
callers_stop(callers_t *callers)
{
	callers_result_t result = { 0 };
	GHashTable *runs;
	call_t *call;
	guint i;

	atomic_store(&callers->stopping, true);
	for (i = 0; i < callers->threads->len; i++)
		g_thread_join(callers->threads->pdata[i]);
	runs = collect_runs(callers->mesh);
	for (i = 0; i < callers->calls->len; i++) {
		call = callers->calls->pdata[i];
		check_call(&result, call,
		    GPOINTER_TO_UINT(g_hash_table_lookup(runs, call->id)));
		g_free(call->id);
		g_free(call->reason);
		g_free(call);
	}
	g_hash_table_destroy(runs);
	g_ptr_array_free(callers->threads, TRUE);
	g_ptr_array_free(callers->calls, TRUE);
	g_mutex_clear(&callers->lock);
	g_free(callers);
	g_test_message("%" G_GUINT64_FORMAT " answered, %" G_GUINT64_FORMAT
		       " not run, %" G_GUINT64_FORMAT " unknown",
	    result.answered, result.not_run, result.unknown);
	return result;
}

void
callers_expect_no_violation(const callers_result_t *result)
{
	g_assert_cmpuint(result->run_after_not_run, ==, 0);
	g_assert_cmpuint(result->run_more_than_once, ==, 0);
	g_assert_cmpuint(result->wrong_answers, ==, 0);
	g_assert_cmpuint(result->answered_without_run, ==, 0);
	g_assert_cmpuint(result->without_outcome, ==, 0);
}
