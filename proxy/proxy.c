#include "proxy/proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <urcu.h>

#include "memory/connections.h"
#include "proxy/headers.h"
#include "proxy/worker.h"

#define HEAD_BYTES_DEFAULT (16U * 1024)
#define HEAD_COUNT_DEFAULT 100U
#define BODY_BYTES_DEFAULT (UINT64_C(8) * 1024 * 1024)
#define ATTEMPTS_DEFAULT 3U
#define ATTEMPTS_LIMIT 4U
#define RETRY_SHARE_DEFAULT_PPM 100000U
#define IDLE_DEFAULT_US (10 * BF_US_PER_S)
#define LISTEN_BACKLOG 1024
#define CONNECTIONS_DEFAULT 8192U
/* A worker with less could not serve a call at both hops. */
#define CONNECTIONS_MIN_PER_WORKER 48U
#define PORT_MAX 65535

static bf_code_t
parse_address(const char *text, struct sockaddr_in *address, bf_error_t *err)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon;
	uint64_t port;
	size_t bytes;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	colon = strrchr(text, ':');
	bytes = colon == NULL ? 0 : (size_t)(colon - text);
	if (bytes == 0 || bytes >= sizeof(ip) ||
	    !bf_number_parse(colon + 1, PORT_MAX, &port))
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "'%s' is not of the form IP:port", text);
	memcpy(ip, text, bytes);
	ip[bytes] = '\0';
	if (inet_pton(AF_INET, ip, &address->sin_addr) != 1)
		return bf_error_set(
		    err, BF_ERR_ARGUMENT, "'%s' is not an IPv4 address", ip);
	address->sin_port = htons((uint16_t)port);
	return BF_OK;
}

/* Replaces port 0 in address by the port that the kernel assigned. */
static bf_code_t
bind_listener(
    struct sockaddr_in *address, bool for_callers, int *out, bf_error_t *err)
{
	int fd, one, buffer_bytes = BF_CONNECTION_BUFFER_BYTES;
	socklen_t bytes;

	one = 1;
	bytes = sizeof(*address);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return bf_error_set(err, BF_ERR_IO,
		    "cannot create a listening socket: %s", strerror(errno));
	/* Accepted connections inherit them. */
	if (for_callers) {
		(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		    sizeof(buffer_bytes));
		(void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
		    sizeof(buffer_bytes));
	}
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one)) != 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) != 0 ||
	    bind(fd, (struct sockaddr *)address, bytes) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)address, &bytes) != 0) {
		bf_error_set(err, BF_ERR_IO, "cannot listen on port %u: %s",
		    ntohs(address->sin_port), strerror(errno));
		close(fd);
		return BF_ERR_IO;
	}
	*out = fd;
	return BF_OK;
}

static void
fill_defaults(bf_proxy_options_t *options)
{
	if (options->threads == 0)
		options->threads = 1;
	if (options->head_bytes_max == 0)
		options->head_bytes_max = HEAD_BYTES_DEFAULT;
	if (options->head_count_max == 0)
		options->head_count_max = HEAD_COUNT_DEFAULT;
	if (options->body_bytes_max == 0)
		options->body_bytes_max = BODY_BYTES_DEFAULT;
	if (options->attempts_max == 0)
		options->attempts_max = ATTEMPTS_DEFAULT;
	if (options->attempts_max > ATTEMPTS_LIMIT)
		options->attempts_max = ATTEMPTS_LIMIT;
	if (options->retry_share_ppm == 0)
		options->retry_share_ppm = RETRY_SHARE_DEFAULT_PPM;
	if (options->connections_max == 0)
		options->connections_max = CONNECTIONS_DEFAULT;
	if (options->connections_max <
	    CONNECTIONS_MIN_PER_WORKER * options->threads)
		options->connections_max =
		    CONNECTIONS_MIN_PER_WORKER * options->threads;
	if (options->idle_max_us == 0)
		options->idle_max_us = IDLE_DEFAULT_US;
}

static bf_code_t
open_workers(
    bf_proxy_t *proxy, struct sockaddr_in addresses[BF_HOPS], bf_error_t *err)
{
	int fds[BF_HOPS];
	bf_code_t code;
	uint32_t i;
	int hop;

	for (i = 0; i < proxy->options.threads; i++) {
		for (hop = 0; hop < BF_HOPS; hop++) {
			fds[hop] = -1;
			if (addresses[hop].sin_family == 0)
				continue;
			code = bind_listener(
			    &addresses[hop], hop == 0, &fds[hop], err);
			if (code != BF_OK)
				return code;
			proxy->ports[hop] = ntohs(addresses[hop].sin_port);
		}
		proxy->worker_count = i + 1;
		code = bf_worker_open(&proxy->workers[i], proxy, i, fds, err);
		if (code != BF_OK)
			return code;
	}
	return BF_OK;
}

static bf_code_t
open_proxy(bf_proxy_t *proxy, bf_error_t *err)
{
	const char *const listen[BF_HOPS] = { proxy->options.caller_listen,
		proxy->options.mesh_listen };
	struct sockaddr_in addresses[BF_HOPS];
	bf_code_t code;
	int hop;

	memset(addresses, 0, sizeof(addresses));
	for (hop = 0; hop < BF_HOPS; hop++) {
		if (listen[hop] == NULL)
			continue;
		code = parse_address(listen[hop], &addresses[hop], err);
		if (code != BF_OK)
			return code;
	}
	proxy->instance = strdup(proxy->options.instance);
	proxy->zone =
	    strdup(proxy->options.zone != NULL ? proxy->options.zone : "");
	proxy->region =
	    strdup(proxy->options.region != NULL ? proxy->options.region : "");
	proxy->workers =
	    calloc(proxy->options.threads, sizeof(*proxy->workers));
	if (proxy->instance == NULL || proxy->zone == NULL ||
	    proxy->region == NULL || proxy->workers == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory opening the proxy");
	return open_workers(proxy, addresses, err);
}

bf_code_t
bf_proxy_new(
    const bf_proxy_options_t *options, bf_proxy_t **out, bf_error_t *err)
{
	bf_proxy_t *proxy;
	bf_code_t code;

	if (options->instance == NULL || options->counters == NULL)
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "proxy options lack the instance name or the counters");
	proxy = calloc(1, sizeof(*proxy));
	if (proxy == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory creating the proxy");
	proxy->options = *options;
	fill_defaults(&proxy->options);
	bf_metrics_register(&proxy->metrics, options->counters);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = open_proxy(proxy, err);
	if (code != BF_OK) {
		bf_proxy_free(proxy);
		return code;
	}
	*out = proxy;
	return BF_OK;
}

bf_code_t
bf_proxy_start(bf_proxy_t *proxy, bf_error_t *err)
{
	bf_code_t code;
	uint32_t i;

	for (i = 0; i < proxy->worker_count; i++) {
		code = bf_worker_start(&proxy->workers[i], err);
		if (code != BF_OK)
			return code;
	}
	return BF_OK;
}

void
bf_proxy_free(bf_proxy_t *proxy)
{
	uint32_t i;

	if (proxy == NULL)
		return;
	for (i = 0; i < proxy->worker_count; i++)
		bf_worker_close(&proxy->workers[i]);
	if (proxy->table != NULL)
		bf_table_release(proxy->table);
	bf_served_target_release(proxy->target);
	free(proxy->workers);
	free(proxy->instance);
	free(proxy->zone);
	free(proxy->region);
	free(proxy);
}

uint16_t
bf_proxy_caller_port(const bf_proxy_t *proxy)
{
	return proxy->ports[0];
}

uint16_t
bf_proxy_mesh_port(const bf_proxy_t *proxy)
{
	return proxy->ports[1];
}

void
bf_proxy_publish(bf_proxy_t *proxy, bf_table_t *table)
{
	bf_table_t *previous;

	previous = atomic_exchange(&proxy->table, table);
	if (previous == NULL)
		return;
	synchronize_rcu();
	bf_table_release(previous);
}

bf_code_t
bf_proxy_set_local_target(
    bf_proxy_t *proxy, const bf_local_target_t *target, bf_error_t *err)
{
	bf_served_target_t *previous, *served;

	served = NULL;
	if (target != NULL) {
		if (target->address == NULL || target->service == NULL ||
		    target->version == NULL)
			return bf_error_set(err, BF_ERR_ARGUMENT,
			    "local target lacks an address, a service or a version");
		served = bf_served_target_new(target, proxy->target);
		if (served == NULL)
			return bf_error_set(err, BF_ERR_MEMORY,
			    "out of memory copying the local target");
	}
	previous = atomic_exchange(&proxy->target, served);
	if (previous == NULL)
		return BF_OK;
	synchronize_rcu();
	bf_served_target_release(previous);
	bf_worker_wake_waiting(proxy);
	return BF_OK;
}

void
bf_proxy_drain(bf_proxy_t *proxy)
{
	atomic_store(&proxy->draining, true);
}

void
bf_proxy_stop_accepting(bf_proxy_t *proxy)
{
	uint32_t i;

	for (i = 0; i < proxy->worker_count; i++)
		bf_worker_stop_accepting(&proxy->workers[i]);
}

uint64_t
bf_proxy_in_flight(const bf_proxy_t *proxy)
{
	uint64_t sum;
	uint32_t i;

	sum = 0;
	for (i = 0; i < proxy->worker_count; i++)
		sum += atomic_load(&proxy->workers[i].in_flight);
	return sum;
}
