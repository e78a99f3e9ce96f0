#include <glib.h>

#include "memory/budget.h"

#define MB ((uint64_t)1 << 20)

typedef struct body {
	bf_memory_body_t memory; /* first member */
	bf_memory_charge_t charge;
	bool refused;
} body_t;

static void
on_refuse(bf_memory_body_t *memory, bf_time_us_t now_us)
{
	body_t *body = (body_t *)(void *)memory;

	(void)now_us;
	body->refused = true;
	bf_memory_charge_set(&body->charge, 0);
}

static void
begin(bf_memory_budget_t *budget, body_t *body, bf_time_us_t now_us)
{
	*body = (body_t){ .memory = { .refuse = on_refuse },
		.charge = { .budget = budget } };
	bf_memory_body_begin(budget, &body->memory, now_us);
}

static void
receive(body_t *body, uint64_t bytes, bf_time_us_t now_us)
{
	bf_memory_body_received(&body->memory, bytes, now_us);
	bf_memory_charge_set(&body->charge, body->charge.bytes + bytes);
}

/* A stopped body of almost full length must not keep out a newcomer. */
static void
test_slowest_is_refused(void)
{
	bf_memory_budget_t budget;
	body_t stopped, steady, newcomer;

	bf_memory_budget_init(&budget, 10 * MB);
	begin(&budget, &stopped, 0);
	receive(&stopped, 8 * MB, 0);
	begin(&budget, &steady, 0);
	receive(&steady, MB, 9 * BF_US_PER_S);
	begin(&budget, &newcomer, 10 * BF_US_PER_S);
	g_assert_true(
	    bf_memory_budget_make_room(&budget, MB, 10 * BF_US_PER_S));
	g_assert_false(stopped.refused);
	receive(&newcomer, MB, 10 * BF_US_PER_S);
	g_assert_true(
	    bf_memory_budget_make_room(&budget, MB, 10 * BF_US_PER_S));
	g_assert_true(stopped.refused);
	g_assert_false(steady.refused);
	g_assert_false(newcomer.refused);
	g_assert_cmpuint(budget.held_bytes, ==, 2 * MB);
	g_assert_cmpuint(budget.held_by_side[BF_MEMORY_CALLERS], ==, 2 * MB);
}

/* What waits for answers cannot be refused: nothing more may be read. */
static void
test_no_room(void)
{
	bf_memory_budget_t budget;
	bf_memory_charge_t waiting = { .budget = &budget };

	bf_memory_budget_init(&budget, 2 * MB);
	bf_memory_charge_set(&waiting, 2 * MB);
	g_assert_false(bf_memory_budget_make_room(&budget, 1, 0));
	bf_memory_charge_set(&waiting, 0);
	g_assert_true(bf_memory_budget_make_room(&budget, 1, 0));
}

/* A pause of the process itself is not held against a client. */
static void
test_minimum_rate(void)
{
	bf_memory_budget_t budget;
	body_t body;
	int i;

	bf_memory_budget_init(&budget, 0);
	begin(&budget, &body, 0);
	g_assert_false(
	    bf_memory_body_is_too_slow(&body.memory, 60 * BF_US_PER_S));
	for (i = 0; i < 28; i++)
		g_assert_false(
		    bf_memory_body_is_too_slow(&body.memory, BF_US_PER_S));
	receive(&body, 512, 0);
	g_assert_false(bf_memory_body_is_too_slow(&body.memory, BF_US_PER_S));
	for (i = 0; i < 29; i++)
		g_assert_false(
		    bf_memory_body_is_too_slow(&body.memory, BF_US_PER_S));
	g_assert_true(bf_memory_body_is_too_slow(&body.memory, BF_US_PER_S));
}

/* Small buffers take their capacity; large ones what was written. */
static void
test_buffers(void)
{
	bf_bytes_t bytes = { 0 };

	bf_bytes_add(&bytes, "a", 1);
	g_assert_cmpuint(bf_memory_of(&bytes), ==, bytes.capacity);
	while (bf_bytes_count(&bytes) < MB + 1)
		bf_bytes_add(&bytes, "a", 1);
	g_assert_cmpuint(bf_memory_of(&bytes), ==, MB + 1);
	bf_bytes_free(&bytes);
	g_assert_cmpuint(bf_memory_of(&bytes), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/budget/slowest", test_slowest_is_refused);
	g_test_add_func("/budget/no-room", test_no_room);
	g_test_add_func("/budget/minimum-rate", test_minimum_rate);
	g_test_add_func("/budget/buffers", test_buffers);
	return g_test_run();
}
