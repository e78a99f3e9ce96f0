/*
 * Stand-in for a target: a back end with slots, a cold start, shedding,
 * draining, deadlines, cancellation and a ledger of the requests it ran.
 * Faults are injected by options at start, and later by
 * PUT /standin/behave?NAME=VALUE&...
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

#define ANNOUNCE_INTERVAL_MS 1000
#define DRAIN_POLL_US 20000UL
#define WORK_POLL_US 1000
#define US_PER_MS 1000
#define COLD_START_FACTOR 4    /* of service times during the cold start */
#define REPORT_DELAY_SAMPLES 5 /* one each ANNOUNCE_INTERVAL_MS */
#define RESPONSE_BLOCK_BYTES 65536

typedef struct sample {
	bool healthy;
	uint32_t in_flight;
} sample_t;

typedef struct target {
	const char *listen;
	const char *service;
	const char *version;
	const char *instance;
	const char *node_admin;
	const char *announce_address; /* NULL: its own address */
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
	pthread_mutex_t lock; /* protects the fields below */
	faults_t faults;
	sample_t samples[REPORT_DELAY_SAMPLES];
	size_t next_sample;
} target_t;

typedef struct request {
	char *id;
	char *url;
	bool admitted;
	call_faults_t faults;
	gint64 deadline_us; /* monotonic; G_MAXINT64: none */
	XXH3_state_t *digest;
	uint64_t response_bytes;
} request_t;

/* One target per process, shared by the handlers of libmicrohttpd. */
static target_t target = { .listen = "127.0.0.1:0",
	.service = "service",
	.version = "v1",
	.instance = "instance",
	.slots = 6,
	.lock = PTHREAD_MUTEX_INITIALIZER };

static enum MHD_Result
set_fault(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	bool *valid;

	(void)kind;
	valid = cls;
	if (value == NULL || !faults_set(&target.faults, name, value))
		*valid = false;
	return MHD_YES;
}

static enum MHD_Result
set_faults(struct MHD_Connection *connection)
{
	bool valid;

	valid = true;
	pthread_mutex_lock(&target.lock);
	MHD_get_connection_values(
	    connection, MHD_GET_ARGUMENT_KIND, set_fault, &valid);
	faults_start(&target.faults, g_get_monotonic_time());
	pthread_mutex_unlock(&target.lock);
	return standin_respond(connection,
	    valid ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
	    valid ? "ok\n" : "unknown fault or invalid value\n");
}

static void
assign_faults(request_t *request)
{
	pthread_mutex_lock(&target.lock);
	request->faults = faults_next_call(&target.faults, request->url,
	    atomic_load(&target.in_flight), g_get_monotonic_time());
	pthread_mutex_unlock(&target.lock);
}

static sample_t
current_sample(void)
{
	sample_t sample;

	sample.in_flight = atomic_load(&target.in_flight);
	sample.healthy = !atomic_load(&target.draining) &&
	    sample.in_flight < target.slots &&
	    target.faults.fail_percent == 0 && !target.faults.hang;
	return sample;
}

static sample_t
reported_sample(void)
{
	sample_t sample;

	pthread_mutex_lock(&target.lock);
	sample = current_sample();
	if (target.faults.report_mode == REPORT_HEALTHY_IDLE)
		sample = (sample_t){ .healthy = true };
	else if (target.faults.report_mode == REPORT_DELAYED)
		sample = target.samples[target.next_sample];
	pthread_mutex_unlock(&target.lock);
	return sample;
}

static void
take_sample(void)
{
	pthread_mutex_lock(&target.lock);
	target.samples[target.next_sample] = current_sample();
	target.next_sample = (target.next_sample + 1) % REPORT_DELAY_SAMPLES;
	pthread_mutex_unlock(&target.lock);
}

static enum MHD_Result
respond_health_or_load(struct MHD_Connection *connection, const char *url)
{
	g_autofree char *text = NULL;
	sample_t sample;

	sample = reported_sample();
	if (strcmp(url, "/health") == 0)
		return standin_respond(connection,
		    sample.healthy ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
		    sample.healthy ? "ok\n" : "unwell\n");
	text = g_strdup_printf("{\"in_flight\":%u,\"slots\":%u}\n",
	    sample.in_flight, target.slots);
	return standin_respond(connection, MHD_HTTP_OK, text);
}

static enum MHD_Result
handle_control(struct MHD_Connection *connection, const char *url)
{
	g_autofree char *text = NULL;

	if (strcmp(url, "/standin/behave") == 0)
		return set_faults(connection);
	if (strcmp(url, "/standin/ledger") == 0)
		text = ledger_text(target.ledger);
	else
		text = g_strdup_printf("in_flight %u\nshed %lu\ndraining %d\n",
		    atomic_load(&target.in_flight), atomic_load(&target.shed),
		    atomic_load(&target.draining));
	return standin_respond(connection, MHD_HTTP_OK, text);
}

/* Adds the request's id to the response, so that misrouting is detected. */
static enum MHD_Result
respond(struct MHD_Connection *connection, const request_t *request,
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
respond_not_run(struct MHD_Connection *connection, const request_t *request)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = text_response("");
	MHD_add_response_header(response, "Basilfork-Outcome", "not-run");
	if (!request->faults.omit_id)
		return respond(connection, request,
		    MHD_HTTP_SERVICE_UNAVAILABLE, response);
	result = MHD_queue_response(
	    connection, MHD_HTTP_SERVICE_UNAVAILABLE, response);
	MHD_destroy_response(response);
	return result;
}

/* Releases the slot of a request that is refused after all. */
static void
shed_admitted(void)
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
	shed_admitted();
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
	assign_faults(request);
	if (request->faults.shed) {
		request->admitted = false;
		shed_admitted();
		return request;
	}
	ledger_start(target.ledger, request->id, method, url);
	return request;
}

/* True once the caller has closed the connection. */
static bool
caller_disconnected(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info;
	char byte;

	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	return recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Draws from an exponential distribution; longer during the cold start. */
static gint64
draw_service_time_us(const request_t *request)
{
	double mean_us;
	gint64 age_us;

	age_us = g_get_monotonic_time() - target.started_us;
	mean_us = (double)target.work_ms * US_PER_MS;
	if (age_us < (gint64)target.cold_start_ms * US_PER_MS)
		mean_us *= COLD_START_FACTOR;
	return (gint64)(-log(1 - g_random_double()) * mean_us) +
	    (gint64)request->faults.slow_ms * US_PER_MS;
}

typedef enum work_result {
	WORK_DONE,
	WORK_CALLER_DISCONNECTED,
	WORK_DEADLINE_PASSED
} work_result_t;

static work_result_t
simulate_work(struct MHD_Connection *connection, const request_t *request)
{
	gint64 now_us, until_us;

	until_us = g_get_monotonic_time() + draw_service_time_us(request);
	if (request->faults.hang)
		until_us = G_MAXINT64;
	for (;;) {
		now_us = g_get_monotonic_time();
		if (now_us >= until_us)
			return WORK_DONE;
		if (now_us >= request->deadline_us)
			return WORK_DEADLINE_PASSED;
		if (caller_disconnected(connection))
			return WORK_CALLER_DISCONNECTED;
		g_usleep((gulong)MIN(WORK_POLL_US, until_us - now_us));
	}
}

/* Produces the body; if truncated, half of it and then an error. */
static ssize_t
read_pattern(void *cls, uint64_t offset, char *buffer, size_t bytes)
{
	const request_t *request;
	uint64_t end;

	request = cls;
	end = request->faults.truncate ? request->response_bytes / 2
				       : request->response_bytes;
	if (offset >= end)
		return request->faults.truncate
		    ? MHD_CONTENT_READER_END_WITH_ERROR
		    : MHD_CONTENT_READER_END_OF_STREAM;
	bytes = (size_t)MIN(bytes, end - offset);
	pattern_fill(request->id, offset, buffer, bytes);
	return (ssize_t)bytes;
}

/*
 * A body of the request id's pattern.  An echo that is truncated is replaced by
 * one of the same length, of which half is sent.
 */
static struct MHD_Response *
pattern_response(request_t *request, uint64_t bytes)
{
	request->response_bytes = bytes;
	return MHD_create_response_from_callback(
	    bytes, RESPONSE_BLOCK_BYTES, read_pattern, request, NULL);
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
	request->response_bytes = text->len;
	if (request->faults.truncate) {
		g_string_free(text, TRUE);
		return pattern_response(request, request->response_bytes);
	}
	return MHD_create_response_from_buffer(request->response_bytes,
	    g_string_free(text, FALSE), MHD_RESPMEM_MUST_FREE);
}

static enum MHD_Result
run_request(struct MHD_Connection *connection, request_t *request)
{
	struct MHD_Response *response;
	uint32_t size;

	switch (simulate_work(connection, request)) {
	case WORK_CALLER_DISCONNECTED:
		return MHD_NO;
	case WORK_DEADLINE_PASSED:
		return respond(connection, request, MHD_HTTP_GATEWAY_TIMEOUT,
		    text_response("deadline\n"));
	case WORK_DONE:
		break;
	}
	if (request->faults.fail)
		return respond(connection, request,
		    MHD_HTTP_INTERNAL_SERVER_ERROR, text_response("failed\n"));
	response = standin_argument_number(connection, "size", &size)
	    ? pattern_response(request, size)
	    : echo_response(request);
	return respond(connection, request, MHD_HTTP_OK, response);
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
		return respond_health_or_load(connection, url);
	if (g_str_has_prefix(url, "/standin/"))
		return handle_control(connection, url);
	if (!request->admitted)
		return respond_not_run(connection, request);
	return run_request(connection, request);
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
serve_until_signal(void)
{
	announcement_t announcement = { .node_admin = target.node_admin,
		.token = target.token,
		.service = target.service,
		.version = target.version,
		.address = target.address,
		.slots = target.slots,
		.incarnation = target.incarnation_us };

	do {
		announce(&announcement, false);
		take_sample();
	} while (!standin_stop_requested(ANNOUNCE_INTERVAL_MS));
	atomic_store(&target.draining, true);
	announce(&announcement, true);
	while (atomic_load(&target.in_flight) > 0)
		g_usleep(DRAIN_POLL_US);
}

/* Prints the ledger, so that it can be read after the process has exited. */
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
		target.announce_address = value;
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
		    !faults_set(&target.faults, pair[0], pair[1]))
			argp_error(
			    state, "unknown fault or invalid value: %s", value);
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
		.doc = "A stand-in for a target, with fault injection." };
	struct MHD_Daemon *daemon;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	target.ledger = ledger_new();
	target.started_us = g_get_monotonic_time();
	target.incarnation_us = g_get_real_time();
	faults_start(&target.faults, g_get_monotonic_time());
	standin_block_signals();
	daemon = standin_listen(
	    target.listen, STANDIN_THREADS, handle, request_completed, NULL);
	target.address = target.announce_address != NULL
	    ? g_strdup(target.announce_address)
	    : standin_listen_address(daemon, target.listen);
	serve_until_signal();
	print_ledger();
	return 0;
}
