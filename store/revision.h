#ifndef BF_STORE_REVISION_H
#define BF_STORE_REVISION_H

#include <stdint.h>

/*
 * Revisions of the store over its eras.  A store that is restored from an old
 * copy loses its latest revisions, gives their numbers out again, and states a
 * greater era from then on.  Here a revision is the era and the number in one
 * value, which never goes back.  In era 0 it equals the number.
 *
 * An entry that is part of the copy keeps its number but belongs to the new
 * era, so it is read as a change: its reader compares what it says.
 */

#define BF_REVISION_NUMBER_BITS 44
#define BF_REVISION_NUMBER_MAX ((UINT64_C(1) << BF_REVISION_NUMBER_BITS) - 1)
/* Revisions are logged as signed integers. */
#define BF_ERA_MAX ((UINT32_C(1) << (63 - BF_REVISION_NUMBER_BITS)) - 1)

static inline uint64_t
bf_revision_make(uint32_t era, uint64_t number)
{
	return (uint64_t)era << BF_REVISION_NUMBER_BITS |
	    (number & BF_REVISION_NUMBER_MAX);
}

static inline uint32_t
bf_revision_era(uint64_t revision)
{
	return (uint32_t)(revision >> BF_REVISION_NUMBER_BITS);
}

static inline uint64_t
bf_revision_number(uint64_t revision)
{
	return revision & BF_REVISION_NUMBER_MAX;
}

#endif
