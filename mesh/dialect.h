#ifndef BF_MESH_DIALECT_H
#define BF_MESH_DIALECT_H

#include "base/bytes.h"
#include "base/clock.h"
#include "mesh/move.h"
#include "mesh/routing.h"

/*
 * Names and encodings that differ between platforms: header fields, keys of the
 * store, and the values that operators write.  All decisions are made in mesh/.
 */
typedef struct bf_dialect {
	/* Header fields of calls. */
	const char *request_id;      /* id of one attempt of a caller */
	const char *time_left_ms;    /* remaining time of the caller */
	const char *expected_target; /* id of the target that may run it */
	const char *caller_service;  /* service of the entry node */
	const char *not_run;         /* the target did not run the call */
	const char *target_load;     /* running and waiting calls, slots */
	const char *target_id;       /* of the target, in its health response */
	const char *warm_up_ms;      /* how long it stays cold, there as well */
	const char *account;         /* name of the caller's account */
	const char *authorization;   /* of the caller: scheme and key */
	const char *authorization_scheme;

	/* Keys of the store. */
	const char *operator_prefix; /* of all keys that operators write */
	const char *config_key;
	const char *order_prefix;      /* of moves; followed by the service */
	const char *outcome_prefix;    /* of moves; followed by the service */
	const char *member_prefix;     /* of the entries of nodes */
	const char *evacuation_prefix; /* followed by an availability zone */

	/* Decoders; they fail for an incomplete or invalid value. */
	/*
	 * previous: a configuration of which the new one may take over what
	 * both have in common; NULL: none.  version: set also on a failure, to
	 * 0 if it could not be read.
	 */
	bf_code_t (*decode_config)(const void *data, size_t bytes,
	    const bf_routing_t *previous, bf_routing_t **routing,
	    uint64_t *version, bf_error_t *err);
	bf_code_t (*decode_order)(const void *data, size_t bytes,
	    bf_move_order_t *order, bf_error_t *err);
	bf_code_t (*decode_outcome)(const void *data, size_t bytes,
	    bf_move_outcome_t *outcome, bf_error_t *err);
	void (*encode_outcome)(
	    const bf_move_outcome_t *outcome, bf_bytes_t *out);
} bf_dialect_t;

#endif
