#include <stddef.h>
#include <string.h>

#include "standins/faults.h"

static const struct {
	const char *name;
	size_t offset;
} numbers[] = {
	{ "fail_percent", offsetof(behaviour_t, fail_percent) },
	{ "shed_percent", offsetof(behaviour_t, shed_percent) },
	{ "slow_ms", offsetof(behaviour_t, slow_ms) },
	{ "after_s", offsetof(behaviour_t, after_s) },
	{ "after_calls", offsetof(behaviour_t, after_calls) },
	{ "at_load", offsetof(behaviour_t, at_load) },
};

static bool
set_number(behaviour_t *b, size_t offset, const char *value)
{
	guint64 parsed;

	if (!g_ascii_string_to_unsigned(
		value, 10, 0, UINT32_MAX, &parsed, NULL))
		return false;
	*(uint32_t *)((char *)b + offset) = (uint32_t)parsed;
	return true;
}

static bool
set_switch(bool *flag, const char *value)
{
	*flag = strcmp(value, "on") == 0;
	return *flag || strcmp(value, "off") == 0;
}

static bool
set_report(behaviour_t *b, const char *value)
{
	static const char *const names[] = { "ok", "lie", "lag" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(value, names[i]) == 0) {
			b->report = (report_mode_t)i;
			return true;
		}
	}
	return false;
}

bool
behaviour_set(behaviour_t *b, const char *name, const char *value)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		if (strcmp(name, numbers[i].name) == 0)
			return set_number(b, numbers[i].offset, value);
	}
	if (strcmp(name, "hang") == 0)
		return set_switch(&b->hang, value);
	if (strcmp(name, "cut") == 0)
		return set_switch(&b->cut, value);
	if (strcmp(name, "anonymous") == 0)
		return set_switch(&b->anonymous, value);
	if (strcmp(name, "health") == 0)
		return set_report(b, value);
	if (strcmp(name, "route") != 0)
		return false;
	g_free(b->route);
	b->route = *value != '\0' ? g_strdup(value) : NULL;
	return true;
}

void
behaviour_begin(behaviour_t *b, gint64 now_us)
{
	b->ordered_us = now_us;
	b->calls = 0;
	b->bad_calls = 0;
}

static bool
shows(const behaviour_t *b, const char *path, uint32_t in_flight, gint64 now_us)
{
	if (now_us - b->ordered_us < (gint64)b->after_s * G_USEC_PER_SEC)
		return false;
	if (b->calls <= b->after_calls || in_flight < b->at_load)
		return false;
	return b->route == NULL || g_str_has_prefix(path, b->route);
}

/* Spreads percent of all calls evenly: is it the turn of call number n? */
static bool
is_due(uint64_t n, uint32_t percent)
{
	return n * percent / 100 > (n - 1) * percent / 100;
}

behaviour_call_t
behaviour_next(
    behaviour_t *b, const char *path, uint32_t in_flight, gint64 now_us)
{
	behaviour_call_t call = { 0 };

	b->calls++;
	if (!shows(b, path, in_flight, now_us))
		return call;
	b->bad_calls++;
	call.fail = is_due(b->bad_calls, b->fail_percent);
	call.shed = is_due(b->bad_calls, b->shed_percent);
	call.hang = b->hang;
	call.cut = b->cut;
	call.anonymous = b->anonymous;
	call.slow_ms = b->slow_ms;
	return call;
}
