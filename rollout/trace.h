#ifndef BF_ROLLOUT_TRACE_H
#define BF_ROLLOUT_TRACE_H

#include <stdio.h>

#include "base/error.h"
#include "rollout/rollout.h"

/*
 * Records the inputs of a rollout and replays them.  A trace is text with one
 * JSON object per line, in the order of the inputs; its replay into a new
 * rollout gives the same shares, states and verdicts.
 */

/* Longest line of a trace, including its line feed. */
#define BF_TRACE_LINE_BYTES_MAX 65536

/*
 * Recording: each function writes one line to file and is called together with
 * the function of rollout.h that takes the same input, bf_rollout_trace_begin
 * first.  ferror(file) is set after a failed write.
 */
void bf_rollout_trace_begin(FILE *file, const bf_service_t *service,
    const char *zone, const char *instance);
void bf_rollout_trace_stats(
    FILE *file, const bf_move_stats_t *stats, bf_time_us_t now_us);
void bf_rollout_trace_verdict(
    FILE *file, const bf_verdict_t *verdict, bf_time_us_t now_us);
void bf_rollout_trace_targets(
    FILE *file, const bf_rollout_target_counts_t *targets, bf_time_us_t now_us);
void bf_rollout_trace_collector(
    FILE *file, bool is_collector, bf_time_us_t now_us);
void bf_rollout_trace_step(FILE *file, bf_time_us_t now_us);

/* Called after each step of a replay. */
typedef void (*bf_rollout_trace_visit_t)(void *ctx, const bf_rollout_t *rollout,
    const bf_rollout_out_t *out, bf_time_us_t now_us);

/*
 * Replays a trace.  For BF_ERR_PARSE the error names the first line that is
 * not a valid event; the lines before it have been replayed.
 */
bf_code_t bf_rollout_trace_replay(
    FILE *file, bf_rollout_trace_visit_t visit, void *ctx, bf_error_t *err);

#endif
