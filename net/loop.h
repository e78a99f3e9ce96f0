#ifndef BF_NET_LOOP_H
#define BF_NET_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

/*
 * An event loop for one thread: descriptors, timers, and work that is put off
 * to the end of a round.  The time of a round is read once and handed to every
 * callback.
 */

typedef struct bf_loop bf_loop_t;
typedef struct bf_source bf_source_t;
typedef struct bf_timer bf_timer_t;
typedef struct bf_task bf_task_t;

/* The object that holds member as its field. */
#define BF_CONTAINER(member_pointer, type, member) \
	((type *)(void *)((char *)(member_pointer)-offsetof(type, member)))

struct bf_source {
	/* events: EPOLLIN and so on. */
	void (*ready)(
	    bf_source_t *source, uint32_t events, bf_time_us_t now_us);
	int fd; /* -1: closed, and no callback any more */
};

struct bf_timer {
	void (*fire)(bf_timer_t *timer, bf_time_us_t now_us);
	bf_time_us_t when_us;
	size_t place; /* in the loop's heap, from 1; 0: not set */
};

/* Runs once at the end of the round in which it was added. */
struct bf_task {
	void (*run)(bf_task_t *task, bf_time_us_t now_us);
	bf_task_t *next;
	bool queued;
};

bf_loop_t *bf_loop_new(bf_error_t *err);
void bf_loop_free(bf_loop_t *loop);

/* Runs until bf_loop_stop; may be run again. */
void bf_loop_run(bf_loop_t *loop);
void bf_loop_stop(bf_loop_t *loop);

bf_code_t bf_loop_watch(
    bf_loop_t *loop, bf_source_t *source, uint32_t events, bf_error_t *err);
void bf_loop_change(bf_loop_t *loop, bf_source_t *source, uint32_t events);

/* Sets or moves a timer; it fires once. */
void bf_loop_timer(bf_loop_t *loop, bf_timer_t *timer, bf_time_us_t when_us);
void bf_loop_timer_cancel(bf_loop_t *loop, bf_timer_t *timer);

void bf_loop_task(bf_loop_t *loop, bf_task_t *task);

/*
 * Frees memory after the round, when no event of it can name the object any
 * more.
 */
void bf_loop_release(bf_loop_t *loop, void *memory);

#endif
