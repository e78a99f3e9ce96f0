#include <string.h>

#include "usage_caps/member.h"

/* The stock of a node is what it used in such a slot of time. */
#define USE_SLOT_US (200 * BF_US_PER_MS)
/* An account without a call for longer needs no stock. */
#define ACTIVE_US BF_US_PER_S
/* A request that was not answered by then is made again. */
#define ASKED_US (150 * BF_US_PER_MS)
/* Tokens for calls that wait, which waited themselves for this, are lost. */
#define URGENT_LIFE_US (2 * BF_CAPS_LATE_US)

bool
bf_caps_member_init(bf_caps_member_t *member, bf_time_us_t stock_us,
    bf_caps_limit_fn_t limit, void *limit_ctx)
{
	*member = (bf_caps_member_t){ .stock_us = stock_us };
	return bf_caps_pool_init(&member->pool, limit, limit_ctx);
}

void
bf_caps_member_free(bf_caps_member_t *member)
{
	bf_caps_pool_free(&member->pool);
}

bf_time_us_t
bf_caps_poll_interval_us(size_t member_count)
{
	bf_time_us_t interval_us =
	    (bf_time_us_t)member_count * BF_CAPS_POLL_PER_NODE_US;

	if (interval_us < BF_CAPS_POLL_MIN_US)
		return BF_CAPS_POLL_MIN_US;
	return interval_us < BF_CAPS_POLL_MAX_US ? interval_us
						 : BF_CAPS_POLL_MAX_US;
}

bool
bf_caps_member_is_lent(const bf_caps_member_t *member, bf_time_us_t now_us)
{
	return now_us < member->pool.lent_until_us;
}

static void
roll_slot(bf_caps_account_t *account, bf_time_us_t now_us)
{
	if (now_us - account->slot_us < USE_SLOT_US)
		return;
	account->uses[1] =
	    now_us - account->slot_us < 2 * USE_SLOT_US ? account->uses[0] : 0;
	account->uses[0] = 0;
	account->slot_us = now_us;
}

static void
note_use(bf_caps_account_t *account, uint32_t calls, bf_time_us_t now_us)
{
	if (calls == 0)
		return;
	roll_slot(account, now_us);
	account->uses[0] += calls;
	account->last_use_us = now_us;
}

static uint32_t
stock(bf_caps_account_t *account, bf_time_us_t now_us)
{
	int i;

	for (i = 0; i < 2; i++) {
		if (now_us >= account->stock[i].until_us)
			account->stock[i].tokens = 0;
	}
	return account->stock[0].tokens + account->stock[1].tokens;
}

static uint32_t
take_stock(bf_caps_account_t *account, uint32_t tokens)
{
	uint32_t taken = 0, part;
	int i;

	for (i = 0; i < 2; i++) {
		part = tokens - taken < account->stock[i].tokens
		    ? tokens - taken
		    : account->stock[i].tokens;
		account->stock[i].tokens -= part;
		taken += part;
	}
	return taken;
}

static void
add_stock(bf_caps_account_t *account, uint32_t tokens, bf_time_us_t until_us,
    bf_time_us_t now_us)
{
	if (tokens == 0 || until_us <= now_us)
		return;
	(void)stock(account, now_us);
	/* Of two batches that are joined, the earlier end counts. */
	if (account->stock[0].tokens == 0)
		account->stock[0] = account->stock[1];
	else if (account->stock[1].tokens > 0)
		account->stock[0].tokens += account->stock[1].tokens;
	account->stock[1] =
	    (bf_caps_batch_t){ .tokens = tokens, .until_us = until_us };
}

bool
bf_caps_member_take(bf_caps_member_t *member, uint64_t id, bf_time_us_t now_us)
{
	bf_caps_account_t *account = bf_caps_pool_account(&member->pool, id);

	if (account == NULL)
		return false;
	if (stock(account, now_us) > 0) {
		account->used += take_stock(account, 1);
	} else if (!bf_caps_member_is_lent(member, now_us) &&
	    bf_caps_pool_tokens(&member->pool, account, now_us) >= 1) {
		account->tokens -= 1;
	} else {
		return false;
	}
	note_use(account, 1, now_us);
	return true;
}

void
bf_caps_member_wait(bf_caps_member_t *member, uint64_t id, int32_t calls)
{
	bf_caps_account_t *account = bf_caps_pool_account(&member->pool, id);

	if (account != NULL)
		account->waiting =
		    (uint32_t)((int32_t)account->waiting + calls);
}

bf_time_us_t
bf_caps_member_wait_us(
    bf_caps_member_t *member, uint64_t id, bf_time_us_t now_us)
{
	bf_caps_account_t *account = bf_caps_pool_account(&member->pool, id);

	return account != NULL
	    ? bf_caps_pool_wait_us(&member->pool, account, now_us)
	    : BF_US_PER_S;
}

/* The stock that the account should have here. */
static uint32_t
stock_target(bf_caps_account_t *account, bf_time_us_t now_us)
{
	uint32_t uses;

	roll_slot(account, now_us);
	uses = account->uses[0] > account->uses[1] ? account->uses[0]
						   : account->uses[1];
	if (account->last_use_us == 0 ||
	    now_us - account->last_use_us > ACTIVE_US)
		uses = 0;
	else if (uses == 0)
		uses = 1;
	return uses + account->unmet_wish;
}

/* Gives back stock that is not needed, or would end before the next report. */
static void
return_stock(const bf_caps_member_t *member, bf_caps_account_t *account,
    uint32_t target, bf_time_us_t now_us)
{
	uint32_t held = stock(account, now_us), excess = 0;

	if (held > 2 * target)
		excess = held - target;
	if (account->stock[0].tokens > 0 &&
	    account->stock[0].until_us - now_us < member->stock_us / 4 &&
	    excess < account->stock[0].tokens)
		excess = account->stock[0].tokens;
	account->returned += take_stock(account, excess);
}

/* Calls that wait here or behind lenders, and are not asked for yet. */
static uint32_t
unasked(bf_caps_account_t *account, bf_time_us_t now_us)
{
	uint32_t needed = account->waiting + account->unmet;

	if (account->asked > 0 && now_us - account->asked_us > ASKED_US)
		account->asked = 0;
	return needed > account->asked ? needed - account->asked : 0;
}

static void
write_items(
    bf_caps_member_t *member, bf_caps_report_t *report, bf_time_us_t now_us)
{
	bf_caps_account_t *account;
	bf_caps_item_t item;
	uint32_t target, held;
	size_t i;

	for (i = 0; i < member->pool.account_count &&
	     report->item_count < BF_CAPS_ITEMS_MAX;
	     i++) {
		account = member->pool.accounts[i];
		target = stock_target(account, now_us);
		return_stock(member, account, target, now_us);
		held = stock(account, now_us);
		item = (bf_caps_item_t){
			.account = account->id,
			.used = account->used,
			.returned = account->returned,
			.needed = unasked(account, now_us),
			.wished = target > held ? target - held : 0,
		};
		if (item.used == 0 && item.returned == 0 && item.needed == 0 &&
		    item.wished == 0)
			continue;
		account->used = 0;
		account->returned = 0;
		if (item.needed > 0) {
			account->asked += item.needed;
			account->asked_us = now_us;
		}
		report->items[report->item_count++] = item;
	}
}

void
bf_caps_member_answer(bf_caps_member_t *member, uint64_t holder,
    bf_time_us_t poll_stamp_us, bf_caps_report_t *report, bf_time_us_t now_us)
{
	bf_time_us_t until_us, lent_us;

	report->answers_poll = true;
	report->stamp_us = now_us;
	report->poll_stamp_us = poll_stamp_us;
	report->share = 0;
	report->lease_us = 0;
	report->item_count = 0;
	if (bf_caps_member_is_lent(member, now_us) && member->holder != holder)
		return; /* the share is in one place at a time */
	bf_caps_pool_settle(&member->pool, now_us);
	report->share = bf_caps_pool_share(
	    &member->pool, now_us + BF_CAPS_LEASE_MIN_US, &until_us);
	lent_us = BF_CAPS_LEASE_US;
	if (report->share > 0 && until_us - now_us < lent_us)
		lent_us = until_us - now_us;
	if (report->share > 0)
		report->lease_us = lent_us;
	/* Also a member without a share, as after its start, is served. */
	if (member->pool.lent_until_us < now_us + lent_us)
		member->pool.lent_until_us = now_us + lent_us;
	bf_caps_pool_settle(&member->pool, now_us);
	member->holder = holder;
	write_items(member, report, now_us);
}

bool
bf_caps_member_request(
    bf_caps_member_t *member, bf_caps_report_t *report, bf_time_us_t now_us)
{
	bool is_due = false;
	size_t i;

	if (!bf_caps_member_is_lent(member, now_us) ||
	    now_us - member->urgent_us <
		bf_caps_poll_interval_us(member->sibling_count) /
		    BF_CAPS_URGENT_DIVISOR)
		return false;
	for (i = 0; i < member->pool.account_count && !is_due; i++)
		is_due = unasked(member->pool.accounts[i], now_us) > 0;
	if (!is_due)
		return false;
	member->urgent_us = now_us;
	report->answers_poll = false;
	report->stamp_us = now_us;
	report->poll_stamp_us = 0;
	report->share = 0;
	report->lease_us = 0;
	report->item_count = 0;
	write_items(member, report, now_us);
	return true;
}

void
bf_caps_member_receive(bf_caps_member_t *member, uint64_t holder,
    const bf_caps_grant_t *grant, bf_time_us_t queueing_delay_us,
    bf_time_us_t now_us)
{
	bool is_late = queueing_delay_us > BF_CAPS_LATE_US ||
	    grant->echo_us == 0 || grant->echo_us > now_us ||
	    holder != member->holder;
	const bf_caps_grant_item_t *item;
	bf_caps_account_t *account;
	uint32_t answered;
	size_t i;

	for (i = 0; i < grant->item_count && !is_late; i++) {
		item = &grant->items[i];
		account = bf_caps_pool_account(&member->pool, item->account);
		if (account == NULL)
			continue;
		add_stock(account, item->stock,
		    grant->echo_us + member->stock_us, now_us);
		if (now_us - grant->echo_us > URGENT_LIFE_US)
			continue;
		account->urgent += item->urgent;
		account->denied += item->denied;
		account->denied_wait_us = item->wait_us;
		answered = item->urgent + item->denied;
		account->asked -=
		    answered < account->asked ? answered : account->asked;
	}
}

bf_caps_answer_t
bf_caps_member_next_answer(
    bf_caps_member_t *member, uint64_t id, bf_time_us_t now_us)
{
	bf_caps_account_t *account = bf_caps_pool_account(&member->pool, id);

	if (account == NULL || account->waiting == 0)
		return BF_CAPS_ANSWER_NONE;
	if (account->urgent > 0) {
		account->urgent--;
		note_use(account, 1, now_us);
	} else if (bf_caps_member_take(member, id, now_us)) {
		;
	} else if (account->denied > 0) {
		account->denied--;
		account->waiting--;
		return BF_CAPS_ANSWER_DENIED;
	} else {
		return BF_CAPS_ANSWER_NONE;
	}
	account->waiting--;
	return BF_CAPS_ANSWER_TOKEN;
}

void
bf_caps_member_drop_answers(bf_caps_member_t *member)
{
	size_t i;

	for (i = 0; i < member->pool.account_count; i++) {
		member->pool.accounts[i]->urgent = 0;
		member->pool.accounts[i]->denied = 0;
	}
}

static bf_caps_lender_t *
find_lender(const bf_caps_member_t *member, uint64_t id)
{
	size_t i;

	for (i = 0; i < member->pool.lender_count; i++) {
		if (member->pool.lenders[i].id == id)
			return &member->pool.lenders[i];
	}
	return NULL;
}

bool
bf_caps_member_lender_waits(const bf_caps_member_t *member, uint64_t id)
{
	const bf_caps_lender_t *lender = find_lender(member, id);
	size_t i;

	for (i = 0; lender != NULL && i < lender->claim_count; i++) {
		if (lender->claims[i].needed > 0)
			return true;
	}
	return false;
}

bool
bf_caps_member_receive_report(bf_caps_member_t *member, uint64_t id,
    const bf_caps_report_t *report, bf_time_us_t now_us)
{
	const bf_caps_item_t *item;
	bf_caps_account_t *account;
	bf_caps_lender_t *lender;
	bool needs = false, is_lent = bf_caps_member_is_lent(member, now_us);
	uint32_t credited;
	size_t i;

	bf_caps_pool_settle(&member->pool, now_us);
	lender = find_lender(member, id);
	if (report->answers_poll && report->poll_stamp_us <= now_us)
		lender = bf_caps_pool_lend(&member->pool, id, report->share,
		    report->poll_stamp_us + report->lease_us, now_us);
	if (lender != NULL)
		lender->echo_us = report->stamp_us;
	for (i = 0; lender != NULL && i < report->item_count; i++) {
		item = &report->items[i];
		credited =
		    bf_caps_pool_report(&member->pool, lender, item, now_us);
		account = bf_caps_pool_account(&member->pool, item->account);
		if (account == NULL)
			continue;
		if (is_lent) {
			account->used += item->used;
			account->returned += credited;
		}
		note_use(account, item->used, now_us);
		needs = needs || item->needed > 0;
	}
	return needs;
}

/* Takes tokens for calls that wait behind a lender. */
static uint32_t
take_urgent(bf_caps_member_t *member, bf_caps_account_t *account,
    uint32_t needed, bf_time_us_t now_us)
{
	uint32_t tokens, part;

	tokens = needed < account->urgent ? needed : account->urgent;
	account->urgent -= tokens;
	part = needed - tokens;
	if (stock(account, now_us) < part)
		part = stock(account, now_us);
	account->used += take_stock(account, part);
	tokens += part;
	if (tokens < needed && !bf_caps_member_is_lent(member, now_us)) {
		part = (uint32_t)bf_caps_pool_tokens(
		    &member->pool, account, now_us);
		if (part > needed - tokens)
			part = needed - tokens;
		account->tokens -= part;
		tokens += part;
	}
	note_use(account, tokens, now_us);
	return tokens;
}

/*
 * Takes tokens for the stock of a lender.  One half of what may be here stays,
 * for calls that wait at other members.
 */
static uint32_t
take_wished(bf_caps_member_t *member, bf_caps_account_t *account,
    uint32_t wished, bf_time_us_t now_us)
{
	double spare, keep;
	uint32_t tokens;

	if (bf_caps_member_is_lent(member, now_us)) {
		spare = stock(account, now_us);
		keep = (double)(stock_target(account, now_us) -
			   account->unmet_wish) *
		    0.5;
	} else {
		spare = bf_caps_pool_tokens(&member->pool, account, now_us);
		keep = bf_caps_pool_cap(&member->pool, account, now_us) / 2;
	}
	if (spare - keep < 1)
		return 0;
	tokens = (uint32_t)(spare - keep);
	if (tokens > wished)
		tokens = wished;
	if (bf_caps_member_is_lent(member, now_us))
		(void)take_stock(account, tokens);
	else
		account->tokens -= tokens;
	return tokens;
}

void
bf_caps_member_grant(bf_caps_member_t *member, uint64_t id,
    bf_caps_grant_t *grant, bf_time_us_t now_us)
{
	bf_caps_lender_t *lender;
	bf_caps_grant_item_t item;
	bf_caps_account_t *account;
	bf_caps_claim_t *claim;
	size_t i;

	grant->is_poll = false;
	grant->stamp_us = now_us;
	grant->item_count = 0;
	bf_caps_pool_settle(&member->pool, now_us);
	lender = find_lender(member, id);
	grant->echo_us = lender != NULL ? lender->echo_us : 0;
	for (i = 0; lender != NULL && i < lender->claim_count &&
	     grant->item_count < BF_CAPS_ITEMS_MAX;
	     i++) {
		claim = &lender->claims[i];
		if (claim->needed == 0 && claim->wished == 0)
			continue;
		account = member->pool.accounts[i];
		item = (bf_caps_grant_item_t){ .account = account->id };
		if (claim->needed > 0) {
			item.urgent =
			    take_urgent(member, account, claim->needed, now_us);
			claim->needed -= item.urgent;
			account->unmet -= item.urgent;
		}
		if (claim->needed > 0 &&
		    !bf_caps_member_is_lent(member, now_us)) {
			item.denied = claim->needed;
			item.wait_us = bf_caps_pool_wait_us(
			    &member->pool, account, now_us);
		} else if (claim->needed > 0) {
			item.denied = claim->needed < account->denied
			    ? claim->needed
			    : account->denied;
			item.wait_us = account->denied_wait_us;
			account->denied -= item.denied;
		}
		claim->needed -= item.denied;
		account->unmet -= item.denied;
		if (claim->needed == 0 && claim->wished > 0) {
			item.stock =
			    take_wished(member, account, claim->wished, now_us);
			bf_caps_pool_count_grant(account, claim, item.stock);
			account->unmet_wish -= claim->wished;
			claim->wished = 0;
		}
		if (item.urgent > 0 || item.stock > 0 || item.denied > 0)
			grant->items[grant->item_count++] = item;
	}
}
