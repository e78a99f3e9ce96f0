#include <glib.h>
#include <string.h>

#include "mesh/move_record.h"

/*
 * Several leaders of a divided mesh end one move.  Once the store holds a final
 * state, the platform stops the old targets or drains the new ones; a leader
 * that replaced it left the service without a version that gets calls.
 *
 * The tests visit every state that a few events can lead to: each leader
 * decides, writes, gets its reply or loses it, restarts and hears of the other
 * one, and the operator orders the next move.
 */

#define LEADERS_MAX 3
#define FIRST_ORDER 10

/* A write on its way to the store; it may arrive after its sender gave up. */
typedef struct request {
	bool is_sent;
	bool is_executed;
	bool is_lost; /* its sender no longer waits for the reply */
	bool succeeded;
	bf_move_outcome_t outcome;
	uint64_t expected;
	uint64_t expected_order;
	uint64_t revision; /* of the write */
} request_t;

typedef struct leader {
	bf_move_t move;
	bf_move_record_t record;
	request_t request;
	request_t abandoned; /* the earlier one whose reply was lost */
	uint8_t has_decided;
} leader_t;

typedef struct world {
	leader_t leaders[LEADERS_MAX];
	bf_move_outcome_t stored;
	uint64_t stored_revision; /* 0: absent */
	uint64_t order_revision;
	uint64_t revision;
	uint8_t losses_left;
	uint8_t restarts_left;
	uint8_t orders_left;
	bf_move_state_t first_final; /* of the newest order; active: none */
} world_t;

typedef struct search {
	uint32_t leader_count;
	uint32_t follower_count; /* the last ones: these only hear of others */
	bf_move_state_t decisions[LEADERS_MAX];
	GHashTable *seen;
	GQueue queue;
	uint32_t final_count; /* states from which no event leads on */
} search_t;

static const char *
version_of(uint64_t order_revision)
{
	return order_revision == FIRST_ORDER ? "v2" : "v3";
}

static void
learn_order(leader_t *leader, uint64_t order_revision)
{
	bf_move_order_t order = { .service = "shop", .duration_ms = 1000 };

	(void)g_strlcpy(
	    order.version, version_of(order_revision), sizeof(order.version));
	bf_move_begin(&leader->move, &order, order_revision, 0);
	leader->has_decided = false;
	leader->record.order_deleted = false;
	(void)bf_move_settle(&leader->move, &leader->record);
}

static guint
hash_world(gconstpointer key)
{
	const uint8_t *bytes = key;
	guint hash = 5381;
	size_t i;

	for (i = 0; i < sizeof(world_t); i++)
		hash = hash * 33 + bytes[i];
	return hash;
}

static gboolean
equal_worlds(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(world_t)) == 0;
}

static void
visit(search_t *search, const world_t *world)
{
	world_t *copy;

	if (g_hash_table_contains(search->seen, world))
		return;
	copy = g_memdup2(world, sizeof(*world));
	g_hash_table_add(search->seen, copy);
	g_queue_push_tail(&search->queue, copy);
}

/* The store executes a write and checks what must never happen. */
static void
execute(world_t *world, request_t *request)
{
	request->is_executed = true;
	request->succeeded = request->expected == world->stored_revision &&
	    request->expected_order == world->order_revision;
	if (!request->succeeded)
		return;
	g_assert_cmpstr(
	    request->outcome.version, ==, version_of(world->order_revision));
	if (world->first_final != BF_MOVE_ACTIVE)
		g_assert_cmpint(request->outcome.state, ==, world->first_final);
	world->stored = request->outcome;
	world->stored_revision = request->revision = ++world->revision;
	if (request->outcome.state != BF_MOVE_ACTIVE)
		world->first_final = request->outcome.state;
}

static void
read_store(leader_t *leader, const world_t *world)
{
	if (world->stored_revision != 0)
		bf_move_record_read(
		    &leader->record, &world->stored, world->stored_revision);
	(void)bf_move_settle(&leader->move, &leader->record);
}

static void
receive_reply(leader_t *leader, const world_t *world)
{
	request_t request = leader->request;

	memset(&leader->request, 0, sizeof(leader->request));
	if (request.succeeded) {
		bf_move_record_written(&leader->record, request.revision);
		(void)bf_move_settle(&leader->move, &leader->record);
		return;
	}
	bf_move_record_write_failed(&leader->record);
	if (leader->move.order_revision < world->order_revision)
		learn_order(leader, world->order_revision);
	read_store(leader, world);
}

static void
send_write(leader_t *leader)
{
	leader->request = (request_t){ .is_sent = true,
		.expected = leader->record.revision,
		.expected_order = bf_move_record_order_revision(
		    &leader->record, &leader->move) };
	bf_move_record_begin_write(&leader->record, &leader->move);
	leader->request.outcome = leader->record.written;
}

/* Visits all successors by events of one leader; returns their number. */
static uint32_t
events_of(search_t *search, const world_t *world, uint32_t index)
{
	const leader_t *leader = &world->leaders[index];
	bool leads = index + search->follower_count < search->leader_count;
	uint32_t count = 0, i;
	leader_t *changed;
	world_t next;

#define EVENT() (next = *world, changed = &next.leaders[index], count++)
	if (leads && leader->move.state == BF_MOVE_ACTIVE &&
	    !leader->has_decided) {
		EVENT();
		changed->has_decided = true;
		changed->move.state = search->decisions[index];
		visit(search, &next);
	}
	if (leads &&
	    bf_move_record_needs_write(&leader->record, &leader->move)) {
		EVENT();
		send_write(changed);
		visit(search, &next);
	}
	if (leader->request.is_sent && !leader->request.is_executed) {
		EVENT();
		execute(&next, &changed->request);
		visit(search, &next);
	}
	if (leader->request.is_executed) {
		EVENT();
		receive_reply(changed, world);
		visit(search, &next);
	}
	if (leader->request.is_sent && !leader->abandoned.is_sent &&
	    world->losses_left > 0) {
		EVENT();
		next.losses_left--;
		if (!leader->request.is_executed)
			changed->abandoned = leader->request;
		memset(&changed->request, 0, sizeof(changed->request));
		bf_move_record_write_failed(&changed->record);
		visit(search, &next);
	}
	if (leader->abandoned.is_sent) {
		EVENT();
		execute(&next, &changed->abandoned);
		memset(&changed->abandoned, 0, sizeof(changed->abandoned));
		visit(search, &next);
	}
	if (world->restarts_left > 0 && !leader->abandoned.is_sent) {
		EVENT();
		next.restarts_left--;
		if (leader->request.is_sent && !leader->request.is_executed)
			changed->abandoned = leader->request;
		memset(&changed->request, 0, sizeof(changed->request));
		memset(&changed->record, 0, sizeof(changed->record));
		learn_order(changed, world->order_revision);
		visit(search, &next);
	}
	for (i = 0; i < search->leader_count; i++) {
		if (!bf_move_supersedes(&world->leaders[i].move, &leader->move))
			continue;
		EVENT();
		if (changed->move.order_revision !=
		    world->leaders[i].move.order_revision)
			changed->has_decided = false;
		changed->move = world->leaders[i].move;
		(void)bf_move_settle(&changed->move, &changed->record);
		visit(search, &next);
	}
#undef EVENT
	return count;
}

static void
check_agreement(search_t *search, const world_t *world)
{
	uint32_t i;

	search->final_count++;
	g_assert_cmpint(world->first_final, !=, BF_MOVE_ACTIVE);
	g_assert_cmpint(world->stored.state, ==, world->first_final);
	for (i = 0; i < search->leader_count; i++) {
		g_assert_cmpint(
		    world->leaders[i].move.state, ==, world->first_final);
		g_assert_cmpuint(world->leaders[i].move.settled_revision, ==,
		    world->stored_revision);
	}
}

static void
explore(search_t *search, uint8_t losses, uint8_t restarts, uint8_t orders)
{
	world_t world, next;
	uint32_t i, count;
	world_t *reached;

	memset(&world, 0, sizeof(world));
	world.order_revision = world.revision = FIRST_ORDER;
	world.losses_left = losses;
	world.restarts_left = restarts;
	world.orders_left = orders;
	for (i = 0; i < search->leader_count; i++)
		learn_order(&world.leaders[i], FIRST_ORDER);
	search->seen =
	    g_hash_table_new_full(hash_world, equal_worlds, g_free, NULL);
	g_queue_init(&search->queue);
	search->final_count = 0;
	visit(search, &world);
	while ((reached = g_queue_pop_head(&search->queue)) != NULL) {
		count = 0;
		for (i = 0; i < search->leader_count; i++)
			count += events_of(search, reached, i);
		if (reached->orders_left > 0) {
			next = *reached;
			next.orders_left--;
			next.order_revision = ++next.revision;
			next.first_final = BF_MOVE_ACTIVE;
			visit(search, &next);
		}
		/* What may still happen to others is no reason to wait. */
		if (count == 0 &&
		    reached->leaders[0].move.order_revision ==
			reached->order_revision)
			check_agreement(search, reached);
	}
	g_assert_cmpuint(search->final_count, >, 0);
	g_test_message("%u states, %u of them final",
	    g_hash_table_size(search->seen), search->final_count);
	g_hash_table_unref(search->seen);
}

static void
test_every_order(void)
{
	static const bf_move_state_t ends[] = { BF_MOVE_COMPLETED,
		BF_MOVE_ROLLED_BACK };
	search_t search;
	size_t a, b;

	for (a = 0; a < G_N_ELEMENTS(ends); a++) {
		search =
		    (search_t){ .leader_count = 1, .decisions = { ends[a] } };
		explore(&search, 2, 1, 1);
		for (b = 0; b < G_N_ELEMENTS(ends); b++) {
			search = (search_t){ .leader_count = 2,
				.decisions = { ends[a], ends[b] } };
			explore(&search, 1, 0, 0);
			explore(&search, 0, 1, 0);
			explore(&search, 0, 0, 1);
		}
	}
}

static void
test_three_leaders(void)
{
	search_t search = { .leader_count = 3,
		.decisions = { BF_MOVE_COMPLETED, BF_MOVE_ROLLED_BACK,
		    BF_MOVE_COMPLETED } };

	explore(&search, 0, 0, 0);
}

/* A node that neither decides nor writes ends up with the stored outcome. */
static void
test_follower(void)
{
	search_t search = { .leader_count = 3,
		.follower_count = 1,
		.decisions = { BF_MOVE_COMPLETED, BF_MOVE_ROLLED_BACK } };

	explore(&search, 0, 0, 0);
}

/* The entry of an earlier order, or one that cannot be decoded, is replaced. */
static void
test_foreign_entries(void)
{
	bf_move_outcome_t outcome = {
		.service = "shop", .version = "v2", .state = BF_MOVE_ROLLED_BACK
	};
	bf_move_record_t record = { 0 };
	leader_t leader = { 0 };

	learn_order(&leader, FIRST_ORDER);
	bf_move_record_read(&record, &outcome, FIRST_ORDER - 1);
	g_assert_false(bf_move_settle(&leader.move, &record));
	g_assert_true(bf_move_record_needs_write(&record, &leader.move));
	bf_move_record_read(&record, NULL, FIRST_ORDER + 1);
	g_assert_false(bf_move_settle(&leader.move, &record));
	g_assert_true(bf_move_record_needs_write(&record, &leader.move));
	(void)g_strlcpy(outcome.version, "v1", sizeof(outcome.version));
	bf_move_record_read(&record, &outcome, FIRST_ORDER + 2);
	g_assert_false(bf_move_settle(&leader.move, &record));
	g_assert_true(bf_move_record_needs_write(&record, &leader.move));
	record.order_deleted = true;
	g_assert_cmpuint(
	    bf_move_record_order_revision(&record, &leader.move), ==, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/move-record/every-order", test_every_order);
	g_test_add_func("/move-record/three-leaders", test_three_leaders);
	g_test_add_func("/move-record/follower", test_follower);
	g_test_add_func("/move-record/foreign-entries", test_foreign_entries);
	return g_test_run();
}
