#include <glib.h>

#include "mesh/body_pull.h"

/* Which parts of bodies a node requests, and when. */

#define THIN_MBPS 10
#define WIDE_MBPS 1000
/* What may be under way: 50 ms of the link. */
#define THIN_WINDOW_BYTES ((size_t)62500)
#define BODY_BYTES ((size_t)300000)

/* Requests all that may be under way now; returns the bytes. */
static size_t
request_all(bf_body_pulls_t *pulls, bf_time_us_t now_us)
{
	size_t offset, bytes, total = 0;

	while (bf_body_pulls_next(pulls, &offset, &bytes, now_us) != NULL)
		total += bytes;
	return total;
}

/* All parts of a body are requested, once and in order. */
static void
test_whole_body(void)
{
	bf_body_pull_t pull = { .total_bytes = BODY_BYTES + 1 };
	size_t offset, bytes, end = 0;
	bf_body_pulls_t pulls;
	bool complete = false;

	bf_body_pulls_init(&pulls, THIN_MBPS);
	bf_body_pulls_add(&pulls, &pull, 0);
	while (!complete) {
		g_assert_true(
		    bf_body_pulls_next(&pulls, &offset, &bytes, 0) == &pull);
		g_assert_cmpuint(offset, ==, end);
		end += bytes;
		complete = bf_body_pulls_received(&pulls, &pull, bytes, 0);
	}
	g_assert_cmpuint(end, ==, BODY_BYTES + 1);
	g_assert_null(bf_body_pulls_next(&pulls, &offset, &bytes, 0));
	bf_body_pulls_remove(&pulls, &pull);
	g_assert_cmpuint(pulls.count, ==, 0);
	g_assert_cmpuint(pulls.under_way_bytes, ==, 0);
}

/* However many bodies are offered, the link is filled for a short time only. */
static void
test_window(void)
{
	bf_body_pull_t bodies[20];
	bf_body_pulls_t pulls;
	size_t total, i;

	bf_body_pulls_init(&pulls, THIN_MBPS);
	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		bodies[i] = (bf_body_pull_t){ .total_bytes = BODY_BYTES };
		bf_body_pulls_add(&pulls, &bodies[i], 0);
	}
	total = request_all(&pulls, 0);
	g_assert_cmpuint(total, <=, THIN_WINDOW_BYTES);
	g_assert_cmpuint(total, >, THIN_WINDOW_BYTES / 2);
	(void)bf_body_pulls_received(&pulls, &bodies[0], 10000, 0);
	g_assert_cmpuint(
	    request_all(&pulls, 0) + total - 10000, <=, THIN_WINDOW_BYTES);
	/* A body that is cancelled makes room. */
	bf_body_pulls_remove(&pulls, &bodies[0]);
	g_assert_cmpuint(request_all(&pulls, 0), >, 0);
}

/* A thin link of an entry is not filled by a receiver with a wide one. */
static void
test_entry_window(void)
{
	bf_body_pull_t thin = { .link_mbps = THIN_MBPS,
		.total_bytes = BODY_BYTES };
	bf_body_pull_t wide = { .total_bytes = BODY_BYTES };
	bf_body_pulls_t pulls;

	bf_body_pulls_init(&pulls, WIDE_MBPS);
	bf_body_pulls_add(&pulls, &thin, 0);
	bf_body_pulls_add(&pulls, &wide, 0);
	(void)request_all(&pulls, 0);
	g_assert_cmpuint(thin.requested_bytes, <, BODY_BYTES / 2);
	g_assert_cmpuint(wide.requested_bytes, ==, BODY_BYTES);
}

static void
test_priority(void)
{
	bf_body_pull_t low = { .priority = 2, .total_bytes = BODY_BYTES };
	bf_body_pull_t high = { .priority = 1, .total_bytes = BODY_BYTES };
	size_t offset, bytes;
	bf_body_pulls_t pulls;

	bf_body_pulls_init(&pulls, THIN_MBPS);
	bf_body_pulls_add(&pulls, &low, 0);
	bf_body_pulls_add(&pulls, &high, 0);
	g_assert_true(bf_body_pulls_next(&pulls, &offset, &bytes, 0) == &high);
	/* The urgent body and the other one, at 10 Mbit/s. */
	g_assert_cmpint(
	    bf_body_pulls_expected_us(&pulls, 1, 0), ==, 240 * BF_US_PER_MS);
	g_assert_cmpint(
	    bf_body_pulls_expected_us(&pulls, 2, 0), ==, 480 * BF_US_PER_MS);
}

/* Entries that stopped sending do not keep others from it. */
static void
test_stalled(void)
{
	bf_body_pull_t stalled[4], other = { .total_bytes = BODY_BYTES };
	size_t offset, bytes, i;
	bf_body_pulls_t pulls;

	bf_body_pulls_init(&pulls, THIN_MBPS);
	for (i = 0; i < G_N_ELEMENTS(stalled); i++) {
		stalled[i] = (bf_body_pull_t){ .total_bytes = 20000 };
		bf_body_pulls_add(&pulls, &stalled[i], 0);
	}
	bf_body_pulls_add(&pulls, &other, 0);
	(void)request_all(&pulls, 0);
	g_assert_cmpuint(other.requested_bytes, ==, 0);
	for (i = 1; i < 20 && other.requested_bytes == 0; i++)
		(void)bf_body_pulls_next(&pulls, &offset, &bytes,
		    (bf_time_us_t)i * 100 * BF_US_PER_MS);
	g_assert_cmpuint(other.requested_bytes, >, 0);
	/* A late part is still accepted. */
	g_assert_false(
	    bf_body_pulls_received(&pulls, &stalled[0], 16384, BF_US_PER_S));
	g_assert_true(
	    bf_body_pulls_received(&pulls, &stalled[0], 3616, BF_US_PER_S));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/body-pull/whole-body", test_whole_body);
	g_test_add_func("/body-pull/window", test_window);
	g_test_add_func("/body-pull/entry-window", test_entry_window);
	g_test_add_func("/body-pull/priority", test_priority);
	g_test_add_func("/body-pull/stalled", test_stalled);
	return g_test_run();
}
