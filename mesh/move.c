#include <math.h>
#include <stdio.h>
#include <string.h>

#include "mesh/move.h"

/*
 * The stages of a move: each holds its share at least until a part of the
 * duration of the move has passed.  Operators allow a bad version a tenth of
 * the calls; before the last stage it gets half of that tenth, so that there is
 * room left for a version that fails only once it has all calls.
 */
typedef struct bf_move_stage {
	uint32_t share_ppm;
	double until;      /* as a part of the duration */
	uint32_t runs_min; /* of the new version, before the next stage */
} bf_move_stage_t;

static const bf_move_stage_t stages[] = {
	{ 40000, 0.22, 20 },
	{ 80000, 0.34, 60 },
	{ 150000, 0.44, 120 },
	{ 300000, 0.49, 200 },
	{ BF_SHARE_ALL_PPM, 1.0, 0 },
};

#define STAGE_COUNT (sizeof(stages) / sizeof(stages[0]))

/* All calls go to the new version for this long before a move is completed. */
#define FULL_SHARE_US (1500 * BF_US_PER_MS)
/* After this part of the duration a move goes on without enough runs. */
#define UNTESTED_AFTER 0.6

/*
 * The new version fails too often if it has this many failures, and if its rate
 * of failures exceeds the old version's by more than FAILURE_EXCESS plus
 * DEVIATIONS standard deviations, which allows for chance.
 */
#define FAILURES_MIN 5
#define FAILURE_EXCESS 0.06
#define DEVIATIONS 4.0
/*
 * With this many timed runs of each version, the new one is too slow if its
 * mean time exceeds the old one's by the factor.
 */
#define TIMED_RUNS_MIN 10
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
find_tally(const bf_run_tallies_t *tallies, uint32_t route)
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
		from = find_tally(base, tally->route);
		/* Counts that decreased were reset by a restart of the node. */
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
ratio(uint32_t part, uint32_t whole)
{
	return whole > 0 ? (double)part / whole : 0;
}

static bool
fails_more(const bf_run_tally_t *new_tally, const bf_run_tally_t *old_tally)
{
	double old_rate, new_rate, deviation;

	if (new_tally->failures < FAILURES_MIN)
		return false;
	/* Laplace's rule: a few good runs don't prove a failure rate of 0. */
	old_rate = old_tally != NULL
	    ? ratio(old_tally->failures + 1, old_tally->runs + 2)
	    : 0;
	new_rate = ratio(new_tally->failures, new_tally->runs);
	deviation = sqrt(old_rate * (1 - old_rate) / new_tally->runs);
	return new_rate > old_rate + FAILURE_EXCESS + DEVIATIONS * deviation;
}

static bool
is_too_slow(const bf_run_tally_t *new_tally, const bf_run_tally_t *old_tally)
{
	double old_us, new_us;

	if (old_tally == NULL || new_tally->timed_runs < TIMED_RUNS_MIN ||
	    old_tally->timed_runs < TIMED_RUNS_MIN)
		return false;
	new_us = (double)new_tally->time_us / new_tally->timed_runs;
	old_us = (double)old_tally->time_us / old_tally->timed_runs;
	return new_us > SLOW_FACTOR * old_us;
}

/* Whether the new version is worse than the old one on some route. */
static bool
is_worse(bf_move_t *move, const bf_run_tallies_t *new_runs,
    const bf_run_tallies_t *old_runs)
{
	const bf_run_tally_t *new_tally, *old_tally;
	uint32_t i;

	for (i = 0; i < new_runs->count; i++) {
		new_tally = &new_runs->routes[i];
		old_tally = find_tally(old_runs, new_tally->route);
		if (fails_more(new_tally, old_tally)) {
			(void)snprintf(move->reason, sizeof(move->reason),
			    "failures: new %u of %u, old %u of %u",
			    new_tally->failures, new_tally->runs,
			    old_tally != NULL ? old_tally->failures : 0,
			    old_tally != NULL ? old_tally->runs : 0);
			return true;
		}
		if (is_too_slow(new_tally, old_tally)) {
			(void)snprintf(move->reason, sizeof(move->reason),
			    "slow: new %.0f ms of %u, old %.0f ms of %u",
			    (double)new_tally->time_us / new_tally->timed_runs /
				BF_US_PER_MS,
			    new_tally->timed_runs,
			    (double)old_tally->time_us / old_tally->timed_runs /
				BF_US_PER_MS,
			    old_tally->timed_runs);
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
stage_of(uint32_t share_ppm)
{
	size_t i;

	for (i = 0; i < STAGE_COUNT - 1; i++) {
		if (stages[i].share_ppm >= share_ppm)
			break;
	}
	return i;
}

/* The share that time and evidence allow, at most one stage further. */
static uint32_t
next_share(const bf_move_t *move, const bf_move_evidence_t *evidence,
    bf_time_us_t now_us)
{
	double elapsed;
	size_t stage;

	if (evidence->new_slots == 0)
		return 0;
	if (move->share_ppm == 0)
		return stages[0].share_ppm;
	stage = stage_of(move->share_ppm);
	if (stage == STAGE_COUNT - 1)
		return move->share_ppm;
	elapsed = (double)(now_us - move->began_at_us) /
	    (double)(move->duration_us > 0 ? move->duration_us : 1);
	if (elapsed < stages[stage].until)
		return move->share_ppm;
	if (total_runs(evidence->new_runs) < stages[stage].runs_min &&
	    elapsed < UNTESTED_AFTER)
		return move->share_ppm;
	return stages[stage + 1].share_ppm;
}

bf_move_change_t
bf_move_step(
    bf_move_t *move, const bf_move_evidence_t *evidence, bf_time_us_t now_us)
{
	uint32_t share_ppm;

	if (move->state != BF_MOVE_ACTIVE)
		return BF_MOVE_CHANGE_NONE;
	if (is_worse(move, evidence->new_runs, evidence->old_runs) ||
	    is_worse(move, evidence->new_recent, evidence->old_recent)) {
		move->state = BF_MOVE_ROLLED_BACK;
		move->share_ppm = 0;
		return BF_MOVE_CHANGE_ROLLED_BACK;
	}
	if (move->share_ppm == BF_SHARE_ALL_PPM && evidence->new_slots > 0 &&
	    now_us - move->share_set_at_us >= FULL_SHARE_US &&
	    evidence->old_calls == 0) {
		move->state = BF_MOVE_COMPLETED;
		(void)snprintf(
		    move->reason, sizeof(move->reason), "all calls moved");
		return BF_MOVE_CHANGE_COMPLETED;
	}
	share_ppm = next_share(move, evidence, now_us);
	if (share_ppm == move->share_ppm)
		return BF_MOVE_CHANGE_NONE;
	move->share_ppm = share_ppm;
	move->share_set_at_us = now_us;
	(void)snprintf(move->reason, sizeof(move->reason),
	    "%u runs of the new version observed",
	    total_runs(evidence->new_runs));
	return BF_MOVE_CHANGE_SHARE;
}
