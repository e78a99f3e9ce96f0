#ifndef BF_MEMBER_VERSIONS_H
#define BF_MEMBER_VERSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control/message.h"

/*
 * The greatest configuration version that each instance has ever announced,
 * including dead instances.  It is the floor of an instance that restarts, and
 * the basis of reports on convergence.  Versions only grow, so reordered or
 * repeated messages do no harm.  Instances are identified by a 32-bit hash of
 * their name, because every node announces every version: this takes four bytes
 * per node and change on each link.  Two names with the same hash share the
 * greater version, which can only delay a start.
 */

#define BF_VERSIONS_MAX 16384

typedef struct bf_versions bf_versions_t;

bf_versions_t *bf_versions_new(void);
void bf_versions_free(bf_versions_t *versions);

uint32_t bf_versions_hash(const char *instance);

/*
 * Raises the version of an instance; true when it was lower before.  holders
 * is the set of neighbours that have the version already, a bit for each slot;
 * it is not sent to them.
 */
bool bf_versions_raise(bf_versions_t *versions, uint32_t instance_hash,
    uint64_t version, uint64_t holders);

/* Returns the instance's version; 0 when it never announced one. */
uint64_t bf_versions_get(const bf_versions_t *versions, uint32_t instance_hash);

/* Returns the greatest version of all instances; 0: none. */
uint64_t bf_versions_greatest(const bf_versions_t *versions);

/* Returns the digest; nodes with the same versions agree on it. */
uint64_t bf_versions_digest(const bf_versions_t *versions);

/* Whether there are changes since the last bf_versions_mark_sent. */
bool bf_versions_has_unsent(const bf_versions_t *versions);

/*
 * Appends pairs (version, hashes of the instances with it) to a message: the
 * unsent changes for the neighbour in slot, or all versions when slot is
 * negative.  Returns the number of instances.
 */
size_t bf_versions_write(
    const bf_versions_t *versions, bf_wire_writer_t *writer, int slot);

/* Marks all changes as sent to all neighbours. */
void bf_versions_mark_sent(bf_versions_t *versions);

/*
 * Reads the rest of a message; returns the number of instances whose version
 * was raised.  holders: see bf_versions_raise.
 */
size_t bf_versions_read(
    bf_versions_t *versions, bf_wire_reader_t *reader, uint64_t holders);

#endif
