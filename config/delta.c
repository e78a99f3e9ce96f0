#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/check.h"
#include "config/chunk.h"
#include "config/pack.h"
#include "config/snapshot.h"

/* Encoding version, first in each delta; the decoder accepts no other. */
#define DELTA_FORMAT 1

#define DELTA_FIELDS 9
#define DELTA_OBJECTS_MAX (DELTA_FIELDS + 1 + 2 * BF_SERVICES_MAX)

static const bf_chunk_t *
find_chunk(const bf_snapshot_t *snapshot, const char *service)
{
	const bf_service_t *found;

	found = bf_snapshot_find_service(snapshot, service);
	if (found == NULL)
		return NULL;
	return &snapshot->chunks[found - snapshot->services];
}

static bool
chunk_changed(const bf_snapshot_t *base, const bf_chunk_t *chunk)
{
	const bf_chunk_t *old;

	old = find_chunk(base, chunk->service);
	return old == NULL || !bf_digest_equal(old->digest, chunk->digest);
}

static void
pack_changed(
    bf_packer_t *packer, const bf_snapshot_t *base, const bf_snapshot_t *next)
{
	size_t count, i;

	count = 0;
	for (i = 0; i < next->service_count; i++)
		count += chunk_changed(base, &next->chunks[i]);
	bf_pack_array(packer, count);
	for (i = 0; i < next->service_count; i++) {
		if (chunk_changed(base, &next->chunks[i]))
			bf_pack_bytes(packer, next->chunks[i].data,
			    next->chunks[i].data_bytes);
	}
}

static void
pack_removed(
    bf_packer_t *packer, const bf_snapshot_t *base, const bf_snapshot_t *next)
{
	const char *name;
	size_t count, i;

	count = 0;
	for (i = 0; i < base->service_count; i++) {
		name = base->services[i].name;
		count += bf_snapshot_find_service(next, name) == NULL;
	}
	bf_pack_array(packer, count);
	for (i = 0; i < base->service_count; i++) {
		name = base->services[i].name;
		if (bf_snapshot_find_service(next, name) == NULL)
			bf_pack_text(packer, name);
	}
}

bf_code_t
bf_delta_encode(const bf_snapshot_t *base, const bf_snapshot_t *next,
    apr_pool_t *pool, const void **data, size_t *data_bytes, bf_error_t *err)
{
	bf_packer_t packer;

	bf_packer_init(&packer);
	bf_pack_array(&packer, DELTA_FIELDS);
	bf_pack_uint(&packer, DELTA_FORMAT);
	bf_pack_uint(&packer, base->version);
	bf_pack_uint(&packer, base->digest.high);
	bf_pack_uint(&packer, base->digest.low);
	bf_pack_uint(&packer, next->version);
	bf_pack_uint(&packer, next->digest.high);
	bf_pack_uint(&packer, next->digest.low);
	pack_changed(&packer, base, next);
	pack_removed(&packer, base, next);
	return bf_packer_finish(&packer, pool, data, data_bytes, err);
}

/* A decoded delta; the chunks are sorted by the names of their services. */
typedef struct bf_delta {
	uint64_t base_version;
	bf_digest_t base_digest;
	uint64_t version;
	bf_digest_t digest;
	bf_chunk_t *changed;
	size_t changed_count;
	const char **removed;
	size_t removed_count;
} bf_delta_t;

static void
read_changed(
    bf_reader_t *reader, const msgpack_object *object, bf_delta_t *delta)
{
	const msgpack_object *f;
	bf_service_t service;
	bf_chunk_t *chunk;
	bf_code_t code;
	size_t i;

	f = bf_read_array(reader, object, 0, BF_SERVICES_MAX,
	    &delta->changed_count, "changed services");
	delta->changed = apr_pcalloc(
	    reader->pool, (delta->changed_count + 1) * sizeof(*delta->changed));
	for (i = 0; i < delta->changed_count; i++) {
		chunk = &delta->changed[i];
		chunk->data = bf_read_bytes(reader, &f[i], BF_CHUNK_BYTES_MAX,
		    &chunk->data_bytes, "service");
		if (reader->code != BF_OK)
			return;
		code = bf_chunk_decode(chunk->data, chunk->data_bytes,
		    reader->pool, &service, reader->err);
		if (code != BF_OK) {
			reader->code = code;
			return;
		}
		chunk->service = service.name;
		chunk->digest = bf_digest_of(chunk->data, chunk->data_bytes);
	}
}

static void
read_removed(
    bf_reader_t *reader, const msgpack_object *object, bf_delta_t *delta)
{
	const msgpack_object *f;
	size_t i;

	f = bf_read_array(reader, object, 0, BF_SERVICES_MAX,
	    &delta->removed_count, "removed services");
	delta->removed = apr_pcalloc(
	    reader->pool, (delta->removed_count + 1) * sizeof(*delta->removed));
	for (i = 0; i < delta->removed_count; i++)
		delta->removed[i] = bf_read_text(
		    reader, &f[i], BF_NAME_BYTES_MAX, "removed service name");
}

/*
 * Compares the base before decoding any chunk, so that most deltas which do
 * not apply are rejected early.
 */
static void
read_delta(bf_reader_t *reader, const bf_snapshot_t *base, bf_delta_t *delta)
{
	const msgpack_object *f;
	size_t n;

	f = bf_read_array(reader, bf_reader_root(reader), DELTA_FIELDS,
	    DELTA_FIELDS, &n, "delta");
	if (f == NULL)
		return;
	if (bf_read_uint(reader, &f[0], UINT64_MAX, "format") != DELTA_FORMAT)
		bf_reader_fail(reader, BF_ERR_PARSE, "format", "not supported");
	delta->base_version = bf_read_uint(reader, &f[1], UINT64_MAX, "base");
	delta->base_digest.high =
	    bf_read_uint(reader, &f[2], UINT64_MAX, "base digest");
	delta->base_digest.low =
	    bf_read_uint(reader, &f[3], UINT64_MAX, "base digest");
	delta->version = bf_read_uint(reader, &f[4], UINT64_MAX, "version");
	delta->digest.high = bf_read_uint(reader, &f[5], UINT64_MAX, "digest");
	delta->digest.low = bf_read_uint(reader, &f[6], UINT64_MAX, "digest");
	if (reader->code != BF_OK)
		return;
	if (delta->base_version != base->version ||
	    !bf_digest_equal(delta->base_digest, base->digest)) {
		bf_reader_fail(reader, BF_ERR_BASE, "delta",
		    "made for another base version or digest");
		return;
	}
	read_changed(reader, &f[7], delta);
	read_removed(reader, &f[8], delta);
}

/* True when the delta removes or replaces the base's chunk of service. */
static bool
is_removed_or_replaced(const bf_delta_t *delta, const char *service)
{
	size_t i;

	for (i = 0; i < delta->removed_count; i++) {
		if (strcmp(delta->removed[i], service) == 0)
			return true;
	}
	for (i = 0; i < delta->changed_count; i++) {
		if (strcmp(delta->changed[i].service, service) == 0)
			return true;
	}
	return false;
}

static bf_code_t
merge_chunks(const bf_snapshot_t *base, const bf_delta_t *delta,
    apr_pool_t *pool, bf_snapshot_t **out, bf_error_t *err)
{
	bf_chunk_t *chunks;
	bf_code_t code;
	size_t count, i;

	chunks = apr_pcalloc(pool,
	    (base->service_count + delta->changed_count + 1) * sizeof(*chunks));
	count = 0;
	for (i = 0; i < base->service_count; i++) {
		if (!is_removed_or_replaced(delta, base->chunks[i].service))
			chunks[count++] = base->chunks[i];
	}
	for (i = 0; i < delta->changed_count; i++)
		chunks[count++] = delta->changed[i];
	qsort(chunks, count, sizeof(*chunks), bf_chunk_compare);
	code = bf_snapshot_from_chunks(delta->version, chunks, count, out, err);
	if (code != BF_OK)
		return code;
	if (bf_digest_equal((*out)->digest, delta->digest))
		return BF_OK;
	bf_snapshot_free(*out);
	*out = NULL;
	return bf_error_set(err, BF_ERR_DIGEST,
	    "version %" PRIu64 " does not have the digest that the delta "
	    "states",
	    delta->version);
}

static bf_code_t
read_and_apply(bf_reader_t *reader, const bf_snapshot_t *base,
    bf_snapshot_t **out, bf_error_t *err)
{
	bf_delta_t delta = { 0 };

	read_delta(reader, base, &delta);
	if (reader->code != BF_OK)
		return reader->code;
	return merge_chunks(base, &delta, reader->pool, out, err);
}

bf_code_t
bf_delta_apply(const bf_snapshot_t *base, const void *data, size_t data_bytes,
    bf_snapshot_t **out, bf_error_t *err)
{
	bf_reader_t reader;
	apr_pool_t *scratch;
	bf_code_t code;

	*out = NULL;
	if (data_bytes > BF_SNAPSHOT_BYTES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "the delta is larger than %d bytes", BF_SNAPSHOT_BYTES_MAX);
	if (apr_pool_create_unmanaged(&scratch) != APR_SUCCESS)
		return bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	code = bf_reader_open(
	    &reader, data, data_bytes, DELTA_OBJECTS_MAX, scratch, err);
	if (code == BF_OK)
		code = read_and_apply(&reader, base, out, err);
	bf_reader_close(&reader);
	apr_pool_destroy(scratch);
	return code;
}
