#include <stdlib.h>
#include <string.h>

#include <apr_pools.h>
#include <gsl/gsl_rng.h>

#include "control/agent.h"
#include "control/history.h"
#include "member/record.h"

#define SOURCES_MAX 8
#define PULL_TIMEOUT_US (1 * BF_US_PER_S)
#define RETRY_US (100 * BF_US_PER_MS)
#define SNAPSHOTS_PER_S_MAX 8
#define ATTEMPTS_PER_SOURCE 3

/* A peer that announced newest_version. */
typedef struct source {
	char instance[BF_NAME_BYTES];
	char address[BF_ADDRESS_BYTES];
} source_t;

struct bf_agent {
	char instance[BF_NAME_BYTES];
	bf_agent_output_t *output;
	gsl_rng *rng;
	bf_wire_writer_t writer;
	bf_snapshot_t *current;
	bf_history_t history;
	apr_pool_t *encoded_pool; /* owns encoded */
	const void *encoded; /* full snapshot in force; NULL: not encoded */
	size_t encoded_bytes;

	uint64_t floor;
	uint64_t mesh_version; /* greatest known to exist in the mesh */
	bool unconfirmed;      /* current must not be served to peers */
	bool floor_is_final;
	uint64_t newest_version; /* greatest announced or in force here */
	bf_digest_t newest_digest;
	source_t sources[SOURCES_MAX];
	size_t source_count;
	size_t next_source;
	uint32_t attempts;         /* pull requests sent for newest_version */
	uint64_t rejected_version; /* greatest one that apply rejected */
	bool needs_full; /* the last delta failed: request a full snapshot */
	bool pulling;
	uint64_t requested_version; /* of the last pull request sent */
	bf_digest_t requested_digest;
	/* While pulling, the timeout of that pull; else the earliest retry. */
	bf_time_us_t next_pull_us;
	bf_time_us_t window_start_us; /* of one second */
	/* Full snapshots requested of this node, served or refused. */
	uint32_t requests_in_window;
	bf_agent_counts_t counts;
};

bf_agent_t *
bf_agent_new(const char *instance, bf_agent_output_t *output, uint64_t rng_seed)
{
	bf_agent_t *agent;

	agent = calloc(1, sizeof(*agent));
	if (agent == NULL)
		return NULL;
	agent->rng = gsl_rng_alloc(gsl_rng_taus2);
	if (agent->rng == NULL) {
		free(agent);
		return NULL;
	}
	gsl_rng_set(agent->rng, rng_seed);
	memcpy(agent->instance, instance, strnlen(instance, BF_NAME_BYTES - 1));
	agent->output = output;
	bf_wire_writer_init(&agent->writer);
	return agent;
}

static void
drop_encoded(bf_agent_t *agent)
{
	if (agent->encoded_pool != NULL)
		apr_pool_destroy(agent->encoded_pool);
	agent->encoded_pool = NULL;
	agent->encoded = NULL;
}

void
bf_agent_free(bf_agent_t *agent)
{
	if (agent == NULL)
		return;
	bf_history_clear(&agent->history);
	drop_encoded(agent);
	if (agent->current != NULL)
		bf_snapshot_free(agent->current);
	gsl_rng_free(agent->rng);
	bf_wire_writer_free(&agent->writer);
	free(agent);
}

void
bf_agent_set_floor(bf_agent_t *agent, uint64_t floor, bool is_final)
{
	agent->floor = floor;
	agent->floor_is_final = is_final;
}

static uint64_t
current_version(const bf_agent_t *agent)
{
	return agent->current == NULL ? 0 : agent->current->version;
}

void
bf_agent_raise_mesh_version(bf_agent_t *agent, uint64_t version)
{
	if (version > agent->mesh_version)
		agent->mesh_version = version;
}

void
bf_agent_set_confirmed(bf_agent_t *agent, bool confirmed)
{
	agent->unconfirmed = !confirmed;
}

uint64_t
bf_agent_desired_version(const bf_agent_t *agent)
{
	uint64_t version;

	version = agent->newest_version > agent->mesh_version
	    ? agent->newest_version
	    : agent->mesh_version;
	return version > agent->rejected_version ? version
						 : current_version(agent);
}

static bool
pull_needed(const bf_agent_t *agent)
{
	return agent->floor_is_final && agent->source_count > 0 &&
	    agent->newest_version > current_version(agent) &&
	    agent->newest_version >= agent->floor &&
	    agent->newest_version > agent->rejected_version;
}

static void
send_get(bf_agent_t *agent, bf_time_us_t now_us)
{
	bf_digest_t base = { 0 };
	const source_t *source;
	uint64_t version;

	version = 0;
	if (agent->current != NULL && !agent->needs_full) {
		version = agent->current->version;
		base = agent->current->digest;
	}
	agent->attempts++;
	source = &agent->sources[agent->next_source++ % agent->source_count];
	bf_wire_writer_clear(&agent->writer);
	bf_wire_write_header(&agent->writer, BF_MESSAGE_GET, agent->instance);
	bf_wire_write_uint(&agent->writer, version);
	bf_wire_write_uint(&agent->writer, base.high);
	bf_wire_write_uint(&agent->writer, base.low);
	bf_wire_write_uint(&agent->writer, agent->newest_version);
	agent->requested_version = agent->newest_version;
	agent->requested_digest = agent->newest_digest;
	agent->pulling = true;
	agent->next_pull_us = now_us + PULL_TIMEOUT_US;
	agent->counts.gets_sent++;
	agent->output->vtable->send(agent->output, source->instance,
	    source->address, agent->writer.buffer.data,
	    agent->writer.buffer.size);
}

static void
schedule_retry(bf_agent_t *agent, bf_time_us_t now_us)
{
	agent->pulling = false;
	agent->next_pull_us = now_us + RETRY_US / 2 +
	    (bf_time_us_t)gsl_rng_uniform_int(agent->rng, RETRY_US);
}

static void
add_source(bf_agent_t *agent, const char *instance, const char *address)
{
	source_t *source;
	size_t i;

	for (i = 0; i < agent->source_count; i++) {
		if (strcmp(agent->sources[i].instance, instance) == 0)
			return;
	}
	if (agent->source_count == SOURCES_MAX)
		return;
	source = &agent->sources[agent->source_count++];
	memset(source, 0, sizeof(*source));
	memcpy(
	    source->instance, instance, strnlen(instance, BF_NAME_BYTES - 1));
	memcpy(
	    source->address, address, strnlen(address, BF_ADDRESS_BYTES - 1));
}

void
bf_agent_observe_version(bf_agent_t *agent, const char *instance,
    const char *address, uint64_t version, bf_digest_t digest,
    bf_time_us_t now_us)
{
	if (version < agent->newest_version || version == 0)
		return;
	if (version > agent->newest_version) {
		agent->newest_version = version;
		agent->newest_digest = digest;
		agent->source_count = 0;
		agent->next_source = 0;
		agent->attempts = 0;
		agent->needs_full = false;
	}
	if (!bf_digest_equal(digest, agent->newest_digest)) {
		agent->counts.bad_digest++;
		return;
	}
	if (version <= current_version(agent))
		return;
	add_source(agent, instance, address);
	if (pull_needed(agent) && !agent->pulling)
		send_get(agent, now_us);
}

static void
write_announce(bf_agent_t *agent)
{
	bf_wire_writer_clear(&agent->writer);
	bf_wire_write_header(
	    &agent->writer, BF_MESSAGE_ANNOUNCE, agent->instance);
	bf_wire_write_uint(&agent->writer, agent->current->version);
	bf_wire_write_uint(&agent->writer, agent->current->digest.high);
	bf_wire_write_uint(&agent->writer, agent->current->digest.low);
}

static void
announce(bf_agent_t *agent, const char *except)
{
	write_announce(agent);
	agent->output->vtable->announce(agent->output, except,
	    agent->writer.buffer.data, agent->writer.buffer.size);
}

/* Takes ownership of the snapshot in any case. */
static bf_code_t
put_in_force(bf_agent_t *agent, bf_snapshot_t *snapshot, const char *from)
{
	bf_snapshot_t *old;
	bf_code_t code;

	if (snapshot->version <= current_version(agent)) {
		agent->counts.stale++;
		bf_snapshot_free(snapshot);
		return BF_ERR_STALE;
	}
	if (snapshot->version < agent->floor) {
		agent->counts.below_floor++;
		bf_snapshot_free(snapshot);
		return BF_ERR_STALE;
	}
	code = agent->output->vtable->apply(agent->output, snapshot);
	if (code != BF_OK) {
		agent->counts.check_failed++;
		if (snapshot->version > agent->rejected_version)
			agent->rejected_version = snapshot->version;
		bf_snapshot_free(snapshot);
		return code;
	}
	old = agent->current;
	agent->current = snapshot;
	agent->counts.applied++;
	if (snapshot->version > agent->newest_version) {
		agent->newest_version = snapshot->version;
		agent->newest_digest = snapshot->digest;
		agent->source_count = 0;
	}
	drop_encoded(agent);
	if (old != NULL) {
		bf_history_add(&agent->history, old);
		bf_snapshot_free(old);
	}
	announce(agent, from);
	return BF_OK;
}

bf_code_t
bf_agent_offer(bf_agent_t *agent, bf_snapshot_t *snapshot, bf_time_us_t now_us)
{
	(void)now_us;
	return put_in_force(agent, snapshot, "");
}

static bool
encode_current(bf_agent_t *agent)
{
	if (agent->encoded != NULL)
		return true;
	apr_pool_create(&agent->encoded_pool, NULL);
	if (bf_snapshot_encode(agent->current, agent->encoded_pool,
		&agent->encoded, &agent->encoded_bytes, NULL) == BF_OK)
		return true;
	drop_encoded(agent);
	return false;
}

static void
send_content(bf_agent_t *agent, bf_message_kind_t kind, const char *to,
    const void *data, size_t data_bytes)
{
	bf_wire_writer_clear(&agent->writer);
	bf_wire_write_header(&agent->writer, kind, agent->instance);
	if (data != NULL)
		bf_wire_write_bytes(&agent->writer, data, data_bytes);
	agent->output->vtable->send(agent->output, to, "",
	    agent->writer.buffer.data, agent->writer.buffer.size);
	if (agent->writer.buffer.alloc > 65536) {
		bf_wire_writer_free(&agent->writer);
		bf_wire_writer_init(&agent->writer);
	}
}

static bool
may_serve_full(bf_agent_t *agent, bf_time_us_t now_us)
{
	if (now_us - agent->window_start_us >= BF_US_PER_S) {
		agent->window_start_us = now_us;
		agent->requests_in_window = 0;
	}
	return agent->requests_in_window++ < SNAPSHOTS_PER_S_MAX;
}

static void
receive_get(bf_agent_t *agent, const char *from, bf_wire_reader_t *reader,
    bf_time_us_t now_us)
{
	bf_digest_t base;
	uint64_t version;
	uint64_t requested;
	const void *delta;
	size_t delta_bytes;

	version = bf_wire_read_uint(reader, UINT64_MAX);
	base.high = bf_wire_read_uint(reader, UINT64_MAX);
	base.low = bf_wire_read_uint(reader, UINT64_MAX);
	requested = bf_wire_read_uint(reader, UINT64_MAX);
	if (reader->code != BF_OK || current_version(agent) <= version)
		return;
	if (agent->unconfirmed ||
	    bf_agent_desired_version(agent) > current_version(agent)) {
		agent->counts.refused++;
		send_content(agent, BF_MESSAGE_REFUSED, from, NULL, 0);
		return;
	}
	/* The requester discards content of a version not announced to it. */
	if (requested != current_version(agent)) {
		write_announce(agent);
		agent->output->vtable->send(agent->output, from, "",
		    agent->writer.buffer.data, agent->writer.buffer.size);
	}
	if (bf_history_delta(&agent->history, version, base, agent->current,
		&delta, &delta_bytes)) {
		agent->counts.deltas_served++;
		send_content(agent, BF_MESSAGE_DELTA, from, delta, delta_bytes);
	} else if (may_serve_full(agent, now_us) && encode_current(agent)) {
		agent->counts.snapshots_served++;
		send_content(agent, BF_MESSAGE_SNAPSHOT, from, agent->encoded,
		    agent->encoded_bytes);
	} else {
		agent->counts.refused++;
		send_content(agent, BF_MESSAGE_REFUSED, from, NULL, 0);
	}
}

static void
count_error(bf_agent_t *agent, bf_code_t code)
{
	switch (code) {
	case BF_ERR_BASE:
		agent->counts.bad_base++;
		break;
	case BF_ERR_STALE:
		agent->counts.stale++;
		break;
	case BF_ERR_DIGEST:
		agent->counts.bad_digest++;
		break;
	default:
		agent->counts.check_failed++;
		break;
	}
}

/*
 * Whether version and digest match the newest announcement or the last pull
 * request.  Both are compared, as the digest does not cover the version.
 */
static bool
is_announced(const bf_agent_t *agent, const bf_snapshot_t *snapshot)
{
	return (snapshot->version == agent->newest_version &&
		   bf_digest_equal(snapshot->digest, agent->newest_digest)) ||
	    (snapshot->version == agent->requested_version &&
		bf_digest_equal(snapshot->digest, agent->requested_digest));
}

static bf_code_t
decode(bf_agent_t *agent, bf_message_kind_t kind, const void *data,
    size_t data_bytes, bf_snapshot_t **out)
{
	bf_code_t code;

	if (kind == BF_MESSAGE_SNAPSHOT)
		code = bf_snapshot_decode(data, data_bytes, out, NULL);
	else if (agent->current == NULL)
		code = BF_ERR_BASE;
	else
		code =
		    bf_delta_apply(agent->current, data, data_bytes, out, NULL);
	if (code != BF_OK)
		return code;
	if (is_announced(agent, *out))
		return BF_OK;
	code = (*out)->version <= current_version(agent) ? BF_ERR_STALE
							 : BF_ERR_DIGEST;
	bf_snapshot_free(*out);
	return code;
}

static void
receive_content(bf_agent_t *agent, bf_message_kind_t kind, const char *from,
    bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	bf_snapshot_t *snapshot;
	const void *data;
	size_t data_bytes;
	bf_code_t code;

	data = bf_wire_read_bytes(reader, BF_SNAPSHOT_BYTES_MAX, &data_bytes);
	if (reader->code != BF_OK)
		return;
	code = decode(agent, kind, data, data_bytes, &snapshot);
	if (code == BF_OK)
		code = put_in_force(agent, snapshot, from);
	else
		count_error(agent, code);
	if (code == BF_OK && kind == BF_MESSAGE_DELTA)
		agent->counts.applied_delta++;
	if (code == BF_OK)
		agent->needs_full = false;
	else if (kind == BF_MESSAGE_DELTA && code != BF_ERR_STALE)
		agent->needs_full = true;
	schedule_retry(agent, now_us);
}

static void
receive_announce(bf_agent_t *agent, const char *from, bf_wire_reader_t *reader,
    bf_time_us_t now_us)
{
	bf_digest_t digest;
	uint64_t version;

	version = bf_wire_read_uint(reader, UINT64_MAX);
	digest.high = bf_wire_read_uint(reader, UINT64_MAX);
	digest.low = bf_wire_read_uint(reader, UINT64_MAX);
	if (reader->code == BF_OK)
		bf_agent_observe_version(
		    agent, from, "", version, digest, now_us);
}

bf_code_t
bf_agent_receive(bf_agent_t *agent, bf_message_kind_t kind, const char *from,
    bf_wire_reader_t *reader, bf_time_us_t now_us)
{
	switch (kind) {
	case BF_MESSAGE_ANNOUNCE:
		receive_announce(agent, from, reader, now_us);
		break;
	case BF_MESSAGE_GET:
		receive_get(agent, from, reader, now_us);
		break;
	case BF_MESSAGE_DELTA:
	case BF_MESSAGE_SNAPSHOT:
		receive_content(agent, kind, from, reader, now_us);
		break;
	case BF_MESSAGE_REFUSED:
		schedule_retry(agent, now_us);
		break;
	default:
		reader->code = BF_ERR_RANGE;
		break;
	}
	return reader->code;
}

/*
 * Resets newest_version when no peer that announced it has delivered it.  A
 * false announcement must not block versions that do exist; a peer that does
 * have it announces it again with its next heartbeat.
 */
static void
discard_newest(bf_agent_t *agent)
{
	agent->newest_version = current_version(agent);
	if (agent->current != NULL)
		agent->newest_digest = agent->current->digest;
	agent->source_count = 0;
	agent->attempts = 0;
}

void
bf_agent_tick(bf_agent_t *agent, bf_time_us_t now_us)
{
	if (now_us < agent->next_pull_us)
		return;
	if (agent->pulling) {
		agent->counts.timeouts++;
		agent->pulling = false;
	}
	if (!pull_needed(agent))
		return;
	if (agent->attempts >= ATTEMPTS_PER_SOURCE * agent->source_count) {
		discard_newest(agent);
		return;
	}
	send_get(agent, now_us);
}

const bf_snapshot_t *
bf_agent_current(const bf_agent_t *agent)
{
	return agent->current;
}

uint64_t
bf_agent_newest_version(const bf_agent_t *agent)
{
	return agent->newest_version;
}

bool
bf_agent_is_below_floor(const bf_agent_t *agent)
{
	return agent->floor > current_version(agent);
}

bf_agent_counts_t
bf_agent_counts(const bf_agent_t *agent)
{
	return agent->counts;
}
