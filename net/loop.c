#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "net/loop.h"

#define EVENTS_MAX 128
#define TIMERS_MIN 64

struct bf_loop {
	int epoll_fd;
	bool stop;
	bf_timer_t **timers; /* a binary heap by when_us, from place 1 */
	size_t timer_count;
	size_t timer_room;
	bf_task_t *first_task;
	bf_task_t **last_task;
	void **released;
	size_t released_count;
	size_t released_room;
};

bf_loop_t *
bf_loop_new(bf_error_t *err)
{
	bf_loop_t *loop;

	loop = calloc(1, sizeof(*loop));
	if (loop == NULL) {
		bf_error_set(err, BF_ERR_MEMORY, "no memory for a loop");
		return NULL;
	}
	loop->last_task = &loop->first_task;
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (loop->epoll_fd < 0) {
		bf_error_set(err, BF_ERR_IO, "epoll: %s", strerror(errno));
		free(loop);
		return NULL;
	}
	return loop;
}

static void
free_released(bf_loop_t *loop)
{
	size_t i;

	for (i = 0; i < loop->released_count; i++)
		free(loop->released[i]);
	loop->released_count = 0;
}

void
bf_loop_free(bf_loop_t *loop)
{
	if (loop == NULL)
		return;
	free_released(loop);
	close(loop->epoll_fd);
	free(loop->released);
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
	return bf_error_set(
	    err, BF_ERR_IO, "epoll on %d: %s", source->fd, strerror(errno));
}

void
bf_loop_change(bf_loop_t *loop, bf_source_t *source, uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = source };

	(void)epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, source->fd, &event);
}

static void
put_timer(bf_loop_t *loop, size_t place, bf_timer_t *timer)
{
	loop->timers[place] = timer;
	timer->place = place;
}

static void
sift_up(bf_loop_t *loop, bf_timer_t *timer)
{
	size_t place = timer->place;

	while (place > 1 && loop->timers[place / 2]->when_us > timer->when_us) {
		put_timer(loop, place, loop->timers[place / 2]);
		place /= 2;
	}
	put_timer(loop, place, timer);
}

static void
sift_down(bf_loop_t *loop, bf_timer_t *timer)
{
	size_t place = timer->place, child;

	for (child = place * 2; child <= loop->timer_count; child = place * 2) {
		if (child < loop->timer_count &&
		    loop->timers[child + 1]->when_us <
			loop->timers[child]->when_us)
			child++;
		if (loop->timers[child]->when_us >= timer->when_us)
			break;
		put_timer(loop, place, loop->timers[child]);
		place = child;
	}
	put_timer(loop, place, timer);
}

static bool
grow_timers(bf_loop_t *loop)
{
	bf_timer_t **timers;
	size_t room;

	if (loop->timer_count + 1 < loop->timer_room)
		return true;
	room = loop->timer_room == 0 ? TIMERS_MIN : loop->timer_room * 2;
	timers = realloc(loop->timers, room * sizeof(bf_timer_t *));
	if (timers == NULL)
		return false;
	loop->timers = timers;
	loop->timer_room = room;
	return true;
}

void
bf_loop_timer(bf_loop_t *loop, bf_timer_t *timer, bf_time_us_t when_us)
{
	if (timer->place == 0) {
		/* Without timers nothing here can go on. */
		if (!grow_timers(loop))
			abort();
		loop->timer_count++;
		timer->place = loop->timer_count;
	}
	timer->when_us = when_us;
	sift_up(loop, timer);
	sift_down(loop, timer);
}

void
bf_loop_timer_cancel(bf_loop_t *loop, bf_timer_t *timer)
{
	bf_timer_t *last;
	size_t place = timer->place;

	if (place == 0)
		return;
	timer->place = 0;
	last = loop->timers[loop->timer_count--];
	if (last == timer)
		return;
	put_timer(loop, place, last);
	sift_up(loop, last);
	sift_down(loop, last);
}

void
bf_loop_task(bf_loop_t *loop, bf_task_t *task)
{
	if (task->queued)
		return;
	task->queued = true;
	task->next = NULL;
	*loop->last_task = task;
	loop->last_task = &task->next;
}

void
bf_loop_release(bf_loop_t *loop, void *memory)
{
	size_t room;
	void **list;

	if (loop->released_count == loop->released_room) {
		room = loop->released_room * 2 + TIMERS_MIN;
		list = realloc(loop->released, room * sizeof(void *));
		if (list == NULL)
			return; /* leaked: a later event may name it */
		loop->released = list;
		loop->released_room = room;
	}
	loop->released[loop->released_count++] = memory;
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

	while (loop->timer_count > 0 && loop->timers[1]->when_us <= now_us) {
		timer = loop->timers[1];
		bf_loop_timer_cancel(loop, timer);
		timer->fire(timer, now_us);
	}
}

static int
wait_ms(const bf_loop_t *loop)
{
	bf_time_us_t left_us;

	if (loop->timer_count == 0)
		return -1;
	left_us = loop->timers[1]->when_us - bf_clock_monotonic_us();
	if (left_us <= 0)
		return 0;
	return (int)((left_us + BF_US_PER_MS - 1) / BF_US_PER_MS);
}

static void
run_round(bf_loop_t *loop)
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
	free_released(loop);
}

void
bf_loop_run(bf_loop_t *loop)
{
	loop->stop = false;
	while (!loop->stop)
		run_round(loop);
}

void
bf_loop_stop(bf_loop_t *loop)
{
	loop->stop = true;
}
