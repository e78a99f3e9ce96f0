#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <apr_hash.h>
#include <apr_strings.h>
#include <apr_tables.h>

#include "config/intent.h"
#include "toml/fields.h"

/*
 * One key of a configuration.  The value is NULL for the key of a service,
 * route or move itself.
 */
typedef struct bf_entry {
	bf_change_object_t object;
	const char *key;
	const char *value;
} bf_entry_t;

/* Collects the entries of one service, route, split or move. */
typedef struct bf_entry_list {
	apr_array_header_t *items;
	bf_change_object_t object;
	const char *path;
} bf_entry_list_t;

static void
add_entry(const bf_entry_list_t *list, const char *key, const char *value)
{
	apr_pool_t *pool;

	pool = list->items->pool;
	APR_ARRAY_PUSH(list->items, bf_entry_t) = (bf_entry_t){
		.object = list->object,
		.key = bf_key_join(pool, list->path, key),
		.value = value,
	};
}

static void
add_object(const bf_entry_list_t *list)
{
	APR_ARRAY_PUSH(list->items, bf_entry_t) =
	    (bf_entry_t){ .object = list->object, .key = list->path };
}

static void
add_text(const bf_entry_list_t *list, const char *key, const char *text)
{
	if (text != NULL)
		add_entry(list, key,
		    apr_pstrcat(list->items->pool, "\"", text, "\"", NULL));
}

static void
add_number(const bf_entry_list_t *list, const char *key, uint32_t number)
{
	add_entry(list, key, apr_psprintf(list->items->pool, "%u", number));
}

static void
add_time(const bf_entry_list_t *list, const char *key, bf_time_us_t time_us)
{
	time_t seconds;
	struct tm tm;
	char date_time[32];
	long us;

	seconds = (time_t)(time_us / BF_US_PER_S);
	us = (long)(time_us % BF_US_PER_S);
	if (gmtime_r(&seconds, &tm) == NULL ||
	    strftime(date_time, sizeof(date_time), "%Y-%m-%dT%H:%M:%S", &tm) ==
		0)
		return;
	add_entry(list, key,
	    us == 0
		? apr_pstrcat(list->items->pool, date_time, "Z", NULL)
		: apr_psprintf(list->items->pool, "%s.%06ldZ", date_time, us));
}

static void
add_names(const bf_entry_list_t *list, const char *key,
    const char *const *names, size_t count)
{
	apr_pool_t *pool;
	const char *text;
	size_t i;

	if (count == 0)
		return;
	pool = list->items->pool;
	text = "[";
	for (i = 0; i < count; i++)
		text = apr_pstrcat(
		    pool, text, i == 0 ? "\"" : ", \"", names[i], "\"", NULL);
	add_entry(list, key, apr_pstrcat(pool, text, "]", NULL));
}

static void
add_route(
    apr_array_header_t *items, const char *parent, const bf_route_t *route)
{
	static const char *const classes[] = {
		[BF_CALL_PLAIN] = NULL,
		[BF_CALL_REPEATABLE] = "repeatable",
		[BF_CALL_AT_MOST_ONCE] = "at-most-once",
	};
	bf_entry_list_t list = { .items = items, .object = BF_CHANGE_ROUTE };

	list.path = bf_key_join(items->pool,
	    apr_pstrcat(items->pool, parent, ".route", NULL), route->name);
	add_object(&list);
	add_text(&list, "method", route->method);
	add_text(&list, "path", route->path);
	add_text(&list, "calls", classes[route->call_class]);
	add_number(&list, "deadline_ms", route->deadline_ms);
	if (route->slow_ms > 0)
		add_number(&list, "slow_ms", route->slow_ms);
	if (route->upload)
		add_entry(&list, "upload", "true");
}

static void
add_splits(
    apr_array_header_t *items, const char *parent, const bf_service_t *service)
{
	bf_entry_list_t list = { .items = items, .object = BF_CHANGE_SPLIT };
	size_t i;

	list.path = apr_pstrcat(items->pool, parent, ".split", NULL);
	for (i = 0; i < service->split_count; i++)
		add_number(&list, service->splits[i].version,
		    service->splits[i].weight);
}

static void
add_move(apr_array_header_t *items, const char *parent, const bf_move_t *move)
{
	bf_entry_list_t list = { .items = items, .object = BF_CHANGE_MOVE };

	list.path = apr_pstrcat(items->pool, parent, ".move", NULL);
	add_object(&list);
	add_text(&list, "id", move->id);
	add_text(&list, "from", move->from_version);
	add_text(&list, "to", move->to_version);
	if (move->start_us > 0)
		add_time(&list, "start", move->start_us);
	add_time(&list, "complete_by", move->complete_by_us);
}

static void
add_service(apr_array_header_t *items, const bf_service_t *service)
{
	bf_entry_list_t list = { .items = items, .object = BF_CHANGE_SERVICE };
	size_t i;

	list.path = bf_key_join(items->pool, "service", service->name);
	add_object(&list);
	/* The name is the default host, so only another one is listed. */
	if (service->host != NULL && strcmp(service->host, service->name) != 0)
		add_text(&list, "host", service->host);
	add_names(
	    &list, "availability_zones", service->zones, service->zone_count);
	add_names(&list, "excluded_instances", service->excluded_instances,
	    service->excluded_instance_count);
	add_number(&list, "queue_ms", service->queue_ms);
	add_splits(items, list.path, service);
	for (i = 0; i < service->route_count; i++)
		add_route(items, list.path, &service->routes[i]);
	if (service->move != NULL)
		add_move(items, list.path, service->move);
}

static int
compare_entries(const void *a, const void *b)
{
	const bf_entry_t *left, *right;

	left = a;
	right = b;
	return strcmp(left->key, right->key);
}

static apr_array_header_t *
flatten_services(const bf_service_t *services, size_t count, apr_pool_t *pool)
{
	apr_array_header_t *items;
	size_t i;

	items = apr_array_make(pool, 64, sizeof(bf_entry_t));
	for (i = 0; i < count; i++)
		add_service(items, &services[i]);
	qsort(items->elts, (size_t)items->nelts, sizeof(bf_entry_t),
	    compare_entries);
	return items;
}

static void
add_change(
    apr_array_header_t *changes, const bf_entry_t *old, const bf_entry_t *new)
{
	bf_change_t change = { 0 };

	change.object = old != NULL ? old->object : new->object;
	change.key = old != NULL ? old->key : new->key;
	if (old == NULL)
		change.kind = BF_CHANGE_ADDED;
	else if (new == NULL)
		change.kind = BF_CHANGE_REMOVED;
	else
		change.kind = BF_CHANGE_CHANGED;
	change.old_value = old != NULL ? old->value : NULL;
	change.new_value = new != NULL ? new->value : NULL;
	APR_ARRAY_PUSH(changes, bf_change_t) = change;
}

static bool
same_text(const char *a, const char *b)
{
	if (a == NULL || b == NULL)
		return a == b;
	return strcmp(a, b) == 0;
}

/* Compares two lists of entries sorted by key. */
static apr_array_header_t *
compare_sorted(const apr_array_header_t *old, const apr_array_header_t *new,
    apr_pool_t *pool)
{
	const bf_entry_t *a, *b, *a_end, *b_end;
	apr_array_header_t *changes;
	int order;

	changes = apr_array_make(pool, 16, sizeof(bf_change_t));
	a = (const bf_entry_t *)old->elts;
	b = (const bf_entry_t *)new->elts;
	a_end = a + old->nelts;
	b_end = b + new->nelts;
	while (a < a_end || b < b_end) {
		if (a == a_end)
			order = 1;
		else if (b == b_end)
			order = -1;
		else
			order = strcmp(a->key, b->key);
		if (order < 0) {
			add_change(changes, a++, NULL);
		} else if (order > 0) {
			add_change(changes, NULL, b++);
		} else {
			if (!same_text(a->value, b->value))
				add_change(changes, a, b);
			a++;
			b++;
		}
	}
	return changes;
}

void
bf_intent_diff(const bf_snapshot_t *old, const bf_service_t *services,
    size_t service_count, apr_pool_t *pool, const bf_change_t **changes,
    size_t *change_count)
{
	apr_array_header_t *before, *after, *list;

	before = flatten_services(old != NULL ? old->services : NULL,
	    old != NULL ? old->service_count : 0, pool);
	after = flatten_services(services, service_count, pool);
	list = compare_sorted(before, after, pool);
	*changes = (const bf_change_t *)list->elts;
	*change_count = (size_t)list->nelts;
}

/*
 * The changes that one operator made: as an array sorted by key, and as a hash
 * from the key to the change.
 */
typedef struct bf_change_set {
	const bf_change_t *changes;
	size_t count;
	apr_hash_t *by_key;
} bf_change_set_t;

static bf_change_set_t
change_set_of(const bf_snapshot_t *base, const bf_service_t *services,
    size_t count, apr_pool_t *pool)
{
	bf_change_set_t set;
	size_t i;

	bf_intent_diff(base, services, count, pool, &set.changes, &set.count);
	set.by_key = apr_hash_make(pool);
	for (i = 0; i < set.count; i++)
		apr_hash_set(set.by_key, set.changes[i].key,
		    APR_HASH_KEY_STRING, &set.changes[i]);
	return set;
}

/* True when the changes remove a service, route or move that contains key. */
static bool
removes_ancestor(const bf_change_set_t *set, const char *key)
{
	const bf_change_t *change;
	const char *dot;

	for (dot = strchr(key, '.'); dot != NULL; dot = strchr(dot + 1, '.')) {
		change = apr_hash_get(set->by_key, key, dot - key);
		if (change != NULL && change->kind == BF_CHANGE_REMOVED &&
		    change->old_value == NULL)
			return true;
	}
	return false;
}

static bool
in_conflict(const bf_change_t *change, const bf_change_set_t *other)
{
	const bf_change_t *same;

	same = apr_hash_get(other->by_key, change->key, APR_HASH_KEY_STRING);
	if (same != NULL)
		return same->kind != change->kind ||
		    !same_text(same->new_value, change->new_value);
	return change->kind != BF_CHANGE_REMOVED &&
	    removes_ancestor(other, change->key);
}

static void
add_conflicts(apr_array_header_t *keys, const bf_change_set_t *set,
    const bf_change_set_t *other)
{
	size_t i;

	for (i = 0; i < set->count; i++) {
		if (in_conflict(&set->changes[i], other))
			APR_ARRAY_PUSH(keys, const char *) =
			    set->changes[i].key;
	}
}

static int
compare_keys(const void *a, const void *b)
{
	const char *const *left, *const *right;

	left = a;
	right = b;
	return strcmp(*left, *right);
}

void
bf_intent_conflicts(const bf_snapshot_t *base, const bf_service_t *mine,
    size_t mine_count, const bf_snapshot_t *theirs, apr_pool_t *pool,
    const char *const **keys, size_t *key_count)
{
	apr_array_header_t *all;
	const char **list;
	bf_change_set_t a, b;
	size_t count;
	int i;

	a = change_set_of(base, mine, mine_count, pool);
	b = change_set_of(base, theirs->services, theirs->service_count, pool);
	all = apr_array_make(pool, 8, sizeof(const char *));
	add_conflicts(all, &a, &b);
	add_conflicts(all, &b, &a);
	qsort(
	    all->elts, (size_t)all->nelts, sizeof(const char *), compare_keys);
	/*
	 * Drop duplicate keys: most conflicts are found in both sets of
	 * changes.
	 */
	list = (const char **)all->elts;
	count = 0;
	for (i = 0; i < all->nelts; i++) {
		if (count == 0 || strcmp(list[count - 1], list[i]) != 0)
			list[count++] = list[i];
	}
	*keys = (const char *const *)list;
	*key_count = count;
}
