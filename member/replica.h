#ifndef BF_MEMBER_REPLICA_H
#define BF_MEMBER_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "control/message.h"

/*
 * A table that is replicated to every node: entries with a key (kind, key) and
 * an opaque value.  The entry's kind decides which of two values is kept, with
 * the same result on all nodes, so messages may be reordered, repeated or lost.
 * A change is flooded: it is sent to each neighbour that is not known to have
 * it.  Changes that were lost are found by comparing digests and repaired
 * bucket by bucket.
 *
 * A pure data structure: it reads no clock and opens no socket.  Not
 * thread-safe.
 */

#define BF_REPLICA_KINDS 256
#define BF_REPLICA_KEY_BYTES 192
#define BF_REPLICA_VALUE_BYTES_MAX 32768
#define BF_REPLICA_ENTRIES_MAX 65536

/* Kind 0 (the member records) and all other kinds have separate digests. */
#define BF_REPLICA_SECTIONS ((size_t)2)
#define BF_REPLICA_SECTION_BUCKETS ((size_t)64)
#define BF_REPLICA_BUCKETS (BF_REPLICA_SECTIONS * BF_REPLICA_SECTION_BUCKETS)

/* Approximate size of the messages that entries are written to. */
#define BF_REPLICA_BATCH_BYTES 32768

typedef struct bf_replica bf_replica_t;
typedef struct bf_replica_kind bf_replica_kind_t;

typedef struct bf_replica_value {
	const void *data; /* NULL: no value */
	size_t data_bytes;
} bf_replica_value_t;

typedef enum bf_replica_choice {
	BF_REPLICA_KEEP,    /* the current value stays */
	BF_REPLICA_REPLACE, /* incoming replaces it */
	BF_REPLICA_REWRITE  /* the contents of rewritten replace it */
} bf_replica_choice_t;

typedef struct bf_replica_vtable {
	/*
	 * Chooses between the current value (data is NULL: none) and incoming,
	 * which may come from a peer and be malformed or hostile.
	 */
	bf_replica_choice_t (*merge)(bf_replica_kind_t *kind, const char *key,
	    const bf_replica_value_t *current,
	    const bf_replica_value_t *incoming, bf_wire_writer_t *rewritten);
	/*
	 * Called after a change of an entry (value->data is NULL: it expired).
	 * Returns the entry's new tag.  old_tag is the tag that it returned for
	 * this entry before, 0 for a new entry.
	 */
	uint8_t (*changed)(bf_replica_kind_t *kind, const char *key,
	    const bf_replica_value_t *value, uint8_t old_tag);
	/* Lifetime of an entry with this tag; 0: unlimited. */
	bf_time_us_t (*lifetime_us)(bf_replica_kind_t *kind, uint8_t tag);
} bf_replica_vtable_t;

struct bf_replica_kind {
	const bf_replica_vtable_t *vtable;
};

bf_replica_t *bf_replica_new(void);
void bf_replica_free(bf_replica_t *replica);

/* Registers a kind.  Entries of unregistered kinds are discarded. */
void bf_replica_register(
    bf_replica_t *replica, uint32_t number, bf_replica_kind_t *kind);

/*
 * Merges a value; true when the entry changed.  holders is the set of
 * neighbours that have the value already, a bit for each slot (see
 * bf_peers_slot_bit).
 */
bool bf_replica_merge(bf_replica_t *replica, uint32_t kind, const char *key,
    const bf_replica_value_t *incoming, uint64_t holders, bf_time_us_t now_us);

/*
 * Replaces a value without a merge; false when the entry is not valid, the
 * table is full, or out of memory.
 */
bool bf_replica_set(bf_replica_t *replica, uint32_t kind, const char *key,
    const bf_replica_value_t *value, bf_time_us_t now_us);

/* Returns the entry's value; its data is NULL when there is no such entry. */
bf_replica_value_t bf_replica_get(
    const bf_replica_t *replica, uint32_t kind, const char *key);

typedef void (*bf_replica_visit_t)(void *ctx, const char *key,
    const bf_replica_value_t *value, uint8_t tag, bf_time_us_t changed_us);

/* Visits all entries of a kind; visit must not change the table. */
void bf_replica_each(const bf_replica_t *replica, uint32_t kind,
    bf_replica_visit_t visit, void *ctx);

size_t bf_replica_count(const bf_replica_t *replica);

/*
 * Removes expired entries.  In the second half of its lifetime an entry is
 * neither in the digests nor sent, so that nodes which remove it at different
 * times do not restore it on each other.
 */
void bf_replica_sweep(bf_replica_t *replica, bf_time_us_t now_us);

/* Returns the digest of a section; nodes with the same entries agree on it. */
uint64_t bf_replica_digest(const bf_replica_t *replica, size_t section);

/* Whether there are changes that have not been sent to the neighbours. */
bool bf_replica_has_unsent(const bf_replica_t *replica);

/* Marks all changes as sent to all neighbours. */
void bf_replica_mark_sent(bf_replica_t *replica);

/*
 * Appends the unsent changes for the neighbour in slot to a message, up to
 * about BF_REPLICA_BATCH_BYTES.  *cursor is 0 at the first call and keeps the
 * position for the next one.  Returns the number of entries appended; 0 at the
 * end.
 */
size_t bf_replica_write_unsent(const bf_replica_t *replica,
    bf_wire_writer_t *writer, unsigned slot, size_t *cursor,
    bf_time_us_t now_us);

/* Appends one entry, if it exists. */
void bf_replica_write_entry(const bf_replica_t *replica,
    bf_wire_writer_t *writer, uint32_t kind, const char *key,
    bf_time_us_t now_us);

/* Appends the digests of all buckets, for a pull. */
void bf_replica_write_digests(
    const bf_replica_t *replica, bf_wire_writer_t *writer);

/* The buckets whose digests differ from a peer's. */
typedef struct bf_replica_diff {
	bool differs[BF_REPLICA_BUCKETS];
} bf_replica_diff_t;

/*
 * Reads the digests that bf_replica_write_digests wrote; with an empty byte
 * string all buckets differ.
 */
void bf_replica_read_digests(const bf_replica_t *replica,
    bf_wire_reader_t *reader, bf_replica_diff_t *diff);

/* As bf_replica_write_unsent, for all entries of the differing buckets. */
size_t bf_replica_write_diff(const bf_replica_t *replica,
    bf_wire_writer_t *writer, const bf_replica_diff_t *diff, size_t *cursor,
    bf_time_us_t now_us);

/*
 * Merges the entries of a message; returns the number that changed.  holders:
 * see bf_replica_merge.
 */
size_t bf_replica_read(bf_replica_t *replica, bf_wire_reader_t *reader,
    uint64_t holders, bf_time_us_t now_us);

#endif
