/*
 * basilload: an open-loop load generator and experiment tool.
 */
#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "load/load.h"

#define TARGETS_MAX 64
#define RATE_DEFAULT 75.0
#define DURATION_S_DEFAULT 10.0
#define CALLS_MAX 100000000

enum exit_code {
	EXIT_COMPLETE = 0,
	EXIT_CANNOT_RUN = 2,
	EXIT_WRONG_RESPONSE = 3,
	EXIT_NO_RESPONSE = 4
};

enum option_key {
	OPTION_TARGET = 't',
	OPTION_RATE = 'r',
	OPTION_CALLS = 'n',
	OPTION_BASELINE = 256,
	OPTION_DURATION,
	OPTION_TRACE,
	OPTION_MIX,
	OPTION_CONNECTIONS,
	OPTION_SEED,
	OPTION_JSON,
	OPTION_HOST,
	OPTION_TIMEOUT,
	OPTION_DEADLINE,
	OPTION_TRACED
};

typedef struct settings {
	const char *targets[TARGETS_MAX];
	bf_load_options_t load;
	double rate;
	double duration_s;
	uint64_t calls;
	const char *trace_path;
	const char *mix_path;
	bool json;
} settings_t;

const char *argp_program_version = "basilload " BF_VERSION;

static const struct argp_option OPTIONS[] = {
	{ "target", OPTION_TARGET, "URL", 0,
	    "Send calls to http://IP:port; several take turns", 0 },
	{ "baseline", OPTION_BASELINE, "URL", 0,
	    "Send each call here too, for the difference in latency", 0 },
	{ "rate", OPTION_RATE, "N", 0, "Calls a second (75)", 0 },
	{ "duration-s", OPTION_DURATION, "S", 0, "Length of the run (10)", 0 },
	{ "calls", OPTION_CALLS, "N", 0, "Number of calls, not a duration", 0 },
	{ "trace", OPTION_TRACE, "FILE", 0,
	    "Replay 'time_us method path class body_bytes' lines", 0 },
	{ "mix", OPTION_MIX, "FILE", 0,
	    "Draw from 'weight method path class body_bytes' lines", 0 },
	{ "connections", OPTION_CONNECTIONS, "N", 0,
	    "Connections a target at most (64)", 0 },
	{ "seed", OPTION_SEED, "N", 0, "Of times, choices and ids (1)", 0 },
	{ "host", OPTION_HOST, "NAME", 0, "The Host header", 0 },
	{ "timeout-ms", OPTION_TIMEOUT, "MS", 0,
	    "Give a call up after this time (10000)", 0 },
	{ "deadline-ms", OPTION_DEADLINE, "MS", 0,
	    "Sent with each call as Basilfork-Deadline-Ms", 0 },
	{ "traced", OPTION_TRACED, NULL, 0,
	    "Send a sampled traceparent with each call", 0 },
	{ "json", OPTION_JSON, NULL, 0, "Print a JSON report", 0 },
	{ 0 },
};

static double
parse_positive(struct argp_state *state, const char *text)
{
	double value;
	char *end;

	value = strtod(text, &end);
	if (*text == '\0' || *end != '\0' || !(value > 0))
		argp_error(state, "'%s' is not a positive number", text);
	return value;
}

static uint64_t
parse_unsigned(struct argp_state *state, const char *text, uint64_t max)
{
	uint64_t value;
	char *end;

	errno = 0;
	value = strtoull(text, &end, 10);
	if (*text < '0' || *text > '9' || *end != '\0' || errno != 0 ||
	    value > max)
		argp_error(state, "'%s' is not a whole number up to %llu", text,
		    (unsigned long long)max);
	return value;
}

static void
add_target(settings_t *settings, struct argp_state *state, const char *url)
{
	if (settings->load.target_count == TARGETS_MAX)
		argp_error(state, "more than %d targets", TARGETS_MAX);
	settings->targets[settings->load.target_count++] = url;
}

static error_t
parse_load_option(int key, char *text, struct argp_state *state)
{
	settings_t *settings = state->input;
	bf_load_options_t *load = &settings->load;

	switch (key) {
	case OPTION_CONNECTIONS:
		load->connections =
		    (uint32_t)parse_unsigned(state, text, UINT16_MAX);
		return 0;
	case OPTION_SEED:
		load->seed = parse_unsigned(state, text, UINT32_MAX);
		return 0;
	case OPTION_HOST:
		load->host = text;
		return 0;
	case OPTION_TIMEOUT:
		load->timeout_ms =
		    (uint32_t)parse_unsigned(state, text, INT32_MAX);
		return 0;
	case OPTION_DEADLINE:
		load->deadline_ms =
		    (uint32_t)parse_unsigned(state, text, INT32_MAX);
		return 0;
	case OPTION_TRACED:
		load->traced = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
	settings_t *settings = state->input;

	switch (key) {
	case OPTION_TARGET:
		add_target(settings, state, text);
		return 0;
	case OPTION_BASELINE:
		settings->load.baseline = text;
		return 0;
	case OPTION_RATE:
		settings->rate = parse_positive(state, text);
		return 0;
	case OPTION_DURATION:
		settings->duration_s = parse_positive(state, text);
		return 0;
	case OPTION_CALLS:
		settings->calls = parse_unsigned(state, text, CALLS_MAX);
		return 0;
	case OPTION_TRACE:
		settings->trace_path = text;
		return 0;
	case OPTION_MIX:
		settings->mix_path = text;
		return 0;
	case OPTION_JSON:
		settings->json = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument '%s'", text);
		return EINVAL;
	case ARGP_KEY_END:
		if (settings->load.target_count == 0)
			argp_error(state, "no --target");
		return 0;
	default:
		return parse_load_option(key, text, state);
	}
}

static const struct argp PARSER = {
	.options = OPTIONS,
	.parser = parse_option,
	.doc = "Drives HTTP targets at a fixed rate or by a recorded trace, "
	       "open loop, and reports latencies and outcomes.\v"
	       "Exit status: 0 the run is complete and every checked answer "
	       "is right; 2 the run was not possible; 3 an answer was wrong; "
	       "4 no call was answered; 64 bad usage.",
};

static bf_code_t
open_file(const char *path, FILE **file, bf_error_t *err)
{
	*file = fopen(path, "re");
	if (*file == NULL)
		return bf_error_set(
		    err, BF_ERR_IO, "%s: %s", path, strerror(errno));
	return BF_OK;
}

static bf_code_t
read_trace(const char *path, bf_load_trace_t *trace, bf_error_t *err)
{
	bf_code_t code;
	FILE *file;

	code = open_file(path, &file, err);
	if (code != BF_OK)
		return code;
	code = bf_load_trace_read(file, trace, err);
	(void)fclose(file);
	return code;
}

static bf_code_t
generate_trace(
    const settings_t *settings, bf_load_trace_t *trace, bf_error_t *err)
{
	bf_code_t code;
	uint64_t calls;
	FILE *mix;

	mix = NULL;
	if (settings->mix_path != NULL) {
		code = open_file(settings->mix_path, &mix, err);
		if (code != BF_OK)
			return code;
	}
	calls = settings->calls;
	if (calls == 0)
		calls = (uint64_t)(settings->rate * settings->duration_s);
	code = bf_load_trace_generate(settings->rate, (size_t)calls, mix,
	    settings->load.seed, trace, err);
	if (mix != NULL)
		(void)fclose(mix);
	return code;
}

static int
exit_code(const bf_load_report_t *report)
{
	if (report->series[0].wrong > 0 || report->series[1].wrong > 0)
		return EXIT_WRONG_RESPONSE;
	if (report->series[0].outcomes[BF_LOAD_ANSWERED] == 0)
		return EXIT_NO_RESPONSE;
	return EXIT_COMPLETE;
}

static bf_code_t
run(const settings_t *settings, bf_load_report_t *report, bf_error_t *err)
{
	bf_load_trace_t trace;
	bf_code_t code;

	code = settings->trace_path != NULL
	    ? read_trace(settings->trace_path, &trace, err)
	    : generate_trace(settings, &trace, err);
	if (code != BF_OK)
		return code;
	code = bf_load_run(&settings->load, &trace, report, err);
	bf_load_trace_clear(&trace);
	if (code != BF_OK)
		return code;
	if (settings->json)
		return bf_load_print_json(report, stdout, err);
	bf_load_print_table(report, stdout);
	return BF_OK;
}

int
main(int argc, char **argv)
{
	static bf_load_report_t report;
	settings_t settings = {
		.load = { .seed = 1 },
		.rate = RATE_DEFAULT,
		.duration_s = DURATION_S_DEFAULT,
	};
	bf_error_t err;

	settings.load.targets = settings.targets;
	argp_parse(&PARSER, argc, argv, 0, NULL, &settings);
	if (run(&settings, &report, &err) != BF_OK) {
		(void)fprintf(stderr, "basilload: %s: %s\n",
		    bf_code_name(err.code), err.message);
		return EXIT_CANNOT_RUN;
	}
	return exit_code(&report);
}
