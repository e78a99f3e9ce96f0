#ifndef BF_MESH_DIALECT_H
#define BF_MESH_DIALECT_H

#include "base/bytes.h"
#include "base/clock.h"
#include "mesh/move.h"
#include "mesh/routing.h"

/*
 * What differs from platform to platform: names of header fields and keys, and
 * the decoding of what operators write.  The mesh decides, a dialect
 * translates.
 */
typedef struct bf_dialect {
	/* Header fields of calls. */
	const char *request_id;      /* names a caller's attempt */
	const char *time_left_ms;    /* how long the caller waits */
	const char *expected_target; /* a target of another id refuses */
	const char *caller_service;  /* service of the instance of entry */
	const char *not_run;         /* the target did not run the call */
	const char *target_load;     /* running, waiting, slots */

	/* Keys of the store. */
	const char *operator_prefix; /* all that operators write */
	const char *config_key;
	const char *order_prefix;   /* of moves; the service follows */
	const char *outcome_prefix; /* of moves; the service follows */
	const char *member_prefix;  /* of the nodes' own entries */

	/* Decoders; a typed error for anything that is not whole and valid. */
	bf_code_t (*decode_config)(const void *data, size_t bytes,
	    bf_routing_t **routing, bf_error_t *err);
	bf_code_t (*decode_order)(const void *data, size_t bytes,
	    bf_move_order_t *order, bf_error_t *err);
	bf_code_t (*decode_outcome)(const void *data, size_t bytes,
	    bf_move_outcome_t *outcome, bf_error_t *err);
	void (*encode_outcome)(
	    const bf_move_outcome_t *outcome, bf_bytes_t *out);
} bf_dialect_t;

#endif
