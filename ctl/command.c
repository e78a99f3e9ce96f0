#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <apr_strings.h>

#include "control/control.h"
#include "ctl/accept.h"
#include "ctl/context.h"
#include "ctl/explain.h"
#include "store/consul.h"

#define WAIT_POLL_US 50000
#define WATCH_SILENCE_MS 1000
#define CURVE_TEXT_BYTES 41
#define TIME_BYTES 32

static int
exit_code(bf_code_t code)
{
	switch (code) {
	case BF_OK:
		return BF_CTL_OK;
	case BF_ERR_CONFLICT:
		return BF_CTL_CONFLICT;
	case BF_ERR_UNSETTLED:
		return BF_CTL_UNSETTLED;
	case BF_ERR_TIMEOUT:
	case BF_ERR_UNAVAILABLE:
	case BF_ERR_LIMIT:
	case BF_ERR_DENIED:
		return BF_CTL_UNAVAILABLE;
	default:
		return BF_CTL_INVALID;
	}
}

int
bf_ctl_fail(bf_code_t code, const bf_error_t *err)
{
	fprintf(stderr, "basilctl: %s: %s\n", bf_code_name(code), err->message);
	return exit_code(code);
}

int
bf_ctl_fail_diagnostics(const bf_diagnostics_t *diagnostics, apr_pool_t *pool)
{
	size_t i;

	for (i = 0; i < diagnostics->count; i++)
		fprintf(stderr, "%s\n",
		    bf_diagnostic_format(&diagnostics->items[i], pool));
	fprintf(stderr, "basilctl: %zu problems; nothing was written\n",
	    diagnostics->count + diagnostics->dropped);
	return BF_CTL_INVALID;
}

void
bf_ctl_print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(2));
	putchar('\n');
}

bf_report_source_t
bf_ctl_report_source(const bf_ctl_context_t *ctx)
{
	return (bf_report_source_t){
		.client = ctx->client,
		.addresses = ctx->settings.ctl.admin.items,
		.address_count = ctx->settings.ctl.admin.count,
		.store = ctx->store,
		.prefix = ctx->settings.store.prefix,
	};
}

int
bf_ctl_require_store(const bf_ctl_context_t *ctx)
{
	if (ctx->store != NULL)
		return 0;
	fprintf(stderr, "basilctl: the settings name no store.url\n");
	return BF_CTL_USAGE;
}

int
bf_ctl_wait_version(bf_ctl_context_t *ctx, long long version)
{
	bf_report_source_t source = bf_ctl_report_source(ctx);
	bf_convergence_t current, printed = { .alive = -1 };
	bf_time_us_t end_us;
	bf_error_t err;

	end_us =
	    bf_clock_monotonic_us() + ctx->arguments.timeout_s * BF_US_PER_S;
	while (bf_clock_monotonic_us() < end_us) {
		if (bf_report_convergence(&source, version, &current, &err) !=
		    BF_OK) {
			fprintf(stderr, "%s\n", err.message);
		} else if (memcmp(&current, &printed, sizeof(current)) != 0) {
			fprintf(stderr, "version %lld: %lld of %lld nodes\n",
			    version, (long long)current.in_force,
			    (long long)current.alive);
			printed = current;
			if (current.alive > 0 &&
			    current.in_force == current.alive)
				return BF_CTL_OK;
		}
		usleep(WAIT_POLL_US);
	}
	fprintf(stderr,
	    "basilctl: timeout: version %lld is not in force "
	    "everywhere\n",
	    version);
	return BF_CTL_TIMEOUT;
}

static int
run_wait(bf_ctl_context_t *ctx)
{
	if (ctx->arguments.version < 0) {
		fprintf(stderr, "basilctl: wait needs --version\n");
		return BF_CTL_USAGE;
	}
	return bf_ctl_wait_version(ctx, ctx->arguments.version);
}

static int
run_status(bf_ctl_context_t *ctx)
{
	bf_report_source_t source = bf_ctl_report_source(ctx);
	bf_error_t err;
	bf_code_t code;
	json_t *report;

	code = bf_report_gather(&source, ctx->pool, &report, &err);
	if (code != BF_OK)
		return bf_ctl_fail(code, &err);
	if (ctx->arguments.json)
		bf_ctl_print_json(report);
	else
		bf_report_print(report, bf_clock_wall_us(), stdout);
	json_decref(report);
	return BF_CTL_OK;
}

static int
run_history(bf_ctl_context_t *ctx)
{
	const bf_head_entry_t *entry;
	bf_accepted_config_t accepted;
	bf_error_t err;
	bf_code_t code;
	char when[TIME_BYTES];
	size_t i;

	if (bf_ctl_require_store(ctx) != 0)
		return BF_CTL_USAGE;
	code = bf_accept_read(
	    ctx->store, ctx->settings.store.prefix, ctx->pool, &accepted, &err);
	if (code != BF_OK)
		return bf_ctl_fail(code, &err);
	for (i = 0; i < accepted.head.history_count; i++) {
		entry = &accepted.head.history[i];
		printf("%6llu  %s  %-16s %s\n",
		    (unsigned long long)entry->version,
		    bf_report_time(entry->time_us, when, sizeof(when)),
		    entry->operator_name, entry->summary);
	}
	bf_snapshot_free(accepted.snapshot);
	return BF_CTL_OK;
}

static void
print_node(const json_t *member)
{
	static const char *const keys[] = { "instance", "availability_zone",
		"state", "target", "service", "target_version" };
	const char *text;
	size_t i;

	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		text = json_string_value(json_object_get(member, keys[i]));
		printf("%-16s ", text != NULL ? text : "");
	}
	printf("%lld\n",
	    (long long)json_integer_value(json_object_get(member, "version")));
}

static int
run_nodes(bf_ctl_context_t *ctx)
{
	bf_report_source_t source = bf_ctl_report_source(ctx);
	json_t *members, *member;
	bf_error_t err;
	bf_code_t code;
	size_t i;

	code = bf_report_members(&source, &members, &err);
	if (code != BF_OK)
		return bf_ctl_fail(code, &err);
	if (ctx->arguments.json)
		bf_ctl_print_json(members);
	else
		json_array_foreach (members, i, member)
			print_node(member);
	json_decref(members);
	return BF_CTL_OK;
}

static int
run_spans(bf_ctl_context_t *ctx)
{
	json_t *all, *spans;
	const char *path;
	bf_error_t err;
	size_t i;

	if (ctx->arguments.operand == NULL) {
		fprintf(stderr, "basilctl: spans needs a trace id\n");
		return BF_CTL_USAGE;
	}
	path = apr_pstrcat(
	    ctx->pool, "/v1/spans?trace=", ctx->arguments.operand, NULL);
	all = json_array();
	for (i = 0; i < ctx->settings.ctl.admin.count; i++) {
		if (bf_admin_client_get(ctx->client,
			ctx->settings.ctl.admin.items[i], path, &spans,
			&err) != BF_OK) {
			fprintf(stderr, "basilctl: %s\n", err.message);
			continue;
		}
		json_array_extend(all, spans);
		json_decref(spans);
	}
	bf_ctl_print_json(all);
	json_decref(all);
	return BF_CTL_OK;
}

static int
run_keygen(bf_ctl_context_t *ctx)
{
	char public_key[CURVE_TEXT_BYTES], secret_key[CURVE_TEXT_BYTES];
	bf_error_t err;
	bf_code_t code;

	(void)ctx;
	code = bf_control_keypair(public_key, secret_key, &err);
	if (code != BF_OK)
		return bf_ctl_fail(code, &err);
	printf("public_key = \"%s\"\nsecret_key = \"%s\"\n", public_key,
	    secret_key);
	return BF_CTL_OK;
}

static int
run_explain(bf_ctl_context_t *ctx)
{
	bf_explain_counts_t counts;
	bf_error_t err;
	bf_code_t code;

	if (ctx->arguments.operand == NULL) {
		fprintf(stderr, "basilctl: explain needs a call's id\n");
		return BF_CTL_USAGE;
	}
	code = bf_explain(stdin, ctx->arguments.operand, stdout, &counts, &err);
	if (counts.lines_skipped > 0)
		fprintf(stderr, "basilctl: %llu of %llu lines skipped\n",
		    (unsigned long long)counts.lines_skipped,
		    (unsigned long long)counts.lines_read);
	return code == BF_OK ? BF_CTL_OK : bf_ctl_fail(code, &err);
}

typedef struct command {
	const char *name;
	bool needs_settings;
	int (*run)(bf_ctl_context_t *ctx);
} command_t;

static const command_t commands[] = {
	{ "check", false, bf_ctl_check },
	{ "diff", true, bf_ctl_diff },
	{ "apply", true, bf_ctl_apply },
	{ "status", true, run_status },
	{ "history", true, run_history },
	{ "wait", true, run_wait },
	{ "nodes", true, run_nodes },
	{ "spans", true, run_spans },
	{ "explain", false, run_explain },
	{ "keygen", false, run_keygen },
};

static const command_t *
find_command(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

/* Loads the settings and creates both clients; 0 or an exit code. */
static int
open_clients(bf_ctl_context_t *ctx)
{
	bf_diagnostics_t *diagnostics;
	bf_error_t err;
	bf_code_t code;

	if (ctx->arguments.settings_path == NULL)
		ctx->arguments.settings_path = getenv(BF_CTL_SETTINGS_VARIABLE);
	if (ctx->arguments.settings_path == NULL) {
		fprintf(stderr,
		    "basilctl: no settings: use --settings or $%s\n",
		    BF_CTL_SETTINGS_VARIABLE);
		return BF_CTL_USAGE;
	}
	diagnostics = bf_diagnostics_new(ctx->pool);
	if (bf_ctl_settings_load(ctx->arguments.settings_path, ctx->pool,
		&ctx->settings, diagnostics) != BF_OK)
		return bf_ctl_fail_diagnostics(diagnostics, ctx->pool);
	ctx->client = bf_admin_client_new(ctx->settings.ctl.read_token != NULL
		? ctx->settings.ctl.read_token
		: ctx->settings.ctl.apply_token,
	    ctx->settings.store.timeout_ms);
	if (ctx->settings.store.url == NULL)
		return 0;
	code = bf_store_consul_new(
	    &(bf_store_consul_options_t){
		.url = ctx->settings.store.url,
		.timeout_ms = ctx->settings.store.timeout_ms,
		.watch_silence_ms = WATCH_SILENCE_MS,
	    },
	    &ctx->store, &err);
	return code == BF_OK ? 0 : bf_ctl_fail(code, &err);
}

static int
run_command(bf_ctl_context_t *ctx)
{
	const command_t *command;
	int status;

	command = find_command(ctx->arguments.command);
	if (command == NULL) {
		fprintf(stderr, "basilctl: no command %s; see --help\n",
		    ctx->arguments.command);
		return BF_CTL_USAGE;
	}
	if (command->needs_settings) {
		status = open_clients(ctx);
		if (status != 0)
			return status;
	}
	return command->run(ctx);
}

int
bf_ctl_run(const bf_ctl_arguments_t *arguments)
{
	bf_ctl_context_t ctx = { .arguments = *arguments };
	int status;

	if (apr_pool_create(&ctx.pool, NULL) != APR_SUCCESS)
		return BF_CTL_USAGE;
	status = run_command(&ctx);
	bf_admin_client_free(ctx.client);
	if (ctx.store != NULL)
		bf_store_free(ctx.store);
	apr_pool_destroy(ctx.pool);
	return status;
}
