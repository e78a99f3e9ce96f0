#include <math.h>
#include <stdio.h>
#include <string.h>

#include "mesh/move.h"

/*
 * The ladder: until which part of a move's time each share holds at least.  A
 * version that turns bad only once it has all calls has had half of a tenth of
 * them before, and a tenth is what operators allow a bad version.
 */
typedef struct bf_rung {
	uint32_t share_ppm;
	double until;      /* of the move's duration */
	uint32_t runs_min; /* of the new version before the next rung */
} bf_rung_t;

static const bf_rung_t ladder[] = {
	{ 40000, 0.22, 20 },
	{ 80000, 0.34, 60 },
	{ 150000, 0.44, 120 },
	{ 300000, 0.49, 200 },
	{ BF_SHARE_ALL_PPM, 1.0, 0 },
};

#define RUNGS (sizeof(ladder) / sizeof(ladder[0]))

/* All calls go to the new version for this long before a move is done. */
#define FULL_US (1500 * BF_US_PER_MS)
/* A move without evidence goes on when this part of its time has passed. */
#define HURRY 0.6

/* Failures: fewest of them, and the excess over the old version's rate. */
#define FAILURES_MIN 5
#define FAILURE_EXCESS 0.06
/* Deviations of the old rate that chance alone stays within. */
#define DEVIATIONS 4.0
/* Slowness: fewest timed runs, and the factor over the old version. */
#define TIMED_MIN 10
#define SLOW_FACTOR 2.6

bf_run_tally_t *
bf_run_tally(bf_run_tallies_t *tallies, uint32_t route)
{
	uint32_t i;

	for (i = 0; i < tallies->count; i++) {
		if (tallies->routes[i].route == route)
			return &tallies->routes[i];
	}
	if (tallies->count == BF_TALLY_ROUTES_MAX)
		return NULL;
	tallies->routes[tallies->count] = (bf_run_tally_t){ .route = route };
	return &tallies->routes[tallies->count++];
}

static const bf_run_tally_t *
find(const bf_run_tallies_t *tallies, uint32_t route)
{
	uint32_t i;

	for (i = 0; tallies != NULL && i < tallies->count; i++) {
		if (tallies->routes[i].route == route)
			return &tallies->routes[i];
	}
	return NULL;
}

void
bf_run_tallies_add(bf_run_tallies_t *sum, const bf_run_tallies_t *tallies,
    const bf_run_tallies_t *base)
{
	static const bf_run_tally_t none = { 0 };
	const bf_run_tally_t *tally, *from;
	bf_run_tally_t *to;
	uint32_t i;

	for (i = 0; i < tallies->count; i++) {
		tally = &tallies->routes[i];
		from = find(base, tally->route);
		/* Counts that went back are those of a new process. */
		if (from == NULL || from->runs > tally->runs)
			from = &none;
		to = bf_run_tally(sum, tally->route);
		if (to == NULL)
			continue;
		to->runs += tally->runs - from->runs;
		to->failures += tally->failures - from->failures;
		to->timed_runs += tally->timed_runs - from->timed_runs;
		to->time_us += tally->time_us - from->time_us;
	}
}

const char *
bf_move_state_name(bf_move_state_t state)
{
	switch (state) {
	case BF_MOVE_ACTIVE:
		return "active";
	case BF_MOVE_COMPLETED:
		return "completed";
	default:
		return "rolled-back";
	}
}

void
bf_move_begin(bf_move_t *move, const bf_move_order_t *order,
    uint64_t order_revision, bf_time_us_t now_us)
{
	*move = (bf_move_t){
		.order_revision = order_revision,
		.began_at_us = now_us,
		.duration_us = order->duration_ms * BF_US_PER_MS,
		.share_set_at_us = now_us,
	};
	(void)snprintf(
	    move->service, sizeof(move->service), "%s", order->service);
	(void)snprintf(
	    move->version, sizeof(move->version), "%s", order->version);
}

static double
rate(uint32_t part, uint32_t whole)
{
	return whole > 0 ? (double)part / whole : 0;
}

static bool
fails_more(const bf_run_tally_t *now, const bf_run_tally_t *before)
{
	double old_rate, new_rate, deviation;

	if (now->failures < FAILURES_MIN)
		return false;
	/* Laplace's rule: a few runs without a failure prove no zero. */
	old_rate =
	    before != NULL ? rate(before->failures + 1, before->runs + 2) : 0;
	new_rate = rate(now->failures, now->runs);
	deviation = sqrt(old_rate * (1 - old_rate) / now->runs);
	return new_rate > old_rate + FAILURE_EXCESS + DEVIATIONS * deviation;
}

static bool
is_slower(const bf_run_tally_t *now, const bf_run_tally_t *before)
{
	double old_us, new_us;

	if (before == NULL || now->timed_runs < TIMED_MIN ||
	    before->timed_runs < TIMED_MIN)
		return false;
	new_us = (double)now->time_us / now->timed_runs;
	old_us = (double)before->time_us / before->timed_runs;
	return new_us > SLOW_FACTOR * old_us;
}

/* Whether the runs of some route condemn the new version. */
static bool
is_bad(bf_move_t *move, const bf_run_tallies_t *new_runs,
    const bf_run_tallies_t *old_runs)
{
	const bf_run_tally_t *now, *before;
	uint32_t i;

	for (i = 0; i < new_runs->count; i++) {
		now = &new_runs->routes[i];
		before = find(old_runs, now->route);
		if (fails_more(now, before)) {
			(void)snprintf(move->reason, sizeof(move->reason),
			    "failures: new %u of %u, old %u of %u",
			    now->failures, now->runs,
			    before != NULL ? before->failures : 0,
			    before != NULL ? before->runs : 0);
			return true;
		}
		if (is_slower(now, before)) {
			(void)snprintf(move->reason, sizeof(move->reason),
			    "slow: new %.0f ms of %u, old %.0f ms of %u",
			    (double)now->time_us / now->timed_runs /
				BF_US_PER_MS,
			    now->timed_runs,
			    (double)before->time_us / before->timed_runs /
				BF_US_PER_MS,
			    before->timed_runs);
			return true;
		}
	}
	return false;
}

static uint32_t
total_runs(const bf_run_tallies_t *tallies)
{
	uint32_t runs = 0, i;

	for (i = 0; i < tallies->count; i++)
		runs += tallies->routes[i].runs;
	return runs;
}

static size_t
rung_of(uint32_t share_ppm)
{
	size_t i;

	for (i = 0; i < RUNGS - 1; i++) {
		if (ladder[i].share_ppm >= share_ppm)
			break;
	}
	return i;
}

/* The share that time and evidence allow: at most one rung further. */
static uint32_t
next_share(
    const bf_move_t *move, const bf_move_evidence_t *view, bf_time_us_t now_us)
{
	double passed;
	size_t rung;

	if (view->new_slots == 0)
		return 0;
	if (move->share_ppm == 0)
		return ladder[0].share_ppm;
	rung = rung_of(move->share_ppm);
	if (rung == RUNGS - 1)
		return move->share_ppm;
	passed = (double)(now_us - move->began_at_us) /
	    (double)(move->duration_us > 0 ? move->duration_us : 1);
	if (passed < ladder[rung].until)
		return move->share_ppm;
	if (total_runs(view->new_runs) < ladder[rung].runs_min &&
	    passed < HURRY)
		return move->share_ppm;
	return ladder[rung + 1].share_ppm;
}

bf_move_change_t
bf_move_step(
    bf_move_t *move, const bf_move_evidence_t *view, bf_time_us_t now_us)
{
	uint32_t share_ppm;

	if (move->state != BF_MOVE_ACTIVE)
		return BF_MOVE_CHANGE_NONE;
	if (is_bad(move, view->new_runs, view->old_runs) ||
	    is_bad(move, view->new_recent, view->old_recent)) {
		move->state = BF_MOVE_ROLLED_BACK;
		move->share_ppm = 0;
		return BF_MOVE_CHANGE_ROLLED_BACK;
	}
	if (move->share_ppm == BF_SHARE_ALL_PPM && view->new_slots > 0 &&
	    now_us - move->share_set_at_us >= FULL_US && view->old_calls == 0) {
		move->state = BF_MOVE_COMPLETED;
		(void)snprintf(
		    move->reason, sizeof(move->reason), "all calls moved");
		return BF_MOVE_CHANGE_COMPLETED;
	}
	share_ppm = next_share(move, view, now_us);
	if (share_ppm == move->share_ppm)
		return BF_MOVE_CHANGE_NONE;
	move->share_ppm = share_ppm;
	move->share_set_at_us = now_us;
	(void)snprintf(move->reason, sizeof(move->reason),
	    "%u runs of the new version seen", total_runs(view->new_runs));
	return BF_MOVE_CHANGE_SHARE;
}
