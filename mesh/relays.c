#include <string.h>

#include "mesh/relays.h"

static bool
precedes(const bf_relay_candidate_t *a, const bf_relay_candidate_t *b)
{
	if (a->store_answers != b->store_answers)
		return a->store_answers;
	if (a->link_mbps != b->link_mbps)
		return a->link_mbps > b->link_mbps;
	return strcmp(a->instance, b->instance) < 0;
}

bool
bf_relays_include_self(
    const bf_relay_candidate_t *candidates, size_t count, uint32_t relay_count)
{
	const bf_relay_candidate_t *self = NULL;
	uint32_t preceding = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		if (candidates[i].is_self)
			self = &candidates[i];
	}
	if (self == NULL)
		return false;
	for (i = 0; i < count; i++)
		preceding += precedes(&candidates[i], self) ? 1 : 0;
	return preceding < relay_count;
}
