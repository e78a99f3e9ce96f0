#include <glib.h>
#include <string.h>

#include "fairness/shares.h"
#include "mesh/call_queue.h"

#define MS BF_US_PER_MS
#define RUN_US (20 * MS)
#define SLOTS 4
#define STEPS_MAX 4000

/*
 * Guards against: an account that floods a full target takes the capacity of
 * the others; a deployment without accounts is served in another order than by
 * the queue without shares.
 */

typedef struct account_load {
	uint64_t id;
	uint32_t weight;
	uint32_t waiting_goal; /* calls that it keeps waiting */
	uint32_t waiting;
	uint32_t served;
	uint32_t displaced;
} account_load_t;

static bf_queued_call_t
new_call(uint64_t account, uint32_t weight, bf_time_us_t now_us)
{
	return (bf_queued_call_t){
		.priority = 1,
		.account = account,
		.weight = weight,
		.objective_at_us = now_us + 10 * BF_US_PER_S,
		.deadline_at_us = now_us + 20 * BF_US_PER_S,
		.expected_run_us = RUN_US,
	};
}

static account_load_t *
load_of(account_load_t *loads, size_t count, uint64_t id)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (loads[i].id == id)
			return &loads[i];
	}
	g_assert_not_reached();
}

/* Keeps each account's calls waiting, with one run ending after another. */
static void
serve(account_load_t *loads, size_t count, uint32_t runs)
{
	bf_queued_call_t *running[SLOTS], *call;
	bf_time_us_t now_us = 0;
	bf_call_queue_t queue;
	account_load_t *load;
	uint32_t run, i;
	size_t account;

	bf_call_queue_init(&queue, SLOTS);
	bf_call_queue_count_run(&queue, RUN_US);
	for (i = 0; i < SLOTS; i++) {
		running[i] = g_new(bf_queued_call_t, 1);
		*running[i] = new_call(loads[0].id, loads[0].weight, 0);
		g_assert_cmpint(
		    bf_call_queue_admit(&queue, running[i], true, 0), ==,
		    BF_QUEUE_DECISION_START);
	}
	for (run = 0; run < runs; run++) {
		for (account = 0; account < count; account++) {
			load = &loads[account];
			while (load->waiting < load->waiting_goal) {
				call = g_new(bf_queued_call_t, 1);
				*call =
				    new_call(load->id, load->weight, now_us);
				g_assert_cmpint(bf_call_queue_admit(
						    &queue, call, true, now_us),
				    ==, BF_QUEUE_DECISION_WAIT);
				load->waiting++;
			}
		}
		now_us += RUN_US / SLOTS;
		i = run % SLOTS;
		bf_call_queue_end_run(&queue, running[i], RUN_US);
		g_free(running[i]);
		running[i] = bf_call_queue_start_next(&queue, now_us);
		/* No capacity is idle. */
		g_assert_nonnull(running[i]);
		load = load_of(loads, count, running[i]->account);
		load->waiting--;
		load->served++;
	}
	for (i = 0; i < SLOTS; i++)
		g_free(running[i]);
	while ((call = TAILQ_FIRST(&queue.list)) != NULL) {
		bf_call_queue_remove(&queue, call);
		g_free(call);
	}
}

/* An account with forty calls waiting gets no more than one with two. */
static void
test_equal_shares(void)
{
	account_load_t loads[] = { { .id = 1, .waiting_goal = 40 },
		{ .id = 2, .waiting_goal = 2 },
		{ .id = 3, .waiting_goal = 2 } };

	serve(loads, 3, 600);
	g_assert_cmpuint(loads[0].served, <=, 205);
	g_assert_cmpuint(loads[1].served, >=, 195);
	g_assert_cmpuint(loads[2].served, >=, 195);
}

static void
test_weights(void)
{
	account_load_t loads[] = {
		{ .id = 1, .weight = 3, .waiting_goal = 10 },
		{ .id = 2, .weight = 1, .waiting_goal = 10 },
	};

	serve(loads, 2, 800);
	g_assert_cmpuint(loads[0].served, >=, 590);
	g_assert_cmpuint(loads[0].served, <=, 610);
}

/* What an account leaves unused is served to those that ask for more. */
static void
test_unused_share(void)
{
	account_load_t loads[] = { { .id = 1, .waiting_goal = 20 },
		{ .id = 2, .waiting_goal = 0 } };

	serve(loads, 2, 200);
	g_assert_cmpuint(loads[0].served, ==, 200);
}

/* Long use without rivals is not owed; idle time is not saved up. */
static void
test_no_debt(void)
{
	bf_fair_shares_t *shares = g_new0(bf_fair_shares_t, 1);
	bf_fair_share_t *a, *b;
	uint32_t i;

	a = bf_fair_shares_hold(shares, 1, 5, 1);
	for (i = 0; i < 1000; i++)
		bf_fair_shares_charge(shares, a, 100);
	b = bf_fair_shares_hold(shares, 2, 5, 1);
	bf_fair_shares_begin_wait(shares, a);
	bf_fair_shares_begin_wait(shares, b);
	g_assert_cmpfloat(a->tag_us - b->tag_us, ==, 100);
	/* Another priority has its own virtual time. */
	g_assert_cmpfloat(bf_fair_shares_tag(shares, 1, 6), ==, 0);
	g_free(shares);
}

/* Thousands of accounts use a bounded table. */
static void
test_many_accounts(void)
{
	bf_fair_shares_t *shares = g_new0(bf_fair_shares_t, 1);
	uint32_t i;

	for (i = 0; i < 5000; i++) {
		bf_fair_share_t *share = bf_fair_shares_hold(
		    shares, i + 1, i % (2 * BF_FAIR_CLOCKS_MAX), 1);

		g_assert_nonnull(share);
		bf_fair_shares_charge(shares, share, 1000);
		bf_fair_shares_release(share);
	}
	for (i = 0; i < BF_FAIR_SHARES_MAX; i++)
		g_assert_nonnull(bf_fair_shares_hold(shares, 10000 + i, 1, 1));
	g_assert_null(bf_fair_shares_hold(shares, 20000, 1, 1));
	g_free(shares);
}

/*
 * A call of an account within its share waits though the queue is full of calls
 * of another, and the last of those is displaced.
 */
static void
test_displaced(void)
{
	bf_queued_call_t running, flood[64], light, *displaced;
	uint32_t count = 0, queued;
	bf_call_queue_t queue;

	bf_call_queue_init(&queue, 1);
	bf_call_queue_count_run(&queue, RUN_US);
	running = new_call(1, 1, 0);
	g_assert_cmpint(bf_call_queue_admit(&queue, &running, true, 0), ==,
	    BF_QUEUE_DECISION_START);
	do {
		g_assert_cmpuint(count, <, G_N_ELEMENTS(flood));
		flood[count] = new_call(1, 1, 0);
		flood[count].objective_at_us = 200 * MS;
	} while (bf_call_queue_admit(&queue, &flood[count++], true, 0) ==
	    BF_QUEUE_DECISION_WAIT);
	queued = count - 1;
	g_assert_cmpuint(queue.count, ==, queued);
	g_assert_null(bf_call_queue_take_displaced(&queue, 0));
	light = new_call(2, 1, 0);
	light.objective_at_us = 100 * MS;
	g_assert_cmpint(bf_call_queue_admit(&queue, &light, true, 0), ==,
	    BF_QUEUE_DECISION_WAIT);
	displaced = bf_call_queue_take_displaced(&queue, 0);
	g_assert_nonnull(displaced);
	g_assert_cmpuint(displaced->account, ==, 1);
	g_assert_null(bf_call_queue_take_displaced(&queue, 0));
	g_assert_cmpuint(queue.count, ==, queued);
	bf_call_queue_end_run(&queue, &running, RUN_US);
	g_assert_true(bf_call_queue_start_next(&queue, RUN_US) == &light);
}

/* The order of the queue without accounts, stated independently of it. */
static gboolean
is_before(
    const bf_queued_call_t *a, const bf_queued_call_t *b, bf_time_us_t now_us)
{
	gboolean a_late = now_us + a->expected_run_us > a->objective_at_us;
	gboolean b_late = now_us + b->expected_run_us > b->objective_at_us;

	if (a_late != b_late)
		return b_late;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->inner != b->inner)
		return a->inner;
	return a->objective_at_us < b->objective_at_us;
}

static gboolean
is_late_call(const bf_queued_call_t *call, bf_time_us_t now_us)
{
	return now_us + call->expected_run_us > call->objective_at_us;
}

/* Expected wait without shares: a copy of the rule before there were any. */
static bf_time_us_t
plain_wait_us(const bf_call_queue_t *queue, const bf_queued_call_t *call,
    bf_time_us_t now_us)
{
	double urgent_us = 0, same_us = 0, lower_us = 0, bound_us;
	const bf_queued_call_t *other;

	if (queue->running < queue->slots && queue->count == 0)
		return 0;
	TAILQ_FOREACH(other, &queue->list, link)
	{
		if (other->priority > call->priority &&
		    !is_late_call(other, now_us))
			lower_us += (double)other->expected_run_us;
		else if (is_before(call, other, now_us))
			continue;
		else if (other->priority < call->priority)
			urgent_us += (double)other->expected_run_us;
		else
			same_us += (double)other->expected_run_us;
	}
	if (is_late_call(call, now_us)) {
		lower_us = 0;
	} else {
		lower_us = MIN(lower_us, 0.5 * (urgent_us + same_us));
		bound_us = (double)(call->expected_run_us + same_us) / 0.5;
		urgent_us = MIN(urgent_us, bound_us);
	}
	return (bf_time_us_t)((urgent_us + same_us + lower_us +
				  queue->mean_run_us) /
	    queue->slots);
}

/* The next call without shares, and the credit of lower priorities. */
static bf_queued_call_t *
plain_next(const bf_call_queue_t *queue, double *credit_us, bf_time_us_t now_us)
{
	bf_queued_call_t *best = NULL, *lower = NULL, *call;

	TAILQ_FOREACH(call, &queue->list, link)
	{
		if (best == NULL || is_before(call, best, now_us))
			best = call;
	}
	TAILQ_FOREACH(call, &queue->list, link)
	{
		if (call->priority <= best->priority ||
		    is_late_call(call, now_us))
			continue;
		if (lower == NULL || is_before(call, lower, now_us))
			lower = call;
	}
	if (lower != NULL && *credit_us >= (double)lower->expected_run_us) {
		*credit_us -= (double)lower->expected_run_us;
		return lower;
	}
	if (lower != NULL)
		*credit_us =
		    MIN(*credit_us + 0.5 * (double)best->expected_run_us,
			(double)BF_US_PER_S);
	return best;
}

/*
 * With one account, or none, every decision and the order are those of the
 * queue without shares, on random calls.
 */
static void
check_unchanged(uint64_t account)
{
	bf_queued_call_t *running[SLOTS] = { NULL }, *calls, *expected, *next;
	GRand *random = g_rand_new_with_seed(7);
	bf_time_us_t now_us = 0, wait_us;
	uint32_t waits = 0, refusals = 0, step, slot;
	bf_queue_decision_t decision;
	bf_call_queue_t queue;
	double credit_us = 0;
	gboolean on_time;

	calls = g_new0(bf_queued_call_t, STEPS_MAX);
	bf_call_queue_init(&queue, SLOTS);
	for (step = 0; step < STEPS_MAX; step++) {
		bf_queued_call_t *call = &calls[step];

		now_us += g_rand_int_range(random, 0, 9 * (int)MS);
		*call = (bf_queued_call_t){
			.inner = g_rand_boolean(random),
			.priority = (uint32_t)g_rand_int_range(random, 0, 3),
			.account = account,
			.expected_run_us = g_rand_int_range(random, 5, 60) * MS,
		};
		call->objective_at_us =
		    now_us + g_rand_int_range(random, 20, 200) * MS;
		call->deadline_at_us = call->objective_at_us +
		    g_rand_int_range(random, 0, 900) * MS;
		on_time = g_rand_boolean(random);
		wait_us = plain_wait_us(&queue, call, now_us);
		g_assert_cmpint(
		    bf_call_queue_expected_wait_us(&queue, call, now_us), ==,
		    wait_us);
		decision = bf_call_queue_admit(&queue, call, on_time, now_us);
		g_assert_cmpint(decision == BF_QUEUE_DECISION_REFUSE, ==,
		    wait_us > 0 && now_us + wait_us > call->expires_at_us);
		waits += decision == BF_QUEUE_DECISION_WAIT;
		refusals += decision == BF_QUEUE_DECISION_REFUSE;
		g_assert_null(bf_call_queue_take_displaced(&queue, now_us));
		while (bf_call_queue_take_expired(&queue, now_us) != NULL)
			;
		/* Three runs end for four calls that arrive. */
		slot = step % SLOTS;
		if (running[slot] != NULL && step % 13 % 4 == 3)
			continue;
		if (running[slot] != NULL)
			bf_call_queue_end_run(&queue, running[slot],
			    now_us - running[slot]->started_at_us);
		running[slot] = NULL;
		if (decision == BF_QUEUE_DECISION_START) {
			for (slot = 0; running[slot] != NULL;)
				slot++;
			running[slot] = call;
		}
		if (queue.count == 0 || queue.running == queue.slots)
			continue;
		expected = plain_next(&queue, &credit_us, now_us);
		next = bf_call_queue_start_next(&queue, now_us);
		g_assert_true(next == expected);
		g_assert_cmpfloat(queue.lower_credit_us, ==, credit_us);
		for (slot = 0; running[slot] != NULL;)
			slot++;
		running[slot] = next;
	}
	/* The calls were enough to fill the queue. */
	g_assert_cmpuint(waits, >, STEPS_MAX / 10);
	g_assert_cmpuint(refusals, >, STEPS_MAX / 10);
	g_rand_free(random);
	g_free(calls);
}

static void
test_without_accounts(void)
{
	check_unchanged(0);
}

static void
test_one_account(void)
{
	check_unchanged(42);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fairness/equal-shares", test_equal_shares);
	g_test_add_func("/fairness/weights", test_weights);
	g_test_add_func("/fairness/unused-share", test_unused_share);
	g_test_add_func("/fairness/no-debt", test_no_debt);
	g_test_add_func("/fairness/many-accounts", test_many_accounts);
	g_test_add_func("/fairness/displaced", test_displaced);
	g_test_add_func("/fairness/without-accounts", test_without_accounts);
	g_test_add_func("/fairness/one-account", test_one_account);
	return g_test_run();
}
