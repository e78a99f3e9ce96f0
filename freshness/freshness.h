#ifndef BF_FRESHNESS_FRESHNESS_H
#define BF_FRESHNESS_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * How old a node's knowledge of the configuration in force is, so that a key
 * that was withdrawn in the store stops working also at a node that does not
 * learn of it.
 *
 * Handles a node that has just started, was paused, is cut off from the store
 * or has lost its peers, and that would act on what it knew before.  All times
 * are of the boot-time clock, which counts pauses.
 *
 * A time that is proved here is never later than the true one: it is taken
 * before a read or a question is sent, and only known waits are added to it.
 */

/* A proof that a configuration was in force at a time. */
typedef struct bf_reading {
	uint64_t era;      /* of the store; rises when it lost writes */
	uint64_t revision; /* of the store */
	bf_time_us_t as_of_us;
	/* The newest configuration that the node which read it knows of. */
	uint64_t config_version;
} bf_reading_t;

/*
 * Questions to other nodes whose replies still count: those of about 2 s in the
 * first rounds of a node, and of 10 s later.
 */
#define BF_FRESHNESS_ASKS_MAX 64

typedef struct bf_freshness_ask {
	uint64_t number; /* 0: none */
	bf_time_us_t asked_at_us;
} bf_freshness_ask_t;

typedef struct bf_freshness {
	bf_time_us_t revoke_us; /* when a withdrawn key must no longer work */
	bool is_known;          /* false: it has no proof yet */
	bf_reading_t reading;   /* the newest proof */
	/* The newest proof of a configuration that this node lacks. */
	bool is_behind;
	bf_reading_t lacked;
	bf_time_us_t lacked_since_us; /* since when that version is known */
	/* The first version that is lacked still, and since when. */
	uint64_t behind_version;
	bf_time_us_t behind_since_us;
	/*
	 * A newer version that the store holds and this node cannot read; 0:
	 * there is none.
	 */
	uint64_t unread_version;
	bf_freshness_ask_t asks[BF_FRESHNESS_ASKS_MAX]; /* a ring */
	uint32_t next_ask;
	uint64_t last_number;
	/* Consecutive rounds of questions that renewed nothing. */
	uint32_t fruitless_rounds;
	bool round_renewed; /* since the last round */
} bf_freshness_t;

/* Whom to ask now. */
typedef enum bf_freshness_asked {
	BF_FRESHNESS_ASK_OWN_ZONE_RELAY = 1,
	BF_FRESHNESS_ASK_OTHER_ZONE_RELAY = 2,
	BF_FRESHNESS_ASK_ANY_NODE = 4
} bf_freshness_asked_t;

typedef enum bf_freshness_result {
	BF_FRESHNESS_RENEWED,
	BF_FRESHNESS_BEHIND, /* the own configuration is older than the proof */
	BF_FRESHNESS_OLD,    /* proves nothing that is not known already */
	BF_FRESHNESS_UNKNOWN /* to no question of this process */
} bf_freshness_result_t;

/* first_number: random, so that replies to a former process do not match. */
void bf_freshness_init(
    bf_freshness_t *freshness, bf_time_us_t revoke_us, uint64_t first_number);

/*
 * The time as of which an answer of the store is current.  wait_us: the longest
 * wait of a watch, 0 for a list.  A watch that returned empty after its full
 * wait proves the time of its end; if it took much longer, the store may have
 * answered early and the process was paused since, so it proves its beginning.
 */
bf_time_us_t bf_freshness_read_as_of(bf_time_us_t began_us,
    bf_time_us_t wait_us, bool is_empty, bf_time_us_t ended_us);

/*
 * Takes a reading, which is the own node's of the store or a peer's.
 * own_version: of the configuration in force here, 0: none.
 */
bf_freshness_result_t bf_freshness_take(bf_freshness_t *freshness,
    const bf_reading_t *reading, uint64_t own_version, bf_time_us_t now_us);

/* A configuration was put in force, which may be the one that was lacking. */
void bf_freshness_config_applied(
    bf_freshness_t *freshness, uint64_t own_version, bf_time_us_t now_us);

/*
 * The store holds a configuration that this node cannot read.  version 0:
 * unknown; it counts as the next one after own_version.
 */
void bf_freshness_config_unread(
    bf_freshness_t *freshness, uint64_t version, uint64_t own_version);
/* The store holds one that it can read, which may be the one in force here. */
void bf_freshness_config_read(bf_freshness_t *freshness);

/* The newest version that this node knows to be in the store. */
uint64_t bf_freshness_newest_version(
    const bf_freshness_t *freshness, uint64_t own_version);

/*
 * Begins a round of questions.  Returns whom to ask, of bf_freshness_asked_t;
 * 0: nobody.
 */
uint32_t bf_freshness_begin_round(
    bf_freshness_t *freshness, bool is_relay, bf_time_us_t now_us);

/* Returns the number of a question that is sent now. */
uint64_t bf_freshness_ask(bf_freshness_t *freshness, bf_time_us_t now_us);

/*
 * Takes the reply to a question.  Its reading has age_us instead of a time,
 * which counts back from when the question was sent.
 */
bf_freshness_result_t bf_freshness_take_reply(bf_freshness_t *freshness,
    uint64_t number, const bf_reading_t *reading, uint64_t age_us,
    uint64_t own_version, bf_time_us_t now_us);

/* Age of the knowledge; INT64_MAX: none.  Never negative. */
bf_time_us_t bf_freshness_age_us(
    const bf_freshness_t *freshness, bf_time_us_t now_us);

/* Whether the knowledge is at most nine tenths of revoke_us old. */
bool bf_freshness_is_present(
    const bf_freshness_t *freshness, bf_time_us_t now_us);

/*
 * Whether the node has lacked a configuration for so long that it refuses keys,
 * although its knowledge is not too old: a key that was withdrawn has to be
 * refused in half of revoke_us by a node that is connected.
 */
bool bf_freshness_is_overtaken(
    const bf_freshness_t *freshness, bf_time_us_t now_us);

/* Time from one round of questions to the next. */
bf_time_us_t bf_freshness_round_interval_us(const bf_freshness_t *freshness);

/* Longest wait of a watch of the configuration. */
bf_time_us_t bf_freshness_watch_wait_us(bf_time_us_t revoke_us);

/*
 * Whether to request the configuration that a proof names, as it has not
 * arrived by itself.
 */
bool bf_freshness_wants_config(
    const bf_freshness_t *freshness, bf_time_us_t now_us);

#endif
