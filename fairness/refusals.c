#include "fairness/refusals.h"

/* Part of the expected wait for which calls are refused without an offer. */
#define REFUSED_PART 0.5
/* Bounds that time: what is known of the targets' load is no older. */
#define REFUSED_US_MAX (40 * BF_US_PER_MS)

void
bf_refusals_record(bf_refusals_t *refusals, uint64_t kind, bf_time_us_t wait_us,
    bf_time_us_t left_us, bf_time_us_t now_us)
{
	bf_refusal_t *entry = &refusals->entries[kind % BF_REFUSALS_MAX];
	bf_time_us_t refused_us =
	    (bf_time_us_t)(REFUSED_PART * (double)wait_us);

	if (refused_us > REFUSED_US_MAX)
		refused_us = REFUSED_US_MAX;
	*entry = (bf_refusal_t){ .kind = kind,
		.until_us = now_us + refused_us,
		.free_at_us = now_us + wait_us,
		.left_us = left_us };
}

bf_time_us_t
bf_refusals_wait_us(const bf_refusals_t *refusals, uint64_t kind,
    bf_time_us_t left_us, bf_time_us_t now_us)
{
	const bf_refusal_t *entry = &refusals->entries[kind % BF_REFUSALS_MAX];

	if (entry->kind != kind || now_us >= entry->until_us ||
	    left_us > entry->left_us)
		return 0;
	return entry->free_at_us - now_us;
}
