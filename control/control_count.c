#include "control/control_internal.h"

/*
 * Each component keeps its own counts.  The control thread copies them into the
 * counter registry once a second.
 */

typedef enum metric_source {
	FROM_MEMBER,
	FROM_AGENT,
	FROM_TRANSPORT,
	FROM_RELAY
} metric_source_t;

typedef struct metric_spec {
	const char *name;
	metric_source_t source;
	size_t offset; /* of a uint64_t in the source's counts */
} metric_spec_t;

#define MEMBER(field) FROM_MEMBER, offsetof(bf_member_counts_t, field)
#define AGENT(field) FROM_AGENT, offsetof(bf_agent_counts_t, field)
#define TRANSPORT(field) FROM_TRANSPORT, offsetof(bf_transport_counts_t, field)
#define RELAY(field) FROM_RELAY, offsetof(bf_relay_status_t, field)

static const metric_spec_t specs[] = {
	{ "bf_member_refutations_total", MEMBER(refutations) },
	{ "bf_member_suspicions_total", MEMBER(suspicions) },
	{ "bf_member_deaths_total", MEMBER(deaths) },
	{ "bf_member_wakes_total", MEMBER(pauses) },
	{ "bf_member_isolations_total", MEMBER(isolations) },
	{ "bf_member_pulls_sent_total", MEMBER(pulls_sent) },
	{ "bf_member_pulls_served_total", MEMBER(pulls_served) },
	{ "bf_member_pulls_refused_total", MEMBER(pulls_refused) },
	{ "bf_member_bad_messages_total", MEMBER(bad_messages) },
	{ "bf_config_applied_total", AGENT(applied) },
	{ "bf_config_applied_delta_total", AGENT(applied_delta) },
	{ "bf_config_stale_total", AGENT(stale) },
	{ "bf_config_below_floor_total", AGENT(below_floor) },
	{ "bf_config_bad_digest_total", AGENT(bad_digest) },
	{ "bf_config_bad_base_total", AGENT(bad_base) },
	{ "bf_config_check_failed_total", AGENT(check_failed) },
	{ "bf_config_gets_total", AGENT(gets_sent) },
	{ "bf_config_deltas_served_total", AGENT(deltas_served) },
	{ "bf_config_snapshots_served_total", AGENT(snapshots_served) },
	{ "bf_config_refused_total", AGENT(refused) },
	{ "bf_config_timeouts_total", AGENT(timeouts) },
	{ "bf_control_sent_total", TRANSPORT(sent) },
	{ "bf_control_sent_bytes_total", TRANSPORT(sent_bytes) },
	{ "bf_control_received_total", TRANSPORT(received) },
	{ "bf_control_received_bytes_total", TRANSPORT(received_bytes) },
	{ "bf_control_dropped_total", TRANSPORT(dropped) },
	{ "bf_control_refused_clients_total", TRANSPORT(refused) },
	{ "bf_control_bad_heads_total", TRANSPORT(bad_headers) },
	{ "bf_control_dials_total", TRANSPORT(dials) },
	{ "bf_store_calls_total", RELAY(calls) },
	{ "bf_store_failures_total", RELAY(failures) },
	{ "bf_relay_lapses_total", RELAY(lapses) },
	{ "bf_relay_bad_heads_total", RELAY(bad_heads) },
	{ "bf_relay_outcomes_written_total", RELAY(outcomes_written) },
};

#define SPECS (sizeof(specs) / sizeof(specs[0]))
_Static_assert(SPECS <= METRICS_MAX, "METRICS_MAX is too small");

void
bf_control_register_metrics(bf_control_t *control)
{
	size_t i;

	control->shard = bf_counters_add_shard(control->options.counters);
	for (i = 0; i < SPECS; i++)
		control->metrics[i] = bf_counters_register(
		    control->options.counters, specs[i].name);
}

void
bf_control_update_metrics(bf_control_t *control)
{
	bf_relay_status_t relay = { 0 };
	bf_member_counts_t member;
	bf_agent_counts_t agent;
	const char *base[4];
	size_t i;

	if (control->shard == NULL)
		return;
	member = bf_member_counts(control->member);
	agent = bf_agent_counts(control->agent);
	if (control->relay != NULL)
		bf_relay_status(control->relay, control->now_us, &relay);
	base[FROM_MEMBER] = (const char *)&member;
	base[FROM_AGENT] = (const char *)&agent;
	base[FROM_TRANSPORT] =
	    (const char *)bf_transport_counts(control->transport);
	base[FROM_RELAY] = (const char *)&relay;
	for (i = 0; i < SPECS; i++)
		bf_counter_set(control->shard, control->metrics[i],
		    *(const uint64_t *)(const void *)(base[specs[i].source] +
			specs[i].offset));
}
