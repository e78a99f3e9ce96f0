#ifndef BF_MESH_DELTA_H
#define BF_MESH_DELTA_H

#include "base/bytes.h"
#include "base/error.h"

/*
 * Delta of two texts: ranges to copy from the old text, and bytes that only the
 * new text has.
 *
 * Handles the load pattern "configurations in quick succession to many nodes
 * on slow links": a configuration has hundreds of kilobytes, a change to it a
 * few hundred bytes.  The texts are compared in chunks that end at a newline or
 * a closing brace, so that an insertion doesn't move the bounds of later
 * chunks.
 */

/* Appends the delta to out.  Fails only with BF_ERR_MEMORY. */
bf_code_t bf_delta_make(
    const bf_bytes_t *old, const bf_bytes_t *new, bf_bytes_t *out);

/*
 * Appends the new text to out, which may hold up to max_bytes in the end.
 * Returns BF_ERR_PARSE if delta is malformed or doesn't fit the old text.
 */
bf_code_t bf_delta_apply(const bf_bytes_t *old, const void *delta,
    size_t delta_bytes, size_t max_bytes, bf_bytes_t *out);

#endif
