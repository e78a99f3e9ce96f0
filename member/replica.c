#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <xxhash.h>

#include "member/replica.h"

#define AGE_MS_MAX UINT32_MAX
#define DIGESTS_BYTES (BF_REPLICA_BUCKETS * sizeof(uint64_t))

typedef struct entry {
	void *value;
	uint64_t digest;
	uint64_t holders;
	bf_time_us_t changed_us;
	size_t list_index; /* in bf_replica.entries */
	uint32_t value_bytes;
	uint8_t tag;
	bool is_unsent;
	bool not_in_digest; /* new, or in the second half of its lifetime */
	uint8_t kind;
	char key[];
} entry_t;

struct bf_replica {
	apr_pool_t *pool;
	apr_hash_t *index; /* kind byte and key -> entry_t */
	entry_t **entries;
	size_t count;
	size_t capacity;
	bool has_unsent;
	uint64_t buckets[BF_REPLICA_BUCKETS];
	bf_replica_kind_t *kinds[BF_REPLICA_KINDS];
	bf_wire_writer_t rewritten;
};

bf_replica_t *
bf_replica_new(void)
{
	bf_replica_t *replica;

	replica = calloc(1, sizeof(*replica));
	if (replica == NULL)
		return NULL;
	apr_pool_create(&replica->pool, NULL);
	replica->index = apr_hash_make(replica->pool);
	bf_wire_writer_init(&replica->rewritten);
	return replica;
}

static void
entry_free(entry_t *entry)
{
	free(entry->value);
	free(entry);
}

void
bf_replica_free(bf_replica_t *replica)
{
	size_t i;

	if (replica == NULL)
		return;
	for (i = 0; i < replica->count; i++)
		entry_free(replica->entries[i]);
	free(replica->entries);
	bf_wire_writer_free(&replica->rewritten);
	apr_pool_destroy(replica->pool);
	free(replica);
}

void
bf_replica_register(
    bf_replica_t *replica, uint32_t number, bf_replica_kind_t *kind)
{
	if (number < BF_REPLICA_KINDS)
		replica->kinds[number] = kind;
}

/*
 * Writes the index key of (kind, key), the kind's byte and the key's text, with
 * the layout that they have in an entry_t.
 */
static size_t
make_index_key(char *index_key, uint32_t kind, const char *key)
{
	size_t bytes;

	bytes = strnlen(key, BF_REPLICA_KEY_BYTES - 1);
	index_key[0] = (char)kind;
	memcpy(index_key + 1, key, bytes);
	return bytes + 1;
}

static void *
entry_index_key(entry_t *entry)
{
	return &entry->kind;
}

static entry_t *
find(const bf_replica_t *replica, uint32_t kind, const char *key)
{
	char index_key[BF_REPLICA_KEY_BYTES + 1];
	size_t index_key_bytes;

	index_key_bytes = make_index_key(index_key, kind, key);
	return apr_hash_get(
	    replica->index, index_key, (apr_ssize_t)index_key_bytes);
}

static size_t
bucket_index(const entry_t *entry)
{
	size_t section;

	section = entry->kind == 0 ? 0 : 1;
	return section * BF_REPLICA_SECTION_BUCKETS +
	    XXH3_64bits(entry->key, strlen(entry->key)) %
	    BF_REPLICA_SECTION_BUCKETS;
}

static void
toggle_digest(bf_replica_t *replica, const entry_t *entry)
{
	replica->buckets[bucket_index(entry)] ^= entry->digest;
}

static uint64_t
compute_digest(const entry_t *entry)
{
	uint64_t seed;

	seed =
	    XXH3_64bits_withSeed(entry->key, strlen(entry->key), entry->kind);
	return XXH3_64bits_withSeed(entry->value, entry->value_bytes, seed);
}

static bool
list_append(bf_replica_t *replica, entry_t *entry)
{
	entry_t **grown;
	size_t capacity;

	if (replica->count == BF_REPLICA_ENTRIES_MAX)
		return false;
	if (replica->count == replica->capacity) {
		capacity = replica->capacity * 2 + 16;
		grown = realloc(replica->entries, capacity * sizeof(entry_t *));
		if (grown == NULL)
			return false;
		replica->entries = grown;
		replica->capacity = capacity;
	}
	entry->list_index = replica->count;
	replica->entries[replica->count++] = entry;
	return true;
}

static entry_t *
entry_add(bf_replica_t *replica, uint32_t kind, const char *key)
{
	char index_key[BF_REPLICA_KEY_BYTES + 1];
	entry_t *entry;
	size_t index_key_bytes;

	index_key_bytes = make_index_key(index_key, kind, key);
	entry = calloc(1, sizeof(*entry) + index_key_bytes);
	if (entry == NULL)
		return NULL;
	entry->kind = (uint8_t)kind;
	memcpy(entry->key, index_key + 1, index_key_bytes - 1);
	entry->not_in_digest = true;
	if (!list_append(replica, entry)) {
		free(entry);
		return NULL;
	}
	apr_hash_set(replica->index, entry_index_key(entry),
	    (apr_ssize_t)index_key_bytes, entry);
	return entry;
}

static void
entry_remove(bf_replica_t *replica, entry_t *entry)
{
	bf_replica_value_t none = { 0 };
	bf_replica_kind_t *kind;

	kind = replica->kinds[entry->kind];
	if (!entry->not_in_digest)
		toggle_digest(replica, entry);
	replica->count--;
	replica->entries[entry->list_index] = replica->entries[replica->count];
	replica->entries[entry->list_index]->list_index = entry->list_index;
	apr_hash_set(replica->index, entry_index_key(entry),
	    (apr_ssize_t)strlen(entry->key) + 1, NULL);
	kind->vtable->changed(kind, entry->key, &none, entry->tag);
	entry_free(entry);
}

static bool
store_value(bf_replica_t *replica, uint32_t number, const char *key,
    const bf_replica_value_t *value, uint64_t holders, bf_time_us_t changed_us)
{
	bf_replica_kind_t *kind;
	entry_t *entry;
	void *copy;

	copy = malloc(value->data_bytes + 1);
	if (copy == NULL)
		return false;
	memcpy(copy, value->data, value->data_bytes);
	entry = find(replica, number, key);
	if (entry == NULL)
		entry = entry_add(replica, number, key);
	if (entry == NULL) {
		free(copy);
		return false;
	}
	if (!entry->not_in_digest)
		toggle_digest(replica, entry);
	free(entry->value);
	entry->value = copy;
	entry->value_bytes = (uint32_t)value->data_bytes;
	entry->digest = compute_digest(entry);
	entry->holders = holders;
	entry->changed_us = changed_us;
	entry->is_unsent = true;
	entry->not_in_digest = false;
	toggle_digest(replica, entry);
	replica->has_unsent = true;
	kind = replica->kinds[number];
	entry->tag = kind->vtable->changed(kind, entry->key,
	    &(bf_replica_value_t){ copy, value->data_bytes }, entry->tag);
	return true;
}

static bool
is_acceptable(const bf_replica_t *replica, uint32_t kind, const char *key,
    const bf_replica_value_t *value)
{
	return kind < BF_REPLICA_KINDS && replica->kinds[kind] != NULL &&
	    key[0] != '\0' && strlen(key) < BF_REPLICA_KEY_BYTES &&
	    value->data_bytes <= BF_REPLICA_VALUE_BYTES_MAX;
}

static bool
has_value(const entry_t *entry, const bf_replica_value_t *value)
{
	return entry->value_bytes == value->data_bytes &&
	    memcmp(entry->value, value->data, value->data_bytes) == 0;
}

static bool
merge_value(bf_replica_t *replica, uint32_t number, const char *key,
    const bf_replica_value_t *incoming, uint64_t holders, bf_time_us_t age_us,
    bf_time_us_t now_us)
{
	bf_replica_value_t current = { 0 };
	bf_replica_choice_t choice;
	bf_replica_kind_t *kind;
	entry_t *entry;

	if (!is_acceptable(replica, number, key, incoming))
		return false;
	entry = find(replica, number, key);
	if (entry != NULL && has_value(entry, incoming)) {
		entry->holders |= holders;
		return false;
	}
	if (entry != NULL)
		current =
		    (bf_replica_value_t){ entry->value, entry->value_bytes };
	kind = replica->kinds[number];
	bf_wire_writer_clear(&replica->rewritten);
	choice = kind->vtable->merge(
	    kind, key, &current, incoming, &replica->rewritten);
	if (choice == BF_REPLICA_KEEP)
		return false;
	if (choice == BF_REPLICA_REPLACE)
		return store_value(
		    replica, number, key, incoming, holders, now_us - age_us);
	current = (bf_replica_value_t){ replica->rewritten.buffer.data,
		replica->rewritten.buffer.size };
	return store_value(replica, number, key, &current, 0, now_us);
}

bool
bf_replica_merge(bf_replica_t *replica, uint32_t kind, const char *key,
    const bf_replica_value_t *incoming, uint64_t holders, bf_time_us_t now_us)
{
	return merge_value(replica, kind, key, incoming, holders, 0, now_us);
}

bool
bf_replica_set(bf_replica_t *replica, uint32_t kind, const char *key,
    const bf_replica_value_t *value, bf_time_us_t now_us)
{
	if (!is_acceptable(replica, kind, key, value))
		return false;
	return store_value(replica, kind, key, value, 0, now_us);
}

bf_replica_value_t
bf_replica_get(const bf_replica_t *replica, uint32_t kind, const char *key)
{
	const entry_t *entry;

	entry = find(replica, kind, key);
	if (entry == NULL)
		return (bf_replica_value_t){ 0 };
	return (bf_replica_value_t){ entry->value, entry->value_bytes };
}

void
bf_replica_each(const bf_replica_t *replica, uint32_t kind,
    bf_replica_visit_t visit, void *ctx)
{
	const entry_t *entry;
	size_t i;

	for (i = 0; i < replica->count; i++) {
		entry = replica->entries[i];
		if (entry->kind != kind)
			continue;
		visit(ctx, entry->key,
		    &(bf_replica_value_t){ entry->value, entry->value_bytes },
		    entry->tag, entry->changed_us);
	}
}

size_t
bf_replica_count(const bf_replica_t *replica)
{
	return replica->count;
}

void
bf_replica_sweep(bf_replica_t *replica, bf_time_us_t now_us)
{
	bf_replica_kind_t *kind;
	bf_time_us_t lifetime_us;
	entry_t *entry;
	size_t i;

	for (i = replica->count; i-- > 0;) {
		entry = replica->entries[i];
		kind = replica->kinds[entry->kind];
		lifetime_us = kind->vtable->lifetime_us(kind, entry->tag);
		if (lifetime_us == 0)
			continue;
		if (now_us - entry->changed_us > lifetime_us) {
			entry_remove(replica, entry);
		} else if (!entry->not_in_digest &&
		    now_us - entry->changed_us > lifetime_us / 2) {
			toggle_digest(replica, entry);
			entry->not_in_digest = true;
			entry->is_unsent = false;
		}
	}
}

uint64_t
bf_replica_digest(const bf_replica_t *replica, size_t section)
{
	uint64_t digest;
	size_t i;

	digest = 0;
	for (i = 0; i < BF_REPLICA_SECTION_BUCKETS; i++)
		digest ^=
		    replica->buckets[section * BF_REPLICA_SECTION_BUCKETS + i];
	return digest;
}

bool
bf_replica_has_unsent(const bf_replica_t *replica)
{
	return replica->has_unsent;
}

void
bf_replica_mark_sent(bf_replica_t *replica)
{
	size_t i;

	for (i = 0; i < replica->count; i++)
		replica->entries[i]->is_unsent = false;
	replica->has_unsent = false;
}

static void
write_entry(bf_wire_writer_t *writer, const entry_t *entry, bf_time_us_t now_us)
{
	bf_time_us_t age_ms;

	age_ms = (now_us - entry->changed_us) / BF_US_PER_MS;
	if (age_ms < 0)
		age_ms = 0;
	if (age_ms > AGE_MS_MAX)
		age_ms = AGE_MS_MAX;
	bf_wire_write_uint(writer, entry->kind);
	bf_wire_write_text(writer, entry->key);
	bf_wire_write_uint(writer, (uint64_t)age_ms);
	bf_wire_write_bytes(writer, entry->value, entry->value_bytes);
}

size_t
bf_replica_write_unsent(const bf_replica_t *replica, bf_wire_writer_t *writer,
    unsigned slot, size_t *cursor, bf_time_us_t now_us)
{
	const entry_t *entry;
	size_t written;

	written = 0;
	for (; *cursor < replica->count; (*cursor)++) {
		if (writer->buffer.size > BF_REPLICA_BATCH_BYTES)
			break;
		entry = replica->entries[*cursor];
		if (!entry->is_unsent || (entry->holders >> slot & 1) != 0)
			continue;
		write_entry(writer, entry, now_us);
		written++;
	}
	return written;
}

void
bf_replica_write_entry(const bf_replica_t *replica, bf_wire_writer_t *writer,
    uint32_t kind, const char *key, bf_time_us_t now_us)
{
	const entry_t *entry;

	entry = find(replica, kind, key);
	if (entry != NULL)
		write_entry(writer, entry, now_us);
}

void
bf_replica_write_digests(const bf_replica_t *replica, bf_wire_writer_t *writer)
{
	bf_wire_write_bytes(writer, replica->buckets, DIGESTS_BYTES);
}

void
bf_replica_read_digests(const bf_replica_t *replica, bf_wire_reader_t *reader,
    bf_replica_diff_t *diff)
{
	const char *data;
	uint64_t theirs;
	size_t bytes;
	size_t i;

	data = bf_wire_read_bytes(reader, DIGESTS_BYTES, &bytes);
	if (reader->code == BF_OK && bytes != 0 && bytes != DIGESTS_BYTES)
		reader->code = BF_ERR_PARSE;
	for (i = 0; i < BF_REPLICA_BUCKETS; i++) {
		diff->differs[i] = true;
		if (reader->code != BF_OK || bytes == 0)
			continue;
		memcpy(&theirs, data + i * sizeof(theirs), sizeof(theirs));
		diff->differs[i] = theirs != replica->buckets[i];
	}
}

size_t
bf_replica_write_diff(const bf_replica_t *replica, bf_wire_writer_t *writer,
    const bf_replica_diff_t *diff, size_t *cursor, bf_time_us_t now_us)
{
	const entry_t *entry;
	size_t written;

	written = 0;
	for (; *cursor < replica->count; (*cursor)++) {
		if (writer->buffer.size > BF_REPLICA_BATCH_BYTES)
			break;
		entry = replica->entries[*cursor];
		if (entry->not_in_digest || !diff->differs[bucket_index(entry)])
			continue;
		write_entry(writer, entry, now_us);
		written++;
	}
	return written;
}

size_t
bf_replica_read(bf_replica_t *replica, bf_wire_reader_t *reader,
    uint64_t holders, bf_time_us_t now_us)
{
	char key[BF_REPLICA_KEY_BYTES];
	bf_replica_value_t value;
	uint64_t age_ms;
	uint32_t kind;
	size_t changed;

	changed = 0;
	while (!bf_wire_reader_done(reader)) {
		kind =
		    (uint32_t)bf_wire_read_uint(reader, BF_REPLICA_KINDS - 1);
		bf_wire_read_text(reader, key, sizeof(key));
		age_ms = bf_wire_read_uint(reader, AGE_MS_MAX);
		value.data = bf_wire_read_bytes(
		    reader, BF_REPLICA_VALUE_BYTES_MAX, &value.data_bytes);
		if (reader->code != BF_OK)
			break;
		changed += merge_value(replica, kind, key, &value, holders,
		    (bf_time_us_t)age_ms * BF_US_PER_MS, now_us);
	}
	return changed;
}
