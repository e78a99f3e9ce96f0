#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "load/request.h"

#define EVENTS_MAX 64
#define CONNECTIONS_DEFAULT 64L
#define SERIES_MAX 2
#define NS_PER_US 1000

typedef struct run {
	const bf_load_options_t *options;
	const bf_load_trace_t *trace;
	bf_load_report_t *report;
	bf_client_t client;
	int epoll_fd;
	bf_time_us_t start_us;
	size_t next_send;  /* index; sends are ordered by intended time */
	size_t send_count; /* calls times series */
	size_t in_flight;
	bool out_of_memory;
} run_t;

static size_t
series_count(const run_t *run)
{
	return run->options->baseline != NULL ? SERIES_MAX : 1;
}

/*
 * The intended time of a send.  A call to the baseline starts halfway to the
 * next call, so that the two do not reach the target at the same time.
 */
static bf_time_us_t
intended_us(const run_t *run, size_t send)
{
	const bf_load_call_t *calls = run->trace->calls;
	bf_time_us_t gap_us;
	size_t i;

	i = send / series_count(run);
	gap_us = 0;
	if (send % series_count(run) == 1 && i + 1 < run->trace->count)
		gap_us = (calls[i + 1].at_us - calls[i].at_us) / 2;
	return run->start_us + calls[i].at_us + gap_us;
}

static bool
start_next_send(run_t *run, bf_time_us_t now_us)
{
	const bf_load_options_t *options = run->options;
	bf_load_series_t *series;
	bf_load_request_t *request;
	const char *base_url;
	size_t i;

	i = run->next_send / series_count(run);
	series = &run->report->series[run->next_send % series_count(run)];
	base_url = series == &run->report->series[0]
	    ? options->targets[i % options->target_count]
	    : options->baseline;
	request = bf_load_request_new(&run->client, series, base_url,
	    &run->trace->calls[i], options, run->next_send);
	if (request == NULL)
		return false;
	request->intended_us = intended_us(run, run->next_send);
	if (now_us - request->intended_us > series->lag_max_us)
		series->lag_max_us = now_us - request->intended_us;
	if (curl_multi_add_handle(run->client.multi, request->easy) !=
	    CURLM_OK) {
		bf_load_request_free(request);
		return false;
	}
	series->calls++;
	run->next_send++;
	run->in_flight++;
	return true;
}

static void
finish_requests(run_t *run)
{
	bf_load_request_t *request;
	CURLMsg *message;
	char *private;
	CURLcode code;
	int remaining;

	for (;;) {
		message = curl_multi_info_read(run->client.multi, &remaining);
		if (message == NULL)
			return;
		code = message->data.result;
		private = NULL;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &private);
		request = (bf_load_request_t *)(void *)private;
		bf_load_request_finish(request, code, bf_clock_monotonic_us());
		curl_multi_remove_handle(run->client.multi, request->easy);
		bf_load_request_free(request);
		run->in_flight--;
	}
}

static void
wait_events(run_t *run)
{
	struct epoll_event events[EVENTS_MAX];
	bf_time_us_t now_us, wake_us;
	struct timespec timeout;
	int count, i;

	wake_us = run->client.timer_at_us;
	if (run->next_send < run->send_count &&
	    intended_us(run, run->next_send) < wake_us)
		wake_us = intended_us(run, run->next_send);
	now_us = bf_clock_monotonic_us();
	if (wake_us < now_us)
		wake_us = now_us;
	if (wake_us - now_us > BF_US_PER_S)
		wake_us = now_us + BF_US_PER_S;
	timeout.tv_sec = (wake_us - now_us) / BF_US_PER_S;
	timeout.tv_nsec = (wake_us - now_us) % BF_US_PER_S * NS_PER_US;
	count = epoll_pwait2(run->epoll_fd, events, EVENTS_MAX, &timeout, NULL);
	for (i = 0; i < count; i++)
		bf_client_handle_event(
		    &run->client, events[i].data.ptr, events[i].events);
}

static void
run_loop(run_t *run)
{
	bf_time_us_t now_us;

	run->start_us = bf_clock_monotonic_us();
	while (run->next_send < run->send_count || run->in_flight > 0) {
		now_us = bf_clock_monotonic_us();
		while (run->next_send < run->send_count &&
		    intended_us(run, run->next_send) <= now_us) {
			if (!start_next_send(run, now_us)) {
				run->out_of_memory = true;
				return;
			}
		}
		bf_client_run_timer(&run->client, now_us);
		finish_requests(run);
		if (run->next_send < run->send_count || run->in_flight > 0)
			wait_events(run);
		finish_requests(run);
	}
	run->report->duration_us = bf_clock_monotonic_us() - run->start_us;
}

bf_code_t
bf_load_run(const bf_load_options_t *options, const bf_load_trace_t *trace,
    bf_load_report_t *report, bf_error_t *err)
{
	run_t run = { .options = options, .trace = trace, .report = report };
	bf_code_t code;

	memset(report, 0, sizeof(*report));
	if (options->target_count == 0 || trace->count == 0)
		return bf_error_set(
		    err, BF_ERR_ARGUMENT, "no target, or an empty trace");
	report->series[0].url = options->targets[0];
	report->series[1].url = options->baseline;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	run.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (run.epoll_fd < 0 ||
	    !bf_client_open(&run.client, run.epoll_fd, UINT32_MAX))
		return bf_error_set(err, BF_ERR_IO,
		    "cannot create the event loop: %s", strerror(errno));
	curl_multi_setopt(run.client.multi, CURLMOPT_MAX_HOST_CONNECTIONS,
	    options->connections > 0 ? (long)options->connections
				     : CONNECTIONS_DEFAULT);
	run.send_count = trace->count * series_count(&run);
	run_loop(&run);
	code = BF_OK;
	if (run.out_of_memory)
		code = bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a request");
	bf_client_close(&run.client);
	close(run.epoll_fd);
	return code;
}
