#include <signal.h>
#include <string.h>

#include <glib.h>

#include "review/lib-2/rig.h"

/*
 * A ping of another writer, without the field "born" and with a Sequence that
 * is too large, comes between those of a target.  The target's own pings go on
 * and are acknowledged.  Then it reports that it drains.
 */

#define SEND_EVERY_MS 50
#define CONNS 32 /* each carries one request at a time */
#define WORK_MS 300
#define ODD_AT_MS 2000
#define DRAIN_AT_MS 3000
/* It serves for DrainMs and a little longer, then it exits. */
#define EXIT_AT_MS (DRAIN_AT_MS + 3500)
#define END_AT_MS (EXIT_AT_MS + 1500)
#define DRAIN_MS 2000 /* Bounds.DrainMs */

typedef struct state {
	rig_t *rig;
	rig_conn_t *conns[CONNS]; /* of two nodes, by turns */
	bf_timer_t send, odd, drain, leave, end;
	uint32_t sent, late, answered, others, cut;
	bf_http_client_t odd_client;
	bf_http_exchange_t odd_exchange;
	bool odd_answered;
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
	rig_log(conn->rig, "caller: %s is answered %u", answer->id,
	    answer->status);
}

static void
on_ended(rig_conn_t *conn, bool orderly, bf_time_us_t now_us)
{
	(void)now_us;
	rig_log(conn->rig, "caller: a connection %s",
	    orderly ? "is closed" : "is reset");
	state.conns[(intptr_t)conn->user] = NULL;
}

static void
on_send(bf_timer_t *timer, bf_time_us_t now_us)
{
	uint32_t i = state.sent++ % CONNS;

	(void)now_us;
	rig_after(state.rig, timer, SEND_EVERY_MS);
	if (state.conns[i] == NULL) {
		state.conns[i] =
		    rig_connect(state.rig, &state.rig->nodes[i % 2]);
		state.conns[i]->user = (void *)(intptr_t)i;
		state.conns[i]->answered = on_answered;
		state.conns[i]->ended = on_ended;
	}
	rig_log(state.rig, "caller: sends c%u to %s", state.sent,
	    state.rig->nodes[i % 2].name);
	rig_conn_send(state.conns[i],
	    "POST /u/%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: c%u\r\n"
	    "Timeout-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody",
	    WORK_MS, state.sent);
}

static void
on_odd_done(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	(void)exchange;
	(void)now_us;
	rig_log(state.rig, "the odd ping is answered %u",
	    result == BF_HTTP_ANSWERED ? message->status : 0);
	if (result == BF_HTTP_ANSWERED)
		bf_http_message_free(message);
}

static void
on_odd(bf_timer_t *timer, bf_time_us_t now_us)
{
	rig_target_t *target = &state.rig->nodes[0].target;
	bf_bytes_t head = { 0 }, body = { 0 };

	(void)timer;
	state.odd_client = target->beat_client;
	state.odd_client.idle = NULL;
	state.odd_exchange.done = on_odd_done;
	bf_bytes_format(&body,
	    "{\"Service\":\"shop\",\"Address\":\"%s:%u\",\"Zone\":\"a\","
	    "\"Version\":\"v1\",\"Capacity\":6,\"State\":\"ready\","
	    "\"WarmupLeftMs\":0,\"Sequence\":9007199254740991}",
	    soak_address_text(), (unsigned int)target->node->port_target);
	rig_log(state.rig, "another writer sends a ping for %s: %.*s",
	    target->id, (int)bf_bytes_count(&body),
	    (const char *)bf_bytes_data(&body));
	bf_bytes_format(&head,
	    "POST /basilfork/instances/%s/heartbeat HTTP/1.1\r\nHost: node\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    target->id, bf_bytes_count(&body));
	(void)bf_http_send(&state.odd_client, &state.odd_exchange, &head,
	    &body, 0, now_us);
	bf_bytes_free(&head);
	bf_bytes_free(&body);
}

static void
on_drain(bf_timer_t *timer, bf_time_us_t now_us)
{
	rig_target_t *target = &state.rig->nodes[0].target;

	(void)timer;
	rig_log(state.rig, "target %s: reports that it drains", target->id);
	target->draining = true;
	rig_beat(target, now_us);
}

static void
on_leave(bf_timer_t *timer, bf_time_us_t now_us)
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
	rig_target_t *target = run->target;

	if (target->drain_acked_us == 0 ||
	    now_us - target->drain_acked_us <= DRAIN_MS * BF_US_PER_MS)
		return;
	state.late++;
	rig_log(target->rig,
	    "LATE: %s reaches %s %.0f ms after its draining was acknowledged",
	    run->id, target->id,
	    (double)(now_us - target->drain_acked_us) / BF_US_PER_MS);
}

static void
on_end(bf_timer_t *timer, bf_time_us_t now_us)
{
	(void)timer;
	(void)now_us;
	rig_log(state.rig,
	    "%u requests sent, %u answered 200, %u otherwise; %u reached the "
	    "target later than DrainMs after the acknowledgement, %u were at "
	    "work there when it exited",
	    state.sent, state.answered, state.others, state.late, state.cut);
	rig_end(state.rig,
	    state.rig->nodes[0].target.drain_acked_us == 0 ||
		    state.answered == 0
		? RIG_NOT_RUN
		: state.late > 0 ? RIG_BROKEN
				 : RIG_HELD);
}

static void
started(rig_t *rig, bf_time_us_t now_us)
{
	(void)now_us;
	state.send.fire = on_send;
	state.odd.fire = on_odd;
	state.drain.fire = on_drain;
	state.leave.fire = on_leave;
	state.end.fire = on_end;
	rig_after(rig, &state.send, 1);
	if (rig->trouble)
		rig_after(rig, &state.odd, ODD_AT_MS);
	rig_after(rig, &state.drain, DRAIN_AT_MS);
	rig_after(rig, &state.leave, EXIT_AT_MS);
	rig_after(rig, &state.end, END_AT_MS);
}

int
main(void)
{
	rig_t *rig = rig_open("an odd ping and a leaving target", 60);
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
	for (i = 0; i < 3; i++)
		rig_add_node(rig, i == 0 ? "a" : i == 1 ? "b" : "c", "shop")
		    ->target.began = began;
	return rig_run(rig, started);
}
