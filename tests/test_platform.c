#include <glib.h>
#include <stdio.h>
#include <string.h>

#include <apr_general.h>

#include "mesh/names.h"
#include "platform/json.h"
#include "platform/platform.h"

/* Decoding of the JSON of operators and targets, and rejection of bad input. */

#define LIMITS                                                         \
	"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":65536," \
	"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}"
#define CLUSTERS                                                       \
	"\"Clusters\":[{\"Name\":\"shop\",\"HealthPath\":\"/health\"," \
	"\"MaxConnections\":130},{\"Name\":\"store\","                 \
	"\"HealthPath\":\"/health\",\"MaxConnections\":130}]"
#define POLICY(type, prefix, action)                            \
	"{\"Name\":\"r\",\"Type\":\"" type                      \
	"\",\"TargetLatencyMs\":200,\"Priority\":2,\"Match\":{" \
	"\"Prefix\":\"" prefix "\"},\"Action\":{" action "}}"
#define TO_SHOP "\"Service\":\"shop\",\"TimeoutMs\":800,\"MaxAttempts\":2"
#define CONFIG(version, policies)                                              \
	"{\"Version\":\"" version "\"," LIMITS "," CLUSTERS                    \
	",\"Listeners\":[{\"Authority\":\"A.example\",\"Policies\":[" policies \
	"]}]}"

static bf_code_t
decode(const char *text, bf_routing_t **routing, bf_error_t *err)
{
	uint64_t version;

	*routing = NULL;
	return bf_platform_dialect.decode_config(
	    text, strlen(text), NULL, routing, &version, err);
}

static void
test_config(void)
{
	static const char text[] = CONFIG("r17",
	    POLICY("safe", "/a/", TO_SHOP) "," POLICY("unsafe", "/a/b/",
		"\"TrafficSplit\":[{\"Service\":\"shop\",\"Weight\":90},"
		"{\"Service\":\"store\",\"Weight\":10}],"
		"\"TimeoutMs\":1000,\"MaxAttempts\":1"));
	uint32_t counts[2] = { 0 }, i;
	bf_mesh_route_t *route;
	bf_routing_t *routing;
	bf_error_t err;

	g_assert_cmpint(decode(text, &routing, &err), ==, BF_OK);
	g_assert_cmpuint(bf_routing_version(routing), ==, 17);
	g_assert_cmpuint(bf_routing_limits(routing)->body_bytes, ==, 65536);
	route = bf_routing_match(routing, "a.example:80", "/a/x?q=/a/b/");
	g_assert_nonnull(route);
	g_assert_cmpint(route->kind, ==, BF_ROUTE_SAFE);
	g_assert_cmpuint(route->timeout_ms, ==, 800);
	g_assert_cmpuint(route->objective_ms, ==, 200);
	route = bf_routing_match(routing, "A.EXAMPLE", "/a/b/c");
	g_assert_cmpint(route->kind, ==, BF_ROUTE_UNSAFE);
	for (i = 0; i < 100; i++)
		counts[strcmp(bf_route_next_service(route), "shop") == 0 ? 0
									 : 1]++;
	g_assert_cmpuint(counts[0], ==, 90);
	g_assert_cmpuint(counts[1], ==, 10);
	g_assert_null(bf_routing_match(routing, "a.example", "/b/"));
	g_assert_null(bf_routing_match(routing, "b.example", "/a/"));
	g_assert_null(bf_routing_match(routing, "a.example", "/a"));
	bf_routing_release(routing);
}

#define LONG_NAME_CHARS 200
#define BACKENDS 20

/*
 * A configuration with values that no bound of the node may refuse: it would be
 * refused whole, and what it takes away would stay in use.
 */
static void
test_wide_config(void)
{
	g_autofree char *name = g_strnfill(LONG_NAME_CHARS, 's');
	g_autofree char *segment = g_strnfill(2000, 'p');
	g_autofree char *path = g_strdup_printf("/%s/x", segment);
	g_autoptr(GString) text = g_string_new(NULL);
	bf_routing_t *first = NULL, *second = NULL;
	bf_mesh_route_t *route;
	uint64_t version;
	bf_error_t err;
	uint32_t i;

	g_string_printf(text,
	    "{\"Version\":\"r1\"," LIMITS
	    ",\"Clusters\":[{\"Name\":\"%s\",\"HealthPath\":\"/health\","
	    "\"MaxConnections\":130,\"WarmupS\":1e12,\"ColdPerS\":1e12}],"
	    "\"Listeners\":[{\"Authority\":\"a.example\",\"Policies\":["
	    "{\"Name\":\"%s\",\"Type\":\"safe\",\"TargetLatencyMs\":200,"
	    "\"Priority\":2,\"Match\":{\"Prefix\":\"/%s/\"},\"Action\":{"
	    "\"TimeoutMs\":7200000,\"MaxAttempts\":100,\"TrafficSplit\":[",
	    name, name, segment);
	for (i = 0; i < BACKENDS; i++)
		g_string_append_printf(text,
		    "%s{\"Service\":\"%s\",\"Weight\":1}", i > 0 ? "," : "",
		    name);
	g_string_append(text, "]}}]}]}");
	g_assert_cmpint(decode(text->str, &first, &err), ==, BF_OK);
	/* The second one copies the route of the first. */
	g_assert_cmpint(bf_platform_dialect.decode_config(text->str, text->len,
			    first, &second, &version, &err),
	    ==, BF_OK);
	bf_routing_release(first);
	route = bf_routing_match(second, "a.example", path);
	g_assert_nonnull(route);
	g_assert_cmpuint(route->timeout_ms, ==, 7200000);
	g_assert_cmpuint(route->attempts_max, ==, 100);
	g_assert_cmpuint(route->backend_count, ==, BACKENDS);
	g_assert_cmpuint(strlen(route->name), <, BF_ROUTE_NAME_BYTES);
	g_assert_cmpstr(bf_route_next_service(route), ==, name);
	g_assert_nonnull(bf_routing_service(second, name));
	bf_routing_release(second);
}

/* Services of long names have targets and are moved, for weeks if so ordered.
 */
static void
test_long_service(void)
{
	g_autofree char *name = g_strnfill(LONG_NAME_CHARS, 's');
	g_autofree char *heartbeat_text = g_strdup_printf(
	    "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\","
	    "\"Version\":\"%s\",\"Capacity\":1,\"State\":\"ready\","
	    "\"WarmupLeftMs\":0,\"Sequence\":1}",
	    name, name);
	g_autofree char *order_text =
	    g_strdup_printf("{\"Service\":\"%s\",\"TargetVersion\":\"%s\","
			    "\"DurationS\":1209600}",
		name, name);
	bf_heartbeat_t heartbeat;
	bf_move_order_t order;
	bf_error_t err;

	g_assert_cmpint(bf_platform_decode_heartbeat("i-1", heartbeat_text,
			    strlen(heartbeat_text), 0, &heartbeat, &err),
	    ==, BF_OK);
	g_assert_cmpstr(heartbeat.service, ==, name);
	g_assert_cmpstr(heartbeat.version, ==, name);
	g_assert_cmpint(bf_platform_dialect.decode_order(
			    order_text, strlen(order_text), &order, &err),
	    ==, BF_OK);
	g_assert_cmpstr(order.service, ==, name);
	g_assert_cmpstr(order.version, ==, name);
	g_assert_cmpuint(order.duration_ms, ==, 1209600000);
}

/* Each case has one fault; no part of such a version may be applied. */
static void
test_config_refused(void)
{
	static const struct {
		const char *text;
		bf_code_t code;
	} cases[] = {
		{ "", BF_ERR_PARSE },
		{ "[]", BF_ERR_TYPE },
		{ "{\"Version\":\"r1\"", BF_ERR_PARSE },
		{ CONFIG("17", POLICY("safe", "/a/", TO_SHOP)), BF_ERR_TYPE },
		{ CONFIG("r", POLICY("safe", "/a/", TO_SHOP)), BF_ERR_TYPE },
		{ CONFIG("r1x", POLICY("safe", "/a/", TO_SHOP)), BF_ERR_TYPE },
		{ CONFIG("r1", POLICY("odd", "/a/", TO_SHOP)), BF_ERR_RANGE },
		{ CONFIG("r1", POLICY("safe", "a/", TO_SHOP)), BF_ERR_RANGE },
		{ CONFIG("r1", POLICY("safe", "/a", TO_SHOP)), BF_ERR_RANGE },
		{ CONFIG("r1",
		      POLICY("safe", "/a/", TO_SHOP) "," POLICY(
			  "safe", "/a/", TO_SHOP)),
		    BF_ERR_CONFLICT },
		{ CONFIG("r1",
		      POLICY("safe", "/a/",
			  "\"Service\":\"none\",\"TimeoutMs\":800,"
			  "\"MaxAttempts\":2")),
		    BF_ERR_REFERENCE },
		{ CONFIG("r1",
		      POLICY("safe", "/a/",
			  "\"Service\":\"shop\",\"TimeoutMs\":-1,"
			  "\"MaxAttempts\":2")),
		    BF_ERR_RANGE },
		{ CONFIG("r1",
		      POLICY("safe", "/a/",
			  "\"Service\":\"shop\",\"TimeoutMs\":800")),
		    BF_ERR_TYPE },
		{ CONFIG("r1",
		      POLICY("safe", "/a/",
			  "\"TrafficSplit\":[{\"Service\":\"shop\","
			  "\"Weight\":0}],\"TimeoutMs\":800,"
			  "\"MaxAttempts\":2")),
		    BF_ERR_RANGE },
		{ "{\"Version\":\"r1\"," LIMITS "," CLUSTERS "}", BF_ERR_TYPE },
		/* The path is sent in a request. */
		{ "{\"Version\":\"r1\"," LIMITS
		  ",\"Clusters\":[{\"Name\":\"shop\",\"HealthPath\":"
		  "\"/a\\r\\nX: b\",\"MaxConnections\":1}],\"Listeners\":[]}",
		    BF_ERR_RANGE },
	};
	bf_routing_t *routing;
	bf_error_t err;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("case %zu", i);
		g_assert_cmpint(
		    decode(cases[i].text, &routing, &err), ==, cases[i].code);
		g_assert_null(routing);
		g_assert_cmpint(err.code, ==, cases[i].code);
		g_assert_cmpstr(err.message, !=, "");
	}
}

#define ACCOUNTS(list)                                                   \
	"{\"Version\":\"r17\"," LIMITS ",\"Tenants\":[" list             \
	"],\"Clusters\":[{\"Name\":\"shop\","                            \
	"\"HealthPath\":\"/health\",\"MaxConnections\":130,"             \
	"\"WarmupS\":2.5,\"ColdPerS\":13},{\"Name\":\"store\","          \
	"\"HealthPath\":\"/health\",\"MaxConnections\":130}],"           \
	"\"Listeners\":[{\"Authority\":\"a.example\",\"Policies\":["     \
	"{\"Name\":\"r\",\"Type\":\"safe\",\"TargetLatencyMs\":200,"     \
	"\"Priority\":2,\"Public\":true,\"AllowedRegions\":[\"north\","  \
	"\"south\"],\"Match\":{\"Prefix\":\"/a/\"},\"Action\":{" TO_SHOP \
	"}}," POLICY("safe", "/b/", TO_SHOP) "]}]}"

/* What accounts, their routes and cold targets state reaches the mesh. */
static void
test_accounts(void)
{
	static const char text[] = ACCOUNTS(
	    "{\"Name\":\"gold\",\"ApiKeys\":[\"k1\",\"k2\"],\"Priority\":1,"
	    "\"RatePerS\":12.5,\"Burst\":30,\"AllowedRegions\":[\"east\"]},"
	    "{\"Name\":\"none\",\"ApiKeys\":[]},"
	    "{\"Name\":\"twice\",\"ApiKeys\":[\"k3\",\"k3\"]}");
	static const char without[] =
	    CONFIG("r18", POLICY("safe", "/a/", TO_SHOP));
	const bf_account_directory_t *accounts;
	const bf_account_t *account;
	bf_routing_t *routing, *copy = NULL;
	bf_mesh_route_t *route;
	uint64_t version;
	bf_error_t err;

	g_assert_cmpint(decode(text, &routing, &err), ==, BF_OK);
	accounts = bf_routing_accounts(routing);
	g_assert_nonnull(accounts);
	g_assert_cmpuint(bf_account_directory_count(accounts), ==, 3);
	account = bf_account_directory_authenticate(accounts, "k2");
	g_assert_nonnull(account);
	g_assert_cmpstr(account->name, ==, "gold");
	g_assert_cmpuint(account->priority, ==, 1);
	g_assert_cmpfloat(account->rate_per_s, ==, 12.5);
	g_assert_cmpfloat(account->burst, ==, 30);
	g_assert_cmpstr(account->regions[0], ==, "east");
	g_assert_null(account->regions[1]);
	account = bf_account_directory_authenticate(accounts, "k3");
	g_assert_cmpstr(account->name, ==, "twice");
	g_assert_cmpuint(account->priority, ==, BF_ACCOUNT_PRIORITY_DEFAULT);
	g_assert_nonnull(bf_account_directory_find(accounts, "none"));
	g_assert_cmpuint(
	    bf_routing_service(routing, "shop")->warm_up_ms, ==, 2500);
	g_assert_cmpfloat(
	    bf_routing_service(routing, "shop")->cold_calls_per_s, ==, 13);
	g_assert_cmpfloat(
	    bf_routing_service(routing, "store")->cold_calls_per_s, ==, 0);
	g_assert_false(
	    bf_routing_match(routing, "a.example", "/b/")->is_public);
	g_assert_null(bf_routing_match(routing, "a.example", "/b/")->regions);

	/* The same if its routes are taken over from a former version. */
	g_assert_cmpint(bf_platform_dialect.decode_config(
			    text, strlen(text), routing, &copy, &version, &err),
	    ==, BF_OK);
	bf_routing_release(routing);
	route = bf_routing_match(copy, "a.example", "/a/");
	g_assert_true(route->is_public);
	g_assert_cmpstr(route->regions[0], ==, "north");
	g_assert_cmpstr(route->regions[1], ==, "south");
	g_assert_null(route->regions[2]);
	g_assert_nonnull(
	    bf_account_directory_authenticate(bf_routing_accounts(copy), "k1"));
	bf_routing_release(copy);

	/* An empty list still asks for keys; no list does not. */
	g_assert_cmpint(decode(ACCOUNTS(""), &routing, &err), ==, BF_OK);
	g_assert_nonnull(bf_routing_accounts(routing));
	bf_routing_release(routing);
	g_assert_cmpint(decode(without, &routing, &err), ==, BF_OK);
	g_assert_null(bf_routing_accounts(routing));
	bf_routing_release(routing);
}

/*
 * All nodes refused a configuration for the name of an account that is a legal
 * value of a header field, and served the keys that it had taken away.
 */
static void
test_account_names(void)
{
	char *long_name = g_strnfill(600, 'n');
	const char *names[] = { "Rajkot Counter", "a, \xc3\xa9\\tb",
		"\\\"q\\\"", long_name };
	const bf_account_t *account;
	bf_routing_t *routing;
	bf_error_t err;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		g_test_message("name \"%s\"", names[i]);
		text = g_strdup_printf(ACCOUNTS("{\"Name\":\"%s\",\"ApiKeys\":["
						"\"k\"],\"Priority\":256}"),
		    names[i]);
		g_assert_cmpint(decode(text, &routing, &err), ==, BF_OK);
		account = bf_account_directory_authenticate(
		    bf_routing_accounts(routing), "k");
		g_assert_nonnull(account);
		g_assert_cmpuint(
		    account->priority, ==, BF_ACCOUNT_PRIORITY_MAX);
		bf_routing_release(routing);
		g_free(text);
	}
	g_free(long_name);
}

/*
 * A configuration with a fault in its accounts is refused whole, and the
 * message, which is logged, holds no key.
 */
static void
test_accounts_refused(void)
{
	static const struct {
		const char *text;
		bf_code_t code;
	} cases[] = {
		{ ACCOUNTS("{\"Name\":\"a\",\"ApiKeys\":[\"secret\"]},"
			   "{\"Name\":\"b\",\"ApiKeys\":[\"secret\"]}"),
		    BF_ERR_CONFLICT },
		{ ACCOUNTS("{\"Name\":\"a\",\"ApiKeys\":[\"secret\"]},"
			   "{\"Name\":\"a\",\"ApiKeys\":[]}"),
		    BF_ERR_CONFLICT },
		{ ACCOUNTS("{\"Name\":\"a\",\"ApiKeys\":\"secret\"}"),
		    BF_ERR_TYPE },
		{ ACCOUNTS("{\"Name\":\"a\",\"ApiKeys\":[\"secret\",7]}"),
		    BF_ERR_TYPE },
		{ ACCOUNTS("{\"Name\":\"a\",\"ApiKeys\":[\"secret\"],"
			   "\"RatePerS\":-1}"),
		    BF_ERR_RANGE },
		/* A name goes into a header field. */
		{ ACCOUNTS("{\"Name\":\"a\\r\\nX: secret\",\"ApiKeys\":[]}"),
		    BF_ERR_RANGE },
		/* The parser would quote what it finds instead of a comma. */
		{ ACCOUNTS("{\"Name\":\"a\",\"ApiKeys\":[1 \"secret\"]}"),
		    BF_ERR_PARSE },
		{ ACCOUNTS("{\"Name\":\"a\",\"ApiKeys\":[secret]}"),
		    BF_ERR_PARSE },
	};
	bf_routing_t *routing;
	bf_error_t err;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("case %zu", i);
		g_assert_cmpint(
		    decode(cases[i].text, &routing, &err), ==, cases[i].code);
		g_assert_null(routing);
		g_assert_null(strstr(err.message, "secret"));
	}
}

/* The message, which is logged, states the part and the reason. */
static void
test_refusal_located(void)
{
	bf_routing_t *routing;
	bf_error_t err;

	(void)decode(CONFIG("r1",
			 POLICY("safe", "/a/", TO_SHOP) "," POLICY(
			     "odd", "/b/", TO_SHOP)),
	    &routing, &err);
	g_assert_cmpstr(
	    err.message, ==, "host 1: route 2: \"odd\" is not a kind of route");
	(void)decode(ACCOUNTS("{\"Name\":\"a\",\"ApiKeys\":[]},"
			      "{\"Name\":\"a\",\"ApiKeys\":[]}"),
	    &routing, &err);
	g_assert_cmpstr(
	    err.message, ==, "account 2: account \"a\" is defined twice");
}

/* Every truncation of a valid configuration is rejected without a crash. */
static void
test_config_cut(void)
{
	static const char text[] =
	    CONFIG("r17", POLICY("safe", "/a/", TO_SHOP));
	bf_routing_t *routing = NULL;
	uint64_t version;
	bf_error_t err;
	size_t bytes;

	for (bytes = 0; bytes < sizeof(text) - 1; bytes++)
		g_assert_cmpint(bf_platform_dialect.decode_config(text, bytes,
				    NULL, &routing, &version, &err),
		    !=, BF_OK);
}

/*
 * Parsing 1,780 routes stopped a node on a tenth of a core for a quarter of a
 * second, at each of the versions that a storm brings.  Routes whose text is
 * known are taken over instead; the result is as if all were parsed.
 */
static void
test_known_routes(void)
{
	static const char first[] = CONFIG("r17",
	    POLICY("safe", "/a/", TO_SHOP) "," POLICY(
		"unsafe", "/b/", TO_SHOP));
	/* One route as before, one changed, one that is new. */
	static const char second[] = CONFIG("r18",
	    POLICY("unsafe", "/b/", TO_SHOP) "," POLICY(
		"unsafe", "/a/", TO_SHOP) "," POLICY("upload", "/c/", TO_SHOP));
	bf_routing_t *previous, *whole, *routing = NULL;
	bf_mesh_route_t *known, *parsed;
	const char *paths[] = { "/a/", "/b/", "/c/" };
	uint64_t version;
	bf_error_t err;
	size_t i;

	g_assert_cmpint(decode(first, &previous, &err), ==, BF_OK);
	g_assert_cmpint(decode(second, &whole, &err), ==, BF_OK);
	g_assert_cmpint(bf_platform_dialect.decode_config(second,
			    strlen(second), previous, &routing, &version, &err),
	    ==, BF_OK);
	/* It must not depend on the previous one any more. */
	bf_routing_release(previous);
	g_assert_cmpuint(bf_routing_version(routing), ==, 18);
	g_assert_cmpuint(bf_routing_route_count(routing), ==, 3);
	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		known = bf_routing_match(routing, "a.example", paths[i]);
		parsed = bf_routing_match(whole, "a.example", paths[i]);
		g_assert_nonnull(known);
		g_assert_cmpint(known->kind, ==, parsed->kind);
		g_assert_cmpuint(known->timeout_ms, ==, parsed->timeout_ms);
		g_assert_cmpuint(known->objective_ms, ==, parsed->objective_ms);
		g_assert_cmpuint(known->priority, ==, parsed->priority);
		g_assert_cmpuint(known->attempts_max, ==, parsed->attempts_max);
		g_assert_cmpstr(known->name, ==, parsed->name);
		g_assert_cmpstr(bf_route_next_service(known), ==,
		    bf_route_next_service(parsed));
	}
	bf_routing_release(whole);
	bf_routing_release(routing);
}

/*
 * Texts that are no routes are not taken for some: a string that looks like a
 * placeholder, and objects that lie as deep as routes.
 */
static void
test_outline(void)
{
	static const char *const refused[] = {
		CONFIG("r17", "\"~0\""),
		CONFIG("r17", "\"~0\"," POLICY("safe", "/a/", TO_SHOP)),
		CONFIG("r17", POLICY("safe", "/a/", TO_SHOP) ",\"~0\""),
		CONFIG("r17", POLICY("safe", "/a/", TO_SHOP) ",\"~1\""),
		CONFIG("r17", "[{\"Name\":1}]"),
		CONFIG("r17", "{}"),
	};
	static const char elsewhere[] =
	    "{\"Version\":\"r17\"," LIMITS "," CLUSTERS
	    ",\"Other\":[{\"a\":[{\"Name\":\"}{\"},\"~0\"]}]"
	    ",\"Listeners\":[{\"Authority\":\"A.example\",\"Policies\":[" POLICY(
		"safe", "/a/", TO_SHOP) "]}]}";
	bf_routing_t *known, *routing = NULL;
	uint64_t version;
	bf_error_t err;
	size_t i;

	g_assert_cmpint(decode(elsewhere, &known, &err), ==, BF_OK);
	g_assert_cmpuint(bf_routing_route_count(known), ==, 1);
	for (i = 0; i < G_N_ELEMENTS(refused); i++)
		g_assert_cmpint(
		    bf_platform_dialect.decode_config(refused[i],
			strlen(refused[i]), known, &routing, &version, &err),
		    !=, BF_OK);
	bf_routing_release(known);
}

static void
test_order(void)
{
	static const char whole[] =
	    "{\"Service\":\"shop\",\"TargetVersion\":\"v2\",\"DurationS\":12}";
	static const char fraction[] = "{\"Service\":\"shop\","
				       "\"TargetVersion\":\"v2\","
				       "\"DurationS\":14.204}";
	static const char negative[] = "{\"Service\":\"shop\","
				       "\"TargetVersion\":\"v2\","
				       "\"DurationS\":-1}";
	const bf_dialect_t *dialect = &bf_platform_dialect;
	bf_move_order_t order;
	bf_error_t err;

	g_assert_cmpint(
	    dialect->decode_order(whole, strlen(whole), &order, &err), ==,
	    BF_OK);
	g_assert_cmpstr(order.version, ==, "v2");
	g_assert_cmpuint(order.duration_ms, ==, 12000);
	g_assert_cmpint(
	    dialect->decode_order(fraction, strlen(fraction), &order, &err), ==,
	    BF_OK);
	g_assert_cmpuint(order.duration_ms, ==, 14204);
	g_assert_cmpint(
	    dialect->decode_order(negative, strlen(negative), &order, &err), ==,
	    BF_ERR_RANGE);
}

static void
test_outcome(void)
{
	const bf_dialect_t *dialect = &bf_platform_dialect;
	bf_move_outcome_t outcome = { .state = BF_MOVE_ROLLED_BACK }, read;
	bf_bytes_t text = { 0 };
	bf_error_t err;
	int state;

	(void)snprintf(outcome.service, sizeof(outcome.service), "shop");
	(void)snprintf(outcome.version, sizeof(outcome.version), "v2");
	for (state = BF_MOVE_ACTIVE; state <= BF_MOVE_ROLLED_BACK; state++) {
		outcome.state = (bf_move_state_t)state;
		bf_bytes_clear(&text);
		dialect->encode_outcome(&outcome, &text);
		g_assert_cmpint(dialect->decode_outcome(bf_bytes_data(&text),
				    bf_bytes_count(&text), &read, &err),
		    ==, BF_OK);
		g_assert_cmpint(read.state, ==, state);
		g_assert_cmpstr(read.version, ==, "v2");
	}
	bf_bytes_free(&text);
}

#define HEARTBEAT(state, slots, rest)                                        \
	"{\"Service\":\"shop\",\"Address\":\"10.0.0.9:80\",\"Zone\":"        \
	"\"a\",\"Version\":\"v1\",\"Capacity\":" slots ",\"State\":\"" state \
	"\",\"WarmupLeftMs\":0,\"Sequence\":4" rest "}"

/* Somewhat later than the start of the target that the heartbeats state. */
#define WALL_US (INT64_C(1780682200000) * BF_US_PER_MS)

static void
test_heartbeat(void)
{
	static const char text[] =
	    HEARTBEAT("draining", "13", ",\"born\":1780682195000,\"New\":1");
	static const char *const refused[] = { HEARTBEAT("odd", "13", ""),
		HEARTBEAT("ready", "\"13\"", ""), HEARTBEAT("ready", "-1", ""),
		HEARTBEAT("ready", "13", ",\"born\":1.5"), "{}", "\x01\xff",
		"" };
	bf_heartbeat_t heartbeat;
	bf_error_t err;
	size_t i;

	g_assert_cmpint(bf_platform_decode_heartbeat("i-1", text, strlen(text),
			    WALL_US, &heartbeat, &err),
	    ==, BF_OK);
	g_assert_cmpstr(heartbeat.id, ==, "i-1");
	g_assert_true(heartbeat.draining);
	g_assert_cmpuint(heartbeat.slots, ==, 13);
	g_assert_cmpuint(heartbeat.start_ms, ==, 1780682195000);
	for (i = 0; i < G_N_ELEMENTS(refused); i++)
		g_assert_cmpint(
		    bf_platform_decode_heartbeat("i-1", refused[i],
			strlen(refused[i]), WALL_US, &heartbeat, &err),
		    !=, BF_OK);
	g_assert_cmpint(bf_platform_decode_heartbeat(
			    "", text, strlen(text), WALL_US, &heartbeat, &err),
	    !=, BF_OK);
}

/*
 * A heartbeat of another writer must neither end the process nor be followed by
 * those of the real target being taken for older ones.
 */
static void
test_odd_heartbeats(void)
{
	static const char *const refused[] = {
		HEARTBEAT("ready", "99999999999999999999", ""),
		HEARTBEAT("ready", "1e400", ""),
		HEARTBEAT("ready", "1e300", ""),
		HEARTBEAT("ready", "4294967295", ""),
		HEARTBEAT("ready", "13", ",\"born\":1e300"),
		HEARTBEAT("ready", "13", ",\"born\":18446744073709551615"),
		HEARTBEAT("ready", "13", ",\"born\":9223372036854775807"),
		HEARTBEAT("ready", "13", ",\"born\":18446744073709551616.0"),
		HEARTBEAT("ready", "13", ",\"Sequence\":9"),
	};
	static const char good[] = HEARTBEAT("ready", "13", "");
	static const char *const ids[] = { "i\x01", "i\xff", "i \"1", "\x7f" };
	GString *deep = g_string_new("{\"Service\":");
	bf_heartbeat_t heartbeat;
	bf_error_t err;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refused); i++)
		g_assert_cmpint(
		    bf_platform_decode_heartbeat("i-1", refused[i],
			strlen(refused[i]), WALL_US, &heartbeat, &err),
		    !=, BF_OK);
	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		g_assert_cmpint(bf_platform_decode_heartbeat(ids[i], good,
				    strlen(good), WALL_US, &heartbeat, &err),
		    !=, BF_OK);
	for (i = 0; i < 200000; i++)
		g_string_append(deep, i % 2 == 0 ? "[" : "{\"a\":");
	g_assert_cmpint(bf_platform_decode_heartbeat("i-1", deep->str,
			    deep->len, WALL_US, &heartbeat, &err),
	    !=, BF_OK);
	g_string_free(deep, TRUE);
}

int
main(int argc, char **argv)
{
	apr_initialize();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/config", test_config);
	g_test_add_func("/platform/config-refused", test_config_refused);
	g_test_add_func("/platform/wide-config", test_wide_config);
	g_test_add_func("/platform/long-service", test_long_service);
	g_test_add_func("/platform/accounts", test_accounts);
	g_test_add_func("/platform/account-names", test_account_names);
	g_test_add_func("/platform/accounts-refused", test_accounts_refused);
	g_test_add_func("/platform/refusal-located", test_refusal_located);
	g_test_add_func("/platform/config-cut", test_config_cut);
	g_test_add_func("/platform/order", test_order);
	g_test_add_func("/platform/outcome", test_outcome);
	g_test_add_func("/platform/heartbeat", test_heartbeat);
	g_test_add_func("/platform/known-routes", test_known_routes);
	g_test_add_func("/platform/outline", test_outline);
	g_test_add_func("/platform/odd-heartbeats", test_odd_heartbeats);
	return g_test_run();
}
