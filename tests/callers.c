#include <stdatomic.h>
#include <string.h>

#include "base/digest.h"
#include "tests/callers.h"

/* What one caller was told about one call. */
typedef enum told {
	TOLD_ANSWER,
	TOLD_WRONG_ANSWER,
	TOLD_NOT_RUN,
	TOLD_UNKNOWN,
	TOLD_NOTHING /* an answer that lacks its outcome */
} told_t;

static const char *const told_names[] = { "answered", "wrong answer", "not-run",
	"unknown", "no outcome" };

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
	told_t told;
	long status;
	char *reason;
	const char *problem;
} call_t;

struct callers {
	mesh_t *mesh;
	unsigned int node;
	GPtrArray *threads;
	atomic_bool stopping;
	atomic_uint next_id;
	GMutex lock;
	GPtrArray *calls;
	uint64_t unknown;
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
callers_mesh(harness_t *h, const char *options)
{
	mesh_options_t shape = { .zone_count = 2, .nodes_per_zone = 2 };
	g_autofree char *intent = callers_intent("v1 = 100");
	unsigned int i;
	mesh_t *mesh;

	mesh = mesh_new(h, &shape);
	mesh_start_nodes(mesh);
	for (i = 1; i < mesh_node_count(mesh); i++)
		mesh_start_target(mesh, i, CALLERS_SERVICE, "v1",
		    i == CALLERS_NEAREST ? options : "--work-ms=5");
	mesh_apply(mesh, intent);
	mesh_wait_version(mesh, 1);
	mesh_wait_targets(mesh, CALLERS_TARGETS);
	return mesh;
}

/* Whether the answer is the echo of this very request. */
static bool
is_own_answer(const harness_answer_t *answer, const char *id, const char *body)
{
	char digest[BF_DIGEST_TEXT_BYTES];
	g_autofree char *expected = NULL;
	g_autofree char *text = NULL;

	bf_digest_format(bf_digest_of(body, strlen(body)), digest);
	expected = g_strdup_printf("digest=%s id=%s version=", digest, id);
	text = harness_answer_text(answer);
	return g_str_has_prefix(text, expected) && g_str_has_suffix(text, "\n");
}

static told_t
classify(const harness_answer_t *answer, const char *id, const char *body)
{
	g_autofree char *outcome =
	    harness_answer_header(answer, "Basilfork-Outcome");

	if (answer->refused)
		return TOLD_NOT_RUN;
	if (answer->status == 0)
		return TOLD_UNKNOWN;
	if (answer->status == 200)
		return is_own_answer(answer, id, body) ? TOLD_ANSWER
						       : TOLD_WRONG_ANSWER;
	if (g_strcmp0(outcome, "not-run") == 0)
		return TOLD_NOT_RUN;
	if (g_strcmp0(outcome, "unknown") == 0)
		return TOLD_UNKNOWN;
	/* The target's own answer, such as its 504 for a passed deadline. */
	if (g_strcmp0(outcome, "answered") == 0)
		return TOLD_UNKNOWN;
	return TOLD_NOTHING;
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
	call->told = classify(answer, call->id, body);
	call->problem = answer->problem;
	call->reason = harness_answer_header(answer, "Basilfork-Reason");
	g_mutex_lock(&callers->lock);
	g_ptr_array_add(callers->calls, call);
	callers->unknown += call->told == TOLD_UNKNOWN;
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

typedef struct wanted {
	callers_t *callers;
	guint count;
} wanted_t;

static bool
has_calls(void *ctx)
{
	const wanted_t *wanted;
	bool enough;

	wanted = ctx;
	g_mutex_lock(&wanted->callers->lock);
	enough = wanted->callers->calls->len >= wanted->count;
	g_mutex_unlock(&wanted->callers->lock);
	return enough;
}

void
callers_wait(callers_t *callers, uint64_t count)
{
	wanted_t wanted = { .callers = callers };

	g_mutex_lock(&callers->lock);
	wanted.count = callers->calls->len + (guint)count;
	g_mutex_unlock(&callers->lock);
	harness_wait_until(has_calls, &wanted, "enough calls have ended");
}

uint64_t
callers_unknown(callers_t *callers)
{
	uint64_t unknown;

	g_mutex_lock(&callers->lock);
	unknown = callers->unknown;
	g_mutex_unlock(&callers->lock);
	return unknown;
}

static bool
is_idle(void *ctx)
{
	g_autofree char *state = NULL;
	const harness_process_t *target;

	target = ctx;
	if (harness_ended(ctx))
		return true;
	state = harness_ask("GET", "http://%s/standin/state", target->address);
	return g_str_has_prefix(state, "in_flight 0\n");
}

/* The runs of every id, summed over the ledgers of all targets. */
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
count_if(bool broken, uint64_t *counter)
{
	*counter += broken;
	return broken;
}

static void
judge(callers_verdict_t *v, const call_t *call, unsigned int runs)
{
	bool broken;

	v->answered += call->told == TOLD_ANSWER;
	v->not_run += call->told == TOLD_NOT_RUN;
	v->unknown += call->told == TOLD_UNKNOWN;
	broken = count_if(
	    call->told == TOLD_NOT_RUN && runs > 0, &v->run_after_not_run);
	broken |= count_if(!call->route->repeatable && runs > 1, &v->run_twice);
	broken |= count_if(call->told == TOLD_WRONG_ANSWER, &v->wrong_answers);
	broken |= count_if(
	    call->told == TOLD_ANSWER && runs == 0, &v->answered_not_run);
	broken |= count_if(call->told == TOLD_NOTHING, &v->untold);
	if (broken || call->told == TOLD_UNKNOWN)
		g_test_message("%s%s %s %s: told %s (%ld %s %s), ran %u times",
		    broken ? "BROKEN " : "", call->id, call->route->method,
		    call->route->path, told_names[call->told], call->status,
		    call->reason != NULL ? call->reason : "-", call->problem,
		    runs);
}

callers_verdict_t
callers_stop(callers_t *callers)
{
	callers_verdict_t verdict = { 0 };
	GHashTable *runs;
	call_t *call;
	guint i;

	atomic_store(&callers->stopping, true);
	for (i = 0; i < callers->threads->len; i++)
		g_thread_join(callers->threads->pdata[i]);
	runs = collect_runs(callers->mesh);
	for (i = 0; i < callers->calls->len; i++) {
		call = callers->calls->pdata[i];
		judge(&verdict, call,
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
	    verdict.answered, verdict.not_run, verdict.unknown);
	return verdict;
}

void
callers_expect_kept(const callers_verdict_t *verdict)
{
	g_assert_cmpuint(verdict->run_after_not_run, ==, 0);
	g_assert_cmpuint(verdict->run_twice, ==, 0);
	g_assert_cmpuint(verdict->wrong_answers, ==, 0);
	g_assert_cmpuint(verdict->answered_not_run, ==, 0);
	g_assert_cmpuint(verdict->untold, ==, 0);
}
