#include <stdlib.h>
#include <string.h>

#include <apr_file_info.h>
#include <apr_strings.h>
#include <apr_tables.h>

#include "config/intent.h"
#include "config/services.h"
#include "toml/toml.h"

#define SUFFIX ".toml"

static bool
is_intent_file(const char *name)
{
	size_t bytes;

	bytes = strlen(name);
	return name[0] != '.' && bytes > strlen(SUFFIX) &&
	    strcmp(name + bytes - strlen(SUFFIX), SUFFIX) == 0;
}

static bf_code_t
add_diagnostic(bf_diagnostics_t *diagnostics, bf_code_t code, const char *file,
    const char *expected, const char *message)
{
	return bf_diagnostics_add(diagnostics,
	    &(bf_diagnostic_t){ .code = code,
		.file = file,
		.expected = expected,
		.message = message });
}

static int
compare_names(const void *a, const void *b)
{
	const char *const *left, *const *right;

	left = a;
	right = b;
	return strcmp(*left, *right);
}

/* Lists the paths of the intent files of dir, sorted by name. */
static bf_code_t
list_files(const char *dir, apr_pool_t *pool, apr_array_header_t *files,
    bf_diagnostics_t *diagnostics)
{
	apr_finfo_t info;
	apr_dir_t *handle;
	char text[128];
	apr_status_t rv;

	rv = apr_dir_open(&handle, dir, pool);
	if (rv != APR_SUCCESS)
		return add_diagnostic(diagnostics, BF_ERR_IO, dir, NULL,
		    apr_strerror(rv, text, sizeof(text)));
	while (apr_dir_read(&info, APR_FINFO_NAME, handle) == APR_SUCCESS) {
		if (is_intent_file(info.name))
			APR_ARRAY_PUSH(files, const char *) =
			    apr_pstrcat(pool, dir, "/", info.name, NULL);
	}
	apr_dir_close(handle);
	if (files->nelts == 0)
		return add_diagnostic(diagnostics, BF_ERR_NOT_FOUND, dir,
		    "files named *" SUFFIX,
		    "the directory has no intent files");
	if (files->nelts > BF_INTENT_FILES_MAX)
		return add_diagnostic(diagnostics, BF_ERR_TOO_LARGE, dir,
		    apr_psprintf(pool, "at most %d", BF_INTENT_FILES_MAX),
		    "too many files");
	qsort(files->elts, (size_t)files->nelts, sizeof(const char *),
	    compare_names);
	return BF_OK;
}

/* Continues after an invalid file, to report the diagnostics of all files. */
static bf_toml_node_t *
merge_files(const apr_array_header_t *files, apr_pool_t *pool,
    bf_diagnostics_t *diagnostics)
{
	bf_toml_node_t *merged, *root;
	const char *path;
	int i;

	merged = NULL;
	for (i = 0; i < files->nelts; i++) {
		path = APR_ARRAY_IDX(files, i, const char *);
		if (bf_toml_parse_file(path, pool, &root, diagnostics) != BF_OK)
			continue;
		if (merged == NULL)
			merged = root;
		else
			bf_toml_merge(merged, root, diagnostics);
	}
	return merged;
}

bf_code_t
bf_intent_load(const char *dir, apr_pool_t *pool, bf_intent_t *intent,
    bf_diagnostics_t *diagnostics)
{
	apr_array_header_t *files;
	bf_toml_node_t *merged;
	bf_code_t code;

	*intent = (bf_intent_t){ 0 };
	files = apr_array_make(pool, 8, sizeof(const char *));
	code = list_files(dir, pool, files, diagnostics);
	if (code != BF_OK)
		return code;
	merged = merge_files(files, pool, diagnostics);
	if (merged != NULL)
		bf_services_read(merged, pool, intent, diagnostics);
	code = bf_diagnostics_code(diagnostics);
	if (code != BF_OK) {
		*intent = (bf_intent_t){ 0 };
		return code;
	}
	intent->files = (const char *const *)files->elts;
	intent->file_count = (size_t)files->nelts;
	return BF_OK;
}
