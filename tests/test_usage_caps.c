#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <glib.h>

#include "base/digest.h"
#include "usage_caps/limit.h"
#include "usage_caps/member.h"

/*
 * Usage caps over many nodes, connected in memory with delays, losses and
 * partitions.  Guards against the failures that a cap is exceeded because two
 * parts of a mesh use the same share, and that calls below a cap are refused.
 * Each node has a clock of its own.
 */

#define TICK_US BF_US_PER_MS
#define RING 1024 /* ticks; longer than any delay */
#define ACCOUNTS 79
#define WINDOW_US (5 * BF_US_PER_S)
#define OVER 1.1
#define SLACK 20.0
#define SETTLE_US (1500 * BF_US_PER_MS)
/* Until other nodes notice that one cannot be reached. */
#define NOTICE_US (400 * BF_US_PER_MS)
#define LOSS_DIVISOR 200 /* less than 1 in that many calls below the cap */

typedef struct call {
	uint32_t account;
	bf_time_us_t until_us;
} call_t;

typedef struct frame {
	struct frame *next;
	uint32_t from, to;
	bool above; /* between a coordinator and the root */
	bool is_grant;
	bf_time_us_t sent_us;
	size_t bytes;
	/* A report or a grant, with as many items as it has. */
	uint8_t payload[];
} frame_t;

/* A member with what it knows of those below. */
typedef struct level {
	bool is_up;
	bf_caps_member_t member;
	bf_time_us_t poll_us;
} level_t;

typedef struct node {
	uint32_t zone;
	uint32_t side; /* nodes of different sides cannot reach each other */
	uint32_t noticed_side;
	bf_time_us_t noticed_us;
	bf_time_us_t paused_from_us, paused_until_us;
	bf_time_us_t offset_us; /* of its clock */
	bf_time_us_t share_from_us;
	uint64_t incarnation;
	bf_caps_member_t member;
	level_t zone_level, root_level;
	GArray *waiting; /* call_t */
} node_t;

typedef struct mesh {
	uint32_t node_count, zone_count;
	node_t *nodes;
	bf_time_us_t now_us;
	frame_t *ring[RING];
	uint32_t loss_ppm;
	GRand *random;
	bf_caps_limit_t limits[ACCOUNTS];
	double demand[ACCOUNTS]; /* calls a second */
	/* The node that a call of an account enters by; -1: any. */
	int32_t entry_node[ACCOUNTS], entry_zone[ACCOUNTS];
	GArray *admitted[ACCOUNTS]; /* times */
	uint64_t refused[ACCOUNTS], calls[ACCOUNTS];
	/* A bucket at one place, with which the mesh is compared. */
	double ideal[ACCOUNTS];
	uint64_t ideal_refused[ACCOUNTS];
	uint64_t frames;
	bf_time_us_t count_from_us; /* calls before are not compared */
} mesh_t;

static bool
find_limit(void *ctx, uint64_t account, bf_caps_limit_t *limit)
{
	const mesh_t *mesh = ctx;

	*limit = mesh->limits[account - 1];
	return true;
}

static bf_time_us_t
clock_of(const mesh_t *mesh, uint32_t node)
{
	return mesh->now_us + mesh->nodes[node].offset_us;
}

/* Accounts are added when they are configured, so that tokens are created. */
static void
init_member(mesh_t *mesh, bf_caps_member_t *member, bf_time_us_t stock_us)
{
	uint64_t id;

	g_assert_true(bf_caps_member_init(member, stock_us, find_limit, mesh));
	for (id = 1; id <= ACCOUNTS; id++)
		g_assert_nonnull(bf_caps_pool_account(&member->pool, id));
}

static void
level_down(level_t *level)
{
	if (!level->is_up)
		return;
	bf_caps_member_free(&level->member);
	*level = (level_t){ .is_up = false };
}

static void
level_up(mesh_t *mesh, level_t *level)
{
	if (level->is_up)
		return;
	level->is_up = true;
	init_member(mesh, &level->member, BF_CAPS_ZONE_STOCK_US);
}

static void
start_node(mesh_t *mesh, uint32_t index)
{
	node_t *node = &mesh->nodes[index];

	node->incarnation++;
	node->share_from_us = mesh->now_us + SETTLE_US;
	init_member(mesh, &node->member, BF_CAPS_NODE_STOCK_US);
}

static void
restart_node(mesh_t *mesh, uint32_t index)
{
	node_t *node = &mesh->nodes[index];

	level_down(&node->zone_level);
	level_down(&node->root_level);
	bf_caps_member_free(&node->member);
	g_array_set_size(node->waiting, 0);
	start_node(mesh, index);
}

static uint64_t
node_share(const mesh_t *mesh, uint32_t index)
{
	uint64_t in_zone = 0;
	uint32_t i;

	for (i = mesh->nodes[index].zone; i < mesh->node_count;
	     i += mesh->zone_count)
		in_zone++;
	return BF_CAPS_SHARE_WHOLE / mesh->zone_count / MAX(in_zone, 1);
}

static mesh_t *
mesh_new(uint32_t nodes, uint32_t zones, double rate_max)
{
	mesh_t *mesh = g_new0(mesh_t, 1);
	uint32_t i;

	g_assert_cmpuint(zones, >, 0);
	mesh->node_count = nodes;
	mesh->zone_count = zones;
	mesh->nodes = g_new0(node_t, nodes);
	mesh->random = g_rand_new_with_seed(nodes);
	mesh->now_us = 100 * BF_US_PER_S;
	mesh->count_from_us = mesh->now_us + 4 * BF_US_PER_S;
	for (i = 0; i < ACCOUNTS; i++) {
		mesh->limits[i].rate_per_s = rate_max / (i + 1);
		mesh->limits[i].burst = 4 + rate_max / (i + 1);
		mesh->demand[i] = mesh->limits[i].rate_per_s / 1.6;
		mesh->entry_node[i] = -1;
		mesh->entry_zone[i] = -1;
		mesh->admitted[i] =
		    g_array_new(FALSE, FALSE, sizeof(bf_time_us_t));
	}
	for (i = 0; i < nodes; i++) {
		mesh->nodes[i].zone = i % zones;
		mesh->nodes[i].offset_us =
		    g_rand_int_range(mesh->random, 0, 1 << 30);
		mesh->nodes[i].waiting =
		    g_array_new(FALSE, FALSE, sizeof(call_t));
		start_node(mesh, i);
	}
	return mesh;
}

static void
mesh_free(mesh_t *mesh)
{
	frame_t *frame;
	uint32_t i;

	for (i = 0; i < RING; i++) {
		while ((frame = mesh->ring[i]) != NULL) {
			mesh->ring[i] = frame->next;
			g_free(frame);
		}
	}
	for (i = 0; i < mesh->node_count; i++) {
		level_down(&mesh->nodes[i].zone_level);
		level_down(&mesh->nodes[i].root_level);
		bf_caps_member_free(&mesh->nodes[i].member);
		g_array_free(mesh->nodes[i].waiting, TRUE);
	}
	for (i = 0; i < ACCOUNTS; i++)
		g_array_free(mesh->admitted[i], TRUE);
	g_rand_free(mesh->random);
	g_free(mesh->nodes);
	g_free(mesh);
}

static bf_time_us_t
delay_us(mesh_t *mesh, uint32_t from, uint32_t to)
{
	if (from == to)
		return TICK_US;
	if (mesh->nodes[from].zone == mesh->nodes[to].zone)
		return TICK_US * g_rand_int_range(mesh->random, 1, 3);
	return TICK_US * g_rand_int_range(mesh->random, 3, 7);
}

static void
put_frame(mesh_t *mesh, frame_t *frame, bf_time_us_t after_us)
{
	frame_t **at = &mesh->ring[(mesh->now_us + after_us) / TICK_US % RING];

	/* Behind the frames of the same time, as on a connection. */
	while (*at != NULL)
		at = &(*at)->next;
	frame->next = NULL;
	*at = frame;
}

static void
send_frame(mesh_t *mesh, uint32_t from, uint32_t to, bool above, bool is_grant,
    const void *payload, size_t bytes)
{
	frame_t *frame;

	mesh->frames++;
	if (mesh->loss_ppm > 0 && from != to &&
	    (uint32_t)g_rand_int_range(mesh->random, 0, 1000000) <
		mesh->loss_ppm)
		return;
	frame = g_malloc(sizeof(*frame) + bytes);
	*frame = (frame_t){ .from = from,
		.to = to,
		.above = above,
		.is_grant = is_grant,
		.sent_us = mesh->now_us,
		.bytes = bytes };
	memcpy(frame->payload, payload, bytes);
	put_frame(mesh, frame, delay_us(mesh, from, to));
}

static void
send_report(mesh_t *mesh, uint32_t from, uint32_t to, bool above,
    const bf_caps_report_t *report)
{
	send_frame(mesh, from, to, above, false, report,
	    offsetof(bf_caps_report_t, items) +
		report->item_count * sizeof(report->items[0]));
}

static void
send_grant(mesh_t *mesh, uint32_t from, uint32_t to, bool above, bool is_poll)
{
	static bf_caps_grant_t grant;
	level_t *level = above ? &mesh->nodes[from].root_level
			       : &mesh->nodes[from].zone_level;

	bf_caps_member_grant(
	    &level->member, to + 1, &grant, clock_of(mesh, from));
	grant.is_poll = is_poll;
	if (is_poll || grant.item_count > 0)
		send_frame(mesh, from, to, above, true, &grant,
		    offsetof(bf_caps_grant_t, items) +
			grant.item_count * sizeof(grant.items[0]));
}

static void
end_call(mesh_t *mesh, uint32_t account, bool admitted)
{
	if (admitted)
		g_array_append_val(mesh->admitted[account], mesh->now_us);
	else if (mesh->now_us >= mesh->count_from_us)
		mesh->refused[account]++;
}

/* Ends the calls that got an answer, or have waited for long. */
static void
check_waiting(mesh_t *mesh, uint32_t index)
{
	node_t *node = &mesh->nodes[index];
	bf_caps_answer_t answer;
	call_t *call;
	uint32_t i;

	for (i = 0; i < node->waiting->len;) {
		call = &g_array_index(node->waiting, call_t, i);
		answer = bf_caps_member_next_answer(
		    &node->member, call->account + 1, clock_of(mesh, index));
		if (answer == BF_CAPS_ANSWER_NONE &&
		    mesh->now_us < call->until_us) {
			i++;
			continue;
		}
		if (answer == BF_CAPS_ANSWER_NONE)
			bf_caps_member_wait(
			    &node->member, call->account + 1, -1);
		end_call(mesh, call->account, answer == BF_CAPS_ANSWER_TOKEN);
		g_array_remove_index(node->waiting, i);
	}
	bf_caps_member_drop_answers(&node->member);
}

/* Whether a node takes another one for a live one of its side. */
static bool
is_seen(const mesh_t *mesh, uint32_t other, uint32_t by)
{
	const node_t *node = &mesh->nodes[other];

	return node->noticed_side == mesh->nodes[by].noticed_side &&
	    (mesh->now_us >= node->paused_until_us ||
		mesh->now_us - node->paused_from_us < NOTICE_US);
}

static uint32_t
find_root(const mesh_t *mesh, uint32_t of)
{
	uint32_t i;

	for (i = 0; i < mesh->node_count; i++) {
		if (is_seen(mesh, i, of))
			return i;
	}
	return of;
}

/* Passes the tokens of the root on to the nodes that wait for them. */
static void
pass_on(mesh_t *mesh, uint32_t index)
{
	level_t *level = &mesh->nodes[index].zone_level;
	uint32_t i;

	for (i = 0; i < mesh->node_count; i++) {
		if (mesh->nodes[i].zone == mesh->nodes[index].zone &&
		    bf_caps_member_lender_waits(&level->member, i + 1))
			send_grant(mesh, index, i, false, false);
	}
	bf_caps_member_drop_answers(&level->member);
}

static void
receive_grant(mesh_t *mesh, const frame_t *frame)
{
	static bf_caps_grant_t grant;
	static bf_caps_report_t report;
	node_t *node = &mesh->nodes[frame->to];
	bf_caps_member_t *member =
	    frame->above ? &node->zone_level.member : &node->member;
	uint64_t holder =
	    frame->from + 1 + (mesh->nodes[frame->from].incarnation << 32);
	bf_time_us_t now_us = clock_of(mesh, frame->to);

	if (frame->above && !node->zone_level.is_up)
		return;
	memcpy(&grant, frame->payload, frame->bytes);
	bf_caps_member_receive(
	    member, holder, &grant, mesh->now_us - frame->sent_us, now_us);
	if (frame->above)
		pass_on(mesh, frame->to);
	else
		check_waiting(mesh, frame->to);
	if (!grant.is_poll)
		return;
	if (!frame->above)
		bf_caps_pool_lend(&member->pool, 0,
		    mesh->now_us >= node->share_from_us
			? node_share(mesh, frame->to)
			: 0,
		    now_us + 3600 * BF_US_PER_S, now_us);
	bf_caps_member_answer(member, holder, grant.stamp_us, &report, now_us);
	send_report(mesh, frame->to, frame->from, frame->above, &report);
}

static void
receive_report(mesh_t *mesh, const frame_t *frame)
{
	static bf_caps_report_t report;
	node_t *node = &mesh->nodes[frame->to];
	level_t *level = frame->above ? &node->root_level : &node->zone_level;

	if (!level->is_up)
		return;
	memcpy(&report, frame->payload, frame->bytes);
	if (bf_caps_member_receive_report(&level->member, frame->from + 1,
		&report, clock_of(mesh, frame->to)))
		send_grant(mesh, frame->to, frame->from, frame->above, false);
}

static void
deliver(mesh_t *mesh)
{
	frame_t **at = &mesh->ring[mesh->now_us / TICK_US % RING], *frame;
	node_t *to;

	while ((frame = *at) != NULL) {
		*at = frame->next;
		to = &mesh->nodes[frame->to];
		if (to->side != mesh->nodes[frame->from].side) {
			g_free(frame);
			continue;
		}
		if (to->paused_until_us > mesh->now_us) {
			/* It stays in the socket; looked at again later. */
			put_frame(mesh, frame, 100 * TICK_US);
			continue;
		}
		if (frame->is_grant)
			receive_grant(mesh, frame);
		else
			receive_report(mesh, frame);
		g_free(frame);
	}
}

static bool
is_first_of_zone(const mesh_t *mesh, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < index; i++) {
		if (mesh->nodes[i].zone == mesh->nodes[index].zone &&
		    is_seen(mesh, i, index))
			return false;
	}
	return true;
}

/* Takes up or gives up the parts of coordinator and root. */
static void
choose_parts(mesh_t *mesh, uint32_t index)
{
	node_t *node = &mesh->nodes[index];

	if (node->side != node->noticed_side &&
	    mesh->now_us - node->noticed_us >= NOTICE_US)
		node->noticed_side = node->side;
	if (is_first_of_zone(mesh, index))
		level_up(mesh, &node->zone_level);
	else
		level_down(&node->zone_level);
	if (find_root(mesh, index) == index)
		level_up(mesh, &node->root_level);
	else
		level_down(&node->root_level);
}

static void
poll_all(mesh_t *mesh, uint32_t index, bool above)
{
	node_t *node = &mesh->nodes[index], *other;
	uint32_t i, count = 0;

	for (i = 0; i < mesh->node_count; i++) {
		other = &mesh->nodes[i];
		if (other->noticed_side != node->noticed_side ||
		    (above ? !other->zone_level.is_up
			   : other->zone != node->zone))
			continue;
		count++;
		send_grant(mesh, index, i, above, true);
	}
	*(above ? &node->root_level.poll_us : &node->zone_level.poll_us) =
	    mesh->now_us + bf_caps_poll_interval_us(count);
}

static void
request_urgently(mesh_t *mesh, uint32_t index)
{
	static bf_caps_report_t report;
	node_t *node = &mesh->nodes[index];
	bf_time_us_t now_us = clock_of(mesh, index);

	if (node->waiting->len > 0 &&
	    bf_caps_member_request(&node->member, &report, now_us))
		send_report(mesh, index, (uint32_t)node->member.holder - 1,
		    false, &report);
	if (node->zone_level.is_up &&
	    bf_caps_member_request(&node->zone_level.member, &report, now_us))
		send_report(mesh, index,
		    (uint32_t)node->zone_level.member.holder - 1, true,
		    &report);
}

static void
enter_call(mesh_t *mesh, uint32_t account)
{
	call_t call = { .account = account };
	node_t *node;
	uint32_t index;

	if (mesh->now_us >= mesh->count_from_us)
		mesh->calls[account]++;
	if (mesh->ideal[account] >= 1)
		mesh->ideal[account] -= 1;
	else if (mesh->now_us >= mesh->count_from_us)
		mesh->ideal_refused[account]++;
	do {
		index = (uint32_t)g_rand_int_range(
		    mesh->random, 0, (int32_t)mesh->node_count);
	} while (mesh->entry_zone[account] >= 0 &&
	    mesh->nodes[index].zone != (uint32_t)mesh->entry_zone[account]);
	if (mesh->entry_node[account] >= 0)
		index = (uint32_t)mesh->entry_node[account];
	node = &mesh->nodes[index];
	if (node->paused_until_us > mesh->now_us)
		return; /* a node that is paused admits none */
	if (bf_caps_member_take(
		&node->member, account + 1, clock_of(mesh, index))) {
		end_call(mesh, account, true);
	} else if (bf_caps_member_is_lent(
		       &node->member, clock_of(mesh, index))) {
		call.until_us = mesh->now_us + BF_CAPS_WAIT_US;
		bf_caps_member_wait(&node->member, account + 1, 1);
		g_array_append_val(node->waiting, call);
	} else {
		end_call(mesh, account, false);
	}
}

static void
enter_calls(mesh_t *mesh)
{
	double p, product;
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++) {
		mesh->ideal[i] = MIN(mesh->limits[i].burst,
		    mesh->ideal[i] + mesh->limits[i].rate_per_s * 1e-3);
		/* Poisson arrivals, by sums of exponential gaps. */
		p = exp(-mesh->demand[i] * 1e-3);
		product = g_rand_double(mesh->random);
		while (product > p) {
			product *= g_rand_double(mesh->random);
			enter_call(mesh, i);
		}
	}
}

static void
run(mesh_t *mesh, bf_time_us_t for_us)
{
	bf_time_us_t end_us = mesh->now_us + for_us;
	node_t *node;
	uint32_t i;

	for (; mesh->now_us < end_us; mesh->now_us += TICK_US) {
		deliver(mesh);
		for (i = 0; i < mesh->node_count; i++) {
			node = &mesh->nodes[i];
			if (node->paused_until_us > mesh->now_us)
				continue;
			if (mesh->now_us / TICK_US % 100 == 0) {
				choose_parts(mesh, i);
				bf_caps_pool_lend(&node->member.pool, 0,
				    mesh->now_us >= node->share_from_us
					? node_share(mesh, i)
					: 0,
				    clock_of(mesh, i) + 3600 * BF_US_PER_S,
				    clock_of(mesh, i));
			}
			if (node->zone_level.is_up &&
			    mesh->now_us >= node->zone_level.poll_us)
				poll_all(mesh, i, false);
			if (node->root_level.is_up &&
			    mesh->now_us >= node->root_level.poll_us)
				poll_all(mesh, i, true);
			if (node->waiting->len > 0)
				check_waiting(mesh, i);
			request_urgently(mesh, i);
		}
		enter_calls(mesh);
	}
}

static void
set_side(mesh_t *mesh, uint32_t index, uint32_t side)
{
	mesh->nodes[index].side = side;
	mesh->nodes[index].noticed_us = mesh->now_us;
}

/*
 * Checks the bound of every account in every 5 s from then on, with the limits
 * of now.
 */
static void
check_bound(const mesh_t *mesh, bf_time_us_t from_us)
{
	const bf_time_us_t *times;
	double bound, most_over = -1e9;
	uint32_t i, most, j, first;

	for (i = 0; i < ACCOUNTS; i++) {
		times =
		    (const bf_time_us_t *)(const void *)mesh->admitted[i]->data;
		bound =
		    (mesh->limits[i].rate_per_s * 5 + mesh->limits[i].burst) *
			OVER +
		    SLACK;
		for (most = 0, first = 0, j = 0; j < mesh->admitted[i]->len;
		     j++) {
			if (times[j] < from_us) {
				first = j + 1;
				continue;
			}
			while (times[j] - times[first] >= WINDOW_US)
				first++;
			most = MAX(most, j - first + 1);
		}
		most_over = MAX(most_over, most - bound);
		if (most > bound)
			g_test_message("account %u: %u in 5 s, bound %.1f", i,
			    most, bound);
		g_assert_cmpfloat(most, <=, bound);
	}
	g_test_message("closest to the bound: %.1f calls", most_over);
}

/* Refusals that a bucket at one place would not have made, of all calls. */
static void
check_losses(const mesh_t *mesh, bool only_below)
{
	uint64_t calls = 0, lost = 0, refused = 0;
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++) {
		if (only_below && mesh->demand[i] > mesh->limits[i].rate_per_s)
			continue;
		calls += mesh->calls[i];
		refused += mesh->refused[i];
		lost += mesh->refused[i] > mesh->ideal_refused[i]
		    ? mesh->refused[i] - mesh->ideal_refused[i]
		    : 0;
	}
	g_test_message("%" G_GUINT64_FORMAT
		       " calls below the cap, %" G_GUINT64_FORMAT
		       " refused, %" G_GUINT64_FORMAT
		       " of them without need, %" G_GUINT64_FORMAT " frames",
	    calls, refused, lost, mesh->frames);
	g_assert_cmpuint(calls, >, 1000);
	g_assert_cmpuint(lost * LOSS_DIVISOR, <, calls);
}

static const struct {
	uint32_t nodes, zones;
	double rate_max;
	uint32_t seconds;
} sizes[] = { { 12, 3, 300, 30 }, { 72, 4, 600, 30 }, { 1300, 8, 3000, 12 } };

static void
steady(gconstpointer ctx)
{
	size_t i = GPOINTER_TO_SIZE(ctx);
	mesh_t *mesh =
	    mesh_new(sizes[i].nodes, sizes[i].zones, sizes[i].rate_max);

	run(mesh, sizes[i].seconds * BF_US_PER_S);
	check_bound(mesh, 0);
	check_losses(mesh, false);
	mesh_free(mesh);
}

/* One account at seven times its usual use is held to its cap, and gets it. */
static void
flood(gconstpointer ctx)
{
	size_t i = GPOINTER_TO_SIZE(ctx);
	mesh_t *mesh =
	    mesh_new(sizes[i].nodes, sizes[i].zones, sizes[i].rate_max);
	guint before;

	mesh->demand[3] *= 7;
	run(mesh, 5 * BF_US_PER_S);
	before = mesh->admitted[3]->len;
	run(mesh, 6 * BF_US_PER_S);
	g_test_message("%u of %.0f", mesh->admitted[3]->len - before,
	    6 * mesh->limits[3].rate_per_s);
	g_assert_cmpfloat(mesh->admitted[3]->len - before, >=,
	    0.85 * 6 * mesh->limits[3].rate_per_s);
	check_bound(mesh, 0);
	check_losses(mesh, true);
	mesh_free(mesh);
}

/*
 * Callers that all move to one node get the whole cap there after 1 s, and no
 * more refusals than at one place while below it.
 */
static void
one_node(void)
{
	mesh_t *mesh = mesh_new(72, 4, 600);
	guint before;

	run(mesh, 6 * BF_US_PER_S);
	mesh->entry_node[0] = 37;
	mesh->entry_node[20] = 38;
	run(mesh, 6 * BF_US_PER_S);
	check_losses(mesh, false);
	mesh->demand[0] = 7 * mesh->limits[0].rate_per_s / 1.6;
	mesh->demand[20] = 7 * mesh->limits[20].rate_per_s / 1.6;
	mesh->entry_node[0] = 11;
	mesh->entry_node[20] = 12;
	run(mesh, BF_US_PER_S);
	before = mesh->admitted[0]->len;
	run(mesh, 5 * BF_US_PER_S);
	g_assert_cmpfloat(mesh->admitted[0]->len - before, >=,
	    0.9 * 5 * mesh->limits[0].rate_per_s);
	check_bound(mesh, 0);
	mesh_free(mesh);
}

/*
 * A node that has just started has no share yet, but gets tokens: its callers
 * are below the cap.
 */
static void
restarted_node(void)
{
	mesh_t *mesh = mesh_new(72, 4, 600);
	guint before;

	mesh->entry_node[5] = 37;
	run(mesh, 6 * BF_US_PER_S);
	restart_node(mesh, 37);
	run(mesh, 300 * BF_US_PER_MS);
	before = mesh->admitted[5]->len;
	mesh->count_from_us = mesh->now_us;
	memset(mesh->calls, 0, sizeof(mesh->calls));
	memset(mesh->refused, 0, sizeof(mesh->refused));
	run(mesh, BF_US_PER_S);
	g_test_message("%u of %" G_GUINT64_FORMAT,
	    mesh->admitted[5]->len - before, mesh->calls[5]);
	g_assert_cmpuint(mesh->refused[5], ==, 0);
	g_assert_cmpfloat(
	    mesh->admitted[5]->len - before, >=, 0.9 * (double)mesh->calls[5]);
	check_bound(mesh, 0);
	mesh_free(mesh);
}

static void
moving_callers(void)
{
	mesh_t *mesh = mesh_new(72, 4, 600);
	uint32_t i, j;

	for (i = 0; i < 12; i++) {
		for (j = 0; j < ACCOUNTS; j += 2)
			mesh->entry_zone[j] = (int32_t)((i + j) % 4);
		run(mesh, 2 * BF_US_PER_S);
	}
	check_bound(mesh, 0);
	check_losses(mesh, false);
	mesh_free(mesh);
}

/* The part of a divided mesh that a node is in. */
static uint32_t
side_of(const mesh_t *mesh, const char *kind, uint32_t index)
{
	if (strcmp(kind, "zone") == 0)
		return mesh->nodes[index].zone == 0 ? 1 : 0;
	if (strcmp(kind, "all") == 0)
		return index + 1;
	if (strcmp(kind, "nodes") == 0)
		return index % 18 == 0 ? index + 1 : 0;
	return index % 8 < 4 ? 1 : 0;
}

static void
set_demand(mesh_t *mesh, double part_of_cap)
{
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++)
		mesh->demand[i] = part_of_cap * mesh->limits[i].rate_per_s;
}

/*
 * All accounts begin to use far more than their cap, with all of the burst and
 * much stock unused, shortly before the mesh is divided: each part must not
 * use what the others have used or still have.
 */
static void
divided(gconstpointer ctx)
{
	const char *kind = ctx;
	mesh_t *mesh = mesh_new(72, 4, 600);
	uint32_t i, round;

	run(mesh, 4 * BF_US_PER_S);
	for (round = 0; round < 4; round++) {
		set_demand(mesh, 0.3);
		run(mesh, 3 * BF_US_PER_S);
		set_demand(mesh, 6);
		run(mesh, (bf_time_us_t)round * 300 * BF_US_PER_MS);
		for (i = 0; i < mesh->node_count; i++)
			set_side(mesh, i, side_of(mesh, kind, i));
		/* Long, and so short that shares are lent at its end. */
		run(mesh, round < 2 ? 6 * BF_US_PER_S : 700 * BF_US_PER_MS);
		for (i = 0; i < mesh->node_count; i++)
			set_side(mesh, i, 0);
		run(mesh, 3 * BF_US_PER_S);
	}
	check_bound(mesh, 0);
	mesh_free(mesh);
}

static void
losses(void)
{
	mesh_t *mesh = mesh_new(72, 4, 600);
	uint32_t i;

	mesh->loss_ppm = 50000;
	for (i = 0; i < ACCOUNTS; i += 2)
		mesh->demand[i] = 3 * mesh->limits[i].rate_per_s;
	run(mesh, 20 * BF_US_PER_S);
	check_bound(mesh, 0);
	mesh_free(mesh);
}

static void
restart_of_all(void)
{
	mesh_t *mesh = mesh_new(72, 4, 600);
	uint32_t i, round;

	for (i = 0; i < ACCOUNTS; i++)
		mesh->demand[i] = 4 * mesh->limits[i].rate_per_s;
	for (round = 0; round < 4; round++) {
		run(mesh, 4 * BF_US_PER_S);
		for (i = 0; i < mesh->node_count; i++)
			restart_node(mesh, i);
	}
	run(mesh, 4 * BF_US_PER_S);
	check_bound(mesh, 0);
	mesh_free(mesh);
}

/* One window after the cap is lower everywhere, the lower one holds. */
static void
lower_cap(void)
{
	mesh_t *mesh = mesh_new(72, 4, 600);
	bf_time_us_t changed_us;
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++)
		mesh->demand[i] = 2 * mesh->limits[i].rate_per_s;
	run(mesh, 8 * BF_US_PER_S);
	for (i = 0; i < ACCOUNTS; i++) {
		mesh->limits[i].rate_per_s /= 4;
		mesh->limits[i].burst /= 4;
	}
	changed_us = mesh->now_us;
	run(mesh, 15 * BF_US_PER_S);
	check_bound(mesh, changed_us + WINDOW_US);
	mesh_free(mesh);
}

static void
pause_node(mesh_t *mesh, uint32_t index)
{
	mesh->nodes[index].paused_from_us = mesh->now_us;
	mesh->nodes[index].paused_until_us = mesh->now_us + 3 * BF_US_PER_S;
}

/*
 * A coordinator that wakes after 3 s finds what it had lent on to others: it
 * must not go on with the shares and tokens of before.
 */
static void
paused_coordinator(void)
{
	mesh_t *mesh = mesh_new(72, 4, 600);
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++)
		mesh->demand[i] = 4 * mesh->limits[i].rate_per_s;
	run(mesh, 6 * BF_US_PER_S);
	/* Node 0 is the root too, node 1 the coordinator of another zone. */
	pause_node(mesh, 1);
	run(mesh, 8 * BF_US_PER_S);
	pause_node(mesh, 0);
	run(mesh, 8 * BF_US_PER_S);
	check_bound(mesh, 0);
	mesh_free(mesh);
}

/* ---- single rules ---- */

#define T0 (50 * BF_US_PER_S)

static bool
rule_limit(void *ctx, uint64_t account, bf_caps_limit_t *limit)
{
	(void)account;
	*limit = *(const bf_caps_limit_t *)ctx;
	return true;
}

/* A node whose share is lent has no tokens of its own, then or just after. */
static void
lent_share_creates_nothing(void)
{
	bf_caps_limit_t limit = { .rate_per_s = 100, .burst = 50 };
	static bf_caps_report_t report;
	bf_caps_member_t node;

	g_assert_true(bf_caps_member_init(
	    &node, BF_CAPS_NODE_STOCK_US, rule_limit, &limit));
	g_assert_nonnull(bf_caps_pool_account(&node.pool, 7));
	bf_caps_pool_lend(
	    &node.pool, 0, BF_CAPS_SHARE_WHOLE / 2, T0 + 100 * BF_US_PER_S, T0);
	g_assert_false(bf_caps_member_take(&node, 7, T0));
	g_assert_true(bf_caps_member_take(&node, 7, T0 + BF_US_PER_S / 2));
	bf_caps_member_answer(&node, 1, 0, &report, T0 + BF_US_PER_S / 2);
	g_assert_cmpuint(report.share, ==, BF_CAPS_SHARE_WHOLE / 2);
	g_assert_cmpint(report.lease_us, ==, BF_CAPS_LEASE_US);
	g_assert_false(bf_caps_member_take(&node, 7, T0 + BF_US_PER_S));
	/* At the end of the lease it begins with none. */
	g_assert_false(bf_caps_member_take(
	    &node, 7, T0 + 3 * BF_US_PER_S / 2 + BF_US_PER_MS));
	g_assert_true(bf_caps_member_take(
	    &node, 7, T0 + 3 * BF_US_PER_S / 2 + 25 * BF_US_PER_MS));
	bf_caps_member_free(&node);
}

/* While one holder has the share, another one that polls gets none. */
static void
second_holder_gets_nothing(void)
{
	bf_caps_limit_t limit = { .rate_per_s = 100, .burst = 50 };
	static bf_caps_report_t report;
	bf_caps_member_t node;

	g_assert_true(bf_caps_member_init(
	    &node, BF_CAPS_NODE_STOCK_US, rule_limit, &limit));
	g_assert_nonnull(bf_caps_pool_account(&node.pool, 7));
	bf_caps_pool_lend(&node.pool, 0, 1000, T0 + 100 * BF_US_PER_S, T0);
	bf_caps_member_answer(&node, 1, 0, &report, T0);
	g_assert_cmpuint(report.share, ==, 1000);
	bf_caps_member_answer(&node, 2, 0, &report, T0 + BF_US_PER_S - 1);
	g_assert_cmpuint(report.share, ==, 0);
	bf_caps_member_answer(&node, 2, 0, &report, T0 + BF_US_PER_S);
	g_assert_cmpuint(report.share, ==, 1000);
	bf_caps_member_free(&node);
}

/*
 * A holder uses a share until the time of its poll and the lease, whenever the
 * answer is read: it may have been paused meanwhile.
 */
static void
lease_counts_from_poll(void)
{
	bf_caps_limit_t limit = { .rate_per_s = 100, .burst = 500 };
	static bf_caps_report_t report;
	bf_caps_account_t *account;
	bf_caps_member_t root;

	g_assert_true(bf_caps_member_init(
	    &root, BF_CAPS_ZONE_STOCK_US, rule_limit, &limit));
	g_assert_nonnull(bf_caps_pool_account(&root.pool, 7));
	report = (bf_caps_report_t){ .answers_poll = true,
		.stamp_us = 5,
		.poll_stamp_us = T0,
		.share = BF_CAPS_SHARE_WHOLE,
		.lease_us = BF_US_PER_S };
	bf_caps_member_receive_report(
	    &root, 9, &report, T0 + 900 * BF_US_PER_MS);
	account = bf_caps_pool_account(&root.pool, 7);
	g_assert_cmpfloat(
	    bf_caps_pool_tokens(&root.pool, account, T0 + 999 * BF_US_PER_MS),
	    <=, 10);
	/* 0.1 s of it, and none of that is left without a share. */
	g_assert_cmpfloat(
	    bf_caps_pool_tokens(&root.pool, account, T0 + 5 * BF_US_PER_S), ==,
	    0);
	bf_caps_member_receive_report(&root, 9, &report, T0 + 5 * BF_US_PER_S);
	g_assert_cmpfloat(
	    bf_caps_pool_tokens(&root.pool, account, T0 + 6 * BF_US_PER_S), ==,
	    0);
	bf_caps_member_free(&root);
}

/*
 * Stock that was granted counts against the burst until it is used, given back
 * or over; it ends at the member before.
 */
static void
stock_counts_and_ends(void)
{
	bf_caps_limit_t limit = { .rate_per_s = 100, .burst = 10 };
	static bf_caps_report_t report;
	static bf_caps_grant_t grant;
	bf_caps_account_t *account;
	bf_caps_member_t root, node;
	bf_time_us_t now_us = T0 + BF_US_PER_S;

	g_assert_true(bf_caps_member_init(
	    &root, BF_CAPS_ZONE_STOCK_US, rule_limit, &limit));
	g_assert_nonnull(bf_caps_pool_account(&root.pool, 7));
	g_assert_true(bf_caps_member_init(
	    &node, BF_CAPS_NODE_STOCK_US, rule_limit, &limit));
	g_assert_nonnull(bf_caps_pool_account(&node.pool, 7));
	bf_caps_pool_lend(
	    &root.pool, 3, BF_CAPS_SHARE_WHOLE, T0 + 100 * BF_US_PER_S, T0);
	report = (bf_caps_report_t){ .stamp_us = now_us, .item_count = 1 };
	report.items[0] = (bf_caps_item_t){ .account = 7, .wished = 9 };
	g_assert_false(
	    bf_caps_member_receive_report(&root, 3, &report, now_us));
	bf_caps_member_grant(&root, 3, &grant, now_us);
	g_assert_cmpuint(grant.item_count, ==, 1);
	/* Half of the burst stays, for calls that wait elsewhere. */
	g_assert_cmpuint(grant.items[0].stock, ==, 5);
	account = bf_caps_pool_account(&root.pool, 7);
	g_assert_cmpfloat(
	    bf_caps_pool_tokens(&root.pool, account, now_us + BF_US_PER_S), ==,
	    5);
	node.holder = 1;
	bf_caps_member_receive(&node, 1, &grant, 0, now_us);
	node.pool.lent_until_us = now_us + 2 * BF_US_PER_S;
	g_assert_true(
	    bf_caps_member_take(&node, 7, now_us + BF_CAPS_NODE_STOCK_US - 1));
	g_assert_false(
	    bf_caps_member_take(&node, 7, now_us + BF_CAPS_NODE_STOCK_US));
	/* A late frame brings nothing, nor one of another holder. */
	bf_caps_member_receive(
	    &node, 1, &grant, BF_CAPS_LATE_US + 1, now_us + 1);
	bf_caps_member_receive(&node, 2, &grant, 0, now_us + 1);
	g_assert_false(bf_caps_member_take(&node, 7, now_us + 2));
	/* What was given back is there again, once. */
	report.items[0] =
	    (bf_caps_item_t){ .account = 7, .used = 1, .returned = 8 };
	bf_caps_member_receive_report(&root, 3, &report, now_us + BF_US_PER_S);
	g_assert_cmpfloat(
	    bf_caps_pool_tokens(&root.pool, account, now_us + BF_US_PER_S), ==,
	    9);
	bf_caps_member_free(&node);
	bf_caps_member_free(&root);
}

/*
 * No window may have more than its cap and a part of what is tolerated, and an
 * account of a few calls a second may make several at once.
 */
static void
limit_of_window(void)
{
	const bf_caps_window_t window = { .window_us = 5 * BF_US_PER_S,
		.slack = 20 };
	const struct {
		double rate_per_s, burst;
	} caps[] = { { 82, 82 }, { 2.4, 2.4 }, { 10, 0 }, { 0.5, 40 } };
	bf_caps_limit_t limit;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(caps); i++) {
		limit = bf_caps_limit_of(
		    caps[i].rate_per_s, caps[i].burst, &window);
		g_assert_cmpfloat(limit.rate_per_s * 5 + limit.burst, <=,
		    caps[i].rate_per_s * 5 + caps[i].burst + 20 * 0.25 + 1e-9);
		g_assert_cmpfloat(limit.rate_per_s, >=, caps[i].rate_per_s);
		g_assert_cmpfloat(limit.burst, >=, 5);
	}
	limit = bf_caps_limit_of(10, 30, &(bf_caps_window_t){ 0 });
	g_assert_cmpfloat(limit.rate_per_s, ==, 10);
	g_assert_cmpfloat(limit.burst, ==, 30);
}

int
main(int argc, char **argv)
{
	char name[64];
	size_t i;
	int result;

	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		(void)snprintf(name, sizeof(name), "/usage_caps/steady/%u",
		    sizes[i].nodes);
		g_test_add_data_func(name, GSIZE_TO_POINTER(i), steady);
		(void)snprintf(
		    name, sizeof(name), "/usage_caps/flood/%u", sizes[i].nodes);
		g_test_add_data_func(name, GSIZE_TO_POINTER(i), flood);
	}
	g_test_add_func("/usage_caps/one_node", one_node);
	g_test_add_func("/usage_caps/restarted_node", restarted_node);
	g_test_add_func("/usage_caps/moving_callers", moving_callers);
	g_test_add_data_func("/usage_caps/divided/zone", "zone", divided);
	g_test_add_data_func("/usage_caps/divided/nodes", "nodes", divided);
	g_test_add_data_func("/usage_caps/divided/half", "half", divided);
	g_test_add_data_func("/usage_caps/divided/all", "all", divided);
	g_test_add_func("/usage_caps/losses", losses);
	g_test_add_func("/usage_caps/restart_of_all", restart_of_all);
	g_test_add_func("/usage_caps/lower_cap", lower_cap);
	g_test_add_func("/usage_caps/paused_coordinator", paused_coordinator);
	g_test_add_func("/usage_caps/rule/lent", lent_share_creates_nothing);
	g_test_add_func(
	    "/usage_caps/rule/second_holder", second_holder_gets_nothing);
	g_test_add_func("/usage_caps/rule/lease", lease_counts_from_poll);
	g_test_add_func("/usage_caps/limit", limit_of_window);
	g_test_add_func("/usage_caps/rule/stock", stock_counts_and_ends);
	result = g_test_run();
	apr_terminate();
	return result;
}
