#include "route/admission.h"

#define WAITING_PER_SLOT_MAX 2
/* Service time assumed until the first call has finished. */
#define INITIAL_SERVICE_US 1000
/* One sample has a weight of 1/16 in the moving average. */
#define SERVICE_AVERAGE_SHIFT 4

void
bf_admission_init(bf_admission_t *admission, uint32_t slots)
{
	atomic_init(&admission->slots, slots);
	atomic_init(&admission->in_flight, 0);
	atomic_init(&admission->waiting, 0);
	atomic_init(&admission->service_us, INITIAL_SERVICE_US);
}

void
bf_admission_resize(bf_admission_t *admission, uint32_t slots)
{
	atomic_store(&admission->slots, slots);
}

static bool
take_slot(bf_admission_t *admission)
{
	uint32_t in_flight;

	in_flight = atomic_load(&admission->in_flight);
	while (in_flight < atomic_load(&admission->slots)) {
		if (atomic_compare_exchange_weak(
			&admission->in_flight, &in_flight, in_flight + 1))
			return true;
	}
	return false;
}

/* The expected wait for a slot behind calls_ahead calls in the queue. */
static bf_time_us_t
expected_wait_us(const bf_admission_t *admission, uint32_t calls_ahead)
{
	uint32_t slots;

	slots = atomic_load(&admission->slots);
	if (slots == 0)
		return INT64_MAX / 2;
	return atomic_load(&admission->service_us) * (calls_ahead + 1) / slots;
}

static bool
would_miss_deadline(const bf_admission_t *admission, uint32_t calls_ahead,
    bf_time_us_t deadline_us, bf_time_us_t now_us)
{
	return now_us + expected_wait_us(admission, calls_ahead) +
	    atomic_load(&admission->service_us) >
	    deadline_us;
}

bf_admission_result_t
bf_admission_request(bf_admission_t *admission, uint32_t queue_ms,
    bf_time_us_t deadline_us, bf_time_us_t now_us)
{
	uint32_t waiting;

	if (deadline_us <= now_us)
		return BF_ADMISSION_REFUSED_DEADLINE;
	waiting = atomic_load(&admission->waiting);
	/* Calls that already wait take precedence. */
	if (waiting == 0 && take_slot(admission))
		return BF_ADMISSION_ACCEPTED;
	if (queue_ms == 0 ||
	    waiting >= WAITING_PER_SLOT_MAX * atomic_load(&admission->slots))
		return BF_ADMISSION_REFUSED_QUEUE;
	if (expected_wait_us(admission, waiting) > queue_ms * BF_US_PER_MS)
		return BF_ADMISSION_REFUSED_QUEUE;
	if (would_miss_deadline(admission, waiting, deadline_us, now_us))
		return BF_ADMISSION_REFUSED_DEADLINE;
	atomic_fetch_add(&admission->waiting, 1);
	return BF_ADMISSION_WAITING;
}

bf_admission_result_t
bf_admission_retry(bf_admission_t *admission, uint32_t queue_ms,
    bf_time_us_t waiting_since_us, bf_time_us_t deadline_us,
    bf_time_us_t now_us)
{
	bf_admission_result_t result;

	if (deadline_us <= now_us)
		result = BF_ADMISSION_REFUSED_DEADLINE;
	else if (take_slot(admission))
		result = BF_ADMISSION_ACCEPTED;
	else if (now_us - waiting_since_us >= queue_ms * BF_US_PER_MS)
		result = BF_ADMISSION_REFUSED_QUEUE;
	else
		return BF_ADMISSION_WAITING;
	atomic_fetch_sub(&admission->waiting, 1);
	return result;
}

void
bf_admission_abandon(bf_admission_t *admission)
{
	atomic_fetch_sub(&admission->waiting, 1);
}

bool
bf_admission_finish(bf_admission_t *admission, bf_time_us_t service_us)
{
	int64_t average;

	average = atomic_load(&admission->service_us);
	average += (service_us - average) / (1 << SERVICE_AVERAGE_SHIFT);
	atomic_store(&admission->service_us, average);
	atomic_fetch_sub(&admission->in_flight, 1);
	return atomic_load(&admission->waiting) > 0;
}
