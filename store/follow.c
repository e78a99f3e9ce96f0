#include <stdio.h>
#include <string.h>

#include "store/follow.h"

#define PAUSE_FIRST_US (50 * BF_US_PER_MS)
#define PAUSE_MAX_US (1500 * BF_US_PER_MS)

static uint64_t
next_random(uint64_t *random)
{
	/* A linear congruential step (Knuth, MMIX). */
	*random = *random * UINT64_C(6364136223846793005) +
	    UINT64_C(1442695040888963407);
	return *random >> 33;
}

bf_time_us_t
bf_follow_pause_us(uint32_t failures, uint64_t *random)
{
	bf_time_us_t pause_us = PAUSE_FIRST_US;

	while (failures-- > 1 && pause_us < PAUSE_MAX_US)
		pause_us *= 2;
	if (pause_us > PAUSE_MAX_US)
		pause_us = PAUSE_MAX_US;
	return pause_us / 2 +
	    (bf_time_us_t)(next_random(random) % (uint64_t)(pause_us / 2 + 1));
}

static void
next_call(bf_follow_t *follow, bf_time_us_t now_us)
{
	if (follow->listing && follow->after_key[0] == '\0')
		follow->list_began_us = now_us;
	if (follow->listing)
		follow->kv->vtable->list(follow->kv, &follow->call,
		    follow->prefix, follow->after_key, false, now_us);
	else
		follow->kv->vtable->watch(follow->kv, &follow->call,
		    follow->prefix, follow->revision, follow->wait_ms, now_us);
}

static void
begin_list(bf_follow_t *follow)
{
	follow->listing = true;
	follow->again = false;
	follow->list_revision = 0;
	follow->after_key[0] = '\0';
}

static void
take_page(bf_follow_t *follow, const bf_kv_reply_t *reply)
{
	/*
	 * Pages are no snapshot: what changes while they are read is told by
	 * a watch from the revision of the first one.
	 */
	if (follow->list_revision == 0)
		follow->list_revision = reply->revision;
	if (reply->more && reply->item_count > 0) {
		(void)snprintf(follow->after_key, sizeof(follow->after_key),
		    "%s", reply->items[reply->item_count - 1].key);
		return;
	}
	follow->listing = false;
	follow->revision = follow->list_revision;
	if (follow->vtable->listed != NULL)
		follow->vtable->listed(follow, follow->list_began_us);
	if (follow->again)
		begin_list(follow);
}

static void
take_items(bf_follow_t *follow, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	size_t i;

	for (i = 0; i < reply->item_count; i++)
		follow->vtable->item(follow, &reply->items[i], now_us);
	if (follow->listing)
		take_page(follow, reply);
	else if (reply->revision > follow->revision)
		follow->revision = reply->revision;
}

static void
on_done(bf_kv_call_t *call, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bf_follow_t *follow = BF_CONTAINER(call, bf_follow_t, call);
	bool changed;

	if (follow->vtable->called != NULL)
		follow->vtable->called(follow, reply->code, now_us);
	switch (reply->code) {
	case BF_OK:
		follow->failures = 0;
		changed = !follow->listing && reply->item_count > 0;
		take_items(follow, reply, now_us);
		if (follow->list_only && !follow->listing)
			return;
		if (changed && !follow->listing)
			bf_loop_timer_set(follow->loop, &follow->retry,
			    now_us + follow->gather_us);
		else
			next_call(follow, now_us);
		return;
	case BF_ERR_STALE:
		begin_list(follow);
		next_call(follow, now_us);
		return;
	default:
		/*
		 * A watch that was cut may have missed changes whose history
		 * is gone by now, and the next one might not be told so.
		 */
		if (!follow->listing)
			begin_list(follow);
		follow->failures++;
		bf_loop_timer_set(follow->loop, &follow->retry,
		    now_us +
			bf_follow_pause_us(follow->failures, &follow->random));
	}
}

static void
on_retry(bf_timer_t *timer, bf_time_us_t now_us)
{
	next_call(BF_CONTAINER(timer, bf_follow_t, retry), now_us);
}

void
bf_follow_init(bf_follow_t *follow)
{
	follow->call = (bf_kv_call_t){ .done = on_done };
	follow->retry = (bf_timer_t){ .fire = on_retry };
}

void
bf_follow_start(bf_follow_t *follow, bf_time_us_t now_us)
{
	bf_follow_init(follow);
	begin_list(follow);
	next_call(follow, now_us);
}

void
bf_follow_stop(bf_follow_t *follow)
{
	bf_loop_timer_cancel(follow->loop, &follow->retry);
	if (follow->call.state != NULL)
		follow->kv->vtable->cancel(follow->kv, &follow->call);
}

void
bf_follow_refresh(bf_follow_t *follow, bf_time_us_t now_us)
{
	if (follow->listing) {
		follow->again = follow->call.state != NULL;
		return;
	}
	bf_follow_stop(follow);
	begin_list(follow);
	next_call(follow, now_us);
}
