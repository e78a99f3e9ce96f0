#ifndef BF_CTL_REPORT_H
#define BF_CTL_REPORT_H

#include <stdio.h>

#include <apr_pools.h>
#include <jansson.h>

#include "base/clock.h"
#include "base/error.h"
#include "ctl/accept.h"
#include "ctl/client.h"
#include "store/store.h"

/*
 * The shift report: the state of the mesh as one JSON object, collected from
 * all nodes that respond and from the store if it can be read, and its printed
 * form.
 */

typedef struct bf_report_source {
	bf_admin_client_t *client;
	const char *const *addresses; /* "IP:port" of administration APIs */
	size_t address_count;
	bf_store_t *store; /* may be NULL */
	const char *prefix;
} bf_report_source_t;

/*
 * Queries every address.  BF_ERR_UNAVAILABLE when no node responds; otherwise
 * the report lists the nodes that could not be read.  The caller owns *report.
 */
bf_code_t bf_report_gather(const bf_report_source_t *source, apr_pool_t *pool,
    json_t **report, bf_error_t *err);

/* Prints the report as text; with a few moves it fits on one screen. */
void bf_report_print(const json_t *report, bf_time_us_t wall_us, FILE *out);

/* How many nodes run one version, for `basilctl wait`. */
typedef struct bf_convergence {
	json_int_t alive;
	json_int_t in_force; /* alive nodes at that version or a newer one */
} bf_convergence_t;

/* Counts the nodes in the member list of the first address that responds. */
bf_code_t bf_report_convergence(const bf_report_source_t *source,
    json_int_t version, bf_convergence_t *convergence, bf_error_t *err);

/* Member list of the first address that responds; the caller owns *members. */
bf_code_t bf_report_members(
    const bf_report_source_t *source, json_t **members, bf_error_t *err);

/* Formats a time as "2026-12-04 08:12:03Z" and returns text. */
const char *bf_report_time(bf_time_us_t wall_us, char *text, size_t text_bytes);

#endif
