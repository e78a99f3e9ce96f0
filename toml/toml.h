#ifndef BF_TOML_TOML_H
#define BF_TOML_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "base/clock.h"
#include "base/error.h"
#include "toml/diagnostic.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Parses TOML 1.0 files into trees of nodes, each with its file, line and
 * column.  The parser is toml++; no exception leaves this library.
 */

/* Limits on the input. */
#define BF_TOML_FILE_BYTES_MAX 1048576
#define BF_TOML_NESTING_MAX 16
/* Bounds the number of parts of a key, and so the parser's stack. */
#define BF_TOML_LINE_DOTS_MAX 64

typedef enum bf_toml_type {
	BF_TOML_TABLE,
	BF_TOML_ARRAY,
	BF_TOML_STRING,
	BF_TOML_INTEGER,
	BF_TOML_FLOAT,
	BF_TOML_BOOLEAN,
	BF_TOML_TIME, /* date and time with an offset from UTC */
	/* Date, time or both, without an offset; its value is not kept. */
	BF_TOML_LOCAL_TIME
} bf_toml_type_t;

typedef struct bf_toml_node bf_toml_node_t;

/*
 * Parses text; file is the name of its file for messages.  On BF_ERR_PARSE and
 * BF_ERR_TOO_LARGE one diagnostic with the position is added.
 */
bf_code_t bf_toml_parse(const char *text, size_t text_bytes, const char *file,
    apr_pool_t *pool, bf_toml_node_t **root, bf_diagnostics_t *diagnostics);

/* Parses a regular file; BF_ERR_IO if it cannot be read. */
bf_code_t bf_toml_parse_file(const char *path, apr_pool_t *pool,
    bf_toml_node_t **root, bf_diagnostics_t *diagnostics);

bf_toml_type_t bf_toml_type(const bf_toml_node_t *node);
/* "table", "array", "string" and so on. */
const char *bf_toml_type_name(bf_toml_type_t type);

/* The position of the node's key, or of its value if it has no key. */
const char *bf_toml_file(const bf_toml_node_t *node);
uint32_t bf_toml_line(const bf_toml_node_t *node);
uint32_t bf_toml_column(const bf_toml_node_t *node);

/* The key of a table's member; "" for an array's element and the root. */
const char *bf_toml_key(const bf_toml_node_t *node);

/* The members of a table, sorted by key, or the elements of an array. */
size_t bf_toml_count(const bf_toml_node_t *node);
const bf_toml_node_t *bf_toml_at(const bf_toml_node_t *node, size_t index);

/* The member with that key; NULL if absent or if table is not a table. */
const bf_toml_node_t *bf_toml_get(const bf_toml_node_t *table, const char *key);

/* Values; BF_ERR_TYPE, with out unchanged, for a node of another type. */
bf_code_t bf_toml_string(const bf_toml_node_t *node, const char **out);
bf_code_t bf_toml_integer(const bf_toml_node_t *node, int64_t *out);
bf_code_t bf_toml_float(const bf_toml_node_t *node, double *out);
bf_code_t bf_toml_boolean(const bf_toml_node_t *node, bool *out);
/* Microseconds since 1970 in UTC. */
bf_code_t bf_toml_time(const bf_toml_node_t *node, bf_time_us_t *out);

/*
 * Merges overlay into base, key by key: tables are merged, any other value of
 * overlay replaces the one of base.  A key with different types keeps base's
 * value and adds a BF_ERR_TYPE diagnostic that names both positions.  The
 * result uses nodes of both trees; overlay must not be used afterwards.
 */
bf_code_t bf_toml_merge(bf_toml_node_t *base, bf_toml_node_t *overlay,
    bf_diagnostics_t *diagnostics);

#ifdef __cplusplus
}
#endif

#endif
