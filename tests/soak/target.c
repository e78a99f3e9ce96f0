#include <arpa/inet.h>
#include <string.h>

#include "tests/soak/proxy.h"
#include "tests/soak/target.h"

#define HEARTBEAT_INTERVAL_US (300 * BF_US_PER_MS)
#define HEARTBEAT_TIMEOUT_US BF_US_PER_S
#define WORK_MS_MIN 3
#define WORK_MS_MAX 40
#define SLOW_FACTOR 8
#define LONG_WORK_MS 800
/*
 * Calls may still arrive for this long after the node acknowledged that the
 * target drains.
 */
#define DRAIN_GRACE_US (2 * BF_US_PER_S)
/* One heartbeat in LATE_ONE_IN is received up to LATE_MS_MAX later. */
#define LATE_ONE_IN 4
#define LATE_MS_MAX 5000
#define IDLE_US (5 * BF_US_PER_S)

typedef struct run {
	soak_target_t *target;
	bf_http_request_t *request;
	bf_timer_t timer;
	bf_time_us_t planned_end_us;
} run_t;

static void
finish_run(run_t *run, bf_time_us_t now_us)
{
	const soak_run_events_t *events = run->target->events;

	if (events != NULL)
		events->ended(run->target,
		    bf_http_find(run->request->message, "Request-Id"),
		    run->planned_end_us, now_us);
	run->target->running--;
	bf_loop_timer_cancel(run->target->loop, &run->timer);
	bf_loop_defer_free(run->target->loop, run);
}

static void
on_run_done(bf_timer_t *timer, bf_time_us_t now_us)
{
	run_t *run = BF_CONTAINER(timer, run_t, timer);
	soak_target_t *target = run->target;
	bf_http_request_t *request = run->request;
	const char *id = bf_http_find(request->message, "Request-Id");
	bool faulty = g_rand_boolean(target->random);
	char fields[256], body[128];
	uint32_t status = 200;

	request->user = NULL;
	if (target->mode == SOAK_TARGET_LOSES_ANSWERS && faulty) {
		finish_run(run, now_us);
		bf_http_abort(request);
		return;
	}
	if (target->mode == SOAK_TARGET_FAILS && faulty)
		status = 500;
	(void)g_snprintf(body, sizeof(body), "body of %s", id);
	if (target->mode == SOAK_TARGET_WRONG_IDS && faulty)
		id = "another";
	(void)g_snprintf(fields, sizeof(fields),
	    "Request-Id: %s\r\nResponse-Signature: %s\r\n"
	    "Server-Load: %u,0,%d\r\n",
	    id, target->id, target->running, SOAK_TARGET_SLOTS);
	finish_run(run, now_us);
	bf_http_answer(request, status, fields, body, strlen(body));
}

static void
reject(bf_http_request_t *request, uint32_t status, const char *id)
{
	char fields[160];

	(void)g_snprintf(fields, sizeof(fields),
	    "Request-Id: %s\r\nNot-Executed: 1\r\n", id);
	bf_http_answer(request, status, fields, "", 0);
}

static void
on_request(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	soak_target_t *target = BF_CONTAINER(server, soak_target_t, server);
	const char *id = bf_http_find(request->message, "Request-Id");
	const char *expected =
	    bf_http_find(request->message, "Expected-Instance");
	char fields[64];
	gint32 work_ms;
	gint *count;
	run_t *run;

	if (strcmp(bf_http_target(request->message), "/health") == 0) {
		(void)g_snprintf(
		    fields, sizeof(fields), "Instance-Id: %s\r\n", target->id);
		bf_http_answer(
		    request, target->draining ? 503 : 200, fields, "", 0);
		return;
	}
	if (id == NULL)
		id = "";
	if (expected == NULL || strcmp(expected, target->id) != 0) {
		reject(request, 421, id);
		return;
	}
	if (target->running >= SOAK_TARGET_SLOTS) {
		reject(request, 503, id);
		return;
	}
	if (target->drain_acked_us != 0 &&
	    now_us - target->drain_acked_us > DRAIN_GRACE_US)
		target->late_calls++;
	count = g_hash_table_lookup(target->run_counts, id);
	if (count == NULL) {
		count = g_new0(gint, 1);
		g_hash_table_insert(target->run_counts, g_strdup(id), count);
	}
	(*count)++;
	run = g_new0(run_t, 1);
	run->target = target;
	run->request = request;
	run->timer.fire = on_run_done;
	request->user = run;
	target->running++;
	work_ms = g_rand_int_range(target->random, WORK_MS_MIN, WORK_MS_MAX);
	if (target->mode == SOAK_TARGET_SLOW)
		work_ms *= SLOW_FACTOR;
	if (g_str_has_prefix(id, SOAK_LONG_RUN_PREFIX))
		work_ms = LONG_WORK_MS;
	run->planned_end_us = now_us + work_ms * BF_US_PER_MS;
	bf_loop_timer_set(target->loop, &run->timer, run->planned_end_us);
	if (target->events != NULL)
		target->events->began(target, id, now_us);
}

static void
on_abandoned(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	(void)server;
	finish_run(request->user, now_us);
}

static const bf_http_server_vtable_t vtable = {
	.request = on_request,
	.abandoned = on_abandoned,
};

static void
on_heartbeat_done(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	soak_target_t *target =
	    BF_CONTAINER(exchange, soak_target_t, heartbeat_exchange);

	if (result == BF_HTTP_ANSWERED) {
		if (message->status == 200 && target->heartbeat_drains &&
		    target->drain_acked_us == 0)
			target->drain_acked_us = now_us;
		bf_http_message_free(message);
	}
}

static void
on_late_done(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	(void)exchange;
	(void)now_us;
	if (result == BF_HTTP_ANSWERED)
		bf_http_message_free(message);
}

static void
on_late_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_target_t *target = BF_CONTAINER(timer, soak_target_t, late_timer);

	if (target->late_exchange.conn != NULL)
		bf_http_cancel(&target->late_exchange);
	(void)bf_http_send(&target->node_client, &target->late_exchange,
	    &target->late_head, &target->late_body, HEARTBEAT_TIMEOUT_US,
	    now_us);
	bf_bytes_free(&target->late_head);
	bf_bytes_free(&target->late_body);
}

/* Keeps a heartbeat to be received late; false: it is sent now. */
static bool
hold_back(soak_target_t *target, bf_bytes_t *head, bf_bytes_t *body,
    bf_time_us_t now_us)
{
	if (target->late_random == NULL ||
	    bf_bytes_count(&target->late_head) > 0 ||
	    g_rand_int_range(target->late_random, 0, LATE_ONE_IN) != 0)
		return false;
	target->late_head = *head;
	target->late_body = *body;
	bf_loop_timer_set(target->loop, &target->late_timer,
	    now_us +
		g_rand_int_range(target->late_random, 0, LATE_MS_MAX) *
		    BF_US_PER_MS);
	return true;
}

static void
on_heartbeat_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_target_t *target =
	    BF_CONTAINER(timer, soak_target_t, heartbeat_timer);
	bf_bytes_t head = { 0 }, body = { 0 };
	bool departs = target->draining && target->departs_first;

	bf_loop_timer_set(target->loop, timer, now_us + HEARTBEAT_INTERVAL_US);
	if (departs && target->drain_acked_us != 0)
		return;
	if (target->heartbeat_exchange.conn != NULL)
		bf_http_cancel(&target->heartbeat_exchange); /* timed out */
	target->heartbeat_drains = target->draining;
	bf_bytes_format(&body,
	    "{\"Service\":\"%s\",\"Address\":\"%s:%u\",\"Zone\":\"%s\","
	    "\"Version\":\"v1\",\"Capacity\":%d,\"State\":\"%s\","
	    "\"WarmupLeftMs\":0,\"Sequence\":%llu,\"born\":%llu}",
	    target->service, soak_address_text(),
	    (unsigned int)bf_listener_port(&target->server.listener),
	    target->zone, SOAK_TARGET_SLOTS,
	    target->draining ? "draining" : "ready",
	    (unsigned long long)++target->sequence,
	    (unsigned long long)target->started_ms);
	bf_bytes_format(&head,
	    "POST /basilfork/instances/%s/%s HTTP/1.1\r\nHost: node\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    target->id, departs ? "deregister" : "heartbeat",
	    bf_bytes_count(&body));
	if (!target->draining && hold_back(target, &head, &body, now_us))
		return;
	(void)bf_http_send(&target->node_client, &target->heartbeat_exchange,
	    &head, &body, HEARTBEAT_TIMEOUT_US, now_us);
	bf_bytes_free(&head);
	bf_bytes_free(&body);
}

void
soak_target_restart(soak_target_t *target)
{
	static uint32_t lifetimes;

	/* An answer to the previous lifetime must not count for the new one. */
	if (target->heartbeat_exchange.conn != NULL)
		bf_http_cancel(&target->heartbeat_exchange);
	target->draining = false;
	target->departs_first =
	    target->late_random != NULL && g_rand_boolean(target->late_random);
	target->drain_acked_us = 0;
	target->sequence = 0;
	target->started_ms = (uint64_t)(bf_clock_wall_us() / BF_US_PER_MS);
	(void)g_snprintf(target->id, sizeof(target->id), "i-%s-%u",
	    target->zone, ++lifetimes);
}

void
soak_target_open(soak_target_t *target, bf_loop_t *loop, GRand *random,
    GHashTable *run_counts, const char *zone,
    const struct sockaddr_in *heartbeat_address)
{
	struct sockaddr_in any = { .sin_family = AF_INET };

	any.sin_addr.s_addr = soak_address();
	*target = (soak_target_t){
		.server = { .vtable = &vtable,
		    .limits = { .head_bytes = 16384,
			.body_bytes = 1 << 20,
			.head_timeout_us = IDLE_US,
			.idle_timeout_us = IDLE_US } },
		.loop = loop,
		.random = random,
		.late_timer = { .fire = on_late_timer },
		.late_exchange = { .done = on_late_done },
		.run_counts = run_counts,
		.service = "shop",
		.zone = zone,
		.heartbeat_timer = { .fire = on_heartbeat_timer },
		.node_client = { .loop = loop,
		    .address = *heartbeat_address,
		    .idle_timeout_us = IDLE_US },
		.heartbeat_exchange = { .done = on_heartbeat_done },
	};
	soak_target_restart(target);
	g_assert_cmpint(bf_http_server_open(&target->server, loop, &any,
			    bf_clock_monotonic_us(), NULL),
	    ==, BF_OK);
	bf_loop_timer_set(loop, &target->heartbeat_timer,
	    bf_clock_monotonic_us() + HEARTBEAT_INTERVAL_US);
}
