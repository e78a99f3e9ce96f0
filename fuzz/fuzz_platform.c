#include <stddef.h>
#include <stdint.h>

#include <apr_general.h>

#include "platform/platform.h"

/*
 * Decoders of what operators, targets and other writers leave in the store or
 * send: a configuration, an order, an outcome, a heartbeat and a departure.
 */

#define WALL_US (INT64_C(1780682200000) * BF_US_PER_MS)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes)
{
	const bf_dialect_t *dialect = &bf_platform_dialect;
	bf_routing_t *routing = NULL;
	bf_move_outcome_t outcome;
	bf_heartbeat_t heartbeat;
	bf_move_order_t order;
	uint64_t version;
	bf_error_t err;

	apr_initialize();
	if (dialect->decode_config(
		data, data_bytes, NULL, &routing, &version, &err) == BF_OK)
		bf_routing_release(routing);
	(void)dialect->decode_order(data, data_bytes, &order, &err);
	(void)dialect->decode_outcome(data, data_bytes, &outcome, &err);
	(void)bf_platform_decode_heartbeat(
	    "i-1", data, data_bytes, WALL_US, &heartbeat, &err);
	(void)bf_platform_decode_departure(data, data_bytes, WALL_US);
	apr_terminate();
	return 0;
}
