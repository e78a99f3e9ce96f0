#ifndef BF_MESH_MOVE_RECORD_H
#define BF_MESH_MOVE_RECORD_H

#include "mesh/move.h"

/*
 * Agreement on the end of a move.  While the mesh is divided, each part has a
 * leader that may end the move, and the platform acts on what the store holds:
 * it stops the old targets or drains the new ones.  So the first final state
 * that is stored after an order holds for that order, and each node takes it
 * over in place of what it has decided or heard.  A node's own final state
 * holds until then: a bad version gets no calls while the store is down.
 *
 * Pure functions; mesh/movement.c exchanges the messages.
 */

/* The state of a move in the store, as known to one node. */
typedef struct bf_move_record {
	uint64_t revision;        /* of its key; 0: the key is absent */
	bf_move_outcome_t stored; /* as of this revision, if is_known */
	bool is_known;
	bf_move_outcome_t written; /* by the write in progress */
	bool is_writing;
	bool order_deleted; /* the order's key is absent */
	/*
	 * The store was restored, and the order's key holds an earlier order
	 * with this revision; 0: it does not.
	 */
	uint64_t restored_order;
} bf_move_record_t;

/*
 * Takes over what was read from the store, if it is newer.  NULL: the entry
 * cannot be decoded, and any state replaces it.
 */
void bf_move_record_read(bf_move_record_t *record,
    const bf_move_outcome_t *outcome, uint64_t revision);

/* Whether the state of the move is to be written now. */
bool bf_move_record_needs_write(
    const bf_move_record_t *record, const bf_move_t *move);

/*
 * Begins a write.  It is subject to both conditions: the key has the revision
 * record->revision, and the order is the newest one of the service, that is,
 * its key has the revision bf_move_record_order_revision.
 */
void bf_move_record_begin_write(
    bf_move_record_t *record, const bf_move_t *move);
uint64_t bf_move_record_order_revision(
    const bf_move_record_t *record, const bf_move_t *move);

/* The write took effect, with that revision. */
void bf_move_record_written(bf_move_record_t *record, uint64_t revision);
/* The write had no effect, or it is unknown whether it had one. */
void bf_move_record_write_failed(bf_move_record_t *record);

/*
 * Takes over the final state that the store holds for the order of the move.
 * Returns whether the node learns something by it.
 */
bool bf_move_settle(bf_move_t *move, const bf_move_record_t *record);

/*
 * Whether the state that another node reports replaces the own one: it belongs
 * to a newer order, or is final and comes from a newer revision of the store,
 * or neither of them is stored and it is "rolled back", or "completed" while
 * the own one is active.  The order of the reports makes no difference.
 */
bool bf_move_supersedes(const bf_move_t *reported, const bf_move_t *own);

#endif
