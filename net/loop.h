#ifndef BF_NET_LOOP_H
#define BF_NET_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

/*
 * An event loop for one thread: descriptors, timers, and tasks deferred to the
 * end of an iteration.  The clock is read once per iteration, and that time is
 * passed to every callback.
 */

typedef struct bf_loop bf_loop_t;
typedef struct bf_source bf_source_t;
typedef struct bf_timer bf_timer_t;
typedef struct bf_task bf_task_t;

/* The structure that contains the member pointed to. */
#define BF_CONTAINER(member_pointer, type, member) \
	((type *)(void *)((char *)(member_pointer)-offsetof(type, member)))

struct bf_source {
	/* events: EPOLLIN and so on. */
	void (*ready)(
	    bf_source_t *source, uint32_t events, bf_time_us_t now_us);
	int fd; /* -1: closed, with no further callbacks */
};

struct bf_timer {
	void (*fire)(bf_timer_t *timer, bf_time_us_t now_us);
	bf_time_us_t fire_at_us;
	size_t heap_index; /* in the loop's heap, from 1; 0: timer not set */
};

/* Runs once at the end of the iteration in which it was added. */
struct bf_task {
	void (*run)(bf_task_t *task, bf_time_us_t now_us);
	bf_task_t *next;
	bool queued;
};

bf_loop_t *bf_loop_new(bf_error_t *err);
void bf_loop_free(bf_loop_t *loop);

/*
 * Sets a function that is called after each iteration with the time that it
 * took, the wait for events excluded.
 */
void bf_loop_observe(bf_loop_t *loop,
    void (*iterated)(void *ctx, bf_time_us_t took_us, bf_time_us_t now_us),
    void *ctx);

/* Runs until bf_loop_stop; may be called again afterwards. */
void bf_loop_run(bf_loop_t *loop);
void bf_loop_stop(bf_loop_t *loop);

bf_code_t bf_loop_watch(
    bf_loop_t *loop, bf_source_t *source, uint32_t events, bf_error_t *err);
void bf_loop_change(bf_loop_t *loop, bf_source_t *source, uint32_t events);

/* Sets a timer or changes its time; it fires once. */
void bf_loop_timer_set(
    bf_loop_t *loop, bf_timer_t *timer, bf_time_us_t fire_at_us);
void bf_loop_timer_cancel(bf_loop_t *loop, bf_timer_t *timer);

void bf_loop_defer(bf_loop_t *loop, bf_task_t *task);

/*
 * Frees memory at the end of the iteration, when none of its events can refer
 * to the object any more.
 */
void bf_loop_defer_free(bf_loop_t *loop, void *memory);

#endif
