#ifndef BF_BENCH_LOADPLAY_H
#define BF_BENCH_LOADPLAY_H

#include <stdint.h>

#include "base/error.h"

/*
 * Plays a load pattern through the decisions alone: entries, targets and a
 * network with delays, all simulated on one clock, with the modules that the
 * mesh runs (mesh/balance.h, mesh/call_queue.h) or with another policy.  The
 * same seed gives the same calls to every policy.
 *
 * A pattern is a text file, see tests/traces/load/README.
 */

typedef enum bf_policy {
	BF_POLICY_MESH,        /* what the mesh does */
	BF_POLICY_TWO_CHOICES, /* by reports, first come first served */
	BF_POLICY_STALE_LEAST, /* least loaded by the entry's reports */
	BF_POLICY_ROUND_ROBIN,
	BF_POLICY_RANDOM,
	BF_POLICY_PERFECT, /* one place that knows every target's state */
	BF_POLICY_COUNT
} bf_policy_t;

#define BF_PLAY_CLASSES_MAX 4

typedef struct bf_play_class {
	uint64_t calls;
	uint64_t on_time;
	uint64_t late;
	uint64_t refused;
	uint64_t failed;
} bf_play_class_t;

typedef struct bf_play_result {
	bf_play_class_t classes[BF_PLAY_CLASSES_MAX];
	uint32_t class_count;
	double owed;      /* worth of all calls */
	double earned;    /* on time in full, late in part */
	double on_time;   /* worth earned on time */
	double wasted_s;  /* work at targets that served nobody */
	double waited_ms; /* mean wait of served calls for a slot */
	uint64_t offers;  /* to nodes beside targets */
} bf_play_result_t;

typedef struct bf_pattern bf_pattern_t;

/* NULL and an error that names the line. */
bf_pattern_t *bf_pattern_read(const char *path, bf_error_t *err);
void bf_pattern_free(bf_pattern_t *pattern);

/* nodes: how many; 0: as the pattern says.  The load a node stays the same. */
void bf_pattern_play(const bf_pattern_t *pattern, bf_policy_t policy,
    uint32_t nodes, uint64_t seed, bf_play_result_t *result);

const char *bf_policy_name(bf_policy_t policy);

#endif
