#ifndef BF_ROLLOUT_REPORT_H
#define BF_ROLLOUT_REPORT_H

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "rollout/move_stats.h"

/*
 * Report of one instance to the collectors of its zone: its own call
 * statistics of a move since the start of this incarnation.  In stats,
 * `instance` is the sender and `zone` its zone.
 */
typedef struct bf_stats_report {
	uint64_t incarnation;
	bf_move_stats_t stats;
} bf_stats_report_t;

bf_code_t bf_stats_report_encode(const bf_stats_report_t *report, void *buffer,
    size_t capacity, size_t *size_bytes, bf_error_t *err);
bf_code_t bf_stats_report_decode(const void *data, size_t data_bytes,
    bf_stats_report_t *report, bf_error_t *err);

#endif
