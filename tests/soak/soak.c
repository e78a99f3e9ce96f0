#include <arpa/inet.h>
#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "tests/soak/proxy.h"
#include "tests/soak/store.h"
#include "tests/soak/target.h"

/*
 * A randomised soak test: basilmeshd processes with a simulated store and
 * simulated targets, connected through loopback proxies, under consecutive and
 * overlapping faults.  Answers to callers and runs at targets are checked
 * throughout; after the faults the mesh must serve calls and use the newest
 * configuration.  The seed determines the sequence of faults; the scheduling of
 * processes and the network are not reproducible.
 */

#define NODES_MAX 60
#define CALLS_PER_S 300
#define CALL_TIMEOUT_MS 900
/* A call without an answer is given up this long after its timeout. */
#define CALL_OVERDUE_US (3 * BF_US_PER_S)
#define STOP_GRACE_S 3
#define STOP_MARGIN_US (2 * BF_US_PER_S)
/* Time in which a process installs its signal handlers on a busy machine. */
#define STARTUP_US (100 * BF_US_PER_MS)
#define RESTART_DELAY_US (250 * BF_US_PER_MS)
#define TICK_US (20 * BF_US_PER_MS)
#define MEMORY_KB_MAX (64 * 1024)
/* Time after the faults in which the mesh recovers and is then measured. */
#define RECOVERY_US (8 * BF_US_PER_S)
/* The last part of the recovery time, in which calls must be served. */
#define MEASURED_US (3 * BF_US_PER_S)
#define SERVED_RATIO_MIN 0.97
#define PROBLEMS_PRINTED_MAX 12
/* One call in LEAVING_ONE_IN is left by its caller within LEAVING_MS_MAX. */
#define LEAVING_ONE_IN 20
#define LEAVING_MS_MAX 200
/*
 * After its caller has left, a call may reach a target for this long, and one
 * run in WORKED_ON_ONE_IN may last longer, while the nodes are undisturbed.
 */
#define AFTER_LEAVING_US (500 * BF_US_PER_MS)
#define WORKED_ON_ONE_IN 4
#define WORKED_ON_MIN 8
/* A node is undisturbed this long after the last fault. */
#define CALM_AFTER_US (3 * BF_US_PER_S)
/* The whole machine is too busy for the checks of times. */
#define OWN_LAG_US (150 * BF_US_PER_MS)
/* A third of the nodes have a link of 10 Mbit/s. */
#define THIN_LINK_ONE_IN 3
#define THIN_LINK_MBPS 10
#define WIDE_LINK_MBPS 1000
/* Now and then many long bodies are sent at once, which fill thin links. */
#define UPLOADS_AT_ONCE 24
#define UPLOADS_ONE_IN 300 /* calls */
#define LONG_BODY_BYTES ((size_t)250000)
/* One fault in this many is followed by the next one at once. */
#define SERIES_ONE_IN 4
/* The store is copied at every so many faults, about every 3 s. */
#define COPY_EVERY_FAULTS 10

typedef struct soak soak_t;

typedef struct node {
	soak_t *soak;
	char name[32];
	char *folder;
	GPid pid;                /* 0: not running */
	uint32_t process_number; /* counts the processes started */
	/* Newest configuration with which this process served a call. */
	uint64_t newest_config;
	bf_time_us_t newest_config_us; /* when it was first observed */
	bool terminated;               /* SIGTERM was sent */
	bool killed;
	bool paused;
	bf_time_us_t disturbed_us; /* last fault of the process or its link */
	bf_time_us_t kill_at_us;   /* deadline after a SIGTERM; 0: none */
	bf_time_us_t start_us; /* of the process; of the next one if pid is 0 */
	bf_time_us_t target_restart_us; /* 0: none due */
	uint16_t callers_port;
	soak_proxy_t peers_proxy; /* from peers to this node */
	soak_proxy_t store_proxy; /* from this node to the store */
	soak_target_t target;
	bf_http_client_t client; /* a caller with persistent connections */
} node_t;

typedef struct call {
	soak_t *soak;
	node_t *node;
	uint32_t process_number; /* of the node when the call was sent */
	char id[24];
	bool unsafe;    /* must run at most once */
	uint64_t route; /* number of the route called; 0: the unsafe route */
	bf_time_us_t sent_us;
	bf_timer_t timeout;
	bf_timer_t leaving; /* when its caller leaves */
	bf_http_exchange_t exchange;
} call_t;

/* A caller that left. */
typedef struct left_call {
	const node_t *node;
	bf_time_us_t left_us;
} left_call_t;

struct soak {
	uint64_t seed;
	uint32_t seconds;
	uint32_t node_count;
	const char *program;
	char *folder;
	GRand *random;
	GRand *late_random; /* see soak_target_t */
	bf_loop_t *loop;
	node_t nodes[NODES_MAX];
	soak_store_t store;
	GHashTable *run_counts;  /* request id to number of runs */
	GHashTable *refused_ids; /* of unsafe calls answered 429 or 503 */
	GHashTable *unsafe_ids;  /* of all calls that must run at most once */
	GHashTable *sent_ids;
	GHashTable *left_calls;  /* request id to left_call_t */
	uint32_t lasting_runs;   /* that would last AFTER_LEAVING_US and more */
	uint32_t worked_on_runs; /* of these, those that did */
	uint64_t config_number;  /* of the newest configuration written */
	bf_time_us_t started_us;
	bf_time_us_t faults_end_us;
	bf_time_us_t end_us;
	bf_time_us_t ticked_us;
	bf_timer_t tick_timer;
	bf_timer_t fault_timer;
	bf_timer_t faults_end_timer;
	bf_timer_t send_timer;
	uint64_t sent_calls;
	uint64_t answered_calls;
	uint64_t measured_calls; /* sent in the last MEASURED_US */
	uint64_t measured_served;
	uint32_t problems;
	uint32_t fault_count;
	bool stopping;
};

static void report_problem(soak_t *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
report_problem(soak_t *soak, const char *fmt, ...)
{
	va_list args;

	if (soak->problems++ >= PROBLEMS_PRINTED_MAX)
		return;
	printf("PROBLEM seed %llu at %.3f s: ", (unsigned long long)soak->seed,
	    (double)(bf_clock_monotonic_us() - soak->started_us) / BF_US_PER_S);
	va_start(args, fmt);
	(void)vprintf(fmt, args);
	va_end(args);
	printf("\n");
}

static void
print_event(soak_t *soak, const char *event, const char *subject)
{
	printf("%8.3f %s %s\n",
	    (double)(bf_clock_monotonic_us() - soak->started_us) / BF_US_PER_S,
	    event, subject);
}

/* ---- processes ---- */

/* Listening ports lie below the range of ephemeral ports. */
#define PORT_FIRST 10000
#define PORTS_PER_NODE 8

typedef enum port {
	PORT_PEERS,
	PORT_HEARTBEATS,
	PORT_CALLERS,
	PORT_READY
} port_t;

static uint16_t
port_of(const node_t *node, port_t port)
{
	return (uint16_t)(PORT_FIRST +
	    PORTS_PER_NODE * (node - node->soak->nodes) + port);
}

static void
start_node(node_t *node, bf_time_us_t now_us)
{
	char *settings = g_build_filename(node->folder, "node.toml", NULL);
	char *log = g_build_filename(node->folder, "log.jsonl", NULL);
	char *argv[] = { (char *)(uintptr_t)node->soak->program, settings,
		NULL };
	GError *error = NULL;
	FILE *out = g_fopen(log, "ab");

	g_assert_nonnull(out);
	if (!g_spawn_async_with_fds(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
		NULL, NULL, &node->pid, -1, fileno(out), fileno(out), &error))
		g_error("cannot start %s: %s", argv[0], error->message);
	(void)fclose(out);
	node->process_number++;
	node->newest_config = 0;
	node->terminated = false;
	node->killed = false;
	node->paused = false;
	node->kill_at_us = 0;
	node->start_us = now_us;
	node->disturbed_us = now_us;
	g_free(settings);
	g_free(log);
}

static void
write_settings(node_t *node, uint16_t target_port, uint16_t heartbeat_port,
    uint16_t peers_port, const char *zone)
{
	char *path = g_build_filename(node->folder, "node.toml", NULL), *text;
	const char *ip = soak_address_text();

	text = g_strdup_printf(
	    "[node]\ninstance = \"%s\"\navailability_zone = \"%s\"\n"
	    "service = \"shop\"\nlink_mbps = %d\n"
	    "[callers]\nlisten = \"%s:%u\"\n"
	    "[peers]\nlisten = \"%s:%u\"\nadvertise = \"%s:%u\"\n"
	    "[target]\naddress = \"%s:%u\"\nlisten = \"%s:%u\"\n"
	    "heartbeat_ms = 300\n"
	    "[platform]\nready_listen = \"%s:%u\"\nstore = \"%s:%u\"\n"
	    "[stop]\ngrace_s = %d\n"
	    "[repeats]\nshare = 0.2\nburst = 60\n"
	    "[log]\nsample_one_in = 20\n",
	    node->name, zone,
	    node->peers_proxy.bytes_per_s != 0 ? THIN_LINK_MBPS
					       : WIDE_LINK_MBPS,
	    ip, node->callers_port, ip, peers_port, ip,
	    soak_proxy_port(&node->peers_proxy), ip, target_port, ip,
	    heartbeat_port, ip, port_of(node, PORT_READY), ip,
	    soak_proxy_port(&node->store_proxy), STOP_GRACE_S);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	g_free(path);
}

/* ---- callers that leave ---- */

static bool
is_calm(const node_t *node, bf_time_us_t now_us)
{
	const soak_proxy_t *link = &node->peers_proxy;

	return node->pid != 0 && !node->terminated && !node->paused &&
	    !link->cut[SOAK_SIDE_CLIENT] && !link->cut[SOAK_SIDE_SERVER] &&
	    link->delay_us == 0 && now_us - node->disturbed_us > CALM_AFTER_US;
}

/* The call if its caller has left and both nodes are calm; else NULL. */
static const left_call_t *
find_left_call(const node_t *target_node, const char *id, bf_time_us_t now_us)
{
	const left_call_t *left;

	left = id != NULL
	    ? g_hash_table_lookup(target_node->soak->left_calls, id)
	    : NULL;
	return left != NULL && is_calm(left->node, now_us) &&
		is_calm(target_node, now_us)
	    ? left
	    : NULL;
}

static void
on_run_began(soak_target_t *target, const char *id, bf_time_us_t now_us)
{
	node_t *node = BF_CONTAINER(target, node_t, target);
	const left_call_t *left = find_left_call(node, id, now_us);

	if (left != NULL && now_us - left->left_us > AFTER_LEAVING_US)
		report_problem(node->soak,
		    "%s reached %s %lld ms after its caller left %s", id,
		    node->name,
		    (long long)((now_us - left->left_us) / BF_US_PER_MS),
		    left->node->name);
}

static void
on_run_ended(soak_target_t *target, const char *id, bf_time_us_t planned_end_us,
    bf_time_us_t now_us)
{
	node_t *node = BF_CONTAINER(target, node_t, target);
	const left_call_t *left = find_left_call(node, id, now_us);

	if (left == NULL || planned_end_us - left->left_us < AFTER_LEAVING_US)
		return;
	node->soak->lasting_runs++;
	if (now_us - left->left_us > AFTER_LEAVING_US)
		node->soak->worked_on_runs++;
}

static const soak_run_events_t run_events = {
	.began = on_run_began,
	.ended = on_run_ended,
};

/* Callers notice nothing of a machine that has no time for the soak itself. */
static void
note_own_lag(soak_t *soak, bf_time_us_t now_us)
{
	uint32_t i;

	if (bf_clock_monotonic_us() - now_us < OWN_LAG_US &&
	    now_us - soak->ticked_us < TICK_US + OWN_LAG_US)
		return;
	for (i = 0; i < soak->node_count; i++)
		soak->nodes[i].disturbed_us = now_us;
}

static void
set_up_node(soak_t *soak, uint32_t number)
{
	static const char *const zones[] = { "a", "b", "c" };
	node_t *node = &soak->nodes[number];
	struct sockaddr_in at = { .sin_family = AF_INET };
	struct sockaddr_in store = soak_store_address(&soak->store);
	const char *zone = zones[number % G_N_ELEMENTS(zones)];
	uint16_t peers_port, heartbeat_port;

	node->soak = soak;
	peers_port = port_of(node, PORT_PEERS);
	heartbeat_port = port_of(node, PORT_HEARTBEATS);
	(void)g_snprintf(
	    node->name, sizeof(node->name), "node-%s-%u", zone, number);
	node->folder = g_build_filename(soak->folder, node->name, NULL);
	g_assert_cmpint(g_mkdir_with_parents(node->folder, 0700), ==, 0);
	at.sin_addr.s_addr = soak_address();
	at.sin_port = htons(peers_port);
	soak_proxy_open(&node->peers_proxy, soak->loop, &at);
	if (number % THIN_LINK_ONE_IN == soak->seed % THIN_LINK_ONE_IN)
		node->peers_proxy.bytes_per_s =
		    THIN_LINK_MBPS * UINT64_C(1000000) / 8;
	soak_proxy_open(&node->store_proxy, soak->loop, &store);
	at.sin_port = htons(heartbeat_port);
	soak_target_open(&node->target, soak->loop, soak->random,
	    soak->run_counts, zone, &at);
	node->target.events = &run_events;
	node->target.late_random = soak->late_random;
	node->callers_port = port_of(node, PORT_CALLERS);
	at.sin_port = htons(node->callers_port);
	node->client = (bf_http_client_t){ .loop = soak->loop,
		.address = at,
		.idle_timeout_us = 2 * BF_US_PER_S };
	write_settings(node, bf_listener_port(&node->target.server.listener),
	    heartbeat_port, peers_port, zone);
	start_node(node, bf_clock_monotonic_us());
}

static void
signal_node(node_t *node, int number)
{
	if (node->pid != 0)
		(void)kill(node->pid, number);
}

static void
check_memory(node_t *node)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)node->pid);
	char *text = NULL, *at;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		at = strstr(text, "VmRSS:");
		if (at != NULL && atoi(at + 6) > MEMORY_KB_MAX)
			report_problem(node->soak, "%s holds %d KB", node->name,
			    atoi(at + 6));
	}
	g_free(text);
	g_free(path);
}

/*
 * Whether SIGTERM ended a process that was so new that it may not have
 * installed its signal handler.
 */
static bool
ended_before_handler(const node_t *node, int status)
{
	return node->terminated && WIFSIGNALED(status) &&
	    WTERMSIG(status) == SIGTERM &&
	    node->kill_at_us - node->start_us <
	    STARTUP_US + STOP_GRACE_S * BF_US_PER_S + STOP_MARGIN_US;
}

/* Collects the exit status of an ended process, and starts a new one. */
static void
supervise_node(node_t *node, bf_time_us_t now_us)
{
	int status;

	if (node->pid == 0) {
		if (!node->soak->stopping && now_us >= node->start_us)
			start_node(node, now_us);
		return;
	}
	if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
		if (!node->killed && !ended_before_handler(node, status) &&
		    (!node->terminated || !WIFEXITED(status) ||
			WEXITSTATUS(status) != 0))
			report_problem(node->soak,
			    "%s ended by itself, status %x", node->name,
			    (unsigned int)status);
		node->pid = 0;
		node->start_us = now_us + RESTART_DELAY_US;
		return;
	}
	if (node->kill_at_us != 0 && now_us > node->kill_at_us &&
	    !node->killed) {
		report_problem(
		    node->soak, "%s does not end after SIGTERM", node->name);
		node->killed = true;
		signal_node(node, SIGKILL);
	}
}

static void
terminate(node_t *node, bf_time_us_t now_us)
{
	if (node->pid == 0 || node->terminated)
		return;
	if (node->paused)
		signal_node(node, SIGCONT);
	node->paused = false;
	node->terminated = true;
	node->kill_at_us = now_us + STOP_GRACE_S * BF_US_PER_S + STOP_MARGIN_US;
	signal_node(node, SIGTERM);
}

/* ---- operators ---- */

/* Each version keeps the routes of the previous ones and adds its own. */
static void
write_config(soak_t *soak)
{
	GString *text = g_string_new(NULL);
	uint64_t i;

	soak->config_number++;
	g_string_append_printf(text,
	    "{\"Version\":\"r%llu\",\"Limits\":{\"MaxHeaderBytes\":16384,"
	    "\"MaxBodyBytes\":1000000,\"HeaderTimeoutMs\":3000,"
	    "\"IdleTimeoutMs\":4000},\"Clusters\":[{\"Name\":\"shop\","
	    "\"HealthPath\":\"/health\",\"MaxConnections\":100}],"
	    "\"Listeners\":[{\"Authority\":\"soak.test\",\"Policies\":[",
	    (unsigned long long)soak->config_number);
	for (i = 0; i < soak->config_number; i++)
		g_string_append_printf(text,
		    "{\"Name\":\"r%llu\",\"Type\":\"safe\",\"Match\":{\"Prefix\""
		    ":\"/v%llu/\"},\"Priority\":2,\"TargetLatencyMs\":300,"
		    "\"Action\":{\"Service\":\"shop\",\"TimeoutMs\":%d,"
		    "\"MaxAttempts\":2}},",
		    (unsigned long long)i + 1, (unsigned long long)i + 1,
		    CALL_TIMEOUT_MS);
	g_string_append_printf(text,
	    "{\"Name\":\"pay\",\"Type\":\"unsafe\",\"Match\":{\"Prefix\":"
	    "\"/pay/\"},\"Priority\":1,\"TargetLatencyMs\":300,\"Action\":{"
	    "\"Service\":\"shop\",\"TimeoutMs\":%d,\"MaxAttempts\":2}}]}]}",
	    CALL_TIMEOUT_MS);
	soak_store_put(&soak->store, "op/config", text->str);
	g_string_free(text, TRUE);
}

/* ---- callers ---- */

static void
free_call(call_t *call)
{
	bf_loop_timer_cancel(call->soak->loop, &call->timeout);
	bf_loop_timer_cancel(call->soak->loop, &call->leaving);
	bf_loop_defer_free(call->soak->loop, call);
}

static void
on_leaving(bf_timer_t *timer, bf_time_us_t now_us)
{
	call_t *call = BF_CONTAINER(timer, call_t, leaving);
	left_call_t *left = g_new0(left_call_t, 1);

	*left = (left_call_t){ .node = call->node, .left_us = now_us };
	g_hash_table_insert(call->soak->left_calls, g_strdup(call->id), left);
	bf_http_cancel(&call->exchange);
	free_call(call);
}

static void
check_answer(call_t *call, const bf_http_message_t *message)
{
	const char *id = bf_http_find(message, "Request-Id");
	soak_t *soak = call->soak;
	char body[64];

	if (message->status >= 200 && message->status < 300) {
		(void)g_snprintf(body, sizeof(body), "body of %s", call->id);
		if (id == NULL || strcmp(id, call->id) != 0 ||
		    bf_http_find(message, "Response-Signature") == NULL ||
		    bf_bytes_count(&message->body) != strlen(body) ||
		    memcmp(bf_bytes_data(&message->body), body, strlen(body)) !=
			0)
			report_problem(soak,
			    "%s got a success that is not its own", call->id);
		if (g_hash_table_lookup(soak->run_counts, call->id) == NULL)
			report_problem(
			    soak, "%s got a success and never ran", call->id);
	}
	if ((message->status == 503 || message->status == 429) && call->unsafe)
		g_hash_table_add(soak->refused_ids, g_strdup(call->id));
	/* Versions only add routes: a 404 means that an older one is used. */
	if (call->route == 0 ||
	    call->process_number != call->node->process_number)
		return;
	if (message->status == 404 &&
	    call->route <= call->node->newest_config &&
	    call->sent_us > call->node->newest_config_us)
		report_problem(soak,
		    "%s went back: no route /v%llu/, had /v%llu/",
		    call->node->name, (unsigned long long)call->route,
		    (unsigned long long)call->node->newest_config);
	if (message->status == 200 && call->route > call->node->newest_config) {
		call->node->newest_config = call->route;
		call->node->newest_config_us = bf_clock_monotonic_us();
	}
}

static void
on_call_done(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	call_t *call = BF_CONTAINER(exchange, call_t, exchange);
	soak_t *soak = call->soak;
	bool served = false;

	if (result == BF_HTTP_ANSWERED) {
		soak->answered_calls++;
		check_answer(call, message);
		served = message->status == 200;
		bf_http_message_free(message);
	} else if (result == BF_HTTP_BAD_RESPONSE) {
		report_problem(
		    soak, "%s got bytes that are no answer", call->id);
	}
	/* Long calls fill a slot for most of the time that callers wait. */
	if (call->sent_us > soak->end_us - MEASURED_US &&
	    !g_str_has_prefix(call->id, SOAK_LONG_RUN_PREFIX)) {
		soak->measured_calls++;
		soak->measured_served += served ? 1 : 0;
	}
	(void)now_us;
	free_call(call);
}

static void
on_call_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	call_t *call = BF_CONTAINER(timer, call_t, timeout);

	(void)now_us;
	if (call->process_number == call->node->process_number &&
	    !call->node->paused && call->sent_us > call->soak->faults_end_us)
		report_problem(call->soak, "%s has no answer from %s", call->id,
		    call->node->name);
	bf_http_cancel(&call->exchange);
	free_call(call);
}

/* body_bytes: of an upload, which must run at most once; 0: any other call. */
static void
send_call(soak_t *soak, size_t body_bytes, bf_time_us_t now_us)
{
	node_t *node = &soak->nodes[g_rand_int_range(
	    soak->random, 0, (gint32)soak->node_count)];
	bf_bytes_t head = { 0 }, body = { 0 };
	call_t *call;
	bool leaves;

	if (node->pid == 0)
		return;
	call = g_new0(call_t, 1);
	call->soak = soak;
	call->node = node;
	call->process_number = node->process_number;
	call->sent_us = now_us;
	call->unsafe =
	    body_bytes > 0 || g_rand_int_range(soak->random, 0, 3) == 0;
	call->timeout.fire = on_call_timeout;
	call->exchange.done = on_call_done;
	leaves = g_rand_int_range(soak->random, 0, LEAVING_ONE_IN) == 0;
	(void)g_snprintf(call->id, sizeof(call->id), "%sc%llu",
	    leaves ? SOAK_LONG_RUN_PREFIX : "",
	    (unsigned long long)++soak->sent_calls);
	g_hash_table_add(soak->sent_ids, g_strdup(call->id));
	if (call->unsafe)
		g_hash_table_add(soak->unsafe_ids, g_strdup(call->id));
	if (!call->unsafe)
		call->route = g_rand_boolean(soak->random)
		    ? soak->config_number
		    : (uint64_t)g_rand_int_range(
			  soak->random, 1, (gint32)soak->config_number + 1);
	if (call->unsafe)
		bf_bytes_add_text(&body, "a body that is sent once");
	while (call->unsafe && bf_bytes_count(&body) < body_bytes)
		bf_bytes_add_text(&body, ", and is long");
	bf_bytes_format(&head,
	    "%s /%s%llu/x HTTP/1.1\r\nHost: soak.test\r\nRequest-Id: %s\r\n"
	    "Timeout-Ms: %d\r\n",
	    call->unsafe ? "POST" : "GET", call->unsafe ? "pay/" : "v",
	    (unsigned long long)call->route, call->id, CALL_TIMEOUT_MS);
	if (call->unsafe)
		bf_bytes_format(
		    &head, "Content-Length: %zu\r\n", bf_bytes_count(&body));
	bf_bytes_add_text(&head, "\r\n");
	bf_loop_timer_set(soak->loop, &call->timeout,
	    now_us + CALL_TIMEOUT_MS * BF_US_PER_MS + CALL_OVERDUE_US);
	call->leaving.fire = on_leaving;
	if (leaves)
		bf_loop_timer_set(soak->loop, &call->leaving,
		    now_us +
			g_rand_int_range(soak->random, 1, LEAVING_MS_MAX) *
			    BF_US_PER_MS);
	if (!bf_http_send(&node->client, &call->exchange, &head, &body,
		node->client.idle_timeout_us, now_us))
		free_call(call);
	bf_bytes_free(&head);
	bf_bytes_free(&body);
}

static void
on_send(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_t *soak = BF_CONTAINER(timer, soak_t, send_timer);
	uint32_t uploads = 0;

	if (soak->stopping)
		return;
	if (g_rand_int_range(soak->random, 0, UPLOADS_ONE_IN) == 0)
		uploads = UPLOADS_AT_ONCE;
	for (; uploads > 0; uploads--)
		send_call(soak, LONG_BODY_BYTES, now_us);
	send_call(soak, 0, now_us);
	bf_loop_timer_set(
	    soak->loop, timer, now_us + BF_US_PER_S / CALLS_PER_S);
}

/* ---- faults ---- */

static node_t *
random_node(soak_t *soak)
{
	return &soak->nodes[g_rand_int_range(
	    soak->random, 0, (gint32)soak->node_count)];
}

static void
inject_process_fault(
    soak_t *soak, node_t *node, gint32 kind, bf_time_us_t now_us)
{
	node->disturbed_us = now_us;
	switch (kind) {
	case 0:
		print_event(soak, "kill", node->name);
		node->killed = true;
		signal_node(node, SIGKILL);
		break;
	case 1:
		print_event(soak, "terminate", node->name);
		terminate(node, now_us);
		break;
	case 2:
		if (node->terminated)
			break; /* a pause would make it miss kill_at_us */
		print_event(
		    soak, node->paused ? "continue" : "pause", node->name);
		signal_node(node, node->paused ? SIGCONT : SIGSTOP);
		node->paused = !node->paused;
		break;
	default:
		print_event(soak, "send SIGHUP to", node->name);
		signal_node(node, SIGHUP);
		break;
	}
}

static void
inject_link_fault(soak_t *soak, soak_proxy_t *proxy, node_t *node, gint32 kind)
{
	char link_name[64];

	if (proxy == &node->peers_proxy)
		node->disturbed_us = bf_clock_monotonic_us();
	(void)g_snprintf(link_name, sizeof(link_name), "%s to %s",
	    proxy == &node->store_proxy ? "store" : "others", node->name);
	switch (kind) {
	case 0:
		print_event(soak, "reset", link_name);
		soak_proxy_reset(proxy);
		break;
	case 1:
		print_event(soak, "silence", link_name);
		soak_proxy_silence(proxy);
		break;
	case 2:
		print_event(soak, "delay", link_name);
		proxy->delay_us =
		    g_rand_int_range(soak->random, 5, 300) * BF_US_PER_MS;
		break;
	case 3:
		print_event(soak, "cut", link_name);
		proxy->cut[SOAK_SIDE_CLIENT] = true;
		proxy->cut[SOAK_SIDE_SERVER] = true;
		break;
	case 4:
		print_event(soak, "cut one direction", link_name);
		proxy->cut[g_rand_int_range(soak->random, 0, SOAK_SIDE_COUNT)] =
		    true;
		break;
	default:
		print_event(soak, "heal", link_name);
		soak_proxy_heal(proxy);
		break;
	}
}

static void
inject_store_fault(soak_t *soak, gint32 kind)
{
	static const char *const modes[SOAK_STORE_MODE_COUNT] = { "serves",
		"refuses", "resets", "silent", "loses answers" };

	switch (kind) {
	case 0:
		print_event(soak, "history compacted", "store");
		soak_store_compact(&soak->store);
		break;
	case 1:
		print_event(soak, "lease revoked", "store");
		soak_store_revoke_lease(&soak->store);
		break;
	case 2:
		soak->store.delay_us =
		    g_rand_int_range(soak->random, 0, 400) * BF_US_PER_MS;
		print_event(soak, "slow", "store");
		break;
	case 3:
		soak->store.mode = (soak_store_mode_t)g_rand_int_range(
		    soak->random, 0, SOAK_STORE_MODE_COUNT);
		print_event(soak, modes[soak->store.mode], "store");
		break;
	case 4:
		/* Operators write again what the copy lacks. */
		soak->store.mode = SOAK_STORE_SERVES;
		print_event(soak, "restored from an old copy", "store");
		soak_store_restore(&soak->store);
		write_config(soak);
		break;
	default:
		soak->store.mode = SOAK_STORE_SERVES;
		print_event(soak, "serves", "store");
		break;
	}
}

static void
inject_target_fault(soak_t *soak, node_t *node, bf_time_us_t now_us)
{
	if (g_rand_int_range(soak->random, 0, 3) == 0) {
		if (node->target.draining)
			return;
		print_event(soak, "target drains", node->name);
		node->target.draining = true;
		node->target_restart_us = now_us + 4 * BF_US_PER_S;
		return;
	}
	print_event(soak, "target mode changes", node->name);
	node->target.mode = (soak_target_mode_t)g_rand_int_range(
	    soak->random, 0, SOAK_TARGET_MODE_COUNT);
}

static void
on_fault(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_t *soak = BF_CONTAINER(timer, soak_t, fault_timer);
	GRand *random = soak->random;
	node_t *node = random_node(soak);
	gint32 pause_ms;

	if (now_us >= soak->faults_end_us)
		return;
	if (soak->fault_count++ % COPY_EVERY_FAULTS == 0)
		soak_store_copy(&soak->store);
	switch (g_rand_int_range(random, 0, 7)) {
	case 0:
		inject_process_fault(
		    soak, node, g_rand_int_range(random, 0, 4), now_us);
		break;
	case 1:
		inject_link_fault(soak, &node->peers_proxy, node,
		    g_rand_int_range(random, 0, 7));
		break;
	case 2:
		inject_link_fault(soak, &node->store_proxy, node,
		    g_rand_int_range(random, 0, 7));
		break;
	case 3:
		inject_store_fault(soak, g_rand_int_range(random, 0, 6));
		break;
	case 4:
		inject_target_fault(soak, node, now_us);
		break;
	case 5:
		print_event(soak, "configuration", "");
		write_config(soak);
		break;
	default:
		/* Several faults at once on one node. */
		print_event(soak, "restart with connection resets", node->name);
		terminate(node, now_us);
		node->disturbed_us = now_us;
		soak_proxy_reset(&node->peers_proxy);
		soak_proxy_reset(&node->store_proxy);
		write_config(soak);
		break;
	}
	pause_ms = g_rand_int_range(random, 0, SERIES_ONE_IN) == 0
	    ? 5
	    : g_rand_int_range(random, 50, 600);
	bf_loop_timer_set(soak->loop, timer, now_us + pause_ms * BF_US_PER_MS);
}

/* Ends all faults; supervise_node restarts processes that ended. */
static void
heal_all(soak_t *soak)
{
	bf_time_us_t now_us = bf_clock_monotonic_us();
	node_t *node;
	uint32_t i;

	print_event(soak, "all faults ended", "");
	soak->store.mode = SOAK_STORE_SERVES;
	soak->store.delay_us = 0;
	for (i = 0; i < soak->node_count; i++) {
		node = &soak->nodes[i];
		if (!is_calm(node, now_us))
			node->disturbed_us = now_us;
		soak_proxy_heal(&node->peers_proxy);
		soak_proxy_heal(&node->store_proxy);
		node->target.mode = SOAK_TARGET_SERVES;
		if (node->paused)
			signal_node(node, SIGCONT);
		node->paused = false;
	}
	write_config(soak);
}

/* ---- the run ---- */

static void
check_results(soak_t *soak)
{
	gpointer key, value;
	GHashTableIter iter;
	uint32_t i;

	g_hash_table_iter_init(&iter, soak->refused_ids);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (g_hash_table_lookup(soak->run_counts, key) != NULL)
			report_problem(soak,
			    "%s was refused as not run, and ran",
			    (const char *)key);
	}
	g_hash_table_iter_init(&iter, soak->run_counts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (!g_hash_table_contains(soak->sent_ids, key))
			report_problem(soak, "\"%s\" ran, which nobody sent",
			    (const char *)key);
	}
	for (i = 0; i < soak->node_count; i++) {
		if (soak->nodes[i].target.late_calls > 0)
			report_problem(soak,
			    "%s: %llu calls to a target that left",
			    soak->nodes[i].name,
			    (unsigned long long)soak->nodes[i]
				.target.late_calls);
		if (soak->nodes[i].newest_config < soak->config_number)
			report_problem(soak,
			    "%s has not shown configuration %llu",
			    soak->nodes[i].name,
			    (unsigned long long)soak->config_number);
	}
	if (soak->worked_on_runs >= WORKED_ON_MIN &&
	    soak->worked_on_runs * WORKED_ON_ONE_IN > soak->lasting_runs)
		report_problem(soak,
		    "%u of %u runs went on after their callers had left",
		    soak->worked_on_runs, soak->lasting_runs);
	if (soak->measured_served <
	    SERVED_RATIO_MIN * (double)soak->measured_calls)
		report_problem(soak,
		    "%llu of %llu calls served after the faults",
		    (unsigned long long)soak->measured_served,
		    (unsigned long long)soak->measured_calls);
}

static void
check_run_once(soak_t *soak)
{
	gpointer key;
	GHashTableIter iter;
	const gint *count;

	g_hash_table_iter_init(&iter, soak->unsafe_ids);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		count = g_hash_table_lookup(soak->run_counts, key);
		if (count != NULL && *count > 1)
			report_problem(
			    soak, "%s ran %d times", (const char *)key, *count);
	}
}

static void
check_log(node_t *node)
{
	char *path = g_build_filename(node->folder, "log.jsonl", NULL);
	char *text = NULL, **lines;
	int i;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		report_problem(node->soak, "%s has no log", node->name);
		g_free(path);
		return;
	}
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL && lines[i + 1] != NULL; i++) {
		if (strstr(lines[i], "Sanitizer") != NULL)
			report_problem(
			    node->soak, "%s: %s", node->name, lines[i]);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(path);
}

static void
on_tick(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_t *soak = BF_CONTAINER(timer, soak_t, tick_timer);
	uint32_t i, running = 0;
	node_t *node;

	note_own_lag(soak, now_us);
	soak->ticked_us = now_us;
	if (!soak->stopping && now_us >= soak->end_us) {
		soak->stopping = true;
		for (i = 0; i < soak->node_count; i++)
			terminate(&soak->nodes[i], now_us);
	}
	for (i = 0; i < soak->node_count; i++) {
		node = &soak->nodes[i];
		supervise_node(node, now_us);
		if (node->pid != 0)
			check_memory(node);
		if (node->target_restart_us != 0 &&
		    now_us > node->target_restart_us) {
			node->target_restart_us = 0;
			soak_target_restart(&node->target);
		}
		running += node->pid != 0 ? 1 : 0;
	}
	if (soak->stopping && running == 0) {
		bf_loop_stop(soak->loop);
		return;
	}
	bf_loop_timer_set(soak->loop, timer, now_us + TICK_US);
}

static void
on_faults_end(bf_timer_t *timer, bf_time_us_t now_us)
{
	(void)now_us;
	heal_all(BF_CONTAINER(timer, soak_t, faults_end_timer));
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	soak_t *soak = state->input;

	switch (key) {
	case 's':
		soak->seed = strtoull(arg, NULL, 10);
		return 0;
	case 't':
		soak->seconds = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'n':
		soak->node_count = (uint32_t)strtoul(arg, NULL, 10);
		if (soak->node_count < 1 || soak->node_count > NODES_MAX)
			argp_error(
			    state, "--nodes must be from 1 to %d", NODES_MAX);
		return 0;
	case 'p':
		soak->program = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "seed", 's', "N", 0, "determines the sequence of faults; default 1",
	    0 },
	{ "seconds", 't', "N", 0, "duration of the faults; default 12", 0 },
	{ "nodes", 'n', "N", 0, "number of processes; default 6", 0 },
	{ "program", 'p', "FILE", 0,
	    "the node program; default $BF_BIN/basilmeshd", 0 },
	{ 0 },
};

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Runs basilmeshd processes under random faults.",
};

static void
set_up(soak_t *soak)
{
	bf_time_us_t now_us;
	uint32_t i;

	soak->random = g_rand_new_with_seed((guint32)soak->seed);
	soak->late_random = g_rand_new_with_seed((guint32)soak->seed + 1);
	soak->loop = bf_loop_new(NULL);
	soak->run_counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak->refused_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak->unsafe_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak->sent_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak->left_calls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak->folder = g_dir_make_tmp("basilfork-soak-XXXXXX", NULL);
	soak_store_open(&soak->store, soak->loop, soak->random);
	write_config(soak);
	for (i = 0; i < soak->node_count; i++)
		set_up_node(soak, i);
	now_us = bf_clock_monotonic_us();
	soak->started_us = now_us;
	soak->ticked_us = now_us;
	soak->faults_end_us = now_us + (soak->seconds + 2) * BF_US_PER_S;
	soak->end_us = soak->faults_end_us + RECOVERY_US;
	soak->tick_timer.fire = on_tick;
	soak->fault_timer.fire = on_fault;
	soak->faults_end_timer.fire = on_faults_end;
	soak->send_timer.fire = on_send;
	bf_loop_timer_set(soak->loop, &soak->tick_timer, now_us + TICK_US);
	bf_loop_timer_set(
	    soak->loop, &soak->fault_timer, now_us + 2 * BF_US_PER_S);
	bf_loop_timer_set(
	    soak->loop, &soak->faults_end_timer, soak->faults_end_us);
	bf_loop_timer_set(soak->loop, &soak->send_timer, now_us + BF_US_PER_S);
}

int
main(int argc, char **argv)
{
	const char *bin = g_getenv("BF_BIN");
	uint32_t i;
	soak_t *soak = g_new0(soak_t, 1);

	soak->seed = 1;
	soak->seconds = 12;
	soak->node_count = 6;
	soak->program = g_build_filename(
	    bin != NULL ? bin : "build/bin", "basilmeshd", NULL);
	if (argp_parse(&argp, argc, argv, 0, NULL, soak) != 0)
		return 2;
	(void)signal(SIGPIPE, SIG_IGN);
	(void)setvbuf(stdout, NULL, _IOLBF, 0);
	set_up(soak);
	bf_loop_run(soak->loop);
	check_results(soak);
	check_run_once(soak);
	for (i = 0; i < soak->node_count; i++)
		check_log(&soak->nodes[i]);
	printf("soak seed %llu: %u faults, %llu calls, %llu answered, %llu of "
	       "%llu served after the faults, %u left, %u of %u runs went on, "
	       "%u problems; %s\n",
	    (unsigned long long)soak->seed, soak->fault_count,
	    (unsigned long long)soak->sent_calls,
	    (unsigned long long)soak->answered_calls,
	    (unsigned long long)soak->measured_served,
	    (unsigned long long)soak->measured_calls,
	    g_hash_table_size(soak->left_calls), soak->worked_on_runs,
	    soak->lasting_runs, soak->problems, soak->folder);
	return soak->problems == 0 ? 0 : 1;
}
