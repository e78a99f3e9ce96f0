#include <glib.h>
#include <string.h>

#include "proxy/span.h"
#include "proxy_fixture.h"

#define TRACE "0af7651916cd43dd8448eb211c80319c"
#define PARENT "b7ad6b7169203331"

static void
test_trace_contexts_are_parsed_strictly(void)
{
	static const struct {
		const char *text;
		bool good, sampled;
	} cases[] = {
		{ "00-" TRACE "-" PARENT "-01", true, true },
		{ "00-" TRACE "-" PARENT "-00", true, false },
		{ "01-" TRACE "-" PARENT "-01", false, false },
		{ "00-" TRACE "-" PARENT "-1", false, false },
		{ "00-" TRACE "-" PARENT "-01x", false, false },
		{ "00-0AF7651916cd43dd8448eb211c80319c-" PARENT "-01", false,
		    false },
		{ "00-00000000000000000000000000000000-" PARENT "-01", false,
		    false },
		{ "00-" TRACE "-0000000000000000-01", false, false },
		{ "", false, false },
	};
	char text[BF_TRACEPARENT_BYTES];
	bf_trace_context_t context;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_assert_cmpint(bf_trace_context_parse(cases[i].text, &context),
		    ==, cases[i].good);
		if (!cases[i].good)
			continue;
		g_assert_cmpint(context.sampled, ==, cases[i].sampled);
		bf_trace_context_format(&context, text);
		g_assert_cmpstr(text, ==, cases[i].text);
	}
}

static void
count_span(void *ctx, const bf_span_t *span)
{
	uint64_t *sum = ctx;

	*sum += span->span_id;
}

static void
test_a_ring_keeps_the_last_spans(void)
{
	bf_span_t span = { .trace_id = { 1, 2 } };
	bf_spans_t *spans;
	uint64_t sum;

	spans = bf_spans_new(2, 4, 0);
	for (span.span_id = 1; span.span_id <= 10; span.span_id++)
		bf_spans_put(spans, 1, &span);
	span.trace_id.low = 3;
	bf_spans_put(spans, 0, &span);
	sum = 0;
	g_assert_cmpuint(
	    bf_spans_find(spans, (bf_trace_id_t){ 1, 2 }, count_span, &sum), ==,
	    4);
	g_assert_cmpuint(sum, ==, 7 + 8 + 9 + 10);
	bf_spans_free(spans);
}

static void
keep_span(void *ctx, const bf_span_t *span)
{
	bf_span_t *hops = ctx;

	g_assert_cmpuint(span->hop, >=, 1);
	g_assert_cmpuint(span->hop, <=, 2);
	hops[span->hop - 1] = *span;
}

static void
test_each_hop_of_a_call_has_a_span(void)
{
	bf_trace_context_t at_target;
	bf_trace_id_t trace_id;
	bf_span_t hops[2];
	response_t response;
	mesh_t mesh;

	mesh_open(
	    &mesh, &(mesh_options_t){ .targets = 1, .threads = 2, .slots = 8 });
	mesh_call(&mesh,
	    &(request_t){ .path = "/charge/1",
		.headers = { "traceparent: 00-" TRACE "-" PARENT "-01" } },
	    &response);
	g_assert_true(g_str_has_prefix(response.traceparent, "00-" TRACE));
	response_clear(&response);
	g_assert_cmpuint(mesh_counter(&mesh, "bf_proxy_spans_total"), ==, 2);
	g_assert_true(bf_trace_id_parse(TRACE, &trace_id));
	g_assert_cmpuint(
	    bf_spans_find(mesh.spans, trace_id, keep_span, hops), ==, 2);
	g_assert_cmphex(hops[0].parent_id, ==, 0xb7ad6b7169203331);
	g_assert_cmphex(hops[1].parent_id, ==, hops[0].span_id);
	g_assert_true(
	    bf_trace_context_parse(mesh.targets[0]->traceparent, &at_target));
	g_assert_cmphex(at_target.span_id, ==, hops[1].span_id);
	g_assert_cmpstr(hops[0].instance, ==, "entry");
	g_assert_cmpstr(hops[1].instance, ==, "node-0");
	g_assert_cmpstr(hops[0].target, ==, "node-0");
	g_assert_cmpstr(hops[0].service, ==, "permits");
	g_assert_cmpstr(hops[0].route, ==, "charge");
	g_assert_cmpstr(hops[1].route, ==, "charge");
	g_assert_cmpstr(hops[1].version, ==, "v1");
	g_assert_cmpuint(hops[0].status, ==, 200);
	g_assert_cmpint(hops[0].duration_us, >=, hops[1].duration_us);
	/* With sample_ppm 0, no call without the sampled flag is sampled. */
	mesh_call(&mesh, &(request_t){ .path = "/charge/1" }, &response);
	response_clear(&response);
	g_assert_cmpuint(mesh_counter(&mesh, "bf_proxy_spans_total"), ==, 2);
	mesh_close(&mesh);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/spans/context", test_trace_contexts_are_parsed_strictly);
	g_test_add_func("/spans/ring", test_a_ring_keeps_the_last_spans);
	g_test_add_func("/spans/hops", test_each_hop_of_a_call_has_a_span);
	return g_test_run();
}
