#ifndef BF_FAIRNESS_SHARES_H
#define BF_FAIRNESS_SHARES_H

#include <stdint.h>

/*
 * Weighted fair shares of a target's slot time among accounts.
 *
 * Handles the load pattern "one account sends many times its usual calls while
 * capacity is short".  In one queue ordered by objective, accounts are served
 * in proportion to what they send, so the excess of one takes the capacity of
 * all.  Here each account has a start tag in virtual time: the slot time that
 * it got, divided by its weight (start-time fair queueing; Goyal, Vin and
 * Cheng, 1996).  The waiting account with the lowest tag is next.  An account
 * that was idle starts at the current virtual time, so that unused capacity is
 * neither saved up nor owed.
 *
 * Accounts share with those of the same priority only, so there is one share
 * and one virtual time per priority.  Account 0 stands for all calls without
 * an account.  All times are slot time in microseconds.
 */

typedef struct bf_fair_share {
	uint64_t account;
	uint32_t priority;
	uint32_t weight;
	uint32_t held;    /* calls that refer to it; 0: may be replaced */
	uint32_t waiting; /* of them, those in the queue */
	double tag_us;    /* virtual time at which its next call starts */
	double ahead_us;  /* scratch of the queue */
} bf_fair_share_t;

/* Virtual time of one priority. */
typedef struct bf_fair_clock {
	uint32_t priority;
	double now_us;
	uint64_t used; /* order of last use */
} bf_fair_clock_t;

/*
 * Accounts with a tag that differs from the virtual time, or with calls at the
 * target.  Further accounts are treated as if they had just become active.
 */
#define BF_FAIR_SHARES_MAX 256
/* Priorities in use; a target sees those of its accounts and routes. */
#define BF_FAIR_CLOCKS_MAX 32

typedef struct bf_fair_shares {
	bf_fair_share_t shares[BF_FAIR_SHARES_MAX];
	uint32_t share_count;
	bf_fair_clock_t clocks[BF_FAIR_CLOCKS_MAX];
	uint32_t clock_count;
	uint64_t clock_uses;
} bf_fair_shares_t;

/*
 * Refers a call to the share of its account; weight 0 counts as 1.  Returns
 * NULL when all shares are in use.  bf_fair_shares_release ends the reference.
 */
bf_fair_share_t *bf_fair_shares_hold(bf_fair_shares_t *shares, uint64_t account,
    uint32_t priority, uint32_t weight);
void bf_fair_shares_release(bf_fair_share_t *share);

/* The call was added to the queue or taken out of it; share may be NULL. */
void bf_fair_shares_begin_wait(
    bf_fair_shares_t *shares, bf_fair_share_t *share);
void bf_fair_shares_end_wait(bf_fair_share_t *share);

/*
 * Charges a run that starts.  To be called before bf_fair_shares_end_wait, as
 * the virtual time follows the lowest tag of those that wait.
 */
void bf_fair_shares_charge(
    bf_fair_shares_t *shares, bf_fair_share_t *share, double run_us);

/* Corrects the charge of a run by what it took beyond (or below) it. */
void bf_fair_shares_correct(bf_fair_share_t *share, double extra_us);

/*
 * The tag with which the account's next call would wait: its own, or the
 * virtual time of the priority.
 */
double bf_fair_shares_tag(
    const bf_fair_shares_t *shares, uint64_t account, uint32_t priority);

#endif
