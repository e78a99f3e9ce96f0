#include <stdlib.h>
#include <string.h>

#include "member/member_internal.h"
#include "member/record_codec.h"

#define FLUSH_INTERVAL_US (20 * BF_US_PER_MS)
#define VERSIONS_INTERVAL_US (200 * BF_US_PER_MS)
#define PULL_TIMEOUT_US (2 * BF_US_PER_S)
#define JOIN_RETRY_US (500 * BF_US_PER_MS)
/* After this many attempts without a reply the node runs alone. */
#define JOIN_ATTEMPTS_MAX 6
/* Ticks further apart than a heartbeat interval plus this are a pause. */
#define PAUSE_TOLERANCE_US (250 * BF_US_PER_MS)

/*
 * Approximate number of probes that all nodes together send per heartbeat
 * interval, whatever the number of nodes.
 */
#define PROBES_PER_HEARTBEAT 16
#define SEED_PROBE_HEARTBEATS 10

/*
 * Differs from the seeds of the overlay's rings, so that the ranks which select
 * the relays are independent of the neighbours.
 */
#define RANK_SEED 100

bf_member_t *
bf_member_new(const bf_member_options_t *options, uint64_t incarnation,
    bf_time_us_t now_us)
{
	bf_member_t *member;
	size_t i;

	member = calloc(1, sizeof(*member));
	if (member == NULL)
		return NULL;
	member->kind.vtable = &bf_member_record_vtable;
	member->options = *options;
	member->own = options->own;
	member->own.incarnation = incarnation;
	member->own.state = BF_MEMBER_ALIVE;
	member->replica = bf_replica_new();
	member->versions = bf_versions_new();
	member->rng = gsl_rng_alloc(gsl_rng_taus2);
	bf_wire_writer_init(&member->writer);
	if (member->replica == NULL || member->versions == NULL ||
	    member->rng == NULL) {
		bf_member_free(member);
		return NULL;
	}
	gsl_rng_set(member->rng, options->rng_seed);
	bf_overlay_init(
	    &member->overlay, member->own.instance, member->own.zone);
	bf_replica_register(
	    member->replica, BF_MEMBER_REPLICA_KIND, &member->kind);
	for (i = 0; i < options->seed_count; i++)
		bf_member_add_seed(member, options->seeds[i]);
	member->last_tick_us = now_us;
	member->resumed_at_us = now_us;
	member->last_change_us = now_us;
	member->next_heartbeat_us = now_us +
	    (bf_time_us_t)gsl_rng_uniform_int(
		member->rng, (unsigned long)options->heartbeat_interval_us);
	bf_member_publish_own(member, now_us);
	return member;
}

void
bf_member_free(bf_member_t *member)
{
	if (member == NULL)
		return;
	bf_replica_free(member->replica);
	bf_versions_free(member->versions);
	if (member->rng != NULL)
		gsl_rng_free(member->rng);
	bf_wire_writer_free(&member->writer);
	free(member);
}

bf_replica_t *
bf_member_replica(bf_member_t *member)
{
	return member->replica;
}

void
bf_member_add_seed(bf_member_t *member, const char *address)
{
	size_t i;

	if (strcmp(address, member->own.control_address) == 0 ||
	    strlen(address) >= BF_ADDRESS_BYTES)
		return;
	for (i = 0; i < member->seed_count; i++) {
		if (strcmp(member->seeds[i], address) == 0)
			return;
	}
	if (member->seed_count < SEEDS_MAX)
		i = member->seed_count++;
	else /* replaces one, as old addresses may no longer exist */
		i = gsl_rng_uniform_int(member->rng, SEEDS_MAX);
	memcpy(member->seeds[i], address, strlen(address) + 1);
}

void
bf_member_send_message(
    bf_member_t *member, const char *instance, const char *address)
{
	bf_member_output_t *output;

	output = member->options.output;
	output->vtable->send(output, instance, address,
	    member->writer.buffer.data, member->writer.buffer.size);
}

/* Writes the contents of a heartbeat: configuration in force, table digests. */
void
bf_member_write_state(bf_member_t *member)
{
	bf_wire_write_uint(&member->writer,
	    member->config_unconfirmed ? 0 : member->config_version);
	bf_wire_write_digest(&member->writer, member->config_digest);
	bf_wire_write_uint(
	    &member->writer, bf_replica_digest(member->replica, 0));
	bf_wire_write_uint(
	    &member->writer, bf_replica_digest(member->replica, 1));
	bf_wire_write_uint(
	    &member->writer, bf_versions_digest(member->versions));
}

void
bf_member_send_hello(bf_member_t *member, bf_message_kind_t kind,
    const char *instance, const char *address, unsigned flags, uint64_t floor)
{
	bf_wire_writer_clear(&member->writer);
	bf_wire_write_header(&member->writer, kind, member->own.instance);
	bf_wire_write_uint(&member->writer, flags);
	bf_wire_write_uint(&member->writer, floor);
	bf_record_write(&member->writer, &member->own);
	bf_member_write_state(member);
	bf_member_send_message(member, instance, address);
}

void
bf_member_publish_own(bf_member_t *member, bf_time_us_t now_us)
{
	bf_replica_value_t value;

	bf_wire_writer_clear(&member->writer);
	bf_record_write(&member->writer, &member->own);
	value = (bf_replica_value_t){ member->writer.buffer.data,
		member->writer.buffer.size };
	bf_replica_set(member->replica, BF_MEMBER_REPLICA_KIND,
	    member->own.instance, &value, now_us);
	member->last_change_us = now_us;
	member->must_flush = true;
}

/*
 * Publishes the own record with a greater sequence, in reply to a wrong one
 * received from an instance.
 */
void
bf_member_refute(bf_member_t *member, const char *from, bf_time_us_t now_us)
{
	member->must_refute = false;
	member->counts.refutations++;
	member->own.sequence++;
	bf_member_publish_own(member, now_us);
	if (bf_peers_find(&member->peers, from) != NULL)
		return;
	bf_member_send_hello(member, BF_MESSAGE_HELLO, from, "", 0, 0);
}

bool
bf_member_is_quiet(const bf_member_t *member, bf_time_us_t now_us)
{
	return now_us - member->last_change_us >
	    member->options.heartbeat_interval_us;
}

void
bf_member_start_pull(bf_member_t *member, const char *instance,
    const char *address, bf_time_us_t now_us)
{
	if (now_us < member->next_pull_us)
		return;
	member->next_pull_us = now_us + PULL_TIMEOUT_US;
	memcpy(member->pull_source, instance,
	    strnlen(instance, BF_NAME_BYTES - 1) + 1);
	member->counts.pulls_sent++;
	bf_wire_writer_clear(&member->writer);
	bf_wire_write_header(
	    &member->writer, BF_MESSAGE_PULL, member->own.instance);
	bf_replica_write_digests(member->replica, &member->writer);
	bf_member_send_message(member, instance, address);
}

static void
flush_replica(bf_member_t *member, bf_time_us_t now_us)
{
	const bf_peer_t *peer;
	size_t cursor;
	unsigned slot;

	for (slot = 0; slot < BF_PEERS_MAX; slot++) {
		peer = &member->peers.slots[slot];
		cursor = 0;
		while (peer->instance[0] != '\0') {
			bf_wire_writer_clear(&member->writer);
			bf_wire_write_header(&member->writer,
			    BF_MESSAGE_CHANGES, member->own.instance);
			bf_wire_write_uint(&member->writer, 0);
			if (bf_replica_write_unsent(member->replica,
				&member->writer, slot, &cursor, now_us) == 0)
				break;
			bf_member_send_message(
			    member, peer->instance, peer->address);
		}
	}
	bf_replica_mark_sent(member->replica);
	member->must_flush = false;
	member->last_flush_us = now_us;
}

static void
flush_versions(bf_member_t *member, bf_time_us_t now_us)
{
	const bf_peer_t *peer;
	int slot;

	for (slot = 0; slot < BF_PEERS_MAX; slot++) {
		peer = &member->peers.slots[slot];
		if (peer->instance[0] == '\0')
			continue;
		bf_wire_writer_clear(&member->writer);
		bf_wire_write_header(
		    &member->writer, BF_MESSAGE_VERSIONS, member->own.instance);
		if (bf_versions_write(member->versions, &member->writer, slot) >
		    0)
			bf_member_send_message(
			    member, peer->instance, peer->address);
	}
	bf_versions_mark_sent(member->versions);
	member->last_versions_us = now_us;
}

/* Without neighbours, changes are kept until there are some. */
bf_time_us_t
bf_member_next_flush_us(const bf_member_t *member)
{
	bf_time_us_t next_us;

	next_us = INT64_MAX;
	if (bf_peers_count(&member->peers) == 0)
		return next_us;
	if (bf_replica_has_unsent(member->replica))
		next_us = member->must_flush
		    ? member->last_tick_us
		    : member->last_flush_us + FLUSH_INTERVAL_US;
	if (bf_versions_has_unsent(member->versions) &&
	    member->last_versions_us + VERSIONS_INTERVAL_US < next_us)
		next_us = member->last_versions_us + VERSIONS_INTERVAL_US;
	return next_us;
}

void
bf_member_flush(bf_member_t *member, bf_time_us_t now_us)
{
	if (bf_peers_count(&member->peers) == 0)
		return;
	if (bf_replica_has_unsent(member->replica) &&
	    (member->must_flush ||
		now_us - member->last_flush_us >= FLUSH_INTERVAL_US))
		flush_replica(member, now_us);
	if (bf_versions_has_unsent(member->versions) &&
	    now_us - member->last_versions_us >= VERSIONS_INTERVAL_US)
		flush_versions(member, now_us);
}

static void
try_join(bf_member_t *member, bf_time_us_t now_us)
{
	size_t pick;

	if (now_us < member->next_join_us || now_us < member->next_pull_us)
		return;
	if (member->seed_count == 0 ||
	    member->join_attempts++ == JOIN_ATTEMPTS_MAX) {
		member->joined = true;
		member->overlay_dirty = true;
		return;
	}
	pick = gsl_rng_uniform_int(member->rng, member->seed_count);
	bf_member_send_hello(member, BF_MESSAGE_HELLO, "", member->seeds[pick],
	    HELLO_JOINING, 0);
	member->next_join_us = now_us + JOIN_RETRY_US / 2 +
	    (bf_time_us_t)gsl_rng_uniform_int(member->rng, JOIN_RETRY_US);
}

typedef struct probe_choice {
	uint32_t skip;
	bf_record_t record;
	bool found;
} probe_choice_t;

static void
probe_visit(void *ctx, const char *key, const bf_replica_value_t *value,
    uint8_t tag, bf_time_us_t changed_us)
{
	probe_choice_t *pick = ctx;

	(void)changed_us;
	if (pick->found || tag != STATE_TAG(BF_MEMBER_DEAD) || pick->skip-- > 0)
		return;
	pick->found = bf_record_decode(key, value->data, value->data_bytes,
			  &pick->record) == BF_OK;
}

/*
 * Sends a HELLO to a dead member or a seed, since after a partition has healed
 * no node has a neighbour on the other side.  All nodes together send about the
 * same number of probes, whatever the number of nodes.
 */
static void
send_probes(bf_member_t *member)
{
	probe_choice_t pick = { 0 };
	uint32_t alive;
	uint32_t dead;

	alive = member->state_counts[BF_MEMBER_ALIVE];
	dead = member->state_counts[BF_MEMBER_DEAD];
	if (alive > PROBES_PER_HEARTBEAT &&
	    gsl_rng_uniform_int(member->rng, alive) >= PROBES_PER_HEARTBEAT)
		return;
	if (dead > 0) {
		pick.skip = (uint32_t)gsl_rng_uniform_int(member->rng, dead);
		bf_replica_each(member->replica, BF_MEMBER_REPLICA_KIND,
		    probe_visit, &pick);
	}
	if (pick.found)
		bf_member_send_hello(member, BF_MESSAGE_HELLO,
		    pick.record.instance, pick.record.control_address,
		    HELLO_PROBE, 0);
	if (member->seed_count > 0 &&
	    (alive == 1 || member->heartbeats % SEED_PROBE_HEARTBEATS == 0))
		bf_member_send_hello(member, BF_MESSAGE_HELLO, "",
		    member->seeds[gsl_rng_uniform_int(
			member->rng, member->seed_count)],
		    HELLO_PROBE, 0);
}

/*
 * Requests the version in force from all neighbours after a pause, until one
 * confirms the version in force here; see config_unconfirmed.
 */
static void
request_confirmation(bf_member_t *member)
{
	const bf_peer_t *peer;
	size_t i;

	for (i = 0; i < BF_PEERS_MAX; i++) {
		peer = &member->peers.slots[i];
		if (peer->instance[0] != '\0')
			bf_member_send_hello(member, BF_MESSAGE_HELLO,
			    peer->instance, peer->address, HELLO_CONFIRM, 0);
	}
}

static void
send_heartbeats(bf_member_t *member)
{
	const bf_peer_t *peer;
	size_t i;

	if (member->config_unconfirmed)
		request_confirmation(member);
	bf_wire_writer_clear(&member->writer);
	bf_wire_write_header(
	    &member->writer, BF_MESSAGE_HEARTBEAT, member->own.instance);
	bf_member_write_state(member);
	for (i = 0; i < BF_PEERS_MAX; i++) {
		peer = &member->peers.slots[i];
		if (peer->instance[0] != '\0')
			bf_member_send_message(
			    member, peer->instance, peer->address);
	}
}

static void
heartbeat(bf_member_t *member, bf_time_us_t now_us)
{
	member->heartbeats++;
	member->next_heartbeat_us =
	    now_us + member->options.heartbeat_interval_us;
	send_heartbeats(member);
	bf_member_check_peers(member, now_us);
	bf_replica_sweep(member->replica, now_us);
	if (member->joined)
		send_probes(member);
}

void
bf_member_tick(bf_member_t *member, bf_time_us_t now_us)
{
	if (now_us - member->last_tick_us >
	    member->options.heartbeat_interval_us + PAUSE_TOLERANCE_US)
		bf_member_handle_pause(member, now_us);
	member->last_tick_us = now_us;
	if (member->own.state == BF_MEMBER_LEFT) {
		bf_member_flush(member, now_us);
		return;
	}
	if (!member->joined)
		try_join(member, now_us);
	if (member->overlay_dirty && member->joined &&
	    now_us >= member->next_overlay_us)
		bf_member_update_overlay(member, now_us);
	if (now_us >= member->next_heartbeat_us)
		heartbeat(member, now_us);
	bf_member_flush(member, now_us);
}

void
bf_member_set_target(
    bf_member_t *member, const bf_record_t *fields, bf_time_us_t now_us)
{
	bf_record_t *own;

	own = &member->own;
	if (own->target_state == fields->target_state &&
	    own->slots == fields->slots &&
	    own->target_incarnation == fields->target_incarnation &&
	    strcmp(own->service, fields->service) == 0 &&
	    strcmp(own->version, fields->version) == 0)
		return;
	own->target_state = fields->target_state;
	own->slots = fields->slots;
	own->target_incarnation = fields->target_incarnation;
	memcpy(own->service, fields->service, sizeof(own->service));
	memcpy(own->version, fields->version, sizeof(own->version));
	own->sequence++;
	bf_member_publish_own(member, now_us);
	bf_member_flush(member, now_us);
}

void
bf_member_raise_mesh_version(bf_member_t *member, uint64_t version)
{
	if (version > member->mesh_version)
		member->mesh_version = version;
}

void
bf_member_confirm_config(
    bf_member_t *member, uint64_t version, bf_time_us_t read_us)
{
	if (version >= member->config_version &&
	    read_us > member->resumed_at_us)
		member->config_unconfirmed = false;
}

bool
bf_member_config_confirmed(const bf_member_t *member)
{
	return !member->config_unconfirmed;
}

uint64_t
bf_member_mesh_version(const bf_member_t *member)
{
	uint64_t greatest;

	greatest = bf_versions_greatest(member->versions);
	return greatest > member->mesh_version ? greatest
					       : member->mesh_version;
}

void
bf_member_set_config(bf_member_t *member, uint64_t version, bf_digest_t digest,
    bf_time_us_t now_us)
{
	bf_member_raise_mesh_version(member, version);
	member->config_unconfirmed = false;
	member->config_version = version;
	member->config_digest = digest;
	bf_versions_raise(member->versions,
	    bf_versions_hash(member->own.instance), version, 0);
	bf_member_flush(member, now_us);
}

void
bf_member_leave(bf_member_t *member, bf_time_us_t now_us)
{
	member->own.state = BF_MEMBER_LEFT;
	member->own.sequence++;
	bf_member_publish_own(member, now_us);
	bf_member_flush(member, now_us);
}

bool
bf_member_joined(const bf_member_t *member)
{
	return member->joined;
}

uint64_t
bf_member_floor_version(const bf_member_t *member)
{
	return bf_versions_get(
	    member->versions, bf_versions_hash(member->own.instance));
}

bf_code_t
bf_member_find(
    const bf_member_t *member, const char *instance, bf_record_t *record)
{
	bf_replica_value_t value;

	value =
	    bf_replica_get(member->replica, BF_MEMBER_REPLICA_KIND, instance);
	if (value.data == NULL)
		return BF_ERR_NOT_FOUND;
	return bf_record_decode(instance, value.data, value.data_bytes, record);
}

typedef struct copy_context {
	const bf_member_t *member;
	bf_record_t *records;
	size_t count;
} copy_context_t;

static void
copy_visit(void *ctx, const char *key, const bf_replica_value_t *value,
    uint8_t tag, bf_time_us_t changed_us)
{
	copy_context_t *copy = ctx;
	bf_record_t *record;

	(void)tag;
	(void)changed_us;
	record = &copy->records[copy->count];
	if (bf_record_decode(key, value->data, value->data_bytes, record) !=
	    BF_OK)
		return;
	record->config_version =
	    bf_versions_get(copy->member->versions, bf_versions_hash(key));
	copy->count++;
}

static int
compare_records(const void *a, const void *b)
{
	return strcmp(((const bf_record_t *)a)->instance,
	    ((const bf_record_t *)b)->instance);
}

size_t
bf_member_record_count(const bf_member_t *member)
{
	size_t count;
	size_t i;

	count = 0;
	for (i = 0; i <= BF_MEMBER_DEAD; i++)
		count += member->state_counts[i];
	return count;
}

size_t
bf_member_records(const bf_member_t *member, bf_record_t *records)
{
	copy_context_t copy = { .member = member, .records = records };

	bf_replica_each(
	    member->replica, BF_MEMBER_REPLICA_KIND, copy_visit, &copy);
	qsort(copy.records, copy.count, sizeof(bf_record_t), compare_records);
	return copy.count;
}

bool
bf_member_poll_changed(bf_member_t *member)
{
	bool changed;

	changed = member->membership_changed;
	member->membership_changed = false;
	return changed;
}

uint64_t
bf_member_versions_digest(const bf_member_t *member)
{
	return bf_versions_digest(member->versions);
}

typedef struct rank_context {
	const bf_record_t *own;
	uint64_t own_hash;
	uint32_t rank;
} rank_context_t;

static void
rank_visit(void *ctx, const char *key, const bf_replica_value_t *value,
    uint8_t tag, bf_time_us_t changed_us)
{
	rank_context_t *rank = ctx;
	bf_record_t record;

	(void)changed_us;
	if (tag != STATE_TAG(BF_MEMBER_ALIVE) ||
	    bf_hash_text(key, RANK_SEED) >= rank->own_hash)
		return;
	if (bf_record_decode(key, value->data, value->data_bytes, &record) ==
		BF_OK &&
	    strcmp(record.zone, rank->own->zone) == 0)
		rank->rank++;
}

uint32_t
bf_member_zone_rank(const bf_member_t *member)
{
	rank_context_t rank = { .own = &member->own,
		.own_hash = bf_hash_text(member->own.instance, RANK_SEED) };

	bf_replica_each(
	    member->replica, BF_MEMBER_REPLICA_KIND, rank_visit, &rank);
	return rank.rank;
}

const bf_peers_t *
bf_member_peers(const bf_member_t *member)
{
	return &member->peers;
}

bf_member_counts_t
bf_member_counts(const bf_member_t *member)
{
	bf_member_counts_t counts;

	counts = member->counts;
	counts.alive = member->state_counts[BF_MEMBER_ALIVE];
	counts.suspect = member->state_counts[BF_MEMBER_SUSPECT];
	counts.left = member->state_counts[BF_MEMBER_LEFT];
	counts.dead = member->state_counts[BF_MEMBER_DEAD];
	return counts;
}
