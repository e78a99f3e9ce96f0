#include <glib.h>
#include <string.h>

#include "base/address.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/histogram.h"

static void
test_error_keeps_code_and_message(void)
{
	bf_error_t err;

	g_assert_cmpint(
	    bf_error_set(&err, BF_ERR_RANGE, "%d", 7), ==, BF_ERR_RANGE);
	g_assert_cmpstr(err.message, ==, "7");
	g_assert_cmpstr(bf_code_name(BF_ERR_RANGE), ==, "range");
	g_assert_cmpstr(bf_code_name((bf_code_t)9999), ==, "unknown");
	g_assert_cmpint(bf_error_set(NULL, BF_ERR_IO, "x"), ==, BF_ERR_IO);
}

/* A log line with part of a character is not written. */
static void
test_error_cuts_whole_characters(void)
{
	g_autoptr(GString) text = g_string_new(NULL);
	bf_error_t err;
	int shift, i;

	for (i = 0; i < BF_ERROR_MESSAGE_BYTES; i++)
		g_string_append(text, "\xe2\x82\xac");
	for (shift = 0; shift < 3; shift++) {
		(void)bf_error_set(&err, BF_ERR_RANGE, "%s", text->str);
		g_assert_true(g_utf8_validate(err.message, -1, NULL));
		g_assert_cmpuint(
		    strlen(err.message), >=, BF_ERROR_MESSAGE_BYTES - 4);
		g_string_prepend(text, "x");
	}
}

static void
test_every_code_has_a_name(void)
{
	int code;

	for (code = 0; code < BF_CODE_COUNT; code++)
		g_assert_nonnull(bf_code_name((bf_code_t)code));
}

static void
test_counter_sums_shards(void)
{
	bf_counter_shard_t *a, *b;
	bf_counters_t *counters;
	bf_counter_id_t id;

	counters = bf_counters_new();
	id = bf_counters_register(counters, "bf_test_total");
	g_assert_cmpuint(
	    id, ==, bf_counters_register(counters, "bf_test_total"));
	a = bf_counters_add_shard(counters);
	b = bf_counters_add_shard(counters);
	bf_counter_add(a, id, 3);
	bf_counter_add(b, id, 4);
	g_assert_cmpuint(bf_counters_sum(counters, id), ==, 7);
	bf_counters_free(counters);
}

static void
test_digest_text_round_trip(void)
{
	char text[BF_DIGEST_TEXT_BYTES];
	bf_digest_t digest, parsed;

	digest = bf_digest_of("abc", 3);
	bf_digest_format(digest, text);
	g_assert_true(bf_digest_parse(text, &parsed));
	g_assert_true(bf_digest_equal(digest, parsed));
	g_assert_false(bf_digest_parse("xyz", &parsed));
}

static void
test_histogram_quantile_is_within_one_eighth(void)
{
	bf_histogram_t h = { 0 };
	bf_time_us_t p;
	int i;

	for (i = 1; i <= 10000; i++)
		bf_histogram_add(&h, i);
	p = bf_histogram_quantile(&h, 0.99);
	g_assert_cmpint(p, >=, 9900);
	g_assert_cmpint(p, <=, 9900 + 9900 / 8 + 1);
	bf_histogram_add(&h, INT64_MAX);
	g_assert_cmpuint(h.total, ==, 10001);
}

static void
test_address_is_ip_and_port(void)
{
	static const struct {
		const char *text;
		bf_code_t code;
	} cases[] = {
		{ "127.0.0.1:80", BF_OK },
		{ "127.0.0.1:0", BF_OK },
		{ "127.0.0.1:65536", BF_ERR_ARGUMENT },
		{ "127.0.0.1:", BF_ERR_ARGUMENT },
		{ "127.0.0.1:+1", BF_ERR_ARGUMENT },
		{ "127.0.0.1", BF_ERR_ARGUMENT },
		{ "localhost:80", BF_ERR_ARGUMENT },
		{ ":80", BF_ERR_ARGUMENT },
		{ "127.0.0.1.127.0.0.1.127:80", BF_ERR_ARGUMENT },
	};
	struct sockaddr_in address;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(bf_address_parse(cases[i].text, &address, NULL),
		    ==, cases[i].code);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/error", test_error_keeps_code_and_message);
	g_test_add_func("/base/error-cut", test_error_cuts_whole_characters);
	g_test_add_func("/base/code-names", test_every_code_has_a_name);
	g_test_add_func("/base/counter", test_counter_sums_shards);
	g_test_add_func("/base/digest", test_digest_text_round_trip);
	g_test_add_func(
	    "/base/histogram", test_histogram_quantile_is_within_one_eighth);
	g_test_add_func("/base/address", test_address_is_ip_and_port);
	return g_test_run();
}
