#ifndef BF_USAGE_CAPS_POOL_H
#define BF_USAGE_CAPS_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_hash.h>

#include "base/clock.h"

/*
 * Token pool of a holder of shares of the usage caps: a node, the coordinator
 * of a zone or the root of the mesh.  It creates tokens for every account at
 * the sum of the shares lent to it times the account's cap.
 *
 * Handles the failure "a network partition lets each side use the whole cap": a
 * share is in one place at a time, so the parts of a mesh that is divided never
 * have more than one cap together.  All times are of the boot-time clock, which
 * also counts the time for which the process was paused.
 * docs/design/usage-caps.md describes the design.
 */

/* Shares are in units of 10^-9, the same for all accounts. */
#define BF_CAPS_SHARE_WHOLE UINT64_C(1000000000)
/*
 * Tokens granted as stock count against the burst for one to two times this.
 * They live shorter: BF_CAPS_NODE_STOCK_US and BF_CAPS_ZONE_STOCK_US together.
 */
#define BF_CAPS_GRANT_US (1200 * BF_US_PER_MS)
/* A request for tokens that is not met within this is forgotten. */
#define BF_CAPS_NEED_US (200 * BF_US_PER_MS)

typedef struct bf_caps_limit {
	double rate_per_s;
	double burst;
} bf_caps_limit_t;

/* The cap in force; returns false if the account has none. */
typedef bool (*bf_caps_limit_fn_t)(
    void *ctx, uint64_t account, bf_caps_limit_t *limit);

/* One account in a report of a member to the holder of its share. */
typedef struct bf_caps_item {
	uint64_t account;
	uint32_t used;     /* stock used since the last report */
	uint32_t returned; /* stock given back */
	uint32_t needed;   /* for calls that wait, not requested before */
	uint32_t wished;   /* as further stock */
} bf_caps_item_t;

/* One account in a frame of the holder to a member. */
typedef struct bf_caps_grant_item {
	uint64_t account;
	uint32_t urgent; /* for calls that wait; dropped if they do not */
	uint32_t stock;
	uint32_t denied;      /* calls that are to be refused */
	bf_time_us_t wait_us; /* if denied: until the holder has a token */
} bf_caps_grant_item_t;

/* Tokens received from the holder above, with a limited life. */
typedef struct bf_caps_batch {
	uint32_t tokens;
	bf_time_us_t until_us;
} bf_caps_batch_t;

typedef struct bf_caps_account {
	uint64_t id;
	size_t index;
	/* Created here, as of made_at of the pool's share-seconds. */
	double tokens;
	double made_at;
	uint32_t granted;    /* stock of others, that counts */
	uint32_t unmet;      /* sum of what lenders need */
	uint32_t unmet_wish; /* sum of what lenders wish */
	/* See usage_caps/member.h. */
	bf_caps_batch_t stock[2]; /* the older first */
	uint32_t used;            /* not reported yet */
	uint32_t returned;        /* not reported yet */
	uint32_t waiting;         /* calls without a token */
	uint32_t asked;           /* for them, not answered */
	bf_time_us_t asked_us;
	/* The answer of the holder above, until it is passed on. */
	uint32_t urgent;
	uint32_t denied;
	bf_time_us_t denied_wait_us;
	uint32_t uses[2]; /* in this slot of time and the one before */
	bf_time_us_t slot_us;
	bf_time_us_t last_use_us;
} bf_caps_account_t;

/* What the pool keeps of one account and one lender. */
typedef struct bf_caps_claim {
	uint32_t granted[2]; /* in this period and the one before */
	uint32_t needed;
	uint32_t wished;
	bf_time_us_t needed_us;
} bf_caps_claim_t;

typedef struct bf_caps_lender {
	uint64_t id;
	uint64_t share;
	bf_time_us_t until_us;
	bf_time_us_t made_us; /* until when its share has created tokens */
	bf_time_us_t period_us;
	bf_time_us_t echo_us;    /* its clock, in its last report; 0: none */
	bf_caps_claim_t *claims; /* by the index of the account */
	size_t claim_count;
} bf_caps_lender_t;

typedef struct bf_caps_pool {
	bf_caps_limit_fn_t limit;
	void *limit_ctx;
	apr_pool_t *memory;
	apr_hash_t *by_id; /* account id -> bf_caps_account_t */
	bf_caps_account_t **accounts;
	size_t account_count;
	size_t account_capacity;
	bf_caps_lender_t *lenders;
	size_t lender_count;
	size_t lender_capacity;
	double made; /* share-seconds so far */
	/* The share that created tokens when the pool was last settled. */
	double share;
	/* Its shares are lent to the holder above until then. */
	bf_time_us_t lent_until_us;
} bf_caps_pool_t;

/* Returns false without memory.  limit_ctx outlives the pool. */
bool bf_caps_pool_init(
    bf_caps_pool_t *pool, bf_caps_limit_fn_t limit, void *limit_ctx);
void bf_caps_pool_free(bf_caps_pool_t *pool);

/* Finds an account, or adds one without tokens; NULL without memory. */
bf_caps_account_t *bf_caps_pool_account(bf_caps_pool_t *pool, uint64_t id);

/*
 * Takes the share of a lender until until_us; a former lease of it is replaced.
 * A share of 0 ends the lease.  NULL without memory.
 */
bf_caps_lender_t *bf_caps_pool_lend(bf_caps_pool_t *pool, uint64_t lender,
    uint64_t share, bf_time_us_t until_us, bf_time_us_t now_us);

/*
 * The sum of the shares that are valid until at least min_until_us, and the
 * earliest end of one of them.
 */
uint64_t bf_caps_pool_share(const bf_caps_pool_t *pool,
    bf_time_us_t min_until_us, bf_time_us_t *until_us);

/*
 * Creates tokens until now, and removes lenders that are gone for long.  If
 * less is lent than before, the tokens beyond the new cap are removed at once:
 * the pool that has the rest of the share creates its own.
 */
void bf_caps_pool_settle(bf_caps_pool_t *pool, bf_time_us_t now_us);

/* The tokens created here that the account has now. */
double bf_caps_pool_tokens(
    bf_caps_pool_t *pool, bf_caps_account_t *account, bf_time_us_t now_us);

/* The greatest number of tokens that the pool keeps for the account. */
double bf_caps_pool_cap(const bf_caps_pool_t *pool,
    const bf_caps_account_t *account, bf_time_us_t now_us);

/* Expected time until the pool has one more whole token for the account. */
bf_time_us_t bf_caps_pool_wait_us(
    bf_caps_pool_t *pool, bf_caps_account_t *account, bf_time_us_t now_us);

/* The claim of a lender on an account; NULL without memory. */
bf_caps_claim_t *bf_caps_pool_claim(
    bf_caps_lender_t *lender, const bf_caps_account_t *account);

/*
 * Takes over what a lender reports of an account.  Stock that it returns is
 * credited if the pool still counts it; result: how much.
 */
uint32_t bf_caps_pool_report(bf_caps_pool_t *pool, bf_caps_lender_t *lender,
    const bf_caps_item_t *item, bf_time_us_t now_us);

/* Counts stock that is granted to the lender. */
void bf_caps_pool_count_grant(
    bf_caps_account_t *account, bf_caps_claim_t *claim, uint32_t tokens);

#endif
