#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <xxhash.h>

#include "base/digest.h"
#include "member/versions.h"

#define HASHES_BYTES_MAX (BF_VERSIONS_MAX * sizeof(uint32_t))

typedef struct entry {
	uint64_t version;
	uint64_t holders;
	uint32_t hash;
	bool is_unsent;
} entry_t;

struct bf_versions {
	apr_pool_t *pool;
	apr_hash_t *index; /* instance hash -> entry_t in entries */
	entry_t **entries;
	size_t count;
	size_t capacity;
	uint64_t digest;
	uint64_t greatest;
	bool has_unsent;
};

bf_versions_t *
bf_versions_new(void)
{
	bf_versions_t *versions;

	versions = calloc(1, sizeof(*versions));
	if (versions == NULL)
		return NULL;
	apr_pool_create(&versions->pool, NULL);
	versions->index = apr_hash_make(versions->pool);
	return versions;
}

void
bf_versions_free(bf_versions_t *versions)
{
	if (versions == NULL)
		return;
	free(versions->entries);
	apr_pool_destroy(versions->pool);
	free(versions);
}

uint32_t
bf_versions_hash(const char *instance)
{
	return (uint32_t)bf_hash_text(instance, 0);
}

static uint64_t
entry_digest(const entry_t *entry)
{
	uint64_t pair[2] = { entry->hash, entry->version };

	return XXH3_64bits(pair, sizeof(pair));
}

static entry_t *
entry_add(bf_versions_t *versions, uint32_t hash)
{
	entry_t **grown;
	entry_t *entry;
	size_t capacity;

	if (versions->count == BF_VERSIONS_MAX)
		return NULL;
	if (versions->count == versions->capacity) {
		capacity = versions->capacity * 2 + 16;
		grown =
		    realloc(versions->entries, capacity * sizeof(entry_t *));
		if (grown == NULL)
			return NULL;
		versions->entries = grown;
		versions->capacity = capacity;
	}
	entry = apr_pcalloc(versions->pool, sizeof(*entry));
	entry->hash = hash;
	versions->entries[versions->count++] = entry;
	apr_hash_set(versions->index, &entry->hash, sizeof(entry->hash), entry);
	return entry;
}

bool
bf_versions_raise(bf_versions_t *versions, uint32_t instance_hash,
    uint64_t version, uint64_t holders)
{
	entry_t *entry;

	if (version == 0)
		return false;
	entry = apr_hash_get(
	    versions->index, &instance_hash, sizeof(instance_hash));
	if (entry != NULL && entry->version >= version) {
		if (entry->version == version)
			entry->holders |= holders;
		return false;
	}
	if (entry == NULL)
		entry = entry_add(versions, instance_hash);
	if (entry == NULL)
		return false;
	if (entry->version != 0)
		versions->digest ^= entry_digest(entry);
	entry->version = version;
	if (version > versions->greatest)
		versions->greatest = version;
	entry->holders = holders;
	entry->is_unsent = true;
	versions->digest ^= entry_digest(entry);
	versions->has_unsent = true;
	return true;
}

uint64_t
bf_versions_greatest(const bf_versions_t *versions)
{
	return versions->greatest;
}

uint64_t
bf_versions_get(const bf_versions_t *versions, uint32_t instance_hash)
{
	const entry_t *entry;

	entry = apr_hash_get(
	    versions->index, &instance_hash, sizeof(instance_hash));
	return entry == NULL ? 0 : entry->version;
}

uint64_t
bf_versions_digest(const bf_versions_t *versions)
{
	return versions->digest;
}

bool
bf_versions_has_unsent(const bf_versions_t *versions)
{
	return versions->has_unsent;
}

static int
compare_versions(const void *a, const void *b)
{
	const entry_t *x = *(entry_t *const *)a;
	const entry_t *y = *(entry_t *const *)b;

	return (x->version > y->version) - (x->version < y->version);
}

static bool
must_write(const entry_t *entry, int slot)
{
	if (slot < 0)
		return true;
	return entry->is_unsent && (entry->holders >> slot & 1) == 0;
}

/*
 * Writes each version once with the hashes of the entries that have it.
 * selected is sorted by version.
 */
static void
write_runs(bf_wire_writer_t *writer, entry_t *const *selected, size_t count)
{
	uint32_t *hashes;
	size_t run;
	size_t i;
	size_t j;

	hashes = malloc((count + 1) * sizeof(*hashes));
	if (hashes == NULL)
		return;
	for (i = 0; i < count; i += run) {
		run = 0;
		for (j = i; j < count; j++) {
			if (selected[j]->version != selected[i]->version)
				break;
			hashes[run++] = selected[j]->hash;
		}
		bf_wire_write_uint(writer, selected[i]->version);
		bf_wire_write_bytes(writer, hashes, run * sizeof(*hashes));
	}
	free(hashes);
}

size_t
bf_versions_write(
    const bf_versions_t *versions, bf_wire_writer_t *writer, int slot)
{
	entry_t **selected;
	size_t count;
	size_t i;

	selected = malloc((versions->count + 1) * sizeof(entry_t *));
	if (selected == NULL)
		return 0;
	count = 0;
	for (i = 0; i < versions->count; i++) {
		if (must_write(versions->entries[i], slot))
			selected[count++] = versions->entries[i];
	}
	qsort(selected, count, sizeof(entry_t *), compare_versions);
	write_runs(writer, selected, count);
	free(selected);
	return count;
}

void
bf_versions_mark_sent(bf_versions_t *versions)
{
	size_t i;

	for (i = 0; i < versions->count; i++)
		versions->entries[i]->is_unsent = false;
	versions->has_unsent = false;
}

size_t
bf_versions_read(
    bf_versions_t *versions, bf_wire_reader_t *reader, uint64_t holders)
{
	const char *data;
	uint64_t version;
	uint32_t hash;
	size_t raised;
	size_t bytes;
	size_t i;

	raised = 0;
	while (!bf_wire_reader_done(reader)) {
		version = bf_wire_read_uint(reader, UINT64_MAX);
		data = bf_wire_read_bytes(reader, HASHES_BYTES_MAX, &bytes);
		if (reader->code == BF_OK && bytes % sizeof(hash) != 0)
			reader->code = BF_ERR_PARSE;
		if (reader->code != BF_OK)
			break;
		for (i = 0; i < bytes; i += sizeof(hash)) {
			memcpy(&hash, data + i, sizeof(hash));
			raised +=
			    bf_versions_raise(versions, hash, version, holders);
		}
	}
	return raised;
}
