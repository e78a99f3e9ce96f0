#ifndef BF_BENCH_LOAD_SIM_H
#define BF_BENCH_LOAD_SIM_H

#include <stdint.h>

#include "base/error.h"

/*
 * Discrete-event simulation of a load pattern: entry nodes, targets and a
 * network with delays on one simulated clock.  Targets are chosen and calls are
 * queued by the modules of the mesh (mesh/balance.h, mesh/call_queue.h) or by
 * another policy.  The same seed gives the same calls to every policy.
 *
 * A pattern is a text file, described in tests/traces/load/README.
 */

typedef enum bf_policy {
	BF_POLICY_MESH,        /* the modules of the mesh */
	BF_POLICY_TWO_CHOICES, /* best of two by load reports, FCFS queues */
	BF_POLICY_STALE_LEAST, /* best of all by load reports, FCFS queues */
	BF_POLICY_ROUND_ROBIN,
	BF_POLICY_RANDOM,
	BF_POLICY_UNSHARED, /* the mesh without the modules of fairness/ */
	BF_POLICY_PERFECT,  /* chooses with the actual state of all targets */
	BF_POLICY_LEARN,    /* the mesh with load.learn_capacity */
	BF_POLICY_ZONES,    /* the mesh with load.zone_cost, 0.4 */
	BF_POLICY_COUNT
} bf_policy_t;

#define BF_PATTERN_CLASSES_MAX 4
#define BF_PATTERN_ACCOUNTS_MAX 128

typedef struct bf_sim_class_result {
	uint64_t calls;
	uint64_t on_time;
	uint64_t late;
	uint64_t refused;
	uint64_t failed;
} bf_sim_class_result_t;

/* Calls of one account, each with its retries as one. */
typedef struct bf_sim_account_result {
	uint64_t calls;
	uint64_t served;      /* answered before the deadline */
	double served_work_s; /* at a target of speed 1 */
} bf_sim_account_result_t;

typedef struct bf_sim_result {
	bf_sim_class_result_t classes[BF_PATTERN_CLASSES_MAX];
	uint32_t class_count;
	bf_sim_account_result_t accounts[BF_PATTERN_ACCOUNTS_MAX];
	uint32_t account_count;
	uint64_t refusals;   /* answers of 503, also to calls retried later */
	double total_worth;  /* of all calls */
	double earned_worth; /* of answers, with the lower worth of late ones */
	double on_time_worth; /* of answers on time */
	double wasted_s; /* run time of calls that failed or were too late */
	double mean_wait_ms; /* of answered calls, from arrival to the run */
	uint64_t offers;     /* of calls to nodes beside targets */
	uint64_t runs;
	uint64_t runs_outside; /* of them, outside the zone of the entry */
} bf_sim_result_t;

typedef struct bf_pattern bf_pattern_t;

/* Returns NULL and sets err, which names an invalid line. */
bf_pattern_t *bf_pattern_read(const char *path, bf_error_t *err);
void bf_pattern_free(bf_pattern_t *pattern);

/*
 * Simulates the pattern.  nodes is the number of nodes, or 0 for that of the
 * pattern; the load per node is the same in any case.
 */
void bf_pattern_simulate(const bf_pattern_t *pattern, bf_policy_t policy,
    uint32_t nodes, uint64_t seed, bf_sim_result_t *result);

const char *bf_policy_name(bf_policy_t policy);

#endif
