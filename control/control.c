#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/eventfd.h>

#include <apr_strings.h>
#include <zmq.h>

#include "control/control_internal.h"

#define HEARTBEAT_MS 1000
#define SUSPECT_HEARTBEATS 3
#define DEAD_HEARTBEATS 5
/* How long the records of dead and left members are kept. */
#define TOMBSTONE_US (600 * BF_US_PER_S)
/* Table pulls that this node serves per second at most. */
#define PULLS_PER_S 8
/* Defaults of the options relays_per_zone and lease_ttl_ms. */
#define RELAYS_PER_ZONE 2
#define LEASE_TTL_MS 15000
/* Longest wait of a relay's watch call to the store. */
#define WATCH_WAIT_MS 2000
/* Mean time between a node's attempts to acquire a relay slot. */
#define ACQUIRE_INTERVAL_MS 10000
/* Commands that wait for the control thread at most. */
#define COMMANDS_MAX 4096

static bf_code_t
check_options(const bf_control_options_t *options, bf_error_t *err)
{
	if (options->instance == NULL || options->instance[0] == '\0' ||
	    strlen(options->instance) >= BF_NAME_BYTES ||
	    options->zone == NULL || strlen(options->zone) >= BF_NAME_BYTES ||
	    options->region == NULL || strlen(options->region) >= BF_NAME_BYTES)
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "instance, zone or region is missing or too long");
	if (options->control_address == NULL ||
	    strlen(options->control_address) >= BF_ADDRESS_BYTES ||
	    options->mesh_address == NULL ||
	    strlen(options->mesh_address) >= BF_ADDRESS_BYTES)
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "control or mesh address is missing or too long");
	if (options->counters == NULL)
		return bf_error_set(
		    err, BF_ERR_ARGUMENT, "counter registry is missing");
	/* bf_transport_new checks the key pairs in full. */
	if (!options->insecure && options->mesh_public_key == NULL)
		return bf_error_set(err, BF_ERR_ARGUMENT,
		    "CURVE keys are missing, and insecure is not set");
	return BF_OK;
}

static const char *
copy_string(bf_control_t *control, const char *text)
{
	return text == NULL ? NULL : apr_pstrdup(control->pool, text);
}

static const char *const *
copy_strings(bf_control_t *control, const char *const *texts, size_t count)
{
	const char **copy;
	size_t i;

	/* One more than count, so that the size is never 0. */
	copy = apr_pcalloc(control->pool, (count + 1) * sizeof(*copy));
	for (i = 0; i < count; i++)
		copy[i] = apr_pstrdup(control->pool, texts[i]);
	return copy;
}

static uint32_t
or_default(uint32_t value, uint32_t fallback)
{
	return value != 0 ? value : fallback;
}

static void
copy_options(bf_control_t *control, const bf_control_options_t *options)
{
	bf_control_options_t *own;

	own = &control->options;
	*own = *options;
	own->instance = copy_string(control, options->instance);
	own->zone = copy_string(control, options->zone);
	own->region = copy_string(control, options->region);
	own->control_address = copy_string(control, options->control_address);
	own->mesh_address = copy_string(control, options->mesh_address);
	own->seeds = copy_strings(control, options->seeds, options->seed_count);
	own->mesh_public_key = copy_string(control, options->mesh_public_key);
	own->mesh_secret_key = copy_string(control, options->mesh_secret_key);
	own->client_public_key =
	    copy_string(control, options->client_public_key);
	own->client_secret_key =
	    copy_string(control, options->client_secret_key);
	own->allowed_keys = copy_strings(
	    control, options->allowed_keys, options->allowed_key_count);
	own->store_prefix = copy_string(control,
	    options->store_prefix == NULL ? "basilfork/"
					  : options->store_prefix);
	own->relays_per_zone =
	    or_default(options->relays_per_zone, RELAYS_PER_ZONE);
	own->lease_ttl_ms = or_default(options->lease_ttl_ms, LEASE_TTL_MS);
	own->heartbeat_ms = or_default(options->heartbeat_ms, HEARTBEAT_MS);
	own->suspect_after_ms = or_default(
	    options->suspect_after_ms, own->heartbeat_ms * SUSPECT_HEARTBEATS);
	own->dead_after_ms = or_default(
	    options->dead_after_ms, own->heartbeat_ms * DEAD_HEARTBEATS);
	own->kinds = apr_pmemdup(control->pool, options->kinds,
	    options->kind_count * sizeof(*options->kinds));
}

static bf_member_t *
create_member(bf_control_t *control, uint64_t rng_seed)
{
	const bf_control_options_t *options;
	bf_member_options_t member = { 0 };

	options = &control->options;
	member.seeds = options->seeds;
	member.seed_count = options->seed_count;
	member.heartbeat_interval_us =
	    (bf_time_us_t)options->heartbeat_ms * BF_US_PER_MS;
	member.suspect_after_us =
	    (bf_time_us_t)options->suspect_after_ms * BF_US_PER_MS;
	member.dead_after_us =
	    (bf_time_us_t)options->dead_after_ms * BF_US_PER_MS;
	member.tombstone_lifetime_us = TOMBSTONE_US;
	member.pulls_per_s_max = PULLS_PER_S;
	member.rng_seed = rng_seed;
	member.output = &control->member_output;
	apr_cpystrn(member.own.instance, options->instance, BF_NAME_BYTES);
	apr_cpystrn(member.own.zone, options->zone, BF_NAME_BYTES);
	apr_cpystrn(member.own.region, options->region, BF_NAME_BYTES);
	apr_cpystrn(member.own.control_address, options->control_address,
	    BF_ADDRESS_BYTES);
	apr_cpystrn(
	    member.own.mesh_address, options->mesh_address, BF_ADDRESS_BYTES);
	return bf_member_new(
	    &member, (uint64_t)bf_clock_wall_us(), bf_clock_monotonic_us());
}

static bf_relay_t *
create_relay(bf_control_t *control, uint64_t rng_seed)
{
	const bf_control_options_t *options;
	bf_relay_options_t relay = { 0 };

	options = &control->options;
	relay.store = options->store;
	relay.prefix = options->store_prefix;
	relay.instance = options->instance;
	relay.zone = options->zone;
	relay.control_address = options->control_address;
	relay.slots = options->relays_per_zone;
	relay.lease_ttl_ms = options->lease_ttl_ms;
	relay.watch_wait_ms = WATCH_WAIT_MS;
	relay.acquire_interval_ms = ACQUIRE_INTERVAL_MS;
	relay.rng_seed = rng_seed;
	relay.output = &control->relay_output;
	relay.log = options->log;
	return bf_relay_new(&relay);
}

static void
create_components(bf_control_t *control)
{
	const bf_control_callbacks_t *callbacks;
	uint64_t rng_seed;

	rng_seed = bf_hash_text(
	    control->options.instance, (uint64_t)bf_clock_wall_us());
	control->member = create_member(control, rng_seed);
	control->agent = bf_agent_new(
	    control->options.instance, &control->agent_output, rng_seed + 1);
	callbacks = &control->options.callbacks;
	control->items = bf_items_new(bf_member_replica(control->member),
	    control->options.kinds, control->options.kind_count,
	    callbacks->item, callbacks->ctx);
	if (control->options.store != NULL)
		control->relay = create_relay(control, rng_seed + 2);
}

bf_code_t
bf_control_new(
    const bf_control_options_t *options, bf_control_t **out, bf_error_t *err)
{
	bf_control_t *control;
	apr_pool_t *pool;
	bf_code_t code;

	code = check_options(options, err);
	if (code != BF_OK)
		return code;
	apr_pool_create(&pool, NULL);
	control = apr_pcalloc(pool, sizeof(*control));
	control->pool = pool;
	control->wake_fd = -1;
	bf_control_init_outputs(control);
	copy_options(control, options);
	apr_thread_mutex_create(
	    &control->command_lock, APR_THREAD_MUTEX_DEFAULT, pool);
	apr_thread_mutex_create(
	    &control->published_lock, APR_THREAD_MUTEX_DEFAULT, pool);
	create_components(control);
	*out = control;
	return BF_OK;
}

void
bf_control_free(bf_control_t *control)
{
	if (control == NULL)
		return;
	bf_control_drop_commands(control);
	bf_items_free(control->items);
	bf_agent_free(control->agent);
	bf_relay_free(control->relay);
	bf_member_free(control->member);
	free(control->records);
	if (control->wake_fd >= 0)
		close(control->wake_fd);
	apr_pool_destroy(control->pool);
}

static bf_code_t
open_transport(bf_control_t *control, bf_error_t *err)
{
	const bf_control_options_t *options;

	options = &control->options;
	return bf_transport_new(
	    &(bf_transport_options_t){ .instance = options->instance,
		.address = options->control_address,
		.insecure = options->insecure,
		.mesh_public_key = options->mesh_public_key,
		.mesh_secret_key = options->mesh_secret_key,
		.client_public_key = options->client_public_key,
		.client_secret_key = options->client_secret_key,
		.allowed_keys = options->allowed_keys,
		.allowed_key_count = options->allowed_key_count },
	    &control->transport, err);
}

bf_code_t
bf_control_start(bf_control_t *control, bf_error_t *err)
{
	bf_code_t code;

	code = open_transport(control, err);
	if (code != BF_OK)
		return code;
	control->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (control->wake_fd < 0 ||
	    apr_thread_create(&control->thread, NULL, bf_control_run, control,
		control->pool) != APR_SUCCESS)
		return bf_error_set(
		    err, BF_ERR_IO, "cannot start the control thread");
	if (control->relay != NULL &&
	    apr_thread_create(&control->relay_thread, NULL,
		bf_control_run_relay, control, control->pool) != APR_SUCCESS)
		return bf_error_set(
		    err, BF_ERR_IO, "cannot start the relay thread");
	return BF_OK;
}

void
bf_control_stop(bf_control_t *control)
{
	apr_status_t result;

	atomic_store(&control->stopping, true);
	bf_control_wake(control);
	if (control->thread != NULL)
		apr_thread_join(&result, control->thread);
	if (control->relay_thread != NULL)
		apr_thread_join(&result, control->relay_thread);
	control->thread = NULL;
	control->relay_thread = NULL;
}

void
bf_control_wake(bf_control_t *control)
{
	uint64_t one = 1;

	if (write(control->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		bf_log_line(control->options.log, LOG_ERR,
		    "cannot wake the control thread: %s", strerror(errno));
}

/* Takes ownership of the command, also when the queue is full. */
bf_code_t
bf_control_enqueue(bf_control_t *control, command_t *command)
{
	bool full;

	if (command == NULL)
		return BF_ERR_MEMORY;
	apr_thread_mutex_lock(control->command_lock);
	full = control->command_count >= COMMANDS_MAX;
	if (!full) {
		*control->command_end = command;
		control->command_end = &command->next;
		control->command_count++;
	}
	apr_thread_mutex_unlock(control->command_lock);
	if (full) {
		bf_control_command_free(command);
		return BF_ERR_LIMIT;
	}
	bf_control_wake(control);
	return BF_OK;
}

command_t *
bf_control_command_new(command_kind_t kind, uint32_t payload_kind,
    const char *key, const void *data, size_t data_bytes)
{
	command_t *command;

	command = calloc(1, sizeof(*command));
	if (command == NULL)
		return NULL;
	command->kind = kind;
	command->payload_kind = payload_kind;
	command->key = strdup(key);
	/* One byte more, because malloc(0) may return NULL. */
	command->data = malloc(data_bytes + 1);
	command->data_bytes = data_bytes;
	if (command->key == NULL || command->data == NULL) {
		bf_control_command_free(command);
		return NULL;
	}
	memcpy(command->data, data, data_bytes);
	return command;
}

bf_code_t
bf_control_set_target(bf_control_t *control, const bf_record_t *fields)
{
	return bf_control_enqueue(control,
	    bf_control_command_new(
		COMMAND_TARGET, 0, "", fields, sizeof(*fields)));
}

static bool
is_item_kind(const bf_control_t *control, uint32_t kind)
{
	size_t i;

	for (i = 0; i < control->options.kind_count; i++) {
		if (control->options.kinds[i].kind == kind)
			return true;
	}
	return false;
}

bf_code_t
bf_control_publish_item(bf_control_t *control, uint32_t kind, const char *key,
    const void *value, size_t value_bytes)
{
	if (!is_item_kind(control, kind) || key[0] == '\0')
		return BF_ERR_ARGUMENT;
	if (strlen(key) >= BF_ITEM_KEY_BYTES ||
	    value_bytes > BF_ITEM_VALUE_BYTES_MAX)
		return BF_ERR_TOO_LARGE;
	return bf_control_enqueue(control,
	    bf_control_command_new(
		COMMAND_ITEM, kind, key, value, value_bytes));
}

bf_code_t
bf_control_send(bf_control_t *control, const char *instance, uint32_t kind,
    const void *data, size_t data_bytes)
{
	if (data_bytes > BF_DIRECT_BYTES_MAX)
		return BF_ERR_TOO_LARGE;
	return bf_control_enqueue(control,
	    bf_control_command_new(
		COMMAND_SEND, kind, instance, data, data_bytes));
}

bf_code_t
bf_control_write_outcome(
    bf_control_t *control, const char *key, const void *data, size_t data_bytes)
{
	if (control->relay == NULL)
		return BF_OK;
	return bf_relay_write_outcome(control->relay, key, data, data_bytes);
}

void
bf_control_set_outcome_kind(bf_control_t *control, uint32_t kind)
{
	atomic_store(&control->outcome_kind, kind);
}

bf_code_t
bf_control_records(bf_control_t *control, apr_pool_t *pool,
    bf_record_t **records, size_t *count)
{
	apr_thread_mutex_lock(control->published_lock);
	*count = control->record_count;
	/* One record more, so that the size is never 0. */
	*records =
	    apr_palloc(pool, (control->record_count + 1) * sizeof(**records));
	if (control->record_count > 0)
		memcpy(*records, control->records,
		    control->record_count * sizeof(**records));
	apr_thread_mutex_unlock(control->published_lock);
	return BF_OK;
}

void
bf_control_status(bf_control_t *control, bf_control_status_t *status)
{
	bf_relay_status_t relay;

	apr_thread_mutex_lock(control->published_lock);
	*status = control->status;
	apr_thread_mutex_unlock(control->published_lock);
	if (control->relay == NULL)
		return;
	bf_relay_status(control->relay, bf_clock_monotonic_us(), &relay);
	status->relay = relay.held;
	status->lease_remaining_us = relay.lease_remaining_us;
	status->store_up = relay.store_up;
	status->store_calls = relay.calls;
}

bf_code_t
bf_control_keypair(char public_key[41], char secret_key[41], bf_error_t *err)
{
	if (zmq_curve_keypair(public_key, secret_key) != 0)
		return bf_error_set(err, BF_ERR_INTERNAL,
		    "cannot generate a CURVE key pair: %s",
		    zmq_strerror(errno));
	return BF_OK;
}
