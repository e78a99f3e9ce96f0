#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "observe/events.h"
#include "observe/metrics.h"

static json_t *
read_line(int fd)
{
	static char buffer[1 << 20];
	ssize_t n;

	n = read(fd, buffer, sizeof(buffer) - 1);
	g_assert_cmpint(n, >, 0);
	buffer[n] = '\0';
	g_assert_cmpint(buffer[n - 1], ==, '\n');
	return json_loads(buffer, 0, NULL);
}

static void
test_line(void)
{
	bf_events_t *events;
	json_t *line;
	int fds[2];

	g_assert_cmpint(pipe(fds), ==, 0);
	events = bf_events_new(fds[1], "n1", 10);
	bf_event(events, BF_EVENT_CONFIG, 42, "s:s,s:I", "from", "a \"b\"\n",
	    "version", (json_int_t)7);
	g_assert_false(bf_events_flush(events, 42));
	line = read_line(fds[0]);
	g_assert_cmpstr(
	    json_string_value(json_object_get(line, "event")), ==, "config");
	g_assert_cmpstr(
	    json_string_value(json_object_get(line, "instance")), ==, "n1");
	g_assert_cmpstr(
	    json_string_value(json_object_get(line, "from")), ==, "a \"b\"\n");
	g_assert_cmpint(
	    json_integer_value(json_object_get(line, "version")), ==, 7);
	json_decref(line);
	bf_events_free(events);
	close(fds[0]);
	close(fds[1]);
}

/*
 * While the reader does not read, lines are dropped and counted; the writer
 * neither blocks nor grows its buffer.
 */
static void
test_blocked_reader(void)
{
	bf_events_t *events;
	bf_time_us_t now_us = 0, began_us;
	char buffer[65536];
	uint64_t dropped;
	uint32_t i;
	int fds[2];

	g_assert_cmpint(pipe(fds), ==, 0);
	events = bf_events_new(fds[1], "n1", 1);
	began_us = bf_clock_monotonic_us();
	for (i = 0; i < 20000; i++) {
		now_us += 50 * BF_US_PER_MS;
		bf_event(events, BF_EVENT_MOVE, now_us, "s:s", "change",
		    "a text of some length, as moves have them");
		(void)bf_events_flush(events, now_us);
	}
	g_assert_cmpint(
	    bf_clock_monotonic_us() - began_us, <, 20 * BF_US_PER_S);
	dropped = bf_events_dropped(events);
	g_assert_cmpuint(dropped, >, 10000);
	while (read(fds[0], buffer, sizeof(buffer)) == sizeof(buffer))
		(void)bf_events_flush(events, now_us);
	(void)bf_events_flush(events, now_us);
	g_assert_cmpuint(bf_events_dropped(events), >=, dropped);
	bf_events_free(events);
	close(fds[0]);
	close(fds[1]);
}

/* Each kind is limited per second and is written again in the next one. */
static void
test_rate(void)
{
	int fd = open("/dev/null", O_WRONLY);
	bf_events_t *events = bf_events_new(fd, "n1", 1);
	uint64_t written;
	uint32_t i;

	for (i = 0; i < 1000; i++)
		bf_event(events, BF_EVENT_RAN, 5 * BF_US_PER_S, "s:i", "n", 1);
	written = bf_events_written(events);
	g_assert_cmpuint(written, >, 0);
	g_assert_cmpuint(written, <, 200);
	g_assert_cmpuint(written + bf_events_dropped(events), ==, 1000);
	bf_event(events, BF_EVENT_RAN, 7 * BF_US_PER_S, "s:i", "n", 1);
	g_assert_cmpuint(bf_events_written(events), ==, written + 1);
	bf_events_free(events);
	close(fd);
}

/* All nodes sample the same calls. */
static void
test_sampling(void)
{
	bf_events_t *a = bf_events_new(1, "a", 100);
	bf_events_t *b = bf_events_new(1, "b", 100);
	uint32_t sampled = 0, i;
	char id[24];

	for (i = 0; i < 10000; i++) {
		g_snprintf(id, sizeof(id), "id-%u", i);
		g_assert_cmpint(
		    bf_events_sampled(a, id), ==, bf_events_sampled(b, id));
		sampled += bf_events_sampled(a, id) ? 1 : 0;
	}
	g_assert_cmpuint(sampled, >, 50);
	g_assert_cmpuint(sampled, <, 200);
	g_assert_false(bf_events_sampled(NULL, "x"));
	bf_events_free(a);
	bf_events_free(b);
}

static void
test_metrics(void)
{
	bf_metrics_set_t *set = bf_metrics_set_new();
	bf_metric_family_t *calls, *times;
	bf_bytes_t text = { 0 };
	char label[24];
	uint32_t i;

	calls = bf_metrics_add(
	    set, BF_METRIC_COUNTER, "calls_total", "Calls", "outcome");
	times = bf_metrics_add(
	    set, BF_METRIC_HISTOGRAM, "call_microseconds", "Times", NULL);
	bf_metric_count(calls, "answered", 2);
	bf_metric_observe(times, NULL, 1000);
	/* Label values beyond the limit are counted as "other". */
	for (i = 0; i < 1000; i++) {
		g_snprintf(label, sizeof(label), "l%u", i);
		bf_metric_count(calls, label, 1);
	}
	g_assert_cmpuint(bf_metric_value(calls, "answered"), ==, 2);
	g_assert_cmpuint(bf_metric_value(calls, "other"), >, 900);
	bf_metrics_print(set, &text);
	bf_bytes_add(&text, "", 1);
	g_assert_nonnull(strstr((const char *)bf_bytes_data(&text),
	    "# TYPE calls_total counter\ncalls_total{outcome=\"answered\"} 2"));
	g_assert_nonnull(strstr(
	    (const char *)bf_bytes_data(&text), "call_microseconds_count 1\n"));
	g_assert_nonnull(strstr((const char *)bf_bytes_data(&text),
	    "call_microseconds{quantile=\"0.5\"} "));
	bf_bytes_free(&text);
	bf_metrics_set_free(set);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/events/line", test_line);
	g_test_add_func("/events/shut-reader", test_blocked_reader);
	g_test_add_func("/events/rate", test_rate);
	g_test_add_func("/events/sampling", test_sampling);
	g_test_add_func("/metrics/text", test_metrics);
	return g_test_run();
}
