#include <stddef.h>

#include "fairness/shares.h"

static const bf_fair_clock_t *
find_clock(const bf_fair_shares_t *shares, uint32_t priority)
{
	uint32_t i;

	for (i = 0; i < shares->clock_count; i++) {
		if (shares->clocks[i].priority == priority)
			return &shares->clocks[i];
	}
	return NULL;
}

/* Forgets the accounts of the clock's priority that have no calls here. */
static void
forget_priority(bf_fair_shares_t *shares, uint32_t priority)
{
	uint32_t i;

	for (i = 0; i < shares->share_count; i++) {
		bf_fair_share_t *share = &shares->shares[i];

		if (share->priority != priority)
			continue;
		if (share->held == 0)
			share->priority = UINT32_MAX; /* matches no call */
		share->tag_us = 0;
	}
}

static bf_fair_clock_t *
use_clock(bf_fair_shares_t *shares, uint32_t priority)
{
	bf_fair_clock_t *clock, *oldest = &shares->clocks[0];
	uint32_t i;

	clock = (bf_fair_clock_t *)(uintptr_t)find_clock(shares, priority);
	if (clock == NULL && shares->clock_count < BF_FAIR_CLOCKS_MAX) {
		clock = &shares->clocks[shares->clock_count++];
		*clock = (bf_fair_clock_t){ .priority = priority };
	}
	for (i = 1; clock == NULL && i < shares->clock_count; i++) {
		if (shares->clocks[i].used < oldest->used)
			oldest = &shares->clocks[i];
	}
	if (clock == NULL) {
		clock = oldest;
		forget_priority(shares, clock->priority);
		*clock = (bf_fair_clock_t){ .priority = priority };
	}
	clock->used = ++shares->clock_uses;
	return clock;
}

static bf_fair_share_t *
find_share(const bf_fair_shares_t *shares, uint64_t account, uint32_t priority)
{
	uint32_t i;

	for (i = 0; i < shares->share_count; i++) {
		const bf_fair_share_t *share = &shares->shares[i];

		if (share->account == account && share->priority == priority)
			return (bf_fair_share_t *)(uintptr_t)share;
	}
	return NULL;
}

/* How far the account is ahead of its priority's virtual time. */
static double
lead_us(const bf_fair_shares_t *shares, const bf_fair_share_t *share)
{
	const bf_fair_clock_t *clock = find_clock(shares, share->priority);

	return clock != NULL ? share->tag_us - clock->now_us : 0;
}

/* A share to use for another account: the one whose tag matters least. */
static bf_fair_share_t *
replaceable_share(bf_fair_shares_t *shares)
{
	bf_fair_share_t *best = NULL, *share;
	uint32_t i;

	if (shares->share_count < BF_FAIR_SHARES_MAX)
		return &shares->shares[shares->share_count++];
	for (i = 0; i < shares->share_count; i++) {
		share = &shares->shares[i];
		if (share->held == 0 &&
		    (best == NULL ||
			lead_us(shares, share) < lead_us(shares, best)))
			best = share;
	}
	return best;
}

bf_fair_share_t *
bf_fair_shares_hold(bf_fair_shares_t *shares, uint64_t account,
    uint32_t priority, uint32_t weight)
{
	bf_fair_share_t *share = find_share(shares, account, priority);
	const bf_fair_clock_t *clock = use_clock(shares, priority);

	if (share == NULL) {
		share = replaceable_share(shares);
		if (share == NULL)
			return NULL;
		*share = (bf_fair_share_t){ .account = account,
			.priority = priority,
			.tag_us = clock->now_us };
	}
	share->weight = weight > 0 ? weight : 1;
	share->held++;
	return share;
}

void
bf_fair_shares_release(bf_fair_share_t *share)
{
	if (share != NULL)
		share->held--;
}

static void
raise_to_clock(bf_fair_share_t *share, const bf_fair_clock_t *clock)
{
	if (share->waiting == 0 && share->tag_us < clock->now_us)
		share->tag_us = clock->now_us;
}

void
bf_fair_shares_begin_wait(bf_fair_shares_t *shares, bf_fair_share_t *share)
{
	if (share == NULL)
		return;
	raise_to_clock(share, use_clock(shares, share->priority));
	share->waiting++;
}

void
bf_fair_shares_end_wait(bf_fair_share_t *share)
{
	if (share != NULL)
		share->waiting--;
}

void
bf_fair_shares_charge(
    bf_fair_shares_t *shares, bf_fair_share_t *share, double run_us)
{
	bf_fair_clock_t *clock;
	double lowest_us;
	uint32_t i;

	if (share == NULL)
		return;
	clock = use_clock(shares, share->priority);
	raise_to_clock(share, clock);
	lowest_us = share->tag_us;
	for (i = 0; i < shares->share_count; i++) {
		const bf_fair_share_t *other = &shares->shares[i];

		if (other->priority == share->priority && other->waiting > 0 &&
		    other->tag_us < lowest_us)
			lowest_us = other->tag_us;
	}
	if (lowest_us > clock->now_us)
		clock->now_us = lowest_us;
	share->tag_us += run_us / share->weight;
}

void
bf_fair_shares_correct(bf_fair_share_t *share, double extra_us)
{
	if (share != NULL)
		share->tag_us += extra_us / share->weight;
}

double
bf_fair_shares_tag(
    const bf_fair_shares_t *shares, uint64_t account, uint32_t priority)
{
	const bf_fair_share_t *share = find_share(shares, account, priority);
	const bf_fair_clock_t *clock = find_clock(shares, priority);
	double now_us = clock != NULL ? clock->now_us : 0;

	if (share == NULL)
		return now_us;
	if (share->waiting == 0 && share->tag_us < now_us)
		return now_us;
	return share->tag_us;
}
