#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "review/lib-2/soak/rig.h"

#define TICK_US (20 * BF_US_PER_MS)
#define READY_INTERVAL_US BF_US_PER_S
#define READY_INTERVAL_FIRST_US (100 * BF_US_PER_MS)
#define HEARTBEAT_US (1500 * BF_US_PER_MS)
#define HEARTBEAT_TIMEOUT_US BF_US_PER_S
#define FIRST_BEAT_US (300 * BF_US_PER_MS)
/* After all nodes are ready, they learn of each other's targets. */
#define SETTLE_US (3 * BF_US_PER_S)
#define IDLE_US (10 * BF_US_PER_S)
#define PORT_FIRST 12000
#define PORTS_PER_NODE 8
/* The command of the deploy file. */
#ifndef RIG_PROGRAM
#define RIG_PROGRAM "target/bin/basilmeshd"
#endif

bf_time_us_t
rig_now(const rig_t *rig)
{
	return bf_clock_monotonic_us() - rig->began_us;
}

void
rig_log(rig_t *rig, const char *fmt, ...)
{
	va_list args;

	fprintf(rig->record, "%8.3f ", (double)rig_now(rig) / BF_US_PER_S);
	va_start(args, fmt);
	(void)vfprintf(rig->record, fmt, args);
	va_end(args);
	fprintf(rig->record, "\n");
	(void)fflush(rig->record);
}

void
rig_put(rig_t *rig, const char *key, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	soak_store_put(&rig->store, key, text);
	rig_log(rig, "operator: %s is written and acknowledged: %s", key, text);
	g_free(text);
}

void
rig_after(rig_t *rig, bf_timer_t *timer, uint32_t ms)
{
	bf_loop_timer_set(rig->loop, timer,
	    bf_clock_monotonic_us() + (bf_time_us_t)ms * BF_US_PER_MS);
}

/* ---- targets ---- */

static void
end_run(rig_run_t *run, bool abandoned, bf_time_us_t now_us)
{
	rig_target_t *target = run->target;

	rig_log(target->rig, "target %s: %s %s after %.0f ms", target->id,
	    run->id, abandoned ? "is dropped, its connection closed," : "ends",
	    (double)(now_us - run->began_us) / BF_US_PER_MS);
	target->running--;
	bf_loop_timer_cancel(target->rig->loop, &run->timer);
	if (target->ended != NULL)
		target->ended(run, abandoned, now_us);
	bf_loop_defer_free(target->rig->loop, run);
}

static void
on_run_done(bf_timer_t *timer, bf_time_us_t now_us)
{
	rig_run_t *run = BF_CONTAINER(timer, rig_run_t, timer);
	bf_http_request_t *request = run->request;
	rig_target_t *target = run->target;
	char fields[512], body[256];
	uint32_t status =
	    target->status_of != NULL ? target->status_of(run) : 200;

	(void)g_snprintf(body, sizeof(body), "body of %s", run->id);
	(void)g_snprintf(fields, sizeof(fields),
	    "Request-Id: %s\r\nResponse-Signature: %s.%s\r\n"
	    "Server-Load: %u,0,%u\r\n",
	    run->id, target->id, run->id, target->running - 1, target->slots);
	request->user = NULL;
	end_run(run, false, now_us);
	bf_http_answer(request, status, fields, body, strlen(body));
}

static uint32_t
work_of_path(rig_run_t *run)
{
	const char *slash = strrchr(run->path, '/');

	return slash != NULL ? (uint32_t)strtoul(slash + 1, NULL, 10) : 0;
}

static void
on_target_request(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	rig_target_t *target = (rig_target_t *)(void *)server;
	const char *id = bf_http_find(request->message, "Request-Id");
	const char *expected =
	    bf_http_find(request->message, "Expected-Instance");
	const char *path = bf_http_target(request->message);
	char fields[160];
	rig_run_t *run;

	if (strcmp(path, "/health") == 0) {
		(void)g_snprintf(
		    fields, sizeof(fields), "Instance-Id: %s\r\n", target->id);
		bf_http_answer(
		    request, target->draining ? 503 : 200, fields, "", 0);
		return;
	}
	(void)g_snprintf(fields, sizeof(fields),
	    "Request-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n",
	    id != NULL ? id : "", target->id);
	if (id == NULL) {
		bf_http_answer(request, 400, "Not-Executed: 1\r\n", "", 0);
		return;
	}
	if (expected != NULL && strcmp(expected, target->id) != 0) {
		rig_log(target->rig,
		    "target %s: %s is answered 421, it expects %s", target->id,
		    id, expected);
		bf_http_answer(request, 421, fields, "", 0);
		return;
	}
	if (target->running >= target->slots) {
		rig_log(target->rig,
		    "target %s: %s is answered 503, it is full", target->id,
		    id);
		bf_http_answer(request, 503, fields, "", 0);
		return;
	}
	run = g_new0(rig_run_t, 1);
	run->target = target;
	run->request = request;
	run->began_us = now_us;
	run->timer.fire = on_run_done;
	(void)g_strlcpy(run->id, id, sizeof(run->id));
	(void)g_strlcpy(run->path, path, sizeof(run->path));
	request->user = run;
	target->running++;
	rig_log(target->rig, "target %s: runs %s, %s, tenant %s", target->id,
	    id, path,
	    bf_http_find(request->message, "Tenant") != NULL
		? bf_http_find(request->message, "Tenant")
		: "-");
	bf_loop_timer_set(target->rig->loop, &run->timer,
	    now_us +
		(bf_time_us_t)(target->work_ms != NULL ? target->work_ms(run)
						       : work_of_path(run)) *
		    BF_US_PER_MS);
	if (target->began != NULL)
		target->began(run, now_us);
}

static void
on_target_abandoned(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	(void)server;
	end_run(request->user, true, now_us);
}

static const bf_http_server_vtable_t target_vtable = {
	.request = on_target_request,
	.abandoned = on_target_abandoned,
};

static void
on_beat_done(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	rig_target_t *target = BF_CONTAINER(exchange, rig_target_t, beat);

	if (result != BF_HTTP_ANSWERED)
		return;
	if (message->status == 200 && target->beat_drains &&
	    target->drain_acked_us == 0) {
		target->drain_acked_us = now_us;
		rig_log(target->rig,
		    "target %s: its draining is acknowledged (200)",
		    target->id);
	}
	bf_http_message_free(message);
}

void
rig_beat(rig_target_t *target, bf_time_us_t now_us)
{
	bf_bytes_t head = { 0 }, body = { 0 };

	if (target->beat.conn != NULL)
		bf_http_cancel(&target->beat);
	target->beat_drains = target->draining;
	bf_bytes_format(&body,
	    "{\"Service\":\"%s\",\"Address\":\"%s:%u\",\"Zone\":\"%s\","
	    "\"Version\":\"%s\",\"Capacity\":%u,\"State\":\"%s\","
	    "\"WarmupLeftMs\":0,\"Sequence\":%llu,\"born\":%llu}",
	    target->service, soak_address_text(),
	    (unsigned int)target->node->port_target, target->node->zone,
	    target->version, target->slots,
	    target->draining ? "draining" : "ready",
	    (unsigned long long)++target->sequence,
	    (unsigned long long)target->born_ms);
	bf_bytes_format(&head,
	    "POST /basilfork/instances/%s/heartbeat HTTP/1.1\r\nHost: node\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    target->id, bf_bytes_count(&body));
	(void)bf_http_send(&target->beat_client, &target->beat, &head, &body,
	    HEARTBEAT_TIMEOUT_US, now_us);
	bf_bytes_free(&head);
	bf_bytes_free(&body);
}

static void
on_beat_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	rig_target_t *target = BF_CONTAINER(timer, rig_target_t, beat_timer);

	bf_loop_timer_set(target->rig->loop, timer, now_us + HEARTBEAT_US);
	if (target->beats && !target->gone)
		rig_beat(target, now_us);
}

/* ---- nodes ---- */

static struct sockaddr_in
address_of(uint16_t port)
{
	struct sockaddr_in at = { .sin_family = AF_INET };

	at.sin_addr.s_addr = soak_address();
	at.sin_port = htons(port);
	return at;
}

static void
write_settings(rig_node_t *node)
{
	char *path = g_build_filename(node->folder, "node.toml", NULL), *text;
	const char *ip = soak_address_text();

	/* As the template of the deploy file renders it. */
	text = g_strdup_printf(
	    "[node]\ninstance = \"%s\"\n"
	    "availability_zone = \"%s\"\nservice = \"%s\"\n"
	    "link_mbps = 1000.0\nfirst_start = %s\n"
	    "memory_mb = 260\n"
	    "zones = [ \"a=r\",\"b=r\",\"c=r\" ]\n"
	    "[callers]\nlisten = \"%s:%u\"\n"
	    "[peers]\nlisten = \"%s:%u\"\n"
	    "[target]\naddress = \"%s:%u\"\n"
	    "listen = \"%s:%u\"\nheartbeat_ms = 1500\n"
	    "[platform]\nready_listen = \"%s:%u\"\n"
	    "store = \"%s:%u\"\n"
	    "[stop]\ngrace_s = 6\n"
	    "[repeats]\nshare = 0.2\nburst = 62\n"
	    "window_s = 10\n%s"
	    "[load]\nlearn_capacity = true\nzone_cost = 0.8\n"
	    "reported_speed_only = true\n",
	    node->name, node->zone, node->target.service,
	    node->starts == 0 ? "true" : "false", ip, node->port_callers, ip,
	    node->port_peers, ip, node->port_target, ip, node->port_admin, ip,
	    node->port_ready, ip, soak_proxy_port(&node->store_proxy),
	    node->rig->settings_more != NULL ? node->rig->settings_more : "");
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	g_free(path);
}

static void
start_node(rig_node_t *node)
{
	char *settings = g_build_filename(node->folder, "node.toml", NULL);
	char *log = g_build_filename(node->folder, "log.jsonl", NULL);
	int out;

	write_settings(node);
	out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	node->pid = fork();
	if (node->pid == 0) {
		/* It ends with the case, also if that is killed. */
		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		(void)dup2(out, STDOUT_FILENO);
		(void)dup2(out, STDERR_FILENO);
		(void)execl(RIG_PROGRAM, RIG_PROGRAM, settings, NULL);
		_exit(127);
	}
	(void)close(out);
	node->starts++;
	node->restart_at_us = 0;
	rig_log(node->rig, "platform: starts %s, pid %d", node->name,
	    (int)node->pid);
	g_free(settings);
	g_free(log);
}

void
rig_signal(rig_node_t *node, int number)
{
	if (node->pid == 0)
		return;
	rig_log(node->rig, "platform: %s is sent signal %d (%s)", node->name,
	    number, strsignal(number));
	(void)kill(node->pid, number);
}

void
rig_restart_after(rig_node_t *node, uint32_t ms)
{
	node->restart_at_us =
	    ms == 0 ? 0 : bf_clock_monotonic_us() + ms * BF_US_PER_MS;
}

static void
on_ready_done(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	rig_node_t *node = BF_CONTAINER(exchange, rig_node_t, ready);
	bool was_ready = node->is_ready;

	(void)now_us;
	node->is_ready = result == BF_HTTP_ANSWERED && message->status == 200;
	if (node->is_ready != was_ready)
		rig_log(node->rig, "platform: %s is %s", node->name,
		    node->is_ready ? "ready" : "not ready");
	if (result == BF_HTTP_ANSWERED)
		bf_http_message_free(message);
}

static void
on_ready_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	static const char head_text[] =
	    "GET /basilfork/ready HTTP/1.1\r\nHost: node\r\n\r\n";
	rig_node_t *node = BF_CONTAINER(timer, rig_node_t, ready_timer);
	bf_bytes_t head = { 0 }, body = { 0 };

	bf_loop_timer_set(node->rig->loop, timer,
	    now_us +
		(node->rig->is_started ? READY_INTERVAL_US
				       : READY_INTERVAL_FIRST_US));
	if (node->ready.conn != NULL)
		bf_http_cancel(&node->ready);
	if (node->pid == 0)
		return;
	bf_bytes_add_text(&head, head_text);
	(void)bf_http_send(
	    &node->ready_client, &node->ready, &head, &body, IDLE_US, now_us);
	bf_bytes_free(&head);
}

rig_node_t *
rig_add_node(rig_t *rig, const char *zone, const char *service)
{
	rig_node_t *node = &rig->nodes[rig->node_count];
	rig_target_t *target = &node->target;
	struct sockaddr_in store = soak_store_address(&rig->store), at;
	uint16_t port =
	    (uint16_t)(PORT_FIRST + PORTS_PER_NODE * rig->node_count);

	rig->node_count++;
	node->rig = rig;
	(void)g_strlcpy(node->zone, zone, sizeof(node->zone));
	(void)g_snprintf(node->name, sizeof(node->name), "sidecar-%s-%u", zone,
	    rig->node_count);
	node->folder = g_build_filename(rig->folder, node->name, NULL);
	g_assert_cmpint(g_mkdir_with_parents(node->folder, 0700), ==, 0);
	node->port_callers = port;
	node->port_peers = (uint16_t)(port + 1);
	node->port_admin = (uint16_t)(port + 2);
	node->port_ready = (uint16_t)(port + 3);
	node->port_target = (uint16_t)(port + 4);
	soak_proxy_open(&node->store_proxy, rig->loop, &store);

	target->rig = rig;
	target->node = node;
	target->service = service;
	target->version = "v1";
	target->slots = 6;
	target->beats = true;
	target->born_ms = (uint64_t)(bf_clock_wall_us() / BF_US_PER_MS);
	(void)g_snprintf(target->id, sizeof(target->id), "i-%08x",
	    0x7f3a9100 + rig->node_count);
	target->server.vtable = &target_vtable;
	target->server.limits = (bf_http_limits_t){ .head_bytes = 65536,
		.body_bytes = (uint64_t)64 << 20,
		.head_timeout_us = IDLE_US,
		.idle_timeout_us = IDLE_US };
	at = address_of(node->port_target);
	g_assert_cmpint(bf_http_server_open(&target->server, rig->loop, &at,
			    bf_clock_monotonic_us(), NULL),
	    ==, BF_OK);
	target->beat_timer.fire = on_beat_timer;
	target->beat.done = on_beat_done;
	target->beat_client = (bf_http_client_t){ .loop = rig->loop,
		.address = address_of(node->port_admin),
		.idle_timeout_us = IDLE_US };
	node->ready_timer.fire = on_ready_timer;
	node->ready.done = on_ready_done;
	node->ready_client = (bf_http_client_t){ .loop = rig->loop,
		.address = address_of(node->port_ready),
		.idle_timeout_us = IDLE_US };
	return node;
}

static void
supervise(rig_node_t *node, bf_time_us_t now_us)
{
	if (node->pid != 0 &&
	    waitpid(node->pid, &node->status, WNOHANG) == node->pid) {
		if (WIFSIGNALED(node->status))
			rig_log(node->rig,
			    "platform: %s was ended by signal %d", node->name,
			    WTERMSIG(node->status));
		else
			rig_log(node->rig, "platform: %s has ended, status %d",
			    node->name, WEXITSTATUS(node->status));
		node->pid = 0;
	}
	if (node->pid == 0 && node->restart_at_us != 0 &&
	    now_us >= node->restart_at_us)
		start_node(node);
}

static void
on_tick(bf_timer_t *timer, bf_time_us_t now_us)
{
	rig_t *rig = BF_CONTAINER(timer, rig_t, tick);
	bool all_ready = true;
	uint32_t i;

	for (i = 0; i < rig->node_count; i++) {
		supervise(&rig->nodes[i], now_us);
		all_ready = all_ready &&
		    (rig->nodes[i].is_late ||
			(rig->nodes[i].is_ready &&
			    rig->nodes[i].target.sequence > 0));
	}
	if (!rig->is_started && all_ready) {
		rig->is_started = true;
		rig_log(rig, "all nodes are ready");
		bf_loop_timer_set(rig->loop, timer, now_us + SETTLE_US);
		return;
	}
	if (rig->is_started && rig->started != NULL) {
		void (*started)(rig_t *, bf_time_us_t) = rig->started;

		rig->started = NULL;
		started(rig, now_us);
	}
	bf_loop_timer_set(rig->loop, timer, now_us + TICK_US);
}

static void
on_limit(bf_timer_t *timer, bf_time_us_t now_us)
{
	rig_t *rig = BF_CONTAINER(timer, rig_t, limit);

	(void)now_us;
	rig_log(rig, "the case did not end in time");
	rig_end(rig, RIG_NOT_RUN);
}

rig_t *
rig_open(const char *name, uint32_t limit_s)
{
	const char *trouble = g_getenv("TROUBLE");
	const char *record = g_getenv("RECORD");
	rig_t *rig = g_new0(rig_t, 1);

	(void)signal(SIGPIPE, SIG_IGN);
	rig->name = name;
	rig->trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	rig->began_us = bf_clock_monotonic_us();
	rig->record = g_fopen(record != NULL ? record : "record.txt", "w");
	if (rig->record == NULL)
		exit(RIG_NOT_RUN);
	rig->loop = bf_loop_new(NULL);
	rig->random = g_rand_new_with_seed(1);
	rig->folder = g_dir_make_tmp("basilfork-review-XXXXXX", NULL);
	rig->result = RIG_NOT_RUN;
	rig->limit_us = limit_s * BF_US_PER_S;
	soak_store_open(&rig->store, rig->loop, rig->random);
	rig_log(rig, "%s, %s", name,
	    rig->trouble ? "with the disruption" : "without the disruption");
	return rig;
}

static void
start_with_target(rig_node_t *node, bf_time_us_t now_us)
{
	start_node(node);
	bf_loop_timer_set(
	    node->rig->loop, &node->target.beat_timer, now_us + FIRST_BEAT_US);
	bf_loop_timer_set(node->rig->loop, &node->ready_timer,
	    now_us + READY_INTERVAL_FIRST_US);
}

void
rig_start_late(rig_node_t *node)
{
	node->starts++; /* the whole system has started before */
	node->target.born_ms = (uint64_t)(bf_clock_wall_us() / BF_US_PER_MS);
	start_with_target(node, bf_clock_monotonic_us());
}

int
rig_run(rig_t *rig, void (*started)(rig_t *rig, bf_time_us_t now_us))
{
	bf_time_us_t now_us = bf_clock_monotonic_us();
	uint32_t i;

	rig->started = started;
	rig->tick.fire = on_tick;
	rig->limit.fire = on_limit;
	bf_loop_timer_set(rig->loop, &rig->tick, now_us + TICK_US);
	bf_loop_timer_set(rig->loop, &rig->limit, now_us + rig->limit_us);
	for (i = 0; i < rig->node_count; i++) {
		if (!rig->nodes[i].is_late)
			start_with_target(&rig->nodes[i], now_us);
	}
	bf_loop_run(rig->loop);
	for (i = 0; i < rig->node_count; i++) {
		if (rig->nodes[i].pid == 0)
			continue;
		(void)kill(rig->nodes[i].pid, SIGKILL);
		(void)waitpid(rig->nodes[i].pid, NULL, 0);
	}
	rig_log(rig, "result: %s",
	    rig->result == RIG_HELD         ? "the rule held"
		: rig->result == RIG_BROKEN ? "the rule was broken"
					    : "the case could not run");
	if (g_getenv("KEEP") == NULL) {
		char *command[] = { (char *)"rm", (char *)"-rf", rig->folder,
			NULL };

		(void)g_spawn_sync(NULL, command, NULL, G_SPAWN_SEARCH_PATH,
		    NULL, NULL, NULL, NULL, NULL, NULL);
	} else {
		rig_log(rig, "logs: %s", rig->folder);
	}
	(void)fclose(rig->record);
	return rig->result;
}

void
rig_end(rig_t *rig, int result)
{
	rig->result = result;
	bf_loop_stop(rig->loop);
}

/* ---- callers ---- */

static void
on_conn_message(bf_http_reader_t *reader, bf_http_message_t *message)
{
	rig_conn_t *conn = BF_CONTAINER(reader, rig_conn_t, reader);
	const char *id = bf_http_find(message, "Request-Id");
	const char *close = bf_http_find(message, "Connection");
	rig_answer_t answer = {
		.status = message->status,
		.id = id != NULL ? id : "",
		.body = (const char *)bf_bytes_data(&message->body),
		.body_bytes = bf_bytes_count(&message->body),
		.closes = close != NULL && strcasecmp(close, "close") == 0,
	};

	if (conn->answered != NULL)
		conn->answered(conn, &answer, conn->now_us);
	bf_http_message_free(message);
}

static const bf_http_reader_vtable_t conn_reader_vtable = {
	.message = on_conn_message,
};

static void
on_conn_received(
    bf_tcp_t *tcp, const uint8_t *data, size_t bytes, bf_time_us_t now_us)
{
	rig_conn_t *conn = (rig_conn_t *)(void *)tcp;

	conn->now_us = now_us;
	(void)bf_http_reader_feed(&conn->reader, data, bytes);
}

static void
on_conn_ended(bf_tcp_t *tcp, bool orderly, bf_time_us_t now_us)
{
	rig_conn_t *conn = (rig_conn_t *)(void *)tcp;

	bf_http_reader_clear(&conn->reader);
	if (conn->ended != NULL)
		conn->ended(conn, orderly, now_us);
	bf_loop_defer_free(conn->rig->loop, conn);
}

static const bf_tcp_vtable_t conn_vtable = {
	.received = on_conn_received,
	.ended = on_conn_ended,
};

rig_conn_t *
rig_connect(rig_t *rig, const rig_node_t *node)
{
	struct sockaddr_in at = address_of(node->port_callers);
	rig_conn_t *conn = g_new0(rig_conn_t, 1);

	if (bf_tcp_connect(&conn->tcp, &conn_vtable, rig->loop, &at, NULL) !=
	    BF_OK) {
		g_free(conn);
		return NULL;
	}
	conn->rig = rig;
	bf_http_reader_init(&conn->reader, &conn_reader_vtable, false);
	return conn;
}

void
rig_conn_send(rig_conn_t *conn, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	bf_tcp_send(&conn->tcp, text, strlen(text));
	g_free(text);
}

void
rig_conn_close(rig_conn_t *conn)
{
	bf_tcp_close(&conn->tcp);
	bf_http_reader_clear(&conn->reader);
	bf_loop_defer_free(conn->rig->loop, conn);
}
