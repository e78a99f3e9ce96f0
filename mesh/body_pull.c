#include "mesh/body_pull.h"

/* Time of the link that the requested parts may take. */
#define WINDOW_US (50 * BF_US_PER_MS)
#define PART_BYTES_MIN ((size_t)16384)
#define PART_BYTES_MAX ((size_t)65536)
/* At least this many parts, so that the link is busy while one is requested. */
#define WINDOW_PARTS_MIN 3
/* A body that made no progress for this long is left out of the window. */
#define STALLED_US (250 * BF_US_PER_MS)
#define LINK_MBPS_DEFAULT 1000
#define BITS_PER_BYTE 8

/* What a link carries in WINDOW_US, but at least some parts. */
static size_t
window_bytes(uint32_t link_mbps, size_t part_bytes)
{
	size_t bytes;

	if (link_mbps == 0)
		link_mbps = LINK_MBPS_DEFAULT;
	bytes = (size_t)link_mbps * WINDOW_US / BITS_PER_BYTE;
	return bytes > WINDOW_PARTS_MIN * part_bytes
	    ? bytes
	    : WINDOW_PARTS_MIN * part_bytes;
}

void
bf_body_pulls_init(bf_body_pulls_t *pulls, uint32_t link_mbps)
{
	*pulls = (bf_body_pulls_t){ .link_mbps = link_mbps };
	pulls->part_bytes =
	    window_bytes(link_mbps, PART_BYTES_MIN) / WINDOW_PARTS_MIN;
	if (pulls->part_bytes > PART_BYTES_MAX)
		pulls->part_bytes = PART_BYTES_MAX;
	pulls->window_bytes = window_bytes(link_mbps, pulls->part_bytes);
	TAILQ_INIT(&pulls->list);
}

void
bf_body_pulls_add(
    bf_body_pulls_t *pulls, bf_body_pull_t *pull, bf_time_us_t now_us)
{
	bf_body_pull_t *other;

	pull->progress_at_us = now_us;
	pulls->count++;
	TAILQ_FOREACH(other, &pulls->list, link)
	{
		if (other->priority > pull->priority) {
			TAILQ_INSERT_BEFORE(other, pull, link);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&pulls->list, pull, link);
}

static void
leave_window(bf_body_pulls_t *pulls, bf_body_pull_t *pull, size_t bytes)
{
	if (bytes > pull->under_way_bytes)
		bytes = pull->under_way_bytes;
	pull->under_way_bytes -= bytes;
	pulls->under_way_bytes -= bytes;
}

void
bf_body_pulls_remove(bf_body_pulls_t *pulls, bf_body_pull_t *pull)
{
	leave_window(pulls, pull, pull->under_way_bytes);
	TAILQ_REMOVE(&pulls->list, pull, link);
	pulls->count--;
}

static bool
may_request(const bf_body_pulls_t *pulls, const bf_body_pull_t *pull)
{
	return pull->requested_bytes < pull->total_bytes &&
	    pull->under_way_bytes + PART_BYTES_MIN <=
	    window_bytes(pull->link_mbps, PART_BYTES_MIN) &&
	    pulls->under_way_bytes + pulls->part_bytes <= pulls->window_bytes;
}

bf_body_pull_t *
bf_body_pulls_next(
    bf_body_pulls_t *pulls, size_t *offset, size_t *bytes, bf_time_us_t now_us)
{
	bf_body_pull_t *pull;

	TAILQ_FOREACH(pull, &pulls->list, link)
	{
		if (now_us - pull->progress_at_us > STALLED_US)
			leave_window(pulls, pull, pull->under_way_bytes);
	}
	TAILQ_FOREACH(pull, &pulls->list, link)
	{
		if (may_request(pulls, pull))
			break;
	}
	if (pull == NULL)
		return NULL;
	*offset = pull->requested_bytes;
	*bytes = pull->total_bytes - pull->requested_bytes;
	if (*bytes > pulls->part_bytes)
		*bytes = pulls->part_bytes;
	pull->requested_bytes += *bytes;
	pull->under_way_bytes += *bytes;
	pull->progress_at_us = now_us;
	pulls->under_way_bytes += *bytes;
	return pull;
}

bool
bf_body_pulls_received(bf_body_pulls_t *pulls, bf_body_pull_t *pull,
    size_t bytes, bf_time_us_t now_us)
{
	leave_window(pulls, pull, bytes);
	pull->received_bytes += bytes;
	pull->progress_at_us = now_us;
	return pull->received_bytes >= pull->total_bytes;
}

bf_time_us_t
bf_body_pulls_expected_us(
    const bf_body_pulls_t *pulls, uint32_t priority, size_t bytes)
{
	const bf_body_pull_t *pull;

	TAILQ_FOREACH(pull, &pulls->list, link)
	{
		if (pull->priority <= priority)
			bytes += pull->total_bytes - pull->received_bytes;
	}
	return (bf_time_us_t)(bytes * BITS_PER_BYTE /
	    (pulls->link_mbps != 0 ? pulls->link_mbps : LINK_MBPS_DEFAULT));
}
