#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>
#include <sodium.h>

#include "lab.h"

/* ---- record and time ---- */

#define NODES_MAX 64

static FILE *record;
static int64_t began_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static lab_node_t *started[NODES_MAX];
static size_t started_count;

static int64_t
clock_ms(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
lab_now_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC) - began_ms;
}

int64_t
lab_wall_ms(void)
{
	return clock_ms(CLOCK_REALTIME);
}

void
lab_sleep_ms(int64_t ms)
{
	struct timespec pause = { .tv_sec = ms / 1000,
		.tv_nsec = ms % 1000 * 1000000 };

	while (nanosleep(&pause, &pause) != 0 && errno == EINTR)
		;
}

void
lab_note(const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%9.3f  ", (double)lab_now_ms() / 1000);
	va_start(args, fmt);
	vfprintf(record, fmt, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

static void
end_nodes(void)
{
	size_t i;

	for (i = 0; i < started_count; i++) {
		if (started[i]->pid != 0) {
			kill(started[i]->pid, SIGCONT);
			kill(started[i]->pid, SIGKILL);
			(void)lab_node_wait(started[i]);
		}
	}
}

void
lab_cannot(const char *why)
{
	lab_note("the case could not run: %s", why);
	fprintf(stderr, "the case could not run: %s\n", why);
	end_nodes();
	_exit(2);
}

int
lab_end(int code)
{
	end_nodes();
	lab_note("result %d", code);
	return code;
}

bool
lab_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

void
lab_begin(const char *record_path)
{
	began_ms = clock_ms(CLOCK_MONOTONIC);
	signal(SIGPIPE, SIG_IGN);
	record = fopen(record_path, "w");
	if (record == NULL || sodium_init() < 0)
		exit(2);
	lab_note("trouble %d", lab_trouble());
}

static struct sockaddr_in
loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Below the range from which outgoing connections take their ports. */
uint16_t
lab_port(void)
{
	static uint16_t next;
	struct sockaddr_in address;
	int fd, on = 1, i;

	if (next == 0)
		next = (uint16_t)(11000 + getpid() * 37 % 19000);
	for (i = 0; i < 2000; i++) {
		next = next >= 31000 ? 11000 : (uint16_t)(next + 1);
		address = loopback(next);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ==
		    0) {
			close(fd);
			return next;
		}
		close(fd);
	}
	lab_cannot("no free port");
	return 0;
}

/* ---- HTTP ---- */

int
lab_connect(uint16_t port, int timeout_ms)
{
	struct timeval limit = { .tv_sec = timeout_ms / 1000,
		.tv_usec = (timeout_ms % 1000) * 1000L };
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

bool
lab_send(int fd, const void *data, size_t bytes)
{
	const char *at = data;
	ssize_t n;

	while (bytes > 0) {
		n = send(fd, at, bytes, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		at += n;
		bytes -= (size_t)n;
	}
	return true;
}

int
lab_listen(uint16_t port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 256) != 0)
		lab_cannot("cannot listen");
	return fd;
}

bool
lab_field(const char *head, const char *name, char *out, size_t bytes)
{
	size_t name_bytes = strlen(name), n;
	const char *line = strstr(head, "\r\n");

	while (line != NULL) {
		line += 2;
		if (strncasecmp(line, name, name_bytes) == 0 &&
		    line[name_bytes] == ':') {
			line += name_bytes + 1;
			line += strspn(line, " ");
			n = strcspn(line, "\r");
			if (n >= bytes)
				n = bytes - 1;
			memcpy(out, line, n);
			out[n] = '\0';
			return true;
		}
		line = strstr(line, "\r\n");
	}
	return false;
}

static bool
receive_more(lab_reader_t *reader)
{
	ssize_t n;

	if (reader->capacity - reader->count < 65536) {
		reader->capacity = reader->capacity * 2 + 131072;
		reader->data = realloc(reader->data, reader->capacity);
	}
	do
		n = recv(reader->fd, reader->data + reader->count,
		    reader->capacity - reader->count - 1, 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return false;
	reader->count += (size_t)n;
	return true;
}

bool
lab_read(lab_reader_t *reader, lab_message_t *message, bool response)
{
	char text[32], *end = NULL;
	size_t head_bytes, total;

	memset(message, 0, sizeof(*message));
	for (;;) {
		if (reader->count > 0) {
			reader->data[reader->count] = '\0';
			end = strstr(reader->data, "\r\n\r\n");
		}
		if (end != NULL)
			break;
		if (!receive_more(reader))
			return false;
	}
	head_bytes = (size_t)(end - reader->data) + 4;
	if (head_bytes >= sizeof(message->head))
		return false;
	memcpy(message->head, reader->data, head_bytes);
	if (response)
		message->status = atoi(message->head + strlen("HTTP/1.1 "));
	message->has_length =
	    lab_field(message->head, "Content-Length", text, sizeof(text));
	if (message->has_length)
		message->body_bytes = strtoul(text, NULL, 10);
	total = head_bytes + message->body_bytes;
	while (reader->count < total) {
		if (!receive_more(reader))
			return false;
	}
	message->body = malloc(message->body_bytes + 1);
	memcpy(message->body, reader->data + head_bytes, message->body_bytes);
	message->body[message->body_bytes] = '\0';
	memmove(reader->data, reader->data + total, reader->count - total);
	reader->count -= total;
	return true;
}

void
lab_reader_free(lab_reader_t *reader)
{
	free(reader->data);
	*reader = (lab_reader_t){ .fd = -1 };
}

void
lab_message_free(lab_message_t *message)
{
	free(message->body);
	message->body = NULL;
}

static void
start_thread(void *(*run)(void *), void *argument)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, (size_t)256 * 1024);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, argument) != 0)
		lab_cannot("no thread");
	pthread_attr_destroy(&attributes);
}

/* ---- the store ---- */

#define ITEMS_MAX 4096
#define PAGE_ITEMS 500
#define PAGE_BYTES 1048576
#define EVENTS_MAX 65536
#define LEASES_MAX 4096
#define STORE_DELAY_MS 4

typedef struct item {
	char key[256];
	char *value; /* base64 */
	size_t bytes;
	uint64_t revision, created, lease;
} item_t;

typedef struct event {
	char key[256];
	uint64_t revision;
	bool deleted;
} event_t;

typedef struct lease {
	uint64_t id;
	int64_t ttl_ms, until_ms;
} lease_t;

struct lab_store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	uint16_t port;
	int listener;
	item_t items[ITEMS_MAX];
	size_t item_count;
	event_t events[EVENTS_MAX];
	size_t event_count;
	lease_t leases[LEASES_MAX];
	size_t lease_count;
	uint64_t revision, last_lease;
	uint64_t ranges, watches, txns, renewals, grants;
	bool down;
};

typedef struct store_conn {
	lab_store_t *store;
	int fd;
} store_conn_t;

static item_t *
find_item(lab_store_t *store, const char *key)
{
	size_t i;

	for (i = 0; i < store->item_count; i++) {
		if (strcmp(store->items[i].key, key) == 0)
			return &store->items[i];
	}
	return NULL;
}

static void
add_event(lab_store_t *store, const char *key, bool deleted)
{
	event_t *event;

	if (store->event_count == EVENTS_MAX)
		lab_cannot("the store's history is full");
	event = &store->events[store->event_count++];
	snprintf(event->key, sizeof(event->key), "%s", key);
	event->revision = store->revision;
	event->deleted = deleted;
}

static void
put_item(lab_store_t *store, const char *key, const char *base64, size_t bytes,
    uint64_t lease)
{
	item_t *item = find_item(store, key);

	if (item == NULL) {
		if (store->item_count == ITEMS_MAX)
			lab_cannot("the store is full");
		item = &store->items[store->item_count++];
		memset(item, 0, sizeof(*item));
		snprintf(item->key, sizeof(item->key), "%s", key);
		item->created = store->revision;
	}
	free(item->value);
	item->value = strdup(base64);
	item->bytes = bytes;
	item->revision = store->revision;
	item->lease = lease;
	add_event(store, key, false);
}

static void
delete_item(lab_store_t *store, item_t *item)
{
	add_event(store, item->key, true);
	free(item->value);
	*item = store->items[--store->item_count];
}

uint64_t
lab_store_put(
    lab_store_t *store, const char *key, const void *value, size_t bytes)
{
	size_t encoded =
	    sodium_base64_encoded_len(bytes, sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(encoded);
	uint64_t revision;

	sodium_bin2base64(
	    text, encoded, value, bytes, sodium_base64_VARIANT_ORIGINAL);
	pthread_mutex_lock(&store->lock);
	revision = ++store->revision;
	put_item(store, key, text, bytes, 0);
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
	free(text);
	return revision;
}

bool
lab_store_get(lab_store_t *store, const char *key, char *out, size_t bytes)
{
	item_t *item;
	size_t n = 0;
	bool found;

	pthread_mutex_lock(&store->lock);
	item = find_item(store, key);
	found = item != NULL &&
	    sodium_base642bin((unsigned char *)out, bytes - 1, item->value,
		strlen(item->value), NULL, &n, NULL,
		sodium_base64_VARIANT_ORIGINAL) == 0;
	out[n] = '\0';
	pthread_mutex_unlock(&store->lock);
	return found;
}

uint64_t
lab_store_calls(lab_store_t *store, const char *kind)
{
	uint64_t count = 0;

	pthread_mutex_lock(&store->lock);
	if (strcmp(kind, "kv-range") == 0)
		count = store->ranges;
	else if (strcmp(kind, "kv-watch") == 0)
		count = store->watches;
	else if (strcmp(kind, "kv-txn") == 0)
		count = store->txns;
	else if (strcmp(kind, "kv-keep") == 0)
		count = store->renewals;
	pthread_mutex_unlock(&store->lock);
	return count;
}

void
lab_store_set_down(lab_store_t *store, bool down)
{
	pthread_mutex_lock(&store->lock);
	store->down = down;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

static json_t *
item_json(const item_t *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "Key", item->key, "Value",
	    item->value, "ModRevision", (json_int_t)item->revision, "CreateRev",
	    (json_int_t)item->created, "Lease", (json_int_t)item->lease);
}

/* Copies a parameter of the query, decoded. */
static bool
query(const char *target, const char *name, char *out, size_t bytes)
{
	size_t name_bytes = strlen(name), n = 0;
	const char *at = strchr(target, '?');
	unsigned int code;

	while (at != NULL) {
		at++;
		if (strncmp(at, name, name_bytes) == 0 &&
		    at[name_bytes] == '=') {
			for (at += name_bytes + 1; *at != '\0' && *at != '&' &&
			     *at != ' ' && n + 1 < bytes;
			     at++) {
				if (*at == '%' &&
				    sscanf(at + 1, "%2x", &code) == 1) {
					out[n++] = (char)code;
					at += 2;
				} else {
					out[n++] = *at;
				}
			}
			out[n] = '\0';
			return true;
		}
		at = strchr(at, '&');
	}
	return false;
}

static int
compare_items(const void *a, const void *b)
{
	return strcmp((*(item_t *const *)a)->key, (*(item_t *const *)b)->key);
}

static json_t *
range(lab_store_t *store, const char *target)
{
	char prefix[256] = "", after[256] = "";
	static item_t *found[ITEMS_MAX];
	json_t *list = json_array();
	size_t count = 0, bytes = 0, i;
	bool more = false;

	query(target, "Prefix", prefix, sizeof(prefix));
	query(target, "after", after, sizeof(after));
	store->ranges++;
	for (i = 0; i < store->item_count; i++) {
		if (strncmp(store->items[i].key, prefix, strlen(prefix)) == 0 &&
		    strcmp(store->items[i].key, after) > 0)
			found[count++] = &store->items[i];
	}
	qsort(found, count, sizeof(item_t *), compare_items);
	for (i = 0; i < count; i++) {
		if (i == PAGE_ITEMS ||
		    (i > 0 && bytes + found[i]->bytes > PAGE_BYTES)) {
			more = true;
			break;
		}
		bytes += found[i]->bytes;
		json_array_append_new(list, item_json(found[i]));
	}
	return json_pack("{s:o,s:b,s:I}", "items", list, "HasMore", (int)more,
	    "CurrentRev", (json_int_t)store->revision);
}

static json_t *
events_after(lab_store_t *store, const char *prefix, uint64_t after)
{
	json_t *list = json_array();
	const event_t *event;
	const item_t *item;
	size_t i;

	for (i = 0; i < store->event_count; i++) {
		event = &store->events[i];
		if (event->revision <= after ||
		    strncmp(event->key, prefix, strlen(prefix)) != 0)
			continue;
		item = find_item(store, event->key);
		if (event->deleted)
			json_array_append_new(list,
			    json_pack("{s:s,s:I,s:b}", "Key", event->key,
				"ModRevision", (json_int_t)event->revision,
				"Deleted", 1));
		else if (item != NULL && item->revision == event->revision)
			json_array_append_new(list, item_json(item));
	}
	return list;
}

static json_t *
watch(lab_store_t *store, const char *target)
{
	char prefix[256] = "", text[32] = "0";
	uint64_t after, wait_ms;
	struct timespec until;
	json_t *events;

	query(target, "Prefix", prefix, sizeof(prefix));
	query(target, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	snprintf(text, sizeof(text), "0");
	query(target, "WaitMs", text, sizeof(text));
	wait_ms = strtoull(text, NULL, 10);
	store->watches++;
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += (time_t)(wait_ms / 1000);
	until.tv_nsec += (long)(wait_ms % 1000 * 1000000);
	if (until.tv_nsec >= 1000000000) {
		until.tv_nsec -= 1000000000;
		until.tv_sec++;
	}
	for (;;) {
		events = events_after(store, prefix, after);
		if (json_array_size(events) > 0 || store->down ||
		    pthread_cond_timedwait(
			&store->changed, &store->lock, &until) != 0)
			break;
		json_decref(events);
	}
	return json_pack("{s:o,s:I}", "events", events, "CurrentRev",
	    (json_int_t)store->revision);
}

static lease_t *
find_lease(lab_store_t *store, uint64_t id)
{
	size_t i;

	for (i = 0; i < store->lease_count; i++) {
		if (store->leases[i].id == id)
			return &store->leases[i];
	}
	return NULL;
}

static json_t *
txn(lab_store_t *store, const char *body, int *status)
{
	json_t *root = json_loads(body, 0, NULL), *entry, *list;
	const char *key, *value;
	bool holds = true;
	json_int_t lease;
	item_t *item;
	size_t i;

	store->txns++;
	json_array_foreach (
	    json_object_get(root, "ExpectedRevision"), i, entry) {
		key = json_string_value(json_object_get(entry, "Key"));
		item = find_item(store, key);
		holds = holds &&
		    (uint64_t)json_integer_value(json_object_get(entry,
			"ModRevision")) == (item != NULL ? item->revision : 0);
	}
	if (!holds) {
		list = json_array();
		json_array_foreach (
		    json_object_get(root, "ExpectedRevision"), i, entry) {
			key = json_string_value(json_object_get(entry, "Key"));
			item = find_item(store, key);
			json_array_append_new(list,
			    item != NULL ? item_json(item)
					 : json_pack("{s:s,s:i}", "Key", key,
					       "ModRevision", 0));
		}
		json_decref(root);
		*status = 412;
		return json_pack("{s:o}", "items", list);
	}
	json_array_foreach (json_object_get(root, "Puts"), i, entry) {
		lease = json_integer_value(json_object_get(entry, "Lease"));
		if (lease != 0 && find_lease(store, (uint64_t)lease) == NULL) {
			json_decref(root);
			*status = 404;
			return json_object();
		}
	}
	store->revision++;
	json_array_foreach (json_object_get(root, "Puts"), i, entry) {
		value = json_string_value(json_object_get(entry, "Value"));
		put_item(store,
		    json_string_value(json_object_get(entry, "Key")), value,
		    strlen(value) / 4 * 3,
		    (uint64_t)json_integer_value(
			json_object_get(entry, "Lease")));
	}
	json_array_foreach (json_object_get(root, "Deletes"), i, entry) {
		item = find_item(store, json_string_value(entry));
		if (item != NULL)
			delete_item(store, item);
	}
	pthread_cond_broadcast(&store->changed);
	json_decref(root);
	return json_pack("{s:I}", "ModRevision", (json_int_t)store->revision);
}

static json_t *
grant(lab_store_t *store, const char *body)
{
	json_t *root = json_loads(body, 0, NULL);
	int64_t ttl_ms = json_integer_value(json_object_get(root, "TtlMs"));
	lease_t *lease;

	json_decref(root);
	store->grants++;
	if (store->lease_count == LEASES_MAX)
		lab_cannot("no more leases");
	lease = &store->leases[store->lease_count++];
	*lease = (lease_t){ .id = ++store->last_lease,
		.ttl_ms = ttl_ms,
		.until_ms = lab_now_ms() + ttl_ms };
	return json_pack("{s:I,s:I}", "Lease", (json_int_t)lease->id, "TtlMs",
	    (json_int_t)ttl_ms);
}

static json_t *
answer_store(lab_store_t *store, const lab_message_t *message, int *status)
{
	const char *target = strchr(message->head, ' ') + 1;
	char prefix[256] = "";
	lease_t *lease;
	item_t *item;

	*status = 200;
	if (strncmp(target, "/basilfork/kv-range", 19) == 0)
		return range(store, target);
	if (strncmp(target, "/basilfork/kv-watch", 19) == 0)
		return watch(store, target);
	if (strncmp(target, "/basilfork/kv-txn", 17) == 0)
		return txn(store, message->body, status);
	if (strncmp(target, "/basilfork/kv-lease-end/", 24) == 0) {
		lease = find_lease(store, strtoull(target + 24, NULL, 10));
		if (lease != NULL)
			lease->until_ms = 0;
		return json_object();
	}
	if (strncmp(target, "/basilfork/kv-lease", 19) == 0)
		return grant(store, message->body);
	if (strncmp(target, "/basilfork/kv-keep/", 19) == 0) {
		store->renewals++;
		lease = find_lease(store, strtoull(target + 19, NULL, 10));
		if (lease == NULL) {
			*status = 404;
			return json_object();
		}
		lease->until_ms = lab_now_ms() + lease->ttl_ms;
		return json_pack("{s:I,s:I}", "Lease", (json_int_t)lease->id,
		    "TtlMs", (json_int_t)lease->ttl_ms);
	}
	if (strncmp(target, "/basilfork/kv-key", 17) == 0) {
		query(target, "Key", prefix, sizeof(prefix));
		item = find_item(store, prefix);
		if (item != NULL)
			return item_json(item);
	}
	*status = 404;
	return json_object();
}

static void *
serve_store(void *argument)
{
	store_conn_t conn = *(store_conn_t *)argument;
	lab_reader_t reader = { .fd = conn.fd };
	lab_message_t message;
	char head[256], *text;
	json_t *answer;
	bool down;
	int status = 500;

	free(argument);
	while (lab_read(&reader, &message, false)) {
		pthread_mutex_lock(&conn.store->lock);
		answer = conn.store->down
		    ? NULL
		    : answer_store(conn.store, &message, &status);
		down = conn.store->down;
		pthread_mutex_unlock(&conn.store->lock);
		lab_message_free(&message);
		if (down) {
			json_decref(answer);
			break;
		}
		lab_sleep_ms(STORE_DELAY_MS);
		text = json_dumps(answer, JSON_COMPACT);
		json_decref(answer);
		snprintf(head, sizeof(head),
		    "HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    status, strlen(text));
		if (!lab_send(conn.fd, head, strlen(head)) ||
		    !lab_send(conn.fd, text, strlen(text))) {
			free(text);
			break;
		}
		free(text);
	}
	close(conn.fd);
	lab_reader_free(&reader);
	return NULL;
}

static void *
accept_store(void *argument)
{
	lab_store_t *store = argument;
	store_conn_t *conn;
	int fd, on = 1;

	while ((fd = accept(store->listener, NULL, NULL)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		conn = malloc(sizeof(*conn));
		*conn = (store_conn_t){ .store = store, .fd = fd };
		start_thread(serve_store, conn);
	}
	return NULL;
}

static void *
expire_leases(void *argument)
{
	lab_store_t *store = argument;
	size_t i, j;

	for (;;) {
		lab_sleep_ms(100);
		pthread_mutex_lock(&store->lock);
		for (i = store->lease_count; i-- > 0;) {
			if (lab_now_ms() < store->leases[i].until_ms)
				continue;
			store->revision++;
			for (j = store->item_count; j-- > 0;) {
				if (store->items[j].lease ==
				    store->leases[i].id)
					delete_item(store, &store->items[j]);
			}
			store->leases[i] = store->leases[--store->lease_count];
			pthread_cond_broadcast(&store->changed);
		}
		pthread_mutex_unlock(&store->lock);
	}
	return NULL;
}

lab_store_t *
lab_store_new(void)
{
	lab_store_t *store = calloc(1, sizeof(*store));

	pthread_mutex_init(&store->lock, NULL);
	pthread_cond_init(&store->changed, NULL);
	store->revision = 1;
	store->port = lab_port();
	store->listener = lab_listen(store->port);
	start_thread(accept_store, store);
	start_thread(expire_leases, store);
	return store;
}

uint16_t
lab_store_port(const lab_store_t *store)
{
	return store->port;
}

/* ---- nodes ---- */

static const char *
folder(void)
{
	const char *path = getenv("LAB_FOLDER");

	if (path == NULL)
		lab_cannot("LAB_FOLDER is not set");
	return path;
}

void
lab_node_init(
    lab_node_t *node, const char *name, const char *zone, const char *service)
{
	*node = (lab_node_t){ .zone = zone,
		.service = service,
		.first_start = true,
		.callers = lab_port(),
		.peers = lab_port(),
		.ready = lab_port(),
		.heartbeats = lab_port(),
		.app = lab_port() };
	snprintf(node->name, sizeof(node->name), "%s", name);
}

void
lab_node_start(lab_node_t *node, lab_store_t *store, const char *zones)
{
	const char *program = getenv("LAB_PROGRAM");
	char path[512], log[512];
	FILE *file;
	int fd;

	snprintf(path, sizeof(path), "%s/%s.toml", folder(), node->name);
	snprintf(log, sizeof(log), "%s/%s.log", folder(), node->name);
	file = fopen(path, "w");
	if (file == NULL || program == NULL)
		lab_cannot("no settings file, or no program");
	fprintf(file,
	    "[node]\ninstance = \"%s\"\navailability_zone = \"%s\"\n"
	    "service = \"%s\"\nlink_mbps = 1000\nfirst_start = %s\n"
	    "memory_mb = 260\ndescriptors_max = 4100\nzones = [ %s ]\n"
	    "[callers]\nlisten = \"127.0.0.1:%u\"\n"
	    "[peers]\nlisten = \"127.0.0.1:%u\"\n"
	    "[target]\naddress = \"127.0.0.1:%u\"\nlisten = \"127.0.0.1:%u\"\n"
	    "heartbeat_ms = 1500\n"
	    "[platform]\nready_listen = \"127.0.0.1:%u\"\n"
	    "store = \"127.0.0.1:%u\"\n"
	    "[stop]\ngrace_s = 6\n"
	    "[repeats]\nshare = 0.2\nburst = 62\nwindow_s = 10\n"
	    "[load]\nlearn_capacity = true\nzone_cost = 0.8\n"
	    "reported_speed_only = true\n"
	    "%s",
	    node->name, node->zone, node->service,
	    node->first_start ? "true" : "false", zones, node->callers,
	    node->peers, node->app, node->heartbeats, node->ready,
	    lab_store_port(store), node->extra != NULL ? node->extra : "");
	fclose(file);
	node->pid = fork();
	if (node->pid == 0) {
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(program, program, path, (char *)NULL);
		_exit(127);
	}
	if (node->pid < 0)
		lab_cannot("cannot fork");
	for (size_t i = 0; i <= started_count; i++) {
		if (i == started_count) {
			started[started_count++] = node;
			break;
		}
		if (started[i] == node)
			break;
	}
	lab_note("%s starts, process %d", node->name, (int)node->pid);
}

void
lab_node_signal(lab_node_t *node, int number)
{
	if (node->pid == 0)
		return;
	lab_note("%s gets %s", node->name, strsignal(number));
	kill(node->pid, number);
}

int
lab_node_wait(lab_node_t *node)
{
	int status = 0;

	if (node->pid == 0)
		return 0;
	while (waitpid(node->pid, &status, 0) < 0 && errno == EINTR)
		;
	node->pid = 0;
	return status;
}

static int
get(uint16_t port, const char *path)
{
	lab_reader_t reader = { .fd = lab_connect(port, 1000) };
	lab_message_t message = { .status = 0 };
	char text[256];
	int status = 0;

	if (reader.fd < 0)
		return 0;
	snprintf(
	    text, sizeof(text), "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
	if (lab_send(reader.fd, text, strlen(text)) &&
	    lab_read(&reader, &message, true))
		status = message.status;
	lab_message_free(&message);
	close(reader.fd);
	lab_reader_free(&reader);
	return status;
}

bool
lab_node_is_ready(const lab_node_t *node)
{
	return get(node->ready, "/basilfork/ready") == 200;
}

void
lab_await_ready(lab_node_t *nodes, size_t count, int64_t within_ms)
{
	int64_t until_ms = lab_now_ms() + within_ms;
	size_t i;

	for (i = 0; i < count; i++) {
		while (!lab_node_is_ready(&nodes[i])) {
			if (lab_now_ms() > until_ms)
				lab_cannot("a node does not become ready");
			lab_sleep_ms(50);
		}
	}
	lab_note("all %zu nodes are ready", count);
}

/* ---- upstreams ---- */

#define RUNS_MAX 100000

typedef struct run {
	char id[LAB_TEXT];
	int runs;
	int64_t began_ms;
} run_t;

static run_t runs[RUNS_MAX];
static size_t run_count;
static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;

static run_t *
find_run(const char *id)
{
	size_t i;

	for (i = run_count; i-- > 0;) {
		if (strcmp(runs[i].id, id) == 0)
			return &runs[i];
	}
	return NULL;
}

static int
add_run(const char *id)
{
	run_t *run;
	int count;

	pthread_mutex_lock(&runs_lock);
	run = find_run(id);
	if (run == NULL) {
		if (run_count == RUNS_MAX)
			lab_cannot("too many runs");
		run = &runs[run_count++];
		snprintf(run->id, sizeof(run->id), "%s", id);
		run->began_ms = lab_now_ms();
	}
	count = ++run->runs;
	pthread_mutex_unlock(&runs_lock);
	return count;
}

int
lab_runs(const char *request_id)
{
	const run_t *run;
	int count;

	pthread_mutex_lock(&runs_lock);
	run = find_run(request_id);
	count = run != NULL ? run->runs : 0;
	pthread_mutex_unlock(&runs_lock);
	return count;
}

int64_t
lab_run_began_ms(const char *request_id)
{
	const run_t *run;
	int64_t at_ms;

	pthread_mutex_lock(&runs_lock);
	run = find_run(request_id);
	at_ms = run != NULL ? run->began_ms : -1;
	pthread_mutex_unlock(&runs_lock);
	return at_ms;
}

typedef struct upstream_conn {
	lab_upstream_t *upstream;
	int fd;
	struct upstream_conn *next;
} upstream_conn_t;

static pthread_mutex_t conns_lock = PTHREAD_MUTEX_INITIALIZER;
static upstream_conn_t *conns;

static void
add_conn(upstream_conn_t *conn)
{
	pthread_mutex_lock(&conns_lock);
	conn->next = conns;
	conns = conn;
	pthread_mutex_unlock(&conns_lock);
}

static void
remove_conn(upstream_conn_t *conn)
{
	upstream_conn_t **at = &conns;

	pthread_mutex_lock(&conns_lock);
	while (*at != conn)
		at = &(*at)->next;
	*at = conn->next;
	close(conn->fd);
	pthread_mutex_unlock(&conns_lock);
	free(conn);
}

static bool
respond(int fd, int status, const char *fields, const char *body)
{
	char text[1024];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 %d x\r\n%sContent-Length: %zu\r\n\r\n%s", status, fields,
	    strlen(body), body);
	return lab_send(fd, text, strlen(text));
}

/* Works for that long; false if the connection was closed meanwhile. */
static bool
work_for(int fd, int64_t ms)
{
	int64_t until_ms = lab_now_ms() + ms, left_ms;
	struct pollfd poll_fd = { .fd = fd, .events = POLLRDHUP };

	while ((left_ms = until_ms - lab_now_ms()) > 0) {
		if (poll(&poll_fd, 1, (int)left_ms) > 0)
			return false;
	}
	return true;
}

/* Answers with that many bytes. */
static bool
respond_long(int fd, const char *fields, size_t bytes)
{
	static const char zeros[65536];
	char text[1024];
	size_t part;

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 x\r\n%sContent-Length: %zu\r\n\r\n", fields, bytes);
	if (!lab_send(fd, text, strlen(text)))
		return false;
	for (; bytes > 0; bytes -= part) {
		part = bytes < sizeof(zeros) ? bytes : sizeof(zeros);
		if (!lab_send(fd, zeros, part))
			return false;
	}
	return true;
}

static bool
run_request(lab_upstream_t *upstream, int fd, const lab_message_t *message)
{
	char id[LAB_TEXT] = "", expected[LAB_TEXT] = "", fields[512], left[32];
	int status = 200, count;
	int64_t ms = 20, left_ms;
	bool held, leaves;

	if (!lab_field(message->head, "Request-Id", id, sizeof(id)))
		return respond(fd, 400, "Not-Executed: no id\r\n", "");
	snprintf(fields, sizeof(fields),
	    "Request-Id: %s\r\nNot-Executed: 1\r\n", id);
	if (lab_field(message->head, "Expected-Instance", expected,
		sizeof(expected)) &&
	    strcmp(expected, upstream->id) != 0)
		return respond(fd, 421, fields, "");
	if (__sync_add_and_fetch(&upstream->running, 1) > upstream->slots) {
		__sync_sub_and_fetch(&upstream->running, 1);
		return respond(fd, 503, fields, "");
	}
	count = add_run(id);
	if (upstream->work != NULL)
		ms = upstream->work(upstream, message->head, id, &status);
	lab_note("%s runs %s for %lld ms, run %d", upstream->id, id,
	    (long long)ms, count);
	if (lab_field(message->head, "Timeout-Ms", left, sizeof(left)) &&
	    (left_ms = atoll(left)) < ms) {
		ms = left_ms;
		status = 504;
	}
	held = work_for(fd, ms);
	__sync_sub_and_fetch(&upstream->running, 1);
	if (!held) {
		lab_note(
		    "%s drops %s: its connection was closed", upstream->id, id);
		return false;
	}
	lab_note("%s answers %s with %d", upstream->id, id, status);
	leaves = upstream->draining;
	snprintf(fields, sizeof(fields),
	    "Request-Id: %s\r\nResponse-Signature: %s.%s\r\n"
	    "Server-Load: %d,0,%d\r\n%s",
	    id, upstream->id, id, upstream->running, upstream->slots,
	    leaves ? "Connection: close\r\n" : "");
	if (status == 200 && upstream->body_bytes != NULL)
		return respond_long(
		    fd, fields, upstream->body_bytes(message->head));
	return respond(fd, status, fields, status == 200 ? "whole body" : "") &&
	    !leaves;
}

static void *
serve_upstream(void *argument)
{
	upstream_conn_t *conn = argument;
	lab_upstream_t *upstream = conn->upstream;
	lab_reader_t reader = { .fd = conn->fd };
	lab_message_t message;
	char fields[256];
	bool goes_on = true;

	add_conn(conn);
	while (
	    goes_on && !upstream->ended && lab_read(&reader, &message, false)) {
		if (strncmp(message.head, "GET /health ", 12) == 0) {
			snprintf(fields, sizeof(fields), "Instance-Id: %s\r\n",
			    upstream->id);
			goes_on = respond(conn->fd,
			    upstream->draining ? 503 : 200, fields, "");
		} else {
			goes_on = run_request(upstream, conn->fd, &message);
		}
		lab_message_free(&message);
	}
	remove_conn(conn);
	lab_reader_free(&reader);
	return NULL;
}

static void *
accept_upstream(void *argument)
{
	lab_upstream_t *upstream = argument;
	upstream_conn_t *conn;
	int fd, on = 1;

	while ((fd = accept(upstream->listener, NULL, NULL)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		conn = malloc(sizeof(*conn));
		*conn = (upstream_conn_t){ .upstream = upstream, .fd = fd };
		start_thread(serve_upstream, conn);
	}
	return NULL;
}

static void
send_heartbeat(lab_upstream_t *upstream)
{
	lab_reader_t reader = { .fd = lab_connect(
				    upstream->heartbeat_port, 1000) };
	lab_message_t message = { .status = 0 };
	bool draining = upstream->draining;
	char body[512], text[1024];

	if (reader.fd < 0)
		return;
	snprintf(body, sizeof(body),
	    "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"%s\","
	    "\"Version\":\"%s\",\"Capacity\":%d,\"State\":\"%s\","
	    "\"WarmupLeftMs\":0,\"Sequence\":%llu,\"born\":%lld}",
	    upstream->service, upstream->port, upstream->zone,
	    upstream->version, upstream->slots, draining ? "draining" : "ready",
	    (unsigned long long)++upstream->sequence,
	    (long long)upstream->born_ms);
	snprintf(text, sizeof(text),
	    "POST /basilfork/instances/%s/heartbeat HTTP/1.1\r\nHost: node\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    upstream->id, strlen(body), body);
	if (lab_send(reader.fd, text, strlen(text)) &&
	    lab_read(&reader, &message, true) && message.status == 200 &&
	    draining && upstream->drain_acked_ms < 0) {
		upstream->drain_acked_ms = lab_now_ms();
		lab_note("%s: its draining is acknowledged", upstream->id);
	}
	lab_message_free(&message);
	close(reader.fd);
	lab_reader_free(&reader);
}

static void *
send_heartbeats(void *argument)
{
	lab_upstream_t *upstream = argument;

	for (;;) {
		if (upstream->pings)
			send_heartbeat(upstream);
		lab_sleep_ms(upstream->heartbeat_ms);
	}
	return NULL;
}

void
lab_upstream_start(
    lab_upstream_t *upstream, const lab_node_t *node, const char *id)
{
	snprintf(upstream->id, sizeof(upstream->id), "%s", id);
	upstream->service = node->service;
	upstream->zone = node->zone;
	upstream->port = node->app;
	upstream->heartbeat_port = node->heartbeats;
	if (upstream->version == NULL)
		upstream->version = "v1";
	if (upstream->slots == 0)
		upstream->slots = 6;
	if (upstream->heartbeat_ms == 0)
		upstream->heartbeat_ms = 1500;
	upstream->born_ms = lab_wall_ms();
	upstream->drain_acked_ms = -1;
	upstream->pings = true;
	upstream->listener = lab_listen(upstream->port);
	start_thread(accept_upstream, upstream);
	start_thread(send_heartbeats, upstream);
}

void
lab_upstream_end(lab_upstream_t *upstream)
{
	lab_reader_t reader = { .fd = lab_connect(
				    upstream->heartbeat_port, 1000) };
	lab_message_t message = { .status = 0 };
	upstream_conn_t *conn;
	char text[512];

	upstream->pings = false;
	snprintf(text, sizeof(text),
	    "POST /basilfork/instances/%s/deregister HTTP/1.1\r\n"
	    "Host: node\r\nContent-Length: 0\r\n\r\n",
	    upstream->id);
	if (reader.fd >= 0 && lab_send(reader.fd, text, strlen(text)))
		(void)lab_read(&reader, &message, true);
	lab_note("%s deregisters, answered with %d, and exits", upstream->id,
	    message.status);
	lab_message_free(&message);
	if (reader.fd >= 0)
		close(reader.fd);
	lab_reader_free(&reader);
	upstream->ended = true;
	shutdown(upstream->listener, SHUT_RDWR);
	pthread_mutex_lock(&conns_lock);
	for (conn = conns; conn != NULL; conn = conn->next) {
		if (conn->upstream == upstream)
			shutdown(conn->fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&conns_lock);
}

/* ---- clients ---- */

void
lab_new_id(char out[LAB_TEXT])
{
	static uint32_t last;

	snprintf(out, LAB_TEXT, "%08x%08x", (unsigned int)getpid(),
	    __sync_add_and_fetch(&last, 1));
}

int
lab_call(const lab_node_t *node, const char *method, const char *host,
    const char *path, const char *id, int timeout_ms, const char *headers,
    const char *body)
{
	lab_reader_t reader = { .fd = lab_connect(
				    node->callers, timeout_ms + 1000) };
	lab_message_t message = { .status = 0 };
	char text[4096], length[64] = "";
	int status = 0;

	if (reader.fd < 0)
		return 0;
	if (body != NULL)
		snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
		    strlen(body));
	snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
	    "Timeout-Ms: %d\r\n%s%s\r\n%s",
	    method, path, host, id, timeout_ms, headers != NULL ? headers : "",
	    length, body != NULL ? body : "");
	if (lab_send(reader.fd, text, strlen(text)) &&
	    lab_read(&reader, &message, true))
		status = message.status;
	lab_message_free(&message);
	close(reader.fd);
	lab_reader_free(&reader);
	return status;
}

/* ---- the configuration ---- */

void
lab_configure(lab_store_t *store, int version, const lab_route_t *routes,
    size_t count, const char *more)
{
	json_t *listeners = json_array(), *clusters = json_array(), *root;
	json_t *extra = more != NULL ? json_loads(more, 0, NULL) : NULL;
	char text[32], *data;
	size_t i, j;

	for (i = 0; i < count; i++) {
		json_array_append_new(listeners,
		    json_pack("{s:s,s:[{s:s,s:s,s:i,s:i,s:{s:s},s:{s:s,s:i,"
			      "s:i}}]}",
			"Authority", routes[i].host, "Policies", "Name",
			routes[i].name, "Type", routes[i].type,
			"TargetLatencyMs", routes[i].aim_ms, "Priority", 1,
			"Match", "Prefix", "/", "Action", "Service",
			routes[i].service, "TimeoutMs", routes[i].timeout_ms,
			"MaxAttempts", 2));
		for (j = 0; j < i; j++) {
			if (strcmp(routes[j].service, routes[i].service) == 0)
				break;
		}
		if (j == i)
			json_array_append_new(clusters,
			    json_pack("{s:s,s:s,s:i,s:s,s:b}", "Name",
				routes[i].service, "HealthPath", "/health",
				"MaxConnections", 130, "Protocol", "h1", "Tls",
				0));
	}
	snprintf(text, sizeof(text), "r%d", version);
	root = json_pack("{s:s,s:{s:i,s:i,s:i,s:i},s:o,s:o}", "Version", text,
	    "Limits", "MaxHeaderBytes", 16384, "MaxBodyBytes", 67108864,
	    "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000, "Listeners",
	    listeners, "Clusters", clusters);
	if (extra != NULL)
		json_object_update(root, extra);
	data = json_dumps(root, JSON_COMPACT);
	lab_store_put(store, "op/config", data, strlen(data));
	lab_note("the operator's configuration %s is acknowledged", text);
	free(data);
	json_decref(extra);
	json_decref(root);
}
