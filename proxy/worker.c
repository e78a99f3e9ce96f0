#include "proxy/worker.h"

#include <errno.h>
#include <inttypes.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/random.h>
#include <syslog.h>
#include <unistd.h>

#include <urcu.h>

#include "proxy/call.h"
#include "proxy/target_hop.h"

#define TCP_FLAGS_OFFSET 13 /* bytes from the start of a TCP header */
#define EVENTS_PER_WAIT 64
#define IDLE_TIMEOUT_MS 1000
/* After this time without a further one, crowding is over. */
#define CROWDED_US (5 * BF_US_PER_S)
#define CONNECTION_TIMEOUT_S 75U
#define RETRY_BURST 10
/* Age of a call from which on the caller's connection is watched. */
#define WATCH_AFTER_US (20 * BF_US_PER_MS)
#define STOP_ROUNDS_MAX 100

/* Called when libmicrohttpd itself has rejected a request head. */
static void
on_server_message(void *cls, const char *fmt, va_list arguments)
{
	bf_server_t *server = cls;

	(void)fmt;
	(void)arguments;
	bf_worker_count(server->worker, BF_METRIC_BAD_HEADS, 1);
}

static bool
open_server(bf_worker_t *worker, bf_server_t *server)
{
	const union MHD_DaemonInfo *info;
	struct epoll_event event;

	server->daemon =
	    MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
		    MHD_USE_ERROR_LOG | MHD_USE_SUPPRESS_DATE_NO_CLOCK,
		0, NULL, NULL, bf_call_handle_request, server,
		MHD_OPTION_EXTERNAL_LOGGER, on_server_message, server,
		MHD_OPTION_LISTEN_SOCKET, server->listen_fd,
		MHD_OPTION_URI_LOG_CALLBACK, bf_call_new, server,
		MHD_OPTION_NOTIFY_COMPLETED, bf_call_handle_completion, server,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, BF_SERVER_CONNECTION_BYTES,
		MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)server->conns.max + BF_CONNS_SPARE,
		MHD_OPTION_NOTIFY_CONNECTION, bf_conns_notify, &server->conns,
		MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
	if (server->daemon == NULL)
		return false;
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	if (info == NULL)
		return false;
	memset(&event, 0, sizeof(event));
	event.events = EPOLLIN;
	event.data.ptr = &server->source;
	return epoll_ctl(worker->epoll_fd, EPOLL_CTL_ADD, info->epoll_fd,
		   &event) == 0;
}

static bool
open_event_loop(bf_worker_t *worker)
{
	struct epoll_event event;

	worker->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	worker->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (worker->epoll_fd < 0 || worker->wake_fd < 0)
		return false;
	memset(&event, 0, sizeof(event));
	event.events = EPOLLIN;
	event.data.ptr = &worker->wake_source;
	return epoll_ctl(worker->epoll_fd, EPOLL_CTL_ADD, worker->wake_fd,
		   &event) == 0;
}

static bool
open_random(bf_worker_t *worker)
{
	unsigned long seed;

	if (getrandom(&seed, sizeof(seed), 0) != (ssize_t)sizeof(seed))
		return false;
	worker->rng = gsl_rng_alloc(gsl_rng_mt19937);
	if (worker->rng == NULL)
		return false;
	gsl_rng_set(worker->rng, seed);
	return true;
}

bf_code_t
bf_worker_open(bf_worker_t *worker, bf_proxy_t *proxy, uint32_t index,
    const int listen_fds[BF_HOPS], bf_error_t *err)
{
	static const bf_hop_t *const hops[BF_HOPS] = { &bf_entry_hop,
		&bf_target_hop };
	int i;

	worker->proxy = proxy;
	worker->index = index;
	worker->metrics = &proxy->metrics;
	worker->wake_source.kind = BF_EVENT_SOURCE_WAKE;
	TAILQ_INIT(&worker->calls);
	TAILQ_INIT(&worker->scheduled);
	TAILQ_INIT(&worker->unwatched);
	TAILQ_INIT(&worker->waiting);
	bf_budget_init(
	    &worker->budget, proxy->options.retry_share_ppm, RETRY_BURST);
	for (i = 0; i < BF_HOPS; i++) {
		worker->servers[i].source.kind = BF_EVENT_SOURCE_SERVER;
		worker->servers[i].worker = worker;
		worker->servers[i].hop = hops[i];
		worker->servers[i].listen_fd = listen_fds[i];
		bf_conns_init(&worker->servers[i].conns,
		    proxy->options.connections_max /
			(i == 0 ? BF_CONNS_ENTRY_DIVISOR
				: BF_CONNS_TARGET_DIVISOR) /
			proxy->options.threads);
	}
	worker->shard = bf_counters_add_shard(proxy->options.counters);
	if (worker->shard == NULL)
		return bf_error_set(err, BF_ERR_MEMORY,
		    "out of memory allocating a worker's counters");
	if (!open_random(worker) || !open_event_loop(worker) ||
	    !bf_client_open(&worker->client, worker->epoll_fd,
		proxy->options.connections_max / proxy->options.threads / 2))
		return bf_error_set(err, BF_ERR_IO,
		    "cannot create a worker's event loop: %s", strerror(errno));
	for (i = 0; i < BF_HOPS; i++) {
		if (listen_fds[i] >= 0 &&
		    !open_server(worker, &worker->servers[i]))
			return bf_error_set(err, BF_ERR_IO,
			    "cannot start the HTTP server of hop %d", i + 1);
	}
	return BF_OK;
}

void
bf_worker_wake(bf_worker_t *worker)
{
	uint64_t one;

	one = 1;
	if (write(worker->wake_fd, &one, sizeof(one)) < 0)
		return; /* The eventfd counter is full: the worker will wake. */
}

void
bf_worker_wake_waiting(bf_proxy_t *proxy)
{
	uint32_t i;

	for (i = 0; i < proxy->worker_count; i++) {
		if (atomic_load(&proxy->workers[i].waiting_count) > 0)
			bf_worker_wake(&proxy->workers[i]);
	}
}

bf_table_t *
bf_worker_hold_table(bf_worker_t *worker)
{
	bf_table_t *table;

	rcu_read_lock();
	table =
	    atomic_load_explicit(&worker->proxy->table, memory_order_acquire);
	if (table != NULL)
		bf_table_hold(table);
	rcu_read_unlock();
	return table;
}

bf_served_target_t *
bf_worker_hold_target(bf_worker_t *worker)
{
	bf_served_target_t *served;

	rcu_read_lock();
	served =
	    atomic_load_explicit(&worker->proxy->target, memory_order_acquire);
	if (served != NULL)
		bf_served_target_hold(served);
	rcu_read_unlock();
	return served;
}

uint64_t
bf_worker_random(bf_worker_t *worker)
{
	uint64_t value;

	do {
		value = (uint64_t)gsl_rng_get(worker->rng) << 32 |
		    gsl_rng_get(worker->rng);
	} while (value == 0);
	return value;
}

void
bf_worker_count(bf_worker_t *worker, bf_metric_t metric, uint64_t n)
{
	bf_counter_add(worker->shard, worker->metrics->counters[metric], n);
}

static void
finish_upstreams(bf_worker_t *worker)
{
	CURLMsg *message;
	bf_call_t *call;
	CURLcode code;
	char *private;
	int left;

	for (;;) {
		message = curl_multi_info_read(worker->client.multi, &left);
		if (message == NULL)
			return;
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		private = NULL;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &private);
		call = (bf_call_t *)(void *)private;
		bf_upstream_finish(call, code);
	}
}

static void
advance_calls(bf_worker_t *worker, bf_time_us_t now_us)
{
	bf_call_t *call;

	while ((call = TAILQ_FIRST(&worker->scheduled)) != NULL) {
		TAILQ_REMOVE(&worker->scheduled, call, scheduled_link);
		call->is_scheduled = false;
		bf_call_advance(call, now_us);
	}
}

static bool
run_servers(bf_worker_t *worker)
{
	bool ran;
	int i;

	ran = false;
	for (i = 0; i < BF_HOPS; i++) {
		if (worker->servers[i].daemon == NULL ||
		    !worker->servers[i].due)
			continue;
		worker->servers[i].due = false;
		MHD_run(worker->servers[i].daemon);
		if (worker->servers[i].conns.ended)
			worker->servers[i].due = true;
		worker->servers[i].conns.ended = false;
		ran = true;
	}
	return ran;
}

/*
 * Runs timers, transfers, calls and servers until none can make progress
 * without waiting.  Returns the time at which the next wait for a slot ends.
 */
static bf_time_us_t
run_round(bf_worker_t *worker)
{
	bf_time_us_t now_us, next_us;

	do {
		now_us = bf_clock_monotonic_us();
		bf_client_run_timer(&worker->client, now_us);
		finish_upstreams(worker);
		next_us = bf_target_hop_serve_queue(worker, now_us);
		advance_calls(worker, now_us);
	} while (run_servers(worker) || worker->client.timer_at_us <= now_us ||
	    !TAILQ_EMPTY(&worker->scheduled));
	return next_us;
}

static void
watch_long_calls(bf_worker_t *worker, bf_time_us_t now_us)
{
	bf_call_t *call;

	while ((call = TAILQ_FIRST(&worker->unwatched)) != NULL) {
		if (call->start_us + WATCH_AFTER_US > now_us)
			return;
		bf_call_watch(call);
	}
}

static int
epoll_timeout_ms(bf_worker_t *worker, bf_time_us_t next_us)
{
	bf_time_us_t now_us;
	MHD_UNSIGNED_LONG_LONG server_ms;
	bf_call_t *call;
	int64_t timeout_ms;
	int i;

	call = TAILQ_FIRST(&worker->unwatched);
	if (call != NULL && call->start_us + WATCH_AFTER_US < next_us)
		next_us = call->start_us + WATCH_AFTER_US;
	if (worker->client.timer_at_us < next_us)
		next_us = worker->client.timer_at_us;
	now_us = bf_clock_monotonic_us();
	timeout_ms = IDLE_TIMEOUT_MS;
	if (next_us <= now_us)
		return 0;
	if ((next_us - now_us + BF_US_PER_MS - 1) / BF_US_PER_MS < timeout_ms)
		timeout_ms =
		    (next_us - now_us + BF_US_PER_MS - 1) / BF_US_PER_MS;
	for (i = 0; i < BF_HOPS; i++) {
		if (worker->servers[i].daemon == NULL ||
		    MHD_get_timeout(worker->servers[i].daemon, &server_ms) !=
			MHD_YES)
			continue;
		if (server_ms <= (MHD_UNSIGNED_LONG_LONG)timeout_ms) {
			timeout_ms = (int64_t)server_ms;
			worker->servers[i].due = true;
		}
	}
	return (int)timeout_ms;
}

static void
handle_event(bf_worker_t *worker, bf_event_source_t *source, uint32_t events,
    bf_time_us_t now_us)
{
	uint64_t count;

	switch (source->kind) {
	case BF_EVENT_SOURCE_WAKE:
		if (read(worker->wake_fd, &count, sizeof(count)) < 0)
			return; /* An earlier read has consumed this event. */
		break;
	case BF_EVENT_SOURCE_SERVER:
		((bf_server_t *)source)->due = true;
		break;
	case BF_EVENT_SOURCE_SOCKET:
		bf_client_handle_event(
		    &worker->client, (bf_socket_t *)source, events);
		break;
	case BF_EVENT_SOURCE_CALLER:
		bf_call_handle_caller_event(
		    (bf_call_t *)source, events, now_us);
		break;
	}
}

/* Adds the connections that libcurl has opened to the worker's counter. */
static void
count_connections(bf_worker_t *worker)
{
	bf_worker_count(worker, BF_METRIC_CONNECTIONS_OPENED,
	    worker->client.connections_opened);
	worker->client.connections_opened = 0;
}

/* Logs when connections begin or cease to be closed for others. */
static void
note_crowding(bf_worker_t *worker, uint64_t closed, bf_time_us_t now_us)
{
	bf_log_t *log = worker->proxy->options.log;

	if (closed > 0) {
		bf_worker_count(worker, BF_METRIC_CLOSED_FOR_OTHERS, closed);
		worker->closed_for_others += closed;
		worker->crowded_us = now_us;
		if (!worker->crowded && log != NULL)
			bf_log_line(log, LOG_WARNING,
			    "worker %u has no connection left: those that "
			    "stand still are closed for others",
			    (unsigned int)worker->index);
		worker->crowded = true;
	} else if (worker->crowded &&
	    now_us - worker->crowded_us > CROWDED_US) {
		worker->crowded = false;
		if (log != NULL)
			bf_log_line(log, LOG_NOTICE,
			    "worker %u has connections left again; %" PRIu64
			    " were closed for others",
			    (unsigned int)worker->index,
			    worker->closed_for_others);
		worker->closed_for_others = 0;
	}
}

static void
make_room(bf_worker_t *worker, bf_time_us_t now_us)
{
	uint64_t closed = 0;
	bf_conns_t *conns;
	int i;

	for (i = 0; i < BF_HOPS; i++) {
		conns = &worker->servers[i].conns;
		bf_conns_make_room(conns, now_us);
		closed += conns->closed_for_others;
		conns->closed_for_others = 0;
	}
	note_crowding(worker, closed, now_us);
}

static void
stop_servers(bf_worker_t *worker)
{
	bf_call_t *call, *following;
	int i, round;

	for (call = TAILQ_FIRST(&worker->calls); call != NULL;
	     call = following) {
		following = TAILQ_NEXT(call, call_link);
		bf_call_cancel(call, bf_clock_monotonic_us());
	}
	/* Suspended requests must be completed before their server stops. */
	for (round = 0; round < STOP_ROUNDS_MAX; round++) {
		for (i = 0; i < BF_HOPS; i++)
			worker->servers[i].due = true;
		(void)run_servers(worker);
		advance_calls(worker, bf_clock_monotonic_us());
		if (TAILQ_EMPTY(&worker->calls))
			break;
	}
	for (i = 0; i < BF_HOPS; i++) {
		if (worker->servers[i].daemon != NULL)
			MHD_stop_daemon(worker->servers[i].daemon);
		worker->servers[i].daemon = NULL;
		worker->servers[i].listen_fd = -1;
	}
}

/*
 * Closing a listening socket resets the established connections still in its
 * backlog, which may hold requests.  So the socket stays open, a filter drops
 * the first segment of new connections (SYN without ACK), and the connections
 * in the backlog are served.
 */
static void
drop_syn_segments(int listen_fd)
{
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	const struct sock_fprog program = {
		.len = sizeof(code) / sizeof(code[0]),
		.filter = code,
	};

	(void)setsockopt(
	    listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

void
bf_worker_stop_accepting(bf_worker_t *worker)
{
	int i;

	for (i = 0; i < BF_HOPS; i++) {
		if (worker->servers[i].listen_fd >= 0)
			drop_syn_segments(worker->servers[i].listen_fd);
	}
}

static void *
run(void *ctx)
{
	struct epoll_event events[EVENTS_PER_WAIT];
	bf_worker_t *worker = ctx;
	bf_time_us_t now_us, next_us;
	int count, i;

	rcu_register_thread();
	next_us = INT64_MAX;
	while (!atomic_load(&worker->stop)) {
		count = epoll_wait(worker->epoll_fd, events, EVENTS_PER_WAIT,
		    epoll_timeout_ms(worker, next_us));
		now_us = bf_clock_monotonic_us();
		for (i = 0; i < count; i++)
			handle_event(worker, events[i].data.ptr,
			    events[i].events, now_us);
		watch_long_calls(worker, now_us);
		next_us = run_round(worker);
		make_room(worker, now_us);
		count_connections(worker);
	}
	stop_servers(worker);
	rcu_unregister_thread();
	return NULL;
}

bf_code_t
bf_worker_start(bf_worker_t *worker, bf_error_t *err)
{
	if (pthread_create(&worker->thread, NULL, run, worker) != 0)
		return bf_error_set(
		    err, BF_ERR_IO, "cannot create a worker thread");
	worker->started = true;
	return BF_OK;
}

void
bf_worker_close(bf_worker_t *worker)
{
	size_t i;

	atomic_store(&worker->stop, true);
	if (worker->started) {
		bf_worker_wake(worker);
		pthread_join(worker->thread, NULL);
	} else {
		stop_servers(worker);
	}
	for (i = 0; i < worker->idle_count; i++)
		curl_easy_cleanup(worker->idle_handles[i]);
	bf_client_close(&worker->client);
	if (worker->rng != NULL)
		gsl_rng_free(worker->rng);
	if (worker->wake_fd > 0)
		close(worker->wake_fd);
	if (worker->epoll_fd > 0)
		close(worker->epoll_fd);
}
