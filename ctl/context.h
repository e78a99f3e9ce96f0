#ifndef BF_CTL_CONTEXT_H
#define BF_CTL_CONTEXT_H

#include <apr_pools.h>

#include "ctl/client.h"
#include "ctl/command.h"
#include "ctl/report.h"
#include "settings/settings.h"
#include "store/store.h"

/* What the commands of basilctl share. */

typedef struct bf_ctl_context {
	bf_ctl_arguments_t arguments;
	apr_pool_t *pool;
	bf_ctl_settings_t settings;
	bf_store_t *store; /* NULL: the settings name none */
	bf_client_t *client;
} bf_ctl_context_t;

/* Prints a failure; returns the exit code for it. */
int bf_ctl_fail(bf_code_t code, const bf_error_t *err);
int bf_ctl_fail_problems(const bf_diagnostics_t *problems, apr_pool_t *pool);

/* Prints JSON with a newline; json stays the caller's. */
void bf_ctl_print_json(const json_t *json);

/* 0, or an exit code after a message when the settings name no store. */
int bf_ctl_need_store(const bf_ctl_context_t *ctx);

/* Where reports come from. */
bf_report_source_t bf_ctl_source(const bf_ctl_context_t *ctx);

/* Waits until a version is in force on every node that is alive. */
int bf_ctl_wait_for(bf_ctl_context_t *ctx, long long version);

/* The commands that read or write the configuration. */
int bf_ctl_check(bf_ctl_context_t *ctx);
int bf_ctl_diff(bf_ctl_context_t *ctx);
int bf_ctl_apply(bf_ctl_context_t *ctx);

#endif
