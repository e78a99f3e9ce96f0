#include <string.h>

#include "member/member_internal.h"
#include "member/record_codec.h"

/*
 * Consecutive heartbeats with a differing digest after which a table is pulled:
 * while it does not change on this node, and while it does.
 */
#define MISMATCHES_QUIET 2
#define MISMATCHES_BUSY 8
#define VERSIONS_PULL_INTERVAL_US (5 * BF_US_PER_S)
/* Other members that a refused pull may be sent to, as listed in a BUSY. */
#define BUSY_HINTS 4

typedef struct peer_state {
	uint64_t config_version;
	bf_digest_t config_digest;
	uint64_t digests[BF_PEER_DIGEST_COUNT];
} peer_state_t;

static void
read_state(bf_wire_reader_t *reader, peer_state_t *state)
{
	size_t i;

	state->config_version = bf_wire_read_uint(reader, UINT64_MAX);
	state->config_digest = bf_wire_read_digest(reader);
	for (i = 0; i < BF_PEER_DIGEST_COUNT; i++)
		state->digests[i] = bf_wire_read_uint(reader, UINT64_MAX);
}

static bool
has_same_tables(const bf_member_t *member, const peer_state_t *state)
{
	return state->digests[BF_PEER_DIGEST_RECORDS] ==
	    bf_replica_digest(member->replica, 0) &&
	    state->digests[BF_PEER_DIGEST_ITEMS] ==
	    bf_replica_digest(member->replica, 1);
}

static void
pull_versions(bf_member_t *member, const char *instance, const char *address,
    bf_time_us_t now_us)
{
	if (member->last_versions_pull_us != 0 &&
	    now_us - member->last_versions_pull_us < VERSIONS_PULL_INTERVAL_US)
		return;
	member->last_versions_pull_us = now_us;
	bf_wire_writer_clear(&member->writer);
	bf_wire_write_header(
	    &member->writer, BF_MESSAGE_VERSIONS_PULL, member->own.instance);
	bf_member_send_message(member, instance, address);
}

static bool
is_lasting(const bf_member_t *member, uint32_t mismatches, bf_time_us_t now_us)
{
	if (mismatches >= MISMATCHES_BUSY)
		return true;
	return mismatches >= MISMATCHES_QUIET &&
	    bf_member_is_quiet(member, now_us);
}

/*
 * Pulls what flooding has lost: a difference of digests that lasts longer than
 * flooding takes.
 */
static void
compare_state(bf_member_t *member, bf_peer_t *peer, const peer_state_t *state,
    bf_time_us_t now_us)
{
	uint64_t own[BF_PEER_DIGEST_COUNT];
	size_t i;

	own[BF_PEER_DIGEST_RECORDS] = bf_replica_digest(member->replica, 0);
	own[BF_PEER_DIGEST_ITEMS] = bf_replica_digest(member->replica, 1);
	own[BF_PEER_DIGEST_VERSIONS] = bf_versions_digest(member->versions);
	for (i = 0; i < BF_PEER_DIGEST_COUNT; i++) {
		if (own[i] == state->digests[i])
			peer->mismatches[i] = 0;
		else
			peer->mismatches[i]++;
	}
	if (!member->joined)
		return;
	if (is_lasting(
		member, peer->mismatches[BF_PEER_DIGEST_RECORDS], now_us) ||
	    is_lasting(member, peer->mismatches[BF_PEER_DIGEST_ITEMS], now_us))
		bf_member_start_pull(
		    member, peer->instance, peer->address, now_us);
	if (is_lasting(
		member, peer->mismatches[BF_PEER_DIGEST_VERSIONS], now_us))
		pull_versions(member, peer->instance, peer->address, now_us);
}

static void
report_config(bf_member_t *member, const char *from, const char *address,
    const peer_state_t *state)
{
	bf_member_output_t *output;

	bf_versions_raise(member->versions, bf_versions_hash(from),
	    state->config_version, bf_peers_slot_bit(&member->peers, from));
	bf_member_raise_mesh_version(member, state->config_version);
	if (state->config_version == 0)
		return;
	output = member->options.output;
	output->vtable->peer_config(
	    output, from, address, state->config_version, state->config_digest);
}

/* Sends an instance its own record as stored here, so that it can refute it. */
static void
send_record(bf_member_t *member, const char *instance, const char *address,
    bf_time_us_t now_us)
{
	bf_wire_writer_clear(&member->writer);
	bf_wire_write_header(
	    &member->writer, BF_MESSAGE_CHANGES, member->own.instance);
	bf_wire_write_uint(&member->writer, 0);
	bf_replica_write_entry(member->replica, &member->writer,
	    BF_MEMBER_REPLICA_KIND, instance, now_us);
	bf_member_send_message(member, instance, address);
}

static void
merge_sender(bf_member_t *member, bf_record_t *record, bf_time_us_t now_us)
{
	bf_replica_value_t value;

	bf_wire_writer_clear(&member->writer);
	bf_record_write(&member->writer, record);
	value = (bf_replica_value_t){ member->writer.buffer.data,
		member->writer.buffer.size };
	if (bf_replica_merge(member->replica, BF_MEMBER_REPLICA_KIND,
		record->instance, &value,
		bf_peers_slot_bit(&member->peers, record->instance), now_us))
		member->last_change_us = now_us;
}

/*
 * Reads the common contents of HELLO and WELCOME and applies the sender's
 * record and state.  False for a malformed message or one from this instance
 * itself.
 */
static bool
read_hello(bf_member_t *member, const char *from, bf_wire_reader_t *reader,
    bf_record_t *record, peer_state_t *state, unsigned *flags, uint64_t *floor,
    bf_time_us_t now_us)
{
	bf_record_t stored;

	*flags = (unsigned)bf_wire_read_uint(reader, HELLO_FLAGS_MAX);
	*floor = bf_wire_read_uint(reader, UINT64_MAX);
	bf_record_read(reader, from, record);
	read_state(reader, state);
	if (reader->code != BF_OK || strcmp(from, member->own.instance) == 0)
		return false;
	merge_sender(member, record, now_us);
	report_config(member, from, record->control_address, state);
	if (bf_member_find(member, from, &stored) == BF_OK &&
	    stored.state != BF_MEMBER_ALIVE)
		send_record(member, from, record->control_address, now_us);
	return true;
}

static void
receive_hello(bf_member_t *member, const char *from, bf_wire_reader_t *reader,
    bf_time_us_t now_us)
{
	peer_state_t state;
	bf_record_t record;
	bf_peer_t *peer;
	unsigned flags;
	uint64_t floor;

	if (!read_hello(
		member, from, reader, &record, &state, &flags, &floor, now_us))
		return;
	if ((flags & HELLO_LINK) != 0) {
		peer = bf_peers_add(
		    &member->peers, from, record.control_address, now_us);
		if (peer != NULL)
			peer->last_received_us = now_us;
	}
	floor = bf_member_mesh_version(member);
	bf_member_send_hello(member, BF_MESSAGE_WELCOME, from,
	    record.control_address, flags, floor);
	/* A node joins only after a WELCOME, as that contains its floor. */
	if (member->joined && (flags & HELLO_PROBE) != 0 &&
	    !has_same_tables(member, &state))
		bf_member_start_pull(
		    member, from, record.control_address, now_us);
}

static void
receive_welcome(bf_member_t *member, const char *from, bf_wire_reader_t *reader,
    bf_time_us_t now_us)
{
	peer_state_t state;
	bf_record_t record;
	bf_peer_t *peer;
	unsigned flags;
	uint64_t floor;

	if (!read_hello(
		member, from, reader, &record, &state, &flags, &floor, now_us))
		return;
	bf_versions_raise(
	    member->versions, bf_versions_hash(member->own.instance), floor, 0);
	/*
	 * Only the reply to a request sent after the pause confirms, since any
	 * other message may have been sent before it.  A peer whose own version
	 * is unconfirmed sends 0.
	 */
	if ((flags & HELLO_CONFIRM) != 0 && state.config_version > 0 &&
	    state.config_version >= member->config_version)
		member->config_unconfirmed = false;
	peer = bf_peers_find(&member->peers, from);
	if (peer != NULL)
		peer->last_received_us = now_us;
	if (!member->joined ||
	    ((flags & HELLO_PROBE) != 0 && !has_same_tables(member, &state)))
		bf_member_start_pull(
		    member, from, record.control_address, now_us);
}

static void
receive_heartbeat(bf_member_t *member, const char *from,
    bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	peer_state_t state;
	bf_record_t record;
	bf_peer_t *peer;

	read_state(reader, &state);
	if (reader->code != BF_OK)
		return;
	if (bf_member_find(member, from, &record) != BF_OK) {
		bf_member_send_hello(member, BF_MESSAGE_HELLO, from, "", 0, 0);
		return;
	}
	if (record.state != BF_MEMBER_ALIVE)
		send_record(member, from, record.control_address, now_us);
	peer =
	    bf_peers_add(&member->peers, from, record.control_address, now_us);
	if (peer == NULL)
		return;
	peer->last_received_us = now_us;
	report_config(member, from, record.control_address, &state);
	compare_state(member, peer, &state, now_us);
}

static void
receive_changes(bf_member_t *member, const char *from, bf_wire_reader_t *reader,
    bf_time_us_t now_us)
{
	uint64_t holders;
	unsigned flags;

	flags = (unsigned)bf_wire_read_uint(reader, CHANGES_FLAGS_MAX);
	holders = bf_peers_slot_bit(&member->peers, from);
	/* A joining node does not flood the table that it pulls. */
	if (!member->joined && (flags & CHANGES_REPLY) != 0)
		holders = UINT64_MAX;
	if (bf_replica_read(member->replica, reader, holders, now_us) > 0)
		member->last_change_us = now_us;
	if (reader->code != BF_OK || (flags & CHANGES_LAST) == 0 ||
	    strcmp(from, member->pull_source) != 0)
		return;
	member->next_pull_us = 0;
	if (member->joined)
		return;
	member->joined = true;
	member->overlay_dirty = true;
	pull_versions(member, from, "", now_us);
}

typedef struct hint_list {
	bf_member_t *member;
	uint32_t remaining; /* records not yet visited */
	uint32_t wanted;    /* records still to be selected */
} hint_list_t;

/* Selection sampling: each alive record is as likely as any other. */
static void
add_hint(void *ctx, const char *key, const bf_replica_value_t *value,
    uint8_t tag, bf_time_us_t changed_us)
{
	hint_list_t *list = ctx;
	bf_record_t record;

	(void)changed_us;
	if (tag != STATE_TAG(BF_MEMBER_ALIVE) || list->remaining == 0)
		return;
	if (gsl_rng_uniform_int(list->member->rng, list->remaining--) >=
	    list->wanted)
		return;
	if (bf_record_decode(key, value->data, value->data_bytes, &record) !=
	    BF_OK)
		return;
	list->wanted--;
	bf_wire_write_text(&list->member->writer, record.control_address);
}

static void
refuse_pull(bf_member_t *member, const char *from)
{
	hint_list_t list = { .member = member,
		.remaining = member->state_counts[BF_MEMBER_ALIVE],
		.wanted = BUSY_HINTS };

	member->counts.pulls_refused++;
	bf_wire_writer_clear(&member->writer);
	bf_wire_write_header(
	    &member->writer, BF_MESSAGE_BUSY, member->own.instance);
	bf_replica_each(
	    member->replica, BF_MEMBER_REPLICA_KIND, add_hint, &list);
	bf_member_send_message(member, from, "");
}

static bool
is_below_pull_limit(bf_member_t *member, bf_time_us_t now_us)
{
	if (now_us - member->pull_window_start_us >= BF_US_PER_S) {
		member->pull_window_start_us = now_us;
		member->pulls_in_window = 0;
	}
	return member->pulls_in_window++ < member->options.pulls_per_s_max;
}

static void
begin_reply(bf_member_t *member, unsigned flags)
{
	bf_wire_writer_clear(&member->writer);
	bf_wire_write_header(
	    &member->writer, BF_MESSAGE_CHANGES, member->own.instance);
	bf_wire_write_uint(&member->writer, flags);
}

static void
receive_pull(bf_member_t *member, const char *from, bf_wire_reader_t *reader,
    bf_time_us_t now_us)
{
	bf_replica_diff_t diff;
	size_t written;
	size_t cursor;

	bf_replica_read_digests(member->replica, reader, &diff);
	if (reader->code != BF_OK)
		return;
	if (!is_below_pull_limit(member, now_us)) {
		refuse_pull(member, from);
		return;
	}
	member->counts.pulls_served++;
	cursor = 0;
	do {
		begin_reply(member, CHANGES_REPLY);
		written = bf_replica_write_diff(
		    member->replica, &member->writer, &diff, &cursor, now_us);
		if (written > 0)
			bf_member_send_message(member, from, "");
	} while (written > 0);
	begin_reply(member, CHANGES_REPLY | CHANGES_LAST);
	bf_member_send_message(member, from, "");
}

static void
receive_busy(bf_member_t *member, const char *from, bf_wire_reader_t *reader,
    bf_time_us_t now_us)
{
	char address[BF_ADDRESS_BYTES];

	if (strcmp(from, member->pull_source) != 0)
		return;
	member->next_pull_us = now_us +
	    (bf_time_us_t)gsl_rng_uniform_int(member->rng,
		(unsigned long)member->options.heartbeat_interval_us);
	if (member->joined)
		return;
	while (!bf_wire_reader_done(reader)) {
		bf_wire_read_text(reader, address, sizeof(address));
		if (reader->code == BF_OK)
			bf_member_add_seed(member, address);
	}
}

static void
send_versions(bf_member_t *member, const char *to)
{
	bf_wire_writer_clear(&member->writer);
	bf_wire_write_header(
	    &member->writer, BF_MESSAGE_VERSIONS, member->own.instance);
	bf_versions_write(member->versions, &member->writer, -1);
	bf_member_send_message(member, to, "");
}

static void
receive_unlink(bf_member_t *member, const char *from)
{
	bf_peer_t *peer;

	peer = bf_peers_find(&member->peers, from);
	if (peer != NULL && !peer->is_dialled)
		bf_peers_remove(peer);
}

bf_code_t
bf_member_receive(bf_member_t *member, bf_message_kind_t kind, const char *from,
    bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	switch (kind) {
	case BF_MESSAGE_HELLO:
		receive_hello(member, from, reader, now_us);
		break;
	case BF_MESSAGE_WELCOME:
		receive_welcome(member, from, reader, now_us);
		break;
	case BF_MESSAGE_HEARTBEAT:
		receive_heartbeat(member, from, reader, now_us);
		break;
	case BF_MESSAGE_CHANGES:
		receive_changes(member, from, reader, now_us);
		break;
	case BF_MESSAGE_PULL:
		receive_pull(member, from, reader, now_us);
		break;
	case BF_MESSAGE_BUSY:
		receive_busy(member, from, reader, now_us);
		break;
	case BF_MESSAGE_VERSIONS:
		bf_versions_read(member->versions, reader,
		    bf_peers_slot_bit(&member->peers, from));
		break;
	case BF_MESSAGE_VERSIONS_PULL:
		send_versions(member, from);
		break;
	case BF_MESSAGE_UNLINK:
		receive_unlink(member, from);
		break;
	default:
		reader->code = BF_ERR_RANGE;
		break;
	}
	if (reader->code != BF_OK)
		member->counts.bad_messages++;
	if (member->must_refute)
		bf_member_refute(member, from, now_us);
	return reader->code;
}
