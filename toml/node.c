#include <stdlib.h>
#include <string.h>

#include "toml/node.h"

#define CHILDREN_INITIAL 4

static const char *const type_names[] = {
	[BF_TOML_TABLE] = "table",
	[BF_TOML_ARRAY] = "array",
	[BF_TOML_STRING] = "string",
	[BF_TOML_INTEGER] = "integer",
	[BF_TOML_FLOAT] = "float",
	[BF_TOML_BOOLEAN] = "boolean",
	[BF_TOML_TIME] = "time",
	[BF_TOML_LOCAL_TIME] = "time without offset",
};

void
bf_toml_append(bf_toml_node_t *parent, bf_toml_node_t *child)
{
	if (parent->children == NULL)
		parent->children = apr_array_make(
		    parent->pool, CHILDREN_INITIAL, sizeof(bf_toml_node_t *));
	APR_ARRAY_PUSH(parent->children, bf_toml_node_t *) = child;
}

int
bf_toml_compare(const void *a, const void *b)
{
	const bf_toml_node_t *const *left, *const *right;

	left = a;
	right = b;
	return strcmp((*left)->key, (*right)->key);
}

bf_toml_type_t
bf_toml_type(const bf_toml_node_t *node)
{
	return node->type;
}

const char *
bf_toml_type_name(bf_toml_type_t type)
{
	return type_names[type];
}

const char *
bf_toml_file(const bf_toml_node_t *node)
{
	return node->file;
}

uint32_t
bf_toml_line(const bf_toml_node_t *node)
{
	return node->line;
}

uint32_t
bf_toml_column(const bf_toml_node_t *node)
{
	return node->column;
}

const char *
bf_toml_key(const bf_toml_node_t *node)
{
	return node->key;
}

size_t
bf_toml_count(const bf_toml_node_t *node)
{
	return node->children == NULL ? 0 : (size_t)node->children->nelts;
}

const bf_toml_node_t *
bf_toml_at(const bf_toml_node_t *node, size_t index)
{
	return APR_ARRAY_IDX(node->children, index, bf_toml_node_t *);
}

const bf_toml_node_t *
bf_toml_get(const bf_toml_node_t *table, const char *key)
{
	const bf_toml_node_t search_node = { .key = key };
	const bf_toml_node_t *search_key;
	bf_toml_node_t **found;

	if (table->type != BF_TOML_TABLE || table->children == NULL)
		return NULL;
	search_key = &search_node;
	found = bsearch(&search_key, table->children->elts,
	    (size_t)table->children->nelts, sizeof(bf_toml_node_t *),
	    bf_toml_compare);
	return found == NULL ? NULL : *found;
}

bf_code_t
bf_toml_string(const bf_toml_node_t *node, const char **out)
{
	if (node->type != BF_TOML_STRING)
		return BF_ERR_TYPE;
	*out = node->value.text;
	return BF_OK;
}

bf_code_t
bf_toml_integer(const bf_toml_node_t *node, int64_t *out)
{
	if (node->type != BF_TOML_INTEGER)
		return BF_ERR_TYPE;
	*out = node->value.integer;
	return BF_OK;
}

bf_code_t
bf_toml_float(const bf_toml_node_t *node, double *out)
{
	if (node->type != BF_TOML_FLOAT)
		return BF_ERR_TYPE;
	*out = node->value.real;
	return BF_OK;
}

bf_code_t
bf_toml_boolean(const bf_toml_node_t *node, bool *out)
{
	if (node->type != BF_TOML_BOOLEAN)
		return BF_ERR_TYPE;
	*out = node->value.boolean;
	return BF_OK;
}

bf_code_t
bf_toml_time(const bf_toml_node_t *node, bf_time_us_t *out)
{
	if (node->type != BF_TOML_TIME)
		return BF_ERR_TYPE;
	*out = node->value.time_us;
	return BF_OK;
}
