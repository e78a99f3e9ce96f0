#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "rollout/trace.h"

typedef struct bf_rollout_replay {
	bf_rollout_t *rollout;
	bf_rollout_trace_visit_t visit;
	void *ctx;
} bf_rollout_replay_t;

static void
write_line(FILE *file, json_t *json)
{
	if (json == NULL)
		return;
	json_dumpf(json, file, JSON_COMPACT);
	fputc('\n', file);
	json_decref(json);
}

void
bf_rollout_trace_begin(FILE *file, const bf_service_t *service,
    const char *zone, const char *instance)
{
	const bf_move_t *move = service->move;
	json_t *routes;
	size_t i;

	routes = json_array();
	for (i = 0; i < service->route_count; i++)
		json_array_append_new(routes,
		    json_pack("[s, i]", service->routes[i].name,
			(int)service->routes[i].call_class));
	write_line(file,
	    json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:o}",
		"event", "begin", "service", service->name, "zone", zone,
		"instance", instance, "move", move->id, "from",
		move->from_version, "to", move->to_version, "start_us",
		(json_int_t)move->start_us, "complete_by_us",
		(json_int_t)move->complete_by_us, "routes", routes));
}

/* [calls, failures, index of the first nonzero bucket, count, count, ...] */
static json_t *
pack_tally(const bf_tally_t *tally)
{
	uint32_t first, end, k;
	json_t *json;

	first = 0;
	while (first < BF_TALLY_BUCKETS && tally->latency[first] == 0)
		first++;
	end = BF_TALLY_BUCKETS;
	while (end > first && tally->latency[end - 1] == 0)
		end--;
	json = json_pack("[I, I, i]", (json_int_t)tally->calls,
	    (json_int_t)tally->failures, (int)first);
	for (k = first; k < end; k++)
		json_array_append_new(
		    json, json_integer((json_int_t)tally->latency[k]));
	return json;
}

void
bf_rollout_trace_stats(
    FILE *file, const bf_move_stats_t *stats, bf_time_us_t now_us)
{
	const bf_move_stats_route_t *route;
	json_t *routes;
	uint32_t i;

	routes = json_array();
	for (i = 0; i < stats->route_count; i++) {
		route = &stats->routes[i];
		json_array_append_new(routes,
		    json_pack("[s, o, o]", route->route,
			pack_tally(&route->old_version),
			pack_tally(&route->new_version)));
	}
	write_line(file,
	    json_pack("{s:s, s:I, s:s, s:s, s:s, s:I, s:b, s:o}", "event",
		"pool", "now_us", (json_int_t)now_us, "move", stats->move_id,
		"zone", stats->zone, "instance", stats->instance, "at_us",
		(json_int_t)stats->at_us, "complete", (int)stats->complete,
		"routes", routes));
}

void
bf_rollout_trace_verdict(
    FILE *file, const bf_verdict_t *verdict, bf_time_us_t now_us)
{
	char *text;

	text = bf_verdict_json(verdict);
	if (text == NULL)
		return;
	write_line(file,
	    json_pack("{s:s, s:I, s:s}", "event", "verdict", "now_us",
		(json_int_t)now_us, "verdict", text));
	free(text);
}

void
bf_rollout_trace_targets(
    FILE *file, const bf_rollout_target_counts_t *targets, bf_time_us_t now_us)
{
	write_line(file,
	    json_pack("{s:s, s:I, s:[I, I, I, I]}", "event", "targets",
		"now_us", (json_int_t)now_us, "counts",
		(json_int_t)targets->old_targets,
		(json_int_t)targets->old_slots,
		(json_int_t)targets->new_targets,
		(json_int_t)targets->new_slots));
}

void
bf_rollout_trace_collector(FILE *file, bool is_collector, bf_time_us_t now_us)
{
	write_line(file,
	    json_pack("{s:s, s:I, s:b}", "event", "collects", "now_us",
		(json_int_t)now_us, "collects", (int)is_collector));
}

void
bf_rollout_trace_step(FILE *file, bf_time_us_t now_us)
{
	write_line(file,
	    json_pack(
		"{s:s, s:I}", "event", "step", "now_us", (json_int_t)now_us));
}

static bool
copy_text(char *to, size_t to_bytes, const char *from)
{
	if (from == NULL || strlen(from) >= to_bytes)
		return false;
	strcpy(to, from);
	return true;
}

static bool
replay_begin(bf_rollout_replay_t *replay, json_t *json)
{
	bf_route_t routes[BF_MOVE_STATS_ROUTES_MAX] = { 0 };
	bf_service_t service = { .routes = routes };
	const char *zone, *instance;
	bf_move_t move = { 0 };
	json_int_t start_us, complete_by_us;
	json_t *array, *value;
	size_t i;
	int call_class;

	if (replay->rollout != NULL ||
	    json_unpack(json, "{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:o}",
		"service", &service.name, "zone", &zone, "instance", &instance,
		"move", &move.id, "from", &move.from_version, "to",
		&move.to_version, "start_us", &start_us, "complete_by_us",
		&complete_by_us, "routes", &array) != 0 ||
	    json_array_size(array) > BF_MOVE_STATS_ROUTES_MAX)
		return false;
	json_array_foreach (array, i, value) {
		if (json_unpack(
			value, "[s, i]", &routes[i].name, &call_class) != 0)
			return false;
		routes[i].call_class = (bf_call_class_t)call_class;
	}
	move.start_us = start_us;
	move.complete_by_us = complete_by_us;
	service.route_count = json_array_size(array);
	service.move = &move;
	replay->rollout = bf_rollout_new(&service, zone, instance);
	return replay->rollout != NULL;
}

static bool
unpack_tally(const json_t *json, bf_tally_t *tally)
{
	size_t i, first, size;

	*tally = (bf_tally_t){ 0 };
	size = json_array_size(json);
	if (size < 3)
		return false;
	tally->calls = (uint64_t)json_integer_value(json_array_get(json, 0));
	tally->failures = (uint64_t)json_integer_value(json_array_get(json, 1));
	first = (size_t)json_integer_value(json_array_get(json, 2));
	if (first > BF_TALLY_BUCKETS || size - 3 > BF_TALLY_BUCKETS - first)
		return false;
	for (i = 3; i < size; i++)
		tally->latency[first + i - 3] =
		    (uint64_t)json_integer_value(json_array_get(json, i));
	return true;
}

static bool
unpack_route(json_t *json, bf_move_stats_route_t *route)
{
	json_t *old_version, *new_version;
	const char *name;

	return json_unpack(
		   json, "[s, o, o]", &name, &old_version, &new_version) == 0 &&
	    copy_text(route->route, sizeof(route->route), name) &&
	    unpack_tally(old_version, &route->old_version) &&
	    unpack_tally(new_version, &route->new_version);
}

static bool
replay_stats(bf_rollout_replay_t *replay, json_t *json, bf_time_us_t now_us)
{
	const char *move, *zone, *instance;
	json_t *array, *value;
	bf_move_stats_t stats = { 0 };
	json_int_t at_us;
	int complete;
	size_t i;

	if (json_unpack(json, "{s:s, s:s, s:s, s:I, s:b, s:o}", "move", &move,
		"zone", &zone, "instance", &instance, "at_us", &at_us,
		"complete", &complete, "routes", &array) != 0 ||
	    json_array_size(array) > BF_MOVE_STATS_ROUTES_MAX ||
	    !copy_text(stats.move_id, sizeof(stats.move_id), move) ||
	    !copy_text(stats.zone, sizeof(stats.zone), zone) ||
	    !copy_text(stats.instance, sizeof(stats.instance), instance))
		return false;
	stats.at_us = at_us;
	stats.complete = complete != 0;
	stats.route_count = (uint32_t)json_array_size(array);
	json_array_foreach (array, i, value) {
		if (!unpack_route(value, &stats.routes[i]))
			return false;
	}
	bf_rollout_add_stats(replay->rollout, &stats, now_us);
	return true;
}

static bool
replay_verdict(bf_rollout_replay_t *replay, json_t *json, bf_time_us_t now_us)
{
	bf_verdict_t verdict;
	const char *text;

	text = json_string_value(json_object_get(json, "verdict"));
	if (text == NULL ||
	    bf_verdict_parse(text, strlen(text), &verdict, NULL) != BF_OK)
		return false;
	bf_rollout_add_verdict(replay->rollout, &verdict, now_us);
	return true;
}

static bool
replay_targets(bf_rollout_replay_t *replay, json_t *json, bf_time_us_t now_us)
{
	json_int_t counts[4];
	bf_rollout_target_counts_t targets;

	if (json_unpack(json, "{s:[I, I, I, I]}", "counts", &counts[0],
		&counts[1], &counts[2], &counts[3]) != 0)
		return false;
	targets = (bf_rollout_target_counts_t){
		.old_targets = (uint32_t)counts[0],
		.old_slots = (uint32_t)counts[1],
		.new_targets = (uint32_t)counts[2],
		.new_slots = (uint32_t)counts[3],
	};
	bf_rollout_set_targets(replay->rollout, &targets, now_us);
	return true;
}

static bool
replay_event(bf_rollout_replay_t *replay, json_t *json)
{
	bf_rollout_out_t out;
	json_int_t now_us;
	const char *event;
	int is_collector;

	if (json_unpack(json, "{s:s}", "event", &event) != 0)
		return false;
	if (strcmp(event, "begin") == 0)
		return replay_begin(replay, json);
	if (replay->rollout == NULL ||
	    json_unpack(json, "{s:I}", "now_us", &now_us) != 0)
		return false;
	if (strcmp(event, "pool") == 0)
		return replay_stats(replay, json, now_us);
	if (strcmp(event, "verdict") == 0)
		return replay_verdict(replay, json, now_us);
	if (strcmp(event, "targets") == 0)
		return replay_targets(replay, json, now_us);
	if (strcmp(event, "collects") == 0) {
		if (json_unpack(json, "{s:b}", "collects", &is_collector) != 0)
			return false;
		bf_rollout_set_collector(replay->rollout, is_collector != 0);
		return true;
	}
	if (strcmp(event, "step") != 0)
		return false;
	bf_rollout_step(replay->rollout, now_us, &out);
	replay->visit(replay->ctx, replay->rollout, &out, now_us);
	return true;
}

bf_code_t
bf_rollout_trace_replay(
    FILE *file, bf_rollout_trace_visit_t visit, void *ctx, bf_error_t *err)
{
	char line[BF_TRACE_LINE_BYTES_MAX];
	bf_rollout_replay_t replay = { .visit = visit, .ctx = ctx };
	json_error_t json_error;
	json_t *json;
	uint32_t line_number;
	bool replayed;

	replayed = true;
	for (line_number = 1; fgets(line, sizeof(line), file) != NULL;
	     line_number++) {
		json = json_loads(line, 0, &json_error);
		replayed = json != NULL && replay_event(&replay, json);
		json_decref(json);
		if (!replayed)
			break;
	}
	bf_rollout_free(replay.rollout);
	if (!replayed)
		return bf_error_set(err, BF_ERR_PARSE,
		    "trace line %u is not a valid event", line_number);
	return BF_OK;
}
