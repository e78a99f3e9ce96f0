#ifndef BF_TOML_NODE_H
#define BF_TOML_NODE_H

#include <apr_tables.h>

#include "toml/toml.h"

/* Internals of nodes, private to this library. */

#ifdef __cplusplus
extern "C" {
#endif

struct bf_toml_node {
	bf_toml_type_t type;
	const char *file;
	const char *key;
	uint32_t line;
	uint32_t column;
	union {
		const char *text;
		int64_t integer;
		double real;
		bool boolean;
		bf_time_us_t time_us;
	} value;
	apr_array_header_t *children; /* bf_toml_node_t *; NULL: none */
	apr_pool_t *pool;
};

/* Appends a child to a table or array. */
void bf_toml_append(bf_toml_node_t *parent, bf_toml_node_t *child);

/* Orders two elements of children by key, for qsort(3) and bsearch(3). */
int bf_toml_compare(const void *a, const void *b);

/* Parses text without checking its size and the dots in its lines. */
bf_code_t bf_toml_convert(const char *text, size_t text_bytes, const char *file,
    apr_pool_t *pool, bf_toml_node_t **root, bf_diagnostics_t *diagnostics);

#ifdef __cplusplus
}
#endif

#endif
