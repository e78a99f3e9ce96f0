#include <string.h>

#include <glib.h>

#include "review/lib-2/soak/rig.h"

/*
 * A configuration takes a key away and adds a tenant whose name has a space.
 * The key is used before and after, at all nodes.
 */

#define SEND_EVERY_MS 100
#define CHANGE_AT_MS 1500
#define REVOKE_MS 5000 /* Bounds.RevokeMs, with FailClosed */
#define END_AT_MS (CHANGE_AT_MS + REVOKE_MS + 4000)

#define OLD_KEY "qnirth5mgjy5rcpihhac"
#define KEPT_KEY "ruddedev3nax7u27gxpr"
#define NEW_KEY "teyr4wq0bnz6mkodluvs"

typedef struct state {
	rig_t *rig;
	rig_conn_t *conns[3];
	bf_timer_t send, change, end;
	uint32_t sent, ran_before, ran_late, late_sent, new_served, new_refused;
	bf_time_us_t acked_us;
	GHashTable
	    *late_ids; /* sent with the old key, RevokeMs after the ack */
} state_t;

static state_t state;

static void
on_answered(rig_conn_t *conn, const rig_answer_t *answer, bf_time_us_t now_us)
{
	(void)now_us;
	rig_log(
	    conn->rig, "caller: %s is answered %u", answer->id, answer->status);
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
	uint32_t i = state.sent % 3;
	bool is_new = state.acked_us != 0 && (state.sent / 3) % 4 == 3;
	const char *key = is_new ? NEW_KEY : OLD_KEY;
	char id[32];

	rig_after(state.rig, timer, SEND_EVERY_MS);
	if (state.conns[i] == NULL) {
		state.conns[i] = rig_connect(state.rig, &state.rig->nodes[i]);
		state.conns[i]->user = (void *)(intptr_t)i;
		state.conns[i]->answered = on_answered;
		state.conns[i]->ended = on_ended;
	}
	(void)g_snprintf(
	    id, sizeof(id), "%s%u", is_new ? "new" : "old", ++state.sent);
	if (!is_new && state.acked_us != 0 &&
	    now_us - state.acked_us > REVOKE_MS * BF_US_PER_MS) {
		g_hash_table_add(state.late_ids, g_strdup(id));
		state.late_sent++;
	}
	rig_log(state.rig, "caller: sends %s to %s with key %s", id,
	    state.rig->nodes[i].name, key);
	rig_conn_send(state.conns[i],
	    "POST /u/10 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
	    "Timeout-Ms: 800\r\nAuthorization: Bearer %s\r\n"
	    "Content-Length: 4\r\n\r\nbody",
	    id, key);
}

static void
began(rig_run_t *run, bf_time_us_t now_us)
{
	(void)now_us;
	if (g_hash_table_contains(state.late_ids, run->id)) {
		state.ran_late++;
		rig_log(run->target->rig,
		    "LATE: %s runs, its key was taken away over %d ms before "
		    "it was sent",
		    run->id, REVOKE_MS);
	} else if (state.acked_us == 0) {
		state.ran_before++;
	}
}

static void
put_config(rig_t *rig, const char *version, const char *tenants)
{
	rig_put(rig, "op/config",
	    "{\"Version\":\"%s\",\"Limits\":{\"MaxHeaderBytes\":16384,"
	    "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
	    "\"IdleTimeoutMs\":15000},\"Tenants\":[%s],"
	    "\"Clusters\":[{\"Name\":\"shop\","
	    "\"HealthPath\":\"/health\",\"MaxConnections\":130}],"
	    "\"Listeners\":[{\"Authority\":\"shop.example\",\"Policies\":["
	    "{\"Name\":\"charge\",\"Type\":\"unsafe\",\"Match\":{\"Prefix\":"
	    "\"/u/\"},\"Priority\":1,\"TargetLatencyMs\":200,\"Public\":false,"
	    "\"Action\":{\"Service\":\"shop\",\"TimeoutMs\":800,"
	    "\"MaxAttempts\":2}}]}]}",
	    version, tenants);
}

static void
on_change(bf_timer_t *timer, bf_time_us_t now_us)
{
	char *tenants;

	(void)timer;
	tenants = g_strdup_printf(
	    "{\"Name\":\"pulo780\",\"ApiKeys\":[\"" KEPT_KEY "\"],"
	    "\"Priority\":1},{\"Name\":\"%s\",\"ApiKeys\":[\"" NEW_KEY "\"],"
	    "\"Priority\":1}",
	    state.rig->trouble ? "Rajkot Counter" : "rajkot-counter");
	put_config(state.rig, "r9", tenants);
	g_free(tenants);
	state.acked_us = now_us;
}

static void
on_end(bf_timer_t *timer, bf_time_us_t now_us)
{
	(void)timer;
	(void)now_us;
	rig_log(state.rig,
	    "%u of %u requests ran that were sent later than RevokeMs after "
	    "the key was taken away",
	    state.ran_late, state.late_sent);
	rig_end(state.rig,
	    state.ran_before == 0 || state.late_sent == 0 ? RIG_NOT_RUN
		: state.ran_late > 0                      ? RIG_BROKEN
							  : RIG_HELD);
}

static void
started(rig_t *rig, bf_time_us_t now_us)
{
	(void)now_us;
	state.send.fire = on_send;
	state.change.fire = on_change;
	state.end.fire = on_end;
	rig_after(rig, &state.send, 1);
	rig_after(rig, &state.change, CHANGE_AT_MS);
	rig_after(rig, &state.end, END_AT_MS);
}

int
main(void)
{
	rig_t *rig = rig_open("a key that was taken away", 60);
	uint32_t i;

	state.rig = rig;
	state.late_ids = g_hash_table_new(g_str_hash, g_str_equal);
	rig->settings_more =
	    g_strdup("[accounts]\nfail_closed = true\nrevoke_ms = 5000\n"
		     "[usage_caps]\nwindow_s = 5\nover = 0.1\nslack = 20\n");
	put_config(rig, "r7",
	    "{\"Name\":\"pulo780\",\"ApiKeys\":[\"" OLD_KEY "\",\"" KEPT_KEY
	    "\"],\"Priority\":1}");
	for (i = 0; i < 3; i++)
		rig_add_node(rig,
		    i == 0       ? "a"
			: i == 1 ? "b"
				 : "c",
		    "shop")
		    ->target.began = began;
	return rig_run(rig, started);
}
