#ifndef BF_MESH_DELTA_H
#define BF_MESH_DELTA_H

#include "base/bytes.h"
#include "base/error.h"

/*
 * The difference between two texts, as copies from the old one and bytes of
 * the new one.
 *
 * Answers the load pattern "configurations in quick succession to many nodes
 * on thin links": a configuration is hundreds of kilobytes, a change of it a
 * few hundred bytes.  The texts are compared in pieces that end with a line or
 * a closing brace, so that an insertion shifts nothing.
 */

/* Appends the difference to out.  BF_ERR_MEMORY. */
bf_code_t bf_delta_make(
    const bf_bytes_t *old, const bf_bytes_t *new, bf_bytes_t *out);

/*
 * Appends the new text to out, which holds at most most_bytes then.
 * BF_ERR_PARSE: no difference, or not one from this old text.
 */
bf_code_t bf_delta_apply(const bf_bytes_t *old, const void *delta,
    size_t delta_bytes, size_t most_bytes, bf_bytes_t *out);

#endif
