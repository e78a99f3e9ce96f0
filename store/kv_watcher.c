#include <stdio.h>
#include <string.h>

#include "store/kv_watcher.h"
#include "store/revision.h"

#define RETRY_DELAY_FIRST_US (50 * BF_US_PER_MS)
#define RETRY_DELAY_MAX_US (1500 * BF_US_PER_MS)

static uint64_t
next_random(uint64_t *random)
{
	/* Linear congruential generator with the constants of Knuth's MMIX. */
	*random = *random * UINT64_C(6364136223846793005) +
	    UINT64_C(1442695040888963407);
	return *random >> 33;
}

bf_time_us_t
bf_kv_watcher_retry_delay_us(uint32_t failures, uint64_t *random)
{
	bf_time_us_t delay_us = RETRY_DELAY_FIRST_US;

	while (failures-- > 1 && delay_us < RETRY_DELAY_MAX_US)
		delay_us *= 2;
	if (delay_us > RETRY_DELAY_MAX_US)
		delay_us = RETRY_DELAY_MAX_US;
	return delay_us / 2 +
	    (bf_time_us_t)(next_random(random) % (uint64_t)(delay_us / 2 + 1));
}

static void
start_call(bf_kv_watcher_t *watcher, bf_time_us_t now_us)
{
	if (watcher->is_listing && watcher->after_key[0] == '\0')
		watcher->list_began_us = now_us;
	if (watcher->vtable->on_read_begins != NULL &&
	    (!watcher->is_listing || watcher->after_key[0] == '\0'))
		watcher->vtable->on_read_begins(watcher, now_us);
	if (watcher->is_listing)
		watcher->kv->vtable->list(watcher->kv, &watcher->call,
		    watcher->prefix, watcher->after_key, false, now_us);
	else
		watcher->kv->vtable->watch(watcher->kv, &watcher->call,
		    watcher->prefix, watcher->revision, watcher->wait_ms,
		    now_us);
}

static void
begin_list(bf_kv_watcher_t *watcher)
{
	watcher->is_listing = true;
	watcher->list_again = false;
	watcher->list_revision = 0;
	watcher->after_key[0] = '\0';
	if (watcher->vtable->on_list_began != NULL)
		watcher->vtable->on_list_began(watcher);
}

static void
report_reading(bf_kv_watcher_t *watcher, bf_time_us_t now_us)
{
	if (watcher->vtable->on_reading != NULL)
		watcher->vtable->on_reading(watcher, watcher->revision, now_us);
}

static void
finish_page(
    bf_kv_watcher_t *watcher, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	/*
	 * The pages are not from one revision.  Changes made while they are
	 * read are reported by a watch from the revision of the first page.
	 */
	if (watcher->list_revision == 0)
		watcher->list_revision = reply->revision;
	/* The store was restored between two pages. */
	if (bf_revision_era(watcher->list_revision) !=
	    bf_revision_era(reply->revision)) {
		begin_list(watcher);
		return;
	}
	if (reply->has_more && reply->item_count > 0) {
		(void)snprintf(watcher->after_key, sizeof(watcher->after_key),
		    "%s", reply->items[reply->item_count - 1].key);
		return;
	}
	watcher->is_listing = false;
	watcher->revision = watcher->list_revision;
	report_reading(watcher, now_us);
	if (watcher->vtable->on_list_done != NULL)
		watcher->vtable->on_list_done(
		    watcher, watcher->list_began_us, now_us);
	if (watcher->list_again)
		begin_list(watcher);
}

static void
report_items(
    bf_kv_watcher_t *watcher, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	size_t i;

	for (i = 0; i < reply->item_count; i++)
		watcher->vtable->on_item(watcher, &reply->items[i], now_us);
	if (watcher->is_listing) {
		finish_page(watcher, reply, now_us);
		return;
	}
	if (reply->revision > watcher->revision)
		watcher->revision = reply->revision;
	report_reading(watcher, now_us);
}

static void
on_done(bf_kv_call_t *call, const bf_kv_reply_t *reply, bf_time_us_t now_us)
{
	bf_kv_watcher_t *watcher = BF_CONTAINER(call, bf_kv_watcher_t, call);
	bool changed, is_watch = !watcher->is_listing;

	if (watcher->vtable->on_call_done != NULL)
		watcher->vtable->on_call_done(watcher, reply->code, now_us);
	switch (reply->code) {
	case BF_OK:
		watcher->failures = 0;
		changed = is_watch && reply->item_count > 0;
		report_items(watcher, reply, now_us);
		if (watcher->vtable->on_read_done != NULL && !reply->has_more)
			watcher->vtable->on_read_done(
			    watcher, is_watch, reply, now_us);
		if (watcher->lists_only && !watcher->is_listing)
			return;
		if (changed && !watcher->is_listing)
			bf_loop_timer_set(watcher->loop, &watcher->retry,
			    now_us + watcher->coalesce_us);
		else
			start_call(watcher, now_us);
		return;
	case BF_ERR_STALE:
		begin_list(watcher);
		start_call(watcher, now_us);
		return;
	default:
		/*
		 * An interrupted watch may have missed changes of which the
		 * store no longer has the history, and the next watch might
		 * not get BF_ERR_STALE for that.
		 */
		if (!watcher->is_listing)
			begin_list(watcher);
		watcher->failures++;
		bf_loop_timer_set(watcher->loop, &watcher->retry,
		    now_us +
			bf_kv_watcher_retry_delay_us(
			    watcher->failures, &watcher->random));
	}
}

static void
on_retry(bf_timer_t *timer, bf_time_us_t now_us)
{
	start_call(BF_CONTAINER(timer, bf_kv_watcher_t, retry), now_us);
}

void
bf_kv_watcher_init(bf_kv_watcher_t *watcher)
{
	watcher->call = (bf_kv_call_t){ .done = on_done };
	watcher->retry = (bf_timer_t){ .fire = on_retry };
}

void
bf_kv_watcher_start(bf_kv_watcher_t *watcher, bf_time_us_t now_us)
{
	bf_kv_watcher_init(watcher);
	begin_list(watcher);
	start_call(watcher, now_us);
}

void
bf_kv_watcher_stop(bf_kv_watcher_t *watcher)
{
	bf_loop_timer_cancel(watcher->loop, &watcher->retry);
	if (watcher->call.pending != NULL)
		watcher->kv->vtable->cancel(watcher->kv, &watcher->call);
}

void
bf_kv_watcher_refresh(bf_kv_watcher_t *watcher, bf_time_us_t now_us)
{
	if (watcher->is_listing) {
		watcher->list_again = watcher->call.pending != NULL;
		return;
	}
	bf_kv_watcher_stop(watcher);
	begin_list(watcher);
	start_call(watcher, now_us);
}
