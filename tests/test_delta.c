#include <glib.h>
#include <string.h>

#include "mesh/delta.h"

/*
 * A delta applied to the old text gives the new one, and is small when little
 * has changed.
 */

#define ROUTES 2000
#define MAX_BYTES ((size_t)1 << 20)

static bf_bytes_t
bytes_of(const char *text)
{
	bf_bytes_t bytes = { 0 };

	bf_bytes_add_text(&bytes, text);
	return bytes;
}

/* A text like a configuration: many routes with small differences. */
static bf_bytes_t
routes(uint32_t count, uint32_t without, uint32_t changed)
{
	bf_bytes_t bytes = { 0 };
	uint32_t i;

	bf_bytes_add_text(&bytes, "{\"version\":12,\"routes\":[");
	for (i = 0; i < count; i++) {
		if (i != without)
			bf_bytes_format(&bytes,
			    "{\"prefix\":\"/r%u/\",\"action\":{\"service\":"
			    "\"shop\",\"timeout_ms\":%u,\"attempts\":2}},",
			    i, i == changed ? 900u : 800u);
	}
	bf_bytes_add_text(&bytes, "]}");
	return bytes;
}

/* Makes and applies a delta; returns its length. */
static size_t
round_trip(const bf_bytes_t *old, const bf_bytes_t *new)
{
	bf_bytes_t delta = { 0 }, made = { 0 };
	size_t bytes;

	g_assert_cmpint(bf_delta_make(old, new, &delta), ==, BF_OK);
	bytes = bf_bytes_count(&delta);
	g_assert_cmpint(
	    bf_delta_apply(old, bf_bytes_data(&delta), bytes, MAX_BYTES, &made),
	    ==, BF_OK);
	g_assert_cmpmem(bf_bytes_data(&made), bf_bytes_count(&made),
	    bf_bytes_data(new), bf_bytes_count(new));
	bf_bytes_free(&delta);
	bf_bytes_free(&made);
	return bytes;
}

static void
test_texts(void)
{
	static const char *const texts[] = { "", "a", "one\ntwo\nthree\n",
		"one\nthree\ntwo\n", "zero\none\ntwo\nthree\nfour",
		"}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}}",
		"{\"a\":{\"b\":{\"c\":1}}}" };
	bf_bytes_t old, new;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		for (j = 0; j < G_N_ELEMENTS(texts); j++) {
			old = bytes_of(texts[i]);
			new = bytes_of(texts[j]);
			(void)round_trip(&old, &new);
			bf_bytes_free(&old);
			bf_bytes_free(&new);
		}
	}
}

/* The delta for one of 2,000 routes is below a hundredth of the text. */
static void
test_small_changes(void)
{
	bf_bytes_t old = routes(ROUTES, ROUTES, ROUTES);
	bf_bytes_t shorter = routes(ROUTES, 700, ROUTES);
	bf_bytes_t changed = routes(ROUTES, ROUTES, 1500);
	bf_bytes_t longer = routes(ROUTES + 1, ROUTES + 1, 3);
	size_t limit = bf_bytes_count(&old) / 100;

	g_assert_cmpuint(round_trip(&old, &old), <, limit);
	g_assert_cmpuint(round_trip(&old, &shorter), <, limit);
	g_assert_cmpuint(round_trip(&shorter, &old), <, limit);
	g_assert_cmpuint(round_trip(&old, &changed), <, limit);
	g_assert_cmpuint(round_trip(&old, &longer), <, limit);
	bf_bytes_free(&old);
	bf_bytes_free(&shorter);
	bf_bytes_free(&changed);
	bf_bytes_free(&longer);
}

/* Random edits at random offsets. */
static void
test_random_edits(void)
{
	bf_bytes_t old = routes(200, 200, 200), new = { 0 };
	GRand *random = g_rand_new_with_seed(7);
	uint32_t at, length, i;

	for (i = 0; i < 200; i++) {
		bf_bytes_clear(&new);
		at = (uint32_t)g_rand_int_range(
		    random, 0, (gint32)bf_bytes_count(&old));
		length = (uint32_t)g_rand_int_range(random, 0, 64);
		if (length > bf_bytes_count(&old) - at)
			length = (uint32_t)bf_bytes_count(&old) - at;
		bf_bytes_add(&new, bf_bytes_data(&old), at);
		if (i % 2 == 0)
			bf_bytes_format(&new, "<%u}", i);
		bf_bytes_add(&new, bf_bytes_data(&old) + at + length,
		    bf_bytes_count(&old) - at - length);
		(void)round_trip(&old, &new);
	}
	g_rand_free(random);
	bf_bytes_free(&old);
	bf_bytes_free(&new);
}

/*
 * A corrupt delta, or one for another old text, fails or gives a wrong text; it
 * does not read or write outside of the buffers.
 */
static void
test_damaged(void)
{
	bf_bytes_t old = routes(200, 200, 200), new = routes(200, 9, 50);
	bf_bytes_t short_one = bytes_of("short"), delta = { 0 }, made = { 0 };
	GRand *random = g_rand_new_with_seed(8);
	uint8_t *byte;
	uint32_t i;

	g_assert_cmpint(bf_delta_make(&old, &new, &delta), ==, BF_OK);
	g_assert_cmpint(bf_delta_apply(&short_one, bf_bytes_data(&delta),
			    bf_bytes_count(&delta), MAX_BYTES, &made),
	    ==, BF_ERR_PARSE);
	bf_bytes_clear(&made);
	g_assert_cmpint(bf_delta_apply(&old, bf_bytes_data(&delta),
			    bf_bytes_count(&delta), 100, &made),
	    ==, BF_ERR_PARSE);
	for (i = 0; i < 500; i++) {
		byte = delta.data + delta.start +
		    g_rand_int_range(random, 0, (gint32)bf_bytes_count(&delta));
		*byte = (uint8_t)g_rand_int_range(random, 0, 256);
		bf_bytes_clear(&made);
		(void)bf_delta_apply(&old, bf_bytes_data(&delta),
		    bf_bytes_count(&delta), MAX_BYTES, &made);
		g_assert_cmpuint(bf_bytes_count(&made), <=, MAX_BYTES);
	}
	g_rand_free(random);
	bf_bytes_free(&old);
	bf_bytes_free(&new);
	bf_bytes_free(&short_one);
	bf_bytes_free(&delta);
	bf_bytes_free(&made);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/delta/texts", test_texts);
	g_test_add_func("/delta/small-changes", test_small_changes);
	g_test_add_func("/delta/random-edits", test_random_edits);
	g_test_add_func("/delta/damaged", test_damaged);
	return g_test_run();
}
