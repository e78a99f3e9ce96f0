#include <stdbool.h>
#include <string.h>
#include <time.h>

#include <apr_strings.h>

#include "ctl/report.h"

#define TIME_BYTES 32
#define PPM_PER_PERCENT 10000.0

const char *
bf_report_time(bf_time_us_t wall_us, char *text, size_t text_bytes)
{
	time_t seconds;
	struct tm tm;

	seconds = (time_t)(wall_us / BF_US_PER_S);
	if (gmtime_r(&seconds, &tm) == NULL ||
	    strftime(text, text_bytes, "%Y-%m-%d %H:%M:%SZ", &tm) == 0)
		apr_cpystrn(text, "?", text_bytes);
	return text;
}

static const char *
get_text(const json_t *object, const char *key)
{
	const char *text;

	text = json_string_value(json_object_get(object, key));
	return text != NULL ? text : "";
}

static json_int_t
get_integer(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static bool
is_alive(const json_t *member)
{
	const char *state;

	state = get_text(member, "state");
	return strcmp(state, "alive") == 0 || strcmp(state, "suspect") == 0;
}

bf_code_t
bf_report_members(
    const bf_report_source_t *source, json_t **members, bf_error_t *err)
{
	bf_code_t code;
	size_t i;

	code = bf_error_set(
	    err, BF_ERR_UNAVAILABLE, "no administration address configured");
	for (i = 0; i < source->address_count; i++) {
		code = bf_admin_client_get(source->client, source->addresses[i],
		    "/v1/members", members, err);
		if (code == BF_OK)
			return BF_OK;
	}
	return code;
}

bf_code_t
bf_report_convergence(const bf_report_source_t *source, json_int_t version,
    bf_convergence_t *convergence, bf_error_t *err)
{
	json_t *members = NULL, *member;
	bf_code_t code;
	size_t i;

	memset(convergence, 0, sizeof(*convergence));
	code = bf_report_members(source, &members, err);
	if (code != BF_OK)
		return code;
	json_array_foreach (members, i, member) {
		if (!is_alive(member))
			continue;
		convergence->alive++;
		if (get_integer(member, "version") >= version)
			convergence->in_force++;
	}
	json_decref(members);
	return BF_OK;
}

/* Returns the element of array whose key has that text, appended if missing. */
static json_t *
find_or_append(json_t *array, const char *key, const char *text)
{
	json_t *item;
	size_t i;

	json_array_foreach (array, i, item) {
		if (strcmp(get_text(item, key), text) == 0)
			return item;
	}
	item = json_pack("{s:s}", key, text);
	json_array_append_new(array, item);
	return item;
}

static void
increment(json_t *object, const char *key)
{
	json_object_set_new(
	    object, key, json_integer(get_integer(object, key) + 1));
}

static json_int_t
newest_version(const json_t *members)
{
	json_int_t newest, version;
	json_t *member;
	size_t i;

	newest = 0;
	json_array_foreach (members, i, member) {
		version = get_integer(member, "version");
		if (version > newest)
			newest = version;
	}
	return newest;
}

/* Adds the convergence on the newest version, by availability zone. */
static void
add_zones(json_t *report, const json_t *members)
{
	json_int_t newest;
	json_t *zones, *zone, *member;
	size_t i;

	newest = newest_version(members);
	zones = json_array();
	json_array_foreach (members, i, member) {
		zone = find_or_append(zones, "availability_zone",
		    get_text(member, "availability_zone"));
		if (!is_alive(member)) {
			increment(zone, get_text(member, "state"));
			continue;
		}
		increment(zone, "nodes");
		if (get_integer(member, "version") == newest)
			increment(zone, "in_force");
		else
			increment(zone, "behind");
	}
	json_object_set_new(report, "zones", zones);
	json_object_set_new(report, "version", json_integer(newest));
}

/* Adds one node's moves; the first node of a zone stands for the zone. */
static void
add_moves(json_t *report, const json_t *moves, const char *zone)
{
	json_t *all, *move, *entry, *zones, *view;
	size_t i;

	all = json_object_get(report, "moves");
	json_array_foreach (moves, i, move) {
		entry = find_or_append(all, "move", get_text(move, "move"));
		if (json_object_get(entry, "zones") == NULL) {
			json_object_update_missing(entry, move);
			json_object_del(entry, "figures");
			json_object_del(entry, "state");
			json_object_del(entry, "reason");
			json_object_del(entry, "share_ppm");
			json_object_set_new(entry, "zones", json_array());
		}
		zones = json_object_get(entry, "zones");
		view = find_or_append(zones, "availability_zone", zone);
		if (json_object_get(view, "state") == NULL)
			json_object_update_missing(
			    view, json_object_get(move, "figures"));
		json_object_update_missing(view, move);
		json_object_del(view, "figures");
	}
}

static void
add_violations(json_t *report, const json_t *status)
{
	json_t *value;
	const char *key;

	json_object_foreach (
	    json_object_get(status, "invariants"), key, value) {
		if (json_integer_value(value) > 0)
			json_array_append_new(
			    json_object_get(report, "violations"),
			    json_pack("{s:s, s:s, s:O}", "instance",
				get_text(status, "instance"), "invariant", key,
				"count", value));
	}
}

/* Adds the state of one node; false when the node does not respond. */
static bool
add_node(const bf_report_source_t *source, const char *address, json_t *report)
{
	json_t *status, *moves, *members;
	bf_error_t err;

	if (bf_admin_client_get(source->client, address, "/v1/status", &status,
		&err) != BF_OK) {
		json_array_append_new(json_object_get(report, "unreachable"),
		    json_pack("{s:s, s:s}", "address", address, "message",
			err.message));
		return false;
	}
	add_violations(report, status);
	if (bf_admin_client_get(
		source->client, address, "/v1/moves", &moves, NULL) == BF_OK) {
		add_moves(report, moves, get_text(status, "availability_zone"));
		json_decref(moves);
	}
	if (json_object_get(report, "zones") == NULL &&
	    bf_admin_client_get(source->client, address, "/v1/members",
		&members, NULL) == BF_OK) {
		add_zones(report, members);
		json_decref(members);
	}
	json_decref(status);
	return true;
}

static void
add_accepted_config(
    const bf_report_source_t *source, apr_pool_t *pool, json_t *report)
{
	bf_accepted_config_t accepted;
	bf_error_t err;

	if (bf_accept_read(source->store, source->prefix, pool, &accepted,
		&err) != BF_OK) {
		json_object_set_new(report, "store", json_string(err.message));
		return;
	}
	json_object_set_new(report, "store", json_string("up"));
	if (!accepted.exists)
		return;
	bf_snapshot_free(accepted.snapshot);
	json_object_set_new(report, "accepted",
	    json_pack("{s:I}", "version", (json_int_t)accepted.head.version));
	if (accepted.head.history_count == 0)
		return;
	json_object_update_new(json_object_get(report, "accepted"),
	    json_pack("{s:s, s:s, s:I}", "operator",
		accepted.head.history[0].operator_name, "summary",
		accepted.head.history[0].summary, "time_us",
		(json_int_t)accepted.head.history[0].time_us));
}

/* Adds the outcomes of moves that the store keeps for later shifts. */
static void
add_outcomes(const bf_report_source_t *source, apr_pool_t *pool, json_t *report)
{
	bf_store_value_t *values;
	json_t *outcomes, *outcome;
	size_t count, i;

	outcomes = json_array();
	json_object_set_new(report, "outcomes", outcomes);
	if (bf_store_list(source->store,
		apr_pstrcat(pool, source->prefix, "outcome/", NULL), pool,
		&values, &count, NULL) != BF_OK)
		return;
	for (i = 0; i < count; i++) {
		outcome =
		    json_loadb(values[i].data, values[i].data_bytes, 0, NULL);
		if (outcome != NULL)
			json_array_append_new(outcomes, outcome);
	}
}

bf_code_t
bf_report_gather(const bf_report_source_t *source, apr_pool_t *pool,
    json_t **report, bf_error_t *err)
{
	size_t responded, i;

	*report = json_pack(
	    "{s:[], s:[], s:[]}", "moves", "violations", "unreachable");
	responded = 0;
	for (i = 0; i < source->address_count; i++)
		responded += add_node(source, source->addresses[i], *report);
	if (responded == 0) {
		json_decref(*report);
		*report = NULL;
		return bf_error_set(err, BF_ERR_UNAVAILABLE,
		    "no response from any of %zu addresses",
		    source->address_count);
	}
	if (source->store != NULL) {
		add_accepted_config(source, pool, *report);
		add_outcomes(source, pool, *report);
	}
	return BF_OK;
}

static void
print_header(const json_t *report, FILE *out)
{
	char when[TIME_BYTES];
	json_t *accepted;

	fprintf(out, "configuration %lld in force",
	    (long long)get_integer(report, "version"));
	accepted = json_object_get(report, "accepted");
	if (accepted != NULL)
		fprintf(out, "; accepted %lld by %s, %s: %s",
		    (long long)get_integer(accepted, "version"),
		    get_text(accepted, "operator"),
		    bf_report_time(
			get_integer(accepted, "time_us"), when, sizeof(when)),
		    get_text(accepted, "summary"));
	else if (json_object_get(report, "store") != NULL)
		fprintf(out, "; store: %s", get_text(report, "store"));
	fprintf(out, "\n\n");
}

static void
print_zones(const json_t *report, FILE *out)
{
	json_t *zone;
	size_t i;

	fprintf(out, "%-20s %6s %9s %7s %5s %5s\n", "availability zone",
	    "nodes", "in force", "behind", "dead", "left");
	json_array_foreach (json_object_get(report, "zones"), i, zone)
		fprintf(out, "%-20s %6lld %9lld %7lld %5lld %5lld\n",
		    get_text(zone, "availability_zone"),
		    (long long)get_integer(zone, "nodes"),
		    (long long)get_integer(zone, "in_force"),
		    (long long)get_integer(zone, "behind"),
		    (long long)get_integer(zone, "dead"),
		    (long long)get_integer(zone, "left"));
}

static void
print_evidence(const json_t *figures, FILE *out)
{
	fprintf(out, "new %lld calls %lld failed, old %lld calls %lld failed",
	    (long long)get_integer(figures, "new_calls"),
	    (long long)get_integer(figures, "new_failures"),
	    (long long)get_integer(figures, "old_calls"),
	    (long long)get_integer(figures, "old_failures"));
	if (get_integer(figures, "slow_over_ms") > 0)
		fprintf(out, ", over %lld ms: new %lld, old %lld",
		    (long long)get_integer(figures, "slow_over_ms"),
		    (long long)get_integer(figures, "new_slow"),
		    (long long)get_integer(figures, "old_slow"));
	if (get_text(figures, "route")[0] != '\0')
		fprintf(out, ", route %s", get_text(figures, "route"));
}

static void
print_move(const json_t *move, FILE *out)
{
	char when[TIME_BYTES];
	json_t *zone;
	size_t i;

	fprintf(out, "\nmove %s: %s %s -> %s, complete by %s\n",
	    get_text(move, "move"), get_text(move, "service"),
	    get_text(move, "from"), get_text(move, "to"),
	    bf_report_time(
		get_integer(move, "complete_by_us"), when, sizeof(when)));
	json_array_foreach (json_object_get(move, "zones"), i, zone) {
		fprintf(out, "  %-18s %-10s %6.2f%%%s  %s; ",
		    get_text(zone, "availability_zone"),
		    get_text(zone, "state"),
		    (double)get_integer(zone, "share_ppm") / PPM_PER_PERCENT,
		    json_is_true(json_object_get(zone, "late")) ? " late" : "",
		    get_text(zone, "reason"));
		print_evidence(zone, out);
		fprintf(out, "\n");
	}
}

static void
print_outcome(const json_t *outcome, FILE *out)
{
	char when[TIME_BYTES];

	fprintf(out, "  %s %s: %s (%s), from %s\n",
	    bf_report_time(get_integer(outcome, "at_us"), when, sizeof(when)),
	    get_text(outcome, "move"), get_text(outcome, "state"),
	    get_text(outcome, "reason"), get_text(outcome, "zone"));
}

void
bf_report_print(const json_t *report, bf_time_us_t wall_us, FILE *out)
{
	char when[TIME_BYTES];
	json_t *item;
	size_t i;

	fprintf(out, "%s  ", bf_report_time(wall_us, when, sizeof(when)));
	print_header(report, out);
	print_zones(report, out);
	json_array_foreach (json_object_get(report, "moves"), i, item)
		print_move(item, out);
	if (json_array_size(json_object_get(report, "outcomes")) > 0)
		fprintf(out, "\nreported outcomes\n");
	json_array_foreach (json_object_get(report, "outcomes"), i, item)
		print_outcome(item, out);
	json_array_foreach (json_object_get(report, "violations"), i, item)
		fprintf(out, "\nINVARIANT VIOLATED: %s at %s, %lld times\n",
		    get_text(item, "invariant"), get_text(item, "instance"),
		    (long long)get_integer(item, "count"));
	json_array_foreach (json_object_get(report, "unreachable"), i, item)
		fprintf(out, "\nno answer from %s: %s\n",
		    get_text(item, "address"), get_text(item, "message"));
}
