#ifndef BF_CONFIG_SERVICES_H
#define BF_CONFIG_SERVICES_H

#include "config/intent.h"
#include "toml/toml.h"

/*
 * Turns the merged tables of a folder into services.  Every diagnostic is added
 * with its place; what intent then holds is only good when none was.
 */
void bf_services_read(const bf_toml_node_t *root, apr_pool_t *pool,
    bf_intent_t *intent, bf_diagnostics_t *diagnostics);

#endif
