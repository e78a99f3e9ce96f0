#include <string.h>

#include "member/member_internal.h"
#include "member/record_codec.h"

/* Waits this many times longer while the fault is likely the own one. */
#define ISOLATED_FACTOR 4
#define DEATHS_PER_ROUND 64

static void
set_state(bf_member_t *member, const char *instance, bf_member_state_t state,
    bf_time_us_t now_us)
{
	bf_replica_value_t value;
	bf_record_t record;

	if (bf_member_find(member, instance, &record) != BF_OK)
		return;
	record.state = state;
	bf_wire_writer_clear(&member->writer);
	bf_record_write(&member->writer, &record);
	value = (bf_replica_value_t){ member->writer.buffer.data,
		member->writer.buffer.size };
	bf_replica_set(
	    member->replica, BF_MEMBER_KIND, instance, &value, now_us);
	member->last_change_us = now_us;
}

/*
 * Most neighbours went silent together: rather the own connection is at fault
 * than all of them.  Those already under suspicion do not count again.
 */
static bool
is_isolated(const bf_member_t *member, bf_time_us_t now_us)
{
	const bf_peer_t *peer;
	bf_record_t record;
	size_t heard;
	size_t count;
	size_t i;

	heard = 0;
	count = 0;
	for (i = 0; i < BF_PEERS_MAX; i++) {
		peer = &member->peers.slots[i];
		if (bf_member_find(member, peer->instance, &record) != BF_OK ||
		    record.state != BF_MEMBER_ALIVE)
			continue;
		count++;
		heard += now_us - peer->last_received_us <=
		    member->options.suspect_us;
	}
	return heard * 2 < count;
}

static void
suspect(bf_member_t *member, const bf_peer_t *peer, bf_time_us_t silence_us,
    bf_time_us_t now_us)
{
	bf_time_us_t limit_us;
	bf_record_t record;

	if (bf_member_find(member, peer->instance, &record) != BF_OK ||
	    record.state != BF_MEMBER_ALIVE)
		return;
	limit_us = member->options.suspect_us;
	if (is_isolated(member, now_us)) {
		limit_us *= ISOLATED_FACTOR;
		member->counts.isolations++;
	}
	if (silence_us <= limit_us)
		return;
	member->counts.suspicions++;
	set_state(member, peer->instance, BF_MEMBER_SUSPECT, now_us);
}

/*
 * A connection may be silent for good while a new one would work: open a new
 * one before suspecting the neighbour.
 */
static void
redial(bf_member_t *member, bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_member_output_t *output;

	if (now_us - peer->last_dial_us < member->options.suspect_us / 2)
		return;
	peer->last_dial_us = now_us;
	output = member->options.output;
	output->vtable->redial(output, peer->address);
	bf_member_send_hello(member, BF_MESSAGE_HELLO, peer->instance,
	    peer->address, HELLO_LINK, 0);
}

static void
watch_peer(bf_member_t *member, bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_time_us_t silence_us;

	silence_us = now_us - peer->last_received_us;
	if (!peer->is_dialled &&
	    !bf_overlay_dialled_by(&member->overlay, peer->instance)) {
		if (silence_us > member->options.suspect_us)
			bf_peers_remove(peer);
		return;
	}
	if (peer->is_dialled && silence_us > member->options.suspect_us / 2)
		redial(member, peer, now_us);
	if (silence_us > member->options.suspect_us)
		suspect(member, peer, silence_us, now_us);
}

typedef struct death_list {
	bf_member_t *member;
	bf_time_us_t now_us;
	bf_time_us_t limit_us;
	char instances[DEATHS_PER_ROUND][BF_NAME_BYTES];
	size_t count;
} death_list_t;

/* Neighbours declare first; all others follow if nobody told them. */
static void
death_visit(void *ctx, const char *key, const bf_replica_value_t *value,
    uint8_t tag, bf_time_us_t changed_us)
{
	death_list_t *list = ctx;
	bf_time_us_t limit_us;

	(void)value;
	if (tag != TAG_OF(BF_MEMBER_SUSPECT) || list->count == DEATHS_PER_ROUND)
		return;
	limit_us = list->limit_us;
	if (bf_peers_find(&list->member->peers, key) == NULL)
		limit_us += limit_us / 2;
	if (changed_us < list->member->relearn_us)
		changed_us = list->member->relearn_us;
	if (list->now_us - changed_us <= limit_us)
		return;
	memcpy(list->instances[list->count++], key, strlen(key) + 1);
}

static void
declare_dead(bf_member_t *member, bf_time_us_t now_us)
{
	death_list_t list = { .member = member, .now_us = now_us };
	size_t i;

	if (member->by_state[BF_MEMBER_SUSPECT] == 0)
		return;
	list.limit_us = member->options.dead_us;
	if (is_isolated(member, now_us))
		list.limit_us *= ISOLATED_FACTOR;
	bf_replica_each(member->replica, BF_MEMBER_KIND, death_visit, &list);
	for (i = 0; i < list.count; i++)
		set_state(member, list.instances[i], BF_MEMBER_DEAD, now_us);
	member->counts.deaths += list.count;
}

void
bf_member_watch(bf_member_t *member, bf_time_us_t now_us)
{
	size_t i;

	for (i = 0; i < BF_PEERS_MAX; i++) {
		if (member->peers.slots[i].instance[0] != '\0')
			watch_peer(member, &member->peers.slots[i], now_us);
	}
	declare_dead(member, now_us);
}

/*
 * After a pause: what was not heard says nothing.  All clocks of silence and
 * suspicion start anew.  The configuration in force may have been replaced
 * everywhere else: it is given to nobody until somebody else is known to have
 * it, too.
 */
void
bf_member_wake(bf_member_t *member, bf_time_us_t now_us)
{
	size_t i;

	member->counts.wakes++;
	member->confirm_due = member->config_version > 0;
	member->relearn_us = now_us;
	member->pull_until_us = 0;
	member->next_heartbeat_us = now_us;
	for (i = 0; i < BF_PEERS_MAX; i++)
		member->peers.slots[i].last_received_us = now_us;
}
