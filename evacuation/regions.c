#include <string.h>

#include "evacuation/regions.h"

/* The region of a zone; NULL: it is not mapped. */
static const char *
region_of(const char *const *zones, size_t zone_count, const char *zone)
{
	size_t bytes = strlen(zone), i;

	for (i = 0; i < zone_count; i++) {
		if (strncmp(zones[i], zone, bytes) == 0 &&
		    zones[i][bytes] == '=')
			return &zones[i][bytes + 1];
	}
	return NULL;
}

static bool
lists(const char *const *regions, const char *region)
{
	if (regions == NULL)
		return true;
	for (; region != NULL && *regions != NULL; regions++) {
		if (strcmp(*regions, region) == 0)
			return true;
	}
	return false;
}

bool
bf_regions_allow(const char *const *zones, size_t zone_count, const char *zone,
    const char *const *of_route, const char *const *of_account)
{
	const char *region;

	if (of_route == NULL && of_account == NULL)
		return true;
	region = region_of(zones, zone_count, zone);
	return lists(of_route, region) && lists(of_account, region);
}
