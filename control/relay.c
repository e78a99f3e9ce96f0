#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "control/relay_internal.h"

#define BACKOFF_BASE_MS 200
#define BACKOFF_LIMIT_MS 10000
#define EXTRA_CANDIDATES 2
#define STEP_INTERVAL_US (200 * BF_US_PER_MS)
/* Time to join through the configured seeds before reading the store's. */
#define SEED_DELAY_US (1500 * BF_US_PER_MS)
/* Mean interval of reading the seeds by a node that is alone and a relay. */
#define SEED_INTERVAL_ALONE_US (2 * BF_US_PER_S)
#define SEED_INTERVAL_HOLDER_US (15 * BF_US_PER_S)
#define OUTCOMES_MAX 64

bf_relay_t *
bf_relay_new(const bf_relay_options_t *options)
{
	bf_relay_t *relay;

	relay = calloc(1, sizeof(*relay));
	if (relay == NULL)
		return NULL;
	relay->options = *options;
	relay->store = options->store;
	snprintf(relay->prefix, sizeof(relay->prefix), "%s", options->prefix);
	snprintf(
	    relay->instance, sizeof(relay->instance), "%s", options->instance);
	snprintf(relay->zone, sizeof(relay->zone), "%s", options->zone);
	snprintf(relay->control_address, sizeof(relay->control_address), "%s",
	    options->control_address);
	relay->backoff = (bf_backoff_t){ .base_ms = BACKOFF_BASE_MS,
		.limit_ms = BACKOFF_LIMIT_MS };
	relay->lease.ttl_us =
	    (bf_time_us_t)options->lease_ttl_ms * BF_US_PER_MS;
	relay->rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(relay->rng, options->rng_seed);
	apr_pool_create(&relay->pool, NULL);
	apr_thread_mutex_create(
	    &relay->lock, APR_THREAD_MUTEX_DEFAULT, relay->pool);
	relay->status.store_up = true;
	relay->started_us = options->output->vtable->clock(options->output);
	return relay;
}

static void
outcome_free(outcome_t *outcome)
{
	free(outcome->key);
	free(outcome->data);
	free(outcome);
}

void
bf_relay_free(bf_relay_t *relay)
{
	outcome_t *outcome;

	if (relay == NULL)
		return;
	while ((outcome = relay->outcomes) != NULL) {
		relay->outcomes = outcome->next;
		outcome_free(outcome);
	}
	if (relay->chunk_pool != NULL)
		apr_pool_destroy(relay->chunk_pool);
	gsl_rng_free(relay->rng);
	apr_pool_destroy(relay->pool);
	free(relay);
}

bf_time_us_t
bf_relay_now(bf_relay_t *relay)
{
	return relay->options.output->vtable->clock(relay->options.output);
}

/*
 * Records the result of a store call; true when the store answered.  A missing
 * key and a compare-and-swap conflict are answers, not failures of the store.
 */
bool
bf_relay_record_result(bf_relay_t *relay, bf_code_t code)
{
	bool up;

	up = code == BF_OK || code == BF_ERR_NOT_FOUND ||
	    code == BF_ERR_CONFLICT;
	apr_thread_mutex_lock(relay->lock);
	relay->status.calls++;
	relay->status.failures += !up;
	if (relay->status.store_up != up)
		bf_log_line(relay->options.log, up ? LOG_NOTICE : LOG_WARNING,
		    "the store %s",
		    up ? "is available again" : "is unavailable");
	relay->status.store_up = up;
	apr_thread_mutex_unlock(relay->lock);
	if (up) {
		bf_backoff_succeeded(&relay->backoff);
		relay->next_call_us = 0;
	} else {
		relay->next_call_us = bf_backoff_failed(
		    &relay->backoff, bf_relay_now(relay), relay->rng);
	}
	return up;
}

static void
set_held(bf_relay_t *relay, bool held)
{
	apr_thread_mutex_lock(relay->lock);
	if (relay->status.held && !held)
		relay->status.lapses++;
	if (relay->status.held != held)
		bf_log_line(relay->options.log, LOG_NOTICE,
		    held ? "became a relay of zone %s"
			 : "no longer a relay of zone %s",
		    relay->zone);
	relay->status.held = held;
	/* A deadline; bf_relay_status makes it a duration. */
	relay->status.lease_remaining_us = held ? relay->lease.deadline_us : 0;
	apr_thread_mutex_unlock(relay->lock);
}

bf_relay_view_t
bf_relay_get_view(bf_relay_t *relay)
{
	bf_relay_view_t view;

	apr_thread_mutex_lock(relay->lock);
	view = relay->view;
	apr_thread_mutex_unlock(relay->lock);
	return view;
}

static void
schedule_acquire(bf_relay_t *relay)
{
	unsigned long interval_us;

	interval_us =
	    (unsigned long)relay->options.acquire_interval_ms * BF_US_PER_MS;
	relay->next_acquire_us = bf_relay_now(relay) +
	    (bf_time_us_t)(interval_us / 2) +
	    (bf_time_us_t)gsl_rng_uniform_int(relay->rng, interval_us);
}

static void
publish_seed(bf_relay_t *relay, apr_pool_t *pool)
{
	const char *key;

	key = apr_psprintf(
	    pool, "%sseed/%s/%s", relay->prefix, relay->zone, relay->instance);
	bf_relay_record_result(relay,
	    bf_store_put(relay->store, key, relay->control_address,
		strlen(relay->control_address), relay->lease_id, NULL));
}

static bool
acquire_slot(bf_relay_t *relay, apr_pool_t *pool)
{
	const char *key;
	bf_code_t code;
	uint32_t i;

	for (i = 0; i < relay->options.slots; i++) {
		key = apr_psprintf(
		    pool, "%srelay/%s/%u", relay->prefix, relay->zone, i);
		code = bf_store_acquire(relay->store, key, relay->instance,
		    strlen(relay->instance), relay->lease_id, NULL);
		if (!bf_relay_record_result(relay, code))
			return false;
		if (code == BF_OK)
			return true;
	}
	return false;
}

/*
 * Whether the zone has a vacant slot.  Checked first, since it costs one read
 * where an attempt to acquire costs writes.
 */
static bool
has_vacant_slot(bf_relay_t *relay, apr_pool_t *pool)
{
	bf_store_value_t *values;
	const char *prefix;
	bf_code_t code;
	size_t count;

	prefix = apr_psprintf(pool, "%srelay/%s/", relay->prefix, relay->zone);
	code = bf_store_list(relay->store, prefix, pool, &values, &count, NULL);
	return bf_relay_record_result(relay, code) && code == BF_OK &&
	    count < relay->options.slots;
}

static void
try_acquire(bf_relay_t *relay, apr_pool_t *pool)
{
	bf_time_us_t call_start_us;
	const char *lease;
	bf_code_t code;

	schedule_acquire(relay);
	if (!has_vacant_slot(relay, pool))
		return;
	call_start_us = bf_relay_now(relay);
	code = bf_store_lease_grant(
	    relay->store, relay->options.lease_ttl_ms, pool, &lease, NULL);
	if (!bf_relay_record_result(relay, code) || code != BF_OK)
		return;
	snprintf(relay->lease_id, sizeof(relay->lease_id), "%s", lease);
	if (!acquire_slot(relay, pool)) {
		bf_relay_record_result(
		    relay, bf_store_lease_revoke(relay->store, lease, NULL));
		return;
	}
	bf_lease_renewed(&relay->lease, call_start_us);
	relay->head_index = 0;
	relay->list_outcomes_due = true;
	set_held(relay, true);
	publish_seed(relay, pool);
}

static void
lose_lease(bf_relay_t *relay)
{
	bf_lease_lost(&relay->lease);
	set_held(relay, false);
	schedule_acquire(relay);
}

static void
renew(bf_relay_t *relay)
{
	bf_time_us_t call_start_us;
	bf_code_t code;

	call_start_us = bf_relay_now(relay);
	code = bf_store_lease_renew(relay->store, relay->lease_id, NULL);
	if (!bf_relay_record_result(relay, code))
		return;
	if (code != BF_OK) {
		lose_lease(relay);
		return;
	}
	bf_lease_renewed(&relay->lease, call_start_us);
	set_held(relay, true);
}

static void
list_outcomes(bf_relay_t *relay, apr_pool_t *pool)
{
	bf_relay_output_t *output;
	bf_store_value_t *values;
	const char *prefix;
	bf_code_t code;
	size_t count;
	size_t i;

	prefix = apr_psprintf(pool, "%soutcome/", relay->prefix);
	code = bf_store_list(relay->store, prefix, pool, &values, &count, NULL);
	if (!bf_relay_record_result(relay, code) || code != BF_OK)
		return;
	relay->list_outcomes_due = false;
	output = relay->options.output;
	for (i = 0; i < count; i++)
		output->vtable->outcome(output, values[i].key + strlen(prefix),
		    values[i].data, values[i].data_bytes);
}

/* The oldest queued outcome; it stays valid, as only this thread removes. */
static outcome_t *
peek_outcome(bf_relay_t *relay)
{
	outcome_t *outcome;

	apr_thread_mutex_lock(relay->lock);
	outcome = relay->outcomes;
	apr_thread_mutex_unlock(relay->lock);
	return outcome;
}

static void
remove_outcome(bf_relay_t *relay, outcome_t *outcome, bool written)
{
	apr_thread_mutex_lock(relay->lock);
	relay->outcomes = outcome->next;
	relay->outcome_count--;
	relay->status.outcomes_written += written;
	apr_thread_mutex_unlock(relay->lock);
	outcome_free(outcome);
}

/*
 * Creates the queued outcomes in the store.  An outcome is never overwritten:
 * on a conflict this relay reads the one that is there.  A write without a
 * certain result is retried, and if it did take effect, ends in a conflict.
 */
static void
write_outcomes(bf_relay_t *relay, apr_pool_t *pool)
{
	outcome_t *outcome;
	const char *key;
	bf_code_t code;

	while ((outcome = peek_outcome(relay)) != NULL) {
		if (!bf_lease_held(&relay->lease, bf_relay_now(relay)))
			return;
		key = apr_psprintf(
		    pool, "%soutcome/%s", relay->prefix, outcome->key);
		code =
		    bf_store_compare_and_swap(relay->store, key, outcome->data,
			outcome->data_bytes, BF_STORE_INDEX_ABSENT, NULL);
		if (!bf_relay_record_result(relay, code))
			return;
		remove_outcome(relay, outcome, code == BF_OK);
		if (code == BF_ERR_CONFLICT)
			relay->list_outcomes_due = true;
	}
}

/*
 * Reads the addresses of seed nodes from the store when due.  Nodes that start
 * at the same time find no seed, and each forms a mesh of its own.  Therefore
 * nodes without peers read the seeds repeatedly, and relays do so at a longer
 * interval, so that separate meshes merge.
 */
static void
read_seeds(bf_relay_t *relay, bf_time_us_t interval_us, apr_pool_t *pool)
{
	char address[BF_ADDRESS_BYTES];
	bf_relay_output_t *output;
	bf_store_value_t *values;
	const char *prefix;
	bf_code_t code;
	size_t count;
	size_t i;

	if (bf_relay_now(relay) < relay->next_seeds_us)
		return;
	relay->next_seeds_us = bf_relay_now(relay) + interval_us / 2 +
	    (bf_time_us_t)gsl_rng_uniform_int(
		relay->rng, (unsigned long)interval_us);
	prefix = apr_psprintf(pool, "%sseed/", relay->prefix);
	code = bf_store_list(relay->store, prefix, pool, &values, &count, NULL);
	if (!bf_relay_record_result(relay, code) || code != BF_OK)
		return;
	output = relay->options.output;
	for (i = 0; i < count; i++) {
		if (values[i].data_bytes >= sizeof(address))
			continue;
		snprintf(address, sizeof(address), "%.*s",
		    (int)values[i].data_bytes, (const char *)values[i].data);
		output->vtable->seed(output, address);
	}
}

static void
step_holder(bf_relay_t *relay, apr_pool_t *pool)
{
	bf_time_us_t now_us;
	uint32_t wait_ms;

	now_us = bf_relay_now(relay);
	if (!bf_lease_held(&relay->lease, now_us)) {
		lose_lease(relay);
		return;
	}
	if (bf_lease_renewal_due(&relay->lease, now_us))
		renew(relay);
	if (!bf_lease_held(&relay->lease, bf_relay_now(relay)))
		return;
	if (relay->next_call_us == 0)
		read_seeds(relay, SEED_INTERVAL_HOLDER_US, pool);
	if (relay->next_call_us == 0)
		write_outcomes(relay, pool);
	if (relay->list_outcomes_due && relay->next_call_us == 0)
		list_outcomes(relay, pool);
	wait_ms = relay->list_outcomes_due ? 0 : relay->options.watch_wait_ms;
	if (relay->next_call_us == 0)
		bf_relay_watch_head(relay, wait_ms, pool);
}

/*
 * Whether a node that got no slot reads the head once by itself: it has no
 * configuration and no peer to pull one from.
 */
static bool
needs_head_read(const bf_relay_view_t *view)
{
	return view->joined && view->alone && view->version == 0;
}

static void
step_candidate(bf_relay_t *relay, apr_pool_t *pool)
{
	bf_relay_view_t view;
	bf_time_us_t now_us;

	view = bf_relay_get_view(relay);
	now_us = bf_relay_now(relay);
	if ((!view.joined || view.alone) &&
	    now_us - relay->started_us > SEED_DELAY_US)
		read_seeds(relay, SEED_INTERVAL_ALONE_US, pool);
	if (!view.joined || relay->next_call_us != 0)
		return;
	if (!relay->acquire_scheduled) {
		relay->acquire_scheduled = true;
		relay->next_acquire_us = now_us +
		    (bf_time_us_t)gsl_rng_uniform_int(relay->rng, BF_US_PER_S);
	}
	if (now_us < relay->next_acquire_us ||
	    view.rank >= relay->options.slots + EXTRA_CANDIDATES)
		return;
	try_acquire(relay, pool);
	if (!bf_lease_held(&relay->lease, bf_relay_now(relay)) &&
	    needs_head_read(&view) && relay->next_call_us == 0)
		bf_relay_watch_head(relay, 0, pool);
}

bf_time_us_t
bf_relay_step(bf_relay_t *relay)
{
	bf_time_us_t wait_us;
	apr_pool_t *pool;

	wait_us = relay->next_call_us - bf_relay_now(relay);
	if (relay->lease.deadline_us != 0 &&
	    !bf_lease_held(&relay->lease, bf_relay_now(relay)))
		lose_lease(relay);
	if (wait_us > 0)
		return wait_us < STEP_INTERVAL_US ? wait_us : STEP_INTERVAL_US;
	relay->next_call_us = 0;
	apr_pool_create(&pool, NULL);
	if (relay->lease.deadline_us != 0)
		step_holder(relay, pool);
	else
		step_candidate(relay, pool);
	apr_pool_destroy(pool);
	return relay->lease.deadline_us != 0 && relay->next_call_us == 0
	    ? 0
	    : STEP_INTERVAL_US;
}

void
bf_relay_resign(bf_relay_t *relay)
{
	if (!bf_lease_held(&relay->lease, bf_relay_now(relay)))
		return;
	bf_lease_lost(&relay->lease);
	set_held(relay, false);
	bf_relay_record_result(
	    relay, bf_store_lease_revoke(relay->store, relay->lease_id, NULL));
}

void
bf_relay_set_view(bf_relay_t *relay, const bf_relay_view_t *view)
{
	apr_thread_mutex_lock(relay->lock);
	relay->view = *view;
	apr_thread_mutex_unlock(relay->lock);
}

/* The link that ends the queue, or NULL when the key is queued already. */
static outcome_t **
outcome_end(bf_relay_t *relay, const char *key)
{
	outcome_t **link;

	for (link = &relay->outcomes; *link != NULL; link = &(*link)->next) {
		if (strcmp((*link)->key, key) == 0)
			return NULL;
	}
	return link;
}

bf_code_t
bf_relay_write_outcome(
    bf_relay_t *relay, const char *key, const void *data, size_t data_bytes)
{
	outcome_t *outcome;
	outcome_t **end;
	bf_code_t code;

	code = BF_OK;
	apr_thread_mutex_lock(relay->lock);
	end = outcome_end(relay, key);
	if (!relay->status.held || end == NULL) {
		code = BF_OK;
	} else if (relay->outcome_count == OUTCOMES_MAX) {
		code = BF_ERR_LIMIT;
	} else {
		outcome = calloc(1, sizeof(*outcome));
		outcome->key = strdup(key);
		outcome->data = malloc(data_bytes + 1);
		memcpy(outcome->data, data, data_bytes);
		outcome->data_bytes = data_bytes;
		*end = outcome;
		relay->outcome_count++;
	}
	apr_thread_mutex_unlock(relay->lock);
	return code;
}

void
bf_relay_status(
    bf_relay_t *relay, bf_time_us_t now_us, bf_relay_status_t *status)
{
	apr_thread_mutex_lock(relay->lock);
	*status = relay->status;
	apr_thread_mutex_unlock(relay->lock);
	status->lease_remaining_us -= now_us;
	if (!status->held || status->lease_remaining_us <= 0) {
		status->held = false;
		status->lease_remaining_us = 0;
	}
}
