#include <string.h>

#include "base/digest.h"
#include "member/overlay.h"

/* Minimum number of members in a zone whose rings give each two neighbours. */
#define ZONE_MEMBERS_MIN 3

void
bf_overlay_init(bf_overlay_t *overlay, const char *instance, const char *zone)
{
	bf_overlay_ring_t *ring;
	size_t i;

	memset(overlay, 0, sizeof(*overlay));
	memcpy(overlay->own_instance, instance,
	    strnlen(instance, BF_NAME_BYTES - 1));
	memcpy(overlay->own_zone, zone, strnlen(zone, BF_NAME_BYTES - 1));
	overlay->zone_member_count = 1;
	for (i = 0; i < BF_OVERLAY_RINGS; i++) {
		ring = &overlay->rings[i];
		ring->all_zones = i >= 2;
		ring->seed = i;
		ring->own_hash = bf_hash_text(instance, ring->seed);
	}
}

/* Differences of hashes are modulo 2^64, which closes the order to a ring. */
static void
ring_add(bf_overlay_ring_t *ring, const char *instance)
{
	uint64_t hash;
	size_t bytes;

	hash = bf_hash_text(instance, ring->seed);
	bytes = strnlen(instance, BF_NAME_BYTES - 1) + 1;
	if (ring->successor[0] == '\0' ||
	    hash - ring->own_hash < ring->successor_hash - ring->own_hash) {
		ring->successor_hash = hash;
		memcpy(ring->successor, instance, bytes);
	}
	if (ring->predecessor[0] == '\0' ||
	    ring->own_hash - hash < ring->own_hash - ring->predecessor_hash) {
		ring->predecessor_hash = hash;
		memcpy(ring->predecessor, instance, bytes);
	}
}

void
bf_overlay_add(bf_overlay_t *overlay, const char *instance, const char *zone)
{
	bool in_zone;
	size_t i;

	if (strcmp(instance, overlay->own_instance) == 0)
		return;
	in_zone = strcmp(zone, overlay->own_zone) == 0;
	if (in_zone)
		overlay->zone_member_count++;
	for (i = 0; i < BF_OVERLAY_RINGS; i++) {
		if (overlay->rings[i].all_zones || in_zone)
			ring_add(&overlay->rings[i], instance);
	}
}

size_t
bf_overlay_ring_count(const bf_overlay_t *overlay)
{
	if (overlay->zone_member_count < ZONE_MEMBERS_MIN)
		return BF_OVERLAY_RINGS;
	return BF_OVERLAY_RINGS - 1;
}

bool
bf_overlay_dials(const bf_overlay_t *overlay, const char *instance)
{
	size_t i;

	for (i = 0; i < bf_overlay_ring_count(overlay); i++) {
		if (strcmp(overlay->rings[i].successor, instance) == 0)
			return true;
	}
	return false;
}

bool
bf_overlay_dialled_by(const bf_overlay_t *overlay, const char *instance)
{
	size_t i;

	for (i = 0; i < bf_overlay_ring_count(overlay); i++) {
		if (strcmp(overlay->rings[i].predecessor, instance) == 0)
			return true;
	}
	return false;
}
