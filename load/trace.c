#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

#include "load/load.h"

#define LINE_BYTES_MAX 4096
#define FIELD_COUNT 5
#define FIELD_BYTES_MAX 2048
#define MIX_MAX 256
#define BODY_BYTES_MAX (UINT64_C(1) << 30)
#define TRACE_CALLS_MAX ((size_t)100 * 1000 * 1000)

typedef struct fields {
	double time_or_weight; /* time_us in a trace, weight in a mix */
	char method[FIELD_BYTES_MAX];
	char path[FIELD_BYTES_MAX];
	char call_class[FIELD_BYTES_MAX];
	uint64_t body_bytes;
} fields_t;

/* True for blank lines and comments, which begin with '#'. */
static bool
is_blank(const char *line)
{
	line += strspn(line, " \t\r\n");
	return *line == '\0' || *line == '#';
}

static bool
parse_fields(char *line, fields_t *fields)
{
	const char *words[FIELD_COUNT];
	char *end, *state;
	size_t count;

	count = 0;
	for (char *word = strtok_r(line, " \t\r\n", &state); word != NULL;
	     word = strtok_r(NULL, " \t\r\n", &state)) {
		if (count == FIELD_COUNT || strlen(word) >= FIELD_BYTES_MAX)
			return false;
		words[count++] = word;
	}
	if (count != FIELD_COUNT || words[2][0] != '/')
		return false;
	fields->time_or_weight = strtod(words[0], &end);
	if (*end != '\0' || !isfinite(fields->time_or_weight) ||
	    fields->time_or_weight < 0)
		return false;
	(void)snprintf(fields->method, FIELD_BYTES_MAX, "%s", words[1]);
	(void)snprintf(fields->path, FIELD_BYTES_MAX, "%s", words[2]);
	(void)snprintf(fields->call_class, FIELD_BYTES_MAX, "%s", words[3]);
	errno = 0;
	fields->body_bytes = strtoull(words[4], &end, 10);
	return *end == '\0' && errno == 0 && words[4][0] != '-' &&
	    fields->body_bytes <= BODY_BYTES_MAX;
}

static bool
append_call(bf_load_trace_t *trace, size_t *capacity, const fields_t *fields,
    bf_time_us_t at_us)
{
	bf_load_call_t *call, *grown;

	if (trace->count == *capacity) {
		*capacity = *capacity > 0 ? *capacity * 2 : 1024;
		grown = realloc(trace->calls, *capacity * sizeof(*grown));
		if (grown == NULL)
			return false;
		trace->calls = grown;
	}
	call = &trace->calls[trace->count];
	call->at_us = at_us;
	call->method = strdup(fields->method);
	call->path = strdup(fields->path);
	call->call_class = strdup(fields->call_class);
	call->body_bytes = fields->body_bytes;
	trace->count++;
	return call->method != NULL && call->path != NULL &&
	    call->call_class != NULL;
}

bf_code_t
bf_load_trace_read(FILE *in, bf_load_trace_t *trace, bf_error_t *err)
{
	char line[LINE_BYTES_MAX];
	bf_time_us_t last_us;
	fields_t fields;
	size_t capacity, number;

	memset(trace, 0, sizeof(*trace));
	capacity = 0;
	number = 0;
	last_us = 0;
	while (fgets(line, sizeof(line), in) != NULL) {
		number++;
		if (is_blank(line))
			continue;
		if (!parse_fields(line, &fields) ||
		    fields.time_or_weight < last_us) {
			bf_load_trace_clear(trace);
			return bf_error_set(err, BF_ERR_PARSE,
			    "line %zu is not 'time_us method path class "
			    "body_bytes' with times that do not decrease",
			    number);
		}
		last_us = (bf_time_us_t)fields.time_or_weight;
		if (!append_call(trace, &capacity, &fields, last_us)) {
			bf_load_trace_clear(trace);
			return bf_error_set(
			    err, BF_ERR_MEMORY, "out of memory for the trace");
		}
	}
	return BF_OK;
}

static bf_code_t
read_mix(FILE *mix, fields_t *lines, size_t *count, bf_error_t *err)
{
	char line[LINE_BYTES_MAX];
	size_t number;

	*count = 0;
	if (mix == NULL) {
		lines[0] = (fields_t){ .time_or_weight = 1,
			.method = "GET",
			.path = "/",
			.call_class = "plain" };
		*count = 1;
		return BF_OK;
	}
	number = 0;
	while (fgets(line, sizeof(line), mix) != NULL) {
		number++;
		if (is_blank(line))
			continue;
		if (*count == MIX_MAX)
			return bf_error_set(err, BF_ERR_TOO_LARGE,
			    "a mix has at most %d lines", MIX_MAX);
		if (!parse_fields(line, &lines[*count]))
			return bf_error_set(err, BF_ERR_PARSE,
			    "line %zu is not 'weight method path class "
			    "body_bytes'",
			    number);
		(*count)++;
	}
	return BF_OK;
}

static bf_code_t
generate_calls(double rate, size_t calls, const fields_t *lines,
    size_t line_count, uint64_t seed, bf_load_trace_t *trace, bf_error_t *err)
{
	gsl_ran_discrete_t *choice;
	double at_us, *weights;
	size_t capacity, i;
	gsl_rng *rng;
	bool ok;

	weights = calloc(line_count, sizeof(*weights));
	rng = gsl_rng_alloc(gsl_rng_mt19937);
	if (weights == NULL || rng == NULL) {
		free(weights);
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for the trace");
	}
	for (i = 0; i < line_count; i++)
		weights[i] = lines[i].time_or_weight;
	gsl_rng_set(rng, (unsigned long)seed);
	choice = gsl_ran_discrete_preproc(line_count, weights);
	capacity = 0;
	at_us = 0;
	ok = choice != NULL;
	for (i = 0; ok && i < calls; i++) {
		at_us += gsl_ran_exponential(rng, (double)BF_US_PER_S / rate);
		ok = append_call(trace, &capacity,
		    &lines[gsl_ran_discrete(rng, choice)], (bf_time_us_t)at_us);
	}
	gsl_ran_discrete_free(choice);
	gsl_rng_free(rng);
	free(weights);
	if (!ok)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for the trace");
	return BF_OK;
}

bf_code_t
bf_load_trace_generate(double rate, size_t count, FILE *mix, uint64_t seed,
    bf_load_trace_t *trace, bf_error_t *err)
{
	size_t line_count;
	fields_t *lines;
	bf_code_t code;

	memset(trace, 0, sizeof(*trace));
	if (!(rate > 0) || count == 0 || count > TRACE_CALLS_MAX)
		return bf_error_set(err, BF_ERR_RANGE,
		    "rate and number of calls must be positive");
	lines = calloc(MIX_MAX, sizeof(*lines));
	if (lines == NULL)
		return bf_error_set(
		    err, BF_ERR_MEMORY, "out of memory for the trace");
	code = read_mix(mix, lines, &line_count, err);
	if (code == BF_OK && line_count == 0)
		code = bf_error_set(err, BF_ERR_PARSE, "the mix is empty");
	if (code == BF_OK)
		code = generate_calls(
		    rate, count, lines, line_count, seed, trace, err);
	free(lines);
	if (code != BF_OK)
		bf_load_trace_clear(trace);
	return code;
}

void
bf_load_trace_clear(bf_load_trace_t *trace)
{
	size_t i;

	for (i = 0; i < trace->count; i++) {
		free(trace->calls[i].method);
		free(trace->calls[i].path);
		free(trace->calls[i].call_class);
	}
	free(trace->calls);
	memset(trace, 0, sizeof(*trace));
}
