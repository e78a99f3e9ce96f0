#ifndef BF_MESH_MOVE_HISTORY_H
#define BF_MESH_MOVE_HISTORY_H

#include "mesh/move.h"

/*
 * Recognises the orders of moves after the store was restored from an old copy.
 *
 * Handles the failure "the store forgets its last seconds": the order in force
 * may be missing, an earlier one of the service may be back in its place, and
 * the operator writes the lost one again.  Each of these has a greater revision
 * than before, as it is of a new era of the store.  Without the orders that the
 * node has seen, the first would end the move, the second would undo it and the
 * third would begin it anew.
 */

#define BF_MOVE_HISTORY_MAX 8

typedef struct bf_move_history {
	struct {
		uint64_t revision;
		char version[BF_SERVICE_BYTES];
	} orders[BF_MOVE_HISTORY_MAX]; /* the newest first */
	uint32_t count;
} bf_move_history_t;

typedef enum bf_order_kind {
	BF_ORDER_NEW,  /* it begins a move */
	BF_ORDER_SAME, /* the order of the move, with another revision */
	BF_ORDER_OLD   /* an earlier order */
} bf_order_kind_t;

/*
 * What an order with this version and revision is to a node that knows move.
 * An order of a new era is the same one if it has the same version: the
 * operator wrote it again.
 */
bf_order_kind_t bf_move_history_classify(const bf_move_history_t *history,
    const bf_move_t *move, const char *version, uint64_t revision);

/* Records an order that was seen; the oldest is forgotten when it is full. */
void bf_move_history_add(
    bf_move_history_t *history, const char *version, uint64_t revision);

#endif
