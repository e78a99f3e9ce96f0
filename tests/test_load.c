#include <glib.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "load/load.h"

#define CALLS 50
#define STALL_US 500000

static FILE *
open_text(const char *text)
{
	return fmemopen((void *)(uintptr_t)text, strlen(text), "r");
}

static void
test_trace_errors_name_the_line(void)
{
	static const struct {
		const char *text;
		size_t calls; /* 0: the trace is invalid */
		const char *message;
	} cases[] = {
		{ "0 GET /a look-up 0\n# note\n\n5 PUT /b scan 100\n", 2, "" },
		{ "5 GET /a x 0\n4 GET /a x 0\n", 0, "line 2" },
		{ "0 GET a x 0\n", 0, "line 1" },
		{ "0 GET /a x\n", 0, "line 1" },
		{ "0 GET /a x -1\n", 0, "line 1" },
		{ "nan GET /a x 0\n", 0, "line 1" },
		{ "0 GET /a x 0 more\n", 0, "line 1" },
	};
	bf_load_trace_t trace;
	bf_error_t err;
	bf_code_t code;
	size_t i;
	FILE *in;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		in = open_text(cases[i].text);
		code = bf_load_trace_read(in, &trace, &err);
		fclose(in);
		g_assert_cmpuint(trace.count, ==, cases[i].calls);
		if (cases[i].calls > 0) {
			g_assert_cmpint(code, ==, BF_OK);
			g_assert_cmpint(trace.calls[1].at_us, ==, 5);
			g_assert_cmpuint(trace.calls[1].body_bytes, ==, 100);
		} else {
			g_assert_cmpint(code, ==, BF_ERR_PARSE);
			g_assert_nonnull(strstr(err.message, cases[i].message));
		}
		bf_load_trace_clear(&trace);
	}
}

static void
test_generated_trace_follows_seed_rate_and_mix(void)
{
	static const char mix[] = "3 GET /look-up x 0\n1 POST /charge y 9\n";
	bf_load_trace_t a, b;
	size_t i, charges;
	bf_error_t err;
	FILE *in;

	in = open_text(mix);
	g_assert_cmpint(
	    bf_load_trace_generate(1000, 10000, in, 7, &a, &err), ==, BF_OK);
	rewind(in);
	g_assert_cmpint(
	    bf_load_trace_generate(1000, 10000, in, 7, &b, &err), ==, BF_OK);
	fclose(in);
	charges = 0;
	for (i = 0; i < a.count; i++) {
		g_assert_cmpint(a.calls[i].at_us, ==, b.calls[i].at_us);
		g_assert_cmpstr(a.calls[i].path, ==, b.calls[i].path);
		charges += a.calls[i].body_bytes == 9;
	}
	/* Four standard deviations of a quarter of 10000, and of 10 s. */
	g_assert_cmpuint(charges, >, 2500 - 174);
	g_assert_cmpuint(charges, <, 2500 + 174);
	g_assert_cmpint(a.calls[9999].at_us, >, 9600000);
	g_assert_cmpint(a.calls[9999].at_us, <, 10400000);
	bf_load_trace_clear(&a);
	bf_load_trace_clear(&b);
}

/* Serves CALLS requests on one connection, the first after STALL_US. */
static gpointer
serve_stalled(gpointer data)
{
	static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 16"
				       "\r\n\r\ndigest=00 id=no ";
	char request[4096];
	int fd, i;

	fd = accept(GPOINTER_TO_INT(data), NULL, NULL);
	for (i = 0; i < CALLS; i++) {
		if (recv(fd, request, sizeof(request), 0) <= 0)
			break;
		if (i == 0)
			g_usleep(STALL_US);
		if (send(fd, response, sizeof(response) - 1, MSG_NOSIGNAL) < 0)
			break;
	}
	close(fd);
	return NULL;
}

/*
 * Half of the calls are due in the first half of the stall, so their latency is
 * at least half of it; a closed-loop generator would measure one slow call.  No
 * response has the digest and id of its request.
 */
static void
test_stall_delays_every_call_and_wrong_responses_are_counted(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	static bf_load_report_t report;
	socklen_t bytes = sizeof(address);
	bf_load_options_t options = { .target_count = 1, .connections = 1 };
	bf_load_call_t calls[CALLS];
	bf_load_trace_t trace = { .calls = calls, .count = CALLS };
	const char *targets[1];
	bf_error_t err;
	GThread *server;
	char url[64];
	int fd, i;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, bytes), ==, 0);
	g_assert_cmpint(listen(fd, 1), ==, 0);
	getsockname(fd, (struct sockaddr *)&address, &bytes);
	snprintf(
	    url, sizeof(url), "http://127.0.0.1:%u", ntohs(address.sin_port));
	targets[0] = url;
	options.targets = targets;
	for (i = 0; i < CALLS; i++)
		calls[i] = (bf_load_call_t){ .at_us = (bf_time_us_t)i *
			    STALL_US / CALLS,
			.method = "GET",
			.path = "/",
			.call_class = "plain" };
	server = g_thread_new("server", serve_stalled, GINT_TO_POINTER(fd));
	g_assert_cmpint(
	    bf_load_run(&options, &trace, &report, &err), ==, BF_OK);
	g_thread_join(server);
	close(fd);
	g_assert_cmpuint(
	    report.series[0].outcomes[BF_LOAD_ANSWERED], ==, CALLS);
	g_assert_cmpuint(report.series[0].wrong, ==, CALLS);
	g_assert_cmpuint(report.series[0].verified, ==, 0);
	g_assert_cmpint(bf_histogram_quantile(&report.series[0].latency, 0.5),
	    >=, STALL_US / 2);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load/trace", test_trace_errors_name_the_line);
	g_test_add_func(
	    "/load/made", test_generated_trace_follows_seed_rate_and_mix);
	g_test_add_func("/load/stall",
	    test_stall_delays_every_call_and_wrong_responses_are_counted);
	return g_test_run();
}
