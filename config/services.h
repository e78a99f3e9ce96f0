#ifndef BF_CONFIG_SERVICES_H
#define BF_CONFIG_SERVICES_H

#include "config/intent.h"
#include "toml/toml.h"

/*
 * Converts the merged tables of an intent directory into services.  Adds a
 * diagnostic with its source position for every error; intent may only be used
 * when none was added.
 */
void bf_services_read(const bf_toml_node_t *root, apr_pool_t *pool,
    bf_intent_t *intent, bf_diagnostics_t *diagnostics);

#endif
