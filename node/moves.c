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

/* A relay offers a verdict to the store again after this long. */
#define OUTCOME_RETRY_US (5 * BF_US_PER_S)
/* One move under way or over. */
typedef struct move {
	bf_rollout_t *rollout;
	char id[BF_NAME_BYTES];
	char service[BF_NAME_BYTES];
	char from_version[BF_NAME_BYTES];
	char to_version[BF_NAME_BYTES];
	bool kept;               /* while a new configuration is taken over */
	bf_recorder_t *recorder; /* NULL: off */
	struct move *next;
} move_t;

/* A verdict that was reached or heard of; kept for ever. */
typedef struct outcome {
	char key[BF_ITEM_KEY_BYTES];
	bf_verdict_t verdict;
	char *json;
	bf_time_us_t offered_us; /* to the store */
	struct outcome *next;
} outcome_t;

struct bf_moves {
	bf_moves_options_t options;
	bf_control_t *control;
	bf_aggregator_t *pooling;
	move_t *moves;
	outcome_t *outcomes;
	bf_time_us_t stepped_us;
	bf_counter_shard_t *counters;
	bf_counter_id_t verdicts;
	bf_counter_id_t taken_back;
	bf_counter_id_t completed;
	bf_counter_id_t bad_messages;
	bf_counter_id_t not_spread; /* pools that the control plane refused */
};

bf_moves_t *
bf_moves_new(const bf_moves_options_t *options)
{
	bf_moves_t *moves;

	moves = calloc(1, sizeof(*moves));
	if (moves == NULL)
		return NULL;
	moves->options = *options;
	moves->pooling = bf_aggregator_new(
	    options->instance, options->zone, options->incarnation);
	moves->counters = bf_counters_add_shard(options->counters);
	if (moves->pooling == NULL || moves->counters == NULL) {
		bf_moves_free(moves);
		return NULL;
	}
	moves->verdicts =
	    bf_counters_register(options->counters, "bf_moves_verdicts_total");
	moves->taken_back = bf_counters_register(
	    options->counters, "bf_moves_taken_back_total");
	moves->completed =
	    bf_counters_register(options->counters, "bf_moves_done_total");
	moves->not_spread = bf_counters_register(
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
	bf_aggregator_free(moves->pooling);
	free(moves);
}

void
bf_moves_attach(bf_moves_t *moves, bf_control_t *control)
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

/* The inputs of a rollout, each recorded beside. */
static void
give_pool(move_t *move, const bf_move_stats_t *pool, bf_time_us_t wall_us)
{
	FILE *record;

	record = bf_recorder_event(move->recorder);
	if (record != NULL)
		bf_rollout_trace_stats(record, pool, wall_us);
	bf_rollout_add_stats(move->rollout, pool, wall_us);
}

static void
give_verdict(move_t *move, const bf_verdict_t *verdict, bf_time_us_t wall_us)
{
	FILE *record;

	record = bf_recorder_event(move->recorder);
	if (record != NULL)
		bf_rollout_trace_verdict(record, verdict, wall_us);
	bf_rollout_add_verdict(move->rollout, verdict, wall_us);
}

static void
give_targets(move_t *move, const bf_rollout_target_counts_t *targets,
    bool collects, bf_time_us_t wall_us)
{
	FILE *record;

	record = bf_recorder_event(move->recorder);
	if (record != NULL) {
		bf_rollout_trace_targets(record, targets, wall_us);
		bf_rollout_trace_collector(record, collects, wall_us);
	}
	bf_rollout_set_targets(move->rollout, targets, wall_us);
	bf_rollout_set_collector(move->rollout, collects);
}

static void
give_step(move_t *move, bf_rollout_out_t *out, bf_time_us_t wall_us)
{
	FILE *record;

	record = bf_recorder_event(move->recorder);
	if (record != NULL)
		bf_rollout_trace_step(record, wall_us);
	bf_rollout_step(move->rollout, wall_us, out);
}

/* What is known already of a move that has just appeared. */
static void
feed_outcomes(const bf_moves_t *moves, move_t *move, bf_time_us_t wall_us)
{
	const outcome_t *outcome;

	for (outcome = moves->outcomes; outcome != NULL;
	     outcome = outcome->next)
		give_verdict(move, &outcome->verdict, wall_us);
}

static bf_code_t
add_move(bf_moves_t *moves, const bf_service_t *service, bf_error_t *err)
{
	FILE *record;
	move_t *move;

	move = calloc(1, sizeof(*move));
	if (move == NULL)
		return bf_error_set(err, BF_ERR_MEMORY, "no memory");
	move->rollout = bf_rollout_new(
	    service, moves->options.zone, moves->options.instance);
	if (move->rollout == NULL) {
		free(move);
		return bf_error_set(err, BF_ERR_MEMORY, "no memory");
	}
	apr_cpystrn(move->id, service->move->id, sizeof(move->id));
	apr_cpystrn(move->service, service->name, sizeof(move->service));
	apr_cpystrn(move->from_version, service->move->from_version,
	    sizeof(move->from_version));
	apr_cpystrn(move->to_version, service->move->to_version,
	    sizeof(move->to_version));
	move->kept = true;
	move->recorder = bf_recorder_new(moves->options.record_events);
	record = bf_recorder_event(move->recorder);
	if (record != NULL)
		bf_rollout_trace_begin(record, service, moves->options.zone,
		    moves->options.instance);
	feed_outcomes(moves, move, 0);
	move->next = moves->moves;
	moves->moves = move;
	return BF_OK;
}

static void
drop_moves_not_kept(bf_moves_t *moves)
{
	move_t **link, *move;

	link = &moves->moves;
	while ((move = *link) != NULL) {
		if (move->kept) {
			link = &move->next;
			continue;
		}
		*link = move->next;
		move_free(move);
	}
}

bf_code_t
bf_moves_snapshot(
    bf_moves_t *moves, const bf_snapshot_t *snapshot, bf_error_t *err)
{
	const bf_service_t *service;
	bf_code_t code;
	move_t *move;
	size_t i;

	for (move = moves->moves; move != NULL; move = move->next)
		move->kept = false;
	for (i = 0; i < snapshot->service_count; i++) {
		service = &snapshot->services[i];
		if (service->move == NULL)
			continue;
		move = find_move(moves, service->move->id);
		if (move != NULL) {
			move->kept = true;
			continue;
		}
		code = add_move(moves, service, err);
		if (code != BF_OK)
			return code;
	}
	drop_moves_not_kept(moves);
	moves->stepped_us = 0;
	return bf_aggregator_set_services(moves->pooling,
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
bf_moves_members(bf_moves_t *moves, const bf_record_t *records,
    size_t record_count, bf_time_us_t wall_us)
{
	bf_rollout_target_counts_t targets;
	bf_error_t err;
	move_t *move;

	if (bf_aggregator_set_members(
		moves->pooling, records, record_count, &err) != BF_OK)
		bf_log_line(moves->options.log, LOG_ERR,
		    "evidence pooling keeps its former members: %s",
		    err.message);
	for (move = moves->moves; move != NULL; move = move->next) {
		count_targets(move, records, record_count, &targets);
		give_targets(move, &targets,
		    bf_aggregator_is_collector(moves->pooling, move->id),
		    wall_us);
	}
}

static void
outcome_key(const bf_verdict_t *verdict, char key[BF_ITEM_KEY_BYTES])
{
	apr_snprintf(key, BF_ITEM_KEY_BYTES, "%s.%s", verdict->move_id,
	    bf_rollout_state_name(verdict->state));
}

/* Keeps a verdict, in place of a lower or equal one of the same key. */
static outcome_t *
keep_outcome(bf_moves_t *moves, const bf_verdict_t *verdict)
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
take_pool(bf_moves_t *moves, const void *value, size_t value_bytes,
    bf_time_us_t wall_us)
{
	bf_move_stats_t pool;
	move_t *move;

	if (bf_move_stats_decode(value, value_bytes, &pool, NULL) != BF_OK) {
		bf_counter_add(moves->counters, moves->bad_messages, 1);
		return;
	}
	bf_aggregator_receive_stats(moves->pooling, &pool, wall_us);
	move = find_move(moves, pool.move_id);
	if (move != NULL)
		give_pool(move, &pool, wall_us);
}

static void
take_outcome(bf_moves_t *moves, const void *value, size_t value_bytes,
    bf_time_us_t wall_us)
{
	bf_verdict_t verdict;
	move_t *move;

	if (bf_verdict_parse(value, value_bytes, &verdict, NULL) != BF_OK) {
		bf_counter_add(moves->counters, moves->bad_messages, 1);
		return;
	}
	keep_outcome(moves, &verdict);
	move = find_move(moves, verdict.move_id);
	if (move == NULL)
		return;
	give_verdict(move, &verdict, wall_us);
	moves->stepped_us = 0;
}

void
bf_moves_item(bf_moves_t *moves, uint32_t kind, const char *key,
    const void *value, size_t value_bytes, bf_time_us_t wall_us)
{
	(void)key;
	if (kind == BF_ITEM_POOL)
		take_pool(moves, value, value_bytes, wall_us);
	else if (kind == BF_ITEM_OUTCOME)
		take_outcome(moves, value, value_bytes, wall_us);
}

void
bf_moves_message(bf_moves_t *moves, uint32_t kind, const void *data,
    size_t data_bytes, bf_time_us_t wall_us)
{
	bf_code_t code;

	if (kind != BF_MESSAGE_REPORT)
		return;
	code = bf_aggregator_receive_report(
	    moves->pooling, data, data_bytes, wall_us, NULL);
	/* A report on a move not known here yet is no fault. */
	if (code != BF_OK && code != BF_ERR_NOT_FOUND)
		bf_counter_add(moves->counters, moves->bad_messages, 1);
}

static void
send_report(void *ctx, const char *instance, const void *data, size_t bytes)
{
	bf_moves_t *moves = ctx;

	bf_control_send(
	    moves->control, instance, BF_MESSAGE_REPORT, data, bytes);
}

static void
publish_pool(
    void *ctx, const char *key, uint64_t rank, const void *data, size_t bytes)
{
	bf_moves_t *moves = ctx;

	(void)rank; /* newer_pool computes it from the value */
	if (bf_control_publish_item(
		moves->control, BF_ITEM_POOL, key, data, bytes) != BF_OK)
		bf_counter_add(moves->counters, moves->not_spread, 1);
}

/* The own zone's sum goes into the own decisions first. */
static void
take_collected(void *ctx, const bf_move_stats_t *pool)
{
	bf_moves_t *moves = ctx;
	move_t *move;

	move = find_move(moves, pool->move_id);
	if (move != NULL)
		give_pool(move, pool, pool->at_us);
}

static void
announce_verdict(
    bf_moves_t *moves, const move_t *move, const bf_verdict_t *verdict)
{
	outcome_t *outcome;

	bf_log_line(moves->options.log, LOG_NOTICE, "move %s of %s: %s (%s)",
	    move->id, move->service, bf_rollout_state_name(verdict->state),
	    bf_rollout_reason_name(verdict->reason));
	outcome = keep_outcome(moves, verdict);
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
	give_step(move, &out, wall_us);
	bf_rollout_status(move->rollout, &status);
	if (out.state_changed)
		bf_log_line(moves->options.log, LOG_INFO,
		    "move %s of %s is %s (%s), share %u ppm", move->id,
		    move->service, bf_rollout_state_name(status.state),
		    bf_rollout_reason_name(status.reason), status.share_ppm);
	if (out.verdict_reached)
		announce_verdict(moves, move, &out.verdict);
	bf_aggregator_set_complete(moves->pooling, move->id,
	    status.state == BF_ROLLOUT_DONE ||
		status.state == BF_ROLLOUT_PROBING);
	return out.shares_changed;
}

/* A relay offers each verdict until the store has it. */
static void
offer_outcomes(bf_moves_t *moves, bf_time_us_t wall_us)
{
	outcome_t *outcome;

	for (outcome = moves->outcomes; outcome != NULL;
	     outcome = outcome->next) {
		if (outcome->offered_us != 0 &&
		    wall_us - outcome->offered_us < OUTCOME_RETRY_US)
			continue;
		outcome->offered_us = wall_us;
		bf_control_write_outcome(moves->control, outcome->key,
		    outcome->json, strlen(outcome->json));
	}
}

bool
bf_moves_tick(bf_moves_t *moves, bool relay, bf_time_us_t wall_us)
{
	bf_aggregator_callbacks_t out = {
		.ctx = moves,
		.send = send_report,
		.collected = take_collected,
		.publish = publish_pool,
	};
	bool changed;
	move_t *move;

	if (relay)
		offer_outcomes(moves, wall_us);
	if (moves->moves == NULL ||
	    wall_us - moves->stepped_us < BF_ROLLOUT_STEP_US)
		return false;
	moves->stepped_us = wall_us;
	bf_aggregator_tick(
	    moves->pooling, moves->options.evidence, &out, wall_us);
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
report_figures(const bf_rollout_figures_t *f)
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
report_move(const move_t *move)
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
	    report_figures(&status.figures));
}

json_t *
bf_moves_report(const bf_moves_t *moves)
{
	const move_t *move;
	json_t *array;

	array = json_array();
	for (move = moves->moves; move != NULL; move = move->next)
		json_array_append_new(array, report_move(move));
	return array;
}

const char *
bf_moves_record(const bf_moves_t *moves, const char *id, apr_pool_t *pool)
{
	const move_t *move;

	move = find_move(moves, id);
	return move != NULL ? bf_recorder_text(move->recorder, pool) : NULL;
}
