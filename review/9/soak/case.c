#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "review/lib-2/soak/rig.h"

/*
 * A target deregisters while the platform's store is down, and the process of
 * its node is killed and started again.  A ping that the target had sent before
 * it left arrives late, at the new process.
 *
 * TROUBLE=store and TROUBLE=kill leave the other disruption out.
 */

#define SEND_EVERY_MS 50
#define SENT_MAX 1024
#define CONNS 32 /* each carries one request at a time, in zone a */
#define WORK_MS 300
#define STORE_DOWN_AT_MS 1000
#define STORE_DOWN_MS 2500
#define PING_SENT_AT_MS 1400 /* it is under way for 3 s */
#define PING_LATE_MS 3000
#define LEAVE_AT_MS 1600
#define KILL_AT_MS 1900
#define RESTART_MS 400
#define EXIT_AT_MS 9000 /* "at times many seconds" later */
#define END_AT_MS 11000
#define DRAIN_MS 2000   /* Bounds.DrainMs */
#define CONTACT_MS 3000 /* Bounds.ContactMs */

typedef struct state {
	rig_t *rig;
	rig_conn_t *conns[CONNS];
	bool store_down, killed;
	bf_timer_t send, down, up, ping, leave, kill, exit, end;
	bf_http_client_t client;
	bf_http_exchange_t leaving, late_ping;
	bf_bytes_t ping_body;
	bf_time_us_t acked_us;    /* the deregistration; 0: not yet */
	bf_time_us_t in_touch_us; /* from then on all machines are in touch */
	bf_time_us_t sent_us[SENT_MAX]; /* by the number of the request */
	uint32_t sent, late, answered, others, cut;
} state_t;

static state_t state;

static void
on_answered(rig_conn_t *conn, const rig_answer_t *answer, bf_time_us_t now_us)
{
	(void)now_us;
	if (answer->status == 200)
		state.answered++;
	else
		state.others++;
	rig_log(
	    conn->rig, "caller: an answer, %s %u", answer->id, answer->status);
}

static void
on_ended(rig_conn_t *conn, bool orderly, bf_time_us_t now_us)
{
	(void)orderly;
	(void)now_us;
	state.conns[(intptr_t)conn->user] = NULL;
}

static void
on_send(bf_timer_t *timer, bf_time_us_t now_us)
{
	uint32_t i = state.sent++ % CONNS;
	const rig_node_t *node = &state.rig->nodes[i % 2];

	rig_after(state.rig, timer, SEND_EVERY_MS);
	if (node->pid == 0 || !node->is_ready)
		return;
	if (state.conns[i] == NULL) {
		state.conns[i] = rig_connect(state.rig, node);
		state.conns[i]->user = (void *)(intptr_t)i;
		state.conns[i]->answered = on_answered;
		state.conns[i]->ended = on_ended;
	}
	state.sent_us[state.sent % SENT_MAX] = now_us;
	rig_log(state.rig, "caller: sends c%u to %s", state.sent, node->name);
	rig_conn_send(state.conns[i],
	    "POST /u/%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: c%u\r\n"
	    "Timeout-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody",
	    WORK_MS, state.sent);
}

static void
on_store(bf_timer_t *timer, bf_time_us_t now_us)
{
	bool down = timer == &state.down;

	state.rig->store.mode = down ? SOAK_STORE_REFUSES : SOAK_STORE_SERVES;
	rig_log(state.rig, "platform: the store %s",
	    down ? "is down, it answers 503" : "is back");
	if (!down && state.in_touch_us < now_us + CONTACT_MS * RIG_MS)
		state.in_touch_us = now_us + CONTACT_MS * RIG_MS;
}

static void
on_late_ping_done(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	(void)exchange;
	(void)now_us;
	rig_log(state.rig, "the late ping is answered %u",
	    result == BF_HTTP_ANSWERED ? message->status : 0);
	if (result == BF_HTTP_ANSWERED)
		bf_http_message_free(message);
}

static void
send_to_admin(bf_http_exchange_t *exchange, const char *what,
    const bf_bytes_t *body, bf_time_us_t now_us)
{
	bf_bytes_t head = { 0 };

	bf_bytes_format(&head,
	    "POST /basilfork/instances/%s/%s HTTP/1.1\r\nHost: node\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    state.rig->nodes[0].target.id, what, bf_bytes_count(body));
	(void)bf_http_send(&state.client, exchange, &head, body, 0, now_us);
	bf_bytes_free(&head);
}

/* The ping is sent, and arrives PING_LATE_MS later. */
static void
on_ping(bf_timer_t *timer, bf_time_us_t now_us)
{
	rig_target_t *target = &state.rig->nodes[0].target;

	if (bf_bytes_count(&state.ping_body) > 0) {
		rig_log(state.rig, "the ping arrives, %d ms late: %.*s",
		    PING_LATE_MS, (int)bf_bytes_count(&state.ping_body),
		    (const char *)bf_bytes_data(&state.ping_body));
		send_to_admin(
		    &state.late_ping, "heartbeat", &state.ping_body, now_us);
		return;
	}
	bf_bytes_format(&state.ping_body,
	    "{\"Service\":\"shop\",\"Address\":\"%s:%u\",\"Zone\":\"a\","
	    "\"Version\":\"v1\",\"Capacity\":6,\"State\":\"ready\","
	    "\"WarmupLeftMs\":0,\"Sequence\":%llu,\"born\":%llu}",
	    soak_address_text(), (unsigned int)target->node->port_target,
	    (unsigned long long)++target->sequence,
	    (unsigned long long)target->born_ms);
	rig_log(state.rig, "target %s: sends a ping, which is under way",
	    target->id);
	target->beats = false; /* the last one before it leaves */
	rig_after(state.rig, timer, PING_LATE_MS);
}

static void
on_leaving_done(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	(void)exchange;
	if (result != BF_HTTP_ANSWERED)
		return;
	rig_log(state.rig, "target: its deregistration is acknowledged, %u",
	    message->status);
	if (message->status == 200)
		state.acked_us = now_us;
	bf_http_message_free(message);
}

static void
on_leave(bf_timer_t *timer, bf_time_us_t now_us)
{
	rig_target_t *target = &state.rig->nodes[0].target;
	bf_bytes_t body = { 0 };

	(void)timer;
	rig_log(state.rig, "target %s: deregisters", target->id);
	target->draining = true; /* its health check answers 503 */
	bf_bytes_format(
	    &body, "{\"born\":%llu}", (unsigned long long)target->born_ms);
	send_to_admin(&state.leaving, "deregister", &body, now_us);
	bf_bytes_free(&body);
}

static void
on_kill(bf_timer_t *timer, bf_time_us_t now_us)
{
	(void)timer;
	rig_signal(&state.rig->nodes[0], SIGKILL);
	rig_restart_after(&state.rig->nodes[0], RESTART_MS);
	if (state.in_touch_us < now_us + (RESTART_MS + CONTACT_MS) * RIG_MS)
		state.in_touch_us = now_us + (RESTART_MS + CONTACT_MS) * RIG_MS;
}

static void
on_exit_target(bf_timer_t *timer, bf_time_us_t now_us)
{
	rig_target_t *target = &state.rig->nodes[0].target;

	(void)timer;
	(void)now_us;
	state.cut = target->running;
	rig_log(state.rig, "target %s: exits, with %u requests at work",
	    target->id, state.cut);
	target->gone = true;
	bf_http_server_close(&target->server);
}

static void
began(rig_run_t *run, bf_time_us_t now_us)
{
	bf_time_us_t sent_us =
	    state.sent_us[strtoul(run->id + 1, NULL, 10) % SENT_MAX];

	if (run->target != &state.rig->nodes[0].target || state.acked_us == 0 ||
	    now_us - state.acked_us <= DRAIN_MS * RIG_MS)
		return;
	rig_log(state.rig,
	    "%s: %s reaches %s %.0f ms after its leaving was acknowledged",
	    sent_us > state.in_touch_us ? "LATE" : "late, not in touch",
	    run->id, run->target->id,
	    (double)(now_us - state.acked_us) / BF_US_PER_MS);
	if (sent_us > state.in_touch_us)
		state.late++;
}

static void
on_end(bf_timer_t *timer, bf_time_us_t now_us)
{
	(void)timer;
	(void)now_us;
	rig_log(state.rig,
	    "%u requests sent, %u answered 200, %u otherwise; %u reached the "
	    "target later than DrainMs after the acknowledgement, by machines "
	    "in touch; %u were at work there when it exited",
	    state.sent, state.answered, state.others, state.late, state.cut);
	rig_end(state.rig,
	    state.acked_us == 0 || state.answered == 0 ? RIG_NOT_RUN
		: state.late > 0                       ? RIG_BROKEN
						       : RIG_HELD);
}

static void
started(rig_t *rig, bf_time_us_t now_us)
{
	const char *trouble = g_getenv("TROUBLE");
	bool only_store = g_strcmp0(trouble, "store") == 0;
	bool only_kill = g_strcmp0(trouble, "kill") == 0;

	(void)now_us;
	state.client = rig->nodes[0].target.beat_client;
	state.client.idle = NULL;
	state.leaving.done = on_leaving_done;
	state.late_ping.done = on_late_ping_done;
	state.send.fire = on_send;
	state.down.fire = on_store;
	state.up.fire = on_store;
	state.ping.fire = on_ping;
	state.leave.fire = on_leave;
	state.kill.fire = on_kill;
	state.exit.fire = on_exit_target;
	state.end.fire = on_end;
	rig_after(rig, &state.send, 1);
	if (rig->trouble && !only_kill) {
		rig_after(rig, &state.down, STORE_DOWN_AT_MS);
		rig_after(rig, &state.up, STORE_DOWN_AT_MS + STORE_DOWN_MS);
	}
	if (rig->trouble && !only_store)
		rig_after(rig, &state.kill, KILL_AT_MS);
	rig_after(rig, &state.ping, PING_SENT_AT_MS);
	rig_after(rig, &state.leave, LEAVE_AT_MS);
	rig_after(rig, &state.exit, EXIT_AT_MS);
	rig_after(rig, &state.end, END_AT_MS);
}

int
main(void)
{
	rig_t *rig = rig_open("a late ping after a restart", 60);
	uint32_t i;

	state.rig = rig;
	rig_put(rig, "op/config",
	    "{\"Version\":\"r7\",\"Limits\":{\"MaxHeaderBytes\":16384,"
	    "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
	    "\"IdleTimeoutMs\":15000},\"Clusters\":[{\"Name\":\"shop\","
	    "\"HealthPath\":\"/health\",\"MaxConnections\":130}],"
	    "\"Listeners\":[{\"Authority\":\"shop.example\",\"Policies\":["
	    "{\"Name\":\"charge\",\"Type\":\"unsafe\",\"Match\":{\"Prefix\":"
	    "\"/u/\"},\"Priority\":1,\"TargetLatencyMs\":500,\"Action\":{"
	    "\"Service\":\"shop\",\"TimeoutMs\":1000,\"MaxAttempts\":2}}]}]}");
	for (i = 0; i < 4; i++)
		rig_add_node(rig,
		    i < 2        ? "a"
			: i == 2 ? "b"
				 : "c",
		    "shop")
		    ->target.began = began;
	return rig_run(rig, started);
}
