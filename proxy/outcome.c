#include "proxy/outcome.h"

#include <string.h>

static const char *const OUTCOME_NAMES[BF_OUTCOME_COUNT] = {
	[BF_OUTCOME_ANSWERED] = "answered",
	[BF_OUTCOME_NOT_RUN] = "not-run",
	[BF_OUTCOME_UNKNOWN] = "unknown",
	[BF_OUTCOME_CANCELLED] = "cancelled",
};

static const char *const REASON_NAMES[BF_REASON_COUNT] = {
	[BF_REASON_NONE] = "none",
	[BF_REASON_BAD_REQUEST] = "bad-request",
	[BF_REASON_HEAD_TOO_LARGE] = "head-too-large",
	[BF_REASON_BODY_TOO_LARGE] = "body-too-large",
	[BF_REASON_NO_TABLE] = "no-table",
	[BF_REASON_NO_ROUTE] = "no-route",
	[BF_REASON_NO_TARGET] = "no-target",
	[BF_REASON_WRONG_TARGET] = "wrong-target",
	[BF_REASON_DRAINING] = "draining",
	[BF_REASON_OVERLOADED] = "overloaded",
	[BF_REASON_DEADLINE] = "deadline",
	[BF_REASON_CONNECT] = "connect",
	[BF_REASON_CONNECTION_LOST] = "connection-lost",
	[BF_REASON_STALE_CONNECTION] = "stale-connection",
	[BF_REASON_CUT_ANSWER] = "cut-answer",
	[BF_REASON_UNFRAMED_ANSWER] = "unframed-answer",
	[BF_REASON_CROSSED_ANSWER] = "crossed-answer",
	[BF_REASON_TARGET_REFUSED] = "target-refused",
	[BF_REASON_INTERNAL] = "internal",
};

const char *
bf_outcome_name(bf_outcome_t outcome)
{
	if ((unsigned)outcome >= BF_OUTCOME_COUNT)
		return "invalid";
	return OUTCOME_NAMES[outcome];
}

const char *
bf_reason_name(bf_reason_t reason)
{
	if ((unsigned)reason >= BF_REASON_COUNT)
		return "invalid";
	return REASON_NAMES[reason];
}

bool
bf_outcome_parse(const char *text, bf_outcome_t *outcome)
{
	int i;

	for (i = 0; i < BF_OUTCOME_COUNT; i++) {
		if (strcmp(text, OUTCOME_NAMES[i]) == 0) {
			*outcome = (bf_outcome_t)i;
			return true;
		}
	}
	return false;
}

bool
bf_reason_parse(const char *text, bf_reason_t *reason)
{
	int i;

	for (i = 0; i < BF_REASON_COUNT; i++) {
		if (strcmp(text, REASON_NAMES[i]) == 0) {
			*reason = (bf_reason_t)i;
			return true;
		}
	}
	return false;
}

static uint32_t
not_run_status(bf_reason_t reason)
{
	switch (reason) {
	case BF_REASON_BAD_REQUEST:
		return 400;
	case BF_REASON_NO_ROUTE:
		return 404;
	case BF_REASON_BODY_TOO_LARGE:
		return 413;
	case BF_REASON_HEAD_TOO_LARGE:
		return 431;
	default:
		return 503;
	}
}

uint32_t
bf_outcome_status(bf_outcome_t outcome, bf_reason_t reason)
{
	if (outcome == BF_OUTCOME_NOT_RUN)
		return not_run_status(reason);
	return reason == BF_REASON_DEADLINE ? 504 : 502;
}
