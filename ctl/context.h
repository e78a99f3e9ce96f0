#ifndef BF_CTL_CONTEXT_H
#define BF_CTL_CONTEXT_H

#include <apr_pools.h>

#include "ctl/client.h"
#include "ctl/command.h"
#include "ctl/report.h"
#include "settings/settings.h"
#include "store/store.h"

/* State and helpers shared by the commands of basilctl. */

typedef struct bf_ctl_context {
	bf_ctl_arguments_t arguments;
	apr_pool_t *pool;
	bf_ctl_settings_t settings;
	bf_store_t *store; /* NULL if the settings have no store.url */
	bf_admin_client_t *client;
} bf_ctl_context_t;

/* Print an error or diagnostics, and return the exit code for them. */
int bf_ctl_fail(bf_code_t code, const bf_error_t *err);
int bf_ctl_fail_diagnostics(
    const bf_diagnostics_t *diagnostics, apr_pool_t *pool);

/* Prints indented JSON and a newline; the caller still owns json. */
void bf_ctl_print_json(const json_t *json);

/* Returns 0, or an exit code after a message if there is no store. */
int bf_ctl_require_store(const bf_ctl_context_t *ctx);

bf_report_source_t bf_ctl_report_source(const bf_ctl_context_t *ctx);

/*
 * Waits until a version is in force on every alive node; returns BF_CTL_OK or
 * BF_CTL_TIMEOUT.
 */
int bf_ctl_wait_version(bf_ctl_context_t *ctx, long long version);

/* The commands that read or write the configuration. */
int bf_ctl_check(bf_ctl_context_t *ctx);
int bf_ctl_diff(bf_ctl_context_t *ctx);
int bf_ctl_apply(bf_ctl_context_t *ctx);

#endif
