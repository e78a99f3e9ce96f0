#include <signal.h>
#include <string.h>

#include <glib.h>

#include "review/lib-2/rig.h"

/*
 * A caller sends two safe requests on one connection, the second before the
 * first is answered.  Both run at targets when the node gets SIGTERM.  The
 * answer to the first closes the connection; the second gets none.
 */

#define CONNS 3 /* the target has six slots */
/* Of the last connection the second request ends before the first one. */
static const int first_ms[CONNS] = { 600, 600, 900 };
static const int second_ms[CONNS] = { 900, 900, 300 };

typedef struct state {
	rig_t *rig;
	rig_conn_t *conns[CONNS];
	bool first_answered[CONNS], second_answered[CONNS], second_ran[CONNS];
	bool ended[CONNS];
	uint32_t running;
	bool term_sent;
	bf_timer_t timer, end_timer;
} state_t;

static state_t state;

static void
finish(bf_timer_t *timer, bf_time_us_t now_us)
{
	int lost = 0, unready = 0, i;

	(void)timer;
	(void)now_us;
	for (i = 0; i < CONNS; i++) {
		if (!state.second_ran[i] || !state.first_answered[i])
			unready++;
		else if (!state.second_answered[i])
			lost++;
	}
	rig_log(state.rig,
	    "%d of %d requests that had been passed on to a target got no answer",
	    lost, CONNS);
	rig_end(state.rig,
	    lost > 0 ? RIG_BROKEN
		: unready > 0 ? RIG_NOT_RUN
			      : RIG_HELD);
}

static int
index_of(const rig_conn_t *conn)
{
	return (int)(intptr_t)conn->user;
}

static void
answered(rig_conn_t *conn, const rig_answer_t *answer, bf_time_us_t now_us)
{
	int i = index_of(conn);

	(void)now_us;
	rig_log(conn->rig, "caller %d: %s is answered %u, \"%.*s\"%s", i,
	    answer->id, answer->status, (int)answer->body_bytes, answer->body,
	    answer->closes ? ", Connection: close" : "");
	if (g_str_has_prefix(answer->id, "first"))
		state.first_answered[i] = true;
	else
		state.second_answered[i] = true;
}

static void
ended(rig_conn_t *conn, bool orderly, bf_time_us_t now_us)
{
	int i = index_of(conn);

	(void)now_us;
	state.ended[i] = true;
	rig_log(conn->rig, "caller %d: its connection %s%s", i,
	    orderly ? "is closed by the node" : "is reset",
	    state.second_answered[i] ? "" : "; second has no answer");
}

static void
began(rig_run_t *run, bf_time_us_t now_us)
{
	rig_t *rig = run->target->rig;
	int i;

	(void)now_us;
	if (sscanf(run->id, "second%d", &i) == 1 && i >= 0 && i < CONNS)
		state.second_ran[i] = true;
	if (++state.running < 2 * CONNS || state.term_sent)
		return;
	state.term_sent = true;
	/* All requests are at work at their targets. */
	if (rig->trouble)
		rig_signal(&rig->nodes[0], SIGTERM);
}

static void
started(rig_t *rig, bf_time_us_t now_us)
{
	int i;

	(void)now_us;
	for (i = 0; i < CONNS; i++) {
		state.conns[i] = rig_connect(rig, &rig->nodes[0]);
		state.conns[i]->user = (void *)(intptr_t)i;
		state.conns[i]->answered = answered;
		state.conns[i]->ended = ended;
		rig_conn_send(state.conns[i],
		    "GET /s/%d HTTP/1.1\r\nHost: shop.example\r\n"
		    "Request-Id: first%d\r\nTimeout-Ms: 3000\r\n\r\n"
		    "GET /s/%d HTTP/1.1\r\nHost: shop.example\r\n"
		    "Request-Id: second%d\r\nTimeout-Ms: 3000\r\n\r\n",
		    first_ms[i], i, second_ms[i], i);
		rig_log(rig, "caller %d: sends first%d and second%d on one "
			     "connection", i, i, i);
	}
	state.end_timer.fire = finish;
	rig_after(rig, &state.end_timer, 8000);
}

int
main(void)
{
	rig_t *rig = rig_open("pipelined requests and a planned stop", 60);
	uint32_t i;

	state.rig = rig;
	rig_put(rig, "op/config",
	    "{\"Version\":\"r7\",\"Limits\":{\"MaxHeaderBytes\":16384,"
	    "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
	    "\"IdleTimeoutMs\":15000},\"Clusters\":[{\"Name\":\"shop\","
	    "\"HealthPath\":\"/health\",\"MaxConnections\":130}],"
	    "\"Listeners\":[{\"Authority\":\"shop.example\",\"Policies\":["
	    "{\"Name\":\"browse\",\"Type\":\"safe\",\"Match\":{\"Prefix\":"
	    "\"/s/\"},\"Priority\":1,\"TargetLatencyMs\":2000,\"Action\":{"
	    "\"Service\":\"shop\",\"TimeoutMs\":3000,\"MaxAttempts\":2}}]}]}");
	for (i = 0; i < 3; i++)
		rig_add_node(rig, i == 0 ? "a" : i == 1 ? "b" : "c", "shop")
		    ->target.began = began;
	return rig_run(rig, started);
}
