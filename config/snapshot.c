#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "config/check.h"
#include "config/chunk.h"
#include "config/pack.h"
#include "config/snapshot.h"

/* Encoding version, first in each snapshot; the decoder accepts no other. */
#define SNAPSHOT_FORMAT 1

#define SNAPSHOT_FIELDS 5
#define SNAPSHOT_OBJECTS_MAX (SNAPSHOT_FIELDS + 1 + BF_SERVICES_MAX)

/* One entry of the list that a snapshot's digest is computed over. */
#define DIGEST_ENTRY_BYTES (BF_NAME_BYTES_MAX + 1 + BF_DIGEST_TEXT_BYTES)

/*
 * The digest over every (service, chunk digest), each as text with its
 * terminating NUL.  The version is not included.
 */
static bf_digest_t
digest_of_chunks(const bf_chunk_t *chunks, size_t count, apr_pool_t *pool)
{
	size_t name_bytes, used, i;
	char *list;

	list = apr_palloc(pool, count * DIGEST_ENTRY_BYTES + 1);
	used = 0;
	for (i = 0; i < count; i++) {
		name_bytes = strlen(chunks[i].service) + 1;
		memcpy(list + used, chunks[i].service, name_bytes);
		used += name_bytes;
		bf_digest_format(chunks[i].digest, list + used);
		used += BF_DIGEST_TEXT_BYTES;
	}
	return bf_digest_of(list, used);
}

/*
 * Copies and decodes chunk i.  The chunks of an encoded snapshot have neither
 * service nor digest yet; the digest of the snapshot covers them.
 */
static bf_code_t
add_chunk(bf_snapshot_t *snapshot, size_t i, const bf_chunk_t *from,
    bf_service_t *service, bf_chunk_t *chunk, bf_error_t *err)
{
	bf_code_t code;

	*chunk = *from;
	chunk->data = apr_pmemdup(snapshot->pool, from->data, from->data_bytes);
	chunk->digest = bf_digest_of(chunk->data, chunk->data_bytes);
	if (from->service != NULL &&
	    !bf_digest_equal(from->digest, chunk->digest))
		return bf_error_set(err, BF_ERR_DIGEST,
		    "chunk %zu does not match its digest", i);
	code = bf_chunk_decode(
	    chunk->data, chunk->data_bytes, snapshot->pool, service, err);
	if (code != BF_OK)
		return code;
	if (from->service != NULL && strcmp(service->name, from->service) != 0)
		return bf_error_set(err, BF_ERR_REFERENCE,
		    "the chunk of service %s is listed as another one",
		    service->name);
	chunk->service = service->name;
	if (i > 0 && strcmp(service[-1].name, service->name) >= 0)
		return bf_error_set(err, BF_ERR_CONFLICT,
		    "service %s is out of order or duplicate", service->name);
	return BF_OK;
}

static bf_code_t
add_chunks(bf_snapshot_t *snapshot, const bf_chunk_t *from, size_t count,
    bf_error_t *err)
{
	bf_service_t *services;
	bf_chunk_t *chunks;
	bf_code_t code;
	size_t i;

	services = apr_pcalloc(snapshot->pool, (count + 1) * sizeof(*services));
	chunks = apr_pcalloc(snapshot->pool, (count + 1) * sizeof(*chunks));
	for (i = 0; i < count; i++) {
		code = add_chunk(
		    snapshot, i, &from[i], &services[i], &chunks[i], err);
		if (code != BF_OK)
			return code;
	}
	snapshot->services = services;
	snapshot->service_count = count;
	snapshot->chunks = chunks;
	snapshot->digest = digest_of_chunks(chunks, count, snapshot->pool);
	return bf_snapshot_check(snapshot, err);
}

/* digest is the expected digest of the snapshot; NULL: not checked. */
static bf_code_t
assemble(uint64_t version, const bf_chunk_t *chunks, size_t chunk_count,
    const bf_digest_t *digest, bf_snapshot_t **out, bf_error_t *err)
{
	bf_snapshot_t *snapshot;
	apr_pool_t *pool;
	bf_code_t code;

	*out = NULL;
	if (chunk_count > BF_SERVICES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "more than %d services", BF_SERVICES_MAX);
	if (apr_pool_create_unmanaged(&pool) != APR_SUCCESS)
		return bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	snapshot = apr_pcalloc(pool, sizeof(*snapshot));
	snapshot->pool = pool;
	snapshot->version = version;
	code = add_chunks(snapshot, chunks, chunk_count, err);
	if (code == BF_OK && digest != NULL &&
	    !bf_digest_equal(*digest, snapshot->digest))
		code = bf_error_set(err, BF_ERR_DIGEST,
		    "the snapshot does not match its digest");
	if (code != BF_OK) {
		apr_pool_destroy(pool);
		return code;
	}
	*out = snapshot;
	return BF_OK;
}

bf_code_t
bf_snapshot_from_chunks(uint64_t version, const bf_chunk_t *chunks,
    size_t chunk_count, bf_snapshot_t **out, bf_error_t *err)
{
	return assemble(version, chunks, chunk_count, NULL, out, err);
}

void
bf_snapshot_free(bf_snapshot_t *snapshot)
{
	if (snapshot != NULL)
		apr_pool_destroy(snapshot->pool);
}

static bf_code_t
build(uint64_t version, const bf_service_t *services, size_t count,
    apr_pool_t *scratch, bf_snapshot_t **out, bf_error_t *err)
{
	bf_chunk_t *chunks;
	bf_code_t code;
	size_t i;

	chunks = apr_pcalloc(scratch, (count + 1) * sizeof(*chunks));
	for (i = 0; i < count; i++) {
		code = bf_chunk_encode(&services[i], scratch, &chunks[i], err);
		if (code != BF_OK)
			return code;
	}
	qsort(chunks, count, sizeof(*chunks), bf_chunk_compare);
	return bf_snapshot_from_chunks(version, chunks, count, out, err);
}

bf_code_t
bf_snapshot_build(uint64_t version, const bf_service_t *services,
    size_t service_count, bf_snapshot_t **out, bf_error_t *err)
{
	apr_pool_t *scratch;
	bf_code_t code;

	*out = NULL;
	if (service_count > BF_SERVICES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "more than %d services", BF_SERVICES_MAX);
	if (apr_pool_create_unmanaged(&scratch) != APR_SUCCESS)
		return bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	code = build(version, services, service_count, scratch, out, err);
	apr_pool_destroy(scratch);
	return code;
}

static int
compare_name(const void *key, const void *element)
{
	const bf_service_t *service;

	service = element;
	return strcmp(key, service->name);
}

const bf_service_t *
bf_snapshot_find_service(const bf_snapshot_t *snapshot, const char *name)
{
	if (snapshot->service_count == 0)
		return NULL;
	return bsearch(name, snapshot->services, snapshot->service_count,
	    sizeof(*snapshot->services), compare_name);
}

bf_code_t
bf_snapshot_encode(const bf_snapshot_t *snapshot, apr_pool_t *pool,
    const void **data, size_t *data_bytes, bf_error_t *err)
{
	bf_packer_t packer;
	size_t i;

	bf_packer_init(&packer);
	bf_pack_array(&packer, SNAPSHOT_FIELDS);
	bf_pack_uint(&packer, SNAPSHOT_FORMAT);
	bf_pack_uint(&packer, snapshot->version);
	bf_pack_uint(&packer, snapshot->digest.high);
	bf_pack_uint(&packer, snapshot->digest.low);
	bf_pack_array(&packer, snapshot->service_count);
	for (i = 0; i < snapshot->service_count; i++)
		bf_pack_bytes(&packer, snapshot->chunks[i].data,
		    snapshot->chunks[i].data_bytes);
	return bf_packer_finish(&packer, pool, data, data_bytes, err);
}

/* The elements of an encoded snapshot; the chunks are not decoded yet. */
typedef struct bf_snapshot_parts {
	uint64_t version;
	bf_digest_t digest;
	bf_chunk_t *chunks;
	size_t chunk_count;
} bf_snapshot_parts_t;

static void
read_parts(bf_reader_t *reader, bf_snapshot_parts_t *parts)
{
	const msgpack_object *f, *list;
	bf_chunk_t *chunk;
	size_t n, i;

	f = bf_read_array(reader, bf_reader_root(reader), SNAPSHOT_FIELDS,
	    SNAPSHOT_FIELDS, &n, "snapshot");
	if (f == NULL)
		return;
	if (bf_read_uint(reader, &f[0], UINT64_MAX, "format") !=
	    SNAPSHOT_FORMAT)
		bf_reader_fail(reader, BF_ERR_PARSE, "format", "not supported");
	parts->version = bf_read_uint(reader, &f[1], UINT64_MAX, "version");
	parts->digest.high = bf_read_uint(reader, &f[2], UINT64_MAX, "digest");
	parts->digest.low = bf_read_uint(reader, &f[3], UINT64_MAX, "digest");
	list = bf_read_array(
	    reader, &f[4], 0, BF_SERVICES_MAX, &parts->chunk_count, "services");
	parts->chunks = apr_pcalloc(
	    reader->pool, (parts->chunk_count + 1) * sizeof(*parts->chunks));
	for (i = 0; i < parts->chunk_count; i++) {
		chunk = &parts->chunks[i];
		chunk->data = bf_read_bytes(reader, &list[i],
		    BF_CHUNK_BYTES_MAX, &chunk->data_bytes, "service");
	}
}

static bf_code_t
decode(bf_reader_t *reader, bf_snapshot_t **out, bf_error_t *err)
{
	bf_snapshot_parts_t parts = { 0 };

	read_parts(reader, &parts);
	if (reader->code != BF_OK)
		return reader->code;
	return assemble(parts.version, parts.chunks, parts.chunk_count,
	    &parts.digest, out, err);
}

bf_code_t
bf_snapshot_decode(
    const void *data, size_t data_bytes, bf_snapshot_t **out, bf_error_t *err)
{
	bf_reader_t reader;
	apr_pool_t *scratch;
	bf_code_t code;

	*out = NULL;
	if (data_bytes > BF_SNAPSHOT_BYTES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "the snapshot is larger than %d bytes",
		    BF_SNAPSHOT_BYTES_MAX);
	if (apr_pool_create_unmanaged(&scratch) != APR_SUCCESS)
		return bf_error_set(err, BF_ERR_MEMORY, "out of memory");
	code = bf_reader_open(
	    &reader, data, data_bytes, SNAPSHOT_OBJECTS_MAX, scratch, err);
	if (code == BF_OK)
		code = decode(&reader, out, err);
	bf_reader_close(&reader);
	apr_pool_destroy(scratch);
	return code;
}
