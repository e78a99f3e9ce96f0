#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "toml/fields.h"
#include "toml/node.h"

static bf_code_t
add_type_conflict(const char *key, const bf_toml_node_t *base,
    const bf_toml_node_t *overlay, bf_diagnostics_t *diagnostics)
{
	const char *message;

	message = apr_psprintf(diagnostics->pool,
	    "has type %s here, but %s in %s, line %u",
	    bf_toml_type_name(overlay->type), bf_toml_type_name(base->type),
	    base->file, base->line);
	return bf_diagnostics_add(diagnostics,
	    &(bf_diagnostic_t){ .code = BF_ERR_TYPE,
		.file = overlay->file,
		.line = overlay->line,
		.column = overlay->column,
		.key = key,
		.expected = bf_toml_type_name(base->type),
		.message = message });
}

static bf_code_t merge_tables(bf_toml_node_t *base, bf_toml_node_t *overlay,
    const char *path, bf_diagnostics_t *diagnostics);

/* Merges a member that both tables have; base is its slot in the table. */
static bf_code_t
merge_member(bf_toml_node_t **base, bf_toml_node_t *overlay, const char *path,
    bf_diagnostics_t *diagnostics)
{
	const char *key;

	key = bf_key_join(diagnostics->pool, path, overlay->key);
	if ((*base)->type != overlay->type)
		return add_type_conflict(key, *base, overlay, diagnostics);
	if (overlay->type == BF_TOML_TABLE)
		return merge_tables(*base, overlay, key, diagnostics);
	*base = overlay;
	return BF_OK;
}

/* The slot of member's key among the first count children, or NULL. */
static bf_toml_node_t **
find_slot(bf_toml_node_t *table, size_t count, const bf_toml_node_t *member)
{
	if (count == 0)
		return NULL;
	return bsearch(&member, table->children->elts, count,
	    sizeof(bf_toml_node_t *), bf_toml_compare);
}

static bf_code_t
merge_tables(bf_toml_node_t *base, bf_toml_node_t *overlay, const char *path,
    bf_diagnostics_t *diagnostics)
{
	bf_toml_node_t **slot, *member;
	bf_code_t code, first_code;
	size_t sorted_count, i;

	first_code = BF_OK;
	sorted_count = bf_toml_count(base);
	for (i = 0; i < bf_toml_count(overlay); i++) {
		member = APR_ARRAY_IDX(overlay->children, i, bf_toml_node_t *);
		slot = find_slot(base, sorted_count, member);
		if (slot == NULL) {
			bf_toml_append(base, member);
			continue;
		}
		code = merge_member(slot, member, path, diagnostics);
		if (first_code == BF_OK)
			first_code = code;
	}
	if (bf_toml_count(base) > sorted_count)
		qsort(base->children->elts, bf_toml_count(base),
		    sizeof(bf_toml_node_t *), bf_toml_compare);
	return first_code;
}

bf_code_t
bf_toml_merge(bf_toml_node_t *base, bf_toml_node_t *overlay,
    bf_diagnostics_t *diagnostics)
{
	if (base->type != BF_TOML_TABLE || overlay->type != BF_TOML_TABLE)
		return add_type_conflict("", base, overlay, diagnostics);
	return merge_tables(base, overlay, "", diagnostics);
}
