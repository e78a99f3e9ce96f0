#include <stdlib.h>

#include <apr_general.h>

#include "config/snapshot.h"

/* Applies the input as a delta to a fixed base, which must not change. */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes);

static bf_snapshot_t *
build_base(void)
{
	static const bf_route_t routes[] = {
		{ .name = "lookup",
		    .method = "GET",
		    .path = "/permits/*",
		    .call_class = BF_CALL_REPEATABLE,
		    .deadline_ms = 2000 },
	};
	static const bf_split_t splits[] = {
		{ .version = "v1", .weight = 100 },
	};
	static const bf_service_t services[] = {
		{ .name = "permits",
		    .routes = routes,
		    .route_count = 1,
		    .splits = splits,
		    .split_count = 1 },
		{ .name = "trailcheck", .splits = splits, .split_count = 1 },
	};
	bf_snapshot_t *base;

	if (bf_snapshot_build(1, services, 2, &base, NULL) != BF_OK)
		abort();
	return base;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes)
{
	bf_snapshot_t *base, *next;
	bf_digest_t digest;

	apr_initialize();
	base = build_base();
	digest = base->digest;
	if (bf_delta_apply(base, data, data_bytes, &next, NULL) == BF_OK) {
		if (bf_snapshot_check(next, NULL) != BF_OK)
			abort();
		bf_snapshot_free(next);
	}
	if (base->version != 1 || !bf_digest_equal(base->digest, digest) ||
	    bf_snapshot_check(base, NULL) != BF_OK)
		abort();
	bf_snapshot_free(base);
	apr_terminate();
	return 0;
}
