#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_strings.h>

#include "base/digest.h"
#include "route/endpoint.h"

/* The weight of a new target rises to its full value over this time. */
#define SLOW_START_US (10 * BF_US_PER_S)
/* Share of its full weight that a target has at the start of slow start. */
#define SLOW_START_WEIGHT_MIN 0.1

/* Consecutive failures after which a target is ejected as an outlier. */
#define EJECT_AFTER_FAILURES 5
#define EJECT_BASE_US (5 * BF_US_PER_S)
#define EJECT_MAX_US (60 * BF_US_PER_S)

/*
 * A call that was not run and took at least this long was not refused: no
 * connection to the target's node could be made.
 */
#define NO_CONNECTION_MIN_US (50 * BF_US_PER_MS)
/* Number of failures that one such call counts as. */
#define NO_CONNECTION_FAILURES 3

/* A target that refused is skipped for this time, doubled for each refusal. */
#define REFUSAL_BACKOFF_BASE_US (20 * BF_US_PER_MS)
#define REFUSAL_BACKOFF_MAX_US (320 * BF_US_PER_MS)

/* One latency sample has a weight of 1/8 in the moving average. */
#define LATENCY_AVERAGE_SHIFT 3
/* Latency assumed of a target that has not answered a call yet. */
#define INITIAL_LATENCY_US 1000

/*
 * Identifies one incarnation of a target.  It is hashed as a whole, so the
 * bytes after the end of each string are zero.
 */
typedef struct identity {
	uint64_t target_incarnation;
	uint64_t slots;
	char instance[BF_NAME_BYTES];
	char mesh_address[BF_ADDRESS_BYTES];
	char service[BF_NAME_BYTES];
	char version[BF_NAME_BYTES];
	char zone[BF_NAME_BYTES];
} identity_t;

struct bf_endpoint {
	_Atomic uint32_t references;
	_Atomic uint32_t in_flight;
	_Atomic int64_t latency_us; /* moving average */
	_Atomic uint32_t failures;  /* consecutive */
	_Atomic uint32_t ejections; /* consecutive */
	_Atomic uint32_t refusals;  /* consecutive */
	_Atomic bf_time_us_t ejected_until_us;
	_Atomic bf_time_us_t refusing_until_us;

	/* Constant after creation. */
	bf_time_us_t first_seen_us;
	identity_t identity;
	bf_digest_t key; /* digest of the identity */

	/* Owned by the set; only the thread that compiles tables uses them. */
	bf_endpoint_t *next;
	bool marked; /* returned since the last sweep */
};

struct bf_endpoint_set {
	apr_pool_t *pool;
	/* By digest of the identity; deleted entries are reused. */
	apr_hash_t *by_key;
	bf_endpoint_t *list;
};

bf_endpoint_set_t *
bf_endpoint_set_new(void)
{
	bf_endpoint_set_t *set;
	apr_pool_t *pool;

	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return NULL;
	set = apr_pcalloc(pool, sizeof(*set));
	set->pool = pool;
	set->by_key = apr_hash_make(pool);
	return set;
}

static void
fill_identity(identity_t *identity, const bf_record_t *record)
{
	memset(identity, 0, sizeof(*identity));
	identity->target_incarnation = record->target_incarnation;
	identity->slots = record->slots;
	apr_cpystrn(identity->instance, record->instance, BF_NAME_BYTES);
	apr_cpystrn(
	    identity->mesh_address, record->mesh_address, BF_ADDRESS_BYTES);
	apr_cpystrn(identity->service, record->service, BF_NAME_BYTES);
	apr_cpystrn(identity->version, record->version, BF_NAME_BYTES);
	apr_cpystrn(identity->zone, record->zone, BF_NAME_BYTES);
}

static bf_endpoint_t *
create(bf_endpoint_set_t *set, const identity_t *identity, bf_digest_t key,
    bf_time_us_t now_us)
{
	bf_endpoint_t *endpoint;

	endpoint = calloc(1, sizeof(*endpoint));
	if (endpoint == NULL)
		return NULL;
	endpoint->references = 1;
	endpoint->latency_us = INITIAL_LATENCY_US;
	endpoint->first_seen_us = now_us;
	endpoint->identity = *identity;
	endpoint->key = key;
	apr_hash_set(
	    set->by_key, &endpoint->key, sizeof(endpoint->key), endpoint);
	endpoint->next = set->list;
	set->list = endpoint;
	return endpoint;
}

bf_endpoint_t *
bf_endpoint_set_get(
    bf_endpoint_set_t *set, const bf_record_t *record, bf_time_us_t now_us)
{
	bf_endpoint_t *endpoint;
	identity_t identity;
	bf_digest_t key;

	fill_identity(&identity, record);
	key = bf_digest_of(&identity, sizeof(identity));
	endpoint = apr_hash_get(set->by_key, &key, sizeof(key));
	if (endpoint == NULL)
		endpoint = create(set, &identity, key, now_us);
	if (endpoint != NULL)
		endpoint->marked = true;
	return endpoint;
}

void
bf_endpoint_set_sweep(bf_endpoint_set_t *set)
{
	bf_endpoint_t **link, *endpoint;

	link = &set->list;
	while ((endpoint = *link) != NULL) {
		if (endpoint->marked) {
			endpoint->marked = false;
			link = &endpoint->next;
			continue;
		}
		*link = endpoint->next;
		apr_hash_set(
		    set->by_key, &endpoint->key, sizeof(endpoint->key), NULL);
		bf_endpoint_release(endpoint);
	}
}

void
bf_endpoint_set_free(bf_endpoint_set_t *set)
{
	bf_endpoint_t *endpoint;

	if (set == NULL)
		return;
	for (endpoint = set->list; endpoint != NULL; endpoint = endpoint->next)
		endpoint->marked = false;
	bf_endpoint_set_sweep(set);
	apr_pool_destroy(set->pool);
}

void
bf_endpoint_begin(bf_endpoint_t *endpoint, bf_time_us_t now_us)
{
	(void)now_us;
	atomic_fetch_add_explicit(
	    &endpoint->in_flight, 1, memory_order_relaxed);
}

/*
 * Concurrent updates by several workers may lose a sample, which a moving
 * average tolerates.
 */
static void
add_latency(bf_endpoint_t *endpoint, bf_time_us_t latency_us)
{
	int64_t average;

	average =
	    atomic_load_explicit(&endpoint->latency_us, memory_order_relaxed);
	average += (latency_us - average) / (1 << LATENCY_AVERAGE_SHIFT);
	atomic_store_explicit(
	    &endpoint->latency_us, average, memory_order_relaxed);
}

static bf_time_us_t
backoff_us(bf_time_us_t base_us, uint32_t times, bf_time_us_t max_us)
{
	while (times-- > 0 && base_us < max_us)
		base_us *= 2;
	return base_us < max_us ? base_us : max_us;
}

static void
record_failures(bf_endpoint_t *endpoint, uint32_t count, bf_time_us_t now_us)
{
	uint32_t failures, ejections;

	failures = atomic_fetch_add(&endpoint->failures, count) + count;
	if (failures < EJECT_AFTER_FAILURES)
		return;
	ejections = atomic_fetch_add(&endpoint->ejections, 1);
	atomic_store(&endpoint->ejected_until_us,
	    now_us + backoff_us(EJECT_BASE_US, ejections, EJECT_MAX_US));
	atomic_store(&endpoint->failures, 0);
}

static void
record_refusal(bf_endpoint_t *endpoint, bf_time_us_t now_us)
{
	uint32_t refusals;

	refusals = atomic_fetch_add(&endpoint->refusals, 1);
	atomic_store(&endpoint->refusing_until_us,
	    now_us +
		backoff_us(
		    REFUSAL_BACKOFF_BASE_US, refusals, REFUSAL_BACKOFF_MAX_US));
}

static void
record_success(bf_endpoint_t *endpoint)
{
	if (atomic_load(&endpoint->failures) != 0)
		atomic_store(&endpoint->failures, 0);
	if (atomic_load(&endpoint->ejections) != 0)
		atomic_store(&endpoint->ejections, 0);
	if (atomic_load(&endpoint->refusals) != 0)
		atomic_store(&endpoint->refusals, 0);
}

void
bf_endpoint_end(bf_endpoint_t *endpoint, bf_endpoint_result_t result,
    bf_time_us_t latency_us, bf_time_us_t now_us)
{
	atomic_fetch_sub_explicit(
	    &endpoint->in_flight, 1, memory_order_relaxed);
	switch (result) {
	case BF_ENDPOINT_RESULT_OK:
		add_latency(endpoint, latency_us);
		record_success(endpoint);
		break;
	case BF_ENDPOINT_RESULT_FAILED:
	case BF_ENDPOINT_RESULT_UNKNOWN:
		add_latency(endpoint, latency_us);
		record_failures(endpoint, 1, now_us);
		break;
	case BF_ENDPOINT_RESULT_NOT_RUN:
		record_refusal(endpoint, now_us);
		if (latency_us >= NO_CONNECTION_MIN_US)
			record_failures(
			    endpoint, NO_CONNECTION_FAILURES, now_us);
		break;
	case BF_ENDPOINT_RESULT_CANCELLED:
		break;
	}
}

/* Rises from SLOW_START_WEIGHT_MIN to 1 over SLOW_START_US. */
static double
slow_start_weight(const bf_endpoint_t *endpoint, bf_time_us_t now_us)
{
	bf_time_us_t age_us;
	double weight;

	age_us = bf_endpoint_age_us(endpoint, now_us);
	if (age_us >= SLOW_START_US)
		return 1.0;
	weight = (double)age_us / (double)SLOW_START_US;
	return weight > SLOW_START_WEIGHT_MIN ? weight : SLOW_START_WEIGHT_MIN;
}

double
bf_endpoint_cost(const bf_endpoint_t *endpoint, bf_time_us_t now_us)
{
	double in_flight, latency, weight;

	in_flight = (double)atomic_load_explicit(
	    &endpoint->in_flight, memory_order_relaxed);
	latency = (double)atomic_load_explicit(
	    &endpoint->latency_us, memory_order_relaxed);
	weight = slow_start_weight(endpoint, now_us) *
	    (double)(endpoint->identity.slots > 0 ? endpoint->identity.slots
						  : 1);
	return (in_flight + 1.0) * (latency + 1.0) / weight;
}

bool
bf_endpoint_ejected(const bf_endpoint_t *endpoint, bf_time_us_t now_us)
{
	return atomic_load_explicit(
		   &endpoint->ejected_until_us, memory_order_relaxed) > now_us;
}

bool
bf_endpoint_refusing(const bf_endpoint_t *endpoint, bf_time_us_t now_us)
{
	return atomic_load_explicit(
		   &endpoint->refusing_until_us, memory_order_relaxed) > now_us;
}

const char *
bf_endpoint_instance(const bf_endpoint_t *endpoint)
{
	return endpoint->identity.instance;
}

const char *
bf_endpoint_mesh_address(const bf_endpoint_t *endpoint)
{
	return endpoint->identity.mesh_address;
}

const char *
bf_endpoint_version(const bf_endpoint_t *endpoint)
{
	return endpoint->identity.version;
}

const char *
bf_endpoint_service(const bf_endpoint_t *endpoint)
{
	return endpoint->identity.service;
}

const char *
bf_endpoint_zone(const bf_endpoint_t *endpoint)
{
	return endpoint->identity.zone;
}

bf_time_us_t
bf_endpoint_age_us(const bf_endpoint_t *endpoint, bf_time_us_t now_us)
{
	return now_us - endpoint->first_seen_us;
}

uint64_t
bf_endpoint_incarnation(const bf_endpoint_t *endpoint)
{
	return endpoint->identity.target_incarnation;
}

uint32_t
bf_endpoint_in_flight(const bf_endpoint_t *endpoint)
{
	return atomic_load_explicit(&endpoint->in_flight, memory_order_relaxed);
}

void
bf_endpoint_hold(bf_endpoint_t *endpoint)
{
	atomic_fetch_add_explicit(
	    &endpoint->references, 1, memory_order_relaxed);
}

void
bf_endpoint_release(bf_endpoint_t *endpoint)
{
	if (atomic_fetch_sub(&endpoint->references, 1) == 1)
		free(endpoint);
}
