#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "config/pack.h"
#include "config/snapshot.h"

/* A configuration with two services, set up anew for each test. */
typedef struct fixture {
	apr_pool_t *pool;
	bf_route_t routes[2];
	bf_split_t splits[2];
	bf_move_t move;
	const char *zones[2];
	const char *excluded[1];
	bf_service_t services[2];
} fixture_t;

static void
set_up(fixture_t *f, gconstpointer data)
{
	(void)data;
	*f = (fixture_t){
		.routes = { { .name = "lookup",
				.method = "GET",
				.path = "/permits/*",
				.call_class = BF_CALL_REPEATABLE,
				.deadline_ms = 2000,
				.slow_ms = 300 },
		    { .name = "issue",
			.method = "POST",
			.path = "/permits",
			.call_class = BF_CALL_AT_MOST_ONCE,
			.deadline_ms = 5000,
			.upload = true } },
		.splits = { { .version = "v1", .weight = 100 },
		    { .version = "v2", .weight = 0 } },
		.move = { .id = "m1",
		    .from_version = "v1",
		    .to_version = "v2",
		    .start_us = 0,
		    .complete_by_us = 7 * BF_US_PER_S },
		.zones = { "lika-a", "lika-b" },
		.excluded = { "permits-7" },
	};
	f->services[0] = (bf_service_t){
		.name = "trailcheck", .splits = f->splits, .split_count = 1
	};
	f->services[1] = (bf_service_t){ .name = "permits",
		.host = "permits.example",
		.routes = f->routes,
		.route_count = 2,
		.splits = f->splits,
		.split_count = 2,
		.zones = f->zones,
		.zone_count = 2,
		.excluded_instances = f->excluded,
		.excluded_instance_count = 1,
		.queue_ms = 50,
		.move = &f->move };
	apr_pool_create(&f->pool, NULL);
}

static void
tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	apr_pool_destroy(f->pool);
}

static bf_snapshot_t *
build(fixture_t *f, uint64_t version)
{
	bf_snapshot_t *snapshot;
	bf_error_t err;

	if (bf_snapshot_build(version, f->services, 2, &snapshot, &err) !=
	    BF_OK)
		g_error("%s", err.message);
	return snapshot;
}

static void
test_round_trip_keeps_everything(fixture_t *f, gconstpointer data)
{
	bf_snapshot_t *built, *decoded;
	const bf_service_t *s;
	const void *bytes, *again;
	size_t n, again_bytes;

	(void)data;
	built = build(f, 7);
	g_assert_cmpint(
	    bf_snapshot_encode(built, f->pool, &bytes, &n, NULL), ==, BF_OK);
	g_assert_cmpint(
	    bf_snapshot_decode(bytes, n, &decoded, NULL), ==, BF_OK);
	g_assert_cmpuint(decoded->version, ==, 7);
	g_assert_true(bf_digest_equal(built->digest, decoded->digest));
	g_assert_cmpstr(decoded->services[0].name, ==, "permits");
	g_assert_null(bf_snapshot_find_service(decoded, "nothing"));
	g_assert_cmpstr(bf_snapshot_find_service(decoded, "trailcheck")->host,
	    ==, "trailcheck");
	s = bf_snapshot_find_service(decoded, "permits");
	g_assert_cmpstr(s->host, ==, "permits.example");
	g_assert_cmpstr(s->routes[0].method, ==, "GET");
	g_assert_cmpint(s->routes[1].call_class, ==, BF_CALL_AT_MOST_ONCE);
	g_assert_true(s->routes[1].upload);
	g_assert_cmpuint(s->routes[0].slow_ms, ==, 300);
	g_assert_cmpstr(s->zones[1], ==, "lika-b");
	g_assert_cmpstr(s->excluded_instances[0], ==, "permits-7");
	g_assert_cmpstr(s->move->to_version, ==, "v2");
	g_assert_cmpint(s->move->complete_by_us, ==, 7 * BF_US_PER_S);
	g_assert_cmpint(
	    bf_snapshot_encode(decoded, f->pool, &again, &again_bytes, NULL),
	    ==, BF_OK);
	g_assert_cmpmem(bytes, n, again, again_bytes);
	bf_snapshot_free(built);
	bf_snapshot_free(decoded);
}

static void
test_digest_covers_content_and_not_version(fixture_t *f, gconstpointer data)
{
	bf_snapshot_t *a, *b, *c;

	(void)data;
	a = build(f, 1);
	b = build(f, 2);
	f->routes[0].deadline_ms++;
	c = build(f, 2);
	g_assert_true(bf_digest_equal(a->digest, b->digest));
	g_assert_false(bf_digest_equal(b->digest, c->digest));
	bf_snapshot_free(a);
	bf_snapshot_free(b);
	bf_snapshot_free(c);
}

static void
test_delta_needs_its_exact_base(fixture_t *f, gconstpointer data)
{
	bf_snapshot_t *base, *next, *out, *same_content, *same_version;
	const void *bytes;
	size_t n;

	(void)data;
	base = build(f, 1);
	same_content = build(f, 2);
	f->services[0].queue_ms = 1;
	same_version = build(f, 1);
	f->services[0].queue_ms = 0;
	f->services[0].name = "stock";
	f->splits[0].weight = 90;
	next = build(f, 3);
	g_assert_cmpint(
	    bf_delta_encode(base, next, f->pool, &bytes, &n, NULL), ==, BF_OK);
	g_assert_cmpint(bf_delta_apply(base, bytes, n, &out, NULL), ==, BF_OK);
	g_assert_cmpuint(out->version, ==, 3);
	g_assert_true(bf_digest_equal(out->digest, next->digest));
	g_assert_null(bf_snapshot_find_service(out, "trailcheck"));
	bf_snapshot_free(out);
	g_assert_cmpint(bf_delta_apply(same_content, bytes, n, &out, NULL), ==,
	    BF_ERR_BASE);
	g_assert_null(out);
	g_assert_cmpint(bf_delta_apply(same_version, bytes, n, &out, NULL), ==,
	    BF_ERR_BASE);
	g_assert_cmpint(
	    bf_delta_apply(next, bytes, n, &out, NULL), ==, BF_ERR_BASE);
	bf_snapshot_free(base);
	bf_snapshot_free(same_content);
	bf_snapshot_free(same_version);
	bf_snapshot_free(next);
}

static void
test_delta_carries_only_what_changed(fixture_t *f, gconstpointer data)
{
	bf_snapshot_t *base, *next;
	const void *bytes;
	size_t n;

	(void)data;
	base = build(f, 1);
	f->services[0].queue_ms = 9;
	next = build(f, 2);
	g_assert_cmpint(
	    bf_delta_encode(base, next, f->pool, &bytes, &n, NULL), ==, BF_OK);
	g_assert_null(memmem(bytes, n, "permits", strlen("permits")));
	g_assert_nonnull(memmem(bytes, n, "trailcheck", strlen("trailcheck")));
	bf_snapshot_free(base);
	bf_snapshot_free(next);
}

/* Chunks are checked against their listed order, service and digest. */
static void
test_chunks_must_match_their_list(fixture_t *f, gconstpointer data)
{
	bf_snapshot_t *snapshot, *out;
	bf_chunk_t chunks[2];

	(void)data;
	snapshot = build(f, 1);
	memcpy(chunks, snapshot->chunks, sizeof(chunks));
	g_assert_cmpint(
	    bf_snapshot_from_chunks(5, chunks, 2, &out, NULL), ==, BF_OK);
	g_assert_cmpuint(out->version, ==, 5);
	g_assert_true(bf_digest_equal(out->digest, snapshot->digest));
	bf_snapshot_free(out);
	chunks[0] = snapshot->chunks[1];
	chunks[1] = snapshot->chunks[0];
	g_assert_cmpint(bf_snapshot_from_chunks(5, chunks, 2, &out, NULL), ==,
	    BF_ERR_CONFLICT);
	chunks[0] = snapshot->chunks[0];
	chunks[0].service = "other";
	g_assert_cmpint(bf_snapshot_from_chunks(5, chunks, 1, &out, NULL), ==,
	    BF_ERR_REFERENCE);
	chunks[0] = snapshot->chunks[0];
	chunks[0].digest = snapshot->chunks[1].digest;
	g_assert_cmpint(bf_snapshot_from_chunks(5, chunks, 1, &out, NULL), ==,
	    BF_ERR_DIGEST);
	g_assert_null(out);
	bf_snapshot_free(snapshot);
}

/* Truncated or changed data is rejected, except for a changed version. */
static void
test_corrupt_data_is_rejected(fixture_t *f, gconstpointer data)
{
	bf_snapshot_t *base, *next, *out;
	const void *whole, *delta;
	size_t whole_bytes, delta_bytes, i;
	uint8_t *copy;

	(void)data;
	base = build(f, 1);
	f->services[0].queue_ms = 9;
	next = build(f, 2);
	bf_snapshot_encode(next, f->pool, &whole, &whole_bytes, NULL);
	bf_delta_encode(base, next, f->pool, &delta, &delta_bytes, NULL);
	for (i = 0; i < whole_bytes; i++) {
		g_assert_cmpint(
		    bf_snapshot_decode(whole, i, &out, NULL), !=, BF_OK);
		copy = g_memdup2(whole, whole_bytes);
		copy[i] ^= 0x01;
		/* Byte 2 is the version, which the digest does not cover. */
		if (bf_snapshot_decode(copy, whole_bytes, &out, NULL) == BF_OK)
			g_assert_cmpuint(i, ==, 2);
		bf_snapshot_free(out);
		g_free(copy);
	}
	for (i = 0; i < delta_bytes; i++) {
		g_assert_cmpint(
		    bf_delta_apply(base, delta, i, &out, NULL), !=, BF_OK);
		g_assert_null(out);
		copy = g_memdup2(delta, delta_bytes);
		copy[i] ^= 0x01;
		/* Byte 21 is the version of the result. */
		if (bf_delta_apply(base, copy, delta_bytes, &out, NULL) ==
		    BF_OK)
			g_assert_cmpuint(i, ==, 21);
		bf_snapshot_free(out);
		g_free(copy);
	}
	bf_snapshot_free(base);
	bf_snapshot_free(next);
}

static void
test_announced_sizes_are_checked(void)
{
	static const struct {
		const char *bytes;
		size_t n;
		bf_code_t code;
	} cases[] = {
		{ "", 0, BF_ERR_PARSE },
		{ "\xc1", 1, BF_ERR_PARSE },
		{ "\xdd\xff\xff\xff\xff", 5, BF_ERR_PARSE },
		{ "\xdf\xff\xff\xff\xff", 5, BF_ERR_PARSE },
		{ "\xc6\xff\xff\xff\xff", 5, BF_ERR_PARSE },
		{ "\x95\x02\x01\x00\x00\x90", 6, BF_ERR_PARSE },
		{ "\x95\x01\x01\x00\x00\x90", 6, BF_ERR_DIGEST },
		{ "\x95\x01\x01\x00\x00\x90\x90", 7, BF_ERR_PARSE },
	};
	static const uint8_t head[] = { 0x95, 0xdc, 0x07, 0xd0 };
	bf_snapshot_t *out;
	uint8_t nested[200], oversized[2008];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(
		    bf_snapshot_decode(cases[i].bytes, cases[i].n, &out, NULL),
		    ==, cases[i].code);
	memset(nested, 0x91, sizeof(nested));
	nested[sizeof(nested) - 1] = 0x90;
	g_assert_cmpint(bf_snapshot_decode(nested, sizeof(nested), &out, NULL),
	    ==, BF_ERR_TOO_LARGE);
	/* An array of five elements, the first an array of 2,000 nils. */
	memset(oversized, 0xc0, sizeof(oversized));
	memcpy(oversized, head, sizeof(head));
	g_assert_cmpint(
	    bf_snapshot_decode(oversized, sizeof(oversized), &out, NULL), ==,
	    BF_ERR_TOO_LARGE);
}

/* Changes to the fixture and the codes with which they are rejected. */
#define INVALID_CHANGES(X)                                              \
	X(f->services[0].name = "", BF_ERR_ARGUMENT)                    \
	X(f->services[0].name = "a b", BF_ERR_ARGUMENT)                 \
	X(f->services[0].name = "permits", BF_ERR_CONFLICT)             \
	X(f->services[0].host = "permits.example", BF_ERR_CONFLICT)     \
	X(f->services[0].host = "Upper", BF_ERR_ARGUMENT)               \
	X(f->services[0].split_count = 0, BF_ERR_RANGE)                 \
	X(f->services[0].queue_ms = 60001, BF_ERR_RANGE)                \
	X(f->services[0].move = &f->move, BF_ERR_CONFLICT)              \
	X(f->splits[0].weight = 0, BF_ERR_RANGE)                        \
	X(f->splits[1].version = "v1", BF_ERR_CONFLICT)                 \
	X(f->routes[0].path = "permits", BF_ERR_ARGUMENT)               \
	X(f->routes[0].path = "/a*b", BF_ERR_ARGUMENT)                  \
	X(f->routes[0].path = "/a?b", BF_ERR_ARGUMENT)                  \
	X(f->routes[0].method = "get", BF_ERR_ARGUMENT)                 \
	X(f->routes[0].name = "issue", BF_ERR_CONFLICT)                 \
	X(f->routes[0].deadline_ms = 0, BF_ERR_RANGE)                   \
	X(f->routes[0].slow_ms = 2001, BF_ERR_RANGE)                    \
	X(f->routes[0].call_class = (bf_call_class_t)7, BF_ERR_RANGE)   \
	X((f->routes[0].path = "/permits", f->routes[0].method = NULL), \
	    BF_ERR_CONFLICT)                                            \
	X(f->zones[1] = "lika-a", BF_ERR_CONFLICT)                      \
	X(f->excluded[0] = NULL, BF_ERR_ARGUMENT)                       \
	X(f->move.to_version = "v1", BF_ERR_RANGE)                      \
	X(f->move.complete_by_us = 0, BF_ERR_RANGE)                     \
	X(f->move.from_version = "v9", BF_ERR_REFERENCE)

static void
test_checks_reject_each_invalid_change(fixture_t *f, gconstpointer data)
{
	bf_snapshot_t *out;
	bf_error_t err;

#define EXPECT_REJECTED(change, expected)                                   \
	change;                                                             \
	if (bf_snapshot_build(1, f->services, 2, &out, &err) != (expected)) \
		g_error("%s: wanted %s", #change, bf_code_name(expected));  \
	g_assert_null(out);                                                 \
	tear_down(f, data);                                                 \
	set_up(f, data);
	INVALID_CHANGES(EXPECT_REJECTED)
#undef EXPECT_REJECTED
}

#define ADD(path, test) \
	g_test_add(path, fixture_t, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
	int status;

	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	ADD("/snapshot/round-trip", test_round_trip_keeps_everything);
	ADD("/snapshot/digest", test_digest_covers_content_and_not_version);
	ADD("/snapshot/damage", test_corrupt_data_is_rejected);
	ADD("/snapshot/chunks", test_chunks_must_match_their_list);
	ADD("/snapshot/checks", test_checks_reject_each_invalid_change);
	ADD("/delta/base", test_delta_needs_its_exact_base);
	ADD("/delta/content", test_delta_carries_only_what_changed);
	g_test_add_func("/snapshot/claims", test_announced_sizes_are_checked);
	status = g_test_run();
	apr_terminate();
	return status;
}
