#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/loadplay.h"
#include "mesh/balance.h"
#include "mesh/call_queue.h"

#define LINE_BYTES 256
#define FAULTS_MAX 8
#define SPEEDS_MAX 8
#define ZONES 3
#define NODES_MAX 400
#define OFFERS_MAX 3
/* Network time one way, in the own zone and beyond. */
#define NEAR_US 150
#define FAR_US 1000
/* Targets report their load this often besides in each answer. */
#define REPORT_US (40 * BF_US_PER_MS)
/* As the entry has them, see mesh/entry.c. */
#define NEAR_SHARE 0.85
#define NEAR_LONGER 0.6
#define REPEATS_PER_CALL 0.17

typedef enum bf_fault_kind {
	FAULT_BURST,
	FAULT_SLOW,
	FAULT_GREY,
	FAULT_COLD,
	FAULT_CUT,
	FAULT_RESTART
} bf_fault_kind_t;

static const char *const fault_names[] = { "burst", "slow", "grey", "cold",
	"cut", "restart" };

typedef struct bf_fault {
	bf_fault_kind_t kind;
	double at_s;
	double for_s;
	double share; /* of the targets; the zone's number for a cut */
	double x;     /* how strong */
} bf_fault_t;

typedef struct bf_class {
	char name[32];
	double rate; /* part of the calls */
	double work_ms;
	double objective_ms;
	double deadline_ms;
	double worth;
	double late_worth;
	uint32_t priority;
	bool repeatable;
} bf_class_t;

struct bf_pattern {
	uint32_t nodes;
	uint32_t slots;
	double speeds[SPEEDS_MAX];
	uint32_t speed_count;
	double seconds;
	double load; /* of capacity with all well */
	bf_class_t classes[BF_PLAY_CLASSES_MAX];
	uint32_t class_count;
	bf_fault_t faults[FAULTS_MAX];
	uint32_t fault_count;
};

typedef enum bf_step_kind {
	STEP_ARRIVE, /* a caller's call at its entry */
	STEP_OFFER,  /* at the node beside a target */
	STEP_END,    /* its run at the target is over */
	STEP_REPLY,  /* back at the entry */
	STEP_REPORT
} bf_step_kind_t;

typedef struct bf_sim_call {
	bf_queued_call_t waiter; /* first member */
	const bf_class_t *class;
	uint32_t class_index;
	uint32_t entry;
	uint32_t target;
	uint32_t offers;
	uint32_t busy;
	uint32_t sends;
	uint32_t tried[OFFERS_MAX];
	double work_us; /* on a target of speed 1 */
	bf_time_us_t began_us;
	bf_time_us_t objective_us;
	bf_time_us_t deadline_us;
	bf_time_us_t started_us;
	bool fails;
	bool on_time;
	bool refused; /* the last offer */
} bf_sim_call_t;

typedef struct bf_step {
	bf_time_us_t at_us;
	uint64_t order;
	bf_step_kind_t kind;
	bf_sim_call_t *call;
} bf_step_t;

typedef struct bf_sim_target {
	bf_call_queue_t waiting;
	double speed;
	double failing; /* as its node measures it */
	uint32_t running;
	bf_sim_call_t *queue[4096]; /* of policies without bf_call_queue */
	uint32_t queued;
} bf_sim_target_t;

typedef struct bf_sim {
	const bf_pattern_t *pattern;
	bf_policy_t policy;
	uint32_t nodes;
	uint64_t random;  /* of the calls, the same for every policy */
	uint64_t choices; /* of the policy */
	bf_step_t *heap;
	size_t count;
	size_t room;
	uint64_t order;
	bf_sim_target_t *targets;
	bf_candidate_t *places; /* [entry][target], as the entry knows it */
	uint32_t *next;         /* round robin of an entry */
	double *budget;         /* repeats in hand of an entry */
	double capacity;        /* speeds times slots */
	bf_time_us_t now_us;
	bf_play_result_t *result;
	uint64_t served;
	double waited_us;
} bf_sim_t;

static double
uniform(uint64_t *random)
{
	return (double)(bf_random_next(random) >> 11) * 0x1p-53;
}

static const bf_fault_t *
active(const bf_sim_t *sim, bf_fault_kind_t kind)
{
	double now_s = (double)sim->now_us / BF_US_PER_S;
	uint32_t i;

	for (i = 0; i < sim->pattern->fault_count; i++) {
		const bf_fault_t *fault = &sim->pattern->faults[i];

		if (fault->kind == kind && now_s >= fault->at_s &&
		    now_s < fault->at_s + fault->for_s)
			return fault;
	}
	return NULL;
}

/* Whether a fault of that kind is on this target now. */
static const bf_fault_t *
fault_on(const bf_sim_t *sim, bf_fault_kind_t kind, uint32_t target)
{
	const bf_fault_t *fault = active(sim, kind);

	/* Spread over zones and speeds by a fixed stride. */
	if (fault == NULL ||
	    (target * 7 + 3) % sim->nodes >= fault->share * sim->nodes)
		return NULL;
	return fault;
}

static bool
is_cut(const bf_sim_t *sim, uint32_t a, uint32_t b)
{
	const bf_fault_t *fault = active(sim, FAULT_CUT);
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
before(const bf_step_t *a, const bf_step_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
push(
    bf_sim_t *sim, bf_time_us_t at_us, bf_step_kind_t kind, bf_sim_call_t *call)
{
	bf_step_t step = { .at_us = at_us,
		.order = sim->order++,
		.kind = kind,
		.call = call };
	size_t place;

	if (sim->count + 1 >= sim->room) {
		sim->room = sim->room * 2 + 1024;
		sim->heap = realloc(sim->heap, sim->room * sizeof(bf_step_t));
		if (sim->heap == NULL)
			abort();
	}
	place = ++sim->count;
	while (place > 1 && before(&step, &sim->heap[place / 2])) {
		sim->heap[place] = sim->heap[place / 2];
		place /= 2;
	}
	sim->heap[place] = step;
}

static bf_step_t
pop(bf_sim_t *sim)
{
	bf_step_t first = sim->heap[1], last = sim->heap[sim->count--];
	size_t place = 1, child;

	for (child = 2; child <= sim->count; child = place * 2) {
		if (child < sim->count &&
		    before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!before(&sim->heap[child], &last))
			break;
		sim->heap[place] = sim->heap[child];
		place = child;
	}
	sim->heap[place] = last;
	return first;
}

static bf_time_us_t
way_us(uint32_t a, uint32_t b)
{
	return a == b ? 0 : a % ZONES == b % ZONES ? NEAR_US : FAR_US;
}

static bf_candidate_t *
place_of(bf_sim_t *sim, uint32_t entry, uint32_t target)
{
	return &sim->places[entry * sim->nodes + target];
}

static void
report(bf_sim_t *sim, uint32_t entry, uint32_t target)
{
	const bf_sim_target_t *t = &sim->targets[target];
	bf_candidate_t *place = place_of(sim, entry, target);

	place->running = t->running;
	place->waiting = t->waiting.count + t->queued;
	place->mean_us = (uint32_t)t->waiting.mean_run_us;
	place->failing_ppm = (uint32_t)(t->failing * 1000000);
	place->sent_since_report = 0;
}

static void
settle(bf_sim_t *sim, bf_sim_call_t *call, bool answered)
{
	bf_play_class_t *counts = &sim->result->classes[call->class_index];

	if (!answered) {
		counts->refused++;
	} else if (sim->now_us <= call->objective_us) {
		counts->on_time++;
		sim->result->earned += call->class->worth;
		sim->result->on_time += call->class->worth;
	} else if (sim->now_us <= call->deadline_us) {
		counts->late++;
		sim->result->earned += call->class->late_worth;
	} else {
		counts->failed++;
	}
	if (answered) {
		sim->served++;
		sim->waited_us += (double)(call->started_us - call->began_us);
	}
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

/* When the target's queue would let one more call start, known exactly. */
static double
true_wait_us(bf_sim_t *sim, uint32_t target)
{
	bf_sim_target_t *t = &sim->targets[target];
	uint32_t ahead = t->running + t->waiting.count + t->queued;

	if (ahead < t->waiting.slots)
		return 0;
	return t->waiting.mean_run_us * (ahead - t->waiting.slots + 1) /
	    t->waiting.slots;
}

static double
true_speed(const bf_sim_t *sim, uint32_t target)
{
	const bf_fault_t *fault;
	double speed = sim->targets[target].speed;

	fault = fault_on(sim, FAULT_SLOW, target);
	if (fault != NULL)
		speed /= fault->x;
	fault = fault_on(sim, FAULT_COLD, target);
	if (fault != NULL)
		speed /= fault->x;
	return speed;
}

static uint32_t
choose_perfect(bf_sim_t *sim, const bf_sim_call_t *call)
{
	double best_us = INFINITY, end_us;
	uint32_t best = UINT32_MAX, i;

	for (i = 0; i < sim->nodes; i++) {
		if (is_cut(sim, call->entry, i) || is_down(sim, i) ||
		    fault_on(sim, FAULT_GREY, i) != NULL || was_tried(call, i))
			continue;
		end_us = true_wait_us(sim, i) +
		    call->work_us / true_speed(sim, i) +
		    2.0 * (double)way_us(call->entry, i);
		if (end_us < best_us) {
			best_us = end_us;
			best = i;
		}
	}
	return best;
}

/* By the entry's reports; silent and refusing nodes are known as such. */
static uint32_t
choose_by_reports(bf_sim_t *sim, const bf_sim_call_t *call)
{
	static bf_candidate_t open[NODES_MAX];
	static uint32_t index[NODES_MAX];
	bf_time_us_t cost_us, best_us = 0;
	bf_zone_preference_t near = { 0 };
	uint32_t i, best = UINT32_MAX;
	size_t count = 0, chosen;

	for (i = 0; i < sim->nodes; i++) {
		if (is_cut(sim, call->entry, i) || is_down(sim, i) ||
		    was_tried(call, i))
			continue;
		open[count] = *place_of(sim, call->entry, i);
		index[count++] = i;
	}
	if (count == 0)
		return UINT32_MAX;
	switch (sim->policy) {
	case BF_POLICY_MESH:
		near.answer_within_us = (bf_time_us_t)(NEAR_SHARE *
		    (double)(call->objective_us - sim->now_us));
		near.extra_us = (bf_time_us_t)(NEAR_LONGER *
		    (double)(call->objective_us - sim->now_us));
		break;
	case BF_POLICY_TWO_CHOICES:
		break;
	case BF_POLICY_ROUND_ROBIN:
		return index[sim->next[call->entry]++ % count];
	case BF_POLICY_RANDOM:
		return index[bf_random_next(&sim->choices) % count];
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
	chosen = bf_candidate_choose(open, count, &near, &sim->choices);
	return index[chosen];
}

static void
offer(bf_sim_t *sim, bf_sim_call_t *call)
{
	uint32_t target;

	target = sim->policy == BF_POLICY_PERFECT
	    ? choose_perfect(sim, call)
	    : choose_by_reports(sim, call);
	if (target == UINT32_MAX || call->offers == OFFERS_MAX ||
	    sim->now_us >= call->deadline_us) {
		settle(sim, call, false);
		return;
	}
	call->tried[call->offers++] = target;
	call->target = target;
	call->on_time = call->busy + 1 < OFFERS_MAX;
	place_of(sim, call->entry, target)->sent_since_report++;
	sim->result->offers++;
	push(sim, sim->now_us + way_us(call->entry, target), STEP_OFFER, call);
}

static void
begin_run(bf_sim_t *sim, bf_sim_call_t *call)
{
	const bf_fault_t *grey = fault_on(sim, FAULT_GREY, call->target);
	double took_us = call->work_us / true_speed(sim, call->target);

	call->started_us = sim->now_us;
	sim->targets[call->target].running++;
	call->fails = grey != NULL && uniform(&sim->choices) < grey->x;
	if (call->fails)
		took_us *= uniform(&sim->choices);
	push(sim, sim->now_us + (bf_time_us_t)took_us, STEP_END, call);
}

static void
reply(bf_sim_t *sim, bf_sim_call_t *call, bool refused)
{
	call->refused = refused;
	push(sim, sim->now_us + way_us(call->entry, call->target), STEP_REPLY,
	    call);
}

/* The perfect policy knows where; how calls wait there is the mesh's. */
static bool
waits_in_order(const bf_sim_t *sim)
{
	return sim->policy == BF_POLICY_MESH ||
	    sim->policy == BF_POLICY_PERFECT;
}

/* At the node beside the target. */
static void
arrive_at_target(bf_sim_t *sim, bf_sim_call_t *call)
{
	bf_sim_target_t *target = &sim->targets[call->target];

	if (!waits_in_order(sim)) {
		if (target->running < target->waiting.slots)
			begin_run(sim, call);
		else if (target->queued < 4096)
			target->queue[target->queued++] = call;
		else
			reply(sim, call, true);
		return;
	}
	call->waiter = (bf_queued_call_t){
		.priority = call->class->priority,
		.objective_at_us = call->objective_us,
		.deadline_at_us = call->deadline_us,
		.expected_run_us = (bf_time_us_t)target->waiting.mean_run_us,
	};
	switch (bf_call_queue_admit(
	    &target->waiting, &call->waiter, call->on_time, sim->now_us)) {
	case BF_QUEUE_DECISION_START:
		begin_run(sim, call);
		break;
	case BF_QUEUE_DECISION_WAIT:
		break;
	case BF_QUEUE_DECISION_REFUSE:
		reply(sim, call, true);
		break;
	}
}

static void
next_run(bf_sim_t *sim, uint32_t index)
{
	bf_sim_target_t *target = &sim->targets[index];
	bf_queued_call_t *waiter;

	if (waits_in_order(sim)) {
		while ((waiter = bf_call_queue_take_expired(
			    &target->waiting, sim->now_us)) != NULL)
			reply(sim, (bf_sim_call_t *)(void *)waiter, true);
		waiter =
		    bf_call_queue_start_next(&target->waiting, sim->now_us);
		if (waiter != NULL)
			begin_run(sim, (bf_sim_call_t *)(void *)waiter);
		return;
	}
	if (target->queued == 0)
		return;
	begin_run(sim, target->queue[0]);
	memmove(target->queue, target->queue + 1,
	    --target->queued * sizeof(bf_sim_call_t *));
}

static void
end_run(bf_sim_t *sim, bf_sim_call_t *call)
{
	bf_sim_target_t *target = &sim->targets[call->target];
	bf_time_us_t spent_us = sim->now_us - call->started_us;
	uint32_t index = call->target;

	target->running--;
	target->failing += 0.08 * ((call->fails ? 1 : 0) - target->failing);
	bf_call_queue_end_run(&target->waiting, spent_us);
	if (call->fails || sim->now_us > call->deadline_us)
		sim->result->wasted_s += (double)spent_us / BF_US_PER_S;
	reply(sim, call, false);
	next_run(sim, index);
}

static void
back_at_entry(bf_sim_t *sim, bf_sim_call_t *call)
{
	report(sim, call->entry, call->target);
	if (call->refused) {
		call->busy++;
		offer(sim, call);
		return;
	}
	call->sends++;
	if (!call->fails) {
		settle(sim, call, true);
		return;
	}
	if (call->class->repeatable && call->sends < 2 &&
	    sim->budget[call->entry] >= 1) {
		sim->budget[call->entry] -= 1;
		offer(sim, call);
		return;
	}
	sim->result->classes[call->class_index].failed++;
	free(call);
}

static void
next_arrival(bf_sim_t *sim)
{
	const bf_fault_t *burst = active(sim, FAULT_BURST);
	const bf_pattern_t *p = sim->pattern;
	double mean_work_us = 0, rate;
	uint32_t i;

	for (i = 0; i < p->class_count; i++)
		mean_work_us +=
		    p->classes[i].rate * p->classes[i].work_ms * BF_US_PER_MS;
	/* Calls a microsecond. */
	rate = p->load * sim->capacity / mean_work_us;
	if (burst != NULL)
		rate *= burst->x;
	push(sim,
	    sim->now_us +
		(bf_time_us_t)(-log(1 - uniform(&sim->random)) / rate),
	    STEP_ARRIVE, NULL);
}

static void
arrive(bf_sim_t *sim)
{
	const bf_pattern_t *p = sim->pattern;
	double pick = uniform(&sim->random), spread;
	bf_sim_call_t *call = calloc(1, sizeof(*call));
	uint32_t i = 0;

	if (call == NULL)
		abort();
	while (i + 1 < p->class_count && pick >= p->classes[i].rate)
		pick -= p->classes[i++].rate;
	call->class = &p->classes[i];
	call->class_index = i;
	call->entry =
	    (uint32_t)(uniform(&sim->random) * sim->nodes) % sim->nodes;
	/* Work times spread by a gamma of order 4. */
	spread =
	    -log((1 - uniform(&sim->random)) * (1 - uniform(&sim->random)) *
		(1 - uniform(&sim->random)) * (1 - uniform(&sim->random))) /
	    4;
	call->work_us = call->class->work_ms * BF_US_PER_MS * spread;
	call->began_us = sim->now_us;
	call->started_us = sim->now_us;
	call->objective_us = sim->now_us +
	    (bf_time_us_t)(call->class->objective_ms * BF_US_PER_MS);
	call->deadline_us = sim->now_us +
	    (bf_time_us_t)(call->class->deadline_ms * BF_US_PER_MS);
	sim->result->classes[i].calls++;
	sim->result->owed += call->class->worth;
	sim->budget[call->entry] += REPEATS_PER_CALL;
	offer(sim, call);
	next_arrival(sim);
}

static void
report_all(bf_sim_t *sim)
{
	uint32_t entry, target;

	for (target = 0; target < sim->nodes; target++) {
		/* Failures are forgiven by half in two seconds. */
		sim->targets[target].failing *= exp2(-0.02);
		if (waits_in_order(sim))
			next_run(sim, target);
		for (entry = 0; entry < sim->nodes; entry++) {
			if (!is_cut(sim, entry, target))
				report(sim, entry, target);
		}
	}
	push(sim, sim->now_us + REPORT_US, STEP_REPORT, NULL);
}

static void
run_step(bf_sim_t *sim, const bf_step_t *step)
{
	switch (step->kind) {
	case STEP_ARRIVE:
		arrive(sim);
		break;
	case STEP_OFFER:
		arrive_at_target(sim, step->call);
		break;
	case STEP_END:
		end_run(sim, step->call);
		break;
	case STEP_REPLY:
		back_at_entry(sim, step->call);
		break;
	case STEP_REPORT:
		report_all(sim);
		break;
	}
}

static void
set_up(bf_sim_t *sim)
{
	const bf_pattern_t *p = sim->pattern;
	uint32_t i, j;

	sim->targets = calloc(sim->nodes, sizeof(bf_sim_target_t));
	sim->places =
	    calloc((size_t)sim->nodes * sim->nodes, sizeof(bf_candidate_t));
	sim->next = calloc(sim->nodes, sizeof(uint32_t));
	sim->budget = calloc(sim->nodes, sizeof(double));
	if (sim->targets == NULL || sim->places == NULL || sim->next == NULL ||
	    sim->budget == NULL)
		abort();
	for (i = 0; i < sim->nodes; i++) {
		bf_call_queue_init(&sim->targets[i].waiting, p->slots);
		sim->targets[i].speed = p->speeds[i % p->speed_count];
		sim->capacity += sim->targets[i].speed * p->slots;
		sim->next[i] = i;
		for (j = 0; j < sim->nodes; j++)
			*place_of(sim, i, j) = (bf_candidate_t){
				.slots = p->slots,
				.mean_us = BF_CALL_QUEUE_INITIAL_RUN_US,
				.round_trip_us = (uint32_t)(2 * way_us(i, j)),
				.in_own_zone = i % ZONES == j % ZONES,
			};
	}
}

void
bf_pattern_play(const bf_pattern_t *pattern, bf_policy_t policy, uint32_t nodes,
    uint64_t seed, bf_play_result_t *result)
{
	bf_sim_t sim = {
		.pattern = pattern,
		.policy = policy,
		.nodes = nodes > 0 ? nodes : pattern->nodes,
		.random = seed * 2 + 1,
		.choices = seed * 2 + 1,
		.result = result,
	};
	bf_time_us_t end_us = (bf_time_us_t)(pattern->seconds * BF_US_PER_S);
	bf_step_t step;

	memset(result, 0, sizeof(*result));
	result->class_count = pattern->class_count;
	if (sim.nodes > NODES_MAX)
		sim.nodes = NODES_MAX;
	set_up(&sim);
	push(&sim, 0, STEP_REPORT, NULL);
	next_arrival(&sim);
	while (sim.count > 0) {
		step = pop(&sim);
		sim.now_us = step.at_us;
		if (sim.now_us > end_us &&
		    (step.kind == STEP_ARRIVE || step.kind == STEP_REPORT)) {
			/* What is under way is played to its end. */
			if (step.kind == STEP_REPORT &&
			    sim.now_us < end_us + 2 * BF_US_PER_S)
				report_all(&sim);
			continue;
		}
		run_step(&sim, &step);
	}
	result->waited_ms = sim.served > 0
	    ? sim.waited_us / (double)sim.served / BF_US_PER_MS
	    : 0;
	free(sim.heap);
	free(sim.targets);
	free(sim.places);
	free(sim.next);
	free(sim.budget);
}

const char *
bf_policy_name(bf_policy_t policy)
{
	static const char *const names[] = { "mesh", "two-choices",
		"stale-least", "round-robin", "random", "perfect" };

	return names[policy];
}

static bool
read_fault(bf_pattern_t *pattern, const char *line)
{
	bf_fault_t fault;
	char word[16];
	size_t i;

	if (sscanf(line, "%15s %lf %lf %lf %lf", word, &fault.at_s,
		&fault.for_s, &fault.share, &fault.x) != 5 ||
	    pattern->fault_count == FAULTS_MAX)
		return false;
	for (i = 0; i < sizeof(fault_names) / sizeof(fault_names[0]); i++) {
		if (strcmp(word, fault_names[i]) != 0)
			continue;
		fault.kind = (bf_fault_kind_t)i;
		pattern->faults[pattern->fault_count++] = fault;
		return true;
	}
	return false;
}

static bool
read_class(bf_pattern_t *pattern, const char *line)
{
	bf_class_t class = { 0 };
	char repeat[16];

	if (pattern->class_count == BF_PLAY_CLASSES_MAX ||
	    sscanf(line, "class %31s %lf %lf %lf %lf %lf %lf %u %15s",
		class.name, &class.rate, &class.work_ms, &class.objective_ms,
		&class.deadline_ms, &class.worth, &class.late_worth,
		&class.priority, repeat) != 9)
		return false;
	class.repeatable = strcmp(repeat, "repeatable") == 0;
	pattern->classes[pattern->class_count++] = class;
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
	    sscanf(line, "seconds %lf", &pattern->seconds) == 1 ||
	    sscanf(line, "load %lf", &pattern->load) == 1 ||
	    read_fault(pattern, line);
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
	while (fgets(line, sizeof(line), file) != NULL) {
		number++;
		if (read_pattern_line(pattern, line))
			continue;
		bf_error_set(err, BF_ERR_PARSE, "%s:%u: not understood: %s",
		    path, number, line);
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
