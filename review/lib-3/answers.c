#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "answers.h"
#include "lab.h"

#define NODES 4
#define CLIENTS 97
#define MEMORY_MB 260
#define SHORT_BYTES ((size_t)8 << 10)
#define TIMEOUT_MS 5000
#define RUN_MS 20000
#define LOOK_MS 10
#define RESTART_MS 500
#define LOST_MAX 3

static lab_node_t nodes[NODES];
static lab_upstream_t upstreams[NODES];
static lab_store_t *store;
static volatile bool stop;
static size_t long_bytes;
static int answered, refused, failed, lost, ends;

static size_t
body_bytes(const char *head)
{
	if (strncmp(head, "GET /short/ ", 12) == 0 || !lab_trouble())
		return SHORT_BYTES;
	return long_bytes;
}

static int64_t
work(lab_upstream_t *upstream, const char *head, const char *id, int *status)
{
	(void)upstream;
	(void)head;
	(void)id;
	(void)status;
	return 60;
}

static long
resident_mb(pid_t pid)
{
	long size, resident = 0;
	char path[64];
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	if (fscanf(file, "%ld %ld", &size, &resident) != 2)
		resident = 0;
	fclose(file);
	return resident * (sysconf(_SC_PAGESIZE) / 1024) / 1024;
}

/* The platform: kills a process above its memory and starts it again. */
static void *
run_platform(void *argument)
{
	long most_mb[NODES] = { 0 }, mb;
	int i;

	(void)argument;
	while (!stop) {
		for (i = 0; i < NODES; i++) {
			mb = resident_mb(nodes[i].pid);
			if (mb > most_mb[i])
				most_mb[i] = mb;
			if (mb <= MEMORY_MB)
				continue;
			lab_note("%s holds %ld MB of %d", nodes[i].name, mb,
			    MEMORY_MB);
			lab_node_signal(&nodes[i], SIGKILL);
			(void)lab_node_wait(&nodes[i]);
			ends++;
			lab_sleep_ms(RESTART_MS);
			nodes[i].first_start = false;
			lab_node_start(&nodes[i], store, "\"a=r\"");
		}
		lab_sleep_ms(LOOK_MS);
	}
	for (i = 0; i < NODES; i++)
		lab_note("%s held %ld MB at most", nodes[i].name, most_mb[i]);
	return NULL;
}

/* Reads one answer; its status, 0 if the connection ended before its end. */
static int
read_answer(int fd)
{
	static const char field[] = "Content-Length: ";
	size_t head_bytes = 0, count = 0, total = 0;
	char buffer[65536 + 1], *at;
	int status = 0;
	ssize_t n;

	for (;;) {
		n = recv(fd, buffer + (total == 0 ? count : 0),
		    sizeof(buffer) - 1 - (total == 0 ? count : 0), 0);
		if (n <= 0)
			return 0;
		count += (size_t)n;
		if (total == 0) {
			buffer[count] = '\0';
			at = strstr(buffer, "\r\n\r\n");
			if (at == NULL)
				continue;
			head_bytes = (size_t)(at + 4 - buffer);
			status = atoi(buffer + strlen("HTTP/1.1 "));
			at = strstr(buffer, field);
			total = head_bytes +
			    (at != NULL ? strtoul(at + strlen(field), NULL, 10)
					: 0);
		}
		if (count >= total)
			return status;
	}
}

/* Asks on the connection; false if it ended without an answer. */
static bool
ask(int fd, const char *path, bool is_kept)
{
	char id[LAB_TEXT], text[512];
	int status;

	lab_new_id(id);
	snprintf(text, sizeof(text),
	    "GET %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
	    "Timeout-Ms: %d\r\n\r\n",
	    path, id, TIMEOUT_MS);
	if (!lab_send(fd, text, strlen(text)))
		return false;
	status = read_answer(fd);
	if (status == 200)
		__sync_add_and_fetch(&answered, 1);
	else if (status == 503)
		__sync_add_and_fetch(&refused, 1);
	else if (status != 0)
		__sync_add_and_fetch(&failed, 1);
	else if (is_kept && !stop && lab_runs(id) > 0) {
		__sync_add_and_fetch(&lost, 1);
		lab_note("%s ran, and its kept connection ended without a "
			 "whole answer",
		    id);
	}
	if (status == 503)
		lab_sleep_ms(100);
	return status != 0;
}

static void *
run_client(void *argument)
{
	int fd;

	(void)argument;
	while (!stop) {
		fd = lab_connect(nodes[0].callers, TIMEOUT_MS + 2000);
		if (fd < 0) {
			lab_sleep_ms(100);
			continue;
		}
		if (ask(fd, "/short/", false)) {
			while (!stop && ask(fd, "/long/", true))
				;
		}
		close(fd);
	}
	return NULL;
}

int
lab_answers(const char *record_path, size_t bytes)
{
	static const lab_route_t routes[] = { { "shop.example", "r-shop",
	    "safe", "shop", 2000, TIMEOUT_MS } };
	pthread_t clients[CLIENTS], platform;
	char name[64];
	int i;

	long_bytes = bytes;
	lab_begin(record_path);
	store = lab_store_new();
	lab_configure(store, 1, routes, 1, NULL);
	for (i = 0; i < NODES; i++) {
		snprintf(name, sizeof(name), "sidecar-a-%d", i + 1);
		lab_node_init(&nodes[i], name, "a", i == 0 ? "front" : "shop");
		lab_node_start(&nodes[i], store, "\"a=r\"");
		upstreams[i].work = work;
		upstreams[i].body_bytes = body_bytes;
		snprintf(name, sizeof(name), "i-%d", i + 1);
		lab_upstream_start(&upstreams[i], &nodes[i], name);
	}
	lab_await_ready(nodes, NODES, 15000);
	lab_sleep_ms(4000);
	pthread_create(&platform, NULL, run_platform, NULL);
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, run_client, NULL);
	lab_sleep_ms(RUN_MS);
	stop = true;
	pthread_join(platform, NULL);
	for (i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	lab_note("%d requests answered, %d refused, %d failed; %d on kept "
		 "connections ran and got no answer; %d processes exceeded "
		 "their memory",
	    answered, refused, failed, lost, ends);
	printf("answered %d, refused %d, failed %d, lost %d, ends %d\n",
	    answered, refused, failed, lost, ends);
	return lab_end(lost > LOST_MAX ? 1 : 0);
}
