#ifndef BF_TOML_DIAGNOSTIC_H
#define BF_TOML_DIAGNOSTIC_H

#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>
#include <apr_tables.h>

#include "base/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The errors found in a set of files, collected so that an operator can fix
 * all of them at once.
 */

typedef struct bf_diagnostic {
	bf_code_t code;
	const char *file;     /* "" for errors that concern no file */
	uint32_t line;        /* from 1; 0: the whole file */
	uint32_t column;      /* in characters, from 1; 0: unknown */
	const char *key;      /* dotted, such as "service.permits.queue_ms" */
	const char *expected; /* what would be valid; "" if unknown */
	const char *message;
} bf_diagnostic_t;

/* Maximum number kept in a list; any others are only counted, in dropped. */
#define BF_DIAGNOSTICS_MAX 1000

typedef struct bf_diagnostics {
	apr_pool_t *pool;
	apr_array_header_t *list;
	const bf_diagnostic_t *items; /* elements of list */
	size_t count;                 /* elements of list */
	size_t dropped;
} bf_diagnostics_t;

/* Returns an empty list whose items and strings are allocated from pool. */
bf_diagnostics_t *bf_diagnostics_new(apr_pool_t *pool);

/* Adds a copy and returns its code; strings that are NULL become "". */
bf_code_t bf_diagnostics_add(
    bf_diagnostics_t *diagnostics, const bf_diagnostic_t *diagnostic);

/* Returns the code of the first diagnostic; BF_OK for an empty list. */
bf_code_t bf_diagnostics_code(const bf_diagnostics_t *diagnostics);

/* "FILE:LINE:COLUMN: KEY: MESSAGE (expected EXPECTED)". */
const char *bf_diagnostic_format(
    const bf_diagnostic_t *diagnostic, apr_pool_t *pool);

#ifdef __cplusplus
}
#endif

#endif
