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
 * A randomised soak: basilmeshd processes over stand-ins of the store and of
 * targets, behind loopback proxies, with faults that come in series and
 * overlap.  What callers and targets see is checked all the while; after the
 * faults the mesh must serve again and have the newest configuration.  The
 * seed decides which fault comes when; processes and the network do not repeat.
 */

#define NODES_MAX 60
#define CALLS_A_SECOND 300
#define LEFT_MS 900
/* A call is over this long after its time, whatever happened to its node. */
#define CALL_PATIENCE_US (3 * BF_US_PER_S)
#define GRACE_S 3
#define END_PATIENCE_US (2 * BF_US_PER_S)
/* From its start to a process that handles signals, on a busy machine. */
#define BIRTH_US (100 * BF_US_PER_MS)
#define RESTART_US (250 * BF_US_PER_MS)
#define TICK_US (20 * BF_US_PER_MS)
#define MEMORY_KB_MAX (64 * 1024)
/* From the end of the faults: what is still broken heals. */
#define CALM_US (8 * BF_US_PER_S)
/* The last part of the calm, in which nearly all calls are served. */
#define JUDGED_US (3 * BF_US_PER_S)
#define SERVED_MIN 0.97
#define PROBLEMS_SHOWN 12

typedef struct soak soak_t;

typedef struct node {
	soak_t *soak;
	char name[32];
	char *folder;
	GPid pid; /* 0: not running */
	uint32_t lifetime;
	uint64_t newest_seen; /* configuration, by this process */
	bf_time_us_t newest_us;
	bool terminated; /* SIGTERM was sent */
	bool killed;
	bool paused;
	bf_time_us_t kill_us; /* a SIGTERM that takes too long; 0: none */
	bf_time_us_t start_us;
	bf_time_us_t renew_us; /* of its target; 0: none */
	uint16_t callers_port;
	soak_proxy_t peers;
	soak_proxy_t store;
	soak_target_t target;
	bf_http_client_t client; /* keeps its connections */
} node_t;

typedef struct call {
	soak_t *soak;
	node_t *node;
	uint32_t lifetime; /* of the node when it was sent */
	char id[24];
	bool unsafe;
	uint64_t route; /* of that configuration; 0: none in particular */
	bf_time_us_t sent_us;
	bf_timer_t timeout;
	bf_http_exchange_t exchange;
} call_t;

struct soak {
	uint64_t seed;
	uint32_t seconds;
	uint32_t node_count;
	const char *program;
	char *folder;
	GRand *random;
	bf_loop_t *loop;
	node_t nodes[NODES_MAX];
	soak_store_t store;
	GHashTable *runs;    /* id to number of runs */
	GHashTable *refused; /* unsafe ids that callers were told are not run */
	GHashTable *unsafe;  /* all ids that must run once at most */
	GHashTable *sent;    /* all ids */
	uint64_t config;
	bf_time_us_t begin_us;
	bf_time_us_t faults_end_us;
	bf_time_us_t end_us;
	bf_timer_t tick;
	bf_timer_t fault;
	bf_timer_t heal;
	bf_timer_t send;
	uint64_t calls;
	uint64_t answered;
	uint64_t judged;
	uint64_t judged_served;
	uint32_t problems;
	uint32_t faults;
	bool over;
};

static void problem(soak_t *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
problem(soak_t *soak, const char *fmt, ...)
{
	va_list args;

	if (soak->problems++ >= PROBLEMS_SHOWN)
		return;
	printf("PROBLEM seed %llu at %.3f s: ", (unsigned long long)soak->seed,
	    (double)(bf_clock_monotonic_us() - soak->begin_us) / BF_US_PER_S);
	va_start(args, fmt);
	(void)vprintf(fmt, args);
	va_end(args);
	printf("\n");
}

static void
note(soak_t *soak, const char *what, const char *whom)
{
	printf("%8.3f %s %s\n",
	    (double)(bf_clock_monotonic_us() - soak->begin_us) / BF_US_PER_S,
	    what, whom);
}

/* ---- processes ---- */

/* Ports that processes listen on: below those of connections. */
#define PORT_FIRST 10000
#define PORTS_A_NODE 8

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
	    PORTS_A_NODE * (node - node->soak->nodes) + port);
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
		g_error("%s does not start: %s", argv[0], error->message);
	(void)fclose(out);
	node->lifetime++;
	node->newest_seen = 0;
	node->terminated = false;
	node->killed = false;
	node->paused = false;
	node->kill_us = 0;
	node->start_us = now_us;
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
	    "service = \"shop\"\n"
	    "[callers]\nlisten = \"%s:%u\"\n"
	    "[peers]\nlisten = \"%s:%u\"\nadvertise = \"%s:%u\"\n"
	    "[target]\naddress = \"%s:%u\"\nlisten = \"%s:%u\"\n"
	    "heartbeat_ms = 300\n"
	    "[platform]\nready_listen = \"%s:%u\"\nstore = \"%s:%u\"\n"
	    "[stop]\ngrace_s = %d\n"
	    "[repeats]\nshare = 0.2\nburst = 60\n"
	    "[log]\nsample_one_in = 20\n",
	    node->name, zone, ip, node->callers_port, ip, peers_port, ip,
	    soak_proxy_port(&node->peers), ip, target_port, ip, heartbeat_port,
	    ip, port_of(node, PORT_READY), ip, soak_proxy_port(&node->store),
	    GRACE_S);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	g_free(path);
}

static void
open_node(soak_t *soak, uint32_t number)
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
	soak_proxy_open(&node->peers, soak->loop, &at);
	soak_proxy_open(&node->store, soak->loop, &store);
	at.sin_port = htons(heartbeat_port);
	soak_target_open(
	    &node->target, soak->loop, soak->random, soak->runs, zone, &at);
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
			problem(node->soak, "%s holds %d KB", node->name,
			    atoi(at + 6));
	}
	g_free(text);
	g_free(path);
}

/* SIGTERM came before the program could ask to be told of it. */
static bool
ended_unborn(const node_t *node, int status)
{
	return node->terminated && WIFSIGNALED(status) &&
	    WTERMSIG(status) == SIGTERM &&
	    node->kill_us - node->start_us <
	    BIRTH_US + GRACE_S * BF_US_PER_S + END_PATIENCE_US;
}

/* Sees ends of processes, and starts them again. */
static void
tend_node(node_t *node, bf_time_us_t now_us)
{
	int status;

	if (node->pid == 0) {
		if (!node->soak->over && now_us >= node->start_us)
			start_node(node, now_us);
		return;
	}
	if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
		if (!node->killed && !ended_unborn(node, status) &&
		    (!node->terminated || !WIFEXITED(status) ||
			WEXITSTATUS(status) != 0))
			problem(node->soak, "%s ended by itself, status %x",
			    node->name, (unsigned int)status);
		node->pid = 0;
		node->start_us = now_us + RESTART_US;
		return;
	}
	if (node->kill_us != 0 && now_us > node->kill_us && !node->killed) {
		problem(
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
	node->kill_us = now_us + GRACE_S * BF_US_PER_S + END_PATIENCE_US;
	signal_node(node, SIGTERM);
}

/* ---- operators ---- */

/* Each version keeps the routes of the former ones and adds its own. */
static void
write_config(soak_t *soak)
{
	GString *text = g_string_new(NULL);
	uint64_t i;

	soak->config++;
	g_string_append_printf(text,
	    "{\"Version\":\"r%llu\",\"Limits\":{\"MaxHeaderBytes\":16384,"
	    "\"MaxBodyBytes\":1000000,\"HeaderTimeoutMs\":3000,"
	    "\"IdleTimeoutMs\":4000},\"Clusters\":[{\"Name\":\"shop\","
	    "\"HealthPath\":\"/health\",\"MaxConnections\":100}],"
	    "\"Listeners\":[{\"Authority\":\"soak.test\",\"Policies\":[",
	    (unsigned long long)soak->config);
	for (i = 0; i < soak->config; i++)
		g_string_append_printf(text,
		    "{\"Name\":\"r%llu\",\"Type\":\"safe\",\"Match\":{\"Prefix\""
		    ":\"/v%llu/\"},\"Priority\":2,\"TargetLatencyMs\":300,"
		    "\"Action\":{\"Service\":\"shop\",\"TimeoutMs\":%d,"
		    "\"MaxAttempts\":2}},",
		    (unsigned long long)i + 1, (unsigned long long)i + 1,
		    LEFT_MS);
	g_string_append_printf(text,
	    "{\"Name\":\"pay\",\"Type\":\"unsafe\",\"Match\":{\"Prefix\":"
	    "\"/pay/\"},\"Priority\":1,\"TargetLatencyMs\":300,\"Action\":{"
	    "\"Service\":\"shop\",\"TimeoutMs\":%d,\"MaxAttempts\":2}}]}]}",
	    LEFT_MS);
	soak_store_put(&soak->store, "op/config", text->str);
	g_string_free(text, TRUE);
}

/* ---- callers ---- */

static void
free_call(call_t *call)
{
	bf_loop_timer_cancel(call->soak->loop, &call->timeout);
	bf_loop_defer_free(call->soak->loop, call);
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
			problem(soak, "%s got a success that is not its own",
			    call->id);
		if (g_hash_table_lookup(soak->runs, call->id) == NULL)
			problem(
			    soak, "%s got a success and never ran", call->id);
	}
	if ((message->status == 503 || message->status == 429) && call->unsafe)
		g_hash_table_add(soak->refused, g_strdup(call->id));
	/* Versions only add routes, so that a 404 tells of an older one. */
	if (call->route == 0 || call->lifetime != call->node->lifetime)
		return;
	if (message->status == 404 && call->route <= call->node->newest_seen &&
	    call->sent_us > call->node->newest_us)
		problem(soak, "%s went back: no route /v%llu/, had /v%llu/",
		    call->node->name, (unsigned long long)call->route,
		    (unsigned long long)call->node->newest_seen);
	if (message->status == 200 && call->route > call->node->newest_seen) {
		call->node->newest_seen = call->route;
		call->node->newest_us = bf_clock_monotonic_us();
	}
}

static void
on_call_done(bf_http_exchange_t *exchange, bf_http_result_t end,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	call_t *call = BF_CONTAINER(exchange, call_t, exchange);
	soak_t *soak = call->soak;
	bool served = false;

	if (end == BF_HTTP_ANSWERED) {
		soak->answered++;
		check_answer(call, message);
		served = message->status == 200;
		bf_http_message_free(message);
	} else if (end == BF_HTTP_BAD_RESPONSE) {
		problem(soak, "%s got bytes that are no answer", call->id);
	}
	if (call->sent_us > soak->end_us - JUDGED_US) {
		soak->judged++;
		soak->judged_served += served ? 1 : 0;
	}
	(void)now_us;
	free_call(call);
}

static void
on_call_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	call_t *call = BF_CONTAINER(timer, call_t, timeout);

	(void)now_us;
	if (call->lifetime == call->node->lifetime && !call->node->paused &&
	    call->sent_us > call->soak->faults_end_us)
		problem(call->soak, "%s has no answer from %s", call->id,
		    call->node->name);
	bf_http_cancel(&call->exchange);
	free_call(call);
}

static void
send_call(soak_t *soak, bf_time_us_t now_us)
{
	node_t *node = &soak->nodes[g_rand_int_range(
	    soak->random, 0, (gint32)soak->node_count)];
	bf_bytes_t head = { 0 }, body = { 0 };
	call_t *call;

	if (node->pid == 0)
		return;
	call = g_new0(call_t, 1);
	call->soak = soak;
	call->node = node;
	call->lifetime = node->lifetime;
	call->sent_us = now_us;
	call->unsafe = g_rand_int_range(soak->random, 0, 3) == 0;
	call->timeout.fire = on_call_timeout;
	call->exchange.done = on_call_done;
	(void)g_snprintf(call->id, sizeof(call->id), "c%llu",
	    (unsigned long long)++soak->calls);
	g_hash_table_add(soak->sent, g_strdup(call->id));
	if (call->unsafe)
		g_hash_table_add(soak->unsafe, g_strdup(call->id));
	if (!call->unsafe)
		call->route = g_rand_boolean(soak->random)
		    ? soak->config
		    : (uint64_t)g_rand_int_range(
			  soak->random, 1, (gint32)soak->config + 1);
	if (call->unsafe)
		bf_bytes_add_text(&body, "a body that is sent once");
	bf_bytes_format(&head,
	    "%s /%s%llu/x HTTP/1.1\r\nHost: soak.test\r\nRequest-Id: %s\r\n"
	    "Timeout-Ms: %d\r\n",
	    call->unsafe ? "POST" : "GET", call->unsafe ? "pay/" : "v",
	    (unsigned long long)call->route, call->id, LEFT_MS);
	if (call->unsafe)
		bf_bytes_format(
		    &head, "Content-Length: %zu\r\n", bf_bytes_count(&body));
	bf_bytes_add_text(&head, "\r\n");
	bf_loop_timer_set(soak->loop, &call->timeout,
	    now_us + LEFT_MS * BF_US_PER_MS + CALL_PATIENCE_US);
	if (!bf_http_send(&node->client, &call->exchange, &head, &body,
		node->client.idle_timeout_us, now_us))
		free_call(call);
	bf_bytes_free(&head);
	bf_bytes_free(&body);
}

static void
on_send(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_t *soak = BF_CONTAINER(timer, soak_t, send);

	if (soak->over)
		return;
	send_call(soak, now_us);
	bf_loop_timer_set(
	    soak->loop, timer, now_us + BF_US_PER_S / CALLS_A_SECOND);
}

/* ---- faults ---- */

static node_t *
any_node(soak_t *soak)
{
	return &soak->nodes[g_rand_int_range(
	    soak->random, 0, (gint32)soak->node_count)];
}

static void
fault_process(soak_t *soak, node_t *node, gint32 kind, bf_time_us_t now_us)
{
	switch (kind) {
	case 0:
		note(soak, "kill", node->name);
		node->killed = true;
		signal_node(node, SIGKILL);
		break;
	case 1:
		note(soak, "terminate", node->name);
		terminate(node, now_us);
		break;
	case 2:
		if (node->terminated)
			break; /* it would be late for a reason of ours */
		note(soak, node->paused ? "continue" : "pause", node->name);
		signal_node(node, node->paused ? SIGCONT : SIGSTOP);
		node->paused = !node->paused;
		break;
	default:
		note(soak, "hang up", node->name);
		signal_node(node, SIGHUP);
		break;
	}
}

static void
fault_link(soak_t *soak, soak_proxy_t *proxy, const node_t *node, gint32 kind)
{
	char whom[64];

	(void)g_snprintf(whom, sizeof(whom), "%s to %s",
	    proxy == &node->store ? "store" : "others", node->name);
	switch (kind) {
	case 0:
		note(soak, "reset", whom);
		soak_proxy_reset(proxy);
		break;
	case 1:
		note(soak, "silence", whom);
		soak_proxy_silence(proxy);
		break;
	case 2:
		note(soak, "delay", whom);
		proxy->delay_us =
		    g_rand_int_range(soak->random, 5, 300) * BF_US_PER_MS;
		break;
	case 3:
		note(soak, "cut", whom);
		proxy->cut[SOAK_DIALLER] = true;
		proxy->cut[SOAK_TARGET] = true;
		break;
	case 4:
		note(soak, "cut one way", whom);
		proxy->cut[g_rand_int_range(soak->random, 0, SOAK_SIDES)] =
		    true;
		break;
	default:
		note(soak, "heal", whom);
		soak_proxy_heal(proxy);
		break;
	}
}

static void
fault_store(soak_t *soak, gint32 kind)
{
	static const char *const ways[SOAK_STORE_WAYS] = { "serves", "refuses",
		"resets", "silent", "loses answers" };

	switch (kind) {
	case 0:
		note(soak, "history forgotten", "store");
		soak_store_forget(&soak->store);
		break;
	case 1:
		note(soak, "lease revoked", "store");
		soak_store_revoke(&soak->store);
		break;
	case 2:
		soak->store.slow_us =
		    g_rand_int_range(soak->random, 0, 400) * BF_US_PER_MS;
		note(soak, "slow", "store");
		break;
	case 3:
		soak->store.way = (soak_store_way_t)g_rand_int_range(
		    soak->random, 0, SOAK_STORE_WAYS);
		note(soak, ways[soak->store.way], "store");
		break;
	default:
		soak->store.way = SOAK_STORE_SERVES;
		note(soak, "serves", "store");
		break;
	}
}

static void
fault_target(soak_t *soak, node_t *node, bf_time_us_t now_us)
{
	if (g_rand_int_range(soak->random, 0, 3) == 0) {
		if (node->target.draining)
			return;
		note(soak, "target leaves", node->name);
		node->target.draining = true;
		node->renew_us = now_us + 4 * BF_US_PER_S;
		return;
	}
	note(soak, "target changes", node->name);
	node->target.way = (soak_target_way_t)g_rand_int_range(
	    soak->random, 0, SOAK_TARGET_WAYS);
}

static void
on_fault(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_t *soak = BF_CONTAINER(timer, soak_t, fault);
	GRand *random = soak->random;
	node_t *node = any_node(soak);

	if (now_us >= soak->faults_end_us)
		return;
	soak->faults++;
	switch (g_rand_int_range(random, 0, 7)) {
	case 0:
		fault_process(
		    soak, node, g_rand_int_range(random, 0, 4), now_us);
		break;
	case 1:
		fault_link(
		    soak, &node->peers, node, g_rand_int_range(random, 0, 7));
		break;
	case 2:
		fault_link(
		    soak, &node->store, node, g_rand_int_range(random, 0, 7));
		break;
	case 3:
		fault_store(soak, g_rand_int_range(random, 0, 6));
		break;
	case 4:
		fault_target(soak, node, now_us);
		break;
	case 5:
		note(soak, "configuration", "");
		write_config(soak);
		break;
	default:
		/* A series on one node. */
		note(soak, "restarts in series", node->name);
		terminate(node, now_us);
		soak_proxy_reset(&node->peers);
		soak_proxy_reset(&node->store);
		write_config(soak);
		break;
	}
	bf_loop_timer_set(soak->loop, timer,
	    now_us + g_rand_int_range(random, 50, 600) * BF_US_PER_MS);
}

/* Ends what still goes on; processes that are away start by themselves. */
static void
heal_all(soak_t *soak)
{
	node_t *node;
	uint32_t i;

	note(soak, "all healed", "");
	soak->store.way = SOAK_STORE_SERVES;
	soak->store.slow_us = 0;
	for (i = 0; i < soak->node_count; i++) {
		node = &soak->nodes[i];
		soak_proxy_heal(&node->peers);
		soak_proxy_heal(&node->store);
		node->target.way = SOAK_TARGET_SERVES;
		if (node->paused)
			signal_node(node, SIGCONT);
		node->paused = false;
	}
	write_config(soak);
}

/* ---- the run ---- */

static void
check_runs(soak_t *soak)
{
	gpointer key, value;
	GHashTableIter at;
	uint32_t i;

	g_hash_table_iter_init(&at, soak->refused);
	while (g_hash_table_iter_next(&at, &key, NULL)) {
		if (g_hash_table_lookup(soak->runs, key) != NULL)
			problem(soak, "%s was refused as not run, and ran",
			    (const char *)key);
	}
	g_hash_table_iter_init(&at, soak->runs);
	while (g_hash_table_iter_next(&at, &key, &value)) {
		if (!g_hash_table_contains(soak->sent, key))
			problem(soak, "\"%s\" ran, which nobody sent",
			    (const char *)key);
	}
	for (i = 0; i < soak->node_count; i++) {
		if (soak->nodes[i].target.late > 0)
			problem(soak, "%s: %llu calls to a target that left",
			    soak->nodes[i].name,
			    (unsigned long long)soak->nodes[i].target.late);
		if (soak->nodes[i].newest_seen < soak->config)
			problem(soak, "%s has not shown configuration %llu",
			    soak->nodes[i].name,
			    (unsigned long long)soak->config);
	}
	if (soak->judged_served < SERVED_MIN * (double)soak->judged)
		problem(soak, "%llu of %llu calls served after the faults",
		    (unsigned long long)soak->judged_served,
		    (unsigned long long)soak->judged);
}

static void
check_once(soak_t *soak)
{
	gpointer key;
	GHashTableIter at;
	const gint *count;

	g_hash_table_iter_init(&at, soak->unsafe);
	while (g_hash_table_iter_next(&at, &key, NULL)) {
		count = g_hash_table_lookup(soak->runs, key);
		if (count != NULL && *count > 1)
			problem(
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
		problem(node->soak, "%s has no log", node->name);
		g_free(path);
		return;
	}
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL && lines[i + 1] != NULL; i++) {
		if (strstr(lines[i], "Sanitizer") != NULL)
			problem(node->soak, "%s: %s", node->name, lines[i]);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(path);
}

static void
on_tick(bf_timer_t *timer, bf_time_us_t now_us)
{
	soak_t *soak = BF_CONTAINER(timer, soak_t, tick);
	uint32_t i, running = 0;
	node_t *node;

	if (!soak->over && now_us >= soak->end_us) {
		soak->over = true;
		for (i = 0; i < soak->node_count; i++)
			terminate(&soak->nodes[i], now_us);
	}
	for (i = 0; i < soak->node_count; i++) {
		node = &soak->nodes[i];
		tend_node(node, now_us);
		if (node->pid != 0)
			check_memory(node);
		if (node->renew_us != 0 && now_us > node->renew_us) {
			node->renew_us = 0;
			soak_target_renew(&node->target);
		}
		running += node->pid != 0 ? 1 : 0;
	}
	if (soak->over && running == 0) {
		bf_loop_stop(soak->loop);
		return;
	}
	bf_loop_timer_set(soak->loop, timer, now_us + TICK_US);
}

static void
on_heal(bf_timer_t *timer, bf_time_us_t now_us)
{
	(void)now_us;
	heal_all(BF_CONTAINER(timer, soak_t, heal));
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
			argp_error(state, "1 to %d nodes", NODES_MAX);
		return 0;
	case 'p':
		soak->program = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{ "seed", 's', "N", 0, "decides the faults; 1", 0 },
	{ "seconds", 't', "N", 0, "of faults; 12", 0 },
	{ "nodes", 'n', "N", 0, "processes; 6", 0 },
	{ "program", 'p', "FILE", 0, "basilmeshd; $BF_BIN/basilmeshd", 0 },
	{ 0 },
};

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Soaks basilmeshd processes in random faults.",
};

static void
open_all(soak_t *soak)
{
	bf_time_us_t now_us;
	uint32_t i;

	soak->random = g_rand_new_with_seed((guint32)soak->seed);
	soak->loop = bf_loop_new(NULL);
	soak->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak->refused =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak->unsafe =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak->sent =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak->folder = g_dir_make_tmp("basilfork-soak-XXXXXX", NULL);
	soak_store_open(&soak->store, soak->loop, soak->random);
	write_config(soak);
	for (i = 0; i < soak->node_count; i++)
		open_node(soak, i);
	now_us = bf_clock_monotonic_us();
	soak->begin_us = now_us;
	soak->faults_end_us = now_us + (soak->seconds + 2) * BF_US_PER_S;
	soak->end_us = soak->faults_end_us + CALM_US;
	soak->tick.fire = on_tick;
	soak->fault.fire = on_fault;
	soak->heal.fire = on_heal;
	soak->send.fire = on_send;
	bf_loop_timer_set(soak->loop, &soak->tick, now_us + TICK_US);
	bf_loop_timer_set(soak->loop, &soak->fault, now_us + 2 * BF_US_PER_S);
	bf_loop_timer_set(soak->loop, &soak->heal, soak->faults_end_us);
	bf_loop_timer_set(soak->loop, &soak->send, now_us + BF_US_PER_S);
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
	open_all(soak);
	bf_loop_run(soak->loop);
	check_runs(soak);
	check_once(soak);
	for (i = 0; i < soak->node_count; i++)
		check_log(&soak->nodes[i]);
	printf("soak seed %llu: %u faults, %llu calls, %llu answered, %llu of "
	       "%llu served after the faults, %u problems; %s\n",
	    (unsigned long long)soak->seed, soak->faults,
	    (unsigned long long)soak->calls, (unsigned long long)soak->answered,
	    (unsigned long long)soak->judged_served,
	    (unsigned long long)soak->judged, soak->problems, soak->folder);
	return soak->problems == 0 ? 0 : 1;
}
