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
 * Everything that is wrong with a set of files, so that an operator mends it
 * in one go.
 */

typedef struct bf_diagnostic {
	bf_code_t code;
	const char *file;     /* "" when it is no file's fault */
	uint32_t line;        /* from 1; 0: the file as a whole */
	uint32_t column;      /* in characters, from 1; 0: unknown */
	const char *key;      /* full, such as "service.permits.queue_ms" */
	const char *expected; /* what would be right; "" when not known */
	const char *message;
} bf_diagnostic_t;

/* No more than this many are kept; the others are counted in dropped. */
#define BF_DIAGNOSTICS_MAX 1000

typedef struct bf_diagnostics {
	apr_pool_t *pool;
	apr_array_header_t *list;
	const bf_diagnostic_t *items; /* of list */
	size_t count;                 /* of list */
	size_t dropped;
} bf_diagnostics_t;

/* An empty list, whose items and texts will be allocated from pool. */
bf_diagnostics_t *bf_diagnostics_new(apr_pool_t *pool);

/* Adds a copy of diagnostic and returns its code; NULL texts count as "". */
bf_code_t bf_diagnostics_add(
    bf_diagnostics_t *diagnostics, const bf_diagnostic_t *diagnostic);

/* The first diagnostic's code; BF_OK for an empty list. */
bf_code_t bf_diagnostics_code(const bf_diagnostics_t *diagnostics);

/* "FILE:LINE:COLUMN: KEY: MESSAGE (expected EXPECTED)". */
const char *bf_diagnostic_format(
    const bf_diagnostic_t *diagnostic, apr_pool_t *pool);

#ifdef __cplusplus
}
#endif

#endif
