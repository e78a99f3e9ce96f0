#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "net/tcp.h"

/* Listening sockets of an event loop, while connections cannot be accepted. */

#define CLIENTS 4
#define RUN_US (500 * BF_US_PER_MS)
/* Far more than timers cause in that time, far fewer than a busy loop. */
#define ITERATIONS_MAX 100

typedef struct fixture {
	bf_loop_t *loop;
	bf_listener_t listener;
	bf_timer_t end;
	uint32_t iterations;
	uint32_t accepted;
} fixture_t;

static void
on_accepted(bf_listener_t *listener, int fd, const struct sockaddr_in *from,
    bf_time_us_t now_us)
{
	fixture_t *f = BF_CONTAINER(listener, fixture_t, listener);

	(void)from;
	(void)now_us;
	f->accepted++;
	close(fd);
}

static void
on_iteration(void *ctx, bf_time_us_t took_us, bf_time_us_t now_us)
{
	fixture_t *f = ctx;

	(void)took_us;
	(void)now_us;
	f->iterations++;
}

static void
on_end(bf_timer_t *timer, bf_time_us_t now_us)
{
	fixture_t *f = BF_CONTAINER(timer, fixture_t, end);

	(void)now_us;
	bf_loop_stop(f->loop);
}

static void
run(fixture_t *f)
{
	f->iterations = 0;
	bf_loop_timer_set(f->loop, &f->end, bf_clock_monotonic_us() + RUN_US);
	bf_loop_run(f->loop);
}

static void
set_descriptor_limit(rlim_t limit)
{
	struct rlimit limits;

	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &limits), ==, 0);
	limits.rlim_cur = limit;
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limits), ==, 0);
}

/* The lowest descriptor that is free: a lower limit leaves none. */
static int
lowest_free_descriptor(void)
{
	int fd = open("/dev/null", O_RDONLY | O_CLOEXEC);

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	return fd;
}

/*
 * Connections that wait while the process has no descriptor left keep the
 * listening socket readable.
 */
static void
test_out_of_descriptors(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	fixture_t f = { .end.fire = on_end, .listener.accepted = on_accepted };
	struct rlimit before;
	int clients[CLIENTS], i;

	f.loop = bf_loop_new(NULL);
	g_assert_cmpint(
	    bf_listener_open(&f.listener, f.loop, &address, NULL), ==, BF_OK);
	bf_loop_observe(f.loop, on_iteration, &f);
	address.sin_port = htons(bf_listener_port(&f.listener));
	for (i = 0; i < CLIENTS; i++) {
		clients[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		g_assert_cmpint(
		    connect(clients[i], (const struct sockaddr *)&address,
			sizeof(address)),
		    ==, 0);
	}
	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &before), ==, 0);
	set_descriptor_limit((rlim_t)lowest_free_descriptor());
	run(&f);
	set_descriptor_limit(before.rlim_cur);
	g_test_message("%u iterations", f.iterations);
	g_assert_cmpuint(f.accepted, ==, 0);
	g_assert_cmpuint(f.iterations, <=, ITERATIONS_MAX);
	run(&f);
	g_assert_cmpuint(f.accepted, ==, CLIENTS);
	for (i = 0; i < CLIENTS; i++)
		close(clients[i]);
	bf_listener_close(&f.listener);
	bf_loop_free(f.loop);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/listener/out-of-descriptors", test_out_of_descriptors);
	return g_test_run();
}
