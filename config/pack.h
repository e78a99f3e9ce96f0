#ifndef BF_CONFIG_PACK_H
#define BF_CONFIG_PACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>
#include <msgpack.h>

#include "base/error.h"

/*
 * MessagePack with bounds, for every message and chunk exchanged by nodes.
 * The codec is msgpack-c; this module records the first failure of a message
 * and rejects, before anything is allocated, data that announces more elements
 * than its length can hold.
 */

typedef struct bf_packer {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	bool failed; /* an allocation failed */
} bf_packer_t;

/* The packer must stay at its address until bf_packer_finish(). */
void bf_packer_init(bf_packer_t *packer);
void bf_pack_array(bf_packer_t *packer, size_t count);
void bf_pack_uint(bf_packer_t *packer, uint64_t value);
void bf_pack_int(bf_packer_t *packer, int64_t value);
void bf_pack_bool(bf_packer_t *packer, bool value);
void bf_pack_bytes(bf_packer_t *packer, const void *data, size_t data_bytes);
/* A text of NULL is packed as nil. */
void bf_pack_text(bf_packer_t *packer, const char *text);

/*
 * Releases the packer and copies the packed bytes to pool; with pool NULL they
 * are discarded.
 */
bf_code_t bf_packer_finish(bf_packer_t *packer, apr_pool_t *pool,
    const void **data, size_t *data_bytes, bf_error_t *err);

/* Reads one message.  After the first failure every read returns zero. */
typedef struct bf_reader {
	apr_pool_t *pool; /* the strings are allocated from it */
	bf_error_t *err;  /* may be NULL */
	bf_code_t code;   /* of the first failure; BF_OK: none */
	msgpack_unpacked unpacked;
} bf_reader_t;

/*
 * Opens data, which must be exactly one object with at most objects_max
 * objects, nested ones included: this bounds the memory to
 * objects_max * sizeof(msgpack_object).  Fails with BF_ERR_PARSE or
 * BF_ERR_TOO_LARGE.  Close the reader in either case; data must outlive it.
 */
bf_code_t bf_reader_open(bf_reader_t *reader, const void *data,
    size_t data_bytes, size_t objects_max, apr_pool_t *pool, bf_error_t *err);
void bf_reader_close(bf_reader_t *reader);

/* The root object of an open reader. */
const msgpack_object *bf_reader_root(const bf_reader_t *reader);

/* Records a failure unless one is recorded already; returns the code. */
bf_code_t bf_reader_fail(
    bf_reader_t *reader, bf_code_t code, const char *what, const char *detail);

/*
 * Reads an array of count_min to count_max elements.  Here and below, what is
 * the name of the value in error messages.
 */
const msgpack_object *bf_read_array(bf_reader_t *reader,
    const msgpack_object *object, size_t count_min, size_t count_max,
    size_t *count, const char *what);

/* Reads text of at most bytes_max bytes without a NUL; copied to the pool. */
const char *bf_read_text(bf_reader_t *reader, const msgpack_object *object,
    size_t bytes_max, const char *what);
/* Like bf_read_text(), but returns NULL for nil. */
const char *bf_read_text_or_nil(bf_reader_t *reader,
    const msgpack_object *object, size_t bytes_max, const char *what);

/* Reads binary data; the result points into the data of the message. */
const void *bf_read_bytes(bf_reader_t *reader, const msgpack_object *object,
    size_t bytes_max, size_t *data_bytes, const char *what);

uint64_t bf_read_uint(bf_reader_t *reader, const msgpack_object *object,
    uint64_t max, const char *what);
int64_t bf_read_int(
    bf_reader_t *reader, const msgpack_object *object, const char *what);
bool bf_read_bool(
    bf_reader_t *reader, const msgpack_object *object, const char *what);

#endif
