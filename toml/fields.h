#ifndef BF_TOML_FIELDS_H
#define BF_TOML_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "toml/toml.h"

/*
 * Descriptors of the keys that a TOML table may have: the type and bounds of
 * their values, and the members of a C struct in which these are stored.
 * Members whose keys are absent keep their values.
 */

typedef enum bf_field_kind {
	BF_FIELD_TEXT,      /* const char * */
	BF_FIELD_UINT32,    /* uint32_t, min to max */
	BF_FIELD_BOOL,      /* bool */
	BF_FIELD_TIME,      /* bf_time_us_t */
	BF_FIELD_CHOICE,    /* uint32_t: index into choices */
	BF_FIELD_TEXT_LIST, /* const char *const *, and a size_t count */
	BF_FIELD_CUSTOM     /* read by the caller; only its key is checked */
} bf_field_kind_t;

typedef struct bf_field {
	const char *key;
	bf_field_kind_t kind;
	size_t offset;       /* of the member in the struct */
	size_t count_offset; /* of the count, for BF_FIELD_TEXT_LIST */
	uint32_t min;
	uint32_t max;
	bool required;
	bool secret;                     /* its value is left out of messages */
	const char *const *choices;      /* ends with NULL */
	bool (*valid)(const char *text); /* NULL: all are valid */
	const char *expected;            /* what is valid, for messages */
} bf_field_t;

/*
 * Reads table, whose full key is path, into record.  Adds a diagnostic for
 * each unknown key, wrong type, value out of bounds and missing required key.
 */
void bf_fields_read(const bf_toml_node_t *table, const char *path,
    const bf_field_t *fields, size_t field_count, void *record,
    bf_diagnostics_t *diagnostics);

/* Reads a single value, whose full key is key, into record. */
void bf_field_read(const bf_toml_node_t *node, const char *key,
    const bf_field_t *field, void *record, bf_diagnostics_t *diagnostics);

/* Returns "PATH.KEY", with the key in quotes if TOML requires them. */
const char *bf_key_join(apr_pool_t *pool, const char *path, const char *key);

/* Adds a diagnostic with the source position of node. */
bf_code_t bf_diagnostics_add_at(bf_diagnostics_t *diagnostics, bf_code_t code,
    const bf_toml_node_t *node, const char *key, const char *expected,
    const char *message);

#endif
