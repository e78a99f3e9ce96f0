#ifndef BF_EVACUATION_REGIONS_H
#define BF_EVACUATION_REGIONS_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Allowed regions: where the calls of a route or an account may run.
 *
 * Handles the failure "data leaves the regions that it may be in when the
 * targets there are full or gone": a call is refused rather than sent to
 * another region.
 */

/*
 * Whether a call may go to a target in the zone.  zones maps each zone to its
 * region, as "ZONE=REGION".  Each list of regions is NULL-terminated; NULL
 * allows all.  A zone that is not mapped is in no region.
 */
bool bf_regions_allow(const char *const *zones, size_t zone_count,
    const char *zone, const char *const *of_route,
    const char *const *of_account);

#endif
