#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/address.h"
#include "mesh/internal.h"

/*
 * Calls of the target beside this node.  No other node reaches the target, so
 * this is the one place that knows what runs there: it never gives it more
 * than it has slots, and what it refuses has not run.
 */

/* A target may announce itself this many intervals late, and a bit. */
#define HEARTBEATS_MISSED 3
#define HEARTBEAT_SLACK_US BF_US_PER_S
/* Kept connections of calls that must not run twice answered this lately. */
#define UNSAFE_IDLE_US (300 * BF_US_PER_MS)
/* Other kept connections are used up to this age. */
#define IDLE_US (5 * BF_US_PER_S)
/* A target's own word at the deadline is waited for this long. */
#define LATE_US (150 * BF_US_PER_MS)
/*
 * A target that leaves before this process knows it does not say when it was
 * born; a lifetime of its name that is heard of within this time is the one.
 */
#define LEFT_UNBORN_US (8 * BF_US_PER_S)
/* Waiting calls are looked at for their time this often. */
#define EXPIRY_US (10 * BF_US_PER_MS)
/* Weight of the newest run in the mean of a route, and in failing. */
#define WORK_WEIGHT 0.08
#define FAILING_WEIGHT 0.08
/* A target is forgiven half of its failures after this time. */
#define FORGIVE_US (2 * BF_US_PER_S)
/* Below this share failures are the routes' own. */
#define FAILING_MIN 0.03

struct bf_job {
	bf_queued_call_t waiter; /* first member */
	bf_mesh_t *mesh;
	bf_inbound_t *from; /* NULL: this very node */
	bf_job_t *next;
	bf_job_t **previous;
	uint64_t id;
	char request_id[BF_REQUEST_ID_BYTES];
	char route[BF_NAME_BYTES];
	bf_bytes_t head;
	bf_bytes_t body;
	bool has_body;
	bool repeatable;
	bool repeat;
	bool starved; /* a call that it made found no room */
	bool waiting;
	bool running;
	bf_time_us_t arrived_us;
	bf_time_us_t sent_us;
	bf_http_exchange_t exchange;
	bf_timer_t timeout;
};

static void run_next(bf_mesh_t *mesh, bf_time_us_t now_us);

static uint32_t
route_hash(const char *route)
{
	return (uint32_t)bf_hash_text(route, 0);
}

static bf_route_work_t *
work_of(bf_own_target_t *target, const char *route)
{
	uint32_t hash = route_hash(route), i;

	for (i = 0; i < target->work_count; i++) {
		if (target->works[i].route == hash)
			return &target->works[i];
	}
	if (target->work_count == BF_ROUTE_WORKS)
		return NULL;
	target->works[target->work_count] = (bf_route_work_t){ .route = hash };
	return &target->works[target->work_count++];
}

static bf_time_us_t
expected_work_us(bf_own_target_t *target, const char *route)
{
	const bf_route_work_t *work = work_of(target, route);

	if (work == NULL || work->seen == 0)
		return (bf_time_us_t)target->waiting.mean_run_us;
	return (bf_time_us_t)work->mean_us;
}

static double
failing_now(const bf_own_target_t *target, bf_time_us_t now_us)
{
	if (now_us <= target->failing_us)
		return target->failing;
	return target->failing *
	    exp2(-(double)(now_us - target->failing_us) / FORGIVE_US);
}

bf_load_t
bf_target_load(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	const bf_own_target_t *target = &mesh->target;
	double failing = failing_now(target, now_us);

	return (bf_load_t){
		.running = target->waiting.running,
		.waiting = target->waiting.count,
		.slots = target->state == BF_TARGET_READY
		    ? target->waiting.slots
		    : 0,
		.mean_us = (uint32_t)target->waiting.mean_run_us,
		.failing_ppm = failing < FAILING_MIN
		    ? 0
		    : (uint32_t)(failing * 100) * 10000,
	};
}

/* Whether id is that of a call which the job's run made: "PARENT.OWN". */
static bool
is_made_by(const bf_job_t *job, const char *id)
{
	size_t bytes = strlen(job->request_id);

	return job->running && bytes > 0 && id[bytes] == '.' &&
	    strncmp(id, job->request_id, bytes) == 0;
}

static bf_job_t *
find_maker(bf_job_t *job, const char *id)
{
	while (job != NULL && !is_made_by(job, id))
		job = job->next;
	return job;
}

bf_job_t *
bf_target_maker(const bf_mesh_t *mesh, const char *id)
{
	const bf_inbound_t *inbound;
	bf_job_t *job;

	if (strchr(id, '.') == NULL)
		return NULL;
	job = find_maker(mesh->target.jobs, id);
	for (inbound = mesh->inbound; job == NULL && inbound != NULL;
	     inbound = inbound->next)
		job = find_maker(inbound->jobs, id);
	return job;
}

uint32_t
bf_job_priority(const bf_job_t *job)
{
	return job->waiter.priority;
}

bool
bf_job_is_repeat(const bf_job_t *job)
{
	return job->repeat;
}

void
bf_target_starved(bf_mesh_t *mesh, const char *id)
{
	bf_job_t *job = bf_target_maker(mesh, id);

	if (job != NULL)
		job->starved = true;
}

uint32_t
bf_target_busy(const bf_mesh_t *mesh)
{
	return mesh->target.waiting.running + mesh->target.waiting.count;
}

static void
free_job(bf_job_t *job)
{
	*job->previous = job->next;
	if (job->next != NULL)
		job->next->previous = job->previous;
	bf_loop_timer_cancel(job->mesh->loop, &job->timeout);
	bf_bytes_free(&job->head);
	bf_bytes_free(&job->body);
	bf_loop_release(job->mesh->loop, job);
}

/* Sends the reply to whoever asked; the job is freed. */
static void
reply_to(bf_job_t *job, const bf_reply_t *reply, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = job->mesh;
	bf_bytes_t body = { .data = (uint8_t *)(uintptr_t)reply->body,
		.end = reply->body_bytes };
	bf_inbound_t *from = job->from;
	uint64_t id = job->id;
	bf_load_t load;

	free_job(job);
	if (from == NULL) {
		bf_entry_reply(mesh, id, reply, now_us);
		return;
	}
	load = bf_target_load(mesh, now_us);
	bf_wire_write_reply(&mesh->writer, reply, &load);
	bf_mesh_link_send(
	    &from->link, BF_FRAME_ANSWER, id, &mesh->writer, &body, now_us);
}

static void
refuse(bf_job_t *job, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = job->mesh;
	bf_reply_t reply = {
		.end = BF_END_NOT_RUN,
		.cause = cause,
		.waited_us = now_us - job->arrived_us,
		.expected_us = bf_call_queue_expected_wait_us(
		    &mesh->target.waiting, &job->waiter, now_us),
	};

	bf_metric_count(mesh->metrics.runs, bf_cause_name(cause), 1);
	if (reply.waited_us > 0 ||
	    bf_events_sampled(mesh->events, job->request_id))
		bf_event(mesh->events, BF_EVENT_REFUSED, now_us,
		    "s:s,s:s,s:s,s:I,s:i,s:i,s:I,s:I", "call", job->request_id,
		    "route", job->route, "cause", bf_cause_name(cause),
		    "waited_us", (json_int_t)reply.waited_us, "running",
		    (int)mesh->target.waiting.running, "waiting",
		    (int)mesh->target.waiting.count, "room_in_us",
		    (json_int_t)reply.expected_us, "left_us",
		    (json_int_t)(job->waiter.deadline_at_us - now_us));
	reply_to(job, &reply, now_us);
}

static void
count_failing(bf_own_target_t *target, bool failed, bf_time_us_t now_us)
{
	target->failing = failing_now(target, now_us);
	target->failing_us = now_us;
	target->failing +=
	    FAILING_WEIGHT * ((failed ? 1 : 0) - target->failing);
}

/* What a run showed of the target, for placing and for moves. */
static void
count_run(bf_job_t *job, bool failed, bf_time_us_t now_us)
{
	bf_own_target_t *target = &job->mesh->target;
	bf_time_us_t spent_us = now_us - job->sent_us;
	bf_run_tally_t *tally;
	bf_route_work_t *work;

	count_failing(target, failed, now_us);
	tally = bf_run_tally(&target->runs, route_hash(job->route));
	if (tally != NULL) {
		tally->runs++;
		tally->failures += failed ? 1 : 0;
		if (!failed && now_us >= target->warm_us) {
			tally->timed_runs++;
			tally->time_us += (uint64_t)spent_us;
		}
	}
	work = work_of(target, job->route);
	if (work == NULL || failed)
		return;
	if (work->seen++ == 0)
		work->mean_us = (double)spent_us;
	else
		work->mean_us +=
		    WORK_WEIGHT * ((double)spent_us - work->mean_us);
}

/*
 * "running,waiting,slots" of the target.  More than what this node gave it are
 * calls of this node's former process, which still hold slots.
 */
static void
take_reported_load(bf_mesh_t *mesh, const char *text)
{
	bf_own_target_t *target = &mesh->target;
	uint32_t running, waiting, own, slots;

	if (text == NULL || sscanf(text, "%u,%u", &running, &waiting) != 2)
		return;
	own = target->waiting.running + 1;
	slots = target->beat.slots;
	if (running + waiting > own)
		slots -= running + waiting - own < slots
		    ? running + waiting - own
		    : slots - 1;
	target->waiting.slots = slots;
}

static void
end_run(bf_job_t *job, bf_time_us_t spent_us)
{
	bf_loop_timer_cancel(job->mesh->loop, &job->timeout);
	job->running = false;
	bf_call_queue_end_run(&job->mesh->target.waiting, spent_us);
}

static void
log_run(const bf_job_t *job, const char *result, uint32_t status,
    bf_time_us_t now_us)
{
	bf_mesh_t *mesh = job->mesh;

	bf_metric_count(mesh->metrics.runs, result, 1);
	bf_metric_time(
	    mesh->metrics.waited, NULL, job->sent_us - job->arrived_us);
	bf_metric_time(mesh->metrics.spent, NULL, now_us - job->sent_us);
	if (status != 0 && status < 500 &&
	    !bf_events_sampled(mesh->events, job->request_id))
		return;
	bf_event(mesh->events, BF_EVENT_RAN, now_us,
	    "s:s,s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:i", "call", job->request_id,
	    "route", job->route, "target", mesh->target.beat.id, "version",
	    mesh->target.beat.version, "result", result, "status", (int)status,
	    "waited_us", (json_int_t)(job->sent_us - job->arrived_us),
	    "spent_us", (json_int_t)(now_us - job->sent_us), "running",
	    (int)mesh->target.waiting.running);
}

static void
lose_run(bf_job_t *job, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = job->mesh;
	bf_reply_t reply = {
		.end = BF_END_UNKNOWN,
		.cause = cause,
		.waited_us = job->sent_us - job->arrived_us,
		.spent_us = now_us - job->sent_us,
	};

	count_run(job, true, now_us);
	end_run(job, -1);
	log_run(job, bf_cause_name(cause), 0, now_us);
	reply_to(job, &reply, now_us);
	run_next(mesh, now_us);
}

/* The target did not run it. */
static void
return_unrun(bf_job_t *job, bf_cause_t cause, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = job->mesh;

	end_run(job, -1);
	refuse(job, cause, now_us);
	run_next(mesh, now_us);
}

static void
put_fields(const bf_http_message_t *message, bf_bytes_t *out)
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
pass_on(bf_job_t *job, const bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = job->mesh;
	bf_bytes_t fields = { 0 };
	bf_reply_t reply = {
		.end = BF_END_ANSWERED,
		.status = message->status,
		.body = message->body.data + message->body.start,
		.body_bytes = bf_bytes_count(&message->body),
		.waited_us = job->sent_us - job->arrived_us,
		.spent_us = now_us - job->sent_us,
		.starved = job->starved && message->status >= 500,
	};

	count_run(job, message->status >= 500 && !job->starved, now_us);
	end_run(job, now_us - job->sent_us);
	log_run(job, "answered", message->status, now_us);
	put_fields(message, &fields);
	reply.fields = (const char *)bf_bytes_at(&fields);
	reply_to(job, &reply, now_us);
	bf_bytes_free(&fields);
	run_next(mesh, now_us);
}

/* Whether an answer is the one to the job's request. */
static bool
is_own_answer(const bf_job_t *job, const bf_http_message_t *message)
{
	const char *id;

	id = bf_http_find(message, job->mesh->dialect->request_id);
	if (id != NULL)
		return strcmp(id, job->request_id) == 0;
	return message->status >= 400;
}

/* The target is gone, until it says more. */
static void
target_down(bf_mesh_t *mesh, const char *why, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	bf_queued_call_t *waiter;

	if (target->state == BF_TARGET_ABSENT)
		return;
	target->state = BF_TARGET_ABSENT;
	bf_event(mesh->events, BF_EVENT_TARGET, now_us, "s:s,s:s", "target",
	    target->beat.id, "change", why);
	while ((waiter = TAILQ_FIRST(&target->waiting.list)) != NULL) {
		bf_call_queue_remove(&target->waiting, waiter);
		refuse((bf_job_t *)(void *)waiter, BF_CAUSE_NO_TARGET, now_us);
	}
	bf_tell_changes(mesh, now_us);
}

static void
take_answer(bf_job_t *job, bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = job->mesh;

	take_reported_load(
	    mesh, bf_http_find(message, mesh->dialect->target_load));
	if (!is_own_answer(job, message)) {
		bf_http_client_reset(&mesh->target.client);
		lose_run(job, BF_CAUSE_BAD_ANSWER, now_us);
	} else if (bf_http_find(message, mesh->dialect->not_run) != NULL) {
		count_failing(&mesh->target, true, now_us);
		return_unrun(job, BF_CAUSE_REJECTED, now_us);
	} else if (message->status == 421) {
		return_unrun(job, BF_CAUSE_NO_TARGET, now_us);
		target_down(mesh, "another one has its address", now_us);
	} else {
		pass_on(job, message, now_us);
	}
	bf_http_message_free(message);
}

static void
on_exchange(bf_http_exchange_t *exchange, bf_http_end_t end,
    bf_http_message_t *message, bf_time_us_t now_us)
{
	bf_job_t *job = BF_CONTAINER(exchange, bf_job_t, exchange);
	bf_mesh_t *mesh = job->mesh;

	switch (end) {
	case BF_HTTP_ANSWERED:
		take_answer(job, message, now_us);
		break;
	case BF_HTTP_NOT_SENT:
		end_run(job, -1);
		refuse(job, BF_CAUSE_CONNECT, now_us);
		target_down(mesh, "refuses connections", now_us);
		break;
	case BF_HTTP_BROKEN:
		lose_run(job, BF_CAUSE_BROKEN, now_us);
		break;
	case BF_HTTP_BAD:
		lose_run(job, BF_CAUSE_BAD_ANSWER, now_us);
		break;
	}
}

static void
on_timeout(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_job_t *job = BF_CONTAINER(timer, bf_job_t, timeout);

	bf_http_cancel(&job->exchange);
	lose_run(job, BF_CAUSE_TIMEOUT, now_us);
}

static void
send_job(bf_job_t *job, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = job->mesh;
	const bf_dialect_t *dialect = mesh->dialect;
	bf_time_us_t left_us = job->waiter.deadline_at_us - now_us;

	job->waiting = false;
	job->running = true;
	job->sent_us = now_us;
	if (left_us < BF_US_PER_MS) {
		return_unrun(job, BF_CAUSE_EXPIRED, now_us);
		return;
	}
	bf_bytes_format(&job->head, "%s: %lld\r\n%s: %s\r\n",
	    dialect->time_left_ms, (long long)(left_us / BF_US_PER_MS),
	    dialect->expected_target, mesh->target.beat.id);
	if (job->has_body)
		bf_bytes_format(&job->head, "Content-Length: %zu\r\n",
		    bf_bytes_count(&job->body));
	bf_bytes_text(&job->head, "\r\n");
	if (!bf_http_send(&mesh->target.client, &job->exchange, &job->head,
		&job->body, job->repeatable ? IDLE_US : UNSAFE_IDLE_US,
		now_us)) {
		return_unrun(job, BF_CAUSE_CONNECT, now_us);
		return;
	}
	bf_loop_timer(
	    mesh->loop, &job->timeout, job->waiter.deadline_at_us + LATE_US);
}

/* Gives free slots to waiting calls. */
static void
run_next(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_queued_call_t *waiter;

	waiter = bf_call_queue_start_next(&mesh->target.waiting, now_us);
	if (waiter != NULL)
		send_job((bf_job_t *)(void *)waiter, now_us);
}

static void
on_expiry(bf_timer_t *timer, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = BF_CONTAINER(timer, bf_mesh_t, target.expiry);
	bf_call_queue_t *waiting = &mesh->target.waiting;
	bf_queued_call_t *waiter;

	while ((waiter = bf_call_queue_take_expired(waiting, now_us)) != NULL)
		refuse((bf_job_t *)(void *)waiter, BF_CAUSE_BUSY, now_us);
	if (waiting->count > 0)
		bf_loop_timer(mesh->loop, timer, now_us + EXPIRY_US);
}

static bf_job_t *
new_job(bf_mesh_t *mesh, bf_inbound_t *from, const bf_offer_t *offer,
    bf_time_us_t now_us)
{
	bf_job_t *job, **list;

	job = calloc(1, sizeof(*job));
	if (job == NULL)
		return NULL;
	*job = (bf_job_t){
		.mesh = mesh,
		.from = from,
		.id = offer->id,
		.has_body = offer->has_body,
		.repeatable = offer->repeatable,
		.repeat = offer->repeat,
		.arrived_us = now_us,
		.sent_us = now_us,
		.exchange = { .done = on_exchange,
		    .head = offer->head_request },
		.timeout = { .fire = on_timeout },
		.waiter = {
		    .inner = offer->inner,
		    .priority = offer->priority,
		    .objective_at_us = now_us + offer->objective_left_us,
		    .deadline_at_us = now_us + offer->left_us,
		    .expected_run_us = expected_work_us(&mesh->target, offer->route),
		},
	};
	(void)snprintf(
	    job->request_id, sizeof(job->request_id), "%s", offer->request_id);
	(void)snprintf(job->route, sizeof(job->route), "%s", offer->route);
	list = from != NULL ? &from->jobs : &mesh->target.jobs;
	job->next = *list;
	if (job->next != NULL)
		job->next->previous = &job->next;
	job->previous = list;
	*list = job;
	return job;
}

static bf_cause_t
reason_to_refuse(const bf_mesh_t *mesh, const bf_offer_t *offer)
{
	const bf_own_target_t *target = &mesh->target;

	if (target->state == BF_TARGET_ABSENT ||
	    strcmp(target->beat.id, offer->target) != 0)
		return BF_CAUSE_NO_TARGET;
	if (target->state != BF_TARGET_READY)
		return BF_CAUSE_DRAINING;
	if (offer->left_us < BF_US_PER_MS)
		return BF_CAUSE_EXPIRED;
	return BF_CAUSE_NONE;
}

void
bf_target_offer(bf_mesh_t *mesh, bf_inbound_t *from, const bf_offer_t *offer,
    bf_time_us_t now_us)
{
	bf_cause_t cause = reason_to_refuse(mesh, offer);
	bf_job_t *job;

	job = new_job(mesh, from, offer, now_us);
	if (job == NULL)
		return; /* its entry gives it up at the deadline */
	if (cause != BF_CAUSE_NONE) {
		refuse(job, cause, now_us);
		return;
	}
	switch (bf_call_queue_admit(
	    &mesh->target.waiting, &job->waiter, offer->on_time, now_us)) {
	case BF_QUEUE_DECISION_REFUSE:
		refuse(job, BF_CAUSE_BUSY, now_us);
		return;
	case BF_QUEUE_DECISION_WAIT:
		job->waiting = true;
		break;
	case BF_QUEUE_DECISION_START:
		break;
	}
	bf_bytes_add(
	    &job->head, bf_bytes_at(offer->head), bf_bytes_count(offer->head));
	bf_bytes_add(&job->body, offer->body, offer->body_bytes);
	if (!job->waiting)
		send_job(job, now_us);
	else if (mesh->target.expiry.place == 0)
		bf_loop_timer(
		    mesh->loop, &mesh->target.expiry, now_us + EXPIRY_US);
}

/* Nobody waits for it any more. */
static void
cancel_job(bf_job_t *job, bf_time_us_t now_us)
{
	bf_mesh_t *mesh = job->mesh;

	if (bf_events_sampled(mesh->events, job->request_id))
		bf_event(mesh->events, BF_EVENT_CANCELLED, now_us,
		    "s:s,s:s,s:I", "call", job->request_id, "at",
		    job->running ? "target" : "queue", "after_us",
		    (json_int_t)(now_us - job->arrived_us));
	bf_metric_count(mesh->metrics.runs, "cancelled", 1);
	if (job->waiting) {
		bf_call_queue_remove(&mesh->target.waiting, &job->waiter);
		free_job(job);
		return;
	}
	bf_http_cancel(&job->exchange);
	end_run(job, -1);
	free_job(job);
	run_next(mesh, now_us);
}

void
bf_target_cancel(
    bf_mesh_t *mesh, bf_inbound_t *from, uint64_t offer, bf_time_us_t now_us)
{
	bf_job_t *job;

	job = from != NULL ? from->jobs : mesh->target.jobs;
	while (job != NULL && job->id != offer)
		job = job->next;
	if (job != NULL)
		cancel_job(job, now_us);
}

void
bf_target_lost(bf_inbound_t *from, bf_time_us_t now_us)
{
	while (from->jobs != NULL)
		cancel_job(from->jobs, now_us);
}

void
bf_target_tick(bf_mesh_t *mesh, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	bf_time_us_t patience_us;

	patience_us =
	    HEARTBEATS_MISSED * BF_US_PER_MS * mesh->options.heartbeat_ms +
	    HEARTBEAT_SLACK_US;
	if (target->state == BF_TARGET_ABSENT ||
	    now_us - target->heard_us < patience_us)
		return;
	target->state = BF_TARGET_ABSENT;
	bf_event(mesh->events, BF_EVENT_TARGET, now_us, "s:s,s:s,s:I", "target",
	    target->beat.id, "change", "silent", "age_us",
	    (json_int_t)(now_us - target->heard_us));
	bf_tell_changes(mesh, now_us);
}

/* Whether a heartbeat is of a later lifetime, or later in the same one. */
static bool
is_news(const bf_own_target_t *target, const bf_heartbeat_t *beat)
{
	const bf_heartbeat_t *known = &target->beat;

	if (known->id[0] == '\0')
		return true;
	if (beat->born_ms != known->born_ms && beat->born_ms != 0 &&
	    known->born_ms != 0)
		return beat->born_ms > known->born_ms;
	if (strcmp(beat->id, known->id) != 0)
		return true;
	return !target->left && beat->sequence > known->sequence;
}

static bool
is_same_lifetime(const bf_heartbeat_t *a, const bf_heartbeat_t *b)
{
	return strcmp(a->id, b->id) == 0 && a->born_ms == b->born_ms;
}

static void
begin_lifetime(bf_mesh_t *mesh, const bf_heartbeat_t *beat)
{
	bf_own_target_t *target = &mesh->target;

	bf_http_client_reset(&target->client);
	target->left = false;
	target->failing = 0;
	target->work_count = 0;
	target->runs.count = 0;
	target->waiting.has_measured_mean = false;
	target->waiting.mean_run_us = BF_CALL_QUEUE_INITIAL_RUN_US;
	target->waiting.slots = beat->slots;
}

static bf_code_t
check_heartbeat(
    const bf_mesh_t *mesh, const bf_heartbeat_t *beat, bf_error_t *err)
{
	struct sockaddr_in address;

	if (bf_address_parse(beat->address, &address, err) != BF_OK)
		return BF_ERR_REFERENCE;
	if (address.sin_addr.s_addr != mesh->options.target.sin_addr.s_addr)
		return bf_error_set(err, BF_ERR_REFERENCE,
		    "target \"%s\" at %s is not on this instance", beat->id,
		    beat->address);
	if (mesh->routing != NULL &&
	    bf_routing_service(mesh->routing, beat->service) == NULL &&
	    strcmp(beat->service, mesh->service) != 0)
		return bf_error_set(err, BF_ERR_REFERENCE,
		    "target \"%s\" is of service \"%s\", which is not defined",
		    beat->id, beat->service);
	return BF_OK;
}

/*
 * Whether this lifetime has said that it leaves, perhaps to a former process of
 * this node, or to this one before it knew of the target.
 */
static bool
has_left(
    bf_own_target_t *target, const bf_heartbeat_t *beat, bf_time_us_t now_us)
{
	if (strcmp(target->left_id, beat->id) != 0)
		return false;
	if (target->left_unborn && now_us - target->left_us <= LEFT_UNBORN_US) {
		target->left_unborn = false;
		target->left_born_ms = beat->born_ms;
	}
	return !target->left_unborn && target->left_born_ms == beat->born_ms;
}

bf_code_t
bf_mesh_heartbeat(bf_mesh_t *mesh, const bf_heartbeat_t *beat,
    bf_time_us_t now_us, bf_error_t *err)
{
	bf_own_target_t *target = &mesh->target;
	bf_target_state_t state;
	bf_code_t code;

	code = check_heartbeat(mesh, beat, err);
	if (code != BF_OK || !is_news(target, beat))
		return code;
	if (!is_same_lifetime(&target->beat, beat))
		begin_lifetime(mesh, beat);
	(void)bf_address_parse(beat->address, &target->client.address, NULL);
	target->beat = *beat;
	target->heard_us = now_us;
	target->warm_us = now_us + beat->warm_up_ms * BF_US_PER_MS;
	mesh->self->unproven =
	    bf_movement_saw(mesh, beat->service, beat->version, now_us);
	if (has_left(target, beat, now_us))
		target->left = true;
	state = beat->draining || target->left ? BF_TARGET_DRAINING
					       : BF_TARGET_READY;
	if (state == target->state)
		return BF_OK;
	target->state = state;
	if (state == BF_TARGET_READY)
		target->waiting.slots = beat->slots;
	bf_event(mesh->events, BF_EVENT_TARGET, now_us,
	    "s:s,s:s,s:s,s:s,s:i,s:I,s:I", "target", beat->id, "change",
	    beat->draining ? "draining" : "ready", "service", beat->service,
	    "version", beat->version, "slots", (int)beat->slots, "sequence",
	    (json_int_t)beat->sequence, "born_ms", (json_int_t)beat->born_ms);
	bf_registry_update(mesh, now_us);
	bf_tell_changes(mesh, now_us);
	return BF_OK;
}

void
bf_mesh_target_leaves(bf_mesh_t *mesh, const char *id, bf_time_us_t now_us)
{
	bf_own_target_t *target = &mesh->target;
	bool known = strcmp(target->beat.id, id) == 0;

	/* A late word of another lifetime must not hide that this one left. */
	if (target->left || (!known && target->beat.id[0] != '\0'))
		return;
	target->left = known;
	target->left_unborn = !known;
	target->left_us = now_us;
	(void)snprintf(target->left_id, sizeof(target->left_id), "%s", id);
	target->left_born_ms = target->beat.born_ms;
	bf_registry_update(mesh, now_us);
	if (target->state == BF_TARGET_READY)
		target->state = BF_TARGET_DRAINING;
	bf_event(mesh->events, BF_EVENT_TARGET, now_us, "s:s,s:s", "target", id,
	    "change", "leaves");
	bf_tell_changes(mesh, now_us);
}

void
bf_target_open(bf_mesh_t *mesh)
{
	bf_own_target_t *target = &mesh->target;

	target->client.loop = mesh->loop;
	target->client.address = mesh->options.target;
	target->client.idle_us = IDLE_US;
	target->expiry.fire = on_expiry;
	bf_call_queue_init(&target->waiting, 0);
}
