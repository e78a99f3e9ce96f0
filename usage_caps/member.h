#ifndef BF_USAGE_CAPS_MEMBER_H
#define BF_USAGE_CAPS_MEMBER_H

#include "usage_caps/pool.h"

/*
 * A member of the tree over which usage caps are shared: a node below the
 * coordinator of its zone, or a coordinator below the root of the mesh.  It
 * lends its shares to the holder above by its answers to the holder's polls,
 * and gets tokens instead.  Without a holder it uses its shares itself.
 *
 * Handles the load pattern "all callers of an account use one node": tokens go
 * where they are asked for, and a call waits for one request at most.
 */

/* A share is lent for this long; it is polled several times in that time. */
#define BF_CAPS_LEASE_US BF_US_PER_S
/* A share whose lease ends sooner is not lent on, so that leases are long. */
#define BF_CAPS_LEASE_MIN_US (400 * BF_US_PER_MS)
/* Life of the tokens that a node or a coordinator has in stock. */
#define BF_CAPS_NODE_STOCK_US (800 * BF_US_PER_MS)
#define BF_CAPS_ZONE_STOCK_US (400 * BF_US_PER_MS)
/* Tokens in a frame that the network or the receiver delayed are discarded. */
#define BF_CAPS_LATE_US (200 * BF_US_PER_MS)
/*
 * Between urgent requests of a member: this part of the interval of polls, so
 * that a call of an account with few calls waits some milliseconds.  Two of
 * them follow each other on the way to the root.
 */
#define BF_CAPS_URGENT_DIVISOR 20
/* The longest time that a call waits for a token. */
#define BF_CAPS_WAIT_US (150 * BF_US_PER_MS)
/* Ten polls a second at 18 nodes; several in the time of a lease. */
#define BF_CAPS_POLL_PER_NODE_US (5500)
#define BF_CAPS_POLL_MIN_US (100 * BF_US_PER_MS)
#define BF_CAPS_POLL_MAX_US (400 * BF_US_PER_MS)
/* Most accounts in a frame; the others follow in the next one. */
#define BF_CAPS_ITEMS_MAX 1024

typedef struct bf_caps_report {
	bool answers_poll;
	bf_time_us_t stamp_us;      /* clock of the member */
	bf_time_us_t poll_stamp_us; /* clock of the holder, as in the poll */
	uint64_t share;             /* lent if answers_poll */
	bf_time_us_t lease_us;      /* from poll_stamp_us on */
	size_t item_count;
	bf_caps_item_t items[BF_CAPS_ITEMS_MAX];
} bf_caps_report_t;

typedef struct bf_caps_grant {
	bool is_poll;          /* requests a report at once */
	bf_time_us_t stamp_us; /* clock of the holder */
	bf_time_us_t echo_us;  /* stamp of the last report; 0: none */
	size_t item_count;
	bf_caps_grant_item_t items[BF_CAPS_ITEMS_MAX];
} bf_caps_grant_t;

typedef struct bf_caps_member {
	bf_caps_pool_t pool;
	bf_time_us_t stock_us;  /* life of the tokens received */
	uint64_t holder;        /* that the shares were last lent to; 0: none */
	bf_time_us_t urgent_us; /* last urgent request */
	/* Members of the same holder, as far as known; 0: few. */
	uint32_t sibling_count;
} bf_caps_member_t;

bool bf_caps_member_init(bf_caps_member_t *member, bf_time_us_t stock_us,
    bf_caps_limit_fn_t limit, void *limit_ctx);
void bf_caps_member_free(bf_caps_member_t *member);

/* The interval of the polls of a holder of that many members. */
bf_time_us_t bf_caps_poll_interval_us(size_t member_count);

/*
 * Whether a holder above has the shares and serves this member, which may have
 * none.
 */
bool bf_caps_member_is_lent(
    const bf_caps_member_t *member, bf_time_us_t now_us);

/* Takes a token for a call; false: none is at hand. */
bool bf_caps_member_take(
    bf_caps_member_t *member, uint64_t account, bf_time_us_t now_us);

/* Begins or ends the waiting of calls for a token. */
void bf_caps_member_wait(
    bf_caps_member_t *member, uint64_t account, int32_t calls);

/* Expected time until the account has a token again. */
bf_time_us_t bf_caps_member_wait_us(
    bf_caps_member_t *member, uint64_t account, bf_time_us_t now_us);

/*
 * Writes the report that answers a poll of the holder, which lends the shares
 * unless another holder has them.
 */
void bf_caps_member_answer(bf_caps_member_t *member, uint64_t holder,
    bf_time_us_t poll_stamp_us, bf_caps_report_t *report, bf_time_us_t now_us);

/* Writes an urgent request to the holder; false: none is due. */
bool bf_caps_member_request(
    bf_caps_member_t *member, bf_caps_report_t *report, bf_time_us_t now_us);

/*
 * Takes over the tokens of a frame of a holder.  urgent and denied of the
 * accounts are then passed on: to calls that wait, with
 * bf_caps_member_next_answer, or to lenders, with bf_caps_member_grant.
 */
void bf_caps_member_receive(bf_caps_member_t *member, uint64_t holder,
    const bf_caps_grant_t *grant, bf_time_us_t queueing_delay_us,
    bf_time_us_t now_us);

typedef enum bf_caps_answer {
	BF_CAPS_ANSWER_NONE,
	BF_CAPS_ANSWER_TOKEN,
	BF_CAPS_ANSWER_DENIED
} bf_caps_answer_t;

/* The answer for the next call of the account that waits, which is taken. */
bf_caps_answer_t bf_caps_member_next_answer(
    bf_caps_member_t *member, uint64_t account, bf_time_us_t now_us);

/* Discards the answers that nothing waits for. */
void bf_caps_member_drop_answers(bf_caps_member_t *member);

/*
 * Takes over the report of a lender.  Returns whether it needs tokens, which
 * are to be granted at once.
 */
bool bf_caps_member_receive_report(bf_caps_member_t *member, uint64_t lender,
    const bf_caps_report_t *report, bf_time_us_t now_us);

/* Whether calls behind the lender wait for tokens. */
bool bf_caps_member_lender_waits(
    const bf_caps_member_t *member, uint64_t lender);

/* Writes a frame with the tokens for a lender; not a poll. */
void bf_caps_member_grant(bf_caps_member_t *member, uint64_t lender,
    bf_caps_grant_t *grant, bf_time_us_t now_us);

#endif
