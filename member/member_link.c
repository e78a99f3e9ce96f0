#include <string.h>

#include "member/member_internal.h"
#include "member/record_codec.h"

/* Updates the neighbours, and the connections to them, from the overlay. */

/* Minimum time between two updates that bf_member_tick starts. */
#define OVERLAY_INTERVAL_US (200 * BF_US_PER_MS)

static void
add_to_overlay(void *ctx, const char *key, const bf_replica_value_t *value,
    uint8_t tag, bf_time_us_t changed_us)
{
	bf_overlay_t *overlay = ctx;
	bf_record_t record;

	(void)changed_us;
	if (tag != STATE_TAG(BF_MEMBER_ALIVE))
		return;
	if (bf_record_decode(key, value->data, value->data_bytes, &record) ==
	    BF_OK)
		bf_overlay_add(overlay, key, record.zone);
}

static bool
is_in_state(
    const bf_member_t *member, const char *instance, bf_member_state_t state)
{
	bf_record_t record;

	return bf_member_find(member, instance, &record) == BF_OK &&
	    record.state == state;
}

static bool
is_present(const bf_member_t *member, const char *instance)
{
	return is_in_state(member, instance, BF_MEMBER_ALIVE) ||
	    is_in_state(member, instance, BF_MEMBER_SUSPECT);
}

static void
drop_peer(bf_member_t *member, bf_peer_t *peer)
{
	bf_wire_writer_clear(&member->writer);
	bf_wire_write_header(
	    &member->writer, BF_MESSAGE_UNLINK, member->own.instance);
	bf_member_send_message(member, peer->instance, peer->address);
	bf_peers_remove(peer);
}

static void
connect_to(bf_member_t *member, const char *instance, bf_time_us_t now_us)
{
	bf_record_t record;
	bf_peer_t *peer;
	bool address_changed;

	if (instance[0] == '\0' ||
	    bf_member_find(member, instance, &record) != BF_OK)
		return;
	peer = bf_peers_add(
	    &member->peers, instance, record.control_address, now_us);
	if (peer == NULL)
		return;
	address_changed = strcmp(peer->address, record.control_address) != 0;
	if (peer->is_dialled && !address_changed)
		return;
	memcpy(peer->address, record.control_address, BF_ADDRESS_BYTES);
	peer->is_dialled = true;
	peer->linked_at_us = now_us;
	peer->last_received_us = now_us;
	peer->last_dial_us = now_us;
	bf_member_send_hello(
	    member, BF_MESSAGE_HELLO, instance, peer->address, HELLO_LINK, 0);
}

/*
 * Whether the connection to a neighbour is kept.  The overlay contains only
 * ALIVE members, so the member after a suspect on a ring becomes the
 * successor at once.  If that member has failed too, as when a whole zone has
 * failed, it is found without waiting until the suspect is declared dead, that
 * is after only one suspicion timeout.  The suspect stays connected until it
 * refutes the suspicion, is declared DEAD or announces that it leaves (LEFT).
 */
static bool
must_stay_connected(const bf_member_t *member, const bf_peer_t *peer)
{
	return bf_overlay_dials(&member->overlay, peer->instance) ||
	    is_in_state(member, peer->instance, BF_MEMBER_SUSPECT);
}

static void
update_links(bf_member_t *member, bf_time_us_t now_us)
{
	const char *addresses[BF_PEERS_MAX];
	bf_member_output_t *output;
	bf_peer_t *peer;
	size_t count;
	size_t i;

	/* A ring is an order of the members by hash; see member/overlay.h. */
	for (i = 0; i < bf_overlay_ring_count(&member->overlay); i++)
		connect_to(member, member->overlay.rings[i].successor, now_us);
	count = 0;
	for (i = 0; i < BF_PEERS_MAX; i++) {
		peer = &member->peers.slots[i];
		if (peer->instance[0] == '\0')
			continue;
		if (peer->is_dialled && !must_stay_connected(member, peer)) {
			peer->is_dialled = false;
			if (!bf_overlay_dialled_by(
				&member->overlay, peer->instance)) {
				drop_peer(member, peer);
				continue;
			}
		}
		if (!peer->is_dialled && !is_present(member, peer->instance))
			bf_peers_remove(peer);
		else if (peer->is_dialled)
			addresses[count++] = peer->address;
	}
	output = member->options.output;
	output->vtable->link(output, addresses, count);
}

void
bf_member_update_overlay(bf_member_t *member, bf_time_us_t now_us)
{
	member->overlay_dirty = false;
	member->next_overlay_us = now_us + OVERLAY_INTERVAL_US;
	/* Send changes that are due before some neighbours are dropped. */
	bf_member_flush(member, now_us);
	bf_overlay_init(
	    &member->overlay, member->own.instance, member->own.zone);
	bf_replica_each(member->replica, BF_MEMBER_REPLICA_KIND, add_to_overlay,
	    &member->overlay);
	update_links(member, now_us);
}
