#include <string.h>

#include <glib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "control/transport.h"
#include "member/record.h"
#include "tests/harness.h"

/*
 * A transport, near, connects to another, far, through the network stand-in,
 * which can drop all data of open connections for good while new ones work.
 */

#define LISTEN_PORT 23101
#define LINK_PORT 23102

typedef struct fixture {
	harness_t *h;
	harness_process_t *link;
	bf_transport_t *near;
	bf_transport_t *far;
	char *far_address;
	char *link_address; /* forwarded to far_address by link */
	int wake_fd;
	guint far_received;
	guint near_received;
} fixture_t;

static bf_transport_t *
open_transport(const char *instance, const char *address)
{
	bf_transport_options_t options = {
		.instance = instance, .address = address, .insecure = true
	};
	bf_transport_t *transport;
	bf_error_t err;

	if (bf_transport_new(&options, &transport, &err) != BF_OK)
		g_error("%s", err.message);
	return transport;
}

/* Sends a command to the network stand-in. */
static void
command_link(fixture_t *f, const char *command)
{
	g_free(harness_request(
	    "PUT", "http://%s/standin/%s", f->link->address, command));
}

static void
set_up(fixture_t *f, gconstpointer data)
{
	g_autofree char *near_address = NULL;
	g_autofree char *map = NULL;
	const char *ip;

	(void)data;
	f->h = harness_new();
	ip = harness_ip(f->h, 1);
	f->far_address = g_strdup_printf("%s:%d", ip, LISTEN_PORT);
	f->link_address = g_strdup_printf("%s:%d", ip, LINK_PORT);
	near_address =
	    g_strdup_printf("%s:%d", harness_ip(f->h, 2), LISTEN_PORT);
	map = g_strdup_printf("--map=%s=%s", f->link_address, f->far_address);
	f->link =
	    harness_start_listening(f->h, "link", "standin_link", map, NULL);
	f->far = open_transport("far", f->far_address);
	f->near = open_transport("near", near_address);
	f->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
}

static void
tear_down(fixture_t *f, gconstpointer data)
{
	(void)data;
	bf_transport_free(f->near, 0);
	bf_transport_free(f->far, 0);
	close(f->wake_fd);
	g_free(f->far_address);
	g_free(f->link_address);
	harness_free(f->h);
}

static void
send_message(fixture_t *f, bf_transport_t *from, const char *sender,
    const char *to, const char *address)
{
	bf_wire_writer_t writer;

	(void)f;
	bf_wire_writer_init(&writer);
	bf_wire_write_header(&writer, BF_MESSAGE_DIRECT, sender);
	bf_transport_send(from, to, address, writer.buffer.data,
	    writer.buffer.size, g_get_monotonic_time());
	bf_wire_writer_free(&writer);
}

static void
receive_at_far(void *ctx, bf_message_kind_t kind, const char *from,
    bf_wire_reader_t *reader)
{
	fixture_t *f = ctx;

	(void)kind;
	(void)reader;
	f->far_received++;
	g_assert_cmpstr(from, ==, "near");
	send_message(f, f->far, "far", from, "");
}

static void
receive_at_near(void *ctx, bf_message_kind_t kind, const char *from,
    bf_wire_reader_t *reader)
{
	fixture_t *f = ctx;

	(void)kind;
	(void)reader;
	f->near_received++;
	g_assert_cmpstr(from, ==, "far");
}

static void
poll_both(fixture_t *f)
{
	bf_transport_poll(f->far, f->wake_fd, 5, receive_at_far, f);
	bf_transport_poll(f->near, f->wake_fd, 5, receive_at_near, f);
}

static bool
near_got_reply(void *ctx)
{
	fixture_t *f = ctx;

	poll_both(f);
	return f->near_received > 0;
}

/* A reply is sent on the connection that near opened. */
static void
test_answer(fixture_t *f, gconstpointer data)
{
	(void)data;
	send_message(f, f->near, "near", "", f->link_address);
	harness_wait_until(near_got_reply, f, "a reply");
	g_assert_cmpuint(f->far_received, ==, 1);
	g_assert_cmpuint(bf_transport_counts(f->far)->dials, ==, 0);
	g_assert_cmpuint(bf_transport_counts(f->near)->dials, ==, 1);
}

/*
 * Messages on a silent connection are lost.  After bf_transport_redial the
 * far end accepts the new connection under the same routing id.
 */
static void
test_silent(fixture_t *f, gconstpointer data)
{
	const char *links[] = { f->link_address };
	guint i;

	(void)data;
	bf_transport_link(f->near, links, 1, g_get_monotonic_time());
	send_message(f, f->near, "near", "", f->link_address);
	harness_wait_until(near_got_reply, f, "a reply");
	command_link(f, "link?map=0&silent=on");
	f->near_received = 0;
	f->far_received = 0;
	for (i = 0; i < 20; i++) {
		send_message(f, f->near, "near", "far", f->link_address);
		poll_both(f);
	}
	g_assert_cmpuint(f->far_received, ==, 0);
	bf_transport_redial(f->near, f->link_address);
	send_message(f, f->near, "near", "far", f->link_address);
	harness_wait_until(near_got_reply, f, "a reply on the new connection");
	g_assert_cmpuint(f->far_received, ==, 1);
}

/*
 * A message with a sender other than the peer's routing id and one with an
 * invalid header are counted and not delivered.
 */
static void
test_false_sender(fixture_t *f, gconstpointer data)
{
	guint i;

	(void)data;
	send_message(f, f->near, "somebody", "", f->far_address);
	bf_transport_send(
	    f->near, "", f->far_address, "\xc1junk", 5, g_get_monotonic_time());
	send_message(f, f->near, "near", "", f->far_address);
	harness_wait_until(near_got_reply, f, "the reply to the valid message");
	for (i = 0; i < 5; i++)
		poll_both(f);
	g_assert_cmpuint(f->far_received, ==, 1);
	g_assert_cmpuint(bf_transport_counts(f->far)->bad_headers, ==, 2);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/transport/answer", fixture_t, NULL, set_up, test_answer,
	    tear_down);
	g_test_add("/transport/silent", fixture_t, NULL, set_up, test_silent,
	    tear_down);
	g_test_add("/transport/false-sender", fixture_t, NULL, set_up,
	    test_false_sender, tear_down);
	return g_test_run();
}
