#include <string.h>

#include "freshness/freshness.h"

/* Shares of the time in which a withdrawn key must stop working, in percent. */
#define PERCENT 100
/*
 * Knowledge that is older is not acted on.  The rest of the time is for a
 * request that was sent before and is read late.
 */
#define PRESENT_SHARE 90
/*
 * Wait of a watch, and with it the age of a relay's knowledge.  Together with
 * the interval of rounds it leaves a node cut off from all more than 60 % of
 * the time (90 - 15 - 10), less two round trips.
 */
#define WATCH_WAIT_SHARE 15
#define WATCH_WAIT_MAX_US BF_US_PER_S
#define ROUND_SHARE 10
/*
 * A node that lacks a configuration for this long refuses keys.  With the pause
 * of a relay between two changes (8 %) and a round it makes 43 %, of the half
 * in which a connected node has to refuse a key.
 */
#define OVERTAKEN_SHARE 25
/*
 * Knowledge that is older is not renewed as usual (15 + 10 and the way of the
 * messages): relays of other zones are asked as well, then any node.
 */
#define ASK_OTHER_ZONES_SHARE 35
#define ASK_ANY_SHARE 60
/*
 * Interval of the first rounds of a node that has no proof yet and answers no
 * keyed call.  The number is limited, since a mesh whose store is gone would
 * load its relays with them.
 */
#define FIRST_ROUND_INTERVAL_US (100 * BF_US_PER_MS)
#define FIRST_ROUNDS_MAX 20
/*
 * A configuration that a relay has usually arrives by itself, within the pause
 * between the pieces that the relay's link takes.  Requesting it at once would
 * send it twice.
 */
#define REQUEST_CONFIG_AFTER_US (250 * BF_US_PER_MS)
/* Ages beyond this prove nothing, and could overflow a sum of times. */
#define AGE_MAX_US (3600 * BF_US_PER_S)

static bf_time_us_t
share_us(bf_time_us_t revoke_us, int64_t percent)
{
	return revoke_us * percent / PERCENT;
}

void
bf_freshness_init(
    bf_freshness_t *freshness, bf_time_us_t revoke_us, uint64_t first_number)
{
	memset(freshness, 0, sizeof(*freshness));
	freshness->revoke_us = revoke_us;
	freshness->last_number = first_number;
}

bf_time_us_t
bf_freshness_watch_wait_us(bf_time_us_t revoke_us)
{
	bf_time_us_t wait_us = share_us(revoke_us, WATCH_WAIT_SHARE);

	return wait_us < WATCH_WAIT_MAX_US ? wait_us : WATCH_WAIT_MAX_US;
}

bf_time_us_t
bf_freshness_read_as_of(bf_time_us_t began_us, bf_time_us_t wait_us,
    bool is_empty, bf_time_us_t ended_us)
{
	bf_time_us_t took_us = ended_us - began_us;

	if (!is_empty || took_us < wait_us || took_us > wait_us + wait_us / 2)
		return began_us;
	return began_us + wait_us;
}

static void
take_lacked(
    bf_freshness_t *freshness, const bf_reading_t *reading, bf_time_us_t now_us)
{
	if (!freshness->is_behind) {
		freshness->is_behind = true;
		freshness->behind_version = reading->config_version;
		freshness->behind_since_us = now_us;
		freshness->lacked_since_us = now_us;
		freshness->lacked = *reading;
		return;
	}
	if (reading->as_of_us <= freshness->lacked.as_of_us ||
	    reading->config_version < freshness->lacked.config_version)
		return;
	if (reading->config_version > freshness->lacked.config_version)
		freshness->lacked_since_us = now_us;
	freshness->lacked = *reading;
}

bf_freshness_result_t
bf_freshness_take(bf_freshness_t *freshness, const bf_reading_t *reading,
    uint64_t own_version, bf_time_us_t now_us)
{
	/* What the store answered before it lost writes is not its present. */
	if (freshness->is_known && reading->era < freshness->reading.era)
		return BF_FRESHNESS_OLD;
	if (reading->as_of_us > now_us)
		return BF_FRESHNESS_OLD;
	if (own_version == 0 || own_version < reading->config_version) {
		take_lacked(freshness, reading, now_us);
		return BF_FRESHNESS_BEHIND;
	}
	if (freshness->is_known &&
	    reading->as_of_us <= freshness->reading.as_of_us) {
		/* A new era does not take back what was proved before it. */
		if (reading->era > freshness->reading.era) {
			freshness->reading.era = reading->era;
			freshness->reading.revision = reading->revision;
		}
		return BF_FRESHNESS_OLD;
	}
	freshness->round_renewed = true;
	freshness->is_known = true;
	freshness->reading = *reading;
	return BF_FRESHNESS_RENEWED;
}

void
bf_freshness_config_applied(
    bf_freshness_t *freshness, uint64_t own_version, bf_time_us_t now_us)
{
	bf_reading_t lacked = freshness->lacked;

	if (own_version >= freshness->unread_version)
		freshness->unread_version = 0;
	if (!freshness->is_behind)
		return;
	if (own_version < lacked.config_version) {
		/* While changes follow each other, each has its own time. */
		if (own_version >= freshness->behind_version) {
			freshness->behind_version = lacked.config_version;
			freshness->behind_since_us = freshness->lacked_since_us;
		}
		return;
	}
	freshness->is_behind = false;
	(void)bf_freshness_take(freshness, &lacked, own_version, now_us);
}

void
bf_freshness_config_unread(
    bf_freshness_t *freshness, uint64_t version, uint64_t own_version)
{
	if (version == 0)
		version = own_version + 1;
	if (version > own_version && version > freshness->unread_version)
		freshness->unread_version = version;
}

void
bf_freshness_config_read(bf_freshness_t *freshness)
{
	if (freshness->unread_version == 0)
		return;
	freshness->unread_version = 0;
	/* Peers that have another one will say so again. */
	freshness->is_behind = false;
}

uint64_t
bf_freshness_newest_version(
    const bf_freshness_t *freshness, uint64_t own_version)
{
	return own_version > freshness->unread_version
	    ? own_version
	    : freshness->unread_version;
}

bf_time_us_t
bf_freshness_age_us(const bf_freshness_t *freshness, bf_time_us_t now_us)
{
	if (!freshness->is_known)
		return INT64_MAX;
	return now_us > freshness->reading.as_of_us
	    ? now_us - freshness->reading.as_of_us
	    : 0;
}

bool
bf_freshness_is_present(const bf_freshness_t *freshness, bf_time_us_t now_us)
{
	return bf_freshness_age_us(freshness, now_us) <=
	    share_us(freshness->revoke_us, PRESENT_SHARE);
}

bool
bf_freshness_is_overtaken(const bf_freshness_t *freshness, bf_time_us_t now_us)
{
	return freshness->is_behind &&
	    now_us - freshness->behind_since_us >
	    share_us(freshness->revoke_us, OVERTAKEN_SHARE);
}

uint32_t
bf_freshness_begin_round(
    bf_freshness_t *freshness, bool is_relay, bf_time_us_t now_us)
{
	bf_time_us_t age_us = bf_freshness_age_us(freshness, now_us);
	uint32_t asked = 0;

	if (freshness->round_renewed)
		freshness->fruitless_rounds = 0;
	else
		freshness->fruitless_rounds++;
	freshness->round_renewed = false;
	/* A relay reads the store itself, unless that fails. */
	if (!is_relay ||
	    age_us > share_us(freshness->revoke_us, ASK_OTHER_ZONES_SHARE))
		asked |= BF_FRESHNESS_ASK_OWN_ZONE_RELAY;
	if (age_us > share_us(freshness->revoke_us, ASK_OTHER_ZONES_SHARE))
		asked |= BF_FRESHNESS_ASK_OTHER_ZONE_RELAY;
	if (age_us > share_us(freshness->revoke_us, ASK_ANY_SHARE))
		asked |= BF_FRESHNESS_ASK_ANY_NODE;
	return asked;
}

bf_time_us_t
bf_freshness_round_interval_us(const bf_freshness_t *freshness)
{
	bf_time_us_t interval_us = share_us(freshness->revoke_us, ROUND_SHARE);

	if (!freshness->is_known &&
	    freshness->fruitless_rounds < FIRST_ROUNDS_MAX &&
	    interval_us > FIRST_ROUND_INTERVAL_US)
		return FIRST_ROUND_INTERVAL_US;
	if (freshness->is_behind && interval_us > REQUEST_CONFIG_AFTER_US)
		return REQUEST_CONFIG_AFTER_US;
	return interval_us;
}

uint64_t
bf_freshness_ask(bf_freshness_t *freshness, bf_time_us_t now_us)
{
	bf_freshness_ask_t *ask = &freshness->asks[freshness->next_ask];

	if (++freshness->last_number == 0)
		freshness->last_number = 1;
	*ask = (bf_freshness_ask_t){
		.number = freshness->last_number,
		.asked_at_us = now_us,
	};
	freshness->next_ask = (freshness->next_ask + 1) % BF_FRESHNESS_ASKS_MAX;
	return ask->number;
}

bf_freshness_result_t
bf_freshness_take_reply(bf_freshness_t *freshness, uint64_t number,
    const bf_reading_t *reading, uint64_t age_us, uint64_t own_version,
    bf_time_us_t now_us)
{
	bf_reading_t proved = *reading;
	uint32_t i;

	for (i = 0; i < BF_FRESHNESS_ASKS_MAX; i++) {
		if (number != 0 && freshness->asks[i].number == number)
			break;
	}
	if (i == BF_FRESHNESS_ASKS_MAX)
		return BF_FRESHNESS_UNKNOWN;
	if (age_us > AGE_MAX_US)
		return BF_FRESHNESS_OLD;
	proved.as_of_us = freshness->asks[i].asked_at_us - (bf_time_us_t)age_us;
	freshness->asks[i].number = 0;
	return bf_freshness_take(freshness, &proved, own_version, now_us);
}

bool
bf_freshness_wants_config(const bf_freshness_t *freshness, bf_time_us_t now_us)
{
	return freshness->is_behind &&
	    now_us - freshness->behind_since_us >= REQUEST_CONFIG_AFTER_US;
}
