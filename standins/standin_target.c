/*
 * Stand-in for a target: a back end with slots, a cold start, shedding,
 * draining, deadlines, cancellation, a ledger of what it ran, and faults to
 * order at start and later by PUT /standin/behave?NAME=VALUE&...
 */
#include <argp.h>
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <curl/curl.h>
#include <glib.h>
#include <xxhash.h>

#include "standins/announce.h"
#include "standins/faults.h"
#include "standins/ledger.h"
#include "standins/pattern.h"
#include "standins/standin.h"

#define ANNOUNCE_MS 1000
#define DRAIN_POLL_US 20000UL
#define STEP_US 1000
#define US_PER_MS 1000
#define COLD_FACTOR 4 /* service times while the target is cold */
#define LAG_SAMPLES 5 /* one each ANNOUNCE_MS */
#define ANSWER_BLOCK_BYTES 65536

typedef struct sample {
	bool well;
	uint32_t in_flight;
} sample_t;

typedef struct target {
	const char *listen;
	const char *service;
	const char *version;
	const char *instance;
	const char *node_admin;
	const char *announced; /* NULL: its own address */
	const char *token;
	uint32_t slots;
	uint32_t cold_start_ms;
	uint32_t work_ms;
	char *address;
	gint64 started_us;
	gint64 incarnation_us; /* wall clock */
	ledger_t *ledger;
	atomic_uint in_flight;
	atomic_ulong shed;
	atomic_bool draining;
	pthread_mutex_t lock; /* of what follows */
	behaviour_t behaviour;
	sample_t samples[LAG_SAMPLES];
	size_t next_sample;
} target_t;

typedef struct request {
	char *id;
	char *url;
	bool admitted;
	behaviour_call_t call;
	gint64 deadline_us; /* monotonic; G_MAXINT64: none */
	XXH3_state_t *digest;
	uint64_t answer_bytes;
} request_t;

/* One target a process; the HTTP library's handlers share it. */
static target_t target = { .listen = "127.0.0.1:0",
	.service = "service",
	.version = "v1",
	.instance = "instance",
	.slots = 6,
	.lock = PTHREAD_MUTEX_INITIALIZER };

static enum MHD_Result
order_one(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	bool *known;

	(void)kind;
	known = cls;
	if (value == NULL || !behaviour_set(&target.behaviour, name, value))
		*known = false;
	return MHD_YES;
}

static enum MHD_Result
order_behaviour(struct MHD_Connection *connection)
{
	bool known;

	known = true;
	pthread_mutex_lock(&target.lock);
	MHD_get_connection_values(
	    connection, MHD_GET_ARGUMENT_KIND, order_one, &known);
	behaviour_begin(&target.behaviour, g_get_monotonic_time());
	pthread_mutex_unlock(&target.lock);
	return standin_answer(connection,
	    known ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
	    known ? "ok\n" : "unknown behaviour\n");
}

static void
decide_call(request_t *request)
{
	pthread_mutex_lock(&target.lock);
	request->call = behaviour_next(&target.behaviour, request->url,
	    atomic_load(&target.in_flight), g_get_monotonic_time());
	pthread_mutex_unlock(&target.lock);
}

static sample_t
present_sample(void)
{
	sample_t sample;

	sample.in_flight = atomic_load(&target.in_flight);
	sample.well = !atomic_load(&target.draining) &&
	    sample.in_flight < target.slots &&
	    target.behaviour.fail_percent == 0 && !target.behaviour.hang;
	return sample;
}

static sample_t
reported_sample(void)
{
	sample_t sample;

	pthread_mutex_lock(&target.lock);
	sample = present_sample();
	if (target.behaviour.report == REPORT_LIE)
		sample = (sample_t){ .well = true };
	else if (target.behaviour.report == REPORT_LAG)
		sample = target.samples[target.next_sample];
	pthread_mutex_unlock(&target.lock);
	return sample;
}

static void
take_sample(void)
{
	pthread_mutex_lock(&target.lock);
	target.samples[target.next_sample] = present_sample();
	target.next_sample = (target.next_sample + 1) % LAG_SAMPLES;
	pthread_mutex_unlock(&target.lock);
}

static enum MHD_Result
answer_report(struct MHD_Connection *connection, const char *url)
{
	g_autofree char *text = NULL;
	sample_t sample;

	sample = reported_sample();
	if (strcmp(url, "/health") == 0)
		return standin_answer(connection,
		    sample.well ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
		    sample.well ? "ok\n" : "unwell\n");
	text = g_strdup_printf("{\"in_flight\":%u,\"slots\":%u}\n",
	    sample.in_flight, target.slots);
	return standin_answer(connection, MHD_HTTP_OK, text);
}

static enum MHD_Result
answer_control(struct MHD_Connection *connection, const char *url)
{
	g_autofree char *text = NULL;

	if (strcmp(url, "/standin/behave") == 0)
		return order_behaviour(connection);
	if (strcmp(url, "/standin/ledger") == 0)
		text = ledger_text(target.ledger);
	else
		text = g_strdup_printf("in_flight %u\nshed %lu\ndraining %d\n",
		    atomic_load(&target.in_flight), atomic_load(&target.shed),
		    atomic_load(&target.draining));
	return standin_answer(connection, MHD_HTTP_OK, text);
}

/* Every answer names its request, so that a crossed one can be told. */
static enum MHD_Result
answer_request(struct MHD_Connection *connection, const request_t *request,
    unsigned int status, struct MHD_Response *response)
{
	enum MHD_Result result;

	MHD_add_response_header(response, "X-Request-Id", request->id);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static struct MHD_Response *
text_response(const char *text)
{
	return MHD_create_response_from_buffer(
	    strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_PERSISTENT);
}

static enum MHD_Result
answer_not_run(struct MHD_Connection *connection, const request_t *request)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = text_response("");
	MHD_add_response_header(response, "Basilfork-Outcome", "not-run");
	if (!request->call.anonymous)
		return answer_request(connection, request,
		    MHD_HTTP_SERVICE_UNAVAILABLE, response);
	result = MHD_queue_response(
	    connection, MHD_HTTP_SERVICE_UNAVAILABLE, response);
	MHD_destroy_response(response);
	return result;
}

/* Gives back a slot of a request that is not run. */
static void
leave(void)
{
	atomic_fetch_sub(&target.in_flight, 1);
	atomic_fetch_add(&target.shed, 1);
}

static bool
admit(void)
{
	unsigned int before;

	before = atomic_fetch_add(&target.in_flight, 1);
	if (before < target.slots && !atomic_load(&target.draining))
		return true;
	leave();
	return false;
}

static request_t *
begin_request(
    struct MHD_Connection *connection, const char *method, const char *url)
{
	const char *deadline, *id;
	request_t *request;

	request = g_new0(request_t, 1);
	id = MHD_lookup_connection_value(
	    connection, MHD_HEADER_KIND, "X-Request-Id");
	request->id = g_strdup(id != NULL ? id : "-");
	request->url = g_strdup(url);
	request->deadline_us = G_MAXINT64;
	deadline = MHD_lookup_connection_value(
	    connection, MHD_HEADER_KIND, "Basilfork-Deadline-Ms");
	if (deadline != NULL)
		request->deadline_us = g_get_monotonic_time() +
		    g_ascii_strtoll(deadline, NULL, 10) * US_PER_MS;
	request->digest = XXH3_createState();
	XXH3_128bits_reset(request->digest);
	if (strcmp(url, "/health") == 0 || strcmp(url, "/load") == 0 ||
	    g_str_has_prefix(url, "/standin/"))
		return request;
	request->admitted = admit();
	if (!request->admitted)
		return request;
	decide_call(request);
	if (request->call.shed) {
		request->admitted = false;
		leave();
		return request;
	}
	ledger_start(target.ledger, request->id, method, url);
	return request;
}

/* True once the caller's side of the connection has gone. */
static bool
is_cancelled(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info;
	char byte;

	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	return recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* A service time from an exponential distribution, longer while cold. */
static gint64
work_us(const request_t *request)
{
	double mean_us;
	gint64 age_us;

	age_us = g_get_monotonic_time() - target.started_us;
	mean_us = (double)target.work_ms * US_PER_MS;
	if (age_us < (gint64)target.cold_start_ms * US_PER_MS)
		mean_us *= COLD_FACTOR;
	return (gint64)(-log(1 - g_random_double()) * mean_us) +
	    (gint64)request->call.slow_ms * US_PER_MS;
}

typedef enum work_end {
	WORK_DONE,
	WORK_CANCELLED,
	WORK_LATE /* its deadline passed */
} work_end_t;

static work_end_t
work(struct MHD_Connection *connection, const request_t *request)
{
	gint64 now_us, until_us;

	until_us = g_get_monotonic_time() + work_us(request);
	if (request->call.hang)
		until_us = G_MAXINT64;
	for (;;) {
		now_us = g_get_monotonic_time();
		if (now_us >= until_us)
			return WORK_DONE;
		if (now_us >= request->deadline_us)
			return WORK_LATE;
		if (is_cancelled(connection))
			return WORK_CANCELLED;
		g_usleep((gulong)MIN(STEP_US, until_us - now_us));
	}
}

/* Gives the answer's bytes, or half of them and an error when cut. */
static ssize_t
read_answer(void *cls, uint64_t offset, char *buffer, size_t bytes)
{
	const request_t *request;
	uint64_t end;

	request = cls;
	end = request->call.cut ? request->answer_bytes / 2
				: request->answer_bytes;
	if (offset >= end)
		return request->call.cut ? MHD_CONTENT_READER_END_WITH_ERROR
					 : MHD_CONTENT_READER_END_OF_STREAM;
	bytes = (size_t)MIN(bytes, end - offset);
	pattern_fill(request->id, offset, buffer, bytes);
	return (ssize_t)bytes;
}

/* The cut form of a short answer: its length is stated, half of it comes. */
static struct MHD_Response *
pattern_response(request_t *request, uint64_t bytes)
{
	request->answer_bytes = bytes;
	return MHD_create_response_from_callback(
	    bytes, ANSWER_BLOCK_BYTES, read_answer, request, NULL);
}

static struct MHD_Response *
echo_response(request_t *request)
{
	XXH128_canonical_t canonical;
	GString *text;
	size_t i;

	XXH128_canonicalFromHash(
	    &canonical, XXH3_128bits_digest(request->digest));
	text = g_string_new("digest=");
	for (i = 0; i < sizeof(canonical.digest); i++)
		g_string_append_printf(text, "%02x", canonical.digest[i]);
	g_string_append_printf(text, " id=%s version=%s instance=%s\n",
	    request->id, target.version, target.instance);
	request->answer_bytes = text->len;
	if (request->call.cut) {
		g_string_free(text, TRUE);
		return pattern_response(request, request->answer_bytes);
	}
	return MHD_create_response_from_buffer(request->answer_bytes,
	    g_string_free(text, FALSE), MHD_RESPMEM_MUST_FREE);
}

static enum MHD_Result
run(struct MHD_Connection *connection, request_t *request)
{
	struct MHD_Response *response;
	uint32_t size;

	switch (work(connection, request)) {
	case WORK_CANCELLED:
		return MHD_NO;
	case WORK_LATE:
		return answer_request(connection, request,
		    MHD_HTTP_GATEWAY_TIMEOUT, text_response("deadline\n"));
	case WORK_DONE:
		break;
	}
	if (request->call.fail)
		return answer_request(connection, request,
		    MHD_HTTP_INTERNAL_SERVER_ERROR, text_response("failed\n"));
	response = standin_argument_number(connection, "size", &size)
	    ? pattern_response(request, size)
	    : echo_response(request);
	return answer_request(connection, request, MHD_HTTP_OK, response);
}

static enum MHD_Result
handle(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *http_version, const char *data,
    size_t *data_bytes, void **state)
{
	request_t *request;

	(void)cls;
	(void)http_version;
	request = *state;
	if (request == NULL) {
		*state = begin_request(connection, method, url);
		return MHD_YES;
	}
	if (*data_bytes > 0) {
		XXH3_128bits_update(request->digest, data, *data_bytes);
		*data_bytes = 0;
		return MHD_YES;
	}
	if (strcmp(url, "/health") == 0 || strcmp(url, "/load") == 0)
		return answer_report(connection, url);
	if (g_str_has_prefix(url, "/standin/"))
		return answer_control(connection, url);
	if (!request->admitted)
		return answer_not_run(connection, request);
	return run(connection, request);
}

static void
request_completed(void *cls, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode why)
{
	request_t *request;

	(void)cls;
	(void)connection;
	request = *state;
	if (request == NULL)
		return;
	if (request->admitted) {
		if (why == MHD_REQUEST_TERMINATED_COMPLETED_OK)
			ledger_finish(target.ledger, request->id);
		atomic_fetch_sub(&target.in_flight, 1);
	}
	XXH3_freeState(request->digest);
	g_free(request->id);
	g_free(request->url);
	g_free(request);
	*state = NULL;
}

static void
serve_until_told(void)
{
	announcement_t present = { .node_admin = target.node_admin,
		.token = target.token,
		.service = target.service,
		.version = target.version,
		.address = target.address,
		.slots = target.slots,
		.incarnation = target.incarnation_us };

	do {
		announce(&present, false);
		take_sample();
	} while (!standin_stop_requested(ANNOUNCE_MS));
	atomic_store(&target.draining, true);
	announce(&present, true);
	while (atomic_load(&target.in_flight) > 0)
		g_usleep(DRAIN_POLL_US);
}

/* What it ran can still be read once it has ended. */
static void
print_ledger(void)
{
	g_autofree char *text = ledger_text(target.ledger);

	printf("begin ledger\n%send ledger\n", text);
}

enum option_key {
	OPTION_SERVICE = 256,
	OPTION_VERSION,
	OPTION_INSTANCE,
	OPTION_SLOTS,
	OPTION_COLD_START_MS,
	OPTION_NODE_ADMIN,
	OPTION_ANNOUNCE_ADDRESS,
	OPTION_TOKEN,
	OPTION_WORK_MS
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	g_auto(GStrv) pair = NULL;

	switch (key) {
	case 'l':
		target.listen = value;
		return 0;
	case OPTION_SERVICE:
		target.service = value;
		return 0;
	case OPTION_VERSION:
		target.version = value;
		return 0;
	case OPTION_INSTANCE:
		target.instance = value;
		return 0;
	case OPTION_SLOTS:
		target.slots = standin_parse_number(value, "slots");
		return 0;
	case OPTION_COLD_START_MS:
		target.cold_start_ms =
		    standin_parse_number(value, "cold-start-ms");
		return 0;
	case OPTION_NODE_ADMIN:
		target.node_admin = value;
		return 0;
	case OPTION_ANNOUNCE_ADDRESS:
		target.announced = value;
		return 0;
	case OPTION_TOKEN:
		target.token = value;
		return 0;
	case OPTION_WORK_MS:
		target.work_ms = standin_parse_number(value, "work-ms");
		return 0;
	case 'b':
		pair = g_strsplit(value, "=", 2);
		if (pair[0] == NULL || pair[1] == NULL ||
		    !behaviour_set(&target.behaviour, pair[0], pair[1]))
			argp_error(state, "unknown behaviour: %s", value);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = { { "listen", 'l', "IP:PORT", 0,
						  "port 0: choose one", 0 },
	{ "service", OPTION_SERVICE, "NAME", 0, NULL, 0 },
	{ "version", OPTION_VERSION, "NAME", 0, NULL, 0 },
	{ "instance", OPTION_INSTANCE, "NAME", 0, NULL, 0 },
	{ "slots", OPTION_SLOTS, "N", 0, "default 6", 0 },
	{ "cold-start-ms", OPTION_COLD_START_MS, "N", 0, NULL, 0 },
	{ "node-admin", OPTION_NODE_ADMIN, "IP:PORT", 0,
	    "the node to announce to each second", 0 },
	{ "announce-address", OPTION_ANNOUNCE_ADDRESS, "IP:PORT", 0,
	    "such as that of a link to the target", 0 },
	{ "token", OPTION_TOKEN, "TEXT", 0, "for the node", 0 },
	{ "work-ms", OPTION_WORK_MS, "N", 0, "mean service time", 0 },
	{ "behave", 'b', "NAME=VALUE", 0,
	    "fail_percent, shed_percent, slow_ms, after_s, after_calls, at_load, route, "
	    "health=ok|lie|lag, hang=on, cut=on, anonymous=on",
	    0 },
	{ 0 } };

int
main(int argc, char **argv)
{
	static const struct argp argp = { .options = options,
		.parser = parse_option,
		.doc = "A stand-in for a target, with faults to order." };
	struct MHD_Daemon *daemon;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	target.ledger = ledger_new();
	target.started_us = g_get_monotonic_time();
	target.incarnation_us = g_get_real_time();
	behaviour_begin(&target.behaviour, g_get_monotonic_time());
	standin_block_signals();
	daemon = standin_listen(
	    target.listen, STANDIN_THREADS, handle, request_completed, NULL);
	target.address = target.announced != NULL
	    ? g_strdup(target.announced)
	    : standin_listen_address(daemon, target.listen);
	serve_until_told();
	print_ledger();
	return 0;
}
