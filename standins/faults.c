#include <stddef.h>
#include <string.h>

#include "standins/faults.h"

static const struct {
	const char *name;
	size_t offset;
} number_fields[] = {
	{ "fail_percent", offsetof(faults_t, fail_percent) },
	{ "shed_percent", offsetof(faults_t, shed_percent) },
	{ "slow_ms", offsetof(faults_t, slow_ms) },
	{ "after_s", offsetof(faults_t, after_s) },
	{ "after_calls", offsetof(faults_t, after_calls) },
	{ "at_load", offsetof(faults_t, at_load) },
};

static bool
set_number(faults_t *faults, size_t offset, const char *value)
{
	guint64 parsed;

	if (!g_ascii_string_to_unsigned(
		value, 10, 0, UINT32_MAX, &parsed, NULL))
		return false;
	*(uint32_t *)((char *)faults + offset) = (uint32_t)parsed;
	return true;
}

static bool
parse_switch(bool *flag, const char *value)
{
	*flag = strcmp(value, "on") == 0;
	return *flag || strcmp(value, "off") == 0;
}

static bool
set_report_mode(faults_t *faults, const char *value)
{
	static const char *const names[] = { "ok", "lie", "lag" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(value, names[i]) == 0) {
			faults->report_mode = (report_mode_t)i;
			return true;
		}
	}
	return false;
}

bool
faults_set(faults_t *faults, const char *name, const char *value)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(number_fields); i++) {
		if (strcmp(name, number_fields[i].name) == 0)
			return set_number(
			    faults, number_fields[i].offset, value);
	}
	if (strcmp(name, "hang") == 0)
		return parse_switch(&faults->hang, value);
	if (strcmp(name, "cut") == 0)
		return parse_switch(&faults->truncate, value);
	if (strcmp(name, "anonymous") == 0)
		return parse_switch(&faults->omit_id, value);
	if (strcmp(name, "health") == 0)
		return set_report_mode(faults, value);
	if (strcmp(name, "route") != 0)
		return false;
	g_free(faults->route);
	faults->route = *value != '\0' ? g_strdup(value) : NULL;
	return true;
}

void
faults_start(faults_t *faults, gint64 now_us)
{
	faults->started_us = now_us;
	faults->calls = 0;
	faults->faulty_calls = 0;
}

static bool
is_active(
    const faults_t *faults, const char *path, uint32_t in_flight, gint64 now_us)
{
	if (now_us - faults->started_us <
	    (gint64)faults->after_s * G_USEC_PER_SEC)
		return false;
	if (faults->calls <= faults->after_calls || in_flight < faults->at_load)
		return false;
	return faults->route == NULL || g_str_has_prefix(path, faults->route);
}

/* True if call number n is among a percentage spread evenly over all calls. */
static bool
is_due(uint64_t n, uint32_t percent)
{
	return n * percent / 100 > (n - 1) * percent / 100;
}

call_faults_t
faults_next_call(
    faults_t *faults, const char *path, uint32_t in_flight, gint64 now_us)
{
	call_faults_t call = { 0 };

	faults->calls++;
	if (!is_active(faults, path, in_flight, now_us))
		return call;
	faults->faulty_calls++;
	call.fail = is_due(faults->faulty_calls, faults->fail_percent);
	call.shed = is_due(faults->faulty_calls, faults->shed_percent);
	call.hang = faults->hang;
	call.truncate = faults->truncate;
	call.omit_id = faults->omit_id;
	call.slow_ms = faults->slow_ms;
	return call;
}
