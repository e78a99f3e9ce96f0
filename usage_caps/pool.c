#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "usage_caps/pool.h"

/* A lender whose lease ended this long ago is removed with its claims. */
#define LENDER_REMOVE_US (3 * BF_US_PER_S)
#define WAIT_MAX_US (60 * BF_US_PER_S)
#define CAPACITY_FIRST 16

bool
bf_caps_pool_init(
    bf_caps_pool_t *pool, bf_caps_limit_fn_t limit, void *limit_ctx)
{
	*pool = (bf_caps_pool_t){ .limit = limit, .limit_ctx = limit_ctx };
	if (apr_pool_create(&pool->memory, NULL) != APR_SUCCESS)
		return false;
	pool->by_id = apr_hash_make(pool->memory);
	return true;
}

void
bf_caps_pool_free(bf_caps_pool_t *pool)
{
	size_t i;

	for (i = 0; i < pool->account_count; i++)
		free(pool->accounts[i]);
	for (i = 0; i < pool->lender_count; i++)
		free(pool->lenders[i].claims);
	free(pool->accounts);
	free(pool->lenders);
	if (pool->memory != NULL)
		apr_pool_destroy(pool->memory);
	*pool = (bf_caps_pool_t){ .limit = NULL };
}

bf_caps_account_t *
bf_caps_pool_account(bf_caps_pool_t *pool, uint64_t id)
{
	bf_caps_account_t *account, **grown;
	size_t capacity;

	account = apr_hash_get(pool->by_id, &id, sizeof(id));
	if (account != NULL)
		return account;
	if (pool->account_count == pool->account_capacity) {
		capacity = pool->account_capacity == 0
		    ? CAPACITY_FIRST
		    : 2 * pool->account_capacity;
		grown = realloc(
		    pool->accounts, capacity * sizeof(bf_caps_account_t *));
		if (grown == NULL)
			return NULL;
		pool->accounts = grown;
		pool->account_capacity = capacity;
	}
	account = calloc(1, sizeof(*account));
	if (account == NULL)
		return NULL;
	account->id = id;
	account->index = pool->account_count;
	account->made_at = pool->made;
	pool->accounts[pool->account_count++] = account;
	apr_hash_set(pool->by_id, &account->id, sizeof(account->id), account);
	return account;
}

static void
roll_period(bf_caps_pool_t *pool, bf_caps_lender_t *lender, bf_time_us_t now_us)
{
	bf_caps_claim_t *claim;
	bool both = now_us - lender->period_us >= 2 * BF_CAPS_GRANT_US;
	size_t i;

	if (now_us - lender->period_us < BF_CAPS_GRANT_US)
		return;
	for (i = 0; i < lender->claim_count; i++) {
		claim = &lender->claims[i];
		pool->accounts[i]->granted -= claim->granted[1];
		claim->granted[1] = claim->granted[0];
		claim->granted[0] = 0;
		if (both) {
			pool->accounts[i]->granted -= claim->granted[1];
			claim->granted[1] = 0;
		}
	}
	lender->period_us = now_us;
}

static void
clear_demand(bf_caps_account_t *account, bf_caps_claim_t *claim)
{
	account->unmet -= claim->needed;
	account->unmet_wish -= claim->wished;
	claim->needed = 0;
	claim->wished = 0;
}

static void
remove_lender(bf_caps_pool_t *pool, size_t index)
{
	bf_caps_lender_t *lender = &pool->lenders[index];
	size_t i;

	for (i = 0; i < lender->claim_count; i++) {
		pool->accounts[i]->granted -=
		    lender->claims[i].granted[0] + lender->claims[i].granted[1];
		clear_demand(pool->accounts[i], &lender->claims[i]);
	}
	free(lender->claims);
	*lender = pool->lenders[--pool->lender_count];
}

uint64_t
bf_caps_pool_share(const bf_caps_pool_t *pool, bf_time_us_t min_until_us,
    bf_time_us_t *until_us)
{
	const bf_caps_lender_t *lender;
	uint64_t share = 0;
	size_t i;

	*until_us = INT64_MAX;
	for (i = 0; i < pool->lender_count; i++) {
		lender = &pool->lenders[i];
		if (lender->share == 0 || lender->until_us < min_until_us)
			continue;
		share += lender->share;
		if (lender->until_us < *until_us)
			*until_us = lender->until_us;
	}
	return share;
}

/* The share that creates tokens now. */
static double
present_share(const bf_caps_pool_t *pool, bf_time_us_t now_us)
{
	bf_time_us_t until_us;

	if (now_us < pool->lent_until_us)
		return 0;
	return (double)bf_caps_pool_share(pool, now_us + 1, &until_us) /
	    (double)BF_CAPS_SHARE_WHOLE;
}

double
bf_caps_pool_cap(const bf_caps_pool_t *pool, const bf_caps_account_t *account,
    bf_time_us_t now_us)
{
	double share = present_share(pool, now_us);
	bf_caps_limit_t limit;

	if (share <= 0 || !pool->limit(pool->limit_ctx, account->id, &limit))
		return 0;
	/* With less than one token a small account would get none at all. */
	return share * limit.burst > 1 ? share * limit.burst : 1;
}

/* Adds what was created since the last time, up to the cap. */
static void
refresh(bf_caps_pool_t *pool, bf_caps_account_t *account, bf_time_us_t now_us)
{
	bf_caps_limit_t limit;
	double room;

	if (pool->limit(pool->limit_ctx, account->id, &limit))
		account->tokens +=
		    (pool->made - account->made_at) * limit.rate_per_s;
	account->made_at = pool->made;
	room = bf_caps_pool_cap(pool, account, now_us) - account->granted;
	if (account->tokens > room)
		account->tokens = room > 0 ? room : 0;
}

void
bf_caps_pool_settle(bf_caps_pool_t *pool, bf_time_us_t now_us)
{
	bf_time_us_t from_us, to_us;
	bf_caps_lender_t *lender;
	double share;
	size_t i;

	for (i = 0; i < pool->lender_count; i++) {
		lender = &pool->lenders[i];
		from_us = lender->made_us > pool->lent_until_us
		    ? lender->made_us
		    : pool->lent_until_us;
		to_us = now_us < lender->until_us ? now_us : lender->until_us;
		if (to_us > from_us)
			pool->made += (double)lender->share /
			    (double)BF_CAPS_SHARE_WHOLE *
			    (double)(to_us - from_us) / (double)BF_US_PER_S;
		if (now_us > lender->made_us)
			lender->made_us = now_us;
		roll_period(pool, lender, now_us);
	}
	for (i = pool->lender_count; i-- > 0;) {
		if (now_us - pool->lenders[i].until_us > LENDER_REMOVE_US)
			remove_lender(pool, i);
	}
	share = present_share(pool, now_us);
	for (i = 0; share < pool->share && i < pool->account_count; i++)
		refresh(pool, pool->accounts[i], now_us);
	pool->share = share;
}

bf_caps_lender_t *
bf_caps_pool_lend(bf_caps_pool_t *pool, uint64_t id, uint64_t share,
    bf_time_us_t until_us, bf_time_us_t now_us)
{
	bf_caps_lender_t *lender = NULL, *grown;
	size_t capacity, i;

	bf_caps_pool_settle(pool, now_us);
	for (i = 0; i < pool->lender_count && lender == NULL; i++) {
		if (pool->lenders[i].id == id)
			lender = &pool->lenders[i];
	}
	if (lender == NULL && pool->lender_count == pool->lender_capacity) {
		capacity = pool->lender_capacity == 0
		    ? CAPACITY_FIRST
		    : 2 * pool->lender_capacity;
		grown =
		    realloc(pool->lenders, capacity * sizeof(*pool->lenders));
		if (grown == NULL)
			return NULL;
		pool->lenders = grown;
		pool->lender_capacity = capacity;
	}
	if (lender == NULL) {
		lender = &pool->lenders[pool->lender_count++];
		*lender = (bf_caps_lender_t){ .id = id, .period_us = now_us };
	}
	lender->made_us = now_us;
	lender->share = until_us > now_us ? share : 0;
	lender->until_us = until_us > now_us ? until_us : now_us;
	return lender;
}

double
bf_caps_pool_tokens(
    bf_caps_pool_t *pool, bf_caps_account_t *account, bf_time_us_t now_us)
{
	bf_caps_pool_settle(pool, now_us);
	refresh(pool, account, now_us);
	return account->tokens;
}

bf_time_us_t
bf_caps_pool_wait_us(
    bf_caps_pool_t *pool, bf_caps_account_t *account, bf_time_us_t now_us)
{
	double tokens = bf_caps_pool_tokens(pool, account, now_us);
	double share = present_share(pool, now_us), wait_us;
	bf_caps_limit_t limit;

	if (share <= 0 || !pool->limit(pool->limit_ctx, account->id, &limit) ||
	    limit.rate_per_s <= 0)
		return BF_US_PER_S;
	wait_us = (1 - (tokens < 1 ? tokens : 1)) / (share * limit.rate_per_s) *
	    (double)BF_US_PER_S;
	return wait_us < (double)WAIT_MAX_US ? (bf_time_us_t)wait_us
					     : WAIT_MAX_US;
}

bf_caps_claim_t *
bf_caps_pool_claim(bf_caps_lender_t *lender, const bf_caps_account_t *account)
{
	bf_caps_claim_t *grown;
	size_t count;

	if (account->index >= lender->claim_count) {
		count = account->index + 1;
		grown = realloc(lender->claims, count * sizeof(*grown));
		if (grown == NULL)
			return NULL;
		memset(&grown[lender->claim_count], 0,
		    (count - lender->claim_count) * sizeof(*grown));
		lender->claims = grown;
		lender->claim_count = count;
	}
	return &lender->claims[account->index];
}

/* Stops counting stock; returns how much of it was counted. */
static uint32_t
uncount(bf_caps_account_t *account, bf_caps_claim_t *claim, uint32_t tokens)
{
	uint32_t done = 0, part;
	int i;

	for (i = 1; i >= 0; i--) {
		part = tokens - done < claim->granted[i] ? tokens - done
							 : claim->granted[i];
		claim->granted[i] -= part;
		done += part;
	}
	account->granted -= done;
	return done;
}

uint32_t
bf_caps_pool_report(bf_caps_pool_t *pool, bf_caps_lender_t *lender,
    const bf_caps_item_t *item, bf_time_us_t now_us)
{
	bf_caps_account_t *account = bf_caps_pool_account(pool, item->account);
	bf_caps_claim_t *claim;
	uint32_t credited;

	if (account == NULL)
		return 0;
	claim = bf_caps_pool_claim(lender, account);
	if (claim == NULL)
		return 0;
	(void)bf_caps_pool_tokens(pool, account, now_us);
	(void)uncount(account, claim, item->used);
	credited = uncount(account, claim, item->returned);
	if (now_us >= pool->lent_until_us)
		account->tokens += credited;
	if (claim->needed > 0 && now_us - claim->needed_us > BF_CAPS_NEED_US) {
		account->unmet -= claim->needed;
		claim->needed = 0;
	}
	if (item->needed > 0)
		claim->needed_us = now_us;
	claim->needed += item->needed;
	account->unmet += item->needed;
	account->unmet_wish += item->wished - claim->wished;
	claim->wished = item->wished;
	return credited;
}

void
bf_caps_pool_count_grant(
    bf_caps_account_t *account, bf_caps_claim_t *claim, uint32_t tokens)
{
	claim->granted[0] += tokens;
	account->granted += tokens;
}
