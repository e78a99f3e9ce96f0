#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_strings.h>

#include "node/moves.h"
#include "node/recorder.h"
#include "rollout/aggregator.h"
#include "rollout/evidence.h"
#include "rollout/move_stats.h"
#include "rollout/rollout.h"
#include "rollout/trace.h"

/* Interval at which a relay requests the write of a verdict to the store. */
#define OUTCOME_RETRY_US (5 * BF_US_PER_S)

/* A move of the configuration in force, in progress or finished. */
typedef struct move {
	bf_rollout_t *rollout;
	char id[BF_NAME_BYTES];
	char service[BF_NAME_BYTES];
	char from_version[BF_NAME_BYTES];
	char to_version[BF_NAME_BYTES];
	bool in_snapshot;        /* used by bf_moves_set_snapshot only */
	bf_recorder_t *recorder; /* NULL: recording is off */
	struct move *next;
} move_t;

/* A verdict reached here or received; kept for the lifetime of the process. */
typedef struct outcome {
	char key[BF_ITEM_KEY_BYTES];
	bf_verdict_t verdict;
	char *json;
	bf_time_us_t last_write_us; /* to the store */
	struct outcome *next;
} outcome_t;

struct bf_moves {
	bf_moves_options_t options;
	bf_control_t *control;
	bf_aggregator_t *aggregator;
	move_t *moves;
	outcome_t *outcomes;
	bf_time_us_t last_step_us;
	bf_counter_shard_t *counters;
	bf_counter_id_t verdicts;
	bf_counter_id_t taken_back;
	bf_counter_id_t completed;
	bf_counter_id_t bad_messages;
	bf_counter_id_t unpublished_stats; /* refused by the control plane */
};

bf_moves_t *
bf_moves_new(const bf_moves_options_t *options)
{
	bf_moves_t *moves;

	moves = calloc(1, sizeof(*moves));
	if (moves == NULL)
		return NULL;
	moves->options = *options;
	moves->aggregator = bf_aggregator_new(
	    options->instance, options->zone, options->incarnation);
	moves->counters = bf_counters_add_shard(options->counters);
	if (moves->aggregator == NULL || moves->counters == NULL) {
		bf_moves_free(moves);
		return NULL;
	}
	moves->verdicts =
	    bf_counters_register(options->counters, "bf_moves_verdicts_total");
	moves->taken_back = bf_counters_register(
	    options->counters, "bf_moves_taken_back_total");
	moves->completed =
	    bf_counters_register(options->counters, "bf_moves_done_total");
	moves->unpublished_stats = bf_counters_register(
	    options->counters, "bf_moves_pools_not_spread_total");
	moves->bad_messages = bf_counters_register(
	    options->counters, "bf_moves_bad_messages_total");
	return moves;
}

static void
move_free(move_t *move)
{
	bf_rollout_free(move->rollout);
	bf_recorder_free(move->recorder);
	free(move);
}

void
bf_moves_free(bf_moves_t *moves)
{
	outcome_t *outcome;
	move_t *move;

	if (moves == NULL)
		return;
	while ((move = moves->moves) != NULL) {
		moves->moves = move->next;
		move_free(move);
	}
	while ((outcome = moves->outcomes) != NULL) {
		moves->outcomes = outcome->next;
		free(outcome->json);
		free(outcome);
	}
	bf_aggregator_free(moves->aggregator);
	free(moves);
}

void
bf_moves_set_control(bf_moves_t *moves, bf_control_t *control)
{
	moves->control = control;
}

static move_t *
find_move(const bf_moves_t *moves, const char *id)
{
	move_t *move;

	for (move = moves->moves; move != NULL; move = move->next) {
		if (strcmp(move->id, id) == 0)
			return move;
	}
	return NULL;
}

/*
 * Each of the next four functions records an input in the trace of the move and
 * passes it to the rollout.
 */
static void
add_stats(move_t *move, const bf_move_stats_t *stats, bf_time_us_t wall_us)
{
	FILE *trace;

	trace = bf_recorder_begin_event(move->recorder);
	if (trace != NULL)
		bf_rollout_trace_stats(trace, stats, wall_us);
	bf_rollout_add_stats(move->rollout, stats, wall_us);
}

static void
add_verdict(move_t *move, const bf_verdict_t *verdict, bf_time_us_t wall_us)
{
	FILE *trace;

	trace = bf_recorder_begin_event(move->recorder);
	if (trace != NULL)
		bf_rollout_trace_verdict(trace, verdict, wall_us);
	bf_rollout_add_verdict(move->rollout, verdict, wall_us);
}

static void
set_targets(move_t *move, const bf_rollout_target_counts_t *targets,
    bool is_collector, bf_time_us_t wall_us)
{
	FILE *trace;

	trace = bf_recorder_begin_event(move->recorder);
	if (trace != NULL) {
		bf_rollout_trace_targets(trace, targets, wall_us);
		bf_rollout_trace_collector(trace, is_collector, wall_us);
	}
	bf_rollout_set_targets(move->rollout, targets, wall_us);
	bf_rollout_set_collector(move->rollout, is_collector);
}

static void
step_rollout(move_t *move, bf_rollout_out_t *out, bf_time_us_t wall_us)
{
	FILE *trace;

	trace = bf_recorder_begin_event(move->recorder);
	if (trace != NULL)
		bf_rollout_trace_step(trace, wall_us);
	bf_rollout_step(move->rollout, wall_us, out);
}

/* Adds the verdicts recorded so far to a new move. */
static void
add_recorded_outcomes(
    const bf_moves_t *moves, move_t *move, bf_time_us_t wall_us)
{
	const outcome_t *outcome;

	for (outcome = moves->outcomes; outcome != NULL;
	     outcome = outcome->next)
		add_verdict(move, &outcome->verdict, wall_us);
}

static bf_code_t
add_move(bf_moves_t *moves, const bf_service_t *service, bf_error_t *err)
{
	FILE *trace;
	move_t *move;

	move = calloc(1, sizeof(*move));
	if (move == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a move");
	move->rollout = bf_rollout_new(
	    service, moves->options.zone, moves->options.instance);
	if (move->rollout == NULL) {
		free(move);
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for a move");
	}
	apr_cpystrn(move->id, service->move->id, sizeof(move->id));
	apr_cpystrn(move->service, service->name, sizeof(move->service));
	apr_cpystrn(move->from_version, service->move->from_version,
	    sizeof(move->from_version));
	apr_cpystrn(move->to_version, service->move->to_version,
	    sizeof(move->to_version));
	move->in_snapshot = true;
	move->recorder = bf_recorder_new(moves->options.trace_events_max);
	trace = bf_recorder_begin_event(move->recorder);
	if (trace != NULL)
		bf_rollout_trace_begin(trace, service, moves->options.zone,
		    moves->options.instance);
	add_recorded_outcomes(moves, move, 0);
	move->next = moves->moves;
	moves->moves = move;
	return BF_OK;
}

static void
remove_moves_not_in_snapshot(bf_moves_t *moves)
{
	move_t **link, *move;

	link = &moves->moves;
	while ((move = *link) != NULL) {
		if (move->in_snapshot) {
			link = &move->next;
			continue;
		}
		*link = move->next;
		move_free(move);
	}
}

bf_code_t
bf_moves_set_snapshot(
    bf_moves_t *moves, const bf_snapshot_t *snapshot, bf_error_t *err)
{
	const bf_service_t *service;
	bf_code_t code;
	move_t *move;
	size_t i;

	for (move = moves->moves; move != NULL; move = move->next)
		move->in_snapshot = false;
	for (i = 0; i < snapshot->service_count; i++) {
		service = &snapshot->services[i];
		if (service->move == NULL)
			continue;
		move = find_move(moves, service->move->id);
		if (move != NULL) {
			move->in_snapshot = true;
			continue;
		}
		code = add_move(moves, service, err);
		if (code != BF_OK)
			return code;
	}
	remove_moves_not_in_snapshot(moves);
	moves->last_step_us = 0;
	return bf_aggregator_set_services(moves->aggregator,
	    moves->options.evidence, snapshot->services,
	    snapshot->service_count, err);
}

static bool
is_ready(const bf_record_t *record)
{
	return record->target_state == BF_TARGET_READY &&
	    (record->state == BF_MEMBER_ALIVE ||
		record->state == BF_MEMBER_SUSPECT);
}

static void
count_targets(const move_t *move, const bf_record_t *records,
    size_t record_count, bf_rollout_target_counts_t *targets)
{
	size_t i;

	*targets = (bf_rollout_target_counts_t){ 0 };
	for (i = 0; i < record_count; i++) {
		if (!is_ready(&records[i]) ||
		    strcmp(records[i].service, move->service) != 0)
			continue;
		if (strcmp(records[i].version, move->from_version) == 0) {
			targets->old_targets++;
			targets->old_slots += records[i].slots;
		} else if (strcmp(records[i].version, move->to_version) == 0) {
			targets->new_targets++;
			targets->new_slots += records[i].slots;
		}
	}
}

void
bf_moves_set_members(bf_moves_t *moves, const bf_record_t *records,
    size_t record_count, bf_time_us_t wall_us)
{
	bf_rollout_target_counts_t targets;
	bf_error_t err;
	move_t *move;

	if (bf_aggregator_set_members(
		moves->aggregator, records, record_count, &err) != BF_OK)
		bf_log_line(moves->options.log, LOG_ERR,
		    "the members that aggregate evidence are not updated: %s",
		    err.message);
	for (move = moves->moves; move != NULL; move = move->next) {
		count_targets(move, records, record_count, &targets);
		set_targets(move, &targets,
		    bf_aggregator_is_collector(moves->aggregator, move->id),
		    wall_us);
	}
}

static void
outcome_key(const bf_verdict_t *verdict, char key[BF_ITEM_KEY_BYTES])
{
	apr_snprintf(key, BF_ITEM_KEY_BYTES, "%s.%s", verdict->move_id,
	    bf_rollout_state_name(verdict->state));
}

/*
 * Returns the outcome with the verdict's key (move and state).  It is added for
 * this verdict if there is none; an existing one is not replaced.
 */
static outcome_t *
record_outcome(bf_moves_t *moves, const bf_verdict_t *verdict)
{
	char key[BF_ITEM_KEY_BYTES];
	outcome_t *outcome;

	outcome_key(verdict, key);
	for (outcome = moves->outcomes; outcome != NULL;
	     outcome = outcome->next) {
		if (strcmp(outcome->key, key) == 0)
			return outcome;
	}
	outcome = calloc(1, sizeof(*outcome));
	if (outcome == NULL)
		return NULL;
	outcome->json = bf_verdict_json(verdict);
	if (outcome->json == NULL) {
		free(outcome);
		return NULL;
	}
	memcpy(outcome->key, key, sizeof(key));
	outcome->verdict = *verdict;
	outcome->next = moves->outcomes;
	moves->outcomes = outcome;
	bf_counter_add(moves->counters, moves->verdicts, 1);
	if (verdict->state == BF_ROLLOUT_TAKEN_BACK)
		bf_counter_add(moves->counters, moves->taken_back, 1);
	if (verdict->state == BF_ROLLOUT_DONE)
		bf_counter_add(moves->counters, moves->completed, 1);
	return outcome;
}

static void
receive_stats(bf_moves_t *moves, const void *value, size_t value_bytes,
    bf_time_us_t wall_us)
{
	bf_move_stats_t stats;
	move_t *move;

	if (bf_move_stats_decode(value, value_bytes, &stats, NULL) != BF_OK) {
		bf_counter_add(moves->counters, moves->bad_messages, 1);
		return;
	}
	bf_aggregator_receive_stats(moves->aggregator, &stats, wall_us);
	move = find_move(moves, stats.move_id);
	if (move != NULL)
		add_stats(move, &stats, wall_us);
}

static void
receive_outcome(bf_moves_t *moves, const void *value, size_t value_bytes,
    bf_time_us_t wall_us)
{
	bf_verdict_t verdict;
	move_t *move;

	if (bf_verdict_parse(value, value_bytes, &verdict, NULL) != BF_OK) {
		bf_counter_add(moves->counters, moves->bad_messages, 1);
		return;
	}
	record_outcome(moves, &verdict);
	move = find_move(moves, verdict.move_id);
	if (move == NULL)
		return;
	add_verdict(move, &verdict, wall_us);
	moves->last_step_us = 0;
}

void
bf_moves_receive_item(bf_moves_t *moves, uint32_t kind, const char *key,
    const void *value, size_t value_bytes, bf_time_us_t wall_us)
{
	(void)key;
	if (kind == BF_ITEM_MOVE_STATS)
		receive_stats(moves, value, value_bytes, wall_us);
	else if (kind == BF_ITEM_OUTCOME)
		receive_outcome(moves, value, value_bytes, wall_us);
}

void
bf_moves_receive_message(bf_moves_t *moves, uint32_t kind, const void *data,
    size_t data_bytes, bf_time_us_t wall_us)
{
	bf_code_t code;

	if (kind != BF_DIRECT_MOVE_REPORT)
		return;
	code = bf_aggregator_receive_report(
	    moves->aggregator, data, data_bytes, wall_us, NULL);
	/* A report on a move that this node does not have yet is valid. */
	if (code != BF_OK && code != BF_ERR_NOT_FOUND)
		bf_counter_add(moves->counters, moves->bad_messages, 1);
}

static void
send_report(void *ctx, const char *instance, const void *data, size_t bytes)
{
	bf_moves_t *moves = ctx;

	bf_control_send(
	    moves->control, instance, BF_DIRECT_MOVE_REPORT, data, bytes);
}

static void
publish_stats(
    void *ctx, const char *key, uint64_t rank, const void *data, size_t bytes)
{
	bf_moves_t *moves = ctx;

	(void)rank; /* is_newer_stats computes it from the value */
	if (bf_control_publish_item(
		moves->control, BF_ITEM_MOVE_STATS, key, data, bytes) != BF_OK)
		bf_counter_add(moves->counters, moves->unpublished_stats, 1);
}

/* The collector's sum enters its own decisions before it is published. */
static void
add_collected_stats(void *ctx, const bf_move_stats_t *stats)
{
	bf_moves_t *moves = ctx;
	move_t *move;

	move = find_move(moves, stats->move_id);
	if (move != NULL)
		add_stats(move, stats, stats->at_us);
}

static void
announce_verdict(
    bf_moves_t *moves, const move_t *move, const bf_verdict_t *verdict)
{
	outcome_t *outcome;

	bf_log_line(moves->options.log, LOG_NOTICE, "move %s of %s: %s (%s)",
	    move->id, move->service, bf_rollout_state_name(verdict->state),
	    bf_rollout_reason_name(verdict->reason));
	outcome = record_outcome(moves, verdict);
	if (outcome != NULL)
		bf_control_publish_item(moves->control, BF_ITEM_OUTCOME,
		    outcome->key, outcome->json, strlen(outcome->json));
}

static bool
step_move(bf_moves_t *moves, move_t *move, bf_time_us_t wall_us)
{
	bf_rollout_status_t status;
	bf_rollout_out_t out;

	memset(&out, 0, sizeof(out));
	step_rollout(move, &out, wall_us);
	bf_rollout_status(move->rollout, &status);
	if (out.state_changed)
		bf_log_line(moves->options.log, LOG_INFO,
		    "move %s of %s is %s (%s), share %u ppm", move->id,
		    move->service, bf_rollout_state_name(status.state),
		    bf_rollout_reason_name(status.reason), status.share_ppm);
	if (out.verdict_reached)
		announce_verdict(moves, move, &out.verdict);
	bf_aggregator_set_complete(moves->aggregator, move->id,
	    status.state == BF_ROLLOUT_DONE ||
		status.state == BF_ROLLOUT_PROBING);
	return out.shares_changed;
}

/*
 * Requests the write of each verdict to the store, on a relay, again every
 * OUTCOME_RETRY_US.  An outcome that the store has already is not overwritten.
 */
static void
write_outcomes(bf_moves_t *moves, bf_time_us_t wall_us)
{
	outcome_t *outcome;

	for (outcome = moves->outcomes; outcome != NULL;
	     outcome = outcome->next) {
		if (outcome->last_write_us != 0 &&
		    wall_us - outcome->last_write_us < OUTCOME_RETRY_US)
			continue;
		outcome->last_write_us = wall_us;
		bf_control_write_outcome(moves->control, outcome->key,
		    outcome->json, strlen(outcome->json));
	}
}

bool
bf_moves_tick(bf_moves_t *moves, bool relay, bf_time_us_t wall_us)
{
	bf_aggregator_callbacks_t callbacks = {
		.ctx = moves,
		.send = send_report,
		.collected = add_collected_stats,
		.publish = publish_stats,
	};
	bool changed;
	move_t *move;

	if (relay)
		write_outcomes(moves, wall_us);
	if (moves->moves == NULL ||
	    wall_us - moves->last_step_us < BF_ROLLOUT_STEP_US)
		return false;
	moves->last_step_us = wall_us;
	bf_aggregator_tick(
	    moves->aggregator, moves->options.evidence, &callbacks, wall_us);
	changed = false;
	for (move = moves->moves; move != NULL; move = move->next)
		changed |= step_move(moves, move, wall_us);
	return changed;
}

size_t
bf_moves_shares(const bf_moves_t *moves, bf_share_t *shares, size_t max)
{
	const move_t *move;
	size_t count, room;

	count = 0;
	for (move = moves->moves; move != NULL; move = move->next) {
		room = count < max ? max - count : 0;
		count += bf_rollout_shares(
		    move->rollout, room > 0 ? shares + count : NULL, room);
	}
	return count;
}

static json_t *
figures_json(const bf_rollout_figures_t *f)
{
	return json_pack("{s:s, s:I, s:I, s:I, s:I, s:i, s:I, s:I, s:f}",
	    "route", f->route, "new_calls", (json_int_t)f->new_calls,
	    "new_failures", (json_int_t)f->new_failures, "old_calls",
	    (json_int_t)f->old_calls, "old_failures",
	    (json_int_t)f->old_failures, "slow_over_ms", (int)f->slow_over_ms,
	    "new_slow", (json_int_t)f->new_slow, "old_slow",
	    (json_int_t)f->old_slow, "evidence", f->evidence);
}

static json_t *
move_json(const move_t *move)
{
	bf_rollout_status_t status;

	bf_rollout_status(move->rollout, &status);
	return json_pack(
	    "{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:b, s:I, s:I, s:o}", "move",
	    move->id, "service", move->service, "from", move->from_version,
	    "to", move->to_version, "state",
	    bf_rollout_state_name(status.state), "reason",
	    bf_rollout_reason_name(status.reason), "share_ppm",
	    (int)status.share_ppm, "late", (int)status.late, "start_us",
	    (json_int_t)status.move->start_us, "complete_by_us",
	    (json_int_t)status.move->complete_by_us, "figures",
	    figures_json(&status.figures));
}

json_t *
bf_moves_json(const bf_moves_t *moves)
{
	const move_t *move;
	json_t *array;

	array = json_array();
	for (move = moves->moves; move != NULL; move = move->next)
		json_array_append_new(array, move_json(move));
	return array;
}

const char *
bf_moves_trace(const bf_moves_t *moves, const char *id, apr_pool_t *pool)
{
	const move_t *move;

	move = find_move(moves, id);
	return move != NULL ? bf_recorder_text(move->recorder, pool) : NULL;
}
