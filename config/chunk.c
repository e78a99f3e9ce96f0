#include <string.h>

#include "config/check.h"
#include "config/chunk.h"
#include "config/pack.h"
#include "config/snapshot.h"

/* Encoding version, first in each chunk; the decoder accepts no other. */
#define CHUNK_FORMAT 1

/* Elements of the arrays that encode a service and its parts. */
#define SERVICE_FIELDS 9
#define ROUTE_FIELDS 7
#define SPLIT_FIELDS 2
#define MOVE_FIELDS 5

/* MessagePack objects in the largest valid service. */
#define CHUNK_OBJECTS_MAX                                          \
	(SERVICE_FIELDS + 1 + BF_ROUTES_MAX * (ROUTE_FIELDS + 1) + \
	    BF_SPLITS_MAX * (SPLIT_FIELDS + 1) + BF_ZONES_MAX +    \
	    BF_EXCLUDED_INSTANCES_MAX + MOVE_FIELDS)

int
bf_chunk_compare(const void *a, const void *b)
{
	const bf_chunk_t *left, *right;

	left = a;
	right = b;
	return strcmp(left->service, right->service);
}

static void
pack_route(bf_packer_t *packer, const bf_route_t *route)
{
	bf_pack_array(packer, ROUTE_FIELDS);
	bf_pack_text(packer, route->name);
	bf_pack_text(packer, route->method);
	bf_pack_text(packer, route->path);
	bf_pack_uint(packer, route->call_class);
	bf_pack_uint(packer, route->deadline_ms);
	bf_pack_uint(packer, route->slow_ms);
	bf_pack_bool(packer, route->upload);
}

static void
pack_names(bf_packer_t *packer, const char *const *names, size_t count)
{
	size_t i;

	bf_pack_array(packer, count);
	for (i = 0; i < count; i++)
		bf_pack_text(packer, names[i]);
}

static void
pack_move(bf_packer_t *packer, const bf_move_t *move)
{
	if (move == NULL) {
		bf_pack_text(packer, NULL);
		return;
	}
	bf_pack_array(packer, MOVE_FIELDS);
	bf_pack_text(packer, move->id);
	bf_pack_text(packer, move->from_version);
	bf_pack_text(packer, move->to_version);
	bf_pack_int(packer, move->start_us);
	bf_pack_int(packer, move->complete_by_us);
}

static void
pack_service(bf_packer_t *packer, const bf_service_t *service)
{
	const char *host;
	size_t i;

	host = service->host;
	if (host != NULL && strcmp(host, service->name) == 0)
		host = NULL;
	bf_pack_array(packer, SERVICE_FIELDS);
	bf_pack_uint(packer, CHUNK_FORMAT);
	bf_pack_text(packer, service->name);
	bf_pack_text(packer, host);
	bf_pack_array(packer, service->route_count);
	for (i = 0; i < service->route_count; i++)
		pack_route(packer, &service->routes[i]);
	bf_pack_array(packer, service->split_count);
	for (i = 0; i < service->split_count; i++) {
		bf_pack_array(packer, SPLIT_FIELDS);
		bf_pack_text(packer, service->splits[i].version);
		bf_pack_uint(packer, service->splits[i].weight);
	}
	pack_names(packer, service->zones, service->zone_count);
	pack_names(packer, service->excluded_instances,
	    service->excluded_instance_count);
	bf_pack_uint(packer, service->queue_ms);
	pack_move(packer, service->move);
}

bf_code_t
bf_chunk_encode(const bf_service_t *service, apr_pool_t *pool,
    bf_chunk_t *chunk, bf_error_t *err)
{
	bf_packer_t packer;
	bf_code_t code;

	code = bf_service_check(service, err);
	if (code != BF_OK)
		return code;
	bf_packer_init(&packer);
	pack_service(&packer, service);
	code = bf_packer_finish(
	    &packer, pool, &chunk->data, &chunk->data_bytes, err);
	if (code != BF_OK)
		return code;
	if (chunk->data_bytes > BF_CHUNK_BYTES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "service %s: encoded as more than %d bytes", service->name,
		    BF_CHUNK_BYTES_MAX);
	chunk->service = service->name;
	chunk->digest = bf_digest_of(chunk->data, chunk->data_bytes);
	return BF_OK;
}

static void
read_route(bf_reader_t *reader, const msgpack_object *object, bf_route_t *route)
{
	const msgpack_object *f;
	size_t n;

	f = bf_read_array(
	    reader, object, ROUTE_FIELDS, ROUTE_FIELDS, &n, "route");
	if (f == NULL)
		return;
	route->name = bf_read_text(reader, &f[0], BF_NAME_BYTES_MAX, "route");
	route->method =
	    bf_read_text_or_nil(reader, &f[1], BF_METHOD_BYTES_MAX, "method");
	route->path = bf_read_text(reader, &f[2], BF_PATH_BYTES_MAX, "path");
	route->call_class = (bf_call_class_t)bf_read_uint(
	    reader, &f[3], BF_CALL_AT_MOST_ONCE, "call class");
	route->deadline_ms = (uint32_t)bf_read_uint(
	    reader, &f[4], BF_DEADLINE_MS_MAX, "deadline");
	route->slow_ms = (uint32_t)bf_read_uint(
	    reader, &f[5], BF_DEADLINE_MS_MAX, "slow_ms");
	route->upload = bf_read_bool(reader, &f[6], "upload");
}

static void
read_routes(
    bf_reader_t *reader, const msgpack_object *object, bf_service_t *service)
{
	const msgpack_object *f;
	bf_route_t *routes;
	size_t count, i;

	f = bf_read_array(reader, object, 0, BF_ROUTES_MAX, &count, "routes");
	if (count == 0)
		return;
	routes = apr_pcalloc(reader->pool, count * sizeof(*routes));
	for (i = 0; i < count; i++)
		read_route(reader, &f[i], &routes[i]);
	service->routes = routes;
	service->route_count = count;
}

static void
read_split(bf_reader_t *reader, const msgpack_object *object, bf_split_t *split)
{
	const msgpack_object *f;
	size_t n;

	f = bf_read_array(
	    reader, object, SPLIT_FIELDS, SPLIT_FIELDS, &n, "split");
	if (f == NULL)
		return;
	split->version =
	    bf_read_text(reader, &f[0], BF_NAME_BYTES_MAX, "version");
	split->weight =
	    (uint32_t)bf_read_uint(reader, &f[1], BF_WEIGHT_MAX, "weight");
}

static void
read_splits(
    bf_reader_t *reader, const msgpack_object *object, bf_service_t *service)
{
	const msgpack_object *f;
	bf_split_t *splits;
	size_t count, i;

	f = bf_read_array(reader, object, 0, BF_SPLITS_MAX, &count, "splits");
	if (count == 0)
		return;
	splits = apr_pcalloc(reader->pool, count * sizeof(*splits));
	for (i = 0; i < count; i++)
		read_split(reader, &f[i], &splits[i]);
	service->splits = splits;
	service->split_count = count;
}

static const char *const *
read_names(bf_reader_t *reader, const msgpack_object *object, size_t count_max,
    size_t *count, const char *what)
{
	const msgpack_object *f;
	const char **names;
	size_t i;

	f = bf_read_array(reader, object, 0, count_max, count, what);
	if (*count == 0)
		return NULL;
	names = apr_pcalloc(reader->pool, *count * sizeof(*names));
	for (i = 0; i < *count; i++)
		names[i] = bf_read_text(reader, &f[i], BF_NAME_BYTES_MAX, what);
	return names;
}

static const bf_move_t *
read_move(bf_reader_t *reader, const msgpack_object *object)
{
	const msgpack_object *f;
	bf_move_t *move;
	size_t n;

	if (object->type == MSGPACK_OBJECT_NIL)
		return NULL;
	f = bf_read_array(reader, object, MOVE_FIELDS, MOVE_FIELDS, &n, "move");
	if (f == NULL)
		return NULL;
	move = apr_pcalloc(reader->pool, sizeof(*move));
	move->id = bf_read_text(reader, &f[0], BF_NAME_BYTES_MAX, "move");
	move->from_version =
	    bf_read_text(reader, &f[1], BF_NAME_BYTES_MAX, "from");
	move->to_version = bf_read_text(reader, &f[2], BF_NAME_BYTES_MAX, "to");
	move->start_us = bf_read_int(reader, &f[3], "start");
	move->complete_by_us = bf_read_int(reader, &f[4], "complete_by");
	return move;
}

static void
read_service(bf_reader_t *reader, bf_service_t *service)
{
	const msgpack_object *f;
	size_t n;

	f = bf_read_array(reader, bf_reader_root(reader), SERVICE_FIELDS,
	    SERVICE_FIELDS, &n, "service");
	if (f == NULL)
		return;
	if (bf_read_uint(reader, &f[0], UINT64_MAX, "format") != CHUNK_FORMAT)
		bf_reader_fail(reader, BF_ERR_PARSE, "format", "not supported");
	service->name =
	    bf_read_text(reader, &f[1], BF_NAME_BYTES_MAX, "service");
	service->host =
	    bf_read_text_or_nil(reader, &f[2], BF_HOST_BYTES_MAX, "host");
	if (service->host == NULL)
		service->host = service->name;
	read_routes(reader, &f[3], service);
	read_splits(reader, &f[4], service);
	service->zones = read_names(reader, &f[5], BF_ZONES_MAX,
	    &service->zone_count, "availability zones");
	service->excluded_instances =
	    read_names(reader, &f[6], BF_EXCLUDED_INSTANCES_MAX,
		&service->excluded_instance_count, "excluded instances");
	service->queue_ms =
	    (uint32_t)bf_read_uint(reader, &f[7], BF_QUEUE_MS_MAX, "queue");
	service->move = read_move(reader, &f[8]);
}

bf_code_t
bf_chunk_decode(const void *data, size_t data_bytes, apr_pool_t *pool,
    bf_service_t *service, bf_error_t *err)
{
	bf_reader_t reader;
	bf_code_t code;

	if (data_bytes > BF_CHUNK_BYTES_MAX)
		return bf_error_set(err, BF_ERR_TOO_LARGE,
		    "the chunk is larger than %d bytes", BF_CHUNK_BYTES_MAX);
	*service = (bf_service_t){ 0 };
	code = bf_reader_open(
	    &reader, data, data_bytes, CHUNK_OBJECTS_MAX, pool, err);
	if (code == BF_OK) {
		read_service(&reader, service);
		code = reader.code;
	}
	bf_reader_close(&reader);
	if (code != BF_OK)
		return code;
	return bf_service_check(service, err);
}
