#include <string.h>

#include "member/member_internal.h"
#include "member/record_codec.h"

/* Multiplies the timeouts while this node's own connection seems to fail. */
#define ISOLATED_FACTOR 4
#define DEATHS_PER_CHECK_MAX 64

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
	    member->replica, BF_MEMBER_REPLICA_KIND, instance, &value, now_us);
	member->last_change_us = now_us;
}

/*
 * Whether most neighbours are silent at once, in which case the own connection
 * has more likely failed than all of them.  Neighbours that are suspect already
 * are not counted.
 */
static bool
is_isolated(const bf_member_t *member, bf_time_us_t now_us)
{
	const bf_peer_t *peer;
	bf_record_t record;
	size_t responsive;
	size_t count;
	size_t i;

	responsive = 0;
	count = 0;
	for (i = 0; i < BF_PEERS_MAX; i++) {
		peer = &member->peers.slots[i];
		if (bf_member_find(member, peer->instance, &record) != BF_OK ||
		    record.state != BF_MEMBER_ALIVE)
			continue;
		count++;
		responsive += now_us - peer->last_received_us <=
		    member->options.suspect_after_us;
	}
	return responsive * 2 < count;
}

static void
check_suspicion(bf_member_t *member, const bf_peer_t *peer,
    bf_time_us_t silence_us, bf_time_us_t now_us)
{
	bf_time_us_t limit_us;
	bf_record_t record;

	if (bf_member_find(member, peer->instance, &record) != BF_OK ||
	    record.state != BF_MEMBER_ALIVE)
		return;
	limit_us = member->options.suspect_after_us;
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
 * Opens a new connection before the neighbour is suspected, since the old one
 * may have stopped working while a new one would work.
 */
static void
redial(bf_member_t *member, bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_member_output_t *output;

	if (now_us - peer->last_dial_us < member->options.suspect_after_us / 2)
		return;
	peer->last_dial_us = now_us;
	output = member->options.output;
	output->vtable->redial(output, peer->address);
	bf_member_send_hello(member, BF_MESSAGE_HELLO, peer->instance,
	    peer->address, HELLO_LINK, 0);
}

static void
check_peer(bf_member_t *member, bf_peer_t *peer, bf_time_us_t now_us)
{
	bf_time_us_t silence_us;

	silence_us = now_us - peer->last_received_us;
	if (!peer->is_dialled &&
	    !bf_overlay_dialled_by(&member->overlay, peer->instance)) {
		if (silence_us > member->options.suspect_after_us)
			bf_peers_remove(peer);
		return;
	}
	if (peer->is_dialled &&
	    silence_us > member->options.suspect_after_us / 2)
		redial(member, peer, now_us);
	if (silence_us > member->options.suspect_after_us)
		check_suspicion(member, peer, silence_us, now_us);
}

typedef struct death_list {
	bf_member_t *member;
	bf_time_us_t now_us;
	bf_time_us_t limit_us;
	char instances[DEATHS_PER_CHECK_MAX][BF_NAME_BYTES];
	size_t count;
} death_list_t;

/*
 * Lists the suspects to be declared dead.  The neighbours of a suspect declare
 * it dead first; every other node waits half as long again, and does so only if
 * it has not received a record with that state by then.
 */
static void
add_death(void *ctx, const char *key, const bf_replica_value_t *value,
    uint8_t tag, bf_time_us_t changed_us)
{
	death_list_t *list = ctx;
	bf_time_us_t limit_us;

	(void)value;
	if (tag != STATE_TAG(BF_MEMBER_SUSPECT) ||
	    list->count == DEATHS_PER_CHECK_MAX)
		return;
	limit_us = list->limit_us;
	if (bf_peers_find(&list->member->peers, key) == NULL)
		limit_us += limit_us / 2;
	if (changed_us < list->member->resumed_at_us)
		changed_us = list->member->resumed_at_us;
	if (list->now_us - changed_us <= limit_us)
		return;
	memcpy(list->instances[list->count++], key, strlen(key) + 1);
}

static void
declare_dead(bf_member_t *member, bf_time_us_t now_us)
{
	death_list_t list = { .member = member, .now_us = now_us };
	size_t i;

	if (member->state_counts[BF_MEMBER_SUSPECT] == 0)
		return;
	list.limit_us = member->options.dead_after_us;
	if (is_isolated(member, now_us))
		list.limit_us *= ISOLATED_FACTOR;
	bf_replica_each(
	    member->replica, BF_MEMBER_REPLICA_KIND, add_death, &list);
	for (i = 0; i < list.count; i++)
		set_state(member, list.instances[i], BF_MEMBER_DEAD, now_us);
	member->counts.deaths += list.count;
}

void
bf_member_check_peers(bf_member_t *member, bf_time_us_t now_us)
{
	size_t i;

	for (i = 0; i < BF_PEERS_MAX; i++) {
		if (member->peers.slots[i].instance[0] != '\0')
			check_peer(member, &member->peers.slots[i], now_us);
	}
	declare_dead(member, now_us);
}

/*
 * Called after a pause of this process.  Messages may have been missed, so all
 * timers of silence and suspicion restart.  The configuration in force may have
 * been replaced everywhere else, so it is not served until it is confirmed (see
 * bf_member_confirm_config).
 */
void
bf_member_handle_pause(bf_member_t *member, bf_time_us_t now_us)
{
	size_t i;

	member->counts.pauses++;
	member->config_unconfirmed = member->config_version > 0;
	member->resumed_at_us = now_us;
	member->next_pull_us = 0;
	member->next_heartbeat_us = now_us;
	for (i = 0; i < BF_PEERS_MAX; i++)
		member->peers.slots[i].last_received_us = now_us;
}
