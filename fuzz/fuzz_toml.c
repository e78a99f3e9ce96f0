#include <stdlib.h>

#include <apr_general.h>

#include "config/services.h"
#include "toml/toml.h"

/*
 * Reads the input as an intent file.  A snapshot must be built from each one
 * that is accepted.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes);

static void
check_snapshot_builds(const bf_intent_t *intent)
{
	bf_snapshot_t *snapshot;

	if (bf_snapshot_build(1, intent->services, intent->service_count,
		&snapshot, NULL) != BF_OK)
		abort();
	bf_snapshot_free(snapshot);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t data_bytes)
{
	bf_intent_t intent = { 0 };
	bf_diagnostics_t *diagnostics;
	bf_toml_node_t *root;
	apr_pool_t *pool;

	apr_initialize();
	apr_pool_create_unmanaged(&pool);
	diagnostics = bf_diagnostics_new(pool);
	if (bf_toml_parse((const char *)data, data_bytes, "input", pool, &root,
		diagnostics) == BF_OK) {
		bf_services_read(root, pool, &intent, diagnostics);
		if (diagnostics->count == 0)
			check_snapshot_builds(&intent);
	}
	apr_pool_destroy(pool);
	apr_terminate();
	return 0;
}
