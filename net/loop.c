#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "net/loop.h"

#define EVENTS_MAX 128
#define LIST_CAPACITY_MIN 64

struct bf_loop {
	int epoll_fd;
	bool stop;
	bf_timer_t **timers; /* a binary heap by fire_at_us, from index 1 */
	size_t timer_count;
	size_t timer_capacity;
	bf_task_t *first_task;
	bf_task_t **last_task;
	void **to_free;
	size_t to_free_count;
	size_t to_free_capacity;
	void (*iterated)(void *ctx, bf_time_us_t took_us, bf_time_us_t now_us);
	void *iterated_ctx;
};

bf_loop_t *
bf_loop_new(bf_error_t *err)
{
	bf_loop_t *loop;

	loop = calloc(1, sizeof(*loop));
	if (loop == NULL) {
		bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for an event loop");
		return NULL;
	}
	loop->last_task = &loop->first_task;
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (loop->epoll_fd < 0) {
		bf_error_set(err, BF_ERR_IO,
		    "cannot create an epoll instance: %s", strerror(errno));
		free(loop);
		return NULL;
	}
	return loop;
}

static void
free_deferred(bf_loop_t *loop)
{
	size_t i;

	for (i = 0; i < loop->to_free_count; i++)
		free(loop->to_free[i]);
	loop->to_free_count = 0;
}

void
bf_loop_free(bf_loop_t *loop)
{
	if (loop == NULL)
		return;
	free_deferred(loop);
	close(loop->epoll_fd);
	free(loop->to_free);
	free(loop->timers);
	free(loop);
}

bf_code_t
bf_loop_watch(
    bf_loop_t *loop, bf_source_t *source, uint32_t events, bf_error_t *err)
{
	struct epoll_event event = { .events = events, .data.ptr = source };

	if (epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, source->fd, &event) == 0)
		return BF_OK;
	return bf_error_set(err, BF_ERR_IO,
	    "cannot add descriptor %d to epoll: %s", source->fd,
	    strerror(errno));
}

void
bf_loop_change(bf_loop_t *loop, bf_source_t *source, uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = source };

	(void)epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, source->fd, &event);
}

static void
place_timer(bf_loop_t *loop, size_t index, bf_timer_t *timer)
{
	loop->timers[index] = timer;
	timer->heap_index = index;
}

static void
sift_up(bf_loop_t *loop, bf_timer_t *timer)
{
	size_t index = timer->heap_index;

	while (index > 1 &&
	    loop->timers[index / 2]->fire_at_us > timer->fire_at_us) {
		place_timer(loop, index, loop->timers[index / 2]);
		index /= 2;
	}
	place_timer(loop, index, timer);
}

static void
sift_down(bf_loop_t *loop, bf_timer_t *timer)
{
	size_t index = timer->heap_index, child;

	for (child = index * 2; child <= loop->timer_count; child = index * 2) {
		if (child < loop->timer_count &&
		    loop->timers[child + 1]->fire_at_us <
			loop->timers[child]->fire_at_us)
			child++;
		if (loop->timers[child]->fire_at_us >= timer->fire_at_us)
			break;
		place_timer(loop, index, loop->timers[child]);
		index = child;
	}
	place_timer(loop, index, timer);
}

static bool
reserve_timer(bf_loop_t *loop)
{
	bf_timer_t **timers;
	size_t capacity;

	if (loop->timer_count + 1 < loop->timer_capacity)
		return true;
	capacity = loop->timer_capacity == 0 ? LIST_CAPACITY_MIN
					     : loop->timer_capacity * 2;
	timers = realloc(loop->timers, capacity * sizeof(bf_timer_t *));
	if (timers == NULL)
		return false;
	loop->timers = timers;
	loop->timer_capacity = capacity;
	return true;
}

void
bf_loop_timer_set(bf_loop_t *loop, bf_timer_t *timer, bf_time_us_t fire_at_us)
{
	if (timer->heap_index == 0) {
		/* The program cannot work without its timers. */
		if (!reserve_timer(loop))
			abort();
		loop->timer_count++;
		timer->heap_index = loop->timer_count;
	}
	timer->fire_at_us = fire_at_us;
	sift_up(loop, timer);
	sift_down(loop, timer);
}

void
bf_loop_timer_cancel(bf_loop_t *loop, bf_timer_t *timer)
{
	bf_timer_t *last;
	size_t index = timer->heap_index;

	if (index == 0)
		return;
	timer->heap_index = 0;
	last = loop->timers[loop->timer_count--];
	if (last == timer)
		return;
	place_timer(loop, index, last);
	sift_up(loop, last);
	sift_down(loop, last);
}

void
bf_loop_defer(bf_loop_t *loop, bf_task_t *task)
{
	if (task->queued)
		return;
	task->queued = true;
	task->next = NULL;
	*loop->last_task = task;
	loop->last_task = &task->next;
}

void
bf_loop_defer_free(bf_loop_t *loop, void *memory)
{
	size_t capacity;
	void **list;

	if (loop->to_free_count == loop->to_free_capacity) {
		capacity = loop->to_free_capacity * 2 + LIST_CAPACITY_MIN;
		list = realloc(loop->to_free, capacity * sizeof(void *));
		if (list == NULL)
			return; /* leaked: a later event may refer to it */
		loop->to_free = list;
		loop->to_free_capacity = capacity;
	}
	loop->to_free[loop->to_free_count++] = memory;
}

static void
run_tasks(bf_loop_t *loop, bf_time_us_t now_us)
{
	bf_task_t *task;

	while ((task = loop->first_task) != NULL) {
		loop->first_task = task->next;
		if (loop->first_task == NULL)
			loop->last_task = &loop->first_task;
		task->queued = false;
		task->run(task, now_us);
	}
}

static void
fire_timers(bf_loop_t *loop, bf_time_us_t now_us)
{
	bf_timer_t *timer;

	while (loop->timer_count > 0 && loop->timers[1]->fire_at_us <= now_us) {
		timer = loop->timers[1];
		bf_loop_timer_cancel(loop, timer);
		timer->fire(timer, now_us);
	}
}

static int
wait_ms(const bf_loop_t *loop)
{
	bf_time_us_t remaining_us;

	if (loop->timer_count == 0)
		return -1;
	remaining_us = loop->timers[1]->fire_at_us - bf_clock_monotonic_us();
	if (remaining_us <= 0)
		return 0;
	return (int)((remaining_us + BF_US_PER_MS - 1) / BF_US_PER_MS);
}

void
bf_loop_observe(bf_loop_t *loop,
    void (*iterated)(void *ctx, bf_time_us_t took_us, bf_time_us_t now_us),
    void *ctx)
{
	loop->iterated = iterated;
	loop->iterated_ctx = ctx;
}

static void
run_iteration(bf_loop_t *loop)
{
	struct epoll_event events[EVENTS_MAX];
	bf_source_t *source;
	bf_time_us_t now_us;
	int count, i;

	count = epoll_wait(loop->epoll_fd, events, EVENTS_MAX, wait_ms(loop));
	now_us = bf_clock_monotonic_us();
	for (i = 0; i < count; i++) {
		source = events[i].data.ptr;
		if (source->fd >= 0)
			source->ready(source, events[i].events, now_us);
	}
	fire_timers(loop, now_us);
	run_tasks(loop, now_us);
	if (loop->iterated != NULL)
		loop->iterated(loop->iterated_ctx,
		    bf_clock_monotonic_us() - now_us, now_us);
	free_deferred(loop);
}

void
bf_loop_run(bf_loop_t *loop)
{
	loop->stop = false;
	while (!loop->stop)
		run_iteration(loop);
}

void
bf_loop_stop(bf_loop_t *loop)
{
	loop->stop = true;
}
