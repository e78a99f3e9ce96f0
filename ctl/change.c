#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include <apr_strings.h>
#include <sodium.h>

#include "config/intent.h"
#include "ctl/accept.h"
#include "ctl/context.h"

#define SUBMISSION_BYTES 16

/* Loads the folder given as operand; returns 0 or an exit code. */
static int
load_intent(bf_ctl_context_t *ctx, bf_intent_t *intent)
{
	bf_diagnostics_t *diagnostics;

	if (ctx->arguments.operand == NULL) {
		fprintf(stderr, "basilctl: %s needs a folder\n",
		    ctx->arguments.command);
		return BF_CTL_USAGE;
	}
	diagnostics = bf_diagnostics_new(ctx->pool);
	if (bf_intent_load(ctx->arguments.operand, ctx->pool, intent,
		diagnostics) != BF_OK)
		return bf_ctl_fail_diagnostics(diagnostics, ctx->pool);
	return 0;
}

int
bf_ctl_check(bf_ctl_context_t *ctx)
{
	bf_snapshot_t *snapshot;
	bf_intent_t intent;
	bf_error_t err;
	bf_code_t code;
	int status;

	status = load_intent(ctx, &intent);
	if (status != 0)
		return status;
	/* Built only to check the services; its version, 1, is not used. */
	code = bf_snapshot_build(
	    1, intent.services, intent.service_count, &snapshot, &err);
	if (code != BF_OK)
		return bf_ctl_fail(code, &err);
	printf("%zu services in %zu files are in order\n", intent.service_count,
	    intent.file_count);
	bf_snapshot_free(snapshot);
	return BF_CTL_OK;
}

static json_t *
change_json(const bf_change_t *change)
{
	static const char *const kinds[] = {
		[BF_CHANGE_ADDED] = "added",
		[BF_CHANGE_REMOVED] = "removed",
		[BF_CHANGE_CHANGED] = "changed",
	};

	return json_pack("{s:s, s:s, s:s?, s:s?}", "key", change->key, "kind",
	    kinds[change->kind], "old", change->old_value, "new",
	    change->new_value);
}

static void
print_changes(const bf_ctl_context_t *ctx, const bf_change_t *changes,
    size_t change_count)
{
	static const char marks[] = {
		[BF_CHANGE_ADDED] = '+',
		[BF_CHANGE_REMOVED] = '-',
		[BF_CHANGE_CHANGED] = '~',
	};
	json_t *array;
	size_t i;

	if (ctx->arguments.json) {
		array = json_array();
		for (i = 0; i < change_count; i++)
			json_array_append_new(array, change_json(&changes[i]));
		bf_ctl_print_json(array);
		json_decref(array);
		return;
	}
	for (i = 0; i < change_count; i++) {
		printf("%c %s", marks[changes[i].kind], changes[i].key);
		if (changes[i].old_value != NULL)
			printf(" %s", changes[i].old_value);
		if (changes[i].old_value != NULL &&
		    changes[i].new_value != NULL)
			printf(" ->");
		if (changes[i].new_value != NULL)
			printf(" %s", changes[i].new_value);
		putchar('\n');
	}
}

/* The start time of the same move in the accepted configuration, or wall_us. */
static bf_time_us_t
move_start_us(const bf_accepted_config_t *accepted, const bf_service_t *service,
    bf_time_us_t wall_us)
{
	const bf_service_t *old = NULL;

	if (accepted->snapshot != NULL)
		old =
		    bf_snapshot_find_service(accepted->snapshot, service->name);
	if (old != NULL && old->move != NULL &&
	    strcmp(old->move->id, service->move->id) == 0)
		return old->move->start_us;
	return wall_us;
}

/*
 * A move without a start time begins when it is accepted.  The time becomes
 * part of the configuration, so that all nodes share it; applying the same
 * folder again keeps it.
 */
static void
set_move_starts(bf_intent_t *intent, const bf_accepted_config_t *accepted,
    bf_time_us_t wall_us, apr_pool_t *pool)
{
	bf_service_t *services;
	bf_move_t *move;
	size_t i;

	services = apr_pmemdup(
	    pool, intent->services, intent->service_count * sizeof(*services));
	for (i = 0; i < intent->service_count; i++) {
		if (services[i].move == NULL || services[i].move->start_us != 0)
			continue;
		move = apr_pmemdup(pool, services[i].move, sizeof(*move));
		move->start_us = move_start_us(accepted, &services[i], wall_us);
		if (move->start_us >= move->complete_by_us)
			continue; /* reported when the snapshot is built */
		services[i].move = move;
	}
	intent->services = services;
}

/* Reads the folder and the store; the common first step of diff and apply. */
static int
read_intent_and_accepted(
    bf_ctl_context_t *ctx, bf_intent_t *intent, bf_accepted_config_t *accepted)
{
	bf_error_t err;
	bf_code_t code;
	int status;

	status = bf_ctl_require_store(ctx);
	if (status == 0)
		status = load_intent(ctx, intent);
	if (status != 0)
		return status;
	code = bf_accept_read(
	    ctx->store, ctx->settings.store.prefix, ctx->pool, accepted, &err);
	if (code != BF_OK)
		return bf_ctl_fail(code, &err);
	set_move_starts(intent, accepted, bf_clock_wall_us(), ctx->pool);
	return 0;
}

int
bf_ctl_diff(bf_ctl_context_t *ctx)
{
	const bf_change_t *changes;
	bf_accepted_config_t accepted;
	bf_intent_t intent;
	size_t change_count;
	int status;

	status = read_intent_and_accepted(ctx, &intent, &accepted);
	if (status != 0)
		return status;
	bf_intent_diff(accepted.snapshot, intent.services, intent.service_count,
	    ctx->pool, &changes, &change_count);
	print_changes(ctx, changes, change_count);
	if (!ctx->arguments.json)
		printf("%zu changes against version %llu\n", change_count,
		    (unsigned long long)accepted.head.version);
	bf_snapshot_free(accepted.snapshot);
	return BF_CTL_OK;
}

static const char *
new_submission_id(apr_pool_t *pool)
{
	unsigned char bytes[SUBMISSION_BYTES];
	char *text;

	randombytes_buf(bytes, sizeof(bytes));
	text = apr_palloc(pool, sizeof(bytes) * 2 + 1);
	return sodium_bin2hex(
	    text, sizeof(bytes) * 2 + 1, bytes, sizeof(bytes));
}

static int
report_conflict(
    const bf_accept_result_t *result, bf_code_t code, const bf_error_t *err)
{
	size_t i;

	if (result->winner.history_count > 0)
		fprintf(stderr, "version %llu by %s: %s\n",
		    (unsigned long long)result->winner.version,
		    result->winner.history[0].operator_name,
		    result->winner.history[0].summary);
	for (i = 0; i < result->conflicting_key_count; i++)
		fprintf(stderr, "changed by both: %s\n",
		    result->conflicting_keys[i]);
	return bf_ctl_fail(code, err);
}

static int
submit(bf_ctl_context_t *ctx, const bf_intent_t *intent,
    const bf_accepted_config_t *base, size_t change_count,
    unsigned long long *version)
{
	const bf_ctl_arguments_t *a = &ctx->arguments;
	bf_accept_result_t result;
	bf_submission_t submission;
	bf_error_t err;
	bf_code_t code;

	submission = (bf_submission_t){
		.services = intent->services,
		.service_count = intent->service_count,
		.id = a->submission != NULL ? a->submission
					    : new_submission_id(ctx->pool),
		.operator_name = ctx->settings.ctl.operator_name != NULL
		    ? ctx->settings.ctl.operator_name
		    : "unnamed",
		.summary = a->message != NULL
		    ? a->message
		    : apr_psprintf(ctx->pool, "%" APR_SIZE_T_FMT " changes",
			  change_count),
		.wall_us = bf_clock_wall_us(),
	};
	code = bf_accept_submit(ctx->store, ctx->settings.store.prefix, base,
	    &submission, ctx->pool, &result, &err);
	if (code == BF_ERR_CONFLICT)
		return report_conflict(&result, code, &err);
	if (code == BF_ERR_UNSETTLED)
		fprintf(stderr,
		    "basilctl: repeat with --submission %s to settle it\n",
		    submission.id);
	if (code != BF_OK)
		return bf_ctl_fail(code, &err);
	/* unchanged: the content is that of base, and nothing was written. */
	printf("version %llu %s%s\n", (unsigned long long)result.version,
	    result.unchanged ? "is in force already" : "accepted",
	    result.settled ? " (settled by reading)" : "");
	*version = result.version;
	return BF_CTL_OK;
}

/* True when --submission names one that has already been accepted. */
static bool
is_accepted_already(const bf_ctl_context_t *ctx,
    const bf_accepted_config_t *accepted, unsigned long long *version)
{
	uint64_t found;

	if (ctx->arguments.submission == NULL ||
	    !bf_head_has_submission(
		&accepted->head, ctx->arguments.submission, &found))
		return false;
	*version = found;
	printf("version %llu accepted (settled by reading)\n", *version);
	return true;
}

int
bf_ctl_apply(bf_ctl_context_t *ctx)
{
	unsigned long long version = 0;
	const bf_change_t *changes;
	bf_accepted_config_t accepted;
	bf_intent_t intent;
	size_t change_count;
	int status;

	status = read_intent_and_accepted(ctx, &intent, &accepted);
	if (status != 0)
		return status;
	bf_intent_diff(accepted.snapshot, intent.services, intent.service_count,
	    ctx->pool, &changes, &change_count);
	/* arguments.version is -1 when it was not given. */
	if (is_accepted_already(ctx, &accepted, &version)) {
		status = BF_CTL_OK;
	} else if (ctx->arguments.version >= 0 &&
	    (uint64_t)ctx->arguments.version != accepted.head.version) {
		fprintf(stderr,
		    "basilctl: conflict: made for version %lld, "
		    "but version %llu is accepted\n",
		    ctx->arguments.version,
		    (unsigned long long)accepted.head.version);
		print_changes(ctx, changes, change_count);
		status = BF_CTL_CONFLICT;
	} else {
		print_changes(ctx, changes, change_count);
		status =
		    submit(ctx, &intent, &accepted, change_count, &version);
	}
	bf_snapshot_free(accepted.snapshot);
	if (status == BF_CTL_OK && ctx->arguments.wait)
		status = bf_ctl_wait_version(ctx, (long long)version);
	return status;
}
