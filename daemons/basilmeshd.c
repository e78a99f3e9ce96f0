/*
 * basilmeshd: the sidecar process of each target on a platform that provides
 * the store.  It runs on a single event loop.  See basilmeshd(8).
 */

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <apr_general.h>
#include <jansson.h>
#include <sodium.h>

#include "base/address.h"
#include "daemons/arguments.h"
#include "mesh/mesh.h"
#include "platform/platform.h"
#include "settings/meshd.h"

/* How often the event log is flushed. */
#define LOG_FLUSH_INTERVAL_US (100 * BF_US_PER_MS)
/* How often the settings file is checked for changes made without SIGHUP. */
#define SETTINGS_POLL_INTERVAL_US (2 * BF_US_PER_S)
#define METRICS_HEAD_BYTES_MAX 8192
#define METRICS_TIMEOUT_US (60 * BF_US_PER_S)
#define METRICS_CONNECTIONS_MAX 16

/* Exit codes; see basilmeshd(8). */
#define EXIT_INVALID_SETTINGS 2
#define EXIT_CANNOT_START 3

const char *argp_program_version = "basilmeshd " BF_VERSION;

/* State of the process. */
typedef struct meshd {
	bf_loop_t *loop;
	bf_kv_t *kv;
	bf_events_t *events;
	bf_metrics_set_t *metrics;
	bf_mesh_t *mesh;
	bf_platform_api_t *platform_api;
	bf_http_server_t metrics_server;
	bf_source_t signals;
	bf_timer_t log_timer;
	bf_timer_t settings_timer;
	const char *settings_path;
	struct timespec settings_mtime;
	off_t settings_bytes;
} meshd_t;

/* Cannot fail: the addresses were checked when the settings were loaded. */
static struct sockaddr_in
parse_address(const char *text)
{
	struct sockaddr_in address;

	(void)bf_address_parse(text, &address, NULL);
	return address;
}

static void
record_settings_file(meshd_t *meshd)
{
	struct stat status;

	if (stat(meshd->settings_path, &status) != 0)
		return;
	meshd->settings_mtime = status.st_mtim;
	meshd->settings_bytes = status.st_size;
}

/* Applies the settings that may change while the process runs. */
static void
reload_settings(meshd_t *meshd, const char *why, bf_time_us_t now_us)
{
	bf_meshd_settings_t settings;
	bf_diagnostics_t *diagnostics;
	apr_pool_t *pool;

	record_settings_file(meshd);
	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return;
	diagnostics = bf_diagnostics_new(pool);
	if (bf_meshd_settings_load(
		meshd->settings_path, pool, &settings, diagnostics) == BF_OK) {
		bf_mesh_set_service(meshd->mesh, settings.node.service);
		bf_event(meshd->events, BF_EVENT_SETTINGS, now_us, "s:s,s:s",
		    "why", why, "service", settings.node.service);
	} else {
		bf_event(meshd->events, BF_EVENT_SETTINGS, now_us, "s:s,s:s",
		    "why", why, "error",
		    diagnostics->count > 0
			? bf_diagnostic_format(&diagnostics->items[0], pool)
			: "unreadable");
	}
	apr_pool_destroy(pool);
}

static void
on_settings_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	meshd_t *meshd = BF_CONTAINER(timer, meshd_t, settings_timer);
	struct stat status;

	if (stat(meshd->settings_path, &status) == 0 &&
	    (status.st_mtim.tv_sec != meshd->settings_mtime.tv_sec ||
		status.st_mtim.tv_nsec != meshd->settings_mtime.tv_nsec ||
		status.st_size != meshd->settings_bytes))
		reload_settings(meshd, "the file has changed", now_us);
	bf_loop_timer_set(
	    meshd->loop, timer, now_us + SETTINGS_POLL_INTERVAL_US);
}

static void
on_log_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	meshd_t *meshd = BF_CONTAINER(timer, meshd_t, log_timer);

	(void)bf_events_flush(meshd->events, now_us);
	bf_loop_timer_set(meshd->loop, timer, now_us + LOG_FLUSH_INTERVAL_US);
}

static void
on_stopped(void *ctx)
{
	bf_loop_stop(((meshd_t *)ctx)->loop);
}

static void
on_signal(bf_source_t *source, uint32_t events, bf_time_us_t now_us)
{
	meshd_t *meshd = BF_CONTAINER(source, meshd_t, signals);
	struct signalfd_siginfo info;

	(void)events;
	while (read(source->fd, &info, sizeof(info)) == sizeof(info)) {
		if (info.ssi_signo == SIGHUP)
			reload_settings(meshd, "SIGHUP", now_us);
		else
			bf_mesh_stop(meshd->mesh, on_stopped, meshd, now_us);
	}
}

static bf_code_t
watch_signals(meshd_t *meshd, bf_error_t *err)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
	meshd->signals.ready = on_signal;
	meshd->signals.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (meshd->signals.fd < 0)
		return bf_error_set(err, BF_ERR_IO, "cannot create a signalfd");
	return bf_loop_watch(meshd->loop, &meshd->signals, EPOLLIN, err);
}

static void
serve_metrics_request(
    bf_http_server_t *server, bf_http_request_t *request, bf_time_us_t now_us)
{
	meshd_t *meshd = BF_CONTAINER(server, meshd_t, metrics_server);
	bf_bytes_t text = { 0 };

	if (strcmp(bf_http_target(request->message), "/metrics") != 0) {
		bf_http_answer(request, 404, "", "", 0);
		return;
	}
	bf_mesh_update_gauges(meshd->mesh, now_us);
	bf_metrics_print(meshd->metrics, &text);
	bf_http_answer(request, 200,
	    "Content-Type: text/plain; version=0.0.4\r\n", bf_bytes_data(&text),
	    bf_bytes_count(&text));
	bf_bytes_free(&text);
}

static const bf_http_server_vtable_t metrics_vtable = {
	.request = serve_metrics_request,
};

static bf_code_t
open_metrics_server(meshd_t *meshd, const bf_meshd_settings_t *settings,
    bf_time_us_t now_us, bf_error_t *err)
{
	struct sockaddr_in address;

	if (settings->metrics.listen == NULL)
		return BF_OK;
	address = parse_address(settings->metrics.listen);
	meshd->metrics_server.vtable = &metrics_vtable;
	meshd->metrics_server.conn_max = METRICS_CONNECTIONS_MAX;
	meshd->metrics_server.limits = (bf_http_limits_t){
		.head_bytes = METRICS_HEAD_BYTES_MAX,
		.head_timeout_us = METRICS_TIMEOUT_US,
		.idle_timeout_us = METRICS_TIMEOUT_US,
	};
	meshd->metrics_server.listener.name = "metrics";
	meshd->metrics_server.listener.observer =
	    bf_mesh_listener_observer(meshd->mesh);
	return bf_http_server_open(
	    &meshd->metrics_server, meshd->loop, &address, now_us, err);
}

static bf_code_t
create_all(meshd_t *meshd, const bf_meshd_settings_t *s, bf_error_t *err)
{
	struct sockaddr_in store = parse_address(s->platform.store);
	bf_mesh_options_t mesh_options = {
		.instance = s->node.instance,
		.zone = s->node.availability_zone,
		.service = s->node.service,
		.caller_listen = parse_address(s->callers.listen),
		.peer_listen = parse_address(s->peers.listen),
		.advertise_address = s->peers.advertise,
		.target_address = parse_address(s->target.address),
		.heartbeat_ms = s->target.heartbeat_ms,
		.stop_timeout_ms = s->stop.grace_ms,
		.retry_share_ppm = s->repeats.share_ppm,
		.retry_burst = s->repeats.burst,
		.retry_window_ms = s->repeats.window_ms,
		.connections_max = s->callers.connections_max,
		.link_mbps = s->node.link_mbps,
		.first_start = s->node.first_start,
		.zones = s->node.zones,
		.zone_count = s->node.zone_count,
		.memory_mb = s->node.memory_mb,
		.descriptors_max = s->node.descriptors_max,
		.fail_closed = s->accounts.fail_closed,
		.revoke_ms = s->accounts.revoke_ms,
		.cap_window_ms = s->usage_caps.window_ms,
		.cap_over_ppm = s->usage_caps.over_ppm,
		.cap_slack = s->usage_caps.slack,
		.cold_over_ppm = s->cold_targets.over_ppm,
		.cold_slack = s->cold_targets.slack,
		.evacuate_ms = s->evacuation.within_ms,
		.learn_capacity = s->load.learn_capacity,
		.reported_speed_only = s->load.reported_speed_only,
		.plan_zones = s->load.zone_cost_ppm != BF_ZONE_COST_ABSENT,
		.zone_cost_ppm = s->load.zone_cost_ppm,
	};

	meshd->loop = bf_loop_new(err);
	if (meshd->loop == NULL)
		return BF_ERR_IO;
	meshd->events = bf_events_new(
	    STDOUT_FILENO, s->node.instance, s->log.sample_one_in);
	meshd->metrics = bf_metrics_set_new();
	if (meshd->events == NULL || meshd->metrics == NULL)
		return bf_error_set(err, BF_ERR_MEMORY,
		    "out of memory for the event log or the metrics");
	meshd->kv = bf_platform_store_new(meshd->loop, &store, err);
	if (meshd->kv == NULL)
		return BF_ERR_MEMORY;
	meshd->mesh = bf_mesh_new(&mesh_options, &bf_platform_dialect,
	    meshd->loop, meshd->kv, meshd->events, meshd->metrics, err);
	return meshd->mesh != NULL ? BF_OK : BF_ERR_MEMORY;
}

static bf_code_t
start(meshd_t *meshd, const bf_meshd_settings_t *s, bf_time_us_t now_us,
    bf_error_t *err)
{
	struct sockaddr_in ready_address =
	    parse_address(s->platform.ready_listen);
	struct sockaddr_in heartbeat_address = parse_address(s->target.listen);
	bf_code_t code;

	code = watch_signals(meshd, err);
	if (code == BF_OK)
		code = bf_mesh_start(meshd->mesh, now_us, err);
	if (code == BF_OK)
		code = open_metrics_server(meshd, s, now_us, err);
	if (code != BF_OK)
		return code;
	meshd->platform_api = bf_platform_api_open(meshd->mesh, meshd->loop,
	    meshd->events, &ready_address, &heartbeat_address, now_us, err);
	if (meshd->platform_api == NULL)
		return err->code;
	record_settings_file(meshd);
	meshd->log_timer.fire = on_log_timer;
	bf_loop_timer_set(
	    meshd->loop, &meshd->log_timer, now_us + LOG_FLUSH_INTERVAL_US);
	meshd->settings_timer.fire = on_settings_timer;
	bf_loop_timer_set(meshd->loop, &meshd->settings_timer,
	    now_us + SETTINGS_POLL_INTERVAL_US);
	return BF_OK;
}

static void
free_all(meshd_t *meshd)
{
	if (meshd->metrics_server.loop != NULL)
		bf_http_server_close(&meshd->metrics_server);
	bf_platform_api_free(meshd->platform_api);
	bf_mesh_free(meshd->mesh);
	if (meshd->kv != NULL)
		meshd->kv->vtable->free(meshd->kv);
	if (meshd->events != NULL)
		(void)bf_events_flush(meshd->events, bf_clock_monotonic_us());
	bf_events_free(meshd->events);
	bf_metrics_set_free(meshd->metrics);
	bf_loop_free(meshd->loop);
}

static int
run(const bf_meshd_settings_t *settings, const char *settings_path)
{
	meshd_t meshd = { .settings_path = settings_path };
	bf_time_us_t now_us = bf_clock_monotonic_us();
	bf_error_t err = { 0 };
	bf_code_t code;

	code = create_all(&meshd, settings, &err);
	if (code == BF_OK)
		code = start(&meshd, settings, now_us, &err);
	if (code == BF_OK) {
		bf_event(meshd.events, BF_EVENT_STARTED, now_us,
		    "s:s,s:s,s:s,s:I", "version", BF_VERSION, "zone",
		    settings->node.availability_zone, "service",
		    settings->node.service, "pid", (json_int_t)getpid());
		bf_loop_run(meshd.loop);
	} else {
		fprintf(stderr, "basilmeshd cannot start: %s: %s\n",
		    bf_code_name(code), err.message);
	}
	free_all(&meshd);
	return code == BF_OK ? EXIT_SUCCESS : EXIT_CANNOT_START;
}

int
main(int argc, char **argv)
{
	bf_daemon_arguments_t arguments = { 0 };
	bf_meshd_settings_t settings;
	bf_diagnostics_t *diagnostics;
	apr_pool_t *pool;
	int status;

	(void)mallopt(M_MMAP_THRESHOLD, (int)BF_MEMORY_MAPPED_BYTES);
	bf_daemon_arguments_parse(&arguments, argc, argv);
	apr_initialize();
	if (sodium_init() < 0)
		return EXIT_CANNOT_START;
	apr_pool_create(&pool, NULL);
	diagnostics = bf_diagnostics_new(pool);
	if (bf_meshd_settings_load(arguments.settings_path, pool, &settings,
		diagnostics) != BF_OK) {
		bf_daemon_print_diagnostics(diagnostics, pool);
		status = EXIT_INVALID_SETTINGS;
	} else if (arguments.check) {
		status = EXIT_SUCCESS;
	} else {
		status = run(&settings, arguments.settings_path);
	}
	apr_pool_destroy(pool);
	apr_terminate();
	return status;
}
