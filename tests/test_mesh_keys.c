#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <apr_general.h>

#include "tests/mesh_fixture.h"

/*
 * Mesh nodes with accounts: which calls run, as whose, and what keeps a key
 * from working after it was withdrawn.
 */

#define ROUTES                           \
	"/read/ safe shop 800 200 2 2\n" \
	"/open/ safe shop 800 200 2 2 public\n"
#define CONFIG \
	"5\n" ROUTES "account first key-one key-two\naccount second key-b"
#define WITHOUT_KEY_TWO \
	"6\n" ROUTES "account first key-one\naccount second key-b"

#define WAIT_US (3 * BF_US_PER_S)
#define TIMEOUT_MS 800
/* Two fifths of the usual time, so that the tests end soon. */
#define REVOKE_MS 2000
#define REVOKE_US (REVOKE_MS * BF_US_PER_MS)
#define NODES 8

typedef struct keys_fixture {
	mesh_fixture_t *mesh;
	char *log_path;
	int log_fd;
	uint32_t call_count;
} keys_fixture_t;

static void
set_up(keys_fixture_t *f)
{
	memset(f, 0, sizeof(*f));
	f->log_fd = g_file_open_tmp("bf-keys-XXXXXX", &f->log_path, NULL);
	g_assert_cmpint(f->log_fd, >=, 0);
	f->mesh = fixture_new_with_keys(NODES, REVOKE_MS, f->log_fd);
	fixture_configure(f->mesh, CONFIG);
}

/*
 * Runs the loop until only two nodes of each zone are relays: after a start of
 * all nodes more of them are for some time.
 */
static void
settle_relays(keys_fixture_t *f)
{
	bf_time_us_t until_us = bf_clock_monotonic_us() + 2 * WAIT_US;
	uint32_t relays = NODES, node;

	while (relays > 4 && bf_clock_monotonic_us() < until_us) {
		fixture_run(f->mesh, 50 * BF_US_PER_MS);
		for (node = 0, relays = 0; node < NODES; node++)
			relays += f->mesh->nodes[node]->relay ? 1 : 0;
	}
	g_assert_cmpuint(relays, <=, 4);
}

/* Guards in every test against a key that is logged. */
static void
tear_down(keys_fixture_t *f)
{
	bf_time_us_t now_us = bf_clock_monotonic_us();
	gchar *text = NULL;
	gsize bytes;

	(void)bf_events_flush(f->mesh->events, now_us);
	fixture_free(f->mesh);
	g_assert_true(g_file_get_contents(f->log_path, &text, &bytes, NULL));
	g_assert_cmpuint(bytes, >, 0);
	g_assert_null(strstr(text, "key-one"));
	g_assert_null(strstr(text, "key-two"));
	g_assert_null(strstr(text, "key-b"));
	g_assert_null(strstr(text, "key-x"));
	g_free(text);
	close(f->log_fd);
	g_unlink(f->log_path);
	g_free(f->log_path);
}

/* Sends a call with these fields to a node and waits for its answer. */
static test_call_t
send_call(keys_fixture_t *f, uint32_t node, const char *path, const char *id,
    const char *fields)
{
	test_call_t call;

	fixture_send_with_fields(
	    f->mesh, &call, node, "GET", path, id, TIMEOUT_MS, 0, fields);
	g_assert_true(fixture_await(f->mesh, &call, 1, WAIT_US));
	bf_http_client_reset(&call.client);
	return call;
}

/* The status of a call with this key at a node. */
static uint32_t
status_of(keys_fixture_t *f, uint32_t node, const char *key)
{
	char fields[64], id[32];

	(void)snprintf(id, sizeof(id), "k%u", ++f->call_count);
	(void)snprintf(
	    fields, sizeof(fields), "Authorization: Bearer %s\r\n", key);
	return send_call(f, node, "/read/x", id, fields).status;
}

static const target_run_t *
find_run(keys_fixture_t *f, const char *id)
{
	const fake_target_t *target;
	uint32_t i, j;

	for (i = 0; i < f->mesh->node_count; i++) {
		target = &f->mesh->targets[i];
		for (j = 0; j < target->run_count; j++) {
			if (strcmp(target->runs[j].id, id) == 0)
				return &target->runs[j];
		}
	}
	g_assert_not_reached();
}

/* Unknown keys are refused, and targets learn the account but no key. */
static void
test_identified(void)
{
	const target_run_t *run;
	keys_fixture_t f;
	test_call_t call;

	set_up(&f);
	call = send_call(&f, 0, "/read/x", "c1",
	    "authorization: bearer key-two\r\naccount: second\r\n");
	g_assert_cmpuint(call.status, ==, 200);
	run = find_run(&f, "c1");
	g_assert_cmpstr(run->account, ==, "first");
	g_assert_false(run->has_authorization);

	call = send_call(
	    &f, 0, "/read/x", "c2", "Authorization: Bearer key-x\r\n");
	g_assert_cmpuint(call.status, ==, 401);
	g_assert_cmpstr(call.authenticate, ==, "Bearer");
	call = send_call(&f, 0, "/read/x", "c3", "Account: first\r\n");
	g_assert_cmpuint(call.status, ==, 401);
	call = send_call(&f, 0, "/read/x", "c4",
	    "Authorization: Bearer key-one\r\n"
	    "Authorization: Bearer key-one\r\n");
	g_assert_cmpuint(call.status, ==, 401);
	/* The route comes first. */
	call = send_call(&f, 0, "/none/x", "c5", "");
	g_assert_cmpuint(call.status, ==, 404);
	/* As if made by a run that this node does not know. */
	call = send_call(&f, 0, "/read/x", "lost.1", "");
	g_assert_cmpuint(call.status, ==, 503);
	g_assert_cmpfloat(call.retry_after_s, >, 0);

	call = send_call(&f, 0, "/open/x", "o1",
	    "Authorization: Bearer key-x\r\nAccount: first\r\n");
	g_assert_cmpuint(call.status, ==, 200);
	run = find_run(&f, "o1");
	g_assert_cmpstr(run->account, ==, "");
	g_assert_false(run->has_authorization);
	call = send_call(
	    &f, 0, "/open/x", "o2", "Authorization: Bearer key-b\r\n");
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpstr(find_run(&f, "o2")->account, ==, "second");
	tear_down(&f);
}

/* A call made by a target needs no key, and names no account to its target. */
static void
test_call_of_target(void)
{
	const bf_account_directory_t *accounts;
	const bf_target_call_t *parent;
	test_call_t outer, inner;
	keys_fixture_t f;
	uint32_t i;

	set_up(&f);
	for (i = 0; i < NODES; i++)
		f.mesh->targets[i].delay_us = 300 * BF_US_PER_MS;
	/* So that the call goes to another node. */
	g_assert_cmpint(fixture_heartbeat(f.mesh, 0, "v1", true), ==, BF_OK);
	fixture_send_with_fields(f.mesh, &outer, 0, "GET", "/read/x", "p1",
	    TIMEOUT_MS, 0, "Authorization: Bearer key-one\r\n");
	fixture_run(f.mesh, 100 * BF_US_PER_MS);
	/* Which target has it is not fixed; it calls its own node. */
	for (i = 0; i < NODES && f.mesh->targets[i].run_count == 0; i++)
		;
	g_assert_cmpuint(i, <, NODES);
	g_assert_cmpuint(i, >, 0);
	parent = bf_target_find_parent(f.mesh->nodes[i], "p1.1");
	g_assert_nonnull(parent);
	accounts = bf_routing_accounts(f.mesh->nodes[i]->routing);
	g_assert_cmpuint(bf_target_call_account_id(parent), ==,
	    bf_account_directory_find(accounts, "first")->id);
	inner = send_call(&f, i, "/read/x", "p1.1", "Account: second\r\n");
	g_assert_cmpuint(inner.status, ==, 200);
	g_assert_cmpstr(find_run(&f, "p1.1")->account, ==, "");
	/* At another node its parent is not known. */
	inner = send_call(&f, (i + 1) % NODES, "/read/x", "p1.2", "");
	g_assert_cmpuint(inner.status, ==, 503);
	g_assert_true(fixture_await(f.mesh, &outer, 1, WAIT_US));
	g_assert_cmpuint(outer.status, ==, 200);
	bf_http_client_reset(&outer.client);
	tear_down(&f);
}

/*
 * The account is the last field of an offer.  Guards against a node of the
 * previous version that takes the value before it, if no reverse transit time
 * is known, for one: an offer that counts as old is refused.
 */
static void
test_offer_field(void)
{
	static const bf_time_us_t transits_us[] = { 0, 1, -1, INT64_C(1) << 61,
		-(INT64_C(1) << 61) };
	bf_bytes_t head = { 0 };
	bf_offer_t offer = { .request_id = "c",
		.target_id = "t",
		.route = "r",
		.head = &head,
		.account_id = 77 };
	bf_wire_writer_t writer;
	bf_wire_reader_t reader;
	uint64_t reverse;
	char text[8];
	size_t bytes, i;

	bf_wire_writer_init(&writer);
	bf_wire_write_offer(&writer, &offer);
	bf_wire_reader_init(&reader, writer.buffer.data, writer.buffer.size);
	for (i = 0; i < 3; i++)
		bf_wire_read_text(&reader, text, sizeof(text));
	for (i = 0; i < 4; i++)
		(void)bf_wire_read_uint(&reader, UINT64_MAX);
	(void)bf_wire_read_bytes(&reader, 16, &bytes);
	reverse = bf_wire_read_uint(&reader, UINT64_MAX);
	for (i = 0; i < G_N_ELEMENTS(transits_us); i++)
		g_assert_cmpint(transits_us[i] + (bf_time_us_t)reverse, <, 0);
	g_assert_cmpuint(bf_wire_read_uint(&reader, UINT64_MAX), ==, 77);
	g_assert_true(bf_wire_reader_done(&reader));
	g_assert_cmpint(reader.code, ==, BF_OK);

	/* Without an account the offer is as before. */
	offer.account_id = 0;
	bf_wire_writer_clear(&writer);
	bf_wire_write_offer(&writer, &offer);
	bf_wire_reader_init(&reader, writer.buffer.data, writer.buffer.size);
	for (i = 0; i < 3; i++)
		bf_wire_read_text(&reader, text, sizeof(text));
	for (i = 0; i < 4; i++)
		(void)bf_wire_read_uint(&reader, UINT64_MAX);
	(void)bf_wire_read_bytes(&reader, 16, &bytes);
	g_assert_true(bf_wire_reader_done(&reader));
	g_assert_cmpint(reader.code, ==, BF_OK);
	bf_wire_writer_free(&writer);
}

/* A key that is withdrawn is refused by all nodes in half the time. */
static void
test_withdrawn(void)
{
	bf_time_us_t acknowledged_us;
	keys_fixture_t f;
	uint32_t node;

	set_up(&f);
	settle_relays(&f);
	for (node = 0; node < NODES; node++)
		g_assert_cmpuint(status_of(&f, node, "key-two"), ==, 200);
	fixture_put(f.mesh, "ops/config", WITHOUT_KEY_TWO);
	acknowledged_us = bf_clock_monotonic_us();
	fixture_run(f.mesh, REVOKE_US / 2);
	for (node = 0; node < NODES; node++)
		g_assert_cmpuint(status_of(&f, node, "key-two"), ==, 401);
	for (node = 0; node < NODES; node++)
		g_assert_cmpuint(status_of(&f, node, "key-one"), ==, 200);
	g_assert_cmpint(
	    bf_clock_monotonic_us() - acknowledged_us, <, REVOKE_US);
	tear_down(&f);
}

/* Runs the loop until all nodes answer the key with the status. */
static void
await_status(keys_fixture_t *f, const char *key, uint32_t status)
{
	bf_time_us_t until_us = bf_clock_monotonic_us() + WAIT_US;
	uint32_t node;

	for (node = 0; node < NODES; node++) {
		while (status_of(f, node, key) != status &&
		    bf_clock_monotonic_us() < until_us)
			fixture_run(f->mesh, 50 * BF_US_PER_MS);
		g_assert_cmpuint(status_of(f, node, key), ==, status);
	}
}

/*
 * Nodes that refused a newer configuration took the read that had shown it for
 * a proof that theirs was in force, and served keys that it had taken away.
 */
static void
test_unread_config(void)
{
	static const char *const unread[] = { "6\nunreadable",
		"not a version" };
	bf_time_us_t put_us;
	keys_fixture_t f;
	uint32_t node;
	char *next;
	size_t i;

	set_up(&f);
	settle_relays(&f);
	for (i = 0; i < G_N_ELEMENTS(unread); i++) {
		await_status(&f, "key-two", 200);
		fixture_put(f.mesh, "ops/config", unread[i]);
		put_us = bf_clock_monotonic_us();
		fixture_run(f.mesh, REVOKE_US * 95 / 100);
		for (node = 0; node < NODES; node++)
			g_assert_cmpuint(
			    status_of(&f, node, "key-two"), ==, 503);
		g_assert_cmpint(
		    bf_clock_monotonic_us() - put_us, <, 2 * REVOKE_US);
		/* The one before it is written again, or a newer one. */
		if (i == 0) {
			fixture_put(f.mesh, "ops/config", CONFIG);
		} else {
			next = g_strdup_printf("7%s", CONFIG + 1);
			fixture_put(f.mesh, "ops/config", next);
			g_free(next);
		}
	}
	await_status(&f, "key-two", 200);
	tear_down(&f);
}

/*
 * The relays cannot send a new configuration for a long time.  The other nodes
 * learn that there is one, and refuse keys until they have it.
 */
static void
test_slow_push(void)
{
	bf_time_us_t until_us;
	uint32_t node, status, refused = 0;
	keys_fixture_t f;

	set_up(&f);
	settle_relays(&f);
	for (node = 0; node < NODES; node++)
		f.mesh->nodes[node]->config_send_after_us =
		    bf_clock_monotonic_us() + 100 * BF_US_PER_S;
	fixture_put(f.mesh, "ops/config", WITHOUT_KEY_TWO);
	fixture_run(f.mesh, REVOKE_US * 6 / 10);
	for (node = 0; node < NODES; node++) {
		status = status_of(&f, node, "key-two");
		g_assert_true(status == 401 || status == 503);
		refused += status == 503 ? 1 : 0;
		g_assert_true(
		    bf_mesh_ready(f.mesh->nodes[node]) == (status == 401));
	}
	/* Those that are no relays. */
	g_assert_cmpuint(refused, >, 0);
	for (node = 0; node < NODES; node++)
		f.mesh->nodes[node]->config_send_after_us = 0;
	until_us = bf_clock_monotonic_us() + WAIT_US;
	for (node = 0; node < NODES; node++) {
		while (status_of(&f, node, "key-one") != 200 &&
		    bf_clock_monotonic_us() < until_us)
			fixture_run(f.mesh, 50 * BF_US_PER_MS);
		g_assert_cmpuint(status_of(&f, node, "key-one"), ==, 200);
	}
	tear_down(&f);
}

/* A node cut off from the store alone goes on by its peers, also with changes.
 */
static void
test_cut_from_store(void)
{
	bf_time_us_t until_us;
	keys_fixture_t f;

	set_up(&f);
	g_assert_cmpuint(status_of(&f, 0, "key-two"), ==, 200);
	fixture_cut_from_store(f.mesh, 0);
	until_us = bf_clock_monotonic_us() + 2 * REVOKE_US;
	while (bf_clock_monotonic_us() < until_us) {
		g_assert_cmpuint(status_of(&f, 0, "key-two"), ==, 200);
		g_assert_true(bf_mesh_ready(f.mesh->nodes[0]));
		fixture_run(f.mesh, 50 * BF_US_PER_MS);
	}
	fixture_put(f.mesh, "ops/config", WITHOUT_KEY_TWO);
	fixture_run(f.mesh, REVOKE_US);
	g_assert_cmpuint(status_of(&f, 0, "key-two"), !=, 200);
	/* It gets the configuration soon, at the latest on request. */
	until_us = bf_clock_monotonic_us() + WAIT_US;
	while (status_of(&f, 0, "key-one") != 200 &&
	    bf_clock_monotonic_us() < until_us)
		fixture_run(f.mesh, 50 * BF_US_PER_MS);
	g_assert_cmpuint(status_of(&f, 0, "key-one"), ==, 200);
	g_assert_cmpuint(status_of(&f, 0, "key-two"), ==, 401);
	tear_down(&f);
}

/*
 * The store is gone for all nodes, and a key is withdrawn in it: no call with
 * that key runs after the bound, also none with another key; public routes are
 * served, and the nodes say that they are not ready.
 */
static void
test_store_gone(void)
{
	bf_time_us_t withdrawn_us, until_us;
	uint32_t node, status, served = 0;
	keys_fixture_t f;
	test_call_t call;

	set_up(&f);
	settle_relays(&f);
	g_assert_cmpuint(status_of(&f, 0, "key-two"), ==, 200);
	for (node = 0; node < NODES; node++)
		fixture_cut_from_store(f.mesh, node);
	fixture_put(f.mesh, "ops/config", WITHOUT_KEY_TWO);
	withdrawn_us = bf_clock_monotonic_us();
	until_us = withdrawn_us + 2 * REVOKE_US;
	for (node = 0; bf_clock_monotonic_us() < until_us;
	     node = (node + 1) % NODES) {
		bool late = bf_clock_monotonic_us() - withdrawn_us > REVOKE_US;

		status = status_of(&f, node, "key-two");
		if (late)
			g_assert_cmpuint(status, ==, 503);
		else if (status == 200 &&
		    bf_clock_monotonic_us() - withdrawn_us > REVOKE_US * 4 / 10)
			served++;
		fixture_run(f.mesh, 20 * BF_US_PER_MS);
	}
	/* It does not refuse at once, either. */
	g_assert_cmpuint(served, >, 0);
	for (node = 0; node < NODES; node++) {
		g_assert_false(bf_mesh_ready(f.mesh->nodes[node]));
		g_assert_cmpuint(status_of(&f, node, "key-one"), ==, 503);
		call = send_call(&f, node, "/open/x", "o1",
		    "Authorization: Bearer key-one\r\n");
		g_assert_cmpuint(call.status, ==, 200);
	}
	tear_down(&f);
}

/*
 * A node that has just started, and knows of no other, serves no key before it
 * has read the store; after that it does.
 */
static void
test_restarted(void)
{
	bf_time_us_t until_us;
	keys_fixture_t f;
	uint32_t status;

	set_up(&f);
	fixture_put(f.mesh, "ops/config", WITHOUT_KEY_TWO);
	fixture_restart_node(f.mesh, 0);
	until_us = bf_clock_monotonic_us() + WAIT_US;
	while (!bf_mesh_ready(f.mesh->nodes[0])) {
		status = status_of(&f, 0, "key-two");
		g_assert_true(status == 503 || status == 401);
		g_assert_cmpint(bf_clock_monotonic_us(), <, until_us);
		fixture_run(f.mesh, 20 * BF_US_PER_MS);
	}
	g_assert_cmpuint(status_of(&f, 0, "key-two"), ==, 401);
	tear_down(&f);
}

/*
 * Between versions keys move and accounts lose all of theirs.  A configuration
 * in which two accounts share a key is not applied: the one before stays in
 * force, but its keys are refused, as they may have been withdrawn.
 */
static void
test_keys_change(void)
{
	keys_fixture_t f;

	set_up(&f);
	fixture_configure(
	    f.mesh, "6\n" ROUTES "account first key-b\naccount second key-one");
	g_assert_cmpuint(
	    send_call(&f, 0, "/read/x", "m1", "Authorization: Bearer key-b\r\n")
		.status,
	    ==, 200);
	g_assert_cmpstr(find_run(&f, "m1")->account, ==, "first");
	fixture_configure(
	    f.mesh, "7\n" ROUTES "account first key-b\naccount second key-b");
	fixture_run(f.mesh, REVOKE_US);
	g_assert_cmpuint(bf_routing_version(f.mesh->nodes[0]->routing), ==, 6);
	g_assert_cmpuint(status_of(&f, 0, "key-one"), ==, 503);
	g_assert_cmpuint(send_call(&f, 0, "/open/x", "m2", "").status, ==, 200);
	fixture_configure(f.mesh, "8\n" ROUTES "account first\naccount second");
	fixture_run(f.mesh, BF_US_PER_S / 2);
	g_assert_cmpuint(status_of(&f, 0, "key-one"), ==, 401);
	g_assert_cmpuint(status_of(&f, 0, "key-b"), ==, 401);
	tear_down(&f);
}

/* Without accounts a key and an account field are passed on as they are. */
static void
test_without_accounts(void)
{
	const target_run_t *run;
	keys_fixture_t f;

	set_up(&f);
	fixture_configure(f.mesh, "6\n" ROUTES);
	fixture_run(f.mesh, BF_US_PER_S / 2);
	g_assert_cmpuint(send_call(&f, 0, "/read/x", "c1",
			     "Authorization: Bearer key-x\r\nAccount: any\r\n")
			     .status,
	    ==, 200);
	run = find_run(&f, "c1");
	g_assert_true(run->has_authorization);
	g_assert_cmpstr(run->account, ==, "any");
	g_assert_false(bf_mesh_knows_present_config(
	    f.mesh->nodes[0], bf_clock_boottime_us()));
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	g_test_add_func("/keys/identified", test_identified);
	g_test_add_func("/keys/call-of-target", test_call_of_target);
	g_test_add_func("/keys/offer-field", test_offer_field);
	g_test_add_func("/keys/withdrawn", test_withdrawn);
	g_test_add_func("/keys/unread-config", test_unread_config);
	g_test_add_func("/keys/slow-push", test_slow_push);
	g_test_add_func("/keys/cut-from-store", test_cut_from_store);
	g_test_add_func("/keys/store-gone", test_store_gone);
	g_test_add_func("/keys/restarted", test_restarted);
	g_test_add_func("/keys/change", test_keys_change);
	g_test_add_func("/keys/without-accounts", test_without_accounts);
	return g_test_run();
}
