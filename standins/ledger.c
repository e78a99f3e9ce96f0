#include <inttypes.h>

#include <glib.h>

#include "standins/ledger.h"

typedef struct entry {
	char *id;
	char *method;
	char *path;
	uint64_t runs;
	uint64_t finished;
} entry_t;

struct ledger {
	GMutex lock;
	GHashTable *by_id;
	GPtrArray *ordered;
};

ledger_t *
ledger_new(void)
{
	ledger_t *ledger;

	ledger = g_new0(ledger_t, 1);
	g_mutex_init(&ledger->lock);
	ledger->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	ledger->ordered = g_ptr_array_new();
	return ledger;
}

static entry_t *
add_entry(
    ledger_t *ledger, const char *id, const char *method, const char *path)
{
	entry_t *entry;

	entry = g_new0(entry_t, 1);
	entry->id = g_strdup(id);
	entry->method = g_strdup(method);
	entry->path = g_strdup(path);
	g_hash_table_insert(ledger->by_id, entry->id, entry);
	g_ptr_array_add(ledger->ordered, entry);
	return entry;
}

void
ledger_start(
    ledger_t *ledger, const char *id, const char *method, const char *path)
{
	entry_t *entry;

	g_mutex_lock(&ledger->lock);
	entry = g_hash_table_lookup(ledger->by_id, id);
	if (entry == NULL)
		entry = add_entry(ledger, id, method, path);
	entry->runs++;
	g_mutex_unlock(&ledger->lock);
}

void
ledger_finish(ledger_t *ledger, const char *id)
{
	entry_t *entry;

	g_mutex_lock(&ledger->lock);
	entry = g_hash_table_lookup(ledger->by_id, id);
	if (entry != NULL)
		entry->finished++;
	g_mutex_unlock(&ledger->lock);
}

char *
ledger_text(ledger_t *ledger)
{
	const entry_t *entry;
	GString *text;
	guint i;

	text = g_string_new(NULL);
	g_mutex_lock(&ledger->lock);
	for (i = 0; i < ledger->ordered->len; i++) {
		entry = ledger->ordered->pdata[i];
		g_string_append_printf(text,
		    "%s %" PRIu64 " %" PRIu64 " %s %s\n", entry->id,
		    entry->runs, entry->finished, entry->method, entry->path);
	}
	g_mutex_unlock(&ledger->lock);
	return g_string_free(text, FALSE);
}
