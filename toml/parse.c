#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include <apr_strings.h>

#include "toml/node.h"

static bf_code_t
add_diagnostic(bf_diagnostics_t *diagnostics, bf_code_t code, const char *file,
    uint32_t line, const char *message)
{
	return bf_diagnostics_add(diagnostics,
	    &(bf_diagnostic_t){
		.code = code, .file = file, .line = line, .message = message });
}

/*
 * toml++ recurses once for each part of a dotted key, without a limit.  A key
 * cannot span lines, so a limit on the dots of a line bounds the recursion.
 */
static bf_code_t
check_dots(const char *text, size_t text_bytes, const char *file,
    bf_diagnostics_t *diagnostics)
{
	uint32_t line, dots;
	size_t i;

	line = 1;
	dots = 0;
	for (i = 0; i < text_bytes; i++) {
		if (text[i] == '\n') {
			line++;
			dots = 0;
		} else if (text[i] == '.' && ++dots > BF_TOML_LINE_DOTS_MAX) {
			return add_diagnostic(diagnostics, BF_ERR_TOO_LARGE,
			    file, line, "too many dots in one line");
		}
	}
	return BF_OK;
}

bf_code_t
bf_toml_parse(const char *text, size_t text_bytes, const char *file,
    apr_pool_t *pool, bf_toml_node_t **root, bf_diagnostics_t *diagnostics)
{
	bf_code_t code;

	*root = NULL;
	if (text_bytes > BF_TOML_FILE_BYTES_MAX)
		return add_diagnostic(diagnostics, BF_ERR_TOO_LARGE, file, 0,
		    "the file is larger than 1 MiB");
	code = check_dots(text, text_bytes, file, diagnostics);
	if (code != BF_OK)
		return code;
	return bf_toml_convert(text, text_bytes, file, pool, root, diagnostics);
}

/* Reads up to one byte more than the limit, to detect larger files. */
static size_t
read_stream(FILE *stream, apr_pool_t *pool, char **text)
{
	*text = apr_palloc(pool, BF_TOML_FILE_BYTES_MAX + 1);
	return fread(*text, 1, BF_TOML_FILE_BYTES_MAX + 1, stream);
}

bf_code_t
bf_toml_parse_file(const char *path, apr_pool_t *pool, bf_toml_node_t **root,
    bf_diagnostics_t *diagnostics)
{
	apr_pool_t *scratch;
	struct stat status;
	size_t text_bytes;
	bf_code_t code;
	FILE *stream;
	char *text;

	*root = NULL;
	/* Checked before opening: to open a FIFO would wait for a writer. */
	if (stat(path, &status) != 0)
		return add_diagnostic(
		    diagnostics, BF_ERR_IO, path, 0, strerror(errno));
	if (!S_ISREG(status.st_mode))
		return add_diagnostic(
		    diagnostics, BF_ERR_IO, path, 0, "not a regular file");
	stream = fopen(path, "re");
	if (stream == NULL)
		return add_diagnostic(
		    diagnostics, BF_ERR_IO, path, 0, strerror(errno));
	apr_pool_create_unmanaged(&scratch);
	text_bytes = read_stream(stream, scratch, &text);
	if (ferror(stream))
		code = add_diagnostic(
		    diagnostics, BF_ERR_IO, path, 0, "reading failed");
	else
		code = bf_toml_parse(
		    text, text_bytes, path, pool, root, diagnostics);
	fclose(stream);
	apr_pool_destroy(scratch);
	return code;
}
