#include <string.h>

#include "member/member_internal.h"
#include "member/record_codec.h"

/* The rules by which member records are merged; see bf_replica_vtable_t. */

/* A received record of this instance is never stored, only refuted. */
static bf_replica_choice_t
merge_own(bf_member_t *member, const bf_record_t *incoming)
{
	if (!bf_record_newer(incoming, &member->own))
		return BF_REPLICA_KEEP;
	if (incoming->incarnation > member->own.incarnation) {
		member->own.incarnation = incoming->incarnation + 1;
		member->own.sequence = 0;
	} else {
		member->own.sequence = incoming->sequence;
	}
	member->must_refute = true;
	return BF_REPLICA_KEEP;
}

/*
 * A death without a preceding suspicion on this node is stored as a suspicion:
 * after a partition has healed, each side declares the other dead, and all
 * members must have time to refute it before calls to them stop.
 */
static bf_replica_choice_t
merge_record(bf_replica_kind_t *kind, const char *key,
    const bf_replica_value_t *current, const bf_replica_value_t *incoming,
    bf_wire_writer_t *rewritten)
{
	bf_member_t *member = (bf_member_t *)kind;
	bf_record_t theirs;
	bf_record_t ours;
	size_t bytes;

	if (strlen(key) >= BF_NAME_BYTES ||
	    bf_record_decode(
		key, incoming->data, incoming->data_bytes, &theirs) != BF_OK) {
		member->counts.bad_messages++;
		return BF_REPLICA_KEEP;
	}
	if (strcmp(key, member->own.instance) == 0)
		return merge_own(member, &theirs);
	if (current->data == NULL)
		return BF_REPLICA_REPLACE;
	bf_record_decode(key, current->data, current->data_bytes, &ours);
	if (theirs.state == BF_MEMBER_DEAD && ours.state == BF_MEMBER_ALIVE) {
		theirs.state = BF_MEMBER_SUSPECT;
		if (!bf_record_newer(&theirs, &ours))
			return BF_REPLICA_KEEP;
		bf_record_write(rewritten, &theirs);
		return BF_REPLICA_REWRITE;
	}
	if (bf_record_newer(&theirs, &ours))
		return BF_REPLICA_REPLACE;
	if (bf_record_newer(&ours, &theirs))
		return BF_REPLICA_KEEP;
	/*
	 * Same incarnation, sequence and state, but other bytes: any order that
	 * is common to all nodes will do.
	 */
	bytes = current->data_bytes < incoming->data_bytes
	    ? current->data_bytes
	    : incoming->data_bytes;
	return memcmp(incoming->data, current->data, bytes) > 0
	    ? BF_REPLICA_REPLACE
	    : BF_REPLICA_KEEP;
}

static uint8_t
record_changed(bf_replica_kind_t *kind, const char *key,
    const bf_replica_value_t *value, uint8_t old_tag)
{
	bf_member_t *member = (bf_member_t *)kind;
	bf_record_t record;

	member->overlay_dirty = true;
	member->membership_changed = true;
	if (old_tag != 0)
		member->state_counts[old_tag - 1]--;
	if (value->data == NULL)
		return 0;
	bf_record_decode(key, value->data, value->data_bytes, &record);
	member->state_counts[record.state]++;
	return STATE_TAG(record.state);
}

static bf_time_us_t
record_lifetime_us(bf_replica_kind_t *kind, uint8_t tag)
{
	const bf_member_t *member = (const bf_member_t *)kind;

	if (tag == STATE_TAG(BF_MEMBER_DEAD) ||
	    tag == STATE_TAG(BF_MEMBER_LEFT))
		return member->options.tombstone_lifetime_us;
	return 0;
}

const bf_replica_vtable_t bf_member_record_vtable = {
	.merge = merge_record,
	.changed = record_changed,
	.lifetime_us = record_lifetime_us,
};
