#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "evacuation/regions.h"
#include "evacuation/zone_set.h"
#include "store/revision.h"

/* The set of evacuated zones, and the regions in which calls may run. */

static bf_zone_set_t
set_at(uint32_t era, uint64_t number, const char *zone)
{
	bf_zone_set_t set = { .known = true,
		.revision = bf_revision_make(era, number) };

	if (zone != NULL)
		g_assert_true(bf_zone_set_add(&set, zone));
	return set;
}

/* A relay that is behind, or a frame that took long, undoes nothing. */
static void
test_newer_reading_wins(void)
{
	bf_zone_set_t set = { 0 }, other = { 0 };

	g_assert_cmpint(bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_KEPT);
	g_assert_false(set.known);
	other = set_at(0, 10, NULL);
	g_assert_cmpint(
	    bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_CHANGED);
	other = set_at(0, 12, "b");
	g_assert_cmpint(
	    bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_CHANGED);
	g_assert_true(bf_zone_set_has(&set, "b"));
	other = set_at(0, 11, NULL);
	g_assert_cmpint(bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_KEPT);
	g_assert_true(bf_zone_set_has(&set, "b"));
	other = set_at(0, 12, NULL);
	g_assert_cmpint(bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_KEPT);
	other = set_at(0, 20, "b");
	g_assert_cmpint(
	    bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_CONFIRMED);
	other = set_at(0, 15, "a");
	g_assert_cmpint(bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_KEPT);
	other = set_at(0, 21, NULL);
	g_assert_cmpint(
	    bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_CHANGED);
	g_assert_cmpuint(set.count, ==, 0);
}

/* After a restore of the store, revisions are lower in a greater era. */
static void
test_newer_era_wins(void)
{
	bf_zone_set_t set = set_at(1, 100, "a"), other = set_at(2, 7, "b");

	g_assert_cmpint(
	    bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_CHANGED);
	g_assert_true(bf_zone_set_has(&set, "b"));
	g_assert_false(bf_zone_set_has(&set, "a"));
	other = set_at(1, 200, "a");
	g_assert_cmpint(bf_zone_set_merge(&set, &other), ==, BF_ZONE_SET_KEPT);
}

/* A removal that a watch reports, also one reported before its put. */
static void
test_watch(void)
{
	bf_zone_reader_t reader = { 0 };
	bf_zone_set_t set;

	bf_zone_reader_begin_list(&reader);
	g_assert_true(bf_zone_reader_report(&reader, "a", 5, false));
	set = bf_zone_reader_set(&reader, 9, 0);
	g_assert_true(set.known);
	g_assert_cmpuint(set.revision, ==, 9);
	g_assert_true(bf_zone_set_has(&set, "a"));
	g_assert_true(bf_zone_reader_report(&reader, "a", 11, true));
	g_assert_true(bf_zone_reader_report(&reader, "a", 5, false));
	g_assert_true(bf_zone_reader_report(&reader, "b", 12, false));
	set = bf_zone_reader_set(&reader, 12, 0);
	g_assert_cmpuint(set.count, ==, 1);
	g_assert_true(bf_zone_set_has(&set, "b"));
	g_assert_true(bf_zone_reader_report(&reader, "a", 13, false));
	set = bf_zone_reader_set(&reader, 13, 0);
	g_assert_cmpuint(set.count, ==, 2);
}

/* A key that was deleted while no watch was open is missing in the list. */
static void
test_list_lacks_key(void)
{
	bf_zone_reader_t reader = { 0 };
	bf_zone_set_t set;

	bf_zone_reader_begin_list(&reader);
	g_assert_true(bf_zone_reader_report(&reader, "a", 5, false));
	g_assert_true(bf_zone_reader_report(&reader, "b", 6, false));
	bf_zone_reader_begin_list(&reader);
	g_assert_true(bf_zone_reader_report(&reader, "b", 6, false));
	set = bf_zone_reader_set(&reader, 20, 0);
	g_assert_cmpuint(set.count, ==, 1);
	g_assert_true(bf_zone_set_has(&set, "b"));
}

/*
 * The store is restored from a copy that lacks an evacuation: calls went to the
 * zone until the operator wrote the key again.
 */
static void
test_restored_copy_lacks_key(void)
{
	bf_zone_reader_t reader = { 0 };
	bf_zone_set_t set = set_at(0, 50, "a");

	g_assert_true(bf_zone_set_add(&set, "b"));
	g_assert_true(bf_zone_set_add(&set, "c"));
	bf_zone_reader_begin_list(&reader);
	g_assert_true(bf_zone_reader_report(&reader, "b", 5, false));
	bf_zone_reader_carry(&reader, &set, 1000);
	set = bf_zone_reader_set(&reader, bf_revision_make(1, 40), 999);
	g_assert_cmpuint(set.count, ==, 3);
	/* What is reported from then on counts. */
	g_assert_true(bf_zone_reader_report(&reader, "a", 41, true));
	g_assert_true(bf_zone_reader_report(&reader, "b", 42, true));
	set = bf_zone_reader_set(&reader, bf_revision_make(1, 42), 999);
	g_assert_cmpuint(set.count, ==, 1);
	g_assert_true(bf_zone_set_has(&set, "c"));
	set = bf_zone_reader_set(&reader, bf_revision_make(1, 43), 1000);
	g_assert_cmpuint(set.count, ==, 0);
}

/* Names that no zone has, and more zones than there can be, are refused. */
static void
test_bounds(void)
{
	char name[2 * BF_NAME_BYTES];
	bf_zone_set_t set = { 0 };
	bf_zone_reader_t reader = { 0 };
	uint32_t i;

	bf_zone_reader_begin_list(&reader);
	memset(name, 'z', sizeof(name));
	name[BF_NAME_BYTES] = '\0';
	g_assert_false(bf_zone_set_add(&set, name));
	g_assert_false(bf_zone_set_add(&set, ""));
	g_assert_false(bf_zone_reader_report(&reader, name, 1, false));
	g_assert_false(bf_zone_reader_report(&reader, "", 1, false));
	for (i = 0; i < BF_ZONES_EVACUATED_MAX; i++) {
		(void)snprintf(name, sizeof(name), "z%u", i);
		g_assert_true(bf_zone_set_add(&set, name));
		g_assert_true(bf_zone_set_add(&set, name));
		g_assert_true(
		    bf_zone_reader_report(&reader, name, i + 1, false));
	}
	g_assert_cmpuint(set.count, ==, BF_ZONES_EVACUATED_MAX);
	g_assert_false(bf_zone_set_add(&set, "more"));
	g_assert_false(bf_zone_reader_report(&reader, "more", 99, false));
	bf_zone_set_remove(&set, "z0");
	bf_zone_set_remove(&set, "none");
	g_assert_false(bf_zone_set_has(&set, "z0"));
	g_assert_true(bf_zone_set_add(&set, "more"));
	/* The place of a zone that is no longer evacuated is used again. */
	g_assert_true(bf_zone_reader_report(&reader, "z3", 98, true));
	g_assert_true(bf_zone_reader_report(&reader, "more", 99, false));
}

/* Routes and accounts both restrict; an unmapped zone is in no region. */
static void
test_regions(void)
{
	static const char *const zones[] = { "a=north", "ab=south", "c=east" };
	static const char *const north[] = { "north", NULL };
	static const char *const both[] = { "north", "south", NULL };
	static const char *const none[] = { NULL };

	g_assert_true(bf_regions_allow(zones, 3, "a", NULL, NULL));
	g_assert_true(bf_regions_allow(NULL, 0, "a", NULL, NULL));
	g_assert_true(bf_regions_allow(zones, 3, "a", north, NULL));
	g_assert_false(bf_regions_allow(zones, 3, "ab", north, NULL));
	g_assert_true(bf_regions_allow(zones, 3, "ab", both, NULL));
	g_assert_true(bf_regions_allow(zones, 3, "ab", NULL, both));
	g_assert_false(bf_regions_allow(zones, 3, "ab", both, north));
	g_assert_true(bf_regions_allow(zones, 3, "a", both, north));
	g_assert_false(bf_regions_allow(zones, 3, "c", both, NULL));
	g_assert_false(bf_regions_allow(zones, 3, "d", both, NULL));
	g_assert_false(bf_regions_allow(zones, 3, "a", none, NULL));
	g_assert_false(bf_regions_allow(NULL, 0, "a", both, NULL));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuation/newer-reading", test_newer_reading_wins);
	g_test_add_func(
	    "/evacuation/restored-copy", test_restored_copy_lacks_key);
	g_test_add_func("/evacuation/newer-era", test_newer_era_wins);
	g_test_add_func("/evacuation/watch", test_watch);
	g_test_add_func("/evacuation/list", test_list_lacks_key);
	g_test_add_func("/evacuation/bounds", test_bounds);
	g_test_add_func("/evacuation/regions", test_regions);
	return g_test_run();
}
