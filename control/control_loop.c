#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "control/control_internal.h"

#define TICK_US (100 * BF_US_PER_MS)
#define LINGER_MS 500
#define RELAY_SLEEP_MAX_US (50 * BF_US_PER_MS)

/* The control plane in which the output is embedded as member. */
#define CONTAINER_OF(output, member) \
	((bf_control_t *)((char *)(output)-offsetof(bf_control_t, member)))

static void
member_send(bf_member_output_t *output, const char *instance,
    const char *address, const void *data, size_t data_bytes)
{
	bf_control_t *control = CONTAINER_OF(output, member_output);

	bf_transport_send(control->transport, instance, address, data,
	    data_bytes, control->now_us);
}

static void
member_link(
    bf_member_output_t *output, const char *const *addresses, size_t count)
{
	bf_control_t *control = CONTAINER_OF(output, member_output);

	bf_transport_link(
	    control->transport, addresses, count, control->now_us);
}

static void
member_redial(bf_member_output_t *output, const char *address)
{
	bf_transport_redial(
	    CONTAINER_OF(output, member_output)->transport, address);
}

static void
member_peer_config(bf_member_output_t *output, const char *instance,
    const char *address, uint64_t version, bf_digest_t digest)
{
	bf_control_t *control = CONTAINER_OF(output, member_output);

	bf_agent_set_floor(control->agent,
	    bf_member_floor_version(control->member),
	    bf_member_joined(control->member));
	bf_agent_observe_version(control->agent, instance, address, version,
	    digest, control->now_us);
}

static const bf_member_output_vtable_t member_vtable = {
	.send = member_send,
	.link = member_link,
	.redial = member_redial,
	.peer_config = member_peer_config,
};

static void
agent_send(bf_agent_output_t *output, const char *instance, const char *address,
    const void *data, size_t data_bytes)
{
	bf_control_t *control = CONTAINER_OF(output, agent_output);

	bf_transport_send(control->transport, instance, address, data,
	    data_bytes, control->now_us);
}

static void
agent_announce(bf_agent_output_t *output, const char *except, const void *data,
    size_t data_bytes)
{
	bf_control_t *control = CONTAINER_OF(output, agent_output);
	const bf_peers_t *peers;
	const bf_peer_t *peer;
	size_t i;

	peers = bf_member_peers(control->member);
	for (i = 0; i < BF_PEERS_MAX; i++) {
		peer = &peers->slots[i];
		if (peer->instance[0] == '\0' ||
		    strcmp(peer->instance, except) == 0)
			continue;
		bf_transport_send(control->transport, peer->instance,
		    peer->address, data, data_bytes, control->now_us);
	}
}

static bf_code_t
agent_apply(bf_agent_output_t *output, const bf_snapshot_t *snapshot)
{
	bf_control_t *control = CONTAINER_OF(output, agent_output);
	const bf_control_callbacks_t *callbacks;
	bf_code_t code;

	callbacks = &control->options.callbacks;
	code = BF_OK;
	if (callbacks->snapshot != NULL)
		code = callbacks->snapshot(callbacks->ctx, snapshot);
	if (code == BF_OK)
		bf_member_set_config(control->member, snapshot->version,
		    snapshot->digest, control->now_us);
	return code;
}

static const bf_agent_output_vtable_t agent_vtable = {
	.send = agent_send,
	.announce = agent_announce,
	.apply = agent_apply,
};

static void
relay_snapshot(bf_relay_output_t *output, bf_snapshot_t *snapshot)
{
	bf_control_t *control = CONTAINER_OF(output, relay_output);
	command_t *command;

	command = bf_control_command_new(COMMAND_SNAPSHOT, 0, "", "", 0);
	if (command == NULL) {
		bf_snapshot_free(snapshot);
		return;
	}
	command->snapshot = snapshot;
	bf_control_enqueue(control, command);
}

static void
relay_seed(bf_relay_output_t *output, const char *address)
{
	bf_control_enqueue(CONTAINER_OF(output, relay_output),
	    bf_control_command_new(COMMAND_SEED, 0, address, "", 0));
}

static void
relay_outcome(bf_relay_output_t *output, const char *key, const void *data,
    size_t data_bytes)
{
	bf_control_t *control = CONTAINER_OF(output, relay_output);
	uint32_t kind;

	kind = atomic_load(&control->outcome_kind);
	if (kind != 0)
		bf_control_publish_item(control, kind, key, data, data_bytes);
}

static bf_time_us_t
relay_clock(bf_relay_output_t *output)
{
	(void)output;
	return bf_clock_monotonic_us();
}

static const bf_relay_output_vtable_t relay_vtable = {
	.snapshot = relay_snapshot,
	.seed = relay_seed,
	.outcome = relay_outcome,
	.clock = relay_clock,
};

void
bf_control_init_outputs(bf_control_t *control)
{
	control->member_output.vtable = &member_vtable;
	control->agent_output.vtable = &agent_vtable;
	control->relay_output.vtable = &relay_vtable;
	control->command_end = &control->commands;
}

void
bf_control_command_free(command_t *command)
{
	if (command == NULL)
		return;
	if (command->snapshot != NULL)
		bf_snapshot_free(command->snapshot);
	free(command->key);
	free(command->data);
	free(command);
}

static command_t *
detach_commands(bf_control_t *control)
{
	command_t *first;

	apr_thread_mutex_lock(control->command_lock);
	first = control->commands;
	control->commands = NULL;
	control->command_end = &control->commands;
	control->command_count = 0;
	apr_thread_mutex_unlock(control->command_lock);
	return first;
}

void
bf_control_drop_commands(bf_control_t *control)
{
	command_t *command;
	command_t *next;

	for (command = detach_commands(control); command != NULL;
	     command = next) {
		next = command->next;
		bf_control_command_free(command);
	}
}

static void
send_direct(bf_control_t *control, const command_t *command)
{
	bf_wire_writer_t writer;
	bf_record_t record;

	if (bf_member_find(control->member, command->key, &record) != BF_OK)
		return;
	bf_wire_writer_init(&writer);
	bf_wire_write_header(
	    &writer, BF_MESSAGE_DIRECT, control->options.instance);
	bf_wire_write_uint(&writer, command->payload_kind);
	bf_wire_write_bytes(&writer, command->data, command->data_bytes);
	bf_transport_send(control->transport, command->key,
	    record.control_address, writer.buffer.data, writer.buffer.size,
	    control->now_us);
	bf_wire_writer_free(&writer);
}

static void
offer_snapshot(bf_control_t *control, command_t *command)
{
	bf_snapshot_t *snapshot;

	snapshot = command->snapshot;
	command->snapshot = NULL;
	bf_agent_set_floor(control->agent,
	    bf_member_floor_version(control->member),
	    bf_member_joined(control->member));
	bf_agent_offer(control->agent, snapshot, control->now_us);
}

static void
run_command(bf_control_t *control, command_t *command)
{
	switch (command->kind) {
	case COMMAND_TARGET:
		bf_member_set_target(
		    control->member, command->data, control->now_us);
		break;
	case COMMAND_ITEM:
		bf_items_publish(control->items, command->payload_kind,
		    command->key, command->data, command->data_bytes,
		    control->now_us);
		break;
	case COMMAND_SEND:
		send_direct(control, command);
		break;
	case COMMAND_SEED:
		bf_member_add_seed(control->member, command->key);
		break;
	case COMMAND_SNAPSHOT:
		offer_snapshot(control, command);
		break;
	}
}

static void
run_commands(bf_control_t *control)
{
	command_t *command;
	command_t *next;
	uint64_t ignored;

	if (read(control->wake_fd, &ignored, sizeof(ignored)) < 0)
		return;
	for (command = detach_commands(control); command != NULL;
	     command = next) {
		next = command->next;
		run_command(control, command);
		bf_control_command_free(command);
	}
}

static void
receive_direct(
    bf_control_t *control, const char *from, bf_wire_reader_t *reader)
{
	const bf_control_callbacks_t *callbacks;
	const void *data;
	size_t data_bytes;
	uint32_t kind;

	kind = (uint32_t)bf_wire_read_uint(reader, UINT32_MAX);
	data = bf_wire_read_bytes(reader, BF_DIRECT_BYTES_MAX, &data_bytes);
	callbacks = &control->options.callbacks;
	if (reader->code == BF_OK && callbacks->message != NULL)
		callbacks->message(
		    callbacks->ctx, from, kind, data, data_bytes);
}

static void
receive(void *ctx, bf_message_kind_t kind, const char *from,
    bf_wire_reader_t *reader)
{
	bf_control_t *control = ctx;

	control->now_us = bf_clock_monotonic_us();
	if (kind == BF_MESSAGE_DIRECT)
		receive_direct(control, from, reader);
	else if (kind < BF_MESSAGE_ANNOUNCE)
		bf_member_receive(
		    control->member, kind, from, reader, control->now_us);
	else {
		bf_agent_set_confirmed(control->agent,
		    bf_member_config_confirmed(control->member));
		bf_agent_receive(
		    control->agent, kind, from, reader, control->now_us);
	}
	bf_member_raise_mesh_version(
	    control->member, bf_agent_desired_version(control->agent));
	bf_agent_raise_mesh_version(
	    control->agent, bf_member_mesh_version(control->member));
}

/*
 * Copies the records for other threads.  The array comes from malloc, because a
 * pool would keep every earlier array as the number of records grows.
 */
static void
publish_records(bf_control_t *control)
{
	bf_record_t *records;
	bf_record_t *old;
	size_t count;

	count = bf_member_record_count(control->member);
	records = malloc((count + 1) * sizeof(*records));
	if (records == NULL)
		return;
	count = bf_member_records(control->member, records);
	control->versions_digest = bf_member_versions_digest(control->member);
	apr_thread_mutex_lock(control->published_lock);
	old = control->records;
	control->records = records;
	control->record_count = count;
	apr_thread_mutex_unlock(control->published_lock);
	free(old);
}

static void
fill_neighbours(const bf_control_t *control, bf_control_status_t *status)
{
	const bf_peers_t *peers;
	size_t i;

	peers = bf_member_peers(control->member);
	for (i = 0; i < BF_PEERS_MAX; i++) {
		if (peers->slots[i].instance[0] != '\0')
			memcpy(status->neighbours[status->neighbour_count++],
			    peers->slots[i].instance, BF_NAME_BYTES);
	}
}

static bf_config_status_t
config_status(const bf_control_t *control)
{
	if (bf_agent_current(control->agent) != NULL)
		return BF_CONFIG_IN_FORCE;
	return bf_agent_is_below_floor(control->agent) &&
		bf_agent_newest_version(control->agent) != 0
	    ? BF_CONFIG_BELOW_FLOOR
	    : BF_CONFIG_NONE;
}

static void
publish_status(bf_control_t *control)
{
	const bf_transport_counts_t *transport;
	bf_control_status_t status = { 0 };
	const bf_snapshot_t *current;
	bf_member_counts_t counts;

	counts = bf_member_counts(control->member);
	transport = bf_transport_counts(control->transport);
	current = bf_agent_current(control->agent);
	status.config = config_status(control);
	if (current != NULL) {
		status.config_version = current->version;
		status.config_digest = current->digest;
	}
	status.floor_version = bf_member_floor_version(control->member);
	status.newest_version = bf_agent_newest_version(control->agent);
	status.joined = bf_member_joined(control->member);
	status.alive = counts.alive;
	status.suspect = counts.suspect;
	status.dead = counts.dead;
	status.sent_bytes = transport->sent_bytes;
	status.received_bytes = transport->received_bytes;
	fill_neighbours(control, &status);
	apr_thread_mutex_lock(control->published_lock);
	control->status = status;
	apr_thread_mutex_unlock(control->published_lock);
}

static void
update_relay(bf_control_t *control)
{
	const bf_snapshot_t *current;
	bf_relay_view_t view = { 0 };
	bf_member_counts_t counts;
	bf_relay_status_t relay;

	if (control->relay == NULL)
		return;
	counts = bf_member_counts(control->member);
	current = bf_agent_current(control->agent);
	view.joined = bf_member_joined(control->member);
	view.alone = counts.alive + counts.suspect <= 1;
	view.rank = control->zone_rank;
	view.version = current == NULL ? 0 : current->version;
	bf_relay_set_view(control->relay, &view);
	bf_relay_status(control->relay, control->now_us, &relay);
	bf_member_confirm_config(
	    control->member, relay.head_version, relay.head_read_us);
}

static void
tick(bf_control_t *control)
{
	const bf_control_callbacks_t *callbacks;
	bool changed;

	control->next_tick_us = control->now_us + TICK_US;
	callbacks = &control->options.callbacks;
	bf_agent_set_floor(control->agent,
	    bf_member_floor_version(control->member),
	    bf_member_joined(control->member));
	bf_agent_tick(control->agent, control->now_us);
	bf_items_tick(control->items, control->now_us);
	changed = bf_member_poll_changed(control->member);
	if (changed) {
		publish_records(control);
		control->zone_rank = bf_member_zone_rank(control->member);
	}
	publish_status(control);
	if (changed && callbacks->members != NULL)
		callbacks->members(callbacks->ctx);
	if (callbacks->tick != NULL)
		callbacks->tick(
		    callbacks->ctx, control->now_us, bf_clock_wall_us());
	if (control->now_us < control->next_second_us)
		return;
	control->next_second_us = control->now_us + BF_US_PER_S;
	bf_transport_sweep(control->transport, control->now_us);
	update_relay(control);
	bf_control_update_metrics(control);
	if (control->versions_digest !=
	    bf_member_versions_digest(control->member))
		publish_records(control);
}

static long
poll_timeout_ms(const bf_control_t *control)
{
	bf_time_us_t wait_us;
	bf_time_us_t due_us;

	due_us = bf_member_next_flush_us(control->member);
	if (control->next_tick_us < due_us)
		due_us = control->next_tick_us;
	wait_us = due_us - bf_clock_monotonic_us();
	if (wait_us <= 0)
		return 0;
	return (long)((wait_us + BF_US_PER_MS - 1) / BF_US_PER_MS);
}

static void
leave(bf_control_t *control)
{
	control->now_us = bf_clock_monotonic_us();
	bf_member_leave(control->member, control->now_us);
	publish_status(control);
	bf_transport_free(control->transport, LINGER_MS);
	control->transport = NULL;
}

void *APR_THREAD_FUNC
bf_control_run(apr_thread_t *thread, void *data)
{
	bf_control_t *control = data;

	(void)thread;
	bf_control_register_metrics(control);
	while (!atomic_load(&control->stopping)) {
		control->now_us = bf_clock_monotonic_us();
		run_commands(control);
		bf_member_tick(control->member, control->now_us);
		if (control->now_us >= control->next_tick_us)
			tick(control);
		bf_transport_poll(control->transport, control->wake_fd,
		    poll_timeout_ms(control), receive, control);
	}
	run_commands(control);
	leave(control);
	return NULL;
}

void *APR_THREAD_FUNC
bf_control_run_relay(apr_thread_t *thread, void *data)
{
	bf_control_t *control = data;
	bf_time_us_t wait_us;

	(void)thread;
	while (!atomic_load(&control->stopping)) {
		wait_us = bf_relay_step(control->relay);
		while (wait_us > 0 && !atomic_load(&control->stopping)) {
			apr_sleep(wait_us < RELAY_SLEEP_MAX_US
				? wait_us
				: RELAY_SLEEP_MAX_US);
			wait_us -= RELAY_SLEEP_MAX_US;
		}
	}
	bf_relay_resign(control->relay);
	return NULL;
}
