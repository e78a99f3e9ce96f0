#include <stdlib.h>
#include <string.h>

#include "mesh/caps.h"
#include "mesh/internal.h"
#include "usage_caps/limit.h"

/* Interval at which the parts of coordinator and root are chosen again. */
#define CHOOSE_US (100 * BF_US_PER_MS)
/* Interval while calls wait: less than a tenth of the time that they may. */
#define WAITING_US (5 * BF_US_PER_MS)
/*
 * A node that has just started may not have all nodes of its zone in its list,
 * and others may not count it yet.  If the store still had the record of its
 * former process, it has those of the others, and they count it.
 */
#define SETTLING_US (1500 * BF_US_PER_MS)
/* The own share is valid until the next choice of parts, and some more. */
#define OWN_SHARE_US (10 * CHOOSE_US)
/* Far above the zones of any mesh. */
#define ZONES_MAX 64

/* A part that this node has for other nodes. */
typedef struct holder {
	bool is_up;
	bool above; /* the root; else the coordinator of the zone */
	bf_caps_member_t member;
	bf_time_us_t poll_at_us;
} holder_t;

struct bf_caps {
	bf_mesh_t *mesh;
	bf_metric_family_t *decisions;
	bf_metric_family_t *frames;
	bf_timer_t timer;
	bf_time_us_t choose_at_us;
	bf_caps_member_t node;
	holder_t zone, root;
	bf_caps_waiter_t *waiters;
	bf_time_us_t check_at_us;     /* of the calls that wait */
	uint64_t config_version;      /* whose accounts were added */
	size_t account_count;         /* that have a cap in it */
	bf_time_us_t settled_boot_us; /* 0: the nodes are not known yet */
};

/* The event loop has one thread, and these are too large for its stack. */
static bf_caps_grant_t grant;
static bf_caps_report_t report;

static bool
find_limit(void *ctx, uint64_t id, bf_caps_limit_t *limit)
{
	const bf_caps_t *caps = ctx;
	const bf_account_directory_t *directory;
	const bf_account_t *account = NULL;

	if (caps->mesh->routing == NULL)
		return false;
	directory = bf_routing_accounts(caps->mesh->routing);
	if (directory != NULL)
		account = bf_account_directory_find_id(directory, id);
	if (account == NULL || account->rate_per_s <= 0)
		return false;
	*limit = bf_caps_limit_of(account->rate_per_s, account->burst,
	    &(bf_caps_window_t){
		.window_us = caps->mesh->options.cap_window_ms * BF_US_PER_MS,
		.slack = caps->mesh->options.cap_slack });
	return true;
}

/*
 * Adds the accounts that have a cap, so that tokens are created for them.
 * Returns how many there are.
 */
static size_t
add_accounts(const bf_caps_t *caps, bf_caps_member_t *member)
{
	const bf_account_directory_t *directory =
	    bf_routing_accounts(caps->mesh->routing);
	const bf_account_t *account;
	size_t count = 0, i;

	for (i = 0;
	     directory != NULL && i < bf_account_directory_count(directory);
	     i++) {
		account = bf_account_directory_at(directory, i);
		if (account->rate_per_s > 0 &&
		    bf_caps_pool_account(&member->pool, account->id) != NULL)
			count++;
	}
	return count;
}

/* Follows the configuration in force. */
static void
update_accounts(bf_caps_t *caps)
{
	const bf_routing_t *routing = caps->mesh->routing;

	if (routing == NULL ||
	    bf_routing_version(routing) == caps->config_version)
		return;
	caps->config_version = bf_routing_version(routing);
	caps->account_count = add_accounts(caps, &caps->node);
	if (caps->zone.is_up)
		(void)add_accounts(caps, &caps->zone.member);
	if (caps->root.is_up)
		(void)add_accounts(caps, &caps->root.member);
}

/* ---- the own share ---- */

/*
 * Whether this node may use or lend its share of the caps: it has read all
 * nodes from the store, those that started with it have as well, and it knows
 * the present configuration.
 */
static bool
share_is_valid(bf_caps_t *caps, bf_time_us_t boot_us)
{
	if (caps->settled_boot_us == 0 && caps->mesh->listed_at_us != 0)
		caps->settled_boot_us =
		    boot_us + (caps->mesh->had_record ? 0 : SETTLING_US);
	return caps->settled_boot_us != 0 && boot_us >= caps->settled_boot_us &&
	    bf_mesh_knows_present_config(caps->mesh, boot_us);
}

/* Without a list of zones in the settings, those of the nodes count. */
static uint64_t
count_zones(const bf_mesh_t *mesh)
{
	const char *zones[ZONES_MAX];
	const bf_peer_t *peer;
	size_t count = 0, i;

	if (mesh->options.zone_count > 0)
		return mesh->options.zone_count;
	for (peer = mesh->peers; peer != NULL && count < ZONES_MAX;
	     peer = peer->next) {
		for (i = 0; i < count && strcmp(zones[i], peer->zone) != 0; i++)
			;
		if (i == count)
			zones[count++] = peer->zone;
	}
	return count;
}

static void
update_share(bf_caps_t *caps, bf_time_us_t boot_us)
{
	const bf_peer_t *peer;
	uint64_t nodes = 0, share = 0;

	for (peer = caps->mesh->peers; peer != NULL; peer = peer->next)
		nodes += peer->in_own_zone ? 1 : 0;
	if (nodes > 0 && share_is_valid(caps, boot_us))
		share = BF_CAPS_SHARE_WHOLE / (count_zones(caps->mesh) * nodes);
	(void)bf_caps_pool_lend(
	    &caps->node.pool, 0, share, boot_us + OWN_SHARE_US, boot_us);
}

/* ---- frames ---- */

static uint64_t
peer_id(const bf_peer_t *peer)
{
	return bf_hash_text(peer->instance, peer->incarnation) | 1;
}

static void
write_grant(bf_wire_writer_t *writer, bool above)
{
	const bf_caps_grant_item_t *item;
	size_t i;

	bf_wire_write_uint(
	    writer, (uint64_t)above | (uint64_t)grant.is_poll << 1);
	bf_wire_write_uint(writer, (uint64_t)grant.stamp_us);
	bf_wire_write_uint(writer, (uint64_t)grant.echo_us);
	bf_wire_write_uint(writer, grant.item_count);
	for (i = 0; i < grant.item_count; i++) {
		item = &grant.items[i];
		bf_wire_write_uint(writer, item->account);
		bf_wire_write_uint(writer, item->urgent);
		bf_wire_write_uint(writer, item->stock);
		bf_wire_write_uint(writer, item->denied);
		bf_wire_write_uint(writer, (uint64_t)item->wait_us);
	}
}

static bool
read_grant(bf_wire_reader_t *reader, bool *above)
{
	bf_caps_grant_item_t *item;
	uint64_t flags;
	size_t i;

	flags = bf_wire_read_uint(reader, UINT32_MAX);
	*above = (flags & 1) != 0;
	grant.is_poll = (flags & 2) != 0;
	grant.stamp_us = (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	grant.echo_us = (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	grant.item_count = bf_wire_read_uint(reader, BF_CAPS_ITEMS_MAX);
	for (i = 0; i < grant.item_count && reader->code == BF_OK; i++) {
		item = &grant.items[i];
		item->account = bf_wire_read_uint(reader, UINT64_MAX);
		item->urgent = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		item->stock = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		item->denied = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		item->wait_us =
		    (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	}
	return reader->code == BF_OK;
}

static void
write_report(bf_wire_writer_t *writer, bool above)
{
	const bf_caps_item_t *item;
	size_t i;

	bf_wire_write_uint(
	    writer, (uint64_t)above | (uint64_t)report.answers_poll << 1);
	bf_wire_write_uint(writer, (uint64_t)report.stamp_us);
	bf_wire_write_uint(writer, (uint64_t)report.poll_stamp_us);
	bf_wire_write_uint(writer, report.share);
	bf_wire_write_uint(writer, (uint64_t)report.lease_us);
	bf_wire_write_uint(writer, report.item_count);
	for (i = 0; i < report.item_count; i++) {
		item = &report.items[i];
		bf_wire_write_uint(writer, item->account);
		bf_wire_write_uint(writer, item->used);
		bf_wire_write_uint(writer, item->returned);
		bf_wire_write_uint(writer, item->needed);
		bf_wire_write_uint(writer, item->wished);
	}
}

static bool
read_report(bf_wire_reader_t *reader, bool *above)
{
	bf_caps_item_t *item;
	uint64_t flags;
	size_t i;

	flags = bf_wire_read_uint(reader, UINT32_MAX);
	*above = (flags & 1) != 0;
	report.answers_poll = (flags & 2) != 0;
	report.stamp_us = (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	report.poll_stamp_us =
	    (bf_time_us_t)bf_wire_read_uint(reader, INT64_MAX);
	report.share = bf_wire_read_uint(reader, BF_CAPS_SHARE_WHOLE);
	report.lease_us =
	    (bf_time_us_t)bf_wire_read_uint(reader, BF_CAPS_LEASE_US);
	report.item_count = bf_wire_read_uint(reader, BF_CAPS_ITEMS_MAX);
	for (i = 0; i < report.item_count && reader->code == BF_OK; i++) {
		item = &report.items[i];
		item->account = bf_wire_read_uint(reader, UINT64_MAX);
		item->used = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		item->returned =
		    (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		item->needed = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
		item->wished = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
	}
	return reader->code == BF_OK;
}

static void take_grant(bf_caps_t *caps, bf_peer_t *from, bool above,
    bf_time_us_t queueing_delay_us, bf_time_us_t now_us);
static void take_report(
    bf_caps_t *caps, bf_peer_t *from, bool above, bf_time_us_t now_us);

/*
 * Sends the report to the holder, by the connection that the holder dialled; to
 * this node itself without a frame.
 */
static void
send_report(bf_caps_t *caps, bf_peer_t *to, bool above, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = caps->mesh;

	if (to->self) {
		take_report(caps, to, above, now_us);
		return;
	}
	if (to->inbound == NULL)
		return;
	bf_metric_count(caps->frames, "report", 1);
	write_report(&mesh->writer, above);
	bf_mesh_link_send(&to->inbound->link, BF_FRAME_CAPS_REPORT, 0,
	    &mesh->writer, NULL, now_us);
}

/* Sends a member what it needs or wishes; nothing if it is not a poll. */
static void
send_grant(bf_caps_t *caps, holder_t *holder, bf_peer_t *to, bool is_poll,
    bf_time_us_t now_us)
{
	bf_mesh_t *mesh = caps->mesh;

	bf_caps_member_grant(
	    &holder->member, peer_id(to), &grant, bf_clock_boottime_us());
	grant.is_poll = is_poll;
	if (!is_poll && grant.item_count == 0)
		return;
	if (to->self) {
		take_grant(caps, to, holder->above, 0, now_us);
		return;
	}
	bf_metric_count(caps->frames, is_poll ? "poll" : "grant", 1);
	write_grant(&mesh->writer, holder->above);
	bf_mesh_link_send(
	    to->link, BF_FRAME_CAPS_GRANT, 0, &mesh->writer, NULL, now_us);
}

static bool
can_send_to(const bf_peer_t *peer)
{
	return peer->self || (peer->connected && peer->link != NULL);
}

static bf_peer_t *
find_peer(bf_caps_t *caps, uint64_t id)
{
	bf_peer_t *peer;

	for (peer = caps->mesh->peers; peer != NULL; peer = peer->next) {
		if (peer_id(peer) == id)
			return peer;
	}
	return NULL;
}

/* ---- calls ---- */

void
bf_caps_leave(bf_caps_t *caps, bf_caps_waiter_t *waiter)
{
	if (caps == NULL || waiter->previous == NULL)
		return;
	*waiter->previous = waiter->next;
	if (waiter->next != NULL)
		waiter->next->previous = waiter->previous;
	waiter->previous = NULL;
	if (waiter->answer == BF_CAPS_ANSWER_NONE)
		bf_caps_member_wait(&caps->node, waiter->account, -1);
}

static void
push_waiter(bf_caps_waiter_t **list, bf_caps_waiter_t *waiter)
{
	waiter->next = *list;
	if (waiter->next != NULL)
		waiter->next->previous = &waiter->next;
	waiter->previous = list;
	*list = waiter;
}

static void
decide(bf_caps_t *caps, bf_caps_waiter_t *waiter, bool admitted,
    const char *result, bf_time_us_t wait_us, bf_time_us_t now_us)
{
	bf_metric_count(caps->decisions, result, 1);
	waiter->decided(waiter, admitted, wait_us, now_us);
}

/* Moves the calls that have an answer to a list, the oldest first. */
static void
collect_answered(bf_caps_t *caps, bf_caps_waiter_t **answered,
    bf_time_us_t boot_us, bf_time_us_t now_us)
{
	bf_caps_waiter_t *waiter = caps->waiters, *newer;
	bf_caps_answer_t answer;
	bool is_first;

	while (waiter != NULL && waiter->next != NULL)
		waiter = waiter->next;
	for (; waiter != NULL; waiter = newer) {
		is_first = waiter->previous == &caps->waiters;
		newer = is_first
		    ? NULL
		    : BF_CONTAINER(waiter->previous, bf_caps_waiter_t, next);
		answer = bf_caps_member_next_answer(
		    &caps->node, waiter->account, boot_us);
		if (answer == BF_CAPS_ANSWER_NONE && now_us < waiter->until_us)
			continue;
		waiter->answer = answer;
		bf_caps_leave(caps, waiter);
		/* Without an answer in time, it is refused. */
		waiter->answer = answer == BF_CAPS_ANSWER_TOKEN
		    ? answer
		    : BF_CAPS_ANSWER_DENIED;
		push_waiter(answered, waiter);
	}
}

static void
check_waiters(bf_caps_t *caps, bf_time_us_t now_us)
{
	bf_caps_waiter_t *answered = NULL, *waiter;
	bf_caps_account_t *account;
	bool admitted;

	caps->check_at_us = INT64_MAX;
	collect_answered(caps, &answered, bf_clock_boottime_us(), now_us);
	bf_caps_member_drop_answers(&caps->node);
	/* A call that ends may end others, which leave the list. */
	while ((waiter = answered) != NULL) {
		admitted = waiter->answer == BF_CAPS_ANSWER_TOKEN;
		account =
		    bf_caps_pool_account(&caps->node.pool, waiter->account);
		bf_caps_leave(caps, waiter);
		decide(caps, waiter, admitted, admitted ? "waited" : "refused",
		    account != NULL ? account->denied_wait_us : 0, now_us);
	}
}

/* Asks the holders above for the tokens that calls wait for. */
static void
request_tokens(bf_caps_t *caps, bf_time_us_t now_us)
{
	bf_time_us_t boot_us = bf_clock_boottime_us();
	bf_peer_t *to;

	caps->node.sibling_count = caps->mesh->own_zone_count;
	if (caps->waiters != NULL &&
	    (to = find_peer(caps, caps->node.holder)) != NULL &&
	    bf_caps_member_request(&caps->node, &report, boot_us))
		send_report(caps, to, false, now_us);
	if (caps->zone.is_up &&
	    (to = find_peer(caps, caps->zone.member.holder)) != NULL &&
	    bf_caps_member_request(&caps->zone.member, &report, boot_us))
		send_report(caps, to, true, now_us);
}

static void
set_timer(bf_caps_t *caps, bf_time_us_t now_us)
{
	bf_time_us_t at_us = caps->choose_at_us;

	if (caps->waiters != NULL && now_us + WAITING_US < caps->check_at_us)
		caps->check_at_us = now_us + WAITING_US;
	if (caps->check_at_us < at_us)
		at_us = caps->check_at_us;
	if (caps->zone.is_up && caps->zone.poll_at_us < at_us)
		at_us = caps->zone.poll_at_us;
	if (caps->root.is_up && caps->root.poll_at_us < at_us)
		at_us = caps->root.poll_at_us;
	bf_loop_timer_set(caps->mesh->loop, &caps->timer, at_us);
}

/* Decides the calls that wait by the timer, as this may end any call. */
static void
check_soon(bf_caps_t *caps, bf_time_us_t now_us)
{
	if (caps->waiters == NULL) {
		bf_caps_member_drop_answers(&caps->node);
		return;
	}
	caps->check_at_us = now_us;
	set_timer(caps, now_us);
}

void
bf_caps_admit(bf_caps_t *caps, const bf_account_t *account,
    bf_caps_waiter_t *waiter, bf_time_us_t wait_max_us, bf_time_us_t now_us)
{
	bf_time_us_t boot_us;

	if (caps == NULL || account == NULL || account->rate_per_s <= 0) {
		waiter->decided(waiter, true, 0, now_us);
		return;
	}
	boot_us = bf_clock_boottime_us();
	update_accounts(caps);
	waiter->account = account->id;
	if (bf_caps_member_take(&caps->node, account->id, boot_us)) {
		decide(caps, waiter, true, "at-hand", 0, now_us);
		return;
	}
	if (!bf_caps_member_is_lent(&caps->node, boot_us) || wait_max_us <= 0) {
		decide(caps, waiter, false, "refused",
		    bf_caps_member_wait_us(&caps->node, account->id, boot_us),
		    now_us);
		return;
	}
	waiter->until_us = now_us +
	    (wait_max_us < BF_CAPS_WAIT_US ? wait_max_us : BF_CAPS_WAIT_US);
	waiter->answer = BF_CAPS_ANSWER_NONE;
	push_waiter(&caps->waiters, waiter);
	bf_caps_member_wait(&caps->node, account->id, 1);
	/* A call is decided by the timer, not while its request is read. */
	set_timer(caps, now_us);
	request_tokens(caps, now_us);
}

/* ---- parts ---- */

static void
holder_down(bf_caps_t *caps, holder_t *holder, bf_time_us_t now_us)
{
	if (!holder->is_up)
		return;
	bf_event(caps->mesh->events, BF_EVENT_CAPS, now_us, "s:s,s:s", "part",
	    holder->above ? "root" : "coordinator", "change", "ends");
	holder->is_up = false;
	bf_caps_member_free(&holder->member);
}

static void
holder_up(bf_caps_t *caps, holder_t *holder, bf_time_us_t now_us)
{
	if (holder->is_up ||
	    !bf_caps_member_init(
		&holder->member, BF_CAPS_ZONE_STOCK_US, find_limit, caps))
		return;
	bf_event(caps->mesh->events, BF_EVENT_CAPS, now_us, "s:s,s:s", "part",
	    holder->above ? "root" : "coordinator", "change", "begins");
	holder->is_up = true;
	holder->poll_at_us = now_us;
	(void)add_accounts(caps, &holder->member);
}

/*
 * Whether a node may be the coordinator of its zone.  Being a relay does not
 * count: that changes with access to the store, which a coordinator does not
 * need, and a new coordinator has no tokens at first.
 */
static bool
may_coordinate(const bf_peer_t *peer)
{
	return peer->self ? !peer->mesh->stopping : bf_roster_is_live(peer);
}

static bool
precedes(const bf_peer_t *a, const bf_peer_t *b)
{
	uint32_t a_mbps =
	    a->self ? a->mesh->options.link_mbps : a->state.link_mbps;
	uint32_t b_mbps =
	    b->self ? b->mesh->options.link_mbps : b->state.link_mbps;

	if (a_mbps != b_mbps)
		return a_mbps > b_mbps;
	return strcmp(a->instance, b->instance) < 0;
}

/* The coordinator of the peer's zone is the peer, as far as known here. */
static bool
is_coordinator(const bf_peer_t *peer)
{
	const bf_peer_t *other;

	if (!may_coordinate(peer))
		return false;
	for (other = peer->mesh->peers; other != NULL; other = other->next) {
		if (other != peer && strcmp(other->zone, peer->zone) == 0 &&
		    may_coordinate(other) && precedes(other, peer))
			return false;
	}
	return true;
}

static void
choose_parts(bf_caps_t *caps, bf_time_us_t now_us)
{
	const bf_peer_t *self = caps->mesh->self, *peer;
	bool is_root;

	if (caps->account_count == 0 || !is_coordinator(self)) {
		holder_down(caps, &caps->zone, now_us);
		holder_down(caps, &caps->root, now_us);
		return;
	}
	holder_up(caps, &caps->zone, now_us);
	is_root = true;
	for (peer = caps->mesh->peers; peer != NULL && is_root;
	     peer = peer->next)
		is_root = peer->self ||
		    strcmp(peer->instance, self->instance) > 0 ||
		    !is_coordinator(peer);
	if (is_root)
		holder_up(caps, &caps->root, now_us);
	else
		holder_down(caps, &caps->root, now_us);
}

static void
poll_members(bf_caps_t *caps, holder_t *holder, bf_time_us_t now_us)
{
	bf_peer_t *peer, *next;
	size_t count = 0;

	for (peer = caps->mesh->peers; peer != NULL; peer = next) {
		next = peer->next;
		if (holder->above ? !is_coordinator(peer) : !peer->in_own_zone)
			continue;
		count++;
		if (can_send_to(peer))
			send_grant(caps, holder, peer, true, now_us);
	}
	holder->poll_at_us = now_us + bf_caps_poll_interval_us(count);
}

static void
on_timer(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_caps_t *caps = BF_CONTAINER(timer, bf_caps_t, timer);

	if (now_us >= caps->choose_at_us) {
		caps->choose_at_us = now_us + CHOOSE_US;
		update_accounts(caps);
		update_share(caps, bf_clock_boottime_us());
		choose_parts(caps, now_us);
	}
	if (caps->zone.is_up && now_us >= caps->zone.poll_at_us)
		poll_members(caps, &caps->zone, now_us);
	if (caps->root.is_up && now_us >= caps->root.poll_at_us)
		poll_members(caps, &caps->root, now_us);
	check_waiters(caps, now_us);
	request_tokens(caps, now_us);
	set_timer(caps, now_us);
}

/* ---- received frames ---- */

/* Passes the tokens of the root on to the nodes that wait for them. */
static void
pass_on(bf_caps_t *caps, bf_time_us_t now_us)
{
	bf_peer_t *peer;

	for (peer = caps->mesh->peers; peer != NULL; peer = peer->next) {
		if (peer->in_own_zone && can_send_to(peer) &&
		    bf_caps_member_lender_waits(
			&caps->zone.member, peer_id(peer)))
			send_grant(caps, &caps->zone, peer, false, now_us);
	}
	bf_caps_member_drop_answers(&caps->zone.member);
}

/* Takes over grant. */
static void
take_grant(bf_caps_t *caps, bf_peer_t *from, bool above,
    bf_time_us_t queueing_delay_us, bf_time_us_t now_us)
{
	bf_caps_member_t *member = above ? &caps->zone.member : &caps->node;
	bf_time_us_t boot_us = bf_clock_boottime_us();
	/* The answers below write grant. */
	bf_time_us_t poll_stamp_us = grant.stamp_us;
	bool is_poll = grant.is_poll;

	if (above && !caps->zone.is_up)
		return;
	bf_caps_member_receive(
	    member, peer_id(from), &grant, queueing_delay_us, boot_us);
	if (above)
		pass_on(caps, now_us);
	if (!is_poll) {
		/* Calls are decided by the timer, as they may end this. */
		if (!above)
			check_soon(caps, now_us);
		return;
	}
	if (!above)
		update_share(caps, boot_us);
	bf_caps_member_answer(
	    member, peer_id(from), poll_stamp_us, &report, boot_us);
	send_report(caps, from, above, now_us);
	if (!above)
		check_soon(caps, now_us);
}

/* Takes over report. */
static void
take_report(bf_caps_t *caps, bf_peer_t *from, bool above, bf_time_us_t now_us)
{
	holder_t *holder = above ? &caps->root : &caps->zone;

	if (!holder->is_up)
		return;
	if (!bf_caps_member_receive_report(&holder->member, peer_id(from),
		&report, bf_clock_boottime_us()))
		return;
	if (can_send_to(from))
		send_grant(caps, holder, from, false, now_us);
	if (!above)
		request_tokens(caps, now_us);
}

void
bf_caps_receive_grant(bf_caps_t *caps, bf_peer_t *peer, const bf_frame_t *frame,
    bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	bool above;

	if (caps != NULL && peer != NULL && read_grant(reader, &above))
		take_grant(caps, peer, above, frame->queueing_delay_us, now_us);
}

void
bf_caps_receive_report(bf_caps_t *caps, bf_peer_t *peer,
    bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	bool above;

	if (caps != NULL && read_report(reader, &above))
		take_report(caps, peer, above, now_us);
}

/* ---- life ---- */

bf_caps_t *
bf_caps_new(bf_mesh_t *mesh, bf_metrics_set_t *metrics)
{
	bf_caps_t *caps;

	if (mesh->options.cap_window_ms == 0)
		return NULL;
	caps = calloc(1, sizeof(*caps));
	if (caps == NULL)
		return NULL;
	caps->mesh = mesh;
	caps->root.above = true;
	caps->timer.fire = on_timer;
	caps->check_at_us = INT64_MAX;
	if (!bf_caps_member_init(
		&caps->node, BF_CAPS_NODE_STOCK_US, find_limit, caps)) {
		free(caps);
		return NULL;
	}
	caps->decisions =
	    bf_metrics_add(metrics, BF_METRIC_COUNTER, "bf_caps_total",
		"Calls of accounts with a usage cap, by decision", "decision");
	caps->frames =
	    bf_metrics_add(metrics, BF_METRIC_COUNTER, "bf_caps_frames_total",
		"Frames sent to share usage caps, by kind", "kind");
	return caps;
}

void
bf_caps_start(bf_caps_t *caps, bf_time_us_t now_us)
{
	if (caps != NULL)
		bf_loop_timer_set(caps->mesh->loop, &caps->timer, now_us);
}

void
bf_caps_free(bf_caps_t *caps)
{
	if (caps == NULL)
		return;
	bf_loop_timer_cancel(caps->mesh->loop, &caps->timer);
	bf_caps_member_free(&caps->node);
	if (caps->zone.is_up)
		bf_caps_member_free(&caps->zone.member);
	if (caps->root.is_up)
		bf_caps_member_free(&caps->root.member);
	free(caps);
}
