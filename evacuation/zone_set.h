#ifndef BF_EVACUATION_ZONE_SET_H
#define BF_EVACUATION_ZONE_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "member/record.h"

/*
 * The set of availability zones that operators have evacuated.
 *
 * Handles the failure "nodes learn of an evacuation, or of its end, by several
 * ways of different age": watches and lists of several relays, and relays of
 * other zones.  Each set has the revision of the store as of which it is valid,
 * and the greater one wins.  Revisions hold the era of the store, so those that
 * follow its restoration from an old copy are greater.
 */

/* Greater than the number of zones of any mesh; bounds a frame's size. */
#define BF_ZONES_EVACUATED_MAX 32

typedef struct bf_zone_set {
	bool known;        /* false: no reading yet, and no zones */
	uint64_t revision; /* of the store, as of which it is valid */
	uint32_t count;
	char zones[BF_ZONES_EVACUATED_MAX][BF_NAME_BYTES];
} bf_zone_set_t;

bool bf_zone_set_has(const bf_zone_set_t *set, const char *zone);
/* Whether both have the same zones, whatever their readings. */
bool bf_zone_set_equal(const bf_zone_set_t *a, const bf_zone_set_t *b);
/*
 * Adds a zone once.  Returns false, and changes nothing, if its name is empty
 * or too long, or if the set is full.
 */
bool bf_zone_set_add(bf_zone_set_t *set, const char *zone);
void bf_zone_set_remove(bf_zone_set_t *set, const char *zone);

typedef enum bf_zone_set_merge {
	BF_ZONE_SET_KEPT,      /* other is unknown or not newer */
	BF_ZONE_SET_CONFIRMED, /* only the revision is newer */
	BF_ZONE_SET_CHANGED    /* the zones are others, or known now */
} bf_zone_set_merge_t;

/* Replaces set by other if other has the greater revision. */
bf_zone_set_merge_t bf_zone_set_merge(
    bf_zone_set_t *set, const bf_zone_set_t *other);

/*
 * The zones that one watcher of the store has seen.  A list reports the keys
 * that exist, then a watch reports each change.  A key may be reported more
 * than once; the report with the greatest revision counts.
 */
typedef struct bf_zone_report {
	char zone[BF_NAME_BYTES];
	uint64_t revision;
	bool evacuated; /* false: its key was deleted */
} bf_zone_report_t;

typedef struct bf_zone_reader {
	uint32_t count;
	bf_zone_report_t reports[BF_ZONES_EVACUATED_MAX];
	bf_zone_set_t carried; /* see bf_zone_reader_carry */
	bf_time_us_t carried_until_us;
} bf_zone_reader_t;

/* A list of all keys begins: forgets all that was reported. */
void bf_zone_reader_begin_list(bf_zone_reader_t *reader);
/*
 * The store was restored from an old copy, which may lack the key of a zone of
 * this set.  Until the operator has had the time to write it again, zones of
 * which nothing is reported stay evacuated.
 */
void bf_zone_reader_carry(
    bf_zone_reader_t *reader, const bf_zone_set_t *set, bf_time_us_t until_us);
/*
 * Records the key of a zone.  Returns false if the zone has no valid name or
 * there are too many.
 */
bool bf_zone_reader_report(bf_zone_reader_t *reader, const char *zone,
    uint64_t revision, bool deleted);
/*
 * The set as of this revision.  Only when all changes up to it were reported,
 * so not before a list is complete: zones that it lacks are not evacuated.
 */
bf_zone_set_t bf_zone_reader_set(
    const bf_zone_reader_t *reader, uint64_t revision, bf_time_us_t now_us);

#endif
