#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/load_sim.h"
#include "capacity/estimator.h"
#include "capacity/zones.h"
#include "fairness/refusals.h"
#include "mesh/balance.h"
#include "mesh/call_queue.h"

#define LINE_BYTES 256
#define FAULTS_MAX 8
#define SPEEDS_MAX 8
#define SERVICES_MAX 2
#define ZONES 3
#define NODES_MAX 400
#define OFFERS_MAX 3
/* Network time one way, within a zone and between zones. */
#define SAME_ZONE_US 150
#define CROSS_ZONE_US 1000
/* Targets report their load with each answer, and at this interval. */
#define REPORT_US (40 * BF_US_PER_MS)
/* As in mesh/entry.c. */
#define OWN_ZONE_OBJECTIVE_SHARE 0.85
#define OWN_ZONE_DELAY_SHARE 0.6
#define RETRIES_PER_CALL 0.17
#define RETRY_AFTER_DEFAULT_US (100 * BF_US_PER_MS)
#define RETRY_AFTER_MIN_US (30 * BF_US_PER_MS)
#define JITTER_MAX_US (400 * BF_US_PER_MS)
/* Weight of the newest run in the mean of its class, as in mesh/target.c. */
#define CLASS_WEIGHT 0.08
#define ZONE_COST 0.4

typedef enum bf_pattern_fault_kind {
	FAULT_BURST,
	FAULT_SLOW,
	FAULT_GREY,
	FAULT_COLD,
	FAULT_PARTITION,
	FAULT_RESTART,
	FAULT_FLOOD,
	FAULT_SURGE,
	FAULT_ZONE
} bf_pattern_fault_kind_t;

static const char *const fault_names[] = { "burst", "slow", "grey", "cold",
	"cut", "restart", "flood", "surge", "zone" };

typedef struct bf_pattern_fault {
	bf_pattern_fault_kind_t kind;
	double start_s;
	double duration_s;
	/*
	 * Share of the targets affected; for cut and zone the zone's index, for
	 * a flood the account's, for a surge the class's.
	 */
	double share;
	double strength;
} bf_pattern_fault_t;

typedef struct bf_pattern_class {
	char name[32];
	double share; /* of the calls */
	double work_ms;
	double objective_ms;
	double deadline_ms;
	double worth;
	double late_worth;
	uint32_t priority;
	bool repeatable;
	uint32_t service; /* index */
	/* Class of the call that a part of the runs makes; UINT32_MAX: none. */
	uint32_t child;
	double child_share;
} bf_pattern_class_t;

struct bf_pattern {
	uint32_t nodes;
	uint32_t slots;
	uint32_t knee; /* runs that a target takes without slowing down */
	double slope;  /* slowdown for each run beyond that */
	double speeds[SPEEDS_MAX];
	uint32_t speed_count;
	double seconds; /* during which calls arrive */
	double load;    /* ratio of calls to capacity without faults */
	bf_pattern_class_t classes[BF_PATTERN_CLASSES_MAX];
	uint32_t class_count;
	bf_pattern_fault_t faults[FAULTS_MAX];
	uint32_t fault_count;
	uint32_t services; /* targets of one zone belong to them in turn */
	uint32_t account_count;
	double account_exponent; /* of the Zipf distribution of their calls */
	uint32_t retries;        /* that callers make after a refusal */
	bool has_kinds;          /* targets know the run time of each class */
};

typedef enum bf_sim_event_kind {
	EVENT_ARRIVAL, /* a call arrives at its entry node */
	EVENT_OFFER,   /* a call arrives at the node beside a target */
	EVENT_RETURN,  /* a caller retries a refused call */
	EVENT_CHILD,   /* a run makes a call and waits for it */
	EVENT_RUN_END, /* the run of a call at the target ends */
	EVENT_REPLY,   /* an answer or refusal arrives at the entry */
	EVENT_REPORT   /* all targets report their load */
} bf_sim_event_kind_t;

typedef struct bf_sim_call bf_sim_call_t;
struct bf_sim_call {
	bf_queued_call_t queue_entry; /* first member */
	bf_sim_call_t *parent;        /* whose run waits for this call */
	uint32_t account;             /* index */
	uint32_t retries;             /* of the caller */
	bool makes_child;
	bf_time_us_t left_us;     /* until its objective, at its first offer */
	bf_time_us_t min_wait_us; /* that a refusal stated; 0: none */
	bf_capacity_run_t capacity_run;
	const bf_pattern_class_t *class;
	uint32_t class_index;
	uint32_t entry;
	uint32_t target;
	uint32_t offers;
	uint32_t refusals;
	uint32_t runs;
	uint32_t tried[OFFERS_MAX];
	double work_us; /* at a target of speed 1 */
	bf_time_us_t arrived_at_us;
	bf_time_us_t objective_at_us;
	bf_time_us_t deadline_at_us;
	bf_time_us_t started_at_us;
	bool fails;
	bool refuse_if_late; /* as other targets can be tried */
	bool refused;        /* by the last target */
};

typedef struct bf_sim_event {
	bf_time_us_t at_us;
	uint64_t order; /* of events at the same time */
	bf_sim_event_kind_t kind;
	bf_sim_call_t *call;
} bf_sim_event_t;

typedef struct bf_sim_target {
	bf_call_queue_t call_queue;
	bf_capacity_t capacity;
	double speed;
	double failure_rate; /* moving average, measured by its node */
	uint32_t running;
	double class_run_us[BF_PATTERN_CLASSES_MAX]; /* 0: not measured */
	bf_sim_call_t *queue[4096];                  /* of FCFS policies */
	uint32_t queued;
} bf_sim_target_t;

typedef struct bf_sim {
	const bf_pattern_t *pattern;
	bf_policy_t policy;
	uint32_t nodes;
	uint64_t call_random;   /* draws the calls, alike for every policy */
	uint64_t policy_random; /* draws choices of the policy and failures */
	bf_sim_event_t *heap;
	size_t heap_count;
	size_t heap_capacity;
	uint64_t next_order;
	bf_sim_target_t *targets;
	bf_candidate_t *candidates; /* [entry][target], as known at the entry */
	uint32_t *next_target;      /* by entry, for round robin */
	bf_refusals_t *refusals;    /* by entry */
	double *retry_tokens;       /* by entry: retries that it may make */
	bf_zone_plan_t plans[NODES_MAX]; /* by entry */
	double capacity; /* sum of speed * slots over all targets */
	bf_time_us_t now_us;
	bf_sim_result_t *result;
	uint64_t served;
	double waited_us;
} bf_sim_t;

static double
uniform(uint64_t *random)
{
	return (double)(bf_random_next(random) >> 11) * 0x1p-53;
}

static const bf_pattern_fault_t *
active_fault(const bf_sim_t *sim, bf_pattern_fault_kind_t kind)
{
	double now_s = (double)sim->now_us / BF_US_PER_S;
	uint32_t i;

	for (i = 0; i < sim->pattern->fault_count; i++) {
		const bf_pattern_fault_t *fault = &sim->pattern->faults[i];

		if (fault->kind == kind && now_s >= fault->start_s &&
		    now_s < fault->start_s + fault->duration_s)
			return fault;
	}
	return NULL;
}

/* The active fault of that kind if it affects the target, or NULL. */
static const bf_pattern_fault_t *
fault_on(const bf_sim_t *sim, bf_pattern_fault_kind_t kind, uint32_t target)
{
	const bf_pattern_fault_t *fault = active_fault(sim, kind);

	/* A fixed stride spreads the affected targets over zones and speeds. */
	if (fault == NULL ||
	    (target * 7 + 3) % sim->nodes >= fault->share * sim->nodes)
		return NULL;
	return fault;
}

static bool
is_partitioned(const bf_sim_t *sim, uint32_t a, uint32_t b)
{
	const bf_pattern_fault_t *fault = active_fault(sim, FAULT_PARTITION);
	uint32_t zone;

	if (fault == NULL)
		return false;
	zone = (uint32_t)fault->share;
	return (a % ZONES == zone) != (b % ZONES == zone);
}

static bool
is_down(const bf_sim_t *sim, uint32_t target)
{
	return fault_on(sim, FAULT_RESTART, target) != NULL;
}

static bool
is_earlier(const bf_sim_event_t *a, const bf_sim_event_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
push_event(bf_sim_t *sim, bf_time_us_t at_us, bf_sim_event_kind_t kind,
    bf_sim_call_t *call)
{
	bf_sim_event_t event = { .at_us = at_us,
		.order = sim->next_order++,
		.kind = kind,
		.call = call };
	size_t slot;

	if (sim->heap_count + 1 >= sim->heap_capacity) {
		sim->heap_capacity = sim->heap_capacity * 2 + 1024;
		sim->heap = realloc(
		    sim->heap, sim->heap_capacity * sizeof(bf_sim_event_t));
		if (sim->heap == NULL)
			abort();
	}
	slot = ++sim->heap_count;
	while (slot > 1 && is_earlier(&event, &sim->heap[slot / 2])) {
		sim->heap[slot] = sim->heap[slot / 2];
		slot /= 2;
	}
	sim->heap[slot] = event;
}

static bf_sim_event_t
pop_event(bf_sim_t *sim)
{
	bf_sim_event_t first = sim->heap[1],
		       last = sim->heap[sim->heap_count--];
	size_t slot = 1, child;

	for (child = 2; child <= sim->heap_count; child = slot * 2) {
		if (child < sim->heap_count &&
		    is_earlier(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!is_earlier(&sim->heap[child], &last))
			break;
		sim->heap[slot] = sim->heap[child];
		slot = child;
	}
	sim->heap[slot] = last;
	return first;
}

static bf_time_us_t
one_way_us(uint32_t a, uint32_t b)
{
	return a == b                ? 0
	    : a % ZONES == b % ZONES ? SAME_ZONE_US
				     : CROSS_ZONE_US;
}

static bf_candidate_t *
candidate_of(bf_sim_t *sim, uint32_t entry, uint32_t target)
{
	return &sim->candidates[entry * sim->nodes + target];
}

static bool
learns(const bf_sim_t *sim)
{
	return sim->policy == BF_POLICY_LEARN;
}

/* As in mesh/target.c. */
static void
apply_learnt_load(
    const bf_sim_t *sim, const bf_sim_target_t *t, bf_candidate_t *candidate)
{
	bf_time_us_t run_us;
	uint32_t running = t->running + 1;

	candidate->slots = bf_capacity_learnt_slots(&t->capacity);
	if (running > t->capacity.learnt)
		running = t->capacity.learnt;
	run_us = bf_capacity_expected_us(&t->capacity, running, sim->now_us);
	if (run_us > 0 &&
	    (candidate->mean_run_us <= (uint32_t)t->call_queue.mean_run_us ||
		candidate->mean_run_us < run_us))
		candidate->mean_run_us = (uint32_t)run_us;
}

static void
update_candidate(bf_sim_t *sim, uint32_t entry, uint32_t target)
{
	const bf_sim_target_t *t = &sim->targets[target];
	bf_candidate_t *candidate = candidate_of(sim, entry, target);

	candidate->running = t->running;
	candidate->waiting = t->call_queue.count + t->queued;
	candidate->mean_run_us =
	    (uint32_t)bf_call_queue_current_run_us(&t->call_queue, sim->now_us);
	if (learns(sim))
		apply_learnt_load(sim, t, candidate);
	candidate->failure_ppm = (uint32_t)(t->failure_rate * 1000000);
	candidate->sent_since_report = 0;
}

/* Time that a refused caller is told to wait, as in mesh/entry.c. */
static bf_time_us_t
retry_after_us(bf_sim_t *sim, const bf_sim_call_t *call)
{
	bf_time_us_t pause_us =
	    call->min_wait_us > 0 ? call->min_wait_us : RETRY_AFTER_DEFAULT_US;
	bf_time_us_t jitter_us;

	if (pause_us < RETRY_AFTER_MIN_US)
		pause_us = RETRY_AFTER_MIN_US;
	jitter_us = pause_us < JITTER_MAX_US ? pause_us : JITTER_MAX_US;
	return pause_us +
	    (bf_time_us_t)(uniform(&sim->policy_random) * (double)jitter_us);
}

static bool
is_shared(const bf_sim_t *sim)
{
	return sim->pattern->account_count > 0 &&
	    sim->policy != BF_POLICY_UNSHARED;
}

/* Kind of the call at its entry, see fairness/refusals.h. */
static uint64_t
refusal_kind(const bf_sim_call_t *call)
{
	return 1 + call->class_index +
	    BF_PATTERN_CLASSES_MAX * (uint64_t)call->account;
}

/* Whether the caller of a refused call makes it again, later. */
static bool
return_later(bf_sim_t *sim, bf_sim_call_t *call)
{
	bf_time_us_t wait_us, longest_us;

	if (call->parent != NULL || call->retries >= sim->pattern->retries)
		return false;
	wait_us = retry_after_us(sim, call);
	longest_us = (call->deadline_at_us - sim->now_us) / 3;
	if (wait_us > longest_us)
		wait_us = longest_us;
	call->retries++;
	call->offers = 0;
	call->refusals = 0;
	call->min_wait_us = 0;
	push_event(sim, sim->now_us + wait_us, EVENT_RETURN, call);
	return true;
}

static void end_run(bf_sim_t *sim, bf_sim_call_t *call);

/* Continues the run that waited for the call, or fails it. */
static void
resume_parent(bf_sim_t *sim, bf_sim_call_t *parent, bool answered)
{
	if (!answered) {
		parent->fails = true;
		end_run(sim, parent);
		return;
	}
	push_event(sim,
	    sim->now_us +
		(bf_time_us_t)(parent->work_us /
		    sim->targets[parent->target].speed / 2),
	    EVENT_RUN_END, parent);
}

static void
count_account(bf_sim_t *sim, const bf_sim_call_t *call, bool answered)
{
	bf_sim_account_result_t *counts = &sim->result->accounts[call->account];

	counts->calls++;
	if (!answered || sim->now_us > call->deadline_at_us)
		return;
	counts->served++;
	counts->served_work_s += call->work_us / BF_US_PER_S;
}

static void
finish_call(bf_sim_t *sim, bf_sim_call_t *call, bool answered)
{
	bf_sim_class_result_t *counts =
	    &sim->result->classes[call->class_index];

	if (!answered && call->parent == NULL)
		sim->result->refusals++;
	if (!answered && return_later(sim, call))
		return;
	if (call->parent == NULL)
		count_account(sim, call, answered);
	if (!answered) {
		counts->refused++;
	} else if (sim->now_us <= call->objective_at_us) {
		counts->on_time++;
		sim->result->earned_worth += call->class->worth;
		sim->result->on_time_worth += call->class->worth;
	} else if (sim->now_us <= call->deadline_at_us) {
		counts->late++;
		sim->result->earned_worth += call->class->late_worth;
	} else {
		counts->failed++;
	}
	if (answered) {
		sim->served++;
		sim->waited_us +=
		    (double)(call->started_at_us - call->arrived_at_us);
	}
	if (call->parent != NULL)
		resume_parent(sim, call->parent,
		    answered && sim->now_us <= call->deadline_at_us);
	free(call);
}

static bool
was_tried(const bf_sim_call_t *call, uint32_t target)
{
	uint32_t i;

	for (i = 0; i < call->offers && i < OFFERS_MAX; i++) {
		if (call->tried[i] == target)
			return true;
	}
	return false;
}

/* Time until the target could start one more call, from its actual state. */
static double
actual_wait_us(bf_sim_t *sim, uint32_t target)
{
	bf_sim_target_t *t = &sim->targets[target];
	uint32_t ahead = t->running + t->call_queue.count + t->queued;

	if (ahead < t->call_queue.slots)
		return 0;
	return t->call_queue.mean_run_us * (ahead - t->call_queue.slots + 1) /
	    t->call_queue.slots;
}

static double
actual_speed(const bf_sim_t *sim, uint32_t target)
{
	const bf_pattern_fault_t *fault;
	double speed = sim->targets[target].speed;

	fault = fault_on(sim, FAULT_SLOW, target);
	if (fault != NULL)
		speed /= fault->strength;
	fault = fault_on(sim, FAULT_COLD, target);
	if (fault != NULL)
		speed /= fault->strength;
	return speed;
}

static bool
serves(const bf_sim_t *sim, uint32_t target, const bf_sim_call_t *call)
{
	return target / ZONES % sim->pattern->services == call->class->service;
}

static uint32_t
choose_perfect(bf_sim_t *sim, const bf_sim_call_t *call)
{
	double best_us = INFINITY, end_us;
	uint32_t best = UINT32_MAX, i;

	for (i = 0; i < sim->nodes; i++) {
		if (!serves(sim, i, call) ||
		    is_partitioned(sim, call->entry, i) || is_down(sim, i) ||
		    fault_on(sim, FAULT_GREY, i) != NULL || was_tried(call, i))
			continue;
		end_us = actual_wait_us(sim, i) +
		    call->work_us / actual_speed(sim, i) +
		    2.0 * (double)one_way_us(call->entry, i);
		if (end_us < best_us) {
			best_us = end_us;
			best = i;
		}
	}
	return best;
}

static void
update_plan(bf_sim_t *sim, uint32_t entry)
{
	bf_zone_load_t zones[ZONES] = { 0 };
	uint32_t i;

	if (!bf_zone_plan_due(&sim->plans[entry], sim->now_us))
		return;
	for (i = 0; i < sim->nodes; i++) {
		const bf_candidate_t *candidate = candidate_of(sim, entry, i);

		if (is_partitioned(sim, entry, i) || is_down(sim, i))
			continue;
		zones[i % ZONES].slots += candidate->slots;
		zones[i % ZONES].busy += candidate->running +
		    candidate->waiting + candidate->sent_since_report;
		zones[i % ZONES].work_us +=
		    (double)candidate->slots * candidate->mean_run_us;
	}
	bf_zone_plan_update(&sim->plans[entry], zones, ZONES, entry % ZONES,
	    ZONE_COST, sim->now_us);
}

/*
 * Chooses the zone by the plan, then the target inside it.  A call that would
 * miss its objective in the own zone leaves if another one has room.
 */
static size_t
choose_by_plan(bf_sim_t *sim, const bf_sim_call_t *call,
    const bf_candidate_t *open, const uint32_t *index, size_t count)
{
	static bf_candidate_t in_zone[NODES_MAX];
	static size_t at[NODES_MAX];
	bf_zone_plan_t *plan = &sim->plans[call->entry];
	double left_us = (double)(call->objective_at_us - sim->now_us);
	bf_zone_preference_t preference = { 0 };
	bool refused = call->refusals > 0;
	size_t zone, own = call->entry % ZONES, kept, i, chosen;

	bf_zone_plan_count(plan, call->objective_at_us - call->arrived_at_us);
	update_plan(sim, call->entry);
	for (;;) {
		zone = bf_zone_plan_choose(
		    plan, own, false, refused, uniform(&sim->policy_random));
		kept = 0;
		for (i = 0; i < count; i++) {
			if (index[i] % ZONES != zone)
				continue;
			in_zone[kept] = open[i];
			at[kept++] = i;
		}
		if (kept == 0)
			return bf_candidate_choose(
			    open, count, &preference, &sim->policy_random);
		chosen = bf_candidate_choose(
		    in_zone, kept, &preference, &sim->policy_random);
		if (refused || zone != own ||
		    (double)bf_candidate_expected_us(&in_zone[chosen]) <=
			OWN_ZONE_OBJECTIVE_SHARE * left_us)
			return at[chosen];
		refused = true;
	}
}

/* Chooses by load reports, among the reachable targets not tried yet. */
static uint32_t
choose_by_reports(bf_sim_t *sim, const bf_sim_call_t *call)
{
	static bf_candidate_t open[NODES_MAX];
	static uint32_t index[NODES_MAX];
	bf_time_us_t cost_us, best_us = 0;
	bf_zone_preference_t preference = { 0 };
	uint32_t i, best = UINT32_MAX;
	size_t count = 0, chosen;

	for (i = 0; i < sim->nodes; i++) {
		if (!serves(sim, i, call) ||
		    is_partitioned(sim, call->entry, i) || is_down(sim, i) ||
		    was_tried(call, i))
			continue;
		open[count] = *candidate_of(sim, call->entry, i);
		index[count++] = i;
	}
	if (count == 0)
		return UINT32_MAX;
	if (sim->policy == BF_POLICY_ZONES)
		return index[choose_by_plan(sim, call, open, index, count)];
	switch (sim->policy) {
	case BF_POLICY_MESH:
	case BF_POLICY_UNSHARED:
	case BF_POLICY_LEARN:
		preference.answer_within_us =
		    (bf_time_us_t)(OWN_ZONE_OBJECTIVE_SHARE *
			(double)(call->objective_at_us - sim->now_us));
		preference.extra_us = (bf_time_us_t)(OWN_ZONE_DELAY_SHARE *
		    (double)(call->objective_at_us - sim->now_us));
		break;
	case BF_POLICY_TWO_CHOICES:
		break;
	case BF_POLICY_ROUND_ROBIN:
		return index[sim->next_target[call->entry]++ % count];
	case BF_POLICY_RANDOM:
		return index[bf_random_next(&sim->policy_random) % count];
	default:
		for (i = 0; i < count; i++) {
			cost_us = bf_candidate_expected_us(&open[i]);
			if (best == UINT32_MAX || cost_us < best_us) {
				best = index[i];
				best_us = cost_us;
			}
		}
		return best;
	}
	chosen =
	    bf_candidate_choose(open, count, &preference, &sim->policy_random);
	return index[chosen];
}

/* As far as the entry knows. */
static bool
is_full(bf_sim_t *sim, uint32_t entry, uint32_t target)
{
	const bf_candidate_t *candidate = candidate_of(sim, entry, target);

	return candidate->running + candidate->waiting >= candidate->slots;
}

static void
send_offer(bf_sim_t *sim, bf_sim_call_t *call)
{
	uint32_t target;

	target = sim->policy == BF_POLICY_PERFECT
	    ? choose_perfect(sim, call)
	    : choose_by_reports(sim, call);
	if (call->offers == 0)
		call->left_us = call->objective_at_us - sim->now_us;
	if (is_shared(sim) && call->parent == NULL && call->offers == 0 &&
	    target != UINT32_MAX && is_full(sim, call->entry, target)) {
		call->min_wait_us =
		    bf_refusals_wait_us(&sim->refusals[call->entry],
			refusal_kind(call), call->left_us, sim->now_us);
		if (call->min_wait_us > 0) {
			finish_call(sim, call, false);
			return;
		}
	}
	if (is_shared(sim) && call->parent == NULL && call->min_wait_us > 0 &&
	    call->refusals == OFFERS_MAX)
		bf_refusals_record(&sim->refusals[call->entry],
		    refusal_kind(call), call->min_wait_us, call->left_us,
		    sim->now_us);
	if (target == UINT32_MAX || call->offers == OFFERS_MAX ||
	    sim->now_us >= call->deadline_at_us) {
		finish_call(sim, call, false);
		return;
	}
	call->tried[call->offers++] = target;
	call->target = target;
	call->refuse_if_late = call->refusals + 1 < OFFERS_MAX;
	candidate_of(sim, call->entry, target)->sent_since_report++;
	sim->result->offers++;
	push_event(sim, sim->now_us + one_way_us(call->entry, target),
	    EVENT_OFFER, call);
}

static void
begin_run(bf_sim_t *sim, bf_sim_call_t *call)
{
	const bf_pattern_fault_t *grey =
	    fault_on(sim, FAULT_GREY, call->target);
	double took_us = call->work_us / actual_speed(sim, call->target);
	bf_sim_target_t *target = &sim->targets[call->target];
	uint32_t running;

	call->started_at_us = sim->now_us;
	running = ++target->running;
	if (sim->pattern->knee > 0 && running > sim->pattern->knee)
		took_us *=
		    1 + sim->pattern->slope * (running - sim->pattern->knee);
	bf_capacity_begin(&target->capacity, &call->capacity_run, sim->now_us);
	sim->result->runs++;
	if (call->target % ZONES != call->entry % ZONES)
		sim->result->runs_outside++;
	call->fails =
	    grey != NULL && uniform(&sim->policy_random) < grey->strength;
	if (call->fails)
		took_us *= uniform(&sim->policy_random);
	if (call->makes_child && !call->fails) {
		push_event(sim, sim->now_us + (bf_time_us_t)(took_us / 2),
		    EVENT_CHILD, call);
		return;
	}
	push_event(
	    sim, sim->now_us + (bf_time_us_t)took_us, EVENT_RUN_END, call);
}

static void
send_reply(bf_sim_t *sim, bf_sim_call_t *call, bool refused)
{
	bf_time_us_t wait_us;

	if (refused && sim->pattern->retries > 0) {
		wait_us = bf_call_queue_expected_wait_us(
		    &sim->targets[call->target].call_queue, &call->queue_entry,
		    sim->now_us);
		if (call->min_wait_us == 0 || wait_us < call->min_wait_us)
			call->min_wait_us = wait_us;
	}
	call->refused = refused;
	push_event(sim, sim->now_us + one_way_us(call->entry, call->target),
	    EVENT_REPLY, call);
}

/* The perfect policy differs from the mesh in the choice of targets only. */
static bool
uses_call_queue(const bf_sim_t *sim)
{
	return sim->policy == BF_POLICY_MESH ||
	    sim->policy == BF_POLICY_UNSHARED || learns(sim) ||
	    sim->policy == BF_POLICY_ZONES || sim->policy == BF_POLICY_PERFECT;
}

/* As its node knows it: of all runs, or of those of the class. */
static bf_time_us_t
expected_run_us(
    const bf_sim_t *sim, const bf_sim_target_t *target, uint32_t class_index)
{
	if (!sim->pattern->has_kinds || target->class_run_us[class_index] <= 0)
		return (bf_time_us_t)target->call_queue.mean_run_us;
	return (bf_time_us_t)target->class_run_us[class_index];
}

static void start_next_run(bf_sim_t *sim, uint32_t index);

/* A call arrives at the node beside the target. */
static void
handle_offer(bf_sim_t *sim, bf_sim_call_t *call)
{
	bf_sim_target_t *target = &sim->targets[call->target];
	bf_queued_call_t *displaced;

	if (!uses_call_queue(sim)) {
		if (target->running < target->call_queue.slots)
			begin_run(sim, call);
		else if (target->queued < 4096)
			target->queue[target->queued++] = call;
		else
			send_reply(sim, call, true);
		return;
	}
	call->queue_entry = (bf_queued_call_t){
		.inner = call->parent != NULL,
		.priority = call->parent != NULL ? call->parent->class->priority
						 : call->class->priority,
		.account = is_shared(sim) ? call->account + 1 : 0,
		.objective_at_us = call->objective_at_us,
		.deadline_at_us = call->deadline_at_us,
		.expected_run_us =
		    expected_run_us(sim, target, call->class_index),
	};
	switch (bf_call_queue_admit(&target->call_queue, &call->queue_entry,
	    call->refuse_if_late, sim->now_us)) {
	case BF_QUEUE_DECISION_START:
		begin_run(sim, call);
		break;
	case BF_QUEUE_DECISION_WAIT:
		while ((displaced = bf_call_queue_take_displaced(
			    &target->call_queue, sim->now_us)) != NULL)
			send_reply(
			    sim, (bf_sim_call_t *)(void *)displaced, true);
		break;
	case BF_QUEUE_DECISION_REFUSE:
		send_reply(sim, call, true);
		break;
	}
}

static void
start_next_run(bf_sim_t *sim, uint32_t index)
{
	bf_sim_target_t *target = &sim->targets[index];
	bf_queued_call_t *next;

	if (uses_call_queue(sim)) {
		while ((next = bf_call_queue_take_expired(
			    &target->call_queue, sim->now_us)) != NULL)
			send_reply(sim, (bf_sim_call_t *)(void *)next, true);
		while ((next = bf_call_queue_start_next(
			    &target->call_queue, sim->now_us)) != NULL)
			begin_run(sim, (bf_sim_call_t *)(void *)next);
		return;
	}
	if (target->queued == 0)
		return;
	begin_run(sim, target->queue[0]);
	memmove(target->queue, target->queue + 1,
	    --target->queued * sizeof(bf_sim_call_t *));
}

static void
learn_run(bf_sim_t *sim, bf_sim_target_t *target, bf_sim_call_t *call)
{
	bf_capacity_set_percent(&target->capacity,
	    (uint32_t)(100 * target->speed / actual_speed(sim, call->target)),
	    sim->now_us);
	bf_capacity_end(&target->capacity, &call->capacity_run,
	    call->class_index, !call->fails, sim->now_us);
	if (learns(sim))
		target->call_queue.slots = bf_capacity_slots(&target->capacity,
		    target->call_queue.count > 0, sim->now_us);
}

static void
end_run(bf_sim_t *sim, bf_sim_call_t *call)
{
	bf_sim_target_t *target = &sim->targets[call->target];
	bf_time_us_t spent_us = sim->now_us - call->started_at_us;
	uint32_t index = call->target;

	target->running--;
	if (target->class_run_us[call->class_index] <= 0)
		target->class_run_us[call->class_index] = (double)spent_us;
	else if (!call->fails)
		target->class_run_us[call->class_index] += CLASS_WEIGHT *
		    ((double)spent_us -
			target->class_run_us[call->class_index]);
	target->failure_rate +=
	    0.08 * ((call->fails ? 1 : 0) - target->failure_rate);
	if (uses_call_queue(sim))
		bf_call_queue_end_run(
		    &target->call_queue, &call->queue_entry, spent_us);
	else
		bf_call_queue_count_run(&target->call_queue, spent_us);
	learn_run(sim, target, call);
	if (call->fails || sim->now_us > call->deadline_at_us)
		sim->result->wasted_s += (double)spent_us / BF_US_PER_S;
	send_reply(sim, call, false);
	start_next_run(sim, index);
}

/* A run makes a call with half of its work done, and waits for it. */
static void
handle_child(bf_sim_t *sim, bf_sim_call_t *parent)
{
	const bf_pattern_t *p = sim->pattern;
	bf_sim_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	call->class_index = parent->class->child;
	call->class = &p->classes[call->class_index];
	call->parent = parent;
	call->account = parent->account;
	call->entry = parent->target;
	call->work_us = call->class->work_ms * BF_US_PER_MS;
	call->arrived_at_us = sim->now_us;
	call->started_at_us = sim->now_us;
	call->objective_at_us = sim->now_us +
	    (bf_time_us_t)(call->class->objective_ms * BF_US_PER_MS);
	call->deadline_at_us = sim->now_us +
	    (bf_time_us_t)(call->class->deadline_ms * BF_US_PER_MS);
	if (call->deadline_at_us > parent->deadline_at_us)
		call->deadline_at_us = parent->deadline_at_us;
	if (call->objective_at_us > call->deadline_at_us)
		call->objective_at_us = call->deadline_at_us;
	sim->result->classes[call->class_index].calls++;
	send_offer(sim, call);
}

static void
handle_reply(bf_sim_t *sim, bf_sim_call_t *call)
{
	update_candidate(sim, call->entry, call->target);
	if (call->refused) {
		call->refusals++;
		send_offer(sim, call);
		return;
	}
	call->runs++;
	if (!call->fails) {
		finish_call(sim, call, true);
		return;
	}
	/* A run that failed for want of capacity elsewhere is not repeated. */
	if (call->class->repeatable && !call->makes_child && call->runs < 2 &&
	    sim->retry_tokens[call->entry] >= 1) {
		sim->retry_tokens[call->entry] -= 1;
		send_offer(sim, call);
		return;
	}
	sim->result->classes[call->class_index].failed++;
	if (call->parent != NULL)
		resume_parent(sim, call->parent, false);
	else
		count_account(sim, call, false);
	free(call);
}

/* Calls of an account, as a share of those of all without a flood. */
static double
account_share(const bf_pattern_t *p, uint32_t account)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < p->account_count; i++)
		sum += pow(i + 1, -p->account_exponent);
	return pow(account + 1, -p->account_exponent) / sum;
}

/* Probability of a class under the active faults, times class_sum(). */
static double
class_rate(const bf_sim_t *sim, uint32_t index)
{
	const bf_pattern_fault_t *surge = active_fault(sim, FAULT_SURGE);
	double share = sim->pattern->classes[index].share;

	return surge != NULL && (uint32_t)surge->share == index
	    ? share * surge->strength
	    : share;
}

static double
class_sum(const bf_sim_t *sim)
{
	double sum = 0;
	uint32_t i;

	if (active_fault(sim, FAULT_SURGE) == NULL)
		return 1;
	for (i = 0; i < sim->pattern->class_count; i++)
		sum += class_rate(sim, i);
	return sum;
}

static uint32_t
draw_account(bf_sim_t *sim)
{
	const bf_pattern_fault_t *flood = active_fault(sim, FAULT_FLOOD);
	const bf_pattern_t *p = sim->pattern;
	double pick, share, extra = 0;
	uint32_t i;

	if (p->account_count == 0)
		return 0;
	if (flood != NULL)
		extra = (flood->strength - 1) *
		    account_share(p, (uint32_t)flood->share);
	pick = uniform(&sim->call_random) * (1 + extra);
	if (flood != NULL && pick >= 1)
		return (uint32_t)flood->share;
	for (i = 0; i + 1 < p->account_count; i++) {
		share = account_share(p, i);
		if (pick < share)
			break;
		pick -= share;
	}
	return i;
}

static void
schedule_arrival(bf_sim_t *sim)
{
	const bf_pattern_fault_t *burst = active_fault(sim, FAULT_BURST);
	const bf_pattern_fault_t *flood = active_fault(sim, FAULT_FLOOD);
	const bf_pattern_t *p = sim->pattern;
	double mean_work_us = 0, rate;
	uint32_t i;

	for (i = 0; i < p->class_count; i++) {
		mean_work_us +=
		    p->classes[i].share * p->classes[i].work_ms * BF_US_PER_MS;
		if (p->classes[i].child < p->class_count)
			mean_work_us += p->classes[i].share *
			    p->classes[i].child_share *
			    p->classes[p->classes[i].child].work_ms *
			    BF_US_PER_MS;
	}
	/* In calls per microsecond. */
	rate = p->load * sim->capacity / mean_work_us;
	if (burst != NULL)
		rate *= burst->strength;
	if (flood != NULL)
		rate *= 1 +
		    (flood->strength - 1) *
			account_share(p, (uint32_t)flood->share);
	rate *= class_sum(sim);
	push_event(sim,
	    sim->now_us +
		(bf_time_us_t)(-log(1 - uniform(&sim->call_random)) / rate),
	    EVENT_ARRIVAL, NULL);
}

/*
 * The entry of a call.  While a zone has more load than the others, entries are
 * drawn again until one is accepted with a probability by its zone's load.
 */
static uint32_t
draw_entry(bf_sim_t *sim)
{
	const bf_pattern_fault_t *fault = active_fault(sim, FAULT_ZONE);
	uint32_t entry;

	do {
		entry = (uint32_t)(uniform(&sim->call_random) * sim->nodes) %
		    sim->nodes;
	} while (fault != NULL && entry % ZONES != (uint32_t)fault->share &&
	    uniform(&sim->call_random) * fault->strength >= 1);
	return entry;
}

static void
handle_arrival(bf_sim_t *sim)
{
	const bf_pattern_t *p = sim->pattern;
	double pick = uniform(&sim->call_random), spread;
	bf_sim_call_t *call = calloc(1, sizeof(*call));
	uint32_t i = 0;

	if (call == NULL)
		abort();
	pick *= class_sum(sim);
	while (i + 1 < p->class_count && pick >= class_rate(sim, i))
		pick -= class_rate(sim, i++);
	call->class = &p->classes[i];
	call->class_index = i;
	call->entry = draw_entry(sim);
	/* Work times have a gamma distribution of shape 4. */
	spread = -log((1 - uniform(&sim->call_random)) *
		     (1 - uniform(&sim->call_random)) *
		     (1 - uniform(&sim->call_random)) *
		     (1 - uniform(&sim->call_random))) /
	    4;
	call->work_us = call->class->work_ms * BF_US_PER_MS * spread;
	call->account = draw_account(sim);
	call->makes_child = call->class->child < p->class_count &&
	    uniform(&sim->call_random) < call->class->child_share;
	call->arrived_at_us = sim->now_us;
	call->started_at_us = sim->now_us;
	call->objective_at_us = sim->now_us +
	    (bf_time_us_t)(call->class->objective_ms * BF_US_PER_MS);
	call->deadline_at_us = sim->now_us +
	    (bf_time_us_t)(call->class->deadline_ms * BF_US_PER_MS);
	sim->result->classes[i].calls++;
	sim->result->total_worth += call->class->worth;
	sim->retry_tokens[call->entry] += RETRIES_PER_CALL;
	send_offer(sim, call);
	schedule_arrival(sim);
}

static void
update_all_candidates(bf_sim_t *sim)
{
	uint32_t entry, target;

	for (target = 0; target < sim->nodes; target++) {
		/* The measured failure rate halves in two seconds. */
		sim->targets[target].failure_rate *= exp2(-0.02);
		if (uses_call_queue(sim))
			start_next_run(sim, target);
		for (entry = 0; entry < sim->nodes; entry++) {
			if (!is_partitioned(sim, entry, target))
				update_candidate(sim, entry, target);
		}
	}
	push_event(sim, sim->now_us + REPORT_US, EVENT_REPORT, NULL);
}

static void
handle_event(bf_sim_t *sim, const bf_sim_event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		handle_arrival(sim);
		break;
	case EVENT_OFFER:
		handle_offer(sim, event->call);
		break;
	case EVENT_RETURN:
		send_offer(sim, event->call);
		break;
	case EVENT_CHILD:
		handle_child(sim, event->call);
		break;
	case EVENT_RUN_END:
		end_run(sim, event->call);
		break;
	case EVENT_REPLY:
		handle_reply(sim, event->call);
		break;
	case EVENT_REPORT:
		update_all_candidates(sim);
		break;
	}
}

static void
init_targets(bf_sim_t *sim)
{
	const bf_pattern_t *p = sim->pattern;
	uint32_t i, j;

	sim->targets = calloc(sim->nodes, sizeof(bf_sim_target_t));
	sim->candidates =
	    calloc((size_t)sim->nodes * sim->nodes, sizeof(bf_candidate_t));
	sim->next_target = calloc(sim->nodes, sizeof(uint32_t));
	sim->refusals = calloc(sim->nodes, sizeof(bf_refusals_t));
	sim->retry_tokens = calloc(sim->nodes, sizeof(double));
	if (sim->targets == NULL || sim->candidates == NULL ||
	    sim->next_target == NULL || sim->retry_tokens == NULL ||
	    sim->refusals == NULL)
		abort();
	for (i = 0; i < sim->nodes; i++) {
		bf_call_queue_init(&sim->targets[i].call_queue, p->slots);
		sim->targets[i].call_queue.keeps_reserve = is_shared(sim);
		bf_capacity_init(&sim->targets[i].capacity, p->slots, 0);
		sim->targets[i].speed = p->speeds[i % p->speed_count];
		sim->capacity += sim->targets[i].speed * p->slots;
		sim->next_target[i] = i;
		for (j = 0; j < sim->nodes; j++)
			*candidate_of(sim, i, j) = (bf_candidate_t){
				.slots = p->slots,
				.mean_run_us = BF_CALL_QUEUE_INITIAL_RUN_US,
				.round_trip_us =
				    (uint32_t)(2 * one_way_us(i, j)),
				.in_own_zone = i % ZONES == j % ZONES,
			};
	}
}

void
bf_pattern_simulate(const bf_pattern_t *pattern, bf_policy_t policy,
    uint32_t nodes, uint64_t seed, bf_sim_result_t *result)
{
	bf_sim_t sim = {
		.pattern = pattern,
		.policy = policy,
		.nodes = nodes > 0 ? nodes : pattern->nodes,
		.call_random = seed * 2 + 1,
		.policy_random = seed * 2 + 1,
		.result = result,
	};
	bf_time_us_t end_us = (bf_time_us_t)(pattern->seconds * BF_US_PER_S);
	bf_sim_event_t event;

	memset(result, 0, sizeof(*result));
	result->class_count = pattern->class_count;
	result->account_count = pattern->account_count;
	if (sim.nodes > NODES_MAX)
		sim.nodes = NODES_MAX;
	init_targets(&sim);
	push_event(&sim, 0, EVENT_REPORT, NULL);
	schedule_arrival(&sim);
	while (sim.heap_count > 0) {
		event = pop_event(&sim);
		sim.now_us = event.at_us;
		if (sim.now_us > end_us &&
		    (event.kind == EVENT_ARRIVAL ||
			event.kind == EVENT_REPORT)) {
			/*
			 * No call arrives any more; those in flight are
			 * completed.
			 */
			if (event.kind == EVENT_REPORT &&
			    sim.now_us < end_us + 2 * BF_US_PER_S)
				update_all_candidates(&sim);
			continue;
		}
		handle_event(&sim, &event);
	}
	result->mean_wait_ms = sim.served > 0
	    ? sim.waited_us / (double)sim.served / BF_US_PER_MS
	    : 0;
	free(sim.heap);
	free(sim.targets);
	free(sim.candidates);
	free(sim.next_target);
	free(sim.refusals);
	free(sim.retry_tokens);
}

const char *
bf_policy_name(bf_policy_t policy)
{
	static const char *const names[] = { "mesh", "two-choices",
		"stale-least", "round-robin", "random", "unshared", "perfect",
		"learn", "zones" };

	return names[policy];
}

static bool
read_fault(bf_pattern_t *pattern, const char *line)
{
	bf_pattern_fault_t fault;
	char word[16];
	size_t i;

	if (sscanf(line, "%15s %lf %lf %lf %lf", word, &fault.start_s,
		&fault.duration_s, &fault.share, &fault.strength) != 5 ||
	    pattern->fault_count == FAULTS_MAX)
		return false;
	for (i = 0; i < sizeof(fault_names) / sizeof(fault_names[0]); i++) {
		if (strcmp(word, fault_names[i]) != 0)
			continue;
		fault.kind = (bf_pattern_fault_kind_t)i;
		pattern->faults[pattern->fault_count++] = fault;
		return true;
	}
	return false;
}

static bool
read_class(bf_pattern_t *pattern, const char *line)
{
	bf_pattern_class_t class = { 0 };
	char repeat[16];

	if (pattern->class_count == BF_PATTERN_CLASSES_MAX ||
	    sscanf(line, "class %31s %lf %lf %lf %lf %lf %lf %u %15s",
		class.name, &class.share, &class.work_ms, &class.objective_ms,
		&class.deadline_ms, &class.worth, &class.late_worth,
		&class.priority, repeat) != 9)
		return false;
	class.repeatable = strcmp(repeat, "repeatable") == 0;
	class.child = UINT32_MAX;
	pattern->classes[pattern->class_count++] = class;
	return true;
}

static bf_pattern_class_t *
find_class(bf_pattern_t *pattern, const char *name)
{
	uint32_t i;

	for (i = 0; i < pattern->class_count; i++) {
		if (strcmp(pattern->classes[i].name, name) == 0)
			return &pattern->classes[i];
	}
	return NULL;
}

/* Reads the lines about accounts, services and calls made by runs. */
static bool
read_sharing(bf_pattern_t *pattern, const char *line)
{
	char name[32], child_name[32];
	bf_pattern_class_t *class, *child;
	double share;
	uint32_t number;

	if (sscanf(line, "accounts %u %lf", &pattern->account_count,
		&pattern->account_exponent) == 2) {
		pattern->has_kinds = true;
		return pattern->account_count > 0 &&
		    pattern->account_count <= BF_PATTERN_ACCOUNTS_MAX;
	}
	if (sscanf(line, "retries %u", &pattern->retries) == 1)
		return true;
	if (sscanf(line, "serves %u %31s", &number, name) == 2) {
		class = find_class(pattern, name);
		if (class == NULL || number >= SERVICES_MAX)
			return false;
		class->service = number;
		if (number >= pattern->services)
			pattern->services = number + 1;
		pattern->has_kinds = true;
		return true;
	}
	if (sscanf(line, "needs %31s %31s %lf", name, child_name, &share) != 3)
		return false;
	class = find_class(pattern, name);
	child = find_class(pattern, child_name);
	if (class == NULL || child == NULL || child == class)
		return false;
	class->child = (uint32_t)(child - pattern->classes);
	class->child_share = share;
	return true;
}

static bool
read_speeds(bf_pattern_t *pattern, const char *text)
{
	char *end;

	while (pattern->speed_count < SPEEDS_MAX) {
		double speed = strtod(text, &end);

		if (end == text)
			break;
		if (!(speed > 0))
			return false;
		pattern->speeds[pattern->speed_count++] = speed;
		text = end;
	}
	return pattern->speed_count > 0;
}

static bool
read_pattern_line(bf_pattern_t *pattern, const char *line)
{
	if (line[0] == '#' || line[0] == '\n' || line[0] == '\0')
		return true;
	if (strncmp(line, "class ", 6) == 0)
		return read_class(pattern, line);
	if (strncmp(line, "speeds ", 7) == 0)
		return read_speeds(pattern, line + 7);
	return sscanf(line, "nodes %u", &pattern->nodes) == 1 ||
	    sscanf(line, "slots %u", &pattern->slots) == 1 ||
	    sscanf(line, "knee %u %lf", &pattern->knee, &pattern->slope) == 2 ||
	    sscanf(line, "seconds %lf", &pattern->seconds) == 1 ||
	    sscanf(line, "load %lf", &pattern->load) == 1 ||
	    read_sharing(pattern, line) || read_fault(pattern, line);
}

bf_pattern_t *
bf_pattern_read(const char *path, bf_error_t *err)
{
	bf_pattern_t *pattern = calloc(1, sizeof(*pattern));
	char line[LINE_BYTES];
	uint32_t number = 0;
	FILE *file;

	file = fopen(path, "r");
	if (pattern == NULL || file == NULL) {
		bf_error_set(err, BF_ERR_IO, "%s cannot be read", path);
		free(pattern);
		if (file != NULL)
			fclose(file);
		return NULL;
	}
	pattern->services = 1;
	while (fgets(line, sizeof(line), file) != NULL) {
		number++;
		if (read_pattern_line(pattern, line))
			continue;
		bf_error_set(err, BF_ERR_PARSE, "%s:%u: invalid line: %s", path,
		    number, line);
		free(pattern);
		fclose(file);
		return NULL;
	}
	fclose(file);
	if (pattern->nodes == 0 || pattern->nodes > NODES_MAX ||
	    pattern->slots == 0 || pattern->speed_count == 0 ||
	    pattern->class_count == 0 || !(pattern->load > 0)) {
		bf_error_set(err, BF_ERR_RANGE,
		    "%s lacks nodes, slots, speeds, load or a class", path);
		free(pattern);
		return NULL;
	}
	return pattern;
}

void
bf_pattern_free(bf_pattern_t *pattern)
{
	free(pattern);
}
