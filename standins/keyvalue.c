#include <string.h>

#include "standins/keyvalue.h"

#define US_PER_MS 1000

typedef struct session {
	char *id;
	uint32_t ttl_ms;
	gint64 expires_us;
} session_t;

typedef struct write_record {
	char *key;
	uint64_t index;
	gint64 time_us; /* wall clock */
	const char *kind;
} write_record_t;

struct keyvalue {
	GTree *entries;
	GHashTable *sessions;
	GArray *writes;
	uint64_t index;
};

static int
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void
free_session(gpointer data)
{
	session_t *session;

	session = data;
	g_free(session->id);
	g_free(session);
}

keyvalue_t *
keyvalue_new(void)
{
	keyvalue_t *kv;

	kv = g_new0(keyvalue_t, 1);
	kv->entries = g_tree_new_full(compare_keys, NULL, NULL, NULL);
	kv->sessions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_session);
	kv->writes = g_array_new(FALSE, FALSE, sizeof(write_record_t));
	kv->index = 1;
	return kv;
}

uint64_t
keyvalue_index(const keyvalue_t *kv)
{
	return kv->index;
}

keyvalue_entry_t *
keyvalue_find(const keyvalue_t *kv, const char *key)
{
	keyvalue_entry_t *entry;

	entry = g_tree_lookup(kv->entries, key);
	return entry != NULL && entry->present ? entry : NULL;
}

static void
record_write(keyvalue_t *kv, const char *key, const char *kind)
{
	write_record_t record = { .key = g_strdup(key),
		.index = kv->index,
		.time_us = g_get_real_time(),
		.kind = kind };

	g_array_append_val(kv->writes, record);
}

static keyvalue_entry_t *
find_or_add(keyvalue_t *kv, const char *key)
{
	keyvalue_entry_t *entry;

	entry = g_tree_lookup(kv->entries, key);
	if (entry != NULL)
		return entry;
	entry = g_new0(keyvalue_entry_t, 1);
	entry->key = g_strdup(key);
	g_tree_insert(kv->entries, entry->key, entry);
	return entry;
}

void
keyvalue_write(keyvalue_t *kv, const char *key, const void *data,
    size_t data_bytes, const char *session, const char *kind)
{
	keyvalue_entry_t *entry;

	entry = find_or_add(kv, key);
	kv->index++;
	if (!entry->present)
		entry->create_index = kv->index;
	if (session != NULL && g_strcmp0(entry->session, session) != 0) {
		g_free(entry->session);
		entry->session = g_strdup(session);
		entry->lock_index++;
	}
	g_free(entry->data);
	entry->data = g_memdup2(data, data_bytes);
	entry->data_bytes = data_bytes;
	entry->present = true;
	entry->modify_index = kv->index;
	record_write(kv, key, kind);
}

void
keyvalue_delete(keyvalue_t *kv, keyvalue_entry_t *entry, const char *kind)
{
	entry->modify_index = ++kv->index;
	entry->present = false;
	g_clear_pointer(&entry->data, g_free);
	g_clear_pointer(&entry->session, g_free);
	entry->data_bytes = 0;
	record_write(kv, entry->key, kind);
}

static bool
matches(const keyvalue_entry_t *entry, const char *key, bool recurse)
{
	if (recurse)
		return g_str_has_prefix(entry->key, key);
	return strcmp(entry->key, key) == 0;
}

static json_t *
entry_json(const keyvalue_entry_t *entry)
{
	g_autofree char *value = NULL;
	json_t *object;

	value = g_base64_encode(entry->data, entry->data_bytes);
	object = json_pack("{s:I s:s s:i s:s s:I s:I}", "LockIndex",
	    (json_int_t)entry->lock_index, "Key", entry->key, "Flags", 0,
	    "Value", value, "CreateIndex", (json_int_t)entry->create_index,
	    "ModifyIndex", (json_int_t)entry->modify_index);
	if (entry->session != NULL)
		json_object_set_new(
		    object, "Session", json_string(entry->session));
	return object;
}

json_t *
keyvalue_collect(
    const keyvalue_t *kv, const char *key, bool recurse, uint64_t *index)
{
	keyvalue_entry_t *entry;
	GTreeNode *node;
	json_t *found;

	found = json_array();
	*index = 0;
	node = g_tree_lower_bound(kv->entries, key);
	for (; node != NULL; node = g_tree_node_next(node)) {
		entry = g_tree_node_value(node);
		if (!matches(entry, key, recurse))
			break;
		*index = MAX(*index, entry->modify_index);
		if (entry->present)
			json_array_append_new(found, entry_json(entry));
	}
	return found;
}

uint64_t
keyvalue_last_change(const keyvalue_t *kv, const char *key, bool recurse)
{
	keyvalue_entry_t *entry;
	GTreeNode *node;
	uint64_t index;

	index = 0;
	node = g_tree_lower_bound(kv->entries, key);
	for (; node != NULL; node = g_tree_node_next(node)) {
		entry = g_tree_node_value(node);
		if (!matches(entry, key, recurse))
			break;
		index = MAX(index, entry->modify_index);
	}
	return index;
}

const char *
keyvalue_session_new(keyvalue_t *kv, uint32_t ttl_ms, gint64 now_us)
{
	session_t *session;

	session = g_new0(session_t, 1);
	session->id = g_uuid_string_random();
	session->ttl_ms = ttl_ms;
	session->expires_us = now_us + (gint64)ttl_ms * US_PER_MS;
	g_hash_table_insert(kv->sessions, session->id, session);
	return session->id;
}

bool
keyvalue_session_renew(keyvalue_t *kv, const char *id, gint64 now_us)
{
	session_t *session;

	session = g_hash_table_lookup(kv->sessions, id);
	if (session == NULL)
		return false;
	session->expires_us = now_us + (gint64)session->ttl_ms * US_PER_MS;
	return true;
}

bool
keyvalue_session_exists(const keyvalue_t *kv, const char *id)
{
	return g_hash_table_contains(kv->sessions, id);
}

uint32_t
keyvalue_session_count(const keyvalue_t *kv)
{
	return g_hash_table_size(kv->sessions);
}

void
keyvalue_session_end(keyvalue_t *kv, const char *id)
{
	keyvalue_entry_t *entry;
	GTreeNode *node;

	node = g_tree_node_first(kv->entries);
	for (; node != NULL; node = g_tree_node_next(node)) {
		entry = g_tree_node_value(node);
		if (entry->present && g_strcmp0(entry->session, id) == 0)
			keyvalue_delete(kv, entry, "lease-end");
	}
	g_hash_table_remove(kv->sessions, id);
}

void
keyvalue_sessions_expire(keyvalue_t *kv, gint64 now_us)
{
	g_autoptr(GPtrArray) expired = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, kv->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const session_t *session = value;

		if (session->expires_us <= now_us)
			g_ptr_array_add(expired, g_strdup(session->id));
	}
	for (i = 0; i < expired->len; i++)
		keyvalue_session_end(kv, expired->pdata[i]);
}

void
keyvalue_sessions_end_all(keyvalue_t *kv)
{
	keyvalue_sessions_expire(kv, G_MAXINT64);
}

json_t *
keyvalue_writes(const keyvalue_t *kv)
{
	const write_record_t *record;
	json_t *list;
	guint i;

	list = json_array();
	for (i = 0; i < kv->writes->len; i++) {
		record = &g_array_index(kv->writes, write_record_t, i);
		json_array_append_new(list,
		    json_pack("{s:s s:I s:I s:s}", "key", record->key, "index",
			(json_int_t)record->index, "time_us",
			(json_int_t)record->time_us, "kind", record->kind));
	}
	return list;
}
