#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "base/bytes.h"
#include "base/digest.h"
#include "observe/events.h"

/* Buffer for a slow reader; holds some seconds of lines at the rates below. */
#define BUFFER_BYTES_MAX ((size_t)256 * 1024)
#define FORMAT_BYTES 256

typedef struct bf_event_class {
	const char *name;
	uint32_t lines_per_s_max;
} bf_event_class_t;

/*
 * Events about a change of the node's state are rare, and their limits are
 * high.  The limits of events about calls are such that a node under full load
 * spends less than 1 % of a core on writing them.
 */
static const bf_event_class_t classes[BF_EVENT_KIND_COUNT] = {
	[BF_EVENT_STARTED] = { "started", 100 },
	[BF_EVENT_STOPPING] = { "stopping", 100 },
	[BF_EVENT_STOPPED] = { "stopped", 100 },
	[BF_EVENT_SETTINGS] = { "settings", 100 },
	[BF_EVENT_STORE_UP] = { "store-up", 10 },
	[BF_EVENT_STORE_DOWN] = { "store-down", 10 },
	[BF_EVENT_STORE_CALL] = { "store-call", 10 },
	[BF_EVENT_STORE_ERA] = { "store-era", 10 },
	[BF_EVENT_PEER_UP] = { "peer-up", 50 },
	[BF_EVENT_PEER_DOWN] = { "peer-down", 50 },
	[BF_EVENT_PEER_GONE] = { "peer-gone", 50 },
	[BF_EVENT_MEMBER] = { "member", 20 },
	[BF_EVENT_RELAY] = { "relay", 20 },
	[BF_EVENT_TARGET] = { "target", 20 },
	[BF_EVENT_ZONES] = { "zones", 5 },
	[BF_EVENT_CAPACITY] = { "capacity", 5 },
	[BF_EVENT_CONFIG] = { "config", 50 },
	[BF_EVENT_CONFIG_REFUSED] = { "config-refused", 20 },
	[BF_EVENT_FRESHNESS] = { "freshness", 20 },
	[BF_EVENT_ENTRY_REFUSED] = { "entry-refused", 20 },
	[BF_EVENT_MOVE] = { "move", 50 },
	[BF_EVENT_FINISHED] = { "finished", 40 },
	[BF_EVENT_PLACED] = { "placed", 20 },
	[BF_EVENT_BOUNCED] = { "bounced", 20 },
	[BF_EVENT_RAN] = { "ran", 20 },
	[BF_EVENT_REFUSED] = { "refused", 20 },
	[BF_EVENT_CANCELLED] = { "cancelled", 20 },
	[BF_EVENT_UNCLAIMED] = { "unclaimed", 20 },
	[BF_EVENT_FRAME_LATE] = { "frame-late", 10 },
	[BF_EVENT_BODY_REFUSED] = { "body-refused", 10 },
	[BF_EVENT_CROWD] = { "crowd", 10 },
	[BF_EVENT_LISTENER] = { "listener", 10 },
	[BF_EVENT_STALL] = { "stall", 10 },
	[BF_EVENT_CAPS] = { "caps", 20 },
	[BF_EVENT_EVACUATION] = { "evacuation", 20 },
	[BF_EVENT_COLD] = { "cold", 20 },
};

typedef struct bf_event_rate {
	bf_time_us_t window_start_us;
	uint32_t lines;
} bf_event_rate_t;

struct bf_events {
	int fd;
	char *instance;
	uint32_t sample_one_in;
	bf_bytes_t out;
	bf_event_rate_t rates[BF_EVENT_KIND_COUNT];
	uint64_t written;
	uint64_t dropped;
	uint64_t dropped_reported;
};

bf_events_t *
bf_events_new(int fd, const char *instance, uint32_t sample_one_in)
{
	bf_events_t *events;
	int flags;

	events = calloc(1, sizeof(*events));
	if (events == NULL)
		return NULL;
	events->instance = strdup(instance);
	if (events->instance == NULL) {
		free(events);
		return NULL;
	}
	events->fd = fd;
	events->sample_one_in = sample_one_in;
	flags = fcntl(fd, F_GETFL);
	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	return events;
}

void
bf_events_free(bf_events_t *events)
{
	if (events == NULL)
		return;
	bf_bytes_free(&events->out);
	free(events->instance);
	free(events);
}

const char *
bf_event_name(bf_event_kind_t kind)
{
	return classes[kind].name;
}

bool
bf_events_sampled(const bf_events_t *events, const char *call_id)
{
	if (events == NULL || events->sample_one_in == 0)
		return false;
	return bf_hash_text(call_id, 0) % events->sample_one_in == 0;
}

/* Counts a line; false when the kind has reached its limit this second. */
static bool
admit_line(bf_events_t *events, bf_event_kind_t kind, bf_time_us_t now_us)
{
	bf_event_rate_t *rate = &events->rates[kind];

	if (now_us - rate->window_start_us >= BF_US_PER_S) {
		rate->window_start_us = now_us;
		rate->lines = 0;
	}
	return rate->lines++ < classes[kind].lines_per_s_max;
}

static void
add_line(bf_events_t *events, json_t *line)
{
	char *text;
	size_t bytes;

	text = json_dumps(line, JSON_COMPACT | JSON_PRESERVE_ORDER);
	if (text == NULL) {
		events->dropped++;
		return;
	}
	bytes = strlen(text);
	if (bf_bytes_count(&events->out) + bytes + 1 > BUFFER_BYTES_MAX) {
		events->dropped++;
	} else {
		bf_bytes_add(&events->out, text, bytes);
		bf_bytes_add(&events->out, "\n", 1);
		events->written++;
	}
	free(text);
}

static json_t *
new_line(const bf_events_t *events, const char *name, bf_time_us_t now_us)
{
	return json_pack("{s:I,s:I,s:s,s:s}", "time_us",
	    (json_int_t)bf_clock_wall_us(), "clock_us", (json_int_t)now_us,
	    "instance", events->instance, "event", name);
}

void
bf_event(bf_events_t *events, bf_event_kind_t kind, bf_time_us_t now_us,
    const char *fmt, ...)
{
	char object_format[FORMAT_BYTES];
	json_t *line, *fields;
	va_list ap;

	if (events == NULL)
		return;
	if (!admit_line(events, kind, now_us)) {
		events->dropped++;
		return;
	}
	line = new_line(events, classes[kind].name, now_us);
	(void)snprintf(object_format, sizeof(object_format), "{%s}", fmt);
	va_start(ap, fmt);
	fields = json_vpack_ex(NULL, 0, object_format, ap);
	va_end(ap);
	if (line == NULL || fields == NULL ||
	    json_object_update(line, fields) != 0)
		events->dropped++;
	else
		add_line(events, line);
	json_decref(fields);
	json_decref(line);
}

static void
report_dropped(bf_events_t *events, bf_time_us_t now_us)
{
	json_t *line;

	if (events->dropped == events->dropped_reported)
		return;
	line = new_line(events, "dropped", now_us);
	if (line == NULL)
		return;
	json_object_set_new(
	    line, "lines", json_integer((json_int_t)events->dropped));
	events->dropped_reported = events->dropped;
	add_line(events, line);
	json_decref(line);
}

bool
bf_events_flush(bf_events_t *events, bf_time_us_t now_us)
{
	ssize_t n;

	report_dropped(events, now_us);
	while (bf_bytes_count(&events->out) > 0) {
		n = write(events->fd, bf_bytes_data(&events->out),
		    bf_bytes_count(&events->out));
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return true;
		if (n < 0) {
			/* The reader is gone: the lines are lost. */
			bf_bytes_clear(&events->out);
			return false;
		}
		bf_bytes_consume(&events->out, (size_t)n);
	}
	return false;
}

uint64_t
bf_events_dropped(const bf_events_t *events)
{
	return events->dropped;
}

uint64_t
bf_events_written(const bf_events_t *events)
{
	return events->written;
}
