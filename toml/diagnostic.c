#include <apr_strings.h>

#include "toml/diagnostic.h"

#define ITEMS_INITIAL 8

bf_diagnostics_t *
bf_diagnostics_new(apr_pool_t *pool)
{
	bf_diagnostics_t *diagnostics;

	diagnostics = apr_pcalloc(pool, sizeof(*diagnostics));
	diagnostics->pool = pool;
	diagnostics->list =
	    apr_array_make(pool, ITEMS_INITIAL, sizeof(bf_diagnostic_t));
	return diagnostics;
}

static const char *
copy_text(apr_pool_t *pool, const char *text)
{
	return text == NULL ? "" : apr_pstrdup(pool, text);
}

bf_code_t
bf_diagnostics_add(
    bf_diagnostics_t *diagnostics, const bf_diagnostic_t *diagnostic)
{
	bf_diagnostic_t *item;

	if (diagnostics->count == BF_DIAGNOSTICS_MAX) {
		diagnostics->dropped++;
		return diagnostic->code;
	}
	item = apr_array_push(diagnostics->list);
	*item = *diagnostic;
	item->file = copy_text(diagnostics->pool, diagnostic->file);
	item->key = copy_text(diagnostics->pool, diagnostic->key);
	item->expected = copy_text(diagnostics->pool, diagnostic->expected);
	item->message = copy_text(diagnostics->pool, diagnostic->message);
	diagnostics->items = (const bf_diagnostic_t *)diagnostics->list->elts;
	diagnostics->count = (size_t)diagnostics->list->nelts;
	return item->code;
}

bf_code_t
bf_diagnostics_code(const bf_diagnostics_t *diagnostics)
{
	return diagnostics->count == 0 ? BF_OK : diagnostics->items[0].code;
}

static const char *
format_position(const bf_diagnostic_t *diagnostic, apr_pool_t *pool)
{
	if (diagnostic->file[0] == '\0')
		return "";
	if (diagnostic->line == 0)
		return apr_psprintf(pool, "%s: ", diagnostic->file);
	if (diagnostic->column == 0)
		return apr_psprintf(
		    pool, "%s:%u: ", diagnostic->file, diagnostic->line);
	return apr_psprintf(pool, "%s:%u:%u: ", diagnostic->file,
	    diagnostic->line, diagnostic->column);
}

const char *
bf_diagnostic_format(const bf_diagnostic_t *diagnostic, apr_pool_t *pool)
{
	const char *key, *expected;

	key = diagnostic->key[0] == '\0'
	    ? ""
	    : apr_pstrcat(pool, diagnostic->key, ": ", NULL);
	expected = diagnostic->expected[0] == '\0'
	    ? ""
	    : apr_pstrcat(pool, " (expected ", diagnostic->expected, ")", NULL);
	return apr_pstrcat(pool, format_position(diagnostic, pool), key,
	    diagnostic->message, expected, NULL);
}
