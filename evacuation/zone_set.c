#include <stdio.h>
#include <string.h>

#include "evacuation/zone_set.h"

static uint32_t
find_zone(const bf_zone_set_t *set, const char *zone)
{
	uint32_t i;

	for (i = 0; i < set->count; i++) {
		if (strcmp(set->zones[i], zone) == 0)
			break;
	}
	return i;
}

bool
bf_zone_set_has(const bf_zone_set_t *set, const char *zone)
{
	return find_zone(set, zone) < set->count;
}

bool
bf_zone_set_equal(const bf_zone_set_t *a, const bf_zone_set_t *b)
{
	uint32_t i;

	if (a->count != b->count)
		return false;
	for (i = 0; i < a->count; i++) {
		if (!bf_zone_set_has(b, a->zones[i]))
			return false;
	}
	return true;
}

static bool
is_zone_name(const char *zone)
{
	return zone[0] != '\0' && strlen(zone) < BF_NAME_BYTES;
}

bool
bf_zone_set_add(bf_zone_set_t *set, const char *zone)
{
	if (!is_zone_name(zone))
		return false;
	if (bf_zone_set_has(set, zone))
		return true;
	if (set->count == BF_ZONES_EVACUATED_MAX)
		return false;
	(void)snprintf(
	    set->zones[set->count++], sizeof(set->zones[0]), "%s", zone);
	return true;
}

void
bf_zone_set_remove(bf_zone_set_t *set, const char *zone)
{
	uint32_t i = find_zone(set, zone);

	if (i == set->count)
		return;
	set->count--;
	memmove(set->zones[i], set->zones[set->count], sizeof(set->zones[0]));
}

bf_zone_set_merge_t
bf_zone_set_merge(bf_zone_set_t *set, const bf_zone_set_t *other)
{
	bool is_same;

	if (!other->known || (set->known && other->revision <= set->revision))
		return BF_ZONE_SET_KEPT;
	is_same = set->known && bf_zone_set_equal(set, other);
	*set = *other;
	return is_same ? BF_ZONE_SET_CONFIRMED : BF_ZONE_SET_CHANGED;
}

void
bf_zone_reader_begin_list(bf_zone_reader_t *reader)
{
	reader->count = 0;
}

void
bf_zone_reader_carry(
    bf_zone_reader_t *reader, const bf_zone_set_t *set, bf_time_us_t until_us)
{
	reader->carried = *set;
	reader->carried_until_us = until_us;
}

static bool
is_reported(const bf_zone_reader_t *reader, const char *zone)
{
	uint32_t i;

	for (i = 0; i < reader->count; i++) {
		if (strcmp(reader->reports[i].zone, zone) == 0)
			return true;
	}
	return false;
}

/* The report of the zone, or a new one; NULL: there are too many. */
static bf_zone_report_t *
find_report(bf_zone_reader_t *reader, const char *zone)
{
	bf_zone_report_t *report, *unused = NULL;
	uint32_t i;

	for (i = 0; i < reader->count; i++) {
		report = &reader->reports[i];
		if (strcmp(report->zone, zone) == 0)
			return report;
		if (!report->evacuated)
			unused = report;
	}
	if (reader->count < BF_ZONES_EVACUATED_MAX)
		unused = &reader->reports[reader->count++];
	if (unused == NULL)
		return NULL;
	*unused = (bf_zone_report_t){ 0 };
	(void)snprintf(unused->zone, sizeof(unused->zone), "%s", zone);
	return unused;
}

bool
bf_zone_reader_report(
    bf_zone_reader_t *reader, const char *zone, uint64_t revision, bool deleted)
{
	bf_zone_report_t *report;

	if (!is_zone_name(zone))
		return false;
	report = find_report(reader, zone);
	if (report == NULL)
		return false;
	if (revision >= report->revision) {
		report->revision = revision;
		report->evacuated = !deleted;
	}
	return true;
}

bf_zone_set_t
bf_zone_reader_set(
    const bf_zone_reader_t *reader, uint64_t revision, bf_time_us_t now_us)
{
	bf_zone_set_t set = { .known = true, .revision = revision };
	const char *zone;
	uint32_t i;

	for (i = 0; i < reader->count; i++) {
		if (reader->reports[i].evacuated)
			(void)bf_zone_set_add(&set, reader->reports[i].zone);
	}
	for (i = 0;
	     now_us < reader->carried_until_us && i < reader->carried.count;
	     i++) {
		zone = reader->carried.zones[i];
		if (!is_reported(reader, zone))
			(void)bf_zone_set_add(&set, zone);
	}
	return set;
}
