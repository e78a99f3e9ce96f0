#include <stddef.h>
#include <stdint.h>

#include <apr_general.h>

#include "control/agent.h"
#include "member/member.h"

/*
 * Fuzzes the messages from other nodes: reads the header and passes the message
 * to the member or the agent, depending on its kind.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes);

static void
ignore_member_send(bf_member_output_t *output, const char *instance,
    const char *address, const void *data, size_t data_bytes)
{
	(void)output;
	(void)instance;
	(void)address;
	(void)data;
	(void)data_bytes;
}

static void
ignore_link(
    bf_member_output_t *output, const char *const *addresses, size_t count)
{
	(void)output;
	(void)addresses;
	(void)count;
}

static void
ignore_redial(bf_member_output_t *output, const char *address)
{
	(void)output;
	(void)address;
}

static void
ignore_peer_config(bf_member_output_t *output, const char *instance,
    const char *address, uint64_t version, bf_digest_t digest)
{
	(void)output;
	(void)instance;
	(void)address;
	(void)version;
	(void)digest;
}

static void
ignore_agent_send(bf_agent_output_t *output, const char *instance,
    const char *address, const void *data, size_t data_bytes)
{
	(void)output;
	(void)instance;
	(void)address;
	(void)data;
	(void)data_bytes;
}

static void
ignore_announce(bf_agent_output_t *output, const char *except, const void *data,
    size_t data_bytes)
{
	(void)output;
	(void)except;
	(void)data;
	(void)data_bytes;
}

static bf_code_t
accept_snapshot(bf_agent_output_t *output, const bf_snapshot_t *snapshot)
{
	(void)output;
	(void)snapshot;
	return BF_OK;
}

static const bf_member_output_vtable_t member_vtable = {
	.send = ignore_member_send,
	.link = ignore_link,
	.redial = ignore_redial,
	.peer_config = ignore_peer_config,
};

static const bf_agent_output_vtable_t agent_vtable = {
	.send = ignore_agent_send,
	.announce = ignore_announce,
	.apply = accept_snapshot,
};

static void
fuzz_member(bf_message_kind_t kind, const char *from, bf_wire_reader_t *reader)
{
	bf_member_output_t output = { .vtable = &member_vtable };
	bf_member_options_t options = {
		.own = { .instance = "own", .zone = "zone" },
		.heartbeat_interval_us = BF_US_PER_S,
		.suspect_after_us = 3 * BF_US_PER_S,
		.dead_after_us = 5 * BF_US_PER_S,
		.tombstone_lifetime_us = 60 * BF_US_PER_S,
		.pulls_per_s_max = 8,
		.output = &output,
	};
	bf_member_t *member;
	bf_time_us_t now_us;

	now_us = BF_US_PER_S;
	member = bf_member_new(&options, 1, now_us);
	bf_member_tick(member, now_us);
	bf_member_receive(member, kind, from, reader, now_us);
	for (; now_us < 20 * BF_US_PER_S; now_us += BF_US_PER_S)
		bf_member_tick(member, now_us);
	bf_member_free(member);
}

static void
fuzz_agent(bf_message_kind_t kind, const char *from, bf_wire_reader_t *reader)
{
	bf_agent_output_t output = { .vtable = &agent_vtable };
	bf_agent_t *agent;

	agent = bf_agent_new("own", &output, 1);
	bf_agent_set_floor(agent, 0, true);
	bf_agent_receive(agent, kind, from, reader, BF_US_PER_S);
	bf_agent_tick(agent, 5 * BF_US_PER_S);
	bf_agent_free(agent);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes)
{
	char from[BF_NAME_BYTES];
	bf_message_kind_t kind;
	bf_wire_reader_t reader;
	static bool initialized;

	if (!initialized)
		apr_initialize();
	initialized = true;
	bf_wire_reader_init(&reader, data, data_bytes);
	if (bf_wire_read_header(&reader, &kind, from) != BF_OK)
		return 0;
	if (kind < BF_MESSAGE_ANNOUNCE)
		fuzz_member(kind, from, &reader);
	else if (kind < BF_MESSAGE_DIRECT)
		fuzz_agent(kind, from, &reader);
	return 0;
}
