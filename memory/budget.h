#ifndef BF_MEMORY_BUDGET_H
#define BF_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/bytes.h"
#include "base/clock.h"

/*
 * The memory that callers make a process hold: messages being read, requests
 * that wait, answers that are not read.  Handles many bodies that stop short of
 * their end and stay open, which took 1,447 MB on a machine of 160 MB.
 *
 * When the budget runs out, the body that progresses slowest is refused, so
 * that stopped bodies cannot keep out a newcomer.
 */

typedef struct bf_memory_budget bf_memory_budget_t;
typedef struct bf_memory_body bf_memory_body_t;

/*
 * Blocks of this length are mapped separately: what was not written is not
 * resident.  The process sets it as M_MMAP_THRESHOLD, as glibc raises its own
 * default when such a block is freed.
 */
#define BF_MEMORY_MAPPED_BYTES ((size_t)32768)

typedef enum bf_memory_side {
	BF_MEMORY_CALLERS, /* requests of callers and answers to them */
	BF_MEMORY_TARGET,  /* calls at the target and its answers */
	BF_MEMORY_PEERS,   /* bodies from peers and frames in both directions */
	BF_MEMORY_SIDES
} bf_memory_side_t;

/* Bytes that one object holds of a budget; zeroed: none. */
typedef struct bf_memory_charge {
	bf_memory_budget_t *budget; /* NULL: not counted */
	bf_memory_side_t side;
	uint64_t bytes;
} bf_memory_charge_t;

/* A body that is being read, or an answer that is being written. */
struct bf_memory_body {
	TAILQ_ENTRY(bf_memory_body) link;
	bf_memory_budget_t *budget; /* NULL: not in a list */
	/* Refuses the body, which ends it and releases its memory. */
	void (*refuse)(bf_memory_body_t *body, bf_time_us_t now_us);
	bf_time_us_t began_us;
	double recent_bytes; /* decays, as of recent_at_us */
	bf_time_us_t recent_at_us;
	bf_time_us_t read_us;  /* time in which the process read it, */
	uint64_t window_bytes; /* and what arrived in that time */
};

struct bf_memory_budget {
	uint64_t limit_bytes; /* 0: no limit */
	uint64_t held_bytes;
	uint64_t held_by_side[BF_MEMORY_SIDES];
	TAILQ_HEAD(bf_memory_bodies, bf_memory_body) bodies;
};

void bf_memory_budget_init(bf_memory_budget_t *budget, uint64_t limit_bytes);

/* The limit for a machine with so many bytes of memory. */
uint64_t bf_memory_budget_limit(uint64_t memory_bytes);

/* Sets what the object holds; 0 releases it. */
void bf_memory_charge_set(bf_memory_charge_t *charge, uint64_t bytes);

/* Resident bytes of a buffer: growth leaves a large one's end untouched. */
uint64_t bf_memory_of(const bf_bytes_t *bytes);

void bf_memory_body_begin(
    bf_memory_budget_t *budget, bf_memory_body_t *body, bf_time_us_t now_us);
/* No effect if it is in no list. */
void bf_memory_body_end(bf_memory_body_t *body);
void bf_memory_body_received(
    bf_memory_body_t *body, uint64_t bytes, bf_time_us_t now_us);

/*
 * Counts time in which the process read the body; call it every 250 ms or so,
 * not while reading is paused.  A longer time since the last call is the
 * process's own pause, and counts as 1 s at most.  True if the body missed its
 * minimum rate.
 */
bool bf_memory_body_is_too_slow(
    bf_memory_body_t *body, bf_time_us_t elapsed_us);

/* Bytes a second or so, over the recent time; to compare bodies. */
double bf_memory_body_rate(const bf_memory_body_t *body, bf_time_us_t now_us);

/* The body that progresses slowest; NULL: none is being read. */
bf_memory_body_t *bf_memory_budget_slowest(
    const bf_memory_budget_t *budget, bf_time_us_t now_us);

/* Whether bytes more can be held without refusing a body. */
bool bf_memory_budget_has_room(
    const bf_memory_budget_t *budget, uint64_t bytes);

/*
 * Refuses the slowest bodies until bytes more can be held.  Returns false if
 * they cannot: the connection should not be read now.
 */
bool bf_memory_budget_make_room(
    bf_memory_budget_t *budget, uint64_t bytes, bf_time_us_t now_us);

#endif
