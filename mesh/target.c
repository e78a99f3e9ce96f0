#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/address.h"
#include "mesh/internal.h"

/*
 * Calls at the target beside this node.  No other node connects to the target,
 * so this node counts all of its calls: the target is never given more calls
 * than it has slots, and a call that is refused here has not run.
 */

/* A target is absent after this many missed heartbeats and some slack. */
#define HEARTBEATS_MISSED_MAX 3
#define HEARTBEAT_SLACK_US BF_US_PER_S
/* A call that is not repeatable reuses only connections idle for less. */
#define UNSAFE_IDLE_US (300 * BF_US_PER_MS)
/* Longest idle time after which a connection is reused for other calls. */
#define IDLE_US (5 * BF_US_PER_S)
/* Time after the deadline during which the target's answer is awaited. */
#define ANSWER_GRACE_US (150 * BF_US_PER_MS)
/* Incomplete answers that are held at once, so that memory is bounded. */
#define ANSWERS_BYTES_MAX ((uint64_t)48 << 20)
/*
 * An offer that is older is refused: its caller may have left since, and the
 * entry, which knows, can offer the call again.
 */
#define OFFER_AGE_MAX_US (400 * BF_US_PER_MS)
/*
 * A call that has waited is started only if its entry was heard of in the last
 * HEARD_MAX_US, as a cancellation may be delayed.  Otherwise the entry is
 * probed and the call is refused after CONFIRM_TIMEOUT_US without an answer.
 */
#define HEARD_MAX_US (300 * BF_US_PER_MS)
#define CONFIRM_TIMEOUT_US (250 * BF_US_PER_MS)
#define PROBE_INTERVAL_US (100 * BF_US_PER_MS)
/* Interval at which waiting calls are checked for expiry. */
#define EXPIRY_INTERVAL_US (10 * BF_US_PER_MS)
/* Weight of the newest run in the moving averages. */
#define LATENCY_WEIGHT 0.08
#define FAILURE_WEIGHT 0.08
/* Half-life of the failure share of a target. */
#define FAILURE_HALF_LIFE_US (2 * BF_US_PER_S)
/* A smaller failure share is due to the routes, not to the target. */
#define FAILURE_SHARE_MIN 0.03

struct bf_target_call {
	bf_queued_call_t queued; /* first member */
	bf_mesh_t *mesh;
	bf_inbound_t *from; /* NULL: it entered at this node */
	bf_target_call_t *next;
	bf_target_call_t **previous;
	uint64_t offer_id;
	char request_id[BF_REQUEST_ID_BYTES];
	char route[BF_ROUTE_NAME_BYTES];
	bf_bytes_t head;
	bf_http_message_t *body; /* shared with a local caller's request */
	bf_body_pull_t pull;
	char target[BF_NAME_BYTES]; /* id of the target that it is for */
	uint64_t account_id;        /* of the caller; 0: none */
	bool has_body;
	bool repeatable;
	bool is_retry;
	bool dependency_busy; /* a call that its run made was refused as busy */
	bool receiving;       /* its body, before it is queued */
	bool waiting;
	bool displaced;  /* by calls of another account, while it waited */
	bool confirming; /* has a slot, but its entry was not heard of */
	bool running;
	bf_capacity_run_t capacity_run; /* with learn_capacity */
	bf_time_us_t arrived_us;
	bf_time_us_t sent_us;
	bf_http_exchange_t exchange;
	bf_timer_t timeout;
};

static void send_next(bf_mesh_t *mesh, bf_time_us_t now_us);
static void request_bodies(bf_mesh_t *mesh, bf_time_us_t now_us);

static uint32_t
route_hash(const char *route)
{
	return (uint32_t)bf_hash_text(route, 0);
}

static bf_route_latency_t *
find_route_latency(bf_own_target_t *target, const char *route)
{
	uint32_t hash = route_hash(route), i;

	for (i = 0; i < target->latency_count; i++) {
		if (target->latencies[i].route == hash)
			return &target->latencies[i];
	}
	if (target->latency_count == BF_ROUTE_LATENCIES_MAX)
		return NULL;
	target->latencies[target->latency_count] =
	    (bf_route_latency_t){ .route = hash };
	return &target->latencies[target->latency_count++];
}

static bf_time_us_t
expected_run_us(bf_own_target_t *target, const char *route)
{
	const bf_route_latency_t *latency = find_route_latency(target, route);

	if (latency == NULL || latency->run_count == 0)
		return (bf_time_us_t)target->queue.mean_run_us;
	return (bf_time_us_t)latency->mean_us;
}

static double
current_failure_share(const bf_own_target_t *target, bf_time_us_t now_us)
{
	if (now_us <= target->failure_share_at_us)
		return target->failure_share;
	return target->failure_share *
	    exp2(-(double)(now_us - target->failure_share_at_us) /
		FAILURE_HALF_LIFE_US);
}

/*
 * The expected time of a run that starts now.  Runs that are overdue show a
 * change of the target before they end, so the longer time counts then.
 */
static bf_time_us_t
learnt_run_us(const bf_own_target_t *target, bf_time_us_t now_us)
{
	const bf_capacity_t *capacity = &target->capacity;
	bf_time_us_t current_us, learnt_us;
	uint32_t running = capacity->running - capacity->blocked + 1;

	current_us = bf_call_queue_current_run_us(&target->queue, now_us);
	if (running > capacity->learnt)
		running = capacity->learnt;
	learnt_us = bf_capacity_expected_us(capacity, running, now_us);
	if (learnt_us == 0)
		return current_us;
	return current_us > (bf_time_us_t)target->queue.mean_run_us &&
		current_us > learnt_us
	    ? current_us
	    : learnt_us;
}

bool
bf_target_is_learnt(const bf_mesh_t *mesh)
{
	return mesh->options.learn_capacity &&
	    (mesh->target.reports_speed || !mesh->options.reported_speed_only);
}

/* Sets the slots of the queue; with learn_capacity, to the learnt ones. */
static void
set_slots(bf_mesh_t *mesh, uint32_t slots, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	uint32_t learnt;

	target->queue.slots = slots;
	if (!mesh->options.learn_capacity)
		return;
	bf_capacity_set_slots(&target->capacity, slots);
	if (!bf_target_is_learnt(mesh))
		return;
	learnt = target->capacity.learnt;
	target->queue.slots = bf_capacity_slots(
	    &target->capacity, target->queue.count > 0, now_us);
	if (target->capacity.learnt != learnt)
		bf_event(mesh->events, BF_EVENT_CAPACITY, now_us,
		    "s:s,s:i,s:i,s:i,s:i,s:I", "target",
		    target->presence.heartbeat.id, "slots", (int)slots,
		    "learnt", (int)target->capacity.learnt, "running",
		    (int)target->queue.running, "speed_percent",
		    (int)(100 * target->capacity.speed), "run_us",
		    (json_int_t)learnt_run_us(target, now_us));
}

static void
refresh_slots(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	if (bf_target_is_learnt(mesh))
		set_slots(mesh, mesh->target.capacity.slots, now_us);
}

bf_load_t
bf_target_load(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_own_target_t *target = &mesh->target;
	double share = current_failure_share(target, now_us);
	bool learnt = bf_target_is_learnt(mesh);
	uint32_t slots = learnt ? bf_capacity_learnt_slots(&target->capacity)
				: target->queue.slots;
	uint32_t gate_slots = bf_evacuation_slots(mesh, now_us);

	if (target->presence.state != BF_TARGET_READY)
		slots = 0;
	else if (gate_slots < slots)
		slots = gate_slots;
	return (bf_load_t){
		.running = target->queue.running,
		.waiting = target->queue.count + target->pulls.count,
		.slots = slots,
		.mean_us = (uint32_t)(learnt
			? learnt_run_us(target, now_us)
			: bf_call_queue_current_run_us(&target->queue, now_us)),
		.failing_ppm = share < FAILURE_SHARE_MIN
		    ? 0
		    : (uint32_t)(share * 100) * 10000,
	};
}

/*
 * Whether the run of this call made the call of the given id: a target gives
 * the calls that it makes ids of the form "PARENT.OWN".
 */
static bool
is_parent_of(const bf_target_call_t *call, const char *id)
{
	size_t bytes = strlen(call->request_id);

	return call->running && bytes > 0 && id[bytes] == '.' &&
	    strncmp(id, call->request_id, bytes) == 0;
}

static bf_target_call_t *
find_parent(bf_target_call_t *call, const char *id)
{
	while (call != NULL && !is_parent_of(call, id))
		call = call->next;
	return call;
}

void
bf_target_update_gauges(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_capacity_t *capacity = &mesh->target.capacity;

	bf_metric_set(mesh->metrics.capacity, "slots", capacity->learnt);
	bf_metric_set(mesh->metrics.capacity, "speed_percent",
	    (uint64_t)(100 * capacity->speed));
	bf_metric_set(mesh->metrics.capacity, "run_microseconds",
	    (uint64_t)learnt_run_us(&mesh->target, now_us));
}

bf_target_call_t *
bf_target_find_parent(const bf_mesh_t *mesh, const char *id)
{
	const bf_inbound_t *inbound;
	bf_target_call_t *call;

	if (strchr(id, '.') == NULL)
		return NULL;
	call = find_parent(mesh->target.local_calls, id);
	for (inbound = mesh->inbound; call == NULL && inbound != NULL;
	     inbound = inbound->next)
		call = find_parent(inbound->calls, id);
	return call;
}

uint32_t
bf_target_call_priority(const bf_target_call_t *call)
{
	return call->queued.priority;
}

bool
bf_target_call_is_retry(const bf_target_call_t *call)
{
	return call->is_retry;
}

uint64_t
bf_target_call_account_id(const bf_target_call_t *call)
{
	return call->account_id;
}

void
bf_target_mark_dependency_busy(bf_mesh_t *mesh, const char *id)
{
	bf_target_call_t *call = bf_target_find_parent(mesh, id);

	if (call != NULL)
		call->dependency_busy = true;
}

void
bf_target_parent_blocked(
    bf_mesh_t *mesh, const char *id, bool blocked, bf_time_us_t now_us)
{
	bf_target_call_t *call;

	if (!mesh->options.learn_capacity)
		return;
	call = bf_target_find_parent(mesh, id);
	if (call == NULL)
		return;
	if (blocked)
		bf_capacity_call_began(
		    &mesh->target.capacity, &call->capacity_run, now_us);
	else
		bf_capacity_call_ended(
		    &mesh->target.capacity, &call->capacity_run, now_us);
	refresh_slots(mesh, now_us);
	if (blocked)
		send_next(mesh, now_us);
}

uint32_t
bf_target_call_count(const bf_mesh_t *mesh)
{
	return mesh->target.queue.running + mesh->target.queue.count +
	    mesh->target.pulls.count;
}

static void
link_call(bf_target_call_t *call, bf_target_call_t **list)
{
	call->next = *list;
	if (call->next != NULL)
		call->next->previous = &call->next;
	call->previous = list;
	*list = call;
}

static void
unlink_call(bf_target_call_t *call)
{
	*call->previous = call->next;
	if (call->next != NULL)
		call->next->previous = call->previous;
}

static void
free_call(bf_target_call_t *call)
{
	unlink_call(call);
	bf_loop_timer_cancel(call->mesh->loop, &call->timeout);
	if (call->receiving)
		bf_body_pulls_remove(&call->mesh->target.pulls, &call->pull);
	bf_bytes_free(&call->head);
	bf_http_message_free(call->body);
	bf_loop_defer_free(call->mesh->loop, call);
}

/*
 * The cause, for events and metrics.  Entries are told "busy" of calls that are
 * displaced or kept from a free slot.
 */
static const char *
refusal_reason(const bf_target_call_t *call, bf_cause_t cause)
{
	const bf_call_queue_t *queue = &call->mesh->target.queue;

	if (call->displaced)
		return "displaced";
	if (cause == BF_CAUSE_BUSY && queue->running < queue->slots &&
	    !bf_reserve_permits(
		&queue->reserve, call->queued.kind, queue->slots))
		return "reserved";
	return bf_cause_name(cause);
}

/* Sends the reply to the call's entry and frees the call. */
static void
send_reply(bf_target_call_t *call, const bf_reply_t *reply, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bf_bytes_t body = { .data = (uint8_t *)(uintptr_t)reply->body,
		.end = reply->body_bytes };
	bf_inbound_t *from = call->from;
	uint64_t offer_id = call->offer_id;
	bf_load_t load;

	free_call(call);
	if (from == NULL) {
		bf_entry_handle_reply(mesh, offer_id, reply, now_us);
		return;
	}
	load = bf_target_load(mesh, now_us);
	bf_wire_write_reply(&mesh->writer, reply, &load);
	bf_mesh_link_send(&from->link, BF_FRAME_REPLY, offer_id, &mesh->writer,
	    &body, now_us);
}

static void
refuse(bf_target_call_t *call, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bf_reply_t reply = {
		.result = BF_CALL_RESULT_NOT_RUN,
		.cause = cause,
		.waited_us = now_us - call->arrived_us,
	};
	const char *reason = refusal_reason(call, cause);

	bf_evacuation_set_gate(mesh, now_us);
	reply.expected_wait_us = bf_call_queue_expected_wait_us(
	    &mesh->target.queue, &call->queued, now_us);
	bf_metric_count(mesh->metrics.runs, reason, 1);
	if (reply.waited_us > 0 ||
	    bf_events_sampled(mesh->events, call->request_id))
		bf_event(mesh->events, BF_EVENT_REFUSED, now_us,
		    "s:s,s:s,s:s,s:I,s:i,s:i,s:I,s:I", "call", call->request_id,
		    "route", call->route, "cause", reason, "waited_us",
		    (json_int_t)reply.waited_us, "running",
		    (int)mesh->target.queue.running, "waiting",
		    (int)mesh->target.queue.count, "room_in_us",
		    (json_int_t)reply.expected_wait_us, "left_us",
		    (json_int_t)(call->queued.deadline_at_us - now_us));
	send_reply(call, &reply, now_us);
}

static void
update_failure_share(bf_own_target_t *target, bool failed, bf_time_us_t now_us)
{
	target->failure_share = current_failure_share(target, now_us);
	target->failure_share_at_us = now_us;
	target->failure_share +=
	    FAILURE_WEIGHT * ((failed ? 1 : 0) - target->failure_share);
}

/* Counts the result of a run, for load balancing and for moves. */
static void
record_run(bf_target_call_t *call, bool failed, bf_time_us_t now_us)
{
	bf_own_target_t *target = &call->mesh->target;
	bf_time_us_t spent_us = now_us - call->sent_us;
	bf_run_tally_t *tally;
	bf_route_latency_t *latency;

	update_failure_share(target, failed, now_us);
	bf_capacity_end(&target->capacity, &call->capacity_run,
	    route_hash(call->route), !failed && now_us >= target->warm_at_us,
	    now_us);
	tally = bf_run_tally(&target->runs, route_hash(call->route));
	if (tally != NULL) {
		tally->runs++;
		tally->failures += failed ? 1 : 0;
		if (!failed && now_us >= target->warm_at_us) {
			tally->timed_runs++;
			tally->time_us += (uint64_t)spent_us;
		}
	}
	latency = find_route_latency(target, call->route);
	if (latency == NULL || failed)
		return;
	if (latency->run_count++ == 0)
		latency->mean_us = (double)spent_us;
	else
		latency->mean_us +=
		    LATENCY_WEIGHT * ((double)spent_us - latency->mean_us);
}

/*
 * Reads the load that the target reports: "running,waiting,slots" and, if it
 * knows, how long work takes on its machine now, in percent of the usual.
 * Calls beyond those that this process sent were sent by its former process and
 * still hold slots.
 */
static void
apply_reported_load(bf_mesh_t *mesh, const char *text, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	uint32_t running, waiting, own, slots, percent;

	if (text == NULL || sscanf(text, "%u,%u", &running, &waiting) != 2)
		return;
	own = target->queue.running + 1;
	slots = target->presence.heartbeat.slots;
	if (running + waiting > own)
		slots -= running + waiting - own < slots
		    ? running + waiting - own
		    : slots - 1;
	if (mesh->options.learn_capacity &&
	    sscanf(text, "%*u,%*u,%*u,%u", &percent) == 1) {
		target->reports_speed = true;
		bf_capacity_set_percent(&target->capacity, percent, now_us);
	}
	set_slots(mesh, slots, now_us);
}

static void
release_slot(bf_target_call_t *call, bf_time_us_t spent_us, bf_time_us_t now_us)
{
	bf_loop_timer_cancel(call->mesh->loop, &call->timeout);
	call->running = false;
	bf_call_queue_end_run(
	    &call->mesh->target.queue, &call->queued, spent_us);
	bf_capacity_end(&call->mesh->target.capacity, &call->capacity_run, 0,
	    false, now_us);
	refresh_slots(call->mesh, now_us);
}

static void
log_run(const bf_target_call_t *call, const char *result, uint32_t status,
    bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;

	bf_metric_count(mesh->metrics.runs, result, 1);
	bf_metric_observe(
	    mesh->metrics.waited, NULL, call->sent_us - call->arrived_us);
	bf_metric_observe(mesh->metrics.spent, NULL, now_us - call->sent_us);
	if (status != 0 && status < 500 &&
	    !bf_events_sampled(mesh->events, call->request_id))
		return;
	bf_event(mesh->events, BF_EVENT_RAN, now_us,
	    "s:s,s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:i", "call", call->request_id,
	    "route", call->route, "target", mesh->target.presence.heartbeat.id,
	    "version", mesh->target.presence.heartbeat.version, "result",
	    result, "status", (int)status, "waited_us",
	    (json_int_t)(call->sent_us - call->arrived_us), "spent_us",
	    (json_int_t)(now_us - call->sent_us), "running",
	    (int)mesh->target.queue.running);
}

static void
fail_run(bf_target_call_t *call, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bf_reply_t reply = {
		.result = BF_CALL_RESULT_UNKNOWN,
		.cause = cause,
		.waited_us = call->sent_us - call->arrived_us,
		.spent_us = now_us - call->sent_us,
	};

	record_run(call, true, now_us);
	/* A run that was given up would have taken longer still. */
	release_slot(
	    call, cause == BF_CAUSE_TIMEOUT ? reply.spent_us : -1, now_us);
	log_run(call, bf_cause_name(cause), 0, now_us);
	send_reply(call, &reply, now_us);
	send_next(mesh, now_us);
}

/* Ends a call that the target did not run. */
static void
return_not_run(bf_target_call_t *call, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;

	release_slot(call, -1, now_us);
	refuse(call, cause, now_us);
	send_next(mesh, now_us);
}

static void
copy_fields(const bf_http_message_t *message, bf_bytes_t *out)
{
	uint32_t i;

	for (i = 0; i < message->field_count; i++) {
		if (bf_http_hop_by_hop(message, bf_http_name(message, i)))
			continue;
		bf_bytes_format(out, "%s: %s\r\n", bf_http_name(message, i),
		    bf_http_value(message, i));
	}
	bf_bytes_add(out, "", 1);
}

static void
forward_answer(bf_target_call_t *call, const bf_http_message_t *message,
    bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bf_bytes_t fields = { 0 };
	bf_reply_t reply = {
		.result = BF_CALL_RESULT_ANSWERED,
		.status = message->status,
		.body = message->body.data + message->body.start,
		.body_bytes = bf_bytes_count(&message->body),
		.waited_us = call->sent_us - call->arrived_us,
		.spent_us = now_us - call->sent_us,
		.dependency_busy =
		    call->dependency_busy && message->status >= 500,
	};

	record_run(
	    call, message->status >= 500 && !call->dependency_busy, now_us);
	release_slot(call, now_us - call->sent_us, now_us);
	log_run(call, "answered", message->status, now_us);
	copy_fields(message, &fields);
	reply.fields = (const char *)bf_bytes_data(&fields);
	send_reply(call, &reply, now_us);
	bf_bytes_free(&fields);
	send_next(mesh, now_us);
}

/*
 * Whether the message answers this call, not another request.  A failure that
 * does not say which request it answers may be an earlier one, sent once more,
 * if the connection has had other requests.
 */
static bool
is_answer_to(const bf_target_call_t *call, const bf_http_message_t *message)
{
	const char *id;

	id = bf_http_find(message, call->mesh->dialect->request_id);
	if (id != NULL)
		return strcmp(id, call->request_id) == 0;
	return message->status >= 400 && !call->exchange.on_used_conn;
}

/*
 * Whether callers take the status for a promise that the call has not run and
 * will not run.
 */
static bool
promises_not_run(uint32_t status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
refuse_queued(bf_mesh_t *mesh, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	bf_queued_call_t *queued;
	bf_body_pull_t *pull;

	while ((queued = TAILQ_FIRST(&target->queue.list)) != NULL) {
		bf_call_queue_remove(&target->queue, queued);
		refuse((bf_target_call_t *)(void *)queued, cause, now_us);
	}
	while ((pull = TAILQ_FIRST(&target->pulls.list)) != NULL)
		refuse(
		    BF_CONTAINER(pull, bf_target_call_t, pull), cause, now_us);
}

void
bf_target_refuse_waiting(bf_mesh_t *mesh, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_target_call_t *call, *next;
	bf_inbound_t *inbound;

	refuse_queued(mesh, cause, now_us);
	for (inbound = mesh->inbound; inbound != NULL;
	     inbound = inbound->next) {
		for (call = inbound->calls; call != NULL; call = next) {
			next = call->next;
			if (call->confirming)
				return_not_run(call, cause, now_us);
		}
	}
}

/*
 * Marks the target as absent until its next heartbeat, and refuses the calls in
 * its queue.
 */
static void
mark_target_absent(bf_mesh_t *mesh, const char *change, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;

	if (target->presence.state == BF_TARGET_ABSENT)
		return;
	target->presence.state = BF_TARGET_ABSENT;
	bf_event(mesh->events, BF_EVENT_TARGET, now_us, "s:s,s:s", "target",
	    target->presence.heartbeat.id, "change", change);
	refuse_queued(mesh, BF_CAUSE_NO_TARGET, now_us);
	bf_mesh_report_changes(mesh, now_us);
}

static void
handle_answer(
    bf_target_call_t *call, bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;

	apply_reported_load(
	    mesh, bf_http_find(message, mesh->dialect->target_load), now_us);
	if (!is_answer_to(call, message)) {
		bf_http_client_reset(&mesh->target.client);
		fail_run(call, BF_CAUSE_BAD_ANSWER, now_us);
	} else if (bf_http_find(message, mesh->dialect->not_run) != NULL) {
		update_failure_share(&mesh->target, true, now_us);
		return_not_run(call, BF_CAUSE_REJECTED, now_us);
	} else if (message->status == 421) {
		bf_evacuation_call_returned(mesh, call->sent_us, now_us);
		return_not_run(call, BF_CAUSE_NO_TARGET, now_us);
		mark_target_absent(mesh, "another one has its address", now_us);
	} else if (!call->repeatable && promises_not_run(message->status)) {
		/* The target does not say so: the call may have run. */
		fail_run(call, BF_CAUSE_BAD_ANSWER, now_us);
	} else {
		forward_answer(call, message, now_us);
	}
	bf_http_message_free(message);
}

static void
on_exchange(bf_http_exchange_t *exchange, bf_http_result_t result,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_target_call_t *call =
	    BF_CONTAINER(exchange, bf_target_call_t, exchange);
	bf_mesh_t *mesh = call->mesh;

	switch (result) {
	case BF_HTTP_ANSWERED:
		handle_answer(call, message, now_us);
		break;
	case BF_HTTP_NOT_SENT:
		release_slot(call, -1, now_us);
		refuse(call, BF_CAUSE_CONNECT, now_us);
		mark_target_absent(mesh, "refuses connections", now_us);
		break;
	case BF_HTTP_BROKEN:
		fail_run(call, BF_CAUSE_BROKEN, now_us);
		break;
	case BF_HTTP_BAD_RESPONSE:
		fail_run(call, BF_CAUSE_BAD_ANSWER, now_us);
		break;
	}
}

static void
on_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_target_call_t *call = BF_CONTAINER(timer, bf_target_call_t, timeout);
	bf_mesh_t *mesh = call->mesh;

	if (call->receiving) {
		refuse(call, BF_CAUSE_BUSY, now_us);
		request_bodies(mesh, now_us);
		return;
	}
	if (call->confirming) {
		return_not_run(call, BF_CAUSE_BUSY, now_us);
		return;
	}
	bf_http_cancel(&call->exchange);
	fail_run(call, BF_CAUSE_TIMEOUT, now_us);
}

static void
send_call(bf_target_call_t *call, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	const bf_dialect_t *dialect = mesh->dialect;
	bf_time_us_t remaining_us = call->queued.deadline_at_us - now_us;

	call->waiting = false;
	call->confirming = false;
	call->running = true;
	call->sent_us = now_us;
	if (remaining_us < BF_US_PER_MS) {
		return_not_run(call, BF_CAUSE_EXPIRED, now_us);
		return;
	}
	bf_bytes_format(&call->head, "%s: %lld\r\n%s: %s\r\n",
	    dialect->time_left_ms, (long long)(remaining_us / BF_US_PER_MS),
	    dialect->expected_target, mesh->target.presence.heartbeat.id);
	if (call->has_body)
		bf_bytes_format(&call->head, "Content-Length: %zu\r\n",
		    bf_bytes_count(&call->body->body));
	bf_bytes_add_text(&call->head, "\r\n");
	call->exchange.shared_body = call->body;
	if (mesh->options.learn_capacity)
		bf_capacity_begin(
		    &mesh->target.capacity, &call->capacity_run, now_us);
	if (!bf_http_send(&mesh->target.client, &call->exchange, &call->head,
		NULL, call->repeatable ? IDLE_US : UNSAFE_IDLE_US, now_us)) {
		return_not_run(call, BF_CAUSE_CONNECT, now_us);
		return;
	}
	bf_evacuation_call_sent(mesh, now_us);
	bf_loop_timer_set(mesh->loop, &call->timeout,
	    call->queued.deadline_at_us + ANSWER_GRACE_US);
}

/* Whether a cancellation of the call may be under way for long. */
static bool
needs_confirmation(const bf_target_call_t *call, bf_time_us_t now_us)
{
	const bf_inbound_t *from = call->from;

	return from != NULL && from->peer != NULL &&
	    from->peer->state.protocol >= BF_PROTOCOL_1 &&
	    now_us - from->heard_us > HEARD_MAX_US;
}

/* Keeps the call's slot until its entry is heard of, for a short time. */
static void
confirm(bf_target_call_t *call, bf_time_us_t now_us)
{
	bf_inbound_t *from = call->from;

	call->waiting = false;
	call->confirming = true;
	bf_loop_timer_set(
	    call->mesh->loop, &call->timeout, now_us + CONFIRM_TIMEOUT_US);
	if (now_us - from->probed_us < PROBE_INTERVAL_US)
		return;
	from->probed_us = now_us;
	bf_mesh_link_send(&from->link, BF_FRAME_PROBE, 0, NULL, NULL, now_us);
}

/*
 * Sends the next waiting call if a slot is free and the gate is open.  With
 * learn_capacity the slots may have grown, so that more than one is free.
 */
static void
send_next(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_queued_call_t *queued;
	bf_target_call_t *call;

	bf_evacuation_await_gate(mesh, now_us);
	do {
		queued = bf_call_queue_start_next(&mesh->target.queue, now_us);
		if (queued == NULL)
			return;
		call = (bf_target_call_t *)(void *)queued;
		if (needs_confirmation(call, now_us))
			confirm(call, now_us);
		else
			send_call(call, now_us);
	} while (bf_target_is_learnt(mesh));
}

/*
 * Sends the waiting calls that the queue's reserve leaves slots to: it shrinks
 * with time, without a run that ends.
 */
static void
send_permitted(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	uint32_t count;

	if (!mesh->target.queue.keeps_reserve)
		return;
	do {
		count = mesh->target.queue.count;
		send_next(mesh, now_us);
	} while (mesh->target.queue.count < count);
}

void
bf_target_start_waiting(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_call_queue_t *queue = &mesh->target.queue;
	uint32_t count;

	do {
		count = queue->count;
		send_next(mesh, now_us);
	} while (queue->count < count);
}

void
bf_target_heard(bf_inbound_t *from, bf_time_us_t now_us)
{
	bf_target_call_t *call = from->calls;
	bf_mesh_t *mesh = from->mesh;

	while (call != NULL) {
		if (!call->confirming || needs_confirmation(call, now_us)) {
			call = call->next;
			continue;
		}
		/* Others were started by the gate meanwhile. */
		bf_evacuation_set_gate(mesh, now_us);
		if (mesh->target.queue.gate_opens_at_us > now_us)
			return_not_run(call, BF_CAUSE_BUSY, now_us);
		else
			send_call(call, now_us);
		call = from->calls; /* the call may be freed */
	}
}

static void
on_expiry(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(timer, bf_mesh_t, target.expiry_timer);
	bf_call_queue_t *queue = &mesh->target.queue;
	bf_queued_call_t *queued;

	while ((queued = bf_call_queue_take_expired(queue, now_us)) != NULL)
		refuse(
		    (bf_target_call_t *)(void *)queued, BF_CAUSE_BUSY, now_us);
	send_permitted(mesh, now_us);
	/* Bodies of entries that have stopped sending make room for others. */
	request_bodies(mesh, now_us);
	if (queue->count > 0 || mesh->target.pulls.count > 0)
		bf_loop_timer_set(
		    mesh->loop, timer, now_us + EXPIRY_INTERVAL_US);
}

static void
start_expiry_timer(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	if (mesh->target.expiry_timer.heap_index == 0)
		bf_loop_timer_set(mesh->loop, &mesh->target.expiry_timer,
		    now_us + EXPIRY_INTERVAL_US);
}

/* Requests parts of bodies from their entries, as far as the link allows. */
static void
request_bodies(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_target_call_t *call;
	bf_body_pull_t *pull;
	size_t offset, bytes;

	while ((pull = bf_body_pulls_next(
		    &mesh->target.pulls, &offset, &bytes, now_us)) != NULL) {
		call = BF_CONTAINER(pull, bf_target_call_t, pull);
		bf_wire_write_uint(&mesh->writer, offset);
		bf_wire_write_uint(&mesh->writer, bytes);
		bf_mesh_link_send(&call->from->link, BF_FRAME_BODY_GET,
		    call->offer_id, &mesh->writer, NULL, now_us);
	}
}

static bf_target_call_t *
new_call(bf_mesh_t *mesh, bf_inbound_t *from, const bf_offer_t *offer,
    bf_time_us_t now_us)
{
	bf_target_call_t *call;

	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return NULL;
	*call = (bf_target_call_t){
		.mesh = mesh,
		.from = from,
		.offer_id = offer->id,
		.has_body = offer->has_body,
		.repeatable = offer->repeatable,
		.is_retry = offer->is_retry,
		.account_id = offer->account_id,
		.arrived_us = now_us,
		.sent_us = now_us,
		.exchange = { .done = on_exchange,
		    .is_head_request = offer->is_head },
		.timeout = { .fire = on_timeout },
		.queued = {
		    .inner = offer->inner,
		    .priority = offer->priority,
		    .account = offer->account_id,
		    .objective_at_us = now_us + offer->objective_remaining_us,
		    .deadline_at_us = now_us + offer->remaining_us,
		    .expected_run_us = expected_run_us(&mesh->target, offer->route),
		},
	};
	if (offer->message != NULL) {
		call->body = bf_http_message_hold(offer->message);
	} else {
		call->body = bf_http_message_new();
		if (call->body == NULL) {
			free(call);
			return NULL;
		}
		call->body->charge.budget = &mesh->memory;
		call->body->charge.side = BF_MEMORY_PEERS;
	}
	(void)snprintf(call->request_id, sizeof(call->request_id), "%s",
	    offer->request_id);
	(void)snprintf(call->route, sizeof(call->route), "%s", offer->route);
	(void)snprintf(
	    call->target, sizeof(call->target), "%s", offer->target_id);
	link_call(
	    call, from != NULL ? &from->calls : &mesh->target.local_calls);
	return call;
}

static bf_cause_t
reason_to_refuse(
    const bf_mesh_t *mesh, const bf_target_call_t *call, bf_time_us_t now_us)
{
	const bf_own_target_t *target = &mesh->target;

	if (target->presence.state == BF_TARGET_ABSENT ||
	    strcmp(target->presence.heartbeat.id, call->target) != 0)
		return BF_CAUSE_NO_TARGET;
	if (target->presence.state != BF_TARGET_READY ||
	    bf_evacuation_holds(mesh, now_us))
		return BF_CAUSE_DRAINING;
	/* It could outlast this process, and be cut off at its target. */
	if (mesh->stopping &&
	    call->queued.deadline_at_us > bf_mesh_stop_deadline_us(mesh))
		return BF_CAUSE_DRAINING;
	if (call->queued.deadline_at_us - now_us < BF_US_PER_MS)
		return BF_CAUSE_EXPIRED;
	return BF_CAUSE_NONE;
}

/* Refuses the calls that a call just queued keeps from starting in time. */
static void
refuse_displaced(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_queued_call_t *queued;
	bf_target_call_t *call;

	while ((queued = bf_call_queue_take_displaced(
		    &mesh->target.queue, now_us)) != NULL) {
		call = (bf_target_call_t *)(void *)queued;
		call->displaced = true;
		refuse(call, BF_CAUSE_BUSY, now_us);
	}
}

/* Runs a call that is complete, queues it or refuses it. */
static void
admit(bf_target_call_t *call, bool refuse_if_late, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;

	bf_evacuation_set_gate(mesh, now_us);
	mesh->target.queue.keeps_reserve =
	    mesh->routing != NULL && bf_routing_accounts(mesh->routing) != NULL;
	switch (bf_call_queue_admit(
	    &mesh->target.queue, &call->queued, refuse_if_late, now_us)) {
	case BF_QUEUE_DECISION_REFUSE:
		refuse(call, BF_CAUSE_BUSY, now_us);
		break;
	case BF_QUEUE_DECISION_WAIT:
		call->waiting = true;
		start_expiry_timer(mesh, now_us);
		refuse_displaced(mesh, now_us);
		send_permitted(mesh, now_us);
		bf_evacuation_await_gate(mesh, now_us);
		break;
	case BF_QUEUE_DECISION_START:
		send_call(call, now_us);
		break;
	}
}

/*
 * Requests the body of a call, or refuses the call at once if it would be too
 * late when the body is there.
 */
static void
receive_body(
    bf_target_call_t *call, const bf_offer_t *offer, bf_time_us_t now_us)
{
	bf_body_pulls_t *pulls = &call->mesh->target.pulls;
	bf_time_us_t complete_us, latest_start_us;

	latest_start_us =
	    (offer->refuse_if_late ? call->queued.objective_at_us
				   : call->queued.deadline_at_us) -
	    call->queued.expected_run_us;
	complete_us = now_us +
	    bf_body_pulls_expected_us(
		pulls, call->queued.priority, offer->body_bytes);
	if (complete_us > latest_start_us) {
		refuse(call, BF_CAUSE_BUSY, now_us);
		return;
	}
	if (!bf_memory_budget_make_room(
		&call->mesh->memory, offer->body_bytes, now_us)) {
		refuse(call, BF_CAUSE_MEMORY, now_us);
		return;
	}
	/* Counted as a whole at once: the parts that are requested must fit. */
	bf_memory_charge_set(
	    &call->body->charge, sizeof(*call->body) + offer->body_bytes);
	call->receiving = true;
	call->pull = (bf_body_pull_t){
		.priority = call->queued.priority,
		.link_mbps = call->from->peer != NULL
		    ? call->from->peer->state.link_mbps
		    : 0,
		.total_bytes = offer->body_bytes,
	};
	bf_body_pulls_add(pulls, &call->pull, now_us);
	bf_loop_timer_set(call->mesh->loop, &call->timeout,
	    call->queued.deadline_at_us - call->queued.expected_run_us);
	start_expiry_timer(call->mesh, now_us);
	request_bodies(call->mesh, now_us);
}

void
bf_target_offer(bf_mesh_t *mesh, bf_inbound_t *from, const bf_offer_t *offer,
    bf_time_us_t now_us)
{
	bf_target_call_t *call;
	bf_cause_t cause;

	call = new_call(mesh, from, offer, now_us);
	if (call == NULL)
		return; /* out of memory: its entry ends it at the deadline */
	cause = reason_to_refuse(mesh, call, now_us);
	if (cause == BF_CAUSE_NONE && offer->age_us > OFFER_AGE_MAX_US)
		cause = BF_CAUSE_BUSY;
	if (cause != BF_CAUSE_NONE) {
		refuse(call, cause, now_us);
		return;
	}
	bf_bytes_add(&call->head, bf_bytes_data(offer->head),
	    bf_bytes_count(offer->head));
	if (offer->body_follows) {
		receive_body(call, offer, now_us);
		return;
	}
	if (offer->message == NULL) {
		bf_bytes_add(&call->body->body, offer->body, offer->body_bytes);
		bf_http_message_update_charge(call->body);
	}
	admit(call, offer->refuse_if_late, now_us);
}

static bf_target_call_t *
find_call(bf_mesh_t *mesh, bf_inbound_t *from, uint64_t offer_id)
{
	bf_target_call_t *call;

	call = from != NULL ? from->calls : mesh->target.local_calls;
	while (call != NULL && call->offer_id != offer_id)
		call = call->next;
	return call;
}

void
bf_target_receive_body(bf_mesh_t *mesh, bf_inbound_t *from,
    const bf_frame_t *frame, bf_time_us_t now_us)
{
	bf_target_call_t *call = find_call(mesh, from, frame->offer_id);
	bf_body_pulls_t *pulls = &mesh->target.pulls;
	bf_cause_t cause;

	if (call == NULL || !call->receiving)
		return; /* it was refused meanwhile */
	bf_bytes_add(&call->body->body, frame->body, frame->body_bytes);
	if (bf_body_pulls_received(
		pulls, &call->pull, frame->body_bytes, now_us)) {
		bf_body_pulls_remove(pulls, &call->pull);
		call->receiving = false;
		bf_loop_timer_cancel(mesh->loop, &call->timeout);
		cause = reason_to_refuse(mesh, call, now_us);
		if (call->body->body.failed)
			cause = BF_CAUSE_MEMORY;
		/* The body is here: this target is the best place now. */
		if (cause == BF_CAUSE_NONE)
			admit(call, false, now_us);
		else
			refuse(call, cause, now_us);
	}
	request_bodies(mesh, now_us);
}

/* Ends a call whose caller left at left_us. */
static void
cancel_call(bf_target_call_t *call, bf_time_us_t left_us, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = call->mesh;
	bool started_late = call->running && call->sent_us > left_us;

	if (started_late || bf_events_sampled(mesh->events, call->request_id))
		bf_event(mesh->events, BF_EVENT_CANCELLED, now_us,
		    "s:s,s:s,s:I,s:I,s:I", "call", call->request_id, "at",
		    call->running ? "target" : "queue", "after_us",
		    (json_int_t)(now_us - call->arrived_us), "left_us",
		    (json_int_t)(now_us - left_us), "ran_us",
		    (json_int_t)(call->running ? now_us - call->sent_us : 0));
	if (call->running)
		bf_metric_observe(mesh->metrics.left, "end", now_us - left_us);
	if (started_late)
		bf_metric_observe(
		    mesh->metrics.left, "start", call->sent_us - left_us);
	bf_metric_count(mesh->metrics.runs, "cancelled", 1);
	if (call->receiving) {
		free_call(call);
		request_bodies(mesh, now_us);
		return;
	}
	if (call->waiting) {
		bf_call_queue_remove(&mesh->target.queue, &call->queued);
		free_call(call);
		return;
	}
	bf_http_cancel(&call->exchange);
	release_slot(call, -1, now_us);
	free_call(call);
	send_next(mesh, now_us);
}

void
bf_target_cancel(bf_mesh_t *mesh, bf_inbound_t *from, uint64_t offer_id,
    bf_time_us_t left_us, bf_time_us_t now_us)
{
	bf_target_call_t *call = find_call(mesh, from, offer_id);

	if (call != NULL)
		cancel_call(call, left_us, now_us);
}

void
bf_target_cancel_from(bf_inbound_t *from, bf_time_us_t now_us)
{
	while (from->calls != NULL)
		cancel_call(from->calls, now_us, now_us);
}

void
bf_target_adopt_calls(bf_inbound_t *from, bf_inbound_t *to)
{
	bf_target_call_t *call, *next;

	for (call = from->calls; call != NULL; call = next) {
		next = call->next;
		if (call->receiving)
			continue;
		unlink_call(call);
		call->from = to;
		link_call(call, &to->calls);
	}
}

void
bf_target_tick(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	bf_time_us_t silence_max_us;

	silence_max_us =
	    HEARTBEATS_MISSED_MAX * BF_US_PER_MS * mesh->options.heartbeat_ms +
	    HEARTBEAT_SLACK_US;
	if (target->presence.state == BF_TARGET_ABSENT ||
	    now_us - target->presence.heartbeat_at_us < silence_max_us)
		return;
	target->presence.state = BF_TARGET_ABSENT;
	bf_event(mesh->events, BF_EVENT_TARGET, now_us, "s:s,s:s,s:I", "target",
	    target->presence.heartbeat.id, "change", "silent", "age_us",
	    (json_int_t)(now_us - target->presence.heartbeat_at_us));
	bf_mesh_report_changes(mesh, now_us);
}

static void
begin_lifetime(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	const bf_heartbeat_t *heartbeat = &target->presence.heartbeat;

	bf_evacuation_begin_lifetime(
	    mesh, heartbeat->warm_up_remaining_ms * BF_US_PER_MS, now_us);
	bf_target_cancel_health_check(mesh);
	bf_http_client_reset(&target->client);
	target->failure_share = 0;
	target->latency_count = 0;
	target->runs.count = 0;
	target->queue.has_measured_mean = false;
	target->queue.mean_run_us = BF_CALL_QUEUE_INITIAL_RUN_US;
	bf_capacity_forget(&target->capacity, heartbeat->slots, now_us);
	set_slots(mesh, heartbeat->slots, now_us);
}

bf_code_t
bf_target_check_heartbeat(
    const bf_mesh_t *mesh, const bf_heartbeat_t *heartbeat, bf_error_t *err)
{
	struct sockaddr_in address;

	if (bf_address_parse(heartbeat->address, &address, err) != BF_OK)
		return BF_ERR_REFERENCE;
	if (address.sin_addr.s_addr !=
	    mesh->options.target_address.sin_addr.s_addr)
		return bf_error_set(err, BF_ERR_REFERENCE,
		    "target \"%s\" at %s is not on this instance",
		    heartbeat->id, heartbeat->address);
	if (mesh->routing != NULL &&
	    bf_routing_service(mesh->routing, heartbeat->service) == NULL &&
	    strcmp(heartbeat->service, mesh->service) != 0)
		return bf_error_set(err, BF_ERR_REFERENCE,
		    "target \"%s\" is of service \"%s\", which is not defined",
		    heartbeat->id, heartbeat->service);
	return BF_OK;
}

void
bf_target_apply_heartbeat(
    bf_mesh_t *mesh, bool new_lifetime, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	const bf_heartbeat_t *heartbeat = &target->presence.heartbeat;

	if (new_lifetime)
		begin_lifetime(mesh, now_us);
	(void)bf_address_parse(
	    heartbeat->address, &target->client.address, NULL);
	target->warm_at_us =
	    now_us + heartbeat->warm_up_remaining_ms * BF_US_PER_MS;
	mesh->self->version_unconfirmed = bf_movement_record_version(
	    mesh, heartbeat->service, heartbeat->version, now_us);
}

void
bf_target_restore_departure(
    bf_mesh_t *mesh, const bf_departure_t *departure, bf_time_us_t now_us)
{
	bf_presence_t *presence = &mesh->target.presence;

	if (!bf_presence_restore_departure(presence, departure, now_us))
		return;
	bf_event(mesh->events, BF_EVENT_TARGET, now_us, "s:s,s:s", "target",
	    presence->heartbeat.id, "change", "has left before");
	bf_mesh_report_changes(mesh, now_us);
}

void
bf_target_announce(bf_mesh_t *mesh, const char *change, bf_time_us_t now_us)
{
	const bf_heartbeat_t *heartbeat = &mesh->target.presence.heartbeat;

	bf_event(mesh->events, BF_EVENT_TARGET, now_us,
	    "s:s,s:s,s:s,s:s,s:i,s:I,s:I", "target", heartbeat->id, "change",
	    change, "service", heartbeat->service, "version",
	    heartbeat->version, "slots", (int)heartbeat->slots, "sequence",
	    (json_int_t)heartbeat->sequence, "born_ms",
	    (json_int_t)heartbeat->start_ms);
	bf_mesh_report_changes(mesh, now_us);
}

void
bf_target_make_ready(bf_mesh_t *mesh, const char *change, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;

	target->presence.state = BF_TARGET_READY;
	set_slots(mesh, target->presence.heartbeat.slots, now_us);
	bf_registry_update(mesh, now_us);
	bf_target_announce(mesh, change, now_us);
}

bf_code_t
bf_mesh_heartbeat(bf_mesh_t *mesh, const bf_heartbeat_t *heartbeat,
    bf_time_us_t now_us, bf_error_t *err)
{
	bf_own_target_t *target = &mesh->target;
	bf_presence_change_t change;
	bf_code_t code;

	code = bf_target_check_heartbeat(mesh, heartbeat, err);
	if (code != BF_OK)
		return code;
	change = bf_presence_heartbeat(&target->presence, heartbeat, now_us);
	if (!change.is_accepted)
		return BF_OK;
	bf_target_apply_heartbeat(mesh, change.new_lifetime, now_us);
	bf_evacuation_heartbeat(mesh, now_us);
	if (bf_presence_awaits_health(&target->presence)) {
		if (change.new_lifetime)
			bf_target_announce(mesh, "unconfirmed", now_us);
		bf_target_check_health(mesh, now_us);
	} else if (change.new_state &&
	    target->presence.state == BF_TARGET_READY) {
		bf_target_make_ready(mesh, "ready", now_us);
	} else if (change.new_state) {
		bf_registry_update(mesh, now_us);
		bf_target_announce(mesh, "draining", now_us);
	}
	return BF_OK;
}

void
bf_mesh_target_departed(
    bf_mesh_t *mesh, const char *id, uint64_t start_ms, bf_time_us_t now_us)
{
	if (!bf_presence_depart(&mesh->target.presence, id, start_ms, now_us))
		return;
	bf_registry_update(mesh, now_us);
	bf_event(mesh->events, BF_EVENT_TARGET, now_us, "s:s,s:s", "target", id,
	    "change", "leaves");
	bf_mesh_report_changes(mesh, now_us);
}

void
bf_target_open(bf_mesh_t *mesh)
{
	bf_own_target_t *target = &mesh->target;

	target->client.loop = mesh->loop;
	target->client.budget = &mesh->memory;
	target->client.address = mesh->options.target_address;
	target->client.idle_timeout_us = IDLE_US;
	target->client.held_bytes_max = ANSWERS_BYTES_MAX;
	/* A complete answer is copied once, to its caller's connection. */
	if (mesh->memory.limit_bytes != 0 &&
	    target->client.held_bytes_max > mesh->memory.limit_bytes / 2)
		target->client.held_bytes_max = mesh->memory.limit_bytes / 2;
	target->expiry_timer.fire = on_expiry;
	bf_call_queue_init(&target->queue, 0);
	bf_capacity_init(&target->capacity, 0, 0);
	bf_body_pulls_init(&target->pulls, mesh->options.link_mbps);
}
