#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "observe/metrics.h"

#define LABEL_BYTES 64
#define OTHER_LABEL_VALUE "other"

static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };

typedef struct bf_metric_sample {
	char value[LABEL_BYTES];
	uint64_t count;
	uint64_t sum_us;
	bf_histogram_t *histogram;
} bf_metric_sample_t;

struct bf_metric_family {
	bf_metric_family_t *next;
	bf_metric_kind_t kind;
	const char *name;
	const char *help;
	const char *label;
	bf_metric_sample_t samples[BF_METRIC_SAMPLES_MAX];
	uint32_t sample_count;
};

struct bf_metrics_set {
	bf_metric_family_t *first;
	bf_metric_family_t **last;
};

bf_metrics_set_t *
bf_metrics_set_new(void)
{
	bf_metrics_set_t *set;

	set = calloc(1, sizeof(*set));
	if (set != NULL)
		set->last = &set->first;
	return set;
}

void
bf_metrics_set_free(bf_metrics_set_t *set)
{
	bf_metric_family_t *family;
	uint32_t i;

	if (set == NULL)
		return;
	while ((family = set->first) != NULL) {
		set->first = family->next;
		for (i = 0; i < family->sample_count; i++)
			free(family->samples[i].histogram);
		free(family);
	}
	free(set);
}

bf_metric_family_t *
bf_metrics_add(bf_metrics_set_t *set, bf_metric_kind_t kind, const char *name,
    const char *help, const char *label)
{
	bf_metric_family_t *family;

	family = calloc(1, sizeof(*family));
	if (family == NULL)
		return NULL;
	family->kind = kind;
	family->name = name;
	family->help = help;
	family->label = label;
	*set->last = family;
	set->last = &family->next;
	return family;
}

static bf_metric_sample_t *
find_sample(const bf_metric_family_t *family, const char *value)
{
	uint32_t i;

	for (i = 0; i < family->sample_count; i++) {
		if (strcmp(family->samples[i].value, value) == 0)
			return (bf_metric_sample_t *)&family->samples[i];
	}
	return NULL;
}

static bf_metric_sample_t *
find_or_add_sample(bf_metric_family_t *family, const char *value)
{
	bf_metric_sample_t *sample;

	if (value == NULL)
		value = "";
	sample = find_sample(family, value);
	if (sample != NULL)
		return sample;
	if (family->sample_count == BF_METRIC_SAMPLES_MAX - 1)
		value = OTHER_LABEL_VALUE;
	if (family->sample_count == BF_METRIC_SAMPLES_MAX)
		return find_sample(family, OTHER_LABEL_VALUE);
	sample = &family->samples[family->sample_count++];
	(void)snprintf(sample->value, sizeof(sample->value), "%s", value);
	return sample;
}

void
bf_metric_count(bf_metric_family_t *family, const char *value, uint64_t n)
{
	bf_metric_sample_t *sample;

	if (family == NULL)
		return;
	sample = find_or_add_sample(family, value);
	if (sample != NULL)
		sample->count += n;
}

void
bf_metric_set(bf_metric_family_t *family, const char *value, uint64_t n)
{
	bf_metric_sample_t *sample;

	if (family == NULL)
		return;
	sample = find_or_add_sample(family, value);
	if (sample != NULL)
		sample->count = n;
}

void
bf_metric_observe(
    bf_metric_family_t *family, const char *value, bf_time_us_t duration_us)
{
	bf_metric_sample_t *sample;

	if (family == NULL)
		return;
	sample = find_or_add_sample(family, value);
	if (sample == NULL)
		return;
	if (sample->histogram == NULL)
		sample->histogram = calloc(1, sizeof(bf_histogram_t));
	if (sample->histogram == NULL)
		return;
	bf_histogram_add(sample->histogram, duration_us);
	sample->sum_us += duration_us > 0 ? (uint64_t)duration_us : 0;
}

uint64_t
bf_metric_value(const bf_metric_family_t *family, const char *value)
{
	const bf_metric_sample_t *sample;

	sample = find_sample(family, value != NULL ? value : "");
	return sample != NULL ? sample->count : 0;
}

static void
print_label(const bf_metric_family_t *family, const bf_metric_sample_t *sample,
    const char *extra_label, bf_bytes_t *out)
{
	bool has_label = family->label != NULL;

	if (!has_label && extra_label[0] == '\0')
		return;
	bf_bytes_add_text(out, "{");
	if (has_label)
		bf_bytes_format(out, "%s=\"%s\"", family->label, sample->value);
	if (has_label && extra_label[0] != '\0')
		bf_bytes_add_text(out, ",");
	bf_bytes_format(out, "%s}", extra_label);
}

static void
print_histogram(const bf_metric_family_t *family,
    const bf_metric_sample_t *sample, bf_bytes_t *out)
{
	char extra_label[LABEL_BYTES];
	size_t i;

	if (sample->histogram == NULL)
		return;
	for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
		(void)snprintf(extra_label, sizeof(extra_label),
		    "quantile=\"%g\"", quantiles[i]);
		bf_bytes_add_text(out, family->name);
		print_label(family, sample, extra_label, out);
		bf_bytes_format(out, " %" PRId64 "\n",
		    bf_histogram_quantile(sample->histogram, quantiles[i]));
	}
	bf_bytes_format(out, "%s_sum", family->name);
	print_label(family, sample, "", out);
	bf_bytes_format(out, " %" PRIu64 "\n", sample->sum_us);
	bf_bytes_format(out, "%s_count", family->name);
	print_label(family, sample, "", out);
	bf_bytes_format(out, " %" PRIu64 "\n", sample->histogram->total);
}

static void
print_family(const bf_metric_family_t *family, bf_bytes_t *out)
{
	static const char *const type_names[] = { "counter", "gauge",
		"summary" };
	const bf_metric_sample_t *sample;
	uint32_t i;

	bf_bytes_format(out, "# HELP %s %s\n# TYPE %s %s\n", family->name,
	    family->help, family->name, type_names[family->kind]);
	for (i = 0; i < family->sample_count; i++) {
		sample = &family->samples[i];
		if (family->kind == BF_METRIC_HISTOGRAM) {
			print_histogram(family, sample, out);
			continue;
		}
		bf_bytes_add_text(out, family->name);
		print_label(family, sample, "", out);
		bf_bytes_format(out, " %" PRIu64 "\n", sample->count);
	}
}

void
bf_metrics_print(const bf_metrics_set_t *set, bf_bytes_t *out)
{
	const bf_metric_family_t *family;

	for (family = set->first; family != NULL; family = family->next)
		print_family(family, out);
}
